//! Where a request has been: the entries of `Via` (RFC 9110, section 7.6.3), which proxies pass on where they drop what they
//! don't know. Each pool adds a pseudonym that tells outsiders nothing; a request that carries one's own has come back.
use crate::grammar::Stop;
use std::fmt;
use std::rc::Rc;

/// Longest path that is looked at, in bytes.
const MAX_PATH_BYTES: usize = 2048;

/// The pseudonym of a pool: the same for all its instances, and for nobody to guess who has not its secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopMarker(Rc<str>);

impl HopMarker {
    /// The mark of this pool under this secret.
    pub fn new(secret: &[u8], pool: &str) -> HopMarker {
        HopMarker(format!("hd-{:016x}", hashing::keyed(secret, pool.as_bytes())).into())
    }

    /// As it stands in the path.
    pub fn text(&self) -> &str {
        &self.0
    }
}

/// Why a request goes no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathRejection {
    /// It carries this pool's mark.
    Loop,
    /// It has been at too many places.
    Hops,
}

impl PathRejection {
    /// What its caller is told.
    pub fn stop(self) -> Stop {
        match self {
            PathRejection::Loop => Stop::Loop,
            PathRejection::Hops => Stop::Hops,
        }
    }
}

impl fmt::Display for PathRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PathRejection::Loop => "the request has been here before: its route is a loop",
            PathRejection::Hops => "the request has been at too many places",
        })
    }
}

/// Where a request has been, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path(Rc<str>);

/// The entries of one text, split at commas outside comments.
fn entries(text: &str) -> impl Iterator<Item = &str> {
    let mut depth = 0_u32;
    text.split(move |c| {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && depth == 0
    })
    .map(str::trim)
    .filter(|entry| !entry.is_empty())
}

impl Path {
    /// The path of a request, from every value of its field. What is no text is left out.
    ///
    /// # Errors
    /// It is longer than any that is looked at.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Path, PathRejection> {
        let mut text = String::new();
        for value in values {
            if text.len() + value.len() + 2 > MAX_PATH_BYTES {
                return Err(PathRejection::Hops);
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

    /// How many places it names.
    pub fn hops(&self) -> usize {
        entries(&self.0).count()
    }

    /// The path with this place behind it.
    ///
    /// # Errors
    /// It is on it already, or there are `most` places on it.
    pub fn visit(&self, own: &HopMarker, most: usize) -> Result<Path, PathRejection> {
        // A comment of somebody's, behind the pseudonym, is no place.
        let places = || entries(&self.0).map(|entry| entry.split_whitespace().nth(1).unwrap_or(""));
        if places().any(|place| place == own.text()) {
            return Err(PathRejection::Loop);
        }
        if places().count() >= most {
            return Err(PathRejection::Hops);
        }
        let own = own.text();
        Ok(Path(if self.0.is_empty() {
            format!("1.1 {own}").into()
        } else {
            format!("{}, 1.1 {own}", self.0).into()
        }))
    }

    /// As it is written.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// The place before this one, for whoever looks for a loop.
    pub fn last(values: &[&[u8]]) -> String {
        let last = values.last().and_then(|v| std::str::from_utf8(v).ok()).unwrap_or("");
        let entry = entries(last).last().unwrap_or("nowhere");
        entry.chars().filter(|c| !c.is_control()).take(64).collect()
    }
}
