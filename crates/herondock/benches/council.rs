//! Cost and unavailability of the coordination service, as real processes on this machine.
//!
//! `cargo bench -p herondock --bench council [-- PART ...]`; parts: `disk`, `writes`, `leaderless`, `memory`, `log`, `cost`
//! (default: all). Voters use the default tick (100 ms).
use coordination::client::SessionConfig;
use coordination::protocol::Status;
use coordination::state_machine::Op;
use coordination_server::client::{ClientConfig, ClientHandle};
use hdrhistogram::Histogram;
use std::cell::Cell;
use std::io::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::caller::Client;
use testkit::coordination::{is_committed, run, Voters};
use testkit::discovery::{upstream_list, Discovery};
use testkit::faults::link::Rule;
use testkit::node::{config, Node, Program};
use testkit::upstream::{ok, Upstream, UpstreamOptions};

const TICK: Duration = Duration::from_millis(100);
const WITHIN: Duration = Duration::from_secs(30);
/// Number of keys of a full store, and bytes of their values.
const KEYS: usize = 10_000;
const VALUE: usize = 100;
const CLIENTS: usize = 300;
/// Writes in an hour at 100 a second.
const HOUR: usize = 360_000;
/// Rounds of each fault, and of each measurement of cost.
const FAULTS: usize = 12;
const ROUNDS: usize = 7;

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"))
}

fn client_config(voters: &[String], name: &str, ttl: Duration) -> ClientConfig {
    let session = Some(SessionConfig { name: name.into(), ttl, take_over: true });
    ClientConfig {
        voters: voters.to_vec(),
        session,
        name: name.into(),
        response_timeout: Duration::from_secs(2),
    }
}

fn put(key: usize) -> Vec<Op> {
    vec![Op::Put { key: format!("key/{key:05}"), value: "x".repeat(VALUE), ephemeral: false }]
}

fn micros() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds")
}

fn millis(of: &Histogram<u64>, quantile: f64) -> f64 {
    of.value_at_quantile(quantile) as f64 / 1000.0
}

fn spread(mut all: Vec<f64>, digits: usize) -> String {
    all.sort_by(f64::total_cmp);
    let (median, least, most) = (all[all.len() / 2], all[0], all[all.len() - 1]);
    format!("{median:.digits$} ({least:.digits$} to {most:.digits$})")
}

/// Seconds of processor time that a process has used, with a resolution of 10 ms.
fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("its times");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
    (fields[11].parse::<f64>().expect("a number") + fields[12].parse::<f64>().expect("a number")) / 100.0
}

/// Resident memory of a process, in megabytes.
fn memory(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its memory");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1000.0
}

/// Runs clients that each make one write at a time: the latencies, and the writes per second.
fn writes(voters: &[String], clients: usize, length: Duration) -> (Histogram<u64>, f64) {
    run(async {
        let tasks: Vec<_> = (0..clients)
            .map(|c| {
                let handle =
                    ClientHandle::spawn(client_config(voters, &format!("w{c}"), Duration::from_secs(10)));
                tokio::task::spawn_local(async move {
                    // The session and the connection come first.
                    assert!(is_committed(&handle.transact(vec![], put(c), WITHIN).await));
                    let (mut took, started) = (micros(), Instant::now());
                    let mut n = 0;
                    while started.elapsed() < length {
                        n += 1;
                        let sent = Instant::now();
                        let outcome = handle.transact(vec![], put((c * 97 + n) % KEYS), WITHIN).await;
                        assert!(is_committed(&outcome), "{outcome:?}");
                        took.record(sent.elapsed().as_micros() as u64).expect("within bounds");
                    }
                    (took, started)
                })
            })
            .collect();
        let mut all = micros();
        let mut began = None;
        for task in tasks {
            let (took, started) = task.await.expect("a client");
            all.add(took).expect("the same bounds");
            began = Some(began.map_or(started, |b: Instant| b.min(started)));
        }
        let span = began.map_or(1.0, |b| b.elapsed().as_secs_f64());
        let rate = all.len() as f64 / span;
        (all, rate)
    })
}

/// Measures a small write and its sync on this disk.
fn disk() {
    let path = program().folder.join("sync-probe");
    let mut file = std::fs::File::create(&path).expect("creates");
    let mut took = micros();
    for _ in 0..500 {
        let started = Instant::now();
        file.write_all(&[7; 512]).and_then(|()| file.sync_data()).expect("writes");
        took.record((started.elapsed().as_micros() as u64).max(1)).expect("within bounds");
    }
    let _ = std::fs::remove_file(&path);
    let (p50, p99, most) = (millis(&took, 0.5), millis(&took, 0.99), millis(&took, 1.0));
    println!("512 bytes written and synced, 500 times: p50 {p50:.2} ms, p99 {p99:.2}, most {most:.2}\n");
}

