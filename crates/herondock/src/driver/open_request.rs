//! One request without a final answer, and one attempt that has not ended.
use crate::exchange::{Answer, BudgetGrant, FinalAnswer, Request};
use crate::request_counters::{self, RequestCounters};
use balancer::{Millis, UpstreamId};
use request_budget::grammar::Used;
use request_budget::retry_budget::RetryBudget;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A request that was admitted, until it has its final answer and none of its attempts is in flight.
pub(super) struct OpenRequest {
    /// Channel to the client; `None` once the final answer is given or the client is gone.
    pub(super) reply: Option<oneshot::Sender<FinalAnswer>>,
    /// What is sent to upstreams.
    pub(super) request: Rc<Request>,
    /// Time of the final answer at the latest, on the decision module's clock.
    pub(super) deadline: Millis,
    /// Attempts sent so far; the number of the next one.
    pub(super) attempts_sent: u32,
    /// Attempts that have not ended.
    pub(super) attempts_in_flight: u32,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
    /// Send time of the first attempt that may have run, or of an earlier one.
    pub(super) first_sent: Option<Instant>,
    /// How long after `first_sent` upstreams discard duplicates; `None`: without limit.
    pub(super) dedup_window: Option<Duration>,
    /// Retries left, where request budgets are on.
    pub(super) retry_budget: Option<RetryBudget>,
    /// Counters of the process.
    pub(super) counters: Rc<RequestCounters>,
    /// An answer after this time counts as late.
    pub(super) late_at: Instant,
}

impl OpenRequest {
    /// Takes the channel to the client and marks the request as finished: nothing more is written for it.
    pub(super) fn take_reply(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.request.finished.set(true);
        self.reply.take()
    }

    /// Gives the final answer; `false` if it was given before or the client is gone.
    pub(super) fn answer(&mut self, answer: Answer) -> bool {
        let Some(reply) = self.take_reply() else { return false };
        if matches!(answer, Answer::Served { .. }) {
            self.count_served();
        }
        let used = self.retry_budget.as_ref().map_or(Used::default(), RetryBudget::used);
        let may_have_run = self.may_have_run || self.attempts_in_flight > 0;
        // A client that left in the same instant gets nothing; it is no longer owed anything.
        let _ = reply.send(FinalAnswer { answer, may_have_run, used });
        true
    }

    fn count_served(&self) {
        request_counters::increment(&self.counters.served);
        if Instant::now() > self.late_at {
            request_counters::increment(&self.counters.late);
        }
    }

    /// Until when an attempt that is sent now may be written, and notes its send time. An attempt beside or after one that
    /// may have run is a duplicate: past the window upstreams would run it again. Between this choice and the first byte
    /// lie a dial and a queue, so the transport checks the time once more.
    pub(super) fn dedup_deadline(&mut self, now: Instant) -> Option<Instant> {
        let duplicate = self.attempts_in_flight > 0 || self.may_have_run;
        if !duplicate {
            self.first_sent = Some(now);
            return None;
        }
        let first_sent = *self.first_sent.get_or_insert(now);
        self.dedup_window.map(|window| first_sent + window)
    }
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    /// The upstream that it was sent to.
    pub(super) upstream: UpstreamId,
    /// When it was sent.
    pub(super) sent: Instant,
    /// The task that carries it out; aborting it closes its connection.
    pub(super) task: AbortHandle,
    /// Key of its timeout among the driver's timers.
    pub(super) timer: (Instant, u64),
    /// Its share of the retry budget, where request budgets are on.
    pub(super) budget_grant: Option<Rc<BudgetGrant>>,
}
