//! The callers' side: takes requests whole, hands them to the driver and writes the one final answer.
use crate::driver::{Answer, Handle, Outgoing, Waiting};
use crate::sockets::{Places, Sockets};
use crate::upstream::{end_to_end, BODY_MOST, DEADLINE};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use oakflow::{Effect, Millis};
use oakflow_settings::Deployment;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// A caller has this long for the head of a request, and for the next one on a kept connection.
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// And this long for the body.
const BODY_WAIT: Duration = Duration::from_secs(10);
/// A connection that is to close, and owes no answer, has this long to take what was written.
const FLUSH_WAIT: Duration = Duration::from_secs(2);
/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// While all callers' connections are busy, the next look for one that may be closed comes after this.
const CROWDED_PAUSE: Duration = Duration::from_millis(10);
/// Longest request id taken.
const ID_MOST: usize = 256;
const READY: &str = "/-/ready";
const SERVICE: &str = "/api";

/// How far the end of the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Up,
    /// Told to end: new connections are still accepted, kept ones end with their next answer.
    Leaving,
    /// Nothing new is accepted, and connections between requests are closed.
    Closing,
}

/// What every connection needs.
pub struct Server {
    driver: Handle,
    deployment: Deployment,
    sockets: Sockets,
    phase: watch::Receiver<Phase>,
    /// Connections between requests, the one that rested longest first, and how to close them.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Orders the connections by when they last fell idle.
    turn: Cell<u64>,
}

impl Server {
    /// Serves callers through `driver`, on what `sockets` leaves.
    pub fn new(
        driver: Handle,
        deployment: Deployment,
        sockets: Sockets,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Server> {
        let (idle, turn) = (RefCell::default(), Cell::new(0));
        Rc::new(Server { driver, deployment, sockets, phase, idle, turn })
    }

    /// Notes that a connection is between requests. Its number is to be taken out when that ends.
    fn rests(&self, close: &Rc<Notify>) -> Option<u64> {
        self.turn.set(self.turn.get() + 1);
        self.idle.borrow_mut().insert(self.turn.get(), close.clone());
        Some(self.turn.get())
    }

    fn rests_no_more(&self, number: Option<u64>) {
        if let Some(number) = number {
            self.idle.borrow_mut().remove(&number);
        }
    }

    /// Closes the connection between requests that rested longest, if there is one.
    fn close_one(&self) -> bool {
        let first = self.idle.borrow_mut().pop_first();
        first.is_some_and(|(_, close)| {
            close.notify_one();
            true
        })
    }

    /// Room for one more caller. Guards against idle connections that callers keep shutting others out: what is
    /// written to a connection that waits to be accepted counts as taken, so one between requests makes way.
    async fn room(&self) -> Option<Places> {
        loop {
            if let Some(places) = self.sockets.caller() {
                return Some(places);
            }
            if !self.close_one() && self.sockets.exhausted() {
                self.driver.free_socket();
            }
            // Whoever closes gives its place back; while all are busy, look again a little later.
            if let Ok(places) = timeout(CROWDED_PAUSE, self.sockets.caller_waits()).await {
                return places;
            }
        }
    }

    /// Accepts callers until the program closes. Returns once every connection has ended.
    pub async fn run(self: Rc<Server>, listener: TcpListener) {
        let (mut phase, mut failing) = (self.phase.clone(), false);
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = phase.wait_for(|p| *p == Phase::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    let Some(places) = self.room().await else { break };
                    tokio::task::spawn_local(self.clone().connection(stream, places));
                }
                // Out of descriptors, or a caller that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("accept: {e}");
                    }
                    self.close_one();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        self.sockets.callers_left().await;
    }

