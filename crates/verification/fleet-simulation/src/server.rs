//! An upstream: cores shared by all its requests, a limited number of concurrent requests, a bounded queue, and the
//! effects that slow it down.
//!
//! | behaviour | model and source |
//! | --- | --- |
//! | requests in service | processor sharing over the cores (Kleinrock, Queueing Systems II, 1976, 4.4) |
//! | slots and queue | first come, first served, bounded; requests beyond that are rejected unprocessed (M/G/c/K) |
//! | many requests held | contention term of the universal scalability law (Gunther, 2007, 4.2) above a threshold |
//! | long congestion | slower until recovery: metastable failure (Bronson et al., HotOS 2021), the users' figures |
//! | cold start | a fraction of its capacity that rises linearly with time, with the users' figures |
use crate::agenda::{nanos_from_ms, Nanos};
use crate::draw::RandomStream;
use std::collections::{BTreeSet, VecDeque};

/// Capacity parameters of an upstream, drawn for each run from the users' figures.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core relative to the reference core.
    pub speed: f64,
    /// Maximum number of requests in service at once.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// Fraction of capacity lost for each multiple of `contention_threshold` held above that threshold.
    pub contention: f64,
    /// Number of requests that it holds without loss of capacity.
    pub contention_threshold: f64,
    /// Fraction of its capacity right after a cold start.
    pub cold_fraction: f64,
    /// Time from a cold start to full capacity, in nanoseconds.
    pub warmup: Nanos,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Slowdown by congestion, if this upstream is subject to it.
    pub congestion: Option<Congestion>,
    /// Whether it rejects requests whose deadline has passed before they are started.
    pub drops_expired: bool,
}

/// Slowdown of an upstream by congestion.
#[derive(Clone, Copy, Debug)]
pub struct Congestion {
    /// The slowdown starts once more requests than this are held for `onset`.
    pub threshold: f64,
    /// Duration of the congestion that starts the slowdown, in nanoseconds.
    pub onset: Nanos,
    /// Factor by which the upstream is slower.
    pub slowdown: f64,
    /// The slowdown ends after this time with less than `idle_below` of the cores busy, or after `max_duration`, in
    /// nanoseconds.
    pub recovery: Nanos,
    /// Fraction of the cores below which the upstream counts as idle.
    pub idle_below: f64,
    /// Maximum duration of the slowdown, in nanoseconds.
    pub max_duration: Nanos,
}

impl ServerSpec {
    /// Draws an upstream of a tier. About half of them are of type `std` and half `lento`, as in the users' fleet.
    pub fn draw(rng: &mut RandomStream, tier: usize, congests: bool) -> ServerSpec {
        let standard = rng.chance(0.49);
        let (cores, speed) =
            if standard { (2.0, rng.uniform((0.85, 1.1))) } else { (3.0, rng.uniform((0.51, 0.69))) };
        let slots_per_core = if tier == 0 { (7.0, 17.0) } else { (9.0, 23.0) };
        let slots = (cores * rng.uniform(slots_per_core)) as usize;
        let queue_limit = (cores * rng.uniform((9.0, 33.0))) as usize;
        let congestion = Congestion {
            // Far more than the cores, yet no more than the upstream can hold.
            threshold: (cores * 5.0).min(0.7 * (slots + queue_limit) as f64),
            onset: nanos_from_ms(rng.uniform((1500.0, 2500.0))),
            slowdown: rng.uniform((2.1, 3.4)),
            recovery: nanos_from_ms(rng.uniform((3300.0, 4900.0))),
            idle_below: 0.4,
            max_duration: nanos_from_ms(rng.uniform((15_000.0, 32_000.0))),
        };
        ServerSpec {
            cores,
            speed,
            slots,
            queue_limit,
            contention: rng.uniform((0.04, 0.14)),
            contention_threshold: slots as f64,
            cold_fraction: rng.uniform((0.32, 0.57)),
            warmup: nanos_from_ms(rng.uniform((3100.0, 9000.0))),
            max_connections: rng.uniform((110.0, 250.0)) as u32,
            congestion: congests.then_some(congestion),
            drops_expired: rng.chance(0.5),
        }
    }

