//! The pid file: one process holds it, by a lock that the system gives back however that process ends. A stale file,
//! left by one that was killed, is no obstacle; what it says counts only while it is locked. It is the lock that counts:
//! a holder that could not write its number, on a full disk, holds it all the same, and the system says who it is.
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Longest content that is read of a pid file.
const CONTENT_MOST: u64 = 64;
/// How often a lock is tried for while the file is replaced under it.
const TRIES: usize = 5;
/// How often a lock that is to be given up is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// A pid file that this process holds. It is emptied, and removed if it is still the same file, when dropped.
pub struct PidFile {
    file: File,
    path: PathBuf,
    unwritten: Option<String>,
}

/// Who holds the file at this path now, if anybody does. 0: somebody of whom neither the file nor the system says who.
pub fn holder(path: &Path) -> Option<u32> {
    let file = File::open(path).ok()?;
    match flock(&file, FlockOperation::NonBlockingLockShared) {
        Err(Errno::WOULDBLOCK) => Some(read(&file).or_else(|| by_the_system(&file)).unwrap_or(0)),
        _ => None,
    }
}

/// Who holds the lock, by `/proc/locks`, of which each line is
/// `NUMBER: FLOCK ADVISORY WRITE PID MAJOR:MINOR:INODE START END`.
fn by_the_system(file: &File) -> Option<u32> {
    let about = file.metadata().ok()?;
    let inode = about.ino();
    let device =
        format!("{:02x}:{:02x}:{inode}", rustix::fs::major(about.dev()), rustix::fs::minor(about.dev()));
    let locks = std::fs::read_to_string("/proc/locks").ok()?;
    let mut held = locks.lines().filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, "FLOCK", _, "WRITE", pid, place, ..] = words[..] else { return None };
        // Some file systems name another device here than they do elsewhere; their numbers are as good as unique.
        let here = place == device || place.rsplit(':').next() == Some(&inode.to_string());
        if here {
            pid.parse().ok()
        } else {
            None
        }
    });
    let first = held.next()?;
    held.all(|other| other == first).then_some(first)
}

fn read(file: &File) -> Option<u32> {
    let mut text = String::new();
    file.take(CONTENT_MOST).read_to_string(&mut text).ok()?;
    text.trim().parse().ok()
}

impl PidFile {
    /// Takes the file for this process.
    ///
    /// # Errors
    /// It can't be opened, or another process holds it: the line names path and process. That its number could not be
    /// written is none; see [`PidFile::unwritten`].
    pub fn take(path: &Path) -> Result<PidFile, String> {
        let fault = |what: String| format!("{}: {what}", path.display());
        for _ in 0..TRIES {
            let opened = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
            let mut file = opened.map_err(|e| fault(e.to_string()))?;
            match flock(&file, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => {}
                Err(Errno::WOULDBLOCK) => {
                    let whose = read(&file).or_else(|| by_the_system(&file));
                    let whose = whose.map_or("another process".into(), |pid| format!("process {pid}"));
                    return Err(fault(format!("held by {whose}")));
                }
                Err(e) => return Err(fault(e.to_string())),
            }
            // Guards against a lock on a file that its last holder removed between our opening and locking it.
            if same(&file, path) {
                let write = |file: &mut File| {
                    if file.metadata()?.len() > 0 {
                        file.set_len(0)?;
                    }
                    file.rewind()?;
                    writeln!(file, "{}", std::process::id())
                };
                let unwritten = write(&mut file)
                    .err()
                    .map(|e| fault(format!("{e}; it is held, without the number of its process")));
                return Ok(PidFile { file, path: path.into(), unwritten });
            }
        }
        Err(fault("goes on being replaced".into()))
    }

    /// Why it does not hold this process's number, if it does not.
    pub fn unwritten(&self) -> Option<&str> {
        self.unwritten.as_deref()
    }

    /// The same once its holder has given it up: a predecessor does so at its end. `None`: not within `most`.
    pub async fn take_after(path: &Path, most: Duration) -> Result<PidFile, String> {
        let until = Instant::now() + most;
        loop {
            match PidFile::take(path) {
                Err(e) if Instant::now() >= until || holder(path).is_none() => return Err(e),
                Err(_) => tokio::time::sleep(LOOK).await,
                Ok(file) => return Ok(file),
            }
        }
    }
}

fn same(file: &File, path: &Path) -> bool {
    let here = file.metadata().map(|m| (m.dev(), m.ino()));
    let there = std::fs::metadata(path).map(|m| (m.dev(), m.ino()));
    matches!((here, there), (Ok(here), Ok(there)) if here == there)
}

impl Drop for PidFile {
    fn drop(&mut self) {
        // Removed while it is still locked: whoever opened it before finds out by `same`.
        if same(&self.file, &self.path) {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn path(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("herondock-{name}-{}.pid", std::process::id()))
    }

    #[test]
    fn a_file_has_one_holder_who_is_named() {
        let path = path("one");
        let held = PidFile::take(&path).expect("nobody holds it");
        assert_eq!(holder(&path), Some(std::process::id()));
        let error = PidFile::take(&path).err().expect("it is held");
        assert!(error.ends_with(&format!("held by process {}", std::process::id())), "{error}");
        drop(held);
        assert!(!path.exists() && holder(&path).is_none());
    }

    /// Guards against refusing to start because of a process that was killed, or a number that another process has now.
    #[test]
    fn a_stale_file_is_taken_over_whatever_it_says() {
        for content in ["1\n", "not a number", "", "99999999999999999999999999"] {
            let path = path("stale");
            std::fs::write(&path, content).expect("writes");
            assert_eq!(holder(&path), None, "it counts only while it is locked");
            let held = PidFile::take(&path).expect("nobody holds it");
            assert_eq!(std::fs::read_to_string(&path).expect("reads"), format!("{}\n", std::process::id()));
            drop(held);
        }
    }

    #[test]
    fn a_file_that_another_has_put_in_its_place_is_left_alone() {
        let path = path("replaced");
        let held = PidFile::take(&path).expect("nobody holds it");
        std::fs::remove_file(&path).expect("removes");
        std::fs::write(&path, "other").expect("writes");
        drop(held);
        assert_eq!(std::fs::read_to_string(&path).expect("still there"), "other");
        std::fs::remove_file(&path).expect("removes");
    }

    /// Guards against a balancer that does not start, or that its supervisor does not find, because the disk is full.
    #[test]
    fn on_a_full_disk_it_is_held_without_a_number() {
        let path = path("full");
        let _ = std::fs::remove_file(&path);
        std::os::unix::fs::symlink("/dev/full", &path).expect("links");
        let held = PidFile::take(&path).expect("the lock is what counts");
        let fault = held.unwritten().expect("no room");
        assert!(fault.contains("No space left") && fault.contains(&*path.to_string_lossy()), "{fault}");
        drop(held);
        assert!(!path.exists() && std::path::Path::new("/dev/full").exists());
        // Empty, as a limit of zero bytes leaves it.
        let held = PidFile::take(&path).expect("nobody holds it");
        assert_eq!(held.unwritten(), None);
        held.file.set_len(0).expect("empties");
        assert_eq!(holder(&path), Some(std::process::id()), "the system says who");
    }
}
