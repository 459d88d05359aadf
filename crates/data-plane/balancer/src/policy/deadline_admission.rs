//! Requests that can't be answered in time any more, judged by the fastest answers of their class: worked on,
//! they would take the place of others for an answer that nobody waits for.
use crate::interface::Millis;

/// The part of answers that come sooner than what counts as the fastest.
const FASTEST: f64 = 0.1;
/// How far each answer moves it, as a part of itself.
const STEP: f64 = 0.05;
/// Answers needed to judge by.
const MIN_ANSWERS: u32 = 20;
/// What each refusal takes off it: some get through in the end, and show whether answers have become faster.
const REJECTION_DECAY: f64 = 0.01;

/// The time of the fastest answers of each class, and how many have come.
pub(super) struct FastestAnswers(Vec<(Millis, u32)>);

impl FastestAnswers {
    pub(super) fn new(classes: usize) -> Self {
        FastestAnswers(vec![(0.0, 0); classes])
    }

    pub(super) fn answered(&mut self, class: usize, duration: Millis) {
        let (time, seen) = &mut self.0[class];
        *time = match *seen {
            0 => duration,
            _ if duration < *time => *time * (1.0 - STEP * (1.0 - FASTEST)),
            _ => *time * (1.0 + STEP * FASTEST),
        };
        *seen = seen.saturating_add(1);
    }

    pub(super) fn cannot_finish(&self, class: usize, left: Millis) -> bool {
        let (time, seen) = self.0[class];
        seen >= MIN_ANSWERS && left < time
    }

    pub(super) fn decay(&mut self, class: usize) {
        self.0[class].0 *= 1.0 - REJECTION_DECAY;
    }
}
