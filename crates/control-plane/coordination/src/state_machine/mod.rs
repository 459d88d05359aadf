//! The replicated state machine: keys, sessions and transactions. Every voter applies the same commands in the same order
//! and reaches the same state; it reads no clock and draws no random numbers.
//!
//! Keys hold text. Each change increments the revision; the version of a key is the revision that last wrote it. Every
//! writer has a **session** with a name and a time to live, identified by the revision that opened it. Session ids grow
//! and are never reused, so they distinguish successive processes under one name and serve as fencing tokens outside of the
//! store. Ephemeral keys are deleted when their session ends.
mod command;
mod validation;
mod watch_history;

pub use command::{Command, Compare, Op, Outcome, Rejection, SessionEnd, Transaction};
pub use watch_history::WatchEvent;

use crate::limits::Limits;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use watch_history::WatchHistory;

/// Number of a change, from 1; 0 is the empty state.
pub type Revision = u64;
/// Id of a session: the revision that opened it.
pub type SessionId = u64;

/// Stored bytes are not a valid state.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] serde_json::Error);

/// Value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// The value.
    pub value: String,
    /// The revision that last wrote it.
    pub version: Revision,
    /// The session that an ephemeral key belongs to; `None` for any other key.
    #[serde(rename = "bound", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<SessionId>,
}

/// An open session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Name, unique among open sessions.
    pub name: String,
    /// Random number of the client that opened the session, by which a retry is recognised.
    pub nonce: u64,
    /// Time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Sequence number and outcome of the last transaction.
    #[serde(rename = "last", default, skip_serializing_if = "Option::is_none")]
    pub last_transaction: Option<(u64, Outcome)>,
}

/// The state machine. Its serialized form is what snapshots and backups hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    /// Limits of its size.
    #[serde(rename = "bounds")]
    pub limits: Limits,
    revision: Revision,
    keys: BTreeMap<String, VersionedValue>,
    /// Bytes of all keys and values.
    bytes: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// The sessions that ended most recently, oldest first.
    ended: VecDeque<(SessionId, SessionEnd)>,
    /// Open sessions by name.
    #[serde(skip)]
    names: BTreeMap<String, SessionId>,
    /// Ephemeral keys by session.
    #[serde(skip)]
    ephemeral_keys: BTreeMap<SessionId, BTreeSet<String>>,
    #[serde(skip)]
    history: WatchHistory,
}

impl StateMachine {
    /// An empty state machine.
    pub fn new(limits: Limits) -> StateMachine {
        StateMachine {
            limits,
            revision: 0,
            keys: BTreeMap::new(),
            bytes: 0,
            sessions: BTreeMap::new(),
            ended: VecDeque::new(),
            names: BTreeMap::new(),
            ephemeral_keys: BTreeMap::new(),
            history: WatchHistory::default(),
        }
    }

