//! The part of the council's record that this crate reads and writes, as values.
//!
//! | key | what it holds | written by | ends |
//! | --- | --- | --- | --- |
//! | `outage/budgets` | [`Budgets`] | an operator | - |
//! | `outage/ledger` | nothing; each write that gives leaves changes it, so that of two one fails | whoever gives | - |
//! | `outage/unit/balancer/NAME` | [`Unit`] | its supervisor | when an operator forgets it |
//! | `outage/said/NAME` | [`Said`] | the balancer itself | with its session |
//! | `outage/sight/NAME` | [`Sight`] | a balancer, of its upstreams | with its session |
//! | `outage/quiet/NAME` | [`Quiet`] | a balancer, of drains | with its session |
//! | `outage/ask/NUMBER` | [`Ask`] | whoever wants to take a unit out | with its session, or when leave is given |
//! | `outage/leave/KIND/NAME` | [`Leave`] | whoever gives | when the unit was seen to be in |
//! | `outage/holder/NAME` | the session of one that has leaves | itself | with its session |
//! | `outage/list/HASH` | [`List`] | the first balancer that sees these upstreams | when no sight names it |
//! | `outage/leaving/NAME/PID` | [`Quiet`] of a process that passed its sockets on | itself | with its session |
use crate::budget::{Budgets, Label};
use crate::{Id, Kind};
use coordination::record::{Item, Revision, SessionId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Where all that is this crate's stands.
pub const UNDER: &str = "outage/";
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
pub fn unit_key(name: &str) -> String {
    format!("{UNIT}{name}")
}

/// Key of what a balancer says of itself.
pub fn said_key(name: &str) -> String {
    format!("{SAID}{name}")
}

/// Key of what a balancer says of its upstreams.
pub fn sight_key(name: &str) -> String {
    format!("{SIGHT}{name}")
}

/// Key of the drains that a balancer has nothing in flight for.
pub fn quiet_key(name: &str) -> String {
    format!("{QUIET}{name}")
}

/// Key of the same for a process of it that has passed its sockets on and still ends what it has.
pub fn leaving_key(name: &str, pid: u32) -> String {
    format!("{LEAVING}{name}/{pid}")
}

/// Key of the session of one that has leaves.
pub fn holder_key(owner: &str) -> String {
    format!("{HOLDER}{owner}")
}

/// Key of a list of upstreams.
pub fn list_key(hash: &str) -> String {
    format!("{LIST}{hash}")
}

/// Key of an ask.
pub fn ask_key(id: &str) -> String {
    format!("{ASK}{id}")
}

/// Key of a leave.
pub fn leave_key(id: &Id) -> String {
    format!("{LEAVE}{id}")
}

/// A balancer that the fleet has, whether it runs or not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Unit {
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

impl Unit {
    /// What it is grouped by.
    pub fn labels(&self) -> BTreeSet<Label> {
        let all = [("machine", &self.machine), ("zone", &self.zone), ("tier", &self.tier)];
        all.into_iter().filter(|(_, v)| !v.is_empty()).map(|(n, v)| (n.to_string(), v.clone())).collect()
    }
}

/// How a balancer says that it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does not serve yet.
    Starting,
    /// It serves, and has not done so for long enough to count as warm.
    Cold,
    /// It serves.
    Ready,
    /// It was told to end.
    Leaving,
}

impl State {
    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Cold => "cold",
            State::Ready => "ready",
            State::Leaving => "leaving",
        }
    }
}

/// What a balancer says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    /// How it stands.
    pub state: State,
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
pub enum Stand {
    /// It takes work.
    In,
    /// It has started lately.
    Cold,
    /// It fails, by this balancer's own calls.
    Ejected,
    /// Its checks fail, by a source.
    Critical,
    /// A source says that it drains.
    Draining,
}

/// What an upstream is grouped by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The pools that it is in.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<String>,
    /// Its zone; empty: none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// The upstreams that some balancers have; those with the same ones name the same list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// By name.
    pub upstreams: BTreeMap<String, Place>,
}

/// How one balancer sees its upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Its list's hash.
    pub list: String,
    /// Those that do not stand in.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub out: BTreeMap<String, Stand>,
}

/// The drains that a balancer obeys and has nothing in flight for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quiet {
    /// The number of the leave, by the upstream's name.
    pub drains: BTreeMap<String, u64>,
}

/// What is to be done to a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Its process is ended and another started.
    Restart,
    /// Another process takes over from it.
    TakeOver,
    /// It reads its files again.
    Reload,
    /// An upstream takes nothing new.
    Drain,
}

impl Act {
    /// Whether another process stands for the unit afterwards.
    pub fn renews(self) -> bool {
        matches!(self, Act::Restart | Act::TakeOver)
    }

    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            Act::Restart => "restart",
            Act::TakeOver => "take-over",
            Act::Reload => "reload",
            Act::Drain => "drain",
        }
    }
}

/// A wish to take a unit out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Which.
    pub unit: Id,
    /// Who: a supervisor by its machine, or an operator.
    pub owner: String,
    /// The owner's session.
    pub session: SessionId,
    /// What for.
    pub act: Act,
    /// Greater goes first; those of one priority go in the order in which they asked.
    #[serde(default)]
    pub priority: u8,
    /// Why, in the asker's words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
    /// An operator's reason to go over what budgets allow; floors hold all the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overrides: Option<String>,
    /// A drain that ends by itself so long after it was given, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
}

