//! A supervisor's agent on the real record: what `disruption::agent` wants is written and read here.
use crate::informer::{write, Informer, WriteOutcome};
use coordination::state_machine::SessionId;
use coordination_server::client::{boottime_now, ClientHandle};
pub use disruption::lease_agent::GrantedLease;
use disruption::lease_agent::{LeaseAgent as Machine, Step};
use disruption::{BalancerEntry, DisruptionKind, FleetSnapshot};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tracing::info;

/// Wishes and news that may wait.
const CHANNEL_CAPACITY: usize = 2_048;

/// What the supervisor wants.
#[derive(Clone, Debug)]
enum AgentCommand {
    Request { unit: String, act: DisruptionKind, why: String, overrides: Option<String> },
    MarkUnused { unit: String },
    Release { unit: String, acted: bool },
    SetBalancers(BTreeMap<String, BalancerEntry>),
}

/// A handle to the agent.
pub struct LeaseAgentHandle {
    commands: mpsc::Sender<AgentCommand>,
    grants: mpsc::Receiver<GrantedLease>,
    council: ClientHandle,
    snapshot: watch::Receiver<FleetSnapshot>,
}

impl LeaseAgentHandle {
    /// Begins one for a supervisor, which is known by this name, in a local set of tasks.
    pub fn spawn(council: ClientHandle, owner: &str) -> LeaseAgentHandle {
        let (wishes, wished) = mpsc::channel(CHANNEL_CAPACITY);
        let (tell, given) = mpsc::channel(CHANNEL_CAPACITY);
        let (show, board) = watch::channel(FleetSnapshot::default());
        let machine = Machine::new(owner, coordination_server::random_id());
        let follow = Informer::new(council.clone());
        let task = Task {
            informer: follow,
            council: council.clone(),
            lease_agent: machine,
            grants: tell,
            snapshots: show,
        };
        tokio::task::spawn_local(task.run(wished));
        LeaseAgentHandle { commands: wishes, grants: given, council, snapshot: board }
    }

    fn send(&self, wish: AgentCommand) {
        if let Err(e) = self.commands.try_send(wish) {
            info!("outage: {e}");
        }
    }

    /// Asks for leave. Told by [`LeaseAgentHandle::next`], perhaps much later. `overrides`: an operator's reason to go over what budgets
    /// allow.
    pub fn request(&self, unit: &str, act: DisruptionKind, why: &str, overrides: Option<&str>) {
        self.send(AgentCommand::Request {
            unit: unit.into(),
            act,
            why: why.into(),
            overrides: overrides.map(Into::into),
        });
    }

    /// Nothing was done by this leave: it came too late. It is told of again if it is still good.
    pub fn mark_unused(&self, unit: &str) {
        self.send(AgentCommand::MarkUnused { unit: unit.into() });
    }

    /// The leave is not wanted any more. `acted`: another process is to come, and the leave ends once that was seen.
    pub fn release(&self, unit: &str, acted: bool) {
        self.send(AgentCommand::Release { unit: unit.into(), acted });
    }

    /// The balancers that this machine has, all of them.
    pub fn set_balancers(&self, units: BTreeMap<String, BalancerEntry>) {
        self.send(AgentCommand::SetBalancers(units));
    }

    /// Waits for the next leave. May be dropped and called again.
    pub async fn next(&mut self) -> GrantedLease {
        match self.grants.recv().await {
            Some(given) => given,
            // The task never ends before this handle.
            None => std::future::pending().await,
        }
    }

    /// Whether something may be done by this leave at this moment: its session is held, by this machine's own clock, and so
    /// nobody else can have been given what it allows.
    pub fn is_active(&self, given: &GrantedLease) -> bool {
        self.council.active_session().is_some_and(|(session, _)| session == given.session)
    }

    /// The session that is held now.
    pub fn session(&self) -> Option<SessionId> {
        self.council.active_session().map(|(session, _)| session)
    }

    /// Whether the council is heard: its session is held.
    pub fn is_connected(&self) -> bool {
        self.council.active_session().is_some()
    }

    /// The record's part as it is heard of, to be looked at without a copy.
    pub fn subscribe(&self) -> watch::Receiver<FleetSnapshot> {
        self.snapshot.clone()
    }

    /// The record's part, as it was last heard of.
    pub fn snapshot(&self) -> FleetSnapshot {
        self.snapshot.borrow().clone()
    }
}

struct Task {
    informer: Informer,
    council: ClientHandle,
    lease_agent: Machine,
    grants: mpsc::Sender<GrantedLease>,
    snapshots: watch::Sender<FleetSnapshot>,
}

impl Task {
    async fn run(mut self, mut wished: mpsc::Receiver<AgentCommand>) {
        let mut standing = self.council.session_state();
        loop {
            // All that waits, before anything is written.
            while let Ok(wish) = wished.try_recv() {
                self.handle(wish);
            }
            let wake = match self.step().await {
                Some(wake) => wake.map(|at| at.saturating_sub(boottime_now())),
                None => continue,
            };
            tokio::select! {
                wish = wished.recv() => match wish {
                    Some(wish) => self.handle(wish),
                    None => return,
                },
                () = self.informer.next() => drop(self.snapshots.send_replace(self.informer.snapshot().clone())),
                changed = standing.changed() => if changed.is_err() {
                    return;
                },
                () = async { sleep(wake.unwrap_or(Duration::MAX)).await }, if wake.is_some() => {}
            }
        }
    }

    fn handle(&mut self, wish: AgentCommand) {
        match wish {
            AgentCommand::Request { unit, act, why, overrides } => {
                self.lease_agent.request(&unit, act, &why, overrides)
            }
            AgentCommand::MarkUnused { unit } => self.lease_agent.mark_unused(&unit),
            AgentCommand::Release { unit, acted } => self.lease_agent.release(&unit, acted),
            AgentCommand::SetBalancers(units) => self.lease_agent.set_balancers(units),
        }
    }

    /// One step. `None`: another may follow at once; else until when to wait.
    async fn step(&mut self) -> Option<Option<Duration>> {
        let session = self.council.active_session().map(|(session, _)| session);
        let mut given = Vec::new();
        let mut step = self.lease_agent.next(boottime_now(), session, self.informer.snapshot(), &mut given);
        for given in given {
            // There is room: each leave is told once, and one that its supervisor does not take is told with the next session.
            let _ = self.grants.try_send(given);
        }
        if step == Step::ReadConsistent {
            step = match self.informer.read_consistent().await {
                Ok(board) => self.lease_agent.on_consistent_read(boottime_now(), board),
                Err(why) => {
                    info!("outage: not read: {why}");
                    self.lease_agent.on_failure(boottime_now());
                    return None;
                }
            };
        }
        match step {
            Step::Wait(until) => Some(until),
            Step::ReadConsistent => None,
            Step::Write(plan, what) => {
                if let Some(what) = what {
                    info!("outage: {what}");
                }
                let wrote = write(&self.council, plan).await;
                let fresh = self.informer.read_consistent().await.map(|_| ());
                if let (WriteOutcome::Failed(why), _) | (_, Err(why)) = (wrote, fresh) {
                    info!("outage: not written: {why}");
                    self.lease_agent.on_failure(boottime_now());
                }
                self.snapshots.send_replace(self.informer.snapshot().clone());
                None
            }
        }
    }
}
