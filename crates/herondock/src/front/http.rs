//! Callers that speak HTTP/1.1: takes requests whole, hands them to the driver and writes the one final answer.
use super::classify::{classify, Class, Field, Given, KEY};
use super::watched::{Watch, Watched};
use super::{Course, Phase};
use crate::descriptor_budget::{DescriptorBudget, Places};
use crate::driver::Untaken;
use crate::exchange::{Answer, Carried, Final, Method, Request};
use crate::http::{fields, headers, DEADLINE, DECLINED, REPEATED};
use crate::live_config::LiveConfig;
use crate::request_budgets::{Budgets, Side};
use crate::routing::ask::{Asked, Turned};
use crate::routing::{Pools, Taken};
use crate::stream::Shared;
use bytes::Bytes;
use config::operator::Limits;
use config::Deployment;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use request_budget::grammar::write_used;
use request_budget::grammar::Used;
use request_budget::BudgetRejection as NotTaken;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tracing::info;

/// A connection that has asked for nothing yet makes way for new ones after this long.
const NEWCOMER: Duration = Duration::from_millis(30);
/// Or, while none that was used has rested for [`RESTED`], after this long.
const NEWCOMER_LEAST: Duration = Duration::from_millis(5);
/// A connection that was used makes way before young newcomers after this long.
const RESTED: Duration = Duration::from_secs(2);
/// Or at once, while newcomers hold less than one in so many of the callers' places: so few do not make room for those that
/// wait to be accepted, whose requests count as taken.
const NEWCOMERS_FEW: usize = 4;
/// How often a connection's waits are looked at.
const LOOK: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// While all callers' connections are busy, the next look for one that may be closed comes after this.
const CROWDED_PAUSE: Duration = Duration::from_millis(10);
/// What is read at once of that which is thrown away.
const DRAIN_STEP: usize = 16 << 10;
const READY: &str = "/-/ready";
const SERVICE: &str = "/api";

/// A connection between requests: whether it has carried one, and its turn.
type Place = (bool, u64);

/// What every connection needs.
pub struct Server {
    driver: Pools,
    deployment: Deployment,
    sockets: DescriptorBudget,
    limits: LiveConfig<Limits>,
    course: watch::Receiver<Course>,
    budgets: Option<Rc<Budgets>>,
    /// Connections between requests and how to close them, those that never asked for anything first, and among
    /// these the one that rested longest.
    idle: RefCell<BTreeMap<Place, (Instant, Rc<Notify>)>>,
    /// Of these, those that never asked for anything.
    newcomers: Cell<usize>,
    /// Orders the connections by when they last fell idle.
    turn: Cell<u64>,
}

/// Marks an answer to a request whose body was not read.
#[derive(Clone, Copy)]
struct Unread;

/// What a front is built from.
pub struct Parts {
    /// The pools.
    pub driver: Pools,
    /// The settings.
    pub deployment: Deployment,
    /// All descriptors; callers have what it leaves them.
    pub sockets: DescriptorBudget,
    /// Sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// How far the end of the program has come.
    pub course: watch::Receiver<Course>,
    /// Budgets, where they are on.
    pub budgets: Option<Rc<Budgets>>,
}

impl Server {
    /// A front that does not accept yet.
    pub fn new(parts: Parts) -> Rc<Server> {
        let Parts { driver, deployment, sockets, limits, course, budgets } = parts;
        let (idle, newcomers, turn) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Rc::new(Server { driver, deployment, sockets, limits, course, budgets, idle, newcomers, turn })
    }

    /// Notes that a connection is between requests, `used` once it has carried one. Its number is to be taken
    /// out when that ends.
    fn rests(&self, used: bool, close: &Rc<Notify>) -> Option<Place> {
        self.turn.set(self.turn.get() + 1);
        let number = (used, self.turn.get());
        self.idle.borrow_mut().insert(number, (Instant::now(), close.clone()));
        self.newcomers.set(self.newcomers.get() + usize::from(!used));
        Some(number)
    }

