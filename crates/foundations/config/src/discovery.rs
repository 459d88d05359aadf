//! Service discovery tables of the operator's file: `[registry]`, `[[consul]]` and `[[static]]`.
use crate::table_reader::{DurationRange, TableReader};
use crate::values::{ConfigError, Quantity};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Maximum number of tables of one kind.
const MAX_TABLES: usize = 4096;
/// Maximum number of Consul agents of one service.
const MAX_AGENTS: usize = 16;
/// Maximum number of datacentres that are named for one service.
const MAX_DATACENTRES: usize = 64;

const ONE_HOUR_MS: u64 = 3_600_000;
const ONE_DAY_MS: u64 = 86_400_000;

const MAX_CACHE_AGE: DurationRange = DurationRange { default: ONE_HOUR_MS, min: 1000, max: 30 * ONE_DAY_MS };
const CACHE_WRITE_INTERVAL: DurationRange = DurationRange { default: 1000, min: 100, max: ONE_HOUR_MS };
const QUERY_WAIT: DurationRange = DurationRange { default: 10_000, min: 100, max: 600_000 };
const MIN_POLL_INTERVAL: DurationRange = DurationRange { default: 100, min: 10, max: 500 };
const INITIAL_BACKOFF: DurationRange = DurationRange { default: 250, min: 10, max: 60_000 };
const MAX_BACKOFF: DurationRange = DurationRange { default: 10_000, min: 10, max: 600_000 };
const MAX_STALENESS: DurationRange = DurationRange { default: 5000, min: 0, max: 600_000 };
const REGROW_TIMEOUT: DurationRange = DurationRange { default: 120_000, min: 0, max: ONE_HOUR_MS };
const CHECK_TTL: DurationRange = DurationRange { default: 15_000, min: 1000, max: ONE_HOUR_MS };
const DEREGISTER_AFTER: DurationRange = DurationRange { default: 0, min: 0, max: ONE_DAY_MS };

/// Values of `speaks`: whether endpoints speak FastCGI.
const PROTOCOLS: &[(&str, bool)] = &[("http", false), ("fastcgi", true)];
/// Values of `consistency`.
const CONSISTENCY_MODES: &[(&str, Consistency)] = &[
    ("default", Consistency::Default),
    ("stale", Consistency::Stale),
    ("consistent", Consistency::Consistent),
];

/// Sources of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryConfig {
    /// Whether the platform's discovery service is a source.
    pub platform: bool,
    /// Whether endpoints of the platform's discovery service speak FastCGI instead of HTTP.
    pub fastcgi: bool,
    /// Whether unhealthy endpoints receive requests while no endpoint is ready.
    pub last_resort: bool,
    /// File in which the endpoint list is cached; `None`: it is not cached.
    pub cache_file: Option<PathBuf>,
    /// Maximum age of a source's cached endpoints at the start.
    pub max_cache_age: Duration,
    /// Minimum time between two writes of the cache file.
    pub cache_write_interval: Duration,
    /// Services of Consul.
    pub consul: Vec<ConsulConfig>,
    /// Endpoints listed in the file itself.
    pub static_endpoints: Vec<StaticEndpoint>,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig {
            platform: true,
            fastcgi: false,
            last_resort: true,
            cache_file: None,
            max_cache_age: Duration::from_millis(MAX_CACHE_AGE.default),
            cache_write_interval: Duration::from_millis(CACHE_WRITE_INTERVAL.default),
            consul: Vec::new(),
            static_endpoints: Vec::new(),
        }
    }
}

/// Datacentres in which a service is watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datacentres {
    /// The agent's own datacentre.
    Own,
    /// The datacentres of these names.
    Named(Vec<String>),
    /// All datacentres of the catalogue.
    All,
}

