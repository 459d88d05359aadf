//! Routes, checked and compiled: what a request gets.
use crate::cube::{Cube, Query, ValueSet, Values, FRONTS, METHODS};
use crate::pattern::{Pattern, Region};
use crate::spec::{
    Conditions, Destination, HeaderIs, KnownNames, Pool, Route, SourceLocation, SplitKey, TableError,
};
use crate::split;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Most pools and most routes of a table.
pub const MAX_POOLS: usize = 256;
/// And most routes.
pub const MAX_ROUTES: usize = 20_000;
/// Steps that finding out something about a table may take.
pub(crate) const MAX_STEPS: usize = 2_000_000;

/// Where a compiled route leads: pools by position.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// To a pool.
    Pool(usize),
    /// Nowhere.
    Refused,
    /// To one of these, each with its part of 10,000.
    Split(SplitKey, Vec<(usize, u32)>),
}

/// A compiled route.
#[derive(Clone, Debug)]
pub struct Compiled {
    /// As it was written.
    pub route: Route,
    /// The requests that meet its conditions.
    pub cube: Cube,
    /// Where it leads.
    pub leads: RouteTarget,
    /// Its fall-back.
    pub fallback: Option<usize>,
}

impl Compiled {
    /// Every pool that it can lead to.
    pub fn pools(&self) -> impl Iterator<Item = usize> + '_ {
        let (one, several) = match &self.leads {
            RouteTarget::Pool(p) => (Some(*p), &[][..]),
            RouteTarget::Refused => (None, &[][..]),
            RouteTarget::Split(_, parts) => (None, &parts[..]),
        };
        let several = several.iter().filter(|(_, part)| *part > 0).map(|(p, _)| *p);
        one.into_iter().chain(several).chain(self.fallback)
    }
}

/// Routes that end at one place of the tree of paths.
#[derive(Debug, Default)]
struct Slot {
    clubs: HashMap<usize, Vec<usize>>,
    any: Vec<usize>,
}

#[derive(Debug, Default)]
struct Node {
    texts: HashMap<Box<str>, usize>,
    any: Option<usize>,
    exact: Slot,
    more: Slot,
}

/// See the module's page.
#[derive(Debug)]
pub struct Table {
    /// What is known.
    pub world: KnownNames,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The routes, in the order in which they are tried.
    pub routes: Vec<Compiled>,
    /// The headers that matter.
    pub headers: Vec<String>,
    nodes: Vec<Node>,
    /// Routes for one or few clubs by each of them, and those for more.
    by_club: (HashMap<usize, Vec<usize>>, Vec<usize>),
}

/// Clubs up to which a route is found by each of its clubs.
const FEW: usize = 8;

fn wrong(place: &SourceLocation, field: &str, what: impl Into<String>) -> TableError {
    TableError { place: place.clone(), field: field.into(), what: what.into() }
}

/// Conditions as a set of requests.
///
/// # Errors
/// What is not known or can't be read, with its field.
pub fn cube(when: &Conditions, world: &KnownNames) -> Result<Cube, (&'static str, String)> {
    let mut cube = Cube::all(world);
    let named = |field: &'static str, given: &[String], known: &[&str]| {
        if given.is_empty() {
            return Ok(ValueSet::all(known.len()));
        }
        let position = |name: &String| {
            known.iter().position(|k| k == name).ok_or_else(|| (field, format!("there is no {name:?}")))
        };
        let all: Vec<usize> = given.iter().map(position).collect::<Result<_, _>>()?;
        Ok(ValueSet::of(all.into_iter(), known.len()))
    };
    let classes: Vec<&str> = world.classes.iter().map(String::as_str).collect();
    let clubs: Vec<&str> = world.clubs.iter().map(String::as_str).collect();
    cube.fronts = named("front", &when.fronts, &FRONTS)?;
    cube.methods = named("method", &when.methods, &METHODS)?;
    cube.classes = named("class", &when.classes, &classes)?;
    cube.clubs = named("club", &when.clubs, &clubs)?;
    if let Some(keyed) = when.keyed {
        cube.keyed = ValueSet::of([usize::from(keyed)].into_iter(), 2);
    }
    if let Some(host) = &when.host {
        cube.host = Region::of(Pattern::host(host).map_err(|e| ("host", e))?);
    }
    if let Some(path) = &when.path {
        cube.path = Region::of(Pattern::path(path).map_err(|e| ("path", e))?);
    }
    for (name, is) in &when.headers {
        let token = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
        if name.is_empty() || !name.bytes().all(token) {
            return Err(("headers", format!("{name:?} is no name of a header in small letters")));
        }
        let absent = BTreeSet::from([None]);
        let values = match is {
            HeaderIs::There(true) => Values::but(absent),
            HeaderIs::There(false) => Values::these(absent),
            HeaderIs::OneOf(all) => Values::these(all.iter().cloned().map(Some).collect()),
        };
        cube.headers.insert(name.clone(), values);
    }
    Ok(cube)
}

