//! A supervisor's part on the real record: it says what it starts its instances from, and writes the state that follows where
//! nobody else has.
use crate::{informer, unix_ms, RolloutProjection};
use coordination::state_machine::{Compare, Op, SessionId};
use coordination_server::client::ClientHandle;
use coordination_server::random_id;
use disruption::{ConditionalWrite, FleetSnapshot as Fleet};
use disruption_agent::agent::GrantedLease;
use disruption_agent::informer::{write, Informer, WriteOutcome};
use rollout::snapshot::{report_key, InstanceReport, RolloutSnapshot};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// How often it is looked whether a state follows: the gate's looks are not news of the record.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// What others could write as well is left to them for so long, and up to twice that.
const ASSIST_DELAY: Duration = Duration::from_millis(200);
/// After a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Most places that one write says.
const MAX_REPORTS_PER_WRITE: usize = 64;

/// A handle to the agent.
pub struct RolloutAgent {
    snapshot: watch::Receiver<RolloutSnapshot>,
    reports: watch::Sender<BTreeMap<String, InstanceReport>>,
    confirmations: mpsc::Sender<GrantedLease>,
    confirmed: mpsc::Receiver<(GrantedLease, bool)>,
}

/// News for a supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// The record's part has changed.
    SnapshotChanged,
    /// The record was read from a majority after this leave had been given; `false`: it could not be.
    LeaseConfirmed(GrantedLease, bool),
}

/// Leaves that wait to be confirmed; one that finds no room is told of again.
const CHANNEL_CAPACITY: usize = 1_024;

impl RolloutAgent {
    /// Begins one, in a local set of tasks. `fleet` is the record's part of outages, as its agent follows it.
    pub fn spawn(council: ClientHandle, fleet: watch::Receiver<Fleet>) -> RolloutAgent {
        let (show, board) = watch::channel(RolloutSnapshot::default());
        let (places, said) = watch::channel(BTreeMap::new());
        let (confirms, asked) = mpsc::channel(CHANNEL_CAPACITY);
        let (tell, confirmed) = mpsc::channel(CHANNEL_CAPACITY);
        let task = Task {
            informer: informer(council.clone()),
            council,
            fleet,
            reports: said,
            snapshots: show,
            confirmations: asked,
            confirmed: tell,
            written_reports: BTreeMap::new(),
            session: None,
            assist_at: None,
            retry_at: None,
        };
        tokio::task::spawn_local(task.run());
        RolloutAgent { snapshot: board, reports: places, confirmations: confirms, confirmed }
    }

    /// The record's part, as it was last heard of; not to be held while anything is waited for.
    pub fn snapshot(&self) -> watch::Ref<'_, RolloutSnapshot> {
        self.snapshot.borrow()
    }

    /// Has the record read before this leave is used. `false`: it can't be now.
    pub fn confirm_lease(&self, given: &GrantedLease) -> bool {
        self.confirmations.try_send(given.clone()).is_ok()
    }

    /// Waits for news. May be dropped and called again.
    pub async fn next_event(&mut self) -> AgentEvent {
        tokio::select! {
            // The task ends with this handle, and not before.
            Ok(()) = self.snapshot.changed() => AgentEvent::SnapshotChanged,
            Some((given, done)) = self.confirmed.recv() => AgentEvent::LeaseConfirmed(given, done),
            else => std::future::pending().await,
        }
    }

    /// What is to be said of this machine's instances; empty: nothing.
    pub fn set_reports(&self, places: BTreeMap<String, InstanceReport>) {
        self.reports.send_if_modified(|now| {
            let differs = *now != places;
            if differs {
                *now = places;
            }
            differs
        });
    }
}

struct Task {
    informer: Informer<RolloutProjection>,
    council: ClientHandle,
    fleet: watch::Receiver<Fleet>,
    reports: watch::Receiver<BTreeMap<String, InstanceReport>>,
    snapshots: watch::Sender<RolloutSnapshot>,
    confirmations: mpsc::Receiver<GrantedLease>,
    confirmed: mpsc::Sender<(GrantedLease, bool)>,
    /// What this session has written.
    written_reports: BTreeMap<String, InstanceReport>,
    session: Option<SessionId>,
    assist_at: Option<Instant>,
    retry_at: Option<Instant>,
}

