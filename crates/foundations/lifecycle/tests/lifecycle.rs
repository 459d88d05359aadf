//! Scenarios of the lifecycle, and invariants that hold for every sequence of events.
use lifecycle::{Action, Event, Exit, Lifecycle, ShutdownTimeouts, State, SuccessorEvent, TimeoutOrderError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn counts(requests: usize, connections: usize) -> Event {
    Event::OpenCounts { requests, connections }
}

/// Lifecycle under test, driven by events at times in milliseconds.
struct Harness(Lifecycle);

impl Harness {
    /// Process with sockets of its own, before any event.
    fn starting() -> Harness {
        Harness(Lifecycle::new(ShutdownTimeouts::default()))
    }

    fn handle_at(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(ms(now_ms), event, &mut actions);
        actions
    }

    /// Process that is ready at 10 ms.
    fn ready() -> Harness {
        let mut harness = Harness::starting();
        assert_eq!(harness.handle_at(0, Event::Listening), [Action::Accept]);
        assert_eq!(harness.handle_at(10, Event::EndpointsKnown), [Action::NotifyReady]);
        assert_eq!(harness.0.state(), State::Ready);
        harness
    }

    /// Process that received the stop signal at 1 s.
    fn shutting_down() -> Harness {
        let mut harness = Harness::ready();
        assert_eq!(
            harness.handle_at(1000, Event::Stop),
            [Action::NotifyStopping, Action::AnswerBy(ms(4500))]
        );
        harness
    }
}

/// Guards against a shutdown that misses the times of the platform after SIGTERM: accept connections for 0.5 s, serve for
/// 2.4 s and announce the close from 1.9 s on, answer all requests by 3.5 s, exit by 3.65 s.
#[test]
fn a_shutdown_keeps_the_times_of_the_platform() {
    let mut harness = Harness::shutting_down();
    assert_eq!(harness.0.next_timeout(), Some(ms(1500)));
    assert_eq!(
        harness.handle_at(1499, counts(0, 0)),
        [],
        "clients may still connect, although none is connected"
    );
    assert_eq!(harness.handle_at(1500, Event::Timeout), [Action::StopAccepting]);
    assert_eq!(harness.handle_at(1600, counts(3, 5)), []);
    assert_eq!((harness.0.state(), harness.0.next_timeout()), (State::Draining, Some(ms(2900))));
    assert_eq!(harness.handle_at(2900, Event::Timeout), [Action::CloseConnections]);
    assert_eq!((harness.0.state(), harness.0.next_timeout()), (State::Closing, Some(ms(3400))));
    assert_eq!(harness.handle_at(3000, counts(2, 5)), [], "responses announce the close first");
    assert_eq!(harness.handle_at(3400, Event::Timeout), [Action::CloseIdleConnections]);
    assert_eq!(harness.handle_at(3500, counts(1, 1)), []);
    assert_eq!(harness.handle_at(4500, Event::Timeout), [Action::FailOpenRequests]);
    assert_eq!(harness.handle_at(4510, counts(0, 1)), [], "the answer is still being sent");
    assert_eq!(harness.handle_at(4520, counts(0, 0)), [Action::Exit(Exit::Failed(1))]);
    assert_eq!(harness.handle_at(9999, Event::Stop), [], "events are ignored after the exit");
}

#[test]
fn it_exits_once_no_connection_is_open_and_at_the_deadline_in_any_case() {
    let mut harness = Harness::shutting_down();
    harness.handle_at(3400, counts(0, 2));
    assert_eq!(harness.handle_at(3401, counts(0, 0)), [Action::Exit(Exit::Done)]);
    // Guards against an exit because of a count from before the last connection was accepted.
    let mut stale = Harness::ready();
    stale.handle_at(20, counts(0, 0));
    stale.handle_at(21, Event::Successor(SuccessorEvent::Connected));
    assert!(!stale
        .handle_at(22, Event::Successor(SuccessorEvent::Ready))
        .contains(&Action::Exit(Exit::Done)));
    assert_eq!(stale.handle_at(23, counts(0, 0)), [Action::Exit(Exit::Done)]);
    let mut stuck = Harness::shutting_down();
    stuck.handle_at(3400, counts(0, 2));
    assert_eq!(
        stuck.handle_at(4500, Event::Timeout),
        [Action::FailOpenRequests],
        "there may be requests that were not counted yet"
    );
    assert_eq!(stuck.0.next_timeout(), Some(ms(4650)));
    assert_eq!(stuck.handle_at(4650, Event::Timeout), [Action::Exit(Exit::Done)]);
}

/// Guards against a step that is skipped because a timer fires late.
#[test]
fn a_late_timeout_skips_no_step() {
    let mut harness = Harness::shutting_down();
    harness.handle_at(1200, counts(2, 2));
    let all_steps = [
        Action::StopAccepting,
        Action::CloseConnections,
        Action::CloseIdleConnections,
        Action::FailOpenRequests,
        Action::Exit(Exit::Failed(2)),
    ];
    assert_eq!(harness.handle_at(99_000, Event::Timeout), all_steps);
}

/// Guards against announcing the close before the last connection was accepted, or never.
#[test]
fn the_close_is_announced_after_accepting_stops_and_before_idle_connections_close() {
    for (announcement_ms, closing_at_ms) in [(0, 2400), (1900, 500), (5000, 500)] {
        let timeouts =
            ShutdownTimeouts { close_announcement: ms(announcement_ms), ..ShutdownTimeouts::default() };
        let mut harness = Harness(Lifecycle::new(timeouts));
        harness.handle_at(0, Event::Listening);
        harness.handle_at(0, Event::Stop);
        harness.handle_at(100, counts(1, 1));
        harness.handle_at(500, Event::Timeout);
        assert_eq!(harness.0.state() == State::Closing, closing_at_ms == 500, "{announcement_ms}");
        let first = harness.handle_at(closing_at_ms, Event::Timeout);
        assert_eq!(first.contains(&Action::CloseIdleConnections), closing_at_ms == 2400, "{announcement_ms}");
        assert!(harness.0.next_timeout() > Some(ms(closing_at_ms)));
    }
}

#[test]
fn a_stop_before_ready_exits_at_once_unless_connections_may_have_been_accepted() {
    assert_eq!(
        Harness::starting().handle_at(5, Event::Stop),
        [Action::NotifyStopping, Action::Exit(Exit::Done)]
    );
    let mut harness = Harness::starting();
    harness.handle_at(0, Event::Listening);
    assert_eq!(harness.handle_at(5, Event::Stop)[0], Action::NotifyStopping);
    assert_eq!(
        harness.0.state(),
        State::ShuttingDown,
        "it listens, so connections may wait in the accept queue"
    );
    assert_eq!(harness.handle_at(6, Event::EndpointsKnown), [], "too late to be ready");
}

#[test]
fn further_signals_are_ignored_during_a_shutdown() {
    let mut harness = Harness::shutting_down();
    assert_eq!(harness.handle_at(1100, Event::Stop), [Action::IgnoreSignal(Event::Stop)]);
    assert_eq!(harness.handle_at(1100, Event::Reload), [Action::IgnoreSignal(Event::Reload)]);
    assert_eq!(harness.0.next_timeout(), Some(ms(1500)), "counted from the first signal");
}

#[test]
fn reloads_are_sequential_and_a_stop_ends_them() {
    let mut harness = Harness::ready();
    let reload = [Action::NotifyReloading, Action::ReadFiles];
    assert_eq!(harness.handle_at(20, Event::Reload), reload);
    assert_eq!(harness.handle_at(21, Event::Reload), []);
    assert_eq!(harness.handle_at(22, Event::Reload), [], "one further reload covers both requests");
    assert_eq!(
        harness.handle_at(23, Event::Reloaded),
        [Action::NotifyReady, Action::NotifyReloading, Action::ReadFiles]
    );
    assert_eq!(harness.handle_at(24, Event::Stop)[0], Action::NotifyStopping);
    assert_eq!(harness.handle_at(25, Event::Reloaded), []);
    assert_eq!(harness.0.state(), State::ShuttingDown);
}

#[test]
fn a_reload_before_the_process_is_ready_does_not_wait_for_endpoints() {
    let mut harness = Harness::starting();
    assert_eq!(harness.handle_at(0, Event::Reload), [Action::ReadFiles]);
    assert_eq!(harness.handle_at(1, Event::Reload), []);
    assert_eq!(
        harness.handle_at(2, Event::Reloaded),
        [Action::ReadFiles],
        "the files may have changed again"
    );
    assert_eq!(harness.handle_at(3, Event::Reload), []);
    harness.handle_at(4, Event::Listening);
    // It may become ready while the files are read; the further reload follows.
    assert_eq!(harness.handle_at(5, Event::EndpointsKnown), [Action::NotifyReady]);
    assert_eq!(harness.handle_at(6, Event::Reloaded), [Action::NotifyReloading, Action::ReadFiles]);
    assert_eq!(harness.handle_at(7, Event::Reloaded), [Action::NotifyReady]);
    assert_eq!(harness.0.state(), State::Ready);
}

#[test]
fn sockets_are_handed_off_only_to_a_successor_that_is_ready() {
    let mut harness = Harness::ready();
    assert_eq!(
        harness.handle_at(20, Event::Successor(SuccessorEvent::Ready)),
        [],
        "no successor is connected"
    );
    assert_eq!(
        harness.handle_at(30, Event::Successor(SuccessorEvent::Connected)),
        [Action::HandOffListeners]
    );
    assert_eq!(
        harness.handle_at(31, Event::Successor(SuccessorEvent::Connected)),
        [Action::RejectSuccessor],
        "one successor at a time"
    );
    assert_eq!(
        harness.handle_at(40, Event::Successor(SuccessorEvent::Disconnected)),
        [],
        "the successor was not ready: the state is unchanged"
    );
    assert!(harness.0.is_accepting() && harness.0.state() == State::Ready);
    assert_eq!(
        harness.handle_at(50, Event::Successor(SuccessorEvent::Connected)),
        [Action::HandOffListeners]
    );
    harness.handle_at(60, counts(2, 3));
    let handoff_actions = [
        Action::NotifyStopping,
        Action::AnswerBy(ms(60_070)),
        Action::StopAccepting,
        Action::ReleaseSuccessor,
        Action::CloseConnections,
    ];
    assert_eq!(harness.handle_at(70, Event::Successor(SuccessorEvent::Ready)), handoff_actions);
    assert_eq!(
        harness.handle_at(80, Event::Successor(SuccessorEvent::Disconnected)),
        [],
        "the sockets belong to the successor"
    );
    assert_eq!(
        harness.handle_at(81, Event::Successor(SuccessorEvent::Connected)),
        [Action::RejectSuccessor],
        "there are no sockets to hand off"
    );
    assert_eq!(harness.handle_at(5000, counts(1, 1)), [], "idle connections stay open");
    assert_eq!(harness.0.next_timeout(), Some(ms(10_070)));
    assert_eq!(harness.handle_at(10_070, Event::Timeout), [Action::CloseIdleConnections]);
    assert_eq!(harness.handle_at(10_080, counts(1, 1)), [], "the open request is still answered");
    assert_eq!(harness.handle_at(11_000, counts(0, 0)), [Action::Exit(Exit::Done)]);
}

#[test]
fn a_stop_during_a_handoff_shortens_the_shutdown() {
    // Stop before the successor is ready: a usual shutdown, during which the sockets can still be handed off.
    let mut harness = Harness::ready();
    harness.handle_at(20, Event::Successor(SuccessorEvent::Connected));
    harness.handle_at(1000, Event::Stop);
    harness.handle_at(1001, counts(1, 1));
    let handoff_actions = [Action::StopAccepting, Action::ReleaseSuccessor, Action::CloseConnections];
    assert_eq!(harness.handle_at(1100, Event::Successor(SuccessorEvent::Ready)), handoff_actions);
    assert_eq!(harness.0.next_timeout(), Some(ms(3400)), "counted from the stop");
    // Stop after the handoff: open requests have the usual time from the signal on.
    let mut harness = Harness::ready();
    harness.handle_at(20, Event::Successor(SuccessorEvent::Connected));
    harness.handle_at(21, counts(1, 1));
    harness.handle_at(30, Event::Successor(SuccessorEvent::Ready));
    assert_eq!(harness.handle_at(1000, Event::Stop), [Action::AnswerBy(ms(4500))]);
    assert_eq!(harness.handle_at(3400, Event::Timeout), [Action::CloseIdleConnections]);
    assert_eq!(harness.handle_at(4500, Event::Timeout), [Action::FailOpenRequests]);
    assert_eq!(harness.handle_at(4650, Event::Timeout), [Action::Exit(Exit::Failed(1))]);
}

#[test]
fn a_successor_accepts_connections_once_it_is_released() {
    let new_successor = || Harness(Lifecycle::new_successor(ShutdownTimeouts::default()));
    let mut harness = new_successor();
    assert_eq!(harness.handle_at(0, Event::Listening), []);
    assert_eq!(harness.handle_at(9, Event::EndpointsKnown), [Action::Claim]);
    assert_eq!(harness.handle_at(10, Event::EndpointsKnown), [], "the sockets are claimed once");
    assert_eq!(harness.handle_at(20, Event::Released), [Action::Accept, Action::NotifyReady]);
    // If the predecessor exits before the successor is ready, the sockets belong to the successor, which starts like any
    // other process.
    let mut orphan = new_successor();
    orphan.handle_at(0, Event::Listening);
    assert_eq!(orphan.handle_at(5, Event::Released), [Action::Accept]);
    assert_eq!(orphan.handle_at(9, Event::EndpointsKnown), [Action::NotifyReady]);
    // A successor that is stopped before its release leaves the sockets to its predecessor.
    let mut stopped = new_successor();
    stopped.handle_at(0, Event::Listening);
    assert_eq!(stopped.handle_at(5, Event::Stop), [Action::NotifyStopping, Action::Exit(Exit::Done)]);
}

#[test]
fn timeouts_out_of_order_are_reported_with_their_field() {
    assert_eq!(ShutdownTimeouts::default().validate(), Ok(()));
    let bad = ShutdownTimeouts { fail_requests_after: ms(100), ..ShutdownTimeouts::default() };
    assert_eq!(bad.validate(), Err(TimeoutOrderError { field: "fail_requests_after" }));
    let bad = ShutdownTimeouts { handoff_fail_requests_after: ms(100), ..ShutdownTimeouts::default() };
    assert_eq!(bad.validate(), Err(TimeoutOrderError { field: "handoff_fail_requests_after" }));
}

/// Sequences of events, each after a gap in milliseconds.
fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        3 => Just(Event::Listening),
        3 => Just(Event::EndpointsKnown),
        2 => Just(Event::Stop),
        2 => Just(Event::Reload),
        2 => Just(Event::Reloaded),
        2 => Just(Event::Released),
        2 => Just(Event::Successor(SuccessorEvent::Connected)),
        2 => Just(Event::Successor(SuccessorEvent::Ready)),
        1 => Just(Event::Successor(SuccessorEvent::Disconnected)),
        6 => (0usize..4, 0usize..4).prop_map(|(r, c)| counts(r, r + c)),
        4 => Just(Event::Timeout),
    ];
    proptest::collection::vec((0u64..900, event), 0..60)
}

