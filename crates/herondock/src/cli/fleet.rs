//! `herondock fleet`: runs a supervisor of several instances, or sends a command to a running one.
use crate::supervise;
use clap::{Args, Subcommand};
use config::supervisor::read;
use std::io::Write;
use std::path::{Path, PathBuf};

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, arg_required_else_help = true)]
pub struct FleetArgs {
    /// Run a supervisor of this fleet; see deploy/fleet.example.toml
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<FleetCommand>,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show the instances
    Status {
        /// The fleet's file
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Rolling restart: stop and start each instance in turn
    Restart(RollingArgs),
    /// Rolling handoff: a new process of each instance in turn takes the sockets over from the former one
    TakeOver(RollingArgs),
    /// Rolling reload: each instance in turn reads its files again
    Reload(RollingArgs),
    /// Start instances again that are in a crash loop or stopped
    Start {
        /// The fleet's file
        file: PathBuf,
    },
    /// Stop all instances, and the supervisor
    Stop {
        /// The fleet's file
        file: PathBuf,
    },
}

#[derive(Args)]
struct RollingArgs {
    /// The fleet's file
    file: PathBuf,
    /// Reason to exceed what disruption budgets allow; floors are still enforced
    #[arg(long = "override", value_name = "REASON")]
    overrides: Option<String>,
}

impl RollingArgs {
    /// Sends the command to the supervisor, followed by the reason to exceed budgets.
    fn send(self, command: &str) -> anyhow::Result<()> {
        let command = match self.overrides {
            Some(reason) => format!("{command} override {}", reason.replace(['\n', '\r'], " ")),
            None => command.into(),
        };
        send(&self.file, &command)
    }
}

impl FleetArgs {
    pub fn run(self) -> anyhow::Result<()> {
        match (self.file, self.command) {
            (_, Some(command)) => command.run(),
            (Some(file), None) => {
                let config = read(&file).map_err(anyhow::Error::msg)?;
                supervise::run(&config).map_err(anyhow::Error::msg)
            }
            // The command line requires one of the two.
            (None, None) => Ok(()),
        }
    }
}

impl FleetCommand {
    fn run(self) -> anyhow::Result<()> {
        match self {
            FleetCommand::Status { file, json } => {
                let config = read(&file).map_err(anyhow::Error::msg)?;
                super::print(&supervise::status(&config, json).map_err(anyhow::Error::msg)?)
            }
            FleetCommand::Restart(args) => args.send("restart"),
            FleetCommand::TakeOver(args) => args.send("take-over"),
            FleetCommand::Reload(args) => args.send("reload"),
            FleetCommand::Start { file } => send(&file, "start"),
            FleetCommand::Stop { file } => send(&file, "stop"),
        }
    }
}

/// Sends a command to the supervisor of a fleet and prints each line of its answer as it arrives.
fn send(file: &Path, command: &str) -> anyhow::Result<()> {
    let config = read(file).map_err(anyhow::Error::msg)?;
    let print = |line: &str| drop(writeln!(std::io::stdout(), "{line}"));
    supervise::send_command(&config, command, print).map_err(anyhow::Error::msg)
}
