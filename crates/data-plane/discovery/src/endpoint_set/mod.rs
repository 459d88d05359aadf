//! The set of all sources' endpoints.
//!
//! | reports of the sources | result |
//! | --- | --- |
//! | one name from several sources | one endpoint; its most severe state and latest start apply |
//! | one address from several sources, under any names | one endpoint, reported by each of them |
//! | one address, two names in one source | the latest registration; the other endpoint is removed |
//! | the same in a source whose names are distinct processes ([`EndpointSet::set_distinct_names`]) | the name that arrived last at the address |
//! | a name that no source reports any more | the endpoint is removed |
//! | no start time | started when the name was first seen at this address, or registered anew |
//! | a name that is held out ([`EndpointSet::set_held_out`]) | draining; when it is not held out any more, it counts as started then |
//! | no ready endpoint, some unhealthy ones | with `last_resort` ([`EndpointSet::new`]) the unhealthy ones accept requests |
//!
//! The result depends on the last report of each source only, not on the order of updates or on lost ones, except for
//! start times that no source reports and for names that share an address in a source of distinct names. The cost of an update is proportional to its changes: an endpoint is merged anew
//! when a report of it, of its address, or of one that shares these changes.
//!
//! | module | contents |
//! | --- | --- |
//! | `reports` | reports by name and by address, and first-seen times |
//! | `merge` | merging of the reports of one endpoint |
mod merge;
mod reports;

use crate::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, Name, SourceUpdate};
use reports::ReportIndex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A source of reports. Ordered by precedence: by the operator's file, then by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// Position in the operator's file.
    pub rank: u16,
    /// Name of the source, with the datacentre.
    pub label: Arc<str>,
}

/// One endpoint, merged from the reports of all sources.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Name,
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// Name of its zone; empty if there is none.
    pub zone: Arc<str>,
    /// Name of its machine kind; empty if there is none.
    pub kind: Arc<str>,
    /// Cell of the endpoint.
    pub cell: u16,
    /// Protocol that the endpoint speaks.
    #[serde(rename = "speaks")]
    pub protocol: EndpointProtocol,
    /// The most severe state that a source reports.
    #[serde(rename = "standing")]
    pub state: EndpointState,
    /// Whether it gets new requests.
    #[serde(rename = "takes")]
    pub accepts_requests: bool,
    /// Reason why it is not ready; empty if it is ready.
    #[serde(rename = "why")]
    pub reason: Arc<str>,
    /// Start of its process in Unix milliseconds, reported or else first seen; 0: long ago.
    #[serde(rename = "since")]
    pub started_ms: f64,
    /// Whether a source reports the start time.
    #[serde(rename = "stated")]
    pub start_reported: bool,
    /// Labels of the sources that report it, in order of precedence.
    pub sources: Vec<Arc<str>>,
    /// Metadata, by the first source that reports any.
    pub meta: Meta,
}

/// A change of the set.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The endpoint is new or has changed.
    Updated(Endpoint),
    /// The endpoint was removed; this was its last state.
    Removed(Endpoint),
}

/// Status of a source, as of its last update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceStatus {
    /// Time of the last usable update, in Unix milliseconds.
    pub updated_ms: Option<f64>,
    /// Reason why the last update was not usable; `None` if it was.
    pub error: Option<String>,
    /// Number of endpoints that it reports.
    pub endpoint_count: usize,
}

/// A report with its source, and the first-seen time of the endpoint if its start is not reported.
pub type CachedReport = (Source, EndpointReport, Option<f64>);

/// The set of all sources' endpoints; see the [module documentation](self).
#[derive(Debug, Default)]
pub struct EndpointSet {
    sources: BTreeMap<Source, SourceStatus>,
    /// Sources that give every process a name of its own.
    distinct_names: BTreeSet<Source>,
    reports: ReportIndex,
    endpoints: BTreeMap<Name, Endpoint>,
    last_resort: bool,
    /// Reason of each name that is held out.
    held_out: BTreeMap<Name, Arc<str>>,
    /// End of the last hold-out of each name, in Unix milliseconds.
    hold_out_ended_ms: BTreeMap<Name, f64>,
    /// Number of ready endpoints.
    ready_count: usize,
    /// Names of the unhealthy endpoints.
    unhealthy: BTreeSet<Name>,
}