proptest! {
    // A fixed seed, so that every run checks the same cases.
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For every sequence of events: the steps are taken in order, the deadlines of the shutdown are kept, and the process
    /// exits exactly once.
    #[test]
    fn invariants_hold_for_every_sequence_of_events(events in events(), is_successor: bool) {
        let timeouts = ShutdownTimeouts::default();
        let mut lifecycle = if is_successor { Lifecycle::new_successor(timeouts.clone()) } else { Lifecycle::new(timeouts.clone()) };
        let (mut now, mut all, mut stopped_at, mut open) = (0, Vec::new(), None, (0, 0));
        let (mut released, mut listening, mut known) = (!is_successor, false, false);
        let generated = events.into_iter().map(|(gap, e)| (gap, Some(e)));
        // After them a stop signal, and then only timeouts for 40 s.
        let shutdown = (0..400).map(|k| (100, (k == 0).then_some(Event::Stop)));
        for (gap_ms, event) in generated.chain(shutdown) {
            now += gap_ms;
            let event = event.unwrap_or(Event::Timeout);
            let (before, mut actions) = (lifecycle.state(), Vec::new());
            if let Event::OpenCounts { requests, connections } = event {
                open = (requests, connections);
            }
            released |= event == Event::Released;
            listening |= event == Event::Listening;
            known |= event == Event::EndpointsKnown;
            lifecycle.handle(ms(now), event, &mut actions);
            if event == Event::Stop && before < State::Ended && stopped_at.is_none() {
                stopped_at = Some(now);
            }
            prop_assert!(lifecycle.state() >= before || before <= State::Reloading, "{before:?} to {:?}", lifecycle.state());
            for action in &actions {
                match action {
                    Action::Accept => prop_assert!(released && listening),
                    Action::NotifyReady => prop_assert!(released && listening && known && lifecycle.is_accepting()),
                    Action::Exit(Exit::Done) if before >= State::ShuttingDown => {
                        let is_late = stopped_at.is_some_and(|at| ms(now) >= ms(at) + timeouts.exit_after) || all.contains(&Action::FailOpenRequests);
                        prop_assert!(open == (0, 0) || is_late || actions.contains(&Action::FailOpenRequests), "exited with {open:?} open");
                    }
                    _ => {}
                }
            }
            all.extend(actions);
            if let Some(timeout) = lifecycle.next_timeout() {
                prop_assert!(timeout > ms(now), "the next timeout is not in the future");
            } else {
                prop_assert!(lifecycle.state() < State::ShuttingDown || lifecycle.state() == State::Ended);
            }
            if let Some(stopped_at) = stopped_at {
                prop_assert!(ms(now) < ms(stopped_at) + timeouts.exit_after || lifecycle.state() == State::Ended, "still running: {lifecycle:?}");
            }
        }
        prop_assert_eq!(lifecycle.state(), State::Ended);
        let count = |wanted: fn(&Action) -> bool| all.iter().filter(|a| wanted(a)).count();
        let position = |wanted: fn(&Action) -> bool| all.iter().position(wanted);
        prop_assert_eq!(count(|a| matches!(a, Action::Exit(_))), 1);
        prop_assert!(matches!(all.last(), Some(Action::Exit(_))), "no action follows the exit");
        for once in [
            (|a| *a == Action::Accept) as fn(&Action) -> bool,
            |a| *a == Action::StopAccepting,
            |a| *a == Action::ReleaseSuccessor,
            |a| *a == Action::CloseConnections,
            |a| *a == Action::CloseIdleConnections,
            |a| *a == Action::FailOpenRequests,
            |a| *a == Action::NotifyStopping,
        ] {
            prop_assert!(count(once) <= 1);
        }
        let (accept, stop_accepting) = (position(|a| *a == Action::Accept), position(|a| *a == Action::StopAccepting));
        prop_assert_eq!(accept.is_some(), stop_accepting.is_some(), "accepting starts and stops");
        prop_assert!(accept <= stop_accepting);
        let close_idle = position(|a| *a == Action::CloseIdleConnections);
        prop_assert!(close_idle.is_none() || position(|a| *a == Action::CloseConnections) < close_idle, "the close is announced first");
        if let Some(release) = position(|a| *a == Action::ReleaseSuccessor) {
            prop_assert!(stop_accepting < Some(release) && position(|a| *a == Action::HandOffListeners) < stop_accepting);
        }
        if count(|a| matches!(a, Action::Exit(Exit::Failed(_)))) == 1 {
            prop_assert!(position(|a| *a == Action::FailOpenRequests).is_some());
        }
    }
}