fn write_rates() {
    println!("| voters | clients | writes a second | p50 ms | p99 ms | most ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in [3, 5] {
        let mut voters = Voters::direct(&program(), size, TICK);
        voters.begin();
        for clients in [1, 16, 128] {
            let mut rounds: [Vec<f64>; 4] = Default::default();
            for _ in 0..3 {
                let (took, rate) = writes(&voters.client_addrs(), clients, Duration::from_secs(3));
                let round = [rate, millis(&took, 0.5), millis(&took, 0.99), millis(&took, 1.0)];
                rounds.iter_mut().zip(round).for_each(|(all, one)| all.push(one));
            }
            let [rate, p50, p99, most] = rounds.map(|all| spread(all, 1));
            println!("| {size} | {clients} | {rate} | {p50} | {p99} | {most} |");
        }
    }
    println!();
}

/// A client that writes until it is dropped, and the times of its acknowledged writes.
struct Probe {
    stop: Arc<AtomicBool>,
    acknowledged: std::sync::mpsc::Receiver<Instant>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Probe {
    fn begin(voters: &[String]) -> Probe {
        let stop = Arc::new(AtomicBool::new(false));
        let (tell, acknowledged) = std::sync::mpsc::channel();
        let (stopped, voters) = (stop.clone(), voters.to_vec());
        let thread = std::thread::spawn(move || {
            run(async {
                let handle = ClientHandle::spawn(client_config(&voters, "probe", Duration::from_secs(30)));
                while !stopped.load(Ordering::SeqCst) {
                    if is_committed(&handle.transact(vec![], put(0), WITHIN).await) {
                        let _ = tell.send(Instant::now());
                    }
                }
            });
        });
        Probe { stop, acknowledged, thread: Some(thread) }
    }

    /// Waits for a write that is acknowledged after this time.
    fn after(&self, at: Instant) -> Instant {
        loop {
            let next = self.acknowledged.recv_timeout(Duration::from_secs(60)).expect("writes go on");
            if next > at {
                return next;
            }
        }
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn leaderless() {
    println!("| fault of the leader | rounds | to another leader s p50 | p99 | most | to the next write s p50 | p99 | most |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for fault in ["kill -9", "pause", "cut off", "SIGTERM"] {
        let mut voters = Voters::prepare(&program(), 3, TICK);
        voters.begin();
        let probe = Probe::begin(&voters.client_addrs());
        let (mut led, mut wrote) = (micros(), micros());
        for _ in 0..FAULTS {
            voters.wait_until_converged();
            let l = voters.leader();
            probe.after(Instant::now());
            let (name, struck) = (voters.names[l].clone(), Instant::now());
            match fault {
                "kill -9" => voters.machines[l].kill(),
                "pause" => voters.machines[l].pause(),
                "SIGTERM" => voters.machines[l].process(0).signal(rustix::process::Signal::TERM),
                _ => {
                    let others: Vec<String> = voters.names.iter().filter(|n| **n != name).cloned().collect();
                    for other in others.iter().map(String::as_str).chain(["probe"]) {
                        voters.network.set_both_ways(&name, other, Rule::Blackhole);
                    }
                }
            }
            let leads = |s: &Status| s.role == "leader" && s.name != name;
            let another = Cell::new(None);
            // Those that are stopped answer nothing: the others are asked without it.
            voters.until("led by another", |all| {
                let found = all.iter().any(leads);
                another.set(found.then(Instant::now));
                found
            });
            let seen = probe.after(struck + Duration::from_millis(1));
            let at = another.get().expect("led");
            led.record((at - struck).as_micros() as u64).expect("within bounds");
            wrote.record((seen - struck).as_micros() as u64).expect("within bounds");
            voters.network.heal();
            voters.machines[l].resume();
            if fault == "SIGTERM" {
                voters.machines[l].process_mut(0).wait();
            }
            voters.machines[l].start();
        }
        let s = |h: &Histogram<u64>, q| millis(h, q) / 1000.0;
        println!(
            "| {fault} | {FAULTS} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            s(&led, 0.5),
            s(&led, 0.99),
            s(&led, 1.0),
            s(&wrote, 0.5),
            s(&wrote, 0.99),
            s(&wrote, 1.0)
        );
    }
    println!();
}

/// Starts a balancer with this upstream, as a client of these voters or of none.
fn balancer(upstream: SocketAddr, voters: Option<&[String]>, name: &str) -> Node {
    let discovery = Discovery::start();
    let known = upstream_list(1, true, &[(0, upstream, "active")]);
    let config = config(discovery.addr, 1024, &known)
        .replace("\"quota_per_s\":5000", "\"quota_per_s\":1000000")
        .replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""));
    let program = program();
    let mut command = program.command(&config);
    command.arg("run");
    if let Some(voters) = voters {
        let list: Vec<String> = voters.iter().map(|v| format!("\"{v}\"")).collect();
        let file = program.file(".toml", &format!("[council]\nvoters = [{}]\n", list.join(", ")));
        command.arg("--operator").arg(file);
    }
    Node::run(command, discovery)
}

fn upstream() -> Upstream {
    Upstream::with(UpstreamOptions { cores: 8, ..UpstreamOptions::named("u0") }, |_| ok("x"))
}

/// Makes this many writes over [`KEYS`] keys.
fn fill(voters: &[String], count: usize, watch: impl Fn(usize)) {
    const AT_ONCE: usize = 256;
    run(async {
        let next = Rc::new(Cell::new(0));
        let tasks: Vec<_> = (0..AT_ONCE)
            .map(|c| {
                let handle =
                    ClientHandle::spawn(client_config(voters, &format!("f{c}"), Duration::from_secs(30)));
                let next = next.clone();
                tokio::task::spawn_local(async move {
                    loop {
                        let n = next.get();
                        if n >= count {
                            return;
                        }
                        next.set(n + 1);
                        let outcome = handle.transact(vec![], put(n % KEYS), WITHIN).await;
                        assert!(is_committed(&outcome), "{outcome:?}");
                    }
                })
            })
            .collect();
        while next.get() < count {
            tokio::time::sleep(Duration::from_millis(20)).await;
            watch(next.get());
        }
        for task in tasks {
            task.await.expect("a client");
        }
    });
}

fn memory_use() {
    let mut voters = Voters::direct(&program(), 3, TICK);
    voters.begin();
    let pids: Vec<u32> = voters.machines.iter().map(|m| m.process(0).pid()).collect();
    let of_voters = || pids.iter().map(|&p| memory(p)).collect::<Vec<f64>>();
    println!("| voters with | MB each, median (least to most) |");
    println!("| --- | --- |");
    println!("| nothing | {} |", spread(of_voters(), 1));
    fill(&voters.client_addrs(), KEYS, |_| {});
    println!("| {KEYS} keys of {VALUE} bytes | {} |", spread(of_voters(), 1));
    run(async {
        let mut clients = Vec::new();
        for c in 0..CLIENTS {
            let handle = ClientHandle::spawn(client_config(
                &voters.client_addrs(),
                &format!("m{c}"),
                Duration::from_secs(10),
            ));
            assert!(is_committed(&handle.transact(vec![], put(c), WITHIN).await));
            let watch = handle.watch("key/", None).await;
            clients.push((handle, watch));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        println!(
            "| the same and {CLIENTS} clients, each with a session and a watch of all | {} |",
            spread(of_voters(), 1)
        );
        for (handle, _) in &clients {
            handle.close_session(WITHIN).await;
        }
    });
    let up = upstream();
    let mut of: [Vec<f64>; 2] = Default::default();
    for k in 0..ROUNDS {
        for (way, of) in of.iter_mut().enumerate() {
            let reached = voters.client_addrs();
            let node = balancer(up.addr, (way == 1).then_some(&reached), &format!("m{k}"));
            if way == 1 {
                node.wait_for_log("holds its session");
            }
            of.push(memory(node.pid()));
        }
    }
    let [off, on] = of.map(|all| spread(all, 2));
    println!("\nA balancer with the client off {off} MB, on {on} MB, {ROUNDS} processes each in turn.\n");
}

fn log() {
    let mut voters = Voters::direct(&program(), 3, TICK);
    voters.begin();
    let sizes = Cell::new((0u64, 0u64, 0usize, u64::MAX));
    let journal = voters.machines[0].disk().join("journal");
    let started = Instant::now();
    let count = std::env::var("COUNCIL_WRITES").ok().and_then(|n| n.parse().ok()).unwrap_or(HOUR);
    fill(&voters.client_addrs(), count, |done| {
        let now = std::fs::metadata(&journal).map_or(0, |m| m.len());
        let (last, most, folds, least) = sizes.get();
        let folded = usize::from(now < last);
        let least = if folds + folded > 0 && done > KEYS * 2 { least.min(now) } else { least };
        sizes.set((now, most.max(now), folds + folded, least));
    });
    let (last, most, folds, least) = sizes.get();
    let took = started.elapsed().as_secs_f64();
    println!(
        "{count} writes of {VALUE} bytes on {KEYS} keys (an hour at 100 a second) in {took:.0} s: the journal of one voter has {:.1} MB at \
         most, {:.1} MB at least behind a fold, {:.1} MB at the end; {folds} folds seen",
        most as f64 / 1e6,
        least as f64 / 1e6,
        last as f64 / 1e6
    );
    // Nearly full: the next fold is far enough off for the kill to meet a long log.
    let mut took = Vec::new();
    let mut sizes = Vec::new();
    for _ in 0..ROUNDS {
        let before = voters.statuses().iter().map(|s| s.log.0).max().unwrap_or(0);
        let room = 19_000u64.saturating_sub(before);
        fill(&voters.client_addrs(), usize::try_from(room).unwrap_or(0), |_| {});
        voters.wait_until_converged();
        let l = voters.leader();
        let f = (l + 1) % 3;
        sizes
            .push(voters.statuses().iter().find(|s| s.name == voters.names[f]).map_or(0, |s| s.log.0) as f64);
        voters.machines[f].kill();
        let started = Instant::now();
        voters.machines[f].start();
        voters.machines[f].process(0).wait_for_log("listens on");
        let listens = started.elapsed().as_secs_f64();
        voters.wait_until_converged();
        took.push(listens * 1000.0);
    }
    println!(
        "Killed with a log of {} entries and started again: {} ms until it listens with all of it read, {ROUNDS} rounds.\n",
        spread(sizes, 0),
        spread(took, 0)
    );
}

/// Compares requests through a balancer with and without a coordination client, in turn.
fn cost() {
    let mut voters = Voters::direct(&program(), 3, TICK);
    voters.begin();
    let up = upstream();
    let reached = voters.client_addrs();
    let nodes = [balancer(up.addr, None, "off"), balancer(up.addr, Some(&reached), "on")];
    nodes[1].wait_for_log("holds its session");
    let mut figures: [[Vec<f64>; 2]; 2] = Default::default();
    for round in 0..=ROUNDS {
        for (way, node) in nodes.iter().enumerate() {
            let (before, started) = (cpu(node.pid()), Instant::now());
            let (length, addr) = (Duration::from_secs(3), node.addr);
            let done: usize = std::thread::scope(|scope| {
                let one = |c: usize| {
                    let mut client = Client::connect(addr).expect("connects");
                    let mut n = 0usize;
                    while started.elapsed() < length {
                        n += 1;
                        let text = format!(
                            "GET /api/x HTTP/1.1\r\nHost: x\r\nReq-Id: {c:x}-{round:x}{n:x}\r\nReq-Kind: read\r\n\
                             Req-Owner: club\r\nReq-Deadline: 5000m\r\n\r\n"
                        );
                        assert_eq!(client.call(&text).status(), 200);
                    }
                    n
                };
                let threads: Vec<_> = (0..4).map(|c| scope.spawn(move || one(c))).collect();
                threads.into_iter().map(|t| t.join().expect("no panic")).sum()
            });
            if round > 0 {
                figures[way][0].push(done as f64 / started.elapsed().as_secs_f64());
                figures[way][1].push((cpu(node.pid()) - before) * 1e6 / done as f64);
            }
        }
    }
    let ratios =
        |k: usize| figures[1][k].iter().zip(&figures[0][k]).map(|(on, off)| on / off).collect::<Vec<f64>>();
    let (rate, time) = (spread(ratios(0), 3), spread(ratios(1), 3));
    println!("| client | requests a second | us of processor a request |");
    println!("| --- | --- | --- |");
    for (name, [rate, time]) in ["off", "on"].iter().zip(figures.clone()) {
        println!("| {name} | {} | {} |", spread(rate, 0), spread(time, 1));
    }
    println!("\nOn beside off, round by round: requests a second {rate}, processor time {time}; {ROUNDS} rounds of 3 s, 4 connections.\n");
}

fn main() {
    let asked: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let parts: [(&str, fn()); 6] = [
        ("disk", disk),
        ("writes", write_rates),
        ("leaderless", leaderless),
        ("memory", memory_use),
        ("log", log),
        ("cost", cost),
    ];
    for (name, part) in parts {
        if asked.is_empty() || asked.iter().any(|a| a == name) {
            part();
        }
    }
}
