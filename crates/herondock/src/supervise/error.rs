//! Errors of the supervisor and of its commands.
use daemon::control::ControlError;
use daemon::pid_file::PidFileError;
use daemon::signals::SignalError;
use rollout_agent::build_id::BuildError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The supervisor cannot run.
#[derive(Debug, Error)]
pub enum SupervisorError {
    /// The runtime cannot be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers cannot be installed.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The folder cannot be created, or a socket in it cannot be bound.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// Another supervisor holds the folder, or the lock file cannot be opened.
    #[error(transparent)]
    Lock(#[from] PidFileError),
    /// The supervisor's own build cannot be identified.
    #[error(transparent)]
    Rollouts(#[from] BuildError),
}

/// A command to a supervisor failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// No supervisor listens at this control socket.
    #[error("{}: no supervisor runs", .0.display())]
    NotRunning(PathBuf),
    /// The supervisor reported this failure.
    #[error("{0}")]
    Failed(String),
    /// The connection to the control socket broke.
    #[error("{}: {source}", socket.display())]
    Connection {
        /// Path of the control socket.
        socket: PathBuf,
        /// Error of the connection.
        source: ControlError,
    },
    /// The status is not valid JSON.
    #[error("the supervisor's answer is not valid JSON: {0}")]
    InvalidStatus(#[from] serde_json::Error),
}
