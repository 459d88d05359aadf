//! Fronts: where callers connect, one for each protocol.
mod classify;
pub mod fastcgi;
pub mod http;
mod observed_stream;

/// How far the end of the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Serving.
    Serving,
    /// Told to end: new connections are still accepted, and kept ones go on being served.
    Announced,
    /// No connection is accepted any more, once nobody waits to be; those that there are go on being served.
    Draining,
    /// Connections end with their next answer.
    ClosingConnections,
    /// And those that are between requests are closed.
    ClosingIdle,
}

/// What a front is told of the end of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownProgress {
    /// How far it has come.
    pub phase: ShutdownPhase,
    /// Those that wait to be accepted are another process's, which serves at the same address.
    pub handed_over: bool,
}

impl ShutdownProgress {
    /// At the beginning.
    pub const UP: ShutdownProgress = ShutdownProgress { phase: ShutdownPhase::Serving, handed_over: false };
}
