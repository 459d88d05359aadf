//! FastCGI 1.0 (Open Market, FastCGI Specification, 29 April 1996) for servers and clients, without I/O.
//!
//! | module | content |
//! | --- | --- |
//! | [`record`] | records: decoding from arbitrarily split input without copying, and encoding |
//! | [`pairs`] | name-value pairs, with one-byte and four-byte lengths |
//! | [`server`] | server side: a connection from a web server |
//! | [`client`] | client side: a connection to an application |
//! | [`outgoing`] | output queue that interleaves streams |
//! | [`cgi`] | head of a CGI response (RFC 3875, section 6) |
//!
//! Each side takes received bytes and returns events and bytes to write. All limits are in [`Limits`]; an [`Error`]
//! contains the protocol violation and its byte offset on the connection. No input causes a panic, and no input is
//! buffered beyond its limit.
pub mod cgi;
pub mod client;
pub mod outgoing;
pub mod pairs;
pub mod record;
pub mod server;

use std::fmt;

/// Limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of one request's params, including their encoded lengths, in bytes.
    pub params: usize,
    /// Maximum number of params of one request.
    pub pairs: usize,
    /// Maximum size of the body of a request or a response, in bytes.
    pub body: usize,
    /// Maximum size of the head of a response, in bytes.
    pub head: usize,
    /// Maximum size of an application's error stream, in bytes; the rest is dropped and counted.
    pub errors: usize,
    /// Maximum number of concurrent requests on a connection.
    pub requests: usize,
}

impl Default for Limits {
    /// 16 KiB and 128 pairs of params, 64 KiB of body, 16 KiB of head, 4 KiB of error stream, 1 concurrent request.
    fn default() -> Self {
        Limits { params: 16 << 10, pairs: 128, body: 64 << 10, head: 16 << 10, errors: 4 << 10, requests: 1 }
    }
}

/// A protocol violation and its position. The connection can't be used any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Offset of the first byte of the invalid record on the connection, counted from zero.
    pub offset: u64,
    /// The violation.
    pub fault: Fault,
}

/// Kinds of protocol violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A record with a version other than 1.
    Version(u8),
    /// A record of a type that this side must not receive.
    Unexpected(u8),
    /// A body length that is invalid for the record's type.
    Length {
        /// Type of the record.
        kind: u8,
        /// Length in the record's header.
        length: u16,
    },
    /// A management record with a request id, or a record of a request without one.
    Id {
        /// Type of the record.
        kind: u8,
        /// Request id in the record's header.
        id: u16,
    },
    /// A begin record for a request that is already open.
    BegunTwice(u16),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {}: ", self.offset)?;
        match self.fault {
            Fault::Version(version) => write!(f, "a record of version {version}"),
            Fault::Unexpected(kind) => write!(f, "unexpected record type {kind}"),
            Fault::Length { kind, length } => write!(f, "a record of type {kind} has length {length}"),
            Fault::Id { kind, id } => write!(f, "a record of type {kind} has the invalid request id {id}"),
            Fault::BegunTwice(id) => write!(f, "request {id} begins again while it is open"),
        }
    }
}

impl std::error::Error for Error {}
