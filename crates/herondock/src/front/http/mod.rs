//! The front for clients that speak HTTP/1.1: accepts connections, reads complete requests, passes them to the pools
//! and writes the final answer of each request.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | accepting and serving connections |
//! | `admission.rs` | from a request's head to its admission |
//! | `idle.rs` | idle connections and their eviction |
//! | `response.rs` | construction of responses |
mod admission;
mod idle;
mod response;

use super::observed_stream::{ConnectionActivity, ObservedStream};
use super::read_ahead::{ReadAhead, READ_BYTES};
use super::{ShutdownPhase, ShutdownProgress};
use crate::descriptor_budget::{CallerPermit, DescriptorBudget};
use crate::exchange::{Answer, FinalAnswer};
use crate::live_config::LiveConfig;
use crate::memory_budget::{MemoryBudget, Reservation, CONNECTION_BYTES};
use crate::request_budgets::BudgetPolicy;
use crate::request_counters::{CloseReason, RequestCounters};
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
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{debug, info};

/// Maximum interval between checks of a connection's timeouts.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after an accept that failed, for instance because no descriptor was left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Delay before the next attempt to evict a connection, while none may be evicted.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Size of the buffer for input that is discarded, in bytes.
const DISCARD_CHUNK_BYTES: usize = 16 << 10;
/// Path of the readiness check.
const READINESS_PATH: &str = "/-/ready";
/// Path of requests for upstreams, which includes all paths below it.
const SERVICE_PATH: &str = "/api";

/// Configuration of a front.
pub struct HttpFrontConfig {
    /// Pools that requests are passed to.
    pub pools: Pools,
    /// Settings of the platform.
    pub deployment: Deployment,
    /// Budget of the process's file descriptors.
    pub descriptors: DescriptorBudget,
    /// Limits on sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// Progress of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownProgress>,
    /// Request budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
    /// Counters of the process.
    pub counters: Rc<RequestCounters>,
    /// Budget of the process's memory.
    pub memory: MemoryBudget,
}

/// The HTTP front.
pub struct HttpFront {
    pools: Pools,
    deployment: Deployment,
    descriptors: DescriptorBudget,
    limits: LiveConfig<Limits>,
    shutdown: watch::Receiver<ShutdownProgress>,
    budgets: Option<Rc<BudgetPolicy>>,
    counters: Rc<RequestCounters>,
    memory: MemoryBudget,
    idle: IdleConnections,
}

/// Connection of one client, shared by its task and its requests.
struct ClientConnection {
    /// Address of the client.
    peer: SocketAddr,
    activity: Rc<ConnectionActivity>,
    stream: SharedStream,
    /// Bytes that were read behind the current request.
    read_ahead: Rc<ReadAhead>,
    /// Notified when the connection is evicted to make room for another.
    evicted: Rc<Notify>,
    /// Key of the connection among the idle ones while it is between requests.
    idle_slot: Cell<Option<IdleSlot>>,
    /// Whether the last response on the connection rejected invalid input.
    rejected_input: Cell<bool>,
    /// Memory of the connection while it is idle.
    _memory: Reservation,
}

/// Maximum number of clients whose connections stay within the memory budget.
pub fn max_clients(memory: &MemoryBudget, limits: &Limits) -> usize {
    memory.max_clients(limits.head, READ_BYTES)
}

impl HttpFront {
    /// Creates a front that does not accept yet.
    pub fn new(config: HttpFrontConfig) -> Rc<HttpFront> {
        let HttpFrontConfig { pools, deployment, descriptors, limits, shutdown, budgets, counters, memory } =
            config;
        let idle = IdleConnections::default();
        Rc::new(HttpFront {
            pools,
            deployment,
            descriptors,
            limits,
            shutdown,
            budgets,
            counters,
            memory,
            idle,
        })
    }

