//! Result of a run.
use fleet_simulation::agenda::Nanos;
use std::collections::VecDeque;

/// Maximum number of steps in a [`Report::trace`].
const MAX_TRACE_LINES: usize = 40;

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violated requirements, for operators.
    pub violations: Vec<String>,
    /// Number of leases granted.
    pub leases_granted: u64,
    /// Number of leases that came too late to be used.
    pub late_leases: u64,
    /// Number of orphaned leases that were deleted.
    pub orphaned_leases: u64,
    /// Number of rolling operations that completed.
    pub rolls_completed: u64,
    /// Number of rolling operations that were aborted.
    pub rolls_aborted: u64,
    /// Number of rolling operations that ended with their supervisor.
    pub rolls_interrupted: u64,
    /// When the last rolling operation completed.
    pub last_roll_at: Nanos,
    /// Number of rollouts that completed.
    pub rollouts_completed: u64,
    /// Number of rollouts that were rolled back.
    pub rollouts_rolled_back: u64,
    /// Number of good builds that were rolled back without a command or fault.
    pub false_positives: u64,
    /// Maximum number of balancers that had a bad build at the same time.
    pub max_bad_instances: usize,
    /// Total duration of the completed rollouts.
    pub rollout_time: Nanos,
    /// Lower bound of that: the time that instances were unavailable under leases, over the number that may be at the same time,
    /// and the bake times.
    pub min_rollout_time: Nanos,
    /// Number of writes of supervisors.
    pub writes: u64,
    /// The last steps, with their times.
    pub trace: VecDeque<String>,
}

impl Report {
    /// Adds the counts of another report.
    pub fn add(&mut self, other: &Report) {
        self.leases_granted += other.leases_granted;
        self.late_leases += other.late_leases;
        self.orphaned_leases += other.orphaned_leases;
        self.rolls_completed += other.rolls_completed;
        self.rolls_aborted += other.rolls_aborted;
        self.rolls_interrupted += other.rolls_interrupted;
        self.writes += other.writes;
        self.rollouts_completed += other.rollouts_completed;
        self.rollouts_rolled_back += other.rollouts_rolled_back;
        self.false_positives += other.false_positives;
        self.max_bad_instances = self.max_bad_instances.max(other.max_bad_instances);
        self.rollout_time += other.rollout_time;
        self.min_rollout_time += other.min_rollout_time;
    }

    /// Appends a step to the trace.
    pub(super) fn add_step(&mut self, step: String) {
        if self.trace.len() == MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(step);
    }
}
