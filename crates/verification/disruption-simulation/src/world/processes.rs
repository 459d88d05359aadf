//! Processes of balancers.
use super::event::{ProcessEvent, SessionHolder, SimEvent};
use super::state::{BalancerProcess, ProcessPhase};
use super::{name, World};
use crate::plan::Quality;
use coordination::state_machine::{Command, Op, Transaction};
use disruption::keys::status_key;
use disruption::{InstanceState, InstanceStatus};
use fleet_simulation::agenda::ms;
use supervisor::{Event, ProcessId, Signal};

impl World {
    pub(super) fn start_process(&mut self, m: usize, k: usize, process: ProcessId) {
        self.process_count += 1;
        let own = self.process_count;
        let build = self.machines[m].assigned_builds[k].clone();
        let bad = self.quality_of(&build);
        let proc = BalancerProcess {
            phase: ProcessPhase::Starting,
            session: None,
            reported: None,
            build,
            known_as: process,
        };
        self.machines[m].balancers[k].processes.insert(own, proc);
        if let Some(supervisor) = &mut self.machines[m].supervisor {
            supervisor.processes.insert(process, (k, own));
        }
        let after = self.draws.between((80.0, 900.0));
        let course = if self.draws.chance(0.01) { ProcessEvent::Crash } else { ProcessEvent::Ready };
        match bad {
            Some(Quality::Never) => {}
            Some(Quality::Crashes) => {
                self.agenda.after(ms(after), SimEvent::Process(m, k, ProcessId(own), ProcessEvent::Crash));
            }
            _ => self.agenda.after(ms(after), SimEvent::Process(m, k, ProcessId(own), course)),
        }
        self.check_bad_instances();
        self.update_availability(m, k, false);
    }

    pub(super) fn signal(&mut self, m: usize, process: ProcessId, signal: Signal, by_leave: bool) {
        let Some(&(k, own)) = self.machines[m].supervisor.as_ref().and_then(|s| s.processes.get(&process))
        else {
            return;
        };
        let Some(proc) = self.machines[m].balancers[k].processes.get_mut(&own) else { return };
        match signal {
            Signal::Terminate => {
                let serving = proc.phase == ProcessPhase::Ready;
                proc.phase = ProcessPhase::ShuttingDown;
                if by_leave && serving {
                    self.check_lease(m, k);
                }
                self.update_availability(m, k, by_leave);
                let says = self.draws.between((0.5, 10.0));
                self.agenda
                    .after(ms(says), SimEvent::Process(m, k, ProcessId(own), ProcessEvent::ReportStatus));
                let ends = self.draws.between((150.0, 700.0));
                self.agenda.after(ms(ends), SimEvent::Process(m, k, ProcessId(own), ProcessEvent::Exit));
            }
            Signal::Kill => {
                self.agenda.after(0, SimEvent::Process(m, k, ProcessId(own), ProcessEvent::Crash))
            }
            Signal::Reload => {
                let incarnation = self.machines[m].supervisor.as_ref().map_or(0, |s| s.incarnation);
                let after = self.draws.between((5.0, 100.0));
                self.agenda
                    .after(ms(after), SimEvent::SupervisorEvent(m, incarnation, Event::Ready(process)));
            }
        }
    }

    /// Whether a balancer serves.
    pub(super) fn update_availability(&mut self, m: usize, k: usize, by_lease: bool) {
        let now = self.agenda.now();
        let balancer = &mut self.machines[m].balancers[k];
        let serves = balancer.processes.values().any(|p| p.phase == ProcessPhase::Ready);
        if let (true, Some(since), true) = (serves, balancer.unavailable_since, balancer.by_lease) {
            self.rollout.leased_time += now - since;
        }
        match (serves, balancer.unavailable_since) {
            (true, Some(_)) => (balancer.unavailable_since, balancer.by_lease) = (None, false),
            (false, None) => (balancer.unavailable_since, balancer.by_lease) = (Some(now), by_lease),
            _ => {}
        }
    }

