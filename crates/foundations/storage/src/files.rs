//! File operations of a journal, as a trait. It is implemented by the system's files, and in tests by files on a full disk
//! or of a process that is killed between two operations.
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Files of one folder, by name.
pub trait Files {
    /// A file that is open for reading and writing.
    type Open;

    /// Reads a file of up to `max_bytes`; `None` if there is none.
    ///
    /// # Errors
    /// The file cannot be read, or is longer than `max_bytes` (`FileTooLarge`).
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file; creates an empty one if there is none.
    ///
    /// # Errors
    /// The system's error.
    fn open(&mut self, name: &str) -> io::Result<Self::Open>;

    /// Writes at this offset. The bytes are durable only after [`Files::sync`].
    ///
    /// # Errors
    /// The system's error; any part of the bytes may have been written.
    fn write(&mut self, file: &mut Self::Open, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to this length.
    ///
    /// # Errors
    /// The system's error.
    fn truncate(&mut self, file: &mut Self::Open, length: u64) -> io::Result<()>;

    /// Waits until all written bytes of the file are on the disk.
    ///
    /// # Errors
    /// The system's error; it is then unknown which bytes are on the disk.
    fn sync(&mut self, file: &mut Self::Open) -> io::Result<()>;

    /// Replaces the file `to` by the file `from`. Until [`Files::sync_directory`] returns, a crash may undo this.
    ///
    /// # Errors
    /// The system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Waits until created and renamed files are on the disk.
    ///
    /// # Errors
    /// The system's error.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// The system's files in one folder.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder. If there is none, it is created with access for this user only.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn new(path: &Path) -> io::Result<Folder> {
        use std::os::unix::fs::DirBuilderExt;
        std::fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        Ok(Folder(path.into()))
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Files for Folder {
    type Open = File;

    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.0.join(name)) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        if !file.metadata()?.is_file() {
            return Err(ErrorKind::InvalidInput.into());
        }
        let mut bytes = Vec::new();
        file.take(max_bytes.saturating_add(1)).read_to_end(&mut bytes)?;
        match bytes.len() as u64 > max_bytes {
            true => Err(ErrorKind::FileTooLarge.into()),
            false => Ok(Some(bytes)),
        }
    }

    fn open(&mut self, name: &str) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(0o600).open(self.0.join(name))
    }

    fn write(&mut self, file: &mut File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
