//! Judges histories: what clients of a replicated record called for and were told, and when. It knows nothing of how the
//! record is kept.
//!
//! **Linearizable** (Herlihy and Wing, 1990): there is an order of all operations, each somewhere between its call and
//! its answer, in which a single copy of the record would have answered the same. One whose outcome is not known may have
//! happened at any time after its call, or never. The search is Wing and Gong's (1993), with Lowe's (2017) memory of what
//! was tried; keys that are never used together are judged apart.
//!
//! **Leases**: no two holders believe at one time that they hold the same thing.
use std::collections::{BTreeMap, HashSet};
use std::fmt;

/// Configurations that are tried for one group of keys before the judge gives up; it says so then.
const TRIED_MOST: usize = 4_000_000;

/// What was called for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// The values of these keys at one time.
    Read(Vec<String>),
    /// If all of `when` holds (a key's value, or that there is none), all of `then` is done.
    Write {
        /// Keys, and what they have to hold.
        when: Vec<(String, Option<String>)>,
        /// Keys, and what they hold afterwards.
        then: Vec<(String, Option<String>)>,
    },
}

impl Call {
    fn keys(&self) -> impl Iterator<Item = &String> {
        let (read, write) = match self {
            Call::Read(keys) => (Some(keys.iter()), None),
            Call::Write { when, then } => (None, Some(when.iter().chain(then).map(|(key, _)| key))),
        };
        read.into_iter().flatten().chain(write.into_iter().flatten())
    }
}

/// What was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseValue {
    /// What was read.
    Values(Vec<Option<String>>),
    /// The write was done.
    Done,
    /// It was not, for a condition did not hold.
    Differs,
}

/// One operation. Times are of one clock, whatever its unit; what ends when another begins came before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Whose.
    pub client: u64,
    /// When it was called for.
    pub start: u64,
    /// When it was told what came of it, and what; `None`: that is not known.
    pub end: Option<(u64, ResponseValue)>,
    /// What it is.
    pub call: Call,
}

/// Somebody's belief that he holds a thing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// What.
    pub what: String,
    /// Who: a session.
    pub holder: u64,
    /// From when on.
    pub from: u64,
    /// Until when, at the latest.
    pub until: u64,
}

/// What is wrong with a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No order explains what was told of these keys.
    NotLinearizable {
        /// The keys.
        keys: Vec<String>,
        /// The operation behind which no order was found, of the longest explanation.
        at: Box<Operation>,
    },
    /// Two held one thing at one time.
    HeldTwice(Holding, Holding),
    /// The judge gave up: too much has an unknown outcome.
    Undecided {
        /// The keys.
        keys: Vec<String>,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::NotLinearizable { keys, at } => {
                write!(f, "no order explains what was told of {keys:?}, at the latest at {at:?}")
            }
            Violation::HeldTwice(a, b) => write!(f, "held twice at one time: {a:?} and {b:?}"),
            Violation::Undecided { keys } => write!(f, "undecided: too many orders for {keys:?}"),
        }
    }
}

/// All that is wrong with these operations.
pub fn check(operations: &[Operation]) -> Vec<Violation> {
    groups(operations).into_iter().filter_map(|(keys, group)| linearize(keys, &group)).collect()
}

/// All pairs of holders that overlap.
pub fn check_holdings(holdings: &[Holding]) -> Vec<Violation> {
    let mut by_thing: BTreeMap<&str, Vec<&Holding>> = BTreeMap::new();
    for h in holdings {
        by_thing.entry(&h.what).or_default().push(h);
    }
    let mut all = Vec::new();
    for mut list in by_thing.into_values() {
        list.sort_by_key(|h| h.from);
        for (k, a) in list.iter().enumerate() {
            let others = list[k + 1..].iter().take_while(|b| b.from < a.until);
            let others = others.filter(|b| b.holder != a.holder && b.until > b.from);
            all.extend(others.map(|b| Violation::HeldTwice((*a).clone(), (*b).clone())));
        }
    }
    all
}

/// Operations by keys that are used together.
fn groups(operations: &[Operation]) -> Vec<(Vec<String>, Vec<Operation>)> {
    // Each key's group, by its first key; merged as they meet.
    let mut of: BTreeMap<&str, usize> = BTreeMap::new();
    let mut merged: Vec<usize> = Vec::new();
    fn root(merged: &[usize], mut g: usize) -> usize {
        while merged[g] != g {
            g = merged[g];
        }
        g
    }
    for op in operations {
        let mut first = None;
        for key in op.call.keys() {
            let g = *of.entry(key).or_insert_with(|| {
                merged.push(merged.len());
                merged.len() - 1
            });
            let g = root(&merged, g);
            match first {
                None => first = Some(g),
                Some(f) => merged[g] = root(&merged, f),
            }
        }
    }
    let mut all: BTreeMap<usize, (Vec<String>, Vec<Operation>)> = BTreeMap::new();
    for (key, &g) in &of {
        all.entry(root(&merged, g)).or_default().0.push((*key).to_string());
    }
    for op in operations {
        if let Some(key) = op.call.keys().next() {
            all.entry(root(&merged, of[key.as_str()])).or_default().1.push(op.clone());
        }
    }
    all.into_values().collect()
}