impl EndpointSet {
    /// A set without sources. With `last_resort`, unhealthy endpoints accept requests while none is ready.
    pub fn new(last_resort: bool) -> EndpointSet {
        EndpointSet { last_resort, ..EndpointSet::default() }
    }

    /// Adds a source without reports.
    pub fn add_source(&mut self, source: &Source) {
        self.sources.entry(source.clone()).or_default();
    }

    /// States that a source gives every process a name of its own: of several names at one address only the one that
    /// arrived last is a running process, even if the source still lists the others.
    pub fn set_distinct_names(&mut self, source: &Source) {
        self.distinct_names.insert(source.clone());
    }

    /// All sources with their status.
    pub fn sources(&self) -> impl Iterator<Item = (&Source, &SourceStatus)> {
        self.sources.iter()
    }

    /// All endpoints, by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Restores the reports of an earlier process and the times of its sources' updates. Sources that were not added are
    /// ignored. First-seen times apply to the same names at the same addresses.
    pub fn restore(
        &mut self,
        reports: impl IntoIterator<Item = CachedReport>,
        updated: impl IntoIterator<Item = (Source, f64)>,
    ) -> Vec<EndpointChange> {
        for (source, updated_ms) in updated {
            if let Some(status) = self.sources.get_mut(&source).filter(|_| updated_ms.is_finite()) {
                status.updated_ms = Some(updated_ms);
            }
        }
        let mut affected = BTreeSet::new();
        for (source, report, first_seen_ms) in reports {
            if !self.sources.contains_key(&source) {
                continue;
            }
            if let Some(first_seen_ms) = first_seen_ms.filter(|ms| ms.is_finite() && *ms >= 0.0) {
                self.reports.restore_first_seen(&source, &report, first_seen_ms);
            }
            self.insert_report(&source, report, &mut affected);
        }
        self.merge_affected(0.0, affected)
    }

