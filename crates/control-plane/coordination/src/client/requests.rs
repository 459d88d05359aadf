//! Pending requests: submission, sending, retries and completion.
use super::session::Session;
use super::transaction_id::TransactionId;
use super::{
    Action, Client, ClientRequest, ConnectionState, RequestOutcome, SentCall, INITIAL_BACKOFF, MAX_BACKOFF,
    MAX_PENDING_REQUESTS,
};
use crate::protocol::{Answer, Request};
use crate::state_machine::{Outcome, Rejection, Revision, SessionEnd, SessionId, Transaction};
use backoff::Backoff;
use rand::Rng;
use std::time::Duration;

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: ClientRequest,
    /// `None` for a watch.
    pub deadline: Option<Duration>,
    /// The call in flight on the current connection.
    pub call: Option<SentCall>,
    /// Assigned when a transaction is first sent.
    pub transaction: Option<TransactionId>,
    /// Number of times that the request was sent.
    pub attempts: u32,
    /// Earliest time of the next attempt.
    pub not_before: Duration,
    /// The last revision that was reported to a watch.
    pub last_revision: Option<Revision>,
    /// Backoff of the retries after the leader answered that it is busy.
    pub busy_backoff: Backoff,
}

impl PendingRequest {
    fn new(request: ClientRequest, deadline: Option<Duration>) -> PendingRequest {
        PendingRequest {
            request,
            deadline,
            call: None,
            transaction: None,
            attempts: 0,
            not_before: Duration::ZERO,
            last_revision: None,
            busy_backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }

    pub fn is_established_watch(&self) -> bool {
        self.last_revision.is_some()
    }

    fn is_transaction(&self) -> bool {
        matches!(self.request, ClientRequest::Transact { .. })
    }

    /// Outcome of a request that timed out.
    fn timed_out(&self) -> RequestOutcome {
        let reason = "no answer in time".to_string();
        match self.request {
            ClientRequest::Transact { .. } | ClientRequest::Call(_) if self.attempts > 0 => {
                RequestOutcome::Indeterminate(reason)
            }
            _ => RequestOutcome::NotExecuted(reason),
        }
    }
}

impl Client {
    pub(super) fn submit(
        &mut self,
        now: Duration,
        request_id: u64,
        request: ClientRequest,
        timeout: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.rejection_of(&request) {
            let outcome = RequestOutcome::NotExecuted(reason);
            actions.push(Action::Complete { request_id, outcome });
            return;
        }
        let deadline = match request {
            ClientRequest::Watch { .. } => None,
            _ => Some(now + timeout),
        };
        let pending = PendingRequest::new(request, deadline);
        if pending.is_transaction() {
            self.transactions.push_back(request_id);
        }
        self.pending.insert(request_id, pending);
    }

    /// Reason for which a request is not accepted; `None` if it is accepted.
    fn rejection_of(&self, request: &ClientRequest) -> Option<String> {
        let is_transaction = matches!(request, ClientRequest::Transact { .. });
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return Some(format!("{MAX_PENDING_REQUESTS} requests are pending already"));
        }
        match self.session {
            Session::None if is_transaction => Some("the client has no session".into()),
            Session::Closed if is_transaction => Some("the session was closed or fenced".into()),
            _ => None,
        }
    }

    pub(super) fn cancel(&mut self, request_id: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.remove_request(request_id) else { return };
        if let (ConnectionState::Connected, ClientRequest::Watch { .. }, Some(call)) =
            (&self.connection, &pending.request, pending.call)
        {
            self.send(Request::Unwatch { watch: call.id }, actions);
        }
    }

    fn remove_request(&mut self, request_id: u64) -> Option<PendingRequest> {
        self.transactions.retain(|&id| id != request_id);
        self.pending.remove(&request_id)
    }

    pub(super) fn complete(&mut self, request_id: u64, outcome: RequestOutcome, actions: &mut Vec<Action>) {
        self.remove_request(request_id);
        actions.push(Action::Complete { request_id, outcome });
    }

