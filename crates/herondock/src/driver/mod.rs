//! Runs the decision module ([`Balancer`]) of one pool: passes events to it in order, performs its actions, and keeps
//! the clock, the timers and the ids of requests and attempts. The driver makes no decisions of its own and is
//! independent of protocols.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | [`DriverHandle`], through which fronts, transports and endpoint sources reach the driver |
//! | `state.rs` | requests, attempts, upstreams and timers |
//! | `open_request.rs` | a request without a final answer, and an attempt in flight |
//! | `request_ids.rs` | client-assigned ids that no new request may have |
mod open_request;
mod request_ids;
mod state;

use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, Attempt, BudgetGrant, FinalAnswer, Request, Upstream};
use crate::request_counters::{self, RequestCounters};
use balancer::{
    Action, AttemptOutcome, Balancer, Event, LearnedState, Membership, Millis, RequestId, UpstreamId,
};
pub use open_request::Deduplication;
use open_request::{InFlightAttempt, OpenRequest};
use request_budget::grammar::RetryUsage;
pub use request_ids::RequestIds;
use state::{Driver, TimerKind};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use tracing::{debug, info};

/// Time reserved for the final answer to reach the client before the client's deadline, in milliseconds.
const ANSWER_MARGIN_MS: Millis = 5.0;
/// Interval between expiry checks of idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest timer that the decision module may set, in milliseconds (71 minutes).
const MAX_TIMER_MS: Millis = 71.0 * 60_000.0;

/// Reason why a request was not admitted. Nothing ran for it.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionError {
    /// The limit on open requests is reached.
    #[error("too many requests are open")]
    TooManyOpen,
    /// A request with the same id is open, or one whose client has left may still run.
    #[error("a request with this id is open or may still run")]
    DuplicateId,
}

/// Creates the transport of an upstream according to its protocol.
pub type TransportFactory = Box<dyn Fn(&ListedEndpoint) -> Rc<dyn Upstream>>;

/// Client-assigned ids in use, shared by the drivers of all pools.
pub type SharedRequestIds = Rc<RefCell<RequestIds>>;

/// Configuration of a driver.
pub struct DriverConfig {
    /// The decision module.
    pub balancer: Balancer,
    /// Instant at which the decision module's clock reads `clock_start_ms`.
    pub clock_start: Instant,
    /// Initial reading of the decision module's clock, in Unix milliseconds. The clock advances by elapsed time only,
    /// regardless of adjustments to the system clock.
    pub clock_start_ms: Millis,
    /// Creates the transports of upstreams.
    pub transport_factory: TransportFactory,
    /// Budget of the process's file descriptors.
    pub descriptors: DescriptorBudget,
    /// Maximum number of open requests.
    pub max_open: usize,
    /// Whether upstreams also shed work that they have begun: a rejection then does not prove that nothing ran.
    pub late_shedding: bool,
    /// Client-assigned ids in use.
    pub request_ids: SharedRequestIds,
    /// Request counters of the process.
    pub counters: Rc<RequestCounters>,
    /// Latency objective of each class.
    pub objectives: Vec<Duration>,
    /// For each class, how upstreams discard duplicates; `None`: duplicates do no harm, or do not occur.
    pub deduplication: Vec<Option<Deduplication>>,
}

/// Handle of a driver. Clones refer to the same driver.
#[derive(Clone)]
pub struct DriverHandle(Rc<Shared>);

struct Shared {
    driver: RefCell<Driver>,
    /// Notified when a new timer may be due before all others.
    timer_set: Notify,
}

impl EndpointSubscriber for DriverHandle {
    fn endpoints_changed(&self, listing: &EndpointUpdate) {
        self.0.driver.borrow_mut().update_upstreams(listing);
        self.handle_event(Event::Membership(Membership::Delta(listing.members().collect())));
    }
}

/// An admitted request that waits for its final answer. Dropping it without an answer reports the client as gone.
pub struct PendingAnswer {
    handle: DriverHandle,
    id: RequestId,
    answer: oneshot::Receiver<FinalAnswer>,
    answered: bool,
}

impl PendingAnswer {
    /// Waits for the final answer.
    pub async fn answer(mut self) -> FinalAnswer {
        let driver_gone =
            |_| FinalAnswer { answer: Answer::Failed, may_have_run: true, used: RetryUsage::default() };
        let answer = (&mut self.answer).await.unwrap_or_else(driver_gone);
        self.answered = true;
        answer
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.client_gone(self.id);
        }
    }
}

