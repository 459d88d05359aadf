//! Values stored in the coordination store, as typed messages. Their JSON field names and variant names are part of the stored
//! format; where a Rust name differs, a serde rename keeps the stored one.
use crate::budget::Label;
use crate::ResourceId;
use coordination::state_machine::SessionId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A balancer that belongs to the fleet, whether it runs or not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BalancerEntry {
    /// Machine that it runs on.
    pub machine: String,
    /// Zone; empty for none.
    #[serde(default)]
    pub zone: String,
    /// Tier; empty for none.
    #[serde(default)]
    pub tier: String,
    /// Whether its supervisor reports that no process of it runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub down: bool,
}

impl BalancerEntry {
    /// Labels that budgets group it by.
    pub fn labels(&self) -> BTreeSet<Label> {
        let labels = [("machine", &self.machine), ("zone", &self.zone), ("tier", &self.tier)];
        labels
            .into_iter()
            .filter(|(_, value)| !value.is_empty())
            .map(|(name, value)| Label::new(name, value))
            .collect()
    }
}

/// State that a balancer reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The balancer does not serve yet.
    Starting,
    /// The balancer serves, but not for long enough to count as fully available.
    #[serde(rename = "cold")]
    WarmingUp,
    /// The balancer serves.
    Ready,
    /// The balancer finishes its requests and exits.
    #[serde(rename = "leaving")]
    ShuttingDown,
}

impl InstanceState {
    /// Name in stored values and in tables for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            InstanceState::Starting => "starting",
            InstanceState::WarmingUp => "cold",
            InstanceState::Ready => "ready",
            InstanceState::ShuttingDown => "leaving",
        }
    }
}

/// Status that a balancer reports of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Reported state.
    pub state: InstanceState,
    /// Session of the process; greater for a later process of the same name.
    pub session: SessionId,
    /// Process id.
    pub pid: u32,
    /// Hash of the executable that it was started from; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub build: String,
}

/// Condition of an upstream as one balancer observes it, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointCondition {
    /// The upstream takes requests.
    #[serde(rename = "in")]
    InService,
    /// The upstream started recently and gets a reduced share of requests.
    #[serde(rename = "cold")]
    WarmingUp,
    /// This balancer ejected the upstream because its own requests failed there.
    Ejected,
    /// Service discovery reports failing health checks.
    #[serde(rename = "critical")]
    Unhealthy,
    /// Service discovery reports that the upstream is draining.
    Draining,
}

/// Labels that budgets group an upstream by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLabels {
    /// Pools that it belongs to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<String>,
    /// Zone; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// Upstreams that one or more balancers have. Balancers with the same upstreams share one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Labels by upstream name.
    pub upstreams: BTreeMap<String, EndpointLabels>,
}

/// Conditions of the upstreams of one balancer, as it observes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointObservations {
    /// Hash of the [`EndpointList`] that holds the balancer's upstreams.
    #[serde(rename = "list")]
    pub list_hash: String,
    /// Conditions by upstream name; an upstream that is not listed is in service.
    #[serde(rename = "out", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub conditions: BTreeMap<String, EndpointCondition>,
}

/// Drains that a balancer applies and for which it has no requests in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainedEndpoints {
    /// Fencing token of the drain's lease, by upstream name.
    #[serde(rename = "drains")]
    pub fencing_tokens: BTreeMap<String, u64>,
}

/// Kind of a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisruptionKind {
    /// The balancer's process exits and another one is started.
    Restart,
    /// Another process takes over the sockets.
    #[serde(rename = "take-over")]
    Handoff,
    /// The balancer reads its configuration again.
    Reload,
    /// The upstream gets no new requests.
    Drain,
}

impl DisruptionKind {
    /// Whether another process serves afterwards.
    pub fn replaces_process(self) -> bool {
        matches!(self, DisruptionKind::Restart | DisruptionKind::Handoff)
    }

    /// Name in stored values and in tables for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            DisruptionKind::Restart => "restart",
            DisruptionKind::Handoff => "take-over",
            DisruptionKind::Reload => "reload",
            DisruptionKind::Drain => "drain",
        }
    }
}

/// Request for a [`DisruptionLease`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Resource to be disrupted.
    #[serde(rename = "unit")]
    pub resource: ResourceId,
    /// Requester: the machine name of a supervisor, or an operator's name.
    pub owner: String,
    /// Session of the requester.
    pub session: SessionId,
    /// Kind of the disruption.
    #[serde(rename = "act")]
    pub kind: DisruptionKind,
    /// Requests with a greater priority are decided first; those of equal priority in the order in which they were written.
    #[serde(default)]
    pub priority: u8,
    /// Reason, for operators; may be empty.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Reason of an operator to exceed `max_unavailable` of budgets; `min_available` still holds.
    #[serde(rename = "overrides", default, skip_serializing_if = "Option::is_none")]
    pub override_reason: Option<String>,
    /// Time after which a drain ends by itself, in milliseconds from its grant; `None` for no limit.
    #[serde(rename = "for_ms", default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
}

/// Permission to make a resource unavailable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisruptionLease {
    /// Lease holder.
    pub owner: String,
    /// Session of the owner. The lease may be acted on only while this session is active.
    pub session: SessionId,
    /// Increases with each grant: of two leases for one resource the later has the greater token, and an action under the
    /// earlier one is rejected.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Kind of the disruption.
    #[serde(rename = "act")]
    pub kind: DisruptionKind,
    /// Session of the balancer's process at the time of the grant; 0 if it had none.
    #[serde(rename = "was", default)]
    pub previous_session: SessionId,
    /// Reason, for operators; may be empty.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Reason for which the lease exceeds `max_unavailable` of budgets; `None` if it does not.
    #[serde(rename = "overrides", default, skip_serializing_if = "Option::is_none")]
    pub override_reason: Option<String>,
    /// Time after which a drain ends by itself, in milliseconds from its grant; `None` for no limit.
    #[serde(rename = "for_ms", default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
    /// Whether all balancers have confirmed that the drained upstream has no requests in flight.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drained: bool,
    /// Reason for which a drain is recalled, so that its owner ends it; `None` if it is not recalled.
    #[serde(rename = "recalled", default, skip_serializing_if = "Option::is_none")]
    pub recall_reason: Option<String>,
}
