//! The endpoint set: single cases, and properties that hold for any order of the updates of its sources.
use discovery::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, SourceUpdate};
use discovery::endpoint_set::{Endpoint, EndpointChange, EndpointSet, Source};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;

fn source(rank: u16) -> Source {
    Source { rank, label: format!("source {rank}").into() }
}

fn report(name: &str, port: u16, endpoint_state: EndpointState) -> EndpointReport {
    EndpointReport {
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".into(),
        kind: "".into(),
        cell: 1,
        protocol: EndpointProtocol::Http,
        state: endpoint_state,
        reason: "".into(),
        started_ms: Some(0.0),
        registration_index: 1,
        meta: Meta::default(),
    }
}

fn without_start(name: &str, port: u16, index: u64) -> EndpointReport {
    EndpointReport { started_ms: None, registration_index: index, ..report(name, port, EndpointState::Ready) }
}

fn endpoint(set: &EndpointSet, name: &str) -> Endpoint {
    set.endpoints()
        .find(|e| &*e.name == name)
        .cloned()
        .unwrap_or_else(|| panic!("there is no endpoint {name}"))
}

fn names(set: &EndpointSet) -> Vec<String> {
    set.endpoints().map(|e| e.name.to_string()).collect()
}

/// Guards against a hold-out that an update of a source ends, one that outlives its endpoint, and an endpoint that counts
/// as warm after a hold-out.
#[test]
fn held_out_endpoints_drain_regardless_of_updates_and_count_as_cold_afterwards() {
    let mut set = EndpointSet::new(true);
    set.apply_update(
        1.0,
        &source(0),
        SourceUpdate::Full(vec![
            report("u1", 1, EndpointState::Ready),
            report("u2", 2, EndpointState::Ready),
        ]),
    );
    let held_out = std::collections::BTreeMap::from([("u1".to_string(), "new disks".to_string())]);
    let changes = set.set_held_out(2.0, &held_out);
    assert!(
        matches!(&changes[..], [EndpointChange::Updated(e)] if &*e.name == "u1" && !e.accepts_requests && &*e.reason == "new disks")
    );
    assert_eq!(set.set_held_out(3.0, &held_out), [], "nothing has changed");
    // Neither a changed report nor one of another source ends the hold-out.
    set.apply_update(
        4.0,
        &source(0),
        SourceUpdate::Delta(
            vec![EndpointReport { cell: 2, ..report("u1", 1, EndpointState::Ready) }],
            vec![],
        ),
    );
    set.apply_update(5.0, &source(1), SourceUpdate::Full(vec![report("u1", 1, EndpointState::Ready)]));
    assert!(!endpoint(&set, "u1").accepts_requests && set.is_held_out("u1"));
    let changes = set.set_held_out(6.0, &Default::default());
    assert!(
        matches!(&changes[..], [EndpointChange::Updated(e)] if e.accepts_requests && e.started_ms == 6.0),
        "{changes:?}"
    );
    // A held-out endpoint is removed as any other, and one that is added while its name is held out starts held out.
    set.set_held_out(7.0, &held_out);
    set.apply_update(8.0, &source(1), SourceUpdate::Full(vec![]));
    set.apply_update(8.0, &source(0), SourceUpdate::Delta(vec![], vec!["u1".into()]));
    assert_eq!(names(&set), ["u2"]);
    set.apply_update(
        9.0,
        &source(0),
        SourceUpdate::Delta(vec![report("u1", 3, EndpointState::Ready)], vec![]),
    );
    assert!(!endpoint(&set, "u1").accepts_requests);
}