/// A service of Consul as a source of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsulConfig {
    /// Unique name of this source.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// The agents' HTTP addresses, in order of preference.
    pub agents: Vec<SocketAddr>,
    /// Datacentres in which the service is watched.
    pub datacentres: Datacentres,
    /// Whether the health endpoint is queried, with all checks, instead of the catalogue.
    pub health: bool,
    /// Consistency mode of the queries.
    pub consistency: Consistency,
    /// Namespace; `None`: the agent's default.
    pub namespace: Option<String>,
    /// Admin partition; `None`: the agent's default.
    pub partition: Option<String>,
    /// Filter expression of the queries.
    pub filter: Option<String>,
    /// File that contains the ACL token.
    pub token_file: Option<PathBuf>,
    /// Time that a blocking query waits for a change.
    pub wait: Duration,
    /// Minimum time between two responses that contain changes.
    pub min_poll_interval: Duration,
    /// Delay after the first failure; it doubles with each subsequent failure.
    pub initial_backoff: Duration,
    /// Upper bound of the delay after a failure; at least `initial_backoff`.
    pub max_backoff: Duration,
    /// Maximum age of a response in the stale mode.
    pub max_staleness: Duration,
    /// Time for which endpoints are kept that are missing from a list after its index went backwards.
    pub regrow_timeout: Duration,
    /// Metadata keys of the endpoints' attributes.
    pub meta_keys: MetaKeys,
    /// Name of the tagged address to use; empty: the service's address, or else its node's.
    pub tagged_address: String,
    /// Whether its endpoints speak FastCGI instead of HTTP.
    pub fastcgi: bool,
    /// Registration of this instance as a service; `None`: it is not registered.
    pub registration: Option<RegistrationConfig>,
}

/// Consistency mode of Consul queries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// Answered by the leader.
    #[default]
    Default,
    /// Answered by any server.
    Stale,
    /// Answered by the leader after a quorum confirmed its leadership.
    Consistent,
}

/// Metadata keys that contain the attributes of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetaKeys {
    /// Key of the name; `None`: the name is made of node and service id.
    pub name: Option<String>,
    /// Key of the zone.
    pub zone: String,
    /// Key of the machine kind.
    pub kind: String,
    /// Key of the cell.
    pub cell: String,
    /// Key of the start time, in Unix milliseconds.
    pub started: String,
}

/// Registration of this instance as a service at its Consul agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrationConfig {
    /// Name of the service.
    pub service: String,
    /// Service id; `None`: made of the names of the service and the instance.
    pub id: Option<String>,
    /// Tags of the service.
    pub tags: Vec<String>,
    /// Metadata of the service.
    pub meta: BTreeMap<String, String>,
    /// Time to live of the check.
    pub ttl: Duration,
    /// Time in the critical state after which Consul deregisters the service; zero: never.
    pub deregister_after: Duration,
}

/// An endpoint listed in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticEndpoint {
    /// Unique name.
    pub id: String,
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// Zone; empty if there is none.
    pub zone: String,
    /// Machine kind; empty if there is none.
    pub kind: String,
    /// Cell.
    pub cell: u16,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it speaks FastCGI instead of HTTP.
    pub fastcgi: bool,
}

/// `[registry]`
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRegistry {
    discovery: Option<bool>,
    speaks: Option<Spanned<String>>,
    last_resort: Option<bool>,
    saved: Option<Spanned<String>>,
    saved_most: Option<Spanned<String>>,
    saved_every: Option<Spanned<String>>,
}

/// `[[consul]]`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawConsul {
    name: Spanned<String>,
    service: Spanned<String>,
    agents: Spanned<Vec<Spanned<String>>>,
    datacentres: Option<Spanned<Vec<Spanned<String>>>>,
    list: Option<Spanned<String>>,
    consistency: Option<Spanned<String>>,
    namespace: Option<Spanned<String>>,
    partition: Option<Spanned<String>>,
    filter: Option<Spanned<String>>,
    token_file: Option<Spanned<String>>,
    wait: Option<Spanned<String>>,
    pace: Option<Spanned<String>>,
    pause: Option<Spanned<String>>,
    pause_most: Option<Spanned<String>>,
    stale_most: Option<Spanned<String>>,
    regrow: Option<Spanned<String>>,
    meta_name: Option<Spanned<String>>,
    meta_zone: Option<Spanned<String>>,
    meta_kind: Option<Spanned<String>>,
    meta_cell: Option<Spanned<String>>,
    meta_started: Option<Spanned<String>>,
    tagged: Option<Spanned<String>>,
    speaks: Option<Spanned<String>>,
    register: Option<RawRegister>,
}

/// `[consul.register]`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRegister {
    service: Spanned<String>,
    id: Option<Spanned<String>>,
    #[serde(default)]
    tags: Vec<Spanned<String>>,
    #[serde(default)]
    meta: BTreeMap<String, Spanned<String>>,
    ttl: Option<Spanned<String>>,
    forget_after: Option<Spanned<String>>,
}

