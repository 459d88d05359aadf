//! Pools, routes and expectations as written by an operator. Names in them are not validated yet.
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// A position in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLocation {
    /// Path of the file.
    pub file: Arc<str>,
    /// Line number, counted from 1.
    pub line: usize,
}

/// A fault in a table or an expectation, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableError {
    /// Position of the faulty pool, route or expectation.
    pub place: SourceLocation,
    /// Path of the faulty field, or kind and name of the faulty item.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.place.file, self.place.line, self.field, self.message)
    }
}

/// The names that are defined in a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// Request classes, by position.
    pub classes: Vec<String>,
    /// Tenants, by position. Empty: all requests belong to the same tenant.
    pub clubs: Vec<String>,
    /// For each class, whether its requests have a key by which upstreams deduplicate retries.
    pub keyed: Vec<bool>,
    /// Zones of pool members.
    pub zones: Vec<String>,
    /// Machine kinds of pool members.
    pub kinds: Vec<String>,
}

/// A pool: all members that meet every condition given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Position in the file.
    pub place: SourceLocation,
    /// Cells; empty: any.
    pub cells: Vec<u16>,
    /// Zones; empty: any.
    pub zones: Vec<String>,
    /// Machine kinds; empty: any.
    pub kinds: Vec<String>,
    /// Protocol of the members, `http` or `fastcgi`; `None`: either.
    pub speaks: Option<String>,
    /// Discovery sources that list the members; empty: any.
    pub sources: Vec<String>,
    /// Required metadata, as pairs of key and value.
    pub meta: Vec<(String, String)>,
}

/// Attributes of a member by which pools select it.
#[derive(Clone, Copy, Debug)]
pub struct Traits<'a> {
    /// Cell.
    pub cell: u16,
    /// Zone.
    pub zone: &'a str,
    /// Machine kind.
    pub kind: &'a str,
    /// Protocol, `http` or `fastcgi`.
    pub speaks: &'a str,
    /// Discovery sources that list it.
    pub sources: &'a [Arc<str>],
    /// Metadata.
    pub meta: &'a BTreeMap<String, String>,
}

impl Pool {
    /// Whether a member belongs to the pool.
    pub fn has(&self, member: &Traits) -> bool {
        let allows = |names: &[String], name: &str| names.is_empty() || names.iter().any(|n| n == name);
        (self.cells.is_empty() || self.cells.contains(&member.cell))
            && allows(&self.zones, member.zone)
            && allows(&self.kinds, member.kind)
            && self.speaks.as_deref().is_none_or(|s| s == member.speaks)
            && (self.sources.is_empty() || member.sources.iter().any(|s| allows(&self.sources, s)))
            && self.meta.iter().all(|(key, value)| member.meta.get(key) == Some(value))
    }
}

/// Condition on a header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeaderCondition {
    /// Present (`true`) or absent (`false`).
    Present(bool),
    /// Present with one of these values.
    OneOf(Vec<String>),
}

/// Conditions on a request; an attribute without a condition may have any value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Front ends: `http`, `fastcgi`.
    pub fronts: Vec<String>,
    /// Host, or `*.` and a domain, which matches its subdomains.
    pub host: Option<String>,
    /// Path pattern: `{name}` matches any one segment, a final `/*` any number of further ones.
    pub path: Option<String>,
    /// Methods: `GET`, `POST`.
    pub methods: Vec<String>,
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub clubs: Vec<String>,
    /// Whether the request has an idempotency key.
    pub keyed: Option<bool>,
    /// Headers, by their names in lower case.
    pub headers: Vec<(String, HeaderCondition)>,
}

/// Attribute of a request by which a split chooses the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitKey {
    /// Idempotency key of the request, or its id if it has none.
    Key,
    /// Tenant of the request.
    Club,
    /// Id of the request.
    Id,
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A pool.
    Pool(String),
    /// None: the requests are refused with this reason.
    Refuse(String),
    /// One of several pools, with weights that sum to 10,000.
    Split(SplitKey, Vec<(String, u32)>),
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Position in the file.
    pub place: SourceLocation,
    /// Precedence: of several matching routes, the one with the lowest value applies.
    pub precedence: i64,
    /// Conditions on the requests.
    pub when: Conditions,
    /// Destination of the requests.
    pub to: Destination,
    /// Maximum number of attempts, if lower than the class's.
    pub attempts: Option<u32>,
    /// Maximum time in milliseconds, if shorter than the client's deadline.
    pub time_ms: Option<u64>,
    /// Pool for requests that certainly have not run in the first pool.
    pub fallback: Option<String>,
}

/// Statement that must be true of all requests in a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The requests go only to these pools.
    Only(Vec<String>),
    /// The requests reach only members of these cells.
    Cells(Vec<u16>),
    /// The requests are refused by a route.
    Refused,
    /// The requests are never retried.
    NeverRetried,
    /// Every request has a route.
    Routed,
    /// No other requests reach this pool.
    OnlyThese(String),
    /// At most this share of the requests, in parts of 10,000, goes to this pool.
    AtMost(String, u32),
    /// No two tenants of the requests share a pool.
    Apart,
}

/// An expectation about the routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Name.
    pub name: String,
    /// Position in the file.
    pub place: SourceLocation,
    /// Conditions on the requests.
    pub when: Conditions,
    /// Statement about the requests.
    pub claim: Claim,
}
