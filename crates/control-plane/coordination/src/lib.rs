//! Coordination service: a replicated key-value store with sessions, transactions and watches, on the Raft implementation
//! of the crate `raft`.
//!
//! A few voters replicate one log. An entry is committed once a majority has it on disk; it then survives the loss of any
//! minority. Without a majority, nothing is committed.
//!
//! The crate does no I/O and reads no clock (sans-I/O): its state machines take events with the current time and return
//! actions.
//!
//! | module | contents |
//! | --- | --- |
//! | [`state_machine`] | the replicated state machine: keys, sessions, transactions, watch events |
//! | [`limits`] | limits of its size |
//! | [`protocol`] | messages between voters and clients |
//! | [`voter`] | one voter: replication, session expiry, reads, watches, membership |
//! | [`client`] | one client: follows the leader, renews its session, retries requests |
pub mod client;
pub mod limits;
pub mod protocol;
mod raft_log;
pub mod state_machine;
pub mod voter;

/// Bound of the relative difference between two clocks, as the denominator of a fraction: over a time `t`, two clocks differ
/// by less than `t / CLOCK_DRIFT_FRACTION` (2 %). Voters extend the time to live of a session by this fraction, and clients
/// shorten it by the same.
pub const CLOCK_DRIFT_FRACTION: u32 = 50;
