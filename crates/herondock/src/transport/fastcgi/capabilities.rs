//! Whether an application takes several requests at once on a connection (section 4.1 of the specification).
//!
//! It is asked on a connection of its own: some answer and close (PHP-FPM), and others close on what they don't know, and a
//! request beside the question would go down with it. Until it has said so it gets one request at a time.
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

/// One that did not say is asked again after this, by the next attempt.
const RECHECK_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy)]
enum Multiplexing {
    Nothing,
    /// One at a time, as far as is known since then.
    One(Instant),
    /// So many at once.
    Several(usize),
}

/// What is known of the process of one generation.
pub struct CapabilityCache(Cell<(u64, Multiplexing)>);

impl Default for CapabilityCache {
    fn default() -> Self {
        CapabilityCache(Cell::new((0, Multiplexing::Nothing)))
    }
}

impl CapabilityCache {
    /// It refuses a second request on a connection, whatever it said before.
    pub fn refused(&self) {
        self.0.set((self.0.get().0, Multiplexing::One(Instant::now())));
    }
}

/// How many requests the application takes at once on a connection, if more than one; asks where that is not known.
pub(super) fn at_once(peer: &Rc<Peer<FastCgi>>, attempt: &Attempt) -> Option<usize> {
    let most = peer.protocol.settings.multiplex;
    if most <= 1 {
        return None;
    }
    let now = Instant::now();
    let (generation, known) = peer.protocol.asked.0.get();
    match known {
        Multiplexing::Several(n) if peer.is_current(generation) => return Some(n),
        Multiplexing::One(since) if peer.is_current(generation) && now - since < RECHECK_INTERVAL => {
            return None
        }
        _ => {}
    }
    peer.protocol.asked.0.set((peer.generation(), Multiplexing::One(now)));
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
                Some((generation, values(alone).await?))
            };
            if let Ok(Some((generation, values))) = timeout(wait, asking).await {
                let n = several(&values, peer.protocol.settings.multiplex);
                if let (Some(n), true) = (n, peer.is_current(generation)) {
                    peer.protocol.asked.0.set((generation, Multiplexing::Several(n)));
                }
            }
        });
    }
    None
}

async fn values(mut alone: ExclusiveConnection) -> Option<Vec<Pair>> {
    let (mut events, mut unsent) = (Vec::new(), Vec::new());
    alone.wire.client.ask();
    loop {
        poll_fn(|cx| alone.wire.poll(cx, |_| false, &mut unsent, &mut events)).await.ok()?;
        for event in events.drain(..) {
            match event {
                Event::Values(values) => return Some(values),
                Event::Unknown => return None,
                Event::Ended(..) => {}
            }
        }
    }
}

/// What the values allow.
fn several(values: &[Pair], most: usize) -> Option<usize> {
    let one = |name: &str| values.iter().find(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]);
    if one("FCGI_MPXS_CONNS") != Some(b"1") {
        return None;
    }
    let theirs = one("FCGI_MAX_REQS").and_then(|v| std::str::from_utf8(v).ok()?.parse::<usize>().ok());
    Some(theirs.map_or(most, |n| n.min(most))).filter(|&n| n > 1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    #[test]
    fn only_a_plain_yes_allows_several() {
        let values = |all: &[(&'static str, &'static str)]| {
            let all: Vec<Pair> = all.iter().map(|(n, v)| (Bytes::from(*n), Bytes::from(*v))).collect();
            several(&all, 8)
        };
        assert_eq!(values(&[("FCGI_MPXS_CONNS", "1")]), Some(8));
        assert_eq!(values(&[("FCGI_MAX_REQS", "3"), ("FCGI_MPXS_CONNS", "1")]), Some(3));
        assert_eq!(values(&[("FCGI_MPXS_CONNS", "1"), ("FCGI_MAX_REQS", "1")]), None);
        for no in ["0", "", "yes", "11"] {
            assert_eq!(values(&[("FCGI_MPXS_CONNS", no), ("FCGI_MAX_REQS", "50")]), None);
        }
        assert_eq!(values(&[("FCGI_MAX_REQS", "50")]), None);
    }
}
