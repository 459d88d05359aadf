//! What a supervisor of many balancer processes decides, as a state machine without I/O.
//!
//! A [`Supervisor`] is told what happens to the processes of its instances ([`Event`]) and answers with what to do
//! ([`Action`]). Instances are numbered from zero; each process that it starts gets a number of its own, so that news of
//! an old one is never taken for news of the new. `now` is the time since the supervisor began and never goes back.
//!
//! Starts are spread out. What crashes is started again after a pause that doubles, and given up after too many crashes
//! within a window. A roll restarts, reloads or takes over instances a few at a time, waits for each to be ready and
//! for all others to be so too, and halts, with the reason, at the first that is not.
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

/// The supervisor's figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupervisorPolicy {
    /// The pause between two starts at the beginning.
    pub spread: Duration,
    /// How long a process may take until it is ready, and a reload until it is done.
    pub ready_within: Duration,
    /// How long a process that was told to end may take; then it is killed.
    pub stop_within: Duration,
    /// The pause before the first restart of what crashed; it doubles with each crash, up to the most.
    pub pause: Duration,
    /// The longest pause.
    pub pause_most: Duration,
    /// So many crashes of an instance within the window, and it is given up.
    pub crashes: usize,
    /// The window.
    pub window: Duration,
    /// Instances that a roll takes at once.
    pub at_once: usize,
    /// How long a take-over waits while too many old processes of its instance have not ended.
    pub leaving_within: Duration,
    /// Whether each step of a roll needs leave; see [`Action::RequestLease`].
    pub asks: bool,
}

impl Default for SupervisorPolicy {
    fn default() -> Self {
        SupervisorPolicy {
            spread: Duration::from_millis(100),
            ready_within: Duration::from_secs(30),
            stop_within: Duration::from_secs(10),
            pause: Duration::from_millis(500),
            pause_most: Duration::from_secs(30),
            crashes: 5,
            window: Duration::from_secs(60),
            at_once: 1,
            leaving_within: Duration::from_secs(75),
            asks: false,
        }
    }
}

/// A process that the supervisor started or found, numbered over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u64);

/// What a roll does to each instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollingAction {
    /// Ends the process and starts another.
    Restart,
    /// Starts another that takes the sockets over; the old one ends by itself.
    Handoff,
    /// Has it read its files again.
    Reload,
}

/// What the operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Roll through all instances.
    Roll(RollingAction),
    /// Have this one be started anew, whatever it does now: its next process is to be of another build. One that crashed, or
    /// was given up, is started at once; one that the operator stopped stays so.
    Replace(usize),
    /// End them all.
    Stop,
    /// Start again what was given up or stopped.
    Start,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process is ready, at first or after a reload that it took.
    Ready(ProcessId),
    /// A process did not take the files that it was told to read again.
    ReloadFailed(ProcessId, String),
    /// A process has ended; `clean`: by itself, with status 0.
    Exited {
        /// Which.
        process: ProcessId,
        /// With status 0.
        clean: bool,
        /// In words.
        how: String,
    },
    /// Leave was given for an instance. It has to be used now or not at all.
    LeaseGranted(usize),
    /// The operator's wish.
    Command(Command),
    /// Nothing but time has passed.
    Timeout,
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the files again (SIGHUP).
    Reload,
    /// End (SIGTERM).
    Terminate,
    /// End at once (SIGKILL).
    Kill,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process; one that takes over finds the old one's socket by itself.
    Start {
        /// For this instance.
        instance: usize,
        /// With this number.
        process: ProcessId,
    },
    /// Send a signal.
    Signal(ProcessId, Signal),
    /// Leave is wanted to do this to an instance; [`Event::LeaseGranted`] gives it.
    RequestLease {
        /// Which.
        instance: usize,
        /// What is to be done.
        roll: RollingAction,
    },
    /// The leave for an instance is not wanted any more, whether it was given or not.
    ReleaseLease {
        /// Which.
        instance: usize,
        /// Whether something was done by it of which the end is still to be seen: another process is to come.
        acted: bool,
    },
    /// A command was not taken, for this reason.
    Rejected(&'static str),
    /// A roll has come to its end: all instances took it.
    RollFinished(RollingAction),
    /// A roll was halted; the instances behind were not touched.
    RollAborted {
        /// At which instance.
        instance: usize,
        /// Why.
        why: String,
    },
    /// An instance is given up, for this reason.
    CrashLoop {
        /// Which.
        instance: usize,
        /// Why.
        why: String,
    },
    /// All processes have ended, as they were told.
    Stopped,
}

