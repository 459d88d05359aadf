//! Sets of requests: one condition for each thing that a request is told by. Meet and difference are sets of this kind again,
//! so that what is true of all requests can be found out without sending one.
use crate::pattern::Region;
use crate::spec::KnownNames;
use std::collections::{BTreeMap, BTreeSet};

/// The fronts, by position.
pub const FRONTS: [&str; 2] = ["http", "fastcgi"];
/// The methods, by position.
pub const METHODS: [&str; 2] = ["GET", "POST"];

/// Some of a finite number of things, by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueSet(Vec<u64>);

impl ValueSet {
    /// These positions, of so many.
    pub fn of(positions: impl Iterator<Item = usize>, of: usize) -> ValueSet {
        let mut words = vec![0; of.div_ceil(64).max(1)];
        positions.filter(|&p| p < of.max(1)).for_each(|p| words[p / 64] |= 1 << (p % 64));
        ValueSet(words)
    }

    /// All of so many; one at the least.
    pub fn all(of: usize) -> ValueSet {
        ValueSet::of(0..of.max(1), of.max(1))
    }

    fn with(&self, other: &ValueSet, both: impl Fn(u64, u64) -> u64) -> ValueSet {
        ValueSet(self.0.iter().zip(&other.0).map(|(&a, &b)| both(a, b)).collect())
    }

    /// The positions in it.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0
            .iter()
            .enumerate()
            .flat_map(|(k, &w)| (0..64).filter(move |b| w >> b & 1 == 1).map(move |b| k * 64 + b))
    }

    /// Whether a position is in it.
    pub fn has(&self, position: usize) -> bool {
        self.0.get(position / 64).is_some_and(|w| w >> (position % 64) & 1 == 1)
    }

    fn empty(&self) -> bool {
        self.0.iter().all(|&w| w == 0)
    }
}

/// Values of a header, `None` for one that is absent: these, or all but these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Values {
    these: bool,
    set: BTreeSet<Option<String>>,
}

impl Values {
    /// These.
    pub fn these(set: BTreeSet<Option<String>>) -> Values {
        Values { these: true, set }
    }

    /// All but these.
    pub fn but(set: BTreeSet<Option<String>>) -> Values {
        Values { these: false, set }
    }

    /// Whether a value is one of them.
    pub fn has(&self, value: Option<&str>) -> bool {
        self.set.iter().any(|v| v.as_deref() == value) == self.these
    }

    fn not(&self) -> Values {
        Values { these: !self.these, set: self.set.clone() }
    }

    fn intersection(&self, other: &Values) -> Values {
        let set = match (self.these, other.these) {
            (true, true) => self.set.intersection(&other.set).cloned().collect(),
            (true, false) => self.set.difference(&other.set).cloned().collect(),
            (false, true) => other.set.difference(&self.set).cloned().collect(),
            (false, false) => return Values::but(self.set.union(&other.set).cloned().collect()),
        };
        Values::these(set)
    }

    fn empty(&self) -> bool {
        self.these && self.set.is_empty()
    }

    fn example(&self) -> Option<String> {
        if self.these {
            return self.set.first().cloned().flatten();
        }
        if !self.set.contains(&None) {
            return None;
        }
        let mut value = "x".to_string();
        while self.set.contains(&Some(value.clone())) {
            value.push('x');
        }
        Some(value)
    }
}

/// A set of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cube {
    /// Fronts.
    pub fronts: ValueSet,
    /// Methods.
    pub methods: ValueSet,
    /// Classes.
    pub classes: ValueSet,
    /// Clubs.
    pub clubs: ValueSet,
    /// Without a key, and with one.
    pub keyed: ValueSet,
    /// Hosts, their labels from behind.
    pub host: Region,
    /// Paths.
    pub path: Region,
    /// Headers that matter.
    pub headers: BTreeMap<String, Values>,
}

/// One request, as the table sees it.
pub struct Query<'a> {
    /// The front, by position.
    pub front: usize,
    /// The method, by position.
    pub method: usize,
    /// The class.
    pub class: usize,
    /// The club.
    pub club: usize,
    /// Whether it carries a key.
    pub keyed: bool,
    /// The host's labels, from behind, in small letters.
    pub host: &'a [&'a str],
    /// The path's segments; see [`crate::path::segments`].
    pub path: &'a [&'a str],
    /// The value of a header.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

impl Cube {
    /// All requests.
    pub fn all(world: &KnownNames) -> Cube {
        Cube {
            fronts: ValueSet::all(FRONTS.len()),
            methods: ValueSet::all(METHODS.len()),
            classes: ValueSet::all(world.classes.len()),
            clubs: ValueSet::all(world.clubs.len()),
            keyed: ValueSet::all(2),
            host: Region::any(),
            path: Region::any(),
            headers: BTreeMap::new(),
        }
    }

    /// Whether the first look shows that nothing is in both: most pairs of a large table, which then cost little.
    fn apart(&self, other: &Cube) -> bool {
        let no = |a: &ValueSet, b: &ValueSet| a.0.iter().zip(&b.0).all(|(a, b)| a & b == 0);
        no(&self.clubs, &other.clubs)
            || !self.path.is.meets(&other.path.is)
            || no(&self.classes, &other.classes)
            || !self.host.is.meets(&other.host.is)
    }

