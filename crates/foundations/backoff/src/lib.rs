//! Exponential backoff with jitter, so that clients that failed together do not retry together. Random numbers (0 to 1)
//! are drawn by the caller, so that state machines stay without I/O and a seed reproduces them.
use std::time::Duration;

/// Maximum number of doublings that are applied; more would not change a delay that is bounded in practice.
const MAX_DOUBLINGS: u32 = 20;

/// Returns `initial` doubled `doublings` times, but at most `max`.
pub fn exponential_delay(initial: Duration, max: Duration, doublings: u32) -> Duration {
    initial.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(max)
}

/// Returns a delay between half of `delay` and all of it, given a random number from 0 to 1 ("equal jitter"; Brooker,
/// Exponential Backoff And Jitter).
pub fn with_jitter(delay: Duration, draw: f64) -> Duration {
    delay.mul_f64(0.5 + 0.5 * clamp_draw(draw))
}

/// Limits a random number to the range from 0 to 1; returns 1 if it is not finite.
pub fn clamp_draw(draw: f64) -> f64 {
    if draw.is_finite() {
        draw.clamp(0.0, 1.0)
    } else {
        1.0
    }
}

/// Delays after consecutive failures.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Returns a backoff whose first delay is `initial`, and whose delays never exceed `max`. Jitter shortens them.
    pub fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff { initial, max, failures: 0 }
    }

    /// Records a failure and returns the delay after it, with jitter. `draw` is a random number from 0 to 1.
    pub fn next_delay(&mut self, draw: f64) -> Duration {
        let delay = with_jitter(exponential_delay(self.initial, self.max, self.failures), draw);
        self.failures = self.failures.saturating_add(1);
        delay
    }

    /// Records a success: the next delay is the initial one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
