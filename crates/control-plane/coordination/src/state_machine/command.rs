//! Commands of the replicated state machine and their outcomes.
use super::{Revision, SessionId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A command, as it is replicated in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session.
    #[serde(rename = "Open")]
    OpenSession {
        /// Name, unique among open sessions.
        name: String,
        /// Random number of the client. A retry with the same nonce returns the session that the first attempt opened.
        nonce: u64,
        /// Time to live without a renewal, in milliseconds.
        ttl_ms: u64,
        /// Whether an open session with the same name is fenced; otherwise the command is rejected.
        take_over: bool,
    },
    /// Applies a transaction.
    #[serde(rename = "Write")]
    Transaction(Transaction),
    /// Closes a session at its holder's request.
    #[serde(rename = "Close")]
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// Ends a session that was not renewed in time.
    #[serde(rename = "Expire")]
    ExpireSession {
        /// The session.
        session: SessionId,
    },
}

/// Operations that are applied together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The session that the transaction belongs to.
    pub session: SessionId,
    /// Number of the transaction within its session, from 1. A retry with the same number is applied once and returns the
    /// first outcome.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Conditions that must all hold.
    #[serde(rename = "when", default, skip_serializing_if = "Vec::is_empty")]
    pub compares: Vec<Compare>,
    /// Operations that are applied if all conditions hold.
    #[serde(rename = "then")]
    pub ops: Vec<Op>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key exists.
    Exists(String),
    /// The key was last written at this revision; 0 for a key that does not exist.
    Version(String, Revision),
    /// The session has not ended.
    #[serde(rename = "Alive")]
    SessionAlive(SessionId),
    /// The session has ended.
    #[serde(rename = "Ended")]
    SessionEnded(SessionId),
}

/// An operation on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Sets the key.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: String,
        /// Whether the key is deleted when the writing session ends.
        #[serde(rename = "bound", default, skip_serializing_if = "std::ops::Not::not")]
        ephemeral: bool,
    },
    /// Deletes the key; no effect if it does not exist.
    Delete(String),
}

impl Op {
    /// The key that the operation changes.
    pub fn key(&self) -> &str {
        match self {
            Op::Put { key, .. } | Op::Delete(key) => key,
        }
    }
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The session is open.
    #[serde(rename = "Opened")]
    SessionOpened(SessionId),
    /// The transaction was applied at this revision.
    #[serde(rename = "Written")]
    Committed(Revision),
    /// A condition of the transaction does not hold; nothing was applied.
    #[serde(rename = "Differs")]
    CompareFailed {
        /// Position of the condition in [`Transaction::compares`].
        #[serde(rename = "condition")]
        index: usize,
        /// Version of the key that the condition names; 0 if it does not exist, or for a condition on a session.
        #[serde(rename = "found")]
        found_version: Revision,
    },
    /// The session is closed, or had ended before.
    #[serde(rename = "Closed")]
    SessionClosed,
    /// The command was rejected; nothing was applied.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}

/// Reason for rejecting a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A limit would be exceeded; holds the name of the limit and its maximum.
    #[serde(rename = "Bound")]
    LimitExceeded(String, u64),
    /// Another session owns the name.
    #[serde(rename = "Held")]
    NameTaken(SessionId),
    /// The session has ended.
    #[serde(rename = "Ended")]
    SessionEnded(SessionEnd),
    /// A later transaction of the same session was applied.
    Superseded,
    /// The command is malformed.
    #[serde(rename = "Malformed")]
    Invalid(String),
}

impl Rejection {
    pub(super) fn limit(name: &str, maximum: u64) -> Rejection {
        Rejection::LimitExceeded(name.into(), maximum)
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::LimitExceeded(name, maximum) => write!(f, "{name}: {maximum} at most"),
            Rejection::NameTaken(owner) => write!(f, "session {owner} has the name"),
            Rejection::SessionEnded(end) => write!(f, "the session has ended: {end}"),
            Rejection::Superseded => f.write_str("a later write of the session was made"),
            Rejection::Invalid(reason) => f.write_str(reason),
        }
    }
}

/// Reason of the end of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionEnd {
    /// The holder closed the session.
    Closed,
    /// The session was not renewed in time, or the reason of its end is no longer kept.
    Expired,
    /// This session took over the name.
    Fenced(SessionId),
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionEnd::Closed => f.write_str("closed"),
            SessionEnd::Expired => f.write_str("expired"),
            SessionEnd::Fenced(successor) => write!(f, "session {successor} has its name now"),
        }
    }
}
