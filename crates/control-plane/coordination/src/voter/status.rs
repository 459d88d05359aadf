//! The voter's view of the cluster.
use super::Voter;
use crate::protocol::Status;
use raft::StateRole;

impl Voter {
    /// The voter's view of the cluster.
    pub fn status(&self) -> Status {
        let mut status = Status {
            name: self.identity.name.clone(),
            voter: self.identity.voter,
            cluster: self.identity.cluster.unwrap_or(0),
            role: self.role().into(),
            storage_error: self.storage_error.clone(),
            applied_index: self.applied_index,
            log: self.log.size(),
            watches: self.leader.watch_count(),
            ..Status::default()
        };
        if let Some(raft) = &self.raft {
            status.term = raft.raft.term;
            status.last_index = raft.raft.raft_log.last_index();
            status.commit_index = raft.raft.raft_log.committed;
        }
        if let Some(state) = &self.state {
            let (keys, bytes) = state.state_machine.size();
            status.revision = state.state_machine.revision();
            status.size = (keys as u64, bytes);
            let sessions = state.state_machine.sessions();
            status.sessions = sessions.map(|(id, session)| (id, session.name.clone())).collect();
            status.members = self.members();
            let leader = self.raft.as_ref().map_or(0, |raft| raft.raft.leader_id);
            status.leader = state.members.get(&leader).map(|member| member.name.clone());
        }
        status
    }

    /// The role of this voter, as in [`Status::role`].
    fn role(&self) -> &'static str {
        match &self.raft {
            _ if self.removed => "removed",
            None => "aside",
            Some(raft) => match raft.raft.state {
                StateRole::Leader => "leader",
                StateRole::Follower if !raft.raft.promotable() => "learner",
                StateRole::Follower => "follower",
                StateRole::Candidate | StateRole::PreCandidate => "candidate",
            },
        }
    }
}
