//! Observes the bytes of a client before hyper parses them: hyper drops `Content-Length` if there is a
//! `Transfer-Encoding`, and does not report a partial head.
use super::head_framing::{BodyFraming, HeadFraming};
use super::read_ahead::ReadAhead;
use crate::memory_budget::{Reservation, PARTIAL_HEAD_COPIES};
use crate::stream::SharedStream;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Size of a typical head, in bytes, for which the memory of an idle connection suffices.
const TYPICAL_HEAD_BYTES: usize = 4 << 10;

/// Activity of the client that has been observed on a connection.
pub struct ConnectionActivity {
    /// Number of complete heads that have been read.
    pub heads_read: Cell<u64>,
    /// Number of these that hyper has passed to the service.
    pub heads_delivered: Cell<u64>,
    /// Whether part of a head has been read.
    pub partial_head: Cell<bool>,
    /// Time since which the front waits for the client: when it connected, when the first byte of a head was read, or
    /// when the last response was given.
    pub waiting_since: Cell<Instant>,
    /// Time at which the first byte of the last head was read.
    pub head_started: Cell<Instant>,
    /// Times at which requests were read completely, by request number from 1, until they are taken or the next request
    /// is delivered. Bounded by the amount that hyper reads ahead.
    complete_requests: RefCell<VecDeque<(u64, Instant)>>,
    /// Number, from 1, of a head that states the length of its body more than once.
    pub ambiguous_head: Cell<Option<u64>>,
}

impl ConnectionActivity {
    /// Creates the activity of a new connection.
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

    /// Records that hyper has passed the next head to the service. Returns the number of the request.
    pub fn deliver_head(&self) -> u64 {
        let number = self.heads_delivered.get() + 1;
        self.heads_delivered.set(number);
        self.forget_before(number);
        number
    }

    /// Forgets when requests before this number were complete: nobody asks for requests that were not admitted.
    fn forget_before(&self, number: u64) {
        let mut complete = self.complete_requests.borrow_mut();
        while complete.pop_front_if(|&mut (n, _)| n < number).is_some() {}
    }

    /// Takes the time at which the request with this number had been read completely. The client's deadline counts
    /// from then, not from the time at which earlier requests on the connection were answered. `None`: the end of the
    /// request is not tracked. Numbers must not decrease between calls.
    pub fn completed_at(&self, number: u64) -> Option<Instant> {
        self.forget_before(number);
        self.complete_requests.borrow_mut().pop_front_if(|&mut (n, _)| n == number).map(|(_, time)| time)
    }

    /// Whether more has been read than the service has received.
    pub fn has_undelivered(&self) -> bool {
        self.partial_head.get() || self.heads_read.get() > self.heads_delivered.get()
    }
}

/// Position in the messages of a client.
enum FramePosition {
    /// Within a head, or before one.
    Head,
    /// Within a body, with this number of bytes left.
    Body(u64),
    /// After a head that hyper rejects or that is the last one on the connection.
    Untracked,
}

/// A client's stream, observed while it is read.
pub struct ObservedStream {
    stream: SharedStream,
    /// Bytes that were read before the protocol library asked for them.
    read_ahead: Rc<ReadAhead>,
    activity: Rc<ConnectionActivity>,
    /// The head that is being received.
    head: HeadFraming,
    /// Memory of that head.
    head_memory: Reservation,
    /// Maximum size of a head; hyper rejects larger ones.
    max_head_bytes: usize,
    position: FramePosition,
}

impl ObservedStream {
    /// Observes a new stream, whose heads have at most `max_bytes` bytes, and records its activity in `record`.
    /// `read_ahead` has bytes of the stream that were read before. The memory of a head is counted in `head_memory` while it
    /// arrives.
    pub fn new(
        stream: SharedStream,
        read_ahead: Rc<ReadAhead>,
        record: Rc<ConnectionActivity>,
        max_bytes: usize,
        head_memory: Reservation,
    ) -> ObservedStream {
        ObservedStream {
            stream,
            read_ahead,
            activity: record,
            head: HeadFraming::default(),
            head_memory,
            max_head_bytes: max_bytes,
            position: FramePosition::Head,
        }
    }

    /// Observes bytes that were read at `read_at`.
    fn observe(&mut self, mut bytes: &[u8], read_at: Instant) {
        while !bytes.is_empty() {
            match self.position {
                FramePosition::Untracked => return,
                FramePosition::Body(left) => {
                    let consumed = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[consumed..];
                    self.position = if left > consumed as u64 {
                        FramePosition::Body(left - consumed as u64)
                    } else {
                        self.complete_request(read_at)
                    };
                }
                FramePosition::Head => bytes = self.observe_head(bytes, read_at),
            }
        }
        self.activity.partial_head.set(self.head.received() > 0);
        self.count_memory();
    }

    /// Counts the memory of a head that has been received in part.
    fn count_memory(&mut self) {
        let received = self.head.received();
        let counted = if received <= TYPICAL_HEAD_BYTES { 0 } else { PARTIAL_HEAD_COPIES * received };
        self.head_memory.charge_to(counted);
    }

    /// Records that the last byte of a request has been read.
    fn complete_request(&self, read_at: Instant) -> FramePosition {
        self.activity.complete_requests.borrow_mut().push_back((self.activity.heads_read.get(), read_at));
        FramePosition::Head
    }

    /// Observes bytes of a head and returns the bytes after it.
    fn observe_head<'a>(&mut self, mut bytes: &'a [u8], read_at: Instant) -> &'a [u8] {
        if self.head.received() == 0 {
            // Empty lines before a request are allowed.
            let blank = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            bytes = &bytes[blank..];
            if !bytes.is_empty() {
                self.activity.head_started.set(read_at);
                if self.activity.heads_delivered.get() > 0 {
                    self.activity.waiting_since.set(Instant::now());
                }
            }
        }
        while !bytes.is_empty() {
            let end = bytes.iter().position(|&b| b == b'\n').map_or(bytes.len(), |position| position + 1);
            let (line, rest) = bytes.split_at(end);
            bytes = rest;
            if let Some(framing) = self.head.receive(line) {
                self.complete_head(framing, read_at);
                return bytes;
            }
        }
        if self.head.received() > self.max_head_bytes {
            (self.head, self.position) = (HeadFraming::default(), FramePosition::Untracked);
        }
        &[]
    }

    /// Records that a head has been read completely.
    fn complete_head(&mut self, framing: BodyFraming, read_at: Instant) {
        self.head = HeadFraming::default();
        let number = self.activity.heads_read.get() + 1;
        self.activity.heads_read.set(number);
        self.position = match framing {
            BodyFraming::Length(0) => self.complete_request(read_at),
            BodyFraming::Length(length) => FramePosition::Body(length),
            BodyFraming::Untracked => FramePosition::Untracked,
            BodyFraming::Ambiguous => {
                self.activity.ambiguous_head.set(Some(number));
                FramePosition::Untracked
            }
        };
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read_at = match self.read_ahead.take(buf) {
            Some(read_at) => read_at,
            None => {
                ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
                Instant::now()
            }
        };
        self.observe(&buf.filled()[before..], read_at);
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
