//! The four rules under random events with fixed seeds, checked independently of the balancer's decisions.
mod common;

use balancer::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn pick<T: Copy>(rng: &mut Pcg64Mcg, from: &[T]) -> T {
    from[rng.next_u32() as usize % from.len()]
}

fn run_random_events(seed: u64) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let guarded = |scope| Effect::Guarded { scope, window: 700.0 };
    // Where late answers earn nothing, requests end before the deduplication window does. Half of the runs give late
    // answers some worth, so that requests last longer.
    let class =
        |effect| Class { late_worth: if seed.is_multiple_of(2) { 0.5 } else { 0.0 }, ..class(effect) };
    let settings = Settings {
        classes: vec![
            class(Effect::Free),
            class(Effect::SingleShot),
            class(guarded(DedupScope::Cell)),
            class(guarded(DedupScope::All)),
            class(guarded(DedupScope::Zone)),
            Class { runs_in: Some(vec![1]), ..class(Effect::SingleShot) },
            Class { kinds_only: Some(vec![0, 2]), ..class(Effect::Free) },
            Class { runs_in: Some(vec![0]), kinds_only: Some(vec![1]), ..class(guarded(DedupScope::All)) },
        ],
        late_shedding: seed % 4 < 2,
        tenants: if seed.is_multiple_of(2) { Vec::new() } else { tenants(&[0.5, 0.3, 0.2], 40.0) },
        attempts_cap: 1 + rng.next_u32() % 4,
        cancel: !seed.is_multiple_of(5),
        ask_for_list: seed % 8 < 4,
        balancers: 1 + rng.next_u32() % 9,
        max_retry_after: 500.0,
        cross_zone_price: 0.2,
        ..Settings::default()
    };
    let zoned = |id: u64| Member { zone: (id % 2) as u16, kind: (id % 3) as u8, ..member(id) };
    let mut harness = Harness::new(settings, seed, (1..9).map(zoned).collect());
    let mut started_at = 0.0;
    for id in 0..1500u32 {
        harness.advance(f64::from(rng.next_u32() % 40));
        match rng.next_u32() % 20 {
            0 => {
                started_at += 1000.0;
                let id = 1 + u64::from(rng.next_u32() % 12);
                let ready = Availability::Ready;
                let availability =
                    pick(&mut rng, &[ready, ready, Availability::Draining, Availability::Gone]);
                if availability != Availability::Gone || harness.listed.contains_key(&UpstreamId(id)) {
                    harness.update_list(Membership::Delta(vec![Member {
                        availability,
                        started_at,
                        ..zoned(id)
                    }]));
                }
            }
            1 if id.is_multiple_of(7) => harness.update_list(Membership::Full((1..7).map(zoned).collect())),
            2 if harness.settings.ask_for_list => harness.update_list(Membership::Failed),
            _ => {}
        }
        harness.request(id, rng.next_u32() as usize % 8, rng.next_u32() as usize % 5);
        let endings = [
            AttemptOutcome::Ok,
            AttemptOutcome::Ok,
            AttemptOutcome::Ok,
            AttemptOutcome::Error,
            AttemptOutcome::Declined,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::Reset,
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotSent,
            AttemptOutcome::Unknown,
        ];
        for _ in 0..rng.next_u32() % 4 {
            let open = |s: &RequestRecord| s.outcomes.iter().position(Option::is_none);
            let open_attempts: Vec<_> =
                harness.requests.iter().filter_map(|(id, s)| Some((id.0, open(s)?))).collect();
            if let Some(&(id, attempt)) =
                open_attempts.get(rng.next_u32() as usize % open_attempts.len().max(1))
            {
                match rng.next_u32() % 12 {
                    0 => drop(harness.client_gone(id)),
                    _ => drop(harness.outcome(id, attempt, pick(&mut rng, &endings))),
                }
            }
        }
    }
    harness.advance(10_000.0);
    assert!(harness.requests.values().all(|s| s.answered), "every request has its final answer");
    harness.log
}

#[test]
fn random_events_break_no_rule() {
    let mut sends = 0;
    for seed in 0..16 {
        sends += run_random_events(seed).iter().filter(|a| matches!(a, Action::Send { .. })).count();
    }
    assert!(sends > 4000, "only {sends} attempts were sent: too few for a meaningful check");
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_random_events(17), run_random_events(17));
    assert_ne!(run_random_events(17), run_random_events(18));
}

fn one_class(effect: Effect) -> Settings {
    // Late answers have some worth, so that requests last until their deadline.
    let class = Class { late_worth: 0.5, ..class(effect) };
    Settings { classes: vec![class], ..Settings::default() }
}

