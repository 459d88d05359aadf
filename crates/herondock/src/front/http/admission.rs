//! Admission of requests: classifies a request by its head, reads its body and passes it to the pools.
use super::response::{final_answer, reject_input, BodyNotRead, Response};
use super::{ClientConnection, HttpFront};
use crate::driver::AdmissionError;
use crate::exchange::{Answer, CarriedBudget, Method, Request};
use crate::front::classify::{classify, Classification, RequestField, RequestHead, KEY};
use crate::front::read_ahead::Presence;
use crate::http::{end_to_end_fields, DEADLINE, DECLINED, RETRY};
use crate::memory_budget::{Purpose, Reservation, FIELD_BYTES, HEAD_COPIES, REQUEST_BYTES};
use crate::message_body::{self, BodyError};
use crate::request_budgets::FrontKind;
use crate::routing::request_attributes::{RequestAttributes, RoutingError};
use crate::routing::AdmittedRequest;
use bytes::Bytes;
use config::operator::Limits;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::StatusCode;
use request_budget::grammar::{format_usage, RetryUsage};
use request_budget::BudgetRejection;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use tracing::debug;

/// Position of this front in the routing table's fronts.
const FRONT: usize = 0;
/// Header with the client's id of a request.
const REQUEST_ID: &str = "req-id";

/// An admitted request, and whether the answer reports the usage of its budget.
pub(super) struct Admitted {
    /// Admitted request, which returns the final answer.
    pub(super) request: AdmittedRequest,
    /// Whether the request arrived with a budget.
    pub(super) reports_usage: bool,
    /// Memory of the request beside its body.
    pub(super) memory: Reservation,
}

/// Response to a request that is not admitted.
type Rejection = Box<Response>;

impl HttpFront {
    /// Reads a complete request and passes it to the pools. `body_due`: time by which its body has to be complete.
    pub(super) async fn admit(
        &self,
        request: hyper::Request<Incoming>,
        body_due: Instant,
        client: &ClientConnection,
    ) -> Result<Admitted, Rejection> {
        let activity = &client.activity;
        let (number, head_started) = (activity.heads_delivered.get(), activity.head_started.get());
        let (head, body) = request.into_parts();
        let limits = self.limits.get();
        let classification = self.classify(&head, limits.request_id)?;
        // Both precede reading the body, so that a rejected request is answered immediately.
        let body_not_read = |mut response: Rejection| {
            if !body.is_end_stream() {
                response.extensions_mut().insert(BodyNotRead);
            }
            response
        };
        let mut budget =
            self.carried_budget(&head.headers, classification.deadline_ms).map_err(body_not_read)?;
        let head_memory = HEAD_COPIES * head_bytes(&head);
        let mut memory = self.memory.reservation(Purpose::Request);
        self.reserve(&mut memory, head_memory, limits.full_pause).map_err(body_not_read)?;
        let body = self.read_body(body, classification.method, body_due, &limits).await?;
        let presence = client.read_ahead.presence();
        if presence != Presence::Connected {
            debug!("request {number} of {}: refused, its client is {presence:?}", client.peer);
            return Err(Box::new(self.refusal(limits.full_pause, "more was sent than is read ahead")));
        }
        self.reserve(&mut memory, head_memory + REQUEST_BYTES, limits.full_pause)?;
        // The time that the request waited behind others of its connection is part of the client's deadline.
        let waited =
            activity.completed_at(number).map_or(Duration::ZERO, |completed_at| completed_at.elapsed());
        // With a budget, so is the time that it took to arrive, as far as it can be measured without the clock of
        // another machine: from the first byte of its head.
        let waited = if budget.is_some() { waited.max(head_started.elapsed()) } else { waited };
        let timeout_ms = (classification.deadline_ms - waited.as_secs_f64() * 1000.0).max(0.0);
        if let Some(carried) = &mut budget {
            carried.budget.left_ms = timeout_ms;
        }
        let reports_usage = budget.as_ref().is_some_and(|carried| carried.budget.reports_usage);
        debug!(
            "request {}: request {number} of {}",
            head.headers.get(REQUEST_ID).map_or("", |id| id.to_str().unwrap_or("")),
            client.peer
        );
        let mut request = upstream_request(&head, classification.method, body, budget);
        request.client = Some(client.read_ahead.clone());
        let Classification { class, tenant, method, .. } = classification;
        let host = || request_host(&head);
        let attributes = RequestAttributes {
            front: FRONT,
            method: usize::from(method == Method::Post),
            host: &host,
            target: target(&head),
            key: &|| head.headers.get(KEY.header).map(HeaderValue::as_bytes),
            request_id: &|| head.headers.get(REQUEST_ID).map_or(b"", |id| id.as_bytes()),
            headers: &|name| head.headers.get_all(name).iter().map(HeaderValue::as_bytes).collect(),
        };
        match self.pools.admit(&attributes, class, tenant, timeout_ms, request) {
            Ok(request) => Ok(Admitted { request, reports_usage, memory }),
            Err(error) => Err(Box::new(self.routing_rejection(error, limits.full_pause))),
        }
    }

