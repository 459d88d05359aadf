//! Blocking queries on one service in one datacentre, as a state machine: the next request and its agent, and the meaning
//! of responses.
//!
//! | response | meaning |
//! | --- | --- |
//! | 200, with a leader, fresh enough, complete | an update: applied at once, even if it is short or empty |
//! | the same, with an index that went backwards | an update of the endpoints that it contains; missing ones stay for [`WatchIntervals::regrow_timeout`] |
//! | 200 without a leader, or older than [`WatchIntervals::max_staleness`] | no update; the next agent is queried |
//! | 200, filtered for lack of permissions (`X-Consul-Results-Filtered-By-ACLs`) | no update: it may lack any endpoint |
//! | 200, truncated, malformed, or not a list of services | no update |
//! | 429 | no update; the same agent again after a delay, `Retry-After` at the least |
//! | any other status, or none in time | no update; the next agent after a delay |
//!
//! An index that goes backwards means that the server has another history: it was restored from a backup, or has lost its
//! data (developer.hashicorp.com/consul/api-docs/features/blocking: "reset the index if it goes backwards"). Its list then
//! lacks what the agents have not registered again yet (anti-entropy takes a minute and more). What it reports of an
//! endpoint is valid, including that it is draining; that it lacks one means nothing. After the timeout its list counts as
//! complete. A real removal of many endpoints increases the index, and is applied.
use super::percent_encode;
use super::service_list::{EntryMapping, ListError, ListKind, ServiceList};
use crate::endpoint::SourceUpdate;
use crate::watch::{self, CallKind as Call, Step, WatchTiming};
use std::time::Duration;
use thiserror::Error;

/// Consul extends the wait of a query by up to one part in this many.
const WAIT_EXTENSION_DIVISOR: u32 = 16;
/// Time beyond its extended wait that a query has for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of queries if responses have no index that can be waited on.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest `Retry-After` that is respected.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Intervals and timeouts of all watches of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchIntervals {
    /// Maximum time that a query waits for changes: Consul's `wait`.
    pub max_wait: Duration,
    /// Minimum time between a response and the next query; more frequent changes are reported together.
    pub min_poll_interval: Duration,
    /// Delay after the first failure; it doubles with each consecutive one.
    pub initial_backoff: Duration,
    /// Upper bound of the delay after a failure.
    pub max_backoff: Duration,
    /// Maximum age of a response in the stale mode (`X-Consul-LastContact`).
    pub max_staleness: Duration,
    /// Time after an index went backwards during which endpoints that the list lacks stay.
    pub regrow_timeout: Duration,
}

impl Default for WatchIntervals {
    fn default() -> Self {
        let ms = Duration::from_millis;
        WatchIntervals {
            max_wait: ms(10_000),
            min_poll_interval: ms(100),
            initial_backoff: ms(250),
            max_backoff: ms(10_000),
            max_staleness: ms(5000),
            regrow_timeout: ms(120_000),
        }
    }
}

impl WatchIntervals {
    /// Timing of the watches. What a silent watch missed is read within `max_wait` and a sixteenth of it, 2 s for the response,
    /// a delay, and 2 s for the next query.
    fn watch_timing(&self) -> WatchTiming {
        WatchTiming {
            max_wait: self.max_wait,
            response_timeout: RESPONSE_TIMEOUT,
            wait_extension_divisor: Some(WAIT_EXTENSION_DIVISOR),
            // Agents have no queue, and no watch has to be opened: queries are independent of one another.
            open_wait: self.max_wait,
            open_timeout: RESPONSE_TIMEOUT,
            full_list_timeout: RESPONSE_TIMEOUT,
            max_timeout: RESPONSE_TIMEOUT,
            initial_backoff: self.initial_backoff,
            max_backoff: self.max_backoff,
            max_rejected_backoff: self.max_backoff,
            min_interval: self.min_poll_interval,
            max_gap: Duration::MAX,
            retry_spread: None,
        }
    }
}

/// Consul's consistency modes (api-docs/features/consistency).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// Answered by the leader, which relies on its lease.
    #[default]
    Default,
    /// Answered by any server, which may be behind the leader.
    Stale,
    /// Answered by the leader after a quorum confirmed its leadership.
    Consistent,
}

/// The service that is watched.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchedService {
    /// Name of the service.
    pub service: String,
    /// Datacentre; `None`: the agent's own.
    pub datacentre: Option<String>,
    /// Namespace (Consul Enterprise).
    pub namespace: Option<String>,
    /// Admin partition (Consul Enterprise).
    pub partition: Option<String>,
    /// Filter expression of the queries.
    pub filter: Option<String>,
    /// Consistency mode of the queries.
    pub consistency: Consistency,
}

/// A query to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Position of the agent in the list of agents.
    pub agent: usize,
    /// Path and query.
    pub path: String,
    /// Time until the response must be complete.
    pub timeout: Duration,
}

/// The next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send this query and report its result.
    Call(Request),
    /// Wait until this time.
    Wait(Duration),
}

