//! What voters and clients say to one another. Each connection begins with a [`Handshake`] from either side; then voters send
//! messages of the agreement, and clients [`Call`]s, which are answered by [`Reply`]s in any order. All but the messages of
//! the agreement is JSON.
use crate::state_machine::{Outcome, Revision, SessionId, Transaction, VersionedValue, WatchEvent};
use serde::{Deserialize, Serialize};

/// The version of what is said; both sides have to have the same.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest frame between a client and a voter, in bytes.
pub const MAX_CALL_BYTES: usize = 64 << 20;
/// Longest frame between voters, in bytes: a snapshot.
pub const MAX_RAFT_MESSAGE_BYTES: usize = 96 << 20;
/// Most bytes of keys and values in the answer to one read.
pub const MAX_READ_BYTES: u64 = 4 << 20;

/// The first thing that is said on a connection, by both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The council's own number, drawn when it was formed; `None`: not known yet.
    pub cluster: Option<u64>,
    /// Who says it.
    pub name: String,
    /// Its number among the voters; `None`: a client.
    pub voter: Option<u64>,
    /// Where it listens, if it is a voter.
    pub addr: Option<String>,
    /// Whom it wants to talk to, if it knows: the voter's number.
    pub to: Option<u64>,
}

impl Handshake {
    /// Why one who said this is not talked to by `own`.
    ///
    /// # Errors
    /// One line for both logs.
    pub fn check_compatible(&self, own: &Handshake) -> Result<(), String> {
        if self.version != own.version {
            return Err(format!(
                "{} speaks version {}, and this is version {}",
                self.name, self.version, own.version
            ));
        }
        if let (Some(its), Some(ours)) = (self.cluster, own.cluster) {
            if its != ours {
                return Err(format!(
                    "{} is of council {its:016x}, and this is council {ours:016x}",
                    self.name
                ));
            }
        }
        match (self.to, own.voter) {
            (Some(to), Some(voter)) if to != voter => {
                Err(format!("{} looks for voter {to:016x}, and this is voter {voter:016x}", self.name))
            }
            _ => Ok(()),
        }
    }
}

/// A client's call; its number is the client's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Counted by the client on this connection.
    pub id: u64,
    /// What it wants.
    pub request: Request,
}

/// What a client wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A session.
    #[serde(rename = "Open")]
    OpenSession {
        /// Whose.
        name: String,
        /// Drawn once for it.
        nonce: u64,
        /// Its time to live, in milliseconds.
        ttl_ms: u64,
        /// Whether it ends the session that has the name.
        take_over: bool,
    },
    /// The session's time to live begins anew.
    #[serde(rename = "Renew")]
    RenewSession {
        /// Which.
        session: SessionId,
    },
    /// The session ends.
    #[serde(rename = "Close")]
    CloseSession {
        /// Which.
        session: SessionId,
    },
    /// Keys are changed.
    #[serde(rename = "Write")]
    Transaction(Transaction),
    /// Keys as they are when this is answered, or later.
    Read(Select),
    /// Changes of keys as they happen; answered more than once.
    Watch {
        /// Keys that begin so.
        #[serde(rename = "under")]
        prefix: String,
        /// After this revision; `None`: from now on.
        after: Option<Revision>,
    },
    /// The watch that was called for with this number ends.
    Unwatch {
        /// Which.
        watch: u64,
    },
    /// How the voter that is asked sees the council; answered by any.
    Status,
    /// A process with an empty disk wants to become a voter.
    Join {
        /// Its name.
        name: String,
        /// Where it listens.
        addr: String,
        /// The number that it drew.
        voter: u64,
    },
    /// Whether the process with this number is still a member.
    #[serde(rename = "Member")]
    IsMember {
        /// Its number.
        voter: u64,
    },
    /// A voter is to be one no more.
    #[serde(rename = "Remove")]
    RemoveMember {
        /// Its name.
        name: String,
    },
    /// Another voter is to lead.
    #[serde(rename = "Transfer")]
    TransferLeadership {
        /// Its name.
        name: String,
    },
    /// The whole record.
    Backup,
}

/// Which keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Select {
    /// This one.
    Key(String),
    /// All that begin so.
    #[serde(rename = "Under")]
    Prefix(String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The call's number.
    pub id: u64,
    /// What came of it.
    pub answer: Answer,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Of a command.
    Outcome(Outcome),
    /// The session lives on.
    #[serde(rename = "Renewed")]
    SessionRenewed,
    /// Keys, by name, at this revision.
    Values {
        /// Of the record.
        revision: Revision,
        /// In order.
        items: Vec<(String, VersionedValue)>,
    },
    /// The watch stands, and has told all up to this revision.
    Watching {
        /// Of the record.
        revision: Revision,
    },
    /// What changed, up to this revision.
    #[serde(rename = "Changes")]
    Events {
        /// Of the record.
        revision: Revision,
        /// In order.
        #[serde(rename = "changes")]
        events: Vec<WatchEvent>,
    },
    /// What changed after the revision that was named is not known any more: read, and watch from there.
    #[serde(rename = "Lost")]
    Compacted {
        /// From here on watches can resume.
        oldest: Revision,
    },
    /// Another voter leads, or none. Nothing was done.
    NotLeader {
        /// Where the leader listens, if one is known.
        leader: Option<String>,
    },
    /// It may have been done or not: the voter leads no more.
    #[serde(rename = "Unclear")]
    Indeterminate,
    /// Too much is waiting already: `what`. Nothing was done.
    Busy(String),
    /// As this voter sees it.
    Status(Box<Status>),
    /// The council's number, for a process that has joined.
    Joined {
        /// Of the council.
        cluster: u64,
    },
    /// The process that was asked for is no member, or no more.
    #[serde(rename = "NoMember")]
    NotMember,
    /// All of it, as JSON.
    Backup(String),
    /// Done.
    Done,
    /// Not done, and why.
    Failed(String),
}

/// How a voter sees the council.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its number.
    pub voter: u64,
    /// The council's number.
    pub cluster: u64,
    /// `leader`, `follower`, `candidate`, `learner`, `aside`, `unjoined` or `removed`.
    pub role: String,
    /// Why it stands aside, if it does.
    #[serde(rename = "aside")]
    pub storage_error: Option<String>,
    /// The term of office.
    pub term: u64,
    /// Who leads, by name.
    pub leader: Option<String>,
    /// The last entry of its log.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The last that is agreed on.
    #[serde(rename = "committed")]
    pub commit_index: u64,
    /// The last that it has carried out.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// Entries that its log holds, and their bytes.
    pub log: (u64, u64),
    /// The record's revision.
    pub revision: Revision,
    /// Keys, and bytes of keys and values.
    pub size: (u64, u64),
    /// Sessions that have not ended.
    pub sessions: Vec<(SessionId, String)>,
    /// Watches that it serves.
    pub watches: u64,
    /// The members.
    pub members: Vec<Member>,
}

/// A member of the council.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its number: drawn with its disk, and never used for another disk.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addr: String,
    /// Whether it votes, or only learns.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// As the leader sees it: whether it was heard of lately.
    #[serde(default)]
    pub active: Option<bool>,
    /// As the leader sees it: the last entry that it has.
    #[serde(rename = "has", default)]
    pub match_index: Option<u64>,
}
