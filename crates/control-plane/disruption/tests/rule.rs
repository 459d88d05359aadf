//! The rule by which leaves are given, case by case, over a record as it stands.
use coordination::limits::Limits;
use coordination::state_machine::{Command, Op, Outcome, StateMachine, Transaction, VersionedValue};
use disruption::snapshot::{
    balancer_key, drained_key, endpoint_list_key, lease_key, observations_key, request_key, status_key,
    DrainedEndpoints, BUDGETS, KEY_PREFIX,
};
use disruption::{
    BalancerEntry, ConditionalWrite, DisruptionBudget, DisruptionBudgets, DisruptionKind, DisruptionLease,
    EndpointCondition, EndpointLabels, EndpointList, EndpointObservations, FleetSnapshot, GroupBy,
    InstanceState, InstanceStatus, LeaseRequest, ResourceId, ResourceKind,
};
use disruption::{LeaseDecision, UnavailableReason};
use std::collections::BTreeMap;

/// The real record, with a session for each who writes.
struct Site {
    record: StateMachine,
    sessions: BTreeMap<String, (u64, u64)>,
}

fn budget(name: &str, kind: ResourceKind, per: GroupBy, most: u32, floor: u32) -> DisruptionBudget {
    DisruptionBudget {
        name: name.into(),
        kind,
        group_by: per,
        group: None,
        max_unavailable: Some(most),
        max_unavailable_per_mille: None,
        min_available: floor,
    }
}

impl Site {
    fn new(budgets: Vec<DisruptionBudget>) -> Site {
        let mut site = Site { record: StateMachine::new(Limits::default()), sessions: BTreeMap::new() };
        site.put("operator", BUDGETS, &DisruptionBudgets { budgets: budgets }, false);
        site
    }

    fn session(&mut self, who: &str) -> u64 {
        if let Some((id, _)) = self.sessions.get(who) {
            return *id;
        }
        let open = Command::OpenSession {
            name: who.into(),
            nonce: self.sessions.len() as u64,
            ttl_ms: 5000,
            take_over: true,
        };
        let Outcome::SessionOpened(id) = self.record.apply(&open) else { panic!("opened") };
        self.sessions.insert(who.into(), (id, 0));
        id
    }

    fn write(&mut self, who: &str, plan: ConditionalWrite) -> bool {
        let session = self.session(who);
        let number = self.sessions.get_mut(who).map(|(_, n)| {
            *n += 1;
            *n
        });
        let write =
            Transaction { session, sequence: number.unwrap_or(1), compares: plan.compares, ops: plan.ops };
        matches!(self.record.apply(&Command::Transaction(write)), Outcome::Committed(_))
    }

    fn put<T: serde::Serialize>(&mut self, who: &str, key: &str, value: &T, bound: bool) {
        let value = serde_json::to_string(value).expect("JSON");
        let then = vec![Op::Put { key: key.into(), value, ephemeral: bound }];
        assert!(self.write(who, ConditionalWrite { compares: vec![], ops: then }));
    }

    fn ends(&mut self, who: &str) {
        if let Some((session, _)) = self.sessions.remove(who) {
            self.record.apply(&Command::ExpireSession { session });
        }
    }

    fn board(&self) -> FleetSnapshot {
        let items: Vec<(String, VersionedValue)> =
            self.record.with_prefix(KEY_PREFIX).map(|(k, i)| (k.to_string(), i.clone())).collect();
        FleetSnapshot::read(self.record.revision(), &items)
    }

    /// A balancer that the fleet has, and that says so of itself.
    fn balancer(&mut self, name: &str, zone: &str, state: Option<InstanceState>) {
        let unit = BalancerEntry { machine: "m".into(), zone: zone.into(), ..BalancerEntry::default() };
        self.put("supervisor", &balancer_key(name), &unit, false);
        if let Some(state) = state {
            self.says(name, state);
        }
    }

    fn says(&mut self, name: &str, state: InstanceState) {
        let session = self.session(name);
        let said = InstanceStatus { state, session, pid: 1, build: String::new() };
        self.put(name, &status_key(name), &said, true);
    }

