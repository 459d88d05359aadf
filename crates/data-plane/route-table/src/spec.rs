//! Pools, routes and expectations as an operator writes them: names, not yet checked.
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Where something stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLocation {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableError {
    /// Where.
    pub place: SourceLocation,
    /// The field, or what the table is called.
    pub field: String,
    /// What.
    pub what: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.place.file, self.place.line, self.field, self.what)
    }
}

/// The names that a deployment knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// Classes, by position.
    pub classes: Vec<String>,
    /// Clubs (tenants), by position. None: all requests are one's.
    pub clubs: Vec<String>,
    /// For each class whether its requests carry a key by which upstreams drop repeats.
    pub keyed: Vec<bool>,
    /// Zones of members.
    pub zones: Vec<String>,
    /// Kinds of members.
    pub kinds: Vec<String>,
}

/// A pool: all members that meet each condition that is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub place: SourceLocation,
    /// Groups (grupos); empty: any.
    pub cells: Vec<u16>,
    /// Zones; empty: any.
    pub zones: Vec<String>,
    /// Kinds; empty: any.
    pub kinds: Vec<String>,
    /// What they speak, `http` or `fastcgi`; none: either.
    pub speaks: Option<String>,
    /// Sources that tell of them; empty: any.
    pub sources: Vec<String>,
    /// Values that keys of their metadata must have.
    pub meta: Vec<(String, String)>,
}

/// What a pool tells members by.
#[derive(Clone, Copy, Debug)]
pub struct Traits<'a> {
    /// Its group.
    pub cell: u16,
    /// Its zone.
    pub zone: &'a str,
    /// Its kind.
    pub kind: &'a str,
    /// What it speaks.
    pub speaks: &'a str,
    /// The sources that tell of it.
    pub sources: &'a [Arc<str>],
    /// Its metadata.
    pub meta: &'a BTreeMap<String, String>,
}

impl Pool {
    /// Whether a member belongs to it.
    pub fn has(&self, member: &Traits) -> bool {
        let one = |all: &[String], name: &str| all.is_empty() || all.iter().any(|n| n == name);
        (self.cells.is_empty() || self.cells.contains(&member.cell))
            && one(&self.zones, member.zone)
            && one(&self.kinds, member.kind)
            && self.speaks.as_deref().is_none_or(|s| s == member.speaks)
            && (self.sources.is_empty() || member.sources.iter().any(|s| one(&self.sources, s)))
            && self.meta.iter().all(|(key, value)| member.meta.get(key) == Some(value))
    }
}

/// What a header must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeaderIs {
    /// There, or absent.
    There(bool),
    /// One of these values.
    OneOf(Vec<String>),
}

/// Conditions on a request; what is not given holds for any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// `http`, `fastcgi`.
    pub fronts: Vec<String>,
    /// A host, or `*.` and what it ends in.
    pub host: Option<String>,
    /// A path; `{name}` for any one segment, `/*` at its end for any further ones.
    pub path: Option<String>,
    /// `GET`, `POST`.
    pub methods: Vec<String>,
    /// Classes.
    pub classes: Vec<String>,
    /// Clubs.
    pub clubs: Vec<String>,
    /// Whether it carries a key.
    pub keyed: Option<bool>,
    /// Headers, by their names in small letters.
    pub headers: Vec<(String, HeaderIs)>,
}

/// By what a split chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitKey {
    /// The request's key; its id where it has none.
    Key,
    /// Its club.
    Club,
    /// Its id.
    Id,
}

/// Where a route leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To a pool.
    Pool(String),
    /// Nowhere, for this reason.
    Refuse(String),
    /// To one of several pools, in parts of 10,000 that sum to that.
    Split(SplitKey, Vec<(String, u32)>),
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub place: SourceLocation,
    /// Of several that match, the least comes first.
    pub precedence: i64,
    /// Which requests.
    pub when: Conditions,
    /// Where they go.
    pub to: Destination,
    /// Most attempts, if fewer than the class allows.
    pub attempts: Option<u32>,
    /// Most time in milliseconds, if less than the caller gives.
    pub time_ms: Option<u64>,
    /// The pool for requests that certainly have not run in the first.
    pub fallback: Option<String>,
}

/// What must be true of all requests in a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// They go to these pools only.
    Only(Vec<String>),
    /// They reach members of these groups only.
    Cells(Vec<u16>),
    /// They are refused by a route.
    Refused,
    /// They are never tried a second time.
    NeverRetried,
    /// A route is there for each.
    Routed,
    /// Nothing else reaches this pool.
    OnlyThese(String),
    /// At most so many parts of 10,000 of them go to this pool.
    AtMost(String, u32),
    /// No two of their clubs share a pool.
    Apart,
}

/// An expectation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub place: SourceLocation,
    /// Which requests.
    pub when: Conditions,
    /// What must be true of them.
    pub claim: Claim,
}
