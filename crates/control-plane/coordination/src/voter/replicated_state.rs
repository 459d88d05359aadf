//! The state that is replicated: the state machine and the members of the cluster.
use crate::protocol::Member;
use crate::state_machine::{DecodeError, StateMachine};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Content of a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    /// Random id of the cluster.
    pub cluster: u64,
    /// Voters and learners, by voter id.
    pub members: BTreeMap<u64, MemberAddress>,
    #[serde(rename = "record")]
    pub state_machine: StateMachine,
}

/// Name and address of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberAddress {
    pub name: String,
    pub addr: String,
}

impl ReplicatedState {
    /// The state of a cluster with one member.
    pub fn new(cluster: u64, first: &Member, state_machine: StateMachine) -> ReplicatedState {
        let address = MemberAddress { name: first.name.clone(), addr: first.addr.clone() };
        ReplicatedState { cluster, members: BTreeMap::from([(first.id, address)]), state_machine }
    }

    /// Decodes the result of [`ReplicatedState::encode`].
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedState, DecodeError> {
        let mut state: ReplicatedState = serde_json::from_slice(bytes)?;
        state.state_machine = state.state_machine.with_indexes();
        Ok(state)
    }

    /// Serializes the state as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Strings and numbers only, so serialization can't fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The id of the member with this name.
    pub fn member_named(&self, name: &str) -> Option<u64> {
        self.members.iter().find(|(_, member)| member.name == name).map(|(&id, _)| id)
    }
}
