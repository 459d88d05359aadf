//! What a request may still use on its way through the tiers, without I/O: time until its caller gives up, repeats, worth,
//! and where it has been.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`grammar`] | the fields in which it is carried, read and written |
//! | [`path`] | where a request has been, and loops |
//! | [`retry_budget`] | the repeats of one request: spent, granted downwards, given back |
//! | [`usage_feedback`] | whether an upstream tells what was used below it |
//! | [`log_throttle`] | what is said once for each cause, and not for each request |
//!
//! A *repeat* is an attempt beyond the first at a hop. First attempts are the work itself: a call that a tier has to make
//! costs nothing here, however deep the chain is.
pub mod grammar;
pub mod log_throttle;
pub mod path;
pub mod retry_budget;
pub mod usage_feedback;

use grammar::{BudgetOffer, MalformedBudget};
use path::{HopMarker, Path, PathRejection};

/// The most that any caller is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats for a whole request; also what one begins with that brings none.
    pub retries: u32,
    /// Hops that a request may have behind it.
    pub hops: usize,
    /// The worth of a request that its caller marks as a repeat of its own and states no worth for, 0 to 1.
    pub repeat_worth: f64,
}

/// What came with a request, as its front found it.
#[derive(Clone, Copy, Debug)]
pub struct IncomingFields<'a> {
    /// Every value of the budget's field.
    pub budget: &'a [&'a [u8]],
    /// Every value of the path's field.
    pub path: &'a [&'a [u8]],
    /// How long the caller waits, in milliseconds, by the field that always says so.
    pub patience: f64,
    /// Whether the caller marks the request as a repeat of its own.
    pub repeated: bool,
    /// Whether callers at this front are believed.
    pub trusted: bool,
}

/// What a request may still use at this hop and below it.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Milliseconds until its caller gives up.
    pub left: f64,
    /// Repeats.
    pub retries: u32,
    /// What an answer is worth, 0 to 1.
    pub worth: f64,
    /// Where it has been, this hop included.
    pub path: Path,
    /// Whether it came with a budget, so that its caller is told what was used.
    pub told: bool,
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetRejection {
    /// Its fields can't be believed: bad input.
    Bad(MalformedBudget),
    /// It has been here, or at too many places: refused, and nothing ran.
    Refused(PathRejection),
}

impl Budget {
    /// What a request may use that came with this.
    ///
    /// Nothing that a caller says widens anything: repeats are bounded, worth is at most 1, and time is the least of what
    /// was said. A forged path harms the request alone that carries it, so that paths are honoured whoever sends them.
    ///
    /// # Errors
    /// See [`BudgetRejection`].
    pub fn of(given: &IncomingFields, bounds: &Bounds, own: &HopMarker) -> Result<Budget, BudgetRejection> {
        let path = Path::read(given.path.iter().copied()).map_err(BudgetRejection::Refused)?;
        let path = path.visit(own, bounds.hops).map_err(BudgetRejection::Refused)?;
        let offer = match given.trusted {
            true => grammar::read_budget(given.budget).map_err(BudgetRejection::Bad)?,
            false => None,
        };
        let BudgetOffer { left, retries, worth } = offer.unwrap_or_default();
        if left.is_some_and(|left| given.patience > left + grammar::ROUNDING) {
            return Err(BudgetRejection::Bad(MalformedBudget::Conflict));
        }
        let usual = if given.repeated { bounds.repeat_worth } else { 1.0 };
        Ok(Budget {
            left: given.patience,
            retries: retries.map_or(bounds.retries, |n| n.min(bounds.retries)),
            worth: worth.unwrap_or(usual).clamp(0.0, 1.0),
            path,
            told: offer.is_some(),
        })
    }
}
