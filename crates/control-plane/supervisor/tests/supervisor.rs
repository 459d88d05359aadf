//! Scenarios of the supervisor, and invariants that hold for every sequence of events.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use supervisor::{
    Action, Command, Event, InstanceState, ProcessId, RollingAction, Signal, Supervisor, SupervisorPolicy,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn exited(process: ProcessId) -> Event {
    Event::Exited { process, clean: false, status: "signal 9".into() }
}

/// Supervisor under test, driven by events at times in milliseconds.
struct Harness(Supervisor);

impl Harness {
    fn handle_at(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(ms(now_ms), event, &mut actions);
        actions
    }

    /// Supervisor of three instances, all ready by 1 s; their processes are 1, 2 and 3.
    fn ready() -> Harness {
        let mut harness = Harness(Supervisor::new(3, SupervisorPolicy::default()));
        harness.handle_at(200, Event::Timeout);
        for process in 1..=3 {
            harness.handle_at(1000, Event::Ready(ProcessId(process)));
        }
        assert!(harness.0.instances().iter().all(|i| i.state == InstanceState::Ready));
        harness
    }

    /// Supervisor of three ready instances that starts a rolling operation at 2 s, with the resulting actions.
    fn rolling(action: RollingAction) -> (Harness, Vec<Action>) {
        let mut harness = Harness::ready();
        let actions = harness.handle_at(2000, Event::Command(Command::Roll(action)));
        (harness, actions)
    }
}

fn start(instance: usize, process: u64) -> Action {
    Action::Start { instance, process: ProcessId(process) }
}

fn terminate(process: u64) -> Action {
    Action::Signal(ProcessId(process), Signal::Terminate)
}

/// Guards against a step that starts before its lease is granted, and against a lease that is kept although it cannot be
/// used.
#[test]
fn each_step_of_a_rolling_operation_waits_for_its_lease() {
    let mut harness =
        Harness(Supervisor::new(3, SupervisorPolicy { requires_lease: true, ..SupervisorPolicy::default() }));
    harness.handle_at(200, Event::Timeout);
    for process in 1..=3 {
        harness.handle_at(1000, Event::Ready(ProcessId(process)));
    }
    let request = |instance| Action::RequestLease { instance, action: RollingAction::Restart };
    let release = |instance, acted| Action::ReleaseLease { instance, acted };
    assert_eq!(harness.handle_at(2000, Event::Command(Command::Roll(RollingAction::Restart))), [request(0)]);
    assert_eq!(
        harness.handle_at(50_000, Event::Timeout),
        [],
        "no step without a lease, however long it takes"
    );
    assert_eq!(harness.handle_at(60_000, Event::LeaseGranted(0)), [terminate(1)]);
    // The lease is released once the new process is ready; then the next one is requested.
    assert_eq!(harness.handle_at(61_000, exited(ProcessId(1))), [start(0, 4)]);
    assert_eq!(harness.handle_at(62_000, Event::Ready(ProcessId(4))), [release(0, true), request(1)]);
    // Another instance of the machine crashes: a lease that is granted now cannot be used, and is released for others.
    assert_eq!(harness.handle_at(63_000, exited(ProcessId(3))), [release(1, false)]);
    assert_eq!(harness.handle_at(63_100, Event::LeaseGranted(1)), [release(1, false)]);
    harness.handle_at(64_000, Event::Timeout);
    assert_eq!(harness.handle_at(65_000, Event::Ready(ProcessId(5))), [request(1)]);
    // A stop withdraws the pending request.
    assert!(harness.handle_at(66_000, Event::Command(Command::Stop)).contains(&release(1, false)));
    assert_eq!(harness.handle_at(66_100, Event::LeaseGranted(1)), [release(1, false)]);
}

#[test]
fn first_starts_are_staggered() {
    let mut harness = Harness(Supervisor::new(3, SupervisorPolicy::default()));
    assert_eq!(harness.handle_at(0, Event::Timeout), [start(0, 1)]);
    assert_eq!(harness.0.next_timeout(), Some(ms(100)));
    assert_eq!(harness.handle_at(99, Event::Timeout), []);
    assert_eq!(harness.handle_at(250, Event::Timeout), [start(1, 2), start(2, 3)]);
}

