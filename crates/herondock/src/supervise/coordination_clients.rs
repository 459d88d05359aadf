//! The supervisor's clients of the coordination service: disruption leases and rollouts.
use super::error::SupervisorError;
use super::loop_event::LoopEvent;
use super::rollouts::Rollouts;
use crate::node_config;
use config::supervisor::{FleetConfig, InstanceConfig};
use disruption::BalancerEntry;
use disruption_agent::agent::LeaseAgentHandle;
use rollout_agent::agent::RolloutAgent;
use std::collections::BTreeMap;
use std::time::Duration;

/// Kind under which a supervisor announces its presence to the coordination service.
const PRESENCE_KIND: &str = "supervisor";

/// Clients of the coordination service.
pub struct Coordination {
    pub(super) lease_agent: LeaseAgentHandle,
    pub(super) rollouts: Rollouts,
    /// Name of each instance in the coordination service.
    pub(super) balancer_names: Vec<String>,
    /// The balancers as they were last published.
    pub(super) published: BTreeMap<String, BalancerEntry>,
}

impl Coordination {
    /// Connects to the coordination service that the fleet's file names; returns `None` if it names none. To be called
    /// within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// The supervisor's own build cannot be identified.
    pub fn connect(config: &FleetConfig) -> Result<Option<Coordination>, SupervisorError> {
        let Some((settings, machine)) = config.coordination.as_ref().zip(config.machine.as_deref()) else {
            return Ok(None);
        };
        let client = coordination_server::client::spawn_with_presence(settings, PRESENCE_KIND, machine);
        let lease_agent = LeaseAgentHandle::spawn(client.clone(), machine);
        let rollout_agent = RolloutAgent::spawn(client, lease_agent.subscribe());
        let rollouts = Rollouts::new(config, machine, rollout_agent)?;
        let balancer_names = config.instances.iter().map(balancer_name).collect();
        Ok(Some(Coordination { lease_agent, rollouts, balancer_names, published: BTreeMap::new() }))
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next_event(&mut self) -> LoopEvent {
        tokio::select! {
            lease = self.lease_agent.next() => LoopEvent::LeaseGranted(lease),
            confirmation = self.rollouts.next_event() => match confirmation {
                Some(confirmation) => LoopEvent::LeaseConfirmed {
                    lease: confirmation.lease,
                    usable: confirmation.is_usable,
                },
                None => LoopEvent::RolloutChanged,
            },
        }
    }

    /// Interval at which the rollout has to be advanced; `None` if there has never been one.
    pub fn rollout_poll_interval(&self) -> Option<Duration> {
        self.rollouts.poll_interval()
    }

    pub(super) fn instance_of(&self, balancer: &str) -> Option<usize> {
        self.balancer_names.iter().position(|name| name == balancer)
    }
}

/// Name of an instance in the coordination service: the name in its own configuration, or else the one in the fleet's file.
fn balancer_name(instance: &InstanceConfig) -> String {
    node_config::read(&instance.config).map_or_else(|_| instance.name.clone(), |config| config.name)
}
