//! `herondock fleet`: a supervisor of many instances on one machine, and the commands that talk to it.
//!
//! What to do is decided by the crate `fleet`; here its actions are carried out. Instances are processes of their own
//! that outlive the supervisor: a new one finds them by their pid files, which are locked while they run.
mod control;
mod event_loop;
mod process;
mod rollouts;

pub use control::{ask, status};
pub use event_loop::run;

use config::supervisor::{FleetConfig, InstanceConfig};
use std::path::PathBuf;

/// Where the files of a fleet are.
struct Paths<'a>(&'a FleetConfig);

impl Paths<'_> {
    fn file(&self, name: &str) -> PathBuf {
        self.0.folder.join(name)
    }

    /// Held by the supervisor.
    fn lock(&self) -> PathBuf {
        self.file("fleet.lock")
    }

    /// Where the supervisor takes commands.
    fn control(&self) -> PathBuf {
        self.file("fleet.sock")
    }

    /// Where instances tell of themselves.
    fn notify(&self) -> PathBuf {
        self.file("notify.sock")
    }

    /// Held by an instance.
    fn pid(&self, instance: &InstanceConfig) -> PathBuf {
        self.file(&format!("{}.pid", instance.name))
    }

    /// Where an instance passes its sockets on.
    fn takeover(&self, instance: &InstanceConfig) -> PathBuf {
        self.file(&format!("{}.sock", instance.name))
    }
}
