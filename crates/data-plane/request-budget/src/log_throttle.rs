//! What is said once for each cause, and then at most once in a while with how often it came: a loop makes as many refusals as
//! there are requests on it.

/// Causes that are told apart; further ones share the last place.
const MAX_CAUSES: usize = 32;
/// A cause is said again after this, in milliseconds.
const REPEAT_INTERVAL_MS: f64 = 60_000.0;

/// What was said, and how often since.
#[derive(Debug, Default)]
pub struct LogThrottle(Vec<(String, f64, u64)>);

impl LogThrottle {
    /// Notes that it came once more. `Some`: it is to be said now, with how often it came since it was said last.
    pub fn came(&mut self, cause: &str, now: f64) -> Option<u64> {
        let known = self.0.iter().position(|(c, ..)| c == cause);
        let k = match known {
            None if self.0.len() < MAX_CAUSES => {
                self.0.push((cause.to_string(), now, 0));
                return Some(1);
            }
            known => known.unwrap_or(MAX_CAUSES - 1),
        };
        let (_, said, count) = &mut self.0[k];
        *count += 1;
        if now - *said < REPEAT_INTERVAL_MS {
            return None;
        }
        *said = now;
        Some(std::mem::take(count))
    }
}
