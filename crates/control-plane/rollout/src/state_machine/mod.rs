//! States of a rollout and the transitions between them.
//!
//! | state | observation | next |
//! | --- | --- | --- |
//! | [`InStage`](RolloutState::InStage) | the stage has instances on the old build | they are replaced |
//! | | all instances of the stage are ready on the new build | the stage is observed from then on |
//! | | an instance crashes repeatedly, is not ready in time, or its executable is missing | stop: [`Paused`](RolloutState::Paused), or [`RollingBack`](RolloutState::RollingBack) with `auto_rollback` |
//! | | two consecutive checks find a regression | stop, as above |
//! | | observed for `bake_ms`, and the analysis finds the build healthy | next stage, or [`Complete`](RolloutState::Complete) |
//! | | observed for `max_bake_ms`, and the analysis is inconclusive | as above: a rollout must also end without traffic, as at night |
//! | [`Paused`](RolloutState::Paused) | any | none; every instance keeps its build |
//! | [`RollingBack`](RolloutState::RollingBack) | instances run the new build | they are replaced, the worst first |
//! | | all instances run the old build | [`RolledBack`](RolloutState::RolledBack) |
//! | [`RolledBack`](RolloutState::RolledBack) | an instance runs the new build after all | [`RollingBack`](RolloutState::RollingBack) |
mod rollback;
mod stage;

use crate::canary::MetricsSample;
use crate::{BuildId, RolloutSpec};
use serde::{Deserialize, Serialize};
use stage::StageProgress;
use thiserror::Error;

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// A stage is in progress.
    #[serde(rename = "going")]
    InStage {
        /// Position of the stage; the one after the last is the rest of the fleet.
        #[serde(rename = "wave")]
        stage: usize,
        /// Unix time in milliseconds since when all instances of the stage are ready; `None` if they are not.
        #[serde(rename = "since_ms")]
        ready_since_ms: Option<u64>,
        /// Number of checks made in the stage.
        #[serde(rename = "looks")]
        checks: u64,
        /// Whether the last check found a regression.
        suspected: bool,
    },
    /// No instance is replaced.
    #[serde(rename = "halted")]
    Paused {
        /// Position of the stage; `None` if a rollback is paused.
        #[serde(rename = "wave")]
        stage: Option<usize>,
        /// Reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Instances are returned to the old build.
    #[serde(rename = "returning")]
    RollingBack {
        /// Reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// All instances run the new build.
    #[serde(rename = "whole")]
    Complete,
    /// All instances run the old build again.
    #[serde(rename = "back")]
    RolledBack {
        /// Reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl RolloutState {
    /// Start of a stage, before its instances are ready.
    pub(crate) fn stage_start(stage: usize) -> RolloutState {
        RolloutState::InStage { stage, ready_since_ms: None, checks: 0, suspected: false }
    }

    /// Whether the rollout is complete or rolled back.
    pub fn is_final(&self) -> bool {
        matches!(self, RolloutState::Complete | RolloutState::RolledBack { .. })
    }

    /// Summary for operators.
    pub fn summary(&self) -> String {
        match self {
            RolloutState::InStage { stage, ready_since_ms: None, .. } => {
                format!("wave {} is being moved", stage + 1)
            }
            RolloutState::InStage { stage, suspected: true, .. } => {
                format!("wave {} is watched, and the last look saw harm", stage + 1)
            }
            RolloutState::InStage { stage, .. } => format!("wave {} is watched", stage + 1),
            RolloutState::Paused { stage: Some(stage), reason } => {
                format!("halted in wave {}: {reason}", stage + 1)
            }
            RolloutState::Paused { stage: None, reason } => format!("halted on its way back: {reason}"),
            RolloutState::RollingBack { reason } => format!("on its way back: {reason}"),
            RolloutState::Complete => "whole".into(),
            RolloutState::RolledBack { reason } => format!("back: {reason}"),
        }
    }
}

/// Observation of an instance.
#[derive(Clone, Debug, Default)]
pub struct InstanceObservation {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Machine.
    pub machine: String,
    /// Build that it runs; `None` if unknown.
    pub build: Option<BuildId>,
    /// Whether it is ready.
    pub ready: bool,
    /// Failure that stops the rollout: it crashes repeatedly, is not ready in time, or its executable is missing.
    pub failure: Option<String>,
    /// Metrics since the last check.
    pub metrics: Option<MetricsSample>,
}

impl InstanceObservation {
    fn runs(&self, build: &BuildId) -> bool {
        self.build.as_ref() == Some(build)
    }
}

/// Command of an operator, with a reason where one is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Stop replacing instances.
    Pause(String),
    /// Continue where it was paused.
    Resume,
    /// Return to the old build.
    RollBack(String),
}

/// Error of a command that does not apply to the state of the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// Pausing requires a stage or rollback in progress.
    #[error("no wave or rollback of the release is in progress")]
    NotInProgress,
    /// Resuming requires a paused rollout.
    #[error("the release is not halted")]
    NotPaused,
    /// The rollout is being rolled back, or is rolled back.
    #[error("the release is being rolled back, or is rolled back already")]
    AlreadyRollingBack,
}

