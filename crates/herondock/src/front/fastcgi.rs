//! Callers that speak FastCGI 1.0, such as a web server's gateway: takes requests whole, hands them to the driver, and
//! writes the one final answer.
//!
//! Bad params get a whole answer with a 4xx status; what makes a connection's bytes uncertain ends it. An ABORT, or the
//! end of the connection, calls off what is out.
use super::classify::{classify, Class, Field, Given, KEY};
use super::{Course, Phase};
use crate::descriptor_budget::DescriptorBudget;
use crate::driver::Untaken;
use crate::exchange::{Answer, Fields, Final, Method, Request};
use crate::http::{belongs_to_a_hop, DECLINED, REPEATED};
use crate::live_config::LiveConfig;
use crate::request_budgets::{Budgets, Side};
use crate::routing::ask::{Asked, Turned as NotRouted};
use crate::routing::{Pools, Taken};
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
const READ: usize = 16 << 10;
const READ_FIRST: usize = 4 << 10;
/// Less room than this is made more.
const READ_LEAST: usize = 1 << 10;
/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a front is built from.
pub struct Parts {
    /// The pools.
    pub driver: Pools,
    /// The settings.
    pub deployment: Deployment,
    /// `[fastcgi]` of the operator's file.
    pub settings: FastCgi,
    /// All descriptors.
    pub sockets: DescriptorBudget,
    /// Sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// How far the end of the program has come.
    pub course: watch::Receiver<Course>,
    /// Budgets, where they are on.
    pub budgets: Option<Rc<Budgets>>,
    /// Its listeners.
    pub doors: Vec<Door>,
}

/// What every connection needs.
pub struct Server {
    driver: Pools,
    deployment: Deployment,
    settings: FastCgi,
    sockets: DescriptorBudget,
    limits: LiveConfig<Limits>,
    course: watch::Receiver<Course>,
    budgets: Option<Rc<Budgets>>,
    /// Its listeners, to be passed on; those that are accepted on are their clones.
    doors: RefCell<Vec<Door>>,
}

/// A listener of this front's.
pub enum Door {
    /// TCP.
    Tcp(std::net::TcpListener),
    /// A Unix socket.
    Unix(std::os::unix::net::UnixListener),
}

impl Door {
    fn of(passed: OwnedFd) -> Door {
        let tcp = std::net::TcpListener::from(passed);
        match tcp.local_addr() {
            Ok(_) => Door::Tcp(tcp),
            Err(_) => Door::Unix(OwnedFd::from(tcp).into()),
        }
    }

    /// Whether this is the one that the operator's file means.
    fn is(&self, listen: &Listen) -> bool {
        match (self, listen) {
            (Door::Tcp(l), Listen::Tcp(addr)) => l
                .local_addr()
                .is_ok_and(|at| at.ip() == addr.ip() && (addr.port() == 0 || at.port() == addr.port())),
            (Door::Unix(l), Listen::Unix(path)) => {
                l.local_addr().is_ok_and(|at| at.as_pathname() == Some(path))
            }
            _ => false,
        }
    }

    fn another(&self) -> io::Result<Door> {
        Ok(match self {
            Door::Tcp(l) => Door::Tcp(l.try_clone()?),
            Door::Unix(l) => Door::Unix(l.try_clone()?),
        })
    }

    fn bind(listen: &Listen) -> io::Result<Door> {
        match listen {
            Listen::Tcp(addr) => {
                let door = std::net::TcpListener::bind(addr)?;
                door.set_nonblocking(true)?;
                Ok(Door::Tcp(door))
            }
            Listen::Unix(path) => {
                // What a process left there that has ended makes way.
                match std::fs::remove_file(path) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                    _ => {}
                }
                let door = std::os::unix::net::UnixListener::bind(path)?;
                door.set_nonblocking(true)?;
                Ok(Door::Unix(door))
            }
        }
    }
}

/// The listeners that the operator's file names: those that a predecessor passed on, and new ones for the others.
///
/// # Errors
/// The address or path that can't be had.
pub fn open(listen: &[Listen], passed: Vec<OwnedFd>) -> Result<Vec<Door>, String> {
    let mut passed: Vec<Door> = passed.into_iter().map(Door::of).collect();
    let one = |listen: &Listen| {
        let name = match listen {
            Listen::Tcp(addr) => addr.to_string(),
            Listen::Unix(path) => path.display().to_string(),
        };
        let door = match passed.iter().position(|door| door.is(listen)) {
            Some(k) => passed.swap_remove(k),
            None => Door::bind(listen).map_err(|e| format!("fastcgi.listen: {name}: {e}"))?,
        };
        let at = match &door {
            Door::Tcp(l) => l.local_addr().map_or(name, |at| at.to_string()),
            Door::Unix(_) => name,
        };
        info!("fastcgi: callers may connect to {at}");
        Ok(door)
    };
    listen.iter().map(one).collect()
}