/// How an instance stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// Its next process starts then.
    BackingOff(Duration),
    /// Its process is not ready yet.
    Starting,
    /// Serving.
    Ready,
    /// Serving, and reading its files again.
    Reloading,
    /// Its process was told to end; another follows.
    Restarting,
    /// Its process was told to end.
    Stopping,
    /// It has none, as the operator wants.
    Stopped,
    /// It is not started any more.
    CrashLoop(String),
}

impl Instance {
    /// Its crashes within this time before now, since it was replaced last.
    pub fn crashes(&self, now: Duration, window: Duration) -> usize {
        self.crashes.iter().filter(|&&at| now < at + window).count()
    }

    /// Whether its last process was not ready in time.
    pub fn slow(&self) -> bool {
        self.slow
    }
}

impl fmt::Display for InstanceState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InstanceState::BackingOff(_) => "waiting",
            InstanceState::Starting => "starting",
            InstanceState::Ready => "ready",
            InstanceState::Reloading => "reloading",
            InstanceState::Restarting => "restarting",
            InstanceState::Stopping => "stopping",
            InstanceState::Stopped => "stopped",
            InstanceState::CrashLoop(_) => "given up",
        })
    }
}

/// One instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// How it stands.
    pub state: InstanceState,
    /// Its process, if it has one.
    pub process: Option<ProcessId>,
    /// One that is to take over from that, and is not ready yet.
    pub successor: Option<ProcessId>,
    /// Those that passed their sockets on and have not ended.
    pub leaving: BTreeSet<ProcessId>,
    /// Processes started after the first.
    pub restarts: u64,
    /// How long it last took to be ready: from the signal that ended its process, or else from its start.
    pub took: Option<Duration>,
    /// Since when it is not ready, or its successor.
    since: Option<Duration>,
    /// When the present state or successor counts as too slow.
    due: Duration,
    /// It has had a process.
    started: bool,
    killed: bool,
    /// Its last process was not ready in time.
    slow: bool,
    /// Crashes within the window, and those in a row.
    crashes: VecDeque<Duration>,
    row: u32,
}

struct Rolling {
    roll: RollingAction,
    queue: VecDeque<usize>,
    busy: BTreeSet<usize>,
    /// Those for which leave is asked.
    asked: BTreeSet<usize>,
    /// The one for which it was just given.
    given: Option<usize>,
    /// When it no longer waits for old processes to end.
    waits: Option<Duration>,
}

/// Most processes that may be leaving for one instance before a take-over waits.
const MAX_DRAINING_PREDECESSORS: usize = 4;

/// The state machine; see the crate's page.
pub struct Supervisor {
    figures: SupervisorPolicy,
    instances: Vec<Instance>,
    rolling: Option<Rolling>,
    next: u64,
    stopping: bool,
}

impl Supervisor {
    /// So many instances, to be started one after another.
    pub fn new(instances: usize, figures: SupervisorPolicy) -> Supervisor {
        let instance = |k: usize| Instance {
            state: InstanceState::BackingOff(
                figures.spread.saturating_mul(u32::try_from(k).unwrap_or(u32::MAX)),
            ),
            process: None,
            successor: None,
            leaving: BTreeSet::new(),
            restarts: 0,
            took: None,
            since: None,
            due: Duration::MAX,
            started: false,
            killed: false,
            slow: false,
            crashes: VecDeque::new(),
            row: 0,
        };
        let instances = (0..instances).map(instance).collect();
        Supervisor { figures, instances, rolling: None, next: 0, stopping: false }
    }

