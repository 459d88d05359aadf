//! The last view as it is kept over a restart: what each source told, starts that were heard of, and how far the watches
//! had come. As JSON; the file around it (checksum, age, version) is the store's.
use crate::endpoint_set::{CachedReport, EndpointSet, Source};
use serde::{Deserialize, Serialize};

/// The form of the content.
pub const FORMAT_VERSION: u32 = 1;

/// What is kept.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointCache {
    /// What each source told.
    pub reports: Vec<CachedReport>,
    /// When each source last told something that counts, in Unix milliseconds.
    #[serde(rename = "told")]
    pub updated: Vec<(Source, f64)>,
    /// The newest index or version that each source was told.
    pub indices: Vec<(Source, u64)>,
}

impl EndpointCache {
    /// Of a view, and how far its sources have come.
    pub fn capture(view: &EndpointSet, indices: Vec<(Source, u64)>) -> EndpointCache {
        let told = view.sources().filter_map(|(s, told)| Some((s.clone(), told.updated_ms?))).collect();
        EndpointCache { reports: view.cached_reports().collect(), updated: told, indices }
    }

    /// Leaves out what sources told longer ago than this, and returns them.
    pub fn remove_stale(&mut self, now: f64, most: f64) -> Vec<Source> {
        let young = |s: &Source| self.updated.iter().any(|(t, at)| t == s && now - at <= most);
        let named: std::collections::BTreeSet<Source> =
            self.reports.iter().map(|(s, ..)| s.clone()).collect();
        let old: Vec<Source> = named.into_iter().filter(|s| !young(s)).collect();
        self.reports.retain(|(s, ..)| !old.contains(s));
        self.indices.retain(|(s, _)| !old.contains(s));
        old
    }

    /// The newest index or version that a source was told.
    pub fn index(&self, source: &Source) -> Option<u64> {
        self.indices.iter().find(|(s, _)| s == source).map(|&(_, index)| index)
    }

    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Numbers and texts only: this can't fail. Nothing at all is found out when it is read.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From bytes.
    ///
    /// # Errors
    /// It can't be read.
    pub fn decode(bytes: &[u8]) -> Result<EndpointCache, String> {
        serde_json::from_slice(bytes).map_err(|e| e.to_string())
    }
}
