//! Disruption budgets: limits on the number of unavailable resources of a group.
use crate::{ResourceId, ResourceKind};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Maximum number of budgets.
pub const MAX_BUDGETS: usize = 64;
/// Maximum length of a budget's name and of a label's value, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Number of thousandths in 100 %.
const PER_MILLE: u32 = 1000;

/// A label of a resource. A resource can have several values of one label, such as the pools of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Label {
    /// Name, such as `zone`.
    pub name: String,
    /// Value, such as `a`.
    pub value: String,
}

impl Label {
    /// Creates a label.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Label {
        Label { name: name.into(), value: value.into() }
    }
}

/// Label by whose value resources are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroupBy {
    /// All resources of the kind form one group.
    Fleet,
    /// One group for each machine.
    Machine,
    /// One group for each zone.
    Zone,
    /// One group for each tier.
    Tier,
    /// One group for each pool.
    Pool,
}

impl GroupBy {
    /// Name of the label.
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

/// Limit on the unavailable resources of each group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisruptionBudget {
    /// Unique name.
    pub name: String,
    /// Kind of the resources.
    pub kind: ResourceKind,
    /// Label that the resources are grouped by.
    #[serde(rename = "per")]
    pub group_by: GroupBy,
    /// Restricts the budget to the group with this label value; `None` for all groups.
    #[serde(rename = "only", default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// Maximum number of unavailable resources in a group; `None` for no limit.
    #[serde(rename = "most", default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
    /// Maximum unavailable share of a group in thousandths, rounded down to whole resources; `None` for no limit. If both
    /// maxima are set, the smaller one applies.
    #[serde(rename = "per_mille", default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_per_mille: Option<u32>,
    /// Minimum number of available resources in a group. Holds even if an operator overrides the budget, and drains are
    /// recalled below it.
    #[serde(rename = "floor", default)]
    pub min_available: u32,
}

impl DisruptionBudget {
    /// Groups of this budget that a resource with these labels belongs to. The group of [`GroupBy::Fleet`] is `""`.
    pub fn groups<'a>(
        &'a self,
        kind: ResourceKind,
        labels: &'a BTreeSet<Label>,
    ) -> impl Iterator<Item = &'a str> {
        let applies = kind == self.kind;
        let whole_fleet = (applies && self.group_by == GroupBy::Fleet).then_some("");
        let labelled = labels.iter().filter(move |label| {
            applies
                && self.group_by != GroupBy::Fleet
                && label.name == self.group_by.label()
                && self.group.as_ref().is_none_or(|group| *group == label.value)
        });
        whole_fleet.into_iter().chain(labelled.map(|label| label.value.as_str()))
    }

    /// Maximum number of unavailable resources in a group of `size` resources, from both maxima and the minimum.
    pub fn limit(&self, size: u32) -> u32 {
        let share = self.max_unavailable_per_mille.map(|per_mille| {
            let share = u64::from(size) * u64::from(per_mille) / u64::from(PER_MILLE);
            u32::try_from(share).unwrap_or(size)
        });
        let max_unavailable = [self.max_unavailable, share].into_iter().flatten().min().unwrap_or(size);
        max_unavailable.min(size.saturating_sub(self.min_available))
    }

    /// Summary for operators, such as `3 and 2.5 %, 2 in at least per zone`.
    pub fn summary(&self) -> String {
        let share = self.max_unavailable_per_mille.map(|per_mille| match per_mille % 10 {
            0 => format!("{} %", per_mille / 10),
            tenth => format!("{}.{tenth} %", per_mille / 10),
        });
        let count = self.max_unavailable.map(|count| count.to_string());
        let mut text = [count, share].into_iter().flatten().collect::<Vec<_>>().join(" and ");
        if self.min_available > 0 {
            text += &format!(", {} in at least", self.min_available);
        }
        format!("{text} per {}", self.group_by.label())
    }

    /// Checks the budget by itself.
    fn validate(&self) -> Result<(), BudgetFault> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(BudgetFault::InvalidName);
        }
        let has_label = match self.kind {
            ResourceKind::Balancer => self.group_by != GroupBy::Pool,
            ResourceKind::Upstream => {
                matches!(self.group_by, GroupBy::Fleet | GroupBy::Pool | GroupBy::Zone)
            }
        };
        if !has_label {
            return Err(BudgetFault::NoSuchLabel { kind: self.kind, group_by: self.group_by });
        }
        if self.group.is_some() && self.group_by == GroupBy::Fleet {
            return Err(BudgetFault::GroupOfWholeFleet);
        }
        if self.max_unavailable.is_none()
            && self.max_unavailable_per_mille.is_none()
            && self.min_available == 0
        {
            return Err(BudgetFault::NoLimit);
        }
        if self.max_unavailable_per_mille.is_some_and(|per_mille| per_mille > PER_MILLE) {
            return Err(BudgetFault::ShareAboveWhole);
        }
        if self.max_unavailable == Some(0) {
            return Err(BudgetFault::ZeroCount);
        }
        if self.max_unavailable_per_mille == Some(0) {
            return Err(BudgetFault::ZeroShare);
        }
        Ok(())
    }
}

