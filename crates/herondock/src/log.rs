//! The program's log: one line an event, on standard error.
use std::fmt::Arguments;
use std::io::Write;

/// Writes a line. Guards against ending with whoever read the log: `eprintln!` panics when nobody does.
pub fn write(line: Arguments) {
    let mut text = line.to_string().replace('\n', " ");
    text.push('\n');
    // Nobody is left to tell.
    let _ = std::io::stderr().lock().write_all(text.as_bytes());
}

/// Writes a line to the log, formatted as by `format!`.
macro_rules! log {
    ($($part:tt)*) => { $crate::log::write(format_args!($($part)*)) };
}
pub(crate) use log;
