//! What goes along with the sockets to a successor: the list of upstreams with its age, and what the module has
//! learned of capacity and demand. It is taken only by a process with the same settings; see `docs/design/fleet.md`
//! for what is left behind, and why.
use crate::members::{Entry, Listing, Protocol};
use oakflow::{Availability, Learned, Member, UpstreamId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A list older than this is not taken: asking for a new one is better than going by it.
const AGE_MOST: Duration = Duration::from_secs(60);

/// What goes along.
#[derive(Debug, Serialize, Deserialize)]
pub struct Along {
    /// Tells the settings apart that the rest is meant for.
    settings: u64,
    list: Option<List>,
    learned: Figures,
}

#[derive(Debug, Serialize, Deserialize)]
struct List {
    version: u64,
    age_ms: u64,
    members: Vec<Line>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Line {
    id: u64,
    addr: SocketAddr,
    zone: u16,
    kind: u8,
    group: u16,
    ready: bool,
    since: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Figures {
    capacity: f64,
    peak: f64,
    unloaded: f64,
    demands: Vec<f64>,
}

impl Along {
    /// Gathers it.
    pub fn new(settings: u64, list: Option<(Listing, Duration)>, learned: Learned) -> Along {
        let line = |e: &Entry| Line {
            id: e.member.id.0,
            addr: e.addr,
            zone: e.member.zone,
            kind: e.member.kind,
            group: e.member.group,
            ready: e.member.availability == Availability::Ready,
            since: e.member.since,
        };
        let list = list.map(|(listing, age)| List {
            version: listing.version,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            members: listing.entries.iter().map(line).collect(),
        });
        let Learned { capacity, peak, unloaded, demands } = learned;
        Along { settings, list, learned: Figures { capacity, peak, unloaded, demands } }
    }

    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        // Numbers and texts only: this can't fail, and without it the successor starts like any other.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From bytes, for a process with these settings. `None`: it is for other settings, or nothing that can be read.
    pub fn read(bytes: &[u8], settings: u64) -> Option<Along> {
        serde_json::from_slice::<Along>(bytes).ok().filter(|along| along.settings == settings)
    }

    /// The list, unless it is too old.
    pub fn listing(&self) -> Option<Listing> {
        let list = self.list.as_ref().filter(|l| Duration::from_millis(l.age_ms) <= AGE_MOST)?;
        let sound = |l: &&Line| (0.0..1e15).contains(&l.since);
        let entry = |l: &Line| {
            let availability = if l.ready { Availability::Ready } else { Availability::Draining };
            let (id, zone, kind, group, since) = (UpstreamId(l.id), l.zone, l.kind, l.group, l.since);
            let member = Member { id, zone, kind, group, availability, since };
            Entry { member, addr: l.addr, speaks: Protocol::Http }
        };
        let entries = list.members.iter().filter(sound).map(entry).collect();
        Some(Listing { version: list.version, full: true, entries })
    }

    /// What was learned; the module checks it.
    pub fn learned(&self) -> Learned {
        let Figures { capacity, peak, unloaded, ref demands } = self.learned;
        Learned { capacity, peak, unloaded, demands: demands.clone() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listing() -> Listing {
        let member = |id, availability| Member { id: UpstreamId(id), availability, ..Member::default() };
        let entry = |id, availability| Entry {
            member: member(id, availability),
            addr: SocketAddr::from(([127, 0, 0, 1], 9)),
            speaks: Protocol::Http,
        };
        let entries = vec![entry(u64::MAX, Availability::Ready), entry(2, Availability::Draining)];
        Listing { version: 7, full: true, entries }
    }

    #[test]
    fn what_goes_along_arrives_as_it_was() {
        let learned = Learned { capacity: 12.5, peak: 9.0, unloaded: 80.0, demands: vec![1.0, 0.0] };
        let bytes = Along::new(5, Some((listing(), Duration::from_secs(1))), learned.clone()).write();
        let along = Along::read(&bytes, 5).expect("for these settings");
        assert_eq!(along.learned(), learned);
        let list = along.listing().expect("young enough");
        let wanted: Vec<Member> = listing().members().collect();
        assert_eq!((list.version, list.full, list.members().collect::<Vec<_>>()), (7, true, wanted));
    }

    /// Guards against going by positions that mean something else, by an old list, and against garbage.
    #[test]
    fn what_is_not_fitting_is_left() {
        let old = Along::new(5, Some((listing(), Duration::from_secs(61))), Learned::default());
        assert!(old.listing().is_none());
        let bytes = old.write();
        assert!(Along::read(&bytes, 6).is_none(), "other settings");
        assert!(Along::read(&bytes[1..], 5).is_none() && Along::read(b"", 5).is_none());
    }
}
