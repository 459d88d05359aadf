//! Attempts: one request to one upstream, once; and the connections that are kept for the next.
use crate::driver::{Answer, Outgoing};
use crate::inbound::{Shared, HEAD_MOST};
use crate::sockets::Sockets;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oakflow::Ending;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// Bodies hold at most this much, both ways.
pub const BODY_MOST: usize = 64 << 10;
/// How long the time-out of an idle connection is undercut: what is sent on one that the upstream is about to
/// close ends as a reset, and the upstream counts from its last byte, not from when we read it.
const IDLE_MARGIN: Duration = Duration::from_millis(250);
/// How long a connection may take to be ready for its next request once an answer has been read whole.
const SETTLE: Duration = Duration::from_millis(5);

/// Tells how long an attempt will be waited for.
pub const DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Headers that belong to one connection and are not passed on.
const HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Takes out the headers that belong to one connection; the length of a body is framed anew.
pub fn end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|v| v.trim().parse().ok())
        .collect();
    for name in HOP.iter().chain(&named).chain(&[header::CONTENT_LENGTH, header::EXPECT]) {
        headers.remove(name);
    }
}

/// One open connection; closed when dropped.
struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    socket: Shared,
    /// The upstream's generation that it was made for.
    generation: u64,
    task: AbortHandle,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Conn {
    /// Whether it can carry a request. Guards against requests written to one that the other side has closed,
    /// and against reading what came behind an answer, a second copy or noise, as the answer to the next.
    fn clean(&self) -> bool {
        self.sender.is_ready() && self.socket.quiet()
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// One upstream: where it is, and the connections to it that carry nothing now.
pub struct Upstream {
    /// Where it listens.
    pub addr: Cell<SocketAddr>,
    /// After this nothing may be written to it: it drains or is gone, and the grace is over.
    pub closes: Cell<Option<Instant>>,
    /// Counts the processes that have been there.
    generation: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
}

impl Upstream {
    /// An upstream that nothing is connected to yet.
    pub fn new(addr: SocketAddr) -> Rc<Upstream> {
        let (addr, closes) = (Cell::new(addr), Cell::new(None));
        Rc::new(Upstream { addr, closes, generation: Cell::new(0), idle: RefCell::default() })
    }

    /// Another process has taken its place: connections to the old one, those in use too, carry nothing more.
    pub fn replaced(&self) {
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    /// Closes the connections that carry no call now.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for longer than `most`, and those the other side closed.
    pub fn sweep(&self, now: Instant, most: Duration) {
        self.idle.borrow_mut().retain(|i| !i.conn.sender.is_closed() && now - i.since < most);
    }

    /// Since when the connection that rested longest is idle.
    pub fn oldest_idle(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|i| i.since)
    }

    /// Closes the connection that rested longest.
    pub fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// The connection used last: the others then go idle and close, instead of all being kept warm by turns.
    fn take(&self, most: Duration) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(i) = idle.pop() {
            if now - i.since < most && i.conn.clean() {
                return Some(i.conn);
            }
        }
        None
    }

    fn closed(&self, now: Instant) -> bool {
        self.closes.get().is_some_and(|at| now >= at)
    }
}

/// What all attempts share.
#[derive(Clone)]
pub struct Transport {
    /// A connection that is not up after this long counts as refused.
    pub dial_timeout: Duration,
    /// Connections are closed when idle for this long.
    pub idle: Duration,
    /// Sockets that may still be opened.
    pub sockets: Sockets,
}

impl Transport {
    /// `idle_close` is when upstreams close idle connections.
    pub fn new(dial_timeout: Duration, idle_close: Duration, sockets: Sockets) -> Self {
        let idle = idle_close.saturating_sub(IDLE_MARGIN).max(idle_close / 2);
        Transport { dial_timeout, idle, sockets }
    }

    async fn dial(&self, to: &Upstream, until: Instant) -> Result<Conn, Ending> {
        // Guards against blaming an upstream for a shortage of our own.
        let permit = self.sockets.upstream().ok_or(Ending::Moot)?;
        let until = until.min(Instant::now() + self.dial_timeout);
        let generation = to.generation.get();
        let dialled =
            timeout_at(until, TcpStream::connect(to.addr.get())).await.map_err(|_| Ending::ConnectFailed)?;
        let stream = dialled.map_err(|e| if short(&e) { Ending::Moot } else { Ending::ConnectFailed })?;
        stream.set_nodelay(true).map_err(|_| Ending::ConnectFailed)?;
        let socket = Shared::new(stream);
        let io = TokioIo::new(socket.clone());
        let made = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(io).await;
        let (sender, conn) = made.map_err(|_| Ending::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the attempt that was on it.
            let _ = conn.await;
        });
        Ok(Conn { sender, socket, generation, task: task.abort_handle(), _permit: permit })
    }

    /// Carries one attempt out: its request is written once at most. Dropping the future closes the connection.
    pub async fn attempt(
        &self,
        to: Rc<Upstream>,
        out: Rc<Outgoing>,
        until: Instant,
    ) -> (Ending, Option<Answer>) {
        let mut request = match out.request() {
            Ok(request) => request,
            Err(_) => return (Ending::Moot, None),
        };
        let (mut conn, answer) = loop {
            let (mut conn, reused) = match to.take(self.idle) {
                Some(conn) => (conn, true),
                None => match self.dial(&to, until).await {
                    Ok(conn) => (conn, false),
                    Err(ending) => return (ending, None),
                },
            };
            let now = Instant::now();
            // Guards against what was decided before dialling and must not be written after it: the upstream's
            // grace, the attempt's time or the request itself may be over by now.
            if to.closed(now) || now >= until || out.over.get() {
                return (Ending::Moot, None);
            }
            let left = (until - now).as_micros();
            if let Ok(left) = HeaderValue::try_from(format!("{left}u")) {
                request.headers_mut().insert(DEADLINE, left);
            }
            match conn.sender.try_send_request(request).await {
                Ok(answer) => break (conn, answer),
                // Handed back whole: nothing was written. A connection that rested and had been closed meanwhile
                // says nothing about the upstream, so the next one is tried; each is tried once.
                Err(mut e) => match e.take_message() {
                    Some(back) if reused => request = back,
                    Some(_) => return (Ending::ConnectFailed, None),
                    None => return (Ending::Reset, None),
                },
            }
        };
        if !has_an_end(&answer) || answer.body().size_hint().lower() > BODY_MOST as u64 {
            return (Ending::Reset, None);
        }
        let ending = ending(&answer);
        let (head, body) = answer.into_parts();
        let Ok(body) = Limited::new(body, BODY_MOST).collect().await else { return (Ending::Reset, None) };
        // Back before the outcome is told: what the module sends next may go on this connection.
        if let Ok(Ok(())) = timeout(SETTLE, conn.sender.ready()).await {
            if !to.closed(Instant::now()) && conn.generation == to.generation.get() && conn.clean() {
                to.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
            }
        }
        let answer = match ending {
            Ending::Ok => {
                let mut headers = head.headers;
                end_to_end(&mut headers);
                Some(Answer::Served { headers, body: body.to_bytes() })
            }
            // Guards against callers whose bad input makes upstreams look bad: it says nothing about the upstream,
            // and sent to another it would be turned away again.
            Ending::Cancelled => Some(Answer::Unusable(head.status)),
            _ => None,
        };
        (ending, answer)
    }
}

