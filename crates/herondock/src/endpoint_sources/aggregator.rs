//! All sources in one view: what each tells goes in, and what changes in the view goes to the audience.
use super::{EndpointAttributes, EndpointSubscriber, EndpointUpdate, ListedEndpoint, Protocol};
use crate::clock::unix_ms;
use balancer::{Availability, Member, UpstreamId};
use config::Deployment;
use discovery::endpoint::{EndpointProtocol, EndpointReport, SourceUpdate};
use discovery::endpoint_cache::EndpointCache;
use discovery::endpoint_set::{Endpoint, EndpointChange, EndpointSet, Source};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use tracing::info;

/// Names of zones and kinds, by the position that the module knows them by.
pub struct NameIndex {
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// The number by which the module knows a member of this name: the same at every instance.
pub fn upstream_id(name: &str) -> UpstreamId {
    UpstreamId(hashing::stable(name.as_bytes()))
}

impl NameIndex {
    /// The names that the settings list.
    pub fn new(d: &Deployment) -> NameIndex {
        NameIndex { zones: d.zones.clone(), kinds: d.kinds.clone() }
    }

    /// A member as the module and the driver have it. A zone or kind that the settings do not list gets a position that
    /// no class is bound to.
    fn entry(&self, m: &Endpoint, gone: bool) -> ListedEndpoint {
        let zone = self.zones.iter().position(|z| **z == *m.zone);
        let kind = self.kinds.iter().position(|k| **k == *m.kind);
        let availability = match (gone, m.accepts_requests) {
            (true, _) => Availability::Gone,
            (false, true) => Availability::Ready,
            (false, false) => Availability::Draining,
        };
        let member = Member {
            // The module spreads the balancers over the upstreams by a ring of these ids: numbers given in order of
            // arrival would crowd some of them.
            id: upstream_id(&m.name),
            zone: zone.and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX),
            kind: kind.and_then(|k| u8::try_from(k).ok()).unwrap_or(u8::MAX),
            group: m.cell,
            availability,
            since: m.started_ms,
        };
        let speaks = match m.protocol {
            EndpointProtocol::Http => Protocol::Http,
            EndpointProtocol::FastCgi => Protocol::FastCgi,
        };
        let (zone, kind) = (m.zone.clone(), m.kind.clone());
        let told = EndpointAttributes { zone, kind, sources: m.sources.clone(), meta: m.meta.clone() };
        ListedEndpoint { member, addr: m.addr, protocol: speaks, attributes: Arc::new(told) }
    }
}

struct Inner<A> {
    audience: A,
    names: NameIndex,
    view: RefCell<EndpointSet>,
    /// The newest index or version that each source was told.
    indices: RefCell<BTreeMap<Source, u64>>,
    random: RefCell<Pcg64Mcg>,
    changed: Notify,
}

/// The view, and who is told of it.
pub struct EndpointAggregator<A>(Rc<Inner<A>>);

impl<A> Clone for EndpointAggregator<A> {
    fn clone(&self) -> Self {
        EndpointAggregator(self.0.clone())
    }
}

impl<A: EndpointSubscriber> EndpointAggregator<A> {
    /// An empty view. `random` spreads the pauses and waits of its sources.
    pub fn new(audience: A, names: NameIndex, last_resort: bool, random: Pcg64Mcg) -> EndpointAggregator<A> {
        let view = RefCell::new(EndpointSet::new(last_resort));
        let (indices, random, changed) = (RefCell::default(), RefCell::new(random), Notify::new());
        EndpointAggregator(Rc::new(Inner { audience, names, view, indices, random, changed }))
    }

    /// Adds a source. One that `answers` the module's subscriptions tells it also of what fails, and of answers that
    /// change nothing.
    pub fn add_source(&self, rank: u16, label: &str, answers: bool) -> SourceHandle<A> {
        let source = Source { rank, label: label.into() };
        self.0.view.borrow_mut().add_source(&source);
        SourceHandle { gather: self.clone(), source, notify_first_response: answers }
    }

    /// A place in the order of sources that is no source itself.
    pub fn add_placeholder(&self, rank: u16, label: &str) -> SourceHandle<A> {
        SourceHandle {
            gather: self.clone(),
            source: Source { rank, label: label.into() },
            notify_first_response: false,
        }
    }

    fn listing(&self, changes: &[EndpointChange]) -> EndpointUpdate {
        let entry = |change: &EndpointChange| match change {
            EndpointChange::Updated(m) => self.0.names.entry(m, false),
            EndpointChange::Removed(m) => self.0.names.entry(m, true),
        };
        EndpointUpdate { endpoints: changes.iter().map(entry).collect() }
    }

    /// Begins with what was kept, before any source has told anything. Returns the members for the module.
    pub fn restore(&self, saved: EndpointCache) -> EndpointUpdate {
        let EndpointCache { reports, updated: told, indices } = saved;
        self.0.indices.borrow_mut().extend(indices);
        let changes = self.0.view.borrow_mut().restore(reports, told);
        self.listing(&changes)
    }

