//! Durable state. Two forms: a file that is whole ([`AtomicFile`]), and a journal that grows ([`journal`]).
//!
//! One file for each thing that must outlive a process. What is loaded is what was saved whole at one
//! time, or is named as damaged; nothing in between.
//!
//! A file is one line and then the content:
//!
//! ```text
//! herondock-store 1 KIND VERSION WRITTEN LENGTH CRC32\n
//! ```
//!
//! `KIND` and `VERSION` say what the content is and which form it has, `WRITTEN` when (Unix time in milliseconds),
//! `LENGTH` how many bytes follow, and `CRC32` (IEEE 802.3, eight hexadecimal digits) is that of the line before it and
//! the content, so that a flipped age is found as well. It is written beside the old file, flushed to the disk, and
//! renamed over it: a crash at any moment leaves the old one or the new one.
pub mod files;
pub mod journal;

use rustix::fs::{flock, FlockOperation};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MAGIC: &str = "herondock-store 1";
/// Longest first line: the magic, a kind, five numbers.
const LINE_MOST: usize = 160;
/// Longest name of a kind.
pub const MAX_KIND_BYTES: usize = 32;
/// How far in the future a file may have been written before its age counts as unknown: clocks are set back a little
/// now and then.
const FUTURE_MOST: Duration = Duration::from_secs(60);
/// How often the file beside is opened again that another process has just renamed away.
const TRIES: usize = 5;

/// One file.
#[derive(Clone, Debug)]
pub struct AtomicFile {
    path: PathBuf,
    kind: &'static str,
    version: u32,
    most: usize,
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedContent {
    /// As it was saved.
    pub content: Vec<u8>,
    /// How long ago.
    pub age: Duration,
}

/// Why a file is passed over.
#[derive(Debug)]
pub enum LoadError {
    /// It can't be read.
    Unreadable(io::Error),
    /// It holds more than it may.
    TooLarge,
    /// It is no file of this form.
    Foreign,
    /// It is of another kind or version, which it names.
    Other(String),
    /// It is cut short, or longer than it says.
    Length,
    /// Its checksum differs.
    Checksum,
    /// It was written in the future, so that its age is unknown.
    Future,
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Unreadable(e) => write!(f, "{e}"),
            LoadError::TooLarge => f.write_str("holds more than it may"),
            LoadError::Foreign => f.write_str("is no file that herondock wrote"),
            LoadError::Other(what) => write!(f, "holds {what}"),
            LoadError::Length => f.write_str("is cut short, or has grown"),
            LoadError::Checksum => f.write_str("its checksum differs"),
            LoadError::Future => f.write_str("was written in the future, by this machine's clock"),
        }
    }
}

impl std::error::Error for LoadError {}

