//! Take-overs of one instance as plain callers meet them, and what two processes hold meanwhile.
//!
//! `cargo bench -p herondock --bench takeover [-- TAKE-OVERS [OTHER-PROGRAM]]`. 24 callers who hide nothing, half on new
//! connections, half on kept ones; upstreams that work 20 ms; a take-over every 0.4 s. With another program (an older
//! build) both are played in turn, ten take-overs a play.
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::caller::Client;
use testkit::discovery::{upstream_list, Discovery};
use testkit::ledger::{DedupScope, Ledger, RuleParameters};
use testkit::message::{get, ok_response};
use testkit::node::{config, Node, Program};
use testkit::plain::{call_during, PlainCaller, Tally};
use testkit::upstream::{Step, Upstream, UpstreamOptions};

/// Take-overs of one play, and the time between two.
const PLAY: usize = 10;
const PAUSE: Duration = Duration::from_millis(400);
/// Connections that rest silently while two processes run.
const SILENT: usize = 200;

struct Way {
    program: Program,
    met: Tally,
    ready: Vec<Duration>,
    plays: Vec<u64>,
    broken: usize,
}

fn start(program: &Program, socket: &Path, known: &str) -> (Node, Duration) {
    let discovery = Discovery::start();
    let mut command = program.command(&config(discovery.addr, 1024, known));
    command.arg("run").arg("--takeover").arg(socket);
    let from = Instant::now();
    let node = Node::run(command, discovery);
    (node, from.elapsed())
}

fn upstream(ledger: &Arc<Ledger>) -> (Upstream, String) {
    let options = UpstreamOptions { cores: 32, ledger: Some(ledger.clone()), ..UpstreamOptions::named("u0") };
    let upstream = Upstream::with(options, |_| Step::Work(Duration::from_millis(20), ok_response("x")));
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    (upstream, known)
}

fn socket(folder: &Path) -> PathBuf {
    folder.join(format!("takeover-{}.sock", std::process::id()))
}

/// So many take-overs under load.
fn play(way: &mut Way, times: usize) {
    let socket = socket(&way.program.folder);
    let ledger = Arc::new(Ledger::with_capacity(1 << 20));
    let (_upstream, known) = upstream(&ledger);
    let (mut now, _) = start(&way.program, &socket, &known);
    let addr = now.addr;
    let plain = [true, false].map(|keeps_connection| PlainCaller {
        addr,
        balancer: "n1",
        keeps_connection,
        max_idle_time: Duration::from_millis(20),
    });
    let callers = plain.map(|p| [p; 12]).concat();
    let mut old = Vec::new();
    let ((), met) = call_during(&callers, &ledger, || {
        for _ in 0..times {
            std::thread::sleep(PAUSE);
            let (next, took) = start(&way.program, &socket, "null");
            way.ready.push(took);
            old.push(std::mem::replace(&mut now, next));
        }
        std::thread::sleep(PAUSE);
    });
    for mut node in old {
        assert!(node.wait().success(), "an old process failed: {:?}", node.log());
    }
    let figures = RuleParameters {
        scope: DedupScope::All,
        dedup_window: Duration::from_secs(20),
        ..RuleParameters::default()
    };
    way.broken += ledger.check(&figures).len();
    way.plays.push(met.failed());
    way.met += met;
}

/// Memory and descriptors of a process.
fn holds(node: &Node) -> (f64, usize) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    let kib: f64 = line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0.0);
    (kib * 1024.0 / 1e6, node.descriptors())
}

/// What both processes hold while connections rest silently on the old one, and how long it stays for them.
fn overlap(program: &Program) {
    let socket = socket(&program.folder);
    let (_upstream, known) = upstream(&Arc::new(Ledger::new()));
    let (mut old, _) = start(program, &socket, &known);
    let kept = |k| {
        let mut client = old.client();
        assert_eq!(client.call(&get(&format!("kept-{k}"), "10000m")).status(), 200);
        client
    };
    let _kept: Vec<Client> = (0..SILENT).map(kept).collect();
    let alone = holds(&old);
    let (new, _) = start(program, &socket, "null");
    let from = Instant::now();
    let (both, second) = (holds(&old), holds(&new));
    assert!(old.wait().success());
    println!(
        "\n{SILENT} kept connections rest silently: {:.1} MB and {} descriptors before; then {:.1} MB and {} in the old \
         process, for {:.1} s, and {:.1} MB and {} in the new one",
        alone.0,
        alone.1,
        both.0,
        both.1,
        from.elapsed().as_secs_f64(),
        second.0,
        second.1
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let times: usize = args.first().map_or(100, |a| a.parse().expect("a number"));
    let own = PathBuf::from(env!("CARGO_BIN_EXE_herondock"));
    let paths: Vec<PathBuf> = std::iter::once(own).chain(args.get(1).map(PathBuf::from)).collect();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let way = |path| Way {
        program: Program::new(path, folder),
        met: Tally::default(),
        ready: Vec::new(),
        plays: Vec::new(),
        broken: 0,
    };
    let mut ways: Vec<Way> = paths.iter().map(way).collect();
    for _ in 0..times.div_ceil(PLAY) {
        for way in &mut ways {
            play(way, PLAY);
        }
    }
    println!("| program | take-overs | served | cut off | closes crossed | not connected | other answers | failed a play | rules broken | start to serving ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (k, way) in ways.iter_mut().enumerate() {
        way.ready.sort();
        way.plays.sort_unstable();
        let (m, ms) = (way.met, |d: Duration| d.as_secs_f64() * 1000.0);
        let (least, most) = (way.plays[0], way.plays[way.plays.len() - 1]);
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {least} to {most} | {} | {:.1} ({:.1} to {:.1}) |",
            ["this", "other"][k],
            way.ready.len(),
            m.served,
            m.closed_unanswered,
            m.reset_on_reuse,
            m.connect_failures,
            m.other,
            way.broken,
            ms(way.ready[way.ready.len() / 2]),
            ms(way.ready[0]),
            ms(way.ready[way.ready.len() - 1])
        );
    }
    overlap(&ways[0].program);
    // What stands there was left by the last process, which was killed.
    drop(std::fs::remove_file(socket(folder)));
}
