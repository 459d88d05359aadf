//! Values in operators' configuration files: quantities with units, paths, and errors with positions.
use serde::Deserialize;
use std::fmt;
use std::fs::File;
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Maximum size of a configuration file, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum number of attempts to read a file that changes while it is read.
const MAX_READ_ATTEMPTS: usize = 5;

/// A fault in a configuration file, with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Line, counted from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the key; empty if there is none.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.message)
    }
}

impl std::error::Error for ConfigError {}

/// A value that is written as a number with a unit.
pub(crate) trait Quantity: Copy + PartialOrd {
    /// Parses the value; the error is a message for the operator.
    fn parse(text: &str) -> Result<Self, String>;
    /// Formats the value with the largest unit that expresses it as a whole number.
    fn to_text(self) -> String;
}

/// Parses a whole number with one of the units. The error message lists the units.
fn number(text: &str, units: &[(&str, u64)], example: &str) -> Result<u64, String> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (digits, unit) = text.split_at(digits);
    let factor = units.iter().find(|(name, _)| *name == unit).map(|&(_, factor)| factor);
    let names: Vec<&str> = units.iter().map(|&(name, _)| name).collect();
    match (digits.is_empty(), factor) {
        (false, Some(factor)) => {
            let value = digits.parse::<u64>().ok().and_then(|n| n.checked_mul(factor));
            value.ok_or_else(|| format!("{text:?} is too large"))
        }
        _ => Err(format!(
            "{text:?} is not a whole number with a unit ({}), such as {example:?}",
            names.join(", ")
        )),
    }
}

impl Quantity for Duration {
    fn parse(text: &str) -> Result<Duration, String> {
        let units = [("ms", 1), ("s", 1000), ("m", 60_000)];
        number(text, &units, "250ms").map(Duration::from_millis)
    }

    fn to_text(self) -> String {
        match self.as_millis() {
            ms if ms % 1000 == 0 => format!("{}s", ms / 1000),
            ms => format!("{ms}ms"),
        }
    }
}

/// Parses a duration as written in configuration files, such as `"250ms"`, `"10s"` or `"5m"`.
///
/// # Errors
/// The text is not a whole number with a unit, or too large.
pub fn duration(text: &str) -> Result<Duration, String> {
    Duration::parse(text)
}

impl Quantity for usize {
    fn parse(text: &str) -> Result<usize, String> {
        let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];
        let bytes = number(text, &units, "64KiB")?;
        usize::try_from(bytes).map_err(|_| format!("{text:?} is too large"))
    }

    fn to_text(self) -> String {
        match self {
            bytes if bytes >= 1 << 20 && bytes % (1 << 20) == 0 => format!("{}MiB", bytes >> 20),
            bytes if bytes >= 1 << 10 && bytes % (1 << 10) == 0 => format!("{}KiB", bytes >> 10),
            bytes => format!("{bytes}B"),
        }
    }
}

/// Parses a quantity between `min` and `max`, or returns the default of an absent one.
pub(crate) fn quantity<T: Quantity>(
    text: &str,
    field: &str,
    given: Option<Spanned<String>>,
    default: T,
    min: T,
    max: T,
) -> Result<T, ConfigError> {
    let Some(given) = given else { return Ok(default) };
    let fault = |message| fault_at(text, given.span().start, field, message);
    let value = T::parse(given.get_ref()).map_err(fault)?;
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(fault(format!("{} is not between {} and {}", given.get_ref(), min.to_text(), max.to_text())))
}

/// Maximum length of a path, in bytes: that of a Unix socket (`sun_path` of Linux, without the terminator).
const MAX_PATH_BYTES: usize = 107;

/// Error at a byte offset of the text.
pub(crate) fn fault_at(text: &str, offset: usize, field: &str, message: String) -> ConfigError {
    let (line, column) = position(text, offset);
    ConfigError { line, column, field: field.into(), message }
}

/// Checks a path that may be absent.
pub(crate) fn path_value(
    text: &str,
    field: &str,
    given: Option<Spanned<String>>,
) -> Result<Option<PathBuf>, ConfigError> {
    let Some(given) = given else { return Ok(None) };
    let value = given.get_ref();
    if value.is_empty() || value.len() > MAX_PATH_BYTES || value.contains('\0') {
        let message = format!("is not a path of 1 to {MAX_PATH_BYTES} bytes");
        return Err(fault_at(text, given.span().start, field, message));
    }
    Ok(Some(PathBuf::from(value)))
}

/// Line and column of a byte offset of the text, counted from 1.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |n| n + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

/// Decodes a TOML file; returns its text and the deserialized value.
pub(crate) fn read_text<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(&'a str, T), ConfigError> {
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let valid = std::str::from_utf8(&bytes[..e.valid_up_to()]).unwrap_or_default();
        fault_at(valid, valid.len(), "", "is not UTF-8".into())
    })?;
    let fault = |error: &toml::de::Error, path: String| {
        let (line, column) = error.span().map_or((0, 0), |span| position(text, span.start));
        ConfigError { line, column, field: path, message: error.message().trim().replace('\n', " ") }
    };
    let reader = toml::Deserializer::parse(text).map_err(|e| fault(&e, String::new()))?;
    let raw = serde_path_to_error::deserialize(reader).map_err(|e| {
        // `Spanned` values add internal path elements, and an unknown key adds `?`; both are removed.
        let path: Vec<String> = e.path().iter().map(ToString::to_string).collect();
        let path: Vec<String> = path.into_iter().filter(|p| !p.contains('$') && p != "?").collect();
        fault(e.inner(), path.join("."))
    })?;
    Ok((text, raw))
}

/// Reason why a file can't be read; the message does not contain the path.
#[derive(Debug, thiserror::Error)]
pub enum ReadFileError {
    /// The file is a directory.
    #[error("is a directory")]
    Directory,
    /// The file is neither a regular file nor a directory.
    #[error("is not a regular file")]
    NotRegular,
    /// The file is larger than this number of bytes.
    #[error("is larger than {0} bytes")]
    TooLarge(u64),
    /// The content changed during each attempt to read it.
    #[error("changed during every attempt to read it")]
    Unstable,
    /// The system can't read it.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads a complete file that may be replaced or written concurrently; the result is its content at one point in time.
///
/// # Errors
/// The file is not a regular file, is larger than `max_bytes`, can't be read, or keeps changing.
pub fn read_consistent(path: &Path, max_bytes: u64) -> Result<Vec<u8>, ReadFileError> {
    // Checked before the file is opened, because opening a pipe would wait for its writer.
    let metadata = std::fs::metadata(path)?;
    if metadata.is_dir() {
        return Err(ReadFileError::Directory);
    }
    if !metadata.is_file() {
        return Err(ReadFileError::NotRegular);
    }
    for _ in 0..MAX_READ_ATTEMPTS {
        let mut file = File::open(path)?;
        let before = file.metadata()?;
        let mut bytes = Vec::new();
        match file.by_ref().take(max_bytes + 1).read_to_end(&mut bytes) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e.into()),
        }
        if bytes.len() as u64 > max_bytes {
            return Err(ReadFileError::TooLarge(max_bytes));
        }
        let after = file.metadata()?;
        // Detects a file that is being written in place and thus incomplete. A file replaced by renaming is always
        // complete.
        let unchanged = before.modified().ok() == after.modified().ok() && after.len() == bytes.len() as u64;
        if unchanged {
            return Ok(bytes);
        }
    }
    Err(ReadFileError::Unstable)
}
