//! Polls the readiness of each balancer from outside throughout a test, independently of the program's own
//! records.
use crate::caller::Client;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout after which a balancer counts as unavailable.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of completed outages that are kept.
const MAX_OUTAGES: usize = 1 << 20;

/// A time in which a balancer was certainly unavailable: between its first and last failed sample, with no
/// successful one between them.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// Name of the balancer.
    pub name: String,
    /// Start, since the watcher began.
    pub from: Duration,
    /// End, since the watcher began.
    pub until: Duration,
}

#[derive(Default)]
struct Observation {
    ended: Vec<Outage>,
    /// Outages that have not ended, by balancer.
    ongoing: BTreeMap<String, Outage>,
    /// Balancers that the test itself has made unavailable, and that are not recorded.
    excluded: BTreeSet<String>,
    samples: usize,
}

/// Polls until it is dropped.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    observation: Arc<Mutex<Observation>>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Whether a balancer answers that it is ready.
pub fn serves(addr: SocketAddr) -> bool {
    let ask = || {
        let mut client = Client::connect_with_timeout(addr, ANSWER_TIMEOUT)?;
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        Some(client.answer()?.status() == 200)
    };
    ask().unwrap_or(false)
}

impl Watcher {
    /// Starts to poll these balancers. Each has its own thread, so that one that hangs delays no other.
    pub fn begin(balancers: &[(String, SocketAddr)]) -> Watcher {
        let (stop, observation) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Observation::default())));
        let began = Instant::now();
        let watch = |(name, addr): &(String, SocketAddr)| {
            let (stop, observation, name, addr) = (stop.clone(), observation.clone(), name.clone(), *addr);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let asked = began.elapsed();
                    let serves = serves(addr);
                    let mut observation = lock(&observation);
                    observation.record_sample(&name, asked, began.elapsed(), serves);
                    drop(observation);
                    thread::park_timeout(Duration::from_millis(3));
                }
            })
        };
        let threads = balancers.iter().map(watch).collect();
        Watcher { stop, observation, threads }
    }

    /// Ignores these balancers until [`Watcher::include`], because the test itself makes them unavailable.
    pub fn exclude(&self, names: &[(String, SocketAddr)]) {
        let mut observation = lock(&self.observation);
        for (name, _) in names {
            observation.excluded.insert(name.clone());
            observation.ongoing.remove(name);
        }
    }

    /// Records these balancers again.
    pub fn include(&self, names: &[(String, SocketAddr)]) {
        let mut observation = lock(&self.observation);
        observation.excluded.retain(|excluded| !names.iter().any(|(name, _)| name == excluded));
    }

    /// Names of the largest set of balancers that were certainly unavailable at the same time.
    pub fn max_unavailable(&self) -> Vec<String> {
        let observation = lock(&self.observation);
        let ended: Vec<&Outage> = observation.ended.iter().chain(observation.ongoing.values()).collect();
        largest_overlap(&ended)
    }

    /// Number of outages recorded.
    pub fn outage_count(&self) -> usize {
        let observation = lock(&self.observation);
        observation.ended.len() + observation.ongoing.len()
    }
}

fn lock(observation: &Mutex<Observation>) -> MutexGuard<'_, Observation> {
    observation.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Largest set of overlapping outages, found at the start of one of them.
fn largest_overlap(ended: &[&Outage]) -> Vec<String> {
    let at = |t: Duration| {
        let out = ended.iter().filter(|s| s.from <= t && t <= s.until).map(|s| s.name.clone());
        out.collect::<BTreeSet<String>>().into_iter().collect::<Vec<String>>()
    };
    ended.iter().map(|s| at(s.from)).max_by_key(Vec::len).unwrap_or_default()
}

impl Observation {
    /// Records a sample that was sent at `asked` and answered, or timed out, by `by`.
    fn record_sample(&mut self, name: &str, asked: Duration, by: Duration, serves: bool) {
        self.samples += 1;
        if serves {
            if let Some(span) = self.ongoing.remove(name) {
                if self.ended.len() < MAX_OUTAGES {
                    self.ended.push(span);
                }
            }
        } else if !self.excluded.contains(name) {
            // The balancer was unavailable at some time in between. Only the time between two such samples is
            // certain.
            let span = || Outage { name: name.into(), from: by, until: asked };
            let span = self.ongoing.entry(name.into()).or_insert_with(span);
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
