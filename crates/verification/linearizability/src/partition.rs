//! Partitions a history into groups of operations whose keys are used together.
use crate::Operation;
use std::collections::BTreeMap;

/// Operations on a set of keys that no other operation uses.
#[derive(Default)]
pub(crate) struct Partition {
    /// The keys, in order.
    pub keys: Vec<String>,
    pub operations: Vec<Operation>,
}

/// A union-find structure over groups of keys.
#[derive(Default)]
struct Groups<'a> {
    group_of_key: BTreeMap<&'a str, usize>,
    /// Parent of each group; a root is its own parent.
    parents: Vec<usize>,
}

impl<'a> Groups<'a> {
    fn root(&self, mut group: usize) -> usize {
        while self.parents[group] != group {
            group = self.parents[group];
        }
        group
    }

    /// The root of a key's group, which is created if the key is new.
    fn root_of_key(&mut self, key: &'a str) -> usize {
        let parents = &mut self.parents;
        let group = *self.group_of_key.entry(key).or_insert_with(|| {
            parents.push(parents.len());
            parents.len() - 1
        });
        self.root(group)
    }

    /// Merges the groups of all keys of an operation.
    fn merge_keys(&mut self, operation: &'a Operation) {
        let mut first = None;
        for key in operation.call.keys() {
            let root = self.root_of_key(key);
            match first {
                None => first = Some(root),
                Some(first) => self.parents[root] = self.root(first),
            }
        }
    }
}

/// Partitions operations by the keys that are used together.
pub(crate) fn by_keys(operations: &[Operation]) -> Vec<Partition> {
    let mut groups = Groups::default();
    for operation in operations {
        groups.merge_keys(operation);
    }
    let mut partitions: BTreeMap<usize, Partition> = BTreeMap::new();
    for (key, &group) in &groups.group_of_key {
        partitions.entry(groups.root(group)).or_default().keys.push((*key).to_string());
    }
    for operation in operations {
        // An operation without keys constrains nothing.
        if let Some(key) = operation.call.keys().next() {
            let root = groups.root(groups.group_of_key[key.as_str()]);
            partitions.entry(root).or_default().operations.push(operation.clone());
        }
    }
    partitions.into_values().collect()
}
