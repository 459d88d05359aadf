//! An upstream, and the connections that are kept to it, whatever it speaks.
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

/// A connection that may be kept.
pub trait PooledConnection {
    /// Whether it can carry a request now: it is open, and nothing unread is on it.
    fn is_reusable(&self) -> bool;
    /// Whether the other side has closed it.
    fn is_closed(&self) -> bool;
}

/// A protocol that upstreams speak.
pub trait UpstreamProtocol: Sized + 'static {
    /// Its connections.
    type Conn: PooledConnection;

    /// Carries one attempt out: its request is written once at most. Dropping the future closes the connection.
    fn execute(peer: &Rc<Peer<Self>>, attempt: Attempt) -> impl Future<Output = AttemptResult> + '_;
}

/// How upstreams are reached.
#[derive(Clone)]
pub struct ConnectionSettings {
    /// A connection that is not up after this long counts as refused.
    pub dial_timeout: Duration,
    /// When upstreams close idle connections.
    pub idle_close: Duration,
    /// Sockets that may still be opened.
    pub descriptors: DescriptorBudget,
    /// Sizes and waits.
    pub limits: LiveConfig<Limits>,
}

impl ConnectionSettings {
    /// How long connections may rest: the time-out of idle ones is undercut, for what is sent on one that the
    /// upstream is about to close ends as a reset, and the upstream counts from its last byte, not from when we
    /// read it.
    fn max_idle(&self) -> Duration {
        self.idle_close.saturating_sub(self.limits.get().upstream_idle_margin).max(self.idle_close / 2)
    }
}

/// A connection that was just made.
pub struct DialedConnection {
    /// The socket.
    pub socket: SharedStream,
    /// The upstream's generation that it was made for.
    pub generation: u64,
    /// Its place in the budget.
    pub permit: OwnedSemaphorePermit,
}

/// One upstream: where it is, and the connections to it that carry nothing now.
pub struct Peer<P: UpstreamProtocol> {
    /// How it is reached.
    pub settings: ConnectionSettings,
    /// What its protocol needs.
    pub protocol: P,
    addr: Cell<SocketAddr>,
    /// Counts the processes that have been there.
    generation: Cell<u64>,
    /// The one used last is at the end.
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
    /// An upstream that nothing is connected to yet.
    pub fn new(reach: ConnectionSettings, own: P, addr: SocketAddr) -> Rc<Peer<P>> {
        let (addr, generation) = (Cell::new(addr), Cell::new(0));
        Rc::new(Peer { settings: reach, protocol: own, addr, generation, idle: RefCell::default() })
    }

    /// The connection used last: the others then go idle and close, instead of all being kept warm by turns.
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

    /// Keeps a connection of this generation for the next request, unless its upstream takes none.
    pub fn return_idle(&self, conn: P::Conn, generation: u64, gate: &DrainGate) {
        if !gate.closed(Instant::now()) && self.is_current(generation) {
            self.idle.borrow_mut().push((conn, Instant::now()));
        }
    }

    /// Whether connections of this generation lead to the process that is there now.
    pub fn is_current(&self, generation: u64) -> bool {
        generation == self.generation.get()
    }

    /// The generation of the process that is there now.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Makes a connection.
    ///
    /// # Errors
    /// How the attempt ended that it was for.
    pub async fn dial(&self, until: Instant) -> Result<DialedConnection, Ending> {
        // Guards against blaming an upstream for a shortage of our own.
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

/// Whether a connection was not made for want of something on this machine.
fn is_local_shortage(e: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(e.raw_os_error(), Some(23 | 24 | 99 | 105))
}