impl DriverHandle {
    /// Creates a driver. Its timers fire only while [`DriverHandle::run`] runs.
    pub fn new(config: DriverConfig) -> DriverHandle {
        let driver = RefCell::new(Driver::new(config));
        DriverHandle(Rc::new(Shared { driver, timer_set: Notify::new() }))
    }

    /// Fires timers when they are due. Never returns.
    pub async fn run(&self) {
        self.0.driver.borrow_mut().set_timer(Instant::now() + IDLE_SWEEP_INTERVAL, TimerKind::IdleSweep);
        loop {
            let next_due = self.0.driver.borrow().timers.first_key_value().map(|(&(due_at, _), _)| due_at);
            match next_due {
                Some(due_at) if due_at <= Instant::now() => self.fire_next_timer(),
                Some(due_at) => tokio::select! {
                    () = tokio::time::sleep_until(due_at) => {}
                    () = self.0.timer_set.notified() => {}
                },
                None => self.0.timer_set.notified().await,
            }
        }
    }

    fn fire_next_timer(&self) {
        let Some((_, kind)) = self.0.driver.borrow_mut().timers.pop_first() else { return };
        match kind {
            TimerKind::Balancer(token) => self.handle_event(Event::Timer(token)),
            TimerKind::AttemptTimeout(id, number) => {
                self.attempt_ended(id, number, AttemptOutcome::Timeout, None)
            }
            TimerKind::IdleSweep => {
                let mut driver = self.0.driver.borrow_mut();
                let now = Instant::now();
                for entry in driver.upstreams.values() {
                    entry.upstream.close_expired(now);
                }
                driver.set_timer(now + IDLE_SWEEP_INTERVAL, TimerKind::IdleSweep);
            }
        }
    }

    /// Number of attempts in flight to an upstream.
    pub fn in_flight(&self, upstream: UpstreamId) -> usize {
        self.0.driver.borrow().attempts.values().filter(|a| a.upstream == upstream).count()
    }

    /// Upstreams that the decision module has ejected as outliers.
    pub fn ejected(&self) -> Vec<UpstreamId> {
        let driver = self.0.driver.borrow();
        driver.balancer.ejected_upstreams(driver.now()).collect()
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.0.driver.borrow().open.values().filter(|o| o.reply.is_some()).count()
    }

    /// Limits the time of requests that are admitted from now on: each has its final answer within `timeout` from
    /// now.
    pub fn set_answer_timeout(&self, timeout: Duration) {
        let mut driver = self.0.driver.borrow_mut();
        driver.shutdown_deadline = driver.now() + timeout.as_secs_f64() * 1000.0;
    }

    /// Answers every open request with a failure, which makes no promise about its effect.
    pub fn fail_open_requests(&self) {
        let failed: Vec<RequestId> = {
            let mut driver = self.0.driver.borrow_mut();
            let open = driver.open.iter_mut();
            open.filter_map(|(&id, o)| o.answer(Answer::Failed).then_some(id)).collect()
        };
        for id in failed {
            self.0.driver.borrow_mut().remove_if_done(id);
            self.handle_event(Event::ClientGone(id));
        }
    }

    /// Closes the connection that has been idle longest, if there is one, to free its descriptor.
    pub fn close_oldest_idle(&self) {
        self.0.driver.borrow_mut().close_oldest_idle();
    }

