//! Reads complete bodies of HTTP messages into one buffer each.
//!
//! The frames of a body are copied and dropped as they arrive: a frame shares the read buffer of its connection, so a
//! body that is kept as frames of one byte would hold a buffer of several kibibytes for each byte.
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Initial capacity of a buffer, in bytes. A sender may state a length and then send nothing.
const INITIAL_CAPACITY: usize = 1 << 10;

/// Reason why there is no complete body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// It is larger than the limit.
    #[error("the body is too large")]
    TooLarge,
    /// The connection or the framing of the body is broken.
    #[error("{0}")]
    Broken(E),
}

/// Reads the complete body, of at most `max_bytes` bytes. Dropping the future drops what has been read.
///
/// # Errors
/// The body is larger, or it does not arrive completely.
pub async fn read_body<B>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BodyBuffer::new(max_bytes);
    while let Some(frame) = body.frame().await {
        // Trailers are dropped.
        if let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() {
            buffer.append(&data).ok_or(BodyError::TooLarge)?;
        }
    }
    Ok(buffer.bytes.into())
}

/// A body that is being received. Its capacity is at most twice its length, and at most the limit.
struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl BodyBuffer {
    fn new(max_bytes: usize) -> BodyBuffer {
        BodyBuffer { bytes: Vec::new(), max_bytes }
    }

    /// Appends data; `None` if the body would exceed the limit.
    fn append(&mut self, data: &[u8]) -> Option<()> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return None;
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2).max(INITIAL_CAPACITY).min(self.max_bytes);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Some(())
    }
}
