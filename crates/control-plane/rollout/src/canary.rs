//! Canary analysis: compares the instances that run the new build with those that run the old one over the same time.
//!
//! # Statistics
//!
//! Requests at one instance fail together (an upstream hangs, a zone is partitioned), so they are not independent samples, and a
//! test that takes requests as samples would stop good rollouts. The sampling unit is the **instance**: each has one value per
//! metric.
//!
//! - Test: one-sided Student's t test of the difference of means, with the variance of the old instances for both groups (one or
//!   two new instances have no usable variance) and `n_old - 1` degrees of freedom.
//! - Significance level: [`CanaryAnalysis::false_positive_rate`] holds for an entire rollout and is divided by the number of
//!   checks and of metrics (Bonferroni correction), so frequent checks reduce the power of the test but not its significance.
//! - Effect size: a difference below [`MetricThreshold::min_difference`] is no regression, however significant.
//! - Variance floor: with few requests the old instances may by chance show no variance at all. For proportions the variance is
//!   at least that of independent requests, with the pooled proportion estimated by the rule of succession.
//!
//! Per-instance values have heavier tails than the test assumes, and a stage of one instance has no mean that would average
//! that out. Therefore the [state machine](crate::state_machine) acts on a regression only if two consecutive checks find it,
//! each over the metrics since the previous one. In simulation, without that rule 79 of 1,000 good rollouts were stopped where
//! one instance in twenty fails five times as many requests during a check, and without the variance floor 33 of 600 good
//! rollouts of small fleets.
//!
//! An instance that is always worse than the others because of its placement cannot be distinguished from a bad build.
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use thiserror::Error;

/// Minimum number of old instances; the comparison uses their variance.
const MIN_BASELINE_INSTANCES: usize = 4;
/// Exclusive upper bound of significance levels.
const MAX_SIGNIFICANCE_LEVEL: f64 = 0.5;

/// Threshold of one metric.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetricThreshold {
    /// Minimum difference of means that counts as a regression, in the unit of the metric.
    #[serde(rename = "least")]
    pub min_difference: f64,
}

/// Parameters of the analysis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CanaryAnalysis {
    /// Proportion of requests that were not served, 0 to 1.
    pub unserved: MetricThreshold,
    /// Proportion of served requests that were late, 0 to 1.
    pub late: MetricThreshold,
    /// Memory in MB.
    pub memory: MetricThreshold,
    /// Probability that a rollout without any regression is stopped, over all its checks; between 0 and 0.5.
    #[serde(rename = "false_halts")]
    pub false_positive_rate: f64,
    /// Maximum number of checks in a rollout.
    #[serde(rename = "looks")]
    pub max_checks: u32,
    /// Minimum number of requests for an instance to be included.
    #[serde(rename = "requests")]
    pub min_requests: u64,
}

impl Default for CanaryAnalysis {
    /// 2 percentage points of unserved and 5 of late requests, 8 MB, 1 false positive in 100 rollouts, 40 checks, 200 requests.
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

/// Contradiction in a [`CanaryAnalysis`]. The text starts with the name of the field in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnalysisError {
    /// The threshold of this metric is not a positive number.
    #[error("gate.{0}: must be a finite number above 0")]
    InvalidThreshold(&'static str),
    /// The false positive rate is out of bounds.
    #[error("gate.false_halts: must be a probability above 0 and below 0.5")]
    InvalidFalsePositiveRate,
    /// No checks are permitted.
    #[error("gate.looks: must be above 0")]
    NoChecks,
}

/// Metrics of one instance over a window of time. Windows do not overlap, as overlapping ones would count requests twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MetricsSample {
    /// Requests received.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Served requests that were late.
    pub late: u64,
    /// Memory in MB.
    #[serde(rename = "memory")]
    pub memory_mb: f64,
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum AnalysisVerdict {
    /// The new build is worse, with a description for operators.
    Regression(String),
    /// A regression of at least the minimum difference can be excluded at the same significance level.
    Healthy,
    /// The samples permit neither conclusion yet, with the reason for operators.
    Inconclusive(String),
}

/// A metric that the builds are compared by.
#[derive(Clone, Copy, Debug)]
enum Metric {
    Unserved,
    Late,
    Memory,
}

/// A number of events among a number of trials.
#[derive(Clone, Copy, Debug)]
struct Proportion {
    events: u64,
    trials: u64,
}

impl Proportion {
    fn value(self) -> f64 {
        if self.trials == 0 {
            0.0
        } else {
            self.events as f64 / self.trials as f64
        }
    }
}

impl Metric {
    const ALL: [Metric; 3] = [Metric::Unserved, Metric::Late, Metric::Memory];

    /// Name for operators.
    fn name(self) -> &'static str {
        match self {
            Metric::Unserved => "requests not served",
            Metric::Late => "answers late",
            Metric::Memory => "MB of memory",
        }
    }

    /// Value of the metric as a proportion; `None` for a metric that is not a proportion.
    fn proportion(self, sample: &MetricsSample) -> Option<Proportion> {
        match self {
            Metric::Unserved => Some(Proportion {
                events: sample.requests.saturating_sub(sample.served),
                trials: sample.requests,
            }),
            Metric::Late => Some(Proportion { events: sample.late, trials: sample.served }),
            Metric::Memory => None,
        }
    }

    fn value(self, sample: &MetricsSample) -> f64 {
        self.proportion(sample).map_or(sample.memory_mb, Proportion::value)
    }

