//! The record: what the council agrees on. A machine that each voter feeds with the same commands in the same order, so
//! that all of them hold the same; it knows no time and draws nothing.
//!
//! Keys hold texts. Each change of the record has a number, its revision; a key's version is the revision that wrote it
//! last. Whoever writes has a **session**: a name and a time to live, numbered by the revision that opened it. That
//! number grows with every opening and is never given twice, so it tells a second process under the same name apart, and
//! serves as a fencing number for what is done outside of the record. Keys may be bound to a session and end with it.
use crate::limits::Limits;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// The number of a change, from 1; 0 is the empty record.
pub type Revision = u64;
/// A session, by the revision that opened it.
pub type SessionId = u64;

/// What is to be done; the voters agree on the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A session for this name.
    #[serde(rename = "Open")]
    OpenSession {
        /// Who: an instance, a supervisor, a person at a command line.
        name: String,
        /// Drawn by who opens it: sent again, it finds the session that it opened.
        nonce: u64,
        /// It ends when it is not renewed for so long, in milliseconds.
        ttl_ms: u64,
        /// Whether it ends the session that has the name; else it is refused while there is one.
        take_over: bool,
    },
    /// Changes of keys, all or none.
    #[serde(rename = "Write")]
    Transaction(Transaction),
    /// The session ends by its own will.
    #[serde(rename = "Close")]
    CloseSession {
        /// Which.
        session: SessionId,
    },
    /// The session ends since it was not renewed in time.
    #[serde(rename = "Expire")]
    ExpireSession {
        /// Which.
        session: SessionId,
    },
}

/// Changes of keys, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Whose.
    pub session: SessionId,
    /// Counted by the session, from 1. Sent again with its number, it happens once, and answers as it did.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// What has to be so.
    #[serde(rename = "when", default, skip_serializing_if = "Vec::is_empty")]
    pub compares: Vec<Compare>,
    /// What is changed then.
    #[serde(rename = "then")]
    pub ops: Vec<Op>,
}

/// What has to be so for a write to happen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Compare {
    /// There is no such key.
    Absent(String),
    /// There is.
    Exists(String),
    /// The key was written last at this revision.
    Version(String, Revision),
    /// This session has not ended.
    #[serde(rename = "Alive")]
    SessionAlive(SessionId),
    /// This session has ended.
    #[serde(rename = "Ended")]
    SessionEnded(SessionId),
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// The key holds this from now on.
    Put {
        /// Which.
        key: String,
        /// What.
        value: String,
        /// Whether it ends with the session that writes it.
        #[serde(rename = "bound", default, skip_serializing_if = "std::ops::Not::not")]
        ephemeral: bool,
    },
    /// The key is no more; if there is none, nothing happens.
    Delete(String),
}

impl Op {
    /// Which key.
    pub fn key(&self) -> &str {
        match self {
            Op::Put { key, .. } | Op::Delete(key) => key,
        }
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The session is open.
    #[serde(rename = "Opened")]
    SessionOpened(SessionId),
    /// All changes were made, as this revision.
    #[serde(rename = "Written")]
    Committed(Revision),
    /// None was made: this condition, counted from 0, does not hold.
    #[serde(rename = "Differs")]
    CompareFailed {
        /// Which.
        #[serde(rename = "condition")]
        index: usize,
        /// The version of the key that it names; 0: there is none.
        #[serde(rename = "found")]
        found_version: Revision,
    },
    /// The session is closed, or was before.
    #[serde(rename = "Closed")]
    SessionClosed,
    /// Nothing was done, and why.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}

/// Why nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A bound is reached: what is bounded, and the most.
    #[serde(rename = "Bound")]
    LimitExceeded(String, u64),
    /// Another session has the name.
    #[serde(rename = "Held")]
    NameTaken(SessionId),
    /// The session has ended, and how.
    #[serde(rename = "Ended")]
    SessionEnded(SessionEnd),
    /// A later write of the same session was made.
    Superseded,
    /// It can't be done as it is put.
    #[serde(rename = "Malformed")]
    Invalid(String),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::LimitExceeded(what, most) => write!(f, "{what}: {most} at most"),
            Rejection::NameTaken(by) => write!(f, "session {by} has the name"),
            Rejection::SessionEnded(how) => write!(f, "the session has ended: {how}"),
            Rejection::Superseded => f.write_str("a later write of the session was made"),
            Rejection::Invalid(why) => f.write_str(why),
        }
    }
}

