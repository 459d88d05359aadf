//! The Raft log in memory, from the last compaction on, as the crate `raft` reads it. The voter persists the entries.
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

/// Bytes that an entry counts for in addition to its data and context.
const ENTRY_OVERHEAD_BYTES: usize = 32;

#[derive(Default)]
struct LogContent {
    hard_state: HardState,
    conf_state: ConfState,
    /// The last snapshot, with its data.
    snapshot: Snapshot,
    /// Index of the last compacted entry.
    compacted_index: u64,
    /// Term of the last compacted entry.
    compacted_term: u64,
    /// Entries from `compacted_index + 1` on.
    entries: VecDeque<Entry>,
    /// Bytes of `entries`.
    bytes: u64,
}

/// Handle to the log; the Raft node holds another one.
#[derive(Clone, Default)]
pub struct RaftLog {
    content: Rc<RefCell<LogContent>>,
    /// Whether a follower needs a newer snapshot.
    snapshot_requested: Rc<Cell<bool>>,
}

fn size_of(entry: &Entry) -> u64 {
    (entry.data.len() + entry.context.len() + ENTRY_OVERHEAD_BYTES) as u64
}

impl RaftLog {
    /// A log with the persisted content.
    pub fn new(snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>) -> RaftLog {
        let log = RaftLog::default();
        log.install_snapshot(snapshot);
        log.append(&entries);
        log.content.borrow_mut().hard_state = hard_state;
        log
    }

    /// Replaces all entries by a snapshot.
    pub fn install_snapshot(&self, snapshot: Snapshot) {
        let mut log = self.content.borrow_mut();
        let metadata = snapshot.get_metadata();
        log.compacted_index = metadata.index;
        log.compacted_term = metadata.term;
        log.conf_state = metadata.get_conf_state().clone();
        log.hard_state.commit = log.hard_state.commit.max(metadata.index);
        log.hard_state.term = log.hard_state.term.max(metadata.term);
        log.entries.clear();
        log.bytes = 0;
        log.snapshot = snapshot;
    }

    /// Appends entries; each one replaces the entries with the same or a greater index.
    pub fn append(&self, entries: &[Entry]) {
        let mut log = self.content.borrow_mut();
        for entry in entries {
            if entry.index <= log.compacted_index {
                continue;
            }
            while log.entries.back().is_some_and(|last| last.index >= entry.index) {
                let replaced = log.entries.pop_back();
                log.bytes -= replaced.as_ref().map_or(0, size_of);
            }
            log.bytes += size_of(entry);
            log.entries.push_back(entry.clone());
        }
    }

    /// Sets term, vote and commit index.
    pub fn set_hard_state(&self, hard_state: HardState) {
        self.content.borrow_mut().hard_state = hard_state;
    }

    /// Term, vote and commit index.
    pub fn hard_state(&self) -> HardState {
        self.content.borrow().hard_state.clone()
    }

    /// Sets the voters and learners as of the last applied entry.
    pub fn set_conf_state(&self, conf_state: ConfState) {
        self.content.borrow_mut().conf_state = conf_state;
    }

    /// Voters and learners as of the last applied entry.
    pub fn conf_state(&self) -> ConfState {
        self.content.borrow().conf_state.clone()
    }

    /// Stores a snapshot and drops the entries before `first_retained`.
    pub fn compact(&self, snapshot: Snapshot, first_retained: u64) {
        let mut log = self.content.borrow_mut();
        while log.entries.front().is_some_and(|first| first.index < first_retained) {
            let Some(dropped) = log.entries.pop_front() else { break };
            log.bytes -= size_of(&dropped);
            (log.compacted_index, log.compacted_term) = (dropped.index, dropped.term);
        }
        log.snapshot = snapshot;
    }

    /// The last snapshot.
    pub fn last_snapshot(&self) -> Snapshot {
        self.content.borrow().snapshot.clone()
    }

    /// The entries after this index.
    pub fn entries_after(&self, index: u64) -> Vec<Entry> {
        self.content.borrow().entries.iter().filter(|entry| entry.index > index).cloned().collect()
    }

    /// Number of entries, and their bytes.
    pub fn size(&self) -> (u64, u64) {
        let log = self.content.borrow();
        (log.entries.len() as u64, log.bytes)
    }

    /// Whether a follower needed a newer snapshot since the last call.
    pub fn take_snapshot_request(&self) -> bool {
        self.snapshot_requested.replace(false)
    }

    /// Term of an entry, if it is known.
    pub fn term_of(&self, index: u64) -> Option<u64> {
        self.term(index).ok()
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let log = self.content.borrow();
        Ok(RaftState::new(log.hard_state.clone(), log.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let log = self.content.borrow();
        let first = log.compacted_index + 1;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        let (from, to) = ((low - first) as usize, (high - first) as usize);
        if to > log.entries.len() {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut entries = Vec::new();
        let mut bytes = 0;
        for entry in log.entries.range(from..to) {
            bytes += size_of(entry);
            // At least one entry is returned, whatever its size.
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            entries.push(entry.clone());
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let log = self.content.borrow();
        if index == log.compacted_index {
            return Ok(log.compacted_term);
        }
        if index < log.compacted_index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let position = (index - log.compacted_index - 1) as usize;
        let entry = log.entries.get(position);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.content.borrow().compacted_index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        let log = self.content.borrow();
        Ok(log.compacted_index + log.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, member_id: u64) -> raft::Result<Snapshot> {
        let log = self.content.borrow();
        let metadata = log.snapshot.get_metadata();
        let conf_state = metadata.get_conf_state();
        // The snapshot is of no use to a member that it does not include, nor to one that would then need compacted entries.
        let includes_member =
            conf_state.voters.contains(&member_id) || conf_state.learners.contains(&member_id);
        let is_too_old = metadata.index < request_index || metadata.index < log.compacted_index;
        if is_too_old || !includes_member {
            self.snapshot_requested.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(log.snapshot.clone())
    }
}
