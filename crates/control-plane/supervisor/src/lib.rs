//! Process supervisor of several balancer instances on one machine, as a state machine without I/O.
//!
//! A [`Supervisor`] handles events of the processes of its instances ([`Event`]) and returns the actions that the caller
//! has to execute ([`Action`]). Instances are identified by their index; each process gets a [`ProcessId`] of its own, so
//! that a late event of an old process is never attributed to a new one. Times are durations since the start of the
//! supervisor.
//!
//! | module | contents |
//! | --- | --- |
//! | `policy` | timeouts and limits |
//! | `message` | events, commands and actions |
//! | `instance` | state of an instance and its processes |
//! | `crash_history` | restart backoff and crash loop detection |
//! | `rolling` | rolling restart, reload and handoff |
//! | `state_machine` | the supervisor itself |
//!
//! First starts are staggered. A process that crashes is restarted after an exponential backoff; after too many crashes
//! within a window the instance is in a crash loop and is not restarted. A rolling operation handles a few instances at
//! a time, begins with the next only while all others are ready, and aborts at the first failure.
mod crash_history;
mod instance;
mod message;
mod policy;
mod rolling;
mod state_machine;

pub use instance::{Instance, InstanceState};
pub use message::{Action, Command, Event, ProcessId, RollingAction, Signal};
pub use policy::SupervisorPolicy;
pub use rolling::RollProgress;
pub use state_machine::Supervisor;