    /// What is to be kept.
    pub fn cache(&self) -> EndpointCache {
        let indices = self.0.indices.borrow().iter().map(|(s, &i)| (s.clone(), i)).collect();
        EndpointCache::capture(&self.0.view.borrow(), indices)
    }

    /// Waits until something was told that counts.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// These members are held out by agreement from now on, and no others; see [`EndpointSet::hold`].
    pub fn set_held_out(&self, names: &BTreeMap<String, String>) {
        let changes = self.0.view.borrow_mut().set_held_out(unix_ms(), names);
        if !changes.is_empty() {
            self.0.audience.endpoints_changed(&self.listing(&changes));
        }
    }

    /// Whether a member is held out by agreement.
    pub fn is_held_out(&self, name: &str) -> bool {
        self.0.view.borrow().is_held_out(name)
    }

    /// Calls `each` with every member as all sources together have it.
    pub fn for_each(&self, mut each: impl FnMut(&Endpoint)) {
        self.0.view.borrow().endpoints().for_each(&mut each);
    }

    /// The view for an operator: sources with their ages, members with their reasons.
    pub fn status(&self) -> Value {
        let (view, now) = (self.0.view.borrow(), unix_ms());
        let age = |at: f64| ((now - at).max(0.0)) as u64;
        let sources: Vec<Value> = view
            .sources()
            .map(|(s, t)| {
                json!({"source": &*s.label, "members": t.endpoint_count, "age_ms": t.updated_ms.map(age), "trouble": t.error,
                    "index": self.0.indices.borrow().get(s)})
            })
            .collect();
        let members: Vec<Value> = view
            .endpoints()
            .map(|m| {
                let since = (m.started_ms > 0.0).then(|| age(m.started_ms));
                json!({"member": &*m.name, "id": format!("{:016x}", hashing::stable(m.name.as_bytes())),
                    "addr": m.addr.to_string(), "zone": &*m.zone, "kind": &*m.kind, "cell": m.cell, "speaks": m.protocol,
                    "standing": m.state, "takes": m.accepts_requests, "why": &*m.reason, "up_ms": since, "stated": m.start_reported})
            })
            .collect();
        json!({"sources": sources, "members": members})
    }
}

/// What one source tells goes through here.
pub struct SourceHandle<A> {
    gather: EndpointAggregator<A>,
    source: Source,
    notify_first_response: bool,
}

impl<A: EndpointSubscriber> SourceHandle<A> {
    /// Another source of the same view, of the same rank.
    pub fn add_sibling(&self, label: &str) -> SourceHandle<A> {
        self.gather.add_source(self.source.rank, label, false)
    }

    /// A draw from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.gather.0.random.borrow_mut().gen()
    }

    /// The newest index or version that it was told, also by an earlier process.
    pub fn last_index(&self) -> Option<u64> {
        self.gather.0.indices.borrow().get(&self.source).copied()
    }

    /// It tells this, of members that speak this.
    pub fn publish_with_protocol(&self, speaks: EndpointProtocol, news: SourceUpdate, index: Option<u64>) {
        let with = |reports: Vec<EndpointReport>| {
            reports.into_iter().map(|r| EndpointReport { protocol: speaks, ..r }).collect()
        };
        let news = match news {
            SourceUpdate::Full(reports) => SourceUpdate::Full(with(reports)),
            SourceUpdate::Delta(reports, gone) => SourceUpdate::Delta(with(reports), gone),
            SourceUpdate::Unavailable(why) => SourceUpdate::Unavailable(why),
        };
        self.publish(news, index);
    }

    /// It tells this.
    pub fn publish(&self, news: SourceUpdate, index: Option<u64>) {
        let inner = &self.gather.0;
        let counts = !matches!(news, SourceUpdate::Unavailable(_));
        if counts {
            let mut indices = inner.indices.borrow_mut();
            match index {
                Some(index) => drop(indices.insert(self.source.clone(), index)),
                None => drop(indices.remove(&self.source)),
            }
        }
        let changes = inner.view.borrow_mut().apply_update(unix_ms(), &self.source, news);
        if !changes.is_empty() {
            inner.audience.endpoints_changed(&self.gather.listing(&changes));
        }
        if counts {
            inner.changed.notify_one();
        }
    }

    /// It has answered for the first time, perhaps with nothing new.
    pub fn notify_first_response(&self) {
        if self.notify_first_response {
            self.gather.0.audience.endpoints_changed(&EndpointUpdate::default());
        }
    }

    /// Nothing that counts has come, for this reason; the list stands.
    pub fn report_unavailable(&self, why: String) {
        self.gather.0.view.borrow_mut().apply_update(unix_ms(), &self.source, SourceUpdate::Unavailable(why));
    }

    /// Says so in the log.
    pub fn log(&self, what: &str) {
        info!("{}: {what}", self.source.label);
    }
}
