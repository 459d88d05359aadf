//! One voter. It takes events ([`Event`]) and returns actions ([`Action`]); consensus itself is the crate `raft`. No message
//! that depends on unpersisted state is sent: votes and acknowledgements wait for [`Event::Persisted`].
//!
//! | module | contents |
//! | --- | --- |
//! | `mod` | the voter, ticks and incoming messages |
//! | `event` | events and actions |
//! | `ready` | processing of what `raft` reports as ready: messages, persistence, committed entries |
//! | `storage` | results of persistence, failure and recovery of the disk |
//! | `compaction` | replacing the log by a snapshot |
//! | `leader` | volatile state of the leader |
//! | `leadership` | gaining and losing leadership, calls, session expiry |
//! | `reads` | linearizable reads, renewals and watches |
//! | `membership` | joining, promoting and removing members |
//! | `persistence` | records of the journal |
//! | `replicated_state` | content of a snapshot |
//! | `status` | the voter's view of the cluster |
mod compaction;
mod error;
mod event;
mod leader;
mod leadership;
mod membership;
mod persistence;
mod reads;
mod ready;
mod replicated_state;
mod status;
mod storage;

pub use error::{RecordError, VoterError};
pub use event::{Action, Event, PersistRequest, VoterEvent};
pub use persistence::{bootstrap, encode_identity, restore, Identity, PersistedState};

use crate::protocol::{Answer, Reply};
use crate::raft_log::RaftLog;
use leader::Leader;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::{Config, RawNode};
use ready::{PendingInstall, PendingPersist};
use replicated_state::ReplicatedState;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum election timeout in ticks; the timeout is randomized up to twice this.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// If more than this many ticks have passed since the last tick, the process was suspended.
const SUSPENSION_TICKS: u32 = 3;
/// Default number of log entries that are kept before the log is compacted.
pub const DEFAULT_MAX_LOG_ENTRIES: u64 = 20_000;
/// Maximum bytes of log entries that are kept before the log is compacted.
const MAX_LOG_BYTES: u64 = 16 << 20;
/// Entries that are kept in memory after a compaction, for followers that lag slightly.
const RETAINED_LOG_ENTRIES: u64 = 1_000;

/// Configuration of a [`Voter`].
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Names of the members that may join.
    pub expected_members: Vec<String>,
    /// Time between two [`Event::Tick`]s.
    pub tick: Duration,
    /// Seed of the election timeouts, and id of this process in the contexts of its proposals.
    pub seed: u64,
    /// Number of log entries that are kept before the log is compacted; the default is [`DEFAULT_MAX_LOG_ENTRIES`].
    pub log_entries: u64,
    /// Defects for the simulation to detect.
    pub defects: InjectedDefects,
}

/// Deliberate defects, which the simulation must detect; none in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedDefects {
    /// Reads are answered without confirming leadership.
    pub stale_reads: bool,
    /// Sessions are renewed without confirming leadership.
    pub stale_renewals: bool,
    /// Snapshots omit the last transaction of each session.
    pub forgetful_snapshots: bool,
    /// A session that has ended may still write.
    pub unfenced: bool,
    /// A new leader does not extend sessions by their full time to live.
    pub short_sessions: bool,
}

/// A voter.
pub struct Voter {
    config: VoterConfig,
    identity: Identity,
    log: RaftLog,
    /// `None` while storage has failed.
    raft: Option<RawNode<RaftLog>>,
    /// `None` until the first snapshot of a joining voter.
    state: Option<ReplicatedState>,
    applied_index: u64,
    /// Reason of the storage failure; `None` while storage works.
    storage_error: Option<String>,
    /// Whether the storage failure is permanent: no recovery is attempted.
    storage_error_is_permanent: bool,
    removed: bool,
    /// Persist requests in flight, each with the messages that wait for it.
    pending_persists: VecDeque<PendingPersist>,
    last_persist_number: u64,
    /// Number of the compaction in flight.
    pending_compaction: Option<u64>,
    /// A received snapshot that is being persisted. Until that is done, nothing else is processed, because `raft` can't
    /// continue from a log that is not yet on disk.
    pending_install: Option<PendingInstall>,
    leader: Leader,
    last_tick_at: Duration,
    /// The last reported leadership change.
    last_report: Option<VoterEvent>,
}

impl Voter {
    /// Creates a voter from the content of its journal, which must hold an identity and a cluster.
    ///
    /// # Errors
    /// The content is invalid.
    pub fn new(now: Duration, config: VoterConfig, persisted: PersistedState) -> Result<Voter, VoterError> {
        let identity = persisted.identity.clone().ok_or(VoterError::NoIdentity)?;
        let leader = Leader::new(config.seed);
        let mut voter = Voter {
            config,
            identity,
            log: RaftLog::default(),
            raft: None,
            state: None,
            applied_index: 0,
            storage_error: None,
            storage_error_is_permanent: false,
            removed: false,
            pending_persists: VecDeque::new(),
            last_persist_number: 0,
            pending_compaction: None,
            pending_install: None,
            leader,
            last_tick_at: now,
            last_report: None,
        };
        voter.load(persisted)?;
        Ok(voter)
    }

    /// Sets the state of the voter from the content of the journal.
    fn load(&mut self, persisted: PersistedState) -> Result<(), VoterError> {
        let PersistedState { snapshot, hard_state, entries, .. } = persisted;
        let applied = snapshot.get_metadata().index;
        self.state = match applied {
            0 => None,
            _ => Some(ReplicatedState::decode(snapshot.get_data())?),
        };
        self.applied_index = applied;
        self.log = RaftLog::new(snapshot, hard_state, entries);
        self.discard_pending_persists();
        let config = Config {
            id: self.identity.voter,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            max_uncommitted_size: 16 << 20,
            max_committed_size_per_ready: 8 << 20,
            ..Config::default()
        };
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        self.raft = Some(RawNode::new(&config, self.log.clone(), &silent)?);
        self.set_election_timeout();
        Ok(())
    }

