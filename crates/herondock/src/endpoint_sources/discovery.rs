//! The platform's discovery as a source of members: the watch that keeps the list fresh.
//!
//! When to ask is decided by [`discovery::platform::watch`], whose calls are carried out here. The module's own wish for the
//! list ([`balancer::Action::Subscribe`]) is granted by that: its pauses know nothing of what counts as told.
use super::aggregator::SourceHandle;
use super::client::{ApiRequest, Client};
use super::EndpointSubscriber;
use crate::live_config::LiveConfig;
use config::operator::Limits;
use discovery::endpoint::{EndpointProtocol, SourceUpdate};
use discovery::platform::staleness::StalenessSettings;
use discovery::platform::watch::{NextStep, Request, ResponseOutcome, Watch};
use std::net::SocketAddr;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;
use tracing::{debug, info};

/// Entries that can't be used, of one answer, that the log names.
pub const MAX_LOGGED_ENTRY_ERRORS: usize = 3;

/// Keeps the list fresh.
pub struct PlatformSource {
    addr: SocketAddr,
    addresses: Receiver<SocketAddr>,
    client: Client,
    watch: Watch,
    /// The watch's times count from here.
    begun: Instant,
    /// What its members speak.
    speaks: EndpointProtocol,
}

impl PlatformSource {
    /// Begins with the version of the list that the balancer already has, if any. The newest of `addresses` is
    /// where discovery is.
    pub fn new(
        addresses: Receiver<SocketAddr>,
        limits: LiveConfig<Limits>,
        terms: &StalenessSettings,
        version: Option<u64>,
        speaks: EndpointProtocol,
    ) -> PlatformSource {
        let addr = *addresses.borrow();
        let (watch, begun) = (Watch::new(terms, version), Instant::now());
        PlatformSource { addr, addresses, client: Client::new(limits), watch, begun, speaks }
    }

    /// Keeps the watch for ever.
    pub async fn run<A: EndpointSubscriber>(mut self, teller: SourceHandle<A>) {
        let mut addresses = self.addresses.clone();
        loop {
            // Guards against a dial, a call or a pause at the old address holding up the move to a new one:
            // whatever is under way there is dropped.
            tokio::select! {
                biased;
                changed = addresses.changed() => match changed {
                    Ok(()) => self.follow(*addresses.borrow_and_update()),
                    // The program is ending.
                    Err(_) => return,
                },
                () = self.serve(&teller) => {}
            }
        }
    }

    /// Goes over to another address.
    fn follow(&mut self, addr: SocketAddr) {
        info!("discovery: now at {addr}");
        self.client.disconnect();
        self.addr = addr;
        self.watch.address_changed(self.begun.elapsed());
    }

    /// Carries out what the watch asks for, for ever.
    async fn serve<A: EndpointSubscriber>(&mut self, teller: &SourceHandle<A>) {
        loop {
            let next = self.watch.next_step(self.begun.elapsed(), teller.draw());
            match next {
                NextStep::Wait(until) => tokio::time::sleep_until(self.begun + until).await,
                NextStep::Call(ask) => {
                    let verdict = self.call(&ask, teller.draw()).await;
                    self.tell(teller, verdict);
                }
            }
        }
    }

    /// Makes one call and has the watch judge it.
    async fn call(&mut self, ask: &Request, draw: f64) -> ResponseOutcome {
        debug!("discovery: asks {} within {:?}", ask.path, ask.timeout);
        let reply = self.client.send(self.addr, &ApiRequest::get(&ask.path), ask.timeout).await;
        let now = self.begun.elapsed();
        match reply {
            Ok(reply) => {
                debug!("discovery: answered {} with {} bytes", reply.status, reply.body.len());
                self.watch.on_response(now, reply.status.as_u16(), &reply.body, draw)
            }
            Err(why) => self.watch.on_failure(now, &why, draw),
        }
    }

    /// Passes on what a call came to.
    fn tell<A: EndpointSubscriber>(&mut self, teller: &SourceHandle<A>, verdict: ResponseOutcome) {
        let ResponseOutcome { update: news, version, is_first_response: answers, entry_errors: faults } =
            verdict;
        for fault in faults.iter().take(MAX_LOGGED_ENTRY_ERRORS) {
            info!("discovery: {fault}");
        }
        if faults.len() > MAX_LOGGED_ENTRY_ERRORS {
            info!(
                "discovery: and {} more entries that can't be used",
                faults.len() - MAX_LOGGED_ENTRY_ERRORS
            );
        }
        // Also where nothing is new: who waits for a list has it.
        if answers {
            teller.notify_first_response();
        }
        match news {
            SourceUpdate::Unavailable(why) => {
                self.client.disconnect();
                info!("discovery: {why}");
                teller.report_unavailable(why);
            }
            news => teller.publish_with_protocol(self.speaks, news, version),
        }
    }
}
