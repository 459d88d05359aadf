//! What routes cost: a match, a proof, a canary that grows, and a change of the table under load.
//!
//! `cargo bench -p herondock --bench routes`.
use route_table::cube::Query;
use route_table::expect::prove;
use route_table::spec::{
    Claim, Conditions, Destination, Expectation, KnownNames, Pool, Route, SourceLocation,
};
use route_table::split::choose;
use route_table::table::Table;
use std::hint::black_box;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testkit::caller::Client;
use testkit::discovery::{upstream_list, Discovery};
use testkit::message::get;
use testkit::node::{config, signal, Node, Program};
use testkit::upstream::{ok, Upstream, UpstreamOptions};

const CLUBS: usize = 100;
const ROUNDS: usize = 9;

fn place(line: usize) -> SourceLocation {
    SourceLocation { file: "routes.toml".into(), line }
}

fn world() -> KnownNames {
    KnownNames {
        classes: vec!["alta".into(), "pago".into()],
        clubs: (0..CLUBS).map(|k| format!("club-{k}")).collect(),
        keyed: vec![true, false],
        zones: Vec::new(),
        kinds: Vec::new(),
    }
}

/// So many routes: by club and path, and one for the rest.
fn table(routes: usize) -> Table {
    let pool = |name: &str| Pool {
        name: name.into(),
        place: place(1),
        cells: vec![1],
        zones: Vec::new(),
        kinds: Vec::new(),
        speaks: None,
        sources: Vec::new(),
        meta: Vec::new(),
    };
    let route = |k: usize, when: Conditions, precedence: i64| Route {
        name: format!("r{k}"),
        place: place(k),
        precedence,
        when,
        to: Destination::Pool(if k.is_multiple_of(2) { "a" } else { "b" }.into()),
        attempts: None,
        time_ms: None,
        fallback: None,
    };
    let one = |k: usize| {
        let path = Some(format!("/api/s{}/{{id}}/*", k / CLUBS));
        route(k, Conditions { clubs: vec![format!("club-{}", k % CLUBS)], path, ..Conditions::default() }, 1)
    };
    let all = (0..routes - 1).map(one).chain([route(routes, Conditions::default(), 9)]).collect();
    Table::new(world(), vec![pool("a"), pool("b")], all).expect("good")
}

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!("{:.1} ({:.1} to {:.1})", all[all.len() / 2], all[0], all[all.len() - 1])
}

fn memory(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    line.trim().trim_end_matches(" kB").trim().parse::<f64>().unwrap_or(0.0) / 1000.0
}

fn matching() {
    for routes in [10, 1000, 10_000] {
        let from = Instant::now();
        let table = table(routes);
        let built = from.elapsed();
        let paths: Vec<Vec<String>> = (0..64)
            .map(|k| vec!["api".into(), format!("s{}", k * routes / CLUBS / 64), format!("{k}"), "x".into()])
            .collect();
        let all: Vec<f64> = (0..ROUNDS)
            .map(|_| {
                let from = Instant::now();
                for k in 0..200_000_usize {
                    let path: [&str; 4] = std::array::from_fn(|n| paths[k % 64][n].as_str());
                    let header = |_: &str| None;
                    let (front, method, class, club, keyed) = (0, 0, k % 2, k % CLUBS, false);
                    let query = Query {
                        front,
                        method,
                        class,
                        club,
                        keyed,
                        host: &["x"],
                        path: &path,
                        header: &header,
                    };
                    black_box(table.route(&query).is_some());
                }
                from.elapsed().as_secs_f64() * 1e9 / 200_000.0
            })
            .collect();
        println!("{routes} routes: {} ns a match; checked and compiled in {built:.0?}", spread(all));
    }
}

