//! What goes along with the sockets to a successor: the view of members with its ages, and what the module has learned
//! of capacity and demand. It is taken only by a process with the same settings; see `docs/design/supervisor.md` for what is
//! left behind, and why.
use balancer::Learned;
use discovery::endpoint_cache::EndpointCache;
use serde::{Deserialize, Serialize};

/// What a source told longer ago, in milliseconds, is not taken: asking anew is better than going by it.
const MAX_AGE_MS: f64 = 60_000.0;

/// What goes along.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransferredState {
    /// Tells the settings apart that the rest is meant for.
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
    /// Gathers it.
    pub fn new(settings: u64, view: EndpointCache, learned: Learned) -> TransferredState {
        let Learned { capacity, peak, unloaded, demands } = learned;
        TransferredState {
            settings_fingerprint: settings,
            endpoints: view,
            learned: LearnedCapacity { capacity, peak, unloaded, demands },
        }
    }

    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Numbers and texts only: this can't fail, and without it the successor starts like any other.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From bytes, for a process with these settings. `None`: it is for other settings, or nothing that can be read.
    pub fn decode(bytes: &[u8], settings: u64) -> Option<TransferredState> {
        serde_json::from_slice::<TransferredState>(bytes)
            .ok()
            .filter(|along| along.settings_fingerprint == settings)
    }

    /// The view, at this Unix time in milliseconds, without what is too old; `None`: nothing is left of it.
    pub fn endpoints(self, now: f64) -> Option<EndpointCache> {
        let mut view = self.endpoints;
        view.prune(now, MAX_AGE_MS);
        (!view.reports.is_empty()).then_some(view)
    }

    /// What was learned; the module checks it.
    pub fn learned(&self) -> Learned {
        let LearnedCapacity { capacity, peak, unloaded, ref demands } = self.learned;
        Learned { capacity, peak, unloaded, demands: demands.clone() }
    }
}

#[cfg(test)]
mod tests;
