//! `herondock rollout`: rolls a new build out to the fleet.
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
    /// Show the progress of the rollout, what it waits for, and the state of each balancer
    Status {
        /// The rollout's file
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Pause the rollout: no further instance is replaced, and running instances stay as they are
    #[command(alias = "halt")]
    Pause {
        /// The rollout's file
        file: PathBuf,
        /// Reason
        #[arg(long, default_value = "halted by an operator")]
        why: String,
    },
    /// Resume a paused rollout
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
