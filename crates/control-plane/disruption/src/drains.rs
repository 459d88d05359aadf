//! Drains of upstreams: confirmation that nothing is in flight, recall below `min_available`, and removal of unused upstream
//! lists.
use crate::availability::{AvailabilityView, GroupKey};
use crate::conditional_write::{put, ConditionalWrite};
use crate::keys::{endpoint_list_key, lease_key};
use crate::messages::{DisruptionLease, DrainedEndpoints};
use crate::projection::Versioned;
use crate::snapshot::FleetSnapshot;
use crate::{ResourceId, ResourceKind, MAX_RESOURCES_PER_WRITE};
use coordination::state_machine::{Compare, Op};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A drain that is recalled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecalledDrain {
    /// Drained upstream.
    pub resource: ResourceId,
    /// Reason, for operators.
    pub reason: String,
}

/// The write that recalls drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecall {
    /// Write.
    pub write: ConditionalWrite,
    /// Recalled drains.
    pub drains: Vec<RecalledDrain>,
}

impl FleetSnapshot {
    /// Leases of upstreams.
    pub fn drains(&self) -> impl Iterator<Item = (&ResourceId, &Versioned<DisruptionLease>)> {
        self.leases.iter().filter(|(resource, _)| resource.kind == ResourceKind::Upstream)
    }

    /// Recalls drains where a group is below its `min_available`: the newest first, as many as are needed to reach it.
    /// Drains that have not been reported as complete end at once; in the others a recall reason is stored, for which their
    /// owners are to end them.
    pub fn recall_drains(&self) -> Option<DrainRecall> {
        let view = AvailabilityView::of(self);
        let usage_by_group = view.budget_usage();
        let shortages = usage_by_group.iter().map(|(&key, usage)| (key, usage.shortage()));
        let mut shortages: BTreeMap<GroupKey<'_>, u32> = shortages.filter(|&(_, n)| n > 0).collect();
        let mut drains: Vec<_> = self.drains().collect();
        // Sorted by grant, not by version: the later write that reports a drain as complete must not make it count as newer.
        drains.sort_by_key(|(_, lease)| Reverse(lease.value.fencing_token));
        let mut recall = DrainRecall { write: ConditionalWrite::default(), drains: Vec::new() };
        for (resource, lease) in drains {
            let Some(key) = relieve_shortage(&view, resource, &mut shortages) else { continue };
            let is_recalled = lease.value.recall_reason.is_some();
            if is_recalled || recall.drains.len() >= MAX_RESOURCES_PER_WRITE {
                continue;
            }
            let budget = &view.budgets[key.budget];
            let reason = format!(
                "{} is below the floor of {} of budget {}",
                key.group, budget.min_available, budget.name
            );
            recall.write.compares.push(Compare::Version(lease_key(resource), lease.version));
            recall.write.ops.push(recall_op(resource, &lease.value, &reason));
            recall.drains.push(RecalledDrain { resource: resource.clone(), reason });
        }
        (!recall.drains.is_empty()).then_some(recall)
    }

    /// The write that deletes upstream lists that no observations refer to, if there are any.
    pub fn remove_unused_lists(&self) -> Option<ConditionalWrite> {
        let used: BTreeSet<&str> = self.observations.values().map(|o| o.value.list_hash.as_str()).collect();
        let unused = self.endpoint_lists.iter().filter(|(hash, _)| !used.contains(hash.as_str()));
        let mut write = ConditionalWrite::default();
        for (hash, list) in unused.take(MAX_RESOURCES_PER_WRITE) {
            write.compares.push(Compare::Version(endpoint_list_key(hash), list.version));
            write.ops.push(Op::Delete(endpoint_list_key(hash)));
        }
        (!write.is_empty()).then_some(write)
    }

    /// Balancers that have not yet confirmed that a drained upstream has no requests in flight, for operators. The drain is
    /// complete when there are none.
    pub fn pending_confirmations(&self, upstream: &ResourceId) -> Vec<String> {
        let Some(lease) = self.leases.get(upstream) else { return Vec::new() };
        let token = lease.value.fencing_token;
        let confirms =
            |drained: &DrainedEndpoints| drained.fencing_tokens.get(&upstream.name) == Some(&token);
        let mut pending = Vec::new();
        for (name, entry) in &self.balancers {
            // A process that has exited has no requests in flight, and its supervisor reports the exit. A balancer that is
            // missing may have some.
            let is_confirmed = self.drained.get(name).is_some_and(|drained| confirms(&drained.value));
            let has_session = self.statuses.contains_key(name);
            if is_confirmed || !has_session && entry.value.down {
                continue;
            }
            pending.push(if has_session { name.clone() } else { format!("{name} (not heard of)") });
        }
        for (process, drained) in &self.predecessor_drained {
            if !confirms(&drained.value) {
                pending.push(format!("{process} (ends what it has)"));
            }
        }
        pending
    }
}

/// Subtracts a drain that would end from the shortages of the upstream's groups. Returns the last group whose shortage it
/// reduces, if any.
fn relieve_shortage<'a>(
    view: &'a AvailabilityView<'_>,
    resource: &ResourceId,
    shortages: &mut BTreeMap<GroupKey<'a>, u32>,
) -> Option<GroupKey<'a>> {
    // An upstream that is unavailable for another reason as well would not become available.
    if view.unavailable.get(resource).is_none_or(|reasons| reasons.len() != 1) {
        return None;
    }
    let mut relieved = None;
    for key in view.groups_of(resource) {
        if let Some(shortage) = shortages.get_mut(&key).filter(|shortage| **shortage > 0) {
            *shortage -= 1;
            relieved = Some(key);
        }
    }
    relieved
}

fn recall_op(resource: &ResourceId, lease: &DisruptionLease, reason: &str) -> Op {
    if lease.drained {
        put(lease_key(resource), &DisruptionLease { recall_reason: Some(reason.into()), ..lease.clone() })
    } else {
        Op::Delete(lease_key(resource))
    }
}
