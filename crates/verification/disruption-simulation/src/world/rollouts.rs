//! Rollouts at supervisors: reports, transitions, and replacements of instances.
use super::event::{RolloutWrite, SessionHolder, SimEvent};
use super::{duration, millis, name, World};
use crate::plan::Variant;
use coordination::state_machine::SessionId;
use disruption::conditional_write::put_ephemeral;
use disruption::lease_agent::GrantedLease;
use disruption::{ConditionalWrite, DisruptionKind, Projection};
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use rollout::executor::{ExecutorAction, LocalInstance, RolloutContext, RolloutExecutor, SupervisorState};
use rollout::keys::{report_key, KEY_PREFIX};
use rollout::{BuildId, InstanceReport, RolloutSnapshot, RolloutState};
use std::collections::BTreeMap;
use std::time::Duration;
use supervisor::{Command, Event, Instance, InstanceState as InstancePhase};

/// Interval at which a supervisor advances the rollout, in milliseconds; up to twice as long.
const POLL_INTERVAL_MS: f64 = 300.0;
/// Timeout of a consistent read, in milliseconds.
const READ_TIMEOUT_MS: f64 = 2_000.0;
/// Time after which a change of the store has reached every supervisor that is reachable, and what was started before has ended,
/// in milliseconds.
const PROPAGATION_MS: f64 = 1_000.0;
/// Window within which crashes of an instance are counted.
const CRASH_WINDOW: Duration = Duration::from_secs(60);
/// Stage behind the last one.
const BEYOND_LAST_STAGE: usize = 9;

/// Rollouts at a supervisor.
#[derive(Default)]
pub(super) struct SupervisorRollouts {
    executor: RolloutExecutor,
    snapshot: RolloutSnapshot,
    /// Reports that it has written, and under which session.
    written: (SessionId, BTreeMap<String, InstanceReport>),
    /// Whether a write is in flight.
    is_busy: bool,
}

impl SupervisorRollouts {
    /// The reports to write, if they differ from those written under the session.
    fn next_reports(
        &mut self,
        session: SessionId,
        instances: &[LocalInstance],
    ) -> Option<BTreeMap<String, InstanceReport>> {
        let reports = RolloutExecutor::reports(instances, &self.snapshot, &BTreeMap::new());
        if self.written.0 != session {
            self.written = (session, BTreeMap::new());
        }
        (reports != self.written.1 && !reports.is_empty()).then_some(reports)
    }
}

/// Progress of the rollout of a run.
#[derive(Default)]
pub(super) struct RolloutProgress {
    pub started_at: Option<Nanos>,
    /// Total time that instances were unavailable under leases.
    pub leased_time: Nanos,
    /// Whether a command of an operator took effect.
    pub is_commanded: bool,
    /// When the state last changed.
    pub changed_at: Option<Nanos>,
}

impl World {
    /// Factor by which intervals are longer in a large fleet, so that a run of it ends.
    pub(super) fn slowdown(&self) -> u64 {
        (self.plan.machines as u64 / 5).max(1)
    }

    /// Snapshot of the rollout in the store.
    pub(super) fn rollout_snapshot(&self) -> RolloutSnapshot {
        let items: Vec<_> =
            self.store.with_prefix(KEY_PREFIX).map(|(key, item)| (key.to_string(), item.clone())).collect();
        RolloutSnapshot::from_items(self.store.revision(), &items)
    }

    /// Brings a snapshot of the rollout up to date.
    fn update_rollout_snapshot(&self, snapshot: &mut RolloutSnapshot) {
        match self.store.events_since(snapshot.revision).filter(|_| snapshot.revision > 0) {
            Some(events) => {
                for event in events.filter(|event| event.key.starts_with(KEY_PREFIX)) {
                    snapshot.apply(&event.key, event.value.as_deref(), event.revision);
                }
                snapshot.advance_to(self.store.revision());
            }
            None => *snapshot = self.rollout_snapshot(),
        }
    }

    fn local_instances(&self, m: usize) -> Vec<LocalInstance> {
        let machine = &self.machines[m];
        let Some(supervisor) = &machine.supervisor else { return Vec::new() };
        let now = duration(self.event_queue.now());
        let local_instance = |(k, instance): (usize, &Instance)| LocalInstance {
            name: name(m, k),
            build: machine.assigned_builds[k].clone(),
            ready: instance.state == InstancePhase::Ready && instance.successor.is_none(),
            start_failure: matches!(instance.state, InstancePhase::CrashLoop(_))
                .then(|| "given up".to_string()),
            start_timed_out: instance.missed_ready_timeout(),
            crashes: instance.recent_crashes(now, CRASH_WINDOW),
        };
        supervisor.state_machine.instances().iter().enumerate().map(local_instance).collect()
    }

