//! Lease agents of supervisors, and the use of leases.
use super::event::{SessionHolder, SimEvent};
use super::{duration, name, World};
use crate::plan::Variant;
use coordination::state_machine::{Command, Op, Transaction};
use disruption::lease_agent::{GrantedLease, Step};
use disruption::{ConditionalWrite, ResourceId};
use fleet_simulation::agenda::ms;
use std::collections::BTreeSet;
use supervisor::Event;

impl World {
    /// One step of an agent, if none is under way.
    pub(super) fn step_lease_agent(&mut self, m: usize) {
        let now = self.agenda.now();
        let mut given = Vec::new();
        let Some(supervisor) = &mut self.machines[m].supervisor else { return };
        if supervisor.is_busy {
            return;
        }
        let held = supervisor.session.filter(|&(_, until)| now < until).map(|(id, _)| id);
        let step = supervisor.lease_agent.next(duration(now), held, &supervisor.fleet, &mut given);
        let incarnation = supervisor.incarnation;
        match step {
            Step::Wait(until) => self.schedule_timeout(m, until),
            Step::Write { write: plan, description: what } => {
                if what.is_some_and(|w| w.contains("nobody's")) {
                    self.report.orphaned_leases += 1;
                }
                self.send_request(m, incarnation, Some(plan));
            }
            Step::ReadConsistent => self.send_request(m, incarnation, None),
        }
        if !given.is_empty() {
            if let Some(span) = self.machines[m].pause_on_grant.take() {
                self.machines[m].paused_until = self.agenda.now() + span;
            }
        }
        for given in given {
            let after = self.draws.between((0.01, 3.0));
            self.agenda.after(ms(after), SimEvent::LeaseGranted(m, incarnation, given));
        }
    }

    pub(super) fn send_request(&mut self, m: usize, incarnation: u64, writes: Option<ConditionalWrite>) {
        if let Some(supervisor) = self.supervisor(m, incarnation) {
            supervisor.is_busy = true;
        }
        let delay = self.draw_delay();
        self.agenda.after(delay, SimEvent::RequestArrives(m, incarnation, writes));
    }

    pub(super) fn request_arrives(&mut self, m: usize, incarnation: u64, writes: Option<ConditionalWrite>) {
        let holder = SessionHolder::Supervisor(m, incarnation);
        let (patience, look) = (ms(2_000.0), writes.is_none());
        if self.supervisor(m, incarnation).is_none() {
            return;
        }
        if !self.is_reachable(holder) {
            return self.agenda.after(patience, SimEvent::ResponseArrives(m, incarnation, false, look));
        }
        if let Some(plan) = writes {
            self.execute_write(m, incarnation, plan);
        }
        // An answer may be lost.
        let delay = self.draw_delay();
        let lost = self.draws.chance(0.005);
        self.agenda.after(
            if lost { patience } else { delay },
            SimEvent::ResponseArrives(m, incarnation, !lost, look),
        );
    }

    pub(super) fn response_arrives(&mut self, m: usize, incarnation: u64, done: bool, look: bool) {
        let now = duration(self.agenda.now());
        let reaches = self.is_reachable(SessionHolder::Supervisor(m, incarnation));
        let mut board = match self.supervisor(m, incarnation) {
            Some(supervisor) => std::mem::take(&mut supervisor.fleet),
            None => return,
        };
        let fresh = done && reaches;
        let deciding = self.variant != Variant::OwnMachineOnly;
        if fresh && deciding {
            self.catch_up(&mut board);
        }
        if fresh && self.variant == Variant::MissingNotCounted {
            let said: BTreeSet<String> = board.statuses.keys().cloned().collect();
            board.balancers.retain(|name, _| said.contains(name));
        }
        let own = format!("m{m}");
        if fresh && !deciding {
            self.catch_up(&mut board);
            board.leases.retain(|_, l| l.value.owner == own);
        }
        let Some(supervisor) = self.supervisor(m, incarnation) else { return };
        supervisor.is_busy = false;
        supervisor.fleet = board;
        if !fresh {
            supervisor.lease_agent.on_failure(now);
            return self.step_lease_agent(m);
        }
        if !look {
            return self.step_lease_agent(m);
        }
        match supervisor.lease_agent.on_consistent_read(now, &supervisor.fleet) {
            Step::Write { write: plan, .. } => self.send_request(m, incarnation, Some(plan)),
            Step::Wait(until) => self.schedule_timeout(m, until),
            Step::ReadConsistent => {}
        }
    }

    pub(super) fn lease_granted(&mut self, m: usize, given: &GrantedLease) {
        let now = self.agenda.now();
        let Some(supervisor) = &self.machines[m].supervisor else { return };
        let held = supervisor.session.filter(|&(id, until)| now < until && id == given.session).is_some();
        if !held && self.variant != Variant::LateLeaveUsed {
            self.report.late_leases += 1;
            if let Some(supervisor) = &mut self.machines[m].supervisor {
                supervisor.lease_agent.mark_unused(&given.balancer);
            }
            return self.step_lease_agent(m);
        }
        let Some(k) = (0..self.plan.balancers_per_machine).find(|&k| name(m, k) == given.balancer) else {
            return;
        };
        if !self.rollout_lease_granted(m, given) {
            self.handle_supervisor_event(m, Event::LeaseGranted(k));
        }
        if self.variant == Variant::ReturnedUnseen {
            let key = disruption::keys::lease_key(&ResourceId::balancer(name(m, k)));
            let session = self.open_session("faulty");
            let write = Transaction { session, sequence: 1, compares: vec![], ops: vec![Op::Delete(key)] };
            self.store.apply(&Command::Transaction(write));
            self.notify_watchers();
        }
    }

    /// Something is done by leave: the record has to have it, for this owner and session, at this moment.
    pub(super) fn check_lease(&mut self, m: usize, k: usize) {
        let board = self.fleet_snapshot();
        let unit = ResourceId::balancer(name(m, k));
        let session = self.machines[m].supervisor.as_ref().and_then(|s| s.session).map(|(id, _)| id);
        let leave = board.leases.get(&unit).map(|l| &l.value);
        let good = leave.is_some_and(|l| l.owner == format!("m{m}") && Some(l.session) == session);
        if !good {
            self.report
                .violations
                .push(format!("{unit} is taken out without leave: the record has {leave:?}"));
        }
    }
}
