//! Attempts over FastCGI 1.0: one request to one application, written once.
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
//! Cancelling an attempt that is alone on its connection closes the connection: nothing of it can reach another request. On a
//! multiplexed connection it is cancelled by ABORT, and its id is not used again before its END.
//!
//! | file | contents |
//! | --- | --- |
//! | `exclusive.rs` | one request at a time on a connection |
//! | `multiplexed.rs` | several, where the application has said that it takes them |
//! | `capabilities.rs` | asks the application whether it does |
//! | `connection.rs` | a connection: the protocol's state and its socket |
mod capabilities;
mod connection;
mod exclusive;
mod multiplexed;

use super::connection_pool::{ConnectionSettings, Peer, PooledConnection, UpstreamProtocol};
use crate::exchange::{Answer, Attempt, AttemptResult, Fields, Method, Request, Upstream};
use crate::http::{is_hop_by_hop, DEADLINE};
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

/// Settings for every upstream that speaks FastCGI.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FastCgiSettings {
    /// Declared params.
    pub params: Params,
    /// Maximum number of concurrent requests on a connection; 1: applications are not asked whether they take several.
    pub multiplex: usize,
}

/// An upstream that speaks FastCGI.
pub fn upstream(
    reach: ConnectionSettings,
    addr: SocketAddr,
    settings: Rc<FastCgiSettings>,
) -> Rc<dyn Upstream> {
    Peer::new(
        reach,
        FastCgi { settings, capabilities: CapabilityCache::default(), links: Links::default() },
        addr,
    )
}

/// FastCGI 1.0, to a responder.
pub struct FastCgi {
    settings: Rc<FastCgiSettings>,
    /// How many concurrent requests the application takes on a connection.
    capabilities: CapabilityCache,
    /// Multiplexed connections with requests in flight, or with cancelled ones that have not ended.
    links: Links,
}

/// An idle connection.
pub enum Conn {
    /// Carries one request at a time.
    Exclusive(Box<ExclusiveConnection>),
    /// Carries several.
    Multiplexed(PooledLink),
}

impl PooledConnection for Conn {
    fn is_reusable(&self) -> bool {
        match self {
            Conn::Exclusive(alone) => alone.connection.is_reusable(),
            Conn::Multiplexed(held) => held.is_reusable(),
        }
    }

    fn is_closed(&self) -> bool {
        match self {
            Conn::Exclusive(alone) => alone.connection.is_closed(),
            Conn::Multiplexed(held) => held.is_closed(),
        }
    }
}

impl UpstreamProtocol for FastCgi {
    type Conn = Conn;

    async fn execute(peer: &Rc<Peer<FastCgi>>, attempt: Attempt) -> AttemptResult {
        let outcome = match capabilities::max_concurrent_requests(peer, &attempt) {
            Some(most) => multiplexed::execute(peer, attempt.clone(), most).await,
            None => exclusive::execute(peer, attempt.clone()).await,
        };
        match outcome {
            Ok(Outcome::Answered(head, body)) => {
                let is = |name: &str, field: &[u8]| field.eq_ignore_ascii_case(name.as_bytes());
                attempt
                    .record_usage(|name| head.fields.iter().find(|(n, _)| is(name, n)).map(|(_, v)| &v[..]));
                interpret_answer(&head, body, attempt.used_field())
            }
            Ok(Outcome::Refused(_)) => (Ending::Full, None),
            Ok(Outcome::Useless(..)) => (Ending::Error, None),
            Err(ending) => (ending, None),
        }
    }
}

/// The protocol state of a new connection.
fn new_client(peer: &Peer<FastCgi>) -> Client {
    let limits = peer.settings.limits.get();
    let requests = peer.protocol.settings.multiplex.max(1);
    Client::new(Limits { head: limits.head, body: limits.body, requests, ..Limits::default() })
}

/// Begins an attempt's request; its id, or `None`: the connection takes no more.
fn begin_request(peer: &Peer<FastCgi>, client: &mut Client, attempt: &Attempt) -> Option<u16> {
    let now = Instant::now();
    let left = format!("{}u", (attempt.deadline - now).as_micros());
    let (deadline, carried) = (DEADLINE, attempt.budget_fields(now));
    let own = [(deadline.as_str(), left)].into_iter().chain(carried.into_iter().flatten());
    let params = request_params(&attempt.request, &peer.protocol.settings.params, own);
    let all = params.iter().map(|(name, value)| (&name[..], &value[..]));
    client.begin(all, attempt.request.body.clone(), true)
}

/// How an attempt ended by its answer. Only the mark of a rejection proves that the request never ran.
fn interpret_answer(head: &Head, body: Bytes, used: Option<&str>) -> AttemptResult {
    let declined = head.fields.iter().any(|(n, v)| n.eq_ignore_ascii_case(b"srv-declined") && &v[..] == b"1");
    match head.status {
        200 => {
            let text = |name: &Bytes| String::from_utf8_lossy(name).to_ascii_lowercase();
            let is_used = |name: &Bytes| used.is_some_and(|used| name.eq_ignore_ascii_case(used.as_bytes()));
            let kept = head.fields.iter().filter(|(name, _)| !is_hop_by_hop(name) && !is_used(name));
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

/// The params of a request (RFC 3875, section 4.1): those that any responder expects, the request's fields, this hop's own
/// fields, and the declared params.
fn request_params<'a>(
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
mod tests;
