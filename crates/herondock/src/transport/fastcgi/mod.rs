//! Attempts over FastCGI 1.0: one request to one application, written at most once.
//!
//! | event | has the request run? | ending of the attempt |
//! | --- | --- | --- |
//! | the connection is refused or not established | no | connect failed |
//! | it breaks before the last STDIN record is written | no: an application starts once it has the last byte | connect failed |
//! | it breaks or ends after that, also in the middle of an answer | possibly | reset |
//! | END with OVERLOADED, CANT_MPX_CONN or UNKNOWN_ROLE, without output before it | no | rejected |
//! | the same after output | possibly | error |
//! | END without output, or with output on STDERR only, whatever its status | possibly | error |
//! | END, and output whose head can't be parsed | possibly | error |
//! | status 503 or 504 with `Srv-Declined: 1` | no | rejected |
//! | status 200 | yes | served |
//! | status 4xx | possibly | client error |
//! | any other status | possibly | error |
//! | no answer | possibly, or it may still run | timeout |
//!
//! Cancelling an attempt on an exclusive connection closes the connection, so that no part of it can reach another
//! request. On a multiplexed connection the attempt is cancelled by ABORT, and its id is not reused before its END.
//!
//! | file | contents |
//! | --- | --- |
//! | `exclusive.rs` | connections that carry one request at a time |
//! | `multiplexed.rs` | connections that carry concurrent requests, where the application supports them |
//! | `capabilities.rs` | query whether the application supports concurrent requests |
//! | `connection.rs` | a connection: the protocol state and the socket |
mod capabilities;
mod connection;
mod exclusive;
mod multiplexed;

use super::connection_pool::{ConnectionSettings, Peer, PooledConnection, UpstreamProtocol};
use crate::exchange::{Answer, Attempt, AttemptResult, Fields, Method, Request, Upstream};
use crate::http::{is_hop_by_hop, DEADLINE};
use crate::memory_budget::Purpose;
use crate::message_body::reserved;
use balancer::AttemptOutcome;
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

/// Params that the operator declares, with their templates. `{path}` and `{query}` are replaced by those of the
/// request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params(pub Vec<(String, String)>);

/// Settings for every upstream that speaks FastCGI.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FastCgiSettings {
    /// Declared params.
    pub params: Params,
    /// Maximum number of concurrent requests on a connection; 1: applications are not queried for support of them.
    pub multiplex: usize,
}

/// Creates an upstream that speaks FastCGI.
pub fn upstream(
    connection_settings: ConnectionSettings,
    addr: SocketAddr,
    settings: Rc<FastCgiSettings>,
) -> Rc<dyn Upstream> {
    Peer::new(
        connection_settings,
        FastCgi { settings, capabilities: CapabilityCache::default(), links: Links::default() },
        addr,
    )
}

/// FastCGI 1.0 in the role of a client of responders.
pub struct FastCgi {
    settings: Rc<FastCgiSettings>,
    /// Support of the application for concurrent requests on a connection.
    capabilities: CapabilityCache,
    /// Multiplexed connections with requests in flight, or with cancelled ones that have not ended.
    links: Links,
}

/// An idle connection.
pub enum Conn {
    /// Carries one request at a time.
    Exclusive(Box<ExclusiveConnection>),
    /// Carries concurrent requests.
    Multiplexed(PooledLink),
}

impl PooledConnection for Conn {
    fn is_reusable(&self) -> bool {
        match self {
            Conn::Exclusive(exclusive) => exclusive.connection.is_reusable(),
            Conn::Multiplexed(link) => link.is_reusable(),
        }
    }

    fn is_closed(&self) -> bool {
        match self {
            Conn::Exclusive(exclusive) => exclusive.connection.is_closed(),
            Conn::Multiplexed(link) => link.is_closed(),
        }
    }
}

impl UpstreamProtocol for FastCgi {
    type Conn = Conn;

    async fn execute(peer: &Rc<Peer<FastCgi>>, attempt: Attempt) -> AttemptResult {
        let outcome = match capabilities::max_concurrent_requests(peer, &attempt) {
            Some(max_requests) => multiplexed::execute(peer, attempt.clone(), max_requests).await,
            None => exclusive::execute(peer, attempt.clone()).await,
        };
        match outcome {
            Ok(Outcome::Answered(head, body)) => {
                let is = |name: &str, field: &[u8]| field.eq_ignore_ascii_case(name.as_bytes());
                attempt
                    .record_usage(|name| head.fields.iter().find(|(n, _)| is(name, n)).map(|(_, v)| &v[..]));
                let mut memory = peer.settings.memory.reservation(Purpose::Answer);
                if !memory.grow_to(body.len()) {
                    return (AttemptOutcome::Reset, None);
                }
                interpret_answer(&head, reserved(body, memory), attempt.used_field())
            }
            Ok(Outcome::Refused(_)) => (AttemptOutcome::Declined, None),
            Ok(Outcome::Useless(..)) => (AttemptOutcome::Error, None),
            Err(ending) => (ending, None),
        }
    }
}