    fn ask(
        &mut self,
        who: &str,
        unit: ResourceId,
        act: DisruptionKind,
        priority: u8,
        overrides: Option<&str>,
    ) -> String {
        let session = self.session(who);
        let id = format!("{who}/{}", unit.name);
        let overrides = overrides.map(Into::into);
        let ask = LeaseRequest {
            resource: unit,
            owner: who.into(),
            session,
            kind: act,
            priority,
            reason: "w".into(),
            override_reason: overrides,
            duration_ms: None,
        };
        self.put(who, &request_key(&id), &ask, true);
        id
    }

    /// Gives what is to be given; who got it.
    fn give(&mut self) -> Vec<String> {
        let Some((plan, ids)) = self.board().grants() else { return Vec::new() };
        assert!(self.write("giver", plan), "nothing has changed meanwhile");
        ids
    }

    fn verdict(&self, id: &str) -> LeaseDecision {
        let all = self.board().decisions();
        all.into_iter().find(|(i, _)| i == id).map(|(_, v)| v).expect("it asks")
    }

    /// Balancers with these upstreams, each seeing some of them so.
    fn sight(&mut self, who: &str, upstreams: &[&str], out: &[(&str, EndpointCondition)]) {
        let place = |_| EndpointLabels { pools: vec!["dues".into()], zone: "a".into() };
        let list = EndpointList { upstreams: upstreams.iter().map(|u| (u.to_string(), place(u))).collect() };
        let hash = upstreams.join("-");
        self.put(who, &endpoint_list_key(&hash), &list, false);
        let sight = EndpointObservations {
            list_hash: hash,
            conditions: out.iter().map(|(u, s)| (u.to_string(), *s)).collect(),
        };
        self.put(who, &observations_key(who), &sight, true);
    }
}

fn three(most: u32, floor: u32) -> Site {
    let mut site = Site::new(vec![budget("whole", ResourceKind::Balancer, GroupBy::Fleet, most, floor)]);
    for name in ["n1", "n2", "n3"] {
        site.balancer(name, "a", Some(InstanceState::Ready));
    }
    site
}

#[test]
fn what_is_out_counts_whoever_caused_it() {
    for how in ["no session", "cold", "starting", "leaving", "leave"] {
        let mut site = three(1, 0);
        match how {
            "no session" => site.ends("n3"),
            "cold" => site.says("n3", InstanceState::WarmingUp),
            "starting" => site.says("n3", InstanceState::Starting),
            "leaving" => site.says("n3", InstanceState::ShuttingDown),
            _ => {
                site.ask("other", ResourceId::balancer("n3"), DisruptionKind::Restart, 0, None);
                assert_eq!(site.give(), ["other/n3"]);
            }
        }
        let id = site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
        let verdict = site.verdict(&id);
        let LeaseDecision::WaitsForBudget { budget, usage: count, .. } = &verdict else {
            panic!("{how}: {verdict:?}")
        };
        assert_eq!((budget.as_str(), count.unavailable, count.limit), ("whole", 1, 1), "{how}");
        assert_eq!(site.give(), [] as [String; 0], "{how}");
    }
}

#[test]
fn leave_ends_when_the_unit_was_seen_in_by_a_later_process() {
    let mut site = three(1, 0);
    site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    let unit = ResourceId::balancer("n1");
    // Its old process still says that it serves: it has not gone yet.
    assert_eq!(site.board().release_lease(&unit, false), None);
    site.says("n1", InstanceState::ShuttingDown);
    site.ends("n1");
    // Its owner is gone, and others can't end it either.
    site.ends("m1");
    assert_eq!(site.board().orphaned_leases(), []);
    assert_eq!(site.board().release_lease(&unit, false), None);
    site.says("n1", InstanceState::WarmingUp);
    assert_eq!(site.board().release_lease(&unit, false), None, "not warm yet");
    site.says("n1", InstanceState::Ready);
    let plan = site.board().release_lease(&unit, false).expect("it is in");
    // Not if it goes out again in the same moment.
    site.says("n1", InstanceState::ShuttingDown);
    assert!(!site.write("m2", plan));
    site.says("n1", InstanceState::Ready);
    let plan = site.board().release_lease(&unit, false).expect("it is in");
    assert!(site.write("m2", plan));
    assert!(site.board().leases.is_empty());
}

