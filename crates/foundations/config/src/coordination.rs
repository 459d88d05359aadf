//! What the council's files say: `[council]` of a voter's own file with its `[[voter]]`s, and `[council]` of the files of
//! those that are its clients. `deploy/council.example.toml` documents the voter's.
use crate::file::{read_config, ConfigFileError};
use crate::values::{fault_at, path_value, quantity, read_text, read_whole, ConfigError, MAX_FILE_BYTES};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Most voters.
pub const MAX_VOTERS: usize = 9;
/// Longest name of a voter.
const NAME_MOST: usize = 32;
/// Longest path of the folder: a Unix socket in it still has a path that the system takes.
const FOLDER_MOST: usize = 107 - 16;

/// All that a voter's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// The voter's name, one of `voters`.
    pub name: String,
    /// Where its journal, its lock and its control socket are.
    pub folder: PathBuf,
    /// The unit of its waits: a leader is heard every two, and missed after ten to twenty.
    pub tick: Duration,
    /// Clients that it takes.
    pub clients: usize,
    /// Where it listens, if that is not where the others reach it.
    pub listen: Option<SocketAddr>,
    /// Names and addresses of all voters, its own among them.
    pub voters: Vec<(String, SocketAddr)>,
}

impl CoordinationConfig {
    /// Where the others reach it.
    pub fn addr(&self) -> SocketAddr {
        let own = self.voters.iter().find(|(name, _)| *name == self.name);
        own.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |(_, addr)| *addr)
    }

    /// Where it listens.
    pub fn listen(&self) -> SocketAddr {
        self.listen.unwrap_or_else(|| self.addr())
    }
}

/// What a client's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationClientConfig {
    /// Where the voters listen.
    pub voters: Vec<SocketAddr>,
    /// Its session ends when it is not renewed for so long.
    pub ttl: Duration,
    /// How long an answer may take before the connection counts as dead.
    pub patience: Duration,
    /// A balancer counts as cold, and so as out, for so long after it began to serve.
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

/// `[council]` of a client's file.
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
    let what = format!("{:?} is no address with a port, such as \"127.0.0.1:7801\"", given.get_ref());
    parsed.ok_or_else(|| fault_at(text, given.span().start, field, what))
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl RawClientConfig {
    /// With what is checked.
    ///
    /// # Errors
    /// The first fault, with its place.
    pub(crate) fn resolve(self, text: &str) -> Result<CoordinationClientConfig, ConfigError> {
        let list = self.voters.get_ref();
        if list.is_empty() || list.len() > MAX_VOTERS {
            let what = format!("names {} voters, and 1 to {MAX_VOTERS} is right", list.len());
            return Err(fault_at(text, self.voters.span().start, "council.voters", what));
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

/// Reads the text of a voter's file.
///
/// # Errors
/// The first fault, with its place.
pub fn parse(bytes: &[u8]) -> Result<CoordinationConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let Raw { council: c, voter } = raw;
    let mut voters: Vec<(String, SocketAddr)> = Vec::new();
    let mut names = BTreeSet::new();
    for (k, v) in voter.iter().enumerate() {
        let field = |name: &str| format!("voter[{k}].{name}");
        let name = v.name.get_ref();
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let what = if name.is_empty() || name.len() > NAME_MOST || !name.chars().all(plain) {
            Some(format!("{name:?} is no name of 1 to {NAME_MOST} letters, digits, - and _"))
        } else if !names.insert(name.clone()) {
            Some(format!("another voter is called {name:?}"))
        } else if k >= MAX_VOTERS {
            Some(format!("there are more than {MAX_VOTERS} voters"))
        } else {
            None
        };
        if let Some(what) = what {
            return Err(fault_at(text, v.name.span().start, &field("name"), what));
        }
        let addr = address(text, &field("addr"), &v.addr)?;
        if let Some((other, _)) = voters.iter().find(|(_, a)| *a == addr) {
            return Err(fault_at(
                text,
                v.addr.span().start,
                &field("addr"),
                format!("is the address of {other:?} too"),
            ));
        }
        voters.push((name.clone(), addr));
    }
    if voters.is_empty() {
        return Err(ConfigError { line: 0, column: 0, field: "voter".into(), what: "there is none".into() });
    }
    let name = c.name.get_ref().clone();
    if !names.contains(&name) {
        let what = format!("{name:?} is none of the voters");
        return Err(fault_at(text, c.name.span().start, "council.name", what));
    }
    let at = c.folder.span().start;
    let folder = path_value(text, "council.folder", Some(c.folder))?.unwrap_or_default();
    if folder.as_os_str().len() > FOLDER_MOST {
        let what = format!("has more than {FOLDER_MOST} bytes, too many for a Unix socket in it");
        return Err(fault_at(text, at, "council.folder", what));
    }
    let clients = match &c.clients {
        None => 1024,
        Some(given) => {
            let count = usize::try_from(*given.get_ref()).ok().filter(|n| (1..=16_384).contains(n));
            let what = "is not between 1 and 16384".to_string();
            count.ok_or_else(|| fault_at(text, given.span().start, "council.clients", what))?
        }
    };
    let listen = c.listen.as_ref().map(|given| address(text, "council.listen", given)).transpose()?;
    let tick = quantity(text, "council.tick", c.tick, ms(100), ms(10), ms(10_000))?;
    Ok(CoordinationConfig { name, folder, tick, clients, listen, voters })
}

/// Reads a voter's file. Its folder is relative to the file's.
///
/// # Errors
/// One line: the file's path, then line and column where there are any, the field, and what is wrong.
pub fn read(path: &Path) -> Result<CoordinationConfig, ConfigFileError> {
    let mut config = read_config(path, parse)?;
    config.folder = path.parent().unwrap_or(Path::new("")).join(&config.folder);
    Ok(config)
}

/// Whether a TOML file is a voter's, by its tables.
pub fn is_coordination_file(path: &Path) -> bool {
    let bytes = read_whole(path, MAX_FILE_BYTES).unwrap_or_default();
    String::from_utf8_lossy(&bytes).lines().any(|line| line.trim() == "[[voter]]")
}