/// Status and relevant headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// `X-Consul-Index`; `None`: absent or no number.
    pub index: Option<u64>,
    /// `X-Consul-KnownLeader`: whether the server knows a leader; `None`: absent.
    pub known_leader: Option<bool>,
    /// `X-Consul-LastContact`: time since the server was in contact with the leader, in milliseconds.
    pub last_contact_ms: Option<u64>,
    /// `X-Consul-Results-Filtered-By-ACLs`: entries are missing for lack of permissions.
    pub filtered: bool,
    /// `Retry-After`, in seconds.
    pub retry_after_secs: Option<u64>,
}

impl ResponseHead {
    /// Reads the headers, which `get` finds by their names in lower case.
    pub fn new<'a>(status: u16, get: impl Fn(&str) -> Option<&'a str>) -> ResponseHead {
        let number = |name: &str| get(name).and_then(|v| v.trim().parse().ok());
        let flag = |name: &str| get(name).map(|v| v.trim().eq_ignore_ascii_case("true"));
        ResponseHead {
            status,
            index: number("x-consul-index"),
            known_leader: flag("x-consul-knownleader"),
            last_contact_ms: number("x-consul-lastcontact"),
            filtered: flag("x-consul-results-filtered-by-acls").unwrap_or(false),
            retry_after_secs: number("retry-after"),
        }
    }
}

/// Result of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseOutcome {
    /// Update of the endpoint set; a delta without entries if nothing has changed.
    pub update: SourceUpdate,
    /// Descriptions of entries that are not usable.
    pub entry_errors: Vec<String>,
}

/// Longest part of an error response that is quoted, in characters.
const MAX_QUOTED_CHARS: usize = 120;

/// Reason why a response is not an update.
#[derive(Debug, Error)]
enum ResponseRejection {
    #[error("answered {status}: {text}")]
    Status { status: u16, text: String },
    #[error("the Consul servers have no leader")]
    NoLeader,
    #[error("the response was filtered: the token lacks permissions to read the complete list")]
    Filtered,
    #[error("the response is {age_ms} ms behind the leader")]
    Stale { age_ms: u64 },
    #[error(transparent)]
    List(#[from] ListError),
}

/// A watch on one service. Times are durations since any fixed moment and must not decrease.
pub struct Watch {
    target: WatchedService,
    intervals: WatchIntervals,
    agent_count: usize,
    /// Position of the agent that is queried.
    agent: usize,
    list: ServiceList,
    kind: ListKind,
    /// Index of the last update, which an earlier process may have received.
    index: Option<u64>,
    /// Whether the last query brought an update, so that the next one can wait for changes. After a failure it must not
    /// wait: a server with another history that is behind the index would not answer before the end of the wait.
    last_query_succeeded: bool,
    /// Whether a complete list was reported: it removes the endpoints that an earlier process knew.
    full_list_reported: bool,
    /// Time until which a list counts as incomplete, after its index went backwards.
    incomplete_until: Option<Duration>,
    watch: watch::Watch,
}

impl Watch {
    /// A watch whose first query is due at once. `index` is that of an earlier process's last update, if there was one.
    pub fn new(
        target: WatchedService,
        mapping: EntryMapping,
        intervals: WatchIntervals,
        agent_count: usize,
        index: Option<u64>,
    ) -> Watch {
        Watch {
            kind: mapping.kind,
            list: ServiceList::new(mapping),
            watch: watch::Watch::new(intervals.watch_timing()),
            target,
            intervals,
            agent_count: agent_count.max(1),
            agent: 0,
            index,
            last_query_succeeded: false,
            full_list_reported: false,
            incomplete_until: None,
        }
    }

    /// Name of the watch, which is the same after a restart: service and datacentre.
    pub fn label(&self) -> String {
        let datacentre = self.target.datacentre.as_deref().unwrap_or("agent");
        format!("{}@{datacentre}", self.target.service)
    }

    /// Index of the last update.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Number of endpoints in the list.
    pub fn endpoint_count(&self) -> usize {
        self.list.len()
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.watch.failures()
    }

    /// The next step. `draw`, from 0 to 1, is the jitter of the wait.
    pub fn next_step(&mut self, now: Duration, draw: f64) -> NextStep {
        // Without an index to wait on, the full list is requested.
        let index = self.index.filter(|&index| self.last_query_succeeded && index > 0);
        let (kind, wait, timeout) = match self.watch.step(now, draw, index.is_some()) {
            Step::Call { kind, wait, timeout } => (kind, wait, timeout),
            Step::Wait(until) => return NextStep::Wait(until),
        };
        self.watch.call_sent(now, kind, timeout);
        let index = index.filter(|_| kind != Call::FullList);
        let blocking = index.map(|index| (index, self.limited_wait(now, wait)));
        NextStep::Call(Request { agent: self.agent, path: self.path(blocking), timeout })
    }

    /// A wait, ended when the list begins to count as complete: it has to be read then even if nothing changes.
    fn limited_wait(&self, now: Duration, wait: Duration) -> Duration {
        match self.incomplete_until {
            Some(until) => wait.min(until.saturating_sub(now)).max(Duration::from_millis(1)),
            None => wait,
        }
    }

