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

/// Names of zones and kinds. The balancer identifies them by their positions.
pub struct NameIndex {
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// Identifier of an endpoint in the balancer: a stable hash of its name, equal at all instances.
pub fn upstream_id(name: &str) -> UpstreamId {
    UpstreamId(hashing::stable(name.as_bytes()))
}

impl NameIndex {
    /// Creates the index of the names in the settings.
    pub fn new(deployment: &Deployment) -> NameIndex {
        NameIndex { zones: deployment.zones.clone(), kinds: deployment.kinds.clone() }
    }

    /// Converts an endpoint for the balancer and the driver. A zone or kind that is not in the settings gets a position to
    /// which no class is bound.
    fn entry(&self, endpoint: &Endpoint, removed: bool) -> ListedEndpoint {
        let zone = self.zones.iter().position(|z| **z == *endpoint.zone);
        let kind = self.kinds.iter().position(|k| **k == *endpoint.kind);
        let availability = match (removed, endpoint.accepts_requests) {
            (true, _) => Availability::Gone,
            (false, true) => Availability::Ready,
            (false, false) => Availability::Draining,
        };
        let member = Member {
            // The balancer places upstreams on a hash ring by these ids: consecutive numbers would be unevenly distributed.
            id: upstream_id(&endpoint.name),
            zone: zone.and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX),
            kind: kind.and_then(|k| u8::try_from(k).ok()).unwrap_or(u8::MAX),
            group: endpoint.cell,
            availability,
            started_at: endpoint.started_ms,
        };
        let upstream_protocol = match endpoint.protocol {
            EndpointProtocol::Http => Protocol::Http,
            EndpointProtocol::FastCgi => Protocol::FastCgi,
        };
        let (zone, kind) = (endpoint.zone.clone(), endpoint.kind.clone());
        let attributes =
            EndpointAttributes { zone, kind, sources: endpoint.sources.clone(), meta: endpoint.meta.clone() };
        ListedEndpoint {
            member,
            addr: endpoint.addr,
            protocol: upstream_protocol,
            attributes: Arc::new(attributes),
        }
    }
}

struct Inner<A> {
    subscriber: A,
    names: NameIndex,
    endpoint_set: RefCell<EndpointSet>,
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
    /// Creates an aggregator without sources. `last_resort` is passed to [`EndpointSet::new`]; `random` provides the jitter of
    /// the sources.
    pub fn new(
        subscriber: A,
        names: NameIndex,
        last_resort: bool,
        random: Pcg64Mcg,
    ) -> EndpointAggregator<A> {
        let endpoint_set = RefCell::new(EndpointSet::new(last_resort));
        let (indices, random, changed) = (RefCell::default(), RefCell::new(random), Notify::new());
        EndpointAggregator(Rc::new(Inner { subscriber, names, endpoint_set, indices, random, changed }))
    }

    /// Adds a source. With `notifies_first_response`, its first successful response is reported to the subscriber even if
    /// it changes nothing.
    pub fn add_source(&self, rank: u16, label: &str, notifies_first_response: bool) -> SourceHandle<A> {
        let source = Source { rank, label: label.into() };
        self.0.endpoint_set.borrow_mut().add_source(&source);
        SourceHandle { aggregator: self.clone(), source, notifies_first_response }
    }

    /// Creates a handle with this rank that is not a source itself; see [`SourceHandle::add_sibling`].
    pub fn add_placeholder(&self, rank: u16, label: &str) -> SourceHandle<A> {
        SourceHandle {
            aggregator: self.clone(),
            source: Source { rank, label: label.into() },
            notifies_first_response: false,
        }
    }

    fn endpoint_update(&self, changes: &[EndpointChange]) -> EndpointUpdate {
        let entry = |change: &EndpointChange| match change {
            EndpointChange::Updated(endpoint) => self.0.names.entry(endpoint, false),
            EndpointChange::Removed(endpoint) => self.0.names.entry(endpoint, true),
        };
        EndpointUpdate { endpoints: changes.iter().map(entry).collect() }
    }

    /// Restores a cache; returns the endpoints. To be called before any source publishes an update.
    pub fn restore(&self, cache: EndpointCache) -> EndpointUpdate {
        let EndpointCache { reports, updated: update_times, indices } = cache;
        self.0.indices.borrow_mut().extend(indices);
        let changes = self.0.endpoint_set.borrow_mut().restore(reports, update_times);
        self.endpoint_update(&changes)
    }

