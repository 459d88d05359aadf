//! Clients of a soak that do not behave.
use super::{Soak, LIMIT_CHECK_INTERVAL};
use crate::crowd::{pipeline, Crowd};
use crate::message::pay;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Clients that do not behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrowdKind {
    None,
    SlowBodies,
    HalfBodies,
    Idle,
    Flood,
    LeavesUnread,
}

/// Every kind, to draw from.
pub(super) const CROWDS: [CrowdKind; 6] = [
    CrowdKind::None,
    CrowdKind::SlowBodies,
    CrowdKind::HalfBodies,
    CrowdKind::Idle,
    CrowdKind::Flood,
    CrowdKind::LeavesUnread,
];

impl Soak {
    /// Lets a crowd loose on the first balancer until the run ends.
    pub(super) fn send_crowd(&self, kind: CrowdKind) {
        let addr = self.balancers[0].addr;
        let post = |n: usize| {
            let framing = "Content-Length: 65536\r\n\r\n";
            pay(&format!("crowd-{n}"), "3000m").replace("Content-Length: 4\r\n\r\nbody", framing)
        };
        while !self.is_stopped() {
            // The balancer may be down.
            let Some(mut crowd) = Crowd::try_connect(addr, 300) else {
                thread::sleep(LIMIT_CHECK_INTERVAL);
                continue;
            };
            match kind {
                CrowdKind::None => return,
                CrowdKind::SlowBodies => {
                    crowd.write_all(|n| post(n).into_bytes());
                    crowd.write_slowly(b"x", 100, Duration::from_millis(10));
                }
                CrowdKind::HalfBodies => {
                    crowd.write_all(|n| [post(n), "x".repeat(60_000)].concat().into_bytes());
                    crowd.write_slowly(b"x", 1, Duration::from_secs(1));
                }
                CrowdKind::Idle => crowd.write_slowly(b"", 1, Duration::from_secs(2)),
                CrowdKind::Flood => {
                    drop(crowd);
                    self.flood(addr);
                }
                CrowdKind::LeavesUnread => {
                    drop(crowd);
                    if let Some(mut one) = Crowd::try_connect(addr, 1) {
                        one.write_until_blocked(|n| pay(&format!("left-{n}"), "3000m").into_bytes());
                    }
                }
            }
        }
    }

    /// Pipelines requests that are not admitted, for a second.
    fn flood(&self, addr: SocketAddr) {
        let started = Instant::now();
        let block = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(50);
        let next_block = || (started.elapsed() < Duration::from_secs(1)).then(|| block.clone());
        let _ = pipeline(addr, next_block);
    }
}
