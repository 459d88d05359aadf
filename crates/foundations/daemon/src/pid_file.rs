//! Pid file, which one process holds by a file lock. The system releases the lock whichever way that process ends.
//!
//! Only the lock determines the holder. A stale file of a killed process does not prevent a start, and a holder that could
//! not write its process id because the disk is full still holds the file; it is then identified by the kernel's table of
//! file locks.
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of bytes that are read from a pid file.
const MAX_CONTENT_BYTES: u64 = 64;
/// Number of attempts to lock a file that other processes keep replacing.
const MAX_LOCK_ATTEMPTS: usize = 5;
/// Interval at which acquiring a held lock is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Path of the kernel's table of file locks.
const LOCK_TABLE: &str = "/proc/locks";

/// Error: a pid file could not be acquired.
#[derive(Debug, Error)]
pub enum PidFileError {
    /// The file cannot be opened or locked.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the pid file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// Another process holds the file.
    #[error("{}: held by {}", path.display(), describe_holder(*holder))]
    Held {
        /// Path of the pid file.
        path: PathBuf,
        /// Process id of the holder, if it is known.
        holder: Option<u32>,
    },
    /// Other processes kept replacing the file.
    #[error("{}: other processes keep replacing the file", path.display())]
    Replaced {
        /// Path of the pid file.
        path: PathBuf,
    },
}

fn describe_holder(holder: Option<u32>) -> String {
    holder.map_or("another process".into(), |pid| format!("process {pid}"))
}

/// A pid file that this process holds. When dropped, the file is removed, unless another one has replaced it.
pub struct PidFile {
    file: File,
    path: PathBuf,
    write_error: Option<String>,
}

/// Process id of the holder of the pid file; `None` if no process holds it, 0 if the holder is unknown.
pub fn holder(path: &Path) -> Option<u32> {
    let file = File::open(path).ok()?;
    match flock(&file, FlockOperation::NonBlockingLockShared) {
        Err(Errno::WOULDBLOCK) => Some(identify_holder(&file).unwrap_or(0)),
        _ => None,
    }
}

/// Process id of the holder of the lock, from the content of the file or else from [`LOCK_TABLE`].
fn identify_holder(file: &File) -> Option<u32> {
    read_pid(file).or_else(|| holder_by_lock_table(file))
}

/// Finds the holder in [`LOCK_TABLE`]. Each line has the form
/// `NUMBER: FLOCK ADVISORY WRITE PID MAJOR:MINOR:INODE START END`.
fn holder_by_lock_table(file: &File) -> Option<u32> {
    let metadata = file.metadata().ok()?;
    let (device, inode) = (metadata.dev(), metadata.ino().to_string());
    let location = format!("{:02x}:{:02x}:{inode}", rustix::fs::major(device), rustix::fs::minor(device));
    let locks = std::fs::read_to_string(LOCK_TABLE).ok()?;
    let mut holders = locks.lines().filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, "FLOCK", _, "WRITE", pid, locked, ..] = words[..] else { return None };
        // Some file systems report another device here than `stat(2)` does; the inode number alone is almost certainly unique.
        let same_file = locked == location || locked.rsplit(':').next() == Some(&inode);
        same_file.then(|| pid.parse().ok()).flatten()
    });
    let first = holders.next()?;
    holders.all(|other| other == first).then_some(first)
}

fn read_pid(file: &File) -> Option<u32> {
    let mut text = String::new();
    file.take(MAX_CONTENT_BYTES).read_to_string(&mut text).ok()?;
    text.trim().parse().ok()
}

fn write_pid(file: &mut File) -> io::Result<()> {
    if file.metadata()?.len() > 0 {
        file.set_len(0)?;
    }
    file.rewind()?;
    writeln!(file, "{}", std::process::id())
}

impl PidFile {
    /// Acquires the file for this process. A process id that cannot be written is no error; see
    /// [`PidFile::write_error`].
    ///
    /// # Errors
    /// The file cannot be opened, or another process holds it.
    pub fn acquire(path: &Path) -> Result<PidFile, PidFileError> {
        let io_error = |source| PidFileError::Io { path: path.into(), source };
        for _ in 0..MAX_LOCK_ATTEMPTS {
            let mut options = OpenOptions::new();
            options.read(true).write(true).create(true).truncate(false);
            let mut file = options.open(path).map_err(io_error)?;
            match flock(&file, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => {}
                Err(Errno::WOULDBLOCK) => {
                    let holder = identify_holder(&file);
                    return Err(PidFileError::Held { path: path.into(), holder });
                }
                Err(e) => return Err(io_error(e.into())),
            }
            // Checks that the former holder has not removed the file after it was opened here.
            if is_file_at(&file, path) {
                let write_error = write_pid(&mut file).err().map(|e| {
                    format!(
                        "{}: {e}; the lock is held, but the process id is not in the file",
                        path.display()
                    )
                });
                return Ok(PidFile { file, path: path.into(), write_error });
            }
        }
        Err(PidFileError::Replaced { path: path.into() })
    }

    /// Reason why the file does not contain the process id; `None` if it does.
    pub fn write_error(&self) -> Option<&str> {
        self.write_error.as_deref()
    }

    /// Acquires the file once its holder releases it, as a predecessor does when it exits.
    ///
    /// # Errors
    /// As [`PidFile::acquire`], except that a held file is an error only after `timeout`.
    pub async fn acquire_with_timeout(path: &Path, timeout: Duration) -> Result<PidFile, PidFileError> {
        let deadline = Instant::now() + timeout;
        loop {
            match PidFile::acquire(path) {
                Err(e) if Instant::now() >= deadline || holder(path).is_none() => return Err(e),
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
                Ok(file) => return Ok(file),
            }
        }
    }
}

/// Whether the open file is the one at this path.
fn is_file_at(file: &File, path: &Path) -> bool {
    let opened = file.metadata().map(|m| (m.dev(), m.ino()));
    let at_path = std::fs::metadata(path).map(|m| (m.dev(), m.ino()));
    matches!((opened, at_path), (Ok(opened), Ok(at_path)) if opened == at_path)
}

impl Drop for PidFile {
    fn drop(&mut self) {
        // The file is removed while it is still locked: a process that opened it before notices this by `is_file_at`.
        if is_file_at(&self.file, &self.path) {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}
