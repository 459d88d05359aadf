//! The demo as a newcomer runs it, and as one who spoils it.
mod common;
use common::*;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

fn demo(descriptors: usize, args: &[&str]) -> Child {
    let mut shell = Command::new("sh");
    shell
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" demo \"$@\"")])
        .arg(program().path)
        .args(args);
    shell.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("starts")
}

/// Processes whose parent this is, by what the system lists.
fn children(of: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").expect("processes").flatten();
    let pids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|&pid| stat(pid).is_some_and(|(_, parent)| parent == of)).collect()
}

/// State and parent of a process; `None` once it is gone.
fn stat(pid: u32) -> Option<(String, u32)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    Some((fields.next()?.into(), fields.next()?.parse().ok()?))
}

/// Waits until these are gone; what nobody has reaped yet runs no more.
fn gone(pids: &[u32]) {
    let started = Instant::now();
    while pids.iter().any(|&pid| stat(pid).is_some_and(|(state, _)| state != "Z")) {
        assert!(started.elapsed() < TEST_TIMEOUT, "still there: {pids:?}");
        std::thread::yield_now();
    }
}

/// The demo once its instances serve, and they.
fn running() -> (Child, BufReader<std::process::ChildStdout>, Vec<u32>) {
    let mut child = demo(1024, &["--seconds", "600"]);
    let mut out = BufReader::new(child.stdout.take().expect("its output"));
    let mut line = String::new();
    out.read_line(&mut line).expect("a line");
    assert!(line.contains("3 of 3 balancers serve"), "{line}");
    let instances = children(child.id());
    assert_eq!(instances.len(), 3);
    (child, out, instances)
}

fn error(child: &mut Child) -> String {
    let mut text = String::new();
    child.stderr.take().expect("its errors").read_to_string(&mut text).expect("text");
    text
}

/// Two at once, each with few descriptors: they share nothing, and keep every rule.
#[test]
fn two_at_once_with_few_descriptors_keep_the_rules() {
    let both = [0, 1].map(|_| demo(256, &["--seconds", "6", "--json"]));
    for child in both {
        let output = child.wait_with_output().expect("it ends");
        let (out, log) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert!(output.status.success() && log.is_empty(), "{out}{log}");
        assert_eq!(out.lines().count(), 1, "nothing but the report: {out}");
        assert!(out.contains("\"lost\":0,\"refused\":") && out.contains("\"run_twice\":0,"), "{out}");
        let served: u64 = out
            .split_once("\"requests\":{")
            .and_then(|(_, rest)| rest.split_once("\"served\":"))
            .and_then(|(_, rest)| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
            .expect("a count");
        assert!(served > 100, "{out}");
    }
}

#[test]
fn interrupted_or_killed_it_leaves_no_process() {
    for (signal, status) in [("INT", Some(1)), ("TERM", Some(1)), ("KILL", None)] {
        let (mut child, _out, instances) = running();
        testkit::node::signal(child.id(), signal);
        assert_eq!(child.wait().expect("it ends").code(), status, "{signal}");
        gone(&instances);
    }
}

#[test]
fn it_ends_when_nobody_reads_its_output() {
    let (mut child, out, instances) = running();
    drop(out);
    assert_eq!(child.wait().expect("it ends").code(), Some(1));
    let error = error(&mut child);
    assert!(error.lines().count() == 1 && error.contains("standard output"), "{error}");
    gone(&instances);
}

#[test]
fn without_room_for_its_sockets_it_says_so() {
    let output = demo(16, &["--seconds", "3"]).wait_with_output().expect("it ends");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert_eq!(log.lines().count(), 1, "{log}");
}
