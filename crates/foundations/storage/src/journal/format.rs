//! Encoding and decoding of a journal file.
use std::io;
use thiserror::Error;

const MAGIC: &str = "herondock-journal 1";
/// Maximum number of bytes of an unknown header that an error quotes.
const MAX_QUOTED_HEADER_BYTES: usize = 160;
/// Length of a record's head, in bytes.
const HEAD_BYTES: usize = 12;
/// Minimum number of zeros at the end of the file that count as space that was allocated but never written.
const MIN_TRAILING_ZEROS: usize = 8;
/// Maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 128 << 20;
/// Suffix of the name of the file that replaces a journal, after the name of the journal.
const REPLACEMENT_SUFFIX: &str = ".new";

/// Error of opening or recovering a journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The system's error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is not a journal of this kind and version.
    #[error("{name}: is not a {kind} journal in version {version}; its header is {found:?}")]
    WrongFormat {
        /// Name of the file.
        name: &'static str,
        /// Expected kind.
        kind: &'static str,
        /// Expected version.
        version: u32,
        /// Header of the file.
        found: String,
    },
    /// A durable record is damaged.
    #[error("{name}: damaged at byte {offset}: {reason}")]
    Damaged {
        /// Name of the file.
        name: &'static str,
        /// Offset of the record, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
}

/// Name, content type and size limit of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalFormat {
    /// Name of the file in its folder.
    pub name: &'static str,
    /// Kind of the content: letters, digits and `-`.
    pub kind: &'static str,
    /// Version of the content.
    pub version: u32,
    /// Maximum length of the file, in bytes.
    pub max_bytes: u64,
}

/// Records of a journal file.
pub(super) struct DecodedJournal {
    /// The records, in order.
    pub records: Vec<Vec<u8>>,
    /// Offset of the end of the last complete record; 0 if the header is incomplete.
    pub end: u64,
}

/// Result of decoding at an offset of the file.
enum Decoded<'a> {
    /// A complete record.
    Record(&'a [u8]),
    /// The remains of a record that was being written when the process or machine crashed.
    TornTail,
    /// Damage, with a description.
    Damage(&'static str),
}

impl JournalFormat {
    /// The header line of the file.
    pub(super) fn header(&self) -> Vec<u8> {
        let header = format!("{MAGIC} {} {}", self.kind, self.version);
        format!("{header} {:08x}\n", crc32fast::hash(header.as_bytes())).into_bytes()
    }

    /// Name of the file that replaces the journal.
    pub(super) fn replacement_name(&self) -> String {
        format!("{}{REPLACEMENT_SUFFIX}", self.name)
    }

    /// Decodes the content of a file.
    pub(super) fn decode(&self, bytes: &[u8]) -> Result<DecodedJournal, JournalError> {
        let header = self.header();
        if bytes.len() < header.len() && header.starts_with(bytes) {
            // The process or machine crashed while the journal was being created.
            return Ok(DecodedJournal { records: Vec::new(), end: 0 });
        }
        if !bytes.starts_with(&header) {
            return Err(self.wrong_format(bytes));
        }
        let mut records = Vec::new();
        let mut offset = header.len();
        while offset < bytes.len() {
            match decode_record(&bytes[offset..]) {
                Decoded::Record(content) => {
                    records.push(content.to_vec());
                    offset += HEAD_BYTES + content.len();
                }
                Decoded::TornTail => break,
                Decoded::Damage(reason) => return Err(self.damaged(offset as u64, reason)),
            }
        }
        Ok(DecodedJournal { records, end: offset as u64 })
    }

    pub(super) fn damaged(&self, offset: u64, reason: &'static str) -> JournalError {
        JournalError::Damaged { name: self.name, offset, reason }
    }

    fn wrong_format(&self, bytes: &[u8]) -> JournalError {
        let quoted = bytes.iter().take(MAX_QUOTED_HEADER_BYTES).take_while(|&&b| b != b'\n');
        let quoted: Vec<u8> = quoted.copied().collect();
        JournalError::WrongFormat {
            name: self.name,
            kind: self.kind,
            version: self.version,
            found: String::from_utf8_lossy(&quoted).into_owned(),
        }
    }
}

/// Decodes the record at the beginning of `bytes`, which extend to the end of the file.
fn decode_record(bytes: &[u8]) -> Decoded<'_> {
    if bytes.len() < HEAD_BYTES || bytes.iter().all(|&b| b == 0) {
        return Decoded::TornTail;
    }
    let (head, rest) = bytes.split_at(HEAD_BYTES);
    let number =
        |start: usize| u32::from_le_bytes([head[start], head[start + 1], head[start + 2], head[start + 3]]);
    let (length, content_checksum, head_checksum) = (number(0) as usize, number(4), number(8));
    if head_checksum != crc32fast::hash(&head[..8]) {
        // A torn head is followed only by space that was allocated and not written, which reads as zeros.
        return match !rest.is_empty() && rest.iter().all(|&b| b == 0) {
            true => Decoded::TornTail,
            false => Decoded::Damage("the checksum of the record head does not match"),
        };
    }
    let Some(content) = rest.get(..length) else { return Decoded::TornTail };
    if content_checksum != crc32fast::hash(content) {
        // Torn content ends with zeros of allocated space that extend to the end of the file.
        let zeros = bytes.iter().rev().take_while(|&&b| b == 0).count();
        return match zeros >= MIN_TRAILING_ZEROS && zeros > rest.len() - length {
            true => Decoded::TornTail,
            false => Decoded::Damage("the checksum of the record content does not match"),
        };
    }
    Decoded::Record(content)
}

/// Appends the encoded records to `buffer`.
pub(super) fn encode_records(records: &[Vec<u8>], buffer: &mut Vec<u8>) -> io::Result<()> {
    for record in records {
        let length = u32::try_from(record.len()).ok().filter(|&n| n as usize <= MAX_RECORD_BYTES);
        let length = length.ok_or(io::ErrorKind::FileTooLarge)?;
        debug_assert!(length > 0, "an empty record cannot be distinguished from allocated space");
        let mut head = [0; HEAD_BYTES];
        head[..4].copy_from_slice(&length.to_le_bytes());
        head[4..8].copy_from_slice(&crc32fast::hash(record).to_le_bytes());
        let checksum = crc32fast::hash(&head[..8]);
        head[8..].copy_from_slice(&checksum.to_le_bytes());
        buffer.extend_from_slice(&head);
        buffer.extend_from_slice(record);
    }
    Ok(())
}
