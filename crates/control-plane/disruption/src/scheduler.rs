//! Who is out and why, which leaves are given, and what waits for what: a function of the board.
use crate::budget::{DisruptionBudget, Label};
use crate::snapshot::{
    balancer_key, endpoint_list_key, lease_key, request_key, status_key, BalancerEntry, DisruptionKind,
    DisruptionLease, DrainedEndpoints, EndpointCondition, FleetSnapshot, InstanceState, LeaseRequest,
    BUDGETS, LEDGER,
};
use crate::{ConditionalWrite, ResourceId, ResourceKind};
use coordination::state_machine::{Compare, Op, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Most leaves that one write gives.
pub const MAX_GRANTS_PER_WRITE: usize = 32;

/// Why a unit counts as out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// Somebody has leave for it.
    Leased(String, DisruptionKind),
    /// It has no session: it is down, stopped or cut off, and may be serving.
    Missing,
    /// Its supervisor says that no process of it runs.
    Down,
    /// By its own word it does not serve, or not yet in full.
    ReportedState(InstanceState),
    /// A registry says that it takes nothing.
    ReportedByDiscovery(EndpointCondition),
    /// So many of so many balancers see it so.
    ObservedByBalancers(EndpointCondition, usize, usize),
}

impl UnavailableReason {
    /// Whether a unit that counts as out for this may be serving all the same.
    fn may_serve(&self) -> bool {
        matches!(
            self,
            UnavailableReason::Missing
                | UnavailableReason::ReportedState(InstanceState::WarmingUp)
                | UnavailableReason::ObservedByBalancers(EndpointCondition::WarmingUp, ..)
        )
    }
}

impl fmt::Display for UnavailableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnavailableReason::Leased(owner, act) => write!(f, "{} by {owner}", act.as_str()),
            UnavailableReason::Missing => f.write_str("not heard of"),
            UnavailableReason::Down => f.write_str("down"),
            UnavailableReason::ReportedState(state) => f.write_str(state.as_str()),
            UnavailableReason::ReportedByDiscovery(EndpointCondition::Unhealthy) => {
                f.write_str("its checks fail")
            }
            UnavailableReason::ReportedByDiscovery(_) => f.write_str("drained by a registry"),
            UnavailableReason::ObservedByBalancers(EndpointCondition::WarmingUp, n, of) => {
                write!(f, "cold at {n} of {of}")
            }
            UnavailableReason::ObservedByBalancers(_, n, of) => write!(f, "ejected by {n} of {of}"),
        }
    }
}

/// How a group stands against a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Its units.
    pub size: u32,
    /// Those that are out.
    pub unavailable: u32,
    /// So many may be.
    pub limit: u32,
    /// So many have to be in.
    pub min_available: u32,
}

/// What becomes of an ask now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Leave is given.
    Granted,
    /// It waits.
    WaitsForBudget {
        /// For which budget.
        budget: String,
        /// In which group.
        group: String,
        /// How that stands.
        usage: BudgetUsage,
    },
    /// It waits until somebody else's leave for the unit has ended.
    HeldByOther(String),
    /// It can't be: why.
    Rejected(String),
}

impl fmt::Display for LeaseDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseDecision::Granted => f.write_str("given"),
            LeaseDecision::WaitsForBudget { budget, group, usage: count } => {
                let group = if group.is_empty() { "the fleet" } else { group };
                write!(
                    f,
                    "waits for budget {budget}: {} of {} out in {group}, {} may be",
                    count.unavailable, count.size, count.limit
                )
            }
            LeaseDecision::HeldByOther(owner) => write!(f, "waits: {owner} has leave for it"),
            LeaseDecision::Rejected(why) => write!(f, "refused: {why}"),
        }
    }
}

type Groups<'a> = BTreeMap<(usize, &'a str), BudgetUsage>;

/// All that follows from a board, worked out once.
struct View<'a> {
    snapshot: &'a FleetSnapshot,
    budgets: &'a [DisruptionBudget],
    labels: BTreeMap<ResourceId, BTreeSet<Label>>,
    unavailable: BTreeMap<ResourceId, Vec<UnavailableReason>>,
}

