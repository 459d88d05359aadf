//! Errors of a voter's process and of the operator commands.
use config::file::ConfigFileError;
use coordination::state_machine::DecodeError;
use coordination::voter::VoterError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use storage::journal::JournalError;

/// A voter's process can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The configuration file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The asynchronous runtime can't be started.
    #[error("the asynchronous runtime can't be started: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers can't be installed.
    #[error("{0}")]
    Signals(String),
    /// The folder is locked by another process, or the lock can't be taken.
    #[error("{0}")]
    Lock(String),
    /// The folder or a file in it can't be used.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The voter's folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The journal can't be opened.
    #[error("{}: {source}", folder.display())]
    Journal {
        /// The voter's folder.
        folder: PathBuf,
        /// The error of the journal.
        source: JournalError,
    },
    /// The journal is damaged, so that votes and entries that the voter acknowledged may be lost.
    #[error(
        "{}: {source}; votes and entries that this voter acknowledged may be lost: remove it from the council, empty the folder, and it joins again",
        folder.display()
    )]
    DamagedJournal {
        /// The voter's folder.
        folder: PathBuf,
        /// The error of the journal.
        source: JournalError,
    },
    /// The content of the journal is invalid.
    #[error("{}: {source}", folder.display())]
    Voter {
        /// The voter's folder.
        folder: PathBuf,
        /// The error of the voter.
        source: VoterError,
    },
    /// The backup is invalid.
    #[error(transparent)]
    Backup(#[from] DecodeError),
    /// A cluster can't be bootstrapped in a folder that holds a voter.
    #[error("{}: the folder already holds a voter", .0.display())]
    FolderInUse(PathBuf),
    /// The folder belongs to another voter.
    #[error("{}: the folder belongs to voter {owner}, and this is voter {name}", folder.display())]
    ForeignFolder {
        /// The folder.
        folder: PathBuf,
        /// Name of the voter that it belongs to.
        owner: String,
        /// Name of this voter.
        name: String,
    },
    /// The address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The thread that writes the journal can't be started.
    #[error("the thread that writes the journal can't be started: {0}")]
    JournalThread(#[source] io::Error),
    /// The thread that writes the journal has ended.
    #[error("the thread that writes the journal has ended")]
    JournalThreadEnded,
}

impl ServerError {
    pub(crate) fn folder(folder: &Path, source: io::Error) -> ServerError {
        ServerError::Folder { folder: folder.into(), source }
    }

    pub(crate) fn voter(folder: &Path, source: VoterError) -> ServerError {
        ServerError::Voter { folder: folder.into(), source }
    }
}

/// An operator command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An error of a voter, or of the configuration file.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// The backup file can't be read or written.
    #[error("{}: {reason}", file.display())]
    BackupFile {
        /// The file.
        file: PathBuf,
        /// Reason of the failure.
        reason: String,
    },
    /// Standard output can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The service rejected the request, with this reason.
    #[error("{0}")]
    Failed(String),
    /// The request may or may not have been carried out.
    #[error("{0}; it may have been done")]
    Indeterminate(String),
    /// The request was not carried out.
    #[error("{0}; is there a majority of voters?")]
    NotExecuted(String),
    /// The answer is not one to this request.
    #[error("unexpected answer: {0}")]
    UnexpectedAnswer(String),
    /// No voter answers.
    #[error("no voter answers")]
    NoVoter,
    /// The key does not exist.
    #[error("key {0} does not exist")]
    NoKey(String),
    /// A watch fell behind the oldest resumable revision.
    #[error("changes up to revision {oldest} are no longer available")]
    Compacted {
        /// The oldest revision from which a watch can resume.
        oldest: u64,
    },
    /// The watch has ended.
    #[error("the watch has ended")]
    WatchEnded,
}
