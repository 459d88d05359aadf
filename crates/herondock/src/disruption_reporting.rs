//! Connects this instance to the fleet's disruption budgets: provides observations of its upstreams to the reporter, and applies
//! drains.
use crate::clock::unix_ms;
use crate::endpoint_sources::aggregator::{self, EndpointAggregator};
use crate::request_counters::{self, RequestCounters};
use crate::routing::Pools;
use balancer::UpstreamId;
use config::coordination::CoordinationClientConfig;
use coordination_server::client::{spawn_reader, ClientHandle};
use discovery::endpoint::EndpointState;
use discovery::endpoint_set::Endpoint;
use disruption::{EndpointCondition, EndpointLabels, InstanceState};
use disruption_agent::reporter::{self, BalancerView, LocalObservations, ReporterConfig};
use rollout::MetricsSample;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::info;

/// Kind under which a balancer announces its presence to the coordination service.
const PRESENCE_KIND: &str = "balancer";
/// Maximum time that the start waits for the drains in force, so that a new process does not send requests to a drained upstream.
/// After that the process starts without them.
const DRAINS_TIMEOUT: Duration = Duration::from_millis(300);
/// Environment variable in which a supervisor passes the build id to the processes that it starts.
pub const BUILD: &str = "HERONDOCK_BUILD";
/// Name of the default pool, which contains all endpoints, in stored values.
const DEFAULT_POOL_NAME: &str = "all";

/// Access of the reporter to the balancer of this process.
pub struct LocalBalancer {
    /// Endpoints of all sources.
    pub endpoints: EndpointAggregator<Pools>,
    /// Pools with their drivers.
    pub pools: Pools,
    /// Time for which an upstream is warming up after its start, in milliseconds.
    pub slow_start_ms: f64,
    /// Request counters of the process.
    pub counters: Rc<RequestCounters>,
}

/// Spawns the reporter and the metrics sampler, then waits for the drains in force for at most [`DRAINS_TIMEOUT`]. Returns the
/// client of the coordination service.
pub async fn begin(
    config: &CoordinationClientConfig,
    name: &str,
    balancer: LocalBalancer,
    states: watch::Receiver<InstanceState>,
) -> ClientHandle {
    let client = spawn_reader(config, PRESENCE_KIND, name);
    spawn_sampler(client.clone(), name, balancer.counters.clone());
    let reporter_config = ReporterConfig {
        coordination: config.clone(),
        name: name.into(),
        warm_up: config.warm,
        build: std::env::var(BUILD).unwrap_or_default(),
    };
    let mut drains_known = reporter::spawn(client.clone(), reporter_config, Rc::new(balancer), states);
    if tokio::time::timeout(DRAINS_TIMEOUT, drains_known.wait_for(|known| *known)).await.is_err() {
        info!("outage: {name} starts without the drains in force, as the coordination service has not answered yet");
    }
    client
}

fn spawn_sampler(client: ClientHandle, name: &str, counters: Rc<RequestCounters>) {
    let totals = move || MetricsSample {
        requests: counters.admitted.get(),
        served: counters.served.get(),
        late: counters.late.get(),
        memory_mb: request_counters::resident_memory_mb(),
    };
    tokio::task::spawn_local(rollout_agent::sampler::run(client, name.into(), totals));
}

/// Name of a pool in stored values.
fn stored_pool_name(name: &str) -> String {
    if name.is_empty() { DEFAULT_POOL_NAME } else { name }.to_string()
}

impl LocalBalancer {
    /// Condition of an endpoint; `None` if it is in service, or counts as drained by the fleet.
    fn condition(&self, endpoint: &Endpoint, is_ejected: bool, now_ms: f64) -> Option<EndpointCondition> {
        match endpoint.state {
            // A drain by this fleet already counts through the lease that was granted for it.
            EndpointState::Draining if self.endpoints.is_held_out(&endpoint.name) => None,
            EndpointState::Draining => Some(EndpointCondition::Draining),
            EndpointState::Unhealthy => Some(EndpointCondition::Unhealthy),
            EndpointState::Ready if is_ejected => Some(EndpointCondition::Ejected),
            EndpointState::Ready => {
                let is_warming_up =
                    endpoint.started_ms > 0.0 && now_ms - endpoint.started_ms < self.slow_start_ms;
                is_warming_up.then_some(EndpointCondition::WarmingUp)
            }
        }
    }
}

impl BalancerView for LocalBalancer {
    fn apply_drains(&self, upstreams: &BTreeMap<String, String>) {
        self.endpoints.set_held_out(upstreams);
    }

    fn in_flight(&self, upstream: &str) -> usize {
        self.pools.in_flight(aggregator::upstream_id(upstream))
    }

    fn observations(&self) -> LocalObservations {
        let pools = self.pools.active_pools();
        let ejected: BTreeSet<UpstreamId> = pools.iter().flat_map(|pool| pool.driver.ejected()).collect();
        let now_ms = unix_ms();
        let mut observations = LocalObservations::default();
        self.endpoints.for_each(|endpoint| {
            let id = aggregator::upstream_id(&endpoint.name);
            let name = endpoint.name.to_string();
            if let Some(condition) = self.condition(endpoint, ejected.contains(&id), now_ms) {
                observations.conditions.insert(name.clone(), condition);
            }
            let containing = pools.iter().filter(|pool| pool.contains(id));
            let labels = EndpointLabels {
                pools: containing.map(|pool| stored_pool_name(&pool.name)).collect(),
                zone: endpoint.zone.to_string(),
            };
            observations.endpoints.upstreams.insert(name, labels);
        });
        observations
    }
}
