//! Parsing of unambiguous request paths (RFC 3986, section 6.2). A path is forwarded to upstreams unchanged, so an
//! ambiguous path is rejected instead of normalized: an upstream could interpret it differently, which would bypass a
//! route.
use std::borrow::Cow;

/// Maximum number of segments of a path.
pub const MAX_SEGMENTS: usize = 64;

/// Reason why a path is ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AmbiguousPath {
    /// The path does not begin with `/`.
    Relative,
    /// A segment is `.` or `..`. In escaped form this is [`AmbiguousPath::Escape`].
    Dots,
    /// A segment other than the last is empty.
    Empty,
    /// A `%` without two hexadecimal digits, or an escape of an unreserved character, of `/`, `\`, `%` or `;`, or of a
    /// control character.
    Escape,
    /// A `\`, which some implementations treat as `/`.
    Backslash,
    /// A `;`, after which some implementations treat the rest of the segment as parameters (section 3.3).
    Parameters,
    /// The path has more than [`MAX_SEGMENTS`] segments.
    Long,
}

impl AmbiguousPath {
    /// Description for the response to the client.
    pub fn description(self) -> &'static str {
        match self {
            AmbiguousPath::Relative => "the path does not begin with /",
            AmbiguousPath::Dots => "the path has a segment . or ..",
            AmbiguousPath::Empty => "the path has an empty segment",
            AmbiguousPath::Escape => "the path has an escape that is none, or hides a character",
            AmbiguousPath::Backslash => "the path has a backslash",
            AmbiguousPath::Parameters => "the path has a ; in a segment",
            AmbiguousPath::Long => "the path has too many segments",
        }
    }
}

/// Splits a path without query into its segments, with escapes in upper case.
///
/// # Errors
/// The path is ambiguous.
pub fn segments(path: &str) -> Result<Vec<Cow<'_, str>>, AmbiguousPath> {
    let relative = path.strip_prefix('/').ok_or(AmbiguousPath::Relative)?;
    let mut segments = Vec::new();
    let mut parts = relative.split('/').peekable();
    while let Some(part) = parts.next() {
        if segments.len() >= MAX_SEGMENTS {
            return Err(AmbiguousPath::Long);
        }
        if part.is_empty() && parts.peek().is_some() {
            return Err(AmbiguousPath::Empty);
        }
        if part == "." || part == ".." {
            return Err(AmbiguousPath::Dots);
        }
        if part.contains('\\') {
            return Err(AmbiguousPath::Backslash);
        }
        if part.contains(';') {
            return Err(AmbiguousPath::Parameters);
        }
        segments.push(segment(part)?);
    }
    Ok(segments)
}

fn segment(part: &str) -> Result<Cow<'_, str>, AmbiguousPath> {
    if !part.contains('%') {
        return Ok(Cow::Borrowed(part));
    }
    let bytes = part.as_bytes();
    let mut offset = 0;
    while let Some(distance) = bytes[offset..].iter().position(|&b| b == b'%') {
        offset += distance;
        let digits = part.get(offset + 1..offset + 3).filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let byte = digits.and_then(|d| u8::from_str_radix(d, 16).ok()).ok_or(AmbiguousPath::Escape)?;
        // Unreserved characters (section 2.3) are equivalent with and without escape, but a literal comparison would
        // treat them as different.
        if byte.is_ascii_alphanumeric() || b"-._~/\\%;".contains(&byte) || byte < 0x20 || byte == 0x7f {
            return Err(AmbiguousPath::Escape);
        }
        offset += 3;
    }
    let mut normalized = part.to_string();
    let has_lowercase = |digits: &str| digits.bytes().any(|b| b.is_ascii_lowercase());
    let mut offset = 0;
    while let Some(distance) = normalized[offset..].find('%') {
        offset += distance;
        if has_lowercase(&normalized[offset + 1..offset + 3]) {
            let upper = normalized[offset + 1..offset + 3].to_ascii_uppercase();
            normalized.replace_range(offset + 1..offset + 3, &upper);
        }
        offset += 3;
    }
    Ok(Cow::Owned(normalized))
}
