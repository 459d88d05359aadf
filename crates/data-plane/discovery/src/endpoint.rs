//! Reports of sources: one endpoint, and updates of a list of endpoints.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Name of an endpoint. It is the same at every instance and in every report of the source.
pub type Name = Arc<str>;

/// State of an endpoint. Ordered by severity: of several reports, the most severe state applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Accepts new requests.
    #[default]
    Ready,
    /// Fails its health checks: it gets no new requests, although it is not draining.
    #[serde(rename = "critical")]
    Unhealthy,
    /// Completes its open requests and gets no new ones.
    Draining,
}

/// Protocol that an endpoint speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointProtocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

/// Report of a source about one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Name of the endpoint.
    pub name: Name,
    /// Address at which it listens, as seen by this instance.
    pub addr: SocketAddr,
    /// Name of its zone; empty if there is none.
    pub zone: Arc<str>,
    /// Name of its machine kind; empty if there is none.
    pub kind: Arc<str>,
    /// Number of its cell: the endpoints of a cell share a deduplication store.
    pub cell: u16,
    /// Protocol that the endpoint speaks; HTTP/1.1 if a stored report has none.
    #[serde(rename = "speaks", default)]
    pub protocol: EndpointProtocol,
    /// State that the source reports.
    #[serde(rename = "standing")]
    pub state: EndpointState,
    /// Reason why it is not ready, in a few words; empty if it is ready.
    #[serde(rename = "why")]
    pub reason: Arc<str>,
    /// Start of its process, in Unix milliseconds; 0: long ago; `None`: the source does not report it.
    pub started_ms: Option<f64>,
    /// Increases with each registration at the source: of two names at one address, the latest registration applies.
    #[serde(rename = "registered")]
    pub registration_index: u64,
    /// Metadata from the registration; at most 64 keys, which is the limit of Consul.
    #[serde(default)]
    pub meta: Meta,
}

/// Metadata of an endpoint, by key.
pub type Meta = Arc<BTreeMap<String, String>>;

/// Update of the list of a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// The complete list: endpoints that it lacks are removed, even if it is short or empty.
    Full(Vec<EndpointReport>),
    /// Changes since the last update: new or changed endpoints, and names of removed ones.
    Delta(Vec<EndpointReport>, Vec<Name>),
    /// No usable update, for this reason: the list is unchanged.
    Unavailable(String),
}
