//! The supervisor's decisions, path by path, and what holds on every path.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use supervisor::{
    Action, Command, Event, InstanceState, ProcessId, RollingAction, Signal, Supervisor, SupervisorPolicy,
};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn ended(process: ProcessId) -> Event {
    Event::Exited { process, clean: false, status: "signal 9".into() }
}

struct Run(Supervisor);

impl Run {
    fn at(&mut self, now: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(ms(now), event, &mut actions);
        actions
    }

    /// Three instances, all ready by 1 s; their processes are 1, 2 and 3.
    fn ready() -> Run {
        let mut run = Run(Supervisor::new(3, SupervisorPolicy::default()));
        run.at(200, Event::Timeout);
        for p in 1..=3 {
            run.at(1000, Event::Ready(ProcessId(p)));
        }
        assert!(run.0.instances().iter().all(|i| i.state == InstanceState::Ready));
        run
    }

    fn roll(roll: RollingAction) -> (Run, Vec<Action>) {
        let mut run = Run::ready();
        let actions = run.at(2000, Event::Command(Command::Roll(roll)));
        (run, actions)
    }
}

fn start(instance: usize, process: u64) -> Action {
    Action::Start { instance, process: ProcessId(process) }
}

fn end(process: u64) -> Action {
    Action::Signal(ProcessId(process), Signal::Terminate)
}

/// Guards against a step that is taken before leave for it was given, and against leave that is kept when it is of no use.
#[test]
fn each_step_of_a_roll_waits_for_leave() {
    let mut run =
        Run(Supervisor::new(3, SupervisorPolicy { requires_lease: true, ..SupervisorPolicy::default() }));
    run.at(200, Event::Timeout);
    for p in 1..=3 {
        run.at(1000, Event::Ready(ProcessId(p)));
    }
    let ask = |instance| Action::RequestLease { instance, action: RollingAction::Restart };
    let back = |instance, acted| Action::ReleaseLease { instance, acted };
    assert_eq!(run.at(2000, Event::Command(Command::Roll(RollingAction::Restart))), [ask(0)]);
    assert_eq!(run.at(50_000, Event::Timeout), [], "however long it takes");
    assert_eq!(run.at(60_000, Event::LeaseGranted(0)), [end(1)]);
    // What it has done by it is to be seen first; then comes the next.
    assert_eq!(run.at(61_000, ended(ProcessId(1))), [start(0, 4)]);
    assert_eq!(run.at(62_000, Event::Ready(ProcessId(4))), [back(0, true), ask(1)]);
    // Another of the machine crashes: leave that comes now is of no use, and is somebody else's to have.
    assert_eq!(run.at(63_000, ended(ProcessId(3))), [back(1, false)]);
    assert_eq!(run.at(63_100, Event::LeaseGranted(1)), [back(1, false)]);
    run.at(64_000, Event::Timeout);
    assert_eq!(run.at(65_000, Event::Ready(ProcessId(5))), [ask(1)]);
    // Stopped, it gives up what it asks for.
    assert!(run.at(66_000, Event::Command(Command::Stop)).contains(&back(1, false)));
    assert_eq!(run.at(66_100, Event::LeaseGranted(1)), [back(1, false)]);
}

#[test]
fn starts_are_spread_out() {
    let mut run = Run(Supervisor::new(3, SupervisorPolicy::default()));
    assert_eq!(run.at(0, Event::Timeout), [start(0, 1)]);
    assert_eq!(run.0.next_timeout(), Some(ms(100)));
    assert_eq!(run.at(99, Event::Timeout), []);
    assert_eq!(run.at(250, Event::Timeout), [start(1, 2), start(2, 3)]);
}

#[test]
fn what_crashes_is_started_again_after_growing_pauses_and_given_up_in_the_end() {
    let mut run = Run::ready();
    let (mut now, mut process, mut pauses) = (2000, 1, Vec::new());
    loop {
        let actions = run.at(now, ended(ProcessId(process)));
        if let Some(Action::CrashLoop { instance: 0, reason }) = actions.first() {
            assert!(reason.contains("5 crashes") && reason.contains("signal 9"), "{reason}");
            break;
        }
        let InstanceState::BackingOff(at) = run.0.instances()[0].state else { panic!("{actions:?}") };
        pauses.push((at - ms(now)).as_millis());
        now = at.as_millis() as u64;
        let actions = run.at(now, Event::Timeout);
        let [Action::Start { instance: 0, process: next }] = actions[..] else { panic!("{actions:?}") };
        process = next.0;
    }
    assert_eq!(pauses, [500, 1000, 2000, 4000]);
    assert!(run.at(999_000, Event::Timeout).is_empty(), "given up");
    assert_eq!(run.at(999_000, Event::Command(Command::Start)).len(), 1, "until the operator wants it");
    // Long after the last crash the first pause holds again.
    let mut rare = Run::ready();
    for at in [10_000, 100_000] {
        let process = rare.0.instances()[0].process.expect("it runs");
        rare.at(at, ended(process));
        assert_eq!(rare.0.instances()[0].state, InstanceState::BackingOff(ms(at + 500)));
        rare.at(at + 500, Event::Timeout);
    }
}