#[test]
fn a_crashed_instance_restarts_with_backoff_until_it_is_in_a_crash_loop() {
    let mut harness = Harness::ready();
    let (mut now, mut process, mut delays) = (2000, 1, Vec::new());
    loop {
        let actions = harness.handle_at(now, exited(ProcessId(process)));
        if let Some(Action::CrashLoop { instance: 0, reason }) = actions.first() {
            assert!(reason.contains("5 crashes") && reason.contains("signal 9"), "{reason}");
            break;
        }
        let InstanceState::BackingOff(restart_at) = harness.0.instances()[0].state else {
            panic!("{actions:?}")
        };
        delays.push((restart_at - ms(now)).as_millis());
        now = restart_at.as_millis() as u64;
        let actions = harness.handle_at(now, Event::Timeout);
        let [Action::Start { instance: 0, process: next }] = actions[..] else { panic!("{actions:?}") };
        process = next.0;
    }
    assert_eq!(delays, [500, 1000, 2000, 4000]);
    assert!(harness.handle_at(999_000, Event::Timeout).is_empty(), "no restart in a crash loop");
    assert_eq!(
        harness.handle_at(999_000, Event::Command(Command::Start)).len(),
        1,
        "the operator starts it again"
    );
    // Long after the last crash the delay is the initial one again.
    let mut rare = Harness::ready();
    for now in [10_000, 100_000] {
        let process = rare.0.instances()[0].process.expect("a process");
        rare.handle_at(now, exited(process));
        assert_eq!(rare.0.instances()[0].state, InstanceState::BackingOff(ms(now + 500)));
        rare.handle_at(now + 500, Event::Timeout);
    }
}

#[test]
fn a_rolling_restart_handles_one_instance_at_a_time_and_waits_until_it_is_ready() {
    let (mut harness, actions) = Harness::rolling(RollingAction::Restart);
    assert_eq!(actions, [terminate(1)]);
    assert_eq!(
        harness.handle_at(2500, Event::Exited { process: ProcessId(1), clean: true, status: String::new() }),
        [start(0, 4)]
    );
    assert_eq!(harness.handle_at(2600, Event::Timeout), []);
    assert_eq!(harness.handle_at(2700, Event::Ready(ProcessId(4))), [terminate(2)]);
    assert_eq!(
        harness.handle_at(2800, Event::Command(Command::Roll(RollingAction::Reload))),
        [Action::Rejected("a roll is going on")]
    );
    harness.handle_at(3000, exited(ProcessId(2)));
    assert_eq!(harness.handle_at(3100, Event::Ready(ProcessId(5))), [terminate(3)]);
    harness.handle_at(3200, exited(ProcessId(3)));
    assert_eq!(
        harness.handle_at(3300, Event::Ready(ProcessId(6))),
        [Action::RollFinished(RollingAction::Restart)]
    );
    assert_eq!(harness.0.rolling(), None);
    assert!(harness.0.instances().iter().all(|i| i.restarts == 1));
}

#[test]
fn a_rolling_operation_aborts_at_the_first_instance_that_does_not_become_ready() {
    // The new process crashes.
    let (mut harness, _) = Harness::rolling(RollingAction::Restart);
    harness.handle_at(2500, exited(ProcessId(1)));
    let actions = harness.handle_at(2600, exited(ProcessId(4)));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.contains("signal 9")),
        "{actions:?}"
    );
    assert_eq!(
        harness.handle_at(3200, Event::Timeout),
        [start(0, 5)],
        "the instance is restarted, and the rolling operation has ended"
    );
    assert_eq!(harness.handle_at(3300, Event::Ready(ProcessId(5))), []);
    // The new process is not ready in time.
    let (mut harness, _) = Harness::rolling(RollingAction::Restart);
    harness.handle_at(2500, exited(ProcessId(1)));
    let actions = harness.handle_at(32_500, Event::Timeout);
    assert_eq!(actions[0], Action::Signal(ProcessId(4), Signal::Kill));
    assert!(
        matches!(&actions[1], Action::RollAborted { instance: 0, reason } if reason.contains("not ready after 30s"))
    );
    // The process rejects its configuration files.
    let (mut harness, actions) = Harness::rolling(RollingAction::Reload);
    assert_eq!(actions, [Action::Signal(ProcessId(1), Signal::Reload)]);
    let actions = harness.handle_at(2100, Event::ReloadFailed(ProcessId(1), "limits.head".into()));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.contains("limits.head"))
    );
    assert_eq!(
        harness.0.instances()[0].state,
        InstanceState::Ready,
        "it keeps serving with its former configuration"
    );
}

