//! Patterns of paths and hosts, as lists of segments; and what is left of one without some others.
use crate::path::{segments, MAX_SEGMENTS};
use std::sync::Arc;

/// A pattern of segments.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern {
    /// Each is a text or, `None`, any one.
    pub segments: Vec<Option<Box<str>>>,
    /// Any further ones may follow.
    pub more: bool,
}

impl Pattern {
    /// What every list of segments matches.
    pub fn any() -> Pattern {
        Pattern { segments: Vec::new(), more: true }
    }

    /// A path's: `{name}` for any one segment, `/*` at the end for any further ones, none too.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn path(text: &str) -> Result<Pattern, String> {
        let (text, more) = match text.strip_suffix("/*") {
            Some(before) => (before, true),
            None => (text, false),
        };
        if text.is_empty() && more {
            return Ok(Pattern::any());
        }
        if text.contains('*') {
            return Err("has a * that is not /* at its end".into());
        }
        let all = segments(text).map_err(|e| e.description().to_string())?;
        let one = |segment: &str| match segment.strip_prefix('{').and_then(|s| s.strip_suffix('}')) {
            Some(name) if !name.is_empty() && !name.contains(['{', '}']) => Ok(None),
            None if !segment.contains(['{', '}']) => Ok(Some(segment.into())),
            _ => Err(format!("{segment:?} is no {{name}} of a segment")),
        };
        Ok(Pattern { segments: all.iter().map(|s| one(s)).collect::<Result<_, _>>()?, more })
    }

    /// A host's: its labels from behind, in small letters; `*.` for one or more before the others.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn host(text: &str) -> Result<Pattern, String> {
        let (name, more) = match text.strip_prefix("*.") {
            Some(rest) => (rest, true),
            None => (text, false),
        };
        let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b':';
        let labels: Vec<&str> = name.split('.').collect();
        if labels.len() >= MAX_SEGMENTS || labels.iter().any(|l| l.is_empty() || !l.bytes().all(plain)) {
            return Err("is no host, nor *. and the end of one".into());
        }
        let mut segments: Vec<Option<Box<str>>> =
            labels.iter().rev().map(|l| Some(l.to_ascii_lowercase().into())).collect();
        if more {
            segments.push(None);
        }
        Ok(Pattern { segments, more })
    }

    /// Whether it matches these segments.
    pub fn matches<S: AsRef<str>>(&self, all: &[S]) -> bool {
        let fits =
            |(own, given): (&Option<Box<str>>, &S)| own.as_deref().is_none_or(|own| own == given.as_ref());
        (all.len() == self.segments.len() || (self.more && all.len() > self.segments.len()))
            && self.segments.iter().zip(all).all(fits)
    }

    /// Whether something matches both.
    pub fn meets(&self, other: &Pattern) -> bool {
        let (short, long) =
            if self.segments.len() <= other.segments.len() { (self, other) } else { (other, self) };
        let fits = |(a, b): (&Option<Box<str>>, &Option<Box<str>>)| a.is_none() || b.is_none() || a == b;
        (short.segments.len() == long.segments.len() || short.more)
            && short.segments.iter().zip(&long.segments).all(fits)
    }

    /// What both match, which is a pattern too; `None`: nothing.
    pub fn intersection(&self, other: &Pattern) -> Option<Pattern> {
        let (short, long) =
            if self.segments.len() <= other.segments.len() { (self, other) } else { (other, self) };
        if short.segments.len() < long.segments.len() && !short.more {
            return None;
        }
        let mut segments = long.segments.clone();
        for (own, given) in segments.iter_mut().zip(&short.segments) {
            match (own.as_deref(), given.as_deref()) {
                (Some(a), Some(b)) if a != b => return None,
                (None, Some(_)) => own.clone_from(given),
                _ => {}
            }
        }
        Some(Pattern { segments, more: short.more && long.more })
    }
}

/// What a pattern matches and none of some others does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Matched.
    pub is: Pattern,
    /// Not matched. Shared: a proof carries the same ones through many regions.
    pub but: Vec<Arc<Pattern>>,
}

/// A text that no pattern names.
fn fresh(region: &Region) -> String {
    let texts =
        || region.but.iter().map(|p| &**p).chain([&region.is]).flat_map(|p| p.segments.iter().flatten());
    let mut name = "x".to_string();
    while texts().any(|t| **t == *name) {
        name.push('x');
    }
    name
}

impl Region {
    /// Everything.
    pub fn any() -> Region {
        Region { is: Pattern::any(), but: Vec::new() }
    }

    /// What a pattern matches.
    pub fn of(is: Pattern) -> Region {
        Region { is, but: Vec::new() }
    }

    /// What both hold; `None`: nothing.
    pub fn intersection(&self, other: &Region) -> Option<Region> {
        let is = self.is.intersection(&other.is)?;
        let mut but: Vec<Arc<Pattern>> = Vec::new();
        // Only what takes something away.
        for pattern in self.but.iter().chain(&other.but) {
            if pattern.meets(&is) && !but.contains(pattern) {
                but.push(pattern.clone());
            }
        }
        let met = Region { is, but };
        met.example().is_some().then_some(met)
    }

    /// What it holds and the other does not, as regions that have nothing in common.
    pub fn without(&self, other: &Region) -> Vec<Region> {
        let mut outside = self.clone();
        if other.is.meets(&self.is) {
            outside.but.push(Arc::new(other.is.clone()));
        }
        let mut all: Vec<Region> = outside.example().is_some().then_some(outside).into_iter().collect();
        // And what the other leaves out, piece by piece.
        let mut before: Vec<Arc<Pattern>> = Vec::new();
        for hole in &other.but {
            let Some(is) = self.is.intersection(&other.is).and_then(|is| is.intersection(hole)) else {
                continue;
            };
            let but = self.but.iter().chain(&before).cloned().collect();
            let piece = Region { is, but };
            if piece.example().is_some() {
                all.push(piece);
            }
            before.push(hole.clone());
        }
        all
    }

    /// The shortest list of segments in it. Any one segment may be a text that nobody names: what matches that matches every
    /// other text in its place, so that if this is left out at some length, all are.
    pub fn example(&self) -> Option<Vec<String>> {
        let fresh = fresh(self);
        let least = self.is.segments.len();
        let most = if self.is.more {
            self.but.iter().map(|p| p.segments.len()).fold(least, usize::max) + 1
        } else {
            least
        };
        (least..=most).find_map(|length| {
            let named = self.is.segments.iter().map(|s| s.as_deref().unwrap_or(&fresh));
            let all: Vec<String> =
                named.chain(std::iter::repeat(&*fresh)).take(length).map(String::from).collect();
            // A path has a segment at least; a host a label.
            (length > 0 && !self.but.iter().any(|p| p.matches(&all))).then_some(all)
        })
    }
}
