//! An append-only journal of records. A record is durable after [`Journal::sync`]; for compaction, the entire
//! journal can be replaced atomically.
//!
//! ```text
//! herondock-journal 1 KIND VERSION CRC32\n
//! LENGTH CRC32-OF-CONTENT CRC32-OF-THIS-HEAD CONTENT   for each record: three 32-bit numbers, little endian
//! ```
//!
//! A crash can leave a torn tail: a record that is cut short, or of which only zeros reached the disk. It was never
//! durable and is truncated. Anything else that does not match its checksum is reported as damage, with the file and the
//! offset, and no record after it is returned.
//!
//! | module | contents |
//! | --- | --- |
//! | `format` | encoding and decoding of a journal file |
//! | `writer` | [`Journal`]: opening, appending, replacing and recovery |
mod format;
mod writer;

pub use format::{JournalError, JournalFormat, MAX_RECORD_BYTES};
pub use writer::Journal;