/// Guards against a rolling operation that continues while another instance is down, and so stops the last one that serves.
#[test]
fn a_rolling_operation_waits_for_a_crashed_instance_and_aborts_if_that_is_in_a_crash_loop() {
    let (mut harness, _) = Harness::rolling(RollingAction::Restart);
    harness.handle_at(2100, exited(ProcessId(3)));
    harness.handle_at(2500, exited(ProcessId(1)));
    assert_eq!(harness.handle_at(2550, Event::Ready(ProcessId(4))), [], "instance 2 is down");
    harness.handle_at(2600, Event::Timeout);
    assert_eq!(harness.handle_at(2700, Event::Ready(ProcessId(5))), [terminate(2)]);
    let (mut harness, _) = Harness::rolling(RollingAction::Restart);
    let mut now = 2000;
    loop {
        now += 100;
        let Some(process) = harness.0.instances()[2].process else {
            if harness.handle_at(now, Event::Timeout).iter().any(|a| matches!(a, Action::CrashLoop { .. }))
                || now > 60_000
            {
                break;
            }
            if matches!(harness.0.instances()[2].state, InstanceState::CrashLoop(_)) {
                break;
            }
            continue;
        };
        harness.handle_at(now, exited(process));
    }
    harness.handle_at(now, exited(ProcessId(1)));
    let process = harness.0.instances()[0].process.expect("restarted");
    let actions = harness.handle_at(now + 100, Event::Ready(process));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 2, reason }] if reason == "is given up"),
        "{actions:?}"
    );
}

#[test]
fn a_handoff_keeps_the_predecessor_serving_until_the_successor_is_ready() {
    let (mut harness, actions) = Harness::rolling(RollingAction::Handoff);
    assert_eq!(actions, [start(0, 4)]);
    assert_eq!(harness.handle_at(2100, Event::Ready(ProcessId(4))), [start(1, 5)]);
    assert_eq!(harness.0.instances()[0].process, Some(ProcessId(4)));
    // The exit of the draining predecessor does not count as a crash.
    assert_eq!(
        harness.handle_at(9000, Event::Exited { process: ProcessId(1), clean: true, status: String::new() }),
        []
    );
    assert_eq!(harness.0.instances()[0].state, InstanceState::Ready);
    // The next successor exits before it is ready: the process that serves keeps serving.
    let actions = harness.handle_at(9100, exited(ProcessId(5)));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 1, reason }] if reason.contains("before it was ready"))
    );
    assert_eq!(
        (harness.0.instances()[1].process, &harness.0.instances()[1].state),
        (Some(ProcessId(2)), &InstanceState::Ready)
    );
    // A successor that hangs is killed at the deadline.
    let (mut harness, _) = Harness::rolling(RollingAction::Handoff);
    let actions = harness.handle_at(32_000, Event::Timeout);
    assert_eq!(actions[0], Action::Signal(ProcessId(4), Signal::Kill));
    assert!(matches!(&actions[1], Action::RollAborted { instance: 0, .. }));
    assert_eq!(harness.handle_at(32_100, exited(ProcessId(4))), []);
    assert_eq!(harness.0.instances()[0].state, InstanceState::Ready);
}

/// Guards against starting a third process after the predecessor has exited during a handoff, so that two processes would
/// both serve as the instance.
#[test]
fn a_successor_becomes_the_process_of_the_instance_if_the_predecessor_exits_during_the_handoff() {
    let (mut harness, _) = Harness::rolling(RollingAction::Handoff);
    let actions = harness.handle_at(2100, exited(ProcessId(1)));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.starts_with("crashed"))
    );
    assert_eq!(harness.handle_at(9000, Event::Timeout), [], "no third process is started");
    harness.handle_at(9100, Event::Ready(ProcessId(4)));
    assert_eq!(
        (harness.0.instances()[0].process, &harness.0.instances()[0].state),
        (Some(ProcessId(4)), &InstanceState::Ready)
    );
}

