//! The one view of all sources.
//!
//! | what sources tell | what the view has |
//! | --- | --- |
//! | one name, several sources | one member; its worst standing counts, and the latest start |
//! | one address, several sources, whatever the names | one member, seen by each of them: the same |
//! | one address, two names in one source | the one registered last; the other is gone |
//! | nothing of a name any more, by all that listed it | it is gone |
//! | no start time | cold from when this name was first seen at this address, or was registered anew |
//! | a name that is held out ([`EndpointSet::hold`]) | it drains; held no more, it starts anew then: cold |
//! | none that is ready, some whose checks fail | with a last resort ([`EndpointSet::new`]), those take work: better than none |
//!
//! What it has depends on the last word of each source only, not on the order in which they came or on what was lost on
//! the way (but for starts that nobody states, which are when this instance heard of them). Its cost grows with what
//! changes: a member is merged anew when something is told of it, of its address, or of one that shares these.
use crate::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, Name, SourceUpdate};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A source, in the order in which they count: by the operator's file, and within that by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// Its place in the operator's file.
    pub rank: u16,
    /// What it is called, with its datacentre.
    pub label: Arc<str>,
}

/// One member as all sources together have it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Which.
    pub name: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// The name of its kind.
    pub kind: Arc<str>,
    /// Its group.
    pub cell: u16,
    /// What it speaks.
    #[serde(rename = "speaks")]
    pub protocol: EndpointProtocol,
    /// The worst that a source says of it.
    #[serde(rename = "standing")]
    pub state: EndpointState,
    /// Whether it takes new work.
    #[serde(rename = "takes")]
    pub accepts_requests: bool,
    /// Why it does not stand ready.
    #[serde(rename = "why")]
    pub reason: Arc<str>,
    /// When its process started, in Unix milliseconds: stated, or when it was first heard of; 0: long ago.
    #[serde(rename = "since")]
    pub started_ms: f64,
    /// Whether a source states it.
    #[serde(rename = "stated")]
    pub start_reported: bool,
    /// The sources that tell of it, in their order.
    pub sources: Vec<Arc<str>>,
    /// What its owner wrote down of it, by the first source that has some of that.
    pub meta: Meta,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// It is new, or differs from before.
    Updated(Endpoint),
    /// It is gone; this is what it was.
    Removed(Endpoint),
}

/// How a source stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceStatus {
    /// When it last told something that counts, in Unix milliseconds.
    pub updated_ms: Option<f64>,
    /// Why what it said last does not count; `None`: it does.
    pub error: Option<String>,
    /// Members that it lists.
    pub endpoint_count: usize,
}

/// What is remembered of a process whose start nobody states.
#[derive(Clone, Debug)]
struct FirstSeen {
    since: f64,
    /// Its registration at each source.
    registered: BTreeMap<Source, u64>,
}

/// A report that is kept over a restart, with the start that was heard of where none is stated.
pub type CachedReport = (Source, EndpointReport, Option<f64>);

/// See the module's page.
#[derive(Debug, Default)]
pub struct EndpointSet {
    sources: BTreeMap<Source, SourceStatus>,
    reports: BTreeMap<(Name, Source), EndpointReport>,
    at: BTreeMap<SocketAddr, BTreeSet<(Name, Source)>>,
    /// By name and address.
    seen: BTreeMap<Name, BTreeMap<SocketAddr, FirstSeen>>,
    merged: BTreeMap<Name, Endpoint>,
    last_resort: bool,
    /// Names that are held out, and why; names that were, and when that ended, in Unix milliseconds.
    held: BTreeMap<Name, Arc<str>>,
    returned: BTreeMap<Name, f64>,
    /// Members that stand ready, and those whose checks fail.
    ready: usize,
    critical: BTreeSet<Name>,
}

impl EndpointSet {
    /// A view of no sources yet. With `last_resort` members whose checks fail take work while none is ready.
    pub fn new(last_resort: bool) -> EndpointSet {
        EndpointSet { last_resort, ..EndpointSet::default() }
    }

    /// Adds a source that has not told anything yet.
    pub fn add_source(&mut self, source: &Source) {
        self.sources.entry(source.clone()).or_default();
    }

    /// How each source stands.
    pub fn sources(&self) -> impl Iterator<Item = (&Source, &SourceStatus)> {
        self.sources.iter()
    }

