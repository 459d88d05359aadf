//! Callers that speak FastCGI 1.0, such as a web server's gateway: takes requests whole, hands them to the driver, and
//! writes the one final answer.
//!
//! Bad params get a whole answer with a 4xx status; what makes a connection's bytes uncertain ends it. An ABORT, or the
//! end of the connection, calls off what is out.
use super::classify::{classify, Classification, RequestField, RequestHead, KEY};
use super::{ShutdownPhase, ShutdownProgress};
use crate::descriptor_budget::DescriptorBudget;
use crate::driver::AdmissionError;
use crate::exchange::{Answer, Fields, FinalAnswer, Method, Request};
use crate::http::{belongs_to_a_hop, DECLINED, REPEATED};
use crate::live_config::LiveConfig;
use crate::request_budgets::{BudgetPolicy, FrontKind};
use crate::routing::request_attributes::{RequestAttributes, RoutingError as NotRouted};
use crate::routing::{AdmittedRequest, Pools};
use bytes::{Buf, Bytes, BytesMut};
use config::fastcgi::{FastCgi, Listen, Names};
use config::operator::Limits;
use config::Deployment;
use fastcgi::pairs::Pair;
use fastcgi::server::{self, Event, Server as Machine};
use fastcgi::Limits as Bounds;
use request_budget::grammar::write_used;
use request_budget::grammar::Used;
use request_budget::BudgetRejection as NotTaken;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::future::poll_fn;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::info;

/// What is read at once, in the middle of a request and before one.
const READ_BYTES: usize = 16 << 10;
const FIRST_READ_BYTES: usize = 4 << 10;
/// Less room than this is made more.
const MIN_READ_BYTES: usize = 1 << 10;
/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What a front is built from.
pub struct FastCgiFrontConfig {
    /// The pools.
    pub pools: Pools,
    /// The settings.
    pub deployment: Deployment,
    /// `[fastcgi]` of the operator's file.
    pub settings: FastCgi,
    /// All descriptors.
    pub descriptors: DescriptorBudget,
    /// Sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// How far the end of the program has come.
    pub shutdown: watch::Receiver<ShutdownProgress>,
    /// Budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
    /// Its listeners.
    pub listeners: Vec<FrontListener>,
}

/// What every connection needs.
pub struct FastCgiFront {
    pools: Pools,
    deployment: Deployment,
    settings: FastCgi,
    descriptors: DescriptorBudget,
    limits: LiveConfig<Limits>,
    shutdown: watch::Receiver<ShutdownProgress>,
    budgets: Option<Rc<BudgetPolicy>>,
    /// Its listeners, to be passed on; those that are accepted on are their clones.
    listeners: RefCell<Vec<FrontListener>>,
}

/// A listener of this front's.
pub enum FrontListener {
    /// TCP.
    Tcp(std::net::TcpListener),
    /// A Unix socket.
    Unix(std::os::unix::net::UnixListener),
}

impl FrontListener {
    fn from_descriptor(passed: OwnedFd) -> FrontListener {
        let tcp = std::net::TcpListener::from(passed);
        match tcp.local_addr() {
            Ok(_) => FrontListener::Tcp(tcp),
            Err(_) => FrontListener::Unix(OwnedFd::from(tcp).into()),
        }
    }

    /// Whether this is the one that the operator's file means.
    fn matches(&self, listen: &Listen) -> bool {
        match (self, listen) {
            (FrontListener::Tcp(l), Listen::Tcp(addr)) => l
                .local_addr()
                .is_ok_and(|at| at.ip() == addr.ip() && (addr.port() == 0 || at.port() == addr.port())),
            (FrontListener::Unix(l), Listen::Unix(path)) => {
                l.local_addr().is_ok_and(|at| at.as_pathname() == Some(path))
            }
            _ => false,
        }
    }

    fn try_clone(&self) -> io::Result<FrontListener> {
        Ok(match self {
            FrontListener::Tcp(l) => FrontListener::Tcp(l.try_clone()?),
            FrontListener::Unix(l) => FrontListener::Unix(l.try_clone()?),
        })
    }

