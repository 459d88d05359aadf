//! Durable state, in two forms: an atomically replaced file ([`AtomicFile`]) and an append-only [`journal`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`atomic_file`] | a file that is complete or absent, with checksum, version and age |
//! | [`journal`] | an append-only journal of records |
//! | [`files`] | the file operations of a journal, replaceable in tests |
//!
//! Loaded content is exactly what one call saved; anything else is reported as an error.
pub mod atomic_file;
pub mod files;
pub mod journal;

pub use atomic_file::{AtomicFile, LoadError, LoadedContent, MAX_KIND_BYTES};
