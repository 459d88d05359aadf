//! Decisions on lease requests, and the write that grants leases.
use crate::availability::{AvailabilityView, BudgetUsage, GroupKey, UnavailableReason, UsageByGroup};
use crate::conditional_write::{put, unchanged, ConditionalWrite};
use crate::keys::{lease_key, request_key, BUDGETS, LEDGER};
use crate::messages::{DisruptionKind, DisruptionLease, LeaseRequest};
use crate::projection::Versioned;
use crate::snapshot::FleetSnapshot;
use crate::{ResourceId, ResourceKind, MAX_RESOURCES_PER_WRITE};
use coordination::state_machine::{Compare, Op};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::fmt;

/// Value of the ledger key. Only its version matters.
const LEDGER_VALUE: u64 = 0;

/// Decision on a lease request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// The lease can be granted now.
    Granted,
    /// The request waits until a budget permits it.
    WaitsForBudget {
        /// Name of the budget.
        budget: String,
        /// Group; empty for the whole fleet.
        group: String,
        /// Usage of the budget by the group.
        usage: BudgetUsage,
    },
    /// The request waits until this owner's lease for the resource ends.
    HeldByOther(String),
    /// The request can never be granted, for this reason.
    Rejected(String),
}

impl fmt::Display for LeaseDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseDecision::Granted => f.write_str("given"),
            LeaseDecision::WaitsForBudget { budget, group, usage } => {
                write!(
                    f,
                    "waits for budget {budget}: {} of {} out in {}, {} may be",
                    usage.unavailable,
                    usage.size,
                    group_name(group),
                    usage.limit
                )
            }
            LeaseDecision::HeldByOther(owner) => write!(f, "waits: {owner} has leave for it"),
            LeaseDecision::Rejected(reason) => write!(f, "refused: {reason}"),
        }
    }
}

/// Name of a group for operators.
pub fn group_name(group: &str) -> &str {
    if group.is_empty() {
        "the fleet"
    } else {
        group
    }
}

/// Decision on a request, with the request's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDecision {
    /// Id of the request.
    pub request_id: String,
    /// Decision on the request.
    pub decision: LeaseDecision,
}

/// The write that grants leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrants {
    /// Write; fails if the budgets, the requests or other grants have changed since the snapshot.
    pub write: ConditionalWrite,
    /// Ids of the granted requests.
    pub request_ids: Vec<String>,
}

impl<'a> AvailabilityView<'a> {
    /// Requests in the order in which they are decided.
    fn requests(&self) -> Vec<(&'a str, &'a Versioned<LeaseRequest>)> {
        let mut requests: Vec<_> =
            self.snapshot.requests.iter().map(|(id, request)| (id.as_str(), request)).collect();
        requests.sort_by_key(|(id, request)| (Reverse(request.value.priority), request.version, *id));
        requests
    }

    /// Decides all requests, each as if those granted before it were already in effect.
    fn decisions(&self) -> Vec<RequestDecision> {
        let mut usage_by_group = self.budget_usage();
        let mut granted: BTreeSet<&ResourceId> = BTreeSet::new();
        let mut has_reservation = false;
        let mut decisions = Vec::new();
        for (id, request) in self.requests() {
            let request = &request.value;
            let decision = self.decision(request, &usage_by_group, &granted);
            let is_granted = decision == LeaseDecision::Granted && granted.insert(&request.resource);
            // The first request that waits for a budget counts as unavailable in all its groups, so that later requests cannot
            // starve it.
            let reserves = matches!(decision, LeaseDecision::WaitsForBudget { .. }) && !has_reservation;
            has_reservation |= reserves;
            if (is_granted || reserves) && !self.unavailable.contains_key(&request.resource) {
                self.count_unavailable(&request.resource, &mut usage_by_group);
            }
            decisions.push(RequestDecision { request_id: id.to_string(), decision });
        }
        decisions
    }

