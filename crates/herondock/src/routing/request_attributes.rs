//! What the routing table needs to know of a request, for either front, and why a request is not routed.
use crate::driver::AdmissionError;
use route_table::cube;
use route_table::path::segments;
use route_table::spec::{Destination, Route};
use route_table::table::{Compiled, Table};
use std::borrow::Cow;
use std::time::Duration;

/// What a front knows of a request. Functions are called only where there is a table.
pub struct RequestAttributes<'a> {
    /// Position of the front in [`cube::FRONTS`].
    pub front: usize,
    /// Position of the method in [`cube::METHODS`].
    pub method: usize,
    /// The host, perhaps with a port, empty if there is none; `None`: there are several.
    pub host: &'a dyn Fn() -> Option<&'a str>,
    /// Path and query.
    pub target: &'a str,
    /// The idempotency key.
    pub key: &'a dyn Fn() -> Option<&'a [u8]>,
    /// The request's id.
    pub request_id: &'a dyn Fn() -> &'a [u8],
    /// Every value of a header, by its name in lower case.
    pub headers: &'a dyn Fn(&str) -> Vec<&'a [u8]>,
}

/// Why a request was not admitted. Nothing ran for it.
#[derive(Debug, thiserror::Error)]
pub enum RoutingError {
    /// The driver did not admit it.
    #[error(transparent)]
    NotAdmitted(#[from] AdmissionError),
    /// It can be interpreted in several ways: bad input.
    #[error("{0}")]
    Ambiguous(&'static str),
    /// No route matches it.
    #[error("there is no route for it")]
    NoRoute,
    /// Its route rejects it, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// Requests with its idempotency key went to another pool before a change of the table, and may be retried for this long.
    #[error("requests with its key are migrating")]
    Migrating(Duration),
}

impl RoutingError {
    /// The rejection by a route.
    pub fn rejected_by(route: &Route) -> RoutingError {
        match &route.to {
            Destination::Refuse(why) => RoutingError::Rejected(why.clone()),
            // All weights are 0, which the table's checks reject.
            _ => RoutingError::NoRoute,
        }
    }
}

/// A request as the table evaluates it.
pub struct Query<'q, 'a> {
    attributes: &'q RequestAttributes<'a>,
    host: Vec<String>,
    path: Vec<Cow<'a, str>>,
    headers: Vec<(&'q str, &'a str)>,
}

impl<'q, 'a> Query<'q, 'a> {
    /// Parses what the table needs.
    ///
    /// # Errors
    /// It can be interpreted in several ways.
    pub fn parse(
        asked: &'q RequestAttributes<'a>,
        needed: impl Iterator<Item = &'q String>,
    ) -> Result<Query<'q, 'a>, RoutingError> {
        let path = asked.target.split('?').next().unwrap_or("");
        let path = segments(path).map_err(|why| RoutingError::Ambiguous(why.description()))?;
        let host = (asked.host)().ok_or(RoutingError::Ambiguous("there are several hosts"))?;
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => host,
        };
        // A name may end with the root's dot (RFC 3986, section 3.2.2).
        let name = name.strip_suffix('.').unwrap_or(name);
        let host = name.split('.').rev().map(str::to_ascii_lowercase).collect();
        let mut headers = Vec::new();
        for name in needed {
            match (asked.headers)(name)[..] {
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
        Ok(Query { attributes: asked, host, path, headers })
    }

    /// Whether it matches the conditions of a route.
    pub fn matches(&self, route: &Compiled, class: usize, club: usize) -> bool {
        self.evaluate(class, club, |query| route.cube.has(query))
    }

    /// Its route, and the pool there unless the route rejects it; `None`: no route matches.
    pub fn route_in<'t>(
        &self,
        table: &'t Table,
        class: usize,
        club: usize,
    ) -> Option<(&'t Compiled, Option<usize>)> {
        let route = self.evaluate(class, club, |query| table.route(query))?;
        Some((route, table.pool(route, (self.attributes.key)(), club, (self.attributes.request_id)())))
    }

    fn evaluate<R>(&self, class: usize, club: usize, ask: impl FnOnce(&cube::Query) -> R) -> R {
        let host: Vec<&str> = self.host.iter().map(String::as_str).collect();
        let path: Vec<&str> = self.path.iter().map(|s| &**s).collect();
        let header = |name: &str| self.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        ask(&cube::Query {
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
