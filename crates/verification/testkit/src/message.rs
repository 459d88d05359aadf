//! HTTP messages as read from a socket, and ready-made requests and answers.
use std::io::{BufRead, Read};

/// Maximum line length, number of header lines and body size. A peer under test that exceeds them has failed.
const MAX_LINE_BYTES: u64 = 128 << 10;
const MAX_LINES: usize = 1000;
const MAX_BODY_BYTES: usize = 64 << 20;

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Names and values, in order.
    pub headers: Vec<(String, String)>,
    /// Body of the length that `Content-Length` states.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Status of an answer; 0 if its first line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request; empty if its first line has none.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

fn line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    stream.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).ok()?;
    line.ends_with(b"\n").then(|| String::from_utf8_lossy(&line).trim_end().to_string())
}

/// Reads a message; `None` if the connection ends first, or the message is malformed or exceeds a limit.
pub fn read(stream: &mut impl BufRead) -> Option<Message> {
    read_with_head(stream, |_| {})
}

/// Like [`read`], and calls `head` as soon as the head has been read.
pub fn read_with_head(stream: &mut impl BufRead, head: impl FnOnce(&Message)) -> Option<Message> {
    let mut message = Message { start_line: line(stream)?, headers: Vec::new(), body: Vec::new() };
    loop {
        let line = line(stream)?;
        match line.split_once(':') {
            Some(_) if message.headers.len() >= MAX_LINES => return None,
            Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
            None => break,
        }
    }
    head(&message);
    let length = message.header("content-length").map_or(Some(0), |l| l.parse().ok())?;
    if length > MAX_BODY_BYTES {
        return None;
    }
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Formats an answer that served the request.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Formats a request that may be retried, of class `read` and tenant `club`.
pub fn get(id: &str, deadline: &str) -> String {
    format!(
        "GET /api/x?y=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\n\r\n"
    )
}

/// Formats a request that must never run twice, of class `pay` and tenant `club`.
pub fn pay(id: &str, deadline: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: pay\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
