//! What a run consists of, drawn from its seed alone: the fleet, its load, and the troubles that come over it.
//!
//! The figures are those that the users state of their fleet (nodos, classes, clubs, clients, registry, troubles); the
//! arrivals follow a Markov-modulated Poisson process (Fischer and Meier-Hellstern, 1993), for load comes in swells.
use crate::agenda::{ms, Nanos};
use crate::draw::Draws;
use crate::server::Build;
use serde::{Deserialize, Serialize};

/// How large the fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Balancers of the first tier; each upstream of that tier has one more for its calls to the second.
    pub balancers: u16,
    /// Upstreams of the first tier.
    pub portals: u16,
    /// Upstreams of the second tier.
    pub accounts: u16,
    /// How long load comes, in milliseconds.
    pub length_ms: u32,
}

impl Size {
    /// Small: plays in a fraction of a second.
    pub const SMALL: Size = Size { balancers: 6, portals: 8, accounts: 11, length_ms: 20_000 };
    /// The users' fleet to come.
    pub const FULL: Size = Size { balancers: 140, portals: 107, accounts: 146, length_ms: 45_000 };

    /// The full fleet's proportions with so many balancers.
    pub fn of(balancers: u16) -> Size {
        let part = f64::from(balancers) / 140.0;
        let scaled = |n: u16| ((f64::from(n) * part).round() as u16).max(3);
        let Size { portals, accounts, length_ms, .. } = Size::FULL;
        Size { balancers, portals: scaled(portals), accounts: scaled(accounts), length_ms }
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassModel {
    /// Part of all requests.
    pub part: f64,
    /// Yardstick seconds of work, and its coefficient of variation.
    pub work: f64,
    /// See `work`.
    pub cv: f64,
    /// Seconds that it waits on others, at each tier, holding its place.
    pub waits: f64,
    /// Milliseconds within which it is wanted, and after which it is given up.
    pub wanted: f64,
    /// See `wanted`.
    pub deadline: f64,
    /// What a late answer is worth.
    pub late_worth: f64,
    /// Whether it carries a key, whose repeats a group drops; else it must never run twice.
    pub keyed: bool,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// An upstream's process dies and comes back cold after this long.
    Crash(usize, Nanos),
    /// An upstream is cut off: it says nothing.
    Hang(usize),
    /// An upstream is so many times slower.
    Slow(usize, f64),
    /// Upstreams from this one on, so many, fail this part of their requests at once.
    Errors(usize, usize, f64),
    /// An upstream cuts off this part of its answers.
    Resets(usize, f64),
    /// Connections that rested for longer are dropped on the way, unseen.
    Stale(Nanos),
    /// An upstream drains and leaves; another process comes in its place, cold.
    Drain(usize),
    /// So many upstreams of the first tier, which were not there before, come up cold, and load grows with them.
    Cold(usize),
    /// A club sends so many times its traffic.
    Flood(usize, f64),
    /// All upstreams are so many times slower.
    SharedSlow(f64),
    /// Balancers of the first tier are restarted in turn, each so long after the one before.
    Roll(Nanos),
    /// A balancer is killed outright and started again.
    Kill(usize),
    /// The registry is silent: no news, and whoever asks is turned away.
    Silence,
}

/// One trouble: when it comes, how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When it comes.
    pub at: Nanos,
    /// How long it lasts, where it does.
    pub lasts: Nanos,
    /// What it is.
    pub what: FaultKind,
}

/// A run: all that its seed decides.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its seed.
    pub seed: u64,
    /// The size of its fleet.
    pub size: Size,
    /// The classes: `alta-socio`, `pago-cuota`.
    pub classes: Vec<ClassModel>,
    /// Shares of the clubs, and what each sends of it.
    pub clubs: Vec<(f64, f64)>,
    /// Calls of the second tier for a request, at least and the likelihood of one more.
    pub calls: (usize, f64),
    /// Work that a new connection costs, in seconds, and round trips that it takes.
    pub handshake: (f64, f64),
    /// One way, in milliseconds, between processes, and from clients.
    pub way: (f64, f64),
    /// Tries more of a client, the part of the deadline that each may take, its pause, and how often it heeds advice.
    pub retries: usize,
    /// See `retries`.
    pub try_part: f64,
    /// See `retries`.
    pub pause: Nanos,
    /// See `retries`.
    pub heeds: f64,
    /// News of members is so late, in milliseconds, at least and at most.
    pub notice: (f64, f64),
    /// The most that a machine's wall clock is off, in milliseconds.
    pub skew: f64,
    /// Whether a call tells how long its caller still waits.
    pub passes_deadline: bool,
    /// Requests a second at capacity, and how much of that comes in each stretch of load.
    pub capacity: f64,
    /// Until when each stretch lasts, and the part of `capacity` that comes in it.
    pub load: Vec<(Nanos, f64)>,
    /// The upstreams of each tier.
    pub builds: [Vec<Build>; 2],
    /// Whether instances have budgets, each for itself, as behind upstreams that pass nothing on; no draw decides it.
    pub budgets: bool,
    /// When load ends.
    pub ends: Nanos,
    /// Upstreams of the first tier, at its end, that come up only with a trouble.
    pub reserve: usize,
    /// What goes wrong, in order.
    pub troubles: Vec<Fault>,
}

