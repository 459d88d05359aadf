//! The platform's discovery service as a source of endpoints: sends the requests of [`discovery::platform::watch`] and
//! publishes the updates. This watch also serves the balancer's own subscription to the list
//! ([`balancer::Action::Subscribe`]), since the retries of the balancer do not respect staleness bounds.
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

/// Maximum number of invalid entries of one response that are logged.
pub const MAX_LOGGED_ENTRY_ERRORS: usize = 3;

/// The platform's discovery service.
pub struct PlatformSource {
    addr: SocketAddr,
    addresses: Receiver<SocketAddr>,
    client: Client,
    watch: Watch,
    /// Time that the watch's times are relative to.
    started: Instant,
    /// Protocol of the endpoints.
    protocol: EndpointProtocol,
}

impl PlatformSource {
    /// Creates a source that sends requests to the latest of `addresses`. `version` is that of the last known list, if there
    /// is one; `endpoint_protocol` is the protocol of all endpoints.
    pub fn new(
        addresses: Receiver<SocketAddr>,
        limits: LiveConfig<Limits>,
        settings: &StalenessSettings,
        version: Option<u64>,
        endpoint_protocol: EndpointProtocol,
    ) -> PlatformSource {
        let addr = *addresses.borrow();
        let (watch, started) = (Watch::new(settings, version), Instant::now());
        PlatformSource {
            addr,
            addresses,
            client: Client::new(limits),
            watch,
            started,
            protocol: endpoint_protocol,
        }
    }

    /// Runs the watch until the process exits.
    pub async fn run<A: EndpointSubscriber>(mut self, source: SourceHandle<A>) {
        let mut addresses = self.addresses.clone();
        loop {
            // A change of the address cancels the pending request or delay, which would otherwise delay the change.
            tokio::select! {
                biased;
                changed = addresses.changed() => match changed {
                    Ok(()) => self.change_address(*addresses.borrow_and_update()),
                    // The sender was dropped: the process exits.
                    Err(_) => return,
                },
                () = self.serve(&source) => {}
            }
        }
    }

    /// Switches to another address.
    fn change_address(&mut self, addr: SocketAddr) {
        info!("discovery: address changed to {addr}");
        self.client.disconnect();
        self.addr = addr;
        self.watch.address_changed(self.started.elapsed());
    }

    /// Carries out the steps of the watch; does not return.
    async fn serve<A: EndpointSubscriber>(&mut self, source: &SourceHandle<A>) {
        loop {
            let step = self.watch.next_step(self.started.elapsed(), source.draw());
            match step {
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
        debug!("discovery: requesting {} with a timeout of {:?}", request.path, request.timeout);
        let response = self.client.send(self.addr, &ApiRequest::get(&request.path), request.timeout).await;
        let now = self.started.elapsed();
        match response {
            Ok(response) => {
                debug!("discovery: received status {} with {} bytes", response.status, response.body.len());
                self.watch.on_response(now, response.status.as_u16(), &response.body, draw)
            }
            Err(error) if error.is_unconnected() => {
                self.watch.on_connect_failure(now, &error.to_string(), draw)
            }
            Err(error) => self.watch.on_failure(now, &error.to_string(), draw),
        }
    }

    /// Publishes the result of a request.
    fn publish<A: EndpointSubscriber>(&mut self, source: &SourceHandle<A>, outcome: ResponseOutcome) {
        let ResponseOutcome {
            update: list_update,
            version,
            is_first_response: is_first,
            entry_errors: errors,
        } = outcome;
        for error in errors.iter().take(MAX_LOGGED_ENTRY_ERRORS) {
            info!("discovery: ignored an invalid entry: {error}");
        }
        if errors.len() > MAX_LOGGED_ENTRY_ERRORS {
            info!("discovery: ignored {} more invalid entries", errors.len() - MAX_LOGGED_ENTRY_ERRORS);
        }
        // Reported even without changes, for those who wait for the first list.
        if is_first {
            source.notify_first_response();
        }
        match list_update {
            SourceUpdate::Unavailable(reason) => {
                self.client.disconnect();
                info!("discovery: no update, the last endpoint list stays in use: {reason}");
                source.report_unavailable(reason);
            }
            list_update => source.publish_with_protocol(self.protocol, list_update, version),
        }
    }
}
