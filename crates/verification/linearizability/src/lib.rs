//! Checks histories of a replicated key-value store, as its clients observed them, for linearizability and exclusive holdings.
//! It knows nothing of the store's implementation.
//!
//! **Linearizability** (Herlihy and Wing, 1990): there is an order of all operations, each between its call and its response,
//! in which a single copy of the store would have given the same responses. An operation with an unknown outcome may have taken
//! effect at any time after its call, or never. The search is that of Wing and Gong (1993) with the memoization of Lowe (2017);
//! keys that are never used together are checked apart.
//!
//! **Exclusive holdings**: no two holders believe at the same time to hold the same thing.
//!
//! | module | contents |
//! | --- | --- |
//! | `partition` | grouping operations by keys that are used together |
//! | `search` | the search for an order |
mod partition;
mod search;

use std::collections::BTreeMap;
use std::fmt;

/// What was called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads these keys at one time.
    Read(Vec<String>),
    /// Writes `then` if `when` holds, all or nothing.
    Write {
        /// Keys and the values that they must have; `None` for a key that must not exist.
        when: Vec<(String, Option<String>)>,
        /// Keys and the values that they get; `None` for a key that is deleted.
        then: Vec<(String, Option<String>)>,
    },
}

impl Call {
    /// The keys that the call reads, compares or writes.
    fn keys(&self) -> impl Iterator<Item = &String> {
        let (read, written) = match self {
            Call::Read(keys) => (Some(keys.iter()), None),
            Call::Write { when, then } => (None, Some(when.iter().chain(then).map(|(key, _)| key))),
        };
        read.into_iter().flatten().chain(written.into_iter().flatten())
    }
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseValue {
    /// The values that were read, in the order of the keys; `None` for a key that does not exist.
    Values(Vec<Option<String>>),
    /// The write was applied.
    Done,
    /// The write was not applied, because a condition did not hold.
    Differs,
}

/// One operation. All times are of one clock, in any unit; an operation that ends when another starts precedes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The client.
    pub client: u64,
    /// Time of the call.
    pub start: u64,
    /// Time and value of the response; `None` if the outcome is unknown.
    pub end: Option<(u64, ResponseValue)>,
    /// The call.
    pub call: Call,
}

/// A time in which a holder believed to hold something exclusively.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// What was held.
    pub what: String,
    /// The holder: a session.
    pub holder: u64,
    /// Start of the time.
    pub from: u64,
    /// End of the time, exclusive.
    pub until: u64,
}

/// What is wrong with a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No order explains the responses for these keys.
    NotLinearizable {
        /// The keys.
        keys: Vec<String>,
        /// The first operation that the longest explanation can't include.
        at: Box<Operation>,
    },
    /// Two holders held the same thing at the same time.
    HeldTwice(Holding, Holding),
    /// The search was given up, because too many orders are possible.
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

/// Checks operations for linearizability; returns all violations.
pub fn check(operations: &[Operation]) -> Vec<Violation> {
    partition::by_keys(operations).iter().filter_map(search::check_partition).collect()
}

/// Checks that holdings are exclusive; returns all pairs that overlap.
pub fn check_holdings(holdings: &[Holding]) -> Vec<Violation> {
    let mut by_thing: BTreeMap<&str, Vec<&Holding>> = BTreeMap::new();
    for holding in holdings {
        by_thing.entry(&holding.what).or_default().push(holding);
    }
    let mut violations = Vec::new();
    for mut sorted in by_thing.into_values() {
        sorted.sort_by_key(|holding| holding.from);
        for (index, first) in sorted.iter().enumerate() {
            let later = sorted[index + 1..].iter().take_while(|second| second.from < first.until);
            let overlapping =
                later.filter(|second| second.holder != first.holder && second.until > second.from);
            violations
                .extend(overlapping.map(|second| Violation::HeldTwice((*first).clone(), (*second).clone())));
        }
    }
    violations
}