    /// Path and query of a request; `blocking` are the index and the wait of a blocking query.
    fn path(&self, blocking: Option<(u64, Duration)>) -> String {
        let target = &self.target;
        let endpoint = match self.kind {
            ListKind::Health => "health",
            ListKind::Catalogue => "catalog",
        };
        let mut query: Vec<String> = Vec::new();
        for (name, value) in [
            ("dc", &target.datacentre),
            ("ns", &target.namespace),
            ("partition", &target.partition),
            ("filter", &target.filter),
        ] {
            query.extend(value.as_ref().map(|value| parameter(name, value)));
        }
        match target.consistency {
            Consistency::Default => {}
            Consistency::Stale => query.push("stale".into()),
            Consistency::Consistent => query.push("consistent".into()),
        }
        if let Some((index, wait)) = blocking {
            query.push(format!("index={index}"));
            query.push(format!("wait={}ms", wait.as_millis()));
        }
        let path = format!("/v1/{endpoint}/service/{}", percent_encode(&target.service));
        if query.is_empty() {
            return path;
        }
        format!("{path}?{}", query.join("&"))
    }

    /// A complete response was received. `draw`, from 0 to 1, is the jitter of the delay after a failure.
    pub fn on_response(
        &mut self,
        now: Duration,
        head: &ResponseHead,
        body: &[u8],
        draw: f64,
    ) -> ResponseOutcome {
        match self.accept(now, head, body) {
            Ok(outcome) => {
                self.watch.call_succeeded(now);
                if self.index.is_none() {
                    self.watch.postpone(now + POLL_INTERVAL);
                }
                outcome
            }
            Err(rejection) => {
                self.last_query_succeeded = false;
                self.watch.call_failed(now, draw);
                self.respect_retry_after(now, head);
                if head.status != 429 {
                    self.select_next_agent();
                }
                unavailable(rejection.to_string())
            }
        }
    }

    /// No complete response was received. `draw`, from 0 to 1, is the jitter of the delay.
    pub fn on_failure(&mut self, now: Duration, reason: &str, draw: f64) -> ResponseOutcome {
        self.last_query_succeeded = false;
        self.watch.call_failed(now, draw);
        self.select_next_agent();
        unavailable(reason.into())
    }

    fn select_next_agent(&mut self) {
        self.agent = (self.agent + 1) % self.agent_count;
    }

    /// Delays the next query by `Retry-After`, with jitter, since all clients received the same value.
    fn respect_retry_after(&mut self, now: Duration, head: &ResponseHead) {
        let retry_after = Duration::from_secs(head.retry_after_secs.unwrap_or(0)).min(MAX_RETRY_AFTER);
        let backoff = self.watch.next_call_at().saturating_sub(now);
        self.watch.postpone(now + backoff.max(retry_after + backoff.min(retry_after)));
    }

    /// Applies a response, if it is an update.
    fn accept(
        &mut self,
        now: Duration,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<ResponseOutcome, ResponseRejection> {
        self.check_head(head, body)?;
        // An index of 0 cannot be waited on and does not identify a history.
        let index = head.index.filter(|&index| index > 0);
        let went_backwards = matches!((index, self.index), (Some(new), Some(known)) if new < known);
        let mut incomplete_until = self.incomplete_until.filter(|&until| now < until);
        if went_backwards {
            incomplete_until = Some(now + self.intervals.regrow_timeout);
        }
        let mut list_update = self.list.apply(body, incomplete_until.is_some())?;
        self.incomplete_until = incomplete_until;
        self.last_query_succeeded = true;
        if incomplete_until.is_none() && !self.full_list_reported {
            self.full_list_reported = true;
            list_update.update = SourceUpdate::Full(self.list.reports());
        }
        // Also applies if the index went backwards: the next response follows the new history.
        self.index = index;
        Ok(ResponseOutcome { update: list_update.update, entry_errors: list_update.entry_errors })
    }

    fn check_head(&self, head: &ResponseHead, body: &[u8]) -> Result<(), ResponseRejection> {
        if head.status != 200 {
            let text = String::from_utf8_lossy(body);
            let text = text.chars().filter(|c| !c.is_control()).take(MAX_QUOTED_CHARS).collect();
            return Err(ResponseRejection::Status { status: head.status, text });
        }
        if head.known_leader == Some(false) {
            return Err(ResponseRejection::NoLeader);
        }
        if head.filtered {
            return Err(ResponseRejection::Filtered);
        }
        let max_age_ms = u64::try_from(self.intervals.max_staleness.as_millis()).unwrap_or(u64::MAX);
        match head.last_contact_ms {
            Some(age_ms) if self.target.consistency == Consistency::Stale && age_ms > max_age_ms => {
                Err(ResponseRejection::Stale { age_ms })
            }
            _ => Ok(()),
        }
    }
}

/// A query parameter; the name alone if the value is empty.
fn parameter(name: &str, value: &str) -> String {
    match value {
        "" => name.into(),
        value => format!("{name}={}", percent_encode(value)),
    }
}

fn unavailable(reason: String) -> ResponseOutcome {
    ResponseOutcome { update: SourceUpdate::Unavailable(reason), entry_errors: Vec::new() }
}
