//! Messages between voters and clients. Each connection begins with a [`Handshake`] from either side. Voters then send Raft
//! messages, and clients send [`Call`]s, which are answered by [`Reply`]s in any order. Everything but the Raft messages is
//! encoded as JSON.
use crate::state_machine::{Outcome, Revision, SessionId, Transaction, VersionedValue, WatchEvent};
use serde::{Deserialize, Serialize};

/// Version of the protocol; both sides must use the same one.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum frame between a client and a voter, in bytes.
pub const MAX_CALL_BYTES: usize = 64 << 20;
/// Maximum frame between voters, in bytes; the largest ones hold a snapshot.
pub const MAX_RAFT_MESSAGE_BYTES: usize = 96 << 20;
/// Maximum bytes of keys and values in the answer to one read.
pub const MAX_READ_BYTES: u64 = 4 << 20;

/// The first message on a connection, from both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Random id of the cluster; `None` if it is not known yet.
    pub cluster: Option<u64>,
    /// Name of the sender.
    pub name: String,
    /// Voter id of the sender; `None` for a client.
    pub voter: Option<u64>,
    /// Address of the sender, if it is a voter.
    pub addr: Option<String>,
    /// Id of the voter that the sender tries to reach, if it is known.
    pub to: Option<u64>,
}

/// Reason why two processes can't communicate; the message names the other side.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The two processes use different versions of the protocol.
    #[error("{name} uses protocol version {theirs}, and this process uses version {ours}")]
    Version {
        /// Name of the other side.
        name: String,
        /// Protocol version of the other side.
        theirs: u32,
        /// Protocol version of this process.
        ours: u32,
    },
    /// The two processes belong to different clusters.
    #[error("{name} belongs to council {theirs:016x}, and this process belongs to council {ours:016x}")]
    Cluster {
        /// Name of the other side.
        name: String,
        /// Id of the other side's cluster.
        theirs: u64,
        /// Id of the local cluster.
        ours: u64,
    },
    /// The other side tries to reach another voter.
    #[error("{name} tries to reach voter {wanted:016x}, and this is voter {ours:016x}")]
    Voter {
        /// Name of the other side.
        name: String,
        /// Id of the voter that the other side tries to reach.
        wanted: u64,
        /// Id of the local voter.
        ours: u64,
    },
}

impl Handshake {
    /// Checks whether the sender of this handshake can communicate with the sender of `own`.
    ///
    /// # Errors
    /// The versions, the clusters, or the addressed and the local voter differ.
    pub fn check_compatible(&self, own: &Handshake) -> Result<(), HandshakeError> {
        let name = self.name.clone();
        if self.version != own.version {
            return Err(HandshakeError::Version { name, theirs: self.version, ours: own.version });
        }
        match (self.cluster, own.cluster) {
            (Some(theirs), Some(ours)) if theirs != ours => {
                return Err(HandshakeError::Cluster { name, theirs, ours });
            }
            _ => {}
        }
        match (self.to, own.voter) {
            (Some(wanted), Some(ours)) if wanted != ours => Err(HandshakeError::Voter { name, wanted, ours }),
            _ => Ok(()),
        }
    }
}

/// A call of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the call, unique on its connection.
    pub id: u64,
    /// The request.
    pub request: Request,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a session.
    #[serde(rename = "Open")]
    OpenSession {
        /// Name, unique among open sessions.
        name: String,
        /// Random number by which a retry of the same request is recognised.
        nonce: u64,
        /// Time to live without a renewal, in milliseconds.
        ttl_ms: u64,
        /// Whether an open session with the same name is fenced.
        take_over: bool,
    },
    /// Renews a session for its time to live.
    #[serde(rename = "Renew")]
    RenewSession {
        /// The session.
        session: SessionId,
    },
    /// Closes a session.
    #[serde(rename = "Close")]
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// Applies a transaction.
    #[serde(rename = "Write")]
    Transaction(Transaction),
    /// A linearizable read.
    Read(Select),
    /// Watches keys; answered more than once.
    Watch {
        /// Prefix of the watched keys.
        #[serde(rename = "under")]
        prefix: String,
        /// Revision after which events are reported; `None` for the current one.
        after: Option<Revision>,
    },
    /// Ends a watch.
    Unwatch {
        /// Id of the call that started it.
        watch: u64,
    },
    /// The receiving voter's view of the cluster; answered by every voter.
    Status,
    /// Adds a process with an empty disk as a member.
    Join {
        /// Name of the voter.
        name: String,
        /// Address of the voter.
        addr: String,
        /// Random id of the voter.
        voter: u64,
    },
    /// Whether a voter is still a member.
    #[serde(rename = "Member")]
    IsMember {
        /// Id of the voter.
        voter: u64,
    },
    /// Removes a member.
    #[serde(rename = "Remove")]
    RemoveMember {
        /// Name of the member.
        name: String,
    },
    /// Transfers leadership to another voter.
    #[serde(rename = "Transfer")]
    TransferLeadership {
        /// Name of the member.
        name: String,
    },
    /// The replicated state, for a backup.
    Backup,
}

