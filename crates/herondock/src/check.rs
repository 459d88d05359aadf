//! `herondock check`: validates files as `run` would, without opening a socket.
use crate::node_config::{self, NodeConfigError};
use crate::run::{read_table, RunError};
use balancer::{Balancer, SettingsError};
use config::file::ConfigFileError;
use config::{coordination, disruption, operator, rollout, routing, supervisor};
use route_table::spec::KnownNames;
use std::path::{Path, PathBuf};
use tracing::info;

/// Number of files that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{faulty} of {total} files can't be used")]
pub struct FaultyFiles {
    faulty: usize,
    total: usize,
}

/// Reason why a file can't be used.
#[derive(Debug, thiserror::Error)]
enum FileError {
    /// The file can't be read or parsed.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    #[error("{}: {source}", .path.display())]
    InstanceOperatorFile { path: PathBuf, source: ConfigFileError },
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    #[error(transparent)]
    Routing(#[from] RunError),
    #[error("{}: settings: {source}", .path.display())]
    Settings { path: PathBuf, source: SettingsError },
    #[error("{}: council: the operator's file of instance {instance} has no [council]", .path.display())]
    WithoutCoordination { path: PathBuf, instance: String },
    #[error(
        "{}: routing.table: name the platform's configuration beside the file, or in NODE_CONFIG",
        .path.display()
    )]
    WithoutNodeConfig { path: PathBuf },
}

/// Checks files and logs the error of each invalid one. A `.json` file is a platform configuration. The tables in any other file
/// determine whether it is the file of a fleet (checked with all files that it refers to), of a voter, of disruption budgets, of a
/// rollout, or an operator's file. Routes and their expectations are checked with the names in the platform configuration among
/// the files, or else in the one that `NODE_CONFIG` names.
///
/// # Errors
/// At least one file can't be used.
pub fn check(files: &[PathBuf]) -> Result<(), FaultyFiles> {
    let config = match files.iter().find(|path| is_node_config(path)) {
        Some(path) => node_config::read(path).ok(),
        None => node_config::load().ok(),
    };
    let known_names = config.map(|config| routing::world(&config.deployment));
    let mut faulty = 0;
    for path in files {
        if let Err(error) = check_file(path, known_names.as_ref()) {
            info!("{error}");
            faulty += 1;
        }
    }
    match faulty {
        0 => Ok(()),
        _ => Err(FaultyFiles { faulty, total: files.len() }),
    }
}

fn is_node_config(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "json")
}

fn check_file(path: &Path, known_names: Option<&KnownNames>) -> Result<(), FileError> {
    if is_node_config(path) {
        check_node_config(path)?;
    } else if coordination::is_coordination_file(path) {
        coordination::read(path)?;
    } else if disruption::is_disruption_file(path) {
        disruption::read(path)?;
    } else if rollout::is_rollout_file(path) {
        rollout::read(path)?;
    } else if supervisor::is_fleet_file(path) {
        check_fleet(path)?;
    } else {
        check_operator(path, known_names)?;
    }
    Ok(())
}

fn check_node_config(path: &Path) -> Result<(), FileError> {
    let config = node_config::read(path)?;
    let balancer = Balancer::new(config.deployment.policy, config.seed, 0.0);
    balancer.map(drop).map_err(|source| FileError::Settings { path: path.into(), source })
}

/// Checks a fleet's file and all files that it refers to.
fn check_fleet(path: &Path) -> Result<(), FileError> {
    let fleet = supervisor::read(path)?;
    check_coordination(path, &fleet)?;
    for instance in &fleet.instances {
        check_file(&instance.config, None)?;
        if let Some(operator) = &instance.operator {
            let config = node_config::read(&instance.config)?;
            check_file(operator, Some(&routing::world(&config.deployment)))?;
        }
    }
    Ok(())
}

/// Checks that each instance of a supervisor that requests disruption leases reports its state. The lease of a balancer is not
/// released before the balancer is reported in service, so the lease of one that is never reported in service is kept.
fn check_coordination(path: &Path, fleet: &supervisor::FleetConfig) -> Result<(), FileError> {
    if fleet.coordination.is_none() {
        return Ok(());
    }
    for instance in &fleet.instances {
        let operator = instance.operator.as_deref().map(operator::read).transpose();
        let operator =
            operator.map_err(|source| FileError::InstanceOperatorFile { path: path.into(), source })?;
        if operator.is_none_or(|operator| operator.council.is_none()) {
            let instance = instance.name.clone();
            return Err(FileError::WithoutCoordination { path: path.into(), instance });
        }
    }
    Ok(())
}

fn check_operator(path: &Path, known_names: Option<&KnownNames>) -> Result<(), FileError> {
    let operator = operator::read(path)?;
    if operator.routing.table.is_none() {
        return Ok(());
    }
    let known_names = known_names.ok_or_else(|| FileError::WithoutNodeConfig { path: path.into() })?;
    read_table(Some(path), &operator, known_names)?;
    Ok(())
}