    /// All reports, as [`EndpointSet::restore`] takes them.
    pub fn cached_reports(&self) -> impl Iterator<Item = CachedReport> + '_ {
        self.reports.cached()
    }

    /// Applies an update of a source and returns the changes, removals first. `now_ms` is Unix time in milliseconds.
    pub fn apply_update(
        &mut self,
        now_ms: f64,
        source: &Source,
        update: SourceUpdate,
    ) -> Vec<EndpointChange> {
        let status = self.sources.entry(source.clone()).or_default();
        let (reports, removed) = match update {
            SourceUpdate::Unavailable(reason) => {
                status.error = Some(reason);
                return Vec::new();
            }
            SourceUpdate::Delta(reports, removed) => (reports, removed),
            SourceUpdate::Full(reports) => {
                let removed = self.reports.missing_names(source, &reports);
                (reports, removed)
            }
        };
        status.updated_ms = Some(now_ms);
        status.error = None;
        let mut affected = BTreeSet::new();
        self.reports.begin_update();
        for name in removed {
            self.remove_report(source, &name, &mut affected);
        }
        for report in reports {
            self.insert_report(source, report, &mut affected);
        }
        self.merge_affected(now_ms, affected)
    }

    /// Whether a name is held out.
    pub fn is_held_out(&self, name: &str) -> bool {
        self.held_out.contains_key(name)
    }

    /// Holds out exactly these names, with their reasons, whatever the sources report, and returns the changes. A name
    /// that is not held out any more counts as started at `now_ms` (Unix milliseconds).
    pub fn set_held_out(&mut self, now_ms: f64, names: &BTreeMap<String, String>) -> Vec<EndpointChange> {
        let held_out: BTreeMap<Name, Arc<str>> =
            names.iter().map(|(name, reason)| (name.as_str().into(), reason.as_str().into())).collect();
        let mut affected = BTreeSet::new();
        for name in self.held_out.keys().filter(|name| !held_out.contains_key(*name)) {
            affected.insert(name.clone());
            if self.endpoints.contains_key(name) {
                self.hold_out_ended_ms.insert(name.clone(), now_ms);
            }
        }
        let changed = held_out.iter().filter(|(name, reason)| self.held_out.get(*name) != Some(reason));
        affected.extend(changed.map(|(name, _)| name.clone()));
        self.held_out = held_out;
        self.merge_affected(now_ms, affected)
    }

    /// Inserts or replaces a report; adds the names that have to be merged anew to `affected`.
    fn insert_report(&mut self, source: &Source, report: EndpointReport, affected: &mut BTreeSet<Name>) {
        match self.reports.get(&report.name, source) {
            Some(before) if *before == report => return,
            Some(before) if before.addr != report.addr => {
                let name = report.name.clone();
                self.remove_report(source, &name, affected);
            }
            _ => {}
        }
        let is_new = self.reports.insert(source, report, affected);
        if is_new {
            self.count_endpoints(source, 1);
        }
    }

    /// Removes a report; adds the names that have to be merged anew to `affected`.
    fn remove_report(&mut self, source: &Source, name: &Name, affected: &mut BTreeSet<Name>) {
        let Some(report) = self.reports.remove(source, name, affected) else { return };
        self.count_endpoints(source, -1);
        // First-seen time and hold-out are forgotten with the last report of the name at the address.
        if !self.reports.of_name(name).any(|(_, other)| other.addr == report.addr) {
            self.reports.forget_first_seen(name, report.addr);
            self.hold_out_ended_ms.remove(name);
        }
    }

    fn count_endpoints(&mut self, source: &Source, difference: isize) {
        if let Some(status) = self.sources.get_mut(source) {
            status.endpoint_count = status.endpoint_count.saturating_add_signed(difference);
        }
    }

    /// Merges the affected endpoints anew and returns the changes, removals first.
    fn merge_affected(&mut self, now_ms: f64, affected: BTreeSet<Name>) -> Vec<EndpointChange> {
        if affected.is_empty() {
            return Vec::new();
        }
        let used_last_resort = self.uses_last_resort();
        let mut before = BTreeMap::new();
        for name in self.reports.with_shared_addresses(affected) {
            let merged = self.merge_endpoint(&name, now_ms);
            let old = self.replace_endpoint(&name, merged);
            before.insert(name, old);
        }
        if self.uses_last_resort() != used_last_resort {
            // All unhealthy endpoints start or stop accepting requests.
            for name in &self.unhealthy {
                before.entry(name.clone()).or_insert_with(|| self.endpoints.get(name).cloned());
            }
        }
        self.changes_since(before)
    }

    /// Decides which of these endpoints accept requests, and returns the changes against their former state.
    fn changes_since(&mut self, before: BTreeMap<Name, Option<Endpoint>>) -> Vec<EndpointChange> {
        let uses_last_resort = self.uses_last_resort();
        let (mut removed, mut updated) = (Vec::new(), Vec::new());
        for (name, old) in before {
            match self.endpoints.get_mut(&name) {
                Some(endpoint) => {
                    endpoint.accepts_requests = match endpoint.state {
                        EndpointState::Ready => true,
                        EndpointState::Unhealthy => uses_last_resort,
                        EndpointState::Draining => false,
                    };
                    if old.as_ref() != Some(endpoint) {
                        updated.push(EndpointChange::Updated(endpoint.clone()));
                    }
                }
                None => removed.extend(old.map(EndpointChange::Removed)),
            }
        }
        removed.append(&mut updated);
        removed
    }

    /// Replaces an endpoint and returns the former one.
    fn replace_endpoint(&mut self, name: &Name, endpoint: Option<Endpoint>) -> Option<Endpoint> {
        if let Some(endpoint) = &endpoint {
            self.ready_count += usize::from(endpoint.state == EndpointState::Ready);
        }
        if endpoint.as_ref().is_some_and(|endpoint| endpoint.state == EndpointState::Unhealthy) {
            self.unhealthy.insert(name.clone());
        } else {
            self.unhealthy.remove(name);
        }
        let before = match endpoint {
            Some(endpoint) => self.endpoints.insert(name.clone(), endpoint),
            None => self.endpoints.remove(name),
        };
        if let Some(before) = &before {
            self.ready_count -= usize::from(before.state == EndpointState::Ready);
        }
        before
    }

    /// Whether unhealthy endpoints accept requests, since none is ready.
    fn uses_last_resort(&self) -> bool {
        self.last_resort && self.ready_count == 0
    }
}
