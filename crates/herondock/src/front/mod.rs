//! Fronts: what clients connect to, one for each protocol.
mod classify;
pub mod fastcgi;
pub mod http;
mod observed_stream;

/// Phases of graceful shutdown, as fronts see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown goes on.
    Serving,
    /// SIGTERM has come: connections are still accepted and served, the readiness check fails.
    Announced,
    /// No connection is accepted any more, once nobody waits to be accepted; open ones are served.
    Draining,
    /// Connections end with their next answer.
    ClosingConnections,
    /// Idle connections are closed as well.
    ClosingIdle,
}

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownProgress {
    /// Its phase.
    pub phase: ShutdownPhase,
    /// Whether a successor process accepts at the same address.
    pub handed_over: bool,
}

impl ShutdownProgress {
    /// No shutdown goes on.
    pub const UP: ShutdownProgress = ShutdownProgress { phase: ShutdownPhase::Serving, handed_over: false };
}
