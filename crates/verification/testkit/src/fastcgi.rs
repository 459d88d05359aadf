//! FastCGI peers: an application that answers as a test sets, and a web server that sends requests. Raw
//! records make it possible to send any malformed message.
//!
//! The crate under test reads these records, but they are written here by hand, so that a fault in its writer
//! is found.
use crate::message::Message;
use crate::TEST_TIMEOUT;
use bytes::Bytes;
use fastcgi::client::{Client, Event as ClientEvent, Outcome};
use fastcgi::server::{Event, Request, Server};
use fastcgi::Limits;
use std::collections::VecDeque;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const READ_BUFFER_BYTES: usize = 64 << 10;

/// Encodes a record with this number of padding bytes.
pub fn record(kind: u8, id: u16, body: &[u8], padding: u8) -> Vec<u8> {
    let length = u16::try_from(body.len()).expect("a body that fits").to_be_bytes();
    let id = id.to_be_bytes();
    let mut out = vec![1, kind, id[0], id[1], length[0], length[1], padding, 0];
    out.extend_from_slice(body);
    out.extend(std::iter::repeat_n(0x55, usize::from(padding)));
    out
}

/// Encodes the record that begins a request to a responder.
pub fn begin_record(id: u16, keep: bool) -> Vec<u8> {
    record(1, id, &[0, 1, u8::from(keep), 0, 0, 0, 0, 0], 0)
}

/// Encodes the record that ends a request.
pub fn end_record(id: u16, application: u32, protocol: u8) -> Vec<u8> {
    let [a, b, c, d] = application.to_be_bytes();
    record(3, id, &[a, b, c, d, protocol, 0, 0, 0], 0)
}

/// Encodes name-value pairs as the body of a PARAMS record.
pub fn pairs(params: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    for (name, value) in params {
        for n in [name.len(), value.len()] {
            match u8::try_from(n) {
                Ok(short) if short < 128 => out.push(short),
                _ => out.extend((u32::try_from(n).expect("fits") | 1 << 31).to_be_bytes()),
            }
        }
        out.extend(name.bytes());
        out.extend(value.bytes());
    }
    out
}

/// Converts an HTTP answer into the CGI form that a responder writes.
pub fn as_cgi(http: &str) -> String {
    let rest = http.split_once(' ').map_or("", |(_, rest)| rest);
    format!("Status: {rest}")
}

/// The application's side of a connection. Clones answer on the same connection.
#[derive(Clone)]
pub struct Responder {
    stream: Arc<TcpStream>,
    server: Arc<Mutex<Server>>,
    queued: VecDeque<(u16, Message)>,
    /// Id of the request that is answered next.
    id: u16,
}

impl Responder {
    /// Stream of the connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Serves this connection with up to `requests` concurrent requests.
    pub fn new(stream: Arc<TcpStream>, requests: usize) -> Responder {
        let limits = Limits { params: 1 << 20, body: 64 << 20, pairs: 1000, requests, ..Limits::default() };
        Responder {
            stream,
            server: Arc::new(Mutex::new(Server::new(limits))),
            queued: VecDeque::new(),
            id: 0,
        }
    }

    fn server(&self) -> MutexGuard<'_, Server> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the next request as an HTTP message; `None` if the connection ends.
    pub fn request(&mut self) -> Option<Message> {
        let (mut buffer, mut events) = (vec![0; READ_BUFFER_BYTES], Vec::new());
        while self.queued.is_empty() {
            let n = (&*self.stream).read(&mut buffer).ok().filter(|&n| n > 0)?;
            {
                let mut server = self.server();
                server.receive(Bytes::copy_from_slice(&buffer[..n]), &mut events).ok()?;
                let written = server.drain();
                (&*self.stream).write_all(&written).ok()?;
            }
            for event in events.drain(..) {
                if let Event::Request(r) = event {
                    self.queued.push_back((r.id, message(&r)));
                }
            }
        }
        let (id, message) = self.queued.pop_front()?;
        self.id = id;
        Some(message)
    }