    /// Takes a connection out of those between requests, if it is there still.
    fn rests_no_more(&self, number: Option<Place>) -> Option<Rc<Notify>> {
        let number = number?;
        let (_, close) = self.idle.borrow_mut().remove(&number)?;
        self.newcomers.set(self.newcomers.get() - usize::from(!number.0));
        Some(close)
    }

    /// Closes a connection between requests, if there is one. Guards against silent callers by the hundred that
    /// would shut out those that ask: they go first, once what they may have sent had time to be read. And against
    /// waiting for that time while connections rest that nobody has used for long, or that hold nearly all places: each
    /// accept would take as long, and what waits to be accepted grows stale.
    fn close_one(&self) -> bool {
        let first = |used| {
            let idle = self.idle.borrow();
            let first = idle.range((used, 0)..=(used, u64::MAX)).next();
            first.map(|(&n, at)| (n, at.0.elapsed()))
        };
        let few = self.newcomers.get() < self.sockets.callers_most() / NEWCOMERS_FEW;
        let chosen = match (first(false), first(true)) {
            (Some((n, age)), _) if age >= NEWCOMER => n,
            (_, Some((n, rested))) if rested >= RESTED => n,
            (Some((n, age)), _) if age >= NEWCOMER_LEAST => n,
            (_, Some((n, _))) if few => n,
            (None, Some((n, _))) => n,
            _ => return false,
        };
        self.rests_no_more(Some(chosen)).is_some_and(|close| {
            close.notify_one();
            true
        })
    }

    /// Room for one more caller. Guards against idle connections that callers keep shutting others out: what is
    /// written to a connection that waits to be accepted counts as taken, so one between requests makes way.
    async fn room(&self) -> Option<Places> {
        loop {
            if let Some(places) = self.sockets.caller() {
                return Some(places);
            }
            if !self.close_one() && self.sockets.exhausted() {
                self.driver.free_socket();
            }
            // Whoever closes gives its place back; while all are busy, look again a little later.
            if let Ok(places) = timeout(CROWDED_PAUSE, self.sockets.caller_waits()).await {
                return places;
            }
        }
    }

