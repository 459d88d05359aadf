//! Validation and compilation of routes, and the lookup of a request's route.
use crate::cube::{Cube, Query, ValueSet, Values, FRONTS, METHODS};
use crate::pattern::{Pattern, Region};
use crate::spec::{
    Conditions, Destination, HeaderCondition, KnownNames, Pool, Route, SourceLocation, SplitKey, TableError,
};
use crate::split;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of pools of a table.
pub const MAX_POOLS: usize = 256;
/// Maximum number of routes of a table.
pub const MAX_ROUTES: usize = 20_000;
/// Maximum number of steps of one check or proof.
pub(crate) const MAX_STEPS: usize = 2_000_000;

/// Destination of a compiled route, with pools by position.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// A pool.
    Pool(usize),
    /// None: the requests are refused.
    Refused,
    /// One of several pools, each with its weight in parts of 10,000.
    Split(SplitKey, Vec<(usize, u32)>),
}

/// A compiled route.
#[derive(Clone, Debug)]
pub struct Compiled {
    /// The route as written by the operator.
    pub route: Route,
    /// The set of requests that meet its conditions.
    pub cube: Cube,
    /// Destination of the requests.
    pub leads: RouteTarget,
    /// Fallback pool.
    pub fallback: Option<usize>,
}

impl Compiled {
    /// Positions of all pools that may receive requests of this route.
    pub fn pools(&self) -> impl Iterator<Item = usize> + '_ {
        let (single, split) = match &self.leads {
            RouteTarget::Pool(p) => (Some(*p), &[][..]),
            RouteTarget::Refused => (None, &[][..]),
            RouteTarget::Split(_, parts) => (None, &parts[..]),
        };
        let split = split.iter().filter(|(_, part)| *part > 0).map(|(p, _)| *p);
        single.into_iter().chain(split).chain(self.fallback)
    }
}

/// Routes whose path pattern ends at one node of the path tree.
#[derive(Debug, Default)]
struct Slot {
    /// Routes for few tenants, by tenant.
    by_tenant: HashMap<usize, Vec<usize>>,
    /// All other routes.
    any: Vec<usize>,
}

/// A node of the path tree.
#[derive(Debug, Default)]
struct Node {
    /// Child nodes by literal segment.
    literals: HashMap<Box<str>, usize>,
    /// Child node for any one segment.
    wildcard: Option<usize>,
    /// Routes for exactly this path.
    exact: Slot,
    /// Routes for this path and every path below it.
    subtree: Slot,
}

/// A validated table of routes.
#[derive(Debug)]
pub struct Table {
    /// Names that routes may use.
    pub known_names: KnownNames,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Routes, by ascending precedence.
    pub routes: Vec<Compiled>,
    /// Names of the headers that routes have conditions on.
    pub headers: Vec<String>,
    nodes: Vec<Node>,
    /// Routes for few tenants, by tenant, and all other routes.
    by_tenant: (HashMap<usize, Vec<usize>>, Vec<usize>),
}

/// Maximum number of tenants of a route that is indexed by each of its tenants.
const MAX_INDEXED_TENANTS: usize = 8;

fn fault(place: &SourceLocation, field: &str, message: impl Into<String>) -> TableError {
    TableError { place: place.clone(), field: field.into(), message: message.into() }
}

/// Compiles conditions into a set of requests.
///
/// # Errors
/// An unknown name or an invalid pattern, as the field and a message.
pub fn cube(when: &Conditions, known_names: &KnownNames) -> Result<Cube, (&'static str, String)> {
    let mut cube = Cube::all(known_names);
    let positions = |field: &'static str, given: &[String], known: &[&str]| {
        if given.is_empty() {
            return Ok(ValueSet::all(known.len()));
        }
        let position = |name: &String| {
            known.iter().position(|k| k == name).ok_or_else(|| (field, format!("there is no {name:?}")))
        };
        let found: Vec<usize> = given.iter().map(position).collect::<Result<_, _>>()?;
        Ok(ValueSet::of(found.into_iter(), known.len()))
    };
    let classes: Vec<&str> = known_names.classes.iter().map(String::as_str).collect();
    let tenants: Vec<&str> = known_names.clubs.iter().map(String::as_str).collect();
    cube.fronts = positions("front", &when.fronts, &FRONTS)?;
    cube.methods = positions("method", &when.methods, &METHODS)?;
    cube.classes = positions("class", &when.classes, &classes)?;
    cube.tenants = positions("club", &when.clubs, &tenants)?;
    if let Some(keyed) = when.keyed {
        cube.keyed = ValueSet::of([usize::from(keyed)].into_iter(), 2);
    }
    if let Some(host) = &when.host {
        cube.host = Region::of(Pattern::host(host).map_err(|e| ("host", e))?);
    }
    if let Some(path) = &when.path {
        cube.path = Region::of(Pattern::path(path).map_err(|e| ("path", e))?);
    }
    for (name, condition) in &when.headers {
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
        if name.is_empty() || !name.bytes().all(is_allowed) {
            return Err(("headers", format!("{name:?} is not a header name in lower case")));
        }
        let absent = BTreeSet::from([None]);
        let values = match condition {
            HeaderCondition::Present(true) => Values::all_except(absent),
            HeaderCondition::Present(false) => Values::only(absent),
            HeaderCondition::OneOf(all) => Values::only(all.iter().cloned().map(Some).collect()),
        };
        cube.headers.insert(name.clone(), values);
    }
    Ok(cube)
}

