//! Budget of file descriptors that clients and upstream connections share.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of descriptors reserved for other uses: listeners, discovery, the runtime, and sockets that are closing.
const RESERVED_DESCRIPTORS: usize = 24;

/// Descriptors in use and available. Clones share one budget.
#[derive(Clone)]
pub struct DescriptorBudget {
    all: Arc<Semaphore>,
    callers: Arc<Semaphore>,
    max_callers: u32,
}

/// Permit for the descriptor of a client, returned when dropped.
pub struct CallerPermit {
    _all: OwnedSemaphorePermit,
    _caller: OwnedSemaphorePermit,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may open this many descriptors. Clients may hold three quarters of it, and at
    /// most `max_clients`, so that connections to upstreams are always possible; upstream connections may hold all that
    /// clients leave.
    pub fn new(descriptors: usize, max_clients: usize) -> DescriptorBudget {
        let budget =
            u32::try_from(descriptors.saturating_sub(RESERVED_DESCRIPTORS)).unwrap_or(u32::MAX).min(1 << 20);
        let caller_limit = (budget / 4 * 3).min(u32::try_from(max_clients).unwrap_or(u32::MAX));
        let semaphore = |permits: u32| Arc::new(Semaphore::new(permits as usize));
        DescriptorBudget {
            all: semaphore(budget),
            callers: semaphore(caller_limit),
            max_callers: caller_limit,
        }
    }

    /// Returns a permit for a client, if one is available.
    pub fn try_caller(&self) -> Option<CallerPermit> {
        let _caller = self.callers.clone().try_acquire_owned().ok()?;
        Some(CallerPermit { _caller, _all: self.try_upstream()? })
    }

    /// Waits for a permit for a client.
    pub async fn acquire_caller(&self) -> Option<CallerPermit> {
        let _caller = self.callers.clone().acquire_owned().await.ok()?;
        Some(CallerPermit { _caller, _all: self.all.clone().acquire_owned().await.ok()? })
    }

    /// Returns a permit for an upstream connection, if one is available.
    pub fn try_upstream(&self) -> Option<OwnedSemaphorePermit> {
        self.all.clone().try_acquire_owned().ok()
    }

    /// Whether no descriptor is available.
    pub fn exhausted(&self) -> bool {
        self.all.available_permits() == 0
    }

    /// Maximum number of clients.
    pub fn max_callers(&self) -> usize {
        self.max_callers as usize
    }

    /// Number of clients that hold a permit.
    pub fn callers(&self) -> usize {
        self.max_callers as usize - self.callers.available_permits().min(self.max_callers as usize)
    }

    /// Waits until no client holds a permit.
    pub async fn wait_for_no_callers(&self) {
        let _all = self.callers.acquire_many(self.max_callers).await;
    }
}
