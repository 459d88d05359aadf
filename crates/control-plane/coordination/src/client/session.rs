//! The client's session: opening, renewal and closing.
use super::transaction_id::TransactionId;
use super::{Action, Client, SentCall, SessionConfig, SessionEvent, INITIAL_BACKOFF};
use crate::protocol::{Answer, Request};
use crate::state_machine::{Outcome, Rejection, SessionEnd, SessionId};
use crate::CLOCK_DRIFT_FRACTION;
use rand::Rng;
use std::time::Duration;

/// Number of renewals of a session within its time to live.
const RENEWALS_PER_TTL: u32 = 3;

#[derive(Debug)]
pub(super) enum Session {
    /// The client has no session.
    None,
    /// A session is being opened.
    Opening {
        /// Random number by which the service recognises a retry of this opening.
        nonce: u64,
        take_over: bool,
        call: Option<SentCall>,
        /// Earliest time of the next attempt.
        not_before: Duration,
    },
    /// The session is open as far as the client knows.
    Open(OpenSession),
    /// The session is being closed.
    Closing { id: SessionId, call: Option<SentCall> },
    /// The session was closed or fenced, and is not opened again.
    Closed,
}

#[derive(Debug)]
pub(super) struct OpenSession {
    id: SessionId,
    /// Time after which the session may have expired, by the local clock.
    expires_at: Duration,
    /// Time at which the last acknowledged renewal was sent.
    renewed_at: Duration,
    /// The renewal in flight.
    call: Option<SentCall>,
    /// `expires_at` has passed and no renewal was acknowledged since.
    suspect: bool,
    /// Sequence number of the last transaction.
    last_sequence: u64,
}

impl Session {
    pub fn opening(nonce: u64, take_over: bool, not_before: Duration) -> Session {
        Session::Opening { nonce, take_over, call: None, not_before }
    }

    /// Whether the session has messages to exchange, now or later.
    pub fn needs_connection(&self) -> bool {
        !matches!(self, Session::None | Session::Closed)
    }

    pub fn call(&self) -> Option<SentCall> {
        match self {
            Session::Opening { call, .. } | Session::Closing { call, .. } => *call,
            Session::Open(open) => open.call,
            Session::None | Session::Closed => None,
        }
    }

    pub fn clear_call(&mut self) {
        match self {
            Session::Opening { call, .. } | Session::Closing { call, .. } => *call = None,
            Session::Open(open) => open.call = None,
            Session::None | Session::Closed => {}
        }
    }

    pub fn as_open_mut(&mut self) -> Option<&mut OpenSession> {
        match self {
            Session::Open(open) => Some(open),
            _ => None,
        }
    }
}

impl OpenSession {
    /// Assigns the id of a new transaction.
    pub fn next_transaction(&mut self) -> TransactionId {
        self.last_sequence += 1;
        TransactionId { session: self.id, sequence: self.last_sequence }
    }
}

impl Client {
    /// The session, if it has certainly not expired by the local clock.
    pub fn held_session(&self, now: Duration) -> Option<SessionId> {
        match &self.session {
            Session::Open(open) if !open.suspect && now < open.expires_at => Some(open.id),
            _ => None,
        }
    }

    /// The session, held or suspect.
    pub fn session(&self) -> Option<SessionId> {
        match &self.session {
            Session::Open(open) => Some(open.id),
            _ => None,
        }
    }

    /// Time at which the session expires by the local clock unless it is renewed.
    pub fn lease_expiry(&self) -> Option<Duration> {
        match &self.session {
            Session::Open(open) => Some(open.expires_at),
            _ => None,
        }
    }

    /// Whether the session is closed for good.
    pub fn is_closed(&self) -> bool {
        matches!(self.session, Session::Closed)
    }

    pub(super) fn open_session(&mut self, now: Duration, session: SessionConfig) {
        if self.config.session.is_some() {
            return;
        }
        self.session = Session::opening(self.random.gen(), session.take_over, now);
        self.config.session = Some(session);
    }

    pub(super) fn close_session(&mut self) {
        match &self.session {
            Session::Open(open) => self.session = Session::Closing { id: open.id, call: None },
            Session::Opening { .. } => self.session = Session::Closed,
            Session::None | Session::Closing { .. } | Session::Closed => {}
        }
    }

    fn renewal_interval(&self) -> Duration {
        self.config.session.as_ref().map_or(Duration::MAX, |session| session.ttl / RENEWALS_PER_TTL)
    }

    /// Time for which the client holds a session after it sent a renewal.
    fn safe_ttl(&self) -> Duration {
        let ttl = self.config.session.as_ref().map_or(Duration::ZERO, |session| session.ttl);
        ttl - ttl / CLOCK_DRIFT_FRACTION
    }

    /// Sends the opening, renewal or closing that is due.
    pub(super) fn send_session_request(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(request) = self.due_session_request(now) else { return };
        let sent = SentCall { id: self.send(request, actions), sent_at: now };
        match &mut self.session {
            Session::Opening { call, .. } | Session::Closing { call, .. } => *call = Some(sent),
            Session::Open(open) => open.call = Some(sent),
            Session::None | Session::Closed => {}
        }
    }

