//! Proofs of expectations for all possible requests, by checking each set of requests that the table routes alike.
use crate::cube::Cube;
use crate::spec::{Claim, Expectation, TableError};
use crate::table::{cube, Compiled, RouteTarget, Table, MAX_STEPS};
use std::collections::BTreeMap;

/// Error of an expectation that does not hold or can't be checked.
fn expectation_error(expect: &Expectation, message: String) -> TableError {
    TableError { place: expect.place.clone(), field: format!("expect {}", expect.name), message }
}

fn pool_names(table: &Table, pools: impl Iterator<Item = usize>) -> Vec<&str> {
    pools.map(|p| table.pools[p].name.as_str()).collect()
}

/// Describes where a route sends its requests.
fn describe_route(table: &Table, route: Option<&Compiled>) -> String {
    match route {
        None => "has no route".into(),
        Some(compiled) => {
            let destination = match &compiled.leads {
                RouteTarget::Refused => "is refused".to_string(),
                _ => format!("goes to {}", pool_names(table, compiled.pools()).join(", ")),
            };
            format!(
                "{destination} by route {:?}, {}:{}",
                compiled.route.name, compiled.route.place.file, compiled.route.place.line
            )
        }
    }
}

/// Proves that all expectations hold.
///
/// # Errors
/// One error for each expectation that does not hold, with an example of a request that violates it, that uses an unknown
/// name, or that can't be proved within the step limit.
pub fn prove(table: &Table, expectations: &[Expectation]) -> Result<(), Vec<TableError>> {
    let errors: Vec<TableError> = expectations.iter().filter_map(|e| prove_one(table, e).err()).collect();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn prove_one(table: &Table, expect: &Expectation) -> Result<(), TableError> {
    let scope = cube(&expect.when, &table.known_names)
        .map_err(|(field, message)| expectation_error(expect, format!("{field}: {message}")))?;
    let position = |name: &String| {
        let found = table.pools.iter().position(|p| p.name == *name);
        found.ok_or_else(|| expectation_error(expect, format!("there is no pool {name:?}")))
    };
    match &expect.claim {
        Claim::Only(pools) => {
            let pools: Vec<usize> = pools.iter().map(position).collect::<Result<_, _>>()?;
            check(table, expect, &scope, |c| c.is_none_or(|c| c.pools().all(|p| pools.contains(&p))))
        }
        Claim::Cells(cells) => check(table, expect, &scope, |c| {
            let is_within = |p: usize| {
                let own = &table.pools[p].cells;
                !own.is_empty() && own.iter().all(|cell| cells.contains(cell))
            };
            c.is_none_or(|c| c.pools().all(is_within))
        }),
        Claim::Refused => {
            check(table, expect, &scope, |c| c.is_some_and(|c| c.leads == RouteTarget::Refused))
        }
        Claim::NeverRetried => check(table, expect, &scope, |c| {
            c.is_none_or(|c| {
                c.leads == RouteTarget::Refused || (c.route.attempts == Some(1) && c.fallback.is_none())
            })
        }),
        Claim::Routed => check(table, expect, &scope, |c| c.is_some()),
        Claim::AtMost(pool, max_share) => {
            let pool = position(pool)?;
            check(table, expect, &scope, |c| {
                c.is_none_or(|c| {
                    let share = match &c.leads {
                        RouteTarget::Pool(p) if *p == pool => crate::split::TOTAL_WEIGHT,
                        RouteTarget::Split(_, parts) => {
                            parts.iter().filter(|(p, _)| *p == pool).map(|(_, n)| n).sum()
                        }
                        _ => 0,
                    };
                    // A fallback pool may receive all of the requests.
                    share <= *max_share
                        && (c.fallback != Some(pool) || *max_share >= crate::split::TOTAL_WEIGHT)
                })
            })
        }
        Claim::OnlyThese(pool) => {
            let pool = position(pool)?;
            let outside = Cube::all(&table.known_names).without(&scope);
            for c in table.routes.iter().filter(|c| c.pools().any(|p| p == pool)) {
                for part in outside.iter().filter_map(|o| o.intersection(&c.cube)) {
                    check(table, expect, &part, |c| c.is_none_or(|c| c.pools().all(|p| p != pool)))?;
                }
            }
            Ok(())
        }
        Claim::Apart => prove_apart(table, expect, &scope),
    }
}

/// Checks that `holds` returns `true` for the route of each part of a scope.
fn check(
    table: &Table,
    expect: &Expectation,
    scope: &Cube,
    holds: impl Fn(Option<&Compiled>) -> bool,
) -> Result<(), TableError> {
    let (mut violation, mut steps) = (None, 0);
    let is_complete = table.walk(scope, &mut steps, &mut |part, route| {
        if holds(route) {
            return true;
        }
        violation = Some(format!("{} {}", part.example(&table.known_names), describe_route(table, route)));
        false
    });
    match violation {
        Some(message) => Err(expectation_error(expect, message)),
        None if is_complete => Ok(()),
        None => Err(expectation_error(expect, format!("can't be proved within {MAX_STEPS} steps"))),
    }
}

/// Proves that no two tenants of a scope share a pool.
fn prove_apart(table: &Table, expect: &Expectation, scope: &Cube) -> Result<(), TableError> {
    // For each pool, the first tenant that reaches it, with an example.
    let mut first: BTreeMap<usize, (usize, String)> = BTreeMap::new();
    let mut steps = 0;
    for tenant in scope.tenants.iter() {
        let single = crate::cube::ValueSet::of([tenant].into_iter(), table.known_names.clubs.len());
        let own = Cube { tenants: single, ..scope.clone() };
        let mut shared = None;
        let is_complete = table.walk(&own, &mut steps, &mut |part, route| {
            for pool in route.into_iter().flat_map(Compiled::pools) {
                let example = || part.example(&table.known_names);
                match first.get(&pool) {
                    Some((other, other_example)) if *other != tenant => {
                        let name = &table.pools[pool].name;
                        shared = Some(format!("pool {name:?} is shared: {other_example}, and {}", example()));
                        return false;
                    }
                    Some(_) => {}
                    None => drop(first.insert(pool, (tenant, example()))),
                }
            }
            true
        });
        if let Some(message) = shared {
            return Err(expectation_error(expect, message));
        }
        if !is_complete {
            return Err(expectation_error(expect, format!("can't be proved within {MAX_STEPS} steps")));
        }
    }
    Ok(())
}
