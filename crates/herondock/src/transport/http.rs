//! Attempts over HTTP/1.1: one request to one upstream, written at most once, on pooled connections.
use super::connection_pool::{DialedConnection, Peer, PooledConnection, UpstreamProtocol};
use crate::exchange::{Answer, Attempt, AttemptResult};
use crate::http::{end_to_end_fields, to_headers, to_method, DEADLINE, DECLINED};
use crate::memory_budget::Purpose;
use crate::message_body::{read_answer, BodyError};
use crate::stream::SharedStream;
use balancer::AttemptOutcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// Maximum time until a connection is ready for its next request after an answer has been read completely.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Part of the remaining time, as a divisor, for which the end of the connection is waited for where it ends the answer to
/// a request that can be repeated: the end may never come.
const CONNECTION_END_DIVISOR: u32 = 4;

/// An open connection; closed when dropped.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    socket: SharedStream,
    /// Generation of the upstream process that it leads to.
    generation: u64,
    established_at: Instant,
    task: AbortHandle,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PooledConnection for Conn {
    /// Guards against requests on a connection that the peer has closed, and against taking surplus bytes after an
    /// answer, such as a duplicate answer, for the answer to the next request.
    fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.socket.is_idle()
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// HTTP/1.1 (RFC 9112).
pub struct Http;

async fn dial(peer: &Peer<Http>, deadline: Instant) -> Result<Conn, AttemptOutcome> {
    let DialedConnection { socket, generation, permit, established_at } = peer.dial(deadline).await?;
    let io = TokioIo::new(socket.clone());
    let handshake = http1::Builder::new().max_buf_size(peer.settings.limits.get().head).handshake(io).await;
    let (sender, conn) = handshake.map_err(|_| AttemptOutcome::ConnectFailed)?;
    let task = tokio::task::spawn_local(async move {
        // Errors reach the attempt on the connection, which reports them.
        let _ = conn.await;
    });
    Ok(Conn { sender, socket, generation, established_at, task: task.abort_handle(), _permit: permit })
}

impl UpstreamProtocol for Http {
    type Conn = Conn;

    async fn execute(peer: &Rc<Peer<Http>>, attempt: Attempt) -> AttemptResult {
        let Ok(mut request) = to_message(&attempt.request) else { return (AttemptOutcome::NotSent, None) };
        let max_body = peer.settings.limits.get().body;
        let (conn, answer) = loop {
            let (mut conn, reused) = match peer.take_idle() {
                Some(conn) => (conn, true),
                None => match dial(peer, attempt.deadline).await {
                    Ok(conn) => (conn, false),
                    Err(ending) => return (ending, None),
                },
            };
            let now = Instant::now();
            let process = peer.process_identity(conn.established_at, now);
            if !attempt.may_write_to(process, now) {
                return (AttemptOutcome::NotSent, None);
            }
            let remaining_us = (attempt.deadline - now).as_micros();
            if let Ok(value) = HeaderValue::try_from(format!("{remaining_us}u")) {
                request.headers_mut().insert(DEADLINE, value);
            }
            for (name, value) in attempt.budget_fields(now).into_iter().flatten() {
                if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
                    request.headers_mut().insert(name, value);
                }
            }
            match conn.sender.try_send_request(request).await {
                Ok(answer) => break (conn, answer),
                // hyper returns the request if nothing of it was written. That an idle connection has been closed in
                // the meantime is no failure of the upstream, so the next connection is tried; each is tried once.
                Err(mut error) => {
                    peer.connection_ended(Instant::now());
                    match error.take_message() {
                        Some(unsent) if reused => request = unsent,
                        Some(_) => return (AttemptOutcome::ConnectFailed, None),
                        None => return (AttemptOutcome::Reset, None),
                    }
                }
            }
        };
        attempt.record_usage(|name| answer.headers().get(name).map(HeaderValue::as_bytes));
        let Some(framing) = framing_of(&answer) else { return (AttemptOutcome::Reset, None) };
        let ending = ending_of(&answer);
        let (head, body) = answer.into_parts();
        let reservation = peer.settings.memory.reservation(Purpose::Answer);
        let reading = read_answer(body, max_body, reservation);
        let body = match framing.limit_time(reading, &attempt, Instant::now()).await {
            Some(Ok(body)) => body,
            Some(Err(BodyError::Broken(_))) => {
                peer.connection_ended(Instant::now());
                return (AttemptOutcome::Reset, None);
            }
            Some(Err(_)) | None => return (AttemptOutcome::Reset, None),
        };
        // Returned before the outcome is reported, so that the next attempt can use this connection.
        if framing == Framing::StatedLength {
            return_when_ready(peer, conn, &attempt).await;
        }
        let answer = match ending {
            AttemptOutcome::Ok => {
                let used_header = attempt.used_field().and_then(|name| HeaderName::try_from(name).ok());
                let fields = end_to_end_fields(&head.headers, |name| used_header.as_ref() == Some(name));
                Some(Answer::Served { fields, body })
            }
            // Invalid input of a client is no failure of the upstream, and another upstream would reject it as well.
            AttemptOutcome::Cancelled => Some(Answer::ClientError(head.status.as_u16())),
            _ => None,
        };
        (ending, answer)
    }
}

