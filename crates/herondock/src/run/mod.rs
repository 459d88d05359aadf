//! `herondock run`: one instance, from its files to its end.
//!
//! | file | its job |
//! | --- | --- |
//! | `origin.rs` | where the listener comes from |
//! | `changes.rs` | what SIGHUP may change |
//! | `inbox.rs` | what happens to the process |
//! | `instance.rs` | what the lifecycle wants, done: a method for each action |
mod event_stream;
mod instance;
mod listener_origin;
mod reload;

use crate::clock;
use crate::descriptor_budget::DescriptorBudget;
use crate::disruption_reporting::LocalBalancer;
use crate::driver::{self, Handle, Parts};
use crate::endpoint_sources::aggregator::{EndpointAggregator, NameIndex};
use crate::endpoint_sources::cache;
use crate::endpoint_sources::discovery::MAX_LOGGED_ENTRY_ERRORS;
use crate::endpoint_sources::registration::Registrations;
use crate::endpoint_sources::sources::{protocol, Sources, PLATFORM_LABEL};
use crate::front::{fastcgi, http, Course};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::live_config::LiveConfig;
use crate::node_config::{self, Config};
use crate::request_budgets::Budgets;
use crate::request_counters::RequestCounters;
use crate::routing::Pools;
use crate::transport;
use balancer::Balancer;
use config::operator::Daemon;
use config::routing;
use daemon::service_manager::ServiceManager;
use daemon::signals::Signals;
use discovery::endpoint::{EndpointProtocol, EndpointReport};
use discovery::endpoint_cache::EndpointCache;
use discovery::endpoint_set::Source;
use discovery::platform::EndpointListResponse;
use event_stream::EventStream;
use instance::{Instance, Wiring};
use listener_origin::{origin, ListenerOrigin};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use reload::Changes;
pub use reload::{read_operator, read_table};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;

/// What the command line says.
#[derive(Default)]
pub struct Options {
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// In place of `daemon.pid_file`.
    pub pid_file: Option<PathBuf>,
    /// In place of `daemon.takeover`.
    pub takeover: Option<PathBuf>,
}

/// Runs an instance until it is told to end.
///
/// # Errors
/// One line that names the file and field at fault, or the address that can't be listened on.
pub fn run(options: Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    // A task of its own: what is blocked on is polled whenever any task has been.
    let served = async { tokio::task::spawn_local(serve(options)).await.map_err(|e| e.to_string())? };
    tokio::task::LocalSet::new().block_on(&runtime, served)
}

/// Ends the process as soon as standard input ends, whatever it is doing: who held the other end is gone, and with it
/// everyone that was served.
pub fn end_with_input() {
    std::thread::spawn(|| {
        // What comes is of no interest; an error ends it as well.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(1);
    });
}

