//! Whether a new build does harm: its instances against those of the old one over the same time, by each measure.
//!
//! Requests at one instance fail together (an upstream hangs, a zone is cut off), so requests are no independent draws and a
//! test by requests would halt good releases. The unit is the **instance**: each has one figure for a measure, and the mean of the
//! new is compared with that of the old by a one-sided t test (Student, pooled by the old ones' spread: of one or two new ones
//! no spread is known). The chance of a false halt is given for a whole release ([`CanaryAnalysis::false_halts`]) and divided by its looks and
//! measures (Bonferroni), so that looking often costs power and not truth. A difference below [`MetricThreshold::least`] is no harm,
//! however certain.
//!
//! Figures of instances have heavier tails than the test supposes, and a wave of one has no mean to even that out: 79 of 1,000 good
//! releases were halted in the search where one instance in twenty fails five times as much for a look. So harm has to be seen at
//! two looks in a row, of which each counts what came since the one before ([`crate::state_machine`]). Where few were asked the old
//! ones may by chance have no spread at all, so it counts for what independent requests would have at the least: without that
//! 33 of 600 good releases of small fleets were halted in the search. An instance that is always worse
//! than the others, by where it stands, is not told from a bad build by that.
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Fewest instances of the old build that a comparison needs: their spread is what it rests on.
const MIN_BASELINE_INSTANCES: usize = 4;

/// What is compared of one measure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetricThreshold {
    /// The least difference of means that counts as harm, in the measure's own unit.
    #[serde(rename = "least")]
    pub min_difference: f64,
}

/// What releases are compared by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CanaryAnalysis {
    /// The part of requests that were asked and not served, 0 to 1.
    pub unserved: MetricThreshold,
    /// The part of served requests that were late, 0 to 1.
    pub late: MetricThreshold,
    /// Memory, in MB.
    pub memory: MetricThreshold,
    /// The chance that a release that changes nothing is halted, over all of it.
    #[serde(rename = "false_halts")]
    pub false_positive_rate: f64,
    /// Looks that a release may take; beyond them it goes by what stopped it before.
    #[serde(rename = "looks")]
    pub max_checks: u32,
    /// Requests that an instance must have been asked for its figures to count.
    #[serde(rename = "requests")]
    pub min_requests: u64,
}

impl Default for CanaryAnalysis {
    /// 2 points of service, 5 of lateness, 8 MB, one false halt in 100 releases, 40 looks, 200 requests.
    fn default() -> CanaryAnalysis {
        CanaryAnalysis {
            unserved: MetricThreshold { min_difference: 0.02 },
            late: MetricThreshold { min_difference: 0.05 },
            memory: MetricThreshold { min_difference: 8.0 },
            false_positive_rate: 0.01,
            max_checks: 40,
            min_requests: 200,
        }
    }
}

/// What one instance did since the last look: looks that overlap would say the same twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MetricsSample {
    /// Requests asked.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Of them served.
    pub served: u64,
    /// Of these late.
    pub late: u64,
    /// Memory in MB.
    #[serde(rename = "memory")]
    pub memory_mb: f64,
}

/// What a look says.
#[derive(Clone, Debug, PartialEq)]
pub enum AnalysisVerdict {
    /// The new build does harm, and how much.
    Regression(String),
    /// No harm of the least size is likely: the difference is below it with the same certainty.
    Healthy,
    /// It can't be told yet, and why.
    Inconclusive(String),
}

impl CanaryAnalysis {
    pub(crate) fn validate(&self) -> Result<(), String> {
        let measures = [("unserved", self.unserved), ("late", self.late), ("memory", self.memory)];
        if let Some((name, _)) =
            measures.iter().find(|(_, m)| !(m.min_difference > 0.0 && m.min_difference.is_finite()))
        {
            return Err(format!("gate.{name}: is no difference above 0"));
        }
        if !(self.false_positive_rate > 0.0 && self.false_positive_rate < 0.5) {
            return Err("gate.false_halts: is no chance between 0 and 0.5".into());
        }
        if self.max_checks == 0 {
            return Err("gate.looks: is 0".into());
        }
        Ok(())
    }

