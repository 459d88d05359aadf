//! The platform's discovery service as a source of endpoints: sends the requests of [`discovery::platform::watch`] and
//! publishes the updates. The balancer's own subscription to the list ([`balancer::Action::Subscribe`]) is served by this
//! watch, since the retries of the balancer do not regard staleness bounds.
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

/// Number of entry errors of one response that are logged.
pub const MAX_LOGGED_ENTRY_ERRORS: usize = 3;

/// The platform's discovery service.
pub struct PlatformSource {
    addr: SocketAddr,
    addresses: Receiver<SocketAddr>,
    client: Client,
    watch: Watch,
    /// Origin of the watch's times.
    started: Instant,
    /// Protocol of its endpoints.
    protocol: EndpointProtocol,
}

impl PlatformSource {
    /// A source whose service is at the latest of `addresses`. `version` is that of the known list, if there is one.
    pub fn new(
        addresses: Receiver<SocketAddr>,
        limits: LiveConfig<Limits>,
        settings: &StalenessSettings,
        version: Option<u64>,
        speaks: EndpointProtocol,
    ) -> PlatformSource {
        let addr = *addresses.borrow();
        let (watch, started) = (Watch::new(settings, version), Instant::now());
        PlatformSource { addr, addresses, client: Client::new(limits), watch, started, protocol: speaks }
    }

    /// Runs the watch until the program exits.
    pub async fn run<A: EndpointSubscriber>(mut self, source: SourceHandle<A>) {
        let mut addresses = self.addresses.clone();
        loop {
            // Requests and delays at the old address are cancelled, so that they do not delay the change to a new one.
            tokio::select! {
                biased;
                changed = addresses.changed() => match changed {
                    Ok(()) => self.follow(*addresses.borrow_and_update()),
                    // The program exits.
                    Err(_) => return,
                },
                () = self.serve(&source) => {}
            }
        }
    }

    /// Changes to another address.
    fn follow(&mut self, addr: SocketAddr) {
        info!("discovery: now at {addr}");
        self.client.disconnect();
        self.addr = addr;
        self.watch.address_changed(self.started.elapsed());
    }

    /// Carries out the steps of the watch; does not return.
    async fn serve<A: EndpointSubscriber>(&mut self, source: &SourceHandle<A>) {
        loop {
            let next = self.watch.next_step(self.started.elapsed(), source.draw());
            match next {
                NextStep::Wait(until) => tokio::time::sleep_until(self.started + until).await,
                NextStep::Call(request) => {
                    let outcome = self.send(&request, source.draw()).await;
                    self.publish(source, outcome);
                }
            }
        }
    }

    /// Sends a request and passes its result to the watch.
    async fn send(&mut self, request: &Request, draw: f64) -> ResponseOutcome {
        debug!("discovery: asks {} within {:?}", request.path, request.timeout);
        let response = self.client.send(self.addr, &ApiRequest::get(&request.path), request.timeout).await;
        let now = self.started.elapsed();
        match response {
            Ok(response) => {
                debug!("discovery: answered {} with {} bytes", response.status, response.body.len());
                self.watch.on_response(now, response.status.as_u16(), &response.body, draw)
            }
            Err(error) => self.watch.on_failure(now, &error.to_string(), draw),
        }
    }

    /// Publishes the result of a request.
    fn publish<A: EndpointSubscriber>(&mut self, source: &SourceHandle<A>, outcome: ResponseOutcome) {
        let ResponseOutcome { update: news, version, is_first_response: answers, entry_errors: faults } =
            outcome;
        for fault in faults.iter().take(MAX_LOGGED_ENTRY_ERRORS) {
            info!("discovery: {fault}");
        }
        if faults.len() > MAX_LOGGED_ENTRY_ERRORS {
            info!(
                "discovery: and {} more entries that can't be used",
                faults.len() - MAX_LOGGED_ENTRY_ERRORS
            );
        }
        // Also without changes: whoever waits for the list has it now.
        if answers {
            source.notify_first_response();
        }
        match news {
            SourceUpdate::Unavailable(why) => {
                self.client.disconnect();
                info!("discovery: {why}");
                source.report_unavailable(why);
            }
            news => source.publish_with_protocol(self.protocol, news, version),
        }
    }
}
