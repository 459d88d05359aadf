//! The four rules of the load balancer, checked over what was sent, run and answered. The ledger of the socket tests
//! and the simulation, on every event, both use these checks. All times are durations since the start of the run, on
//! one clock. The checks never query a balancer.
//!
//! | type | checks |
//! | --- | --- |
//! | [`RequestHistory`] | one request: rules 1 and 2, and rule 3 by how long its upstreams had been closed |
//! | [`ClosedSince`] | how long an upstream has been closed, by the updates that a balancer got |
//! | [`ColdStartMonitor`] | the work sent to a cold upstream: rule 4 |
use std::collections::VecDeque;
use std::time::Duration;

/// Effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries an idempotency key; a group of upstreams discards duplicates within a window.
    Keyed,
    /// Must never run more than once.
    Unsafe,
}

/// Whether an upstream takes new work, as a balancer was notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes new work.
    Ready,
    /// Draining or gone: takes no new work.
    Closed,
}

/// Cold start of an upstream: its capacity grows linearly over `ramp`, starting at the fraction `initial_fraction`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Number of units of work that it processes in parallel when warm.
    pub parallelism: f64,
    /// Fraction of its capacity that it starts with.
    pub initial_fraction: f64,
    /// Time from its start until it is warm.
    pub ramp: Duration,
}

impl ColdStart {
    /// Returns the work that the upstream can do from `start` to `end` after its start.
    pub fn work_between(&self, start: Duration, end: Duration) -> Duration {
        // The mean of the capacity over the span by Simpson's rule, which is exact where the capacity grows linearly.
        let fraction = |time: Duration| {
            let progress = (time.as_secs_f64() / self.ramp.as_secs_f64().max(1e-9)).min(1.0);
            self.initial_fraction + (1.0 - self.initial_fraction) * progress
        };
        let mean = (fraction(start) + 4.0 * fraction((start + end) / 2) + fraction(end)) / 6.0;
        (end - start).mul_f64(self.parallelism * mean)
    }
}

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that a running balancer accepted gets exactly one final answer in time, and no attempt is sent after
    /// it.
    NoRequestLost,
    /// An unsafe request runs at most once, and a keyed one runs again only where its duplicate is discarded.
    NoEffectTwice,
    /// No new attempt goes to a closed upstream after the grace period.
    DrainsKept,
    /// A cold upstream is not sent more than a multiple of what it can do.
    ColdNotPushedOver,
}

/// Violations of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// No answer came.
    AnswerLost,
    /// More than one answer came.
    TwoAnswers,
    /// The answer came after the caller had stopped waiting.
    AnswerLate,
    /// A request was served although no upstream had worked on it.
    ServedByNobody,
    /// An attempt was sent after the final answer.
    SentAfterAnswer,
    /// An unsafe request ran again.
    UnsafeRepeated,
    /// A keyed request ran again in another group.
    KeyedOutsideGroup,
    /// A keyed request ran again after the window.
    KeyedOutsideWindow,
    /// A request that had run was refused, although a retry of it is not harmless.
    RefusedAfterRunning,
    /// An attempt went to a draining or removed upstream after the grace period.
    SentAfterGrace,
    /// A cold upstream was sent too much.
    ColdPushedOver,
    /// The ledger got more records than it can hold.
    LedgerFull,
}

impl ViolationKind {
    /// Returns the rule that it violates; `None` for a fault of the ledger itself.
    pub fn rule(self) -> Option<Rule> {
        use ViolationKind::*;
        match self {
            AnswerLost | TwoAnswers | AnswerLate | ServedByNobody | SentAfterAnswer => {
                Some(Rule::NoRequestLost)
            }
            UnsafeRepeated | KeyedOutsideGroup | KeyedOutsideWindow | RefusedAfterRunning => {
                Some(Rule::NoEffectTwice)
            }
            SentAfterGrace => Some(Rule::DrainsKept),
            ColdPushedOver => Some(Rule::ColdNotPushedOver),
            LedgerFull => None,
        }
    }
}

