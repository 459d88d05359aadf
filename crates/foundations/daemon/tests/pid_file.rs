//! Pid files: locking, stale files, and files of the former build.
use daemon::pid_file::{holder, PidFile, PidFileError};
use rustix::fs::{flock, FlockOperation};
use std::path::PathBuf;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("herondock-{name}-{}.pid", std::process::id()))
}

#[test]
fn a_pid_file_has_one_holder_whose_process_id_is_reported() {
    let path = path("one");
    let held = PidFile::acquire(&path).expect("no process holds it");
    assert_eq!(holder(&path), Some(std::process::id()));
    let error = PidFile::acquire(&path).err().expect("it is held").to_string();
    assert!(error.ends_with(&format!("held by process {}", std::process::id())), "{error}");
    drop(held);
    assert!(!path.exists() && holder(&path).is_none());
}

/// Guards against refusing to start because of a process that was killed, or a process id that was reused.
#[test]
fn a_stale_pid_file_is_acquired_whatever_it_contains() {
    for content in ["1\n", "not a number", "", "99999999999999999999999999"] {
        let path = path("stale");
        std::fs::write(&path, content).expect("writes");
        assert_eq!(holder(&path), None, "a file has a holder only while it is locked");
        let held = PidFile::acquire(&path).expect("no process holds it");
        assert_eq!(std::fs::read_to_string(&path).expect("reads"), format!("{}\n", std::process::id()));
        drop(held);
    }
}

#[test]
fn a_pid_file_that_was_replaced_is_not_removed() {
    let path = path("replaced");
    let held = PidFile::acquire(&path).expect("no process holds it");
    std::fs::remove_file(&path).expect("removes");
    std::fs::write(&path, "other").expect("writes");
    drop(held);
    assert_eq!(std::fs::read_to_string(&path).expect("still there"), "other");
    std::fs::remove_file(&path).expect("removes");
}

/// Guards against a balancer that does not start, or that its supervisor does not find, because the disk is full.
#[test]
fn on_a_full_disk_the_pid_file_is_held_without_a_process_id() {
    let path = path("full");
    let _ = std::fs::remove_file(&path);
    std::os::unix::fs::symlink("/dev/full", &path).expect("links");
    let held = PidFile::acquire(&path).expect("the lock is acquired");
    let error = held.write_error().expect("no space");
    assert!(error.contains("No space left") && error.contains(&*path.to_string_lossy()), "{error}");
    drop(held);
    assert!(!path.exists() && std::path::Path::new("/dev/full").exists());
    // An empty file, as a file size limit of zero bytes leaves it.
    let held = PidFile::acquire(&path).expect("no process holds it");
    assert_eq!(held.write_error(), None);
    std::fs::write(&path, "").expect("empties");
    assert_eq!(holder(&path), Some(std::process::id()), "the system reports the holder");
    drop(held);
}

/// Guards against a supervisor that does not find the instances of the former build: the fixture is the pid file of
/// such an instance, copied while it ran.
#[test]
fn a_pid_file_of_the_former_build_is_read() {
    let path = path("former");
    let fixture = include_bytes!("fixtures/former-build.pid");
    std::fs::write(&path, fixture).expect("writes");
    let former = std::fs::File::open(&path).expect("opens");
    flock(&former, FlockOperation::NonBlockingLockExclusive).expect("locks");
    let expected: u32 = std::str::from_utf8(fixture).expect("text").trim().parse().expect("a process id");
    assert_eq!(holder(&path), Some(expected));
    match PidFile::acquire(&path) {
        Err(PidFileError::Held { holder: Some(pid), .. }) => assert_eq!(pid, expected),
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("the former build holds it"),
    }
    drop(former);
    let held = PidFile::acquire(&path).expect("the former build has exited");
    assert_eq!(holder(&path), Some(std::process::id()));
    drop(held);
}
