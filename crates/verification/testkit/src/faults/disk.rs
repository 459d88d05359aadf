//! The disk of a running process, without privileges: the limit on the size of its files stands for the room on it.
//! What a process writes past it fails with EFBIG (and SIGXFSZ, which ends a process that does not catch it), as it does
//! with ENOSPC where no room is left.
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::io;

fn limit(pid: u32, bytes: Option<u64>) -> io::Result<()> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
    // Only the soft limit: one that was lowered for good could not be raised again.
    let before = rustix::process::getrlimit(Resource::Fsize);
    prlimit(
        Some(pid),
        Resource::Fsize,
        Rlimit { current: bytes.or(before.maximum), maximum: before.maximum },
    )?;
    Ok(())
}

/// From now on no file of this process, which we started, can grow past so many bytes.
///
/// # Errors
/// It has ended, or is not ours.
pub fn limit_file_size(pid: u32, bytes: u64) -> io::Result<()> {
    limit(pid, Some(bytes))
}

/// There is room again.
///
/// # Errors
/// It has ended, or is not ours.
pub fn remove_limit(pid: u32) -> io::Result<()> {
    limit(pid, None)
}
