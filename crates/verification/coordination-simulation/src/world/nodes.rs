//! Voters, clients and connections as the run holds them.
use super::ScheduledEvent;
use crate::disk::Disk;
use crate::workload::Worker;
use coordination::client::Client;
use coordination::voter::Voter;
use fleet_simulation::agenda::Nanos;
use std::collections::VecDeque;

/// An endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Voter(usize),
    Client(usize),
}

/// A voter with its machine.
pub(super) struct VoterNode {
    pub id: u64,
    /// Name, which is its address too.
    pub name: String,
    /// `None` while it is not running.
    pub voter: Option<Voter>,
    pub disk: Disk,
    pub write_schedule: WriteSchedule,
    /// Incremented by each start and crash; events of an earlier incarnation are ignored.
    pub incarnation: u64,
    /// Number of active faults that suspend it.
    pub suspensions: u32,
    /// Events that arrived while it was suspended.
    pub deferred: VecDeque<ScheduledEvent>,
    /// How many more times it is killed right after it has voted.
    pub kills_after_vote: u32,
    /// It was removed from the cluster.
    pub removed: bool,
}

impl VoterNode {
    pub fn new(id: u64, name: String) -> VoterNode {
        VoterNode {
            id,
            name,
            voter: None,
            disk: Disk::default(),
            write_schedule: WriteSchedule::default(),
            incarnation: 0,
            suspensions: 0,
            deferred: VecDeque::new(),
            kills_after_vote: 0,
            removed: false,
        }
    }
}

/// When the writes of a disk end: one batch is being written, and what comes meanwhile forms the next one.
#[derive(Default)]
pub(super) struct WriteSchedule {
    current_batch: Nanos,
    next_batch: Nanos,
}

impl WriteSchedule {
    /// Adds a write that takes this long by itself; returns when it ends.
    pub fn add(&mut self, now: Nanos, duration: Nanos) -> Nanos {
        if now >= self.current_batch {
            self.current_batch = self.next_batch;
        }
        if now >= self.current_batch {
            self.current_batch = now + duration;
            return self.current_batch;
        }
        if self.next_batch <= self.current_batch {
            self.next_batch = self.current_batch + duration;
        }
        self.next_batch
    }
}

/// A client with its workload.
pub(super) struct ClientNode {
    pub client: Client,
    /// `None` for the operator.
    pub worker: Option<Worker>,
    pub connection: Option<u64>,
    /// Number of active faults that suspend it.
    pub suspensions: u32,
    /// Events that arrived while it was suspended.
    pub deferred: VecDeque<ScheduledEvent>,
    pub last_request_id: u64,
    /// The request of the workload in flight.
    pub pending_request: Option<u64>,
    /// When its last session expires by its own clock, in true time.
    pub session_expiry: Option<Nanos>,
}

/// A connection between a client and a voter. Messages arrive in order.
pub(super) struct Connection {
    pub client: usize,
    pub voter: usize,
    /// Incarnation of the voter.
    pub incarnation: u64,
    /// When the last call arrives.
    pub last_call_at: Nanos,
    /// When the last reply arrives.
    pub last_reply_at: Nanos,
}
