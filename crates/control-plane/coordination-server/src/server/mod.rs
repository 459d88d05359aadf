//! A voter's process.
//!
//! | module | contents |
//! | --- | --- |
//! | `bootstrap` | creating a cluster |
//! | `startup` | starting a voter from its configuration, and joining a cluster |
//! | `event_loop` | the running voter |
//! | `voter_addresses` | addresses of voters that are not members yet |
mod bootstrap;
mod event_loop;
mod startup;
mod voter_addresses;

pub use bootstrap::bootstrap;

use crate::client::{ClientConfig, ClientHandle};
use crate::crash_points::CrashPoint;
use crate::error::ServerError;
use config::coordination::CoordinationConfig;
use coordination::protocol::{Handshake, PROTOCOL_VERSION};
use coordination::voter::Identity;
use daemon::pid_file::PidFile;
use std::path::{Path, PathBuf};

/// Name of the lock file in a voter's folder.
const LOCK_FILE: &str = "lock";
/// Response timeout of the clients inside this process, in ticks.
const RESPONSE_TIMEOUT_TICKS: u32 = 20;

/// Command-line options of a voter.
#[derive(Default)]
pub struct ServerOptions {
    /// Fault injection for tests.
    pub halt: Option<CrashPoint>,
}

/// Runs a voter until it receives a signal to stop or is removed.
///
/// # Errors
/// The voter can't start: the configuration, the folder, the journal or the address can't be used.
pub fn run(path: PathBuf, options: ServerOptions) -> Result<(), ServerError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServerError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, startup::serve(path, options))
}

/// Locks a voter's folder, which is created if it does not exist.
fn lock_folder(folder: &Path) -> Result<PidFile, ServerError> {
    storage::files::Folder::new(folder).map_err(|source| ServerError::folder(folder, source))?;
    PidFile::acquire(&folder.join(LOCK_FILE)).map_err(|error| ServerError::Lock(error.to_string()))
}

fn handshake_of(config: &CoordinationConfig, identity: &Identity) -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        cluster: identity.cluster,
        name: config.name.clone(),
        voter: Some(identity.voter),
        addr: Some(config.addr().to_string()),
        to: None,
    }
}

/// Addresses of the other voters.
fn other_voters(config: &CoordinationConfig) -> Vec<String> {
    let others = config.voters.iter().filter(|(name, _)| *name != config.name);
    others.map(|(_, address)| address.to_string()).collect()
}

/// A client of the other voters, without a session.
fn client_of_others(config: &CoordinationConfig) -> ClientHandle {
    ClientHandle::spawn(ClientConfig {
        voters: other_voters(config),
        session: None,
        name: config.name.clone(),
        response_timeout: config.tick * RESPONSE_TIMEOUT_TICKS,
    })
}
