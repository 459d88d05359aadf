//! Limits of a single request: retries, worth, time left, and the retry budget of its tenant.
mod common;
use balancer::*;
use common::*;

fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], tenants: tenants(&[0.5, 0.5], 100.0), ..Settings::default() }
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

/// Sends one request whose attempts all fail at once, and returns the number of its attempts.
fn attempts(harness: &mut Harness, id: u32, retries: u32, left: Option<u32>) -> usize {
    let request = RequestId(id);
    let deadline = harness.now + 2000.0;
    let mut actions = Vec::new();
    let new_request = Request { retries, ..Request::with_full_worth(request, 0, 0, deadline) };
    harness.balancer.handle(harness.now, Event::Request(new_request), &mut actions);
    let mut sent = sends(&actions);
    for attempt in 0.. {
        if sent <= attempt {
            return sent;
        }
        if let Some(retries) = left {
            harness.balancer.handle(harness.now, Event::RetriesLeft { request, retries }, &mut actions);
        }
        actions.clear();
        let number = u32::try_from(attempt).expect("a small number");
        let (ending, duration) = (AttemptOutcome::Error, 1.0);
        let event =
            Event::AttemptEnded { request, attempt: number, ending, duration, request_finished: false };
        harness.balancer.handle(harness.now, event, &mut actions);
        sent += sends(&actions);
    }
    unreachable!()
}

#[test]
fn request_has_no_more_retries_than_allowed() {
    let mut harness = Harness::new(settings(Effect::Free), 1, (0..9).map(member).collect());
    assert_eq!(attempts(&mut harness, 1, u32::MAX, None), 3, "the limit in the settings");
    assert_eq!(attempts(&mut harness, 2, 0, None), 1);
    assert_eq!(attempts(&mut harness, 3, 1, None), 2);
    // The number of retries left that the next tier reports replaces the request's own number in both directions.
    assert_eq!(attempts(&mut harness, 4, u32::MAX, Some(0)), 1);
    assert_eq!(attempts(&mut harness, 5, 0, Some(1)), 3, "never above the limit in the settings");
}

/// Guards against a slow dependency whose load is multiplied by the retries of the one tenant that uses it.
#[test]
fn retries_of_a_tenant_are_limited_to_a_fraction_of_its_first_attempts() {
    let mut harness = Harness::new(
        Settings { tenant_retries: 0.1, ..settings(Effect::Free) },
        1,
        (0..9).map(member).collect(),
    );
    let (mut first, mut retries) = (0, 0);
    for id in 0..200 {
        let sent = attempts(&mut harness, id, u32::MAX, None);
        first += sent.min(1);
        retries += sent.saturating_sub(1);
        harness.now += 20.0;
    }
    // Ten retries are saved up at the start, and one is added for every ten first attempts.
    assert!(
        (10..=10 + 200 / 10).contains(&retries) && first > 50,
        "{retries} retries for {first} first attempts"
    );
}

#[test]
fn requests_of_less_worth_are_refused_first() {
    let mut harness = Harness::new(settings(Effect::Free), 1, (0..9).map(member).collect());
    let (mut full, mut quarter) = (0, 0);
    // The load is far above capacity, with requests of both worths in turn, and no attempt ends.
    for id in 0..400 {
        let worth = if id % 2 == 0 { 1.0 } else { 0.25 };
        let request =
            Request { worth, ..Request::with_full_worth(RequestId(id), 0, 0, harness.now + 2000.0) };
        let mut actions = Vec::new();
        harness.balancer.handle(harness.now, Event::Request(request), &mut actions);
        let passed = u32::from(!refused(&actions));
        if worth < 1.0 {
            quarter += passed;
        } else {
            full += passed;
        }
        harness.now += 1.0;
    }
    assert!(
        quarter > 0 && full > quarter * 3 / 2,
        "{full} requests of full worth admitted, {quarter} of a quarter"
    );
}

/// Guards against work for answers that no client waits for, and against a class that is refused forever after a slow
/// period.
#[test]
fn requests_without_enough_time_are_refused_until_answers_are_faster() {
    let enabled = Settings { refuse_hopeless: true, ..settings(Effect::Free) };
    let mut harness = Harness::new(enabled, 1, (0..9).map(member).collect());
    let mut actions = Vec::new();
    let mut send_request = |harness: &mut Harness, id: u32, time_left: f64, elapsed: f64| {
        actions.clear();
        let request = RequestId(id);
        let event = Event::Request(Request::with_full_worth(request, 0, 0, harness.now + time_left));
        harness.balancer.handle(harness.now, event, &mut actions);
        let sent = sends(&actions) > 0;
        if sent {
            let (attempt, ending) = (0, AttemptOutcome::Ok);
            let event =
                Event::AttemptEnded { request, attempt, ending, duration: elapsed, request_finished: true };
            harness.balancer.handle(harness.now, event, &mut actions);
        }
        harness.now += 20.0;
        sent
    };
    // No answer time is known yet, so all requests are admitted.
    assert!((0..20).all(|id| send_request(&mut harness, id, 10.0, 100.0 + f64::from(id))));
    assert!(!send_request(&mut harness, 100, 50.0, 100.0) && send_request(&mut harness, 101, 400.0, 110.0));
    // Answers are fast by now, but at first no request gets through to show it.
    let rejected = (200..600)
        .position(|id| send_request(&mut harness, id, 50.0, 5.0))
        .expect("faster answers are detected");
    assert!((10..200).contains(&rejected), "{rejected} requests are refused before one is admitted");
    let passed = (600..700).filter(|&id| send_request(&mut harness, id, 50.0, 5.0)).count();
    assert!(passed > 50, "{passed} of 100 requests are admitted");
    // With the setting off, no request is refused for lack of time.
    let mut harness = Harness::new(settings(Effect::Free), 1, (0..9).map(member).collect());
    assert!((0..100).all(|id| send_request(&mut harness, id, 10.0, 100.0)));
}
