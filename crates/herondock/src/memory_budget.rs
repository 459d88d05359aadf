//! Budget of the process's memory that clients and messages share.
//!
//! A third of the limit is for connections of clients, a third for bodies of messages, and the rest for all else:
//! connections to upstreams, endpoint lists, the program itself.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Share of the limit, as a divisor, for connections of clients, and for bodies.
const SHARE_DIVISOR: usize = 3;
/// Memory of a client's connection beside the head that it is sending, which is held twice, in bytes.
const CONNECTION_BYTES: usize = 16 << 10;
/// Minimum number of clients, however small the limit is.
const MIN_CLIENTS: usize = 16;

/// What a body is held for. An answer may take more of the budget than a request: a request that finds no room is
/// refused without an effect, while an answer that finds none is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a request that is not admitted yet.
    Request,
    /// The body of an answer.
    Answer,
}

/// Bytes in use and their limit. Clones share one budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    /// Limit of the process, in bytes; `None`: unlimited.
    process_limit: Option<usize>,
}

impl MemoryBudget {
    /// Creates the budget of a process with this limit, in bytes; `None`: unlimited.
    pub fn new(process_limit: Option<usize>) -> MemoryBudget {
        MemoryBudget { used: Arc::default(), process_limit }
    }

    /// Maximum number of clients whose heads have at most `max_head_bytes` bytes.
    pub fn max_clients(&self, max_head_bytes: usize) -> usize {
        let per_client = CONNECTION_BYTES + 2 * max_head_bytes;
        let clients = |limit: usize| (limit / SHARE_DIVISOR / per_client).max(MIN_CLIENTS);
        self.process_limit.map_or(usize::MAX, clients)
    }

    /// Maximum number of bytes in use after a reservation for this purpose.
    fn limit(&self, purpose: Purpose) -> usize {
        let bodies = self.process_limit.map_or(usize::MAX, |limit| limit / SHARE_DIVISOR);
        match purpose {
            Purpose::Request => bodies / 4 * 3,
            Purpose::Answer => bodies,
        }
    }

    /// An empty reservation.
    pub fn reservation(&self, purpose: Purpose) -> Reservation {
        Reservation { budget: self.clone(), purpose, bytes: 0 }
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
        let additional = bytes.saturating_sub(self.bytes);
        let limit = self.budget.limit(self.purpose);
        let reserve = |used: usize| used.checked_add(additional).filter(|&used| used <= limit);
        if self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve).is_err() {
            return false;
        }
        self.bytes += additional;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
