//! The model of a voter's disk: what was synced outlives a crash; of what was not, the first saves may have come to it.
use coordination::voter::PersistRequest;
use std::collections::VecDeque;

/// A disk.
#[derive(Debug, Default)]
pub struct Disk {
    frames: Vec<Vec<u8>>,
    pending: VecDeque<PersistRequest>,
    /// Nothing can be written.
    pub full: bool,
    /// Saves take long.
    pub slow: bool,
}

fn put(frames: &mut Vec<Vec<u8>>, save: PersistRequest) {
    if save.replace {
        frames.clear();
    }
    frames.extend(save.records);
}

impl Disk {
    /// A disk that holds this.
    pub fn with(frames: Vec<Vec<u8>>) -> Disk {
        Disk { frames, ..Disk::default() }
    }

    /// Something is to be saved.
    pub fn begin(&mut self, save: PersistRequest) {
        self.pending.push_back(save);
    }

    /// The disk has the save with this number, and all before it.
    pub fn done(&mut self, number: u64) {
        while self.pending.front().is_some_and(|s| s.number <= number) {
            if let Some(save) = self.pending.pop_front() {
                put(&mut self.frames, save);
            }
        }
    }

    /// Saves that are under way are given up: none of them came to the disk.
    pub fn give_up(&mut self) {
        self.pending.clear();
    }

    /// The machine went down; this share of the saves under way had come to the disk.
    pub fn crash(&mut self, share: f64) {
        let came = (self.pending.len() as f64 * share).round() as usize;
        for save in self.pending.drain(..).take(came) {
            put(&mut self.frames, save);
        }
    }

    /// What it holds.
    pub fn frames(&self) -> &[Vec<u8>] {
        &self.frames
    }

    /// Loses what it knows of votes.
    pub fn forget_votes(&mut self) {
        use protobuf::Message as _;
        for frame in self.frames.iter_mut().filter(|f| f.first() == Some(&b'h')) {
            let Ok(mut hard) = raft::eraftpb::HardState::parse_from_bytes(&frame[1..]) else { continue };
            hard.vote = 0;
            *frame = [vec![b'h'], hard.write_to_bytes().unwrap_or_default()].concat();
        }
    }
}
