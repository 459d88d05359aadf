//! State of the driver: the decision module, requests and attempts in flight, upstreams and timers.
use super::open_request::{Deduplication, InFlightAttempt, OpenRequest};
use super::{AdmissionError, DriverConfig, SharedRequestIds, TransportFactory, ANSWER_MARGIN_MS};
use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::{EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, DrainGate, FinalAnswer, Request, Upstream};
use crate::request_counters::{self, RequestCounters};
use balancer::{AttemptOutcome, Availability, Balancer, Event, Millis, RequestId, UpstreamId};
use request_budget::grammar::RetryUsage;
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::usage_feedback::UsageFeedback;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// Latency objective that is assumed for a class without one: one day, so that its answers never count as late.
const NO_OBJECTIVE: Duration = Duration::from_secs(86_400);

/// Purpose of a timer.
pub(super) enum TimerKind {
    /// Set by the decision module, with this token.
    Balancer(u32),
    /// Timeout of an attempt, by request and attempt number.
    AttemptTimeout(RequestId, u32),
    /// Expiry check of idle connections.
    IdleSweep,
}

/// An upstream that the decision module may refer to.
pub(super) struct UpstreamEntry {
    /// Transport of the upstream, with its connections.
    pub(super) upstream: Rc<dyn Upstream>,
    /// Closed while the upstream drains.
    pub(super) gate: Rc<DrainGate>,
    /// Latest entry of the upstream in the endpoint list.
    pub(super) entry: ListedEndpoint,
    /// Whether the upstream's answers report the retries that were used below it.
    pub(super) usage_feedback: UsageFeedback,
}

/// State of a driver; mutably borrowed for one event at a time.
pub(super) struct Driver {
    /// The decision module.
    pub(super) balancer: Balancer,
    start: Instant,
    start_ms: Millis,
    transport_factory: TransportFactory,
    /// Budget of the process's file descriptors.
    pub(super) descriptors: DescriptorBudget,
    max_open: usize,
    late_shedding: bool,
    /// Time by which every request has its final answer, in milliseconds on the decision module's clock; infinite
    /// until a shutdown begins.
    pub(super) shutdown_deadline: Millis,
    next_id: u32,
    /// Requests without a final answer or with attempts in flight.
    pub(super) open: HashMap<RequestId, OpenRequest>,
    request_ids: SharedRequestIds,
    counters: Rc<RequestCounters>,
    objectives: Vec<Duration>,
    deduplication: Vec<Option<Deduplication>>,
    /// Attempts in flight, by request and number.
    pub(super) attempts: HashMap<(RequestId, u32), InFlightAttempt>,
    /// Every upstream that the decision module may refer to: those listed, and those with attempts in flight.
    pub(super) upstreams: HashMap<UpstreamId, UpstreamEntry>,
    /// Timers by due time; the sequence number distinguishes timers that are due at the same instant.
    pub(super) timers: BTreeMap<(Instant, u64), TimerKind>,
    timer_sequence: u64,
    /// Events that result from the one being handled, in order.
    pub(super) events: VecDeque<Event>,
}

/// Result of [`Driver::admit`]: the event for the decision module, and the receiver of the final answer.
pub(super) struct Admitted {
    /// Id of the request within this driver.
    pub(super) id: RequestId,
    /// Event to pass to the decision module.
    pub(super) event: Event,
    /// Receives the final answer.
    pub(super) answer: oneshot::Receiver<FinalAnswer>,
}

