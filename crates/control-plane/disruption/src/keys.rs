//! Keys of the coordination store that this crate reads and writes. The spellings are part of the stored format and never
//! change.
//!
//! | key | value | written by | removed |
//! | --- | --- | --- | --- |
//! | `outage/budgets` | [`DisruptionBudgets`](crate::DisruptionBudgets) | an operator | never |
//! | `outage/ledger` | nothing; each write that grants leases changes it, so that of two concurrent ones one fails | the granting process | never |
//! | `outage/unit/balancer/NAME` | [`BalancerEntry`](crate::BalancerEntry) | its supervisor | when an operator forgets it |
//! | `outage/said/NAME` | [`InstanceStatus`](crate::InstanceStatus) | the balancer itself | with its session |
//! | `outage/sight/NAME` | [`EndpointObservations`](crate::EndpointObservations) | a balancer, about its upstreams | with its session |
//! | `outage/quiet/NAME` | [`DrainedEndpoints`](crate::DrainedEndpoints) | a balancer, about drains | with its session |
//! | `outage/ask/ID` | [`LeaseRequest`](crate::LeaseRequest) | the process that requests the disruption | with its session, or when the lease is granted |
//! | `outage/leave/KIND/NAME` | [`DisruptionLease`](crate::DisruptionLease) | the granting process | when the resource is back in service |
//! | `outage/holder/NAME` | session id of a lease owner | the owner | with its session |
//! | `outage/list/HASH` | [`EndpointList`](crate::EndpointList) | the first balancer with these upstreams | when no observations refer to it |
//! | `outage/leaving/NAME/PID` | [`DrainedEndpoints`](crate::DrainedEndpoints) of a process that handed its sockets over | that process | with its session |
use crate::{ResourceId, ResourceKind};

/// Prefix of all keys of this crate.
pub const KEY_PREFIX: &str = "outage/";
/// Key of the budgets.
pub const BUDGETS: &str = "outage/budgets";
/// Key that every write that grants leases changes.
pub const LEDGER: &str = "outage/ledger";
/// Prefix of the leases of upstreams, which are drains.
pub const DRAIN_LEASES: &str = "outage/leave/upstream/";

const BALANCERS: &str = "outage/unit/balancer/";
const STATUSES: &str = "outage/said/";
const OBSERVATIONS: &str = "outage/sight/";
const DRAINED: &str = "outage/quiet/";
const REQUESTS: &str = "outage/ask/";
const LEASES: &str = "outage/leave/";
const OWNERS: &str = "outage/holder/";
const ENDPOINT_LISTS: &str = "outage/list/";
const PREDECESSOR_DRAINED: &str = "outage/leaving/";

/// Key of a balancer's [`BalancerEntry`](crate::BalancerEntry).
pub fn balancer_key(name: &str) -> String {
    format!("{BALANCERS}{name}")
}

/// Key of a balancer's [`InstanceStatus`](crate::InstanceStatus).
pub fn status_key(name: &str) -> String {
    format!("{STATUSES}{name}")
}

/// Key of a balancer's [`EndpointObservations`](crate::EndpointObservations).
pub fn observations_key(name: &str) -> String {
    format!("{OBSERVATIONS}{name}")
}

/// Key of a balancer's [`DrainedEndpoints`](crate::DrainedEndpoints).
pub fn drained_key(name: &str) -> String {
    format!("{DRAINED}{name}")
}

/// Key of the [`DrainedEndpoints`](crate::DrainedEndpoints) of a process that handed its sockets over to its successor and
/// still finishes requests.
pub fn predecessor_drained_key(name: &str, pid: u32) -> String {
    format!("{PREDECESSOR_DRAINED}{name}/{pid}")
}

/// Key of the session id of a lease owner.
pub fn owner_key(owner: &str) -> String {
    format!("{OWNERS}{owner}")
}

/// Key of an [`EndpointList`](crate::EndpointList), by the hash of its encoding.
pub fn endpoint_list_key(hash: &str) -> String {
    format!("{ENDPOINT_LISTS}{hash}")
}

/// Key of a [`LeaseRequest`](crate::LeaseRequest).
pub fn request_key(id: &str) -> String {
    format!("{REQUESTS}{id}")
}

/// Key of the [`DisruptionLease`](crate::DisruptionLease) of a resource.
pub fn lease_key(resource: &ResourceId) -> String {
    format!("{LEASES}{resource}")
}

/// A key under [`KEY_PREFIX`], by the kind of its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key<'a> {
    Budgets,
    Ledger,
    Balancer(&'a str),
    Status(&'a str),
    Observations(&'a str),
    Drained(&'a str),
    Request(&'a str),
    /// `KIND/NAME`, see [`parse_resource`].
    Lease(&'a str),
    Owner(&'a str),
    EndpointList(&'a str),
    /// `NAME/PID`.
    PredecessorDrained(&'a str),
}

/// Builds a key from the text after its prefix.
type KeyFamily<'a> = fn(&'a str) -> Key<'a>;

impl<'a> Key<'a> {
    /// `None` for a key that this version does not know.
    pub(crate) fn parse(key: &'a str) -> Option<Key<'a>> {
        match key {
            BUDGETS => return Some(Key::Budgets),
            LEDGER => return Some(Key::Ledger),
            _ => {}
        }
        let families: [(&str, KeyFamily<'a>); 9] = [
            (BALANCERS, Key::Balancer),
            (STATUSES, Key::Status),
            (OBSERVATIONS, Key::Observations),
            (DRAINED, Key::Drained),
            (REQUESTS, Key::Request),
            (LEASES, Key::Lease),
            (OWNERS, Key::Owner),
            (ENDPOINT_LISTS, Key::EndpointList),
            (PREDECESSOR_DRAINED, Key::PredecessorDrained),
        ];
        families.into_iter().find_map(|(prefix, family)| key.strip_prefix(prefix).map(family))
    }
}

/// Parses `KIND/NAME`, the spelling of a [`ResourceId`] in keys.
pub(crate) fn parse_resource(text: &str) -> Option<ResourceId> {
    let (kind, name) = text.split_once('/')?;
    let kind = [ResourceKind::Balancer, ResourceKind::Upstream].into_iter().find(|k| k.as_str() == kind)?;
    Some(ResourceId { kind, name: name.into() })
}
