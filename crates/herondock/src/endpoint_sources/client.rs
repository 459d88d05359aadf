//! Calls to registries: HTTP/1.1 over one kept connection, with bounds on time and size.
use crate::live_config::LiveConfig;
use bytes::Bytes;
use config::operator::Limits;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// A connection that is not up after this long has failed: it must not use up a call's time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call.
pub struct ApiRequest<'a> {
    /// `GET` or `PUT`.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// The body.
    pub body: Bytes,
}

impl<'a> ApiRequest<'a> {
    /// Asks for this.
    pub fn get(path: &'a str) -> ApiRequest<'a> {
        ApiRequest { method: Method::GET, path, headers: &[], body: Bytes::new() }
    }
}

/// A whole answer.
pub struct ApiResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// One connection; closed when dropped.
struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(addr: SocketAddr) -> Result<Connection, String> {
        let dial = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = dial.map_err(|_| "not connected in time".to_string())?.map_err(|e| e.to_string())?;
        // What is small is not held back, on no stream.
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the call that was on it.
            let _ = conn.await;
        });
        Ok(Connection { addr, sender, task: task.abort_handle() })
    }
}

/// Makes calls, one at a time.
pub struct Client {
    limits: LiveConfig<Limits>,
    link: Option<Connection>,
}

impl Client {
    /// A client without a connection. Answers hold `limits.list` bytes at most.
    pub fn new(limits: LiveConfig<Limits>) -> Client {
        Client { limits, link: None }
    }

    /// Drops the connection: a call that failed or was given up may leave an answer on it.
    pub fn disconnect(&mut self) {
        self.link = None;
    }

    /// Makes a call that may take so long until its answer is whole.
    ///
    /// # Errors
    /// Why no whole answer came.
    pub async fn send(
        &mut self,
        addr: SocketAddr,
        call: &ApiRequest<'_>,
        most: Duration,
    ) -> Result<ApiResponse, String> {
        let done = timeout(most, self.fetch(addr, call)).await;
        let done = done.unwrap_or_else(|_| Err("no answer in time".into()));
        if done.is_err() {
            self.disconnect();
        }
        done
    }

    async fn fetch(&mut self, addr: SocketAddr, call: &ApiRequest<'_>) -> Result<ApiResponse, String> {
        // Guards against a connection that the other side closed after its last answer: that is no failed call.
        let up = match self.link.as_mut().filter(|link| link.addr == addr) {
            Some(link) => link.sender.ready().await.is_ok(),
            None => false,
        };
        if !up {
            self.link = Some(Connection::open(addr).await?);
        }
        let Some(link) = self.link.as_mut() else { return Err("not connected".into()) };
        let mut request = Request::builder().method(&call.method).uri(call.path);
        request = request.header(header::HOST, addr.to_string());
        for &(name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body.clone())).map_err(|e| e.to_string())?;
        let answer = link.sender.send_request(request).await.map_err(|e| e.to_string())?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, self.limits.get().list).collect().await.map_err(|e| e.to_string())?;
        Ok(ApiResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}
