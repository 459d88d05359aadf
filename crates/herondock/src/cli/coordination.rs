//! `herondock coordination`: voters of the coordination service, and its administration.
use clap::Subcommand;
use coordination_server::command::{run, Command};
use coordination_server::{CrashPoint, ServerOptions};
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum CoordinationArgs {
    /// Run a voter
    Run {
        /// The voter's file
        file: PathBuf,
        /// For tests: the disk operation at which the voter is killed
        #[arg(long, hide = true, value_name = "KIND:COUNT")]
        halt_at: Option<CrashPoint>,
    },
    /// Bootstrap a new cluster, whose first voter is the one of this file; the others join once they run
    #[command(alias = "form")]
    Bootstrap {
        /// The voter's file
        file: PathBuf,
    },
    /// Show how each voter sees the cluster
    Status {
        /// The voter's file
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the members, as known to the leader
    Members {
        /// The voter's file
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Read a key, or all keys with a prefix, with their versions
    Get {
        /// The key
        #[arg(long)]
        key: String,
        /// The key is a prefix: read all keys that begin with it
        #[arg(long, alias = "under")]
        prefix: bool,
        /// The voter's file
        file: PathBuf,
    },
    /// Show changes of keys as they happen
    Watch {
        /// Show only changes of keys with this prefix
        #[arg(long, alias = "under", default_value = "")]
        prefix: String,
        /// The voter's file
        file: PathBuf,
    },
    /// Save all keys and sessions into a file
    Backup {
        /// The file to write
        #[arg(long, value_name = "PATH")]
        to: PathBuf,
        /// The voter's file
        file: PathBuf,
    },
    /// Bootstrap a new cluster from a backup, when the quorum of the former one is lost for good
    Restore {
        /// The backup
        #[arg(long, value_name = "PATH")]
        from: PathBuf,
        /// The voter's file
        file: PathBuf,
    },
    /// Remove a voter, for instance one whose disk is lost; with an empty folder it joins again
    Remove {
        /// Name of the voter
        #[arg(long)]
        name: String,
        /// The voter's file
        file: PathBuf,
    },
    /// Transfer leadership to another voter
    Transfer {
        /// Name of the voter
        #[arg(long)]
        name: String,
        /// The voter's file
        file: PathBuf,
    },
}

impl CoordinationArgs {
    pub fn run(self) -> anyhow::Result<()> {
        let (file, command) = match self {
            CoordinationArgs::Run { file, halt_at } => {
                let options = ServerOptions { halt: halt_at };
                return coordination_server::run(file, options).map_err(anyhow::Error::msg);
            }
            CoordinationArgs::Bootstrap { file } => (file, Command::Form),
            CoordinationArgs::Status { file, json } => (file, Command::Status { json }),
            CoordinationArgs::Members { file, json } => (file, Command::Members { json }),
            CoordinationArgs::Get { key, prefix, file } => (file, Command::Get { key, under: prefix }),
            CoordinationArgs::Watch { prefix, file } => (file, Command::Watch { under: prefix }),
            CoordinationArgs::Backup { to, file } => (file, Command::Backup { to }),
            CoordinationArgs::Restore { from, file } => (file, Command::Restore { from }),
            CoordinationArgs::Remove { name, file } => (file, Command::Remove { name }),
            CoordinationArgs::Transfer { name, file } => (file, Command::Transfer { name }),
        };
        run(&file, command).map_err(anyhow::Error::msg)
    }
}