/// How a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionEnd {
    /// It was closed.
    Closed,
    /// It was not renewed in time, or is not known any more.
    Expired,
    /// Another one has its name now.
    Fenced(SessionId),
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionEnd::Closed => f.write_str("closed"),
            SessionEnd::Expired => f.write_str("expired"),
            SessionEnd::Fenced(by) => write!(f, "session {by} has its name now"),
        }
    }
}

/// A key as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// What it holds.
    pub value: String,
    /// The revision that wrote it last.
    pub version: Revision,
    /// The session that it ends with.
    #[serde(rename = "bound", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<SessionId>,
}

/// A session as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Whose.
    pub name: String,
    /// Its opener's draw.
    pub nonce: u64,
    /// It ends when it is not renewed for so long, in milliseconds.
    pub ttl_ms: u64,
    /// Its last write, and what came of it.
    #[serde(rename = "last", default, skip_serializing_if = "Option::is_none")]
    pub last_transaction: Option<(u64, Outcome)>,
}

/// One key's change, as watches tell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The revision that it is part of.
    pub revision: Revision,
    /// Which key.
    pub key: String,
    /// What it holds since; `None`: it is no more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// The record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    /// Of this size at most.
    #[serde(rename = "bounds")]
    pub limits: Limits,
    revision: Revision,
    keys: BTreeMap<String, VersionedValue>,
    /// Of keys and values.
    bytes: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// Sessions that ended last, with how; of older ones it is not known any more.
    ended: VecDeque<(SessionId, SessionEnd)>,
    #[serde(skip)]
    names: BTreeMap<String, SessionId>,
    #[serde(skip)]
    bound: BTreeMap<SessionId, BTreeSet<String>>,
    /// What changed last, for watches that resume; not kept over a snapshot.
    #[serde(skip)]
    changes: VecDeque<WatchEvent>,
    #[serde(skip)]
    changes_bytes: u64,
    /// Changes after this revision are all in `changes`.
    #[serde(rename = "since", skip)]
    events_since: Revision,
}

impl StateMachine {
    /// An empty one.
    pub fn new(bounds: Limits) -> StateMachine {
        StateMachine {
            limits: bounds,
            revision: 0,
            keys: BTreeMap::new(),
            bytes: 0,
            sessions: BTreeMap::new(),
            ended: VecDeque::new(),
            names: BTreeMap::new(),
            bound: BTreeMap::new(),
            changes: VecDeque::new(),
            changes_bytes: 0,
            events_since: 0,
        }
    }

    /// What [`StateMachine::write`] wrote.
    ///
    /// # Errors
    /// It is no record.
    pub fn decode(bytes: &[u8]) -> Result<StateMachine, String> {
        serde_json::from_slice(bytes).map(StateMachine::rebuilt).map_err(|e| e.to_string())
    }

    /// With what follows from the rest, after it was read.
    pub(crate) fn rebuilt(mut self) -> StateMachine {
        let record = &mut self;
        record.events_since = record.revision;
        record.bytes = record.keys.iter().map(|(k, i)| size(k, &i.value)).sum();
        record.names = record.sessions.iter().map(|(&id, s)| (s.name.clone(), id)).collect();
        for (key, item) in &record.keys {
            if let Some(session) = item.session {
                record.bound.entry(session).or_default().insert(key.clone());
            }
        }
        self
    }

    /// All of it but the last changes, as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Texts and numbers only: this can't fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The number of its last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// How many keys there are, and their bytes with their values.
    pub fn size(&self) -> (usize, u64) {
        (self.keys.len(), self.bytes)
    }

