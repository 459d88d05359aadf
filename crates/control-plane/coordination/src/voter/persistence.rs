//! Records of a voter's journal. The first byte of a record is its kind.
use super::replicated_state::ReplicatedState;
use super::{RecordError, VoterError};
use crate::limits::Limits;
use crate::protocol::Member;
use crate::state_machine::{DecodeError, StateMachine};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

// Kinds of records. They are the stored form and must not change.
const IDENTITY: u8 = b'i';
const SNAPSHOT: u8 = b's';
const HARD_STATE: u8 = b'h';
const ENTRY: u8 = b'e';

/// The voter that a journal belongs to. Written when the journal is created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the cluster; `None` until the voter has joined one.
    pub cluster: Option<u64>,
    /// Random id of the voter.
    pub voter: u64,
    /// Name of the voter.
    pub name: String,
}

/// Content of a journal.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// `None` for an empty journal.
    pub identity: Option<Identity>,
    pub(super) snapshot: Snapshot,
    pub(super) hard_state: HardState,
    /// Entries after the snapshot.
    pub(super) entries: Vec<Entry>,
}

impl PersistedState {
    /// Reads the records of a journal.
    ///
    /// # Errors
    /// A record is invalid, for instance because a newer build wrote it.
    pub fn read(records: &[Vec<u8>]) -> Result<PersistedState, VoterError> {
        let mut state = PersistedState::default();
        for (index, record) in records.iter().enumerate() {
            state.read_record(record).map_err(|source| VoterError::Record { index, source })?;
        }
        Ok(state)
    }

    fn read_record(&mut self, record: &[u8]) -> Result<(), RecordError> {
        let (kind, content) = record.split_first().ok_or(RecordError::Empty)?;
        match *kind {
            IDENTITY => self.identity = Some(serde_json::from_slice(content)?),
            SNAPSHOT => {
                self.snapshot = Snapshot::parse_from_bytes(content)?;
                let index = self.snapshot.get_metadata().index;
                self.entries.retain(|entry| entry.index > index);
            }
            HARD_STATE => self.hard_state = HardState::parse_from_bytes(content)?,
            ENTRY => {
                let entry = Entry::parse_from_bytes(content)?;
                // An entry replaces the entries with the same or a greater index.
                while self.entries.last().is_some_and(|last| last.index >= entry.index) {
                    self.entries.pop();
                }
                self.entries.push(entry);
            }
            unknown => return Err(RecordError::UnknownKind(unknown)),
        }
        Ok(())
    }
}

/// Encodes the record of an identity.
pub fn encode_identity(identity: &Identity) -> Vec<u8> {
    let mut record = vec![IDENTITY];
    record.extend(serde_json::to_vec(identity).unwrap_or_default());
    record
}

pub(super) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    encode(SNAPSHOT, snapshot)
}

pub(super) fn encode_hard_state(hard_state: &HardState) -> Vec<u8> {
    encode(HARD_STATE, hard_state)
}

pub(super) fn encode_entry(entry: &Entry) -> Vec<u8> {
    encode(ENTRY, entry)
}

fn encode(kind: u8, message: &impl protobuf::Message) -> Vec<u8> {
    let mut record = vec![kind];
    // An initialized message is written to memory, which can't fail.
    let _ = message.write_to_vec(&mut record);
    record
}

/// The first records of the first voter of a new cluster.
pub fn bootstrap(cluster: u64, first: &Member, limits: Limits) -> Vec<Vec<u8>> {
    initial_records(ReplicatedState::new(cluster, first, StateMachine::new(limits)), first)
}

/// The first records of the first voter of a cluster that is restored from a backup. All sessions have ended, and no
/// revision is assigned twice unless more than `gap` changes were made after the backup.
///
/// # Errors
/// The backup is invalid.
pub fn restore(cluster: u64, first: &Member, backup: &[u8], gap: u64) -> Result<Vec<Vec<u8>>, DecodeError> {
    let mut state_machine = ReplicatedState::decode(backup)?.state_machine;
    state_machine.mark_restored(gap);
    Ok(initial_records(ReplicatedState::new(cluster, first, state_machine), first))
}

fn initial_records(state: ReplicatedState, first: &Member) -> Vec<Vec<u8>> {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(state.encode().into());
    let mut conf_state = ConfState::default();
    conf_state.set_voters(vec![first.id]);
    let metadata = snapshot.mut_metadata();
    metadata.set_conf_state(conf_state);
    (metadata.index, metadata.term) = (1, 1);
    let mut hard_state = HardState::default();
    (hard_state.term, hard_state.commit) = (1, 1);
    let identity = Identity { cluster: Some(state.cluster), voter: first.id, name: first.name.clone() };
    vec![encode_identity(&identity), encode_snapshot(&snapshot), encode_hard_state(&hard_state)]
}