impl Table {
    /// Validates and compiles pools and routes.
    ///
    /// # Errors
    /// All faults, each with its position.
    pub fn new(
        known_names: KnownNames,
        pools: Vec<Pool>,
        routes: Vec<Route>,
    ) -> Result<Table, Vec<TableError>> {
        let mut faults = Vec::new();
        if let Some(pool) = pools.get(MAX_POOLS) {
            return Err(vec![fault(&pool.place, "pool", format!("there are more than {MAX_POOLS}"))]);
        }
        if let Some(route) = routes.get(MAX_ROUTES) {
            return Err(vec![fault(&route.place, "route", format!("there are more than {MAX_ROUTES}"))]);
        }
        let mut positions = HashMap::new();
        for (index, pool) in pools.iter().enumerate() {
            if positions.insert(pool.name.clone(), index).is_some() {
                faults.push(fault(&pool.place, "pool.name", format!("duplicate name {:?}", pool.name)));
            }
            let known =
                [("zones", &pool.zones, &known_names.zones), ("kinds", &pool.kinds, &known_names.kinds)];
            for (field, given, known) in known {
                if let Some(name) = given.iter().find(|n| !known.contains(n)) {
                    let message = format!("there is no {name:?}, so the pool would have no members");
                    faults.push(fault(&pool.place, &format!("pool {}.{field}", pool.name), message));
                }
            }
        }
        let mut names = BTreeSet::new();
        let mut compiled = Vec::new();
        for route in routes {
            let field = |name: &str| format!("route {}.{name}", route.name);
            if !names.insert(route.name.clone()) {
                faults.push(fault(&route.place, "route.name", format!("duplicate name {:?}", route.name)));
            }
            let pool_position = |name: &str, key: &str| {
                positions
                    .get(name)
                    .copied()
                    .ok_or_else(|| fault(&route.place, &field(key), format!("there is no pool {name:?}")))
            };
            let leads = match &route.to {
                Destination::Pool(name) => pool_position(name, "to").map(RouteTarget::Pool),
                Destination::Refuse(_) => Ok(RouteTarget::Refused),
                Destination::Split(key, parts) => {
                    let sum: u64 = parts.iter().map(|(_, part)| u64::from(*part)).sum();
                    let targets: Result<Vec<_>, _> =
                        parts.iter().map(|(name, part)| Ok((pool_position(name, "split")?, *part))).collect();
                    if sum != u64::from(split::TOTAL_WEIGHT) {
                        let message = format!("the parts sum to {sum} instead of {}", split::TOTAL_WEIGHT);
                        Err(fault(&route.place, &field("split"), message))
                    } else {
                        targets.map(|targets| RouteTarget::Split(*key, targets))
                    }
                }
            };
            let fallback = route.fallback.as_deref().map(|name| pool_position(name, "fallback")).transpose();
            let cube = cube(&route.when, &known_names)
                .map_err(|(key, message)| fault(&route.place, &field(key), message));
            match (leads, fallback, cube) {
                (Ok(leads), Ok(fallback), Ok(cube)) => {
                    // Retries are deduplicated only if all requests with the same key go to the same pool.
                    let by_id = matches!(&leads, RouteTarget::Split(SplitKey::Id, parts) if parts.iter().filter(|p| p.1 > 0).count() > 1);
                    let keyed = cube.classes.iter().find(|&c| known_names.keyed.get(c) == Some(&true));
                    if let (true, Some(class)) = (by_id, keyed) {
                        let message = format!(
                            "retries of class {} would go to a pool that can't deduplicate them: split by key or club",
                            known_names.classes[class]
                        );
                        faults.push(fault(&route.place, &field("split_by"), message));
                    }
                    compiled.push(Compiled { route, cube, leads, fallback });
                }
                (leads, fallback, cube) => {
                    faults.extend([leads.err(), fallback.err(), cube.err()].into_iter().flatten());
                }
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        compiled.sort_by_key(|c| c.route.precedence);
        let headers: BTreeSet<String> =
            compiled.iter().flat_map(|c| c.cube.headers.keys().cloned()).collect();
        let mut table = Table {
            known_names,
            pools,
            routes: compiled,
            headers: headers.into_iter().collect(),
            nodes: vec![Node::default()],
            by_tenant: (HashMap::new(), Vec::new()),
        };
        (0..table.routes.len()).for_each(|k| table.index_route(k));
        let faults = table.faults();
        if faults.is_empty() {
            Ok(table)
        } else {
            Err(faults)
        }
    }

    /// Adds a route to the path tree and the index by tenant.
    fn index_route(&mut self, route: usize) {
        let cube = &self.routes[route].cube;
        let tenants: Vec<usize> = cube.tenants.iter().take(MAX_INDEXED_TENANTS + 1).collect();
        let by_tenant = tenants.len() <= MAX_INDEXED_TENANTS && tenants.len() < self.known_names.clubs.len();
        let mut node = 0;
        for segment in cube.path.pattern.segments.clone() {
            let next = match &segment {
                Some(text) => self.nodes[node].literals.get(text).copied(),
                None => self.nodes[node].wildcard,
            };
            node = next.unwrap_or_else(|| {
                self.nodes.push(Node::default());
                let new = self.nodes.len() - 1;
                match segment {
                    Some(text) => drop(self.nodes[node].literals.insert(text, new)),
                    None => self.nodes[node].wildcard = Some(new),
                }
                new
            });
        }
        let any_suffix = self.routes[route].cube.path.pattern.any_suffix;
        let node = &mut self.nodes[node];
        let slot = if any_suffix { &mut node.subtree } else { &mut node.exact };
        if by_tenant {
            for tenant in tenants {
                slot.by_tenant.entry(tenant).or_default().push(route);
                self.by_tenant.0.entry(tenant).or_default().push(route);
            }
        } else {
            slot.any.push(route);
            self.by_tenant.1.push(route);
        }
    }

    /// Positions of the routes that may match requests of a set, in ascending order.
    pub(crate) fn candidates(&self, cube: &Cube) -> Vec<usize> {
        let tenants: Vec<usize> = cube.tenants.iter().take(MAX_INDEXED_TENANTS + 1).collect();
        if tenants.len() > MAX_INDEXED_TENANTS {
            return (0..self.routes.len()).collect();
        }
        let own = tenants.iter().filter_map(|tenant| self.by_tenant.0.get(tenant)).flatten();
        let mut routes: Vec<usize> = own.chain(&self.by_tenant.1).copied().collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Faults between routes: overlapping routes with the same precedence, and routes that can never match.
    fn faults(&self) -> Vec<TableError> {
        let mut faults = Vec::new();
        let mut steps = 0;
        for (index, own) in self.routes.iter().enumerate() {
            let before: Vec<usize> =
                self.candidates(&own.cube).into_iter().take_while(|&other| other < index).collect();
            // A sample request that gets this route proves that it can match. Only if no sample is found, the requests that
            // earlier routes leave over are computed.
            let reached = (0..3).any(|extra| {
                let own =
                    own.cube.sample("\u{1}", extra, |q| self.route(q).is_some_and(|c| std::ptr::eq(c, own)));
                own == Some(true)
            });
            let mut rest = vec![own.cube.clone()];
            let mut hidden_by = Vec::new();
            for other in before {
                let other = &self.routes[other];
                if reached && other.route.precedence != own.route.precedence {
                    continue;
                }
                let Some(overlap) = own.cube.intersection(&other.cube) else { continue };
                steps += 1;
                if other.route.precedence == own.route.precedence {
                    let message = format!(
                        "has the same precedence as route {:?} in line {}, and both match {}",
                        other.route.name,
                        other.route.place.line,
                        overlap.example(&self.known_names)
                    );
                    faults.push(fault(&own.route.place, &format!("route {}", own.route.name), message));
                    break;
                }
                if reached {
                    continue;
                }
                let remaining = rest.iter().flat_map(|cube| cube.without(&other.cube)).collect::<Vec<_>>();
                if remaining != rest {
                    hidden_by.push(other.route.name.clone());
                    rest = remaining;
                }
                steps += rest.len();
                if rest.is_empty() || steps > MAX_STEPS {
                    break;
                }
            }
            if rest.is_empty() && !reached {
                hidden_by.truncate(4);
                let message = format!("can never match: hidden by {}", hidden_by.join(", "));
                faults.push(fault(&own.route.place, &format!("route {}", own.route.name), message));
            }
            if steps > MAX_STEPS {
                let message = format!("checking the routes from this one on would exceed {MAX_STEPS} steps");
                faults.push(fault(&own.route.place, &format!("route {}", own.route.name), message));
                break;
            }
        }
        faults
    }

    /// Returns the route of a request, if there is one.
    pub fn route(&self, query: &Query) -> Option<&Compiled> {
        let mut best = usize::MAX;
        let mut visit = |slot: &Slot| {
            for list in [slot.by_tenant.get(&query.club).map_or(&[][..], Vec::as_slice), &slot.any] {
                for &k in list {
                    if k >= best {
                        break;
                    }
                    if self.routes[k].cube.has(query) {
                        best = k;
                        break;
                    }
                }
            }
        };
        // Follows all matching branches of the path tree at once: at each node a literal segment and the wildcard. There are
        // few in practice.
        let (mut current, mut next) = (vec![0], Vec::new());
        for (depth, segment) in query.path.iter().enumerate() {
            for &node in &current {
                let node = &self.nodes[node];
                visit(&node.subtree);
                next.extend(node.literals.get(*segment).copied());
                next.extend(node.wildcard);
            }
            std::mem::swap(&mut current, &mut next);
            next.clear();
            if current.is_empty() {
                break;
            }
            if depth + 1 == query.path.len() {
                current.iter().for_each(|&node| {
                    visit(&self.nodes[node].subtree);
                    visit(&self.nodes[node].exact);
                });
            }
        }
        self.routes.get(best)
    }

    /// Returns the route of a request by trying each route in order; a reference for [`Table::route`].
    pub fn route_by_linear_search(&self, query: &Query) -> Option<&Compiled> {
        self.routes.iter().find(|c| c.cube.has(query))
    }

    /// Position of the pool of a route for a request's key, tenant and id; `None`: the request is refused.
    pub fn pool(&self, route: &Compiled, key: Option<&[u8]>, tenant: usize, id: &[u8]) -> Option<usize> {
        match &route.leads {
            RouteTarget::Pool(p) => Some(*p),
            RouteTarget::Refused => None,
            RouteTarget::Split(split_key, parts) => {
                let tenant = tenant.to_le_bytes();
                let hash_key = match split_key {
                    SplitKey::Key => key.unwrap_or(id),
                    SplitKey::Club => &tenant,
                    SplitKey::Id => id,
                };
                let named = parts.iter().map(|&(p, part)| (self.pools[p].name.as_str(), part));
                split::choose(named, hash_key).map(|k| parts[k].0)
            }
        }
    }

    /// Splits a set of requests into parts with the same route, and calls `visit` with each part and its route. `visit`
    /// returns whether to go on. Returns `false` if the step limit is exceeded.
    pub(crate) fn walk<'t>(
        &'t self,
        scope: &Cube,
        steps: &mut usize,
        visit: &mut dyn FnMut(&Cube, Option<&'t Compiled>) -> bool,
    ) -> bool {
        let candidates = self.candidates(scope);
        let mut pending = vec![(scope.clone(), 0)];
        while let Some((cube, mut next)) = pending.pop() {
            let mut is_unmatched = true;
            while let Some(&k) = candidates.get(next) {
                *steps += 1;
                next += 1;
                if *steps > MAX_STEPS {
                    return false;
                }
                let route = &self.routes[k];
                if let Some(inside) = cube.intersection(&route.cube) {
                    if !visit(&inside, Some(route)) {
                        return true;
                    }
                    pending.extend(cube.without(&route.cube).into_iter().map(|rest| (rest, next)));
                    is_unmatched = false;
                    break;
                }
            }
            if is_unmatched && !visit(&cube, None) {
                return true;
            }
        }
        true
    }

    /// Number of routes that may send requests to each pool, by pool name.
    pub fn routes_per_pool(&self) -> BTreeMap<&str, usize> {
        let mut counts: BTreeMap<&str, usize> = self.pools.iter().map(|p| (p.name.as_str(), 0)).collect();
        for route in &self.routes {
            for pool in route.pools() {
                *counts.entry(self.pools[pool].name.as_str()).or_default() += 1;
            }
        }
        counts
    }
}
