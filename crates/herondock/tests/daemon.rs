//! The process as a daemon: the stop with open requests, the pid file, the service manager, inherited listeners, and full
//! disks.
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

/// Gate that blocks upstream handlers until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
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

/// Guards against lost or additional answers at a stop: with two hundred requests open (in progress, pipelined, half sent or
/// without an answer from the upstream) each gets exactly one answer, and then the process exits.
#[test]
fn after_sigterm_all_200_open_requests_get_one_answer_each() {
    let gate = Gate::default();
    let upstream_gate = gate.clone();
    let arrived = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let upstream_count = arrived.clone();
    let upstream = Upstream::start(move |m: &Message| {
        upstream_count.fetch_add(1, Ordering::SeqCst);
        let id = m.header("req-id").unwrap_or("");
        if id.starts_with("hung") {
            return Step::Silent;
        }
        if !id.starts_with("second") {
            upstream_gate.wait();
        }
        ok(id)
    });
    let mut node = with(&[upstream.addr]);
    let open_clients = |count: usize, text: &dyn Fn(usize) -> String| -> Vec<Client> {
        (0..count).map(|k| node.client_with_request(&text(k))).collect()
    };
    // Half-sent requests go over connections that have served a request, which ensures that their first half is received.
    let split_request = |k: usize| {
        let text = pay(&format!("half-{k}"), "20000m");
        let (start, rest) = text.split_at(60 + k);
        (start.to_string(), rest.to_string())
    };
    let mut half_sent: Vec<Client> = open_clients(40, &|k| get(&format!("second-of-{k}"), "20000m"));
    for (k, client) in half_sent.iter_mut().enumerate() {
        assert_eq!(client.answer().expect("an answer").status(), 200);
        client.send(&split_request(k).0);
    }
    let wait_for_arrivals = |wanted: usize| {
        let started = std::time::Instant::now();
        while arrived.load(Ordering::SeqCst) < wanted {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{} of {wanted} requests reached the upstream",
                arrived.load(Ordering::SeqCst)
            );
            thread::yield_now();
        }
    };
    let mut plain = open_clients(80, &|k| pay(&format!("plain-{k}"), "20000m"));
    let mut pipelined =
        open_clients(40, &|k| pay(&format!("first-{k}"), "20000m") + &get(&format!("second-{k}"), "20000m"));
    let mut hung = open_clients(40, &|k| pay(&format!("hung-{k}"), "20000m"));
    wait_for_arrivals(80 + 40 + 40 + 40);
    node.terminate();
    node.wait_for_log("received a stop signal");
    half_sent.iter_mut().enumerate().for_each(|(k, client)| client.send(&split_request(k).1));
    wait_for_arrivals(80 + 40 + 40 + 40 + 40);
    // All requests have reached the upstream. Signals after the first change nothing.
    signal(node.pid(), "TERM");
    signal(node.pid(), "HUP");
    node.wait_for_log("ignored Stop, a shutdown is in progress");
    node.wait_for_log("ignored Reload, a shutdown is in progress");
    gate.open();
    let body =
        |client: &mut Client| String::from_utf8(client.answer().expect("an answer").body).expect("text");
    for (k, client) in plain.iter_mut().enumerate() {
        assert_eq!(body(client), format!("plain-{k}"));
    }
    for (k, client) in pipelined.iter_mut().enumerate() {
        assert_eq!((body(client), body(client)), (format!("first-{k}"), format!("second-{k}")));
    }
    for (k, client) in half_sent.iter_mut().enumerate() {
        assert_eq!(body(client), format!("half-{k}"));
    }
    for client in &mut hung {
        assert_eq!(client.answer().expect("an answer").status(), 502, "it may have run");
        assert!(client.answer().is_none(), "no second answer");
    }
    assert!(node.wait().success());
    let log = node.log();
    assert!(log.iter().any(|l| l.contains("40 requests had no answer in time")), "{log:?}");
}

#[test]
fn second_start_with_the_same_pid_file_names_the_holder() {
    let file = path(".pid");
    // A stale pid file with the id of a running process that is not a balancer.
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
    assert!(!file.exists(), "the holder removes its pid file at its exit");
}

/// Stand-in for a service manager: the notify socket and its path.
struct Manager(UnixDatagram, PathBuf);

impl Manager {
    fn start() -> Manager {
        let path = path(".notify");
        let socket = UnixDatagram::bind(&path).expect("binds");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        Manager(socket, path)
    }

    /// Waits for the next notification.
    fn next_notification(&self) -> String {
        let mut text = [0; 1024];
        let length = self.0.recv(&mut text).expect("a notification");
        String::from_utf8_lossy(&text[..length]).into_owned()
    }
}

/// Starts an instance with this service manager. `watchdog` is the watchdog timeout in microseconds.
fn start_managed(manager: &Manager, watchdog: Option<&str>, known: &str) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, known));
    command.env("NOTIFY_SOCKET", &manager.1);
    if let Some(timeout) = watchdog {
        command.env("WATCHDOG_USEC", timeout);
    }
    Node::run(command, discovery)
}

