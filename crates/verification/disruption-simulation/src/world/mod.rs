//! A run of the simulation.
mod coordination;
mod event;
mod faults;
mod leases;
mod processes;
mod report;
mod rollout_operator;
mod rollouts;
mod state;
mod supervisors;

pub use report::Report;

use crate::plan::{Plan, Variant, FAULTS_END_MS, MAX_FAULT_MS};
use ::coordination::limits::Limits;
use ::coordination::state_machine::{Command, Op, SessionId, StateMachine, Transaction};
use disruption::keys::BUDGETS;
use event::{SessionHolder, SimEvent};
use fleet_simulation::agenda::{ms, Agenda, Nanos};
use fleet_simulation::draw::Draws;
use rollout::BuildId;
use state::{Balancer, Machine, SupervisorProcess};
use std::collections::BTreeMap;
use std::time::Duration;
use supervisor::Event;

/// Time to live of sessions.
const TTL: Nanos = 5_000_000_000;
/// Time after the last fault within which everything must have ended, in milliseconds.
const RECOVERY_MS: f64 = 1_500_000.0;
/// Maximum number of steps; a run with more does not terminate.
const MAX_STEPS: u64 = 20_000_000;

fn millis(nanos: Nanos) -> u64 {
    nanos / 1_000_000
}

fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}

struct World {
    agenda: Agenda<SimEvent>,
    plan: Plan,
    variant: Variant,
    draws: Draws,
    store: StateMachine,
    /// When each session was last renewed, by the store's clock.
    renewed_at: BTreeMap<SessionId, Nanos>,
    /// Number of faults that keep the voters from answering.
    coordination_outages: u32,
    machines: Vec<Machine>,
    /// Number of supervisors started.
    incarnations: u64,
    /// Number of processes started.
    process_count: u64,
    /// Number of sessions opened.
    nonce_count: u64,
    operator_session: SessionId,
    rollout: rollouts::RolloutProgress,
    report: Report,
}

/// Simulates a run.
pub fn play(plan: &Plan, variant: Variant) -> Report {
    let machine = || Machine {
        balancers: (0..plan.balancers_per_machine).map(|_| Balancer::default()).collect(),
        assigned_builds: vec![BuildId("old".into()); plan.balancers_per_machine],
        ..Machine::default()
    };
    let mut world = World {
        agenda: Agenda::default(),
        plan: plan.clone(),
        variant,
        draws: Draws::new(plan.seed, "world", 0),
        store: StateMachine::new(Limits::default()),
        renewed_at: BTreeMap::new(),
        coordination_outages: 0,
        machines: (0..plan.machines).map(|_| machine()).collect(),
        incarnations: 0,
        process_count: 0,
        nonce_count: 0,
        operator_session: 0,
        rollout: rollouts::RolloutProgress::default(),
        report: Report::default(),
    };
    world.run();
    world.report
}

/// Name of a balancer.
fn name(machine: usize, balancer: usize) -> String {
    format!("m{machine}b{balancer}")
}

/// Zone of a machine.
fn zone(machine: usize) -> &'static str {
    ["a", "b", "c"][machine % 3]
}

impl World {
    fn run(&mut self) {
        let budgets = serde_json::to_string(&self.plan.budgets).unwrap_or_default();
        let session = self.open_session("operator");
        self.operator_session = session;
        let put = Op::Put { key: BUDGETS.into(), value: budgets, ephemeral: false };
        self.store.apply(&Command::Transaction(Transaction {
            session,
            sequence: 1,
            compares: vec![],
            ops: vec![put],
        }));
        for m in 0..self.plan.machines {
            let at = self.draws.between((0.0, 500.0));
            self.agenda.at(ms(at), SimEvent::StartSupervisor(m));
        }
        for (at, machine, roll) in self.plan.rolls.clone() {
            self.agenda.at(at, SimEvent::StartRoll(machine, roll));
        }
        for k in 0..self.plan.faults.len() {
            self.agenda.at(self.plan.faults[k].at, SimEvent::FaultBegins(k));
        }
        self.schedule_rollout();
        let end = ms(FAULTS_END_MS + MAX_FAULT_MS + RECOVERY_MS);
        let mut steps = 0;
        while let Some(event) = self.agenda.turn() {
            steps += 1;
            if self.agenda.now() > end || self.is_done() {
                break;
            }
            if steps > MAX_STEPS {
                self.report.violations.push("it goes in a circle".into());
                return;
            }
            self.dispatch(event);
            if !self.report.violations.is_empty() {
                return;
            }
        }
        self.check_finished();
    }

    /// Whether all is done that this run has.
    fn is_done(&self) -> bool {
        let now = self.agenda.now();
        let last = self.plan.faults.iter().map(|fault| fault.at + fault.duration).max().unwrap_or(0);
        let rolls = self.plan.rolls.iter().map(|r| r.0).max().unwrap_or(0);
        now > last.max(rolls) + ms(12_000.0) && self.unfinished().is_empty()
    }

