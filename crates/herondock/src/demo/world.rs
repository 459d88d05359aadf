//! Environment of the demo: stand-ins in this process, instances in processes of their own, and a thread for each caller.
use super::instance::Instance;
use super::plan::Event;
use super::report::{Memory, Report};
use super::screen::{BalancerRow, ClubRow, UpstreamRow, View};
use super::tally::Tally;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::fs::DirBuilderExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use testkit::caller::{Caller, Operation, Outcome};
use testkit::discovery::{ListedUpstream, Registry};
use testkit::ledger::{ColdStart, Effect, Ledger, RuleParameters};
use testkit::message::{ok_response, Message};
use testkit::upstream::{Step, Upstream, UpstreamOptions};

/// Loopback address with any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const INSTANCES: usize = 3;
const UPSTREAMS: usize = 6;
const GROUPS: u32 = 2;
const CORES: usize = 2;
/// Tenants with their numbers of callers. As in practice, one tenant has more callers than each of the others.
const CLUBS: [(&str, usize); 5] = [
    ("club-ribera", 8),
    ("club-los-alamos", 4),
    ("club-villa-norte", 4),
    ("club-san-anselmo", 4),
    ("club-el-ceibo", 4),
];
/// Mean pause of a caller between two operations.
const MEAN_PAUSE: Duration = Duration::from_millis(200);
/// Warm-up of an upstream that has just started: initial fraction of its capacity, and time until it is fully warm.
const COLD: ColdStart =
    ColdStart { parallelism: CORES as f64, initial_fraction: 0.32, ramp: Duration::from_secs(4) };
/// Limit on descriptors in the platform configuration; half of the limit of a shell with few descriptors.
const MAX_DESCRIPTORS: usize = 192;
/// Time for which callers notice only by their connections that an instance is stopping, as a front would notice late.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Maximum time to wait for callers to stop: the longest deadline plus a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
/// Indices of the instance and the upstreams that the events of the plan concern.
const RESTARTED: usize = 1;
const DRAINED: usize = 1;
const KILLED: usize = 4;

struct Class {
    name: &'static str,
    effect: Effect,
    deadline: Duration,
    work: (u64, u64),
}

const CLASSES: [Class; 2] = [
    Class {
        name: "alta-socio",
        effect: Effect::Keyed,
        deadline: Duration::from_millis(2500),
        work: (15, 35),
    },
    Class { name: "pago-cuota", effect: Effect::Unsafe, deadline: Duration::from_secs(6), work: (30, 70) },
];

/// Outcomes of the operations of a tenant.
struct Club {
    served: u64,
    refused: u64,
    failed: u64,
    /// Time from the first attempt to the answer of served operations, in microseconds.
    latency: Histogram<u64>,
}

