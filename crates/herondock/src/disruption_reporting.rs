//! This instance in agreed outages: what its reporter is told of its upstreams, and how it obeys drains.
use crate::clock::unix_ms;
use crate::endpoint_sources::aggregator::{self, EndpointAggregator};
use crate::request_counters::{self, RequestCounters};
use crate::routing::Pools;
use balancer::UpstreamId;
use config::coordination::CoordinationClientConfig;
use coordination_server::client::{spawn_reader, ClientHandle};
use discovery::endpoint::EndpointState;
use disruption::{EndpointCondition, EndpointLabels, EndpointList, InstanceState};
use disruption_agent::reporter::{spawn as report, ReporterConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::info;

/// How long the start waits to hear which upstreams are drained: a process that has just begun must not be the one that
/// still sends there. Without an answer it serves all the same.
const DRAINS_WITHIN: Duration = Duration::from_millis(300);
/// The variable by which a supervisor tells a process which build it is of.
pub const BUILD: &str = "HERONDOCK_BUILD";
/// What the pool of all members is called.
const WHOLE: &str = "all";

/// See the module's page.
pub struct LocalBalancer {
    /// The view of members.
    pub endpoints: EndpointAggregator<Pools>,
    /// All pools.
    pub pools: Pools,
    /// An upstream is cold for so long after its start, in milliseconds.
    pub slow_start_ms: f64,
    /// What it was asked and has served.
    pub counters: Rc<RequestCounters>,
}

/// Begins the reporter, and waits a moment for the drains that hold now.
pub async fn begin(
    file: &CoordinationClientConfig,
    name: &str,
    station: LocalBalancer,
    states: watch::Receiver<InstanceState>,
) -> ClientHandle {
    let council = spawn_reader(file, "balancer", name);
    // Whoever started this process knows what it started.
    let build = std::env::var(BUILD).unwrap_or_default();
    let counts = station.counters.clone();
    let totals = move || rollout::MetricsSample {
        requests: counts.admitted.get(),
        served: counts.served.get(),
        late: counts.late.get(),
        memory_mb: request_counters::resident_memory_mb(),
    };
    tokio::task::spawn_local(rollout_agent::sampler::run(council.clone(), name.into(), totals));
    let setup = ReporterConfig { coordination: file.clone(), name: name.into(), warm_up: file.warm, build };
    let mut known = report(council.clone(), setup, Rc::new(station), states);
    if tokio::time::timeout(DRAINS_WITHIN, known.wait_for(|known| *known)).await.is_err() {
        info!("outage: the council has not said which upstreams are drained, and {name} begins without");
    }
    council
}

impl disruption_agent::reporter::BalancerView for LocalBalancer {
    fn apply_drains(&self, upstreams: &BTreeMap<String, String>) {
        self.endpoints.set_held_out(upstreams);
    }

    fn in_flight(&self, upstream: &str) -> usize {
        self.pools.in_flight(aggregator::upstream_id(upstream))
    }

    fn observations(&self) -> (EndpointList, BTreeMap<String, EndpointCondition>) {
        let pools = self.pools.active_pools();
        let ejected: BTreeSet<UpstreamId> = pools.iter().flat_map(|pool| pool.driver.ejected()).collect();
        let (mut list, mut out, now) = (EndpointList::default(), BTreeMap::new(), unix_ms());
        self.endpoints.for_each(|m| {
            let id = aggregator::upstream_id(&m.name);
            let named = |name: &str| if name.is_empty() { WHOLE.to_string() } else { name.to_string() };
            let within = pools.iter().filter(|pool| pool.contains(id)).map(|pool| named(&pool.name));
            let place = EndpointLabels { pools: within.collect(), zone: m.zone.to_string() };
            list.upstreams.insert(m.name.to_string(), place);
            let stand = match m.state {
                // A drain by agreement is the leave that is given for it, and not seen here once more.
                EndpointState::Draining if self.endpoints.is_held_out(&m.name) => None,
                EndpointState::Draining => Some(EndpointCondition::Draining),
                EndpointState::Unhealthy => Some(EndpointCondition::Unhealthy),
                EndpointState::Ready if ejected.contains(&id) => Some(EndpointCondition::Ejected),
                EndpointState::Ready => (m.started_ms > 0.0 && now - m.started_ms < self.slow_start_ms)
                    .then_some(EndpointCondition::WarmingUp),
            };
            out.extend(stand.map(|stand| (m.name.to_string(), stand)));
        });
        (list, out)
    }
}
