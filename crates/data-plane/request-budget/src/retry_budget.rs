//! The retry budget of one request at one hop. Retries that are granted to an attempt are unavailable until its response
//! reports how many were used; a lost attempt counts as having used its complete grant. So no chain of hops spends more
//! retries than it was given, whatever is lost.
use crate::grammar::{RetryUsage, StopReason};

/// Usage that is known at the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptUsage {
    /// The response reports this usage.
    Used(RetryUsage),
    /// The attempt never ran: nothing of its grant was used.
    NeverRan,
    /// The usage is not known: the complete grant may have been used.
    Unknown,
}

/// Retry budget of one request at this hop.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that can be sent or granted.
    remaining: u32,
    /// Retries that were used, here and below.
    spent: u32,
    /// Number of attempts that were sent.
    attempts: u32,
    /// Number and grant of each attempt in flight: one entry for each that was sent and has not ended.
    in_flight: Vec<(u32, u32)>,
    /// Reason why nothing must be retried any more.
    stop: Option<StopReason>,
}

impl RetryBudget {
    /// A budget of this many retries.
    pub fn new(retries: u32) -> RetryBudget {
        RetryBudget { remaining: retries, spent: 0, attempts: 0, in_flight: Vec::new(), stop: None }
    }

    /// Number of retries that can be sent now.
    pub fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Records that an attempt is sent, and returns the number of retries that are granted to it: none if its upstream does
    /// not report usage, since the grant would be lost with each response; otherwise half of the remaining ones. Retries
    /// cost least close to the fault, but only this hop can try another upstream.
    pub fn start_attempt(&mut self, number: u32, reports_usage: bool) -> u32 {
        if self.attempts > 0 {
            self.remaining = self.remaining.saturating_sub(1);
            self.spent = self.spent.saturating_add(1);
        }
        self.attempts = self.attempts.saturating_add(1);
        let grant = if reports_usage { self.remaining / 2 } else { 0 };
        self.remaining -= grant;
        self.in_flight.push((number, grant));
        grant
    }

    /// Records the end of an attempt. Later calls for the same attempt have no effect.
    pub fn end_attempt(&mut self, number: u32, usage: AttemptUsage) {
        let Some(index) = self.in_flight.iter().position(|&(other, _)| other == number) else { return };
        let (_, grant) = self.in_flight.swap_remove(index);
        let used = match usage {
            AttemptUsage::Used(used) => {
                self.stop = self.stop.or(used.stop);
                // An upstream cannot have used more than its grant.
                used.retries.min(grant)
            }
            AttemptUsage::NeverRan => 0,
            AttemptUsage::Unknown => grant,
        };
        self.spent = self.spent.saturating_add(used);
        self.remaining += grant - used;
        if self.stop.is_some() {
            self.remaining = 0;
        }
    }

    /// Usage to report to the caller: attempts in flight count as having used their complete grants.
    pub fn usage(&self) -> RetryUsage {
        let granted: u32 = self.in_flight.iter().map(|&(_, grant)| grant).sum();
        RetryUsage { retries: self.spent.saturating_add(granted), stop: self.stop }
    }
}