    /// A key.
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.keys.get(key)
    }

    /// The keys that begin so, in order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a VersionedValue)> {
        let from = (std::ops::Bound::Included(prefix), std::ops::Bound::Unbounded);
        let all = self.keys.range::<str, _>(from).take_while(move |(key, _)| key.starts_with(prefix));
        all.map(|(key, item)| (key.as_str(), item))
    }

    /// The sessions that have not ended.
    pub fn sessions(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(&id, s)| (id, s))
    }

    /// A session that has not ended.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// How a session ended, as far as it is known.
    pub fn session_end(&self, id: SessionId) -> SessionEnd {
        self.ended.iter().rev().find(|(ended, _)| *ended == id).map_or(SessionEnd::Expired, |(_, end)| *end)
    }

    /// What changed after this revision, oldest first; `None`: that is not known any more, and a watch has to begin anew.
    pub fn events_since(&self, revision: Revision) -> Option<impl Iterator<Item = &WatchEvent>> {
        (revision >= self.events_since).then(|| {
            let from = self.changes.partition_point(|c| c.revision <= revision);
            self.changes.range(from..)
        })
    }

    /// From which revision on watches can resume.
    pub fn oldest_resumable_revision(&self) -> Revision {
        self.events_since
    }

    /// Makes sure that no number that was ever given is given again: for a record from a backup, behind which changes were
    /// made that it does not know. All sessions end.
    pub fn mark_restored(&mut self, gap: u64) {
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.end_session(id, SessionEnd::Expired);
        }
        self.revision = self.revision.saturating_add(gap);
        self.changes.clear();
        (self.changes_bytes, self.events_since) = (0, self.revision);
    }

    /// Why a write can't be made, whatever the record holds.
    pub fn validate(&self, write: &Transaction) -> Option<Rejection> {
        malformed(&self.limits, &write.compares, &write.ops)
    }

    /// A fault for the simulation to find: a session that has ended writes as if it had not.
    pub(crate) fn apply_unfenced(&mut self, write: &Transaction) -> Outcome {
        match self.sessions.contains_key(&write.session) {
            true => self.write_keys(write),
            false => self.try_write(write),
        }
    }

    /// Another: what sessions wrote last is forgotten.
    pub(crate) fn forget_numbers(&mut self) {
        self.sessions.values_mut().for_each(|s| s.last_transaction = None);
    }

    /// Carries a command out.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::OpenSession { name, nonce, ttl_ms, take_over } => {
                self.open(name, *nonce, *ttl_ms, *take_over)
            }
            Command::Transaction(write) => self.write_keys(write),
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

    fn open(&mut self, name: &str, nonce: u64, ttl_ms: u64, take_over: bool) -> Outcome {
        let b = &self.limits;
        if name.is_empty() || name.len() as u64 > b.name {
            return refused("bytes of a name", b.name);
        }
        if ttl_ms < b.ttl_least_ms || ttl_ms > b.ttl_most_ms {
            let why = format!("a session lives {} to {} ms unrenewed", b.ttl_least_ms, b.ttl_most_ms);
            return Outcome::Rejected(Rejection::Invalid(why));
        }
        match self.names.get(name).copied() {
            Some(held) if self.sessions.get(&held).is_some_and(|s| s.nonce == nonce) => {
                return Outcome::SessionOpened(held);
            }
            Some(held) if !take_over => return Outcome::Rejected(Rejection::NameTaken(held)),
            Some(held) => {
                let next = self.revision + 2;
                self.end_session(held, SessionEnd::Fenced(next));
            }
            None if self.sessions.len() as u64 >= b.sessions => return refused("sessions", b.sessions),
            None => {}
        }
        self.revision += 1;
        let id = self.revision;
        self.names.insert(name.into(), id);
        self.sessions.insert(id, Session { name: name.into(), nonce, ttl_ms, last_transaction: None });
        Outcome::SessionOpened(id)
    }

    /// Ends a session, if it has not ended, and its keys with it.
    fn end_session(&mut self, id: SessionId, end: SessionEnd) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.names.remove(&session.name);
        self.revision += 1;
        for key in self.bound.remove(&id).unwrap_or_default() {
            self.delete(&key);
        }
        self.ended.push_back((id, end));
        while self.ended.len() as u64 > self.limits.ended {
            self.ended.pop_front();
        }
    }

    fn write_keys(&mut self, write: &Transaction) -> Outcome {
        let Some(session) = self.sessions.get(&write.session) else {
            return Outcome::Rejected(Rejection::SessionEnded(self.session_end(write.session)));
        };
        match &session.last_transaction {
            Some((number, outcome)) if *number == write.sequence => return outcome.clone(),
            Some((number, _)) if *number > write.sequence => return Outcome::Rejected(Rejection::Superseded),
            _ => {}
        }
        let outcome = self.try_write(write);
        if let Some(session) = self.sessions.get_mut(&write.session) {
            session.last_transaction = Some((write.sequence, outcome.clone()));
        }
        outcome
    }

    fn holds(&self, condition: &Compare) -> Result<(), Revision> {
        let version = |key: &str| self.keys.get(key).map_or(0, |i| i.version);
        let (holds, found) = match condition {
            Compare::Absent(key) => (version(key) == 0, version(key)),
            Compare::Exists(key) => (version(key) != 0, version(key)),
            Compare::Version(key, wanted) => (version(key) == *wanted, version(key)),
            Compare::SessionAlive(id) => (self.sessions.contains_key(id), 0),
            Compare::SessionEnded(id) => (!self.sessions.contains_key(id), 0),
        };
        if holds {
            Ok(())
        } else {
            Err(found)
        }
    }

    fn try_write(&mut self, write: &Transaction) -> Outcome {
        if let Some(refusal) = malformed(&self.limits, &write.compares, &write.ops) {
            return Outcome::Rejected(refusal);
        }
        for (condition, wanted) in write.compares.iter().enumerate() {
            if let Err(found) = self.holds(wanted) {
                return Outcome::CompareFailed { index: condition, found_version: found };
            }
        }
        // What it would come to, before anything is done.
        let (mut keys, mut bytes) = (self.keys.len() as u64, self.bytes);
        for change in &write.ops {
            let old = self.keys.get(change.key()).map(|i| size(change.key(), &i.value));
            let new = match change {
                Op::Put { key, value, .. } => Some(size(key, value)),
                Op::Delete(_) => None,
            };
            bytes = bytes - old.unwrap_or(0) + new.unwrap_or(0);
            keys = keys - u64::from(old.is_some()) + u64::from(new.is_some());
        }
        if keys > self.limits.keys {
            return refused("keys", self.limits.keys);
        }
        if bytes > self.limits.bytes {
            return refused("bytes of all keys and values", self.limits.bytes);
        }
        self.revision += 1;
        for change in &write.ops {
            match change {
                Op::Put { key, value, ephemeral: bound } => {
                    self.put(key, value, bound.then_some(write.session))
                }
                Op::Delete(key) => {
                    self.unbind(key);
                    self.delete(key);
                }
            }
        }
        Outcome::Committed(self.revision)
    }

    fn unbind(&mut self, key: &str) {
        if let Some(session) = self.keys.get(key).and_then(|i| i.session) {
            if let Some(keys) = self.bound.get_mut(&session) {
                keys.remove(key);
            }
        }
    }

    fn put(&mut self, key: &str, value: &str, bound: Option<SessionId>) {
        self.unbind(key);
        if let Some(session) = bound {
            self.bound.entry(session).or_default().insert(key.into());
        }
        let item = VersionedValue { value: value.into(), version: self.revision, session: bound };
        self.bytes += size(key, value);
        if let Some(old) = self.keys.insert(key.into(), item) {
            self.bytes -= size(key, &old.value);
        }
        self.tell(key, Some(value));
    }

    fn delete(&mut self, key: &str) {
        if let Some(old) = self.keys.remove(key) {
            self.bytes -= size(key, &old.value);
            self.tell(key, None);
        }
    }

    fn tell(&mut self, key: &str, value: Option<&str>) {
        let changed = WatchEvent { revision: self.revision, key: key.into(), value: value.map(String::from) };
        self.changes_bytes += size(key, value.unwrap_or(""));
        self.changes.push_back(changed);
        let b = &self.limits;
        while self.changes.len() as u64 > b.changes || self.changes_bytes > b.changes_bytes {
            let Some(gone) = self.changes.pop_front() else { break };
            self.changes_bytes -= size(&gone.key, gone.value.as_deref().unwrap_or(""));
            self.events_since = gone.revision;
        }
    }
}

