//! Processes of balancers.
use super::event::{ProcessEvent, SessionHolder, SimEvent};
use super::state::{BalancerProcess, ProcessPhase};
use super::{name, World};
use crate::plan::Quality;
use coordination::state_machine::{Command, Transaction};
use disruption::conditional_write::put_ephemeral;
use disruption::keys::status_key;
use disruption::{InstanceState, InstanceStatus};
use fleet_simulation::agenda::nanos_from_ms;
use supervisor::{Event, ProcessId, Signal};

impl World {
    /// Starts a process of a balancer from its assigned build.
    pub(super) fn start_process(&mut self, m: usize, k: usize, process: ProcessId) {
        self.process_count += 1;
        let id = self.process_count;
        let build = self.machines[m].assigned_builds[k].clone();
        let quality = self.quality_of(&build);
        let started = BalancerProcess {
            phase: ProcessPhase::Starting,
            session: None,
            reported: None,
            build,
            known_as: process,
        };
        self.machines[m].balancers[k].processes.insert(id, started);
        if let Some(supervisor) = &mut self.machines[m].supervisor {
            supervisor.processes.insert(process, (k, id));
        }
        let start_ms = self.draws.uniform((80.0, 900.0));
        let event = if self.draws.chance(0.01) { ProcessEvent::Crash } else { ProcessEvent::Ready };
        let event = match quality {
            Some(Quality::Never) => None,
            Some(Quality::Crashes) => Some(ProcessEvent::Crash),
            _ => Some(event),
        };
        if let Some(event) = event {
            self.event_queue
                .schedule_after(nanos_from_ms(start_ms), SimEvent::Process(m, k, ProcessId(id), event));
        }
        self.check_bad_instances();
        self.update_availability(m, k, false);
    }

    /// Sends a signal to a process. `by_lease` tells whether that is done under a lease.
    pub(super) fn signal(&mut self, m: usize, process: ProcessId, signal: Signal, by_lease: bool) {
        let Some(&(k, id)) = self.machines[m].supervisor.as_ref().and_then(|s| s.processes.get(&process))
        else {
            return;
        };
        let Some(target) = self.machines[m].balancers[k].processes.get_mut(&id) else { return };
        match signal {
            Signal::Terminate => {
                let was_ready = target.phase == ProcessPhase::Ready;
                target.phase = ProcessPhase::ShuttingDown;
                if by_lease && was_ready {
                    self.check_lease(m, k);
                }
                self.update_availability(m, k, by_lease);
                let report_ms = self.draws.uniform((0.5, 10.0));
                self.event_queue.schedule_after(
                    nanos_from_ms(report_ms),
                    SimEvent::Process(m, k, ProcessId(id), ProcessEvent::ReportStatus),
                );
                let exit_ms = self.draws.uniform((150.0, 700.0));
                self.event_queue.schedule_after(
                    nanos_from_ms(exit_ms),
                    SimEvent::Process(m, k, ProcessId(id), ProcessEvent::Exit),
                );
            }
            Signal::Kill => self
                .event_queue
                .schedule_after(0, SimEvent::Process(m, k, ProcessId(id), ProcessEvent::Crash)),
            Signal::Reload => {
                let incarnation = self.machines[m].supervisor.as_ref().map_or(0, |s| s.incarnation);
                let reload_ms = self.draws.uniform((5.0, 100.0));
                self.event_queue.schedule_after(
                    nanos_from_ms(reload_ms),
                    SimEvent::SupervisorEvent(m, incarnation, Event::Ready(process)),
                );
            }
        }
    }

    /// Updates whether a balancer is available, after a change of its processes. `by_lease` tells whether a lease caused it.
    pub(super) fn update_availability(&mut self, m: usize, k: usize, by_lease: bool) {
        let now = self.event_queue.now();
        let balancer = &mut self.machines[m].balancers[k];
        let is_available = balancer.processes.values().any(|p| p.phase == ProcessPhase::Ready);
        if let (true, Some(since), true) = (is_available, balancer.unavailable_since, balancer.by_lease) {
            self.rollout.leased_time += now - since;
        }
        match (is_available, balancer.unavailable_since) {
            (true, Some(_)) => (balancer.unavailable_since, balancer.by_lease) = (None, false),
            (false, None) => (balancer.unavailable_since, balancer.by_lease) = (Some(now), by_lease),
            _ => {}
        }
    }

