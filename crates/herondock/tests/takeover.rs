//! Listener handoff: a new process takes the listening sockets of a running one without failing a request.
mod common;
use common::*;
use std::ffi::OsStr;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use testkit::caller::{Caller, Operation};
use testkit::ledger::{Effect, Entry, Ledger};
use testkit::node::signal;
use testkit::plain::{call_during, PlainCaller};
use testkit::upstream::UpstreamOptions;

/// Stops the callers on drop, so that a panic in the code under load does not leave the test running for ever.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `act` while eight caller threads send requests, and checks that no connection attempt failed.
fn under_load<T>(ledger: &Arc<Ledger>, addr: std::net::SocketAddr, act: impl FnOnce() -> T) -> T {
    let (stop, unconnected) = (AtomicBool::new(false), std::sync::atomic::AtomicU64::new(0));
    let done = thread::scope(|scope| {
        for seed in 1..=8 {
            let (ledger, stop, unconnected) = (ledger, &stop, &unconnected);
            scope.spawn(move || {
                let classes = [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];
                let mut class_cycle = classes.iter().cycle();
                while !stop.load(Ordering::SeqCst) {
                    // Half of the callers open a new connection for every request.
                    let mut caller = Caller::new(ledger.clone(), seed);
                    caller.set_balancer("n1", addr);
                    for _ in 0..if seed % 2 == 0 { 1 } else { 50 } {
                        let Some(&(class, effect)) = class_cycle.next() else { return };
                        let deadline = Duration::from_secs(20);
                        caller.call(&Operation {
                            class: class.into(),
                            effect,
                            deadline,
                            ..Operation::default()
                        });
                    }
                    unconnected.fetch_add(caller.connect_failures(), Ordering::SeqCst);
                }
            });
        }
        let _stop = StopOnDrop(&stop);
        act()
    });
    // A caller retries a failed connect, so only this count shows the failure.
    assert_eq!(unconnected.into_inner(), 0, "connections failed");
    done
}

/// Starts an upstream that records in the ledger and serves each request in 2 ms.
fn start_recorded_upstream(ledger: &Arc<Ledger>) -> Upstream {
    let options = UpstreamOptions { ledger: Some(ledger.clone()), cores: 8, ..UpstreamOptions::named("u0") };
    Upstream::with(options, |_: &Message| {
        Step::Work(Duration::from_millis(2), testkit::message::ok_response("x"))
    })
}

