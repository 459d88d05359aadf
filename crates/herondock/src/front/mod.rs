//! Fronts: accept connections of clients, one front for each protocol.
mod classify;
pub mod fastcgi;
mod head_framing;
pub mod http;
mod observed_stream;
mod read_ahead;

/// Phases of graceful shutdown, as fronts see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown is in progress.
    Serving,
    /// SIGTERM has been received: connections are still accepted and served, and the readiness check fails.
    Announced,
    /// Connections that wait to be accepted are accepted, then no more; open connections are served.
    Draining,
    /// Connections close after their next answer.
    ClosingConnections,
    /// Idle connections are closed as well.
    ClosingIdle,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownProgress {
    /// Current phase.
    pub phase: ShutdownPhase,
    /// Whether a successor process accepts at the same address.
    pub handed_over: bool,
}

impl ShutdownProgress {
    /// No shutdown is in progress.
    pub const SERVING: ShutdownProgress =
        ShutdownProgress { phase: ShutdownPhase::Serving, handed_over: false };
}