impl<'a> View<'a> {
    fn of(board: &'a FleetSnapshot) -> View<'a> {
        let mut labels: BTreeMap<ResourceId, BTreeSet<Label>> = BTreeMap::new();
        let mut out: BTreeMap<ResourceId, Vec<UnavailableReason>> = BTreeMap::new();
        let mut is_out =
            |id: &ResourceId, why: UnavailableReason| out.entry(id.clone()).or_default().push(why);
        for (name, unit) in &board.balancers {
            let id = ResourceId::balancer(name);
            match board.statuses.get(name).map(|s| s.value.state) {
                Some(InstanceState::Ready) => {}
                Some(state) => is_out(&id, UnavailableReason::ReportedState(state)),
                None if unit.value.down => is_out(&id, UnavailableReason::Down),
                None => is_out(&id, UnavailableReason::Missing),
            }
            labels.insert(id, unit.value.labels());
        }
        for (name, (of, stands)) in board.upstreams() {
            let id = ResourceId::upstream(name);
            let all = stands.len();
            let count = |stand: EndpointCondition| stands.iter().filter(|&&s| s == stand).count();
            // What a registry says binds, whoever has heard it; what balancers find out for themselves needs most of them.
            if let Some(worst) = stands.iter().copied().filter(|s| *s >= EndpointCondition::Unhealthy).max() {
                is_out(&id, UnavailableReason::ReportedByDiscovery(worst));
            }
            for stand in [EndpointCondition::Ejected, EndpointCondition::WarmingUp] {
                if count(stand) * 2 > all {
                    is_out(&id, UnavailableReason::ObservedByBalancers(stand, count(stand), all));
                }
            }
            labels.insert(id, of);
        }
        for (id, leave) in &board.leases {
            is_out(id, UnavailableReason::Leased(leave.value.owner.clone(), leave.value.kind));
        }
        let budgets = board.budgets.as_ref().map_or(&[][..], |b| &b.value.budgets);
        View { snapshot: board, budgets, labels, unavailable: out }
    }

    /// How each group stands.
    fn budget_usage(&self) -> Groups<'_> {
        let mut groups: Groups = BTreeMap::new();
        for (id, labels) in &self.labels {
            let out = u32::from(self.unavailable.contains_key(id));
            for (k, budget) in self.budgets.iter().enumerate() {
                for group in budget.groups(id.kind, labels) {
                    let count = groups.entry((k, group)).or_default();
                    (count.size, count.unavailable) = (count.size + 1, count.unavailable + out);
                }
            }
        }
        for ((k, _), count) in &mut groups {
            (count.limit, count.min_available) =
                (self.budgets[*k].limit(count.size), self.budgets[*k].min_available);
        }
        groups
    }

    /// The asks in their order.
    fn requests(&self) -> Vec<(&'a str, &'a crate::snapshot::Versioned<LeaseRequest>)> {
        let mut asks: Vec<_> = self.snapshot.requests.iter().map(|(id, ask)| (id.as_str(), ask)).collect();
        asks.sort_by_key(|(id, ask)| (std::cmp::Reverse(ask.value.priority), ask.version, *id));
        asks
    }

    fn decisions(&self) -> Vec<(&'a str, LeaseDecision)> {
        let mut groups = self.budget_usage();
        let mut given: BTreeSet<&ResourceId> = BTreeSet::new();
        let mut reserved = false;
        let mut all = Vec::new();
        for (id, ask) in self.requests() {
            let (unit, ask) = (&ask.value.resource, &ask.value);
            let verdict = self.decision(ask, &groups, &given);
            let takes = verdict == LeaseDecision::Granted && given.insert(unit);
            // The first that waits for a budget keeps its place in all its groups: those behind it do not starve it.
            let keeps = matches!(verdict, LeaseDecision::WaitsForBudget { .. })
                && !std::mem::replace(&mut reserved, true);
            if (takes || keeps) && !self.unavailable.contains_key(unit) {
                self.each_group(unit, |k, group| {
                    if let Some(count) = groups.get_mut(&(k, group)) {
                        count.unavailable += 1;
                    }
                });
            }
            all.push((id, verdict));
        }
        all
    }

    fn each_group<'b>(&'b self, unit: &ResourceId, mut each: impl FnMut(usize, &'b str)) {
        let Some(labels) = self.labels.get(unit) else { return };
        for (k, budget) in self.budgets.iter().enumerate() {
            budget.groups(unit.kind, labels).for_each(|group| each(k, group));
        }
    }

