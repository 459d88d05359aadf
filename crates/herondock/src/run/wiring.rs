//! Builds the components of an instance: the pools with their drivers, the fronts, and the initial endpoint list.
use crate::descriptor_budget::DescriptorBudget;
use crate::driver::{Deduplication, DriverConfig, DriverHandle, SharedRequestIds};
use crate::endpoint_sources::cache;
use crate::endpoint_sources::discovery::MAX_LOGGED_ENTRY_ERRORS;
use crate::endpoint_sources::sources::{protocol, PLATFORM_LABEL};
use crate::front::{fastcgi, http, ShutdownProgress};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::live_config::LiveConfig;
use crate::memory_budget::MemoryBudget;
use crate::request_budgets::BudgetPolicy;
use crate::request_counters::{self, RequestCounters};
use crate::routing::{DriverFactory, Pools};
use crate::transport;
use crate::transport::connection_pool::ConnectionSettings;
use balancer::{Balancer, Class, DedupScope, Effect, LearnedState, Settings, SettingsError};
use config::operator::{Daemon, Limits, OperatorConfig};
use config::request_budget::BudgetTable;
use config::Deployment;
use discovery::endpoint::{EndpointProtocol, EndpointReport};
use discovery::endpoint_cache::EndpointCache;
use discovery::endpoint_set::Source;
use discovery::platform::EndpointListResponse;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;

/// Maximum duration that a setting may have, in milliseconds: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// Longest deadline that the platform allows for after SIGTERM, in milliseconds.
const PLATFORM_MAX_DEADLINE_MS: f64 = 3000.0;

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Start time of the process, on the monotonic clock and on the wall clock.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Monotonic time at the start.
    pub start: Instant,
    /// Wall-clock time at the start, in Unix milliseconds.
    pub start_ms: f64,
}

