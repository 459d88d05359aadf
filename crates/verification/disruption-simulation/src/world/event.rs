//! Events of the simulation. Machines and balancers are identified by their positions, supervisors by machine and incarnation.
use coordination::state_machine::SessionId;
use disruption::lease_agent::GrantedLease;
use disruption::ConditionalWrite;
use fleet_simulation::agenda::Nanos;
use rollout::{InstanceReport, RolloutSnapshot};
use std::collections::BTreeMap;
use supervisor::{Event, ProcessId, RollingAction};

/// An event.
pub(super) enum SimEvent {
    /// The supervisor of a machine starts.
    StartSupervisor(usize),
    /// A timeout of a supervisor's state machine expires.
    Timeout(usize, u64),
    /// A change of the store reaches a supervisor.
    SnapshotChanged(usize, u64),
    /// A request of a lease agent reaches the store; `None` for a consistent read.
    RequestArrives(usize, u64, Option<ConditionalWrite>),
    /// The response reaches the lease agent: whether the request succeeded, and whether it was a consistent read.
    ResponseArrives(usize, u64, bool, bool),
    /// A session is to be opened or renewed.
    RenewSession(SessionHolder),
    /// A renewal that was sent at this time reaches the store.
    SessionRenewed(SessionHolder, Nanos),
    /// A session expires unless it was renewed after this time.
    SessionExpires(SessionId, Nanos),
    /// Something happens to a process of a balancer.
    Process(usize, usize, ProcessId, ProcessEvent),
    /// An event reaches a supervisor's state machine.
    SupervisorEvent(usize, u64, Event),
    /// A lease agent notifies its supervisor of a lease.
    LeaseGranted(usize, u64, GrantedLease),
    /// An operator starts a rolling operation.
    StartRoll(usize, RollingAction),
    /// A supervisor advances the rollout.
    PollRollout(usize, u64),
    /// A write of a supervisor for the rollout reaches the store.
    RolloutWriteArrives(usize, u64, ConditionalWrite, RolloutWrite),
    /// The rollout was read after the grant of a lease; `None` if it could not be.
    LeaseConfirmed(usize, u64, GrantedLease, Option<Box<RolloutSnapshot>>),
    /// The balancers of a machine report their metrics.
    ReportMetrics(usize),
    /// An operator starts the rollout.
    StartRollout,
    /// An operator gives the command at this position of the plan, or repairs a paused rollout if there is none.
    OperatorCommand(usize),
    /// The fault at this position of the plan begins.
    FaultBegins(usize),
    /// It ends.
    FaultEnds(usize),
}

impl SimEvent {
    /// Machine whose supervisor process handles the event.
    pub(super) fn handling_supervisor(&self) -> Option<usize> {
        match self {
            SimEvent::Timeout(m, _)
            | SimEvent::SnapshotChanged(m, _)
            | SimEvent::ResponseArrives(m, ..)
            | SimEvent::SupervisorEvent(m, ..)
            | SimEvent::LeaseGranted(m, ..)
            | SimEvent::PollRollout(m, _)
            | SimEvent::LeaseConfirmed(m, ..)
            | SimEvent::StartRoll(m, _)
            | SimEvent::RenewSession(SessionHolder::Supervisor(m, _))
            | SimEvent::SessionRenewed(SessionHolder::Supervisor(m, _), _) => Some(*m),
            _ => None,
        }
    }
}

/// Holder of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionHolder {
    /// Supervisor: machine and incarnation.
    Supervisor(usize, u64),
    /// Process of a balancer: machine, balancer and process.
    Balancer(usize, usize, ProcessId),
}

/// Event of a balancer's process.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProcessEvent {
    /// It becomes ready.
    Ready,
    /// It reports its status.
    ReportStatus,
    /// It exits by itself.
    Exit,
    /// It crashes.
    Crash,
}

/// What a write is for.
pub(super) enum RolloutWrite {
    /// Reports under a session.
    Reports(SessionId, BTreeMap<String, InstanceReport>),
    /// The next state.
    State,
}
