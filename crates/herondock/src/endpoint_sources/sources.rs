//! All sources of members that the operator's file names.
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

/// What the platform's discovery is called as a source.
pub const PLATFORM_LABEL: &str = "discovery";

/// All sources that the operator's file names, in their order, not yet begun.
pub struct Sources<A> {
    discovery: Option<(EndpointProtocol, SourceHandle<A>)>,
    consul: Vec<(ConsulSource, SourceHandle<A>)>,
    fixed: Option<(Vec<EndpointReport>, SourceHandle<A>)>,
}

impl<A: EndpointSubscriber + 'static> Sources<A> {
    /// Adds them to a view.
    pub fn new(
        gather: &EndpointAggregator<A>,
        operator: &OperatorConfig,
        limits: &LiveConfig<Limits>,
    ) -> Sources<A> {
        let registry = &operator.registry;
        let discovery = registry
            .platform
            .then(|| (protocol(registry.fastcgi), gather.add_source(0, PLATFORM_LABEL, true)));
        let mut services = Vec::new();
        for (k, settings) in registry.consul.iter().enumerate() {
            let rank = u16::try_from(k + 1).unwrap_or(u16::MAX);
            let service = ConsulSource { settings: settings.clone(), limits: limits.clone() };
            let labels = service.labels();
            // Named here, so that what was kept of them is taken.
            let mut tellers: Vec<_> =
                labels.iter().map(|label| gather.add_source(rank, label, false)).collect();
            let own = format!("consul {}", settings.name);
            let teller = if tellers.len() == 1 { tellers.pop() } else { None };
            services.push((service, teller.unwrap_or_else(|| gather.add_placeholder(rank, &own))));
        }
        let fixed = (!registry.static_endpoints.is_empty()).then(|| {
            (
                registry.static_endpoints.iter().map(static_report).collect(),
                gather.add_source(u16::MAX, "static", false),
            )
        });
        Sources { discovery, consul: services, fixed }
    }

    /// Begins them, each in a task of its own. `terms` are those of the platform's discovery.
    pub fn spawn(
        self,
        addresses: watch::Receiver<SocketAddr>,
        limits: &LiveConfig<Limits>,
        terms: &StalenessSettings,
    ) {
        if let Some((speaks, teller)) = self.discovery {
            let source = PlatformSource::new(addresses, limits.clone(), terms, teller.last_index(), speaks);
            tokio::task::spawn_local(source.run(teller));
        }
        for (service, teller) in self.consul {
            tokio::task::spawn_local(service.run(teller));
        }
        if let Some((reports, teller)) = self.fixed {
            teller.publish(SourceUpdate::Full(reports), None);
        }
    }
}

/// What members speak, as the operator's file has it.
pub fn protocol(fastcgi: bool) -> EndpointProtocol {
    if fastcgi {
        EndpointProtocol::FastCgi
    } else {
        EndpointProtocol::Http
    }
}

fn static_report(s: &StaticEndpoint) -> EndpointReport {
    EndpointReport {
        name: s.id.as_str().into(),
        addr: s.addr,
        zone: s.zone.as_str().into(),
        kind: s.kind.as_str().into(),
        cell: s.cell,
        protocol: protocol(s.fastcgi),
        state: if s.draining { EndpointState::Draining } else { EndpointState::Ready },
        reason: if s.draining { "so the operator's file says".into() } else { "".into() },
        // Who writes a member down does not say that it has just started.
        started_ms: Some(0.0),
        registration_index: 0,
        meta: Meta::default(),
    }
}
