//! Many seeds; what fails is shrunk to the fewest troubles that still show it.
use crate::plan::{Plan, Variant};
use crate::world::{play, Report};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use testkit::faults::script::fewest;

/// Plays a run; one that panics is reported as such.
pub fn played(plan: &Plan, variant: Variant) -> Report {
    catch_unwind(AssertUnwindSafe(|| play(plan, variant))).unwrap_or_else(|cause| {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(|t| t.to_string()));
        Report { wrong: vec![format!("panic: {}", text.unwrap_or_default())], ..Report::default() }
    })
}

/// What a search found.
#[derive(Debug, Default)]
pub struct Found {
    /// Runs played.
    pub played: u64,
    /// Those in which something was wrong, by seed.
    pub wrong: Vec<(u64, Report)>,
    /// Sums over all.
    pub known: u64,
    /// Of unknown outcome.
    pub unknown: u64,
    /// Locks taken.
    pub locks: u64,
    /// Snapshots.
    pub folded: u64,
    /// All times without a leader, in nanoseconds.
    pub leaderless: Vec<u64>,
}

/// Plays so many seeds from `from` on, on so many threads; with `first`, ends at the first that is wrong.
pub fn search(from: u64, count: u64, variant: Variant, threads: usize, first: bool) -> Found {
    let (next, found) = (AtomicU64::new(from), Mutex::new(Found::default()));
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed - from >= count {
                    return;
                }
                let report = played(&Plan::draw(seed), variant);
                let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
                found.played += 1;
                found.known += report.known;
                found.unknown += report.unknown;
                found.locks += report.locks;
                found.folded += report.folded;
                found.leaderless.extend(&report.leaderless);
                if !report.wrong.is_empty() {
                    found.wrong.push((seed, report));
                    if first {
                        next.store(u64::MAX / 2, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    found.wrong.sort_by_key(|&(seed, _)| seed);
    found
}

/// The fewest troubles of a run with which something is still wrong.
pub fn shrink(plan: &Plan, variant: Variant) -> Plan {
    let with = |troubles: &[_]| Plan { troubles: troubles.to_vec(), ..plan.clone() };
    let troubles = fewest(&plan.troubles, |some| !played(&with(some), variant).wrong.is_empty());
    with(&troubles)
}
