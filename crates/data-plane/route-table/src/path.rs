//! Paths that mean the same to everybody (RFC 3986, section 6.2). A path goes on to upstreams as its caller wrote it, so one
//! that others might read otherwise is not mended but refused: mended here, it would lead round a route there.
use std::borrow::Cow;

/// Most segments of a path.
pub const MAX_SEGMENTS: usize = 64;

/// Why a path is not clear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AmbiguousPath {
    /// It does not begin with `/`.
    Relative,
    /// A segment is `.` or `..`, however it is written.
    Dots,
    /// A segment within it is empty.
    Empty,
    /// A `%` without two digits behind it, or one that stands for a character that needs none, for `/`, `\` or a control
    /// character.
    Escape,
    /// A `\`, which some take for `/`.
    Backslash,
    /// A `;`, behind which some take what follows for no part of the segment (section 3.3).
    Parameters,
    /// It has more segments than are looked at.
    Long,
}

impl AmbiguousPath {
    /// In words.
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

/// The segments of a path without its query, escapes in capital letters.
///
/// # Errors
/// Why it is not clear.
pub fn segments(path: &str) -> Result<Vec<Cow<'_, str>>, AmbiguousPath> {
    let rest = path.strip_prefix('/').ok_or(AmbiguousPath::Relative)?;
    let mut all = Vec::new();
    let mut parts = rest.split('/').peekable();
    while let Some(part) = parts.next() {
        if all.len() >= MAX_SEGMENTS {
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
        all.push(segment(part)?);
    }
    Ok(all)
}

fn segment(part: &str) -> Result<Cow<'_, str>, AmbiguousPath> {
    if !part.contains('%') {
        return Ok(Cow::Borrowed(part));
    }
    let bytes = part.as_bytes();
    let mut at = 0;
    while let Some(n) = bytes[at..].iter().position(|&b| b == b'%') {
        at += n;
        let digits = part.get(at + 1..at + 3).filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let byte = digits.and_then(|d| u8::from_str_radix(d, 16).ok()).ok_or(AmbiguousPath::Escape)?;
        // Unreserved ones (section 2.3) mean the same with and without: somebody will compare them as they are.
        if byte.is_ascii_alphanumeric() || b"-._~/\\%;".contains(&byte) || byte < 0x20 || byte == 0x7f {
            return Err(AmbiguousPath::Escape);
        }
        at += 3;
    }
    let mut out = part.to_string();
    let lower = |s: &str| s.bytes().any(|b| b.is_ascii_lowercase());
    let mut at = 0;
    while let Some(n) = out[at..].find('%') {
        at += n;
        if lower(&out[at + 1..at + 3]) {
            let upper = out[at + 1..at + 3].to_ascii_uppercase();
            out.replace_range(at + 1..at + 3, &upper);
        }
        at += 3;
    }
    Ok(Cow::Owned(out))
}