#[test]
fn service_manager_is_notified_of_each_state_change() {
    let upstream = Upstream::start(|_| ok("x"));
    let manager = Manager::start();
    let mut node = start_managed(&manager, None, "null");
    node.discovery.next_path();
    assert!(
        manager.0.set_nonblocking(true).is_ok() && manager.0.recv(&mut [0]).is_err(),
        "not ready before an upstream is known"
    );
    manager.0.set_nonblocking(false).expect("blocks again");
    node.discovery.answer(&known(&upstream));
    let ready = manager.next_notification();
    assert!(
        ready.contains("READY=1\n") && ready.contains(&format!("STATUS=serving on {}", node.addr)),
        "{ready}"
    );
    signal(node.pid(), "HUP");
    let reloading = manager.next_notification();
    assert!(reloading.starts_with("RELOADING=1\nMONOTONIC_USEC="), "{reloading}");
    assert!(manager.next_notification().starts_with("READY=1\n"));
    std::fs::write(&node.file, "{").expect("writes");
    signal(node.pid(), "HUP");
    manager.next_notification();
    let refused = manager.next_notification();
    assert!(refused.starts_with("READY=1\nSTATUS=not reloaded: "), "it continues to serve: {refused}");
    node.terminate();
    assert!(manager.next_notification().starts_with("STOPPING=1"));
    assert!(node.wait().success());
}

#[test]
fn watchdog_is_notified_and_a_manager_that_does_not_read_blocks_no_request() {
    let upstream = Upstream::start(|_| ok("x"));
    let manager = Manager::start();
    let node = start_managed(&manager, Some("2000"), &known(&upstream));
    assert!(manager.next_notification().contains("READY=1"));
    assert!(manager.next_notification().contains("WATCHDOG=1"));
    // From here on the notify socket is not read: it fills within a second, and requests are still served.
    let mut client = node.client();
    let is_full = || {
        let sent = UnixDatagram::unbound().and_then(|socket| {
            socket.set_nonblocking(true)?;
            socket.send_to(b"x", &manager.1)
        });
        sent.is_err()
    };
    let started = std::time::Instant::now();
    while !is_full() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the notify socket does not fill");
    }
    for k in 0..50 {
        assert_eq!(client.call(&get(&format!("r{k}"), "5000m")).status(), 200);
    }
    // A removed notify socket blocks no request either.
    std::fs::remove_file(&manager.1).expect("removes");
    assert_eq!(client.call(&get("last", "5000m")).status(), 200);
}

#[test]
fn inherited_listener_of_the_service_manager_is_used() {
    let upstream = Upstream::start(|_| ok("x"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    // The client connects and sends its request before the program starts.
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

/// Guards against a process that is killed by SIGXFSZ, or stops serving, because one of its files can't be written: the
/// saved endpoint list while it runs, and the pid file at its start.
#[test]
fn full_disk_is_logged_and_does_not_stop_serving() {
    let upstream = Upstream::start(|_| ok("x"));
    let (pid_file, saved) = (path(".pid"), path(".members"));
    let operator = format!("[registry]\nsaved = {saved:?}\nsaved_every = \"100ms\"\n");
    let operator = program().file(".toml", &operator);
    let discovery = Discovery::start();
    // The file size limit of 0 holds from the start and for all files; the log stays a pipe, to which the limit does not apply.
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -S -f 0; exec \"$0\" run \"$@\""]).arg(program().path);
    shell.arg("--operator").arg(&operator).arg("--pid-file").arg(&pid_file);
    shell.env("NODE_CONFIG", program().file(".json", &config(discovery.addr, 1024, "null")));
    shell.stdout(Stdio::null()).stderr(Stdio::piped());
    let mut node = Node::run(shell, discovery);
    node.wait_for_log("daemon.pid_file: ");
    assert_eq!(std::fs::read_to_string(&pid_file).expect("held"), "", "the process id could not be written");
    let second =
        command(&config(refusing(), 1024, "null")).arg("run").arg("--pid-file").arg(&pid_file).output();
    let second = String::from_utf8_lossy(&second.expect("runs").stderr).into_owned();
    assert!(second.contains(&format!("held by process {}", node.pid())), "{second}");

    // Each list has a further upstream, so that there is a change to save.
    let answer_with_list = |node: &Node, version: usize| {
        let servers = [(0, upstream.addr, "active"), (version, refusing(), "leaving")];
        node.discovery.answer(&upstream_list(version as u64, true, &servers));
    };
    answer_with_list(&node, 1);
    node.wait_for_log("not saved: File too large");
    let mut client = node.client();
    assert_eq!(client.call(&get("full", "5000m")).status(), 200);
    assert!(!saved.exists(), "no file, and no partial file");

    disk::remove_limit(node.pid()).expect("runs");
    answer_with_list(&node, 2);
    node.wait_for_log("saved again");
    let saved_bytes = std::fs::read(&saved).expect("saved");
    disk::limit_file_size(node.pid(), 10).expect("runs");
    answer_with_list(&node, 3);
    let logged_twice = || node.log().iter().filter(|l| l.contains("not saved: ")).count() == 2;
    until("the second failure is logged as well", logged_twice);
    assert_eq!(client.call(&get("again", "5000m")).status(), 200);
    assert_eq!(std::fs::read(&saved).expect("still there"), saved_bytes, "the previous file is unchanged");
    node.terminate();
    assert!(node.wait().success(), "{:?}", node.log());
}
