//! Configuration file of a supervisor: TOML, documented by `deploy/fleet.example.toml`.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::file::{read_config, ConfigFileError};
use crate::table_reader::{DurationRange, TableReader};
use crate::values::{read_text, ConfigError};
use ::supervisor::SupervisorPolicy;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Maximum number of instances of one supervisor.
pub const MAX_INSTANCES: usize = 4096;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Maximum length of a Unix socket's path, in bytes (`sun_path` of Linux, less its terminator).
const MAX_SOCKET_PATH_BYTES: usize = 107;
/// Maximum length of the folder's path, in bytes, so that `FOLDER/NAME.sock` is a valid socket path.
const MAX_FOLDER_BYTES: usize = MAX_SOCKET_PATH_BYTES - MAX_NAME_BYTES - "/.sock".len();
/// Maximum of `crashes`.
const MAX_CRASH_LIMIT: usize = 1000;
/// Maximum of all durations in the file, in milliseconds.
const ONE_HOUR_MS: u64 = 3_600_000;

/// Configuration of a supervisor.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Folder of pid files and Unix sockets.
    pub folder: PathBuf,
    /// Timeouts and limits.
    pub policy: SupervisorPolicy,
    /// `[council]`: client of the coordination service; `None` if the supervisor does not use one.
    pub coordination: Option<CoordinationClientConfig>,
    /// Name of this machine in the coordination service.
    pub machine: Option<String>,
    /// Zone of this machine, by which disruption budgets group its instances; empty if there is none.
    pub zone: String,
    /// Tier of the instances, by which disruption budgets group them; empty if there is none.
    pub tier: String,
    /// The instances, at least one.
    pub instances: Vec<InstanceConfig>,
}

/// Configuration of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceConfig {
    /// Unique name.
    pub name: String,
    /// Path of its platform configuration.
    pub config: PathBuf,
    /// Path of its operator's file.
    pub operator: Option<PathBuf>,
}

/// Content of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    fleet: RawFleet,
    council: Option<RawClientConfig>,
    #[serde(default)]
    instance: Vec<RawInstance>,
}

/// `[fleet]`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFleet {
    folder: Spanned<String>,
    machine: Option<Spanned<String>>,
    zone: Option<Spanned<String>>,
    tier: Option<Spanned<String>>,
    operator: Option<Spanned<String>>,
    spread: Option<Spanned<String>>,
    ready_within: Option<Spanned<String>>,
    stop_within: Option<Spanned<String>>,
    pause: Option<Spanned<String>>,
    pause_most: Option<Spanned<String>>,
    window: Option<Spanned<String>>,
    crashes: Option<Spanned<i64>>,
    at_once: Option<Spanned<i64>>,
    leaving_within: Option<Spanned<String>>,
}

/// `[[instance]]`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInstance {
    name: Spanned<String>,
    config: Spanned<String>,
    operator: Option<Spanned<String>>,
}

/// Parses the file's content.
///
/// # Errors
/// The first fault, with its position.
pub fn parse(bytes: &[u8]) -> Result<FleetConfig, ConfigError> {
    let (text, raw) = read_text::<RawFile>(bytes)?;
    let RawFile { fleet, council, instance: raw_instances } = raw;
    let table = TableReader { text, path: "fleet".into() };
    let folder = read_folder(&table, fleet.folder.clone())?;
    let default_operator = table.path("operator", fleet.operator.clone())?;
    let machine = optional_name(&table, "machine", fleet.machine.clone())?;
    let zone = optional_name(&table, "zone", fleet.zone.clone())?.unwrap_or_default();
    let tier = optional_name(&table, "tier", fleet.tier.clone())?.unwrap_or_default();
    let coordination = council.map(|raw| raw.resolve(text)).transpose()?;
    if coordination.is_some() && machine.is_none() {
        return Err(file_error("fleet.machine", "is required with [council]"));
    }
    let instances = read_instances(text, raw_instances, default_operator.as_ref())?;
    let policy = read_policy(&table, fleet, coordination.is_some())?;
    Ok(FleetConfig { folder, policy, coordination, machine, zone, tier, instances })
}

/// Error that concerns the whole file.
fn file_error(field: &str, message: &str) -> ConfigError {
    ConfigError { line: 0, column: 0, field: field.into(), message: message.into() }
}