    /// What is in both; `None`: nothing.
    pub fn intersection(&self, other: &Cube) -> Option<Cube> {
        if self.apart(other) {
            return None;
        }
        let and = |a: &ValueSet, b: &ValueSet| Some(a.with(b, |a, b| a & b)).filter(|s| !s.empty());
        let mut headers = self.headers.clone();
        for (name, values) in &other.headers {
            let met = headers.get(name).map_or_else(|| values.clone(), |own| own.intersection(values));
            if met.empty() {
                return None;
            }
            headers.insert(name.clone(), met);
        }
        Some(Cube {
            fronts: and(&self.fronts, &other.fronts)?,
            methods: and(&self.methods, &other.methods)?,
            classes: and(&self.classes, &other.classes)?,
            clubs: and(&self.clubs, &other.clubs)?,
            keyed: and(&self.keyed, &other.keyed)?,
            host: self.host.intersection(&other.host)?,
            path: self.path.intersection(&other.path)?,
            headers,
        })
    }

    /// What is in this one and not in the other, as cubes that have nothing in common.
    pub fn without(&self, other: &Cube) -> Vec<Cube> {
        let Some(met) = self.intersection(other) else { return vec![self.clone()] };
        let (mut rest, mut all) = (self.clone(), Vec::new());
        // One condition after the other: what fails it, while those before hold.
        let finite: [fn(&mut Cube) -> &mut ValueSet; 5] =
            [|c| &mut c.fronts, |c| &mut c.methods, |c| &mut c.classes, |c| &mut c.clubs, |c| &mut c.keyed];
        let mut met_ = met;
        for field in finite {
            let inside = field(&mut met_).clone();
            let outside = field(&mut rest).with(&inside, |a, b| a & !b);
            if !outside.empty() {
                let mut piece = rest.clone();
                *field(&mut piece) = outside;
                all.push(piece);
            }
            *field(&mut rest) = inside;
        }
        for host in rest.host.without(&other.host) {
            all.push(Cube { host, ..rest.clone() });
        }
        rest.host = met_.host;
        for path in rest.path.without(&other.path) {
            all.push(Cube { path, ..rest.clone() });
        }
        rest.path = met_.path;
        for (name, values) in &other.headers {
            let own = rest.headers.get(name).cloned().unwrap_or(Values::but(BTreeSet::new()));
            let outside = own.intersection(&values.not());
            if !outside.empty() {
                let mut piece = rest.clone();
                piece.headers.insert(name.clone(), outside);
                all.push(piece);
            }
            rest.headers.insert(name.clone(), own.intersection(values));
        }
        all
    }

    /// A request in it, its path and host as `fresh` as they may be: what no other condition names goes by few routes.
    pub fn sample<R>(&self, fresh: &str, more: usize, ask: impl FnOnce(&Query) -> R) -> Option<R> {
        let list = |r: &Region, least: usize| -> Vec<String> {
            let named = r.is.segments.iter().map(|s| s.as_deref().unwrap_or(fresh).to_string());
            let further = if r.is.more { least.saturating_sub(r.is.segments.len()) + more } else { 0 };
            named.chain(std::iter::repeat_n(fresh.to_string(), further)).collect()
        };
        let (host, path) = (list(&self.host, 1), list(&self.path, 1));
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
            club: first(&self.clubs)?,
            keyed: first(&self.keyed)? == 1,
            host: &host,
            path: &path,
            header: &header,
        };
        self.has(&query).then(|| ask(&query))
    }

    /// Whether a request is in it.
    pub fn has(&self, q: &Query) -> bool {
        let region = |r: &Region, at: &[&str]| r.is.matches(at) && !r.but.iter().any(|p| p.matches(at));
        self.clubs.has(q.club)
            && self.classes.has(q.class)
            && self.fronts.has(q.front)
            && self.methods.has(q.method)
            && self.keyed.has(usize::from(q.keyed))
            && region(&self.path, q.path)
            && region(&self.host, q.host)
            && self.headers.iter().all(|(name, values)| values.has((q.header)(name)))
    }

    /// A smallest request in it, in words.
    pub fn example(&self, world: &KnownNames) -> String {
        let first = |s: &ValueSet, names: &[String]| s.iter().next().and_then(|p| names.get(p).cloned());
        let method = self.methods.iter().next().map_or("GET", |m| METHODS[m]);
        let path = self.path.example().unwrap_or_default().join("/");
        let mut text = format!("{method} /{path}");
        if self.host != Region::any() {
            let mut labels = self.host.example().unwrap_or_default();
            labels.reverse();
            text += &format!(" at host {}", labels.join("."));
        }
        if let Some(class) = first(&self.classes, &world.classes) {
            text += &format!(", class {class}");
        }
        if let Some(club) = first(&self.clubs, &world.clubs) {
            text += &format!(", club {club}");
        }
        if !self.fronts.has(0) {
            text += ", by fastcgi";
        }
        if !self.keyed.has(0) {
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
