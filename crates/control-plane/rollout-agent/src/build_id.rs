//! Identification of builds: the SHA-256 (FIPS 180-4) of the executable.
use rollout::BuildId;
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use std::fs::{File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 256 << 10;
/// Length of a shortened build id, in characters.
const SHORT_CHARS: usize = 12;
/// Permission to execute, of the owner, the group or others.
const EXECUTE_MODE: u32 = 0o111;

/// Reason why a file is not the expected build.
#[derive(Debug, Error)]
pub enum BuildError {
    /// The file cannot be read.
    #[error("{}: {source}", .path.display())]
    Io {
        /// Path.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The path is not a regular file.
    #[error("{}: is no file", .0.display())]
    NotAFile(PathBuf),
    /// The file is not executable.
    #[error("{}: may not be run", .0.display())]
    NotExecutable(PathBuf),
    /// The file is another build.
    #[error("{}: is build {}, and not {}", .path.display(), short(.found), short(.expected))]
    Mismatch {
        /// Path.
        path: PathBuf,
        /// Build of the file.
        found: BuildId,
        /// Expected build.
        expected: BuildId,
    },
}

impl BuildError {
    fn io(path: &Path) -> impl Fn(io::Error) -> BuildError + '_ {
        |source| BuildError::Io { path: path.into(), source }
    }
}

/// Returns the metadata of a path.
///
/// # Errors
/// The metadata cannot be read.
pub fn metadata(path: &Path) -> Result<Metadata, BuildError> {
    std::fs::metadata(path).map_err(BuildError::io(path))
}

/// Returns the build id of an executable.
///
/// # Errors
/// The file cannot be read, or is not an executable file.
pub fn of_file(path: &Path) -> Result<BuildId, BuildError> {
    let metadata = metadata(path)?;
    if !metadata.is_file() {
        return Err(BuildError::NotAFile(path.into()));
    }
    if metadata.permissions().mode() & EXECUTE_MODE == 0 {
        return Err(BuildError::NotExecutable(path.into()));
    }
    let file = File::open(path).map_err(BuildError::io(path))?;
    hash(file).map_err(BuildError::io(path))
}

fn hash(mut file: File) -> io::Result<BuildId> {
    let mut hasher = Sha256::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        match file.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => hasher.update(&buffer[..length]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    let mut text = String::with_capacity(64);
    for byte in hasher.finalize() {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    Ok(BuildId(text))
}

/// Checks that a file is the expected build.
///
/// # Errors
/// The file cannot be read, is not an executable file, or is another build.
pub fn verify(path: &Path, expected: &BuildId) -> Result<(), BuildError> {
    let found = of_file(path)?;
    if found == *expected {
        return Ok(());
    }
    Err(BuildError::Mismatch { path: path.into(), found, expected: expected.clone() })
}

/// Returns the first characters of a build id, for operators.
pub fn short(build: &BuildId) -> &str {
    build.0.get(..SHORT_CHARS).unwrap_or(&build.0)
}
