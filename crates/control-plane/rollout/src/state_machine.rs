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
        wave: usize,
        /// Since when all of it are ready, in Unix milliseconds; `None`: they are not yet.
        since_ms: Option<u64>,
        /// Looks that the gate has taken in it.
        looks: u64,
        /// Whether the last one said harm.
        suspected: bool,
    },
    /// Nothing is moved.
    #[serde(rename = "halted")]
    Paused {
        /// In which wave; `None`: on the way back.
        wave: Option<usize>,
        /// Why, and by whom.
        why: String,
    },
    /// The new ones return to the old build.
    #[serde(rename = "returning")]
    RollingBack {
        /// Why.
        why: String,
    },
    /// All run the new build.
    #[serde(rename = "whole")]
    Complete,
    /// All run the old build again.
    #[serde(rename = "back")]
    RolledBack {
        /// Why.
        why: String,
    },
}

impl RolloutState {
    /// In words.
    pub fn words(&self) -> String {
        match self {
            RolloutState::InStage { wave, since_ms: None, .. } => format!("wave {} is being moved", wave + 1),
            RolloutState::InStage { wave, suspected: true, .. } => {
                format!("wave {} is watched, and the last look saw harm", wave + 1)
            }
            RolloutState::InStage { wave, .. } => format!("wave {} is watched", wave + 1),
            RolloutState::Paused { wave: Some(wave), why } => format!("halted in wave {}: {why}", wave + 1),
            RolloutState::Paused { wave: None, why } => format!("halted on its way back: {why}"),
            RolloutState::RollingBack { why } => format!("on its way back: {why}"),
            RolloutState::Complete => "whole".into(),
            RolloutState::RolledBack { why } => format!("back: {why}"),
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
    pub runs: Option<BuildId>,
    /// Whether it is ready.
    pub ready: bool,
    /// What stops the release by itself: it crashes again and again, is never ready, its build is missing.
    pub broken: Option<String>,
    /// What it did since the last look.
    pub sample: Option<MetricsSample>,
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
    pub moves: Vec<(String, BuildId)>,
    /// The state to be written, where it differs; moves belong to the state as it was.
    pub state: Option<RolloutState>,
    /// What is being waited for.
    pub waits: Option<String>,
}

impl RolloutSpec {
    /// Where a release begins.
    pub fn begin(&self) -> RolloutState {
        RolloutState::InStage { wave: 0, since_ms: None, looks: 0, suspected: false }
    }

    /// What an operator's word makes of a state.
    ///
    /// # Errors
    /// It means nothing in this state.
    pub fn ordered(&self, state: &RolloutState, said: &OperatorCommand) -> Result<RolloutState, String> {
        match (said, state) {
            (OperatorCommand::Pause(why), RolloutState::InStage { wave, .. }) => {
                Ok(RolloutState::Paused { wave: Some(*wave), why: why.clone() })
            }
            (OperatorCommand::Pause(why), RolloutState::RollingBack { .. }) => {
                Ok(RolloutState::Paused { wave: None, why: why.clone() })
            }
            (OperatorCommand::Resume, RolloutState::Paused { wave: None, why }) => {
                Ok(RolloutState::RollingBack { why: why.clone() })
            }
            (OperatorCommand::Resume, RolloutState::Paused { wave: Some(wave), .. }) => {
                Ok(RolloutState::InStage { wave: *wave, since_ms: None, looks: 0, suspected: false })
            }
            (
                OperatorCommand::RollBack(why),
                RolloutState::InStage { .. } | RolloutState::Paused { .. } | RolloutState::Complete,
            ) => Ok(RolloutState::RollingBack { why: why.clone() }),
            (OperatorCommand::Pause(_), _) => Err("it does not go on".into()),
            (OperatorCommand::Resume, _) => Err("it is not halted".into()),
            (OperatorCommand::RollBack(_), _) => Err("it is on its way back, or there".into()),
        }
    }

    /// How many have the new build after this wave.
    fn after(&self, wave: usize, all: usize) -> usize {
        self.waves.get(wave).map_or(all, |w| w.of(all))
    }

    /// What follows from a state and what is seen, at this time (Unix milliseconds).
    pub fn step(&self, state: &RolloutState, seen: &[InstanceObservation], now_ms: u64) -> Step {
        match state {
            RolloutState::InStage { wave, since_ms, looks, suspected } => {
                self.go(*wave, (*since_ms, *looks, *suspected), seen, now_ms)
            }
            RolloutState::RollingBack { why } => self.go_back(why, seen),
            RolloutState::Paused { why, .. } => {
                Step { moves: Vec::new(), state: None, waits: Some(format!("halted: {why}")) }
            }
            // One that was on its way to the new build, unseen, when the others were back.
            RolloutState::RolledBack { why } if seen.iter().any(|i| i.runs.as_ref() == Some(&self.new)) => {
                Step {
                    moves: Vec::new(),
                    state: Some(RolloutState::RollingBack { why: why.clone() }),
                    waits: None,
                }
            }
            RolloutState::Complete | RolloutState::RolledBack { .. } => {
                Step { moves: Vec::new(), state: None, waits: None }
            }
        }
    }

    fn go(
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
        let taken = self.after(wave, seen.len());
        let order = order(self.number, &places);
        let wanted: BTreeSet<&str> = order.iter().take(taken).copied().collect();
        // Who has the new build keeps it, also if the order has changed with the fleet.
        let new = |i: &&InstanceObservation| i.runs.as_ref() == Some(&self.new);
        if let Some((name, why)) = seen.iter().find_map(|i| {
            let counts = wanted.contains(i.name.as_str()) || new(&i);
            i.broken.as_ref().filter(|_| counts).map(|why| (&i.name, why))
        }) {
            return self.stops(wave, format!("{name}: {why}"));
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
            seen.iter().filter(|i| of(i)).filter_map(|i| i.sample).collect()
        };
        let standing = wanted.iter().filter_map(|name| find(name)).all(|i| new(&i) && i.ready);
        let waits = |what: String| Step { moves: moves.clone(), state: None, waits: Some(what) };
        let to = |state: RolloutState| Step { moves: Vec::new(), state: Some(state), waits: None };
        let Some(since) = since_ms else {
            return match standing && !seen.is_empty() {
                true => {
                    to(RolloutState::InStage { wave, since_ms: Some(now_ms), looks: 0, suspected: false })
                }
                false => waits(format!("wave {}: {} of {taken} to be moved", wave + 1, moves.len())),
            };
        };
        if !standing {
            // One that went away is watched anew from its return on.
            return to(RolloutState::InStage { wave, since_ms: None, looks: 0, suspected: false });
        }
        let watched = now_ms.saturating_sub(since);
        let next = || match wave < self.waves.len() && taken < seen.len() {
            true => RolloutState::InStage { wave: wave + 1, since_ms: None, looks: 0, suspected: false },
            false => RolloutState::Complete,
        };
        // Looks are counted: each has its part of the chance of a false halt.
        let due = watched / self.look_ms.max(1);
        if due <= looks {
            return waits(format!("wave {} is watched for {watched} ms of {}", wave + 1, self.bake_ms));
        }
        let old = samples(&|i| i.runs.as_ref() == Some(&self.old));
        match self.gate.look(&samples(&|i| new(&i)), &old) {
            // Twice in a row: instances fail together now and then, and a wave of one may be where it happens.
            AnalysisVerdict::Regression(what) if suspected => self.stops(wave, what),
            AnalysisVerdict::Regression(_) => {
                to(RolloutState::InStage { wave, since_ms, looks: due, suspected: true })
            }
            AnalysisVerdict::Healthy if watched >= self.bake_ms => to(next()),
            // Nobody is left to compare with: what there was to see has been seen in the waves before.
            AnalysisVerdict::Inconclusive(_)
                if watched >= self.cap_ms || watched >= self.bake_ms && taken >= seen.len() =>
            {
                to(next())
            }
            _ => to(RolloutState::InStage { wave, since_ms, looks: due, suspected: false }),
        }
    }

    fn stops(&self, wave: usize, why: String) -> Step {
        let state = if self.returns {
            RolloutState::RollingBack { why }
        } else {
            RolloutState::Paused { wave: Some(wave), why }
        };
        Step { moves: Vec::new(), state: Some(state), waits: None }
    }

    fn go_back(&self, why: &str, seen: &[InstanceObservation]) -> Step {
        let mut new: Vec<&InstanceObservation> =
            seen.iter().filter(|i| i.runs.as_ref() != Some(&self.old)).collect();
        if new.iter().all(|i| i.runs.is_none()) {
            let waits = (!new.is_empty()).then(|| format!("what {} runs is not known", new[0].name));
            let state = new.is_empty().then(|| RolloutState::RolledBack { why: why.into() });
            return Step { moves: Vec::new(), state, waits };
        }
        let served = |i: &InstanceObservation| {
            i.sample.filter(|s| s.asked > 0).map_or(1.0, |s| s.served as f64 / s.asked as f64)
        };
        // The worst first: what is broken or not ready, then whoever serves least.
        new.sort_by(|a, b| {
            let rank = |i: &InstanceObservation| (i.broken.is_none(), i.ready);
            rank(a).cmp(&rank(b)).then(served(a).total_cmp(&served(b))).then(a.name.cmp(&b.name))
        });
        let moves: Vec<_> =
            new.iter().filter(|i| i.runs.is_some()).map(|i| (i.name.clone(), self.old.clone())).collect();
        let waits = Some(format!("{} go back: {why}", moves.len()));
        Step { moves, state: None, waits }
    }
}
