//! Attempts over HTTP/1.1: one request to one upstream, once; and the connections that are kept for the next.
use super::connection_pool::{DialedConnection, Peer, PooledConnection, UpstreamProtocol};
use crate::exchange::{Answer, Attempt, AttemptResult};
use crate::http::{fields, headers, method, DEADLINE, DECLINED};
use crate::stream::SharedStream;
use balancer::Ending;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// How long a connection may take to be ready for its next request once an answer has been read whole.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// One open connection; closed when dropped.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    socket: SharedStream,
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

impl PooledConnection for Conn {
    /// Guards against requests written to one that the other side has closed, and against reading what came behind an
    /// answer, a second copy or noise, as the answer to the next.
    fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.socket.quiet()
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// HTTP/1.1 (RFC 9112).
pub struct Http;

async fn dial(peer: &Peer<Http>, until: Instant) -> Result<Conn, Ending> {
    let DialedConnection { socket, generation, permit } = peer.dial(until).await?;
    let io = TokioIo::new(socket.clone());
    let made = http1::Builder::new().max_buf_size(peer.settings.limits.get().head).handshake(io).await;
    let (sender, conn) = made.map_err(|_| Ending::ConnectFailed)?;
    let task = tokio::task::spawn_local(async move {
        // How the connection ended shows in the attempt that was on it.
        let _ = conn.await;
    });
    Ok(Conn { sender, socket, generation, task: task.abort_handle(), _permit: permit })
}

impl UpstreamProtocol for Http {
    type Conn = Conn;

    async fn execute(peer: &Rc<Peer<Http>>, attempt: Attempt) -> AttemptResult {
        let Ok(mut request) = message(&attempt.request) else { return (Ending::Moot, None) };
        let body_most = peer.settings.limits.get().body;
        let (mut conn, answer) = loop {
            let (mut conn, reused) = match peer.take_idle() {
                Some(conn) => (conn, true),
                None => match dial(peer, attempt.deadline).await {
                    Ok(conn) => (conn, false),
                    Err(ending) => return (ending, None),
                },
            };
            let now = Instant::now();
            if !attempt.may_write(now) {
                return (Ending::Moot, None);
            }
            let left = (attempt.deadline - now).as_micros();
            if let Ok(left) = HeaderValue::try_from(format!("{left}u")) {
                request.headers_mut().insert(DEADLINE, left);
            }
            for (name, value) in attempt.budget_fields(now).into_iter().flatten() {
                if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
                    request.headers_mut().insert(name, value);
                }
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
        attempt.record_usage(|name| answer.headers().get(name).map(HeaderValue::as_bytes));
        if !has_an_end(&answer) || answer.body().size_hint().lower() > body_most as u64 {
            return (Ending::Reset, None);
        }
        let ending = ending(&answer);
        let (head, body) = answer.into_parts();
        let Ok(body) = Limited::new(body, body_most).collect().await else { return (Ending::Reset, None) };
        // Back before the outcome is told: what the module sends next may go on this connection.
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, conn.sender.ready()).await {
            // Whether something unread is on it is asked when it is taken again.
            let generation = conn.generation;
            peer.return_idle(conn, generation, &attempt.gate);
        }
        let answer = match ending {
            Ending::Ok => {
                let used = attempt.used_field().and_then(|name| HeaderName::try_from(name).ok());
                let fields = fields(&head.headers, |name| used.as_ref() == Some(name));
                Some(Answer::Served { fields, body: body.to_bytes() })
            }
            // Guards against callers whose bad input makes upstreams look bad: it says nothing about the upstream,
            // and sent to another it would be turned away again.
            Ending::Cancelled => Some(Answer::ClientError(head.status.as_u16())),
            _ => None,
        };
        (ending, answer)
    }
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

/// A request as HTTP writes it.
fn message(request: &crate::exchange::Request) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let message = Request::builder().method(method(request.method)).uri(&*request.target);
    let mut message = message.body(Full::new(request.body.clone()))?;
    *message.headers_mut() = headers(&request.fields);
    Ok(message)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::descriptor_budget::DescriptorBudget;
    use crate::exchange::{DrainGate, Fields, Method, Upstream};
    use crate::live_config::LiveConfig;
    use crate::transport::connection_pool::ConnectionSettings;
    use config::operator::Limits;
    use std::cell::Cell;
    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpListener};
    use std::rc::Rc;
    use tokio::task::LocalSet;

