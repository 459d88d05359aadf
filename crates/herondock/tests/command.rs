//! The command line and the operator's file, as an operator meets them.
mod common;
use common::*;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn herondock(args: &[&str]) -> Output {
    Command::new(program().path).args(args).env_remove("NODE_CONFIG").output().expect("runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn exit_statuses_tell_wrong_usage_from_failure() {
    for (args, status) in [
        (&["--help"][..], 0),
        (&["--version"], 0),
        (&["demo", "--help"], 0),
        (&["odd"], 2),
        (&["--odd"], 2),
        (&["check"], 2),
        (&["demo", "--seconds", "0"], 2),
        (&["run", "--operator"], 2),
        // Nothing but these is a failure: no configuration, or none that can be read.
        (&[], 1),
        (&["run"], 1),
        (&["check", "/nowhere.toml"], 1),
    ] {
        let output = herondock(args);
        assert_eq!(output.status.code(), Some(status), "{args:?}: {output:?}");
        assert_eq!(
            output.stderr.is_empty(),
            status == 0,
            "{args:?}: faults go to standard error, help does not"
        );
    }
    let nothing = herondock(&[]);
    assert!(text(&nothing.stderr).starts_with("herondock: NODE_CONFIG: "), "no argument is run");
    assert!(text(&herondock(&["--version"]).stdout).starts_with("herondock "));
}

#[test]
fn check_names_every_fault_and_opens_no_socket() {
    let discovery = Discovery::start();
    // The address is taken: whoever listened on it would fail.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let listen = taken.local_addr().expect("an address").to_string();
    let good = config(discovery.addr, 1024, "null").replace("127.0.0.1:0", &listen);
    let file = |ending, content: &str| program().file(ending, content).display().to_string();
    let platform = file(".json", &good);
    let operator = file(".toml", "[limits]\nidle_wait = \"5s\"\n");
    let output = herondock(&["check", &platform, &operator]);
    assert_eq!((output.status.code(), text(&output.stderr)), (Some(0), String::new()));
    assert!(discovery.calls.try_recv().is_err(), "nobody called");
    let bad_platform = file(".json", &good.replace("\"tip_multiple\":4", "\"tip_multiple\":\"x\""));
    let bad_operator = file(".toml", "# a comment\n[limits]\nidle_wait = \"5 s\"\n");
    let output = herondock(&["check", &bad_platform, &operator, &bad_operator]);
    assert_eq!(output.status.code(), Some(1));
    let log = text(&output.stderr);
    let lines: Vec<&str> = log.lines().collect();
    assert!(lines[0].starts_with(&bad_platform) && lines[0].contains("tip_multiple"), "{log}");
    assert!(lines[1].starts_with(&format!("{bad_operator}:3:13: limits.idle_wait: ")), "{log}");
    assert!(lines[2].contains("2 of 3 files"), "{log}");
    assert_eq!(lines.len(), 3, "{log}");
}

/// A balancer with an operator's file.
fn operated(upstream: &Upstream, content: &str) -> (Node, PathBuf) {
    let discovery = Discovery::start();
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let file = program().file(".toml", content);
    let mut command = command(&config(discovery.addr, 1024, &known));
    command.args(["run", "--operator"]).arg(&file);
    (Node::run(command, discovery), file)
}

#[test]
fn the_operators_file_is_read_again_and_a_bad_one_changes_nothing() {
    let upstream = Upstream::start(|_| ok("x"));
    let (node, file) = operated(&upstream, "[limits]\nrequest_id = \"16B\"\n");
    let long = get("an-id-of-twenty-bytes", "5000m");
    let status = || node.client().call(&long).status();
    assert_eq!(status(), 400);
    let reload = |content: &str, wanted: &str| {
        std::fs::write(&file, content).expect("writes");
        testkit::node::signal(node.pid(), "HUP");
        node.wait_for_log(wanted);
    };
    reload("[limits]\nrequest_id = \"64B\"\n", "reloaded");
    assert_eq!(status(), 200);
    // Each of these would bring the old bound back if a part of it were taken.
    reload("[limits]\nrequest_id = \"16B\"\nodd = \"1s\"\n", ":3:1: ");
    reload("[limits]\nrequest_id = \"16B\"\nbody = \"1\"\n", ":3:8: limits.body: ");
    reload(
        "[limits]\nrequest_id = \"16B\"\nhead = \"32KiB\"\n",
        "limits.head: can't change while the program runs",
    );
    assert_eq!(status(), 200);
    std::fs::remove_file(&file).expect("removes");
    testkit::node::signal(node.pid(), "HUP");
    node.wait_for_log("No such file");
    assert_eq!(status(), 200);
}

#[test]
fn limits_of_the_operators_file_hold_at_the_sockets() {
    let upstream =
        Upstream::start(
            |m| if m.header("req-id") == Some("large") { ok(&"x".repeat(3000)) } else { ok("x") },
        );
    let (node, _) = operated(&upstream, "[limits]\nbody = \"2KiB\"\nhead = \"8KiB\"\nidle_wait = \"50ms\"\n");
    let with_body = |n: usize| {
        let body = format!("Content-Length: {n}\r\n\r\n{}", "x".repeat(n));
        pay("r1", "5000m").replace("Content-Length: 4\r\n\r\nbody", &body)
    };
    assert_eq!(node.client().call(&with_body(2048)).status(), 200);
    assert_eq!(node.client().call(&with_body(2049)).status(), 413);
    // Larger than the bound: no answer that can be passed on, though it has run.
    assert_eq!(node.client().call(&pay("large", "5000m")).status(), 502);
    let long = format!("X-Long: {}\r\n\r\n", "x".repeat(20 << 10));
    assert_eq!(
        node.client().call(&get("r2", "5000m").replace("\r\n\r\n", &format!("\r\n{long}"))).status(),
        431
    );
    let mut rests = node.client();
    assert_eq!(rests.call(&get("r3", "5000m")).status(), 200);
    assert!(rests.answer().is_none(), "closed once it has rested");
}

#[test]
fn a_missing_or_bad_operators_file_ends_the_start() {
    let good = config(refusing(), 1024, "null");
    for (content, wanted) in [("[limits]\nbody = 3\n", ":2:8: limits.body: "), ("[limits", ":1:")] {
        let file = program().file(".toml", content);
        let output = command(&good).args(["run", "--operator"]).arg(&file).output().expect("runs");
        let log = text(&output.stderr);
        assert_eq!(output.status.code(), Some(1));
        assert!(log.lines().count() == 1 && log.contains(wanted), "{log}");
    }
}

/// Guards against ending, with all that it has taken, because nobody reads the log any more.
#[test]
fn it_goes_on_when_nobody_reads_its_log() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let mut child = command(&config(discovery.addr, 1024, &known)).spawn().expect("starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    drop(log);
    discovery.next_path();
    discovery.answer("no list at all");
    // It has logged that by the time it asks again.
    discovery.next_path();
    let mut client = Client::connect(addr).expect("connects");
    assert_eq!(client.call(&get("r1", "5000m")).status(), 200);
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}

/// Guards against instances that outlive the program that started them.
#[test]
fn with_a_lifeline_it_ends_with_its_standard_input() {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    let mut child = command.args(["run", "--lifeline"]).stdin(Stdio::piped()).spawn().expect("starts");
    let mut line = String::new();
    BufReader::new(child.stderr.as_mut().expect("its log")).read_line(&mut line).expect("a line");
    assert!(line.contains("serving on"), "{line}");
    drop(child.stdin.take());
    assert_eq!(child.wait().expect("it ends").code(), Some(1));
}

/// Guards against a supervisor that asks for leave for balancers that nobody in the council ever hears of, and against budgets
/// that can't be kept: both are found before anything runs.
#[test]
fn check_finds_what_agreed_outages_could_not_work_with() {
    let name = |path: &PathBuf| path.file_name().and_then(|n| n.to_str()).expect("a name").to_string();
    let council = "[council]\nvoters = [\"127.0.0.1:7801\"]\n";
    let platform = program().file(".json", &config(testkit::upstream::refusing(), 64, "null"));
    let (without, with) = (program().file(".toml", ""), program().file(".toml", council));
    for (operator, good) in [(&without, false), (&with, true)] {
        let text = format!(
            "[fleet]\nfolder = \"run\"\nmachine = \"m1\"\noperator = \"{}\"\n{council}[[instance]]\nname = \"n1\"\nconfig = \"{}\"\n",
            name(operator),
            name(&platform)
        );
        let file = program().file(".toml", &text);
        let output = herondock(&["check", file.to_str().expect("text")]);
        let said = text_of(&output);
        assert_eq!(output.status.success(), good, "{said}");
        assert!(good || said.contains("the operator's file of instance n1 has no [council]"), "{said}");
    }
    let budgets =
        format!("{council}[[budget]]\nname = \"b\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 0\n");
    let file = program().file(".toml", &budgets);
    let output = herondock(&["check", file.to_str().expect("text")]);
    let said = text_of(&output);
    assert!(!output.status.success() && said.contains("budget[0].most: is 0"), "{said}");
}

fn text_of(output: &Output) -> String {
    text(&output.stderr)
}
