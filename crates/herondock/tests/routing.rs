//! Pools and routes over sockets: where requests go, ways round that lead nowhere, and tables that change under load.
mod common;
use common::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use testkit::caller::Caller;
use testkit::discovery::{ListedUpstream, Registry};
use testkit::ledger::Ledger;

const POOLS: &str = "[[pool]]\nname = \"main\"\ncells = [1]\n[[pool]]\nname = \"own\"\ncells = [2]\n";

/// A route that takes what no other does.
const REST: &str = "[[route]]\nname = \"rest\"\nprecedence = 100\nto = \"main\"\n";

/// Two clubs, and a window of 700 ms for keys.
fn settings(asked: SocketAddr) -> String {
    config(asked, 1024, "null")
        .replace(
            r#"[{"name":"club","share":1.0,"quota_per_s":5000}]"#,
            r#"[{"name":"club","share":0.5,"quota_per_s":5000},{"name":"ribera","share":0.5,"quota_per_s":5000}]"#,
        )
        .replace("\"repeat_window\":20000", "\"repeat_window\":700")
}

/// The files of an instance.
struct Files {
    operator: PathBuf,
    table: PathBuf,
    expect: PathBuf,
}

impl Files {
    fn new(table: &str, expect: &str, more: &str) -> Files {
        let (table, expect) = (program().file(".routes.toml", table), program().file(".expect.toml", expect));
        let name = |path: &Path| path.file_name().expect("a name").to_str().expect("text").to_string();
        let text = format!("{more}\n[routing]\ntable = {:?}\nexpect = [{:?}]\n", name(&table), name(&expect));
        Files { operator: program().file(".toml", &text), table, expect }
    }

    /// Replaces the table, whole.
    fn write(&self, table: &str) {
        let next = self.table.with_extension("next");
        std::fs::write(&next, table).and_then(|()| std::fs::rename(&next, &self.table)).expect("writes");
    }
}

/// An instance, and its upstreams by cell: number n is in cell n + 1.
fn started_with(files: &Files, upstreams: &[&Upstream]) -> Node {
    let registry = Registry::new(None);
    for (k, upstream) in upstreams.iter().enumerate() {
        let group = u32::try_from(k + 1).expect("few");
        registry.set(
            &format!("u{k}"),
            ListedUpstream { addr: upstream.addr, group, state: "active", started_ms: 0 },
        );
    }
    let mut command = command(&settings(registry.open_endpoint("n").expect("a port")));
    command.arg("run").arg("--operator").arg(&files.operator);
    let node = Node::run(command, Discovery::start());
    until("never ready", || node.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200);
    node
}

fn named(name: &'static str) -> Upstream {
    Upstream::start(move |_: &Message| ok(name))
}

fn request(id: &str, path: &str, club: &str, more: &str) -> String {
    get(id, "15000m")
        .replacen("/api/x?y=1", path, 1)
        .replacen("Req-Owner: club", &format!("Req-Owner: {club}"), 1)
        .replacen("\r\n\r\n", &format!("\r\n{more}\r\n").replace("\r\n\r\n\r\n", "\r\n\r\n"), 1)
        .replace("\r\n\r\n\r\n", "\r\n\r\n")
}

fn order(id: &str, key: &str, club: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: order\r\nReq-Owner: {club}\r\nReq-Deadline: 15000m\r\n\
         Idempotency-Key: {key}\r\nContent-Length: 0\r\n\r\n"
    )
}

fn answer(node: &Node, text: &str) -> (u16, String) {
    let answer = node.client().call(text);
    (answer.status(), String::from_utf8_lossy(&answer.body).trim().to_string())
}

fn reload(node: &Node) {
    let before = node.log().iter().filter(|l| l.contains("reloaded")).count();
    testkit::node::signal(node.pid(), "HUP");
    until("it does not read its files again", || {
        node.log().iter().filter(|l| l.contains("reloaded")).count() > before
    });
}

