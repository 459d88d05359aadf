//! The front for clients that speak HTTP/1.1: accepts their connections, reads whole requests, hands them to the pools and
//! writes the one final answer.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | accepting, and the life of a connection |
//! | `admission.rs` | from a request's head to its admission |
//! | `idle.rs` | connections between requests, and which of them makes way |
//! | `response.rs` | responses |
mod admission;
mod idle;
mod response;

use super::observed_stream::{ConnectionActivity, ObservedStream};
use super::{ShutdownPhase, ShutdownProgress};
use crate::descriptor_budget::{CallerPermit, DescriptorBudget};
use crate::exchange::{Answer, FinalAnswer};
use crate::live_config::LiveConfig;
use crate::request_budgets::BudgetPolicy;
use crate::routing::Pools;
use crate::stream::SharedStream;
use admission::Admitted;
use config::operator::Limits;
use config::Deployment;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use idle::{IdleConnections, IdleSlot};
use response::{empty_response, final_answer, reject_input, BodyNotRead, Response};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::info;

/// How often the waits of a connection are checked.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, for want of descriptors for instance.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Pause until the next attempt to evict a connection, while all of them carry requests.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Bytes that are read at once of input that is discarded.
const DISCARD_CHUNK_BYTES: usize = 16 << 10;
/// Path of the readiness check.
const READINESS_PATH: &str = "/-/ready";
/// Path of requests for upstreams, and of all below it.
const SERVICE_PATH: &str = "/api";

/// What a front is built from.
pub struct HttpFrontConfig {
    /// The pools.
    pub pools: Pools,
    /// The platform's settings.
    pub deployment: Deployment,
    /// Descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Limits on sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// How far a graceful shutdown has come.
    pub shutdown: watch::Receiver<ShutdownProgress>,
    /// Request budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
}

/// The front.
pub struct HttpFront {
    pools: Pools,
    deployment: Deployment,
    descriptors: DescriptorBudget,
    limits: LiveConfig<Limits>,
    shutdown: watch::Receiver<ShutdownProgress>,
    budgets: Option<Rc<BudgetPolicy>>,
    idle: IdleConnections,
}

/// One client's connection, as its task and its requests see it.
struct ClientConnection {
    activity: Rc<ConnectionActivity>,
    stream: SharedStream,
    /// Notified when it has to make way for another.
    evicted: Rc<Notify>,
    /// Its place among the idle connections while it is between requests.
    idle_slot: Cell<Option<IdleSlot>>,
    /// Whether its last response rejected bad input.
    rejected_input: Cell<bool>,
}

impl HttpFront {
    /// A front that does not accept yet.
    pub fn new(config: HttpFrontConfig) -> Rc<HttpFront> {
        let HttpFrontConfig { pools, deployment, descriptors, limits, shutdown, budgets } = config;
        let idle = IdleConnections::default();
        Rc::new(HttpFront { pools, deployment, descriptors, limits, shutdown, budgets, idle })
    }

    /// Accepts clients until the shutdown stops it. Returns once every connection has ended.
    pub async fn run(self: Rc<HttpFront>, listener: TcpListener) {
        let (mut draining, mut handed_over) = (self.shutdown.clone(), self.shutdown.clone());
        let mut failing = false;
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts here by now.
                _ = handed_over.wait_for(|progress| progress.handed_over) => break,
                accepted = listener.accept() => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = draining.wait_for(|progress| progress.phase >= ShutdownPhase::Draining) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    let Some(permit) = self.acquire_permit().await else { break };
                    // Without it answers wait for the client's acknowledgements; where it fails the client is gone.
                    if stream.set_nodelay(true).is_ok() {
                        let connection = self.register(stream);
                        tokio::task::spawn_local(self.clone().serve(connection, permit));
                    }
                }
                // Out of descriptors, or a client that left at once: no reason to end, nor to spin.
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

    fn evict_idle(&self) -> bool {
        self.idle.evict(self.descriptors.max_callers())
    }

    /// A permit for one more client. What is written to a connection that waits to be accepted counts as taken, so an idle
    /// one makes way for it.
    async fn acquire_permit(&self) -> Option<CallerPermit> {
        loop {
            if let Some(permit) = self.descriptors.try_caller() {
                return Some(permit);
            }
            if !self.evict_idle() && self.descriptors.exhausted() {
                self.pools.close_oldest_idle();
            }
            // A connection that closes returns its permit; while all are busy, look again a little later.
            if let Ok(permit) = timeout(EVICTION_RETRY_DELAY, self.descriptors.acquire_caller()).await {
                return permit;
            }
        }
    }

    /// Adds a new connection to the idle ones at once, so that it makes way and not an older one in use.
    fn register(&self, stream: TcpStream) -> Rc<ClientConnection> {
        let evicted = Rc::new(Notify::new());
        let idle_slot = Cell::new(Some(self.idle.insert(false, &evicted)));
        Rc::new(ClientConnection {
            activity: ConnectionActivity::new(),
            stream: SharedStream::new(stream),
            evicted,
            idle_slot,
            rejected_input: Cell::new(false),
        })
    }

    /// Serves a connection until it ends.
    async fn serve(self: Rc<HttpFront>, client: Rc<ClientConnection>, _permit: CallerPermit) {
        self.serve_requests(&client).await;
        self.idle.remove(client.idle_slot.take());
        if client.rejected_input.get() {
            let limits = self.limits.get();
            let mut stream = client.stream.clone();
            let _ = timeout(limits.linger_wait, discard_input(&mut stream, limits.linger)).await;
        }
    }

