//! The council: a few processes, the voters, that keep a record by majority. What a majority has on its disks is agreed,
//! and outlives any minority of them; while no majority can talk, nothing changes.
//!
//! No I/O and no clock here: machines that are told what happens, and say what they want done.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`state_machine`] | the record: keys, sessions, conditional writes, what changed |
//! | [`limits`] | how large it may become |
//! | [`protocol`] | what voters and clients say to one another |
//! | [`voter`] | one voter: agreement (by the crate `raft`), sessions' time, reads, watches, members |
//! | [`client`] | one client: follows the leader, renews its session, sends again what may be sent again |
pub mod client;
pub mod limits;
pub mod protocol;
mod raft_log;
pub mod state_machine;
pub mod voter;

/// By how much two clocks that count the same time may differ, as one in so many. Sessions are counted longer by this at
/// the voters, and shorter by it at their holders.
pub const CLOCK_DRIFT_FRACTION: u32 = 50;
