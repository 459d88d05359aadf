//! Runs of many seeds, and reduction of a failing run to the fewest faults that still show a violation.
use crate::plan::{Plan, Variant};
use crate::world::{play, Report};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use testkit::faults::script::minimal_failing_steps;

/// Next seed that ends all threads of a search.
const STOP: u64 = u64::MAX / 2;

/// Result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// Number of runs.
    pub runs: u64,
    /// Reports of runs with violations, by seed.
    pub violations: Vec<(u64, Report)>,
    /// Sums over all runs.
    pub sum: Report,
}

/// When a search ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAt {
    /// After all seeds.
    LastSeed,
    /// After the first run with a violation.
    FirstViolation,
}

/// Runs all `seeds` on so many threads. `draw` draws the plan of a seed.
pub fn search(
    seeds: Range<u64>,
    draw: impl Fn(u64) -> Plan + Sync,
    variant: Variant,
    threads: usize,
    stop_at: StopAt,
) -> SearchResult {
    let next_seed = AtomicU64::new(seeds.start);
    let result = Mutex::new(SearchResult::default());
    let run_seeds = || loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let report = play(&draw(seed), variant);
        let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
        result.runs += 1;
        result.sum.add(&report);
        if !report.violations.is_empty() {
            result.violations.push((seed, report));
            if stop_at == StopAt::FirstViolation {
                next_seed.store(STOP, Ordering::Relaxed);
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(run_seeds);
        }
    });
    let mut result = result.into_inner().unwrap_or_else(PoisonError::into_inner);
    result.violations.sort_by_key(|&(seed, _)| seed);
    result
}

/// The plan with the fewest of its faults with which a violation remains.
pub fn shrink(plan: &Plan, variant: Variant) -> Plan {
    let with_faults = |faults: &[_]| Plan { faults: faults.to_vec(), ..plan.clone() };
    let faults = minimal_failing_steps(&plan.faults, |faults| {
        !play(&with_faults(faults), variant).violations.is_empty()
    });
    with_faults(&faults)
}
