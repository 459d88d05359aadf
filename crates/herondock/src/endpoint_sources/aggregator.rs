//! Merges the updates of all sources into one endpoint set and passes its changes to the subscriber.
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

/// Names of zones and kinds; the balancer knows them by their position.
pub struct NameIndex {
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// Identifier of an endpoint in the balancer: the same at every instance.
pub fn upstream_id(name: &str) -> UpstreamId {
    UpstreamId(hashing::stable(name.as_bytes()))
}

impl NameIndex {
    /// The names in the settings.
    pub fn new(d: &Deployment) -> NameIndex {
        NameIndex { zones: d.zones.clone(), kinds: d.kinds.clone() }
    }

    /// An endpoint as the balancer and the driver know it. A zone or kind that is not in the settings gets a position to
    /// which no class is bound.
    fn entry(&self, m: &Endpoint, gone: bool) -> ListedEndpoint {
        let zone = self.zones.iter().position(|z| **z == *m.zone);
        let kind = self.kinds.iter().position(|k| **k == *m.kind);
        let availability = match (gone, m.accepts_requests) {
            (true, _) => Availability::Gone,
            (false, true) => Availability::Ready,
            (false, false) => Availability::Draining,
        };
        let member = Member {
            // The balancer places upstreams on a ring by these ids: consecutive numbers would be unevenly distributed.
            id: upstream_id(&m.name),
            zone: zone.and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX),
            kind: kind.and_then(|k| u8::try_from(k).ok()).unwrap_or(u8::MAX),
            group: m.cell,
            availability,
            started_at: m.started_ms,
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
    subscriber: A,
    names: NameIndex,
    view: RefCell<EndpointSet>,
    /// Latest index or version of each source's list.
    indices: RefCell<BTreeMap<Source, u64>>,
    random: RefCell<Pcg64Mcg>,
    changed: Notify,
}

/// The endpoint set of all sources and its subscriber.
pub struct EndpointAggregator<A>(Rc<Inner<A>>);

impl<A> Clone for EndpointAggregator<A> {
    fn clone(&self) -> Self {
        EndpointAggregator(self.0.clone())
    }
}

impl<A: EndpointSubscriber> EndpointAggregator<A> {
    /// An aggregator without sources. `random` provides the jitter of its sources.
    pub fn new(
        subscriber: A,
        names: NameIndex,
        last_resort: bool,
        random: Pcg64Mcg,
    ) -> EndpointAggregator<A> {
        let view = RefCell::new(EndpointSet::new(last_resort));
        let (indices, random, changed) = (RefCell::default(), RefCell::new(random), Notify::new());
        EndpointAggregator(Rc::new(Inner { subscriber, names, view, indices, random, changed }))
    }

    /// Adds a source. With `notifies_first_response`, its first successful response is reported to the subscriber even if
    /// it changes nothing.
    pub fn add_source(&self, rank: u16, label: &str, notifies_first_response: bool) -> SourceHandle<A> {
        let source = Source { rank, label: label.into() };
        self.0.view.borrow_mut().add_source(&source);
        SourceHandle { aggregator: self.clone(), source, notifies_first_response }
    }

    /// A handle with this rank that is not a source itself; see [`SourceHandle::add_sibling`].
    pub fn add_placeholder(&self, rank: u16, label: &str) -> SourceHandle<A> {
        SourceHandle {
            aggregator: self.clone(),
            source: Source { rank, label: label.into() },
            notifies_first_response: false,
        }
    }

    fn endpoint_update(&self, changes: &[EndpointChange]) -> EndpointUpdate {
        let entry = |change: &EndpointChange| match change {
            EndpointChange::Updated(m) => self.0.names.entry(m, false),
            EndpointChange::Removed(m) => self.0.names.entry(m, true),
        };
        EndpointUpdate { endpoints: changes.iter().map(entry).collect() }
    }

    /// Restores a cache, before any source has published an update; returns the endpoints.
    pub fn restore(&self, saved: EndpointCache) -> EndpointUpdate {
        let EndpointCache { reports, updated: told, indices } = saved;
        self.0.indices.borrow_mut().extend(indices);
        let changes = self.0.view.borrow_mut().restore(reports, told);
        self.endpoint_update(&changes)
    }

