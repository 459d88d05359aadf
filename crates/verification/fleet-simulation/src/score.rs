//! Results for the clients: the service score as the users define it, and the outcome of each operation.
use crate::agenda::Nanos;

/// Length of the windows of which the worst counts in the service score, in nanoseconds.
const WORST_WINDOW: Nanos = 10_000_000_000;
/// Length of the time buckets that windows consist of, in nanoseconds.
const BUCKET: Nanos = 1_000_000_000;

/// Number of operations by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// All operations, each counted once regardless of its retries.
    pub operations: u64,
    /// Served within the latency objective.
    pub in_time: u64,
    /// Served after the latency objective.
    pub late: u64,
    /// Finally refused.
    pub refused: u64,
    /// Finally failed, or left without an answer.
    pub failed: u64,
}

/// Worth that was earned and worth that was requested.
#[derive(Clone, Copy, Debug, Default)]
struct EarnedWeight {
    earned: f64,
    requested: f64,
}

impl EarnedWeight {
    fn fraction(self) -> f64 {
        if self.requested > 0.0 {
            self.earned / self.requested
        } else {
            1.0
        }
    }
}

/// Score of a run.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Number of operations by outcome.
    pub outcomes: OutcomeCounts,
    total: EarnedWeight,
    buckets: Vec<EarnedWeight>,
    classes: Vec<EarnedWeight>,
    tenants: Vec<EarnedWeight>,
    /// Latencies of the served operations, in nanoseconds.
    latencies: Vec<Nanos>,
}

/// Outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served with this latency, in nanoseconds.
    Served(Nanos),
    /// Refused.
    Refused,
    /// Failed or unanswered.
    Failed,
}

/// Properties of an operation that the score depends on.
#[derive(Clone, Copy, Debug)]
pub struct OperationInfo {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Time of its first attempt.
    pub first_sent_at: Nanos,
    /// Worth if served within the objective.
    pub worth: f64,
    /// Fraction of the worth that a late answer earns.
    pub late_worth: f64,
    /// Latency objective, in nanoseconds.
    pub objective: Nanos,
    /// Whether its tenant was within its share. Only these operations count for the worst tenant.
    pub within_share: bool,
}

fn entry_at<T: Default + Clone>(entries: &mut Vec<T>, index: usize) -> &mut T {
    if entries.len() <= index {
        entries.resize(index + 1, T::default());
    }
    &mut entries[index]
}

impl Score {
    /// Records the outcome of an operation.
    pub fn record(&mut self, operation: &OperationInfo, outcome: Outcome) {
        let earned = match outcome {
            Outcome::Served(latency) if latency <= operation.objective => operation.worth,
            Outcome::Served(_) => operation.worth * operation.late_worth,
            _ => 0.0,
        };
        self.outcomes.operations += 1;
        match outcome {
            Outcome::Served(latency) => {
                self.latencies.push(latency);
                *(if latency <= operation.objective {
                    &mut self.outcomes.in_time
                } else {
                    &mut self.outcomes.late
                }) += 1;
            }
            Outcome::Refused => self.outcomes.refused += 1,
            Outcome::Failed => self.outcomes.failed += 1,
        }
        let add = |weight: &mut EarnedWeight| {
            weight.earned += earned;
            weight.requested += operation.worth;
        };
        add(&mut self.total);
        add(entry_at(&mut self.buckets, (operation.first_sent_at / BUCKET) as usize));
        add(entry_at(&mut self.classes, operation.class));
        if operation.within_share {
            add(entry_at(&mut self.tenants, operation.tenant));
        }
    }

    /// Returns the service score, 0 to 1: 40 % all operations, 10 % the worst 10 s, 10 % the worst class, and 40 % the
    /// worst tenant within its share.
    pub fn service(&self) -> f64 {
        let worst_fraction =
            |weights: &[EarnedWeight]| weights.iter().map(|w| w.fraction()).fold(1.0, f64::min);
        let window_buckets = (WORST_WINDOW / BUCKET) as usize;
        let sums = self.buckets.windows(window_buckets.min(self.buckets.len()).max(1)).map(|w| {
            w.iter().fold(EarnedWeight::default(), |sum, w| EarnedWeight {
                earned: sum.earned + w.earned,
                requested: sum.requested + w.requested,
            })
        });
        let worst_window = sums.map(EarnedWeight::fraction).fold(1.0, f64::min);
        0.4 * self.total.fraction()
            + 0.1 * worst_window
            + 0.1 * worst_fraction(&self.classes)
            + 0.4 * worst_fraction(&self.tenants)
    }

    /// Returns the fraction of the requested worth that was earned.
    pub fn earned_fraction(&self) -> f64 {
        self.total.fraction()
    }

    /// Returns the latency, in milliseconds, at this quantile of the served operations.
    pub fn latency_quantile_ms(&self, fraction: f64) -> f64 {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let index = ((latencies.len() as f64 * fraction) as usize).min(latencies.len().saturating_sub(1));
        latencies.get(index).map_or(0.0, |&t| t as f64 / 1e6)
    }
}
