//! What one supervisor does for a release: which of its instances it asks leave for, what each is to be started from, and what
//! it says of them. Without I/O; whoever drives it asks, signals and writes.
//!
//! What is to be moved is reckoned anew each time from the record as it was last heard of ([`RolloutSpec::step`]), also in the
//! moment in which leave is used, on a record that was read from a majority after it was given: after a halt nothing is begun. A supervisor that does not hear the
//! council holds no session, and so begins nothing either.
use crate::snapshot::{InstanceReport, RolloutPlan, RolloutSnapshot};
use crate::{BuildId, RolloutSpec, RolloutState};
use coordination::state_machine::SessionId;
use disruption::{FleetSnapshot as Fleet, ResourceId};
use std::collections::{BTreeMap, BTreeSet};

/// So many crashes of an instance since it was moved, and it is broken.
pub const CRASH_LIMIT: usize = 2;

/// How an instance stands at its supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalInstance {
    /// Its name in the council.
    pub unit: String,
    /// What its next process is started from.
    pub build: BuildId,
    /// It serves, and nothing of it is about to change.
    pub ready: bool,
    /// Why it is not started any more.
    pub given_up: Option<String>,
    /// Its last process was not ready in time.
    pub slow: bool,
    /// Crashes within the supervisor's window, since it was moved last.
    pub crashes: usize,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorAction {
    /// Ask for leave to restart this instance.
    RequestLease {
        /// Which.
        unit: String,
        /// Why, for the record.
        why: String,
    },
    /// The leave for it is not wanted any more. `acted`: another process of it is to come.
    ReleaseLease {
        /// Which.
        unit: String,
        /// Whether something was done by it.
        acted: bool,
    },
    /// Start its next process from this build, and end the one that runs.
    Replace {
        /// Which.
        unit: String,
        /// By what.
        build: BuildId,
    },
}

/// An instance that is being moved.
struct Moving {
    number: u64,
    build: BuildId,
    acted: bool,
}

/// See the module's page.
#[derive(Default)]
pub struct RolloutExecutor {
    moving: BTreeMap<String, Moving>,
}

impl RolloutExecutor {
    /// Whether leave is asked for to move this instance.
    pub fn asks(&self, unit: &str) -> bool {
        self.moving.get(unit).is_some_and(|m| !m.acted)
    }

    /// Whether anything is asked for or under way.
    pub fn busy(&self) -> bool {
        !self.moving.is_empty()
    }

    /// The instances of this machine that are to run another build now, in order.
    fn wanted(machine: &str, fleet: &Fleet, board: &RolloutSnapshot, now_ms: u64) -> Vec<(String, BuildId)> {
        let Some((plan, state)) = board.unfinished() else { return Vec::new() };
        let step = plan.release.step(&state.value, &board.seen(fleet), now_ms);
        let own = |unit: &str| fleet.units.get(unit).is_some_and(|u| u.value.machine == machine);
        step.moves.into_iter().filter(|(unit, _)| own(unit)).collect()
    }

    /// What follows now. `at_once`: so many instances of this machine may be moved together; 0: none are begun. `faults`: builds
    /// that can't be started here: nothing is moved to them. `session`: the supervisor's own, which it holds now.
    pub fn next(
        &mut self,
        machine: &str,
        all: &[LocalInstance],
        (fleet, board): (&Fleet, &RolloutSnapshot),
        (at_once, faults, session): (usize, &BTreeMap<BuildId, String>, SessionId),
        now_ms: u64,
    ) -> Vec<ExecutorAction> {
        let mut wanted = RolloutExecutor::wanted(machine, fleet, board, now_ms);
        wanted.retain(|(_, build)| !faults.contains_key(build));
        let number = board.plan.as_ref().map_or(0, |p| p.value.release.number);
        let mut acts = Vec::new();
        self.moving.retain(|unit, m| {
            let local = all.iter().find(|l| l.unit == *unit);
            let over = match local {
                _ if m.number != number => true,
                Some(l) if m.acted => l.build == m.build && (l.ready || l.given_up.is_some()),
                Some(_) => !wanted.iter().any(|(u, b)| u == unit && *b == m.build),
                None => true,
            };
            if over {
                acts.push(ExecutorAction::ReleaseLease { unit: unit.clone(), acted: m.acted });
            }
            !over
        });
        // One that was on its way to the one build and is to run the other: it is out by this supervisor's leave already.
        let has = |unit: &str| {
            let leave = fleet.leaves.get(&ResourceId::balancer(unit)).map(|l| &l.value);
            leave.is_some_and(|l| l.owner == machine && l.session == session)
        };
        for (unit, build) in &wanted {
            if self.moving.get(unit).is_some_and(|m| m.acted && m.build != *build) && has(unit) {
                acts.push(ExecutorAction::Replace { unit: unit.clone(), build: build.clone() });
            }
        }
        let free = at_once.saturating_sub(self.moving.len());
        let missing = |unit: &str, build: &BuildId| {
            all.iter().any(|l| l.unit == unit && (l.build != *build || !l.ready))
        };
        let next: Vec<&(String, BuildId)> = wanted
            .iter()
            .filter(|(unit, build)| !self.moving.contains_key(unit) && missing(unit, build))
            .take(free)
            .collect();
        for (unit, build) in next {
            let moving = Moving { number, build: build.clone(), acted: false };
            self.moving.insert(unit.clone(), moving);
            let why = format!("release {number}");
            acts.push(ExecutorAction::RequestLease { unit: unit.clone(), why });
        }
        acts
    }

