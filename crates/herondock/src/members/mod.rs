//! Members of the fleet: what any source of them tells, and to whom.
//!
//! A source is a task that keeps a list fresh and tells an [`Audience`] of it; [`discovery`] is the platform's.
pub mod discovery;

use oakflow::{Member, UpstreamId};
use std::future::Future;
use std::net::SocketAddr;

/// What an upstream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 (RFC 9112).
    Http,
}

/// One upstream of a list: its line for the module, and how it is reached.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What the module is told.
    pub member: Member,
    /// Where it listens, as this balancer sees it.
    pub addr: SocketAddr,
    /// Its protocol.
    pub speaks: Protocol,
}

/// A list of members, or what changed in it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Grows with each change, within one source.
    pub version: u64,
    /// Whether this is the whole list, or only what changed.
    pub full: bool,
    /// The upstreams.
    pub entries: Vec<Entry>,
}

impl Listing {
    /// The lines for the module.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.entries.iter().map(|e| e.member.clone())
    }
}

/// Who is told of members: the driver, and in tests whoever listens.
pub trait Audience {
    /// A whole list, or what changed.
    fn listed(&self, listing: &Listing);
    /// A call for the list failed or the watch broke; the old list stands.
    fn list_failed(&self);
    /// Waits until the list is asked for.
    fn subscribed(&self) -> impl Future<Output = ()>;
}

/// A stable id for an upstream's name, the same at every balancer: the module spreads the balancers over the upstreams
/// by a ring of these ids, so numbers given in order of arrival would crowd some of them.
pub fn upstream_id(name: &str) -> UpstreamId {
    UpstreamId(fnv1a(name.as_bytes()))
}

/// The FNV-1a hash of 64 bits (draft-eastlake-fnv).
pub fn fnv1a(bytes: &[u8]) -> u64 {
    let step = |h: u64, &b: &u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
