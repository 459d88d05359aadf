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
    wishes: mpsc::Sender<AgentCommand>,
    given: mpsc::Receiver<GrantedLease>,
    council: ClientHandle,
    board: watch::Receiver<FleetSnapshot>,
}

impl LeaseAgentHandle {
    /// Begins one for a supervisor, which is known by this name, in a local set of tasks.
    pub fn begin(council: ClientHandle, owner: &str) -> LeaseAgentHandle {
        let (wishes, wished) = mpsc::channel(CHANNEL_CAPACITY);
        let (tell, given) = mpsc::channel(CHANNEL_CAPACITY);
        let (show, board) = watch::channel(FleetSnapshot::default());
        let machine = Machine::new(owner, coordination_server::random_id());
        let follow = Informer::new(council.clone());
        let task = Task { follow, council: council.clone(), machine, tell, show };
        tokio::task::spawn_local(task.run(wished));
        LeaseAgentHandle { wishes, given, council, board }
    }

    fn wish(&self, wish: AgentCommand) {
        if let Err(e) = self.wishes.try_send(wish) {
            info!("outage: {e}");
        }
    }

    /// Asks for leave. Told by [`LeaseAgentHandle::next`], perhaps much later. `overrides`: an operator's reason to go over what budgets
    /// allow.
    pub fn ask(&self, unit: &str, act: DisruptionKind, why: &str, overrides: Option<&str>) {
        self.wish(AgentCommand::Request {
            unit: unit.into(),
            act,
            why: why.into(),
            overrides: overrides.map(Into::into),
        });
    }

    /// Nothing was done by this leave: it came too late. It is told of again if it is still good.
    pub fn unused(&self, unit: &str) {
        self.wish(AgentCommand::MarkUnused { unit: unit.into() });
    }

    /// The leave is not wanted any more. `acted`: another process is to come, and the leave ends once that was seen.
    pub fn give_back(&self, unit: &str, acted: bool) {
        self.wish(AgentCommand::Release { unit: unit.into(), acted });
    }

    /// The balancers that this machine has, all of them.
    pub fn units(&self, units: BTreeMap<String, BalancerEntry>) {
        self.wish(AgentCommand::SetBalancers(units));
    }

    /// Waits for the next leave. May be dropped and called again.
    pub async fn next(&mut self) -> GrantedLease {
        match self.given.recv().await {
            Some(given) => given,
            // The task never ends before this handle.
            None => std::future::pending().await,
        }
    }

    /// Whether something may be done by this leave at this moment: its session is held, by this machine's own clock, and so
    /// nobody else can have been given what it allows.
    pub fn may(&self, given: &GrantedLease) -> bool {
        self.council.active_session().is_some_and(|(session, _)| session == given.session)
    }

    /// The session that is held now.
    pub fn session(&self) -> Option<SessionId> {
        self.council.active_session().map(|(session, _)| session)
    }

    /// Whether the council is heard: its session is held.
    pub fn heard(&self) -> bool {
        self.council.active_session().is_some()
    }

    /// The record's part as it is heard of, to be looked at without a copy.
    pub fn follows(&self) -> watch::Receiver<FleetSnapshot> {
        self.board.clone()
    }

    /// The record's part, as it was last heard of.
    pub fn board(&self) -> FleetSnapshot {
        self.board.borrow().clone()
    }
}

struct Task {
    follow: Informer,
    council: ClientHandle,
    machine: Machine,
    tell: mpsc::Sender<GrantedLease>,
    show: watch::Sender<FleetSnapshot>,
}

impl Task {
    async fn run(mut self, mut wished: mpsc::Receiver<AgentCommand>) {
        let mut standing = self.council.session_state();
        loop {
            // All that waits, before anything is written.
            while let Ok(wish) = wished.try_recv() {
                self.take(wish);
            }
            let wake = match self.act().await {
                Some(wake) => wake.map(|at| at.saturating_sub(boottime_now())),
                None => continue,
            };
            tokio::select! {
                wish = wished.recv() => match wish {
                    Some(wish) => self.take(wish),
                    None => return,
                },
                () = self.follow.next() => drop(self.show.send_replace(self.follow.board().clone())),
                changed = standing.changed() => if changed.is_err() {
                    return;
                },
                () = async { sleep(wake.unwrap_or(Duration::MAX)).await }, if wake.is_some() => {}
            }
        }
    }

    fn take(&mut self, wish: AgentCommand) {
        match wish {
            AgentCommand::Request { unit, act, why, overrides } => {
                self.machine.ask(&unit, act, &why, overrides)
            }
            AgentCommand::MarkUnused { unit } => self.machine.unused(&unit),
            AgentCommand::Release { unit, acted } => self.machine.give_back(&unit, acted),
            AgentCommand::SetBalancers(units) => self.machine.units(units),
        }
    }

    /// One step. `None`: another may follow at once; else until when to wait.
    async fn act(&mut self) -> Option<Option<Duration>> {
        let session = self.council.active_session().map(|(session, _)| session);
        let mut given = Vec::new();
        let mut step = self.machine.next(boottime_now(), session, self.follow.board(), &mut given);
        for given in given {
            // There is room: each leave is told once, and one that its supervisor does not take is told with the next session.
            let _ = self.tell.try_send(given);
        }
        if step == Step::ReadConsistent {
            step = match self.follow.fresh().await {
                Ok(board) => self.machine.decided(boottime_now(), board),
                Err(why) => {
                    info!("outage: not read: {why}");
                    self.machine.failed(boottime_now());
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
                let fresh = self.follow.fresh().await.map(|_| ());
                if let (WriteOutcome::Failed(why), _) | (_, Err(why)) = (wrote, fresh) {
                    info!("outage: not written: {why}");
                    self.machine.failed(boottime_now());
                }
                self.show.send_replace(self.follow.board().clone());
                None
            }
        }
    }
}
