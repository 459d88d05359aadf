//! A socket that can be inspected while a protocol library reads from it and writes to it.
use std::future::pending;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of one read. hyper doubles the read buffer of a connection, and keeps it, after a read that fills
/// its initial 8 KiB.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A TCP stream with several owners; closed when the last owner drops it.
#[derive(Clone)]
pub struct SharedStream(Rc<TcpStream>);

impl SharedStream {
    /// Creates the first handle of a stream.
    pub fn new(stream: TcpStream) -> SharedStream {
        SharedStream(Rc::new(stream))
    }

    /// Whether the socket is open and holds no unread bytes. Queries the operating system, because the runtime learns
    /// of received bytes and of the end of the stream only when it next polls for events.
    pub fn is_idle(&self) -> bool {
        let peeked = socket2::SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads what the operating system holds, without waiting. Asks it directly, like [`SharedStream::is_idle`].
    ///
    /// # Errors
    /// `WouldBlock` if there is nothing to read, or the error of the connection.
    pub fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*socket2::SockRef::from(&*self.0)).read(buffer)
    }

    /// Returns once the peer has closed or reset the connection, even if earlier bytes are still unread.
    pub async fn hung_up(&self) {
        // Waits for urgent data, which peers do not send: readiness for it reports the end of the stream but not
        // unread bytes.
        match self.0.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => pending().await,
            _ => {}
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let length = buf.remaining().min(MAX_READ_BYTES);
            match self.0.try_read(buf.initialize_unfilled_to(length)) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl SharedStream {
    /// Calls `write` once the socket is writable.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
