//! When a watch calls, how long each call may wait for news, when it is given up, and by when the list that it keeps
//! counts as stale: the same for every registry. What is asked and what an answer says is the registry's own matter
//! ([`crate::platform`], [`crate::consul`]). Without I/O: whoever drives it has the clock and draws the numbers.
//!
//! A watch that falls silent shows nothing until its wait is over. So waits are short enough that what a silent one
//! missed has been read before anyone may count it as told ([`crate::platform::staleness`] has the reckoning), each is drawn
//! anew, and one that broke is opened again by itself, after a drawn pause: instances whose watches break in one moment do
//! not all come back in one.
use backoff::Backoff;
use std::time::Duration;

/// How a watch goes about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// The longest wait for news that a call of a standing watch asks for; each asks for half of it to all of it.
    pub max_wait: Duration,
    /// Beyond its wait such a call gets this long until its answer is whole.
    pub response_timeout: Duration,
    /// What the other side may add to a wait, as a part of it: one in so many; `None`: nothing.
    pub wait_extension_divisor: Option<u32>,
    /// The wait of the call that opens a watch. Short: how long the queue at the registry is does not show otherwise.
    pub open_wait: Duration,
    /// How long that call gets, the queue included.
    pub open_timeout: Duration,
    /// How long a call for the whole list gets, the queue included.
    pub full_list_timeout: Duration,
    /// Both double with each such call that is not answered in time, up to this: giving up calls that were about to be
    /// answered, again and again, would keep a slow registry busy with what nobody waits for.
    pub max_timeout: Duration,
    /// The longest first pause after a call that brought nothing, and before a watch that broke is opened again; it doubles
    /// with each further one.
    pub initial_backoff: Duration,
    /// The longest of these.
    pub max_backoff: Duration,
    /// The longest after calls that were turned away while no watch stood, and nothing had moved.
    pub max_rejected_backoff: Duration,
    /// The least time between an answer that told something and the next call.
    pub min_interval: Duration,
    /// A watch stands for so long after an answer; a later call opens another.
    pub max_gap: Duration,
    /// Where one registry works through the calls of all instances in turn: how far apart calls are that fail while no
    /// watch stands. `None`: by the pauses above.
    pub retry_spread: Option<RetrySpread>,
}

/// When the next call is made after one that waited and failed while no watch stood, counted from that one's beginning: drawn
/// between two bounds, and within what is left until the list must have been read. Guards against instances that come back so soon,
/// and so many of them, that the registry's queue stays full of calls that wait in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySpread {
    /// At the earliest, where there is time.
    pub min_delay: Duration,
    /// What a watch missed must have been read so long after it broke, or after its last call if that fell silent.
    pub read_deadline: Duration,
    /// And so long after the list has moved.
    pub moved_read_deadline: Duration,
    /// The part of that which is left for the last answer, and the least in which calls are spread. A call that failed sooner
    /// has not waited.
    pub response_reserve: Duration,
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The whole list; waits for nothing.
    FullList,
    /// What has changed; opens a watch.
    OpenWatch,
    /// What changes; goes on with a watch that stands.
    LongPoll,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing, until then.
    Wait(Duration),
    /// Call, and say how it ended.
    Call {
        /// What for.
        kind: CallKind,
        /// How long the call may wait for news.
        wait: Duration,
        /// How long it may take until its answer is whole.
        timeout: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening,
    Established,
}

/// See the module's page. Times are spans since any fixed moment, and never go back.
#[derive(Debug)]
pub struct Watch {
    plan: WatchTiming,
    phase: Phase,
    /// It has moved, and nothing has been answered since.
    moved: bool,
    /// What was missed must have been read by then.
    read_by: Duration,
    next_call_at: Duration,
    /// The last call: its kind, when it was made, and when it is given up.
    called: Option<(CallKind, Duration, Duration)>,
    /// Calls in a row, not of a standing watch, that were not answered in time.
    unanswered: u32,
    /// When the last answer came.
    answered: Duration,
    again: Backoff,
}

impl Watch {
    /// A watch that begins at once.
    pub fn new(plan: WatchTiming) -> Watch {
        let again = Backoff::new(plan.initial_backoff, plan.max_backoff.max(plan.max_rejected_backoff));
        let (due, answered) = (Duration::ZERO, Duration::ZERO);
        let read_by = plan.retry_spread.map_or(Duration::ZERO, |spread| spread.read_deadline);
        Watch {
            plan,
            phase: Phase::Opening,
            moved: false,
            read_by,
            next_call_at: due,
            called: None,
            unanswered: 0,
            answered,
            again,
        }
    }

