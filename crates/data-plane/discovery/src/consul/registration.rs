//! Registration of this instance as a service with a TTL check at its Consul agent (`/v1/agent/service/register`,
//! `/v1/agent/check/pass`, `/v1/agent/check/fail`, `/v1/agent/service/deregister`), as a state machine that returns the
//! next request.
//!
//! ```text
//! absent --> passing (registered as passing, and renewed three times in each TTL)
//!   ^           |  |
//!   |           |  +--> shutting down: critical at once, and not renewed any more --> deregistered
//!   |           v
//!   +-- the agent knows no such check: it has lost its state
//! ```
//!
//! The service is registered as passing, and only once the instance is ready: after a handoff the successor registers
//! under the same id, and the service must not be critical in between.
use super::percent_encode;
use backoff::Backoff;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// First delay after a failed request.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Smallest upper bound of the delay after a failed request, for short TTLs.
const MIN_MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Number of renewals in each TTL: two of them may be lost.
const RENEWALS_PER_TTL: u32 = 3;

/// Registration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Name of the service.
    pub service: String,
    /// Service id, unique at the agent.
    pub id: String,
    /// Address at which clients connect.
    pub addr: SocketAddr,
    /// Tags of the service.
    pub tags: Vec<String>,
    /// Metadata of the service, by key.
    pub meta: BTreeMap<String, String>,
    /// Time without a renewal after which the check turns critical.
    pub ttl: Duration,
    /// Time in the critical state after which the agent deregisters the service (Consul: at least a minute); zero: never.
    pub deregister_after: Duration,
}

/// A PUT request to the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path and query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: String,
}

/// State of the registration that the instance wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DesiredState {
    /// Not registered yet.
    Absent,
    /// Registered, and to be sent requests.
    Passing,
    /// Registered, and not to be sent requests any more.
    ShuttingDown,
    /// Not registered any more.
    Deregistered,
}

/// The next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send this request and report its result.
    Call(Call),
    /// Wait until this time, or until the desired state changes.
    Wait(Duration),
    /// The service is deregistered; nothing is left to do.
    Done,
}

/// Body of `/v1/agent/service/register`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterBody<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    tags: &'a [String],
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    meta: &'a BTreeMap<String, String>,
    check: RegisterCheck,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterCheck {
    #[serde(rename = "CheckID")]
    check_id: String,
    #[serde(rename = "TTL")]
    ttl: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    deregister_critical_service_after: Option<String>,
}

/// State machine of a registration. Times are durations since any fixed moment and must not decrease.
pub struct Registrar {
    registration: Registration,
    desired: DesiredState,
    /// State at the agent, as far as it is known; `None`: not registered.
    confirmed: Option<DesiredState>,
    /// State that the request in flight establishes.
    requested: Option<DesiredState>,
    backoff: Backoff,
    next_call_at: Duration,
}

impl Registrar {
    /// A registrar that does nothing until [`DesiredState::Passing`] is desired.
    pub fn new(registration: Registration) -> Registrar {
        let max_backoff = (registration.ttl / RENEWALS_PER_TTL).max(MIN_MAX_BACKOFF);
        Registrar {
            backoff: Backoff::new(INITIAL_BACKOFF.min(max_backoff), max_backoff),
            registration,
            desired: DesiredState::Absent,
            confirmed: None,
            requested: None,
            next_call_at: Duration::ZERO,
        }
    }

    /// Sets the desired state. A state that precedes the present one is ignored.
    pub fn set_desired_state(&mut self, now: Duration, desired: DesiredState) {
        if desired > self.desired {
            self.desired = desired;
            // A change of state is sent at once, regardless of the backoff.
            self.next_call_at = now;
        }
    }