    /// Completes the requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let expired = |request: &PendingRequest| request.deadline.is_some_and(|deadline| deadline <= now);
        let outcomes: Vec<(u64, RequestOutcome)> =
            self.pending.iter().filter(|(_, r)| expired(r)).map(|(&id, r)| (id, r.timed_out())).collect();
        for (request_id, outcome) in outcomes {
            self.complete(request_id, outcome, actions);
        }
    }

    /// Sends every request that is due and not in flight.
    pub(super) fn send_requests(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let ids: Vec<u64> = self.pending.keys().copied().collect();
        for request_id in ids {
            let Some(request) = self.prepare_request(now, request_id) else { continue };
            let call = SentCall { id: self.send(request, actions), sent_at: now };
            if let Some(pending) = self.pending.get_mut(&request_id) {
                pending.call = Some(call);
                pending.attempts = pending.attempts.saturating_add(1);
            }
        }
    }

    /// The protocol request to send; `None` while it has to wait.
    fn prepare_request(&mut self, now: Duration, request_id: u64) -> Option<Request> {
        let pending = self.pending.get_mut(&request_id)?;
        if pending.call.is_some() || pending.not_before > now {
            return None;
        }
        let request = match &pending.request {
            ClientRequest::Transact { compares, ops } => {
                if self.transactions.front() != Some(&request_id) {
                    return None;
                }
                let open = self.session.as_open_mut()?;
                let TransactionId { session, sequence } =
                    *pending.transaction.get_or_insert_with(|| open.next_transaction());
                let (compares, ops) = (compares.clone(), ops.clone());
                Request::Transaction(Transaction { session, sequence, compares, ops })
            }
            ClientRequest::Read(select) => Request::Read(select.clone()),
            ClientRequest::Watch { prefix, after } => {
                Request::Watch { prefix: prefix.clone(), after: pending.last_revision.or(*after) }
            }
            ClientRequest::Call(request) => request.clone(),
        };
        Some(request)
    }

    pub(super) fn handle_request_reply(
        &mut self,
        now: Duration,
        call_id: u64,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let in_flight = |request: &PendingRequest| request.call.is_some_and(|call| call.id == call_id);
        let Some((&request_id, pending)) = self.pending.iter_mut().find(|(_, r)| in_flight(r)) else {
            return;
        };
        match (&pending.request, answer) {
            (_, Answer::Busy(_)) => {
                pending.call = None;
                pending.not_before = now + pending.busy_backoff.next_delay(self.random.gen());
            }
            (ClientRequest::Watch { .. }, answer @ (Answer::Watching { .. } | Answer::Events { .. })) => {
                self.handle_watch_answer(request_id, answer, actions);
            }
            (
                ClientRequest::Transact { .. },
                Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(end))),
            ) => self.transaction_rejected(now, request_id, end, actions),
            (_, answer) => self.complete(request_id, RequestOutcome::Answered(answer), actions),
        }
    }

    /// Completes a transaction that was rejected because its session has ended.
    fn transaction_rejected(
        &mut self,
        now: Duration,
        request_id: u64,
        end: SessionEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&request_id) else { return };
        let session = pending.transaction.map_or(0, |transaction| transaction.session);
        let reason = format!("the session has ended: {end}");
        if pending.attempts == 1 {
            // The only attempt was rejected, so the transaction was not applied.
            self.complete(request_id, RequestOutcome::NotExecuted(reason.clone()), actions);
        }
        self.session_ended(now, session, end, actions);
        if self.pending.contains_key(&request_id) {
            self.complete(request_id, RequestOutcome::Indeterminate(reason), actions);
        }
    }

    /// Completes the transactions that were sent under a session that ended: they may have been applied.
    pub(super) fn abandon_transactions(
        &mut self,
        session: SessionId,
        end: SessionEnd,
        actions: &mut Vec<Action>,
    ) {
        for request_id in self.transactions.clone() {
            let transaction = self.pending.get(&request_id).and_then(|pending| pending.transaction);
            if transaction.is_some_and(|transaction| transaction.session == session) {
                let reason = format!("the session has ended: {end}");
                self.complete(request_id, RequestOutcome::Indeterminate(reason), actions);
            }
        }
    }

    /// Completes all pending transactions as not executed, because no further session will be opened.
    pub(super) fn reject_transactions(&mut self, actions: &mut Vec<Action>) {
        for request_id in std::mem::take(&mut self.transactions) {
            let outcome = RequestOutcome::NotExecuted("the session was closed or fenced".into());
            self.complete(request_id, outcome, actions);
        }
    }

    pub(super) fn request_timeouts(&self, timeouts: &mut Vec<Duration>) {
        let first_transaction = self.transactions.front();
        for (request_id, pending) in &self.pending {
            timeouts.extend(pending.deadline);
            if !self.is_connected() {
                continue;
            }
            match pending.call {
                Some(call) if !pending.is_established_watch() => {
                    timeouts.push(call.sent_at + self.config.response_timeout);
                }
                Some(_) => {}
                None => {
                    let may_be_sent = !pending.is_transaction() || first_transaction == Some(request_id);
                    if may_be_sent && pending.not_before > Duration::ZERO {
                        timeouts.push(pending.not_before);
                    }
                }
            }
        }
    }
}