/// Guards against an unbounded number of draining processes, and against a rolling operation that aborts too early, only
/// because clients still hold idle connections.
#[test]
fn a_handoff_waits_while_four_predecessors_are_draining() {
    let mut harness = Harness(Supervisor::new(1, SupervisorPolicy::default()));
    harness.handle_at(0, Event::Timeout);
    harness.handle_at(10, Event::Ready(ProcessId(1)));
    let handoff = || Event::Command(Command::Roll(RollingAction::Handoff));
    for round in 1..=4 {
        assert_eq!(harness.handle_at(round * 100, handoff()), [start(0, round + 1)]);
        assert_eq!(
            harness.handle_at(round * 100 + 30, Event::Ready(ProcessId(round + 1))),
            [Action::RollFinished(RollingAction::Handoff)]
        );
        assert_eq!(harness.0.instances()[0].time_to_ready, Some(ms(30)));
    }
    assert_eq!(harness.handle_at(1000, handoff()), [], "the fifth handoff has to wait");
    assert_eq!(harness.0.next_timeout(), Some(ms(76_000)));
    assert_eq!(
        harness.handle_at(9000, exited(ProcessId(2))),
        [start(0, 6)],
        "until one predecessor has exited"
    );
    harness.handle_at(9030, Event::Ready(ProcessId(6)));
    harness.handle_at(10_000, handoff());
    let actions = harness.handle_at(85_000, Event::Timeout);
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.contains("have not ended after 75s"))
    );
    assert_eq!(harness.0.next_timeout(), None);
}

/// Guards against a time to ready that leaves out the time during which no process served.
#[test]
fn the_time_to_ready_counts_from_the_stop_signal() {
    let (mut harness, _) = Harness::rolling(RollingAction::Restart);
    harness.handle_at(4400, exited(ProcessId(1)));
    harness.handle_at(4450, Event::Ready(ProcessId(4)));
    assert_eq!(harness.0.instances()[0].time_to_ready, Some(ms(2450)));
    // After a crash it counts from the start of the next process, since there was no signal.
    let mut harness = Harness::ready();
    harness.handle_at(2000, exited(ProcessId(1)));
    harness.handle_at(2500, Event::Timeout);
    harness.handle_at(2540, Event::Ready(ProcessId(4)));
    assert_eq!(harness.0.instances()[0].time_to_ready, Some(ms(40)));
}

#[test]
fn max_parallel_instances_are_restarted_at_the_same_time() {
    let mut harness =
        Harness(Supervisor::new(3, SupervisorPolicy { max_parallel: 2, ..SupervisorPolicy::default() }));
    harness.handle_at(200, Event::Timeout);
    for process in 1..=3 {
        harness.handle_at(1000, Event::Ready(ProcessId(process)));
    }
    assert_eq!(
        harness.handle_at(2000, Event::Command(Command::Roll(RollingAction::Restart))),
        [terminate(1), terminate(2)]
    );
}

#[test]
fn a_stop_terminates_all_processes_and_kills_those_that_do_not_exit() {
    let mut harness = Harness::ready();
    assert_eq!(
        harness.handle_at(2000, Event::Command(Command::Stop)),
        [terminate(1), terminate(2), terminate(3)]
    );
    harness.handle_at(2100, exited(ProcessId(1)));
    harness.handle_at(2200, exited(ProcessId(3)));
    assert_eq!(harness.handle_at(12_000, Event::Timeout), [Action::Signal(ProcessId(2), Signal::Kill)]);
    assert_eq!(harness.handle_at(12_100, exited(ProcessId(2))), [Action::Stopped]);
    assert!(harness.handle_at(99_000, Event::Timeout).is_empty(), "no process is started");
    // A draining predecessor is terminated as well, and the stop waits for its exit.
    let (mut harness, _) = Harness::rolling(RollingAction::Handoff);
    harness.handle_at(2100, Event::Ready(ProcessId(4)));
    let actions = harness.handle_at(2200, Event::Command(Command::Stop));
    assert!(actions.contains(&terminate(1)) && actions.contains(&terminate(5)), "{actions:?}");
    for process in [2, 3, 4, 5] {
        assert_eq!(harness.handle_at(2300, exited(ProcessId(process))), []);
    }
    assert_eq!(harness.handle_at(2400, exited(ProcessId(1))), [Action::Stopped]);
}

