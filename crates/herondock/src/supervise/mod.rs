//! `herondock fleet`: supervisor of several instances on one machine, and the commands to it.
//!
//! The crate `supervisor` makes the decisions; this module carries out its actions. Instances are separate processes that
//! outlive the supervisor: the next supervisor finds them by their pid files, which are locked while they run.
//!
//! | module | contents |
//! | --- | --- |
//! | `event_loop` | opens the supervisor's resources and waits for events |
//! | `driver` | passes events to the state machine and carries out its actions |
//! | `loop_event` | events of the supervisor's loop |
//! | `coordination_clients` | clients of the coordination service |
//! | `leases` | disruption leases, the published balancers, and the rollout's actions |
//! | `commands` | handling of operator commands |
//! | `control` | client for operator commands |
//! | `process` | processes of instances and their notifications |
//! | `rollouts` | builds that instances are started from |
//! | `error` | errors |
mod commands;
mod control;
mod coordination_clients;
mod driver;
mod error;
mod event_loop;
mod leases;
mod loop_event;
mod process;
mod rollouts;

pub use control::{send_command, status};
pub use event_loop::run;

use config::supervisor::{FleetConfig, InstanceConfig};
use std::path::PathBuf;

/// Paths of the files in a fleet's folder.
struct FleetPaths<'a>(&'a FleetConfig);

impl FleetPaths<'_> {
    fn file(&self, name: &str) -> PathBuf {
        self.0.folder.join(name)
    }

    /// Lock file of the supervisor.
    fn lock(&self) -> PathBuf {
        self.file("fleet.lock")
    }

    /// Control socket of the supervisor.
    fn control(&self) -> PathBuf {
        self.file("fleet.sock")
    }

    /// Socket at which instances send their notifications.
    fn notify(&self) -> PathBuf {
        self.file("notify.sock")
    }

    /// Pid file of an instance.
    fn pid_file(&self, instance: &InstanceConfig) -> PathBuf {
        self.file(&format!("{}.pid", instance.name))
    }

    /// Socket at which an instance hands its listening sockets off.
    fn handoff(&self, instance: &InstanceConfig) -> PathBuf {
        self.file(&format!("{}.sock", instance.name))
    }
}
