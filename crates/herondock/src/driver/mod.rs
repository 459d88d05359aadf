//! Drives one decision module ([`Balancer`]) on behalf of one pool: feeds it events in order, carries out its actions, and
//! keeps its clock, its timers and the ids of requests and attempts. Decides nothing itself and knows no protocol.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | [`DriverHandle`], through which fronts, transports and endpoint sources reach the driver |
//! | `state.rs` | requests, attempts, upstreams and timers |
//! | `open_request.rs` | one request without a final answer, one attempt in flight |
mod open_request;
mod state;

use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, Attempt, BudgetGrant, FinalAnswer, Request, Upstream};
use crate::request_counters::RequestCounters;
use balancer::{Action, Balancer, Ending, Event, Learned, Membership, Millis, RequestId, UpstreamId};
use bytes::Bytes;
use open_request::{InFlightAttempt, OpenRequest};
use request_budget::grammar::Used;
use state::{Driver, TimerKind};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use tracing::{debug, info};

/// Time left for the final answer to reach the client before it stops waiting.
const ANSWER_MARGIN_MS: Millis = 5.0;
/// How often idle connections are checked for expiry.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest timer that the decision module may ask for.
const MAX_TIMER_MS: Millis = 71.0 * 60_000.0;

/// Why a request was not admitted. Nothing ran for it.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionError {
    /// The limit on open requests is reached.
    #[error("too many requests are open")]
    TooManyOpen,
    /// A request with the same id is open.
    #[error("a request with this id is open")]
    DuplicateId,
}

/// Creates the transport for an upstream, by the protocol that it speaks.
pub type TransportFactory = Box<dyn Fn(&ListedEndpoint) -> Rc<dyn Upstream>>;

/// Clients' ids of the requests that are open, shared by the drivers of all pools.
pub type OpenRequestIds = Rc<RefCell<HashSet<Bytes>>>;

/// What a driver is built from.
pub struct DriverConfig {
    /// The decision module.
    pub balancer: Balancer,
    /// When the decision module's clock read `start_ms`.
    pub start: Instant,
    /// Its clock at the start, in Unix milliseconds. It advances by elapsed time alone, whatever is done to the system's
    /// clock.
    pub start_ms: Millis,
    /// Creates transports for upstreams.
    pub transports: TransportFactory,
    /// Descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Maximum number of open requests.
    pub max_open: usize,
    /// Whether upstreams also shed work that they had begun: a rejection is then no proof that nothing ran.
    pub late_shedding: bool,
    /// Clients' ids of open requests.
    pub open_ids: OpenRequestIds,
    /// Counters of the process.
    pub counters: Rc<RequestCounters>,
    /// Latency objective of each class.
    pub objectives: Vec<Duration>,
    /// For each class, how long upstreams discard duplicates; `None`: duplicates do no harm, or there are none.
    pub dedup_windows: Vec<Option<Duration>>,
}

/// A driver, as the rest of the process sees it. Clones refer to the same driver.
#[derive(Clone)]
pub struct DriverHandle(Rc<Shared>);

struct Shared {
    driver: RefCell<Driver>,
    /// Notified when a timer was set that may be the next one due.
    timers: Notify,
}

impl EndpointSubscriber for DriverHandle {
    fn endpoints_changed(&self, listing: &EndpointUpdate) {
        self.0.driver.borrow_mut().update_upstreams(listing);
        self.handle_event(Event::Membership(Membership::Delta(listing.members().collect())));
    }
}

/// An admitted request that waits for its final answer. Dropping it means that the client is gone.
pub struct PendingAnswer {
    handle: DriverHandle,
    id: RequestId,
    answer: oneshot::Receiver<FinalAnswer>,
    done: bool,
}

impl PendingAnswer {
    /// Waits for the final answer.
    pub async fn answer(mut self) -> FinalAnswer {
        let lost = |_| FinalAnswer { answer: Answer::Failed, may_have_run: true, used: Used::default() };
        let answer = (&mut self.answer).await.unwrap_or_else(lost);
        self.done = true;
        answer
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.done {
            self.handle.client_gone(self.id);
        }
    }
}

impl DriverHandle {
    /// Sets up a driver. [`DriverHandle::run`] must run for its timers to fire.
    pub fn new(config: DriverConfig) -> DriverHandle {
        let driver = RefCell::new(Driver::new(config));
        DriverHandle(Rc::new(Shared { driver, timers: Notify::new() }))
    }

