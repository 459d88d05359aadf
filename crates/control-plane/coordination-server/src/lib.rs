//! The council on real sockets and disks, around the machines of the crate `council`, which decide.
//!
//! | file | its job |
//! | --- | --- |
//! | `transport.rs` | where connections come from; the one place for a transport with identity |
//! | `frames.rs` | frames over a connection, and the first one each way |
//! | `disk.rs` | the thread that writes a voter's journal |
//! | `peers.rs` | connections to other voters |
//! | `callers.rs` | connections of clients |
//! | `node.rs` | a voter's process, from its start to its end |
//! | [`client`] | a client inside another process |
//! | [`command`] | what an operator's commands do |
pub mod client;
mod client_connections;
pub mod command;
mod crash_points;
mod framing;
mod journal_writer;
mod peer_connections;
mod server;
mod transport;

pub use crash_points::CrashPoint;
pub use server::{run, ServerOptions};

use coordination::limits::Limits;
use rand::Rng;

/// A number that no other has: drawn, never 0.
pub fn random_id() -> u64 {
    rand::rngs::OsRng.gen_range(1..u64::MAX)
}

/// The bounds of a new council's record.
fn bounds() -> Limits {
    Limits::default()
}
