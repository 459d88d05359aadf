//! Sets of requests, with one condition for each attribute of a request. Intersections are sets of this kind again, and
//! differences are unions of them, so that statements about all requests can be proved without sending any.
use crate::pattern::Region;
use crate::spec::KnownNames;
use std::collections::{BTreeMap, BTreeSet};

/// Front ends, by position.
pub const FRONTS: [&str; 2] = ["http", "fastcgi"];
/// Methods, by position.
pub const METHODS: [&str; 2] = ["GET", "POST"];

/// A subset of a finite list of values, by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueSet(Vec<u64>);

impl ValueSet {
    /// The set of these positions in a list of `count` values.
    pub fn of(positions: impl Iterator<Item = usize>, count: usize) -> ValueSet {
        let mut words = vec![0; count.div_ceil(64).max(1)];
        positions.filter(|&p| p < count.max(1)).for_each(|p| words[p / 64] |= 1 << (p % 64));
        ValueSet(words)
    }

    /// All values of a list of `count` values, at least one.
    pub fn all(count: usize) -> ValueSet {
        ValueSet::of(0..count.max(1), count.max(1))
    }

    fn combine(&self, other: &ValueSet, operation: impl Fn(u64, u64) -> u64) -> ValueSet {
        ValueSet(self.0.iter().zip(&other.0).map(|(&a, &b)| operation(a, b)).collect())
    }

    /// Positions in the set.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0
            .iter()
            .enumerate()
            .flat_map(|(k, &w)| (0..64).filter(move |b| w >> b & 1 == 1).map(move |b| k * 64 + b))
    }

    /// Whether a position is in the set.
    pub fn contains(&self, position: usize) -> bool {
        self.0.get(position / 64).is_some_and(|w| w >> (position % 64) & 1 == 1)
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(|&w| w == 0)
    }
}

/// A set of header values: the listed ones, or all except the listed ones. `None` stands for an absent header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Values {
    included: bool,
    listed: BTreeSet<Option<String>>,
}

impl Values {
    /// The listed values.
    pub fn only(listed: BTreeSet<Option<String>>) -> Values {
        Values { included: true, listed }
    }

    /// All values except the listed ones.
    pub fn all_except(listed: BTreeSet<Option<String>>) -> Values {
        Values { included: false, listed }
    }

    /// Whether a value is in the set.
    pub fn contains(&self, value: Option<&str>) -> bool {
        self.listed.iter().any(|v| v.as_deref() == value) == self.included
    }

    fn complement(&self) -> Values {
        Values { included: !self.included, listed: self.listed.clone() }
    }

    fn intersection(&self, other: &Values) -> Values {
        let listed = match (self.included, other.included) {
            (true, true) => self.listed.intersection(&other.listed).cloned().collect(),
            (true, false) => self.listed.difference(&other.listed).cloned().collect(),
            (false, true) => other.listed.difference(&self.listed).cloned().collect(),
            (false, false) => return Values::all_except(self.listed.union(&other.listed).cloned().collect()),
        };
        Values::only(listed)
    }

    fn is_empty(&self) -> bool {
        self.included && self.listed.is_empty()
    }

    fn example(&self) -> Option<String> {
        if self.included {
            return self.listed.first().cloned().flatten();
        }
        if !self.listed.contains(&None) {
            return None;
        }
        let mut value = "x".to_string();
        while self.listed.contains(&Some(value.clone())) {
            value.push('x');
        }
        Some(value)
    }
}

/// A set of requests: those that meet every condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cube {
    /// Front ends, by position in [`FRONTS`].
    pub fronts: ValueSet,
    /// Methods, by position in [`METHODS`].
    pub methods: ValueSet,
    /// Request classes.
    pub classes: ValueSet,
    /// Tenants.
    pub tenants: ValueSet,
    /// Position 0: requests without an idempotency key; position 1: requests with one.
    pub keyed: ValueSet,
    /// Hosts, with their labels in reverse order.
    pub host: Region,
    /// Paths.
    pub path: Region,
    /// Conditions on headers, by name.
    pub headers: BTreeMap<String, Values>,
}