    fn classify(&self, head: &Parts, max_id_bytes: usize) -> Result<Classification, Rejection> {
        let single_value = |field: &RequestField| {
            let mut all = head.headers.get_all(field.header).iter();
            let value = all.next()?.to_str().ok()?;
            all.next().is_none().then_some(value)
        };
        let request_head = RequestHead {
            single_value: &single_value,
            has_key: head.headers.contains_key(KEY.header),
            is_get: head.method == hyper::Method::GET,
            is_post: head.method == hyper::Method::POST,
        };
        classify(&self.deployment, max_id_bytes, &request_head).map_err(bad_request)
    }

    /// Returns the budget of a request, where budgets are on, or the response to a request that is rejected.
    fn carried_budget(
        &self,
        headers: &HeaderMap,
        timeout_ms: f64,
    ) -> Result<Option<Box<CarriedBudget>>, Rejection> {
        let Some(budgets) = &self.budgets else { return Ok(None) };
        let values =
            |name: &str| -> Vec<&[u8]> { headers.get_all(name).iter().map(HeaderValue::as_bytes).collect() };
        let (budget, path) = (values(&budgets.names.budget), values(&budgets.names.path));
        let is_retry = headers.get(RETRY).is_some_and(|v| v == "1");
        match budgets.carried_budget(FrontKind::Http, (&budget, &path), timeout_ms, is_retry) {
            Ok(carried) => Ok(Some(Box::new(carried))),
            Err(BudgetRejection::Malformed(malformed)) => Err(bad_request(&malformed.to_string())),
            Err(BudgetRejection::Refused(rejection)) => {
                let mut response = reject_input(StatusCode::SERVICE_UNAVAILABLE, &rejection.to_string());
                let used = RetryUsage { retries: 0, stop: Some(rejection.stop_reason()) };
                self.add_budget_fields(&mut response, Some(used), true);
                Err(Box::new(response))
            }
        }
    }

    /// Adds fields that report the usage of a budget and, where it is certain, that nothing ran: the tier above may
    /// then retry elsewhere.
    pub(super) fn add_budget_fields(
        &self,
        response: &mut Response,
        used: Option<RetryUsage>,
        nothing_ran: bool,
    ) {
        let Some(budgets) = &self.budgets else { return };
        if nothing_ran {
            response.headers_mut().insert(DECLINED, HeaderValue::from_static("1"));
        }
        let name = HeaderName::try_from(&budgets.names.used);
        if let (Some(used), Ok(name)) = (used, name) {
            if let Ok(value) = HeaderValue::try_from(format_usage(used)) {
                response.headers_mut().insert(name, value);
            }
        }
    }

    /// Returns the response to a request that is refused before anything ran: a retry after `pause` does no harm.
    fn refusal(&self, pause: Duration, reason: &str) -> Response {
        let mut response = final_answer(Answer::Rejected { retry_after: pause.as_secs_f64() * 1000.0 });
        if !reason.is_empty() {
            *response.body_mut() = Full::new(Bytes::from(format!("{reason}\n")));
        }
        self.add_budget_fields(&mut response, None, true);
        response
    }

    /// Grows the reservation of a request to this number of bytes, or returns the response to a request that is refused.
    fn reserve(&self, memory: &mut Reservation, bytes: usize, pause: Duration) -> Result<(), Rejection> {
        if memory.grow_to(bytes) {
            return Ok(());
        }
        Err(Box::new(self.refusal(pause, "there is no memory left for the request")))
    }

