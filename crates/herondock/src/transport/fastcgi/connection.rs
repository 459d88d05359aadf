//! A connection to an application: the machine and its socket.
use crate::stream::SharedStream;
use bytes::{Buf, BytesMut};
use fastcgi::client::{Client, Event};
use std::future::Future;
use std::io::IoSlice;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWrite};

/// What is read at once.
const READ_BYTES: usize = 16 << 10;
/// Less room than this in the buffer is made more.
const MIN_READ_BYTES: usize = 2 << 10;
/// Parts that are written with one call.
const MAX_WRITE_SLICES: usize = 16;

/// The connection has ended, or what came on it can't be read.
pub struct ConnectionClosed;

/// See the module's page.
pub struct FastCgiConnection {
    socket: SharedStream,
    /// What is open on it.
    pub client: Client,
    buffer: BytesMut,
    /// Nothing more can be written.
    deaf: bool,
    /// Nothing more can be read.
    over: bool,
}

impl FastCgiConnection {
    /// A new connection.
    pub fn new(socket: SharedStream, client: Client) -> FastCgiConnection {
        FastCgiConnection { socket, client, buffer: BytesMut::new(), deaf: false, over: false }
    }

    /// Whether it can carry a request now.
    pub fn clean(&self) -> bool {
        !self.over && !self.deaf && self.client.open() == 0 && !self.client.midway() && self.socket.quiet()
    }

    /// Whether the other side has closed it, or wrote what nobody asked for.
    pub fn closed(&self) -> bool {
        self.over || self.deaf || !self.socket.quiet()
    }

    /// Writes and reads what can be, until something has come, or a request was not sent that may not be any more.
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
            if self.over {
                return Poll::Ready(Err(ConnectionClosed));
            }
            if self.buffer.capacity() - self.buffer.len() < MIN_READ_BYTES {
                self.buffer.reserve(READ_BYTES);
            }
            let read = pin!(self.socket.read_buf(&mut self.buffer)).poll(cx);
            match read {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(n)) if n > 0 => {
                    // What came before the fault counts; it is told first.
                    self.over = self.client.receive(self.buffer.split().freeze(), events).is_err();
                }
                Poll::Ready(_) => self.over = true,
            }
        }
    }

    /// A failure to write ends nothing yet: an answer may have come before it, such as that it is overloaded.
    fn write(
        &mut self,
        cx: &mut Context<'_>,
        may_begin: &mut impl FnMut(u16) -> bool,
        unsent: &mut Vec<u16>,
    ) {
        // Guards against beginning a request on a connection that has ended behind answers to others: what came is read
        // first. One that carries nothing else was looked at when it was taken.
        if self.client.open() > 1 && self.client.unbegun() && !self.socket.quiet() {
            return;
        }
        while !self.deaf && !self.over {
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
                Poll::Ready(_) => self.deaf = true,
            }
        }
    }
}