    fn bind(listen: &Listen) -> io::Result<FrontListener> {
        match listen {
            Listen::Tcp(addr) => {
                let door = std::net::TcpListener::bind(addr)?;
                door.set_nonblocking(true)?;
                Ok(FrontListener::Tcp(door))
            }
            Listen::Unix(path) => {
                // What a process left there that has ended makes way.
                match std::fs::remove_file(path) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                    _ => {}
                }
                let door = std::os::unix::net::UnixListener::bind(path)?;
                door.set_nonblocking(true)?;
                Ok(FrontListener::Unix(door))
            }
        }
    }
}

/// The listeners that the operator's file names: those that a predecessor passed on, and new ones for the others.
///
/// # Errors
/// The address or path that can't be had.
pub fn open_listeners(listen: &[Listen], passed: Vec<OwnedFd>) -> Result<Vec<FrontListener>, String> {
    let mut passed: Vec<FrontListener> = passed.into_iter().map(FrontListener::from_descriptor).collect();
    let one = |listen: &Listen| {
        let name = match listen {
            Listen::Tcp(addr) => addr.to_string(),
            Listen::Unix(path) => path.display().to_string(),
        };
        let door = match passed.iter().position(|door| door.matches(listen)) {
            Some(k) => passed.swap_remove(k),
            None => FrontListener::bind(listen).map_err(|e| format!("fastcgi.listen: {name}: {e}"))?,
        };
        let at = match &door {
            FrontListener::Tcp(l) => l.local_addr().map_or(name, |at| at.to_string()),
            FrontListener::Unix(_) => name,
        };
        info!("fastcgi: callers may connect to {at}");
        Ok(door)
    };
    listen.iter().map(one).collect()
}

/// A request of a connection: its id, which comes again, and its number, which does not.
type RequestTurn = (u16, u64);
/// An answer on its way to its connection: the request, the head and the body.
type ReadyAnswer = (RequestTurn, Bytes, Bytes);

/// What a connection's requests are waited for by. Ends all when it is dropped: nobody waits for their answers any more.
#[derive(Default)]
struct OpenRequests {
    open: HashMap<u16, (u64, AbortHandle)>,
    started: u64,
}

impl OpenRequests {
    /// The number of the next request.
    fn next_number(&mut self) -> u64 {
        self.started += 1;
        self.started
    }

    /// Guards against the answer to a request that was called off, on its way meanwhile, reaching the next one with
    /// its id.
    fn remove_answered(&mut self, (id, number): RequestTurn) -> bool {
        let known = self.open.get(&id).is_some_and(|(open, _)| *open == number);
        known && self.open.remove(&id).is_some()
    }
}

impl Drop for OpenRequests {
    fn drop(&mut self) {
        self.open.values().for_each(|(_, task)| task.abort());
    }
}

impl FastCgiFront {
    /// A front that does not accept yet.
    pub fn new(parts: FastCgiFrontConfig) -> Rc<FastCgiFront> {
        let FastCgiFrontConfig {
            pools: driver,
            deployment,
            settings,
            descriptors: sockets,
            limits,
            shutdown: course,
            budgets,
            listeners: doors,
        } = parts;
        let doors = RefCell::new(doors);
        Rc::new(FastCgiFront {
            pools: driver,
            deployment,
            settings,
            descriptors: sockets,
            limits,
            shutdown: course,
            budgets,
            listeners: doors,
        })
    }

