//! The tables of the operator's file that say where members come from: `[registry]`, `[[consul]]`, `[[static]]`.
use crate::values::{fault_at, path_value, quantity, ConfigError, Quantity};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Most tables of one kind.
const TABLES_MOST: usize = 4096;
/// Longest text of a value.
const TEXT_MOST: usize = 512;

/// What members speak.
const SPEAKS: &[(&str, bool)] = &[("http", false), ("fastcgi", true)];

/// Where members come from.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryConfig {
    /// Whether the platform's discovery is asked.
    pub discovery: bool,
    /// Whether members of the platform's discovery speak FastCGI, and not HTTP.
    pub fastcgi: bool,
    /// Whether members whose checks fail take work while none is ready.
    pub last_resort: bool,
    /// The file with the last view.
    pub saved: Option<PathBuf>,
    /// How old what a source told may be to be taken from it.
    pub saved_most: Duration,
    /// How often it is written at most.
    pub saved_every: Duration,
    /// Consul's services.
    pub consul: Vec<ConsulConfig>,
    /// Members named here.
    pub fixed: Vec<Static>,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig {
            discovery: true,
            fastcgi: false,
            last_resort: true,
            saved: None,
            saved_most: Duration::from_secs(3600),
            saved_every: Duration::from_secs(1),
            consul: Vec::new(),
            fixed: Vec::new(),
        }
    }
}

/// Which datacentres are watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datacentres {
    /// The agent's own.
    Own,
    /// These.
    Named(Vec<String>),
    /// All that the catalogue has.
    All,
}

/// One service of Consul's.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsulConfig {
    /// What this source is called.
    pub name: String,
    /// The service.
    pub service: String,
    /// The agents' HTTP addresses, in the order in which they are asked.
    pub agents: Vec<SocketAddr>,
    /// Which datacentres.
    pub datacentres: Datacentres,
    /// `health` or `catalogue`.
    pub health: bool,
    /// `default`, `stale` or `consistent`.
    pub consistency: Consistency,
    /// The namespace.
    pub namespace: Option<String>,
    /// The admin partition.
    pub partition: Option<String>,
    /// A filter expression.
    pub filter: Option<String>,
    /// The file with the token.
    pub token_file: Option<PathBuf>,
    /// How long a query waits for news.
    pub wait: Duration,
    /// The least time between two answers that bring news.
    pub pace: Duration,
    /// The first pause after a failure, and the longest.
    pub pause: Duration,
    /// The longest.
    pub pause_most: Duration,
    /// How old an answer may be in the stale mode.
    pub stale_most: Duration,
    /// How long what a list lacks stays after its index went backwards.
    pub regrow: Duration,
    /// Metadata keys.
    pub meta: Meta,
    /// Which tagged address is used.
    pub tagged: String,
    /// Whether its members speak FastCGI, and not HTTP.
    pub fastcgi: bool,
    /// This instance as a service.
    pub register: Option<RegistrationConfig>,
}

/// Consul's consistency modes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// By the leader.
    #[default]
    Default,
    /// By any server.
    Stale,
    /// By the leader, which asks the others first.
    Consistent,
}

/// Metadata keys of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Meta {
    /// Its name; `None`: node and service id.
    pub name: Option<String>,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its group.
    pub cell: String,
    /// Its start, in Unix milliseconds.
    pub started: String,
}

/// How this instance registers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrationConfig {
    /// As what service.
    pub service: String,
    /// Its id; `None`: the service's and the instance's names.
    pub id: Option<String>,
    /// Tags.
    pub tags: Vec<String>,
    /// Metadata.
    pub meta: BTreeMap<String, String>,
    /// The check's time to live.
    pub ttl: Duration,
    /// Critical for so long, it is forgotten; zero: never.
    pub forget_after: Duration,
}

/// A member named in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Static {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its group.
    pub cell: u16,
    /// Whether it drains.
    pub draining: bool,
    /// Whether it speaks FastCGI, and not HTTP.
    pub fastcgi: bool,
}

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

/// Reads values of one table, naming what is wrong.
struct Table<'a> {
    text: &'a str,
    path: String,
}

