//! Who really serves: asked from outside, of each balancer, all the time. It reads no books of the program's.
use crate::caller::Client;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long a balancer may take to answer before it counts as out.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Samples that are kept.
const MAX_SAMPLES: usize = 1 << 20;

/// A time in which a balancer was certainly out: between its first and its last sample that said so, with no other between.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// Which.
    pub name: String,
    /// From when, since the watcher began.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

#[derive(Default)]
struct Observation {
    ended: Vec<Outage>,
    /// The span that goes on.
    open: BTreeMap<String, Outage>,
    /// Taken out by a fault of the test's own, from then on.
    excluded: BTreeSet<String>,
    samples: usize,
}

/// Asks until it is dropped.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Observation>>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Whether a balancer says that it serves.
pub fn serves(addr: SocketAddr) -> bool {
    let ask = || {
        let mut client = Client::connect_with_timeout(addr, ANSWER_TIMEOUT)?;
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        Some(client.answer()?.status() == 200)
    };
    ask().unwrap_or(false)
}

impl Watcher {
    /// Begins with these balancers, all of them in. Each has a thread of its own: one that hangs holds up no other.
    pub fn begin(balancers: &[(String, SocketAddr)]) -> Watcher {
        let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Observation::default())));
        let began = Instant::now();
        let watch = |(name, addr): &(String, SocketAddr)| {
            let (stop, seen, name, addr) = (stop.clone(), seen.clone(), name.clone(), *addr);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let asked = began.elapsed();
                    let serves = serves(addr);
                    let mut seen = lock(&seen);
                    seen.record_sample(&name, asked, began.elapsed(), serves);
                    drop(seen);
                    thread::park_timeout(Duration::from_millis(3));
                }
            })
        };
        let threads = balancers.iter().map(watch).collect();
        Watcher { stop, seen, threads }
    }

    /// These were taken out by the test, and do not count from now on until [`Watcher::counts`].
    pub fn exclude(&self, names: &[(String, SocketAddr)]) {
        let mut seen = lock(&self.seen);
        for (name, _) in names {
            seen.excluded.insert(name.clone());
            seen.open.remove(name);
        }
    }

    /// They count again.
    pub fn include(&self, names: &[(String, SocketAddr)]) {
        let mut seen = lock(&self.seen);
        seen.excluded.retain(|excluded| !names.iter().any(|(name, _)| name == excluded));
    }

    /// The most that were certainly out at one time, and which.
    pub fn max_unavailable(&self) -> Vec<String> {
        let seen = lock(&self.seen);
        let ended: Vec<&Outage> = seen.ended.iter().chain(seen.open.values()).collect();
        largest_overlap(&ended)
    }

    /// How many were ever out.
    pub fn outage_count(&self) -> usize {
        let seen = lock(&self.seen);
        seen.ended.len() + seen.open.len()
    }
}

fn lock(seen: &Mutex<Observation>) -> MutexGuard<'_, Observation> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Of all beginnings of a span, the one at which most others go on.
fn largest_overlap(ended: &[&Outage]) -> Vec<String> {
    let at = |t: Duration| {
        let out = ended.iter().filter(|s| s.from <= t && t <= s.until).map(|s| s.name.clone());
        out.collect::<BTreeSet<String>>().into_iter().collect::<Vec<String>>()
    };
    ended.iter().map(|s| at(s.from)).max_by_key(Vec::len).unwrap_or_default()
}

impl Observation {
    /// It was asked at one time and has answered, or not, by the other.
    fn record_sample(&mut self, name: &str, asked: Duration, by: Duration, serves: bool) {
        self.samples += 1;
        if serves {
            if let Some(span) = self.open.remove(name) {
                if self.ended.len() < MAX_SAMPLES {
                    self.ended.push(span);
                }
            }
        } else if !self.excluded.contains(name) {
            // It did not serve at some time between; certain is only what lies between two such answers.
            let span = || Outage { name: name.into(), from: by, until: asked };
            let span = self.open.entry(name.into()).or_insert_with(span);
            span.until = span.until.max(asked);
        }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests;
