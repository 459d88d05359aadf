//! The four rules under random events (fixed seeds), by a checker that knows nothing of the decisions.
mod common;

use balancer::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn pick<T: Copy>(rng: &mut Pcg64Mcg, from: &[T]) -> T {
    from[rng.next_u32() as usize % from.len()]
}

fn storm(seed: u64) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let guarded = |scope| Effect::Guarded { scope, window: 700.0 };
    // Where late answers earn nothing, requests end before the window does: half of the storms let them last.
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
    let mut world = World::new(settings, seed, (1..9).map(zoned).collect());
    let mut since = 0.0;
    for id in 0..1500u32 {
        world.pass(f64::from(rng.next_u32() % 40));
        match rng.next_u32() % 20 {
            0 => {
                since += 1000.0;
                let id = 1 + u64::from(rng.next_u32() % 12);
                let ready = Availability::Ready;
                let availability =
                    pick(&mut rng, &[ready, ready, Availability::Draining, Availability::Gone]);
                if availability != Availability::Gone || world.listed.contains_key(&UpstreamId(id)) {
                    world.list(Membership::Delta(vec![Member { availability, since, ..zoned(id) }]));
                }
            }
            1 if id.is_multiple_of(7) => world.list(Membership::Full((1..7).map(zoned).collect())),
            2 if world.settings.ask_for_list => world.list(Membership::Failed),
            _ => {}
        }
        world.request(id, rng.next_u32() as usize % 8, rng.next_u32() as usize % 5);
        let endings = [
            Ending::Ok,
            Ending::Ok,
            Ending::Ok,
            Ending::Error,
            Ending::Full,
            Ending::ConnectFailed,
            Ending::Reset,
            Ending::Cancelled,
            Ending::Moot,
            Ending::Unknown,
        ];
        for _ in 0..rng.next_u32() % 4 {
            let open = |s: &Seen| s.ended.iter().position(Option::is_none);
            let out: Vec<_> = world.seen.iter().filter_map(|(id, s)| Some((id.0, open(s)?))).collect();
            if let Some(&(id, attempt)) = out.get(rng.next_u32() as usize % out.len().max(1)) {
                match rng.next_u32() % 12 {
                    0 => drop(world.gone(id)),
                    _ => drop(world.outcome(id, attempt, pick(&mut rng, &endings))),
                }
            }
        }
    }
    world.pass(10_000.0);
    assert!(world.seen.values().all(|s| s.answered), "every request has its final answer");
    world.log
}

#[test]
fn random_storms_keep_the_rules() {
    let mut sends = 0;
    for seed in 0..16 {
        sends += storm(seed).iter().filter(|a| matches!(a, Action::Send { .. })).count();
    }
    assert!(sends > 4000, "the storms sent {sends} attempts only: too few to prove anything");
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(storm(17), storm(17));
    assert_ne!(storm(17), storm(18));
}

fn one_class(effect: Effect) -> Settings {
    // Late answers are worth something, so that requests last until their deadline.
    let class = Class { late_worth: 0.5, ..class(effect) };
    Settings { classes: vec![class], ..Settings::default() }
}

#[test]
fn a_single_shot_goes_on_after_proof_that_it_never_ran_and_stops_otherwise() {
    let mut world = World::new(one_class(Effect::SingleShot), 1, (1..5).map(member).collect());
    world.request(1, 0, 0);
    assert!(matches!(world.outcome(1, 0, Ending::Full)[..], [Action::Send { .. }]), "never ran: sent again");
    assert!(matches!(world.outcome(1, 1, Ending::Full)[..], [Action::Send { .. }]));
    assert!(matches!(world.outcome(1, 2, Ending::Full)[..], [Action::Refuse { .. }]), "attempts are spent");
    world.request(2, 0, 0);
    assert!(matches!(world.outcome(2, 0, Ending::Reset)[..], [Action::Fail { .. }]), "it may have run");
}

#[test]
fn full_is_no_proof_where_upstreams_shed_work_that_they_had_begun() {
    let settings = Settings { late_shedding: true, ..one_class(Effect::SingleShot) };
    let mut world = World::new(settings, 1, (1..5).map(member).collect());
    world.request(1, 0, 0);
    assert!(matches!(world.outcome(1, 0, Ending::Full)[..], [Action::Fail { .. }]), "it may have run");
    world.request(2, 0, 0);
    assert!(matches!(world.outcome(2, 0, Ending::ConnectFailed)[..], [Action::Send { .. }]), "it never ran");

    let guarded = Effect::Guarded { scope: DedupScope::Cell, window: 700.0 };
    let settings = Settings { late_shedding: true, ..one_class(guarded) };
    let groups = |id| Member { group: (id % 2) as u16, ..member(id) };
    let mut world = World::new(settings, 1, (1..9).map(groups).collect());
    for id in 0..40 {
        world.request(id, 0, 0);
        world.pass(50.0);
        // The checker holds the group and the window to the attempt that was answered 'full'.
        world.outcome(id, 0, Ending::Full);
        if world.seen[&RequestId(id)].ended.len() == 2 {
            world.outcome(id, 1, Ending::Ok);
        }
    }
}

