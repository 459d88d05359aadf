//! The ledger records every request sent, every execution at an upstream and every answer, and checks the
//! four rules.
//!
//! Stand-ins write entries as events happen; [`Ledger::check`] evaluates all of them. Times are durations
//! since the ledger was opened, on one clock. The ledger uses only these entries and never queries the
//! balancer.
//!
//! ```
//! use std::time::Duration;
//! use testkit::ledger::{Effect, Entry, Ledger, RuleParameters, ViolationKind};
//!
//! let ledger = Ledger::new();
//! let ms = Duration::from_millis;
//! let (request, upstream) = ("r1".to_string(), "s-1".to_string());
//! let timeout = ms(500);
//! let sent = Entry::Sent { request: request.clone(), balancer: "n1".into(), effect: Effect::Unsafe, timeout
//! };
//! ledger.write_at(ms(0), sent);
//! let ran = Entry::Executed { upstream, group: 0, request: request.clone(), work: ms(10) };
//! ledger.write_at(ms(5), ran);
//! // A refusal promises that a retry is safe, but this request has run.
//! ledger.write_at(ms(20), Entry::Answered { request, status: 503 });
//! let violations = ledger.check(&RuleParameters::default());
//! assert_eq!(violations[0].kind, ViolationKind::RefusedAfterRunning);
//! ```
use invariants::{ClosedSince, ColdStartMonitor, RequestHistory};
pub use invariants::{ColdStart, DedupScope, Effect, Rule, RuleParameters, UpstreamState, ViolationKind};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of entries in a ledger; a check reports when more were written.
pub const MAX_ENTRIES: usize = 1 << 20;

/// An event.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A caller has begun to send a request on an accepted connection. Written again if that connection
    /// closed between requests and the same request was sent on another; the last entry names the balancer
    /// that took it.
    Sent {
        /// Request id, new with every request.
        request: String,
        /// Balancer that accepted the connection.
        balancer: String,
        /// What a retry may do.
        effect: Effect,
        /// Time that the caller waits for the answer.
        timeout: Duration,
    },
    /// A complete answer arrived.
    Answered {
        /// Request id.
        request: String,
        /// 200 means served, 429 and 503 are refusals, and all other values are failures.
        status: u16,
    },
    /// The caller left on its own, so no answer is owed any more.
    CallerLeft {
        /// Request id.
        request: String,
    },
    /// The first bytes of a request reached an upstream.
    Begun {
        /// Upstream id.
        upstream: String,
        /// Request id.
        request: String,
    },
    /// An upstream began to work on a request.
    Executed {
        /// Upstream id.
        upstream: String,
        /// Group of upstreams that share a deduplication store.
        group: u32,
        /// Request id.
        request: String,
        /// Amount of work.
        work: Duration,
    },
    /// A balancer was notified of the state of an upstream.
    Notified {
        /// Balancer that was notified.
        balancer: String,
        /// Upstream id.
        upstream: String,
        /// Reported state.
        state: UpstreamState,
    },
    /// The process of an upstream has started.
    Started {
        /// Upstream id.
        upstream: String,
        /// Warm-up behaviour.
        cold: ColdStart,
    },
    /// A balancer was killed; its callers have to send their requests again.
    Killed {
        /// Name of the balancer.
        balancer: String,
    },
}

impl Entry {
    /// Id of the request that it is about.
    pub fn request(&self) -> Option<&str> {
        match self {
            Entry::Sent { request, .. }
            | Entry::Answered { request, .. }
            | Entry::CallerLeft { request }
            | Entry::Begun { request, .. }
            | Entry::Executed { request, .. } => Some(request),
            Entry::Notified { .. } | Entry::Started { .. } | Entry::Killed { .. } => None,
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Kind of violation.
    pub kind: ViolationKind,
    /// Time of the violation.
    pub time: Duration,
    /// Request or upstream concerned.
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.kind, self.time.as_secs_f64(), self.subject)
    }
}

/// An entry with its time.
#[derive(Clone, Debug)]
pub struct Record {
    /// Time since the ledger was opened.
    pub time: Duration,
    /// The event.
    pub entry: Entry,
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    /// Number of entries that exceeded the maximum.
    dropped: u64,
}

