//! The parameters of a run, drawn from its seed alone: the fleet, its load and its faults.
//!
//! The figures are those that the users state for their fleet (nodes, classes, tenants, clients, registry, faults).
//! Arrivals follow a Markov-modulated Poisson process (Fischer and Meier-Hellstern, 1993), because load varies over
//! time.
use crate::agenda::{nanos_from_ms, Nanos};
use crate::draw::RandomStream;
use crate::server::ServerSpec;
use serde::{Deserialize, Serialize};

/// Size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Number of balancers of the first tier. Each upstream of that tier has one more for its calls to the second.
    pub balancers: u16,
    /// Number of upstreams of the first tier.
    pub portals: u16,
    /// Number of upstreams of the second tier.
    pub accounts: u16,
    /// Duration of the load, in milliseconds.
    pub length_ms: u32,
}

impl Size {
    /// A small fleet, whose run takes a fraction of a second.
    pub const SMALL: Size = Size { balancers: 6, portals: 8, accounts: 11, length_ms: 20_000 };
    /// The planned size of the users' fleet.
    pub const FULL: Size = Size { balancers: 140, portals: 107, accounts: 146, length_ms: 45_000 };

    /// Returns a fleet with this number of balancers and the proportions of the full fleet.
    pub fn of(balancers: u16) -> Size {
        let part = f64::from(balancers) / 140.0;
        let scaled = |n: u16| ((f64::from(n) * part).round() as u16).max(3);
        let Size { portals, accounts, length_ms, .. } = Size::FULL;
        Size { balancers, portals: scaled(portals), accounts: scaled(accounts), length_ms }
    }
}

/// Model of a class of requests.
#[derive(Clone, Debug)]
pub struct ClassModel {
    /// Fraction of all requests.
    pub fraction: f64,
    /// Mean work of a request, in reference-core seconds.
    pub work: f64,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Seconds that a request waits on other systems at each tier while it occupies a slot.
    pub wait_s: f64,
    /// Latency objective, in milliseconds.
    pub objective_ms: f64,
    /// Deadline after which the client gives up, in milliseconds.
    pub deadline_ms: f64,
    /// Fraction of its worth that a late answer earns.
    pub late_worth: f64,
    /// Whether requests carry an idempotency key, so that a group drops duplicates; otherwise a request must never run
    /// twice.
    pub keyed: bool,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// An upstream's process crashes and restarts cold after this time.
    Crash(usize, Nanos),
    /// An upstream hangs: it sends no answers.
    Hang(usize),
    /// An upstream is slower by this factor.
    Slow(usize, f64),
    /// This number of upstreams, from this index on, fail this fraction of their requests at once.
    Errors(usize, usize, f64),
    /// An upstream cuts off this fraction of its answers.
    Resets(usize, f64),
    /// Connections that were idle for longer than this lose requests silently.
    Stale(Nanos),
    /// An upstream drains and leaves; a new, cold process replaces it.
    Drain(usize),
    /// This number of additional upstreams of the first tier start cold, and load grows in proportion.
    Cold(usize),
    /// A tenant sends its usual traffic times this factor.
    Flood(usize, f64),
    /// All upstreams are slower by this factor.
    SharedSlow(f64),
    /// Balancers of the first tier restart in turn, with this interval between them.
    Roll(Nanos),
    /// A balancer is killed and started again.
    Kill(usize),
    /// The registry is silent: it sends no updates and rejects queries.
    Silence,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Start time.
    pub starts_at: Nanos,
    /// Duration in nanoseconds; 0 for faults without one.
    pub duration: Nanos,
    /// Kind of fault.
    pub kind: FaultKind,
}

/// A run, as its seed determines it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of the run.
    pub seed: u64,
    /// Size of the fleet.
    pub size: Size,
    /// Request classes: `alta-socio` and `pago-cuota`.
    pub classes: Vec<ClassModel>,
    /// Share of each tenant, and its traffic as a multiple of the share.
    pub tenants: Vec<(f64, f64)>,
    /// Minimum number of calls to the second tier for a request, and the probability of one more.
    pub calls: (usize, f64),
    /// Work of a new connection in reference-core seconds, and the number of round trips to establish it.
    pub handshake: (f64, f64),
    /// One-way delay in milliseconds between processes, and from clients.
    pub network_delay_ms: (f64, f64),
    /// Maximum number of retries of a client.
    pub retries: usize,
    /// Fraction of the deadline that each attempt of a client may take.
    pub attempt_fraction: f64,
    /// Pause of a client before a retry, in nanoseconds.
    pub retry_pause: Nanos,
    /// Probability that a client honours an advised retry delay.
    pub retry_after_compliance: f64,
    /// Minimum and maximum delay of registry updates, in milliseconds.
    pub registry_delay_ms: (f64, f64),
    /// Maximum offset of a machine's wall clock, in milliseconds.
    pub skew: f64,
    /// Whether calls to the second tier carry the remaining deadline of their caller.
    pub passes_deadline: bool,
    /// Requests per second at full capacity.
    pub capacity: f64,
    /// Load phases: the end of each, and the fraction of `capacity` that arrives in it.
    pub load: Vec<(Nanos, f64)>,
    /// Parameters of the upstreams of each tier.
    pub specs: [Vec<ServerSpec>; 2],
    /// Whether instances have retry budgets, each for itself, as behind upstreams that forward nothing. Not drawn from
    /// the seed.
    pub budgets: bool,
    /// End of the load.
    pub load_end: Nanos,
    /// Number of upstreams at the end of the first tier that only a fault starts.
    pub reserve: usize,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
}

