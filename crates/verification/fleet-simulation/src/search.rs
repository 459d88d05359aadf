//! Searches for seeds that violate invariants or have the lowest service score, within a time budget, and shrinks what
//! it finds to the smallest run that still shows it. A run worth keeping is saved as a [`Case`]: a few lines that
//! determine it completely.
use crate::agenda::nanos_from_ms;
use crate::mutant::Mutant;
use crate::scenario::{Scenario, Size};
use crate::world::{run_scenario, Report};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Number of runs with the lowest service score that a search keeps.
const MAX_WORST_RUNS: usize = 10;
/// Shortest load that a case is shrunk to, in milliseconds.
const MIN_LENGTH_MS: u32 = 500;

/// A run determined by a seed and the parts of it that are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Reason for keeping the case.
    pub why: String,
    /// Seed of the run.
    pub seed: u64,
    /// Size of the fleet.
    pub size: Size,
    /// Indices of the faults that are kept; all of them if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub troubles: Option<Vec<usize>>,
    /// Duration of the load in milliseconds; the full duration if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_ms: Option<u32>,
}

impl Case {
    /// Returns the full run of a seed.
    pub fn full_run(seed: u64, size: Size) -> Case {
        Case { why: String::new(), seed, size, troubles: None, ends_ms: None }
    }

    /// Parses a case from TOML.
    ///
    /// # Errors
    /// Returns a description of the error and its line.
    pub fn parse(text: &str) -> Result<Case, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }

    /// Returns the scenario. Leaving parts out changes no random draw of the rest.
    pub fn scenario(&self) -> Scenario {
        let mut scenario = Scenario::draw(self.seed, self.size);
        if let Some(kept) = &self.troubles {
            let all_faults = std::mem::take(&mut scenario.faults);
            scenario.faults = kept.iter().filter_map(|&k| all_faults.get(k).copied()).collect();
        }
        if let Some(ends_ms) = self.ends_ms {
            scenario.load_end = scenario.load_end.min(nanos_from_ms(f64::from(ends_ms)));
        }
        scenario
    }
}

/// Shrinks a run while the given check still holds: first removes faults one by one, and then load from the end.
pub fn shrink(full: &Case, mutant: Mutant, reproduces: &dyn Fn(&Report) -> bool) -> Case {
    let mut smallest = full.clone();
    let fault_count = full.scenario().faults.len();
    smallest.troubles = Some(full.troubles.clone().unwrap_or_else(|| (0..fault_count).collect()));
    let still_reproduces = |case: &Case| reproduces(&run_scenario(&case.scenario(), mutant));
    let mut index = 0;
    while let Some(faults) = smallest.troubles.as_ref().filter(|t| index < t.len()) {
        let mut fewer = faults.clone();
        fewer.remove(index);
        let case = Case { troubles: Some(fewer), ..smallest.clone() };
        if still_reproduces(&case) {
            smallest = case;
        } else {
            index += 1;
        }
    }
    // Bisection: what occurs with a shorter load usually also occurs with a longer one. Each candidate is run, so the
    // result always reproduces.
    let (mut low, mut high) = (MIN_LENGTH_MS, smallest.ends_ms.unwrap_or(smallest.size.length_ms));
    while high - low > MIN_LENGTH_MS {
        let middle = low + (high - low) / 2;
        let case = Case { ends_ms: Some(middle), ..smallest.clone() };
        if still_reproduces(&case) {
            (smallest, high) = (case, middle);
        } else {
            low = middle;
        }
    }
    smallest
}

/// Result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// Number of runs.
    pub runs: u64,
    /// Runs that violated an invariant or retained entries, by seed.
    pub violating: Vec<(u64, Report)>,
    /// Runs with the lowest service score, in ascending order.
    pub worst: Vec<(u64, Report)>,
}

/// Runs seeds from `from` on until `count` have run or `time_limit` has passed. Each run uses one of the `threads`.
pub fn search(
    size: Size,
    mutant: Mutant,
    from: u64,
    count: u64,
    time_limit: Duration,
    threads: usize,
) -> SearchResult {
    let (next, started, found) = (AtomicU64::new(from), Instant::now(), Mutex::new(SearchResult::default()));
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed - from >= count || started.elapsed() >= time_limit {
                    return;
                }
                let report = run_scenario(&Scenario::draw(seed, size), mutant);
                let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
                found.runs += 1;
                if !report.is_correct() {
                    found.violating.push((seed, report.clone()));
                }
                found.worst.push((seed, report));
                found.worst.sort_by(|a, b| a.1.score.service().total_cmp(&b.1.score.service()));
                found.worst.truncate(MAX_WORST_RUNS);
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    found.violating.sort_by_key(|&(seed, _)| seed);
    found
}
