//! Plays many seeds, and shrinks a failing plan to the fewest faults that still show the failure.
use crate::plan::{Plan, ScheduledFault, Variant};
use crate::world::{play, Report};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use testkit::faults::script::minimal_failing_steps;

/// Plays a plan; a panic is reported as a violation.
pub fn play_catching(plan: &Plan, variant: Variant) -> Report {
    catch_unwind(AssertUnwindSafe(|| play(plan, variant))).unwrap_or_else(|cause| {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(|text| text.to_string()));
        Report { violations: vec![format!("panic: {}", text.unwrap_or_default())], ..Report::default() }
    })
}

/// Which seeds are played, and how.
#[derive(Clone, Copy, Debug)]
pub struct SearchOptions {
    /// The first seed.
    pub first_seed: u64,
    /// Number of seeds.
    pub count: u64,
    /// The variant of the system.
    pub variant: Variant,
    /// Number of threads.
    pub threads: usize,
    /// Whether the search ends at the first failing seed.
    pub stop_at_first: bool,
}

/// Result of a search: sums over all runs.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// Number of runs.
    pub runs: u64,
    /// Failing seeds with their reports, by seed.
    pub failures: Vec<(u64, Report)>,
    /// Operations with a known outcome.
    pub known: u64,
    /// Operations with an unknown outcome.
    pub unknown: u64,
    /// Acquisitions of locks.
    pub locks: u64,
    /// Snapshots.
    pub snapshots: u64,
    /// Periods without a leader, in nanoseconds.
    pub leaderless_periods: Vec<u64>,
}

impl SearchResult {
    fn add(&mut self, seed: u64, report: Report) {
        self.runs += 1;
        self.known += report.known;
        self.unknown += report.unknown;
        self.locks += report.locks;
        self.snapshots += report.snapshots;
        self.leaderless_periods.extend(&report.leaderless_periods);
        if !report.violations.is_empty() {
            self.failures.push((seed, report));
        }
    }

    /// A quantile of the periods without a leader, in milliseconds.
    pub fn leaderless_quantile_ms(&self, quantile: f64) -> u64 {
        let mut periods = self.leaderless_periods.clone();
        periods.sort_unstable();
        let index = (periods.len() as f64 * quantile) as usize;
        periods.get(index).or(periods.last()).map_or(0, |nanos| nanos / 1_000_000)
    }
}

/// Plays many seeds on several threads.
pub fn search(options: SearchOptions) -> SearchResult {
    let SearchOptions { first_seed, count, variant, threads, stop_at_first } = options;
    let (next_seed, result) = (AtomicU64::new(first_seed), Mutex::new(SearchResult::default()));
    let work = || loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed - first_seed >= count {
            return;
        }
        let report = play_catching(&Plan::draw(seed), variant);
        if stop_at_first && !report.violations.is_empty() {
            next_seed.store(u64::MAX / 2, Ordering::Relaxed);
        }
        result.lock().unwrap_or_else(PoisonError::into_inner).add(seed, report);
    };
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut result = result.into_inner().unwrap_or_else(PoisonError::into_inner);
    result.failures.sort_by_key(|&(seed, _)| seed);
    result
}

/// The plan with the fewest faults that still fails.
pub fn shrink(plan: &Plan, variant: Variant) -> Plan {
    let with = |faults: &[ScheduledFault]| Plan { faults: faults.to_vec(), ..plan.clone() };
    let faults = minimal_failing_steps(&plan.faults, |some| {
        !play_catching(&with(some), variant).violations.is_empty()
    });
    with(&faults)
}
