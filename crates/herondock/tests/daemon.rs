//! The process as a daemon: told to end with its hands full, the pid file, the service manager, and taking over.
mod common;
use common::*;
use std::io::Read;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;
use testkit::caller::{Caller, Operation};
use testkit::ledger::{Effect, Entry, Figures, Ledger, Scope};
use testkit::node::signal;
use testkit::upstream::Options;

/// Holds requests back until it is opened.
#[derive(Clone, Default)]
struct Dam(Arc<(Mutex<bool>, Condvar)>);

impl Dam {
    fn wait(&self) {
        let mut open = self.0 .0.lock().expect("no panic");
        while !*open {
            open = self.0 .1.wait(open).expect("no panic");
        }
    }

    fn open(&self) {
        *self.0 .0.lock().expect("no panic") = true;
        self.0 .1.notify_all();
    }
}

/// Two hundred requests open in every way there is: each gets its one answer, and then the process ends.
#[test]
fn told_to_end_with_two_hundred_open_requests_it_answers_each() {
    let dam = Dam::default();
    let behind = dam.clone();
    let arrived = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = arrived.clone();
    let upstream = Upstream::start(move |m: &Message| {
        count.fetch_add(1, Ordering::SeqCst);
        let id = m.header("req-id").unwrap_or("");
        if id.starts_with("hung") {
            return Then::Wait;
        }
        if !id.starts_with("second") {
            behind.wait();
        }
        ok(id)
    });
    let mut node = with(&[upstream.addr]);
    let many = |n: usize, text: &dyn Fn(usize) -> String| -> Vec<Client> {
        (0..n).map(|k| node.client_that_sent(&text(k))).collect()
    };
    // On connections that have been in use, so that what is half written there is on its way.
    let halves = |k: usize| {
        let text = pay(&format!("half-{k}"), "20000m");
        let (start, rest) = text.split_at(60 + k);
        (start.to_string(), rest.to_string())
    };
    let mut half: Vec<Client> = many(40, &|k| get(&format!("second-of-{k}"), "20000m"));
    for (k, client) in half.iter_mut().enumerate() {
        assert_eq!(client.answer().expect("an answer").status(), 200);
        client.send(&halves(k).0);
    }
    let arrived = |wanted: usize| {
        let started = std::time::Instant::now();
        while arrived.load(Ordering::SeqCst) < wanted {
            assert!(started.elapsed() < PATIENCE, "{} of {wanted}", arrived.load(Ordering::SeqCst));
            thread::yield_now();
        }
    };
    let mut plain = many(80, &|k| pay(&format!("plain-{k}"), "20000m"));
    let mut piped =
        many(40, &|k| pay(&format!("first-{k}"), "20000m") + &get(&format!("second-{k}"), "20000m"));
    let mut hung = many(40, &|k| pay(&format!("hung-{k}"), "20000m"));
    arrived(80 + 40 + 40 + 40);
    node.terminate();
    node.logs("told to end");
    half.iter_mut().enumerate().for_each(|(k, client)| client.send(&halves(k).1));
    arrived(80 + 40 + 40 + 40 + 40);
    // Every one is at the upstream by now, and a second signal changes nothing.
    signal(node.pid(), "TERM");
    signal(node.pid(), "HUP");
    node.logs("Stop comes too late");
    node.logs("Reload comes too late");
    dam.open();
    let body =
        |client: &mut Client| String::from_utf8(client.answer().expect("an answer").body).expect("text");
    for (k, client) in plain.iter_mut().enumerate() {
        assert_eq!(body(client), format!("plain-{k}"));
    }
    for (k, client) in piped.iter_mut().enumerate() {
        assert_eq!((body(client), body(client)), (format!("first-{k}"), format!("second-{k}")));
    }
    for (k, client) in half.iter_mut().enumerate() {
        assert_eq!(body(client), format!("half-{k}"));
    }
    for client in &mut hung {
        assert_eq!(client.answer().expect("an answer").status(), 502, "it may have run");
        assert!(client.answer().is_none(), "and nothing more");
    }
    assert!(node.wait().success());
    let log = node.log();
    assert!(log.iter().any(|l| l.contains("40 requests had no answer in time")), "{log:?}");
}

/// A path in a folder that tests may write to.
fn path(ending: &str) -> PathBuf {
    let path = program().file(ending, "");
    std::fs::remove_file(&path).expect("removes");
    path
}

fn known(upstream: &Upstream) -> String {
    listing(1, true, &[(0, upstream.addr, "active")])
}

/// A balancer with further arguments; discovery is silent.
fn started(args: &[&std::ffi::OsStr], known: &str) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, known));
    command.arg("run").args(args);
    Node::run(command, discovery)
}

#[test]
fn a_second_start_under_the_same_pid_file_is_refused_by_name() {
    let file = path(".pid");
    // A stale one, with the number of a process that runs and is no balancer.
    std::fs::write(&file, "1\n").expect("writes");
    let args = ["--pid-file".as_ref(), file.as_os_str()];
    let mut node = started(&args, "null");
    let output = command(&config(refusing(), 1024, "null")).arg("run").args(args).output().expect("runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        log.contains("daemon.pid_file") && log.contains(&format!("held by process {}", node.pid())),
        "{log}"
    );
    node.terminate();
    node.wait();
    assert!(!file.exists(), "it goes with its holder");
}

/// A stand-in for a service manager.
struct Manager(UnixDatagram, PathBuf);

impl Manager {
    fn start() -> Manager {
        let path = path(".notify");
        let socket = UnixDatagram::bind(&path).expect("binds");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Manager(socket, path)
    }

    fn told(&self) -> String {
        let mut text = [0; 1024];
        let n = self.0.recv(&mut text).expect("news");
        String::from_utf8_lossy(&text[..n]).into_owned()
    }
}

