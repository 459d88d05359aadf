//! Where connections come from: plain TCP, on loopback or a network that is trusted as the platform's is. A transport that
//! proves who is at the other end goes in here, in place of these two functions and the type: nothing else of the council
//! knows what a connection is made of.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long a connection may take to come up.
const WAIT: Duration = Duration::from_secs(2);

/// A connection, both ways.
pub type Stream = TcpStream;

/// Where connections come in.
pub struct Listener(TcpListener);

impl Listener {
    /// Listens at this address.
    ///
    /// # Errors
    /// The system's.
    pub async fn open(addr: SocketAddr) -> io::Result<Listener> {
        Ok(Listener(TcpListener::bind(addr).await?))
    }

    /// The next connection.
    ///
    /// # Errors
    /// The system's; the next may work.
    pub async fn next(&self) -> io::Result<Stream> {
        let (stream, _) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// A connection to this address.
///
/// # Errors
/// The system's, or it took too long.
pub async fn connect(addr: SocketAddr) -> io::Result<Stream> {
    let stream = timeout(WAIT, TcpStream::connect(addr)).await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
