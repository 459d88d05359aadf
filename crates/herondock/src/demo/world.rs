//! The demo's world: stand-ins in this process, instances in theirs, and the threads of the clubs' callers.
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

/// Any free port.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const INSTANCES: usize = 3;
const UPSTREAMS: usize = 6;
const GROUPS: u32 = 2;
const CORES: usize = 2;
/// Each club's callers; the first club, as in life, has more than its share.
const CLUBS: [(&str, usize); 5] = [
    ("club-ribera", 8),
    ("club-los-alamos", 4),
    ("club-villa-norte", 4),
    ("club-san-anselmo", 4),
    ("club-el-ceibo", 4),
];
/// The mean pause of a caller between two operations.
const THINK: Duration = Duration::from_millis(200);
/// How an upstream that has just started warms up.
const COLD: ColdStart =
    ColdStart { parallelism: CORES as f64, initial_fraction: 0.32, ramp: Duration::from_secs(4) };
/// The platform's limit; half of what a shell with few descriptors gives.
const SOCKETS: usize = 192;
/// How long a caller learns of an instance that leaves only by its connections, as the front notices late.
const UNNOTICED: Duration = Duration::from_millis(300);
/// Callers end within this time after they were told: the longest deadline and some room.
const LAST: Duration = Duration::from_secs(7);
/// The instance and the upstreams that the plan is about.
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

/// What the callers of a club have met, by operation.
struct Club {
    served: u64,
    refused: u64,
    failed: u64,
    /// Microseconds from the first try to the answer of those that were served.
    took: Histogram<u64>,
}

/// What callers share with the world.
struct Shared {
    /// Where the balancers are that take new connections.
    balancers: Mutex<Vec<(String, SocketAddr)>>,
    clubs: Mutex<BTreeMap<&'static str, Club>>,
    stop: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

enum Leaving {
    No,
    /// Told to end at that time; still in the callers' list or not.
    Told(Instant, bool),
}

struct Balancer {
    name: String,
    config: PathBuf,
    instance: Instance,
    leaving: Leaving,
    /// Listens, but is not ready yet.
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

/// Everything; what it started ends with it.
pub struct World {
    ledger: Arc<Ledger>,
    tally: Tally,
    registry: Registry,
    servers: Vec<Server>,
    balancers: Vec<Balancer>,
    shared: Arc<Shared>,
    callers: Vec<JoinHandle<()>>,
    folder: PathBuf,
    begun: Instant,
}

impl World {
    /// Sets everything up and lets the callers begin.
    pub fn new() -> io::Result<World> {
        let ledger = Arc::new(Ledger::new());
        let registry = Registry::new(Some(ledger.clone()));
        let mut servers = Vec::new();
        for k in 0..UPSTREAMS {
            let (name, group) = (format!("u-{}", k + 1), k as u32 % GROUPS + 1);
            let upstream = Upstream::at(ANY, options(&name, group, &ledger, None), works(k as u64))?;
            registry
                .set(&name, ListedUpstream { addr: upstream.addr, group, state: "active", started_ms: 0 });
            servers.push(Server { name, group, state: "active", upstream });
        }
        let folder = folder()?;
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
            begun: Instant::now(),
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
            world.join();
            if Instant::now() > limit {
                return Err(io::Error::other("the instances do not learn of the upstreams"));
            }
        }
        world.begun = Instant::now();
        for (club, callers) in CLUBS {
            for k in 0..callers {
                let seed = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(world.callers.len() as u64 + 1);
                let (ledger, shared) = (world.ledger.clone(), world.shared.clone());
                let caller = std::thread::Builder::new().name(format!("{club}-{k}"));
                world
                    .callers
                    .push(caller.spawn(move || calls(club, Caller::new(ledger, seed), seed, &shared))?);
            }
        }
        Ok(world)
    }