/// `[[static]]`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawStatic {
    id: Spanned<String>,
    addr: Spanned<String>,
    zone: Option<Spanned<String>>,
    kind: Option<Spanned<String>>,
    cell: Option<Spanned<i64>>,
    state: Option<Spanned<String>>,
    speaks: Option<Spanned<String>>,
}

/// Reads `[registry]`, `[[consul]]` and `[[static]]`.
pub(crate) fn resolve(
    text: &str,
    registry: RawRegistry,
    consul: Vec<RawConsul>,
    static_tables: Vec<RawStatic>,
) -> Result<DiscoveryConfig, ConfigError> {
    if consul.len() > MAX_TABLES || static_tables.len() > MAX_TABLES {
        return Err(file_error("consul, static", format!("there are more than {MAX_TABLES} of one kind")));
    }
    let services = read_services(text, consul)?;
    let endpoints = read_static_endpoints(text, static_tables)?;
    read_registry(text, registry, services, endpoints)
}

/// Error that concerns the whole file.
fn file_error(field: &str, text: String) -> ConfigError {
    ConfigError { line: 0, column: 0, field: field.into(), message: text }
}

/// Fails if a name occurs twice.
fn check_unique(
    names: &mut BTreeSet<String>,
    table: &TableReader,
    key: &str,
    name: &str,
    offset: usize,
) -> Result<(), ConfigError> {
    if names.insert(name.to_string()) {
        return Ok(());
    }
    Err(table.error(offset, key, format!("duplicate name {name:?}")))
}

fn read_services(text: &str, tables: Vec<RawConsul>) -> Result<Vec<ConsulConfig>, ConfigError> {
    let mut names = BTreeSet::new();
    let mut services = Vec::new();
    for (index, raw) in tables.into_iter().enumerate() {
        let table = TableReader { text, path: format!("consul[{index}]") };
        let offset = raw.name.span().start;
        let service = read_service(&table, raw)?;
        check_unique(&mut names, &table, "name", &service.name, offset)?;
        services.push(service);
    }
    Ok(services)
}

fn read_static_endpoints(text: &str, tables: Vec<RawStatic>) -> Result<Vec<StaticEndpoint>, ConfigError> {
    let mut ids = BTreeSet::new();
    let mut endpoints = Vec::new();
    for (index, raw) in tables.into_iter().enumerate() {
        let table = TableReader { text, path: format!("static[{index}]") };
        let offset = raw.id.span().start;
        let id = table.string("id", raw.id)?;
        check_unique(&mut ids, &table, "id", &id, offset)?;
        let cell = match raw.cell {
            None => 0,
            Some(cell) => u16::try_from(*cell.get_ref())
                .map_err(|_| table.error(cell.span().start, "cell", "is not between 0 and 65535".into()))?,
        };
        endpoints.push(StaticEndpoint {
            id,
            addr: table.socket_addr("addr", raw.addr)?,
            zone: table.string_or("zone", raw.zone, "")?,
            kind: table.string_or("kind", raw.kind, "")?,
            cell,
            draining: table.keyword("state", raw.state, &[("active", false), ("draining", true)])?,
            fastcgi: table.keyword("speaks", raw.speaks, PROTOCOLS)?,
        });
    }
    Ok(endpoints)
}

fn read_registry(
    text: &str,
    raw: RawRegistry,
    services: Vec<ConsulConfig>,
    static_endpoints: Vec<StaticEndpoint>,
) -> Result<DiscoveryConfig, ConfigError> {
    let table = TableReader { text, path: "registry".into() };
    let defaults = DiscoveryConfig::default();
    let platform = raw.discovery.unwrap_or(defaults.platform);
    if !platform && services.is_empty() && static_endpoints.is_empty() {
        let message = "is off, and there is no other source of endpoints".into();
        return Err(file_error("registry.discovery", message));
    }
    Ok(DiscoveryConfig {
        platform,
        fastcgi: table.keyword("speaks", raw.speaks, PROTOCOLS)?,
        last_resort: raw.last_resort.unwrap_or(defaults.last_resort),
        cache_file: table.path("saved", raw.saved)?,
        max_cache_age: table.duration("saved_most", raw.saved_most, MAX_CACHE_AGE)?,
        cache_write_interval: table.duration("saved_every", raw.saved_every, CACHE_WRITE_INTERVAL)?,
        consul: services,
        static_endpoints,
    })
}

