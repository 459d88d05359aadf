//! A file whose entire content is replaced atomically. It consists of a header line and the content:
//!
//! ```text
//! herondock-store 1 KIND VERSION WRITTEN LENGTH CRC32\n
//! ```
//!
//! `KIND` and `VERSION` identify the form of the content, `WRITTEN` is the time of writing (Unix time in milliseconds),
//! `LENGTH` the number of content bytes, and `CRC32` (IEEE 802.3, eight hexadecimal digits) the checksum of the preceding
//! header fields and the content, so that a corrupted time is detected as well.
//!
//! New content is written to a temporary file in the same directory, flushed to the disk, and renamed over the old file: a
//! crash at any time leaves the old or the new content.
use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

const MAGIC: &str = "herondock-store 1";
/// Maximum length of the header line, in bytes: the magic, a kind and five numbers.
const MAX_HEADER_BYTES: usize = 160;
/// Maximum length of a kind, in bytes.
pub const MAX_KIND_BYTES: usize = 32;
/// Maximum time that a file may appear to be written in the future: clocks are occasionally set back a little.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);
/// Number of attempts to lock the temporary file while other processes rename it away.
const MAX_LOCK_ATTEMPTS: usize = 5;
/// Mode of the file: readable by its owner only.
const FILE_MODE: u32 = 0o600;
/// Suffix of the path of the temporary file, after the path of the file.
const TEMPORARY_SUFFIX: &str = ".new";

/// A file whose entire content is replaced atomically.
#[derive(Clone, Debug)]
pub struct AtomicFile {
    path: PathBuf,
    kind: &'static str,
    version: u32,
    /// Maximum length of the content, in bytes.
    max_bytes: usize,
}

/// Content of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedContent {
    /// The bytes as they were saved.
    pub content: Vec<u8>,
    /// Time since they were saved.
    pub age: Duration,
}

/// Error of loading a file.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The content is longer than allowed.
    #[error("is larger than the limit")]
    TooLarge,
    /// The file has no valid header.
    #[error("is not a file written by herondock")]
    UnknownFormat,
    /// The content is of another kind or version.
    #[error("holds {kind} in version {version}")]
    WrongKind {
        /// Kind of the content.
        kind: String,
        /// Version of the content.
        version: u64,
    },
    /// The content is shorter or longer than the header states.
    #[error("its length differs from the one in its header")]
    LengthMismatch,
    /// The checksum does not match.
    #[error("its checksum differs")]
    ChecksumMismatch,
    /// The file was written in the future, so that its age is unknown.
    #[error("was written in the future according to this machine's clock")]
    WrittenInFuture,
}

