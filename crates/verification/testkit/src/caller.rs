//! Callers: a plain client for single messages, and a caller that retries like the platform's callers.
use crate::fastcgi::WebServer;
use crate::ledger::{Effect, Entry, Ledger};
use crate::message::{read, Message};
use crate::TEST_TIMEOUT;
use fastcgi::client::Outcome as FastCgiOutcome;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A client connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to an address; `None` if no process listens there.
    pub fn connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        Some(Client(BufReader::new(stream)))
    }

    /// Connects with `timeout`, which also limits the wait for each answer.
    pub fn connect_with_timeout(addr: SocketAddr, timeout: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(Client(BufReader::new(stream)))
    }

    /// Writes `text` as it is.
    pub fn send(&mut self, text: &str) {
        // If the connection was closed, reading the answer fails.
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// Reads the next answer; `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    /// Writes `text` and returns the answer. Panics if there is none.
    pub fn call(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// An operation that a caller carries out: a first attempt and its retries.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Class of its requests.
    pub class: String,
    /// Tenant that its requests belong to.
    pub owner: String,
    /// What a retry may do.
    pub effect: Effect,
    /// Maximum time over all attempts.
    pub deadline: Duration,
    /// Fraction of `deadline` that one attempt may take.
    pub attempt_fraction: f64,
    /// Maximum number of retries.
    pub retries: u32,
    /// Pause before a retry; longer if the refusal asks for it.
    pub pause: Duration,
}

impl Default for Operation {
    /// A safe read for `club`: 6 s in total, a fraction of 0.55 of that per attempt, and three retries
    /// without a pause.
    fn default() -> Self {
        Operation {
            class: "read".into(),
            owner: "club".into(),
            effect: Effect::Safe,
            deadline: Duration::from_secs(6),
            attempt_fraction: 0.55,
            retries: 3,
            pause: Duration::ZERO,
        }
    }
}

/// Outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// An attempt was served.
    Served {
        /// Time from the first attempt to the answer.
        took: Duration,
    },
    /// The last attempt was refused.
    Refused,
    /// The last attempt failed.
    Failed,
    /// The last attempt got no answer.
    Unanswered,
    /// No balancer could be reached.
    Unreached,
}

/// Outcome of an operation and its number of attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationResult {
    /// Outcome of the operation.
    pub outcome: Outcome,
    /// Number of requests sent.
    pub attempts: u32,
}

/// A caller that retries like the platform's callers: up to a maximum number of times, at once or after a
/// pause. It always retries after a refusal; after a failure or a missing answer it retries only what may run
/// again. Every attempt is a new request with a new id; the attempts of a keyed operation share its key. The
/// caller reuses its connections, with one request at a time on each, and writes into the ledger.
pub struct Caller {
    ledger: Arc<Ledger>,
    balancers: Vec<(String, SocketAddr)>,
    idle_connections: HashMap<SocketAddr, Connection>,
    random: u64,
    checks_readiness: bool,
    fastcgi: bool,
    unconnected: u64,
    is_dead: Option<DeathCheck>,
}

/// Whether the balancer of this name is being killed or is dead.
pub type DeathCheck = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Next number for a request id. Ids are unique across all callers of a process, and the process id in them
/// makes them unique between processes.
static NUMBER: AtomicU64 = AtomicU64::new(0);

