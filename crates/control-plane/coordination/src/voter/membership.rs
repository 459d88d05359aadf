//! Membership changes: joining, promotion and removal, one at a time, each replicated through the log.
//!
//! A process joins with an empty disk and a random voter id. It is a learner first, and is promoted to voter once it has
//! caught up. A voter id identifies a disk: a process that returns under a known name with another disk is a new member,
//! and is rejected until an operator has removed the former one.
use super::leader::{CallId, PROPOSAL_CONTEXT_BYTES};
use super::replicated_state::MemberAddress;
use super::{reply, Action, Voter, VoterError, VoterEvent};
use crate::protocol::{Answer, Member};
use crate::raft_log::RaftLog;
use raft::eraftpb::{ConfChange, ConfChangeType};
use raft::{RawNode, StateRole};
use std::collections::BTreeSet;

/// Maximum number of members, voters and learners together.
const MAX_MEMBERS: usize = 9;
/// Maximum number of entries by which a learner may lag when it is promoted.
const MAX_PROMOTION_LAG: u64 = 64;

/// Returns the id of the active voter with the longest log, to which leadership can be transferred at once.
pub(super) fn successor(raft: &RawNode<RaftLog>) -> Option<u64> {
    let tracker = raft.raft.prs();
    let own_id = raft.raft.id;
    let active = tracker.iter().filter(|(&id, progress)| id != own_id && progress.recent_active);
    let voters = active.filter(|(&id, _)| tracker.conf().voters().contains(id));
    voters.max_by_key(|(&id, progress)| (progress.matched, id)).map(|(&id, _)| id)
}

impl Voter {
    /// The members, with their progress if this voter is the leader.
    pub(super) fn members(&self) -> Vec<Member> {
        let Some(state) = &self.state else { return Vec::new() };
        let conf_state = self.log.conf_state();
        let leading = self.raft.as_ref().filter(|raft| raft.raft.state == StateRole::Leader);
        let member = |(&id, address): (&u64, &MemberAddress)| Member {
            id,
            name: address.name.clone(),
            addr: address.addr.clone(),
            is_voter: conf_state.voters.contains(&id),
            active: leading.map(|_| self.is_member_active(id)),
            match_index: leading.and_then(|raft| raft.raft.prs().get(id)).map(|progress| progress.matched),
        };
        state.members.iter().map(member).collect()
    }

    fn is_member_active(&self, id: u64) -> bool {
        self.leader.is_active(id) || id == self.identity.voter
    }

    /// Reason for which these voters would have no quorum; `None` if enough of them are active.
    fn missing_quorum(&self, voters: &BTreeSet<u64>) -> Option<String> {
        let active = voters.iter().filter(|&&id| self.is_member_active(id)).count();
        let quorum = voters.len() / 2 + 1;
        (active < quorum).then(|| {
            format!(
                "of the {} voters that there would be, {active} are heard and {quorum} are needed",
                voters.len()
            )
        })
    }

    fn propose_change(
        &mut self,
        id: u64,
        change_type: ConfChangeType,
        proposal_context: Vec<u8>,
        address: Option<&MemberAddress>,
    ) -> bool {
        let Some(raft) = &mut self.raft else { return false };
        let mut change = ConfChange::default();
        change.set_change_type(change_type);
        change.node_id = id;
        let mut context = proposal_context;
        context.resize(PROPOSAL_CONTEXT_BYTES, 0);
        // Strings only, so serialization can't fail.
        context.extend(
            address.map(|address| serde_json::to_vec(address).unwrap_or_default()).unwrap_or_default(),
        );
        !raft.raft.has_pending_conf() && raft.propose_conf_change(context, change).is_ok()
    }

    /// Proposes a membership change for a call; replies that the voter is busy if another change is pending.
    fn propose_change_for(
        &mut self,
        call: CallId,
        id: u64,
        change_type: ConfChangeType,
        address: Option<&MemberAddress>,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let context = self.leader.start_proposal(call.client, call.call_id, Some(answer));
        if !self.propose_change(id, change_type, context, address) {
            self.leader.cancel_proposal();
            let answer = Answer::Busy("another change of members".into());
            reply(call.client, call.call_id, answer, actions);
        }
    }

    pub(super) fn join(
        &mut self,
        call: CallId,
        name: &str,
        addr: &str,
        voter: u64,
        actions: &mut Vec<Action>,
    ) {
        let (Some(state), Some(cluster)) = (&self.state, self.identity.cluster) else { return };
        let joined = Answer::Joined { cluster };
        let answer = match (state.members.get(&voter), state.member_named(name)) {
            (Some(_), _) => joined,
            (None, Some(former)) => Answer::Failed(format!(
                "{name} is a member with another disk, voter {former:016x}; if that disk is lost, remove {name} and it joins anew"
            )),
            (None, None) if !self.config.expected_members.iter().any(|expected| expected == name) => {
                Answer::Failed(format!("{name} is not among the voters of this one's file"))
            }
            (None, None) if state.members.len() >= MAX_MEMBERS => {
                Answer::Failed(format!("{MAX_MEMBERS} members at most"))
            }
            (None, None) => {
                let address = MemberAddress { name: name.into(), addr: addr.into() };
                let change = ConfChangeType::AddLearnerNode;
                return self.propose_change_for(call, voter, change, Some(&address), joined, actions);
            }
        };
        reply(call.client, call.call_id, answer, actions);
    }