    /// Takes a process over that was found running, before anything else happens.
    pub fn adopt(&mut self, now: Duration, instance: usize, ready: bool) -> ProcessId {
        let process = self.number();
        let due = now + self.figures.ready_within;
        if let Some(i) = self.instances.get_mut(instance) {
            (i.process, i.started) = (Some(process), true);
            (i.state, i.due) =
                if ready { (InstanceState::Ready, Duration::MAX) } else { (InstanceState::Starting, due) };
        }
        process
    }

    /// The instances.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// The roll that is going on, and how many instances it has still to take.
    pub fn rolling(&self) -> Option<(RollingAction, usize)> {
        self.rolling.as_ref().map(|r| (r.roll, r.queue.len() + r.busy.len()))
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Duration> {
        let of = |i: &Instance| match i.state {
            InstanceState::BackingOff(at) => at.min(i.due),
            _ => i.due,
        };
        let waits = self.rolling.as_ref().and_then(|r| r.waits);
        self.instances.iter().map(of).chain(waits).min().filter(|&at| at < Duration::MAX)
    }

    fn number(&mut self) -> ProcessId {
        self.next += 1;
        ProcessId(self.next)
    }

    /// The instance of a process, unless it is known to have ended.
    fn of(&self, p: ProcessId) -> Option<usize> {
        let has = |i: &Instance| i.process == Some(p) || i.successor == Some(p) || i.leaving.contains(&p);
        self.instances.iter().position(has)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Ready(process) => self.ready(now, process),
            Event::ReloadFailed(process, why) => {
                if let Some(i) =
                    self.of(process).filter(|&i| self.instances[i].state == InstanceState::Reloading)
                {
                    // It serves on with what it had.
                    (self.instances[i].state, self.instances[i].due) = (InstanceState::Ready, Duration::MAX);
                    self.halt_at(i, format!("did not take its files: {why}"), actions);
                }
            }
            Event::Exited { process, clean, how } => self.ended(now, process, clean, &how, actions),
            Event::LeaseGranted(instance) => {
                let asked = self.rolling.as_mut().is_some_and(|r| {
                    let asked = r.asked.remove(&instance);
                    r.given = r.given.or(asked.then_some(instance));
                    asked
                });
                if !asked {
                    actions.push(Action::ReleaseLease { instance, acted: false });
                }
            }
            Event::Command(command) => self.command(now, command, actions),
            Event::Timeout => {}
        }
        self.overdue(now, actions);
        self.start_due(now, actions);
        self.roll_on(now, actions);
        self.stopped(actions);
    }

    fn ready(&mut self, now: Duration, process: ProcessId) {
        let Some(i) = self.of(process) else { return };
        let i = &mut self.instances[i];
        if !i.leaving.contains(&process) {
            i.slow = false;
            i.took = i.since.take().map(|since| now.saturating_sub(since)).or(i.took);
        }
        if i.successor == Some(process) {
            i.leaving.extend(i.process);
            (i.process, i.successor, i.restarts) = (Some(process), None, i.restarts + 1);
            (i.state, i.due) = (InstanceState::Ready, Duration::MAX);
        } else if i.process == Some(process)
            && matches!(i.state, InstanceState::Starting | InstanceState::Reloading)
        {
            (i.state, i.due) = (InstanceState::Ready, Duration::MAX);
        }
    }

