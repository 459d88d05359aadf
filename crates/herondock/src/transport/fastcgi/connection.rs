//! A connection to a FastCGI application: the protocol's state and its socket.
use crate::stream::SharedStream;
use bytes::{Buf, BytesMut};
use fastcgi::client::{Client, Event};
use std::future::Future;
use std::io::IoSlice;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWrite};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;
/// A buffer with less space than this is extended.
const MIN_READ_BYTES: usize = 2 << 10;
/// Maximum number of slices that are written with one system call.
const MAX_WRITE_SLICES: usize = 16;

/// The connection has ended, or bytes on it can't be parsed.
pub struct ConnectionClosed;

/// A connection.
pub struct FastCgiConnection {
    socket: SharedStream,
    /// The protocol's state.
    pub client: Client,
    buffer: BytesMut,
    /// The other side takes no more bytes.
    write_closed: bool,
    /// No more bytes can be read.
    read_closed: bool,
}

impl FastCgiConnection {
    /// A new connection.
    pub fn new(socket: SharedStream, client: Client) -> FastCgiConnection {
        FastCgiConnection { socket, client, buffer: BytesMut::new(), write_closed: false, read_closed: false }
    }

    /// Whether it is idle and can carry a request now.
    pub fn is_reusable(&self) -> bool {
        !self.read_closed
            && !self.write_closed
            && self.client.open() == 0
            && !self.client.is_mid_record()
            && self.socket.is_idle()
    }

    /// Whether the other side has closed it, or wrote bytes that no request asked for.
    pub fn is_closed(&self) -> bool {
        self.read_closed || self.write_closed || !self.socket.is_idle()
    }

    /// Writes and reads until there are events, or requests that must not be written any more (`unsent`).
    pub fn poll(
        &mut self,
        cx: &mut Context<'_>,
        mut may_begin: impl FnMut(u16) -> bool,
        unsent: &mut Vec<u16>,
        events: &mut Vec<Event>,
    ) -> Poll<Result<(), ConnectionClosed>> {
        loop {
            self.write(cx, &mut may_begin, unsent);
            if !unsent.is_empty() || !events.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if self.read_closed {
                return Poll::Ready(Err(ConnectionClosed));
            }
            if self.buffer.capacity() - self.buffer.len() < MIN_READ_BYTES {
                self.buffer.reserve(READ_BYTES);
            }
            let read = pin!(self.socket.read_buf(&mut self.buffer)).poll(cx);
            match read {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(n)) if n > 0 => {
                    // Events before the fault count; they are reported first.
                    self.read_closed = self.client.receive(self.buffer.split().freeze(), events).is_err();
                }
                Poll::Ready(_) => self.read_closed = true,
            }
        }
    }

    /// A failure to write does not end the connection: an answer may have come before it, for instance that the application is
    /// overloaded.
    fn write(
        &mut self,
        cx: &mut Context<'_>,
        may_begin: &mut impl FnMut(u16) -> bool,
        unsent: &mut Vec<u16>,
    ) {
        // Guards against beginning a request on a connection that has ended behind answers to others: input is read first.
        // A connection without other requests was checked when it was taken.
        if self.client.open() > 1 && self.client.has_unstarted_request() && !self.socket.is_idle() {
            return;
        }
        while !self.write_closed && !self.read_closed {
            self.client.fill(&mut *may_begin, unsent);
            let out = self.client.outgoing();
            if !out.has_remaining() {
                return;
            }
            let mut parts = [IoSlice::new(&[]); MAX_WRITE_SLICES];
            let n = out.chunks_vectored(&mut parts);
            match Pin::new(&mut self.socket).poll_write_vectored(cx, &parts[..n]) {
                Poll::Pending => return,
                Poll::Ready(Ok(n)) if n > 0 => out.advance(n),
                Poll::Ready(_) => self.write_closed = true,
            }
        }
    }
}
