//! Supervisors: their state machines and actions.
use super::event::{SessionHolder, SimEvent};
use super::rollouts::SupervisorRollouts;
use super::state::{BalancerProcess, ProcessPhase, SupervisorProcess};
use super::{duration, name, zone, World};
use disruption::lease_agent::LeaseAgent;
use disruption::{BalancerEntry, DisruptionKind, FleetSnapshot};
use fleet_simulation::agenda::nanos_from_ms;
use std::collections::BTreeMap;
use std::time::Duration;
use supervisor::{
    Action, Event, InstanceState as InstancePhase, RollingAction, Supervisor, SupervisorPolicy,
};

impl World {
    /// Starts the supervisor of a machine, unless it runs or a fault keeps it from running.
    pub(super) fn start_supervisor(&mut self, m: usize) {
        if self.machines[m].down > 0 || self.machines[m].supervisor.is_some() {
            return;
        }
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let policy = SupervisorPolicy {
            start_interval: Duration::from_millis(20),
            stop_timeout: Duration::from_secs(5),
            ready_timeout: Duration::from_secs(20),
            max_parallel: self.plan.at_once,
            crash_limit: 100,
            requires_lease: true,
            ..SupervisorPolicy::default()
        };
        let mut supervisor = SupervisorProcess {
            incarnation,
            lease_agent: LeaseAgent::new(&format!("m{m}"), self.plan.seed ^ incarnation),
            state_machine: Supervisor::new(self.plan.balancers_per_machine, policy),
            fleet: FleetSnapshot::default(),
            session: None,
            is_busy: false,
            is_notified: true,
            wake_at: None,
            is_rolling: false,
            rollouts: SupervisorRollouts::default(),
            processes: BTreeMap::new(),
        };
        self.adopt_processes(m, &mut supervisor);
        self.machines[m].supervisor = Some(supervisor);
        self.declare_balancers(m);
        let delay = self.draw_delay();
        self.event_queue.schedule_after(delay, SimEvent::SnapshotChanged(m, incarnation));
        self.event_queue
            .schedule_after(delay, SimEvent::RenewSession(SessionHolder::Supervisor(m, incarnation)));
        if self.plan.rollout.is_some() {
            self.event_queue.schedule_after(delay, SimEvent::PollRollout(m, incarnation));
        }
        self.handle_supervisor_event(m, Event::Timeout);
    }

    /// Has a new supervisor adopt the process of each balancer that it finds: the one that has the sockets.
    fn adopt_processes(&mut self, m: usize, supervisor: &mut SupervisorProcess) {
        let now = duration(self.event_queue.now());
        for (k, balancer) in self.machines[m].balancers.iter_mut().enumerate() {
            let has_sockets =
                |p: &BalancerProcess| matches!(p.phase, ProcessPhase::Ready | ProcessPhase::ShuttingDown);
            let owner = balancer.processes.iter().find(|(_, process)| has_sockets(process));
            let found = owner.or(balancer.processes.iter().next()).map(|(&id, _)| id);
            let Some((id, process)) = found.and_then(|id| Some((id, balancer.processes.get_mut(&id)?)))
            else {
                continue;
            };
            let is_ready = process.phase == ProcessPhase::Ready;
            process.known_as = supervisor.state_machine.adopt(now, k, is_ready);
            supervisor.processes.insert(process.known_as, (k, id));
        }
    }

    /// A timeout of a supervisor's state machine expires.
    pub(super) fn supervisor_timeout(&mut self, m: usize, incarnation: u64) {
        let now = self.event_queue.now();
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        if supervisor.wake_at.is_none_or(|at| now >= at) {
            supervisor.wake_at = None;
        }
        self.handle_supervisor_event(m, Event::Timeout);
    }

