//! Admission of requests: checks the params of a complete request, classifies it and passes it to the pools.
use super::params::{fields, header_param, param_name, single_param, target};
use super::FastCgiFront;
use crate::driver::AdmissionError;
use crate::exchange::{CarriedBudget, Method, Request};
use crate::front::classify::{classify, Classification, RequestField, RequestHead};
use crate::http::{DECLINED, RETRY};
use crate::memory_budget::{Purpose, Reservation, FIELD_BYTES, HEAD_COPIES, REQUEST_BYTES};
use crate::request_budgets::FrontKind;
use crate::routing::request_attributes::{RequestAttributes, RoutingError};
use crate::routing::AdmittedRequest;
use bytes::Bytes;
use fastcgi::server;
use request_budget::grammar::{format_usage, RetryUsage};
use request_budget::BudgetRejection;
use std::cell::Cell;
use std::time::Duration;

/// Position of this front in the routing table's fronts.
const FRONT: usize = 1;

/// An admitted request, and whether the answer reports the usage of its budget.
pub(super) struct Admitted {
    /// Admitted request, which returns the final answer.
    pub(super) request: AdmittedRequest,
    /// Whether the request arrived with a budget.
    pub(super) reports_usage: bool,
    /// Memory of the request.
    pub(super) _memory: Reservation,
}

/// Answer to a request that is not admitted.
pub(super) struct Rejection {
    /// HTTP status.
    pub(super) status: u16,
    /// Advised delay before a retry, in milliseconds.
    pub(super) retry_after: Option<f64>,
    /// Reason in one line; empty: the answer has no body.
    pub(super) reason: String,
    /// Further fields with their values.
    pub(super) fields: Vec<(String, String)>,
}

impl Rejection {
    fn input(status: u16, reason: impl ToString) -> Rejection {
        Rejection { status, retry_after: None, reason: reason.to_string(), fields: Vec::new() }
    }

    fn bad_request(reason: impl ToString) -> Rejection {
        Rejection::input(400, reason)
    }
}

impl FastCgiFront {
    /// Passes a request to the pools.
    pub(super) fn admit(&self, request: &server::Request) -> Result<Admitted, Rejection> {
        let limits = self.limits.get();
        let names = &self.settings.names;
        let param = |name: &str| single_param(&request.params, name);
        let Classification { class, tenant, deadline_ms: timeout_ms, method } =
            self.classify(request, limits.request_id)?;
        check_body(request, method)?;
        let mut memory = self.memory.reservation(Purpose::Request);
        let params = request.params.iter().map(|(name, value)| name.len() + value.len() + FIELD_BYTES);
        let params_bytes: usize = params.sum();
        if !memory.grow_to(REQUEST_BYTES + HEAD_COPIES * params_bytes + request.body.len()) {
            return Err(self.refusal(Some(limits.full_pause), "there is no memory left for the request"));
        }
        let target = target(&param).ok_or_else(|| Rejection::bad_request("REQUEST_URI is bad"))?;
        let budget = self.carried_budget(request, timeout_ms)?;
        let reports_usage = budget.as_ref().is_some_and(|carried| carried.budget.reports_usage);
        let upstream_request = self.upstream_request(request, method, &target, budget);
        let headers = |name: &str| -> Vec<&[u8]> {
            let name = if name == "content-type" { "CONTENT_TYPE".into() } else { header_param(name) };
            all_params(request, &name)
        };
        let attributes = RequestAttributes {
            front: FRONT,
            method: usize::from(method == Method::Post),
            host: &|| match all_params(request, "HTTP_HOST").len() {
                0 => Some(param("SERVER_NAME").unwrap_or("")),
                _ => param("HTTP_HOST"),
            },
            target: &target,
            key: &|| request.params.iter().find(|(n, _)| n == names.key.as_bytes()).map(|(_, v)| &v[..]),
            request_id: &|| param(&names.id).unwrap_or("").as_bytes(),
            headers: &headers,
        };
        match self.pools.admit(&attributes, class, tenant, timeout_ms, upstream_request) {
            Ok(request) => Ok(Admitted { request, reports_usage, _memory: memory }),
            Err(error) => Err(self.routing_rejection(error, limits.full_pause)),
        }
    }

    fn classify(&self, request: &server::Request, max_id_bytes: usize) -> Result<Classification, Rejection> {
        let names = &self.settings.names;
        let single_value = |field: &RequestField| single_param(&request.params, param_name(names, field));
        let method = single_param(&request.params, "REQUEST_METHOD").unwrap_or("");
        let head = RequestHead {
            single_value: &single_value,
            has_key: request.params.iter().any(|(n, _)| n == names.key.as_bytes()),
            is_get: method == "GET",
            is_post: method == "POST",
        };
        classify(&self.deployment, max_id_bytes, &head).map_err(Rejection::bad_request)
    }

