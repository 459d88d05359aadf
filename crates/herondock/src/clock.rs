//! Wall clock.
use balancer::Millis;
use std::time::{SystemTime, UNIX_EPOCH};

/// Current Unix time in milliseconds. The decision module uses the same clock, so that start times of upstreams need no
/// conversion. Returns 0 if the system clock is set before 1970.
pub fn unix_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1000.0)
}
