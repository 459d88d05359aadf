//! Budget of the process's memory that clients and messages share.
//!
//! What a client makes the process hold is counted while it is held, in bytes that are allocated for it. A connection and
//! the head that arrives on it can't be refused and are counted only; the number of clients is limited so that these stay
//! within two thirds of the process's limit, however large the heads are. Whatever can be refused without an effect finds
//! room while less than half of the limit is in use, and answers while less than seven twelfths are. The rest is for all
//! else: idle connections to upstreams, endpoint lists, the program itself, memory that is free but not returned to the
//! system.
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Memory of a client's connection that is idle, in bytes: the buffers of the protocol library and the state of its task.
pub const CONNECTION_BYTES: usize = 18 << 10;
/// Memory of a request in progress beside its head and its body, in bytes: the connection to the upstream, whose buffers
/// the protocol library allocates in advance, and the states of the request and its attempt.
pub const REQUEST_BYTES: usize = 24 << 10;
/// Memory of a head, as a multiple of its size: it is held in a buffer that has been doubled, and as parsed fields, and
/// later as fields of the request and in the write buffer of the connection to the upstream.
pub const HEAD_COPIES: usize = 4;
/// Size of a field beside its name and value, in bytes, as far as the memory of a head is concerned.
pub const FIELD_BYTES: usize = 32;
/// Memory of a head that has been received in part, as a multiple of its size.
pub const PARTIAL_HEAD_COPIES: usize = 2;
/// Part of the free memory, as a divisor, that one request may hold: large ones are refused before small ones.
const FAIR_SHARE_DIVISOR: usize = 8;
/// Minimum number of clients, however small the limit is.
const MIN_CLIENTS: usize = 16;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that is not admitted yet, which is refused without an effect if there is no room.
    Request,
    /// The body of an answer, which waits for room, or is lost if its length is not known in advance.
    Answer,
}

/// Bytes in use and their limit. Clones share one budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    /// Notified when memory is released.
    released: Arc<Notify>,
    /// Limit of the process, in bytes; `None`: unlimited.
    process_limit: Option<usize>,
}

impl MemoryBudget {
    /// Creates the budget of a process with this limit, in bytes; `None`: unlimited.
    pub fn new(process_limit: Option<usize>) -> MemoryBudget {
        MemoryBudget { used: Arc::default(), released: Arc::default(), process_limit }
    }

    /// Maximum number of clients whose heads have at most `max_head_bytes` bytes, and of whose further requests at most
    /// `max_read_ahead` bytes are read in advance without a reservation.
    pub fn max_clients(&self, max_head_bytes: usize, max_read_ahead: usize) -> usize {
        let per_client = CONNECTION_BYTES + PARTIAL_HEAD_COPIES * max_head_bytes + max_read_ahead;
        let clients = |limit: usize| (limit / 3 * 2 / per_client).max(MIN_CLIENTS);
        self.process_limit.map_or(usize::MAX, clients)
    }

    /// Maximum number of bytes in use after a reservation for this purpose.
    fn limit(&self, purpose: Purpose) -> usize {
        self.process_limit.map_or(usize::MAX, |limit| match purpose {
            Purpose::Request => limit / 2,
            Purpose::Answer => limit / 12 * 7,
        })
    }

    /// An empty reservation.
    pub fn reservation(&self, purpose: Purpose) -> Reservation {
        Reservation { budget: self.clone(), purpose, bytes: 0 }
    }

    /// A reservation of memory that is held in any case.
    pub fn charge(&self, bytes: usize) -> Reservation {
        let mut reservation = self.reservation(Purpose::Request);
        reservation.charge_to(bytes);
        reservation
    }

    /// Whether a reservation of `bytes` bytes has room, of which one request holds `largest` and which is in addition to
    /// `others` bytes in use.
    fn has_room(&self, purpose: Purpose, bytes: usize, largest: usize, others: usize) -> bool {
        let free = self.limit(purpose).saturating_sub(others);
        let free_for_largest = free.saturating_sub(bytes - largest);
        match purpose {
            Purpose::Request => bytes <= free && largest <= free_for_largest / FAIR_SHARE_DIVISOR,
            Purpose::Answer => bytes <= free,
        }
    }
}

/// Bytes that are reserved until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Grows the reservation to this number of bytes. Returns `false`, and changes nothing, if the budget lacks room.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow_to_sum(bytes, bytes)
    }

    /// Grows the reservation, like [`Reservation::grow_to`], to the sum of what several requests hold. `largest`: what the
    /// largest of them holds.
    #[must_use]
    pub fn grow_to_sum(&mut self, bytes: usize, largest: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let used = self.budget.used.load(Ordering::Relaxed);
        let others = used.saturating_sub(self.bytes);
        let has_room = self.budget.has_room(self.purpose, bytes, largest.min(bytes), others);
        if has_room {
            self.charge_to(bytes);
        }
        has_room
    }

    /// Grows the reservation to this number of bytes once there is room. Returns at once if the limit is lower.
    pub async fn wait_to_grow_to(&mut self, bytes: usize) {
        let released = self.budget.released.clone();
        while bytes <= self.budget.limit(self.purpose) {
            let mut notified = pin!(released.notified());
            // Memory that is released from here on is noticed.
            notified.as_mut().enable();
            if self.grow_to(bytes) {
                return;
            }
            notified.await;
        }
    }

    /// Changes the reservation to this number of bytes, whether the budget has room or not.
    pub fn charge_to(&mut self, bytes: usize) {
        let before = std::mem::replace(&mut self.bytes, bytes);
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.budget.used.fetch_sub(before, Ordering::Relaxed);
        if bytes < before {
            self.budget.released.notify_waiters();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.charge_to(0);
    }
}

#[cfg(test)]
mod tests;