/// Whether a connection was not made for want of something on this machine.
fn short(e: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(e.raw_os_error(), Some(23 | 24 | 99 | 105))
}

/// Whether it is certain where an answer ends: it states its length once, in one way. One that ends with its
/// connection may be cut short, and one with two framings may be read otherwise than it was meant.
fn has_an_end<B>(answer: &Response<B>) -> bool {
    let all = |name| answer.headers().get_all(name).iter().collect::<Vec<_>>();
    match (&all(header::TRANSFER_ENCODING)[..], &all(header::CONTENT_LENGTH)[..]) {
        ([], [length]) => length.as_bytes().iter().all(u8::is_ascii_digit),
        ([coding], []) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// What an answer says. Only a mark that the request was turned away proves that it never ran.
fn ending<B>(answer: &Response<B>) -> Ending {
    let declined = answer.headers().get(DECLINED).is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::OK => Ending::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Ending::Full,
        status if status.is_client_error() => Ending::Cancelled,
        _ => Ending::Error,
    }
}

impl Outgoing {
    fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::{Method, Uri};
    use std::io::{Read, Write};
    use std::net::TcpListener;
    use tokio::task::LocalSet;

    fn transport(sockets: Sockets) -> Transport {
        Transport::new(Duration::from_secs(5), Duration::from_secs(60), sockets)
    }

    fn alone(test: impl std::future::Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test);
    }

    /// Guards against requests written to a connection of which the system knows, and the runtime not yet, that
    /// it is closed or holds more than the last answer: nothing between that and the next request yields.
    #[test]
    fn a_connection_with_something_unread_is_not_used_again() {
        alone(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let addr = listener.local_addr().expect("an address");
            let transport = transport(Sockets::new(64));
            let rested = |extra: Option<&'static [u8]>| {
                let (transport, listener) = (transport.clone(), listener.try_clone().expect("a listener"));
                async move {
                    let until = Instant::now() + Duration::from_secs(5);
                    let upstream = Upstream::new(addr);
                    let mut conn = transport.dial(&upstream, until).await.expect("connects");
                    let (mut peer, _) = listener.accept().expect("accepts");
                    conn.sender.ready().await.expect("it is open");
                    upstream.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
                    match extra {
                        Some(extra) => peer.write_all(extra).expect("writes"),
                        None => drop(peer.shutdown(std::net::Shutdown::Both)),
                    }
                    let taken = upstream.take(Duration::from_secs(60)).is_some();
                    drop(peer);
                    taken
                }
            };
            assert!(rested(Some(b"")).await, "one that rests is used");
            assert!(!rested(Some(b"x")).await, "one with noise is not");
            assert!(!rested(None).await, "nor one that is closed");
        });
    }

    /// Guards against blaming an upstream for our own want of descriptors: nothing was tried.
    #[test]
    fn a_shortage_of_our_own_is_no_failure_of_the_upstream() {
        alone(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let sockets = Sockets::new(64);
            let all: Vec<_> = std::iter::from_fn(|| sockets.upstream()).collect();
            let out = Outgoing {
                name: None,
                method: Method::GET,
                target: Uri::from_static("/api"),
                headers: HeaderMap::new(),
                body: Bytes::new(),
                over: Cell::new(false),
            };
            let to = Upstream::new(listener.local_addr().expect("an address"));
            let until = Instant::now() + Duration::from_secs(5);
            let (ending, _) = transport(sockets).attempt(to, Rc::new(out), until).await;
            assert_eq!(ending, Ending::Moot);
            drop(all);
            listener.set_nonblocking(true).expect("a listener");
            let nobody = listener.accept().map(|(mut s, _)| s.read(&mut [0]));
            assert!(nobody.is_err(), "nothing was connected");
        });
    }
}
