//! State of one instance and of its processes.
use crate::crash_history::CrashHistory;
use crate::ProcessId;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Deadline of a state that has none.
pub(crate) const NO_DEADLINE: Duration = Duration::MAX;

/// State of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// No process runs; the next one starts at this time.
    BackingOff(Duration),
    /// The process runs and is not ready yet.
    Starting,
    /// The process serves.
    Ready,
    /// The process serves and reloads its configuration files.
    Reloading,
    /// The process was sent SIGTERM; another one is started after it exits.
    Restarting,
    /// The process was sent SIGTERM; none is started after it exits.
    Stopping,
    /// No process runs, because the operator stopped the instance.
    Stopped,
    /// No process runs, and none is started until the instance is started by command or replaced. Holds the reason.
    CrashLoop(String),
}

impl InstanceState {
    /// Whether the instance has no process, or will have none, until the operator starts it.
    pub(crate) fn is_out_of_service(&self) -> bool {
        matches!(self, InstanceState::CrashLoop(_) | InstanceState::Stopped | InstanceState::Stopping)
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

/// One instance: a balancer that is served by one process at a time, except during a handoff.
#[derive(Clone, Debug)]
pub struct Instance {
    /// State of the instance.
    pub state: InstanceState,
    /// The process that serves, or will serve; `None` while no process runs.
    pub process: Option<ProcessId>,
    /// During a handoff, the process that will replace `process` and is not ready yet.
    pub successor: Option<ProcessId>,
    /// Processes that handed their sockets off and have not exited.
    pub draining_predecessors: BTreeSet<ProcessId>,
    /// Number of processes started after the first one.
    pub restarts: u64,
    /// Time that the last process took to become ready, counted from the signal that stopped its predecessor, or from
    /// its own start if there was no such signal.
    pub time_to_ready: Option<Duration>,
    /// Start of the interval that becomes `time_to_ready`; `None` while the instance is ready.
    pub(crate) unready_since: Option<Duration>,
    /// Time at which the timeout of the present state, or of the successor, expires.
    pub(crate) deadline: Duration,
    /// Whether a process was ever started or adopted.
    pub(crate) has_started: bool,
    /// Whether SIGKILL was sent to a process that did not stop in time.
    pub(crate) kill_sent: bool,
    /// Whether the last process was not ready in time.
    pub(crate) missed_ready_timeout: bool,
    pub(crate) crash_history: CrashHistory,
}

impl Instance {
    /// An instance without a process, to be started at `start_at`.
    pub(crate) fn new(start_at: Duration) -> Instance {
        Instance {
            state: InstanceState::BackingOff(start_at),
            process: None,
            successor: None,
            draining_predecessors: BTreeSet::new(),
            restarts: 0,
            time_to_ready: None,
            unready_since: None,
            deadline: NO_DEADLINE,
            has_started: false,
            kill_sent: false,
            missed_ready_timeout: false,
            crash_history: CrashHistory::default(),
        }
    }

    /// Number of crashes less than `window` before `now`, since the instance was last replaced or started by command.
    pub fn recent_crashes(&self, now: Duration, window: Duration) -> usize {
        self.crash_history.count(now, window)
    }

    /// Whether the last process was killed because it was not ready in time.
    pub fn missed_ready_timeout(&self) -> bool {
        self.missed_ready_timeout
    }

    /// Whether the instance serves and no handoff is in progress.
    pub fn is_settled(&self) -> bool {
        self.state == InstanceState::Ready && self.successor.is_none()
    }

    /// Whether no process of the instance runs.
    pub fn is_down(&self) -> bool {
        self.process.is_none() && self.successor.is_none() && self.draining_predecessors.is_empty()
    }

    /// Whether this is one of the processes of the instance.
    pub(crate) fn owns(&self, process: ProcessId) -> bool {
        self.process == Some(process)
            || self.successor == Some(process)
            || self.draining_predecessors.contains(&process)
    }

    /// Changes the state and sets its deadline.
    pub(crate) fn enter(&mut self, state: InstanceState, deadline: Duration) {
        self.state = state;
        self.deadline = deadline;
    }

    /// Returns the time of the next change without an event; [`NO_DEADLINE`] if there is none.
    pub(crate) fn next_timeout(&self) -> Duration {
        match self.state {
            InstanceState::BackingOff(start_at) => start_at.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// Records that one of its processes became ready.
    pub(crate) fn process_ready(&mut self, now: Duration, process: ProcessId) {
        if !self.draining_predecessors.contains(&process) {
            self.missed_ready_timeout = false;
            let elapsed = self.unready_since.take().map(|since| now.saturating_sub(since));
            self.time_to_ready = elapsed.or(self.time_to_ready);
        }
        if self.successor == Some(process) {
            self.draining_predecessors.extend(self.process);
            self.process = Some(process);
            self.successor = None;
            self.restarts += 1;
            self.enter(InstanceState::Ready, NO_DEADLINE);
        } else if self.process == Some(process)
            && matches!(self.state, InstanceState::Starting | InstanceState::Reloading)
        {
            self.enter(InstanceState::Ready, NO_DEADLINE);
        }
    }

    /// Makes the successor the process of the instance, after its predecessor exited during a handoff. It inherits the sockets
    /// and starts like any other process.
    pub(crate) fn promote_successor(&mut self, successor: ProcessId, ready_deadline: Duration) {
        self.process = Some(successor);
        self.successor = None;
        self.kill_sent = false;
        let state = match self.state {
            InstanceState::Stopping => InstanceState::Stopping,
            _ => InstanceState::Starting,
        };
        self.enter(state, ready_deadline);
    }

    /// Records that the only process of the instance exited.
    pub(crate) fn clear_process(&mut self) {
        self.process = None;
        self.kill_sent = false;
        self.deadline = NO_DEADLINE;
        if self.state != InstanceState::Restarting {
            self.unready_since = None;
        }
    }

    /// Records that a new process of the instance was started.
    pub(crate) fn process_started(&mut self, now: Duration, process: ProcessId, ready_deadline: Duration) {
        if self.has_started {
            self.restarts += 1;
        }
        self.has_started = true;
        self.unready_since = self.unready_since.or(Some(now));
        self.process = Some(process);
        self.enter(InstanceState::Starting, ready_deadline);
    }
}
