//! Builds what one instance consists of: the pools with their drivers, the fronts, and the first list of endpoints.
use crate::descriptor_budget::DescriptorBudget;
use crate::driver::{DriverConfig, DriverHandle, OpenRequestIds};
use crate::endpoint_sources::cache;
use crate::endpoint_sources::discovery::MAX_LOGGED_ENTRY_ERRORS;
use crate::endpoint_sources::sources::{protocol, PLATFORM_LABEL};
use crate::front::{fastcgi, http, ShutdownProgress};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::live_config::LiveConfig;
use crate::request_budgets::BudgetPolicy;
use crate::request_counters::RequestCounters;
use crate::routing::{DriverFactory, Pools};
use crate::transport;
use crate::transport::connection_pool::ConnectionSettings;
use balancer::{Balancer, Class, Effect, LearnedState, Settings, SettingsError};
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

/// Longest span that is taken from settings, in milliseconds: one day.
const MAX_SPAN_MS: f64 = 86_400_000.0;
/// Longest deadline, in milliseconds, that the platform grants time for after SIGTERM.
const LONGEST_DEADLINE_MS: f64 = 3000.0;

fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// When the process began, on the monotonic clock and in Unix milliseconds.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The monotonic clock at the start.
    pub start: Instant,
    /// The wall clock at the start, in Unix milliseconds.
    pub start_ms: f64,
}

impl Clock {
    /// The decision modules' clock: Unix milliseconds at the start, and the time elapsed since.
    fn now_ms(&self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// What all parts of an instance share.
pub struct Shared {
    /// When the process began.
    pub clock: Clock,
    /// Seed of the process's random numbers.
    pub seed: u64,
    /// The platform's settings.
    pub deployment: Deployment,
    /// Limits of the operator's file, which a reload may change.
    pub limits: LiveConfig<Limits>,
    /// Descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Counters of the process.
    pub counters: Rc<RequestCounters>,
    /// Request budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
    /// How far a graceful shutdown has come.
    pub shutdown: watch::Receiver<ShutdownProgress>,
}

impl Shared {
    /// The process's random numbers, from their beginning.
    pub fn random(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed)
    }

    /// Pools whose decision modules begin with what a predecessor had learned.
    ///
    /// # Errors
    /// The settings are not valid for the decision module.
    pub fn pools(
        &self,
        operator: &OperatorConfig,
        learned: Option<LearnedState>,
    ) -> Result<Pools, SettingsError> {
        Balancer::new(self.deployment.policy.clone(), self.seed, self.clock.start_ms)?;
        Ok(Pools::new(self.driver_factory(operator, learned), self.deployment.clone()))
    }

    /// Creates the driver of each pool. The settings have been found valid.
    fn driver_factory(&self, operator: &OperatorConfig, learned: Option<LearnedState>) -> DriverFactory {
        let connections = self.connection_settings();
        let fastcgi = Rc::new(transport::fastcgi::FastCgiSettings {
            params: transport::fastcgi::Params(operator.fastcgi.params.clone()),
            multiplex: operator.fastcgi.multiplex,
        });
        let open_ids = OpenRequestIds::default();
        let (clock, seed, deployment) = (self.clock, self.seed, self.deployment.clone());
        let (descriptors, counters) = (self.descriptors.clone(), self.counters.clone());
        Box::new(move |pool: &str| {
            let policy = &deployment.policy;
            // Each pool has random numbers of its own; those of the default pool are the process's.
            let seed = if pool.is_empty() { seed } else { seed ^ hashing::stable(pool.as_bytes()) };
            let now = clock.now_ms();
            let balancer = Balancer::new(policy.clone(), seed, now);
            let mut balancer = balancer.expect("the settings were found good at the start");
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
                open_ids: open_ids.clone(),
                counters: counters.clone(),
                objectives: policy.classes.iter().map(objective).collect(),
                dedup_windows: policy.classes.iter().map(dedup_window).collect(),
            })
        })
    }

    fn connection_settings(&self) -> ConnectionSettings {
        ConnectionSettings {
            dial_timeout: span(self.deployment.dial_timeout),
            upstream_idle_timeout: span(self.deployment.policy.idle_close.min(MAX_SPAN_MS)),
            descriptors: self.descriptors.clone(),
            limits: self.limits.clone(),
        }
    }

    /// The front for clients that speak HTTP.
    pub fn http_front(&self, pools: &Pools) -> Rc<http::HttpFront> {
        http::HttpFront::new(http::HttpFrontConfig {
            pools: pools.clone(),
            deployment: self.deployment.clone(),
            descriptors: self.descriptors.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            budgets: self.budgets.clone(),
        })
    }

    /// The front for clients that speak FastCGI.
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
        })
    }
}

