//! Linearizable reads, session renewals and watches.
use super::leader::{expiry_timeout, CallId, ClientCall, ConfirmedReads, ReadRound, Watch};
use super::{reply, Action, Voter};
use crate::protocol::{Answer, Call, Request, Select, MAX_READ_BYTES};
use crate::state_machine::{Outcome, Rejection, Revision, SessionEnd, SessionId, VersionedValue};
use std::time::Duration;

/// Maximum number of watches that one voter serves.
const MAX_WATCHES: usize = 4_096;
/// Number of revisions after which a watch without events is notified of the current revision.
const WATCH_PROGRESS_INTERVAL: Revision = 1_000;

impl Voter {
    /// Starts a read round for the queued calls, unless one is in flight.
    pub(super) fn start_read_round(&mut self) {
        let leader = &mut self.leader;
        let Some(raft) = &mut self.raft else { return };
        if !leader.is_serving() || leader.read_round.is_some() || leader.queued_reads.is_empty() {
            return;
        }
        let mut calls = std::mem::take(&mut leader.queued_reads);
        let defects = self.config.defects;
        if defects.stale_reads || defects.stale_renewals {
            let skips_round = |read: &ClientCall| match read.call.request {
                Request::RenewSession { .. } => defects.stale_renewals,
                _ => defects.stale_reads,
            };
            let (stale, remaining) = calls.into_iter().partition(skips_round);
            leader.confirmed_reads.push(ConfirmedReads { read_index: 0, calls: stale });
            calls = remaining;
            if calls.is_empty() {
                return;
            }
        }
        leader.last_number += 1;
        let id = leader.last_number;
        leader.read_round = Some(ReadRound { id, started_at_tick: leader.ticks, calls });
        raft.read_index(id.to_le_bytes().to_vec());
    }

    /// Answers the confirmed calls whose read index is applied.
    pub(super) fn answer_confirmed_reads(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let applied = self.applied_index;
        let confirmed = std::mem::take(&mut self.leader.confirmed_reads);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            confirmed.into_iter().partition(|reads| reads.read_index <= applied);
        self.leader.confirmed_reads = waiting;
        for ClientCall { client, call } in ready.into_iter().flat_map(|reads| reads.calls) {
            let answer = self.answer_read(now, client, &call);
            reply(client, call.id, answer, actions);
        }
    }

    fn answer_read(&mut self, now: Duration, client: u64, call: &Call) -> Answer {
        let Some(state) = &self.state else { return Answer::NotLeader { leader: None } };
        match &call.request {
            Request::RenewSession { session } => self.renew_session(now, *session),
            Request::Read(select) => self.read(select),
            Request::Watch { prefix, after } => {
                self.start_watch(CallId { client, call_id: call.id }, prefix, *after)
            }
            Request::IsMember { voter } => match state.members.contains_key(voter) {
                true => Answer::Done,
                false => Answer::NotMember,
            },
            Request::Backup => match String::from_utf8(state.encode()) {
                Ok(text) => Answer::Backup(text),
                Err(error) => Answer::Failed(error.to_string()),
            },
            _ => Answer::Failed("that is no read".into()),
        }
    }

    fn renew_session(&mut self, now: Duration, id: SessionId) -> Answer {
        let Some(state) = &self.state else { return Answer::NotLeader { leader: None } };
        let end = match state.state_machine.session(id) {
            Some(session) if !self.leader.expiring_sessions.contains(&id) => {
                self.leader.session_deadlines.insert(id, now + expiry_timeout(session.ttl_ms));
                return Answer::SessionRenewed;
            }
            Some(_) => SessionEnd::Expired,
            None => state.state_machine.session_end(id),
        };
        Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(end)))
    }

    fn read(&self, select: &Select) -> Answer {
        let Some(state) = &self.state else { return Answer::NotLeader { leader: None } };
        let state_machine = &state.state_machine;
        let found: Vec<(&str, &VersionedValue)> = match select {
            Select::Key(key) => state_machine.get(key).map(|item| (key.as_str(), item)).into_iter().collect(),
            Select::Prefix(prefix) => state_machine.with_prefix(prefix).collect(),
        };
        let bytes: u64 = found.iter().map(|(key, item)| (key.len() + item.value.len()) as u64).sum();
        if bytes > MAX_READ_BYTES {
            return Answer::Failed(format!("{bytes} bytes, and {MAX_READ_BYTES} at most are read at once"));
        }
        let items = found.into_iter().map(|(key, item)| (key.to_string(), item.clone())).collect();
        Answer::Values { revision: state_machine.revision(), items }
    }

    fn start_watch(&mut self, id: CallId, prefix: &str, after: Option<Revision>) -> Answer {
        let Some(state) = &self.state else { return Answer::NotLeader { leader: None } };
        let state_machine = &state.state_machine;
        let revision = after.unwrap_or(state_machine.revision());
        if revision > state_machine.revision() || state_machine.events_since(revision).is_none() {
            return Answer::Compacted { oldest: state_machine.oldest_resumable_revision() };
        }
        let leader = &mut self.leader;
        if leader.watches.len() >= MAX_WATCHES {
            return Answer::Busy(format!("{MAX_WATCHES} watches"));
        }
        // Events after the requested revision that happened before are sent by the next notification.
        leader.notified_revision = leader.notified_revision.min(revision);
        leader.watches.insert(id, Watch { prefix: prefix.into(), last_revision: revision });
        Answer::Watching { revision }
    }

    /// Sends new events to the watches.
    pub(super) fn notify_watches(&mut self, actions: &mut Vec<Action>) {
        let Some(state) = &self.state else { return };
        let (state_machine, leader) = (&state.state_machine, &mut self.leader);
        let revision = state_machine.revision();
        if leader.notified_revision >= revision {
            return;
        }
        leader.notified_revision = revision;
        leader.watches.retain(|id, watch| {
            let Some(events) = state_machine.events_since(watch.last_revision) else {
                let oldest = state_machine.oldest_resumable_revision();
                reply(id.client, id.call_id, Answer::Compacted { oldest }, actions);
                return false;
            };
            let events: Vec<_> =
                events.filter(|event| event.key.starts_with(&watch.prefix)).cloned().collect();
            if !events.is_empty() || revision - watch.last_revision >= WATCH_PROGRESS_INTERVAL {
                watch.last_revision = revision;
                reply(id.client, id.call_id, Answer::Events { revision, events }, actions);
            }
            true
        });
    }
}
