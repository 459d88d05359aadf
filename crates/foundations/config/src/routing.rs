//! Routing files: pools, routes and expectations in TOML. `deploy/routes.example.toml` documents every key.
use crate::values::{fault_at, read_consistent, read_text, ConfigError, Quantity, MAX_FILE_BYTES};
use crate::Deployment;
use balancer::Effect;
use route_table::expect::prove;
use route_table::spec::{
    Claim, Conditions, Destination, Expectation, HeaderIs, KnownNames, Pool, Route, SourceLocation, SplitKey,
    TableError,
};
use route_table::table::Table;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use toml::Spanned;

/// Most files with expectations.
const MAX_EXPECTATION_FILES: usize = 64;
/// Largest file with routes or expectations: 16 times an operator's file.
const MAX_TABLE_BYTES: u64 = MAX_FILE_BYTES * 16;

/// `[routing]` of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// The file with pools and routes; none: all requests go to one pool of all members.
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

pub(crate) fn resolve(text: &str, raw: RawRouting) -> Result<Routing, ConfigError> {
    let path = |field: &str, given: &Spanned<String>| {
        let value = given.get_ref();
        if value.is_empty() || value.len() > 4096 || value.contains('\0') {
            return Err(fault_at(text, given.span().start, field, "is no path".into()));
        }
        Ok(PathBuf::from(value))
    };
    if let Some(more) = raw.expect.get(MAX_EXPECTATION_FILES) {
        let what = format!("there are more than {MAX_EXPECTATION_FILES}");
        return Err(fault_at(text, more.span().start, "routing.expect", what));
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

/// Conditions, in routes and expectations alike.
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
struct RawRequestLimits {
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
    at_most: Option<RawRequestLimits>,
    refused: Option<bool>,
    never_retried: Option<bool>,
    routed: Option<bool>,
    apart: Option<bool>,
}

fn when(raw: RawWhen) -> Conditions {
    let header = |(name, is)| {
        let is = match is {
            RawHeader::There(there) => HeaderIs::There(there),
            RawHeader::One(value) => HeaderIs::OneOf(vec![value]),
            RawHeader::OneOf(values) => HeaderIs::OneOf(values),
        };
        (name, is)
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

type Parts = (Vec<Pool>, Vec<Route>, Vec<Expectation>);

/// Reads the text of a file.
fn parse(name: &str, bytes: &[u8]) -> Result<Parts, ConfigError> {
    let (text, raw) = read_text::<RawFile>(bytes)?;
    let file: Arc<str> = name.into();
    let place = |at: &Spanned<String>| SourceLocation {
        file: file.clone(),
        line: fault_at(text, at.span().start, "", String::new()).line,
    };
    let pool = |p: RawPool| {
        if let Some(s) = p.speaks.as_ref().filter(|s| !["http", "fastcgi"].contains(&s.get_ref().as_str())) {
            let what = format!("{:?} is none of http, fastcgi", s.get_ref());
            return Err(fault_at(text, s.span().start, "pool.speaks", what));
        }
        let (place, speaks) = (place(&p.name), p.speaks.map(Spanned::into_inner));
        Ok(Pool {
            name: p.name.into_inner(),
            place,
            cells: p.cells,
            zones: p.zones,
            kinds: p.kinds,
            speaks,
            sources: p.sources,
            meta: p.meta.into_iter().collect(),
        })
    };
    let route = |r: RawRoute| {
        let fault =
            |at: usize, field: &str, what: &str| fault_at(text, at, &format!("route.{field}"), what.into());
        let at = r.name.span().start;
        let by = match r.split_by.as_ref().map(|by| (by.get_ref().as_str(), by.span().start)) {
            None | Some(("key", _)) => SplitKey::Key,
            Some(("club", _)) => SplitKey::Club,
            Some(("id", _)) => SplitKey::Id,
            Some((_, at)) => return Err(fault(at, "split_by", "is none of key, club, id")),
        };
        let to = match (r.to, r.refuse, r.split.is_empty()) {
            (Some(pool), None, true) => Destination::Pool(pool),
            (None, Some(why), true) => Destination::Refuse(why),
            (None, None, false) => Destination::Split(by, r.split.into_iter().collect()),
            _ => return Err(fault(at, "to", "needs one of to, refuse and split, and no more")),
        };
        let attempts = match (&r.attempts, r.retry) {
            (None, Some(false)) => Some(1),
            (None, _) => None,
            (Some(n), _) => match u32::try_from(*n.get_ref()) {
                Ok(n) if (1..=100).contains(&n) && (r.retry != Some(false) || n == 1) => Some(n),
                _ => {
                    return Err(fault(
                        n.span().start,
                        "attempts",
                        "is not between 1 and 100, or more than retry allows",
                    ))
                }
            },
        };
        let time = match &r.time {
            None => None,
            Some(t) => match Duration::read(t.get_ref()) {
                Ok(time) if !time.is_zero() => u64::try_from(time.as_millis()).ok(),
                Ok(_) => return Err(fault(t.span().start, "time", "is no time")),
                Err(what) => return Err(fault(t.span().start, "time", &what)),
            },
        };
        Ok(Route {
            place: place(&r.name),
            name: r.name.into_inner(),
            precedence: r.precedence,
            when: when(r.when),
            to,
            attempts,
            time_ms: time,
            fallback: r.fallback,
        })
    };
    let expect = |e: RawExpect| {
        let at = e.name.span().start;
        let claims = [
            e.only.map(Claim::Only),
            e.cells.map(Claim::Cells),
            e.only_these.map(Claim::OnlyThese),
            e.refused.filter(|&t| t).map(|_| Claim::Refused),
            e.never_retried.filter(|&t| t).map(|_| Claim::NeverRetried),
            e.routed.filter(|&t| t).map(|_| Claim::Routed),
            e.apart.filter(|&t| t).map(|_| Claim::Apart),
        ];
        let at_most = match e.at_most {
            None => None,
            Some(a) => {
                match u32::try_from(*a.part.get_ref()).ok().filter(|&p| p <= route_table::split::TOTAL_WEIGHT)
                {
                    Some(part) => Some(Claim::AtMost(a.pool, part)),
                    None => {
                        let what = format!("is not between 0 and {}", route_table::split::TOTAL_WEIGHT);
                        return Err(fault_at(text, a.part.span().start, "expect.at_most.part", what));
                    }
                }
            }
        };
        let mut claims = claims.into_iter().flatten().chain(at_most);
        let (Some(claim), None) = (claims.next(), claims.next()) else {
            let what = "needs one claim, which is not false: only, cells, only_these, at_most, refused, never_retried, \
                        routed or apart";
            return Err(fault_at(text, at, "expect", what.into()));
        };
        Ok(Expectation { place: place(&e.name), name: e.name.into_inner(), when: when(e.when), claim })
    };
    Ok((
        raw.pool.into_iter().map(pool).collect::<Result<_, _>>()?,
        raw.route.into_iter().map(route).collect::<Result<_, _>>()?,
        raw.expect.into_iter().map(expect).collect::<Result<_, _>>()?,
    ))
}

/// The names that routes may use.
pub fn world(d: &Deployment) -> KnownNames {
    KnownNames {
        classes: d.classes.clone(),
        clubs: d.tenants.clone(),
        keyed: d.policy.classes.iter().map(|c| matches!(c.effect, Effect::Guarded { .. })).collect(),
        zones: d.zones.clone(),
        kinds: d.kinds.clone(),
    }
}

fn file(path: &Path) -> Result<Parts, String> {
    let name = path.display().to_string();
    let bytes = read_consistent(path, MAX_TABLE_BYTES).map_err(|e| format!("{name}: {e}"))?;
    parse(&name, &bytes).map_err(|fault| format!("{name}: {fault}"))
}

/// Reads the table and its expectations, and checks it. Relative paths begin at `base`. `None`: there is no table.
///
/// # Errors
/// All that is wrong, each with its file and line.
pub fn read(
    routing: &Routing,
    base: &Path,
    world: &KnownNames,
) -> Result<Option<(Table, Vec<Expectation>)>, Vec<String>> {
    let Some(path) = &routing.table else {
        let none = routing.expect.is_empty();
        return if none { Ok(None) } else { Err(vec!["routing.expect: there is no routing.table".into()]) };
    };
    let (pools, routes, mut expects) = file(&base.join(path)).map_err(|e| vec![e])?;
    for path in &routing.expect {
        let (pools, routes, more) = file(&base.join(path)).map_err(|e| vec![e])?;
        if !pools.is_empty() || !routes.is_empty() {
            return Err(vec![format!("{}: pools and routes belong into the table's file", path.display())]);
        }
        expects.extend(more);
    }
    let table = Table::new(world.clone(), pools, routes).map_err(lines)?;
    Ok(Some((table, expects)))
}

fn lines(all: Vec<TableError>) -> Vec<String> {
    all.iter().map(ToString::to_string).collect()
}

/// The same, and proves the expectations.
///
/// # Errors
/// All that is wrong, each with its file and line.
pub fn load(routing: &Routing, base: &Path, world: &KnownNames) -> Result<Option<Table>, Vec<String>> {
    let Some((table, expects)) = read(routing, base, world)? else { return Ok(None) };
    prove(&table, &expects).map_err(lines)?;
    Ok(Some(table))
}
