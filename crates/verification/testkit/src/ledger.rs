//! The ledger: every request sent, every execution at an upstream and every answer, and whether the four rules hold
//! over them.
//!
//! Stand-ins write into it as things happen; [`Ledger::check`] reads the whole. Times are spans since the ledger was
//! opened, on one clock. It holds what it was told and asks the balancer nothing.
//!
//! ```
//! use std::time::Duration;
//! use testkit::ledger::{Breach, Effect, Entry, Ledger, RuleParameters};
//!
//! let ledger = Ledger::new();
//! let ms = Duration::from_millis;
//! let (request, upstream) = ("r1".to_string(), "s-1".to_string());
//! let patience = ms(500);
//! let sent = Entry::Sent { request: request.clone(), balancer: "n1".into(), effect: Effect::Unsafe, patience };
//! ledger.write_at(ms(0), sent);
//! let ran = Entry::Executed { upstream, group: 0, request: request.clone(), work: ms(10) };
//! ledger.write_at(ms(5), ran);
//! // A refusal promises that another try is harmless, and this one has run.
//! ledger.write_at(ms(20), Entry::Answered { request, status: 503 });
//! let found = ledger.check(&RuleParameters::default());
//! assert_eq!(found[0].fault, Breach::RefusedAfterRunning);
//! ```
pub use invariants::{Breach, Cold, Effect, Rule, RuleParameters, Scope, State};
use invariants::{NotificationDeadline, RequestHistory, Warming};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most entries that a ledger holds; a check of one that was told more says so.
pub const MAX_ENTRIES: usize = 1 << 20;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A caller has begun to send a request on a connection that was accepted. Written once more if that connection
    /// closed between requests and the same request went out on another: the last one says who took it.
    Sent {
        /// Its id, new with every request.
        request: String,
        /// Who took it.
        balancer: String,
        /// What a repeat may do.
        effect: Effect,
        /// How long the caller waits.
        timeout: Duration,
    },
    /// A whole answer came.
    Answered {
        /// The request.
        request: String,
        /// 200 is served, 429 and 503 are refusals, all else has failed.
        status: u16,
    },
    /// The caller went away of its own accord: nothing is owed any more.
    CallerLeft {
        /// The request.
        request: String,
    },
    /// A request's first bytes reached an upstream.
    Begun {
        /// Where.
        upstream: String,
        /// The request.
        request: String,
    },
    /// An upstream began to work on a request.
    Executed {
        /// Where.
        upstream: String,
        /// The group that shares the memory of keys.
        group: u32,
        /// The request.
        request: String,
        /// How much work it is.
        work: Duration,
    },
    /// A balancer was told of an upstream.
    Notified {
        /// Who.
        balancer: String,
        /// Of which.
        upstream: String,
        /// What.
        state: State,
    },
    /// An upstream's process has started.
    Started {
        /// Which.
        upstream: String,
        /// How it warms up.
        cold: Cold,
    },
    /// A balancer was killed outright: what it held is its callers' to send again.
    Killed {
        /// Which.
        balancer: String,
    },
}

/// A rule that was broken once.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// How.
    pub fault: Breach,
    /// When.
    pub at: Duration,
    /// The request or the upstream.
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.fault, self.at.as_secs_f64(), self.subject)
    }
}

/// One entry and when it was written.
#[derive(Clone, Debug)]
pub struct Record {
    /// Since the ledger was opened.
    pub at: Duration,
    /// What happened.
    pub entry: Entry,
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    /// Entries that found no room.
    dropped: u64,
}

/// A ledger; shared by reference between the threads of all stand-ins.
pub struct Ledger {
    opened: Instant,
    max_entries: usize,
    log: Mutex<Log>,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger::new()
    }
}

impl Ledger {
    /// An empty ledger for [`MAX_ENTRIES`] entries.
    pub fn new() -> Ledger {
        Ledger::with_capacity(MAX_ENTRIES)
    }

    /// An empty ledger for so many entries.
    pub fn with_capacity(max_entries: usize) -> Ledger {
        Ledger { opened: Instant::now(), max_entries, log: Mutex::default() }
    }

