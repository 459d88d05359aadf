//! Opening, appending to, replacing and recovering a journal.
use super::format::{encode_records, JournalError, JournalFormat};
use crate::files::Files;
use std::io;

/// An open journal.
pub struct Journal<F: Files> {
    files: F,
    format: JournalFormat,
    file: F::Open,
    /// Number of durable bytes; `None` while a replacement is incomplete, when either file may be in place.
    durable_bytes: Option<u64>,
    /// Number of bytes that were written.
    written_bytes: u64,
}

impl<F: Files> Journal<F> {
    /// Opens the journal and returns its durable records, in order. A torn tail is truncated.
    ///
    /// # Errors
    /// The file cannot be read or written, is of another kind or version, or is damaged.
    pub fn open(mut files: F, format: JournalFormat) -> Result<(Journal<F>, Vec<Vec<u8>>), JournalError> {
        let bytes = read_file(&mut files, &format)?;
        let decoded = format.decode(&bytes)?;
        let mut file = files.open(format.name)?;
        let mut written_bytes = decoded.end;
        if decoded.end == 0 {
            let header = format.header();
            files.truncate(&mut file, 0)?;
            files.write(&mut file, 0, &header)?;
            written_bytes = header.len() as u64;
        } else if decoded.end < bytes.len() as u64 {
            files.truncate(&mut file, decoded.end)?;
        }
        // Synced even without a change: the bytes that were read count as durable from here on, and may so far be only in the
        // page cache.
        files.sync(&mut file)?;
        files.sync_directory()?;
        let journal = Journal { files, format, file, durable_bytes: Some(written_bytes), written_bytes };
        Ok((journal, decoded.records))
    }

    /// Whether all appended records are durable. They are not before [`Journal::sync`], after it fails, and after a
    /// replacement that failed halfway. A failed append does not change the result.
    pub fn is_intact(&self) -> bool {
        self.durable_bytes == Some(self.written_bytes)
    }

    /// Length of the file, in bytes.
    pub fn length(&self) -> u64 {
        self.written_bytes
    }

    /// Appends records. They are durable only after [`Journal::sync`].
    ///
    /// # Errors
    /// The system's error, or the journal would become too long. [`Journal::recover`] has to be called then.
    pub fn append(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode_records(records, &mut bytes)?;
        if self.written_bytes + bytes.len() as u64 > self.format.max_bytes {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.files.write(&mut self.file, self.written_bytes, &bytes)?;
        self.written_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Waits until all appended records are durable.
    ///
    /// # Errors
    /// The system's error. It is then unknown which bytes are on the disk: [`Journal::recover`] has to be called.
    pub fn sync(&mut self) -> io::Result<()> {
        self.files.sync(&mut self.file)?;
        self.durable_bytes = Some(self.written_bytes);
        Ok(())
    }

    /// Atomically replaces the journal by one that consists of these records: a crash leaves the old or the new one.
    ///
    /// # Errors
    /// The system's error, or the records are too long. The durable part of the old journal remains.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = self.format.header();
        encode_records(records, &mut bytes)?;
        if bytes.len() as u64 > self.format.max_bytes {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let replacement_name = self.format.replacement_name();
        let mut file = self.files.open(&replacement_name)?;
        if let Err(e) = write_whole(&mut self.files, &mut file, &bytes) {
            // The incomplete file is useless, and the disk may be full.
            let _ = self.files.truncate(&mut file, 0);
            return Err(e);
        }
        self.durable_bytes = None;
        self.files.rename(&replacement_name, self.format.name)?;
        self.files.sync_directory()?;
        self.file = file;
        self.written_bytes = bytes.len() as u64;
        self.durable_bytes = Some(self.written_bytes);
        Ok(())
    }

    /// Recovers from an error: truncates the journal to its durable part, checks that `free_bytes` can be written, and
    /// returns the records. The journal is then in the same state as after [`Journal::open`].
    ///
    /// # Errors
    /// There is still no space, the files cannot be accessed, or durable records are missing.
    pub fn recover(&mut self, free_bytes: usize) -> Result<Vec<Vec<u8>>, JournalError> {
        // Opened again by name: if an interrupted replacement has renamed its file, the open file is the replaced one.
        let mut file = self.files.open(self.format.name)?;
        self.files.sync_directory()?;
        let bytes = read_file(&mut self.files, &self.format)?;
        let end = self.format.decode(&bytes)?.end;
        // Bytes that are not durable may or may not survive the next crash, so they are truncated. A replacement was
        // completely on the disk before it was renamed.
        let durable_bytes = self.durable_bytes.unwrap_or(end);
        if end < durable_bytes || end == 0 {
            return Err(self.format.damaged(end, "durable records are missing"));
        }
        self.files.truncate(&mut file, durable_bytes)?;
        let written = self.files.write(&mut file, durable_bytes, &vec![0; free_bytes]);
        let written = written.and_then(|()| self.files.sync(&mut file));
        self.files.truncate(&mut file, durable_bytes)?;
        written?;
        self.files.sync(&mut file)?;
        self.file = file;
        self.written_bytes = durable_bytes;
        self.durable_bytes = Some(durable_bytes);
        let bytes = read_file(&mut self.files, &self.format)?;
        Ok(self.format.decode(&bytes)?.records)
    }
}

/// Reads the journal's file; empty if there is none. Allocated space may make it longer than the limit.
fn read_file(files: &mut impl Files, format: &JournalFormat) -> io::Result<Vec<u8>> {
    let max_bytes = format.max_bytes.saturating_mul(2);
    Ok(files.read(format.name, max_bytes)?.unwrap_or_default())
}

/// Replaces the content of an open file and makes it durable.
fn write_whole<F: Files>(files: &mut F, file: &mut F::Open, bytes: &[u8]) -> io::Result<()> {
    files.truncate(file, 0)?;
    files.write(file, 0, bytes)?;
    files.sync(file)
}
