//! Types that fronts, the driver and transports exchange: a request, its final answer, an attempt and its result.
//!
//! Independent of protocols: a front converts its protocol's messages into a [`Request`] and an [`Answer`] back into them, the
//! driver numbers and times attempts, and a transport executes one [`Attempt`] in the protocol of its upstream.
use balancer::{Ending, Millis};
use bytes::{BufMut, Bytes, BytesMut};
use config::request_budget::FieldNames;
use request_budget::grammar;
use request_budget::grammar::Used;
use request_budget::Budget;
use std::borrow::Cow;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::debug;

/// Method of a request. Whether it may be repeated depends on its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET, without a body.
    Get,
    /// POST.
    Post,
}

/// Names and values in order, in one allocation. Names may occur more than once.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    text: Bytes,
    /// Where each name and each value ends.
    field_ends: Vec<(u32, u32)>,
}

impl Fields {
    /// Collects fields. The caller has bounded them: beyond 4 GiB they are truncated.
    pub fn new<'a>(fields: impl Iterator<Item = (&'a str, &'a [u8])>) -> Fields {
        let (mut text, mut ends) = (BytesMut::with_capacity(512), Vec::with_capacity(12));
        for (name, value) in fields {
            let end = |more: usize| u32::try_from(more).ok();
            let name_end = text.len() + name.len();
            let (Some(name_ends), Some(value_ends)) = (end(name_end), end(name_end + value.len())) else {
                break;
            };
            text.put_slice(name.as_bytes());
            text.put_slice(value);
            ends.push((name_ends, value_ends));
        }
        Fields { text: text.freeze(), field_ends: ends }
    }

    /// Each name and value; values share the allocation.
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

/// A complete request as it is forwarded to upstreams.
pub struct Request {
    /// The client's id of the request, by which upstreams recognise retries.
    pub id: Option<Bytes>,
    /// Method.
    pub method: Method,
    /// Path and query, as the client wrote them.
    pub target: Box<str>,
    /// End-to-end fields.
    pub fields: Fields,
    /// The whole body.
    pub body: Bytes,
    /// Request budget, where budgets are on.
    pub budget: Option<Box<CarriedBudget>>,
    /// Maximum number of attempts, if its route allows fewer than its class.
    pub max_attempts: Option<u32>,
    /// Set when the request has its final answer or its client is gone: nothing more is written for it.
    pub finished: Cell<bool>,
}

impl Request {
    /// The client's id, for the log.
    pub fn label(&self) -> Cow<'_, str> {
        self.id.as_deref().map_or(Cow::Borrowed("without an id"), String::from_utf8_lossy)
    }

    /// A copy that has not finished.
    pub fn duplicate(&self) -> Request {
        Request {
            id: self.id.clone(),
            method: self.method,
            target: self.target.clone(),
            fields: self.fields.clone(),
            body: self.body.clone(),
            budget: self.budget.clone(),
            max_attempts: self.max_attempts,
            finished: Cell::new(false),
        }
    }
}

/// A request budget and the names of the fields that carry it.
#[derive(Clone, Debug)]
pub struct CarriedBudget {
    /// The budget.
    pub budget: Budget,
    /// Names of its fields.
    pub names: Rc<FieldNames>,
}

/// The final answer to a request, with what the client may be told besides.
#[derive(Debug)]
pub struct FinalAnswer {
    /// Answer.
    pub answer: Answer,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Retries used of its budget.
    pub used: Used,
}

/// The outcome of a request for its client.
#[derive(Debug)]
pub enum Answer {
    /// An upstream's answer.
    Served {
        /// Its end-to-end fields.
        fields: Fields,
        /// Its whole body.
        body: Bytes,
    },
    /// Rejected: nothing ran, and a retry does no harm.
    Rejected {
        /// Retry-After in milliseconds; 0: no advice.
        retry_after: Millis,
    },
    /// Rejected by the upstream as invalid, with this status (400 to 499).
    ClientError(u16),
    /// Failed, with no promise about its effect.
    Failed,
}

/// How an attempt ended, and its answer if there is one.
pub type AttemptResult = (Ending, Option<Answer>);

