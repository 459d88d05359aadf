//! The transport: plain TCP, for loopback or a trusted network. A transport that authenticates the other side would replace
//! the items of this module; no other module depends on the kind of connection.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A bidirectional connection.
pub type Stream = TcpStream;

/// Accepts connections.
pub struct Listener(TcpListener);

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
        Ok(Listener(TcpListener::bind(address).await?))
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    /// An error of the operating system; the next call may succeed.
    pub async fn accept(&self) -> io::Result<Stream> {
        let (stream, _) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Connects to an address.
///
/// # Errors
/// An error of the operating system, or the timeout.
pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = attempt.await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
