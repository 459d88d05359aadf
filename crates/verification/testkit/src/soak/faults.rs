//! Faults of a soak: signals to balancers, and changes of upstreams.
use super::{lock, Balancer, Soak, LIMIT_CHECK_INTERVAL};
use crate::ledger::Entry;
use crate::node::Node;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Earliest kill after SIGTERM.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Pause between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Text that a balancer logs when it exits while clients are connected, with the number of their requests that have no
/// answer before it.
const UNANSWERED: &str = " requests unanswered";

impl Soak {
    /// Sends one balancer a series of signals, and leaves it running and ready.
    pub(super) fn signal_series(&self) {
        let balancer = &self.balancers[self.draws.size(self.balancers.len() as u64)];
        match self.draws.below(4) {
            0 => {
                for _ in 0..1 + self.draws.below(3) {
                    self.reload(balancer);
                    thread::sleep(Duration::from_millis(self.draws.below(100)));
                }
            }
            1 => {
                self.terminate(balancer);
                self.restart(balancer);
            }
            _ => {
                for _ in 0..1 + self.draws.below(3) {
                    self.kill(balancer);
                    self.restart(balancer);
                    thread::sleep(Duration::from_millis(self.draws.below(400)));
                }
            }
        }
        self.wait_until_ready(balancer);
        thread::sleep(Duration::from_millis(200 + self.draws.below(800)));
    }

    fn reload(&self, balancer: &Balancer) {
        if let Some(node) = &*lock(&balancer.node) {
            node.reload(&balancer.command_config);
        }
    }

    fn kill(&self, balancer: &Balancer) {
        let node = lock(&balancer.node).take();
        self.keep_log(&balancer.name, node.as_ref());
        balancer.is_dead.store(true, Ordering::SeqCst);
        drop(node);
        self.ledger.write(Entry::Killed { balancer: balancer.name.clone() });
    }

    /// Ends a balancer as planned. What the kill finds unanswered is lost.
    fn terminate(&self, balancer: &Balancer) {
        let Some(mut node) = lock(&balancer.node).take() else {
            return;
        };
        let started = Instant::now();
        node.terminate();
        while node.is_running() && started.elapsed() < KILL_AFTER_TERM {
            thread::sleep(LIMIT_CHECK_INTERVAL);
        }
        self.keep_log(&balancer.name, Some(&node));
        if node.is_running() {
            return;
        }
        let (status, log) = (node.wait(), node.log());
        let is_unanswered = |line: &String| line.contains(UNANSWERED) && !line.contains(", 0 requests");
        if !status.success() || log.iter().any(is_unanswered) {
            let last: Vec<_> = log.iter().rev().take(3).collect();
            self.fail(format!("{} ended after SIGTERM with {status}: {last:?}", balancer.name));
        }
    }

    pub(super) fn keep_log(&self, name: &str, node: Option<&Node>) {
        if let Some(node) = node.filter(|_| self.keeps_logs) {
            let lines = node.log().into_iter().map(|line| (name.to_string(), line));
            lock(&self.logs).extend(lines);
        }
    }

    fn restart(&self, balancer: &Balancer) {
        thread::sleep(RESTART_PAUSE);
        // Nobody has read what was sent to a dead process meanwhile.
        if balancer.is_dead.swap(false, Ordering::SeqCst) {
            self.ledger.write(Entry::Killed { balancer: balancer.name.clone() });
        }
        self.start_balancer(balancer);
    }

    /// Drains, kills and replaces upstreams until the run ends. Two of them stay as they are.
    pub(super) fn change_upstreams(&self) {
        let mut replacements = 0;
        while !self.is_stopped() {
            thread::sleep(Duration::from_millis(500 + self.draws.below(1000)));
            let (name, addr) = {
                let upstreams = lock(&self.upstreams);
                if upstreams.len() < 4 {
                    continue;
                }
                let (name, upstream) = &upstreams[2 + self.draws.size(upstreams.len() as u64 - 2)];
                (name.clone(), upstream.addr)
            };
            match self.draws.below(3) {
                0 => self.registry.state(&name, "leaving"),
                1 => self.registry.state(&name, "active"),
                _ => {
                    replacements += 1;
                    self.replace_upstream(&name, addr, replacements);
                }
            }
        }
    }

    /// Kills an upstream and starts another one at its address; the list may go on to contain the former one.
    fn replace_upstream(&self, name: &str, addr: SocketAddr, number: u32) {
        {
            let mut upstreams = lock(&self.upstreams);
            upstreams.retain(|(other, _)| other != name);
        }
        if self.draws.below(2) == 0 {
            self.registry.state(name, "left");
        }
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
        self.start_upstream(format!("r{number}"), addr, 100 + number, started_ms);
    }
}