    /// Decodes the result of [`StateMachine::encode`].
    ///
    /// # Errors
    /// The bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<StateMachine, DecodeError> {
        let state: StateMachine = serde_json::from_slice(bytes)?;
        Ok(state.with_indexes())
    }

    /// Rebuilds the fields that are not serialized.
    pub(crate) fn with_indexes(mut self) -> StateMachine {
        self.history = WatchHistory::starting_at(self.revision);
        self.bytes = self.keys.iter().map(|(key, item)| size_of(key, &item.value)).sum();
        self.names = self.sessions.iter().map(|(&id, session)| (session.name.clone(), id)).collect();
        for (key, item) in &self.keys {
            if let Some(session) = item.session {
                self.ephemeral_keys.entry(session).or_default().insert(key.clone());
            }
        }
        self
    }

    /// Serializes the state without its watch history, as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Strings and numbers only, so serialization can't fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of keys, and bytes of all keys and values.
    pub fn size(&self) -> (usize, u64) {
        (self.keys.len(), self.bytes)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.keys.get(key)
    }

    /// The keys with this prefix, in order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a VersionedValue)> {
        let range = (std::ops::Bound::Included(prefix), std::ops::Bound::Unbounded);
        let matching = self.keys.range::<str, _>(range).take_while(move |(key, _)| key.starts_with(prefix));
        matching.map(|(key, item)| (key.as_str(), item))
    }

    /// The open sessions, by id.
    pub fn sessions(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(&id, session)| (id, session))
    }

    /// An open session.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// Reason of the end of a session; [`SessionEnd::Expired`] if it is no longer kept.
    pub fn session_end(&self, id: SessionId) -> SessionEnd {
        self.ended.iter().rev().find(|(ended, _)| *ended == id).map_or(SessionEnd::Expired, |(_, end)| *end)
    }

    /// The events after this revision, oldest first; `None` if some of them were dropped, so that a watch has to start over.
    pub fn events_since(&self, revision: Revision) -> Option<impl Iterator<Item = &WatchEvent>> {
        self.history.since(revision)
    }

    /// The oldest revision from which a watch can resume.
    pub fn oldest_resumable_revision(&self) -> Revision {
        self.history.complete_after()
    }

    /// Prepares a state that was restored from a backup: ends all sessions and skips `gap` revisions, so that no revision
    /// that was assigned after the backup is assigned a second time.
    pub fn mark_restored(&mut self, gap: u64) {
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.end_session(id, SessionEnd::Expired);
        }
        self.revision = self.revision.saturating_add(gap);
        self.history = WatchHistory::starting_at(self.revision);
    }

    /// Reason for which a transaction is rejected regardless of the state; `None` if it is valid.
    pub fn validate(&self, transaction: &Transaction) -> Option<Rejection> {
        validation::validate(&self.limits, transaction)
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::OpenSession { name, nonce, ttl_ms, take_over } => {
                self.open_session(name, *nonce, *ttl_ms, *take_over)
            }
            Command::Transaction(transaction) => self.apply_transaction(transaction),
            Command::CloseSession { session } => {
                self.end_session(*session, SessionEnd::Closed);
                Outcome::SessionClosed
            }
            Command::ExpireSession { session } => {
                self.end_session(*session, SessionEnd::Expired);
                Outcome::SessionClosed
            }
        }
    }

    /// Injected defect: a session that has ended may still write.
    pub(crate) fn apply_unfenced(&mut self, transaction: &Transaction) -> Outcome {
        match self.sessions.contains_key(&transaction.session) {
            true => self.apply_transaction(transaction),
            false => self.execute(transaction),
        }
    }

    /// Injected defect: forgets the last transaction of each session.
    pub(crate) fn forget_last_transactions(&mut self) {
        self.sessions.values_mut().for_each(|session| session.last_transaction = None);
    }

    fn open_session(&mut self, name: &str, nonce: u64, ttl_ms: u64, take_over: bool) -> Outcome {
        if let Some(rejection) = self.validate_session(name, ttl_ms) {
            return Outcome::Rejected(rejection);
        }
        match self.names.get(name).copied() {
            Some(open) if self.sessions.get(&open).is_some_and(|session| session.nonce == nonce) => {
                return Outcome::SessionOpened(open);
            }
            Some(open) if !take_over => return Outcome::Rejected(Rejection::NameTaken(open)),
            Some(open) => {
                // The end of the former session takes one revision, and the opening of the new one the next.
                let successor = self.revision + 2;
                self.end_session(open, SessionEnd::Fenced(successor));
            }
            None if self.sessions.len() as u64 >= self.limits.sessions => {
                return Outcome::Rejected(Rejection::limit("sessions", self.limits.sessions));
            }
            None => {}
        }
        self.revision += 1;
        let id = self.revision;
        self.names.insert(name.into(), id);
        self.sessions.insert(id, Session { name: name.into(), nonce, ttl_ms, last_transaction: None });
        Outcome::SessionOpened(id)
    }

    fn validate_session(&self, name: &str, ttl_ms: u64) -> Option<Rejection> {
        let limits = &self.limits;
        if name.is_empty() || name.len() as u64 > limits.name {
            return Some(Rejection::limit("bytes of a name", limits.name));
        }
        if ttl_ms < limits.ttl_least_ms || ttl_ms > limits.ttl_most_ms {
            let (min_ms, max_ms) = (limits.ttl_least_ms, limits.ttl_most_ms);
            return Some(Rejection::Invalid(format!("a session lives {min_ms} to {max_ms} ms unrenewed")));
        }
        None
    }

    /// Ends a session, if it is open, and deletes its ephemeral keys.
    fn end_session(&mut self, id: SessionId, end: SessionEnd) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.names.remove(&session.name);
        self.revision += 1;
        for key in self.ephemeral_keys.remove(&id).unwrap_or_default() {
            self.delete(&key);
        }
        self.ended.push_back((id, end));
        while self.ended.len() as u64 > self.limits.ended {
            self.ended.pop_front();
        }
    }

    fn apply_transaction(&mut self, transaction: &Transaction) -> Outcome {
        let Some(session) = self.sessions.get(&transaction.session) else {
            return Outcome::Rejected(Rejection::SessionEnded(self.session_end(transaction.session)));
        };
        match &session.last_transaction {
            Some((last, outcome)) if *last == transaction.sequence => return outcome.clone(),
            Some((last, _)) if *last > transaction.sequence => {
                return Outcome::Rejected(Rejection::Superseded);
            }
            _ => {}
        }
        let outcome = self.execute(transaction);
        if let Some(session) = self.sessions.get_mut(&transaction.session) {
            session.last_transaction = Some((transaction.sequence, outcome.clone()));
        }
        outcome
    }

    /// Executes a transaction regardless of its session.
    fn execute(&mut self, transaction: &Transaction) -> Outcome {
        if let Some(rejection) = self.validate(transaction) {
            return Outcome::Rejected(rejection);
        }
        for (index, compare) in transaction.compares.iter().enumerate() {
            if let Err(found_version) = self.check(compare) {
                return Outcome::CompareFailed { index, found_version };
            }
        }
        if let Some(rejection) = self.check_capacity(&transaction.ops) {
            return Outcome::Rejected(rejection);
        }
        self.revision += 1;
        for op in &transaction.ops {
            match op {
                Op::Put { key, value, ephemeral } => {
                    self.put(key, value, ephemeral.then_some(transaction.session))
                }
                Op::Delete(key) => {
                    self.detach_from_session(key);
                    self.delete(key);
                }
            }
        }
        Outcome::Committed(self.revision)
    }

    /// Checks a condition; the error is the version that was found.
    fn check(&self, compare: &Compare) -> Result<(), Revision> {
        let version = |key: &str| self.keys.get(key).map_or(0, |item| item.version);
        let (holds, found) = match compare {
            Compare::Absent(key) => (version(key) == 0, version(key)),
            Compare::Exists(key) => (version(key) != 0, version(key)),
            Compare::Version(key, expected) => (version(key) == *expected, version(key)),
            Compare::SessionAlive(id) => (self.sessions.contains_key(id), 0),
            Compare::SessionEnded(id) => (!self.sessions.contains_key(id), 0),
        };
        match holds {
            true => Ok(()),
            false => Err(found),
        }
    }

    /// Reason for which these operations are rejected, if they would make the state too large.
    fn check_capacity(&self, ops: &[Op]) -> Option<Rejection> {
        let (mut keys, mut bytes) = (self.keys.len() as u64, self.bytes);
        for op in ops {
            let former = self.keys.get(op.key()).map(|item| size_of(op.key(), &item.value));
            let new = match op {
                Op::Put { key, value, .. } => Some(size_of(key, value)),
                Op::Delete(_) => None,
            };
            bytes = bytes - former.unwrap_or(0) + new.unwrap_or(0);
            keys = keys - u64::from(former.is_some()) + u64::from(new.is_some());
        }
        if keys > self.limits.keys {
            return Some(Rejection::limit("keys", self.limits.keys));
        }
        if bytes > self.limits.bytes {
            return Some(Rejection::limit("bytes of all keys and values", self.limits.bytes));
        }
        None
    }

    /// Removes a key from the ephemeral keys of its session, if it belongs to one.
    fn detach_from_session(&mut self, key: &str) {
        let Some(session) = self.keys.get(key).and_then(|item| item.session) else { return };
        if let Some(keys) = self.ephemeral_keys.get_mut(&session) {
            keys.remove(key);
        }
    }

    fn put(&mut self, key: &str, value: &str, session: Option<SessionId>) {
        self.detach_from_session(key);
        if let Some(session) = session {
            self.ephemeral_keys.entry(session).or_default().insert(key.into());
        }
        let item = VersionedValue { value: value.into(), version: self.revision, session };
        self.bytes += size_of(key, value);
        if let Some(former) = self.keys.insert(key.into(), item) {
            self.bytes -= size_of(key, &former.value);
        }
        self.record_event(key, Some(value));
    }

    fn delete(&mut self, key: &str) {
        if let Some(former) = self.keys.remove(key) {
            self.bytes -= size_of(key, &former.value);
            self.record_event(key, None);
        }
    }

    fn record_event(&mut self, key: &str, value: Option<&str>) {
        let event = WatchEvent { revision: self.revision, key: key.into(), value: value.map(String::from) };
        self.history.push(event, &self.limits);
    }
}

/// Bytes that a key and its value count for.
fn size_of(key: &str, value: &str) -> u64 {
    (key.len() + value.len()) as u64
}