    fn decision(&self, ask: &LeaseRequest, groups: &Groups, given: &BTreeSet<&ResourceId>) -> LeaseDecision {
        let unit = &ask.resource;
        if !self.labels.contains_key(unit) {
            return LeaseDecision::Rejected(format!("{unit} is not known"));
        }
        if (ask.kind == DisruptionKind::Drain) != (unit.kind == ResourceKind::Upstream) {
            return LeaseDecision::Rejected(format!(
                "{} is nothing that is done to {unit}",
                ask.kind.as_str()
            ));
        }
        if let Some(leave) = self.snapshot.leases.get(unit) {
            return LeaseDecision::HeldByOther(leave.value.owner.clone());
        }
        if given.contains(unit) {
            return LeaseDecision::HeldByOther("who asked before".into());
        }
        // What is known to be out is not taken out by this: mending it must not wait for room that only mending makes. What is
        // not heard of, or cold, may well be serving: it counts already, and is given where that is within bounds.
        let why = self.unavailable.get(unit);
        if why.is_some_and(|why| !why.iter().all(UnavailableReason::may_serve)) {
            return LeaseDecision::Granted;
        }
        let adds = u32::from(why.is_none());
        let mut verdict = LeaseDecision::Granted;
        self.each_group(unit, |k, group| {
            let Some(&count) = groups.get(&(k, group)) else { return };
            let budget = &self.budgets[k];
            let over_floor = count.size.saturating_sub(count.unavailable + adds) < count.min_available;
            let over = count.unavailable + adds > count.limit;
            if verdict != LeaseDecision::Granted || !(over_floor || over && ask.override_reason.is_none()) {
                return;
            }
            verdict =
                if count.limit == 0 && ask.override_reason.is_none() || count.size <= count.min_available {
                    let group = if group.is_empty() { "the fleet" } else { group };
                    LeaseDecision::Rejected(format!(
                        "budget {} lets nothing out of {group}, which has {}: {}",
                        budget.name,
                        count.size,
                        budget.summary()
                    ))
                } else {
                    LeaseDecision::WaitsForBudget {
                        budget: budget.name.clone(),
                        group: group.into(),
                        usage: count,
                    }
                };
        });
        verdict
    }
}

impl FleetSnapshot {
    /// Who is out, and why.
    pub fn unavailable(&self) -> BTreeMap<ResourceId, Vec<UnavailableReason>> {
        View::of(self).unavailable
    }

    /// All units that are known, with what they are grouped by.
    pub fn resources(&self) -> BTreeMap<ResourceId, BTreeSet<Label>> {
        View::of(self).labels
    }

    /// How each group stands, by budget and group.
    pub fn budget_usage(&self) -> Vec<(String, String, BudgetUsage)> {
        let view = View::of(self);
        let counts = view.budget_usage();
        counts.into_iter().map(|((k, g), c)| (view.budgets[k].name.clone(), g.to_string(), c)).collect()
    }

    /// What becomes of each ask now, in their order.
    pub fn decisions(&self) -> Vec<(String, LeaseDecision)> {
        View::of(self).decisions().into_iter().map(|(id, verdict)| (id.to_string(), verdict)).collect()
    }

    /// The write that gives the leaves that are to be given now, and the asks that get them.
    pub fn grants(&self) -> Option<(ConditionalWrite, Vec<String>)> {
        let given: Vec<String> = self
            .decisions()
            .into_iter()
            .filter_map(|(id, verdict)| (verdict == LeaseDecision::Granted).then_some(id))
            .take(MAX_GRANTS_PER_WRITE)
            .collect();
        if given.is_empty() {
            return None;
        }
        let mut plan =
            ConditionalWrite { compares: vec![version(LEDGER, self.ledger_version)], ops: Vec::new() };
        plan.compares.push(version(BUDGETS, self.budgets.as_ref().map_or(0, |b| b.version)));
        plan.ops.push(put(LEDGER.into(), "0".into()));
        for id in &given {
            let Some(ask) = self.requests.get(id) else { continue };
            let LeaseRequest {
                resource: unit,
                owner,
                session,
                kind: act,
                reason: why,
                override_reason: overrides,
                duration_ms: for_ms,
                ..
            } = ask.value.clone();
            let was = self.session_of(&unit);
            let leave = DisruptionLease {
                owner,
                session,
                fencing_token: self.ledger_version,
                kind: act,
                previous_session: was,
                reason: why,
                override_reason: overrides,
                duration_ms: for_ms,
                drained: false,
                recall_reason: None,
            };
            // An ask ends with its session: it is there only while that is.
            plan.compares.push(Compare::Version(request_key(id), ask.version));
            plan.compares.push(Compare::Absent(lease_key(&unit)));
            plan.ops.push(put(lease_key(&unit), json(&leave)));
            plan.ops.push(Op::Delete(request_key(id)));
        }
        Some((plan, given))
    }

