//! The file of agreed outages: budgets, and the council that they are agreed in. `deploy/outages.example.toml` documents it.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::values::{fault_at, read_text, ConfigError};
use disruption::budget::{DisruptionBudget, DisruptionBudgets, GroupBy, MAX_NAME_BYTES};
use disruption::ResourceKind;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// All that the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct DisruptionConfig {
    /// Where it is agreed on.
    pub coordination: CoordinationClientConfig,
    /// What may be out.
    pub budgets: DisruptionBudgets,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
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

fn word<T: Copy>(
    text: &str,
    field: &str,
    given: &Spanned<String>,
    all: &[(&str, T)],
) -> Result<T, ConfigError> {
    let found = all.iter().find(|(name, _)| name == given.get_ref()).map(|&(_, value)| value);
    let names: Vec<&str> = all.iter().map(|&(name, _)| name).collect();
    let what = format!("{:?} is none of {}", given.get_ref(), names.join(", "));
    found.ok_or_else(|| fault_at(text, given.span().start, field, what))
}

fn count(text: &str, field: &str, given: &Spanned<i64>) -> Result<u32, ConfigError> {
    let value = u32::try_from(*given.get_ref()).ok().filter(|&n| n <= 1_000_000);
    value.ok_or_else(|| fault_at(text, given.span().start, field, "is not between 0 and 1000000".into()))
}

/// A percentage with at most one digit behind the point, in thousandths.
pub(crate) fn share(text: &str, field: &str, given: &Spanned<String>) -> Result<u32, ConfigError> {
    let fault = || {
        let what = format!(
            "{:?} is no percentage between 0 % and 100 %, such as \"10 %\" or \"2.5 %\"",
            given.get_ref()
        );
        fault_at(text, given.span().start, field, what)
    };
    let number = given.get_ref().strip_suffix('%').map(str::trim).ok_or_else(fault)?;
    let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
    let digits = |s: &str, most: usize| {
        let good = !s.is_empty() && s.len() <= most && s.bytes().all(|b| b.is_ascii_digit());
        good.then(|| s.parse::<u32>().ok()).flatten()
    };
    let value = digits(whole, 3).zip(digits(tenth, 1)).map(|(w, t)| w * 10 + t);
    value.filter(|&v| v <= 1000).ok_or_else(fault)
}

/// Reads the text of a file.
///
/// # Errors
/// The first fault, with its place.
pub fn parse(bytes: &[u8]) -> Result<DisruptionConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let council = raw.council.resolve(text)?;
    let mut all = Vec::new();
    let mut places = Vec::new();
    for (k, b) in raw.budget.into_iter().enumerate() {
        let field = |name: &str| format!("budget[{k}].{name}");
        let kinds = [("balancer", ResourceKind::Balancer), ("upstream", ResourceKind::Upstream)];
        let groups = [
            ("fleet", GroupBy::Fleet),
            ("machine", GroupBy::Machine),
            ("zone", GroupBy::Zone),
            ("tier", GroupBy::Tier),
            ("pool", GroupBy::Pool),
        ];
        if let Some(only) =
            b.only.as_ref().filter(|o| o.get_ref().is_empty() || o.get_ref().len() > MAX_NAME_BYTES)
        {
            let what = format!("is no name of 1 to {MAX_NAME_BYTES} bytes");
            return Err(fault_at(text, only.span().start, &field("only"), what));
        }
        all.push(DisruptionBudget {
            name: b.name.get_ref().clone(),
            kind: word(text, &field("of"), &b.of, &kinds)?,
            group_by: word(text, &field("per"), &b.per, &groups)?,
            group: b.only.as_ref().map(|o| o.get_ref().clone()),
            max_unavailable: b.most.as_ref().map(|m| count(text, &field("most"), m)).transpose()?,
            max_unavailable_per_mille: b
                .share
                .as_ref()
                .map(|s| share(text, &field("share"), s))
                .transpose()?,
            min_available: b.floor.as_ref().map_or(Ok(0), |f| count(text, &field("floor"), f))?,
        });
        let at = |span: Option<std::ops::Range<usize>>| span.map_or(b.name.span().start, |s| s.start);
        places.push([
            ("name", b.name.span().start),
            ("per", b.per.span().start),
            ("only", at(b.only.as_ref().map(Spanned::span))),
            ("most", at(b.most.as_ref().map(Spanned::span))),
            ("share", at(b.share.as_ref().map(Spanned::span))),
        ]);
    }
    let budgets = DisruptionBudgets { budgets: all };
    if let Err(invalid) = budgets.validate() {
        let field = invalid.fault.field();
        let offsets = places.get(invalid.index);
        let offset = offsets.and_then(|p| p.iter().find(|(n, _)| *n == field)).map_or(0, |&(_, at)| at);
        let name = format!("budget[{}].{field}", invalid.index);
        return Err(fault_at(text, offset, &name, invalid.fault.to_string()));
    }
    Ok(DisruptionConfig { coordination: council, budgets })
}

/// Reads such a file.
///
/// # Errors
/// One line: the file's path, then line and column where there are any, the field, and what is wrong.
pub fn read(path: &Path) -> Result<DisruptionConfig, String> {
    crate::operator::read_with(path, parse)
}

/// Whether a TOML file is of outages, by its tables.
pub fn is_disruption_file(path: &Path) -> bool {
    let bytes = crate::operator::read_whole(path, crate::operator::MAX_FILE_BYTES).unwrap_or_default();
    String::from_utf8_lossy(&bytes).lines().any(|line| line.trim() == "[[budget]]")
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str =
        "[council]\nvoters = [\"127.0.0.1:7801\"]\n[[budget]]\nname = \"all\"\nof = \"balancer\"\n\
        per = \"fleet\"\nmost = 3\nshare = \"2.5 %\"\nfloor = 2\n";

    #[test]
    fn a_whole_file_is_read() {
        let b = &parse(GOOD.as_bytes()).expect("good").budgets.budgets[0];
        assert_eq!((b.max_unavailable, b.max_unavailable_per_mille, b.min_available), (Some(3), Some(25), 2));
    }

    #[test]
    fn what_is_wrong_is_named_with_its_place() {
        for (from, to, wanted) in [
            ("most = 3", "most = -1", "7:8: budget[0].most: "),
            ("most = 3", "most = 0", "7:8: budget[0].most: is 0"),
            ("2.5 %", "2.55 %", "8:9: budget[0].share: "),
            ("2.5 %", "100.1 %", "8:9: budget[0].share: "),
            ("2.5 %", "3", "8:9: budget[0].share: "),
            ("\"fleet\"", "\"pool\"", "6:7: budget[0].per: "),
            ("\"balancer\"", "\"x\"", "5:6: budget[0].of: "),
            ("most = 3", "odd = 3", "7:1: "),
            ("127.0.0.1:7801", "x", "2:11: council.voters: "),
        ] {
            let error = parse(GOOD.replace(from, to).as_bytes()).expect_err(to).to_string();
            assert!(error.contains(wanted), "{to:?}: {error}");
        }
    }

    #[test]
    fn the_example_is_good() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/outages.example.toml");
        let all = read(&path).expect("good");
        assert!(all.budgets.budgets.len() >= 4 && is_disruption_file(&path));
    }
}
