//! What a seed decides.
use fleet_simulation::agenda::{ms, Nanos};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Faults end by then.
pub const HEALED: Nanos = 25_000_000_000;
/// Clients begin nothing new after that.
pub const LAST_CALL: Nanos = 31_000_000_000;
/// The run ends.
pub const END: Nanos = 37_000_000_000;

/// What a voter, or the whole, does wrong on purpose; the judge has to find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    #[default]
    Sound,
    /// A save counts as saved before the disk has it.
    AcknowledgedBeforeSync,
    /// A voter that starts again does not know whom it voted for.
    VoteForgotten,
    /// Reads are answered without asking whether it still leads.
    StaleRead,
    /// Sessions are renewed without asking whether it still leads.
    StaleRenewal,
    /// A session that has ended may write.
    Unfenced,
    /// Snapshots leave out what each session wrote last.
    ForgetfulSnapshot,
    /// A new leader does not give sessions their time in full.
    ShortSessions,
}

impl Variant {
    /// All that do something wrong.
    pub const FAULTY: [Variant; 7] = [
        Variant::AcknowledgedBeforeSync,
        Variant::VoteForgotten,
        Variant::StaleRead,
        Variant::StaleRenewal,
        Variant::Unfenced,
        Variant::ForgetfulSnapshot,
        Variant::ShortSessions,
    ];

    /// Its name on a command line.
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

/// Something that breaks. Voters and clients are named by their places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Killed, with its machine: of what the disk had not confirmed, this share of the saves came to it.
    Crash(usize, f64),
    /// Killed right after it has voted, and back at once.
    BlinkOnVote(usize),
    /// All voters at one time, back at one time, and each of them killed again right after it has voted, a few times.
    Duels,
    /// All voters at one time.
    PowerLoss(f64),
    /// Stopped, and continued.
    Pause(usize),
    /// The leader of that moment, stopped and continued.
    PauseLeader,
    /// The leader of that moment, cut off from all other voters, but not from clients.
    CutLeader,
    /// The leader of that moment and one client, cut off together; and the leader is stopped for a while, so that it wakes
    /// believing that it leads.
    StaleLeader(usize),
    /// Cut off from all others.
    Isolate(usize),
    /// What it sends arrives nowhere.
    Mute(usize),
    /// What is sent to it does not arrive.
    Deaf(usize),
    /// From one to another nothing arrives.
    OneWay(usize, usize),
    /// Voters are in two parts by this mask; one of them, if any is named, talks to both.
    Split(u32, Option<usize>),
    /// Messages between voters are late or lost.
    Flaky,
    /// Its disk is full.
    Full(usize),
    /// The leader's disk of that moment is full.
    FullLeader,
    /// Its disk takes long.
    SlowDisk(usize),
    /// Its disk is lost: it is removed, and another joins under its name.
    Replace(usize),
    /// A client is stopped, and continued.
    PauseClient(usize),
    /// A client is cut off.
    IsolateClient(usize),
}

/// A fault, from when to when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    /// What.
    pub fault: Fault,
    /// Nanoseconds from the beginning.
    pub from: Nanos,
    /// Until then.
    pub until: Nanos,
}

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed that it is drawn from, and that all further draws come from.
    pub seed: u64,
    /// Voters at the start.
    pub voters: usize,
    /// Clients with sessions.
    pub clients: usize,
    /// How fast each clock goes, voters first.
    pub rates: Vec<f64>,
    /// What breaks.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// The run of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
        let voters = if random.gen_bool(0.7) { 3 } else { 5 };
        let clients = random.gen_range(4..=6);
        // Within what is promised: two clocks differ by less than one in fifty.
        let rates = (0..16).map(|_| 1.0 + random.gen_range(-0.009..0.009)).collect();
        let count = random.gen_range(3..=9);
        let mut troubles: Vec<Trouble> = (0..count).map(|_| trouble(&mut random, voters, clients)).collect();
        troubles.sort_by_key(|t| t.from);
        // One lost disk at a time: two at once may be a majority, and then all is lost by right.
        let mut replaced = false;
        troubles.retain(|t| !matches!(t.fault, Fault::Replace(_)) || !std::mem::replace(&mut replaced, true));
        Plan { seed, voters, clients, rates, troubles }
    }
}

fn trouble(random: &mut Pcg64Mcg, voters: usize, clients: usize) -> Trouble {
    let v = random.gen_range(0..voters);
    let w = (v + random.gen_range(1..voters)) % voters;
    let c = random.gen_range(0..clients);
    let share = *[0.0, 0.0, 0.5, 1.0].get(random.gen_range(0..4)).unwrap_or(&0.0);
    let fault = match random.gen_range(0..27) {
        0 | 1 => Fault::Crash(v, share),
        2 | 3 => Fault::BlinkOnVote(v),
        4 | 5 => Fault::PowerLoss(share),
        6 => Fault::Pause(v),
        7 | 8 => Fault::PauseLeader,
        9 | 10 => Fault::CutLeader,
        11 => Fault::Isolate(v),
        12 => Fault::Mute(v),
        13 => Fault::Deaf(v),
        14 => Fault::OneWay(v, w),
        15 => Fault::Split(random.gen_range(1..(1 << voters) - 1), random.gen_bool(0.4).then_some(w)),
        16 => Fault::Flaky,
        17 => Fault::Full(v),
        18 => Fault::FullLeader,
        19 => Fault::SlowDisk(v),
        20 => Fault::Replace(v),
        21 | 22 => Fault::PauseClient(c),
        23 | 24 => Fault::StaleLeader(c),
        25 => Fault::Duels,
        _ => Fault::IsolateClient(c),
    };
    let from = match fault {
        // The only voter there is so far can't be replaced.
        Fault::Replace(_) => ms(random.gen_range(6000.0..20_000.0)),
        _ => ms(random.gen_range(1500.0..20_000.0)),
    };
    let long = match fault {
        Fault::PowerLoss(_) => random.gen_range(50.0..800.0),
        Fault::BlinkOnVote(_) | Fault::Duels => 5000.0,
        Fault::StaleLeader(_) => random.gen_range(3500.0..6000.0),
        _ => random.gen_range(200.0..5000.0),
    };
    Trouble { fault, from, until: (from + ms(long)).min(HEALED) }
}
