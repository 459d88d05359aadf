//! `herondock run`: runs one instance.
//!
//! | file | contents |
//! | --- | --- |
//! | `listener_origin.rs` | obtains the listener from a predecessor, the service manager, or as a new socket |
//! | `wiring.rs` | builds the components of an instance from its settings |
//! | `event_stream.rs` | merges signals, timers and events of tasks into one stream |
//! | `instance.rs` | the running instance: performs the actions of its lifecycle |
//! | `reload.rs` | configuration reload on SIGHUP |
//! | `error.rs` | errors |
mod error;
mod event_stream;
mod instance;
mod listener_origin;
mod reload;
mod wiring;

use crate::clock;
use crate::descriptor_budget::DescriptorBudget;
use crate::disruption_reporting::{self, LocalBalancer};
use crate::endpoint_sources::aggregator::{EndpointAggregator, NameIndex};
use crate::endpoint_sources::cache;
use crate::endpoint_sources::registration::Registrations;
use crate::endpoint_sources::sources::Sources;
use crate::front::{fastcgi, http, ShutdownProgress};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::live_config::LiveConfig;
use crate::memory_budget::MemoryBudget;
use crate::node_config::{self, NodeConfig};
use crate::request_budgets::BudgetPolicy;
use crate::request_counters::RequestCounters;
use crate::routing::Pools;
use config::operator::OperatorConfig;
use config::routing;
use daemon::service_manager::ServiceManager;
use daemon::signals::Signals;
pub use error::RunError;
use event_stream::EventStream;
use instance::{Instance, InstanceConfig};
use listener_origin::{obtain_listener, ListenerOrigin};
use reload::Reloader;
pub use reload::{read_operator, read_table};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::Instant;
use wiring::{Clock, Shared};

/// Options of the command line.
#[derive(Default)]
pub struct Options {
    /// Path of the operator's file.
    pub operator: Option<PathBuf>,
    /// Overrides `daemon.pid_file`.
    pub pid_file: Option<PathBuf>,
    /// Overrides `daemon.takeover`.
    pub takeover: Option<PathBuf>,
}

/// Runs an instance until its graceful shutdown is complete.
///
/// # Errors
/// The instance can't start, or can't continue; see [`RunError`].
pub fn run(options: Options) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RunError::Runtime)?;
    // Spawned as a task, since the future that a runtime blocks on is polled each time that any task has been polled.
    let serving = async { tokio::task::spawn_local(serve(options)).await.map_err(RunError::Task)? };
    tokio::task::LocalSet::new().block_on(&runtime, serving)
}

/// Exits at once with status 1 when standard input reaches its end: the process that started this one has exited, and with
/// it all clients.
pub fn exit_with_standard_input() {
    std::thread::spawn(|| {
        // The input is discarded; a read error also ends the process.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(1);
    });
}

/// Writes the endpoint list to the cache file whenever it changes, if the operator's file names one.
fn spawn_cache_writer(operator: &OperatorConfig, endpoints: &EndpointAggregator<Pools>) {
    if let Some(file) = operator.registry.cache_file.as_deref().map(cache::cache_file) {
        let interval = operator.registry.cache_write_interval;
        tokio::task::spawn_local(cache::write_changes(endpoints.clone(), file, interval));
    }
}

