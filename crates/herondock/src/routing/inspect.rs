//! `herondock routes`: explains the routing of a request, and compares the routing of two tables.
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

/// Maximum number of moves that are shown.
const MAX_SHOWN_MOVES: usize = 100;

/// Description of a request, from the command line.
pub struct RequestDescription {
    /// Name of its tenant; `None`: the first one of the settings.
    pub tenant: Option<String>,
    /// Name of its class; `None`: the first one of the settings.
    pub class: Option<String>,
    /// Path and query.
    pub path: String,
    /// Host, possibly with a port.
    pub host: String,
    /// GET or POST.
    pub method: String,
    /// Front that receives it: `http` or `fastcgi`.
    pub front: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Names and values of its headers.
    pub headers: Vec<(String, String)>,
}

fn load_table(file: &Path, known_names: &KnownNames) -> Result<(Table, Vec<Expectation>), String> {
    let operator = operator::read(file).map_err(|error| error.to_string())?;
    let base = file.parent().unwrap_or(Path::new(""));
    let table = routing::read(&operator.routing, base, known_names).map_err(|errors| errors.join("\n"))?;
    table.ok_or_else(|| format!("{}: there is no routing.table", file.display()))
}

/// Position of a name among all names of its kind; 0 if no name is given.
fn position(kind: &str, all: &[String], name: Option<&str>) -> Result<usize, String> {
    let Some(name) = name else { return Ok(0) };
    all.iter().position(|n| n == name).ok_or_else(|| format!("there is no {kind} {name:?}"))
}

/// Explains, in lines of text, which route and pool a request is sent to and why.
///
/// # Errors
/// The files can't be used, or the description has a name that does not exist.
pub fn explain(file: &Path, description: &RequestDescription) -> Result<String, String> {
    let known_names = routing::world(&node_config::load().map_err(|e| e.to_string())?.deployment);
    let (table, _) = load_table(file, &known_names)?;
    let class = position("class", &known_names.classes, description.class.as_deref())?;
    let tenant = position("club", &known_names.clubs, description.tenant.as_deref())?;
    let fronts = route_table::cube::FRONTS.map(String::from);
    let methods = route_table::cube::METHODS.map(String::from);
    let headers = |name: &str| -> Vec<&[u8]> {
        description
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_bytes())
            .collect()
    };
    let attributes = RequestAttributes {
        front: position("front", &fronts, Some(&description.front))?,
        method: position("method", &methods, Some(&description.method))?,
        host: &|| Some(&description.host),
        target: &description.path,
        key: &|| description.key.as_deref().map(str::as_bytes),
        request_id: &|| b"",
        headers: &headers,
    };
    let query = match Query::parse(&attributes, table.headers.iter()) {
        Ok(query) => query,
        Err(RoutingError::Ambiguous(reason)) => return Ok(format!("rejected with 400: {reason}\n")),
        Err(error) => return Err(format!("{error:?}")),
    };
    let Some((route, pool)) = query.route_in(&table, class, tenant) else {
        return Ok("rejected with 404: there is no route for it\n".into());
    };
    let mut text = String::new();
    // Writing to a string can't fail.
    let location = &route.route.place;
    let _ = writeln!(
        text,
        "route {} ({}:{}), precedence {}",
        route.route.name, location.file, location.line, route.route.precedence
    );
    match (&route.leads, pool) {
        (RouteTarget::Split(by, parts), Some(pool)) => {
            let weights: Vec<String> = parts
                .iter()
                .map(|(index, weight)| format!("{} {weight}", table.pools[*index].name))
                .collect();
            let _ =
                writeln!(text, "pool {}, of {} split by {by:?}", table.pools[pool].name, weights.join(", "));
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
    if let Some(index) = route.fallback {
        let _ = writeln!(text, "pool {} as a fallback if it certainly has not run", table.pools[index].name);
    }
    let later =
        |c: &&Compiled| c.route.precedence > route.route.precedence && query.matches(c, class, tenant);
    for other in table.routes.iter().filter(later) {
        let _ = writeln!(text, "before route {}, precedence {}", other.route.name, other.route.precedence);
    }
    Ok(text)
}

/// Lists, in lines of text, the requests whose routing differs between two tables, and the expectations whose result
/// changes.
///
/// # Errors
/// The files can't be used.
pub fn diff_tables(old: &Path, new: &Path) -> Result<String, String> {
    let known_names = routing::world(&node_config::load().map_err(|e| e.to_string())?.deployment);
    let ((before, old_expects), (after, new_expects)) =
        (load_table(old, &known_names)?, load_table(new, &known_names)?);
    let (moves, complete) = diff(&before, &after, MAX_SHOWN_MOVES);
    let mut text = String::new();
    for moved in &moves {
        let _ = writeln!(text, "{} -> {}: such as {}", moved.from, moved.to, moved.example);
        if moved.leaves_its_group {
            let _ = writeln!(
                text,
                "  keyed requests of these are refused until their keys are forgotten at {}",
                moved.from
            );
        }
    }
    if moves.is_empty() && complete {
        text.push_str("no request moves\n");
    }
    if !complete {
        text.push_str("and more moves that are not shown\n");
    }
    let mut expects: BTreeMap<&str, &Expectation> = BTreeMap::new();
    expects.extend(old_expects.iter().chain(&new_expects).map(|e| (e.name.as_str(), e)));
    for (name, expect) in expects {
        let expectation = std::slice::from_ref(expect);
        match (prove(&before, expectation), prove(&after, expectation)) {
            (Ok(()), Err(errors)) => drop(writeln!(text, "expect {name} no longer holds: {}", errors[0])),
            (Err(_), Ok(())) => drop(writeln!(text, "expect {name} holds now")),
            _ => {}
        }
    }
    Ok(text)
}
