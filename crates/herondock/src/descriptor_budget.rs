//! The one budget of sockets that callers and upstreams share.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors for everything else: the listener, discovery, the runtime, sockets that are just closing.
const RESERVED_DESCRIPTORS: usize = 24;

/// Counts the sockets that are open and those that still may be.
#[derive(Clone)]
pub struct DescriptorBudget {
    all: Arc<Semaphore>,
    callers: Arc<Semaphore>,
    max_callers: u32,
}

/// A caller's place in the budget, given back when dropped.
pub struct CallerPermit {
    _all: OwnedSemaphorePermit,
    _caller: OwnedSemaphorePermit,
}

impl DescriptorBudget {
    /// A budget under this many descriptors. Callers may hold three quarters of it, so that there is always a
    /// way on to the upstreams; upstreams may hold all that callers leave.
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let budget =
            u32::try_from(descriptors.saturating_sub(RESERVED_DESCRIPTORS)).unwrap_or(u32::MAX).min(1 << 20);
        let callers_most = budget / 4 * 3;
        let places = |n: u32| Arc::new(Semaphore::new(n as usize));
        DescriptorBudget { all: places(budget), callers: places(callers_most), max_callers: callers_most }
    }

    /// A place for a caller, if there is one now.
    pub fn try_caller(&self) -> Option<CallerPermit> {
        let _caller = self.callers.clone().try_acquire_owned().ok()?;
        Some(CallerPermit { _caller, _all: self.try_upstream()? })
    }

    /// A place for a caller, once there is one.
    pub async fn acquire_caller(&self) -> Option<CallerPermit> {
        let _caller = self.callers.clone().acquire_owned().await.ok()?;
        Some(CallerPermit { _caller, _all: self.all.clone().acquire_owned().await.ok()? })
    }

    /// A place for a connection to an upstream, if there is one now.
    pub fn try_upstream(&self) -> Option<OwnedSemaphorePermit> {
        self.all.clone().try_acquire_owned().ok()
    }

    /// Whether nothing more may be opened.
    pub fn exhausted(&self) -> bool {
        self.all.available_permits() == 0
    }

    /// Places that callers may hold.
    pub fn max_callers(&self) -> usize {
        self.max_callers as usize
    }

    /// Places that callers hold.
    pub fn callers(&self) -> usize {
        self.max_callers as usize - self.callers.available_permits().min(self.max_callers as usize)
    }

    /// Waits until no caller is connected.
    pub async fn wait_for_no_callers(&self) {
        let _all = self.callers.acquire_many(self.max_callers).await;
    }
}
