//! Availability of resources: the unavailable resources with the reasons, and the usage of each budget.
use crate::budget::{DisruptionBudget, Label};
use crate::messages::{DisruptionKind, EndpointCondition, InstanceState};
use crate::snapshot::{FleetSnapshot, ObservedEndpoint};
use crate::ResourceId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Reason why a resource counts as unavailable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// A lease for the resource is granted.
    Leased {
        /// Lease holder.
        owner: String,
        /// Kind of the disruption.
        kind: DisruptionKind,
    },
    /// The balancer has no session: it is down, stopped or partitioned, and may be serving.
    Missing,
    /// The supervisor of the balancer reports that no process of it runs.
    Down,
    /// The balancer itself reports that it does not serve, or not fully.
    ReportedState(InstanceState),
    /// Service discovery reports that the upstream takes no requests.
    ReportedByDiscovery(EndpointCondition),
    /// Most balancers observe this condition.
    ObservedByBalancers {
        /// Observed condition.
        condition: EndpointCondition,
        /// Number of balancers that observe the condition.
        observers: usize,
        /// Number of balancers that have the upstream.
        balancers: usize,
    },
}

impl UnavailableReason {
    /// Whether a resource that counts as unavailable for this reason may nevertheless be serving.
    pub(crate) fn may_serve(&self) -> bool {
        matches!(
            self,
            UnavailableReason::Missing
                | UnavailableReason::ReportedState(InstanceState::WarmingUp)
                | UnavailableReason::ObservedByBalancers { condition: EndpointCondition::WarmingUp, .. }
        )
    }
}

impl fmt::Display for UnavailableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnavailableReason::Leased { owner, kind } => write!(f, "{} by {owner}", kind.as_str()),
            UnavailableReason::Missing => f.write_str("not heard of"),
            UnavailableReason::Down => f.write_str("down"),
            UnavailableReason::ReportedState(state) => f.write_str(state.as_str()),
            UnavailableReason::ReportedByDiscovery(EndpointCondition::Unhealthy) => {
                f.write_str("its checks fail")
            }
            UnavailableReason::ReportedByDiscovery(_) => f.write_str("drained by a registry"),
            UnavailableReason::ObservedByBalancers { condition, observers, balancers } => {
                let condition = match condition {
                    EndpointCondition::WarmingUp => "cold at",
                    _ => "ejected by",
                };
                write!(f, "{condition} {observers} of {balancers}")
            }
        }
    }
}

/// Usage of a budget by one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Number of resources in the group.
    pub size: u32,
    /// Number of unavailable resources.
    pub unavailable: u32,
    /// Maximum number of unavailable resources.
    pub limit: u32,
    /// Minimum number of available resources.
    pub min_available: u32,
}

impl BudgetUsage {
    /// Number of further resources that must be available to reach `min_available`, limited to `min_available` itself.
    pub(crate) fn shortage(&self) -> u32 {
        (self.min_available + self.unavailable).saturating_sub(self.size).min(self.min_available)
    }
}

/// Usage of a budget, with the names of the budget and the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupUsage {
    /// Name of the budget.
    pub budget: String,
    /// Group; empty for the whole fleet.
    pub group: String,
    /// Usage.
    pub usage: BudgetUsage,
}

/// Identifies a group of a budget within an [`AvailabilityView`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey<'a> {
    /// Position of the budget.
    pub budget: usize,
    /// Group; empty for the whole fleet.
    pub group: &'a str,
}

/// Usage by group.
pub(crate) type UsageByGroup<'a> = BTreeMap<GroupKey<'a>, BudgetUsage>;

/// Availability of all resources of a snapshot, computed once.
pub(crate) struct AvailabilityView<'a> {
    pub snapshot: &'a FleetSnapshot,
    pub budgets: &'a [DisruptionBudget],
    /// Labels of all known resources.
    pub labels: BTreeMap<ResourceId, BTreeSet<Label>>,
    /// Unavailable resources with all reasons.
    pub unavailable: BTreeMap<ResourceId, Vec<UnavailableReason>>,
}

