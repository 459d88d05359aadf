//! Callers: a plain client for single messages, and one that retries as the platform's do.
use crate::fastcgi::WebServer;
use crate::ledger::{Effect, Entry, Ledger};
use crate::message::{read, Message};
use crate::PATIENCE;
use fastcgi::client::Outcome as Ended;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// One connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// `None`: nobody listens.
    pub fn connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(Client(BufReader::new(stream)))
    }

    /// The same, with so long for each answer.
    pub fn connect_within(addr: SocketAddr, within: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&addr, within).ok()?;
        stream.set_read_timeout(Some(within)).ok()?;
        Some(Client(BufReader::new(stream)))
    }

    /// Writes this.
    pub fn send(&mut self, text: &str) {
        // A connection that was closed shows in the answer.
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// The next answer; `None` when the connection ended.
    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    /// Writes this and returns the answer.
    pub fn call(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// What a caller wants done: a first try and its retries.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The class.
    pub class: String,
    /// The tenant.
    pub owner: String,
    /// What a repeat may do.
    pub effect: Effect,
    /// How long it waits over all its tries.
    pub deadline: Duration,
    /// The part of that which one try may take.
    pub try_part: f64,
    /// How often it tries again.
    pub retries: u32,
    /// How long it waits before that; more if the refusal asks for it.
    pub pause: Duration,
}

impl Default for Operation {
    /// A safe read of `club` with 6 s for all, 0.55 of that for a try, three retries, each at once.
    fn default() -> Self {
        Operation {
            class: "read".into(),
            owner: "club".into(),
            effect: Effect::Safe,
            deadline: Duration::from_secs(6),
            try_part: 0.55,
            retries: 3,
            pause: Duration::ZERO,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Served, so long after the first try began.
    Served {
        /// Time from the first try to the answer.
        took: Duration,
    },
    /// The last try was refused.
    Refused,
    /// The last try failed.
    Failed,
    /// The last try got no answer.
    Unanswered,
    /// Nobody could be reached.
    Unreached,
}

/// What came of an operation, and in how many tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// How it ended.
    pub outcome: Outcome,
    /// Requests that were sent.
    pub tries: u32,
}

/// A caller that retries as the platform's do: up to so many times, at once or after a pause; after a refusal always,
/// after a failure or silence only what may be repeated. Every try is a new request with a new id, a keyed one with
/// the key of its operation. It keeps its connections, one request at a time on each, and writes into the ledger.
pub struct Caller {
    ledger: Arc<Ledger>,
    balancers: Vec<(String, SocketAddr)>,
    kept: HashMap<SocketAddr, Link>,
    random: u64,
    asks: bool,
    fastcgi: bool,
    unconnected: u64,
}

/// Ids are told apart over all callers of a process, and by its number between processes.
static NUMBER: AtomicU64 = AtomicU64::new(0);

fn fresh_id() -> String {
    format!("{:x}-{:x}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// How many new connections to an address are tried, one after the other, while each is told to close.
const FRESH: usize = 3;

enum Try {
    Answer(Message),
    /// The connection could not be made or ended before anything was sent on it.
    Unreached,
    /// It ended, or the time was up, with no whole answer.
    Unanswered,
}

impl Caller {
    /// A caller that knows no balancer yet. `seed` feeds its random choices.
    pub fn new(ledger: Arc<Ledger>, seed: u64) -> Caller {
        Caller {
            ledger,
            balancers: Vec::new(),
            kept: HashMap::new(),
            random: seed | 1,
            asks: false,
            fastcgi: false,
            unconnected: 0,
        }
    }

    /// Adds a balancer, or changes where it is.
    pub fn reach(&mut self, name: &str, addr: SocketAddr) {
        self.remove_balancer(name);
        self.balancers.push((name.into(), addr));
    }

    /// Takes a balancer out: nothing new goes there.
    pub fn remove_balancer(&mut self, name: &str) {
        self.balancers.retain(|(n, _)| n != name);
    }

    /// Asks on each new connection first whether the balancer is ready, as a front does that keeps away from what is
    /// leaving; and goes to another if it is not.
    pub fn with_readiness_check(mut self) -> Caller {
        self.asks = true;
        self
    }

    /// Speaks FastCGI, as a web server's gateway does.
    pub fn speaks_fastcgi(mut self) -> Caller {
        self.fastcgi = true;
        self
    }

    /// How often a connection could not be made, each time another balancer or another try may have hidden it.
    pub fn unconnected(&self) -> u64 {
        self.unconnected
    }

    /// Takes these for all balancers that there are, and drops the connections to others.
    pub fn know(&mut self, balancers: &[(String, SocketAddr)]) {
        if self.balancers != balancers {
            self.balancers = balancers.to_vec();
            self.kept.retain(|addr, _| balancers.iter().any(|(_, a)| a == addr));
        }
    }

    /// xorshift64: enough to spread connections.
    fn draw(&mut self, n: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % n.max(1) as u64) as usize
    }

    /// Carries an operation out, with its retries.
    pub fn call(&mut self, operation: &Operation) -> Done {
        let started = Instant::now();
        let key = fresh_id();
        let mut tries = 0;
        loop {
            let left = operation.deadline.saturating_sub(started.elapsed());
            let patience = operation.deadline.mul_f64(operation.try_part).min(left);
            let (outcome, pause) = match self.attempt(operation, &key, patience) {
                Try::Unreached => (Outcome::Unreached, Duration::from_millis(20)),
                Try::Unanswered => (Outcome::Unanswered, operation.pause),
                Try::Answer(answer) => match answer.status() {
                    200 => (Outcome::Served { took: started.elapsed() }, Duration::ZERO),
                    429 | 503 => {
                        let asked = answer.header("retry-after").and_then(|v| v.parse::<f64>().ok());
                        let asked = asked.filter(|s| (0.0..=60.0).contains(s)).unwrap_or(0.0);
                        (Outcome::Refused, operation.pause.max(Duration::from_secs_f64(asked)))
                    }
                    _ => (Outcome::Failed, operation.pause),
                },
            };
            tries += u32::from(outcome != Outcome::Unreached);
            let again = match outcome {
                Outcome::Served { .. } => false,
                Outcome::Refused => tries <= operation.retries,
                Outcome::Failed | Outcome::Unanswered => {
                    tries <= operation.retries && operation.effect != Effect::Unsafe
                }
                Outcome::Unreached => true,
            };
            if !again || started.elapsed() + pause >= operation.deadline {
                return Done { outcome, tries };
            }
            // What a client does: it waits before it tries again.
            thread::sleep(pause);
        }
    }

    /// A connection to some balancer, and whether it was in use before. One that can't be reached is passed over.
    fn connection(&mut self, patience: Duration) -> Option<(String, SocketAddr, Link, bool)> {
        let first = self.draw(self.balancers.len());
        for k in 0..self.balancers.len() {
            let (name, addr) = self.balancers[(first + k) % self.balancers.len()].clone();
            if let Some(stream) = self.kept.remove(&addr) {
                return Some((name, addr, stream, true));
            }
            if let Some(stream) = self.fresh(addr, patience) {
                let link = if self.fastcgi {
                    Link::FastCgi(Box::new(WebServer::on(stream)))
                } else {
                    Link::Http(stream)
                };
                return Some((name, addr, link, false));
            }
        }
        None
    }

    /// A new connection that requests may be written on. Guards against one whose other end has just said that it
    /// closes: an old process that answers the last callers of its listener. Whoever has the address now is next.
    fn fresh(&mut self, addr: SocketAddr, patience: Duration) -> Option<BufReader<TcpStream>> {
        for _ in 0..FRESH {
            let Some(mut stream) = connect(addr, patience) else {
                self.unconnected += 1;
                return None;
            };
            if !self.asks {
                return Some(stream);
            }
            let answer = asked_ready(&mut stream, patience)?;
            if answer.status() != 200 {
                return None;
            }
            if !closes(&answer) {
                return Some(stream);
            }
        }
        None
    }

    fn attempt(&mut self, operation: &Operation, key: &str, patience: Duration) -> Try {
        if self.balancers.is_empty() || patience.is_zero() {
            return Try::Unreached;
        }
        let until = Instant::now() + patience;
        let request = fresh_id();
        let mut written = false;
        loop {
            let Some((balancer, addr, mut link, reused)) = self.connection(patience) else {
                return if written { Try::Unanswered } else { Try::Unreached };
            };
            written = true;
            let (effect, sent) = (operation.effect, request.clone());
            self.ledger.write(Entry::Sent { request: sent, balancer, effect, patience });
            // A little longer than it promised to: whether an answer is late is the ledger's to judge.
            let left = until.saturating_duration_since(Instant::now()) + Duration::from_millis(200);
            let answer = match link.request(operation, key, &request, patience, left) {
                ResponseOutcome::Answer(answer) => answer,
                // A balancer may close a connection between requests, and this one crossed that: once more, on another,
                // as the same request. Silence is something else.
                ResponseOutcome::Closed if reused => continue,
                ResponseOutcome::Closed | ResponseOutcome::Broken => return Try::Unanswered,
            };
            self.ledger.write(Entry::Answered { request, status: answer.status() });
            if !closes(&answer) {
                self.kept.insert(addr, link);
            }
            return Try::Answer(answer);
        }
    }
}

fn connect(addr: SocketAddr, patience: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&addr, patience).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// What whoever is at its other end says of being ready.
fn asked_ready(stream: &mut BufReader<TcpStream>, patience: Duration) -> Option<Message> {
    stream.get_mut().set_read_timeout(Some(patience)).ok()?;
    stream.get_mut().write_all(b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n").ok()?;
    read(stream)
}

/// Whether its connection ends behind this answer (RFC 9112, section 9.6).
fn closes(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
}

/// One connection of a caller's.
enum Link {
    Http(BufReader<TcpStream>),
    FastCgi(Box<WebServer>),
}

/// What came of a request on a connection.
enum ResponseOutcome {
    Answer(Message),
    /// It ended before a byte of answer.
    Closed,
    /// It fell silent, or ended in the middle of the answer.
    Broken,
}

impl Link {
    fn request(
        &mut self,
        op: &Operation,
        key: &str,
        request: &str,
        patience: Duration,
        left: Duration,
    ) -> ResponseOutcome {
        match self {
            Link::Http(stream) => {
                let sent = stream.get_mut().write_all(text(op, key, request, patience).as_bytes());
                let timed = stream.get_mut().set_read_timeout(Some(left));
                match stream.fill_buf().map(|b| !b.is_empty()) {
                    Ok(true) if sent.is_ok() && timed.is_ok() => {}
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                        return ResponseOutcome::Broken
                    }
                    _ => return ResponseOutcome::Closed,
                }
                read(stream).map_or(ResponseOutcome::Broken, ResponseOutcome::Answer)
            }
            Link::FastCgi(web) => {
                let patience = format!("{}u", patience.as_micros());
                let (method, body) = if op.effect == Effect::Safe { ("GET", "") } else { ("POST", "body") };
                let mut params = vec![
                    ("REQUEST_METHOD", method),
                    ("REQUEST_URI", "/api/x"),
                    ("CONTENT_LENGTH", if body.is_empty() { "" } else { "4" }),
                    ("HTTP_REQ_ID", request),
                    ("HTTP_REQ_KIND", &op.class),
                    ("HTTP_REQ_OWNER", &op.owner),
                    ("HTTP_REQ_DEADLINE", &patience),
                ];
                if op.effect == Effect::Keyed {
                    params.push(("HTTP_IDEMPOTENCY_KEY", key));
                }
                web.patience(left);
                web.send(&params, body.as_bytes());
                match web.ended() {
                    Some((_, Ended::Answered(head, body))) => {
                        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
                        let headers = head.fields.iter().map(|(n, v)| (text(n), text(v))).collect();
                        let start = format!("HTTP/1.1 {} X", head.status);
                        ResponseOutcome::Answer(Message { start, headers, body: body.to_vec() })
                    }
                    Some(_) => ResponseOutcome::Broken,
                    None if web.silent() => ResponseOutcome::Closed,
                    None => ResponseOutcome::Broken,
                }
            }
        }
    }
}

fn text(operation: &Operation, key: &str, request: &str, patience: Duration) -> String {
    let (start, length, body) = match operation.effect {
        Effect::Safe => ("GET /api/x", String::new(), ""),
        Effect::Keyed => ("POST /api/x", format!("Idempotency-Key: {key}\r\nContent-Length: 4\r\n"), "body"),
        Effect::Unsafe => ("POST /api/x", "Content-Length: 4\r\n".into(), "body"),
    };
    format!(
        "{start} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {request}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
         Req-Deadline: {}u\r\n{length}\r\n{body}",
        operation.class,
        operation.owner,
        patience.as_micros()
    )
}