    /// The members, by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.merged.values()
    }

    /// Begins with what was kept of an earlier process, and when its sources had told it; those that this view does not
    /// have are left out. Starts that were heard of hold for the same names at the same addresses.
    pub fn restore(
        &mut self,
        kept: impl IntoIterator<Item = CachedReport>,
        told: impl IntoIterator<Item = (Source, f64)>,
    ) -> Vec<EndpointChange> {
        for (source, at) in told {
            if let Some(told) = self.sources.get_mut(&source).filter(|_| at.is_finite()) {
                told.updated_ms = Some(at);
            }
        }
        let mut touched = BTreeSet::new();
        for (source, report, since) in kept {
            if !self.sources.contains_key(&source) {
                continue;
            }
            if let Some(since) = since.filter(|s| s.is_finite() && *s >= 0.0) {
                let registered = BTreeMap::from([(source.clone(), report.registration_index)]);
                let seen = self.seen.entry(report.name.clone()).or_default();
                seen.insert(report.addr, FirstSeen { since, registered });
            }
            self.put(&source, report, &mut touched);
        }
        self.merge(0.0, touched)
    }

    /// Every report with its source, and the start that was heard of where none is stated: what [`EndpointSet::recall`] takes.
    pub fn cached_reports(&self) -> impl Iterator<Item = CachedReport> + '_ {
        self.reports.iter().map(|((name, source), report)| {
            let seen = self.seen.get(name).and_then(|at| at.get(&report.addr)).map(|s| s.since);
            (source.clone(), report.clone(), seen.filter(|_| report.started_ms.is_none()))
        })
    }

    /// Takes what a source tells, and returns what has changed: those that go before those that come. `now` is Unix
    /// time in milliseconds.
    pub fn apply_update(&mut self, now: f64, source: &Source, news: SourceUpdate) -> Vec<EndpointChange> {
        let told = self.sources.entry(source.clone()).or_default();
        let (reports, gone) = match news {
            SourceUpdate::Unavailable(why) => {
                told.error = Some(why);
                return Vec::new();
            }
            SourceUpdate::Delta(reports, gone) => (reports, gone),
            SourceUpdate::Full(reports) => {
                let named: BTreeSet<&Name> = reports.iter().map(|r| &r.name).collect();
                let lacks = |(name, s): &&(Name, Source)| s == source && !named.contains(name);
                let gone = self.reports.keys().filter(lacks).map(|(name, _)| name.clone()).collect();
                (reports, gone)
            }
        };
        (told.updated_ms, told.error) = (Some(now), None);
        let mut touched = BTreeSet::new();
        for name in gone {
            self.drop(source, &name, &mut touched);
        }
        for report in reports {
            self.put(source, report, &mut touched);
        }
        self.merge(now, touched)
    }

    /// Whether a name is held out.
    pub fn is_held_out(&self, name: &str) -> bool {
        self.held.contains_key(name)
    }

    /// From now on these names are held out, for these reasons, and no others, whatever sources say of them. Returns what has
    /// changed. A name that is held no more counts as started now, at `now` in Unix milliseconds.
    pub fn set_held_out(&mut self, now: f64, names: &BTreeMap<String, String>) -> Vec<EndpointChange> {
        let next: BTreeMap<Name, Arc<str>> =
            names.iter().map(|(name, why)| (name.as_str().into(), why.as_str().into())).collect();
        let mut touched = BTreeSet::new();
        for name in self.held.keys().filter(|name| !next.contains_key(*name)) {
            touched.insert(name.clone());
            if self.merged.contains_key(name) {
                self.returned.insert(name.clone(), now);
            }
        }
        touched.extend(next.iter().filter(|(n, why)| self.held.get(*n) != Some(why)).map(|(n, _)| n.clone()));
        self.held = next;
        self.merge(now, touched)
    }

    fn put(&mut self, source: &Source, report: EndpointReport, touched: &mut BTreeSet<Name>) {
        let key = (report.name.clone(), source.clone());
        match self.reports.get(&key) {
            Some(before) if *before == report => return,
            Some(before) if before.addr != report.addr => self.drop(source, &key.0, touched),
            _ => {}
        }
        self.at.entry(report.addr).or_default().insert(key.clone());
        self.touch(&report, touched);
        if self.reports.insert(key, report).is_none() {
            self.count(source, 1);
        }
    }

    fn count(&mut self, source: &Source, by: isize) {
        if let Some(told) = self.sources.get_mut(source) {
            told.endpoint_count = told.endpoint_count.saturating_add_signed(by);
        }
    }

    fn drop(&mut self, source: &Source, name: &Name, touched: &mut BTreeSet<Name>) {
        let key = (name.clone(), source.clone());
        let Some(report) = self.reports.remove(&key) else { return };
        self.count(source, -1);
        // Before it leaves its address: those that share it are merged anew.
        self.touch(&report, touched);
        if let Some(here) = self.at.get_mut(&report.addr) {
            here.remove(&key);
            if here.is_empty() {
                self.at.remove(&report.addr);
            }
        }
        // A start that was heard of is forgotten with the last who lists the name there.
        if !self.of(name).any(|(_, r)| r.addr == report.addr) {
            if let Some(seen) = self.seen.get_mut(name) {
                seen.remove(&report.addr);
                if seen.is_empty() {
                    self.seen.remove(name);
                }
            }
            self.returned.remove(name);
        }
    }

    /// Marks all whose merging depends on this report: its name, and those that share its address.
    fn touch(&self, report: &EndpointReport, touched: &mut BTreeSet<Name>) {
        touched.insert(report.name.clone());
        let here = self.at.get(&report.addr).into_iter().flatten();
        touched.extend(here.map(|(name, _)| name.clone()));
    }

    fn merge(&mut self, now: f64, touched: BTreeSet<Name>) -> Vec<EndpointChange> {
        if touched.is_empty() {
            return Vec::new();
        }
        // What stands at an address may move from one name to another, and a name from one to another of its addresses:
        // all names of them are looked at.
        let of = |name| self.of(name).map(|(_, r)| r.addr).collect::<Vec<_>>();
        let addrs: BTreeSet<SocketAddr> = touched.iter().flat_map(of).collect();
        let mut names = touched;
        for addr in addrs {
            names.extend(self.at.get(&addr).into_iter().flatten().map(|(name, _)| name.clone()));
        }
        let used = self.resort();
        let mut before = BTreeMap::new();
        for name in names {
            let next = self.one(&name, now);
            let old = self.replace(&name, next);
            before.insert(name, old);
        }
        let resort = self.resort();
        if resort != used {
            // Those whose checks fail take work, or no longer do, all at once.
            for name in &self.critical {
                before.entry(name.clone()).or_insert_with(|| self.merged.get(name).cloned());
            }
        }
        let (mut gone, mut come) = (Vec::new(), Vec::new());
        for (name, old) in before {
            match self.merged.get_mut(&name) {
                Some(member) => {
                    member.accepts_requests = member.state == EndpointState::Ready
                        || (resort && member.state == EndpointState::Unhealthy);
                    if old.as_ref() != Some(member) {
                        come.push(EndpointChange::Updated(member.clone()));
                    }
                }
                None => gone.extend(old.map(EndpointChange::Removed)),
            }
        }
        gone.append(&mut come);
        gone
    }

    /// Puts a member in the place of what there was, which it returns.
    fn replace(&mut self, name: &Name, next: Option<Endpoint>) -> Option<Endpoint> {
        if let Some(next) = &next {
            self.ready += usize::from(next.state == EndpointState::Ready);
            if next.state == EndpointState::Unhealthy {
                self.critical.insert(name.clone());
            }
        }
        let critical = next.as_ref().is_some_and(|n| n.state == EndpointState::Unhealthy);
        let before = match next {
            Some(next) => self.merged.insert(name.clone(), next),
            None => self.merged.remove(name),
        };
        if let Some(before) = &before {
            self.ready -= usize::from(before.state == EndpointState::Ready);
            if before.state == EndpointState::Unhealthy && !critical {
                self.critical.remove(name);
            }
        }
        before
    }

    /// Whether members whose checks fail take work now.
    fn resort(&self) -> bool {
        self.last_resort && self.ready == 0
    }

    /// The sources' reports of a name.
    fn of<'a>(&'a self, name: &Name) -> impl Iterator<Item = (&'a Source, &'a EndpointReport)> + 'a {
        let first = Source { rank: 0, label: "".into() };
        let name = name.clone();
        let from = self.reports.range((name.clone(), first)..);
        from.take_while(move |((n, _), _)| *n == name).map(|((_, source), report)| (source, report))
    }

    /// Where a name is: where the process is that started last; of several that say nothing of that, where the first
    /// source has it.
    fn place(&self, name: &Name) -> Option<SocketAddr> {
        let mut best: Option<&EndpointReport> = None;
        for (_, report) in self.of(name) {
            let later =
                |than: &EndpointReport| report.started_ms.unwrap_or(0.0) > than.started_ms.unwrap_or(0.0);
            if best.is_none_or(later) {
                best = Some(report);
            }
        }
        best.map(|r| r.addr)
    }

    /// A name as it is to be in the view; `None`: it is not.
    fn one(&mut self, name: &Name, now: f64) -> Option<Endpoint> {
        let addr = self.place(name)?;
        // All that is told of this address under names whose place it is.
        let told =
            self.at.get(&addr)?.iter().filter(|(other, _)| other == name || self.place(other) == Some(addr));
        let here: Vec<(&Source, &EndpointReport)> =
            told.filter_map(|key| Some((&key.1, self.reports.get(key)?))).collect();
        // Within one source the last registration counts; several that are as new are one process under two names.
        let last = |source: &Source| {
            here.iter().filter(|(s, _)| *s == source).map(|(_, r)| r.registration_index).max()
        };
        let mut present: Vec<(&Source, &EndpointReport)> =
            here.iter().filter(|(s, r)| last(s) == Some(r.registration_index)).copied().collect();
        present.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        // Its name is that by which the first source knows it.
        let first = present.first()?.1;
        if first.name != *name {
            return None;
        }
        let standing = present.iter().map(|(_, r)| r.state).max()?;
        let worst = present.iter().map(|(_, r)| *r).find(|r| r.state == standing)?;
        let stated = present.iter().filter_map(|(_, r)| r.started_ms).reduce(f64::max);
        let text = |of: fn(&EndpointReport) -> &Arc<str>| {
            let said = present.iter().map(|(_, r)| of(r)).find(|t| !t.is_empty());
            said.unwrap_or(of(first)).clone()
        };
        let (zone, kind, mut why) = (text(|r| &r.zone), text(|r| &r.kind), worst.reason.clone());
        let mut standing = standing;
        if let Some(held) = self.held.get(name) {
            (standing, why) = (EndpointState::Draining, held.clone());
        }
        let (cell, speaks) = (first.cell, first.protocol);
        let registered: BTreeMap<Source, u64> =
            present.iter().map(|(s, r)| ((*s).clone(), r.registration_index)).collect();
        let names: BTreeSet<Name> = present.iter().map(|(_, r)| r.name.clone()).collect();
        let mut sources: Vec<Arc<str>> = present.iter().map(|(s, _)| s.label.clone()).collect();
        sources.dedup();
        let meta =
            present.iter().map(|(_, r)| &r.meta).find(|m| !m.is_empty()).unwrap_or(&first.meta).clone();
        let takes = false;
        let since = match stated {
            Some(stated) => stated,
            None => self.heard(addr, &names, &registered, now),
        };
        let since = self.returned.get(name).map_or(since, |&returned| since.max(returned));
        let (name, stated) = (name.clone(), stated.is_some());
        Some(Endpoint {
            name,
            addr,
            zone,
            kind,
            cell,
            protocol: speaks,
            state: standing,
            accepts_requests: takes,
            reason: why,
            started_ms: since,
            start_reported: stated,
            sources,
            meta,
        })
    }

    /// Since when a process is known of whose start nobody states. Registered anew, it may have started anew.
    fn heard(
        &mut self,
        addr: SocketAddr,
        names: &BTreeSet<Name>,
        registered: &BTreeMap<Source, u64>,
        now: f64,
    ) -> f64 {
        let known = names.iter().filter_map(|n| self.seen.get(n)?.get(&addr));
        let same = |seen: &&FirstSeen| {
            registered.iter().all(|(s, r)| seen.registered.get(s).is_none_or(|before| before == r))
        };
        let since = known.filter(same).map(|s| s.since).reduce(f64::max).unwrap_or(now);
        for name in names {
            let seen = FirstSeen { since, registered: registered.clone() };
            self.seen.entry(name.clone()).or_default().insert(addr, seen);
        }
        since
    }
}
