//! The coordination service on real sockets and disks, around the sans-I/O state machines of the crate `coordination`.
//!
//! | module | contents |
//! | --- | --- |
//! | `transport` | connections between processes |
//! | `framing` | frames on a connection |
//! | `handshake` | establishing connections |
//! | `journal_writer` | the thread that writes a voter's journal |
//! | `peer_connections` | outgoing connections to other voters |
//! | `client_connections` | incoming connections of clients and other voters |
//! | `server` | a voter's process |
//! | [`client`] | a client inside another process |
//! | [`command`] | operator commands |
//! | `crash_points` | fault injection for tests |
pub mod client;
mod client_connections;
pub mod command;
mod crash_points;
mod error;
mod framing;
mod handshake;
mod journal_writer;
mod peer_connections;
mod server;
mod transport;

pub use crash_points::{CrashPoint, ParseCrashPointError};
pub use error::{CommandError, ServerError};
pub use server::{run, ServerOptions};

use rand::Rng;

/// Draws a random id, never 0.
pub fn random_id() -> u64 {
    rand::rngs::OsRng.gen_range(1..u64::MAX)
}
