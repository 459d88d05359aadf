//! Establishing connections: the handshake from both sides.
use crate::framing::{from_json, read, to_json, write, FrameError};
use crate::transport::{self, Stream};
use coordination::protocol::{Handshake, HandshakeError};
use std::io;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Maximum size of a handshake, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 4 << 10;
/// Timeout of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection was not established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address is invalid.
    #[error("{0:?} is not a valid address")]
    InvalidAddress(String),
    /// The address can't be connected to.
    #[error(transparent)]
    Unreachable(io::Error),
    /// The other side sent no handshake in time.
    #[error("no handshake was received in time")]
    Timeout,
    /// The handshake could not be exchanged.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other side is not compatible.
    #[error(transparent)]
    Incompatible(#[from] HandshakeError),
}

/// A connection after the handshake.
pub struct Connection {
    /// Frames from the other side.
    pub read: BufReader<OwnedReadHalf>,
    /// Frames to the other side.
    pub write: OwnedWriteHalf,
    /// The handshake of the other side.
    pub other: Handshake,
}

/// Exchanges handshakes on a new connection.
///
/// # Errors
/// The other side sends no handshake in time, or an incompatible one.
pub async fn handshake(stream: Stream, own: &Handshake) -> Result<Connection, ConnectError> {
    let (read_half, mut write_half) = stream.into_split();
    let mut reader = BufReader::new(read_half);
    let exchange = async {
        write(&mut write_half, &to_json(own)).await?;
        from_json::<Handshake>(&read(&mut reader, MAX_HANDSHAKE_BYTES).await?)
    };
    let other = timeout(HANDSHAKE_TIMEOUT, exchange).await.map_err(|_| ConnectError::Timeout)??;
    other.check_compatible(own)?;
    Ok(Connection { read: reader, write: write_half, other })
}

/// Connects to an address and exchanges handshakes.
///
/// # Errors
/// The address is invalid or unreachable, or the handshake failed.
pub async fn connect(address: &str, own: &Handshake) -> Result<Connection, ConnectError> {
    let parsed = address.parse().map_err(|_| ConnectError::InvalidAddress(address.into()))?;
    let stream = transport::connect(parsed).await.map_err(ConnectError::Unreachable)?;
    handshake(stream, own).await
}