    /// Accepts until the program drains, or another process does.
    ///
    /// # Errors
    /// A listener can't be used.
    pub fn start_accepting(self: &Rc<FastCgiFront>) -> Result<(), String> {
        let fault = |e: io::Error| format!("fastcgi.listen: {e}");
        for door in self.listeners.borrow().iter() {
            match door.try_clone().map_err(fault)? {
                FrontListener::Tcp(l) => {
                    let listener = TcpListener::from_std(l).map_err(fault)?;
                    tokio::task::spawn_local(self.clone().accept(move |cx: &mut Context<'_>| {
                        let accepted = ready!(listener.poll_accept(cx));
                        Poll::Ready(accepted.map(|(stream, _)| {
                            // Where it fails the caller is gone.
                            let _ = stream.set_nodelay(true);
                            stream
                        }))
                    }));
                }
                FrontListener::Unix(l) => {
                    let listener = UnixListener::from_std(l).map_err(fault)?;
                    tokio::task::spawn_local(self.clone().accept(move |cx: &mut Context<'_>| {
                        Poll::Ready(ready!(listener.poll_accept(cx)).map(|(stream, _)| stream))
                    }));
                }
            }
        }
        Ok(())
    }

    /// Its listeners, for a successor.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn listeners(&self) -> Result<Vec<OwnedFd>, String> {
        let one = |door: &FrontListener| {
            Ok(match door.try_clone()? {
                FrontListener::Tcp(l) => OwnedFd::from(l),
                FrontListener::Unix(l) => OwnedFd::from(l),
            })
        };
        let all: io::Result<Vec<OwnedFd>> = self.listeners.borrow().iter().map(one).collect();
        all.map_err(|e| format!("fastcgi.listen: {e}"))
    }

    /// Holds no listener any more; those that are accepted on close once nobody waits.
    pub fn close(&self) {
        self.listeners.borrow_mut().clear();
    }

    async fn accept<S: AsyncRead + AsyncWrite + Unpin + 'static>(
        self: Rc<FastCgiFront>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<io::Result<S>>,
    ) {
        let (mut course, mut handed) = (self.shutdown.clone(), self.shutdown.clone());
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts here by now.
                _ = handed.wait_for(|c| c.handed_over) => return,
                accepted = poll_fn(&mut poll) => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = course.wait_for(|c| c.phase >= ShutdownPhase::Draining) => return,
            };
            match accepted {
                Ok(stream) => self.spawn(stream),
                Err(e) => {
                    info!("fastcgi: accept: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn(self: &Rc<FastCgiFront>, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
        let server = self.clone();
        tokio::task::spawn_local(async move {
            // Within the one budget of sockets; one that finds no room within its time for a request has to go.
            let wait = server.limits.get().request_wait;
            if let Ok(Some(_places)) = timeout(wait, server.descriptors.acquire_caller()).await {
                server.connection(stream).await;
            }
        });
    }

    async fn connection(self: Rc<FastCgiFront>, stream: impl AsyncRead + AsyncWrite + Unpin) {
        let limits = self.limits.get();
        let bounds = Bounds {
            params: limits.head,
            body: limits.body,
            head: limits.head,
            requests: self.settings.requests,
            ..Bounds::default()
        };
        let mut machine = Machine::new(bounds);
        let (mut reader, mut writer) = tokio::io::split(stream);
        let (tell, mut told) = mpsc::channel::<ReadyAnswer>(self.settings.requests);
        let (mut tasks, mut events, mut buffer) = (OpenRequests::default(), Vec::new(), BytesMut::new());
        let mut course = self.shutdown.clone();
        // Since when the caller is waited for, and since when it takes nothing of what is ready for it.
        let (mut since, mut untaken) = (Instant::now(), Instant::now());
        // One that has not asked yet keeps its time, whatever ends.
        let mut newcomer = true;
        loop {
            let finished = machine.fill() > 0;
            let phase = course.borrow_and_update().phase;
            if finished {
                (since, newcomer) = (Instant::now(), false);
            }
            let rests = machine.open() == 0 && !machine.midway();
            // The end is announced by closing behind an answer: the protocol has no other way.
            let ends = phase == ShutdownPhase::ClosingIdle
                || (finished && phase >= ShutdownPhase::ClosingConnections);
            if machine.closes() || (rests && !newcomer && ends) {
                break;
            }
            let wait = if rests && !newcomer { limits.idle_wait } else { limits.request_wait };
            // Nobody waits for the caller while all that is open is on its way to be answered.
            let waits = rests || machine.midway();
            let writes = machine.outgoing().has_remaining();
            if buffer.capacity() - buffer.len() < MIN_READ_BYTES {
                buffer.reserve(if machine.midway() { READ_BYTES } else { FIRST_READ_BYTES });
            }
            tokio::select! {
                wrote = writer.write_buf(machine.outgoing()), if writes => {
                    if !matches!(wrote, Ok(n) if n > 0) {
                        break;
                    }
                    untaken = Instant::now();
                }
                // A caller that does not read its answers may still call them off, and ask for more within its bound.
                read = reader.read_buf(&mut buffer), if !machine.clogged() => {
                    if !matches!(read, Ok(n) if n > 0) {
                        break;
                    }
                    if rests && !newcomer {
                        since = Instant::now();
                    }
                    let sound = machine.receive(buffer.split().freeze(), &mut events);
                    for event in events.drain(..) {
                        match event {
                            Event::Request(request) => {
                                let turn = (request.id, tasks.next_number());
                                let task = self.clone().request(request, turn, tell.clone());
                                let task = tokio::task::spawn_local(task).abort_handle();
                                tasks.open.insert(turn.0, (turn.1, task));
                            }
                            Event::Bad(id, status, why) => {
                                machine.answer(id, &head(status), format!("{why}\n").into());
                            }
                            Event::Aborted(id) => {
                                if let Some((_, task)) = tasks.open.remove(&id) {
                                    task.abort();
                                }
                            }
                        }
                    }
                    if let Err(e) = sound {
                        info!("fastcgi: {e}");
                        // What was answered before the fault still goes out.
                        let _ = timeout(limits.flush_wait, writer.write_all(&machine.drain())).await;
                        break;
                    }
                    untaken = if writes { untaken } else { Instant::now() };
                }
                Some((turn, head, body)) = told.recv() => {
                    if tasks.remove_answered(turn) {
                        machine.answer(turn.0, &head, body);
                    }
                    untaken = if writes { untaken } else { Instant::now() };
                }
                () = sleep_until(untaken + limits.flush_wait), if writes => break,
                () = sleep_until(since + wait), if waits => break,
                changed = course.changed() => if changed.is_err() { break },
            }
        }
        let _ = timeout(limits.flush_wait, writer.shutdown()).await;
    }

    async fn request(
        self: Rc<FastCgiFront>,
        request: server::Request,
        turn: RequestTurn,
        tell: mpsc::Sender<ReadyAnswer>,
    ) {
        let (head, body) = match self.take(request) {
            Ok((waiting, told)) => {
                let FinalAnswer { answer, may_have_run: ran, used } = waiting.answer().await;
                let harmless = matches!(answer, Answer::Rejected { .. }) && !ran;
                let more = self.more(told.then_some(used), harmless);
                match answer {
                    Answer::Served { fields, body } => (head_with(200, None, &fields, &more), body),
                    Answer::Rejected { retry_after } => {
                        (head_with(503, Some(retry_after), &Fields::default(), &more), Bytes::new())
                    }
                    Answer::ClientError(status) => {
                        (head_with(status, None, &Fields::default(), &more), Bytes::new())
                    }
                    Answer::Failed => (head_with(502, None, &Fields::default(), &more), Bytes::new()),
                }
            }
            Err(Rejection { status, pause, why, more }) => {
                let text = if why.is_empty() { Bytes::new() } else { Bytes::from(format!("{why}\n")) };
                (head_with(status, pause, &Fields::default(), &more), text)
            }
        };
        // The connection may have ended meanwhile.
        let _ = tell.send((turn, head, body)).await;
    }

    /// What is said besides an answer: what was used of a budget, and that nothing ran where that is certain.
    fn more(&self, used: Option<Used>, nothing_ran: bool) -> Vec<(String, String)> {
        let Some(budgets) = &self.budgets else { return Vec::new() };
        let declined = nothing_ran.then(|| (DECLINED.as_str().to_string(), "1".to_string()));
        let used = used.map(|used| (budgets.names.used.clone(), write_used(used)));
        declined.into_iter().chain(used).collect()
    }

    /// Hands a request to the driver. Whether its caller is told what was used.
    fn take(&self, request: server::Request) -> Result<(AdmittedRequest, bool), Rejection> {
        let limits = self.limits.get();
        let names = &self.settings.names;
        let param = |name: &str| single_param(&request.params, name);
        let one = |field: &RequestField| param(param_name(names, field));
        let method = param("REQUEST_METHOD").unwrap_or("");
        let given = RequestHead {
            single_value: &one,
            has_key: request.params.iter().any(|(n, _)| n == names.key.as_bytes()),
            is_get: method == "GET",
            is_post: method == "POST",
        };
        let bad = |why: &str| Rejection { status: 400, pause: None, why: why.into(), more: Vec::new() };
        let class = classify(&self.deployment, limits.request_id, &given).map_err(bad)?;
        let Classification { class, tenant, deadline_ms: patience, method } = class;
        if method == Method::Get && !request.body.is_empty() {
            return Err(bad("GET has no body"));
        }
        // A web server that was cut off may end the body before its time.
        let length = param("CONTENT_LENGTH").filter(|l| !l.is_empty());
        if length.is_some_and(|l| l.parse() != Ok(request.body.len())) {
            return Err(bad("the body has another length than CONTENT_LENGTH"));
        }
        let target = target(&param).ok_or_else(|| bad("REQUEST_URI is bad"))?;
        let budget = match &self.budgets {
            None => None,
            Some(budgets) => {
                let all = |name: &str| -> Vec<&[u8]> {
                    let name = header_param(name);
                    request.params.iter().filter(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]).collect()
                };
                let (budget, path) = (all(&budgets.names.budget), all(&budgets.names.path));
                let repeated = param(&header_param(REPEATED.as_str())) == Some("1");
                let carried = budgets.carried(FrontKind::FastCgi, (&budget, &path), patience, repeated);
                Some(carried.map_err(|why| match why {
                    NotTaken::Bad(why) => bad(&why.to_string()),
                    NotTaken::Refused(why) => Rejection {
                        status: 503,
                        pause: None,
                        why: why.to_string(),
                        more: self.more(Some(Used { retries: 0, stop: Some(why.stop()) }), true),
                    },
                })?)
            }
        }
        .map(Box::new);
        let told = budget.as_ref().is_some_and(|carried| carried.budget.told);
        let own: Vec<String> = match &self.budgets {
            None => Vec::new(),
            Some(b) => [&b.names.budget, &b.names.path, &b.names.used].map(|name| header_param(name)).into(),
        };
        let out = Request {
            id: param(&names.id).map(|id| Bytes::copy_from_slice(id.as_bytes())),
            method,
            target: target.as_str().into(),
            fields: fields(
                request.params.iter().filter(|(n, _)| !own.iter().any(|o| n == o.as_bytes())),
                names,
            ),
            body: request.body.clone(),
            budget,
            max_attempts: None,
            finished: Cell::new(false),
        };
        let headers = |name: &str| -> Vec<&[u8]> {
            let name = if name == "content-type" { "CONTENT_TYPE".into() } else { header_param(name) };
            request.params.iter().filter(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]).collect()
        };
        let asked = RequestAttributes {
            front: 1,
            method: usize::from(method == Method::Post),
            host: &|| match request.params.iter().filter(|(n, _)| n == "HTTP_HOST").count() {
                0 => Some(param("SERVER_NAME").unwrap_or("")),
                _ => param("HTTP_HOST"),
            },
            target: &target,
            key: &|| request.params.iter().find(|(n, _)| n == names.key.as_bytes()).map(|(_, v)| &v[..]),
            request_id: &|| param(&names.id).unwrap_or("").as_bytes(),
            headers: &headers,
        };
        let taken = self.pools.admit(&asked, class, tenant, patience, out);
        taken.map(|taken| (taken, told)).map_err(|turned| {
            let refused = |pause: Option<Duration>, why: String| Rejection {
                status: 503,
                pause: pause.map(|p| p.as_secs_f64() * 1000.0),
                why,
                more: self.more(None, true),
            };
            let input =
                |status, why: &str| Rejection { status, pause: None, why: why.into(), more: Vec::new() };
            match turned {
                NotRouted::NotAdmitted(AdmissionError::TooManyOpen) => {
                    refused(Some(limits.full_pause), String::new())
                }
                NotRouted::NotAdmitted(AdmissionError::DuplicateId) => {
                    input(409, "a request with this id is open")
                }
                NotRouted::Ambiguous(why) => input(400, why),
                NotRouted::NoRoute => input(404, "there is no route for it"),
                NotRouted::Rejected(why) => refused(None, why),
                NotRouted::Migrating(left) => refused(Some(left), "its club is being moved".into()),
            }
        })
    }
}