#[test]
fn an_adopted_process_is_not_started_again() {
    let mut supervisor = Supervisor::new(2, SupervisorPolicy::default());
    let adopted = supervisor.adopt(ms(0), 0, true);
    let mut harness = Harness(supervisor);
    let actions = harness.handle_at(100, Event::Timeout);
    assert!(matches!(actions[..], [Action::Start { instance: 1, .. }]));
    harness.handle_at(200, exited(adopted));
    assert_eq!(
        harness.0.instances()[0].state,
        InstanceState::BackingOff(ms(700)),
        "its exit counts as a crash, as that of any other process"
    );
}

/// Step of a generated sequence. A number picks one of the running processes, or the instance of a lease.
#[derive(Clone, Debug)]
enum Step {
    Ready(usize),
    Exited(usize),
    ReloadFailed(usize),
    LeaseGranted(usize),
    Command(Command),
    Timeout,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let command = prop_oneof![
        4 => Just(Command::Roll(RollingAction::Restart)),
        4 => Just(Command::Roll(RollingAction::Handoff)),
        2 => Just(Command::Roll(RollingAction::Reload)),
        1 => Just(Command::Stop),
        1 => Just(Command::Start),
    ];
    let step = prop_oneof![
        6 => (0usize..8).prop_map(Step::Ready),
        4 => (0usize..8).prop_map(Step::Exited),
        1 => (0usize..8).prop_map(Step::ReloadFailed),
        4 => (0usize..8).prop_map(Step::LeaseGranted),
        2 => command.prop_map(Step::Command),
        4 => Just(Step::Timeout),
    ];
    proptest::collection::vec((0u64..5000, step), 0..80)
}

