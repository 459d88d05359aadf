//! Events that the supervisor handles and actions that it returns.

/// Identifies a process that the supervisor started or adopted. Unique over all instances and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u64);

/// Action of a rolling operation on each instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollingAction {
    /// Terminates the process and starts another.
    Restart,
    /// Starts a successor that receives the listening sockets; the predecessor drains and exits by itself.
    Handoff,
    /// Makes the process reload its configuration files.
    Reload,
}

/// A command of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a rolling operation over all instances.
    Roll(RollingAction),
    /// Replace the process of this instance by one of another build, whatever its state. An instance that crashed, or
    /// is in a crash loop, is started at once; one that the operator stopped stays stopped.
    Replace(usize),
    /// Stop all instances.
    Stop,
    /// Start the instances that are stopped or in a crash loop.
    Start,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process became ready, after its start or after a reload.
    Ready(ProcessId),
    /// A process rejected the configuration files that it was to reload, for this reason.
    ReloadFailed(ProcessId, String),
    /// A process exited.
    Exited {
        /// Identifier of the process.
        process: ProcessId,
        /// Whether it exited by itself with status 0.
        clean: bool,
        /// Description of the exit status.
        status: String,
    },
    /// A lease for this instance was granted. It has to be used at once or released.
    LeaseGranted(usize),
    /// The operator sent a command.
    Command(Command),
    /// Time has passed; see [`Supervisor::next_timeout`](crate::Supervisor::next_timeout).
    Timeout,
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: reload the configuration files.
    Reload,
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGKILL: end the process at once.
    Kill,
}

/// Output of the state machine. The caller executes the actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process. A successor finds the handoff socket of its predecessor by itself.
    Start {
        /// Index of the instance.
        instance: usize,
        /// Identifier of the new process.
        process: ProcessId,
    },
    /// Send a signal to a process.
    Signal(ProcessId, Signal),
    /// Request a lease for a step of a rolling operation; [`Event::LeaseGranted`] answers.
    RequestLease {
        /// Index of the instance.
        instance: usize,
        /// Action of the step.
        action: RollingAction,
    },
    /// Release the lease of an instance, or withdraw the request for it.
    ReleaseLease {
        /// Index of the instance.
        instance: usize,
        /// Whether the lease was used, so that a new process of the instance is still to be observed.
        acted: bool,
    },
    /// A command was rejected, for this reason.
    Rejected(&'static str),
    /// A rolling operation completed on all instances.
    RollFinished(RollingAction),
    /// A rolling operation was aborted; the remaining instances were not touched.
    RollAborted {
        /// Index of the instance that caused it.
        instance: usize,
        /// Description of the cause.
        reason: String,
    },
    /// An instance crashed too often and is no longer restarted.
    CrashLoop {
        /// Index of the instance.
        instance: usize,
        /// Description of the crashes.
        reason: String,
    },
    /// All processes exited after [`Command::Stop`].
    Stopped,
}
