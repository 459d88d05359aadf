//! The connection to one voter: reconnection with backoff, and response timeouts.
use super::{Action, Client};
use rand::Rng;
use std::time::Duration;

/// Number of consecutive leader hints that are followed without a delay; further ones are delayed, so that voters that name
/// one another in a circle cause no busy loop.
const MAX_IMMEDIATE_REDIRECTS: u32 = 2;

#[derive(Debug)]
pub(super) enum ConnectionState {
    /// No attempt is made before `retry_at`.
    Disconnected {
        retry_at: Duration,
    },
    Connecting,
    Connected,
}

/// A call in flight on the current connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SentCall {
    pub id: u64,
    pub sent_at: Duration,
}

impl Client {
    pub(super) fn is_connected(&self) -> bool {
        matches!(self.connection, ConnectionState::Connected)
    }

    pub(super) fn needs_connection(&self) -> bool {
        self.session.needs_connection() || !self.pending.is_empty()
    }

    pub(super) fn connect(&mut self, actions: &mut Vec<Action>) {
        self.connection = ConnectionState::Connecting;
        let voters = &self.config.voters;
        let next = self.next_voter % voters.len().max(1);
        let address = self.leader_hint.take().or_else(|| voters.get(next).cloned());
        actions.extend(address.map(Action::Connect));
    }

    pub(super) fn connected(&mut self, now: Duration) {
        if matches!(self.connection, ConnectionState::Connecting) {
            self.connection = ConnectionState::Connected;
            self.last_reply_at = now;
        }
    }

    /// Handles the loss of the connection: calls in flight are sent again on the next one.
    pub(super) fn disconnected(&mut self, now: Duration, leader_hint: Option<String>) {
        let delay = match leader_hint {
            Some(_) if self.connection_backoff.failures() < MAX_IMMEDIATE_REDIRECTS => {
                let _ = self.connection_backoff.next_delay(0.0);
                Duration::ZERO
            }
            _ => self.connection_backoff.next_delay(self.random.gen()),
        };
        if leader_hint.is_none() {
            self.next_voter = (self.next_voter + 1) % self.config.voters.len().max(1);
        }
        self.leader_hint = leader_hint;
        self.connection = ConnectionState::Disconnected { retry_at: now + delay };
        self.ping = None;
        for request in self.pending.values_mut() {
            request.call = None;
        }
        self.session.clear_call();
    }

    /// Closes a connection on which a reply is overdue.
    pub(super) fn check_response_timeouts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.is_connected() {
            return;
        }
        let timeout = self.config.response_timeout;
        let overdue = |call: Option<SentCall>| call.is_some_and(|call| now >= call.sent_at + timeout);
        // An established watch is silent while nothing changes.
        let request_overdue =
            self.pending.values().any(|pending| !pending.is_established_watch() && overdue(pending.call));
        if overdue(self.session.call()) || overdue(self.ping) || request_overdue {
            actions.push(Action::Disconnect);
            self.disconnected(now, None);
        }
    }

    pub(super) fn connection_timeouts(&self, timeouts: &mut Vec<Duration>) {
        match self.connection {
            ConnectionState::Disconnected { retry_at } if self.needs_connection() => timeouts.push(retry_at),
            ConnectionState::Connected if self.has_only_watches() => {
                let idle_since = self.ping.map_or(self.last_reply_at, |call| call.sent_at);
                timeouts.push(idle_since + self.config.response_timeout);
            }
            _ => {}
        }
    }
}
