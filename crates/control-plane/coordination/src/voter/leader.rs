//! What only the leader does. All of it is forgotten when it leads no more: the next one begins with what is agreed.
//!
//! **Reads, renewals and watches** wait for a round in which a majority says that it still leads, begun after they came.
//! A leader that was paused while another was elected gets no such round, so it answers nothing stale and renews nothing.
//!
//! **Sessions' time** is counted here, by this process's clock, from when it began to lead: each session gets its time to
//! live in full then, whatever it had left. Its holder counts from before it asked, so it gives up first.
use super::{reply, Action, Deadlines, Voter, VoterEvent, ELECTION_TICKS};
use crate::protocol::{Answer, Call, Request, Select, MAX_READ_BYTES};
use crate::state_machine::{Command, Outcome, Rejection, Revision, SessionEnd, SessionId};
use crate::CLOCK_DRIFT_FRACTION;
use raft::{ProgressState, SnapshotStatus, StateRole};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Calls that may wait at one voter.
pub const MAX_PENDING_CALLS: usize = 8_192;
/// Watches that one voter serves.
pub const MAX_WATCHES: usize = 4_096;
/// Ticks after which a round that got no answer is asked for again.
const ROUND_TICKS: u32 = 3;
/// Ticks after which a snapshot that a member was sent, and of which nothing is heard, is sent again.
const SNAPSHOT_TICKS: u32 = 40;
/// A watch to which nothing happens hears of the revision after so many.
const PROGRESS: Revision = 1_000;

/// Length of what tells this voter's proposals from others'.
pub(super) const ORIGIN: usize = 16;

struct Waiting {
    client: u64,
    id: u64,
    /// What it is told instead of the outcome.
    instead: Option<Answer>,
}

struct Round {
    number: u64,
    begun: u32,
    calls: Vec<(u64, Call)>,
}

struct Watch {
    under: String,
    sent: Revision,
}

pub(super) struct Leader {
    /// Tells proposals of this process from those of others, and of those before it.
    nonce: u64,
    count: u64,
    serving: Option<u64>,
    deadlines: Deadlines,
    expiring: BTreeSet<SessionId>,
    waiting: BTreeMap<u64, Waiting>,
    queue: Vec<(u64, Call)>,
    round: Option<Round>,
    /// Rounds that were confirmed, and up to where must be carried out first.
    confirmed: Vec<(u64, Vec<(u64, Call)>)>,
    watches: BTreeMap<(u64, u64), Watch>,
    told: Revision,
    ticks: u32,
    /// When it began to lead, in ticks.
    began: u32,
    /// When each member was heard last, in ticks.
    heard: BTreeMap<u64, u32>,
    /// Members that were sent a snapshot, and for how many ticks nothing was heard of it.
    sent: BTreeMap<u64, u32>,
}

fn full(ttl_ms: u64) -> Duration {
    let ttl = Duration::from_millis(ttl_ms);
    ttl + ttl / CLOCK_DRIFT_FRACTION
}

