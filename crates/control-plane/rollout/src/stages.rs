//! Which instances a release takes first. The order is the same wherever it is reckoned: round after round one of each zone,
//! and within a zone one of each machine, drawn by the release's number, so that no release begins where the last one did.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How many instances have the new build after a wave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// So many.
    Count(u32),
    /// This part of all, at least one.
    Share(f64),
}

impl Stage {
    pub(crate) fn is_valid(self) -> bool {
        match self {
            Stage::Count(n) => n > 0,
            Stage::Share(s) => s > 0.0 && s <= 1.0,
        }
    }

    /// Of so many instances.
    pub fn instance_count(self, all: usize) -> usize {
        match self {
            Stage::Count(n) => usize::try_from(n).unwrap_or(usize::MAX).min(all),
            Stage::Share(s) => ((all as f64 * s).ceil() as usize).clamp(1, all.max(1)).min(all),
        }
    }
}

/// Where an instance is.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its machine.
    pub machine: &'a str,
}

/// The instances of each machine of a zone, in a drawn order.
type Machines<'a> = BTreeMap<(u64, &'a str), Vec<&'a str>>;

/// The order in which a release of this number takes them.
pub fn order<'a>(number: u64, places: &[Placement<'a>]) -> Vec<&'a str> {
    let drawn = |text: &str| hashing::stable(format!("{number}/{text}").as_bytes());
    let mut zones: BTreeMap<(u64, &str), Machines<'a>> = BTreeMap::new();
    for p in places {
        let machines = zones.entry((drawn(p.zone), p.zone)).or_default();
        machines.entry((drawn(p.machine), p.machine)).or_default().push(p.name);
    }
    let rounds = zones.into_values().map(|machines| {
        let mut machines: Vec<VecDeque<&str>> = machines
            .into_values()
            .map(|mut names| {
                names.sort_by_key(|name| (drawn(name), *name));
                names.into()
            })
            .collect();
        let mut zone = VecDeque::new();
        while machines.iter().any(|m| !m.is_empty()) {
            zone.extend(machines.iter_mut().filter_map(VecDeque::pop_front));
        }
        zone
    });
    let mut rounds: Vec<VecDeque<&str>> = rounds.collect();
    let mut order = Vec::with_capacity(places.len());
    while rounds.iter().any(|zone| !zone.is_empty()) {
        order.extend(rounds.iter_mut().filter_map(VecDeque::pop_front));
    }
    order
}
