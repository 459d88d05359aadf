//! Volatile state of the leader. It is discarded when leadership is lost; the next leader starts from the replicated state.
//!
//! **Reads, renewals and watches** wait for a round of heartbeats that started after they arrived and in which a quorum
//! confirms the leadership. A leader that was suspended while another was elected gets no such confirmation, so it
//! neither answers with stale data nor renews sessions.
//!
//! **Session expiry** is timed here by the local clock. A new leader gives each session its full time to live, regardless of
//! the time that was left. The holder counts from before it sent its renewal, so it stops relying on the session first.
use super::{reply, Action, ELECTION_TICKS};
use crate::protocol::{Answer, Call};
use crate::state_machine::{Outcome, Revision, SessionId};
use crate::CLOCK_DRIFT_FRACTION;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Length in bytes of a [`Leader::start_proposal`] context: the id of the process and the number of the proposal.
pub(super) const PROPOSAL_CONTEXT_BYTES: usize = 16;

/// A client that waits for a proposal to be applied.
struct PendingProposal {
    client: u64,
    call_id: u64,
    /// Answer on success; `None` for the outcome of the command.
    answer: Option<Answer>,
}

/// A call and the client's connection on which it arrived.
#[derive(Clone, Debug)]
pub(super) struct ClientCall {
    pub client: u64,
    pub call: Call,
}

/// A leadership confirmation in flight, and the calls that wait for it.
pub(super) struct ReadRound {
    pub id: u64,
    pub started_at_tick: u32,
    pub calls: Vec<ClientCall>,
}

/// Calls whose read round was confirmed.
pub(super) struct ConfirmedReads {
    /// Index of the log entry that must be applied before the calls are answered.
    pub read_index: u64,
    pub calls: Vec<ClientCall>,
}

/// Identifies a call at one voter: the client's connection, and the id that is unique on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId {
    pub client: u64,
    pub call_id: u64,
}

pub(super) struct Watch {
    pub prefix: String,
    /// The last revision that was reported.
    pub last_revision: Revision,
}

pub(super) struct Leader {
    /// Distinguishes proposals of this process from those of other processes and of earlier ones.
    process_id: u64,
    /// Number of the last proposal or read round.
    pub last_number: u64,
    /// Term in which the voter serves as leader.
    pub serving_term: Option<u64>,
    pub session_deadlines: BTreeMap<SessionId, Duration>,
    /// Sessions whose expiry was proposed.
    pub expiring_sessions: BTreeSet<SessionId>,
    /// Clients that wait for a proposal, by proposal number.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// Calls that wait for the next read round.
    pub queued_reads: Vec<ClientCall>,
    pub read_round: Option<ReadRound>,
    pub confirmed_reads: Vec<ConfirmedReads>,
    pub watches: BTreeMap<CallId, Watch>,
    /// Revision up to which all watches are notified.
    pub notified_revision: Revision,
    pub ticks: u32,
    /// Tick at which the voter began to serve.
    pub serving_since: u32,
    /// Tick of the last message from each member.
    pub last_contact: BTreeMap<u64, u32>,
    /// Members to which a snapshot was sent, with the number of ticks since then.
    pub snapshot_ticks: BTreeMap<u64, u32>,
}

/// Time after which an unrenewed session is expired.
pub(super) fn expiry_timeout(ttl_ms: u64) -> Duration {
    let ttl = Duration::from_millis(ttl_ms);
    ttl + ttl / CLOCK_DRIFT_FRACTION
}

impl Leader {
    pub fn new(process_id: u64) -> Leader {
        Leader {
            process_id,
            last_number: 0,
            serving_term: None,
            session_deadlines: BTreeMap::new(),
            expiring_sessions: BTreeSet::new(),
            pending_proposals: BTreeMap::new(),
            queued_reads: Vec::new(),
            read_round: None,
            confirmed_reads: Vec::new(),
            watches: BTreeMap::new(),
            notified_revision: 0,
            ticks: 0,
            serving_since: 0,
            last_contact: BTreeMap::new(),
            snapshot_ticks: BTreeMap::new(),
        }
    }

    pub fn is_serving(&self) -> bool {
        self.serving_term.is_some()
    }

    pub fn watch_count(&self) -> u64 {
        self.watches.len() as u64
    }

    /// Records that a message from a member arrived.
    pub fn record_contact(&mut self, id: u64) {
        if self.is_serving() {
            self.last_contact.insert(id, self.ticks);
        }
    }

