//! Taking over: a new process has the listening socket of a running one, and its callers notice nothing.
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

/// Ends the callers, also when what was done meanwhile has failed: nothing would end the test otherwise.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Callers in threads until told to stop, each on as many connections as it likes.
fn under_load<T>(ledger: &Arc<Ledger>, addr: std::net::SocketAddr, act: impl FnOnce() -> T) -> T {
    let (stop, unconnected) = (AtomicBool::new(false), std::sync::atomic::AtomicU64::new(0));
    let done = thread::scope(|scope| {
        for seed in 1..=8 {
            let (ledger, stop, unconnected) = (ledger, &stop, &unconnected);
            scope.spawn(move || {
                let classes = [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];
                let mut all = classes.iter().cycle();
                while !stop.load(Ordering::SeqCst) {
                    // Half of them come anew for every request.
                    let mut caller = Caller::new(ledger.clone(), seed);
                    caller.set_balancer("n1", addr);
                    for _ in 0..if seed % 2 == 0 { 1 } else { 50 } {
                        let Some(&(class, effect)) = all.next() else { return };
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
        let _stop = Stop(&stop);
        act()
    });
    // A caller tries again where it can't connect, so that nothing else would show it.
    assert_eq!(unconnected.into_inner(), 0, "connections failed");
    done
}

fn kept(ledger: &Arc<Ledger>) -> Upstream {
    let options = UpstreamOptions { ledger: Some(ledger.clone()), cores: 8, ..UpstreamOptions::named("u0") };
    Upstream::with(options, |_: &Message| {
        Step::Work(Duration::from_millis(2), testkit::message::ok_response("x"))
    })
}

/// Three processes one after the other on one listener: nobody is refused, lost or served twice, and no connection
/// fails, though half of the callers connect anew for every request.
#[test]
fn a_new_process_takes_over_under_load_and_nobody_notices() {
    let ledger = Arc::new(Ledger::new());
    let upstream = kept(&ledger);
    let (file, socket) = (path(".pid"), path(".sock"));
    // Left behind by a process that was killed.
    drop(std::os::unix::net::UnixListener::bind(&socket).expect("binds"));
    let args = ["--pid-file".as_ref(), file.as_os_str(), "--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let addr = old.addr;
    // Besides callers that try again, some that hide nothing: half write a little after they have connected.
    let max_idle_time = Duration::from_millis(20);
    let plain = [true, false].map(|keeps_connection| PlainCaller {
        addr,
        balancer: "n1",
        keeps_connection,
        max_idle_time,
    });
    let take_over = || {
        for _ in 0..3 {
            // It knows no upstream but from its predecessor, and discovery says nothing.
            let new = started(&args, "null");
            assert_eq!(new.addr, addr);
            assert!(old.wait().success());
            let log = old.log();
            assert!(!log.iter().any(|l| l.contains("unanswered") || l.contains("in time")), "{log:?}");
            assert_eq!(std::fs::read_to_string(&file).expect("a pid file"), format!("{}\n", new.pid()));
            old = new;
        }
    };
    let callers = plain.map(|p| [p; 4]).concat();
    let ((), met) = call_during(&callers, &ledger, || under_load(&ledger, addr, take_over));
    assert!(met.failed() == 0 && met.served > 50, "{met:?}");
    assert_eq!(ledger.check(&figures()), []);
    let records = ledger.since(0);
    let refused = |e: &Entry| matches!(e, Entry::Answered { status: 429 | 502 | 503, .. });
    assert_eq!(records.iter().filter(|r| refused(&r.entry)).count(), 0);
    assert!(records.len() > 500, "{}", records.len());
}

#[test]
fn a_new_process_that_never_becomes_ready_changes_nothing() {
    let ledger = Arc::new(Ledger::new());
    let upstream = kept(&ledger);
    let socket = path(".sock");
    let args = ["--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let addr = old.addr;
    under_load(&ledger, addr, || {
        for how in ["KILL", "TERM"] {
            // Other settings: it learns nothing of its predecessor, and discovery is silent.
            let discovery = Discovery::start();
            let other =
                config(discovery.addr, 1024, "null").replace("\"idle_close\":60000", "\"idle_close\":50000");
            let mut command = command(&other);
            let mut new = command.arg("run").args(args).spawn().expect("starts");
            discovery.next_path();
            signal(new.id(), how);
            let mut log = String::new();
            new.stderr.take().expect("its log").read_to_string(&mut log).expect("text");
            assert!(!log.contains("serving on"), "{log}");
            assert_eq!(new.wait().expect("it ends").success(), how == "TERM");
        }
        old.wait_for_log("handoff to the successor failed");
    });
    assert_eq!(ledger.check(&figures()), []);
    assert_eq!(old.client().call(&get("after", "5000m")).status(), 200);
    // Told to end while another asks: it ends as ever, and the other has the listener.
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

/// Guards against a listener at another address than the configuration says, and against two who ask at once.
#[test]
fn a_take_over_that_does_not_fit_is_refused() {
    let upstream = Upstream::start(|_| ok("x"));
    let socket = path(".sock");
    let args = ["--takeover".as_ref(), socket.as_os_str()];
    let old = started(&args, &known(&upstream));
    let elsewhere = config(refusing(), 1024, "null").replace("127.0.0.1:0", "127.0.0.2:0");
    let output = command(&elsewhere).arg("run").args(args).output().expect("runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && log.contains("127.0.0.2"), "{log}");
    // The first waits for its list for ever; the second is told so.
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

/// An operator's file with this in it.
fn operator(text: &str) -> PathBuf {
    program().file(".toml", text)
}

fn options<'a>(operator: &'a Path, socket: &'a Path) -> [&'a OsStr; 4] {
    ["--operator".as_ref(), operator.as_os_str(), "--takeover".as_ref(), socket.as_os_str()]
}

/// Connections in every state in which one can be that owes no answer, each with the request that it has yet to write.
struct Quiet(Vec<(Client, String)>);

impl Quiet {
    /// `n` of each: new ones, kept ones, and both with half a head written. All are accepted, and what was written has
    /// been read.
    fn open(node: &Node, n: usize) -> Quiet {
        let before = node.descriptors();
        let mut all = Vec::new();
        for k in 0..4 * n {
            let mut client = node.client();
            if k % 2 == 0 {
                assert_eq!(client.call(&get(&format!("before-{k}"), "20000m")).status(), 200);
            }
            let text = pay(&format!("after-{k}"), "20000m");
            let written = if k % 4 < 2 { 0 } else { 40 + k % 50 };
            client.send(&text[..written]);
            all.push((client, text[written..].to_string()));
        }
        node.wait_for_descriptors(|held| held >= before + 4 * n, "not all were accepted");
        // Behind all that was written: one thread reads it in turn.
        assert_eq!(node.client().call(&get("turn", "20000m")).status(), 200);
        Quiet(all)
    }

    /// Each writes the rest of its request, and is answered and told that its connection closes.
    fn all_are_served(self) {
        for (k, (mut client, rest)) in self.0.into_iter().enumerate() {
            client.send(&rest);
            let answer = client.answer();
            let seen = answer.map(|a| (a.status(), a.header("connection").map(str::to_string)));
            assert_eq!(seen, Some((200, Some("close".into()))), "connection {k}");
            assert!(client.answer().is_none(), "and it closes");
        }
    }
}

/// Waits until the old process has done all that the hand-over asked of it: its one thread has come round once more.
fn handed_over(old: &Node, mut turn: Client) {
    old.wait_for_log("handed the listening sockets off");
    let answer = turn.call(&get("round", "20000m"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}

/// Guards against cutting off callers that connected an instant ago, or that rest: what a process has accepted it
/// serves, whoever listens now.
#[test]
fn whoever_has_connected_before_a_take_over_is_served_after_it() {
    let upstream = Upstream::start(|_| ok("x"));
    let socket = path(".sock");
    let args = ["--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let quiet = Quiet::open(&old, 50);
    let (turn, mut front) = (old.client(), old.client());
    let new = started(&args, "null");
    handed_over(&old, turn);
    // A front that asks on a connection from before must not take the address for one that is going.
    let ready = front.call("GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n");
    assert_eq!((ready.status(), ready.header("connection")), (200, Some("close")));
    quiet.all_are_served();
    assert!(old.wait().success(), "and then it ends");
    assert_eq!(new.client().call(&get("new", "5000m")).status(), 200);
}

/// Guards against an old process that stays for callers that never write.
#[test]
fn an_old_process_ends_in_time_though_nobody_writes() {
    let upstream = Upstream::start(|_| ok("x"));
    let (file, socket) = (
        operator("[limits]\nrequest_wait = \"300ms\"\n[daemon]\nhanded_over_silent = \"300ms\"\n"),
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
    assert!(before.elapsed() >= Duration::from_millis(300), "they had their time");
    assert!(kept.answer().is_none() && newcomer.answer().is_none());
    let log = old.log();
    assert!(!log.iter().any(|l| l.contains("at the end")), "nobody held it up: {log:?}");
}

/// Guards against a close that crosses what a caller writes: told to end, a process says first with its answers that
/// connections close.
#[test]
fn told_to_end_it_announces_the_close_before_it_closes_what_is_silent() {
    let upstream = Upstream::start(|_| ok("x"));
    let file = operator(
        "[daemon]\naccepting = \"0ms\"\nserving = \"20s\"\nannouncing = \"20s\"\nlast_answer = \"20s\"\nend = \"20s\"\n",
    );
    let args = ["--operator".as_ref(), file.as_os_str()];
    let mut node = started(&args, &known(&upstream));
    let quiet = Quiet::open(&node, 10);
    node.terminate();
    node.wait_for_log("received a stop signal");
    quiet.all_are_served();
    assert!(node.wait().success(), "nobody is left");
    // And where nothing is announced, what is silent closes at once; a caller that has yet to ask is served all the same.
    let file =
        operator("[daemon]\naccepting = \"0ms\"\nserving = \"0ms\"\nlast_answer = \"20s\"\nend = \"20s\"\n");
    let mut node = started(&["--operator".as_ref(), file.as_os_str()], &known(&upstream));
    let mut kept = node.client();
    assert_eq!(kept.call(&get("kept", "5000m")).status(), 200);
    let mut newcomer = node.client();
    // Accepted, for it is behind the other.
    assert_eq!(node.client().call(&get("turn", "5000m")).status(), 200);
    node.terminate();
    assert!(kept.answer().is_none());
    let answer = newcomer.call(&get("late", "5000m"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(node.wait().success());
}
