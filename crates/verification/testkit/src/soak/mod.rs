//! A soak run: balancers under load and faults that are drawn from a seed, judged from outside.
//!
//! | what | drawn |
//! | --- | --- |
//! | balancers | 2 to 4, of which one at a time gets signals, in series: SIGKILL at once or after SIGTERM, starts, SIGHUP |
//! | upstreams | 4 to 9 in groups of two; some hang, close, decline or fail; they drain, die, and are replaced at their address |
//! | callers | 6 to 10, which keep using open connections until the kill |
//! | crowd | none, or clients that write slowly, stop half way, fill the descriptors, flood, or leave behind unread requests |
//!
//! | file | contents |
//! | --- | --- |
//! | `crowds.rs` | clients that do not behave |
//! | `faults.rs` | signals, and changes of upstreams |
//! | `judge.rs` | what counts as a failure |
//!
//! After SIGTERM the kill comes at the earliest time that the platform allows. The draws depend on the seed alone; the
//! processes run in real time, so two runs of a seed differ in their order of events.
mod crowds;
mod faults;
mod judge;

use crate::caller::{Caller, Operation};
use crate::discovery::{Discovery, ListedUpstream, Registry};
use crate::ledger::{Effect, Ledger};
use crate::message::{ok_response, Message};
use crate::node::{config, Node, Program};
use crate::process::reserve_address;
use crate::upstream::{ok, status, Step, Upstream, UpstreamOptions};
use crowds::{CrowdKind, CROWDS};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Deadline of every class, which is also the longest that the platform allows for after SIGTERM.
const DEADLINE: Duration = Duration::from_secs(3);
/// Duration of the faults and the load of one run.
const RUN_TIME: Duration = Duration::from_secs(8);
/// Environment variable that makes balancers log at debug level and adds these lines to the traces of failures.
const KEEP_LOGS: &str = "HERONDOCK_SOAK_LOGS";
/// Interval between checks of the limits of a process.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Draws from a seed (SplitMix64).
struct Draws(AtomicU64);

