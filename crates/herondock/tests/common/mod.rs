//! A balancer under test between small fakes: callers, upstreams and discovery, on ephemeral loopback ports.
//! Everything waits for what it needs to have happened; [`PATIENCE`] only ends a test that has failed.
#![allow(dead_code)]
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// A request or an answer as it came over a socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// Reads one message; `None` when the connection ended before its first byte.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if stream.read_line(&mut start).unwrap_or(0) == 0 {
        return None;
    }
    let mut message = Message { start: start.trim_end().into(), headers: Vec::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
            None => break,
        }
    }
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a fake upstream does with a request.
pub enum Then {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and closes the connection.
    AnswerAndClose(String),
    /// Closes the connection without an answer.
    Hang,
    /// Says nothing until the other side closes.
    Wait,
    /// Waits for a word on the channel, then answers.
    Hold(Receiver<()>, String),
}

pub fn ok(body: &str) -> Then {
    Then::Answer(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn status(line: &str) -> Then {
    Then::Answer(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

/// What a fake upstream saw.
#[derive(Debug)]
pub enum Seen {
    Request(Message),
    /// A connection has been closed, by either side.
    Closed,
}

pub struct Upstream {
    pub addr: SocketAddr,
    pub seen: Receiver<Seen>,
    pub connections: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn start(behave: impl Fn(&Message) -> Then + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let (behave, count) = (Arc::new(behave), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let (behave, tell) = (behave.clone(), tell.clone());
                thread::spawn(move || serve(stream, &*behave, &tell));
            }
        });
        Upstream { addr, seen, connections }
    }

    /// The next request.
    pub fn request(&self) -> Message {
        loop {
            match self.seen.recv_timeout(PATIENCE).expect("a request at the upstream") {
                Seen::Request(m) => return m,
                Seen::Closed => {}
            }
        }
    }

    /// Waits until a connection has been closed.
    pub fn closed(&self) {
        while !matches!(self.seen.recv_timeout(PATIENCE).expect("a closed connection"), Seen::Closed) {}
    }

    /// How many further requests have come.
    pub fn further(&self) -> usize {
        self.seen.try_iter().filter(|s| matches!(s, Seen::Request(_))).count()
    }
}

fn serve(stream: TcpStream, behave: &dyn Fn(&Message) -> Then, tell: &Sender<Seen>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream) {
        let then = behave(&request);
        let _ = tell.send(Seen::Request(request));
        match then {
            Then::Answer(text) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
            Then::AnswerAndClose(text) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                break;
            }
            Then::Hang => break,
            Then::Wait => {}
            Then::Hold(word, text) => {
                let _ = word.recv_timeout(PATIENCE);
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
        }
    }
    drop(stream);
    let _ = tell.send(Seen::Closed);
}

/// An address that refuses connections.
pub fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

/// An address where connections never come up: its one place for a waiting connection is taken.
pub struct Unreachable {
    pub addr: SocketAddr,
    listener: socket2::Socket,
    waiting: Vec<socket2::Socket>,
}

impl Unreachable {
    pub fn start() -> Unreachable {
        let tcp =
            || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let listener = tcp();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("binds");
        listener.listen(0).expect("listens");
        let at = listener.local_addr().expect("an address");
        let mut waiting = Vec::new();
        // Connections come up until the queue is full; the first that does not shows that it is.
        loop {
            let next = tcp();
            let up = next.connect_timeout(&at, Duration::from_millis(300)).is_ok();
            waiting.push(next);
            if !up {
                break;
            }
            assert!(waiting.len() < 64, "the queue has no end");
        }
        let addr = at.as_socket().expect("an address");
        Unreachable { addr, listener, waiting }
    }
}

impl Unreachable {
    /// Lets connections come up after all, and returns the first that another made.
    pub fn reach(self) -> BufReader<TcpStream> {
        let port = |a: socket2::SockAddr| a.as_socket().expect("an address").port();
        let own: Vec<u16> = self.waiting.iter().filter_map(|s| s.local_addr().ok()).map(port).collect();
        loop {
            let (stream, from) = self.listener.accept().expect("accepts");
            if !own.contains(&port(from)) {
                let stream = TcpStream::from(stream);
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                return BufReader::new(stream);
            }
        }
    }
}

/// Discovery that gives one prepared answer for each call, in order, and is silent without one.
pub struct Discovery {
    pub addr: SocketAddr,
    pub calls: Receiver<Message>,
    answers: Sender<String>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (answers, prepared) = channel::<String>();
        let (tell, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(call) = read(&mut stream) {
                    let _ = tell.send(call);
                    let Ok(answer) = prepared.recv() else { return };
                    let _ = stream.get_mut().write_all(answer.as_bytes());
                    if answer.contains("Connection: close") {
                        break;
                    }
                }
            }
        });
        Discovery { addr, calls, answers }
    }

    pub fn answer(&self, body: &str) {
        self.answer_with("", body);
    }

    /// The same with further headers, each with its line end.
    pub fn answer_with(&self, headers: &str, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.answers.send(text).expect("discovery runs");
    }

    pub fn fail(&self) {
        let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        self.answers.send(text.into()).expect("discovery runs");
    }

    /// The next call's path.
    pub fn called(&self) -> String {
        let call = self.calls.recv_timeout(PATIENCE).expect("a call");
        call.start.split(' ').nth(1).expect("a path").into()
    }
}