#[test]
fn single_shot_is_retried_only_after_proof_that_it_never_ran() {
    let mut harness = Harness::new(one_class(Effect::SingleShot), 1, (1..5).map(member).collect());
    harness.request(1, 0, 0);
    assert!(
        matches!(harness.outcome(1, 0, AttemptOutcome::Declined)[..], [Action::Send { .. }]),
        "never ran: retried"
    );
    assert!(matches!(harness.outcome(1, 1, AttemptOutcome::Declined)[..], [Action::Send { .. }]));
    assert!(
        matches!(harness.outcome(1, 2, AttemptOutcome::Declined)[..], [Action::Refuse { .. }]),
        "no attempts are left"
    );
    harness.request(2, 0, 0);
    assert!(
        matches!(harness.outcome(2, 0, AttemptOutcome::Reset)[..], [Action::Fail { .. }]),
        "it may have run"
    );
}

#[test]
fn full_is_no_proof_when_upstreams_shed_work_that_they_had_begun() {
    let settings = Settings { late_shedding: true, ..one_class(Effect::SingleShot) };
    let mut harness = Harness::new(settings, 1, (1..5).map(member).collect());
    harness.request(1, 0, 0);
    assert!(
        matches!(harness.outcome(1, 0, AttemptOutcome::Declined)[..], [Action::Fail { .. }]),
        "it may have run"
    );
    harness.request(2, 0, 0);
    assert!(
        matches!(harness.outcome(2, 0, AttemptOutcome::ConnectFailed)[..], [Action::Send { .. }]),
        "it never ran"
    );

    let guarded = Effect::Guarded { scope: DedupScope::Cell, window: 700.0 };
    let settings = Settings { late_shedding: true, ..one_class(guarded) };
    let groups = |id| Member { group: (id % 2) as u16, ..member(id) };
    let mut harness = Harness::new(settings, 1, (1..9).map(groups).collect());
    for id in 0..40 {
        harness.request(id, 0, 0);
        harness.advance(50.0);
        // The harness checks that retries stay in the group and window of the attempt that ended with `Declined`.
        harness.outcome(id, 0, AttemptOutcome::Declined);
        if harness.requests[&RequestId(id)].outcomes.len() == 2 {
            harness.outcome(id, 1, AttemptOutcome::Ok);
        }
    }
}

#[test]
fn class_stays_in_its_placement_and_is_refused_when_no_upstream_there_is_ready() {
    let placed = Class { runs_in: Some(vec![1]), kinds_only: Some(vec![2]), ..class(Effect::Free) };
    let settings = Settings { classes: vec![placed], ..Settings::default() };
    let placed_member = |id| Member { zone: (id % 2) as u16, kind: (id % 3) as u8, ..member(id) };
    // The class may use 10 of the 60 upstreams: draws among all of them would often miss these.
    let mut harness = Harness::new(settings, 1, (1..=60).map(placed_member).collect());
    for id in 0..200 {
        assert!(matches!(harness.request(id, 0, 0)[..], [.., Action::Send { .. }]), "request {id} is sent");
        harness.outcome(id, 0, if id % 9 == 0 { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Ok });
        if harness.requests[&RequestId(id)].outcomes.last() == Some(&None) {
            harness.outcome(id, 1, AttemptOutcome::Ok);
        }
    }
    let elsewhere = |id: &u64| !(id % 2 == 1 && id % 3 == 2);
    harness.update_list(Membership::Full((1..=60).filter(elsewhere).map(placed_member).collect()));
    assert!(
        matches!(harness.request(999, 0, 0)[..], [Action::Refuse { .. }]),
        "no upstream outside the placement is used"
    );
}

#[test]
fn invalid_settings_name_their_field() {
    let field = |change: &dyn Fn(&mut Settings)| {
        let mut settings = Settings { tenants: tenants(&[1.0], 10.0), ..Settings::default() };
        change(&mut settings);
        Balancer::new(settings, 1, 0.0).err().map(|e| e.field)
    };
    assert_eq!(field(&|_| {}), None);
    assert_eq!(field(&|s| s.balancers = 0), Some("balancers"));
    assert_eq!(field(&|s| s.classes.clear()), Some("classes"));
    assert_eq!(field(&|s| s.classes[0].objective = f64::NAN), Some("classes.objective"));
    assert_eq!(field(&|s| s.classes[0].deadline = -1.0), Some("classes.deadline"));
    assert_eq!(field(&|s| s.classes[0].runs_in = Some(Vec::new())), Some("classes.runs_in"));
    assert_eq!(field(&|s| s.classes[0].kinds_only = Some(Vec::new())), Some("classes.kinds_only"));
    assert_eq!(field(&|s| s.tenants[0].quota_per_s = 1e300), Some("tenants.quota_per_s"));
    assert_eq!(field(&|s| s.ramp_time = f64::INFINITY), Some("ramp_time"));
    assert_eq!(field(&|s| s.ask_within = 0.0), Some("ask_within"));
}

