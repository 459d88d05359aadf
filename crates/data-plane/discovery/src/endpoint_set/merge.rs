//! Merging of the reports of one endpoint.
use super::{Endpoint, EndpointSet, Source};
use crate::endpoint::{EndpointReport, EndpointState, Name};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Precedence of a report among those of its source at one address; the highest applies, and several if they are equal.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    /// Arrival of its process, only where every name is a process of its own.
    arrival: Option<u64>,
    registration_index: u64,
    /// Decides between names that arrived together, only where every name is a process of its own.
    tie_break: Option<(Reverse<EndpointState>, Name)>,
}

/// Reports of one endpoint that apply, by source and name.
struct ApplicableReports<'a>(Vec<(&'a Source, &'a EndpointReport)>);

impl<'a> ApplicableReports<'a> {
    /// Selects the reports with the highest precedence of each source.
    fn select(
        located: &[(&'a Source, &'a EndpointReport)],
        precedence: impl Fn(&Source, &EndpointReport) -> Precedence,
    ) -> ApplicableReports<'a> {
        let highest = |source: &Source| {
            let of_source = located.iter().filter(|(other, _)| *other == source);
            of_source.map(|(_, report)| precedence(source, report)).max()
        };
        let latest =
            located.iter().filter(|(source, report)| highest(source) == Some(precedence(source, report)));
        let mut applicable: Vec<_> = latest.copied().collect();
        applicable.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        ApplicableReports(applicable)
    }

    fn reports(&self) -> impl Iterator<Item = &'a EndpointReport> + '_ {
        self.0.iter().map(|(_, report)| *report)
    }

    /// The report of the first source, which names the endpoint.
    fn first(&self) -> Option<&'a EndpointReport> {
        self.reports().next()
    }

    /// The first report with the most severe state.
    fn most_severe(&self) -> Option<&'a EndpointReport> {
        let state = self.reports().map(|report| report.state).max()?;
        self.reports().find(|report| report.state == state)
    }

    /// The latest reported start, in Unix milliseconds.
    fn reported_start_ms(&self) -> Option<f64> {
        self.reports().filter_map(|report| report.started_ms).reduce(f64::max)
    }

    /// The first text that is not empty.
    fn first_text(&self, text: fn(&EndpointReport) -> &Arc<str>) -> Arc<str> {
        let found = self.reports().map(text).find(|text| !text.is_empty());
        found.cloned().unwrap_or_else(|| "".into())
    }

    fn registrations(&self) -> BTreeMap<Source, u64> {
        self.0.iter().map(|(source, report)| ((*source).clone(), report.registration_index)).collect()
    }

    fn source_labels(&self) -> Vec<Arc<str>> {
        let mut labels: Vec<Arc<str>> = self.0.iter().map(|(source, _)| source.label.clone()).collect();
        labels.dedup();
        labels
    }
}

impl EndpointSet {
    /// Within one source the latest registration applies; several equally late ones are one process under several names,
    /// unless the source gives every process a name of its own: then the one that arrived last at the address applies,
    /// whatever start its clock stated.
    fn precedence(&self, source: &Source, report: &EndpointReport) -> Precedence {
        let distinct = self.distinct_names.contains(source);
        Precedence {
            arrival: distinct.then(|| self.reports.arrival(&report.name, source)),
            registration_index: report.registration_index,
            tie_break: distinct.then(|| (Reverse(report.state), report.name.clone())),
        }
    }

    /// The endpoint of a name, merged from the reports at its address; `None` if there is none, or if the endpoint at
    /// the address has another name. [`Endpoint::accepts_requests`] is left to the caller.
    pub(super) fn merge_endpoint(&mut self, name: &Name, now_ms: f64) -> Option<Endpoint> {
        let addr = self.reports.addr_of(name)?;
        let located = self.reports.located_at(addr, name);
        let applicable =
            ApplicableReports::select(&located, |source, report| self.precedence(source, report));
        let first = applicable.first()?;
        if first.name != *name {
            return None;
        }
        let most_severe = applicable.most_severe()?;
        let (state, reason) = match self.held_out.get(name) {
            Some(reason) => (EndpointState::Draining, reason.clone()),
            None => (most_severe.state, most_severe.reason.clone()),
        };
        let meta = applicable.reports().map(|report| &report.meta).find(|meta| !meta.is_empty());
        let reported_start_ms = applicable.reported_start_ms();
        let mut endpoint = Endpoint {
            name: name.clone(),
            addr,
            zone: applicable.first_text(|report| &report.zone),
            kind: applicable.first_text(|report| &report.kind),
            cell: first.cell,
            protocol: first.protocol,
            state,
            accepts_requests: false,
            reason,
            started_ms: 0.0,
            start_reported: reported_start_ms.is_some(),
            sources: applicable.source_labels(),
            meta: meta.unwrap_or(&first.meta).clone(),
        };
        let registrations = applicable.registrations();
        let names: BTreeSet<Name> = applicable.reports().map(|report| report.name.clone()).collect();
        let started_ms = match reported_start_ms {
            Some(started_ms) => started_ms,
            None => self.reports.first_seen_ms(addr, &names, &registrations, now_ms),
        };
        endpoint.started_ms = self.hold_out_ended_ms.get(name).map_or(started_ms, |&ms| started_ms.max(ms));
        Some(endpoint)
    }
}
