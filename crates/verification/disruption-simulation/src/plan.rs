//! Plan of a run, drawn from one seed.
use disruption::{DisruptionBudget, DisruptionBudgets, GroupBy, ResourceKind};
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use fleet_simulation::draw::RandomStream;
use rollout::OperatorCommand;
use supervisor::RollingAction;

/// Faults begin before this, in milliseconds.
pub const FAULTS_END_MS: f64 = 60_000.0;
/// Maximum duration of a fault, in milliseconds.
pub const MAX_FAULT_MS: f64 = 15_000.0;

/// Fault of the implementation, which the judge must find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// None.
    #[default]
    Sound,
    /// A lease is used whether or not its session is active.
    LateLeaveUsed,
    /// A balancer without a session does not count as unavailable.
    MissingNotCounted,
    /// A lease is released as soon as it was used.
    ReturnedUnseen,
    /// Leases of other machines are ignored.
    OwnMachineOnly,
    /// A rollout replaces instances without a lease.
    MovedWithoutLeave,
    /// Regressions of a new build are not measured.
    NoGate,
    /// A lease that is granted after a pause or rollback is used all the same.
    StateNotLookedAt,
}

impl Variant {
    /// All faulty variants.
    pub const FAULTY: [Variant; 7] = [
        Variant::LateLeaveUsed,
        Variant::MissingNotCounted,
        Variant::ReturnedUnseen,
        Variant::OwnMachineOnly,
        Variant::MovedWithoutLeave,
        Variant::NoGate,
        Variant::StateNotLookedAt,
    ];

    /// Name on the command line.
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

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A machine loses power and starts again.
    PowerLoss,
    /// A supervisor is killed and started again.
    SupervisorCrash,
    /// A supervisor is stopped and continued.
    SupervisorPause,
    /// A supervisor is stopped when it is notified of its next lease, and continued.
    PauseOnGrant,
    /// A supervisor and the voters cannot reach each other.
    SupervisorPartition,
    /// A machine and the voters cannot reach each other.
    MachinePartition,
    /// All processes of this balancer of the machine crash.
    BalancerCrash(usize),
    /// No voter answers.
    CoordinationOutage,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind.
    pub kind: FaultKind,
    /// Machine.
    pub machine: usize,
    /// When it begins.
    pub at: Nanos,
    /// Its duration.
    pub duration: Nanos,
}

/// Plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed.
    pub seed: u64,
    /// Number of machines.
    pub machines: usize,
    /// Number of balancers on each machine.
    pub balancers_per_machine: usize,
    /// Maximum number of concurrent replacements on a machine.
    pub at_once: usize,
    /// Disruption budgets.
    pub budgets: DisruptionBudgets,
    /// Rolling operations: time, machine, action.
    pub rolls: Vec<(Nanos, usize, RollingAction)>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// A rollout, in place of rolling operations.
    pub rollout: Option<PlannedRollout>,
}

/// Quality of the new build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// Like the old one.
    Good,
    /// It fails three in ten requests more.
    Worse,
    /// It crashes on start.
    Crashes,
    /// It is never ready.
    Never,
}

/// A rollout.
#[derive(Clone, Debug)]
pub struct PlannedRollout {
    /// When it begins.
    pub at: Nanos,
    /// Quality of the new build.
    pub quality: Quality,
    /// Whether it is rolled back by itself.
    pub auto_rollback: bool,
    /// Commands of the operator, with their times.
    pub commands: Vec<(Nanos, OperatorCommand)>,
}

impl PlannedRollout {
    fn draw(seed: u64) -> Option<PlannedRollout> {
        let mut d = RandomStream::new(seed, "release", 0);
        if d.chance(0.5) {
            return None;
        }
        let quality = [Quality::Good, Quality::Good, Quality::Worse, Quality::Crashes, Quality::Never]
            [d.uniform_below(5)];
        let mut commands = Vec::new();
        for _ in 0..d.uniform_below(4) {
            let said = || "drawn".to_string();
            let command = match d.uniform_below(4) {
                0 => OperatorCommand::RollBack(said()),
                1 => OperatorCommand::Resume,
                _ => OperatorCommand::Pause(said()),
            };
            commands.push((nanos_from_ms(d.uniform((6_000.0, FAULTS_END_MS))), command));
        }
        let at = nanos_from_ms(d.uniform((5_000.0, 20_000.0)));
        Some(PlannedRollout { at, quality, auto_rollback: d.chance(0.8), commands })
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
    /// The same plan with a rollout of a good build and without faults.
    pub fn calm(mut self) -> Plan {
        self.rolls.clear();
        self.faults.clear();
        self.rollout = Some(PlannedRollout {
            at: nanos_from_ms(5_000.0),
            quality: Quality::Good,
            auto_rollback: true,
            commands: Vec::new(),
        });
        self
    }

    /// Draws a small plan, or one with 300 balancers on 20 machines.
    pub fn draw(seed: u64, full: bool) -> Plan {
        let mut d = RandomStream::new(seed, "plan", 0);
        let (machines, each) = if full { (20, 15) } else { (2 + d.uniform_below(5), 2 + d.uniform_below(3)) };
        let whole = (machines * each) as u32;
        let all = match d.uniform_below(3) {
            0 => vec![budget("whole", GroupBy::Fleet, Some(1 + d.uniform_below(3) as u32), None)],
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
        // At full size a run with a rollout takes minutes; only `calm` plans have one.
        let rollout = if full { None } else { PlannedRollout::draw(seed) };
        for machine in 0..machines {
            let at = if together { 5_000.0 } else { d.uniform((5_000.0, 20_000.0)) };
            let roll =
                [RollingAction::Restart, RollingAction::Handoff, RollingAction::Reload][d.uniform_below(3)];
            rolls.push((nanos_from_ms(at), machine, roll));
        }
        let count = 1 + d.uniform_below(if full { 24 } else { 8 });
        let mut faults = Vec::new();
        for _ in 0..count {
            let kind = match d.uniform_below(10) {
                0 => FaultKind::PowerLoss,
                1 | 2 => FaultKind::SupervisorCrash,
                3 => FaultKind::SupervisorPause,
                4 => FaultKind::PauseOnGrant,
                5 => FaultKind::SupervisorPartition,
                6 => FaultKind::MachinePartition,
                7 => FaultKind::CoordinationOutage,
                _ => FaultKind::BalancerCrash(d.uniform_below(each)),
            };
            let at = nanos_from_ms(d.uniform((4_000.0, FAULTS_END_MS)));
            // Shorter and longer than the time to live of sessions.
            let duration = nanos_from_ms(if d.chance(0.5) {
                d.uniform((50.0, 3_000.0))
            } else {
                d.uniform((3_000.0, MAX_FAULT_MS))
            });
            faults.push(Fault { kind, machine: d.uniform_below(machines), at, duration });
        }
        faults.sort_by_key(|t| t.at);
        if rollout.is_some() {
            rolls.clear();
        }
        let (at_once, budgets) = (1 + d.uniform_below(2), DisruptionBudgets { budgets: all });
        Plan { seed, machines, balancers_per_machine: each, at_once, budgets, rolls, faults, rollout }
    }
}
