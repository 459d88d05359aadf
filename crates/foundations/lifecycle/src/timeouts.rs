//! Timeouts of the graceful shutdown.
use std::time::Duration;
use thiserror::Error;

/// Error: a timeout is shorter than that of the step before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{field} is shorter than the timeout of the step before it")]
pub struct TimeoutOrderError {
    /// Name of the field.
    pub field: &'static str,
}

/// Timeouts of the graceful shutdown, counted from the stop signal, and of the shutdown after a handoff, counted from the
/// time at which the successor took over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// Time after which no new connections are accepted.
    pub stop_accepting_after: Duration,
    /// Time after which idle connections are closed. Until then they are kept open, because clients would otherwise reconnect
    /// to a balancer that may be restarting as well.
    pub close_idle_after: Duration,
    /// Time before `close_idle_after` during which responses announce that their connection closes, so that no client is
    /// writing to an idle connection when it is closed.
    pub close_announcement: Duration,
    /// Time at which open requests are answered with an error.
    pub fail_requests_after: Duration,
    /// Time at which the process exits, even if connections are open.
    pub exit_after: Duration,
    /// Time after a handoff at which idle connections are closed. Responses announce it from the handoff on.
    pub handoff_close_idle_after: Duration,
    /// Time after a handoff at which open requests are answered with an error.
    pub handoff_fail_requests_after: Duration,
}

impl Default for ShutdownTimeouts {
    /// The platform sends new connections for 0.2 to 0.4 s after SIGTERM, and SIGKILL 3.7 s after it at the earliest.
    /// After a handoff no SIGKILL follows: requests have 60 s, and connections may be idle for 10 s, as long as at any
    /// other time, so that the handoff closes no connection that would otherwise have stayed open.
    fn default() -> Self {
        ShutdownTimeouts {
            stop_accepting_after: Duration::from_millis(500),
            close_idle_after: Duration::from_millis(2400),
            close_announcement: Duration::from_millis(500),
            fail_requests_after: Duration::from_millis(3500),
            exit_after: Duration::from_millis(3650),
            handoff_close_idle_after: Duration::from_secs(10),
            handoff_fail_requests_after: Duration::from_secs(60),
        }
    }
}

impl ShutdownTimeouts {
    /// Checks that each timeout is at least as long as that of the step before it.
    ///
    /// # Errors
    /// The first field that is shorter.
    pub fn validate(&self) -> Result<(), TimeoutOrderError> {
        for (field, earlier, later) in [
            ("close_idle_after", self.stop_accepting_after, self.close_idle_after),
            ("fail_requests_after", self.close_idle_after, self.fail_requests_after),
            ("exit_after", self.fail_requests_after, self.exit_after),
            ("handoff_fail_requests_after", self.handoff_close_idle_after, self.handoff_fail_requests_after),
        ] {
            if earlier > later {
                return Err(TimeoutOrderError { field });
            }
        }
        Ok(())
    }
}
