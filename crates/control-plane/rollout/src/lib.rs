//! Releases of a build over a fleet of instances, without I/O: whoever drives one is told how the instances stand and gets
//! back what each is to run, and how far the release has come.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`stages`] | which instances come first: one, then shares, spread over zones and machines |
//! | [`canary`] | whether the new build does harm, against the old one at the same time |
//! | [`state_machine`] | how far a release is: waves, a halt, the way back |
//! | [`snapshot`] | the part of the council's record that a release is kept in, and how instances are seen by it |
//! | [`executor`] | what one supervisor does for it |
//!
//! A release is a value ([`RolloutSpec`]) with a [`RolloutState`]; both are kept where all supervisors read them. What follows from
//! them is a function of these and of what is seen of the instances, so any supervisor can go on where another stopped.
pub mod canary;
pub mod executor;
pub mod snapshot;
pub mod stages;
pub mod state_machine;

pub use canary::{AnalysisVerdict, CanaryAnalysis, MetricsSample};
pub use stages::Stage;
pub use state_machine::{InstanceObservation, OperatorCommand, RolloutState, Step};

use serde::{Deserialize, Serialize};

/// A build, by the hash of its content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BuildId(pub String);

/// What was decided on; it does not change while the release goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutSpec {
    /// Counts releases; the order of instances is drawn by it.
    pub number: u64,
    /// What runs before.
    pub old: BuildId,
    /// What is to run.
    pub new: BuildId,
    /// The waves, each with all before it. The last one is followed by the rest of the fleet.
    #[serde(rename = "waves")]
    pub stages: Vec<Stage>,
    /// How long a wave is watched at the least, in milliseconds, from when all of it are ready.
    pub bake_ms: u64,
    /// How often the gate looks meanwhile, in milliseconds.
    #[serde(rename = "look_ms")]
    pub check_interval_ms: u64,
    /// How long it is watched at the most where the gate can't tell.
    #[serde(rename = "cap_ms")]
    pub max_bake_ms: u64,
    /// What the new build is compared by.
    #[serde(rename = "gate")]
    pub analysis: CanaryAnalysis,
    /// Whether a release that halts by itself goes back by itself.
    #[serde(rename = "returns")]
    pub auto_rollback: bool,
    /// Who approved it.
    #[serde(rename = "by")]
    pub approved_by: String,
    /// What for.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Most waves of a release.
pub const MAX_STAGES: usize = 32;

impl RolloutSpec {
    /// What of it contradicts itself, with the field's name.
    ///
    /// # Errors
    /// The first such field, and what is wrong.
    pub fn validate(&self) -> Result<(), String> {
        if self.old == self.new {
            return Err("new: is the build that runs already".into());
        }
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return Err(format!("waves: there are {}, and not 1 to {MAX_STAGES}", self.stages.len()));
        }
        if let Some(k) = self.stages.iter().position(|w| !w.is_valid()) {
            return Err(format!("waves[{k}]: is no count above 0 and no share between 0 and 1"));
        }
        if self.max_bake_ms < self.bake_ms {
            return Err("cap: is shorter than the bake".into());
        }
        if self.check_interval_ms == 0 || self.check_interval_ms > self.bake_ms {
            return Err("look: is 0, or longer than the bake".into());
        }
        let looks = (self.stages.len() as u64 + 1)
            .saturating_mul(self.max_bake_ms.div_ceil(self.check_interval_ms) + 1);
        if looks > u64::from(self.analysis.max_checks) {
            return Err(format!("gate.looks: {} are too few for {looks}", self.analysis.max_checks));
        }
        self.analysis.validate()
    }
}
