//! Watches, and the liveness check of a connection that carries nothing else.
use super::{Action, Client, ClientRequest, RequestOutcome, SentCall};
use crate::protocol::{Answer, Request, Select};
use std::time::Duration;

impl Client {
    /// Whether only watches are in flight and no session is renewed. Such a connection is silent while nothing changes, so
    /// that a failed voter or link would go unnoticed without a liveness check.
    pub(super) fn has_only_watches(&self) -> bool {
        !self.session.needs_connection()
            && self
                .pending
                .values()
                .any(|r| matches!(r.request, ClientRequest::Watch { .. }) && r.call.is_some())
    }

    /// Sends a liveness check if the connection needs one and nothing arrived for the response timeout.
    pub(super) fn send_ping(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let idle = now >= self.last_reply_at + self.config.response_timeout;
        if self.ping.is_none() && self.has_only_watches() && idle {
            // No key has an empty name, so the answer is empty and only shows that the voter is still the leader.
            let request = Request::Read(Select::Key(String::new()));
            self.ping = Some(SentCall { id: self.send(request, actions), sent_at: now });
        }
    }

    /// Whether the reply answers the liveness check.
    pub(super) fn handle_pong(&mut self, call_id: u64) -> bool {
        self.ping.take_if(|call| call.id == call_id).is_some()
    }

    /// Handles `Watching` or `Events` for the watch with this request id.
    pub(super) fn handle_watch_answer(&mut self, request_id: u64, answer: Answer, actions: &mut Vec<Action>) {
        let (revision, established) = match answer {
            Answer::Watching { revision } => (revision, true),
            Answer::Events { revision, .. } => (revision, false),
            _ => return,
        };
        let Some(watch) = self.pending.get_mut(&request_id) else { return };
        let established_again = established && watch.last_revision.is_some();
        watch.last_revision = Some(revision);
        // Re-establishment on another leader is invisible to the watcher.
        if !established_again {
            actions.push(Action::Complete { request_id, outcome: RequestOutcome::Answered(answer) });
        }
    }
}