    fn due_session_request(&self, now: Duration) -> Option<Request> {
        let config = self.config.session.as_ref()?;
        if self.session.call().is_some() {
            return None;
        }
        match &self.session {
            Session::Opening { nonce, take_over, not_before, .. } if *not_before <= now => {
                Some(Request::OpenSession {
                    name: config.name.clone(),
                    nonce: *nonce,
                    ttl_ms: u64::try_from(config.ttl.as_millis()).unwrap_or(u64::MAX),
                    take_over: *take_over,
                })
            }
            Session::Open(open) if open.suspect || now >= open.renewed_at + self.renewal_interval() => {
                Some(Request::RenewSession { session: open.id })
            }
            Session::Closing { id, .. } => Some(Request::CloseSession { session: *id }),
            _ => None,
        }
    }

    /// Handles the reply to an opening, renewal or closing; returns whether it was one.
    pub(super) fn handle_session_reply(
        &mut self,
        now: Duration,
        call_id: u64,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.session.call().filter(|call| call.id == call_id) else { return false };
        match &self.session {
            Session::Opening { .. } => self.handle_opening_reply(now, call, answer, actions),
            Session::Open(_) => self.handle_renewal_reply(now, call, answer, actions),
            Session::Closing { .. } => match answer {
                Answer::Busy(_) => self.session.clear_call(),
                _ => self.session = Session::Closed,
            },
            Session::None | Session::Closed => {}
        }
        true
    }

    fn handle_opening_reply(
        &mut self,
        now: Duration,
        call: SentCall,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) {
        if let Answer::Outcome(Outcome::SessionOpened(id)) = answer {
            self.session_backoff.reset();
            self.session = Session::Open(OpenSession {
                id: *id,
                expires_at: call.sent_at + self.safe_ttl(),
                renewed_at: call.sent_at,
                call: None,
                suspect: false,
                last_sequence: 0,
            });
            actions.push(Action::SessionChanged(SessionEvent::Established(*id)));
            return;
        }
        let delay = self.session_backoff.next_delay(self.random.gen());
        if let Session::Opening { call, not_before, .. } = &mut self.session {
            (*call, *not_before) = (None, now + delay);
        }
        let event = match answer {
            Answer::Outcome(Outcome::Rejected(Rejection::NameTaken(by))) => SessionEvent::WaitingForName(*by),
            Answer::Outcome(Outcome::Rejected(reason)) => SessionEvent::Rejected(reason.to_string()),
            Answer::Failed(reason) => SessionEvent::Rejected(reason.clone()),
            _ => return,
        };
        actions.push(Action::SessionChanged(event));
    }

    fn handle_renewal_reply(
        &mut self,
        now: Duration,
        call: SentCall,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) {
        let (safe_ttl, interval) = (self.safe_ttl(), self.renewal_interval());
        let Session::Open(open) = &mut self.session else { return };
        match answer {
            Answer::SessionRenewed => {
                open.expires_at = call.sent_at + safe_ttl;
                open.renewed_at = call.sent_at;
                // A renewal that is acknowledged after its own expiry does not establish the session.
                if now < open.expires_at && std::mem::take(&mut open.suspect) {
                    actions.push(Action::SessionChanged(SessionEvent::Established(open.id)));
                }
            }
            Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(end))) => {
                let id = open.id;
                return self.session_ended(now, id, *end, actions);
            }
            // The leader is busy: the renewal is due again after the initial backoff.
            _ => open.renewed_at = now.saturating_sub(interval) + INITIAL_BACKOFF,
        }
        open.call = None;
    }

    /// Handles the end of a session, as reported by the service.
    pub(super) fn session_ended(
        &mut self,
        now: Duration,
        session: SessionId,
        end: SessionEnd,
        actions: &mut Vec<Action>,
    ) {
        let closing = match &self.session {
            Session::Open(open) if open.id == session => false,
            Session::Closing { id, .. } if *id == session => true,
            _ => return,
        };
        self.abandon_transactions(session, end, actions);
        match end {
            SessionEnd::Fenced(by) => {
                self.session = Session::Closed;
                actions.push(Action::SessionChanged(SessionEvent::Fenced { session, by }));
                self.reject_transactions(actions);
            }
            SessionEnd::Closed | SessionEnd::Expired if closing => self.session = Session::Closed,
            SessionEnd::Closed | SessionEnd::Expired => {
                self.session = Session::opening(self.random.gen(), false, now);
                actions.push(Action::SessionChanged(SessionEvent::Ended(session)));
            }
        }
    }

    /// Marks the session as suspect when it may have expired.
    pub(super) fn suspect_expired_session(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Session::Open(open) = &mut self.session {
            if now >= open.expires_at && !open.suspect {
                open.suspect = true;
                actions.push(Action::SessionChanged(SessionEvent::Suspect(open.id)));
            }
        }
    }

    pub(super) fn session_timeouts(&self, timeouts: &mut Vec<Duration>) {
        if let Session::Open(open) = &self.session {
            if !open.suspect {
                timeouts.push(open.expires_at);
            }
        }
        if !self.is_connected() {
            return;
        }
        let response_due = self.session.call().map(|call| call.sent_at + self.config.response_timeout);
        let next_attempt = match &self.session {
            Session::Opening { not_before, .. } => Some(*not_before),
            Session::Open(open) => Some(open.renewed_at + self.renewal_interval()),
            _ => None,
        };
        timeouts.extend(response_due.or(next_attempt));
    }
}
