//! Faults of machines, supervisors, links and voters.
use super::event::{ProcessEvent, SimEvent};
use super::World;
use crate::plan::FaultKind;
use fleet_simulation::agenda::nanos_from_ms;
use supervisor::ProcessId;

impl World {
    /// The fault at this position of the plan begins.
    pub(super) fn begin_fault(&mut self, k: usize) {
        let fault = self.plan.faults[k];
        self.trace(|| format!("{fault:?}"));
        let m = fault.machine;
        match fault.kind {
            FaultKind::PowerLoss => {
                self.kill_supervisor(m);
                self.machines[m].down += 1;
                for k in 0..self.plan.balancers_per_machine {
                    self.machines[m].balancers[k].processes.clear();
                    self.update_availability(m, k, false);
                }
            }
            FaultKind::SupervisorCrash => {
                self.kill_supervisor(m);
                self.machines[m].down += 1;
            }
            FaultKind::SupervisorPause => {
                let until = self.event_queue.now() + fault.duration;
                let paused_until = &mut self.machines[m].paused_until;
                *paused_until = until.max(*paused_until);
            }
            FaultKind::PauseOnGrant => self.machines[m].pause_on_grant = Some(fault.duration),
            FaultKind::SupervisorPartition => self.machines[m].supervisor_partitions += 1,
            FaultKind::MachinePartition => self.machines[m].machine_partitions += 1,
            FaultKind::CoordinationOutage => self.coordination_outages += 1,
            FaultKind::BalancerCrash(k) => {
                let ids: Vec<u64> = self.machines[m].balancers[k].processes.keys().copied().collect();
                for id in ids {
                    self.handle_process_event(m, k, ProcessId(id), ProcessEvent::Crash);
                }
            }
        }
        self.event_queue.schedule_after(fault.duration, SimEvent::FaultEnds(k));
    }

    fn kill_supervisor(&mut self, m: usize) {
        if let Some(supervisor) = self.machines[m].supervisor.take() {
            self.report.rolls_interrupted += u64::from(supervisor.is_rolling);
        }
    }

    /// The fault at this position of the plan ends.
    pub(super) fn end_fault(&mut self, k: usize) {
        let fault = self.plan.faults[k];
        self.trace(|| format!("over: {fault:?}"));
        let machine = &mut self.machines[fault.machine];
        match fault.kind {
            FaultKind::PowerLoss | FaultKind::SupervisorCrash => {
                machine.down -= 1;
                if machine.down == 0 {
                    self.event_queue
                        .schedule_after(nanos_from_ms(50.0), SimEvent::StartSupervisor(fault.machine));
                }
            }
            FaultKind::SupervisorPartition => machine.supervisor_partitions -= 1,
            FaultKind::MachinePartition => machine.machine_partitions -= 1,
            FaultKind::CoordinationOutage => self.coordination_outages -= 1,
            FaultKind::SupervisorPause | FaultKind::PauseOnGrant | FaultKind::BalancerCrash(_) => {}
        }
    }
}
