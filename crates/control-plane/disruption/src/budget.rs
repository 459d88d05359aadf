//! Budgets: how many units of a group may be out at one time.
use crate::{ResourceId, ResourceKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Most budgets.
pub const MAX_BUDGETS: usize = 64;
/// Longest name of a budget or value of a label, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A label of a unit: what it is, and its value, such as `("zone", "a")`. A unit has several values of one label where it
/// is in several pools.
pub type Label = (String, String);

/// By which label units are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroupBy {
    /// All units of the kind are one group.
    Fleet,
    /// Those on one machine.
    Machine,
    /// Those in one zone.
    Zone,
    /// Those of one tier.
    Tier,
    /// Those in one pool.
    Pool,
}

impl GroupBy {
    /// The label's name.
    pub fn label(self) -> &'static str {
        match self {
            GroupBy::Fleet => "fleet",
            GroupBy::Machine => "machine",
            GroupBy::Zone => "zone",
            GroupBy::Tier => "tier",
            GroupBy::Pool => "pool",
        }
    }
}

/// One budget. It holds for each group by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisruptionBudget {
    /// What it is called; no other is.
    pub name: String,
    /// Which units.
    pub kind: ResourceKind,
    /// How they are grouped.
    #[serde(rename = "per")]
    pub group_by: GroupBy,
    /// Only the group with this value; `None`: each.
    #[serde(rename = "only", default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// So many may be out.
    #[serde(rename = "most", default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
    /// So many in a thousand may be out, rounded down. With `most`, the smaller counts.
    #[serde(rename = "per_mille", default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_per_mille: Option<u32>,
    /// So many have to stay in, whatever an operator overrides; drains are asked to return below it.
    #[serde(rename = "floor", default)]
    pub min_available: u32,
}

impl DisruptionBudget {
    /// Whether a unit with these labels is in one of its groups, and in which.
    pub fn groups<'a>(
        &'a self,
        kind: ResourceKind,
        labels: &'a BTreeSet<Label>,
    ) -> impl Iterator<Item = &'a str> {
        let whole = (self.group_by == GroupBy::Fleet && kind == self.kind).then_some("");
        let of = labels.iter().filter(move |(name, value)| {
            kind == self.kind
                && self.group_by != GroupBy::Fleet
                && name == self.group_by.label()
                && self.group.as_ref().is_none_or(|only| only == value)
        });
        whole.into_iter().chain(of.map(|(_, value)| value.as_str()))
    }

    /// How many of a group of this size may be out: by count, by share, and above the floor.
    pub fn limit(&self, size: u32) -> u32 {
        let share = self
            .max_unavailable_per_mille
            .map(|p| u32::try_from(u64::from(size) * u64::from(p) / 1000).unwrap_or(size));
        let most = [self.max_unavailable, share].into_iter().flatten().min().unwrap_or(size);
        most.min(size.saturating_sub(self.min_available))
    }

    /// What it allows, in words.
    pub fn summary(&self) -> String {
        let share = self.max_unavailable_per_mille.map(|p| match p % 10 {
            0 => format!("{} %", p / 10),
            tenth => format!("{}.{tenth} %", p / 10),
        });
        let parts = [self.max_unavailable.map(|m| m.to_string()), share].into_iter().flatten();
        let mut text = parts.collect::<Vec<_>>().join(" and ");
        if self.min_available > 0 {
            text += &format!(", {} in at least", self.min_available);
        }
        format!("{text} per {}", self.group_by.label())
    }
}

/// All budgets of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisruptionBudgets {
    /// In no order that matters: all have to hold.
    #[serde(rename = "all")]
    pub budgets: Vec<DisruptionBudget>,
}

impl DisruptionBudgets {
    /// Checks each by itself, and all together.
    ///
    /// # Errors
    /// Which budget, which field, and what is wrong.
    pub fn validate(&self) -> Result<(), (usize, &'static str, String)> {
        if self.budgets.len() > MAX_BUDGETS {
            return Err((MAX_BUDGETS, "name", format!("there are more than {MAX_BUDGETS} budgets")));
        }
        let mut names = BTreeSet::new();
        for (k, b) in self.budgets.iter().enumerate() {
            if b.name.is_empty() || b.name.len() > MAX_NAME_BYTES {
                return Err((k, "name", format!("is no name of 1 to {MAX_NAME_BYTES} bytes")));
            }
            if !names.insert(&b.name) {
                return Err((k, "name", format!("another budget is called {:?}", b.name)));
            }
            let fits = match b.kind {
                ResourceKind::Balancer => b.group_by != GroupBy::Pool,
                ResourceKind::Upstream => {
                    matches!(b.group_by, GroupBy::Fleet | GroupBy::Pool | GroupBy::Zone)
                }
            };
            if !fits {
                return Err((k, "per", format!("{}s have no {}", b.kind.as_str(), b.group_by.label())));
            }
            if b.group.is_some() && b.group_by == GroupBy::Fleet {
                return Err((k, "only", "the whole fleet is one group".into()));
            }
            if b.max_unavailable.is_none() && b.max_unavailable_per_mille.is_none() && b.min_available == 0 {
                return Err((k, "most", "neither most nor share nor floor is there".into()));
            }
            if b.max_unavailable_per_mille.is_some_and(|p| p > 1000) {
                return Err((k, "share", "is more than 100 %".into()));
            }
            if b.max_unavailable == Some(0) {
                return Err((k, "most", "is 0: nothing could ever be taken out".into()));
            }
            if b.max_unavailable_per_mille == Some(0) {
                return Err((k, "share", "is 0 %: nothing could ever be taken out".into()));
            }
        }
        Ok(())
    }