    async fn connection(self: Rc<Server>, stream: TcpStream, _places: Places) {
        // Without it answers wait for the caller's acknowledgements; where it fails the caller is gone.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let close = Rc::new(Notify::new());
        let place = Rc::new(Cell::new(self.rests(&close)));
        let (server, again, at) = (self.clone(), close.clone(), place.clone());
        let service = service_fn(move |request| {
            let (server, close, place) = (server.clone(), again.clone(), at.clone());
            async move {
                server.rests_no_more(place.take());
                let response = server.respond(request).await;
                place.set(server.rests(&close));
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WAIT)
            .max_buf_size(BODY_MOST)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        let ended = tokio::select! {
            // A caller's broken connection or garbage ends this connection only.
            _ = connection.as_mut() => true,
            () = close.notified() => false,
            _ = phase.wait_for(|p| *p == Phase::Closing) => false,
        };
        if !ended {
            connection.as_mut().graceful_shutdown();
            // Guards against callers that never read their answer, or never send a request: no hold on us.
            while timeout(FLUSH_WAIT, connection.as_mut()).await.is_err() && place.get().is_none() {}
        }
        self.rests_no_more(place.take());
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            READY if self.driver.ready() && *self.phase.borrow() == Phase::Up => plain(StatusCode::OK),
            READY => plain(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE || path.starts_with("/api/") => match self.take(request).await {
                Ok(waiting) => final_answer(waiting.answer().await),
                Err(response) => response,
            },
            _ => plain(StatusCode::NOT_FOUND),
        };
        if *self.phase.borrow() != Phase::Up {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a request whole and hands it to the driver.
    async fn take(&self, request: Request<Incoming>) -> Result<Waiting, Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        let bad = |what: &str| refuse_input(StatusCode::BAD_REQUEST, what);
        let (class, tenant, patience) = self.classify(&head.method, &head.headers).map_err(bad)?;
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err(refuse_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        let body = match timeout(BODY_WAIT, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(refuse_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
            }
            Ok(Err(_)) => return Err(bad("the body is broken")),
            Err(_) => return Err(refuse_input(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        let mut headers = head.headers;
        end_to_end(&mut headers);
        headers.remove(&DEADLINE);
        let target = head.uri.path_and_query().map(|p| Uri::from(p.clone())).unwrap_or_default();
        let out = Outgoing { method: head.method, target, headers, body, over: Cell::new(false) };
        let full = || final_answer(Answer::Refused { retry_after: 0.0 });
        self.driver.take(class, tenant, patience, out).ok_or_else(full)
    }

    /// Class, tenant and patience of a request, or what is wrong with its head.
    fn classify(&self, method: &Method, headers: &HeaderMap) -> Result<(usize, usize, Millis), &'static str> {
        let d = &self.deployment;
        let one = |name: &str| {
            let mut all = headers.get_all(name).iter();
            let value = all.next()?.to_str().ok()?;
            all.next().is_none().then_some(value)
        };
        let id = one("req-id").ok_or("Req-Id is missing")?;
        if id.is_empty() || id.len() > ID_MOST {
            return Err("Req-Id is bad");
        }
        let kind = one("req-kind").ok_or("Req-Kind is missing")?;
        let class = d.classes.iter().position(|c| c == kind).ok_or("Req-Kind is unknown")?;
        let tenant = if d.tenants.is_empty() {
            0
        } else {
            let owner = one("req-owner").ok_or("Req-Owner is missing")?;
            d.tenants.iter().position(|t| t == owner).ok_or("Req-Owner is unknown")?
        };
        let patience = one("req-deadline").ok_or("Req-Deadline is missing")?;
        let patience = span(patience).ok_or("Req-Deadline is bad")?;
        let keyed = one("idempotency-key").is_some_and(|k| !k.is_empty());
        let form = match d.policy.classes[class].effect {
            Effect::Free => method == Method::GET,
            Effect::Guarded { .. } => method == Method::POST && keyed,
            Effect::SingleShot => method == Method::POST && !headers.contains_key("idempotency-key"),
        };
        if !form {
            return Err("the method or Idempotency-Key does not fit the class");
        }
        Ok((class, tenant, patience))
    }
}

/// A span of time as callers write it: a number and `m` for milliseconds or `u` for microseconds.
fn span(text: &str) -> Option<Millis> {
    let text = text.trim();
    let (number, unit) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1.0),
        (_, Some(number)) => (number, 0.001),
        _ => return None,
    };
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = plain.then(|| number.parse::<f64>().ok())?? * unit;
    (0.0..=86_400_000.0).contains(&value).then_some(value)
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn refuse_input(status: StatusCode, what: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{what}\n"))));
    *response.status_mut() = status;
    response
}

fn final_answer(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served { headers, body } => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers;
            response
        }
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            if retry_after > 0.0 {
                // Digits and a point only, so this cannot fail.
                if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_have_a_number_and_a_unit() {
        assert_eq!(span("480m"), Some(480.0));
        assert_eq!(span("1500u"), Some(1.5));
        for bad in ["", "m", "480", "-3m", "1e9m", "NaNm", "infm", "4 m", "99999999999m"] {
            assert_eq!(span(bad), None, "{bad}");
        }
    }
}