#[test]
fn a_restart_rolls_one_at_a_time_and_waits_for_each_to_be_ready() {
    let (mut run, actions) = Run::roll(RollingAction::Restart);
    assert_eq!(actions, [end(1)]);
    assert_eq!(
        run.at(2500, Event::Exited { process: ProcessId(1), clean: true, status: String::new() }),
        [start(0, 4)]
    );
    assert_eq!(run.at(2600, Event::Timeout), []);
    assert_eq!(run.at(2700, Event::Ready(ProcessId(4))), [end(2)]);
    assert_eq!(
        run.at(2800, Event::Command(Command::Roll(RollingAction::Reload))),
        [Action::Rejected("a roll is going on")]
    );
    run.at(3000, ended(ProcessId(2)));
    assert_eq!(run.at(3100, Event::Ready(ProcessId(5))), [end(3)]);
    run.at(3200, ended(ProcessId(3)));
    assert_eq!(run.at(3300, Event::Ready(ProcessId(6))), [Action::RollFinished(RollingAction::Restart)]);
    assert_eq!(run.0.rolling(), None);
    assert!(run.0.instances().iter().all(|i| i.restarts == 1));
}

#[test]
fn a_roll_halts_at_the_first_that_is_not_ready() {
    // It crashes.
    let (mut run, _) = Run::roll(RollingAction::Restart);
    run.at(2500, ended(ProcessId(1)));
    let actions = run.at(2600, ended(ProcessId(4)));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.contains("signal 9")),
        "{actions:?}"
    );
    assert_eq!(run.at(3200, Event::Timeout), [start(0, 5)], "it is started again, and the roll is over");
    assert_eq!(run.at(3300, Event::Ready(ProcessId(5))), []);
    // It takes too long.
    let (mut run, _) = Run::roll(RollingAction::Restart);
    run.at(2500, ended(ProcessId(1)));
    let actions = run.at(32_500, Event::Timeout);
    assert_eq!(actions[0], Action::Signal(ProcessId(4), Signal::Kill));
    assert!(
        matches!(&actions[1], Action::RollAborted { instance: 0, reason } if reason.contains("not ready after 30s"))
    );
    // It does not take its files.
    let (mut run, actions) = Run::roll(RollingAction::Reload);
    assert_eq!(actions, [Action::Signal(ProcessId(1), Signal::Reload)]);
    let actions = run.at(2100, Event::ReloadFailed(ProcessId(1), "limits.head".into()));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.contains("limits.head"))
    );
    assert_eq!(run.0.instances()[0].state, InstanceState::Ready, "it serves on with what it had");
}

/// Guards against a roll that goes on while another instance is down: it would take the last one away.
#[test]
fn a_roll_waits_for_what_crashed_elsewhere_and_halts_when_that_is_given_up() {
    let (mut run, _) = Run::roll(RollingAction::Restart);
    run.at(2100, ended(ProcessId(3)));
    run.at(2500, ended(ProcessId(1)));
    assert_eq!(run.at(2550, Event::Ready(ProcessId(4))), [], "instance 2 is down");
    run.at(2600, Event::Timeout);
    assert_eq!(run.at(2700, Event::Ready(ProcessId(5))), [end(2)]);
    let (mut run, _) = Run::roll(RollingAction::Restart);
    let mut now = 2000;
    loop {
        now += 100;
        let Some(process) = run.0.instances()[2].process else {
            if run.at(now, Event::Timeout).iter().any(|a| matches!(a, Action::CrashLoop { .. }))
                || now > 60_000
            {
                break;
            }
            if matches!(run.0.instances()[2].state, InstanceState::CrashLoop(_)) {
                break;
            }
            continue;
        };
        run.at(now, ended(process));
    }
    run.at(now, ended(ProcessId(1)));
    let process = run.0.instances()[0].process.expect("started again");
    let actions = run.at(now + 100, Event::Ready(process));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 2, reason }] if reason == "is given up"),
        "{actions:?}"
    );
}

