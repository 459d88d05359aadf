//! How far a release is, and what follows: the next wave, a halt, the way back.
//!
//! | seen | what follows |
//! | --- | --- |
//! | a wave is not yet whole | its instances are to run the new build |
//! | all of it are ready on the new build | it is watched from then on |
//! | the gate says harm twice in a row; a new one crashes again and again, is never ready, or its build is missing | halted; with `returns` back at once |
//! | watched for the bake, and the gate says good | the next wave, or whole |
//! | each `look_ms` of that | the gate looks, and each look is counted |
//! | watched for the cap, and the gate can't tell | the next wave as well: a quiet night must end, and what the gate could have seen is known |
//! | halted | nothing is moved: who runs what stays as it is |
//! | back, and one is found on the new build after all | going back |
//! | going back | whoever runs the new build is to run the old one, the worst first |
use crate::canary::{AnalysisVerdict, MetricsSample};
use crate::stages::{order, Placement};
use crate::{BuildId, RolloutSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How far a release is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// In a wave, counted from 0; one behind the last is the rest of the fleet.
    #[serde(rename = "going")]
    InStage {
        /// Which.
        #[serde(rename = "wave")]
        stage: usize,
        /// Since when all of it are ready, in Unix milliseconds; `None`: they are not yet.
        #[serde(rename = "since_ms")]
        ready_since_ms: Option<u64>,
        /// Looks that the gate has taken in it.
        #[serde(rename = "looks")]
        checks: u64,
        /// Whether the last one said harm.
        suspected: bool,
    },
    /// Nothing is moved.
    #[serde(rename = "halted")]
    Paused {
        /// In which wave; `None`: on the way back.
        #[serde(rename = "wave")]
        stage: Option<usize>,
        /// Why, and by whom.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The new ones return to the old build.
    #[serde(rename = "returning")]
    RollingBack {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// All run the new build.
    #[serde(rename = "whole")]
    Complete,
    /// All run the old build again.
    #[serde(rename = "back")]
    RolledBack {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl RolloutState {
    /// In words.
    pub fn summary(&self) -> String {
        match self {
            RolloutState::InStage { stage: wave, ready_since_ms: None, .. } => {
                format!("wave {} is being moved", wave + 1)
            }
            RolloutState::InStage { stage: wave, suspected: true, .. } => {
                format!("wave {} is watched, and the last look saw harm", wave + 1)
            }
            RolloutState::InStage { stage: wave, .. } => format!("wave {} is watched", wave + 1),
            RolloutState::Paused { stage: Some(wave), reason: why } => {
                format!("halted in wave {}: {why}", wave + 1)
            }
            RolloutState::Paused { stage: None, reason: why } => format!("halted on its way back: {why}"),
            RolloutState::RollingBack { reason: why } => format!("on its way back: {why}"),
            RolloutState::Complete => "whole".into(),
            RolloutState::RolledBack { reason: why } => format!("back: {why}"),
        }
    }
}

/// What is seen of an instance.
#[derive(Clone, Debug, Default)]
pub struct InstanceObservation {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its machine.
    pub machine: String,
    /// The build that it runs; `None`: not known.
    pub build: Option<BuildId>,
    /// Whether it is ready.
    pub ready: bool,
    /// What stops the release by itself: it crashes again and again, is never ready, its build is missing.
    pub failure: Option<String>,
    /// What it did since the last look.
    pub metrics: Option<MetricsSample>,
}

/// What an operator says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Nothing is moved any more.
    Pause(String),
    /// On from where it was halted.
    Resume,
    /// Back to the old build.
    RollBack(String),
}

/// What follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// What instances are to run that do not, in the order in which they are to be moved. Each needs leave.
    pub replacements: Vec<(String, BuildId)>,
    /// The state to be written, where it differs; moves belong to the state as it was.
    pub next_state: Option<RolloutState>,
    /// What is being waited for.
    pub waiting_for: Option<String>,
}

impl RolloutSpec {
    /// Where a release begins.
    pub fn initial_state(&self) -> RolloutState {
        RolloutState::InStage { stage: 0, ready_since_ms: None, checks: 0, suspected: false }
    }

    /// What an operator's word makes of a state.
    ///
    /// # Errors
    /// It means nothing in this state.
    pub fn apply_command(
        &self,
        state: &RolloutState,
        said: &OperatorCommand,
    ) -> Result<RolloutState, String> {
        match (said, state) {
            (OperatorCommand::Pause(why), RolloutState::InStage { stage: wave, .. }) => {
                Ok(RolloutState::Paused { stage: Some(*wave), reason: why.clone() })
            }
            (OperatorCommand::Pause(why), RolloutState::RollingBack { .. }) => {
                Ok(RolloutState::Paused { stage: None, reason: why.clone() })
            }
            (OperatorCommand::Resume, RolloutState::Paused { stage: None, reason: why }) => {
                Ok(RolloutState::RollingBack { reason: why.clone() })
            }
            (OperatorCommand::Resume, RolloutState::Paused { stage: Some(wave), .. }) => {
                Ok(RolloutState::InStage { stage: *wave, ready_since_ms: None, checks: 0, suspected: false })
            }
            (
                OperatorCommand::RollBack(why),
                RolloutState::InStage { .. } | RolloutState::Paused { .. } | RolloutState::Complete,
            ) => Ok(RolloutState::RollingBack { reason: why.clone() }),
            (OperatorCommand::Pause(_), _) => Err("it does not go on".into()),
            (OperatorCommand::Resume, _) => Err("it is not halted".into()),
            (OperatorCommand::RollBack(_), _) => Err("it is on its way back, or there".into()),
        }
    }

    /// How many have the new build after this wave.
    fn target_count(&self, wave: usize, all: usize) -> usize {
        self.stages.get(wave).map_or(all, |w| w.instance_count(all))
    }

    /// What follows from a state and what is seen, at this time (Unix milliseconds).
    pub fn step(&self, state: &RolloutState, seen: &[InstanceObservation], now_ms: u64) -> Step {
        match state {
            RolloutState::InStage { stage: wave, ready_since_ms: since_ms, checks: looks, suspected } => {
                self.step_stage(*wave, (*since_ms, *looks, *suspected), seen, now_ms)
            }
            RolloutState::RollingBack { reason: why } => self.step_rollback(why, seen),
            RolloutState::Paused { reason: why, .. } => Step {
                replacements: Vec::new(),
                next_state: None,
                waiting_for: Some(format!("halted: {why}")),
            },
            // One that was on its way to the new build, unseen, when the others were back.
            RolloutState::RolledBack { reason: why }
                if seen.iter().any(|i| i.build.as_ref() == Some(&self.new)) =>
            {
                Step {
                    replacements: Vec::new(),
                    next_state: Some(RolloutState::RollingBack { reason: why.clone() }),
                    waiting_for: None,
                }
            }
            RolloutState::Complete | RolloutState::RolledBack { .. } => {
                Step { replacements: Vec::new(), next_state: None, waiting_for: None }
            }
        }
    }

    fn step_stage(
        &self,
        wave: usize,
        (since_ms, looks, suspected): (Option<u64>, u64, bool),
        seen: &[InstanceObservation],
        now_ms: u64,
    ) -> Step {
        let place = |i: &'_ InstanceObservation| -> (String, String, String) {
            (i.name.clone(), i.zone.clone(), i.machine.clone())
        };
        let places: Vec<(String, String, String)> = seen.iter().map(place).collect();
        let places: Vec<Placement<'_>> =
            places.iter().map(|(name, zone, machine)| Placement { name, zone, machine }).collect();
        let taken = self.target_count(wave, seen.len());
        let order = order(self.number, &places);
        let wanted: BTreeSet<&str> = order.iter().take(taken).copied().collect();
        // Who has the new build keeps it, also if the order has changed with the fleet.
        let new = |i: &&InstanceObservation| i.build.as_ref() == Some(&self.new);
        if let Some((name, why)) = seen.iter().find_map(|i| {
            let counts = wanted.contains(i.name.as_str()) || new(&i);
            i.failure.as_ref().filter(|_| counts).map(|why| (&i.name, why))
        }) {
            return self.stop(wave, format!("{name}: {why}"));
        }
        let by_name: BTreeMap<&str, &InstanceObservation> =
            seen.iter().map(|i| (i.name.as_str(), i)).collect();
        let find = |name: &str| by_name.get(name).copied();
        let moves: Vec<(String, BuildId)> = order
            .iter()
            .take(taken)
            .filter_map(|name| find(name))
            .filter(|i| !new(i))
            .map(|i| (i.name.clone(), self.new.clone()))
            .collect();
        let samples = |of: &dyn Fn(&InstanceObservation) -> bool| -> Vec<MetricsSample> {
            seen.iter().filter(|i| of(i)).filter_map(|i| i.metrics).collect()
        };
        let standing = wanted.iter().filter_map(|name| find(name)).all(|i| new(&i) && i.ready);
        let waits =
            |what: String| Step { replacements: moves.clone(), next_state: None, waiting_for: Some(what) };
        let to = |state: RolloutState| Step {
            replacements: Vec::new(),
            next_state: Some(state),
            waiting_for: None,
        };
        let Some(since) = since_ms else {
            return match standing && !seen.is_empty() {
                true => to(RolloutState::InStage {
                    stage: wave,
                    ready_since_ms: Some(now_ms),
                    checks: 0,
                    suspected: false,
                }),
                false => waits(format!("wave {}: {} of {taken} to be moved", wave + 1, moves.len())),
            };
        };
        if !standing {
            // One that went away is watched anew from its return on.
            return to(RolloutState::InStage {
                stage: wave,
                ready_since_ms: None,
                checks: 0,
                suspected: false,
            });
        }
        let watched = now_ms.saturating_sub(since);
        let next = || match wave < self.stages.len() && taken < seen.len() {
            true => {
                RolloutState::InStage { stage: wave + 1, ready_since_ms: None, checks: 0, suspected: false }
            }
            false => RolloutState::Complete,
        };
        // Looks are counted: each has its part of the chance of a false halt.
        let due = watched / self.check_interval_ms.max(1);
        if due <= looks {
            return waits(format!("wave {} is watched for {watched} ms of {}", wave + 1, self.bake_ms));
        }
        let old = samples(&|i| i.build.as_ref() == Some(&self.old));
        match self.analysis.compare(&samples(&|i| new(&i)), &old) {
            // Twice in a row: instances fail together now and then, and a wave of one may be where it happens.
            AnalysisVerdict::Regression(what) if suspected => self.stop(wave, what),
            AnalysisVerdict::Regression(_) => to(RolloutState::InStage {
                stage: wave,
                ready_since_ms: since_ms,
                checks: due,
                suspected: true,
            }),
            AnalysisVerdict::Healthy if watched >= self.bake_ms => to(next()),
            // Nobody is left to compare with: what there was to see has been seen in the waves before.
            AnalysisVerdict::Inconclusive(_)
                if watched >= self.max_bake_ms || watched >= self.bake_ms && taken >= seen.len() =>
            {
                to(next())
            }
            _ => to(RolloutState::InStage {
                stage: wave,
                ready_since_ms: since_ms,
                checks: due,
                suspected: false,
            }),
        }
    }

    fn stop(&self, wave: usize, why: String) -> Step {
        let state = if self.auto_rollback {
            RolloutState::RollingBack { reason: why }
        } else {
            RolloutState::Paused { stage: Some(wave), reason: why }
        };
        Step { replacements: Vec::new(), next_state: Some(state), waiting_for: None }
    }

    fn step_rollback(&self, why: &str, seen: &[InstanceObservation]) -> Step {
        let mut new: Vec<&InstanceObservation> =
            seen.iter().filter(|i| i.build.as_ref() != Some(&self.old)).collect();
        if new.iter().all(|i| i.build.is_none()) {
            let waits = (!new.is_empty()).then(|| format!("what {} runs is not known", new[0].name));
            let state = new.is_empty().then(|| RolloutState::RolledBack { reason: why.into() });
            return Step { replacements: Vec::new(), next_state: state, waiting_for: waits };
        }
        let served = |i: &InstanceObservation| {
            i.metrics.filter(|s| s.requests > 0).map_or(1.0, |s| s.served as f64 / s.requests as f64)
        };
        // The worst first: what is broken or not ready, then whoever serves least.
        new.sort_by(|a, b| {
            let rank = |i: &InstanceObservation| (i.failure.is_none(), i.ready);
            rank(a).cmp(&rank(b)).then(served(a).total_cmp(&served(b))).then(a.name.cmp(&b.name))
        });
        let moves: Vec<_> =
            new.iter().filter(|i| i.build.is_some()).map(|i| (i.name.clone(), self.old.clone())).collect();
        let waits = Some(format!("{} go back: {why}", moves.len()));
        Step { replacements: moves, next_state: None, waiting_for: waits }
    }
}