    /// Fires timers; never returns.
    pub async fn run(&self) {
        self.0.driver.borrow_mut().set_timer(Instant::now() + IDLE_SWEEP_INTERVAL, TimerKind::IdleSweep);
        loop {
            let next = self.0.driver.borrow().timers.first_key_value().map(|(&(at, _), _)| at);
            match next {
                Some(at) if at <= Instant::now() => self.fire_next_timer(),
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = self.0.timers.notified() => {}
                },
                None => self.0.timers.notified().await,
            }
        }
    }

    fn fire_next_timer(&self) {
        let Some((_, kind)) = self.0.driver.borrow_mut().timers.pop_first() else { return };
        match kind {
            TimerKind::Balancer(token) => self.handle_event(Event::Timer(token)),
            TimerKind::AttemptTimeout(id, number) => self.attempt_ended(id, number, Ending::Timeout, None),
            TimerKind::IdleSweep => {
                let mut driver = self.0.driver.borrow_mut();
                let now = Instant::now();
                for known in driver.upstreams.values() {
                    known.upstream.close_expired(now);
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
        driver.balancer.ejected(driver.now()).collect()
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.0.driver.borrow().open.values().filter(|o| o.reply.is_some()).count()
    }

    /// Bounds the time of requests that are admitted from now on: each has its final answer within `time` from now.
    pub fn answer_within(&self, time: Duration) {
        let mut driver = self.0.driver.borrow_mut();
        driver.shutdown_deadline = driver.now() + time.as_secs_f64() * 1000.0;
    }

    /// Fails every open request, with no promise about its effect.
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

    /// Since when the connection that has been idle longest is idle, of all upstreams.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.0.driver.borrow().upstreams.values().filter_map(|k| k.upstream.oldest_idle_since()).min()
    }

    /// What the decision module has learned of capacity and demand, for a successor process.
    pub fn learned(&self) -> Learned {
        self.0.driver.borrow().balancer.learned()
    }

    /// Applies a cached endpoint list, before any update from an endpoint source.
    pub fn apply_cached(&self, listing: &EndpointUpdate) {
        self.0.driver.borrow_mut().update_upstreams(listing);
        self.handle_event(Event::Membership(Membership::Cached(listing.members().collect())));
    }

    /// Admits a request that its client waits `patience` milliseconds for: from now on one final answer is owed.
    ///
    /// # Errors
    /// Too many requests are open, or one with its id is.
    pub fn admit(
        &self,
        class: usize,
        tenant: usize,
        patience: Millis,
        request: Request,
    ) -> Result<PendingAnswer, AdmissionError> {
        let admitted = self.0.driver.borrow_mut().admit(class, tenant, patience, request)?;
        self.handle_event(admitted.event);
        Ok(PendingAnswer { handle: self.clone(), id: admitted.id, answer: admitted.answer, done: false })
    }

    fn client_gone(&self, id: RequestId) {
        {
            let mut driver = self.0.driver.borrow_mut();
            // Answered in the same instant: the decision module has ended it already.
            if driver.open.get_mut(&id).and_then(OpenRequest::take_reply).is_none() {
                return;
            }
            driver.remove_if_done(id);
        }
        self.handle_event(Event::ClientGone(id));
    }

    /// Reports the end of an attempt to the decision module, unless an earlier end of it counts.
    fn attempt_ended(&self, id: RequestId, number: u32, ending: Ending, answer: Option<Answer>) {
        let event = self.0.driver.borrow_mut().finish_attempt(id, number, ending, answer);
        if let Some(event) = event {
            self.handle_event(event);
        }
    }

    /// Hands an event to the decision module and performs its actions, then the events that follow from them at once.
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
                if let Some(event) = driver.finish_attempt(request, attempt, Ending::Cancelled, None) {
                    driver.events.push_back(event);
                }
            }
            Action::Refuse { request, retry_after } => {
                driver.answer(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => driver.answer(request, Answer::Failed),
            Action::CloseIdle(id) => {
                if let Some(known) = driver.upstreams.get(&id) {
                    known.upstream.close_idle();
                }
            }
            // Endpoint sources watch by themselves.
            Action::Subscribe => {}
            Action::SetTimer { after, token } => {
                let after = Duration::from_secs_f64(after.clamp(0.0, MAX_TIMER_MS) / 1000.0);
                driver.set_timer(Instant::now() + after, TimerKind::Balancer(token));
                self.0.timers.notify_one();
            }
            Action::Log(line) => info!("{line}"),
        }
    }

    /// Begins an attempt. `timeout`: in milliseconds; 0: until the request's deadline.
    fn send(&self, driver: &mut Driver, id: RequestId, upstream: UpstreamId, timeout: Millis) {
        let (now, now_ms) = (Instant::now(), driver.now());
        let Some(open) = driver.open.get_mut(&id) else { return };
        let number = open.attempts_sent;
        open.attempts_sent += 1;
        let target = driver.upstreams.get(&upstream).filter(|_| open.reply.is_some());
        let Some(target) = target else {
            let closed = open.reply.is_none();
            let ending = Ending::Moot;
            let outcome = Event::Outcome { request: id, attempt: number, ending, duration: 0.0, closed };
            driver.events.push_back(outcome);
            return;
        };
        debug!("request {}: attempt {number} goes to {}", open.request.label(), target.entry.addr);
        let left = (open.deadline - now_ms).max(0.0);
        let wait = if timeout > 0.0 { timeout.min(left) } else { left };
        let deadline = now + Duration::from_secs_f64(wait / 1000.0);
        let dedup_deadline = open.dedup_deadline(now);
        open.attempts_in_flight += 1;
        let reports_usage = target.usage_feedback.tells();
        let budget_grant = open.retry_budget.as_mut().map(|budget| {
            let retries = budget.send(number, reports_usage);
            Rc::new(BudgetGrant { retries, ..BudgetGrant::default() })
        });
        let attempt = Attempt {
            request: open.request.clone(),
            gate: target.gate.clone(),
            deadline,
            dedup_deadline,
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
        self.0.timers.notify_one();
    }
}
