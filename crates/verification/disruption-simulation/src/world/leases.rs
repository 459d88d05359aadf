//! Lease agents of supervisors, and the use of leases.
use super::event::{SessionHolder, SimEvent};
use super::{duration, name, World, RECONNECT_MS};
use crate::plan::Variant;
use coordination::state_machine::Op;
use disruption::keys::lease_key;
use disruption::lease_agent::{GrantedLease, Step};
use disruption::{ConditionalWrite, FleetSnapshot, ResourceId};
use fleet_simulation::agenda::nanos_from_ms;
use std::collections::BTreeSet;
use supervisor::Event;

/// Timeout of a request, in milliseconds.
const REQUEST_TIMEOUT_MS: f64 = 2_000.0;
/// Probability that a response is lost.
const RESPONSE_LOSS: f64 = 0.005;
/// Part of the description by which a lease agent's write of an orphaned lease is recognised.
const ORPHANED_LEASE_TEXT: &str = "orphaned lease";

impl World {
    /// A change of the store reaches a supervisor.
    pub(super) fn snapshot_changed(&mut self, m: usize, incarnation: u64) {
        if !self.is_reachable(SessionHolder::Supervisor(m, incarnation)) {
            return self
                .event_queue
                .schedule_after(nanos_from_ms(RECONNECT_MS), SimEvent::SnapshotChanged(m, incarnation));
        }
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        let mut fleet = std::mem::take(&mut supervisor.fleet);
        self.catch_up(&mut fleet);
        if let Some(supervisor) = self.supervisor(m, incarnation) {
            supervisor.fleet = fleet;
            supervisor.is_notified = false;
        }
        self.step_lease_agent(m);
    }

    /// Takes the next step of a lease agent, unless a request is in flight.
    pub(super) fn step_lease_agent(&mut self, m: usize) {
        let now = self.event_queue.now();
        let mut leases = Vec::new();
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        if supervisor.is_busy {
            return;
        }
        let session = supervisor.session.filter(|&(_, until)| now < until).map(|(id, _)| id);
        let step = supervisor.lease_agent.next(duration(now), session, &supervisor.fleet, &mut leases);
        let incarnation = supervisor.incarnation;
        match step {
            Step::Wait(until) => self.schedule_timeout(m, until),
            Step::Write { write, description } => {
                let is_orphaned = description.is_some_and(|text| text.contains(ORPHANED_LEASE_TEXT));
                self.report.orphaned_leases += u64::from(is_orphaned);
                self.send_request(m, incarnation, Some(write));
            }
            Step::ReadConsistent => self.send_request(m, incarnation, None),
        }
        if !leases.is_empty() {
            if let Some(pause) = self.machines[m].pause_on_grant.take() {
                self.machines[m].paused_until = self.event_queue.now() + pause;
            }
        }
        for lease in leases {
            let delay = self.draws.uniform((0.01, 3.0));
            self.event_queue
                .schedule_after(nanos_from_ms(delay), SimEvent::LeaseGranted(m, incarnation, lease));
        }
    }

    /// Sends a request of a lease agent; `None` for a consistent read.
    fn send_request(&mut self, m: usize, incarnation: u64, write: Option<ConditionalWrite>) {
        if let Some(supervisor) = self.supervisor(m, incarnation) {
            supervisor.is_busy = true;
        }
        let delay = self.draw_delay();
        self.event_queue.schedule_after(delay, SimEvent::RequestArrives(m, incarnation, write));
    }

