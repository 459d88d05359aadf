//! The lifecycle, path by path, and what holds on every path.
use lifecycle::{Action, Event, Exit, Lifecycle, ShutdownTimeouts, State, SuccessorEvent, TimeoutOrderError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn counts(requests: usize, connections: usize) -> Event {
    Event::OpenCounts { requests, connections }
}

struct Run(Lifecycle);

impl Run {
    fn own() -> Run {
        Run(Lifecycle::new(ShutdownTimeouts::default()))
    }

    fn at(&mut self, now: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(ms(now), event, &mut actions);
        actions
    }

    fn ready() -> Run {
        let mut run = Run::own();
        assert_eq!(run.at(0, Event::Listening), [Action::Accept]);
        assert_eq!(run.at(10, Event::EndpointsKnown), [Action::NotifyReady]);
        assert_eq!(run.0.state(), State::Ready);
        run
    }

    fn leaving() -> Run {
        let mut run = Run::ready();
        assert_eq!(run.at(1000, Event::Stop), [Action::NotifyStopping, Action::AnswerBy(ms(4500))]);
        run
    }
}

/// Guards the platform's promises: accept for 0.5 s, serve for 2.4 s, announcing the close from 1.9 s on, answer by
/// 3.5 s, end by 3.65 s.
#[test]
fn told_to_end_it_keeps_the_platforms_times() {
    let mut run = Run::leaving();
    assert_eq!(run.0.next_timeout(), Some(ms(1500)));
    assert_eq!(run.at(1499, counts(0, 0)), [], "callers may still come, though none is there");
    assert_eq!(run.at(1500, Event::Timeout), [Action::StopAccepting]);
    assert_eq!(run.at(1600, counts(3, 5)), []);
    assert_eq!((run.0.state(), run.0.next_timeout()), (State::Draining, Some(ms(2900))));
    assert_eq!(run.at(2900, Event::Timeout), [Action::CloseConnections]);
    assert_eq!((run.0.state(), run.0.next_timeout()), (State::Closing, Some(ms(3400))));
    assert_eq!(run.at(3000, counts(2, 5)), [], "they are told first");
    assert_eq!(run.at(3400, Event::Timeout), [Action::CloseIdleConnections]);
    assert_eq!(run.at(3500, counts(1, 1)), []);
    assert_eq!(run.at(4500, Event::Timeout), [Action::FailOpenRequests]);
    assert_eq!(run.at(4510, counts(0, 1)), [], "the answer is still on its way");
    assert_eq!(run.at(4520, counts(0, 0)), [Action::Exit(Exit::Failed(1))]);
    assert_eq!(run.at(9999, Event::Stop), [], "it has ended");
}

#[test]
fn it_ends_as_soon_as_nobody_is_left_and_at_last_whoever_is() {
    let mut run = Run::leaving();
    run.at(3400, counts(0, 2));
    assert_eq!(run.at(3401, counts(0, 0)), [Action::Exit(Exit::Done)]);
    // Guards against ending by a count from before the last connection was accepted.
    let mut stale = Run::ready();
    stale.at(20, counts(0, 0));
    stale.at(21, Event::Successor(SuccessorEvent::Connected));
    assert!(!stale.at(22, Event::Successor(SuccessorEvent::Ready)).contains(&Action::Exit(Exit::Done)));
    assert_eq!(stale.at(23, counts(0, 0)), [Action::Exit(Exit::Done)]);
    let mut stuck = Run::leaving();
    stuck.at(3400, counts(0, 2));
    assert_eq!(
        stuck.at(4500, Event::Timeout),
        [Action::FailOpenRequests],
        "there may be some that were not counted yet"
    );
    assert_eq!(stuck.0.next_timeout(), Some(ms(4650)));
    assert_eq!(stuck.at(4650, Event::Timeout), [Action::Exit(Exit::Done)]);
}

/// Guards against a late timer that skips a step.
#[test]
fn late_news_of_the_time_skips_no_step() {
    let mut run = Run::leaving();
    run.at(1200, counts(2, 2));
    let end = [
        Action::StopAccepting,
        Action::CloseConnections,
        Action::CloseIdleConnections,
        Action::FailOpenRequests,
        Action::Exit(Exit::Failed(2)),
    ];
    assert_eq!(run.at(99_000, Event::Timeout), end);
}

/// Guards against an announcement that would begin before the last connection was accepted, or never.
#[test]
fn the_close_is_announced_between_accepting_and_the_end_of_serving() {
    for (announcing, closes) in [(0, 2400), (1900, 500), (5000, 500)] {
        let figures = ShutdownTimeouts { close_announcement: ms(announcing), ..ShutdownTimeouts::default() };
        let mut run = Run(Lifecycle::new(figures));
        run.at(0, Event::Listening);
        run.at(0, Event::Stop);
        run.at(100, counts(1, 1));
        run.at(500, Event::Timeout);
        assert_eq!(run.0.state() == State::Closing, closes == 500, "{announcing}");
        let first = run.at(closes, Event::Timeout);
        assert_eq!(first.contains(&Action::CloseIdleConnections), closes == 2400, "{announcing}");
        assert!(run.0.next_timeout() > Some(ms(closes)));
    }
}

#[test]
fn a_stop_before_ready_ends_it_and_owes_only_what_was_accepted() {
    assert_eq!(Run::own().at(5, Event::Stop), [Action::NotifyStopping, Action::Exit(Exit::Done)]);
    let mut run = Run::own();
    run.at(0, Event::Listening);
    assert_eq!(run.at(5, Event::Stop)[0], Action::NotifyStopping);
    assert_eq!(run.0.state(), State::ShuttingDown, "it listens, so somebody may wait to be accepted");
    assert_eq!(run.at(6, Event::EndpointsKnown), [], "too late to be ready");
}

#[test]
fn further_signals_change_nothing_while_it_stops() {
    let mut run = Run::leaving();
    assert_eq!(run.at(1100, Event::Stop), [Action::IgnoreSignal(Event::Stop)]);
    assert_eq!(run.at(1100, Event::Reload), [Action::IgnoreSignal(Event::Reload)]);
    assert_eq!(run.0.next_timeout(), Some(ms(1500)), "counted from the first");
}

#[test]
fn reloads_follow_one_another_and_give_way_to_a_stop() {
    let mut run = Run::ready();
    let reload = [Action::NotifyReloading, Action::ReadFiles];
    assert_eq!(run.at(20, Event::Reload), reload);
    assert_eq!(run.at(21, Event::Reload), []);
    assert_eq!(run.at(22, Event::Reload), [], "one more is enough for both");
    assert_eq!(
        run.at(23, Event::Reloaded),
        [Action::NotifyReady, Action::NotifyReloading, Action::ReadFiles]
    );
    assert_eq!(run.at(24, Event::Stop)[0], Action::NotifyStopping);
    assert_eq!(run.at(25, Event::Reloaded), []);
    assert_eq!(run.0.state(), State::ShuttingDown);
    // Asked for before it is ready: done once it is.
    let mut early = Run::own();
    assert_eq!(early.at(0, Event::Reload), []);
    early.at(1, Event::Listening);
    assert_eq!(
        early.at(2, Event::EndpointsKnown),
        [Action::NotifyReady, Action::NotifyReloading, Action::ReadFiles]
    );
}

#[test]
fn sockets_are_given_up_only_to_a_successor_that_is_ready() {
    let mut run = Run::ready();
    assert_eq!(run.at(20, Event::Successor(SuccessorEvent::Ready)), [], "nobody has come");
    assert_eq!(run.at(30, Event::Successor(SuccessorEvent::Connected)), [Action::HandOffListeners]);
    assert_eq!(
        run.at(31, Event::Successor(SuccessorEvent::Connected)),
        [Action::RejectSuccessor],
        "one at a time"
    );
    assert_eq!(
        run.at(40, Event::Successor(SuccessorEvent::Disconnected)),
        [],
        "it never became ready: nothing has changed"
    );
    assert!(run.0.is_accepting() && run.0.state() == State::Ready);
    assert_eq!(run.at(50, Event::Successor(SuccessorEvent::Connected)), [Action::HandOffListeners]);
    run.at(60, counts(2, 3));
    let given = [
        Action::NotifyStopping,
        Action::AnswerBy(ms(60_070)),
        Action::StopAccepting,
        Action::ReleaseSuccessor,
        Action::CloseConnections,
    ];
    assert_eq!(run.at(70, Event::Successor(SuccessorEvent::Ready)), given);
    assert_eq!(run.at(80, Event::Successor(SuccessorEvent::Disconnected)), [], "the sockets are its own");
    assert_eq!(
        run.at(81, Event::Successor(SuccessorEvent::Connected)),
        [Action::RejectSuccessor],
        "there is nothing to pass on"
    );
    assert_eq!(run.at(5000, counts(1, 1)), [], "no hurry");
    assert_eq!(run.0.next_timeout(), Some(ms(10_070)));
    assert_eq!(run.at(10_070, Event::Timeout), [Action::CloseIdleConnections]);
    assert_eq!(run.at(10_080, counts(1, 1)), [], "it is answered yet");
    assert_eq!(run.at(11_000, counts(0, 0)), [Action::Exit(Exit::Done)]);
}

#[test]
fn a_stop_during_a_take_over_hurries_it() {
    // Before the successor is ready: as usual, and it may still get the sockets.
    let mut run = Run::ready();
    run.at(20, Event::Successor(SuccessorEvent::Connected));
    run.at(1000, Event::Stop);
    run.at(1001, counts(1, 1));
    let given = [Action::StopAccepting, Action::ReleaseSuccessor, Action::CloseConnections];
    assert_eq!(run.at(1100, Event::Successor(SuccessorEvent::Ready)), given);
    assert_eq!(run.0.next_timeout(), Some(ms(3400)), "counted from the stop");
    // After that: what is open has the usual time from now on.
    let mut run = Run::ready();
    run.at(20, Event::Successor(SuccessorEvent::Connected));
    run.at(21, counts(1, 1));
    run.at(30, Event::Successor(SuccessorEvent::Ready));
    assert_eq!(run.at(1000, Event::Stop), [Action::AnswerBy(ms(4500))]);
    assert_eq!(run.at(3400, Event::Timeout), [Action::CloseIdleConnections]);
    assert_eq!(run.at(4500, Event::Timeout), [Action::FailOpenRequests]);
    assert_eq!(run.at(4650, Event::Timeout), [Action::Exit(Exit::Failed(1))]);
}

#[test]
fn a_successor_accepts_once_it_was_released() {
    let succeeding = || Run(Lifecycle::new_successor(ShutdownTimeouts::default()));
    let mut run = succeeding();
    assert_eq!(run.at(0, Event::Listening), []);
    assert_eq!(run.at(9, Event::EndpointsKnown), [Action::Claim]);
    assert_eq!(run.at(10, Event::EndpointsKnown), [], "once");
    assert_eq!(run.at(20, Event::Released), [Action::Accept, Action::NotifyReady]);
    // Its predecessor died before it was ready: the sockets are its own, and it starts like any other.
    let mut orphan = succeeding();
    orphan.at(0, Event::Listening);
    assert_eq!(orphan.at(5, Event::Released), [Action::Accept]);
    assert_eq!(orphan.at(9, Event::EndpointsKnown), [Action::NotifyReady]);
    // Told to end before that, it leaves the sockets to its predecessor.
    let mut stopped = succeeding();
    stopped.at(0, Event::Listening);
    assert_eq!(stopped.at(5, Event::Stop), [Action::NotifyStopping, Action::Exit(Exit::Done)]);
}

#[test]
fn figures_out_of_order_are_named() {
    assert_eq!(ShutdownTimeouts::default().validate(), Ok(()));
    let bad = ShutdownTimeouts { fail_requests_after: ms(100), ..ShutdownTimeouts::default() };
    assert_eq!(bad.validate(), Err(TimeoutOrderError { field: "fail_requests_after" }));
    let bad = ShutdownTimeouts { handoff_fail_requests_after: ms(100), ..ShutdownTimeouts::default() };
    assert_eq!(bad.validate(), Err(TimeoutOrderError { field: "handoff_fail_requests_after" }));
}

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
    // The same cases every time, so that the verdict is the same.
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// On every path: steps in order, promises kept, one end.
    #[test]
    fn whatever_happens_the_promises_hold(events in events(), succeeding: bool) {
        let figures = ShutdownTimeouts::default();
        let mut l = if succeeding { Lifecycle::new_successor(figures.clone()) } else { Lifecycle::new(figures.clone()) };
        let (mut now, mut all, mut stop, mut open) = (0, Vec::new(), None, (0, 0));
        let (mut released, mut listening, mut known) = (!succeeding, false, false);
        let drive = events.into_iter().map(|(gap, e)| (gap, Some(e)));
        // In the end it is told to stop and then of nothing but the time.
        let end = (0..400).map(|k| (100, (k == 0).then_some(Event::Stop)));
        for (gap, event) in drive.chain(end) {
            now += gap;
            let event = event.unwrap_or(Event::Timeout);
            let (before, mut actions) = (l.state(), Vec::new());
            if let Event::OpenCounts { requests, connections } = event {
                open = (requests, connections);
            }
            released |= event == Event::Released;
            listening |= event == Event::Listening;
            known |= event == Event::EndpointsKnown;
            l.handle(ms(now), event, &mut actions);
            if event == Event::Stop && before < State::Ended && stop.is_none() {
                stop = Some(now);
            }
            prop_assert!(l.state() >= before || before <= State::Reloading, "{before:?} to {:?}", l.state());
            for action in &actions {
                match action {
                    Action::Accept => prop_assert!(released && listening),
                    Action::NotifyReady => prop_assert!(released && listening && known && l.is_accepting()),
                    Action::Exit(Exit::Done) if before >= State::ShuttingDown => {
                        let late = stop.is_some_and(|at| ms(now) >= ms(at) + figures.exit_after) || all.contains(&Action::FailOpenRequests);
                        prop_assert!(open == (0, 0) || late || actions.contains(&Action::FailOpenRequests), "ended over {open:?}");
                    }
                    _ => {}
                }
            }
            all.extend(actions);
            if let Some(wake) = l.next_timeout() {
                prop_assert!(wake > ms(now), "it wants to be told of what it was told");
            } else {
                prop_assert!(l.state() < State::ShuttingDown || l.state() == State::Ended);
            }
            if let Some(at) = stop {
                prop_assert!(ms(now) < ms(at) + figures.exit_after || l.state() == State::Ended, "it goes on: {l:?}");
            }
        }
        prop_assert_eq!(l.state(), State::Ended);
        let count = |wanted: fn(&Action) -> bool| all.iter().filter(|a| wanted(a)).count();
        let place = |wanted: fn(&Action) -> bool| all.iter().position(wanted);
        prop_assert_eq!(count(|a| matches!(a, Action::Exit(_))), 1);
        prop_assert!(matches!(all.last(), Some(Action::Exit(_))), "nothing follows the end");
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
        let (accept, stops) = (place(|a| *a == Action::Accept), place(|a| *a == Action::StopAccepting));
        prop_assert_eq!(accept.is_some(), stops.is_some(), "what was opened is closed");
        prop_assert!(accept <= stops);
        let silent = place(|a| *a == Action::CloseIdleConnections);
        prop_assert!(silent.is_none() || place(|a| *a == Action::CloseConnections) < silent, "told before it is done");
        if let Some(release) = place(|a| *a == Action::ReleaseSuccessor) {
            prop_assert!(stops < Some(release) && place(|a| *a == Action::HandOffListeners) < stops);
        }
        if count(|a| matches!(a, Action::Exit(Exit::Failed(_)))) == 1 {
            prop_assert!(place(|a| *a == Action::FailOpenRequests).is_some());
        }
    }
}
