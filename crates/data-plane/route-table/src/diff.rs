//! Requests that are routed differently by two tables.
use crate::cube::Cube;
use crate::table::{Compiled, RouteTarget, Table};

/// A set of requests whose routing changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Example of such a request.
    pub example: String,
    /// Former routing.
    pub from: String,
    /// New routing.
    pub to: String,
    /// Whether some of the requests have keys by which the upstreams of `from` deduplicate retries, while those of `to`
    /// may not.
    pub leaves_its_group: bool,
}

/// Describes how a route handles its requests.
fn describe_route(table: &Table, route: Option<&Compiled>) -> String {
    let Some(compiled) = route else { return "no route".into() };
    let mut text = match &compiled.leads {
        RouteTarget::Pool(p) => table.pools[*p].name.clone(),
        RouteTarget::Refused => "refused".into(),
        RouteTarget::Split(_, parts) => {
            let parts: Vec<String> =
                parts.iter().map(|(p, part)| format!("{} {part}", table.pools[*p].name)).collect();
            parts.join(" + ")
        }
    };
    if let Some(p) = compiled.fallback {
        text += &format!(", or {}", table.pools[p].name);
    }
    if let Some(n) = compiled.route.attempts {
        text += &format!(", {n} attempts");
    }
    if let Some(ms) = compiled.route.time_ms {
        text += &format!(", {ms} ms");
    }
    text
}

/// Names and cells of the pools that a route may send requests to.
fn pools<'t>(table: &'t Table, route: Option<&'t Compiled>) -> Vec<(&'t str, &'t [u16])> {
    let pools = route.into_iter().flat_map(Compiled::pools);
    pools.map(|p| (table.pools[p].name.as_str(), table.pools[p].cells.as_slice())).collect()
}

/// Returns the sets of requests whose routing changes, at most `max_moves`, and whether the result is complete. It is
/// incomplete if there are more, if the tables use different names, or if the step limit is reached.
pub fn diff(old: &Table, new: &Table, max_moves: usize) -> (Vec<Move>, bool) {
    let (mut moves, mut steps) = (Vec::<Move>::new(), 0);
    let all_requests = Cube::all(&old.known_names);
    if old.known_names != new.known_names {
        return (moves, false);
    }
    let mut is_complete = true;
    let mut parts = Vec::new();
    is_complete &= old.walk(&all_requests, &mut steps, &mut |cube, route| {
        parts.push((cube.clone(), route));
        true
    });
    for (cube, before) in parts {
        let from = describe_route(old, before);
        is_complete &= new.walk(&cube, &mut steps, &mut |part, after| {
            let to = describe_route(new, after);
            if to != from && !moves.iter().any(|m| m.from == from && m.to == to) {
                if moves.len() >= max_moves {
                    is_complete = false;
                    return false;
                }
                let is_keyed = part.keyed.contains(1)
                    && part.classes.iter().any(|c| old.known_names.keyed.get(c) == Some(&true));
                let (old_pools, new_pools) = (pools(old, before), pools(new, after));
                let keeps_pools =
                    new_pools.iter().all(|pool| old_pools.contains(pool)) || old_pools.is_empty();
                moves.push(Move {
                    example: part.example(&new.known_names),
                    from: from.clone(),
                    to,
                    leaves_its_group: is_keyed && !keeps_pools,
                });
            }
            true
        });
    }
    (moves, is_complete)
}