    pub(super) fn remove_member(&mut self, call: CallId, name: &str, actions: &mut Vec<Action>) {
        let id = self.state.as_ref().and_then(|state| state.member_named(name));
        let answer = match id {
            None => Answer::Failed(format!("{name} is no member")),
            Some(id) if id == self.identity.voter => self.transfer_before_removal(name),
            Some(_) if !self.leader.knows_active_members() => Answer::Busy("the leader takes office".into()),
            Some(id) => {
                let mut voters: BTreeSet<u64> = self.log.conf_state().voters.into_iter().collect();
                let is_voter = voters.remove(&id);
                match self.missing_quorum(&voters) {
                    Some(reason) if is_voter => Answer::Failed(reason),
                    _ => {
                        let change = ConfChangeType::RemoveNode;
                        return self.propose_change_for(call, id, change, None, Answer::Done, actions);
                    }
                }
            }
        };
        reply(call.client, call.call_id, answer, actions);
    }

    /// Transfers leadership before the removal of this voter: a leader can't remove itself, so the next leader does.
    fn transfer_before_removal(&mut self, name: &str) -> Answer {
        let successor = self.raft.as_ref().and_then(successor);
        match (successor, &mut self.raft) {
            (Some(successor), Some(raft)) => {
                raft.transfer_leader(successor);
                Answer::Busy(format!("{name} leads, and hands over first"))
            }
            _ => Answer::Failed(format!("{name} leads, and no other voter is heard")),
        }
    }

    /// Transfers leadership to the voter with this name.
    pub(super) fn transfer_leadership(&mut self, name: &str) -> Answer {
        let id = self.state.as_ref().and_then(|state| state.member_named(name));
        let voter = id.filter(|id| self.log.conf_state().voters.contains(id));
        match (voter, &mut self.raft) {
            (Some(voter), Some(raft)) => {
                if voter != self.identity.voter {
                    raft.transfer_leader(voter);
                }
                Answer::Done
            }
            _ => Answer::Failed(format!("{name} is no voter")),
        }
    }

    /// Promotes a learner that has caught up, if enough of the resulting voters are active for a quorum.
    pub(super) fn promote_learner(&mut self) {
        let (Some(raft), Some(state)) = (&self.raft, &self.state) else { return };
        let last_index = raft.raft.raft_log.last_index();
        let conf_state = self.log.conf_state();
        let has_caught_up = |id: &&u64| {
            let progress = raft.raft.prs().get(**id);
            progress.is_some_and(|progress| {
                let matched = progress.matched;
                progress.recent_active && matched > 0 && matched + MAX_PROMOTION_LAG >= last_index
            })
        };
        let Some(&id) = conf_state.learners.iter().find(has_caught_up) else { return };
        let mut voters: BTreeSet<u64> = conf_state.voters.iter().copied().collect();
        voters.insert(id);
        let address = state.members.get(&id).cloned();
        if self.missing_quorum(&voters).is_none() {
            self.propose_change(id, ConfChangeType::AddNode, Vec::new(), address.as_ref());
        }
    }

    /// Applies a committed membership change.
    pub(super) fn apply_conf_change(
        &mut self,
        change: &ConfChange,
        context: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), VoterError> {
        let (Some(raft), Some(state)) = (&mut self.raft, &mut self.state) else { return Ok(()) };
        let conf_state = raft.apply_conf_change(change)?;
        self.log.set_conf_state(conf_state);
        let id = change.node_id;
        let (proposal_context, address) = context.split_at(context.len().min(PROPOSAL_CONTEXT_BYTES));
        let report = match change.get_change_type() {
            ConfChangeType::RemoveNode => {
                let name = state.members.remove(&id).map_or_else(String::new, |member| member.name);
                format!("{name} was removed from the members")
            }
            change_type => {
                let address: MemberAddress = serde_json::from_slice(address).map_err(VoterError::Member)?;
                let name = address.name.clone();
                state.members.insert(id, address);
                match change_type {
                    ConfChangeType::AddNode => format!("{name} is a voter now"),
                    _ => format!("{name} joined as a learner"),
                }
            }
        };
        self.leader.complete_proposal(proposal_context, Answer::Done, actions);
        actions.push(Action::Report(VoterEvent::MembershipChanged(report)));
        if id == self.identity.voter && change.get_change_type() == ConfChangeType::RemoveNode {
            self.removed = true;
            actions.push(Action::Report(VoterEvent::Removed));
        }
        Ok(())
    }
}
