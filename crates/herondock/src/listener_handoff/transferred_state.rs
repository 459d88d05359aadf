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
        view.remove_stale(now, MAX_AGE_MS);
        (!view.reports.is_empty()).then_some(view)
    }

    /// What was learned; the module checks it.
    pub fn learned(&self) -> Learned {
        let LearnedCapacity { capacity, peak, unloaded, ref demands } = self.learned;
        Learned { capacity, peak, unloaded, demands: demands.clone() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use discovery::endpoint::SourceUpdate;
    use discovery::endpoint_set::{EndpointSet, Source};

    fn view() -> EndpointCache {
        let list =
            r#"{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","state":"leaving"}]}"#;
        let answer = discovery::platform::parse_response(list.as_bytes()).expect("good");
        let source = Source { rank: 0, label: "discovery".into() };
        let mut view = EndpointSet::new(true);
        assert!(matches!(answer.update, SourceUpdate::Full(_)));
        view.apply_update(1000.0, &source, answer.update);
        EndpointCache::capture(&view, vec![(source, 7)])
    }

    #[test]
    fn what_goes_along_arrives_as_it_was() {
        let learned = Learned { capacity: 12.5, peak: 9.0, unloaded: 80.0, demands: vec![1.0, 0.0] };
        let bytes = TransferredState::new(5, view(), learned.clone()).encode();
        let along = TransferredState::decode(&bytes, 5).expect("for these settings");
        assert_eq!(along.learned(), learned);
        assert_eq!(along.endpoints(2000.0), Some(view()));
    }

    /// Guards against going by positions that mean something else, by an old list, and against garbage.
    #[test]
    fn what_is_not_fitting_is_left() {
        let bytes = TransferredState::new(5, view(), Learned::default()).encode();
        assert!(TransferredState::decode(&bytes, 6).is_none(), "other settings");
        assert!(
            TransferredState::decode(&bytes[1..], 5).is_none() && TransferredState::decode(b"", 5).is_none()
        );
        assert_eq!(
            TransferredState::decode(&bytes, 5).and_then(|along| along.endpoints(61_001.0)),
            None,
            "too old"
        );
    }
}
