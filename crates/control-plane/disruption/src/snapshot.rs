//! The part of the council's record that this crate reads and writes, as values.
//!
//! | key | what it holds | written by | ends |
//! | --- | --- | --- | --- |
//! | `outage/budgets` | [`DisruptionBudgets`] | an operator | - |
//! | `outage/ledger` | nothing; each write that gives leaves changes it, so that of two one fails | whoever gives | - |
//! | `outage/unit/balancer/NAME` | [`BalancerEntry`] | its supervisor | when an operator forgets it |
//! | `outage/said/NAME` | [`InstanceStatus`] | the balancer itself | with its session |
//! | `outage/sight/NAME` | [`EndpointObservations`] | a balancer, of its upstreams | with its session |
//! | `outage/quiet/NAME` | [`DrainedEndpoints`] | a balancer, of drains | with its session |
//! | `outage/ask/NUMBER` | [`LeaseRequest`] | whoever wants to take a unit out | with its session, or when leave is given |
//! | `outage/leave/KIND/NAME` | [`DisruptionLease`] | whoever gives | when the unit was seen to be in |
//! | `outage/holder/NAME` | the session of one that has leaves | itself | with its session |
//! | `outage/list/HASH` | [`EndpointList`] | the first balancer that sees these upstreams | when no sight names it |
//! | `outage/leaving/NAME/PID` | [`DrainedEndpoints`] of a process that passed its sockets on | itself | with its session |
use crate::budget::{DisruptionBudgets, Label};
use crate::{ResourceId, ResourceKind};
use coordination::state_machine::{Revision, SessionId, VersionedValue};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Where all that is this crate's stands.
pub const KEY_PREFIX: &str = "outage/";
/// The budgets.
pub const BUDGETS: &str = "outage/budgets";
/// What each giving of leaves changes.
pub const LEDGER: &str = "outage/ledger";
const UNIT: &str = "outage/unit/balancer/";
const SAID: &str = "outage/said/";
const SIGHT: &str = "outage/sight/";
const QUIET: &str = "outage/quiet/";
const ASK: &str = "outage/ask/";
const LEAVE: &str = "outage/leave/";
const HOLDER: &str = "outage/holder/";
const LIST: &str = "outage/list/";
const LEAVING: &str = "outage/leaving/";
/// Where the leaves of upstreams stand, which are drains.
pub const DRAINS: &str = "outage/leave/upstream/";

/// Key of a balancer's entry.
pub fn balancer_key(name: &str) -> String {
    format!("{UNIT}{name}")
}

/// Key of what a balancer says of itself.
pub fn status_key(name: &str) -> String {
    format!("{SAID}{name}")
}

/// Key of what a balancer says of its upstreams.
pub fn observations_key(name: &str) -> String {
    format!("{SIGHT}{name}")
}

/// Key of the drains that a balancer has nothing in flight for.
pub fn drained_key(name: &str) -> String {
    format!("{QUIET}{name}")
}

/// Key of the same for a process of it that has passed its sockets on and still ends what it has.
pub fn predecessor_drained_key(name: &str, pid: u32) -> String {
    format!("{LEAVING}{name}/{pid}")
}

/// Key of the session of one that has leaves.
pub fn owner_key(owner: &str) -> String {
    format!("{HOLDER}{owner}")
}

/// Key of a list of upstreams.
pub fn endpoint_list_key(hash: &str) -> String {
    format!("{LIST}{hash}")
}

/// Key of an ask.
pub fn request_key(id: &str) -> String {
    format!("{ASK}{id}")
}

/// Key of a leave.
pub fn lease_key(id: &ResourceId) -> String {
    format!("{LEAVE}{id}")
}

/// A balancer that the fleet has, whether it runs or not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BalancerEntry {
    /// The machine that it runs on.
    pub machine: String,
    /// Its zone; empty: none.
    #[serde(default)]
    pub zone: String,
    /// Its tier; empty: none.
    #[serde(default)]
    pub tier: String,
    /// Its supervisor says that no process of it runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub down: bool,
}

impl BalancerEntry {
    /// What it is grouped by.
    pub fn labels(&self) -> BTreeSet<Label> {
        let all = [("machine", &self.machine), ("zone", &self.zone), ("tier", &self.tier)];
        all.into_iter().filter(|(_, v)| !v.is_empty()).map(|(n, v)| (n.to_string(), v.clone())).collect()
    }
}

/// How a balancer says that it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It does not serve yet.
    Starting,
    /// It serves, and has not done so for long enough to count as warm.
    #[serde(rename = "cold")]
    WarmingUp,
    /// It serves.
    Ready,
    /// It was told to end.
    #[serde(rename = "leaving")]
    ShuttingDown,
}

impl InstanceState {
    /// In a word.
    pub fn as_str(self) -> &'static str {
        match self {
            InstanceState::Starting => "starting",
            InstanceState::WarmingUp => "cold",
            InstanceState::Ready => "ready",
            InstanceState::ShuttingDown => "leaving",
        }
    }
}

