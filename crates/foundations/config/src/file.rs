//! Reading configuration files. An error contains the path and, if known, the position in the file.
use crate::values::{read_consistent, ConfigError, ReadFileError, MAX_FILE_BYTES};
use std::path::{Path, PathBuf};

/// A configuration file can't be read or is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file can't be read.
    #[error("{}: {reason}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        reason: ReadFileError,
    },
    /// The content is invalid.
    #[error("{}:{}{error}", path.display(), if error.line == 0 { " " } else { "" })]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The first fault.
        error: ConfigError,
    },
}

/// Reads a configuration file.
pub(crate) fn read_config<T>(
    path: &Path,
    parse: fn(&[u8]) -> Result<T, ConfigError>,
) -> Result<T, ConfigFileError> {
    let bytes = read_consistent(path, MAX_FILE_BYTES)
        .map_err(|reason| ConfigFileError::Unreadable { path: path.into(), reason })?;
    parse(&bytes).map_err(|error| ConfigFileError::Invalid { path: path.into(), error })
}
