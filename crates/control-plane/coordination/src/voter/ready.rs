//! Processing of what `raft` reports as ready: messages to send, entries to persist, committed entries to apply.
use super::replicated_state::ReplicatedState;
use super::{persistence, send_all, Action, PersistRequest, Voter, VoterError, VoterEvent};
use crate::state_machine::{Command, Outcome};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, Entry, EntryType, Message, Snapshot};
use raft::Ready;
use std::time::Duration;

/// A persist request in flight.
pub(super) struct PendingPersist {
    pub number: u64,
    /// Number of the last `Ready` that the request covers.
    pub ready_number: u64,
    /// Messages to send once the records are on disk.
    pub messages: Vec<Message>,
}

/// A received snapshot that is being persisted.
pub(super) struct PendingInstall {
    pub persist_number: u64,
    pub ready: Ready,
    /// Messages to send once it is on disk.
    pub messages: Vec<Message>,
}

impl Voter {
    /// Processes everything that results from an event.
    pub(super) fn process_ready(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.pending_install.is_none() {
            self.update_leadership(now, actions);
            self.start_read_round();
            let Some(raft) = &mut self.raft else { break };
            if !raft.has_ready() {
                break;
            }
            let ready = raft.ready();
            if let Err(error) = self.handle_ready(now, ready, actions) {
                self.storage_error_is_permanent = true;
                self.storage_failed(error.to_string(), actions);
                return;
            }
        }
        self.answer_confirmed_reads(now, actions);
        self.notify_watches(actions);
        self.set_election_timeout();
    }

    fn handle_ready(
        &mut self,
        now: Duration,
        mut ready: Ready,
        actions: &mut Vec<Action>,
    ) -> Result<(), VoterError> {
        send_all(ready.take_messages(), actions);
        let read_states = ready.take_read_states();
        let snapshot = ready.snapshot().clone();
        let entries = ready.take_entries();
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        if let Some(hard_state) = ready.hs() {
            self.log.set_hard_state(hard_state.clone());
        }
        let has_snapshot = snapshot.get_metadata().index > 0;
        if has_snapshot {
            self.install_snapshot(&snapshot)?;
        }
        self.log.append(&entries);
        if has_snapshot {
            let persist_number = self.replace_journal(false, actions);
            self.pending_install = Some(PendingInstall { persist_number, ready, messages });
            return Ok(());
        }
        self.persist_ready(ready, &entries, messages, actions);
        self.apply_entries(now, committed, actions)?;
        for read in read_states {
            self.leader.confirm_round(&read.request_ctx, read.index);
        }
        self.compact_log(actions);
        Ok(())
    }

    /// Persists new entries; the messages are sent once these entries, and everything before them, are on disk.
    fn persist_ready(
        &mut self,
        ready: Ready,
        entries: &[Entry],
        messages: Vec<Message>,
        actions: &mut Vec<Action>,
    ) {
        let (must_sync, ready_number) = (ready.must_sync(), ready.number());
        if let Some(raft) = &mut self.raft {
            raft.advance_append_async(ready);
        }
        if must_sync || !entries.is_empty() {
            let mut records = vec![persistence::encode_hard_state(&self.log.hard_state())];
            records.extend(entries.iter().map(persistence::encode_entry));
            let number = self.persist(records, false, false, actions);
            self.pending_persists.push_back(PendingPersist { number, ready_number, messages });
            return;
        }
        match self.pending_persists.back_mut() {
            Some(last) => {
                last.ready_number = ready_number;
                last.messages.extend(messages);
            }
            None => {
                send_all(messages, actions);
                if let Some(raft) = &mut self.raft {
                    raft.on_persist_ready(ready_number);
                }
            }
        }
    }

    fn persist(
        &mut self,
        records: Vec<Vec<u8>>,
        replace: bool,
        compaction: bool,
        actions: &mut Vec<Action>,
    ) -> u64 {
        self.last_persist_number += 1;
        let number = self.last_persist_number;
        actions.push(Action::Persist(PersistRequest { number, records, replace, compaction }));
        number
    }

    /// Replaces the journal by the current snapshot and the entries after it.
    pub(super) fn replace_journal(&mut self, compaction: bool, actions: &mut Vec<Action>) -> u64 {
        let snapshot = self.log.last_snapshot();
        let mut records = vec![
            persistence::encode_identity(&self.identity),
            persistence::encode_snapshot(&snapshot),
            persistence::encode_hard_state(&self.log.hard_state()),
        ];
        let entries = self.log.entries_after(snapshot.get_metadata().index);
        records.extend(entries.iter().map(persistence::encode_entry));
        self.persist(records, true, compaction, actions)
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), VoterError> {
        let state = ReplicatedState::decode(snapshot.get_data()).map_err(VoterError::ReceivedSnapshot)?;
        self.applied_index = snapshot.get_metadata().index;
        self.log.install_snapshot(snapshot.clone());
        self.state = Some(state);
        Ok(())
    }

    fn apply_entries(
        &mut self,
        now: Duration,
        committed: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) -> Result<(), VoterError> {
        for entry in committed {
            self.applied_index = entry.index;
            self.apply_entry(now, &entry, actions)?;
        }
        self.advance_applied();
        Ok(())
    }

    fn apply_entry(
        &mut self,
        now: Duration,
        entry: &Entry,
        actions: &mut Vec<Action>,
    ) -> Result<(), VoterError> {
        let index = entry.index;
        match entry.get_entry_type() {
            // An empty entry, which a new leader proposes to commit the entries of earlier terms.
            EntryType::EntryNormal if entry.data.is_empty() => Ok(()),
            EntryType::EntryNormal => {
                let command = serde_json::from_slice(&entry.data)
                    .map_err(|source| VoterError::Command { index, source })?;
                self.apply_command(now, &command, &entry.context, actions)
            }
            EntryType::EntryConfChange => {
                let change = ConfChange::parse_from_bytes(&entry.data)
                    .map_err(|source| VoterError::ConfChange { index, source })?;
                self.apply_conf_change(&change, &entry.context, actions)
            }
            EntryType::EntryConfChangeV2 => Err(VoterError::UnsupportedEntry(index)),
        }
    }

    fn apply_command(
        &mut self,
        now: Duration,
        command: &Command,
        context: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), VoterError> {
        let Some(state) = &mut self.state else { return Err(VoterError::MissingState) };
        let state_machine = &mut state.state_machine;
        let expired_name = match command {
            Command::ExpireSession { session } => state_machine.session(*session).map(|s| s.name.clone()),
            _ => None,
        };
        let outcome = match command {
            Command::Transaction(transaction) if self.config.defects.unfenced => {
                state_machine.apply_unfenced(transaction)
            }
            _ => state_machine.apply(command),
        };
        if let (Some(name), true) = (expired_name, self.leader.is_serving()) {
            actions.push(Action::Report(VoterEvent::SessionExpired(name)));
        }
        if let (Command::OpenSession { ttl_ms, .. }, Outcome::SessionOpened(session)) = (command, &outcome) {
            self.leader.session_opened(now, *session, *ttl_ms);
        }
        self.leader.command_applied(context, outcome, actions);
        Ok(())
    }

    /// Reports the applied entries to `raft`, as far as they are on disk. After the installation of a snapshot they may be on
    /// disk only later.
    pub(super) fn advance_applied(&mut self) {
        let applied = self.applied_index;
        let Some(raft) = &mut self.raft else { return };
        let log = &raft.raft.raft_log;
        if log.applied() < applied && applied <= log.committed.min(log.persisted) {
            raft.advance_apply_to(applied);
        }
    }
}
