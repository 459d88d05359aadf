//! Responses of `/v1/health/service/:name` and `/v1/catalog/service/:name` as reports.
//!
//! Each response contains the full list. Entries whose bytes have not changed are not parsed again, so that the cost of a
//! response, beyond scanning its bytes, is proportional to its changes.
//!
//! State of a service: in maintenance (`_node_maintenance`, `_service_maintenance:ID`) or with a weight of 0 it is
//! draining. Otherwise its most severe check applies, those of its node included: `critical` makes it unhealthy and
//! `warning` does not, as in Consul's own DNS. An unknown check status counts as critical.
mod entry;

use crate::endpoint::{EndpointProtocol, EndpointReport, Name, SourceUpdate};
use serde_json::value::RawValue;
use std::collections::HashMap;
use thiserror::Error;

/// Maximum number of entry errors that an update reports.
const MAX_ENTRY_ERRORS: usize = 8;

/// The response is not a list of services.
#[derive(Debug, Error)]
pub enum ListError {
    /// The body is not a JSON array.
    #[error(transparent)]
    NotAList(#[from] serde_json::Error),
    /// An entry does not have the published structure.
    #[error("entry {index}: {source}")]
    MalformedEntry {
        /// Position of the entry.
        index: usize,
        /// Error of the parser.
        source: serde_json::Error,
    },
}

/// The endpoint of Consul's API that a list comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListKind {
    /// `/v1/health/service/:name`: with all checks.
    #[default]
    Health,
    /// `/v1/catalog/service/:name`: registered services, without checks.
    Catalogue,
}

/// Mapping of entries to reports. Metadata keys apply to the service's metadata, or else to that of its node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryMapping {
    /// Structure of the entries.
    pub kind: ListKind,
    /// Not empty if several datacentres are watched: names are prefixed with the entry's datacentre then, since node names
    /// are unique within a datacentre only.
    pub datacentre_prefix: String,
    /// Metadata key of the name; `None`, or if the key is absent: the name is made of node and service id.
    pub name_key: Option<String>,
    /// Metadata key of the zone.
    pub zone_key: String,
    /// Metadata key of the machine kind.
    pub kind_key: String,
    /// Metadata key of the cell.
    pub cell_key: String,
    /// Metadata key of the start time, in Unix milliseconds.
    pub start_key: String,
    /// Name of the tagged address to use; empty: the address itself.
    pub tagged_address: String,
    /// Protocol of the endpoints.
    pub protocol: EndpointProtocol,
}

/// A parsed entry.
struct CachedEntry {
    text: Box<str>,
    /// The report, or the reason why the entry is not usable.
    report: Result<EndpointReport, String>,
    /// Number of the last response that contained it.
    generation: u64,
}

/// An entry of a response.
enum ScannedEntry {
    /// A cached entry with this key has the same bytes.
    Unchanged(u64),
    /// The entry was parsed, and has this key.
    Parsed(u64, CachedEntry),
}

/// The list as of the last response, for one watch.
#[derive(Default)]
pub struct ServiceList {
    mapping: EntryMapping,
    /// Entries by the hash of their bytes.
    entries: HashMap<u64, CachedEntry>,
    /// The entry of each name.
    names: HashMap<Name, u64>,
    /// Number of responses.
    generation: u64,
}

/// Result of a response.
#[derive(Debug, PartialEq)]
pub struct ListUpdate {
    /// Changes since the last response.
    pub update: SourceUpdate,
    /// Descriptions of entries that are not usable; the others apply.
    pub entry_errors: Vec<String>,
    /// Number of entries that were parsed.
    pub parsed_entries: usize,
}

impl ServiceList {
    /// An empty list.
    pub fn new(mapping: EntryMapping) -> ServiceList {
        ServiceList { mapping, ..ServiceList::default() }
    }

    /// All reports.
    pub fn reports(&self) -> Vec<EndpointReport> {
        let entries = self.names.values().filter_map(|key| self.entries.get(key));
        entries.filter_map(|entry| entry.report.as_ref().ok().cloned()).collect()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Applies the body of a response. With `keep_missing`, endpoints that it lacks stay.
    ///
    /// # Errors
    /// The body is not a list of this kind; the list is unchanged then.
    pub fn apply(&mut self, body: &[u8], keep_missing: bool) -> Result<ListUpdate, ListError> {
        let scanned = self.scan(body)?;
        self.generation += 1;
        let mut parsed = Vec::new();
        for entry in scanned {
            match entry {
                ScannedEntry::Parsed(key, entry) => parsed.push((key, entry)),
                ScannedEntry::Unchanged(key) => {
                    if let Some(entry) = self.entries.get_mut(&key) {
                        entry.generation = self.generation;
                    }
                }
            }
        }
        let parsed_entries = parsed.len();
        let (changed, entry_errors) = self.insert_parsed(parsed);
        let removed = self.remove_missing(keep_missing);
        Ok(ListUpdate { update: SourceUpdate::Delta(changed, removed), entry_errors, parsed_entries })
    }

    /// Parses the new entries of a body, before anything is changed.
    fn scan(&self, body: &[u8]) -> Result<Vec<ScannedEntry>, ListError> {
        let raw_entries: Vec<&RawValue> = serde_json::from_slice(body)?;
        let generation = self.generation + 1;
        let mut scanned = Vec::with_capacity(raw_entries.len());
        for (index, raw) in raw_entries.iter().enumerate() {
            let text = raw.get();
            let key = hashing::stable(text.as_bytes());
            if self.entries.get(&key).is_some_and(|entry| &*entry.text == text) {
                scanned.push(ScannedEntry::Unchanged(key));
                continue;
            }
            let report = entry::parse(text, &self.mapping)
                .map_err(|source| ListError::MalformedEntry { index, source })?;
            scanned.push(ScannedEntry::Parsed(key, CachedEntry { text: text.into(), report, generation }));
        }
        Ok(scanned)
    }

    /// Inserts parsed entries; returns changed reports and entry errors.
    fn insert_parsed(&mut self, parsed: Vec<(u64, CachedEntry)>) -> (Vec<EndpointReport>, Vec<String>) {
        let (mut changed, mut errors) = (Vec::new(), Vec::new());
        for (key, entry) in parsed {
            match &entry.report {
                Ok(report) => {
                    // The new entry replaces the former one of the same name.
                    let former_key = self.names.insert(report.name.clone(), key);
                    let former = former_key.and_then(|key| self.entries.get(&key));
                    if former.is_none_or(|former| former.report.as_ref() != Ok(report)) {
                        changed.push(report.clone());
                    }
                }
                Err(error) if errors.len() < MAX_ENTRY_ERRORS => errors.push(error.clone()),
                Err(_) => {}
            }
            self.entries.insert(key, entry);
        }
        (changed, errors)
    }

    /// Removes the entries that the last response lacks; returns the names of removed endpoints in order.
    fn remove_missing(&mut self, keep_missing: bool) -> Vec<Name> {
        let (names, generation) = (&mut self.names, self.generation);
        let mut removed = Vec::new();
        self.entries.retain(|key, entry| {
            if entry.generation == generation {
                return true;
            }
            match &entry.report {
                // Another entry has replaced this one for its name.
                Ok(report) if names.get(&report.name) != Some(key) => false,
                Ok(_) if keep_missing => true,
                Ok(report) => {
                    names.remove(&report.name);
                    removed.push(report.name.clone());
                    false
                }
                Err(_) => false,
            }
        });
        removed.sort();
        removed
    }
}