    /// What is not as it should be once all is healed.
    fn unfinished(&self) -> Vec<String> {
        let mut all = Vec::new();
        let board = self.fleet_snapshot();
        for (m, machine) in self.machines.iter().enumerate() {
            match &machine.supervisor {
                Some(supervisor) if supervisor.state_machine.rolling().is_some() => {
                    all.push(format!("m{m} rolls: {:?}", supervisor.state_machine.rolling()))
                }
                None => all.push(format!("m{m} has no supervisor")),
                _ => {}
            }
            for (k, b) in machine.balancers.iter().enumerate() {
                if b.unavailable_since.is_some() {
                    all.push(format!("{} is out", name(m, k)));
                }
            }
        }
        all.extend(board.leases.iter().map(|(id, l)| format!("leave for {id}: {:?}", l.value)));
        all.extend(board.requests.values().map(|a| format!("asked: {:?}", a.value)));
        all.extend(self.unfinished_rollout());
        all
    }

    fn check_finished(&mut self) {
        let left = self.unfinished();
        if !left.is_empty() {
            self.report.violations.push(format!("not ended when all was healed: {}", left.join("; ")));
        }
    }

    /// Adds a step to the trace.
    fn trace(&mut self, step: impl FnOnce() -> String) {
        let step = format!("{} ms {}", millis(self.agenda.now()), step());
        self.report.add_step(step);
    }

    /// Draws the delay of a message.
    fn draw_delay(&mut self) -> Nanos {
        let slow = self.draws.chance(0.02);
        ms(if slow { self.draws.between((50.0, 900.0)) } else { self.draws.between((0.5, 12.0)) })
    }

    fn dispatch(&mut self, event: SimEvent) {
        let paused_until = event.handling_supervisor().and_then(|m| self.paused_until(m));
        if let Some(until) = paused_until {
            return self.agenda.at(until, event);
        }
        match event {
            SimEvent::StartSupervisor(m) => self.start_supervisor(m),
            SimEvent::Timeout(m, incarnation) => {
                let now = self.agenda.now();
                let Some(supervisor) = self.supervisor(m, incarnation) else { return };
                if supervisor.wake_at.is_none_or(|at| now >= at) {
                    supervisor.wake_at = None;
                }
                self.handle_supervisor_event(m, Event::Timeout);
            }
            SimEvent::SnapshotChanged(m, incarnation) => {
                if !self.is_reachable(SessionHolder::Supervisor(m, incarnation)) {
                    // It hears of it when it reaches them again.
                    return self.agenda.after(ms(200.0), SimEvent::SnapshotChanged(m, incarnation));
                }
                let mut board = match self.supervisor(m, incarnation) {
                    Some(supervisor) => std::mem::take(&mut supervisor.fleet),
                    None => return,
                };
                self.catch_up(&mut board);
                if let Some(supervisor) = self.supervisor(m, incarnation) {
                    (supervisor.fleet, supervisor.is_notified) = (board, false);
                }
                self.step_lease_agent(m);
            }
            SimEvent::RequestArrives(m, incarnation, writes) => self.request_arrives(m, incarnation, writes),
            SimEvent::ResponseArrives(m, incarnation, done, look) => {
                self.response_arrives(m, incarnation, done, look)
            }
            SimEvent::RenewSession(holder) => self.renew_session(holder),
            SimEvent::SessionRenewed(holder, sent) => self.session_renewed(holder, sent),
            SimEvent::SessionExpires(session, renewed) => {
                if self.renewed_at.get(&session) == Some(&renewed) {
                    self.renewed_at.remove(&session);
                    self.store.apply(&Command::ExpireSession { session });
                    self.notify_watchers();
                }
            }
            SimEvent::Process(m, k, process, course) => self.handle_process_event(m, k, process, course),
            SimEvent::SupervisorEvent(m, incarnation, event) => {
                if self.supervisor(m, incarnation).is_some() {
                    self.handle_supervisor_event(m, event);
                }
            }
            SimEvent::LeaseGranted(m, incarnation, given) => {
                if self.supervisor(m, incarnation).is_some() {
                    self.lease_granted(m, &given);
                }
            }
            SimEvent::StartRoll(m, roll) => self.start_roll(m, roll),
            SimEvent::PollRollout(m, incarnation) => self.poll_rollout(m, incarnation),
            SimEvent::RolloutWriteArrives(m, incarnation, plan, said) => {
                self.rollout_write_arrives(m, incarnation, plan, said)
            }
            SimEvent::LeaseConfirmed(m, incarnation, given, board) => {
                self.rollout_lease_confirmed(m, incarnation, &given, board)
            }
            SimEvent::ReportMetrics(m) => self.report_metrics(m),
            SimEvent::StartRollout => self.start_rollout(),
            SimEvent::OperatorCommand(k) => self.operator_command(k),
            SimEvent::FaultBegins(k) => self.begin_fault(k),
            SimEvent::FaultEnds(k) => self.end_fault(k),
        }
    }

    /// What a stopped supervisor would do now it does when it goes on.
    /// Position of a balancer of a machine, by its name.
    fn balancer_of(&self, m: usize, balancer: &str) -> Option<usize> {
        (0..self.plan.balancers_per_machine).find(|&k| name(m, k) == balancer)
    }

    fn paused_until(&self, m: usize) -> Option<Nanos> {
        let until = self.machines[m].paused_until;
        (self.agenda.now() < until).then_some(until)
    }

    fn supervisor(&mut self, m: usize, incarnation: u64) -> Option<&mut SupervisorProcess> {
        self.machines[m].supervisor.as_mut().filter(|s| s.incarnation == incarnation)
    }
}