/// A request of a connection: its id, which comes again, and its number, which does not.
type Turn = (u16, u64);
/// An answer on its way to its connection: the request, the head and the body.
type Answered = (Turn, Bytes, Bytes);

/// What a connection's requests are waited for by. Ends all when it is dropped: nobody waits for their answers any more.
#[derive(Default)]
struct Tasks {
    open: HashMap<u16, (u64, AbortHandle)>,
    begun: u64,
}

impl Tasks {
    /// The number of the next request.
    fn next(&mut self) -> u64 {
        self.begun += 1;
        self.begun
    }

    /// Guards against the answer to a request that was called off, on its way meanwhile, reaching the next one with
    /// its id.
    fn answered(&mut self, (id, number): Turn) -> bool {
        let known = self.open.get(&id).is_some_and(|(open, _)| *open == number);
        known && self.open.remove(&id).is_some()
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.open.values().for_each(|(_, task)| task.abort());
    }
}

impl Server {
    /// A front that does not accept yet.
    pub fn new(parts: Parts) -> Rc<Server> {
        let Parts { driver, deployment, settings, sockets, limits, course, budgets, doors } = parts;
        let doors = RefCell::new(doors);
        Rc::new(Server { driver, deployment, settings, sockets, limits, course, budgets, doors })
    }