/// A ledger, shared by reference between the threads of all stand-ins.
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
    /// Creates an empty ledger for [`MAX_ENTRIES`] entries.
    pub fn new() -> Ledger {
        Ledger::with_capacity(MAX_ENTRIES)
    }

    /// Creates an empty ledger for this number of entries.
    pub fn with_capacity(max_entries: usize) -> Ledger {
        Ledger { opened: Instant::now(), max_entries, log: Mutex::default() }
    }

    /// Ignores poisoning: a stand-in that panicked has failed its test, but its earlier entries are still
    /// valid.
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the ledger was opened.
    pub fn now(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Writes an entry with the current time.
    pub fn write(&self, entry: Entry) {
        let mut log = self.log();
        // Read under the lock, so that entries are ordered by their times.
        let time = self.now();
        self.push(&mut log, Record { time, entry });
    }

    /// Writes an entry with a given time.
    pub fn write_at(&self, time: Duration, entry: Entry) {
        self.push(&mut self.log(), Record { time, entry });
    }

    fn push(&self, log: &mut Log, record: Record) {
        if log.records.len() < self.max_entries {
            log.records.push(record);
        } else {
            log.dropped += 1;
        }
    }

    /// Returns all records from index `from` on, in the order in which they were written.
    pub fn since(&self, from: usize) -> Vec<Record> {
        self.log().records.get(from..).map(<[Record]>::to_vec).unwrap_or_default()
    }

    /// Checks the four rules over all entries. Must be called when no request is in flight any more: a
    /// request without an answer counts as lost, however long its caller would still wait.
    pub fn check(&self, parameters: &RuleParameters) -> Vec<Violation> {
        let log = self.log();
        let mut records: Vec<&Record> = log.records.iter().collect();
        records.sort_by_key(|record| record.time);
        let mut violations = Vec::new();
        if log.dropped > 0 {
            let subject = format!("{} entries found no room", log.dropped);
            violations.push(Violation { kind: ViolationKind::LedgerFull, time: self.now(), subject });
        }
        let mut notifications: HashMap<(&str, &str), ClosedSince> = HashMap::new();
        // History of each request, and the balancer that took it.
        let mut histories: BTreeMap<&str, (RequestHistory, &str)> = BTreeMap::new();
        let mut warming: HashMap<&str, ColdStartMonitor> = HashMap::new();
        for record in &records {
            match &record.entry {
                Entry::Sent { request, balancer, effect, timeout } => {
                    let fresh = || (RequestHistory::new(record.time, *effect, *timeout), balancer.as_str());
                    let (history, taken_by) = histories.entry(request).or_insert_with(fresh);
                    // Sent again on another connection: the balancer that has the request now owes the
                    // answer.
                    (history.balancer_killed, *taken_by) = (false, balancer);
                }
                Entry::Answered { request, status } => {
                    if let Some((history, _)) = histories.get_mut(request.as_str()) {
                        history.answers.push((record.time, *status));
                    }
                }
                Entry::CallerLeft { request } => {
                    if let Some((history, _)) = histories.get_mut(request.as_str()) {
                        history.disconnected_at = Some(record.time);
                    }
                }
                Entry::Begun { upstream, request } => {
                    if let Some((history, balancer)) = histories.get_mut(request.as_str()) {
                        let notifications = notifications.get(&(*balancer, upstream.as_str()));
                        let closed = notifications
                            .map_or(Duration::ZERO, |notifications| notifications.closed_for(record.time));
                        history.attempt_starts.push((record.time, closed));
                    }
                }
                Entry::Executed { upstream, group, request, work } => {
                    if let Some((history, _)) = histories.get_mut(request.as_str()) {
                        history.executions.push((record.time, *group));
                    }
                    let warming = warming.get_mut(upstream.as_str());
                    let overload =
                        warming.and_then(|warming| warming.record_work(record.time, *work, parameters));
                    if let Some((time, sum)) = overload {
                        let subject = format!(
                            "upstream {upstream}, sent {sum:?} of work in {:?}",
                            parameters.cold_span
                        );
                        violations.push(Violation { kind: ViolationKind::ColdPushedOver, time, subject });
                    }
                }
                Entry::Notified { balancer, upstream, state } => {
                    notifications.entry((balancer, upstream)).or_default().notify(record.time, *state);
                }
                Entry::Started { upstream, cold } => {
                    warming.insert(upstream, ColdStartMonitor::new(record.time, *cold));
                }
                Entry::Killed { balancer } => {
                    for (history, taken_by) in histories.values_mut() {
                        history.balancer_killed |= taken_by == balancer;
                    }
                }
            }
        }
        for (request, (history, _)) in &histories {
            let subject = || format!("request {request}");
            let mut report = |kind, time| violations.push(Violation { kind, time, subject: subject() });
            history.check(parameters, &mut report);
        }
        violations.sort_by_key(|v| v.time);
        violations
    }
}