/// Fault of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BudgetFault {
    /// There are more than [`MAX_BUDGETS`] budgets.
    #[error("there are more than {MAX_BUDGETS} budgets")]
    TooMany,
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    #[error("is not a name of 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// Another budget has the name.
    #[error("another budget has the name {0:?}")]
    DuplicateName(String),
    /// Resources of the kind do not have the label.
    #[error("{}s have no label {}", .kind.as_str(), .group_by.label())]
    NoSuchLabel {
        /// Kind of the resources.
        kind: ResourceKind,
        /// Label that they are to be grouped by.
        group_by: GroupBy,
    },
    /// A group is selected although all resources form one group.
    #[error("a group can't be selected, because the whole fleet is one group")]
    GroupOfWholeFleet,
    /// No limit is set.
    #[error("none of most, share and floor is set")]
    NoLimit,
    /// The share exceeds the whole group.
    #[error("is more than 100 %")]
    ShareAboveWhole,
    /// The maximum count is 0.
    #[error("is 0: no resource could ever be taken out of service")]
    ZeroCount,
    /// The maximum share is 0.
    #[error("is 0 %: no resource could ever be taken out of service")]
    ZeroShare,
}

impl BudgetFault {
    /// Name of the faulty field in the operator's budgets file.
    pub fn field(&self) -> &'static str {
        match self {
            BudgetFault::TooMany | BudgetFault::InvalidName | BudgetFault::DuplicateName(_) => "name",
            BudgetFault::NoSuchLabel { .. } => "per",
            BudgetFault::GroupOfWholeFleet => "only",
            BudgetFault::NoLimit | BudgetFault::ZeroCount => "most",
            BudgetFault::ShareAboveWhole | BudgetFault::ZeroShare => "share",
        }
    }
}

/// Error of [`DisruptionBudgets::validate`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("budget[{index}].{}: {fault}", .fault.field())]
pub struct InvalidBudget {
    /// Position of the faulty budget.
    pub index: usize,
    /// Fault of the budget.
    pub fault: BudgetFault,
}

/// A group in which no resource can ever be made unavailable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsatisfiableGroup {
    /// Name of the budget.
    pub budget: String,
    /// Group; empty for the whole fleet.
    pub group: String,
    /// Number of resources in the group.
    pub size: u32,
    /// Reason, for operators.
    pub reason: String,
}

/// All budgets of a fleet. Every one of them must hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisruptionBudgets {
    /// Budgets; their order has no meaning.
    #[serde(rename = "all")]
    pub budgets: Vec<DisruptionBudget>,
}

impl DisruptionBudgets {
    /// Checks each budget by itself and that their names are unique.
    ///
    /// # Errors
    /// The first faulty budget.
    pub fn validate(&self) -> Result<(), InvalidBudget> {
        if self.budgets.len() > MAX_BUDGETS {
            return Err(InvalidBudget { index: MAX_BUDGETS, fault: BudgetFault::TooMany });
        }
        let mut names = BTreeSet::new();
        for (index, budget) in self.budgets.iter().enumerate() {
            let invalid = |fault| InvalidBudget { index, fault };
            let is_named = !budget.name.is_empty() && budget.name.len() <= MAX_NAME_BYTES;
            if is_named && !names.insert(&budget.name) {
                return Err(invalid(BudgetFault::DuplicateName(budget.name.clone())));
            }
            budget.validate().map_err(invalid)?;
        }
        Ok(())
    }

    /// Groups of these resources in which no resource can ever be made unavailable, although each budget is valid by itself.
    pub fn unsatisfiable_groups<'a>(
        &self,
        resources: impl Iterator<Item = (&'a ResourceId, &'a BTreeSet<Label>)> + Clone,
    ) -> Vec<UnsatisfiableGroup> {
        let mut found = Vec::new();
        for budget in &self.budgets {
            let mut sizes: BTreeMap<&str, u32> = BTreeMap::new();
            for (resource, labels) in resources.clone() {
                for group in budget.groups(resource.kind, labels) {
                    *sizes.entry(group).or_default() += 1;
                }
            }
            for (group, size) in sizes {
                if budget.limit(size) > 0 {
                    continue;
                }
                let reason = if size <= budget.min_available {
                    format!("its floor of {} is all of its {size}", budget.min_available)
                } else {
                    format!("{} of {size} is less than one", budget.summary())
                };
                found.push(UnsatisfiableGroup {
                    budget: budget.name.clone(),
                    group: group.to_string(),
                    size,
                    reason,
                });
            }
        }
        found
    }
}
