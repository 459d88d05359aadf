//! Errors of a voter.
use crate::state_machine::DecodeError;
use protobuf::ProtobufError;

/// A voter can't start or go on from what it has stored or received.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The journal holds no identity.
    #[error("the disk is new")]
    NoIdentity,
    /// A record of the journal is invalid.
    #[error("record {index}: {source}")]
    Record {
        /// Position in the journal, from 0.
        index: usize,
        /// What is wrong with it.
        source: RecordError,
    },
    /// The stored snapshot is invalid.
    #[error(transparent)]
    StoredSnapshot(#[from] DecodeError),
    /// A received snapshot is invalid.
    #[error("a snapshot: {0}")]
    ReceivedSnapshot(#[source] DecodeError),
    /// A log entry holds a command that this build can't decode.
    #[error("entry {index} is of a newer build: {source}")]
    Command {
        /// Index of the entry.
        index: u64,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A log entry holds an invalid membership change.
    #[error("entry {index}: {source}")]
    ConfChange {
        /// Index of the entry.
        index: u64,
        /// The decoding error.
        source: ProtobufError,
    },
    /// A log entry is of a kind that this build does not support; holds its index.
    #[error("entry {0} is of a newer build")]
    UnsupportedEntry(u64),
    /// A command was committed before any snapshot.
    #[error("commands without a record")]
    MissingState,
    /// A membership change names no valid member.
    #[error("a member: {0}")]
    Member(#[source] serde_json::Error),
    /// An error of the Raft implementation.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// What is wrong with a record of the journal.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It has no content.
    #[error("is empty")]
    Empty,
    /// It is not a valid identity.
    #[error(transparent)]
    Identity(#[from] serde_json::Error),
    /// It is not a valid message of the Raft implementation.
    #[error(transparent)]
    Message(#[from] ProtobufError),
    /// Its kind is unknown; holds the first byte.
    #[error("is of kind {0}, which this build does not know")]
    UnknownKind(u8),
}