    fn ended(
        &mut self,
        now: Duration,
        process: ProcessId,
        clean: bool,
        how: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(k) = self.of(process) else { return };
        let i = &mut self.instances[k];
        if i.leaving.remove(&process) {
            return;
        }
        if i.successor == Some(process) {
            (i.successor, i.since, i.due) = (None, None, Duration::MAX);
            return self.halt_at(
                k,
                format!("the process that was to take over ended before it was ready: {how}"),
                actions,
            );
        }
        if let Some(successor) = i.successor.take() {
            // The sockets are left to the one that was to take over; it starts like any other now.
            let crashed = !matches!(i.state, InstanceState::Stopping | InstanceState::Restarting);
            (i.process, i.killed) = (Some(successor), false);
            i.state = if i.state == InstanceState::Stopping {
                InstanceState::Stopping
            } else {
                InstanceState::Starting
            };
            i.due = now + self.figures.ready_within;
            if crashed {
                self.halt_at(k, format!("crashed: {how}"), actions);
            }
            return;
        }
        (i.process, i.killed, i.due) = (None, false, Duration::MAX);
        if i.state != InstanceState::Restarting {
            i.since = None;
        }
        match i.state {
            InstanceState::Stopping => i.state = InstanceState::Stopped,
            InstanceState::Restarting => i.state = InstanceState::BackingOff(now),
            _ => {
                let said = if clean { "it ended by itself" } else { how };
                self.crashed(now, k, said.into(), actions);
            }
        }
    }

    /// Says so once nothing runs any more.
    fn stopped(&mut self, actions: &mut Vec<Action>) {
        let none = |i: &Instance| i.process.is_none() && i.successor.is_none() && i.leaving.is_empty();
        if self.stopping && self.instances.iter().all(none) {
            self.stopping = false;
            actions.push(Action::Stopped);
        }
    }

    fn crashed(&mut self, now: Duration, k: usize, how: String, actions: &mut Vec<Action>) {
        let f = &self.figures;
        let i = &mut self.instances[k];
        i.crashes.retain(|&at| now < at + f.window);
        // What has run for long starts with the first pause again.
        i.row = if i.crashes.is_empty() { 0 } else { i.row };
        i.crashes.push_back(now);
        if i.crashes.len() >= f.crashes {
            let why = format!("{} crashes within {:?}, the last: {how}", i.crashes.len(), f.window);
            i.state = InstanceState::CrashLoop(why.clone());
            actions.push(Action::CrashLoop { instance: k, why });
        } else {
            let pause = backoff::doubled(f.pause, f.pause_most, i.row);
            i.row += 1;
            i.state = InstanceState::BackingOff(now + pause);
        }
        self.halt_at(k, format!("crashed: {how}"), actions);
    }

    /// Halts a roll that is busy with this instance.
    fn halt_at(&mut self, k: usize, why: String, actions: &mut Vec<Action>) {
        if self.rolling.as_ref().is_some_and(|r| r.busy.contains(&k)) {
            self.leave_off(actions);
            actions.push(Action::RollAborted { instance: k, why });
        }
    }

    /// Gives up the roll, and with it the leaves that it has or asks for.
    fn leave_off(&mut self, actions: &mut Vec<Action>) {
        let Some(r) = self.rolling.take().filter(|_| self.figures.asks) else { return };
        let unused = r.asked.iter().copied().chain(r.given);
        actions.extend(unused.map(|instance| Action::ReleaseLease { instance, acted: false }));
        for instance in r.busy {
            let acted =
                r.roll != RollingAction::Reload && self.instances[instance].state != InstanceState::Ready;
            actions.push(Action::ReleaseLease { instance, acted });
        }
    }

    fn command(&mut self, now: Duration, command: Command, actions: &mut Vec<Action>) {
        match command {
            Command::Roll(_) if self.stopping => actions.push(Action::Rejected("the fleet is being stopped")),
            Command::Roll(_) if self.rolling.is_some() => {
                actions.push(Action::Rejected("a roll is going on"))
            }
            Command::Roll(roll) => {
                let queue = (0..self.instances.len()).collect();
                self.rolling = Some(Rolling {
                    roll,
                    queue,
                    busy: BTreeSet::new(),
                    asked: BTreeSet::new(),
                    given: None,
                    waits: None,
                });
            }
            Command::Replace(k) => self.replace(now, k, actions),
            Command::Start => {
                for i in &mut self.instances {
                    if matches!(i.state, InstanceState::CrashLoop(_) | InstanceState::Stopped) {
                        (i.state, i.row) = (InstanceState::BackingOff(now), 0);
                        i.crashes.clear();
                    }
                }
            }
            Command::Stop => {
                self.leave_off(actions);
                self.stopping = true;
                for i in &mut self.instances {
                    match i.process {
                        Some(process) => {
                            (i.state, i.due) = (InstanceState::Stopping, now + self.figures.stop_within);
                            actions.push(Action::Signal(process, Signal::Terminate));
                        }
                        None => i.state = InstanceState::Stopped,
                    }
                    // Those that passed their sockets on hurry with what they have left.
                    let others = i.leaving.iter().copied().chain(i.successor);
                    actions.extend(others.map(|p| Action::Signal(p, Signal::Terminate)));
                }
            }
        }
    }