impl AtomicFile {
    /// A file for content of this kind (1 to [`MAX_KIND_BYTES`] letters, digits and `-`) in this version, `most` bytes at
    /// most. Opens nothing.
    pub fn new(path: impl Into<PathBuf>, kind: &'static str, version: u32, most: usize) -> AtomicFile {
        debug_assert!((1..=MAX_KIND_BYTES).contains(&kind.len()));
        AtomicFile { path: path.into(), kind, version, most }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What was saved last; `None`: nothing yet.
    ///
    /// # Errors
    /// The file is not what [`AtomicFile::save`] left, or of another kind or version.
    pub fn load(&self) -> Result<Option<LoadedContent>, LoadError> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(LoadError::Unreadable(e)),
        };
        let most = (self.most + LINE_MOST) as u64;
        let mut bytes = Vec::new();
        // A pipe or a device in its place would wait, or go on for ever.
        if !file.metadata().map_err(LoadError::Unreadable)?.is_file() {
            return Err(LoadError::Foreign);
        }
        (&file).take(most + 1).read_to_end(&mut bytes).map_err(LoadError::Unreadable)?;
        if bytes.len() as u64 > most {
            return Err(LoadError::TooLarge);
        }
        self.read(&bytes, unix_ms()).map(Some)
    }

    fn read(&self, bytes: &[u8], now: u64) -> Result<LoadedContent, LoadError> {
        let end = bytes.iter().take(LINE_MOST).position(|&b| b == b'\n').ok_or(LoadError::Foreign)?;
        let line = std::str::from_utf8(&bytes[..end]).map_err(|_| LoadError::Foreign)?;
        let (head, sum) = line.rsplit_once(' ').ok_or(LoadError::Foreign)?;
        let fields = head.strip_prefix(MAGIC).and_then(|rest| rest.strip_prefix(' '));
        let fields: Vec<&str> = fields.ok_or(LoadError::Foreign)?.split(' ').collect();
        let [kind, version, written, length] = fields[..] else { return Err(LoadError::Foreign) };
        let number = |text: &str| text.parse::<u64>().map_err(|_| LoadError::Foreign);
        let (version, written, length) = (number(version)?, number(written)?, number(length)?);
        let content = &bytes[end + 1..];
        if length != content.len() as u64 {
            return Err(LoadError::Length);
        }
        if u32::from_str_radix(sum, 16).map_err(|_| LoadError::Foreign)? != checksum(head, content) {
            return Err(LoadError::Checksum);
        }
        // Only now: a kind with a flipped bit is damage and no other kind.
        if kind != self.kind || version != u64::from(self.version) {
            return Err(LoadError::Other(format!("{kind} in version {version}")));
        }
        if written > now.saturating_add(FUTURE_MOST.as_millis() as u64) {
            return Err(LoadError::Future);
        }
        let age = Duration::from_millis(now.saturating_sub(written));
        Ok(LoadedContent { content: content.to_vec(), age })
    }

    /// Saves this in place of what there was. Waits for the disk: not for a thread that serves.
    ///
    /// # Errors
    /// It is too large, or the system says why not; the old content stands. `WouldBlock`: another process is saving.
    pub fn save(&self, content: &[u8]) -> io::Result<()> {
        if content.len() > self.most {
            let what = format!("{} bytes, and {} at most are kept", content.len(), self.most);
            return Err(io::Error::new(ErrorKind::FileTooLarge, what));
        }
        let beside = beside(&self.path);
        let mut file = claim(&beside)?;
        if let Err(e) = self.write(&mut file, content) {
            // What was written of it is no use to anybody, and takes room that may be short.
            let _ = file.set_len(0);
            return Err(e);
        }
        std::fs::rename(&beside, &self.path)?;
        // The name as well has to be on the disk. Where a folder can't be flushed, the file is whole all the same.
        let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        if let Ok(folder) = File::open(folder) {
            let _ = folder.sync_all();
        }
        Ok(())
    }

    fn write(&self, file: &mut File, content: &[u8]) -> io::Result<()> {
        let head = format!("{MAGIC} {} {} {} {}", self.kind, self.version, unix_ms(), content.len());
        if file.metadata()?.len() > 0 {
            file.set_len(0)?;
        }
        file.write_all(format!("{head} {:08x}\n", checksum(&head, content)).as_bytes())?;
        file.write_all(content)?;
        file.sync_all()
    }
}

