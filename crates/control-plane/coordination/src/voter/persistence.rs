//! What a voter keeps on its disk: a journal of frames, each a letter and its content.
use super::replicated_state::State;
use crate::limits::Limits;
use crate::protocol::Member;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

/// Who a disk belongs to. Written once, when the disk is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The council's number; `None`: it has not joined one yet.
    pub cluster: Option<u64>,
    /// The voter's number.
    pub voter: u64,
    /// Its name.
    pub name: String,
}

/// What a disk holds.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// `None`: nothing at all, the disk is new.
    pub identity: Option<Identity>,
    pub(super) snapshot: Snapshot,
    pub(super) hard: HardState,
    pub(super) entries: Vec<Entry>,
}

const IDENTITY: u8 = b'i';
const SNAPSHOT: u8 = b's';
const HARD: u8 = b'h';
const ENTRY: u8 = b'e';

fn frame(letter: u8, message: &impl protobuf::Message) -> Vec<u8> {
    let mut bytes = vec![letter];
    // Into memory, of a message that is whole: this can't fail.
    let _ = message.write_to_vec(&mut bytes);
    bytes
}

/// The frame of an identity.
pub fn identity(identity: &Identity) -> Vec<u8> {
    let mut bytes = vec![IDENTITY];
    bytes.extend(serde_json::to_vec(identity).unwrap_or_default());
    bytes
}

pub(super) fn snapshot(s: &Snapshot) -> Vec<u8> {
    frame(SNAPSHOT, s)
}

pub(super) fn hard(h: &HardState) -> Vec<u8> {
    frame(HARD, h)
}

pub(super) fn entry(e: &Entry) -> Vec<u8> {
    frame(ENTRY, e)
}

impl PersistedState {
    /// What these frames say.
    ///
    /// # Errors
    /// One of them says nothing that is known: it is of a newer build.
    pub fn read(frames: &[Vec<u8>]) -> Result<PersistedState, String> {
        let mut kept = PersistedState::default();
        for (at, frame) in frames.iter().enumerate() {
            let unknown = |why: String| format!("record {at}: {why}");
            let (letter, content) = frame.split_first().ok_or_else(|| unknown("is empty".into()))?;
            match *letter {
                IDENTITY => {
                    kept.identity =
                        Some(serde_json::from_slice(content).map_err(|e| unknown(e.to_string()))?);
                }
                SNAPSHOT => {
                    kept.snapshot =
                        Snapshot::parse_from_bytes(content).map_err(|e| unknown(e.to_string()))?;
                    let index = kept.snapshot.get_metadata().index;
                    kept.entries.retain(|e: &Entry| e.index > index);
                }
                HARD => {
                    kept.hard = HardState::parse_from_bytes(content).map_err(|e| unknown(e.to_string()))?
                }
                ENTRY => {
                    let entry = Entry::parse_from_bytes(content).map_err(|e| unknown(e.to_string()))?;
                    while kept.entries.last().is_some_and(|last| last.index >= entry.index) {
                        kept.entries.pop();
                    }
                    kept.entries.push(entry);
                }
                other => return Err(unknown(format!("is of kind {other}, which this build does not know"))),
            }
        }
        Ok(kept)
    }
}

/// The first frames of a new council's first voter.
pub fn bootstrap(cluster: u64, first: &Member, bounds: Limits) -> Vec<Vec<u8>> {
    formed(State::new(cluster, first, crate::state_machine::StateMachine::new(bounds)), first)
}

/// The first frames of a council that is formed anew with the record of a backup. All sessions have ended, and no number
/// that was given before is given again unless more than `gap` changes were made after the backup.
///
/// # Errors
/// The backup is none.
pub fn restore(cluster: u64, first: &Member, backup: &[u8], gap: u64) -> Result<Vec<Vec<u8>>, String> {
    let mut record = State::read(backup)?.record;
    record.mark_restored(gap);
    Ok(formed(State::new(cluster, first, record), first))
}

fn formed(state: State, first: &Member) -> Vec<Vec<u8>> {
    let mut start = Snapshot::default();
    start.set_data(state.write().into());
    let mut conf = ConfState::default();
    conf.set_voters(vec![first.id]);
    let about = start.mut_metadata();
    about.set_conf_state(conf);
    (about.index, about.term) = (1, 1);
    let mut term = HardState::default();
    (term.term, term.commit) = (1, 1);
    let own = Identity { cluster: Some(state.cluster), voter: first.id, name: first.name.clone() };
    vec![identity(&own), snapshot(&start), hard(&term)]
}