/// State shared by the callers and the world.
struct Shared {
    /// Names and addresses of the balancers that accept new connections.
    balancers: Mutex<Vec<(String, SocketAddr)>>,
    clubs: Mutex<BTreeMap<&'static str, Club>>,
    stop: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

enum Leaving {
    No,
    /// SIGTERM was sent at this time; the flag tells whether the callers still know the balancer.
    Stopping(Instant, bool),
}

struct Balancer {
    name: String,
    config: PathBuf,
    instance: Instance,
    leaving: Leaving,
    /// Whether the instance listens but is not ready yet.
    joining: bool,
    restarts: u32,
    peak: u64,
}

struct Server {
    name: String,
    group: u32,
    state: &'static str,
    upstream: Upstream,
}

/// Environment of the demo; everything that it has started stops when it is dropped.
pub struct World {
    ledger: Arc<Ledger>,
    tally: Tally,
    registry: Registry,
    servers: Vec<Server>,
    balancers: Vec<Balancer>,
    shared: Arc<Shared>,
    callers: Vec<JoinHandle<()>>,
    folder: PathBuf,
    started: Instant,
}

impl World {
    /// Starts the stand-ins, the instances and the callers.
    pub fn new() -> io::Result<World> {
        let ledger = Arc::new(Ledger::new());
        let registry = Registry::new(Some(ledger.clone()));
        let mut servers = Vec::new();
        for k in 0..UPSTREAMS {
            let (name, group) = (format!("u-{}", k + 1), k as u32 % GROUPS + 1);
            let upstream =
                Upstream::at(ANY_PORT, options(&name, group, &ledger, None), work_handler(k as u64))?;
            registry
                .set(&name, ListedUpstream { addr: upstream.addr, group, state: "active", started_ms: 0 });
            servers.push(Server { name, group, state: "active", upstream });
        }
        let folder = create_folder()?;
        let clubs = CLUBS.iter().map(|&(name, _)| Ok((name, Club::new()?))).collect::<io::Result<_>>()?;
        let shared =
            Shared { balancers: Mutex::default(), clubs: Mutex::new(clubs), stop: AtomicBool::new(false) };
        let mut world = World {
            ledger,
            tally: Tally::default(),
            registry,
            servers,
            balancers: Vec::new(),
            shared: Arc::new(shared),
            callers: Vec::new(),
            folder,
            started: Instant::now(),
        };
        for k in 0..INSTANCES {
            let name = format!("n{}", k + 1);
            let discovery = world.registry.open_endpoint(&name)?;
            let config = world.folder.join(format!("{name}.json"));
            std::fs::write(&config, configuration(&name, k, discovery))?;
            let instance = Instance::start(&config)?;
            let leaving = Leaving::No;
            world.balancers.push(Balancer {
                name,
                config,
                instance,
                leaving,
                joining: true,
                restarts: 0,
                peak: 0,
            });
        }
        let limit = Instant::now() + Duration::from_secs(10);
        while world.balancers.iter().any(|b| b.joining) {
            world.add_ready_balancers();
            if Instant::now() > limit {
                return Err(io::Error::other("the instances did not become ready"));
            }
        }
        world.started = Instant::now();
        for (club, callers) in CLUBS {
            for k in 0..callers {
                let seed = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(world.callers.len() as u64 + 1);
                let (ledger, shared) = (world.ledger.clone(), world.shared.clone());
                let caller = std::thread::Builder::new().name(format!("{club}-{k}"));
                world
                    .callers
                    .push(caller.spawn(move || run_caller(club, Caller::new(ledger, seed), seed, &shared))?);
            }
        }
        Ok(world)
    }

    /// Adds the instances that have become ready to the callers' list; returns the events.
    fn add_ready_balancers(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        for b in self.balancers.iter_mut().filter(|b| b.joining) {
            if is_ready(b.instance.addr) {
                b.joining = false;
                let mut known = lock(&self.shared.balancers);
                known.retain(|(name, _)| *name != b.name);
                known.push((b.name.clone(), b.instance.addr));
                if b.restarts > 0 {
                    lines.push(format!("balancer {} is ready again", b.name));
                }
            }
        }
        lines
    }

    /// Carries out an event; returns its description.
    pub fn apply(&mut self, event: Event) -> io::Result<String> {
        Ok(match event {
            Event::Drain => {
                let server = &mut self.servers[DRAINED];
                server.state = "leaving";
                self.registry.state(&server.name, "leaving");
                format!("upstream {} drains: no new requests after 1 s", server.name)
            }
            Event::Die => {
                let server = &mut self.servers[KILLED];
                server.state = "dead";
                server.upstream.kill();
                format!("upstream {} dies: its connections are reset", server.name)
            }
            Event::Noticed => {
                let server = &mut self.servers[KILLED];
                server.state = "left";
                self.registry.state(&server.name, "left");
                format!("discovery notices that {} is gone", server.name)
            }
            Event::Restart => {
                let b = &mut self.balancers[RESTARTED];
                b.instance.terminate()?;
                b.leaving = Leaving::Stopping(Instant::now(), true);
                format!("balancer {} receives SIGTERM", b.name)
            }
            Event::Return => {
                let server = &mut self.servers[DRAINED];
                let options = options(&server.name, server.group, &self.ledger, Some(COLD));
                server.upstream = Upstream::at(ANY_PORT, options, work_handler(99))?;
                server.state = "cold";
                let started_ms =
                    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
                let addr = server.upstream.addr;
                self.registry.set(
                    &server.name,
                    ListedUpstream { addr, group: server.group, state: "active", started_ms },
                );
                format!("upstream {} is back, cold: 32 % of its capacity at first", server.name)
            }
        })
    }

