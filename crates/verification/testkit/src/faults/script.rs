//! Which faults when, from one seed: a list that is played in order, printed when a test fails, and shrunk to the fewest
//! steps with which it still fails.
use std::fmt::Debug;

/// The fewest of these steps, in their order, with which `still` holds: halves are left out, then quarters, and so on to
/// single ones (Zeller and Hildebrandt, 2002). `still` has to hold for all of them.
pub fn fewest<T: Clone + Debug>(steps: &[T], mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
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

/// Says which script failed if the test ends by a panic.
pub struct ReportOnPanic<'a, T: Debug> {
    /// What it was drawn from.
    pub seed: u64,
    /// The steps.
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
