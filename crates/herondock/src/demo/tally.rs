//! Counts over the ledger, kept up while it grows.
use std::collections::{BTreeMap, HashMap};
use testkit::ledger::{Entry, Record};

/// What came of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Sent and not answered yet, or never.
    pub open: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered with anything else.
    pub failed: u64,
}

impl Count {
    /// Both together.
    pub fn plus(self, other: Count) -> Count {
        Count {
            open: self.open + other.open,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}

/// Requests by balancer, executions by upstream.
#[derive(Default)]
pub struct Tally {
    read: usize,
    open: HashMap<String, String>,
    /// What came of the requests that each balancer took.
    pub balancers: BTreeMap<String, Count>,
    /// How often each upstream began to work on a request.
    pub executed: BTreeMap<String, u64>,
}

impl Tally {
    /// How many records it has counted: the next is the first that it has not.
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
                    // Sent once more, elsewhere, since its connection closed: the newest holds it.
                    if let Some(before) = self.open.insert(request, balancer) {
                        self.balancers.entry(before).or_default().open -= 1;
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
