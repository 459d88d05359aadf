//! Sources of endpoints and the aggregation of their updates.
//!
//! | module | contents |
//! | --- | --- |
//! | [`aggregator`] | merges all sources and passes changes to the [`EndpointSubscriber`] |
//! | [`cache`] | the endpoint cache on disk |
//! | `client` | HTTP client for registries |
//! | [`consul`] | services of Consul as sources |
//! | [`discovery`] | the platform's discovery service as a source |
//! | [`inspect`] | `herondock endpoints` |
//! | [`registration`] | registration of this instance at its Consul agent |
//! | [`sources`] | all sources that the operator's file names |
//!
//! The crate `discovery` defines the requests, interprets the responses, and merges the reports.
pub mod aggregator;
pub mod cache;
mod client;
pub mod consul;
pub mod discovery;
pub mod inspect;
pub mod registration;
pub mod sources;

use ::discovery::endpoint::Meta;
use balancer::Member;
use std::net::SocketAddr;
use std::sync::Arc;

/// Protocol of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 (RFC 9112).
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

/// An endpoint in the form that the balancer and the driver use.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The endpoint in the form that the balancer uses.
    pub member: Member,
    /// Address of the endpoint, as reachable from this instance.
    pub addr: SocketAddr,
    /// Protocol of the endpoint.
    pub protocol: Protocol,
    /// Attributes by which pools select endpoints.
    pub attributes: Arc<EndpointAttributes>,
}

/// Attributes of an endpoint, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointAttributes {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Name of the machine kind.
    pub kind: Arc<str>,
    /// Labels of the sources that report the endpoint.
    pub sources: Vec<Arc<str>>,
    /// Metadata that the endpoint was registered with.
    pub meta: Meta,
}

/// Changes of the endpoint set.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// Endpoints that are new, changed or removed.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// The endpoints in the form that the balancer uses.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.endpoints.iter().map(|e| e.member.clone())
    }
}

/// Receives the changes of the endpoint set.
pub trait EndpointSubscriber {
    /// Called when the set has changed, and with an empty update at the first response of a source that changes nothing.
    fn endpoints_changed(&self, update: &EndpointUpdate);
}
