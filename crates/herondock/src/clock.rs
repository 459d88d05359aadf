//! The wall clock.
use balancer::Millis;
use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970, the module's clock, so that start times of upstreams need no conversion.
pub fn unix_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}
