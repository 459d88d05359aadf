//! Voters that join, learn, vote and leave: one change at a time, each agreed like any other command. A process joins with
//! an empty disk and a number of its own; it learns first, and votes once it has what the others have. A number stands
//! for a disk: what comes back under an old name with another disk is another member, and is not taken before the old one
//! was removed by an operator's word.
use super::leader::ORIGIN;
use super::replicated_state::Known;
use super::{reply, Action, Voter, VoterEvent};
use crate::protocol::{Answer, Member};
use crate::raft_log::Log;
use raft::eraftpb::{ConfChange, ConfChangeType};
use raft::{RawNode, StateRole};
use std::collections::BTreeSet;

/// Most members, voters and learners.
pub const MAX_MEMBERS: usize = 9;
/// A learner votes once it lags by no more entries.
const LAG: u64 = 64;

/// Who could lead at once: the voter that has most of the log, of those that were heard lately.
pub(super) fn successor(raft: &RawNode<Log>) -> Option<u64> {
    let tracked = raft.raft.prs();
    let own = raft.raft.id;
    let heard = tracked.iter().filter(|(&id, p)| id != own && p.recent_active);
    let voters = heard.filter(|(&id, _)| tracked.conf().voters().contains(id));
    voters.max_by_key(|(&id, p)| (p.matched, id)).map(|(&id, _)| id)
}

impl Voter {
    /// The members, and what the leader knows of them.
    pub(super) fn members(&self) -> Vec<Member> {
        let Some(state) = &self.state else { return Vec::new() };
        let conf = self.log.conf();
        let leads = self.raft.as_ref().filter(|r| r.raft.state == StateRole::Leader);
        let one = |(&id, known): (&u64, &Known)| {
            let progress = leads.and_then(|r| r.raft.prs().get(id));
            Member {
                id,
                name: known.name.clone(),
                addr: known.addr.clone(),
                is_voter: conf.voters.contains(&id),
                active: leads.map(|_| self.leading.heard(id) || id == self.own.voter),
                match_index: progress.map(|p| p.matched),
            }
        };
        state.members.iter().map(one).collect()
    }

    /// Why the council could not go on with these voters, if it could not.
    fn too_few(&self, voters: &BTreeSet<u64>) -> Option<String> {
        let heard = voters.iter().filter(|&&id| id == self.own.voter || self.leading.heard(id)).count();
        let needed = voters.len() / 2 + 1;
        (heard < needed).then(|| {
            format!(
                "of the {} voters that there would be, {heard} are heard and {needed} are needed",
                voters.len()
            )
        })
    }

    fn change(&mut self, id: u64, what: ConfChangeType, origin: Vec<u8>, known: Option<&Known>) -> bool {
        let Some(raft) = &mut self.raft else { return false };
        let mut change = ConfChange::default();
        change.set_change_type(what);
        change.node_id = id;
        let mut context = origin;
        context.resize(ORIGIN, 0);
        // Texts only: this can't fail.
        context.extend(known.map(|k| serde_json::to_vec(k).unwrap_or_default()).unwrap_or_default());
        !raft.raft.has_pending_conf() && raft.propose_conf_change(context, change).is_ok()
    }

    pub(super) fn join(
        &mut self,
        client: u64,
        id: u64,
        name: &str,
        addr: &str,
        voter: u64,
        out: &mut Vec<Action>,
    ) {
        let (Some(state), Some(cluster)) = (&self.state, self.own.cluster) else { return };
        let joined = Answer::Joined { cluster };
        let failed = |why: String| Answer::Failed(why);
        let known = Known { name: name.into(), addr: addr.into() };
        let answer = match (state.members.get(&voter), state.named(name)) {
            (Some(_), _) => joined,
            (None, Some(old)) => failed(format!(
                "{name} is a member with another disk, voter {old:016x}; if that disk is lost, remove {name} and it joins anew"
            )),
            (None, None) if !self.settings.expected.iter().any(|e| e == name) => {
                failed(format!("{name} is not among the voters of this one's file"))
            }
            (None, None) if state.members.len() >= MAX_MEMBERS => {
                failed(format!("{MAX_MEMBERS} members at most"))
            }
            (None, None) => {
                let origin = self.leading.origin(client, id, Some(joined));
                if self.change(voter, ConfChangeType::AddLearnerNode, origin, Some(&known)) {
                    return;
                }
                self.leading.not_taken();
                Answer::Busy("another change of members".into())
            }
        };
        reply(client, id, answer, out);
    }