    /// Passes the balancers of a machine to its lease agent.
    fn declare_balancers(&mut self, m: usize) {
        let balancer_count = self.plan.balancers_per_machine;
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        let entry = |k: usize| BalancerEntry {
            machine: format!("m{m}"),
            zone: zone(m).into(),
            tier: "front".into(),
            down: supervisor.state_machine.instances().get(k).is_none_or(supervisor::Instance::is_down),
        };
        let balancers = (0..balancer_count).map(|k| (name(m, k), entry(k))).collect();
        supervisor.lease_agent.set_balancers(balancers);
    }

    /// Passes an event to a supervisor's state machine and executes its actions.
    pub(super) fn handle_supervisor_event(&mut self, m: usize, event: Event) {
        let now = self.event_queue.now();
        let by_lease =
            matches!(event, Event::LeaseGranted(_) | Event::Command(supervisor::Command::Replace(_)));
        let mut actions = Vec::new();
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        supervisor.state_machine.handle(duration(now), event, &mut actions);
        let is_rolling = supervisor.state_machine.rolling().is_some();
        for action in actions {
            self.execute(m, action, by_lease);
        }
        if let Some(supervisor) = &mut self.machines[m].supervisor {
            supervisor.is_rolling = is_rolling;
        }
        self.declare_balancers(m);
        self.step_lease_agent(m);
        self.schedule_timeout(m, None);
    }

    /// Schedules the next timeout of a supervisor's state machine, or `other` if that is earlier.
    pub(super) fn schedule_timeout(&mut self, m: usize, other: Option<Duration>) {
        let now = self.event_queue.now();
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        let at = supervisor.state_machine.next_timeout().into_iter().chain(other).min();
        let Some(at) = at.map(|at| u64::try_from(at.as_nanos()).unwrap_or(u64::MAX).max(now + 1)) else {
            return;
        };
        if supervisor.wake_at.is_none_or(|scheduled| at < scheduled || scheduled <= now) {
            supervisor.wake_at = Some(at);
            let incarnation = supervisor.incarnation;
            self.event_queue.schedule_at(at, SimEvent::Timeout(m, incarnation));
        }
    }

    /// Executes an action of a supervisor's state machine. `by_lease` tells whether it is taken under a lease.
    fn execute(&mut self, m: usize, action: Action, by_lease: bool) {
        self.trace(|| format!("m{m} {action:?}"));
        match action {
            Action::Start { instance, process } => self.start_process(m, instance, process),
            Action::Signal(process, signal) => self.signal(m, process, signal, by_lease),
            Action::RequestLease { instance, action } => {
                let kind = match action {
                    RollingAction::Restart => DisruptionKind::Restart,
                    RollingAction::Handoff => DisruptionKind::Handoff,
                    RollingAction::Reload => DisruptionKind::Reload,
                };
                if let Some(supervisor) = &mut self.machines[m].supervisor {
                    supervisor.lease_agent.request(&name(m, instance), kind, "", None);
                }
            }
            Action::ReleaseLease { instance, acted } => {
                if let Some(supervisor) = &mut self.machines[m].supervisor {
                    supervisor.lease_agent.release(&name(m, instance), acted);
                }
            }
            Action::RollFinished(_) => {
                self.report.rolls_completed += 1;
                self.report.last_roll_at = self.event_queue.now();
            }
            Action::RollAborted { .. } => self.report.rolls_aborted += 1,
            Action::Rejected(_) | Action::CrashLoop { .. } | Action::Stopped => {}
        }
    }

    /// An operator starts a rolling operation, or tries again later if that is not possible now.
    pub(super) fn start_roll(&mut self, m: usize, action: RollingAction) {
        let Some(supervisor) = &self.machines[m].supervisor else {
            return self.event_queue.schedule_after(nanos_from_ms(5_000.0), SimEvent::StartRoll(m, action));
        };
        if supervisor.state_machine.rolling().is_some()
            || supervisor.state_machine.instances().iter().any(|i| i.state != InstancePhase::Ready)
        {
            return self.event_queue.schedule_after(nanos_from_ms(2_000.0), SimEvent::StartRoll(m, action));
        }
        self.handle_supervisor_event(m, Event::Command(supervisor::Command::Roll(action)));
    }
}
