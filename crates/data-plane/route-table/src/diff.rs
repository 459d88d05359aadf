//! Who moves between two tables.
use crate::cube::Cube;
use crate::table::{Compiled, RouteTarget, Table};

/// Requests that get something else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// One of them.
    pub example: String,
    /// What they got.
    pub from: String,
    /// What they get.
    pub to: String,
    /// Whether some of them carry keys whose repeats the upstreams of `from` drop, and those of `to` may not.
    pub leaves_its_group: bool,
}

fn gets(table: &Table, route: Option<&Compiled>) -> String {
    let Some(c) = route else { return "no route".into() };
    let mut text = match &c.leads {
        RouteTarget::Pool(p) => table.pools[*p].name.clone(),
        RouteTarget::Refused => "refused".into(),
        RouteTarget::Split(_, parts) => {
            let parts: Vec<String> =
                parts.iter().map(|(p, part)| format!("{} {part}", table.pools[*p].name)).collect();
            parts.join(" + ")
        }
    };
    if let Some(p) = c.fallback {
        text += &format!(", or {}", table.pools[p].name);
    }
    if let Some(n) = c.route.attempts {
        text += &format!(", {n} attempts");
    }
    if let Some(ms) = c.route.time_ms {
        text += &format!(", {ms} ms");
    }
    text
}

/// Pools that a request may go to, by name; and the groups of each.
fn pools<'t>(table: &'t Table, route: Option<&'t Compiled>) -> Vec<(&'t str, &'t [u16])> {
    let all = route.into_iter().flat_map(Compiled::pools);
    all.map(|p| (table.pools[p].name.as_str(), table.pools[p].cells.as_slice())).collect()
}

/// Every set of requests that gets something else, up to `most` of them; `true`: and that is all.
pub fn diff(old: &Table, new: &Table, most: usize) -> (Vec<Move>, bool) {
    let (mut moves, mut steps) = (Vec::<Move>::new(), 0);
    let all = Cube::all(&old.world);
    if old.world != new.world {
        return (moves, false);
    }
    let mut whole = true;
    let mut parts = Vec::new();
    whole &= old.walk(&all, &mut steps, &mut |cube, route| {
        parts.push((cube.clone(), route));
        true
    });
    for (cube, before) in parts {
        let from = gets(old, before);
        whole &= new.walk(&cube, &mut steps, &mut |part, after| {
            let to = gets(new, after);
            if to != from && !moves.iter().any(|m| m.from == from && m.to == to) {
                if moves.len() >= most {
                    whole = false;
                    return false;
                }
                let keyed =
                    part.keyed.has(1) && part.classes.iter().any(|c| old.world.keyed.get(c) == Some(&true));
                let (was, is) = (pools(old, before), pools(new, after));
                let stays = is.iter().all(|pool| was.contains(pool)) || was.is_empty();
                moves.push(Move {
                    example: part.example(&new.world),
                    from: from.clone(),
                    to,
                    leaves_its_group: keyed && !stays,
                });
            }
            true
        });
    }
    (moves, whole)
}
