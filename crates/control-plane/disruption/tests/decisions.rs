//! Decisions on lease requests, and release, recall and completion of leases, with the real state machine of the store.
use coordination::limits::Limits;
use coordination::state_machine::{Command, Op, Outcome, StateMachine, Transaction, VersionedValue};
use disruption::keys::{
    balancer_key, drained_key, endpoint_list_key, lease_key, observations_key, request_key, status_key,
    BUDGETS, KEY_PREFIX,
};
use disruption::{
    BalancerEntry, ConditionalWrite, DisruptionBudget, DisruptionBudgets, DisruptionKind, DisruptionLease,
    DrainedEndpoints, EndpointCondition, EndpointLabels, EndpointList, EndpointObservations, FleetSnapshot,
    GroupBy, InstanceState, InstanceStatus, LeaseDecision, LeaseRequest, Projection, ResourceId,
    ResourceKind, UnavailableReason,
};
use std::collections::BTreeMap;

/// The state machine of the store, with a session for each writer.
struct Fixture {
    store: StateMachine,
    /// Session id and number of transactions, by writer.
    sessions: BTreeMap<String, (u64, u64)>,
}

fn budget(
    name: &str,
    kind: ResourceKind,
    group_by: GroupBy,
    max_unavailable: u32,
    min_available: u32,
) -> DisruptionBudget {
    DisruptionBudget {
        name: name.into(),
        kind,
        group_by,
        group: None,
        max_unavailable: Some(max_unavailable),
        max_unavailable_per_mille: None,
        min_available,
    }
}

impl Fixture {
    fn new(budgets: Vec<DisruptionBudget>) -> Fixture {
        let mut fixture = Fixture { store: StateMachine::new(Limits::default()), sessions: BTreeMap::new() };
        fixture.put("operator", BUDGETS, &DisruptionBudgets { budgets }, false);
        fixture
    }

    fn session(&mut self, writer: &str) -> u64 {
        if let Some((id, _)) = self.sessions.get(writer) {
            return *id;
        }
        let open = Command::OpenSession {
            name: writer.into(),
            nonce: self.sessions.len() as u64,
            ttl_ms: 5000,
            take_over: true,
        };
        let Outcome::SessionOpened(id) = self.store.apply(&open) else { panic!("opened") };
        self.sessions.insert(writer.into(), (id, 0));
        id
    }

    fn write(&mut self, writer: &str, write: ConditionalWrite) -> bool {
        let session = self.session(writer);
        let number = self.sessions.get_mut(writer).map(|(_, count)| {
            *count += 1;
            *count
        });
        let write =
            Transaction { session, sequence: number.unwrap_or(1), compares: write.compares, ops: write.ops };
        matches!(self.store.apply(&Command::Transaction(write)), Outcome::Committed(_))
    }

    fn put<T: serde::Serialize>(&mut self, writer: &str, key: &str, value: &T, ephemeral: bool) {
        let value = serde_json::to_string(value).expect("JSON");
        let operations = vec![Op::Put { key: key.into(), value, ephemeral }];
        assert!(self.write(writer, ConditionalWrite { compares: vec![], ops: operations }));
    }

    fn end_session(&mut self, writer: &str) {
        if let Some((session, _)) = self.sessions.remove(writer) {
            self.store.apply(&Command::ExpireSession { session });
        }
    }

    fn snapshot(&self) -> FleetSnapshot {
        let items: Vec<(String, VersionedValue)> =
            self.store.with_prefix(KEY_PREFIX).map(|(k, i)| (k.to_string(), i.clone())).collect();
        FleetSnapshot::from_items(self.store.revision(), &items)
    }

    /// Registers a balancer, with a status if `state` is given.
    fn balancer(&mut self, name: &str, zone: &str, state: Option<InstanceState>) {
        let entry = BalancerEntry { machine: "m".into(), zone: zone.into(), ..BalancerEntry::default() };
        self.put("supervisor", &balancer_key(name), &entry, false);
        if let Some(state) = state {
            self.report_state(name, state);
        }
    }

    fn report_state(&mut self, name: &str, state: InstanceState) {
        let session = self.session(name);
        let status = InstanceStatus { state, session, pid: 1, build: String::new() };
        self.put(name, &status_key(name), &status, true);
    }

