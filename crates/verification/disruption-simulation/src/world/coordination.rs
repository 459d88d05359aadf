//! The coordination store: sessions, writes and notifications.
use super::event::{SessionHolder, SimEvent};
use super::state::ProcessPhase;
use super::{millis, name, zone, World, TTL};
use crate::judge::{self, ActualAvailability, Grant};
use coordination::state_machine::{Command, Op, Outcome, SessionId, Transaction};
use coordination::CLOCK_DRIFT_FRACTION;
use disruption::keys::{lease_key, KEY_PREFIX};
use disruption::{BalancerEntry, ConditionalWrite, FleetSnapshot, Projection, ResourceId};
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// Drift of clocks that sessions allow for.
const CLOCK_DRIFT: Nanos = TTL / CLOCK_DRIFT_FRACTION as u64;
/// Interval at which a partitioned holder tries to renew its session, in milliseconds.
const RENEW_RETRY_MS: f64 = 300.0;
/// Maximum age of a snapshot that a decision rests on, in milliseconds.
const MAX_READ_AGE_MS: f64 = 2_500.0;

impl World {
    /// Snapshot of the fleet in the store.
    pub(super) fn fleet_snapshot(&self) -> FleetSnapshot {
        let items: Vec<_> =
            self.store.with_prefix(KEY_PREFIX).map(|(key, item)| (key.to_string(), item.clone())).collect();
        FleetSnapshot::from_items(self.store.revision(), &items)
    }

    /// Opens a session.
    pub(super) fn open_session(&mut self, name: &str) -> SessionId {
        self.nonce_count += 1;
        let open = Command::OpenSession {
            name: name.into(),
            nonce: self.nonce_count,
            ttl_ms: TTL / 1_000_000,
            take_over: true,
        };
        match self.store.apply(&open) {
            Outcome::SessionOpened(id) => id,
            _ => 0,
        }
    }

    /// Whether the holder of a session and the voters can reach each other.
    pub(super) fn is_reachable(&self, holder: SessionHolder) -> bool {
        let (m, is_connected) = match holder {
            SessionHolder::Supervisor(m, _) => (m, self.machines[m].supervisor_partitions == 0),
            SessionHolder::Balancer(m, ..) => (m, true),
        };
        is_connected && self.machines[m].machine_partitions == 0 && self.coordination_outages == 0
    }

    /// Brings a snapshot of the fleet up to date.
    pub(super) fn catch_up(&self, snapshot: &mut FleetSnapshot) {
        match self.store.events_since(snapshot.revision).filter(|_| snapshot.revision > 0) {
            Some(events) => {
                for event in events.filter(|event| event.key.starts_with(KEY_PREFIX)) {
                    snapshot.apply(&event.key, event.value.as_deref(), event.revision);
                }
                snapshot.advance_to(self.store.revision());
            }
            None => *snapshot = self.fleet_snapshot(),
        }
    }

    /// Notifies all supervisors of a change of the store.
    pub(super) fn notify_watchers(&mut self) {
        for m in 0..self.machines.len() {
            let delay = self.draw_delay();
            let now = self.event_queue.now();
            let Some(supervisor) = &mut self.machines[m].supervisor else { continue };
            if !std::mem::replace(&mut supervisor.is_notified, true) {
                let incarnation = supervisor.incarnation;
                self.event_queue.schedule_at(now + delay, SimEvent::SnapshotChanged(m, incarnation));
            }
        }
    }

    /// Sends a request to open or renew a session, and schedules the next one.
    pub(super) fn renew_session(&mut self, holder: SessionHolder) {
        let is_alive = match holder {
            SessionHolder::Supervisor(m, incarnation) => self.supervisor(m, incarnation).is_some(),
            SessionHolder::Balancer(m, k, p) => self.machines[m].balancers[k].processes.contains_key(&p.0),
        };
        if !is_alive {
            return;
        }
        let sent_at = self.event_queue.now();
        if self.is_reachable(holder) {
            let delay = self.draw_delay();
            self.event_queue.schedule_after(delay, SimEvent::SessionRenewed(holder, sent_at));
        }
        let interval = if self.is_reachable(holder) { TTL / 3 } else { nanos_from_ms(RENEW_RETRY_MS) };
        self.event_queue.schedule_after(interval, SimEvent::RenewSession(holder));
    }