    /// Accepts clients until the shutdown stops it. Returns once every connection has ended.
    pub async fn run(self: Rc<HttpFront>, listener: TcpListener) {
        let (mut draining, mut handed_over) = (self.shutdown.clone(), self.shutdown.clone());
        let mut failing = false;
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process now accepts at this address.
                _ = handed_over.wait_for(|progress| progress.handed_over) => break,
                accepted = listener.accept() => accepted,
                // Last, so that clients that wait to be accepted are accepted first: what they have written counts as
                // received.
                _ = draining.wait_for(|progress| progress.phase >= ShutdownPhase::Draining) => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    failing = false;
                    let Some(permit) = self.acquire_permit().await else { break };
                    // Without this option answers would wait for the client's acknowledgements. If setting it fails,
                    // the client is gone.
                    if stream.set_nodelay(true).is_ok() {
                        let connection = self.register(stream, peer);
                        tokio::task::spawn_local(self.clone().serve(connection, permit));
                    }
                }
                // No descriptor is left, or the client has closed the connection before it was accepted: neither is a
                // reason to stop accepting, nor to retry without delay.
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        info!("accept: {error}");
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

    /// Acquires a permit for one more client. What is written to a connection that waits to be accepted counts as
    /// received, so an idle connection is evicted to make room for it.
    async fn acquire_permit(&self) -> Option<CallerPermit> {
        loop {
            if let Some(permit) = self.descriptors.try_caller() {
                return Some(permit);
            }
            if !self.evict_idle() && self.descriptors.exhausted() {
                self.pools.close_oldest_idle();
            }
            // A connection that closes returns its permit. While all are busy, eviction is retried after the delay.
            if let Ok(permit) = timeout(EVICTION_RETRY_DELAY, self.descriptors.acquire_caller()).await {
                return permit;
            }
        }
    }

    /// Adds a new connection to the idle ones immediately, so that it can be evicted instead of an older one in use.
    fn register(&self, stream: TcpStream, peer: SocketAddr) -> Rc<ClientConnection> {
        let evicted = Rc::new(Notify::new());
        let idle_slot = Cell::new(Some(self.idle.insert(false, &evicted)));
        let stream = SharedStream::new(stream);
        Rc::new(ClientConnection {
            peer,
            activity: ConnectionActivity::new(),
            read_ahead: Rc::new(ReadAhead::new(stream.clone(), self.memory.charge(0))),
            stream,
            evicted,
            idle_slot,
            rejected_input: Cell::new(false),
            _memory: self.memory.charge(CONNECTION_BYTES),
        })
    }

    /// Serves a connection until it ends.
    async fn serve(self: Rc<HttpFront>, client: Rc<ClientConnection>, _permit: CallerPermit) {
        let reason = self.serve_requests(&client).await;
        self.counters.count_close(reason);
        let requests = client.activity.heads_delivered.get();
        debug!("connection of {}: closed after {requests} requests: {reason:?}", client.peer);
        self.idle.remove(client.idle_slot.take());
        if client.rejected_input.get() {
            let limits = self.limits.get();
            let mut stream = client.stream.clone();
            let _ = timeout(limits.linger_wait, discard_input(&mut stream, limits.linger)).await;
        }
    }