    fn upstream(sockets: DescriptorBudget, addr: SocketAddr) -> Rc<Peer<Http>> {
        let limits = LiveConfig::new(Limits::default());
        let (dial_timeout, idle_close) = (Duration::from_secs(5), Duration::from_secs(60));
        Peer::new(ConnectionSettings { dial_timeout, idle_close, descriptors: sockets, limits }, Http, addr)
    }

    fn attempt() -> Attempt {
        let request = crate::exchange::Request {
            id: None,
            method: Method::Get,
            target: "/api".into(),
            fields: Fields::default(),
            body: Bytes::new(),
            budget: None,
            max_attempts: None,
            finished: Cell::new(false),
        };
        let until = Instant::now() + Duration::from_secs(5);
        let (gate, hop) = (Rc::new(DrainGate::default()), None);
        Attempt { request: Rc::new(request), gate, deadline: until, dedup_deadline: None, budget_grant: hop }
    }

    fn alone(test: impl std::future::Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test);
    }

    /// Guards against a repeat that is written when repeats are not dropped any more: it was chosen before, and its connection came
    /// up after.
    #[test]
    fn nothing_is_repeated_after_the_window() {
        alone(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let upstream = upstream(DescriptorBudget::new(64), listener.local_addr().expect("an address"));
            let late = Attempt { dedup_deadline: Some(Instant::now()), ..attempt() };
            let (ending, answer) = upstream.attempt(late).await;
            assert!(ending == balancer::Ending::Moot && answer.is_none(), "{ending:?}");
            let (stream, _) = listener.accept().expect("a connection");
            stream.set_nonblocking(true).expect("sets");
            assert!(!matches!(stream.peek(&mut [0]), Ok(1)), "written");
        });
    }

    /// Guards against requests written to a connection of which the system knows, and the runtime not yet, that
    /// it is closed or holds more than the last answer: nothing between that and the next request yields.
    #[test]
    fn a_connection_with_something_unread_is_not_used_again() {
        alone(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let addr = listener.local_addr().expect("an address");
            let rested = |extra: Option<&'static [u8]>| {
                let listener = listener.try_clone().expect("a listener");
                async move {
                    let until = Instant::now() + Duration::from_secs(5);
                    let upstream = upstream(DescriptorBudget::new(64), addr);
                    let mut conn = dial(&upstream, until).await.expect("connects");
                    let (mut peer, _) = listener.accept().expect("accepts");
                    conn.sender.ready().await.expect("it is open");
                    upstream.return_idle(conn, 0, &attempt().gate);
                    match extra {
                        Some(extra) => peer.write_all(extra).expect("writes"),
                        None => drop(peer.shutdown(std::net::Shutdown::Both)),
                    }
                    let taken = upstream.take_idle().is_some();
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
            let sockets = DescriptorBudget::new(64);
            let all: Vec<_> = std::iter::from_fn(|| sockets.try_upstream()).collect();
            let to = upstream(sockets, listener.local_addr().expect("an address"));
            let attempt = attempt();
            let (ending, _) = to.attempt(attempt).await;
            assert_eq!(ending, Ending::Moot);
            drop(all);
            listener.set_nonblocking(true).expect("a listener");
            let nobody = listener.accept().map(|(mut s, _)| s.read(&mut [0]));
            assert!(nobody.is_err(), "nothing was connected");
        });
    }
}