impl Clock {
    /// Current time of the decision modules' clock, in milliseconds: the Unix time at the start plus the monotonic time elapsed
    /// since.
    fn now_ms(&self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// Settings and state that the components of an instance share.
pub struct Shared {
    /// Start time of the process.
    pub clock: Clock,
    /// Seed of the random numbers of the process.
    pub seed: u64,
    /// Settings of the platform.
    pub deployment: Deployment,
    /// Limits of the operator's file, which a reload may change.
    pub limits: LiveConfig<Limits>,
    /// Budget of file descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Budget of the process's memory.
    pub memory: MemoryBudget,
    /// Request counters of the process.
    pub counters: Rc<RequestCounters>,
    /// Policy of request budgets; `None` if they are disabled.
    pub budgets: Option<Rc<BudgetPolicy>>,
    /// Progress of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownProgress>,
}

impl Shared {
    /// Random number generator in its initial state.
    pub fn random(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed)
    }

    /// Logs the request counters from now on, whenever they have changed.
    pub fn log_counters(&self) {
        let (counters, descriptors) = (self.counters.clone(), self.descriptors.clone());
        tokio::task::spawn_local(async move {
            request_counters::log_changes(&counters, || descriptors.callers()).await;
        });
    }

    /// Creates the pools. The decision module of the default pool starts with the state that a predecessor had learned.
    ///
    /// # Errors
    /// The decision module rejects the settings.
    pub fn pools(
        &self,
        operator: &OperatorConfig,
        learned: Option<LearnedState>,
    ) -> Result<Pools, SettingsError> {
        Balancer::new(self.deployment.policy.clone(), self.seed, self.clock.start_ms)?;
        Ok(Pools::new(self.driver_factory(operator, learned), self.deployment.clone()))
    }

    /// Returns a function that creates the driver of a pool. The settings must be valid.
    fn driver_factory(&self, operator: &OperatorConfig, learned: Option<LearnedState>) -> DriverFactory {
        let connections = self.connection_settings();
        let fastcgi = Rc::new(transport::fastcgi::FastCgiSettings {
            params: transport::fastcgi::Params(operator.fastcgi.params.clone()),
            multiplex: operator.fastcgi.multiplex,
        });
        let request_ids = SharedRequestIds::default();
        let (clock, seed, deployment) = (self.clock, self.seed, self.deployment.clone());
        let (descriptors, counters) = (self.descriptors.clone(), self.counters.clone());
        Box::new(move |pool: &str| {
            let policy = &deployment.policy;
            // Each pool has a seed of its own; the default pool, whose name is empty, uses the seed of the process.
            let seed = if pool.is_empty() { seed } else { seed ^ hashing::stable(pool.as_bytes()) };
            let now = clock.now_ms();
            let balancer = Balancer::new(policy.clone(), seed, now);
            let mut balancer = balancer.expect("the settings were validated at the start");
            if let (true, Some(learned)) = (pool.is_empty(), &learned) {
                balancer.restore_learned_state(learned, now);
            }
            DriverHandle::new(DriverConfig {
                balancer,
                clock_start: clock.start,
                clock_start_ms: clock.start_ms,
                transport_factory: Box::new(transport::transport_factory(
                    connections.clone(),
                    fastcgi.clone(),
                )),
                descriptors: descriptors.clone(),
                max_open: usize::try_from(deployment.max_open).unwrap_or(usize::MAX),
                late_shedding: policy.late_shedding,
                request_ids: request_ids.clone(),
                counters: counters.clone(),
                objectives: policy.classes.iter().map(objective).collect(),
                deduplication: policy.classes.iter().map(deduplication).collect(),
            })
        })
    }

    fn connection_settings(&self) -> ConnectionSettings {
        ConnectionSettings {
            dial_timeout: duration_from_ms(self.deployment.dial_timeout),
            upstream_idle_timeout: duration_from_ms(self.deployment.policy.idle_close.min(MAX_DURATION_MS)),
            descriptors: self.descriptors.clone(),
            memory: self.memory.clone(),
            limits: self.limits.clone(),
        }
    }

    /// Creates the front for clients that use HTTP.
    pub fn http_front(&self, pools: &Pools) -> Rc<http::HttpFront> {
        http::HttpFront::new(http::HttpFrontConfig {
            pools: pools.clone(),
            deployment: self.deployment.clone(),
            descriptors: self.descriptors.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            budgets: self.budgets.clone(),
            counters: self.counters.clone(),
            memory: self.memory.clone(),
        })
    }

    /// Creates the front for clients that use FastCGI.
    pub fn fastcgi_front(
        &self,
        pools: &Pools,
        settings: config::fastcgi::FastCgi,
        listeners: Vec<fastcgi::FrontListener>,
    ) -> Rc<fastcgi::FastCgiFront> {
        fastcgi::FastCgiFront::new(fastcgi::FastCgiFrontConfig {
            pools: pools.clone(),
            deployment: self.deployment.clone(),
            settings,
            descriptors: self.descriptors.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            budgets: self.budgets.clone(),
            listeners,
            memory: self.memory.clone(),
        })
    }
}

/// Latency objective of a class, which is at most its deadline in valid settings.
fn objective(class: &Class) -> Duration {
    duration_from_ms(class.objective.clamp(0.0, MAX_DURATION_MS))
}

/// How upstreams discard duplicates of a request of this class; `None` if duplicates do no harm, or if there are none.
fn deduplication(class: &Class) -> Option<Deduplication> {
    match class.effect {
        Effect::Guarded { window, scope } => Some(Deduplication {
            window: duration_from_ms(window.clamp(0.0, MAX_DURATION_MS)),
            within_group: scope != DedupScope::All,
        }),
        Effect::Free | Effect::SingleShot => None,
    }
}

/// Endpoints that are known at the start. The state of a predecessor is newer than the instance's own cache file, which is
/// newer than the list in the platform's configuration.
pub fn initial_endpoints(
    transferred: Option<TransferredState>,
    operator: &OperatorConfig,
    platform: Option<EndpointListResponse>,
    now_ms: f64,
) -> EndpointCache {
    let registry = &operator.registry;
    let file = registry.cache_file.as_deref().map(cache::cache_file);
    let cached = || cache::load(file.as_ref()?, registry.max_cache_age);
    transferred
        .and_then(|state| state.endpoints(now_ms))
        .or_else(cached)
        .or_else(|| platform.map(|list| platform_cache(list, protocol(registry.fastcgi), now_ms)))
        .unwrap_or_default()
}

/// Endpoint list of the platform's configuration, with the current time as its update time, since the platform does not state
/// its age.
fn platform_cache(
    list: EndpointListResponse,
    endpoint_protocol: EndpointProtocol,
    now_ms: f64,
) -> EndpointCache {
    let source = Source { rank: 0, label: PLATFORM_LABEL.into() };
    let reports = list
        .reports()
        .iter()
        .map(|r| (source.clone(), EndpointReport { protocol: endpoint_protocol, ..r.clone() }, None))
        .collect();
    for error in list.entry_errors.iter().take(MAX_LOGGED_ENTRY_ERRORS) {
        info!("known: ignored an invalid entry of the platform's endpoint list: {error}");
    }
    // Without an index the full list is requested, including the entries that could not be parsed.
    let indices =
        if list.entry_errors.is_empty() { vec![(source.clone(), list.version)] } else { Vec::new() };
    EndpointCache { reports, updated: vec![(source, now_ms)], indices }
}

/// Moves the phases of graceful shutdown to earlier times if all deadlines are shorter than [`PLATFORM_MAX_DEADLINE_MS`]. The
/// platform kills a balancer 0.7 s plus the longest deadline after SIGTERM, where deadlines count as 3 s at most; the default
/// phases are for deadlines of 3 s. Phases that the operator's file sets are not changed.
pub fn shorten_shutdown(daemon: &mut Daemon, deadlines: impl Iterator<Item = f64>) {
    let defaults = Daemon::default();
    let phases = |daemon: &Daemon| (daemon.serving, daemon.last_answer, daemon.end);
    let longest = deadlines.fold(0.0, f64::max);
    if phases(daemon) != phases(&defaults) || !(longest > 0.0 && longest < PLATFORM_MAX_DEADLINE_MS) {
        return;
    }
    let reduction = duration_from_ms(PLATFORM_MAX_DEADLINE_MS - longest);
    daemon.end = daemon.end.saturating_sub(reduction);
    daemon.last_answer = daemon.last_answer.saturating_sub(reduction);
    daemon.serving = daemon.serving.saturating_sub(reduction).max(daemon.accepting).min(daemon.last_answer);
}

/// Applies the settings of an enabled `[budget]` that the decision module enforces.
pub fn apply_budget(settings: &mut Settings, budget: &BudgetTable) {
    settings.refuse_hopeless = budget.refuse_hopeless;
    settings.tenant_retries = budget.tenant_retries;
}