/// Returns a connection to the pool after an answer, unless the upstream closes it.
async fn return_when_ready(peer: &Peer<Http>, mut conn: Conn, attempt: &Attempt) {
    if let Ok(Ok(())) = timeout(READY_TIMEOUT, conn.sender.ready()).await {
        // Unread bytes on the connection are checked for when it is taken again.
        let generation = conn.generation;
        peer.return_idle(conn, generation, &attempt.gate);
    }
}

/// What ends the body of an answer (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// Its stated length, or its last chunk.
    StatedLength,
    /// The orderly end of the connection. A reset is a failure to read the body, and not its end.
    ConnectionEnd,
}

impl Framing {
    /// Reads a body; `None`: it has no end in the time that the attempt waits for one. The driver ends attempts at their
    /// deadline.
    async fn limit_time<F: Future>(self, reading: F, attempt: &Attempt, now: Instant) -> Option<F::Output> {
        if self == Framing::StatedLength || !attempt.is_repeatable {
            return Some(reading.await);
        }
        let remaining = attempt.deadline.saturating_duration_since(now);
        timeout(remaining / CONNECTION_END_DIVISOR, reading).await.ok()
    }
}

/// Returns the framing of an answer; `None`: it is ambiguous. An answer with two framings may be interpreted differently
/// than the upstream intended.
fn framing_of<B>(answer: &Response<B>) -> Option<Framing> {
    let values = |name| answer.headers().get_all(name).iter().collect::<Vec<_>>();
    match (&values(header::TRANSFER_ENCODING)[..], &values(header::CONTENT_LENGTH)[..]) {
        ([], [length]) if length.as_bytes().iter().all(u8::is_ascii_digit) => Some(Framing::StatedLength),
        ([coding], []) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Some(Framing::StatedLength),
        // After an interim response, such as an upgrade, the bytes are of another protocol.
        ([], []) if !answer.status().is_informational() => Some(Framing::ConnectionEnd),
        _ => None,
    }
}

/// Returns the ending of an attempt by its answer. Only the header that marks a rejection proves that the request
/// never ran.
fn ending_of<B>(answer: &Response<B>) -> AttemptOutcome {
    let declined = answer.headers().get(DECLINED).is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::OK => AttemptOutcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => AttemptOutcome::Declined,
        status if status.is_client_error() => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Error,
    }
}

/// Converts a request to an HTTP message.
fn to_message(request: &crate::exchange::Request) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let message = Request::builder().method(to_method(request.method)).uri(&*request.target);
    let mut message = message.body(Full::new(request.body.clone()))?;
    *message.headers_mut() = to_headers(&request.fields);
    Ok(message)
}

#[cfg(test)]
mod tests;
