//! Sources of endpoints and the aggregation of their updates.
//!
//! | module | contents |
//! | --- | --- |
//! | [`aggregator`] | merges all sources and passes changes to the [`EndpointSubscriber`] |
//! | [`cache`] | the endpoint cache on disk |
//! | `client` | HTTP client of registries |
//! | [`consul`] | services of Consul as sources |
//! | [`discovery`] | the platform's discovery service as a source |
//! | [`inspect`] | `herondock members` |
//! | [`registration`] | registration of this instance at its Consul agent |
//! | [`sources`] | all sources that the operator's file names |
//!
//! The crate `discovery` defines requests, the meaning of responses, and how reports are merged.
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

/// An endpoint as the balancer and the driver know it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The endpoint as the balancer knows it.
    pub member: Member,
    /// Address at which it listens, as seen by this instance.
    pub addr: SocketAddr,
    /// Protocol that it speaks.
    pub protocol: Protocol,
    /// Further attributes, by which pools select endpoints.
    pub attributes: Arc<EndpointAttributes>,
}

/// Attributes of an endpoint, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointAttributes {
    /// Name of its zone.
    pub zone: Arc<str>,
    /// Name of its machine kind.
    pub kind: Arc<str>,
    /// Labels of the sources that report it.
    pub sources: Vec<Arc<str>>,
    /// Metadata of its owner.
    pub meta: Meta,
}

/// Changes of the endpoint set.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// Endpoints that are new, changed or removed.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// The endpoints as the balancer knows them.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.endpoints.iter().map(|e| e.member.clone())
    }
}

/// Receives the changes of the endpoint set.
pub trait EndpointSubscriber {
    /// The set has changed. The update is empty at the first response of a source without changes.
    fn endpoints_changed(&self, update: &EndpointUpdate);
}
