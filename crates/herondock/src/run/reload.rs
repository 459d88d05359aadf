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

/// Reads the operator's file; returns the defaults if `path` is `None`.
///
/// # Errors
/// The file can't be read or is invalid; the message names the file, the position and the field.
pub fn read_operator(path: Option<&Path>) -> Result<OperatorConfig, RunError> {
    path.map_or_else(|| Ok(OperatorConfig::default()), operator::read).map_err(RunError::OperatorFile)
}

/// Reads the routing table that the operator's file names, validates it and proves its expectations. `path` is that of the
/// operator's file; `known_names` are the names that routes may use.
///
/// # Errors
/// The table is invalid; the message lists all faults in one line.
pub fn read_table(
    path: Option<&Path>,
    operator: &OperatorConfig,
    known_names: &KnownNames,
) -> Result<Option<Table>, RunError> {
    let base = path.and_then(Path::parent).unwrap_or(Path::new(""));
    routing::load(&operator.routing, base, known_names)
        .map_err(|faults| RunError::RoutingTable(faults.join("; ")))
}

/// Applies changed files to a running instance.
pub struct Reloader {
    /// Path of the operator's file, if there is one.
    pub path: Option<PathBuf>,
    /// Content of the operator's file that was last applied.
    pub operator: OperatorConfig,
    /// Limits of the operator's file, shared with the rest of the process.
    pub limits: LiveConfig<operator::Limits>,
    /// Publishes the address of service discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// Pools, whose routing table is replaced.
    pub pools: Pools,
    /// Names that routes may use.
    pub known_names: KnownNames,
}

impl Reloader {
    /// Reads the files again and applies all of them or none. Of the platform's configuration, only the address of service
    /// discovery can change.
    ///
    /// # Errors
    /// A file is invalid, or changes a key that is fixed while the process runs. Nothing is applied then.
    pub async fn reload(&mut self) -> Result<(), RunError> {
        let next = read_operator(self.path.as_deref())?;
        let fixed = self.operator.fixed(&next);
        if !fixed.is_empty() {
            return Err(RunError::FixedKeys(fixed.join(", ")));
        }
        let config = node_config::load()?;
        // The routing table is validated before anything is applied.
        let (path, known_names, operator) = (self.path.clone(), self.known_names.clone(), next.clone());
        // Runs on a thread of its own, since a large table takes time and requests must not wait for it.
        let read = move || read_table(path.as_deref(), &operator, &known_names);
        let table = tokio::task::spawn_blocking(read).await.map_err(RunError::TableReader)??;
        self.pools.replace_table(table)?;
        self.limits.set(next.limits.clone());
        self.operator = next;
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, config.discovery) != config.discovery);
        Ok(())
    }
}
