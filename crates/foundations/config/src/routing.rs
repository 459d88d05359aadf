//! Routing files: pools, routes and expectations in TOML. `deploy/routes.example.toml` documents every key.
use crate::values::{fault_at, read_consistent, read_text, ConfigError, Quantity, MAX_FILE_BYTES};
use crate::Deployment;
use balancer::Effect;
use route_table::expect::prove;
use route_table::spec::{
    Claim, Conditions, Destination, Expectation, HeaderCondition, KnownNames, Pool, Route, SourceLocation,
    SplitKey, TableError,
};
use route_table::split::TOTAL_WEIGHT;
use route_table::table::Table;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use toml::Spanned;

/// Maximum number of files with expectations.
const MAX_EXPECTATION_FILES: usize = 64;
/// Maximum size of a file with routes or expectations, in bytes: 16 times that of an operator's file.
const MAX_TABLE_BYTES: u64 = MAX_FILE_BYTES * 16;
/// Maximum number of attempts that a route may allow.
const MAX_ATTEMPTS: u32 = 100;
/// Protocols that a pool may require.
const PROTOCOLS: [&str; 2] = ["http", "fastcgi"];

/// Table `[routing]` of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// File with pools and routes; `None`: all requests go to one pool of all endpoints.
    pub table: Option<PathBuf>,
    /// Files with expectations.
    pub expect: Vec<PathBuf>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRouting {
    table: Option<Spanned<String>>,
    #[serde(default)]
    expect: Vec<Spanned<String>>,
}

