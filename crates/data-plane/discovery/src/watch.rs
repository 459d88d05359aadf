//! Timing of a watch on a list, common to all registries: when the next request is sent, how long it may wait for changes,
//! when it times out, and when a failed one is retried. Requests and responses are defined by each registry
//! ([`crate::platform`], [`crate::consul`]). Without I/O: the driver passes the time and random numbers in.
//!
//! A watch whose connection falls silent returns nothing until its wait has passed. Waits are therefore short enough that
//! missed changes are read within the staleness bound ([`crate::platform::staleness`] has the calculation). Each wait has
//! jitter, and a broken watch is reopened after a random delay, so that instances whose watches break at the same time do
//! not all reconnect at the same time.
use backoff::Backoff;
use std::time::Duration;

/// Intervals, waits and timeouts of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// Longest wait for changes of a long poll; each one waits for half of it to all of it.
    pub max_wait: Duration,
    /// Time beyond its wait that a long poll has until its response is complete.
    pub response_timeout: Duration,
    /// The registry may extend a wait by one part in this many; `None`: it does not.
    pub wait_extension_divisor: Option<u32>,
    /// Wait of the request that opens a watch. Short, so that the length of the registry's queue shows.
    pub open_wait: Duration,
    /// Timeout of the request that opens a watch, including the time in the registry's queue.
    pub open_timeout: Duration,
    /// Timeout of a request for the full list, including the time in the registry's queue.
    pub full_list_timeout: Duration,
    /// Upper bound to which these two timeouts double with each one that expires: a slow registry would otherwise be busy
    /// with requests that have timed out.
    pub max_timeout: Duration,
    /// Longest first delay after a failure; it doubles with each consecutive failure.
    pub initial_backoff: Duration,
    /// Upper bound of the delay after a failure of an established watch, or after a change of the registry's address.
    pub max_backoff: Duration,
    /// Upper bound of the delay after a failure while no watch is established and the address has not changed.
    pub max_rejected_backoff: Duration,
    /// Minimum time between a response and the next request.
    pub min_interval: Duration,
    /// Maximum time between a response and the next long poll; after a longer gap the watch is opened anew.
    pub max_gap: Duration,
    /// Spreading of retries where a registry handles the requests of all instances one by one; `None`: retries follow the
    /// backoff alone.
    pub retry_spread: Option<RetrySpread>,
}

/// Time of the retry after a request that waited and failed while no watch was established: random between two bounds. The
/// retry after the first such request leaves as much of the time until the list must have been read as that request has
/// waited. After further ones the missed changes can't be read in time any more, and the bounds are wider. Guards against
/// retries that keep the registry's queue full of requests that time out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySpread {
    /// Earliest retry after the first such request, counted from its start, if the remaining time allows.
    pub min_delay: Duration,
    /// Earliest retry after further ones, counted from the start of the last.
    pub min_further_delay: Duration,
    /// Time after which a missed change must have been read, counted from the break of the watch, or from the start of
    /// its last request if that timed out; after an outage, from the return of the registry.
    pub read_deadline: Duration,
    /// The same, counted from a change of the registry's address.
    pub moved_read_deadline: Duration,
    /// Minimum part of the remaining time that is reserved for the last response. A request that failed sooner has not
    /// waited in the queue.
    pub response_reserve: Duration,
}

/// Kind of a request to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Requests the full list, without a wait.
    FullList,
    /// Opens a watch: requests the changes since a known version or index.
    OpenWatch,
    /// Continues an established watch.
    LongPoll,
}

/// Next action of the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait until this time.
    Wait(Duration),
    /// Send a request and report its result.
    Call {
        /// Kind of the request.
        kind: CallKind,
        /// Maximum time that the request waits for changes.
        wait: Duration,
        /// Time until its response must be complete.
        timeout: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request has succeeded since the start, the last failure or the last change of the address.
    Opening,
    /// The last request succeeded.
    Established,
}

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct SentCall {
    kind: CallKind,
    started_at: Duration,
    deadline: Duration,
}

