//! Path of a request: the entries of `Via` (RFC 9110, section 7.6.3), a field that proxies forward even where they drop
//! unknown ones. Each pool appends a pseudonym that reveals nothing to outsiders; a request that carries the pool's own
//! pseudonym has come back in a loop.
use crate::grammar::StopReason;
use std::fmt;
use std::rc::Rc;

/// Maximum length of a path, in bytes.
const MAX_PATH_BYTES: usize = 2048;

/// Pseudonym of a pool: the same for all its instances, and not predictable without its secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopMarker(Rc<str>);

impl HopMarker {
    /// The marker of a pool, derived from this secret.
    pub fn new(secret: &[u8], pool: &str) -> HopMarker {
        HopMarker(format!("hd-{:016x}", hashing::keyed(secret, pool.as_bytes())).into())
    }

    /// Text of the marker, as it is written in the path.
    pub fn text(&self) -> &str {
        &self.0
    }
}

/// Reason why a request is not forwarded. Its text is the body of the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathRejection {
    /// The path contains this pool's marker.
    Loop,
    /// The path has too many hops, or is too long.
    TooManyHops,
}

impl PathRejection {
    /// Stop reason that is reported to the caller.
    pub fn stop_reason(self) -> StopReason {
        match self {
            PathRejection::Loop => StopReason::Loop,
            PathRejection::TooManyHops => StopReason::TooManyHops,
        }
    }
}

impl fmt::Display for PathRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PathRejection::Loop => "the request has been here before: its route is a loop",
            PathRejection::TooManyHops => "the request has been at too many places",
        })
    }
}

/// Path of a request: its hops in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path(Rc<str>);

/// Entries of a `Via` value, split at commas outside comments.
fn via_entries(text: &str) -> impl Iterator<Item = &str> {
    let mut comment_depth = 0_u32;
    text.split(move |c| {
        match c {
            '(' => comment_depth += 1,
            ')' => comment_depth = comment_depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && comment_depth == 0
    })
    .map(str::trim)
    .filter(|entry| !entry.is_empty())
}

impl Path {
    /// The path of a request, from all values of its field. Values that are not UTF-8 are ignored.
    ///
    /// # Errors
    /// It is longer than the maximum length.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Path, PathRejection> {
        let mut text = String::new();
        for value in values {
            if text.len() + value.len() + 2 > MAX_PATH_BYTES {
                return Err(PathRejection::TooManyHops);
            }
            if let Ok(value) = std::str::from_utf8(value) {
                if !text.is_empty() && !value.trim().is_empty() {
                    text.push_str(", ");
                }
                text.push_str(value.trim());
            }
        }
        Ok(Path(text.into()))
    }

    /// Number of hops.
    pub fn hop_count(&self) -> usize {
        via_entries(&self.0).count()
    }

    /// The path with this hop appended.
    ///
    /// # Errors
    /// The path contains this hop already, or has `max_hops` hops.
    pub fn with_hop(&self, own: &HopMarker, max_hops: usize) -> Result<Path, PathRejection> {
        // The pseudonym is the second word of an entry; a comment that follows it is ignored.
        let pseudonyms = || via_entries(&self.0).map(|entry| entry.split_whitespace().nth(1).unwrap_or(""));
        if pseudonyms().any(|pseudonym| pseudonym == own.text()) {
            return Err(PathRejection::Loop);
        }
        if pseudonyms().count() >= max_hops {
            return Err(PathRejection::TooManyHops);
        }
        let own = own.text();
        Ok(Path(if self.0.is_empty() {
            format!("1.1 {own}").into()
        } else {
            format!("{}, 1.1 {own}", self.0).into()
        }))
    }

    /// Text of the field value.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// The previous hop, for log lines about loops: the last entry without control characters, at most 64 characters.
    pub fn previous_hop(values: &[&[u8]]) -> String {
        let last_value = values.last().and_then(|v| std::str::from_utf8(v).ok()).unwrap_or("");
        let entry = via_entries(last_value).last().unwrap_or("nowhere");
        entry.chars().filter(|c| !c.is_control()).take(64).collect()
    }
}
