//! Log output: each event of `tracing` is one line on standard error, the message first, then its fields as
//! `name=value`. Lines have no time stamp: the process that reads the log, such as the service manager,
//! adds it.
use std::fmt::{self, Write as _};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Maximum length of a line, in bytes; longer ones are truncated.
const MAX_LINE_BYTES: usize = 16 << 10;

/// Formats an event as a line.
struct LineFormat;

/// Collects the message and the fields of an event.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl Visit for EventText {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Writing to a string cannot fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message.push_str(value),
            _ => self.record_debug(field, &value),
        }
    }
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut text = EventText::default();
        event.record(&mut text);
        let mut line = (text.message + &text.fields).replace('\n', " ");
        if line.len() > MAX_LINE_BYTES {
            let end = (0..=MAX_LINE_BYTES).rev().find(|&index| line.is_char_boundary(index));
            line.truncate(end.unwrap_or(0));
        }
        writeln!(out, "{line}")
    }
}

/// Writer to standard error that ignores errors: `eprintln!` panics when the reader of the log has exited or its disk is
/// full. Each write is one complete line.
struct StandardError;

impl std::io::Write for StandardError {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // There is no other place to report an error to.
        let _ = std::io::stderr().lock().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Installs the log output of this process, for events up to `max_level`. Further calls have no effect.
pub fn init(max_level: Level) {
    let subscriber = tracing_subscriber::fmt()
        .event_format(LineFormat)
        .with_max_level(max_level)
        .with_writer(|| StandardError)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
}

#[cfg(test)]
mod tests;
