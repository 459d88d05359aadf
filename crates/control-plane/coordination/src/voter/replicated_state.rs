//! What the voters agree on: the record, and who they are.
use crate::protocol::Member;
use crate::state_machine::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All that a snapshot holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct State {
    pub cluster: u64,
    /// By number.
    pub members: BTreeMap<u64, Known>,
    pub record: StateMachine,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Known {
    pub name: String,
    pub addr: String,
}

impl State {
    pub fn new(cluster: u64, first: &Member, record: StateMachine) -> State {
        let known = Known { name: first.name.clone(), addr: first.addr.clone() };
        State { cluster, members: BTreeMap::from([(first.id, known)]), record }
    }

    pub fn read(bytes: &[u8]) -> Result<State, String> {
        let mut state: State = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        state.record = state.record.rebuilt();
        Ok(state)
    }

    /// As JSON.
    pub fn write(&self) -> Vec<u8> {
        // Texts and numbers only: this can't fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub fn named(&self, name: &str) -> Option<u64> {
        self.members.iter().find(|(_, known)| known.name == name).map(|(&id, _)| id)
    }
}
