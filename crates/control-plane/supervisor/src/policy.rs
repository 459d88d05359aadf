//! Limits and timeouts that the supervisor applies.
use std::time::Duration;

/// Limits and timeouts of a [`Supervisor`](crate::Supervisor).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupervisorPolicy {
    /// Delay between the first starts of two consecutive instances.
    pub start_interval: Duration,
    /// Time that a process has to become ready after its start, and after a reload.
    pub ready_timeout: Duration,
    /// Time that a process has to exit after SIGTERM; it is killed afterwards.
    pub stop_timeout: Duration,
    /// Delay before the first restart after a crash. It doubles with each crash, up to `max_backoff`.
    pub initial_backoff: Duration,
    /// Upper bound of the restart delay.
    pub max_backoff: Duration,
    /// Number of crashes within `crash_window` after which an instance is no longer restarted.
    pub crash_limit: usize,
    /// Time during which a crash counts towards `crash_limit`.
    pub crash_window: Duration,
    /// Number of instances that a rolling operation handles at the same time; 0 counts as 1.
    pub max_parallel: usize,
    /// Maximum time that a handoff waits while too many draining predecessors of its instance are still running.
    pub predecessor_drain_timeout: Duration,
    /// Whether each step of a rolling operation needs a lease; see
    /// [`Action::RequestLease`](crate::Action::RequestLease).
    pub requires_lease: bool,
}

impl Default for SupervisorPolicy {
    fn default() -> Self {
        SupervisorPolicy {
            start_interval: Duration::from_millis(100),
            ready_timeout: Duration::from_secs(30),
            stop_timeout: Duration::from_secs(10),
            initial_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
            crash_limit: 5,
            crash_window: Duration::from_secs(60),
            max_parallel: 1,
            predecessor_drain_timeout: Duration::from_secs(75),
            requires_lease: false,
        }
    }
}
