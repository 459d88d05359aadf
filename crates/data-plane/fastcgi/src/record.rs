//! Records (section 3.3): decoding from arbitrarily split input without copying, and encoding.
use crate::{Error, Fault};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of a record's header (`FCGI_HEADER_LEN`), in bytes.
pub const HEADER_BYTES: usize = 8;
/// Maximum length of a record's body, in bytes.
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
/// The flag that keeps the connection open after a request (`FCGI_KEEP_CONN`).
pub const KEEP_CONNECTION: u8 = 1;

/// Protocol status of an end record (section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// `FCGI_REQUEST_COMPLETE`
    Complete,
    /// `FCGI_CANT_MPX_CONN`: refused, the application handles one request at a time on a connection.
    CantMultiplex,
    /// `FCGI_OVERLOADED`: refused, a resource is exhausted.
    Overloaded,
    /// `FCGI_UNKNOWN_ROLE`: refused, the application does not support the role.
    UnknownRole,
    /// A value that the specification does not define.
    Other(u8),
}

impl Protocol {
    /// The status as encoded in an end record.
    pub fn byte(self) -> u8 {
        match self {
            Protocol::Complete => 0,
            Protocol::CantMultiplex => 1,
            Protocol::Overloaded => 2,
            Protocol::UnknownRole => 3,
            Protocol::Other(byte) => byte,
        }
    }

    /// The status encoded in an end record.
    pub fn from_byte(byte: u8) -> Protocol {
        match byte {
            0 => Protocol::Complete,
            1 => Protocol::CantMultiplex,
            2 => Protocol::Overloaded,
            3 => Protocol::UnknownRole,
            byte => Protocol::Other(byte),
        }
    }
}

/// A record's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Type of the record; see [`kind`].
    pub kind: u8,
    /// Id of the request; 0 for management records, which concern the connection.
    pub id: u16,
    /// Length of the body, in bytes.
    pub length: u16,
    /// Length of the padding after the body, in bytes.
    pub padding: u8,
}

impl Header {
    fn bytes(self) -> [u8; HEADER_BYTES] {
        let ([id1, id0], [l1, l0]) = (self.id.to_be_bytes(), self.length.to_be_bytes());
        [1, self.kind, id1, id0, l1, l0, self.padding, 0]
    }
}

/// A decoded part of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The header. The body follows in any number of pieces.
    Begin(Header),
    /// Part of the body; shares the memory of the input.
    Body(Bytes),
    /// The record is complete, including its padding.
    End(Header),
}

enum State {
    /// The received part of a header, and its length in bytes.
    Header([u8; HEADER_BYTES], usize),
    /// The header, and the remaining lengths of body and padding in bytes.
    Body(Header, usize, usize),
}

/// Decoder of the records of a connection. It buffers at most the 8 bytes of a header.
pub struct Decoder {
    state: State,
    /// Number of bytes consumed.
    consumed: u64,
    /// Offset of the current record on the connection.
    record_offset: u64,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder { state: State::Header([0; HEADER_BYTES], 0), consumed: 0, record_offset: 0 }
    }
}

impl Decoder {
    /// Offset of the current record on the connection, in bytes.
    pub fn record_offset(&self) -> u64 {
        self.record_offset
    }

    /// Whether a record has been received in part.
    pub fn is_mid_record(&self) -> bool {
        !matches!(self.state, State::Header(_, 0))
    }

    /// Decodes the next piece and removes it from `input`; `None` if more input is needed.
    ///
    /// # Errors
    /// A header has an unsupported version. The input after it can't be decoded.
    pub fn next(&mut self, input: &mut Bytes) -> Result<Option<Piece>, Error> {
        match &mut self.state {
            State::Header(bytes, received) => {
                if *received == 0 {
                    self.record_offset = self.consumed;
                }
                let count = input.len().min(HEADER_BYTES - *received);
                bytes[*received..*received + count].copy_from_slice(&input[..count]);
                input.advance(count);
                *received += count;
                self.consumed += count as u64;
                // Checked before the header is complete: a peer that uses another protocol may never send the rest.
                if *received > 0 && bytes[0] != 1 {
                    return Err(Error { offset: self.record_offset, fault: Fault::Version(bytes[0]) });
                }
                if *received < HEADER_BYTES {
                    return Ok(None);
                }
                let [_, kind, id1, id0, l1, l0, padding, _] = *bytes;
                let (id, length) = (u16::from_be_bytes([id1, id0]), u16::from_be_bytes([l1, l0]));
                let header = Header { kind, id, length, padding };
                self.state = State::Body(header, usize::from(length), usize::from(padding));
                Ok(Some(Piece::Begin(header)))
            }
            State::Body(header, body, padding) => {
                if *body > 0 {
                    if input.is_empty() {
                        return Ok(None);
                    }
                    let piece = input.split_to(input.len().min(*body));
                    *body -= piece.len();
                    self.consumed += piece.len() as u64;
                    return Ok(Some(Piece::Body(piece)));
                }
                let count = input.len().min(*padding);
                input.advance(count);
                *padding -= count;
                self.consumed += count as u64;
                if *padding > 0 {
                    return Ok(None);
                }
                let header = *header;
                self.state = State::Header([0; HEADER_BYTES], 0);
                Ok(Some(Piece::End(header)))
            }
        }
    }
}

/// Encodes a body as records, each padded to a multiple of 8 bytes as the specification recommends.
pub fn write(out: &mut BytesMut, kind: u8, id: u16, body: &[u8]) {
    for part in body.chunks(MAX_BODY_BYTES) {
        write_header(out, kind, id, part.len());
        out.put_slice(part);
        out.put_bytes(0, padding(part.len()));
    }
}

/// Encodes the empty record that ends a stream.
pub fn end(out: &mut BytesMut, kind: u8, id: u16) {
    write_header(out, kind, id, 0);
}

/// Number of bytes that pad a body to a multiple of 8 bytes.
fn padding(length: usize) -> usize {
    (8 - length % 8) % 8
}

/// Encodes the header of a record. Returns the length of the padding that must follow its body, in bytes.
pub(crate) fn write_header(out: &mut BytesMut, kind: u8, id: u16, length: usize) -> usize {
    // Callers split bodies into parts that fit.
    let length16 = u16::try_from(length).unwrap_or(u16::MAX);
    let padded = padding(length);
    out.put_slice(&Header { kind, id, length: length16, padding: u8::try_from(padded).unwrap_or(0) }.bytes());
    padded
}

/// The body of a begin record.
pub fn begin_body(role: u16, keep_connection: bool) -> [u8; 8] {
    let [r1, r0] = role.to_be_bytes();
    [r1, r0, if keep_connection { KEEP_CONNECTION } else { 0 }, 0, 0, 0, 0, 0]
}

/// The body of an end record.
pub fn end_body(application: u32, protocol: Protocol) -> [u8; 8] {
    let [a, b, c, d] = application.to_be_bytes();
    [a, b, c, d, protocol.byte(), 0, 0, 0]
}