/// Attributes of one request by which it is routed.
pub struct Query<'a> {
    /// Front end, by position in [`FRONTS`].
    pub front: usize,
    /// Method, by position in [`METHODS`].
    pub method: usize,
    /// Class of the request, by position.
    pub class: usize,
    /// Tenant, by position.
    pub club: usize,
    /// Whether the request has an idempotency key.
    pub keyed: bool,
    /// Labels of the host in reverse order and lower case.
    pub host: &'a [&'a str],
    /// Segments of the path; see [`crate::path::segments`].
    pub path: &'a [&'a str],
    /// Returns the value of a header.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

impl Cube {
    /// The set of all requests.
    pub fn all(known_names: &KnownNames) -> Cube {
        Cube {
            fronts: ValueSet::all(FRONTS.len()),
            methods: ValueSet::all(METHODS.len()),
            classes: ValueSet::all(known_names.classes.len()),
            tenants: ValueSet::all(known_names.clubs.len()),
            keyed: ValueSet::all(2),
            host: Region::any(),
            path: Region::any(),
            headers: BTreeMap::new(),
        }
    }

    /// Whether a cheap check shows that the sets are disjoint, as it does for most pairs of routes in a large table.
    /// `false` does not mean that they overlap.
    fn is_obviously_disjoint(&self, other: &Cube) -> bool {
        let disjoint = |a: &ValueSet, b: &ValueSet| a.0.iter().zip(&b.0).all(|(a, b)| a & b == 0);
        disjoint(&self.tenants, &other.tenants)
            || !self.path.pattern.overlaps(&other.path.pattern)
            || disjoint(&self.classes, &other.classes)
            || !self.host.pattern.overlaps(&other.host.pattern)
    }

    /// The intersection of two sets; `None` if it is empty.
    pub fn intersection(&self, other: &Cube) -> Option<Cube> {
        if self.is_obviously_disjoint(other) {
            return None;
        }
        let and = |a: &ValueSet, b: &ValueSet| Some(a.combine(b, |a, b| a & b)).filter(|s| !s.is_empty());
        let mut headers = self.headers.clone();
        for (name, values) in &other.headers {
            let intersection =
                headers.get(name).map_or_else(|| values.clone(), |own| own.intersection(values));
            if intersection.is_empty() {
                return None;
            }
            headers.insert(name.clone(), intersection);
        }
        Some(Cube {
            fronts: and(&self.fronts, &other.fronts)?,
            methods: and(&self.methods, &other.methods)?,
            classes: and(&self.classes, &other.classes)?,
            tenants: and(&self.tenants, &other.tenants)?,
            keyed: and(&self.keyed, &other.keyed)?,
            host: self.host.intersection(&other.host)?,
            path: self.path.intersection(&other.path)?,
            headers,
        })
    }

    /// The difference of two sets, as disjoint sets.
    pub fn without(&self, other: &Cube) -> Vec<Cube> {
        let Some(intersection) = self.intersection(other) else { return vec![self.clone()] };
        let (mut rest, mut pieces) = (self.clone(), Vec::new());
        // For each condition in turn, adds the requests that fail it and meet the previous ones.
        let finite: [fn(&mut Cube) -> &mut ValueSet; 5] =
            [|c| &mut c.fronts, |c| &mut c.methods, |c| &mut c.classes, |c| &mut c.tenants, |c| &mut c.keyed];
        let mut remaining = intersection;
        for field in finite {
            let inside = field(&mut remaining).clone();
            let outside = field(&mut rest).combine(&inside, |a, b| a & !b);
            if !outside.is_empty() {
                let mut piece = rest.clone();
                *field(&mut piece) = outside;
                pieces.push(piece);
            }
            *field(&mut rest) = inside;
        }
        for host in rest.host.without(&other.host) {
            pieces.push(Cube { host, ..rest.clone() });
        }
        rest.host = remaining.host;
        for path in rest.path.without(&other.path) {
            pieces.push(Cube { path, ..rest.clone() });
        }
        rest.path = remaining.path;
        for (name, values) in &other.headers {
            let own = rest.headers.get(name).cloned().unwrap_or(Values::all_except(BTreeSet::new()));
            let outside = own.intersection(&values.complement());
            if !outside.is_empty() {
                let mut piece = rest.clone();
                piece.headers.insert(name.clone(), outside);
                pieces.push(piece);
            }
            rest.headers.insert(name.clone(), own.intersection(values));
        }
        pieces
    }