    /// Returns the budget of a request, where budgets are on.
    fn carried_budget(
        &self,
        request: &server::Request,
        timeout_ms: f64,
    ) -> Result<Option<Box<CarriedBudget>>, Rejection> {
        let Some(budgets) = &self.budgets else { return Ok(None) };
        let values = |name: &str| all_params(request, &header_param(name));
        let (budget, path) = (values(&budgets.names.budget), values(&budgets.names.path));
        let is_retry = single_param(&request.params, &header_param(RETRY.as_str())) == Some("1");
        match budgets.carried_budget(FrontKind::FastCgi, (&budget, &path), timeout_ms, is_retry) {
            Ok(carried) => Ok(Some(Box::new(carried))),
            Err(BudgetRejection::Malformed(malformed)) => Err(Rejection::bad_request(malformed)),
            Err(BudgetRejection::Refused(rejection)) => {
                let used = RetryUsage { retries: 0, stop: Some(rejection.stop_reason()) };
                let fields = self.budget_fields(Some(used), true);
                Err(Rejection { fields, ..Rejection::input(503, rejection) })
            }
        }
    }

    /// Creates the request that is forwarded to upstreams, without the fields of this hop.
    fn upstream_request(
        &self,
        request: &server::Request,
        method: Method,
        target: &str,
        budget: Option<Box<CarriedBudget>>,
    ) -> Request {
        let names = &self.settings.names;
        let hop_params: Vec<String> = match &self.budgets {
            None => Vec::new(),
            Some(b) => [&b.names.budget, &b.names.path, &b.names.used].map(|name| header_param(name)).into(),
        };
        let forwarded = request.params.iter().filter(|(n, _)| !hop_params.iter().any(|p| n == p.as_bytes()));
        Request {
            id: single_param(&request.params, &names.id).map(|id| Bytes::copy_from_slice(id.as_bytes())),
            method,
            target: target.into(),
            fields: fields(forwarded, names),
            body: request.body.clone(),
            budget,
            max_attempts: None,
            client: None,
            group_uncertain: Cell::new(false),
            finished: Cell::new(false),
        }
    }

    /// Returns fields that report the usage of a budget and, where it is certain, that nothing ran.
    pub(super) fn budget_fields(&self, used: Option<RetryUsage>, nothing_ran: bool) -> Vec<(String, String)> {
        let Some(budgets) = &self.budgets else { return Vec::new() };
        let declined = nothing_ran.then(|| (DECLINED.as_str().to_string(), "1".to_string()));
        let used = used.map(|used| (budgets.names.used.clone(), format_usage(used)));
        declined.into_iter().chain(used).collect()
    }

    /// Returns the answer to a request that is refused before anything ran. `pause`: advised delay before a retry.
    fn refusal(&self, pause: Option<Duration>, reason: &str) -> Rejection {
        Rejection {
            retry_after: pause.map(|pause| pause.as_secs_f64() * 1000.0),
            fields: self.budget_fields(None, true),
            ..Rejection::input(503, reason)
        }
    }

    /// Returns the answer to a request that the pools did not admit. `full_pause`: advised delay before a retry if
    /// too many requests are open.
    fn routing_rejection(&self, error: RoutingError, full_pause: Duration) -> Rejection {
        let reject = |pause: Option<Duration>, reason: &str| self.refusal(pause, reason);
        match error {
            RoutingError::NotAdmitted(AdmissionError::TooManyOpen) => reject(Some(full_pause), ""),
            RoutingError::NotAdmitted(AdmissionError::DuplicateId) => {
                Rejection::input(409, "a request with this id is open or may still run")
            }
            RoutingError::Ambiguous(reason) => Rejection::bad_request(reason),
            RoutingError::NoRoute => Rejection::input(404, "there is no route for it"),
            RoutingError::Rejected(reason) => reject(None, &reason),
            RoutingError::Migrating(left) => reject(Some(left), "its club is being moved"),
        }
    }
}

/// Returns every value of a param.
fn all_params<'a>(request: &'a server::Request, name: &str) -> Vec<&'a [u8]> {
    request.params.iter().filter(|(n, _)| n == name.as_bytes()).map(|(_, v)| &v[..]).collect()
}

/// Checks that the body is allowed and complete: a web server that is interrupted may end the body early.
fn check_body(request: &server::Request, method: Method) -> Result<(), Rejection> {
    if method == Method::Get && !request.body.is_empty() {
        return Err(Rejection::bad_request("GET has no body"));
    }
    let length = single_param(&request.params, "CONTENT_LENGTH").filter(|l| !l.is_empty());
    if length.is_some_and(|l| l.parse() != Ok(request.body.len())) {
        return Err(Rejection::bad_request("the body has another length than CONTENT_LENGTH"));
    }
    Ok(())
}
