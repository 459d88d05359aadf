//! Reports by name and by address, and first-seen times of endpoints whose start is not reported.
use super::{CachedReport, Source};
use crate::endpoint::{EndpointReport, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// First-seen time of an endpoint.
#[derive(Clone, Debug)]
struct FirstSeen {
    /// Unix time in milliseconds.
    at_ms: f64,
    /// Registration index of the endpoint at each source.
    registrations: BTreeMap<Source, u64>,
}

/// All reports, by name and by address.
#[derive(Debug, Default)]
pub(super) struct ReportIndex {
    by_name: BTreeMap<(Name, Source), EndpointReport>,
    by_addr: BTreeMap<SocketAddr, BTreeSet<(Name, Source)>>,
    first_seen: BTreeMap<Name, BTreeMap<SocketAddr, FirstSeen>>,
    /// For each report, the number of the update with which its process arrived at its address.
    arrivals: BTreeMap<(Name, Source), u64>,
    /// Number of updates so far.
    update_count: u64,
}

impl ReportIndex {
    pub(super) fn get(&self, name: &Name, source: &Source) -> Option<&EndpointReport> {
        self.by_name.get(&(name.clone(), source.clone()))
    }

    /// Begins an update: reports that are inserted from now on arrive after all others.
    pub(super) fn begin_update(&mut self) {
        self.update_count += 1;
    }

    /// Number of the update with which the process of a report arrived at its address.
    pub(super) fn arrival(&self, name: &Name, source: &Source) -> u64 {
        self.arrivals.get(&(name.clone(), source.clone())).copied().unwrap_or(0)
    }

    /// Reports of a name, by source.
    pub(super) fn of_name<'a>(
        &'a self,
        name: &Name,
    ) -> impl Iterator<Item = (&'a Source, &'a EndpointReport)> + 'a {
        let first = Source { rank: 0, label: "".into() };
        let name = name.clone();
        let from = self.by_name.range((name.clone(), first)..);
        from.take_while(move |((other, _), _)| *other == name).map(|((_, source), report)| (source, report))
    }

    /// Reports at an address of names that are located there, by name and source.
    pub(super) fn located_at(&self, addr: SocketAddr, name: &Name) -> Vec<(&Source, &EndpointReport)> {
        let keys = self.by_addr.get(&addr).into_iter().flatten();
        let located = keys.filter(|(other, _)| other == name || self.addr_of(other) == Some(addr));
        located.filter_map(|key| Some((&key.1, self.by_name.get(key)?))).collect()
    }

    /// Address of a name: that of the process that started last, or else that of the first source.
    pub(super) fn addr_of(&self, name: &Name) -> Option<SocketAddr> {
        let started_ms = |report: &EndpointReport| report.started_ms.unwrap_or(0.0);
        let mut latest: Option<&EndpointReport> = None;
        for (_, report) in self.of_name(name) {
            if latest.is_none_or(|latest| started_ms(report) > started_ms(latest)) {
                latest = Some(report);
            }
        }
        latest.map(|report| report.addr)
    }

    /// Names that a source reports and that a complete list lacks.
    pub(super) fn missing_names(&self, source: &Source, list: &[EndpointReport]) -> Vec<Name> {
        let listed: BTreeSet<&Name> = list.iter().map(|report| &report.name).collect();
        let missing = self.by_name.keys().filter(|(name, other)| other == source && !listed.contains(name));
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Inserts or replaces a report and adds the affected names; `true` if it is new.
    pub(super) fn insert(
        &mut self,
        source: &Source,
        report: EndpointReport,
        affected: &mut BTreeSet<Name>,
    ) -> bool {
        let key = (report.name.clone(), source.clone());
        self.by_addr.entry(report.addr).or_default().insert(key.clone());
        self.add_affected(&report, affected);
        let registration_index = report.registration_index;
        let before = self.by_name.insert(key.clone(), report);
        // A report that only changes the state of a process is no arrival.
        if before.as_ref().is_none_or(|before| before.registration_index != registration_index) {
            self.arrivals.insert(key, self.update_count);
        }
        before.is_none()
    }

    /// Removes a report and adds the affected names.
    pub(super) fn remove(
        &mut self,
        source: &Source,
        name: &Name,
        affected: &mut BTreeSet<Name>,
    ) -> Option<EndpointReport> {
        let key = (name.clone(), source.clone());
        let report = self.by_name.remove(&key)?;
        self.arrivals.remove(&key);
        // Added before the report is removed from its address, since the names that share the address are affected.
        self.add_affected(&report, affected);
        if let Some(keys) = self.by_addr.get_mut(&report.addr) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_addr.remove(&report.addr);
            }
        }
        Some(report)
    }

    /// Adds the names whose merging depends on a report: its own, and those that share its address.
    fn add_affected(&self, report: &EndpointReport, affected: &mut BTreeSet<Name>) {
        affected.insert(report.name.clone());
        affected.extend(self.names_at(report.addr));
    }

    fn names_at(&self, addr: SocketAddr) -> impl Iterator<Item = Name> + '_ {
        self.by_addr.get(&addr).into_iter().flatten().map(|(name, _)| name.clone())
    }

    /// These names, and those that share one of their addresses: an address may move to another name, and a name to
    /// another of its addresses.
    pub(super) fn with_shared_addresses(&self, names: BTreeSet<Name>) -> BTreeSet<Name> {
        let addrs_of = |name| self.of_name(name).map(|(_, report)| report.addr).collect::<Vec<_>>();
        let addrs: BTreeSet<SocketAddr> = names.iter().flat_map(addrs_of).collect();
        let mut all = names;
        for addr in addrs {
            all.extend(self.names_at(addr));
        }
        all
    }

    /// All reports, with first-seen times.
    pub(super) fn cached(&self) -> impl Iterator<Item = CachedReport> + '_ {
        self.by_name.iter().map(|((name, source), report)| {
            let first_seen = self.first_seen.get(name).and_then(|by_addr| by_addr.get(&report.addr));
            let first_seen_ms = first_seen.map(|seen| seen.at_ms).filter(|_| report.started_ms.is_none());
            (source.clone(), report.clone(), first_seen_ms)
        })
    }

    /// Restores the first-seen time of a cached report.
    pub(super) fn restore_first_seen(&mut self, source: &Source, report: &EndpointReport, at_ms: f64) {
        let registrations = BTreeMap::from([(source.clone(), report.registration_index)]);
        let by_addr = self.first_seen.entry(report.name.clone()).or_default();
        by_addr.insert(report.addr, FirstSeen { at_ms, registrations });
    }

    /// Forgets the first-seen time of a name at an address.
    pub(super) fn forget_first_seen(&mut self, name: &Name, addr: SocketAddr) {
        if let Some(by_addr) = self.first_seen.get_mut(name) {
            by_addr.remove(&addr);
            if by_addr.is_empty() {
                self.first_seen.remove(name);
            }
        }
    }

    /// First-seen time of an endpoint under any of its names; now, if it was not seen before or was registered anew, as
    /// it may have been restarted then.
    pub(super) fn first_seen_ms(
        &mut self,
        addr: SocketAddr,
        names: &BTreeSet<Name>,
        registrations: &BTreeMap<Source, u64>,
        now_ms: f64,
    ) -> f64 {
        let known = names.iter().filter_map(|name| self.first_seen.get(name)?.get(&addr));
        let same_registration = |seen: &&FirstSeen| {
            registrations
                .iter()
                .all(|(source, index)| seen.registrations.get(source).is_none_or(|before| before == index))
        };
        let at_ms = known.filter(same_registration).map(|seen| seen.at_ms).reduce(f64::max).unwrap_or(now_ms);
        for name in names {
            let seen = FirstSeen { at_ms, registrations: registrations.clone() };
            self.first_seen.entry(name.clone()).or_default().insert(addr, seen);
        }
        at_ms
    }
}
