//! Configuration reload on SIGHUP.
use super::error::RunError;
use crate::live_config::LiveConfig;
use crate::node_config;
use crate::routing::Pools;
use config::operator::{self, OperatorConfig};
use config::routing;
use route_table::spec::KnownNames;
use route_table::table::Table;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// Reads the operator's file, if one is named.
///
/// # Errors
/// The file, and the place and field at fault.
pub fn read_operator(path: Option<&Path>) -> Result<OperatorConfig, RunError> {
    path.map_or_else(|| Ok(OperatorConfig::default()), operator::read).map_err(RunError::OperatorFile)
}

/// Reads the routing table that the operator's file names, checks it and proves its expectations.
///
/// # Errors
/// All that is wrong with it, in one line.
pub fn read_table(
    path: Option<&Path>,
    operator: &OperatorConfig,
    world: &KnownNames,
) -> Result<Option<Table>, RunError> {
    let base = path.and_then(Path::parent).unwrap_or(Path::new(""));
    routing::load(&operator.routing, base, world).map_err(|faults| RunError::RoutingTable(faults.join("; ")))
}

/// Applies changed files to a running instance.
pub struct Reloader {
    /// Path of the operator's file, if one is named.
    pub path: Option<PathBuf>,
    /// Its content when it was last applied.
    pub operator: OperatorConfig,
    /// Its limits, as the rest of the process sees them.
    pub limits: LiveConfig<operator::Limits>,
    /// Address of service discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// The pools, whose routing table is replaced.
    pub pools: Pools,
    /// The names that routes may use.
    pub world: KnownNames,
}

impl Reloader {
    /// Reads the files again and applies them as a whole. Of the platform's configuration only the address of service discovery
    /// can change.
    ///
    /// # Errors
    /// A file can't be used, or changes a fixed key. Then nothing changes.
    pub async fn reload(&mut self) -> Result<(), RunError> {
        let next = read_operator(self.path.as_deref())?;
        let fixed = self.operator.fixed(&next);
        if !fixed.is_empty() {
            return Err(RunError::FixedKeys(fixed.join(", ")));
        }
        let config = node_config::load()?;
        // Checked before anything is applied.
        let (path, world, asked) = (self.path.clone(), self.world.clone(), next.clone());
        // On a thread of its own: a large table takes time, and requests go on meanwhile.
        let read = move || read_table(path.as_deref(), &asked, &world);
        let table = tokio::task::spawn_blocking(read).await.map_err(RunError::TableReader)??;
        self.pools.replace_table(table)?;
        self.limits.set(next.limits.clone());
        self.operator = next;
        self.discovery.send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
        Ok(())
    }
}
