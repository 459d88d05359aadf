//! A run: drawn from one seed.
use disruption::{DisruptionBudget, DisruptionBudgets, GroupBy, ResourceKind};
use fleet_simulation::agenda::{ms, Nanos};
use fleet_simulation::draw::Draws;
use rollout::OperatorCommand;
use supervisor::RollingAction;

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
    /// A release moves instances without leave.
    MovedWithoutLeave,
    /// What a new build does is not looked at.
    NoGate,
    /// Leave that comes after a halt or on the way back is used all the same.
    StateNotLookedAt,
}

impl Variant {
    /// All that are faulty.
    pub const FAULTY: [Variant; 7] = [
        Variant::LateLeaveUsed,
        Variant::MissingNotCounted,
        Variant::ReturnedUnseen,
        Variant::OwnMachineOnly,
        Variant::MovedWithoutLeave,
        Variant::NoGate,
        Variant::StateNotLookedAt,
    ];

    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Sound => "sound",
            Variant::LateLeaveUsed => "late-leave-used",
            Variant::MissingNotCounted => "missing-not-counted",
            Variant::ReturnedUnseen => "returned-unseen",
            Variant::OwnMachineOnly => "own-machine-only",
            Variant::MovedWithoutLeave => "moved-without-leave",
            Variant::NoGate => "no-gate",
            Variant::StateNotLookedAt => "state-not-looked-at",
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
    pub budgets: DisruptionBudgets,
    /// Rolls: when, of which machine, what.
    pub rolls: Vec<(Nanos, usize, RollingAction)>,
    /// Troubles.
    pub troubles: Vec<Trouble>,
    /// A release, in place of rolls.
    pub release: Option<Release>,
}

/// What the new build is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// As the old one.
    Good,
    /// Three in ten requests more are not served.
    Worse,
    /// It crashes at its start.
    Crashes,
    /// It is never ready.
    Never,
}

/// A release.
#[derive(Clone, Debug)]
pub struct Release {
    /// When it begins.
    pub at: Nanos,
    /// What the new build is like.
    pub quality: Quality,
    /// Whether it goes back by itself.
    pub returns: bool,
    /// What the operator says of it, and when.
    pub orders: Vec<(Nanos, OperatorCommand)>,
}

impl Release {
    fn draw(seed: u64) -> Option<Release> {
        let mut d = Draws::new(seed, "release", 0);
        if d.chance(0.5) {
            return None;
        }
        let quality =
            [Quality::Good, Quality::Good, Quality::Worse, Quality::Crashes, Quality::Never][d.below(5)];
        let mut orders = Vec::new();
        for _ in 0..d.below(4) {
            let said = || "drawn".to_string();
            let order = match d.below(4) {
                0 => OperatorCommand::RollBack(said()),
                1 => OperatorCommand::Resume,
                _ => OperatorCommand::Pause(said()),
            };
            orders.push((ms(d.between((6_000.0, TROUBLES))), order));
        }
        let at = ms(d.between((5_000.0, 20_000.0)));
        Some(Release { at, quality, returns: d.chance(0.8), orders })
    }
}

fn budget(name: &str, per: GroupBy, most: Option<u32>, per_mille: Option<u32>) -> DisruptionBudget {
    DisruptionBudget {
        name: name.into(),
        kind: ResourceKind::Balancer,
        group_by: per,
        group: None,
        max_unavailable: most,
        max_unavailable_per_mille: per_mille,
        min_available: 0,
    }
}

impl Plan {
    /// The same with a release of a good build, and nothing that goes wrong.
    pub fn calm(mut self) -> Plan {
        self.rolls.clear();
        self.troubles.clear();
        self.release =
            Some(Release { at: ms(5_000.0), quality: Quality::Good, returns: true, orders: Vec::new() });
        self
    }

    /// A small one, or one with 300 balancers on 20 machines.
    pub fn draw(seed: u64, full: bool) -> Plan {
        let mut d = Draws::new(seed, "plan", 0);
        let (machines, each) = if full { (20, 15) } else { (2 + d.below(5), 2 + d.below(3)) };
        let whole = (machines * each) as u32;
        let all = match d.below(3) {
            0 => vec![budget("whole", GroupBy::Fleet, Some(1 + d.below(3) as u32), None)],
            1 => vec![
                budget("whole", GroupBy::Fleet, Some((whole / 10).max(1)), None),
                budget("machine", GroupBy::Machine, Some(1), None),
            ],
            _ => vec![
                budget("whole", GroupBy::Fleet, None, Some(1000 / whole.max(1) + 100)),
                budget("zone", GroupBy::Zone, Some((whole / 12).max(1)), None),
            ],
        };
        let mut rolls = Vec::new();
        let together = d.chance(0.5);
        // At full size a run with a release takes minutes: it is played by itself alone (`calm`).
        let release = if full { None } else { Release::draw(seed) };
        for machine in 0..machines {
            let at = if together { 5_000.0 } else { d.between((5_000.0, 20_000.0)) };
            let roll = [RollingAction::Restart, RollingAction::Handoff, RollingAction::Reload][d.below(3)];
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
        if release.is_some() {
            rolls.clear();
        }
        let (at_once, budgets) = (1 + d.below(2), DisruptionBudgets { budgets: all });
        Plan { seed, machines, each, at_once, budgets, rolls, troubles, release }
    }
}
