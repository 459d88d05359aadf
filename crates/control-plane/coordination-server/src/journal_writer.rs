//! The thread that writes a voter's journal. What waits is written together and synced once.
use crate::crash_points::{CrashPoint, CrashingFiles};
use coordination::voter::PersistRequest;
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, Instant};
use storage::files::Folder;
use storage::journal::{Journal, JournalError, JournalFormat};
use tokio::sync::mpsc::UnboundedSender;

/// The journal in a voter's folder. Its bound is far above what the log may hold before it is folded (16 MiB) and the
/// record with it (32 MiB).
pub const FORM: JournalFormat =
    JournalFormat { name: "journal", kind: "council", version: 1, max_bytes: 256 << 20 };
/// Saves that are written together, at most.
const TOGETHER: usize = 256;
/// Room that has to be there before a voter comes back from a full disk, in bytes.
const ROOM: usize = 1 << 20;
/// A disk on which a save takes longer than this is said to be slow.
const SLOW: Duration = Duration::from_millis(500);

/// A journal in a folder.
pub type OnDisk = Journal<CrashingFiles<Folder>>;

/// Opens a voter's journal.
///
/// # Errors
/// One line that names the file.
pub fn open(folder: &Path, halt: Option<CrashPoint>) -> Result<(OnDisk, Vec<Vec<u8>>), String> {
    let fault = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    let files = Folder::new(folder).map_err(|e| fault(&e))?;
    Journal::open(CrashingFiles::new(files, halt), FORM).map_err(|e| match e {
        JournalError::Damaged { .. } => format!(
            "{}; what this voter promised is lost: remove it from the council, empty the folder, and it joins anew",
            fault(&e)
        ),
        e => fault(&e),
    })
}

/// What the thread is to do.
pub enum Job {
    /// Save this.
    Save(PersistRequest),
    /// See whether there is room again.
    Try,
}

/// What it has done.
pub enum Done {
    /// This save, and all before it.
    Saved(u64),
    /// Not this save, and none behind it.
    NotSaved {
        /// Which.
        number: u64,
        /// Why.
        why: String,
        /// Whether the journal is as it was.
        intact: bool,
    },
    /// There is room again, and this is what the journal holds.
    Recovered(Vec<Vec<u8>>),
    /// There is none yet.
    Still,
    /// A save took long.
    Slow(Duration),
}

/// Begins the thread.
pub fn begin(mut journal: OnDisk, done: UnboundedSender<Done>) -> std::io::Result<SyncSender<Job>> {
    // The voter has few saves under way at a time: each waits for the one before, or carries what came meanwhile.
    let (jobs, todo) = sync_channel(4 * TOGETHER);
    let work = move || {
        let mut broken = false;
        while let Some(batch) = next(&todo) {
            let began = Instant::now();
            for done_now in together(&mut journal, batch, &mut broken) {
                if done.send(done_now).is_err() {
                    return;
                }
            }
            if began.elapsed() > SLOW && done.send(Done::Slow(began.elapsed())).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("disk".into()).spawn(work)?;
    Ok(jobs)
}

fn next(todo: &Receiver<Job>) -> Option<Vec<Job>> {
    let mut batch = vec![todo.recv().ok()?];
    while batch.len() < TOGETHER {
        match todo.try_recv() {
            Ok(job) => batch.push(job),
            Err(_) => break,
        }
    }
    Some(batch)
}

fn together(journal: &mut OnDisk, batch: Vec<Job>, broken: &mut bool) -> Vec<Done> {
    let mut all = Vec::new();
    // The last one that is written and not synced.
    let mut written = None;
    let sync = |journal: &mut OnDisk, written: &mut Option<u64>, all: &mut Vec<Done>| match written.take() {
        None => true,
        Some(number) => match journal.sync() {
            Ok(()) => {
                all.push(Done::Saved(number));
                true
            }
            Err(e) => {
                all.push(Done::NotSaved { number, why: e.to_string(), intact: false });
                false
            }
        },
    };
    for job in batch {
        match job {
            Job::Try => {
                if *broken {
                    match journal.recover(ROOM) {
                        Ok(frames) => {
                            *broken = false;
                            all.push(Done::Recovered(frames));
                        }
                        Err(_) => all.push(Done::Still),
                    }
                }
            }
            // Its voter is told already, and forgets what was under way.
            Job::Save(_) if *broken => {}
            Job::Save(save) if save.replace => {
                if !sync(journal, &mut written, &mut all) {
                    *broken = true;
                    continue;
                }
                match journal.replace(&save.records) {
                    Ok(()) => all.push(Done::Saved(save.number)),
                    Err(e) => {
                        let intact = save.compaction && journal.is_intact();
                        *broken = !intact;
                        all.push(Done::NotSaved { number: save.number, why: e.to_string(), intact });
                    }
                }
            }
            Job::Save(save) => match journal.append(&save.records) {
                Ok(()) => written = Some(save.number),
                Err(e) => {
                    // What was written before it may still be promised.
                    *broken = true;
                    if sync(journal, &mut written, &mut all) {
                        all.push(Done::NotSaved { number: save.number, why: e.to_string(), intact: false });
                    }
                }
            },
        }
    }
    if !*broken && !sync(journal, &mut written, &mut all) {
        *broken = true;
    }
    all
}
