//! Attempts over FastCGI 1.0: one request to one application, once, alone on its connection.
//!
//! | what happens | has it run? | counts as |
//! | --- | --- | --- |
//! | the connection is refused or never comes up | never | could not connect |
//! | it breaks before the last STDIN record is written | never: an application begins with its last byte | could not connect |
//! | it breaks or ends after that, also in the middle of an answer | it may have | reset |
//! | END with OVERLOADED, CANT_MPX_CONN or UNKNOWN_ROLE, and nothing before it | never | turned away |
//! | the same behind output | it may have | error |
//! | END, and no output, or on STDERR only, whatever its status | it may have | error |
//! | END, and output without a head that can be read | it may have | error |
//! | status 503 or 504 with `Srv-Declined: 1` | never | turned away |
//! | status 200 | yes | served |
//! | status 4xx | it may have | the caller's fault |
//! | any other status | it may have | error |
//! | nothing | it may have, or may yet | timed out |
//!
//! An attempt alone on its connection that is called off closes it: nothing of it can reach another request. On a connection
//! with several it is called off by ABORT, and its id is not used again before its END.
//!
//! | file | its job |
//! | --- | --- |
//! | `alone.rs` | one request at a time on a connection |
//! | `shared.rs` | several, where the application said that it takes them |
//! | `asked.rs` | asks it |
//! | `wire.rs` | a connection: the machine and its socket |
mod capabilities;
mod connection;
mod exclusive;
mod multiplexed;

use super::connection_pool::{ConnectionSettings, Peer, PooledConnection, UpstreamProtocol};
use crate::exchange::{Answer, Attempt, AttemptResult, Fields, Method, Request, Upstream};
use crate::http::{belongs_to_a_hop, DEADLINE};
use balancer::Ending;
use bytes::Bytes;
use capabilities::CapabilityCache;
use exclusive::ExclusiveConnection;
use fastcgi::cgi::Head;
use fastcgi::client::{Client, Outcome};
use fastcgi::Limits;
use multiplexed::{Links, PooledLink};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Params that the operator declares, with their templates: `{path}` and `{query}` stand for those of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params(pub Vec<(String, String)>);

/// What goes to every upstream that speaks FastCGI.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Declared params.
    pub params: Params,
    /// Requests at once on a connection to an application that takes several; 1: none is asked.
    pub multiplex: usize,
}

/// An upstream that speaks FastCGI.
pub fn upstream(reach: ConnectionSettings, addr: SocketAddr, settings: Rc<Settings>) -> Rc<dyn Upstream> {
    Peer::new(reach, FastCgi { settings, asked: CapabilityCache::default(), links: Links::default() }, addr)
}

/// FastCGI 1.0, to a responder.
pub struct FastCgi {
    settings: Rc<Settings>,
    /// Whether it takes several requests at once.
    asked: CapabilityCache,
    /// Connections with several requests, or with one that was called off and has not ended.
    links: Links,
}

/// A connection that carries nothing.
pub enum Conn {
    /// One request at a time.
    Alone(Box<ExclusiveConnection>),
    /// Several.
    Shared(PooledLink),
}

impl PooledConnection for Conn {
    fn is_reusable(&self) -> bool {
        match self {
            Conn::Alone(alone) => alone.wire.clean(),
            Conn::Shared(held) => held.clean(),
        }
    }

    fn is_closed(&self) -> bool {
        match self {
            Conn::Alone(alone) => alone.wire.closed(),
            Conn::Shared(held) => held.closed(),
        }
    }
}

impl UpstreamProtocol for FastCgi {
    type Conn = Conn;

    async fn execute(peer: &Rc<Peer<FastCgi>>, attempt: Attempt) -> AttemptResult {
        let outcome = match capabilities::at_once(peer, &attempt) {
            Some(most) => multiplexed::carry_out(peer, attempt.clone(), most).await,
            None => exclusive::carry_out(peer, attempt.clone()).await,
        };
        match outcome {
            Ok(Outcome::Answered(head, body)) => {
                let is = |name: &str, field: &[u8]| field.eq_ignore_ascii_case(name.as_bytes());
                attempt
                    .record_usage(|name| head.fields.iter().find(|(n, _)| is(name, n)).map(|(_, v)| &v[..]));
                answered(&head, body, attempt.used_field())
            }
            Ok(Outcome::Refused(_)) => (Ending::Full, None),
            Ok(Outcome::Useless(..)) => (Ending::Error, None),
            Err(ending) => (ending, None),
        }
    }
}

/// The machine of a new connection.
fn machine(peer: &Peer<FastCgi>) -> Client {
    let limits = peer.settings.limits.get();
    let requests = peer.protocol.settings.multiplex.max(1);
    Client::new(Limits { head: limits.head, body: limits.body, requests, ..Limits::default() })
}

/// Begins an attempt's request: its id.
fn begin(peer: &Peer<FastCgi>, client: &mut Client, attempt: &Attempt) -> Option<u16> {
    let now = Instant::now();
    let left = format!("{}u", (attempt.deadline - now).as_micros());
    let (deadline, carried) = (DEADLINE, attempt.budget_fields(now));
    let own = [(deadline.as_str(), left)].into_iter().chain(carried.into_iter().flatten());
    let params = params(&attempt.request, &peer.protocol.settings.params, own);
    let all = params.iter().map(|(name, value)| (&name[..], &value[..]));
    client.begin(all, attempt.request.body.clone(), true)
}

