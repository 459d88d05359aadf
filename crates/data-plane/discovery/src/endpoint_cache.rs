//! Serialised endpoint set, which outlives a restart: the reports of each source, first-seen times, and the positions of
//! the watches. Encoded as JSON; the file that contains it has the checksum, the age and the version.
use crate::endpoint::EndpointReport;
use crate::endpoint_set::{CachedReport, EndpointSet, Source};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// Version of the encoding.
pub const FORMAT_VERSION: u32 = 1;

/// The content is not an encoded endpoint cache.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct DecodeError(#[from] serde_json::Error);

/// Content of the cache.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointCache {
    /// Reports of all sources.
    pub reports: Vec<CachedReport>,
    /// Time of each source's last usable update, in Unix milliseconds.
    #[serde(rename = "told")]
    pub updated: Vec<(Source, f64)>,
    /// Latest index or version of each source's list.
    pub indices: Vec<(Source, u64)>,
}

impl EndpointCache {
    /// The cache of a set, with the latest index or version of each source's list.
    pub fn capture(endpoints: &EndpointSet, indices: Vec<(Source, u64)>) -> EndpointCache {
        let updated =
            endpoints.sources().filter_map(|(source, status)| Some((source.clone(), status.updated_ms?)));
        EndpointCache { reports: endpoints.cached_reports().collect(), updated: updated.collect(), indices }
    }

    /// Removes the reports of sources whose last update is more than `max_age_ms` before `now_ms` (Unix milliseconds), and
    /// returns these sources.
    pub fn remove_stale(&mut self, now_ms: f64, max_age_ms: f64) -> Vec<Source> {
        let is_fresh = |source: &Source| {
            self.updated.iter().any(|(updated, at_ms)| updated == source && now_ms - at_ms <= max_age_ms)
        };
        let reporting: BTreeSet<Source> =
            self.reports.iter().map(|(source, _, _): &(Source, EndpointReport, _)| source.clone()).collect();
        let stale: Vec<Source> = reporting.into_iter().filter(|source| !is_fresh(source)).collect();
        self.reports.retain(|(source, ..)| !stale.contains(source));
        self.indices.retain(|(source, _)| !stale.contains(source));
        stale
    }

    /// Latest index or version of a source's list.
    pub fn index(&self, source: &Source) -> Option<u64> {
        self.indices.iter().find(|(other, _)| other == source).map(|&(_, index)| index)
    }

    /// Encodes the cache.
    pub fn encode(&self) -> Vec<u8> {
        // Cannot fail: the content has numbers and texts only. Empty output would be rejected when it is decoded.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a cache.
    ///
    /// # Errors
    /// The content is not an encoded cache.
    pub fn decode(bytes: &[u8]) -> Result<EndpointCache, DecodeError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
