//! Upstreams that answer over real sockets as a test sets, and write into the ledger.
use crate::ledger::{ColdStart, Entry, Ledger};
use crate::message::{ok_response, read_with_head, Message};
use crate::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// Reaction of an upstream to a request.
pub enum Step {
    /// Writes this answer and keeps the connection.
    Answer(String),
    /// Writes this answer and closes the connection.
    AnswerAndClose(String),
    /// Writes this answer and resets the connection.
    AnswerAndReset(String),
    /// Closes the connection without an answer.
    Close,
    /// Sends nothing until the other side closes.
    Silent,
    /// Waits for a message on the channel, then answers.
    Hold(Receiver<()>, String),
    /// Works for this time on one of the cores, then answers; declines the request if the queue is full.
    Work(Duration, String),
    /// Writes this head, then so many pieces of one byte, each after this pause, and nothing more.
    Dribble {
        /// Complete head of the answer.
        head: String,
        /// Number of bytes of the body that are written.
        pieces: usize,
        /// Pause before each byte.
        interval: Duration,
    },
}

impl Step {
    /// Declines the request, which then has not run.
    pub fn declined() -> Step {
        Step::Answer(DECLINED.into())
    }

    /// Whether the request counts as executed: always, unless the answer declines it.
    fn executes(&self) -> bool {
        match self {
            Step::Answer(text) | Step::AnswerAndClose(text) => !declines(text),
            Step::AnswerAndReset(_)
            | Step::Close
            | Step::Silent
            | Step::Hold(..)
            | Step::Work(..)
            | Step::Dribble { .. } => true,
        }
    }
}

/// An answer that served the request.
pub fn ok(body: &str) -> Step {
    Step::Answer(ok_response(body))
}