    async fn serve_requests(self: &Rc<HttpFront>, client: &Rc<ClientConnection>) {
        let (front, service_client) = (self.clone(), client.clone());
        let service = service_fn(move |request| {
            let (front, client) = (front.clone(), service_client.clone());
            async move {
                front.idle.remove(client.idle_slot.take());
                let response = front.respond(request, &client).await;
                client.activity.waiting_since.set(Instant::now());
                client.idle_slot.set(Some(front.idle.insert(true, &client.evicted)));
                Ok::<_, Infallible>(response)
            }
        });
        let max_head_bytes = self.limits.get().head;
        let stream = ObservedStream::new(client.stream.clone(), client.activity.clone(), max_head_bytes);
        let connection = http1::Builder::new()
            .max_buf_size(max_head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut shutdown = self.shutdown.clone();
        let mut closing_idle = false;
        loop {
            let mut evicted = false;
            tokio::select! {
                // A client's broken connection or garbage ends this connection only.
                _ = connection.as_mut() => return,
                // hyper sees no end behind bytes that it has read and not taken, and asks for no more of them: what is in
                // flight for a client that has left ends here, and what waits behind it is not begun.
                () = client.stream.hung_up() => return,
                // No answer is owed, and a partial request may be in the way of a graceful end.
                () = client.wait_timed_out(&self.limits) => return,
                () = client.evicted.notified() => evicted = true,
                _ = shutdown.wait_for(|p| p.phase == ShutdownPhase::ClosingIdle), if !closing_idle => {
                    closing_idle = true;
                }
            }
            // Guards against cutting off a client that has just connected: it has its time to send a request, after a
            // handoff as before, and nobody else will take what it is about to write.
            let newcomer = client.activity.heads_delivered.get() == 0;
            if newcomer && !evicted {
                continue;
            }
            // A whole request that was written counts as taken, also if nobody has read it yet; a partial head on a
            // connection that never carried a request does not.
            let partial_head = client.activity.partial_head.get();
            if partial_head && newcomer {
                return;
            }
            if client.idle_slot.get().is_some() && !partial_head && client.stream.is_idle() {
                connection.as_mut().graceful_shutdown();
                // Bounded: a client may never read its answer.
                let _ = timeout(self.limits.get().flush_wait, connection.as_mut()).await;
                return;
            }
        }
    }

    async fn respond(&self, request: hyper::Request<Incoming>, client: &ClientConnection) -> Response {
        let activity = &client.activity;
        activity.heads_delivered.set(activity.heads_delivered.get() + 1);
        // Guards against requests hidden in the body of another: behind a head that states its length in two ways nothing is
        // read, and behind chunks, whose end the observed stream does not follow, neither.
        let ambiguous = activity.ambiguous_head.get() == Some(activity.heads_delivered.get());
        let last = ambiguous || request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = match request.uri().path() {
            _ if ambiguous => reject_input(StatusCode::BAD_REQUEST, "the length is stated in two ways"),
            READINESS_PATH if self.pools.has_endpoints() && self.is_serving() => {
                empty_response(StatusCode::OK)
            }
            READINESS_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE_PATH || path.starts_with("/api/") => {
                self.forward(request, activity).await
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        let rejected =
            response.status().is_client_error() || response.extensions().get::<BodyNotRead>().is_some();
        client.rejected_input.set(rejected);
        // During a shutdown the requests that were sent behind this one are still answered.
        let closing = self.shutdown.borrow().phase >= ShutdownPhase::ClosingConnections
            && !activity.has_undelivered()
            && client.stream.is_idle();
        if rejected || last || closing {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Has a request admitted, and waits for its final answer.
    async fn forward(&self, request: hyper::Request<Incoming>, activity: &ConnectionActivity) -> Response {
        let body_due = activity.waiting_since.get() + self.limits.get().request_wait;
        let Admitted { request, reports_usage } = match self.admit(request, body_due, activity).await {
            Ok(admitted) => admitted,
            Err(rejection) => return *rejection,
        };
        let FinalAnswer { answer, may_have_run, used } = request.answer().await;
        let nothing_ran = matches!(answer, Answer::Rejected { .. }) && !may_have_run;
        let mut response = final_answer(answer);
        self.add_budget_fields(&mut response, reports_usage.then_some(used), nothing_ran);
        response
    }

    /// Whether clients that connect to this address now are served, by this process or by its successor. Guards against a
    /// load balancer in front that meets the former process's last connections after a handoff and takes the address for
    /// one that is shutting down.
    fn is_serving(&self) -> bool {
        let progress = *self.shutdown.borrow();
        progress.phase == ShutdownPhase::Serving || progress.handed_over
    }
}

impl ClientConnection {
    /// Returns once the client has been waited for long enough.
    async fn wait_timed_out(&self, limits: &LiveConfig<Limits>) {
        let activity = &self.activity;
        loop {
            let now = Instant::now();
            let waiting = self.idle_slot.get().is_some();
            let limits = limits.get();
            let idle = activity.heads_delivered.get() > 0 && !activity.partial_head.get();
            let wait = if idle { limits.idle_wait } else { limits.request_wait };
            let due = activity.waiting_since.get() + wait;
            if waiting && now >= due {
                return;
            }
            // A partial head may come at any time, so that the next check is never far.
            let next_check = now + DEADLINE_CHECK_INTERVAL;
            sleep_until(if waiting { due.min(next_check) } else { next_check }).await;
        }
    }
}

/// Reads and discards input, `max_bytes` at most.
async fn discard_input(stream: &mut SharedStream, mut max_bytes: usize) {
    let mut buffer = vec![0; DISCARD_CHUNK_BYTES];
    while max_bytes > 0 {
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => max_bytes = max_bytes.saturating_sub(n),
            _ => return,
        }
    }
}
