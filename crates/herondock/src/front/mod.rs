//! Fronts: where callers connect, one for each protocol.
pub mod http;
mod watched;

/// How far the end of the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Up,
    /// Told to end: new connections are still accepted, and kept ones go on being served.
    Leaving,
    /// No connection is accepted any more, once nobody waits to be; those that there are go on being served.
    Draining,
    /// Connections end with their next answer, and those between requests are closed.
    Closing,
    /// The same, and those that wait to be accepted are another process's.
    HandedOver,
}