/// Timing state of a watch. Times are durations since any fixed moment and must not decrease.
#[derive(Debug)]
pub struct Watch {
    timing: WatchTiming,
    phase: Phase,
    /// Whether the registry's address has changed and no response was received since.
    address_changed: bool,
    /// Time by which changes that were missed since the watch broke must have been read.
    read_deadline: Duration,
    /// Time of the last request that was rejected at once, after which the registry may have returned from an outage.
    rejected_at: Option<Duration>,
    /// Time of the last request that waited and failed while no watch was established.
    failed_wait_at: Option<Duration>,
    next_call_at: Duration,
    last_call: Option<SentCall>,
    /// Consecutive requests other than long polls that timed out.
    timeouts: u32,
    last_response_at: Duration,
    backoff: Backoff,
}

impl Watch {
    /// A watch whose first request is due at once.
    pub fn new(timing: WatchTiming) -> Watch {
        let backoff =
            Backoff::new(timing.initial_backoff, timing.max_backoff.max(timing.max_rejected_backoff));
        let read_deadline = timing.retry_spread.map_or(Duration::ZERO, |spread| spread.read_deadline);
        Watch {
            timing,
            phase: Phase::Opening,
            address_changed: false,
            read_deadline,
            rejected_at: None,
            failed_wait_at: None,
            next_call_at: Duration::ZERO,
            last_call: None,
            timeouts: 0,
            last_response_at: Duration::ZERO,
            backoff,
        }
    }