/// Whether attempts may still be written to an upstream. Shared by the driver, which closes it when the upstream drains, and
/// the attempts in flight.
#[derive(Debug, Default)]
pub struct DrainGate(Cell<Option<Instant>>);

impl DrainGate {
    /// Closes the gate at `at`, unless it closes earlier already.
    pub fn close_at(&self, at: Instant) {
        self.0.set(Some(self.0.get().map_or(at, |before| before.min(at))));
    }

    /// Opens the gate: the upstream takes new requests again.
    pub fn open(&self) {
        self.0.set(None);
    }

    /// Whether nothing may be written any more.
    pub fn closed(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|at| now >= at)
    }
}

/// An attempt's share of its request's retry budget.
#[derive(Debug, Default)]
pub struct BudgetGrant {
    /// Retries that the tiers below may use.
    pub retries: u32,
    /// Usage that the answer reported, if it did.
    pub reported_usage: Cell<Option<Used>>,
}

/// One attempt: a request to one upstream, written once at most.
#[derive(Clone)]
pub struct Attempt {
    /// The request.
    pub request: Rc<Request>,
    /// Closed while the upstream drains.
    pub gate: Rc<DrainGate>,
    /// When the attempt times out.
    pub deadline: Instant,
    /// Where an earlier attempt may have run: when upstreams stop discarding duplicates; nothing is written from then on.
    pub dedup_deadline: Option<Instant>,
    /// Its share of the retry budget, where budgets are on.
    pub budget_grant: Option<Rc<BudgetGrant>>,
}

impl Attempt {
    /// Names and values of the budget's fields, to be written with the request. The remaining time counts from `now`, so that
    /// no clock is compared between machines.
    pub fn budget_fields(&self, now: Instant) -> Option<[(&str, String); 2]> {
        let CarriedBudget { budget, names } = self.request.budget.as_deref()?;
        let left = self.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        let value = grammar::write_budget(
            left,
            self.budget_grant.as_ref().map_or(0, |hop| hop.retries),
            budget.worth,
        );
        Some([(&names.budget, value), (&names.path, budget.path.text().into())])
    }

    /// Records the usage that an answer reports. `field` yields the value of a field of the answer.
    pub fn record_usage<'a>(&self, field: impl FnOnce(&str) -> Option<&'a [u8]>) {
        if let (Some(carried), Some(hop)) = (&self.request.budget, &self.budget_grant) {
            hop.reported_usage.set(field(&carried.names.used).and_then(grammar::read_used));
        }
    }

    /// Name of the field that reports usage, where budgets are on; it is not forwarded to the client.
    pub fn used_field(&self) -> Option<&str> {
        self.request.budget.as_ref().map(|carried| carried.names.used.as_str())
    }

    /// Whether its first byte may be written now. A transport asks right before it writes: between the decision and the first
    /// byte the upstream may have begun to drain, the attempt may have timed out, upstreams may have stopped discarding
    /// duplicates, or the request may have finished.
    pub fn may_write(&self, now: Instant) -> bool {
        let may = !self.gate.closed(now)
            && now < self.deadline
            && self.dedup_deadline.is_none_or(|by| now < by)
            && !self.request.finished.get();
        debug!(
            "request {}: {}",
            self.request.label(),
            if may { "is written" } else { "comes too late to be written" }
        );
        may
    }
}

/// An attempt in execution. Dropping it closes its connection.
pub type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// One upstream, reached by its protocol, with its pooled connections.
pub trait Upstream {
    /// Executes one attempt: its request is written once at most.
    fn attempt(self: Rc<Self>, attempt: Attempt) -> AttemptFuture;

    /// Another process serves at `addr` now: connections to the former one, also those in use, carry no further request.
    fn process_replaced(&self, addr: SocketAddr);

    /// Closes the idle connections.
    fn close_idle(&self);

    /// Closes connections that have been idle for too long, and those that the other side closed.
    fn close_expired(&self, now: Instant);

    /// Since when the connection that has been idle longest is idle.
    fn oldest_idle_since(&self) -> Option<Instant>;

    /// Closes the connection that has been idle longest.
    fn close_oldest_idle(&self);
}

#[cfg(test)]
mod tests;
