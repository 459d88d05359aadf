//! Members of the fleet: what any source of them tells, and to whom.
//!
//! | file | its job |
//! | --- | --- |
//! | `discovery.rs` | the platform's discovery as a source |
//! | `consul.rs` | Consul's services as sources: carries out what `discovery::consul::watch` asks |
//! | `registration.rs` | this instance at its Consul agent |
//! | `gather.rs` | all sources in one view; tells the [`EndpointSubscriber`] of what changes in it |
//! | `keep.rs` | the last view on disk |
//! | `show.rs` | `herondock members` |
//! | `sources.rs` | all sources that the operator's file names |
//! | `client.rs` | calls to registries |
//!
//! Sources tell a [`aggregator::SourceHandle`]; what is told means, and how several are merged, is the crate `registry`'s matter.
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

/// What an upstream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 (RFC 9112).
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

/// One upstream of a list: its line for the module, and how it is reached.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// What the module is told.
    pub member: Member,
    /// Where it listens, as this balancer sees it.
    pub addr: SocketAddr,
    /// Its protocol.
    pub protocol: Protocol,
    /// What pools tell members by, besides.
    pub attributes: Arc<EndpointAttributes>,
}

/// What is told of a member, as names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointAttributes {
    /// Its zone.
    pub zone: Arc<str>,
    /// Its kind.
    pub kind: Arc<str>,
    /// The sources that tell of it.
    pub sources: Vec<Arc<str>>,
    /// What its owner wrote down of it.
    pub meta: Meta,
}

/// What has changed in the view.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// The upstreams that are new, differ, or are gone.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// The lines for the module.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.endpoints.iter().map(|e| e.member.clone())
    }
}

/// Who is told of members: the driver, and in tests whoever listens.
pub trait EndpointSubscriber {
    /// What has changed; perhaps nothing, at a source's first answer.
    fn endpoints_changed(&self, listing: &EndpointUpdate);
}