/// Replacement of an instance's process by one of another build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// Name of the instance.
    pub instance: String,
    /// Build that it is to run.
    pub build: BuildId,
}

/// Result of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Replacements in the order in which they are to be made. Each requires a disruption lease.
    pub replacements: Vec<Replacement>,
    /// Next state, if it differs. Replacements belong to the current one.
    pub next_state: Option<RolloutState>,
    /// Text for operators that names what the rollout waits for.
    pub waiting_for: Option<String>,
}

impl Step {
    fn transition(next_state: RolloutState) -> Step {
        Step { next_state: Some(next_state), ..Step::default() }
    }

    fn wait(replacements: Vec<Replacement>, waiting_for: String) -> Step {
        Step { replacements, next_state: None, waiting_for: Some(waiting_for) }
    }
}

impl RolloutSpec {
    /// State in which a rollout starts.
    pub fn initial_state(&self) -> RolloutState {
        RolloutState::stage_start(0)
    }

    /// State after a command of an operator.
    ///
    /// # Errors
    /// The command does not apply to the state.
    pub fn apply_command(
        &self,
        state: &RolloutState,
        command: &OperatorCommand,
    ) -> Result<RolloutState, CommandError> {
        match (command, state) {
            (OperatorCommand::Pause(reason), RolloutState::InStage { stage, .. }) => {
                Ok(RolloutState::Paused { stage: Some(*stage), reason: reason.clone() })
            }
            (OperatorCommand::Pause(reason), RolloutState::RollingBack { .. }) => {
                Ok(RolloutState::Paused { stage: None, reason: reason.clone() })
            }
            (OperatorCommand::Pause(_), _) => Err(CommandError::NotInProgress),
            (OperatorCommand::Resume, RolloutState::Paused { stage: None, reason }) => {
                Ok(RolloutState::RollingBack { reason: reason.clone() })
            }
            (OperatorCommand::Resume, RolloutState::Paused { stage: Some(stage), .. }) => {
                Ok(RolloutState::stage_start(*stage))
            }
            (OperatorCommand::Resume, _) => Err(CommandError::NotPaused),
            (
                OperatorCommand::RollBack(reason),
                RolloutState::InStage { .. } | RolloutState::Paused { .. } | RolloutState::Complete,
            ) => Ok(RolloutState::RollingBack { reason: reason.clone() }),
            (OperatorCommand::RollBack(_), _) => Err(CommandError::AlreadyRollingBack),
        }
    }

    /// Returns the step that follows from a state and the observations of all instances at `now_ms`, a Unix time in
    /// milliseconds.
    pub fn step(&self, state: &RolloutState, instances: &[InstanceObservation], now_ms: u64) -> Step {
        match state {
            RolloutState::InStage { stage, ready_since_ms, checks, suspected } => {
                let progress = StageProgress {
                    stage: *stage,
                    ready_since_ms: *ready_since_ms,
                    checks: *checks,
                    suspected: *suspected,
                };
                self.step_stage(progress, instances, now_ms)
            }
            RolloutState::RollingBack { reason } => self.step_rollback(reason, instances),
            RolloutState::Paused { reason, .. } => Step::wait(Vec::new(), format!("halted: {reason}")),
            // An instance was being replaced by the new build, unobserved, when the others were rolled back.
            RolloutState::RolledBack { reason } if instances.iter().any(|i| i.runs(&self.new)) => {
                Step::transition(RolloutState::RollingBack { reason: reason.clone() })
            }
            RolloutState::Complete | RolloutState::RolledBack { .. } => Step::default(),
        }
    }
}