    /// Accepts callers until the program closes. Returns once every connection has ended.
    pub async fn run(self: Rc<Server>, listener: TcpListener) {
        let (mut course, mut handed, mut failing) = (self.course.clone(), self.course.clone(), false);
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts here by now.
                _ = handed.wait_for(|c| c.handed_over) => break,
                accepted = listener.accept() => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = course.wait_for(|c| c.phase >= Phase::Draining) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    let Some(places) = self.room().await else { break };
                    // Without it answers wait for the caller's acknowledgements; where it fails the caller is gone.
                    if stream.set_nodelay(true).is_ok() {
                        let link = self.welcome(stream);
                        tokio::task::spawn_local(self.clone().connection(link, places));
                    }
                }
                // Out of descriptors, or a caller that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        info!("accept: {e}");
                    }
                    self.close_one();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        self.sockets.callers_left().await;
    }

    /// Notes a new connection, at once, so that it is the one to make way and not an older one in use.
    fn welcome(&self, stream: TcpStream) -> Rc<Link> {
        let link = Rc::new(Link {
            watch: Watch::new(),
            stream: Shared::new(stream),
            close: Rc::new(Notify::new()),
            place: Cell::new(None),
            refused: Cell::new(false),
        });
        link.place.set(self.rests(false, &link.close));
        link
    }

    async fn connection(self: Rc<Server>, link: Rc<Link>, _places: Places) {
        let mut stream = link.stream.clone();
        let (server, at) = (self.clone(), link.clone());
        let service = service_fn(move |request| {
            let (server, link) = (server.clone(), at.clone());
            async move {
                server.rests_no_more(link.place.take());
                let response = server.respond(request, &link).await;
                link.watch.since.set(Instant::now());
                link.place.set(server.rests(true, &link.close));
                Ok::<_, Infallible>(response)
            }
        });
        let head_most = self.limits.get().head;
        let io = TokioIo::new(Watched::new(stream.clone(), link.watch.clone(), head_most));
        let connection = http1::Builder::new().max_buf_size(head_most).serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut course = self.course.clone();
        let mut silencing = false;
        loop {
            let mut crowded = false;
            tokio::select! {
                // A caller's broken connection or garbage ends this connection only.
                _ = connection.as_mut() => break,
                // hyper sees no end behind bytes that it has read and not taken, and asks for no more of them: what is under
                // way for a caller that has left ends here, and what waits behind it is not begun.
                () = link.stream.hung_up() => break,
                // Nothing is owed, and half a request may be in the way of a graceful end.
                () = link.overdue(&self.limits) => break,
                () = link.close.notified() => crowded = true,
                _ = course.wait_for(|c| c.phase == Phase::Silencing), if !silencing => silencing = true,
            }
            // Guards against cutting off a caller that has just connected: it has its time to ask, after a hand-over
            // as before, and nobody else will take what it is about to write.
            let newcomer = link.watch.given.get() == 0;
            if newcomer && !crowded {
                continue;
            }
            // What has been written whole to this connection counts as taken, also if nobody has read it yet; half
            // a head on a connection that never asked for anything does not.
            let half = link.watch.midway.get();
            if half && newcomer {
                break;
            }
            if link.place.get().is_some() && !half && stream.quiet() {
                connection.as_mut().graceful_shutdown();
                // Guards against callers that never read their answer: no hold on us.
                let _ = timeout(self.limits.get().flush_wait, connection.as_mut()).await;
                break;
            }
        }
        self.rests_no_more(link.place.take());
        if link.refused.get() {
            let limits = self.limits.get();
            let _ = timeout(limits.linger_wait, drain(&mut stream, limits.linger)).await;
        }
    }

    async fn respond(&self, request: hyper::Request<Incoming>, link: &Link) -> Response<Full<Bytes>> {
        let watch = &link.watch;
        watch.given.set(watch.given.get() + 1);
        // Guards against requests hidden in the body of another: behind a head that states its length in two
        // ways nothing is read, and behind chunks, whose end the watch does not follow, neither.
        let ambiguous = watch.ambiguous.get() == Some(watch.given.get());
        let last = ambiguous || request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = match request.uri().path() {
            _ if ambiguous => refuse_input(StatusCode::BAD_REQUEST, "the length is stated in two ways"),
            READY if self.driver.ready() && self.up() => plain(StatusCode::OK),
            READY => plain(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE || path.starts_with("/api/") => {
                let due = watch.since.get() + self.limits.get().request_wait;
                match self.take(request, due, watch).await {
                    Ok((waiting, told)) => {
                        let Final { answer, ran, used } = waiting.answer().await;
                        let harmless = matches!(answer, Answer::Refused { .. }) && !ran;
                        let mut response = final_answer(answer);
                        self.tell(&mut response, told.then_some(used), harmless);
                        response
                    }
                    Err(response) => response,
                }
            }
            _ => plain(StatusCode::NOT_FOUND),
        };
        let refused = response.status().is_client_error() || response.extensions().get::<Unread>().is_some();
        link.refused.set(refused);
        // At the end of the program what has been sent behind this request is still answered.
        let leaving = self.course.borrow().phase >= Phase::Closing && !watch.more() && link.stream.quiet();
        if refused || last || leaving {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Whether whoever connects to this address now is served. Guards against a front that meets the old process's
    /// last connections after a hand-over and takes the address for one that is going.
    fn up(&self) -> bool {
        let course = *self.course.borrow();
        course.phase == Phase::Up || course.handed_over
    }

    /// Says what was used of a budget, and that nothing ran where that is certain: whoever stands above may then try
    /// elsewhere.
    fn tell(&self, response: &mut Response<Full<Bytes>>, used: Option<Used>, nothing_ran: bool) {
        let Some(budgets) = &self.budgets else { return };
        if nothing_ran {
            response.headers_mut().insert(DECLINED, HeaderValue::from_static("1"));
        }
        let name = HeaderName::try_from(&budgets.names.used);
        if let (Some(used), Ok(name)) = (used, name) {
            if let Ok(value) = HeaderValue::try_from(write_used(used)) {
                response.headers_mut().insert(name, value);
            }
        }
    }

    /// What a request may use; or the answer to one that goes no further.
    fn budget(
        &self,
        headers: &HeaderMap,
        patience: f64,
    ) -> Result<Option<Box<Carried>>, Box<Response<Full<Bytes>>>> {
        let Some(budgets) = &self.budgets else { return Ok(None) };
        let all =
            |name: &str| -> Vec<&[u8]> { headers.get_all(name).iter().map(HeaderValue::as_bytes).collect() };
        let (budget, path) = (all(&budgets.names.budget), all(&budgets.names.path));
        let repeated = headers.get(REPEATED).is_some_and(|v| v == "1");
        budgets
            .carried(Side::Http, (&budget, &path), patience, repeated)
            .map(|carried| Some(Box::new(carried)))
            .map_err(|why| match why {
                NotTaken::Bad(bad) => Box::new(refuse_input(StatusCode::BAD_REQUEST, &bad.to_string())),
                NotTaken::Refused(why) => {
                    let mut response = refuse_input(StatusCode::SERVICE_UNAVAILABLE, &why.to_string());
                    self.tell(&mut response, Some(Used { retries: 0, stop: Some(why.stop()) }), true);
                    Box::new(response)
                }
            })
    }

    /// Reads a request whole and hands it to the driver. Whether its caller is told what was used.
    async fn take(
        &self,
        request: hyper::Request<Incoming>,
        due: Instant,
        watch: &Watch,
    ) -> Result<(Taken, bool), Response<Full<Bytes>>> {
        let (number, first) = (watch.given.get(), watch.first.get());
        let (head, body) = request.into_parts();
        let limits = self.limits.get();
        let bad = |what: &str| refuse_input(StatusCode::BAD_REQUEST, what);
        let one = |field: &Field| {
            let mut all = head.headers.get_all(field.header).iter();
            let value = all.next()?.to_str().ok()?;
            all.next().is_none().then_some(value)
        };
        let given = Given {
            one: &one,
            keyed: head.headers.contains_key(KEY.header),
            get: head.method == hyper::Method::GET,
            post: head.method == hyper::Method::POST,
        };
        let id_most = limits.request_id;
        let Class { class, tenant, patience, method } =
            classify(&self.deployment, id_most, &given).map_err(bad)?;
        // Before its body has come: what goes no further is answered at once.
        let mut budget = self.budget(&head.headers, patience).map_err(|mut response| {
            if !body.is_end_stream() {
                response.extensions_mut().insert(Unread);
            }
            *response
        })?;
        if body.size_hint().lower() > limits.body as u64 {
            return Err(refuse_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        if method == Method::Get && !body.is_end_stream() {
            return Err(bad("GET has no body"));
        }
        let body = match timeout_at(due, Limited::new(body, limits.body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(refuse_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
            }
            Ok(Err(_)) => return Err(bad("the body is broken")),
            Err(_) => return Err(refuse_input(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        // What it waited here behind others of its connection is part of the time that its caller gave it.
        let waited = watch.read_whole(number).map_or(Duration::ZERO, |at| at.elapsed());
        // And with budgets what its way here took, as far as it can be seen: no clock of another machine's is needed for it.
        let waited = if budget.is_some() { waited.max(first.elapsed()) } else { waited };
        let patience = (patience - waited.as_secs_f64() * 1000.0).max(0.0);
        if let Some(carried) = &mut budget {
            carried.budget.left = patience;
        }
        let told = budget.as_ref().is_some_and(|carried| carried.budget.told);
        let own = match &budget {
            None => Vec::new(),
            Some(carried) => {
                let names = &carried.names;
                let all = [&names.budget, &names.path, &names.used];
                all.into_iter().flat_map(HeaderName::try_from).collect()
            }
        };
        let request = Request {
            name: head.headers.get("req-id").map(|id| Bytes::copy_from_slice(id.as_bytes())),
            method,
            target: head.uri.path_and_query().map_or("/", |p| p.as_str()).into(),
            fields: fields(&head.headers, |name| *name == DEADLINE || own.contains(name)),
            body,
            budget,
            attempts: None,
            over: Cell::new(false),
        };
        // Upstreams get the header, so that a target with a host of its own must say the same.
        let host = || {
            let mut hosts = head.headers.get_all(header::HOST).iter().map(|h| h.to_str().ok());
            match (hosts.next(), hosts.next(), head.uri.authority()) {
                (None, _, authority) => Some(authority.map_or("", |a| a.as_str())),
                (Some(host), None, authority) => host.filter(|h| authority.is_none_or(|a| a.as_str() == *h)),
                _ => None,
            }
        };
        let asked = Asked {
            front: 0,
            method: usize::from(method == Method::Post),
            host: &host,
            target: head.uri.path_and_query().map_or("/", |p| p.as_str()),
            key: &|| head.headers.get(KEY.header).map(HeaderValue::as_bytes),
            id: &|| head.headers.get("req-id").map_or(b"", |id| id.as_bytes()),
            headers: &|name| head.headers.get_all(name).iter().map(HeaderValue::as_bytes).collect(),
        };
        let taken = self.driver.take(&asked, class, tenant, patience, request);
        taken.map(|taken| (taken, told)).map_err(|turned| {
            let refused = |pause: Duration, why: &str| {
                let mut response =
                    final_answer(Answer::Refused { retry_after: pause.as_secs_f64() * 1000.0 });
                if !why.is_empty() {
                    *response.body_mut() = Full::new(Bytes::from(format!("{why}\n")));
                }
                self.tell(&mut response, None, true);
                response
            };
            match turned {
                Turned::Untaken(Untaken::Full) => refused(limits.full_pause, ""),
                Turned::Untaken(Untaken::Known) => {
                    refuse_input(StatusCode::CONFLICT, "a request with this Req-Id is open")
                }
                Turned::Unclear(why) => bad(why),
                Turned::NoRoute => refuse_input(StatusCode::NOT_FOUND, "there is no route for it"),
                Turned::Refused(why) => refused(Duration::ZERO, &why),
                Turned::Moving(left) => refused(left, "its club is being moved"),
            }
        })
    }
}

/// One caller's connection, as its task and its requests see it.
struct Link {
    watch: Rc<Watch>,
    stream: Shared,
    /// Told when it is to make way for another.
    close: Rc<Notify>,
    /// Its number while it is between requests.
    place: Cell<Option<Place>>,
    /// Whether its last answer turned bad input away.
    refused: Cell<bool>,
}

impl Link {
    /// Returns once the caller has been waited for long enough.
    async fn overdue(&self, limits: &LiveConfig<Limits>) {
        let watch = &self.watch;
        loop {
            let now = Instant::now();
            let waiting = self.place.get().is_some();
            let limits = limits.get();
            let rests = watch.given.get() > 0 && !watch.midway.get();
            let most = if rests { limits.idle_wait } else { limits.request_wait };
            let due = watch.since.get() + most;
            if waiting && now >= due {
                return;
            }
            // Half a head may come at any time, so that the next look is never far.
            sleep_until(if waiting { due.min(now + LOOK) } else { now + LOOK }).await;
        }
    }
}

/// Reads what still comes, to throw it away.
async fn drain(stream: &mut Shared, mut most: usize) {
    let mut buffer = vec![0; DRAIN_STEP];
    while most > 0 {
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => most = most.saturating_sub(n),
            _ => return,
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn refuse_input(status: StatusCode, what: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{what}\n"))));
    *response.status_mut() = status;
    response
}

fn final_answer(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served { fields, body } => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers(&fields);
            response
        }
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            if retry_after > 0.0 {
                // Digits and a point only, so this cannot fail.
                if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
            }
            response
        }
        Answer::Unusable(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            refuse_input(status, "turned away by the service")
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}