    /// Accepts until the program drains, or another process does.
    ///
    /// # Errors
    /// A listener can't be used.
    pub fn begin(self: &Rc<Server>) -> Result<(), String> {
        let fault = |e: io::Error| format!("fastcgi.listen: {e}");
        for door in self.doors.borrow().iter() {
            match door.another().map_err(fault)? {
                Door::Tcp(l) => {
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
                Door::Unix(l) => {
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
        let one = |door: &Door| {
            Ok(match door.another()? {
                Door::Tcp(l) => OwnedFd::from(l),
                Door::Unix(l) => OwnedFd::from(l),
            })
        };
        let all: io::Result<Vec<OwnedFd>> = self.doors.borrow().iter().map(one).collect();
        all.map_err(|e| format!("fastcgi.listen: {e}"))
    }

    /// Holds no listener any more; those that are accepted on close once nobody waits.
    pub fn close(&self) {
        self.doors.borrow_mut().clear();
    }

    async fn accept<S: AsyncRead + AsyncWrite + Unpin + 'static>(
        self: Rc<Server>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<io::Result<S>>,
    ) {
        let (mut course, mut handed) = (self.course.clone(), self.course.clone());
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts here by now.
                _ = handed.wait_for(|c| c.handed_over) => return,
                accepted = poll_fn(&mut poll) => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = course.wait_for(|c| c.phase >= Phase::Draining) => return,
            };
            match accepted {
                Ok(stream) => self.spawn(stream),
                Err(e) => {
                    info!("fastcgi: accept: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn(self: &Rc<Server>, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
        let server = self.clone();
        tokio::task::spawn_local(async move {
            // Within the one budget of sockets; one that finds no room within its time for a request has to go.
            let wait = server.limits.get().request_wait;
            if let Ok(Some(_places)) = timeout(wait, server.sockets.caller_waits()).await {
                server.connection(stream).await;
            }
        });
    }

    async fn connection(self: Rc<Server>, stream: impl AsyncRead + AsyncWrite + Unpin) {
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
        let (tell, mut told) = mpsc::channel::<Answered>(self.settings.requests);
        let (mut tasks, mut events, mut buffer) = (Tasks::default(), Vec::new(), BytesMut::new());
        let mut course = self.course.clone();
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
            let ends = phase == Phase::Silencing || (finished && phase >= Phase::Closing);
            if machine.closes() || (rests && !newcomer && ends) {
                break;
            }
            let wait = if rests && !newcomer { limits.idle_wait } else { limits.request_wait };
            // Nobody waits for the caller while all that is open is on its way to be answered.
            let waits = rests || machine.midway();
            let writes = machine.outgoing().has_remaining();
            if buffer.capacity() - buffer.len() < READ_LEAST {
                buffer.reserve(if machine.midway() { READ } else { READ_FIRST });
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
                                let turn = (request.id, tasks.next());
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
                    if tasks.answered(turn) {
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

    async fn request(self: Rc<Server>, request: server::Request, turn: Turn, tell: mpsc::Sender<Answered>) {
        let (head, body) = match self.take(request) {
            Ok((waiting, told)) => {
                let Final { answer, ran, used } = waiting.answer().await;
                let harmless = matches!(answer, Answer::Refused { .. }) && !ran;
                let more = self.more(told.then_some(used), harmless);
                match answer {
                    Answer::Served { fields, body } => (head_with(200, None, &fields, &more), body),
                    Answer::Refused { retry_after } => {
                        (head_with(503, Some(retry_after), &Fields::default(), &more), Bytes::new())
                    }
                    Answer::Unusable(status) => {
                        (head_with(status, None, &Fields::default(), &more), Bytes::new())
                    }
                    Answer::Failed => (head_with(502, None, &Fields::default(), &more), Bytes::new()),
                }
            }
            Err(Turned { status, pause, why, more }) => {
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
    fn take(&self, request: server::Request) -> Result<(Taken, bool), Turned> {
        let limits = self.limits.get();
        let names = &self.settings.names;
        let param = |name: &str| only(&request.params, name);
        let one = |field: &Field| param(named(names, field));
        let method = param("REQUEST_METHOD").unwrap_or("");
        let given = Given {
            one: &one,
            keyed: request.params.iter().any(|(n, _)| n == names.key.as_bytes()),
            get: method == "GET",
            post: method == "POST",
        };
        let bad = |why: &str| Turned { status: 400, pause: None, why: why.into(), more: Vec::new() };
        let class = classify(&self.deployment, limits.request_id, &given).map_err(bad)?;
        let Class { class, tenant, patience, method } = class;
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
                    let name = param_of(name);
                    request.params.iter().filter(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]).collect()
                };
                let (budget, path) = (all(&budgets.names.budget), all(&budgets.names.path));
                let repeated = param(&param_of(REPEATED.as_str())) == Some("1");
                let carried = budgets.carried(Side::FastCgi, (&budget, &path), patience, repeated);
                Some(carried.map_err(|why| match why {
                    NotTaken::Bad(why) => bad(&why.to_string()),
                    NotTaken::Refused(why) => Turned {
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
            Some(b) => [&b.names.budget, &b.names.path, &b.names.used].map(|name| param_of(name)).into(),
        };
        let out = Request {
            name: param(&names.id).map(|id| Bytes::copy_from_slice(id.as_bytes())),
            method,
            target: target.as_str().into(),
            fields: fields(
                request.params.iter().filter(|(n, _)| !own.iter().any(|o| n == o.as_bytes())),
                names,
            ),
            body: request.body.clone(),
            budget,
            attempts: None,
            over: Cell::new(false),
        };
        let headers = |name: &str| -> Vec<&[u8]> {
            let name = if name == "content-type" { "CONTENT_TYPE".into() } else { param_of(name) };
            request.params.iter().filter(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]).collect()
        };
        let asked = Asked {
            front: 1,
            method: usize::from(method == Method::Post),
            host: &|| match request.params.iter().filter(|(n, _)| n == "HTTP_HOST").count() {
                0 => Some(param("SERVER_NAME").unwrap_or("")),
                _ => param("HTTP_HOST"),
            },
            target: &target,
            key: &|| request.params.iter().find(|(n, _)| n == names.key.as_bytes()).map(|(_, v)| &v[..]),
            id: &|| param(&names.id).unwrap_or("").as_bytes(),
            headers: &headers,
        };
        let taken = self.driver.take(&asked, class, tenant, patience, out);
        taken.map(|taken| (taken, told)).map_err(|turned| {
            let refused = |pause: Option<Duration>, why: String| Turned {
                status: 503,
                pause: pause.map(|p| p.as_secs_f64() * 1000.0),
                why,
                more: self.more(None, true),
            };
            let input = |status, why: &str| Turned { status, pause: None, why: why.into(), more: Vec::new() };
            match turned {
                NotRouted::Untaken(Untaken::Full) => refused(Some(limits.full_pause), String::new()),
                NotRouted::Untaken(Untaken::Known) => input(409, "a request with this id is open"),
                NotRouted::Unclear(why) => input(400, why),
                NotRouted::NoRoute => input(404, "there is no route for it"),
                NotRouted::Refused(why) => refused(None, why),
                NotRouted::Moving(left) => refused(Some(left), "its club is being moved".into()),
            }
        })
    }
}

/// The one value of a param; `None`: absent, no text, or there several times.
fn only<'a>(params: &'a [Pair], name: &str) -> Option<&'a str> {
    let mut all = params.iter().filter(|(n, _)| n == name.as_bytes());
    let value = std::str::from_utf8(&all.next()?.1).ok()?;
    all.next().is_none().then_some(value)
}

/// The param in which a field is.
fn named<'a>(names: &'a Names, field: &Field) -> &'a str {
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
fn param_of(header: &str) -> String {
    format!("HTTP_{}", header.replace('-', "_").to_ascii_uppercase())
}

/// A request that was not taken, and its answer.
struct Turned {
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
        let mut tasks = Tasks::default();
        let handle = || tokio::spawn(async {}).abort_handle();
        let first = tasks.next();
        tasks.open.insert(1, (first, handle()));
        // Called off while its answer is on its way, and the id begins again.
        tasks.open.remove(&1);
        let second = tasks.next();
        tasks.open.insert(1, (second, handle()));
        assert!(!tasks.answered((1, first)));
        assert!(tasks.answered((1, second)) && !tasks.answered((1, second)));
    }
}
