//! Work that any agent may do: granting leases, deleting orphaned ones, recalling and completing drains.
use super::{DrainId, LeaseAgent, Step, ADOPTED_LEASE_TIMEOUT, ASSIST_DELAY, DRAIN_SETTLE_TIME};
use crate::conditional_write::{put, ConditionalWrite};
use crate::keys::lease_key;
use crate::messages::DisruptionLease;
use crate::projection::Versioned;
use crate::snapshot::FleetSnapshot;
use crate::ResourceId;
use coordination::state_machine::{Compare, Op};
use rand::Rng;
use std::time::Duration;

/// A write that any agent may make, with a message for the log.
struct SharedWrite {
    write: ConditionalWrite,
    description: String,
}

impl LeaseAgent {
    /// Does shared work at once if it grants a lease to this supervisor. Any other shared work is done after a random delay, if
    /// no other agent has done it by then.
    pub(super) fn shared_step(&mut self, now: Duration, snapshot: &FleetSnapshot) -> Step {
        let grants = snapshot.grants();
        let is_own = |id: &String| snapshot.requests.get(id).is_some_and(|r| r.value.owner == self.owner);
        if grants.as_ref().is_some_and(|grants| grants.request_ids.iter().any(is_own)) {
            // Grants are decided on a consistent read, not on the last known snapshot, which may be outdated.
            return Step::ReadConsistent;
        }
        let step = match grants {
            Some(_) => Some(Step::ReadConsistent),
            None => self
                .shared_write(now, snapshot)
                .map(|due| Step::Write { write: due.write, description: Some(due.description) }),
        };
        let Some(step) = step else {
            self.assist_at = None;
            return Step::Wait(self.next_timeout(now, snapshot));
        };
        let random = &mut self.random;
        let assist_at = *self
            .assist_at
            .get_or_insert_with(|| now + ASSIST_DELAY + ASSIST_DELAY.mul_f64(random.gen::<f64>()));
        if now < assist_at {
            return Step::Wait(Some(assist_at));
        }
        self.assist_at = None;
        step
    }

    /// Time at which the next drain ends or is complete, or at which the next adopted lease is released.
    fn next_timeout(&self, now: Duration, snapshot: &FleetSnapshot) -> Option<Duration> {
        let drain_ends = self.timed_drains.iter().filter_map(|(drain, seen_at)| {
            let lease = snapshot.leases.get(&drain.resource)?;
            let is_current = lease.value.fencing_token == drain.fencing_token;
            let duration = lease.value.duration_ms.filter(|_| is_current)?;
            Some(*seen_at + Duration::from_millis(duration))
        });
        let completions = self.idle_drains.values().map(|&since| since + DRAIN_SETTLE_TIME);
        let adopted = self.adopted.values().map(|&since| since + ADOPTED_LEASE_TIMEOUT);
        // Work that is due already waits for another change, which wakes the agent.
        drain_ends.chain(completions).chain(adopted).filter(|&at| at > now).min()
    }

    /// The shared write that is due, if there is one.
    fn shared_write(&mut self, now: Duration, snapshot: &FleetSnapshot) -> Option<SharedWrite> {
        self.track_drains(now, snapshot);
        if let Some(orphaned) = snapshot.orphaned_leases().into_iter().next() {
            let description = format!("the orphaned lease for {} is deleted", orphaned.resource);
            return Some(SharedWrite { write: orphaned.write, description });
        }
        if let Some(recall) = snapshot.recall_drains() {
            let named = recall.drains.iter().map(|drain| format!("{}: {}", drain.resource, drain.reason));
            let description = format!("drains are recalled: {}", named.collect::<Vec<_>>().join("; "));
            return Some(SharedWrite { write: recall.write, description });
        }
        if let Some(write) = snapshot.remove_unused_lists() {
            return Some(SharedWrite { write, description: "unused upstream lists are deleted".into() });
        }
        snapshot.drains().find_map(|(resource, lease)| self.advance_drain(now, snapshot, resource, lease))
    }

    /// Drops the entries of drains and leases that have ended, and stores the time at which drains with a limited duration were
    /// first observed.
    fn track_drains(&mut self, now: Duration, snapshot: &FleetSnapshot) {
        let is_current = |drain: &DrainId| {
            let lease = snapshot.leases.get(&drain.resource);
            lease.is_some_and(|lease| lease.value.fencing_token == drain.fencing_token)
        };
        self.timed_drains.retain(|drain, _| is_current(drain));
        self.idle_drains.retain(|drain, _| is_current(drain));
        self.adopted.retain(|balancer, _| snapshot.leases.contains_key(&ResourceId::balancer(balancer)));
        for (resource, lease) in snapshot.leases.iter().filter(|(_, l)| l.value.duration_ms.is_some()) {
            self.timed_drains.entry(drain_id(resource, lease)).or_insert(now);
        }
    }

    /// Ends a drain whose duration has passed, or reports a drain as complete.
    fn advance_drain(
        &mut self,
        now: Duration,
        snapshot: &FleetSnapshot,
        resource: &ResourceId,
        lease: &Versioned<DisruptionLease>,
    ) -> Option<SharedWrite> {
        let drain = drain_id(resource, lease);
        let shared_write = |op: Op, description: String| SharedWrite {
            write: ConditionalWrite {
                compares: vec![Compare::Version(lease_key(resource), lease.version)],
                ops: vec![op],
            },
            description,
        };
        let duration = lease.value.duration_ms.map(Duration::from_millis);
        let ends_at = self.timed_drains.get(&drain).zip(duration).map(|(&seen_at, limit)| seen_at + limit);
        if ends_at.is_some_and(|at| now >= at) {
            let op = Op::Delete(lease_key(resource));
            return Some(shared_write(op, format!("the drain of {resource} has reached its time limit")));
        }
        if lease.value.drained || !snapshot.pending_confirmations(resource).is_empty() {
            self.idle_drains.remove(&drain);
            return None;
        }
        // The key of a process that has just handed its sockets over appears in the store with a short delay.
        let since = *self.idle_drains.entry(drain).or_insert(now);
        if now < since + DRAIN_SETTLE_TIME {
            return None;
        }
        let drained = DisruptionLease { drained: true, ..lease.value.clone() };
        Some(shared_write(put(lease_key(resource), &drained), format!("{resource} is drained")))
    }
}

fn drain_id(resource: &ResourceId, lease: &Versioned<DisruptionLease>) -> DrainId {
    DrainId { resource: resource.clone(), fencing_token: lease.value.fencing_token }
}
