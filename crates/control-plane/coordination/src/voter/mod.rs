//! One voter. It is told what happens ([`Event`]) and says what it wants done ([`Action`]); agreement itself is the crate
//! `raft`'s. Nothing leaves that rests on what the disk does not have yet: a vote or an acknowledgement waits for
//! [`Event::Persisted`].
//!
//! | file | its job |
//! | --- | --- |
//! | `mod.rs` | events, and what follows from them: messages, saves, agreed commands carried out |
//! | `leading.rs` | what only the leader does: sessions' time, reads, watches, calls that wait |
//! | `members.rs` | voters that join, learn, vote and leave |
//! | `disk.rs` | what is kept on the disk |
//! | `state.rs` | what is agreed on |
mod leader;
mod membership;
mod persistence;
mod replicated_state;

pub use persistence::{bootstrap, identity, restore, Identity, PersistedState};

use crate::protocol::{Answer, Call, Reply, Status};
use crate::raft_log::Log;
use crate::state_machine::Command;
use leader::Leader;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{Config, RawNode, Ready, StateRole};
use replicated_state::State;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Ticks without word of a leader after which a voter stands for election, at the least; at most twice as many.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between two words of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// A clock that jumps by more than so many ticks was stopped, and its process with it.
const JUMP_TICKS: u32 = 3;
/// Entries that are held before they are folded into a snapshot, where nothing else is set.
pub const LOG_ENTRIES: u64 = 20_000;
/// Bytes of them.
const LOG_BYTES: u64 = 16 << 20;
/// Entries that stay in memory behind a snapshot, for members that lag a little.
const LOG_KEPT: u64 = 1_000;

/// How a voter is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names that may join.
    pub expected: Vec<String>,
    /// The time between two [`Event::Tick`]s.
    pub tick: Duration,
    /// For its draws.
    pub seed: u64,
    /// Entries that are held before they are folded into a snapshot; see [`LOG_ENTRIES`].
    pub log_entries: u64,
    /// What it does wrong, on purpose.
    pub faulty: InjectedDefects,
}

/// Faults for the simulation to find; none in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedDefects {
    /// Reads are answered without asking whether it still leads.
    pub stale_reads: bool,
    /// Sessions are renewed without asking whether it still leads.
    pub stale_renewals: bool,
    /// Snapshots leave out what each session wrote last.
    pub forgetful_snapshots: bool,
    /// A session that has ended may write.
    pub unfenced: bool,
    /// A new leader goes on with the time that it thinks sessions have left, in place of giving it in full.
    pub short_sessions: bool,
}

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// [`Settings::tick`] has passed.
    Tick,
    /// A message of another voter.
    Message(Vec<u8>),
    /// A message could not be brought to this voter.
    Unreachable(u64),
    /// The disk has what was to be saved with this number, and all before it.
    Persisted(u64),
    /// It has not, and why. `intact`: the journal is as it was before, and only a folding failed.
    PersistFailed {
        /// Which.
        number: u64,
        /// The system's word.
        why: String,
        /// Whether what is on the disk can be relied on as it was.
        intact: bool,
    },
    /// After that: the disk works again, and holds this.
    Recovered(PersistedState),
    /// A client's call.
    Call {
        /// Its connection.
        client: u64,
        /// What it wants.
        call: Call,
    },
    /// A client's connection is gone.
    ClientDisconnected(u64),
    /// The process is to end: another voter leads from now on, if one can.
    TransferLeadership,
}

/// What is wanted.
#[derive(Debug)]
pub enum Action {
    /// A message for another voter; it may be lost.
    Send {
        /// Its number.
        to: u64,
        /// What.
        message: Vec<u8>,
    },
    /// To be saved, in order; answered by [`Event::Persisted`] or [`Event::PersistFailed`].
    Persist(PersistRequest),
    /// For a client; dropped if it has gone.
    Reply {
        /// Its connection.
        client: u64,
        /// What.
        reply: Reply,
    },
    /// Something that its operator wants to know.
    Report(VoterEvent),
}

/// What is to be saved.
#[derive(Debug)]
pub struct PersistRequest {
    /// Counted from 1.
    pub number: u64,
    /// Frames of the journal.
    pub frames: Vec<Vec<u8>>,
    /// In place of all that it holds, or behind it.
    pub replace: bool,
    /// Whether it is only folded: a failure does no harm.
    pub folding: bool,
}

