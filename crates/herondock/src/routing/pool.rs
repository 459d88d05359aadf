//! A pool: a driver with a decision module of its own, and the endpoints that belong to it.
use super::DriverFactory;
use crate::driver::DriverHandle;
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint, Protocol};
use balancer::{Availability, UpstreamId};
use route_table::spec::{Pool as Spec, Traits};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// A pool.
pub struct Pool {
    /// Its name; empty for the default pool.
    pub name: String,
    /// Its driver.
    pub driver: DriverHandle,
    spec: RefCell<Option<Spec>>,
    /// The endpoints that it has.
    contains: RefCell<BTreeSet<UpstreamId>>,
    timers: AbortHandle,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.timers.abort();
    }
}

fn as_gone(entry: &ListedEndpoint) -> ListedEndpoint {
    let mut entry = entry.clone();
    entry.member.availability = Availability::Gone;
    entry
}

impl Pool {
    /// A pool without endpoints yet; without a specification all belong to it.
    pub fn start(maker: &DriverFactory, name: &str, spec: Option<Spec>, broken: &Rc<Notify>) -> Rc<Pool> {
        let handle = maker(name);
        let running = handle.clone();
        let timers = tokio::task::spawn_local(async move { running.run().await });
        let (abort, broken) = (timers.abort_handle(), broken.clone());
        tokio::task::spawn_local(async move {
            if timers.await.is_err_and(|e| e.is_panic()) {
                broken.notify_one();
            }
        });
        let (spec, has) = (RefCell::new(spec), RefCell::default());
        Rc::new(Pool { name: name.into(), driver: handle, spec, contains: has, timers: abort })
    }

    fn selects(&self, entry: &ListedEndpoint) -> bool {
        let spec = self.spec.borrow();
        let Some(spec) = &*spec else { return true };
        let speaks = match entry.protocol {
            Protocol::Http => "http",
            Protocol::FastCgi => "fastcgi",
        };
        let told = &entry.attributes;
        let (zone, kind, cell) = (&*told.zone, &*told.kind, entry.member.group);
        spec.has(&Traits { cell, zone, kind, speaks, sources: &told.sources, meta: &told.meta })
    }

    /// What a listing means to it: its own members, and those that are not its own any more as gone.
    pub fn filter_changes(&self, listing: &EndpointUpdate) -> EndpointUpdate {
        if self.spec.borrow().is_none() {
            return listing.clone();
        }
        let mut has = self.contains.borrow_mut();
        let one = |entry: &ListedEndpoint| {
            let id = entry.member.id;
            if entry.member.availability == Availability::Gone || !self.selects(entry) {
                return has.remove(&id).then(|| as_gone(entry));
            }
            has.insert(id);
            Some(entry.clone())
        };
        EndpointUpdate { endpoints: listing.endpoints.iter().filter_map(one).collect() }
    }

    /// Begins with all members as they are.
    pub fn load(&self, view: &BTreeMap<UpstreamId, ListedEndpoint>, listed: bool) {
        if listed {
            let all = EndpointUpdate { endpoints: view.values().cloned().collect() };
            self.driver.apply_cached(&self.filter_changes(&all));
        }
    }

    /// Takes other conditions: members that came to it or left it are told, the others stay as they are.
    pub fn update_spec(&self, spec: Spec, view: &BTreeMap<UpstreamId, ListedEndpoint>) {
        if self.spec.borrow().as_ref() == Some(&spec) {
            return;
        }
        let before = self.contains.borrow().clone();
        self.spec.replace(Some(spec));
        let entries = view.values().filter(|e| before.contains(&e.member.id) != self.selects(e));
        let changed = EndpointUpdate { endpoints: entries.cloned().collect() };
        self.driver.endpoints_changed(&self.filter_changes(&changed));
    }

    /// Whether it has this member.
    pub fn contains(&self, id: UpstreamId) -> bool {
        self.spec.borrow().is_none() || self.contains.borrow().contains(&id)
    }

    /// How many members it has.
    pub fn member_count(&self) -> usize {
        self.contains.borrow().len()
    }
}