fn size(key: &str, value: &str) -> u64 {
    (key.len() + value.len()) as u64
}

fn refused(what: &str, most: u64) -> Outcome {
    Outcome::Rejected(Rejection::LimitExceeded(what.into(), most))
}

/// What can't be done as it is put, whatever the record holds.
fn malformed(b: &Limits, when: &[Compare], then: &[Op]) -> Option<Rejection> {
    let bound = |what: &str, most: u64| Some(Rejection::LimitExceeded(what.into(), most));
    if (when.len() + then.len()) as u64 > b.parts {
        return bound("conditions and changes of a write", b.parts);
    }
    let (mut seen, mut bytes) = (BTreeSet::new(), 0);
    for change in then {
        let key = change.key();
        if key.is_empty() || key.len() as u64 > b.key {
            return bound("bytes of a key", b.key);
        }
        if !seen.insert(key) {
            return Some(Rejection::Invalid(format!("{key} is changed twice in one write")));
        }
        if let Op::Put { value, .. } = change {
            if value.len() as u64 > b.value {
                return bound("bytes of a value", b.value);
            }
            bytes += value.len() as u64;
        }
    }
    if bytes > b.write {
        return bound("bytes of a write's values", b.write);
    }
    let long = |c: &Compare| match c {
        Compare::Absent(key) | Compare::Exists(key) | Compare::Version(key, _) => key.len() as u64 > b.key,
        Compare::SessionAlive(_) | Compare::SessionEnded(_) => false,
    };
    if when.iter().any(long) {
        return bound("bytes of a key", b.key);
    }
    None
}
