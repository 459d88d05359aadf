//! What is to be written on a connection, by turns: what stands for the connection itself first, then some of each
//! stream in turn, so that a large one does not hold up the others.
//!
//! What has been made ready is written whole. A stream that is called off ends at the next record; one of which nothing
//! was made ready leaves no trace.
use crate::record::{self, kind, Protocol};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::IoSlice;

/// A stream's body in one turn, in bytes; a multiple of 8, so that only the last record of a stream is padded.
const TURN: usize = 16 << 10;
/// No further turn is made ready beyond this.
const AHEAD: usize = 64 << 10;
/// Bodies below this are copied behind their header: one part in place of three.
const SMALL: usize = 4 << 10;
/// What may wait for the connection itself before nothing more should be read from it.
const MAX_OWN_BYTES: usize = 64 << 10;

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// With its empty record.
    Close,
    /// And the request with it.
    Complete,
}

struct Stream {
    id: u16,
    kind: u8,
    /// Records that come before its body; taken with its first turn.
    head: Option<BytesMut>,
    body: Bytes,
    tail: Tail,
}

/// What became of a stream that was called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cancelled {
    /// Nothing of it was made ready, and nothing will be.
    Unbegun,
    /// Some of it was; the rest will not be.
    Midway,
    /// All of it was, or there is none.
    Gone,
}

/// See the module's page. As a [`Buf`] it holds what is ready.
#[derive(Default)]
pub struct Outgoing {
    own: VecDeque<Bytes>,
    own_size: usize,
    streams: VecDeque<Stream>,
    /// Parts, and the stream that ends with each.
    ready: VecDeque<(Bytes, Option<u16>)>,
    size: usize,
    /// Streams whose last byte has been taken.
    done: Vec<u16>,
}

impl Outgoing {
    /// Something for the connection itself.
    pub(crate) fn own(&mut self, bytes: Bytes) {
        self.own_size += bytes.len();
        self.own.push_back(bytes);
    }

    /// Whether so much waits for the connection itself that nothing more should be read from it.
    pub(crate) fn clogged(&self) -> bool {
        self.own_size > MAX_OWN_BYTES
    }

    /// A stream, with records that come before its body.
    pub(crate) fn stream(&mut self, id: u16, head: BytesMut, kind: u8, body: Bytes, tail: Tail) {
        self.streams.push_back(Stream { id, kind, head: Some(head), body, tail });
    }

    /// Calls a stream off.
    pub(crate) fn cancel(&mut self, id: u16) -> Cancelled {
        let Some(k) = self.streams.iter().position(|s| s.id == id) else { return Cancelled::Gone };
        let unbegun = self.streams.remove(k).is_some_and(|s| s.head.is_some());
        if unbegun {
            Cancelled::Unbegun
        } else {
            Cancelled::Midway
        }
    }

    /// Whether some of a stream has not been taken.
    pub(crate) fn has_unsent(&self, id: u16) -> bool {
        self.streams.iter().any(|s| s.id == id) || self.ready.iter().any(|(_, ends)| *ends == Some(id))
    }

    /// Whether there is a stream of which nothing was made ready yet.
    pub(crate) fn unbegun(&self) -> bool {
        self.streams.iter().any(|s| s.head.is_some())
    }

    /// Whether anything has not been taken, ready or not.
    pub fn any(&self) -> bool {
        self.size > 0 || !self.own.is_empty() || !self.streams.is_empty()
    }

    /// Streams whose last byte has been taken since it was asked last.
    pub(crate) fn done(&mut self) -> std::vec::Drain<'_, u16> {
        self.done.drain(..)
    }

    /// Makes the next turns ready, once all that was ready has been taken. A stream begins only where `may_begin` allows
    /// it; one that may not is thrown away, and is `unsent`.
    pub(crate) fn fill(&mut self, mut may_begin: impl FnMut(u16) -> bool, unsent: &mut Vec<u16>) {
        if self.size > 0 {
            return;
        }
        self.own_size = 0;
        while let Some(bytes) = self.own.pop_front() {
            self.ready(bytes, None);
        }
        while self.size < AHEAD {
            let Some(mut stream) = self.streams.pop_front() else { return };
            if stream.head.is_some() && !may_begin(stream.id) {
                unsent.push(stream.id);
                continue;
            }
            self.turn(&mut stream);
            if !stream.body.is_empty() {
                self.streams.push_back(stream);
            }
        }
    }

    fn turn(&mut self, stream: &mut Stream) {
        let Stream { id, kind, tail, .. } = *stream;
        let mut out = stream.head.take().unwrap_or_default();
        let part = stream.body.split_to(stream.body.len().min(TURN));
        if !part.is_empty() {
            let padding = record::head(&mut out, kind, id, part.len());
            if part.len() < SMALL {
                out.put_slice(&part);
            } else {
                self.ready(out.split().freeze(), None);
                self.ready(part, None);
            }
            out.put_bytes(0, padding);
        }
        if !stream.body.is_empty() {
            return self.ready(out.freeze(), None);
        }
        record::end(&mut out, kind, id);
        if tail == Tail::Complete {
            record::write(&mut out, kind::END, id, &record::end_body(0, Protocol::Complete));
        }
        self.ready(out.freeze(), Some(id));
    }

    fn ready(&mut self, bytes: Bytes, ends: Option<u16>) {
        if !bytes.is_empty() {
            self.size += bytes.len();
            self.ready.push_back((bytes, ends));
        }
    }
}

impl Buf for Outgoing {
    fn remaining(&self) -> usize {
        self.size
    }

    fn chunk(&self) -> &[u8] {
        self.ready.front().map_or(&[], |(part, _)| part)
    }

    fn chunks_vectored<'a>(&'a self, to: &mut [IoSlice<'a>]) -> usize {
        let each = to.iter_mut().zip(&self.ready);
        each.map(|(to, (part, _))| *to = IoSlice::new(part)).count()
    }

    /// Takes bytes that are ready; no more than that many.
    fn advance(&mut self, count: usize) {
        let mut left = count.min(self.size);
        self.size -= left;
        while let Some((part, ends)) = self.ready.front_mut() {
            if left < part.len() {
                part.advance(left);
                return;
            }
            left -= part.len();
            self.done.extend(ends.take());
            self.ready.pop_front();
        }
    }
}
