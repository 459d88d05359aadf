//! Rollouts over a real coordination service. The decisions are made by the crate [`rollout`]; this crate reads its snapshots
//! from the coordination store and executes its writes.
//!
//! | module | contents |
//! | --- | --- |
//! | [`build_id`] | identification of builds by their content |
//! | [`agent`] | agent of a supervisor: reports on its instances, transitions of the rollout |
//! | [`sampler`] | reports of a balancer's metrics |
//! | [`command`] | operator commands |
pub mod agent;
pub mod build_id;
pub mod command;
pub mod sampler;

use std::time::{SystemTime, UNIX_EPOCH};

/// Current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
