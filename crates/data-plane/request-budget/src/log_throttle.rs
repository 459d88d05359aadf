//! Rate limit for log lines: each cause is logged at once, and then at most once per interval with the number of times it
//! occurred since.

/// Maximum number of causes that are counted separately; further ones are counted with the last of these.
const MAX_CAUSES: usize = 32;
/// Interval after which a cause is logged again, in milliseconds.
const LOG_INTERVAL_MS: f64 = 60_000.0;

/// Causes that were logged, each with the time of its last log line in milliseconds and the number of occurrences since.
#[derive(Debug, Default)]
pub struct LogThrottle(Vec<(String, f64, u64)>);

impl LogThrottle {
    /// Counts an occurrence of a cause at `now_ms`, in milliseconds since any fixed moment. Returns the number of occurrences
    /// since the last log line if a line is due, `None` otherwise.
    pub fn record(&mut self, cause: &str, now_ms: f64) -> Option<u64> {
        let known = self.0.iter().position(|(other, ..)| other == cause);
        let index = match known {
            None if self.0.len() < MAX_CAUSES => {
                self.0.push((cause.to_string(), now_ms, 0));
                return Some(1);
            }
            known => known.unwrap_or(MAX_CAUSES - 1),
        };
        let (_, logged_at_ms, count) = &mut self.0[index];
        *count += 1;
        if now_ms - *logged_at_ms < LOG_INTERVAL_MS {
            return None;
        }
        *logged_at_ms = now_ms;
        Some(std::mem::take(count))
    }
}
