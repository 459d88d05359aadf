//! An upstream, and the connections that are kept to it, whatever it speaks.
use crate::descriptor_budget::DescriptorBudget;
use crate::exchange::{Attempt, Ended, Gate, Running, Upstream};
use crate::live_config::LiveConfig;
use crate::stream::Shared;
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
pub trait Kept {
    /// Whether it can carry a request now: it is open, and nothing unread is on it.
    fn clean(&self) -> bool;
    /// Whether the other side has closed it.
    fn closed(&self) -> bool;
}

/// A protocol that upstreams speak.
pub trait Speaks: Sized + 'static {
    /// Its connections.
    type Conn: Kept;

    /// Carries one attempt out: its request is written once at most. Dropping the future closes the connection.
    fn carry_out(peer: &Rc<Peer<Self>>, attempt: Attempt) -> impl Future<Output = Ended> + '_;
}

/// How upstreams are reached.
#[derive(Clone)]
pub struct Reach {
    /// A connection that is not up after this long counts as refused.
    pub dial_timeout: Duration,
    /// When upstreams close idle connections.
    pub idle_close: Duration,
    /// Sockets that may still be opened.
    pub sockets: DescriptorBudget,
    /// Sizes and waits.
    pub limits: LiveConfig<Limits>,
}

impl Reach {
    /// How long connections may rest: the time-out of idle ones is undercut, for what is sent on one that the
    /// upstream is about to close ends as a reset, and the upstream counts from its last byte, not from when we
    /// read it.
    fn idle(&self) -> Duration {
        self.idle_close.saturating_sub(self.limits.get().upstream_idle_margin).max(self.idle_close / 2)
    }
}

/// A connection that was just made.
pub struct Dialled {
    /// The socket.
    pub socket: Shared,
    /// The upstream's generation that it was made for.
    pub generation: u64,
    /// Its place in the budget.
    pub permit: OwnedSemaphorePermit,
}

/// One upstream: where it is, and the connections to it that carry nothing now.
pub struct Peer<P: Speaks> {
    /// How it is reached.
    pub reach: Reach,
    /// What its protocol needs.
    pub own: P,
    addr: Cell<SocketAddr>,
    /// Counts the processes that have been there.
    generation: Cell<u64>,
    /// The one used last is at the end.
    idle: RefCell<Vec<(P::Conn, Instant)>>,
}

impl<P: Speaks> Upstream for Peer<P> {
    fn attempt(self: Rc<Self>, attempt: Attempt) -> Running {
        Box::pin(async move { P::carry_out(&self, attempt).await })
    }

    fn replaced(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn sweep(&self, now: Instant) {
        let most = self.reach.idle();
        self.idle.borrow_mut().retain(|(conn, since)| !conn.closed() && now - *since < most);
    }

    fn oldest_idle(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|&(_, since)| since)
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }
}

impl<P: Speaks> Peer<P> {
    /// An upstream that nothing is connected to yet.
    pub fn new(reach: Reach, own: P, addr: SocketAddr) -> Rc<Peer<P>> {
        let (addr, generation) = (Cell::new(addr), Cell::new(0));
        Rc::new(Peer { reach, own, addr, generation, idle: RefCell::default() })
    }

    /// The connection used last: the others then go idle and close, instead of all being kept warm by turns.
    pub fn take(&self) -> Option<P::Conn> {
        let (now, most) = (Instant::now(), self.reach.idle());
        let mut idle = self.idle.borrow_mut();
        while let Some((conn, since)) = idle.pop() {
            if now - since < most && conn.clean() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection of this generation for the next request, unless its upstream takes none.
    pub fn keep(&self, conn: P::Conn, generation: u64, gate: &Gate) {
        if !gate.closed(Instant::now()) && self.current(generation) {
            self.idle.borrow_mut().push((conn, Instant::now()));
        }
    }

    /// Whether connections of this generation lead to the process that is there now.
    pub fn current(&self, generation: u64) -> bool {
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
    pub async fn dial(&self, until: Instant) -> Result<Dialled, Ending> {
        // Guards against blaming an upstream for a shortage of our own.
        let permit = self.reach.sockets.upstream().ok_or(Ending::Moot)?;
        let until = until.min(Instant::now() + self.reach.dial_timeout);
        let generation = self.generation.get();
        let dialled = timeout_at(until, TcpStream::connect(self.addr.get())).await;
        let dialled = dialled.map_err(|_| Ending::ConnectFailed)?;
        let stream = dialled.map_err(|e| if short(&e) { Ending::Moot } else { Ending::ConnectFailed })?;
        stream.set_nodelay(true).map_err(|_| Ending::ConnectFailed)?;
        Ok(Dialled { socket: Shared::new(stream), generation, permit })
    }
}

/// Whether a connection was not made for want of something on this machine.
fn short(e: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(e.raw_os_error(), Some(23 | 24 | 99 | 105))
}