    /// Updates the state of the instances and restarts the one that was stopped; returns descriptions of what happened.
    pub fn tick(&mut self) -> io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for b in &mut self.balancers {
            b.peak = b.peak.max(b.instance.memory().1);
            let ended = b.instance.has_exited()?;
            match b.leaving {
                Leaving::No if ended => {
                    return Err(io::Error::other(format!("{} has exited without being stopped", b.name)));
                }
                Leaving::Stopping(at, true) if at.elapsed() >= NOTICE_DELAY => {
                    lock(&self.shared.balancers).retain(|(name, _)| *name != b.name);
                    b.leaving = Leaving::Stopping(at, false);
                }
                Leaving::Stopping(at, _) if ended => {
                    b.instance = Instance::start(&b.config)?;
                    (b.leaving, b.joining, b.restarts) = (Leaving::No, true, b.restarts + 1);
                    lines.push(format!(
                        "balancer {} exited after {:.1} s and was restarted",
                        b.name,
                        at.elapsed().as_secs_f64()
                    ));
                }
                _ => {}
            }
        }
        lines.extend(self.add_ready_balancers());
        Ok(lines)
    }

    /// Current state of the demo.
    pub fn view(&mut self) -> View {
        self.tally.add(self.ledger.since(self.tally.read()));
        let balancers = self.balancers.iter().map(|b| BalancerRow {
            name: b.name.clone(),
            state: match (&b.leaving, b.joining) {
                (Leaving::Stopping(..), _) => "leaving",
                (_, true) => "starting",
                _ => "serving",
            },
            count: self.tally.balancers.get(&b.name).copied().unwrap_or_default(),
            memory: b.instance.memory().0,
        });
        let upstreams = self.servers.iter().map(|s| UpstreamRow {
            name: s.name.clone(),
            group: s.group,
            state: s.state,
            busy: s.upstream.work_in_progress(),
            executed: self.tally.executed.get(&s.name).copied().unwrap_or(0),
        });
        let clubs = lock(&self.shared.clubs);
        let clubs =
            CLUBS.iter().filter_map(|(name, _)| Some((name, clubs.get(name)?))).map(|(name, club)| ClubRow {
                name,
                served: club.served,
                refused: club.refused,
                failed: club.failed,
                percentiles: [0.5, 0.99].map(|q| quantile_ms(&club.latency, q)),
            });
        View { balancers: balancers.collect(), upstreams: upstreams.collect(), clubs: clubs.collect() }
    }