    /// The registry's address has changed: no watch is established any more, and the next request is due at once.
    pub fn address_changed(&mut self, now: Duration) {
        self.phase = Phase::Opening;
        self.next_call_at = now;
        self.address_changed = true;
        let max_read_delay =
            self.timing.retry_spread.map_or(Duration::ZERO, |spread| spread.moved_read_deadline);
        self.read_deadline = now + max_read_delay;
        self.rejected_at = None;
        self.failed_wait_at = None;
        self.backoff.reset();
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// The next step. `draw`, from 0 to 1, is the jitter of the wait. `has_position`: a version or index is known since
    /// which changes can be requested.
    pub fn step(&self, now: Duration, draw: f64, has_position: bool) -> Step {
        let timing = &self.timing;
        if now < self.next_call_at {
            return Step::Wait(self.next_call_at);
        }
        if !has_position {
            let timeout = self.extended_timeout(timing.full_list_timeout);
            return Step::Call { kind: CallKind::FullList, wait: Duration::ZERO, timeout };
        }
        let gap = now.saturating_sub(self.last_response_at);
        if self.phase == Phase::Established && gap <= timing.max_gap {
            let wait = backoff::with_jitter(timing.max_wait, draw);
            let extension =
                timing.wait_extension_divisor.map_or(Duration::ZERO, |divisor| wait / divisor.max(1));
            let timeout = wait + extension + timing.response_timeout;
            return Step::Call { kind: CallKind::LongPoll, wait, timeout };
        }
        let timeout = self.extended_timeout(timing.open_timeout);
        Step::Call { kind: CallKind::OpenWatch, wait: timing.open_wait, timeout }
    }

    /// A timeout, doubled for each consecutive one that expired.
    fn extended_timeout(&self, timeout: Duration) -> Duration {
        backoff::exponential_delay(timeout, self.timing.max_timeout.max(timeout), self.timeouts)
    }

    /// The request of [`Watch::step`] was sent.
    pub fn call_sent(&mut self, now: Duration, kind: CallKind, timeout: Duration) {
        self.last_call = Some(SentCall { kind, started_at: now, deadline: now + timeout });
    }

    /// The request was answered, with or without changes.
    pub fn call_succeeded(&mut self, now: Duration) {
        // Opening a watch does not reset the backoff, since the watch may break right after.
        let kind = self.last_call.map(|call| call.kind);
        if matches!(kind, Some(CallKind::LongPoll | CallKind::FullList)) {
            self.backoff.reset();
        }
        self.timeouts = 0;
        self.rejected_at = None;
        self.failed_wait_at = None;
        self.address_changed = false;
        self.phase = Phase::Established;
        self.last_response_at = now;
        self.next_call_at = now + self.timing.min_interval;
    }

    /// The request failed: it timed out, its connection broke, or the response is not usable. `draw`, from 0 to 1, is the
    /// jitter of the delay.
    pub fn call_failed(&mut self, now: Duration, draw: f64) {
        self.schedule_retry(now, draw, true);
    }

    /// The request was not sent, since no connection was established. `draw`, from 0 to 1, is the jitter of the delay.
    pub fn connect_failed(&mut self, now: Duration, draw: f64) {
        self.schedule_retry(now, draw, false);
    }

    /// Schedules the retry of a request. `was_sent`: it may have waited in the registry's queue.
    fn schedule_retry(&mut self, now: Duration, draw: f64, was_sent: bool) {
        let was_established = self.phase == Phase::Established;
        if let Some(call) = self.last_call {
            if call.kind != CallKind::LongPoll && now >= call.deadline {
                self.timeouts = self.timeouts.saturating_add(1);
            }
        }
        let max_delay = if was_established || self.address_changed {
            self.timing.max_backoff
        } else {
            self.timing.max_rejected_backoff
        };
        let backoff_until = now + self.backoff.next_delay(draw).min(backoff::with_jitter(max_delay, draw));
        self.next_call_at = match (self.timing.retry_spread, self.last_call) {
            (Some(spread), Some(call)) => {
                let waited = if was_sent { now.saturating_sub(call.started_at) } else { Duration::ZERO };
                self.spread_retry(now, draw, spread, call, waited, backoff_until)
            }
            _ => backoff_until,
        };
        self.phase = Phase::Opening;
    }

    /// Time of the retry of a request that `waited` in the registry's queue. `backoff_until`: end of the backoff.
    fn spread_retry(
        &mut self,
        now: Duration,
        draw: f64,
        spread: RetrySpread,
        call: SentCall,
        waited: Duration,
        backoff_until: Duration,
    ) -> Duration {
        if self.phase == Phase::Established {
            let missed_since = if now >= call.deadline { call.started_at } else { now };
            self.read_deadline = missed_since + spread.read_deadline;
            return backoff_until;
        }
        if waited < spread.response_reserve {
            // The request has used no time of the registry, whose queue moves on.
            self.rejected_at = Some(now);
            return backoff_until;
        }
        let last_failed_wait_at = self.failed_wait_at.replace(now);
        if last_failed_wait_at.is_none_or(|failed_at| call.started_at >= failed_at + spread.read_deadline) {
            // The retry may have to wait as long as this request did.
            let latest = self.next_read_deadline(now, spread).saturating_sub(waited).max(now);
            let earliest = (call.started_at + spread.min_delay).clamp(now, latest);
            return random_between(earliest, latest, draw);
        }
        // It is too late for the missed changes; later ones have the complete time again. The queue gets time to shorten.
        let latest = call.started_at + spread.read_deadline.saturating_sub(spread.response_reserve);
        let earliest = (call.started_at + spread.min_further_delay).min(latest);
        random_between(earliest, latest, draw).max(backoff_until)
    }

    /// Earliest time by which changes that have been missed must be read: those since the watch broke, or if that time is
    /// over, those since the registry may have returned from an outage. Zero if both are over.
    fn next_read_deadline(&self, now: Duration, spread: RetrySpread) -> Duration {
        if self.read_deadline > now {
            return self.read_deadline;
        }
        self.rejected_at.map_or(Duration::ZERO, |rejected_at| rejected_at + spread.read_deadline)
    }

    /// Earliest time of the next request.
    pub fn next_call_at(&self) -> Duration {
        self.next_call_at
    }

    /// Delays the next request until `time` at least.
    pub fn postpone(&mut self, time: Duration) {
        self.next_call_at = self.next_call_at.max(time);
    }
}

/// A time from `earliest` to `latest`, given a random number from 0 to 1.
fn random_between(earliest: Duration, latest: Duration, draw: f64) -> Duration {
    earliest + latest.saturating_sub(earliest).mul_f64(backoff::clamp_draw(draw))
}
