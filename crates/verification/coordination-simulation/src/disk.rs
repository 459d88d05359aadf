//! Model of a voter's disk: synced records survive a crash; of the others, a prefix may survive.
use coordination::voter::PersistRequest;
use protobuf::Message as _;
use raft::eraftpb::HardState;
use std::collections::VecDeque;

/// Kind of the record that holds term and vote, as the voter's journal stores it.
const HARD_STATE_RECORD: u8 = b'h';

/// A disk.
#[derive(Debug, Default)]
pub struct Disk {
    records: Vec<Vec<u8>>,
    pending: VecDeque<PersistRequest>,
    /// Writes fail.
    pub full: bool,
    /// Writes take long.
    pub slow: bool,
}

fn write(records: &mut Vec<Vec<u8>>, request: PersistRequest) {
    if request.replace {
        records.clear();
    }
    records.extend(request.records);
}

impl Disk {
    /// A disk with these records.
    pub fn with(records: Vec<Vec<u8>>) -> Disk {
        Disk { records, ..Disk::default() }
    }

    /// Starts a write.
    pub fn start(&mut self, request: PersistRequest) {
        self.pending.push_back(request);
    }

    /// Completes the write with this number, and all before it.
    pub fn complete(&mut self, number: u64) {
        while self.pending.front().is_some_and(|request| request.number <= number) {
            if let Some(request) = self.pending.pop_front() {
                write(&mut self.records, request);
            }
        }
    }

    /// Discards the pending writes.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }

    /// The machine crashes; this share of the pending writes survives.
    pub fn crash(&mut self, share: f64) {
        let surviving = (self.pending.len() as f64 * share).round() as usize;
        for request in self.pending.drain(..).take(surviving) {
            write(&mut self.records, request);
        }
    }

    /// The records on disk.
    pub fn records(&self) -> &[Vec<u8>] {
        &self.records
    }

    /// Removes the vote from the records.
    pub fn forget_votes(&mut self) {
        for record in &mut self.records {
            let Some((&HARD_STATE_RECORD, content)) = record.split_first() else { continue };
            let Ok(mut hard_state) = HardState::parse_from_bytes(content) else { continue };
            hard_state.vote = 0;
            *record = [vec![HARD_STATE_RECORD], hard_state.write_to_bytes().unwrap_or_default()].concat();
        }
    }
}
