//! Transports: execute attempts in the protocol of the upstream.
pub mod connection_pool;
pub mod fastcgi;
pub mod http;

use crate::endpoint_sources::{ListedEndpoint, Protocol};
use crate::exchange::Upstream;
use connection_pool::{ConnectionSettings, Peer};
use std::rc::Rc;

/// Returns a factory that creates the transport of an upstream according to its protocol.
pub fn transport_factory(
    settings: ConnectionSettings,
    fastcgi: Rc<fastcgi::FastCgiSettings>,
) -> impl Fn(&ListedEndpoint) -> Rc<dyn Upstream> {
    move |entry| match entry.protocol {
        Protocol::Http => Peer::new(settings.clone(), http::Http, entry.addr),
        Protocol::FastCgi => fastcgi::upstream(settings.clone(), entry.addr, fastcgi.clone()),
    }
}
