//! What must hold, judged by what really serves and not by the record's books.
use disruption::budget::{DisruptionBudgets, Label};
use disruption::ResourceKind;
use fleet_simulation::agenda::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// How a unit really stands.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// What it is grouped by.
    pub labels: BTreeSet<Label>,
    /// Since when it does not serve.
    pub out: Option<Nanos>,
    /// Whether that is since it was taken out by leave.
    pub by_act: bool,
}

/// Leave is given for these units now. What is too much, in words: with them more are out than a budget allows. What a fault
/// took out less than `unheard` ago nobody can know of yet.
pub fn given(
    now: Nanos,
    budgets: &DisruptionBudgets,
    units: &BTreeMap<String, Truth>,
    leaves: &BTreeSet<String>,
    new: &BTreeSet<String>,
    unheard: Nanos,
) -> Vec<String> {
    let known = |t: &Truth| t.out.is_some_and(|since| t.by_act || now.saturating_sub(since) > unheard);
    let taken: BTreeSet<&String> =
        units.iter().filter(|(name, t)| known(t) || leaves.contains(*name)).map(|(name, _)| name).collect();
    let mut wrong = Vec::new();
    for budget in &budgets.budgets {
        let mut groups: BTreeMap<&str, (u32, Vec<&String>, bool)> = BTreeMap::new();
        for (name, truth) in units {
            for group in budget.groups(ResourceKind::Balancer, &truth.labels) {
                let (size, out, adds) = groups.entry(group).or_default();
                *size += 1;
                if taken.contains(name) || new.contains(name) {
                    out.push(name);
                }
                // What is out already is not taken out by leave for it.
                *adds |= new.contains(name) && truth.out.is_none();
            }
        }
        for (group, (size, out, adds)) in groups {
            let limit = budget.limit(size);
            if adds && out.len() > limit as usize {
                wrong.push(format!(
                    "budget {} of {group:?}: {} out of {size}, {limit} may be: {out:?}, given {new:?}",
                    budget.name,
                    out.len()
                ));
            }
        }
    }
    wrong
}
