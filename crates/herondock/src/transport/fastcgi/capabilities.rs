//! Whether an application takes several requests at once on a connection (section 4.1 of the specification).
//!
//! It is asked on a connection of its own: some answer and close (PHP-FPM), others close on records that they don't know, and a
//! request beside the question would fail with it. Until it has answered it gets one request at a time.
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

/// An application that did not answer is asked again after this, by the next attempt.
const RECHECK_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy)]
enum Multiplexing {
    Unknown,
    /// One request at a time, as far as is known since then.
    Single(Instant),
    /// So many concurrent requests.
    UpTo(usize),
}

/// Answer of the upstream process of one generation.
pub struct CapabilityCache(Cell<(u64, Multiplexing)>);

impl Default for CapabilityCache {
    fn default() -> Self {
        CapabilityCache(Cell::new((0, Multiplexing::Unknown)))
    }
}

impl CapabilityCache {
    /// The application rejected a second request on a connection, whatever it answered before.
    pub fn mark_single(&self) {
        self.0.set((self.0.get().0, Multiplexing::Single(Instant::now())));
    }
}

/// How many concurrent requests the application takes on a connection, if more than one; asks it where that is not known.
pub(super) fn max_concurrent_requests(peer: &Rc<Peer<FastCgi>>, attempt: &Attempt) -> Option<usize> {
    let most = peer.protocol.settings.multiplex;
    if most <= 1 {
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
            let asking = async {
                let alone = ExclusiveConnection::dial(&peer, Instant::now() + wait).await.ok()?;
                // Nothing new goes to one that drains, a question neither.
                if gate.closed(Instant::now()) {
                    return None;
                }
                let generation = alone.generation;
                Some((generation, query_values(alone).await?))
            };
            if let Ok(Some((generation, values))) = timeout(wait, asking).await {
                let n = allowed_requests(&values, peer.protocol.settings.multiplex);
                if let (Some(n), true) = (n, peer.is_current(generation)) {
                    peer.protocol.capabilities.0.set((generation, Multiplexing::UpTo(n)));
                }
            }
        });
    }
    None
}

async fn query_values(mut alone: ExclusiveConnection) -> Option<Vec<Pair>> {
    let (mut events, mut unsent) = (Vec::new(), Vec::new());
    alone.connection.client.query_capabilities();
    loop {
        poll_fn(|cx| alone.connection.poll(cx, |_| false, &mut unsent, &mut events)).await.ok()?;
        for event in events.drain(..) {
            match event {
                Event::Values(values) => return Some(values),
                Event::Unknown => return None,
                Event::Ended(..) => {}
            }
        }
    }
}

/// The number of concurrent requests that the application's values allow, if more than one.
fn allowed_requests(values: &[Pair], most: usize) -> Option<usize> {
    let one = |name: &str| values.iter().find(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]);
    if one("FCGI_MPXS_CONNS") != Some(b"1") {
        return None;
    }
    let theirs = one("FCGI_MAX_REQS").and_then(|v| std::str::from_utf8(v).ok()?.parse::<usize>().ok());
    Some(theirs.map_or(most, |n| n.min(most))).filter(|&n| n > 1)
}

#[cfg(test)]
mod tests;