    /// A supervisor advances the rollout.
    pub(super) fn poll_rollout(&mut self, m: usize, incarnation: u64) {
        if self.supervisor(m, incarnation).is_none() {
            return;
        }
        let interval = POLL_INTERVAL_MS * self.slowdown() as f64;
        let delay = self.draws.uniform((interval, 2.0 * interval));
        self.event_queue.schedule_after(nanos_from_ms(delay), SimEvent::PollRollout(m, incarnation));
        if !self.is_reachable(SessionHolder::Supervisor(m, incarnation)) {
            return;
        }
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        let mut snapshot = std::mem::take(&mut supervisor.rollouts.snapshot);
        self.update_rollout_snapshot(&mut snapshot);
        let (now, instances) = (self.event_queue.now(), self.local_instances(m));
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        supervisor.rollouts.snapshot = snapshot;
        let Some((session, _)) = supervisor.session.filter(|&(_, until)| now < until) else { return };
        let write = self.next_rollout_write(m, session, &instances);
        let actions = self.next_rollout_actions(m, session, &instances);
        if let Some((write, purpose)) = write {
            let delay = self.draw_delay();
            self.event_queue
                .schedule_after(delay, SimEvent::RolloutWriteArrives(m, incarnation, write, purpose));
        }
        if actions.is_empty() {
            return;
        }
        for action in actions {
            self.execute_action(m, action);
        }
        self.step_lease_agent(m);
    }

    /// The next write of a supervisor for the rollout, unless one is in flight.
    fn next_rollout_write(
        &mut self,
        m: usize,
        session: SessionId,
        instances: &[LocalInstance],
    ) -> Option<(ConditionalWrite, RolloutWrite)> {
        let now_ms = millis(self.event_queue.now());
        let supervisor = self.machines[m].supervisor.as_mut()?;
        let rollouts = &mut supervisor.rollouts;
        let reports = rollouts.next_reports(session, instances);
        if rollouts.is_busy {
            return None;
        }
        let write = match reports {
            Some(reports) => {
                let put =
                    |(name, report): (&String, &InstanceReport)| put_ephemeral(report_key(name), report);
                let ops = reports.iter().map(put).collect();
                let write = ConditionalWrite::while_session_alive(session, ops);
                (write, RolloutWrite::Reports(session, reports))
            }
            None => {
                let transition = rollouts.snapshot.next_transition(&supervisor.fleet, now_ms)?;
                (transition.write, RolloutWrite::State)
            }
        };
        rollouts.is_busy = true;
        Some(write)
    }

    fn next_rollout_actions(
        &mut self,
        m: usize,
        session: SessionId,
        instances: &[LocalInstance],
    ) -> Vec<ExecutorAction> {
        let now_ms = millis(self.event_queue.now());
        let (machine, build_faults) = (format!("m{m}"), BTreeMap::new());
        let Some(supervisor) = &mut self.machines[m].supervisor else { return Vec::new() };
        let rollouts = &mut supervisor.rollouts;
        let context = RolloutContext {
            machine: &machine,
            fleet: &supervisor.fleet,
            rollout: &rollouts.snapshot,
            now_ms,
        };
        let max_concurrent = self.plan.at_once;
        let local = SupervisorState { instances, max_concurrent, build_faults: &build_faults, session };
        let mut actions = rollouts.executor.next_actions(context, local);
        if self.variant == Variant::MovedWithoutLeave {
            actions.iter_mut().for_each(skip_lease);
        }
        actions
    }

    fn execute_action(&mut self, m: usize, action: ExecutorAction) {
        self.trace(|| format!("m{m} {action:?}"));
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        match action {
            ExecutorAction::RequestLease { instance, reason } => {
                supervisor.lease_agent.request(&instance, DisruptionKind::Restart, &reason, None);
            }
            ExecutorAction::ReleaseLease { instance, replaced } => {
                supervisor.lease_agent.release(&instance, replaced);
            }
            ExecutorAction::Replace { instance, build } => self.replace_instance(m, &instance, build),
        }
    }

    fn replace_instance(&mut self, m: usize, instance: &str, build: BuildId) {
        self.check_replacement(&build);
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        supervisor.rollouts.executor.mark_replaced(instance, &build);
        let Some(k) = self.balancer_of(m, instance) else { return };
        self.machines[m].assigned_builds[k] = build;
        self.handle_supervisor_event(m, Event::Command(Command::Replace(k)));
    }

