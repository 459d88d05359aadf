//! Callers that speak HTTP/1.1: takes requests whole, hands them to the driver and writes the one final answer.
use super::classify::{classify, Classification, RequestField, RequestHead, KEY};
use super::observed_stream::{ConnectionActivity, ObservedStream};
use super::{ShutdownPhase, ShutdownProgress};
use crate::descriptor_budget::{CallerPermit, DescriptorBudget};
use crate::driver::AdmissionError;
use crate::exchange::{Answer, CarriedBudget, FinalAnswer, Method, Request};
use crate::http::{fields, headers, DEADLINE, DECLINED, REPEATED};
use crate::live_config::LiveConfig;
use crate::request_budgets::{BudgetPolicy, FrontKind};
use crate::routing::request_attributes::{RequestAttributes, RoutingError};
use crate::routing::{AdmittedRequest, Pools};
use crate::stream::SharedStream;
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
const NEWCOMER_GRACE: Duration = Duration::from_millis(30);
/// Or, while none that was used has rested for [`IDLE_BEFORE_EVICTION`], after this long.
const MIN_NEWCOMER_GRACE: Duration = Duration::from_millis(5);
/// A connection that was used makes way before young newcomers after this long.
const IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// Or at once, while newcomers hold less than one in so many of the callers' places: so few do not make room for those that
/// wait to be accepted, whose requests count as taken.
const FEW_NEWCOMERS_DIVISOR: usize = 4;
/// How often a connection's waits are looked at.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// While all callers' connections are busy, the next look for one that may be closed comes after this.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(10);
/// What is read at once of that which is thrown away.
const DISCARD_CHUNK_BYTES: usize = 16 << 10;
const READINESS_PATH: &str = "/-/ready";
const SERVICE_PATH: &str = "/api";

/// A connection between requests: whether it has carried one, and its turn.
type IdleSlot = (bool, u64);

/// What every connection needs.
pub struct HttpFront {
    pools: Pools,
    deployment: Deployment,
    descriptors: DescriptorBudget,
    limits: LiveConfig<Limits>,
    shutdown: watch::Receiver<ShutdownProgress>,
    budgets: Option<Rc<BudgetPolicy>>,
    /// Connections between requests and how to close them, those that never asked for anything first, and among
    /// these the one that rested longest.
    idle: RefCell<BTreeMap<IdleSlot, (Instant, Rc<Notify>)>>,
    /// Of these, those that never asked for anything.
    newcomers: Cell<usize>,
    /// Orders the connections by when they last fell idle.
    next_turn: Cell<u64>,
}

/// Marks an answer to a request whose body was not read.
#[derive(Clone, Copy)]
struct BodyNotRead;

/// What a front is built from.
pub struct HttpFrontConfig {
    /// The pools.
    pub pools: Pools,
    /// The settings.
    pub deployment: Deployment,
    /// All descriptors; callers have what it leaves them.
    pub descriptors: DescriptorBudget,
    /// Sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// How far the end of the program has come.
    pub shutdown: watch::Receiver<ShutdownProgress>,
    /// Budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
}

impl HttpFront {
    /// A front that does not accept yet.
    pub fn new(parts: HttpFrontConfig) -> Rc<HttpFront> {
        let HttpFrontConfig {
            pools: driver,
            deployment,
            descriptors: sockets,
            limits,
            shutdown: course,
            budgets,
        } = parts;
        let (idle, newcomers, turn) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Rc::new(HttpFront {
            pools: driver,
            deployment,
            descriptors: sockets,
            limits,
            shutdown: course,
            budgets,
            idle,
            newcomers,
            next_turn: turn,
        })
    }

    /// Notes that a connection is between requests, `used` once it has carried one. Its number is to be taken
    /// out when that ends.
    fn mark_idle(&self, used: bool, close: &Rc<Notify>) -> Option<IdleSlot> {
        self.next_turn.set(self.next_turn.get() + 1);
        let number = (used, self.next_turn.get());
        self.idle.borrow_mut().insert(number, (Instant::now(), close.clone()));
        self.newcomers.set(self.newcomers.get() + usize::from(!used));
        Some(number)
    }

    /// Takes a connection out of those between requests, if it is there still.
    fn unmark_idle(&self, number: Option<IdleSlot>) -> Option<Rc<Notify>> {
        let number = number?;
        let (_, close) = self.idle.borrow_mut().remove(&number)?;
        self.newcomers.set(self.newcomers.get() - usize::from(!number.0));
        Some(close)
    }

