//! The platform's discovery as a source of members: its form, and the watch that keeps the list fresh.
//!
//! When to ask is the module's choice ([`oakflow::Action::Subscribe`]); a watch that stands is kept up here.
use super::{upstream_id, Audience, Entry, Listing, Protocol};
use crate::live::Live;
use crate::log::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use oakflow::{Availability, Member};
use oakflow_settings::operator::Limits;
use oakflow_settings::Deployment;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// How long one call of a watch may wait for news.
const WAIT: Duration = Duration::from_secs(20);
/// Beyond its wait a call gets this long to answer, before it counts as failed.
const ANSWER: Duration = Duration::from_secs(2);
/// A call for the whole list, which does not wait for news, gets this long: discovery works in turn.
const WHOLE: Duration = Duration::from_secs(6);
/// A connection to discovery that is not up after this long has failed: it must not use up a call's time.
const DIAL: Duration = Duration::from_secs(1);
/// First pause before a new address that failed is tried again; it doubles with each failure up to [`WHOLE`].
const MOVED_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a pushed list is asked for again: the agent is on this machine and answers at no cost.
const PUSHED_PAUSE: Duration = Duration::from_millis(500);

/// Names of zones and kinds, by the position that the module knows them by.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Names {
    /// The names that the settings list.
    pub fn of(d: &Deployment) -> Names {
        Names { zones: d.zones.clone(), kinds: d.kinds.clone() }
    }
}

#[derive(Deserialize)]
struct RawListing {
    version: u64,
    full: bool,
    servers: Vec<RawEntry>,
}

#[derive(Deserialize)]
struct RawEntry {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

/// One upstream of an answer: its line for the module and its address.
/// Reads an answer. One bad entry spoils it whole, so that a garbled list never replaces a good one.
pub fn parse(json: &[u8], names: &Names) -> Result<Listing, String> {
    let raw: RawListing = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    let entries = raw.servers.into_iter().map(|e| entry(e, names)).collect::<Result<_, _>>()?;
    Ok(Listing { version: raw.version, full: raw.full, entries })
}

fn entry(e: RawEntry, names: &Names) -> Result<Entry, String> {
    let availability = match e.state.as_str() {
        "active" => Availability::Ready,
        "leaving" => Availability::Draining,
        "left" => Availability::Gone,
        other => return Err(format!("upstream {:?}: unknown state {other:?}", e.id)),
    };
    if e.id.is_empty() || !(0.0..1e15).contains(&e.started_ms) {
        return Err(format!("upstream {:?}: started_ms reads {}", e.id, e.started_ms));
    }
    // A name that the settings do not list gets a position that no class is bound to.
    let zone = names.zones.iter().position(|z| *z == e.zone).map_or(u16::MAX, |i| i as u16);
    let kind = names.kinds.iter().position(|k| *k == e.kind).map_or(u8::MAX, |i| i as u8);
    let (id, group, since) = (upstream_id(&e.id), e.cell, e.started_ms);
    let member = Member { id, zone, kind, group, availability, since };
    Ok(Entry { member, addr: e.addr, speaks: Protocol::Http })
}

/// One connection to discovery; closed when dropped.
struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    async fn open(addr: SocketAddr) -> Result<Link, String> {
        let dial = timeout(DIAL, TcpStream::connect(addr)).await;
        let stream = dial.map_err(|_| "not connected in time".to_string())?.map_err(|e| e.to_string())?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the call that was on it.
            let _ = conn.await;
        });
        Ok(Link { sender, task: task.abort_handle() })
    }
}

/// Keeps the list fresh: answers each of the module's subscriptions and keeps a watch that stands.
pub struct Discovery {
    addr: SocketAddr,
    addresses: watch::Receiver<SocketAddr>,
    names: Names,
    limits: Live<Limits>,
    link: Option<Link>,
    version: Option<u64>,
}

