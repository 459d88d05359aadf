//! Many seeds; what fails is shrunk to the fewest troubles that still show it.
use crate::plan::{Plan, Variant};
use crate::world::{play, Report};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use testkit::faults::script::fewest;

/// What a search found.
#[derive(Debug, Default)]
pub struct Found {
    /// Runs played.
    pub played: u64,
    /// Those in which something was wrong, by seed.
    pub wrong: Vec<(u64, Report)>,
    /// Sums over all.
    pub sum: Report,
}

/// Plays so many seeds from `from` on, drawn by `draw`, on so many threads; with `first`, ends at the first that is wrong.
pub fn search(
    from: u64,
    count: u64,
    draw: impl Fn(u64) -> Plan + Sync,
    variant: Variant,
    threads: usize,
    first: bool,
) -> Found {
    let (next, found) = (AtomicU64::new(from), Mutex::new(Found::default()));
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed - from >= count {
                    return;
                }
                let report = play(&draw(seed), variant);
                let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
                found.played += 1;
                let sum = &mut found.sum;
                sum.given += report.given;
                sum.late += report.late;
                sum.orphans += report.orphans;
                sum.rolled += report.rolled;
                sum.halted += report.halted;
                sum.broken += report.broken;
                sum.writes += report.writes;
                sum.whole += report.whole;
                sum.back += report.back;
                sum.false_halts += report.false_halts;
                sum.touched = sum.touched.max(report.touched);
                sum.release_took += report.release_took;
                sum.release_least += report.release_least;
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
    let troubles = fewest(&plan.troubles, |some| !play(&with(some), variant).wrong.is_empty());
    with(&troubles)
}