proptest! {
    // A fixed seed, so that every run checks the same cases.
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For every sequence of events: an instance has one process except during a handoff, a rolling operation sends SIGTERM to
    /// no instance while another one is down, no step runs without its lease, no signal is sent to a process that has exited,
    /// and the next timeout is in the future, so that the event loop does not spin.
    #[test]
    fn invariants_hold_for_every_sequence_of_events(steps in steps(), with_leases in any::<bool>()) {
        let mut supervisor = Supervisor::new(4, SupervisorPolicy { requires_lease: with_leases, ..SupervisorPolicy::default() });
        // Instances for which a lease is requested, and for which one is held.
        let (mut requested, mut held) = (BTreeSet::new(), BTreeSet::new());
        // Running processes, with their instance.
        let mut running: BTreeMap<ProcessId, usize> = BTreeMap::new();
        let (mut now, mut actions) = (0, Vec::new());
        for (gap_ms, step) in steps {
            now += gap_ms;
            let pick = |n: usize| running.keys().nth(n % running.len().max(1)).copied();
            let event = match step {
                Step::Ready(n) => pick(n).map(Event::Ready),
                Step::Exited(n) => pick(n).map(exited),
                Step::ReloadFailed(n) => pick(n).map(|p| Event::ReloadFailed(p, "x".into())),
                Step::Command(command) => Some(Event::Command(command)),
                // Also grants that arrive late, for a request that was withdrawn.
                Step::LeaseGranted(n) if with_leases => {
                    held.extend(requested.take(&(n % 4)));
                    Some(Event::LeaseGranted(n % 4))
                }
                Step::LeaseGranted(_) => None,
                Step::Timeout => None,
            }
            .unwrap_or(Event::Timeout);
            if let Event::Exited { process, .. } = &event {
                running.remove(process);
            }
            let rolling = supervisor.rolling();
            supervisor.handle(ms(now), event.clone(), &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::RequestLease { instance, .. } => {
                        prop_assert!(with_leases && !held.contains(&instance) && requested.insert(instance), "a lease is requested twice");
                    }
                    Action::ReleaseLease { instance, .. } => {
                        requested.remove(&instance);
                        held.remove(&instance);
                    }
                    Action::Start { instance, process } => {
                        prop_assert!(running.insert(process, instance).is_none());
                        let is_successor = supervisor.instances()[instance].successor == Some(process);
                        prop_assert!(!with_leases || !is_successor || held.contains(&instance), "a handoff without a lease");
                        let others = running.iter().filter(|&(p, i)| *i == instance && *p != process).count();
                        prop_assert!(is_successor || others == supervisor.instances()[instance].draining_predecessors.len());
                        prop_assert!(others <= 5, "too many processes of one instance");
                    }
                    Action::Signal(process, signal) => {
                        prop_assert!(running.contains_key(&process), "a signal to a process that has exited");
                        if with_leases && matches!(signal, Signal::Terminate | Signal::Reload) && event != Event::Command(Command::Stop) {
                            prop_assert!(held.contains(&running[&process]), "{signal:?} without a lease");
                        }
                        if signal == Signal::Terminate && event != Event::Command(Command::Stop) && supervisor.rolling().is_some() {
                            let ready = supervisor.instances().iter().filter(|i| i.state == InstanceState::Ready).count();
                            prop_assert!(ready >= 3, "a restart while another instance is down");
                        }
                    }
                    Action::RollAborted { .. } | Action::RollFinished(_) => prop_assert!(supervisor.rolling().is_none()),
                    Action::Rejected(reason) => prop_assert!(rolling.is_some() || reason.contains("stopped")),
                    Action::CrashLoop { .. } | Action::Stopped => {}
                }
            }
            if supervisor.rolling().is_none() {
                prop_assert!(requested.is_empty() && held.is_empty(), "not released: {requested:?} {held:?}");
            }
            for instance in supervisor.instances() {
                if matches!(instance.state, InstanceState::Ready | InstanceState::Reloading | InstanceState::Starting | InstanceState::Restarting | InstanceState::Stopping) {
                    prop_assert!(instance.process.is_some_and(|p| running.contains_key(&p)), "{instance:?}");
                } else {
                    prop_assert!(instance.process.is_none(), "{instance:?}");
                }
            }
            if let Some(timeout) = supervisor.next_timeout() {
                prop_assert!(timeout > ms(now), "the next timeout is not in the future");
            }
        }
    }
}

/// Guards against a replacement that waits forever: the next process is started in every state of the instance, and crashes
/// of its former build do not count against the next one.
#[test]
fn a_replacement_is_started_in_every_state_of_the_instance() {
    // The instance is ready.
    let mut harness = Harness::ready();
    assert_eq!(harness.handle_at(2000, Event::Command(Command::Replace(0))), [terminate(1)]);
    assert_eq!(harness.handle_at(2500, exited(ProcessId(1))), [start(0, 4)]);
    // The instance is not ready yet and is replaced again.
    assert_eq!(harness.handle_at(2600, Event::Command(Command::Replace(0))), [terminate(4)]);
    assert_eq!(harness.handle_at(2700, exited(ProcessId(4))), [start(0, 5)]);
    // The instance crashes repeatedly and is in a crash loop.
    let mut now = 3000;
    while !matches!(harness.0.instances()[0].state, InstanceState::CrashLoop(_)) {
        let process = harness.0.instances()[0].process.expect("a process");
        harness.handle_at(now, exited(process));
        now += 5000;
        harness.handle_at(now, Event::Timeout);
    }
    let crashes = |harness: &Harness, now: u64| harness.0.instances()[0].recent_crashes(ms(now), ms(60_000));
    assert_eq!((crashes(&harness, now), crashes(&harness, now + 60_000)), (5, 0));
    let actions = harness.handle_at(now, Event::Command(Command::Replace(0)));
    assert!(matches!(actions[..], [Action::Start { instance: 0, .. }]), "{actions:?}");
    assert_eq!(crashes(&harness, now), 0);
    // An instance that the operator stopped stays stopped.
    harness.handle_at(now, Event::Command(Command::Stop));
    assert_eq!(harness.handle_at(now, Event::Command(Command::Replace(1))), []);
}
