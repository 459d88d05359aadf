//! Text tables with aligned columns.
use std::fmt::Write as _;

/// Text between two columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Formats each row as a line, with cells padded to the width of their column. The first row determines the number of
/// columns.
pub fn format_rows(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let widths: Vec<usize> = (0..columns).map(|column| column_width(rows, column)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<String>>().join(COLUMN_SEPARATOR);
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// Width of a column, in characters.
fn column_width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}
