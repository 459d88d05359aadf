//! `herondock check`: reads files as `run` would, and opens no socket.
use crate::node_config;
use crate::run::read_table;
use balancer::Balancer;
use config::{coordination, disruption, operator, rollout, routing, supervisor};
use route_table::spec::World;
use std::path::{Path, PathBuf};
use tracing::info;

/// Checks each file: `.json` is a platform configuration, all else an operator's file or, by its tables, a fleet's
/// with all that it refers to, a voter's of the council,
/// of outages, or of a release. Every fault gets a line. Routes are checked and expectations proved with the names of the
/// platform configuration among the files, or else of the one that NODE_CONFIG names.
///
/// # Errors
/// How many files are at fault.
pub fn check(files: &[PathBuf]) -> Result<(), String> {
    let mut bad = 0;
    let is_config = |p: &&PathBuf| p.extension().is_some_and(|e| e == "json");
    let config = match files.iter().find(is_config) {
        Some(path) => node_config::read(path).ok(),
        None => node_config::load().ok(),
    };
    let world = config.map(|config| routing::world(&config.deployment));
    for path in files {
        if let Err(fault) = one(path, world.as_ref()) {
            info!("{fault}");
            bad += 1;
        }
    }
    if bad > 0 {
        return Err(format!("{bad} of {} files can't be used", files.len()));
    }
    Ok(())
}

/// A supervisor that asks for leave needs balancers that say how they stand: one that is never seen to be in keeps its leave.
fn in_council(fleet: &supervisor::FleetConfig) -> Result<(), String> {
    if fleet.coordination.is_none() {
        return Ok(());
    }
    for instance in &fleet.instances {
        let own = instance.operator.as_deref().map(operator::read).transpose()?;
        if own.is_none_or(|own| own.council.is_none()) {
            return Err(format!(
                "council: the operator's file of instance {} has no [council]",
                instance.name
            ));
        }
    }
    Ok(())
}

fn one(path: &Path, world: Option<&World>) -> Result<(), String> {
    if path.extension().is_none_or(|e| e != "json") && coordination::is_coordination_file(path) {
        return coordination::read(path).map(|_| ()).map_err(|error| error.to_string());
    }
    if path.extension().is_none_or(|e| e != "json") && disruption::is_disruption_file(path) {
        return disruption::read(path).map(|_| ());
    }
    if path.extension().is_none_or(|e| e != "json") && rollout::is_rollout_file(path) {
        return rollout::read(path).map(|_| ());
    }
    if path.extension().is_none_or(|e| e != "json") && supervisor::is_fleet_file(path) {
        let fleet = supervisor::read(path)?;
        in_council(&fleet).map_err(|what| format!("{}: {what}", path.display()))?;
        // All that it refers to as well.
        for instance in &fleet.instances {
            one(&instance.config, None)?;
            if let Some(operator) = &instance.operator {
                let config = node_config::read(&instance.config).map_err(|e| e.to_string())?;
                one(operator, Some(&routing::world(&config.deployment)))?;
            }
        }
        return Ok(());
    }
    if path.extension().is_none_or(|e| e != "json") {
        let operator = operator::read(path)?;
        if operator.routing.table.is_none() {
            return Ok(());
        }
        let what = "routing.table: name the platform's configuration beside the file, or in NODE_CONFIG";
        let world = world.ok_or_else(|| format!("{}: {what}", path.display()))?;
        return read_table(Some(path), &operator, world).map(|_| ());
    }
    let config = node_config::read(path).map_err(|e| e.to_string())?;
    let settings = Balancer::new(config.deployment.policy, config.seed, 0.0);
    settings.map(|_| ()).map_err(|e| format!("{}: settings: {e}", path.display()))
}
