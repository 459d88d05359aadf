//! Requirements on grants, judged by which balancers really serve and not by the content of the store.
use disruption::budget::{DisruptionBudget, DisruptionBudgets, Label};
use disruption::ResourceKind;
use fleet_simulation::agenda::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Actual availability of a balancer.
#[derive(Clone, Debug, Default)]
pub struct ActualAvailability {
    /// Labels that budgets group it by.
    pub labels: BTreeSet<Label>,
    /// Since when it does not serve; `None` if it does.
    pub unavailable_since: Option<Nanos>,
    /// Whether that was caused under a lease.
    pub by_lease: bool,
}

/// Leases that are granted now.
pub struct Grant<'a> {
    /// Time of the grant.
    pub now: Nanos,
    /// Time after which a balancer that a fault made unavailable must have been detected.
    pub detection_time: Nanos,
    /// Balancers that were leased before.
    pub leased: &'a BTreeSet<String>,
    /// Balancers that are leased now.
    pub new: &'a BTreeSet<String>,
}

impl Grant<'_> {
    /// Whether a balancer counts as unavailable after the grant.
    fn is_unavailable(&self, name: &str, availability: &ActualAvailability) -> bool {
        let is_detected = availability.unavailable_since.is_some_and(|since| {
            availability.by_lease || self.now.saturating_sub(since) > self.detection_time
        });
        is_detected || self.leased.contains(name) || self.new.contains(name)
    }
}

/// Usage of a budget by a group.
#[derive(Default)]
struct GroupUsage<'a> {
    size: u32,
    unavailable: Vec<&'a str>,
    /// Whether the grant makes a balancer of the group unavailable that serves.
    is_affected: bool,
}

/// Violations of budgets by a grant: groups of which more balancers become unavailable than their budgets permit.
pub fn judge_grant(
    budgets: &DisruptionBudgets,
    balancers: &BTreeMap<String, ActualAvailability>,
    grant: &Grant<'_>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for budget in &budgets.budgets {
        for (group, usage) in usage_by_group(budget, balancers, grant) {
            let limit = budget.limit(usage.size);
            if usage.is_affected && usage.unavailable.len() > limit as usize {
                violations.push(format!(
                    "budget {} of {group:?}: {} out of {}, {limit} may be: {:?}, given {:?}",
                    budget.name,
                    usage.unavailable.len(),
                    usage.size,
                    usage.unavailable,
                    grant.new
                ));
            }
        }
    }
    violations
}

fn usage_by_group<'a>(
    budget: &'a DisruptionBudget,
    balancers: &'a BTreeMap<String, ActualAvailability>,
    grant: &Grant<'_>,
) -> BTreeMap<&'a str, GroupUsage<'a>> {
    let mut groups: BTreeMap<&str, GroupUsage<'_>> = BTreeMap::new();
    for (name, availability) in balancers {
        for group in budget.groups(ResourceKind::Balancer, &availability.labels) {
            let usage = groups.entry(group).or_default();
            usage.size += 1;
            if grant.is_unavailable(name, availability) {
                usage.unavailable.push(name);
            }
            usage.is_affected |= grant.new.contains(name) && availability.unavailable_since.is_none();
        }
    }
    groups
}
