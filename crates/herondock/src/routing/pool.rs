//! A pool: a driver with its own decision module, and the endpoints that belong to it.
use super::DriverFactory;
use crate::driver::DriverHandle;
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint, Protocol};
use balancer::{Availability, UpstreamId};
use route_table::spec::{Pool as PoolSpec, Traits};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// A driver and the endpoints that it sends requests to.
pub struct Pool {
    /// Name of the pool; empty for the default pool.
    pub name: String,
    /// Driver of the pool.
    pub driver: DriverHandle,
    spec: RefCell<Option<PoolSpec>>,
    /// Endpoints that belong to the pool, if it has a specification.
    members: RefCell<BTreeSet<UpstreamId>>,
    timer_task: AbortHandle,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.timer_task.abort();
    }
}

fn as_gone(entry: &ListedEndpoint) -> ListedEndpoint {
    let mut entry = entry.clone();
    entry.member.availability = Availability::Gone;
    entry
}

impl Pool {
    /// Starts a pool without endpoints. Without a specification every endpoint belongs to it. `timers_failed` is
    /// notified if its timer task panics.
    pub fn start(
        factory: &DriverFactory,
        name: &str,
        spec: Option<PoolSpec>,
        timers_failed: &Rc<Notify>,
    ) -> Rc<Pool> {
        let handle = factory(name);
        let running = handle.clone();
        let timers = tokio::task::spawn_local(async move { running.run().await });
        let (abort, timers_failed) = (timers.abort_handle(), timers_failed.clone());
        tokio::task::spawn_local(async move {
            if timers.await.is_err_and(|e| e.is_panic()) {
                timers_failed.notify_one();
            }
        });
        let (spec, no_members) = (RefCell::new(spec), RefCell::default());
        Rc::new(Pool { name: name.into(), driver: handle, spec, members: no_members, timer_task: abort })
    }

    /// Whether an endpoint matches the pool's specification.
    fn selects(&self, entry: &ListedEndpoint) -> bool {
        let spec = self.spec.borrow();
        let Some(spec) = &*spec else { return true };
        let speaks = match entry.protocol {
            Protocol::Http => "http",
            Protocol::FastCgi => "fastcgi",
        };
        let attributes = &entry.attributes;
        let (zone, kind, cell) = (&*attributes.zone, &*attributes.kind, entry.member.group);
        spec.has(&Traits { cell, zone, kind, speaks, sources: &attributes.sources, meta: &attributes.meta })
    }

    /// Restricts a listing to this pool: returns the entries of its members, and former members as gone.
    pub fn filter_changes(&self, listing: &EndpointUpdate) -> EndpointUpdate {
        if self.spec.borrow().is_none() {
            return listing.clone();
        }
        let mut members = self.members.borrow_mut();
        let pool_entry = |entry: &ListedEndpoint| {
            let id = entry.member.id;
            if entry.member.availability == Availability::Gone || !self.selects(entry) {
                return members.remove(&id).then(|| as_gone(entry));
            }
            members.insert(id);
            Some(entry.clone())
        };
        EndpointUpdate { endpoints: listing.endpoints.iter().filter_map(pool_entry).collect() }
    }

    /// Applies all known endpoints as a cached list, unless no endpoints are known yet.
    pub fn load(&self, known_endpoints: &BTreeMap<UpstreamId, ListedEndpoint>, endpoints_known: bool) {
        if endpoints_known {
            let all = EndpointUpdate { endpoints: known_endpoints.values().cloned().collect() };
            self.driver.apply_cached(&self.filter_changes(&all));
        }
    }

    /// Replaces the specification. Only endpoints that join or leave the pool are reported to the driver.
    pub fn update_spec(&self, spec: PoolSpec, known_endpoints: &BTreeMap<UpstreamId, ListedEndpoint>) {
        if self.spec.borrow().as_ref() == Some(&spec) {
            return;
        }
        let before = self.members.borrow().clone();
        self.spec.replace(Some(spec));
        let entries = known_endpoints.values().filter(|e| before.contains(&e.member.id) != self.selects(e));
        let changed = EndpointUpdate { endpoints: entries.cloned().collect() };
        self.driver.endpoints_changed(&self.filter_changes(&changed));
    }

    /// Whether an endpoint belongs to the pool.
    pub fn contains(&self, id: UpstreamId) -> bool {
        self.spec.borrow().is_none() || self.members.borrow().contains(&id)
    }

    /// Number of endpoints that belong to the pool; 0 without a specification.
    pub fn member_count(&self) -> usize {
        self.members.borrow().len()
    }
}
