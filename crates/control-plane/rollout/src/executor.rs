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
    pub name: String,
    /// What its next process is started from.
    pub build: BuildId,
    /// It serves, and nothing of it is about to change.
    pub ready: bool,
    /// Why it is not started any more.
    pub start_failure: Option<String>,
    /// Its last process was not ready in time.
    pub start_timed_out: bool,
    /// Crashes within the supervisor's window, since it was moved last.
    pub crashes: usize,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorAction {
    /// Ask for leave to restart this instance.
    RequestLease {
        /// Which.
        instance: String,
        /// Why, for the record.
        reason: String,
    },
    /// The leave for it is not wanted any more. `acted`: another process of it is to come.
    ReleaseLease {
        /// Which.
        instance: String,
        /// Whether something was done by it.
        replaced: bool,
    },
    /// Start its next process from this build, and end the one that runs.
    Replace {
        /// Which.
        instance: String,
        /// By what.
        build: BuildId,
    },
}

/// An instance that is being moved.
struct Moving {
    rollout_number: u64,
    build: BuildId,
    replaced: bool,
}

/// See the module's page.
#[derive(Default)]
pub struct RolloutExecutor {
    replacing: BTreeMap<String, Moving>,
}

impl RolloutExecutor {
    /// Whether leave is asked for to move this instance.
    pub fn is_waiting_for_lease(&self, unit: &str) -> bool {
        self.replacing.get(unit).is_some_and(|m| !m.replaced)
    }

    /// Whether anything is asked for or under way.
    pub fn is_busy(&self) -> bool {
        !self.replacing.is_empty()
    }

    /// The instances of this machine that are to run another build now, in order.
    fn wanted(machine: &str, fleet: &Fleet, board: &RolloutSnapshot, now_ms: u64) -> Vec<(String, BuildId)> {
        let Some((plan, state)) = board.unfinished() else { return Vec::new() };
        let step = plan.spec.step(&state.value, &board.observations(fleet), now_ms);
        let own = |unit: &str| fleet.balancers.get(unit).is_some_and(|u| u.value.machine == machine);
        step.replacements.into_iter().filter(|(unit, _)| own(unit)).collect()
    }

    /// What follows now. `at_once`: so many instances of this machine may be moved together; 0: none are begun. `faults`: builds
    /// that can't be started here: nothing is moved to them. `session`: the supervisor's own, which it holds now.
    pub fn next_actions(
        &mut self,
        machine: &str,
        all: &[LocalInstance],
        (fleet, board): (&Fleet, &RolloutSnapshot),
        (at_once, faults, session): (usize, &BTreeMap<BuildId, String>, SessionId),
        now_ms: u64,
    ) -> Vec<ExecutorAction> {
        let mut wanted = RolloutExecutor::wanted(machine, fleet, board, now_ms);
        wanted.retain(|(_, build)| !faults.contains_key(build));
        let number = board.plan.as_ref().map_or(0, |p| p.value.spec.number);
        let mut acts = Vec::new();
        self.replacing.retain(|unit, m| {
            let local = all.iter().find(|l| l.name == *unit);
            let over = match local {
                _ if m.rollout_number != number => true,
                Some(l) if m.replaced => l.build == m.build && (l.ready || l.start_failure.is_some()),
                Some(_) => !wanted.iter().any(|(u, b)| u == unit && *b == m.build),
                None => true,
            };
            if over {
                acts.push(ExecutorAction::ReleaseLease { instance: unit.clone(), replaced: m.replaced });
            }
            !over
        });
        // One that was on its way to the one build and is to run the other: it is out by this supervisor's leave already.
        let has = |unit: &str| {
            let leave = fleet.leases.get(&ResourceId::balancer(unit)).map(|l| &l.value);
            leave.is_some_and(|l| l.owner == machine && l.session == session)
        };
        for (unit, build) in &wanted {
            if self.replacing.get(unit).is_some_and(|m| m.replaced && m.build != *build) && has(unit) {
                acts.push(ExecutorAction::Replace { instance: unit.clone(), build: build.clone() });
            }
        }
        let free = at_once.saturating_sub(self.replacing.len());
        let missing = |unit: &str, build: &BuildId| {
            all.iter().any(|l| l.name == unit && (l.build != *build || !l.ready))
        };
        let next: Vec<&(String, BuildId)> = wanted
            .iter()
            .filter(|(unit, build)| !self.replacing.contains_key(unit) && missing(unit, build))
            .take(free)
            .collect();
        for (unit, build) in next {
            let moving = Moving { rollout_number: number, build: build.clone(), replaced: false };
            self.replacing.insert(unit.clone(), moving);
            let why = format!("release {number}");
            acts.push(ExecutorAction::RequestLease { instance: unit.clone(), reason: why });
        }
        acts
    }

