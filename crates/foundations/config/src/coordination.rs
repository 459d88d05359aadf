//! Configuration of the coordination service: the file of a voter, with `[council]` and `[[voter]]`, and the table `[council]`
//! in the files of its clients. `deploy/council.example.toml` documents the file of a voter.
use crate::file::{read_config, ConfigFileError};
use crate::values::{
    fault_at, path_value, quantity, read_consistent, read_text, ConfigError, MAX_FILE_BYTES,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Maximum number of voters.
pub const MAX_VOTERS: usize = 9;
/// Maximum length of a voter's name, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Maximum length of the folder's path, in bytes: the path of a Unix socket in it must not exceed the system's limit.
const MAX_FOLDER_BYTES: usize = 107 - 16;

/// Default of the maximum number of connected clients.
const DEFAULT_CLIENTS: usize = 1024;
/// Upper bound of the configured maximum number of connected clients.
const MAX_CLIENTS: usize = 16_384;

/// The configuration file of a voter.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// Name of the voter, one of `voters`.
    pub name: String,
    /// Folder of the voter's journal, lock and control socket.
    pub folder: PathBuf,
    /// Raft tick: a leader sends a heartbeat every two ticks, and the election timeout is 10 to 20 ticks.
    pub tick: Duration,
    /// Maximum number of connected clients.
    pub clients: usize,
    /// Address to listen on, if it differs from the one in `voters`.
    pub listen: Option<SocketAddr>,
    /// Names and addresses of all voters, including this one.
    pub voters: Vec<(String, SocketAddr)>,
}

impl CoordinationConfig {
    /// Address at which the other voters reach this voter.
    pub fn addr(&self) -> SocketAddr {
        let own = self.voters.iter().find(|(name, _)| *name == self.name);
        own.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |(_, addr)| *addr)
    }

    /// Address to listen on.
    pub fn listen(&self) -> SocketAddr {
        self.listen.unwrap_or_else(|| self.addr())
    }
}

/// Configuration of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationClientConfig {
    /// Addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// Time to live of the client's session without a renewal.
    pub ttl: Duration,
    /// Time without a response after which the connection is closed.
    pub patience: Duration,
    /// Time after its start during which a balancer is considered to be warming up and thus unavailable.
    pub warm: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    council: RawCoordinationConfig,
    #[serde(default)]
    voter: Vec<RawVoter>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCoordinationConfig {
    name: Spanned<String>,
    folder: Spanned<String>,
    listen: Option<Spanned<String>>,
    tick: Option<Spanned<String>>,
    clients: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVoter {
    name: Spanned<String>,
    addr: Spanned<String>,
}

/// The table `[council]` of a client.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClientConfig {
    voters: Spanned<Vec<Spanned<String>>>,
    ttl: Option<Spanned<String>>,
    patience: Option<Spanned<String>>,
    warm: Option<Spanned<String>>,
}

