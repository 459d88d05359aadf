//! Two tiers before a dependency that slows: attempts for each request at each tier, work done for nobody, service, and how
//! long it takes to come back, with and without budgets.
//!
//! `cargo bench -p herondock --bench tiers [-- ROUNDS]`: two instances of the first tier, four servers of it with an
//! instance of the second tier each, four servers below. 800 operations a second with up to three tries more each, marked,
//! as callers do; 3 s as usual, 6 s with the lower servers slower, 8 s as usual again; the variants in turn within each of
//! ROUNDS (2) rounds.
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use testkit::caller::Client;
use testkit::discovery::{ListedUpstream, Registry};
use testkit::message::{get, Message};
use testkit::node::{config, Node, Program};
use testkit::upstream::{ok, Step, Upstream, UpstreamOptions};

const PER_S: usize = 800;
const CALLERS: usize = 400;
const USUAL: f64 = 3.0;
const SLOW: f64 = 6.0;
const AFTER: f64 = 8.0;
/// Work of a server of each tier for a request.
const WORK: [Duration; 2] = [Duration::from_millis(4), Duration::from_millis(10)];
/// An answer is in time within this; a try is given up after this, and an operation after that.
const WANTED: f64 = 0.2;
const TRY: f64 = 0.3;
const ALL: f64 = 0.8;

#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Off,
    /// The servers between pass nothing on.
    Alone,
    /// They pass on what came.
    Passed,
}

/// What was done at one tier.
#[derive(Default)]
struct Tier {
    attempts: AtomicUsize,
    /// Microseconds of work, and of that for callers that had given up by its end.
    worked: AtomicUsize,
    wasted: AtomicUsize,
}

/// The cores of one server.
struct Cores {
    free: Mutex<(usize, usize)>,
    changed: Condvar,
}

impl Cores {
    fn new(cores: usize) -> Cores {
        Cores { free: Mutex::new((cores, 0)), changed: Condvar::new() }
    }

    /// Works for so long once a core is free; `false`: too many wait.
    fn work(&self, time: Duration) -> bool {
        let mut at = self.free.lock().expect("no panic");
        if at.1 >= 24 {
            return false;
        }
        at.1 += 1;
        while at.0 == 0 {
            at = self.changed.wait(at).expect("no panic");
        }
        (at.0, at.1) = (at.0 - 1, at.1 - 1);
        drop(at);
        std::thread::sleep(time);
        self.free.lock().expect("no panic").0 += 1;
        self.changed.notify_one();
        true
    }
}

fn until(m: &Message) -> Instant {
    let text = m.header("req-deadline").unwrap_or("300m");
    let number: f64 = text[..text.len() - 1].parse().expect("a number");
    let ms = if text.ends_with('u') { number / 1000.0 } else { number };
    Instant::now() + Duration::from_secs_f64(ms / 1000.0)
}

fn worked(tier: &Tier, cores: &Cores, time: Duration, until: Instant) -> bool {
    tier.attempts.fetch_add(1, SeqCst);
    if !cores.work(time) {
        return false;
    }
    let us = usize::try_from(time.as_micros()).expect("small");
    tier.worked.fetch_add(us, SeqCst);
    if Instant::now() > until {
        tier.wasted.fetch_add(us, SeqCst);
    }
    true
}

fn instance(pool: &str, variant: Variant, upstreams: &[SocketAddr], balancers: usize) -> Node {
    let program = Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"));
    let registry = Registry::new(None);
    for (k, &addr) in upstreams.iter().enumerate() {
        registry.set(&format!("u{k}"), ListedUpstream { addr, group: 1, state: "active", started_ms: 0 });
    }
    let on = "trust = [\"http\"]\nrepeat_worth = 0.25\nrefuse_hopeless = true\ntenant_retries = 0.1\n";
    let text = match variant {
        Variant::Off => String::new(),
        _ => format!("[budget]\npool = \"{pool}\"\n{on}"),
    };
    let asked = registry.open_endpoint("n").expect("a port");
    let stage = usize::from(pool == "below");
    let settings = config(asked, 1024, "null")
        .replace(
            "\"balancers\":1,\"index\":0",
            &format!("\"balancers\":{balancers},\"index\":0,\"stage\":{stage}"),
        )
        .replace("\"objective\":1000,\"deadline\":20000", "\"objective\":200,\"deadline\":800")
        .replace("\"quota_per_s\":5000", &format!("\"quota_per_s\":{}", PER_S * 5 / 4))
        .replace("\"ramp_time\":9000", "\"ramp_time\":1");
    let mut command = program.command(&settings);
    command.arg("run").arg("--operator").arg(program.file(".toml", &text));
    let node = Node::run(command, testkit::discovery::Discovery::start());
    let began = Instant::now();
    while node.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
        assert!(began.elapsed() < testkit::TEST_TIMEOUT, "never ready");
        std::thread::yield_now();
    }
    node
}