/// Guards against a drain in one datacentre that ends because another datacentre reports the endpoint as passing.
#[test]
fn the_most_severe_reported_state_applies_until_its_source_changes_it() {
    let mut set = EndpointSet::new(true);
    set.apply_update(
        1.0,
        &source(1),
        SourceUpdate::Full(vec![report("n", 1, EndpointState::Ready), report("m", 2, EndpointState::Ready)]),
    );
    set.apply_update(2.0, &source(2), SourceUpdate::Full(vec![report("n", 1, EndpointState::Draining)]));
    assert!(!endpoint(&set, "n").accepts_requests && endpoint(&set, "m").accepts_requests);
    assert_eq!(
        set.apply_update(
            3.0,
            &source(1),
            SourceUpdate::Full(vec![
                report("n", 1, EndpointState::Ready),
                report("m", 2, EndpointState::Ready)
            ])
        ),
        []
    );
    assert!(!endpoint(&set, "n").accepts_requests, "an unchanged report of the other source has no effect");
    // The same endpoint under another name, since names in another datacentre differ.
    set.apply_update(4.0, &source(2), SourceUpdate::Full(vec![report("dc2/n", 1, EndpointState::Draining)]));
    assert_eq!((names(&set), endpoint(&set, "n").accepts_requests), (vec!["m".into(), "n".into()], false));
    let changes =
        set.apply_update(5.0, &source(2), SourceUpdate::Full(vec![report("dc2/n", 1, EndpointState::Ready)]));
    assert!(matches!(&changes[..], [EndpointChange::Updated(e)] if &*e.name == "n" && e.accepts_requests));
    // An endpoint that one source removes is still reported by the other.
    set.apply_update(6.0, &source(1), SourceUpdate::Full(vec![report("m", 2, EndpointState::Ready)]));
    assert_eq!(names(&set), ["dc2/n", "m"]);
    set.apply_update(7.0, &source(2), SourceUpdate::Full(vec![]));
    assert_eq!(names(&set), ["m"]);
}

#[test]
fn an_unavailable_source_changes_nothing_and_its_error_is_kept() {
    let mut set = EndpointSet::new(true);
    set.apply_update(1000.0, &source(1), SourceUpdate::Full(vec![report("n", 1, EndpointState::Ready)]));
    assert_eq!(set.apply_update(9000.0, &source(1), SourceUpdate::Unavailable("no leader".into())), []);
    let status = set.sources().next().map(|(_, status)| status.clone()).expect("a source");
    assert_eq!(
        (status.updated_ms, status.error, status.endpoint_count),
        (Some(1000.0), Some("no leader".into()), 1)
    );
    assert_eq!(names(&set), ["n"]);
}

/// Guards against a restarted process that counts as warm.
#[test]
fn without_a_reported_start_an_endpoint_that_may_have_restarted_counts_as_cold() {
    let mut set = EndpointSet::new(true);
    let started_ms = |set: &EndpointSet, name: &str| endpoint(set, name).started_ms;
    set.apply_update(100.0, &source(1), SourceUpdate::Full(vec![without_start("n", 1, 5)]));
    assert_eq!(started_ms(&set, "n"), 100.0, "no source reports the start");
    let critical = EndpointReport { state: EndpointState::Unhealthy, ..without_start("n", 1, 5) };
    set.apply_update(200.0, &source(1), SourceUpdate::Full(vec![critical]));
    set.apply_update(300.0, &source(1), SourceUpdate::Full(vec![without_start("n", 1, 5)]));
    assert_eq!(started_ms(&set, "n"), 100.0, "a flapping check is not a restart");
    set.apply_update(400.0, &source(1), SourceUpdate::Full(vec![without_start("n", 2, 5)]));
    assert_eq!(started_ms(&set, "n"), 400.0, "a new address means a new process");
    let changes = set.apply_update(
        500.0,
        &source(1),
        SourceUpdate::Full(vec![without_start("n", 2, 5), without_start("o", 2, 6)]),
    );
    assert!(
        matches!(&changes[..], [EndpointChange::Removed(n), EndpointChange::Updated(o)] if &*n.name == "n" && &*o.name == "o")
    );
    assert_eq!(started_ms(&set, "o"), 500.0, "a new name at the same address means a new process");
    set.apply_update(600.0, &source(1), SourceUpdate::Full(vec![without_start("o", 2, 9)]));
    assert_eq!(started_ms(&set, "o"), 600.0, "a new registration means a new process");
    // Reported by another source as well it is the same process; removed and added again it may be another one.
    set.apply_update(700.0, &source(2), SourceUpdate::Full(vec![without_start("p", 2, 3)]));
    set.apply_update(800.0, &source(1), SourceUpdate::Full(vec![]));
    assert_eq!(started_ms(&set, "p"), 600.0, "first seen under the other name");
    set.apply_update(900.0, &source(2), SourceUpdate::Full(vec![]));
    set.apply_update(1000.0, &source(2), SourceUpdate::Full(vec![without_start("p", 2, 3)]));
    assert_eq!(started_ms(&set, "p"), 1000.0);
    // A reported start takes precedence over the first-seen time.
    set.apply_update(
        1100.0,
        &source(1),
        SourceUpdate::Full(vec![EndpointReport { started_ms: Some(50.0), ..without_start("p", 2, 3) }]),
    );
    assert_eq!(started_ms(&set, "p"), 50.0);
}

