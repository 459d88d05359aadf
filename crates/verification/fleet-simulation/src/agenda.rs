//! The one clock, and what is to happen when: in order of time, and of being written down where times are the same.
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Nanoseconds since the run began.
pub type Nanos = u64;

/// Nanoseconds of so many milliseconds.
pub fn ms(ms: f64) -> Nanos {
    // A cast of what is out of range gives the nearest that is within it.
    (ms * 1e6) as Nanos
}

struct Slot<E> {
    at: Nanos,
    turn: u64,
    what: E,
}

impl<E> PartialEq for Slot<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.turn) == (other.at, other.turn)
    }
}

impl<E> Eq for Slot<E> {}

impl<E> PartialOrd for Slot<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Slot<E> {
    /// The earliest is the greatest, for the heap gives that first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.turn).cmp(&(self.at, self.turn))
    }
}

/// See the module's page.
pub struct Agenda<E> {
    now: Nanos,
    turn: u64,
    slots: BinaryHeap<Slot<E>>,
}

impl<E> Default for Agenda<E> {
    /// Nothing is to happen yet.
    fn default() -> Agenda<E> {
        Agenda { now: 0, turn: 0, slots: BinaryHeap::new() }
    }
}

impl<E> Agenda<E> {
    /// The time.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// This happens then, or now if that has passed.
    pub fn at(&mut self, at: Nanos, what: E) {
        self.turn += 1;
        self.slots.push(Slot { at: at.max(self.now), turn: self.turn, what });
    }

    /// This happens after so long.
    pub fn after(&mut self, span: Nanos, what: E) {
        self.at(self.now.saturating_add(span), what);
    }

    /// What happens next; the clock goes there.
    pub fn turn(&mut self) -> Option<E> {
        let Slot { at, what, .. } = self.slots.pop()?;
        self.now = at;
        Some(what)
    }
}

#[cfg(test)]
mod tests;