fn with(request: &str, headers: &str) -> String {
    request.replacen("\r\n\r\n", &format!("\r\n{headers}\r\n\r\n"), 1)
}

struct Result {
    /// Attempts at each tier for each operation, usual and slow.
    attempts: [[f64; 2]; 2],
    /// Part of the work while it was slow that was for nobody.
    wasted: [f64; 2],
    /// Service: usual, slow, after.
    service: [f64; 3],
    /// Until service was back for good, in seconds after the slowness ended.
    back: f64,
}

fn play(variant: Variant, slower: f64) -> Result {
    let tiers = [Arc::new(Tier::default()), Arc::new(Tier::default())];
    let slow = Arc::new(AtomicBool::new(false));
    let lower: Vec<Upstream> = (0..4)
        .map(|k| {
            let (tier, slow, cores) = (tiers[1].clone(), slow.clone(), Cores::new(3));
            Upstream::with(UpstreamOptions::named(&format!("c{k}")), move |m: &Message| {
                let times = if slow.load(SeqCst) { slower } else { 1.0 };
                match worked(&tier, &cores, WORK[1].mul_f64(times), until(m)) {
                    true => ok("x"),
                    false => Step::declined(),
                }
            })
        })
        .collect();
    let lower_addrs: Vec<SocketAddr> = lower.iter().map(|u| u.addr).collect();
    let owns: Vec<Node> = (0..4).map(|_| instance("below", variant, &lower_addrs, 4)).collect();
    let upper: Vec<Upstream> = owns
        .iter()
        .map(|own| {
            let (own, tier, cores, calls) = (own.addr, tiers[0].clone(), Cores::new(16), AtomicUsize::new(0));
            let kept: Mutex<Vec<Client>> = Mutex::default();
            Upstream::with(UpstreamOptions::named(&format!("p{own}")), move |m: &Message| {
                let until = until(m);
                if !worked(&tier, &cores, WORK[0], until) {
                    return Step::declined();
                }
                let n = calls.fetch_add(1, SeqCst);
                let left = until.saturating_duration_since(Instant::now()).as_micros();
                let wait = if variant == Variant::Passed { format!("{left}u") } else { "300m".into() };
                let mut text = get(&format!("{}-{n}", m.header("req-id").unwrap_or("")), &wait);
                let fields = ["req-budget", "via", "req-retry"];
                for name in fields.into_iter().filter(|_| variant == Variant::Passed) {
                    if let Some(value) = m.header(name) {
                        // What is left is less by now.
                        let value = match name {
                            "req-budget" => value
                                .split(", ")
                                .filter(|p| !p.starts_with("left"))
                                .collect::<Vec<_>>()
                                .join(", "),
                            _ => value.to_string(),
                        };
                        text = with(&text, &format!("{name}: {value}"));
                    }
                }
                let taken = kept.lock().expect("no panic").pop();
                let Some(mut client) = taken.or_else(|| Client::connect(own)) else { return Step::Close };
                client.send(&text);
                let Some(answer) = client.answer() else { return Step::Close };
                kept.lock().expect("no panic").push(client);
                let used = answer.header("req-used").filter(|_| variant == Variant::Passed);
                let used = used.map(|used| format!("Req-Used: {used}\r\n")).unwrap_or_default();
                match answer.status() {
                    200 => Step::Answer(format!("HTTP/1.1 200 OK\r\n{used}Content-Length: 2\r\n\r\nok")),
                    _ => Step::Answer(format!("HTTP/1.1 500 Below\r\n{used}Content-Length: 0\r\n\r\n")),
                }
            })
        })
        .collect();
    let upper_addrs: Vec<SocketAddr> = upper.iter().map(|u| u.addr).collect();
    let fronts: Vec<Node> = (0..2).map(|_| instance("above", variant, &upper_addrs, 2)).collect();
    let addrs: Vec<SocketAddr> = fronts.iter().map(|n| n.addr).collect();
    let began = Instant::now();
    let ops: Vec<(f64, f64)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|k| (k, &addrs))
            .map(|(k, addrs)| scope.spawn(move || call(k, addrs, began)))
            .collect();
        let rest =
            |until: f64| std::thread::sleep(Duration::from_secs_f64(until).saturating_sub(began.elapsed()));
        rest(USUAL);
        slow.store(true, SeqCst);
        let usual = counts(&tiers);
        rest(USUAL + SLOW);
        slow.store(false, SeqCst);
        let during = counts(&tiers);
        COUNTS.lock().expect("no panic").replace((usual, during));
        callers.into_iter().flat_map(|c| c.join().expect("no panic")).collect()
    });
    let (usual, during) = COUNTS.lock().expect("no panic").take().expect("counted");
    let part = |from: f64, to: f64| {
        let all: Vec<f64> =
            ops.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, worth)| *worth).collect();
        (all.len() as f64, all.iter().sum::<f64>() / all.len().max(1) as f64)
    };
    let (n_usual, s_usual) = part(0.0, USUAL);
    let (n_slow, s_slow) = part(USUAL, USUAL + SLOW);
    let end = USUAL + SLOW + AFTER;
    let windows = (0..(AFTER * 4.0) as usize).map(|k| USUAL + SLOW + k as f64 / 4.0);
    let bad = windows.rev().find(|&from| part(from, from + 0.25).1 < 0.95 * s_usual);
    let per = |k: usize| [usual[k].0 as f64 / n_usual, (during[k].0 - usual[k].0) as f64 / n_slow];
    let wasted = |k: usize| (during[k].2 - usual[k].2) as f64 / (during[k].1 - usual[k].1).max(1) as f64;
    Result {
        attempts: [per(0), per(1)],
        wasted: [wasted(0), wasted(1)],
        service: [s_usual, s_slow, part(USUAL + SLOW, end).1],
        back: bad.map_or(0.0, |from| from + 0.25 - USUAL - SLOW),
    }
}

