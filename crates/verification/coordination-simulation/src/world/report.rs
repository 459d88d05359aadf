//! The result of a run.
use super::World;
use crate::judge::judge;
use crate::plan::HEALED;
use fleet_simulation::agenda::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Time after the last fault within which there must be a leader.
const LEADER_TIMEOUT: Nanos = 6_000_000_000;
/// Entries by which the voters may differ at the end.
const MAX_FINAL_LAG: u64 = 4;

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was wrong; empty for a correct run.
    pub violations: Vec<String>,
    /// Number of operations with a known outcome.
    pub known: u64,
    /// Number of operations with an unknown outcome.
    pub unknown: u64,
    /// Number of acquisitions of locks.
    pub locks: u64,
    /// Periods without a serving leader that were longer than a tick, in nanoseconds.
    pub leaderless_periods: Vec<Nanos>,
    /// The highest term.
    pub term: u64,
    /// Number of replaced journals: compactions and installed snapshots.
    pub snapshots: u64,
    /// Digest of all events; equal for equal runs.
    pub digest: u64,
}

impl World {
    /// Ends the run and checks it.
    pub(super) fn finish(mut self) -> Report {
        let now = self.event_queue.now();
        for node in &mut self.clients {
            if let Some(worker) = &mut node.worker {
                worker.finish(now, &mut self.histories);
            }
        }
        let mut report = std::mem::take(&mut self.report);
        report.violations.extend(judge(&self.histories));
        report.known = self.histories.known;
        report.unknown = self.histories.unknown;
        report.locks = self.histories.acquisitions.len() as u64;
        self.check_leader(&mut report);
        self.check_voters(&mut report);
        self.check_clients(&mut report);
        report.digest = self.digest.finish();
        report
    }

    fn check_leader(&self, report: &mut Report) {
        match self.led_after_faults {
            Some(at) if at <= HEALED + LEADER_TIMEOUT => {}
            at => report.violations.push(format!("healed at {HEALED}, and led since {at:?}")),
        }
    }

    /// All voters run at the end, have caught up, and hold the same state.
    fn check_voters(&self, report: &mut Report) {
        let mut states: BTreeMap<u64, BTreeSet<Vec<u8>>> = BTreeMap::new();
        for (index, node) in self.voters.iter().enumerate().filter(|(_, node)| !node.removed) {
            let Some(voter) = &node.voter else {
                report.violations.push(format!("voter {index} does not run at the end"));
                continue;
            };
            if let Some(error) = voter.storage_error() {
                report.violations.push(format!("voter {index} stands aside at the end: {error}"));
            }
            if let Some((applied, state)) = voter.applied_state() {
                states.entry(applied).or_default().insert(state);
            }
            report.term = report.term.max(voter.status().term);
        }
        if let Some((applied, _)) = states.iter().find(|(_, states)| states.len() > 1) {
            report.violations.push(format!("voters hold different things at entry {applied}"));
        }
        let indexes: BTreeSet<u64> = states.into_keys().collect();
        if indexes.last().zip(indexes.first()).is_some_and(|(last, first)| last - first > MAX_FINAL_LAG) {
            report.violations.push(format!("voters have not caught up: {indexes:?}"));
        }
    }

    fn check_clients(&self, report: &mut Report) {
        let waiting = self.clients.iter().skip(1).filter(|node| node.pending_request.is_some()).count();
        if waiting > 0 {
            report.violations.push(format!("{waiting} clients wait at the end"));
        }
    }
}
