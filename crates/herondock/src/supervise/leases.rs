//! Disruption leases and rollouts: the supervisor's interaction with the coordination service.
use super::driver::{action_name, Driver};
use super::rollouts::ReplaceDecision;
use config::supervisor::InstanceConfig;
use disruption::{BalancerEntry, DisruptionKind};
use disruption_agent::agent::GrantedLease;
use rollout::executor::{ExecutorAction, LocalInstance};
use rollout::BuildId;
use rollout_agent::build_id;
use std::collections::BTreeMap;
use supervisor::{Command, Event, Instance, InstanceState, RollingAction};
use tracing::info;

fn disruption_kind(action: RollingAction) -> DisruptionKind {
    match action {
        RollingAction::Restart => DisruptionKind::Restart,
        RollingAction::Handoff => DisruptionKind::Handoff,
        RollingAction::Reload => DisruptionKind::Reload,
    }
}

impl Driver<'_> {
    /// Publishes the balancers of this machine, if they have changed.
    pub fn publish_balancers(&mut self) {
        let Some(coordination) = &mut self.coordination else { return };
        let config = self.config;
        let entry = |instance: &Instance| BalancerEntry {
            machine: config.machine.clone().unwrap_or_default(),
            zone: config.zone.clone(),
            tier: config.tier.clone(),
            down: instance.is_down(),
        };
        let entries = self.supervisor.instances().iter().map(entry);
        let balancers: BTreeMap<String, BalancerEntry> =
            coordination.balancer_names.iter().cloned().zip(entries).collect();
        if balancers != coordination.published {
            coordination.lease_agent.set_balancers(balancers.clone());
            coordination.published = balancers;
        }
    }

    pub(super) fn request_lease(&self, instance: usize, action: RollingAction) {
        let Some(coordination) = &self.coordination else { return };
        if let Some(balancer) = coordination.balancer_names.get(instance) {
            let override_reason = self.override_reason.as_deref();
            let kind = disruption_kind(action);
            coordination.lease_agent.request(balancer, kind, action_name(action), override_reason);
        }
    }

    pub(super) fn release_lease(&self, instance: usize, acted: bool) {
        let Some(coordination) = &self.coordination else { return };
        if let Some(balancer) = coordination.balancer_names.get(instance) {
            coordination.lease_agent.release(balancer, acted);
        }
    }

    /// Handles a granted lease. A lease that arrives late may no longer be held by this supervisor.
    pub fn lease_granted(&mut self, lease: &GrantedLease) -> Event {
        let Some(coordination) = &self.coordination else { return Event::Timeout };
        let Some(instance) = coordination.instance_of(&lease.balancer) else { return Event::Timeout };
        let (unit, number) = (&lease.balancer, lease.fencing_token);
        if !coordination.lease_agent.is_active(lease) {
            info!(unit, number, "outage: the disruption lease arrived too late and is not used");
            coordination.lease_agent.mark_unused(unit);
            return Event::Timeout;
        }
        info!(unit, number, "outage: holds a disruption lease to {}", lease.kind.as_str());
        if coordination.rollouts.on_lease_granted(lease) {
            return Event::Timeout;
        }
        Event::LeaseGranted(instance)
    }

    /// Handles the confirmation of a lease for a rollout; the lease is used only if `usable`.
    pub fn lease_confirmed(&mut self, lease: &GrantedLease, usable: bool) -> Event {
        let Some(coordination) = &mut self.coordination else { return Event::Timeout };
        if !usable || !coordination.lease_agent.is_active(lease) {
            coordination.lease_agent.mark_unused(&lease.balancer);
            return Event::Timeout;
        }
        let snapshot = coordination.lease_agent.subscribe();
        let action = coordination.rollouts.on_lease_confirmed(&lease.balancer, &snapshot.borrow());
        action.map_or(Event::Timeout, |action| self.execute_rollout_action(action))
    }

    /// Carries out the actions that the current rollout requires for the instances of this machine.
    pub fn advance_rollout(&mut self) {
        for action in self.next_rollout_actions() {
            let event = self.execute_rollout_action(action);
            self.handle(event);
        }
    }

    fn next_rollout_actions(&mut self) -> Vec<ExecutorAction> {
        let instances = self.local_instances();
        let Some(coordination) = &mut self.coordination else { return Vec::new() };
        let Some(session) = coordination.lease_agent.session() else { return Vec::new() };
        if coordination.rollouts.poll_interval().is_none() {
            return Vec::new();
        }
        // The rollout must not disrupt further instances while a rolling operation is in progress.
        let rolling = self.supervisor.rolling().is_some();
        let max_parallel = if rolling { 0 } else { self.config.policy.max_parallel };
        let snapshot = coordination.lease_agent.subscribe();
        let actions =
            coordination.rollouts.next_actions(&instances, &snapshot.borrow(), max_parallel, session);
        actions
    }

    /// State of the instances for the rollout executor.
    fn local_instances(&self) -> Vec<LocalInstance> {
        let Some(coordination) = &self.coordination else { return Vec::new() };
        let now = self.started.elapsed();
        let local_instance = |((config, balancer), instance): ((&InstanceConfig, &String), &Instance)| {
            let crash_loop = match &instance.state {
                InstanceState::CrashLoop(reason) => Some(reason.clone()),
                _ => None,
            };
            LocalInstance {
                name: balancer.clone(),
                build: coordination.rollouts.build(&config.name).clone(),
                ready: instance.is_settled(),
                start_failure: crash_loop,
                start_timed_out: instance.missed_ready_timeout(),
                crashes: instance.recent_crashes(now, self.config.policy.crash_window),
            }
        };
        let configs = self.config.instances.iter().zip(&coordination.balancer_names);
        configs.zip(self.supervisor.instances()).map(local_instance).collect()
    }

    fn execute_rollout_action(&mut self, action: ExecutorAction) -> Event {
        let Some(coordination) = &mut self.coordination else { return Event::Timeout };
        let lease_agent = &coordination.lease_agent;
        match action {
            ExecutorAction::RequestLease { instance, reason } => {
                lease_agent.request(&instance, DisruptionKind::Restart, &reason, None);
            }
            ExecutorAction::ReleaseLease { instance, replaced } => lease_agent.release(&instance, replaced),
            ExecutorAction::Replace { instance, build } => return self.replace_build(&instance, &build),
        }
        Event::Timeout
    }

    /// Replaces the process of a balancer by one of another build, if the rollout allows it.
    fn replace_build(&mut self, balancer: &str, build: &BuildId) -> Event {
        let Some(coordination) = &mut self.coordination else { return Event::Timeout };
        let Some(index) = coordination.instance_of(balancer) else { return Event::Timeout };
        let Some(instance) = self.config.instances.get(index) else { return Event::Timeout };
        match coordination.rollouts.replace(&instance.name, balancer, build) {
            ReplaceDecision::Replace => {
                info!(
                    unit = balancer,
                    "release: the next process is started from build {}",
                    build_id::short(build)
                );
                Event::Command(Command::Replace(index))
            }
            ReplaceDecision::Refuse {
                follow_up: Some(ExecutorAction::ReleaseLease { instance, replaced }),
            } => {
                coordination.lease_agent.release(&instance, replaced);
                Event::Timeout
            }
            ReplaceDecision::Refuse { .. } => Event::Timeout,
        }
    }
}
