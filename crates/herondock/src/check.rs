//! `herondock check`: reads files as `run` would, and opens no socket.
use crate::{config, log::log};
use oakflow::Balancer;
use oakflow_settings::{fleet, operator};
use std::path::{Path, PathBuf};

/// Checks each file: `.json` is a platform configuration, all else an operator's file or, by its tables, a fleet's
/// with all that it refers to. Every fault gets a line.
///
/// # Errors
/// How many files are at fault.
pub fn check(files: &[PathBuf]) -> Result<(), String> {
    let mut bad = 0;
    for path in files {
        if let Err(fault) = one(path) {
            log!("{fault}");
            bad += 1;
        }
    }
    if bad > 0 {
        return Err(format!("{bad} of {} files can't be used", files.len()));
    }
    Ok(())
}

fn one(path: &Path) -> Result<(), String> {
    if path.extension().is_none_or(|e| e != "json") && fleet::is_fleet(path) {
        let fleet = fleet::read(path)?;
        // All that it refers to as well.
        for file in fleet.instances.iter().flat_map(|i| i.operator.iter().chain([&i.config])) {
            one(file)?;
        }
        return Ok(());
    }
    if path.extension().is_none_or(|e| e != "json") {
        return operator::read(path).map(|_| ());
    }
    let config = config::read(path)?;
    let settings = Balancer::new(config.deployment.policy, config.seed, 0.0);
    settings.map(|_| ()).map_err(|e| format!("{}: settings: {e}", path.display()))
}
