//! Events that the event loop of the supervisor waits for.
use super::process::Notification;
use daemon::control::ControlRequest;
use daemon::signals::ProcessSignal;
use disruption_agent::agent::GrantedLease;
use std::io;
use supervisor::ProcessId;

/// An event of the supervisor.
pub enum LoopEvent {
    /// A signal to the supervisor.
    Signal(ProcessSignal),
    /// A process of an instance exited.
    ProcessExited(ProcessId),
    /// An instance sent a notification, or the notify socket cannot be read.
    Notification(io::Result<Notification>),
    /// A disruption lease was granted.
    LeaseGranted(GrantedLease),
    /// The confirmation of a lease for a rollout has completed; the lease may be used only if `usable`.
    LeaseConfirmed {
        /// The lease.
        lease: GrantedLease,
        /// Whether the rollout's state was read after the lease had been granted.
        usable: bool,
    },
    /// The state of rollouts has changed.
    RolloutChanged,
    /// An operator sent a command.
    Command(ControlRequest),
    /// The driver's next timeout is due.
    Timeout,
}