/// Guards against a pool that is emptied by checks that all fail at once, and against requests to unhealthy endpoints
/// while others are ready.
#[test]
fn unhealthy_endpoints_accept_requests_only_while_none_is_ready() {
    let two_and_draining = |state_a, state_b| {
        SourceUpdate::Full(vec![
            report("a", 1, state_a),
            report("b", 2, state_b),
            report("c", 3, EndpointState::Draining),
        ])
    };
    use EndpointState::{Ready, Unhealthy};
    let mut set = EndpointSet::new(true);
    set.apply_update(1.0, &source(1), two_and_draining(Ready, Ready));
    set.apply_update(2.0, &source(1), two_and_draining(Unhealthy, Ready));
    assert!(!endpoint(&set, "a").accepts_requests && endpoint(&set, "b").accepts_requests);
    let changes = set.apply_update(3.0, &source(1), two_and_draining(Unhealthy, Unhealthy));
    assert_eq!(
        changes.len(),
        2,
        "both accept requests, though the state of only one has changed: {changes:?}"
    );
    assert!(
        endpoint(&set, "a").accepts_requests
            && endpoint(&set, "b").accepts_requests
            && !endpoint(&set, "c").accepts_requests,
        "draining endpoints never accept requests"
    );
    set.apply_update(4.0, &source(1), two_and_draining(Unhealthy, Ready));
    assert!(!endpoint(&set, "a").accepts_requests && endpoint(&set, "b").accepts_requests);
    let mut strict = EndpointSet::new(false);
    strict.apply_update(1.0, &source(1), two_and_draining(Unhealthy, Unhealthy));
    assert!(strict.endpoints().all(|e| !e.accepts_requests));
}

#[test]
fn cached_reports_are_restored_with_their_start_times() {
    let mut set = EndpointSet::new(true);
    set.apply_update(
        100.0,
        &source(1),
        SourceUpdate::Full(vec![without_start("n", 1, 5), report("m", 2, EndpointState::Draining)]),
    );
    let cached: Vec<_> = set.cached_reports().collect();
    let mut restored = EndpointSet::new(true);
    restored.add_source(&source(1));
    assert_eq!(restored.restore(cached.clone(), [(source(1), 100.0)]).len(), 2);
    assert_eq!(restored.endpoints().collect::<Vec<_>>(), set.endpoints().collect::<Vec<_>>());
    // An unchanged report changes nothing; an endpoint that the full list lacks is removed.
    assert_eq!(
        restored.apply_update(900.0, &source(1), SourceUpdate::Delta(vec![without_start("n", 1, 5)], vec![])),
        []
    );
    let changes =
        restored.apply_update(901.0, &source(1), SourceUpdate::Full(vec![without_start("n", 1, 5)]));
    assert!(matches!(&changes[..], [EndpointChange::Removed(e)] if &*e.name == "m"));
    // Reports of a source that was removed are ignored.
    let mut other = EndpointSet::new(true);
    other.add_source(&source(2));
    assert_eq!(other.restore(cached, []), []);
}

