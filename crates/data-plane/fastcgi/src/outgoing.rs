//! Output queue of a connection. Records of the connection itself and records that abort or end a request come
//! first, then the streams in round-robin order, so that a large stream does not delay the others.
//!
//! Bytes that were made ready are always written completely. A cancelled stream ends at a record boundary; a stream that
//! is cancelled before any of it was made ready is not written at all.
use crate::record::{self, kind, Protocol};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::IoSlice;

/// Maximum number of body bytes that a stream contributes per turn; a multiple of 8, so that only the last record of a
/// stream is padded.
const TURN_BYTES: usize = 16 << 10;
/// Number of ready bytes at which no more turns are added.
const MAX_READY_BYTES: usize = 64 << 10;
/// Body parts shorter than this, in bytes, are copied after their header, which makes one part instead of three.
const COPY_LIMIT_BYTES: usize = 4 << 10;
/// Number of queued bytes of connection records above which reading from the connection should stop.
const MAX_CONNECTION_BYTES: usize = 64 << 10;

/// Records that end a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// The empty record of the stream.
    Close,
    /// The empty record of the stream, and the end record of the request.
    Complete,
}

/// A stream of a request that waits to be written.
struct Stream {
    id: u16,
    kind: u8,
    /// Records that precede the body; `None` once the first turn has been made ready.
    head: Option<BytesMut>,
    body: Bytes,
    tail: Tail,
}

/// State of a stream when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cancelled {
    /// No part of it was made ready; it is not written.
    NotStarted,
    /// Part of it was made ready; the rest is dropped.
    Partial,
    /// All of it was made ready, or there is no such stream.
    Finished,
}

/// Output queue of a connection. As a [`Buf`] it contains the ready bytes.
#[derive(Default)]
pub struct Outgoing {
    connection_records: VecDeque<Bytes>,
    connection_bytes: usize,
    streams: VecDeque<Stream>,
    /// Parts, each with the id of the stream that ends with it.
    ready_parts: VecDeque<(Bytes, Option<u16>)>,
    ready_bytes: usize,
    /// Streams whose last byte has been consumed.
    completed: Vec<u16>,
}

impl Outgoing {
    /// Queues a record that is written before all streams: a management record, or the abort or end record of a request.
    pub(crate) fn push_connection_record(&mut self, bytes: Bytes) {
        self.connection_bytes += bytes.len();
        self.connection_records.push_back(bytes);
    }

    /// Whether so many bytes of these records are queued that reading from the connection should stop.
    pub(crate) fn is_backlogged(&self) -> bool {
        self.connection_bytes > MAX_CONNECTION_BYTES
    }

    /// Queues a stream, with the records that precede its body.
    pub(crate) fn push_stream(&mut self, id: u16, head: BytesMut, kind: u8, body: Bytes, tail: Tail) {
        self.streams.push_back(Stream { id, kind, head: Some(head), body, tail });
    }

    /// Cancels a stream.
    pub(crate) fn cancel(&mut self, id: u16) -> Cancelled {
        let Some(index) = self.streams.iter().position(|s| s.id == id) else { return Cancelled::Finished };
        let not_started = self.streams.remove(index).is_some_and(|s| s.head.is_some());
        if not_started {
            Cancelled::NotStarted
        } else {
            Cancelled::Partial
        }
    }

    /// Whether some bytes of a stream have not been consumed.
    pub(crate) fn has_unsent(&self, id: u16) -> bool {
        self.streams.iter().any(|s| s.id == id)
            || self.ready_parts.iter().any(|(_, completed)| *completed == Some(id))
    }

    /// Whether there is a stream of which no part was made ready yet.
    pub(crate) fn has_unstarted_stream(&self) -> bool {
        self.streams.iter().any(|s| s.head.is_some())
    }

    /// Whether there are bytes that have not been consumed, ready or not.
    pub fn has_pending(&self) -> bool {
        self.ready_bytes > 0 || !self.connection_records.is_empty() || !self.streams.is_empty()
    }

    /// Removes and returns the streams whose last byte has been consumed since the previous call.
    pub(crate) fn take_completed(&mut self) -> std::vec::Drain<'_, u16> {
        self.completed.drain(..)
    }

    /// Makes the next turns ready once all ready bytes have been consumed. A stream starts only if `may_begin` returns
    /// `true` for it; otherwise it is dropped and its id is added to `unsent`.
    pub(crate) fn fill(&mut self, mut may_begin: impl FnMut(u16) -> bool, unsent: &mut Vec<u16>) {
        if self.ready_bytes > 0 {
            return;
        }
        self.connection_bytes = 0;
        while let Some(bytes) = self.connection_records.pop_front() {
            self.push_ready(bytes, None);
        }
        while self.ready_bytes < MAX_READY_BYTES {
            let Some(mut stream) = self.streams.pop_front() else { return };
            if stream.head.is_some() && !may_begin(stream.id) {
                unsent.push(stream.id);
                continue;
            }
            self.write_turn(&mut stream);
            if !stream.body.is_empty() {
                self.streams.push_back(stream);
            }
        }
    }

    /// Makes the next turn of a stream ready.
    fn write_turn(&mut self, stream: &mut Stream) {
        let Stream { id, kind, tail, .. } = *stream;
        let mut out = stream.head.take().unwrap_or_default();
        let part = stream.body.split_to(stream.body.len().min(TURN_BYTES));
        if !part.is_empty() {
            let padding = record::write_header(&mut out, kind, id, part.len());
            if part.len() < COPY_LIMIT_BYTES {
                out.put_slice(&part);
            } else {
                self.push_ready(out.split().freeze(), None);
                self.push_ready(part, None);
            }
            out.put_bytes(0, padding);
        }
        if !stream.body.is_empty() {
            return self.push_ready(out.freeze(), None);
        }
        record::end(&mut out, kind, id);
        if tail == Tail::Complete {
            record::write(&mut out, kind::END, id, &record::end_body(0, Protocol::Complete));
        }
        self.push_ready(out.freeze(), Some(id));
    }

    /// Appends ready bytes, with the id of the stream that ends with them.
    fn push_ready(&mut self, bytes: Bytes, completed: Option<u16>) {
        if !bytes.is_empty() {
            self.ready_bytes += bytes.len();
            self.ready_parts.push_back((bytes, completed));
        }
    }
}

impl Buf for Outgoing {
    fn remaining(&self) -> usize {
        self.ready_bytes
    }

    fn chunk(&self) -> &[u8] {
        self.ready_parts.front().map_or(&[], |(part, _)| part)
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let filled = slices.iter_mut().zip(&self.ready_parts);
        filled.map(|(slice, (part, _))| *slice = IoSlice::new(part)).count()
    }

    /// Consumes up to `count` ready bytes.
    fn advance(&mut self, count: usize) {
        let mut left = count.min(self.ready_bytes);
        self.ready_bytes -= left;
        while let Some((part, completed)) = self.ready_parts.front_mut() {
            if left < part.len() {
                part.advance(left);
                return;
            }
            left -= part.len();
            self.completed.extend(completed.take());
            self.ready_parts.pop_front();
        }
    }
}