/// What an answer says. Only a mark that the request was turned away proves that it never ran.
fn answered(head: &Head, body: Bytes, used: Option<&str>) -> AttemptResult {
    let declined = head.fields.iter().any(|(n, v)| n.eq_ignore_ascii_case(b"srv-declined") && &v[..] == b"1");
    match head.status {
        200 => {
            let text = |name: &Bytes| String::from_utf8_lossy(name).to_ascii_lowercase();
            let is_used = |name: &Bytes| used.is_some_and(|used| name.eq_ignore_ascii_case(used.as_bytes()));
            let kept = head.fields.iter().filter(|(name, _)| !belongs_to_a_hop(name) && !is_used(name));
            let all: Vec<(String, Bytes)> = kept.map(|(name, value)| (text(name), value.clone())).collect();
            let fields = Fields::new(all.iter().map(|(name, value)| (name.as_str(), &value[..])));
            (Ending::Ok, Some(Answer::Served { fields, body }))
        }
        503 | 504 if declined => (Ending::Full, None),
        // Guards against callers whose bad input makes upstreams look bad.
        status @ 400..=499 => (Ending::Cancelled, Some(Answer::ClientError(status))),
        _ => (Ending::Error, None),
    }
}

/// The params of a request (RFC 3875, section 4.1): the declared ones, and those that any responder expects.
/// And this hop's own fields.
fn params<'a>(
    request: &Request,
    declared: &Params,
    own: impl Iterator<Item = (&'a str, String)>,
) -> Vec<(Vec<u8>, Vec<u8>)> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let method = match request.method {
        Method::Get => "GET",
        Method::Post => "POST",
    };
    let length = request.body.len().to_string();
    let mut all: Vec<(Vec<u8>, Vec<u8>)> = [
        ("GATEWAY_INTERFACE", "CGI/1.1"),
        ("SERVER_PROTOCOL", "HTTP/1.1"),
        ("SERVER_SOFTWARE", "herondock"),
        ("REQUEST_METHOD", method),
        ("REQUEST_URI", &*request.target),
        ("SCRIPT_NAME", path),
        ("QUERY_STRING", query),
        ("CONTENT_LENGTH", if request.body.is_empty() { "" } else { length.as_str() }),
    ]
    .map(|(name, value)| (name.into(), value.into()))
    .into();
    let mut fields: BTreeMap<Vec<u8>, Vec<u8>> = BTreeMap::new();
    for (name, value) in request.fields.iter() {
        // Guards against a caller that sets HTTP_PROXY, which scripts take for their own proxy.
        if name.eq_ignore_ascii_case(b"proxy") {
            continue;
        }
        let mut param: Vec<u8> =
            if name.eq_ignore_ascii_case(b"content-type") { Vec::new() } else { b"HTTP_".into() };
        param.extend(name.iter().map(|b| if *b == b'-' { b'_' } else { b.to_ascii_uppercase() }));
        // The same field twice is one param (section 4.1.18).
        match fields.get_mut(&param) {
            Some(before) => {
                before.extend_from_slice(b", ");
                before.extend_from_slice(&value);
            }
            None => drop(fields.insert(param, value.to_vec())),
        }
    }
    for (name, value) in own {
        let name = format!("HTTP_{}", name.replace('-', "_").to_ascii_uppercase());
        fields.insert(name.into_bytes(), value.into_bytes());
    }
    all.extend(fields);
    for (name, template) in &declared.0 {
        let value = template.replace("{path}", path).replace("{query}", query);
        all.retain(|(n, _)| n != name.as_bytes());
        all.push((name.clone().into_bytes(), value.into_bytes()));
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;

    #[test]
    fn params_are_those_that_a_responder_expects() {
        let fields = [("x-a", &b"1"[..]), ("x-a", b"2"), ("proxy", b"evil"), ("content-type", b"text/x")];
        let request = Request {
            id: None,
            method: Method::Post,
            target: "/dues/pay.php?club=1".into(),
            fields: Fields::new(fields.into_iter()),
            body: Bytes::from_static(b"body"),
            budget: None,
            max_attempts: None,
            finished: Cell::new(false),
        };
        let declared = Params(vec![("SCRIPT_FILENAME".into(), "/srv{path}".into())]);
        let all = params(&request, &declared, [("req-deadline", "5u".into())].into_iter());
        let get = |name: &str| {
            let found = all.iter().find(|(n, _)| n == name.as_bytes());
            found.map(|(_, v)| String::from_utf8_lossy(v).into_owned())
        };
        for (name, wanted) in [
            ("REQUEST_METHOD", "POST"),
            ("QUERY_STRING", "club=1"),
            ("SCRIPT_NAME", "/dues/pay.php"),
            ("SCRIPT_FILENAME", "/srv/dues/pay.php"),
            ("CONTENT_LENGTH", "4"),
            ("CONTENT_TYPE", "text/x"),
            ("HTTP_X_A", "1, 2"),
            ("HTTP_REQ_DEADLINE", "5u"),
        ] {
            assert_eq!(get(name).as_deref(), Some(wanted), "{name}");
        }
        assert_eq!(get("HTTP_PROXY"), None);
    }
}
