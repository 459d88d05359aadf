//! An upstream and its pool of idle connections, whatever protocol it speaks.
use crate::descriptor_budget::DescriptorBudget;
use crate::exchange::{Attempt, AttemptFuture, AttemptResult, DrainGate, Upstream};
use crate::live_config::LiveConfig;
use crate::stream::SharedStream;
use balancer::Ending;
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
    /// Whether the other side has closed it.
    fn is_closed(&self) -> bool;
}

/// A protocol of upstreams.
pub trait UpstreamProtocol: Sized + 'static {
    /// Its kind of connection.
    type Conn: PooledConnection;

    /// Executes one attempt: its request is written once at most. Dropping the future closes the connection.
    fn execute(peer: &Rc<Peer<Self>>, attempt: Attempt) -> impl Future<Output = AttemptResult> + '_;
}

/// Settings of connections to upstreams.
#[derive(Clone)]
pub struct ConnectionSettings {
    /// A connection that is not established after this long counts as failed.
    pub dial_timeout: Duration,
    /// How long upstreams keep idle connections open.
    pub idle_close: Duration,
    /// Descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Limits on sizes and waits.
    pub limits: LiveConfig<Limits>,
}

impl ConnectionSettings {
    /// How long connections may be idle. Shorter than the upstream's timeout: a request on a connection that the upstream is
    /// about to close ends as a reset, and the upstream counts from its last byte, not from when it was read here.
    fn max_idle(&self) -> Duration {
        self.idle_close.saturating_sub(self.limits.get().upstream_idle_margin).max(self.idle_close / 2)
    }
}

/// A new connection.
pub struct DialedConnection {
    /// The socket.
    pub socket: SharedStream,
    /// Generation of the upstream process that it leads to.
    pub generation: u64,
    /// Its descriptor.
    pub permit: OwnedSemaphorePermit,
}

/// One upstream: its address, and its idle connections.
pub struct Peer<P: UpstreamProtocol> {
    /// Settings of its connections.
    pub settings: ConnectionSettings,
    /// State of its protocol.
    pub protocol: P,
    addr: Cell<SocketAddr>,
    /// Counts the processes that have served at the address.
    generation: Cell<u64>,
    /// Idle connections and since when; the one used last is at the end.
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
        let most = self.settings.max_idle();
        self.idle.borrow_mut().retain(|(conn, since)| !conn.is_closed() && now - *since < most);
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
    /// An upstream without connections.
    pub fn new(reach: ConnectionSettings, own: P, addr: SocketAddr) -> Rc<Peer<P>> {
        let (addr, generation) = (Cell::new(addr), Cell::new(0));
        Rc::new(Peer { settings: reach, protocol: own, addr, generation, idle: RefCell::default() })
    }

    /// Takes the idle connection that was used last: the others then expire, instead of all being kept open by turns.
    pub fn take_idle(&self) -> Option<P::Conn> {
        let (now, most) = (Instant::now(), self.settings.max_idle());
        let mut idle = self.idle.borrow_mut();
        while let Some((conn, since)) = idle.pop() {
            if now - since < most && conn.is_reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a connection of this generation to the pool, unless its upstream drains.
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

    /// Establishes a connection.
    ///
    /// # Errors
    /// The ending of the attempt that it was for.
    pub async fn dial(&self, until: Instant) -> Result<DialedConnection, Ending> {
        // A shortage of descriptors here is no failure of the upstream.
        let permit = self.settings.descriptors.try_upstream().ok_or(Ending::Moot)?;
        let until = until.min(Instant::now() + self.settings.dial_timeout);
        let generation = self.generation.get();
        let dialled = timeout_at(until, TcpStream::connect(self.addr.get())).await;
        let dialled = dialled.map_err(|_| Ending::ConnectFailed)?;
        let stream =
            dialled.map_err(|e| if is_local_shortage(&e) { Ending::Moot } else { Ending::ConnectFailed })?;
        stream.set_nodelay(true).map_err(|_| Ending::ConnectFailed)?;
        Ok(DialedConnection { socket: SharedStream::new(stream), generation, permit })
    }
}

/// Whether a connection failed for want of a resource of this machine.
fn is_local_shortage(e: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(e.raw_os_error(), Some(23 | 24 | 99 | 105))
}
