//! Creating a cluster.
use super::lock_folder;
use crate::error::ServerError;
use crate::journal_writer::{self, OpenedJournal};
use crate::random_id;
use config::coordination::CoordinationConfig;
use coordination::limits::Limits;
use coordination::protocol::Member;
use coordination::voter;

/// Revisions that are skipped after a restore: more than are assigned between a backup and the loss of the cluster.
const RESTORE_REVISION_GAP: u64 = 1 << 40;

/// Creates a cluster with this voter as its only member, with the content of a backup if there is one. Returns the id of the
/// cluster.
///
/// # Errors
/// The folder can't be used or holds a voter already, or the backup is invalid.
pub fn bootstrap(config: &CoordinationConfig, backup: Option<&[u8]>) -> Result<u64, ServerError> {
    let folder = &config.folder;
    let _lock = lock_folder(folder)?;
    let OpenedJournal { mut journal, records } = journal_writer::open(folder, None)?;
    if !records.is_empty() {
        return Err(ServerError::FolderInUse(folder.clone()));
    }
    let cluster = random_id();
    let first = Member {
        id: random_id(),
        name: config.name.clone(),
        addr: config.addr().to_string(),
        ..Member::default()
    };
    let records = match backup {
        None => voter::bootstrap(cluster, &first, Limits::default()),
        Some(backup) => voter::restore(cluster, &first, backup, RESTORE_REVISION_GAP)?,
    };
    journal.replace(&records).map_err(|source| ServerError::folder(folder, source))?;
    Ok(cluster)
}
