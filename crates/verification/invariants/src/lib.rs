//! The four rules, judged over what was sent, run and answered: by the ledger of the tests over real sockets, and by the
//! simulation on every event. Times are spans since the run began, on one clock. Nothing here asks a balancer anything.
//!
//! | what | judges |
//! | --- | --- |
//! | [`RequestHistory`] | one request: rules 1 and 2, and 3 by how long its upstreams had been closed |
//! | [`NotificationDeadline`] | how long an upstream has been closed, by what a balancer was told |
//! | [`Warming`] | what a cold upstream was sent: rule 4 |
use std::collections::VecDeque;
use std::time::Duration;

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key; a group of upstreams drops its repeats within a window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Whether an upstream takes new work, as a balancer was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Drains or is gone: takes none.
    Closed,
}

/// How an upstream that has just started comes to its full capacity: evenly over `ramp` from `from`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Work that it does at once when warm.
    pub cores: f64,
    /// The part of its capacity that it starts with.
    pub from: f64,
    /// When it is warm.
    pub ramp: Duration,
}

impl Cold {
    /// What it can do from `a` to `b` after its start.
    pub fn work(&self, a: Duration, b: Duration) -> Duration {
        // The part that is there grows evenly: over a span it is its mean, the part at the middle.
        let part = |at: Duration| {
            let done = (at.as_secs_f64() / self.ramp.as_secs_f64().max(1e-9)).min(1.0);
            self.from + (1.0 - self.from) * done
        };
        let mean = (part(a) + 4.0 * part((a + b) / 2) + part(b)) / 6.0;
        (b - a).mul_f64(self.cores * mean)
    }
}

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// What a running balancer took gets exactly one final answer in time, and nothing is sent for it after that.
    NoRequestLost,
    /// An unsafe request runs once at most, a keyed one again only where its repeat is dropped.
    NoEffectTwice,
    /// Nothing new goes to an upstream after the grace.
    DrainsKept,
    /// A cold upstream is not sent more than a multiple of what it can do.
    ColdNotPushedOver,
}

/// The ways to break them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// No answer came.
    AnswerLost,
    /// More than one came.
    TwoAnswers,
    /// It came after the caller had stopped waiting.
    AnswerLate,
    /// A request was served that no upstream had worked on.
    ServedByNobody,
    /// An attempt went out after the final answer.
    SentAfterAnswer,
    /// An unsafe request ran again.
    UnsafeRepeated,
    /// A keyed request ran again in another group.
    KeyedOutsideGroup,
    /// A keyed request ran again after the window.
    KeyedOutsideWindow,
    /// A request was refused that has run, where a repeat is not harmless.
    RefusedAfterRunning,
    /// An attempt went to an upstream that drains or is gone, after the grace.
    SentAfterGrace,
    /// A cold upstream was sent too much.
    ColdPushedOver,
    /// The ledger was told more than it holds.
    LedgerFull,
}

impl Breach {
    /// The rule that it breaks; `None` for a fault of the ledger itself.
    pub fn rule(self) -> Option<Rule> {
        use Breach::*;
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

/// Who drops the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every upstream.
    All,
    /// Those of the group that it ran in first.
    Group,
}

/// The rules in figures. [`RuleParameters::default`] has the platform's.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Time limits are this much longer, for what the way takes.
    pub slack: Duration,
    /// How long after the news sends to an upstream may still begin.
    pub grace: Duration,
    /// Who drops repeats.
    pub scope: Scope,
    /// And for how long.
    pub window: Duration,
    /// How many times what it can do a cold upstream may be sent.
    pub cold_multiple: f64,
    /// Within any span of this length.
    pub cold_span: Duration,
}

impl Default for RuleParameters {
    fn default() -> Self {
        RuleParameters {
            slack: Duration::from_millis(50),
            grace: Duration::from_secs(1),
            scope: Scope::Group,
            window: Duration::from_secs(4),
            cold_multiple: 4.0,
            cold_span: Duration::from_secs(1),
        }
    }
}

/// What a balancer was told of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct NotificationDeadline(Option<Duration>);

impl NotificationDeadline {
    /// It was told this.
    pub fn notify(&mut self, at: Duration, state: State) {
        self.0 = match state {
            State::Ready => None,
            State::Closed => self.0.or(Some(at)),
        };
    }

    /// How long the upstream has been closed, counted from the first news.
    pub fn closed_for(&self, at: Duration) -> Duration {
        self.0.map_or(Duration::ZERO, |when| at.saturating_sub(when))
    }
}

/// All that belongs to one request.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    /// When its caller began to send it.
    pub sent: Duration,
    /// How long it waits.
    pub patience: Duration,
    /// What a repeat may do.
    pub effect: Effect,
    /// Whole answers: when, and with which status. 200 is served, 429 and 503 are refusals, all else has failed.
    pub answers: Vec<(Duration, u16)>,
    /// When the caller went away of its own accord: nothing is owed any more.
    pub left: Option<Duration>,
    /// When its first bytes reached upstreams, and how long these had been closed by what its balancer knew.
    pub begun: Vec<(Duration, Duration)>,
    /// When upstreams began to work on it, and their groups.
    pub ran: Vec<(Duration, u32)>,
    /// Whether its balancer was killed while it had it: what it held is its caller's to send again.
    pub excused: bool,
}