/// Upstreams that discard duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All upstreams.
    All,
    /// Upstreams of the group in which the request first ran.
    Group,
}

/// Parameters of the rules. [`RuleParameters::default`] has the platform's values.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Tolerance that is added to all time limits, for transmission delays.
    pub tolerance: Duration,
    /// Time after a notification during which attempts to a closed upstream may still begin.
    pub drain_grace: Duration,
    /// Upstreams that discard duplicates.
    pub scope: DedupScope,
    /// Time for which duplicates are discarded.
    pub dedup_window: Duration,
    /// Maximum work sent to a cold upstream, as a multiple of what it can do.
    pub cold_multiple: f64,
    /// Length of the spans over which that work is summed.
    pub cold_span: Duration,
}

impl Default for RuleParameters {
    fn default() -> Self {
        RuleParameters {
            tolerance: Duration::from_millis(50),
            drain_grace: Duration::from_secs(1),
            scope: DedupScope::Group,
            dedup_window: Duration::from_secs(4),
            cold_multiple: 4.0,
            cold_span: Duration::from_secs(1),
        }
    }
}

/// Time since when an upstream has been closed, as a balancer was notified; `None` while it is ready.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClosedSince(Option<Duration>);

impl ClosedSince {
    /// Records a notification.
    pub fn notify(&mut self, time: Duration, state: UpstreamState) {
        self.0 = match state {
            UpstreamState::Ready => None,
            UpstreamState::Closed => self.0.or(Some(time)),
        };
    }

    /// Returns how long the upstream has been closed, counted from the first notification.
    pub fn closed_for(&self, time: Duration) -> Duration {
        self.0.map_or(Duration::ZERO, |when| time.saturating_sub(when))
    }
}

/// Events of one request.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    /// Time at which the caller began to send it.
    pub sent_at: Duration,
    /// Time that the caller waits for an answer.
    pub timeout: Duration,
    /// Effect of running it more than once.
    pub effect: Effect,
    /// Complete answers: time and status. 200 means served, 429 and 503 refused, and all others failed.
    pub answers: Vec<(Duration, u16)>,
    /// Time at which the caller disconnected of its own accord, after which no answer is needed.
    pub disconnected_at: Option<Duration>,
    /// Times at which its first bytes reached upstreams, and how long these had been closed as its balancer knew.
    pub attempt_starts: Vec<(Duration, Duration)>,
    /// Times at which upstreams began to work on it, and their groups.
    pub executions: Vec<(Duration, u32)>,
    /// Whether its balancer was killed while it held the request, which the caller then has to send again.
    pub balancer_killed: bool,
}

impl RequestHistory {
    /// Creates the history of a request that was just sent.
    pub fn new(sent_at: Duration, effect: Effect, timeout: Duration) -> RequestHistory {
        let (answers, attempt_starts, executions) = Default::default();
        RequestHistory {
            sent_at,
            timeout,
            effect,
            answers,
            disconnected_at: None,
            attempt_starts,
            executions,
            balancer_killed: false,
        }
    }

    /// Checks the history once it is complete: a request without an answer counts as lost.
    pub fn check(&self, rules: &RuleParameters, report: &mut impl FnMut(ViolationKind, Duration)) {
        self.check_answers(rules, report);
        self.check_effects(rules, report);
        for &(time, closed) in &self.attempt_starts {
            if closed > rules.drain_grace + rules.tolerance {
                report(ViolationKind::SentAfterGrace, time);
            }
        }
    }