    /// The session of a balancer's process; 0: none.
    pub fn session_of(&self, unit: &ResourceId) -> SessionId {
        match unit.kind {
            ResourceKind::Balancer => self.statuses.get(&unit.name).map_or(0, |s| s.value.session),
            ResourceKind::Upstream => 0,
        }
    }

    /// Whether a balancer was seen to be in again since this leave was given: it says that it serves in full, and it is
    /// another process where another was to come.
    pub fn is_back_in_service(&self, unit: &ResourceId, leave: &DisruptionLease) -> bool {
        let Some(said) = self.statuses.get(&unit.name) else { return false };
        unit.kind == ResourceKind::Balancer
            && said.value.state == InstanceState::Ready
            && (!leave.kind.replaces_process() || said.value.session > leave.previous_session)
    }

    /// The write that ends a balancer's leave: once it was seen to be in. `undone`: its owner says that it has not acted by
    /// the leave and will not.
    pub fn release_lease(&self, unit: &ResourceId, undone: bool) -> Option<ConditionalWrite> {
        let leave = self.leases.get(unit)?;
        let said = self.statuses.get(&unit.name);
        let in_now = self.is_back_in_service(unit, &leave.value)
            || undone && said.is_some_and(|s| s.value.state == InstanceState::Ready);
        // A reload is over only when its owner says so: nothing else tells it from one that has not begun.
        let over = in_now && (leave.value.kind.replaces_process() || undone);
        let said = said.filter(|_| over)?;
        Some(ConditionalWrite {
            compares: vec![
                Compare::Version(lease_key(unit), leave.version),
                Compare::Version(status_key(&unit.name), said.version),
            ],
            ops: vec![Op::Delete(lease_key(unit))],
        })
    }

    /// Leaves whose owners are gone for good, of units that are in: nobody can act by them any more.
    pub fn orphaned_leases(&self) -> Vec<(ResourceId, ConditionalWrite)> {
        let mut all = Vec::new();
        for (id, leave) in &self.leases {
            if id.kind != ResourceKind::Balancer || self.owner_is_active(&leave.value) {
                continue;
            }
            let Some(said) = self.statuses.get(&id.name).filter(|s| s.value.state == InstanceState::Ready)
            else {
                continue;
            };
            let when = vec![
                Compare::Version(lease_key(id), leave.version),
                Compare::Version(status_key(&id.name), said.version),
                Compare::SessionEnded(leave.value.session),
            ];
            all.push((id.clone(), ConditionalWrite { compares: when, ops: vec![Op::Delete(lease_key(id))] }));
        }
        all
    }

    /// The write by which a later process of an owner makes a leave its own.
    pub fn adopt_lease(
        &self,
        unit: &ResourceId,
        owner: &str,
        session: SessionId,
    ) -> Option<ConditionalWrite> {
        let leave = self.leases.get(unit).filter(|l| l.value.owner == owner && l.value.session != session)?;
        let own = DisruptionLease { session, ..leave.value.clone() };
        Some(ConditionalWrite {
            compares: vec![Compare::Version(lease_key(unit), leave.version), Compare::SessionAlive(session)],
            ops: vec![put(lease_key(unit), json(&own))],
        })
    }

    /// The write that says which balancers a machine has: those that it has no more are forgotten, unless a leave for them
    /// goes on.
    pub fn declare_balancers(
        &self,
        machine: &str,
        units: &BTreeMap<String, BalancerEntry>,
    ) -> Option<ConditionalWrite> {
        let mut plan = ConditionalWrite::default();
        for (name, unit) in units {
            if self.balancers.get(name).is_none_or(|u| u.value != *unit) {
                plan.ops.push(put(balancer_key(name), json(unit)));
            }
        }
        for (name, unit) in &self.balancers {
            let gone = unit.value.machine == machine && !units.contains_key(name);
            if gone && !self.leases.contains_key(&ResourceId::balancer(name)) {
                plan.compares.push(Compare::Version(balancer_key(name), unit.version));
                plan.ops.push(Op::Delete(balancer_key(name)));
            }
        }
        (!plan.ops.is_empty()).then_some(plan)
    }

