//! Values stored in the coordination store, as typed messages. Their JSON field names are part of the stored format; where a
//! Rust name differs, a serde rename keeps the stored one.
use crate::canary::MetricsSample;
use crate::{BuildId, RolloutSpec};
use coordination::state_machine::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Paths of the two builds of a rollout on a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildPaths {
    /// Executable of the old build.
    pub old: String,
    /// Executable of the new build.
    pub new: String,
}

/// A rollout with what supervisors need to carry it out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// Specification.
    #[serde(rename = "release")]
    pub spec: RolloutSpec,
    /// Paths of the builds.
    pub paths: BuildPaths,
    /// Paths of the builds on machines where they differ, by machine name.
    #[serde(rename = "machines", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub machine_paths: BTreeMap<String, BuildPaths>,
}

impl RolloutPlan {
    /// Path of a build on a machine; `None` if the build does not belong to this rollout.
    pub fn path(&self, machine: &str, build: &BuildId) -> Option<&str> {
        let paths = self.machine_paths.get(machine).unwrap_or(&self.paths);
        if *build == self.spec.new {
            Some(&paths.new)
        } else if *build == self.spec.old {
            Some(&paths.old)
        } else {
            None
        }
    }
}

/// Report of a supervisor on one of its instances during a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Number of the rollout.
    #[serde(rename = "number")]
    pub rollout_number: u64,
    /// Build that the next process of the instance is started from.
    pub build: BuildId,
    /// Reason why the instance cannot run the build: it crashes repeatedly, is not ready in time, or the executable is missing.
    #[serde(rename = "broken", default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// Metrics of an instance since the rollout's state last changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetricsWindow {
    /// Revision that wrote the state.
    #[serde(rename = "since")]
    pub state_version: Revision,
    /// Metrics.
    #[serde(rename = "sample")]
    pub metrics: MetricsSample,
}
