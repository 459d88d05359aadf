//! Creates and starts all sources of endpoints that the operator's file names.
use super::aggregator::{EndpointAggregator, SourceHandle};
use super::consul::ConsulSource;
use super::discovery::PlatformSource;
use super::EndpointSubscriber;
use crate::live_config::LiveConfig;
use config::discovery::StaticEndpoint;
use config::operator::{Limits, OperatorConfig};
use discovery::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, SourceUpdate};
use discovery::platform::staleness::StalenessSettings;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Label of the source for the platform's discovery service.
pub const PLATFORM_LABEL: &str = "discovery";

/// All sources that the operator's file names, in its order, before they are started.
pub struct Sources<A> {
    platform: Option<(EndpointProtocol, SourceHandle<A>)>,
    consul: Vec<(ConsulSource, SourceHandle<A>)>,
    static_reports: Option<(Vec<EndpointReport>, SourceHandle<A>)>,
}

impl<A: EndpointSubscriber + 'static> Sources<A> {
    /// Adds the sources to an aggregator.
    pub fn new(
        aggregator: &EndpointAggregator<A>,
        operator: &OperatorConfig,
        limits: &LiveConfig<Limits>,
    ) -> Sources<A> {
        let registry = &operator.registry;
        let platform = registry.platform.then(|| {
            let handle = aggregator.add_source(0, PLATFORM_LABEL, true);
            handle.set_distinct_names();
            (protocol(registry.fastcgi), handle)
        });
        let mut services = Vec::new();
        for (index, settings) in registry.consul.iter().enumerate() {
            let rank = u16::try_from(index + 1).unwrap_or(u16::MAX);
            let service = ConsulSource { settings: settings.clone(), limits: limits.clone() };
            let labels = service.labels();
            // Added before the cache is restored, so that the cached reports of these sources are restored.
            let mut handles: Vec<_> =
                labels.iter().map(|label| aggregator.add_source(rank, label, false)).collect();
            let placeholder_label = format!("consul {}", settings.name);
            let handle = if handles.len() == 1 { handles.pop() } else { None };
            services.push((
                service,
                handle.unwrap_or_else(|| aggregator.add_placeholder(rank, &placeholder_label)),
            ));
        }
        let static_reports = (!registry.static_endpoints.is_empty()).then(|| {
            (
                registry.static_endpoints.iter().map(static_report).collect(),
                aggregator.add_source(u16::MAX, "static", false),
            )
        });
        Sources { platform, consul: services, static_reports }
    }

    /// Starts a task for each source, and publishes the static endpoints. `addresses` are those of the platform's discovery
    /// service.
    pub fn spawn(
        self,
        addresses: watch::Receiver<SocketAddr>,
        limits: &LiveConfig<Limits>,
        staleness: &StalenessSettings,
    ) {
        if let Some((endpoint_protocol, handle)) = self.platform {
            let source = PlatformSource::new(
                addresses,
                limits.clone(),
                staleness,
                handle.last_index(),
                endpoint_protocol,
            );
            tokio::task::spawn_local(source.run(handle));
        }
        for (service, handle) in self.consul {
            tokio::task::spawn_local(service.run(handle));
        }
        if let Some((reports, handle)) = self.static_reports {
            handle.publish(SourceUpdate::Full(reports), None);
        }
    }
}

/// Protocol of endpoints, by the setting `fastcgi` of the operator's file.
pub fn protocol(fastcgi: bool) -> EndpointProtocol {
    if fastcgi {
        EndpointProtocol::FastCgi
    } else {
        EndpointProtocol::Http
    }
}

fn static_report(endpoint: &StaticEndpoint) -> EndpointReport {
    EndpointReport {
        name: endpoint.id.as_str().into(),
        addr: endpoint.addr,
        zone: endpoint.zone.as_str().into(),
        kind: endpoint.kind.as_str().into(),
        cell: endpoint.cell,
        protocol: protocol(endpoint.fastcgi),
        state: if endpoint.draining { EndpointState::Draining } else { EndpointState::Ready },
        reason: if endpoint.draining { "so the operator's file says".into() } else { "".into() },
        // A static endpoint is not considered to have just started, so it is not warmed up.
        started_ms: Some(0.0),
        registration_index: 0,
        meta: Meta::default(),
    }
}
