//! State machine that acquires and releases disruption leases for a supervisor, and does its share of the work that any process
//! may do. It performs no I/O: the caller passes the snapshot and the time, and executes the returned writes.
//!
//! Every write is conditional on the state that it was decided on. Work that another agent could do as well is delayed by a
//! random time, so that usually only one of them does it.
mod own;
mod shared;

use crate::conditional_write::ConditionalWrite;
use crate::messages::{BalancerEntry, DisruptionKind};
use crate::snapshot::FleetSnapshot;
use crate::ResourceId;
use coordination::state_machine::SessionId;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum delay before an agent does work that another agent could do as well; the maximum is twice as long.
pub const ASSIST_DELAY: Duration = Duration::from_millis(300);
/// A drain is reported as complete after no confirmation was pending for this long.
pub const DRAIN_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Delay after a failed read or write.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which a lease of an earlier process of the same supervisor is released, if no action under it was observed. An
/// action of that process is visible in the store much sooner.
pub const ADOPTED_LEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// A lease that was granted to this supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// Name of the balancer.
    pub balancer: String,
    /// Kind of the disruption.
    pub kind: DisruptionKind,
    /// Fencing token: of two leases for one balancer the later has the greater one.
    pub fencing_token: u64,
    /// Session that must be active whenever something is done under the lease.
    pub session: SessionId,
}

/// Next step of a [`LeaseAgent`].
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Execute the write, read the snapshot again and call [`LeaseAgent::next`].
    Write {
        /// Write.
        write: ConditionalWrite,
        /// Log message; `None` for routine writes.
        description: Option<String>,
    },
    /// Read the snapshot from a majority and call [`LeaseAgent::on_consistent_read`].
    ReadConsistent,
    /// Wait until something changes, or until this time.
    Wait(Option<Duration>),
}

/// Intent of the supervisor for one balancer.
#[derive(Clone, Debug)]
enum LeaseIntent {
    /// Acquire and hold a lease.
    Acquire {
        kind: DisruptionKind,
        reason: String,
        override_reason: Option<String>,
        /// Fencing token and session of the lease that the supervisor was last notified of.
        notified: Option<(u64, SessionId)>,
    },
    /// Release the lease.
    Release {
        /// Whether another process is to serve; in that case the lease ends only once that process is ready.
        replaced: bool,
    },
}

/// Identifies one drain of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DrainId {
    resource: ResourceId,
    fencing_token: u64,
}

/// Acquires and releases disruption leases for a supervisor, and does its share of the work that any agent may do. See the
/// [module documentation](self).
pub struct LeaseAgent {
    owner: String,
    random: Pcg64Mcg,
    /// Intents by balancer name.
    intents: BTreeMap<String, LeaseIntent>,
    /// Balancers of the machine; `None` until they are known.
    balancers: Option<BTreeMap<String, BalancerEntry>>,
    /// Leases of an earlier process by balancer name, with the time of their adoption.
    adopted: BTreeMap<String, Duration>,
    /// Time at which this agent does the pending shared work, unless another agent has done it by then.
    assist_at: Option<Duration>,
    /// Drains with a limited duration, with the time at which they were first seen.
    timed_drains: BTreeMap<DrainId, Duration>,
    /// Drains without pending confirmations, with the time at which this was first observed.
    idle_drains: BTreeMap<DrainId, Duration>,
    /// No step is taken before this time.
    retry_at: Duration,
}

impl LeaseAgent {
    /// Creates an agent for the supervisor with the name `owner`. `seed` seeds the random delays.
    pub fn new(owner: &str, seed: u64) -> LeaseAgent {
        LeaseAgent {
            owner: owner.into(),
            random: Pcg64Mcg::seed_from_u64(seed),
            intents: BTreeMap::new(),
            balancers: None,
            adopted: BTreeMap::new(),
            assist_at: None,
            timed_drains: BTreeMap::new(),
            idle_drains: BTreeMap::new(),
            retry_at: Duration::ZERO,
        }
    }

