//! Members from Consul: how soon a drain is obeyed, what the agents are asked, and what a long list costs.
//!
//! `cargo bench -p herondock --bench consul [-- SECONDS [drains|queries|costs]]`: the stand-in for Consul, upstreams, and instances as processes
//! of their own, all on this machine. SECONDS is the length of each measurement of load and cost (10).
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::caller::{Caller, Operation};
use testkit::consul::{Agent, Consul, Fault, Service};
use testkit::discovery::Discovery;
use testkit::ledger::{DedupScope, Effect, Entry, Ledger, RuleParameters, UpstreamState};
use testkit::message::ok_response;
use testkit::node::{config, Node, Program};
use testkit::upstream::{Step, Upstream, UpstreamOptions};

/// Rounds of a drain for each fault, and how long the fault lasts.
const ROUNDS: usize = 15;
const FAULT: Duration = Duration::from_millis(300);
/// How long after the news sends are looked for.
const AFTER: Duration = Duration::from_millis(250);

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"))
}

/// Each with a seed of its own, as the platform gives them: their pauses differ by it.
fn instance(seed: usize, agent: SocketAddr, more: &str) -> Node {
    let text = format!(
        "[limits]\nlist = \"16MiB\"\n[registry]\ndiscovery = false\n[[consul]]\nname = \"portal\"\nservice = \"portal\"\nagents = [\"{agent}\"]\n{more}\n"
    );
    let program = program();
    let config = config(testkit::upstream::refusing(), 1024, "null");
    let seed = format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(seed as u64 + 1));
    let mut command = program.command(&config.replace("8c1f30d27a5be964", &seed));
    command.arg("run").arg("--operator").arg(program.file(".toml", &text));
    Node::run(command, Discovery::start())
}

fn ready(node: &Node) {
    let started = Instant::now();
    while node.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
        assert!(started.elapsed() < Duration::from_secs(30), "never ready: {:?}", node.log());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Callers of all three classes, until told to stop.
fn under_load(ledger: &Arc<Ledger>, addr: SocketAddr, act: impl FnOnce()) {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for seed in 1..=6 {
            let stop = &stop;
            scope.spawn(move || {
                let classes = [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];
                let mut caller = Caller::new(ledger.clone(), seed);
                caller.set_balancer("n0", addr);
                for (class, effect) in classes.into_iter().cycle() {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let deadline = Duration::from_secs(20);
                    caller.call(&Operation { class: class.into(), effect, deadline, ..Operation::default() });
                }
            });
        }
        act();
        stop.store(true, Ordering::SeqCst);
    });
}