    /// Groups out of which nothing can ever be taken with these units, though no budget says so by itself: the budget, the
    /// group, its size, and why.
    pub fn unsatisfiable_groups<'a>(
        &self,
        units: impl Iterator<Item = (&'a ResourceId, &'a BTreeSet<Label>)> + Clone,
    ) -> Vec<(String, String, u32, String)> {
        let mut found = Vec::new();
        for b in &self.budgets {
            let mut sizes: std::collections::BTreeMap<&str, u32> = Default::default();
            for (id, labels) in units.clone() {
                for group in b.groups(id.kind, labels) {
                    *sizes.entry(group).or_default() += 1;
                }
            }
            for (group, size) in sizes {
                if b.limit(size) == 0 {
                    let why = if size <= b.min_available {
                        format!("its floor of {} is all of its {size}", b.min_available)
                    } else {
                        format!("{} of {size} is less than one", b.summary())
                    };
                    found.push((b.name.clone(), group.to_string(), size, why));
                }
            }
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn budget(most: Option<u32>, per_mille: Option<u32>, floor: u32) -> DisruptionBudget {
        DisruptionBudget {
            name: "b".into(),
            kind: ResourceKind::Balancer,
            group_by: GroupBy::Zone,
            group: None,
            max_unavailable: most,
            max_unavailable_per_mille: per_mille,
            min_available: floor,
        }
    }

    #[test]
    fn the_smaller_of_count_and_share_counts_and_the_floor_stays() {
        assert_eq!(budget(Some(3), Some(100), 0).limit(20), 2);
        assert_eq!(budget(Some(3), Some(500), 0).limit(20), 3);
        assert_eq!(budget(None, Some(333), 0).limit(9), 2, "rounded down");
        assert_eq!(budget(Some(5), None, 18).limit(20), 2);
        assert_eq!(budget(Some(5), None, 30).limit(20), 0);
        assert_eq!(budget(None, Some(1000), 0).limit(u32::MAX), u32::MAX);
    }

    #[test]
    fn what_can_never_be_kept_is_found() {
        let bad = |b: DisruptionBudget| DisruptionBudgets { budgets: vec![b] }.validate().expect_err("bad");
        assert_eq!(bad(budget(Some(0), None, 0)).1, "most");
        assert_eq!(bad(budget(None, Some(0), 0)).1, "share");
        assert_eq!(bad(budget(None, None, 0)).1, "most");
        assert_eq!(bad(DisruptionBudget { group_by: GroupBy::Pool, ..budget(Some(1), None, 0) }).1, "per");
        assert_eq!(
            bad(DisruptionBudget {
                group: Some("a".into()),
                group_by: GroupBy::Fleet,
                ..budget(Some(1), None, 0)
            })
            .1,
            "only"
        );
        let twice = DisruptionBudgets { budgets: vec![budget(Some(1), None, 0), budget(Some(2), None, 0)] };
        assert_eq!(twice.validate().expect_err("twice").0, 1);
        // One of one, and never out: each budget is good by itself.
        let all = DisruptionBudgets {
            budgets: vec![
                budget(Some(1), None, 0),
                DisruptionBudget { name: "c".into(), ..budget(None, None, 1) },
            ],
        };
        assert_eq!(all.validate(), Ok(()));
        let labels = BTreeSet::from([("zone".to_string(), "a".to_string())]);
        let id = ResourceId::balancer("n1");
        let found = all.unsatisfiable_groups([(&id, &labels)].into_iter());
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].3.contains("floor of 1 is all of its 1"), "{found:?}");
    }

    #[test]
    fn a_unit_is_in_a_group_for_each_of_its_pools() {
        let b = DisruptionBudget {
            kind: ResourceKind::Upstream,
            group_by: GroupBy::Pool,
            ..budget(Some(1), None, 0)
        };
        let of = |pool: &str| ("pool".to_string(), pool.to_string());
        let labels = BTreeSet::from([of("dues"), of("web"), ("zone".into(), "a".into())]);
        assert_eq!(b.groups(ResourceKind::Upstream, &labels).collect::<Vec<_>>(), ["dues", "web"]);
        assert_eq!(b.groups(ResourceKind::Balancer, &labels).count(), 0);
        let only = DisruptionBudget { group: Some("web".into()), ..b };
        assert_eq!(only.groups(ResourceKind::Upstream, &labels).collect::<Vec<_>>(), ["web"]);
    }
}