    /// Returns its capacity, warm and without contention, in reference cores.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// Decision on a request that arrives at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in service.
    InService,
    /// It waits in the queue.
    Queued,
    /// Slots and queue are full: it is rejected unprocessed.
    Rejected,
}

/// State of one upstream.
pub struct Server {
    /// Group of upstreams that share the idempotency keys that they have seen.
    pub group: u16,
    /// Capacity parameters.
    pub spec: ServerSpec,
    /// Whether its process is running.
    pub up: bool,
    /// Number of process starts since the run began.
    pub epoch: u32,
    /// Start time of the process; `None` means long ago.
    pub started_at: Option<Nanos>,
    /// Whether it hangs: no work progresses and no answer is sent.
    pub hung: bool,
    /// Factor by which faults slow it down.
    pub slowdown: f64,
    /// Fraction of requests that fail at once.
    pub error_rate: f64,
    /// Fraction of answers that are cut off by a reset.
    pub reset_rate: f64,
    /// Number of open connections.
    pub connections: u32,
    /// Number of changes of its processing speed. A wake-up that was scheduled before the latest change is ignored.
    pub speed_version: u64,
    in_service: usize,
    queue: VecDeque<u64>,
    /// Work done, in reference-core seconds, for a request that has been on the cores all the time; and the time up to
    /// which it was computed.
    work_done: f64,
    computed_at: Nanos,
    /// Requests on the cores by the value of `work_done` at which they complete. Floats above 0 and their bit patterns
    /// have the same order.
    on_cpu: BTreeSet<(u64, u64)>,
    congested_since: Option<Nanos>,
    idle_since: Option<Nanos>,
    slowed_since: Option<Nanos>,
}

impl Server {
    /// Returns a warm, running upstream.
    pub fn new(group: u16, spec: ServerSpec) -> Server {
        Server {
            group,
            spec,
            up: true,
            epoch: 0,
            started_at: None,
            hung: false,
            slowdown: 1.0,
            error_rate: 0.0,
            reset_rate: 0.0,
            connections: 0,
            speed_version: 0,
            in_service: 0,
            queue: VecDeque::new(),
            work_done: 0.0,
            computed_at: 0,
            on_cpu: BTreeSet::new(),
            congested_since: None,
            idle_since: None,
            slowed_since: None,
        }
    }

    /// Ends the process, which loses all its requests.
    pub fn stop_process(&mut self, now: Nanos) {
        self.advance(now);
        self.up = false;
        self.in_service = 0;
        self.queue.clear();
        self.on_cpu.clear();
        (self.congested_since, self.idle_since, self.slowed_since) = (None, None, None);
        self.speed_version += 1;
        self.connections = 0;
    }

    /// Starts a new, cold process.
    pub fn start_process(&mut self, now: Nanos) {
        (self.up, self.hung) = (true, false);
        self.epoch += 1;
        self.started_at = Some(now);
        self.computed_at = now;
        self.speed_version += 1;
    }

    /// Returns the fraction of the capacity that is available.
    fn available_fraction(&self, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warmed = now.saturating_sub(started_at) as f64 / self.spec.warmup.max(1) as f64;
        (self.spec.cold_fraction + (1.0 - self.spec.cold_fraction) * warmed).min(1.0)
    }

    /// Returns the reference-core seconds of work per second that each request on the cores receives.
    fn speed(&self, now: Nanos) -> f64 {
        if self.hung || self.on_cpu.is_empty() {
            return 0.0;
        }
        let spec = &self.spec;
        let requests_held = (self.in_service + self.queue.len()) as f64;
        let excess = ((requests_held - spec.contention_threshold) / spec.contention_threshold).max(0.0);
        let slowdown = spec.congestion.filter(|_| self.slowed_since.is_some()).map_or(1.0, |c| c.slowdown);
        let shared = (spec.cores / self.on_cpu.len() as f64).min(1.0);
        spec.speed * self.available_fraction(now) * shared
            / ((1.0 + spec.contention * excess) * slowdown * self.slowdown)
    }