/// Wires an instance up, and drives it until it ends.
async fn serve(options: Options) -> Result<(), String> {
    // Before anything else: a signal that is not caught ends the program.
    let signals = Signals::install().map_err(|e| e.to_string())?;
    let (start, start_ms) = (Instant::now(), clock::unix_ms());
    let config = node_config::load()?;
    let path = options.operator;
    let operator = read_operator(path.as_deref())?;
    let mut daemon = operator.daemon.clone();
    daemon.pid_file = options.pid_file.or(daemon.pid_file);
    daemon.takeover = options.takeover.or(daemon.takeover);
    waits(&mut daemon, config.deployment.policy.classes.iter().map(|c| c.deadline));
    let manager = ServiceManager::from_env();
    let world = routing::world(&config.deployment);
    let table = read_table(path.as_deref(), &operator, &world)?;
    let ListenerOrigin { listener, pid_file, taken, others, along } = origin(&config, &daemon).await?;
    let Config { name, discovery, seed, sockets, known, mut deployment, fingerprint, .. } = config;
    let budgets = Budgets::of(&operator.budget, deployment.policy.stage)?;
    if budgets.is_some() {
        deployment.policy.refuse_hopeless = operator.budget.refuse_hopeless;
        deployment.policy.tenant_retries = operator.budget.tenant_retries;
    }
    let limits = LiveConfig::new(operator.limits.clone());
    Balancer::new(deployment.policy.clone(), seed, start_ms).map_err(|e| e.to_string())?;
    let learned = along.as_ref().map(TransferredState::learned);
    let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let budget = DescriptorBudget::new(sockets);
    let reach = transport::pool::Reach {
        dial_timeout: span(deployment.dial_timeout),
        idle_close: span(deployment.policy.idle_close.min(86_400_000.0)),
        sockets: budget.clone(),
        limits: limits.clone(),
    };
    let operator_fastcgi = operator.fastcgi.clone();
    let to_members = transport::fastcgi::Settings {
        params: transport::fastcgi::Params(operator_fastcgi.params.clone()),
        multiplex: operator_fastcgi.multiplex,
    };
    let (names, to_members) = (driver::Names::default(), Rc::new(to_members));
    let counts = Rc::new(RequestCounters::default());
    let made = (deployment.clone(), budget.clone(), counts.clone());
    let maker = move |pool: &str| {
        let (deployment, sockets, counts) = &made;
        let window = |c: &balancer::Class| match c.effect {
            balancer::Effect::Guarded { window, .. } => {
                Some(Duration::from_secs_f64(window.clamp(0.0, 86_400_000.0) / 1000.0))
            }
            balancer::Effect::Free | balancer::Effect::SingleShot => None,
        };
        // Settings that were found good: objectives are bounded by deadlines.
        let objective =
            |c: &balancer::Class| Duration::from_secs_f64(c.objective.clamp(0.0, 86_400_000.0) / 1000.0);
        // Each pool draws for itself, and the pool of all members as it always did.
        let seed = if pool.is_empty() { seed } else { seed ^ hashing::stable(pool.as_bytes()) };
        let now = start_ms + start.elapsed().as_secs_f64() * 1000.0;
        let balancer = Balancer::new(deployment.policy.clone(), seed, now);
        let mut balancer = balancer.expect("the settings were found good at the start");
        if let (true, Some(learned)) = (pool.is_empty(), &learned) {
            balancer.recall(learned, now);
        }
        Handle::new(Parts {
            balancer,
            start,
            start_ms,
            transports: Box::new(transport::choose(reach.clone(), to_members.clone())),
            sockets: sockets.clone(),
            max_open: usize::try_from(deployment.max_open).unwrap_or(usize::MAX),
            late_shedding: deployment.policy.late_shedding,
            names: names.clone(),
            counts: counts.clone(),
            objectives: deployment.policy.classes.iter().map(objective).collect(),
            windows: deployment.policy.classes.iter().map(window).collect(),
        })
    };
    let handle = Pools::new(Box::new(maker), deployment.clone());
    handle.take_table(table)?;
    let broken = handle.clone();
    let timers = tokio::task::spawn_local(async move { broken.broken().await });
    let random = Pcg64Mcg::seed_from_u64(seed);
    let members = EndpointAggregator::new(
        handle.clone(),
        NameIndex::new(&deployment),
        operator.registry.last_resort,
        random.clone(),
    );
    let sources = Sources::new(&members, &operator, &limits);
    let store = operator.registry.cache_file.as_deref().map(cache::cache_file);
    let saved = || cache::load(store.as_ref()?, operator.registry.max_cache_age);
    // What a predecessor knew a moment ago is newer than what was saved here, and that than what the platform saved.
    let kept = along.and_then(|along| along.view(start_ms)).or_else(saved);
    let kept = kept
        .or_else(|| known.map(|known| platform_knows(known, protocol(operator.registry.fastcgi), start_ms)));
    handle.cached(&members.restore(kept.unwrap_or_default()));
    let (address_of_discovery, addresses) = watch::channel(discovery);
    sources.spawn(addresses, &limits, &node_config::terms(&deployment));
    if let Some(store) = store {
        tokio::task::spawn_local(cache::write_changes(
            members.clone(),
            store,
            operator.registry.cache_write_interval,
        ));
    }
    let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    let registrations = Registrations::spawn(&operator.registry.consul, &name, address, &limits, &random);
    // Nothing that serves waits for it; while it is away nothing changes.
    let (stands, standing) = watch::channel(disruption::InstanceState::Starting);
    let council = match &operator.council {
        Some(file) => {
            let station = LocalBalancer {
                members: members.clone(),
                pools: handle.clone(),
                ramp: deployment.policy.ramp_time,
                counts,
            };
            Some(crate::disruption_reporting::begin(file, &name, station, standing).await)
        }
        None => None,
    };
    let changes = Changes {
        path,
        operator,
        limits: limits.clone(),
        discovery: address_of_discovery,
        pools: handle.clone(),
        world,
    };
    let (course, courses) = watch::channel(Course::UP);
    let doors = fastcgi::open(&operator_fastcgi.listen, others)?;
    let side = fastcgi::Server::new(fastcgi::Parts {
        driver: handle.clone(),
        deployment: deployment.clone(),
        settings: operator_fastcgi,
        sockets: budget.clone(),
        limits: limits.clone(),
        course: courses.clone(),
        budgets: budgets.clone(),
        doors,
    });
    let server = http::Server::new(http::Parts {
        driver: handle.clone(),
        deployment,
        sockets: budget.clone(),
        limits,
        course: courses,
        budgets,
    });
    let (inbox, tell) = EventStream::new(signals, manager.watchdog_interval(), timers);
    let wiring = Wiring {
        name,
        start,
        fingerprint,
        daemon,
        manager,
        handle,
        members,
        registrations,
        server,
        side,
        budget,
        course,
        changes,
        listener,
        pid_file,
        tell,
        council,
        stands,
    };
    Instance::new(wiring, taken)?.live(inbox).await
}