#[test]
fn a_take_over_lets_the_old_process_be_until_the_new_one_is_ready() {
    let (mut run, actions) = Run::roll(RollingAction::Handoff);
    assert_eq!(actions, [start(0, 4)]);
    assert_eq!(run.at(2100, Event::Ready(ProcessId(4))), [start(1, 5)]);
    assert_eq!(run.0.instances()[0].process, Some(ProcessId(4)));
    // The old one ends in its own time, and that is no crash.
    assert_eq!(run.at(9000, Event::Exited { process: ProcessId(1), clean: true, status: String::new() }), []);
    assert_eq!(run.0.instances()[0].state, InstanceState::Ready);
    // The next one never becomes ready: nothing has changed for the process that serves.
    let actions = run.at(9100, ended(ProcessId(5)));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 1, reason }] if reason.contains("before it was ready"))
    );
    assert_eq!(
        (run.0.instances()[1].process, &run.0.instances()[1].state),
        (Some(ProcessId(2)), &InstanceState::Ready)
    );
    // Or it hangs.
    let (mut run, _) = Run::roll(RollingAction::Handoff);
    let actions = run.at(32_000, Event::Timeout);
    assert_eq!(actions[0], Action::Signal(ProcessId(4), Signal::Kill));
    assert!(matches!(&actions[1], Action::RollAborted { instance: 0, .. }));
    assert_eq!(run.at(32_100, ended(ProcessId(4))), []);
    assert_eq!(run.0.instances()[0].state, InstanceState::Ready);
}

/// Guards against two processes of one instance that both believe to be the only one.
#[test]
fn when_the_old_process_dies_during_a_take_over_the_new_one_is_the_instance() {
    let (mut run, _) = Run::roll(RollingAction::Handoff);
    let actions = run.at(2100, ended(ProcessId(1)));
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.starts_with("crashed"))
    );
    assert_eq!(run.at(9000, Event::Timeout), [], "no third one is started");
    run.at(9100, Event::Ready(ProcessId(4)));
    assert_eq!(
        (run.0.instances()[0].process, &run.0.instances()[0].state),
        (Some(ProcessId(4)), &InstanceState::Ready)
    );
}

/// Guards against processes that pile up, and against a roll that halts only because silent callers have not gone yet.
#[test]
fn a_take_over_waits_while_four_old_processes_have_not_ended() {
    let mut run = Run(Supervisor::new(1, SupervisorPolicy::default()));
    run.at(0, Event::Timeout);
    run.at(10, Event::Ready(ProcessId(1)));
    let take_over = || Event::Command(Command::Roll(RollingAction::Handoff));
    for k in 1..=4 {
        assert_eq!(run.at(k * 100, take_over()), [start(0, k + 1)]);
        assert_eq!(
            run.at(k * 100 + 30, Event::Ready(ProcessId(k + 1))),
            [Action::RollFinished(RollingAction::Handoff)]
        );
        assert_eq!(run.0.instances()[0].time_to_ready, Some(ms(30)));
    }
    assert_eq!(run.at(1000, take_over()), [], "the first of five has to wait");
    assert_eq!(run.0.next_timeout(), Some(ms(76_000)));
    assert_eq!(run.at(9000, ended(ProcessId(2))), [start(0, 6)], "until one has gone");
    run.at(9030, Event::Ready(ProcessId(6)));
    run.at(10_000, take_over());
    let actions = run.at(85_000, Event::Timeout);
    assert!(
        matches!(&actions[..], [Action::RollAborted { instance: 0, reason }] if reason.contains("have not ended after 75s"))
    );
    assert_eq!(run.0.next_timeout(), None);
}

/// Guards against figures that leave out the time in which nobody served.
#[test]
fn the_time_until_ready_counts_from_the_signal() {
    let (mut run, _) = Run::roll(RollingAction::Restart);
    run.at(4400, ended(ProcessId(1)));
    run.at(4450, Event::Ready(ProcessId(4)));
    assert_eq!(run.0.instances()[0].time_to_ready, Some(ms(2450)));
    // After a crash it counts from the start of the next process: nobody sent a signal.
    let mut run = Run::ready();
    run.at(2000, ended(ProcessId(1)));
    run.at(2500, Event::Timeout);
    run.at(2540, Event::Ready(ProcessId(4)));
    assert_eq!(run.0.instances()[0].time_to_ready, Some(ms(40)));
}