#[test]
fn a_class_goes_only_where_it_is_placed_and_is_refused_when_nothing_there_is_ready() {
    let placed = Class { runs_in: Some(vec![1]), kinds_only: Some(vec![2]), ..class(Effect::Free) };
    let settings = Settings { classes: vec![placed], ..Settings::default() };
    let far = |id| Member { zone: (id % 2) as u16, kind: (id % 3) as u8, ..member(id) };
    // Of sixty, ten are open to the class: drawing among all would miss them often.
    let mut world = World::new(settings, 1, (1..=60).map(far).collect());
    for id in 0..200 {
        assert!(
            matches!(world.request(id, 0, 0)[..], [.., Action::Send { .. }]),
            "request {id} finds a place"
        );
        world.outcome(id, 0, if id % 9 == 0 { Ending::ConnectFailed } else { Ending::Ok });
        if world.seen[&RequestId(id)].ended.last() == Some(&None) {
            world.outcome(id, 1, Ending::Ok);
        }
    }
    let elsewhere = |id: &u64| !(id % 2 == 1 && id % 3 == 2);
    world.list(Membership::Full((1..=60).filter(elsewhere).map(far).collect()));
    assert!(matches!(world.request(999, 0, 0)[..], [Action::Refuse { .. }]), "never anywhere else");
}

#[test]
fn bad_settings_name_their_field() {
    let field = |change: &dyn Fn(&mut Settings)| {
        let mut s = Settings { tenants: tenants(&[1.0], 10.0), ..Settings::default() };
        change(&mut s);
        Balancer::new(s, 1, 0.0).err().map(|e| e.field)
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
fn a_guarded_request_is_repeated_within_its_group_and_window_only() {
    let guarded = Effect::Guarded { scope: DedupScope::Cell, window: 700.0 };
    let members = |group| (1..5).map(|id| Member { group, ..member(id) }).collect::<Vec<_>>();
    let mut world = World::new(one_class(guarded), 1, members(4));
    world.request(1, 0, 0);
    world.pass(600.0);
    assert!(matches!(world.outcome(1, 0, Ending::Error)[..], [Action::Send { .. }]), "they remember it");
    world.request(2, 0, 0);
    world.pass(701.0);
    assert!(
        matches!(world.outcome(2, 0, Ending::Error)[..], [Action::Fail { .. }]),
        "they have forgotten it"
    );
    let strangers = (1..5).map(|id| Member { group: id as u16, ..member(id) }).collect();
    let mut world = World::new(one_class(guarded), 1, strangers);
    world.request(1, 0, 0);
    let again = world.outcome(1, 0, Ending::Error);
    let to = |a: &Action| matches!(a, Action::Send { upstream, .. } if *upstream == world.seen[&RequestId(1)].sends[0].0);
    assert!(
        again.iter().all(|a| matches!(a, Action::Fail { .. }) || to(a)),
        "no other has its key: {again:?}"
    );
}

#[test]
fn an_upstream_that_drains_or_is_gone_gets_nothing_from_then_on() {
    let mut world = World::new(Settings::default(), 1, (1..4).map(member).collect());
    let gone = |id, availability| Member { availability, ..member(id) };
    world.list(Membership::Delta(vec![gone(1, Availability::Draining), gone(2, Availability::Gone)]));
    for id in 0..50 {
        world.request(id, 0, 0);
        world.outcome(id, 0, Ending::Ok);
    }
    assert!(world.seen.values().all(|s| s.sends.iter().all(|(to, _)| *to == UpstreamId(3))));
    world.list(Membership::Full(Vec::new()));
    assert!(matches!(world.request(99, 0, 0)[..], [Action::Refuse { .. }]), "what a full list lacks is gone");
}

#[test]
fn no_ready_upstream_is_a_refusal_at_once() {
    let mut world = World::new(Settings::default(), 1, Vec::new());
    assert!(matches!(world.request(1, 0, 0)[..], [Action::Refuse { .. }]));
    world.list(Membership::Full(vec![Member { availability: Availability::Draining, ..member(1) }]));
    assert!(matches!(world.request(2, 0, 0)[..], [Action::Refuse { .. }]));
}

#[test]
fn a_killed_instance_starts_from_nothing_but_its_cached_list() {
    let settings = Settings { ask_for_list: true, ..Settings::default() };
    let mut world = World::new(settings.clone(), 5, vec![member(1)]);
    world.request(1, 0, 0);
    let mut again = World::new(settings, 6, vec![member(1)]);
    assert!(again.log.contains(&Action::Subscribe), "it asks for the list at once");
    let late =
        Event::Outcome { request: RequestId(1), attempt: 0, ending: Ending::Ok, duration: 5.0, closed: true };
    assert!(again.event(late).is_empty(), "outcomes of a former life are ignored");
    assert!(matches!(again.request(2, 0, 0)[..], [Action::Send { .. }]));
}

#[test]
fn unknown_classes_tenants_requests_and_timers_do_no_harm() {
    let mut world = World::new(Settings::default(), 1, vec![member(1)]);
    let stranger = Request::plain(RequestId(9), 7, 7, 900.0);
    let mut actions = Vec::new();
    world.balancer.handle(0.0, Event::Request(stranger), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "an unknown class is refused: nothing has run");
    assert!(world.event(Event::ClientGone(RequestId(77))).is_empty());
    assert!(world.event(Event::Timer(12345)).is_empty());
    assert!(world.event(Event::Streaming { request: RequestId(77), attempt: 3 }).is_empty());
    assert!(matches!(world.request(1, 0, 999)[..], [Action::Send { .. }]), "an unlisted tenant is served");
}

/// The module must not panic, whatever the host hands it.
#[test]
fn odd_numbers_for_times_do_no_harm() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0, 0.0, 1e300, 40.0];
    let mut balancer = Balancer::new(one_class(Effect::Free), 3, 0.0).expect("settings");
    let mut actions = Vec::new();
    for (n, &now) in odd.iter().cycle().take(500).enumerate() {
        let (id, value) = (RequestId(n as u32), odd[n / 7 % 7]);
        let list = (1..5).map(|id| Member { since: value, ..member(id) }).collect();
        balancer.handle(now, Event::Membership(Membership::Full(list)), &mut actions);
        let request = Request::plain(id, 0, n % 3, value);
        balancer.handle(now, Event::Request(request), &mut actions);
        let (attempt, ending) =
            (n as u32 % 2, if n.is_multiple_of(3) { Ending::Timeout } else { Ending::Ok });
        let outcome =
            Event::Outcome { request: id, attempt, ending, duration: value, closed: n.is_multiple_of(2) };
        balancer.handle(now, outcome.clone(), &mut actions);
        balancer.handle(now, outcome, &mut actions);
        balancer.handle(now, Event::Timer(0), &mut actions);
    }
    let spans = actions.iter().filter_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(spans.clone().count() > 0 && !spans.clone().any(f64::is_nan), "{:?}", spans.collect::<Vec<_>>());
}

