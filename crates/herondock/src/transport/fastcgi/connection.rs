//! A connection to a FastCGI application: the protocol state and the socket.
use crate::memory_budget::Reservation;
use crate::stream::SharedStream;
use bytes::{Buf, BytesMut};
use fastcgi::client::{Client, Event};
use std::future::Future;
use std::io::IoSlice;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWrite};

/// Number of bytes by which the read buffer is extended.
const READ_BYTES: usize = 16 << 10;
/// A read buffer with less free space than this, in bytes, is extended.
const MIN_READ_BYTES: usize = 2 << 10;
/// Maximum number of slices in one vectored write.
const MAX_WRITE_SLICES: usize = 16;

/// Error: the connection has ended, or bytes on it can't be parsed.
pub struct ConnectionClosed;

/// A connection to an application.
pub struct FastCgiConnection {
    socket: SharedStream,
    /// Protocol state.
    pub client: Client,
    buffer: BytesMut,
    /// Memory of responses that have been received in part.
    memory: Reservation,
    /// The peer accepts no more bytes.
    write_closed: bool,
    /// No more bytes can be read.
    read_closed: bool,
}

impl FastCgiConnection {
    /// Creates the state of a new connection, whose responses are counted in `memory` until they are complete.
    pub fn new(socket: SharedStream, client: Client, memory: Reservation) -> FastCgiConnection {
        let buffer = BytesMut::new();
        FastCgiConnection { socket, client, buffer, memory, write_closed: false, read_closed: false }
    }

    /// Whether it is idle and can carry a request now.
    pub fn is_reusable(&self) -> bool {
        !self.read_closed
            && !self.write_closed
            && self.client.open() == 0
            && !self.client.is_mid_record()
            && self.socket.is_idle()
    }

    /// Whether the peer has closed it, or has sent bytes outside any request.
    pub fn is_closed(&self) -> bool {
        self.read_closed || self.write_closed || !self.socket.is_idle()
    }

    /// Writes and reads until there are events, or requests that may no longer be written (`unsent`). `may_begin`
    /// decides whether the first byte of a request may be written now.
    ///
    /// # Errors
    /// The connection has ended, and all events before its end have been returned.
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
                    // Events before a fault are valid and are returned first.
                    self.read_closed = self.client.receive(self.buffer.split().freeze(), events).is_err();
                    self.count_memory();
                }
                Poll::Ready(_) => self.read_closed = true,
            }
        }
    }

    /// Counts the memory of responses, and drops the largest one if there is no room.
    fn count_memory(&mut self) {
        if !self.memory.grow_to(self.client.buffered_bytes()) {
            self.client.discard_largest();
        }
        self.memory.charge_to(self.client.buffered_bytes());
    }

    /// Writes pending output. A write error does not end the connection: the application may have sent an answer
    /// before, for instance that it is overloaded.
    fn write(
        &mut self,
        cx: &mut Context<'_>,
        may_begin: &mut impl FnMut(u16) -> bool,
        unsent: &mut Vec<u16>,
    ) {
        // Guards against starting a request on a connection that has ended after the answers to other requests: input
        // is read first. A connection without other requests was checked when it was taken from the pool.
        if self.client.open() > 1 && self.client.has_unstarted_request() && !self.socket.is_idle() {
            return;
        }
        while !self.write_closed && !self.read_closed {
            self.client.fill(&mut *may_begin, unsent);
            let output = self.client.outgoing();
            if !output.has_remaining() {
                return;
            }
            let mut slices = [IoSlice::new(&[]); MAX_WRITE_SLICES];
            let slice_count = output.chunks_vectored(&mut slices);
            match Pin::new(&mut self.socket).poll_write_vectored(cx, &slices[..slice_count]) {
                Poll::Pending => return,
                Poll::Ready(Ok(n)) if n > 0 => output.advance(n),
                Poll::Ready(_) => self.write_closed = true,
            }
        }
    }
}