fn read_service(table: &TableReader, raw: RawConsul) -> Result<ConsulConfig, ConfigError> {
    let agents = read_agents(table, raw.agents)?;
    let datacentres = read_datacentres(table, raw.datacentres)?;
    let registration = raw.register.map(|raw| read_registration(table, raw)).transpose()?;
    let wait = table.duration("wait", raw.wait, QUERY_WAIT)?;
    let max_backoff_offset = raw.pause_most.as_ref().map_or(0, |value| value.span().start);
    let initial_backoff = table.duration("pause", raw.pause, INITIAL_BACKOFF)?;
    let max_backoff = table.duration("pause_most", raw.pause_most, MAX_BACKOFF)?;
    if max_backoff < initial_backoff {
        let message = format!("is below pause, {}", initial_backoff.to_text());
        return Err(table.error(max_backoff_offset, "pause_most", message));
    }
    Ok(ConsulConfig {
        name: table.string("name", raw.name)?,
        service: table.string("service", raw.service)?,
        agents,
        datacentres,
        health: table.keyword("list", raw.list, &[("health", true), ("catalogue", false)])?,
        consistency: table.keyword("consistency", raw.consistency, CONSISTENCY_MODES)?,
        namespace: table.optional_string("namespace", raw.namespace)?,
        partition: table.optional_string("partition", raw.partition)?,
        filter: table.optional_string("filter", raw.filter)?,
        token_file: table.path("token_file", raw.token_file)?,
        wait,
        min_poll_interval: table.duration("pace", raw.pace, MIN_POLL_INTERVAL)?,
        initial_backoff,
        max_backoff,
        max_staleness: table.duration("stale_most", raw.stale_most, MAX_STALENESS)?,
        regrow_timeout: table.duration("regrow", raw.regrow, REGROW_TIMEOUT)?,
        meta_keys: MetaKeys {
            name: table.optional_string("meta_name", raw.meta_name)?,
            zone: table.string_or("meta_zone", raw.meta_zone, "zone")?,
            kind: table.string_or("meta_kind", raw.meta_kind, "kind")?,
            cell: table.string_or("meta_cell", raw.meta_cell, "cell")?,
            started: table.string_or("meta_started", raw.meta_started, "started_ms")?,
        },
        tagged_address: table.string_or("tagged", raw.tagged, "")?,
        fastcgi: table.keyword("speaks", raw.speaks, PROTOCOLS)?,
        registration,
    })
}

fn read_agents(
    table: &TableReader,
    value: Spanned<Vec<Spanned<String>>>,
) -> Result<Vec<SocketAddr>, ConfigError> {
    let offset = value.span().start;
    let addresses = value.into_inner().into_iter().map(|agent| table.socket_addr("agents", agent));
    let agents = addresses.collect::<Result<Vec<_>, _>>()?;
    if agents.is_empty() || agents.len() > MAX_AGENTS {
        return Err(table.error(offset, "agents", format!("does not contain 1 to {MAX_AGENTS} addresses")));
    }
    Ok(agents)
}

fn read_datacentres(
    table: &TableReader,
    value: Option<Spanned<Vec<Spanned<String>>>>,
) -> Result<Datacentres, ConfigError> {
    let Some(value) = value else { return Ok(Datacentres::Own) };
    let offset = value.span().start;
    let names = table.strings("datacentres", value.into_inner())?;
    let error = |message: String| Err(table.error(offset, "datacentres", message));
    match &names[..] {
        [all] if all == "*" => Ok(Datacentres::All),
        [] => error("is empty; omit it for the agent's own datacentre".into()),
        _ if names.len() > MAX_DATACENTRES => error(format!("contains more than {MAX_DATACENTRES}")),
        _ => Ok(Datacentres::Named(names)),
    }
}

fn read_registration(service: &TableReader, raw: RawRegister) -> Result<RegistrationConfig, ConfigError> {
    let table = TableReader { text: service.text, path: service.field("register") };
    let meta = raw.meta.into_iter().map(|(key, value)| Ok((key, table.string("meta", value)?)));
    Ok(RegistrationConfig {
        service: table.string("service", raw.service)?,
        id: table.optional_string("id", raw.id)?,
        tags: table.strings("tags", raw.tags)?,
        meta: meta.collect::<Result<_, ConfigError>>()?,
        ttl: table.duration("ttl", raw.ttl, CHECK_TTL)?,
        deregister_after: table.duration("forget_after", raw.forget_after, DEREGISTER_AFTER)?,
    })
}