    /// Reads the complete body, which is limited in size and has to be complete at `due`.
    async fn read_body(
        &self,
        body: Incoming,
        method: Method,
        due: Instant,
        limits: &Limits,
    ) -> Result<Bytes, Rejection> {
        let is_too_large = body.size_hint().lower() > limits.body as u64;
        if method == Method::Get && !body.is_end_stream() && !is_too_large {
            return Err(bad_request("GET has no body"));
        }
        let reservation = Some(self.memory.reservation(Purpose::Request));
        let reading = message_body::read_body(body, limits.body, reservation);
        let too_late = || Box::new(reject_input(StatusCode::REQUEST_TIMEOUT, "the body did not come"));
        timeout_at(due, reading).await.map_err(|_| too_late())?.map_err(|error| match error {
            BodyError::TooLarge => {
                Box::new(reject_input(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
            }
            BodyError::NoMemory => {
                let mut response = self.refusal(limits.full_pause, "there is no memory left for the body");
                response.extensions_mut().insert(BodyNotRead);
                Box::new(response)
            }
            BodyError::Broken(_) => bad_request("the body is broken"),
        })
    }

    /// Returns the response to a request that the pools did not admit. `full_pause`: advised delay before a retry if
    /// too many requests are open.
    fn routing_rejection(&self, error: RoutingError, full_pause: Duration) -> Response {
        let reject = |pause: Duration, reason: &str| self.refusal(pause, reason);
        match error {
            RoutingError::NotAdmitted(AdmissionError::TooManyOpen) => reject(full_pause, ""),
            RoutingError::NotAdmitted(AdmissionError::DuplicateId) => {
                reject_input(StatusCode::CONFLICT, "a request with this Req-Id is open or may still run")
            }
            RoutingError::Ambiguous(reason) => reject_input(StatusCode::BAD_REQUEST, reason),
            RoutingError::NoRoute => reject_input(StatusCode::NOT_FOUND, "there is no route for it"),
            RoutingError::Rejected(reason) => reject(Duration::ZERO, &reason),
            RoutingError::Migrating(left) => reject(left, "its club is being moved"),
        }
    }
}

fn bad_request(reason: &str) -> Rejection {
    Box::new(reject_input(StatusCode::BAD_REQUEST, reason))
}

/// Creates the request that is forwarded to upstreams, without the fields of this hop.
fn upstream_request(
    head: &Parts,
    method: Method,
    body: Bytes,
    budget: Option<Box<CarriedBudget>>,
) -> Request {
    let hop_fields: Vec<HeaderName> = match &budget {
        None => Vec::new(),
        Some(carried) => {
            let names = &carried.names;
            let fields = [&names.budget, &names.path, &names.used];
            fields.into_iter().flat_map(HeaderName::try_from).collect()
        }
    };
    Request {
        id: head.headers.get(REQUEST_ID).map(|id| Bytes::copy_from_slice(id.as_bytes())),
        method,
        target: target(head).into(),
        fields: end_to_end_fields(&head.headers, |name| *name == DEADLINE || hop_fields.contains(name)),
        body,
        budget,
        max_attempts: None,
        client: None,
        group_uncertain: Cell::new(false),
        finished: Cell::new(false),
    }
}

/// Size of a head, in bytes, as far as its memory is concerned.
fn head_bytes(head: &Parts) -> usize {
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    target(head).len() + fields.sum::<usize>()
}

/// Path and query of a request.
fn target(head: &Parts) -> &str {
    head.uri.path_and_query().map_or("/", |target| target.as_str())
}

/// Returns the host of a request, empty if there is none; `None`: there are several. Upstreams get the header, so a
/// target that contains a host has to agree with it.
fn request_host(head: &Parts) -> Option<&str> {
    let mut hosts = head.headers.get_all(header::HOST).iter().map(|host| host.to_str().ok());
    match (hosts.next(), hosts.next(), head.uri.authority()) {
        (None, _, authority) => Some(authority.map_or("", |a| a.as_str())),
        (Some(host), None, authority) => host.filter(|h| authority.is_none_or(|a| a.as_str() == *h)),
        _ => None,
    }
}