impl Discovery {
    /// Begins with the version of the list that the balancer already has, if any. The newest of `addresses` is
    /// where discovery is.
    pub fn new(
        addresses: watch::Receiver<SocketAddr>,
        names: Names,
        limits: Live<Limits>,
        version: Option<u64>,
    ) -> Discovery {
        let addr = *addresses.borrow();
        Discovery { addr, addresses, names, limits, link: None, version }
    }

    /// Serves subscriptions for ever. With `pushed` the list needs no asking and the watch always stands.
    pub async fn run(mut self, audience: impl Audience, pushed: bool) {
        let mut addresses = self.addresses.clone();
        let mut moved = false;
        loop {
            // Guards against a dial, a call or a pause at the old address holding up the move to a new one:
            // whatever is under way there is dropped.
            tokio::select! {
                biased;
                changed = addresses.changed() => match changed {
                    Ok(()) => {
                        moved = true;
                        self.follow(*addresses.borrow_and_update());
                    }
                    // The program is ending.
                    Err(_) => return,
                },
                () = self.serve(&audience, pushed, moved) => {}
            }
        }
    }

    /// Goes over to another address, where the versions of the old one mean nothing.
    fn follow(&mut self, addr: SocketAddr) {
        log!("discovery: now at {addr}");
        (self.addr, self.link, self.version) = (addr, None, None);
    }

    /// Serves subscriptions for ever. After a move the first call waits for none and is repeated until it has
    /// brought the whole list: until then the balancer goes by what it was told before.
    async fn serve(&mut self, audience: &impl Audience, pushed: bool, moved: bool) {
        let mut answered = false;
        if moved {
            let mut pause = MOVED_PAUSE;
            while !answered {
                match self.call().await {
                    Ok(listing) => {
                        audience.listed(&listing);
                        answered = true;
                    }
                    Err(error) => {
                        self.failed(&error);
                        tokio::time::sleep(pause).await;
                        pause = (pause * 2).min(WHOLE);
                    }
                }
            }
        }
        loop {
            if !pushed && !answered {
                audience.subscribed().await;
            }
            let error = loop {
                match self.call().await {
                    Ok(listing) => {
                        // One event answers the subscription; after that only changes are news.
                        if !answered || listing.full || !listing.entries.is_empty() {
                            audience.listed(&listing);
                        }
                        answered = true;
                    }
                    Err(e) => break e,
                }
            };
            answered = false;
            self.failed(&error);
            audience.list_failed();
            if pushed {
                tokio::time::sleep(PUSHED_PAUSE).await;
            }
        }
    }

    fn failed(&mut self, error: &str) {
        self.link = None;
        log!("discovery: {error}");
    }

    /// One call. An answer that is malformed is an error and changes nothing, and so are changes that do not
    /// follow what is known; a whole list holds whatever its version, as discovery may have begun anew.
    async fn call(&mut self) -> Result<Listing, String> {
        let patience = if self.version.is_some() { WAIT + ANSWER } else { WHOLE };
        let listing =
            timeout(patience, self.fetch()).await.map_err(|_| "no answer in time".to_string())??;
        if !listing.full && self.version.is_none_or(|v| listing.version < v) {
            // Guards against asking for ever for what follows a version that discovery no longer knows.
            let known = self.version.take().unwrap_or(0);
            return Err(format!("version {} does not follow {known}", listing.version));
        }
        self.version = Some(listing.version);
        Ok(listing)
    }

    async fn fetch(&mut self) -> Result<Listing, String> {
        // Guards against a connection that discovery closed after its last answer: that is no failed call.
        let up = match self.link.as_mut() {
            Some(link) => link.sender.ready().await.is_ok(),
            None => false,
        };
        if !up {
            self.link = Some(Link::open(self.addr).await?);
        }
        let Some(link) = self.link.as_mut() else { return Err("not connected".into()) };
        let path = match self.version {
            Some(v) => format!("/api/targets?since={v}&timeout_ms={}", WAIT.as_millis()),
            None => "/api/targets".to_string(),
        };
        let request = Request::get(path).header(header::HOST, self.addr.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let answer = link.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), self.limits.get().list)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        parse(&body.to_bytes(), &self.names)
    }
}