    /// A stand-in that panicked has failed its test; what it wrote before still holds.
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time on its clock.
    pub fn now(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Writes what happens now.
    pub fn write(&self, entry: Entry) {
        let mut log = self.log();
        // Read under the lock, so that the order of entries is that of their times.
        let at = self.now();
        self.push(&mut log, Record { at, entry });
    }

    /// Writes what happened then.
    pub fn write_at(&self, at: Duration, entry: Entry) {
        self.push(&mut self.log(), Record { at, entry });
    }

    fn push(&self, log: &mut Log, record: Record) {
        if log.records.len() < self.max_entries {
            log.records.push(record);
        } else {
            log.dropped += 1;
        }
    }

    /// All entries from the `from`th on, in the order in which they were written.
    pub fn since(&self, from: usize) -> Vec<Record> {
        self.log().records.get(from..).map(<[Record]>::to_vec).unwrap_or_default()
    }

    /// Checks the four rules over all entries. To be called once nothing is under way any more: a request without
    /// an answer counts as lost, however long its caller would still wait.
    pub fn check(&self, parameters: &RuleParameters) -> Vec<Violation> {
        let log = self.log();
        let mut records: Vec<&Record> = log.records.iter().collect();
        records.sort_by_key(|record| record.at);
        let mut violations = Vec::new();
        if log.dropped > 0 {
            let subject = format!("{} entries found no room", log.dropped);
            violations.push(Violation { fault: Breach::LedgerFull, at: self.now(), subject });
        }
        let mut notifications: HashMap<(&str, &str), NotificationDeadline> = HashMap::new();
        // The story of each request, and who took it.
        let mut histories: BTreeMap<&str, (RequestHistory, &str)> = BTreeMap::new();
        let mut warming: HashMap<&str, Warming> = HashMap::new();
        for record in &records {
            match &record.entry {
                Entry::Sent { request, balancer, effect, timeout } => {
                    let fresh = || (RequestHistory::new(record.at, *effect, *timeout), balancer.as_str());
                    let (history, taken_by) = histories.entry(request).or_insert_with(fresh);
                    // On another connection: whoever has it now owes the answer.
                    (history.excused, *taken_by) = (false, balancer);
                }
                Entry::Answered { request, status } => {
                    if let Some((history, _)) = histories.get_mut(request.as_str()) {
                        history.answers.push((record.at, *status));
                    }
                }
                Entry::CallerLeft { request } => {
                    if let Some((history, _)) = histories.get_mut(request.as_str()) {
                        history.left = Some(record.at);
                    }
                }
                Entry::Begun { upstream, request } => {
                    if let Some((history, balancer)) = histories.get_mut(request.as_str()) {
                        let notifications = notifications.get(&(*balancer, upstream.as_str()));
                        let closed = notifications
                            .map_or(Duration::ZERO, |notifications| notifications.closed_for(record.at));
                        history.begun.push((record.at, closed));
                    }
                }
                Entry::Executed { upstream, group, request, work } => {
                    if let Some((history, _)) = histories.get_mut(request.as_str()) {
                        history.ran.push((record.at, *group));
                    }
                    let warming = warming.get_mut(upstream.as_str());
                    let overload = warming.and_then(|warming| warming.executed(record.at, *work, parameters));
                    if let Some((at, sum)) = overload {
                        let subject = format!(
                            "upstream {upstream}, sent {sum:?} of work in {:?}",
                            parameters.cold_span
                        );
                        violations.push(Violation { fault: Breach::ColdPushedOver, at, subject });
                    }
                }
                Entry::Notified { balancer, upstream, state } => {
                    notifications.entry((balancer, upstream)).or_default().notify(record.at, *state);
                }
                Entry::Started { upstream, cold } => {
                    warming.insert(upstream, Warming::new(record.at, *cold));
                }
                Entry::Killed { balancer } => {
                    for (history, taken_by) in histories.values_mut() {
                        history.excused |= taken_by == balancer;
                    }
                }
            }
        }
        for (request, (history, _)) in &histories {
            let subject = || format!("request {request}");
            let mut fault = |fault, at| violations.push(Violation { fault, at, subject: subject() });
            history.judge(parameters, &mut fault);
        }
        violations.sort_by_key(|v| v.at);
        violations
    }
}
