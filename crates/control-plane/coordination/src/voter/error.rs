//! Errors of a voter.
use crate::state_machine::DecodeError;
use protobuf::ProtobufError;

/// Stored or received data from which a voter can't start or continue.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The journal holds no identity.
    #[error("the journal holds no identity of a voter")]
    NoIdentity,
    /// A record of the journal is invalid.
    #[error("record {index} of the journal: {source}")]
    Record {
        /// Position in the journal, from 0.
        index: usize,
        /// Fault of the record.
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

/// Fault of a record of the journal.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record has no content.
    #[error("the record is empty")]
    Empty,
    /// The record is not a valid identity.
    #[error(transparent)]
    Identity(#[from] serde_json::Error),
    /// The record is not a valid message of the Raft implementation.
    #[error(transparent)]
    Message(#[from] ProtobufError),
    /// The kind of the record is unknown; holds the first byte.
    #[error("the record is of kind {0}, which this build does not know")]
    UnknownKind(u8),
}
