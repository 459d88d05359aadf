//! Frames over a connection: a length in four bytes, the low one first, and so many bytes. The first one each way is a
//! [`Handshake`].
use crate::transport::Stream;
use coordination::protocol::Handshake;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Longest first frame, in bytes.
const HELLO_MOST: usize = 4 << 10;
/// How long the first frame may take.
const HELLO_WAIT: Duration = Duration::from_secs(5);
/// How long the other side may take nothing of what is written.
const WRITE_WAIT: Duration = Duration::from_secs(10);

/// Reads a frame of `most` bytes at most.
///
/// # Errors
/// The connection ended, or the frame is longer.
pub async fn read(from: &mut (impl AsyncRead + Unpin), most: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    from.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > most {
        return Err(io::Error::new(
            ErrorKind::InvalidData,
            format!("a frame of {length} bytes, {most} at most"),
        ));
    }
    // What is announced is believed as it comes.
    let mut bytes = Vec::new();
    from.take(length as u64).read_to_end(&mut bytes).await?;
    match bytes.len() == length {
        true => Ok(bytes),
        false => Err(ErrorKind::UnexpectedEof.into()),
    }
}

/// Writes a frame.
///
/// # Errors
/// The connection ended, or the other side takes nothing.
pub async fn write(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(|_| ErrorKind::FileTooLarge)?;
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(bytes);
    let mut rest = &frame[..];
    while !rest.is_empty() {
        let n = timeout(WRITE_WAIT, to.write(rest)).await.map_err(|_| ErrorKind::TimedOut)??;
        if n == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        rest = &rest[n..];
    }
    Ok(())
}

/// As JSON.
pub fn to_json(value: &impl Serialize) -> Vec<u8> {
    // Texts and numbers only: this can't fail.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Of JSON.
///
/// # Errors
/// It is none, or says something else.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    serde_json::from_slice(bytes).map_err(|e| io::Error::new(ErrorKind::InvalidData, e.to_string()))
}

/// A connection on which both have said who they are.
pub struct Connection {
    /// From the other.
    pub read: BufReader<OwnedReadHalf>,
    /// To the other.
    pub write: OwnedWriteHalf,
    /// Who it is.
    pub other: Handshake,
}

/// Says who this is, and hears who the other is.
///
/// # Errors
/// It says nothing, or does not fit; one line for the log.
pub async fn handshake(stream: Stream, own: &Handshake) -> Result<Connection, String> {
    let (read_half, mut write_half) = stream.into_split();
    let mut from = BufReader::new(read_half);
    let met = async {
        write(&mut write_half, &to_json(own)).await?;
        from_json::<Handshake>(&read(&mut from, HELLO_MOST).await?)
    };
    let other = timeout(HELLO_WAIT, met).await.map_err(|_| "says nothing".to_string())?;
    let other = other.map_err(|e| e.to_string())?;
    other.check_compatible(own).map_err(|e| e.to_string())?;
    Ok(Connection { read: from, write: write_half, other })
}
