//! Staleness bounds: when a change counts as known, and the timing of a watch that has read it by then.
//!
//! The times are those of the platform's protocol and not configurable. Where the discovery service is queried (one service
//! for all instances, which handles requests one by one), with a drain grace of 1 s, counted from the start of a request:
//!
//! | at the latest | event |
//! | --- | --- |
//! | 0 | a long poll is sent, with a wait of 1 to 2 s; the connection falls silent right after |
//! | 3.0 s | its wait and 1 s for the response are over: it times out |
//! | 3.3 s | the watch is reopened after a random delay: instances that lost theirs at the same time differ by up to 1.15 s |
//! | 6.0 s | the missed change counts as known ([`SILENT_WATCH_DEADLINE`]; the wait and [`AFTER_WAIT_DEADLINE`] add up to 4 s) |
//! | 7.05 s | no request may be sent by the old list any more: 3.75 s for connecting, the queue and the response, or for a retry |
//!
//! A request that opens a watch waits 100 ms for changes, so that it is answered as soon as it reaches the head of the
//! queue, and times out after 4 s, including its time in the queue. Whatever fails, a change counts as known
//! [`SILENT_WATCH_DEADLINE`] after the service had it and could be reached. A request that was rejected at once has used
//! no time of the service: the backoff doubles from 0.3 to 3 s, to 1 s after a change of the address. A request that
//! waited and failed is retried 2 s after its own start at the earliest, and at the latest with as much of the remaining
//! time left as it has waited itself, at once if less is left: the queue may still be as long. After an outage the time
//! counts from the last request that was rejected at once, since the service may have returned right after it. If the retry
//! has waited and failed too, it is too late for the missed changes: each further one is sent 5.5 to 6.55 s after the start
//! of the one before, until a request succeeds. Earlier retries would be worse: the service handles its queue in order,
//! expired requests included, and instances that retry at once keep it full of requests that time out (`tests/watch.rs`
//! simulates both).
//!
//! Where lists are pushed to an agent on this machine, which responds at once and at no cost, a change counts as known as
//! soon as the agent has it, whether or not a watch is established: wait and response timeout together stay below the grace,
//! so that after a broken watch, or an agent that was silent while the service was down, the agent is queried within it.
use crate::watch::{RetrySpread, WatchTiming};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time after a watch fell silent at which a change that it missed counts as known.
pub const SILENT_WATCH_DEADLINE: Duration = ms(6000);
/// Minimum time between the end of the wait of the watch's last request and the moment at which such a change counts as
/// known.
pub const AFTER_WAIT_DEADLINE: Duration = ms(2000);
/// Maximum time between a response and the next request of an established watch.
pub const MAX_WATCH_GAP: Duration = ms(200);
/// Time after a change of the service's address in the configuration at which its list counts as known.
pub const ADDRESS_CHANGE_DEADLINE: Duration = ms(4000);
/// Extension of each time limit on sockets.
pub const SOCKET_SLACK: Duration = ms(50);
/// Longest wait where the service is queried: short enough that [`SILENT_WATCH_DEADLINE`] applies and not
/// [`AFTER_WAIT_DEADLINE`], with time for a second request.
const MAX_WAIT: Duration = ms(2000);
/// Time beyond its wait that a long poll has for its response, where the service is queried.
const RESPONSE_TIMEOUT: Duration = ms(1000);
/// Wait of a request that opens a watch.
const OPEN_WAIT: Duration = ms(100);
/// Timeout of such a request: longer than the service keeps requests in its queue.
const OPEN_TIMEOUT: Duration = ms(4000);
/// Upper bound of that timeout, which doubles when it expires: a pending request keeps its place in the queue.
const MAX_TIMEOUT: Duration = ms(16_000);
/// Longest first delay before a broken watch is reopened, where the service is queried.
const INITIAL_BACKOFF: Duration = ms(300);
/// Upper bound of the backoff of an established watch, or after a change of the address, where the service is queried.
const MAX_BACKOFF: Duration = ms(1000);
/// Upper bound of the backoff after requests that the service rejected at once, if its address has not changed.
const MAX_REJECTED_BACKOFF: Duration = ms(3000);
/// Earliest retry of a failed request that opens a watch, counted from its start, where the service is queried.
const MIN_RETRY_DELAY: Duration = ms(2000);
/// Earliest retry after the second consecutive one that waited and failed, counted from its start, so that the
/// queue of an overloaded service can shorten.
const MIN_FURTHER_RETRY_DELAY: Duration = ms(5500);
/// Minimum time that the spreading of retries reserves for the last response.
const RESPONSE_RESERVE: Duration = ms(500);
/// First delay after a failure at the agent on this machine.
const AGENT_INITIAL_BACKOFF: Duration = ms(10);
/// Timeout of a request for the full list at that agent: sent at the start and after a change of the address only.
const AGENT_FULL_LIST_TIMEOUT: Duration = ms(1000);

/// Settings that determine the staleness bounds.
#[derive(Clone, Copy, Debug)]
pub struct StalenessSettings {
    /// Whether lists are pushed to an agent on this machine, instead of being queried from the service.
    pub lists_are_pushed: bool,
    /// Time after a draining endpoint became known within which the last request must have been sent to it.
    pub drain_grace: Duration,
}

impl StalenessSettings {
    /// Time by which a change that a silent watch missed must have been read, counted from the start of its last request.
    /// `wait` is the wait of that request.
    pub fn silent_read_deadline(&self, wait: Duration) -> Duration {
        SILENT_WATCH_DEADLINE.max(wait + AFTER_WAIT_DEADLINE) + self.drain_grace + SOCKET_SLACK
    }

    /// Timing of a watch that meets the bounds.
    pub fn watch_timing(&self) -> WatchTiming {
        let queried = WatchTiming {
            max_wait: MAX_WAIT,
            response_timeout: RESPONSE_TIMEOUT,
            wait_extension_divisor: None,
            open_wait: OPEN_WAIT,
            open_timeout: OPEN_TIMEOUT,
            full_list_timeout: OPEN_TIMEOUT,
            max_timeout: MAX_TIMEOUT,
            initial_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_BACKOFF,
            max_rejected_backoff: MAX_REJECTED_BACKOFF,
            min_interval: Duration::ZERO,
            max_gap: MAX_WATCH_GAP,
            retry_spread: Some(RetrySpread {
                min_delay: MIN_RETRY_DELAY,
                min_further_delay: MIN_FURTHER_RETRY_DELAY,
                read_deadline: SILENT_WATCH_DEADLINE + self.drain_grace + SOCKET_SLACK,
                moved_read_deadline: ADDRESS_CHANGE_DEADLINE + self.drain_grace + SOCKET_SLACK,
                response_reserve: RESPONSE_RESERVE,
            }),
        };
        if !self.lists_are_pushed {
            return queried;
        }
        // Half of the grace is for the wait, a quarter for the response, and the remaining quarter for the next request.
        let grace = self.drain_grace + SOCKET_SLACK;
        let wait = (grace / 2).clamp(ms(100), ms(500));
        let response_timeout = (grace / 4).clamp(ms(50), ms(250));
        WatchTiming {
            max_wait: wait,
            response_timeout,
            open_wait: OPEN_WAIT.min(wait),
            open_timeout: OPEN_WAIT.min(wait) + response_timeout,
            full_list_timeout: AGENT_FULL_LIST_TIMEOUT,
            max_timeout: Duration::ZERO,
            initial_backoff: AGENT_INITIAL_BACKOFF,
            max_backoff: response_timeout,
            max_rejected_backoff: response_timeout,
            retry_spread: None,
            ..queried
        }
    }
}