impl Table<'_> {
    fn field(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    fn fault(&self, at: usize, name: &str, what: String) -> ConfigError {
        fault_at(self.text, at, &self.field(name), what)
    }

    fn span(
        &self,
        name: &str,
        given: Option<Spanned<String>>,
        bounds: [u64; 3],
    ) -> Result<Duration, ConfigError> {
        let [default, least, most] = bounds.map(Duration::from_millis);
        quantity(self.text, &self.field(name), given, default, least, most)
    }

    fn string(&self, name: &str, given: Spanned<String>) -> Result<String, ConfigError> {
        let at = given.span().start;
        let value = given.into_inner();
        if value.is_empty() || value.len() > TEXT_MOST || value.chars().any(char::is_control) {
            let what = format!("is no text of 1 to {TEXT_MOST} bytes without control characters");
            return Err(self.fault(at, name, what));
        }
        Ok(value)
    }

    fn maybe(&self, name: &str, given: Option<Spanned<String>>) -> Result<Option<String>, ConfigError> {
        given.map(|g| self.string(name, g)).transpose()
    }

    fn or(&self, name: &str, given: Option<Spanned<String>>, default: &str) -> Result<String, ConfigError> {
        Ok(self.maybe(name, given)?.unwrap_or_else(|| default.into()))
    }

    fn addr(&self, name: &str, given: Spanned<String>) -> Result<SocketAddr, ConfigError> {
        let what =
            || format!("{:?} is no IP address with a port, such as \"127.0.0.1:8500\"", given.get_ref());
        given.get_ref().parse().map_err(|_| self.fault(given.span().start, name, what()))
    }

    /// One of these words; the first is the default.
    fn word<T: Copy>(
        &self,
        name: &str,
        given: Option<Spanned<String>>,
        words: &[(&str, T)],
    ) -> Result<T, ConfigError> {
        let Some(given) = given else { return Ok(words[0].1) };
        let found = words.iter().find(|(word, _)| word == given.get_ref()).map(|&(_, value)| value);
        found.ok_or_else(|| {
            let names: Vec<&str> = words.iter().map(|&(word, _)| word).collect();
            self.fault(
                given.span().start,
                name,
                format!("{:?} is none of {}", given.get_ref(), names.join(", ")),
            )
        })
    }
}

/// Reads the three kinds of tables.
pub(crate) fn resolve(
    text: &str,
    raw: RawRegistry,
    consul: Vec<RawConsul>,
    fixed: Vec<RawStatic>,
) -> Result<DiscoveryConfig, ConfigError> {
    let d = DiscoveryConfig::default();
    let t = Table { text, path: "registry".into() };
    let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    if consul.len() > TABLES_MOST || fixed.len() > TABLES_MOST {
        let what = format!("there are more than {TABLES_MOST} of one kind");
        return Err(ConfigError { line: 0, column: 0, field: "consul, static".into(), what });
    }
    let mut names = BTreeSet::new();
    let mut unique = |t: &Table, field: &str, value: &str, at: usize| match names
        .insert((t.path.split('[').next().map(String::from), value.to_string()))
    {
        true => Ok(()),
        false => Err(t.fault(at, field, format!("another is called {value:?}"))),
    };
    let mut services = Vec::new();
    for (k, raw) in consul.into_iter().enumerate() {
        let t = Table { text, path: format!("consul[{k}]") };
        let at = raw.name.span().start;
        let service = one(&t, raw)?;
        unique(&t, "name", &service.name, at)?;
        services.push(service);
    }
    let mut members = Vec::new();
    for (k, raw) in fixed.into_iter().enumerate() {
        let t = Table { text, path: format!("static[{k}]") };
        let at = raw.id.span().start;
        let id = t.string("id", raw.id)?;
        unique(&t, "id", &id, at)?;
        let cell = match raw.cell {
            None => 0,
            Some(c) => u16::try_from(*c.get_ref())
                .map_err(|_| t.fault(c.span().start, "cell", "is not between 0 and 65535".into()))?,
        };
        members.push(Static {
            id,
            addr: t.addr("addr", raw.addr)?,
            zone: t.or("zone", raw.zone, "")?,
            kind: t.or("kind", raw.kind, "")?,
            cell,
            draining: t.word("state", raw.state, &[("active", false), ("draining", true)])?,
            fastcgi: t.word("speaks", raw.speaks, SPEAKS)?,
        });
    }
    let discovery = raw.discovery.unwrap_or(d.discovery);
    if !discovery && services.is_empty() && members.is_empty() {
        let what = "is off, and there is no other source of members".into();
        return Err(ConfigError { line: 0, column: 0, field: "registry.discovery".into(), what });
    }
    Ok(DiscoveryConfig {
        discovery,
        fastcgi: t.word("speaks", raw.speaks, SPEAKS)?,
        last_resort: raw.last_resort.unwrap_or(d.last_resort),
        saved: path_value(text, "registry.saved", raw.saved)?,
        saved_most: t.span("saved_most", raw.saved_most, [ms(d.saved_most), 1000, 30 * 86_400_000])?,
        saved_every: t.span("saved_every", raw.saved_every, [ms(d.saved_every), 100, 3_600_000])?,
        consul: services,
        fixed: members,
    })
}

