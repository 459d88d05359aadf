//! What a source tells: of one member, and of its list.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A member's name: the same at every instance, and in every view of the same member that one source has.
pub type Name = Arc<str>;

/// What a source says of a member. The order is that of badness: of several, the worst counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It takes new work.
    #[default]
    Ready,
    /// Its checks fail: it takes none, though nobody has said that it drains.
    #[serde(rename = "critical")]
    Unhealthy,
    /// It finishes what it holds: it takes none.
    Draining,
}

/// What a member speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointProtocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

/// One member as a source has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Which.
    pub name: Name,
    /// Where it listens, as this instance sees it.
    pub addr: SocketAddr,
    /// The name of its zone; empty: none.
    pub zone: Arc<str>,
    /// The name of its machine kind; empty: none.
    pub kind: Arc<str>,
    /// The group whose members share the keys that they have seen.
    pub cell: u16,
    /// What it speaks.
    #[serde(rename = "speaks", default)]
    pub protocol: EndpointProtocol,
    /// How it stands.
    #[serde(rename = "standing")]
    pub state: EndpointState,
    /// Why, in a few words, where it does not stand ready.
    #[serde(rename = "why")]
    pub reason: Arc<str>,
    /// When its process last started, in Unix milliseconds; 0: long ago; `None`: the source does not say.
    pub started_ms: Option<f64>,
    /// Grows with each registration at its source: of two names at one address the one registered last is there.
    #[serde(rename = "registered")]
    pub registration_index: u64,
    /// What its owner wrote down of it; as much as Consul takes, 64 keys.
    #[serde(default)]
    pub meta: Meta,
}

/// What the owner of a member wrote down of it, by key.
pub type Meta = Arc<BTreeMap<String, String>>;

/// What a source tells of its list.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// The whole list: what it lacks is gone. Obeyed at once, also when it is short or empty.
    Full(Vec<EndpointReport>),
    /// What has changed since: reports that are new or differ, and names that are gone.
    Delta(Vec<EndpointReport>, Vec<Name>),
    /// Nothing that counts, and why: the list stands as it was.
    Unavailable(String),
}
