//! Disruption budgets of a fleet: how many balancers or upstreams may be unavailable at the same time, decided over a snapshot
//! of the coordination store, without I/O.
//!
//! A [`DisruptionBudget`] limits the unavailable resources of each group (a machine, a zone, a tier, a pool, the whole fleet).
//! A process that is to make a resource unavailable writes a [`LeaseRequest`] and acts only under a granted
//! [`DisruptionLease`].
//! Decisions are a pure function of the [`FleetSnapshot`], so no single process is needed to make them: any process that
//! finds that leases can be granted writes them, and of two concurrent writes one fails.
//!
//! Every unavailable resource counts, whatever the cause: a granted lease, a missing session, a balancer that is not ready
//! or still warming up, an upstream that service discovery drains or that most balancers have ejected. A leased resource counts
//! as unavailable until it has been observed in service again, even if the session of the lease owner ends.
//!
//! | module | contents |
//! | --- | --- |
//! | [`budget`] | budgets, groups and validation |
//! | [`keys`] | keys of the coordination store |
//! | [`messages`] | stored values |
//! | [`projection`] | decoding of stored values into a typed view |
//! | [`conditional_write`] | transactions of the coordination store |
//! | [`snapshot`] | the fleet at one revision |
//! | [`availability`] | which resources are unavailable and why, usage of budgets |
//! | [`grants`] | decisions on lease requests |
//! | [`lease_lifecycle`] | release and adoption of leases, registration of balancers |
//! | [`drains`] | confirmation and recall of drains |
//! | [`lease_agent`] | state machine that holds leases for a supervisor |
pub mod availability;
pub mod budget;
pub mod conditional_write;
pub mod drains;
pub mod grants;
pub mod keys;
pub mod lease_agent;
pub mod lease_lifecycle;
pub mod messages;
pub mod projection;
pub mod snapshot;

pub use availability::{BudgetUsage, GroupUsage, UnavailableReason};
pub use budget::{DisruptionBudget, DisruptionBudgets, GroupBy, Label};
pub use conditional_write::ConditionalWrite;
pub use grants::{LeaseDecision, RequestDecision};
pub use messages::{
    BalancerEntry, DisruptionKind, DisruptionLease, DrainedEndpoints, EndpointCondition, EndpointLabels,
    EndpointList, EndpointObservations, InstanceState, InstanceStatus, LeaseRequest,
};
pub use projection::{Projection, Versioned};
pub use snapshot::FleetSnapshot;

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of resources that one write changes.
pub const MAX_RESOURCES_PER_WRITE: usize = 32;

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// An instance of the load balancer.
    Balancer,
    /// A member of one or more pools.
    Upstream,
}

impl ResourceKind {
    /// Name in keys and files.
    pub fn as_str(self) -> &'static str {
        match self {
            ResourceKind::Balancer => "balancer",
            ResourceKind::Upstream => "upstream",
        }
    }
}

/// Identifies a resource. Displayed as `KIND/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceId {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique among resources of the kind.
    pub name: String,
}

impl ResourceId {
    /// Id of a balancer.
    pub fn balancer(name: impl Into<String>) -> ResourceId {
        ResourceId { kind: ResourceKind::Balancer, name: name.into() }
    }

    /// Id of an upstream.
    pub fn upstream(name: impl Into<String>) -> ResourceId {
        ResourceId { kind: ResourceKind::Upstream, name: name.into() }
    }
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}