    /// A request of a lease agent reaches the store.
    pub(super) fn request_arrives(&mut self, m: usize, incarnation: u64, write: Option<ConditionalWrite>) {
        let is_read = write.is_none();
        let timeout = nanos_from_ms(REQUEST_TIMEOUT_MS);
        if self.supervisor(m, incarnation).is_none() {
            return;
        }
        if !self.is_reachable(SessionHolder::Supervisor(m, incarnation)) {
            let failed = SimEvent::ResponseArrives(m, incarnation, false, is_read);
            return self.event_queue.schedule_after(timeout, failed);
        }
        if let Some(write) = write {
            self.execute_write(m, incarnation, write);
        }
        let delay = self.draw_delay();
        let is_lost = self.draws.chance(RESPONSE_LOSS);
        let response = SimEvent::ResponseArrives(m, incarnation, !is_lost, is_read);
        self.event_queue.schedule_after(if is_lost { timeout } else { delay }, response);
    }

    /// The response to a request reaches the lease agent.
    pub(super) fn response_arrives(&mut self, m: usize, incarnation: u64, succeeded: bool, is_read: bool) {
        let now = duration(self.event_queue.now());
        let is_current = succeeded && self.is_reachable(SessionHolder::Supervisor(m, incarnation));
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        let mut fleet = std::mem::take(&mut supervisor.fleet);
        if is_current {
            self.catch_up(&mut fleet);
            self.apply_variant(m, &mut fleet);
        }
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        supervisor.is_busy = false;
        supervisor.fleet = fleet;
        if !is_current {
            supervisor.lease_agent.on_failure(now);
            return self.step_lease_agent(m);
        }
        if !is_read {
            return self.step_lease_agent(m);
        }
        match supervisor.lease_agent.on_consistent_read(now, &supervisor.fleet) {
            Step::Write { write, .. } => self.send_request(m, incarnation, Some(write)),
            Step::Wait(until) => self.schedule_timeout(m, until),
            Step::ReadConsistent => {}
        }
    }

    /// Hides from a supervisor what the variant ignores.
    fn apply_variant(&self, m: usize, fleet: &mut FleetSnapshot) {
        match self.variant {
            Variant::MissingNotCounted => {
                let connected: BTreeSet<String> = fleet.statuses.keys().cloned().collect();
                fleet.balancers.retain(|name, _| connected.contains(name));
            }
            Variant::OwnMachineOnly => {
                let owner = format!("m{m}");
                fleet.leases.retain(|_, lease| lease.value.owner == owner);
            }
            _ => {}
        }
    }

    /// A lease agent notifies its supervisor of a lease.
    pub(super) fn lease_granted(&mut self, m: usize, lease: &GrantedLease) {
        let now = self.event_queue.now();
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        let is_active = supervisor.session.is_some_and(|(id, until)| now < until && id == lease.session);
        if !is_active && self.variant != Variant::LateLeaveUsed {
            self.report.late_leases += 1;
            supervisor.lease_agent.mark_unused(&lease.balancer);
            return self.step_lease_agent(m);
        }
        let Some(k) = self.balancer_of(m, &lease.balancer) else { return };
        if !self.rollout_lease_granted(m, lease) {
            self.handle_supervisor_event(m, Event::LeaseGranted(k));
        }
        if self.variant == Variant::ReturnedUnseen {
            let session = self.open_session("faulty");
            let op = Op::Delete(lease_key(&ResourceId::balancer(&lease.balancer)));
            self.transact(session, ConditionalWrite::unconditional(vec![op]));
            self.notify_watchers();
        }
    }

    /// Checks that a balancer that is taken out of service is leased by its supervisor's current session.
    pub(super) fn check_lease(&mut self, m: usize, k: usize) {
        let snapshot = self.fleet_snapshot();
        let resource = ResourceId::balancer(name(m, k));
        let session = self.machines[m].supervisor.as_ref().and_then(|s| s.session).map(|(id, _)| id);
        let lease = snapshot.leases.get(&resource).map(|lease| &lease.value);
        let is_held = lease.is_some_and(|l| l.owner == format!("m{m}") && Some(l.session) == session);
        if !is_held {
            let text = format!("{resource} is taken out without leave: the record has {lease:?}");
            self.report.violations.push(text);
        }
    }
}
