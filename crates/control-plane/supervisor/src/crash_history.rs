//! Crash counting of one instance: restart backoff and crash loop detection.
use crate::SupervisorPolicy;
use std::collections::VecDeque;
use std::time::Duration;

/// Response to a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashResponse {
    /// Start another process after this delay.
    RestartAfter(Duration),
    /// Do not restart: there were this many crashes within the window.
    GiveUp(usize),
}

/// Crashes of one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory {
    /// Times of the crashes within the window, oldest first.
    crashed_at: VecDeque<Duration>,
    /// Number of restarts since the window was last empty; the exponent of the backoff.
    consecutive_restarts: u32,
}

impl CrashHistory {
    /// Number of crashes less than `window` ago.
    pub(crate) fn count(&self, now: Duration, window: Duration) -> usize {
        self.crashed_at.iter().filter(|&&at| now < at + window).count()
    }

    /// Removes all crashes and resets the backoff.
    pub(crate) fn clear(&mut self) {
        *self = CrashHistory::default();
    }

    /// Records a crash at `now`.
    pub(crate) fn record(&mut self, now: Duration, policy: &SupervisorPolicy) -> CrashResponse {
        self.crashed_at.retain(|&at| now < at + policy.crash_window);
        if self.crashed_at.is_empty() {
            // The process ran for longer than the window, so the backoff starts at its initial delay again.
            self.consecutive_restarts = 0;
        }
        self.crashed_at.push_back(now);
        if self.crashed_at.len() >= policy.crash_limit {
            return CrashResponse::GiveUp(self.crashed_at.len());
        }
        let delay =
            backoff::exponential_delay(policy.initial_backoff, policy.max_backoff, self.consecutive_restarts);
        self.consecutive_restarts += 1;
        CrashResponse::RestartAfter(delay)
    }
}