fn fresh_id() -> String {
    format!("{:x}-{:x}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// Maximum number of new connections that are opened to an address in a row while each answer announces its
/// close.
const MAX_NEW_CONNECTIONS: usize = 3;

enum AttemptOutcome {
    Answer(Message),
    /// The connection could not be made or ended before anything was sent on it.
    Unreached,
    /// The connection ended, or the timeout passed, before a complete answer arrived.
    Unanswered,
}

impl Caller {
    /// Creates a caller that knows no balancer. `seed` initialises its random choices.
    pub fn new(ledger: Arc<Ledger>, seed: u64) -> Caller {
        Caller {
            ledger,
            balancers: Vec::new(),
            idle_connections: HashMap::new(),
            random: seed | 1,
            checks_readiness: false,
            fastcgi: false,
            unconnected: 0,
            is_dead: None,
        }
    }

    /// Adds a balancer or changes its address.
    pub fn set_balancer(&mut self, name: &str, addr: SocketAddr) {
        self.remove_balancer(name);
        self.balancers.push((name.into(), addr));
    }

    /// Removes a balancer; no new request goes to it.
    pub fn remove_balancer(&mut self, name: &str) {
        self.balancers.retain(|(n, _)| n != name);
    }

    /// Requests readiness first on each new connection, as a front does that avoids instances that are
    /// leaving, and goes to another balancer if this one is not ready.
    pub fn with_readiness_check(mut self) -> Caller {
        self.checks_readiness = true;
        self
    }

    /// Uses FastCGI, like the gateway of a web server.
    pub fn with_fastcgi(mut self) -> Caller {
        self.fastcgi = true;
        self
    }

    /// Does not send a request once more whose connection was ended by the death of its balancer: it may have run. The
    /// caller then counts the request as unanswered, as after the death of a balancer that had read it.
    pub fn with_death_check(mut self, is_dead: DeathCheck) -> Caller {
        self.is_dead = Some(is_dead);
        self
    }

    /// Number of failed connection attempts, including those after which another balancer or a retry served
    /// the operation.
    pub fn connect_failures(&self) -> u64 {
        self.unconnected
    }

    /// Replaces all known balancers and drops the connections to others.
    pub fn set_balancers(&mut self, balancers: &[(String, SocketAddr)]) {
        if self.balancers != balancers {
            self.balancers = balancers.to_vec();
            self.idle_connections.retain(|addr, _| balancers.iter().any(|(_, a)| a == addr));
        }
    }

    /// Returns a random index below `len` from xorshift64, which spreads connections well enough.
    fn random_index(&mut self, len: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % len.max(1) as u64) as usize
    }

    /// Carries out an operation with its retries.
    pub fn call(&mut self, operation: &Operation) -> OperationResult {
        let started = Instant::now();
        let key = fresh_id();
        let mut attempts = 0;
        loop {
            let remaining = operation.deadline.saturating_sub(started.elapsed());
            let timeout = operation.deadline.mul_f64(operation.attempt_fraction).min(remaining);
            let (outcome, pause) = match self.attempt(operation, &key, timeout) {
                AttemptOutcome::Unreached => (Outcome::Unreached, Duration::from_millis(20)),
                AttemptOutcome::Unanswered => (Outcome::Unanswered, operation.pause),
                AttemptOutcome::Answer(answer) => match answer.status() {
                    200 => (Outcome::Served { took: started.elapsed() }, Duration::ZERO),
                    429 | 503 => {
                        let retry_after = answer.header("retry-after").and_then(|v| v.parse::<f64>().ok());
                        let retry_after = retry_after.filter(|s| (0.0..=60.0).contains(s)).unwrap_or(0.0);
                        (Outcome::Refused, operation.pause.max(Duration::from_secs_f64(retry_after)))
                    }
                    _ => (Outcome::Failed, operation.pause),
                },
            };
            attempts += u32::from(outcome != Outcome::Unreached);
            let should_retry = match outcome {
                Outcome::Served { .. } => false,
                Outcome::Refused => attempts <= operation.retries,
                Outcome::Failed | Outcome::Unanswered => {
                    attempts <= operation.retries && operation.effect != Effect::Unsafe
                }
                Outcome::Unreached => true,
            };
            if !should_retry || started.elapsed() + pause >= operation.deadline {
                return OperationResult { outcome, attempts };
            }
            // A client waits before it retries.
            thread::sleep(pause);
        }
    }

    /// Returns a connection to a balancer and whether it was used before. Skips a balancer that can't be
    /// reached.
    fn connection(&mut self, timeout: Duration) -> Option<(String, SocketAddr, Connection, bool)> {
        let start = self.random_index(self.balancers.len());
        for offset in 0..self.balancers.len() {
            let (name, addr) = self.balancers[(start + offset) % self.balancers.len()].clone();
            if let Some(stream) = self.idle_connections.remove(&addr) {
                return Some((name, addr, stream, true));
            }
            if let Some(stream) = self.new_connection(addr, timeout) {
                let connection = if self.fastcgi {
                    Connection::FastCgi(Box::new(WebServer::on(stream)))
                } else {
                    Connection::Http(stream)
                };
                return Some((name, addr, connection, false));
            }
        }
        None
    }

    /// Opens a connection on which requests may be sent. Skips a connection whose peer has just announced
    /// that it closes: an old process that answers the last callers of its listener. The next connection
    /// reaches the process that holds the address by then.
    fn new_connection(&mut self, addr: SocketAddr, timeout: Duration) -> Option<BufReader<TcpStream>> {
        for _ in 0..MAX_NEW_CONNECTIONS {
            let Some(mut stream) = connect(addr, timeout) else {
                self.unconnected += 1;
                return None;
            };
            if !self.checks_readiness {
                return Some(stream);
            }
            let answer = request_readiness(&mut stream, timeout)?;
            if answer.status() != 200 {
                return None;
            }
            if !closes_connection(&answer) {
                return Some(stream);
            }
        }
        None
    }

    fn attempt(&mut self, operation: &Operation, key: &str, timeout: Duration) -> AttemptOutcome {
        if self.balancers.is_empty() || timeout.is_zero() {
            return AttemptOutcome::Unreached;
        }
        let request = fresh_id();
        let mut was_sent = false;
        loop {
            let Some((balancer, addr, mut connection, reused)) = self.connection(timeout) else {
                return if was_sent { AttemptOutcome::Unanswered } else { AttemptOutcome::Unreached };
            };
            was_sent = true;
            let (effect, sent) = (operation.effect, request.clone());
            self.ledger.write(Entry::Sent { request: sent, balancer: balancer.clone(), effect, timeout });
            // Waits 200 ms longer than stated in the request, because the ledger decides whether an answer is
            // late. The time counts from the send, however long the connection took.
            let max_wait = timeout + Duration::from_millis(200);
            let answer = match connection.request(operation, key, &request, timeout, max_wait) {
                ResponseOutcome::Answer(answer) => answer,
                // A balancer may close a connection between requests while this request is sent. The same
                // request is then sent once more on another connection. A timeout is not treated this way.
                ResponseOutcome::Closed
                    if reused && !self.is_dead.as_ref().is_some_and(|is_dead| is_dead(&balancer)) =>
                {
                    continue
                }
                ResponseOutcome::Closed | ResponseOutcome::Broken => return AttemptOutcome::Unanswered,
            };
            self.ledger.write(Entry::Answered { request, status: answer.status() });
            if !closes_connection(&answer) {
                self.idle_connections.insert(addr, connection);
            }
            return AttemptOutcome::Answer(answer);
        }
    }
}

fn connect(addr: SocketAddr, timeout: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// Requests readiness from the peer.
fn request_readiness(stream: &mut BufReader<TcpStream>, timeout: Duration) -> Option<Message> {
    stream.get_mut().set_read_timeout(Some(timeout)).ok()?;
    stream.get_mut().write_all(b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n").ok()?;
    read(stream)
}

/// Whether the connection ends after this answer (RFC 9112, section 9.6).
fn closes_connection(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
}

/// A connection of a caller.
enum Connection {
    Http(BufReader<TcpStream>),
    FastCgi(Box<WebServer>),
}

/// Outcome of a request on a connection.
enum ResponseOutcome {
    Answer(Message),
    /// The connection ended before the first byte of the answer.
    Closed,
    /// The wait timed out, or the connection ended in the middle of the answer.
    Broken,
}

impl Connection {
    fn request(
        &mut self,
        operation: &Operation,
        key: &str,
        request: &str,
        timeout: Duration,
        max_wait: Duration,
    ) -> ResponseOutcome {
        match self {
            Connection::Http(stream) => {
                let sent =
                    stream.get_mut().write_all(request_text(operation, key, request, timeout).as_bytes());
                let timed = stream.get_mut().set_read_timeout(Some(max_wait));
                match stream.fill_buf().map(|b| !b.is_empty()) {
                    Ok(true) if sent.is_ok() && timed.is_ok() => {}
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                        return ResponseOutcome::Broken
                    }
                    _ => return ResponseOutcome::Closed,
                }
                read(stream).map_or(ResponseOutcome::Broken, ResponseOutcome::Answer)
            }
            Connection::FastCgi(web) => {
                let timeout = format!("{}u", timeout.as_micros());
                let (method, body) =
                    if operation.effect == Effect::Safe { ("GET", "") } else { ("POST", "body") };
                let mut params = vec![
                    ("REQUEST_METHOD", method),
                    ("REQUEST_URI", "/api/x"),
                    ("CONTENT_LENGTH", if body.is_empty() { "" } else { "4" }),
                    ("HTTP_REQ_ID", request),
                    ("HTTP_REQ_KIND", &operation.class),
                    ("HTTP_REQ_OWNER", &operation.owner),
                    ("HTTP_REQ_DEADLINE", &timeout),
                ];
                if operation.effect == Effect::Keyed {
                    params.push(("HTTP_IDEMPOTENCY_KEY", key));
                }
                web.set_timeout(max_wait);
                web.send(&params, body.as_bytes());
                match web.next_outcome() {
                    Some((_, FastCgiOutcome::Answered(head, body))) => {
                        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
                        let headers = head.fields.iter().map(|(n, v)| (text(n), text(v))).collect();
                        let start_line = format!("HTTP/1.1 {} X", head.status);
                        ResponseOutcome::Answer(Message { start_line, headers, body: body.to_vec() })
                    }
                    Some(_) => ResponseOutcome::Broken,
                    None if web.closed_before_answer() => ResponseOutcome::Closed,
                    None => ResponseOutcome::Broken,
                }
            }
        }
    }
}

fn request_text(operation: &Operation, key: &str, request: &str, timeout: Duration) -> String {
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
        timeout.as_micros()
    )
}
