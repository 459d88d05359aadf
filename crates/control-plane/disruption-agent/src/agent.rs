//! Task that runs a supervisor's [`LeaseAgent`] against the coordination service.
use crate::informer::Informer;
use crate::store::{write, StoreError, WriteOutcome};
use coordination::state_machine::SessionId;
use coordination_server::client::{boottime_now, ClientHandle};
pub use disruption::lease_agent::GrantedLease;
use disruption::lease_agent::{LeaseAgent, Step};
use disruption::{BalancerEntry, ConditionalWrite, DisruptionKind, FleetSnapshot};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tracing::info;

/// Capacity of the channels between the handle and the task.
const CHANNEL_CAPACITY: usize = 2_048;

/// Command of the supervisor to the task.
#[derive(Clone, Debug)]
enum AgentCommand {
    Request { balancer: String, kind: DisruptionKind, reason: String, override_reason: Option<String> },
    MarkUnused { balancer: String },
    Release { balancer: String, replaced: bool },
    SetBalancers(BTreeMap<String, BalancerEntry>),
}

/// Handle to the lease agent of a supervisor. The task ends when the handle is dropped.
pub struct LeaseAgentHandle {
    commands: mpsc::Sender<AgentCommand>,
    grants: mpsc::Receiver<GrantedLease>,
    client: ClientHandle,
    snapshot: watch::Receiver<FleetSnapshot>,
}