    fn check_answers(&self, rules: &RuleParameters, report: &mut impl FnMut(ViolationKind, Duration)) {
        let (request, sent_at, timeout, balancer_killed) =
            (self, self.sent_at, self.timeout, self.balancer_killed);
        match (request.answers.first(), request.disconnected_at) {
            (None, None) if !balancer_killed => report(ViolationKind::AnswerLost, sent_at),
            (Some(&(time, _)), _) if time > sent_at + timeout + rules.tolerance => {
                report(ViolationKind::AnswerLate, time)
            }
            _ => {}
        }
        if let Some(&(time, _)) = request.answers.get(1) {
            report(ViolationKind::TwoAnswers, time);
        }
        if let Some(&(time, 200)) = request.answers.first() {
            if request.executions.iter().all(|&(ran, _)| ran > time) {
                report(ViolationKind::ServedByNobody, time);
            }
        }
        // The answer or the disconnection, whichever came first, ended the request.
        let finished_at =
            request.answers.first().map(|&(time, _)| time).into_iter().chain(request.disconnected_at).min();
        if let Some(&(time, _)) = request
            .attempt_starts
            .iter()
            .find(|&&(time, _)| finished_at.is_some_and(|end| time > end + rules.tolerance))
        {
            report(ViolationKind::SentAfterAnswer, time);
        }
    }

    fn check_effects(&self, rules: &RuleParameters, report: &mut impl FnMut(ViolationKind, Duration)) {
        let (request, effect) = (self, self.effect);
        let Some((&(first, group), reruns)) = request.executions.split_first() else { return };
        match effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                reruns.iter().for_each(|&(time, _)| report(ViolationKind::UnsafeRepeated, time))
            }
            Effect::Keyed => {
                for &(time, other_group) in reruns {
                    if rules.scope == DedupScope::Group && other_group != group {
                        report(ViolationKind::KeyedOutsideGroup, time);
                    }
                    if time > first + rules.dedup_window + rules.tolerance {
                        report(ViolationKind::KeyedOutsideWindow, time);
                    }
                }
            }
        }
        let harmless = effect == Effect::Safe || (effect == Effect::Keyed && rules.scope == DedupScope::All);
        for &(time, status) in &request.answers {
            if matches!(status, 429 | 503) && !harmless {
                report(ViolationKind::RefusedAfterRunning, time);
            }
        }
    }
}

/// Work that was sent to an upstream since it started.
#[derive(Clone, Debug)]
pub struct ColdStartMonitor {
    started: Duration,
    cold: ColdStart,
    /// Recently started work, within the last span: time and amount.
    recent: VecDeque<(Duration, Duration)>,
    violated: bool,
}

impl ColdStartMonitor {
    /// Creates the record of an upstream that has just started.
    pub fn new(started: Duration, cold: ColdStart) -> ColdStartMonitor {
        ColdStartMonitor { started, cold, recent: VecDeque::new(), violated: false }
    }

    /// Whether the upstream is warm, after which no more checks apply.
    pub fn is_warm(&self, time: Duration) -> bool {
        time >= self.started + self.cold.ramp
    }

    /// Records work that the upstream began at `time`. Checks each span that begins with a piece of work: its sum
    /// may exceed the budget by the largest single piece, since one request more is chance. For the first span above
    /// that, returns the start of the span and the work sent in it.
    pub fn record_work(
        &mut self,
        time: Duration,
        work: Duration,
        rules: &RuleParameters,
    ) -> Option<(Duration, Duration)> {
        if self.violated || self.is_warm(time) {
            return None;
        }
        while self.recent.front().is_some_and(|&(from, _)| time >= from + rules.cold_span) {
            self.recent.pop_front();
        }
        self.recent.push_back((time, work));
        let mut sum: Duration = self.recent.iter().map(|(_, w)| *w).sum();
        // Largest piece of work in each span, from the newest span on.
        let mut largest: Vec<Duration> = Vec::with_capacity(self.recent.len());
        for &(_, work) in self.recent.iter().rev() {
            largest.push(largest.last().map_or(work, |&l| l.max(work)));
        }
        for (&(from, first_work), &largest) in self.recent.iter().zip(largest.iter().rev()) {
            let since = from - self.started;
            let budget = self.cold.work_between(since, since + rules.cold_span).mul_f64(rules.cold_multiple);
            if sum > budget + largest {
                self.violated = true;
                return Some((from, sum));
            }
            sum -= first_work;
        }
        None
    }
}