fn proving() {
    let before = memory(std::process::id());
    let table = table(10_000);
    let held = memory(std::process::id()) - before;
    let expects: Vec<Expectation> = (0..1000)
        .map(|k| {
            let club = vec![format!("club-{}", k % CLUBS)];
            let (when, claim) = match k % 4 {
                0 => (Conditions { clubs: club, ..Conditions::default() }, Claim::Routed),
                1 => (
                    Conditions { clubs: club, ..Conditions::default() },
                    Claim::Only(vec!["a".into(), "b".into()]),
                ),
                2 => (Conditions { clubs: club, ..Conditions::default() }, Claim::Cells(vec![1])),
                _ => (
                    Conditions {
                        clubs: club,
                        path: Some(format!("/api/s{}/*", k / 10)),
                        ..Conditions::default()
                    },
                    Claim::Routed,
                ),
            };
            Expectation { name: format!("e{k}"), place: place(k), when, claim }
        })
        .collect();
    let all: Vec<f64> = (0..5)
        .map(|_| {
            let from = Instant::now();
            prove(&table, &expects).expect("all hold");
            from.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    let after = memory(std::process::id()) - before;
    println!("1,000 expectations over 10,000 routes: {} ms; the table holds {held:.0} MB, {after:.0} MB with the proofs", spread(all));
}

fn canary() {
    let at = |canary: u32, key: u32| {
        choose([("main", 10_000 - canary), ("canary", canary)].into_iter(), &key.to_le_bytes())
    };
    let keys = 1_000_000;
    let (mut came, mut left) = (0, 0);
    for key in 0..keys {
        match (at(500, key), at(1000, key)) {
            (Some(0), Some(1)) => came += 1,
            (Some(1), Some(0)) => left += 1,
            _ => {}
        }
    }
    let part = |n: u32| f64::from(n) * 100.0 / f64::from(keys);
    println!(
        "a canary from 5 to 10 %: {:.2} % of the keys move to it, {:.2} % away from it",
        part(came),
        part(left)
    );
}

/// Latency at 1,600 requests a second, with the table changed twice a second and without.
fn reloading() {
    let program = Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"));
    let upstream = Upstream::with(UpstreamOptions::named("u"), |_| ok("x"));
    let discovery = Discovery::start();
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let tables = [1, 2].map(|n| {
        let mut text = String::from("[[pool]]\nname = \"main\"\n[[route]]\nname = \"rest\"\nprecedence = 99999\nto = \"main\"\n");
        for k in 0..1000 {
            text += &format!("[[route]]\nname = \"r{k}\"\nprecedence = {n}\nwhen = {{ path = \"/api/s{k}/*\" }}\nto = \"main\"\n");
        }
        text
    });
    let file = program.file(".routes.toml", &tables[0]);
    let operator = program.file(".toml", &format!("[routing]\ntable = {file:?}\n"));
    let config =
        config(discovery.addr, 4096, &known).replace("\"quota_per_s\":5000", "\"quota_per_s\":1000000");
    let mut command = program.command(&config);
    command.arg("run").arg("--operator").arg(operator);
    let node = Node::run(command, discovery);
    let (addr, pid) = (node.addr, node.pid());
    for (what, changes) in [
        ("unchanged", false),
        ("changed twice a second", true),
        ("unchanged", false),
        ("changed twice a second", true),
    ] {
        let stop = AtomicBool::new(false);
        let mut took: Vec<f64> = std::thread::scope(|scope| {
            let stop = &stop;
            let callers: Vec<_> = (0..16)
                .map(|k| {
                    scope.spawn(move || {
                        let mut client = Client::connect(addr).expect("up");
                        let (began, mut took, mut n) = (Instant::now(), Vec::new(), 0);
                        while !stop.load(Ordering::Relaxed) {
                            let at = Duration::from_secs_f64((n as f64 + k as f64 / 16.0) / 100.0);
                            std::thread::sleep(at.saturating_sub(began.elapsed()));
                            let from = Instant::now();
                            assert_eq!(client.call(&get(&format!("c{k}x{n}"), "15000m")).status(), 200);
                            took.push(from.elapsed().as_secs_f64() * 1000.0);
                            n += 1;
                        }
                        took
                    })
                })
                .collect();
            for k in 0..12 {
                std::thread::sleep(Duration::from_millis(500));
                if changes {
                    std::fs::write(&file, &tables[(k + 1) % 2]).expect("writes");
                    signal(pid, "HUP");
                }
            }
            stop.store(true, Ordering::Relaxed);
            callers.into_iter().flat_map(|c| c.join().expect("no panic")).collect()
        });
        took.sort_by(f64::total_cmp);
        let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        println!(
            "{what}, 1,000 routes: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, most {:.2} ms of {}",
            at(0.5),
            at(0.99),
            at(0.999),
            at(1.0),
            took.len()
        );
    }
}

fn main() {
    matching();
    proving();
    canary();
    reloading();
}