    /// Takes in the instances that have become ready.
    fn join(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        for b in self.balancers.iter_mut().filter(|b| b.joining) {
            if ready(b.instance.addr) {
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

    /// Lets something happen; the line tells of it.
    pub fn happen(&mut self, event: Event) -> io::Result<String> {
        Ok(match event {
            Event::Drain => {
                let server = &mut self.servers[DRAINED];
                server.state = "leaving";
                self.registry.state(&server.name, "leaving");
                format!("upstream {} drains: nothing new after 1 s", server.name)
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
                b.leaving = Leaving::Told(Instant::now(), true);
                format!("balancer {} is told to end (SIGTERM)", b.name)
            }
            Event::Return => {
                let server = &mut self.servers[DRAINED];
                let options = options(&server.name, server.group, &self.ledger, Some(COLD));
                server.upstream = Upstream::at(ANY, options, works(99))?;
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

    /// Looks after the instances; the lines tell what happened to them.
    pub fn tick(&mut self) -> io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for b in &mut self.balancers {
            b.peak = b.peak.max(b.instance.memory().1);
            let ended = b.instance.ended()?;
            match b.leaving {
                Leaving::No if ended => {
                    return Err(io::Error::other(format!("{} has ended, untold", b.name)));
                }
                Leaving::Told(at, true) if at.elapsed() >= UNNOTICED => {
                    lock(&self.shared.balancers).retain(|(name, _)| *name != b.name);
                    b.leaving = Leaving::Told(at, false);
                }
                Leaving::Told(at, _) if ended => {
                    b.instance = Instance::start(&b.config)?;
                    (b.leaving, b.joining, b.restarts) = (Leaving::No, true, b.restarts + 1);
                    lines.push(format!(
                        "balancer {} ended after {:.1} s, started again",
                        b.name,
                        at.elapsed().as_secs_f64()
                    ));
                }
                _ => {}
            }
        }
        lines.extend(self.join());
        Ok(lines)
    }

    /// How things stand.
    pub fn view(&mut self) -> View {
        self.tally.add(self.ledger.since(self.tally.read()));
        let balancers = self.balancers.iter().map(|b| BalancerRow {
            name: b.name.clone(),
            state: match (&b.leaving, b.joining) {
                (Leaving::Told(..), _) => "leaving",
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
                percentiles: [0.5, 0.99].map(|q| millis(&club.took, q)),
            });
        View { balancers: balancers.collect(), upstreams: upstreams.collect(), clubs: clubs.collect() }
    }

    /// Lets the callers finish, and reports.
    pub fn finish(mut self) -> Report {
        let length = self.begun.elapsed();
        self.shared.stop.store(true, Ordering::SeqCst);
        let limit = Instant::now() + LAST;
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
                let _ = all.add(&club.took);
            }
        }
        let percentiles = [0.5, 0.9, 0.99, 0.999].map(|q| took.as_ref().map_or(0.0, |took| millis(took, q)));
        let violations = self.ledger.check(&figures());
        Report { length, view, memory, percentiles, violations }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.balancers.clear();
        // Nothing of it is needed; a folder that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A new folder that nobody else may read or has prepared.
fn folder() -> io::Result<PathBuf> {
    let base = std::env::temp_dir();
    for n in 0..100 {
        let folder = base.join(format!("herondock-demo-{}-{n}", std::process::id()));
        match std::fs::DirBuilder::new().mode(0o700).create(&folder) {
            Ok(()) => return Ok(folder),
            // Left behind by a demo that was killed and had the same number.
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {}
            Err(e) => return Err(io::Error::other(format!("{}: {e}", folder.display()))),
        }
    }
    Err(io::Error::other(format!("{}: no name is free", base.display())))
}

/// The rules in the demo's figures, which are those of [`configuration`].
fn figures() -> RuleParameters {
    RuleParameters::default()
}

impl Club {
    fn new() -> io::Result<Club> {
        // Up to a minute, in microseconds, to three digits.
        let took =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Club { served: 0, refused: 0, failed: 0, took })
    }
}

fn millis(took: &Histogram<u64>, quantile: f64) -> f64 {
    took.value_at_quantile(quantile) as f64 / 1000.0
}

fn options(name: &str, group: u32, ledger: &Arc<Ledger>, cold: Option<ColdStart>) -> UpstreamOptions {
    let ledger = Some(ledger.clone());
    UpstreamOptions { group, ledger, cores: CORES, queue: 32, cold, ..UpstreamOptions::named(name) }
}

/// xorshift64: enough for work that varies.
fn draw(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// What an upstream does with a request: work that depends on its class, and varies.
fn works(seed: u64) -> impl Fn(&Message) -> Step + Send + Sync + 'static {
    let state = Mutex::new(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1);
    move |request| {
        let kind = request.header("req-kind");
        let class = CLASSES.iter().find(|c| Some(c.name) == kind).unwrap_or(&CLASSES[0]);
        let (least, most) = class.work;
        let ms = least + draw(&mut lock(&state)) % (most - least + 1);
        Step::Work(Duration::from_millis(ms), ok_response("recibido"))
    }
}

/// Whether an instance says that it is ready.
fn ready(addr: SocketAddr) -> bool {
    let client = testkit::caller::Client::connect(addr);
    client.is_some_and(|mut client| {
        client.send("GET /-/ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n");
        client.answer().is_some_and(|answer| answer.status() == 200)
    })
}

/// One caller's life: an operation, a pause, and so on.
fn calls(club: &'static str, mut caller: Caller, seed: u64, shared: &Shared) {
    let mut state = seed | 1;
    while !shared.stop.load(Ordering::SeqCst) {
        caller.set_balancers(&lock(&shared.balancers));
        // 55 of 100 are sign-ups.
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
                    club.took.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
                }
                Outcome::Refused | Outcome::Unreached => club.refused += 1,
                Outcome::Failed | Outcome::Unanswered => club.failed += 1,
            }
        }
        // Exponential, so that arrivals come by chance.
        let unit = (draw(&mut state) >> 11) as f64 / (1u64 << 53) as f64;
        std::thread::sleep(THINK.mul_f64(-(1.0 - unit).max(1e-9).ln()).min(THINK * 5));
    }
}

/// The platform configuration of an instance, with the figures of the service that herondock was made for; only the
/// ramp of a cold upstream is shorter, so that it shows.
fn configuration(name: &str, index: usize, discovery: SocketAddr) -> String {
    let tenants = CLUBS.map(
        |(club, callers)| serde_json::json!({"name": club, "share": callers, "quota_per_s": callers * 4}),
    );
    let classes = CLASSES.map(|c| {
        let effect = if c.effect == Effect::Unsafe { "single_shot" } else { "guarded" };
        let deadline = c.deadline.as_millis() as u64;
        serde_json::json!({"name": c.name, "objective": deadline * 2 / 5, "deadline": deadline, "effect": effect,
            "dedup_scope": "cell", "repeat_window": figures().dedup_window.as_millis() as u64, "late_worth": 0.4})
    });
    let seed = format!("{:016x}", u64::from(std::process::id()) << 8 | index as u64);
    let figures = figures();
    serde_json::json!({
        "name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "known": null,
        "settings": {
            "balancers": INSTANCES, "index": index, "membership_mode": "on_request", "dcs": ["a"], "kinds": ["m"],
            "classes": classes, "tenants": tenants,
            "permissions": {"attempts_cap": 5, "cancel": true, "retry_after": true, "max_retry_after": 2000,
                "idle_close": 15000},
            "invariants": {"cold_from": COLD.initial_fraction, "ramp_time": COLD.ramp.as_millis() as u64,
                "tip_multiple": figures.cold_multiple, "drain_grace": figures.drain_grace.as_millis() as u64}
        }
    })
    .to_string()
}
