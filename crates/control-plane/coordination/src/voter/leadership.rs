//! Gaining and losing leadership, dispatch of calls, and the leader's periodic work.
use super::leader::{expiry_timeout, CallId, ClientCall};
use super::{reply, Action, Voter, VoterEvent};
use crate::protocol::{Answer, Call, Request};
use crate::state_machine::{Command, Outcome, SessionId};
use raft::{ProgressState, SnapshotStatus, StateRole};
use std::collections::BTreeSet;
use std::time::Duration;

/// Calls that may be pending at one voter.
pub(super) const MAX_PENDING_CALLS: usize = 8_192;
/// Number of ticks after which an unconfirmed read round is started again.
const READ_ROUND_TIMEOUT_TICKS: u32 = 3;
/// Number of ticks after which a snapshot that a follower has not acknowledged is sent again.
const SNAPSHOT_TIMEOUT_TICKS: u32 = 40;

impl Voter {
    /// Starts or stops serving as leader, and reports the change.
    pub(super) fn update_leadership(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(raft) = &self.raft else { return };
        let term = raft.raft.term;
        let is_leader = raft.raft.state == StateRole::Leader;
        let is_ready = is_leader && raft.raft.commit_to_current_term() && raft.raft.apply_to_current_term();
        if self.leader.serving_term.is_some_and(|serving| !is_leader || serving != term) {
            let leader = self.leader_address();
            self.leader.step_down(leader, actions);
        }
        if is_ready && !self.leader.is_serving() {
            if self.state.is_none() {
                return;
            }
            self.start_serving(now, term);
        }
        self.report_leadership(term, is_leader, actions);
    }

    fn start_serving(&mut self, now: Duration, term: u64) {
        let Some(state) = &self.state else { return };
        let leader = &mut self.leader;
        leader.serving_term = Some(term);
        leader.serving_since = leader.ticks;
        leader.notified_revision = state.state_machine.revision();
        leader.expiring_sessions.clear();
        let former_deadlines = std::mem::take(&mut leader.session_deadlines);
        let defective = self.config.defects.short_sessions;
        // Each session gets its full time to live: this voter does not know when it was last renewed.
        let deadline = |id: SessionId, ttl_ms: u64| match former_deadlines.get(&id) {
            Some(&deadline) if defective => deadline,
            _ if defective => now,
            _ => now + expiry_timeout(ttl_ms),
        };
        let sessions = state.state_machine.sessions();
        leader.session_deadlines = sessions.map(|(id, session)| (id, deadline(id, session.ttl_ms))).collect();
    }

    fn report_leadership(&mut self, term: u64, is_leader: bool, actions: &mut Vec<Action>) {
        let leader_id = self.raft.as_ref().map_or(0, |raft| raft.raft.leader_id);
        let report = if self.leader.is_serving() {
            VoterEvent::BecameLeader(term)
        } else if leader_id == 0 {
            VoterEvent::Leaderless
        } else if is_leader {
            return;
        } else {
            let member = self.state.as_ref().and_then(|state| state.members.get(&leader_id));
            let Some(member) = member else { return };
            VoterEvent::FollowsLeader(member.name.clone())
        };
        if self.last_report.as_ref() != Some(&report) {
            actions.push(Action::Report(report.clone()));
            self.last_report = Some(report);
        }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.raft.as_ref()?.raft.leader_id;
        self.member_address(leader).map(String::from)
    }

    /// Handles a client's call.
    pub(super) fn handle_call(&mut self, client: u64, call: Call, actions: &mut Vec<Action>) {
        let call_id = call.id;
        if let Some(answer) = self.answer_immediately(client, &call.request) {
            return reply(client, call_id, answer, actions);
        }
        match call.request {
            Request::OpenSession { name, nonce, ttl_ms, take_over } => {
                let command = Command::OpenSession { name, nonce, ttl_ms, take_over };
                self.propose_for(client, call_id, &command, actions);
            }
            Request::CloseSession { session } => {
                self.propose_for(client, call_id, &Command::CloseSession { session }, actions);
            }
            Request::Transaction(transaction) => {
                let state = self.state.as_ref();
                match state.and_then(|state| state.state_machine.validate(&transaction)) {
                    Some(rejection) => {
                        let answer = Answer::Outcome(Outcome::Rejected(rejection));
                        reply(client, call_id, answer, actions);
                    }
                    None => self.propose_for(client, call_id, &Command::Transaction(transaction), actions),
                }
            }
            Request::Join { name, addr, voter } => {
                self.join(CallId { client, call_id }, &name, &addr, voter, actions);
            }
            Request::RemoveMember { name } => {
                self.remove_member(CallId { client, call_id }, &name, actions);
            }
            Request::TransferLeadership { name } => {
                let answer = self.transfer_leadership(&name);
                reply(client, call_id, answer, actions);
            }
            _ => self.leader.queued_reads.push(ClientCall { client, call }),
        }
    }

