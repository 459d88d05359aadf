//! What this process has been asked and has served, for whoever compares it with others.
use std::cell::Cell;

/// Counts since the process began.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests taken.
    pub admitted: Cell<u64>,
    /// Of them answered with what an upstream said.
    pub served: Cell<u64>,
    /// Of these after their class's objective.
    pub late: Cell<u64>,
}

/// One more.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get().saturating_add(1));
}

/// The memory that this process holds, in MB; 0 where the system does not tell.
pub fn resident_memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    // Page sizes are not asked for: the same machine's instances are of one, and the gate compares.
    pages as f64 * 4096.0 / f64::from(1 << 20)
}