/// The parts of a request's work that an upstream of each tier does, the second for each call.
pub const TIER_WORK: [f64; 2] = [0.64, 0.36];

impl Scenario {
    /// What this seed decides for a fleet of this size.
    pub fn draw(seed: u64, size: Size) -> Scenario {
        let mut d = Draws::new(seed, "scenario", 0);
        let crowds = d.chance(0.6);
        let mut builds: [Vec<Build>; 2] = Default::default();
        for (tier, n) in [size.portals, size.accounts].into_iter().enumerate() {
            let mut d = Draws::new(seed, "upstreams", tier);
            builds[tier] = (0..n).map(|_| Build::draw(&mut d, tier, crowds)).collect();
        }
        let class = |d: &mut Draws, keyed: bool| ClassModel {
            part: if keyed { 0.55 } else { 0.45 },
            work: if keyed { d.between((0.066, 0.120)) } else { d.between((0.150, 0.280)) },
            cv: if keyed { d.between((0.22, 0.62)) } else { d.between((0.35, 0.77)) },
            waits: if keyed { d.between((0.047, 0.087)) } else { d.between((0.210, 0.400)) },
            wanted: if keyed { 1000.0 } else { 2500.0 },
            deadline: if keyed { 2500.0 } else { 6000.0 },
            late_worth: if keyed { 0.5 } else { 0.25 },
            keyed,
        };
        let classes = vec![class(&mut d, true), class(&mut d, false)];
        let mut clubs = vec![(0.43, d.between((2.6, 3.4)))];
        clubs.extend((0..4).map(|_| (0.1425, d.between((0.56, 0.94)))));
        let calls = d.between((1.5, 2.5));
        let calls = (calls as usize, calls.fract());
        let work: f64 = classes.iter().map(|c| c.part * c.work).sum();
        let per_tier = |tier: usize| builds[tier].iter().map(Build::capacity).sum::<f64>();
        let second = work * TIER_WORK[1] * (calls.0 as f64 + calls.1);
        let capacity = (per_tier(0) / (work * TIER_WORK[0])).min(per_tier(1) / second);
        let load = loads(&mut Draws::new(seed, "load", 0), size);
        let handshake = (d.between((0.0013, 0.004)), d.between((2.0, 3.0)));
        let way = (d.between((0.1, 0.29)), d.between((0.21, 1.0)));
        let mut scenario = Scenario {
            seed,
            size,
            classes,
            clubs,
            calls,
            handshake,
            way,
            retries: 2 + d.below(2),
            try_part: d.between((0.5, 0.6)),
            pause: if d.chance(0.5) { 0 } else { ms(d.between((50.0, 400.0))) },
            heeds: d.between((0.0, 0.4)),
            notice: (d.between((100.0, 980.0)), d.between((1000.0, 4500.0))),
            skew: if d.chance(0.5) { 0.0 } else { d.between((10.0, 3000.0)) },
            passes_deadline: d.chance(0.67),
            capacity,
            load,
            budgets: false,
            ends: ms(f64::from(size.length_ms)),
            builds,
            reserve: 0,
            troubles: Vec::new(),
        };
        scenario.troubles = scenario.troubles_of(&mut Draws::new(seed, "troubles", 0));
        if let Some(FaultKind::Cold(n)) =
            scenario.troubles.iter().map(|t| t.what).find(|w| matches!(w, FaultKind::Cold(_)))
        {
            scenario.reserve = n;
        }
        scenario
    }

