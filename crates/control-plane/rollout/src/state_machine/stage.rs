//! Progress of a stage: replacement of its instances, observation and analysis.
use super::{InstanceObservation, Replacement, RolloutState, Step};
use crate::canary::{AnalysisVerdict, MetricsSample};
use crate::stages::{order, Placement};
use crate::RolloutSpec;
use std::collections::{BTreeMap, BTreeSet};

/// Fields of [`RolloutState::InStage`].
#[derive(Clone, Copy, Debug)]
pub(super) struct StageProgress {
    pub stage: usize,
    pub ready_since_ms: Option<u64>,
    pub checks: u64,
    pub suspected: bool,
}

impl RolloutSpec {
    pub(super) fn step_stage(
        &self,
        progress: StageProgress,
        instances: &[InstanceObservation],
        now_ms: u64,
    ) -> Step {
        let stage = progress.stage;
        let members = self.stage_members(stage, instances);
        if let Some(failure) = self.failure(&members, instances) {
            return self.stop(stage, failure);
        }
        let is_ready = members.iter().all(|instance| instance.runs(&self.new) && instance.ready);
        let Some(ready_since_ms) = progress.ready_since_ms else {
            if is_ready && !instances.is_empty() {
                let ready_since_ms = Some(now_ms);
                return Step::transition(RolloutState::InStage {
                    stage,
                    ready_since_ms,
                    checks: 0,
                    suspected: false,
                });
            }
            return self.replace_members(stage, &members, instances.len());
        };
        if !is_ready {
            // An instance became unavailable: once it is ready again, the stage is observed from the beginning.
            return Step::transition(RolloutState::stage_start(stage));
        }
        let observed_ms = now_ms.saturating_sub(ready_since_ms);
        // Checks are counted because each uses up a part of the false positive rate.
        let due_checks = observed_ms / self.check_interval_ms.max(1);
        if due_checks <= progress.checks {
            let text = format!("wave {} is watched for {observed_ms} ms of {}", stage + 1, self.bake_ms);
            return Step::wait(Vec::new(), text);
        }
        self.check_stage(progress, due_checks, observed_ms, instances)
    }

    /// Number of instances that run the new build after a stage.
    fn target_count(&self, stage: usize, fleet_size: usize) -> usize {
        self.stages.get(stage).map_or(fleet_size, |stage| stage.instance_count(fleet_size))
    }

    /// Instances that run the new build after a stage, in the order of their replacement.
    fn stage_members<'a>(
        &self,
        stage: usize,
        instances: &'a [InstanceObservation],
    ) -> Vec<&'a InstanceObservation> {
        let placements: Vec<Placement<'a>> = instances
            .iter()
            .map(|i| Placement { name: &i.name, zone: &i.zone, machine: &i.machine })
            .collect();
        let by_name: BTreeMap<&str, &InstanceObservation> =
            instances.iter().map(|instance| (instance.name.as_str(), instance)).collect();
        let target = self.target_count(stage, instances.len());
        let names = order(self.number, &placements).into_iter().take(target);
        names.filter_map(|name| by_name.get(name).copied()).collect()
    }

    /// Failure of the first instance that belongs to the stage or runs the new build anyway.
    fn failure(&self, members: &[&InstanceObservation], instances: &[InstanceObservation]) -> Option<String> {
        let members: BTreeSet<&str> = members.iter().map(|instance| instance.name.as_str()).collect();
        instances.iter().find_map(|instance| {
            let belongs = members.contains(instance.name.as_str()) || instance.runs(&self.new);
            let failure = instance.failure.as_ref().filter(|_| belongs)?;
            Some(format!("{}: {failure}", instance.name))
        })
    }

    /// Replaces members that run another build. An instance that runs the new build keeps it, even if the order has changed
    /// because the fleet has.
    fn replace_members(&self, stage: usize, members: &[&InstanceObservation], fleet_size: usize) -> Step {
        let remaining = members.iter().filter(|instance| !instance.runs(&self.new));
        let replacements: Vec<Replacement> =
            remaining.map(|i| Replacement { instance: i.name.clone(), build: self.new.clone() }).collect();
        let target = self.target_count(stage, fleet_size);
        let text = format!("wave {}: {} of {target} to be moved", stage + 1, replacements.len());
        Step::wait(replacements, text)
    }

    /// Runs the analysis on a stage whose instances are ready.
    fn check_stage(
        &self,
        progress: StageProgress,
        due_checks: u64,
        observed_ms: u64,
        instances: &[InstanceObservation],
    ) -> Step {
        let StageProgress { stage, ready_since_ms, suspected, .. } = progress;
        let observed_further = |suspected: bool| {
            Step::transition(RolloutState::InStage { stage, ready_since_ms, checks: due_checks, suspected })
        };
        let samples = |build| -> Vec<MetricsSample> {
            instances.iter().filter(|i| i.runs(build)).filter_map(|i| i.metrics).collect()
        };
        let covers_fleet = self.target_count(stage, instances.len()) >= instances.len();
        match self.analysis.compare(&samples(&self.new), &samples(&self.old)) {
            // Two consecutive checks are required: requests of an instance fail together now and then, and in a stage of one
            // instance such a burst looks like a regression.
            AnalysisVerdict::Regression(description) if suspected => self.stop(stage, description),
            AnalysisVerdict::Regression(_) => observed_further(true),
            AnalysisVerdict::Healthy if observed_ms >= self.bake_ms => self.pass(stage, covers_fleet),
            // Without old instances there is nothing to compare with; the earlier stages were compared.
            AnalysisVerdict::Inconclusive(_)
                if observed_ms >= self.max_bake_ms || observed_ms >= self.bake_ms && covers_fleet =>
            {
                self.pass(stage, covers_fleet)
            }
            _ => observed_further(false),
        }
    }

    /// Passes a stage.
    fn pass(&self, stage: usize, covers_fleet: bool) -> Step {
        let is_last = stage >= self.stages.len() || covers_fleet;
        Step::transition(if is_last { RolloutState::Complete } else { RolloutState::stage_start(stage + 1) })
    }

    /// Stops the rollout in a stage.
    fn stop(&self, stage: usize, reason: String) -> Step {
        Step::transition(if self.auto_rollback {
            RolloutState::RollingBack { reason }
        } else {
            RolloutState::Paused { stage: Some(stage), reason }
        })
    }
}