#[test]
fn guarded_request_is_retried_only_within_its_group_and_window() {
    let guarded = Effect::Guarded { scope: DedupScope::Cell, window: 700.0 };
    let members = |group| (1..5).map(|id| Member { group, ..member(id) }).collect::<Vec<_>>();
    let mut harness = Harness::new(one_class(guarded), 1, members(4));
    harness.request(1, 0, 0);
    harness.advance(600.0);
    assert!(
        matches!(harness.outcome(1, 0, AttemptOutcome::Error)[..], [Action::Send { .. }]),
        "upstreams still remember the key"
    );
    harness.request(2, 0, 0);
    harness.advance(701.0);
    assert!(
        matches!(harness.outcome(2, 0, AttemptOutcome::Error)[..], [Action::Fail { .. }]),
        "upstreams have forgotten the key"
    );
    let other_groups = (1..5).map(|id| Member { group: id as u16, ..member(id) }).collect();
    let mut harness = Harness::new(one_class(guarded), 1, other_groups);
    harness.request(1, 0, 0);
    let actions = harness.outcome(1, 0, AttemptOutcome::Error);
    let to = |a: &Action| matches!(a, Action::Send { upstream, .. } if *upstream == harness.requests[&RequestId(1)].sends[0].0);
    assert!(
        actions.iter().all(|a| matches!(a, Action::Fail { .. }) || to(a)),
        "no other upstream has its key: {actions:?}"
    );
}

#[test]
fn draining_or_removed_upstream_gets_no_new_attempts() {
    let mut harness = Harness::new(Settings::default(), 1, (1..4).map(member).collect());
    let gone = |id, availability| Member { availability, ..member(id) };
    harness
        .update_list(Membership::Delta(vec![gone(1, Availability::Draining), gone(2, Availability::Gone)]));
    for id in 0..50 {
        harness.request(id, 0, 0);
        harness.outcome(id, 0, AttemptOutcome::Ok);
    }
    assert!(harness.requests.values().all(|s| s.sends.iter().all(|(to, _)| *to == UpstreamId(3))));
    harness.update_list(Membership::Full(Vec::new()));
    assert!(
        matches!(harness.request(99, 0, 0)[..], [Action::Refuse { .. }]),
        "upstreams missing from a full list are gone"
    );
}

#[test]
fn request_without_a_ready_upstream_is_refused_at_once() {
    let mut harness = Harness::new(Settings::default(), 1, Vec::new());
    assert!(matches!(harness.request(1, 0, 0)[..], [Action::Refuse { .. }]));
    harness.update_list(Membership::Full(vec![Member { availability: Availability::Draining, ..member(1) }]));
    assert!(matches!(harness.request(2, 0, 0)[..], [Action::Refuse { .. }]));
}

#[test]
fn restarted_instance_starts_from_its_cached_list_only() {
    let settings = Settings { ask_for_list: true, ..Settings::default() };
    let mut harness = Harness::new(settings.clone(), 5, vec![member(1)]);
    harness.request(1, 0, 0);
    let mut restarted = Harness::new(settings, 6, vec![member(1)]);
    assert!(restarted.log.contains(&Action::Subscribe), "the list is requested at once");
    let late = Event::AttemptEnded {
        request: RequestId(1),
        attempt: 0,
        ending: AttemptOutcome::Ok,
        duration: 5.0,
        request_finished: true,
    };
    assert!(restarted.event(late).is_empty(), "outcomes for an earlier instance are ignored");
    assert!(matches!(restarted.request(2, 0, 0)[..], [Action::Send { .. }]));
}

#[test]
fn unknown_classes_tenants_requests_and_timers_are_handled() {
    let mut harness = Harness::new(Settings::default(), 1, vec![member(1)]);
    let unknown = Request::with_full_worth(RequestId(9), 7, 7, 900.0);
    let mut actions = Vec::new();
    harness.balancer.handle(0.0, Event::Request(unknown), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "an unknown class is refused: nothing has run");
    assert!(harness.event(Event::ClientGone(RequestId(77))).is_empty());
    assert!(harness.event(Event::Timer(12345)).is_empty());
    assert!(harness.event(Event::Streaming { request: RequestId(77), attempt: 3 }).is_empty());
    assert!(matches!(harness.request(1, 0, 999)[..], [Action::Send { .. }]), "an unlisted tenant is served");
}

