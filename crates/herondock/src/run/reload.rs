//! What can change while an instance runs, read again on SIGHUP.
use crate::live_config::LiveConfig;
use crate::node_config;
use crate::routing::Pools;
use config::operator::{self, OperatorConfig};
use config::routing;
use route_table::spec::World;
use route_table::table::Table;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// The operator's file, if one was named.
///
/// # Errors
/// One line that names the file, and the place and field at fault.
pub fn read_operator(path: Option<&Path>) -> Result<OperatorConfig, String> {
    path.map_or_else(|| Ok(OperatorConfig::default()), operator::read)
}

/// The table that the operator's file names, checked and its expectations proved.
///
/// # Errors
/// All that is wrong with it, in one line.
pub fn read_table(
    path: Option<&Path>,
    operator: &OperatorConfig,
    world: &World,
) -> Result<Option<Table>, String> {
    let base = path.and_then(Path::parent).unwrap_or(Path::new(""));
    routing::load(&operator.routing, base, world).map_err(|faults| faults.join("; "))
}

/// What can change while the program runs.
pub struct Reloader {
    /// The operator's file, if one was named.
    pub path: Option<PathBuf>,
    /// What it said when it was last taken.
    pub operator: OperatorConfig,
    /// Its limits, as everything else sees them.
    pub limits: LiveConfig<operator::Limits>,
    /// Where discovery is, as its source sees it.
    pub discovery: watch::Sender<SocketAddr>,
    /// The pools, which take a new table.
    pub pools: Pools,
    /// The names that routes may use.
    pub world: World,
}

impl Reloader {
    /// Reads the files again. Of the platform's configuration only where discovery is can change.
    ///
    /// # Errors
    /// A file can't be read, or changes what can't change. Then nothing changes.
    pub async fn reload(&mut self) -> Result<(), String> {
        let next = read_operator(self.path.as_deref())?;
        let fixed = self.operator.fixed(&next);
        if !fixed.is_empty() {
            return Err(format!("{}: can't change while the program runs", fixed.join(", ")));
        }
        let config = node_config::load().map_err(|e| e.to_string())?;
        // Proved before anything is applied.
        let (path, world, asked) = (self.path.clone(), self.world.clone(), next.clone());
        // In a thread of its own: a large table takes its time, and requests go on meanwhile.
        let read = move || read_table(path.as_deref(), &asked, &world);
        let table = tokio::task::spawn_blocking(read).await.map_err(|e| format!("routing.table: {e}"))??;
        self.pools.replace_table(table)?;
        self.limits.set(next.limits.clone());
        self.operator = next;
        self.discovery.send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
        Ok(())
    }
}
