//! Upstreams: what a test tells them to do, done on real sockets and written into the ledger.
use crate::ledger::{Cold, Entry, Ledger};
use crate::message::{ok_text, read_telling, Message};
use crate::PATIENCE;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// What an upstream does with a request.
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
    /// Works for so long on one of its cores, then answers; turned away if too many wait for one.
    Work(Duration, String),
}

impl Then {
    /// Turned away: it never ran.
    pub fn declined() -> Then {
        Then::Answer(DECLINED.into())
    }

    /// Whether the request is worked on. Only the mark that it was turned away says that it is not.
    fn executes(&self) -> bool {
        match self {
            Then::Answer(text) | Then::AnswerAndClose(text) => !declines(text),
            Then::Hang | Then::Wait | Then::Hold(..) | Then::Work(..) => true,
        }
    }
}

/// An answer that served the request.
pub fn ok(body: &str) -> Then {
    Then::Answer(ok_text(body))
}

/// An answer with this status line's end and no body.
pub fn status(line: &str) -> Then {
    Then::Answer(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

fn declines(answer: &str) -> bool {
    let head = answer.split("\r\n\r\n").next().unwrap_or("");
    head.lines().any(|line| line.eq_ignore_ascii_case("srv-declined: 1"))
}

/// What an upstream saw.
#[derive(Debug)]
pub enum ObservedRequest {
    /// A whole request.
    Request(Message),
    /// A connection has been closed, by either side.
    Closed,
}

/// How an upstream is set up.
pub struct Options {
    /// Its id, as discovery names it.
    pub name: String,
    /// The group whose members share the memory of keys.
    pub group: u32,
    /// Where it writes what it sees.
    pub ledger: Option<Arc<Ledger>>,
    /// Requests that [`Then::Work`] works on at once.
    pub cores: usize,
    /// And those that may wait for a core.
    pub queue: usize,
    /// How it warms up after its start, for the ledger's check and for how long work takes.
    pub cold: Option<Cold>,
    /// Whether it speaks FastCGI, and not HTTP. What it is told to answer stays written as HTTP.
    pub fastcgi: bool,
    /// Requests at once on a FastCGI connection; above 1 it says so when it is asked.
    pub at_once: usize,
}

impl Options {
    /// One core, room for 64 that wait, group 0, warm, no ledger.
    pub fn named(name: &str) -> Options {
        Options {
            name: name.into(),
            group: 0,
            ledger: None,
            cores: 1,
            queue: 64,
            cold: None,
            fastcgi: false,
            at_once: 1,
        }
    }
}

/// Most entries that [`Upstream::seen`] holds before what is seen is only counted: a test that reads none of it can
/// run for long.
const MAX_OBSERVED: usize = 10_000;

struct Shared {
    options: Options,
    behaviour: Box<dyn Fn(&Message) -> Then + Send + Sync>,
    started: Instant,
    tell: Sender<ObservedRequest>,
    told: AtomicUsize,
    /// Requests that work or wait for a core, and those that work.
    busy: Mutex<(usize, usize)>,
    free: Condvar,
    dead: AtomicBool,
    open: Mutex<Vec<Weak<TcpStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in for an upstream. It listens until it is killed or dropped.
pub struct Upstream {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it saw, in order.
    pub seen: Receiver<ObservedRequest>,
    /// How many connections were made to it.
    pub connections: Arc<AtomicUsize>,
    listener: Arc<TcpListener>,
    shared: Arc<Shared>,
}

/// The stream of one connection, of which the upstream keeps a weak hold.
struct HeldConnection(Arc<TcpStream>);

impl Read for HeldConnection {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        (&*self.0).read(buf)
    }
}

impl Upstream {
    /// An upstream that nobody keeps books of.
    pub fn start(behaviour: impl Fn(&Message) -> Then + Send + Sync + 'static) -> Upstream {
        Upstream::with(Options::named("s"), behaviour)
    }

    /// An upstream on a port of its own.
    pub fn with(options: Options, behaviour: impl Fn(&Message) -> Then + Send + Sync + 'static) -> Upstream {
        Upstream::at(SocketAddr::from(([127, 0, 0, 1], 0)), options, behaviour).expect("a free port")
    }

    /// An upstream at this address, as when a process starts again.
    ///
    /// # Errors
    /// The address is taken.
    pub fn at(
        addr: SocketAddr,
        options: Options,
        behaviour: impl Fn(&Message) -> Then + Send + Sync + 'static,
    ) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let (tell, seen) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        if let (Some(ledger), Some(cold)) = (&options.ledger, options.cold) {
            ledger.write(Entry::Started { upstream: options.name.clone(), cold });
        }
        let shared = Arc::new(Shared {
            options,
            behaviour: Box::new(behaviour),
            started: Instant::now(),
            tell,
            told: AtomicUsize::new(0),
            busy: Mutex::new((0, 0)),
            free: Condvar::new(),
            dead: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let listener = Arc::new(listener);
        let (count, at, accepting) = (connections.clone(), shared.clone(), listener.clone());
        thread::spawn(move || {
            loop {
                let accepted = accepting.accept();
                if at.dead.load(Ordering::SeqCst) {
                    return;
                }
                let Ok((stream, _)) = accepted else {
                    // Out of descriptors: nothing to accept it with yet.
                    thread::yield_now();
                    continue;
                };
                count.fetch_add(1, Ordering::SeqCst);
                let stream = Arc::new(stream);
                {
                    let mut open = lock(&at.open);
                    open.retain(|s| s.strong_count() > 0);
                    open.push(Arc::downgrade(&stream));
                }
                let at = at.clone();
                thread::spawn(move || serve(stream, &at));
            }
        });
        Ok(Upstream { addr, seen, connections, listener, shared })
    }

    /// The next request.
    pub fn request(&self) -> Message {
        loop {
            match self.seen.recv_timeout(PATIENCE).expect("a request at the upstream") {
                ObservedRequest::Request(m) => return m,
                ObservedRequest::Closed => {}
            }
        }
    }

    /// Waits until a connection has been closed.
    pub fn closed(&self) {
        while !matches!(
            self.seen.recv_timeout(PATIENCE).expect("a closed connection"),
            ObservedRequest::Closed
        ) {}
    }

    /// How many further requests have come.
    pub fn further(&self) -> usize {
        self.seen.try_iter().filter(|s| matches!(s, ObservedRequest::Request(_))).count()
    }

    /// How many requests [`Then::Work`] holds: those that it works on and those that wait for a core.
    pub fn busy(&self) -> usize {
        lock(&self.shared.busy).0
    }

    /// Ends like a process that dies: connections are reset, and new ones are refused.
    pub fn kill(&self) {
        if self.shared.dead.swap(true, Ordering::SeqCst) {
            return;
        }
        // Ends the listening at once, and wakes the thread that accepts.
        let _ = socket2::SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        for stream in lock(&self.shared.open).drain(..).filter_map(|s| s.upgrade()) {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
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
    fn tell(&self, seen: ObservedRequest) {
        if self.told.fetch_add(1, Ordering::SeqCst) < MAX_OBSERVED {
            let _ = self.tell.send(seen);
        }
    }

    fn write(&self, entry: impl FnOnce(String) -> Entry) {
        if let Some(ledger) = &self.options.ledger {
            ledger.write(entry(self.options.name.clone()));
        }
    }

    /// Takes a core once one is free and works; `false`: too many wait.
    fn work(&self, time: Duration, begin: impl FnOnce()) -> bool {
        let mut busy = lock(&self.busy);
        if busy.0 >= self.options.cores + self.options.queue {
            return false;
        }
        busy.0 += 1;
        begin();
        while busy.1 >= self.options.cores {
            busy = self.free.wait(busy).unwrap_or_else(PoisonError::into_inner);
        }
        busy.1 += 1;
        drop(busy);
        let warmth = self.options.cold.map_or(1.0, |cold| {
            let done = self.started.elapsed().as_secs_f64() / cold.ramp.as_secs_f64().max(1e-9);
            (cold.from + (1.0 - cold.from) * done).clamp(0.01, 1.0)
        });
        // The work itself: what a server would compute, this one rests for.
        thread::sleep(time.div_f64(warmth));
        let mut busy = lock(&self.busy);
        (busy.0, busy.1) = (busy.0 - 1, busy.1 - 1);
        self.free.notify_one();
        true
    }
}

/// A protocol on a connection of an upstream's.
trait Speaks {
    /// The next request; tells of it as soon as its head has come.
    fn read(&mut self, head: impl FnOnce(&Message)) -> Option<Message>;
    /// Answers it; `whole`: and that is all of it.
    fn write(&mut self, text: &str, whole: bool) -> std::io::Result<()>;
}

struct Http(BufReader<HeldConnection>);

impl Speaks for Http {
    fn read(&mut self, head: impl FnOnce(&Message)) -> Option<Message> {
        // Whether something has come shows before it is whole.
        if !self.0.fill_buf().is_ok_and(|b| !b.is_empty()) {
            return None;
        }
        read_telling(&mut self.0, head)
    }

    fn write(&mut self, text: &str, _: bool) -> std::io::Result<()> {
        (&*self.0.get_ref().0).write_all(text.as_bytes())
    }
}

fn serve(stream: Arc<TcpStream>, at: &Arc<Shared>) {
    let requests = at.options.at_once;
    if at.options.fastcgi && requests > 1 {
        converse_at_once(crate::fastcgi::Responder::new(stream.clone(), requests), &stream, at);
    } else if at.options.fastcgi {
        converse(crate::fastcgi::Responder::new(stream, 1), at);
    } else {
        converse(Http(BufReader::new(HeldConnection(stream))), at);
    }
}

impl Speaks for crate::fastcgi::Responder {
    fn read(&mut self, head: impl FnOnce(&Message)) -> Option<Message> {
        let message = self.request()?;
        head(&message);
        Some(message)
    }

    fn write(&mut self, text: &str, whole: bool) -> std::io::Result<()> {
        self.answer(text, whole)
    }
}

/// Reads the next request and writes into the ledger that it begins.
fn next(peer: &mut impl Speaks, at: &Shared) -> Option<Message> {
    let begun = |head: &Message| {
        let request = head.header("req-id").unwrap_or("").to_string();
        at.write(|upstream| Entry::Begun { upstream, request });
    };
    if at.dead.load(Ordering::SeqCst) {
        return None;
    }
    peer.read(begun)
}

fn converse(mut peer: impl Speaks, at: &Shared) {
    while next(&mut peer, at).is_some_and(|message| serve_one(&mut peer, message, at)) {}
    drop(peer);
    at.tell(ObservedRequest::Closed);
}

/// Each request in a thread of its own; one whose connection is to end ends it for all.
fn converse_at_once(mut peer: crate::fastcgi::Responder, stream: &Arc<TcpStream>, at: &Arc<Shared>) {
    while let Some(message) = next(&mut peer, at) {
        let (mut peer, stream, at) = (peer.clone(), stream.clone(), at.clone());
        thread::spawn(move || {
            if !serve_one(&mut peer, message, &at) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
    drop(peer);
    at.tell(ObservedRequest::Closed);
}

/// Does what it is told with one request; `false`: the connection ends.
fn serve_one(peer: &mut impl Speaks, message: Message, at: &Shared) -> bool {
    let request = message.header("req-id").unwrap_or("").to_string();
    let then = (at.behaviour)(&message);
    let executed = |work| {
        let group = at.options.group;
        at.write(|upstream| Entry::Executed { upstream, group, request, work });
    };
    let tell = || at.tell(ObservedRequest::Request(message));
    if let Then::Work(time, text) = then {
        tell();
        let done = at.work(time, || executed(time));
        // A process that died meanwhile answers nothing.
        let dead = at.dead.load(Ordering::SeqCst);
        return !dead && peer.write(if done { &text } else { DECLINED }, true).is_ok();
    }
    // Before the answer is written: whoever reads it finds the books in order.
    if then.executes() {
        executed(Duration::ZERO);
    }
    tell();
    match then {
        Then::Answer(text) => drop(peer.write(&text, true)),
        Then::AnswerAndClose(text) => {
            let _ = peer.write(&text, false);
            return false;
        }
        Then::Hang => return false,
        Then::Wait | Then::Work(..) => {}
        Then::Hold(word, text) => {
            let _ = word.recv_timeout(PATIENCE);
            let _ = peer.write(&text, true);
        }
    }
    true
}

/// An address that refuses connections.
pub fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

/// An address where connections never come up: its one place for a waiting connection is taken.
pub struct Unreachable {
    /// Where it is.
    pub addr: SocketAddr,
    listener: socket2::Socket,
    waiting: Vec<socket2::Socket>,
}

impl Unreachable {
    /// Takes an address and fills its queue.
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
