//! Transports: how an attempt reaches its upstream, by what that speaks.
pub mod connection_pool;
pub mod fastcgi;
pub mod http;

use crate::endpoint_sources::{ListedEndpoint, Protocol};
use crate::exchange::Upstream;
use connection_pool::{ConnectionSettings, Peer};
use std::rc::Rc;

/// Chooses the transport of each upstream.
pub fn transport_factory(
    reach: ConnectionSettings,
    fastcgi: Rc<fastcgi::FastCgiSettings>,
) -> impl Fn(&ListedEndpoint) -> Rc<dyn Upstream> {
    move |entry| match entry.protocol {
        Protocol::Http => Peer::new(reach.clone(), http::Http, entry.addr),
        Protocol::FastCgi => fastcgi::upstream(reach.clone(), entry.addr, fastcgi.clone()),
    }
}
