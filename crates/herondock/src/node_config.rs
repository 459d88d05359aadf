//! The platform's configuration of one balancer (`NODE_CONFIG`, JSON) as typed values.
use config::operator::{read_consistent, ReadFileError};
use config::Deployment;
use discovery::platform::staleness::StalenessSettings;
use discovery::platform::{self, EndpointListResponse};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable that names the file.
const VARIABLE: &str = "NODE_CONFIG";
/// Largest configuration that is read, in bytes; its endpoint list is most of it.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// Limit on descriptors where the configuration states none.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Fewer descriptors than this are not enough for clients and upstreams.
const MIN_DESCRIPTORS: usize = 64;
/// Longest grace of drains that is taken, in milliseconds.
const MAX_DRAIN_GRACE_MS: f64 = 60_000.0;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The environment variable is not set, or is no text.
    #[error("{VARIABLE}: {0}")]
    Variable(std::env::VarError),
    /// The file that the environment variable names can't be used.
    #[error("{VARIABLE}: {0}")]
    NamedFile(Box<NodeConfigError>),
    /// The file can't be read.
    #[error("{}: {reason}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: ReadFileError,
    },
    /// The content of the file is not valid.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: InvalidNodeConfig,
    },
}

/// What is wrong with the content of a configuration.
#[derive(Debug, thiserror::Error)]
pub enum InvalidNodeConfig {
    /// It is not valid JSON, or more follows.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field has a value that it can't have.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
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
}

/// The configuration of one balancer.
pub struct NodeConfig {
    /// Its name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The endpoint list as this balancer last had it; its age is unknown.
    pub cached_endpoints: Option<EndpointListResponse>,
    /// Settings of the decision module and of the sockets.
    pub deployment: Deployment,
    /// Hash of the settings' text: equal for equal settings.
    pub fingerprint: u64,
}

/// Reads the file that `NODE_CONFIG` names.
///
/// # Errors
/// The variable is not set, or its file can't be used.
pub fn load() -> Result<NodeConfig, NodeConfigError> {
    let path = std::env::var(VARIABLE).map_err(NodeConfigError::Variable)?;
    read(Path::new(&path)).map_err(|e| NodeConfigError::NamedFile(Box::new(e)))
}

/// Reads a file.
///
/// # Errors
/// It can't be read, or is not valid.
pub fn read(path: &Path) -> Result<NodeConfig, NodeConfigError> {
    let unreadable = |reason| NodeConfigError::Unreadable { path: path.into(), reason };
    let text = read_consistent(path, MAX_FILE_BYTES).map_err(unreadable)?;
    NodeConfig::parse(&text).map_err(|source| NodeConfigError::Invalid { path: path.into(), source })
}

impl NodeConfig {
    /// Parses a configuration.
    ///
    /// # Errors
    /// The field at fault, and what is wrong with it.
    pub fn parse(json: &[u8]) -> Result<NodeConfig, InvalidNodeConfig> {
        let raw = parse_raw(json)?;
        let deployment = config::deployment(raw.settings.get().as_bytes())
            .map_err(|e| InvalidNodeConfig::field("settings", e))?;
        if let Some(i) = deployment.classes.iter().position(String::is_empty) {
            return Err(InvalidNodeConfig::field(format!("settings.classes[{i}].name"), "missing"));
        }
        if let Some(i) = deployment.tenants.iter().position(String::is_empty) {
            return Err(InvalidNodeConfig::field(format!("settings.tenants[{i}].name"), "missing"));
        }
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| {
            InvalidNodeConfig::field("seed", format!("{:?} is no hexadecimal number of 64 bits", raw.seed))
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

/// What the settings say of notifications by service discovery.
pub fn staleness_settings(deployment: &Deployment) -> StalenessSettings {
    let drain_grace = deployment.drain_grace.clamp(0.0, MAX_DRAIN_GRACE_MS);
    StalenessSettings {
        lists_are_pushed: !deployment.policy.ask_for_list,
        drain_grace: Duration::from_secs_f64(drain_grace / 1000.0),
    }
}

#[cfg(test)]
mod tests;