impl RequestHistory {
    /// One that was just sent.
    pub fn new(sent: Duration, effect: Effect, patience: Duration) -> RequestHistory {
        let (answers, begun, ran) = Default::default();
        RequestHistory { sent, patience, effect, answers, left: None, begun, ran, excused: false }
    }

    /// Judges it, once nothing more can come of it: without an answer it counts as lost.
    pub fn judge(&self, figures: &RuleParameters, fault: &mut impl FnMut(Breach, Duration)) {
        self.judge_answers(figures, fault);
        self.judge_effects(figures, fault);
        for &(at, closed) in &self.begun {
            if closed > figures.grace + figures.slack {
                fault(Breach::SentAfterGrace, at);
            }
        }
    }

    fn judge_answers(&self, figures: &RuleParameters, fault: &mut impl FnMut(Breach, Duration)) {
        let (story, sent, patience, excused) = (self, self.sent, self.patience, self.excused);
        match (story.answers.first(), story.left) {
            (None, None) if !excused => fault(Breach::AnswerLost, sent),
            (Some(&(at, _)), _) if at > sent + patience + figures.slack => fault(Breach::AnswerLate, at),
            _ => {}
        }
        if let Some(&(at, _)) = story.answers.get(1) {
            fault(Breach::TwoAnswers, at);
        }
        if let Some(&(at, 200)) = story.answers.first() {
            if story.ran.iter().all(|&(ran, _)| ran > at) {
                fault(Breach::ServedByNobody, at);
            }
        }
        // Whichever came first ended it.
        let over = story.answers.first().map(|&(at, _)| at).into_iter().chain(story.left).min();
        if let Some(&(at, _)) =
            story.begun.iter().find(|&&(at, _)| over.is_some_and(|o| at > o + figures.slack))
        {
            fault(Breach::SentAfterAnswer, at);
        }
    }

    fn judge_effects(&self, figures: &RuleParameters, fault: &mut impl FnMut(Breach, Duration)) {
        let (story, effect) = (self, self.effect);
        let Some((&(first, group), again)) = story.ran.split_first() else { return };
        match effect {
            Effect::Safe => {}
            Effect::Unsafe => again.iter().for_each(|&(at, _)| fault(Breach::UnsafeRepeated, at)),
            Effect::Keyed => {
                for &(at, other) in again {
                    if figures.scope == Scope::Group && other != group {
                        fault(Breach::KeyedOutsideGroup, at);
                    }
                    if at > first + figures.window + figures.slack {
                        fault(Breach::KeyedOutsideWindow, at);
                    }
                }
            }
        }
        let harmless = effect == Effect::Safe || (effect == Effect::Keyed && figures.scope == Scope::All);
        for &(at, status) in &story.answers {
            if matches!(status, 429 | 503) && !harmless {
                fault(Breach::RefusedAfterRunning, at);
            }
        }
    }
}

/// What an upstream was sent since it started.
#[derive(Clone, Debug)]
pub struct Warming {
    started: Duration,
    cold: Cold,
    /// Work that it began on within the last span, with when.
    recent: VecDeque<(Duration, Duration)>,
    broken: bool,
}

impl Warming {
    /// One that has just started.
    pub fn new(started: Duration, cold: Cold) -> Warming {
        Warming { started, cold, recent: VecDeque::new(), broken: false }
    }

    /// Whether it has come to its full capacity: nothing more is judged.
    pub fn warm(&self, at: Duration) -> bool {
        at >= self.started + self.cold.ramp
    }

    /// It began on this much work. Looks at each span that begins with a piece of work; one request more than the budget
    /// is chance. The first span that has too much: when it began, and what was sent in it.
    pub fn executed(
        &mut self,
        at: Duration,
        work: Duration,
        figures: &RuleParameters,
    ) -> Option<(Duration, Duration)> {
        if self.broken || self.warm(at) {
            return None;
        }
        while self.recent.front().is_some_and(|&(from, _)| at >= from + figures.cold_span) {
            self.recent.pop_front();
        }
        self.recent.push_back((at, work));
        let mut sum: Duration = self.recent.iter().map(|(_, w)| *w).sum();
        // From the newest on: the largest piece of each span.
        let mut largest: Vec<Duration> = Vec::with_capacity(self.recent.len());
        for &(_, work) in self.recent.iter().rev() {
            largest.push(largest.last().map_or(work, |&l| l.max(work)));
        }
        for (&(from, own), &largest) in self.recent.iter().zip(largest.iter().rev()) {
            let since = from - self.started;
            let room = self.cold.work(since, since + figures.cold_span).mul_f64(figures.cold_multiple);
            if sum > room + largest {
                self.broken = true;
                return Some((from, sum));
            }
            sum -= own;
        }
        None
    }
}