    /// Id of the voter.
    pub fn id(&self) -> u64 {
        self.identity.voter
    }

    /// Replaces the names of the members that may join.
    pub fn set_expected_members(&mut self, names: Vec<String>) {
        self.config.expected_members = names;
    }

    /// Address of a member.
    pub fn member_address(&self, id: u64) -> Option<&str> {
        self.state.as_ref()?.members.get(&id).map(|member| member.addr.as_str())
    }

    /// Whether the voter is the leader and has applied the entries of earlier terms, so that it serves requests.
    pub fn is_serving_leader(&self) -> bool {
        self.leader.is_serving()
    }

    /// Reason of the storage failure, if storage has failed.
    pub fn storage_error(&self) -> Option<&str> {
        self.storage_error.as_deref()
    }

    /// Whether storage has failed and may recover; [`Event::Recovered`] is expected then.
    pub fn awaits_storage_recovery(&self) -> bool {
        self.raft.is_none() && !self.storage_error_is_permanent && !self.removed
    }

    /// Index of the last applied entry and the encoded replicated state; for tests that compare voters.
    pub fn applied_state(&self) -> Option<(u64, Vec<u8>)> {
        Some((self.applied_index, self.state.as_ref()?.encode()))
    }

    /// Handles an event; resulting actions are appended to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now),
            Event::Message(bytes) => self.step(&bytes, actions),
            Event::Unreachable(id) => self.report_unreachable(id),
            Event::Persisted(number) => self.persisted(number, actions),
            Event::PersistFailed { number, why, intact } => self.persist_failed(number, why, intact, actions),
            Event::Recovered(persisted) => self.storage_recovered(persisted, actions),
            Event::Call { client, call } => self.handle_call(client, call, actions),
            Event::ClientDisconnected(client) => self.leader.client_disconnected(client),
            Event::TransferLeadership => self.transfer_to_successor(),
        }
        self.process_ready(now, actions);
    }

    fn tick(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if self.pending_install.is_some() {
            return;
        }
        let Some(raft) = &mut self.raft else { return };
        raft.tick();
        // Sessions could not be renewed during a suspension. Extending their deadlines is always safe.
        if elapsed > self.config.tick * SUSPENSION_TICKS {
            self.leader.extend_sessions(elapsed);
        }
        self.tick_leader();
    }

    fn step(&mut self, bytes: &[u8], actions: &mut Vec<Action>) {
        // Invalid messages and messages to another voter are ignored.
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if message.to != self.identity.voter || self.pending_install.is_some() {
            return;
        }
        if self.has_lost_acknowledged_entries(&message) {
            let reason = "its disk does not hold what it acknowledged: it was set back or lost its end; \
                          remove this voter and let it join with an empty folder";
            self.storage_error_is_permanent = true;
            self.storage_failed(reason.into(), actions);
            return;
        }
        self.leader.record_contact(message.from);
        if let Some(raft) = &mut self.raft {
            // An error means that the message can be ignored, for instance because its sender was removed.
            let _ = raft.step(message);
        }
    }

    /// Whether a heartbeat carries a commit index beyond the local log. The leader sends at most the index that this voter
    /// acknowledged, so the voter has lost entries: its disk was restored to an earlier state, or the end of the journal was
    /// lost.
    fn has_lost_acknowledged_entries(&self, message: &Message) -> bool {
        let Some(raft) = &self.raft else { return false };
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= raft.raft.term
            && message.commit > raft.raft.raft_log.last_index()
    }

    fn report_unreachable(&mut self, id: u64) {
        if let (Some(raft), None) = (&mut self.raft, &self.pending_install) {
            raft.report_unreachable(id);
            // A snapshot that is being sent to this voter is sent again.
            raft.report_snapshot(id, raft::SnapshotStatus::Failure);
        }
    }

    fn transfer_to_successor(&mut self) {
        if let (Some(raft), true) = (&mut self.raft, self.leader.is_serving()) {
            if let Some(successor) = membership::successor(raft) {
                raft.transfer_leader(successor);
            }
        }
    }

    /// Sets a pseudorandom election timeout that depends on seed, term and role, so that simulations are reproducible.
    fn set_election_timeout(&mut self) {
        let seed = self.config.seed;
        let Some(raft) = &mut self.raft else { return };
        let role = raft.raft.state as u64;
        let input = [seed.to_le_bytes(), raft.raft.term.to_le_bytes(), role.to_le_bytes()].concat();
        let ticks = ELECTION_TICKS + (hashing::stable(&input) % ELECTION_TICKS as u64) as usize;
        if raft.raft.randomized_election_timeout() != ticks {
            raft.raft.set_randomized_election_timeout(ticks);
        }
    }
}

fn send_all(messages: Vec<Message>, actions: &mut Vec<Action>) {
    for message in messages {
        // An initialized message is written to memory, which can't fail.
        let encoded = message.write_to_bytes().unwrap_or_default();
        actions.push(Action::Send { to: message.to, message: encoded });
    }
}

fn reply(client: u64, call_id: u64, answer: Answer, actions: &mut Vec<Action>) {
    actions.push(Action::Reply { client, reply: Reply { id: call_id, answer } });
}
