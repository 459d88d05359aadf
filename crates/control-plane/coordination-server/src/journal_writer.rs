//! The thread that writes a voter's journal. Queued requests are written together and synced once.
use crate::crash_points::{CrashPoint, CrashingFiles};
use crate::error::ServerError;
use coordination::voter::PersistRequest;
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, Instant};
use storage::files::Folder;
use storage::journal::{Journal, JournalError, JournalFormat};
use tokio::sync::mpsc::UnboundedSender;

/// Format of a voter's journal. Name and kind are the stored form and must not change. The size limit is far above a log
/// (16 MiB) and a state machine (32 MiB) of maximum size.
const JOURNAL_FORMAT: JournalFormat =
    JournalFormat { name: "journal", kind: "council", version: 1, max_bytes: 256 << 20 };
/// Maximum number of requests that are written together.
const MAX_BATCH: usize = 256;
/// Requests that may be queued. A voter has few in flight: each waits for the one before, or covers everything that arrived
/// in the meantime.
const MAX_QUEUED_REQUESTS: usize = 4 * MAX_BATCH;
/// Bytes that must be free on a full disk before the voter recovers.
const RECOVERY_CAPACITY_BYTES: usize = 1 << 20;
/// A batch that takes longer than this is reported as slow.
const SLOW_BATCH: Duration = Duration::from_millis(500);

/// A voter's journal on disk.
pub type VoterJournal = Journal<CrashingFiles<Folder>>;

/// A journal and the records that it holds.
pub struct OpenedJournal {
    /// The journal.
    pub journal: VoterJournal,
    /// Records of the journal.
    pub records: Vec<Vec<u8>>,
}

/// Opens the journal in a voter's folder.
///
/// # Errors
/// The folder can't be used, or the journal is damaged.
pub fn open(folder: &Path, crash_point: Option<CrashPoint>) -> Result<OpenedJournal, ServerError> {
    let files = Folder::new(folder).map_err(|source| ServerError::folder(folder, source))?;
    match Journal::open(CrashingFiles::new(files, crash_point), JOURNAL_FORMAT) {
        Ok((journal, records)) => Ok(OpenedJournal { journal, records }),
        Err(source @ JournalError::Damaged { .. }) => {
            Err(ServerError::DamagedJournal { folder: folder.into(), source })
        }
        Err(source) => Err(ServerError::Journal { folder: folder.into(), source }),
    }
}

/// A request to the thread.
pub enum JournalRequest {
    /// Write these records.
    Persist(PersistRequest),
    /// Try to recover from a failure.
    Recover,
}

/// A result of the thread.
pub enum JournalEvent {
    /// This persist request, and all before it, are on disk.
    Persisted(u64),
    /// This persist request failed, and so do all after it.
    PersistFailed {
        /// Number of the request.
        number: u64,
        /// Error message.
        why: String,
        /// Whether the journal is unchanged.
        intact: bool,
    },
    /// The journal recovered, and holds these records.
    Recovered(Vec<Vec<u8>>),
    /// The journal has not recovered yet.
    RecoveryFailed,
    /// A batch took this long.
    Slow(Duration),
}

/// Starts the thread.
///
/// # Errors
/// The thread can't be started.
pub fn spawn(
    journal: VoterJournal,
    events: UnboundedSender<JournalEvent>,
) -> std::io::Result<SyncSender<JournalRequest>> {
    let (requests, queue) = sync_channel(MAX_QUEUED_REQUESTS);
    let mut writer = JournalWriter { journal, failed: false, unsynced: None, events: Vec::new() };
    let run = move || {
        while let Some(batch) = next_batch(&queue) {
            let started = Instant::now();
            for event in writer.write(batch) {
                if events.send(event).is_err() {
                    return;
                }
            }
            let elapsed = started.elapsed();
            if elapsed > SLOW_BATCH && events.send(JournalEvent::Slow(elapsed)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("disk".into()).spawn(run)?;
    Ok(requests)
}

fn next_batch(queue: &Receiver<JournalRequest>) -> Option<Vec<JournalRequest>> {
    let mut batch = vec![queue.recv().ok()?];
    while batch.len() < MAX_BATCH {
        match queue.try_recv() {
            Ok(request) => batch.push(request),
            Err(_) => break,
        }
    }
    Some(batch)
}

struct JournalWriter {
    journal: VoterJournal,
    /// A write failed, and the journal has not recovered since.
    failed: bool,
    /// Number of the last request that is written but not synced.
    unsynced: Option<u64>,
    events: Vec<JournalEvent>,
}

impl JournalWriter {
    /// Handles a batch of requests and returns the resulting events.
    fn write(&mut self, batch: Vec<JournalRequest>) -> Vec<JournalEvent> {
        for request in batch {
            match request {
                JournalRequest::Recover if self.failed => self.recover(),
                JournalRequest::Recover => {}
                // The failure was already reported to the voter, which has discarded the requests in flight.
                JournalRequest::Persist(_) if self.failed => {}
                JournalRequest::Persist(request) if request.replace => self.replace(&request),
                JournalRequest::Persist(request) => self.append(&request),
            }
        }
        if !self.failed && !self.sync() {
            self.failed = true;
        }
        std::mem::take(&mut self.events)
    }

    fn recover(&mut self) {
        match self.journal.recover(RECOVERY_CAPACITY_BYTES) {
            Ok(records) => {
                self.failed = false;
                self.events.push(JournalEvent::Recovered(records));
            }
            Err(_) => self.events.push(JournalEvent::RecoveryFailed),
        }
    }

    fn replace(&mut self, request: &PersistRequest) {
        if !self.sync() {
            self.failed = true;
            return;
        }
        match self.journal.replace(&request.records) {
            Ok(()) => self.events.push(JournalEvent::Persisted(request.number)),
            Err(error) => {
                let intact = request.compaction && self.journal.is_intact();
                self.failed = !intact;
                self.persist_failed(request.number, &error, intact);
            }
        }
    }

    fn append(&mut self, request: &PersistRequest) {
        match self.journal.append(&request.records) {
            Ok(()) => self.unsynced = Some(request.number),
            Err(error) => {
                self.failed = true;
                // Requests that were written before the failure may still be acknowledged.
                if self.sync() {
                    self.persist_failed(request.number, &error, false);
                }
            }
        }
    }

    /// Syncs the requests that are written; returns whether that succeeded.
    fn sync(&mut self) -> bool {
        let Some(number) = self.unsynced.take() else { return true };
        match self.journal.sync() {
            Ok(()) => {
                self.events.push(JournalEvent::Persisted(number));
                true
            }
            Err(error) => {
                self.persist_failed(number, &error, false);
                false
            }
        }
    }

    fn persist_failed(&mut self, number: u64, error: &std::io::Error, intact: bool) {
        self.events.push(JournalEvent::PersistFailed { number, why: error.to_string(), intact });
    }
}
