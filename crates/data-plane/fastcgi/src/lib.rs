//! FastCGI 1.0 (Open Market, FastCGI Specification, 29 April 1996) on both sides, without I/O.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`record`] | records: their header and bodies, decoded from any split of bytes without copying, and written |
//! | [`pairs`] | name-value pairs, with both forms of a length |
//! | [`server`] | the side that gets requests: a connection of a web server's |
//! | [`client`] | the side that makes them: a connection to an application |
//! | [`outgoing`] | what is to be written, by turns |
//! | [`cgi`] | what a responder writes before its body (RFC 3875, section 6) |
//!
//! Bytes come in, events and bytes to be written come out. Every bound is in [`Limits`]; an [`Error`] says what was wrong
//! and at which byte of the connection. Nothing that comes in panics, or is held beyond its bound.
pub mod cgi;
pub mod client;
pub mod outgoing;
pub mod pairs;
pub mod record;
pub mod server;

use std::fmt;

/// Bounds of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Params of one request, with their lengths, in bytes.
    pub params: usize,
    /// Pairs in them.
    pub pairs: usize,
    /// A request's or an answer's body, in bytes.
    pub body: usize,
    /// An answer's head, in bytes.
    pub head: usize,
    /// What an application writes to its error stream, in bytes; the rest is dropped and counted.
    pub errors: usize,
    /// Requests at once on a connection.
    pub requests: usize,
}

impl Default for Limits {
    /// 16 KiB and 128 pairs of params, 64 KiB of body, 16 KiB of head, 4 KiB of errors, 1 request at once.
    fn default() -> Self {
        Limits { params: 16 << 10, pairs: 128, body: 64 << 10, head: 16 << 10, errors: 4 << 10, requests: 1 }
    }
}

/// What was wrong with what came, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The byte of the connection, counted from zero, at which the record at fault begins.
    pub at: u64,
    /// What was wrong.
    pub what: Fault,
}

/// What can be wrong with a connection's bytes. It can't be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A record of another version than 1.
    Version(u8),
    /// A record of this type that this side does not get.
    Unexpected(u8),
    /// A body of a length that its type does not have.
    Length {
        /// The record's type.
        kind: u8,
        /// The length it states.
        length: u16,
    },
    /// A management record with a request's id, or a request's record without one.
    Id {
        /// The record's type.
        kind: u8,
        /// The id.
        id: u16,
    },
    /// A second begin for an id that is open.
    BegunTwice(u16),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {}: ", self.at)?;
        match self.what {
            Fault::Version(v) => write!(f, "a record of version {v}"),
            Fault::Unexpected(kind) => write!(f, "a record of type {kind} that this side does not get"),
            Fault::Length { kind, length } => write!(f, "a record of type {kind} with {length} bytes"),
            Fault::Id { kind, id } => write!(f, "a record of type {kind} with request id {id}"),
            Fault::BegunTwice(id) => write!(f, "request {id} begins again while it is open"),
        }
    }
}

impl std::error::Error for Error {}