impl Driver {
    /// Creates a driver without requests and upstreams.
    pub(super) fn new(config: DriverConfig) -> Driver {
        Driver {
            balancer: config.balancer,
            start: config.clock_start,
            start_ms: config.clock_start_ms,
            transport_factory: config.transport_factory,
            descriptors: config.descriptors,
            max_open: config.max_open,
            late_shedding: config.late_shedding,
            shutdown_deadline: f64::INFINITY,
            next_id: 0,
            open: HashMap::new(),
            request_ids: config.request_ids,
            counters: config.counters,
            objectives: config.objectives,
            deduplication: config.deduplication,
            attempts: HashMap::new(),
            upstreams: HashMap::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Current time on the decision module's clock, in milliseconds.
    pub(super) fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Sets a timer and returns its key.
    pub(super) fn set_timer(&mut self, due_at: Instant, kind: TimerKind) -> (Instant, u64) {
        self.timer_sequence += 1;
        self.timers.insert((due_at, self.timer_sequence), kind);
        (due_at, self.timer_sequence)
    }

    /// Admits a request: from now on one final answer is owed.
    ///
    /// # Errors
    /// Too many requests are open, or the id is in use.
    pub(super) fn admit(
        &mut self,
        class: usize,
        tenant: usize,
        timeout: Millis,
        request: Request,
    ) -> Result<Admitted, AdmissionError> {
        if self.open.len() >= self.max_open {
            request_counters::increment(&self.counters.not_admitted);
            debug!("request {}: not admitted, {} requests are open", request.label(), self.open.len());
            return Err(AdmissionError::TooManyOpen);
        }
        // Prevents a request from reusing the id of another while any attempt of the other is in flight: upstreams
        // recognise retries by the id.
        if request.id.as_ref().is_some_and(|id| !self.request_ids.borrow_mut().claim(id, Instant::now())) {
            request_counters::increment(&self.counters.not_admitted);
            debug!("request {}: not admitted, its id is in use", request.label());
            return Err(AdmissionError::DuplicateId);
        }
        let id = self.next_request_id();
        let deadline = (self.now() + (timeout - ANSWER_MARGIN_MS).max(0.0)).min(self.shutdown_deadline);
        let route_retries = request.max_attempts.map_or(u32::MAX, |attempts| attempts.saturating_sub(1));
        let budget = request.budget.as_ref().map(|carried| &carried.budget);
        let (retries, worth) =
            budget.map_or((route_retries, 1.0), |b| (b.retries.min(route_retries), b.worth));
        let retry_budget = budget.map(|_| RetryBudget::new(retries));
        request_counters::increment(&self.counters.admitted);
        let objective = self.objectives.get(class).copied().unwrap_or(NO_OBJECTIVE);
        let (reply, answer) = oneshot::channel();
        let open = OpenRequest {
            reply: Some(reply),
            request: Rc::new(request),
            deadline,
            attempts_sent: 0,
            attempts_in_flight: 0,
            may_have_run: false,
            is_abandoned: false,
            first_sent: None,
            deduplication: self.deduplication.get(class).copied().flatten(),
            retry_budget,
            counters: self.counters.clone(),
            late_at: Instant::now() + objective,
        };
        self.open.insert(id, open);
        let event = Event::Request(balancer::Request { id, class, tenant, deadline, retries, worth });
        Ok(Admitted { id, event, answer })
    }

    /// Returns an id that no open request has. Ids wrap around.
    fn next_request_id(&mut self) -> RequestId {
        while self.open.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        id
    }

    /// Records the end of an attempt; only the first end counts. Aborts its task, which closes its connection.
    /// Returns the one outcome event that the decision module gets for the send; `None`: the attempt had already
    /// ended.
    pub(super) fn finish_attempt(
        &mut self,
        id: RequestId,
        number: u32,
        ending: AttemptOutcome,
        answer: Option<Answer>,
    ) -> Option<Event> {
        let attempt = self.attempts.remove(&(id, number))?;
        attempt.task.abort();
        self.timers.remove(&attempt.timer);
        self.remove_if_gone(attempt.upstream);
        let duration = attempt.sent.elapsed().as_secs_f64() * 1000.0;
        let reported = attempt.budget_grant.as_ref().and_then(|grant| grant.reported_usage.get());
        if matches!(ending, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Declined) {
            if let Some(entry) = self.upstreams.get_mut(&attempt.upstream) {
                entry.usage_feedback.record_response(reported.is_some());
            }
        }
        if let Some(open) = self.open.get(&id) {
            debug!(
                "request {}: attempt {number} ended as {ending:?} after {duration:.1} ms",
                open.request.label()
            );
        }
        let request_finished = self.record_ending(id, number, ending, reported, answer);
        self.remove_if_done(id);
        Some(Event::AttemptEnded { request: id, attempt: number, ending, duration, request_finished })
    }

    /// Records the end of an attempt in its request, and answers the request if the attempt brought an answer.
    /// Returns whether the request has its final answer.
    fn record_ending(
        &mut self,
        id: RequestId,
        number: u32,
        ending: AttemptOutcome,
        reported: Option<RetryUsage>,
        answer: Option<Answer>,
    ) -> bool {
        let never_ran = ending.never_ran() && !(ending == AttemptOutcome::Declined && self.late_shedding);
        let Some(open) = self.open.get_mut(&id) else { return true };
        open.attempts_in_flight -= 1;
        open.may_have_run |= !never_ran;
        if let Some(retry_budget) = &mut open.retry_budget {
            let usage = match reported {
                Some(used) => AttemptUsage::Used(used),
                None if never_ran => AttemptUsage::NeverRan,
                None => AttemptUsage::Unknown,
            };
            retry_budget.end_attempt(number, usage);
            // Precedes the outcome event, on which the decision module decides whether to retry.
            self.events.push_back(Event::RetriesLeft { request: id, retries: retry_budget.remaining() });
        }
        if let Some(answer) = answer {
            open.answer(answer);
        }
        open.reply.is_none()
    }

    /// Gives a request its final answer.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(open) = self.open.get_mut(&id) {
            open.answer(answer);
        }
        self.remove_if_done(id);
    }

