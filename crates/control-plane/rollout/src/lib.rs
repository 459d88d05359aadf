//! Staged rollout of a build over a fleet of instances, without I/O: the caller passes observations of the instances and gets
//! back the build that each of them is to run and the state of the rollout.
//!
//! A rollout is a [`RolloutSpec`] with a [`RolloutState`], both in the coordination store, from which all supervisors read
//! them. Each step is a pure function of these and of the observations, so any supervisor can continue where another stopped.
//!
//! | module | contents |
//! | --- | --- |
//! | [`stages`] | order of the instances, spread over zones and machines |
//! | [`canary`] | statistical comparison of the new build with the old one |
//! | [`state_machine`] | states of a rollout: stages, pause, rollback |
//! | [`keys`] | keys of the coordination store |
//! | [`messages`] | stored values |
//! | [`snapshot`] | the latest rollout at one revision |
//! | [`executor`] | actions of one supervisor for a rollout |
pub mod canary;
pub mod executor;
pub mod keys;
pub mod messages;
pub mod snapshot;
pub mod stages;
pub mod state_machine;

pub use canary::{AnalysisError, AnalysisVerdict, CanaryAnalysis, MetricsSample};
pub use messages::{BuildPaths, InstanceReport, MetricsWindow, RolloutPlan};
pub use snapshot::{RolloutSnapshot, StartError, Transition};
pub use stages::Stage;
pub use state_machine::{
    CommandError, InstanceObservation, OperatorCommand, Replacement, RolloutState, Step,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of stages of a rollout.
pub const MAX_STAGES: usize = 32;

/// Identifies a build by the hash of its executable.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BuildId(pub String);

/// Specification of a rollout. It does not change while the rollout is in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutSpec {
    /// Consecutive number of the rollout; also seeds the order of instances.
    pub number: u64,
    /// Build that runs before the rollout.
    pub old: BuildId,
    /// Build that is rolled out.
    pub new: BuildId,
    /// Stages, each including all before it. After the last one the remaining instances of the fleet follow.
    #[serde(rename = "waves")]
    pub stages: Vec<Stage>,
    /// Minimum time that a stage is observed after all its instances are ready, in milliseconds.
    pub bake_ms: u64,
    /// Interval between two checks of the analysis, in milliseconds.
    #[serde(rename = "look_ms")]
    pub check_interval_ms: u64,
    /// Time after which a stage passes although the analysis is inconclusive, in milliseconds.
    #[serde(rename = "cap_ms")]
    pub max_bake_ms: u64,
    /// Analysis that compares the new build with the old one.
    #[serde(rename = "gate")]
    pub analysis: CanaryAnalysis,
    /// Whether a rollout that stops by itself is rolled back instead of paused.
    #[serde(rename = "returns")]
    pub auto_rollback: bool,
    /// Operator who started it.
    #[serde(rename = "by")]
    pub approved_by: String,
    /// Reason, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Contradiction in a [`RolloutSpec`]. The text starts with the name of the field in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SpecError {
    /// Both builds are the same.
    #[error("new: is the same build as old")]
    SameBuild,
    /// There are no stages, or more than [`MAX_STAGES`].
    #[error("waves: must have 1 to {MAX_STAGES} entries, and has {0}")]
    StageCount(usize),
    /// The stage at this position is empty or exceeds the fleet.
    #[error("waves[{0}]: must be a count above 0, or a share above 0 and up to 1")]
    InvalidStage(usize),
    /// `max_bake_ms` is less than `bake_ms`.
    #[error("cap: must not be shorter than bake")]
    MaxBakeTooShort,
    /// `check_interval_ms` is 0 or greater than `bake_ms`.
    #[error("look: must be above 0, and not longer than bake")]
    InvalidCheckInterval,
    /// The analysis permits fewer checks than the rollout may take.
    #[error("gate.looks: is {max_checks}, and the release may take {needed} looks")]
    TooFewChecks {
        /// Checks that the analysis permits.
        max_checks: u32,
        /// Checks that the rollout may take.
        needed: u64,
    },
    /// The analysis contradicts itself.
    #[error(transparent)]
    Analysis(#[from] AnalysisError),
}

impl RolloutSpec {
    /// Checks for contradictions.
    ///
    /// # Errors
    /// The first contradiction.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.old == self.new {
            return Err(SpecError::SameBuild);
        }
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return Err(SpecError::StageCount(self.stages.len()));
        }
        if let Some(index) = self.stages.iter().position(|stage| !stage.is_valid()) {
            return Err(SpecError::InvalidStage(index));
        }
        if self.max_bake_ms < self.bake_ms {
            return Err(SpecError::MaxBakeTooShort);
        }
        if self.check_interval_ms == 0 || self.check_interval_ms > self.bake_ms {
            return Err(SpecError::InvalidCheckInterval);
        }
        let checks_per_stage = self.max_bake_ms.div_ceil(self.check_interval_ms) + 1;
        let needed = (self.stages.len() as u64 + 1).saturating_mul(checks_per_stage);
        let max_checks = self.analysis.max_checks;
        if needed > u64::from(max_checks) {
            return Err(SpecError::TooFewChecks { max_checks, needed });
        }
        Ok(self.analysis.validate()?)
    }
}
