//! The few things that a journal does with files, as a seam: the system's files, and in tests files whose disk is full,
//! or whose process is killed between two of these steps.
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Files of one folder, by name.
pub trait Files {
    /// One of them, opened for reading and writing.
    type Open;

    /// All of a file's bytes, `most` at most; `None`: there is none.
    ///
    /// # Errors
    /// It can't be read, or is longer (`FileTooLarge`).
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file, made empty if there is none.
    ///
    /// # Errors
    /// The system's.
    fn open(&mut self, name: &str) -> io::Result<Self::Open>;

    /// Writes at this place; nothing is promised before [`Files::sync`].
    ///
    /// # Errors
    /// The system's; any part of it may have been written.
    fn write(&mut self, file: &mut Self::Open, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file off at this length.
    ///
    /// # Errors
    /// The system's.
    fn cut(&mut self, file: &mut Self::Open, length: u64) -> io::Result<()>;

    /// Waits until the disk has all that was written.
    ///
    /// # Errors
    /// The system's; what the disk has is unknown then.
    fn sync(&mut self, file: &mut Self::Open) -> io::Result<()>;

    /// Puts a file in the place of another; after a crash either may be there, before [`Files::sync_names`].
    ///
    /// # Errors
    /// The system's.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Waits until the disk has the names as they are.
    ///
    /// # Errors
    /// The system's.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// The system's files in one folder.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// This folder, which is made if there is none, for this user alone.
    ///
    /// # Errors
    /// It can't be made.
    pub fn new(path: &Path) -> io::Result<Folder> {
        use std::os::unix::fs::DirBuilderExt;
        std::fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        Ok(Folder(path.into()))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Files for Folder {
    type Open = File;

    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.0.join(name)) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        if !file.metadata()?.is_file() {
            return Err(ErrorKind::InvalidInput.into());
        }
        let mut bytes = Vec::new();
        file.take(most.saturating_add(1)).read_to_end(&mut bytes)?;
        match bytes.len() as u64 > most {
            true => Err(ErrorKind::FileTooLarge.into()),
            false => Ok(Some(bytes)),
        }
    }

    fn open(&mut self, name: &str) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(0o600).open(self.0.join(name))
    }

    fn write(&mut self, file: &mut File, at: u64, bytes: &[u8]) -> io::Result<()> {
        file.seek(SeekFrom::Start(at))?;
        file.write_all(bytes)
    }

    fn cut(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
