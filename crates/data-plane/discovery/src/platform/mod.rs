//! The platform's discovery service: its responses, the watch on it, and its staleness bounds.
//!
//! | module | contents |
//! | --- | --- |
//! | [`staleness`] | when changes count as known, and the timing of a watch that reads them by then |
//! | [`watch`] | requests, and the meaning of responses |
pub mod staleness;
pub mod watch;

use crate::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, Name, SourceUpdate};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Start times at and above this are invalid. Unix time in milliseconds.
const MAX_STARTED_MS: f64 = 1e15;

/// The response is not a list of endpoints.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct ResponseError(#[from] serde_json::Error);

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListResponse {
    /// Increases with each change of the list.
    pub version: u64,
    /// Whether it contains the full list, or the changes only.
    pub full: bool,
    /// The update of the list.
    pub update: SourceUpdate,
    /// Descriptions of the entries that are not usable.
    pub entry_errors: Vec<String>,
}

impl EndpointListResponse {
    /// The reports that it contains.
    pub fn reports(&self) -> &[EndpointReport] {
        match &self.update {
            SourceUpdate::Full(reports) | SourceUpdate::Delta(reports, _) => reports,
            SourceUpdate::Unavailable(_) => &[],
        }
    }
}

#[derive(Deserialize)]
struct RawResponse<T> {
    version: u64,
    full: bool,
    servers: Vec<T>,
}

#[derive(Deserialize)]
struct RawEndpoint {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

/// Meaning of one entry.
enum EntryUpdate {
    Updated(EndpointReport),
    Removed(Name),
    /// The endpoint is draining, and the rest of the entry is malformed, for this reason.
    Draining(Name, String),
}

/// Collects the entries of a response.
#[derive(Default)]
struct EntryCollector {
    reports: Vec<EndpointReport>,
    removed: Vec<Name>,
    errors: Vec<String>,
}

impl EntryCollector {
    fn add(&mut self, entry: Result<EntryUpdate, String>) {
        match entry {
            Ok(EntryUpdate::Updated(report)) => self.reports.push(report),
            Ok(EntryUpdate::Removed(name)) => self.removed.push(name),
            Ok(EntryUpdate::Draining(name, error)) => {
                self.removed.push(name);
                self.errors.push(error);
            }
            Err(error) => self.errors.push(error),
        }
    }
}

/// Parses a response. Entries that are not usable are reported as [`EndpointListResponse::entry_errors`] and have no
/// effect, except that an entry which marks an endpoint as draining or removed applies even if it is malformed otherwise.
///
/// # Errors
/// The response is not a list of endpoints.
pub fn parse_response(json: &[u8]) -> Result<EndpointListResponse, ResponseError> {
    let mut entries = EntryCollector::default();
    let (version, full) = match serde_json::from_slice::<RawResponse<RawEndpoint>>(json) {
        Ok(raw) => {
            raw.servers.into_iter().for_each(|endpoint| entries.add(entry_update(endpoint)));
            (raw.version, raw.full)
        }
        // Parsing each entry separately costs several times as much, so it is done only if one of them is malformed.
        Err(_) => {
            let raw: RawResponse<Value> = serde_json::from_slice(json)?;
            raw.servers.into_iter().for_each(|entry| entries.add(salvage_entry(entry)));
            (raw.version, raw.full)
        }
    };
    let EntryCollector { reports, removed, errors } = entries;
    let update = if full { SourceUpdate::Full(reports) } else { SourceUpdate::Delta(reports, removed) };
    Ok(EndpointListResponse { version, full, update, entry_errors: errors })
}

fn entry_update(endpoint: RawEndpoint) -> Result<EntryUpdate, String> {
    if endpoint.id.is_empty() {
        return Err("an upstream has no id".into());
    }
    if endpoint.state == "left" {
        return Ok(EntryUpdate::Removed(endpoint.id.into()));
    }
    if !(0.0..MAX_STARTED_MS).contains(&endpoint.started_ms) {
        let error = format!(
            "upstream {:?}: started_ms is {}, which is out of range",
            endpoint.id, endpoint.started_ms
        );
        return match endpoint.state.as_str() {
            "leaving" => Ok(EntryUpdate::Draining(endpoint.id.into(), error)),
            _ => Err(error),
        };
    }
    match endpoint.state.as_str() {
        "active" => Ok(EntryUpdate::Updated(report(endpoint, EndpointState::Ready, ""))),
        "leaving" => Ok(EntryUpdate::Updated(report(endpoint, EndpointState::Draining, "leaving"))),
        other => Err(format!("upstream {:?}: unknown state {other:?}", endpoint.id)),
    }
}

/// The usable part of an entry that may be malformed.
fn salvage_entry(entry: Value) -> Result<EntryUpdate, String> {
    let text = |field: &str| entry.get(field).and_then(Value::as_str).unwrap_or_default().to_string();
    let (id, state) = (text("id"), text("state"));
    match serde_json::from_value::<RawEndpoint>(entry) {
        Ok(endpoint) => entry_update(endpoint),
        Err(_) if !id.is_empty() && state == "left" => Ok(EntryUpdate::Removed(id.into())),
        Err(e) => {
            let error = format!("upstream {id:?}: {e}");
            if id.is_empty() || state != "leaving" {
                return Err(error);
            }
            Ok(EntryUpdate::Draining(id.into(), error))
        }
    }
}

fn report(endpoint: RawEndpoint, state: EndpointState, reason: &str) -> EndpointReport {
    EndpointReport {
        name: endpoint.id.into(),
        addr: endpoint.addr,
        zone: endpoint.zone.into(),
        kind: endpoint.kind.into(),
        cell: endpoint.cell,
        protocol: EndpointProtocol::Http,
        state,
        reason: reason.into(),
        started_ms: Some(endpoint.started_ms),
        // Of two names at one address, the one whose process started last applies.
        registration_index: endpoint.started_ms as u64,
        meta: Meta::default(),
    }
}
