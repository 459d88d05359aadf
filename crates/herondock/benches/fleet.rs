//! A roll through thirty instances as their callers see it, with and without take-over.
//!
//! `cargo bench -p herondock --bench fleet [-- INSTANCES]`. A supervisor, its instances and four upstreams on this
//! machine; callers of all three classes in six threads, who ask a new connection first whether its balancer is ready;
//! and one plain caller for each instance, who hides nothing (every other one on new connections).
//! The platform's waits at the end (3.65 s at most) hold for a restart, so that a roll takes some minutes.
use hdrhistogram::Histogram;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testkit::caller::{Caller, Operation, Outcome};
use testkit::discovery::{ListedUpstream, Registry};
use testkit::ledger::{DedupScope, Effect, Ledger, RuleParameters};
use testkit::message::ok_response;
use testkit::node::{config, Program};
use testkit::plain::{call_during, PlainCaller, Tally as Plainly};
use testkit::upstream::{Step, Upstream, UpstreamOptions};

/// What callers met in one phase.
struct Met {
    took: Histogram<u64>,
    other: u64,
    tries: u64,
}

fn met() -> Met {
    let took = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    Met { took, other: 0, tries: 0 }
}

fn fleet(file: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_herondock"));
    command.arg("fleet").args(args).arg(file);
    command
}

