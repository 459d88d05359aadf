//! What long lists cost: files of many members and instances through `check`, and a balancer that knows many upstreams as
//! one of many balancers, from its start to a drain.
//!
//! `cargo bench -p herondock --bench sizes [-- SIZE ...]`, or with `processes` in place of sizes 350 processes that lose their
//! watches in one moment; sizes: 350, 1024 and 2000. Upstreams, discovery and callers are
//! this process.
use std::process::Command;
use std::time::{Duration, Instant};
use testkit::discovery::{Discovery, ListedUpstream, Registry};
use testkit::message::{get, ok_response};
use testkit::node::{config, Node, Program};
use testkit::upstream::{ok, Step, Upstream, UpstreamOptions};

/// Callers at one time, and how long they ask.
const CALLERS: usize = 64;
const LOAD: Duration = Duration::from_secs(3);
/// Changes of the list whose way is measured.
const CHANGES: usize = 20;

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"))
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < Duration::from_secs(60), "never: {what}");
        std::thread::yield_now();
    }
}

/// A figure of `/proc/PID/status` in MB.
fn memory(pid: u32, name: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find_map(|l| l.strip_prefix(name)).expect("the line");
    line.trim_matches(|c: char| !c.is_ascii_digit()).parse::<f64>().expect("a number") / 1024.0
}

fn check(ending: &str, text: &str) -> Duration {
    let file = program().file(ending, text);
    let started = Instant::now();
    let output = Command::new(&program().path).arg("check").arg(&file).output().expect("runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    started.elapsed()
}

fn files(size: usize) {
    let fixed = |k: usize| format!("[[static]]\nid = \"s-{k}\"\naddr = \"127.0.0.1:{}\"\n", 1024 + k);
    let members = check(".toml", &(0..size).map(fixed).collect::<String>());
    let instance = |k: usize| {
        let own = config("127.0.0.1:9".parse().expect("an address"), 1024, "null");
        let path = program().file(".json", &own.replace("127.0.0.1:0", &format!("127.0.0.1:{}", 10_000 + k)));
        format!("[[instance]]\nname = \"n{k}\"\nconfig = \"{}\"\n", path.display())
    };
    let folder = std::env::temp_dir();
    let text = format!(
        "[fleet]\nfolder = \"{}\"\n{}",
        folder.display(),
        (0..size).map(instance).collect::<String>()
    );
    println!("{size}: check: members {members:.1?}, instances {:.1?}", check(".fleet.toml", &text));
}

fn balancer(size: usize) {
    let registry = Registry::new(None);
    let upstreams: Vec<Upstream> = (0..size)
        .map(|k| {
            let name = format!("s-{k:04}");
            let upstream =
                Upstream::with(UpstreamOptions { cores: 64, ..UpstreamOptions::named(&name) }, |_| {
                    Step::Work(Duration::from_millis(20), ok_response("x"))
                });
            registry
                .set(&name, ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 });
            upstream
        })
        .collect();
    let config = config(registry.open_endpoint("n0").expect("a port"), 1024, "null")
        .replace("\"balancers\":1,\"index\":0", &format!("\"balancers\":{size},\"index\":{}", size / 2))
        // Each balancer has its part of it.
        .replace("\"quota_per_s\":5000", &format!("\"quota_per_s\":{}", 5000 * size));
    let mut command = program().command(&config);
    command.args(["run", "--log", "debug"]);
    let started = Instant::now();
    let node = Node::run(command, Discovery::start());
    let told = |wanted: &str| {
        node.log().iter().filter(|l| l.starts_with("endpoint list: ") && l.ends_with(wanted)).count()
    };
    until("the whole list", || told("Ready") >= size);
    let start = started.elapsed();
    // Before the load, whose lines would fill the log.
    let mut ways: Vec<Duration> = (0..CHANGES)
        .map(|k| {
            let changed = Instant::now();
            registry.state(&format!("s-{:04}", k * size / CHANGES), "leaving");
            until("the drain", || told("Draining") > k);
            changed.elapsed()
        })
        .collect();
    ways.sort();
    let served = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|c| {
                let mut client = node.client();
                scope.spawn(move || {
                    let (begun, mut served) = (Instant::now(), 0usize);
                    while begun.elapsed() < LOAD {
                        served += usize::from(
                            client.call(&get(&format!("c{c}-{served}"), "5000m")).status() == 200,
                        );
                    }
                    served
                })
            })
            .collect();
        callers.into_iter().map(|c| c.join().expect("no panic")).sum::<usize>()
    });
    let descriptors = node.descriptors();
    println!(
        "{size}: start to whole list {start:.1?}; {} served a second, {descriptors} descriptors, memory {:.1} MB, at most \
         {:.1}; drain to the list here {:.1?} (median), {:.1?} (most)",
        served / 3,
        memory(node.pid(), "VmRSS:"),
        memory(node.pid(), "VmHWM:"),
        ways[CHANGES / 2],
        ways[CHANGES - 1],
    );
    drop(upstreams);
}

/// Many processes at one time, which lose their watches together: when each has the news, and what they hold.
fn processes(size: usize) {
    let registry = Registry::new(None);
    let upstreams: Vec<Upstream> = (0..2).map(|_| Upstream::start(|_| ok("x"))).collect();
    for (k, upstream) in upstreams.iter().enumerate() {
        let listed = ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 };
        registry.set(&format!("s-{k}"), listed);
    }
    let started = Instant::now();
    let nodes: Vec<Node> = (0..size)
        .map(|k| {
            let config = config(registry.open_endpoint("n").expect("a port"), 1024, "null")
                .replace("8c1f30d27a5be964", &format!("{:016x}", 977 * k + 1))
                .replace("\"balancers\":1,\"index\":0", &format!("\"balancers\":{size},\"index\":{k}"));
            let mut command = program().command(&config);
            command.args(["run", "--log", "debug"]);
            Node::run_filtered(command, Discovery::start(), |line| line.contains("list: "))
        })
        .collect();
    let has = |node: &Node, wanted: &str| node.log().iter().any(|l| l.ends_with(wanted));
    until("all lists", || nodes.iter().all(|n| has(n, "Ready")));
    let start = started.elapsed();
    // Discovery takes a call from each within 3 s.
    registry.set_processing_time(Duration::from_secs(3) / u32::try_from(size).expect("a few"));
    let silent = registry.silence_pending();
    registry.state("s-1", "leaving");
    let mut told: Vec<Option<Duration>> = vec![None; size];
    until("all told", || {
        for (node, told) in nodes.iter().zip(&mut told).filter(|(_, t)| t.is_none()) {
            *told = has(node, "Draining").then(|| silent.elapsed());
        }
        told.iter().all(Option::is_some)
    });
    let mut told: Vec<Duration> = told.into_iter().flatten().collect();
    told.sort();
    let held: Vec<f64> = nodes.iter().map(|n| memory(n.pid(), "VmRSS:")).collect();
    println!(
        "{size} processes: all have their list after {start:.1?}; told {:.2?} to {:.2?} after the silence, the middle {:.2?}; memory \
         {:.1} MB at most, {:.0} in all",
        told[0],
        told[size - 1],
        told[size / 2],
        held.iter().copied().fold(0.0, f64::max),
        held.iter().sum::<f64>(),
    );
}

fn main() {
    if std::env::args().any(|a| a == "processes") {
        return processes(350);
    }
    let given: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    for size in if given.is_empty() { vec![350, 1024, 2000] } else { given } {
        files(size);
        balancer(size);
    }
}
