//! Percentages in configuration files.
use crate::table_reader::TableReader;
use crate::values::ConfigError;
use toml::Spanned;

/// Thousandths that make 100 %.
const PER_MILLE: u32 = 1000;

impl TableReader<'_> {
    /// Parses a percentage with at most one decimal place; the result is in thousandths.
    pub(crate) fn share(&self, key: &str, value: &Spanned<String>) -> Result<u32, ConfigError> {
        let text = value.get_ref();
        parse_share(text).ok_or_else(|| {
            let message =
                format!("{text:?} is not a percentage between 0 % and 100 %, such as \"10 %\" or \"2.5 %\"");
            self.error(value.span().start, key, message)
        })
    }
}

fn parse_share(text: &str) -> Option<u32> {
    let number = text.strip_suffix('%')?.trim();
    let (percent, tenth) = number.split_once('.').unwrap_or((number, "0"));
    let share = digits(percent, 3)? * 10 + digits(tenth, 1)?;
    (share <= PER_MILLE).then_some(share)
}

/// Parses a number of 1 to `max_digits` decimal digits.
fn digits(text: &str, max_digits: usize) -> Option<u32> {
    let is_number =
        !text.is_empty() && text.len() <= max_digits && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}