impl<'a> AvailabilityView<'a> {
    pub fn of(snapshot: &'a FleetSnapshot) -> AvailabilityView<'a> {
        let budgets = snapshot.budgets.as_ref().map_or(&[][..], |budgets| &budgets.value.budgets);
        let mut view =
            AvailabilityView { snapshot, budgets, labels: BTreeMap::new(), unavailable: BTreeMap::new() };
        view.add_balancers();
        view.add_upstreams();
        view.add_leases();
        view
    }

    fn add_balancers(&mut self) {
        for (name, entry) in &self.snapshot.balancers {
            let resource = ResourceId::balancer(name);
            self.labels.insert(resource.clone(), entry.value.labels());
            let reason = match self.snapshot.statuses.get(name).map(|status| status.value.state) {
                Some(InstanceState::Ready) => continue,
                Some(state) => UnavailableReason::ReportedState(state),
                None if entry.value.down => UnavailableReason::Down,
                None => UnavailableReason::Missing,
            };
            self.mark_unavailable(resource, reason);
        }
    }

    fn add_upstreams(&mut self) {
        for (name, endpoint) in self.snapshot.upstreams() {
            let resource = ResourceId::upstream(name);
            for reason in unavailable_reasons(&endpoint) {
                self.mark_unavailable(resource.clone(), reason);
            }
            self.labels.insert(resource, endpoint.labels);
        }
    }

    fn add_leases(&mut self) {
        for (resource, lease) in &self.snapshot.leases {
            let reason =
                UnavailableReason::Leased { owner: lease.value.owner.clone(), kind: lease.value.kind };
            self.mark_unavailable(resource.clone(), reason);
        }
    }

    fn mark_unavailable(&mut self, resource: ResourceId, reason: UnavailableReason) {
        self.unavailable.entry(resource).or_default().push(reason);
    }

    /// Usage of all budgets.
    pub fn budget_usage(&self) -> UsageByGroup<'_> {
        let mut usage_by_group = UsageByGroup::new();
        for resource in self.labels.keys() {
            let is_unavailable = self.unavailable.contains_key(resource);
            for key in self.groups_of(resource) {
                let usage = usage_by_group.entry(key).or_default();
                usage.size += 1;
                usage.unavailable += u32::from(is_unavailable);
            }
        }
        for (key, usage) in &mut usage_by_group {
            let budget = &self.budgets[key.budget];
            usage.limit = budget.limit(usage.size);
            usage.min_available = budget.min_available;
        }
        usage_by_group
    }

    /// Groups of all budgets that a resource belongs to, in the order of the budgets.
    pub fn groups_of(&self, resource: &ResourceId) -> Vec<GroupKey<'_>> {
        let Some(labels) = self.labels.get(resource) else { return Vec::new() };
        let mut keys = Vec::new();
        for (budget, definition) in self.budgets.iter().enumerate() {
            keys.extend(definition.groups(resource.kind, labels).map(|group| GroupKey { budget, group }));
        }
        keys
    }
}

/// Reasons why an upstream is unavailable; empty if it is available. A report of service discovery counts regardless of the
/// balancer that has it; a condition that balancers observe themselves counts if more than half of them observe it.
fn unavailable_reasons(endpoint: &ObservedEndpoint) -> Vec<UnavailableReason> {
    let conditions = &endpoint.conditions;
    let balancers = conditions.len();
    let mut reasons = Vec::new();
    let worst = conditions.iter().copied().filter(|c| *c >= EndpointCondition::Unhealthy).max();
    reasons.extend(worst.map(UnavailableReason::ReportedByDiscovery));
    for condition in [EndpointCondition::Ejected, EndpointCondition::WarmingUp] {
        let observers = conditions.iter().filter(|&&c| c == condition).count();
        if observers * 2 > balancers {
            reasons.push(UnavailableReason::ObservedByBalancers { condition, observers, balancers });
        }
    }
    reasons
}

impl FleetSnapshot {
    /// Unavailable resources with all reasons.
    pub fn unavailable(&self) -> BTreeMap<ResourceId, Vec<UnavailableReason>> {
        AvailabilityView::of(self).unavailable
    }

    /// All known resources with their labels.
    pub fn resources(&self) -> BTreeMap<ResourceId, BTreeSet<Label>> {
        AvailabilityView::of(self).labels
    }

    /// Usage of all budgets, by budget and group.
    pub fn budget_usage(&self) -> Vec<GroupUsage> {
        let view = AvailabilityView::of(self);
        let named = |(key, usage): (GroupKey<'_>, BudgetUsage)| GroupUsage {
            budget: view.budgets[key.budget].name.clone(),
            group: key.group.to_string(),
            usage,
        };
        view.budget_usage().into_iter().map(named).collect()
    }
}
