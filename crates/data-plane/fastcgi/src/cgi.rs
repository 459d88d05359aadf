//! What a responder writes before its body (RFC 3875, section 6.2): header lines, an empty line, and the body. Read
//! strictly: what is not certain is an error, and an error is no answer.
use bytes::Bytes;
use std::fmt;

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// `Status`; 200 without one, 302 with a `Location` alone.
    pub status: u16,
    /// The other headers, in order.
    pub fields: Vec<(Bytes, Bytes)>,
    /// How many bytes it took, with its empty line.
    pub length: usize,
}

/// Why a head can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedHead {
    /// There is no empty line within the bound.
    Endless,
    /// There are no headers at all.
    None,
    /// A line without a colon, or with a name that is none.
    Line,
    /// A `Status` that is no number of three digits, or two of them.
    Status,
    /// A local redirect (`Location` without a scheme and nothing else), which a web server would follow by itself.
    LocalRedirect,
    /// A body of another length than `Content-Length` states, or a framing of its own.
    Length,
}

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MalformedHead::Endless => "the head has no end",
            MalformedHead::None => "there are no headers",
            MalformedHead::Line => "a header line is none",
            MalformedHead::Status => "its Status is none",
            MalformedHead::LocalRedirect => "it redirects within the server",
            MalformedHead::Length => "its body has another length than it states",
        })
    }
}

fn token(name: &[u8]) -> bool {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    !name.is_empty() && name.iter().all(plain)
}

/// Where the empty line ends that ends the head, if it is there.
fn end(output: &[u8], most: usize) -> Option<usize> {
    let seen = &output[..output.len().min(most)];
    let mut line = 0;
    for (k, &b) in seen.iter().enumerate() {
        if b == b'\n' {
            if matches!(&seen[line..k], b"" | b"\r") {
                return Some(k + 1);
            }
            line = k + 1;
        }
    }
    None
}

/// Reads the head of a responder's whole output, of `most` bytes at the most.
///
/// # Errors
/// What is wrong with it.
pub fn read(output: &Bytes, most: usize) -> Result<Head, MalformedHead> {
    let length = end(output, most).ok_or(MalformedHead::Endless)?;
    let (mut status, mut location, mut stated) = (None, false, None);
    let mut fields = Vec::new();
    let mut rest = &output[..length];
    loop {
        let n = rest.iter().position(|&b| b == b'\n').ok_or(MalformedHead::Endless)?;
        let line = rest[..n].strip_suffix(b"\r").unwrap_or(&rest[..n]);
        rest = &rest[n + 1..];
        if line.is_empty() {
            break;
        }
        let colon = line.iter().position(|&b| b == b':').ok_or(MalformedHead::Line)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        // Control characters would split a header in two where it is written again.
        if !token(name) || value.iter().any(|&b| (b < 0x20 && b != b'\t') || b == 0x7f) {
            return Err(MalformedHead::Line);
        }
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("status") {
            let code = value.get(..3).filter(|c| c.iter().all(u8::is_ascii_digit));
            let ends = value.get(3).is_none_or(|&b| b == b' ');
            let code = code.filter(|_| ends).and_then(|c| std::str::from_utf8(c).ok()?.parse().ok());
            let code = code.filter(|c| (100..600).contains(c)).ok_or(MalformedHead::Status)?;
            if status.replace(code).is_some() {
                return Err(MalformedHead::Status);
            }
            continue;
        }
        if is("transfer-encoding") {
            return Err(MalformedHead::Length);
        }
        if is("content-length") {
            let text = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            let n: usize = text.and_then(|v| v.parse().ok()).ok_or(MalformedHead::Length)?;
            if stated.replace(n).is_some() {
                return Err(MalformedHead::Length);
            }
            continue;
        }
        if is("location") {
            if value.starts_with(b"/") {
                return Err(MalformedHead::LocalRedirect);
            }
            location = true;
        }
        fields.push((output.slice_ref(name), output.slice_ref(value)));
    }
    if status.is_none() && fields.is_empty() && stated.is_none() {
        return Err(MalformedHead::None);
    }
    if stated.is_some_and(|n| n != output.len() - length) {
        return Err(MalformedHead::Length);
    }
    let status = status.unwrap_or(if location { 302 } else { 200 });
    Ok(Head { status, fields, length })
}
