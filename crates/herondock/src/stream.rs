//! A socket that stays in sight while a protocol's library reads and writes it.
use std::cell::{RefCell, RefMut};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream with more than one holder; closed when the last one drops it.
#[derive(Clone)]
pub struct Shared(Rc<RefCell<TcpStream>>);

impl Shared {
    /// Shares a stream.
    pub fn new(stream: TcpStream) -> Shared {
        Shared(Rc::new(RefCell::new(stream)))
    }

    /// Whether the socket is open and holds nothing unread. Asks the system: the runtime learns of bytes and of
    /// ends only when it next waits.
    pub fn quiet(&self) -> bool {
        let stream = self.0.borrow();
        let peeked = socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn stream(&self) -> RefMut<'_, TcpStream> {
        self.0.borrow_mut()
    }
}

impl AsyncRead for Shared {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_read(cx, buf)
    }
}

impl AsyncWrite for Shared {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream()).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }
}
