//! Simulated machines, supervisors and processes.
use super::rollouts::SupervisorRollouts;
use coordination::state_machine::SessionId;
use disruption::lease_agent::LeaseAgent;
use disruption::{FleetSnapshot, InstanceState};
use fleet_simulation::agenda::Nanos;
use rollout::BuildId;
use std::collections::BTreeMap;
use supervisor::{ProcessId, Supervisor};

/// Phase of a balancer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessPhase {
    /// It does not serve yet.
    Starting,
    /// It serves.
    Ready,
    /// It was told to exit.
    ShuttingDown,
    /// Its sockets belong to its successor.
    HandedOver,
}

/// A process of a balancer.
pub(super) struct BalancerProcess {
    pub phase: ProcessPhase,
    pub session: Option<SessionId>,
    /// The state that it reported last, with its session.
    pub reported: Option<(SessionId, InstanceState)>,
    pub build: BuildId,
    /// Id that the current supervisor has given it; each supervisor has ids of its own.
    pub known_as: ProcessId,
}

/// A balancer.
#[derive(Default)]
pub(super) struct Balancer {
    /// Processes, by an id that is unique in the run.
    pub processes: BTreeMap<u64, BalancerProcess>,
    /// Since when no process is ready.
    pub unavailable_since: Option<Nanos>,
    /// Whether that was caused under a lease.
    pub by_lease: bool,
}

/// A process of a supervisor.
pub(super) struct SupervisorProcess {
    pub incarnation: u64,
    pub lease_agent: LeaseAgent,
    pub state_machine: Supervisor,
    pub fleet: FleetSnapshot,
    /// Session, and until when it is active.
    pub session: Option<(SessionId, Nanos)>,
    /// Whether a request of the lease agent is in flight.
    pub is_busy: bool,
    /// Whether a notification of a change is in flight.
    pub is_notified: bool,
    pub wake_at: Option<Nanos>,
    /// Whether a rolling operation is in progress.
    pub is_rolling: bool,
    pub rollouts: SupervisorRollouts,
    /// Known processes: balancer and id in the run, by the supervisor's own id.
    pub processes: BTreeMap<ProcessId, (usize, u64)>,
}

/// A machine.
#[derive(Default)]
pub(super) struct Machine {
    pub supervisor: Option<SupervisorProcess>,
    pub balancers: Vec<Balancer>,
    /// Builds that the balancers' next processes are started from; stored on disk.
    pub assigned_builds: Vec<BuildId>,
    /// Number of faults that keep the supervisor from running.
    pub down: u32,
    pub supervisor_partitions: u32,
    pub machine_partitions: u32,
    /// The supervisor is stopped until then.
    pub paused_until: Nanos,
    /// Time for which the supervisor is stopped when it is notified of its next lease.
    pub pause_on_grant: Option<Nanos>,
}
