//! The view, case by case, and what holds whatever the sources tell in whatever order.
use discovery::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, SourceUpdate};
use discovery::endpoint_set::{Endpoint, EndpointChange, EndpointSet, Source};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;

fn source(rank: u16) -> Source {
    Source { rank, label: format!("source {rank}").into() }
}

fn report(name: &str, port: u16, standing: EndpointState) -> EndpointReport {
    EndpointReport {
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".into(),
        kind: "".into(),
        cell: 1,
        protocol: EndpointProtocol::Http,
        state: standing,
        reason: "".into(),
        started_ms: Some(0.0),
        registration_index: 1,
        meta: Meta::default(),
    }
}

fn unstated(name: &str, port: u16, registered: u64) -> EndpointReport {
    EndpointReport {
        started_ms: None,
        registration_index: registered,
        ..report(name, port, EndpointState::Ready)
    }
}

fn one(view: &EndpointSet, name: &str) -> Endpoint {
    view.endpoints().find(|m| &*m.name == name).cloned().unwrap_or_else(|| panic!("{name} is not there"))
}

fn names(view: &EndpointSet) -> Vec<String> {
    view.endpoints().map(|m| m.name.to_string()).collect()
}

/// Guards against a drain by agreement that a source undoes, one that outlives its member, and a member that returns warm.
#[test]
fn what_is_held_out_drains_whatever_sources_say_and_returns_cold() {
    let mut view = EndpointSet::new(true);
    view.apply_update(
        1.0,
        &source(0),
        SourceUpdate::Full(vec![
            report("u1", 1, EndpointState::Ready),
            report("u2", 2, EndpointState::Ready),
        ]),
    );
    let held = std::collections::BTreeMap::from([("u1".to_string(), "new disks".to_string())]);
    let changes = view.set_held_out(2.0, &held);
    assert!(
        matches!(&changes[..], [EndpointChange::Updated(m)] if &*m.name == "u1" && !m.accepts_requests && &*m.reason == "new disks")
    );
    assert_eq!(view.set_held_out(3.0, &held), [], "no news");
    // Told again, changed and from elsewhere, it stays out.
    view.apply_update(
        4.0,
        &source(0),
        SourceUpdate::Delta(
            vec![EndpointReport { cell: 2, ..report("u1", 1, EndpointState::Ready) }],
            vec![],
        ),
    );
    view.apply_update(5.0, &source(1), SourceUpdate::Full(vec![report("u1", 1, EndpointState::Ready)]));
    assert!(!one(&view, "u1").accepts_requests && view.is_held_out("u1"));
    let changes = view.set_held_out(6.0, &Default::default());
    assert!(
        matches!(&changes[..], [EndpointChange::Updated(m)] if m.accepts_requests && m.started_ms == 6.0),
        "{changes:?}"
    );
    // One that is gone meanwhile is not kept by it, and one that comes while it is held begins held.
    view.set_held_out(7.0, &held);
    view.apply_update(8.0, &source(1), SourceUpdate::Full(vec![]));
    view.apply_update(8.0, &source(0), SourceUpdate::Delta(vec![], vec!["u1".into()]));
    assert_eq!(names(&view), ["u2"]);
    view.apply_update(
        9.0,
        &source(0),
        SourceUpdate::Delta(vec![report("u1", 3, EndpointState::Ready)], vec![]),
    );
    assert!(!one(&view, "u1").accepts_requests);
}

/// Guards against a drain in one datacentre's view that another's, where it passes, would undo.
#[test]
fn the_worst_that_any_source_says_counts_until_it_says_otherwise() {
    let mut view = EndpointSet::new(true);
    view.apply_update(
        1.0,
        &source(1),
        SourceUpdate::Full(vec![report("n", 1, EndpointState::Ready), report("m", 2, EndpointState::Ready)]),
    );
    view.apply_update(2.0, &source(2), SourceUpdate::Full(vec![report("n", 1, EndpointState::Draining)]));
    assert!(!one(&view, "n").accepts_requests && one(&view, "m").accepts_requests);
    assert_eq!(
        view.apply_update(
            3.0,
            &source(1),
            SourceUpdate::Full(vec![
                report("n", 1, EndpointState::Ready),
                report("m", 2, EndpointState::Ready)
            ])
        ),
        []
    );
    assert!(!one(&view, "n").accepts_requests, "told again by the other, it is no news");
    // The same under another name, as another datacentre's node is called.
    view.apply_update(4.0, &source(2), SourceUpdate::Full(vec![report("dc2/n", 1, EndpointState::Draining)]));
    assert_eq!((names(&view), one(&view, "n").accepts_requests), (vec!["m".into(), "n".into()], false));
    let changes = view.apply_update(
        5.0,
        &source(2),
        SourceUpdate::Full(vec![report("dc2/n", 1, EndpointState::Ready)]),
    );
    assert!(matches!(&changes[..], [EndpointChange::Updated(m)] if &*m.name == "n" && m.accepts_requests));
    // Gone from one, it is still listed by the other.
    view.apply_update(6.0, &source(1), SourceUpdate::Full(vec![report("m", 2, EndpointState::Ready)]));
    assert_eq!(names(&view), ["dc2/n", "m"]);
    view.apply_update(7.0, &source(2), SourceUpdate::Full(vec![]));
    assert_eq!(names(&view), ["m"]);
}