    /// Updates the work done up to `now`. Must be called before anything that changes the processing speed.
    pub fn advance(&mut self, now: Nanos) {
        self.work_done += self.speed(self.computed_at) * (now - self.computed_at) as f64 / 1e9;
        self.computed_at = now;
        let Some(congestion) = self.spec.congestion else { return };
        let duration_of = |since: &mut Option<Nanos>, holds: bool| {
            *since = if holds { since.or(Some(now)) } else { None };
            since.map_or(0, |since| now - since)
        };
        let congested_for = duration_of(
            &mut self.congested_since,
            (self.in_service + self.queue.len()) as f64 > congestion.threshold,
        );
        let idle_for = duration_of(
            &mut self.idle_since,
            (self.on_cpu.len() as f64) < congestion.idle_below * self.spec.cores,
        );
        match self.slowed_since {
            None if congested_for >= congestion.onset => self.slowed_since = Some(now),
            Some(since) if idle_for >= congestion.recovery || now - since >= congestion.max_duration => {
                (self.slowed_since, self.congested_since) = (None, None);
            }
            _ => {}
        }
    }

    /// Returns whether congestion currently slows it down.
    pub fn is_slowed(&self) -> bool {
        self.slowed_since.is_some()
    }

    /// Admits a request to service, queues it or rejects it.
    pub fn admit(&mut self, now: Nanos, job: u64) -> Admission {
        self.advance(now);
        if self.in_service < self.spec.slots {
            self.in_service += 1;
            return Admission::InService;
        }
        if self.queue.len() < self.spec.queue_limit {
            self.queue.push_back(job);
            return Admission::Queued;
        }
        Admission::Rejected
    }

    /// Puts a request in service on the cores, with this work in reference-core seconds.
    pub fn run_on_cpu(&mut self, now: Nanos, job: u64, seconds: f64) {
        self.advance(now);
        self.on_cpu.insert(((self.work_done + seconds.max(1e-9)).to_bits(), job));
        self.speed_version += 1;
    }

    /// Completes a request in service. Returns the next request from the queue.
    pub fn complete_request(&mut self, now: Nanos) -> Option<u64> {
        self.advance(now);
        self.speed_version += 1;
        match self.queue.pop_front() {
            Some(next) => Some(next),
            None => {
                self.in_service = self.in_service.saturating_sub(1);
                None
            }
        }
    }

    /// Returns a request whose work on the cores is complete by now.
    pub fn pop_completed(&mut self, now: Nanos) -> Option<u64> {
        self.advance(now);
        let &(completes_at, job) = self.on_cpu.first()?;
        // The tolerance is less than a nanosecond of work.
        (f64::from_bits(completes_at) <= self.work_done + 1e-9).then(|| {
            self.on_cpu.pop_first();
            self.speed_version += 1;
            job
        })
    }

    /// Returns the time of the next possible completion.
    pub fn next_completion(&self, now: Nanos) -> Option<Nanos> {
        let &(end, _) = self.on_cpu.first()?;
        let speed = self.speed(now);
        if speed <= 0.0 {
            return None;
        }
        let remaining = (f64::from_bits(end) - self.work_done).max(0.0) / speed;
        let end = now.saturating_add((remaining * 1e9) as Nanos + 1);
        // A cold upstream speeds up in the meantime, so it is checked at least every 50 ms.
        let cold = self.started_at.is_some_and(|at| now < at + self.spec.warmup);
        Some(if cold { end.min(now + nanos_from_ms(50.0)) } else { end })
    }

    /// Returns the number of requests in service and in the queue.
    pub fn requests_held(&self) -> usize {
        self.in_service + self.queue.len()
    }
}

#[cfg(test)]
mod tests;
