//! An upstream and its pool of idle connections, independent of the protocol.
use crate::descriptor_budget::DescriptorBudget;
use crate::exchange::{Attempt, AttemptFuture, AttemptResult, DrainGate, ProcessIdentity, Upstream};
use crate::live_config::LiveConfig;
use crate::memory_budget::MemoryBudget;
use crate::stream::SharedStream;
use balancer::AttemptOutcome;
use config::operator::Limits;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

/// Time for which the identity of an upstream's process stays uncertain, unless the endpoint list tells of a new one
/// before: the list is behind by less, and requests that were sent before have left their deduplication window.
const UNCERTAINTY: Duration = Duration::from_secs(15);

/// Times between which connections may lead to a process that the endpoint list does not describe.
#[derive(Clone, Copy)]
struct Uncertainty {
    since: Instant,
    until: Instant,
}

/// A connection that can be pooled.
pub trait PooledConnection {
    /// Whether it can carry a request now: it is open, and holds no unread bytes.
    fn is_reusable(&self) -> bool;
    /// Whether the peer has closed it.
    fn is_closed(&self) -> bool;
}

/// A protocol that upstreams speak.
pub trait UpstreamProtocol: Sized + 'static {
    /// Type of the protocol's connections.
    type Conn: PooledConnection;

    /// Executes one attempt: its request is written at most once. Dropping the future cancels the attempt.
    fn execute(peer: &Rc<Peer<Self>>, attempt: Attempt) -> impl Future<Output = AttemptResult> + '_;
}

/// Settings of connections to upstreams.
#[derive(Clone)]
pub struct ConnectionSettings {
    /// Time after which a connection that is not established counts as failed.
    pub dial_timeout: Duration,
    /// Time for which upstreams keep idle connections open.
    pub upstream_idle_timeout: Duration,
    /// Budget of the process's file descriptors.
    pub descriptors: DescriptorBudget,
    /// Budget of the process's memory.
    pub memory: MemoryBudget,
    /// Limits on sizes and waits.
    pub limits: LiveConfig<Limits>,
}

impl ConnectionSettings {
    /// Maximum idle time of a connection. It is shorter than the upstream's timeout, because a request on a
    /// connection that the upstream is about to close ends in a reset, and the upstream's timeout starts when it
    /// sends its last byte, not when that byte is read here.
    fn max_idle(&self) -> Duration {
        self.upstream_idle_timeout
            .saturating_sub(self.limits.get().upstream_idle_margin)
            .max(self.upstream_idle_timeout / 2)
    }
}

/// A newly established connection.
pub struct DialedConnection {
    /// The socket.
    pub socket: SharedStream,
    /// Generation of the upstream process that it leads to.
    pub generation: u64,
    /// Permit for its file descriptor.
    pub permit: OwnedSemaphorePermit,
    /// Time at which it was established.
    pub established_at: Instant,
}

/// One upstream: its address and its idle connections.
pub struct Peer<P: UpstreamProtocol> {
    /// Settings of the connections to the upstream.
    pub settings: ConnectionSettings,
    /// Protocol with its state for this upstream.
    pub protocol: P,
    addr: Cell<SocketAddr>,
    /// Number of times that the upstream's process has been replaced.
    generation: Cell<u64>,
    /// Set after connections to the process have ended.
    uncertainty: Cell<Option<Uncertainty>>,
    /// Idle connections, each with the start of its idle time; the one used last is at the end.
    idle: RefCell<Vec<(P::Conn, Instant)>>,
}

impl<P: UpstreamProtocol> Upstream for Peer<P> {
    fn attempt(self: Rc<Self>, attempt: Attempt) -> AttemptFuture {
        Box::pin(async move { P::execute(&self, attempt).await })
    }

    fn process_replaced(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.generation.set(self.generation.get() + 1);
        self.uncertainty.set(None);
        self.close_idle();
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn close_expired(&self, now: Instant) {
        let max_idle = self.settings.max_idle();
        self.idle.borrow_mut().retain(|(_, since)| now - *since < max_idle);
        let (closed, open): (Vec<_>, Vec<_>) =
            self.idle.take().into_iter().partition(|(conn, _)| conn.is_closed());
        self.idle.replace(open);
        if !closed.is_empty() {
            self.connection_ended(now);
        }
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|&(_, since)| since)
    }

    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }
}

