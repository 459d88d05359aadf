//! Input and output of a voter.
use super::PersistedState;
use crate::protocol::{Call, Reply};

/// Input of a voter.
#[derive(Debug)]
pub enum Event {
    /// [`VoterConfig::tick`](super::VoterConfig::tick) has passed.
    Tick,
    /// An encoded Raft message from another voter.
    Message(Vec<u8>),
    /// A message to the voter with this id was lost.
    Unreachable(u64),
    /// The persist request with this number, and all before it, are on disk.
    Persisted(u64),
    /// A persist request failed.
    PersistFailed {
        /// Number of the request.
        number: u64,
        /// Error message.
        why: String,
        /// Whether the journal is unchanged, so that only a compaction failed.
        intact: bool,
    },
    /// The disk works again after a failure, with this content.
    Recovered(PersistedState),
    /// A client's call.
    Call {
        /// Id of the client's connection.
        client: u64,
        /// The call.
        call: Call,
    },
    /// The connection of this client was closed.
    ClientDisconnected(u64),
    /// Transfers leadership to another voter before a shutdown, if possible.
    TransferLeadership,
}

/// Output of a voter.
#[derive(Debug)]
pub enum Action {
    /// Send an encoded Raft message; it may be lost.
    Send {
        /// Id of the receiving voter.
        to: u64,
        /// The message.
        message: Vec<u8>,
    },
    /// Persist records, in the order of the requests; answered by [`Event::Persisted`] or [`Event::PersistFailed`].
    Persist(PersistRequest),
    /// Reply to a client; dropped if it has disconnected.
    Reply {
        /// Id of the client's connection.
        client: u64,
        /// The reply.
        reply: Reply,
    },
    /// Report a change to the operator.
    Report(VoterEvent),
}

/// Records to be persisted.
#[derive(Debug)]
pub struct PersistRequest {
    /// Number of the request, from 1.
    pub number: u64,
    /// Records of the journal.
    pub records: Vec<Vec<u8>>,
    /// Whether the records replace the content of the journal; otherwise they are appended.
    pub replace: bool,
    /// Whether this is a compaction, whose failure is harmless.
    pub compaction: bool,
}

/// A change that is reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterEvent {
    /// The voter became leader in this term.
    BecameLeader(u64),
    /// The voter follows the leader with this name.
    FollowsLeader(String),
    /// The voter knows no leader.
    Leaderless,
    /// The disk failed, with this reason; the voter neither votes nor acknowledges.
    StorageFailed(String),
    /// The disk works again.
    StorageRecovered,
    /// The voter was removed from the cluster.
    Removed,
    /// The log could not be compacted, with this reason.
    SnapshotFailed(String),
    /// A member joined, was promoted or was removed.
    MembershipChanged(String),
    /// The session with this name expired.
    SessionExpired(String),
}