    /// Start of the longest idle period among the connections of all upstreams; `None`: no connection is idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.0.driver.borrow().upstreams.values().filter_map(|e| e.upstream.oldest_idle_since()).min()
    }

    /// Capacity and demand that the decision module has learned, for a successor process.
    pub fn learned(&self) -> LearnedState {
        self.0.driver.borrow().balancer.learned_state()
    }

    /// Applies a cached endpoint list, before any update from an endpoint source.
    pub fn apply_cached(&self, listing: &EndpointUpdate) {
        self.0.driver.borrow_mut().update_upstreams(listing);
        self.handle_event(Event::Membership(Membership::Cached(listing.members().collect())));
    }

    /// Admits a request whose client waits for `timeout` milliseconds: from now on one final answer is owed.
    ///
    /// # Errors
    /// Too many requests are open, or the id is in use.
    pub fn admit(
        &self,
        class: usize,
        tenant: usize,
        timeout: Millis,
        request: Request,
    ) -> Result<PendingAnswer, AdmissionError> {
        let admitted = self.0.driver.borrow_mut().admit(class, tenant, timeout, request)?;
        self.handle_event(admitted.event);
        Ok(PendingAnswer { handle: self.clone(), id: admitted.id, answer: admitted.answer, answered: false })
    }

    fn client_gone(&self, id: RequestId) {
        {
            let mut driver = self.0.driver.borrow_mut();
            // The request has just been answered: the decision module has already closed it.
            if !driver.open.get_mut(&id).is_some_and(OpenRequest::abandon) {
                return;
            }
            driver.remove_if_done(id);
        }
        self.handle_event(Event::ClientGone(id));
    }

    /// Reports the end of an attempt to the decision module, unless it has already ended.
    fn attempt_ended(&self, id: RequestId, number: u32, ending: AttemptOutcome, answer: Option<Answer>) {
        let event = self.0.driver.borrow_mut().finish_attempt(id, number, ending, answer);
        if let Some(event) = event {
            self.handle_event(event);
        }
    }

    /// Passes an event to the decision module and performs its actions, then handles the events that result from
    /// them.
    fn handle_event(&self, event: Event) {
        let mut driver = self.0.driver.borrow_mut();
        driver.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = driver.events.pop_front() {
            let now = driver.now();
            driver.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(&mut driver, action);
            }
        }
    }

    fn perform(&self, driver: &mut Driver, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.send(driver, request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(event) = driver.finish_attempt(request, attempt, AttemptOutcome::Cancelled, None)
                {
                    driver.events.push_back(event);
                }
            }
            Action::Refuse { request, retry_after } => {
                driver.answer(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => driver.answer(request, Answer::Failed),
            Action::CloseIdle(id) => {
                if let Some(entry) = driver.upstreams.get(&id) {
                    entry.upstream.close_idle();
                }
            }
            // Endpoint sources watch for changes on their own.
            Action::Subscribe => {}
            Action::SetTimer { after, token } => {
                let delay = Duration::from_secs_f64(after.clamp(0.0, MAX_TIMER_MS) / 1000.0);
                driver.set_timer(Instant::now() + delay, TimerKind::Balancer(token));
                self.0.timer_set.notify_one();
            }
            Action::Log(line) => info!("{line}"),
        }
    }

    /// Starts an attempt. `timeout`: in milliseconds; 0: the attempt may last until the request's deadline.
    fn send(&self, driver: &mut Driver, id: RequestId, upstream: UpstreamId, timeout: Millis) {
        let (now, now_ms) = (Instant::now(), driver.now());
        let Some(open) = driver.open.get_mut(&id) else { return };
        let number = open.attempts_sent;
        open.attempts_sent += 1;
        if number > 0 {
            request_counters::increment(&open.counters.retries);
        }
        let target = driver.upstreams.get(&upstream).filter(|_| open.reply.is_some());
        let Some(target) = target else {
            let request_finished = open.reply.is_none();
            let ending = AttemptOutcome::NotSent;
            let outcome =
                Event::AttemptEnded { request: id, attempt: number, ending, duration: 0.0, request_finished };
            driver.events.push_back(outcome);
            return;
        };
        debug!("request {}: attempt {number} is sent to {}", open.request.label(), target.entry.addr);
        let remaining_ms = (open.deadline - now_ms).max(0.0);
        let wait_ms = if timeout > 0.0 { timeout.min(remaining_ms) } else { remaining_ms };
        let deadline = now + Duration::from_secs_f64(wait_ms / 1000.0);
        let dedup_deadline = open.dedup_deadline(now);
        open.attempts_in_flight += 1;
        let reports_usage = target.usage_feedback.reports_usage();
        let budget_grant = open.retry_budget.as_mut().map(|budget| {
            let retries = budget.start_attempt(number, reports_usage);
            Rc::new(BudgetGrant { retries, ..BudgetGrant::default() })
        });
        let attempt = Attempt {
            request: open.request.clone(),
            gate: target.gate.clone(),
            deadline,
            dedup_deadline,
            within_group: open.deduplication.is_some_and(|deduplication| deduplication.within_group),
            is_repeatable: open.is_repeatable(),
            budget_grant: budget_grant.clone(),
        };
        let target = target.upstream.clone();
        if target.oldest_idle_since().is_none() && driver.descriptors.exhausted() {
            driver.close_oldest_idle();
        }
        let handle = self.clone();
        let task = tokio::task::spawn_local(async move {
            let (ending, answer) = target.attempt(attempt).await;
            handle.attempt_ended(id, number, ending, answer);
        });
        let timer = driver.set_timer(deadline, TimerKind::AttemptTimeout(id, number));
        let in_flight =
            InFlightAttempt { upstream, sent: now, task: task.abort_handle(), timer, budget_grant };
        driver.attempts.insert((id, number), in_flight);
        self.0.timer_set.notify_one();
    }
}
