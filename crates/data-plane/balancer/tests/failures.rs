//! One test for each failure found so far. Each one fails without the safeguard that guards against it in `policy/`.
mod common;

use balancer::*;
use common::*;
use std::collections::BTreeMap;

fn fast(_: UpstreamId) -> Option<(AttemptOutcome, f64)> {
    Some((AttemptOutcome::Ok, 50.0))
}

fn slow(_: UpstreamId) -> Option<(AttemptOutcome, f64)> {
    Some((AttemptOutcome::Ok, 900.0))
}

fn harness_with(settings: Settings, upstreams: u64) -> Harness {
    Harness::new(settings, 4, (1..=upstreams).map(member).collect())
}

/// Settings with one class (objective 500 ms) and tenants with these shares of 60 requests per second.
fn shared(shares: &[f64]) -> Settings {
    Settings { classes: vec![class(Effect::Free)], tenants: tenants(shares, 60.0), ..Settings::default() }
}

#[test]
fn tenant_over_its_limit_is_refused_and_tenant_within_its_share_is_not() {
    let mut harness = harness_with(shared(&[0.6, 0.4]), 4);
    // Tenant 0 sends nine times as many requests as tenant 1. Answers come late, so that capacity is short.
    harness.traffic(20_000.0, 150.0, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 1], &|_| Some((AttemptOutcome::Ok, 232.0)));
    let share = |tenant: usize| {
        let of_tenant = |id: &RequestId| usize::from(id.0 % 10 == 9) == tenant;
        let tenant_requests =
            harness.requests.iter().filter(|(id, s)| of_tenant(id) && s.deadline > 12_000.0);
        let (all, sent) =
            tenant_requests.fold((0u32, 0u32), |(a, n), (_, s)| (a + 1, n + u32::from(!s.sends.is_empty())));
        f64::from(sent) / f64::from(all)
    };
    assert!(share(1) > 0.95, "within its share: a fraction of {} is admitted", share(1));
    assert!(share(0) < 0.9, "over its share: a fraction of {} is admitted", share(0));
}

/// Guards against capacity that keeps falling on outdated measurements: it once took half a minute to recover.
#[test]
fn capacity_recovers_soon_after_an_overload() {
    let mut harness = harness_with(shared(&[1.0]), 4);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(8000.0, 60.0, &[0], &slow);
    harness.traffic(6000.0, 60.0, &[0], &fast);
    let from = harness.now;
    harness.traffic(2000.0, 60.0, &[0], &fast);
    let (sent, _) = harness.attempts_since(from);
    assert!(sent > 100, "{sent} of 120 requests are admitted six seconds after the overload");
}

/// Guards against admission by answers alone: a tier that stops answering looks healthy until its timeouts expire.
#[test]
fn attempts_in_flight_are_limited_before_any_answer_is_late() {
    let class = Class { late_worth: 0.5, ..class(Effect::Free) };
    let mut harness = harness_with(Settings { classes: vec![class], ..shared(&[1.0]) }, 4);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    let from = harness.now;
    harness.traffic(1500.0, 60.0, &[0], &|_| None);
    let (sent, _) = harness.attempts_since(from);
    assert!(sent < 60, "{sent} of 90 requests were sent to a tier that answers none");
}

