//! `herondock rollout`: rolling a new build out over the fleet.
use clap::Subcommand;
use rollout::OperatorCommand;
use rollout_agent::command::{run, Command};
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum RolloutArgs {
    /// Start a rollout
    Start {
        /// The rollout's file
        file: PathBuf,
    },
    /// Show its progress, what it waits for, and each balancer
    Status {
        /// The rollout's file
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Pause it: nothing more is moved, and what runs stays as it is
    #[command(alias = "halt")]
    Pause {
        /// The rollout's file
        file: PathBuf,
        /// Reason
        #[arg(long, default_value = "halted by an operator")]
        why: String,
    },
    /// Go on from where it was paused
    Resume {
        /// The rollout's file
        file: PathBuf,
    },
    /// Roll back: return all instances to the former build
    #[command(alias = "back")]
    Rollback {
        /// The rollout's file
        file: PathBuf,
        /// Reason
        #[arg(long, default_value = "taken back by an operator")]
        why: String,
    },
}

impl RolloutArgs {
    pub fn run(self) -> anyhow::Result<()> {
        let (file, command) = match self {
            RolloutArgs::Start { file } => (file, Command::Start),
            RolloutArgs::Status { file, json } => (file, Command::Status { json }),
            RolloutArgs::Pause { file, why } => (file, Command::Operator(OperatorCommand::Pause(why))),
            RolloutArgs::Resume { file } => (file, Command::Operator(OperatorCommand::Resume)),
            RolloutArgs::Rollback { file, why } => (file, Command::Operator(OperatorCommand::RollBack(why))),
        };
        let config = config::rollout::read(&file)?;
        run(&config, command).map_err(anyhow::Error::msg)
    }
}
