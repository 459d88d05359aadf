//! A supervisor's agent on the real record: what `disruption::agent` wants is written and read here.
use crate::follow::{write, Follow, Wrote};
use coordination::record::SessionId;
use coordination_server::client::{now, Council};
pub use disruption::agent::Given;
use disruption::agent::{Agent as Machine, Step};
use disruption::{Act, Board, Unit};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tracing::info;

/// Wishes and news that may wait.
const WAITING: usize = 2_048;

/// What the supervisor wants.
#[derive(Clone, Debug)]
enum Wish {
    Ask { unit: String, act: Act, why: String, overrides: Option<String> },
    Unused { unit: String },
    GiveBack { unit: String, acted: bool },
    Units(BTreeMap<String, Unit>),
}

/// A handle to the agent.
pub struct Agent {
    wishes: mpsc::Sender<Wish>,
    given: mpsc::Receiver<Given>,
    council: Council,
    board: watch::Receiver<Board>,
}

impl Agent {
    /// Begins one for a supervisor, which is known by this name, in a local set of tasks.
    pub fn begin(council: Council, owner: &str) -> Agent {
        let (wishes, wished) = mpsc::channel(WAITING);
        let (tell, given) = mpsc::channel(WAITING);
        let (show, board) = watch::channel(Board::default());
        let machine = Machine::new(owner, coordination_server::draw());
        let follow = Follow::new(council.clone());
        let task = Task { follow, council: council.clone(), machine, tell, show };
        tokio::task::spawn_local(task.run(wished));
        Agent { wishes, given, council, board }
    }

    fn wish(&self, wish: Wish) {
        if let Err(e) = self.wishes.try_send(wish) {
            info!("outage: {e}");
        }
    }

    /// Asks for leave. Told by [`Agent::next`], perhaps much later. `overrides`: an operator's reason to go over what budgets
    /// allow.
    pub fn ask(&self, unit: &str, act: Act, why: &str, overrides: Option<&str>) {
        self.wish(Wish::Ask {
            unit: unit.into(),
            act,
            why: why.into(),
            overrides: overrides.map(Into::into),
        });
    }

    /// Nothing was done by this leave: it came too late. It is told of again if it is still good.
    pub fn unused(&self, unit: &str) {
        self.wish(Wish::Unused { unit: unit.into() });
    }

    /// The leave is not wanted any more. `acted`: another process is to come, and the leave ends once that was seen.
    pub fn give_back(&self, unit: &str, acted: bool) {
        self.wish(Wish::GiveBack { unit: unit.into(), acted });
    }

    /// The balancers that this machine has, all of them.
    pub fn units(&self, units: BTreeMap<String, Unit>) {
        self.wish(Wish::Units(units));
    }

    /// Waits for the next leave. May be dropped and called again.
    pub async fn next(&mut self) -> Given {
        match self.given.recv().await {
            Some(given) => given,
            // The task never ends before this handle.
            None => std::future::pending().await,
        }
    }

    /// Whether something may be done by this leave at this moment: its session is held, by this machine's own clock, and so
    /// nobody else can have been given what it allows.
    pub fn may(&self, given: &Given) -> bool {
        self.council.held().is_some_and(|(session, _)| session == given.session)
    }

    /// The session that is held now.
    pub fn session(&self) -> Option<SessionId> {
        self.council.held().map(|(session, _)| session)
    }

    /// Whether the council is heard: its session is held.
    pub fn heard(&self) -> bool {
        self.council.held().is_some()
    }

    /// The record's part as it is heard of, to be looked at without a copy.
    pub fn follows(&self) -> watch::Receiver<Board> {
        self.board.clone()
    }

    /// The record's part, as it was last heard of.
    pub fn board(&self) -> Board {
        self.board.borrow().clone()
    }
}

struct Task {
    follow: Follow,
    council: Council,
    machine: Machine,
    tell: mpsc::Sender<Given>,
    show: watch::Sender<Board>,
}

impl Task {
    async fn run(mut self, mut wished: mpsc::Receiver<Wish>) {
        let mut standing = self.council.standing();
        loop {
            // All that waits, before anything is written.
            while let Ok(wish) = wished.try_recv() {
                self.take(wish);
            }
            let wake = match self.act().await {
                Some(wake) => wake.map(|at| at.saturating_sub(now())),
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

    fn take(&mut self, wish: Wish) {
        match wish {
            Wish::Ask { unit, act, why, overrides } => self.machine.ask(&unit, act, &why, overrides),
            Wish::Unused { unit } => self.machine.unused(&unit),
            Wish::GiveBack { unit, acted } => self.machine.give_back(&unit, acted),
            Wish::Units(units) => self.machine.units(units),
        }
    }

    /// One step. `None`: another may follow at once; else until when to wait.
    async fn act(&mut self) -> Option<Option<Duration>> {
        let session = self.council.held().map(|(session, _)| session);
        let mut given = Vec::new();
        let mut step = self.machine.next(now(), session, self.follow.board(), &mut given);
        for given in given {
            // There is room: each leave is told once, and one that its supervisor does not take is told with the next session.
            let _ = self.tell.try_send(given);
        }
        if step == Step::Fresh {
            step = match self.follow.fresh().await {
                Ok(board) => self.machine.decided(now(), board),
                Err(why) => {
                    info!("outage: not read: {why}");
                    self.machine.failed(now());
                    return None;
                }
            };
        }
        match step {
            Step::Wait(until) => Some(until),
            Step::Fresh => None,
            Step::Write(plan, what) => {
                if let Some(what) = what {
                    info!("outage: {what}");
                }
                let wrote = write(&self.council, plan).await;
                let fresh = self.follow.fresh().await.map(|_| ());
                if let (Wrote::No(why), _) | (_, Err(why)) = (wrote, fresh) {
                    info!("outage: not written: {why}");
                    self.machine.failed(now());
                }
                self.show.send_replace(self.follow.board().clone());
                None
            }
        }
    }
}
