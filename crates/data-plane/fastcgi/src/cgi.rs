//! Output of a CGI responder (RFC 3875, section 6.2): header lines, an empty line, and the body. Parsing is strict: an
//! ambiguous head is an error, and the output is then not used as a response.
use bytes::Bytes;
use std::fmt;

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Value of `Status`; without it 302 if there is a `Location`, else 200.
    pub status: u16,
    /// Headers in their order, without `Status` and `Content-Length`.
    pub fields: Vec<(Bytes, Bytes)>,
    /// Length of the head in bytes, including the empty line.
    pub length: usize,
}

/// Reason why a head is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedHead {
    /// There is no empty line within the size limit.
    Unterminated,
    /// There are no headers.
    NoHeaders,
    /// A line without a colon, with an invalid header name, or with control characters in its value.
    InvalidLine,
    /// `Status` does not start with a number from 100 to 599, or occurs twice.
    InvalidStatus,
    /// A local redirect (`Location` with a path instead of a URL), which the web server would have to follow itself.
    LocalRedirect,
    /// `Content-Length` is invalid, repeated or differs from the length of the body, or there is a `Transfer-Encoding`.
    InvalidLength,
}

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MalformedHead::Unterminated => "the head has no terminating empty line",
            MalformedHead::NoHeaders => "the head has no headers",
            MalformedHead::InvalidLine => "a header line is malformed",
            MalformedHead::InvalidStatus => "the Status header is invalid",
            MalformedHead::LocalRedirect => "local redirects are not supported",
            MalformedHead::InvalidLength => "the length of the body does not match the headers",
        })
    }
}

/// Whether a name is a token of RFC 9110, section 5.6.2.
fn is_token(name: &[u8]) -> bool {
    let is_token_char = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    !name.is_empty() && name.iter().all(is_token_char)
}

/// Length of the head including its empty line; `None` if there is no empty line in the first `max_bytes`.
fn head_length(output: &[u8], max_bytes: usize) -> Option<usize> {
    let searched = &output[..output.len().min(max_bytes)];
    let mut line_start = 0;
    for (index, &byte) in searched.iter().enumerate() {
        if byte == b'\n' {
            if matches!(&searched[line_start..index], b"" | b"\r") {
                return Some(index + 1);
            }
            line_start = index + 1;
        }
    }
    None
}

/// Parses the head of a responder's complete output. The head must not be longer than `max_bytes`.
///
/// # Errors
/// The head is invalid, or does not match the body.
pub fn read(output: &Bytes, max_bytes: usize) -> Result<Head, MalformedHead> {
    let length = head_length(output, max_bytes).ok_or(MalformedHead::Unterminated)?;
    let (mut status, mut has_location, mut stated_length) = (None, false, None);
    let mut fields = Vec::new();
    let mut remaining = &output[..length];
    loop {
        let line_length = remaining.iter().position(|&b| b == b'\n').ok_or(MalformedHead::Unterminated)?;
        let line = remaining[..line_length].strip_suffix(b"\r").unwrap_or(&remaining[..line_length]);
        remaining = &remaining[line_length + 1..];
        if line.is_empty() {
            break;
        }
        let colon = line.iter().position(|&b| b == b':').ok_or(MalformedHead::InvalidLine)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        // A control character could split the header in two when it is serialized again.
        if !is_token(name) || value.iter().any(|&b| (b < 0x20 && b != b'\t') || b == 0x7f) {
            return Err(MalformedHead::InvalidLine);
        }
        let is_named = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is_named("status") {
            let code = value.get(..3).filter(|c| c.iter().all(u8::is_ascii_digit));
            let is_terminated = value.get(3).is_none_or(|&b| b == b' ');
            let code = code.filter(|_| is_terminated).and_then(|c| std::str::from_utf8(c).ok()?.parse().ok());
            let code = code.filter(|c| (100..600).contains(c)).ok_or(MalformedHead::InvalidStatus)?;
            if status.replace(code).is_some() {
                return Err(MalformedHead::InvalidStatus);
            }
            continue;
        }
        if is_named("transfer-encoding") {
            return Err(MalformedHead::InvalidLength);
        }
        if is_named("content-length") {
            let text = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            let content_length: usize =
                text.and_then(|v| v.parse().ok()).ok_or(MalformedHead::InvalidLength)?;
            if stated_length.replace(content_length).is_some() {
                return Err(MalformedHead::InvalidLength);
            }
            continue;
        }
        if is_named("location") {
            if value.starts_with(b"/") {
                return Err(MalformedHead::LocalRedirect);
            }
            has_location = true;
        }
        fields.push((output.slice_ref(name), output.slice_ref(value)));
    }
    if status.is_none() && fields.is_empty() && stated_length.is_none() {
        return Err(MalformedHead::NoHeaders);
    }
    if stated_length.is_some_and(|n| n != output.len() - length) {
        return Err(MalformedHead::InvalidLength);
    }
    let status = status.unwrap_or(if has_location { 302 } else { 200 });
    Ok(Head { status, fields, length })
}