    pub(super) fn remove(&mut self, client: u64, id: u64, name: &str, out: &mut Vec<Action>) {
        let named = self.state.as_ref().and_then(|s| s.named(name));
        let answer = match named {
            None => Answer::Failed(format!("{name} is no member")),
            Some(own) if own == self.own.voter => {
                // Whoever leads next removes it.
                let to = self.raft.as_ref().and_then(successor);
                match (to, &mut self.raft) {
                    (Some(to), Some(raft)) => {
                        raft.transfer_leader(to);
                        Answer::Busy(format!("{name} leads, and hands over first"))
                    }
                    _ => Answer::Failed(format!("{name} leads, and no other voter is heard")),
                }
            }
            Some(_) if !self.leading.settled() => Answer::Busy("the leader takes office".into()),
            Some(gone) => {
                let mut voters: BTreeSet<u64> = self.log.conf().voters.into_iter().collect();
                let voted = voters.remove(&gone);
                match self.too_few(&voters) {
                    Some(why) if voted => Answer::Failed(why),
                    _ => {
                        let origin = self.leading.origin(client, id, Some(Answer::Done));
                        if self.change(gone, ConfChangeType::RemoveNode, origin, None) {
                            return;
                        }
                        self.leading.not_taken();
                        Answer::Busy("another change of members".into())
                    }
                }
            }
        };
        reply(client, id, answer, out);
    }

    pub(super) fn transfer(&mut self, client: u64, id: u64, name: &str, out: &mut Vec<Action>) {
        let named = self.state.as_ref().and_then(|s| s.named(name));
        let votes = named.filter(|id| self.log.conf().voters.contains(id));
        let answer = match (votes, &mut self.raft) {
            (Some(to), Some(raft)) => {
                if to != self.own.voter {
                    raft.transfer_leader(to);
                }
                Answer::Done
            }
            _ => Answer::Failed(format!("{name} is no voter")),
        };
        reply(client, id, answer, out);
    }

    /// A learner that has learned votes from now on, if the voters that there would be can go on.
    pub(super) fn promote(&mut self) {
        let (Some(raft), Some(state)) = (&self.raft, &self.state) else { return };
        let last = raft.raft.raft_log.last_index();
        let conf = self.log.conf();
        let learned = |id: &&u64| {
            let progress = raft.raft.prs().get(**id);
            progress.is_some_and(|p| p.recent_active && p.matched > 0 && p.matched + LAG >= last)
        };
        let Some(&id) = conf.learners.iter().find(learned) else { return };
        let mut voters: BTreeSet<u64> = conf.voters.iter().copied().collect();
        voters.insert(id);
        let known = state.members.get(&id).cloned();
        if self.too_few(&voters).is_none() {
            self.change(id, ConfChangeType::AddNode, Vec::new(), known.as_ref());
        }
    }

    /// A change of members is agreed.
    pub(super) fn change_members(
        &mut self,
        change: &ConfChange,
        context: &[u8],
        out: &mut Vec<Action>,
    ) -> Result<(), String> {
        let (Some(raft), Some(state)) = (&mut self.raft, &mut self.state) else { return Ok(()) };
        let conf = raft.apply_conf_change(change).map_err(|e| e.to_string())?;
        self.log.set_conf(conf);
        let id = change.node_id;
        let (origin, known) = context.split_at(context.len().min(ORIGIN));
        let note = match change.get_change_type() {
            ConfChangeType::RemoveNode => {
                let name = state.members.remove(&id).map_or_else(String::new, |k| k.name);
                format!("{name} is a member no more")
            }
            what => {
                let known: Known = serde_json::from_slice(known).map_err(|e| format!("a member: {e}"))?;
                let name = known.name.clone();
                state.members.insert(id, known);
                match what {
                    ConfChangeType::AddNode => format!("{name} votes"),
                    _ => format!("{name} joins, and learns"),
                }
            }
        };
        let origin = origin.to_vec();
        self.leading.tell(&origin, Answer::Done, out);
        out.push(Action::Report(VoterEvent::MembershipChanged(note)));
        if id == self.own.voter && change.get_change_type() == ConfChangeType::RemoveNode {
            self.removed = true;
            out.push(Action::Report(VoterEvent::Removed));
        }
        Ok(())
    }
}
