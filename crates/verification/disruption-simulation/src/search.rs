//! Many seeds; what fails is shrunk to the fewest faults that still show it.
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
    pub violations: Vec<(u64, Report)>,
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
                sum.leases_granted += report.leases_granted;
                sum.late_leases += report.late_leases;
                sum.orphaned_leases += report.orphaned_leases;
                sum.rolls_completed += report.rolls_completed;
                sum.rolls_aborted += report.rolls_aborted;
                sum.rolls_interrupted += report.rolls_interrupted;
                sum.writes += report.writes;
                sum.rollouts_completed += report.rollouts_completed;
                sum.rollouts_rolled_back += report.rollouts_rolled_back;
                sum.false_positives += report.false_positives;
                sum.max_bad_instances = sum.max_bad_instances.max(report.max_bad_instances);
                sum.rollout_time += report.rollout_time;
                sum.min_rollout_time += report.min_rollout_time;
                if !report.violations.is_empty() {
                    found.violations.push((seed, report));
                    if first {
                        next.store(u64::MAX / 2, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    found.violations.sort_by_key(|&(seed, _)| seed);
    found
}

/// The fewest faults of a run with which something is still wrong.
pub fn shrink(plan: &Plan, variant: Variant) -> Plan {
    let with = |faults: &[_]| Plan { faults: faults.to_vec(), ..plan.clone() };
    let faults = fewest(&plan.faults, |some| !play(&with(some), variant).violations.is_empty());
    with(&faults)
}
