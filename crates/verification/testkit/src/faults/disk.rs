//! Simulates a full disk for a running process without privileges by limiting its file size. A write beyond
//! the limit fails with EFBIG (and raises SIGXFSZ, which ends a process that does not catch it), as it fails
//! with ENOSPC on a full disk.
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::io;

fn limit(pid: u32, bytes: Option<u64>) -> io::Result<()> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
    // Changes only the soft limit: a lowered hard limit could not be raised again.
    let before = rustix::process::getrlimit(Resource::Fsize);
    prlimit(
        Some(pid),
        Resource::Fsize,
        Rlimit { current: bytes.or(before.maximum), maximum: before.maximum },
    )?;
    Ok(())
}

/// Prevents every file of this process, which the caller started, from growing beyond `bytes`.
///
/// # Errors
/// The process has ended or belongs to another user.
pub fn limit_file_size(pid: u32, bytes: u64) -> io::Result<()> {
    limit(pid, Some(bytes))
}

/// Removes the limit again.
///
/// # Errors
/// The process has ended or belongs to another user.
pub fn remove_limit(pid: u32) -> io::Result<()> {
    limit(pid, None)
}