    /// The cache of the present set.
    pub fn cache(&self) -> EndpointCache {
        let indices = self.0.indices.borrow().iter().map(|(s, &i)| (s.clone(), i)).collect();
        EndpointCache::capture(&self.0.view.borrow(), indices)
    }

    /// Waits for the next usable update of any source.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Holds out exactly these endpoints; see [`EndpointSet::set_held_out`].
    pub fn set_held_out(&self, names: &BTreeMap<String, String>) {
        let changes = self.0.view.borrow_mut().set_held_out(unix_ms(), names);
        if !changes.is_empty() {
            self.0.subscriber.endpoints_changed(&self.endpoint_update(&changes));
        }
    }

    /// Whether an endpoint is held out.
    pub fn is_held_out(&self, name: &str) -> bool {
        self.0.view.borrow().is_held_out(name)
    }

    /// Calls `visit` with every endpoint.
    pub fn for_each(&self, mut visit: impl FnMut(&Endpoint)) {
        self.0.view.borrow().endpoints().for_each(&mut visit);
    }

    /// Sources with their ages and endpoints with their states, as `herondock members --json` prints them.
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

/// Publishes the updates of one source.
pub struct SourceHandle<A> {
    aggregator: EndpointAggregator<A>,
    source: Source,
    notifies_first_response: bool,
}

impl<A: EndpointSubscriber> SourceHandle<A> {
    /// Adds another source of the same rank.
    pub fn add_sibling(&self, label: &str) -> SourceHandle<A> {
        self.aggregator.add_source(self.source.rank, label, false)
    }

    /// Draws a random number from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.aggregator.0.random.borrow_mut().gen()
    }

    /// Latest index or version of the source's list, also by an earlier process.
    pub fn last_index(&self) -> Option<u64> {
        self.aggregator.0.indices.borrow().get(&self.source).copied()
    }

    /// Publishes an update of endpoints that speak this protocol.
    pub fn publish_with_protocol(
        &self,
        protocol: EndpointProtocol,
        update: SourceUpdate,
        index: Option<u64>,
    ) {
        let with = |reports: Vec<EndpointReport>| {
            reports.into_iter().map(|r| EndpointReport { protocol, ..r }).collect()
        };
        let update = match update {
            SourceUpdate::Full(reports) => SourceUpdate::Full(with(reports)),
            SourceUpdate::Delta(reports, gone) => SourceUpdate::Delta(with(reports), gone),
            SourceUpdate::Unavailable(why) => SourceUpdate::Unavailable(why),
        };
        self.publish(update, index);
    }

    /// Publishes an update. `index` is the index or version of the list after it.
    pub fn publish(&self, update: SourceUpdate, index: Option<u64>) {
        let inner = &self.aggregator.0;
        let is_usable = !matches!(update, SourceUpdate::Unavailable(_));
        if is_usable {
            let mut indices = inner.indices.borrow_mut();
            match index {
                Some(index) => drop(indices.insert(self.source.clone(), index)),
                None => drop(indices.remove(&self.source)),
            }
        }
        let changes = inner.view.borrow_mut().apply_update(unix_ms(), &self.source, update);
        if !changes.is_empty() {
            inner.subscriber.endpoints_changed(&self.aggregator.endpoint_update(&changes));
        }
        if is_usable {
            inner.changed.notify_one();
        }
    }

    /// Reports the first successful response to the subscriber, also without changes.
    pub fn notify_first_response(&self) {
        if self.notifies_first_response {
            self.aggregator.0.subscriber.endpoints_changed(&EndpointUpdate::default());
        }
    }

    /// Reports that there is no usable update, for this reason; the list stays as it is.
    pub fn report_unavailable(&self, reason: String) {
        self.aggregator.0.view.borrow_mut().apply_update(
            unix_ms(),
            &self.source,
            SourceUpdate::Unavailable(reason),
        );
    }

    /// Logs a message with the label of the source.
    pub fn log(&self, message: &str) {
        info!("{}: {message}", self.source.label);
    }
}