/// Fractions of a request's work that are done at each tier; at the second tier, for each call.
pub const TIER_WORK: [f64; 2] = [0.64, 0.36];

impl Scenario {
    /// Draws the scenario of a seed for a fleet of this size.
    pub fn draw(seed: u64, size: Size) -> Scenario {
        let mut rng = RandomStream::new(seed, "scenario", 0);
        let congests = rng.chance(0.6);
        let mut specs: [Vec<ServerSpec>; 2] = Default::default();
        for (tier, n) in [size.portals, size.accounts].into_iter().enumerate() {
            let mut rng = RandomStream::new(seed, "upstreams", tier);
            specs[tier] = (0..n).map(|_| ServerSpec::draw(&mut rng, tier, congests)).collect();
        }
        let class = |rng: &mut RandomStream, keyed: bool| ClassModel {
            fraction: if keyed { 0.55 } else { 0.45 },
            work: if keyed { rng.uniform((0.066, 0.120)) } else { rng.uniform((0.150, 0.280)) },
            cv: if keyed { rng.uniform((0.22, 0.62)) } else { rng.uniform((0.35, 0.77)) },
            wait_s: if keyed { rng.uniform((0.047, 0.087)) } else { rng.uniform((0.210, 0.400)) },
            objective_ms: if keyed { 1000.0 } else { 2500.0 },
            deadline_ms: if keyed { 2500.0 } else { 6000.0 },
            late_worth: if keyed { 0.5 } else { 0.25 },
            keyed,
        };
        let classes = vec![class(&mut rng, true), class(&mut rng, false)];
        let mut tenants = vec![(0.43, rng.uniform((2.6, 3.4)))];
        tenants.extend((0..4).map(|_| (0.1425, rng.uniform((0.56, 0.94)))));
        let calls = rng.uniform((1.5, 2.5));
        let calls = (calls as usize, calls.fract());
        let mean_work: f64 = classes.iter().map(|c| c.fraction * c.work).sum();
        let capacity_of = |tier: usize| specs[tier].iter().map(ServerSpec::capacity).sum::<f64>();
        let second_tier_work = mean_work * TIER_WORK[1] * (calls.0 as f64 + calls.1);
        let capacity = (capacity_of(0) / (mean_work * TIER_WORK[0])).min(capacity_of(1) / second_tier_work);
        let load = draw_load(&mut RandomStream::new(seed, "load", 0), size);
        let handshake = (rng.uniform((0.0013, 0.004)), rng.uniform((2.0, 3.0)));
        let network_delay_ms = (rng.uniform((0.1, 0.29)), rng.uniform((0.21, 1.0)));
        let mut scenario = Scenario {
            seed,
            size,
            classes,
            tenants,
            calls,
            handshake,
            network_delay_ms,
            retries: 2 + rng.uniform_below(2),
            attempt_fraction: rng.uniform((0.5, 0.6)),
            retry_pause: if rng.chance(0.5) { 0 } else { nanos_from_ms(rng.uniform((50.0, 400.0))) },
            retry_after_compliance: rng.uniform((0.0, 0.4)),
            registry_delay_ms: (rng.uniform((100.0, 980.0)), rng.uniform((1000.0, 4500.0))),
            skew: if rng.chance(0.5) { 0.0 } else { rng.uniform((10.0, 3000.0)) },
            passes_deadline: rng.chance(0.67),
            capacity,
            load,
            budgets: false,
            load_end: nanos_from_ms(f64::from(size.length_ms)),
            specs,
            reserve: 0,
            faults: Vec::new(),
        };
        scenario.faults = scenario.draw_faults(&mut RandomStream::new(seed, "troubles", 0));
        if let Some(FaultKind::Cold(n)) =
            scenario.faults.iter().map(|fault| fault.kind).find(|kind| matches!(kind, FaultKind::Cold(_)))
        {
            scenario.reserve = n;
        }
        scenario
    }

