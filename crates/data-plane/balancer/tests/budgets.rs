//! What a request may still use, as the module obeys it: repeats, worth, time, and a tenant's repeats.
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

/// Attempts of one request whose every attempt fails at once.
fn attempts(world: &mut World, id: u32, retries: u32, left: Option<u32>) -> usize {
    let request = RequestId(id);
    let deadline = world.now + 2000.0;
    let mut actions = Vec::new();
    let fresh = Request { retries, ..Request::plain(request, 0, 0, deadline) };
    world.balancer.handle(world.now, Event::Request(fresh), &mut actions);
    let mut sent = sends(&actions);
    for attempt in 0.. {
        if sent <= attempt {
            return sent;
        }
        if let Some(retries) = left {
            world.balancer.handle(world.now, Event::Left { request, retries }, &mut actions);
        }
        actions.clear();
        let number = u32::try_from(attempt).expect("few");
        let (ending, duration) = (Ending::Error, 1.0);
        let event = Event::Outcome { request, attempt: number, ending, duration, closed: false };
        world.balancer.handle(world.now, event, &mut actions);
        sent += sends(&actions);
    }
    unreachable!()
}

#[test]
fn a_request_has_no_more_repeats_than_it_may_use() {
    let mut world = World::new(settings(Effect::Free), 1, (0..9).map(member).collect());
    assert_eq!(attempts(&mut world, 1, u32::MAX, None), 3, "what the settings allow");
    assert_eq!(attempts(&mut world, 2, 0, None), 1);
    assert_eq!(attempts(&mut world, 3, 1, None), 2);
    // What a lower tier used is gone here too, and what it did not use is back.
    assert_eq!(attempts(&mut world, 4, u32::MAX, Some(0)), 1);
    assert_eq!(attempts(&mut world, 5, 0, Some(1)), 3, "never more than the settings allow");
}

/// Guards against a slow dependency that gets a multiple from the one club that uses it.
#[test]
fn a_tenants_repeats_are_a_part_of_its_first_tries() {
    let mut world = World::new(
        Settings { tenant_retries: 0.1, ..settings(Effect::Free) },
        1,
        (0..9).map(member).collect(),
    );
    let (mut first, mut repeats) = (0, 0);
    for id in 0..200 {
        let sent = attempts(&mut world, id, u32::MAX, None);
        first += sent.min(1);
        repeats += sent.saturating_sub(1);
        world.now += 20.0;
    }
    // Ten were saved up, and one comes with each ten first tries.
    assert!((10..=10 + 200 / 10).contains(&repeats) && first > 50, "{repeats} for {first}");
}

#[test]
fn what_is_worth_less_is_refused_first() {
    let mut world = World::new(settings(Effect::Free), 1, (0..9).map(member).collect());
    let (mut full, mut quarter) = (0, 0);
    // Far more than the capacity, both kinds in turn, and no answer ends.
    for id in 0..400 {
        let worth = if id % 2 == 0 { 1.0 } else { 0.25 };
        let request = Request { worth, ..Request::plain(RequestId(id), 0, 0, world.now + 2000.0) };
        let mut actions = Vec::new();
        world.balancer.handle(world.now, Event::Request(request), &mut actions);
        let passed = u32::from(!refused(&actions));
        if worth < 1.0 {
            quarter += passed;
        } else {
            full += passed;
        }
        world.now += 1.0;
    }
    assert!(quarter > 0 && full > quarter * 3 / 2, "{full} of full worth, {quarter} of a quarter");
}

/// Guards against work for answers that nobody waits for, and against refusing for ever once it was slow.
#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once_and_found_out_again() {
    let on = Settings { refuse_hopeless: true, ..settings(Effect::Free) };
    let mut world = World::new(on, 1, (0..9).map(member).collect());
    let mut actions = Vec::new();
    let mut ask = |world: &mut World, id: u32, left: f64, took: f64| {
        actions.clear();
        let request = RequestId(id);
        let event = Event::Request(Request::plain(request, 0, 0, world.now + left));
        world.balancer.handle(world.now, event, &mut actions);
        let sent = sends(&actions) > 0;
        if sent {
            let (attempt, ending) = (0, Ending::Ok);
            let event = Event::Outcome { request, attempt, ending, duration: took, closed: true };
            world.balancer.handle(world.now, event, &mut actions);
        }
        world.now += 20.0;
        sent
    };
    // Nothing is known yet: everything gets its chance.
    assert!((0..20).all(|id| ask(&mut world, id, 10.0, 100.0 + f64::from(id))));
    assert!(!ask(&mut world, 100, 50.0, 100.0) && ask(&mut world, 101, 400.0, 110.0));
    // Answers are fast by now, but nobody who would see it gets through at first.
    let tried = (200..600).position(|id| ask(&mut world, id, 50.0, 5.0)).expect("it is found out");
    assert!((10..200).contains(&tried), "{tried}");
    let passed = (600..700).filter(|&id| ask(&mut world, id, 50.0, 5.0)).count();
    assert!(passed > 50, "{passed}");
    // Off, it never is.
    let mut world = World::new(settings(Effect::Free), 1, (0..9).map(member).collect());
    assert!((0..100).all(|id| ask(&mut world, id, 10.0, 100.0)));
}
