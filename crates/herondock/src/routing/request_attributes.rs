//! Attributes of a request that the routing table evaluates, for either front, and reasons why a request is not
//! routed.
use crate::driver::AdmissionError;
use route_table::cube;
use route_table::path::segments;
use route_table::spec::{Destination, Route};
use route_table::table::{Compiled, Table};
use std::borrow::Cow;
use std::time::Duration;

/// Attributes of a request, as a front provides them. The functions are called only if there is a routing table.
pub struct RequestAttributes<'a> {
    /// Position of the front in [`cube::FRONTS`].
    pub front: usize,
    /// Position of the method in [`cube::METHODS`].
    pub method: usize,
    /// Returns the host, possibly with a port; empty: there is none; `None`: there are several.
    pub host: &'a dyn Fn() -> Option<&'a str>,
    /// Path and query.
    pub target: &'a str,
    /// Returns the idempotency key.
    pub key: &'a dyn Fn() -> Option<&'a [u8]>,
    /// Returns the request's id.
    pub request_id: &'a dyn Fn() -> &'a [u8],
    /// Returns every value of a header, by its name in lower case.
    pub headers: &'a dyn Fn(&str) -> Vec<&'a [u8]>,
}

/// Reason why a request was not admitted. Nothing ran for it.
#[derive(Debug, thiserror::Error)]
pub enum RoutingError {
    /// The driver did not admit it.
    #[error(transparent)]
    NotAdmitted(#[from] AdmissionError),
    /// It can be interpreted in several ways, which is invalid input.
    #[error("{0}")]
    Ambiguous(&'static str),
    /// No route matches it.
    #[error("there is no route for it")]
    NoRoute,
    /// Its route rejects it, with this reason.
    #[error("{0}")]
    Rejected(String),
    /// Requests with its idempotency key went to another pool before a change of the table, and may be retried for
    /// this time.
    #[error("requests with its key are migrating")]
    Migrating(Duration),
}

impl RoutingError {
    /// Returns the error for a route that leads to no pool.
    pub fn rejected_by(route: &Route) -> RoutingError {
        match &route.to {
            Destination::Refuse(why) => RoutingError::Rejected(why.clone()),
            // All weights of a split are 0, which the checks of the table reject.
            _ => RoutingError::NoRoute,
        }
    }
}

/// Parsed attributes of a request, as the routing table evaluates them.
pub struct Query<'q, 'a> {
    attributes: &'q RequestAttributes<'a>,
    host: Vec<String>,
    path: Vec<Cow<'a, str>>,
    headers: Vec<(&'q str, &'a str)>,
}

impl<'q, 'a> Query<'q, 'a> {
    /// Parses a request's attributes, including the headers in `needed`.
    ///
    /// # Errors
    /// The request can be interpreted in several ways.
    pub fn parse(
        request: &'q RequestAttributes<'a>,
        needed: impl Iterator<Item = &'q String>,
    ) -> Result<Query<'q, 'a>, RoutingError> {
        let path = request.target.split('?').next().unwrap_or("");
        let path = segments(path).map_err(|error| RoutingError::Ambiguous(error.description()))?;
        let host = (request.host)().ok_or(RoutingError::Ambiguous("there are several hosts"))?;
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => host,
        };
        // A name may end with the dot of the DNS root (RFC 3986, section 3.2.2).
        let name = name.strip_suffix('.').unwrap_or(name);
        let host = name.split('.').rev().map(str::to_ascii_lowercase).collect();
        let mut headers = Vec::new();
        for name in needed {
            match (request.headers)(name)[..] {
                [] => {}
                [value] => match std::str::from_utf8(value) {
                    Ok(value) => headers.push((name.as_str(), value)),
                    Err(_) => return Err(RoutingError::Ambiguous("a header that routes go by is no text")),
                },
                _ => {
                    return Err(RoutingError::Ambiguous("a header that routes go by is there several times"))
                }
            }
        }
        Ok(Query { attributes: request, host, path, headers })
    }

    /// Whether the request matches the conditions of a route.
    pub fn matches(&self, route: &Compiled, class: usize, tenant: usize) -> bool {
        self.evaluate(class, tenant, |query| route.cube.has(query))
    }

    /// Returns the route of the request in a table, and the index of its pool unless the route rejects it; `None`: no
    /// route matches.
    pub fn route_in<'t>(
        &self,
        table: &'t Table,
        class: usize,
        tenant: usize,
    ) -> Option<(&'t Compiled, Option<usize>)> {
        let route = self.evaluate(class, tenant, |query| table.route(query))?;
        Some((route, table.pool(route, (self.attributes.key)(), tenant, (self.attributes.request_id)())))
    }

    /// Calls `lookup` with the query for a class and the tenant at position `club`.
    fn evaluate<R>(&self, class: usize, club: usize, lookup: impl FnOnce(&cube::Query) -> R) -> R {
        let host: Vec<&str> = self.host.iter().map(String::as_str).collect();
        let path: Vec<&str> = self.path.iter().map(|s| &**s).collect();
        let header = |name: &str| self.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        lookup(&cube::Query {
            front: self.attributes.front,
            method: self.attributes.method,
            class,
            club,
            keyed: (self.attributes.key)().is_some(),
            host: &host,
            path: &path,
            header: &header,
        })
    }
}
