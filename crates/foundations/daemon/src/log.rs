//! The log: each event of `tracing` is one line on standard error, its message first and then its fields as
//! `name=value`. A daemon's log is read by whoever started it, which adds the time.
use std::fmt::{self, Write as _};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Longest line, in bytes; what is longer is cut there.
const LINE_MOST: usize = 16 << 10;

struct Lines;

/// Gathers an event's fields, the message first.
#[derive(Default)]
struct Text {
    message: String,
    fields: String,
}

impl Visit for Text {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Writing to a string can't fail.
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

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut text = Text::default();
        event.record(&mut text);
        let mut line = (text.message + &text.fields).replace('\n', " ");
        if line.len() > LINE_MOST {
            let cut = (0..=LINE_MOST).rev().find(|&at| line.is_char_boundary(at));
            line.truncate(cut.unwrap_or(0));
        }
        writeln!(out, "{line}")
    }
}

/// Standard error, one whole line a write. Guards against ending with whoever read the log, and with a full disk under
/// it: `eprintln!` panics then.
struct StandardError;

impl std::io::Write for StandardError {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Nobody is left to tell of an error.
        let _ = std::io::stderr().lock().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Has events of this level and above written from now on, in this process. A second call changes nothing.
pub fn begin(most: Level) {
    let lines = tracing_subscriber::fmt()
        .event_format(Lines)
        .with_max_level(most)
        .with_writer(|| StandardError)
        .finish();
    let _ = tracing::subscriber::set_global_default(lines);
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::{Arc, Mutex};

    #[derive(Clone, Default)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl std::io::Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().expect("no panic").extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    /// Guards against a text from outside that makes two lines of one event.
    #[test]
    fn an_event_is_one_line_with_its_fields_behind_it() {
        let kept = Kept::default();
        let writer = kept.clone();
        let lines =
            tracing_subscriber::fmt().event_format(Lines).with_writer(move || writer.clone()).finish();
        tracing::subscriber::with_default(lines, || {
            tracing::info!(node = 3, why = "a\nb", "told {}\nto end", "n1");
            tracing::info!("{}", "é".repeat(LINE_MOST));
        });
        let text = String::from_utf8(kept.0.lock().expect("no panic").clone()).expect("text");
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines[0], "told n1 to end node=3 why=\"a\\nb\"");
        assert!(lines.len() == 2 && lines[1].len() <= LINE_MOST);
    }
}
