//! Merging of the reports of one endpoint.
use super::{Endpoint, EndpointSet, Source};
use crate::endpoint::{EndpointReport, EndpointState, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Reports of one endpoint that apply, by source and name.
struct ApplicableReports<'a>(Vec<(&'a Source, &'a EndpointReport)>);

impl<'a> ApplicableReports<'a> {
    /// Within one source the latest registration applies; several equally late ones are one process under several names.
    fn select(located: &[(&'a Source, &'a EndpointReport)]) -> ApplicableReports<'a> {
        let latest_registration = |source: &Source| {
            let of_source = located.iter().filter(|(other, _)| *other == source);
            of_source.map(|(_, report)| report.registration_index).max()
        };
        let latest = located
            .iter()
            .filter(|(source, report)| latest_registration(source) == Some(report.registration_index));
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
    /// The endpoint of a name, merged from the reports at its address; `None` if there is none, or if the endpoint at
    /// the address has another name. [`Endpoint::accepts_requests`] is left to the caller.
    pub(super) fn merge_endpoint(&mut self, name: &Name, now_ms: f64) -> Option<Endpoint> {
        let addr = self.reports.addr_of(name)?;
        let located = self.reports.located_at(addr, name);
        let applicable = ApplicableReports::select(&located);
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
