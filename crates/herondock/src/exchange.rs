//! Types that are shared by fronts, the driver and transports: a request, its final answer, an attempt and its
//! result.
//!
//! The types are independent of protocols: a front converts messages of its protocol into a [`Request`] and an
//! [`Answer`] back into messages, the driver numbers attempts and sets their deadlines, and a transport executes one
//! [`Attempt`] in the protocol of its upstream.
use balancer::{AttemptOutcome, Millis};
use bytes::{BufMut, Bytes, BytesMut};
use config::request_budget::FieldNames;
use request_budget::grammar;
use request_budget::grammar::RetryUsage;
use request_budget::Budget;
use std::borrow::Cow;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::debug;

/// Method of a request. Whether a request may be retried depends on its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET, without a body.
    Get,
    /// POST.
    Post,
}

/// Ordered names and values in one allocation. Names may occur more than once.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    text: Bytes,
    /// End offsets of each name and its value in `text`.
    field_ends: Vec<(u32, u32)>,
}

impl Fields {
    /// Collects fields. The caller limits their total size: from the first field that ends beyond 4 GiB on, they are
    /// dropped.
    pub fn new<'a>(fields: impl Iterator<Item = (&'a str, &'a [u8])>) -> Fields {
        let (mut text, mut ends) = (BytesMut::with_capacity(512), Vec::with_capacity(12));
        for (name, value) in fields {
            let offset = |position: usize| u32::try_from(position).ok();
            let name_end = text.len() + name.len();
            let (Some(name_ends), Some(value_ends)) = (offset(name_end), offset(name_end + value.len()))
            else {
                break;
            };
            text.put_slice(name.as_bytes());
            text.put_slice(value);
            ends.push((name_ends, value_ends));
        }
        Fields { text: text.freeze(), field_ends: ends }
    }

    /// Iterates over names and values in order; values share the allocation.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], Bytes)> + '_ {
        let mut start = 0;
        self.field_ends.iter().map(move |&(name, value)| {
            let (name, value) = (name as usize, value as usize);
            let field = (&self.text[start..name], self.text.slice(name..value));
            start = value;
            field
        })
    }

    /// Number of fields.
    pub fn len(&self) -> usize {
        self.field_ends.len()
    }
}

/// What is known of the client that waits for the answer to a request.
pub trait ClientPresence {
    /// Whether the client is certainly connected. Nothing is written for the request of one that may have left.
    fn is_connected(&self) -> bool;
}

/// A complete request as it is forwarded to upstreams.
pub struct Request {
    /// Client-assigned id, by which upstreams recognise retries.
    pub id: Option<Bytes>,
    /// Request method.
    pub method: Method,
    /// Path and query, unchanged from the client's request.
    pub target: Box<str>,
    /// End-to-end fields.
    pub fields: Fields,
    /// Complete body.
    pub body: Bytes,
    /// Request budget, where budgets are on.
    pub budget: Option<Box<CarriedBudget>>,
    /// Maximum number of attempts that the request's route allows; `None`: the route sets no limit.
    pub max_attempts: Option<u32>,
    /// The client; `None`: its front reports at once that it has left.
    pub client: Option<Rc<dyn ClientPresence>>,
    /// Set once an attempt was written to a process that the endpoint list may not describe, so that the group which
    /// discards its duplicates is unknown.
    pub group_uncertain: Cell<bool>,
    /// Set once the request has its final answer or its client is gone: nothing more is written for it.
    pub finished: Cell<bool>,
}

impl Request {
    /// Client-assigned id for log lines.
    pub fn label(&self) -> Cow<'_, str> {
        self.id.as_deref().map_or(Cow::Borrowed("without an id"), String::from_utf8_lossy)
    }

    /// Returns a copy that is not marked as finished.
    pub fn duplicate(&self) -> Request {
        Request {
            id: self.id.clone(),
            method: self.method,
            target: self.target.clone(),
            fields: self.fields.clone(),
            body: self.body.clone(),
            budget: self.budget.clone(),
            max_attempts: self.max_attempts,
            client: self.client.clone(),
            group_uncertain: Cell::new(false),
            finished: Cell::new(false),
        }
    }
}

/// A request budget and the names of the fields that carry it.
#[derive(Clone, Debug)]
pub struct CarriedBudget {
    /// The budget.
    pub budget: Budget,
    /// Names of the fields that carry it.
    pub names: Rc<FieldNames>,
}

/// The final answer to a request, with details that the front may report to the client.
#[derive(Debug)]
pub struct FinalAnswer {
    /// Outcome for the client.
    pub answer: Answer,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Retries used of the request's budget.
    pub used: RetryUsage,
}

/// The outcome of a request for its client.
#[derive(Debug)]
pub enum Answer {
    /// An upstream's answer.
    Served {
        /// End-to-end fields of the answer.
        fields: Fields,
        /// Complete body of the answer.
        body: Bytes,
    },
    /// Rejected without any effect: a retry does no harm.
    Rejected {
        /// Retry-After in milliseconds; 0: no advice.
        retry_after: Millis,
    },
    /// Rejected by the upstream as invalid, with this status (400 to 499).
    ClientError(u16),
    /// Failed, with no promise about its effect.
    Failed,
}

impl Answer {
    /// Outcome for log lines.
    pub fn outcome(&self) -> &'static str {
        match self {
            Answer::Served { .. } => "served",
            Answer::Rejected { .. } => "refused",
            Answer::ClientError(_) => "turned away by its upstream",
            Answer::Failed => "failed",
        }
    }
}

/// Outcome of an attempt, and its answer if there is one.
pub type AttemptResult = (AttemptOutcome, Option<Answer>);

