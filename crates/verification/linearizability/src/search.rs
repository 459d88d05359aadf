//! The search for an order of operations that explains their responses.
use crate::partition::Partition;
use crate::{Call, Operation, ResponseValue, Violation};
use std::collections::{BTreeMap, HashSet};

/// Configurations that are visited for one partition before the search is given up.
const MAX_CONFIGURATIONS: usize = 4_000_000;
/// Operations in one word of [`Configuration::applied`].
const WORD_BITS: usize = 64;

/// Number of a value; 0 stands for a key that does not exist.
type ValueId = u32;

/// A key, by position, and a value.
#[derive(Clone, Copy, Debug)]
struct KeyValue {
    key: usize,
    value: ValueId,
}

/// An operation in the form that the search uses.
struct IndexedOperation {
    /// Position in the partition.
    position: usize,
    start: u64,
    /// `u64::MAX` if the outcome is unknown.
    end: u64,
    is_known: bool,
    /// What must hold for the operation to take effect, or to give its response.
    reads: Vec<KeyValue>,
    /// Whether at least one of `reads` must not hold instead.
    must_differ: bool,
    writes: Vec<KeyValue>,
}

/// A state of the search: the operations that have taken effect, and the values of the keys after them.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Configuration {
    /// A bit for each operation.
    applied: Vec<u64>,
    values: Vec<ValueId>,
}

impl Configuration {
    fn is_applied(&self, operation: usize) -> bool {
        self.applied[operation / WORD_BITS] >> (operation % WORD_BITS) & 1 == 1
    }

    fn after(&self, index: usize, operation: &IndexedOperation) -> Configuration {
        let mut next = self.clone();
        next.applied[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        for write in &operation.writes {
            next.values[write.key] = write.value;
        }
        next
    }

    /// Whether the operation can take effect now with its response.
    fn allows(&self, operation: &IndexedOperation) -> bool {
        let holds = operation.reads.iter().all(|read| self.values[read.key] == read.value);
        holds != operation.must_differ
    }
}

/// Result of indexing an operation.
enum Indexed {
    Operation(IndexedOperation),
    /// The operation constrains nothing.
    Unconstrained,
    /// The response does not belong to the call.
    MismatchedResponse,
}

/// Numbers the values of a partition.
struct Indexer<'a> {
    keys: &'a [String],
    values: BTreeMap<String, ValueId>,
}

impl Indexer<'_> {
    fn key_value(&mut self, key: &String, value: &Option<String>) -> KeyValue {
        let next = self.values.len() as ValueId + 1;
        let value = match value {
            None => 0,
            Some(text) => *self.values.entry(text.clone()).or_insert(next),
        };
        KeyValue { key: self.keys.binary_search(key).unwrap_or(0), value }
    }

    fn key_values(&mut self, pairs: &[(String, Option<String>)]) -> Vec<KeyValue> {
        pairs.iter().map(|(key, value)| self.key_value(key, value)).collect()
    }

    fn index(&mut self, position: usize, operation: &Operation) -> Indexed {
        let mut indexed = IndexedOperation {
            position,
            start: operation.start,
            end: operation.end.as_ref().map_or(u64::MAX, |(end, _)| *end),
            is_known: operation.end.is_some(),
            reads: Vec::new(),
            must_differ: false,
            writes: Vec::new(),
        };
        match (&operation.call, operation.end.as_ref().map(|(_, response)| response)) {
            (Call::Read(keys), Some(ResponseValue::Values(values))) => {
                indexed.reads = keys.iter().zip(values).map(|(key, v)| self.key_value(key, v)).collect();
            }
            // A read with an unknown response constrains nothing.
            (Call::Read(_), None) => return Indexed::Unconstrained,
            (Call::Read(_), Some(_)) => return Indexed::MismatchedResponse,
            (Call::Write { when, .. }, Some(ResponseValue::Differs)) => {
                indexed.reads = self.key_values(when);
                indexed.must_differ = true;
            }
            (Call::Write { when, then }, _) => {
                indexed.reads = self.key_values(when);
                indexed.writes = self.key_values(then);
            }
        }
        Indexed::Operation(indexed)
    }
}

/// Checks the operations of a partition; returns the violation, if any.
pub(crate) fn check_partition(partition: &Partition) -> Option<Violation> {
    let Partition { keys, operations } = partition;
    let not_linearizable = |position: usize| Violation::NotLinearizable {
        keys: keys.clone(),
        at: Box::new(operations[position].clone()),
    };
    let mut indexer = Indexer { keys, values: BTreeMap::new() };
    let mut indexed = Vec::new();
    for (position, operation) in operations.iter().enumerate() {
        match indexer.index(position, operation) {
            Indexed::Operation(operation) => indexed.push(operation),
            Indexed::Unconstrained => {}
            Indexed::MismatchedResponse => return Some(not_linearizable(position)),
        }
    }
    indexed.sort_by_key(|operation| operation.start);
    match find_order(&indexed, keys.len()) {
        SearchResult::Linearizable => None,
        SearchResult::StuckAt(index) => Some(not_linearizable(indexed[index].position)),
        SearchResult::GivenUp => Some(Violation::Undecided { keys: keys.clone() }),
    }
}

enum SearchResult {
    Linearizable,
    /// The longest explanation can't include the operation at this index.
    StuckAt(usize),
    GivenUp,
}

/// Searches for an order of operations, which are sorted by start.
fn find_order(operations: &[IndexedOperation], keys: usize) -> SearchResult {
    let known = operations.iter().filter(|operation| operation.is_known).count();
    let applied = vec![0; operations.len().div_ceil(WORD_BITS)];
    let initial = Configuration { applied, values: vec![0; keys] };
    let mut visited = HashSet::from([initial.clone()]);
    // Configurations to visit, with the number of known operations that have taken effect.
    let mut pending = vec![(initial, 0)];
    let (mut longest, mut stuck_at) = (0, 0);
    while let Some((configuration, explained)) = pending.pop() {
        if explained == known {
            return SearchResult::Linearizable;
        }
        if visited.len() > MAX_CONFIGURATIONS {
            return SearchResult::GivenUp;
        }
        let remaining = || {
            let all = operations.iter().enumerate();
            all.filter(|(index, _)| !configuration.is_applied(*index))
        };
        let known_remaining = remaining().filter(|(_, operation)| operation.is_known);
        let Some((first_index, first)) = known_remaining.min_by_key(|(_, operation)| operation.end) else {
            return SearchResult::Linearizable;
        };
        if explained >= longest {
            (longest, stuck_at) = (explained, first_index);
        }
        // Only what started before the first remaining response may come next.
        for (index, operation) in remaining().take_while(|(_, operation)| operation.start < first.end) {
            if !configuration.allows(operation) {
                continue;
            }
            let next = configuration.after(index, operation);
            if visited.insert(next.clone()) {
                pending.push((next, explained + usize::from(operation.is_known)));
            }
        }
    }
    SearchResult::StuckAt(stuck_at)
}
