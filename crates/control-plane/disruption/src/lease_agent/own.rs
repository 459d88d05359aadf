//! Writes that only the supervisor itself makes: its session, its balancers, its requests and its leases.
use super::{LeaseAgent, LeaseIntent, ADOPTED_LEASE_TIMEOUT};
use crate::conditional_write::{put_ephemeral, ConditionalWrite};
use crate::keys::{owner_key, request_key};
use crate::messages::{DisruptionKind, DisruptionLease, LeaseRequest};
use crate::projection::Versioned;
use crate::snapshot::FleetSnapshot;
use crate::{ResourceId, ResourceKind, MAX_RESOURCES_PER_WRITE};
use coordination::state_machine::{Compare, Op, SessionId};
use std::time::Duration;

type OwnLease<'a> = (&'a ResourceId, &'a Versioned<DisruptionLease>);

impl LeaseAgent {
    /// The next write that only this supervisor makes, if there is one.
    pub(super) fn own_write(
        &mut self,
        now: Duration,
        session: SessionId,
        snapshot: &FleetSnapshot,
    ) -> Option<ConditionalWrite> {
        if let Some(write) = self.declare(session, snapshot) {
            return Some(write);
        }
        let leases: Vec<OwnLease<'_>> = snapshot
            .leases
            .iter()
            .filter(|(id, lease)| id.kind == ResourceKind::Balancer && lease.value.owner == self.owner)
            .collect();
        if let Some((resource, _)) = leases.iter().find(|(_, lease)| lease.value.session != session) {
            self.adopted.insert(resource.name.clone(), now);
            return snapshot.adopt_lease(resource, &self.owner, session);
        }
        if let Some(write) = self.release_leases(now, snapshot, &leases) {
            return Some(write);
        }
        let write = self.update_requests(session, snapshot, &leases);
        self.forget_released(snapshot, &leases);
        (!write.is_empty()).then_some(write)
    }

    /// Registers the supervisor's session and its balancers.
    fn declare(&self, session: SessionId, snapshot: &FleetSnapshot) -> Option<ConditionalWrite> {
        if snapshot.owners.get(&self.owner).is_none_or(|owner| owner.value != session) {
            let op = put_ephemeral(owner_key(&self.owner), &session);
            return Some(ConditionalWrite::while_session_alive(session, vec![op]));
        }
        snapshot.declare_balancers(&self.owner, self.balancers.as_ref()?)
    }

    /// Releases the first lease that is no longer needed.
    fn release_leases(
        &mut self,
        now: Duration,
        snapshot: &FleetSnapshot,
        leases: &[OwnLease<'_>],
    ) -> Option<ConditionalWrite> {
        leases.iter().find_map(|(resource, lease)| {
            let unused = match self.intents.get(&resource.name) {
                Some(LeaseIntent::Acquire { .. }) => return None,
                Some(LeaseIntent::Release { replaced }) => !replaced,
                // A lease of an earlier process; it is not known whether that process acted on it.
                None => {
                    let since = *self.adopted.entry(resource.name.clone()).or_insert(now);
                    let same_process = !lease.value.kind.replaces_process()
                        || snapshot.session_of(resource) == lease.value.previous_session;
                    now >= since + ADOPTED_LEASE_TIMEOUT && same_process
                }
            };
            snapshot.release_lease(resource, unused)
        })
    }

    /// Deletes requests that are no longer needed and writes those that are missing.
    fn update_requests(
        &self,
        session: SessionId,
        snapshot: &FleetSnapshot,
        leases: &[OwnLease<'_>],
    ) -> ConditionalWrite {
        let mut write = ConditionalWrite::default();
        for (id, request) in &snapshot.requests {
            let is_own = request.value.owner == self.owner && request.value.session == session;
            let intent = self.intents.get(&request.value.resource.name);
            if is_own && !matches!(intent, Some(LeaseIntent::Acquire { .. })) {
                write.compares.push(Compare::Version(request_key(id), request.version));
                write.ops.push(Op::Delete(request_key(id)));
            }
        }
        let pending =
            self.intents.iter().filter(|(name, _)| !self.is_requested_or_leased(name, snapshot, leases));
        for (balancer, intent) in pending.take(MAX_RESOURCES_PER_WRITE) {
            let LeaseIntent::Acquire { kind, reason, override_reason, .. } = intent else { continue };
            let request = self.lease_request(session, balancer, *kind, reason, override_reason.as_ref());
            write.ops.push(put_ephemeral(request_key(&self.request_id(balancer)), &request));
        }
        write
    }

    fn lease_request(
        &self,
        session: SessionId,
        balancer: &str,
        kind: DisruptionKind,
        reason: &str,
        override_reason: Option<&String>,
    ) -> LeaseRequest {
        LeaseRequest {
            resource: ResourceId::balancer(balancer),
            owner: self.owner.clone(),
            session,
            kind,
            // Requests that override budgets for an operator are decided first.
            priority: u8::from(override_reason.is_some()),
            reason: reason.into(),
            override_reason: override_reason.cloned(),
            duration_ms: None,
        }
    }

    fn is_requested_or_leased(
        &self,
        balancer: &str,
        snapshot: &FleetSnapshot,
        leases: &[OwnLease<'_>],
    ) -> bool {
        snapshot.requests.contains_key(&self.request_id(balancer))
            || leases.iter().any(|(resource, _)| resource.name == balancer)
    }

    /// Drops the intents to release leases that are neither requested nor held any more.
    fn forget_released(&mut self, snapshot: &FleetSnapshot, leases: &[OwnLease<'_>]) {
        let is_released = |(name, intent): &(&String, &LeaseIntent)| {
            matches!(intent, LeaseIntent::Release { .. })
                && !self.is_requested_or_leased(name, snapshot, leases)
        };
        let released: Vec<String> =
            self.intents.iter().filter(is_released).map(|(name, _)| name.clone()).collect();
        for balancer in released {
            self.intents.remove(&balancer);
            self.adopted.remove(&balancer);
        }
    }
}