    /// Removes a request that has its final answer and no attempt in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if !self.open.get(&id).is_some_and(|o| o.reply.is_none() && o.attempts_in_flight == 0) {
            return;
        }
        let Some(open) = self.open.remove(&id) else { return };
        let Some(request_id) = open.request.id.clone() else { return };
        let mut request_ids = self.request_ids.borrow_mut();
        if open.must_not_run_again() {
            request_ids.retain_abandoned(request_id, Instant::now());
        } else {
            request_ids.release(&request_id);
        }
    }

    /// Removes an upstream that is no longer in the endpoint list, once no attempt to it is in flight.
    fn remove_if_gone(&mut self, id: UpstreamId) {
        let gone = self
            .upstreams
            .get(&id)
            .is_some_and(|upstream| upstream.entry.member.availability == Availability::Gone);
        if gone && !self.attempts.values().any(|a| a.upstream == id) {
            self.upstreams.remove(&id);
        }
    }

    /// Closes the connection that has been idle longest, of all upstreams, to free its descriptor.
    pub(super) fn close_oldest_idle(&mut self) {
        let oldest =
            self.upstreams.values().filter_map(|e| Some((e.upstream.oldest_idle_since()?, &e.upstream)));
        if let Some((_, upstream)) = oldest.min_by_key(|&(since, _)| since) {
            upstream.close_oldest_idle();
        }
    }

    /// Updates upstreams, their connections and drain gates from the endpoint list. Gates close immediately: the time
    /// at which the change was written or considered notified is unknown, and part of the drain grace may have
    /// passed.
    pub(super) fn update_upstreams(&mut self, listing: &EndpointUpdate) {
        let now = Instant::now();
        for entry in &listing.endpoints {
            let member = &entry.member;
            debug!("endpoint list: {} is {:?}", entry.addr, member.availability);
            let current = self.upstreams.entry(member.id).or_insert_with(|| UpstreamEntry {
                upstream: (self.transport_factory)(entry),
                gate: Rc::default(),
                entry: entry.clone(),
                usage_feedback: UsageFeedback::default(),
            });
            // A new address or start time means a new process, and so may a return after a removal: connections to the
            // former process are unusable.
            let returned = current.entry.member.availability == Availability::Gone;
            let moved = current.entry.addr != entry.addr;
            if returned || moved || current.entry.member.started_at != member.started_at {
                current.upstream.process_replaced(entry.addr);
            }
            if current.entry.protocol != entry.protocol {
                current.upstream = (self.transport_factory)(entry);
            }
            current.entry = entry.clone();
            match member.availability {
                Availability::Ready => current.gate.open(),
                Availability::Draining | Availability::Gone => {
                    current.gate.close_at(now);
                    current.upstream.close_idle();
                }
            }
            if member.availability == Availability::Gone {
                self.remove_if_gone(member.id);
            }
        }
    }
}
