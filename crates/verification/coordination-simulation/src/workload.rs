//! The workload of a client and its history: reads, writes, conditional writes of two keys, and locks that end with their
//! holder's session. Every value is written once, so that a read identifies its writer.
use coordination::client::{ClientRequest, RequestOutcome};
use coordination::protocol::{Answer, Select};
use coordination::state_machine::{Compare, Op, Outcome, Revision, SessionId, VersionedValue};
use fleet_simulation::agenda::Nanos;
use linearizability::{Call, Holding, Operation, ResponseValue};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of pairs of keys that are used together.
const KEY_GROUPS: u32 = 3;
/// Number of locks.
const LOCKS: u32 = 2;

/// What the request in flight is for.
#[derive(Clone, Debug)]
enum Purpose {
    /// An operation of the linearizability history.
    Operation,
    /// Acquiring a lock.
    AcquireLock { lock: String, session: SessionId },
    /// Releasing the lock that is held.
    ReleaseLock,
    /// Writing the guard key as the holder of its lock.
    WriteGuard,
    /// Reading which holder wrote the guard key last.
    ReadGuard { guard: String },
}

#[derive(Clone, Debug)]
struct RequestInFlight {
    purpose: Purpose,
    operation: Operation,
}

/// A request with its meaning for the history.
struct PlannedRequest {
    request: ClientRequest,
    purpose: Purpose,
    call: Call,
}

impl PlannedRequest {
    fn operation(request: ClientRequest, call: Call) -> PlannedRequest {
        PlannedRequest { request, purpose: Purpose::Operation, call }
    }

    /// A request that is not part of the linearizability history.
    fn unrecorded(request: ClientRequest, purpose: Purpose) -> PlannedRequest {
        PlannedRequest { request, purpose, call: Call::Read(Vec::new()) }
    }
}

/// A lock that the worker believes to hold.
#[derive(Clone, Debug)]
struct HeldLock {
    lock: String,
    session: SessionId,
    since: Nanos,
}

/// Value and version of a key; 0 for a key that does not exist.
#[derive(Clone, Debug, Default)]
struct ObservedValue {
    value: Option<String>,
    version: Revision,
}

/// The workload of one client.
#[derive(Debug)]
pub struct Worker {
    client: u64,
    /// Number of the last value that was written.
    last_value: u64,
    /// What was last observed, by key.
    observed: BTreeMap<String, ObservedValue>,
    in_flight: Option<RequestInFlight>,
    held_lock: Option<HeldLock>,
}

/// The histories of all clients.
#[derive(Clone, Debug, Default)]
pub struct Histories {
    /// Reads and writes.
    pub operations: Vec<Operation>,
    /// When clients believed to hold locks.
    pub holdings: Vec<Holding>,
    /// Reads of guard keys.
    pub guard_reads: Vec<GuardRead>,
    /// Acquisitions of locks that succeeded or may have succeeded.
    pub acquisitions: Vec<LockAcquisition>,
    /// Number of operations with a known outcome.
    pub known: u64,
    /// Number of operations with an unknown outcome.
    pub unknown: u64,
}

/// A read of a guard key, which holds the session of the lock holder that wrote it last.
#[derive(Clone, Debug)]
pub struct GuardRead {
    /// The guard key.
    pub guard: String,
    /// When the read was started.
    pub started_at: Nanos,
    /// When it was answered.
    pub ended_at: Nanos,
    /// The session that was read; 0 if the key does not exist.
    pub session: SessionId,
}

/// An acquisition of a lock that succeeded or may have succeeded.
#[derive(Clone, Debug)]
pub struct LockAcquisition {
    /// The guard key of the lock.
    pub guard: String,
    /// The session that acquired it.
    pub session: SessionId,
    /// When the acquisition was started.
    pub started_at: Nanos,
    /// When it was acknowledged; `None` if its outcome is unknown.
    pub acknowledged_at: Option<Nanos>,
}

/// Keys of one request, drawn before its kind.
struct DrawnKeys {
    group: u32,
    first: String,
    second: String,
    /// One of the two.
    either: String,
    lock: String,
}

fn guard_of(lock: &str) -> String {
    lock.replace("lock", "guard")
}

fn put(key: &str, value: &str, ephemeral: bool) -> Op {
    Op::Put { key: key.into(), value: value.into(), ephemeral }
}

impl Worker {
    /// A worker that has done nothing yet.
    pub fn new(client: u64) -> Worker {
        Worker { client, last_value: 0, observed: BTreeMap::new(), in_flight: None, held_lock: None }
    }

    fn unique_value(&mut self) -> String {
        self.last_value += 1;
        format!("{}.{}", self.client, self.last_value)
    }

