//! Operator commands: `herondock release start|status|halt|resume|back`.
mod status;

pub use status::state;

use crate::build_id::{self, BuildError};
use config::rollout::RolloutConfig;
use coordination_server::client::ClientHandle;
use disruption::FleetSnapshot;
use disruption_agent::command::{operator, print, spawn_client, OutputError, SESSION_CLOSE_TIMEOUT};
use disruption_agent::informer::Informer;
use disruption_agent::store::{write, StoreError, WriteOutcome};
use rollout::{
    BuildId, CommandError as StateError, OperatorCommand, RolloutPlan, RolloutSnapshot, RolloutSpec,
    StartError,
};
use std::io;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start a rollout.
    Start,
    /// Print the state of the rollout and of its instances.
    Status {
        /// Whether to print JSON instead of a table.
        json: bool,
    },
    /// Pause, resume or roll back.
    Operator(OperatorCommand),
}

/// Error of a command, as printed to the operator.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The asynchronous runtime cannot be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// The output cannot be written.
    #[error(transparent)]
    Output(#[from] OutputError),
    /// The store cannot be read.
    #[error("cannot read from the council: {0}")]
    Read(StoreError),
    /// The store cannot be written.
    #[error(transparent)]
    Write(StoreError),
    /// A build of the rollout cannot be read on this machine.
    #[error("release.{name}: {error}")]
    Build {
        /// Field of the operator's file: `old` or `new`.
        name: &'static str,
        /// Cause.
        error: BuildError,
    },
    /// The rollout cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The command does not apply to the state of the rollout.
    #[error(transparent)]
    State(#[from] StateError),
    /// There was no rollout.
    #[error("there was no release yet")]
    NoRollout,
}

/// Executes a command.
///
/// # Errors
/// The command did not succeed.
pub fn run(config: &RolloutConfig, command: Command) -> Result<(), CommandError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, execute(config, command))
}

async fn execute(config: &RolloutConfig, command: Command) -> Result<(), CommandError> {
    let only_reads = matches!(command, Command::Status { .. });
    let client = spawn_client(&config.coordination, !only_reads);
    let mut informer = Informer::new(client.clone());
    let result = match command {
        Command::Start => start(config, &client, &mut informer).await,
        Command::Status { json } => {
            let rollout = read(&mut informer).await?;
            let mut fleet_informer: Informer<FleetSnapshot> = Informer::new(client.clone());
            let fleet = fleet_informer.read_consistent().await.map_err(CommandError::Read)?;
            status::print_status(rollout, fleet, json)
        }
        Command::Operator(command) => change_state(&client, &mut informer, &command).await,
    };
    if !only_reads {
        client.close_session(SESSION_CLOSE_TIMEOUT).await;
    }
    result
}

/// Reads the snapshot from a majority.
async fn read(informer: &mut Informer<RolloutSnapshot>) -> Result<&RolloutSnapshot, CommandError> {
    informer.read_consistent().await.map_err(CommandError::Read)
}

/// Identifies a build by its path on this machine.
fn identify(name: &'static str, path: &str) -> Result<BuildId, CommandError> {
    build_id::of_file(Path::new(path)).map_err(|error| CommandError::Build { name, error })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the plan of the rollout with this number.
fn plan(config: &RolloutConfig, number: u64, old: &BuildId, new: &BuildId) -> RolloutPlan {
    RolloutPlan {
        spec: RolloutSpec {
            number,
            old: old.clone(),
            new: new.clone(),
            stages: config.stages.clone(),
            bake_ms: millis(config.bake),
            check_interval_ms: millis(config.check_interval),
            max_bake_ms: millis(config.max_bake),
            analysis: config.analysis.clone(),
            auto_rollback: config.auto_rollback,
            approved_by: operator(),
            reason: config.reason.clone(),
        },
        paths: config.paths.clone(),
        machine_paths: config.machine_paths.clone(),
    }
}

async fn start(
    config: &RolloutConfig,
    client: &ClientHandle,
    informer: &mut Informer<RolloutSnapshot>,
) -> Result<(), CommandError> {
    let old = identify("old", &config.paths.old)?;
    let new = identify("new", &config.paths.new)?;
    loop {
        let snapshot = read(informer).await?;
        let number = snapshot.rollout_number() + 1;
        match write(client, snapshot.start_rollout(&plan(config, number, &old, &new))?).await {
            WriteOutcome::Committed(_) => {
                let (old, new) = (build_id::short(&old), build_id::short(&new));
                return Ok(print(&format!("release {number} begins, from build {old} to {new}"))?);
            }
            // Another operator has started a rollout meanwhile; the retry reads it.
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed(error) => return Err(CommandError::Write(error)),
        }
    }
}

async fn change_state(
    client: &ClientHandle,
    informer: &mut Informer<RolloutSnapshot>,
    command: &OperatorCommand,
) -> Result<(), CommandError> {
    loop {
        let snapshot = read(informer).await?;
        let Some((plan, state)) = snapshot.current() else { return Err(CommandError::NoRollout) };
        let next = plan.spec.apply_command(&state.value, command)?;
        let change = snapshot.write_state(&next).ok_or(CommandError::NoRollout)?;
        match write(client, change).await {
            WriteOutcome::Committed(_) => {
                return Ok(print(&format!("release {}: {}", plan.spec.number, next.summary()))?);
            }
            // The state has changed meanwhile; the command applies to the new one.
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed(error) => return Err(CommandError::Write(error)),
        }
    }
}