/// Guards against a handoff that refuses, loses or duplicates a request or fails a connect: three processes in turn take
/// over one listener while half of the callers open a new connection for every request.
#[test]
fn listener_handoff_under_load_loses_no_request() {
    let ledger = Arc::new(Ledger::new());
    let upstream = start_recorded_upstream(&ledger);
    let (pid_file, socket) = (path(".pid"), path(".sock"));
    // A stale socket file, as a killed process leaves it.
    drop(std::os::unix::net::UnixListener::bind(&socket).expect("binds"));
    let args = ["--pid-file".as_ref(), pid_file.as_os_str(), "--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let addr = old.addr;
    // Besides the retrying callers, some that do not retry and so hide no failure: half write shortly after connecting.
    let max_idle_time = Duration::from_millis(20);
    let plain = [true, false].map(|keeps_connection| PlainCaller {
        addr,
        balancer: "n1",
        keeps_connection,
        max_idle_time,
    });
    let take_over = || {
        for _ in 0..3 {
            // It learns of upstreams only from its predecessor: discovery does not answer.
            let new = started(&args, "null");
            assert_eq!(new.addr, addr);
            assert!(old.wait().success());
            let log = old.log();
            assert!(!log.iter().any(|l| l.contains("unanswered") || l.contains("in time")), "{log:?}");
            assert_eq!(std::fs::read_to_string(&pid_file).expect("a pid file"), format!("{}\n", new.pid()));
            old = new;
        }
    };
    let callers = plain.map(|p| [p; 4]).concat();
    let ((), tally) = call_during(&callers, &ledger, || under_load(&ledger, addr, take_over));
    assert!(tally.failed() == 0 && tally.served > 50, "{tally:?}");
    assert_eq!(ledger.check(&figures()), []);
    let records = ledger.since(0);
    let refused = |e: &Entry| matches!(e, Entry::Answered { status: 429 | 502 | 503, .. });
    assert_eq!(records.iter().filter(|r| refused(&r.entry)).count(), 0);
    assert!(records.len() > 500, "{}", records.len());
}

/// Guards against a failed handoff that disturbs the running process: the successor is killed or stopped before it is ready.
#[test]
fn a_successor_that_never_becomes_ready_leaves_the_old_process_serving() {
    let ledger = Arc::new(Ledger::new());
    let upstream = start_recorded_upstream(&ledger);
    let socket = path(".sock");
    let args = ["--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let addr = old.addr;
    under_load(&ledger, addr, || {
        for signal_name in ["KILL", "TERM"] {
            // With other settings it takes no endpoint list from its predecessor, and discovery does not answer.
            let discovery = Discovery::start();
            let other =
                config(discovery.addr, 1024, "null").replace("\"idle_close\":60000", "\"idle_close\":50000");
            let mut command = command(&other);
            let mut new = command.arg("run").args(args).spawn().expect("starts");
            discovery.next_path();
            signal(new.id(), signal_name);
            let mut log = String::new();
            new.stderr.take().expect("its log").read_to_string(&mut log).expect("text");
            assert!(!log.contains("serving on"), "{log}");
            assert_eq!(new.wait().expect("it ends").success(), signal_name == "TERM");
        }
        old.wait_for_log("handoff to the successor failed");
    });
    assert_eq!(ledger.check(&figures()), []);
    assert_eq!(old.client().call(&get("after", "5000m")).status(), 200);
    // A process that gets SIGTERM while a successor waits stops as usual, and the successor gets the listener.
    let discovery = Discovery::start();
    let other = config(discovery.addr, 1024, "null").replace("\"idle_close\":60000", "\"idle_close\":50000");
    let mut next = command(&other);
    next.arg("run").args(args);
    let new = thread::spawn(move || Node::run(next, Discovery::start()));
    discovery.next_path();
    old.terminate();
    assert!(old.wait().success());
    let new = new.join().expect("it serves once its predecessor has ended");
    assert_eq!(new.addr, addr);
    discovery.answer(&known(&upstream));
    discovery.next_path();
    assert_eq!(new.client().call(&get("last", "5000m")).status(), 200);
}

/// Guards against handing over a listener whose address differs from the configuration, and against two successors at once.
#[test]
fn a_mismatched_or_concurrent_handoff_is_refused() {
    let upstream = Upstream::start(|_| ok("x"));
    let socket = path(".sock");
    let args = ["--takeover".as_ref(), socket.as_os_str()];
    let old = started(&args, &known(&upstream));
    let elsewhere = config(refusing(), 1024, "null").replace("127.0.0.1:0", "127.0.0.2:0");
    let output = command(&elsewhere).arg("run").args(args).output().expect("runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && log.contains("127.0.0.2"), "{log}");
    // The first successor waits for its endpoint list for ever; the second is refused with that reason.
    let discovery = Discovery::start();
    let other = config(discovery.addr, 1024, "null").replace("\"idle_close\":60000", "\"idle_close\":50000");
    let mut first = command(&other).arg("run").args(args).spawn().expect("starts");
    discovery.next_path();
    let output = command(&other).arg("run").args(args).output().expect("runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && log.contains("refused: another process"), "{log}");
    first.kill().expect("it runs");
    first.wait().expect("it ends");
    assert_eq!(old.client().call(&get("r", "5000m")).status(), 200);
}

/// Writes an operator's settings file with this text.
fn write_operator_file(text: &str) -> PathBuf {
    program().file(".toml", text)
}

fn options<'a>(operator: &'a Path, socket: &'a Path) -> [&'a OsStr; 4] {
    ["--operator".as_ref(), operator.as_os_str(), "--takeover".as_ref(), socket.as_os_str()]
}

/// Connections in every state in which no response is due, each with the part of its request that is still to be written.
struct PendingConnections(Vec<(Client, String)>);

impl PendingConnections {
    /// Opens `per_state` connections of each kind: new, kept alive, and both with a partial request head written. On return
    /// all are accepted and the written bytes have been read.
    fn open(node: &Node, per_state: usize) -> PendingConnections {
        let before = node.descriptors();
        let mut connections = Vec::new();
        for k in 0..4 * per_state {
            let mut client = node.client();
            if k % 2 == 0 {
                assert_eq!(client.call(&get(&format!("before-{k}"), "20000m")).status(), 200);
            }
            let text = pay(&format!("after-{k}"), "20000m");
            let written = if k % 4 < 2 { 0 } else { 40 + k % 50 };
            client.send(&text[..written]);
            connections.push((client, text[written..].to_string()));
        }
        node.wait_for_descriptors(|held| held >= before + 4 * per_state, "not all were accepted");
        // One thread reads all connections in order, so this response shows that the earlier bytes have been read.
        assert_eq!(node.client().call(&get("turn", "20000m")).status(), 200);
        PendingConnections(connections)
    }

    /// Writes the rest of each request and checks for a 200 with `Connection: close`.
    fn finish_all(self) {
        for (k, (mut client, rest)) in self.0.into_iter().enumerate() {
            client.send(&rest);
            let answer = client.answer();
            let seen = answer.map(|a| (a.status(), a.header("connection").map(str::to_string)));
            assert_eq!(seen, Some((200, Some("close".into()))), "connection {k}");
            assert!(client.answer().is_none(), "the connection closes");
        }
    }
}

/// Waits until the old process has completed the handoff: its single thread has run another turn of its event loop.
fn wait_for_handoff(old: &Node, mut turn: Client) {
    old.wait_for_log("handed the listening sockets off");
    let answer = turn.call(&get("round", "20000m"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}

/// Guards against closing new or idle connections at a handoff: a process serves the connections that it has accepted,
/// whichever process listens now.
#[test]
fn connections_accepted_before_a_handoff_are_served_after_it() {
    let upstream = Upstream::start(|_| ok("x"));
    let socket = path(".sock");
    let args = ["--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let pending = PendingConnections::open(&old, 50);
    let (turn, mut front) = (old.client(), old.client());
    let new = started(&args, "null");
    wait_for_handoff(&old, turn);
    // A front proxy that checks readiness on an old connection must not conclude that this address is shutting down.
    let ready = front.call("GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n");
    assert_eq!((ready.status(), ready.header("connection")), (200, Some("close")));
    pending.finish_all();
    assert!(old.wait().success(), "then the old process exits");
    assert_eq!(new.client().call(&get("new", "5000m")).status(), 200);
}

/// Guards against an old process that never exits because of callers that write nothing.
#[test]
fn an_old_process_with_silent_connections_exits_in_time() {
    let upstream = Upstream::start(|_| ok("x"));
    let (file, socket) = (
        write_operator_file("[limits]\nrequest_wait = \"300ms\"\n[daemon]\nhanded_over_silent = \"300ms\"\n"),
        path(".sock"),
    );
    let args = options(&file, &socket);
    let mut old = started(&args, &known(&upstream));
    let mut kept = old.client();
    assert_eq!(kept.call(&get("kept", "5000m")).status(), 200);
    let mut newcomer = old.client();
    let before = std::time::Instant::now();
    let _new = started(&args, "null");
    assert!(old.wait().success());
    assert!(before.elapsed() >= Duration::from_millis(300), "closed before handed_over_silent");
    assert!(kept.answer().is_none() && newcomer.answer().is_none());
    let log = old.log();
    assert!(!log.iter().any(|l| l.contains("at the end")), "shutdown was held up: {log:?}");
}

/// Guards against a close that crosses a request: a stopping process announces `Connection: close` in its responses before
/// it closes silent connections.
#[test]
fn a_stopping_process_announces_the_close_before_it_closes_silent_connections() {
    let upstream = Upstream::start(|_| ok("x"));
    let file = write_operator_file(
        "[daemon]\naccepting = \"0ms\"\nserving = \"20s\"\nannouncing = \"20s\"\nlast_answer = \"20s\"\nend = \"20s\"\n",
    );
    let args = ["--operator".as_ref(), file.as_os_str()];
    let mut node = started(&args, &known(&upstream));
    let pending = PendingConnections::open(&node, 10);
    node.terminate();
    node.wait_for_log("received a stop signal");
    pending.finish_all();
    assert!(node.wait().success(), "no connection is left");
    // Without an announcement period silent connections close at once, but a new connection without a request yet is served.
    let file = write_operator_file(
        "[daemon]\naccepting = \"0ms\"\nserving = \"0ms\"\nlast_answer = \"20s\"\nend = \"20s\"\n",
    );
    let mut node = started(&["--operator".as_ref(), file.as_os_str()], &known(&upstream));
    let mut kept = node.client();
    assert_eq!(kept.call(&get("kept", "5000m")).status(), 200);
    let mut newcomer = node.client();
    // This connection was opened later, so its response shows that the newcomer has been accepted.
    assert_eq!(node.client().call(&get("turn", "5000m")).status(), 200);
    node.terminate();
    assert!(kept.answer().is_none());
    let answer = newcomer.call(&get("late", "5000m"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(node.wait().success());
}
