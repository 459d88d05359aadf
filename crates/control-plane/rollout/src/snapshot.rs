//! The latest rollout as the coordination store describes it at one revision.
use crate::keys::{Key, KEY_PREFIX, PLAN_KEY, STATE_KEY};
use crate::messages::{InstanceReport, MetricsWindow, RolloutPlan};
use crate::state_machine::{InstanceObservation, RolloutState};
use crate::{BuildId, SpecError};
use coordination::state_machine::{Compare, Revision};
use disruption::conditional_write::{put, unchanged};
use disruption::projection::{apply_to_map, apply_to_slot, DecodeError, Projection, Versioned};
use disruption::{BalancerEntry, ConditionalWrite, FleetSnapshot, InstanceState};
use std::collections::BTreeMap;
use thiserror::Error;

/// Typed view of all keys under [`KEY_PREFIX`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutSnapshot {
    /// Revision of the store.
    pub revision: Revision,
    /// Plan of the latest rollout.
    pub plan: Option<Versioned<RolloutPlan>>,
    /// State of the latest rollout.
    pub state: Option<Versioned<RolloutState>>,
    /// Reports of supervisors, by instance name.
    pub reports: BTreeMap<String, Versioned<InstanceReport>>,
    /// Metrics of instances, by instance name.
    pub metrics: BTreeMap<String, Versioned<MetricsWindow>>,
    /// Keys whose values cannot be decoded, with the reason.
    pub unreadable: BTreeMap<String, String>,
}

/// A transition of the rollout to its next state.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Next state.
    pub state: RolloutState,
    /// Write of the state; fails if the rollout has changed since the snapshot.
    pub write: ConditionalWrite,
}

/// Reason why a rollout cannot be started.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The specification contradicts itself.
    #[error(transparent)]
    InvalidSpec(#[from] SpecError),
    /// The latest rollout was written by another version.
    #[error("cannot decode {key}, which may be of another version: {reason}")]
    Unreadable {
        /// Key that cannot be decoded.
        key: String,
        /// Reason.
        reason: String,
    },
    /// The rollout with this number is not finished.
    #[error("release {0} goes on")]
    Unfinished(u64),
}

impl RolloutSnapshot {
    /// The latest rollout and its state, if both can be read.
    pub fn current(&self) -> Option<(&RolloutPlan, &Versioned<RolloutState>)> {
        Some((&self.plan.as_ref()?.value, self.state.as_ref()?))
    }

    /// The latest rollout, if it is neither complete nor rolled back.
    pub fn unfinished(&self) -> Option<(&RolloutPlan, &Versioned<RolloutState>)> {
        self.current().filter(|(_, state)| !state.value.is_final())
    }

    /// Number of the latest rollout; 0 if there was none.
    pub fn rollout_number(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.value.spec.number)
    }

    /// Observations of all instances of the fleet, for [`RolloutSpec::step`](crate::RolloutSpec::step).
    pub fn observations(&self, fleet: &FleetSnapshot) -> Vec<InstanceObservation> {
        let Some((plan, state)) = self.current() else { return Vec::new() };
        let observe = |(name, entry): (&String, &Versioned<BalancerEntry>)| {
            self.observation(plan, state.version, fleet, name, &entry.value)
        };
        fleet.balancers.iter().map(observe).collect()
    }

    fn observation(
        &self,
        plan: &RolloutPlan,
        state_version: Revision,
        fleet: &FleetSnapshot,
        name: &str,
        entry: &BalancerEntry,
    ) -> InstanceObservation {
        let status = fleet.statuses.get(name).map(|status| &status.value);
        let report = self.reports.get(name).map(|report| &report.value);
        let report = report.filter(|report| report.rollout_number == plan.spec.number);
        let running = status.map(|s| s.build.clone()).filter(|build| !build.is_empty()).map(BuildId);
        // An instance that is being replaced from or to the new build counts as running it: the last status of a process that
        // has exited stays for a while, and a process that never becomes ready has no status.
        let starting = report.map(|report| report.build.clone()).filter(|build| *build == plan.spec.new);
        let build = starting.or(running.clone());
        let is_ready = status.is_some_and(|status| status.state == InstanceState::Ready);
        let window = self.metrics.get(name).filter(|window| window.value.state_version == state_version);
        InstanceObservation {
            name: name.into(),
            zone: entry.zone.clone(),
            machine: entry.machine.clone(),
            ready: is_ready && running == build,
            build,
            failure: report.and_then(|report| report.failure.clone()),
            metrics: window.map(|window| window.value.metrics),
        }
    }

    /// Returns the transition that follows from the observations, if there is one.
    pub fn next_transition(&self, fleet: &FleetSnapshot, now_ms: u64) -> Option<Transition> {
        let (plan, state) = self.current()?;
        let next = plan.spec.step(&state.value, &self.observations(fleet), now_ms).next_state?;
        let write = self.write_state(&next)?;
        Some(Transition { state: next, write })
    }

    /// The write that replaces the state; `None` if there was no rollout.
    pub fn write_state(&self, next: &RolloutState) -> Option<ConditionalWrite> {
        let (plan, state) = (self.plan.as_ref()?, self.state.as_ref()?);
        Some(ConditionalWrite {
            compares: vec![
                Compare::Version(PLAN_KEY.into(), plan.version),
                Compare::Version(STATE_KEY.into(), state.version),
            ],
            ops: vec![put(STATE_KEY.into(), next)],
        })
    }

    /// The write that starts a rollout.
    ///
    /// # Errors
    /// The plan is invalid, or the latest rollout is unfinished or cannot be read.
    pub fn start_rollout(&self, plan: &RolloutPlan) -> Result<ConditionalWrite, StartError> {
        plan.spec.validate()?;
        let is_needed = |key: &str| key == PLAN_KEY || key == STATE_KEY;
        if let Some((key, reason)) = self.unreadable.iter().find(|(key, _)| is_needed(key)) {
            return Err(StartError::Unreadable { key: key.clone(), reason: reason.clone() });
        }
        if let Some((unfinished, _)) = self.unfinished() {
            return Err(StartError::Unfinished(unfinished.spec.number));
        }
        Ok(ConditionalWrite {
            compares: vec![
                unchanged(PLAN_KEY, self.plan.as_ref().map_or(0, |plan| plan.version)),
                unchanged(STATE_KEY, self.state.as_ref().map_or(0, |state| state.version)),
            ],
            ops: vec![put(PLAN_KEY.into(), plan), put(STATE_KEY.into(), &plan.spec.initial_state())],
        })
    }
}

impl Projection for RolloutSnapshot {
    const KEY_PREFIX: &'static str = KEY_PREFIX;

    fn revision(&self) -> Revision {
        self.revision
    }

    fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    fn unreadable_mut(&mut self) -> &mut BTreeMap<String, String> {
        &mut self.unreadable
    }

    fn try_apply(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), DecodeError> {
        match Key::parse(key) {
            Some(Key::Plan) => apply_to_slot(&mut self.plan, value, version),
            Some(Key::State) => apply_to_slot(&mut self.state, value, version),
            Some(Key::Report(name)) => apply_to_map(&mut self.reports, name.into(), value, version),
            Some(Key::Metrics(name)) => apply_to_map(&mut self.metrics, name.into(), value, version),
            None => Ok(()),
        }
    }
}