#[test]
fn no_news_changes_nothing_and_is_kept_as_trouble() {
    let mut view = EndpointSet::new(true);
    view.apply_update(1000.0, &source(1), SourceUpdate::Full(vec![report("n", 1, EndpointState::Ready)]));
    assert_eq!(view.apply_update(9000.0, &source(1), SourceUpdate::Unavailable("no leader".into())), []);
    let told = view.sources().next().map(|(_, t)| t.clone()).expect("a source");
    assert_eq!(
        (told.updated_ms, told.error, told.endpoint_count),
        (Some(1000.0), Some("no leader".into()), 1)
    );
    assert_eq!(names(&view), ["n"]);
}

/// Guards against a process that restarted and is taken for warm.
#[test]
fn without_a_stated_start_whatever_may_be_another_process_is_cold() {
    let mut view = EndpointSet::new(true);
    let since = |view: &EndpointSet, name: &str| one(view, name).started_ms;
    view.apply_update(100.0, &source(1), SourceUpdate::Full(vec![unstated("n", 1, 5)]));
    assert_eq!(since(&view, "n"), 100.0, "nobody says since when");
    let critical = EndpointReport { state: EndpointState::Unhealthy, ..unstated("n", 1, 5) };
    view.apply_update(200.0, &source(1), SourceUpdate::Full(vec![critical]));
    view.apply_update(300.0, &source(1), SourceUpdate::Full(vec![unstated("n", 1, 5)]));
    assert_eq!(since(&view, "n"), 100.0, "a check that flaps is no restart");
    view.apply_update(400.0, &source(1), SourceUpdate::Full(vec![unstated("n", 2, 5)]));
    assert_eq!(since(&view, "n"), 400.0, "at another address it is another process");
    let changes = view.apply_update(
        500.0,
        &source(1),
        SourceUpdate::Full(vec![unstated("n", 2, 5), unstated("o", 2, 6)]),
    );
    assert!(
        matches!(&changes[..], [EndpointChange::Removed(n), EndpointChange::Updated(o)] if &*n.name == "n" && &*o.name == "o")
    );
    assert_eq!(since(&view, "o"), 500.0, "another name at the same address too");
    view.apply_update(600.0, &source(1), SourceUpdate::Full(vec![unstated("o", 2, 9)]));
    assert_eq!(since(&view, "o"), 600.0, "and one that registered anew");
    // Seen through another source as well it is the same process; gone and back it may be another.
    view.apply_update(700.0, &source(2), SourceUpdate::Full(vec![unstated("p", 2, 3)]));
    view.apply_update(800.0, &source(1), SourceUpdate::Full(vec![]));
    assert_eq!(since(&view, "p"), 600.0, "known by the other name");
    view.apply_update(900.0, &source(2), SourceUpdate::Full(vec![]));
    view.apply_update(1000.0, &source(2), SourceUpdate::Full(vec![unstated("p", 2, 3)]));
    assert_eq!(since(&view, "p"), 1000.0);
    // A stated start counts more than what was heard.
    view.apply_update(
        1100.0,
        &source(1),
        SourceUpdate::Full(vec![EndpointReport { started_ms: Some(50.0), ..unstated("p", 2, 3) }]),
    );
    assert_eq!(since(&view, "p"), 50.0);
}

/// Guards against a pool that is emptied by checks that all fail at once, and against using what fails beside what works.
#[test]
fn failing_checks_are_believed_while_somebody_is_ready() {
    let two = |a, b| {
        SourceUpdate::Full(vec![
            report("a", 1, a),
            report("b", 2, b),
            report("c", 3, EndpointState::Draining),
        ])
    };
    use EndpointState::{Ready, Unhealthy};
    let mut view = EndpointSet::new(true);
    view.apply_update(1.0, &source(1), two(Ready, Ready));
    view.apply_update(2.0, &source(1), two(Unhealthy, Ready));
    assert!(!one(&view, "a").accepts_requests && one(&view, "b").accepts_requests);
    let changes = view.apply_update(3.0, &source(1), two(Unhealthy, Unhealthy));
    assert_eq!(changes.len(), 2, "both take work, though only one is news: {changes:?}");
    assert!(
        one(&view, "a").accepts_requests
            && one(&view, "b").accepts_requests
            && !one(&view, "c").accepts_requests,
        "who drains never does"
    );
    view.apply_update(4.0, &source(1), two(Unhealthy, Ready));
    assert!(!one(&view, "a").accepts_requests && one(&view, "b").accepts_requests);
    let mut strict = EndpointSet::new(false);
    strict.apply_update(1.0, &source(1), two(Unhealthy, Unhealthy));
    assert!(strict.endpoints().all(|m| !m.accepts_requests));
}