/// Whether attempts may still be written to an upstream. Shared by the driver, which closes it when the upstream drains, and
/// the attempts in flight.
#[derive(Debug, Default)]
pub struct DrainGate(Cell<Option<Instant>>);

impl DrainGate {
    /// Closes the gate at `time`, unless it is set to close earlier.
    pub fn close_at(&self, time: Instant) {
        self.0.set(Some(self.0.get().map_or(time, |earlier| earlier.min(time))));
    }

    /// Opens the gate: the upstream accepts new requests again.
    pub fn open(&self) {
        self.0.set(None);
    }

    /// Whether the gate is closed, so that no further attempt may be written.
    pub fn closed(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|closes_at| now >= closes_at)
    }
}

/// An attempt's share of its request's retry budget.
#[derive(Debug, Default)]
pub struct BudgetGrant {
    /// Retries that the tiers below may use.
    pub retries: u32,
    /// Usage that the answer reported; `None`: it reported none.
    pub reported_usage: Cell<Option<RetryUsage>>,
}

/// One attempt: a request to one upstream, written at most once.
#[derive(Clone)]
pub struct Attempt {
    /// The request.
    pub request: Rc<Request>,
    /// Closed while the upstream drains.
    pub gate: Rc<DrainGate>,
    /// Time at which the attempt times out.
    pub deadline: Instant,
    /// If an earlier attempt may have run, the time at which upstreams stop discarding duplicates; nothing is written
    /// from then on.
    pub dedup_deadline: Option<Instant>,
    /// Whether only a group of upstreams discards duplicates of the request: a retry depends on the process that an
    /// earlier attempt has reached.
    pub within_group: bool,
    /// Whether another attempt may follow one that may have run.
    pub is_repeatable: bool,
    /// Share of the request's retry budget, where budgets are on.
    pub budget_grant: Option<Rc<BudgetGrant>>,
}

impl Attempt {
    /// Returns names and values of the budget's fields, which are written with the request. The remaining time is
    /// relative to `now`, so that clocks of different machines are not compared.
    pub fn budget_fields(&self, now: Instant) -> Option<[(&str, String); 2]> {
        let CarriedBudget { budget, names } = self.request.budget.as_deref()?;
        let remaining_ms = self.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        let value = grammar::format_budget(
            remaining_ms,
            self.budget_grant.as_ref().map_or(0, |grant| grant.retries),
            budget.worth,
        );
        Some([(&names.budget, value), (&names.path, budget.path.text().into())])
    }

    /// Records the usage that an answer reports. `field` returns the value of a field of the answer.
    pub fn record_usage<'a>(&self, field: impl FnOnce(&str) -> Option<&'a [u8]>) {
        if let (Some(carried), Some(grant)) = (&self.request.budget, &self.budget_grant) {
            grant.reported_usage.set(field(&carried.names.used).and_then(grammar::parse_usage));
        }
    }

    /// Name of the field that reports usage, where budgets are on; it is not forwarded to the client.
    pub fn used_field(&self) -> Option<&str> {
        self.request.budget.as_ref().map(|carried| carried.names.used.as_str())
    }

    /// Whether the first byte of the attempt may be written now. A transport checks this right before it writes:
    /// since the decision to send, the upstream may have begun to drain, the attempt may have timed out, upstreams
    /// may have stopped discarding duplicates, the request may have finished, or its client may have left.
    pub fn may_write(&self, now: Instant) -> bool {
        let allowed = !self.gate.closed(now)
            && now < self.deadline
            && self.dedup_deadline.is_none_or(|deadline| now < deadline)
            && !self.request.finished.get()
            && self.request.client.as_ref().is_none_or(|client| client.is_connected());
        debug!(
            "request {}: {}",
            self.request.label(),
            if allowed {
                "is written"
            } else {
                "is not written: its time has passed, its upstream drains, it has finished or its client may have left"
            }
        );
        allowed
    }
}

/// Whether a connection leads to the process that the endpoint list describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessIdentity {
    /// It does, as far as anyone has been notified.
    Listed,
    /// Connections to that process have ended before this one was established: another process may have taken its
    /// address.
    Uncertain,
}

impl Attempt {
    /// Like [`Attempt::may_write`], for a connection to a process of this identity. Only the group of the process that
    /// an attempt has reached discards duplicates, so none is written once that process is uncertain.
    pub fn may_write_to(&self, process: ProcessIdentity, now: Instant) -> bool {
        let is_duplicate = self.dedup_deadline.is_some();
        let is_uncertain = process == ProcessIdentity::Uncertain;
        let group_uncertain = &self.request.group_uncertain;
        if self.within_group && is_duplicate && (is_uncertain || group_uncertain.get()) {
            debug!("request {}: is not written: the group of its process is uncertain", self.request.label());
            return false;
        }
        let allowed = self.may_write(now);
        if allowed && is_uncertain {
            group_uncertain.set(true);
        }
        allowed
    }
}

/// An attempt that is being executed. Dropping it cancels the attempt.
pub type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// One upstream with its pooled connections, reached by its protocol.
pub trait Upstream {
    /// Executes one attempt: its request is written at most once.
    fn attempt(self: Rc<Self>, attempt: Attempt) -> AttemptFuture;

    /// Records that another process now serves at `addr`: connections to the former process, including those in use,
    /// carry no further request.
    fn process_replaced(&self, addr: SocketAddr);

    /// Closes all idle connections.
    fn close_idle(&self);

    /// Closes connections that have been idle for too long, and those that the peer has closed.
    fn close_expired(&self, now: Instant);

    /// Start of the longest idle period among its connections; `None`: no connection is idle.
    fn oldest_idle_since(&self) -> Option<Instant>;

    /// Closes the connection that has been idle longest.
    fn close_oldest_idle(&self);
}

#[cfg(test)]
mod tests;
