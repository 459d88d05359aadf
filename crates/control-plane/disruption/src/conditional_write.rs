//! Conditional writes of the coordination store, as values.
use coordination::state_machine::{Compare, Op, Revision, SessionId};
use serde::Serialize;

/// A transaction: its operations are executed only if all its conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// Conditions that must all hold.
    pub compares: Vec<Compare>,
    /// Operations that are executed if all conditions hold.
    pub ops: Vec<Op>,
}

impl ConditionalWrite {
    /// A write that is executed only while `session` is alive.
    pub fn while_session_alive(session: SessionId, ops: Vec<Op>) -> ConditionalWrite {
        ConditionalWrite { compares: vec![Compare::SessionAlive(session)], ops }
    }

    /// A write without conditions.
    pub fn unconditional(ops: Vec<Op>) -> ConditionalWrite {
        ConditionalWrite { compares: Vec::new(), ops }
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }
}

/// The condition that a key still has this version; 0 for a key that does not exist.
pub fn unchanged(key: &str, version: Revision) -> Compare {
    match version {
        0 => Compare::Absent(key.into()),
        version => Compare::Version(key.into(), version),
    }
}

/// Writes a value that outlives the session that writes it.
pub fn put<T: Serialize>(key: String, value: &T) -> Op {
    Op::Put { key, value: encode(value), ephemeral: false }
}

/// Writes a value that is deleted with the session that writes it.
pub fn put_ephemeral<T: Serialize>(key: String, value: &T) -> Op {
    Op::Put { key, value: encode(value), ephemeral: true }
}

/// Encodes a stored value. Stored values consist of texts, numbers and maps with text keys, so encoding cannot fail.
pub fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