    /// The next request and its timeout, under the session that is held; `None` to wait.
    pub fn next_request(
        &mut self,
        now: Nanos,
        session: Option<SessionId>,
        random: &mut Pcg64Mcg,
    ) -> Option<(ClientRequest, Duration)> {
        let timeout = Duration::from_millis(random.gen_range(1500..4500));
        let keys = DrawnKeys::draw(random);
        let kind = random.gen_range(0..100);
        let planned = match (kind, session) {
            (0..=24, _) => read_key(keys.either),
            (25..=34, _) => read_group(keys),
            (35..=44, _) => read_guard(&keys.lock),
            (_, None) => return None,
            (45..=59, _) => self.write_key(keys.either),
            (60..=79, _) => self.write_group(keys, random),
            (_, Some(session)) => self.use_lock(keys.lock, session, random)?,
        };
        let PlannedRequest { request, purpose, call } = planned;
        let operation = Operation { client: self.client, start: now, end: None, call };
        self.in_flight = Some(RequestInFlight { purpose, operation });
        Some((request, timeout))
    }

    fn write_key(&mut self, key: String) -> PlannedRequest {
        let value = self.unique_value();
        let ops = vec![put(&key, &value, false)];
        let call = Call::Write { when: vec![], then: vec![(key, Some(value))] };
        PlannedRequest::operation(ClientRequest::Transact { compares: vec![], ops }, call)
    }

    /// Writes both keys of a group if they are unchanged since they were observed.
    fn write_group(&mut self, keys: DrawnKeys, random: &mut Pcg64Mcg) -> PlannedRequest {
        let DrawnKeys { first, second, .. } = keys;
        let observed = |key: &String| self.observed.get(key).cloned().unwrap_or_default();
        let (observed_first, observed_second) = (observed(&first), observed(&second));
        let compares = vec![observed_first.compare(&first), observed_second.compare(&second)];
        let value = self.unique_value();
        let deletes_second = random.gen_bool(0.3) && observed_second.value.is_some();
        let (second_op, second_value) = match deletes_second {
            true => (Op::Delete(second.clone()), None),
            false => (put(&second, &value, false), Some(value.clone())),
        };
        let ops = vec![put(&first, &value, false), second_op];
        let call = Call::Write {
            when: vec![(first.clone(), observed_first.value), (second.clone(), observed_second.value)],
            then: vec![(first, Some(value)), (second, second_value)],
        };
        PlannedRequest::operation(ClientRequest::Transact { compares, ops }, call)
    }

    /// Acquires a lock, or uses or releases the one that is held.
    fn use_lock(
        &mut self,
        lock: String,
        session: SessionId,
        random: &mut Pcg64Mcg,
    ) -> Option<PlannedRequest> {
        let owner = session.to_string();
        let Some(held) = &self.held_lock else {
            let compares = vec![Compare::Absent(lock.clone())];
            let ops = vec![put(&lock, &owner, true), put(&guard_of(&lock), &owner, false)];
            let request = ClientRequest::Transact { compares, ops };
            return Some(PlannedRequest::unrecorded(request, Purpose::AcquireLock { lock, session }));
        };
        if held.session != session {
            // Held under a session that is over; it will be released.
            return None;
        }
        let (op, purpose) = match random.gen_bool(0.5) {
            true => (put(&guard_of(&held.lock), &owner, false), Purpose::WriteGuard),
            false => (Op::Delete(held.lock.clone()), Purpose::ReleaseLock),
        };
        let request = ClientRequest::Transact { compares: vec![], ops: vec![op] };
        Some(PlannedRequest::unrecorded(request, purpose))
    }

    /// The worker no longer believes to hold its lock, because it releases it or because its session may have expired at
    /// `until`.
    pub fn release_lock(&mut self, until: Nanos, histories: &mut Histories) {
        if let Some(HeldLock { lock, session, since }) = self.held_lock.take() {
            histories.holdings.push(Holding { what: lock, holder: session, from: since, until });
        }
    }

    /// Whether the request in flight releases the lock.
    pub fn is_releasing_lock(&self) -> bool {
        matches!(&self.in_flight, Some(request) if matches!(request.purpose, Purpose::ReleaseLock))
    }

    /// The request in flight has this outcome. `session` is the session that is held now.
    pub fn complete(
        &mut self,
        now: Nanos,
        outcome: RequestOutcome,
        session: Option<SessionId>,
        histories: &mut Histories,
    ) {
        let Some(RequestInFlight { purpose, operation }) = self.in_flight.take() else { return };
        let started_at = operation.start;
        match purpose {
            Purpose::Operation => self.record_operation(now, operation, outcome, histories),
            Purpose::AcquireLock { lock, session: owner } => {
                let acknowledged_at = match outcome {
                    RequestOutcome::Indeterminate(_) => None,
                    RequestOutcome::Answered(Answer::Outcome(Outcome::Committed(_))) => Some(now),
                    _ => return,
                };
                let guard = guard_of(&lock);
                let acquisition = LockAcquisition { guard, session: owner, started_at, acknowledged_at };
                histories.acquisitions.push(acquisition);
                // The lock is held only while the session is, by the local clock.
                if acknowledged_at.is_some() && session == Some(owner) {
                    self.held_lock = Some(HeldLock { lock, session: owner, since: now });
                }
            }
            Purpose::ReadGuard { guard } => {
                if let RequestOutcome::Answered(Answer::Values { items, .. }) = outcome {
                    let session = items.first().and_then(|(_, item)| item.value.parse().ok()).unwrap_or(0);
                    histories.guard_reads.push(GuardRead { guard, started_at, ended_at: now, session });
                }
            }
            Purpose::ReleaseLock | Purpose::WriteGuard => {}
        }
    }

