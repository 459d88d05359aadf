//! What clients do, and what they were told: reads, writes, conditional writes over two keys at once, and locks that end
//! with their holder's session. Every value is written once, so that what is read says who wrote it.
use coordination::client::{ClientRequest, RequestOutcome as ClientTold};
use coordination::protocol::{Answer, Select};
use coordination::state_machine::{Compare, Op, Outcome, Revision, SessionId};
use fleet_simulation::agenda::Nanos;
use linearizability::{Call, Holding, Operation, ResponseValue};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Groups of two keys that are used together.
const GROUPS: u32 = 3;
/// Locks.
const LOCKS: u32 = 2;

/// What is under way.
#[derive(Clone, Debug)]
enum Doing {
    /// An operation of the history.
    Plain,
    /// Taking a lock; the key.
    Takes(String, SessionId),
    /// Letting go of it.
    LetsGo,
    /// Writing as its holder.
    Guards,
    /// Reading who wrote last as holder.
    Looks(String),
}

/// What one client knows and does.
#[derive(Debug)]
pub struct Worker {
    client: u64,
    values: u64,
    /// What it saw last of a key: its value and version.
    seen: BTreeMap<String, (Option<String>, Revision)>,
    doing: Option<(Doing, Operation)>,
    /// The lock that it believes to hold, since when, and under which session.
    holds: Option<(String, SessionId, Nanos)>,
}

/// All that was told.
#[derive(Clone, Debug, Default)]
pub struct Histories {
    /// Reads and writes.
    pub operations: Vec<Operation>,
    /// Who believed to hold what.
    pub holdings: Vec<Holding>,
    /// Looks at who wrote last as a holder: what, from, to, and the session seen.
    pub looks: Vec<(String, Nanos, Nanos, SessionId)>,
    /// Locks that were taken, or may have been.
    pub taken: Vec<Taken>,
    /// Writes and reads that were done, and that nobody knows of.
    pub known: u64,
    /// Of unknown outcome.
    pub unknown: u64,
}

/// A lock that was taken, or may have been.
#[derive(Clone, Debug)]
pub struct Taken {
    /// What is written by its holder.
    pub guard: String,
    /// Who asked.
    pub session: SessionId,
    /// When it was asked for.
    pub from: Nanos,
    /// When it was told; `None`: that is not known.
    pub told: Option<Nanos>,
}

fn key(group: u32, k: u32) -> String {
    format!("g{group}/{}", if k == 0 { "a" } else { "b" })
}

impl Worker {
    /// One that has done nothing.
    pub fn new(client: u64) -> Worker {
        Worker { client, values: 0, seen: BTreeMap::new(), doing: None, holds: None }
    }

    /// Whether it waits for something.
    pub fn busy(&self) -> bool {
        self.doing.is_some()
    }

    fn value(&mut self) -> String {
        self.values += 1;
        format!("{}.{}", self.client, self.values)
    }

