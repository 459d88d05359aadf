//! Patterns of paths and hosts as lists of segments, and regions: a pattern without some other patterns.
use crate::path::{segments, MAX_SEGMENTS};
use std::sync::Arc;

/// A pattern that matches lists of segments.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern {
    /// Segments; `None` matches any one segment.
    pub segments: Vec<Option<Box<str>>>,
    /// Whether any number of further segments may follow.
    pub any_suffix: bool,
}

impl Pattern {
    /// The pattern that matches every list of segments.
    pub fn any() -> Pattern {
        Pattern { segments: Vec::new(), any_suffix: true }
    }

    /// Parses a path pattern. `{name}` matches any one segment, and a final `/*` any number of further ones, including
    /// none.
    ///
    /// # Errors
    /// The pattern is invalid.
    pub fn path(text: &str) -> Result<Pattern, String> {
        let (text, any_suffix) = match text.strip_suffix("/*") {
            Some(before) => (before, true),
            None => (text, false),
        };
        if text.is_empty() && any_suffix {
            return Ok(Pattern::any());
        }
        if text.contains('*') {
            return Err("has a * other than a final /*".into());
        }
        let segments = segments(text).map_err(|e| e.description().to_string())?;
        let parse_segment = |segment: &str| match segment.strip_prefix('{').and_then(|s| s.strip_suffix('}'))
        {
            Some(name) if !name.is_empty() && !name.contains(['{', '}']) => Ok(None),
            None if !segment.contains(['{', '}']) => Ok(Some(segment.into())),
            _ => Err(format!("{segment:?} is not a valid {{name}} placeholder")),
        };
        Ok(Pattern {
            segments: segments.iter().map(|s| parse_segment(s)).collect::<Result<_, _>>()?,
            any_suffix,
        })
    }

    /// Parses a host pattern into its labels in reverse order and lower case. A leading `*.` matches one or more labels.
    ///
    /// # Errors
    /// The pattern is invalid.
    pub fn host(text: &str) -> Result<Pattern, String> {
        let (name, any_suffix) = match text.strip_prefix("*.") {
            Some(rest) => (rest, true),
            None => (text, false),
        };
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b':';
        let labels: Vec<&str> = name.split('.').collect();
        if labels.len() >= MAX_SEGMENTS || labels.iter().any(|l| l.is_empty() || !l.bytes().all(is_allowed)) {
            return Err("is neither a host name nor *. followed by a domain".into());
        }
        let mut segments: Vec<Option<Box<str>>> =
            labels.iter().rev().map(|l| Some(l.to_ascii_lowercase().into())).collect();
        if any_suffix {
            segments.push(None);
        }
        Ok(Pattern { segments, any_suffix })
    }

    /// Whether the pattern matches a list of segments.
    pub fn matches<S: AsRef<str>>(&self, all: &[S]) -> bool {
        let is_match =
            |(own, given): (&Option<Box<str>>, &S)| own.as_deref().is_none_or(|own| own == given.as_ref());
        (all.len() == self.segments.len() || (self.any_suffix && all.len() > self.segments.len()))
            && self.segments.iter().zip(all).all(is_match)
    }

    /// Whether some list of segments matches both patterns.
    pub fn overlaps(&self, other: &Pattern) -> bool {
        let (short, long) =
            if self.segments.len() <= other.segments.len() { (self, other) } else { (other, self) };
        let is_match = |(a, b): (&Option<Box<str>>, &Option<Box<str>>)| a.is_none() || b.is_none() || a == b;
        (short.segments.len() == long.segments.len() || short.any_suffix)
            && short.segments.iter().zip(&long.segments).all(is_match)
    }

    /// The pattern of everything that both patterns match; `None` if there is nothing.
    pub fn intersection(&self, other: &Pattern) -> Option<Pattern> {
        let (short, long) =
            if self.segments.len() <= other.segments.len() { (self, other) } else { (other, self) };
        if short.segments.len() < long.segments.len() && !short.any_suffix {
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
        Some(Pattern { segments, any_suffix: short.any_suffix && long.any_suffix })
    }
}

/// The lists of segments that match one pattern and none of some other patterns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Pattern that must match.
    pub pattern: Pattern,
    /// Patterns that must not match. They are shared, because a proof uses the same ones in many regions.
    pub except: Vec<Arc<Pattern>>,
}

/// A segment text that no pattern of the region contains.
fn unused_text(region: &Region) -> String {
    let texts = || {
        region.except.iter().map(|p| &**p).chain([&region.pattern]).flat_map(|p| p.segments.iter().flatten())
    };
    let mut name = "x".to_string();
    while texts().any(|t| **t == *name) {
        name.push('x');
    }
    name
}

impl Region {
    /// The region of everything.
    pub fn any() -> Region {
        Region { pattern: Pattern::any(), except: Vec::new() }
    }

    /// The region of everything that a pattern matches.
    pub fn of(pattern: Pattern) -> Region {
        Region { pattern, except: Vec::new() }
    }

    /// The intersection of two regions; `None` if it is empty.
    pub fn intersection(&self, other: &Region) -> Option<Region> {
        let pattern = self.pattern.intersection(&other.pattern)?;
        let mut except: Vec<Arc<Pattern>> = Vec::new();
        // Keeps only exclusions that overlap the new pattern.
        for exclusion in self.except.iter().chain(&other.except) {
            if exclusion.overlaps(&pattern) && !except.contains(exclusion) {
                except.push(exclusion.clone());
            }
        }
        let region = Region { pattern, except };
        region.example().is_some().then_some(region)
    }

    /// The difference of two regions, as disjoint regions.
    pub fn without(&self, other: &Region) -> Vec<Region> {
        let mut outside = self.clone();
        if other.pattern.overlaps(&self.pattern) {
            outside.except.push(Arc::new(other.pattern.clone()));
        }
        let mut regions: Vec<Region> = outside.example().is_some().then_some(outside).into_iter().collect();
        // Adds what the other region excludes, as disjoint pieces.
        let mut previous: Vec<Arc<Pattern>> = Vec::new();
        for exclusion in &other.except {
            let Some(pattern) =
                self.pattern.intersection(&other.pattern).and_then(|both| both.intersection(exclusion))
            else {
                continue;
            };
            let except = self.except.iter().chain(&previous).cloned().collect();
            let piece = Region { pattern, except };
            if piece.example().is_some() {
                regions.push(piece);
            }
            previous.push(exclusion.clone());
        }
        regions
    }

    /// The shortest list of segments in the region. Wildcard segments get a text that no pattern contains: only wildcards
    /// match it, so a pattern that excludes it excludes every text in its place, and then no other text needs to be tried
    /// at that length.
    pub fn example(&self) -> Option<Vec<String>> {
        let unused = unused_text(self);
        let min_length = self.pattern.segments.len();
        let max_length = if self.pattern.any_suffix {
            self.except.iter().map(|p| p.segments.len()).fold(min_length, usize::max) + 1
        } else {
            min_length
        };
        (min_length..=max_length).find_map(|length| {
            let named = self.pattern.segments.iter().map(|s| s.as_deref().unwrap_or(&unused));
            let all: Vec<String> =
                named.chain(std::iter::repeat(&*unused)).take(length).map(String::from).collect();
            // A path has at least one segment, and a host at least one label.
            (length > 0 && !self.except.iter().any(|p| p.matches(&all))).then_some(all)
        })
    }
}