    pub(super) fn handle_process_event(
        &mut self,
        m: usize,
        k: usize,
        process: ProcessId,
        event: ProcessEvent,
    ) {
        let own = process.0;
        if !self.machines[m].balancers[k].processes.contains_key(&own) {
            return;
        }
        match event {
            ProcessEvent::Ready => self.process_ready(m, k, own),
            ProcessEvent::ReportStatus => self.report_status(m, k, own),
            ProcessEvent::Exit | ProcessEvent::Crash => {
                self.trace(|| format!("{} process {own} {event:?}", name(m, k)));
                let clean = matches!(event, ProcessEvent::Exit);
                let Some(proc) = self.machines[m].balancers[k].processes.remove(&own) else { return };
                // By its own will it closes its session; else that ends by itself.
                if let (true, Some(session)) = (clean, proc.session) {
                    if self.is_reachable(SessionHolder::Balancer(m, k, process))
                        && proc.phase == ProcessPhase::ShuttingDown
                    {
                        self.store.apply(&Command::CloseSession { session });
                        self.renewed_at.remove(&session);
                        self.notify_watchers();
                    }
                }
                self.update_availability(m, k, false);
                let status = "it ended".to_string();
                if let Some(incarnation) = self.machines[m].supervisor.as_ref().map(|s| s.incarnation) {
                    let ended = Event::Exited { process: proc.known_as, clean, status };
                    self.agenda.after(ms(1.0), SimEvent::SupervisorEvent(m, incarnation, ended));
                }
            }
        }
    }

    pub(super) fn process_ready(&mut self, m: usize, k: usize, own: u64) {
        let balancer = &mut self.machines[m].balancers[k];
        let Some(proc) = balancer.processes.get_mut(&own) else { return };
        if proc.phase != ProcessPhase::Starting {
            return;
        }
        proc.phase = ProcessPhase::Ready;
        let said = format!("{} process {own} is ready", name(m, k));
        let known = proc.known_as;
        // Those before it have passed their sockets on to it.
        let old: Vec<u64> = balancer
            .processes
            .iter()
            .filter(|(&o, p)| o != own && p.phase == ProcessPhase::Ready)
            .map(|(&o, _)| o)
            .collect();
        for o in old {
            if let Some(p) = balancer.processes.get_mut(&o) {
                p.phase = ProcessPhase::HandedOver;
            }
            let ends = self.draws.between((500.0, 3_000.0));
            self.agenda.after(ms(ends), SimEvent::Process(m, k, ProcessId(o), ProcessEvent::Exit));
        }
        self.trace(|| said);
        self.update_availability(m, k, false);
        if let Some(incarnation) = self.machines[m].supervisor.as_ref().map(|s| s.incarnation) {
            self.agenda.after(ms(1.0), SimEvent::SupervisorEvent(m, incarnation, Event::Ready(known)));
        }
        let delay = self.draw_delay();
        self.agenda.after(delay, SimEvent::RenewSession(SessionHolder::Balancer(m, k, ProcessId(own))));
    }

    /// Says in the record how it stands, if it has a session and reaches the voters.
    pub(super) fn report_status(&mut self, m: usize, k: usize, own: u64) {
        if !self.is_reachable(SessionHolder::Balancer(m, k, ProcessId(own))) {
            return self
                .agenda
                .after(ms(300.0), SimEvent::Process(m, k, ProcessId(own), ProcessEvent::ReportStatus));
        }
        let Some(proc) = self.machines[m].balancers[k].processes.get_mut(&own) else { return };
        let state = match proc.phase {
            ProcessPhase::Starting | ProcessPhase::HandedOver => return,
            ProcessPhase::Ready => InstanceState::Ready,
            ProcessPhase::ShuttingDown => InstanceState::ShuttingDown,
        };
        let Some(session) = proc.session.filter(|&s| proc.reported != Some((s, state))) else { return };
        let number = proc.reported.map_or(1, |(of, _)| if of == session { 2 } else { 1 });
        proc.reported = Some((session, state));
        let said = InstanceStatus { state, session, pid: 1, build: proc.build.0.clone() };
        let value = serde_json::to_string(&said).unwrap_or_default();
        let then = vec![Op::Put { key: status_key(&name(m, k)), value, ephemeral: true }];
        let write = Transaction { session, sequence: number, compares: vec![], ops: then };
        self.store.apply(&Command::Transaction(write));
        self.notify_watchers();
    }
}