impl LeaseAgentHandle {
    /// Spawns the agent of the supervisor with the name `owner` on the current `LocalSet`.
    pub fn spawn(client: ClientHandle, owner: &str) -> LeaseAgentHandle {
        let (commands, command_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (grant_sender, grants) = mpsc::channel(CHANNEL_CAPACITY);
        let (snapshot_sender, snapshot) = watch::channel(FleetSnapshot::default());
        let task = AgentTask {
            informer: Informer::new(client.clone()),
            client: client.clone(),
            lease_agent: LeaseAgent::new(owner, coordination_server::random_id()),
            grants: grant_sender,
            snapshots: snapshot_sender,
        };
        tokio::task::spawn_local(task.run(command_receiver));
        LeaseAgentHandle { commands, grants, client, snapshot }
    }

    fn send(&self, command: AgentCommand) {
        if let Err(error) = self.commands.try_send(command) {
            info!("outage: command not passed to the lease agent: {error}");
        }
    }

    /// Requests a lease for a balancer; [`LeaseAgentHandle::next`] returns it once it is granted. `override_reason` is an
    /// operator's reason to exceed budgets.
    pub fn request(&self, balancer: &str, kind: DisruptionKind, reason: &str, override_reason: Option<&str>) {
        self.send(AgentCommand::Request {
            balancer: balancer.into(),
            kind,
            reason: reason.into(),
            override_reason: override_reason.map(Into::into),
        });
    }

    /// Reports that a lease was not used because it was granted too late. It is returned again if it is still valid.
    pub fn mark_unused(&self, balancer: &str) {
        self.send(AgentCommand::MarkUnused { balancer: balancer.into() });
    }

    /// Releases the lease for a balancer. If `replaced`, another process is to serve, and the lease ends only once that process is
    /// ready.
    pub fn release(&self, balancer: &str, replaced: bool) {
        self.send(AgentCommand::Release { balancer: balancer.into(), replaced });
    }

    /// Replaces the list of balancers of this machine.
    pub fn set_balancers(&self, balancers: BTreeMap<String, BalancerEntry>) {
        self.send(AgentCommand::SetBalancers(balancers));
    }

    /// Waits for the next granted lease. Cancel safe.
    pub async fn next(&mut self) -> GrantedLease {
        match self.grants.recv().await {
            Some(grant) => grant,
            // The task does not end before this handle is dropped.
            None => std::future::pending().await,
        }
    }

    /// Whether the lease may be acted on now: its session is active by this machine's clock, so no conflicting
    /// lease can have been granted to another owner.
    pub fn is_active(&self, lease: &GrantedLease) -> bool {
        self.session() == Some(lease.session)
    }

    /// The active session, if there is one.
    pub fn session(&self) -> Option<SessionId> {
        self.client.active_session().map(|(session, _)| session)
    }

    /// Whether the session is active, which means that the coordination service is reachable.
    pub fn is_connected(&self) -> bool {
        self.session().is_some()
    }

    /// Receiver of the latest snapshot, for use without a copy.
    pub fn subscribe(&self) -> watch::Receiver<FleetSnapshot> {
        self.snapshot.clone()
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> FleetSnapshot {
        self.snapshot.borrow().clone()
    }
}

/// Continuation of the task after a step.
enum Next {
    /// Take the next step immediately.
    Continue,
    /// Wait for a change, or until this time since boot.
    Wait(Option<Duration>),
}

struct AgentTask {
    informer: Informer,
    client: ClientHandle,
    lease_agent: LeaseAgent,
    grants: mpsc::Sender<GrantedLease>,
    snapshots: watch::Sender<FleetSnapshot>,
}

impl AgentTask {
    async fn run(mut self, mut commands: mpsc::Receiver<AgentCommand>) {
        let mut session_state = self.client.session_state();
        loop {
            // All pending commands are handled before anything is written.
            while let Ok(command) = commands.try_recv() {
                self.handle(command);
            }
            let timeout = match self.step().await {
                Next::Wait(until) => until.map(|at| at.saturating_sub(boottime_now())),
                Next::Continue => continue,
            };
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = self.informer.next() => self.publish(),
                changed = session_state.changed() => if changed.is_err() {
                    return;
                },
                () = async { sleep(timeout.unwrap_or(Duration::MAX)).await }, if timeout.is_some() => {}
            }
        }
    }

    fn handle(&mut self, command: AgentCommand) {
        match command {
            AgentCommand::Request { balancer, kind, reason, override_reason } => {
                self.lease_agent.request(&balancer, kind, &reason, override_reason);
            }
            AgentCommand::MarkUnused { balancer } => self.lease_agent.mark_unused(&balancer),
            AgentCommand::Release { balancer, replaced } => self.lease_agent.release(&balancer, replaced),
            AgentCommand::SetBalancers(balancers) => self.lease_agent.set_balancers(balancers),
        }
    }

    /// Publishes the informer's snapshot to the handle.
    fn publish(&self) {
        self.snapshots.send_replace(self.informer.snapshot().clone());
    }

    async fn step(&mut self) -> Next {
        let session = self.client.active_session().map(|(session, _)| session);
        let mut grants = Vec::new();
        let mut step = self.lease_agent.next(boottime_now(), session, self.informer.snapshot(), &mut grants);
        for grant in grants {
            // A grant that does not fit into the channel is returned again under the next session.
            let _ = self.grants.try_send(grant);
        }
        if step == Step::ReadConsistent {
            step = match self.informer.read_consistent().await {
                Ok(snapshot) => self.lease_agent.on_consistent_read(boottime_now(), snapshot),
                Err(error) => {
                    info!("outage: snapshot not read: {error}");
                    self.lease_agent.on_failure(boottime_now());
                    return Next::Continue;
                }
            };
        }
        match step {
            Step::Wait(until) => Next::Wait(until),
            Step::ReadConsistent => Next::Continue,
            Step::Write { write, description } => {
                if let Some(description) = description {
                    info!("outage: {description}");
                }
                if let Err(error) = self.execute(write).await {
                    info!("outage: write, or the read after it, failed: {error}");
                    self.lease_agent.on_failure(boottime_now());
                }
                self.publish();
                Next::Continue
            }
        }
    }

    /// Executes a write, and then reads the snapshot again, whether or not the write succeeded.
    ///
    /// # Errors
    /// The write failed, or the read after a write that was executed or conflicted.
    async fn execute(&mut self, change: ConditionalWrite) -> Result<(), StoreError> {
        let outcome = write(&self.client, change).await;
        let read = self.informer.read_consistent().await.map(|_| ());
        match outcome {
            WriteOutcome::Failed(error) => Err(error),
            WriteOutcome::Committed(_) | WriteOutcome::Conflict => read,
        }
    }
}