    /// Leave was given for an instance, and may be used in this moment: what is done by it, if it is still wanted. The record
    /// has to have been read after it was given: a halt that came before counts, however late it is heard of.
    pub fn on_lease_granted(
        &mut self,
        machine: &str,
        unit: &str,
        (fleet, board): (&Fleet, &RolloutSnapshot),
        now_ms: u64,
    ) -> Option<ExecutorAction> {
        let m = self.replacing.get(unit)?;
        let wanted = RolloutExecutor::wanted(machine, fleet, board, now_ms);
        if m.replaced {
            return None;
        }
        if !wanted.iter().any(|(u, b)| u == unit && *b == m.build) {
            return self.cancel(unit);
        }
        Some(ExecutorAction::Replace { instance: unit.into(), build: m.build.clone() })
    }

    /// A replacement was done.
    pub fn mark_replaced(&mut self, unit: &str, build: &BuildId) {
        if let Some(m) = self.replacing.get_mut(unit) {
            (m.replaced, m.build) = (true, build.clone());
        }
    }

    /// A replacement could not be done. What was asked for it is not wanted for now; an instance that is out by an earlier one
    /// stays so.
    pub fn cancel(&mut self, unit: &str) -> Option<ExecutorAction> {
        self.replacing.get(unit).filter(|m| !m.replaced)?;
        self.replacing.remove(unit);
        Some(ExecutorAction::ReleaseLease { instance: unit.into(), replaced: false })
    }

    /// What this supervisor says of its instances, for the last release that there was. `faults`: builds that can't be
    /// started here, and why.
    pub fn reports(
        all: &[LocalInstance],
        board: &RolloutSnapshot,
        faults: &BTreeMap<BuildId, String>,
    ) -> BTreeMap<String, InstanceReport> {
        let Some((plan, state)) = board.current() else { return BTreeMap::new() };
        let release = &plan.spec;
        let returning = matches!(state.value, RolloutState::RollingBack { .. });
        let one = |l: &LocalInstance| {
            let build = l.build.clone();
            let crashed = (l.crashes >= CRASH_LIMIT).then(|| format!("crashed {} times", l.crashes));
            let slow = l.start_timed_out.then(|| "is not ready in time".to_string());
            let own_fault = l.start_failure.clone().or(slow).or(crashed).filter(|_| build == release.new);
            let which = if returning { (&release.old, "old") } else { (&release.new, "new") };
            let broken =
                own_fault.or_else(|| Some(format!("the {} build: {}", which.1, faults.get(which.0)?)));
            (l.name.clone(), InstanceReport { rollout_number: release.number, build, failure: broken })
        };
        all.iter().map(one).collect()
    }

    /// The builds of a release that have to lie on a machine, and where.
    pub fn build_files(plan: &RolloutPlan, machine: &str) -> BTreeMap<BuildId, String> {
        let RolloutSpec { old, new, .. } = &plan.spec;
        let all: BTreeSet<&BuildId> = [old, new].into();
        all.into_iter().filter_map(|b| Some((b.clone(), plan.path(machine, b)?.to_string()))).collect()
    }
}
