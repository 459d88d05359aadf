//! Transports: how an attempt reaches its upstream, by what that speaks.
pub mod http;

use crate::exchange::Upstream;
use crate::members::{Entry, Protocol};
use std::rc::Rc;

/// Chooses the transport of each upstream.
pub fn choose(http: http::Transport) -> impl Fn(&Entry) -> Rc<dyn Upstream> {
    move |entry| match entry.speaks {
        Protocol::Http => http.upstream(entry.addr),
    }
}
