//! Limits of the replicated state. They are part of the state, so that all voters apply the same ones regardless of their
//! build.
use serde::{Deserialize, Serialize};

/// Limits; a command that would exceed one is rejected with the name of the limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Bytes of a key.
    pub key: u64,
    /// Bytes of a value.
    pub value: u64,
    /// Number of keys.
    pub keys: u64,
    /// Bytes of all keys and values.
    pub bytes: u64,
    /// Conditions and operations of a transaction.
    pub parts: u64,
    /// Bytes of the values of a transaction.
    pub write: u64,
    /// Bytes of a session's name.
    pub name: u64,
    /// Number of open sessions.
    pub sessions: u64,
    /// Number of ended sessions for which the reason of the end is kept.
    pub ended: u64,
    /// Shortest time to live of a session, in milliseconds.
    pub ttl_least_ms: u64,
    /// Longest time to live of a session, in milliseconds.
    pub ttl_most_ms: u64,
    /// Number of events from which watches can resume.
    pub changes: u64,
    /// Bytes of keys and values of those events.
    pub changes_bytes: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            key: 256,
            value: 512 << 10,
            keys: 65_536,
            bytes: 32 << 20,
            parts: 256,
            write: 1 << 20,
            name: 128,
            sessions: 4096,
            ended: 4096,
            ttl_least_ms: 200,
            ttl_most_ms: 3_600_000,
            changes: 8192,
            changes_bytes: 4 << 20,
        }
    }
}