/// Each condition, by both fronts, and no way round: paths that others may read otherwise, and headers that are empty or there
/// twice.
#[test]
fn requests_go_where_the_table_says_and_there_is_no_way_round() {
    let (main, own) = (named("main"), named("own"));
    let table = format!(
        "{POOLS}{REST}
        [[route]]\nname = \"ribera\"\nprecedence = 1\nwhen = {{ club = [\"ribera\"] }}\nto = \"own\"
        [[route]]\nname = \"admin\"\nprecedence = 0\nwhen = {{ path = \"/api/admin/*\" }}\nrefuse = \"closed for the season\"
        [[route]]\nname = \"member\"\nprecedence = 2\nwhen = {{ path = \"/api/socios/{{id}}/dues\" }}\nto = \"own\"
        [[route]]\nname = \"host\"\nprecedence = 3\nwhen = {{ host = \"*.ribera.example\" }}\nto = \"own\"
        [[route]]\nname = \"canary\"\nprecedence = 4\nwhen = {{ headers = {{ x-canary = [\"1\"] }} }}\nto = \"own\"
        [[route]]\nname = \"fastcgi\"\nprecedence = 5\nwhen = {{ front = [\"fastcgi\"], class = [\"read\"] }}\nto = \"own\"
        "
    );
    let files = Files::new(&table, "", "[fastcgi]\nlisten = [\"127.0.0.1:0\"]");
    let node = started_with(&files, &[&main, &own]);
    for (path, club, more, wanted) in [
        ("/api/x", "club", "", (200, "main")),
        ("/api/x", "ribera", "", (200, "own")),
        ("/api/admin", "ribera", "", (503, "closed for the season")),
        ("/api/admin/a/b?c=d", "club", "", (503, "closed for the season")),
        ("/api/administrator", "club", "", (200, "main")),
        ("/api/socios/7/dues", "club", "", (200, "own")),
        ("/api/socios/7/dues/", "club", "", (200, "main")),
        ("/api/x", "club", "X-Canary: 1\r\n", (200, "own")),
        ("/api/x", "club", "X-Canary: 2\r\n", (200, "main")),
        ("/api/x", "club", "X-Canary:\r\n", (200, "main")),
        (
            "/api/x",
            "club",
            "X-Canary: 1\r\nX-Canary: 1\r\n",
            (400, "a header that routes go by is there several times"),
        ),
        ("/api/%61dmin", "club", "", (400, "the path has an escape that is none, or hides a character")),
        (
            "/api/x/%2e%2e/admin",
            "club",
            "",
            (400, "the path has an escape that is none, or hides a character"),
        ),
        ("/api/x/../admin", "club", "", (400, "the path has a segment . or ..")),
        ("/api//admin", "club", "", (400, "the path has an empty segment")),
        ("/api/admin;a=b", "club", "", (400, "the path has a ; in a segment")),
        ("/api/x%2fadmin", "club", "", (400, "the path has an escape that is none, or hides a character")),
    ] {
        let got = answer(&node, &request("r", path, club, more));
        assert_eq!((got.0, &*got.1), wanted, "{path} {club} {more}");
    }
    for (host, wanted) in [
        ("a.ribera.example", "own"),
        ("A.RIBERA.example.:8080", "own"),
        ("ribera.example", "main"),
        ("xribera.example", "main"),
    ] {
        let text = request("r", "/api", "club", "").replacen("service.internal", host, 1);
        assert_eq!(answer(&node, &text), (200, wanted.into()), "{host}");
    }
    // Two hosts, or one in the target beside another in the header, are none.
    for (from, to) in [
        ("Host: service.internal", "Host: service.internal\r\nHost: a.ribera.example"),
        ("GET /api", "GET http://a.ribera.example/api"),
    ] {
        let got = answer(&node, &request("r", "/api", "club", "").replacen(from, to, 1));
        assert_eq!(got, (400, "there are several hosts".into()));
    }
    // The same by the other front.
    let addr = PAIRINGS[2].addr(&node);
    for (path, status, body) in [
        ("/api/x", 200, "own"),
        ("/api/admin/x", 503, "closed for the season"),
        ("/api/%61dmin", 400, "the path has an escape that is none, or hides a character"),
        ("/api//admin", 400, "the path has an empty segment"),
    ] {
        let mut web = testkit::fastcgi::WebServer::connect(addr).expect("connects");
        let params = [
            ("REQUEST_METHOD", "GET"),
            ("REQUEST_URI", path),
            ("HTTP_REQ_ID", "f"),
            ("HTTP_REQ_KIND", "read"),
            ("HTTP_REQ_OWNER", "club"),
            ("HTTP_REQ_DEADLINE", "15000m"),
        ];
        web.send(&params, b"");
        match web.next_outcome() {
            Some((_, fastcgi::client::Outcome::Answered(head, text))) => {
                assert_eq!((head.status, String::from_utf8_lossy(&text).trim()), (status, body), "{path}");
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Pools by where their members come from: the platform's discovery, and the operator's own file. One that is empty at first
/// does not keep the instance from being ready.
#[test]
fn a_pool_is_told_of_its_own_sources_members_only() {
    let (listed, fixed) = (named("listed"), named("fixed"));
    let table = "[[pool]]\nname = \"empty\"\nmeta = { release = \"7\" }
        [[pool]]\nname = \"listed\"\nsources = [\"discovery\"]\n[[pool]]\nname = \"fixed\"\nsources = [\"static\"]
        [[route]]\nname = \"fixed\"\nwhen = { path = \"/api/fixed\" }\nto = \"fixed\"
        [[route]]\nname = \"empty\"\nwhen = { path = \"/api/empty\" }\nto = \"empty\"
        [[route]]\nname = \"rest\"\nprecedence = 9\nto = \"listed\"\n";
    let own = format!("[[static]]\nid = \"f\"\naddr = \"{}\"\nzone = \"a\"\nkind = \"m\"\n", fixed.addr);
    let node = started_with(&Files::new(table, "", &own), &[&listed]);
    // It is ready once it knows anybody: the other source may tell a moment later.
    until("both sources have told", || answer(&node, &request("r", "/api/x", "club", "")).0 == 200);
    until("both sources have told", || answer(&node, &request("r", "/api/fixed", "club", "")).0 == 200);
    for _ in 0..10 {
        assert_eq!(answer(&node, &request("r", "/api/x", "club", "")), (200, "listed".into()));
        assert_eq!(answer(&node, &request("r", "/api/fixed", "club", "")), (200, "fixed".into()));
    }
    assert_eq!(answer(&node, &request("r", "/api/empty", "club", "")).0, 503);
}

/// Guards against a wrong table that is applied, at the start or later: the failing expectation is named, and traffic goes on
/// by the last good one.
#[test]
fn a_wrong_table_is_rejected_before_it_is_applied() {
    let (main, own) = (named("main"), named("own"));
    let expect =
        "[[expect]]\nname = \"ribera stays apart\"\nwhen = { club = [\"ribera\"] }\nonly = [\"own\"]\n";
    let ribera = |to: &str| {
        format!(
            "{POOLS}{REST}[[route]]\nname = \"ribera\"\nwhen = {{ club = [\"ribera\"] }}\nto = \"{to}\"\n"
        )
    };
    let files = Files::new(&ribera("own"), expect, "");
    let node = started_with(&files, &[&main, &own]);
    let goes = || answer(&node, &request("r", "/api", "ribera", "")).1;
    assert_eq!(goes(), "own");
    for (table, wanted) in [
        (
            ribera("main"),
            "expect ribera stays apart: GET /x, class read, club ribera goes to main by route \"ribera\"",
        ),
        (ribera("gone"), "route ribera.to: there is no pool \"gone\""),
        (format!("{}x", ribera("own")), ".routes.toml: 15:2: "),
        (ribera("own").replace("\"ribera\"]", "\"nobody\"]"), "route ribera.club: there is no \"nobody\""),
    ] {
        files.write(&table);
        reload(&node);
        let line = node.log().into_iter().rev().find(|l| l.contains("reloaded")).expect("a line");
        assert!(line.starts_with("not reloaded: ") && line.contains(wanted), "{line}");
        assert_eq!(goes(), "own", "the last good one goes on");
        // And a start is refused in the same words.
        let config = settings(node.discovery.addr);
        let output =
            command(&config).arg("run").arg("--operator").arg(&files.operator).output().expect("runs");
        assert!(!output.status.success() && String::from_utf8_lossy(&output.stderr).contains(wanted));
    }
    // An expectation that names what is not there is an error too.
    std::fs::write(&files.expect, expect.replace("\"own\"", "\"lost\"")).expect("writes");
    files.write(&ribera("own"));
    reload(&node);
    assert!(node.log().iter().any(|l| l.contains("expect ribera stays apart: there is no pool \"lost\"")));
}

/// Guards against requests lost, run twice or sent to the wrong group while the table changes under them: pools renamed, split in
/// two and emptied, a hundred times, each as soon as the one before has served something.
#[test]
fn tables_that_change_under_load_break_no_rule() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let upstreams: Vec<Upstream> = (1..=2)
        .map(|group| {
            let name = format!("u{group}");
            let options = UpstreamOptions {
                ledger: Some(ledger.clone()),
                group,
                cores: 8,
                ..UpstreamOptions::named(&name)
            };
            let upstream = Upstream::with(options, |_: &Message| {
                Step::Work(std::time::Duration::from_millis(3), testkit::message::ok_response("x"))
            });
            registry
                .set(&name, ListedUpstream { addr: upstream.addr, group, state: "active", started_ms: 0 });
            upstream
        })
        .collect();
    let one = format!("{POOLS}{REST}");
    let renamed = one.replace("main", "renamed");
    let halves = "[[route]]\nname = \"rest\"\nsplit = { main = 5000, own = 5000 }\nsplit_by = \"club\"\n";
    let split = format!("{POOLS}{halves}");
    let empty = one.replace("cells = [1]", "cells = [9]");
    let files = Files::new(&one, "", "");
    let config = settings(registry.open_endpoint("n").expect("a port"))
        .replace("\"repeat_window\":700", "\"repeat_window\":20000");
    let mut command = command(&config);
    command.arg("run").arg("--operator").arg(&files.operator);
    let node = Node::run(command, Discovery::start());
    until("never ready", || node.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200);
    let (stop, changes) = (AtomicBool::new(false), AtomicUsize::new(0));
    let tables = [&renamed, &split, &one, &empty, &one];
    std::thread::scope(|scope| {
        let (stop, changes, files) = (&stop, &changes, &files);
        for seed in 1..=4 {
            let (ledger, addr) = (&ledger, node.addr);
            scope.spawn(move || {
                let mut caller = Caller::new(ledger.clone(), seed);
                caller.set_balancers(&[("n".to_string(), addr)]);
                // No keyed ones: after a change they are refused for the window, which the next test is about.
                let mut all = [CLASSES[0], CLASSES[2]].into_iter().cycle();
                while !stop.load(SeqCst) {
                    let Some((class, effect)) = all.next() else { return };
                    caller.call(&operation(class, effect));
                }
            });
        }
        for k in 0..100 {
            files.write(tables[k % tables.len()]);
            reload(&node);
            // As fast as something is served by each of them; by the empty pool nothing is.
            let before = ledger.since(0).len();
            until("nothing is served by it", || k % tables.len() == 3 || ledger.since(0).len() > before + 4);
            changes.fetch_add(1, SeqCst);
        }
        stop.store(true, SeqCst);
    });
    assert_eq!(ledger.check(&figures()), []);
    let ran = ledger.since(0).len();
    assert!(ran > 100 && changes.load(SeqCst) == 100, "{ran}");
    // Afterwards it serves by the last table as if nothing had been.
    files.write(&one);
    reload(&node);
    assert_eq!(answer(&node, &request("after", "/api", "club", "")).0, 200);
    drop(upstreams);
}

/// Guards against a repeat that leaves the group that drops it: a key that moves is refused until it is forgotten where it was.
#[test]
fn a_key_that_moves_waits_until_it_is_forgotten() {
    let (main, own) = (named("main"), named("own"));
    let moved = format!(
        "{POOLS}{REST}[[route]]\nname = \"ribera\"\nwhen = {{ club = [\"ribera\"] }}\nto = \"own\"\n"
    );
    let files = Files::new(&format!("{POOLS}{REST}"), "", "");
    let node = started_with(&files, &[&main, &own]);
    assert_eq!(answer(&node, &order("o1", "k1", "ribera")), (200, "main".into()));
    files.write(&moved);
    reload(&node);
    let changed = std::time::Instant::now();
    let refused = node.client().call(&order("o2", "k1", "ribera"));
    let after: f64 = refused.header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(9.0);
    assert!(refused.status() == 503 && after > 0.0 && after <= 0.7, "{refused:?}");
    // Who has no key moves at once, and who does not move is served on.
    assert_eq!(answer(&node, &request("r", "/api", "ribera", "")), (200, "own".into()));
    assert_eq!(answer(&node, &order("o3", "k2", "club")), (200, "main".into()));
    until("it is forgotten", || answer(&node, &order("o4", "k1", "ribera")) == (200, "own".into()));
    assert!(changed.elapsed() > std::time::Duration::from_millis(600));
}

/// A route tightens what its class allows, and a fall-back takes only what certainly has not run.
#[test]
fn routes_tighten_and_fall_back_only_before_anything_ran() {
    let count = Arc::new(AtomicUsize::new(0));
    let (asked, answers) = (count.clone(), Arc::new(AtomicUsize::new(0)));
    let mode = answers.clone();
    let main = Upstream::start(move |_: &Message| {
        asked.fetch_add(1, SeqCst);
        match mode.load(SeqCst) {
            0 => Step::declined(),
            1 => status("500 Broken"),
            _ => Step::Silent,
        }
    });
    let own = named("own");
    let route = |more: &str| format!("{POOLS}[[route]]\nname = \"all\"\nto = \"main\"\n{more}\n");
    let files = Files::new(&route("retry = false"), "", "");
    let node = started_with(&files, &[&main, &own]);
    let sent = |id: &str| {
        count.store(0, SeqCst);
        let got = answer(&node, &request(id, "/api", "club", ""));
        (got.0, got.1, count.load(SeqCst))
    };
    assert_eq!(sent("once"), (503, String::new(), 1));
    files.write(&route("attempts = 2"));
    reload(&node);
    assert_eq!(sent("twice"), (503, String::new(), 2));
    files.write(&route("attempts = 1\nfallback = \"own\""));
    reload(&node);
    assert_eq!(sent("declined"), (200, "own".into(), 1));
    answers.store(1, SeqCst);
    // It may have run: a read is refused, and a charge is failed; neither goes on to the fall-back.
    assert_eq!(sent("ran"), (503, String::new(), 1));
    assert_eq!(answer(&node, &pay("charge", "15000m")).0, 502);
    answers.store(2, SeqCst);
    files.write(&route("time = \"100ms\""));
    reload(&node);
    let from = std::time::Instant::now();
    assert_ne!(sent("slow").0, 200);
    assert!(from.elapsed() < std::time::Duration::from_secs(5), "its route's time, not its caller's");
    assert!(own.count_new_requests() <= 1);
}

fn herondock(args: &[&std::ffi::OsStr], config: &Path) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_herondock")).args(args).env("NODE_CONFIG", config).output();
    let output = output.expect("runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn the_command_line_checks_explains_and_tells_two_tables_apart() {
    let config = program().file(".json", &settings(([127, 0, 0, 1], 1).into()));
    let expect = "[[expect]]\nname = \"apart\"\nwhen = { club = [\"ribera\"] }\ncells = [2]\n";
    let moved = format!(
        "{POOLS}{REST}[[route]]\nname = \"ribera\"\nwhen = {{ club = [\"ribera\"] }}\nto = \"own\"\n"
    );
    let good = Files::new(&moved, expect, "");
    let bad = Files::new(&format!("{POOLS}{REST}"), expect, "");
    let check = |files: &Files| {
        herondock(&["check".as_ref(), files.operator.as_os_str(), config.as_os_str()], Path::new("/"))
    };
    assert!(check(&good).0);
    let (fine, text) = check(&bad);
    assert!(
        !fine
            && text.contains("expect apart: GET /x, class read, club ribera goes to main by route \"rest\""),
        "{text}"
    );
    let (fine, text) = herondock(&["check".as_ref(), good.operator.as_os_str()], Path::new("/"));
    assert!(!fine && text.contains("routing.table: name the platform's configuration"), "{text}");
    let explain = |more: &[&str]| {
        let first: [&std::ffi::OsStr; 4] =
            ["routes".as_ref(), "explain".as_ref(), "--operator".as_ref(), good.operator.as_os_str()];
        let all: Vec<&std::ffi::OsStr> = first.into_iter().chain(more.iter().map(AsRef::as_ref)).collect();
        herondock(&all, &config)
    };
    let (fine, text) =
        explain(&["--club", "ribera", "--class", "pay", "--method", "POST", "--path", "/api/x"]);
    assert!(
        fine && text.starts_with("route ribera (") && text.contains("pool own\nbefore route rest"),
        "{text}"
    );
    assert_eq!(
        explain(&["--path", "/a//b"]),
        (true, "rejected with 400: the path has an empty segment\n".into())
    );
    let (fine, text) = explain(&["--club", "nobody"]);
    assert!(!fine && text.contains("there is no club \"nobody\""), "{text}");
    let (fine, text) = herondock(
        &["routes".as_ref(), "diff".as_ref(), bad.operator.as_os_str(), good.operator.as_os_str()],
        &config,
    );
    assert!(fine && text.contains("main -> own: such as GET /x, class read, club ribera"), "{text}");
    assert!(
        text.contains("are refused until their keys are forgotten")
            && text.contains("expect apart holds now"),
        "{text}"
    );
    // The example is what it says: good beside a configuration that has its names.
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let operator =
        program().file(".toml", &format!("[routing]\ntable = {:?}\n", deploy.join("routes.example.toml")));
    let text = settings(([127, 0, 0, 1], 1).into())
        .replace("\"ribera\"", "\"club-ribera\"")
        .replace("\"pay\"", "\"pago-cuota\"");
    let config = program().file(".json", &text);
    let (fine, text) =
        herondock(&["check".as_ref(), operator.as_os_str(), config.as_os_str()], Path::new("/"));
    assert!(fine, "{text}");
}
