//! Header fields of the request budget: dictionaries of RFC 9651 (section 3.2), of which only integers, decimals and tokens
//! are used.
//!
//! | field | sent in | example |
//! | --- | --- | --- |
//! | budget | requests | `left=480.125, retries=2, worth=0.25` |
//! | used | responses | `retries=1, stop=loop` |
//!
//! `left` is in milliseconds. Unknown keys are ignored, so that later versions can add some; known keys are parsed strictly.
use std::fmt;

/// Maximum length of a field value, in bytes; longer ones are rejected unparsed.
pub const MAX_VALUE_BYTES: usize = 256;
/// Maximum number of keys in one value.
const MAX_KEYS: usize = 16;
/// Maximum remaining time, in milliseconds: a day.
const MAX_LEFT_MS: f64 = 86_400_000.0;
/// Tolerance in milliseconds when times are compared: they are written with three decimals.
pub(crate) const ROUNDING_TOLERANCE_MS: f64 = 0.002;

/// Reason why a budget field is rejected. Its text is the body of the response to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MalformedBudget {
    /// The request has several budget fields.
    DuplicateField,
    /// The value is longer than [`MAX_VALUE_BYTES`], or has too many keys.
    TooLong,
    /// The value is not a dictionary; the error is in the member that starts at this byte.
    Syntax(usize),
    /// A key occurs twice.
    DuplicateKey(&'static str),
    /// The value of a key is not a number, negative, or too large.
    InvalidNumber(&'static str),
    /// The caller's deadline is longer than the time that the budget leaves.
    LateDeadline,
}

impl fmt::Display for MalformedBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedBudget::DuplicateField => f.write_str("the budget is there twice"),
            MalformedBudget::TooLong => f.write_str("the budget is too long"),
            MalformedBudget::Syntax(offset) => write!(f, "the budget can't be read from byte {offset}"),
            MalformedBudget::DuplicateKey(key) => write!(f, "the budget has {key} twice"),
            MalformedBudget::InvalidNumber(key) => {
                write!(f, "the budget's {key} is no number that it can be")
            }
            MalformedBudget::LateDeadline => f.write_str("the deadline is longer than the budget's left"),
        }
    }
}

/// Values of a request's budget field; `None`: the key is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestedBudget {
    /// Remaining time, in milliseconds.
    pub left_ms: Option<f64>,
    /// Number of retries.
    pub retries: Option<u32>,
    /// Value of serving the request, from 0; values above 1 count as 1.
    pub worth: Option<f64>,
}

/// Reason why a request must not be retried at any hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The request came back to a pool that it had passed.
    Loop,
    /// The request has passed too many hops.
    TooManyHops,
}

impl StopReason {
    /// Token of the `stop` key.
    pub fn as_token(self) -> &'static str {
        match self {
            StopReason::Loop => "loop",
            StopReason::TooManyHops => "hops",
        }
    }
}

/// Usage of a grant, as reported in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// Number of retries.
    pub retries: u32,
    /// Reason why the request must not be retried; `None`: it may be.
    pub stop: Option<StopReason>,
}

/// Keys and values of a dictionary; an error is the byte offset at which a malformed member starts.
fn members(value: &[u8]) -> impl Iterator<Item = Result<(&[u8], &[u8]), usize>> {
    let mut offset = 0;
    value.split(|&b| b == b',').filter_map(move |part| {
        let member_offset = offset;
        offset += part.len() + 1;
        let member = part.trim_ascii();
        if member.is_empty() && value.trim_ascii().is_empty() {
            return None;
        }
        let is_key_byte = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"_-.*".contains(b);
        let key_len = member.iter().position(|&b| b == b'=').unwrap_or(member.len());
        // A key without a value means true (RFC 9651, section 3.2).
        let (key, value) = (&member[..key_len], member.get(key_len + 1..).unwrap_or(b"?1"));
        let is_valid = key.first().is_some_and(u8::is_ascii_lowercase)
            && key.iter().all(is_key_byte)
            && !value.is_empty()
            && value.iter().all(u8::is_ascii_graphic);
        Some(if is_valid { Ok((key, value)) } else { Err(member_offset) })
    })
}

