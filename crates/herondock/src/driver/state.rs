//! The driver's state: requests and attempts in flight, upstreams, timers, and the decision module that all of it serves.
use super::open_request::{InFlightAttempt, OpenRequest};
use super::{AdmissionError, DriverConfig, OpenRequestIds, TransportFactory, ANSWER_MARGIN_MS};
use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::{EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, DrainGate, FinalAnswer, Request, Upstream};
use crate::request_counters::{self, RequestCounters};
use balancer::{Availability, Balancer, Ending, Event, Millis, RequestId, UpstreamId};
use request_budget::grammar::Used;
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::usage_feedback::UsageFeedback;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// Latency objective of a class that has none.
const NO_OBJECTIVE: Duration = Duration::from_secs(86_400);

/// What a timer is for.
pub(super) enum TimerKind {
    /// The decision module asked for it, with this token.
    Balancer(u32),
    /// An attempt is given up.
    AttemptTimeout(RequestId, u32),
    /// Idle connections are checked for expiry.
    IdleSweep,
}

/// An upstream that the decision module may name.
pub(super) struct UpstreamEntry {
    /// Its transport and connections.
    pub(super) upstream: Rc<dyn Upstream>,
    /// Closed while it drains.
    pub(super) gate: Rc<DrainGate>,
    /// Its newest entry in the endpoint list.
    pub(super) entry: ListedEndpoint,
    /// Whether its answers report the retries that were used below it.
    pub(super) usage_feedback: UsageFeedback,
}

/// See the module's documentation. Borrowed for one event at a time.
pub(super) struct Driver {
    /// The decision module.
    pub(super) balancer: Balancer,
    start: Instant,
    start_ms: Millis,
    transports: TransportFactory,
    /// Descriptors of the process.
    pub(super) descriptors: DescriptorBudget,
    max_open: usize,
    late_shedding: bool,
    /// Every request has its final answer by then; infinite while the process serves.
    pub(super) shutdown_deadline: Millis,
    next_id: u32,
    /// Requests without a final answer or with attempts in flight.
    pub(super) open: HashMap<RequestId, OpenRequest>,
    open_ids: OpenRequestIds,
    counters: Rc<RequestCounters>,
    objectives: Vec<Duration>,
    dedup_windows: Vec<Option<Duration>>,
    /// Attempts in flight, by request and number.
    pub(super) attempts: HashMap<(RequestId, u32), InFlightAttempt>,
    /// Every upstream that the decision module may name: those listed, and those with attempts in flight.
    pub(super) upstreams: HashMap<UpstreamId, UpstreamEntry>,
    /// Timers by due time; the number keeps those of one instant apart.
    pub(super) timers: BTreeMap<(Instant, u64), TimerKind>,
    timer_sequence: u64,
    /// Events that follow from the one being handled.
    pub(super) events: VecDeque<Event>,
}

/// What [`Driver::admit`] returns: the event for the decision module, and where the final answer arrives.
pub(super) struct Admitted {
    /// The request's number.
    pub(super) id: RequestId,
    /// To be handed to the decision module.
    pub(super) event: Event,
    /// Receives the final answer.
    pub(super) answer: oneshot::Receiver<FinalAnswer>,
}

impl Driver {
    /// A driver without requests and upstreams.
    pub(super) fn new(config: DriverConfig) -> Driver {
        Driver {
            balancer: config.balancer,
            start: config.start,
            start_ms: config.start_ms,
            transports: config.transports,
            descriptors: config.descriptors,
            max_open: config.max_open,
            late_shedding: config.late_shedding,
            shutdown_deadline: f64::INFINITY,
            next_id: 0,
            open: HashMap::new(),
            open_ids: config.open_ids,
            counters: config.counters,
            objectives: config.objectives,
            dedup_windows: config.dedup_windows,
            attempts: HashMap::new(),
            upstreams: HashMap::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Time on the decision module's clock, in milliseconds.
    pub(super) fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Sets a timer and returns its key.
    pub(super) fn set_timer(&mut self, at: Instant, kind: TimerKind) -> (Instant, u64) {
        self.timer_sequence += 1;
        self.timers.insert((at, self.timer_sequence), kind);
        (at, self.timer_sequence)
    }

    /// Admits a request: from now on one final answer is owed.
    ///
    /// # Errors
    /// Too many requests are open, or one with its id is.
    pub(super) fn admit(
        &mut self,
        class: usize,
        tenant: usize,
        patience: Millis,
        request: Request,
    ) -> Result<Admitted, AdmissionError> {
        if self.open.len() >= self.max_open {
            return Err(AdmissionError::TooManyOpen);
        }
        // Guards against one request's id on another while any attempt of the first is in flight: upstreams recognise
        // retries by it.
        if request.id.as_ref().is_some_and(|id| !self.open_ids.borrow_mut().insert(id.clone())) {
            return Err(AdmissionError::DuplicateId);
        }
        let id = self.next_request_id();
        let deadline = (self.now() + (patience - ANSWER_MARGIN_MS).max(0.0)).min(self.shutdown_deadline);
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
            first_sent: None,
            dedup_window: self.dedup_windows.get(class).copied().flatten(),
            retry_budget,
            counters: self.counters.clone(),
            late_at: Instant::now() + objective,
        };
        self.open.insert(id, open);
        let event = Event::Request(balancer::Request { id, class, tenant, deadline, retries, worth });
        Ok(Admitted { id, event, answer })
    }

    /// A number that no open request has; numbers wrap around.
    fn next_request_id(&mut self) -> RequestId {
        while self.open.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        id
    }

    /// Books the end of an attempt; only the first one counts. Its task is stopped, which closes its connection. Returns
    /// the decision module's one outcome for the send.
    pub(super) fn finish_attempt(
        &mut self,
        id: RequestId,
        number: u32,
        ending: Ending,
        answer: Option<Answer>,
    ) -> Option<Event> {
        let attempt = self.attempts.remove(&(id, number))?;
        attempt.task.abort();
        self.timers.remove(&attempt.timer);
        self.remove_if_gone(attempt.upstream);
        let duration = attempt.sent.elapsed().as_secs_f64() * 1000.0;
        let reported = attempt.budget_grant.as_ref().and_then(|grant| grant.reported_usage.get());
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Full) {
            if let Some(entry) = self.upstreams.get_mut(&attempt.upstream) {
                entry.usage_feedback.answered(reported.is_some());
            }
        }
        let closed = self.book_ending(id, number, ending, reported, answer);
        self.remove_if_done(id);
        Some(Event::Outcome { request: id, attempt: number, ending, duration, closed })
    }

