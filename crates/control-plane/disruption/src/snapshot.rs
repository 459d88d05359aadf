//! The fleet as the coordination store describes it at one revision.
use crate::budget::{DisruptionBudgets, Label};
use crate::keys::{self, Key};
use crate::messages::{
    BalancerEntry, DisruptionLease, DrainedEndpoints, EndpointCondition, EndpointList, EndpointObservations,
    InstanceStatus, LeaseRequest,
};
use crate::projection::{apply_to_map, DecodeError, Projection, Versioned};
use crate::{ResourceId, ResourceKind};
use coordination::state_machine::{Revision, SessionId};
use std::collections::{BTreeMap, BTreeSet};

/// Typed view of all keys under [`keys::KEY_PREFIX`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSnapshot {
    /// Revision of the store.
    pub revision: Revision,
    /// Version of the ledger key; 0 if it does not exist.
    pub ledger_version: Revision,
    /// Budgets; without any, disruptions are not limited.
    pub budgets: Option<Versioned<DisruptionBudgets>>,
    /// Balancers of the fleet, by name.
    pub balancers: BTreeMap<String, Versioned<BalancerEntry>>,
    /// Statuses of the balancers that have a session, by name.
    pub statuses: BTreeMap<String, Versioned<InstanceStatus>>,
    /// Observations of upstreams, by balancer name.
    pub observations: BTreeMap<String, Versioned<EndpointObservations>>,
    /// Drains without requests in flight, by balancer name.
    pub drained: BTreeMap<String, Versioned<DrainedEndpoints>>,
    /// Pending lease requests, by id.
    pub requests: BTreeMap<String, Versioned<LeaseRequest>>,
    /// Granted leases, by resource.
    pub leases: BTreeMap<ResourceId, Versioned<DisruptionLease>>,
    /// Sessions of lease owners, by owner name.
    pub owners: BTreeMap<String, Versioned<SessionId>>,
    /// Upstream lists, by hash.
    pub endpoint_lists: BTreeMap<String, Versioned<EndpointList>>,
    /// Drains without requests in flight of processes that handed their sockets over, by `NAME/PID`.
    pub predecessor_drained: BTreeMap<String, Versioned<DrainedEndpoints>>,
    /// Keys whose values cannot be decoded, with the reason.
    pub unreadable: BTreeMap<String, String>,
}

/// An upstream as all balancers together observe it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedEndpoint {
    /// Labels that budgets group it by.
    pub labels: BTreeSet<Label>,
    /// Condition of the upstream at each balancer that has it.
    pub conditions: Vec<EndpointCondition>,
}

impl FleetSnapshot {
    /// All upstreams that any balancer has, by name.
    pub fn upstreams(&self) -> BTreeMap<&str, ObservedEndpoint> {
        let mut upstreams: BTreeMap<&str, ObservedEndpoint> = BTreeMap::new();
        for observations in self.observations.values().map(|o| &o.value) {
            let Some(list) = self.endpoint_lists.get(&observations.list_hash) else { continue };
            for (name, labels) in &list.value.upstreams {
                let endpoint = upstreams.entry(name).or_default();
                endpoint.labels.extend(labels.pools.iter().map(|pool| Label::new("pool", pool)));
                if !labels.zone.is_empty() {
                    endpoint.labels.insert(Label::new("zone", &labels.zone));
                }
                let condition = observations.conditions.get(name).copied();
                endpoint.conditions.push(condition.unwrap_or(EndpointCondition::InService));
            }
        }
        upstreams
    }

    /// Whether the owner of a lease may still act on it: the lease belongs to the owner's current session.
    pub fn owner_is_active(&self, lease: &DisruptionLease) -> bool {
        self.owners.get(&lease.owner).is_some_and(|owner| owner.value == lease.session)
    }

    /// Session of a balancer's process; 0 if it has none, and for upstreams.
    pub fn session_of(&self, resource: &ResourceId) -> SessionId {
        match resource.kind {
            ResourceKind::Balancer => self.statuses.get(&resource.name).map_or(0, |s| s.value.session),
            ResourceKind::Upstream => 0,
        }
    }
}

impl Projection for FleetSnapshot {
    const KEY_PREFIX: &'static str = keys::KEY_PREFIX;

    fn revision(&self) -> Revision {
        self.revision
    }

    fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    fn unreadable_mut(&mut self) -> &mut BTreeMap<String, String> {
        &mut self.unreadable
    }

    fn try_apply(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), DecodeError> {
        let Some(key) = Key::parse(key) else { return Ok(()) };
        match key {
            // Budgets that cannot be decoded leave the former ones in force.
            Key::Budgets => self.budgets = Versioned::decode(value, version)?,
            Key::Ledger => self.ledger_version = if value.is_some() { version } else { 0 },
            Key::Balancer(name) => apply_to_map(&mut self.balancers, name.into(), value, version)?,
            Key::Status(name) => apply_to_map(&mut self.statuses, name.into(), value, version)?,
            Key::Observations(name) => apply_to_map(&mut self.observations, name.into(), value, version)?,
            Key::Drained(name) => apply_to_map(&mut self.drained, name.into(), value, version)?,
            Key::Request(id) => apply_to_map(&mut self.requests, id.into(), value, version)?,
            Key::Lease(resource) => {
                let resource = keys::parse_resource(resource).ok_or(DecodeError::UnknownResource)?;
                apply_to_map(&mut self.leases, resource, value, version)?;
            }
            Key::Owner(name) => apply_to_map(&mut self.owners, name.into(), value, version)?,
            Key::EndpointList(hash) => apply_to_map(&mut self.endpoint_lists, hash.into(), value, version)?,
            Key::PredecessorDrained(process) => {
                apply_to_map(&mut self.predecessor_drained, process.into(), value, version)?;
            }
        }
        Ok(())
    }
}