    /// Serves requests until the connection has to close, and returns the reason.
    async fn serve_requests(self: &Rc<HttpFront>, client: &Rc<ClientConnection>) -> CloseReason {
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
        let stream = ObservedStream::new(
            client.stream.clone(),
            client.read_ahead.clone(),
            client.activity.clone(),
            max_head_bytes,
            self.memory.charge(0),
        );
        let connection = http1::Builder::new()
            .max_buf_size(max_head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut shutdown = self.shutdown.clone();
        let mut closing_idle = false;
        loop {
            let mut evicted = false;
            tokio::select! {
                // A broken connection or malformed input ends only this connection.
                _ = connection.as_mut() => return CloseReason::Ended,
                // hyper does not notice the end of the stream while it holds unparsed bytes, because it reads no
                // further then. Returning here cancels the requests in flight of a client that has left, and does not
                // start those that wait behind them.
                () = client.stream.hung_up() => return CloseReason::ClientLeft,
                // No answer is owed, and a partial request could prevent a graceful end.
                () = client.wait_timed_out(&self.limits) => return CloseReason::TimedOut,
                () = client.evicted.notified() => evicted = true,
                _ = shutdown.wait_for(|p| p.phase == ShutdownPhase::ClosingIdle), if !closing_idle => {
                    closing_idle = true;
                }
            }
            // Guards against disconnecting a client that has just connected: it has its full time to send a request,
            // also after a handoff, and no other process will accept what it is about to write.
            let newcomer = client.activity.heads_delivered.get() == 0;
            if newcomer && !evicted {
                continue;
            }
            let reason = if evicted { CloseReason::Evicted } else { CloseReason::ShuttingDown };
            // A complete request that was written counts as received, even if it has not been read yet; a partial
            // head on a connection that never carried a request does not.
            let partial_head = client.activity.partial_head.get();
            if partial_head && newcomer {
                return reason;
            }
            if client.idle_slot.get().is_some() && !partial_head && client.has_written_nothing() {
                connection.as_mut().graceful_shutdown();
                // Limited in time, because a client may never read its answer.
                let _ = timeout(self.limits.get().flush_wait, connection.as_mut()).await;
                return reason;
            }
        }
    }

    /// Returns the response to a request.
    async fn respond(&self, request: hyper::Request<Incoming>, client: &ClientConnection) -> Response {
        let activity = &client.activity;
        let number = activity.deliver_head();
        // Guards against request smuggling: the connection closes after a request whose head states its length more
        // than once, and after a chunked body, whose end the observed stream does not track.
        let ambiguous = activity.ambiguous_head.get() == Some(number);
        let last = ambiguous || request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = match request.uri().path() {
            _ if ambiguous => reject_input(StatusCode::BAD_REQUEST, "the length is stated in two ways"),
            READINESS_PATH if self.pools.has_endpoints() && self.is_serving() => {
                empty_response(StatusCode::OK)
            }
            READINESS_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE_PATH || path.starts_with("/api/") => self.forward(request, client).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        let rejected =
            response.status().is_client_error() || response.extensions().get::<BodyNotRead>().is_some();
        client.rejected_input.set(rejected);
        // During a shutdown, requests that were already sent after this one are still answered.
        let closing = self.shutdown.borrow().phase >= ShutdownPhase::ClosingConnections
            && !activity.has_undelivered()
            && client.has_written_nothing();
        if rejected || last || closing {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Admits a request to the pools and waits for its final answer.
    async fn forward(&self, request: hyper::Request<Incoming>, client: &ClientConnection) -> Response {
        let body_due = client.activity.waiting_since.get() + self.limits.get().request_wait;
        let Admitted { request, reports_usage, memory: _memory } =
            match self.admit(request, body_due, client).await {
                Ok(admitted) => admitted,
                Err(rejection) => return *rejection,
            };
        let FinalAnswer { answer, may_have_run, used } = request.answer().await;
        let nothing_ran = matches!(answer, Answer::Rejected { .. }) && !may_have_run;
        let mut response = final_answer(answer);
        self.add_budget_fields(&mut response, reports_usage.then_some(used), nothing_ran);
        response
    }

    /// Whether clients that connect to this address now are served, by this process or by its successor. Guards
    /// against a load balancer in front of this one that checks readiness on a remaining connection to the former
    /// process after a handoff, and concludes that the address is shutting down.
    fn is_serving(&self) -> bool {
        let progress = *self.shutdown.borrow();
        progress.phase == ShutdownPhase::Serving || progress.handed_over
    }
}

impl ClientConnection {
    /// Whether the client has written nothing that is unread.
    fn has_written_nothing(&self) -> bool {
        self.read_ahead.is_empty() && self.stream.is_idle()
    }

    /// Returns once the client has exceeded its idle or request timeout.
    async fn wait_timed_out(&self, limits: &LiveConfig<Limits>) {
        let activity = &self.activity;
        loop {
            let now = Instant::now();
            let waiting = self.idle_slot.get().is_some();
            let limits = limits.get();
            let idle = activity.heads_delivered.get() > 0 && !activity.partial_head.get();
            let wait = if idle { limits.idle_wait } else { limits.request_wait };
            let deadline = activity.waiting_since.get() + wait;
            if waiting && now >= deadline {
                return;
            }
            // Part of a head, to which another timeout applies, may arrive at any time, so the interval to the next
            // check is limited.
            let next_check = now + DEADLINE_CHECK_INTERVAL;
            sleep_until(if waiting { deadline.min(next_check) } else { next_check }).await;
        }
    }
}

/// Reads and discards input until at least `max_bytes` bytes have been read or the input ends.
async fn discard_input(stream: &mut SharedStream, mut max_bytes: usize) {
    let mut buffer = vec![0; DISCARD_CHUNK_BYTES];
    while max_bytes > 0 {
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => max_bytes = max_bytes.saturating_sub(n),
            _ => return,
        }
    }
}