    /// Something happens to a process.
    pub(super) fn handle_process_event(
        &mut self,
        m: usize,
        k: usize,
        process: ProcessId,
        event: ProcessEvent,
    ) {
        let id = process.0;
        if !self.machines[m].balancers[k].processes.contains_key(&id) {
            return;
        }
        match event {
            ProcessEvent::Ready => self.process_ready(m, k, id),
            ProcessEvent::ReportStatus => self.report_status(m, k, id),
            ProcessEvent::Exit | ProcessEvent::Crash => {
                self.trace(|| format!("{} process {id} {event:?}", name(m, k)));
                self.process_exited(m, k, id, matches!(event, ProcessEvent::Exit));
            }
        }
    }

    /// A process has exited, by itself (`clean`) or by a crash.
    fn process_exited(&mut self, m: usize, k: usize, id: u64, clean: bool) {
        let Some(exited) = self.machines[m].balancers[k].processes.remove(&id) else { return };
        // A process that shuts down closes its session; otherwise the session expires.
        if let (true, Some(session)) = (clean, exited.session) {
            if self.is_reachable(SessionHolder::Balancer(m, k, ProcessId(id)))
                && exited.phase == ProcessPhase::ShuttingDown
            {
                self.store.apply(&Command::CloseSession { session });
                self.renewed_at.remove(&session);
                self.notify_watchers();
            }
        }
        self.update_availability(m, k, false);
        if let Some(incarnation) = self.machines[m].supervisor.as_ref().map(|s| s.incarnation) {
            let event = Event::Exited { process: exited.known_as, clean, status: "it ended".to_string() };
            self.event_queue
                .schedule_after(nanos_from_ms(1.0), SimEvent::SupervisorEvent(m, incarnation, event));
        }
    }

    /// A process becomes ready and takes the sockets of its predecessors over.
    fn process_ready(&mut self, m: usize, k: usize, id: u64) {
        let balancer = &mut self.machines[m].balancers[k];
        let Some(process) = balancer.processes.get_mut(&id) else { return };
        if process.phase != ProcessPhase::Starting {
            return;
        }
        process.phase = ProcessPhase::Ready;
        let text = format!("{} process {id} is ready", name(m, k));
        let known_as = process.known_as;
        let predecessors: Vec<u64> = balancer
            .processes
            .iter()
            .filter(|(&other, process)| other != id && process.phase == ProcessPhase::Ready)
            .map(|(&other, _)| other)
            .collect();
        for predecessor in predecessors {
            if let Some(process) = balancer.processes.get_mut(&predecessor) {
                process.phase = ProcessPhase::HandedOver;
            }
            let exit_ms = self.draws.uniform((500.0, 3_000.0));
            self.event_queue.schedule_after(
                nanos_from_ms(exit_ms),
                SimEvent::Process(m, k, ProcessId(predecessor), ProcessEvent::Exit),
            );
        }
        self.trace(|| text);
        self.update_availability(m, k, false);
        if let Some(incarnation) = self.machines[m].supervisor.as_ref().map(|s| s.incarnation) {
            self.event_queue.schedule_after(
                nanos_from_ms(1.0),
                SimEvent::SupervisorEvent(m, incarnation, Event::Ready(known_as)),
            );
        }
        let delay = self.draw_delay();
        self.event_queue
            .schedule_after(delay, SimEvent::RenewSession(SessionHolder::Balancer(m, k, ProcessId(id))));
    }

    /// A process reports its status, if it has a session and reaches the voters.
    pub(super) fn report_status(&mut self, m: usize, k: usize, id: u64) {
        if !self.is_reachable(SessionHolder::Balancer(m, k, ProcessId(id))) {
            return self.event_queue.schedule_after(
                nanos_from_ms(300.0),
                SimEvent::Process(m, k, ProcessId(id), ProcessEvent::ReportStatus),
            );
        }
        let Some(process) = self.machines[m].balancers[k].processes.get_mut(&id) else { return };
        let state = match process.phase {
            ProcessPhase::Starting | ProcessPhase::HandedOver => return,
            ProcessPhase::Ready => InstanceState::Ready,
            ProcessPhase::ShuttingDown => InstanceState::ShuttingDown,
        };
        let Some(session) = process.session.filter(|&s| process.reported != Some((s, state))) else { return };
        let sequence =
            process.reported.map_or(1, |(reported_in, _)| if reported_in == session { 2 } else { 1 });
        process.reported = Some((session, state));
        let status = InstanceStatus { state, session, pid: 1, build: process.build.0.clone() };
        let ops = vec![put_ephemeral(status_key(&name(m, k)), &status)];
        let transaction = Transaction { session, sequence, compares: vec![], ops };
        self.store.apply(&Command::Transaction(transaction));
        self.notify_watchers();
    }
}