    fn troubles_of(&self, d: &mut Draws) -> Vec<Fault> {
        let servers = self.builds[0].len() + self.builds[1].len();
        let length = f64::from(self.size.length_ms);
        let count = 1 + d.below(4);
        let mut troubles: Vec<Fault> = Vec::new();
        for _ in 0..count {
            let s = d.below(servers);
            let (what, lasts) = match d.below(13) {
                0 => (FaultKind::Crash(s, ms(d.between((300.0, 5000.0)))), 0.0),
                1 => (FaultKind::Hang(s), d.between((1000.0, 10_000.0))),
                2 => (FaultKind::Slow(s, d.between((1.5, 4.0))), d.between((4000.0, 15_000.0))),
                3 => {
                    let n = 1 + d.below(servers.div_ceil(10));
                    (FaultKind::Errors(s, n, d.between((0.41, 0.89))), d.between((6000.0, 28_000.0)))
                }
                4 => (FaultKind::Resets(s, d.between((0.2, 1.0))), d.between((4000.0, 15_000.0))),
                5 => (FaultKind::Stale(ms(d.between((300.0, 3000.0)))), d.between((5000.0, 20_000.0))),
                6 => (FaultKind::Drain(s), d.between((2000.0, 6000.0))),
                7 => (FaultKind::Cold(1 + d.below(self.builds[0].len() / 3 + 1)), 0.0),
                8 => (
                    FaultKind::Flood(d.below(self.clubs.len()), d.between((2.1, 5.5))),
                    d.between((7600.0, 18_000.0)),
                ),
                9 => (FaultKind::SharedSlow(d.between((1.5, 3.0))), d.between((6800.0, 15_000.0))),
                10 => (FaultKind::Roll(ms(d.between((50.0, 400.0)))), 0.0),
                11 => {
                    (FaultKind::Kill(d.below(usize::from(self.size.balancers))), d.between((300.0, 3000.0)))
                }
                _ => (FaultKind::Silence, d.between((2000.0, 10_000.0))),
            };
            // One fleet grows once, and is rolled through once.
            let once = |w: &FaultKind| matches!(w, FaultKind::Cold(_) | FaultKind::Roll(_));
            if once(&what) && troubles.iter().any(|t| once(&t.what)) {
                continue;
            }
            let at = d.between((0.1, 0.7)) * length;
            troubles.push(Fault { at: ms(at), lasts: ms(lasts), what });
        }
        troubles.sort_by_key(|t| t.at);
        troubles
    }

    /// Requests a second at this time, by the stretches of load.
    pub fn rate(&self, at: Nanos) -> f64 {
        let part = self.load.iter().find(|(until, _)| at < *until).map_or(0.0, |&(_, part)| part);
        self.capacity * part
    }
}

/// Stretches of load. Half of the runs have a quiet one with a burst behind it.
fn loads(d: &mut Draws, size: Size) -> Vec<(Nanos, f64)> {
    let base = if d.chance(0.3) { d.between((0.27, 0.45)) } else { d.between((0.6, 1.1)) };
    let swing = d.between((0.1, 0.39));
    let quiet = d.chance(0.5).then(|| d.between((0.2, 0.6)) * f64::from(size.length_ms));
    let (mut load, mut at) = (Vec::new(), 0.0);
    while at < f64::from(size.length_ms) {
        let lasts = d.exponential(3000.0).clamp(500.0, 9000.0);
        let mut part = base * (1.0 + d.between((-swing, swing)));
        if let Some(q) = quiet {
            if (q..q + 6000.0).contains(&at) {
                part = 0.15;
            } else if (q + 6000.0..q + 10_000.0).contains(&at) {
                part = base * 1.4;
            }
        }
        at += lasts;
        load.push((ms(at.min(f64::from(size.length_ms))), part));
    }
    load
}
