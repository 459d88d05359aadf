//! State that a predecessor transfers to its successor with the sockets: the endpoints with their ages, and what the decision
//! module has learned of capacity and demand. Only a process with the same settings uses it; `docs/design/supervisor.md` says what
//! is not transferred, and why.
use balancer::LearnedState;
use discovery::endpoint_cache::EndpointCache;
use serde::{Deserialize, Serialize};

/// Maximum age of a source's endpoints, in milliseconds: older ones are requested again instead.
const MAX_AGE_MS: f64 = 60_000.0;

/// Transferred state. Its JSON names are part of the handoff protocol.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransferredState {
    /// Hash of the settings that it is valid for.
    #[serde(rename = "settings")]
    settings_fingerprint: u64,
    #[serde(rename = "view")]
    endpoints: EndpointCache,
    learned: LearnedCapacity,
}

#[derive(Debug, Serialize, Deserialize)]
struct LearnedCapacity {
    capacity: f64,
    peak: f64,
    unloaded: f64,
    demands: Vec<f64>,
}

impl TransferredState {
    /// State of a process with settings of this hash.
    pub fn new(settings: u64, view: EndpointCache, learned: LearnedState) -> TransferredState {
        let LearnedState { capacity, peak_admitted, unloaded_latency, demands } = learned;
        TransferredState {
            settings_fingerprint: settings,
            endpoints: view,
            learned: LearnedCapacity { capacity, peak: peak_admitted, unloaded: unloaded_latency, demands },
        }
    }

    /// Encodes it as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Numbers and texts only: this can't fail. Without state the successor starts like any other process.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes it for a process with settings of this hash. `None`: it is for other settings, or can't be parsed.
    pub fn decode(bytes: &[u8], settings: u64) -> Option<TransferredState> {
        serde_json::from_slice::<TransferredState>(bytes)
            .ok()
            .filter(|along| along.settings_fingerprint == settings)
    }

    /// The endpoints that are not too old at this Unix time in milliseconds; `None`: there are none.
    pub fn endpoints(self, now: f64) -> Option<EndpointCache> {
        let mut view = self.endpoints;
        view.remove_stale(now, MAX_AGE_MS);
        (!view.reports.is_empty()).then_some(view)
    }

    /// What the decision module has learned; it validates the values.
    pub fn learned(&self) -> LearnedState {
        let LearnedCapacity { capacity, peak, unloaded, ref demands } = self.learned;
        LearnedState { capacity, peak_admitted: peak, unloaded_latency: unloaded, demands: demands.clone() }
    }
}

#[cfg(test)]
mod tests;