impl Task {
    async fn run(mut self) {
        loop {
            if !self.step().await {
                let unfinished = self.informer.snapshot().0.unfinished().is_some();
                // A release that is over is looked at as well: one may turn up on the wrong build.
                let wake = Instant::now() + if unfinished { POLL_INTERVAL } else { 10 * POLL_INTERVAL };
                tokio::select! {
                    () = self.informer.next() => drop(self.snapshots.send_replace(self.informer.snapshot().0.clone())),
                    changed = self.reports.changed() => if changed.is_err() {
                        return;
                    },
                    Some(given) = self.confirmations.recv() => self.confirm_lease(given).await,
                    () = sleep_until(wake) => {}
                }
            }
        }
    }

    /// Reads the record, so that what was written before a leave was given is known when it is used.
    async fn confirm_lease(&mut self, given: GrantedLease) {
        let read = self.informer.read_consistent().await.map(|_| ());
        if let Err(why) = &read {
            info!("release: not read: {why}");
        }
        self.snapshots.send_replace(self.informer.snapshot().0.clone());
        // There is room: no more are asked for than may wait.
        let _ = self.confirmed.try_send((given, read.is_ok()));
    }

    /// One step; whether another may follow at once.
    async fn step(&mut self) -> bool {
        let now = Instant::now();
        let Some((session, _)) =
            self.council.active_session().filter(|_| self.retry_at.is_none_or(|at| now >= at))
        else {
            return false;
        };
        if self.session != Some(session) {
            // What an earlier session has said ended with it.
            (self.session, self.written_reports) = (Some(session), BTreeMap::new());
        }
        if let Some((plan, then)) = self.next_reports(session) {
            match write(&self.council, plan).await {
                WriteOutcome::Committed(_) => self.written_reports.extend(then),
                WriteOutcome::Conflict => {}
                WriteOutcome::Failed(why) => self.failed(&why),
            }
            return true;
        }
        self.advance_state(now).await
    }

    fn failed(&mut self, why: &str) {
        info!("release: not written: {why}");
        self.retry_at = Some(Instant::now() + RETRY_DELAY);
    }

    /// The next write of what is not in the record as it is.
    fn next_reports(
        &mut self,
        session: SessionId,
    ) -> Option<(ConditionalWrite, BTreeMap<String, InstanceReport>)> {
        let said = self.reports.borrow_and_update().clone();
        if said.is_empty() {
            return None;
        }
        let differs =
            |(unit, place): &(&String, &InstanceReport)| self.written_reports.get(*unit) != Some(place);
        let then: BTreeMap<String, InstanceReport> = said
            .iter()
            .filter(differs)
            .take(MAX_REPORTS_PER_WRITE)
            .map(|(u, p)| (u.clone(), p.clone()))
            .collect();
        let put = |(unit, place): (&String, &InstanceReport)| {
            let value = serde_json::to_string(place).unwrap_or_default();
            Op::Put { key: report_key(unit), value, ephemeral: true }
        };
        let plan = ConditionalWrite {
            compares: vec![Compare::SessionAlive(session)],
            ops: then.iter().map(put).collect(),
        };
        (!then.is_empty()).then_some((plan, then))
    }

    /// Writes the state that follows, unless somebody else does in time.
    async fn advance_state(&mut self, now: Instant) -> bool {
        let follows = |board: &RolloutSnapshot, fleet: &Fleet| board.next_transition(fleet, unix_ms());
        if follows(&self.informer.snapshot().0, &self.fleet.borrow()).is_none() {
            self.assist_at = None;
            return false;
        }
        let spread = ASSIST_DELAY.mul_f64((random_id() % 1024) as f64 / 1024.0);
        if now < *self.assist_at.get_or_insert(now + ASSIST_DELAY + spread) {
            return false;
        }
        self.assist_at = None;
        // Decided on what a majority has now, and not on what was heard of last.
        let board = match self.informer.read_consistent().await {
            Ok(board) => board.0.clone(),
            Err(reason) => {
                self.failed(&reason);
                return true;
            }
        };
        let next = follows(&board, &self.fleet.borrow());
        if let Some((state, plan)) = next {
            match write(&self.council, plan).await {
                WriteOutcome::Committed(_) => {
                    let number = board.plan.as_ref().map_or(0, |p| p.value.spec.number);
                    info!(release = number, "release: {}", state.summary());
                }
                WriteOutcome::Conflict => {}
                WriteOutcome::Failed(why) => self.failed(&why),
            }
        }
        let _ = self.informer.read_consistent().await;
        self.snapshots.send_replace(self.informer.snapshot().0.clone());
        true
    }
}