    /// Closes a connection between requests, if there is one. Guards against silent callers by the hundred that
    /// would shut out those that ask: they go first, once what they may have sent had time to be read. And against
    /// waiting for that time while connections rest that nobody has used for long, or that hold nearly all places: each
    /// accept would take as long, and what waits to be accepted grows stale.
    fn evict_idle(&self) -> bool {
        let first = |used| {
            let idle = self.idle.borrow();
            let first = idle.range((used, 0)..=(used, u64::MAX)).next();
            first.map(|(&n, at)| (n, at.0.elapsed()))
        };
        let few = self.newcomers.get() < self.descriptors.max_callers() / FEW_NEWCOMERS_DIVISOR;
        let chosen = match (first(false), first(true)) {
            (Some((n, age)), _) if age >= NEWCOMER_GRACE => n,
            (_, Some((n, rested))) if rested >= IDLE_BEFORE_EVICTION => n,
            (Some((n, age)), _) if age >= MIN_NEWCOMER_GRACE => n,
            (_, Some((n, _))) if few => n,
            (None, Some((n, _))) => n,
            _ => return false,
        };
        self.unmark_idle(Some(chosen)).is_some_and(|close| {
            close.notify_one();
            true
        })
    }

    /// Room for one more caller. Guards against idle connections that callers keep shutting others out: what is
    /// written to a connection that waits to be accepted counts as taken, so one between requests makes way.
    async fn acquire_permit(&self) -> Option<CallerPermit> {
        loop {
            if let Some(places) = self.descriptors.try_caller() {
                return Some(places);
            }
            if !self.evict_idle() && self.descriptors.exhausted() {
                self.pools.close_oldest_idle();
            }
            // Whoever closes gives its place back; while all are busy, look again a little later.
            if let Ok(places) = timeout(EVICTION_RETRY_DELAY, self.descriptors.acquire_caller()).await {
                return places;
            }
        }
    }

