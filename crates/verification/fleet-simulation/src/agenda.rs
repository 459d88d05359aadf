//! Virtual clock and event queue. Events are ordered by time, and by insertion order where times are equal.
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Nanoseconds since the start of the run.
pub type Nanos = u64;

/// Converts milliseconds to nanoseconds.
pub fn nanos_from_ms(ms: f64) -> Nanos {
    // The cast saturates: an out-of-range value becomes the nearest value in range.
    (ms * 1e6) as Nanos
}

struct ScheduledEvent<E> {
    at: Nanos,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    /// Reverses the order, because the heap returns its greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Event queue with a virtual clock.
pub struct EventQueue<E> {
    now: Nanos,
    sequence: u64,
    events: BinaryHeap<ScheduledEvent<E>>,
}

impl<E> Default for EventQueue<E> {
    /// Returns an empty queue at time 0.
    fn default() -> EventQueue<E> {
        EventQueue { now: 0, sequence: 0, events: BinaryHeap::new() }
    }
}

impl<E> EventQueue<E> {
    /// Returns the current time.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Schedules an event at a time, or now if that time has passed.
    pub fn schedule_at(&mut self, at: Nanos, event: E) {
        self.sequence += 1;
        self.events.push(ScheduledEvent { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Schedules an event after a duration.
    pub fn schedule_after(&mut self, delay: Nanos, event: E) {
        self.schedule_at(self.now.saturating_add(delay), event);
    }

    /// Removes the next event and advances the clock to it.
    pub fn pop_next(&mut self) -> Option<E> {
        let ScheduledEvent { at, event, .. } = self.events.pop()?;
        self.now = at;
        Some(event)
    }
}

#[cfg(test)]
mod tests;