/// Guards against one that is cut off and serves: it counts as out, and yet to take it out takes one more from those that serve.
#[test]
fn what_is_not_heard_of_may_be_serving() {
    let mut site = three(1, 0);
    site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    site.ends("n2");
    let id = site.ask("m1", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    assert!(matches!(site.verdict(&id), LeaseDecision::WaitsForBudget { .. }), "n1 is out, and n2 may be in");
    // The same of one that came back and is cold: it serves, if not in full.
    let mut site = three(1, 0);
    site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    site.says("n2", InstanceState::WarmingUp);
    let id = site.ask("m1", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    assert!(matches!(site.verdict(&id), LeaseDecision::WaitsForBudget { .. }), "n1 is out, and n2 serves");
    // Alone it is within bounds: it counts as the one that is out.
    let mut site = three(1, 0);
    site.ends("n2");
    let id = site.ask("m1", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.verdict(&id), LeaseDecision::Granted);
}

#[test]
fn a_leave_of_nobody_ends_only_when_its_owner_can_not_act_any_more() {
    let mut site = three(1, 0);
    let session = site.session("m1");
    site.put("m1", "outage/holder/m1", &session, true);
    site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    assert_eq!(site.board().orphaned_leases(), [], "its owner is there");
    site.ends("m1");
    let (_, plan) = site.board().orphaned_leases().pop().expect("nobody's");
    // A later process of the owner makes it its own before.
    let next = site.session("m1");
    let adopts = site.board().adopt_lease(&ResourceId::balancer("n1"), "m1", next).expect("its own");
    assert!(site.write("m1", adopts));
    assert!(!site.write("m2", plan), "it is somebody's again");
    site.put("m1", "outage/holder/m1", &next, true);
    assert_eq!(site.board().orphaned_leases(), []);
    let plan = site.board().release_lease(&ResourceId::balancer("n1"), true).expect("not acted by");
    assert!(site.write("m1", plan));
}

#[test]
fn of_two_who_give_at_once_one_fails() {
    let mut site = three(1, 0);
    site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    site.ask("m2", ResourceId::balancer("n2"), DisruptionKind::Restart, 0, None);
    let (plan, ids) = site.board().grants().expect("one");
    assert_eq!(ids, ["m1/n1"]);
    assert!(site.write("m1", plan.clone()));
    assert!(!site.write("m2", plan));
    // Budgets that were changed meanwhile are looked at again as well.
    let mut site = three(2, 0);
    site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    let (plan, _) = site.board().grants().expect("one");
    let smaller =
        DisruptionBudgets { budgets: vec![budget("whole", ResourceKind::Balancer, GroupBy::Fleet, 1, 0)] };
    site.put("operator", BUDGETS, &smaller, false);
    assert!(!site.write("m1", plan));
    // So is an ask whose owner has gone.
    let (plan, _) = site.board().grants().expect("one");
    site.ends("m1");
    assert!(!site.write("m2", plan));
}

#[test]
fn who_asked_first_goes_first_and_is_not_starved() {
    let by_zone = budget("zone", ResourceKind::Balancer, GroupBy::Zone, 1, 0);
    let mut site = Site::new(vec![by_zone, budget("whole", ResourceKind::Balancer, GroupBy::Fleet, 2, 0)]);
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")] {
        site.balancer(name, zone, Some(InstanceState::Ready));
    }
    site.ask("m1", ResourceId::balancer("a1"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.give(), ["m1/a1"]);
    let first = site.ask("m2", ResourceId::balancer("a2"), DisruptionKind::Restart, 0, None);
    let second = site.ask("m3", ResourceId::balancer("b1"), DisruptionKind::Restart, 0, None);
    // The zone of the first is full; it keeps its place in the whole, and the one behind it waits for that.
    assert!(
        matches!(site.verdict(&first), LeaseDecision::WaitsForBudget { ref budget, .. } if budget == "zone")
    );
    assert!(
        matches!(site.verdict(&second), LeaseDecision::WaitsForBudget { ref budget, .. } if budget == "whole")
    );
    // A greater priority goes before both.
    let third = site.ask("m4", ResourceId::balancer("c1"), DisruptionKind::Restart, 1, None);
    assert_eq!(site.verdict(&third), LeaseDecision::Granted);
}

#[test]
fn what_is_out_is_mended_whatever_budgets_say_and_reasons_go_over_them_down_to_the_floor() {
    let mut site = three(1, 2);
    let down = BalancerEntry { machine: "m".into(), down: true, ..BalancerEntry::default() };
    site.ends("n3");
    site.put("supervisor", &balancer_key("n3"), &down, false);
    let mend = site.ask("m1", ResourceId::balancer("n3"), DisruptionKind::Restart, 0, None);
    assert_eq!(site.verdict(&mend), LeaseDecision::Granted);
    site.give();
    let over = site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, Some("fire"));
    // Two have to stay in, and two are.
    assert!(matches!(site.verdict(&over), LeaseDecision::WaitsForBudget { .. }));
    let mut site = three(1, 1);
    site.ends("n3");
    let over = site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, Some("fire"));
    assert_eq!(site.verdict(&over), LeaseDecision::Granted);
    site.give();
    let leave = &site.board().leases[&ResourceId::balancer("n1")].value;
    assert_eq!(leave.override_reason.as_deref(), Some("fire"), "it is recorded");
    // One of one, and never out: said at once, and not waited for.
    let mut site = Site::new(vec![budget("whole", ResourceKind::Balancer, GroupBy::Fleet, 1, 1)]);
    site.balancer("n1", "a", Some(InstanceState::Ready));
    let id = site.ask("m1", ResourceId::balancer("n1"), DisruptionKind::Restart, 0, None);
    assert!(
        matches!(site.verdict(&id), LeaseDecision::Rejected(ref why) if why.contains("lets nothing out"))
    );
    let id = site.ask("m1", ResourceId::balancer("nobody"), DisruptionKind::Restart, 0, None);
    assert!(matches!(site.verdict(&id), LeaseDecision::Rejected(ref why) if why.contains("is not known")));
}

