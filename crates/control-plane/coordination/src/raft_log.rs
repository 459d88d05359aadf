//! The log as the agreement reads it: in memory, from the last snapshot on. The disk's copy is the voter's matter.
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

#[derive(Default)]
struct Held {
    hard: HardState,
    conf: ConfState,
    /// The last one, with its data.
    snapshot: Snapshot,
    /// Index and term of the entry before the first that is held.
    before: (u64, u64),
    entries: VecDeque<Entry>,
    bytes: u64,
}

/// A handle to it; the agreement holds another.
#[derive(Clone, Default)]
pub struct Log {
    held: Rc<RefCell<Held>>,
    /// Whether a member needs a snapshot that there is none of yet.
    wanted: Rc<Cell<bool>>,
}

fn weight(entry: &Entry) -> u64 {
    (entry.data.len() + entry.context.len() + 32) as u64
}

impl Log {
    /// Of what a disk held.
    pub fn new(snapshot: Snapshot, hard: HardState, entries: Vec<Entry>) -> Log {
        let log = Log::default();
        log.install(snapshot);
        log.append(&entries);
        log.held.borrow_mut().hard = hard;
        log
    }

    /// Takes a snapshot in place of all that is held.
    pub fn install(&self, snapshot: Snapshot) {
        let mut h = self.held.borrow_mut();
        let about = snapshot.get_metadata();
        h.before = (about.index, about.term);
        h.conf = about.get_conf_state().clone();
        h.hard.commit = h.hard.commit.max(about.index);
        h.hard.term = h.hard.term.max(about.term);
        h.entries.clear();
        h.bytes = 0;
        h.snapshot = snapshot;
    }

    /// Puts entries behind those that are held, in place of those with their numbers.
    pub fn append(&self, entries: &[Entry]) {
        let mut h = self.held.borrow_mut();
        for entry in entries {
            if entry.index <= h.before.0 {
                continue;
            }
            while h.entries.back().is_some_and(|last| last.index >= entry.index) {
                let gone = h.entries.pop_back();
                h.bytes -= gone.as_ref().map_or(0, weight);
            }
            h.bytes += weight(entry);
            h.entries.push_back(entry.clone());
        }
    }

    /// Term and vote.
    pub fn set_hard(&self, hard: HardState) {
        self.held.borrow_mut().hard = hard;
    }

    /// Term and vote.
    pub fn hard(&self) -> HardState {
        self.held.borrow().hard.clone()
    }

    /// Who votes and who learns, as of what is applied.
    pub fn set_conf(&self, conf: ConfState) {
        self.held.borrow_mut().conf = conf;
    }

    /// Who votes and who learns.
    pub fn conf(&self) -> ConfState {
        self.held.borrow().conf.clone()
    }

    /// Keeps a snapshot; entries up to `keep_from` go.
    pub fn fold(&self, snapshot: Snapshot, keep_from: u64) {
        let mut h = self.held.borrow_mut();
        while h.entries.front().is_some_and(|first| first.index < keep_from) {
            let Some(gone) = h.entries.pop_front() else { break };
            h.bytes -= weight(&gone);
            h.before = (gone.index, gone.term);
        }
        h.snapshot = snapshot;
    }

    /// The last snapshot.
    pub fn snapshot_kept(&self) -> Snapshot {
        self.held.borrow().snapshot.clone()
    }

    /// The entries behind this one.
    pub fn behind(&self, index: u64) -> Vec<Entry> {
        self.held.borrow().entries.iter().filter(|e| e.index > index).cloned().collect()
    }

    /// Entries that are held, and their bytes.
    pub fn size(&self) -> (u64, u64) {
        let h = self.held.borrow();
        (h.entries.len() as u64, h.bytes)
    }

    /// Whether a member needs a snapshot that there is none of; asked once.
    pub fn wants_snapshot(&self) -> bool {
        self.wanted.replace(false)
    }

    /// The term of an entry.
    pub fn term_of(&self, index: u64) -> Option<u64> {
        self.term(index).ok()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let h = self.held.borrow();
        Ok(RaftState::new(h.hard.clone(), h.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let h = self.held.borrow();
        let first = h.before.0 + 1;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        let (from, to) = ((low - first) as usize, (high - first) as usize);
        if to > h.entries.len() {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut all = Vec::new();
        let mut bytes = 0;
        for entry in h.entries.range(from..to) {
            bytes += weight(entry);
            if !all.is_empty() && bytes > most {
                break;
            }
            all.push(entry.clone());
        }
        Ok(all)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let h = self.held.borrow();
        if index == h.before.0 {
            return Ok(h.before.1);
        }
        if index < h.before.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = (index - h.before.0 - 1) as usize;
        h.entries.get(at).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.held.borrow().before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        let h = self.held.borrow();
        Ok(h.before.0 + h.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let h = self.held.borrow();
        let about = h.snapshot.get_metadata();
        let conf = about.get_conf_state();
        // Of no use to a member that it does not know, nor to one that goes on from before its entries.
        let knows = conf.voters.contains(&to) || conf.learners.contains(&to);
        if about.index < request_index || about.index < h.before.0 || !knows {
            self.wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(h.snapshot.clone())
    }
}
