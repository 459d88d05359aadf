//! The repeats of one request at one hop. What is granted to an attempt is out of hand until its answer tells what was used
//! of it; an attempt that is lost has used all of it. So no chain of hops spends more than was given, whatever is lost.
use crate::grammar::{Stop, Used};

/// What the end of an attempt tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptUsage {
    /// What was used.
    Used(Used),
    /// Nothing, but that the attempt never ran: nothing was used.
    NeverRan,
    /// Nothing: all may have been used.
    Unknown,
}

/// See the module's page.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    left: u32,
    spent: u32,
    sends: u32,
    /// Attempts that are out, and what each was granted. As many as the module has out at once.
    out: Vec<(u32, u32)>,
    stop: Option<Stop>,
}

impl RetryBudget {
    /// With so many repeats.
    pub fn new(given: u32) -> RetryBudget {
        RetryBudget { left: given, spent: 0, sends: 0, out: Vec::new(), stop: None }
    }

    /// Repeats that may be sent now.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Books an attempt: what is granted to it. Where its upstream is not `heard` to tell what was used, a grant would be
    /// lost with each answer, and there is none; else half of what is left, for repeats cost least where the trouble is,
    /// and only this hop can try another upstream.
    pub fn send(&mut self, number: u32, heard: bool) -> u32 {
        if self.sends > 0 {
            self.left = self.left.saturating_sub(1);
            self.spent = self.spent.saturating_add(1);
        }
        self.sends = self.sends.saturating_add(1);
        let grant = if heard { self.left / 2 } else { 0 };
        self.left -= grant;
        self.out.push((number, grant));
        grant
    }

    /// Books the end of an attempt; only its first end counts.
    pub fn ended(&mut self, number: u32, told: AttemptUsage) {
        let Some(k) = self.out.iter().position(|&(n, _)| n == number) else { return };
        let (_, grant) = self.out.swap_remove(k);
        let used = match told {
            AttemptUsage::Used(used) => {
                self.stop = self.stop.or(used.stop);
                // More than was granted can't have been.
                used.retries.min(grant)
            }
            AttemptUsage::NeverRan => 0,
            AttemptUsage::Unknown => grant,
        };
        self.spent = self.spent.saturating_add(used);
        self.left += grant - used;
        if self.stop.is_some() {
            self.left = 0;
        }
    }

    /// What the caller is told: attempts that are still out count as if they used all.
    pub fn used(&self) -> Used {
        let out: u32 = self.out.iter().map(|&(_, grant)| grant).sum();
        Used { retries: self.spent.saturating_add(out), stop: self.stop }
    }
}
