//! Schedule of the demo's events.
use std::time::Duration;

/// An event in the demo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An upstream begins to drain, and discovery reports that to the balancers.
    Drain,
    /// An upstream is killed; discovery does not notice yet.
    Die,
    /// Discovery notices that the killed upstream is gone.
    Noticed,
    /// An instance is stopped, and started again once it has exited.
    Restart,
    /// The drained upstream returns as a new, cold process.
    Return,
}

/// Events in order, each with its time as a fraction of the demo's length.
const PLAN: [(f64, Event); 5] = [
    (0.15, Event::Drain),
    (0.30, Event::Die),
    (0.40, Event::Noticed),
    (0.45, Event::Restart),
    (0.70, Event::Return),
];

/// Schedule of one run; each event is due once.
pub struct Plan {
    length: Duration,
    done: usize,
}

impl Plan {
    /// Creates the schedule of a run of this length.
    pub fn new(length: Duration) -> Plan {
        Plan { length, done: 0 }
    }

    /// Time of the next event, since the start; `None` if there is none left.
    pub fn next(&self) -> Option<Duration> {
        PLAN.get(self.done).map(|&(fraction, _)| self.length.mul_f64(fraction))
    }

    /// Takes the events that are due at `elapsed` after the start.
    pub fn take_events_until(&mut self, elapsed: Duration) -> Vec<Event> {
        let mut due = Vec::new();
        while self.next().is_some_and(|next| next <= elapsed) {
            due.push(PLAN[self.done].1);
            self.done += 1;
        }
        due
    }
}

#[cfg(test)]
mod tests;