impl Table {
    /// Checks and compiles.
    ///
    /// # Errors
    /// All that is wrong, each with its place.
    pub fn new(world: KnownNames, pools: Vec<Pool>, routes: Vec<Route>) -> Result<Table, Vec<TableError>> {
        let mut faults = Vec::new();
        if let Some(p) = pools.get(MAX_POOLS) {
            return Err(vec![wrong(&p.place, "pool", format!("there are more than {MAX_POOLS}"))]);
        }
        if let Some(r) = routes.get(MAX_ROUTES) {
            return Err(vec![wrong(&r.place, "route", format!("there are more than {MAX_ROUTES}"))]);
        }
        let mut positions = HashMap::new();
        for (k, pool) in pools.iter().enumerate() {
            if positions.insert(pool.name.clone(), k).is_some() {
                faults.push(wrong(&pool.place, "pool.name", format!("another is called {:?}", pool.name)));
            }
            let known = [("zones", &pool.zones, &world.zones), ("kinds", &pool.kinds, &world.kinds)];
            for (field, given, known) in known {
                if let Some(name) = given.iter().find(|n| !known.contains(n)) {
                    let what = format!("there is no {name:?}: the pool would be without members");
                    faults.push(wrong(&pool.place, &format!("pool {}.{field}", pool.name), what));
                }
            }
        }
        let mut names = BTreeSet::new();
        let mut compiled = Vec::new();
        for route in routes {
            let field = |name: &str| format!("route {}.{name}", route.name);
            if !names.insert(route.name.clone()) {
                faults.push(wrong(&route.place, "route.name", format!("another is called {:?}", route.name)));
            }
            let pool = |name: &str, at: &str| {
                positions
                    .get(name)
                    .copied()
                    .ok_or_else(|| wrong(&route.place, &field(at), format!("there is no pool {name:?}")))
            };
            let leads = match &route.to {
                Destination::Pool(name) => pool(name, "to").map(RouteTarget::Pool),
                Destination::Refuse(_) => Ok(RouteTarget::Refused),
                Destination::Split(by, parts) => {
                    let sum: u64 = parts.iter().map(|(_, part)| u64::from(*part)).sum();
                    let all: Result<Vec<_>, _> =
                        parts.iter().map(|(name, part)| Ok((pool(name, "split")?, *part))).collect();
                    if sum != u64::from(split::TOTAL_WEIGHT) {
                        let what = format!("its parts come to {sum} and not to {}", split::TOTAL_WEIGHT);
                        Err(wrong(&route.place, &field("split"), what))
                    } else {
                        all.map(|all| RouteTarget::Split(*by, all))
                    }
                }
            };
            let fallback = route.fallback.as_deref().map(|name| pool(name, "fallback")).transpose();
            let cube = cube(&route.when, &world).map_err(|(at, what)| wrong(&route.place, &field(at), what));
            match (leads, fallback, cube) {
                (Ok(leads), Ok(fallback), Ok(cube)) => {
                    // Repeats of a key find each other only where all of them go.
                    let by_id = matches!(&leads, RouteTarget::Split(SplitKey::Id, parts) if parts.iter().filter(|p| p.1 > 0).count() > 1);
                    let keyed = cube.classes.iter().find(|&c| world.keyed.get(c) == Some(&true));
                    if let (true, Some(class)) = (by_id, keyed) {
                        let what = format!(
                            "repeats of class {} would go to another pool than the one that drops them: split by key or club",
                            world.classes[class]
                        );
                        faults.push(wrong(&route.place, &field("split_by"), what));
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
            world,
            pools,
            routes: compiled,
            headers: headers.into_iter().collect(),
            nodes: vec![Node::default()],
            by_club: (HashMap::new(), Vec::new()),
        };
        (0..table.routes.len()).for_each(|k| table.index(k));
        let faults = table.faults();
        if faults.is_empty() {
            Ok(table)
        } else {
            Err(faults)
        }
    }

    fn index(&mut self, k: usize) {
        let cube = &self.routes[k].cube;
        let clubs: Vec<usize> = cube.clubs.iter().take(FEW + 1).collect();
        let few = clubs.len() <= FEW && clubs.len() < self.world.clubs.len();
        let mut at = 0;
        for segment in cube.path.is.segments.clone() {
            let next = match &segment {
                Some(text) => self.nodes[at].texts.get(text).copied(),
                None => self.nodes[at].any,
            };
            at = next.unwrap_or_else(|| {
                self.nodes.push(Node::default());
                let new = self.nodes.len() - 1;
                match segment {
                    Some(text) => drop(self.nodes[at].texts.insert(text, new)),
                    None => self.nodes[at].any = Some(new),
                }
                new
            });
        }
        let more = self.routes[k].cube.path.is.more;
        let node = &mut self.nodes[at];
        let slot = if more { &mut node.more } else { &mut node.exact };
        if few {
            for club in clubs {
                slot.clubs.entry(club).or_default().push(k);
                self.by_club.0.entry(club).or_default().push(k);
            }
        } else {
            slot.any.push(k);
            self.by_club.1.push(k);
        }
    }

    /// Routes that may have something in common with a set of requests, in order.
    pub(crate) fn near(&self, cube: &Cube) -> Vec<usize> {
        let clubs: Vec<usize> = cube.clubs.iter().take(FEW + 1).collect();
        if clubs.len() > FEW {
            return (0..self.routes.len()).collect();
        }
        let own = clubs.iter().filter_map(|club| self.by_club.0.get(club)).flatten();
        let mut all: Vec<usize> = own.chain(&self.by_club.1).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Overlaps without precedence, and routes that nothing reaches.
    fn faults(&self) -> Vec<TableError> {
        let mut faults = Vec::new();
        let mut steps = 0;
        for (k, own) in self.routes.iter().enumerate() {
            let before: Vec<usize> =
                self.near(&own.cube).into_iter().take_while(|&other| other < k).collect();
            // One request that it gets shows that it is reached; only where none is found at once all are gone through.
            let reached = (0..3).any(|more| {
                let own =
                    own.cube.sample("\u{1}", more, |q| self.route(q).is_some_and(|c| std::ptr::eq(c, own)));
                own == Some(true)
            });
            let mut rest = vec![own.cube.clone()];
            let mut hidden_by = Vec::new();
            for other in before {
                let other = &self.routes[other];
                if reached && other.route.precedence != own.route.precedence {
                    continue;
                }
                let Some(both) = own.cube.intersection(&other.cube) else { continue };
                steps += 1;
                if other.route.precedence == own.route.precedence {
                    let what = format!(
                        "has the precedence of route {:?}, {}, and both match {}",
                        other.route.name,
                        other.route.place.line,
                        both.example(&self.world)
                    );
                    faults.push(wrong(&own.route.place, &format!("route {}", own.route.name), what));
                    break;
                }
                if reached {
                    continue;
                }
                let left = rest.iter().flat_map(|cube| cube.without(&other.cube)).collect::<Vec<_>>();
                if left != rest {
                    hidden_by.push(other.route.name.clone());
                    rest = left;
                }
                steps += rest.len();
                if rest.is_empty() || steps > MAX_STEPS {
                    break;
                }
            }
            if rest.is_empty() && !reached {
                hidden_by.truncate(4);
                let what = format!("can never match: {} come before it", hidden_by.join(", "));
                faults.push(wrong(&own.route.place, &format!("route {}", own.route.name), what));
            }
            if steps > MAX_STEPS {
                let what = format!("the table takes more than {MAX_STEPS} steps to check from here on");
                faults.push(wrong(&own.route.place, &format!("route {}", own.route.name), what));
                break;
            }
        }
        faults
    }

    /// The route of a request; `None`: there is none.
    pub fn route(&self, q: &Query) -> Option<&Compiled> {
        let mut best = usize::MAX;
        let mut slot = |slot: &Slot| {
            for list in [slot.clubs.get(&q.club).map_or(&[][..], Vec::as_slice), &slot.any] {
                for &k in list {
                    if k >= best {
                        break;
                    }
                    if self.routes[k].cube.has(q) {
                        best = k;
                        break;
                    }
                }
            }
        };
        // Every place that the path leads to; as many as there are ways to read it, which are few.
        let (mut here, mut next) = (vec![0], Vec::new());
        for (depth, segment) in q.path.iter().enumerate() {
            for &at in &here {
                let node = &self.nodes[at];
                slot(&node.more);
                next.extend(node.texts.get(*segment).copied());
                next.extend(node.any);
            }
            std::mem::swap(&mut here, &mut next);
            next.clear();
            if here.is_empty() {
                break;
            }
            if depth + 1 == q.path.len() {
                here.iter().for_each(|&at| {
                    slot(&self.nodes[at].more);
                    slot(&self.nodes[at].exact);
                });
            }
        }
        self.routes.get(best)
    }

    /// The route of a request, found the plain way: each in order.
    pub fn route_plainly(&self, q: &Query) -> Option<&Compiled> {
        self.routes.iter().find(|c| c.cube.has(q))
    }

    /// The pool of a route for this key, club and id; `None`: refused.
    pub fn pool(&self, route: &Compiled, key: Option<&[u8]>, club: usize, id: &[u8]) -> Option<usize> {
        match &route.leads {
            RouteTarget::Pool(p) => Some(*p),
            RouteTarget::Refused => None,
            RouteTarget::Split(by, parts) => {
                let club = club.to_le_bytes();
                let by = match by {
                    SplitKey::Key => key.unwrap_or(id),
                    SplitKey::Club => &club,
                    SplitKey::Id => id,
                };
                let named = parts.iter().map(|&(p, part)| (self.pools[p].name.as_str(), part));
                split::choose(named, by).map(|k| parts[k].0)
            }
        }
    }

    /// Goes through all requests of a set by what they get: `visit` is given each part, with its route or none. `false`: it
    /// takes more steps than it may.
    pub(crate) fn walk<'t>(
        &'t self,
        scope: &Cube,
        steps: &mut usize,
        visit: &mut dyn FnMut(&Cube, Option<&'t Compiled>) -> bool,
    ) -> bool {
        let near = self.near(scope);
        let mut open = vec![(scope.clone(), 0)];
        while let Some((cube, mut at)) = open.pop() {
            let mut whole = true;
            while let Some(&k) = near.get(at) {
                *steps += 1;
                at += 1;
                if *steps > MAX_STEPS {
                    return false;
                }
                let route = &self.routes[k];
                if let Some(inside) = cube.intersection(&route.cube) {
                    if !visit(&inside, Some(route)) {
                        return true;
                    }
                    open.extend(cube.without(&route.cube).into_iter().map(|rest| (rest, at)));
                    whole = false;
                    break;
                }
            }
            if whole && !visit(&cube, None) {
                return true;
            }
        }
        true
    }

    /// How many routes lead to each pool.
    pub fn reached(&self) -> BTreeMap<&str, usize> {
        let mut all: BTreeMap<&str, usize> = self.pools.iter().map(|p| (p.name.as_str(), 0)).collect();
        for route in &self.routes {
            for pool in route.pools() {
                *all.entry(self.pools[pool].name.as_str()).or_default() += 1;
            }
        }
        all
    }
}
