//! Counters of requests of this process, for canary analysis.
use std::cell::Cell;

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Number of admitted requests.
    pub admitted: Cell<u64>,
    /// Number of admitted requests that were answered with the response of an upstream.
    pub served: Cell<u64>,
    /// Number of served requests that exceeded the latency objective of their class.
    pub late: Cell<u64>,
}

/// Increments a counter; it saturates at its maximum.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get().saturating_add(1));
}

/// Resident memory of this process in MiB, assuming pages of 4096 bytes; 0 if the system does not report it.
pub fn resident_memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    // The actual page size does not matter, since canary analysis only compares instances with each other.
    pages as f64 * 4096.0 / f64::from(1 << 20)
}
