//! Release and adoption of leases, and registration of balancers.
use crate::conditional_write::{put, ConditionalWrite};
use crate::keys::{balancer_key, lease_key, status_key};
use crate::messages::{BalancerEntry, DisruptionLease, InstanceState};
use crate::snapshot::FleetSnapshot;
use crate::{ResourceId, ResourceKind};
use coordination::state_machine::{Compare, Op, SessionId};
use std::collections::BTreeMap;

/// A lease whose owner's session has ended, so that no process can act on it any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrphanedLease {
    /// Leased resource.
    pub resource: ResourceId,
    /// Write that deletes the lease.
    pub write: ConditionalWrite,
}

impl FleetSnapshot {
    /// Whether a balancer is in service again since this lease was granted: it reports that it is ready, as another process if
    /// the disruption replaces the process.
    pub fn is_back_in_service(&self, resource: &ResourceId, lease: &DisruptionLease) -> bool {
        let Some(status) = self.statuses.get(&resource.name) else { return false };
        resource.kind == ResourceKind::Balancer
            && status.value.state == InstanceState::Ready
            && (!lease.kind.replaces_process() || status.value.session > lease.previous_session)
    }

    /// The write that deletes a balancer's lease, if the balancer is in service. `unused` is the owner's statement that it has
    /// not acted on the lease and will not.
    pub fn release_lease(&self, resource: &ResourceId, unused: bool) -> Option<ConditionalWrite> {
        let lease = self.leases.get(resource)?;
        let status = self.statuses.get(&resource.name)?;
        let unused_and_ready = unused && status.value.state == InstanceState::Ready;
        let in_service = self.is_back_in_service(resource, &lease.value) || unused_and_ready;
        // Only the owner can distinguish a completed reload from one that has not started.
        let may_end = in_service && (lease.value.kind.replaces_process() || unused);
        may_end.then(|| ConditionalWrite {
            compares: vec![
                Compare::Version(lease_key(resource), lease.version),
                Compare::Version(status_key(&resource.name), status.version),
            ],
            ops: vec![Op::Delete(lease_key(resource))],
        })
    }

    /// Leases of balancers that are ready, as far as they do not belong to the current session of their owner.
    pub fn orphaned_leases(&self) -> Vec<OrphanedLease> {
        let mut orphaned = Vec::new();
        for (resource, lease) in &self.leases {
            if resource.kind != ResourceKind::Balancer || self.owner_is_active(&lease.value) {
                continue;
            }
            let status = self.statuses.get(&resource.name);
            let Some(status) = status.filter(|s| s.value.state == InstanceState::Ready) else { continue };
            let write = ConditionalWrite {
                compares: vec![
                    Compare::Version(lease_key(resource), lease.version),
                    Compare::Version(status_key(&resource.name), status.version),
                    Compare::SessionEnded(lease.value.session),
                ],
                ops: vec![Op::Delete(lease_key(resource))],
            };
            orphaned.push(OrphanedLease { resource: resource.clone(), write });
        }
        orphaned
    }

    /// The write by which a later process of `owner` takes over a lease of an earlier one, if there is such a lease.
    pub fn adopt_lease(
        &self,
        resource: &ResourceId,
        owner: &str,
        session: SessionId,
    ) -> Option<ConditionalWrite> {
        let lease = self.leases.get(resource)?;
        if lease.value.owner != owner || lease.value.session == session {
            return None;
        }
        let adopted = DisruptionLease { session, ..lease.value.clone() };
        Some(ConditionalWrite {
            compares: vec![
                Compare::Version(lease_key(resource), lease.version),
                Compare::SessionAlive(session),
            ],
            ops: vec![put(lease_key(resource), &adopted)],
        })
    }

    /// The write that registers the balancers of a machine, if anything differs. Balancers that the machine no longer has are
    /// deleted, unless they are leased.
    pub fn declare_balancers(
        &self,
        machine: &str,
        balancers: &BTreeMap<String, BalancerEntry>,
    ) -> Option<ConditionalWrite> {
        let mut write = ConditionalWrite::default();
        for (name, entry) in balancers {
            if self.balancers.get(name).is_none_or(|known| known.value != *entry) {
                write.ops.push(put(balancer_key(name), entry));
            }
        }
        for (name, entry) in &self.balancers {
            let is_removed = entry.value.machine == machine && !balancers.contains_key(name);
            if is_removed && !self.leases.contains_key(&ResourceId::balancer(name)) {
                write.compares.push(Compare::Version(balancer_key(name), entry.version));
                write.ops.push(Op::Delete(balancer_key(name)));
            }
        }
        (!write.is_empty()).then_some(write)
    }
}
