//! Reads complete bodies of HTTP messages into one buffer each.
//!
//! The frames of a body are copied and dropped as they arrive: a frame shares the read buffer of its connection, so a
//! body that is kept as frames of one byte would hold a buffer of several kibibytes for each byte.
use crate::memory_budget::Reservation;
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
    /// The process holds too much already.
    #[error("there is no memory left for the body")]
    NoMemory,
    /// The connection or the framing of the body is broken.
    #[error("{0}")]
    Broken(E),
}

/// Reads the complete body of an answer, of at most `max_bytes` bytes, whose memory is counted in `memory` until the
/// returned bytes are dropped. An answer that states its length is not read before there is room for all of it: its request
/// has run, so that it can't be refused any more.
///
/// # Errors
/// The body is larger, it does not arrive completely, or there is no memory left for it.
pub async fn read_answer<B>(
    body: B,
    max_bytes: usize,
    mut memory: Reservation,
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    if let Some(length) = stated.filter(|&length| length <= max_bytes) {
        memory.wait_to_grow_to(length).await;
    }
    read_body(body, stated.map_or(max_bytes, |length| length.min(max_bytes)), Some(memory)).await
}

/// Reads the complete body, of at most `max_bytes` bytes. Dropping the future drops what has been read. The memory of the
/// body is counted in `reservation`, where there is one, until the returned bytes are dropped.
///
/// # Errors
/// The body is larger, it does not arrive completely, or there is no memory left for it.
pub async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    reservation: Option<Reservation>,
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BodyBuffer { bytes: Vec::new(), max_bytes, reservation };
    while let Some(frame) = body.frame().await {
        // Trailers are dropped.
        if let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() {
            buffer.append(&data)?;
        }
    }
    Ok(if buffer.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(buffer) })
}

/// Bytes whose memory is counted in `reservation` until they are dropped.
pub fn reserved(bytes: Bytes, reservation: Reservation) -> Bytes {
    Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation })
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being received. Its capacity is at most twice its length, and at most the limit.
struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// Counts the capacity of the buffer.
    reservation: Option<Reservation>,
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    fn append<E>(&mut self, data: &[u8]) -> Result<(), BodyError<E>> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2).max(INITIAL_CAPACITY).min(self.max_bytes);
            if self.reservation.as_mut().is_some_and(|reservation| !reservation.grow_to(capacity)) {
                return Err(BodyError::NoMemory);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
