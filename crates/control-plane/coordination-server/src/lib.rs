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
mod callers;
pub mod client;
pub mod command;
mod disk;
mod frames;
mod halt;
mod node;
mod peers;
mod transport;

pub use halt::Halt;
pub use node::{run, Options};

use coordination::bounds::Bounds;
use rand::Rng;

/// A number that no other has: drawn, never 0.
pub fn draw() -> u64 {
    rand::rngs::OsRng.gen_range(1..u64::MAX)
}

/// The bounds of a new council's record.
fn bounds() -> Bounds {
    Bounds::default()
}