    fn draw_faults(&self, rng: &mut RandomStream) -> Vec<Fault> {
        let server_count = self.specs[0].len() + self.specs[1].len();
        let length = f64::from(self.size.length_ms);
        let fault_count = 1 + rng.uniform_below(4);
        let mut faults: Vec<Fault> = Vec::new();
        for _ in 0..fault_count {
            let server = rng.uniform_below(server_count);
            let (kind, duration) = match rng.uniform_below(13) {
                0 => (FaultKind::Crash(server, nanos_from_ms(rng.uniform((300.0, 5000.0)))), 0.0),
                1 => (FaultKind::Hang(server), rng.uniform((1000.0, 10_000.0))),
                2 => (FaultKind::Slow(server, rng.uniform((1.5, 4.0))), rng.uniform((4000.0, 15_000.0))),
                3 => {
                    let count = 1 + rng.uniform_below(server_count.div_ceil(10));
                    (
                        FaultKind::Errors(server, count, rng.uniform((0.41, 0.89))),
                        rng.uniform((6000.0, 28_000.0)),
                    )
                }
                4 => (FaultKind::Resets(server, rng.uniform((0.2, 1.0))), rng.uniform((4000.0, 15_000.0))),
                5 => (
                    FaultKind::Stale(nanos_from_ms(rng.uniform((300.0, 3000.0)))),
                    rng.uniform((5000.0, 20_000.0)),
                ),
                6 => (FaultKind::Drain(server), rng.uniform((2000.0, 6000.0))),
                7 => (FaultKind::Cold(1 + rng.uniform_below(self.specs[0].len() / 3 + 1)), 0.0),
                8 => (
                    FaultKind::Flood(rng.uniform_below(self.tenants.len()), rng.uniform((2.1, 5.5))),
                    rng.uniform((7600.0, 18_000.0)),
                ),
                9 => (FaultKind::SharedSlow(rng.uniform((1.5, 3.0))), rng.uniform((6800.0, 15_000.0))),
                10 => (FaultKind::Roll(nanos_from_ms(rng.uniform((50.0, 400.0)))), 0.0),
                11 => (
                    FaultKind::Kill(rng.uniform_below(usize::from(self.size.balancers))),
                    rng.uniform((300.0, 3000.0)),
                ),
                _ => (FaultKind::Silence, rng.uniform((2000.0, 10_000.0))),
            };
            // A run has at most one growth of the fleet or rolling restart.
            let at_most_once = |kind: &FaultKind| matches!(kind, FaultKind::Cold(_) | FaultKind::Roll(_));
            if at_most_once(&kind) && faults.iter().any(|t| at_most_once(&t.kind)) {
                continue;
            }
            let starts_at = rng.uniform((0.1, 0.7)) * length;
            faults.push(Fault {
                starts_at: nanos_from_ms(starts_at),
                duration: nanos_from_ms(duration),
                kind,
            });
        }
        faults.sort_by_key(|t| t.starts_at);
        faults
    }

    /// Returns the arrival rate at this time, in requests per second.
    pub fn rate(&self, at: Nanos) -> f64 {
        let fraction =
            self.load.iter().find(|(ends_at, _)| at < *ends_at).map_or(0.0, |&(_, fraction)| fraction);
        self.capacity * fraction
    }
}

/// Draws the load phases. Half of the runs have a quiet phase that is followed by a burst.
fn draw_load(rng: &mut RandomStream, size: Size) -> Vec<(Nanos, f64)> {
    let base = if rng.chance(0.3) { rng.uniform((0.27, 0.45)) } else { rng.uniform((0.6, 1.1)) };
    let swing = rng.uniform((0.1, 0.39));
    let quiet_from = rng.chance(0.5).then(|| rng.uniform((0.2, 0.6)) * f64::from(size.length_ms));
    let (mut load, mut starts_at) = (Vec::new(), 0.0);
    while starts_at < f64::from(size.length_ms) {
        let duration = rng.exponential(3000.0).clamp(500.0, 9000.0);
        let mut fraction = base * (1.0 + rng.uniform((-swing, swing)));
        if let Some(from) = quiet_from {
            if (from..from + 6000.0).contains(&starts_at) {
                fraction = 0.15;
            } else if (from + 6000.0..from + 10_000.0).contains(&starts_at) {
                fraction = base * 1.4;
            }
        }
        starts_at += duration;
        load.push((nanos_from_ms(starts_at.min(f64::from(size.length_ms))), fraction));
    }
    load
}