fn beside(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

/// The file beside, for this process alone. One name for all, so that a killed process leaves one file at most.
fn claim(beside: &Path) -> io::Result<File> {
    for _ in 0..TRIES {
        let file = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(beside)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        // Guards against writing into what another process renamed between our opening and locking it.
        let (here, there) = (file.metadata()?, std::fs::metadata(beside));
        if there.is_ok_and(|there| (here.dev(), here.ino()) == (there.dev(), there.ino())) {
            return Ok(file);
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

fn checksum(head: &str, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head.as_bytes());
    hasher.update(content);
    hasher.finalize()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn store(name: &str) -> AtomicFile {
        let path = std::env::temp_dir().join(format!("herondock-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        AtomicFile::new(path, "view", 3, 1000)
    }

    #[test]
    fn what_is_saved_is_loaded_with_its_age() {
        let store = store("whole");
        assert!(store.load().expect("nothing yet").is_none());
        for content in [&b"one"[..], b"", b"two\nlines"] {
            store.save(content).expect("saves");
            let kept = store.load().expect("whole").expect("there");
            assert!(kept.content == content && kept.age < Duration::from_secs(60));
        }
        assert!(!beside(store.path()).exists());
        let error = store.save(&[0; 1001]).expect_err("too large");
        assert!(error.to_string().contains("1000 at most"), "{error}");
        assert_eq!(store.load().expect("whole").expect("there").content, b"two\nlines", "the old one stands");
        std::fs::remove_file(store.path()).expect("removes");
    }

    /// Guards against taking half of a file, or one with a flipped bit anywhere, for what was saved.
    #[test]
    fn every_damage_is_named_and_none_is_taken() {
        let store = store("damage");
        store.save(b"the content").expect("saves");
        let good = std::fs::read(store.path()).expect("reads");
        let now = unix_ms();
        assert_eq!(store.read(&good, now).expect("good").content, b"the content");
        for cut in 0..good.len() {
            assert!(store.read(&good[..cut], now).is_err(), "cut at {cut}");
        }
        for at in 0..good.len() {
            for bit in 0..8 {
                let mut bad = good.clone();
                bad[at] ^= 1 << bit;
                // Hexadecimal digits in capitals are the same number.
                let same = bad.to_ascii_lowercase() == good;
                assert!(same || store.read(&bad, now).is_err(), "bit {bit} of byte {at}");
            }
        }
        assert!(matches!(store.read(&good, now - 120_000), Err(LoadError::Future)));
        assert_eq!(store.read(&good, now - 10_000).expect("a clock set back a little").age, Duration::ZERO);
        let other = AtomicFile { version: 4, ..store.clone() };
        assert!(matches!(other.load(), Err(LoadError::Other(what)) if what == "view in version 3"));
        std::fs::write(store.path(), vec![b'x'; 5000]).expect("writes");
        assert!(matches!(store.load(), Err(LoadError::TooLarge)));
        std::fs::remove_file(store.path()).expect("removes");
        assert!(matches!(AtomicFile::new("/dev/zero", "view", 3, 10).load(), Err(LoadError::Foreign)));
    }

    /// Guards against what a process that was killed while it saved left behind, and against two that save at once.
    #[test]
    fn a_half_written_file_beside_is_no_obstacle_and_a_held_one_is_left_alone() {
        let store = store("beside");
        store.save(b"old").expect("saves");
        std::fs::write(beside(store.path()), vec![b'x'; 5000]).expect("writes");
        assert_eq!(store.load().expect("whole").expect("there").content, b"old");
        let held = claim(&beside(store.path())).expect("nobody holds it");
        let error = store.save(b"new").expect_err("another is saving");
        assert_eq!(error.kind(), ErrorKind::WouldBlock);
        drop(held);
        store.save(b"new").expect("saves");
        assert_eq!(store.load().expect("whole").expect("there").content, b"new");
        std::fs::remove_file(store.path()).expect("removes");
    }

    /// Guards against losing the old content, or leaving half of the new one lying about, when the disk is full.
    #[test]
    fn on_a_full_disk_the_old_content_stands_and_the_fault_is_named() {
        let store = store("full");
        store.save(b"old").expect("saves");
        // A device that has no room for anything, in place of the file beside.
        std::os::unix::fs::symlink("/dev/full", beside(store.path())).expect("links");
        let error = store.save(b"new").expect_err("no room");
        assert_eq!(error.kind(), ErrorKind::StorageFull, "{error}");
        assert_eq!(store.load().expect("whole").expect("there").content, b"old");
        std::fs::remove_file(beside(store.path())).expect("removes");
        store.save(b"new").expect("there is room again");
        assert_eq!(store.load().expect("whole").expect("there").content, b"new");
        std::fs::remove_file(store.path()).expect("removes");
    }
}
