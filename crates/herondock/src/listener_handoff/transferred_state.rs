//! State that a predecessor transfers to its successor along with the sockets: the endpoints with their ages, and the estimates
//! of capacity and demand of the decision module. Only a process with the same settings uses it. `docs/design/supervisor.md` lists
//! the state that is not transferred, with the reasons.
use balancer::LearnedState;
use discovery::endpoint_cache::EndpointCache;
use serde::{Deserialize, Serialize};

/// Maximum age of the endpoints of a source, in milliseconds. Older ones are discarded and requested again.
const MAX_AGE_MS: f64 = 60_000.0;

/// Transferred state. Its JSON names are part of the handoff protocol.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransferredState {
    /// Hash of the settings that the state is valid for.
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
    /// Creates the state of a process whose settings have this hash.
    pub fn new(fingerprint: u64, endpoint_cache: EndpointCache, learned: LearnedState) -> TransferredState {
        let LearnedState { capacity, peak_admitted, unloaded_latency, demands } = learned;
        TransferredState {
            settings_fingerprint: fingerprint,
            endpoints: endpoint_cache,
            learned: LearnedCapacity { capacity, peak: peak_admitted, unloaded: unloaded_latency, demands },
        }
    }

    /// Encodes the state as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Numbers and strings can always be encoded; with an empty state the successor would start like any other process.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes state for a process whose settings have this hash; returns `None` if the state is for other settings or can't be
    /// parsed.
    pub fn decode(bytes: &[u8], fingerprint: u64) -> Option<TransferredState> {
        serde_json::from_slice::<TransferredState>(bytes)
            .ok()
            .filter(|state| state.settings_fingerprint == fingerprint)
    }

    /// Endpoints that are at most [`MAX_AGE_MS`] old at `now_ms`, in Unix milliseconds; `None` if there are none.
    pub fn endpoints(self, now_ms: f64) -> Option<EndpointCache> {
        let mut endpoints = self.endpoints;
        endpoints.remove_stale(now_ms, MAX_AGE_MS);
        (!endpoints.reports.is_empty()).then_some(endpoints)
    }

    /// Estimates of the decision module, which validates the values when it restores them.
    pub fn learned(&self) -> LearnedState {
        let LearnedCapacity { capacity, peak, unloaded, ref demands } = self.learned;
        LearnedState { capacity, peak_admitted: peak, unloaded_latency: unloaded, demands: demands.clone() }
    }
}

#[cfg(test)]
mod tests;
