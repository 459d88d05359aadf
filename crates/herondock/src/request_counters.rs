//! Counters of this process, for canary analysis.
use std::cell::Cell;

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests admitted.
    pub admitted: Cell<u64>,
    /// Of them, those answered with an upstream's answer.
    pub served: Cell<u64>,
    /// Of these, those answered after their class's latency objective.
    pub late: Cell<u64>,
}

/// Adds one.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get().saturating_add(1));
}

/// Resident memory of this process in MB; 0 where the system does not report it.
pub fn resident_memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    // The actual page size does not matter: canary analysis compares instances with each other.
    pages as f64 * 4096.0 / f64::from(1 << 20)
}