    fn request(
        &mut self,
        writer: &str,
        resource: ResourceId,
        kind: DisruptionKind,
        priority: u8,
        override_reason: Option<&str>,
    ) -> String {
        let session = self.session(writer);
        let id = format!("{writer}/{}", resource.name);
        let override_reason = override_reason.map(Into::into);
        let request = LeaseRequest {
            resource,
            owner: writer.into(),
            session,
            kind,
            priority,
            reason: "w".into(),
            override_reason,
            duration_ms: None,
        };
        self.put(writer, &request_key(&id), &request, true);
        id
    }

    /// Grants leases and returns the ids of the granted requests.
    fn grant(&mut self) -> Vec<String> {
        let Some(grants) = self.snapshot().grants() else { return Vec::new() };
        assert!(self.write("granter", grants.write), "nothing has changed meanwhile");
        grants.request_ids
    }

    fn decision(&self, id: &str) -> LeaseDecision {
        let all = self.snapshot().decisions();
        all.into_iter().find(|d| d.request_id == id).expect("the request is pending").decision
    }

    /// Writes a balancer's observations of its upstreams; upstreams without a condition are in service.
    fn observe(&mut self, writer: &str, upstreams: &[&str], conditions: &[(&str, EndpointCondition)]) {
        let labels = |_| EndpointLabels { pools: vec!["dues".into()], zone: "a".into() };
        let list = EndpointList { upstreams: upstreams.iter().map(|u| (u.to_string(), labels(u))).collect() };
        let hash = upstreams.join("-");
        self.put(writer, &endpoint_list_key(&hash), &list, false);
        let observations = EndpointObservations {
            list_hash: hash,
            conditions: conditions.iter().map(|(name, condition)| (name.to_string(), *condition)).collect(),
        };
        self.put(writer, &observations_key(writer), &observations, true);
    }
}

fn fleet_of_three(max_unavailable: u32, min_available: u32) -> Fixture {
    let mut fixture = Fixture::new(vec![budget(
        "whole",
        ResourceKind::Balancer,
        GroupBy::Fleet,
        max_unavailable,
        min_available,
    )]);
    for name in ["n1", "n2", "n3"] {
        fixture.balancer(name, "a", Some(InstanceState::Ready));
    }
    fixture
}

#[test]
fn unavailable_resources_count_whatever_the_cause() {
    for cause in ["no session", "cold", "starting", "leaving", "leave"] {
        let mut fixture = fleet_of_three(1, 0);
        match cause {
            "no session" => fixture.end_session("n3"),
            "cold" => fixture.report_state("n3", InstanceState::WarmingUp),
            "starting" => fixture.report_state("n3", InstanceState::Starting),
            "leaving" => fixture.report_state("n3", InstanceState::ShuttingDown),
            _ => {
                fixture.request("other", ResourceId::balancer("n3"), DisruptionKind::Restart, 0, None);
                assert_eq!(fixture.grant(), ["other/n3"]);
            }
        }
        let id = fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
        let decision = fixture.decision(&id);
        let LeaseDecision::WaitsForBudget { budget, usage, .. } = &decision else {
            panic!("{cause}: {decision:?}")
        };
        assert_eq!((budget.as_str(), usage.unavailable, usage.limit), ("whole", 1, 1), "{cause}");
        assert_eq!(fixture.grant(), [] as [String; 0], "{cause}");
    }
}

#[test]
fn a_lease_ends_when_a_later_process_is_ready() {
    let mut fixture = fleet_of_three(1, 0);
    fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.grant(), ["m1/n1"]);
    let resource = ResourceId::balancer("n1");
    // The former process is still ready.
    assert_eq!(fixture.snapshot().release_lease(&resource, false), None);
    fixture.report_state("n1", InstanceState::ShuttingDown);
    fixture.end_session("n1");
    // After the end of the owner's session, other agents cannot delete the lease either.
    fixture.end_session("m1");
    assert_eq!(fixture.snapshot().orphaned_leases(), []);
    assert_eq!(fixture.snapshot().release_lease(&resource, false), None);
    fixture.report_state("n1", InstanceState::WarmingUp);
    assert_eq!(fixture.snapshot().release_lease(&resource, false), None, "still warming up");
    fixture.report_state("n1", InstanceState::Ready);
    let write = fixture.snapshot().release_lease(&resource, false).expect("it is in service");
    // The write fails if the balancer becomes unavailable meanwhile.
    fixture.report_state("n1", InstanceState::ShuttingDown);
    assert!(!fixture.write("m2", write));
    fixture.report_state("n1", InstanceState::Ready);
    let write = fixture.snapshot().release_lease(&resource, false).expect("it is in service");
    assert!(fixture.write("m2", write));
    assert!(fixture.snapshot().leases.is_empty());
}