#[test]
fn registries_bind_and_balancers_need_most_of_them() {
    let mut site = Site::new(vec![budget("pool", ResourceKind::Upstream, GroupBy::Pool, 1, 0)]);
    let all = ["u1", "u2", "u3"];
    site.sight("n1", &all, &[("u1", EndpointCondition::Ejected)]);
    site.sight("n2", &all, &[]);
    site.sight("n3", &all, &[]);
    assert!(site.board().unavailable().is_empty(), "one of three");
    site.sight("n2", &all, &[("u1", EndpointCondition::Ejected)]);
    assert_eq!(
        site.board().unavailable()[&ResourceId::upstream("u1")],
        [UnavailableReason::ObservedByBalancers(EndpointCondition::Ejected, 2, 3)]
    );
    site.sight("n2", &all, &[("u2", EndpointCondition::Draining)]);
    assert_eq!(
        site.board().unavailable()[&ResourceId::upstream("u2")],
        [UnavailableReason::ReportedByDiscovery(EndpointCondition::Draining)]
    );
    let id = site.ask("op", ResourceId::upstream("u3"), DisruptionKind::Drain, 0, None);
    assert!(
        matches!(site.verdict(&id), LeaseDecision::WaitsForBudget { ref budget, .. } if budget == "pool")
    );
    let id = site.ask("op", ResourceId::upstream("u1"), DisruptionKind::Restart, 0, None);
    assert!(matches!(site.verdict(&id), LeaseDecision::Rejected(_)), "an upstream is not ours to restart");
}