    /// Counts a resource as unavailable in all its groups.
    fn count_unavailable<'b>(&'b self, resource: &ResourceId, usage_by_group: &mut UsageByGroup<'b>) {
        for key in self.groups_of(resource) {
            if let Some(usage) = usage_by_group.get_mut(&key) {
                usage.unavailable += 1;
            }
        }
    }

    fn decision(
        &self,
        request: &LeaseRequest,
        usage_by_group: &UsageByGroup<'_>,
        granted: &BTreeSet<&ResourceId>,
    ) -> LeaseDecision {
        let resource = &request.resource;
        if !self.labels.contains_key(resource) {
            return LeaseDecision::Rejected(format!("{resource} is not known"));
        }
        if (request.kind == DisruptionKind::Drain) != (resource.kind == ResourceKind::Upstream) {
            let reason = format!("{} is nothing that is done to {resource}", request.kind.as_str());
            return LeaseDecision::Rejected(reason);
        }
        if let Some(lease) = self.snapshot.leases.get(resource) {
            return LeaseDecision::HeldByOther(lease.value.owner.clone());
        }
        if granted.contains(resource) {
            return LeaseDecision::HeldByOther("who asked before".into());
        }
        // A resource that certainly does not serve is not made unavailable by its disruption, and its repair must not wait for
        // a budget that only the repair frees. A resource that may be serving is granted only within the budget.
        let reasons = self.unavailable.get(resource);
        if reasons.is_some_and(|reasons| !reasons.iter().all(UnavailableReason::may_serve)) {
            return LeaseDecision::Granted;
        }
        let additional = u32::from(reasons.is_none());
        let exceeded = self.groups_of(resource).into_iter().find_map(|key| {
            let usage = *usage_by_group.get(&key)?;
            self.check_group(request, key, usage, additional)
        });
        exceeded.unwrap_or(LeaseDecision::Granted)
    }

    /// Decision by one group; `None` if its budget permits the request.
    fn check_group(
        &self,
        request: &LeaseRequest,
        key: GroupKey<'_>,
        usage: BudgetUsage,
        additional: u32,
    ) -> Option<LeaseDecision> {
        let budget = &self.budgets[key.budget];
        let overridden = request.override_reason.is_some();
        let unavailable = usage.unavailable + additional;
        let below_min = usage.size.saturating_sub(unavailable) < usage.min_available;
        let above_limit = unavailable > usage.limit && !overridden;
        if !below_min && !above_limit {
            return None;
        }
        let never = usage.limit == 0 && !overridden || usage.size <= usage.min_available;
        Some(if never {
            LeaseDecision::Rejected(format!(
                "budget {} lets nothing out of {}, which has {}: {}",
                budget.name,
                group_name(key.group),
                usage.size,
                budget.summary()
            ))
        } else {
            LeaseDecision::WaitsForBudget { budget: budget.name.clone(), group: key.group.into(), usage }
        })
    }
}

impl FleetSnapshot {
    /// Decisions on all requests, in the order in which they are decided.
    pub fn decisions(&self) -> Vec<RequestDecision> {
        AvailabilityView::of(self).decisions()
    }

    /// The write that grants leases, at most [`MAX_RESOURCES_PER_WRITE`] in one write; `None` if no request can be granted.
    pub fn grants(&self) -> Option<LeaseGrants> {
        let granted = |d: RequestDecision| (d.decision == LeaseDecision::Granted).then_some(d.request_id);
        let request_ids: Vec<String> =
            self.decisions().into_iter().filter_map(granted).take(MAX_RESOURCES_PER_WRITE).collect();
        if request_ids.is_empty() {
            return None;
        }
        let budgets_version = self.budgets.as_ref().map_or(0, |budgets| budgets.version);
        let mut write = ConditionalWrite {
            compares: vec![unchanged(LEDGER, self.ledger_version), unchanged(BUDGETS, budgets_version)],
            ops: vec![put(LEDGER.into(), &LEDGER_VALUE)],
        };
        for id in &request_ids {
            if let Some(request) = self.requests.get(id) {
                self.add_grant(&mut write, id, request);
            }
        }
        Some(LeaseGrants { write, request_ids })
    }

    fn add_grant(&self, write: &mut ConditionalWrite, id: &str, request: &Versioned<LeaseRequest>) {
        let LeaseRequest { resource, owner, session, kind, reason, override_reason, duration_ms, .. } =
            request.value.clone();
        let lease = DisruptionLease {
            owner,
            session,
            fencing_token: self.ledger_version,
            kind,
            previous_session: self.session_of(&resource),
            reason,
            override_reason,
            duration_ms,
            drained: false,
            recall_reason: None,
        };
        // A request is deleted with its session, so this also requires that the requester's session is alive.
        write.compares.push(Compare::Version(request_key(id), request.version));
        write.compares.push(Compare::Absent(lease_key(&resource)));
        write.ops.push(put(lease_key(&resource), &lease));
        write.ops.push(Op::Delete(request_key(id)));
    }
}