/// Checks the table `[routing]`.
pub(crate) fn resolve(text: &str, raw: RawRouting) -> Result<Routing, ConfigError> {
    let path = |field: &str, given: &Spanned<String>| {
        let value = given.get_ref();
        if value.is_empty() || value.len() > 4096 || value.contains('\0') {
            return Err(fault_at(text, given.span().start, field, "is not a valid path".into()));
        }
        Ok(PathBuf::from(value))
    };
    if let Some(excess) = raw.expect.get(MAX_EXPECTATION_FILES) {
        let message = format!("there are more than {MAX_EXPECTATION_FILES}");
        return Err(fault_at(text, excess.span().start, "routing.expect", message));
    }
    Ok(Routing {
        table: raw.table.as_ref().map(|t| path("routing.table", t)).transpose()?,
        expect: raw.expect.iter().map(|e| path("routing.expect", e)).collect::<Result<_, _>>()?,
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    #[serde(default)]
    pool: Vec<RawPool>,
    #[serde(default)]
    route: Vec<RawRoute>,
    #[serde(default)]
    expect: Vec<RawExpect>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPool {
    name: Spanned<String>,
    #[serde(default)]
    cells: Vec<u16>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    speaks: Option<Spanned<String>>,
    #[serde(default)]
    sources: Vec<String>,
    #[serde(default)]
    meta: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawHeader {
    There(bool),
    One(String),
    OneOf(Vec<String>),
}

/// Conditions of routes and expectations.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawWhen {
    #[serde(default)]
    front: Vec<String>,
    host: Option<String>,
    path: Option<String>,
    #[serde(default)]
    method: Vec<String>,
    #[serde(default)]
    class: Vec<String>,
    #[serde(default)]
    club: Vec<String>,
    keyed: Option<bool>,
    #[serde(default)]
    headers: BTreeMap<String, RawHeader>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    name: Spanned<String>,
    #[serde(default)]
    precedence: i64,
    #[serde(default)]
    when: RawWhen,
    to: Option<String>,
    refuse: Option<String>,
    #[serde(default)]
    split: BTreeMap<String, u32>,
    split_by: Option<Spanned<String>>,
    fallback: Option<String>,
    attempts: Option<Spanned<i64>>,
    time: Option<Spanned<String>>,
    retry: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAtMost {
    pool: String,
    part: Spanned<i64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawExpect {
    name: Spanned<String>,
    #[serde(default)]
    when: RawWhen,
    only: Option<Vec<String>>,
    cells: Option<Vec<u16>>,
    only_these: Option<String>,
    at_most: Option<RawAtMost>,
    refused: Option<bool>,
    never_retried: Option<bool>,
    routed: Option<bool>,
    apart: Option<bool>,
}

fn conditions(raw: RawWhen) -> Conditions {
    let header = |(name, value)| {
        let condition = match value {
            RawHeader::There(present) => HeaderCondition::Present(present),
            RawHeader::One(value) => HeaderCondition::OneOf(vec![value]),
            RawHeader::OneOf(values) => HeaderCondition::OneOf(values),
        };
        (name, condition)
    };
    Conditions {
        fronts: raw.front,
        host: raw.host,
        path: raw.path,
        methods: raw.method,
        classes: raw.class,
        clubs: raw.club,
        keyed: raw.keyed,
        headers: raw.headers.into_iter().map(header).collect(),
    }
}

/// Pools, routes and expectations of a file.
type ParsedFile = (Vec<Pool>, Vec<Route>, Vec<Expectation>);

/// Parses the content of a file; `name` is its path in error messages.
fn parse(name: &str, bytes: &[u8]) -> Result<ParsedFile, ConfigError> {
    let (text, raw) = read_text::<RawFile>(bytes)?;
    let source = SourceText { file: name.into(), text };
    Ok((
        raw.pool.into_iter().map(|pool| source.pool(pool)).collect::<Result<_, _>>()?,
        raw.route.into_iter().map(|route| source.route(route)).collect::<Result<_, _>>()?,
        raw.expect
            .into_iter()
            .map(|expectation| source.expectation(expectation))
            .collect::<Result<_, _>>()?,
    ))
}

/// Path and text of a file, to locate its items.
struct SourceText<'a> {
    file: Arc<str>,
    text: &'a str,
}

impl SourceText<'_> {
    fn location(&self, name: &Spanned<String>) -> SourceLocation {
        let line = fault_at(self.text, name.span().start, "", String::new()).line;
        SourceLocation { file: self.file.clone(), line }
    }

    fn route_error(&self, offset: usize, field: &str, message: &str) -> ConfigError {
        fault_at(self.text, offset, &format!("route.{field}"), message.into())
    }

    fn pool(&self, pool: RawPool) -> Result<Pool, ConfigError> {
        if let Some(speaks) = pool.speaks.as_ref().filter(|s| !PROTOCOLS.contains(&s.get_ref().as_str())) {
            let message = format!("{:?} is not one of {}", speaks.get_ref(), PROTOCOLS.join(", "));
            return Err(fault_at(self.text, speaks.span().start, "pool.speaks", message));
        }
        Ok(Pool {
            place: self.location(&pool.name),
            name: pool.name.into_inner(),
            cells: pool.cells,
            zones: pool.zones,
            kinds: pool.kinds,
            speaks: pool.speaks.map(Spanned::into_inner),
            sources: pool.sources,
            meta: pool.meta.into_iter().collect(),
        })
    }

    fn route(&self, route: RawRoute) -> Result<Route, ConfigError> {
        let split_key = self.split_key(route.split_by.as_ref())?;
        let to = match (route.to, route.refuse, route.split.is_empty()) {
            (Some(pool), None, true) => Destination::Pool(pool),
            (None, Some(reason), true) => Destination::Refuse(reason),
            (None, None, false) => Destination::Split(split_key, route.split.into_iter().collect()),
            _ => {
                let offset = route.name.span().start;
                return Err(self.route_error(offset, "to", "requires exactly one of to, refuse and split"));
            }
        };
        Ok(Route {
            attempts: self.attempts(route.attempts.as_ref(), route.retry)?,
            time_ms: self.time_ms(route.time.as_ref())?,
            place: self.location(&route.name),
            name: route.name.into_inner(),
            precedence: route.precedence,
            when: conditions(route.when),
            to,
            fallback: route.fallback,
        })
    }

    fn split_key(&self, key: Option<&Spanned<String>>) -> Result<SplitKey, ConfigError> {
        let Some(key) = key else {
            return Ok(SplitKey::Key);
        };
        match key.get_ref().as_str() {
            "key" => Ok(SplitKey::Key),
            "club" => Ok(SplitKey::Club),
            "id" => Ok(SplitKey::Id),
            _ => Err(self.route_error(key.span().start, "split_by", "is not one of key, club, id")),
        }
    }

    /// Maximum number of attempts of a route, from its fields `attempts` and `retry`; `None`: the limit of the class
    /// applies.
    fn attempts(
        &self,
        attempts: Option<&Spanned<i64>>,
        retry: Option<bool>,
    ) -> Result<Option<u32>, ConfigError> {
        let Some(attempts) = attempts else {
            return Ok((retry == Some(false)).then_some(1));
        };
        match u32::try_from(*attempts.get_ref()) {
            Ok(count) if (1..=MAX_ATTEMPTS).contains(&count) && (retry != Some(false) || count == 1) => {
                Ok(Some(count))
            }
            _ => {
                let message = format!("is not between 1 and {MAX_ATTEMPTS}, or more than `retry` allows");
                Err(self.route_error(attempts.span().start, "attempts", &message))
            }
        }
    }

    fn time_ms(&self, time: Option<&Spanned<String>>) -> Result<Option<u64>, ConfigError> {
        let Some(time) = time else {
            return Ok(None);
        };
        match Duration::parse(time.get_ref()) {
            Ok(duration) if !duration.is_zero() => Ok(u64::try_from(duration.as_millis()).ok()),
            Ok(_) => Err(self.route_error(time.span().start, "time", "is zero")),
            Err(message) => Err(self.route_error(time.span().start, "time", &message)),
        }
    }

    fn expectation(&self, expectation: RawExpect) -> Result<Expectation, ConfigError> {
        let offset = expectation.name.span().start;
        let claims = [
            expectation.only.map(Claim::Only),
            expectation.cells.map(Claim::Cells),
            expectation.only_these.map(Claim::OnlyThese),
            expectation.refused.filter(|&is_set| is_set).map(|_| Claim::Refused),
            expectation.never_retried.filter(|&is_set| is_set).map(|_| Claim::NeverRetried),
            expectation.routed.filter(|&is_set| is_set).map(|_| Claim::Routed),
            expectation.apart.filter(|&is_set| is_set).map(|_| Claim::Apart),
            expectation.at_most.map(|limit| self.at_most(limit)).transpose()?,
        ];
        let mut claims = claims.into_iter().flatten();
        let (Some(claim), None) = (claims.next(), claims.next()) else {
            let message =
                "requires exactly one claim that is not false: only, cells, only_these, at_most, refused, \
                           never_retried, routed or apart";
            return Err(fault_at(self.text, offset, "expect", message.into()));
        };
        Ok(Expectation {
            place: self.location(&expectation.name),
            name: expectation.name.into_inner(),
            when: conditions(expectation.when),
            claim,
        })
    }

    fn at_most(&self, limit: RawAtMost) -> Result<Claim, ConfigError> {
        match u32::try_from(*limit.part.get_ref()) {
            Ok(part) if part <= TOTAL_WEIGHT => Ok(Claim::AtMost(limit.pool, part)),
            _ => {
                let message = format!("is not between 0 and {TOTAL_WEIGHT}");
                Err(fault_at(self.text, limit.part.span().start, "expect.at_most.part", message))
            }
        }
    }
}

/// Names of a deployment that routes may use.
pub fn world(deployment: &Deployment) -> KnownNames {
    KnownNames {
        classes: deployment.classes.clone(),
        clubs: deployment.tenants.clone(),
        keyed: deployment.policy.classes.iter().map(|c| matches!(c.effect, Effect::Guarded { .. })).collect(),
        zones: deployment.zones.clone(),
        kinds: deployment.kinds.clone(),
    }
}

fn read_file(path: &Path) -> Result<ParsedFile, String> {
    let name = path.display().to_string();
    let bytes = read_consistent(path, MAX_TABLE_BYTES).map_err(|e| format!("{name}: {e}"))?;
    parse(&name, &bytes).map_err(|error| format!("{name}: {error}"))
}

/// Reads and checks the table of routes, and reads the expectations without proving them. Relative paths are resolved
/// against `base`. Returns `None` if no table is configured.
///
/// # Errors
/// All faults, each with its file and, if known, its line.
pub fn read(
    routing: &Routing,
    base: &Path,
    known_names: &KnownNames,
) -> Result<Option<(Table, Vec<Expectation>)>, Vec<String>> {
    let Some(path) = &routing.table else {
        let is_unused = routing.expect.is_empty();
        return if is_unused { Ok(None) } else { Err(vec!["routing.expect: requires routing.table".into()]) };
    };
    let (pools, routes, mut expectations) = read_file(&base.join(path)).map_err(|e| vec![e])?;
    for path in &routing.expect {
        let (pools, routes, additional) = read_file(&base.join(path)).map_err(|e| vec![e])?;
        if !pools.is_empty() || !routes.is_empty() {
            return Err(vec![format!(
                "{}: pools and routes are only allowed in the file of routing.table",
                path.display()
            )]);
        }
        expectations.extend(additional);
    }
    let table = Table::new(known_names.clone(), pools, routes).map_err(messages)?;
    Ok(Some((table, expectations)))
}

fn messages(errors: Vec<TableError>) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

/// Reads and checks the table of routes as [`read`] does, and proves the expectations.
///
/// # Errors
/// All faults, each with its file and, if known, its line.
pub fn load(routing: &Routing, base: &Path, known_names: &KnownNames) -> Result<Option<Table>, Vec<String>> {
    let Some((table, expectations)) = read(routing, base, known_names)? else { return Ok(None) };
    prove(&table, &expectations).map_err(messages)?;
    Ok(Some(table))
}
