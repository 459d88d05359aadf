//! What the table is asked of a request, by either front; and why one is turned away.
use crate::driver::AdmissionError;
use route_table::cube;
use route_table::path::segments;
use route_table::spec::{Route, To};
use route_table::table::{Compiled, Table};
use std::borrow::Cow;
use std::time::Duration;

/// What a front knows of a request; what has to be looked up is asked for only where there is a table.
pub struct RequestAttributes<'a> {
    /// The front, by its position in [`cube::FRONTS`].
    pub front: usize,
    /// The method, by its position in [`cube::METHODS`].
    pub method: usize,
    /// The host, perhaps with a port, empty if there is none; `None`: there are several.
    pub host: &'a dyn Fn() -> Option<&'a str>,
    /// Path and query.
    pub target: &'a str,
    /// The key by which upstreams drop repeats.
    pub key: &'a dyn Fn() -> Option<&'a [u8]>,
    /// The request's id.
    pub request_id: &'a dyn Fn() -> &'a [u8],
    /// Every value of a header, by its name in small letters.
    pub headers: &'a dyn Fn(&str) -> Vec<&'a [u8]>,
}

/// Why a request was not taken. Nothing ran for it.
#[derive(Debug)]
pub enum RoutingError {
    /// The driver has no place, or knows its id.
    NotAdmitted(AdmissionError),
    /// What it says can be read in several ways: bad input.
    Ambiguous(&'static str),
    /// No route is there for it.
    NoRoute,
    /// Its route refuses it, for this reason.
    Rejected(String),
    /// Its key went by another pool before a change, and may be repeated until then.
    Migrating(Duration),
}

impl RoutingError {
    /// The route's refusal.
    pub fn refused(route: &Route) -> RoutingError {
        match &route.to {
            To::Refuse(why) => RoutingError::Rejected(why.clone()),
            // All parts are 0, which the table's checks do not let pass.
            _ => RoutingError::NoRoute,
        }
    }
}

/// A request as the table sees it.
pub struct Query<'q, 'a> {
    asked: &'q RequestAttributes<'a>,
    host: Vec<String>,
    path: Vec<Cow<'a, str>>,
    headers: Vec<(&'q str, &'a str)>,
}

impl<'q, 'a> Query<'q, 'a> {
    /// Reads what the table needs.
    ///
    /// # Errors
    /// It can be read in several ways.
    pub fn of(
        asked: &'q RequestAttributes<'a>,
        needed: impl Iterator<Item = &'q String>,
    ) -> Result<Query<'q, 'a>, RoutingError> {
        let path = asked.target.split('?').next().unwrap_or("");
        let path = segments(path).map_err(|why| RoutingError::Ambiguous(why.words()))?;
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
        Ok(Query { asked, host, path, headers })
    }

    /// Whether it meets the conditions of a route.
    pub fn meets(&self, route: &Compiled, class: usize, club: usize) -> bool {
        self.asks(class, club, |query| route.cube.has(query))
    }

    /// Its route, and its pool there unless it is refused; `None`: there is no route.
    pub fn in_table<'t>(
        &self,
        table: &'t Table,
        class: usize,
        club: usize,
    ) -> Option<(&'t Compiled, Option<usize>)> {
        let route = self.asks(class, club, |query| table.route(query))?;
        Some((route, table.pool(route, (self.asked.key)(), club, (self.asked.request_id)())))
    }

    fn asks<R>(&self, class: usize, club: usize, ask: impl FnOnce(&cube::Query) -> R) -> R {
        let host: Vec<&str> = self.host.iter().map(String::as_str).collect();
        let path: Vec<&str> = self.path.iter().map(|s| &**s).collect();
        let header = |name: &str| self.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        ask(&cube::Query {
            front: self.asked.front,
            method: self.asked.method,
            class,
            club,
            keyed: (self.asked.key)().is_some(),
            host: &host,
            path: &path,
            header: &header,
        })
    }
}
