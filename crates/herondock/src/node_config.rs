//! Parses the platform's configuration of one balancer, the JSON file that `NODE_CONFIG` names.
use config::operator::{read_consistent, ReadFileError};
use config::Deployment;
use discovery::platform::staleness::StalenessSettings;
use discovery::platform::{self, EndpointListResponse};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable that contains the path of the file.
const VARIABLE: &str = "NODE_CONFIG";
/// Maximum size of a configuration, in bytes. Most of it is the endpoint list.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// Limit on file descriptors if the configuration contains none.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Minimum limit on file descriptors; fewer are not enough for clients and upstreams.
const MIN_DESCRIPTORS: usize = 64;
/// Bytes in the unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1e6;
/// Maximum grace period of drains, in milliseconds; longer ones are reduced to it.
const MAX_DRAIN_GRACE_MS: f64 = 60_000.0;

/// Reason why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The environment variable is not set, or is not valid Unicode.
    #[error("{VARIABLE}: {0}")]
    Variable(std::env::VarError),
    /// The file that the environment variable names can't be used.
    #[error("{VARIABLE}: {0}")]
    NamedFile(Box<NodeConfigError>),
    /// The file can't be read.
    #[error("{}: {reason}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Reason why it can't be read.
        reason: ReadFileError,
    },
    /// The content of the file is not valid.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Reason why it is invalid.
        source: InvalidNodeConfig,
    },
}

/// Reason why the content of a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidNodeConfig {
    /// It is not valid JSON, or data follows the JSON value.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// Reason why the value is invalid.
        reason: String,
    },
}

impl InvalidNodeConfig {
    fn field(field: impl Into<String>, reason: impl ToString) -> InvalidNodeConfig {
        InvalidNodeConfig::Field { field: field.into(), reason: reason.to_string() }
    }
}

#[derive(Deserialize)]
struct RawNodeConfig {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

#[derive(Deserialize, Default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// The configuration of one balancer.
pub struct NodeConfig {
    /// Name of the balancer.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes; `None`: no limit above 0 is stated.
    pub max_memory: Option<usize>,
    /// Last endpoint list of this balancer that the platform saved; its age is unknown.
    pub cached_endpoints: Option<EndpointListResponse>,
    /// Settings of the decision module and of connections.
    pub deployment: Deployment,
    /// Hash of the settings as JSON text.
    pub fingerprint: u64,
}

/// Reads the file that `NODE_CONFIG` names.
///
/// # Errors
/// The variable is not set, or the file can't be used.
pub fn load() -> Result<NodeConfig, NodeConfigError> {
    let path = std::env::var(VARIABLE).map_err(NodeConfigError::Variable)?;
    read(Path::new(&path)).map_err(|e| NodeConfigError::NamedFile(Box::new(e)))
}

/// Reads a configuration from a file.
///
/// # Errors
/// The file can't be read, or its content is not valid.
pub fn read(path: &Path) -> Result<NodeConfig, NodeConfigError> {
    let unreadable = |reason| NodeConfigError::Unreadable { path: path.into(), reason };
    let text = read_consistent(path, MAX_FILE_BYTES).map_err(unreadable)?;
    NodeConfig::parse(&text).map_err(|source| NodeConfigError::Invalid { path: path.into(), source })
}

impl NodeConfig {
    /// Parses a configuration.
    ///
    /// # Errors
    /// The JSON or the value of a field is invalid; the message names the field.
    pub fn parse(json: &[u8]) -> Result<NodeConfig, InvalidNodeConfig> {
        let raw = parse_raw(json)?;
        let deployment = config::deployment(raw.settings.get().as_bytes())
            .map_err(|e| InvalidNodeConfig::field("settings", e))?;
        if let Some(index) = deployment.classes.iter().position(String::is_empty) {
            return Err(InvalidNodeConfig::field(format!("settings.classes[{index}].name"), "missing"));
        }
        if let Some(index) = deployment.tenants.iter().position(String::is_empty) {
            return Err(InvalidNodeConfig::field(format!("settings.tenants[{index}].name"), "missing"));
        }
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| {
            InvalidNodeConfig::field("seed", format!("{:?} is not a hexadecimal number of 64 bits", raw.seed))
        })?;
        let max_descriptors = raw.limits.sockets.unwrap_or(DEFAULT_DESCRIPTORS);
        if max_descriptors < MIN_DESCRIPTORS {
            let reason = format!("must be at least {MIN_DESCRIPTORS}");
            return Err(InvalidNodeConfig::field("limits.sockets", reason));
        }
        let known = raw.known.as_ref().map(|known| known.get()).filter(|known| *known != "null");
        let known = known.map(|known| platform::parse_response(known.as_bytes())).transpose();
        Ok(NodeConfig {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            max_descriptors,
            // Saturates at the largest number.
            max_memory: raw.limits.memory_mb.filter(|mb| *mb > 0.0).map(|mb| (mb * BYTES_PER_MB) as usize),
            cached_endpoints: known.map_err(|e| InvalidNodeConfig::field("known", e))?,
            deployment,
            fingerprint: hashing::stable(raw.settings.get().as_bytes()),
        })
    }
}

fn parse_raw(json: &[u8]) -> Result<RawNodeConfig, InvalidNodeConfig> {
    let mut json = serde_json::Deserializer::from_slice(json);
    let raw = serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
        path if path == "." => InvalidNodeConfig::Json(e.into_inner()),
        path => InvalidNodeConfig::field(path, e.inner()),
    })?;
    json.end()?;
    Ok(raw)
}

/// Settings that determine after which time an endpoint list counts as stale.
pub fn staleness_settings(deployment: &Deployment) -> StalenessSettings {
    let drain_grace = deployment.drain_grace.clamp(0.0, MAX_DRAIN_GRACE_MS);
    StalenessSettings {
        lists_are_pushed: !deployment.policy.ask_for_list,
        drain_grace: Duration::from_secs_f64(drain_grace / 1000.0),
    }
}

#[cfg(test)]
mod tests;