fn reports() -> impl Strategy<Value = Vec<EndpointReport>> {
    let state = prop_oneof![
        Just(EndpointState::Ready),
        Just(EndpointState::Unhealthy),
        Just(EndpointState::Draining)
    ];
    let one_report = (0u8..5, 1u16..5, state, 0u64..3, prop_oneof![Just(0.0), Just(7.0)]).prop_map(
        |(name, port, reported_state, index, started_at_ms)| EndpointReport {
            registration_index: index,
            started_ms: Some(started_at_ms),
            ..report(&format!("n{name}"), port, reported_state)
        },
    );
    proptest::collection::vec(one_report, 0..6).prop_map(|mut reports| {
        reports.sort_by(|a, b| a.name.cmp(&b.name));
        reports.dedup_by(|a, b| a.name == b.name);
        reports
    })
}

proptest! {
    // A fixed seed, so that every run has the same cases and the same result.
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The set depends only on the last update of each source, whatever the order of earlier ones and whichever of them
    /// were lost; applying the returned changes gives the same endpoints.
    #[test]
    fn only_the_last_update_of_each_source_counts(
        history in proptest::collection::vec((1u16..4, prop_oneof![4 => reports().prop_map(Some), 1 => Just(None)]), 0..12),
        last in proptest::collection::vec(reports(), 3),
        order in Just(vec![1u16, 2, 3]).prop_shuffle(),
    ) {
        let mut set = EndpointSet::new(true);
        let mut replica = std::collections::BTreeMap::new();
        let mut apply_changes = |set: &EndpointSet, changes: Vec<EndpointChange>| {
            for change in changes {
                match change {
                    EndpointChange::Updated(e) => drop(replica.insert(e.name.clone(), e)),
                    EndpointChange::Removed(e) => assert!(replica.remove(&e.name).is_some(), "removed twice: {e:?}"),
                }
            }
            let endpoints: Vec<&Endpoint> = set.endpoints().collect();
            assert_eq!(endpoints, replica.values().collect::<Vec<_>>());
            let mut addrs: Vec<_> = endpoints.iter().map(|e| e.addr).collect();
            addrs.sort();
            addrs.dedup();
            assert_eq!(addrs.len(), endpoints.len(), "two endpoints at one address");
        };
        for (rank, update) in history {
            let update = update.map_or(SourceUpdate::Unavailable("lost".into()), SourceUpdate::Full);
            let changes = set.apply_update(1.0, &source(rank), update);
            apply_changes(&set, changes);
        }
        for rank in order {
            let changes = set.apply_update(2.0, &source(rank), SourceUpdate::Full(last[usize::from(rank) - 1].clone()));
            apply_changes(&set, changes);
        }
        let mut fresh = EndpointSet::new(true);
        for rank in 1u16..4 {
            fresh.apply_update(3.0, &source(rank), SourceUpdate::Full(last[usize::from(rank) - 1].clone()));
        }
        prop_assert_eq!(set.endpoints().collect::<Vec<_>>(), fresh.endpoints().collect::<Vec<_>>());
    }
}

#[test]
fn of_distinct_names_at_one_address_the_one_that_arrived_last_applies() {
    let started = |name: &str, started_ms: u32, state| EndpointReport {
        started_ms: Some(f64::from(started_ms)),
        registration_index: u64::from(started_ms),
        ..report(name, 1, state)
    };
    use EndpointState::{Draining, Ready};
    let mut set = EndpointSet::new(true);
    set.add_source(&source(0));
    set.set_distinct_names(&source(0));
    let mut apply = |update| drop(set.apply_update(1.0, &source(0), update));
    apply(SourceUpdate::Full(vec![started("old", 500, Ready)]));
    // The clock of the successor's machine may be behind, and the list may still contain the former process.
    apply(SourceUpdate::Delta(vec![started("new", 300, Ready)], vec![]));
    apply(SourceUpdate::Full(vec![started("new", 300, Ready), started("old", 500, Ready)]));
    apply(SourceUpdate::Delta(vec![started("old", 500, Draining)], vec![]));
    assert_eq!(names(&set), ["new"]);
    assert!(endpoint(&set, "new").accepts_requests);
    // A name that starts again at the address arrives again.
    set.apply_update(2.0, &source(0), SourceUpdate::Delta(vec![started("old", 600, Ready)], vec![]));
    assert_eq!(names(&set), ["old"]);
    set.apply_update(3.0, &source(0), SourceUpdate::Delta(vec![], vec!["old".into()]));
    assert_eq!(names(&set), ["new"]);
}