    /// A renewal reaches the store, and its response the holder at the same time, so that the response is never early.
    pub(super) fn session_renewed(&mut self, holder: SessionHolder, sent_at: Nanos) {
        if !self.is_reachable(holder) {
            return;
        }
        let now = self.event_queue.now();
        let (current, holder_name) = match holder {
            SessionHolder::Supervisor(m, incarnation) => {
                let Some(supervisor) = self.supervisor(m, incarnation) else { return };
                (supervisor.session.map(|(id, _)| id), format!("supervisor/m{m}"))
            }
            SessionHolder::Balancer(m, k, p) => {
                let Some(process) = self.machines[m].balancers[k].processes.get(&p.0) else { return };
                if process.phase == ProcessPhase::HandedOver {
                    return;
                }
                (process.session, format!("balancer/{}", name(m, k)))
            }
        };
        let session = match current.filter(|&id| self.store.session(id).is_some()) {
            Some(id) => id,
            None => {
                let id = self.open_session(&holder_name);
                self.notify_watchers();
                id
            }
        };
        self.renewed_at.insert(session, now);
        self.event_queue.schedule_at(now + TTL + CLOCK_DRIFT, SimEvent::SessionExpires(session, now));
        match holder {
            SessionHolder::Supervisor(m, incarnation) => {
                let Some(supervisor) = self.supervisor(m, incarnation) else { return };
                supervisor.session = Some((session, sent_at + TTL - CLOCK_DRIFT));
                self.step_lease_agent(m);
            }
            SessionHolder::Balancer(m, k, p) => {
                if let Some(process) = self.machines[m].balancers[k].processes.get_mut(&p.0) {
                    process.session = Some(session);
                }
                self.report_status(m, k, p.0);
            }
        }
    }

    /// A session expires unless it was renewed after this time.
    pub(super) fn session_expires(&mut self, session: SessionId, renewed_at: Nanos) {
        if self.renewed_at.get(&session) != Some(&renewed_at) {
            return;
        }
        self.renewed_at.remove(&session);
        self.store.apply(&Command::ExpireSession { session });
        self.notify_watchers();
    }

    /// Executes a write under a session, with the session's next sequence number. Returns whether it was committed.
    pub(super) fn transact(&mut self, session: SessionId, write: ConditionalWrite) -> bool {
        let last = self.store.session(session).and_then(|s| s.last_transaction.as_ref());
        let sequence = last.map_or(1, |(sequence, _)| sequence + 1);
        let transaction = Transaction { session, sequence, compares: write.compares, ops: write.ops };
        matches!(self.store.apply(&Command::Transaction(transaction)), Outcome::Committed(_))
    }

    /// Executes a write of a lease agent, and judges the leases that it grants.
    pub(super) fn execute_write(&mut self, m: usize, incarnation: u64, write: ConditionalWrite) {
        self.report.writes += 1;
        let Some(session) = self.supervisor(m, incarnation).and_then(|s| s.session).map(|(id, _)| id) else {
            return;
        };
        let lease_prefix = lease_key(&ResourceId::balancer(""));
        let leased_balancer = |op: &Op| {
            let (Op::Put { key, .. } | Op::Delete(key)) = op;
            key.strip_prefix(lease_prefix.as_str()).map(str::to_string)
        };
        let before: BTreeSet<String> =
            self.fleet_snapshot().leases.keys().map(|id| id.name.clone()).collect();
        let new: BTreeSet<String> =
            write.ops.iter().filter_map(leased_balancer).filter(|name| !before.contains(name)).collect();
        let text = format!("m{m} writes {:?}", write.ops);
        if !self.transact(session, write) {
            return;
        }
        self.trace(|| text);
        if !new.is_empty() {
            self.report.leases_granted += new.len() as u64;
            self.judge_grants(&before, &new);
        }
        self.notify_watchers();
    }

    /// Judges newly granted leases by the actual availability of the balancers.
    fn judge_grants(&mut self, leased: &BTreeSet<String>, new: &BTreeSet<String>) {
        let mut balancers = BTreeMap::new();
        for (m, machine) in self.machines.iter().enumerate() {
            let entry = BalancerEntry {
                machine: format!("m{m}"),
                zone: zone(m).into(),
                tier: "front".into(),
                down: false,
            };
            for (k, balancer) in machine.balancers.iter().enumerate() {
                let availability = ActualAvailability {
                    labels: entry.labels(),
                    unavailable_since: balancer.unavailable_since,
                    by_lease: balancer.by_lease,
                };
                balancers.insert(name(m, k), availability);
            }
        }
        // The session of a process that is gone expires by then, and snapshots from before that are no longer used.
        let detection_time = TTL + CLOCK_DRIFT + nanos_from_ms(MAX_READ_AGE_MS);
        let now = self.event_queue.now();
        let grant = Grant { now, detection_time, leased, new };
        let violations = judge::judge_grant(&self.plan.budgets, &balancers, &grant);
        let text = |violation: String| format!("at {} ms: {violation}", millis(now));
        self.report.violations.extend(violations.into_iter().map(text));
    }
}
