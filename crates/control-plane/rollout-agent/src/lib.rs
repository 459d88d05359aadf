//! Releases at work. What is decided is the crate `release`'s matter; here it is read from the council's record and written to
//! it.
//!
//! | module | whose |
//! | --- | --- |
//! | [`build_id`] | everyone's: what tells one build from another |
//! | [`agent`] | a supervisor's: what it says of its instances, and the state that follows |
//! | [`sampler`] | a balancer's: what it did since the last look |
//! | [`command`] | an operator's |
pub mod agent;
pub mod build_id;
pub mod command;
pub mod sampler;

use coordination::state_machine::{Revision, VersionedValue};
use disruption_agent::informer::{Informer, Projection};
use rollout::snapshot::RolloutSnapshot;

/// [`RolloutSnapshot`] as a part of the record that can be followed.
#[derive(Clone, Debug, Default)]
pub struct RolloutProjection(pub RolloutSnapshot);

impl Projection for RolloutProjection {
    fn from_items(revision: Revision, items: &[(String, VersionedValue)]) -> RolloutProjection {
        RolloutProjection(RolloutSnapshot::read(revision, items))
    }

    fn apply(&mut self, key: &str, value: Option<&str>, revision: Revision) {
        self.0.apply(key, value, revision);
    }

    fn revision(&mut self) -> &mut Revision {
        &mut self.0.revision
    }
}

/// Follows what the record has of releases.
pub fn informer(council: coordination_server::client::ClientHandle) -> Informer<RolloutProjection> {
    Informer::with_prefix(council, rollout::snapshot::KEY_PREFIX)
}

/// The time, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
