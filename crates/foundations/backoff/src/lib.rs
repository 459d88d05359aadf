//! Pauses that grow with each failure, with jitter, so that many who failed together do not come back together. Draws
//! are the caller's (0 to 1), so that state machines stay without I/O and a seed replays them.
use std::time::Duration;

/// Doublings that are counted; beyond them every pause has long reached its most.
const ROW_MOST: u32 = 20;

/// `first`, doubled `row` times, `most` at the most.
pub fn doubled(first: Duration, most: Duration, row: u32) -> Duration {
    first.saturating_mul(1 << row.min(ROW_MOST)).min(most)
}

/// Half of `pause` to all of it, by a draw from 0 to 1 ("equal jitter"; Brooker, Exponential Backoff And Jitter).
pub fn jittered(pause: Duration, draw: f64) -> Duration {
    pause.mul_f64(0.5 + 0.5 * fraction(draw))
}

/// A draw as a number from 0 to 1, whatever the caller gave.
pub fn fraction(draw: f64) -> f64 {
    if draw.is_finite() {
        draw.clamp(0.0, 1.0)
    } else {
        1.0
    }
}

/// Pauses after failures in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    row: u32,
}

impl Backoff {
    /// Begins with `first` and never goes beyond `most`.
    pub fn new(first: Duration, most: Duration) -> Backoff {
        Backoff { first, most, row: 0 }
    }

    /// The pause after one more failure, with jitter.
    pub fn failed(&mut self, draw: f64) -> Duration {
        let pause = jittered(doubled(self.first, self.most, self.row), draw);
        self.row = self.row.saturating_add(1);
        pause
    }

    /// It worked: the next pause is the first one again.
    pub fn worked(&mut self) {
        self.row = 0;
    }

    /// Failures in a row.
    pub fn row(&self) -> u32 {
        self.row
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn pauses_double_up_to_the_most_and_begin_again() {
        let mut backoff = Backoff::new(ms(100), ms(350));
        let pauses: Vec<_> = (0..4).map(|_| backoff.failed(1.0)).collect();
        assert_eq!(pauses, [ms(100), ms(200), ms(350), ms(350)]);
        backoff.worked();
        assert_eq!((backoff.row(), backoff.failed(0.0)), (0, ms(50)));
        // Guards against an overflow after a night of failures.
        assert_eq!(doubled(ms(500), ms(30_000), u32::MAX), ms(30_000));
        assert_eq!(jittered(ms(100), f64::NAN), ms(100));
    }
}
