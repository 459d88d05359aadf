//! Detects requests that can no longer be answered in time, by the fastest answers of their class. Serving them would
//! take the place of other requests for an answer that no client waits for.
use crate::interface::Millis;

/// Quantile of answer times that is tracked as the fastest.
const FASTEST_QUANTILE: f64 = 0.1;
/// Step of the quantile estimate per answer, as a fraction of the estimate.
const QUANTILE_STEP: f64 = 0.05;
/// Minimum number of answers before requests are rejected.
const MIN_ANSWERS: u32 = 20;
/// Fraction by which each rejection lowers the estimate: some requests get through in the end and show whether answers
/// have become faster.
const REJECTION_DECAY: f64 = 0.01;

/// Estimated time of the fastest answers of each class, in milliseconds, and the number of answers seen.
pub(super) struct FastestAnswers(Vec<(Millis, u32)>);

impl FastestAnswers {
    pub(super) fn new(classes: usize) -> Self {
        FastestAnswers(vec![(0.0, 0); classes])
    }

    /// Records the duration of a successful attempt.
    pub(super) fn record_answer(&mut self, class: usize, duration: Millis) {
        let (estimate, answers) = &mut self.0[class];
        *estimate = match *answers {
            0 => duration,
            _ if duration < *estimate => *estimate * (1.0 - QUANTILE_STEP * (1.0 - FASTEST_QUANTILE)),
            _ => *estimate * (1.0 + QUANTILE_STEP * FASTEST_QUANTILE),
        };
        *answers = answers.saturating_add(1);
    }

    /// Whether the time left is shorter than the fastest answers of the class take.
    pub(super) fn cannot_finish(&self, class: usize, time_left: Millis) -> bool {
        let (estimate, answers) = self.0[class];
        answers >= MIN_ANSWERS && time_left < estimate
    }

    /// Lowers the estimate of a class after a rejection.
    pub(super) fn decay(&mut self, class: usize) {
        self.0[class].0 *= 1.0 - REJECTION_DECAY;
    }
}