/// A list in discovery's form: upstream `n` has id `s-n`.
pub fn listing(version: u64, full: bool, servers: &[(usize, SocketAddr, &str)]) -> String {
    let line = |&(n, addr, state): &(usize, SocketAddr, &str)| {
        format!(
            r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"m","cell":1,"state":"{state}","weight":1.0,
                "started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(line).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
}

pub fn config(discovery: SocketAddr, sockets: usize, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
        "settings":{{"balancers":1,"index":0,"membership_mode":"on_request","dcs":["a"],"kinds":["m"],
          "classes":[
            {{"name":"read","objective":1000,"deadline":20000,"effect":"free","late_worth":0.5}},
            {{"name":"order","objective":1000,"deadline":20000,"effect":"guarded","dedup_scope":"all",
              "repeat_window":20000,"late_worth":0.5}},
            {{"name":"pay","objective":1000,"deadline":20000,"effect":"single_shot","late_worth":0.5}}],
          "tenants":[{{"name":"club","share":1.0,"quota_per_s":5000}}],
          "permissions":{{"attempts_cap":5,"cancel":true,"retry_after":true,"max_retry_after":2000,
            "idle_close":60000}},
          "invariants":{{"cold_from":0.3,"ramp_time":9000,"tip_multiple":4,"drain_grace":1000}}}}}}"#
    )
}

/// A running balancer; killed when dropped.
pub struct Node {
    child: Child,
    /// Its configuration's file.
    pub file: std::path::PathBuf,
    pub addr: SocketAddr,
    /// Kept, so that it is silent and not gone.
    pub discovery: Discovery,
    log: Arc<Mutex<Vec<String>>>,
    reader: Option<thread::JoinHandle<()>>,
}

/// The balancer with this configuration.
pub fn command(config: &str) -> Command {
    prepared(config, Command::new(env!("CARGO_BIN_EXE_herondock")))
}

/// The same under a limit of descriptors that the configuration does not tell of.
pub fn limited_command(config: &str, descriptors: usize) -> Command {
    let mut shell = Command::new("sh");
    let exec = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_herondock"));
    shell.args(["-c", &exec]);
    prepared(config, shell)
}

fn prepared(config: &str, mut command: Command) -> Command {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!("node-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("writes the configuration");
    command.env("NODE_CONFIG", path).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

impl Node {
    /// A balancer that starts with this list.
    pub fn start(sockets: usize, known: &str) -> Node {
        let discovery = Discovery::start();
        let command = command(&config(discovery.addr, sockets, known));
        Node::run(command, discovery)
    }

    pub fn run(mut command: Command, discovery: Discovery) -> Node {
        let file = command.get_envs().find(|(name, _)| *name == "NODE_CONFIG").and_then(|(_, path)| path);
        let file = file.expect("a configuration").into();
        let mut child = command.spawn().expect("starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let addr = loop {
            let mut line = String::new();
            assert_ne!(log.read_line(&mut line).expect("a log line"), 0, "it ended at once");
            if let Some((_, addr)) = line.trim_end().split_once("serving on ") {
                break addr.parse().expect("an address");
            }
        };
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = lines.clone();
        let reader = thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                kept.lock().expect("no panic").push(line);
            }
        });
        Node { child, file, addr, discovery, log: lines, reader: Some(reader) }
    }

    /// A balancer that knows these upstreams, and whose discovery is silent.
    pub fn with(upstreams: &[SocketAddr]) -> Node {
        let servers: Vec<_> = upstreams.iter().enumerate().map(|(n, &a)| (n, a, "active")).collect();
        Node::start(1024, &listing(1, true, &servers))
    }

    /// What it has logged since it began to serve.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("no panic").clone()
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("its descriptors").count()
    }

    /// Waits until the number of its descriptors is as wanted.
    pub fn holds(&self, wanted: impl Fn(usize) -> bool, otherwise: &str) {
        let started = Instant::now();
        while !wanted(self.descriptors()) {
            assert!(started.elapsed() < PATIENCE, "{otherwise}");
            thread::yield_now();
        }
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration and has it read again.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("writes the configuration");
        self.signal("HUP");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("runs sh").success());
    }

    /// Waits for a line of the log with this in it.
    pub fn logs(&self, wanted: &str) {
        let started = Instant::now();
        while !self.log().iter().any(|line| line.contains(wanted)) {
            assert!(started.elapsed() < PATIENCE, "no line with {wanted:?} in {:?}", self.log());
            thread::yield_now();
        }
    }

    /// Waits until it has ended and its log is read.
    pub fn wait(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("it ends");
        if let Some(reader) = self.reader.take() {
            reader.join().expect("the log is read");
        }
        status
    }

    pub fn client(&self) -> Client {
        self.try_client().expect("connects")
    }

    /// A client that has sent this and not yet read an answer.
    pub fn client_that_sent(&self, text: &str) -> Client {
        let mut client = self.client();
        client.send(text);
        client
    }

    /// `None`: it does not listen any more.
    pub fn try_client(&self) -> Option<Client> {
        let stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Some(Client(BufReader::new(stream)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn send(&mut self, text: &str) {
        // A connection that was closed shows in the answer.
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// The next answer; `None` when the connection ended.
    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    pub fn call(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// A request that may be repeated.
pub fn get(id: &str, deadline: &str) -> String {
    format!(
        "GET /api/x?y=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\n\r\n"
    )
}

/// A request that must never run twice.
pub fn pay(id: &str, deadline: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: pay\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