    /// Compares the new with the old.
    pub fn compare(&self, new: &[MetricsSample], old: &[MetricsSample]) -> AnalysisVerdict {
        let counts = |all: &[MetricsSample]| -> Vec<MetricsSample> {
            all.iter().filter(|s| s.requests >= self.min_requests.max(1)).copied().collect()
        };
        let (new, old) = (counts(new), counts(old));
        if new.is_empty() || old.len() < MIN_BASELINE_INSTANCES {
            return AnalysisVerdict::Inconclusive(format!(
                "{} of the new and {} of the old were asked {} requests, and 1 and {MIN_BASELINE_INSTANCES} are needed",
                new.len(),
                old.len(),
                self.min_requests
            ));
        }
        let part = |k: u64, n: u64| if n == 0 { 0.0 } else { k as f64 / n as f64 };
        type Figure = fn(&MetricsSample, &dyn Fn(u64, u64) -> f64) -> f64;
        // What a part is of, where it is one: so many, of so many.
        type Of = fn(&MetricsSample) -> Option<(u64, u64)>;
        let measures: [(&str, MetricThreshold, Figure, Of); 3] = [
            (
                "requests not served",
                self.unserved,
                |s, part| part(s.requests.saturating_sub(s.served), s.requests),
                |s| Some((s.requests.saturating_sub(s.served), s.requests)),
            ),
            ("answers late", self.late, |s, part| part(s.late, s.served), |s| Some((s.late, s.served))),
            ("MB of memory", self.memory, |s, _| s.memory_mb, |_| None),
        ];
        let chance = self.false_positive_rate / f64::from(self.max_checks) / measures.len() as f64;
        // The gate may come from a record that nobody has checked here.
        if !(chance > 0.0 && chance < 0.5) {
            return AnalysisVerdict::Inconclusive("the chance of a false halt is none".into());
        }
        let mut unclear = None;
        for (name, measure, figure, of) in measures {
            // Few requests and few failures: that none of the old ones had any does not say that there is no spread. It is at
            // the least that of independent requests (binomial, by the rule of succession).
            let counts = new.iter().chain(&old).filter_map(of);
            let (some, all) =
                counts.fold((0u64, 0u64), |(a, b), (k, n)| (a.saturating_add(k), b.saturating_add(n)));
            let chances = (some as f64 + 1.0) / (all as f64 + 2.0);
            let each = all as f64 / (new.len() + old.len()) as f64;
            let least = if all == 0 { 0.0 } else { chances * (1.0 - chances) / each };
            let figures =
                |all: &[MetricsSample]| -> Vec<f64> { all.iter().map(|s| figure(s, &part)).collect() };
            let (new, old) = (figures(&new), figures(&old));
            let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
            let (by_new, by_old, degrees) = (mean(&new), mean(&old), old.len() as f64 - 1.0);
            let spread = old.iter().map(|x| (x - by_old).powi(2)).sum::<f64>() / degrees;
            let error = (spread.max(least) * (1.0 / new.len() as f64 + 1.0 / old.len() as f64)).sqrt();
            let Ok(student) = StudentsT::new(0.0, 1.0, degrees) else { continue };
            let bound = student.inverse_cdf(1.0 - chance) * error;
            let difference = by_new - by_old;
            if difference >= measure.min_difference && difference > bound {
                return AnalysisVerdict::Regression(format!(
                    "{name}: {by_new:.3} by the new build, {by_old:.3} by the old at the same time"
                ));
            }
            // Without harm so far: is there room for it that could not be seen?
            if difference + bound > measure.min_difference && unclear.is_none() {
                unclear =
                    Some(format!("{name}: {difference:+.3}, and {bound:.3} either way could be chance"));
            }
        }
        unclear.map_or(AnalysisVerdict::Healthy, AnalysisVerdict::Inconclusive)
    }
}
