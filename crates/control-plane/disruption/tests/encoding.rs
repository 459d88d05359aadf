//! The keys and bytes of what is stored, against those that earlier builds wrote: `fixtures/encoding.txt` holds one value a
//! line, its key and its JSON.
use disruption::snapshot::{
    balancer_key, drained_key, endpoint_list_key, lease_key, observations_key, owner_key,
    predecessor_drained_key, request_key, status_key, DrainedEndpoints, BUDGETS, DRAINS, KEY_PREFIX, LEDGER,
};
use disruption::{
    BalancerEntry, DisruptionBudget, DisruptionBudgets, DisruptionKind, DisruptionLease, EndpointCondition,
    EndpointLabels, EndpointList, EndpointObservations, FleetSnapshot, GroupBy, InstanceState,
    InstanceStatus, LeaseRequest, ResourceId, ResourceKind,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/encoding.txt");

fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, value: &T) {
    let written = serde_json::to_string(value).expect("a value without maps of odd keys");
    let line = format!("{key} {written}");
    assert!(FIXTURE.lines().any(|known| known == line), "{line}");
    assert_eq!(&serde_json::from_str::<T>(&written).expect("reads what it wrote"), value, "{key}");
}

fn budgets() -> DisruptionBudgets {
    let budget = |kind, per, only: Option<&str>, most, per_mille| DisruptionBudget {
        name: "b".into(),
        kind,
        group_by: per,
        group: only.map(Into::into),
        max_unavailable: most,
        max_unavailable_per_mille: per_mille,
        min_available: 2,
    };
    DisruptionBudgets {
        budgets: vec![
            budget(ResourceKind::Balancer, GroupBy::Fleet, None, Some(3), None),
            budget(ResourceKind::Balancer, GroupBy::Machine, None, None, Some(100)),
            budget(ResourceKind::Balancer, GroupBy::Zone, Some("a"), Some(1), Some(5)),
            budget(ResourceKind::Balancer, GroupBy::Tier, None, Some(1), None),
            budget(ResourceKind::Upstream, GroupBy::Pool, None, Some(1), None),
        ],
    }
}

#[test]
fn stored_values_keep_their_keys_and_encoding() {
    assert_eq!((KEY_PREFIX, LEDGER, DRAINS), ("outage/", "outage/ledger", "outage/leave/upstream/"));
    assert_encoding(BUDGETS, &budgets());
    let unit = BalancerEntry { machine: "m1".into(), zone: "a".into(), tier: "front".into(), down: true };
    assert_encoding(&balancer_key("n1"), &unit);
    assert_encoding(&balancer_key("n2"), &BalancerEntry { down: false, ..BalancerEntry::default() });
    for state in
        [InstanceState::Starting, InstanceState::WarmingUp, InstanceState::Ready, InstanceState::ShuttingDown]
    {
        let said = InstanceStatus { state, session: 4, pid: 99, build: "ab".into() };
        assert_encoding(&status_key("n1"), &said);
    }
    let out = [
        EndpointCondition::InService,
        EndpointCondition::WarmingUp,
        EndpointCondition::Ejected,
        EndpointCondition::Unhealthy,
        EndpointCondition::Draining,
    ];
    let out: BTreeMap<String, EndpointCondition> =
        out.into_iter().enumerate().map(|(k, stand)| (format!("u{k}"), stand)).collect();
    assert_encoding(
        &observations_key("n1"),
        &EndpointObservations { list_hash: "ff".into(), conditions: out },
    );
    assert_encoding(&observations_key("n2"), &EndpointObservations::default());
    let quiet = DrainedEndpoints { fencing_tokens: BTreeMap::from([("u1".to_string(), 7)]) };
    assert_encoding(&drained_key("n1"), &quiet);
    assert_encoding(&predecessor_drained_key("n1", 99), &quiet);
    assert_encoding(&owner_key("m1"), &4_u64);
    let place = EndpointLabels { pools: vec!["dues".into()], zone: "a".into() };
    let upstreams =
        BTreeMap::from([("u1".to_string(), place), ("u2".to_string(), EndpointLabels::default())]);
    assert_encoding(&endpoint_list_key("ff"), &EndpointList { upstreams });
}

#[test]
fn requests_and_leases_keep_their_keys_and_encoding() {
    for act in
        [DisruptionKind::Restart, DisruptionKind::Handoff, DisruptionKind::Reload, DisruptionKind::Drain]
    {
        let ask = LeaseRequest {
            resource: ResourceId::balancer("n1"),
            owner: "m1".into(),
            session: 4,
            kind: act,
            priority: 2,
            reason: "roll".into(),
            override_reason: Some("fire".into()),
            duration_ms: Some(9),
        };
        assert_encoding(&request_key("4-1"), &ask);
    }
    let leave = DisruptionLease {
        owner: "m1".into(),
        session: 4,
        fencing_token: 12,
        kind: DisruptionKind::Drain,
        previous_session: 3,
        reason: "roll".into(),
        override_reason: None,
        duration_ms: Some(9),
        drained: true,
        recall_reason: Some("floor".into()),
    };
    assert_encoding(&lease_key(&ResourceId::upstream("u1")), &leave);
    let short = DisruptionLease {
        reason: String::new(),
        duration_ms: None,
        drained: false,
        recall_reason: None,
        previous_session: 0,
        ..leave
    };
    assert_encoding(&lease_key(&ResourceId::balancer("n1")), &short);
}

/// All stored values are taken in from the keys that earlier builds wrote, none left unread.
#[test]
fn a_stored_fleet_is_read() {
    let mut board = FleetSnapshot::default();
    for (line, version) in FIXTURE.lines().zip(1..) {
        let (key, value) = line.split_once(' ').expect("key and value");
        board.apply(key, Some(value), version);
    }
    board.apply(LEDGER, Some(""), 100);
    assert_eq!(board.unreadable, BTreeMap::new());
    assert_eq!((board.balancers.len(), board.statuses.len(), board.observations.len()), (2, 1, 2));
    assert_eq!((board.drained.len(), board.predecessor_drained.len(), board.requests.len()), (1, 1, 1));
    assert_eq!((board.leases.len(), board.owners.len(), board.endpoint_lists.len()), (2, 1, 1));
    assert_eq!((board.ledger_version, board.revision), (100, 100));
    assert_eq!(board.budgets.map(|b| b.value), Some(budgets()));
}