    /// Leave was given for an instance, and may be used in this moment: what is done by it, if it is still wanted. The record
    /// has to have been read after it was given: a halt that came before counts, however late it is heard of.
    pub fn given(
        &mut self,
        machine: &str,
        unit: &str,
        (fleet, board): (&Fleet, &RolloutSnapshot),
        now_ms: u64,
    ) -> Option<ExecutorAction> {
        let m = self.moving.get(unit)?;
        let wanted = RolloutExecutor::wanted(machine, fleet, board, now_ms);
        if m.acted {
            return None;
        }
        if !wanted.iter().any(|(u, b)| u == unit && *b == m.build) {
            return self.undone(unit);
        }
        Some(ExecutorAction::Replace { unit: unit.into(), build: m.build.clone() })
    }

    /// A replacement was done.
    pub fn done(&mut self, unit: &str, build: &BuildId) {
        if let Some(m) = self.moving.get_mut(unit) {
            (m.acted, m.build) = (true, build.clone());
        }
    }

    /// A replacement could not be done. What was asked for it is not wanted for now; an instance that is out by an earlier one
    /// stays so.
    pub fn undone(&mut self, unit: &str) -> Option<ExecutorAction> {
        self.moving.get(unit).filter(|m| !m.acted)?;
        self.moving.remove(unit);
        Some(ExecutorAction::ReleaseLease { unit: unit.into(), acted: false })
    }

    /// What this supervisor says of its instances, for the last release that there was. `faults`: builds that can't be
    /// started here, and why.
    pub fn places(
        all: &[LocalInstance],
        board: &RolloutSnapshot,
        faults: &BTreeMap<BuildId, String>,
    ) -> BTreeMap<String, InstanceReport> {
        let Some((plan, state)) = board.current() else { return BTreeMap::new() };
        let release = &plan.release;
        let returning = matches!(state.value, RolloutState::RollingBack { .. });
        let one = |l: &LocalInstance| {
            let build = l.build.clone();
            let crashed = (l.crashes >= CRASH_LIMIT).then(|| format!("crashed {} times", l.crashes));
            let slow = l.slow.then(|| "is not ready in time".to_string());
            let own_fault = l.given_up.clone().or(slow).or(crashed).filter(|_| build == release.new);
            let which = if returning { (&release.old, "old") } else { (&release.new, "new") };
            let broken =
                own_fault.or_else(|| Some(format!("the {} build: {}", which.1, faults.get(which.0)?)));
            (l.unit.clone(), InstanceReport { number: release.number, build, broken })
        };
        all.iter().map(one).collect()
    }

    /// The builds of a release that have to lie on a machine, and where.
    pub fn files(plan: &RolloutPlan, machine: &str) -> BTreeMap<BuildId, String> {
        let RolloutSpec { old, new, .. } = &plan.release;
        let all: BTreeSet<&BuildId> = [old, new].into();
        all.into_iter().filter_map(|b| Some((b.clone(), plan.path(machine, b)?.to_string()))).collect()
    }
}
