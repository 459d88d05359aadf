//! Records (section 3.3): their header and bodies, decoded from any split of bytes without copying, and written.
use crate::{Error, Fault};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of a record's header (`FCGI_HEADER_LEN`).
pub const HEADER: usize = 8;
/// Largest body of a record.
pub const MAX_BODY_BYTES: usize = 0xffff;

/// The types of records (section 8).
pub mod kind {
    /// `FCGI_BEGIN_REQUEST`
    pub const BEGIN: u8 = 1;
    /// `FCGI_ABORT_REQUEST`
    pub const ABORT: u8 = 2;
    /// `FCGI_END_REQUEST`
    pub const END: u8 = 3;
    /// `FCGI_PARAMS`
    pub const PARAMS: u8 = 4;
    /// `FCGI_STDIN`
    pub const STDIN: u8 = 5;
    /// `FCGI_STDOUT`
    pub const STDOUT: u8 = 6;
    /// `FCGI_STDERR`
    pub const STDERR: u8 = 7;
    /// `FCGI_DATA`
    pub const DATA: u8 = 8;
    /// `FCGI_GET_VALUES`
    pub const GET_VALUES: u8 = 9;
    /// `FCGI_GET_VALUES_RESULT`
    pub const GET_VALUES_RESULT: u8 = 10;
    /// `FCGI_UNKNOWN_TYPE`
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// The role of an application that answers requests (`FCGI_RESPONDER`).
pub const RESPONDER: u16 = 1;
/// The flag that the connection stays open after a request (`FCGI_KEEP_CONN`).
pub const KEEP_CONNECTION: u8 = 1;

/// How a request ended for the protocol (section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// `FCGI_REQUEST_COMPLETE`
    Complete,
    /// `FCGI_CANT_MPX_CONN`: refused, one request at a time on this connection.
    CantMultiplex,
    /// `FCGI_OVERLOADED`: refused, out of some resource.
    Overloaded,
    /// `FCGI_UNKNOWN_ROLE`: refused, the application has no such role.
    UnknownRole,
    /// No value of the specification.
    Other(u8),
}

impl Protocol {
    /// As in the record.
    pub fn byte(self) -> u8 {
        match self {
            Protocol::Complete => 0,
            Protocol::CantMultiplex => 1,
            Protocol::Overloaded => 2,
            Protocol::UnknownRole => 3,
            Protocol::Other(b) => b,
        }
    }

    /// From the record.
    pub fn of(byte: u8) -> Protocol {
        match byte {
            0 => Protocol::Complete,
            1 => Protocol::CantMultiplex,
            2 => Protocol::Overloaded,
            3 => Protocol::UnknownRole,
            b => Protocol::Other(b),
        }
    }
}

/// A record's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its type; see [`kind`].
    pub kind: u8,
    /// The request; 0: the connection itself.
    pub id: u16,
    /// Bytes of body.
    pub length: u16,
    /// Bytes behind the body that are thrown away.
    pub padding: u8,
}

impl Header {
    fn bytes(self) -> [u8; HEADER] {
        let ([id1, id0], [l1, l0]) = (self.id.to_be_bytes(), self.length.to_be_bytes());
        [1, self.kind, id1, id0, l1, l0, self.padding, 0]
    }
}

/// A piece of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// It begins. Its body follows in any number of pieces.
    Begin(Header),
    /// Some of its body; shares the bytes that came.
    Body(Bytes),
    /// It has come whole, its padding too.
    End(Header),
}

enum At {
    /// So many bytes of a header are there.
    Header([u8; HEADER], usize),
    /// So much of the body and of the padding is to come.
    Body(Header, usize, usize),
}

/// Decodes a connection's bytes. It holds 8 bytes at most.
pub struct Decoder {
    at: At,
    /// Bytes taken, and where the record began.
    taken: u64,
    began: u64,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder { at: At::Header([0; HEADER], 0), taken: 0, began: 0 }
    }
}

impl Decoder {
    /// Where the record that is being decoded began.
    pub fn began(&self) -> u64 {
        self.began
    }

    /// Whether part of a record has come.
    pub fn midway(&self) -> bool {
        !matches!(self.at, At::Header(_, 0))
    }

    /// Takes from `input` what makes the next piece; `None`: more has to come.
    ///
    /// # Errors
    /// A header of another version. Nothing behind it can be read.
    pub fn next(&mut self, input: &mut Bytes) -> Result<Option<Piece>, Error> {
        match &mut self.at {
            At::Header(bytes, have) => {
                if *have == 0 {
                    self.began = self.taken;
                }
                let n = input.len().min(HEADER - *have);
                bytes[*have..*have + n].copy_from_slice(&input[..n]);
                input.advance(n);
                *have += n;
                self.taken += n as u64;
                // Before the rest has come: a peer that speaks something else need not be waited for.
                if *have > 0 && bytes[0] != 1 {
                    return Err(Error { at: self.began, what: Fault::Version(bytes[0]) });
                }
                if *have < HEADER {
                    return Ok(None);
                }
                let [_, kind, id1, id0, l1, l0, padding, _] = *bytes;
                let (id, length) = (u16::from_be_bytes([id1, id0]), u16::from_be_bytes([l1, l0]));
                let header = Header { kind, id, length, padding };
                self.at = At::Body(header, usize::from(length), usize::from(padding));
                Ok(Some(Piece::Begin(header)))
            }
            At::Body(header, body, padding) => {
                if *body > 0 {
                    if input.is_empty() {
                        return Ok(None);
                    }
                    let piece = input.split_to(input.len().min(*body));
                    *body -= piece.len();
                    self.taken += piece.len() as u64;
                    return Ok(Some(Piece::Body(piece)));
                }
                let n = input.len().min(*padding);
                input.advance(n);
                *padding -= n;
                self.taken += n as u64;
                if *padding > 0 {
                    return Ok(None);
                }
                let header = *header;
                self.at = At::Header([0; HEADER], 0);
                Ok(Some(Piece::End(header)))
            }
        }
    }
}

/// Writes a record with a short body, padded to a multiple of 8 bytes as the specification recommends.
pub fn write(out: &mut BytesMut, kind: u8, id: u16, body: &[u8]) {
    for part in body.chunks(MAX_BODY_BYTES) {
        head(out, kind, id, part.len());
        out.put_slice(part);
        out.put_bytes(0, padding(part.len()));
    }
}

/// Writes a stream's end: an empty record.
pub fn end(out: &mut BytesMut, kind: u8, id: u16) {
    head(out, kind, id, 0);
}

fn padding(length: usize) -> usize {
    (8 - length % 8) % 8
}

/// Writes the header of a record; how much padding goes behind its body.
pub(crate) fn head(out: &mut BytesMut, kind: u8, id: u16, length: usize) -> usize {
    // Bodies are cut into parts that fit.
    let length16 = u16::try_from(length).unwrap_or(u16::MAX);
    let padded = padding(length);
    out.put_slice(&Header { kind, id, length: length16, padding: u8::try_from(padded).unwrap_or(0) }.bytes());
    padded
}

/// The body of a begin record.
pub fn begin_body(role: u16, keep: bool) -> [u8; 8] {
    let [r1, r0] = role.to_be_bytes();
    [r1, r0, if keep { KEEP_CONNECTION } else { 0 }, 0, 0, 0, 0, 0]
}

/// The body of an end record.
pub fn end_body(application: u32, protocol: Protocol) -> [u8; 8] {
    let [a, b, c, d] = application.to_be_bytes();
    [a, b, c, d, protocol.byte(), 0, 0, 0]
}