fn address(text: &str, field: &str, given: &Spanned<String>) -> Result<SocketAddr, ConfigError> {
    let parsed = given.get_ref().parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
    let message = format!("{:?} is not an address with a port, such as \"127.0.0.1:7801\"", given.get_ref());
    parsed.ok_or_else(|| fault_at(text, given.span().start, field, message))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl RawClientConfig {
    /// Checks the values and applies the defaults.
    ///
    /// # Errors
    /// The first invalid value.
    pub(crate) fn resolve(self, text: &str) -> Result<CoordinationClientConfig, ConfigError> {
        let list = self.voters.get_ref();
        if list.is_empty() || list.len() > MAX_VOTERS {
            let message = format!("contains {} voters instead of 1 to {MAX_VOTERS}", list.len());
            return Err(fault_at(text, self.voters.span().start, "council.voters", message));
        }
        let voters = list.iter().map(|given| address(text, "council.voters", given));
        Ok(CoordinationClientConfig {
            voters: voters.collect::<Result<_, _>>()?,
            ttl: quantity(text, "council.ttl", self.ttl, ms(5000), ms(1000), ms(600_000))?,
            patience: quantity(text, "council.patience", self.patience, ms(2000), ms(100), ms(60_000))?,
            warm: quantity(text, "council.warm", self.warm, ms(0), ms(0), ms(600_000))?,
        })
    }
}

/// Parses the configuration file of a voter.
///
/// # Errors
/// The first invalid value.
pub fn parse(bytes: &[u8]) -> Result<CoordinationConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let Raw { council, voter } = raw;
    let voters = parse_voters(text, &voter)?;
    let name = council.name.get_ref().clone();
    if !voters.iter().any(|(voter, _)| *voter == name) {
        let message = format!("{name:?} is not one of the voters");
        return Err(fault_at(text, council.name.span().start, "council.name", message));
    }
    let folder_at = council.folder.span().start;
    let folder = path_value(text, "council.folder", Some(council.folder))?.unwrap_or_default();
    if folder.as_os_str().len() > MAX_FOLDER_BYTES {
        let message = format!("is longer than {MAX_FOLDER_BYTES} bytes, too long for a Unix socket in it");
        return Err(fault_at(text, folder_at, "council.folder", message));
    }
    let clients = parse_clients(text, council.clients.as_ref())?;
    let listen = council.listen.as_ref().map(|given| address(text, "council.listen", given)).transpose()?;
    let tick = quantity(text, "council.tick", council.tick, ms(100), ms(10), ms(10_000))?;
    Ok(CoordinationConfig { name, folder, tick, clients, listen, voters })
}

fn parse_voters(text: &str, raw: &[RawVoter]) -> Result<Vec<(String, SocketAddr)>, ConfigError> {
    let mut voters: Vec<(String, SocketAddr)> = Vec::new();
    for (index, voter) in raw.iter().enumerate() {
        let field = |name: &str| format!("voter[{index}].{name}");
        let name = voter.name.get_ref();
        if let Some(message) = invalid_name(name, &voters) {
            return Err(fault_at(text, voter.name.span().start, &field("name"), message));
        }
        let addr = address(text, &field("addr"), &voter.addr)?;
        if let Some((other, _)) = voters.iter().find(|(_, known)| *known == addr) {
            let message = format!("is also the address of {other:?}");
            return Err(fault_at(text, voter.addr.span().start, &field("addr"), message));
        }
        voters.push((name.clone(), addr));
    }
    if voters.is_empty() {
        return Err(ConfigError {
            line: 0,
            column: 0,
            field: "voter".into(),
            message: "there are no voters".into(),
        });
    }
    Ok(voters)
}

/// Why a voter with this name can't be added, if it can't.
fn invalid_name(name: &str, voters: &[(String, SocketAddr)]) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        Some(format!("{name:?} is not a name of 1 to {MAX_NAME_BYTES} letters, digits, - and _"))
    } else if voters.iter().any(|(other, _)| other == name) {
        Some(format!("another voter has the name {name:?}"))
    } else if voters.len() >= MAX_VOTERS {
        Some(format!("there are more than {MAX_VOTERS} voters"))
    } else {
        None
    }
}

fn parse_clients(text: &str, given: Option<&Spanned<i64>>) -> Result<usize, ConfigError> {
    let Some(given) = given else { return Ok(DEFAULT_CLIENTS) };
    let count = usize::try_from(*given.get_ref()).ok().filter(|count| (1..=MAX_CLIENTS).contains(count));
    let message = format!("is not between 1 and {MAX_CLIENTS}");
    count.ok_or_else(|| fault_at(text, given.span().start, "council.clients", message))
}

/// Reads the configuration file of a voter. A relative folder is resolved against the folder of the file.
///
/// # Errors
/// The file can't be read or is invalid.
pub fn read(path: &Path) -> Result<CoordinationConfig, ConfigFileError> {
    let mut config = read_config(path, parse)?;
    config.folder = path.parent().unwrap_or(Path::new("")).join(&config.folder);
    Ok(config)
}

/// Whether a TOML file contains a `[[voter]]` table and is thus the configuration of a voter.
pub fn is_coordination_file(path: &Path) -> bool {
    let bytes = read_consistent(path, MAX_FILE_BYTES).unwrap_or_default();
    String::from_utf8_lossy(&bytes).lines().any(|line| line.trim() == "[[voter]]")
}