/// Builds an instance and runs it until it exits.
async fn serve(options: Options) -> Result<(), RunError> {
    // Installed first, since a signal without a handler would kill the process.
    let signals = Signals::install()?;
    let clock = Clock { start: Instant::now(), start_ms: clock::unix_ms() };
    let node = node_config::load()?;
    let operator = read_operator(options.operator.as_deref())?;
    let mut daemon = operator.daemon.clone();
    daemon.pid_file = options.pid_file.or(daemon.pid_file);
    daemon.takeover = options.takeover.or(daemon.takeover);
    wiring::shorten_shutdown(&mut daemon, node.deployment.policy.classes.iter().map(|class| class.deadline));
    let manager = ServiceManager::from_env();
    let known_names = routing::world(&node.deployment);
    let table = read_table(options.operator.as_deref(), &operator, &known_names)?;
    let ListenerOrigin { listener, pid_file, predecessor, other_fronts, transferred } =
        obtain_listener(&node, &daemon).await?;
    let NodeConfig { name, discovery, seed, max_descriptors, cached_endpoints, .. } = node;
    let (mut deployment, fingerprint) = (node.deployment, node.fingerprint);
    let memory = MemoryBudget::new(node.max_memory);
    let budgets = BudgetPolicy::from_config(&operator.budget, deployment.policy.stage)?;
    if budgets.is_some() {
        wiring::apply_budget(&mut deployment.policy, &operator.budget);
    }
    let (progress, shutdown) = watch::channel(ShutdownProgress::SERVING);
    let shared = Shared {
        clock,
        seed,
        deployment,
        limits: LiveConfig::new(operator.limits.clone()),
        descriptors: DescriptorBudget::new(max_descriptors, http::max_clients(&memory, &operator.limits)),
        memory,
        counters: Rc::new(RequestCounters::default()),
        budgets,
        shutdown,
    };
    let learned = transferred.as_ref().map(TransferredState::learned);
    let pools = shared.pools(&operator, learned)?;
    pools.replace_table(table)?;
    let timer_pools = pools.clone();
    let timers = tokio::task::spawn_local(async move { timer_pools.wait_for_failure().await });
    let random = shared.random();
    let endpoints = EndpointAggregator::new(
        pools.clone(),
        NameIndex::new(&shared.deployment),
        operator.registry.last_resort,
        random.clone(),
    );
    let sources = Sources::new(&endpoints, &operator, &shared.limits);
    let cached = wiring::initial_endpoints(transferred, &operator, cached_endpoints, clock.start_ms);
    pools.apply_cached(&endpoints.restore(cached));
    let (discovery_address, addresses) = watch::channel(discovery);
    sources.spawn(addresses, &shared.limits, &node_config::staleness_settings(&shared.deployment));
    spawn_cache_writer(&operator, &endpoints);
    let address = listener.local_addr().map_err(RunError::LocalAddress)?;
    let registrations =
        Registrations::spawn(&operator.registry.consul, &name, address, &shared.limits, &random);
    let (state_sender, state_receiver) = watch::channel(disruption::InstanceState::Starting);
    let balancer = LocalBalancer {
        endpoints: endpoints.clone(),
        pools: pools.clone(),
        slow_start_ms: shared.deployment.policy.ramp_time,
        counters: shared.counters.clone(),
    };
    // Serving does not depend on the coordination service: while it is unavailable, the last known drains stay in force.
    let coordination = match &operator.council {
        Some(file) => Some(disruption_reporting::begin(file, &name, balancer, state_receiver).await),
        None => None,
    };
    let listeners = fastcgi::open_listeners(&operator.fastcgi.listen, other_fronts)?;
    let fastcgi_front = shared.fastcgi_front(&pools, operator.fastcgi.clone(), listeners);
    let http_front = shared.http_front(&pools);
    shared.log_counters();
    let (events, sender) = EventStream::new(signals, manager.watchdog_interval(), timers);
    let reloader = Reloader {
        path: options.operator,
        operator,
        limits: shared.limits.clone(),
        discovery: discovery_address,
        pools: pools.clone(),
        known_names,
    };
    let config = InstanceConfig {
        name,
        start: clock.start,
        fingerprint,
        daemon,
        manager,
        pools,
        endpoints,
        registrations,
        http_front,
        fastcgi_front,
        descriptors: shared.descriptors,
        progress,
        reloader,
        listener: Some(listener),
        pid_file,
        sender,
        coordination,
        state_sender,
    };
    Instance::new(config, predecessor)?.run(events).await
}
