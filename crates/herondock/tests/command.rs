//! The command line and the operator's file: exit statuses, error messages, reloads and limits.
mod common;
use common::*;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn run_herondock(args: &[&str]) -> Output {
    Command::new(program().path).args(args).env_remove("NODE_CONFIG").output().expect("runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn exit_statuses_distinguish_usage_errors_from_failures() {
    for (args, status) in [
        (&["--help"][..], 0),
        (&["--version"], 0),
        (&["demo", "--help"], 0),
        (&["odd"], 2),
        (&["--odd"], 2),
        (&["check"], 2),
        (&["demo", "--seconds", "0"], 2),
        (&["run", "--operator"], 2),
        // Failures, with status 1: the configuration is missing or can't be read.
        (&[], 1),
        (&["run"], 1),
        (&["check", "/nowhere.toml"], 1),
    ] {
        let output = run_herondock(args);
        assert_eq!(output.status.code(), Some(status), "{args:?}: {output:?}");
        assert_eq!(
            output.stderr.is_empty(),
            status == 0,
            "{args:?}: errors go to standard error, help does not"
        );
    }
    let without_arguments = run_herondock(&[]);
    assert!(
        text(&without_arguments.stderr).starts_with("herondock: NODE_CONFIG: "),
        "without arguments the default command is run"
    );
    assert!(text(&run_herondock(&["--version"]).stdout).starts_with("herondock "));
}

#[test]
fn check_reports_every_error_and_opens_no_socket() {
    let discovery = Discovery::start();
    // The address is in use: a listen on it would fail.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let listen = taken.local_addr().expect("an address").to_string();
    let valid_config = config(discovery.addr, 1024, "null").replace("127.0.0.1:0", &listen);
    let file = |ending, content: &str| program().file(ending, content).display().to_string();
    let platform = file(".json", &valid_config);
    let operator = file(".toml", "[limits]\nidle_wait = \"5s\"\n");
    let output = run_herondock(&["check", &platform, &operator]);
    assert_eq!((output.status.code(), text(&output.stderr)), (Some(0), String::new()));
    assert!(discovery.calls.try_recv().is_err(), "discovery was not called");
    let bad_platform = file(".json", &valid_config.replace("\"tip_multiple\":4", "\"tip_multiple\":\"x\""));
    let bad_operator = file(".toml", "# a comment\n[limits]\nidle_wait = \"5 s\"\n");
    let output = run_herondock(&["check", &bad_platform, &operator, &bad_operator]);
    assert_eq!(output.status.code(), Some(1));
    let log = text(&output.stderr);
    let lines: Vec<&str> = log.lines().collect();
    assert!(lines[0].starts_with(&bad_platform) && lines[0].contains("tip_multiple"), "{log}");
    assert!(lines[1].starts_with(&format!("{bad_operator}:3:13: limits.idle_wait: ")), "{log}");
    assert!(lines[2].contains("2 of 3 files"), "{log}");
    assert_eq!(lines.len(), 3, "{log}");
}

/// Starts a balancer with an operator's file of this content. Returns the balancer and the path of the file.
fn start_with_operator_file(upstream: &Upstream, content: &str) -> (Node, PathBuf) {
    let discovery = Discovery::start();
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let file = program().file(".toml", content);
    let mut command = command(&config(discovery.addr, 1024, &known));
    command.args(["run", "--operator"]).arg(&file);
    (Node::run(command, discovery), file)
}

#[test]
fn reload_applies_the_operators_file_and_an_invalid_one_changes_nothing() {
    let upstream = Upstream::start(|_| ok("x"));
    let (node, file) = start_with_operator_file(&upstream, "[limits]\nrequest_id = \"16B\"\n");
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
    // Each of these files would restore the old limit if it were applied in part.
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
fn limits_of_the_operators_file_are_enforced() {
    let upstream =
        Upstream::start(
            |m| if m.header("req-id") == Some("large") { ok(&"x".repeat(3000)) } else { ok("x") },
        );
    let (node, _) = start_with_operator_file(
        &upstream,
        "[limits]\nbody = \"2KiB\"\nhead = \"8KiB\"\nidle_wait = \"50ms\"\n",
    );
    let with_body = |n: usize| {
        let body = format!("Content-Length: {n}\r\n\r\n{}", "x".repeat(n));
        pay("r1", "5000m").replace("Content-Length: 4\r\n\r\nbody", &body)
    };
    assert_eq!(node.client().call(&with_body(2048)).status(), 200);
    assert_eq!(node.client().call(&with_body(2049)).status(), 413);
    // An answer above the limit can't be passed on, although the request has run.
    assert_eq!(node.client().call(&pay("large", "5000m")).status(), 502);
    let long = format!("X-Long: {}\r\n\r\n", "x".repeat(20 << 10));
    assert_eq!(
        node.client().call(&get("r2", "5000m").replace("\r\n\r\n", &format!("\r\n{long}"))).status(),
        431
    );
    let mut idle_client = node.client();
    assert_eq!(idle_client.call(&get("r3", "5000m")).status(), 200);
    assert!(idle_client.answer().is_none(), "closed after the idle time");
}

#[test]
fn invalid_operators_file_ends_the_start() {
    let valid_config = config(refusing(), 1024, "null");
    for (content, wanted) in [("[limits]\nbody = 3\n", ":2:8: limits.body: "), ("[limits", ":1:")] {
        let file = program().file(".toml", content);
        let output = command(&valid_config).args(["run", "--operator"]).arg(&file).output().expect("runs");
        let log = text(&output.stderr);
        assert_eq!(output.status.code(), Some(1));
        assert!(log.lines().count() == 1 && log.contains(wanted), "{log}");
    }
}

/// Guards against a process that exits, and drops its open requests, because the reader of its log is gone.
#[test]
fn serves_after_the_reader_of_its_log_is_gone() {
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
    // The rejected list is logged before the next call.
    discovery.next_path();
    let mut client = Client::connect(addr).expect("connects");
    assert_eq!(client.call(&get("r1", "5000m")).status(), 200);
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}

/// Guards against instances that outlive the program that started them, whose exit closes their standard input.
#[test]
fn lifeline_ends_the_process_when_its_standard_input_closes() {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    let mut child = command.args(["run", "--lifeline"]).stdin(Stdio::piped()).spawn().expect("starts");
    let mut line = String::new();
    BufReader::new(child.stderr.as_mut().expect("its log")).read_line(&mut line).expect("a line");
    assert!(line.contains("serving on"), "{line}");
    drop(child.stdin.take());
    assert_eq!(child.wait().expect("it ends").code(), Some(1));
}

/// Guards against a supervisor that requests leases for instances that never register with the council, and against budgets
/// that can never be met: `check` reports both before anything runs.
#[test]
fn check_reports_instances_without_council_and_unusable_budgets() {
    let name = |path: &PathBuf| path.file_name().and_then(|n| n.to_str()).expect("a name").to_string();
    let council = "[council]\nvoters = [\"127.0.0.1:7801\"]\n";
    let platform = program().file(".json", &config(testkit::upstream::refusing(), 64, "null"));
    let (without, with) = (program().file(".toml", ""), program().file(".toml", council));
    for (operator, is_valid) in [(&without, false), (&with, true)] {
        let text = format!(
            "[fleet]\nfolder = \"run\"\nmachine = \"m1\"\noperator = \"{}\"\n{council}[[instance]]\nname = \"n1\"\nconfig = \"{}\"\n",
            name(operator),
            name(&platform)
        );
        let file = program().file(".toml", &text);
        let output = run_herondock(&["check", file.to_str().expect("text")]);
        let stderr = stderr_text(&output);
        assert_eq!(output.status.success(), is_valid, "{stderr}");
        assert!(
            is_valid || stderr.contains("the operator's file of instance n1 has no [council]"),
            "{stderr}"
        );
    }
    let budgets =
        format!("{council}[[budget]]\nname = \"b\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 0\n");
    let file = program().file(".toml", &budgets);
    let output = run_herondock(&["check", file.to_str().expect("text")]);
    let stderr = stderr_text(&output);
    assert!(!output.status.success() && stderr.contains("budget[0].most: is 0"), "{stderr}");
}

fn stderr_text(output: &Output) -> String {
    text(&output.stderr)
}