    fn values(self, samples: &[MetricsSample]) -> Vec<f64> {
        samples.iter().map(|sample| self.value(sample)).collect()
    }

    /// Lower bound of the variance between instances: for proportions that of independent requests, else 0.
    fn min_variance(self, new: &[MetricsSample], old: &[MetricsSample]) -> f64 {
        let proportions = new.iter().chain(old).filter_map(|sample| self.proportion(sample));
        let pooled = proportions.fold(Proportion { events: 0, trials: 0 }, |sum, p| Proportion {
            events: sum.events.saturating_add(p.events),
            trials: sum.trials.saturating_add(p.trials),
        });
        if pooled.trials == 0 {
            return 0.0;
        }
        let probability = (pooled.events as f64 + 1.0) / (pooled.trials as f64 + 2.0);
        let trials_per_instance = pooled.trials as f64 / (new.len() + old.len()) as f64;
        probability * (1.0 - probability) / trials_per_instance
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Comparison of one metric.
struct Comparison {
    mean_new: f64,
    mean_old: f64,
    /// Half width of the one-sided confidence interval of the difference of means.
    margin: f64,
}

impl Comparison {
    /// Compares a metric at this significance level; `None` if the distribution is not defined for the number of samples.
    fn of(
        metric: Metric,
        new: &[MetricsSample],
        old: &[MetricsSample],
        significance_level: f64,
    ) -> Option<Comparison> {
        let min_variance = metric.min_variance(new, old);
        let (values_new, values_old) = (metric.values(new), metric.values(old));
        let (mean_new, mean_old) = (mean(&values_new), mean(&values_old));
        let degrees_of_freedom = old.len() as f64 - 1.0;
        let squares = values_old.iter().map(|value| (value - mean_old).powi(2));
        let variance = (squares.sum::<f64>() / degrees_of_freedom).max(min_variance);
        let standard_error = (variance * (1.0 / new.len() as f64 + 1.0 / old.len() as f64)).sqrt();
        let student = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?;
        let margin = student.inverse_cdf(1.0 - significance_level) * standard_error;
        Some(Comparison { mean_new, mean_old, margin })
    }

    fn difference(&self) -> f64 {
        self.mean_new - self.mean_old
    }
}

impl CanaryAnalysis {
    pub(crate) fn validate(&self) -> Result<(), AnalysisError> {
        let thresholds = [("unserved", self.unserved), ("late", self.late), ("memory", self.memory)];
        let is_valid = |threshold: &MetricThreshold| {
            threshold.min_difference > 0.0 && threshold.min_difference.is_finite()
        };
        if let Some((name, _)) = thresholds.iter().find(|(_, threshold)| !is_valid(threshold)) {
            return Err(AnalysisError::InvalidThreshold(name));
        }
        if !(self.false_positive_rate > 0.0 && self.false_positive_rate < MAX_SIGNIFICANCE_LEVEL) {
            return Err(AnalysisError::InvalidFalsePositiveRate);
        }
        if self.max_checks == 0 {
            return Err(AnalysisError::NoChecks);
        }
        Ok(())
    }

    fn threshold(&self, metric: Metric) -> MetricThreshold {
        match metric {
            Metric::Unserved => self.unserved,
            Metric::Late => self.late,
            Metric::Memory => self.memory,
        }
    }

    /// Samples with enough requests.
    fn included(&self, samples: &[MetricsSample]) -> Vec<MetricsSample> {
        samples.iter().filter(|sample| sample.requests >= self.min_requests.max(1)).copied().collect()
    }

    /// Compares instances of the new build with instances of the old one.
    pub fn compare(&self, new: &[MetricsSample], old: &[MetricsSample]) -> AnalysisVerdict {
        let (new, old) = (self.included(new), self.included(old));
        if new.is_empty() || old.len() < MIN_BASELINE_INSTANCES {
            return AnalysisVerdict::Inconclusive(format!(
                "{} new and {} old instances received {} requests each; 1 and {MIN_BASELINE_INSTANCES} are needed",
                new.len(),
                old.len(),
                self.min_requests
            ));
        }
        let significance_level =
            self.false_positive_rate / f64::from(self.max_checks) / Metric::ALL.len() as f64;
        // The parameters may come from a store whose writer did not validate them.
        if !(significance_level > 0.0 && significance_level < MAX_SIGNIFICANCE_LEVEL) {
            return AnalysisVerdict::Inconclusive("the significance level is out of bounds".into());
        }
        let mut inconclusive = None;
        for metric in Metric::ALL {
            let Some(comparison) = Comparison::of(metric, &new, &old, significance_level) else { continue };
            let (difference, margin) = (comparison.difference(), comparison.margin);
            let min_difference = self.threshold(metric).min_difference;
            if difference >= min_difference && difference > margin {
                return AnalysisVerdict::Regression(format!(
                    "{}: {:.3} by the new build, {:.3} by the old at the same time",
                    metric.name(),
                    comparison.mean_new,
                    comparison.mean_old
                ));
            }
            // A regression that the samples cannot exclude.
            if difference + margin > min_difference && inconclusive.is_none() {
                inconclusive = Some(format!(
                    "{}: difference {difference:+.3}, margin of error {margin:.3}",
                    metric.name()
                ));
            }
        }
        inconclusive.map_or(AnalysisVerdict::Healthy, AnalysisVerdict::Inconclusive)
    }
}
