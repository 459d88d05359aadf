//! Looks for seeds that break rules or lose most, within a stated budget of time, and shrinks what it finds to the least
//! that still shows it. What is worth keeping is a [`Case`]: a few lines that name a run whole.
use crate::agenda::ms;
use crate::mutant::Mutant;
use crate::scenario::{Scenario, Size};
use crate::world::{play, Report};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Runs with the least service that a search keeps.
const WORST: usize = 10;
/// The shortest load that a case is shrunk to, in milliseconds.
const MIN_LENGTH_MS: u32 = 500;

/// A run by name: a seed, and what of it is left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// What it showed.
    pub why: String,
    /// Its seed.
    pub seed: u64,
    /// The size of its fleet.
    pub size: Size,
    /// The troubles that stay, by their places; all, if it is not said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub troubles: Option<Vec<usize>>,
    /// Load comes for so many milliseconds; for the whole length, if it is not said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_ms: Option<u32>,
}

impl Case {
    /// The whole run of a seed.
    pub fn full_run(seed: u64, size: Size) -> Case {
        Case { why: String::new(), seed, size, troubles: None, ends_ms: None }
    }

    /// Reads a case.
    ///
    /// # Errors
    /// What is wrong with the text, with its line.
    pub fn read(text: &str) -> Result<Case, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }

    /// The run. What is left out changes no draw of the rest.
    pub fn scenario(&self) -> Scenario {
        let mut scenario = Scenario::draw(self.seed, self.size);
        if let Some(kept) = &self.troubles {
            let all = std::mem::take(&mut scenario.troubles);
            scenario.troubles = kept.iter().filter_map(|&k| all.get(k).copied()).collect();
        }
        if let Some(ends) = self.ends_ms {
            scenario.ends = scenario.ends.min(ms(f64::from(ends)));
        }
        scenario
    }
}

/// The least of a run that still shows what is looked for: troubles are left out one by one, and then load from the end.
pub fn shrink(whole: &Case, mutant: Mutant, shows: &dyn Fn(&Report) -> bool) -> Case {
    let mut least = whole.clone();
    let count = whole.scenario().troubles.len();
    least.troubles = Some(whole.troubles.clone().unwrap_or_else(|| (0..count).collect()));
    let still = |case: &Case| shows(&play(&case.scenario(), mutant));
    let mut k = 0;
    while let Some(troubles) = least.troubles.as_ref().filter(|t| k < t.len()) {
        let mut fewer = troubles.clone();
        fewer.remove(k);
        let case = Case { troubles: Some(fewer), ..least.clone() };
        if still(&case) {
            least = case;
        } else {
            k += 1;
        }
    }
    // Bisection: what shows early shows with all load that comes later, too, as a rule; what is found is tried.
    let (mut low, mut high) = (MIN_LENGTH_MS, least.ends_ms.unwrap_or(least.size.length_ms));
    while high - low > MIN_LENGTH_MS {
        let middle = low + (high - low) / 2;
        let case = Case { ends_ms: Some(middle), ..least.clone() };
        if still(&case) {
            (least, high) = (case, middle);
        } else {
            low = middle;
        }
    }
    least
}

/// What a search found.
#[derive(Debug, Default)]
pub struct Found {
    /// Runs played.
    pub played: u64,
    /// Those that broke a rule or left something behind, by seed.
    pub broken: Vec<(u64, Report)>,
    /// Those with the least service, the least first.
    pub worst: Vec<(u64, Report)>,
}

/// Plays seeds from `from` on until `count` are played or the time is over, on so many threads; each run on one of them.
pub fn search(size: Size, mutant: Mutant, from: u64, count: u64, time: Duration, threads: usize) -> Found {
    let (next, began, found) = (AtomicU64::new(from), Instant::now(), Mutex::new(Found::default()));
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed - from >= count || began.elapsed() >= time {
                    return;
                }
                let report = play(&Scenario::draw(seed, size), mutant);
                let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
                found.played += 1;
                if !report.sound() {
                    found.broken.push((seed, report.clone()));
                }
                found.worst.push((seed, report));
                found.worst.sort_by(|a, b| a.1.score.service().total_cmp(&b.1.score.service()));
                found.worst.truncate(WORST);
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    found.broken.sort_by_key(|&(seed, _)| seed);
    found
}
