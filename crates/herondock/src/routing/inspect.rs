//! `herondock routes`: which way a request takes and why, and who moves between two tables.
use super::request_attributes::{Query, RequestAttributes, RoutingError};
use crate::node_config;
use config::{operator, routing};
use route_table::diff::diff;
use route_table::expect::prove;
use route_table::spec::{Expectation, KnownNames};
use route_table::table::{Compiled, RouteTarget, Table};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Most moves that are shown.
const MAX_SHOWN_MOVES: usize = 100;

/// A request as the command line describes it.
pub struct RequestDescription {
    /// Its club; the first one where none is given.
    pub club: Option<String>,
    /// Its class; the first one where none is given.
    pub class: Option<String>,
    /// Path and query.
    pub path: String,
    /// Its host.
    pub host: String,
    /// GET or POST.
    pub method: String,
    /// `http` or `fastcgi`.
    pub front: String,
    /// Its key.
    pub key: Option<String>,
    /// Names and values.
    pub headers: Vec<(String, String)>,
}

fn load_table(file: &Path, world: &KnownNames) -> Result<(Table, Vec<Expectation>), String> {
    let operator = operator::read(file).map_err(|error| error.to_string())?;
    let base = file.parent().unwrap_or(Path::new(""));
    let found = routing::read(&operator.routing, base, world).map_err(|faults| faults.join("\n"))?;
    found.ok_or_else(|| format!("{}: there is no routing.table", file.display()))
}

fn position(what: &str, all: &[String], name: Option<&str>) -> Result<usize, String> {
    let Some(name) = name else { return Ok(0) };
    all.iter().position(|n| n == name).ok_or_else(|| format!("there is no {what} {name:?}"))
}

/// The way of a request, in lines.
///
/// # Errors
/// The files can't be used, or it names what is not there.
pub fn explain(file: &Path, d: &RequestDescription) -> Result<String, String> {
    let world = routing::world(&node_config::load().map_err(|e| e.to_string())?.deployment);
    let (table, _) = load_table(file, &world)?;
    let class = position("class", &world.classes, d.class.as_deref())?;
    let club = position("club", &world.clubs, d.club.as_deref())?;
    let fronts = route_table::cube::FRONTS.map(String::from);
    let methods = route_table::cube::METHODS.map(String::from);
    let headers = |name: &str| -> Vec<&[u8]> {
        d.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_bytes()).collect()
    };
    let asked = RequestAttributes {
        front: position("front", &fronts, Some(&d.front))?,
        method: position("method", &methods, Some(&d.method))?,
        host: &|| Some(&d.host),
        target: &d.path,
        key: &|| d.key.as_deref().map(str::as_bytes),
        request_id: &|| b"",
        headers: &headers,
    };
    let query = match Query::parse(&asked, table.headers.iter()) {
        Ok(query) => query,
        Err(RoutingError::Ambiguous(why)) => return Ok(format!("turned away with 400: {why}\n")),
        Err(other) => return Err(format!("{other:?}")),
    };
    let Some((route, pool)) = query.route_in(&table, class, club) else {
        return Ok("turned away with 404: there is no route for it\n".into());
    };
    let mut text = String::new();
    // Writing to a string can't fail.
    let place = &route.route.place;
    let _ = writeln!(
        text,
        "route {} ({}:{}), precedence {}",
        route.route.name, place.file, place.line, route.route.precedence
    );
    match (&route.leads, pool) {
        (RouteTarget::Split(by, parts), Some(pool)) => {
            let all: Vec<String> =
                parts.iter().map(|(p, n)| format!("{} {n}", table.pools[*p].name)).collect();
            let _ = writeln!(text, "pool {}, of {} split by {by:?}", table.pools[pool].name, all.join(", "));
        }
        (_, Some(pool)) => drop(writeln!(text, "pool {}", table.pools[pool].name)),
        (_, None) => drop(writeln!(text, "refused")),
    }
    if let Some(n) = route.route.attempts {
        let _ = writeln!(text, "at most {n} attempts");
    }
    if let Some(ms) = route.route.time_ms {
        let _ = writeln!(text, "at most {ms} ms");
    }
    if let Some(p) = route.fallback {
        let _ = writeln!(text, "pool {} if it certainly has not run", table.pools[p].name);
    }
    let behind = |c: &&Compiled| c.route.precedence > route.route.precedence && query.matches(c, class, club);
    for other in table.routes.iter().filter(behind) {
        let _ = writeln!(text, "before route {}, precedence {}", other.route.name, other.route.precedence);
    }
    Ok(text)
}

/// Who moves, and which expectations change their answer, in lines.
///
/// # Errors
/// The files can't be used.
pub fn diff_tables(old: &Path, new: &Path) -> Result<String, String> {
    let world = routing::world(&node_config::load().map_err(|e| e.to_string())?.deployment);
    let ((before, old_expects), (after, new_expects)) = (load_table(old, &world)?, load_table(new, &world)?);
    let (moves, whole) = diff(&before, &after, MAX_SHOWN_MOVES);
    let mut text = String::new();
    for m in &moves {
        let _ = writeln!(text, "{} -> {}: such as {}", m.from, m.to, m.example);
        if m.leaves_its_group {
            let _ = writeln!(
                text,
                "  keyed requests of these are refused until their keys are forgotten at {}",
                m.from
            );
        }
    }
    if moves.is_empty() && whole {
        text.push_str("nobody moves\n");
    }
    if !whole {
        text.push_str("and more\n");
    }
    let mut expects: BTreeMap<&str, &Expectation> = BTreeMap::new();
    expects.extend(old_expects.iter().chain(&new_expects).map(|e| (e.name.as_str(), e)));
    for (name, expect) in expects {
        let one = std::slice::from_ref(expect);
        match (prove(&before, one), prove(&after, one)) {
            (Ok(()), Err(why)) => drop(writeln!(text, "expect {name} does not hold any more: {}", why[0])),
            (Err(_), Ok(())) => drop(writeln!(text, "expect {name} holds now")),
            _ => {}
        }
    }
    Ok(text)
}
