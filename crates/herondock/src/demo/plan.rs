//! What happens when in the demo.
use std::time::Duration;

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An upstream is told to drain, and so are the balancers.
    Drain,
    /// An upstream dies, unknown to discovery.
    Die,
    /// Discovery notices that.
    Noticed,
    /// An instance is told to end, and is started again once it has.
    Restart,
    /// The upstream that drained comes back as a new process, cold.
    Return,
}

/// Parts of the whole length, in order.
const PLAN: [(f64, Event); 5] = [
    (0.15, Event::Drain),
    (0.30, Event::Die),
    (0.40, Event::Noticed),
    (0.45, Event::Restart),
    (0.70, Event::Return),
];

/// The plan of one run: each event comes due once.
pub struct Plan {
    length: Duration,
    done: usize,
}

impl Plan {
    /// The plan of a run of this length.
    pub fn new(length: Duration) -> Plan {
        Plan { length, done: 0 }
    }

    /// When the next event is due.
    pub fn next(&self) -> Option<Duration> {
        PLAN.get(self.done).map(|&(part, _)| self.length.mul_f64(part))
    }

    /// The events that are due by now.
    pub fn take_events_until(&mut self, at: Duration) -> Vec<Event> {
        let mut due = Vec::new();
        while self.next().is_some_and(|next| next <= at) {
            due.push(PLAN[self.done].1);
            self.done += 1;
        }
        due
    }
}

#[cfg(test)]
mod tests;
