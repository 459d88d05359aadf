//! Rows of text with their columns one below the other.
use std::fmt::Write as _;

/// Each row on a line; all have as many cells as the first.
pub fn lines(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |k: usize| rows.iter().filter_map(|r| r.get(k)).map(|c| c.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let line: Vec<String> = row.iter().zip(&widths).map(|(cell, &w)| format!("{cell:<w$}")).collect();
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", line.join("  ").trim_end());
    }
    text
}