    /// Whether a message from a member arrived within the election timeout.
    pub fn is_active(&self, id: u64) -> bool {
        let contact = self.last_contact.get(&id);
        contact.is_some_and(|&tick| self.ticks.wrapping_sub(tick) <= ELECTION_TICKS as u32)
    }

    /// Whether the voter has served long enough to know which members are active.
    pub fn knows_active_members(&self) -> bool {
        self.is_serving() && self.ticks.wrapping_sub(self.serving_since) > ELECTION_TICKS as u32
    }

    /// Extends all sessions, after a suspension of the process.
    pub fn extend_sessions(&mut self, duration: Duration) {
        self.session_deadlines.values_mut().for_each(|deadline| *deadline += duration);
    }

    /// Starts the expiry timeout of a new session.
    pub fn session_opened(&mut self, now: Duration, session: SessionId, ttl_ms: u64) {
        if self.is_serving() {
            self.session_deadlines.insert(session, now + expiry_timeout(ttl_ms));
        }
    }

    /// Drops everything that belongs to a client's connection.
    pub fn client_disconnected(&mut self, client: u64) {
        self.watches.retain(|id, _| id.client != client);
        self.queued_reads.retain(|read| read.client != client);
        self.pending_proposals.retain(|_, proposal| proposal.client != client);
        if let Some(round) = &mut self.read_round {
            round.calls.retain(|read| read.client != client);
        }
        for confirmed in &mut self.confirmed_reads {
            confirmed.calls.retain(|read| read.client != client);
        }
    }

    /// Handles the loss of leadership: answers all pending calls and ends all watches.
    pub fn step_down(&mut self, leader: Option<String>, actions: &mut Vec<Action>) {
        self.serving_term = None;
        for proposal in std::mem::take(&mut self.pending_proposals).into_values() {
            reply(proposal.client, proposal.call_id, Answer::Indeterminate, actions);
        }
        let not_leader = Answer::NotLeader { leader };
        let in_round = self.read_round.take().map(|round| round.calls).unwrap_or_default();
        let confirmed = std::mem::take(&mut self.confirmed_reads).into_iter().flat_map(|reads| reads.calls);
        let queued = std::mem::take(&mut self.queued_reads);
        for read in in_round.into_iter().chain(confirmed).chain(queued) {
            reply(read.client, read.call.id, not_leader.clone(), actions);
        }
        for id in std::mem::take(&mut self.watches).into_keys() {
            reply(id.client, id.call_id, not_leader.clone(), actions);
        }
        self.expiring_sessions.clear();
        self.last_contact.clear();
    }

    /// Number of calls that are not answered yet.
    pub fn pending_calls(&self) -> usize {
        let in_round = self.read_round.as_ref().map_or(0, |round| round.calls.len());
        self.pending_proposals.len() + self.queued_reads.len() + in_round
    }

    /// Registers a proposal and returns the context that identifies it in the log.
    pub fn start_proposal(&mut self, client: u64, call_id: u64, answer: Option<Answer>) -> Vec<u8> {
        self.last_number += 1;
        self.pending_proposals.insert(self.last_number, PendingProposal { client, call_id, answer });
        [self.process_id.to_le_bytes(), self.last_number.to_le_bytes()].concat()
    }

    /// Removes the proposal that was registered last, because Raft did not accept it.
    pub fn cancel_proposal(&mut self) {
        self.pending_proposals.remove(&self.last_number);
    }

    /// Answers the client that waits for the proposal with this context.
    pub fn complete_proposal(&mut self, context: &[u8], answer: Answer, actions: &mut Vec<Action>) {
        let number = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or(0);
        if context.len() < PROPOSAL_CONTEXT_BYTES || number(&context[..8]) != self.process_id {
            return;
        }
        if let Some(proposal) = self.pending_proposals.remove(&number(&context[8..PROPOSAL_CONTEXT_BYTES])) {
            reply(proposal.client, proposal.call_id, proposal.answer.unwrap_or(answer), actions);
        }
    }

    /// Answers the client that waits for a command that was applied.
    pub fn command_applied(&mut self, context: &[u8], outcome: Outcome, actions: &mut Vec<Action>) {
        self.complete_proposal(context, Answer::Outcome(outcome), actions);
    }

    /// Handles the confirmation of the leadership by a quorum, for the round with this context.
    pub fn confirm_round(&mut self, context: &[u8], read_index: u64) {
        let id = context.try_into().map(u64::from_le_bytes).unwrap_or(0);
        if let Some(round) = self.read_round.take_if(|round| round.id == id) {
            self.confirmed_reads.push(ConfirmedReads { read_index, calls: round.calls });
        }
    }
}
