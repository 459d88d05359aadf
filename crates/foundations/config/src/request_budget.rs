//! The table `[budget]` of the operator's file: what a request may still use on its way through the tiers.
use crate::values::{fault_at, path_value, ConfigError};
use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// The most repeats that can be allowed for one request.
const MAX_RETRIES: i64 = 100;
/// And the most hops.
const MAX_HOPS: i64 = 64;
/// Longest name of a pool.
const MAX_POOL_BYTES: usize = 128;
/// Longest name of a field.
const MAX_FIELD_BYTES: usize = 64;

/// Budgets across tiers.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetTable {
    /// What this tier's instances are called together; none: budgets are neither read nor written.
    pub pool: Option<String>,
    /// The file with the secret that the pool's mark is made with, the same for all its instances.
    pub secret_file: Option<PathBuf>,
    /// Whether HTTP callers are believed.
    pub trust_http: bool,
    /// Whether FastCGI callers are.
    pub trust_fastcgi: bool,
    /// Most repeats of a request, over all tiers.
    pub retries: u32,
    /// Most hops that a request may have behind it.
    pub hops: usize,
    /// What a caller's own repeat is worth, 0 to 1.
    pub repeat_worth: f64,
    /// Whether a request is refused at once that can't be answered in time any more.
    pub refuse_hopeless: bool,
    /// Repeats for each first attempt of a tenant; 0: no bound of its own.
    pub tenant_retries: f64,
    /// Names of the fields.
    pub names: FieldNames,
}

/// Names of the fields, in small letters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldNames {
    /// What may still be used, in requests.
    pub budget: String,
    /// Where a request has been.
    pub path: String,
    /// What was used, in answers.
    pub used: String,
}

impl Default for FieldNames {
    fn default() -> Self {
        FieldNames { budget: "req-budget".into(), path: "via".into(), used: "req-used".into() }
    }
}

impl Default for BudgetTable {
    fn default() -> Self {
        BudgetTable {
            pool: None,
            secret_file: None,
            trust_http: false,
            trust_fastcgi: false,
            retries: 2,
            hops: 8,
            repeat_worth: 1.0,
            refuse_hopeless: false,
            tenant_retries: 0.0,
            names: FieldNames::default(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBudget {
    pool: Option<Spanned<String>>,
    secret_file: Option<Spanned<String>>,
    #[serde(default)]
    trust: Vec<Spanned<String>>,
    retries: Option<Spanned<i64>>,
    hops: Option<Spanned<i64>>,
    repeat_worth: Option<Spanned<f64>>,
    refuse_hopeless: Option<bool>,
    tenant_retries: Option<Spanned<f64>>,
    #[serde(default)]
    names: RawNames,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawNames {
    budget: Option<Spanned<String>>,
    path: Option<Spanned<String>>,
    used: Option<Spanned<String>>,
}

pub(crate) fn resolve(text: &str, raw: RawBudget) -> Result<BudgetTable, ConfigError> {
    let d = BudgetTable::default();
    let fault = |at: usize, field: &str, what: String| fault_at(text, at, &format!("budget.{field}"), what);
    if let Some(pool) = &raw.pool {
        let plain = |c: char| c.is_ascii_graphic();
        if pool.get_ref().is_empty()
            || pool.get_ref().len() > MAX_POOL_BYTES
            || !pool.get_ref().chars().all(plain)
        {
            return Err(fault(
                pool.span().start,
                "pool",
                format!("is no name of 1 to {MAX_POOL_BYTES} visible characters"),
            ));
        }
    }
    let (mut trust_http, mut trust_fastcgi) = (false, false);
    for front in &raw.trust {
        match front.get_ref().as_str() {
            "http" => trust_http = true,
            "fastcgi" => trust_fastcgi = true,
            other => {
                return Err(fault(
                    front.span().start,
                    "trust",
                    format!("{other:?} is none of http, fastcgi"),
                ));
            }
        }
    }
    let whole = |field: &str, given: Option<Spanned<i64>>, default: i64, least: i64, most: i64| match given {
        None => Ok(default),
        Some(n) if (least..=most).contains(n.get_ref()) => Ok(n.into_inner()),
        Some(n) => Err(fault(n.span().start, field, format!("is not between {least} and {most}"))),
    };
    let part = |field: &str, given: Option<Spanned<f64>>, default: f64| match given {
        None => Ok(default),
        Some(n) if (0.0..=1.0).contains(n.get_ref()) => Ok(n.into_inner()),
        Some(n) => Err(fault(n.span().start, field, "is not between 0.0 and 1.0".into())),
    };
    let name = |field: &str, given: Option<Spanned<String>>, default: String| {
        let Some(given) = given else { return Ok(default) };
        let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if given.get_ref().is_empty()
            || given.get_ref().len() > MAX_FIELD_BYTES
            || !given.get_ref().bytes().all(plain)
        {
            let what = "is no name of small letters, digits and -".into();
            return Err(fault(given.span().start, &format!("names.{field}"), what));
        }
        Ok(given.into_inner())
    };
    let retries = whole("retries", raw.retries, d.retries.into(), 0, MAX_RETRIES)?;
    let hops = whole("hops", raw.hops, i64::try_from(d.hops).unwrap_or(MAX_HOPS), 1, MAX_HOPS)?;
    let n = raw.names;
    let names = FieldNames {
        budget: name("budget", n.budget, d.names.budget)?,
        path: name("path", n.path, d.names.path)?,
        used: name("used", n.used, d.names.used)?,
    };
    // Guards against one field that stands for two things, and against one that the program needs for something else.
    let taken =
        ["req-id", "req-kind", "req-owner", "req-deadline", "idempotency-key", "srv-declined", "host"];
    let all = [&names.budget, &names.path, &names.used];
    for (k, own) in all.iter().enumerate() {
        if taken.contains(&own.as_str()) || all[..k].contains(own) {
            let what = format!("{own:?} is the name of something else");
            return Err(ConfigError { line: 0, column: 0, field: "budget.names".into(), what });
        }
    }
    Ok(BudgetTable {
        pool: raw.pool.map(Spanned::into_inner),
        secret_file: path_value(text, "budget.secret_file", raw.secret_file)?,
        trust_http,
        trust_fastcgi,
        // Within their bounds by now.
        retries: u32::try_from(retries).unwrap_or(d.retries),
        hops: usize::try_from(hops).unwrap_or(d.hops),
        repeat_worth: part("repeat_worth", raw.repeat_worth, d.repeat_worth)?,
        refuse_hopeless: raw.refuse_hopeless.unwrap_or(d.refuse_hopeless),
        tenant_retries: part("tenant_retries", raw.tenant_retries, d.tenant_retries)?,
        names,
    })
}
