//! What of a fleet may be out at one time, decided over the council's record, without I/O.
//!
//! A **unit** is a balancer or an upstream. A **budget** says how many units of a group (a machine, a zone, a tier, a pool,
//! all) may be out at once, as a count, a share or both. Whoever wants to take a unit out **asks**, and does it only with a
//! **leave**. Leaves are given by a rule that is a function of the record alone ([`FleetSnapshot::decide`]), so that there is no
//! process whose loss stops them: whoever sees that the rule gives leaves writes them, and of two only one succeeds.
//!
//! **Everything that is out counts**, whoever caused it: leave given, no session, not ready, cold, drained by a registry,
//! ejected by most balancers. A unit whose leave is given counts as out until it was *seen* to be in again; the end of the
//! holder changes nothing in that.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`budget`] | budgets, their groups, and what contradicts itself |
//! | [`snapshot`] | the record's part that this crate reads and writes, as values |
//! | [`lease_agent`] | what a supervisor does with it |
//! | [`scheduler`] | who is out and why, which leaves are given, what waits for what |
pub mod budget;
pub mod lease_agent;
pub mod scheduler;
pub mod snapshot;

pub use budget::{DisruptionBudget, DisruptionBudgets, GroupBy};
pub use scheduler::{BudgetUsage, LeaseDecision, UnavailableReason};
pub use snapshot::{
    BalancerEntry, DisruptionKind, DisruptionLease, EndpointCondition, EndpointLabels, EndpointList,
    EndpointObservations, FleetSnapshot, InstanceState, InstanceStatus, LeaseRequest,
};

use coordination::state_machine::{Compare, Op};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a unit is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// A balancer: an instance of the program.
    Balancer,
    /// An upstream: a member of some pool.
    Upstream,
}

impl ResourceKind {
    /// Its word in keys and files.
    pub fn as_str(self) -> &'static str {
        match self {
            ResourceKind::Balancer => "balancer",
            ResourceKind::Upstream => "upstream",
        }
    }
}

/// A unit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceId {
    /// What it is.
    pub kind: ResourceKind,
    /// Its name; no other of its kind has it.
    pub name: String,
}

impl ResourceId {
    /// A balancer.
    pub fn balancer(name: impl Into<String>) -> ResourceId {
        ResourceId { kind: ResourceKind::Balancer, name: name.into() }
    }

    /// An upstream.
    pub fn upstream(name: impl Into<String>) -> ResourceId {
        ResourceId { kind: ResourceKind::Upstream, name: name.into() }
    }
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// A write of the record: what has to be so, and what is changed then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// What has to be so.
    pub compares: Vec<Compare>,
    /// What is changed.
    pub ops: Vec<Op>,
}
