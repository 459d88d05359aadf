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
use crate::gate::{Sample, Verdict};
use crate::waves::{order, Place};
use crate::{Build, Release};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How far a release is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In a wave, counted from 0; one behind the last is the rest of the fleet.
    Going {
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
    Halted {
        /// In which wave; `None`: on the way back.
        wave: Option<usize>,
        /// Why, and by whom.
        why: String,
    },
    /// The new ones return to the old build.
    Returning {
        /// Why.
        why: String,
    },
    /// All run the new build.
    Whole,
    /// All run the old build again.
    Back {
        /// Why.
        why: String,
    },
}

impl State {
    /// In words.
    pub fn words(&self) -> String {
        match self {
            State::Going { wave, since_ms: None, .. } => format!("wave {} is being moved", wave + 1),
            State::Going { wave, suspected: true, .. } => {
                format!("wave {} is watched, and the last look saw harm", wave + 1)
            }
            State::Going { wave, .. } => format!("wave {} is watched", wave + 1),
            State::Halted { wave: Some(wave), why } => format!("halted in wave {}: {why}", wave + 1),
            State::Halted { wave: None, why } => format!("halted on its way back: {why}"),
            State::Returning { why } => format!("on its way back: {why}"),
            State::Whole => "whole".into(),
            State::Back { why } => format!("back: {why}"),
        }
    }
}

/// What is seen of an instance.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its machine.
    pub machine: String,
    /// The build that it runs; `None`: not known.
    pub runs: Option<Build>,
    /// Whether it is ready.
    pub ready: bool,
    /// What stops the release by itself: it crashes again and again, is never ready, its build is missing.
    pub broken: Option<String>,
    /// What it did since the last look.
    pub sample: Option<Sample>,
}

/// What an operator says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Nothing is moved any more.
    Halt(String),
    /// On from where it was halted.
    Resume,
    /// Back to the old build.
    Back(String),
}

/// What follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// What instances are to run that do not, in the order in which they are to be moved. Each needs leave.
    pub moves: Vec<(String, Build)>,
    /// The state to be written, where it differs; moves belong to the state as it was.
    pub state: Option<State>,
    /// What is being waited for.
    pub waits: Option<String>,
}

impl Release {
    /// Where a release begins.
    pub fn begin(&self) -> State {
        State::Going { wave: 0, since_ms: None, looks: 0, suspected: false }
    }

    /// What an operator's word makes of a state.
    ///
    /// # Errors
    /// It means nothing in this state.
    pub fn ordered(&self, state: &State, said: &Order) -> Result<State, String> {
        match (said, state) {
            (Order::Halt(why), State::Going { wave, .. }) => {
                Ok(State::Halted { wave: Some(*wave), why: why.clone() })
            }
            (Order::Halt(why), State::Returning { .. }) => Ok(State::Halted { wave: None, why: why.clone() }),
            (Order::Resume, State::Halted { wave: None, why }) => Ok(State::Returning { why: why.clone() }),
            (Order::Resume, State::Halted { wave: Some(wave), .. }) => {
                Ok(State::Going { wave: *wave, since_ms: None, looks: 0, suspected: false })
            }
            (Order::Back(why), State::Going { .. } | State::Halted { .. } | State::Whole) => {
                Ok(State::Returning { why: why.clone() })
            }
            (Order::Halt(_), _) => Err("it does not go on".into()),
            (Order::Resume, _) => Err("it is not halted".into()),
            (Order::Back(_), _) => Err("it is on its way back, or there".into()),
        }
    }

    /// How many have the new build after this wave.
    fn after(&self, wave: usize, all: usize) -> usize {
        self.waves.get(wave).map_or(all, |w| w.of(all))
    }

    /// What follows from a state and what is seen, at this time (Unix milliseconds).
    pub fn step(&self, state: &State, seen: &[Instance], now_ms: u64) -> Step {
        match state {
            State::Going { wave, since_ms, looks, suspected } => {
                self.go(*wave, (*since_ms, *looks, *suspected), seen, now_ms)
            }
            State::Returning { why } => self.go_back(why, seen),
            State::Halted { why, .. } => {
                Step { moves: Vec::new(), state: None, waits: Some(format!("halted: {why}")) }
            }
            // One that was on its way to the new build, unseen, when the others were back.
            State::Back { why } if seen.iter().any(|i| i.runs.as_ref() == Some(&self.new)) => {
                Step { moves: Vec::new(), state: Some(State::Returning { why: why.clone() }), waits: None }
            }
            State::Whole | State::Back { .. } => Step { moves: Vec::new(), state: None, waits: None },
        }
    }

