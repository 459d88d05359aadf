//! Order in which a rollout replaces the instances. Every process computes the same order: instances are taken round by round,
//! one from each zone in turn and within a zone one from each machine in turn. The order within zones and machines is pseudo-random,
//! seeded by the rollout's number, so that rollouts do not always start with the same instances.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of instances that run the new build after a stage.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// A number of instances.
    Count(u32),
    /// A share of the fleet, greater than 0 and at most 1; at least one instance.
    Share(f64),
}

impl Stage {
    pub(crate) fn is_valid(self) -> bool {
        match self {
            Stage::Count(count) => count > 0,
            Stage::Share(share) => share > 0.0 && share <= 1.0,
        }
    }

    /// Number of instances in a fleet of `fleet_size` instances.
    pub fn instance_count(self, fleet_size: usize) -> usize {
        match self {
            Stage::Count(count) => usize::try_from(count).unwrap_or(usize::MAX).min(fleet_size),
            Stage::Share(share) => {
                let count = (fleet_size as f64 * share).ceil() as usize;
                count.clamp(1, fleet_size.max(1)).min(fleet_size)
            }
        }
    }
}

/// Location of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Zone of the instance.
    pub zone: &'a str,
    /// Machine of the instance.
    pub machine: &'a str,
}

/// Pseudo-random sort key, with the name to break ties.
type SortKey<'a> = (u64, &'a str);
/// Instances of a zone by machine.
type Machines<'a> = BTreeMap<SortKey<'a>, Vec<&'a str>>;

/// Returns the names of the instances in the order in which the rollout with this number replaces them.
pub fn order<'a>(rollout_number: u64, placements: &[Placement<'a>]) -> Vec<&'a str> {
    let sort_key = |name: &'a str| -> SortKey<'a> {
        (hashing::stable(format!("{rollout_number}/{name}").as_bytes()), name)
    };
    let mut zones: BTreeMap<SortKey<'a>, Machines<'a>> = BTreeMap::new();
    for placement in placements {
        let machines = zones.entry(sort_key(placement.zone)).or_default();
        machines.entry(sort_key(placement.machine)).or_default().push(placement.name);
    }
    let zones = zones.into_values().map(|machines| {
        let machines = machines.into_values().map(|mut names| {
            names.sort_by_key(|name| sort_key(name));
            VecDeque::from(names)
        });
        interleave(machines.collect())
    });
    interleave(zones.collect()).into()
}

/// Takes one element of each queue in turn, until all are empty.
fn interleave<T>(mut queues: Vec<VecDeque<T>>) -> VecDeque<T> {
    let mut interleaved = VecDeque::new();
    while queues.iter().any(|queue| !queue.is_empty()) {
        interleaved.extend(queues.iter_mut().filter_map(VecDeque::pop_front));
    }
    interleaved
}