    /// Accepts callers until the program closes. Returns once every connection has ended.
    pub async fn run(self: Rc<HttpFront>, listener: TcpListener) {
        let (mut course, mut handed, mut failing) = (self.shutdown.clone(), self.shutdown.clone(), false);
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts here by now.
                _ = handed.wait_for(|c| c.handed_over) => break,
                accepted = listener.accept() => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = course.wait_for(|c| c.phase >= ShutdownPhase::Draining) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    let Some(places) = self.acquire_permit().await else { break };
                    // Without it answers wait for the caller's acknowledgements; where it fails the caller is gone.
                    if stream.set_nodelay(true).is_ok() {
                        let link = self.register(stream);
                        tokio::task::spawn_local(self.clone().connection(link, places));
                    }
                }
                // Out of descriptors, or a caller that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        info!("accept: {e}");
                    }
                    self.evict_idle();
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        self.descriptors.wait_for_no_callers().await;
    }

    /// Notes a new connection, at once, so that it is the one to make way and not an older one in use.
    fn register(&self, stream: TcpStream) -> Rc<CallerConnection> {
        let link = Rc::new(CallerConnection {
            activity: ConnectionActivity::new(),
            stream: SharedStream::new(stream),
            evicted: Rc::new(Notify::new()),
            idle_slot: Cell::new(None),
            rejected_input: Cell::new(false),
        });
        link.idle_slot.set(self.mark_idle(false, &link.evicted));
        link
    }

    async fn connection(self: Rc<HttpFront>, link: Rc<CallerConnection>, _places: CallerPermit) {
        let mut stream = link.stream.clone();
        let (server, at) = (self.clone(), link.clone());
        let service = service_fn(move |request| {
            let (server, link) = (server.clone(), at.clone());
            async move {
                server.unmark_idle(link.idle_slot.take());
                let response = server.respond(request, &link).await;
                link.activity.waiting_since.set(Instant::now());
                link.idle_slot.set(server.mark_idle(true, &link.evicted));
                Ok::<_, Infallible>(response)
            }
        });
        let head_most = self.limits.get().head;
        let io = TokioIo::new(ObservedStream::new(stream.clone(), link.activity.clone(), head_most));
        let connection = http1::Builder::new().max_buf_size(head_most).serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut course = self.shutdown.clone();
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
                () = link.wait_timed_out(&self.limits) => break,
                () = link.evicted.notified() => crowded = true,
                _ = course.wait_for(|c| c.phase == ShutdownPhase::ClosingIdle), if !silencing => silencing = true,
            }
            // Guards against cutting off a caller that has just connected: it has its time to ask, after a hand-over
            // as before, and nobody else will take what it is about to write.
            let newcomer = link.activity.heads_delivered.get() == 0;
            if newcomer && !crowded {
                continue;
            }
            // What has been written whole to this connection counts as taken, also if nobody has read it yet; half
            // a head on a connection that never asked for anything does not.
            let half = link.activity.partial_head.get();
            if half && newcomer {
                break;
            }
            if link.idle_slot.get().is_some() && !half && stream.quiet() {
                connection.as_mut().graceful_shutdown();
                // Guards against callers that never read their answer: no hold on us.
                let _ = timeout(self.limits.get().flush_wait, connection.as_mut()).await;
                break;
            }
        }
        self.unmark_idle(link.idle_slot.take());
        if link.rejected_input.get() {
            let limits = self.limits.get();
            let _ = timeout(limits.linger_wait, discard_input(&mut stream, limits.linger)).await;
        }
    }

    async fn respond(
        &self,
        request: hyper::Request<Incoming>,
        link: &CallerConnection,
    ) -> Response<Full<Bytes>> {
        let watch = &link.activity;
        watch.heads_delivered.set(watch.heads_delivered.get() + 1);
        // Guards against requests hidden in the body of another: behind a head that states its length in two
        // ways nothing is read, and behind chunks, whose end the watch does not follow, neither.
        let ambiguous = watch.ambiguous_head.get() == Some(watch.heads_delivered.get());
        let last = ambiguous || request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = match request.uri().path() {
            _ if ambiguous => reject_input(StatusCode::BAD_REQUEST, "the length is stated in two ways"),
            READINESS_PATH if self.pools.has_endpoints() && self.is_serving() => {
                empty_response(StatusCode::OK)
            }
            READINESS_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE_PATH || path.starts_with("/api/") => {
                let due = watch.waiting_since.get() + self.limits.get().request_wait;
                match self.admit(request, due, watch).await {
                    Ok((waiting, told)) => {
                        let FinalAnswer { answer, may_have_run: ran, used } = waiting.answer().await;
                        let harmless = matches!(answer, Answer::Rejected { .. }) && !ran;
                        let mut response = final_answer(answer);
                        self.add_budget_fields(&mut response, told.then_some(used), harmless);
                        response
                    }
                    Err(response) => response,
                }
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        let refused =
            response.status().is_client_error() || response.extensions().get::<BodyNotRead>().is_some();
        link.rejected_input.set(refused);
        // At the end of the program what has been sent behind this request is still answered.
        let leaving = self.shutdown.borrow().phase >= ShutdownPhase::ClosingConnections
            && !watch.has_undelivered()
            && link.stream.quiet();
        if refused || last || leaving {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Whether whoever connects to this address now is served. Guards against a front that meets the old process's
    /// last connections after a hand-over and takes the address for one that is going.
    fn is_serving(&self) -> bool {
        let course = *self.shutdown.borrow();
        course.phase == ShutdownPhase::Serving || course.handed_over
    }

    /// Says what was used of a budget, and that nothing ran where that is certain: whoever stands above may then try
    /// elsewhere.
    fn add_budget_fields(&self, response: &mut Response<Full<Bytes>>, used: Option<Used>, nothing_ran: bool) {
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
    fn carried_budget(
        &self,
        headers: &HeaderMap,
        patience: f64,
    ) -> Result<Option<Box<CarriedBudget>>, Box<Response<Full<Bytes>>>> {
        let Some(budgets) = &self.budgets else { return Ok(None) };
        let all =
            |name: &str| -> Vec<&[u8]> { headers.get_all(name).iter().map(HeaderValue::as_bytes).collect() };
        let (budget, path) = (all(&budgets.names.budget), all(&budgets.names.path));
        let repeated = headers.get(REPEATED).is_some_and(|v| v == "1");
        budgets
            .carried(FrontKind::Http, (&budget, &path), patience, repeated)
            .map(|carried| Some(Box::new(carried)))
            .map_err(|why| match why {
                NotTaken::Bad(bad) => Box::new(reject_input(StatusCode::BAD_REQUEST, &bad.to_string())),
                NotTaken::Refused(why) => {
                    let mut response = reject_input(StatusCode::SERVICE_UNAVAILABLE, &why.to_string());
                    self.add_budget_fields(
                        &mut response,
                        Some(Used { retries: 0, stop: Some(why.stop()) }),
                        true,
                    );
                    Box::new(response)
                }
            })
    }

    /// Reads a request whole and hands it to the driver. Whether its caller is told what was used.
    async fn admit(
        &self,
        request: hyper::Request<Incoming>,
        due: Instant,
        watch: &ConnectionActivity,
    ) -> Result<(AdmittedRequest, bool), Response<Full<Bytes>>> {
        let (number, first) = (watch.heads_delivered.get(), watch.head_started.get());
        let (head, body) = request.into_parts();
        let limits = self.limits.get();
        let bad = |what: &str| reject_input(StatusCode::BAD_REQUEST, what);
        let one = |field: &RequestField| {
            let mut all = head.headers.get_all(field.header).iter();
            let value = all.next()?.to_str().ok()?;
            all.next().is_none().then_some(value)
        };
        let given = RequestHead {
            single_value: &one,
            has_key: head.headers.contains_key(KEY.header),
            is_get: head.method == hyper::Method::GET,
            is_post: head.method == hyper::Method::POST,
        };
        let id_most = limits.request_id;
        let Classification { class, tenant, deadline_ms: patience, method } =
            classify(&self.deployment, id_most, &given).map_err(bad)?;
        // Before its body has come: what goes no further is answered at once.
        let mut budget = self.carried_budget(&head.headers, patience).map_err(|mut response| {
            if !body.is_end_stream() {
                response.extensions_mut().insert(BodyNotRead);
            }
            *response
        })?;
        if body.size_hint().lower() > limits.body as u64 {
            return Err(reject_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        if method == Method::Get && !body.is_end_stream() {
            return Err(bad("GET has no body"));
        }
        let body = match timeout_at(due, Limited::new(body, limits.body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(reject_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
            }
            Ok(Err(_)) => return Err(bad("the body is broken")),
            Err(_) => return Err(reject_input(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        // What it waited here behind others of its connection is part of the time that its caller gave it.
        let waited = watch.completed_at(number).map_or(Duration::ZERO, |at| at.elapsed());
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
            id: head.headers.get("req-id").map(|id| Bytes::copy_from_slice(id.as_bytes())),
            method,
            target: head.uri.path_and_query().map_or("/", |p| p.as_str()).into(),
            fields: fields(&head.headers, |name| *name == DEADLINE || own.contains(name)),
            body,
            budget,
            max_attempts: None,
            finished: Cell::new(false),
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
        let asked = RequestAttributes {
            front: 0,
            method: usize::from(method == Method::Post),
            host: &host,
            target: head.uri.path_and_query().map_or("/", |p| p.as_str()),
            key: &|| head.headers.get(KEY.header).map(HeaderValue::as_bytes),
            request_id: &|| head.headers.get("req-id").map_or(b"", |id| id.as_bytes()),
            headers: &|name| head.headers.get_all(name).iter().map(HeaderValue::as_bytes).collect(),
        };
        let taken = self.pools.admit(&asked, class, tenant, patience, request);
        taken.map(|taken| (taken, told)).map_err(|turned| {
            let refused = |pause: Duration, why: &str| {
                let mut response =
                    final_answer(Answer::Rejected { retry_after: pause.as_secs_f64() * 1000.0 });
                if !why.is_empty() {
                    *response.body_mut() = Full::new(Bytes::from(format!("{why}\n")));
                }
                self.add_budget_fields(&mut response, None, true);
                response
            };
            match turned {
                RoutingError::NotAdmitted(AdmissionError::TooManyOpen) => refused(limits.full_pause, ""),
                RoutingError::NotAdmitted(AdmissionError::DuplicateId) => {
                    reject_input(StatusCode::CONFLICT, "a request with this Req-Id is open")
                }
                RoutingError::Ambiguous(why) => bad(why),
                RoutingError::NoRoute => reject_input(StatusCode::NOT_FOUND, "there is no route for it"),
                RoutingError::Rejected(why) => refused(Duration::ZERO, &why),
                RoutingError::Migrating(left) => refused(left, "its club is being moved"),
            }
        })
    }
}

/// One caller's connection, as its task and its requests see it.
struct CallerConnection {
    activity: Rc<ConnectionActivity>,
    stream: SharedStream,
    /// Told when it is to make way for another.
    evicted: Rc<Notify>,
    /// Its number while it is between requests.
    idle_slot: Cell<Option<IdleSlot>>,
    /// Whether its last answer turned bad input away.
    rejected_input: Cell<bool>,
}

impl CallerConnection {
    /// Returns once the caller has been waited for long enough.
    async fn wait_timed_out(&self, limits: &LiveConfig<Limits>) {
        let watch = &self.activity;
        loop {
            let now = Instant::now();
            let waiting = self.idle_slot.get().is_some();
            let limits = limits.get();
            let rests = watch.heads_delivered.get() > 0 && !watch.partial_head.get();
            let most = if rests { limits.idle_wait } else { limits.request_wait };
            let due = watch.waiting_since.get() + most;
            if waiting && now >= due {
                return;
            }
            // Half a head may come at any time, so that the next look is never far.
            sleep_until(if waiting {
                due.min(now + DEADLINE_CHECK_INTERVAL)
            } else {
                now + DEADLINE_CHECK_INTERVAL
            })
            .await;
        }
    }
}

/// Reads what still comes, to throw it away.
async fn discard_input(stream: &mut SharedStream, mut most: usize) {
    let mut buffer = vec![0; DISCARD_CHUNK_BYTES];
    while most > 0 {
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => most = most.saturating_sub(n),
            _ => return,
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn reject_input(status: StatusCode, what: &str) -> Response<Full<Bytes>> {
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
        Answer::Rejected { retry_after } => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            if retry_after > 0.0 {
                // Digits and a point only, so this cannot fail.
                if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
            }
            response
        }
        Answer::ClientError(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            reject_input(status, "turned away by the service")
        }
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}
