//! Observes a client's bytes before hyper parses them: hyper drops `Content-Length` beside `Transfer-Encoding`, and does not
//! report a partial head.
use crate::stream::SharedStream;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Capacity for a typical head, which each connection keeps.
const TYPICAL_HEAD_BYTES: usize = 512;

/// What has been observed on a connection.
pub struct ConnectionActivity {
    /// Complete heads read.
    pub heads_read: Cell<u64>,
    /// Of these, those that hyper has handed to the service.
    pub heads_delivered: Cell<u64>,
    /// Whether part of a head has been read.
    pub partial_head: Cell<bool>,
    /// Since when the client is waited for: its connection, the first byte of a head, or the last response.
    pub waiting_since: Cell<Instant>,
    /// When the first byte of the last head was read.
    pub head_started: Cell<Instant>,
    /// When requests were read completely, by number from 1, until the time is taken. Bounded by what hyper reads ahead.
    complete_requests: RefCell<VecDeque<(u64, Instant)>>,
    /// Number, from 1, of a head that states the length of its body in two ways.
    pub ambiguous_head: Cell<Option<u64>>,
}

impl ConnectionActivity {
    /// Of a new connection.
    pub fn new() -> Rc<ConnectionActivity> {
        Rc::new(ConnectionActivity {
            heads_read: Cell::new(0),
            heads_delivered: Cell::new(0),
            partial_head: Cell::new(false),
            waiting_since: Cell::new(Instant::now()),
            head_started: Cell::new(Instant::now()),
            complete_requests: RefCell::default(),
            ambiguous_head: Cell::new(None),
        })
    }

    /// When the request with this number had been read completely: its client's time counts from then, not from when those before
    /// it on the connection were answered. `None`: its end is not tracked. Numbers must not go back.
    pub fn completed_at(&self, number: u64) -> Option<Instant> {
        let mut whole = self.complete_requests.borrow_mut();
        while whole.front().is_some_and(|&(n, _)| n < number) {
            whole.pop_front();
        }
        whole.pop_front_if(|&mut (n, _)| n == number).map(|(_, at)| at)
    }

    /// Whether more has been read than the service has received.
    pub fn has_undelivered(&self) -> bool {
        self.partial_head.get() || self.heads_read.get() > self.heads_delivered.get()
    }
}

enum FramePosition {
    /// Within a head, or before one.
    Head,
    /// Within a body with this much to come.
    Body(u64),
    /// Behind a head after which the connection closes, or that hyper rejects.
    Untracked,
}

/// A client's stream, observed while it is read.
pub struct ObservedStream {
    stream: SharedStream,
    activity: Rc<ConnectionActivity>,
    head: Vec<u8>,
    /// Maximum size of a head; hyper rejects larger ones.
    max_head_bytes: usize,
    position: FramePosition,
}

impl ObservedStream {
    /// Observes a new stream, whose heads hold at most `head_most` bytes.
    pub fn new(stream: SharedStream, watch: Rc<ConnectionActivity>, head_most: usize) -> ObservedStream {
        ObservedStream {
            stream,
            activity: watch,
            head: Vec::new(),
            max_head_bytes: head_most,
            position: FramePosition::Head,
        }
    }

    fn observe(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.position {
                FramePosition::Untracked => return,
                FramePosition::Body(left) => {
                    let n = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[n..];
                    self.position = if left > n as u64 {
                        FramePosition::Body(left - n as u64)
                    } else {
                        self.complete_request()
                    };
                }
                FramePosition::Head => bytes = self.observe_head(bytes),
            }
        }
        self.activity.partial_head.set(!self.head.is_empty());
    }

    /// The last byte of a request has been read.
    fn complete_request(&self) -> FramePosition {
        self.activity
            .complete_requests
            .borrow_mut()
            .push_back((self.activity.heads_read.get(), Instant::now()));
        FramePosition::Head
    }

    /// Observes bytes of a head and returns those behind it.
    fn observe_head<'a>(&mut self, mut bytes: &'a [u8]) -> &'a [u8] {
        if self.head.is_empty() {
            // Empty lines before a request are allowed.
            let blank = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            bytes = &bytes[blank..];
            if !bytes.is_empty() {
                let now = Instant::now();
                self.activity.head_started.set(now);
                if self.activity.heads_delivered.get() > 0 {
                    self.activity.waiting_since.set(now);
                }
            }
        }
        if self.head.capacity() == 0 && !bytes.is_empty() {
            self.head.reserve(TYPICAL_HEAD_BYTES);
        }
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (line, rest) = bytes.split_at(end + 1);
            self.head.extend_from_slice(line);
            bytes = rest;
            if self.head.ends_with(b"\n\r\n") || self.head.ends_with(b"\n\n") {
                self.activity.heads_read.set(self.activity.heads_read.get() + 1);
                self.position = match framing(&self.head) {
                    Ok(FramePosition::Body(0)) => self.complete_request(),
                    Ok(at) => at,
                    Err(AmbiguousLength) => {
                        self.activity.ambiguous_head.set(Some(self.activity.heads_read.get()));
                        FramePosition::Untracked
                    }
                };
                // Kept for the next head, unless this one was large.
                self.head.clear();
                self.head.shrink_to(TYPICAL_HEAD_BYTES);
                return bytes;
            }
        }
        self.head.extend_from_slice(bytes);
        if self.head.len() > self.max_head_bytes {
            (self.head, self.position) = (Vec::new(), FramePosition::Untracked);
        }
        &[]
    }
}

struct AmbiguousLength;

/// What the bytes behind a head belong to.
fn framing(head: &[u8]) -> Result<FramePosition, AmbiguousLength> {
    let (mut lengths, mut codings) = (0, 0);
    let mut length = Some(0);
    for line in head.split(|&b| b == b'\n') {
        let mut parts = line.splitn(2, |&b| b == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else { continue };
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            lengths += 1;
            let value = std::str::from_utf8(value.trim_ascii()).ok();
            length = value.filter(|v| v.bytes().all(|b| b.is_ascii_digit())).and_then(|v| v.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            codings += 1;
        }
    }
    match (lengths, codings) {
        (0 | 1, 0) => Ok(length.map_or(FramePosition::Untracked, FramePosition::Body)),
        (0, 1) => Ok(FramePosition::Untracked),
        _ => Err(AmbiguousLength),
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.observe(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