    /// Drains that are asked to return, since an upstream's group is below its floor: the newest first, as many as are
    /// missing. Those that nobody was told are drained yet end at once; of the others it is only asked.
    pub fn recall_drains(&self) -> Option<(ConditionalWrite, Vec<(ResourceId, String)>)> {
        let view = View::of(self);
        let counts = view.budget_usage();
        let mut missing: BTreeMap<(usize, &str), u32> = BTreeMap::new();
        for (&key, count) in &counts {
            let short =
                (count.min_available + count.unavailable).saturating_sub(count.size).min(count.min_available);
            if short > 0 {
                missing.insert(key, short);
            }
        }
        let mut drains: Vec<_> =
            self.leases.iter().filter(|(id, _)| id.kind == ResourceKind::Upstream).collect();
        // By when they were given: that one is over is written later, and makes it no newer.
        drains.sort_by_key(|(_, leave)| std::cmp::Reverse(leave.value.fencing_token));
        let (mut plan, mut named) = (ConditionalWrite::default(), Vec::new());
        for (id, leave) in drains {
            let mut helps = None;
            // One that is out for another reason as well would not be in if it returned.
            let only = view.unavailable.get(id).is_some_and(|why| why.len() == 1);
            view.each_group(id, |k, group| {
                if let (true, Some(short)) = (only, missing.get_mut(&(k, group)).filter(|s| **s > 0)) {
                    *short -= 1;
                    helps = Some((k, group));
                }
            });
            let Some((k, group)) = helps.filter(|_| named.len() < MAX_GRANTS_PER_WRITE) else { continue };
            if leave.value.recall_reason.is_some() {
                continue;
            }
            let why = format!(
                "{group} is below the floor of {} of budget {}",
                view.budgets[k].min_available, view.budgets[k].name
            );
            plan.compares.push(Compare::Version(lease_key(id), leave.version));
            plan.ops.push(if leave.value.drained {
                put(
                    lease_key(id),
                    json(&DisruptionLease { recall_reason: Some(why.clone()), ..leave.value.clone() }),
                )
            } else {
                Op::Delete(lease_key(id))
            });
            named.push((id.clone(), why));
        }
        (!named.is_empty()).then_some((plan, named))
    }

    /// The write that removes lists of upstreams that no balancer names.
    pub fn remove_unused_lists(&self) -> Option<ConditionalWrite> {
        let used: BTreeSet<&str> = self.observations.values().map(|s| s.value.list_hash.as_str()).collect();
        let mut plan = ConditionalWrite::default();
        for (hash, list) in self
            .endpoint_lists
            .iter()
            .filter(|(hash, _)| !used.contains(hash.as_str()))
            .take(MAX_GRANTS_PER_WRITE)
        {
            plan.compares.push(Compare::Version(endpoint_list_key(hash), list.version));
            plan.ops.push(Op::Delete(endpoint_list_key(hash)));
        }
        (!plan.ops.is_empty()).then_some(plan)
    }

    /// What keeps a drain from being over: balancers that have not confirmed that nothing is in flight there. Empty: the
    /// upstream is drained.
    pub fn pending_confirmations(&self, upstream: &ResourceId) -> Vec<String> {
        let Some(leave) = self.leases.get(upstream) else { return Vec::new() };
        let confirms = |quiet: &DrainedEndpoints| {
            quiet.fencing_tokens.get(&upstream.name) == Some(&leave.value.fencing_token)
        };
        let mut all = Vec::new();
        for (name, unit) in &self.balancers {
            // A process that has ended has nothing in flight, and its supervisor says so; one that is not heard of may.
            let confirmed = self.drained.get(name).is_some_and(|q| confirms(&q.value));
            let heard = self.statuses.contains_key(name);
            if !confirmed && (heard || !unit.value.down) {
                all.push(if heard { name.clone() } else { format!("{name} (not heard of)") });
            }
        }
        for (name, quiet) in &self.predecessor_drained {
            if !confirms(&quiet.value) {
                all.push(format!("{name} (ends what it has)"));
            }
        }
        all
    }
}

fn version(key: &str, version: u64) -> Compare {
    match version {
        0 => Compare::Absent(key.into()),
        version => Compare::Version(key.into(), version),
    }
}

/// A key that outlives the session that writes it.
pub(crate) fn put(key: String, value: String) -> Op {
    Op::Put { key, value, ephemeral: false }
}

/// Texts and numbers only: this can't fail.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