impl<P: UpstreamProtocol> Peer<P> {
    /// Creates an upstream without connections.
    pub fn new(
        connection_settings: ConnectionSettings,
        upstream_protocol: P,
        addr: SocketAddr,
    ) -> Rc<Peer<P>> {
        let (addr, generation) = (Cell::new(addr), Cell::new(0));
        Rc::new(Peer {
            settings: connection_settings,
            protocol: upstream_protocol,
            addr,
            generation,
            uncertainty: Cell::new(None),
            idle: RefCell::default(),
        })
    }

    /// Takes the idle connection that was used last, so that surplus connections expire instead of all being kept
    /// open by use in rotation.
    pub fn take_idle(&self) -> Option<P::Conn> {
        let (now, max_idle) = (Instant::now(), self.settings.max_idle());
        loop {
            let (conn, since) = self.idle.borrow_mut().pop()?;
            if now - since >= max_idle {
                continue;
            }
            if conn.is_reusable() {
                return Some(conn);
            }
            drop(conn);
            self.connection_ended(now);
        }
    }

    /// Records that the peer has ended a connection, or can't be reached. If no other connection is open, its process may
    /// have ended, and another one may take its address before the endpoint list tells of it.
    pub fn connection_ended(&self, now: Instant) {
        let is_alive = self.idle.borrow().iter().any(|(conn, _)| conn.is_reusable());
        if !is_alive {
            let since = self.uncertainty.get().filter(|u| now < u.until).map_or(now, |u| u.since);
            self.uncertainty.set(Some(Uncertainty { since, until: now + UNCERTAINTY }));
        }
    }

    /// Identity of the process to which a connection leads that was established at this time.
    pub fn process_identity(&self, established_at: Instant, now: Instant) -> ProcessIdentity {
        match self.uncertainty.get() {
            Some(u) if now < u.until && established_at >= u.since => ProcessIdentity::Uncertain,
            _ => ProcessIdentity::Listed,
        }
    }

    /// Returns a connection to the pool, unless its upstream drains or `generation` is not the present one.
    pub fn return_idle(&self, conn: P::Conn, generation: u64, gate: &DrainGate) {
        if !gate.closed(Instant::now()) && self.is_current(generation) {
            self.idle.borrow_mut().push((conn, Instant::now()));
        }
    }

    /// Whether connections of this generation lead to the present process.
    pub fn is_current(&self, generation: u64) -> bool {
        generation == self.generation.get()
    }

    /// Generation of the present process.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Establishes a connection until `deadline`, or until the dial timeout if that ends earlier.
    ///
    /// # Errors
    /// The ending of the attempt that needs the connection.
    pub async fn dial(&self, deadline: Instant) -> Result<DialedConnection, AttemptOutcome> {
        // A shortage of descriptors in this process is no failure of the upstream.
        let permit = self.settings.descriptors.try_upstream().ok_or(AttemptOutcome::NotSent)?;
        let deadline = deadline.min(Instant::now() + self.settings.dial_timeout);
        let generation = self.generation.get();
        let connected = timeout_at(deadline, TcpStream::connect(self.addr.get())).await;
        let unreachable = || {
            self.connection_ended(Instant::now());
            AttemptOutcome::ConnectFailed
        };
        let connected = connected.map_err(|_| unreachable())?;
        let stream = connected.map_err(|e| match is_local_shortage(&e) {
            true => AttemptOutcome::NotSent,
            false => unreachable(),
        })?;
        stream.set_nodelay(true).map_err(|_| AttemptOutcome::ConnectFailed)?;
        let established_at = Instant::now();
        Ok(DialedConnection { socket: SharedStream::new(stream), generation, permit, established_at })
    }
}

/// Whether a connection failed because this machine lacks a resource, such as descriptors or ports.
fn is_local_shortage(error: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(error.raw_os_error(), Some(23 | 24 | 99 | 105))
}