/// What a balancer says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// How it stands.
    pub state: InstanceState,
    /// Its session: of a later process of the same name it is greater.
    pub session: SessionId,
    /// Its process's number.
    pub pid: u32,
    /// Its program, by the hash of the file that it was started from; empty: not known.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub build: String,
}

/// How a balancer sees an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointCondition {
    /// It takes work.
    #[serde(rename = "in")]
    InService,
    /// It has started lately.
    #[serde(rename = "cold")]
    WarmingUp,
    /// It fails, by this balancer's own calls.
    Ejected,
    /// Its checks fail, by a source.
    #[serde(rename = "critical")]
    Unhealthy,
    /// A source says that it drains.
    Draining,
}

/// What an upstream is grouped by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLabels {
    /// The pools that it is in.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<String>,
    /// Its zone; empty: none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// The upstreams that some balancers have; those with the same ones name the same list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    /// By name.
    pub upstreams: BTreeMap<String, EndpointLabels>,
}

/// How one balancer sees its upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointObservations {
    /// Its list's hash.
    #[serde(rename = "list")]
    pub list_hash: String,
    /// Those that do not stand in.
    #[serde(rename = "out", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub conditions: BTreeMap<String, EndpointCondition>,
}

/// The drains that a balancer obeys and has nothing in flight for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainedEndpoints {
    /// The number of the leave, by the upstream's name.
    #[serde(rename = "drains")]
    pub fencing_tokens: BTreeMap<String, u64>,
}

/// What is to be done to a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisruptionKind {
    /// Its process is ended and another started.
    Restart,
    /// Another process takes over from it.
    #[serde(rename = "take-over")]
    Handoff,
    /// It reads its files again.
    Reload,
    /// An upstream takes nothing new.
    Drain,
}

impl DisruptionKind {
    /// Whether another process stands for the unit afterwards.
    pub fn replaces_process(self) -> bool {
        matches!(self, DisruptionKind::Restart | DisruptionKind::Handoff)
    }

    /// In a word.
    pub fn as_str(self) -> &'static str {
        match self {
            DisruptionKind::Restart => "restart",
            DisruptionKind::Handoff => "take-over",
            DisruptionKind::Reload => "reload",
            DisruptionKind::Drain => "drain",
        }
    }
}

/// A wish to take a unit out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Which.
    #[serde(rename = "unit")]
    pub resource: ResourceId,
    /// Who: a supervisor by its machine, or an operator.
    pub owner: String,
    /// The owner's session.
    pub session: SessionId,
    /// What for.
    #[serde(rename = "act")]
    pub kind: DisruptionKind,
    /// Greater goes first; those of one priority go in the order in which they asked.
    #[serde(default)]
    pub priority: u8,
    /// Why, in the asker's words.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// An operator's reason to go over what budgets allow; floors hold all the same.
    #[serde(rename = "overrides", default, skip_serializing_if = "Option::is_none")]
    pub override_reason: Option<String>,
    /// A drain that ends by itself so long after it was given, in milliseconds.
    #[serde(rename = "for_ms", default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
}

/// The leave to have a unit out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisruptionLease {
    /// Who has it.
    pub owner: String,
    /// The owner's session; only while this is held may anything be done by it.
    pub session: SessionId,
    /// Grows with each giving: of two leaves for one unit the later has the greater, and an act by the earlier is refused.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// What for.
    #[serde(rename = "act")]
    pub kind: DisruptionKind,
    /// The unit's own session when it was given; 0: it had none.
    #[serde(rename = "was", default)]
    pub previous_session: SessionId,
    /// Why, in the asker's words.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// By which reason it went over what budgets allow.
    #[serde(rename = "overrides", default, skip_serializing_if = "Option::is_none")]
    pub override_reason: Option<String>,
    /// A drain that ends by itself.
    #[serde(rename = "for_ms", default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
    /// Whether it was said that nothing is in flight at a drained upstream any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drained: bool,
    /// Why a drain is asked to return.
    #[serde(rename = "recalled", default, skip_serializing_if = "Option::is_none")]
    pub recall_reason: Option<String>,
}

/// A value with the revision that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The revision.
    pub version: Revision,
    /// The value.
    pub value: T,
}

/// The record's part, as it stands at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSnapshot {
    /// At this revision.
    pub revision: Revision,
    /// Of the ledger's key; 0: there is none.
    pub ledger_version: Revision,
    /// The budgets; without any, nothing is bounded.
    pub budgets: Option<Versioned<DisruptionBudgets>>,
    /// Balancers that the fleet has.
    pub balancers: BTreeMap<String, Versioned<BalancerEntry>>,
    /// What balancers say of themselves.
    pub statuses: BTreeMap<String, Versioned<InstanceStatus>>,
    /// What they say of upstreams.
    pub observations: BTreeMap<String, Versioned<EndpointObservations>>,
    /// Which drains they have nothing in flight for.
    pub drained: BTreeMap<String, Versioned<DrainedEndpoints>>,
    /// Who asks.
    pub requests: BTreeMap<String, Versioned<LeaseRequest>>,
    /// Who has leave.
    pub leases: BTreeMap<ResourceId, Versioned<DisruptionLease>>,
    /// Sessions of those that have leaves, by name.
    pub owners: BTreeMap<String, Versioned<SessionId>>,
    /// Lists of upstreams, by hash.
    pub endpoint_lists: BTreeMap<String, Versioned<EndpointList>>,
    /// Drains for which processes that have passed their sockets on have nothing in flight.
    pub predecessor_drained: BTreeMap<String, Versioned<DrainedEndpoints>>,
    /// Keys that hold nothing that could be read, with why: whoever wrote them is of another version.
    pub unreadable: BTreeMap<String, String>,
}