/// An answer with this status code and reason, and no body.
pub fn status(line: &str) -> Step {
    Step::Answer(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

fn declines(answer: &str) -> bool {
    let head = answer.split("\r\n\r\n").next().unwrap_or("");
    head.lines().any(|line| line.eq_ignore_ascii_case("srv-declined: 1"))
}

/// An observation of an upstream.
#[derive(Debug)]
pub enum ObservedRequest {
    /// A complete request.
    Request(Message),
    /// A connection was closed by either side.
    Closed,
}

/// Settings of an upstream.
pub struct UpstreamOptions {
    /// Upstream id in discovery.
    pub name: String,
    /// Group of upstreams that share a deduplication store.
    pub group: u32,
    /// Ledger that it writes into.
    pub ledger: Option<Arc<Ledger>>,
    /// Number of requests that [`Step::Work`] processes at once.
    pub cores: usize,
    /// Number of requests that may wait for a core.
    pub queue: usize,
    /// Warm-up after its start, which affects the ledger's check and the time that work takes.
    pub cold: Option<ColdStart>,
    /// Whether it uses FastCGI instead of HTTP. Its answers are written as HTTP in both cases.
    pub fastcgi: bool,
    /// Maximum number of concurrent requests on a FastCGI connection; a value above 1 is advertised on
    /// request.
    pub max_concurrent: usize,
}

impl UpstreamOptions {
    /// One core, a queue of 64, group 0, warm, without a ledger.
    pub fn named(name: &str) -> UpstreamOptions {
        UpstreamOptions {
            name: name.into(),
            group: 0,
            ledger: None,
            cores: 1,
            queue: 64,
            cold: None,
            fastcgi: false,
            max_concurrent: 1,
        }
    }
}

/// Maximum number of observations that are sent to [`Upstream::seen`]; later ones are only counted. This
/// bounds the memory of a long test that reads none of them.
const MAX_OBSERVED: usize = 10_000;

struct Shared {
    options: UpstreamOptions,
    behaviour: Box<dyn Fn(&Message) -> Step + Send + Sync>,
    started: Instant,
    report: Sender<ObservedRequest>,
    observed: AtomicUsize,
    /// Number of requests that are processed or wait for a core, and number of those that are processed.
    jobs: Mutex<(usize, usize)>,
    core_freed: Condvar,
    killed: AtomicBool,
    streams: Mutex<Vec<Weak<TcpStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in for an upstream. It listens until it is killed or dropped.
pub struct Upstream {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Observations in order.
    pub seen: Receiver<ObservedRequest>,
    /// Number of connections accepted.
    pub connections: Arc<AtomicUsize>,
    listener: Arc<TcpListener>,
    shared: Arc<Shared>,
}

/// Stream of a connection, to which the upstream keeps a weak reference.
struct HeldConnection(Arc<TcpStream>);

impl Read for HeldConnection {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        (&*self.0).read(buf)
    }
}

impl Upstream {
    /// Starts an upstream without a ledger.
    pub fn start(behaviour: impl Fn(&Message) -> Step + Send + Sync + 'static) -> Upstream {
        Upstream::with(UpstreamOptions::named("s"), behaviour)
    }

    /// Starts an upstream on a free port.
    pub fn with(
        options: UpstreamOptions,
        behaviour: impl Fn(&Message) -> Step + Send + Sync + 'static,
    ) -> Upstream {
        Upstream::at(SocketAddr::from(([127, 0, 0, 1], 0)), options, behaviour).expect("a free port")
    }

    /// Starts an upstream at this address, like a process that restarts.
    ///
    /// # Errors
    /// The address is in use.
    pub fn at(
        addr: SocketAddr,
        options: UpstreamOptions,
        behaviour: impl Fn(&Message) -> Step + Send + Sync + 'static,
    ) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let (report, seen) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        if let (Some(ledger), Some(cold)) = (&options.ledger, options.cold) {
            ledger.write(Entry::Started { upstream: options.name.clone(), cold });
        }
        let shared = Arc::new(Shared {
            options,
            behaviour: Box::new(behaviour),
            started: Instant::now(),
            report,
            observed: AtomicUsize::new(0),
            jobs: Mutex::new((0, 0)),
            core_freed: Condvar::new(),
            killed: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let listener = Arc::new(listener);
        let (count, at, accepting) = (connections.clone(), shared.clone(), listener.clone());
        thread::spawn(move || {
            loop {
                let accepted = accepting.accept();
                if at.killed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok((stream, _)) = accepted else {
                    // Out of descriptors; tries to accept again.
                    thread::yield_now();
                    continue;
                };
                count.fetch_add(1, Ordering::SeqCst);
                let stream = Arc::new(stream);
                {
                    let mut streams = lock(&at.streams);
                    streams.retain(|s| s.strong_count() > 0);
                    streams.push(Arc::downgrade(&stream));
                }
                let at = at.clone();
                thread::spawn(move || serve(stream, &at));
            }
        });
        Ok(Upstream { addr, seen, connections, listener, shared })
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> Message {
        loop {
            match self.seen.recv_timeout(TEST_TIMEOUT).expect("a request at the upstream") {
                ObservedRequest::Request(m) => return m,
                ObservedRequest::Closed => {}
            }
        }
    }

    /// Waits until a connection has been closed.
    pub fn wait_for_close(&self) {
        while !matches!(
            self.seen.recv_timeout(TEST_TIMEOUT).expect("a closed connection"),
            ObservedRequest::Closed
        ) {}
    }

    /// Number of requests that have arrived since the last read.
    pub fn count_new_requests(&self) -> usize {
        self.seen.try_iter().filter(|s| matches!(s, ObservedRequest::Request(_))).count()
    }

    /// Number of requests in [`Step::Work`], processed or waiting for a core.
    pub fn work_in_progress(&self) -> usize {
        lock(&self.shared.jobs).0
    }

    /// Ends like a process that dies: connections are reset, and new ones are refused.
    pub fn kill(&self) {
        if self.shared.killed.swap(true, Ordering::SeqCst) {
            return;
        }
        // Stops listening at once and wakes the accepting thread.
        let _ = socket2::SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        for stream in lock(&self.shared.streams).drain(..).filter_map(|s| s.upgrade()) {
            let _ = reset_on_close(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Shared {
    fn report(&self, seen: ObservedRequest) {
        if self.observed.fetch_add(1, Ordering::SeqCst) < MAX_OBSERVED {
            let _ = self.report.send(seen);
        }
    }

    fn write(&self, entry: impl FnOnce(String) -> Entry) {
        if let Some(ledger) = &self.options.ledger {
            ledger.write(entry(self.options.name.clone()));
        }
    }

    /// Waits for a free core and works; returns `false` if the queue is full.
    fn work(&self, duration: Duration, begin: impl FnOnce()) -> bool {
        let mut jobs = lock(&self.jobs);
        if jobs.0 >= self.options.cores + self.options.queue {
            return false;
        }
        jobs.0 += 1;
        begin();
        while jobs.1 >= self.options.cores {
            jobs = self.core_freed.wait(jobs).unwrap_or_else(PoisonError::into_inner);
        }
        jobs.1 += 1;
        drop(jobs);
        let warmth = self.options.cold.map_or(1.0, |cold| {
            let done = self.started.elapsed().as_secs_f64() / cold.ramp.as_secs_f64().max(1e-9);
            (cold.initial_fraction + (1.0 - cold.initial_fraction) * done).clamp(0.01, 1.0)
        });
        // Sleeps instead of computing.
        thread::sleep(duration.div_f64(warmth));
        let mut jobs = lock(&self.jobs);
        (jobs.0, jobs.1) = (jobs.0 - 1, jobs.1 - 1);
        self.core_freed.notify_one();
        true
    }
}

/// Protocol on a connection of an upstream.
trait ServerProtocol {
    /// Reads the next request, and calls `head` as soon as its head has been read.
    fn read(&mut self, head: impl FnOnce(&Message)) -> Option<Message>;
    /// Writes an answer; `complete` states that nothing more follows.
    fn write(&mut self, text: &str, complete: bool) -> std::io::Result<()>;
    /// Makes the connection end with a reset when it is closed.
    fn reset_on_close(&self) -> std::io::Result<()>;
}

fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

struct Http(BufReader<HeldConnection>);

impl ServerProtocol for Http {
    fn read(&mut self, head: impl FnOnce(&Message)) -> Option<Message> {
        // Waits for the first bytes of a request.
        if !self.0.fill_buf().is_ok_and(|b| !b.is_empty()) {
            return None;
        }
        read_with_head(&mut self.0, head)
    }

    fn write(&mut self, text: &str, _: bool) -> std::io::Result<()> {
        (&*self.0.get_ref().0).write_all(text.as_bytes())
    }

    fn reset_on_close(&self) -> std::io::Result<()> {
        reset_on_close(&self.0.get_ref().0)
    }
}

fn serve(stream: Arc<TcpStream>, shared: &Arc<Shared>) {
    let requests = shared.options.max_concurrent;
    if shared.options.fastcgi && requests > 1 {
        serve_concurrently(crate::fastcgi::Responder::new(stream.clone(), requests), &stream, shared);
    } else if shared.options.fastcgi {
        serve_sequentially(crate::fastcgi::Responder::new(stream, 1), shared);
    } else {
        serve_sequentially(Http(BufReader::new(HeldConnection(stream))), shared);
    }
}

impl ServerProtocol for crate::fastcgi::Responder {
    fn read(&mut self, head: impl FnOnce(&Message)) -> Option<Message> {
        let message = self.request()?;
        head(&message);
        Some(message)
    }

    fn write(&mut self, text: &str, complete: bool) -> std::io::Result<()> {
        self.answer(text, complete)
    }

    fn reset_on_close(&self) -> std::io::Result<()> {
        reset_on_close(self.stream())
    }
}

/// Reads the next request and records its begin in the ledger.
fn next_request_of(peer: &mut impl ServerProtocol, shared: &Shared) -> Option<Message> {
    let begun = |head: &Message| {
        let request = head.header("req-id").unwrap_or("").to_string();
        shared.write(|upstream| Entry::Begun { upstream, request });
    };
    if shared.killed.load(Ordering::SeqCst) {
        return None;
    }
    peer.read(begun)
}

fn serve_sequentially(mut peer: impl ServerProtocol, shared: &Shared) {
    while next_request_of(&mut peer, shared).is_some_and(|message| serve_one(&mut peer, message, shared)) {}
    drop(peer);
    shared.report(ObservedRequest::Closed);
}

/// Serves each request in its own thread. A request that ends its connection ends it for all.
fn serve_concurrently(mut peer: crate::fastcgi::Responder, stream: &Arc<TcpStream>, shared: &Arc<Shared>) {
    while let Some(message) = next_request_of(&mut peer, shared) {
        let (mut peer, stream, shared) = (peer.clone(), stream.clone(), shared.clone());
        thread::spawn(move || {
            if !serve_one(&mut peer, message, &shared) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
    drop(peer);
    shared.report(ObservedRequest::Closed);
}

/// Applies the step of a request; returns `false` if the connection ends.
fn serve_one(peer: &mut impl ServerProtocol, message: Message, shared: &Shared) -> bool {
    let request = message.header("req-id").unwrap_or("").to_string();
    let action = (shared.behaviour)(&message);
    let executed = |work| {
        let group = shared.options.group;
        shared.write(|upstream| Entry::Executed { upstream, group, request, work });
    };
    let report = || shared.report(ObservedRequest::Request(message));
    if let Step::Work(time, text) = action {
        report();
        let was_run = shared.work(time, || executed(time));
        // A process that was killed meanwhile answers nothing.
        let killed = shared.killed.load(Ordering::SeqCst);
        return !killed && peer.write(if was_run { &text } else { DECLINED }, true).is_ok();
    }
    // Written before the answer, so that the ledger is complete for a reader of the answer.
    if action.executes() {
        executed(Duration::ZERO);
    }
    report();
    match action {
        Step::Answer(text) => drop(peer.write(&text, true)),
        Step::AnswerAndClose(text) => {
            let _ = peer.write(&text, false);
            return false;
        }
        Step::AnswerAndReset(text) => {
            let _ = peer.write(&text, false).and_then(|()| peer.reset_on_close());
            return false;
        }
        Step::Close => return false,
        Step::Dribble { head, pieces, interval } => return dribble(peer, &head, pieces, interval),
        Step::Silent | Step::Work(..) => {}
        Step::Hold(word, text) => {
            let _ = word.recv_timeout(TEST_TIMEOUT);
            let _ = peer.write(&text, true);
        }
    }
    true
}

/// Writes a head and then `pieces` bytes, one at a time; returns `false` if the connection ends.
fn dribble(peer: &mut impl ServerProtocol, head: &str, pieces: usize, interval: Duration) -> bool {
    peer.write(head, false).is_ok()
        && (0..pieces).all(|_| {
            thread::sleep(interval);
            peer.write("x", false).is_ok()
        })
}

/// Returns an address that refuses connections.
pub fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

/// An address where connections are never established, because the accept queue of length 1 is full.
pub struct Unreachable {
    /// Address of the listener.
    pub addr: SocketAddr,
    listener: socket2::Socket,
    waiting: Vec<socket2::Socket>,
}

impl Unreachable {
    /// Binds an address and fills its accept queue.
    pub fn start() -> Unreachable {
        let tcp =
            || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let listener = tcp();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("binds");
        listener.listen(0).expect("listens");
        let at = listener.local_addr().expect("an address");
        let mut waiting = Vec::new();
        // Connects until an attempt times out, which shows that the queue is full.
        loop {
            let next_request_of = tcp();
            let up = next_request_of.connect_timeout(&at, Duration::from_millis(300)).is_ok();
            waiting.push(next_request_of);
            if !up {
                break;
            }
            assert!(waiting.len() < 64, "the accept queue never fills");
        }
        let addr = at.as_socket().expect("an address");
        Unreachable { addr, listener, waiting }
    }

    /// Accepts connections again, and returns the first one that another client made.
    pub fn accept_connection(self) -> BufReader<TcpStream> {
        let port = |a: socket2::SockAddr| a.as_socket().expect("an address").port();
        let own: Vec<u16> = self.waiting.iter().filter_map(|s| s.local_addr().ok()).map(port).collect();
        loop {
            let (stream, from) = self.listener.accept().expect("accepts");
            if !own.contains(&port(from)) {
                let stream = TcpStream::from(stream);
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                return BufReader::new(stream);
            }
        }
    }
}
