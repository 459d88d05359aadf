//! The plan of a run: everything that its seed decides in advance.
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// All faults have ended by this time, in nanoseconds.
pub const HEALED: Nanos = 25_000_000_000;
/// Clients start no request after this time, in nanoseconds.
pub const LAST_REQUEST: Nanos = 31_000_000_000;
/// Length of a run in nanoseconds.
pub const END: Nanos = 37_000_000_000;

/// A variant of the system: sound, or with a deliberate defect that the judge must detect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// No defect.
    #[default]
    Sound,
    /// Records are acknowledged before they are on disk.
    AcknowledgedBeforeSync,
    /// A restarted voter forgets its vote.
    VoteForgotten,
    /// Reads are answered without confirming leadership.
    StaleRead,
    /// Sessions are renewed without confirming leadership.
    StaleRenewal,
    /// A session that has ended may still write.
    Unfenced,
    /// Snapshots omit the last transaction of each session.
    ForgetfulSnapshot,
    /// A new leader does not extend sessions by their full time to live.
    ShortSessions,
}

impl Variant {
    /// All variants with a defect.
    pub const FAULTY: [Variant; 7] = [
        Variant::AcknowledgedBeforeSync,
        Variant::VoteForgotten,
        Variant::StaleRead,
        Variant::StaleRenewal,
        Variant::Unfenced,
        Variant::ForgetfulSnapshot,
        Variant::ShortSessions,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Sound => "sound",
            Variant::AcknowledgedBeforeSync => "acknowledged-before-sync",
            Variant::VoteForgotten => "vote-forgotten",
            Variant::StaleRead => "stale-read",
            Variant::StaleRenewal => "stale-renewal",
            Variant::Unfenced => "unfenced",
            Variant::ForgetfulSnapshot => "forgetful-snapshot",
            Variant::ShortSessions => "short-sessions",
        }
    }
}

/// The text is not the name of a variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is no variant")]
pub struct ParseVariantError;

impl std::str::FromStr for Variant {
    type Err = ParseVariantError;

    fn from_str(name: &str) -> Result<Variant, ParseVariantError> {
        let mut all = [Variant::Sound].into_iter().chain(Variant::FAULTY);
        all.find(|variant| variant.name() == name).ok_or(ParseVariantError)
    }
}

/// A fault. Voters and clients are given by index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A voter's machine crashes; this share of the unconfirmed writes reached the disk.
    Crash(usize, f64),
    /// A voter is killed right after it has voted, and restarted at once.
    BlinkOnVote(usize),
    /// All voters crash and restart together, and each is killed again right after it has voted, several times.
    Duels,
    /// All machines crash together; this share of the unconfirmed writes reached each disk.
    PowerLoss(f64),
    /// A voter is suspended.
    Pause(usize),
    /// The current leader is suspended.
    PauseLeader,
    /// The current leader is partitioned from all other voters, but not from clients.
    CutLeader,
    /// The current leader and one client are partitioned from the rest, and the leader is suspended for a while, so that it
    /// resumes in the belief that it leads.
    StaleLeader(usize),
    /// A voter is partitioned from everyone.
    Isolate(usize),
    /// Nothing that a voter sends arrives.
    Mute(usize),
    /// Nothing that is sent to a voter arrives.
    Deaf(usize),
    /// Nothing arrives from one voter at another.
    OneWay(usize, usize),
    /// The voters are partitioned by this bit mask; the given one, if any, reaches both sides.
    Split(u32, Option<usize>),
    /// Messages between voters are delayed or lost.
    Flaky,
    /// A voter's disk is full.
    Full(usize),
    /// The current leader's disk is full.
    FullLeader,
    /// A voter's disk is slow.
    SlowDisk(usize),
    /// A voter's disk is lost: it is removed, and a new voter joins under its name.
    Replace(usize),
    /// A client is suspended.
    PauseClient(usize),
    /// A client is partitioned from all voters.
    IsolateClient(usize),
}

/// A fault and when it is active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// Start, in nanoseconds.
    pub from: Nanos,
    /// End, in nanoseconds.
    pub until: Nanos,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the plan, and of all random numbers of the run.
    pub seed: u64,
    /// Number of voters.
    pub voters: usize,
    /// Number of clients with sessions.
    pub clients: usize,
    /// Rate of each clock relative to true time, voters first.
    pub clock_rates: Vec<f64>,
    /// The faults, by start.
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
        let voters = if random.gen_bool(0.7) { 3 } else { 5 };
        let clients = random.gen_range(4..=6);
        // Within the bound that the service relies on.
        let clock_rates = (0..16).map(|_| 1.0 + random.gen_range(-0.009..0.009)).collect();
        let count = random.gen_range(3..=9);
        let mut faults: Vec<ScheduledFault> =
            (0..count).map(|_| draw_fault(&mut random, voters, clients)).collect();
        faults.sort_by_key(|scheduled| scheduled.from);
        // At most one lost disk: two may be a majority, whose loss is not tolerated.
        let mut replaced = false;
        faults.retain(|scheduled| {
            let is_replacement = matches!(scheduled.fault, Fault::Replace(_));
            !is_replacement || !std::mem::replace(&mut replaced, true)
        });
        Plan { seed, voters, clients, clock_rates, faults }
    }
}

fn draw_fault(random: &mut Pcg64Mcg, voters: usize, clients: usize) -> ScheduledFault {
    let voter = random.gen_range(0..voters);
    let other = (voter + random.gen_range(1..voters)) % voters;
    let client = random.gen_range(0..clients);
    let share = *[0.0, 0.0, 0.5, 1.0].get(random.gen_range(0..4)).unwrap_or(&0.0);
    let fault = match random.gen_range(0..27) {
        0 | 1 => Fault::Crash(voter, share),
        2 | 3 => Fault::BlinkOnVote(voter),
        4 | 5 => Fault::PowerLoss(share),
        6 => Fault::Pause(voter),
        7 | 8 => Fault::PauseLeader,
        9 | 10 => Fault::CutLeader,
        11 => Fault::Isolate(voter),
        12 => Fault::Mute(voter),
        13 => Fault::Deaf(voter),
        14 => Fault::OneWay(voter, other),
        15 => Fault::Split(random.gen_range(1..(1 << voters) - 1), random.gen_bool(0.4).then_some(other)),
        16 => Fault::Flaky,
        17 => Fault::Full(voter),
        18 => Fault::FullLeader,
        19 => Fault::SlowDisk(voter),
        20 => Fault::Replace(voter),
        21 | 22 => Fault::PauseClient(client),
        23 | 24 => Fault::StaleLeader(client),
        25 => Fault::Duels,
        _ => Fault::IsolateClient(client),
    };
    let from = match fault {
        // Not before the other voters have joined.
        Fault::Replace(_) => nanos_from_ms(random.gen_range(6000.0..20_000.0)),
        _ => nanos_from_ms(random.gen_range(1500.0..20_000.0)),
    };
    let length_ms = match fault {
        Fault::PowerLoss(_) => random.gen_range(50.0..800.0),
        Fault::BlinkOnVote(_) | Fault::Duels => 5000.0,
        Fault::StaleLeader(_) => random.gen_range(3500.0..6000.0),
        _ => random.gen_range(200.0..5000.0),
    };
    ScheduledFault { fault, from, until: (from + nanos_from_ms(length_ms)).min(HEALED) }
}
