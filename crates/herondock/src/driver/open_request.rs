//! A request without a final answer, and an attempt that has not ended.
use crate::exchange::{Answer, BudgetGrant, FinalAnswer, Method, Request};
use crate::request_counters::{self, RequestCounters};
use balancer::{Millis, UpstreamId};
use request_budget::grammar::RetryUsage;
use request_budget::retry_budget::RetryBudget;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::debug;

/// How upstreams discard duplicates of the requests of a class.
#[derive(Clone, Copy, Debug)]
pub struct Deduplication {
    /// Time from the first attempt that may have run during which they do.
    pub window: Duration,
    /// Whether only a part of the upstreams, such as a cell, discards the duplicates of one request.
    pub within_group: bool,
}

/// An admitted request, kept until it has its final answer and none of its attempts is in flight.
pub(super) struct OpenRequest {
    /// Channel to the client; `None` once the final answer is given or the client is gone.
    pub(super) reply: Option<oneshot::Sender<FinalAnswer>>,
    /// Request that is forwarded to upstreams.
    pub(super) request: Rc<Request>,
    /// Latest time of the final answer, in milliseconds on the decision module's clock.
    pub(super) deadline: Millis,
    /// Number of attempts sent so far, and thereby the number of the next attempt.
    pub(super) attempts_sent: u32,
    /// Number of attempts that have not ended.
    pub(super) attempts_in_flight: u32,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
    /// Whether its client left before the final answer.
    pub(super) is_abandoned: bool,
    /// Send time of the first attempt that may have run, or of an earlier one.
    pub(super) first_sent: Option<Instant>,
    /// How upstreams discard duplicates; `None`: duplicates do no harm, or there are none.
    pub(super) deduplication: Option<Deduplication>,
    /// Retries left, where request budgets are on.
    pub(super) retry_budget: Option<RetryBudget>,
    /// Request counters of the process.
    pub(super) counters: Rc<RequestCounters>,
    /// Time after which an answer counts as late.
    pub(super) late_at: Instant,
}

impl OpenRequest {
    /// Takes the channel to the client and marks the request as finished: nothing more is written for it.
    pub(super) fn take_reply(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.request.finished.set(true);
        self.reply.take()
    }

    /// Gives the final answer. Returns `false` if it was given before or the client is gone.
    pub(super) fn answer(&mut self, answer: Answer) -> bool {
        let Some(reply) = self.take_reply() else { return false };
        match answer {
            Answer::Served { .. } => self.count_served(),
            Answer::Rejected { .. } => request_counters::increment(&self.counters.refused),
            Answer::ClientError(_) | Answer::Failed => request_counters::increment(&self.counters.failed),
        }
        let used = self.retry_budget.as_ref().map_or(RetryUsage::default(), RetryBudget::usage);
        let may_have_run = self.may_have_run || self.attempts_in_flight > 0;
        debug!(
            "request {}: {} after {} attempts, may have run: {may_have_run}",
            self.request.label(),
            answer.outcome(),
            self.attempts_sent
        );
        // Sending fails if the client has just left; it is then no longer owed an answer.
        let _ = reply.send(FinalAnswer { answer, may_have_run, used });
        true
    }

    /// Records that the client has left. Returns `false` if the final answer was given before.
    pub(super) fn abandon(&mut self) -> bool {
        if self.take_reply().is_none() {
            return false;
        }
        self.is_abandoned = true;
        request_counters::increment(&self.counters.abandoned);
        debug!(
            "request {}: its client has left, {} attempts sent, {} in flight",
            self.request.label(),
            self.attempts_sent,
            self.attempts_in_flight
        );
        true
    }

    /// Whether an attempt may have run of which no client has learned, and running it again could do harm.
    pub(super) fn must_not_run_again(&self) -> bool {
        self.is_abandoned && self.may_have_run && self.request.method != Method::Get
    }

    /// Whether another attempt may follow one that may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        self.request.method == Method::Get || self.deduplication.is_some()
    }

    fn count_served(&self) {
        request_counters::increment(&self.counters.served);
        if Instant::now() > self.late_at {
            request_counters::increment(&self.counters.late);
        }
    }

    /// Returns the time until which an attempt that is sent now may be written (`None`: unlimited), and records its
    /// send time. An attempt that is concurrent with or follows one that may have run is a duplicate, which upstreams
    /// would execute again once the window has passed. Dialing and queueing delay the first byte, so the transport
    /// checks the time again before it writes.
    pub(super) fn dedup_deadline(&mut self, now: Instant) -> Option<Instant> {
        let duplicate = self.attempts_in_flight > 0 || self.may_have_run;
        if !duplicate {
            self.first_sent = Some(now);
            return None;
        }
        let first_sent = *self.first_sent.get_or_insert(now);
        self.deduplication.map(|deduplication| first_sent + deduplication.window)
    }
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    /// Upstream that it was sent to.
    pub(super) upstream: UpstreamId,
    /// Time at which it was sent.
    pub(super) sent: Instant,
    /// Task that executes it; aborting the task closes its connection.
    pub(super) task: AbortHandle,
    /// Key of its timeout among the driver's timers.
    pub(super) timer: (Instant, u64),
    /// Its share of the retry budget, where request budgets are on.
    pub(super) budget_grant: Option<Rc<BudgetGrant>>,
}