/// Parses a non-negative decimal (RFC 9651, section 3.3.2): at most 12 digits, and at most 3 after the point.
fn decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits =
        |text: &str, max| (1..=max).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    (is_digits(whole, 12) && is_digits(fraction, 3)).then(|| text.parse().ok()).flatten()
}

/// Parses a non-negative integer (RFC 9651, section 3.3.1): at most 15 digits.
fn integer(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    ((1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}

/// Stores the value of a key; an error if the value is invalid or the key already has one.
fn set_once<T>(slot: &mut Option<T>, key: &'static str, value: Option<T>) -> Result<(), MalformedBudget> {
    match slot.replace(value.ok_or(MalformedBudget::InvalidNumber(key))?) {
        Some(_) => Err(MalformedBudget::DuplicateKey(key)),
        None => Ok(()),
    }
}

/// Parses the budget field of a request, given all its values; `None` if there is none.
///
/// # Errors
/// The field is malformed, or occurs several times.
pub fn read_budget(values: &[&[u8]]) -> Result<Option<RequestedBudget>, MalformedBudget> {
    let value = match values {
        [] => return Ok(None),
        [value] => *value,
        _ => return Err(MalformedBudget::DuplicateField),
    };
    if value.len() > MAX_VALUE_BYTES {
        return Err(MalformedBudget::TooLong);
    }
    let mut budget = RequestedBudget::default();
    for (index, member) in members(value).enumerate() {
        if index >= MAX_KEYS {
            return Err(MalformedBudget::TooLong);
        }
        let (key, value) = member.map_err(MalformedBudget::Syntax)?;
        match key {
            b"left" => set_once(&mut budget.left_ms, "left", decimal(value).filter(|&n| n <= MAX_LEFT_MS))?,
            b"retries" => {
                let retries = integer(value).map(|n| u32::try_from(n).unwrap_or(u32::MAX));
                set_once(&mut budget.retries, "retries", retries)?;
            }
            b"worth" => set_once(&mut budget.worth, "worth", decimal(value))?,
            _ => {}
        }
    }
    Ok(Some(budget))
}

/// Formats the budget field: remaining time in milliseconds, retries, and worth from 0 to 1, which is omitted if it is 1.
/// Time and worth are limited to their bounds.
pub fn format_budget(left_ms: f64, retries: u32, worth: f64) -> String {
    let left_ms = left_ms.clamp(0.0, MAX_LEFT_MS);
    // Rounded down, so that no tier below waits longer than the time that is left.
    let left_ms = (left_ms * 1000.0).floor() / 1000.0;
    let worth = worth.clamp(0.0, 1.0);
    if worth < 1.0 {
        format!("left={left_ms:.3}, retries={retries}, worth={worth:.3}")
    } else {
        format!("left={left_ms:.3}, retries={retries}")
    }
}

/// Parses the used field of a response; `None` if it is malformed or has no `retries`: then the complete grant counts as
/// used.
pub fn parse_usage(value: &[u8]) -> Option<RetryUsage> {
    if value.len() > MAX_VALUE_BYTES {
        return None;
    }
    let (mut retries, mut stop) = (None, None);
    for member in members(value).take(MAX_KEYS) {
        match member.ok()? {
            (b"retries", value) => set_once(&mut retries, "retries", integer(value)).ok()?,
            (b"stop", b"loop") => stop = Some(StopReason::Loop),
            (b"stop", b"hops") => stop = Some(StopReason::TooManyHops),
            _ => {}
        }
    }
    retries.map(|n| RetryUsage { retries: u32::try_from(n).unwrap_or(u32::MAX), stop })
}

/// Formats the used field.
pub fn format_usage(used: RetryUsage) -> String {
    match used.stop {
        Some(stop) => format!("retries={}, stop={}", used.retries, stop.as_token()),
        None => format!("retries={}", used.retries),
    }
}
