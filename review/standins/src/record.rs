//! The record of a run: what was sent, answered and run, with times since its start.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Begins the record; times count from now.
pub fn begin(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    Ok(())
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{:9.4} {text}", start.elapsed().as_secs_f64());
        }
    }
}

/// Writes a line and prints it.
pub fn report(text: &str) {
    line(text);
    println!("{text}");
}
