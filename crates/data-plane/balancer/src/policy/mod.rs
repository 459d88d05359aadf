//! The balancer's decision logic. Its input and output types are in `interface.rs`.
//!
//! Each request is counted as demand of its tenant. It is admitted if its tenant is within its limit or the capacity of
//! the current cycle is not used up, and refused otherwise. An admitted request goes to one of two random ready
//! upstreams: the one with fewer attempts of this instance in flight. Everything else handles an exception, and its
//! comment states the failure that it guards against.
mod admission;
mod deadline_admission;
mod endpoint_selection;
mod endpoints;
mod limits;
mod random;
mod retries;

use crate::interface::{
    Action, Event, LearnedState, Membership, Millis, RequestId, Settings, SettingsError, UpstreamId,
};
use admission::{Admission, MAX_SAVED_RETRIES, MIN_SUCCESS};
use deadline_admission::FastestAnswers;
use endpoints::Endpoints;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use random::uniform;
use retries::PendingRequest;
use std::collections::BTreeMap;

pub use limits::tenant_limits;

/// Length of an admission cycle, in milliseconds. The published 10 s is too slow for a capacity that is learned
/// instead of benchmarked.
const CYCLE: Millis = 1000.0;
/// Base delay before the endpoint list is requested again after a failure, in milliseconds. It doubles with every
/// failure up to a third of `ask_within`.
const LIST_RETRY_INTERVAL: Millis = 400.0;
const CYCLE_TIMER: u32 = 0;
const LIST_TIMER: u32 = 1;

fn mean_objective(settings: &Settings) -> Millis {
    settings.classes.iter().map(|c| c.objective).sum::<f64>() / settings.classes.len() as f64
}

/// One instance of the balancer's decision logic.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    admission: Admission,
    endpoints: Endpoints,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Number of retries that may be sent now.
    retry_budget: f64,
    fastest_answers: FastestAnswers,
    started: bool,
    /// Number of endpoint list requests that have failed in a row.
    list_failures: u32,
    /// Whether too few answers arrived in time, as of the last cycle.
    answers_late: bool,
}

impl Balancer {
    /// Creates an instance without endpoints at time `now`. `seed` determines its random choices.
    ///
    /// # Errors
    /// Returns the first field of `settings` that is out of bounds.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let admission = Admission::new(&settings, now);
        let mut endpoints = Endpoints::new(&settings);
        endpoints.resize_subset(&settings, admission.mean_admitted);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission,
            endpoints,
            pending: BTreeMap::new(),
            retry_budget: MAX_SAVED_RETRIES,
            fastest_answers: FastestAnswers::new(settings.classes.len()),
            started: false,
            list_failures: 0,
            answers_late: false,
            settings,
        })
    }

    /// Returns the number of requests that still have state: unanswered, or with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the upstreams that are ejected at time `now` because their attempts fail.
    pub fn ejected_upstreams(&self, now: Millis) -> impl Iterator<Item = UpstreamId> + '_ {
        self.endpoints.ejected(now)
    }

    /// Returns the learned capacity, answer time and tenant demands.
    pub fn learned_state(&self) -> LearnedState {
        self.admission.learned()
    }

    /// Starts from the state that another instance learned. Call it before the first event. Learned state with
    /// implausible values is ignored.
    pub fn restore_learned_state(&mut self, learned: &LearnedState, now: Millis) {
        self.admission.recall(learned, now);
        self.endpoints.resize_subset(&self.settings, self.admission.mean_admitted);
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !self.started {
            self.started = true;
            // The random delay keeps instances that start together from recomputing in step.
            let after = CYCLE * (0.5 + 0.5 * uniform(&mut self.rng));
            actions.push(Action::SetTimer { after, token: CYCLE_TIMER });
            if self.settings.ask_for_list {
                actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::Membership(Membership::Failed) if self.settings.ask_for_list => {
                // All instances query the same registry, so they back off with jitter. The delay stays well below
                // `ask_within`, after which this instance is considered notified.
                let max_delay = self.settings.ask_within / 3.0;
                let delay =
                    (LIST_RETRY_INTERVAL * f64::from(1u32 << self.list_failures.min(10))).min(max_delay);
                self.list_failures += 1;
                let after = delay * (0.5 + 0.5 * uniform(&mut self.rng));
                actions.push(Action::SetTimer { after, token: LIST_TIMER });
            }
            Event::Membership(update) => {
                if !matches!(update, Membership::Cached(_)) {
                    self.list_failures = 0;
                }
                self.endpoints.apply(update, &self.settings, now, &mut self.rng);
            }
            Event::Request(request) => self.handle_request(now, request, actions),
            Event::AttemptEnded { request, attempt, ending, duration, request_finished } => {
                self.handle_outcome(now, request, attempt, (ending, duration, request_finished), actions);
            }
            Event::RetriesLeft { request, retries } => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.max_attempts = pending.sent_attempts.saturating_add(retries);
                }
            }
            Event::ClientGone(id) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.finished = true;
                    for &(attempt, ..) in pending.in_flight.iter().filter(|_| self.settings.cancel) {
                        actions.push(Action::Cancel { request: id, attempt });
                    }
                    if pending.in_flight.is_empty() {
                        self.pending.remove(&id);
                    }
                }
            }
            Event::Timer(CYCLE_TIMER) => {
                self.record_overdue_attempts(now);
                self.admission.update_unloaded_latency(self.endpoints.mean_latency);
                let (ready, max_ready) = self.endpoints.ready_counts;
                self.admission.ready_fraction = ready as f64 / max_ready.max(1) as f64;
                self.admission.end_cycle(now);
                let late = self.admission.success < MIN_SUCCESS;
                if std::mem::replace(&mut self.answers_late, late) != late {
                    let state = if late { "late or failed: capacity is cut" } else { "in time again" };
                    actions.push(Action::Log(format!("answers of tier {} {state}", self.settings.stage)));
                }
                self.endpoints.resize_subset(&self.settings, self.admission.mean_admitted);
                actions.push(Action::SetTimer { after: CYCLE, token: CYCLE_TIMER });
            }
            Event::Timer(LIST_TIMER) => actions.push(Action::Subscribe),
            Event::Streaming { .. } | Event::Timer(_) => {}
        }
    }
}