/// Latency objective of a class. Settings that were found valid bound it by the deadline.
fn objective(class: &Class) -> Duration {
    span(class.objective.clamp(0.0, MAX_SPAN_MS))
}

/// How long upstreams discard duplicates of a class; `None`: duplicates do no harm, or there are none.
fn dedup_window(class: &Class) -> Option<Duration> {
    match class.effect {
        Effect::Guarded { window, .. } => Some(span(window.clamp(0.0, MAX_SPAN_MS))),
        Effect::Free | Effect::SingleShot => None,
    }
}

/// The endpoints that are known at the start. What a predecessor knew a moment ago is newer than the instance's own cache,
/// and that is newer than what the platform saved.
pub fn initial_endpoints(
    transferred: Option<TransferredState>,
    operator: &OperatorConfig,
    platform: Option<EndpointListResponse>,
    now_ms: f64,
) -> EndpointCache {
    let registry = &operator.registry;
    let store = registry.cache_file.as_deref().map(cache::cache_file);
    let saved = || cache::load(store.as_ref()?, registry.max_cache_age);
    transferred
        .and_then(|state| state.endpoints(now_ms))
        .or_else(saved)
        .or_else(|| platform.map(|known| platform_cache(known, protocol(registry.fastcgi), now_ms)))
        .unwrap_or_default()
}

/// The endpoint list of the platform's configuration, as if discovery had answered it just now: how old it is, the platform
/// does not say.
fn platform_cache(known: EndpointListResponse, speaks: EndpointProtocol, now_ms: f64) -> EndpointCache {
    let source = Source { rank: 0, label: PLATFORM_LABEL.into() };
    let reports = known
        .reports()
        .iter()
        .map(|r| (source.clone(), EndpointReport { protocol: speaks, ..r.clone() }, None))
        .collect();
    for fault in known.entry_errors.iter().take(MAX_LOGGED_ENTRY_ERRORS) {
        info!("known: {fault}");
    }
    // Entries that could not be read have to be requested again.
    let indices =
        if known.entry_errors.is_empty() { vec![(source.clone(), known.version)] } else { Vec::new() };
    EndpointCache { reports, updated: vec![(source, now_ms)], indices }
}

/// Brings the phases of graceful shutdown forward where every deadline is shorter than the platform's longest. The platform
/// kills a balancer 0.7 s and the longest deadline after SIGTERM, and counts deadlines of 3 s at most; the defaults are for
/// these. Phases that the operator's file sets stay as they are.
pub fn shorten_shutdown(daemon: &mut Daemon, deadlines: impl Iterator<Item = f64>) {
    let defaults = Daemon::default();
    let phases = |d: &Daemon| (d.serving, d.last_answer, d.end);
    let longest = deadlines.fold(0.0, f64::max);
    if phases(daemon) != phases(&defaults) || !(longest > 0.0 && longest < LONGEST_DEADLINE_MS) {
        return;
    }
    let earlier = span(LONGEST_DEADLINE_MS - longest);
    daemon.end = daemon.end.saturating_sub(earlier);
    daemon.last_answer = daemon.last_answer.saturating_sub(earlier);
    daemon.serving = daemon.serving.saturating_sub(earlier).max(daemon.accepting).min(daemon.last_answer);
}

/// Applies the parts of an enabled `[budget]` that the decision module enforces.
pub fn apply_budget(settings: &mut Settings, budget: &BudgetTable) {
    settings.refuse_hopeless = budget.refuse_hopeless;
    settings.tenant_retries = budget.tenant_retries;
}