#[test]
fn fast_failing_upstream_does_not_win_every_comparison() {
    let mut harness = harness_with(shared(&[1.0]), 6);
    let server = |id| {
        Some(if id == UpstreamId(2) { (AttemptOutcome::Error, 2.0) } else { (AttemptOutcome::Ok, 120.0) })
    };
    harness.traffic(10_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.attempts_since(3000.0);
    let failing = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(failing * 20 < sent, "{failing} of {sent} attempts went to the failing upstream: {to:?}");
    assert!(sent > 350, "failures of one upstream do not lower capacity: {sent} of 420 requests sent");
}

#[test]
fn hung_upstream_is_avoided_and_does_not_lower_capacity() {
    let mut harness = harness_with(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((AttemptOutcome::Ok, 40.0));
    harness.traffic(20_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.attempts_since(4000.0);
    let hung = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(hung <= 12, "{hung} attempts went to the hung upstream");
    assert!(sent > 900, "the other upstreams serve: {sent} of 960 requests sent");
}

/// Guards against an unreachable zone, as in one incident: it has too many upstreams to eject one by one.
#[test]
fn unreachable_zone_is_avoided() {
    let members = (1..=12).map(|id| Member { zone: (id % 3) as u16, ..member(id) }).collect();
    let mut harness = Harness::new(shared(&[1.0]), 4, members);
    let server = |id: UpstreamId| {
        Some(if id.0 % 3 == 2 { (AttemptOutcome::ConnectFailed, 100.0) } else { (AttemptOutcome::Ok, 50.0) })
    };
    harness.traffic(12_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.attempts_since(4000.0);
    let lost: usize = to.iter().filter(|(id, _)| id.0 % 3 == 2).map(|(_, n)| n).sum();
    assert!(lost * 25 < sent, "{lost} of {sent} attempts went to the unreachable zone");
}

#[test]
fn other_zones_are_used_only_when_the_own_zone_has_no_usable_upstream() {
    let settings = Settings { cross_zone_price: 0.2, ..shared(&[1.0]) };
    let in_zones = |id| Member { zone: (id % 2) as u16, ..member(id) };
    let mut harness = Harness::new(settings, 4, (1..=12).map(in_zones).collect());
    harness.traffic(10_000.0, 40.0, &[0], &fast);
    let (_, to) = harness.attempts_since(0.0);
    assert!(to.keys().all(|id| id.0 % 2 == 0), "only the own zone is used while it is usable: {to:?}");
    harness.update_list(Membership::Full((1..=12).filter(|id| id % 2 == 1).map(in_zones).collect()));
    let from = harness.now;
    harness.traffic(2000.0, 40.0, &[0], &fast);
    assert!(harness.attempts_since(from).0 > 60, "the other zone serves when the own zone has no upstream");
}

/// Guards against attempts that run on when a late answer earns nothing: they occupy slots in every tier above.
#[test]
fn request_ends_at_its_objective_when_late_answers_earn_nothing() {
    for (late_worth, max_time) in [(0.0, 500.0), (0.4, 2000.0)] {
        let class = Class { late_worth, ..class(Effect::SingleShot) };
        let mut harness =
            Harness::new(Settings { classes: vec![class], ..Settings::default() }, 4, vec![member(1)]);
        harness.request(1, 0, 0);
        harness.advance(max_time - 100.0);
        assert!(!harness.requests[&RequestId(1)].answered, "not ended before {max_time} ms");
        harness.advance(100.0);
        assert!(harness.requests[&RequestId(1)].answered, "ended by {max_time} ms");
    }
}

/// Sends a request on connections that are dropped without notice after 300 ms without use, and returns whether it was
/// lost. `open` holds the time at which the connection to each upstream was last used; answers arrive at once.
fn request_on_dropped_connections(
    harness: &mut Harness,
    open: &mut BTreeMap<UpstreamId, f64>,
    id: u32,
) -> bool {
    let mut lost = false;
    for action in harness.request(id, 0, 0) {
        match action {
            Action::CloseIdle(upstream) => drop(open.remove(&upstream)),
            Action::Send { upstream, .. } => {
                let idle_time = open.insert(upstream, harness.now).map_or(0.0, |used| harness.now - used);
                lost = idle_time > 300.0 && idle_time < harness.settings.idle_close;
                if lost {
                    // No answer arrives, and the connection is lost as well.
                    open.remove(&upstream);
                } else {
                    harness.outcome(id, 0, AttemptOutcome::Ok);
                }
            }
            _ => {}
        }
    }
    lost
}

/// Guards against the use of idle connections that were dropped without notice: a request sent on one gets no answer.
#[test]
fn idle_connections_are_closed_before_use_once_requests_on_them_get_lost() {
    let mut harness = harness_with(shared(&[1.0]), 8);
    let (mut open, mut lost) = (BTreeMap::new(), [0, 0]);
    for id in 0..2000 {
        lost[usize::from(id >= 1000)] +=
            u32::from(request_on_dropped_connections(&mut harness, &mut open, id));
        harness.advance(200.0);
    }
    assert!(lost[0] > 5, "the loss must occur before it is detected: {lost:?}");
    assert!(lost[1] * 10 < 1000, "after detection, {} of 1000 requests use a dropped connection", lost[1]);
}

/// Guards against refusals caused by lost attempts: until their timeouts they counted against the limit on attempts in
/// flight.
#[test]
fn attempts_lost_with_their_connection_do_not_count_as_in_flight() {
    let class = Class { objective: 200.0, deadline: 6000.0, late_worth: 0.5, ..class(Effect::SingleShot) };
    let settings = Settings { classes: vec![class], tenants: tenants(&[1.0], 40.0), ..Settings::default() };
    let mut harness = harness_with(settings, 12);
    let mut open = BTreeMap::new();
    for id in 0..140 {
        request_on_dropped_connections(&mut harness, &mut open, id);
        harness.advance(40.0);
    }
    let (sent, _) = harness.attempts_since(3000.0);
    assert!(sent > 40, "{sent} of 65 requests are admitted before the first timeout");
}

/// Guards against a wait until the deadline that leaves no time for a retry which is allowed and would be answered.
#[test]
fn lost_attempts_are_retried_in_time() {
    let mut harness = harness_with(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((AttemptOutcome::Ok, 40.0));
    harness.traffic(20_000.0, 30.0, &[0], &server);
    let mut retried = harness.requests.values().filter(|s| s.sends.len() > 1);
    // At the end of the objective, after 490 ms, the retry would come too late.
    assert!(retried.any(|s| s.sends[1].1 - s.sends[0].1 < 450.0), "a lost attempt is retried in time");
}

/// Guards against more attempts to an upstream that answers none before its first timeout expires.
#[test]
fn upstream_without_an_answer_for_long_is_avoided_before_a_timeout() {
    let class = Class { late_worth: 0.5, ..class(Effect::SingleShot) };
    let mut harness = harness_with(Settings { classes: vec![class], ..shared(&[1.0]) }, 3);
    harness.traffic(3000.0, 60.0, &[0], &|_| Some((AttemptOutcome::Ok, 50.0)));
    let from = harness.now;
    let server = |id| (id != UpstreamId(2)).then_some((AttemptOutcome::Ok, 150.0));
    harness.traffic(1800.0, 40.0, &[0], &server);
    let late = harness
        .requests
        .values()
        .flat_map(|s| &s.sends)
        .filter(|(to, at)| *to == UpstreamId(2) && *at > from + 600.0);
    assert_eq!(
        late.count(),
        0,
        "no attempt goes to an upstream that has been silent for six usual answer times"
    );
}

/// Guards against a subset that ignores groups: it held no other upstream that shares the deduplication store.
#[test]
fn guarded_retry_finds_another_upstream_of_its_group() {
    let guarded = Effect::Guarded { scope: DedupScope::Cell, window: 5000.0 };
    let class = Class { late_worth: 0.5, ..class(guarded) };
    let settings = Settings { classes: vec![class], balancers: 10, index: 3, ..shared(&[1.0]) };
    let cells = |id| Member { group: (id % 10) as u16, ..member(id) };
    let mut harness = Harness::new(settings, 4, (1..=60).map(cells).collect());
    let mut elsewhere = 0;
    for id in 0..40 {
        harness.request(id, 0, 0);
        harness.outcome(id, 0, if id % 2 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Ok });
        let sends = harness.requests[&RequestId(id)].sends.clone();
        if let [first, again] = sends[..] {
            elsewhere += u32::from(first.0 != again.0);
            harness.outcome(id, 1, AttemptOutcome::Ok);
        }
        harness.advance(500.0);
    }
    assert!(elsewhere >= 17, "{elsewhere} of 20 retries went to another upstream of their group");
}

/// Guards against equal use of slow and fast machine kinds by instances with little traffic, which have no attempt in
/// flight at most upstreams.
#[test]
fn faster_upstream_is_selected_at_equal_attempts_in_flight() {
    let mut harness = harness_with(shared(&[1.0]), 6);
    let server =
        |id: UpstreamId| Some((AttemptOutcome::Ok, if id.0.is_multiple_of(2) { 60.0 } else { 15.0 }));
    harness.traffic(20_000.0, 20.0, &[0], &server);
    let (sent, to) = harness.attempts_since(5000.0);
    let slow: usize = to.iter().filter(|(id, _)| id.0 % 2 == 0).map(|(_, n)| n).sum();
    assert!(slow * 3 < sent, "{slow} of {sent} attempts went to the slow upstreams");
    assert!(slow > 0, "the measured answer times are forgotten, and slow upstreams are tried again");
}

/// Guards against timeouts in an overload that are all blamed on single upstreams: capacity was not reduced, and all
/// that was admitted, up to the quotas and beyond, was lost.
#[test]
fn failures_of_most_upstreams_cut_capacity_below_the_quotas_instead_of_ejecting() {
    let mut harness = harness_with(shared(&[1.0]), 6);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(10_000.0, 60.0, &[0], &|_| Some((AttemptOutcome::Error, 5.0)));
    let from = harness.now;
    harness.traffic(5000.0, 60.0, &[0], &|_| Some((AttemptOutcome::Error, 5.0)));
    let (sent, _) = harness.attempts_since(from);
    assert!(sent < 150, "{sent} of 300 requests were sent although nearly all fail");
    assert!(sent > 0, "some requests are still sent, to learn from");
    let lines = harness.log.iter().filter(|a| matches!(a, Action::Log(_))).count();
    assert!((1..=3).contains(&lines), "the change of state is logged once: {lines} lines");
}

/// Guards against ignoring attempts sent before the last capacity cut: with answers slower than a cycle, only the fast
/// ones counted.
#[test]
fn capacity_accounts_for_slow_answers() {
    let mut harness = harness_with(shared(&[1.0]), 8);
    let server = |id: UpstreamId| Some((AttemptOutcome::Ok, if id.0 < 4 { 60.0 } else { 1400.0 }));
    let class = Class { objective: 1000.0, deadline: 3000.0, late_worth: 0.5, ..class(Effect::Free) };
    harness =
        Harness::new(Settings { classes: vec![class], ..harness.settings }, 4, (1..=8).map(member).collect());
    harness.traffic(10_000.0, 120.0, &[0], &server);
    let (sent, _) = harness.attempts_since(5000.0);
    assert!(sent < 450, "{sent} of 600 requests admitted although many answers are late; the quotas are 300");
}

/// Guards against a capacity floor at the stated quotas after half of the tier's upstreams are gone.
#[test]
fn the_floor_follows_the_ready_upstreams() {
    let admitted = |ready: u64| {
        let mut harness = harness_with(shared(&[1.0]), 8);
        harness.update_list(Membership::Full((1..=ready).map(member).collect()));
        harness.traffic(10_000.0, 120.0, &[0], &|_| Some((AttemptOutcome::Ok, 420.0)));
        harness.attempts_since(5000.0).0
    };
    let (all, half) = (admitted(8), admitted(4));
    assert!(half * 3 < all * 2, "{half} requests sent with half of the upstreams ready, {all} with all");
}

/// Guards against a large tenant far over its share that takes a third of the capacity while small tenants within their
/// shares are refused.
#[test]
fn tenant_over_its_limit_is_refused_first_under_overload() {
    let mut harness = harness_with(shared(&[0.4, 0.3, 0.3]), 4);
    let tenants = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2];
    harness.traffic(4000.0, 60.0, &tenants, &fast);
    let from = harness.now;
    harness.traffic(10_000.0, 200.0, &tenants, &|_| Some((AttemptOutcome::Ok, 190.0)));
    let passed = |of: &dyn Fn(u32) -> bool| {
        let requests: Vec<_> =
            harness.requests.iter().filter(|(id, s)| of(id.0 % 10) && s.deadline > from + 5000.0).collect();
        requests.iter().filter(|(_, s)| !s.sends.is_empty()).count() as f64 / requests.len() as f64
    };
    let (large, small) = (passed(&|t| t < 8), passed(&|t| t >= 8));
    assert!(
        small > 0.65 && large < 0.3,
        "a fraction of {small} of the small tenants' requests is admitted, {large} of the large one's"
    );
}

/// Guards against an instance with little traffic, which compares zeros, sending all attempts to the same few
/// upstreams.
#[test]
fn instance_with_little_traffic_spreads_its_attempts() {
    let mut harness = harness_with(shared(&[1.0]), 5);
    harness.traffic(60_000.0, 1.0, &[0], &fast);
    let (sent, to) = harness.attempts_since(0.0);
    let max_attempts = to.values().max().copied().unwrap_or(0);
    assert!(to.len() == 5 && max_attempts * 3 < sent, "{to:?}");
}

/// Guards against refusals for lack of capacity at the start of a lower tier, whose answers were all in time.
#[test]
fn lower_tier_starts_with_spare_capacity() {
    for (stage, min_sent) in [(0, 0), (1, 60)] {
        let mut harness = harness_with(Settings { stage, ..shared(&[1.0]) }, 4);
        for id in 0..60 {
            harness.request(id, 0, 0);
            harness.outcome(id, 0, AttemptOutcome::Ok);
        }
        let (sent, _) = harness.attempts_since(0.0);
        assert!(sent >= min_sent, "{sent} requests sent in tier {stage}");
    }
}

/// Guards against a number of connections that grows as instances times upstreams: each instance keeps to a stable
/// subset that its traffic keeps warm.
#[test]
fn subset_follows_the_traffic_and_is_balanced_between_instances() {
    let mut load = BTreeMap::new();
    for index in 0..20 {
        let settings = Settings { index, balancers: 20, ..shared(&[1.0]) };
        let mut harness = Harness::new(settings, u64::from(index), (1..=40).map(member).collect());
        harness.traffic(12_000.0, 8.0, &[0], &fast);
        let (_, to) = harness.attempts_since(6000.0);
        assert!((5..=14).contains(&to.len()), "instance {index} used {} upstreams", to.len());
        to.keys().for_each(|id| *load.entry(*id).or_insert(0) += 1);
    }
    let max_instances = load.values().max().copied().unwrap_or(0);
    assert!(
        load.len() == 40 && max_instances <= 7,
        "{max_instances} instances on one upstream, {} used",
        load.len()
    );
}

/// Guards against too many open connections, which upstreams limit and which slow them down: a tier ran out of them and
/// never recovered when each of 100 instances with a few attempts in flight kept one open to most upstreams.
#[test]
fn instance_with_little_traffic_keeps_few_connections_from_the_start() {
    let settings = Settings { balancers: 20, idle_close: 30_000.0, ..shared(&[1.0]) };
    let mut harness = Harness::new(settings, 4, (1..=100).map(member).collect());
    harness.traffic(20_000.0, 3.0, &[0], &|_| Some((AttemptOutcome::Ok, 200.0)));
    let (sent, to) = harness.attempts_since(0.0);
    assert!(sent > 40 && to.len() <= 10, "{sent} requests used {} upstreams", to.len());
}

#[test]
fn new_tenant_ends_the_cycle_early_and_has_a_limit_at_once() {
    let mut harness = harness_with(shared(&[0.5, 0.5]), 4);
    harness.advance(1.0);
    for id in 0..300 {
        harness.request(id, 0, 0);
        if !harness.requests[&RequestId(id)].sends.is_empty() {
            harness.outcome(id, 0, AttemptOutcome::Ok);
        }
    }
    assert!(harness.requests[&RequestId(299)].sends.is_empty(), "tenant 0 has used up the cycle's capacity");
    assert!(
        matches!(harness.request(300, 0, 1)[..], [Action::Send { .. }]),
        "tenant 1 has a limit before the next cycle"
    );
}

#[test]
fn retries_stay_within_their_budget() {
    let mut harness = harness_with(shared(&[1.0]), 8);
    harness.traffic(20_000.0, 40.0, &[0], &|_| Some((AttemptOutcome::Error, 5.0)));
    let (requests, to) = harness.attempts_since(0.0);
    let attempts: usize = to.values().sum();
    // A fifth of all requests, including refused ones, and the 10 retries saved at the start.
    assert!(attempts <= requests + 800 / 5 + 10, "{attempts} attempts for {requests} requests");
    assert!(attempts > requests, "some requests are retried");
}

#[test]
fn ejected_upstream_serves_when_it_is_the_only_one() {
    let mut harness = harness_with(shared(&[1.0]), 1);
    for id in 0..8 {
        harness.request(id, 0, 0);
        let record = &harness.requests[&RequestId(id)];
        assert!(!record.sends.is_empty(), "request {id} is sent");
        harness.outcome(id, 0, AttemptOutcome::Reset);
        if harness.requests[&RequestId(id)].outcomes.last() == Some(&None) {
            let last = harness.requests[&RequestId(id)].outcomes.len() - 1;
            harness.outcome(id, last, AttemptOutcome::Ok);
        }
    }
}

/// Guards against equal defaults, which would give a tenant with most of the shares the same limit as a small one.
#[test]
fn stated_shares_set_the_defaults() {
    let mut harness = harness_with(shared(&[0.8, 0.2]), 4);
    harness.traffic(12_000.0, 150.0, &[0, 1], &|_| Some((AttemptOutcome::Ok, 232.0)));
    let sent = |odd: u32| {
        let of = |(id, s): &(&RequestId, &RequestRecord)| id.0 % 2 == odd && !s.sends.is_empty();
        harness.requests.iter().filter(of).count()
    };
    assert!(
        sent(0) > 2 * sent(1),
        "{} requests of the large tenant sent, {} of the small one",
        sent(0),
        sent(1)
    );
}

/// Guards against corrupt answers being mistaken for connections that were dropped while idle: intact connections were
/// closed before use, at the cost of a handshake each.
#[test]
fn corrupt_answers_close_no_idle_connections() {
    let mut harness = harness_with(shared(&[1.0]), 8);
    for id in 0..400 {
        harness.request(id, 0, 0);
        harness.advance(100.0);
        harness.outcome(id, 0, if id % 3 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Ok });
        if harness.requests[&RequestId(id)].sends.len() > 1 {
            harness.outcome(id, 1, AttemptOutcome::Ok);
        }
        harness.advance(100.0);
    }
    assert!(!harness.log.iter().any(|a| matches!(a, Action::CloseIdle(_))));
}

/// Guards against ejections by chance: when the answers of all upstreams were corrupt now and then, two or three of
/// four were ejected, and the others were overloaded.
#[test]
fn chance_failures_leave_most_upstreams_in_use() {
    let mut harness = harness_with(shared(&[1.0]), 4);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(300.0, 60.0, &[0], &|id| {
        Some((if id.0 < 4 { AttemptOutcome::Reset } else { AttemptOutcome::Ok }, 50.0))
    });
    harness.advance(100.0);
    let from = harness.now;
    harness.traffic(1000.0, 60.0, &[0], &fast);
    let (sent, to) = harness.attempts_since(from);
    assert!(to.len() >= 3, "at most one of four may be ejected: {sent} requests went to {to:?}");
}

/// Guards against growth of the unloaded answer time, and with it of the limit on attempts in flight, during an
/// overload in which three of four answers are still in time: the overloaded upstreams never recovered.
#[test]
fn overload_does_not_raise_the_limit_on_attempts_in_flight() {
    let class = Class { late_worth: 0.5, ..class(Effect::Free) };
    let mut harness = harness_with(Settings { classes: vec![class], ..shared(&[1.0]) }, 4);
    harness.traffic(5000.0, 60.0, &[0], &|_| Some((AttemptOutcome::Ok, 150.0)));
    harness.traffic(30_000.0, 60.0, &[0], &|id| {
        Some((AttemptOutcome::Ok, if id.0 == 4 { 600.0 } else { 400.0 }))
    });
    harness.advance(2000.0);
    let from = harness.now;
    harness.traffic(900.0, 100.0, &[0], &|_| None);
    let (sent, _) = harness.attempts_since(from);
    assert!(sent < 30, "{sent} requests were sent to an overloaded tier");
}