    /// Stops the callers, waits for them and creates the report.
    pub fn finish(mut self) -> Report {
        let length = self.started.elapsed();
        self.shared.stop.store(true, Ordering::SeqCst);
        let limit = Instant::now() + STOP_TIMEOUT;
        for caller in self.callers.drain(..) {
            while !caller.is_finished() && Instant::now() < limit {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        let view = self.view();
        for b in &mut self.balancers {
            b.peak = b.peak.max(b.instance.memory().1);
        }
        let memory = self.balancers.iter().map(|b| Memory {
            balancer: b.name.clone(),
            now: b.instance.memory().0,
            peak: b.peak,
            restarts: b.restarts,
        });
        let memory = memory.collect();
        let mut took = Histogram::<u64>::new(3).ok();
        for club in lock(&self.shared.clubs).values() {
            if let Some(all) = &mut took {
                // Both have the same bounds and precision.
                let _ = all.add(&club.latency);
            }
        }
        let percentiles =
            [0.5, 0.9, 0.99, 0.999].map(|q| took.as_ref().map_or(0.0, |took| quantile_ms(took, q)));
        let violations = self.ledger.check(&rule_parameters());
        Report { length, view, memory, percentiles, violations }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.balancers.clear();
        // A folder that can't be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Creates a new folder that only this user may access.
fn create_folder() -> io::Result<PathBuf> {
    let base = std::env::temp_dir();
    for n in 0..100 {
        let folder = base.join(format!("herondock-demo-{}-{n}", std::process::id()));
        match std::fs::DirBuilder::new().mode(0o700).create(&folder) {
            Ok(()) => return Ok(folder),
            // Left behind by a killed demo that had the same process id.
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {}
            Err(e) => return Err(io::Error::other(format!("{}: {e}", folder.display()))),
        }
    }
    Err(io::Error::other(format!("{}: no unused folder name was found", base.display())))
}

/// Parameters of the rules, which [`configuration`] uses as well.
fn rule_parameters() -> RuleParameters {
    RuleParameters::default()
}

impl Club {
    fn new() -> io::Result<Club> {
        // From 1 microsecond to one minute, with three significant digits.
        let latency =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Club { served: 0, refused: 0, failed: 0, latency })
    }
}

fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1000.0
}

fn options(name: &str, group: u32, ledger: &Arc<Ledger>, cold: Option<ColdStart>) -> UpstreamOptions {
    let ledger = Some(ledger.clone());
    UpstreamOptions { group, ledger, cores: CORES, queue: 32, cold, ..UpstreamOptions::named(name) }
}

/// Next random number of an xorshift64 generator, which is good enough to vary the work.
fn draw(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Returns the handler of an upstream: work whose random duration depends on the class of the request.
fn work_handler(seed: u64) -> impl Fn(&Message) -> Step + Send + Sync + 'static {
    let state = Mutex::new(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1);
    move |request| {
        let kind = request.header("req-kind");
        let class = CLASSES.iter().find(|c| Some(c.name) == kind).unwrap_or(&CLASSES[0]);
        let (least, most) = class.work;
        let ms = least + draw(&mut lock(&state)) % (most - least + 1);
        Step::Work(Duration::from_millis(ms), ok_response("recibido"))
    }
}

/// Whether the readiness check of an instance succeeds.
fn is_ready(addr: SocketAddr) -> bool {
    let client = testkit::caller::Client::connect(addr);
    client.is_some_and(|mut client| {
        client.send("GET /-/ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n");
        client.answer().is_some_and(|answer| answer.status() == 200)
    })
}

/// Runs a caller until it is stopped: operations with pauses between them.
fn run_caller(club: &'static str, mut caller: Caller, seed: u64, shared: &Shared) {
    let mut state = seed | 1;
    while !shared.stop.load(Ordering::SeqCst) {
        caller.set_balancers(&lock(&shared.balancers));
        // 55 % of the operations are of the first class, sign-ups.
        let class = &CLASSES[usize::from(draw(&mut state) % 100 >= 55)];
        let operation = Operation {
            class: class.name.into(),
            owner: club.into(),
            effect: class.effect,
            deadline: class.deadline,
            ..Operation::default()
        };
        let done = caller.call(&operation);
        if let Some(club) = lock(&shared.clubs).get_mut(club) {
            match done.outcome {
                Outcome::Served { took } => {
                    club.served += 1;
                    club.latency.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
                }
                Outcome::Refused | Outcome::Unreached => club.refused += 1,
                Outcome::Failed | Outcome::Unanswered => club.failed += 1,
            }
        }
        // Pauses are exponentially distributed, so that operations arrive at random times.
        let unit = (draw(&mut state) >> 11) as f64 / (1u64 << 53) as f64;
        std::thread::sleep(MEAN_PAUSE.mul_f64(-(1.0 - unit).max(1e-9).ln()).min(MEAN_PAUSE * 5));
    }
}

/// Platform configuration of an instance, with the parameters of the service that herondock was made for. Only the ramp of a cold
/// upstream is shorter, so that it is visible during the demo.
fn configuration(name: &str, index: usize, discovery: SocketAddr) -> String {
    let tenants = CLUBS.map(
        |(club, callers)| serde_json::json!({"name": club, "share": callers, "quota_per_s": callers * 4}),
    );
    let classes = CLASSES.map(|c| {
        let effect = if c.effect == Effect::Unsafe { "single_shot" } else { "guarded" };
        let deadline = c.deadline.as_millis() as u64;
        serde_json::json!({"name": c.name, "objective": deadline * 2 / 5, "deadline": deadline, "effect": effect,
            "dedup_scope": "cell", "repeat_window": rule_parameters().dedup_window.as_millis() as u64, "late_worth": 0.4})
    });
    let seed = format!("{:016x}", u64::from(std::process::id()) << 8 | index as u64);
    let rules = rule_parameters();
    serde_json::json!({
        "name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS}, "known": null,
        "settings": {
            "balancers": INSTANCES, "index": index, "membership_mode": "on_request", "dcs": ["a"], "kinds": ["m"],
            "classes": classes, "tenants": tenants,
            "permissions": {"attempts_cap": 5, "cancel": true, "retry_after": true, "max_retry_after": 2000,
                "idle_close": 15000},
            "invariants": {"cold_from": COLD.initial_fraction, "ramp_time": COLD.ramp.as_millis() as u64,
                "tip_multiple": rules.cold_multiple, "drain_grace": rules.drain_grace.as_millis() as u64}
        }
    })
    .to_string()
}
