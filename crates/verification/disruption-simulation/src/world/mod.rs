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
use ::coordination::state_machine::{SessionId, StateMachine};
use disruption::conditional_write::put;
use disruption::keys::BUDGETS;
use disruption::{ConditionalWrite, DisruptionLease, ResourceId, Versioned};
use event::SimEvent;
use fleet_simulation::agenda::{nanos_from_ms, EventQueue, Nanos};
use fleet_simulation::draw::RandomStream;
use rollout::BuildId;
use state::{Balancer, Machine, SupervisorProcess};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time to live of sessions.
const TTL: Nanos = 5_000_000_000;
/// Time after the last fault within which everything must have ended, in milliseconds.
const RECOVERY_MS: f64 = 1_500_000.0;
/// Time after the last planned event before a run may end, in milliseconds.
const MIN_RECOVERY_MS: f64 = 12_000.0;
/// Maximum delay of the start of a supervisor, in milliseconds.
const MAX_START_MS: f64 = 500.0;
/// Interval at which a partitioned client tries to reconnect, in milliseconds.
const RECONNECT_MS: f64 = 200.0;
/// Maximum number of steps; a run with more does not terminate.
const MAX_STEPS: u64 = 20_000_000;

fn millis(nanos: Nanos) -> u64 {
    nanos / 1_000_000
}

fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}