    /// The list is elsewhere from now on: whatever stood stands no more, and it is asked for at once.
    pub fn moved(&mut self, now: Duration) {
        (self.phase, self.next_call_at, self.moved) = (Phase::Opening, now, true);
        self.read_by =
            now + self.plan.retry_spread.map_or(Duration::ZERO, |spread| spread.moved_read_deadline);
        self.again.reset();
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.again.failures()
    }

    /// What to do now. `draw`, from 0 to 1, spreads the waits of many instances. `knows`: something that later changes
    /// can be asked for by.
    pub fn step(&self, now: Duration, draw: f64, knows: bool) -> Step {
        let plan = &self.plan;
        if now < self.next_call_at {
            return Step::Wait(self.next_call_at);
        }
        let patient =
            |least: Duration| backoff::exponential_delay(least, plan.max_timeout.max(least), self.unanswered);
        if !knows {
            return Step::Call {
                kind: CallKind::FullList,
                wait: Duration::ZERO,
                timeout: patient(plan.full_list_timeout),
            };
        }
        if self.phase == Phase::Established && now.saturating_sub(self.answered) <= plan.max_gap {
            let wait = backoff::with_jitter(plan.max_wait, draw);
            let late = plan.wait_extension_divisor.map_or(Duration::ZERO, |part| wait / part.max(1));
            return Step::Call {
                kind: CallKind::LongPoll,
                wait,
                timeout: wait + late + plan.response_timeout,
            };
        }
        Step::Call { kind: CallKind::OpenWatch, wait: plan.open_wait, timeout: patient(plan.open_timeout) }
    }

    /// The call that [`Watch::step`] asked for has been made.
    pub fn called(&mut self, now: Duration, kind: CallKind, patience: Duration) {
        self.called = Some((kind, now, now + patience));
    }

    /// It was answered, with news or without.
    pub fn answered(&mut self, now: Duration) {
        // A watch that is opened and breaks, again and again, has not worked.
        if matches!(self.called, Some((CallKind::LongPoll | CallKind::FullList, ..))) {
            self.again.reset();
        }
        self.unanswered = 0;
        self.moved = false;
        (self.phase, self.answered, self.next_call_at) =
            (Phase::Established, now, now + self.plan.min_interval);
    }

    /// It brought nothing: no answer in time, a broken connection, or an answer that can't be used.
    pub fn broke(&mut self, now: Duration, draw: f64) {
        let stood = self.phase == Phase::Established;
        if self.called.is_some_and(|(kind, _, until)| kind != CallKind::LongPoll && now >= until) {
            self.unanswered = self.unanswered.saturating_add(1);
        }
        let after = match (self.plan.retry_spread, self.called) {
            (Some(spread), Some((_, begun, until))) if stood => {
                self.read_by = if now >= until { begun } else { now } + spread.read_deadline;
                Duration::ZERO
            }
            // Turned away at once: that cost the registry nothing, and its queue moves on.
            (Some(spread), Some((_, begun, _))) if now < begun + spread.response_reserve => Duration::ZERO,
            (Some(spread), Some((_, begun, _))) => {
                let left = self.read_by.saturating_sub(begun + spread.response_reserve);
                // Too late for what was missed: what changes from now on has as long again.
                let again = spread.read_deadline.saturating_sub(spread.response_reserve);
                let most = if left < spread.response_reserve { again } else { left.min(again) };
                let least = spread.min_delay.min(most);
                begun + least + (most - least).mul_f64(backoff::clamp_draw(draw))
            }
            _ => Duration::ZERO,
        };
        let most = if stood || self.moved { self.plan.max_backoff } else { self.plan.max_rejected_backoff };
        let pause = self.again.next_delay(draw).min(backoff::with_jitter(most, draw));
        (self.phase, self.next_call_at) = (Phase::Opening, after.max(now + pause));
    }

    /// When the next call is made at the earliest.
    pub fn next_call_at(&self) -> Duration {
        self.next_call_at
    }

    /// The next call is not made before this.
    pub fn postpone(&mut self, until: Duration) {
        self.next_call_at = self.next_call_at.max(until);
    }
}