    /// Requests a lease for a balancer. `override_reason` is an operator's reason to exceed budgets.
    pub fn request(
        &mut self,
        balancer: &str,
        kind: DisruptionKind,
        reason: &str,
        override_reason: Option<String>,
    ) {
        let reason = reason.into();
        let intent = LeaseIntent::Acquire { kind, reason, override_reason, notified: None };
        self.intents.insert(balancer.into(), intent);
    }

    /// Reports that nothing was done under a lease because its session was not active when the notification arrived. The lease
    /// is still needed; the supervisor is notified again once the session is active.
    pub fn mark_unused(&mut self, balancer: &str) {
        if let Some(LeaseIntent::Acquire { notified, .. }) = self.intents.get_mut(balancer) {
            *notified = None;
        }
    }

    /// Releases the lease for a balancer. `replaced` states whether another process is to serve; in that case the lease ends
    /// only once that process is ready.
    pub fn release(&mut self, balancer: &str, replaced: bool) {
        self.intents.insert(balancer.into(), LeaseIntent::Release { replaced });
    }

    /// Sets the complete list of the machine's balancers.
    pub fn set_balancers(&mut self, balancers: BTreeMap<String, BalancerEntry>) {
        self.balancers = Some(balancers);
    }

    /// Reports that a read or write failed.
    pub fn on_failure(&mut self, now: Duration) {
        self.retry_at = now + RETRY_DELAY;
    }

    /// Returns the next step. `session` is the active session, `snapshot` the last known one. Newly granted leases are appended
    /// to `grants`, each once.
    pub fn next(
        &mut self,
        now: Duration,
        session: Option<SessionId>,
        snapshot: &FleetSnapshot,
        grants: &mut Vec<GrantedLease>,
    ) -> Step {
        let Some(session) = session.filter(|_| snapshot.revision > 0) else { return Step::Wait(None) };
        if now < self.retry_at {
            return Step::Wait(Some(self.retry_at));
        }
        if let Some(write) = self.own_write(now, session, snapshot) {
            return Step::Write { write, description: None };
        }
        self.notify_grants(session, snapshot, grants);
        self.shared_step(now, snapshot)
    }

    /// Returns the next step after [`Step::ReadConsistent`], for a snapshot that was just read from a majority.
    pub fn on_consistent_read(&mut self, now: Duration, snapshot: &FleetSnapshot) -> Step {
        match snapshot.grants() {
            Some(grants) => {
                let description =
                    format!("leases are granted for the requests {}", grants.request_ids.join(", "));
                Step::Write { write: grants.write, description: Some(description) }
            }
            // Another agent has granted the leases meanwhile, or the budgets no longer permit them.
            None => Step::Wait(Some(now + RETRY_DELAY)),
        }
    }

    /// Id of the request for a balancer.
    fn request_id(&self, balancer: &str) -> String {
        format!("{}/{balancer}", self.owner)
    }

    /// Notifies the supervisor of granted leases of which it was not notified yet.
    fn notify_grants(
        &mut self,
        session: SessionId,
        snapshot: &FleetSnapshot,
        grants: &mut Vec<GrantedLease>,
    ) {
        for (balancer, intent) in &mut self.intents {
            let LeaseIntent::Acquire { notified, .. } = intent else { continue };
            let Some(lease) = snapshot.leases.get(&ResourceId::balancer(balancer)).map(|l| &l.value) else {
                continue;
            };
            let current = (lease.fencing_token, session);
            let is_own = lease.owner == self.owner && lease.session == session;
            if !is_own || *notified == Some(current) {
                continue;
            }
            *notified = Some(current);
            grants.push(GrantedLease {
                balancer: balancer.clone(),
                kind: lease.kind,
                fencing_token: lease.fencing_token,
                session,
            });
        }
    }
}