    /// The answer to a call that needs neither a proposal nor a read round.
    fn answer_immediately(&mut self, client: u64, request: &Request) -> Option<Answer> {
        if *request == Request::Status {
            return Some(Answer::Status(Box::new(self.status())));
        }
        if !self.leader.is_serving() {
            let is_leader = self.raft.as_ref().is_some_and(|raft| raft.raft.state == StateRole::Leader);
            return Some(match is_leader {
                true => Answer::Busy("the leader takes office".into()),
                false => Answer::NotLeader { leader: self.leader_address() },
            });
        }
        if let Request::Unwatch { watch } = request {
            self.leader.watches.remove(&CallId { client, call_id: *watch });
            return Some(Answer::Done);
        }
        if self.leader.pending_calls() >= MAX_PENDING_CALLS {
            return Some(Answer::Busy(format!("{MAX_PENDING_CALLS} calls wait")));
        }
        None
    }

    fn propose_for(&mut self, client: u64, call_id: u64, command: &Command, actions: &mut Vec<Action>) {
        let context = self.leader.start_proposal(client, call_id, None);
        if !self.propose(context, command) {
            self.leader.cancel_proposal();
            reply(client, call_id, Answer::Busy("too much is not agreed on yet".into()), actions);
        }
    }

    fn propose(&mut self, context: Vec<u8>, command: &Command) -> bool {
        let Some(raft) = &mut self.raft else { return false };
        // Strings and numbers only, so serialization can't fail.
        let data = serde_json::to_vec(command).unwrap_or_default();
        raft.propose(context, data).is_ok()
    }

    /// Does the leader's work at each tick: session expiry, unconfirmed read rounds, lost snapshots and promotion of learners.
    pub(super) fn tick_leader(&mut self) {
        let now = self.last_tick_at;
        let Some(state) = &self.state else { return };
        let leader = &mut self.leader;
        leader.ticks = leader.ticks.wrapping_add(1);
        if !leader.is_serving() {
            return;
        }
        let is_open = |id: &SessionId| state.state_machine.session(*id).is_some();
        leader.session_deadlines.retain(|id, _| is_open(id));
        leader.expiring_sessions.retain(is_open);
        leader.last_contact.retain(|id, _| state.members.contains_key(id));
        let (ticks, deadlines) = (leader.ticks, &leader.session_deadlines);
        let expired = deadlines.iter().filter(|(_, deadline)| **deadline <= now).map(|(&id, _)| id);
        let expired: Vec<SessionId> = expired.filter(|id| !leader.expiring_sessions.contains(id)).collect();
        let timed_out = leader
            .read_round
            .take_if(|round| ticks.wrapping_sub(round.started_at_tick) > READ_ROUND_TIMEOUT_TICKS);
        if let Some(round) = timed_out {
            leader.queued_reads.splice(0..0, round.calls);
        }
        for session in expired {
            if self.propose(Vec::new(), &Command::ExpireSession { session }) {
                self.leader.expiring_sessions.insert(session);
            }
        }
        self.resend_lost_snapshots();
        self.promote_learner();
    }

    /// Sends snapshots again that were not acknowledged in time: `raft` itself waits for the acknowledgement without a limit.
    fn resend_lost_snapshots(&mut self) {
        let Some(raft) = &mut self.raft else { return };
        let snapshot_ticks = &mut self.leader.snapshot_ticks;
        let progress = raft.raft.prs().iter();
        let waiting = progress.filter(|(_, p)| p.state == ProgressState::Snapshot).map(|(&id, _)| id);
        let waiting: BTreeSet<u64> = waiting.collect();
        snapshot_ticks.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let ticks = snapshot_ticks.entry(id).or_insert(0);
            *ticks += 1;
            if *ticks >= SNAPSHOT_TIMEOUT_TICKS {
                *ticks = 0;
                raft.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }
}