/// The platform kills a balancer 0.7 s and the longest deadline after it told it to end, and counts deadlines of 3 s at most; the
/// operator's waits are for these where the file says nothing else. With shorter deadlines each comes earlier by the difference:
/// nothing may be taken that could not be answered by then.
fn waits(daemon: &mut Daemon, deadlines: impl Iterator<Item = f64>) {
    const LONGEST: f64 = 3000.0;
    let normal = Daemon::default();
    let set = |d: &Daemon| (d.serving, d.last_answer, d.end);
    let longest = deadlines.fold(0.0, f64::max);
    if set(daemon) != set(&normal) || !(longest > 0.0 && longest < LONGEST) {
        return;
    }
    let earlier = Duration::from_secs_f64((LONGEST - longest) / 1000.0);
    let end = daemon.end.saturating_sub(earlier);
    daemon.end = end;
    daemon.last_answer = daemon.last_answer.saturating_sub(earlier);
    daemon.serving = daemon.serving.saturating_sub(earlier).max(daemon.accepting).min(daemon.last_answer);
}

/// The list of the platform's configuration, as if the platform's discovery had told it just now: how old it is, the
/// platform does not say.
fn platform_knows(known: EndpointListResponse, speaks: EndpointProtocol, now: f64) -> EndpointCache {
    let source = Source { rank: 0, label: PLATFORM_LABEL.into() };
    let reports = known
        .reports()
        .iter()
        .map(|r| (source.clone(), EndpointReport { protocol: speaks, ..r.clone() }, None))
        .collect();
    for fault in known.entry_errors.iter().take(MAX_LOGGED_ENTRY_ERRORS) {
        info!("known: {fault}");
    }
    // What could not be read has to be asked for again.
    let indices =
        if known.entry_errors.is_empty() { vec![(source.clone(), known.version)] } else { Vec::new() };
    EndpointCache { reports, updated: vec![(source, now)], indices }
}
