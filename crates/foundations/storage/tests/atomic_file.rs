//! Atomic files: ages, damage, concurrent writers, full disks, and files of the former build.
use rustix::fs::{flock, FlockOperation};
use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use storage::{AtomicFile, LoadError};

/// Path of the temporary file that belongs to `path`.
fn temporary_path(path: &Path) -> PathBuf {
    PathBuf::from(format!("{}.new", path.display()))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Bytes of a file in the documented format.
fn encode(kind: &str, version: u32, written_ms: u64, content: &[u8]) -> Vec<u8> {
    let header = format!("herondock-store 1 {kind} {version} {written_ms} {}", content.len());
    let checksum = crc32fast::hash(&[header.as_bytes(), content].concat());
    [format!("{header} {checksum:08x}\n").as_bytes(), content].concat()
}

fn store(name: &str) -> AtomicFile {
    let path = std::env::temp_dir().join(format!("herondock-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    AtomicFile::new(path, "view", 3, 1000)
}

#[test]
fn saved_content_is_loaded_with_its_age() {
    let store = store("complete");
    assert!(store.load().expect("no file is no error").is_none());
    for content in [&b"one"[..], b"", b"two\nlines"] {
        store.save(content).expect("saves");
        let loaded = store.load().expect("no damage").expect("a saved file");
        assert!(loaded.content == content && loaded.age < Duration::from_secs(60));
    }
    assert!(!temporary_path(store.path()).exists());
    let error = store.save(&[0; 1001]).expect_err("too large");
    assert!(error.to_string().contains("1000 at most"), "{error}");
    assert_eq!(
        store.load().expect("no damage").expect("a saved file").content,
        b"two\nlines",
        "the old content remains"
    );
    std::fs::remove_file(store.path()).expect("removes");
}

/// Guards against loading a truncated file, or one with a flipped bit at any position.
#[test]
fn damaged_and_foreign_files_are_rejected_with_the_reason() {
    let store = store("damage");
    store.save(b"the content").expect("saves");
    let good = std::fs::read(store.path()).expect("reads");
    let load = |bytes: &[u8]| {
        std::fs::write(store.path(), bytes).expect("writes");
        store.load().map(|loaded| loaded.expect("a saved file"))
    };
    assert_eq!(load(&good).expect("good").content, b"the content");
    for cut in 0..good.len() {
        assert!(load(&good[..cut]).is_err(), "cut at {cut}");
    }
    for index in 0..good.len() {
        for bit in 0..8 {
            let mut damaged = good.clone();
            damaged[index] ^= 1 << bit;
            // Hexadecimal digits in capitals are the same number.
            let is_equivalent = damaged.to_ascii_lowercase() == good;
            assert!(is_equivalent || load(&damaged).is_err(), "bit {bit} of byte {index}");
        }
    }
    let load_written_at = |written_ms| load(&encode("view", 3, written_ms, b"the content"));
    assert!(matches!(load_written_at(unix_ms() + 120_000), Err(LoadError::WrittenInFuture)));
    assert_eq!(
        load_written_at(unix_ms() + 10_000).expect("within the permitted clock skew").age,
        Duration::ZERO
    );
    let other = AtomicFile::new(store.path(), "view", 4, 1000);
    let error = other.load().expect_err("another version");
    assert!(matches!(&error, LoadError::WrongKind { kind, version: 3 } if kind == "view"));
    assert_eq!(error.to_string(), "holds view in version 3");
    std::fs::write(store.path(), vec![b'x'; 5000]).expect("writes");
    assert!(matches!(store.load(), Err(LoadError::TooLarge)));
    std::fs::remove_file(store.path()).expect("removes");
    assert!(matches!(AtomicFile::new("/dev/zero", "view", 3, 10).load(), Err(LoadError::UnknownFormat)));
}

/// Guards against a temporary file of a process that was killed while saving, which must not prevent later saves, and against
/// two processes that write the same temporary file.
#[test]
fn a_stale_temporary_file_is_overwritten_and_a_locked_one_is_left_alone() {
    let store = store("temporary");
    store.save(b"old").expect("saves");
    std::fs::write(temporary_path(store.path()), vec![b'x'; 5000]).expect("writes");
    assert_eq!(store.load().expect("no damage").expect("a saved file").content, b"old");
    let held = OpenOptions::new().write(true).open(temporary_path(store.path())).expect("opens");
    flock(&held, FlockOperation::NonBlockingLockExclusive).expect("no process holds it");
    let error = store.save(b"new").expect_err("another process is saving");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    drop(held);
    store.save(b"new").expect("saves");
    assert_eq!(store.load().expect("no damage").expect("a saved file").content, b"new");
    std::fs::remove_file(store.path()).expect("removes");
}

/// Guards against losing the old content, or leaving an incomplete temporary file, when the disk is full.
#[test]
fn on_a_full_disk_the_old_content_remains_and_the_error_is_reported() {
    let store = store("full");
    store.save(b"old").expect("saves");
    // A device that is always full, in place of the temporary file.
    std::os::unix::fs::symlink("/dev/full", temporary_path(store.path())).expect("links");
    let error = store.save(b"new").expect_err("no space");
    assert_eq!(error.kind(), ErrorKind::StorageFull, "{error}");
    assert_eq!(store.load().expect("no damage").expect("a saved file").content, b"old");
    std::fs::remove_file(temporary_path(store.path())).expect("removes");
    store.save(b"new").expect("there is space again");
    assert_eq!(store.load().expect("no damage").expect("a saved file").content, b"new");
    std::fs::remove_file(store.path()).expect("removes");
}

/// Guards against rejecting a file that was written long ago, and against an age that is limited or truncated.
#[test]
fn a_file_that_was_written_long_ago_is_loaded_with_its_age() {
    let store = store("old");
    let written_ms = 1_000_000_000_000;
    std::fs::write(store.path(), encode("view", 3, written_ms, b"the content")).expect("writes");
    let before = unix_ms();
    let loaded = store.load().expect("no damage").expect("a saved file");
    let after = unix_ms();
    assert_eq!(loaded.content, b"the content");
    let age = loaded.age.as_millis() as u64;
    assert!((before - written_ms..=after - written_ms).contains(&age), "{age}");
    std::fs::remove_file(store.path()).expect("removes");
}

/// Guards against an upgrade that discards what the former build saved: the fixture is the saved endpoint list that
/// `herondock run` of the former build left.
#[test]
fn a_file_of_the_former_build_is_loaded_and_replaced() {
    const FORMER_BUILD: &[u8] = include_bytes!("fixtures/former-build-endpoints");
    let path = store("former").path().to_path_buf();
    std::fs::write(&path, FORMER_BUILD).expect("writes");
    let store = AtomicFile::new(&path, "members", 1, 1000);
    let loaded = store.load().expect("no damage").expect("a saved file");
    let header_end = FORMER_BUILD.iter().position(|&b| b == b'\n').expect("a header");
    assert_eq!(loaded.content, &FORMER_BUILD[header_end + 1..]);
    let header = std::str::from_utf8(&FORMER_BUILD[..header_end]).expect("text");
    let written_ms: u64 = header.split(' ').nth(4).expect("a time").parse().expect("a number");
    assert_eq!(encode("members", 1, written_ms, &loaded.content), FORMER_BUILD, "the documented format");
    store.save(&loaded.content).expect("saves");
    let saved = std::fs::read(&path).expect("reads");
    assert_eq!(saved[header_end + 1..], FORMER_BUILD[header_end + 1..]);
    std::fs::remove_file(&path).expect("removes");
}