/// Selects keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Select {
    /// One key.
    Key(String),
    /// All keys with this prefix.
    #[serde(rename = "Under")]
    Prefix(String),
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Id of the call.
    pub id: u64,
    /// The answer.
    pub answer: Answer,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Outcome of a command.
    Outcome(Outcome),
    /// The session was renewed.
    #[serde(rename = "Renewed")]
    SessionRenewed,
    /// Result of a read.
    Values {
        /// Revision of the state.
        revision: Revision,
        /// Keys and values, ordered by key.
        items: Vec<(String, VersionedValue)>,
    },
    /// The watch is established.
    Watching {
        /// Revision after which events are reported.
        revision: Revision,
    },
    /// Events of a watch.
    #[serde(rename = "Changes")]
    Events {
        /// Revision up to which the watch is now complete.
        revision: Revision,
        /// The events, in order.
        #[serde(rename = "changes")]
        events: Vec<WatchEvent>,
    },
    /// Events after the requested revision were dropped: read the keys again, and watch from the revision of that read.
    #[serde(rename = "Lost")]
    Compacted {
        /// The oldest revision from which a watch can resume.
        oldest: Revision,
    },
    /// The voter is not the leader. Nothing was done.
    NotLeader {
        /// Address of the leader, if it is known.
        leader: Option<String>,
    },
    /// The voter lost leadership; the request may or may not have been applied.
    #[serde(rename = "Unclear")]
    Indeterminate,
    /// The voter can't take the request now; holds the reason. Nothing was done.
    Busy(String),
    /// The voter's view of the cluster.
    Status(Box<Status>),
    /// The process is a member.
    Joined {
        /// Id of the cluster.
        cluster: u64,
    },
    /// The voter is not a member.
    #[serde(rename = "NoMember")]
    NotMember,
    /// The replicated state, as JSON.
    Backup(String),
    /// The request was carried out.
    Done,
    /// The request failed, with this reason; nothing was done.
    Failed(String),
}

/// A voter's view of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the voter.
    pub name: String,
    /// Id of the voter.
    pub voter: u64,
    /// Id of the cluster.
    pub cluster: u64,
    /// `leader`, `follower`, `candidate`, `learner`, `aside`, `unjoined` or `removed`.
    pub role: String,
    /// Reason of the storage failure, if storage has failed (role `aside`).
    #[serde(rename = "aside")]
    pub storage_error: Option<String>,
    /// The Raft term.
    pub term: u64,
    /// Name of the leader, if it is known.
    pub leader: Option<String>,
    /// Index of the last log entry.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// Index of the last committed entry.
    #[serde(rename = "committed")]
    pub commit_index: u64,
    /// Index of the last applied entry.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// Number of log entries, and their bytes.
    pub log: (u64, u64),
    /// Revision of the state machine.
    pub revision: Revision,
    /// Number of keys, and bytes of keys and values.
    pub size: (u64, u64),
    /// Open sessions, with their names.
    pub sessions: Vec<(SessionId, String)>,
    /// Number of watches that the voter serves.
    pub watches: u64,
    /// Members of the cluster.
    pub members: Vec<Member>,
}

/// A member of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Random id; it identifies one disk and is never used for another one.
    pub id: u64,
    /// Name of the member.
    pub name: String,
    /// Address of the member.
    pub addr: String,
    /// Whether the member is a voter; otherwise it is a learner.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Whether the member was recently active; known to the leader only.
    #[serde(default)]
    pub active: Option<bool>,
    /// Index of the last log entry that the member has; known to the leader only.
    #[serde(rename = "has", default)]
    pub match_index: Option<u64>,
}