/// A configuration: who has happened, and what the keys hold then.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Tried {
    done: Vec<u64>,
    values: Vec<u32>,
}

struct Interned {
    start: u64,
    end: u64,
    known: bool,
    /// Keys and values that have to be so, for it to be explained as it was told.
    reads: Vec<(usize, u32)>,
    /// Whether one of `reads` has to differ, in place of none.
    differs: bool,
    writes: Vec<(usize, u32)>,
}

fn linearize(keys: Vec<String>, group: &[Operation]) -> Option<Violation> {
    let mut names: BTreeMap<String, u32> = BTreeMap::new();
    let mut number = |value: &Option<String>| -> u32 {
        match value {
            None => 0,
            Some(text) => {
                let next = names.len() as u32 + 1;
                *names.entry(text.clone()).or_insert(next)
            }
        }
    };
    let at = |key: &String| keys.binary_search(key).unwrap_or(0);
    let mut ops: Vec<(usize, Interned)> = Vec::new();
    for (k, op) in group.iter().enumerate() {
        let mut one = Interned {
            start: op.start,
            end: op.end.as_ref().map_or(u64::MAX, |(end, _)| *end),
            known: op.end.is_some(),
            reads: Vec::new(),
            differs: false,
            writes: Vec::new(),
        };
        match (&op.call, op.end.as_ref().map(|(_, told)| told)) {
            (Call::Read(read), Some(ResponseValue::Values(values))) => {
                one.reads = read.iter().zip(values).map(|(key, v)| (at(key), number(v))).collect();
            }
            // Nobody knows what it read: it explains nothing and breaks nothing.
            (Call::Read(_), None) => continue,
            (Call::Write { when, then }, told) => {
                one.reads = when.iter().map(|(key, v)| (at(key), number(v))).collect();
                match told {
                    Some(ResponseValue::Differs) => one.differs = true,
                    _ => one.writes = then.iter().map(|(key, v)| (at(key), number(v))).collect(),
                }
            }
            (Call::Read(_), Some(_)) => {
                return Some(Violation::NotLinearizable { keys, at: Box::new(op.clone()) });
            }
        }
        ops.push((k, one));
    }
    ops.sort_by_key(|(_, o)| o.start);
    let words = ops.len().div_ceil(64);
    let has = |done: &[u64], k: usize| done[k / 64] >> (k % 64) & 1 == 1;
    let begin = Tried { done: vec![0; words], values: vec![0; keys.len()] };
    let known = ops.iter().filter(|(_, o)| o.known).count();
    let mut seen: HashSet<Tried> = HashSet::from([begin.clone()]);
    let mut stack = vec![(begin, 0)];
    let (mut best, mut stuck) = (0, 0);
    while let Some((config, explained)) = stack.pop() {
        if explained == known {
            return None;
        }
        if seen.len() > TRIED_MOST {
            return Some(Violation::Undecided { keys });
        }
        // Whoever begins before the first end of those that are left may be next.
        let left = || ops.iter().enumerate().filter(|(k, _)| !has(&config.done, *k));
        let ends = left().filter(|(_, (_, o))| o.known).map(|(k, (_, o))| (k, o.end));
        let (first, first_end) = ends.min_by_key(|&(_, end)| end)?;
        if explained >= best {
            (best, stuck) = (explained, first);
        }
        for (k, (_, o)) in left().take_while(|(_, (_, o))| o.start < first_end) {
            let holds = o.reads.iter().all(|&(key, value)| config.values[key] == value);
            if holds == o.differs {
                // As it was told it can't be next; one that is unknown and would do nothing need not be.
                continue;
            }
            let mut next = config.clone();
            next.done[k / 64] |= 1 << (k % 64);
            for &(key, value) in &o.writes {
                next.values[key] = value;
            }
            if seen.insert(next.clone()) {
                stack.push((next, explained + usize::from(o.known)));
            }
        }
    }
    let at = Box::new(group[ops[stuck].0].clone());
    Some(Violation::NotLinearizable { keys, at })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn op(client: u64, start: u64, end: Option<(u64, ResponseValue)>, call: Call) -> Operation {
        Operation { client, start, end, call }
    }

    fn put(value: &str) -> Call {
        Call::Write { when: vec![], then: vec![("a".into(), Some(value.into()))] }
    }

    fn read() -> Call {
        Call::Read(vec!["a".into()])
    }

    fn saw(value: &str) -> ResponseValue {
        ResponseValue::Values(vec![(!value.is_empty()).then(|| value.into())])
    }

    #[test]
    fn what_one_copy_would_have_told_is_linearizable() {
        // Two writes at one time, seen in one order by all.
        let ops = [
            op(1, 0, Some((10, ResponseValue::Done)), put("x")),
            op(2, 0, Some((10, ResponseValue::Done)), put("y")),
            op(3, 2, Some((5, saw("y"))), read()),
            op(3, 6, Some((8, saw("x"))), read()),
            op(3, 11, Some((12, saw("x"))), read()),
        ];
        assert_eq!(check(&ops), []);
        // A write that nobody was told of may have happened, late, or never.
        for seen in ["", "x"] {
            let ops = [op(1, 0, None, put("x")), op(2, 50, Some((60, saw(seen))), read())];
            assert_eq!(check(&ops), []);
        }
        let swap = |from: &str, to: &str| Call::Write {
            when: vec![("a".into(), (!from.is_empty()).then(|| from.into()))],
            then: vec![("a".into(), Some(to.into()))],
        };
        let ops = [
            op(1, 0, Some((9, ResponseValue::Done)), swap("", "x")),
            op(2, 0, Some((9, ResponseValue::Differs)), swap("", "y")),
            op(1, 10, Some((11, ResponseValue::Done)), swap("x", "z")),
            op(2, 10, Some((11, ResponseValue::Differs)), swap("x", "w")),
            op(3, 12, Some((13, saw("z"))), read()),
        ];
        assert_eq!(check(&ops), []);
    }

    /// Each of these is a fault that a replicated record can have.
    #[test]
    fn what_no_single_copy_would_have_told_is_not() {
        let stale = vec![
            op(1, 0, Some((5, ResponseValue::Done)), put("x")),
            op(1, 6, Some((8, ResponseValue::Done)), put("y")),
            op(2, 9, Some((10, saw("x"))), read()),
        ];
        let lost =
            vec![op(1, 0, Some((5, ResponseValue::Done)), put("x")), op(2, 9, Some((10, saw(""))), read())];
        let back_again = vec![
            op(1, 0, Some((20, ResponseValue::Done)), put("x")),
            op(3, 1, Some((2, saw("x"))), read()),
            op(2, 3, Some((4, ResponseValue::Done)), put("y")),
            op(3, 5, Some((6, saw("y"))), read()),
            op(3, 7, Some((8, saw("x"))), read()),
        ];
        let invented = vec![op(2, 9, Some((10, saw("never written"))), read())];
        let swap = |to: &str| Call::Write {
            when: vec![("a".into(), None)],
            then: vec![("a".into(), Some(to.into()))],
        };
        let two_winners = vec![
            op(1, 0, Some((9, ResponseValue::Done)), swap("x")),
            op(2, 0, Some((9, ResponseValue::Done)), swap("y")),
        ];
        for bad in [stale, lost, back_again, invented, two_winners] {
            assert!(matches!(check(&bad)[..], [Violation::NotLinearizable { .. }]), "{bad:?}");
        }
    }

    #[test]
    fn keys_that_are_read_together_are_judged_together() {
        let both = |x: &str, y: &str| {
            ResponseValue::Values([x, y].map(|v| (!v.is_empty()).then(|| v.to_string())).to_vec())
        };
        let pair = Call::Write {
            when: vec![],
            then: vec![("a".into(), Some("1".into())), ("b".into(), Some("1".into()))],
        };
        let reads = Call::Read(vec!["a".into(), "b".into()]);
        let good = [
            op(1, 0, Some((9, ResponseValue::Done)), pair.clone()),
            op(2, 1, Some((2, both("1", "1"))), reads.clone()),
        ];
        assert_eq!(check(&good), []);
        let torn =
            [op(1, 0, Some((9, ResponseValue::Done)), pair), op(2, 1, Some((2, both("1", ""))), reads)];
        assert!(!check(&torn).is_empty());
    }

    #[test]
    fn two_who_believe_at_one_time_are_found() {
        let h = |holder, from, until| Holding { what: "roll".into(), holder, from, until };
        assert_eq!(check_holdings(&[h(1, 0, 5), h(2, 5, 9), h(2, 7, 12), h(1, 12, 13)]), []);
        let found = check_holdings(&[h(1, 0, 6), h(2, 5, 9)]);
        assert_eq!(found, [Violation::HeldTwice(h(1, 0, 6), h(2, 5, 9))]);
    }
}
