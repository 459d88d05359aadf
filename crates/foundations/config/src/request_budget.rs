//! Table `[budget]` of the operator's file: limits of retries and hops of a request across all tiers.
use crate::values::{fault_at, path_value, ConfigError};
use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// Upper bound of the number of retries of one request.
const MAX_RETRIES: i64 = 100;
/// Upper bound of the number of hops of one request.
const MAX_HOPS: i64 = 64;
/// Maximum length of a pool's name, in bytes.
const MAX_POOL_BYTES: usize = 128;
/// Maximum length of a header field's name, in bytes.
const MAX_FIELD_BYTES: usize = 64;

/// Settings of request budgets across tiers.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetTable {
    /// Common name of this tier's instances; `None`: budgets are neither read nor written.
    pub pool: Option<String>,
    /// File with the secret that the pool's mark is made with; it must be the same for all instances of the pool.
    pub secret_file: Option<PathBuf>,
    /// Whether budgets of HTTP clients are trusted.
    pub trust_http: bool,
    /// Whether budgets of FastCGI clients are trusted.
    pub trust_fastcgi: bool,
    /// Maximum number of retries of a request across all tiers.
    pub retries: u32,
    /// Maximum number of hops that a request may have made.
    pub hops: usize,
    /// Worth of a client's own retry, 0 to 1.
    pub repeat_worth: f64,
    /// Whether a request that can't be answered before its deadline any more is refused at once.
    pub refuse_hopeless: bool,
    /// Maximum number of retries per first attempt of a tenant; 0: no limit per tenant.
    pub tenant_retries: f64,
    /// Names of the header fields.
    pub names: FieldNames,
}

/// Names of the header fields, in lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldNames {
    /// Request field with the remaining budget.
    pub budget: String,
    /// Request field with the hops that the request has made.
    pub path: String,
    /// Response field with the budget that was used.
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

/// Checks the table and applies the defaults.
pub(crate) fn resolve(text: &str, raw: RawBudget) -> Result<BudgetTable, ConfigError> {
    let defaults = BudgetTable::default();
    let fault =
        |at: usize, field: &str, message: String| fault_at(text, at, &format!("budget.{field}"), message);
    if let Some(pool) = &raw.pool {
        let is_allowed = |c: char| c.is_ascii_graphic();
        if pool.get_ref().is_empty()
            || pool.get_ref().len() > MAX_POOL_BYTES
            || !pool.get_ref().chars().all(is_allowed)
        {
            return Err(fault(
                pool.span().start,
                "pool",
                format!("is not a name of 1 to {MAX_POOL_BYTES} visible ASCII characters"),
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
                    format!("{other:?} is not one of http, fastcgi"),
                ));
            }
        }
    }
    let integer = |field: &str, given: Option<Spanned<i64>>, default: i64, min: i64, max: i64| match given {
        None => Ok(default),
        Some(value) if (min..=max).contains(value.get_ref()) => Ok(value.into_inner()),
        Some(value) => Err(fault(value.span().start, field, format!("is not between {min} and {max}"))),
    };
    let fraction = |field: &str, given: Option<Spanned<f64>>, default: f64| match given {
        None => Ok(default),
        Some(value) if (0.0..=1.0).contains(value.get_ref()) => Ok(value.into_inner()),
        Some(value) => Err(fault(value.span().start, field, "is not between 0.0 and 1.0".into())),
    };
    let name = |field: &str, given: Option<Spanned<String>>, default: String| {
        let Some(given) = given else { return Ok(default) };
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if given.get_ref().is_empty()
            || given.get_ref().len() > MAX_FIELD_BYTES
            || !given.get_ref().bytes().all(is_allowed)
        {
            let message = "is not a name of lower-case letters, digits and -".into();
            return Err(fault(given.span().start, &format!("names.{field}"), message));
        }
        Ok(given.into_inner())
    };
    let retries = integer("retries", raw.retries, defaults.retries.into(), 0, MAX_RETRIES)?;
    let hops = integer("hops", raw.hops, i64::try_from(defaults.hops).unwrap_or(MAX_HOPS), 1, MAX_HOPS)?;
    let raw_names = raw.names;
    let names = FieldNames {
        budget: name("budget", raw_names.budget, defaults.names.budget)?,
        path: name("path", raw_names.path, defaults.names.path)?,
        used: name("used", raw_names.used, defaults.names.used)?,
    };
    // Each field must have a name of its own, which the program does not use for another purpose.
    let reserved =
        ["req-id", "req-kind", "req-owner", "req-deadline", "idempotency-key", "srv-declined", "host"];
    let configured = [&names.budget, &names.path, &names.used];
    for (index, own) in configured.iter().enumerate() {
        if reserved.contains(&own.as_str()) || configured[..index].contains(own) {
            let message = format!("{own:?} is reserved or used twice");
            return Err(ConfigError { line: 0, column: 0, field: "budget.names".into(), message });
        }
    }
    Ok(BudgetTable {
        pool: raw.pool.map(Spanned::into_inner),
        secret_file: path_value(text, "budget.secret_file", raw.secret_file)?,
        trust_http,
        trust_fastcgi,
        // Both values were checked above, so the conversions can't fail.
        retries: u32::try_from(retries).unwrap_or(defaults.retries),
        hops: usize::try_from(hops).unwrap_or(defaults.hops),
        repeat_worth: fraction("repeat_worth", raw.repeat_worth, defaults.repeat_worth)?,
        refuse_hopeless: raw.refuse_hopeless.unwrap_or(defaults.refuse_hopeless),
        tenant_retries: fraction("tenant_retries", raw.tenant_retries, defaults.tenant_retries)?,
        names,
    })
}