#[test]
fn the_list_is_asked_for_again_with_backoff_well_within_ask_within() {
    let settings = Settings { ask_for_list: true, ..Settings::default() };
    let mut world = World::new(settings.clone(), 3, vec![member(1)]);
    let mut waits = Vec::new();
    for _ in 0..12 {
        let actions = world.event(Event::Membership(Membership::Failed));
        let wait = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = wait.expect("a timer to ask again");
        world.now += after;
        assert_eq!(world.event(Event::Timer(token)), [Action::Subscribe]);
        waits.push(after);
    }
    assert!(waits[11] > 4.0 * waits[0], "the pauses grow: {waits:?}");
    assert!(waits.iter().all(|&w| w < settings.ask_within / 2.0), "never counts as told: {waits:?}");
}

/// Hundreds of balancers see one upstream restart; together they must stay under the tipping point.
#[test]
fn a_cold_upstream_is_not_pushed_over_by_all_together() {
    const COPIES: u32 = 200;
    let settings = |index| Settings {
        index,
        balancers: COPIES,
        cold_from: 0.15,
        ramp_time: 20_000.0,
        tip_multiple: 2.5,
        ..Settings::default()
    };
    let members = || (1..=20).map(member).collect::<Vec<_>>();
    let mut worlds: Vec<World> =
        (0..COPIES).map(|i| World::new(settings(i), u64::from(i), members())).collect();
    let (mut id, mut sent_to, mut cold_sends) = (0, 0, Vec::new());
    for step in 0..200 {
        // Two calls a second and copy, answered after 50 ms; the upstream restarts after ten seconds.
        for (i, w) in worlds.iter_mut().enumerate() {
            if step == 100 {
                w.list(Membership::Delta(vec![Member { since: w.now, ..member(1) }]));
            }
            if (step + i).is_multiple_of(5) {
                id += 1;
                w.request(id, 0, 0);
                if let Some(&(to, at)) = w.seen[&RequestId(id)].sends.last() {
                    sent_to += u32::from(step >= 100);
                    if to == UpstreamId(1) && step >= 100 {
                        cold_sends.push(at);
                    }
                    w.pass(50.0);
                    w.outcome(id, 0, Ending::Ok);
                    w.pass(50.0);
                    continue;
                }
            }
            w.pass(100.0);
        }
    }
    assert!(sent_to > 3000, "the others carry on: {sent_to}");
    // 400 calls a second over 20 upstreams: each carries 20 a second at least.
    for window in 0..10 {
        let from = 10_000.0 + f64::from(window) * 1000.0;
        let calls = cold_sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
        let warmth = 0.15 + 0.85 * f64::from(window) / 20.0;
        assert!(calls <= 2.5 * 20.0 * warmth, "{calls} calls in second {window} at warmth {warmth}");
    }
    assert!(!cold_sends.is_empty(), "it is warmed up, not shut out");
}