/// The one value of a param; `None`: absent, no text, or there several times.
fn single_param<'a>(params: &'a [Pair], name: &str) -> Option<&'a str> {
    let mut all = params.iter().filter(|(n, _)| n == name.as_bytes());
    let value = std::str::from_utf8(&all.next()?.1).ok()?;
    all.next().is_none().then_some(value)
}

/// The param in which a field is.
fn param_name<'a>(names: &'a Names, field: &RequestField) -> &'a str {
    match field.header {
        "req-id" => &names.id,
        "req-kind" => &names.class,
        "req-owner" => &names.tenant,
        "req-deadline" => &names.deadline,
        _ => &names.key,
    }
}

/// Path and query, as the web server got them.
fn target<'a>(param: &impl Fn(&str) -> Option<&'a str>) -> Option<String> {
    let text = match param("REQUEST_URI") {
        Some(uri) => uri.to_string(),
        None => {
            let path = format!("{}{}", param("SCRIPT_NAME").unwrap_or(""), param("PATH_INFO").unwrap_or(""));
            match param("QUERY_STRING").unwrap_or("") {
                "" => path,
                query => format!("{path}?{query}"),
            }
        }
    };
    let sound = text.starts_with('/') && text.parse::<hyper::http::uri::PathAndQuery>().is_ok();
    sound.then_some(text)
}