    /// Answers the last request; without `complete` its output never ends.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn answer(&mut self, http: &str, complete: bool) -> std::io::Result<()> {
        let mut out = Vec::new();
        for part in as_cgi(http).as_bytes().chunks(30_000) {
            out.extend(record(6, self.id, part, 5));
        }
        if complete {
            out.extend(record(6, self.id, b"", 0));
            out.extend(end_record(self.id, 0, 0));
        }
        // Held during the write, so that records of two answers are not interleaved.
        let mut server = self.server();
        let open = server.open();
        if complete {
            // Marks the request as finished for the reader too. Its output is already encoded above.
            server.refuse(self.id, fastcgi::record::Protocol::Complete);
            let _ = server.drain();
        }
        // An aborted request has already been ended.
        if complete && server.open() == open {
            return Ok(());
        }
        (&*self.stream).write_all(&out)
    }
}

fn message(request: &Request) -> Message {
    let text = |b: &Bytes| String::from_utf8_lossy(b).into_owned();
    let param =
        |name: &str| request.params.iter().find(|(n, _)| n == name).map(|(_, v)| text(v)).unwrap_or_default();
    let header = |(n, v): &(Bytes, Bytes)| {
        let name = text(n).strip_prefix("HTTP_")?.replace('_', "-").to_ascii_lowercase();
        Some((name, text(v)))
    };
    Message {
        start_line: format!("{} {} HTTP/1.1", param("REQUEST_METHOD"), param("REQUEST_URI")),
        headers: request.params.iter().filter_map(header).collect(),
        body: request.body.to_vec(),
    }
}

/// A web server's side of a connection.
pub struct WebServer {
    stream: TcpStream,
    client: Client,
    ended: VecDeque<(u16, Outcome)>,
    /// The connection ended or timed out before the first byte of the answer.
    silent: bool,
    timed_out: bool,
}

impl WebServer {
    /// Connects to an address; `None` if no process listens there.
    pub fn connect(addr: SocketAddr) -> Option<WebServer> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        Some(WebServer::on(BufReader::new(stream)))
    }

    /// Uses a connection that nothing has been read from.
    pub fn on(stream: BufReader<TcpStream>) -> WebServer {
        let limits = Limits { body: 64 << 20, requests: 100, ..Limits::default() };
        let (client, ended) = (Client::new(limits), VecDeque::new());
        WebServer { stream: stream.into_inner(), client, ended, silent: true, timed_out: false }
    }

    /// Sets the maximum wait for the next bytes.
    pub fn set_timeout(&mut self, timeout: std::time::Duration) {
        let _ = self.stream.set_read_timeout(Some(timeout));
    }

    /// Whether the connection ended before the first byte of the last awaited answer.
    pub fn closed_before_answer(&self) -> bool {
        self.silent && !self.timed_out
    }

    /// Begins a request with these params and returns its id.
    pub fn send(&mut self, params: &[(&str, &str)], body: &[u8]) -> u16 {
        let all = params.iter().map(|(n, v)| (n.as_bytes(), v.as_bytes()));
        let id = self.client.begin(all, Bytes::copy_from_slice(body), true).expect("an id is free");
        let bytes = self.client.drain();
        self.write(&bytes);
        id
    }

    /// Writes raw bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        // If the connection was closed, reading the answer fails.
        let _ = self.stream.write_all(bytes);
    }

    /// Aborts a request.
    pub fn abort(&mut self, id: u16) {
        self.client.abort(id);
        let bytes = self.client.drain();
        self.write(&bytes);
    }

    /// Waits for the next request that ends; `None` if the connection ends first, the wait times out, or the
    /// bytes received are malformed.
    pub fn next_outcome(&mut self) -> Option<(u16, Outcome)> {
        let (mut buffer, mut events) = (vec![0; READ_BUFFER_BYTES], Vec::new());
        (self.silent, self.timed_out) = (true, false);
        loop {
            if let Some(ended) = self.ended.pop_front() {
                return Some(ended);
            }
            let n = match self.stream.read(&mut buffer) {
                Ok(n) => n,
                Err(e) => {
                    self.timed_out = matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                    return None;
                }
            };
            if n == 0 {
                return None;
            }
            self.silent = false;
            self.client.receive(Bytes::copy_from_slice(&buffer[..n]), &mut events).ok()?;
            for event in events.drain(..) {
                if let ClientEvent::Ended(id, outcome) = event {
                    self.ended.push_back((id, outcome));
                }
            }
        }
    }
}
