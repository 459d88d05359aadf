use super::*;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for SharedBuffer {
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
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let lines =
        tracing_subscriber::fmt().event_format(LineFormat).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(lines, || {
        tracing::info!(node = 3, why = "a\nb", "told {}\nto end", "n1");
        tracing::info!("{}", "é".repeat(MAX_LINE_BYTES));
    });
    let text = String::from_utf8(buffer.0.lock().expect("no panic").clone()).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "told n1 to end node=3 why=\"a\\nb\"");
    assert!(lines.len() == 2 && lines[1].len() <= MAX_LINE_BYTES);
}
