//! Values of the operator's files: quantities with units, paths, and where a fault is.
use serde::Deserialize;
use std::fmt;
use std::fs::File;
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Largest operator's file that is read.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// How often a file that changes while it is read is read again.
const READS: usize = 5;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Counted from 1; 0 where the whole file is at fault.
    pub line: usize,
    /// In characters, counted from 1.
    pub column: usize,
    /// The path of the key; empty where there is none.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.what)
    }
}

impl std::error::Error for ConfigError {}

/// A value that the file writes as a number and a unit.
pub(crate) trait Quantity: Copy + PartialOrd {
    fn read(text: &str) -> Result<Self, String>;
    fn show(self) -> String;
}

/// A whole number and one of the units; anything else is an error that lists them.
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
            "{text:?} is no whole number with a unit ({}), such as {example:?}",
            names.join(", ")
        )),
    }
}

impl Quantity for Duration {
    fn read(text: &str) -> Result<Duration, String> {
        let units = [("ms", 1), ("s", 1000), ("m", 60_000)];
        number(text, &units, "250ms").map(Duration::from_millis)
    }

    fn show(self) -> String {
        match self.as_millis() {
            ms if ms % 1000 == 0 => format!("{}s", ms / 1000),
            ms => format!("{ms}ms"),
        }
    }
}

/// A span of time as the operator's files write it, such as `"250ms"`, `"10s"` or `"5m"`.
///
/// # Errors
/// What it is in place of that.
pub fn duration(text: &str) -> Result<Duration, String> {
    Duration::read(text)
}

impl Quantity for usize {
    fn read(text: &str) -> Result<usize, String> {
        let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];
        let bytes = number(text, &units, "64KiB")?;
        usize::try_from(bytes).map_err(|_| format!("{text:?} is too large"))
    }

    fn show(self) -> String {
        match self {
            b if b >= 1 << 20 && b % (1 << 20) == 0 => format!("{}MiB", b >> 20),
            b if b >= 1 << 10 && b % (1 << 10) == 0 => format!("{}KiB", b >> 10),
            b => format!("{b}B"),
        }
    }
}

pub(crate) fn quantity<T: Quantity>(
    text: &str,
    field: &str,
    given: Option<Spanned<String>>,
    default: T,
    least: T,
    most: T,
) -> Result<T, ConfigError> {
    let Some(given) = given else { return Ok(default) };
    let fault = |what| fault_at(text, given.span().start, field, what);
    let value = T::read(given.get_ref()).map_err(fault)?;
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(fault(format!("{} is not between {} and {}", given.get_ref(), least.show(), most.show())))
}

/// Longest path that a Unix socket can have (`sun_path` of Linux, less its end); the bound for all paths here.
const MAX_PATH_BYTES: usize = 107;

/// A fault at a byte of the text.
pub(crate) fn fault_at(text: &str, at: usize, field: &str, what: String) -> ConfigError {
    let (line, column) = place(text, at);
    ConfigError { line, column, field: field.into(), what }
}

pub(crate) fn path_value(
    text: &str,
    field: &str,
    given: Option<Spanned<String>>,
) -> Result<Option<PathBuf>, ConfigError> {
    let Some(given) = given else { return Ok(None) };
    let value = given.get_ref();
    if value.is_empty() || value.len() > MAX_PATH_BYTES || value.contains('\0') {
        let what = format!("is no path of 1 to {MAX_PATH_BYTES} bytes");
        return Err(fault_at(text, given.span().start, field, what));
    }
    Ok(Some(PathBuf::from(value)))
}

/// Line and column of a byte of the text.
fn place(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |n| n + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

/// A file as text, and as what serde makes of it.
pub(crate) fn read_text<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(&'a str, T), ConfigError> {
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let good = std::str::from_utf8(&bytes[..e.valid_up_to()]).unwrap_or_default();
        fault_at(good, good.len(), "", "is not UTF-8".into())
    })?;
    let fault = |error: &toml::de::Error, path: String| {
        let (line, column) = error.span().map_or((0, 0), |span| place(text, span.start));
        ConfigError { line, column, field: path, what: error.message().trim().replace('\n', " ") }
    };
    let reader = toml::Deserializer::parse(text).map_err(|e| fault(&e, String::new()))?;
    let raw = serde_path_to_error::deserialize(reader).map_err(|e| {
        // A value that keeps its place has a path of its own inside; an unknown key ends in itself.
        let path: Vec<String> = e.path().iter().map(ToString::to_string).collect();
        let path: Vec<String> = path.into_iter().filter(|p| !p.contains('$') && p != "?").collect();
        fault(e.inner(), path.join("."))
    })?;
    Ok((text, raw))
}

/// Why a file can't be read; the path is not part of the message.
#[derive(Debug, thiserror::Error)]
pub enum ReadFileError {
    /// It is a directory.
    #[error("is a directory")]
    Directory,
    /// It is neither a regular file nor a directory.
    #[error("is no regular file")]
    NotRegular,
    /// It is larger than this number of bytes.
    #[error("holds more than {0} bytes")]
    TooLarge(u64),
    /// Its content changed during each attempt to read it.
    #[error("changes while it is read")]
    Unstable,
    /// The system can't read it.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads a complete file that may be replaced or written meanwhile: the result is its content at one time.
///
/// # Errors
/// It is no regular file, holds more than `most` bytes, can't be read, or goes on changing.
pub fn read_consistent(path: &Path, most: u64) -> Result<Vec<u8>, ReadFileError> {
    // Before it is opened: opening a pipe would wait for its writer.
    let kind = std::fs::metadata(path)?;
    if kind.is_dir() {
        return Err(ReadFileError::Directory);
    }
    if !kind.is_file() {
        return Err(ReadFileError::NotRegular);
    }
    for _ in 0..READS {
        let mut file = File::open(path)?;
        let before = file.metadata()?;
        let mut bytes = Vec::new();
        match file.by_ref().take(most + 1).read_to_end(&mut bytes) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e.into()),
        }
        if bytes.len() as u64 > most {
            return Err(ReadFileError::TooLarge(most));
        }
        let after = file.metadata()?;
        // Guards against the half of a file that is being written in place: replaced by renaming it is whole.
        let same = before.modified().ok() == after.modified().ok() && after.len() == bytes.len() as u64;
        if same {
            return Ok(bytes);
        }
    }
    Err(ReadFileError::Unstable)
}