    /// Notes an attempt's end at its request, and gives the request its answer if the attempt brought one. Whether the
    /// request has its final answer.
    fn book_ending(
        &mut self,
        id: RequestId,
        number: u32,
        ending: Ending,
        reported: Option<Used>,
        answer: Option<Answer>,
    ) -> bool {
        let never_ran = ending.never_ran() && !(ending == Ending::Full && self.late_shedding);
        let Some(open) = self.open.get_mut(&id) else { return true };
        open.attempts_in_flight -= 1;
        open.may_have_run |= !never_ran;
        if let Some(retry_budget) = &mut open.retry_budget {
            let usage = match reported {
                Some(used) => AttemptUsage::Used(used),
                None if never_ran => AttemptUsage::NeverRan,
                None => AttemptUsage::Unknown,
            };
            retry_budget.ended(number, usage);
            // Before the outcome, by which the decision module decides whether to retry.
            self.events.push_back(Event::Left { request: id, retries: retry_budget.left() });
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
        if self.open.get(&id).is_some_and(|o| o.reply.is_none() && o.attempts_in_flight == 0) {
            if let Some(request_id) = self.open.remove(&id).and_then(|o| o.request.id.clone()) {
                self.open_ids.borrow_mut().remove(&request_id);
            }
        }
    }

    /// Removes an upstream that the endpoint list has no more, once no attempt is in flight there.
    fn remove_if_gone(&mut self, id: UpstreamId) {
        let gone = self
            .upstreams
            .get(&id)
            .is_some_and(|known| known.entry.member.availability == Availability::Gone);
        if gone && !self.attempts.values().any(|a| a.upstream == id) {
            self.upstreams.remove(&id);
        }
    }

    /// Closes the connection that has been idle longest, of all upstreams, to free its descriptor.
    pub(super) fn close_oldest_idle(&mut self) {
        let oldest =
            self.upstreams.values().filter_map(|k| Some((k.upstream.oldest_idle_since()?, &k.upstream)));
        if let Some((_, upstream)) = oldest.min_by_key(|&(since, _)| since) {
            upstream.close_oldest_idle();
        }
    }

    /// Brings upstreams, their connections and drain gates in step with the endpoint list. Gates close at once: when the
    /// change was written, or counted as notified, is not known, and part of the grace may be over.
    pub(super) fn update_upstreams(&mut self, listing: &EndpointUpdate) {
        let now = Instant::now();
        for entry in &listing.endpoints {
            let member = &entry.member;
            debug!("list: {} is {:?}", entry.addr, member.availability);
            let known = self.upstreams.entry(member.id).or_insert_with(|| UpstreamEntry {
                upstream: (self.transports)(entry),
                gate: Rc::default(),
                entry: entry.clone(),
                usage_feedback: UsageFeedback::default(),
            });
            // Another address or another start: connections to the former process lead nowhere.
            if known.entry.addr != entry.addr || known.entry.member.since != member.since {
                known.upstream.process_replaced(entry.addr);
            }
            if known.entry.protocol != entry.protocol {
                known.upstream = (self.transports)(entry);
            }
            known.entry = entry.clone();
            match member.availability {
                Availability::Ready => known.gate.open(),
                Availability::Draining | Availability::Gone => {
                    known.gate.close_at(now);
                    known.upstream.close_idle();
                }
            }
            if member.availability == Availability::Gone {
                self.remove_if_gone(member.id);
            }
        }
    }
}
