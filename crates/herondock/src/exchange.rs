//! What fronts, the driver and transports exchange: a request, its one answer, an attempt and its ending.
//!
//! Nothing here belongs to a protocol, and nothing here is decided: a front turns its protocol's messages into a
//! [`Request`] and an [`Answer`] back into them, the driver numbers and times, and a transport carries one
//! [`Attempt`] out in the protocol of its upstream.
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

/// What a request asks for; the effect of a repeat is its class's matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads; has no body.
    Get,
    /// Acts.
    Post,
}

/// Names and values in order, one allocation for the text of all. Names may come more than once.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    text: Bytes,
    /// Where each name and each value ends.
    field_ends: Vec<(u32, u32)>,
}

impl Fields {
    /// Gathers fields. The caller has bounded them: a text of 4 GiB or more is cut short.
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

    /// Each name and value; the value shares the text.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], Bytes)> + '_ {
        let mut start = 0;
        self.field_ends.iter().map(move |&(name, value)| {
            let (name, value) = (name as usize, value as usize);
            let field = (&self.text[start..name], self.text.slice(name..value));
            start = value;
            field
        })
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.field_ends.len()
    }
}

/// A request as it goes on to upstreams, whole.
pub struct Request {
    /// The caller's id for it: upstreams tell repeats by it.
    pub id: Option<Bytes>,
    /// Its method.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub target: Box<str>,
    /// End-to-end fields.
    pub fields: Fields,
    /// The whole body.
    pub body: Bytes,
    /// What it may still use, where budgets are on.
    pub budget: Option<Box<CarriedBudget>>,
    /// Most attempts, if its route allows fewer than its class.
    pub max_attempts: Option<u32>,
    /// Set when the request has ended: what has not been written for it by then must not be.
    pub finished: Cell<bool>,
}

impl Request {
    /// Its caller's id for the log.
    pub fn label(&self) -> Cow<'_, str> {
        self.id.as_deref().map_or(Cow::Borrowed("without an id"), String::from_utf8_lossy)
    }

    /// The same request, not yet over.
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

/// A budget, and the fields in which it is carried on.
#[derive(Clone, Debug)]
pub struct CarriedBudget {
    /// What the request may use.
    pub budget: Budget,
    /// Names of the fields.
    pub names: Rc<FieldNames>,
}

/// The one final answer to a request, with what its caller may be told besides.
#[derive(Debug)]
pub struct FinalAnswer {
    /// The answer.
    pub answer: Answer,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// What was used of its budget.
    pub used: Used,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// An upstream's answer.
    Served {
        /// Its end-to-end fields.
        fields: Fields,
        /// Its whole body.
        body: Bytes,
    },
    /// Refused: another try does no harm.
    Rejected {
        /// How long the client should stay away; zero: no advice.
        retry_after: Millis,
    },
    /// Turned away by the upstream as something it can't use, with this status (400 to 499).
    ClientError(u16),
    /// Failed, with no promise about its effect.
    Failed,
}

/// How an attempt ended, and the answer if it brought one.
pub type AttemptResult = (Ending, Option<Answer>);

/// Until when something may be written to an upstream. Shared by the driver, which hears the news, and the
/// attempts that are on their way.
#[derive(Debug, Default)]
pub struct DrainGate(Cell<Option<Instant>>);

impl DrainGate {
    /// Nothing may be written from `at` on, nor after an earlier time that was set before.
    pub fn close_at(&self, at: Instant) {
        self.0.set(Some(self.0.get().map_or(at, |before| before.min(at))));
    }

    /// The upstream takes new work again.
    pub fn open(&self) {
        self.0.set(None);
    }

    /// Whether it is too late to write.
    pub fn closed(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|at| now >= at)
    }
}

/// What an attempt carries of its request's budget, and what its answer told.
#[derive(Debug, Default)]
pub struct BudgetGrant {
    /// Repeats that what is below may use.
    pub retries: u32,
    /// What it used, where the answer said so.
    pub reported_usage: Cell<Option<Used>>,
}

/// One request to one upstream, once.
#[derive(Clone)]
pub struct Attempt {
    /// The request.
    pub request: Rc<Request>,
    /// The upstream's gate.
    pub gate: Rc<DrainGate>,
    /// When it is given up.
    pub deadline: Instant,
    /// Nothing is written from then on, where an earlier attempt may have run: repeats are not dropped any more.
    pub dedup_deadline: Option<Instant>,
    /// Its part of the budget, where budgets are on.
    pub budget_grant: Option<Rc<BudgetGrant>>,
}

impl Attempt {
    /// The fields of the budget, to be written with the request: what is left of the time counts from now, so that no
    /// clock is passed on.
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

    /// Takes note of what an answer tells, given its field of this name; the field goes no further.
    pub fn record_usage<'a>(&self, field: impl FnOnce(&str) -> Option<&'a [u8]>) {
        if let (Some(carried), Some(hop)) = (&self.request.budget, &self.budget_grant) {
            hop.reported_usage.set(field(&carried.names.used).and_then(grammar::read_used));
        }
    }

    /// The name of the field that tells what was used, where budgets are on.
    pub fn used_field(&self) -> Option<&str> {
        self.request.budget.as_ref().map(|carried| carried.names.used.as_str())
    }

    /// Whether its first byte may be written now. A transport asks right before it writes: what was decided before
    /// dialling must not go out once the upstream's grace, the attempt's time, the time in which repeats are dropped or the
    /// request itself is over.
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

/// An attempt that is carried out. Dropping it closes the connection that it is on.
pub type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// One upstream, reached by its protocol, and the connections kept to it.
pub trait Upstream {
    /// Carries one attempt out: its request is written once at most.
    fn attempt(self: Rc<Self>, attempt: Attempt) -> AttemptFuture;

    /// Another process has taken its place at `addr`: connections to the old one, those in use too, carry nothing
    /// more.
    fn process_replaced(&self, addr: SocketAddr);

    /// Closes the connections that carry no call now.
    fn close_idle(&self);

    /// Closes the connections that have been idle for too long, and those that the other side closed.
    fn close_expired(&self, now: Instant);

    /// Since when the connection that rested longest is idle.
    fn oldest_idle_since(&self) -> Option<Instant>;

    /// Closes the connection that rested longest.
    fn close_oldest_idle(&self);
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn fields_keep_their_order_and_repeats() {
        let given = [("a", &b"1"[..]), ("long-name", b""), ("a", b"2 3")];
        let fields = Fields::new(given.iter().copied());
        let got: Vec<_> = fields.iter().map(|(n, v)| (n.to_vec(), v.to_vec())).collect();
        let wanted: Vec<_> = given.iter().map(|(n, v)| (n.as_bytes().to_vec(), v.to_vec())).collect();
        assert_eq!((got, fields.len()), (wanted, 3));
    }

    /// Guards against later news of a drain giving an upstream more time than the first.
    #[test]
    fn a_gate_keeps_its_earliest_end() {
        let (gate, now) = (DrainGate::default(), Instant::now());
        let later = now + Duration::from_secs(1);
        gate.close_at(later);
        gate.close_at(later + Duration::from_secs(9));
        assert!(!gate.closed(now) && gate.closed(later));
        gate.open();
        assert!(!gate.closed(later));
    }
}