#[test]
fn what_is_kept_is_recalled_with_its_starts() {
    let mut view = EndpointSet::new(true);
    view.apply_update(
        100.0,
        &source(1),
        SourceUpdate::Full(vec![unstated("n", 1, 5), report("m", 2, EndpointState::Draining)]),
    );
    let kept: Vec<_> = view.cached_reports().collect();
    let mut next = EndpointSet::new(true);
    next.add_source(&source(1));
    assert_eq!(next.restore(kept.clone(), [(source(1), 100.0)]).len(), 2);
    assert_eq!(next.endpoints().collect::<Vec<_>>(), view.endpoints().collect::<Vec<_>>());
    // Told the same it knows all of it; what is gone since is gone.
    assert_eq!(
        next.apply_update(900.0, &source(1), SourceUpdate::Delta(vec![unstated("n", 1, 5)], vec![])),
        []
    );
    let changes = next.apply_update(901.0, &source(1), SourceUpdate::Full(vec![unstated("n", 1, 5)]));
    assert!(matches!(&changes[..], [EndpointChange::Removed(m)] if &*m.name == "m"));
    // A source that is not there any more is left out.
    let mut other = EndpointSet::new(true);
    other.add_source(&source(2));
    assert_eq!(other.restore(kept, []), []);
}

fn reports() -> impl Strategy<Value = Vec<EndpointReport>> {
    let standing = prop_oneof![
        Just(EndpointState::Ready),
        Just(EndpointState::Unhealthy),
        Just(EndpointState::Draining)
    ];
    let one = (0u8..5, 1u16..5, standing, 0u64..3, prop_oneof![Just(0.0), Just(7.0)]).prop_map(
        |(name, port, standing, registered, started)| EndpointReport {
            registration_index: registered,
            started_ms: Some(started),
            ..report(&format!("n{name}"), port, standing)
        },
    );
    proptest::collection::vec(one, 0..6).prop_map(|mut all| {
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all.dedup_by(|a, b| a.name == b.name);
        all
    })
}

proptest! {
    // The same cases every time, so that the verdict is the same.
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever came before, in whatever order and with whatever lost: the view is that of the last words; and who
    /// follows the changes has the same.
    #[test]
    fn only_the_last_word_of_each_source_counts(
        history in proptest::collection::vec((1u16..4, prop_oneof![4 => reports().prop_map(Some), 1 => Just(None)]), 0..12),
        last in proptest::collection::vec(reports(), 3),
        order in Just(vec![1u16, 2, 3]).prop_shuffle(),
    ) {
        let mut view = EndpointSet::new(true);
        let mut follows = std::collections::BTreeMap::new();
        let mut follow = |view: &EndpointSet, changes: Vec<EndpointChange>| {
            for change in changes {
                match change {
                    EndpointChange::Updated(m) => drop(follows.insert(m.name.clone(), m)),
                    EndpointChange::Removed(m) => assert!(follows.remove(&m.name).is_some(), "gone twice: {m:?}"),
                }
            }
            let has: Vec<&Endpoint> = view.endpoints().collect();
            assert_eq!(has, follows.values().collect::<Vec<_>>());
            let mut addrs: Vec<_> = has.iter().map(|m| m.addr).collect();
            addrs.sort();
            addrs.dedup();
            assert_eq!(addrs.len(), has.len(), "two members at one address");
        };
        for (from, news) in history {
            let news = news.map_or(SourceUpdate::Unavailable("lost".into()), SourceUpdate::Full);
            let changes = view.apply_update(1.0, &source(from), news);
            follow(&view, changes);
        }
        for from in order {
            let changes = view.apply_update(2.0, &source(from), SourceUpdate::Full(last[usize::from(from) - 1].clone()));
            follow(&view, changes);
        }
        let mut fresh = EndpointSet::new(true);
        for from in 1u16..4 {
            fresh.apply_update(3.0, &source(from), SourceUpdate::Full(last[usize::from(from) - 1].clone()));
        }
        prop_assert_eq!(view.endpoints().collect::<Vec<_>>(), fresh.endpoints().collect::<Vec<_>>());
    }
}