/// Guards against the disruption of a partitioned balancer that still serves: it counts as unavailable already, but its
/// disruption takes one more balancer out of service.
#[test]
fn a_missing_or_warming_balancer_may_be_serving() {
    let mut fixture = fleet_of_three(1, 0);
    fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.grant(), ["m1/n1"]);
    fixture.end_session("n2");
    let id = fixture.request("m1", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    assert!(
        matches!(fixture.decision(&id), LeaseDecision::WaitsForBudget { .. }),
        "n1 is unavailable, and n2 may be serving"
    );
    // A balancer that is warming up after its return serves as well, if not fully.
    let mut fixture = fleet_of_three(1, 0);
    fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.grant(), ["m1/n1"]);
    fixture.report_state("n2", InstanceState::WarmingUp);
    let id = fixture.request("m1", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    assert!(
        matches!(fixture.decision(&id), LeaseDecision::WaitsForBudget { .. }),
        "n1 is unavailable, and n2 serves"
    );
    // n2 itself is the only unavailable balancer, which the budget permits.
    let mut fixture = fleet_of_three(1, 0);
    fixture.end_session("n2");
    let id = fixture.request("m1", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.decision(&id), LeaseDecision::Granted);
}

#[test]
fn an_orphaned_lease_ends_only_when_its_owner_can_no_longer_act() {
    let mut fixture = fleet_of_three(1, 0);
    let session = fixture.session("m1");
    fixture.put("m1", "outage/holder/m1", &session, true);
    fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.grant(), ["m1/n1"]);
    assert_eq!(fixture.snapshot().orphaned_leases(), [], "its owner is active");
    fixture.end_session("m1");
    let orphaned = fixture.snapshot().orphaned_leases().pop().expect("an orphaned lease");
    // A later process of the owner adopts it first.
    let next = fixture.session("m1");
    let adopts = fixture
        .snapshot()
        .adopt_lease(&ResourceId::balancer("n1"), "m1", next)
        .expect("a lease of its owner");
    assert!(fixture.write("m1", adopts));
    assert!(!fixture.write("m2", orphaned.write), "it has an owner again");
    fixture.put("m1", "outage/holder/m1", &next, true);
    assert_eq!(fixture.snapshot().orphaned_leases(), []);
    let write = fixture.snapshot().release_lease(&ResourceId::balancer("n1"), true).expect("unused");
    assert!(fixture.write("m1", write));
}

