//! Counts of the ledger's records, updated while the ledger grows.
use std::collections::{BTreeMap, HashMap};
use testkit::ledger::{Entry, Record};

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Sent and not answered.
    pub open: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered with any other status.
    pub failed: u64,
}

impl Count {
    /// Sum of two counts.
    pub fn plus(self, other: Count) -> Count {
        Count {
            open: self.open + other.open,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}

/// Numbers of requests by balancer, and of executions by upstream.
#[derive(Default)]
pub struct Tally {
    read: usize,
    open: HashMap<String, String>,
    /// Outcomes of requests, by the balancer that received them last.
    pub balancers: BTreeMap<String, Count>,
    /// Number of executions that each upstream has started.
    pub executed: BTreeMap<String, u64>,
}

impl Tally {
    /// Number of records counted so far, which is the index of the next one.
    pub fn read(&self) -> usize {
        self.read
    }

    /// Counts further records.
    pub fn add(&mut self, records: Vec<Record>) {
        self.read += records.len();
        for record in records {
            match record.entry {
                Entry::Sent { request, balancer, .. } => {
                    self.balancers.entry(balancer.clone()).or_default().open += 1;
                    // A request is sent again, to another balancer, if its connection closed; it counts for the latest balancer.
                    if let Some(former) = self.open.insert(request, balancer) {
                        self.balancers.entry(former).or_default().open -= 1;
                    }
                }
                Entry::Answered { request, status } => {
                    let Some(balancer) = self.open.remove(&request) else { continue };
                    let count = self.balancers.entry(balancer).or_default();
                    count.open -= 1;
                    match status {
                        200 => count.served += 1,
                        429 | 503 => count.refused += 1,
                        _ => count.failed += 1,
                    }
                }
                Entry::Executed { upstream, .. } => *self.executed.entry(upstream).or_default() += 1,
                _ => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
