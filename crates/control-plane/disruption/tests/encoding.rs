//! Compares the keys and the encoding of stored values with those that earlier builds wrote. Each line of
//! `fixtures/encoding.txt` holds the key of a value and its JSON.
use disruption::keys::{
    balancer_key, drained_key, endpoint_list_key, lease_key, observations_key, owner_key,
    predecessor_drained_key, request_key, status_key, BUDGETS, DRAIN_LEASES, KEY_PREFIX, LEDGER,
};
use disruption::{
    BalancerEntry, DisruptionBudget, DisruptionBudgets, DisruptionKind, DisruptionLease, DrainedEndpoints,
    EndpointCondition, EndpointLabels, EndpointList, EndpointObservations, FleetSnapshot, GroupBy,
    InstanceState, InstanceStatus, LeaseRequest, Projection, ResourceId, ResourceKind,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/encoding.txt");

fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, value: &T) {
    let encoded = serde_json::to_string(value).expect("a value without maps of odd keys");
    let line = format!("{key} {encoded}");
    assert!(FIXTURE.lines().any(|known| known == line), "{line}");
    assert_eq!(&serde_json::from_str::<T>(&encoded).expect("its own encoding is valid"), value, "{key}");
}

fn budgets() -> DisruptionBudgets {
    let budget = |kind, grouping, label: Option<&str>, max_count, max_per_mille| DisruptionBudget {
        name: "b".into(),
        kind,
        group_by: grouping,
        group: label.map(Into::into),
        max_unavailable: max_count,
        max_unavailable_per_mille: max_per_mille,
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
    assert_eq!((KEY_PREFIX, LEDGER, DRAIN_LEASES), ("outage/", "outage/ledger", "outage/leave/upstream/"));
    assert_encoding(BUDGETS, &budgets());
    let entry = BalancerEntry { machine: "m1".into(), zone: "a".into(), tier: "front".into(), down: true };
    assert_encoding(&balancer_key("n1"), &entry);
    assert_encoding(&balancer_key("n2"), &BalancerEntry { down: false, ..BalancerEntry::default() });
    for state in
        [InstanceState::Starting, InstanceState::WarmingUp, InstanceState::Ready, InstanceState::ShuttingDown]
    {
        let status = InstanceStatus { state, session: 4, pid: 99, build: "ab".into() };
        assert_encoding(&status_key("n1"), &status);
    }
    let conditions = [
        EndpointCondition::InService,
        EndpointCondition::WarmingUp,
        EndpointCondition::Ejected,
        EndpointCondition::Unhealthy,
        EndpointCondition::Draining,
    ];
    let conditions: BTreeMap<String, EndpointCondition> =
        conditions.into_iter().enumerate().map(|(k, condition)| (format!("u{k}"), condition)).collect();
    assert_encoding(&observations_key("n1"), &EndpointObservations { list_hash: "ff".into(), conditions });
    assert_encoding(&observations_key("n2"), &EndpointObservations::default());
    let drained = DrainedEndpoints { fencing_tokens: BTreeMap::from([("u1".to_string(), 7)]) };
    assert_encoding(&drained_key("n1"), &drained);
    assert_encoding(&predecessor_drained_key("n1", 99), &drained);
    assert_encoding(&owner_key("m1"), &4_u64);
    let labels = EndpointLabels { pools: vec!["dues".into()], zone: "a".into() };
    let upstreams =
        BTreeMap::from([("u1".to_string(), labels), ("u2".to_string(), EndpointLabels::default())]);
    assert_encoding(&endpoint_list_key("ff"), &EndpointList { upstreams });
}

#[test]
fn requests_and_leases_keep_their_keys_and_encoding() {
    for kind in
        [DisruptionKind::Restart, DisruptionKind::Handoff, DisruptionKind::Reload, DisruptionKind::Drain]
    {
        let request = LeaseRequest {
            resource: ResourceId::balancer("n1"),
            owner: "m1".into(),
            session: 4,
            kind,
            priority: 2,
            reason: "roll".into(),
            override_reason: Some("fire".into()),
            duration_ms: Some(9),
        };
        assert_encoding(&request_key("4-1"), &request);
    }
    let lease = DisruptionLease {
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
    assert_encoding(&lease_key(&ResourceId::upstream("u1")), &lease);
    let minimal = DisruptionLease {
        reason: String::new(),
        duration_ms: None,
        drained: false,
        recall_reason: None,
        previous_session: 0,
        ..lease
    };
    assert_encoding(&lease_key(&ResourceId::balancer("n1")), &minimal);
}

/// All values that earlier builds stored can be decoded.
#[test]
fn a_stored_fleet_is_decoded() {
    let mut snapshot = FleetSnapshot::default();
    for (line, version) in FIXTURE.lines().zip(1..) {
        let (key, value) = line.split_once(' ').expect("key and value");
        snapshot.apply(key, Some(value), version);
    }
    snapshot.apply(LEDGER, Some(""), 100);
    assert_eq!(snapshot.unreadable, BTreeMap::new());
    assert_eq!((snapshot.balancers.len(), snapshot.statuses.len(), snapshot.observations.len()), (2, 1, 2));
    assert_eq!(
        (snapshot.drained.len(), snapshot.predecessor_drained.len(), snapshot.requests.len()),
        (1, 1, 1)
    );
    assert_eq!((snapshot.leases.len(), snapshot.owners.len(), snapshot.endpoint_lists.len()), (2, 1, 1));
    assert_eq!((snapshot.ledger_version, snapshot.revision), (100, 100));
    assert_eq!(snapshot.budgets.map(|b| b.value), Some(budgets()));
}
