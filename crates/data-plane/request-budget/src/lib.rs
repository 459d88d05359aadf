//! Request budgets, without I/O: the time, retries and worth that a request has left on its way through the tiers, and the
//! path that it has taken.
//!
//! | module | contents |
//! | --- | --- |
//! | [`grammar`] | parsing and formatting of the header fields |
//! | [`path`] | the path of a request, and detection of loops |
//! | [`retry_budget`] | retries of one request: spent, granted to attempts, and returned unused |
//! | [`usage_feedback`] | whether an upstream reports the retries that were used below it |
//! | [`log_throttle`] | rate limit for log lines, by cause |
//!
//! A *retry* is an attempt beyond the first at a hop. First attempts cost nothing, however deep the chain of tiers is: they
//! are calls that a tier has to make.
pub mod grammar;
pub mod log_throttle;
pub mod path;
pub mod retry_budget;
pub mod usage_feedback;

use grammar::{MalformedBudget, RequestedBudget};
use path::{HopMarker, Path, PathRejection};

/// Upper bounds of a budget, whatever the caller requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Maximum number of retries of a request, and the number of a request that comes without one.
    pub max_retries: u32,
    /// Maximum number of hops that a request may have passed.
    pub max_hops: usize,
    /// Worth, from 0 to 1, of a request that its caller marks as a retry and that states no worth.
    pub retry_worth: f64,
}

/// Header fields of an incoming request, as received by the front.
#[derive(Clone, Copy, Debug)]
pub struct IncomingFields<'a> {
    /// All values of the budget field.
    pub budget: &'a [&'a [u8]],
    /// All values of the path field.
    pub path: &'a [&'a [u8]],
    /// Time that the caller waits for the response, in milliseconds, from the deadline field that every request has.
    pub timeout_ms: f64,
    /// Whether the caller marks the request as a retry.
    pub is_retry: bool,
    /// Whether budgets of callers at this front are accepted; otherwise they are ignored.
    pub is_trusted: bool,
}

/// Budget of a request at this hop and below it.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Time until the caller's deadline, in milliseconds.
    pub left_ms: f64,
    /// Number of retries that are left.
    pub retries: u32,
    /// Value of serving the request, 0 to 1.
    pub worth: f64,
    /// Pools that the request has passed, this one included.
    pub path: Path,
    /// Whether the request came with a budget field, so that its response reports the usage.
    pub reports_usage: bool,
}

/// Reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetRejection {
    /// The budget field is malformed, or contradicts the deadline: a client error.
    Malformed(MalformedBudget),
    /// The request has passed this pool before, or too many hops: refused without an effect.
    Refused(PathRejection),
}

impl Budget {
    /// The budget of a request with these fields.
    ///
    /// No field extends the bounds: retries are bounded, worth is at most 1, and the caller's deadline must not be longer
    /// than the time left in the budget. Paths are respected whoever sends them: a forged one affects only the request that
    /// carries it.
    ///
    /// # Errors
    /// See [`BudgetRejection`].
    pub fn from_fields(
        fields: &IncomingFields,
        limits: &BudgetLimits,
        own: &HopMarker,
    ) -> Result<Budget, BudgetRejection> {
        let path = Path::read(fields.path.iter().copied()).map_err(BudgetRejection::Refused)?;
        let path = path.with_hop(own, limits.max_hops).map_err(BudgetRejection::Refused)?;
        let requested = match fields.is_trusted {
            true => grammar::read_budget(fields.budget).map_err(BudgetRejection::Malformed)?,
            false => None,
        };
        let RequestedBudget { left_ms, retries, worth } = requested.unwrap_or_default();
        if left_ms.is_some_and(|left_ms| fields.timeout_ms > left_ms + grammar::ROUNDING_TOLERANCE_MS) {
            return Err(BudgetRejection::Malformed(MalformedBudget::LateDeadline));
        }
        let default_worth = if fields.is_retry { limits.retry_worth } else { 1.0 };
        Ok(Budget {
            left_ms: fields.timeout_ms,
            retries: retries.map_or(limits.max_retries, |n| n.min(limits.max_retries)),
            worth: worth.unwrap_or(default_worth).clamp(0.0, 1.0),
            path,
            reports_usage: requested.is_some(),
        })
    }
}