fn read_folder(table: &TableReader, value: Spanned<String>) -> Result<PathBuf, ConfigError> {
    let offset = value.span().start;
    let folder = table.path("folder", Some(value))?.unwrap_or_default();
    if folder.as_os_str().len() > MAX_FOLDER_BYTES {
        let message = format!("is longer than {MAX_FOLDER_BYTES} bytes, too long for Unix sockets in it");
        return Err(table.error(offset, "folder", message));
    }
    Ok(folder)
}

/// Whether a text is a valid name of an instance, machine, zone or tier.
fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

fn invalid_name(text: &str) -> String {
    format!("{text:?} is not a name of 1 to {MAX_NAME_BYTES} letters, digits, - and _")
}

fn optional_name(
    table: &TableReader,
    key: &str,
    value: Option<Spanned<String>>,
) -> Result<Option<String>, ConfigError> {
    match value {
        Some(value) if !is_name(value.get_ref()) => {
            Err(table.error(value.span().start, key, invalid_name(value.get_ref())))
        }
        value => Ok(value.map(Spanned::into_inner)),
    }
}

fn read_instances(
    text: &str,
    raw_instances: Vec<RawInstance>,
    default_operator: Option<&PathBuf>,
) -> Result<Vec<InstanceConfig>, ConfigError> {
    let mut instances = Vec::new();
    let mut names = BTreeSet::new();
    for (index, raw) in raw_instances.into_iter().enumerate() {
        let table = TableReader { text, path: format!("instance[{index}]") };
        let offset = raw.name.span().start;
        let name = raw.name.into_inner();
        let fault = if !is_name(&name) {
            Some(invalid_name(&name))
        } else if !names.insert(name.clone()) {
            Some(format!("another instance has the name {name:?}"))
        } else if index >= MAX_INSTANCES {
            Some(format!("there are more than {MAX_INSTANCES} instances"))
        } else {
            None
        };
        if let Some(message) = fault {
            return Err(table.error(offset, "name", message));
        }
        let config = table.path("config", Some(raw.config))?.unwrap_or_default();
        let operator = table.path("operator", raw.operator)?.or_else(|| default_operator.cloned());
        instances.push(InstanceConfig { name, config, operator });
    }
    if instances.is_empty() {
        return Err(file_error("instance", "there are no instances"));
    }
    Ok(instances)
}

fn read_policy(
    table: &TableReader,
    raw: RawFleet,
    requires_lease: bool,
) -> Result<SupervisorPolicy, ConfigError> {
    let defaults = SupervisorPolicy::default();
    let duration = |key: &str, value, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        table.duration(key, value, DurationRange { default, min: 0, max: ONE_HOUR_MS })
    };
    Ok(SupervisorPolicy {
        start_interval: duration("spread", raw.spread, defaults.start_interval)?,
        ready_timeout: duration("ready_within", raw.ready_within, defaults.ready_timeout)?,
        stop_timeout: duration("stop_within", raw.stop_within, defaults.stop_timeout)?,
        initial_backoff: duration("pause", raw.pause, defaults.initial_backoff)?,
        max_backoff: duration("pause_most", raw.pause_most, defaults.max_backoff)?,
        crash_window: duration("window", raw.window, defaults.crash_window)?,
        crash_limit: table.count("crashes", raw.crashes, defaults.crash_limit, MAX_CRASH_LIMIT)?,
        max_parallel: table.count("at_once", raw.at_once, defaults.max_parallel, MAX_INSTANCES)?,
        predecessor_drain_timeout: duration(
            "leaving_within",
            raw.leaving_within,
            defaults.predecessor_drain_timeout,
        )?,
        requires_lease,
    })
}

/// Reads the file. Paths in it are relative to its folder.
///
/// # Errors
/// One line: the path, line and column if known, the field, and the fault.
pub fn read(path: &Path) -> Result<FleetConfig, ConfigFileError> {
    let mut fleet = read_config(path, parse)?;
    let base = path.parent().unwrap_or(Path::new(""));
    fleet.folder = base.join(&fleet.folder);
    for instance in &mut fleet.instances {
        instance.config = base.join(&instance.config);
        instance.operator = instance.operator.as_ref().map(|operator| base.join(operator));
    }
    Ok(fleet)
}

/// Whether a TOML file contains a `[fleet]` or `[[instance]]` table and is thus the configuration of a supervisor.
pub fn is_fleet_file(path: &Path) -> bool {
    let bytes = crate::operator::read_consistent(path, crate::operator::MAX_FILE_BYTES).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    text.lines().any(|line| matches!(line.trim(), "[fleet]" | "[[instance]]"))
}
