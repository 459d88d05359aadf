//! Reader of the values of one TOML table, which reports faults with their position in the file.
use crate::values::{fault_at, path_value, quantity, ConfigError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Maximum length of a text value, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Default and bounds of a duration, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurationRange {
    /// Value of an absent key.
    pub default: u64,
    /// Minimum value.
    pub min: u64,
    /// Maximum value.
    pub max: u64,
}

/// Reader of one table of a file.
pub(crate) struct TableReader<'a> {
    /// Text of the whole file.
    pub text: &'a str,
    /// Path of the table in the file, such as `consul[0]`.
    pub path: String,
}

impl TableReader<'_> {
    /// Path of a key of this table.
    pub(crate) fn field(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Error at a byte offset of the file.
    pub(crate) fn error(&self, offset: usize, key: &str, message: String) -> ConfigError {
        fault_at(self.text, offset, &self.field(key), message)
    }

    /// Parses a duration with a unit.
    pub(crate) fn duration(
        &self,
        key: &str,
        value: Option<Spanned<String>>,
        range: DurationRange,
    ) -> Result<Duration, ConfigError> {
        let [default, min, max] = [range.default, range.min, range.max].map(Duration::from_millis);
        quantity(self.text, &self.field(key), value, default, min, max)
    }

    /// Checks a whole number from 1 to `max`.
    pub(crate) fn count(
        &self,
        key: &str,
        value: Option<Spanned<i64>>,
        default: usize,
        max: usize,
    ) -> Result<usize, ConfigError> {
        let Some(value) = value else { return Ok(default) };
        let count = usize::try_from(*value.get_ref()).ok().filter(|n| (1..=max).contains(n));
        count.ok_or_else(|| self.error(value.span().start, key, format!("is not between 1 and {max}")))
    }

    /// Checks a text of 1 to [`MAX_TEXT_BYTES`] bytes without control characters.
    pub(crate) fn string(&self, key: &str, value: Spanned<String>) -> Result<String, ConfigError> {
        let offset = value.span().start;
        let value = value.into_inner();
        if value.is_empty() || value.len() > MAX_TEXT_BYTES || value.chars().any(char::is_control) {
            let message = format!("is not a text of 1 to {MAX_TEXT_BYTES} bytes without control characters");
            return Err(self.error(offset, key, message));
        }
        Ok(value)
    }

    /// Checks a text that may be absent.
    pub(crate) fn optional_string(
        &self,
        key: &str,
        value: Option<Spanned<String>>,
    ) -> Result<Option<String>, ConfigError> {
        value.map(|value| self.string(key, value)).transpose()
    }

    /// Checks a text with a default.
    pub(crate) fn string_or(
        &self,
        key: &str,
        value: Option<Spanned<String>>,
        default: &str,
    ) -> Result<String, ConfigError> {
        Ok(self.optional_string(key, value)?.unwrap_or_else(|| default.into()))
    }

    /// Checks a list of texts.
    pub(crate) fn strings(
        &self,
        key: &str,
        values: Vec<Spanned<String>>,
    ) -> Result<Vec<String>, ConfigError> {
        values.into_iter().map(|value| self.string(key, value)).collect()
    }

    /// Parses an IP address with a port.
    pub(crate) fn socket_addr(&self, key: &str, value: Spanned<String>) -> Result<SocketAddr, ConfigError> {
        let text = value.get_ref();
        text.parse().map_err(|_| {
            let message = format!("{text:?} is not an IP address with a port, such as \"127.0.0.1:8500\"");
            self.error(value.span().start, key, message)
        })
    }

    /// Checks a path that may be absent.
    pub(crate) fn path(
        &self,
        key: &str,
        value: Option<Spanned<String>>,
    ) -> Result<Option<PathBuf>, ConfigError> {
        path_value(self.text, &self.field(key), value)
    }

    /// Returns the value of a keyword; the first keyword is the default.
    pub(crate) fn keyword<T: Copy>(
        &self,
        key: &str,
        value: Option<Spanned<String>>,
        keywords: &[(&str, T)],
    ) -> Result<T, ConfigError> {
        let Some(value) = value else { return Ok(keywords[0].1) };
        let found = keywords.iter().find(|(keyword, _)| keyword == value.get_ref());
        found.map(|&(_, meaning)| meaning).ok_or_else(|| {
            let names: Vec<&str> = keywords.iter().map(|&(keyword, _)| keyword).collect();
            let message = format!("{:?} is not one of {}", value.get_ref(), names.join(", "));
            self.error(value.span().start, key, message)
        })
    }
}