    fn replace(&mut self, now: Duration, k: usize, actions: &mut Vec<Action>) {
        let stop_within = self.figures.stop_within;
        let Some(i) = self.instances.get_mut(k).filter(|_| !self.stopping) else { return };
        // What the build before it did says nothing of the next one.
        i.crashes.clear();
        (i.row, i.slow) = (0, false);
        if let Some(successor) = i.successor.take() {
            // It ends as one that leaves: nothing waits for it.
            i.leaving.insert(successor);
            actions.push(Action::Signal(successor, Signal::Kill));
        }
        match (&i.state, i.process) {
            (InstanceState::Stopped | InstanceState::Stopping, _) => {}
            (_, Some(process)) => {
                i.since = Some(now);
                (i.state, i.due) = (InstanceState::Restarting, now + stop_within);
                actions.push(Action::Signal(process, Signal::Terminate));
            }
            (_, None) => i.state = InstanceState::BackingOff(now),
        }
    }

    /// Ends what has taken too long.
    fn overdue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for k in 0..self.instances.len() {
            let (ready_within, stop_within) = (self.figures.ready_within, self.figures.stop_within);
            let i = &mut self.instances[k];
            if now < i.due {
                continue;
            }
            i.due = Duration::MAX;
            if let (Some(successor), InstanceState::Ready) = (i.successor, &i.state) {
                actions.push(Action::Signal(successor, Signal::Kill));
                let why = format!("the process that was to take over is not ready after {ready_within:?}");
                self.halt_at(k, why, actions);
                continue;
            }
            let Some(process) = i.process else { continue };
            match i.state {
                InstanceState::Starting => {
                    i.slow = true;
                    // It ends as a crash does, with a pause before the next: it may need one.
                    actions.push(Action::Signal(process, Signal::Kill));
                    self.halt_at(k, format!("not ready after {ready_within:?}"), actions);
                }
                InstanceState::Reloading => {
                    i.state = InstanceState::Ready;
                    self.halt_at(k, format!("not ready after a reload and {ready_within:?}"), actions);
                }
                InstanceState::Stopping | InstanceState::Restarting if !i.killed => {
                    (i.killed, i.due) = (true, now + stop_within);
                    actions.push(Action::Signal(process, Signal::Kill));
                }
                _ => {}
            }
        }
    }

    fn start_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for instance in 0..self.instances.len() {
            if matches!(self.instances[instance].state, InstanceState::BackingOff(at) if now >= at) {
                let process = self.number();
                let i = &mut self.instances[instance];
                i.restarts += u64::from(std::mem::replace(&mut i.started, true));
                i.since = i.since.or(Some(now));
                (i.state, i.process, i.due) =
                    (InstanceState::Starting, Some(process), now + self.figures.ready_within);
                actions.push(Action::Start { instance, process });
            }
        }
    }

    /// Takes the next instances, once those that it is busy with and all others are ready.
    fn roll_on(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(mut r) = self.rolling.take() else { return };
        let asks = self.figures.asks;
        let over = |k: &usize| {
            self.instances[*k].state == InstanceState::Ready && self.instances[*k].successor.is_none()
        };
        if asks {
            let acted = r.roll != RollingAction::Reload;
            actions.extend(
                r.busy.iter().filter(|k| over(k)).map(|&instance| Action::ReleaseLease { instance, acted }),
            );
        }
        r.busy.retain(|k| !over(k));
        let mut given = r.given.take();
        while r.busy.len() < self.figures.at_once.max(1) {
            let others = (0..self.instances.len()).filter(|k| !r.busy.contains(k));
            if let Some(bad) = others.clone().find(|&k| {
                matches!(
                    self.instances[k].state,
                    InstanceState::CrashLoop(_) | InstanceState::Stopped | InstanceState::Stopping
                )
            }) {
                let why = format!("is {}", self.instances[bad].state);
                r.given = given;
                self.rolling = Some(r);
                self.leave_off(actions);
                return actions.push(Action::RollAborted { instance: bad, why });
            }
            if others.clone().any(|k| self.instances[k].state != InstanceState::Ready) {
                break;
            }
            let Some(k) = given.or(r.queue.front().copied()) else { break };
            // Guards against processes that pile up under take-overs that follow one another faster than silent callers go.
            if self.is_crowded(k, r.roll) {
                let until = *r.waits.get_or_insert(now + self.figures.leaving_within);
                if now < until {
                    break;
                }
                let within = self.figures.leaving_within;
                let why =
                    format!("{MAX_DRAINING_PREDECESSORS} old processes have not ended after {within:?}");
                r.given = given;
                self.rolling = Some(r);
                self.leave_off(actions);
                return actions.push(Action::RollAborted { instance: k, why });
            }
            r.waits = None;
            if asks && given.take().is_none() {
                break;
            }
            r.queue.retain(|&q| q != k);
            r.busy.insert(k);
            self.take(now, k, r.roll, actions);
        }
        if asks {
            // What can't be used now is somebody else's to use.
            actions.extend(given.map(|instance| Action::ReleaseLease { instance, acted: false }));
            self.ask(&mut r, actions);
        }
        if r.busy.is_empty() && r.queue.is_empty() {
            return actions.push(Action::RollFinished(r.roll));
        }
        self.rolling = Some(r);
    }

    /// Whether too many old processes of an instance have not ended for another take-over of it.
    fn is_crowded(&self, k: usize, roll: RollingAction) -> bool {
        roll == RollingAction::Handoff && self.instances[k].leaving.len() >= MAX_DRAINING_PREDECESSORS
    }

    /// Asks for leave for those that could be taken next, while all others are ready.
    fn ask(&self, r: &mut Rolling, actions: &mut Vec<Action>) {
        let free = self.figures.at_once.max(1).saturating_sub(r.busy.len());
        let ready = (0..self.instances.len())
            .all(|k| r.busy.contains(&k) || self.instances[k].state == InstanceState::Ready);
        let wanted: BTreeSet<usize> = match ready {
            true => r.queue.iter().copied().take(free).filter(|&k| !self.is_crowded(k, r.roll)).collect(),
            false => BTreeSet::new(),
        };
        for &instance in r.asked.difference(&wanted) {
            actions.push(Action::ReleaseLease { instance, acted: false });
        }
        for &instance in wanted.difference(&r.asked) {
            actions.push(Action::RequestLease { instance, roll: r.roll });
        }
        r.asked = wanted;
    }

    fn take(&mut self, now: Duration, k: usize, roll: RollingAction, actions: &mut Vec<Action>) {
        let (ready_within, stop_within) = (self.figures.ready_within, self.figures.stop_within);
        let successor = if roll == RollingAction::Handoff { Some(self.number()) } else { None };
        let i = &mut self.instances[k];
        let Some(process) = i.process else { return };
        i.since = Some(now);
        match roll {
            RollingAction::Restart => {
                (i.state, i.due) = (InstanceState::Restarting, now + stop_within);
                actions.push(Action::Signal(process, Signal::Terminate));
            }
            RollingAction::Reload => {
                (i.state, i.due) = (InstanceState::Reloading, now + ready_within);
                actions.push(Action::Signal(process, Signal::Reload));
            }
            RollingAction::Handoff => {
                (i.successor, i.due) = (successor, now + ready_within);
                actions.extend(successor.map(|process| Action::Start { instance: k, process }));
            }
        }
    }
}