/// The leave to have a unit out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leave {
    /// Who has it.
    pub owner: String,
    /// The owner's session; only while this is held may anything be done by it.
    pub session: SessionId,
    /// Grows with each giving: of two leaves for one unit the later has the greater, and an act by the earlier is refused.
    pub number: u64,
    /// What for.
    pub act: Act,
    /// The unit's own session when it was given; 0: it had none.
    #[serde(default)]
    pub was: SessionId,
    /// Why, in the asker's words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
    /// By which reason it went over what budgets allow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overrides: Option<String>,
    /// A drain that ends by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
    /// Whether it was said that nothing is in flight at a drained upstream any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drained: bool,
    /// Why a drain is asked to return.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recalled: Option<String>,
}

/// A value with the revision that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// The revision.
    pub version: Revision,
    /// The value.
    pub value: T,
}

/// The record's part, as it stands at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Board {
    /// At this revision.
    pub revision: Revision,
    /// Of the ledger's key; 0: there is none.
    pub ledger: Revision,
    /// The budgets; without any, nothing is bounded.
    pub budgets: Option<At<Budgets>>,
    /// Balancers that the fleet has.
    pub units: BTreeMap<String, At<Unit>>,
    /// What balancers say of themselves.
    pub said: BTreeMap<String, At<Said>>,
    /// What they say of upstreams.
    pub sights: BTreeMap<String, At<Sight>>,
    /// Which drains they have nothing in flight for.
    pub quiet: BTreeMap<String, At<Quiet>>,
    /// Who asks.
    pub asks: BTreeMap<String, At<Ask>>,
    /// Who has leave.
    pub leaves: BTreeMap<Id, At<Leave>>,
    /// Sessions of those that have leaves, by name.
    pub holders: BTreeMap<String, At<SessionId>>,
    /// Lists of upstreams, by hash.
    pub lists: BTreeMap<String, At<List>>,
    /// Drains for which processes that have passed their sockets on have nothing in flight.
    pub leaving: BTreeMap<String, At<Quiet>>,
    /// Keys that hold nothing that could be read, with why: whoever wrote them is of another version.
    pub unread: BTreeMap<String, String>,
}

fn leave_id(rest: &str) -> Option<Id> {
    let (kind, name) = rest.split_once('/')?;
    let kind = [Kind::Balancer, Kind::Upstream].into_iter().find(|k| k.word() == kind)?;
    Some(Id { kind, name: name.into() })
}

impl Board {
    /// The record's part from a read of all keys under [`UNDER`] at this revision.
    pub fn read(revision: Revision, items: &[(String, Item)]) -> Board {
        let mut board = Board { revision, ..Board::default() };
        for (key, item) in items {
            board.put(key, Some(&item.value), item.version);
        }
        board
    }

    /// Takes in one key as it stands since this revision; `None`: it is no more.
    pub fn put(&mut self, key: &str, value: Option<&str>, version: Revision) {
        self.revision = self.revision.max(version);
        self.unread.remove(key);
        if let Err(why) = self.place(key, value, version) {
            self.unread.insert(key.into(), why);
        }
    }

    fn place(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), String> {
        fn at<T: for<'a> Deserialize<'a>>(
            value: Option<&str>,
            version: Revision,
        ) -> Result<Option<At<T>>, String> {
            let parsed = value.map(serde_json::from_str).transpose().map_err(|e| e.to_string())?;
            Ok(parsed.map(|value| At { version, value }))
        }
        fn set<K: Ord, T>(
            map: &mut BTreeMap<K, At<T>>,
            key: K,
            value: Result<Option<At<T>>, String>,
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
            self.ledger = if value.is_some() { version } else { 0 };
        } else if let Some(name) = key.strip_prefix(UNIT) {
            return set(&mut self.units, name.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(SAID) {
            return set(&mut self.said, name.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(SIGHT) {
            return set(&mut self.sights, name.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(QUIET) {
            return set(&mut self.quiet, name.into(), at(value, version));
        } else if let Some(id) = key.strip_prefix(ASK) {
            return set(&mut self.asks, id.into(), at(value, version));
        } else if let Some(rest) = key.strip_prefix(LEAVE) {
            let id = leave_id(rest).ok_or("names no unit")?;
            return set(&mut self.leaves, id, at(value, version));
        } else if let Some(name) = key.strip_prefix(HOLDER) {
            return set(&mut self.holders, name.into(), at(value, version));
        } else if let Some(hash) = key.strip_prefix(LIST) {
            return set(&mut self.lists, hash.into(), at(value, version));
        } else if let Some(name) = key.strip_prefix(LEAVING) {
            return set(&mut self.leaving, name.into(), at(value, version));
        }
        Ok(())
    }

    /// All upstreams that any balancer has, with what they are grouped by, and how each balancer sees them.
    pub fn upstreams(&self) -> BTreeMap<&str, (BTreeSet<Label>, Vec<Stand>)> {
        let mut all: BTreeMap<&str, (BTreeSet<Label>, Vec<Stand>)> = BTreeMap::new();
        for sight in self.sights.values() {
            let Some(list) = self.lists.get(&sight.value.list) else { continue };
            for (name, place) in &list.value.upstreams {
                let (labels, stands) = all.entry(name).or_default();
                labels.extend(place.pools.iter().map(|p| ("pool".to_string(), p.clone())));
                if !place.zone.is_empty() {
                    labels.insert(("zone".into(), place.zone.clone()));
                }
                stands.push(sight.value.out.get(name).copied().unwrap_or(Stand::In));
            }
        }
        all
    }

    /// Whether the owner of a leave may still act by it, as the record has it: its session is the owner's now.
    pub fn held(&self, leave: &Leave) -> bool {
        self.holders.get(&leave.owner).is_some_and(|h| h.value == leave.session)
    }
}
