//! The process as a daemon: told to end with its hands full, the pid file, the service manager, and taking over.
mod common;
use common::*;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use testkit::faults::disk;
use testkit::node::signal;

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
            return Step::Silent;
        }
        if !id.starts_with("second") {
            behind.wait();
        }
        ok(id)
    });
    let mut node = with(&[upstream.addr]);
    let many = |n: usize, text: &dyn Fn(usize) -> String| -> Vec<Client> {
        (0..n).map(|k| node.client_with_request(&text(k))).collect()
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
            assert!(started.elapsed() < TEST_TIMEOUT, "{} of {wanted}", arrived.load(Ordering::SeqCst));
            thread::yield_now();
        }
    };
    let mut plain = many(80, &|k| pay(&format!("plain-{k}"), "20000m"));
    let mut piped =
        many(40, &|k| pay(&format!("first-{k}"), "20000m") + &get(&format!("second-{k}"), "20000m"));
    let mut hung = many(40, &|k| pay(&format!("hung-{k}"), "20000m"));
    arrived(80 + 40 + 40 + 40);
    node.terminate();
    node.wait_for_log("received a stop signal");
    half.iter_mut().enumerate().for_each(|(k, client)| client.send(&halves(k).1));
    arrived(80 + 40 + 40 + 40 + 40);
    // Every one is at the upstream by now, and a second signal changes nothing.
    signal(node.pid(), "TERM");
    signal(node.pid(), "HUP");
    node.wait_for_log("ignored Stop, a shutdown is in progress");
    node.wait_for_log("ignored Reload, a shutdown is in progress");
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
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
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
    node.discovery.next_path();
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
        assert!(started.elapsed() < TEST_TIMEOUT, "it never fills");
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

/// Guards against a process that is ended by SIGXFSZ, or stops serving, because a file of its can't be written: the view
/// while it runs, and the pid file at its start.
#[test]
fn on_a_full_disk_it_says_so_serves_on_and_ends_with_its_own_status() {
    let upstream = Upstream::start(|_| ok("x"));
    let (pid_file, saved) = (path(".pid"), path(".members"));
    let operator = format!("[registry]\nsaved = {saved:?}\nsaved_every = \"100ms\"\n");
    let operator = program().file(".toml", &operator);
    let discovery = Discovery::start();
    // Full from the start, also for its log, which goes on being a pipe.
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -S -f 0; exec \"$0\" run \"$@\""]).arg(program().path);
    shell.arg("--operator").arg(&operator).arg("--pid-file").arg(&pid_file);
    shell.env("NODE_CONFIG", program().file(".json", &config(discovery.addr, 1024, "null")));
    shell.stdout(Stdio::null()).stderr(Stdio::piped());
    let mut node = Node::run(shell, discovery);
    node.wait_for_log("daemon.pid_file: ");
    assert_eq!(std::fs::read_to_string(&pid_file).expect("held"), "", "no room for a number");
    let second =
        command(&config(refusing(), 1024, "null")).arg("run").arg("--pid-file").arg(&pid_file).output();
    let second = String::from_utf8_lossy(&second.expect("runs").stderr).into_owned();
    assert!(second.contains(&format!("held by process {}", node.pid())), "{second}");

    // Each time with another beside, so that there is something new to save.
    let list = |node: &Node, version: usize| {
        let servers = [(0, upstream.addr, "active"), (version, refusing(), "leaving")];
        node.discovery.answer(&upstream_list(version as u64, true, &servers));
    };
    list(&node, 1);
    node.wait_for_log("not saved: File too large");
    let mut client = node.client();
    assert_eq!(client.call(&get("full", "5000m")).status(), 200);
    assert!(!saved.exists(), "nothing, and no half of it");

    disk::remove_limit(node.pid()).expect("runs");
    list(&node, 2);
    node.wait_for_log("saved again");
    let whole = std::fs::read(&saved).expect("saved");
    disk::limit_file_size(node.pid(), 10).expect("runs");
    list(&node, 3);
    let again = || node.log().iter().filter(|l| l.contains("not saved: ")).count() == 2;
    until("the second fault is said as well", again);
    assert_eq!(client.call(&get("again", "5000m")).status(), 200);
    assert_eq!(std::fs::read(&saved).expect("still there"), whole, "the old one stands");
    node.terminate();
    assert!(node.wait().success(), "{:?}", node.log());
}
