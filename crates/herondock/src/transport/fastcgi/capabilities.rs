//! Detects whether an application accepts several concurrent requests on a connection (section 4.1 of the
//! specification).
//!
//! The application is queried on a separate connection: some applications answer and close (PHP-FPM), others close on
//! records that they don't know, and a request on the same connection would fail with it. Until the application has
//! answered, each connection carries one request at a time.
use super::exclusive::ExclusiveConnection;
use super::FastCgi;
use crate::exchange::Attempt;
use crate::transport::connection_pool::Peer;
use fastcgi::client::Event;
use fastcgi::pairs::Pair;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time after which the next attempt queries again an application that did not report support for concurrent
/// requests.
const RECHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Support of an application for concurrent requests on a connection.
#[derive(Clone, Copy)]
enum Multiplexing {
    Unknown,
    /// One request at a time; assumed or known since this time.
    Single(Instant),
    /// At most this number of concurrent requests.
    UpTo(usize),
}

/// What is known about the upstream process of one generation.
pub struct CapabilityCache(Cell<(u64, Multiplexing)>);

impl Default for CapabilityCache {
    fn default() -> Self {
        CapabilityCache(Cell::new((0, Multiplexing::Unknown)))
    }
}

impl CapabilityCache {
    /// Records that the application rejected a second request on a connection, whatever it reported before.
    pub fn mark_single(&self) {
        self.0.set((self.0.get().0, Multiplexing::Single(Instant::now())));
    }
}

/// Returns the number of concurrent requests that the application accepts on a connection; `None`: one. Starts a
/// query if this is not known.
pub(super) fn max_concurrent_requests(peer: &Rc<Peer<FastCgi>>, attempt: &Attempt) -> Option<usize> {
    let max_requests = peer.protocol.settings.multiplex;
    if max_requests <= 1 {
        return None;
    }
    let now = Instant::now();
    let (generation, known) = peer.protocol.capabilities.0.get();
    match known {
        Multiplexing::UpTo(n) if peer.is_current(generation) => return Some(n),
        Multiplexing::Single(since) if peer.is_current(generation) && now - since < RECHECK_INTERVAL => {
            return None
        }
        _ => {}
    }
    peer.protocol.capabilities.0.set((peer.generation(), Multiplexing::Single(now)));
    if attempt.may_write(now) {
        let (peer, gate) = (peer.clone(), attempt.gate.clone());
        tokio::task::spawn_local(async move {
            let wait = peer.settings.limits.get().flush_wait;
            let query = async {
                let connection = ExclusiveConnection::dial(&peer, Instant::now() + wait).await.ok()?;
                // A draining upstream gets nothing new, including queries.
                if gate.closed(Instant::now()) {
                    return None;
                }
                let generation = connection.generation;
                Some((generation, query_values(connection).await?))
            };
            if let Ok(Some((generation, values))) = timeout(wait, query).await {
                let allowed = allowed_requests(&values, peer.protocol.settings.multiplex);
                if let (Some(allowed), true) = (allowed, peer.is_current(generation)) {
                    peer.protocol.capabilities.0.set((generation, Multiplexing::UpTo(allowed)));
                }
            }
        });
    }
    None
}

/// Queries the application's capabilities; `None`: it closed the connection or does not know the query.
async fn query_values(mut exclusive: ExclusiveConnection) -> Option<Vec<Pair>> {
    let (mut events, mut unsent) = (Vec::new(), Vec::new());
    exclusive.connection.client.query_capabilities();
    loop {
        poll_fn(|cx| exclusive.connection.poll(cx, |_| false, &mut unsent, &mut events)).await.ok()?;
        for event in events.drain(..) {
            match event {
                Event::Values(values) => return Some(values),
                Event::Unknown => return None,
                Event::Ended(..) => {}
            }
        }
    }
}

/// Returns the number of concurrent requests that the application's values allow, limited to `max_requests`; `None`:
/// one.
fn allowed_requests(values: &[Pair], max_requests: usize) -> Option<usize> {
    let value = |name: &str| values.iter().find(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]);
    if value("FCGI_MPXS_CONNS") != Some(b"1") {
        return None;
    }
    let reported = value("FCGI_MAX_REQS").and_then(|v| std::str::from_utf8(v).ok()?.parse::<usize>().ok());
    Some(reported.map_or(max_requests, |n| n.min(max_requests))).filter(|&n| n > 1)
}

#[cfg(test)]
mod tests;