    /// Calls `inspect` with a request of the set and returns its result; `None` if no request was found. Wildcard segments
    /// of path and host get the text `unused`, which few other routes match, and are followed by `extra` more segments
    /// where the pattern allows it.
    pub fn sample<R>(&self, unused: &str, extra: usize, inspect: impl FnOnce(&Query) -> R) -> Option<R> {
        let segments = |r: &Region, min_length: usize| -> Vec<String> {
            let named = r.pattern.segments.iter().map(|s| s.as_deref().unwrap_or(unused).to_string());
            let suffix_length = if r.pattern.any_suffix {
                min_length.saturating_sub(r.pattern.segments.len()) + extra
            } else {
                0
            };
            named.chain(std::iter::repeat_n(unused.to_string(), suffix_length)).collect()
        };
        let (host, path) = (segments(&self.host, 1), segments(&self.path, 1));
        let (host, path): (Vec<&str>, Vec<&str>) =
            (host.iter().map(String::as_str).collect(), path.iter().map(String::as_str).collect());
        let values: Vec<(&str, Option<String>)> =
            self.headers.iter().map(|(n, v)| (n.as_str(), v.example())).collect();
        let header = |name: &str| values.iter().find(|(n, _)| *n == name).and_then(|(_, v)| v.as_deref());
        let first = |s: &ValueSet| s.iter().next();
        let query = Query {
            front: first(&self.fronts)?,
            method: first(&self.methods)?,
            class: first(&self.classes)?,
            club: first(&self.tenants)?,
            keyed: first(&self.keyed)? == 1,
            host: &host,
            path: &path,
            header: &header,
        };
        self.has(&query).then(|| inspect(&query))
    }

    /// Whether a request is in the set.
    pub fn has(&self, query: &Query) -> bool {
        let contains =
            |r: &Region, s: &[&str]| r.pattern.matches(s) && !r.except.iter().any(|p| p.matches(s));
        self.tenants.contains(query.club)
            && self.classes.contains(query.class)
            && self.fronts.contains(query.front)
            && self.methods.contains(query.method)
            && self.keyed.contains(usize::from(query.keyed))
            && contains(&self.path, query.path)
            && contains(&self.host, query.host)
            && self.headers.iter().all(|(name, values)| values.contains((query.header)(name)))
    }

    /// Describes a request of the set with the shortest path and host.
    pub fn example(&self, known_names: &KnownNames) -> String {
        let first_name = |s: &ValueSet, names: &[String]| s.iter().next().and_then(|p| names.get(p).cloned());
        let method = self.methods.iter().next().map_or("GET", |m| METHODS[m]);
        let path = self.path.example().unwrap_or_default().join("/");
        let mut text = format!("{method} /{path}");
        if self.host != Region::any() {
            let mut labels = self.host.example().unwrap_or_default();
            labels.reverse();
            text += &format!(" at host {}", labels.join("."));
        }
        if let Some(class) = first_name(&self.classes, &known_names.classes) {
            text += &format!(", class {class}");
        }
        if let Some(club) = first_name(&self.tenants, &known_names.clubs) {
            text += &format!(", club {club}");
        }
        if !self.fronts.contains(0) {
            text += ", by fastcgi";
        }
        if !self.keyed.contains(0) {
            text += ", with a key";
        }
        for (name, values) in &self.headers {
            text += &match values.example() {
                Some(value) => format!(", {name}: {value:?}"),
                None => format!(", without {name}"),
            };
        }
        text
    }
}
