//! File of disruption budgets and of the coordination service that stores them. `deploy/outages.example.toml` documents it.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::file::{read_config, ConfigFileError};
use crate::table_reader::TableReader;
use crate::values::{fault_at, read_text, ConfigError};
use disruption::budget::{DisruptionBudget, DisruptionBudgets, GroupBy, InvalidBudget, MAX_NAME_BYTES};
use disruption::ResourceKind;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// Table by which a file with budgets is recognized.
const BUDGET_TABLE: &str = "[[budget]]";
/// Maximum value of a count in a budget.
const MAX_COUNT: u32 = 1_000_000;
/// Values of `of`: kinds of resources.
const KINDS: [(&str, ResourceKind); 2] =
    [("balancer", ResourceKind::Balancer), ("upstream", ResourceKind::Upstream)];
/// Values of `per`: labels that resources are grouped by.
const GROUPS: [(&str, GroupBy); 5] = [
    ("fleet", GroupBy::Fleet),
    ("machine", GroupBy::Machine),
    ("zone", GroupBy::Zone),
    ("tier", GroupBy::Tier),
    ("pool", GroupBy::Pool),
];

/// Content of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct DisruptionConfig {
    /// Coordination service.
    pub coordination: CoordinationClientConfig,
    /// Budgets.
    pub budgets: DisruptionBudgets,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    council: RawClientConfig,
    #[serde(default)]
    budget: Vec<RawBudget>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBudget {
    name: Spanned<String>,
    of: Spanned<String>,
    per: Spanned<String>,
    only: Option<Spanned<String>>,
    most: Option<Spanned<i64>>,
    share: Option<Spanned<String>>,
    floor: Option<Spanned<i64>>,
}

impl RawBudget {
    fn resolve(&self, table: &TableReader<'_>) -> Result<DisruptionBudget, ConfigError> {
        let group = self.only.as_ref().map(|group| group_name(table, group)).transpose()?;
        Ok(DisruptionBudget {
            name: self.name.get_ref().clone(),
            kind: table.keyword("of", Some(self.of.clone()), &KINDS)?,
            group_by: table.keyword("per", Some(self.per.clone()), &GROUPS)?,
            group,
            max_unavailable: self.most.as_ref().map(|count| number(table, "most", count)).transpose()?,
            max_unavailable_per_mille: self
                .share
                .as_ref()
                .map(|share| table.share("share", share))
                .transpose()?,
            min_available: self.floor.as_ref().map_or(Ok(0), |count| number(table, "floor", count))?,
        })
    }

    /// Byte offset of a field's value, or of the name if the field is absent.
    fn offset(&self, field: &str) -> usize {
        let offset = match field {
            "per" => Some(self.per.span().start),
            "only" => self.only.as_ref().map(|value| value.span().start),
            "most" => self.most.as_ref().map(|value| value.span().start),
            "share" => self.share.as_ref().map(|value| value.span().start),
            _ => None,
        };
        offset.unwrap_or(self.name.span().start)
    }
}

fn group_name(table: &TableReader<'_>, value: &Spanned<String>) -> Result<String, ConfigError> {
    let name = value.get_ref();
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        let message = format!("is not a name of 1 to {MAX_NAME_BYTES} bytes");
        return Err(table.error(value.span().start, "only", message));
    }
    Ok(name.clone())
}

fn number(table: &TableReader<'_>, key: &str, value: &Spanned<i64>) -> Result<u32, ConfigError> {
    let number = u32::try_from(*value.get_ref()).ok().filter(|&number| number <= MAX_COUNT);
    number.ok_or_else(|| table.error(value.span().start, key, format!("is not between 0 and {MAX_COUNT}")))
}

/// Error with the position of an invalid budget in the file.
fn locate(text: &str, budgets: &[RawBudget], invalid: &InvalidBudget) -> ConfigError {
    let field = invalid.fault.field();
    let offset = budgets.get(invalid.index).map_or(0, |budget| budget.offset(field));
    fault_at(text, offset, &format!("budget[{}].{field}", invalid.index), invalid.fault.to_string())
}

/// Parses the text of a file.
///
/// # Errors
/// The first fault, with its position.
pub fn parse(bytes: &[u8]) -> Result<DisruptionConfig, ConfigError> {
    let (text, raw) = read_text::<RawConfig>(bytes)?;
    let coordination = raw.council.resolve(text)?;
    let resolve = |(index, budget): (usize, &RawBudget)| {
        budget.resolve(&TableReader { text, path: format!("budget[{index}]") })
    };
    let budgets: Result<Vec<DisruptionBudget>, ConfigError> =
        raw.budget.iter().enumerate().map(resolve).collect();
    let budgets = DisruptionBudgets { budgets: budgets? };
    budgets.validate().map_err(|invalid| locate(text, &raw.budget, &invalid))?;
    Ok(DisruptionConfig { coordination, budgets })
}

/// Reads a file.
///
/// # Errors
/// One line: the path, line and column if known, the field, and the fault.
pub fn read(path: &Path) -> Result<DisruptionConfig, ConfigFileError> {
    read_config(path, parse)
}

/// Whether a TOML file contains disruption budgets.
pub fn is_disruption_file(path: &Path) -> bool {
    crate::operator::has_table(path, BUDGET_TABLE)
}