/// Something that an operator wants to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterEvent {
    /// It leads from now on, in this term.
    BecameLeader(u64),
    /// Another one does, by name.
    FollowsLeader(String),
    /// Nobody does, as far as it knows.
    Leaderless,
    /// It stands aside, and why: it neither votes nor acknowledges.
    StorageFailed(String),
    /// It is back.
    StorageRecovered,
    /// It has been removed, and takes no part any more.
    Removed,
    /// The log could not be folded, and why.
    SnapshotFailed(String),
    /// A member joined, votes from now on, or left.
    MembershipChanged(String),
    /// A session ended since it was not renewed: its name.
    SessionExpired(String),
}

/// A voter.
pub struct Voter {
    settings: Settings,
    own: Identity,
    log: Log,
    raft: Option<RawNode<Log>>,
    state: Option<State>,
    applied: u64,
    aside: Option<String>,
    /// Whether it stands aside for good, whatever room there is.
    lasting: bool,
    removed: bool,
    /// Saves under way, each with the messages that wait for it.
    saves: VecDeque<(u64, Option<u64>, Vec<Message>)>,
    saves_begun: u64,
    folding: Option<u64>,
    /// A snapshot that is being saved, with its save and the messages that wait for it. Nothing else is done meanwhile:
    /// the agreement can't go on from a log that it does not have yet.
    installing: Option<(u64, Ready, Vec<Message>)>,
    leading: Leader,
    /// The time of the last tick.
    ticked: Duration,
    noted: Option<VoterEvent>,
}

impl Voter {
    /// A voter with what its disk holds; it has to have an identity, and a council.
    ///
    /// # Errors
    /// The disk holds what this build can't read.
    pub fn new(now: Duration, settings: Settings, kept: PersistedState) -> Result<Voter, String> {
        let own = kept.identity.clone().ok_or("the disk is new")?;
        let leading = Leader::new(settings.seed);
        let mut voter = Voter {
            settings,
            own,
            log: Log::default(),
            raft: None,
            state: None,
            applied: 0,
            aside: None,
            lasting: false,
            removed: false,
            saves: VecDeque::new(),
            saves_begun: 0,
            folding: None,
            installing: None,
            leading,
            ticked: now,
            noted: None,
        };
        voter.begin(kept)?;
        Ok(voter)
    }