    /// What it does next. `session`: the one that it holds.
    pub fn next(
        &mut self,
        now: Nanos,
        session: Option<SessionId>,
        random: &mut Pcg64Mcg,
    ) -> Option<(ClientRequest, Duration)> {
        let within = Duration::from_millis(random.gen_range(1500..4500));
        let group = random.gen_range(0..GROUPS);
        let (a, b) = (key(group, 0), key(group, 1));
        let one = if random.gen() { a.clone() } else { b.clone() };
        let plain = |call: Call| (Doing::Plain, call);
        let lock = format!("lock/{}", random.gen_range(0..LOCKS));
        let guard = lock.replace("lock", "guard");
        let kind = random.gen_range(0..100);
        let (ask, (doing, call)) = match (kind, session) {
            (0..=24, _) => (ClientRequest::Read(Select::Key(one.clone())), plain(Call::Read(vec![one]))),
            (25..=34, _) => {
                (ClientRequest::Read(Select::Prefix(format!("g{group}/"))), plain(Call::Read(vec![a, b])))
            }
            (35..=44, _) => (
                ClientRequest::Read(Select::Key(guard.clone())),
                (Doing::Looks(guard), Call::Read(Vec::new())),
            ),
            (_, None) => return None,
            (45..=59, _) => {
                let value = self.value();
                let then = vec![Op::Put { key: one.clone(), value: value.clone(), ephemeral: false }];
                let call = Call::Write { when: vec![], then: vec![(one, Some(value))] };
                (ClientRequest::Transact { compares: vec![], ops: then }, plain(call))
            }
            (60..=79, _) => {
                // Both keys, if they are as it saw them last.
                let seen = |key: &String| self.seen.get(key).cloned().unwrap_or((None, 0));
                let (was_a, was_b) = (seen(&a), seen(&b));
                let condition = |key: &String, was: &(Option<String>, Revision)| match was.0 {
                    Some(_) => Compare::Version(key.clone(), was.1),
                    None => Compare::Absent(key.clone()),
                };
                let when = vec![condition(&a, &was_a), condition(&b, &was_b)];
                let value = self.value();
                let then_a = Op::Put { key: a.clone(), value: value.clone(), ephemeral: false };
                let (then_b, b_after) = match random.gen_bool(0.3) && was_b.0.is_some() {
                    true => (Op::Delete(b.clone()), None),
                    false => (
                        Op::Put { key: b.clone(), value: value.clone(), ephemeral: false },
                        Some(value.clone()),
                    ),
                };
                let call = Call::Write {
                    when: vec![(a.clone(), was_a.0), (b.clone(), was_b.0)],
                    then: vec![(a, Some(value)), (b, b_after)],
                };
                (ClientRequest::Transact { compares: when, ops: vec![then_a, then_b] }, plain(call))
            }
            (_, Some(session)) => match self.holds.clone() {
                Some((lock, of, _)) if of == session && random.gen_bool(0.5) => {
                    let guard = lock.replace("lock", "guard");
                    let then = vec![Op::Put { key: guard, value: session.to_string(), ephemeral: false }];
                    (
                        ClientRequest::Transact { compares: vec![], ops: then },
                        (Doing::Guards, Call::Read(Vec::new())),
                    )
                }
                // Of a session that is over.
                Some((_, of, _)) if of != session => return None,
                Some((lock, ..)) => {
                    // From here on it does not count on it.
                    (
                        ClientRequest::Transact { compares: vec![], ops: vec![Op::Delete(lock)] },
                        (Doing::LetsGo, Call::Read(Vec::new())),
                    )
                }
                None => {
                    let when = vec![Compare::Absent(lock.clone())];
                    let then = vec![
                        Op::Put { key: lock.clone(), value: session.to_string(), ephemeral: true },
                        Op::Put { key: guard, value: session.to_string(), ephemeral: false },
                    ];
                    (
                        ClientRequest::Transact { compares: when, ops: then },
                        (Doing::Takes(lock, session), Call::Read(Vec::new())),
                    )
                }
            },
        };
        self.doing = Some((doing, Operation { client: self.client, start: now, end: None, call }));
        Some((ask, within))
    }

    /// It stops believing that it holds its lock: by its own will, or since its session may have ended at `until`.
    pub fn lets_go(&mut self, until: Nanos, all: &mut Histories) {
        if let Some((what, holder, from)) = self.holds.take() {
            all.holdings.push(Holding { what, holder, from, until });
        }
    }

    /// Whether it lets go of its lock with what it does now.
    pub fn is_letting_go(&self) -> bool {
        matches!(self.doing, Some((Doing::LetsGo, _)))
    }

