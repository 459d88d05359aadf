//! A run: drawn from one seed.
use fleet::Roll;
use fleetsim::agenda::{ms, Nanos};
use fleetsim::draw::Draws;
use outage::{Budget, Budgets, Kind, Of};

/// Troubles begin before this.
pub const TROUBLES: f64 = 60_000.0;
/// A machine, a link, a supervisor or the council is away for so long at the most, in milliseconds.
pub const AWAY: f64 = 15_000.0;

/// What the agreement does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    #[default]
    Sound,
    /// A leave is used whether or not its session is held.
    LateLeaveUsed,
    /// What has no session does not count as out.
    MissingNotCounted,
    /// A leave is given back as soon as it was used.
    ReturnedUnseen,
    /// Leaves are decided on what was heard of last, and other units' leaves are not looked at.
    OwnMachineOnly,
}

impl Variant {
    /// All that are faulty.
    pub const FAULTY: [Variant; 4] = [
        Variant::LateLeaveUsed,
        Variant::MissingNotCounted,
        Variant::ReturnedUnseen,
        Variant::OwnMachineOnly,
    ];

    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Sound => "sound",
            Variant::LateLeaveUsed => "late-leave-used",
            Variant::MissingNotCounted => "missing-not-counted",
            Variant::ReturnedUnseen => "returned-unseen",
            Variant::OwnMachineOnly => "own-machine-only",
        }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kindred {
    /// A machine loses power, and starts again.
    Drop,
    /// A supervisor is killed, and started again.
    Supervisor,
    /// A supervisor is stopped, and goes on.
    Pause,
    /// The same, in the moment in which it is given leave.
    PauseGiven,
    /// A supervisor and the voters do not reach one another.
    Cut,
    /// A machine and the voters do not reach one another.
    CutWhole,
    /// A balancer's process crashes.
    Crash(usize),
    /// No voter answers.
    Council,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// What.
    pub what: Kindred,
    /// Of which machine.
    pub machine: usize,
    /// When it begins.
    pub at: Nanos,
    /// For how long.
    pub span: Nanos,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Machines.
    pub machines: usize,
    /// Balancers on each.
    pub each: usize,
    /// Instances that a roll takes at once on a machine.
    pub at_once: usize,
    /// What may be out.
    pub budgets: Budgets,
    /// Rolls: when, of which machine, what.
    pub rolls: Vec<(Nanos, usize, Roll)>,
    /// Troubles.
    pub troubles: Vec<Trouble>,
}

fn budget(name: &str, per: Of, most: Option<u32>, per_mille: Option<u32>) -> Budget {
    Budget { name: name.into(), kind: Kind::Balancer, per, only: None, most, per_mille, floor: 0 }
}

impl Plan {
    /// A small one, or one with 300 balancers on 20 machines.
    pub fn draw(seed: u64, full: bool) -> Plan {
        let mut d = Draws::new(seed, "plan", 0);
        let (machines, each) = if full { (20, 15) } else { (2 + d.below(5), 2 + d.below(3)) };
        let whole = (machines * each) as u32;
        let all = match d.below(3) {
            0 => vec![budget("whole", Of::Fleet, Some(1 + d.below(3) as u32), None)],
            1 => vec![
                budget("whole", Of::Fleet, Some((whole / 10).max(1)), None),
                budget("machine", Of::Machine, Some(1), None),
            ],
            _ => vec![
                budget("whole", Of::Fleet, None, Some(1000 / whole.max(1) + 100)),
                budget("zone", Of::Zone, Some((whole / 12).max(1)), None),
            ],
        };
        let mut rolls = Vec::new();
        let together = d.chance(0.5);
        for machine in 0..machines {
            let at = if together { 5_000.0 } else { d.between((5_000.0, 20_000.0)) };
            let roll = [Roll::Restart, Roll::TakeOver, Roll::Reload][d.below(3)];
            rolls.push((ms(at), machine, roll));
        }
        let count = 1 + d.below(if full { 24 } else { 8 });
        let mut troubles = Vec::new();
        for _ in 0..count {
            let what = match d.below(10) {
                0 => Kindred::Drop,
                1 | 2 => Kindred::Supervisor,
                3 => Kindred::Pause,
                4 => Kindred::PauseGiven,
                5 => Kindred::Cut,
                6 => Kindred::CutWhole,
                7 => Kindred::Council,
                _ => Kindred::Crash(d.below(each)),
            };
            let at = ms(d.between((4_000.0, TROUBLES)));
            // Shorter and longer than sessions live.
            let span =
                ms(if d.chance(0.5) { d.between((50.0, 3_000.0)) } else { d.between((3_000.0, AWAY)) });
            troubles.push(Trouble { what, machine: d.below(machines), at, span });
        }
        troubles.sort_by_key(|t| t.at);
        Plan { seed, machines, each, at_once: 1 + d.below(2), budgets: Budgets { all }, rolls, troubles }
    }
}