struct World {
    event_queue: EventQueue<SimEvent>,
    plan: Plan,
    variant: Variant,
    draws: RandomStream,
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
        event_queue: EventQueue::default(),
        plan: plan.clone(),
        variant,
        draws: RandomStream::new(plan.seed, "world", 0),
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
        self.operator_session = self.open_session("operator");
        let write = ConditionalWrite::unconditional(vec![put(BUDGETS.into(), &self.plan.budgets)]);
        self.transact(self.operator_session, write);
        self.schedule_plan();
        let end = nanos_from_ms(FAULTS_END_MS + MAX_FAULT_MS + RECOVERY_MS);
        let mut steps = 0;
        while let Some(event) = self.event_queue.pop_next() {
            steps += 1;
            if self.event_queue.now() > end || self.is_done() {
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

    /// Schedules the events of the plan.
    fn schedule_plan(&mut self) {
        for m in 0..self.plan.machines {
            let at = self.draws.uniform((0.0, MAX_START_MS));
            self.event_queue.schedule_at(nanos_from_ms(at), SimEvent::StartSupervisor(m));
        }
        for (at, machine, action) in self.plan.rolls.clone() {
            self.event_queue.schedule_at(at, SimEvent::StartRoll(machine, action));
        }
        for k in 0..self.plan.faults.len() {
            self.event_queue.schedule_at(self.plan.faults[k].at, SimEvent::FaultBegins(k));
        }
        self.schedule_rollout();
    }

    /// Whether all planned events are over and nothing is unfinished.
    fn is_done(&self) -> bool {
        let now = self.event_queue.now();
        let last = self.plan.faults.iter().map(|fault| fault.at + fault.duration).max().unwrap_or(0);
        let rolls = self.plan.rolls.iter().map(|r| r.0).max().unwrap_or(0);
        now > last.max(rolls) + nanos_from_ms(MIN_RECOVERY_MS) && self.unfinished().is_empty()
    }

    /// What must have ended after the last fault and has not.
    fn unfinished(&self) -> Vec<String> {
        let mut unfinished = Vec::new();
        let snapshot = self.fleet_snapshot();
        for (m, machine) in self.machines.iter().enumerate() {
            match &machine.supervisor {
                Some(supervisor) if supervisor.state_machine.rolling().is_some() => {
                    unfinished.push(format!("m{m} rolls: {:?}", supervisor.state_machine.rolling()))
                }
                None => unfinished.push(format!("m{m} has no supervisor")),
                _ => {}
            }
            for (k, balancer) in machine.balancers.iter().enumerate() {
                if balancer.unavailable_since.is_some() {
                    unfinished.push(format!("{} is out", name(m, k)));
                }
            }
        }
        let lease = |(id, lease): (&ResourceId, &Versioned<DisruptionLease>)| {
            format!("leave for {id}: {:?}", lease.value)
        };
        unfinished.extend(snapshot.leases.iter().map(lease));
        unfinished.extend(snapshot.requests.values().map(|request| format!("asked: {:?}", request.value)));
        unfinished.extend(self.unfinished_rollout());
        unfinished
    }

    fn check_finished(&mut self) {
        let unfinished = self.unfinished();
        if !unfinished.is_empty() {
            let text = format!("not ended when all was healed: {}", unfinished.join("; "));
            self.report.violations.push(text);
        }
    }

    /// Adds a step to the trace.
    fn trace(&mut self, step: impl FnOnce() -> String) {
        let step = format!("{} ms {}", millis(self.event_queue.now()), step());
        self.report.add_step(step);
    }

    /// Draws the delay of a message.
    fn draw_delay(&mut self) -> Nanos {
        let is_slow = self.draws.chance(0.02);
        nanos_from_ms(if is_slow {
            self.draws.uniform((50.0, 900.0))
        } else {
            self.draws.uniform((0.5, 12.0))
        })
    }

    /// Handles an event, or delays it while the supervisor that handles it is stopped.
    fn dispatch(&mut self, event: SimEvent) {
        let paused_until = event.handling_supervisor().and_then(|m| self.paused_until(m));
        if let Some(until) = paused_until {
            return self.event_queue.schedule_at(until, event);
        }
        match event {
            SimEvent::StartSupervisor(m) => self.start_supervisor(m),
            SimEvent::Timeout(m, incarnation) => self.supervisor_timeout(m, incarnation),
            SimEvent::SnapshotChanged(m, incarnation) => self.snapshot_changed(m, incarnation),
            SimEvent::RequestArrives(m, incarnation, write) => self.request_arrives(m, incarnation, write),
            SimEvent::ResponseArrives(m, incarnation, succeeded, is_read) => {
                self.response_arrives(m, incarnation, succeeded, is_read)
            }
            SimEvent::RenewSession(holder) => self.renew_session(holder),
            SimEvent::SessionRenewed(holder, sent) => self.session_renewed(holder, sent),
            SimEvent::SessionExpires(session, renewed_at) => self.session_expires(session, renewed_at),
            SimEvent::Process(m, k, process, event) => self.handle_process_event(m, k, process, event),
            SimEvent::SupervisorEvent(m, incarnation, event) => {
                if self.supervisor(m, incarnation).is_some() {
                    self.handle_supervisor_event(m, event);
                }
            }
            SimEvent::LeaseGranted(m, incarnation, lease) => {
                if self.supervisor(m, incarnation).is_some() {
                    self.lease_granted(m, &lease);
                }
            }
            SimEvent::StartRoll(m, action) => self.start_roll(m, action),
            SimEvent::PollRollout(m, incarnation) => self.poll_rollout(m, incarnation),
            SimEvent::RolloutWriteArrives(m, incarnation, write, purpose) => {
                self.rollout_write_arrives(m, incarnation, write, purpose)
            }
            SimEvent::LeaseConfirmed(m, incarnation, lease, snapshot) => {
                self.rollout_lease_confirmed(m, incarnation, &lease, snapshot)
            }
            SimEvent::ReportMetrics(m) => self.report_metrics(m),
            SimEvent::StartRollout => self.start_rollout(),
            SimEvent::OperatorCommand(k) => self.operator_command(k),
            SimEvent::FaultBegins(k) => self.begin_fault(k),
            SimEvent::FaultEnds(k) => self.end_fault(k),
        }
    }

    /// Position of a balancer of a machine, by its name.
    fn balancer_of(&self, m: usize, balancer: &str) -> Option<usize> {
        (0..self.plan.balancers_per_machine).find(|&k| name(m, k) == balancer)
    }

    /// Until when a supervisor is stopped; its events are delayed until then.
    fn paused_until(&self, m: usize) -> Option<Nanos> {
        let until = self.machines[m].paused_until;
        (self.event_queue.now() < until).then_some(until)
    }

    /// The supervisor process of a machine, if it is still this incarnation.
    fn supervisor(&mut self, m: usize, incarnation: u64) -> Option<&mut SupervisorProcess> {
        self.machines[m].supervisor.as_mut().filter(|s| s.incarnation == incarnation)
    }
}