#[test]
fn of_two_concurrent_grants_one_fails() {
    let mut fixture = fleet_of_three(1, 0);
    fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    fixture.request("m2", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    let grants = fixture.snapshot().grants().expect("one");
    assert_eq!(grants.request_ids, ["m1/n1"]);
    let write = grants.write;
    assert!(fixture.write("m1", write.clone()));
    assert!(!fixture.write("m2", write));
    // A grant also fails if the budgets have changed.
    let mut fixture = fleet_of_three(2, 0);
    fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    let write = fixture.snapshot().grants().expect("one").write;
    let smaller =
        DisruptionBudgets { budgets: vec![budget("whole", ResourceKind::Balancer, GroupBy::Fleet, 1, 0)] };
    fixture.put("operator", BUDGETS, &smaller, false);
    assert!(!fixture.write("m1", write));
    // A grant also fails if the requester's session has ended.
    let write = fixture.snapshot().grants().expect("one").write;
    fixture.end_session("m1");
    assert!(!fixture.write("m2", write));
}

#[test]
fn requests_are_decided_in_order_and_not_starved() {
    let by_zone = budget("zone", ResourceKind::Balancer, GroupBy::Zone, 1, 0);
    let mut fixture =
        Fixture::new(vec![by_zone, budget("whole", ResourceKind::Balancer, GroupBy::Fleet, 2, 0)]);
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")] {
        fixture.balancer(name, zone, Some(InstanceState::Ready));
    }
    fixture.request("m1", ResourceId::balancer("a1"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.grant(), ["m1/a1"]);
    let first = fixture.request("m2", ResourceId::balancer("a2"), DisruptionKind::Restart, 0, None);
    let second = fixture.request("m3", ResourceId::balancer("b1"), DisruptionKind::Restart, 0, None);
    // The first request waits for the budget of its zone. It counts against the fleet's budget all the same, so the second
    // request has to wait.
    assert!(
        matches!(fixture.decision(&first), LeaseDecision::WaitsForBudget { ref budget, .. } if budget == "zone")
    );
    assert!(
        matches!(fixture.decision(&second), LeaseDecision::WaitsForBudget { ref budget, .. } if budget == "whole")
    );
    // A greater priority is decided before both.
    let third = fixture.request("m4", ResourceId::balancer("c1"), DisruptionKind::Restart, 1, None);
    assert_eq!(fixture.decision(&third), LeaseDecision::Granted);
}

#[test]
fn repairs_ignore_budgets_and_overrides_keep_min_available() {
    let mut fixture = fleet_of_three(1, 2);
    let down = BalancerEntry { machine: "m".into(), down: true, ..BalancerEntry::default() };
    fixture.end_session("n3");
    fixture.put("supervisor", &balancer_key("n3"), &down, false);
    let repair = fixture.request("m1", ResourceId::balancer("n3"), DisruptionKind::Restart, 0, None);
    assert_eq!(fixture.decision(&repair), LeaseDecision::Granted);
    fixture.grant();
    let overriding =
        fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, Some("fire"));
    // Two balancers must stay available, and only two are.
    assert!(matches!(fixture.decision(&overriding), LeaseDecision::WaitsForBudget { .. }));
    let mut fixture = fleet_of_three(1, 1);
    fixture.end_session("n3");
    let overriding =
        fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, Some("fire"));
    assert_eq!(fixture.decision(&overriding), LeaseDecision::Granted);
    fixture.grant();
    let lease = &fixture.snapshot().leases[&ResourceId::balancer("n1")].value;
    assert_eq!(lease.override_reason.as_deref(), Some("fire"), "it is stored");
    // The only balancer must stay available, so the request is rejected at once instead of waiting.
    let mut fixture = Fixture::new(vec![budget("whole", ResourceKind::Balancer, GroupBy::Fleet, 1, 1)]);
    fixture.balancer("n1", "a", Some(InstanceState::Ready));
    let id = fixture.request("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert!(
        matches!(fixture.decision(&id), LeaseDecision::Rejected(ref reason) if reason.contains("lets nothing out"))
    );
    let id = fixture.request("m1", ResourceId::balancer("nobody"), DisruptionKind::Restart, 0, None);
    assert!(
        matches!(fixture.decision(&id), LeaseDecision::Rejected(ref reason) if reason.contains("is not known"))
    );
}

#[test]
fn discovery_reports_always_count_and_observations_need_a_majority() {
    let mut fixture = Fixture::new(vec![budget("pool", ResourceKind::Upstream, GroupBy::Pool, 1, 0)]);
    let all = ["u1", "u2", "u3"];
    fixture.observe("n1", &all, &[("u1", EndpointCondition::Ejected)]);
    fixture.observe("n2", &all, &[]);
    fixture.observe("n3", &all, &[]);
    assert!(fixture.snapshot().unavailable().is_empty(), "one of three");
    fixture.observe("n2", &all, &[("u1", EndpointCondition::Ejected)]);
    assert_eq!(
        fixture.snapshot().unavailable()[&ResourceId::upstream("u1")],
        [UnavailableReason::ObservedByBalancers {
            condition: EndpointCondition::Ejected,
            observers: 2,
            balancers: 3
        }]
    );
    fixture.observe("n2", &all, &[("u2", EndpointCondition::Draining)]);
    assert_eq!(
        fixture.snapshot().unavailable()[&ResourceId::upstream("u2")],
        [UnavailableReason::ReportedByDiscovery(EndpointCondition::Draining)]
    );
    let id = fixture.request("op", ResourceId::upstream("u3"), DisruptionKind::Drain, 0, None);
    assert!(
        matches!(fixture.decision(&id), LeaseDecision::WaitsForBudget { ref budget, .. } if budget == "pool")
    );
    let id = fixture.request("op", ResourceId::upstream("u1"), DisruptionKind::Restart, 0, None);
    assert!(matches!(fixture.decision(&id), LeaseDecision::Rejected(_)), "upstreams cannot be restarted");
}

