use super::*;
use std::sync::{Arc, Mutex};

/// Buffer that stands in for standard error.
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

/// Guards against line breaks in texts from clients that split one event into two log lines.
#[test]
fn an_event_is_one_line_with_its_fields_after_the_message() {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let subscriber =
        tracing_subscriber::fmt().event_format(LineFormat).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(node = 3, why = "a\nb", "node {}\nis stopping", "n1");
        tracing::info!("{}", "é".repeat(MAX_LINE_BYTES));
    });
    let text = String::from_utf8(buffer.0.lock().expect("no panic").clone()).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "node n1 is stopping node=3 why=\"a\\nb\"");
    assert!(lines.len() == 2 && lines[1].len() <= MAX_LINE_BYTES);
}