#[test]
fn a_drain_is_over_when_every_balancer_has_said_so() {
    let mut site = Site::new(vec![]);
    for name in ["n1", "n2"] {
        site.balancer(name, "a", Some(InstanceState::Ready));
        site.sight(name, &["u1"], &[]);
    }
    site.ask("op", ResourceId::upstream("u1"), DisruptionKind::Drain, 0, None);
    assert_eq!(site.give(), ["op/u1"]);
    let unit = ResourceId::upstream("u1");
    let number = site.board().leases[&unit].value.fencing_token;
    assert_eq!(site.board().pending_confirmations(&unit), ["n1", "n2"]);
    // Of another drain of the same upstream it says nothing.
    site.put(
        "n1",
        &drained_key("n1"),
        &DrainedEndpoints { fencing_tokens: BTreeMap::from([("u1".into(), number + 1)]) },
        true,
    );
    assert_eq!(site.board().pending_confirmations(&unit), ["n1", "n2"]);
    site.put(
        "n1",
        &drained_key("n1"),
        &DrainedEndpoints { fencing_tokens: BTreeMap::from([("u1".into(), number)]) },
        true,
    );
    site.ends("n2");
    assert_eq!(site.board().pending_confirmations(&unit), ["n2 (not heard of)"]);
    let down = BalancerEntry { machine: "m".into(), down: true, ..BalancerEntry::default() };
    site.put("supervisor", &balancer_key("n2"), &down, false);
    assert_eq!(
        site.board().pending_confirmations(&unit),
        [] as [&str; 0],
        "its supervisor says that no process of it runs"
    );
    // One that has passed its sockets on and still ends what it has.
    site.put("old", "outage/leaving/n1/77", &DrainedEndpoints::default(), true);
    assert_eq!(site.board().pending_confirmations(&unit), ["n1/77 (ends what it has)"]);
}

#[test]
fn below_a_floor_the_newest_drains_return_and_those_that_are_over_are_asked() {
    let mut site = Site::new(vec![budget("pool", ResourceKind::Upstream, GroupBy::Pool, 3, 2)]);
    let all = ["u1", "u2", "u3", "u4"];
    site.sight("n1", &all, &[]);
    for unit in ["u1", "u2"] {
        site.ask("op", ResourceId::upstream(unit), DisruptionKind::Drain, 0, None);
        assert_eq!(site.give().len(), 1);
    }
    assert_eq!(site.board().recall_drains(), None);
    // That the first is over is written after the second was given, and makes it no newer.
    let first = ResourceId::upstream("u1");
    let over = DisruptionLease { drained: true, ..site.board().leases[&first].value.clone() };
    site.put("op", &lease_key(&first), &over, false);
    // A third dies: nothing more is given, and one of the two is missing below the floor.
    site.sight("n1", &all, &[("u3", EndpointCondition::Unhealthy)]);
    let (_, named) = site.board().recall_drains().expect("one");
    assert_eq!(named.iter().map(|(id, _)| id.name.as_str()).collect::<Vec<_>>(), ["u2"], "the newest");
    // One of which its operator knows that it is over is asked only.
    let id = ResourceId::upstream("u2");
    let over = DisruptionLease { drained: true, ..site.board().leases[&id].value.clone() };
    site.put("op", &lease_key(&id), &over, false);
    let (plan, _) = site.board().recall_drains().expect("one");
    assert!(site.write("m1", plan));
    assert!(site.board().leases[&id].value.recall_reason.is_some());
    assert_eq!(site.board().recall_drains(), None, "asked once");
}

#[test]
fn a_value_that_can_not_be_read_is_named_and_counts_as_none() {
    let mut site = three(1, 0);
    site.put("n1", &status_key("n1"), &"soon", true);
    let board = site.board();
    assert!(board.unreadable[&status_key("n1")].contains("invalid type"), "{:?}", board.unreadable);
    assert_eq!(board.unavailable()[&ResourceId::balancer("n1")], [UnavailableReason::Missing]);
}