    /// Cache of the current endpoint set.
    pub fn cache(&self) -> EndpointCache {
        let indices = self.0.indices.borrow().iter().map(|(s, &i)| (s.clone(), i)).collect();
        EndpointCache::capture(&self.0.endpoint_set.borrow(), indices)
    }

    /// Waits for the next usable update of any source.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Holds exactly these endpoints out of use; see [`EndpointSet::set_held_out`].
    pub fn set_held_out(&self, names: &BTreeMap<String, String>) {
        let changes = self.0.endpoint_set.borrow_mut().set_held_out(unix_ms(), names);
        if !changes.is_empty() {
            self.0.subscriber.endpoints_changed(&self.endpoint_update(&changes));
        }
    }

    /// Whether the endpoint of this name is held out of use.
    pub fn is_held_out(&self, name: &str) -> bool {
        self.0.endpoint_set.borrow().is_held_out(name)
    }

    /// Calls `visit` with every endpoint.
    pub fn for_each(&self, mut visit: impl FnMut(&Endpoint)) {
        self.0.endpoint_set.borrow().endpoints().for_each(&mut visit);
    }

    /// Sources with their ages and endpoints with their states, as `herondock members --json` prints them.
    pub fn status(&self) -> Value {
        let (endpoint_set, now) = (self.0.endpoint_set.borrow(), unix_ms());
        let age = |time_ms: f64| ((now - time_ms).max(0.0)) as u64;
        let sources: Vec<Value> = endpoint_set
            .sources()
            .map(|(source, status)| {
                json!({"source": &*source.label, "members": status.endpoint_count, "age_ms": status.updated_ms.map(age),
                    "trouble": status.error, "index": self.0.indices.borrow().get(source)})
            })
            .collect();
        let members: Vec<Value> = endpoint_set
            .endpoints()
            .map(|endpoint| {
                let uptime_ms = (endpoint.started_ms > 0.0).then(|| age(endpoint.started_ms));
                json!({"member": &*endpoint.name, "id": format!("{:016x}", hashing::stable(endpoint.name.as_bytes())),
                    "addr": endpoint.addr.to_string(), "zone": &*endpoint.zone, "kind": &*endpoint.kind,
                    "cell": endpoint.cell, "speaks": endpoint.protocol, "standing": endpoint.state,
                    "takes": endpoint.accepts_requests, "why": &*endpoint.reason, "up_ms": uptime_ms,
                    "stated": endpoint.start_reported})
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

    /// States that the source gives every process a name of its own; see [`EndpointSet::set_distinct_names`].
    pub fn set_distinct_names(&self) {
        self.aggregator.0.endpoint_set.borrow_mut().set_distinct_names(&self.source);
    }

    /// Draws a random number in [0, 1), for jitter.
    pub fn draw(&self) -> f64 {
        self.aggregator.0.random.borrow_mut().gen()
    }

    /// Index or version of the source's latest list, which an earlier process may have received.
    pub fn last_index(&self) -> Option<u64> {
        self.aggregator.0.indices.borrow().get(&self.source).copied()
    }

    /// Publishes an update, with this protocol for all of its endpoints.
    pub fn publish_with_protocol(
        &self,
        protocol: EndpointProtocol,
        update: SourceUpdate,
        index: Option<u64>,
    ) {
        let set_protocol = |reports: Vec<EndpointReport>| {
            reports.into_iter().map(|r| EndpointReport { protocol, ..r }).collect()
        };
        let update = match update {
            SourceUpdate::Full(reports) => SourceUpdate::Full(set_protocol(reports)),
            SourceUpdate::Delta(reports, removed) => SourceUpdate::Delta(set_protocol(reports), removed),
            SourceUpdate::Unavailable(reason) => SourceUpdate::Unavailable(reason),
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
        let changes = inner.endpoint_set.borrow_mut().apply_update(unix_ms(), &self.source, update);
        if !changes.is_empty() {
            inner.subscriber.endpoints_changed(&self.aggregator.endpoint_update(&changes));
        }
        if is_usable {
            inner.changed.notify_one();
        }
    }

    /// Reports the first successful response to the subscriber, even if nothing has changed, if the source was added with
    /// `notifies_first_response`.
    pub fn notify_first_response(&self) {
        if self.notifies_first_response {
            self.aggregator.0.subscriber.endpoints_changed(&EndpointUpdate::default());
        }
    }

    /// Reports that there is no usable update, for this reason; the list stays as it is.
    pub fn report_unavailable(&self, reason: String) {
        self.aggregator.0.endpoint_set.borrow_mut().apply_update(
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
