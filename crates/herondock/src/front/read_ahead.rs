//! Reads what a client has written behind its current request.
//!
//! The end of a stream becomes visible only behind everything that was written before it: as long as a client's bytes
//! are unread, and above all while they fill the socket's buffer, it may have closed the connection long ago.
use crate::exchange::ClientPresence;
use crate::memory_budget::Reservation;
use crate::stream::SharedStream;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Maximum number of bytes that are read ahead on a connection.
const MAX_READ_AHEAD: usize = 32 << 10;
/// Size of one read, in bytes. The first one on a connection needs no room in the memory budget, so that a client that
/// has written nothing more is always known to be connected.
pub const READ_BYTES: usize = 4 << 10;

/// Whether a client is still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Everything that it has written is read, and its stream has not ended.
    Connected,
    /// Its stream has ended or is broken.
    Left,
    /// It has written more than is read ahead, or more than there is memory for, so the end of its stream can't be seen.
    Unknown,
}

/// Bytes that were read together, by one look at the stream: a client that writes byte by byte makes no more of them. At
/// most [`READ_BYTES`], so that memory is released while they are taken.
struct Chunk {
    read_at: Instant,
    bytes: Vec<u8>,
    /// Number of bytes that have been taken.
    taken: usize,
}

/// Bytes of a client's stream that were read ahead of the protocol library.
pub struct ReadAhead {
    stream: SharedStream,
    chunks: RefCell<VecDeque<Chunk>>,
    /// Number of bytes that have not been taken.
    length: Cell<usize>,
    /// Memory of these bytes.
    memory: RefCell<Reservation>,
}

impl ReadAhead {
    /// Creates an empty buffer for a stream, whose memory is counted in `memory`.
    pub fn new(stream: SharedStream, memory: Reservation) -> ReadAhead {
        let (chunks, length) = (RefCell::default(), Cell::new(0));
        ReadAhead { stream, chunks, length, memory: RefCell::new(memory) }
    }

    /// Whether everything that was read ahead has been taken.
    pub fn is_empty(&self) -> bool {
        self.length.get() == 0
    }

    /// Reads ahead within the limits, and returns what that shows of the client.
    pub fn presence(&self) -> Presence {
        let presence = self.read_available();
        self.memory.borrow_mut().charge_to(self.length.get());
        presence
    }

    fn read_available(&self) -> Presence {
        let (mut buffer, now) = ([0; READ_BYTES], Instant::now());
        while self.length.get() < MAX_READ_AHEAD && self.reserve_read() {
            match self.stream.read_now(&mut buffer) {
                Ok(0) => return Presence::Left,
                Ok(count) => self.append(&buffer[..count], now),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Presence::Connected,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Presence::Left,
            }
        }
        Presence::Unknown
    }

    /// Reserves memory for one more read. Returns `false` if there is none.
    fn reserve_read(&self) -> bool {
        let length = self.length.get();
        length == 0 || self.memory.borrow_mut().grow_to(length + READ_BYTES)
    }

    fn append(&self, bytes: &[u8], read_at: Instant) {
        let mut chunks = self.chunks.borrow_mut();
        let has_room =
            |chunk: &&mut Chunk| chunk.read_at == read_at && chunk.bytes.len() + bytes.len() <= READ_BYTES;
        match chunks.back_mut().filter(has_room) {
            Some(chunk) => chunk.bytes.extend_from_slice(bytes),
            None => chunks.push_back(Chunk { read_at, bytes: bytes.into(), taken: 0 }),
        }
        self.length.set(self.length.get() + bytes.len());
    }

    /// Takes bytes that were read together, as many as fit. Returns the time at which they were read; `None`: none are
    /// left.
    pub fn take(&self, buffer: &mut ReadBuf<'_>) -> Option<Instant> {
        let mut chunks = self.chunks.borrow_mut();
        let chunk = chunks.front_mut()?;
        let rest = &chunk.bytes[chunk.taken..];
        let count = rest.len().min(buffer.remaining());
        buffer.put_slice(&rest[..count]);
        let (read_at, is_taken) = (chunk.read_at, count == rest.len());
        chunk.taken += count;
        if is_taken {
            chunks.pop_front();
        }
        self.length.set(self.length.get() - count);
        self.memory.borrow_mut().charge_to(self.length.get());
        Some(read_at)
    }
}

impl ClientPresence for ReadAhead {
    fn is_connected(&self) -> bool {
        self.presence() == Presence::Connected
    }
}