/// The balancer must not panic on any input.
#[test]
fn non_finite_and_negative_times_are_handled() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0, 0.0, 1e300, 40.0];
    let mut balancer = Balancer::new(one_class(Effect::Free), 3, 0.0).expect("settings");
    let mut actions = Vec::new();
    for (n, &now) in odd.iter().cycle().take(500).enumerate() {
        let (id, value) = (RequestId(n as u32), odd[n / 7 % 7]);
        let list = (1..5).map(|id| Member { started_at: value, ..member(id) }).collect();
        balancer.handle(now, Event::Membership(Membership::Full(list)), &mut actions);
        let request = Request::with_full_worth(id, 0, n % 3, value);
        balancer.handle(now, Event::Request(request), &mut actions);
        let (attempt, ending) =
            (n as u32 % 2, if n.is_multiple_of(3) { AttemptOutcome::Timeout } else { AttemptOutcome::Ok });
        let outcome = Event::AttemptEnded {
            request: id,
            attempt,
            ending,
            duration: value,
            request_finished: n.is_multiple_of(2),
        };
        balancer.handle(now, outcome.clone(), &mut actions);
        balancer.handle(now, outcome, &mut actions);
        balancer.handle(now, Event::Timer(0), &mut actions);
    }
    let timeouts = actions.iter().filter_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(
        timeouts.clone().count() > 0 && !timeouts.clone().any(f64::is_nan),
        "{:?}",
        timeouts.collect::<Vec<_>>()
    );
}

#[test]
fn list_is_requested_again_with_backoff_well_within_ask_within() {
    let settings = Settings { ask_for_list: true, ..Settings::default() };
    let mut harness = Harness::new(settings.clone(), 3, vec![member(1)]);
    let mut delays = Vec::new();
    for _ in 0..12 {
        let actions = harness.event(Event::Membership(Membership::Failed));
        let timer = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = timer.expect("a timer for the next request");
        harness.now += after;
        assert_eq!(harness.event(Event::Timer(token)), [Action::Subscribe]);
        delays.push(after);
    }
    assert!(delays[11] > 4.0 * delays[0], "the delays grow: {delays:?}");
    assert!(
        delays.iter().all(|&harness| harness < settings.ask_within / 2.0),
        "the list is requested again before the instance is considered notified: {delays:?}"
    );
}

/// Guards against overload of a restarted upstream by hundreds of balancers: together they must stay below the load at
/// which it falls over.
#[test]
fn cold_upstream_is_not_overloaded_by_all_instances_together() {
    const INSTANCES: u32 = 200;
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        cold_from: 0.15,
        ramp_time: 20_000.0,
        tip_multiple: 2.5,
        ..Settings::default()
    };
    let members = || (1..=20).map(member).collect::<Vec<_>>();
    let mut harnesses: Vec<Harness> =
        (0..INSTANCES).map(|i| Harness::new(settings(i), u64::from(i), members())).collect();
    let (mut id, mut sent_to, mut cold_sends) = (0, 0, Vec::new());
    for step in 0..200 {
        // Each instance sends 2 requests per second, answered after 50 ms. The upstream restarts after 10 seconds.
        for (i, harness) in harnesses.iter_mut().enumerate() {
            if step == 100 {
                harness.update_list(Membership::Delta(vec![Member { started_at: harness.now, ..member(1) }]));
            }
            if (step + i).is_multiple_of(5) {
                id += 1;
                harness.request(id, 0, 0);
                if let Some(&(to, at)) = harness.requests[&RequestId(id)].sends.last() {
                    sent_to += u32::from(step >= 100);
                    if to == UpstreamId(1) && step >= 100 {
                        cold_sends.push(at);
                    }
                    harness.advance(50.0);
                    harness.outcome(id, 0, AttemptOutcome::Ok);
                    harness.advance(50.0);
                    continue;
                }
            }
            harness.advance(100.0);
        }
    }
    assert!(sent_to > 3000, "the other upstreams serve: {sent_to}");
    // 400 requests per second over 20 upstreams: each one gets at least 20 per second when warm.
    for window in 0..10 {
        let from = 10_000.0 + f64::from(window) * 1000.0;
        let calls = cold_sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
        let warmth = 0.15 + 0.85 * f64::from(window) / 20.0;
        assert!(calls <= 2.5 * 20.0 * warmth, "{calls} attempts in second {window} at warmth {warmth}");
    }
    assert!(!cold_sends.is_empty(), "the cold upstream gets some attempts");
}
