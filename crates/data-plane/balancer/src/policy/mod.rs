//! Every decision of the balancer. The types it speaks in are in `interface.rs`.
//!
//! Ordinary path of a request: count it as its tenant's demand; admit it when its tenant is within its limit
//! or the cycle's capacity is not used up, refuse it otherwise; send it to the less busy of two random ready
//! upstreams by our own calls in flight. Everything else is an exception, and says what it guards against.
mod admission;
mod deadline_admission;
mod endpoint_selection;
mod endpoints;
mod limits;
mod random;
mod retries;

use crate::interface::*;
use admission::{Admission, RETRY_SAVED, SUCCESS_WANTED};
use deadline_admission::FastestAnswers;
use endpoints::Endpoints;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use random::unit;
use retries::Pending;
use std::collections::BTreeMap;

pub use limits::limits;

/// Length of a cycle. The published 10 s is too slow for capacity that is learned instead of benchmarked.
const CYCLE: Millis = 1000.0;
/// Pause before asking for the list again after a failure, doubling up to a third of `ask_within`.
const LIST_RETRY_INTERVAL: Millis = 400.0;
const TIMER_CYCLE: u32 = 0;
const LIST_TIMER: u32 = 1;

fn mean_objective(s: &Settings) -> Millis {
    s.classes.iter().map(|c| c.objective).sum::<f64>() / s.classes.len() as f64
}

/// One instance of the decision logic.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    admission: Admission,
    fleet: Endpoints,
    pending: BTreeMap<RequestId, Pending>,
    retries: f64,
    fastest: FastestAnswers,
    started: bool,
    ask_failures: u32,
    late: bool,
}

impl Balancer {
    /// A fresh instance that knows nothing yet. `seed` feeds its random choices.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let admission = Admission::new(&settings, now);
        let mut fleet = Endpoints::new(&settings);
        fleet.resize_subset(&settings, admission.recent);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission,
            fleet,
            pending: BTreeMap::new(),
            retries: RETRY_SAVED,
            fastest: FastestAnswers::new(settings.classes.len()),
            started: false,
            ask_failures: 0,
            late: false,
            settings,
        })
    }

    /// Requests that it has not forgotten yet.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// The upstreams that are not used now, since they fail.
    pub fn ejected(&self, now: Millis) -> impl Iterator<Item = UpstreamId> + '_ {
        self.fleet.ejected(now)
    }

    /// What it has learned so far.
    pub fn learned(&self) -> Learned {
        self.admission.learned()
    }

    /// Begins with what another instance learned, before anything else happens. What is unsound is left out.
    pub fn recall(&mut self, learned: &Learned, now: Millis) {
        self.admission.recall(learned, now);
        self.fleet.resize_subset(&self.settings, self.admission.recent);
    }

    /// Takes one event and appends what is to be done. `now` must not go back.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !self.started {
            self.started = true;
            // Copies started together must not recompute in step.
            let after = CYCLE * (0.5 + 0.5 * unit(&mut self.rng));
            actions.push(Action::SetTimer { after, token: TIMER_CYCLE });
            if self.settings.ask_for_list {
                actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::Membership(Membership::Failed) if self.settings.ask_for_list => {
                // The registry is one queue for all: back off with jitter, yet stay well within the time
                // after which we count as told.
                let most = self.settings.ask_within / 3.0;
                let pause = (LIST_RETRY_INTERVAL * f64::from(1u32 << self.ask_failures.min(10))).min(most);
                self.ask_failures += 1;
                let after = pause * (0.5 + 0.5 * unit(&mut self.rng));
                actions.push(Action::SetTimer { after, token: LIST_TIMER });
            }
            Event::Membership(news) => {
                if !matches!(news, Membership::Cached(_)) {
                    self.ask_failures = 0;
                }
                self.fleet.apply(news, &self.settings, now, &mut self.rng);
            }
            Event::Request(r) => self.request(now, r, actions),
            Event::Outcome { request, attempt, ending, duration, closed } => {
                self.outcome(now, request, attempt, (ending, duration, closed), actions);
            }
            Event::Left { request, retries } => {
                if let Some(p) = self.pending.get_mut(&request) {
                    p.cap = p.sends.saturating_add(retries);
                }
            }
            Event::ClientGone(id) => {
                if let Some(p) = self.pending.get_mut(&id) {
                    p.over = true;
                    for &(attempt, ..) in p.out.iter().filter(|_| self.settings.cancel) {
                        actions.push(Action::Cancel { request: id, attempt });
                    }
                    if p.out.is_empty() {
                        self.pending.remove(&id);
                    }
                }
            }
            Event::Timer(TIMER_CYCLE) => {
                self.judge_unanswered(now);
                self.admission.note_latency(self.fleet.latency);
                let (ready, most) = self.fleet.ready;
                self.admission.ready = ready as f64 / most.max(1) as f64;
                self.admission.end_cycle(now);
                let late = self.admission.success < SUCCESS_WANTED;
                if std::mem::replace(&mut self.late, late) != late {
                    let state = if late { "late or failed: capacity is cut" } else { "in time again" };
                    actions.push(Action::Log(format!("answers of tier {} {state}", self.settings.stage)));
                }
                self.fleet.resize_subset(&self.settings, self.admission.recent);
                actions.push(Action::SetTimer { after: CYCLE, token: TIMER_CYCLE });
            }
            Event::Timer(LIST_TIMER) => actions.push(Action::Subscribe),
            Event::Streaming { .. } | Event::Timer(_) => {}
        }
    }
}
