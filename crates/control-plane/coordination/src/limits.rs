//! How large a record may become. The bounds are part of the record: all voters apply the same ones, whatever build they
//! are of.
use serde::{Deserialize, Serialize};

/// Most of everything; each is refused by name when it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Bytes of a key.
    pub key: u64,
    /// Bytes of a value.
    pub value: u64,
    /// Keys.
    pub keys: u64,
    /// Bytes of all keys and values.
    pub bytes: u64,
    /// Conditions and changes of a write.
    pub parts: u64,
    /// Bytes of a write's values.
    pub write: u64,
    /// Bytes of a session's name.
    pub name: u64,
    /// Sessions at one time.
    pub sessions: u64,
    /// Ended sessions whose end is remembered.
    pub ended: u64,
    /// Shortest time to live of a session, in milliseconds.
    pub ttl_least_ms: u64,
    /// Longest.
    pub ttl_most_ms: u64,
    /// Changes that watches can resume over.
    pub changes: u64,
    /// Bytes of those.
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
