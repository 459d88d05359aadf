//! Results of persistence, and failure and recovery of the disk.
use super::{membership, send_all, Action, PersistedState, Voter, VoterEvent};
use raft::eraftpb::MessageType;
use raft::StateRole;

impl Voter {
    /// Handles the report that all persist requests up to this one are on disk.
    pub(super) fn persisted(&mut self, number: u64, actions: &mut Vec<Action>) {
        if self.pending_compaction.is_some_and(|compaction| compaction <= number) {
            self.pending_compaction = None;
        }
        while self.pending_persists.front().is_some_and(|pending| pending.number <= number) {
            let Some(pending) = self.pending_persists.pop_front() else { break };
            send_all(pending.messages, actions);
            if let Some(raft) = &mut self.raft {
                raft.on_persist_ready(pending.ready_number);
            }
        }
        if let Some(install) = self.pending_install.take_if(|install| install.persist_number <= number) {
            send_all(install.messages, actions);
            if let Some(raft) = &mut self.raft {
                let ready_number = install.ready.number();
                raft.advance_append_async(install.ready);
                raft.on_persist_ready(ready_number);
            }
        }
        self.advance_applied();
    }

    pub(super) fn persist_failed(
        &mut self,
        number: u64,
        reason: String,
        intact: bool,
        actions: &mut Vec<Action>,
    ) {
        if intact && self.pending_compaction == Some(number) {
            self.pending_compaction = None;
            actions.push(Action::Report(VoterEvent::SnapshotFailed(reason)));
            return;
        }
        self.storage_failed(reason, actions);
    }

    /// Stops taking part in consensus. The outcome of pending proposals is indeterminate.
    pub(super) fn storage_failed(&mut self, reason: String, actions: &mut Vec<Action>) {
        self.stop_raft(actions);
        self.discard_pending_persists();
        self.leader.step_down(None, actions);
        if self.storage_error.is_none() {
            actions.push(Action::Report(VoterEvent::StorageFailed(reason.clone())));
        }
        self.storage_error = Some(reason);
        self.last_report = None;
    }

    /// Drops the Raft node; a leader first requests that the follower with the longest log start an election at once.
    fn stop_raft(&mut self, actions: &mut Vec<Action>) {
        let Some(mut raft) = self.raft.take() else { return };
        if raft.raft.state != StateRole::Leader {
            return;
        }
        let Some(successor) = membership::successor(&raft) else { return };
        raft.transfer_leader(successor);
        let messages = raft.raft.msgs.drain(..);
        let requests = messages.filter(|message| message.get_msg_type() == MessageType::MsgTimeoutNow);
        send_all(requests.collect(), actions);
    }

    pub(super) fn discard_pending_persists(&mut self) {
        self.pending_persists.clear();
        self.pending_compaction = None;
        self.pending_install = None;
    }

    pub(super) fn storage_recovered(&mut self, persisted: PersistedState, actions: &mut Vec<Action>) {
        if !self.awaits_storage_recovery() {
            return;
        }
        match self.load(persisted) {
            Ok(()) => {
                self.storage_error = None;
                actions.push(Action::Report(VoterEvent::StorageRecovered));
            }
            Err(error) => self.storage_failed(error.to_string(), actions),
        }
    }
}
