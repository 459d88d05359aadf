//! Builds that the instances are started from, stored on the supervisor's disk.
use rollout::BuildId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use storage::AtomicFile;
use thiserror::Error;
use tracing::info;

/// Name of the file in the supervisor's folder, and kind stated in its header.
const FILE_NAME: &str = "builds";
/// Version of the file's format.
const FILE_VERSION: u32 = 1;
/// Maximum size of the file, in bytes.
const MAX_FILE_BYTES: usize = 8 << 20;

/// Build that an instance is started from. Stored as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(BuildId, PathBuf)", into = "(BuildId, PathBuf)")]
pub(super) struct AssignedBuild {
    pub build: BuildId,
    pub path: PathBuf,
}

impl From<(BuildId, PathBuf)> for AssignedBuild {
    fn from((build, path): (BuildId, PathBuf)) -> AssignedBuild {
        AssignedBuild { build, path }
    }
}

impl From<AssignedBuild> for (BuildId, PathBuf) {
    fn from(assigned: AssignedBuild) -> (BuildId, PathBuf) {
        (assigned.build, assigned.path)
    }
}

/// The assignments cannot be stored.
#[derive(Debug, Error)]
pub(super) enum SaveError {
    /// The assignments cannot be encoded.
    #[error("which build an instance is of can't be kept: {0}")]
    Encode(#[from] serde_json::Error),
    /// The file cannot be written.
    #[error("which build an instance is of can't be kept: {}: {source}", .path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Assigned builds by the name of the instance. An instance that no rollout has replaced has none.
pub(super) struct AssignedBuilds {
    file: AtomicFile,
    builds: BTreeMap<String, AssignedBuild>,
}

impl AssignedBuilds {
    /// Loads the assignments that an earlier supervisor stored in `folder`. A file that cannot be read is logged and counts as
    /// empty.
    pub fn load(folder: &Path) -> AssignedBuilds {
        let file = AtomicFile::new(folder.join(FILE_NAME), FILE_NAME, FILE_VERSION, MAX_FILE_BYTES);
        let builds = match file.load() {
            Ok(None) => BTreeMap::new(),
            Ok(Some(stored)) => serde_json::from_slice(&stored.content).unwrap_or_else(|error| {
                info!("release: {}: the assigned builds are ignored: {error}", file.path().display());
                BTreeMap::new()
            }),
            Err(error) => {
                info!("release: {}: the assigned builds are ignored: {error}", file.path().display());
                BTreeMap::new()
            }
        };
        AssignedBuilds { file, builds }
    }

    /// The build assigned to an instance.
    pub fn get(&self, instance: &str) -> Option<&AssignedBuild> {
        self.builds.get(instance)
    }

    /// Assigns a build without storing the assignment. Returns the former one.
    pub fn assign(&mut self, instance: &str, assigned: AssignedBuild) -> Option<AssignedBuild> {
        self.builds.insert(instance.into(), assigned)
    }

    /// Restores a former assignment without storing it.
    pub fn restore(&mut self, instance: &str, former: Option<AssignedBuild>) {
        match former {
            Some(former) => drop(self.builds.insert(instance.into(), former)),
            None => drop(self.builds.remove(instance)),
        }
    }

    /// Stores the assignments on disk.
    pub fn save(&self) -> Result<(), SaveError> {
        let content = serde_json::to_vec(&self.builds)?;
        let path = || self.file.path().to_path_buf();
        self.file.save(&content).map_err(|source| SaveError::Write { path: path(), source })
    }
}
