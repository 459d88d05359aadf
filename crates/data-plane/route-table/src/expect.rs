//! Expectations, proved for all requests that there can be: by going through the sets of requests that the table itself makes.
use crate::cube::Cube;
use crate::spec::{Claim, Expectation, TableError};
use crate::table::{cube, Compiled, RouteTarget, Table, MAX_STEPS};
use std::collections::BTreeMap;

/// Why an expectation does not hold, or can't be looked at.
fn fails(expect: &Expectation, what: String) -> TableError {
    TableError { place: expect.place.clone(), field: format!("expect {}", expect.name), what }
}

fn names(table: &Table, pools: impl Iterator<Item = usize>) -> Vec<&str> {
    pools.map(|p| table.pools[p].name.as_str()).collect()
}

/// Where requests go by a route, in words.
fn goes(table: &Table, route: Option<&Compiled>) -> String {
    match route {
        None => "has no route".into(),
        Some(c) => {
            let to = match &c.leads {
                RouteTarget::Refused => "is refused".to_string(),
                _ => format!("goes to {}", names(table, c.pools()).join(", ")),
            };
            format!("{to} by route {:?}, {}:{}", c.route.name, c.route.place.file, c.route.place.line)
        }
    }
}

/// Proves expectations.
///
/// # Errors
/// Each that does not hold with a smallest request that breaks it, and each that names what is not there.
pub fn prove(table: &Table, all: &[Expectation]) -> Result<(), Vec<TableError>> {
    let wrong: Vec<TableError> = all.iter().filter_map(|e| one(table, e).err()).collect();
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(wrong)
    }
}

fn one(table: &Table, expect: &Expectation) -> Result<(), TableError> {
    let scope =
        cube(&expect.when, &table.world).map_err(|(at, what)| fails(expect, format!("{at}: {what}")))?;
    let position = |name: &String| {
        let found = table.pools.iter().position(|p| p.name == *name);
        found.ok_or_else(|| fails(expect, format!("there is no pool {name:?}")))
    };
    match &expect.claim {
        Claim::Only(pools) => {
            let pools: Vec<usize> = pools.iter().map(position).collect::<Result<_, _>>()?;
            each(table, expect, &scope, |c| c.is_none_or(|c| c.pools().all(|p| pools.contains(&p))))
        }
        Claim::Cells(cells) => each(table, expect, &scope, |c| {
            let within = |p: usize| {
                let own = &table.pools[p].cells;
                !own.is_empty() && own.iter().all(|cell| cells.contains(cell))
            };
            c.is_none_or(|c| c.pools().all(within))
        }),
        Claim::Refused => each(table, expect, &scope, |c| c.is_some_and(|c| c.leads == RouteTarget::Refused)),
        Claim::NeverRetried => each(table, expect, &scope, |c| {
            c.is_none_or(|c| {
                c.leads == RouteTarget::Refused || (c.route.attempts == Some(1) && c.fallback.is_none())
            })
        }),
        Claim::Routed => each(table, expect, &scope, |c| c.is_some()),
        Claim::AtMost(pool, most) => {
            let pool = position(pool)?;
            each(table, expect, &scope, |c| {
                c.is_none_or(|c| {
                    let part = match &c.leads {
                        RouteTarget::Pool(p) if *p == pool => crate::split::TOTAL_WEIGHT,
                        RouteTarget::Split(_, parts) => {
                            parts.iter().filter(|(p, _)| *p == pool).map(|(_, n)| n).sum()
                        }
                        _ => 0,
                    };
                    // A fall-back may take all of them.
                    part <= *most && (c.fallback != Some(pool) || *most >= crate::split::TOTAL_WEIGHT)
                })
            })
        }
        Claim::OnlyThese(pool) => {
            let pool = position(pool)?;
            let outside = Cube::all(&table.world).without(&scope);
            for c in table.routes.iter().filter(|c| c.pools().any(|p| p == pool)) {
                for part in outside.iter().filter_map(|o| o.intersection(&c.cube)) {
                    each(table, expect, &part, |c| c.is_none_or(|c| c.pools().all(|p| p != pool)))?;
                }
            }
            Ok(())
        }
        Claim::Apart => apart(table, expect, &scope),
    }
}

/// Whether something is true of each part of a scope.
fn each(
    table: &Table,
    expect: &Expectation,
    scope: &Cube,
    holds: impl Fn(Option<&Compiled>) -> bool,
) -> Result<(), TableError> {
    let (mut found, mut steps) = (None, 0);
    let within = table.walk(scope, &mut steps, &mut |part, route| {
        if holds(route) {
            return true;
        }
        found = Some(format!("{} {}", part.example(&table.world), goes(table, route)));
        false
    });
    match found {
        Some(what) => Err(fails(expect, what)),
        None if within => Ok(()),
        None => Err(fails(expect, format!("can't be proved within {MAX_STEPS} steps"))),
    }
}

fn apart(table: &Table, expect: &Expectation, scope: &Cube) -> Result<(), TableError> {
    // The first club that reaches each pool, and how.
    let mut first: BTreeMap<usize, (usize, String)> = BTreeMap::new();
    let mut steps = 0;
    for club in scope.clubs.iter() {
        let one = crate::cube::ValueSet::of([club].into_iter(), table.world.clubs.len());
        let own = Cube { clubs: one, ..scope.clone() };
        let mut shared = None;
        let within = table.walk(&own, &mut steps, &mut |part, route| {
            for pool in route.into_iter().flat_map(Compiled::pools) {
                let here = || part.example(&table.world);
                match first.get(&pool) {
                    Some((other, how)) if *other != club => {
                        let name = &table.pools[pool].name;
                        shared = Some(format!("pool {name:?} is shared: {how}, and {}", here()));
                        return false;
                    }
                    Some(_) => {}
                    None => drop(first.insert(pool, (club, here()))),
                }
            }
            true
        });
        if let Some(what) = shared {
            return Err(fails(expect, what));
        }
        if !within {
            return Err(fails(expect, format!("can't be proved within {MAX_STEPS} steps")));
        }
    }
    Ok(())
}