#[test]
fn several_are_taken_at_once_where_that_is_set() {
    let mut run =
        Run(Supervisor::new(3, SupervisorPolicy { max_parallel: 2, ..SupervisorPolicy::default() }));
    run.at(200, Event::Timeout);
    for p in 1..=3 {
        run.at(1000, Event::Ready(ProcessId(p)));
    }
    assert_eq!(run.at(2000, Event::Command(Command::Roll(RollingAction::Restart))), [end(1), end(2)]);
}

#[test]
fn all_are_stopped_and_what_does_not_end_is_killed() {
    let mut run = Run::ready();
    assert_eq!(run.at(2000, Event::Command(Command::Stop)), [end(1), end(2), end(3)]);
    run.at(2100, ended(ProcessId(1)));
    run.at(2200, ended(ProcessId(3)));
    assert_eq!(run.at(12_000, Event::Timeout), [Action::Signal(ProcessId(2), Signal::Kill)]);
    assert_eq!(run.at(12_100, ended(ProcessId(2))), [Action::Stopped]);
    assert!(run.at(99_000, Event::Timeout).is_empty(), "nothing is started again");
    // One that has passed its sockets on hurries too, and is waited for.
    let (mut run, _) = Run::roll(RollingAction::Handoff);
    run.at(2100, Event::Ready(ProcessId(4)));
    let actions = run.at(2200, Event::Command(Command::Stop));
    assert!(actions.contains(&end(1)) && actions.contains(&end(5)), "{actions:?}");
    for p in [2, 3, 4, 5] {
        assert_eq!(run.at(2300, ended(ProcessId(p))), []);
    }
    assert_eq!(run.at(2400, ended(ProcessId(1))), [Action::Stopped]);
}

#[test]
fn what_was_found_running_is_not_started_again() {
    let mut fleet = Supervisor::new(2, SupervisorPolicy::default());
    let found = fleet.adopt(ms(0), 0, true);
    let mut run = Run(fleet);
    let actions = run.at(100, Event::Timeout);
    assert!(matches!(actions[..], [Action::Start { instance: 1, .. }]));
    run.at(200, ended(found));
    assert_eq!(run.0.instances()[0].state, InstanceState::BackingOff(ms(700)), "it crashed like any other");
}

#[derive(Clone, Debug)]
enum Step {
    Ready(usize),
    Ended(usize),
    NotReloaded(usize),
    Leave(usize),
    Command(Command),
    Time,
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
        4 => (0usize..8).prop_map(Step::Ended),
        1 => (0usize..8).prop_map(Step::NotReloaded),
        4 => (0usize..8).prop_map(Step::Leave),
        2 => command.prop_map(Step::Command),
        4 => Just(Step::Time),
    ];
    proptest::collection::vec((0u64..5000, step), 0..80)
}