    fn record_operation(
        &mut self,
        now: Nanos,
        mut operation: Operation,
        outcome: RequestOutcome,
        histories: &mut Histories,
    ) {
        let response = match (&operation.call, outcome) {
            (Call::Read(keys), RequestOutcome::Answered(Answer::Values { items, .. })) => {
                Some(ResponseValue::Values(self.observe_read(keys, &items)))
            }
            (
                Call::Write { then, .. },
                RequestOutcome::Answered(Answer::Outcome(Outcome::Committed(revision))),
            ) => {
                self.observe_write(then, revision);
                Some(ResponseValue::Done)
            }
            (
                Call::Write { .. },
                RequestOutcome::Answered(Answer::Outcome(Outcome::CompareFailed { .. })),
            ) => Some(ResponseValue::Differs),
            // Known not to be applied, so not part of the history.
            (_, RequestOutcome::NotExecuted(_) | RequestOutcome::Answered(_)) => return,
            (_, RequestOutcome::Indeterminate(_)) => None,
        };
        match response {
            Some(_) => histories.known += 1,
            None => histories.unknown += 1,
        }
        operation.end = response.map(|response| (now, response));
        histories.operations.push(operation);
    }

    fn observe_read(&mut self, keys: &[String], items: &[(String, VersionedValue)]) -> Vec<Option<String>> {
        let mut values = Vec::new();
        for key in keys {
            let item = items.iter().find(|(name, _)| name == key).map(|(_, item)| item);
            let observed = item.map_or_else(ObservedValue::default, |item| ObservedValue {
                value: Some(item.value.clone()),
                version: item.version,
            });
            values.push(observed.value.clone());
            self.observed.insert(key.clone(), observed);
        }
        values
    }

    fn observe_write(&mut self, written: &[(String, Option<String>)], revision: Revision) {
        for (key, value) in written {
            let version = if value.is_some() { revision } else { 0 };
            self.observed.insert(key.clone(), ObservedValue { value: value.clone(), version });
        }
    }

    /// The run ends: the outcome of the request in flight is unknown.
    pub fn finish(&mut self, now: Nanos, histories: &mut Histories) {
        self.release_lock(now, histories);
        let Some(RequestInFlight { purpose, operation }) = self.in_flight.take() else { return };
        match purpose {
            Purpose::Operation => {
                histories.unknown += 1;
                histories.operations.push(operation);
            }
            Purpose::AcquireLock { lock, session } => {
                let (guard, started_at) = (guard_of(&lock), operation.start);
                let acquisition = LockAcquisition { guard, session, started_at, acknowledged_at: None };
                histories.acquisitions.push(acquisition);
            }
            Purpose::ReleaseLock | Purpose::WriteGuard | Purpose::ReadGuard { .. } => {}
        }
    }
}

impl ObservedValue {
    /// The condition that the key is unchanged.
    fn compare(&self, key: &str) -> Compare {
        match self.value {
            Some(_) => Compare::Version(key.into(), self.version),
            None => Compare::Absent(key.into()),
        }
    }
}

impl DrawnKeys {
    fn draw(random: &mut Pcg64Mcg) -> DrawnKeys {
        let group = random.gen_range(0..KEY_GROUPS);
        let (first, second) = (format!("g{group}/a"), format!("g{group}/b"));
        let either = if random.gen() { first.clone() } else { second.clone() };
        let lock = format!("lock/{}", random.gen_range(0..LOCKS));
        DrawnKeys { group, first, second, either, lock }
    }
}

fn read_key(key: String) -> PlannedRequest {
    PlannedRequest::operation(ClientRequest::Read(Select::Key(key.clone())), Call::Read(vec![key]))
}

fn read_group(keys: DrawnKeys) -> PlannedRequest {
    let select = Select::Prefix(format!("g{}/", keys.group));
    PlannedRequest::operation(ClientRequest::Read(select), Call::Read(vec![keys.first, keys.second]))
}

fn read_guard(lock: &str) -> PlannedRequest {
    let guard = guard_of(lock);
    let request = ClientRequest::Read(Select::Key(guard.clone()));
    PlannedRequest::unrecorded(request, Purpose::ReadGuard { guard })
}