    /// What came of what it did. `until`: when the session that it holds may end, by true time.
    pub fn told(&mut self, now: Nanos, told: ClientTold, session: Option<SessionId>, all: &mut Histories) {
        let Some((doing, mut operation)) = self.doing.take() else { return };
        match (&doing, &told) {
            (Doing::Takes(lock, of), ClientTold::Indeterminate(_)) => {
                let (guard, from) = (lock.replace("lock", "guard"), operation.start);
                all.taken.push(Taken { guard, session: *of, from, told: None });
                return;
            }
            (Doing::Takes(lock, of), ClientTold::Answered(Answer::Outcome(Outcome::Committed(_)))) => {
                let (guard, from) = (lock.replace("lock", "guard"), operation.start);
                all.taken.push(Taken { guard, session: *of, from, told: Some(now) });
                // Only while its own clock says so.
                if session == Some(*of) {
                    self.holds = Some((lock.clone(), *of, now));
                }
                return;
            }
            (Doing::Looks(guard), ClientTold::Answered(Answer::Values { items, .. })) => {
                let session = items.first().and_then(|(_, i)| i.value.parse().ok()).unwrap_or(0);
                all.looks.push((guard.clone(), operation.start, now, session));
                return;
            }
            (Doing::Plain, _) => {}
            _ => return,
        }
        operation.end = match (&operation.call, told) {
            (Call::Read(keys), ClientTold::Answered(Answer::Values { items, .. })) => {
                let mut values = Vec::new();
                for key in keys {
                    let item = items.iter().find(|(k, _)| k == key).map(|(_, i)| i);
                    let seen = (item.map(|i| i.value.clone()), item.map_or(0, |i| i.version));
                    values.push(seen.0.clone());
                    self.seen.insert(key.clone(), seen);
                }
                Some((now, ResponseValue::Values(values)))
            }
            (
                Call::Write { then, .. },
                ClientTold::Answered(Answer::Outcome(Outcome::Committed(revision))),
            ) => {
                for (key, value) in then {
                    self.seen.insert(key.clone(), (value.clone(), *revision_of(value, &revision)));
                }
                Some((now, ResponseValue::Done))
            }
            (Call::Write { .. }, ClientTold::Answered(Answer::Outcome(Outcome::CompareFailed { .. }))) => {
                Some((now, ResponseValue::Differs))
            }
            // Not done, and known to be: it is no part of the history.
            (_, ClientTold::NotExecuted(_)) => return,
            (_, ClientTold::Answered(_)) => return,
            (_, ClientTold::Indeterminate(_)) => None,
        };
        match operation.end {
            Some(_) => all.known += 1,
            None => all.unknown += 1,
        }
        all.operations.push(operation);
    }

    /// The run is over: what is under way has an unknown outcome.
    pub fn ends(&mut self, now: Nanos, all: &mut Histories) {
        self.lets_go(now, all);
        match self.doing.take() {
            Some((Doing::Plain, operation)) => {
                all.unknown += 1;
                all.operations.push(operation);
            }
            Some((Doing::Takes(lock, session), operation)) => {
                let (guard, from) = (lock.replace("lock", "guard"), operation.start);
                all.taken.push(Taken { guard, session, from, told: None });
            }
            _ => {}
        }
    }
}

fn revision_of<'a>(value: &Option<String>, revision: &'a Revision) -> &'a Revision {
    match value {
        Some(_) => revision,
        None => &0,
    }
}

/// What is wrong with what was told.
pub fn judge(all: &Histories) -> Vec<String> {
    let mut wrong: Vec<String> =
        linearizability::check(&all.operations).iter().map(ToString::to_string).collect();
    wrong.extend(linearizability::check_holdings(&all.holdings).iter().map(ToString::to_string));
    // Who wrote as a holder last is the last who took it, or one who took it since, or may have.
    for (guard, from, to, seen) in &all.looks {
        let of = |t: &&Taken| t.guard == *guard;
        let before = all.taken.iter().filter(of).filter(|t| t.told.is_some_and(|told| told < *from));
        let Some(last) = before.max_by_key(|t| t.from) else { continue };
        let since = |t: &Taken| t.session == *seen && t.told.is_none_or(|told| told > last.from);
        if !all.taken.iter().filter(of).any(since) {
            let holder = last.session;
            wrong.push(format!(
                "{guard}: session {seen} was seen at {from} to {to} after session {holder} took it"
            ));
        }
    }
    wrong
}