fn one(t: &Table, raw: RawConsul) -> Result<ConsulConfig, ConfigError> {
    let agents_at = raw.agents.span().start;
    let agents: Vec<SocketAddr> =
        raw.agents.into_inner().into_iter().map(|a| t.addr("agents", a)).collect::<Result<_, _>>()?;
    if agents.is_empty() || agents.len() > 16 {
        return Err(t.fault(agents_at, "agents", "are not 1 to 16 addresses".into()));
    }
    let datacentres = match raw.datacentres {
        None => Datacentres::Own,
        Some(given) => {
            let at = given.span().start;
            let names: Vec<String> = given
                .into_inner()
                .into_iter()
                .map(|n| t.string("datacentres", n))
                .collect::<Result<_, _>>()?;
            match &names[..] {
                [all] if all == "*" => Datacentres::All,
                [] => {
                    return Err(t.fault(
                        at,
                        "datacentres",
                        "are none; leave it out for the agent's own".into(),
                    ))
                }
                _ if names.len() > 64 => return Err(t.fault(at, "datacentres", "are more than 64".into())),
                _ => Datacentres::Named(names),
            }
        }
    };
    let register = match raw.register {
        None => None,
        Some(r) => {
            let t = Table { text: t.text, path: t.field("register") };
            let meta = r.meta.into_iter().map(|(k, v)| Ok((k, t.string("meta", v)?)));
            Some(RegistrationConfig {
                service: t.string("service", r.service)?,
                id: t.maybe("id", r.id)?,
                tags: r.tags.into_iter().map(|v| t.string("tags", v)).collect::<Result<_, _>>()?,
                meta: meta.collect::<Result<_, ConfigError>>()?,
                ttl: t.span("ttl", r.ttl, [15_000, 1000, 3_600_000])?,
                forget_after: t.span("forget_after", r.forget_after, [0, 0, 86_400_000])?,
            })
        }
    };
    let wait = t.span("wait", raw.wait, [10_000, 100, 600_000])?;
    let (pause_at, most) = (raw.pause_most.as_ref().map_or(0, |p| p.span().start), raw.pause_most);
    let (pause, pause_most) =
        (t.span("pause", raw.pause, [250, 10, 60_000])?, t.span("pause_most", most, [10_000, 10, 600_000])?);
    if pause_most < pause {
        return Err(t.fault(pause_at, "pause_most", format!("is below pause, {}", pause.show())));
    }
    Ok(ConsulConfig {
        name: t.string("name", raw.name)?,
        service: t.string("service", raw.service)?,
        agents,
        datacentres,
        health: t.word("list", raw.list, &[("health", true), ("catalogue", false)])?,
        consistency: t.word(
            "consistency",
            raw.consistency,
            &[
                ("default", Consistency::Default),
                ("stale", Consistency::Stale),
                ("consistent", Consistency::Consistent),
            ],
        )?,
        namespace: t.maybe("namespace", raw.namespace)?,
        partition: t.maybe("partition", raw.partition)?,
        filter: t.maybe("filter", raw.filter)?,
        token_file: path_value(t.text, &t.field("token_file"), raw.token_file)?,
        wait,
        pace: t.span("pace", raw.pace, [100, 10, 500])?,
        pause,
        pause_most,
        stale_most: t.span("stale_most", raw.stale_most, [5000, 0, 600_000])?,
        regrow: t.span("regrow", raw.regrow, [120_000, 0, 3_600_000])?,
        meta: Meta {
            name: t.maybe("meta_name", raw.meta_name)?,
            zone: t.or("meta_zone", raw.meta_zone, "zone")?,
            kind: t.or("meta_kind", raw.meta_kind, "kind")?,
            cell: t.or("meta_cell", raw.meta_cell, "cell")?,
            started: t.or("meta_started", raw.meta_started, "started_ms")?,
        },
        tagged: t.or("tagged", raw.tagged, "")?,
        fastcgi: t.word("speaks", raw.speaks, SPEAKS)?,
        register,
    })
}