    /// Takes part from what the disk holds.
    fn begin(&mut self, kept: PersistedState) -> Result<(), String> {
        let PersistedState { snapshot, hard, entries, .. } = kept;
        let applied = snapshot.get_metadata().index;
        self.state = match applied {
            0 => None,
            _ => Some(State::read(snapshot.get_data())?),
        };
        self.applied = applied;
        self.log = Log::new(snapshot, hard, entries);
        self.saves.clear();
        self.folding = None;
        self.installing = None;
        let config = Config {
            id: self.own.voter,
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
        let raft = RawNode::new(&config, self.log.clone(), &silent).map_err(|e| e.to_string())?;
        self.raft = Some(raft);
        self.draw_timeout();
        Ok(())
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.own.voter
    }

    /// Names that may join, from now on.
    pub fn expects(&mut self, names: Vec<String>) {
        self.settings.expected = names;
    }

    /// Where a member listens.
    pub fn addr_of(&self, id: u64) -> Option<&str> {
        self.state.as_ref()?.members.get(&id).map(|known| known.addr.as_str())
    }

    /// Whether it leads and may answer.
    pub fn leads(&self) -> bool {
        self.leading.serves()
    }

    /// Why it stands aside, if it does.
    pub fn aside(&self) -> Option<&str> {
        self.aside.as_deref()
    }

    /// Whether it stands aside until its disk works again: then it is to be told [`Event::Recovered`].
    pub fn waits_for_room(&self) -> bool {
        self.raft.is_none() && !self.lasting && !self.removed
    }

    /// Takes in what happens; what follows is added to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now),
            Event::Message(bytes) => self.step(&bytes, out),
            Event::Unreachable(id) => {
                if let (Some(raft), None) = (&mut self.raft, &self.installing) {
                    raft.report_unreachable(id);
                    // One that a snapshot was on its way to is asked anew.
                    raft.report_snapshot(id, raft::SnapshotStatus::Failure);
                }
            }
            Event::Persisted(number) => self.saved(number, out),
            Event::PersistFailed { number, why, intact } => self.not_saved(number, why, intact, out),
            Event::Recovered(kept) => self.recovered(kept, out),
            Event::Call { client, call } => self.call(now, client, call, out),
            Event::ClientDisconnected(client) => self.leading.gone(client),
            Event::TransferLeadership => {
                if let (Some(raft), true) = (&mut self.raft, self.leading.serves()) {
                    if let Some(to) = membership::successor(raft) {
                        raft.transfer_leader(to);
                    }
                }
            }
        }
        self.follow_up(now, out);
    }

    fn tick(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.ticked);
        self.ticked = now;
        if self.installing.is_some() {
            return;
        }
        let Some(raft) = &mut self.raft else { return };
        raft.tick();
        // What it slept through itself is not counted against sessions: longer is always safe.
        if passed > self.settings.tick * JUMP_TICKS {
            self.leading.slept(passed);
        }
        self.lead_on();
    }

    /// What a disk that was set back to an older state, or lost its end, can't know it has acknowledged.
    fn lost_promises(&self, message: &Message) -> bool {
        let Some(raft) = &self.raft else { return false };
        let last = raft.raft.raft_log.last_index();
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= raft.raft.term
            && message.commit > last
    }

    fn step(&mut self, bytes: &[u8], out: &mut Vec<Action>) {
        // What is no message, or is for another, is passed over.
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if message.to != self.own.voter || self.installing.is_some() {
            return;
        }
        if self.lost_promises(&message) {
            let what = "its disk does not hold what it acknowledged: it was set back or lost its end; \
                        remove this voter and let it join with an empty folder";
            self.lasting = true;
            self.stand_aside(what.into(), out);
            return;
        }
        self.leading.hears(message.from);
        if let Some(raft) = &mut self.raft {
            // An error says that the message is of no use, for instance from one that was removed.
            let _ = raft.step(message);
        }
    }

    fn saved(&mut self, number: u64, out: &mut Vec<Action>) {
        if self.folding.is_some_and(|folding| folding <= number) {
            self.folding = None;
        }
        while self.saves.front().is_some_and(|(first, ..)| *first <= number) {
            let Some((_, ready, messages)) = self.saves.pop_front() else { break };
            messages.into_iter().for_each(|m| send(m, out));
            if let (Some(ready), Some(raft)) = (ready, &mut self.raft) {
                raft.on_persist_ready(ready);
            }
        }
        if let Some((_, ready, messages)) = self.installing.take_if(|(save, ..)| *save <= number) {
            messages.into_iter().for_each(|m| send(m, out));
            if let Some(raft) = &mut self.raft {
                let number = ready.number();
                raft.advance_append_async(ready);
                raft.on_persist_ready(number);
            }
        }
        self.tell_applied();
    }

    fn not_saved(&mut self, number: u64, why: String, intact: bool, out: &mut Vec<Action>) {
        if intact && self.folding == Some(number) {
            self.folding = None;
            out.push(Action::Report(VoterEvent::SnapshotFailed(why)));
            return;
        }
        self.stand_aside(why, out);
    }

    /// Takes no part any more. What was agreed without it stands; what it was asked for is unclear.
    fn stand_aside(&mut self, why: String, out: &mut Vec<Action>) {
        if let Some(mut raft) = self.raft.take() {
            // Whoever has all of its log may lead at once; it costs nothing to ask.
            if raft.raft.state == StateRole::Leader {
                if let Some(to) = membership::successor(&raft) {
                    raft.transfer_leader(to);
                    let asks = raft.raft.msgs.drain(..);
                    let asks = asks.filter(|m| m.get_msg_type() == MessageType::MsgTimeoutNow);
                    asks.for_each(|m| send(m, out));
                }
            }
        }
        self.saves.clear();
        self.folding = None;
        self.installing = None;
        self.leading.ends(None, out);
        if self.aside.is_none() {
            out.push(Action::Report(VoterEvent::StorageFailed(why.clone())));
        }
        self.aside = Some(why);
        self.noted = None;
    }

    fn recovered(&mut self, kept: PersistedState, out: &mut Vec<Action>) {
        if !self.waits_for_room() {
            return;
        }
        match self.begin(kept) {
            Ok(()) => {
                self.aside = None;
                out.push(Action::Report(VoterEvent::StorageRecovered));
            }
            Err(why) => self.stand_aside(why, out),
        }
    }

    /// All that follows from an event, until nothing does.
    fn follow_up(&mut self, now: Duration, out: &mut Vec<Action>) {
        while self.installing.is_none() {
            self.lead_or_not(now, out);
            self.read_on();
            let Some(raft) = &mut self.raft else { break };
            if !raft.has_ready() {
                break;
            }
            let mut ready = raft.ready();
            ready.take_messages().into_iter().for_each(|m| send(m, out));
            let reads = ready.take_read_states();
            let snapshot = ready.snapshot().clone();
            let entries = ready.take_entries();
            let committed = ready.take_committed_entries();
            let held = ready.take_persisted_messages();
            let (hard, must_sync, number) = (ready.hs().cloned(), ready.must_sync(), ready.number());
            if let Some(hard) = &hard {
                self.log.set_hard(hard.clone());
            }
            let installs = snapshot.get_metadata().index > 0;
            if installs {
                if let Err(why) = self.install(&snapshot) {
                    self.lasting = true;
                    self.stand_aside(why, out);
                    return;
                }
            }
            self.log.append(&entries);
            if installs {
                let save = self.save(self.whole(), true, false, out);
                self.installing = Some((save, ready, held));
                break;
            }
            if let Some(raft) = &mut self.raft {
                raft.advance_append_async(ready);
            }
            if must_sync || !entries.is_empty() {
                let mut frames = vec![persistence::hard(&self.log.hard())];
                frames.extend(entries.iter().map(persistence::entry));
                let save = self.save(frames, false, false, out);
                self.saves.push_back((save, Some(number), held));
            } else {
                self.after_saves(number, held, out);
            }
            if let Err(why) = self.carry_out(now, committed, out) {
                self.lasting = true;
                self.stand_aside(why, out);
                return;
            }
            for read in reads {
                self.leading.confirmed(&read.request_ctx, read.index);
            }
            self.fold(out);
        }
        self.answer_reads(now, out);
        self.tell_watches(out);
        self.draw_timeout();
    }

    /// Messages that wait for what is being saved already.
    fn after_saves(&mut self, ready: u64, held: Vec<Message>, out: &mut Vec<Action>) {
        match self.saves.back_mut() {
            Some((_, last, messages)) => {
                *last = Some(ready);
                messages.extend(held);
            }
            None => {
                held.into_iter().for_each(|m| send(m, out));
                if let Some(raft) = &mut self.raft {
                    raft.on_persist_ready(ready);
                }
            }
        }
    }

    /// Has frames saved; the number of the save.
    fn save(&mut self, frames: Vec<Vec<u8>>, replace: bool, folding: bool, out: &mut Vec<Action>) -> u64 {
        self.saves_begun += 1;
        let number = self.saves_begun;
        out.push(Action::Persist(PersistRequest { number, frames, replace, folding }));
        number
    }

    /// All that the disk is to hold.
    fn whole(&self) -> Vec<Vec<u8>> {
        let snapshot = self.log.snapshot_kept();
        let mut frames = vec![
            persistence::identity(&self.own),
            persistence::snapshot(&snapshot),
            persistence::hard(&self.log.hard()),
        ];
        frames.extend(self.log.behind(snapshot.get_metadata().index).iter().map(persistence::entry));
        frames
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), String> {
        let state = State::read(snapshot.get_data()).map_err(|e| format!("a snapshot: {e}"))?;
        self.applied = snapshot.get_metadata().index;
        self.log.install(snapshot.clone());
        self.state = Some(state);
        Ok(())
    }

    /// Carries out what is agreed.
    fn carry_out(
        &mut self,
        now: Duration,
        committed: Vec<Entry>,
        out: &mut Vec<Action>,
    ) -> Result<(), String> {
        for entry in committed {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let command: Command = serde_json::from_slice(&entry.data)
                        .map_err(|e| format!("entry {} is of a newer build: {e}", entry.index))?;
                    let Some(state) = &mut self.state else { return Err("commands without a record".into()) };
                    let ending = match &command {
                        Command::ExpireSession { session } => {
                            state.record.session(*session).map(|s| s.name.clone())
                        }
                        _ => None,
                    };
                    let outcome = match (&command, self.settings.faulty.unfenced) {
                        (Command::Transaction(write), true) => state.record.apply_unfenced(write),
                        _ => state.record.apply(&command),
                    };
                    if let (Some(name), true) = (ending, self.leading.serves()) {
                        out.push(Action::Report(VoterEvent::SessionExpired(name)));
                    }
                    self.leading.done(now, &entry.context, &command, outcome, out);
                }
                EntryType::EntryConfChange => {
                    let change = ConfChange::parse_from_bytes(&entry.data)
                        .map_err(|e| format!("entry {}: {e}", entry.index))?;
                    self.change_members(&change, &entry.context, out)?;
                }
                EntryType::EntryConfChangeV2 => {
                    return Err(format!("entry {} is of a newer build", entry.index));
                }
            }
        }
        self.tell_applied();
        Ok(())
    }

    /// Tells the agreement what is carried out, once the disk has it: of a snapshot that may be later.
    fn tell_applied(&mut self) {
        let applied = self.applied;
        let Some(raft) = &mut self.raft else { return };
        let log = &raft.raft.raft_log;
        if log.applied() < applied && applied <= log.committed.min(log.persisted) {
            raft.advance_apply_to(applied);
        }
    }

    /// Folds the log into a snapshot when it is long, or when a member needs one.
    fn fold(&mut self, out: &mut Vec<Action>) {
        let (entries, bytes) = self.log.size();
        let kept = self.log.snapshot_kept().get_metadata().index;
        let most = self.settings.log_entries;
        let keep = LOG_KEPT.min(most / 2);
        let long = (entries > most || bytes > LOG_BYTES) && self.applied > kept + keep;
        let wanted = self.log.wants_snapshot() && self.applied > kept;
        let (Some(state), Some(term)) = (&self.state, self.log.term_of(self.applied)) else { return };
        if self.folding.is_some() || !(long || wanted) {
            return;
        }
        let mut state = state.clone();
        if self.settings.faulty.forgetful_snapshots {
            state.record.forget_numbers();
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(state.write().into());
        let about = snapshot.mut_metadata();
        about.set_conf_state(self.log.conf());
        (about.index, about.term) = (self.applied, term);
        // Never what the agreement itself has not passed yet.
        let passed = self.raft.as_ref().map_or(0, |r| r.raft.raft_log.applied());
        let keep_from = if long { self.applied.saturating_sub(keep).min(passed) } else { 0 };
        self.log.fold(snapshot, keep_from);
        self.folding = Some(self.save(self.whole(), true, true, out));
    }

    /// The wait before it stands for election: by its seed, its term and its part, so that a run can be played again.
    fn draw_timeout(&mut self) {
        let seed = self.settings.seed;
        let Some(raft) = &mut self.raft else { return };
        let part = raft.raft.state as u64;
        let draw =
            hashing::stable(&[seed.to_le_bytes(), raft.raft.term.to_le_bytes(), part.to_le_bytes()].concat());
        let ticks = ELECTION_TICKS + (draw % ELECTION_TICKS as u64) as usize;
        if raft.raft.randomized_election_timeout() != ticks {
            raft.raft.set_randomized_election_timeout(ticks);
        }
    }

    fn leader_addr(&self) -> Option<String> {
        let leader = self.raft.as_ref()?.raft.leader_id;
        self.addr_of(leader).map(String::from)
    }

    /// How it sees the council.
    pub fn status(&self) -> Status {
        let mut status = Status { name: self.own.name.clone(), voter: self.own.voter, ..Status::default() };
        status.cluster = self.own.cluster.unwrap_or(0);
        status.storage_error = self.aside.clone();
        status.applied_index = self.applied;
        status.log = self.log.size();
        status.watches = self.leading.watches();
        status.role = match &self.raft {
            _ if self.removed => "removed".into(),
            None => "aside".into(),
            Some(raft) => match raft.raft.state {
                StateRole::Leader => "leader".into(),
                StateRole::Follower if !raft.raft.promotable() => "learner".into(),
                StateRole::Follower => "follower".into(),
                StateRole::Candidate | StateRole::PreCandidate => "candidate".into(),
            },
        };
        if let Some(raft) = &self.raft {
            status.term = raft.raft.term;
            status.last_index = raft.raft.raft_log.last_index();
            status.commit_index = raft.raft.raft_log.committed;
        }
        if let Some(state) = &self.state {
            let (keys, bytes) = state.record.size();
            status.revision = state.record.revision();
            status.size = (keys as u64, bytes);
            status.sessions = state.record.sessions().map(|(id, s)| (id, s.name.clone())).collect();
            status.members = self.members();
            let leader = self.raft.as_ref().map_or(0, |r| r.raft.leader_id);
            status.leader = state.members.get(&leader).map(|known| known.name.clone());
        }
        status
    }

    /// What is agreed on and carried out, as JSON; for tests that compare.
    pub fn agreed(&self) -> Option<(u64, Vec<u8>)> {
        Some((self.applied, self.state.as_ref()?.write()))
    }
}

fn send(message: Message, out: &mut Vec<Action>) {
    // Into memory, of a message that is whole: this can't fail.
    out.push(Action::Send { to: message.to, message: message.write_to_bytes().unwrap_or_default() });
}

/// A reply for a client.
fn reply(client: u64, id: u64, answer: Answer, out: &mut Vec<Action>) {
    out.push(Action::Reply { client, reply: Reply { id, answer } });
}

/// Sessions and their ends, by number.
type Deadlines = BTreeMap<crate::state_machine::SessionId, Duration>;
