//! An upstream and its pool of idle connections, independent of the protocol.
use crate::descriptor_budget::DescriptorBudget;
use crate::exchange::{Attempt, AttemptFuture, AttemptResult, DrainGate, Upstream};
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
        self.close_idle();
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn close_expired(&self, now: Instant) {
        let max_idle = self.settings.max_idle();
        self.idle.borrow_mut().retain(|(conn, since)| !conn.is_closed() && now - *since < max_idle);
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
            idle: RefCell::default(),
        })
    }

    /// Takes the idle connection that was used last, so that surplus connections expire instead of all being kept
    /// open by use in rotation.
    pub fn take_idle(&self) -> Option<P::Conn> {
        let (now, max_idle) = (Instant::now(), self.settings.max_idle());
        let mut idle = self.idle.borrow_mut();
        while let Some((conn, since)) = idle.pop() {
            if now - since < max_idle && conn.is_reusable() {
                return Some(conn);
            }
        }
        None
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
        let connected = connected.map_err(|_| AttemptOutcome::ConnectFailed)?;
        let stream = connected.map_err(|e| {
            if is_local_shortage(&e) {
                AttemptOutcome::NotSent
            } else {
                AttemptOutcome::ConnectFailed
            }
        })?;
        stream.set_nodelay(true).map_err(|_| AttemptOutcome::ConnectFailed)?;
        Ok(DialedConnection { socket: SharedStream::new(stream), generation, permit })
    }
}

/// Whether a connection failed because this machine lacks a resource, such as descriptors or ports.
fn is_local_shortage(error: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(error.raw_os_error(), Some(23 | 24 | 99 | 105))
}
