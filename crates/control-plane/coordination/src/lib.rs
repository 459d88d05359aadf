//! The council: a few processes, the voters, that keep a record by majority. What a majority has on its disks is agreed,
//! and outlives any minority of them; while no majority can talk, nothing changes.
//!
//! No I/O and no clock here: machines that are told what happens, and say what they want done.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`record`] | the record: keys, sessions, conditional writes, what changed |
//! | [`bounds`] | how large it may become |
//! | [`wire`] | what voters and clients say to one another |
//! | [`voter`] | one voter: agreement (by the crate `raft`), sessions' time, reads, watches, members |
//! | [`client`] | one client: follows the leader, renews its session, sends again what may be sent again |
pub mod bounds;
pub mod client;
mod log;
pub mod record;
pub mod voter;
pub mod wire;

/// By how much two clocks that count the same time may differ, as one in so many. Sessions are counted longer by this at
/// the voters, and shorter by it at their holders.
pub const DRIFT: u32 = 50;
