//! Log compaction: the applied part of the log is replaced by a snapshot.
use super::{Action, Voter, MAX_LOG_BYTES, RETAINED_LOG_ENTRIES};
use raft::eraftpb::Snapshot;

impl Voter {
    /// Takes a snapshot if the log has grown too long, or if a follower needs a snapshot.
    pub(super) fn compact_log(&mut self, actions: &mut Vec<Action>) {
        let (entries, bytes) = self.log.size();
        let snapshot_index = self.log.last_snapshot().get_metadata().index;
        let max_entries = self.config.log_entries;
        let retained = RETAINED_LOG_ENTRIES.min(max_entries / 2);
        let is_long = (entries > max_entries || bytes > MAX_LOG_BYTES)
            && self.applied_index > snapshot_index + retained;
        let is_requested = self.log.take_snapshot_request() && self.applied_index > snapshot_index;
        if self.pending_compaction.is_some() || !(is_long || is_requested) {
            return;
        }
        let Some(snapshot) = self.take_snapshot() else { return };
        // Entries that `raft` itself has not applied yet are kept.
        let raft_applied = self.raft.as_ref().map_or(0, |raft| raft.raft.raft_log.applied());
        let first_retained =
            if is_long { self.applied_index.saturating_sub(retained).min(raft_applied) } else { 0 };
        self.log.compact(snapshot, first_retained);
        self.pending_compaction = Some(self.replace_journal(true, actions));
    }

    /// A snapshot of the applied state.
    fn take_snapshot(&self) -> Option<Snapshot> {
        let term = self.log.term_of(self.applied_index)?;
        let mut state = self.state.clone()?;
        if self.config.defects.forgetful_snapshots {
            state.state_machine.forget_last_transactions();
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(state.encode().into());
        let metadata = snapshot.mut_metadata();
        metadata.set_conf_state(self.log.conf_state());
        (metadata.index, metadata.term) = (self.applied_index, term);
        Some(snapshot)
    }
}