fn managed(manager: &Manager, watchdog: Option<&str>, known: &str) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, known));
    command.env("NOTIFY_SOCKET", &manager.1);
    if let Some(wait) = watchdog {
        command.env("WATCHDOG_USEC", wait);
    }
    Node::run(command, discovery)
}

#[test]
fn the_service_manager_hears_of_each_step() {
    let upstream = Upstream::start(|_| ok("x"));
    let manager = Manager::start();
    let mut node = managed(&manager, None, "null");
    node.discovery.called();
    assert!(
        manager.0.set_nonblocking(true).is_ok() && manager.0.recv(&mut [0]).is_err(),
        "no upstream is known yet"
    );
    manager.0.set_nonblocking(false).expect("blocks again");
    node.discovery.answer(&known(&upstream));
    let ready = manager.told();
    assert!(
        ready.contains("READY=1\n") && ready.contains(&format!("STATUS=serving on {}", node.addr)),
        "{ready}"
    );
    signal(node.pid(), "HUP");
    let reloading = manager.told();
    assert!(reloading.starts_with("RELOADING=1\nMONOTONIC_USEC="), "{reloading}");
    assert!(manager.told().starts_with("READY=1\n"));
    std::fs::write(&node.file, "{").expect("writes");
    signal(node.pid(), "HUP");
    manager.told();
    let refused = manager.told();
    assert!(refused.starts_with("READY=1\nSTATUS=not reloaded: "), "it serves on: {refused}");
    node.terminate();
    assert!(manager.told().starts_with("STOPPING=1"));
    assert!(node.wait().success());
}

#[test]
fn the_watchdog_is_fed_and_a_manager_that_does_not_read_holds_nothing_up() {
    let upstream = Upstream::start(|_| ok("x"));
    let manager = Manager::start();
    let node = managed(&manager, Some("2000"), &known(&upstream));
    assert!(manager.told().contains("READY=1"));
    assert!(manager.told().contains("WATCHDOG=1"));
    // From here on nobody reads: its socket fills within a second, and requests go on.
    let mut client = node.client();
    let filled = || {
        let one = UnixDatagram::unbound().and_then(|s| {
            s.set_nonblocking(true)?;
            s.send_to(b"x", &manager.1)
        });
        one.is_err()
    };
    let started = std::time::Instant::now();
    while !filled() {
        assert!(started.elapsed() < PATIENCE, "it never fills");
    }
    for k in 0..50 {
        assert_eq!(client.call(&get(&format!("r{k}"), "5000m")).status(), 200);
    }
    // And one that is missing is no matter either.
    std::fs::remove_file(&manager.1).expect("removes");
    assert_eq!(client.call(&get("last", "5000m")).status(), 200);
}

#[test]
fn a_listener_of_the_service_manager_is_used() {
    let upstream = Upstream::start(|_| ok("x"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    // Connected, and written, before the program even starts.
    let mut early = Client::connect(addr).expect("the system accepts");
    early.send(&get("early", "15000m"));
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, &known(&upstream)).replace("127.0.0.1:0", &addr.to_string());
    let mut shell = Command::new("sh");
    let exec = "LISTEN_PID=$$ LISTEN_FDS=1 exec \"$0\" 3<&0 0</dev/null";
    shell.args(["-c", exec]).arg(program().path).env("NODE_CONFIG", program().file(".json", &config));
    shell.stdin(OwnedFd::from(listener)).stdout(Stdio::null()).stderr(Stdio::piped());
    let node = Node::run(shell, discovery);
    assert_eq!(node.addr, addr);
    assert_eq!(early.answer().expect("an answer").status(), 200);
}

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
                    caller.reach("n1", addr);
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
                    unconnected.fetch_add(caller.unconnected(), Ordering::SeqCst);
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

fn figures() -> Figures {
    Figures { scope: Scope::All, window: Duration::from_secs(20), ..Figures::default() }
}

fn kept(ledger: &Arc<Ledger>) -> Upstream {
    let options = Options { ledger: Some(ledger.clone()), cores: 8, ..Options::named("u0") };
    Upstream::with(options, |_: &Message| {
        Then::Work(Duration::from_millis(2), testkit::message::ok_text("x"))
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
    under_load(&ledger, addr, || {
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
    });
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
            discovery.called();
            signal(new.id(), how);
            let mut log = String::new();
            new.stderr.take().expect("its log").read_to_string(&mut log).expect("text");
            assert!(!log.contains("serving on"), "{log}");
            assert_eq!(new.wait().expect("it ends").success(), how == "TERM");
        }
        old.logs("came to nothing");
    });
    assert_eq!(ledger.check(&figures()), []);
    assert_eq!(old.client().call(&get("after", "5000m")).status(), 200);
    // Told to end while another asks: it ends as ever, and the other has the listener.
    let discovery = Discovery::start();
    let other = config(discovery.addr, 1024, "null").replace("\"idle_close\":60000", "\"idle_close\":50000");
    let mut next = command(&other);
    next.arg("run").args(args);
    let new = thread::spawn(move || Node::run(next, Discovery::start()));
    discovery.called();
    old.terminate();
    assert!(old.wait().success());
    let new = new.join().expect("it serves once its predecessor has ended");
    assert_eq!(new.addr, addr);
    discovery.answer(&known(&upstream));
    discovery.called();
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
    discovery.called();
    let output = command(&other).arg("run").args(args).output().expect("runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && log.contains("refused: another process"), "{log}");
    first.kill().expect("it runs");
    first.wait().expect("it ends");
    assert_eq!(old.client().call(&get("r", "5000m")).status(), 200);
}