impl Leader {
    pub(super) fn new(nonce: u64) -> Leader {
        Leader {
            nonce,
            count: 0,
            serving: None,
            deadlines: Deadlines::new(),
            expiring: BTreeSet::new(),
            waiting: BTreeMap::new(),
            queue: Vec::new(),
            round: None,
            confirmed: Vec::new(),
            watches: BTreeMap::new(),
            told: 0,
            ticks: 0,
            began: 0,
            heard: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    pub(super) fn serves(&self) -> bool {
        self.serving.is_some()
    }

    pub(super) fn watches(&self) -> u64 {
        self.watches.len() as u64
    }

    /// A member was heard.
    pub(super) fn hears(&mut self, id: u64) {
        if self.serves() {
            self.heard.insert(id, self.ticks);
        }
    }

    /// Whether it was heard within the time after which a leader would be missed.
    pub(super) fn heard(&self, id: u64) -> bool {
        self.heard.get(&id).is_some_and(|&at| self.ticks.wrapping_sub(at) <= ELECTION_TICKS as u32)
    }

    /// Whether it leads for long enough to know whom it hears.
    pub(super) fn settled(&self) -> bool {
        self.serves() && self.ticks.wrapping_sub(self.began) > ELECTION_TICKS as u32
    }

    /// The process was stopped for so long: sessions could not be renewed meanwhile.
    pub(super) fn slept(&mut self, passed: Duration) {
        self.deadlines.values_mut().for_each(|at| *at += passed);
    }

    pub(super) fn gone(&mut self, client: u64) {
        self.watches.retain(|(owner, _), _| *owner != client);
        self.queue.retain(|(owner, _)| *owner != client);
        self.waiting.retain(|_, w| w.client != client);
        if let Some(round) = &mut self.round {
            round.calls.retain(|(owner, _)| *owner != client);
        }
        for (_, calls) in &mut self.confirmed {
            calls.retain(|(owner, _)| *owner != client);
        }
    }

    /// It leads no more: who waits is told, and of what may have been done that it is unclear.
    pub(super) fn ends(&mut self, leader: Option<String>, out: &mut Vec<Action>) {
        self.serving = None;
        for (_, w) in std::mem::take(&mut self.waiting) {
            reply(w.client, w.id, Answer::Indeterminate, out);
        }
        let rounds = self.round.take().map(|r| r.calls).into_iter();
        let calls = rounds.chain(std::mem::take(&mut self.confirmed).into_iter().map(|(_, calls)| calls));
        for (client, call) in calls.flatten().chain(std::mem::take(&mut self.queue)) {
            reply(client, call.id, Answer::NotLeader { leader: leader.clone() }, out);
        }
        for ((client, id), _) in std::mem::take(&mut self.watches) {
            reply(client, id, Answer::NotLeader { leader: leader.clone() }, out);
        }
        self.expiring.clear();
        self.heard.clear();
    }

    fn calls(&self) -> usize {
        let asked = self.round.as_ref().map_or(0, |r| r.calls.len());
        self.waiting.len() + self.queue.len() + asked
    }

    /// A place for a proposal, and what it carries so that it is known again.
    pub(super) fn origin(&mut self, client: u64, id: u64, instead: Option<Answer>) -> Vec<u8> {
        self.count += 1;
        self.waiting.insert(self.count, Waiting { client, id, instead });
        [self.nonce.to_le_bytes(), self.count.to_le_bytes()].concat()
    }

    /// The proposal was not taken.
    pub(super) fn not_taken(&mut self) {
        self.waiting.remove(&self.count);
    }

    /// Tells who waits for the proposal with this origin.
    pub(super) fn tell(&mut self, origin: &[u8], answer: Answer, out: &mut Vec<Action>) {
        let number = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or(0);
        if origin.len() < ORIGIN || number(&origin[..8]) != self.nonce {
            return;
        }
        if let Some(w) = self.waiting.remove(&number(&origin[8..ORIGIN])) {
            reply(w.client, w.id, w.instead.unwrap_or(answer), out);
        }
    }

    /// A command was carried out.
    pub(super) fn done(
        &mut self,
        now: Duration,
        origin: &[u8],
        command: &Command,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if let (Command::OpenSession { ttl_ms, .. }, Outcome::SessionOpened(session), true) =
            (command, &outcome, self.serves())
        {
            self.deadlines.insert(*session, now + full(*ttl_ms));
        }
        self.tell(origin, Answer::Outcome(outcome), out);
    }

    pub(super) fn confirmed(&mut self, context: &[u8], index: u64) {
        let number = context.try_into().map(u64::from_le_bytes).unwrap_or(0);
        if self.round.as_ref().is_some_and(|r| r.number == number) {
            if let Some(round) = self.round.take() {
                self.confirmed.push((index, round.calls));
            }
        }
    }
}

impl Voter {
    /// Begins and ends what only the leader does.
    pub(super) fn lead_or_not(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(raft) = &self.raft else { return };
        let (term, leader) = (raft.raft.term, raft.raft.leader_id);
        let leads = raft.raft.state == StateRole::Leader;
        let ready = leads && raft.raft.commit_to_current_term() && raft.raft.apply_to_current_term();
        if self.leading.serving.is_some_and(|of| !leads || of != term) {
            let leader = self.leader_addr();
            self.leading.ends(leader, out);
        }
        if ready && !self.leading.serves() {
            let Some(state) = &self.state else { return };
            let l = &mut self.leading;
            l.serving = Some(term);
            l.began = l.ticks;
            l.told = state.record.revision();
            l.expiring.clear();
            // In full: nobody here knows when they were renewed last.
            let old = std::mem::take(&mut l.deadlines);
            let short = self.settings.faulty.short_sessions;
            let until = |id: SessionId, ttl: u64| match old.get(&id) {
                Some(&left) if short => left,
                _ => now + if short { Duration::ZERO } else { full(ttl) },
            };
            l.deadlines = state.record.sessions().map(|(id, s)| (id, until(id, s.ttl_ms))).collect();
        }
        let note = match (&self.state, leader) {
            _ if self.leading.serves() => VoterEvent::BecameLeader(term),
            (Some(state), id) if id != 0 && !leads => match state.members.get(&id) {
                Some(known) => VoterEvent::FollowsLeader(known.name.clone()),
                None => return,
            },
            (_, 0) => VoterEvent::Leaderless,
            _ => return,
        };
        if self.noted.as_ref() != Some(&note) {
            out.push(Action::Report(note.clone()));
            self.noted = Some(note);
        }
    }

    /// A client's call.
    pub(super) fn call(&mut self, now: Duration, client: u64, call: Call, out: &mut Vec<Action>) {
        let id = call.id;
        if call.request == Request::Status {
            return reply(client, id, Answer::Status(Box::new(self.status())), out);
        }
        if !self.leading.serves() {
            let taking_office = self.raft.as_ref().is_some_and(|r| r.raft.state == StateRole::Leader);
            let answer = match taking_office {
                true => Answer::Busy("the leader takes office".into()),
                false => Answer::NotLeader { leader: self.leader_addr() },
            };
            return reply(client, id, answer, out);
        }
        if let Request::Unwatch { watch } = call.request {
            self.leading.watches.remove(&(client, watch));
            return reply(client, id, Answer::Done, out);
        }
        if self.leading.calls() >= MAX_PENDING_CALLS {
            return reply(client, id, Answer::Busy(format!("{MAX_PENDING_CALLS} calls wait")), out);
        }
        let command = match call.request {
            Request::OpenSession { name, nonce, ttl_ms, take_over } => {
                Command::OpenSession { name, nonce, ttl_ms, take_over }
            }
            Request::CloseSession { session } => Command::CloseSession { session },
            Request::Transaction(write) => {
                let refusal = self.state.as_ref().and_then(|s| s.record.validate(&write));
                if let Some(refusal) = refusal {
                    return reply(client, id, Answer::Outcome(Outcome::Rejected(refusal)), out);
                }
                Command::Transaction(write)
            }
            Request::Join { name, addr, voter } => return self.join(client, id, &name, &addr, voter, out),
            Request::RemoveMember { name } => return self.remove(client, id, &name, out),
            Request::TransferLeadership { name } => return self.transfer(client, id, &name, out),
            _ => {
                self.leading.queue.push((client, call));
                return;
            }
        };
        let origin = self.leading.origin(client, id, None);
        if !self.propose(origin, &command) {
            self.leading.not_taken();
            reply(client, id, Answer::Busy("too much is not agreed on yet".into()), out);
        }
        let _ = now;
    }

    fn propose(&mut self, origin: Vec<u8>, command: &Command) -> bool {
        let Some(raft) = &mut self.raft else { return false };
        // Texts and numbers only: this can't fail.
        let data = serde_json::to_vec(command).unwrap_or_default();
        raft.propose(origin, data).is_ok()
    }

    /// Once a tick: sessions whose time is over, rounds that got no answer, learners that have learned.
    pub(super) fn lead_on(&mut self) {
        let now = self.ticked;
        let Some(state) = &self.state else { return };
        let l = &mut self.leading;
        l.ticks = l.ticks.wrapping_add(1);
        if !l.serves() {
            return;
        }
        l.deadlines.retain(|id, _| state.record.session(*id).is_some());
        l.expiring.retain(|id| state.record.session(*id).is_some());
        l.heard.retain(|id, _| state.members.contains_key(id));
        let over = l.deadlines.iter().filter(|(id, at)| **at <= now && !l.expiring.contains(id));
        let over: Vec<SessionId> = over.map(|(&id, _)| id).collect();
        if let Some(round) = l.round.take_if(|r| l.ticks.wrapping_sub(r.begun) > ROUND_TICKS) {
            l.queue.splice(0..0, round.calls);
        }
        for session in over {
            if self.propose(Vec::new(), &Command::ExpireSession { session }) {
                self.leading.expiring.insert(session);
            }
        }
        self.send_again();
        self.promote();
    }

    /// The agreement waits for word of a snapshot for ever; one that was lost on the way is sent again.
    fn send_again(&mut self) {
        let (Some(raft), sent) = (&mut self.raft, &mut self.leading.sent) else { return };
        let tracked = raft.raft.prs().iter();
        let waits = tracked.filter(|(_, p)| p.state == ProgressState::Snapshot).map(|(&id, _)| id);
        let waits: BTreeSet<u64> = waits.collect();
        sent.retain(|id, _| waits.contains(id));
        for id in waits {
            let ticks = sent.entry(id).or_insert(0);
            *ticks += 1;
            if *ticks >= SNAPSHOT_TICKS {
                *ticks = 0;
                raft.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Begins a round for the calls that wait for one.
    pub(super) fn read_on(&mut self) {
        let l = &mut self.leading;
        let (Some(raft), true, true) = (&mut self.raft, l.serves(), l.round.is_none()) else { return };
        if l.queue.is_empty() {
            return;
        }
        let mut calls = std::mem::take(&mut l.queue);
        let faulty = self.settings.faulty;
        if faulty.stale_reads || faulty.stale_renewals {
            let unasked = |call: &Call| match call.request {
                Request::RenewSession { .. } => faulty.stale_renewals,
                _ => faulty.stale_reads,
            };
            let (at_once, rest) = calls.into_iter().partition(|(_, call)| unasked(call));
            l.confirmed.push((0, at_once));
            calls = rest;
            if calls.is_empty() {
                return;
            }
        }
        l.count += 1;
        let number = l.count;
        l.round = Some(Round { number, begun: l.ticks, calls });
        raft.read_index(number.to_le_bytes().to_vec());
    }

    /// Answers what was confirmed, once all that was agreed before is carried out.
    pub(super) fn answer_reads(&mut self, now: Duration, out: &mut Vec<Action>) {
        let applied = self.applied;
        let (ready, rest) = std::mem::take(&mut self.leading.confirmed)
            .into_iter()
            .partition::<Vec<_>, _>(|(index, _)| *index <= applied);
        self.leading.confirmed = rest;
        for (client, call) in ready.into_iter().flat_map(|(_, calls)| calls) {
            let answer = self.answer(now, client, &call);
            reply(client, call.id, answer, out);
        }
    }

    fn answer(&mut self, now: Duration, client: u64, call: &Call) -> Answer {
        let Some(state) = &self.state else { return Answer::NotLeader { leader: None } };
        let record = &state.record;
        let l = &mut self.leading;
        match &call.request {
            Request::RenewSession { session } => match record.session(*session) {
                Some(s) if !l.expiring.contains(session) => {
                    l.deadlines.insert(*session, now + full(s.ttl_ms));
                    Answer::SessionRenewed
                }
                Some(_) => Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(SessionEnd::Expired))),
                None => {
                    Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(record.session_end(*session))))
                }
            },
            Request::Read(select) => {
                let found: Vec<_> = match select {
                    Select::Key(key) => record.get(key).map(|i| (key.as_str(), i)).into_iter().collect(),
                    Select::Prefix(prefix) => record.with_prefix(prefix).collect(),
                };
                let bytes: u64 = found.iter().map(|(k, i)| (k.len() + i.value.len()) as u64).sum();
                if bytes > MAX_READ_BYTES {
                    return Answer::Failed(format!(
                        "{bytes} bytes, and {MAX_READ_BYTES} at most are read at once"
                    ));
                }
                let items = found.into_iter().map(|(k, i)| (k.to_string(), i.clone())).collect();
                Answer::Values { revision: record.revision(), items }
            }
            Request::Watch { prefix: under, after } => {
                let sent = after.unwrap_or(record.revision());
                if sent > record.revision() || record.events_since(sent).is_none() {
                    return Answer::Compacted { oldest: record.oldest_resumable_revision() };
                }
                if l.watches.len() >= MAX_WATCHES {
                    return Answer::Busy(format!("{MAX_WATCHES} watches"));
                }
                // What it has missed is told next.
                l.told = l.told.min(sent);
                l.watches.insert((client, call.id), Watch { under: under.clone(), sent });
                Answer::Watching { revision: sent }
            }
            Request::IsMember { voter } => match state.members.contains_key(voter) {
                true => Answer::Done,
                false => Answer::NotMember,
            },
            Request::Backup => match String::from_utf8(state.write()) {
                Ok(text) => Answer::Backup(text),
                Err(e) => Answer::Failed(e.to_string()),
            },
            _ => Answer::Failed("that is no read".into()),
        }
    }

    /// Tells watches what has changed.
    pub(super) fn tell_watches(&mut self, out: &mut Vec<Action>) {
        let Some(state) = &self.state else { return };
        let (record, l) = (&state.record, &mut self.leading);
        let revision = record.revision();
        if l.told >= revision {
            return;
        }
        l.told = revision;
        l.watches.retain(|&(client, id), watch| {
            let Some(since) = record.events_since(watch.sent) else {
                reply(client, id, Answer::Compacted { oldest: record.oldest_resumable_revision() }, out);
                return false;
            };
            let changes: Vec<_> = since.filter(|c| c.key.starts_with(&watch.under)).cloned().collect();
            if !changes.is_empty() || revision - watch.sent >= PROGRESS {
                watch.sent = revision;
                reply(client, id, Answer::Events { revision, events: changes }, out);
            }
            true
        });
    }
}
