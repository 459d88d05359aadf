//! Task of a supervisor: reports on its instances, and writes the rollout's next state if no other supervisor does.
use crate::unix_ms;
use coordination::state_machine::SessionId;
use coordination_server::client::ClientHandle;
use coordination_server::random_id;
use disruption::conditional_write::put_ephemeral;
use disruption::{ConditionalWrite, FleetSnapshot};
use disruption_agent::agent::GrantedLease;
use disruption_agent::informer::Informer;
use disruption_agent::store::{write, StoreError, WriteOutcome};
use rollout::keys::report_key;
use rollout::{InstanceReport, RolloutSnapshot, Transition};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// Interval at which the agent looks for a due transition during a rollout. No change of the store announces a due check.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the agent looks for a due transition without a rollout in progress: an instance may appear that runs the
/// wrong build.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum delay before a transition is written that another agent could write as well; the maximum is twice as long.
const ASSIST_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed read or write.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of reports in one write.
const MAX_REPORTS_PER_WRITE: usize = 64;
/// Capacity of the channels between the handle and the task. A lease that does not fit is confirmed when its grant is
/// returned again.
const CHANNEL_CAPACITY: usize = 1_024;

/// Reports by instance name.
type Reports = BTreeMap<String, InstanceReport>;

/// Event for a supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// The snapshot has changed.
    SnapshotChanged,
    /// A lease was confirmed, or could not be.
    LeaseConfirmed(LeaseConfirmation),
}

/// Confirmation of a lease by a read of the rollout from a majority after the grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfirmation {
    /// Lease.
    pub lease: GrantedLease,
    /// Whether the read succeeded; otherwise the lease must not be used.
    pub is_usable: bool,
}

/// Handle to the rollout agent of a supervisor. The task ends when the handle is dropped.
pub struct RolloutAgent {
    snapshot: watch::Receiver<RolloutSnapshot>,
    reports: watch::Sender<Reports>,
    unconfirmed: mpsc::Sender<GrantedLease>,
    confirmed: mpsc::Receiver<LeaseConfirmation>,
}

impl RolloutAgent {
    /// Spawns the agent on the current `LocalSet`. `fleet` is the fleet as the lease agent follows it.
    pub fn spawn(client: ClientHandle, fleet: watch::Receiver<FleetSnapshot>) -> RolloutAgent {
        let (snapshot_sender, snapshot) = watch::channel(RolloutSnapshot::default());
        let (reports, report_receiver) = watch::channel(Reports::new());
        let (unconfirmed, unconfirmed_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (confirmed_sender, confirmed) = mpsc::channel(CHANNEL_CAPACITY);
        let task = AgentTask {
            informer: Informer::new(client.clone()),
            client,
            fleet,
            reports: report_receiver,
            snapshots: snapshot_sender,
            unconfirmed: unconfirmed_receiver,
            confirmed: confirmed_sender,
            written_reports: Reports::new(),
            session: None,
            assist_at: None,
            retry_at: None,
        };
        tokio::task::spawn_local(task.run());
        RolloutAgent { snapshot, reports, unconfirmed, confirmed }
    }

    /// The latest snapshot. Must not be held across an `await`.
    pub fn snapshot(&self) -> watch::Ref<'_, RolloutSnapshot> {
        self.snapshot.borrow()
    }