type Counts = [(usize, usize, usize); 2];
static COUNTS: Mutex<Option<(Counts, Counts)>> = Mutex::new(None);

fn counts(tiers: &[Arc<Tier>; 2]) -> Counts {
    [0, 1].map(|k| {
        let t = &tiers[k];
        (t.attempts.load(SeqCst), t.worked.load(SeqCst), t.wasted.load(SeqCst))
    })
}

/// One caller: operations at its pace, each with its tries; when each began, and what it was worth.
fn call(k: usize, addrs: &[SocketAddr], began: Instant) -> Vec<(f64, f64)> {
    let mut ops = Vec::new();
    let step = CALLERS as f64 / PER_S as f64;
    let mut client: Option<Client> = None;
    let mut at = step * k as f64 / CALLERS as f64;
    let mut n = 0;
    while at < USUAL + SLOW + AFTER {
        std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(began.elapsed()));
        let from = Instant::now();
        let mut worth = 0.0;
        for again in 0..4 {
            let left = (ALL - from.elapsed().as_secs_f64()).min(TRY);
            if left <= 0.01 {
                break;
            }
            n += 1;
            let id = format!("c{k}x{n}");
            let text = get(&id, &format!("{}m", (left * 1000.0) as u64));
            let text = if again > 0 { with(&text, "Req-Retry: 1") } else { text };
            let mut open = client.take().or_else(|| Client::connect(addrs[(k + n) % 2])).expect("up");
            open.send(&text);
            // The instance answers before its caller stops waiting.
            let answer = open.answer();
            let status = answer.map_or(0, |a| a.status());
            if status > 0 {
                client = Some(open);
            }
            if status == 200 {
                let took = from.elapsed().as_secs_f64();
                worth = if took <= WANTED {
                    1.0
                } else if took <= ALL {
                    0.3
                } else {
                    0.0
                };
                break;
            }
        }
        ops.push((at, worth));
        // One that is late goes on from now: callers wait for their own operation.
        at = (at + step).max(began.elapsed().as_secs_f64());
    }
    ops
}

fn spread(all: &[f64]) -> String {
    let mut all = all.to_vec();
    all.sort_by(f64::total_cmp);
    format!("{:.2} ({:.2} to {:.2})", all[all.len() / 2], all[0], all[all.len() - 1])
}

fn main() {
    let rounds = std::env::args().skip(1).find(|a| a != "--bench").map_or(2, |a| a.parse().expect("rounds"));
    println!("| slower | budgets | attempts above | attempts below | for nobody above | below | service usual | slow | after | back s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for slower in [1.5, 3.0, 10.0] {
        let variants =
            [(Variant::Off, "none"), (Variant::Alone, "not passed on"), (Variant::Passed, "passed on")];
        let mut all: Vec<Vec<Result>> = variants.iter().map(|_| Vec::new()).collect();
        for _ in 0..rounds {
            for (k, (variant, _)) in variants.iter().enumerate() {
                all[k].push(play(*variant, slower));
            }
        }
        for ((_, name), plays) in variants.iter().zip(&all) {
            let of = |f: &dyn Fn(&Result) -> f64| spread(&plays.iter().map(f).collect::<Vec<f64>>());
            println!(
                "| {slower} | {name} | {} | {} | {} | {} | {} | {} | {} | {} |",
                of(&|r| r.attempts[0][1]),
                of(&|r| r.attempts[1][1]),
                of(&|r| r.wasted[0]),
                of(&|r| r.wasted[1]),
                of(&|r| r.service[0]),
                of(&|r| r.service[1]),
                of(&|r| r.service[2]),
                of(&|r| r.back),
            );
        }
    }
}