    /// Checks that no replacement starts later than [`PROPAGATION_MS`] after the rollout was paused or changed direction.
    fn check_replacement(&mut self, build: &BuildId) {
        let snapshot = self.rollout_snapshot();
        let Some((plan, state)) = snapshot.current() else { return };
        let expected = match &state.value {
            RolloutState::InStage { .. } => Some(&plan.spec.new),
            RolloutState::RollingBack { .. } => Some(&plan.spec.old),
            _ => None,
        };
        let changed_at = self.rollout.changed_at;
        let has_propagated =
            changed_at.is_some_and(|at| self.event_queue.now() > at + nanos_from_ms(PROPAGATION_MS));
        if has_propagated && expected != Some(build) {
            let summary = state.value.summary();
            self.report.violations.push(format!("goes over to {} while it is {summary}", build.0));
        }
    }

    /// Whether a granted lease is for the rollout. Then the rollout is read before the lease is used.
    pub(super) fn rollout_lease_granted(&mut self, m: usize, lease: &GrantedLease) -> bool {
        let Some(supervisor) = &self.machines[m].supervisor else { return false };
        let incarnation = supervisor.incarnation;
        if !supervisor.rollouts.executor.is_waiting_for_lease(&lease.balancer) {
            return false;
        }
        let round_trip = self.draw_delay() + self.draw_delay();
        let is_reachable = self.is_reachable(SessionHolder::Supervisor(m, incarnation));
        let snapshot = is_reachable.then(|| Box::new(self.rollout_snapshot()));
        let delay = if is_reachable { round_trip } else { nanos_from_ms(READ_TIMEOUT_MS) };
        self.event_queue
            .schedule_after(delay, SimEvent::LeaseConfirmed(m, incarnation, lease.clone(), snapshot));
        true
    }

    /// The rollout was read after the grant of a lease; `None` if it could not be.
    pub(super) fn rollout_lease_confirmed(
        &mut self,
        m: usize,
        incarnation: u64,
        lease: &GrantedLease,
        snapshot: Option<Box<RolloutSnapshot>>,
    ) {
        let now = self.event_queue.now();
        let ignores_state = self.variant == Variant::StateNotLookedAt;
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        let is_active = supervisor.session.is_some_and(|(id, until)| now < until && id == lease.session);
        let Some(snapshot) = snapshot.filter(|_| is_active) else {
            supervisor.lease_agent.mark_unused(&lease.balancer);
            return self.step_lease_agent(m);
        };
        let rollouts = &mut supervisor.rollouts;
        if snapshot.revision > rollouts.snapshot.revision {
            rollouts.snapshot = *snapshot;
        }
        let mut used = rollouts.snapshot.clone();
        if let (true, Some(state)) = (ignores_state, &mut used.state) {
            state.value = RolloutState::InStage {
                stage: BEYOND_LAST_STAGE,
                ready_since_ms: None,
                checks: 0,
                suspected: false,
            };
        }
        let machine = format!("m{m}");
        let context = RolloutContext {
            machine: &machine,
            fleet: &supervisor.fleet,
            rollout: &used,
            now_ms: millis(now),
        };
        if let Some(action) = rollouts.executor.on_lease_granted(&lease.balancer, context) {
            self.execute_action(m, action);
        }
        self.step_lease_agent(m);
    }

    /// A write of a supervisor for the rollout reaches the store.
    pub(super) fn rollout_write_arrives(
        &mut self,
        m: usize,
        incarnation: u64,
        write: ConditionalWrite,
        purpose: RolloutWrite,
    ) {
        let is_reachable = self.is_reachable(SessionHolder::Supervisor(m, incarnation));
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        supervisor.rollouts.is_busy = false;
        let Some((session, _)) = supervisor.session.filter(|_| is_reachable) else { return };
        if !self.transact(session, write) {
            return;
        }
        match purpose {
            RolloutWrite::Reports(session, reports) => {
                let supervisor = self.supervisor(m, incarnation);
                if let Some(supervisor) = supervisor.filter(|s| s.rollouts.written.0 == session) {
                    supervisor.rollouts.written.1 = reports;
                }
            }
            RolloutWrite::State => {
                self.rollout.changed_at = Some(self.event_queue.now());
                self.count_end();
            }
        }
        self.notify_watchers();
    }
}

/// Turns a request for a lease into the replacement itself.
fn skip_lease(action: &mut ExecutorAction) {
    if let ExecutorAction::RequestLease { instance, .. } = action {
        *action = ExecutorAction::Replace { instance: instance.clone(), build: BuildId("new".into()) };
    }
}