/// Creates the protocol state of a new connection.
fn new_client(peer: &Peer<FastCgi>) -> Client {
    let limits = peer.settings.limits.get();
    let requests = peer.protocol.settings.multiplex.max(1);
    Client::new(Limits { head: limits.head, body: limits.body, requests, ..Limits::default() })
}

/// Starts an attempt's request. Returns its id on the connection; `None`: the connection accepts no more requests.
fn begin_request(peer: &Peer<FastCgi>, client: &mut Client, attempt: &Attempt) -> Option<u16> {
    let now = Instant::now();
    let remaining = format!("{}u", (attempt.deadline - now).as_micros());
    let (deadline, carried) = (DEADLINE, attempt.budget_fields(now));
    let hop_fields = [(deadline.as_str(), remaining)].into_iter().chain(carried.into_iter().flatten());
    let params = request_params(&attempt.request, &peer.protocol.settings.params, hop_fields);
    let pairs = params.iter().map(|(name, value)| (&name[..], &value[..]));
    client.begin(pairs, attempt.request.body.clone(), true)
}

/// Returns the result of an attempt by its answer. Only the field that marks a rejection proves that the request
/// never ran. `used_field`: name of the field that reports budget usage.
fn interpret_answer(head: &Head, body: Bytes, used_field: Option<&str>) -> AttemptResult {
    let declined = head.fields.iter().any(|(n, v)| n.eq_ignore_ascii_case(b"srv-declined") && &v[..] == b"1");
    match head.status {
        200 => {
            let text = |name: &Bytes| String::from_utf8_lossy(name).to_ascii_lowercase();
            let is_used =
                |name: &Bytes| used_field.is_some_and(|used| name.eq_ignore_ascii_case(used.as_bytes()));
            let forwarded = head.fields.iter().filter(|(name, _)| !is_hop_by_hop(name) && !is_used(name));
            let named: Vec<(String, Bytes)> =
                forwarded.map(|(name, value)| (text(name), value.clone())).collect();
            let fields = Fields::new(named.iter().map(|(name, value)| (name.as_str(), &value[..])));
            (AttemptOutcome::Ok, Some(Answer::Served { fields, body }))
        }
        503 | 504 if declined => (AttemptOutcome::Declined, None),
        // Guards against counting the invalid input of a client as a failure of the upstream.
        status @ 400..=499 => (AttemptOutcome::Cancelled, Some(Answer::ClientError(status))),
        _ => (AttemptOutcome::Error, None),
    }
}

/// Returns the params of a request (RFC 3875, section 4.1): those that every responder expects, the request's fields,
/// the fields of this hop, and the declared params, which replace others of the same name.
fn request_params<'a>(
    request: &Request,
    declared: &Params,
    hop_fields: impl Iterator<Item = (&'a str, String)>,
) -> Vec<(Vec<u8>, Vec<u8>)> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let method = match request.method {
        Method::Get => "GET",
        Method::Post => "POST",
    };
    let length = request.body.len().to_string();
    let mut params: Vec<(Vec<u8>, Vec<u8>)> = [
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
        // Guards against a client that sets HTTP_PROXY, which scripts interpret as the setting of their own proxy.
        if name.eq_ignore_ascii_case(b"proxy") {
            continue;
        }
        let mut param: Vec<u8> =
            if name.eq_ignore_ascii_case(b"content-type") { Vec::new() } else { b"HTTP_".into() };
        param.extend(name.iter().map(|b| if *b == b'-' { b'_' } else { b.to_ascii_uppercase() }));
        // Several fields of one name are joined in one param (section 4.1.18).
        match fields.get_mut(&param) {
            Some(before) => {
                before.extend_from_slice(b", ");
                before.extend_from_slice(&value);
            }
            None => drop(fields.insert(param, value.to_vec())),
        }
    }
    for (name, value) in hop_fields {
        let name = format!("HTTP_{}", name.replace('-', "_").to_ascii_uppercase());
        fields.insert(name.into_bytes(), value.into_bytes());
    }
    params.extend(fields);
    for (name, template) in &declared.0 {
        let value = template.replace("{path}", path).replace("{query}", query);
        params.retain(|(n, _)| n != name.as_bytes());
        params.push((name.clone().into_bytes(), value.into_bytes()));
    }
    params
}

#[cfg(test)]
mod tests;
