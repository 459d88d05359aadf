//! The demo: its report, signals, a closed output and too few descriptors.
mod common;
use common::*;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// Starts the demo with this limit of descriptors.
fn spawn_demo(descriptors: usize, args: &[&str]) -> Child {
    let mut shell = Command::new("sh");
    shell
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" demo \"$@\"")])
        .arg(program().path)
        .args(args);
    shell.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("starts")
}

/// Returns the child processes of `parent` that `/proc` lists.
fn children(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").expect("processes").flatten();
    let pids = entries.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|&pid| stat(pid).is_some_and(|(_, ppid)| ppid == parent)).collect()
}

/// Returns the state and the parent of a process, or `None` if the process no longer exists.
fn stat(pid: u32) -> Option<(String, u32)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    Some((fields.next()?.into(), fields.next()?.parse().ok()?))
}

/// Waits until these processes have exited. A zombie counts as exited.
fn wait_for_exit(pids: &[u32]) {
    let started = Instant::now();
    while pids.iter().any(|&pid| stat(pid).is_some_and(|(state, _)| state != "Z")) {
        assert!(started.elapsed() < TEST_TIMEOUT, "still running: {pids:?}");
        std::thread::yield_now();
    }
}

/// Starts the demo and waits until its instances serve. Returns the demo, its standard output and the ids of its instances.
fn start_demo() -> (Child, BufReader<std::process::ChildStdout>, Vec<u32>) {
    let mut child = spawn_demo(1024, &["--seconds", "600"]);
    let mut stdout = BufReader::new(child.stdout.take().expect("its output"));
    let mut line = String::new();
    stdout.read_line(&mut line).expect("a line");
    assert!(line.contains("3 of 3 balancers serve"), "{line}");
    let instances = children(child.id());
    assert_eq!(instances.len(), 3);
    (child, stdout, instances)
}

/// Returns what the demo wrote to standard error.
fn read_stderr(child: &mut Child) -> String {
    let mut text = String::new();
    child.stderr.take().expect("its errors").read_to_string(&mut text).expect("text");
    text
}

/// Guards against demos that interfere with each other or violate a rule when two run concurrently with few descriptors.
#[test]
fn two_concurrent_demos_with_few_descriptors_violate_no_rule() {
    let demos = [0, 1].map(|_| spawn_demo(256, &["--seconds", "6", "--json"]));
    for child in demos {
        let output = child.wait_with_output().expect("it ends");
        let (stdout, stderr) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert!(output.status.success() && stderr.is_empty(), "{stdout}{stderr}");
        assert_eq!(stdout.lines().count(), 1, "nothing but the report: {stdout}");
        assert!(
            stdout.contains("\"lost\":0,\"refused\":") && stdout.contains("\"run_twice\":0,"),
            "{stdout}"
        );
        let served: u64 = stdout
            .split_once("\"requests\":{")
            .and_then(|(_, rest)| rest.split_once("\"served\":"))
            .and_then(|(_, rest)| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
            .expect("a count");
        assert!(served > 100, "{stdout}");
    }
}

#[test]
fn interrupted_or_killed_demo_leaves_no_process() {
    for (signal, status) in [("INT", Some(1)), ("TERM", Some(1)), ("KILL", None)] {
        let (mut child, _stdout, instances) = start_demo();
        testkit::node::signal(child.id(), signal);
        assert_eq!(child.wait().expect("it ends").code(), status, "{signal}");
        wait_for_exit(&instances);
    }
}

#[test]
fn demo_ends_when_its_output_is_closed() {
    let (mut child, stdout, instances) = start_demo();
    drop(stdout);
    assert_eq!(child.wait().expect("it ends").code(), Some(1));
    let error = read_stderr(&mut child);
    assert!(error.lines().count() == 1 && error.contains("standard output"), "{error}");
    wait_for_exit(&instances);
}

#[test]
fn demo_reports_too_few_descriptors() {
    let output = spawn_demo(16, &["--seconds", "3"]).wait_with_output().expect("it ends");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}
