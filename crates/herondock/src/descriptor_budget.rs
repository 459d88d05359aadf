//! The budget of file descriptors that clients and upstream connections share.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors reserved for everything else: listeners, discovery, the runtime, sockets that are closing.
const RESERVED_DESCRIPTORS: usize = 24;

/// Descriptors in use and available. Clones share the budget.
#[derive(Clone)]
pub struct DescriptorBudget {
    all: Arc<Semaphore>,
    callers: Arc<Semaphore>,
    max_callers: u32,
}

/// A client's descriptor, returned when dropped.
pub struct CallerPermit {
    _all: OwnedSemaphorePermit,
    _caller: OwnedSemaphorePermit,
}

impl DescriptorBudget {
    /// A budget for a process with this many descriptors. Clients may hold three quarters of it, so that upstreams can always be
    /// reached; upstream connections may hold all that clients leave.
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let budget =
            u32::try_from(descriptors.saturating_sub(RESERVED_DESCRIPTORS)).unwrap_or(u32::MAX).min(1 << 20);
        let callers_most = budget / 4 * 3;
        let places = |n: u32| Arc::new(Semaphore::new(n as usize));
        DescriptorBudget { all: places(budget), callers: places(callers_most), max_callers: callers_most }
    }

    /// A permit for a client, if one is available.
    pub fn try_caller(&self) -> Option<CallerPermit> {
        let _caller = self.callers.clone().try_acquire_owned().ok()?;
        Some(CallerPermit { _caller, _all: self.try_upstream()? })
    }

    /// A permit for a client, once one is available.
    pub async fn acquire_caller(&self) -> Option<CallerPermit> {
        let _caller = self.callers.clone().acquire_owned().await.ok()?;
        Some(CallerPermit { _caller, _all: self.all.clone().acquire_owned().await.ok()? })
    }

    /// A permit for an upstream connection, if one is available.
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

    /// Number of clients.
    pub fn callers(&self) -> usize {
        self.max_callers as usize - self.callers.available_permits().min(self.max_callers as usize)
    }

    /// Waits until no client is connected.
    pub async fn wait_for_no_callers(&self) {
        let _all = self.callers.acquire_many(self.max_callers).await;
    }
}
