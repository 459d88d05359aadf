//! What callers got: service as the users count it, and how each request ended.
use crate::agenda::Nanos;

/// Length of the spans of which the worst counts.
const SPAN: Nanos = 10_000_000_000;
/// Length of the spans that are kept.
const STEP: Nanos = 1_000_000_000;

/// How operations ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ends {
    /// First tries.
    pub asked: u64,
    /// Served within the wanted time.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused at last.
    pub refused: u64,
    /// Failed at last, or without an answer.
    pub failed: u64,
}

/// Worth earned and asked for.
#[derive(Clone, Copy, Debug, Default)]
struct EarnedWeight {
    earned: f64,
    asked: f64,
}

impl EarnedWeight {
    fn part(self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// The books of a run.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// How operations ended.
    pub ends: Ends,
    total: EarnedWeight,
    steps: Vec<EarnedWeight>,
    classes: Vec<EarnedWeight>,
    clubs: Vec<EarnedWeight>,
    /// Times of those served, in nanoseconds.
    took: Vec<Nanos>,
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served after so long.
    Served(Nanos),
    /// Refused.
    Refused,
    /// Failed or unanswered.
    Failed,
}

/// What an operation is, to the books.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    /// Its class and club.
    pub class: usize,
    /// See `class`.
    pub club: usize,
    /// When it was first tried.
    pub at: Nanos,
    /// What it is worth, and late.
    pub worth: f64,
    /// See `worth`.
    pub late_worth: f64,
    /// Within what it is wanted.
    pub wanted: Nanos,
    /// Whether its club was within its share: only these count for the worst club.
    pub within: bool,
}

fn at<T: Default + Clone>(all: &mut Vec<T>, k: usize) -> &mut T {
    if all.len() <= k {
        all.resize(k + 1, T::default());
    }
    &mut all[k]
}

impl Score {
    /// An operation has ended.
    pub fn ended(&mut self, op: &Counted, end: End) {
        let earned = match end {
            End::Served(took) if took <= op.wanted => op.worth,
            End::Served(_) => op.worth * op.late_worth,
            _ => 0.0,
        };
        self.ends.asked += 1;
        match end {
            End::Served(took) => {
                self.took.push(took);
                *(if took <= op.wanted { &mut self.ends.in_time } else { &mut self.ends.late }) += 1;
            }
            End::Refused => self.ends.refused += 1,
            End::Failed => self.ends.failed += 1,
        }
        let add = |w: &mut EarnedWeight| {
            w.earned += earned;
            w.asked += op.worth;
        };
        add(&mut self.total);
        add(at(&mut self.steps, (op.at / STEP) as usize));
        add(at(&mut self.classes, op.class));
        if op.within {
            add(at(&mut self.clubs, op.club));
        }
    }

    /// Service, 0 to 1: 40 % the whole, 10 % the worst 10 s, 10 % the worst class, 40 % the worst club within its share.
    pub fn service(&self) -> f64 {
        let least = |all: &[EarnedWeight]| all.iter().map(|w| w.part()).fold(1.0, f64::min);
        let span = (SPAN / STEP) as usize;
        let sums = self.steps.windows(span.min(self.steps.len()).max(1)).map(|w| {
            w.iter().fold(EarnedWeight::default(), |sum, w| EarnedWeight {
                earned: sum.earned + w.earned,
                asked: sum.asked + w.asked,
            })
        });
        let worst = sums.map(EarnedWeight::part).fold(1.0, f64::min);
        0.4 * self.total.part() + 0.1 * worst + 0.1 * least(&self.classes) + 0.4 * least(&self.clubs)
    }

    /// The part of what was asked for that was earned.
    pub fn total(&self) -> f64 {
        self.total.part()
    }

    /// The time, in milliseconds, within which this part of the served ones was served.
    pub fn quantile(&self, part: f64) -> f64 {
        let mut took = self.took.clone();
        took.sort_unstable();
        let k = ((took.len() as f64 * part) as usize).min(took.len().saturating_sub(1));
        took.get(k).map_or(0.0, |&t| t as f64 / 1e6)
    }
}
