//! Client-assigned ids that no new request may have: those of open requests, and those of requests whose client left
//! while an attempt may have run.
//!
//! An upstream goes on with an attempt that is cancelled, so the same id must not be sent to another one when it comes
//! again on a new connection.
use bytes::Bytes;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which the id of an abandoned request stays in use.
const ABANDONED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum memory for ids of abandoned requests, in bytes; the oldest ones are dropped.
const MAX_ABANDONED_BYTES: usize = 8 << 20;
/// Memory of an id beside its own bytes: two entries and their share of unused capacity, in bytes.
const ENTRY_BYTES: usize = 256;

/// Ids in use, shared by the drivers of all pools.
#[derive(Default)]
pub struct RequestIds {
    in_use: HashSet<Bytes>,
    /// Ids of abandoned requests with the times at which they are released, in order.
    abandoned: VecDeque<(Instant, Bytes)>,
    /// Memory of the abandoned ids.
    abandoned_bytes: usize,
}

impl RequestIds {
    /// Claims an id for a new request. Returns `false` if it is in use.
    pub fn claim(&mut self, id: &Bytes, now: Instant) -> bool {
        while self.abandoned.front().is_some_and(|&(until, _)| until <= now) {
            self.drop_oldest_abandoned();
        }
        self.in_use.insert(id.clone())
    }

    /// Releases the id of a request that has ended.
    pub fn release(&mut self, id: &Bytes) {
        self.in_use.remove(id);
    }

    /// Keeps the id of an abandoned request that may have run in use for [`ABANDONED_RETENTION`].
    pub fn retain_abandoned(&mut self, id: Bytes, now: Instant) {
        self.abandoned_bytes += ENTRY_BYTES + id.len();
        self.abandoned.push_back((now + ABANDONED_RETENTION, id));
        while self.abandoned_bytes > MAX_ABANDONED_BYTES {
            self.drop_oldest_abandoned();
        }
    }

    fn drop_oldest_abandoned(&mut self) {
        if let Some((_, id)) = self.abandoned.pop_front() {
            self.abandoned_bytes -= ENTRY_BYTES + id.len();
            self.in_use.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