#[test]
fn a_drain_is_complete_when_every_balancer_has_confirmed() {
    let mut fixture = Fixture::new(vec![]);
    for name in ["n1", "n2"] {
        fixture.balancer(name, "a", Some(InstanceState::Ready));
        fixture.observe(name, &["u1"], &[]);
    }
    fixture.request("op", ResourceId::upstream("u1"), DisruptionKind::Drain, 0, None);
    assert_eq!(fixture.grant(), ["op/u1"]);
    let resource = ResourceId::upstream("u1");
    let token = fixture.snapshot().leases[&resource].value.fencing_token;
    assert_eq!(fixture.snapshot().pending_confirmations(&resource), ["n1", "n2"]);
    // A confirmation of another drain of the same upstream does not count.
    fixture.put(
        "n1",
        &drained_key("n1"),
        &DrainedEndpoints { fencing_tokens: BTreeMap::from([("u1".into(), token + 1)]) },
        true,
    );
    assert_eq!(fixture.snapshot().pending_confirmations(&resource), ["n1", "n2"]);
    fixture.put(
        "n1",
        &drained_key("n1"),
        &DrainedEndpoints { fencing_tokens: BTreeMap::from([("u1".into(), token)]) },
        true,
    );
    fixture.end_session("n2");
    assert_eq!(fixture.snapshot().pending_confirmations(&resource), ["n2 (not heard of)"]);
    let down = BalancerEntry { machine: "m".into(), down: true, ..BalancerEntry::default() };
    fixture.put("supervisor", &balancer_key("n2"), &down, false);
    assert_eq!(
        fixture.snapshot().pending_confirmations(&resource),
        [] as [&str; 0],
        "its supervisor reports that no process of it runs"
    );
    // A process that handed its sockets over and still finishes requests.
    fixture.put("predecessor", "outage/leaving/n1/77", &DrainedEndpoints::default(), true);
    assert_eq!(fixture.snapshot().pending_confirmations(&resource), ["n1/77 (ends what it has)"]);
}

#[test]
fn below_min_available_the_newest_drains_are_recalled() {
    let mut fixture = Fixture::new(vec![budget("pool", ResourceKind::Upstream, GroupBy::Pool, 3, 2)]);
    let all = ["u1", "u2", "u3", "u4"];
    fixture.observe("n1", &all, &[]);
    for resource in ["u1", "u2"] {
        fixture.request("op", ResourceId::upstream(resource), DisruptionKind::Drain, 0, None);
        assert_eq!(fixture.grant().len(), 1);
    }
    assert_eq!(fixture.snapshot().recall_drains(), None);
    // The first drain is reported as complete after the second was granted; it still counts as the older one.
    let first = ResourceId::upstream("u1");
    let completed = DisruptionLease { drained: true, ..fixture.snapshot().leases[&first].value.clone() };
    fixture.put("op", &lease_key(&first), &completed, false);
    // A third upstream fails: one more is unavailable than min_available permits.
    fixture.observe("n1", &all, &[("u3", EndpointCondition::Unhealthy)]);
    let recall = fixture.snapshot().recall_drains().expect("one");
    assert_eq!(
        recall.drains.iter().map(|drain| drain.resource.name.as_str()).collect::<Vec<_>>(),
        ["u2"],
        "the newest"
    );
    // A complete drain is not ended by the recall; its owner has to end it.
    let id = ResourceId::upstream("u2");
    let completed = DisruptionLease { drained: true, ..fixture.snapshot().leases[&id].value.clone() };
    fixture.put("op", &lease_key(&id), &completed, false);
    let write = fixture.snapshot().recall_drains().expect("one").write;
    assert!(fixture.write("m1", write));
    assert!(fixture.snapshot().leases[&id].value.recall_reason.is_some());
    assert_eq!(fixture.snapshot().recall_drains(), None, "recalled once");
}

#[test]
fn an_undecodable_value_is_listed_and_counts_as_absent() {
    let mut fixture = fleet_of_three(1, 0);
    fixture.put("n1", &status_key("n1"), &"soon", true);
    let snapshot = fixture.snapshot();
    assert!(snapshot.unreadable[&status_key("n1")].contains("invalid type"), "{:?}", snapshot.unreadable);
    assert_eq!(snapshot.unavailable()[&ResourceId::balancer("n1")], [UnavailableReason::Missing]);
}