    /// Reads the snapshot from a majority before a lease is used; [`AgentEvent::LeaseConfirmed`] follows. Returns `false` if that
    /// is not possible now.
    pub fn confirm_lease(&self, lease: &GrantedLease) -> bool {
        self.unconfirmed.try_send(lease.clone()).is_ok()
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next_event(&mut self) -> AgentEvent {
        tokio::select! {
            Ok(()) = self.snapshot.changed() => AgentEvent::SnapshotChanged,
            Some(confirmation) = self.confirmed.recv() => AgentEvent::LeaseConfirmed(confirmation),
            // The task does not end before this handle is dropped.
            else => std::future::pending().await,
        }
    }

    /// Sets the reports on this machine's instances; empty to report nothing.
    pub fn set_reports(&self, reports: BTreeMap<String, InstanceReport>) {
        self.reports.send_if_modified(|current| {
            let differs = *current != reports;
            if differs {
                *current = reports;
            }
            differs
        });
    }
}

struct AgentTask {
    informer: Informer<RolloutSnapshot>,
    client: ClientHandle,
    fleet: watch::Receiver<FleetSnapshot>,
    reports: watch::Receiver<Reports>,
    snapshots: watch::Sender<RolloutSnapshot>,
    unconfirmed: mpsc::Receiver<GrantedLease>,
    confirmed: mpsc::Sender<LeaseConfirmation>,
    /// Reports written under `session`.
    written_reports: Reports,
    session: Option<SessionId>,
    /// Time at which this agent writes the due transition.
    assist_at: Option<Instant>,
    retry_at: Option<Instant>,
}

impl AgentTask {
    async fn run(mut self) {
        loop {
            if self.step().await {
                continue;
            }
            let is_unfinished = self.informer.snapshot().unfinished().is_some();
            let interval = if is_unfinished { POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
            tokio::select! {
                () = self.informer.next() => self.publish(),
                changed = self.reports.changed() => if changed.is_err() {
                    return;
                },
                Some(lease) = self.unconfirmed.recv() => self.confirm_lease(lease).await,
                () = sleep_until(Instant::now() + interval) => {}
            }
        }
    }

    /// Publishes the informer's snapshot to the handle.
    fn publish(&self) {
        self.snapshots.send_replace(self.informer.snapshot().clone());
    }

    /// Reads the snapshot, so that all that was written before the grant is known when the lease is used.
    async fn confirm_lease(&mut self, lease: GrantedLease) {
        let read = self.informer.read_consistent().await.map(|_| ());
        if let Err(error) = &read {
            info!("release: snapshot not read: {error}");
        }
        self.publish();
        // Both channels have the same capacity, so there is room.
        let _ = self.confirmed.try_send(LeaseConfirmation { lease, is_usable: read.is_ok() });
    }

    /// Makes one step. Returns whether another one may follow at once.
    async fn step(&mut self) -> bool {
        let now = Instant::now();
        if self.retry_at.is_some_and(|at| now < at) {
            return false;
        }
        let Some((session, _)) = self.client.active_session() else { return false };
        if self.session != Some(session) {
            // Reports of an earlier session are deleted with it.
            self.session = Some(session);
            self.written_reports.clear();
        }
        let reports = self.next_reports();
        if reports.is_empty() {
            return self.advance_state(now).await;
        }
        self.write_reports(session, reports).await;
        true
    }

    fn on_failure(&mut self, error: &StoreError) {
        info!("release: read or write of the rollout agent failed: {error}");
        self.retry_at = Some(Instant::now() + RETRY_DELAY);
    }

    /// Reports to write next.
    fn next_reports(&mut self) -> Reports {
        let reports = self.reports.borrow_and_update();
        let is_changed =
            |(name, report): &(&String, &InstanceReport)| self.written_reports.get(*name) != Some(report);
        let changed = reports.iter().filter(is_changed).take(MAX_REPORTS_PER_WRITE);
        changed.map(|(name, report)| (name.clone(), report.clone())).collect()
    }

    async fn write_reports(&mut self, session: SessionId, reports: Reports) {
        let ops = reports.iter().map(|(name, report)| put_ephemeral(report_key(name), report)).collect();
        match write(&self.client, ConditionalWrite::while_session_alive(session, ops)).await {
            WriteOutcome::Committed(_) => self.written_reports.extend(reports),
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed(error) => self.on_failure(&error),
        }
    }

    /// Returns the transition that follows from a snapshot.
    fn transition(&self, snapshot: &RolloutSnapshot) -> Option<Transition> {
        snapshot.next_transition(&self.fleet.borrow(), unix_ms())
    }

    /// Writes the transition that is due, unless another agent does so first. Returns whether another step may follow at once.
    async fn advance_state(&mut self, now: Instant) -> bool {
        if self.transition(self.informer.snapshot()).is_none() {
            self.assist_at = None;
            return false;
        }
        let jitter = ASSIST_DELAY.mul_f64((random_id() % 1024) as f64 / 1024.0);
        if now < *self.assist_at.get_or_insert(now + ASSIST_DELAY + jitter) {
            return false;
        }
        self.assist_at = None;
        // Transitions are decided on a snapshot that is read from a majority now, not on the last known one.
        let snapshot = match self.informer.read_consistent().await {
            Ok(snapshot) => snapshot.clone(),
            Err(error) => {
                self.on_failure(&error);
                return true;
            }
        };
        if let Some(Transition { state, write: change }) = self.transition(&snapshot) {
            match write(&self.client, change).await {
                WriteOutcome::Committed(_) => {
                    info!(release = snapshot.rollout_number(), "release: {}", state.summary());
                }
                WriteOutcome::Conflict => {}
                WriteOutcome::Failed(error) => self.on_failure(&error),
            }
        }
        // If this read fails, the watch reports the change.
        let _ = self.informer.read_consistent().await;
        self.publish();
        true
    }
}
