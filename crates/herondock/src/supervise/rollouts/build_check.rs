//! Verification that the builds of a rollout are installed on this machine.
use rollout::BuildId;
use rollout_agent::build_id::{self, BuildError};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;

/// Interval at which a missing build is looked for again.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Reason why a build cannot be started on this machine.
#[derive(Debug, Error)]
pub(super) enum BuildProblem {
    /// The file is not the build.
    #[error(transparent)]
    Invalid(#[from] BuildError),
    /// The build was not verified yet.
    #[error("it was not looked for yet")]
    NotVerified,
    /// The file has changed since it was verified.
    #[error("{}: has changed since it was read", .0.display())]
    Changed(PathBuf),
}

/// Identity of a file, without its content. While it stays the same, the content need not be verified again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FileIdentity {
    path: PathBuf,
    length: u64,
    modified: Option<SystemTime>,
}

impl FileIdentity {
    fn of(path: &Path) -> Result<FileIdentity, BuildError> {
        let metadata = build_id::metadata(path)?;
        Ok(FileIdentity { path: path.into(), length: metadata.len(), modified: metadata.modified().ok() })
    }

    /// Verifies the content of a file.
    fn verify(path: &Path, expected: &BuildId) -> Result<FileIdentity, BuildError> {
        // Taken before the content is read, so that a change meanwhile is noticed.
        let identity = FileIdentity::of(path)?;
        build_id::verify(path, expected)?;
        Ok(identity)
    }
}

/// State of a rollout that a check belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CheckKey {
    pub rollout_number: u64,
    /// Version of the rollout's state.
    pub state_version: u64,
}

/// Result of the verification of all builds of a rollout.
pub(super) struct BuildCheck {
    pub key: CheckKey,
    checked_at: Instant,
    files: BTreeMap<BuildId, Result<FileIdentity, Arc<BuildProblem>>>,
}

impl BuildCheck {
    /// Verifies builds by their paths. Blocks while the files are read.
    pub fn run(key: CheckKey, paths: BTreeMap<BuildId, String>) -> BuildCheck {
        let verify = |(build, path): (BuildId, String)| {
            let identity = FileIdentity::verify(Path::new(&path), &build);
            (build, identity.map_err(|error| Arc::new(error.into())))
        };
        let files = paths.into_iter().map(verify).collect();
        BuildCheck { key, checked_at: Instant::now(), files }
    }

    /// Whether the check is still valid for a state. A failed check is repeated for each new state and after
    /// [`RETRY_INTERVAL`], since a missing build may have been installed meanwhile.
    pub fn is_current(&self, key: CheckKey) -> bool {
        let may_repeat = self.key != key || self.checked_at.elapsed() >= RETRY_INTERVAL;
        let succeeded = self.files.values().all(Result::is_ok);
        self.key.rollout_number == key.rollout_number && (!may_repeat || succeeded)
    }

    /// Builds that cannot be started, with the problem.
    pub fn problems(&self) -> impl Iterator<Item = (&BuildId, &BuildProblem)> {
        self.files.iter().filter_map(|(build, file)| Some((build, &**file.as_ref().err()?)))
    }

    /// Path of a build, if its file is still the one that was verified.
    pub fn path(&self, build: &BuildId) -> Result<PathBuf, Arc<BuildProblem>> {
        let file = self.files.get(build).ok_or(BuildProblem::NotVerified)?;
        let verified = file.as_ref().map_err(Arc::clone)?;
        let current = FileIdentity::of(&verified.path).map_err(BuildProblem::from)?;
        if current != *verified {
            return Err(BuildProblem::Changed(verified.path.clone()).into());
        }
        Ok(current.path)
    }

    /// Records a problem that was found later.
    pub fn set_problem(&mut self, build: &BuildId, problem: Arc<BuildProblem>) {
        self.files.insert(build.clone(), Err(problem));
    }
}
