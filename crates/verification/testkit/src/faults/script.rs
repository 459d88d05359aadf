//! Fault schedules drawn from a seed: a list of steps that run in order, are printed when a test fails, and
//! are shrunk to a minimal list that still fails.
use std::fmt::Debug;

/// Returns a minimal subsequence of these steps for which `fails` still holds, by delta debugging (Zeller and
/// Hildebrandt, 2002): it leaves out halves, then quarters, down to single steps. `fails` must hold for the
/// full list.
pub fn minimal_failing_steps<T: Clone + Debug>(steps: &[T], mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let mut smallest = steps.to_vec();
    let mut size = smallest.len().div_ceil(2).max(1);
    while !smallest.is_empty() {
        let mut start = 0;
        let mut reduced = false;
        while start < smallest.len() {
            let mut candidate = smallest.clone();
            candidate.drain(start..(start + size).min(smallest.len()));
            if fails(&candidate) {
                smallest = candidate;
                reduced = true;
            } else {
                start += size;
            }
        }
        if size == 1 && !reduced {
            break;
        }
        size = (size / 2).max(1);
    }
    smallest
}

/// Prints the seed and the steps if the test panics.
pub struct ReportOnPanic<'a, T: Debug> {
    /// Seed of the schedule.
    pub seed: u64,
    /// Steps of the schedule.
    pub steps: &'a [T],
}

impl<T: Debug> Drop for ReportOnPanic<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with seed {}: {:#?}", self.seed, self.steps);
        }
    }
}

#[cfg(test)]
mod tests;