impl AtomicFile {
    /// Returns a file for content of this kind (1 to [`MAX_KIND_BYTES`] letters, digits and `-`) and version, of up to
    /// `max_bytes`. Does not access the disk.
    pub fn new(path: impl Into<PathBuf>, kind: &'static str, version: u32, max_bytes: usize) -> AtomicFile {
        debug_assert!((1..=MAX_KIND_BYTES).contains(&kind.len()));
        AtomicFile { path: path.into(), kind, version, max_bytes }
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Loads what was saved last; `None` if there is no file.
    ///
    /// # Errors
    /// The file cannot be read, is damaged, or is of another kind or version.
    pub fn load(&self) -> Result<Option<LoadedContent>, LoadError> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(LoadError::Unreadable(e)),
        };
        // Reading a pipe or device could block or never end.
        if !file.metadata().map_err(LoadError::Unreadable)?.is_file() {
            return Err(LoadError::UnknownFormat);
        }
        let max_file_bytes = (self.max_bytes + MAX_HEADER_BYTES) as u64;
        let mut bytes = Vec::new();
        (&file).take(max_file_bytes + 1).read_to_end(&mut bytes).map_err(LoadError::Unreadable)?;
        if bytes.len() as u64 > max_file_bytes {
            return Err(LoadError::TooLarge);
        }
        self.parse(&bytes, unix_ms()).map(Some)
    }

    fn parse(&self, bytes: &[u8], now_ms: u64) -> Result<LoadedContent, LoadError> {
        let header_end = bytes.iter().take(MAX_HEADER_BYTES).position(|&b| b == b'\n');
        let header_end = header_end.ok_or(LoadError::UnknownFormat)?;
        let header = Header::parse(&bytes[..header_end]).ok_or(LoadError::UnknownFormat)?;
        let content = &bytes[header_end + 1..];
        if header.length != content.len() as u64 {
            return Err(LoadError::LengthMismatch);
        }
        let expected = u32::from_str_radix(header.checksum, 16).map_err(|_| LoadError::UnknownFormat)?;
        if expected != checksum(header.checked, content) {
            return Err(LoadError::ChecksumMismatch);
        }
        // Compared after the checksum, so that a corrupted kind is reported as damage and not as another kind.
        if header.kind != self.kind || header.version != u64::from(self.version) {
            return Err(LoadError::WrongKind { kind: header.kind.into(), version: header.version });
        }
        if header.written_ms > now_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64) {
            return Err(LoadError::WrittenInFuture);
        }
        let age = Duration::from_millis(now_ms.saturating_sub(header.written_ms));
        Ok(LoadedContent { content: content.to_vec(), age })
    }

    /// Replaces the content of the file. Blocks until it is on the disk.
    ///
    /// # Errors
    /// The content is too large, or the system reports an error; the old content remains. `WouldBlock`: another process
    /// is saving.
    pub fn save(&self, content: &[u8]) -> io::Result<()> {
        if content.len() > self.max_bytes {
            let message =
                format!("the content has {} bytes, {} at most are permitted", content.len(), self.max_bytes);
            return Err(io::Error::new(ErrorKind::FileTooLarge, message));
        }
        let temporary_path = temporary_path(&self.path);
        let mut file = lock_temporary_file(&temporary_path)?;
        if let Err(e) = self.write(&mut file, content) {
            // The incomplete file is useless, and the disk may be full.
            let _ = file.set_len(0);
            return Err(e);
        }
        std::fs::rename(&temporary_path, &self.path)?;
        self.sync_directory();
        Ok(())
    }

    fn write(&self, file: &mut File, content: &[u8]) -> io::Result<()> {
        let header = format!("{MAGIC} {} {} {} {}", self.kind, self.version, unix_ms(), content.len());
        if file.metadata()?.len() > 0 {
            file.set_len(0)?;
        }
        file.write_all(format!("{header} {:08x}\n", checksum(&header, content)).as_bytes())?;
        file.write_all(content)?;
        file.sync_all()
    }

    /// Makes the rename durable. Errors are ignored: even if the directory cannot be synced, the file is complete.
    fn sync_directory(&self) {
        let parent = self.path.parent().filter(|parent| !parent.as_os_str().is_empty());
        if let Ok(directory) = File::open(parent.unwrap_or(Path::new("."))) {
            let _ = directory.sync_all();
        }
    }
}

/// The header line, parsed.
struct Header<'a> {
    /// The part of the line that the checksum covers.
    checked: &'a str,
    kind: &'a str,
    version: u64,
    written_ms: u64,
    length: u64,
    checksum: &'a str,
}

impl Header<'_> {
    fn parse(line: &[u8]) -> Option<Header<'_>> {
        let line = std::str::from_utf8(line).ok()?;
        let (checked, checksum) = line.rsplit_once(' ')?;
        let fields: Vec<&str> = checked.strip_prefix(MAGIC)?.strip_prefix(' ')?.split(' ').collect();
        let [kind, version, written_ms, length] = fields[..] else { return None };
        Some(Header {
            checked,
            kind,
            version: version.parse().ok()?,
            written_ms: written_ms.parse().ok()?,
            length: length.parse().ok()?,
            checksum,
        })
    }
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    name.into()
}

/// Opens and locks the temporary file. All processes use the same name, so that killed ones leave at most one file.
fn lock_temporary_file(path: &Path) -> io::Result<File> {
    for _ in 0..MAX_LOCK_ATTEMPTS {
        let mut options = OpenOptions::new();
        let file = options.write(true).create(true).truncate(false).mode(FILE_MODE).open(path)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        // Checks that no other process has renamed the file after it was opened here.
        let (opened, at_path) = (file.metadata()?, std::fs::metadata(path));
        if at_path.is_ok_and(|at_path| (opened.dev(), opened.ino()) == (at_path.dev(), at_path.ino())) {
            return Ok(file);
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

fn checksum(header: &str, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header.as_bytes());
    hasher.update(content);
    hasher.finalize()
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