fn leave_id(rest: &str) -> Option<ResourceId> {
    let (kind, name) = rest.split_once('/')?;
    let kind = [ResourceKind::Balancer, ResourceKind::Upstream].into_iter().find(|k| k.as_str() == kind)?;
    Some(ResourceId { kind, name: name.into() })
}

impl FleetSnapshot {
    /// The record's part from a read of all keys under [`KEY_PREFIX`] at this revision.
    pub fn read(revision: Revision, items: &[(String, VersionedValue)]) -> FleetSnapshot {
        let mut board = FleetSnapshot { revision, ..FleetSnapshot::default() };
        for (key, item) in items {
            board.apply(key, Some(&item.value), item.version);
        }
        board
    }

    /// Takes in one key as it stands since this revision; `None`: it is no more.
    pub fn apply(&mut self, key: &str, value: Option<&str>, version: Revision) {
        self.revision = self.revision.max(version);
        self.unreadable.remove(key);
        if let Err(why) = self.try_apply(key, value, version) {
            self.unreadable.insert(key.into(), why);
        }
    }

    fn try_apply(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), String> {
        fn at<T: for<'a> Deserialize<'a>>(
            value: Option<&str>,
            version: Revision,
        ) -> Result<Option<Versioned<T>>, String> {
            let parsed = value.map(serde_json::from_str).transpose().map_err(|e| e.to_string())?;
            Ok(parsed.map(|value| Versioned { version, value }))
        }
        fn set<K: Ord, T>(
            map: &mut BTreeMap<K, Versioned<T>>,
            key: K,
            value: Result<Option<Versioned<T>>, String>,
        ) -> Result<(), String> {
            match value {
                Ok(Some(value)) => drop(map.insert(key, value)),
                Ok(None) => drop(map.remove(&key)),
                Err(why) => {
                    map.remove(&key);
                    return Err(why);
                }
            }
            Ok(())
        }
        if key == BUDGETS {
            self.budgets = at(value, version)?;
        } else if key == LEDGER {
            self.ledger_version = if value.is_some() { version } else { 0 };
        } else if let Some(name) = key.strip_prefix(UNIT) {
            return set(&mut self.balancers, name.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(SAID) {
            return set(&mut self.statuses, name.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(SIGHT) {
            return set(&mut self.observations, name.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(QUIET) {
            return set(&mut self.drained, name.into(), at(value, version));
        } else if let Some(id) = key.strip_prefix(ASK) {
            return set(&mut self.requests, id.into(), at(value, version));
        } else if let Some(rest) = key.strip_prefix(LEAVE) {
            let id = leave_id(rest).ok_or("names no unit")?;
            return set(&mut self.leases, id, at(value, version));
        } else if let Some(name) = key.strip_prefix(HOLDER) {
            return set(&mut self.owners, name.into(), at(value, version));
        } else if let Some(hash) = key.strip_prefix(LIST) {
            return set(&mut self.endpoint_lists, hash.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(LEAVING) {
            return set(&mut self.predecessor_drained, name.into(), at(value, version));
        }
        Ok(())
    }

    /// All upstreams that any balancer has, with what they are grouped by, and how each balancer sees them.
    pub fn upstreams(&self) -> BTreeMap<&str, (BTreeSet<Label>, Vec<EndpointCondition>)> {
        let mut all: BTreeMap<&str, (BTreeSet<Label>, Vec<EndpointCondition>)> = BTreeMap::new();
        for sight in self.observations.values() {
            let Some(list) = self.endpoint_lists.get(&sight.value.list_hash) else { continue };
            for (name, place) in &list.value.upstreams {
                let (labels, stands) = all.entry(name).or_default();
                labels.extend(place.pools.iter().map(|p| ("pool".to_string(), p.clone())));
                if !place.zone.is_empty() {
                    labels.insert(("zone".into(), place.zone.clone()));
                }
                stands
                    .push(sight.value.conditions.get(name).copied().unwrap_or(EndpointCondition::InService));
            }
        }
        all
    }

    /// Whether the owner of a leave may still act by it, as the record has it: its session is the owner's now.
    pub fn owner_is_active(&self, leave: &DisruptionLease) -> bool {
        self.owners.get(&leave.owner).is_some_and(|h| h.value == leave.session)
    }
}