fn status(file: &Path) -> String {
    let output = fleet(file, &["status", "--json"]).output().expect("runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// The numbers behind a key of the JSON, in order.
fn numbers(json: &str, key: &str) -> Vec<f64> {
    let mark = format!("\"{key}\":");
    json.split(&mark).skip(1).filter_map(|p| p.split([',', '}']).next()?.parse().ok()).collect()
}

fn load(ledger: &Arc<Ledger>, addrs: &[(String, SocketAddr)], act: impl FnOnce()) -> Met {
    let (stop, all) = (AtomicBool::new(false), Mutex::new(met()));
    std::thread::scope(|scope| {
        for seed in 1..=6 {
            let (stop, all) = (&stop, &all);
            scope.spawn(move || {
                let classes = [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];
                let mut caller = Caller::new(ledger.clone(), seed).with_readiness_check();
                caller.set_balancers(addrs);
                for (class, effect) in classes.into_iter().cycle() {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let deadline = Duration::from_secs(20);
                    let operation =
                        Operation { class: class.into(), effect, deadline, ..Operation::default() };
                    let done = caller.call(&operation);
                    let mut all = all.lock().expect("no panic");
                    all.tries += u64::from(done.attempts);
                    match done.outcome {
                        Outcome::Served { took } => all.took.saturating_record(took.as_micros() as u64),
                        _ => all.other += 1,
                    }
                }
            });
        }
        act();
        stop.store(true, Ordering::SeqCst);
    });
    all.into_inner().expect("no panic")
}

fn row(what: &str, met: &Met, plainly: &Plainly, length: Duration) {
    let ms = |q| met.took.value_at_quantile(q) as f64 / 1000.0;
    let served = met.took.len();
    println!(
        "| {what} | {:.0} | {served} | {} | {} | {:.1} | {:.1} | {:.1} | {} | {} | {} | {} | {} |",
        length.as_secs_f64(),
        met.tries - served - met.other.min(met.tries - served),
        met.other,
        ms(0.5),
        ms(0.99),
        ms(0.999),
        plainly.served,
        plainly.connect_failures,
        plainly.closed_unanswered,
        plainly.reset_on_reuse,
        plainly.other
    );
}

/// Starts four upstreams that record in the ledger, and lists them in the registry.
fn start_upstreams(ledger: &Arc<Ledger>, registry: &Registry) -> Vec<Upstream> {
    (0..4)
        .map(|k| {
            let options = UpstreamOptions {
                ledger: Some(ledger.clone()),
                cores: 8,
                ..UpstreamOptions::named(&format!("u{k}"))
            };
            let upstream =
                Upstream::with(options, |_| Step::Work(Duration::from_millis(5), ok_response("x")));
            registry.set(
                &format!("u{k}"),
                ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 },
            );
            upstream
        })
        .collect()
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let size: usize = args.first().map_or(30, |a| a.parse().expect("a number"));
    let folder: PathBuf =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = Program::new(env!("CARGO_BIN_EXE_herondock"), &folder);
    let ledger = Arc::new(Ledger::with_capacity(8 << 20));
    let registry = Registry::new(Some(ledger.clone()));
    let upstreams = start_upstreams(&ledger, &registry);
    let mut text = String::from("[fleet]\nfolder = \"run\"\nspread = \"10ms\"\n");
    let mut addrs = Vec::new();
    for k in 0..size {
        let ip = [127, 90, 1 + (k / 200) as u8, 1 + (k % 200) as u8];
        let addr =
            TcpListener::bind(SocketAddr::from((ip, 0))).and_then(|l| l.local_addr()).expect("an address");
        let asked = registry.open_endpoint(&format!("n{k}")).expect("a port");
        let numbers = format!("\"balancers\":{size},\"index\":{k}");
        let config = config(asked, 256, "null")
            .replace("\"balancers\":1,\"index\":0", &numbers)
            .replace("127.0.0.1:0", &addr.to_string());
        std::fs::write(folder.join(format!("n{k}.json")), config).expect("writes");
        text += &format!("[[instance]]\nname = \"n{k}\"\nconfig = \"n{k}.json\"\n");
        addrs.push((format!("n{k}"), addr));
    }
    let file = program.folder.join("fleet.toml");
    std::fs::write(&file, text).expect("writes");
    let started = Instant::now();
    let mut supervisor =
        fleet(&file, &[]).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("starts");
    while status(&file).matches("\"state\":\"ready\"").count() < size {
        assert!(started.elapsed() < Duration::from_secs(60), "the fleet does not become ready");
        std::thread::yield_now();
    }
    println!("{size} instances ready after {:.2} s\n", started.elapsed().as_secs_f64());
    println!(
        "| phase | s | served | refused or failed, then served | not served | p50 ms | p99 ms | p99.9 ms | plainly served \
         | not connected | cut off | closes crossed | other answers |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let plain: Vec<PlainCaller> = addrs
        .iter()
        .enumerate()
        .map(|(k, (_, addr))| PlainCaller {
            addr: *addr,
            balancer: "n",
            keeps_connection: k % 2 == 0,
            max_idle_time: Duration::from_millis(100),
        })
        .collect();
    let rest = || std::thread::sleep(Duration::from_secs(10));
    let roll = |command| {
        let done = fleet(&file, &[command]).stdout(Stdio::null()).status().expect("runs");
        assert!(done.success(), "{command}");
    };
    let phase = |what: &str, act: &dyn Fn()| {
        let from = Instant::now();
        let (met, plainly) = call_during(&plain, &ledger, || load(&ledger, &addrs, act));
        row(what, &met, &plainly, from.elapsed());
        let mut ready = numbers(&status(&file), "ready_ms");
        ready.sort_by(f64::total_cmp);
        (ready[0], ready[ready.len() / 2], ready[ready.len() - 1])
    };
    let start = phase("before", &rest);
    let take_over = phase("take-over", &|| roll("take-over"));
    phase("between", &rest);
    let restart = phase("restart", &|| roll("restart"));
    phase("after", &rest);
    println!("\nuntil ready, ms, least, median and most of the processes");
    for (what, (least, median, most)) in [
        ("from the first start", start),
        ("from the start of the one that takes over", take_over),
        ("from SIGTERM to the old one", restart),
    ] {
        println!("{what}: {least:.0}, {median:.0}, {most:.0}");
    }
    let json = status(&file);
    for (key, unit) in [("memory", 1e6), ("descriptors", 1.0)] {
        let mut all: Vec<f64> = numbers(&json, key).into_iter().map(|n| n / unit).collect();
        all.sort_by(f64::total_cmp);
        println!("\n{key}: {:.1} to {:.1}, median {:.1}", all[0], all[all.len() - 1], all[all.len() / 2]);
    }
    let figures = RuleParameters {
        scope: DedupScope::All,
        dedup_window: Duration::from_secs(20),
        ..RuleParameters::default()
    };
    println!("\nrules broken: {:?}", ledger.check(&figures));
    roll("stop");
    supervisor.wait().expect("it ends");
    drop(upstreams);
    std::fs::remove_dir_all(&folder).expect("removes");
}
