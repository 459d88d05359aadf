//! Fault injection for tests (hidden option `--halt-at`): the process is killed at a given disk operation, or its disk is
//! slow.
use std::io;
use std::time::Duration;
use storage::files::Files;

/// Kind of a crash point that delays each sync instead of crashing.
const SLOW: &str = "slow";

/// A disk operation at which the process is killed, written as `KIND:COUNT`: `COUNT` operations of this kind (`read`, `open`,
/// `write`, `cut`, `sync`, `rename` or `names`) succeed before. With the kind `slow`, the process is not killed, and each sync
/// takes `COUNT` milliseconds longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashPoint {
    kind: String,
    /// Operations of this kind that still succeed; for the kind `slow`, the delay of a sync in milliseconds.
    remaining: u64,
}

/// The text is not a crash point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is not of the form KIND:COUNT")]
pub struct ParseCrashPointError;

impl std::str::FromStr for CrashPoint {
    type Err = ParseCrashPointError;

    fn from_str(text: &str) -> Result<CrashPoint, ParseCrashPointError> {
        let (kind, count) = text.split_once(':').ok_or(ParseCrashPointError)?;
        let remaining = count.parse().map_err(|_| ParseCrashPointError)?;
        Ok(CrashPoint { kind: kind.into(), remaining })
    }
}

/// Files with a crash point.
pub struct CrashingFiles<F> {
    files: F,
    crash_point: Option<CrashPoint>,
}

impl<F> CrashingFiles<F> {
    /// Wraps files; `None` for no crash point.
    pub fn new(files: F, crash_point: Option<CrashPoint>) -> CrashingFiles<F> {
        CrashingFiles { files, crash_point }
    }

    /// Counts an operation; returns whether it is the one to crash at.
    fn is_crash_point(&mut self, kind: &str) -> bool {
        match &mut self.crash_point {
            Some(point) if point.kind == kind => {
                point.remaining = point.remaining.wrapping_sub(1);
                point.remaining == u64::MAX
            }
            _ => false,
        }
    }

    fn crash_at(&mut self, kind: &str) {
        if self.is_crash_point(kind) {
            kill_process();
        }
    }

    fn sync_delay(&self) -> Option<Duration> {
        let point = self.crash_point.as_ref().filter(|point| point.kind == SLOW)?;
        Some(Duration::from_millis(point.remaining))
    }
}

/// Ends the process without any cleanup, as `kill -9` does.
fn kill_process() {
    let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::KILL);
}

impl<F: Files> Files for CrashingFiles<F> {
    type Open = F::Open;

    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.crash_at("read");
        self.files.read(name, max_bytes)
    }

    fn open(&mut self, name: &str) -> io::Result<Self::Open> {
        self.crash_at("open");
        self.files.open(name)
    }

    fn write(&mut self, file: &mut Self::Open, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if self.is_crash_point("write") {
            // A torn write: only the first half of the bytes is written.
            let _ = self.files.write(file, offset, &bytes[..bytes.len() / 2]);
            kill_process();
        }
        self.files.write(file, offset, bytes)
    }

    fn truncate(&mut self, file: &mut Self::Open, length: u64) -> io::Result<()> {
        self.crash_at("cut");
        self.files.truncate(file, length)
    }

    fn sync(&mut self, file: &mut Self::Open) -> io::Result<()> {
        self.crash_at("sync");
        if let Some(delay) = self.sync_delay() {
            std::thread::sleep(delay);
        }
        self.files.sync(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.crash_at("rename");
        self.files.rename(from, to)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.crash_at("names");
        self.files.sync_directory()
    }
}
