//! Counters of requests and clients' connections of this process, for canary analysis and for the log.
use std::cell::Cell;
use std::time::Duration;
use tracing::info;

/// Interval between the log lines of [`log_changes`].
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counters since the process started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounters {
    /// Number of admitted requests.
    pub admitted: Cell<u64>,
    /// Number of admitted requests that were answered with the response of an upstream.
    pub served: Cell<u64>,
    /// Number of served requests that exceeded the latency objective of their class.
    pub late: Cell<u64>,
    /// Number of admitted requests that were answered with a refusal, which promises no effect.
    pub refused: Cell<u64>,
    /// Number of admitted requests that were answered with a failure, or with a client error of an upstream.
    pub failed: Cell<u64>,
    /// Number of admitted requests whose client left before the answer.
    pub abandoned: Cell<u64>,
    /// Number of requests that were not admitted: too many were open, or one with the same id was.
    pub not_admitted: Cell<u64>,
    /// Number of attempts after the first of a request.
    pub retries: Cell<u64>,
    /// Number of connections of HTTP clients that ended, by [`CloseReason`].
    pub connections_closed: [Cell<u64>; CloseReason::COUNT],
}

/// Reason why a connection of an HTTP client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client or an error of the connection ended it, or an answer announced its end.
    Ended,
    /// The client closed or reset it while bytes or answers were outstanding.
    ClientLeft,
    /// A request did not arrive in time, or the connection was idle for too long.
    TimedOut,
    /// It made room for another client.
    Evicted,
    /// The process shuts down.
    ShuttingDown,
}

impl CloseReason {
    const COUNT: usize = 5;
}

/// Increments a counter; it saturates at its maximum.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get().saturating_add(1));
}

impl RequestCounters {
    /// Counts the end of a client's connection.
    pub fn count_close(&self, reason: CloseReason) {
        increment(&self.connections_closed[reason as usize]);
    }

    /// One line with all counters.
    fn summary(&self) -> String {
        let closed = |reason: CloseReason| self.connections_closed[reason as usize].get();
        format!(
            "requests: {} admitted, {} served ({} late), {} refused, {} failed, {} abandoned, {} not admitted, {} retries; \
             connections closed: {} ended, {} left, {} timed out, {} evicted, {} at shutdown",
            self.admitted.get(),
            self.served.get(),
            self.late.get(),
            self.refused.get(),
            self.failed.get(),
            self.abandoned.get(),
            self.not_admitted.get(),
            self.retries.get(),
            closed(CloseReason::Ended),
            closed(CloseReason::ClientLeft),
            closed(CloseReason::TimedOut),
            closed(CloseReason::Evicted),
            closed(CloseReason::ShuttingDown),
        )
    }
}

/// Logs the counters and the memory of the process every [`LOG_INTERVAL`] in which a counter changed. `connected_clients`
/// returns the number of connected clients. Never returns.
pub async fn log_changes(counters: &RequestCounters, connected_clients: impl Fn() -> usize) {
    let mut logged = counters.clone();
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        if *counters == logged {
            continue;
        }
        logged = counters.clone();
        let (clients, memory) = (connected_clients(), resident_memory_mb());
        info!("{}; {clients} clients connected; {memory:.0} MiB resident", logged.summary());
    }
}

/// Resident memory of this process in MiB, assuming pages of 4096 bytes; 0 if the system does not report it.
pub fn resident_memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    // The actual page size does not matter, since canary analysis only compares instances with each other.
    pages as f64 * 4096.0 / f64::from(1 << 20)
}
