//! The coordination store: sessions, writes and notifications.
use super::event::{SessionHolder, SimEvent};
use super::state::ProcessPhase;
use super::{name, zone, World, TTL};
use crate::judge::{self, Truth};
use coordination::state_machine::{Command, Op, Outcome, SessionId, Transaction};
use coordination::CLOCK_DRIFT_FRACTION;
use disruption::keys::KEY_PREFIX;
use disruption::{BalancerEntry, ConditionalWrite, FleetSnapshot, Projection};
use fleet_simulation::agenda::{ms, Nanos};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    pub(super) fn fleet_snapshot(&self) -> FleetSnapshot {
        let items: Vec<(String, coordination::state_machine::VersionedValue)> =
            self.store.with_prefix(KEY_PREFIX).map(|(key, item)| (key.to_string(), item.clone())).collect();
        FleetSnapshot::from_items(self.store.revision(), &items)
    }

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

    /// Whether a supervisor, or a balancer, reaches the voters.
    pub(super) fn is_reachable(&self, holder: SessionHolder) -> bool {
        let (m, own) = match holder {
            SessionHolder::Supervisor(m, _) => (m, self.machines[m].supervisor_partitions == 0),
            SessionHolder::Balancer(m, ..) => (m, true),
        };
        own && self.machines[m].machine_partitions == 0 && self.coordination_outages == 0
    }

    pub(super) fn catch_up(&self, board: &mut FleetSnapshot) {
        match self.store.events_since(board.revision).filter(|_| board.revision > 0) {
            Some(changes) => {
                for c in changes.filter(|c| c.key.starts_with(KEY_PREFIX)) {
                    board.apply(&c.key, c.value.as_deref(), c.revision);
                }
                board.revision = board.revision.max(self.store.revision());
            }
            None => *board = self.fleet_snapshot(),
        }
    }

    /// The record has changed: all who watch it hear of that.
    pub(super) fn notify_watchers(&mut self) {
        for m in 0..self.machines.len() {
            let delay = self.draw_delay();
            let now = self.agenda.now();
            let Some(supervisor) = &mut self.machines[m].supervisor else { continue };
            if !std::mem::replace(&mut supervisor.is_notified, true) {
                let incarnation = supervisor.incarnation;
                self.agenda.at(now + delay, SimEvent::SnapshotChanged(m, incarnation));
            }
        }
    }

    /// A session is to be opened or renewed; it reaches the record a moment later, if anything does.
    pub(super) fn renew_session(&mut self, holder: SessionHolder) {
        let alive = match holder {
            SessionHolder::Supervisor(m, incarnation) => self.supervisor(m, incarnation).is_some(),
            SessionHolder::Balancer(m, k, p) => self.machines[m].balancers[k].processes.contains_key(&p.0),
        };
        if !alive {
            return;
        }
        let sent = self.agenda.now();
        if self.is_reachable(holder) {
            let delay = self.draw_delay();
            self.agenda.after(delay, SimEvent::SessionRenewed(holder, sent));
        }
        let again = if self.is_reachable(holder) { TTL / 3 } else { ms(300.0) };
        self.agenda.after(again, SimEvent::RenewSession(holder));
    }

    /// A renewal reached the record, and its answer who sent it: one moment for both, so that the answer is never early.
    pub(super) fn session_renewed(&mut self, holder: SessionHolder, sent: Nanos) {
        if !self.is_reachable(holder) {
            return;
        }
        let now = self.agenda.now();
        let (has, named) = match holder {
            SessionHolder::Supervisor(m, incarnation) => {
                let Some(supervisor) = self.supervisor(m, incarnation) else { return };
                (supervisor.session.map(|(id, _)| id), format!("supervisor/m{m}"))
            }
            SessionHolder::Balancer(m, k, p) => {
                let Some(proc) = self.machines[m].balancers[k].processes.get(&p.0) else { return };
                if proc.phase == ProcessPhase::HandedOver {
                    return;
                }
                (proc.session, format!("balancer/{}", name(m, k)))
            }
        };
        let session = match has.filter(|&id| self.store.session(id).is_some()) {
            Some(id) => id,
            None => {
                let id = self.open_session(&named);
                self.notify_watchers();
                id
            }
        };
        self.renewed_at.insert(session, now);
        self.agenda
            .at(now + TTL + TTL / u64::from(CLOCK_DRIFT_FRACTION), SimEvent::SessionExpires(session, now));
        match holder {
            SessionHolder::Supervisor(m, incarnation) => {
                let Some(supervisor) = self.supervisor(m, incarnation) else { return };
                supervisor.session = Some((session, sent + TTL - TTL / u64::from(CLOCK_DRIFT_FRACTION)));
                self.step_lease_agent(m);
            }
            SessionHolder::Balancer(m, k, p) => {
                if let Some(proc) = self.machines[m].balancers[k].processes.get_mut(&p.0) {
                    proc.session = Some(session);
                }
                self.report_status(m, k, p.0);
            }
        }
    }

    /// Makes a write of the record, as its client does it: numbered by its session.
    /// Executes a write under a session, with the session's next sequence number. Returns whether it was committed.
    pub(super) fn transact(&mut self, session: SessionId, write: ConditionalWrite) -> bool {
        let last = self.store.session(session).and_then(|s| s.last_transaction.as_ref());
        let sequence = last.map_or(1, |(sequence, _)| sequence + 1);
        let transaction = Transaction { session, sequence, compares: write.compares, ops: write.ops };
        matches!(self.store.apply(&Command::Transaction(transaction)), Outcome::Committed(_))
    }

    pub(super) fn execute_write(&mut self, m: usize, incarnation: u64, plan: ConditionalWrite) {
        self.report.writes += 1;
        let Some(session) = self.supervisor(m, incarnation).and_then(|s| s.session).map(|(id, _)| id) else {
            return;
        };
        let number =
            self.store.session(session).and_then(|s| s.last_transaction.as_ref()).map_or(1, |(n, _)| n + 1);
        let leave = |change: &Op| {
            let (Op::Put { key, .. } | Op::Delete(key)) = change;
            key.strip_prefix("outage/leave/balancer/").map(str::to_string)
        };
        let before: BTreeSet<String> =
            self.fleet_snapshot().leases.keys().map(|id| id.name.clone()).collect();
        let new: BTreeSet<String> =
            plan.ops.iter().filter_map(leave).filter(|n| !before.contains(n)).collect();
        let write = Transaction { session, sequence: number, compares: plan.compares, ops: plan.ops };
        let text = format!("m{m} writes {:?}", write.ops);
        if let Outcome::Committed(_) = self.store.apply(&Command::Transaction(write)) {
            self.trace(|| text);
            if !new.is_empty() {
                self.report.leases_granted += new.len() as u64;
                self.judge_grants(&before, &new);
            }
            self.notify_watchers();
        }
    }

    pub(super) fn judge_grants(&mut self, leaves: &BTreeSet<String>, new: &BTreeSet<String>) {
        let mut units = BTreeMap::new();
        for (m, machine) in self.machines.iter().enumerate() {
            let unit = BalancerEntry {
                machine: format!("m{m}"),
                zone: zone(m).into(),
                tier: "front".into(),
                down: false,
            };
            for (k, b) in machine.balancers.iter().enumerate() {
                units.insert(
                    name(m, k),
                    Truth { labels: unit.labels(), out: b.unavailable_since, by_act: b.by_lease },
                );
            }
        }
        // A session ends at the latest so long after its holder has; what was read before that is a moment old.
        let unheard = TTL + TTL / u64::from(CLOCK_DRIFT_FRACTION) + ms(2_500.0);
        let now = self.agenda.now();
        let wrong = judge::given(now, &self.plan.budgets, &units, leaves, new, unheard);
        self.report.violations.extend(wrong.into_iter().map(|w| format!("at {} ms: {w}", now / 1_000_000)));
    }
}