/// The end-to-end fields of a request: what its params took from headers, and its id and key by their own names.
fn fields<'a>(params: impl Iterator<Item = &'a Pair>, names: &Names) -> Fields {
    let text = |b: &Bytes| std::str::from_utf8(b).ok().map(String::from);
    let field = |(name, value): &Pair| {
        let name = text(name)?;
        let own = match name.as_str() {
            n if n == names.deadline => return None,
            n if n == names.id => "req-id".to_string(),
            n if n == names.key => KEY.header.to_string(),
            n if n == names.class => "req-kind".to_string(),
            n if n == names.tenant => "req-owner".to_string(),
            "CONTENT_TYPE" => "content-type".into(),
            n => n.strip_prefix("HTTP_")?.replace('_', "-").to_ascii_lowercase(),
        };
        // `Host` is the next hop's own, and empty params stand for what is not there.
        let kept = !belongs_to_a_hop(own.as_bytes()) && !value.is_empty();
        kept.then(|| (own, value.clone()))
    };
    let all: Vec<(String, Bytes)> = params.filter_map(field).collect();
    Fields::new(all.iter().map(|(name, value)| (name.as_str(), &value[..])))
}

/// The param that stands for a header (RFC 3875, section 4.1.18).
fn header_param(header: &str) -> String {
    format!("HTTP_{}", header.replace('-', "_").to_ascii_uppercase())
}