fn quantiles(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    let at = |q: f64| all.get(((all.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN);
    format!("{:.1} | {:.1} | {:.1}", at(0.5), at(0.99), at(1.0))
}

/// Waits until the instance is told this of the first upstream; when it was.
fn told_of(ledger: &Ledger, from: usize, wanted: UpstreamState) -> Duration {
    let started = Instant::now();
    loop {
        let told = |e: &Entry| matches!(e, Entry::Notified { upstream, state, .. } if upstream == "u0" && *state == wanted);
        if let Some(r) = ledger.since(from).iter().find(|r| told(&r.entry)) {
            return r.time;
        }
        assert!(started.elapsed() < Duration::from_secs(20), "it is never told");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// How soon a drain is obeyed, under each fault.
fn drains() {
    println!("| fault while it changes | rounds | change to answer ms p50 | p99 | most | answer to last new send ms p50 | p99 | most |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut broken = 0;
    for fault in [
        Fault::None,
        Fault::Slow(FAULT),
        Fault::Hung,
        Fault::Status(500, 0),
        Fault::Status(429, 1),
        Fault::CutOff,
        Fault::Garbled,
        Fault::NoLeader,
        Fault::Behind(60_000),
        Fault::Filtered,
        Fault::NoIndex,
        Fault::ClosesConnections,
    ] {
        let ledger = Arc::new(Ledger::with_capacity(4 << 20));
        let consul = Consul::new(Some(ledger.clone()));
        let _upstreams: Vec<Upstream> = (0..4)
            .map(|k| {
                let options = UpstreamOptions {
                    ledger: Some(ledger.clone()),
                    cores: 8,
                    ..UpstreamOptions::named(&format!("u{k}"))
                };
                let upstream =
                    Upstream::with(options, |_| Step::Work(Duration::from_millis(2), ok_response("x")));
                consul.set("dc1", "portal", Service::new(&format!("u{k}"), upstream.addr));
                upstream
            })
            .collect();
        let agent = consul.agent("n0");
        // Waits short enough that a hung query is given up within seconds.
        let node = instance(0, agent.addr, "consistency = \"stale\"\nwait = \"500ms\"");
        ready(&node);
        let (mut to_answer, mut to_last) = (Vec::new(), Vec::new());
        under_load(&ledger, node.addr, || {
            for _ in 0..ROUNDS {
                let from = ledger.since(0).len();
                agent.fault(fault);
                let changed = ledger.now();
                consul.maintenance("portal", "u0", true);
                if fault != Fault::None {
                    std::thread::sleep(FAULT);
                }
                if !matches!(fault, Fault::None | Fault::Slow(_) | Fault::NoIndex) {
                    agent.fault(Fault::None);
                }
                let told = told_of(&ledger, from, UpstreamState::Closed);
                std::thread::sleep(AFTER);
                let begun = |e: &Entry| matches!(e, Entry::Begun { upstream, .. } if upstream == "u0");
                let last = ledger.since(from).iter().filter(|r| begun(&r.entry)).map(|r| r.time).max();
                to_answer.push((told - changed).as_secs_f64() * 1000.0);
                let last = last.map_or(0.0, |last| last.as_secs_f64() - told.as_secs_f64());
                to_last.push((last * 1000.0).max(0.0));
                agent.fault(Fault::None);
                // Told that it is back, so that the next drain is news again.
                let from = ledger.since(0).len();
                consul.maintenance("portal", "u0", false);
                told_of(&ledger, from, UpstreamState::Ready);
            }
        });
        let figures = RuleParameters {
            scope: DedupScope::All,
            dedup_window: Duration::from_secs(20),
            ..RuleParameters::default()
        };
        broken += ledger.check(&figures).len();
        println!("| {fault:?} | {ROUNDS} | {} | {} |", quantiles(to_answer), quantiles(to_last));
    }
    println!("\nrules broken: {broken}\n");
}

/// Queries that the agents get, while nothing changes, while something does, and when they come back.
fn queries(seconds: u64) {
    println!("| instances | at rest, a second | one change a second, a second | in the second after an outage of 5 s, all and most in 100 ms |");
    println!("| --- | --- | --- | --- |");
    for size in [1, 30, 140] {
        let consul = Consul::new(None);
        let upstream = Upstream::start(|_| Step::Answer(ok_response("x")));
        for k in 0..107 {
            consul.set(
                "dc1",
                "portal",
                Service::new(
                    &format!("u{k}"),
                    SocketAddr::from(([127, 0, 1, k as u8 + 1], upstream.addr.port())),
                ),
            );
        }
        let agents: Vec<Agent> = (0..size).map(|k| consul.agent(&format!("n{k}"))).collect();
        let nodes: Vec<Node> = agents.iter().enumerate().map(|(k, a)| instance(k, a.addr, "")).collect();
        nodes.iter().for_each(ready);
        let all = || agents.iter().map(Agent::queries).sum::<usize>();
        let wait = |n: u64| std::thread::sleep(Duration::from_secs(n));
        wait(2);
        let before = all();
        wait(seconds);
        let rest = (all() - before) as f64 / seconds as f64;
        let before = all();
        for k in 0..seconds {
            consul.check("portal", &format!("u{}", k % 107), if k % 2 == 0 { "warning" } else { "passing" });
            wait(1);
        }
        let changing = (all() - before) as f64 / seconds as f64;
        agents.iter().for_each(|a| a.fault(Fault::Status(500, 0)));
        // Ends the queries that wait: all meet the outage.
        consul.check("portal", "u0", "warning");
        wait(5);
        agents.iter().for_each(|a| a.fault(Fault::None));
        let (from, mut last, mut most) = (all(), all(), 0);
        for _ in 0..10 {
            std::thread::sleep(Duration::from_millis(100));
            most = most.max(all() - last);
            last = all();
        }
        println!("| {size} | {rest:.2} | {changing:.1} | {}, {most} |", last - from);
        consul.close();
    }
    println!();
}

/// Processor time and memory of an instance with a list of this size and so many changes a second.
fn costs(seconds: u64) {
    println!("| services | changes a second | queries a second | CPU ms a second | CPU ms a change | memory MB | most MB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for size in [107u32, 5000] {
        for rate in [0u64, 1, 50] {
            let consul = Consul::new(None);
            let upstream = Upstream::start(|_| Step::Answer(ok_response("x")));
            for k in 0..size {
                let ip = [127, 2, (k / 250) as u8, (k % 250) as u8 + 1];
                consul.set(
                    "dc1",
                    "portal",
                    Service::new(&format!("u{k}"), SocketAddr::from((ip, upstream.addr.port()))),
                );
            }
            let agent = consul.agent("n0");
            let node = instance(0, agent.addr, "");
            ready(&node);
            std::thread::sleep(Duration::from_secs(1));
            let (cpu, queries, from) = (cpu(&node), agent.queries(), Instant::now());
            let mut done = 0;
            while from.elapsed() < Duration::from_secs(seconds) {
                if rate == 0 {
                    std::thread::sleep(Duration::from_millis(100));
                    continue;
                }
                consul.check(
                    "portal",
                    &format!("u{}", done % u64::from(size)),
                    if (done / u64::from(size)) % 2 == 0 { "warning" } else { "passing" },
                );
                done += 1;
                let next = from + Duration::from_millis(done * 1000 / rate);
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            let lasted = from.elapsed().as_secs_f64();
            let used = (self::cpu(&node) - cpu) * 1000.0;
            let each = if done == 0 { f64::NAN } else { used / done as f64 };
            let asked = (agent.queries() - queries) as f64 / lasted;
            println!(
                "| {size} | {rate} | {asked:.1} | {:.1} | {each:.2} | {:.1} | {:.1} |",
                used / lasted,
                memory(&node, "VmRSS:"),
                memory(&node, "VmHWM:")
            );
            consul.close();
        }
    }
}

/// Seconds of processor time; the system counts in hundredths.
fn cpu(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |k: usize| fields.get(k).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

fn memory(node: &Node, key: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(key)).unwrap_or("");
    line.trim().trim_end_matches(" kB").trim().parse::<f64>().unwrap_or(0.0) * 1024.0 / 1e6
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let seconds = args.first().map_or(10, |a| a.parse().expect("seconds"));
    assert!(Path::new(env!("CARGO_BIN_EXE_herondock")).exists());
    let part = args.get(1).map_or("", String::as_str);
    let wanted = |name: &str| part.is_empty() || part == name;
    if wanted("drains") {
        drains();
    }
    if wanted("queries") {
        queries(seconds);
    }
    if wanted("costs") {
        costs(seconds);
    }
}
