//! Checks of a transaction that do not depend on the state.
use super::{Compare, Op, Rejection, Transaction};
use crate::limits::Limits;
use std::collections::BTreeSet;

/// Reason for which a transaction is rejected regardless of the state; `None` if it is valid.
pub(super) fn validate(limits: &Limits, transaction: &Transaction) -> Option<Rejection> {
    let Transaction { compares, ops, .. } = transaction;
    if (compares.len() + ops.len()) as u64 > limits.parts {
        return Some(Rejection::limit("conditions and changes of a write", limits.parts));
    }
    validate_ops(limits, ops).or_else(|| {
        let too_long = compares.iter().filter_map(compared_key).any(|key| key.len() as u64 > limits.key);
        too_long.then(|| Rejection::limit("bytes of a key", limits.key))
    })
}

fn validate_ops(limits: &Limits, ops: &[Op]) -> Option<Rejection> {
    let mut keys = BTreeSet::new();
    let mut bytes = 0;
    for op in ops {
        let key = op.key();
        if key.is_empty() || key.len() as u64 > limits.key {
            return Some(Rejection::limit("bytes of a key", limits.key));
        }
        if !keys.insert(key) {
            return Some(Rejection::Invalid(format!("{key} is changed twice in one write")));
        }
        if let Op::Put { value, .. } = op {
            if value.len() as u64 > limits.value {
                return Some(Rejection::limit("bytes of a value", limits.value));
            }
            bytes += value.len() as u64;
        }
    }
    (bytes > limits.write).then(|| Rejection::limit("bytes of a write's values", limits.write))
}

fn compared_key(compare: &Compare) -> Option<&String> {
    match compare {
        Compare::Absent(key) | Compare::Exists(key) | Compare::Version(key, _) => Some(key),
        Compare::SessionAlive(_) | Compare::SessionEnded(_) => None,
    }
}