/// A request that was not taken, and its answer.
struct Rejection {
    status: u16,
    pause: Option<f64>,
    why: String,
    more: Vec<(String, String)>,
}

/// The head of an answer that turns a request away.
fn head(status: u16) -> Bytes {
    head_with(status, None, &Fields::default(), &[])
}

/// The head of an answer, as a responder writes it.
fn head_with(status: u16, retry_after: Option<f64>, fields: &Fields, more: &[(String, String)]) -> Bytes {
    let reason =
        hyper::StatusCode::from_u16(status).ok().and_then(|s| s.canonical_reason()).unwrap_or("Answered");
    let mut text = format!("Status: {status} {reason}\r\n");
    if let Some(after) = retry_after.filter(|&after| after > 0.0) {
        // Writing to a string can't fail.
        let _ = write!(text, "Retry-After: {:.3}\r\n", after / 1000.0);
    }
    for (name, value) in more {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let mut out = BytesMut::from(text.as_bytes());
    for (name, value) in fields.iter() {
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(&value);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.freeze()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an answer that crosses an abort and reaches the next request with the same id.
    #[tokio::test]
    async fn an_answer_belongs_to_its_request_and_not_to_its_id() {
        let mut tasks = OpenRequests::default();
        let handle = || tokio::spawn(async {}).abort_handle();
        let first = tasks.next_number();
        tasks.open.insert(1, (first, handle()));
        // Called off while its answer is on its way, and the id begins again.
        tasks.open.remove(&1);
        let second = tasks.next_number();
        tasks.open.insert(1, (second, handle()));
        assert!(!tasks.remove_answered((1, first)));
        assert!(tasks.remove_answered((1, second)) && !tasks.remove_answered((1, second)));
    }
}