impl Draws {
    fn new(seed: u64) -> Draws {
        Draws(AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// A number below `bound`.
    fn below(&self, bound: u64) -> u64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound
    }

    fn size(&self, bound: u64) -> usize {
        usize::try_from(self.below(bound)).unwrap_or(0)
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Size, crowd and counts, in one line.
    pub summary: String,
    /// Broken rules, exceeded limits and unexpected ends, one each.
    pub failures: Vec<String>,
}

/// A balancer with its fixed address.
struct Balancer {
    name: String,
    addr: SocketAddr,
    command_config: String,
    node: Mutex<Option<Node>>,
    /// Whether it is being killed or is dead; shared with the callers.
    is_dead: Arc<AtomicBool>,
}

struct Soak {
    program: Program,
    draws: Draws,
    ledger: Arc<Ledger>,
    registry: Registry,
    balancers: Vec<Balancer>,
    upstreams: Mutex<Vec<(String, Upstream)>>,
    descriptors: usize,
    peak_memory: AtomicU64,
    failures: Mutex<Vec<String>>,
    stopped: AtomicBool,
    /// Whether the balancers log at debug level, and failures are reported with their lines.
    keeps_logs: bool,
    /// Log lines of ended processes, each with the name of its balancer.
    logs: Mutex<Vec<(String, String)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs one seed.
pub fn run(program: &Program, seed: u64) -> SoakReport {
    let draws = Draws::new(seed);
    let crowd = CROWDS[draws.size(CROWDS.len() as u64)];
    let soak = Soak::start(program, draws, if crowd == CrowdKind::Idle { 256 } else { 1024 });
    let callers = 6 + soak.draws.below(5);
    let started = Instant::now();
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        for number in 0..callers {
            let (soak, served) = (&soak, &served);
            scope.spawn(move || soak.call(seed ^ number, served));
        }
        scope.spawn(|| soak.watch_limits());
        scope.spawn(|| soak.send_crowd(crowd));
        scope.spawn(|| soak.change_upstreams());
        while started.elapsed() < RUN_TIME {
            soak.signal_series();
        }
        soak.stopped.store(true, Ordering::SeqCst);
    });
    soak.report(seed, crowd, callers, served.into_inner())
}

impl Soak {
    fn start(program: &Program, draws: Draws, descriptors: usize) -> Soak {
        let ledger = Arc::new(Ledger::with_capacity(4 << 20));
        let registry = Registry::new(Some(ledger.clone()));
        let size = 2 + draws.size(3);
        let balancers = (0..size)
            .map(|index| {
                let (name, addr) = (format!("n{index}"), reserve_address());
                let discovery = registry.open_endpoint(&name).expect("a port");
                let command_config = config(discovery, descriptors, "null")
                    .replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""))
                    .replace("127.0.0.1:0", &addr.to_string())
                    .replace("\"deadline\":20000", "\"deadline\":3000")
                    .replace("\"repeat_window\":20000", "\"repeat_window\":4000")
                    .replace("\"all\"", "\"cell\"")
                    .replace(
                        "\"balancers\":1,\"index\":0",
                        &format!("\"balancers\":{size},\"index\":{index}"),
                    );
                Balancer { name, addr, command_config, node: Mutex::default(), is_dead: Arc::default() }
            })
            .collect();
        let soak = Soak {
            program: program.clone(),
            draws,
            ledger,
            registry,
            balancers,
            upstreams: Mutex::default(),
            descriptors,
            peak_memory: AtomicU64::new(0),
            failures: Mutex::default(),
            stopped: AtomicBool::new(false),
            keeps_logs: std::env::var_os(KEEP_LOGS).is_some(),
            logs: Mutex::default(),
        };
        for index in 0..4 + soak.draws.size(6) {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            soak.start_upstream(format!("u{index}"), any_port, u32::try_from(index / 2).unwrap_or(0), 0);
        }
        soak.balancers.iter().for_each(|balancer| soak.start_balancer(balancer));
        for balancer in &soak.balancers {
            soak.wait_until_ready(balancer);
        }
        soak
    }

    fn fail(&self, failure: String) {
        lock(&self.failures).push(failure);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn start_upstream(&self, name: String, addr: SocketAddr, group: u32, started_ms: u64) {
        let options = UpstreamOptions {
            ledger: Some(self.ledger.clone()),
            group,
            cores: 4,
            ..UpstreamOptions::named(&name)
        };
        let faults = Draws::new(self.draws.below(u64::MAX));
        let behaviour = move |_: &Message| match faults.below(100) {
            0..=1 => Step::Silent,
            2 => Step::Close,
            3 => status("500 Broken"),
            4..=5 => Step::declined(),
            6..=9 => ok("at once"),
            work => Step::Work(Duration::from_millis(work / 8), ok_response("x")),
        };
        // The address of a former process may be taken for a moment.
        if let Ok(upstream) = Upstream::at(addr, options, behaviour) {
            let listed = ListedUpstream { addr: upstream.addr, group, state: "active", started_ms };
            self.registry.set(&name, listed);
            lock(&self.upstreams).push((name, upstream));
        }
    }

    fn start_balancer(&self, balancer: &Balancer) {
        let mut command = self.program.command(&balancer.command_config);
        if self.keeps_logs {
            command.args(["--log", "debug"]);
        }
        let node = Node::run(command, Discovery::start());
        *lock(&balancer.node) = Some(node);
    }

    fn wait_until_ready(&self, balancer: &Balancer) {
        let started = Instant::now();
        let check = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let is_ready = || {
            let mut client = crate::caller::Client::connect(balancer.addr)?;
            client.send(check);
            Some(client.answer()?.status() == 200)
        };
        while is_ready() != Some(true) {
            if started.elapsed() > Duration::from_secs(10) {
                return self.fail(format!("{} is not ready 10 s after its start", balancer.name));
            }
            thread::sleep(LIMIT_CHECK_INTERVAL);
        }
    }

    /// Calls until the run ends.
    fn call(&self, seed: u64, served: &AtomicU64) {
        let deaths: Vec<_> = self.balancers.iter().map(|b| (b.name.clone(), b.is_dead.clone())).collect();
        let is_dead =
            move |name: &str| deaths.iter().any(|(n, dead)| n == name && dead.load(Ordering::SeqCst));
        let caller = Caller::new(self.ledger.clone(), seed + 1).with_readiness_check();
        let mut caller = caller.with_death_check(Arc::new(is_dead));
        let addrs: Vec<_> = self.balancers.iter().map(|b| (b.name.clone(), b.addr)).collect();
        caller.set_balancers(&addrs);
        let classes = [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];
        for (class, effect) in classes.into_iter().cycle() {
            if self.is_stopped() {
                return;
            }
            let operation =
                Operation { class: class.into(), effect, deadline: DEADLINE, ..Operation::default() };
            let outcome = caller.call(&operation).outcome;
            served.fetch_add(
                u64::from(matches!(outcome, crate::caller::Outcome::Served { .. })),
                Ordering::Relaxed,
            );
        }
    }
}

/// Seeds that an environment variable gives as `FROM..TO`, or else the default ones.
pub fn seeds(variable: &str, default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let text = std::env::var(variable).unwrap_or_default();
    let bounds = text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    bounds.map_or(default, |(from, to)| from..to)
}