    fn go(
        &self,
        wave: usize,
        (since_ms, looks, suspected): (Option<u64>, u64, bool),
        seen: &[Instance],
        now_ms: u64,
    ) -> Step {
        let place = |i: &'_ Instance| -> (String, String, String) {
            (i.name.clone(), i.zone.clone(), i.machine.clone())
        };
        let places: Vec<(String, String, String)> = seen.iter().map(place).collect();
        let places: Vec<Place<'_>> =
            places.iter().map(|(name, zone, machine)| Place { name, zone, machine }).collect();
        let taken = self.after(wave, seen.len());
        let order = order(self.number, &places);
        let wanted: BTreeSet<&str> = order.iter().take(taken).copied().collect();
        // Who has the new build keeps it, also if the order has changed with the fleet.
        let new = |i: &&Instance| i.runs.as_ref() == Some(&self.new);
        if let Some((name, why)) = seen.iter().find_map(|i| {
            let counts = wanted.contains(i.name.as_str()) || new(&i);
            i.broken.as_ref().filter(|_| counts).map(|why| (&i.name, why))
        }) {
            return self.stops(wave, format!("{name}: {why}"));
        }
        let by_name: BTreeMap<&str, &Instance> = seen.iter().map(|i| (i.name.as_str(), i)).collect();
        let find = |name: &str| by_name.get(name).copied();
        let moves: Vec<(String, Build)> = order
            .iter()
            .take(taken)
            .filter_map(|name| find(name))
            .filter(|i| !new(i))
            .map(|i| (i.name.clone(), self.new.clone()))
            .collect();
        let samples = |of: &dyn Fn(&Instance) -> bool| -> Vec<Sample> {
            seen.iter().filter(|i| of(i)).filter_map(|i| i.sample).collect()
        };
        let standing = wanted.iter().filter_map(|name| find(name)).all(|i| new(&i) && i.ready);
        let waits = |what: String| Step { moves: moves.clone(), state: None, waits: Some(what) };
        let to = |state: State| Step { moves: Vec::new(), state: Some(state), waits: None };
        let Some(since) = since_ms else {
            return match standing && !seen.is_empty() {
                true => to(State::Going { wave, since_ms: Some(now_ms), looks: 0, suspected: false }),
                false => waits(format!("wave {}: {} of {taken} to be moved", wave + 1, moves.len())),
            };
        };
        if !standing {
            // One that went away is watched anew from its return on.
            return to(State::Going { wave, since_ms: None, looks: 0, suspected: false });
        }
        let watched = now_ms.saturating_sub(since);
        let next = || match wave < self.waves.len() && taken < seen.len() {
            true => State::Going { wave: wave + 1, since_ms: None, looks: 0, suspected: false },
            false => State::Whole,
        };
        // Looks are counted: each has its part of the chance of a false halt.
        let due = watched / self.look_ms.max(1);
        if due <= looks {
            return waits(format!("wave {} is watched for {watched} ms of {}", wave + 1, self.bake_ms));
        }
        let old = samples(&|i| i.runs.as_ref() == Some(&self.old));
        match self.gate.look(&samples(&|i| new(&i)), &old) {
            // Twice in a row: instances fail together now and then, and a wave of one may be where it happens.
            Verdict::Harm(what) if suspected => self.stops(wave, what),
            Verdict::Harm(_) => to(State::Going { wave, since_ms, looks: due, suspected: true }),
            Verdict::Good if watched >= self.bake_ms => to(next()),
            // Nobody is left to compare with: what there was to see has been seen in the waves before.
            Verdict::Unclear(_)
                if watched >= self.cap_ms || watched >= self.bake_ms && taken >= seen.len() =>
            {
                to(next())
            }
            _ => to(State::Going { wave, since_ms, looks: due, suspected: false }),
        }
    }

    fn stops(&self, wave: usize, why: String) -> Step {
        let state =
            if self.returns { State::Returning { why } } else { State::Halted { wave: Some(wave), why } };
        Step { moves: Vec::new(), state: Some(state), waits: None }
    }

    fn go_back(&self, why: &str, seen: &[Instance]) -> Step {
        let mut new: Vec<&Instance> = seen.iter().filter(|i| i.runs.as_ref() != Some(&self.old)).collect();
        if new.iter().all(|i| i.runs.is_none()) {
            let waits = (!new.is_empty()).then(|| format!("what {} runs is not known", new[0].name));
            let state = new.is_empty().then(|| State::Back { why: why.into() });
            return Step { moves: Vec::new(), state, waits };
        }
        let served =
            |i: &Instance| i.sample.filter(|s| s.asked > 0).map_or(1.0, |s| s.served as f64 / s.asked as f64);
        // The worst first: what is broken or not ready, then whoever serves least.
        new.sort_by(|a, b| {
            let rank = |i: &Instance| (i.broken.is_none(), i.ready);
            rank(a).cmp(&rank(b)).then(served(a).total_cmp(&served(b))).then(a.name.cmp(&b.name))
        });
        let moves: Vec<_> =
            new.iter().filter(|i| i.runs.is_some()).map(|i| (i.name.clone(), self.old.clone())).collect();
        let waits = Some(format!("{} go back: {why}", moves.len()));
        Step { moves, state: None, waits }
    }
}
