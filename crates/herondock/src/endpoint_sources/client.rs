//! HTTP/1.1 client for registries, with one persistent connection and limits on the time and size of responses.
use crate::live_config::LiveConfig;
use crate::message_body::{read_body, BodyError};
use bytes::Bytes;
use config::operator::Limits;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Timeout of connecting, shorter than that of a request, so that a failed attempt to connect does not use up all of it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why there is no complete response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection was not established within [`CONNECT_TIMEOUT`].
    #[error("not connected in time")]
    ConnectTimeout,
    /// The connection cannot be established.
    #[error("{0}")]
    Connect(#[from] io::Error),
    /// The response was not complete before the timeout.
    #[error("no answer in time")]
    ResponseTimeout,
    /// The request is not valid.
    #[error("{0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection broke, or the response is not valid HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The body cannot be read, or is too long.
    #[error("{0}")]
    Body(#[from] BodyError<hyper::Error>),
}

impl RequestError {
    /// Whether no connection was established, so that the request was not sent.
    pub fn is_unconnected(&self) -> bool {
        matches!(self, RequestError::ConnectTimeout | RequestError::Connect(_))
    }
}

/// A request to a registry.
pub struct ApiRequest<'a> {
    /// Method, `GET` or `PUT`.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Further headers, by name.
    pub headers: &'a [(&'static str, &'a str)],
    /// Body, or empty.
    pub body: Bytes,
}

impl<'a> ApiRequest<'a> {
    /// A GET request without further headers.
    pub fn get(path: &'a str) -> ApiRequest<'a> {
        ApiRequest { method: Method::GET, path, headers: &[], body: Bytes::new() }
    }
}

/// A complete response of a registry.
pub struct ApiResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A connection; closed when dropped.
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
    async fn open(addr: SocketAddr) -> Result<Connection, RequestError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = connecting.map_err(|_| RequestError::ConnectTimeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // Errors of the connection are reported by the request on it.
            let _ = connection.await;
        });
        Ok(Connection { addr, sender, task: task.abort_handle() })
    }
}

/// Sends requests, one at a time.
pub struct Client {
    limits: LiveConfig<Limits>,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client without a connection. The body of a response is limited to `limits.list` bytes.
    pub fn new(limits: LiveConfig<Limits>) -> Client {
        Client { limits, connection: None }
    }

    /// Closes the connection: after a failed or cancelled request a response may still arrive on it.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Sends a request and waits for its complete response for `response_timeout` at most.
    ///
    /// # Errors
    /// There is no complete response. The connection is closed then.
    pub async fn send(
        &mut self,
        addr: SocketAddr,
        request: &ApiRequest<'_>,
        response_timeout: Duration,
    ) -> Result<ApiResponse, RequestError> {
        let response = timeout(response_timeout, self.exchange(addr, request)).await;
        let response = response.unwrap_or(Err(RequestError::ResponseTimeout));
        if response.is_err() {
            self.disconnect();
        }
        response
    }

    async fn exchange(
        &mut self,
        addr: SocketAddr,
        request: &ApiRequest<'_>,
    ) -> Result<ApiResponse, RequestError> {
        let limit = self.limits.get().list;
        let connection = self.connected(addr).await?;
        let mut builder = Request::builder().method(&request.method).uri(request.path);
        builder = builder.header(header::HOST, addr.to_string());
        for &(name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let response = connection.sender.send_request(builder.body(Full::new(request.body.clone()))?).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, limit, None).await?;
        Ok(ApiResponse { status: head.status, headers: head.headers, body })
    }

    /// Returns the open connection to this address, or opens a new one if there is none or the server has closed it.
    async fn connected(&mut self, addr: SocketAddr) -> Result<&mut Connection, RequestError> {
        let reusable = match self.connection.take().filter(|connection| connection.addr == addr) {
            Some(mut connection) => connection.sender.ready().await.is_ok().then_some(connection),
            None => None,
        };
        let connection = match reusable {
            Some(connection) => connection,
            None => Connection::open(addr).await?,
        };
        Ok(self.connection.insert(connection))
    }
}