proptest! {
    // The same cases every time, so that the verdict is the same.
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// On every path: one process an instance but for a take-over, no more than one instance down by our own doing, no
    /// signal to what has ended, and no crash loop.
    #[test]
    fn whatever_happens_no_more_is_taken_away_than_was_said(steps in steps(), asks in any::<bool>()) {
        let mut fleet = Supervisor::new(4, SupervisorPolicy { requires_lease: asks, ..SupervisorPolicy::default() });
        // Instances for which leave is asked, and for which there is some.
        let (mut asked, mut has) = (BTreeSet::new(), BTreeSet::new());
        // Processes that run, and their instance.
        let mut running: BTreeMap<ProcessId, usize> = BTreeMap::new();
        let (mut now, mut actions) = (0, Vec::new());
        for (gap, step) in steps {
            now += gap;
            let pick = |n: usize| running.keys().nth(n % running.len().max(1)).copied();
            let event = match step {
                Step::Ready(n) => pick(n).map(Event::Ready),
                Step::Ended(n) => pick(n).map(ended),
                Step::NotReloaded(n) => pick(n).map(|p| Event::ReloadFailed(p, "x".into())),
                Step::Command(command) => Some(Event::Command(command)),
                // Also leave that comes late, for what was given back.
                Step::Leave(n) if asks => {
                    has.extend(asked.take(&(n % 4)));
                    Some(Event::LeaseGranted(n % 4))
                }
                Step::Leave(_) => None,
                Step::Time => None,
            }
            .unwrap_or(Event::Timeout);
            if let Event::Exited { process, .. } = &event {
                running.remove(process);
            }
            let rolling = fleet.rolling();
            fleet.handle(ms(now), event.clone(), &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::RequestLease { instance, .. } => {
                        prop_assert!(asks && !has.contains(&instance) && asked.insert(instance), "asked once");
                    }
                    Action::ReleaseLease { instance, .. } => {
                        asked.remove(&instance);
                        has.remove(&instance);
                    }
                    Action::Start { instance, process } => {
                        prop_assert!(running.insert(process, instance).is_none());
                        let taking_over = fleet.instances()[instance].successor == Some(process);
                        prop_assert!(!asks || !taking_over || has.contains(&instance), "taken over without leave");
                        let others = running.iter().filter(|&(p, i)| *i == instance && *p != process).count();
                        prop_assert!(taking_over || others == fleet.instances()[instance].draining_predecessors.len());
                        prop_assert!(others <= 5, "bounded");
                    }
                    Action::Signal(process, signal) => {
                        prop_assert!(running.contains_key(&process), "a signal to what has ended");
                        if asks && matches!(signal, Signal::Terminate | Signal::Reload) && event != Event::Command(Command::Stop) {
                            prop_assert!(has.contains(&running[&process]), "{signal:?} without leave");
                        }
                        if signal == Signal::Terminate && event != Event::Command(Command::Stop) && fleet.rolling().is_some() {
                            let up = fleet.instances().iter().filter(|i| i.state == InstanceState::Ready).count();
                            prop_assert!(up >= 3, "a restart beside another that is down");
                        }
                    }
                    Action::RollAborted { .. } | Action::RollFinished(_) => prop_assert!(fleet.rolling().is_none()),
                    Action::Rejected(why) => prop_assert!(rolling.is_some() || why.contains("stopped")),Action::CrashLoop { .. } | Action::Stopped => {}
                }
            }
            if fleet.rolling().is_none() {
                prop_assert!(asked.is_empty() && has.is_empty(), "kept: {asked:?} {has:?}");
            }
            for i in fleet.instances() {
                if matches!(i.state, InstanceState::Ready | InstanceState::Reloading | InstanceState::Starting | InstanceState::Restarting | InstanceState::Stopping) {
                    prop_assert!(i.process.is_some_and(|p| running.contains_key(&p)), "{i:?}");
                } else {
                    prop_assert!(i.process.is_none(), "{i:?}");
                }
            }
            if let Some(wake) = fleet.next_timeout() {
                prop_assert!(wake > ms(now), "it wants to be told of what it was told");
            }
        }
    }
}

/// Guards against a replacement that waits for what never comes: whatever the instance does, its next process is started, and
/// what its build did before does not count against the next one.
#[test]
fn a_replacement_is_started_whatever_the_instance_does() {
    // It serves.
    let mut run = Run::ready();
    assert_eq!(run.at(2000, Event::Command(Command::Replace(0))), [end(1)]);
    assert_eq!(run.at(2500, ended(ProcessId(1))), [start(0, 4)]);
    // It is not ready yet, and is to be replaced once more.
    assert_eq!(run.at(2600, Event::Command(Command::Replace(0))), [end(4)]);
    assert_eq!(run.at(2700, ended(ProcessId(4))), [start(0, 5)]);
    // It crashes again and again, and is given up.
    let mut now = 3000;
    while !matches!(run.0.instances()[0].state, InstanceState::CrashLoop(_)) {
        let process = run.0.instances()[0].process.expect("a process");
        run.at(now, ended(process));
        now += 5000;
        run.at(now, Event::Timeout);
    }
    let crashes = |run: &Run, now: u64| run.0.instances()[0].recent_crashes(ms(now), ms(60_000));
    assert_eq!((crashes(&run, now), crashes(&run, now + 60_000)), (5, 0));
    let actions = run.at(now, Event::Command(Command::Replace(0)));
    assert!(matches!(actions[..], [Action::Start { instance: 0, .. }]), "{actions:?}");
    assert_eq!(crashes(&run, now), 0);
    // One that the operator stopped stays so.
    run.at(now, Event::Command(Command::Stop));
    assert_eq!(run.at(now, Event::Command(Command::Replace(1))), []);
}
