//! Frames: a length of four bytes, little-endian, and as many bytes of content.
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum time without progress before a write fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of bytes of the length prefix.
const LENGTH_BYTES: usize = 4;

/// A frame could not be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or was closed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was closed within a frame.
    #[error("the connection was closed within a frame")]
    Truncated,
    /// The frame is longer than allowed.
    #[error("a frame has {length} bytes, and at most {maximum} are allowed")]
    TooLong {
        /// Announced length in bytes.
        length: usize,
        /// Maximum length in bytes.
        maximum: usize,
    },
    /// The content is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Reads a frame of at most `maximum` bytes.
///
/// # Errors
/// The connection failed or was closed, or the frame is longer.
pub async fn read(reader: &mut (impl AsyncRead + Unpin), maximum: usize) -> Result<Vec<u8>, FrameError> {
    let mut prefix = [0; LENGTH_BYTES];
    reader.read_exact(&mut prefix).await?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > maximum {
        return Err(FrameError::TooLong { length, maximum });
    }
    // Memory is allocated as the bytes arrive, not for the announced length, which may be wrong.
    let mut content = Vec::new();
    reader.take(length as u64).read_to_end(&mut content).await?;
    match content.len() == length {
        true => Ok(content),
        false => Err(FrameError::Truncated),
    }
}

/// Writes a frame.
///
/// # Errors
/// The connection failed, or the other side does not read.
pub async fn write(writer: &mut (impl AsyncWrite + Unpin), content: &[u8]) -> io::Result<()> {
    let length = u32::try_from(content.len()).map_err(|_| ErrorKind::FileTooLarge)?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + content.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(content);
    let mut remaining = &frame[..];
    while !remaining.is_empty() {
        let written =
            timeout(WRITE_TIMEOUT, writer.write(remaining)).await.map_err(|_| ErrorKind::TimedOut)??;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        remaining = &remaining[written..];
    }
    Ok(())
}

/// Encodes a message as JSON.
pub fn to_json(message: &impl Serialize) -> Vec<u8> {
    // Strings and numbers only, so serialization can't fail.
    serde_json::to_vec(message).unwrap_or_default()
}

/// Decodes a message from JSON.
///
/// # Errors
/// The bytes are not the expected JSON.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    Ok(serde_json::from_slice(bytes)?)
}
