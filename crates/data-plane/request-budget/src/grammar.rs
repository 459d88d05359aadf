//! The fields: a dictionary of RFC 9651 (section 3.2), of which only integers, decimals and tokens are used.
//!
//! | field | in | example |
//! | --- | --- | --- |
//! | budget | requests | `left=480.125, retries=2, worth=0.25` |
//! | used | answers | `retries=1, stop=loop` |
//!
//! `left` is in milliseconds. Keys that are not known are passed over, so that later versions can add some; what is
//! known is read strictly.
use std::fmt;

/// Longest value that is looked at, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;
/// Keys in one value.
const MAX_KEYS: usize = 16;
/// Longest time, in milliseconds: a day.
const MAX_LEFT_MS: f64 = 86_400_000.0;
/// Times are written with three decimals.
pub(crate) const ROUNDING: f64 = 0.002;

/// Why a field is not believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MalformedBudget {
    /// It is there several times.
    Twice,
    /// It is longer than [`MAX_VALUE_BYTES`], or has too many keys.
    Long,
    /// It is no dictionary from this byte on.
    Grammar(usize),
    /// A key comes twice.
    Key(&'static str),
    /// The value of a key is no number, negative, or has no end.
    Number(&'static str),
    /// The caller says that it waits longer than the budget leaves.
    Conflict,
}

impl fmt::Display for MalformedBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedBudget::Twice => f.write_str("the budget is there twice"),
            MalformedBudget::Long => f.write_str("the budget is too long"),
            MalformedBudget::Grammar(at) => write!(f, "the budget can't be read from byte {at}"),
            MalformedBudget::Key(key) => write!(f, "the budget has {key} twice"),
            MalformedBudget::Number(key) => write!(f, "the budget's {key} is no number that it can be"),
            MalformedBudget::Conflict => f.write_str("the deadline is longer than the budget's left"),
        }
    }
}

/// What a caller says that a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetOffer {
    /// Milliseconds.
    pub left: Option<f64>,
    /// Repeats.
    pub retries: Option<u32>,
    /// Worth.
    pub worth: Option<f64>,
}

/// Why nothing further is to be tried for a request, whoever has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// It came back to where it had been.
    Loop,
    /// It has been at too many places.
    Hops,
}

impl Stop {
    /// As it is written.
    pub fn token(self) -> &'static str {
        match self {
            Stop::Loop => "loop",
            Stop::Hops => "hops",
        }
    }
}

/// What was used of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// Repeats.
    pub retries: u32,
    /// Why nothing further is to be tried.
    pub stop: Option<Stop>,
}

/// Each key and value of a dictionary, with the byte at which the value begins.
fn members(value: &[u8]) -> impl Iterator<Item = Result<(&[u8], &[u8]), usize>> {
    let mut at = 0;
    value.split(|&b| b == b',').filter_map(move |part| {
        let begins = at;
        at += part.len() + 1;
        let member = part.trim_ascii();
        if member.is_empty() && value.trim_ascii().is_empty() {
            return None;
        }
        let plain = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"_-.*".contains(b);
        let n = member.iter().position(|&b| b == b'=').unwrap_or(member.len());
        let (key, value) = (&member[..n], member.get(n + 1..).unwrap_or(b"?1"));
        let sound = key.first().is_some_and(u8::is_ascii_lowercase)
            && key.iter().all(plain)
            && !value.is_empty()
            && value.iter().all(u8::is_ascii_graphic);
        Some(if sound { Ok((key, value)) } else { Err(begins) })
    })
}

/// A decimal of RFC 9651, section 3.3.2, that is not negative: at most 12 digits, a point and at most 3 more.
fn decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?;
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |t: &str, most| (1..=most).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_digit());
    (digits(whole, 12) && digits(part, 3)).then(|| text.parse().ok()).flatten()
}

/// An integer of RFC 9651, section 3.3.1, that is not negative: at most 15 digits.
fn integer(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    ((1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}

fn once<T>(slot: &mut Option<T>, key: &'static str, value: Option<T>) -> Result<(), MalformedBudget> {
    match slot.replace(value.ok_or(MalformedBudget::Number(key))?) {
        Some(_) => Err(MalformedBudget::Key(key)),
        None => Ok(()),
    }
}

/// Reads the budget's field of a request; `None`: there is none.
///
/// # Errors
/// What is wrong with it.
pub fn read_budget(values: &[&[u8]]) -> Result<Option<BudgetOffer>, MalformedBudget> {
    let value = match values {
        [] => return Ok(None),
        [value] => *value,
        _ => return Err(MalformedBudget::Twice),
    };
    if value.len() > MAX_VALUE_BYTES {
        return Err(MalformedBudget::Long);
    }
    let mut offer = BudgetOffer::default();
    for (k, member) in members(value).enumerate() {
        if k >= MAX_KEYS {
            return Err(MalformedBudget::Long);
        }
        let (key, value) = member.map_err(MalformedBudget::Grammar)?;
        match key {
            b"left" => once(&mut offer.left, "left", decimal(value).filter(|&l| l <= MAX_LEFT_MS))?,
            b"retries" => {
                let retries = integer(value).map(|n| u32::try_from(n).unwrap_or(u32::MAX));
                once(&mut offer.retries, "retries", retries)?;
            }
            b"worth" => once(&mut offer.worth, "worth", decimal(value))?,
            _ => {}
        }
    }
    Ok(Some(offer))
}

/// Writes the budget's field.
pub fn write_budget(left: f64, retries: u32, worth: f64) -> String {
    let left = left.clamp(0.0, MAX_LEFT_MS);
    // Down, so that nobody below waits longer than is left.
    let left = (left * 1000.0).floor() / 1000.0;
    let worth = worth.clamp(0.0, 1.0);
    if worth < 1.0 {
        format!("left={left:.3}, retries={retries}, worth={worth:.3}")
    } else {
        format!("left={left:.3}, retries={retries}")
    }
}

/// Reads the field of an answer that tells what was used. What can't be read tells nothing: then all that was granted
/// counts as used.
pub fn read_used(value: &[u8]) -> Option<Used> {
    if value.len() > MAX_VALUE_BYTES {
        return None;
    }
    let (mut retries, mut stop) = (None, None);
    for member in members(value).take(MAX_KEYS) {
        match member.ok()? {
            (b"retries", value) => once(&mut retries, "retries", integer(value)).ok()?,
            (b"stop", b"loop") => stop = Some(Stop::Loop),
            (b"stop", b"hops") => stop = Some(Stop::Hops),
            _ => {}
        }
    }
    retries.map(|n| Used { retries: u32::try_from(n).unwrap_or(u32::MAX), stop })
}

/// Writes it.
pub fn write_used(used: Used) -> String {
    match used.stop {
        Some(stop) => format!("retries={}, stop={}", used.retries, stop.token()),
        None => format!("retries={}", used.retries),
    }
}