    /// The next step.
    pub fn next_step(&mut self, now: Duration) -> NextStep {
        match (self.confirmed, self.desired) {
            (Some(DesiredState::Deregistered), _) | (None, DesiredState::Deregistered) => {
                return NextStep::Done;
            }
            // A service that was never registered does not have to be taken out of service.
            (None, DesiredState::ShuttingDown | DesiredState::Absent)
            | (Some(DesiredState::ShuttingDown), DesiredState::ShuttingDown) => {
                return NextStep::Wait(Duration::MAX);
            }
            _ if now < self.next_call_at => return NextStep::Wait(self.next_call_at),
            _ => {}
        }
        let (requested, call) = match (self.confirmed, self.desired) {
            (None, _) => (DesiredState::Passing, self.register_call()),
            (_, DesiredState::Passing) => (DesiredState::Passing, self.check_call("pass", "")),
            (_, DesiredState::Deregistered) => (DesiredState::Deregistered, self.deregister_call()),
            (_, desired) => (desired, self.check_call("fail", "leaving")),
        };
        self.requested = Some(requested);
        NextStep::Call(call)
    }

    fn check_id(&self) -> String {
        format!("service:{}", self.registration.id)
    }

    fn check_call(&self, state: &str, note: &str) -> Call {
        let query = if note.is_empty() { String::new() } else { format!("?note={}", percent_encode(note)) };
        let path = format!("/v1/agent/check/{state}/{}{query}", percent_encode(&self.check_id()));
        Call { path, body: String::new() }
    }

    fn deregister_call(&self) -> Call {
        let path = format!("/v1/agent/service/deregister/{}", percent_encode(&self.registration.id));
        Call { path, body: String::new() }
    }

    fn register_call(&self) -> Call {
        let registration = &self.registration;
        let milliseconds = |duration: Duration| format!("{}ms", duration.as_millis());
        let deregister_after = registration.deregister_after;
        let body = RegisterBody {
            id: &registration.id,
            name: &registration.service,
            address: registration.addr.ip().to_string(),
            port: registration.addr.port(),
            tags: &registration.tags,
            meta: &registration.meta,
            check: RegisterCheck {
                check_id: self.check_id(),
                ttl: milliseconds(registration.ttl),
                status: "passing",
                deregister_critical_service_after: (!deregister_after.is_zero())
                    .then(|| milliseconds(deregister_after)),
            },
        };
        // Cannot fail: the body has texts and numbers only.
        let body = serde_json::to_string(&body).unwrap_or_default();
        Call { path: "/v1/agent/service/register?replace-existing-checks=true".into(), body }
    }

    /// The request was answered. Returns a description of the failure, if it failed. `draw`, from 0 to 1, is the jitter of
    /// the backoff.
    pub fn on_response(&mut self, now: Duration, status: u16, draw: f64) -> Option<String> {
        let requested = self.requested.take()?;
        match status {
            200 => {
                self.backoff.reset();
                self.confirmed = Some(requested);
                self.next_call_at = match requested {
                    DesiredState::Passing => now + self.registration.ttl / RENEWALS_PER_TTL,
                    _ => now,
                };
                None
            }
            // The agent does not know the service, which was to be deregistered.
            404 if requested == DesiredState::Deregistered => {
                self.confirmed = Some(DesiredState::Deregistered);
                None
            }
            // The agent knows no such check (older agents answer 500): it has lost its state.
            404 | 500 if self.confirmed.is_some() && requested != DesiredState::Deregistered => {
                self.confirmed = None;
                self.next_call_at = now + self.backoff.next_delay(draw);
                Some(format!("the agent answered {status}: the service will be registered again"))
            }
            _ => {
                self.next_call_at = now + self.backoff.next_delay(draw);
                Some(format!("the agent answered {status}"))
            }
        }
    }

    /// The request was not answered. `draw`, from 0 to 1, is the jitter of the backoff.
    pub fn on_failure(&mut self, now: Duration, draw: f64) {
        self.requested = None;
        self.next_call_at = now + self.backoff.next_delay(draw);
    }
}
