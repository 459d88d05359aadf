//! This instance as a service at its agent, with a TTL check (`/v1/agent/service/register`, `/v1/agent/check/pass`,
//! `/v1/agent/check/fail`, `/v1/agent/service/deregister`): a state machine that says which call comes next.
//!
//! ```text
//! absent --> passing (registered so, and renewed three times in each TTL)
//!   ^           |  |
//!   |           |  +--> leaving: critical at once, and no longer renewed --> gone: deregistered
//!   |           v
//!   +-- the agent knows no such check: it began anew
//! ```
//!
//! It is registered as passing at once, and only when it is ready: after a take-over the successor registers under the
//! same id, and nobody must see it critical in between.
use super::percent_encode;
use backoff::Backoff;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How the service is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The service's name.
    pub service: String,
    /// This instance's id at its agent: no other has it there.
    pub id: String,
    /// Where callers connect.
    pub addr: SocketAddr,
    /// Tags.
    pub tags: Vec<String>,
    /// Metadata.
    pub meta: BTreeMap<String, String>,
    /// Without a renewal for so long the check turns critical.
    pub ttl: Duration,
    /// Critical for so long, the agent forgets the service (Consul: a minute at the least); zero: never.
    pub deregister_after: Duration,
}

/// A call to be made, by PUT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path and query.
    pub path: String,
    /// The body; empty: none.
    pub body: String,
}

/// What the instance wants to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DesiredState {
    /// Not known yet.
    Absent,
    /// To be sent to.
    Passing,
    /// Known, and not to be sent to any more.
    ShuttingDown,
    /// Not known.
    Deregistered,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Make this call, and say how it ended.
    Call(Call),
    /// Wait until then, or until the wish changes.
    Wait(Duration),
    /// Nothing is left to do.
    Done,
}

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

/// See the module's page. Times are spans since any fixed moment, and never go back.
pub struct Registrar {
    registration: Registration,
    set_desired_state: DesiredState,
    /// What the agent was last told, as far as is known.
    told: Option<DesiredState>,
    /// What the call that is out would tell.
    telling: Option<DesiredState>,
    backoff: Backoff,
    due: Duration,
}

impl Registrar {
    /// Does nothing until it wants to be sent to.
    pub fn new(registration: Registration) -> Registrar {
        let most = (registration.ttl / 3).max(Duration::from_millis(500));
        Registrar {
            backoff: Backoff::new(Duration::from_millis(250).min(most), most),
            registration,
            set_desired_state: DesiredState::Absent,
            told: None,
            telling: None,
            due: Duration::ZERO,
        }
    }

    fn check(&self) -> String {
        format!("service:{}", self.registration.id)
    }

    /// What the instance wants to be from now on; it never goes back from leaving.
    pub fn set_desired_state(&mut self, now: Duration, wish: DesiredState) {
        if wish > self.set_desired_state {
            self.set_desired_state = wish;
            // At once, whatever pause there was.
            self.due = now;
        }
    }

    /// What to do now.
    pub fn next_step(&mut self, now: Duration) -> NextStep {
        match (self.told, self.set_desired_state) {
            (Some(DesiredState::Deregistered), _) | (None, DesiredState::Deregistered) => {
                return NextStep::Done
            }
            // Whoever never told the agent of itself has nothing to take back.
            (None, DesiredState::ShuttingDown | DesiredState::Absent)
            | (Some(DesiredState::ShuttingDown), DesiredState::ShuttingDown) => {
                return NextStep::Wait(Duration::MAX);
            }
            _ if now < self.due => return NextStep::Wait(self.due),
            _ => {}
        }
        let (wish, call) = match (self.told, self.set_desired_state) {
            (None, _) => (DesiredState::Passing, self.register()),
            (_, DesiredState::Passing) => (DesiredState::Passing, self.state("pass", "")),
            (_, DesiredState::Deregistered) => {
                let path = format!("/v1/agent/service/deregister/{}", percent_encode(&self.registration.id));
                (DesiredState::Deregistered, Call { path, body: String::new() })
            }
            (_, wish) => (wish, self.state("fail", "leaving")),
        };
        self.telling = Some(wish);
        NextStep::Call(call)
    }

    fn state(&self, state: &str, note: &str) -> Call {
        let note = if note.is_empty() { String::new() } else { format!("?note={}", percent_encode(note)) };
        Call {
            path: format!("/v1/agent/check/{state}/{}{note}", percent_encode(&self.check())),
            body: String::new(),
        }
    }

    fn register(&self) -> Call {
        let r = &self.registration;
        let ms = |d: Duration| format!("{}ms", d.as_millis());
        let after = (!r.deregister_after.is_zero()).then(|| ms(r.deregister_after));
        let body = RegisterBody {
            id: &r.id,
            name: &r.service,
            address: r.addr.ip().to_string(),
            port: r.addr.port(),
            tags: &r.tags,
            meta: &r.meta,
            check: RegisterCheck {
                check_id: self.check(),
                ttl: ms(r.ttl),
                status: "passing",
                deregister_critical_service_after: after,
            },
        };
        // Texts and numbers only: this can't fail.
        let body = serde_json::to_string(&body).unwrap_or_default();
        Call { path: "/v1/agent/service/register?replace-existing-checks=true".into(), body }
    }

    /// The call's answer. Returns what went wrong, if anything did.
    pub fn on_response(&mut self, now: Duration, status: u16, draw: f64) -> Option<String> {
        let telling = self.telling.take()?;
        match status {
            200 => {
                self.backoff.reset();
                self.told = Some(telling);
                // Three renewals in each TTL: two may be lost.
                self.due =
                    if telling == DesiredState::Passing { now + self.registration.ttl / 3 } else { now };
                None
            }
            // What it does not know need not be taken back.
            404 if telling == DesiredState::Deregistered => {
                self.told = Some(DesiredState::Deregistered);
                None
            }
            // An agent that knows no such check says so with 404, older ones with 500: it began anew.
            404 | 500 if self.told.is_some() && telling != DesiredState::Deregistered => {
                (self.told, self.due) = (None, now + self.backoff.next_delay(draw));
                Some(format!("the agent answered {status}: it is registered again"))
            }
            _ => {
                self.due = now + self.backoff.next_delay(draw);
                Some(format!("the agent answered {status}"))
            }
        }
    }

    /// No answer has come.
    pub fn on_failure(&mut self, now: Duration, draw: f64) {
        self.telling = None;
        self.due = now + self.backoff.next_delay(draw);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn register() -> Registrar {
        Registrar::new(Registration {
            service: "portal".into(),
            id: "n 3".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 8443)),
            tags: vec![],
            meta: BTreeMap::from([("cell".into(), "4".into())]),
            ttl: s(15),
            deregister_after: s(60),
        })
    }

    fn path(next: NextStep) -> String {
        match next {
            NextStep::Call(call) => call.path,
            other => format!("{other:?}"),
        }
    }

    #[test]
    fn it_is_registered_once_it_is_ready_and_renewed() {
        let mut r = register();
        assert_eq!(r.next_step(s(0)), NextStep::Wait(Duration::MAX), "not ready yet");
        r.set_desired_state(s(2), DesiredState::Passing);
        let NextStep::Call(call) = r.next_step(s(2)) else { panic!("a call") };
        assert_eq!(call.path, "/v1/agent/service/register?replace-existing-checks=true");
        assert_eq!(
            call.body,
            r#"{"ID":"n 3","Name":"portal","Address":"127.0.0.1","Port":8443,"Meta":{"cell":"4"},"Check":{"CheckID":"service:n 3","TTL":"15000ms","Status":"passing","DeregisterCriticalServiceAfter":"60000ms"}}"#
        );
        assert_eq!(r.on_response(s(2), 200, 0.5), None);
        assert_eq!(r.next_step(s(3)), NextStep::Wait(s(7)));
        assert_eq!(path(r.next_step(s(7))), "/v1/agent/check/pass/service%3An%203");
        // Guards against an agent that began anew: nobody would be sent here again.
        assert!(r.on_response(s(7), 404, 0.0).expect("said").contains("again"));
        assert!(path(r.next_step(s(9))).starts_with("/v1/agent/service/register"));
    }

    #[test]
    fn leaving_is_told_at_once_and_the_end_once() {
        let mut r = register();
        r.set_desired_state(s(1), DesiredState::Passing);
        r.next_step(s(1));
        r.on_response(s(1), 200, 0.0);
        r.set_desired_state(s(2), DesiredState::ShuttingDown);
        assert_eq!(path(r.next_step(s(2))), "/v1/agent/check/fail/service%3An%203?note=leaving");
        r.on_failure(s(2), 1.0);
        assert!(matches!(r.next_step(s(2)), NextStep::Wait(_)));
        r.set_desired_state(s(2), DesiredState::Passing);
        assert!(path(r.next_step(s(3))).starts_with("/v1/agent/check/fail"), "it does not come back");
        r.on_response(s(3), 200, 0.0);
        assert_eq!(r.next_step(s(3)), NextStep::Wait(Duration::MAX));
        r.set_desired_state(s(4), DesiredState::Deregistered);
        assert_eq!(path(r.next_step(s(4))), "/v1/agent/service/deregister/n%203");
        assert_eq!(r.on_response(s(4), 404, 0.0), None, "it is not known, which was wanted");
        assert_eq!(r.next_step(s(5)), NextStep::Done);
        // One that could never tell the agent of itself has nothing to take back.
        let mut never = register();
        never.set_desired_state(s(0), DesiredState::Passing);
        never.next_step(s(0));
        never.on_failure(s(0), 0.5);
        never.set_desired_state(s(1), DesiredState::Deregistered);
        assert_eq!(never.next_step(s(1)), NextStep::Done);
    }

    /// Guards against hundreds of instances at an agent that has just come back.
    #[test]
    fn what_fails_is_tried_again_with_growing_pauses() {
        let mut r = register();
        r.set_desired_state(s(0), DesiredState::Passing);
        let mut now = Duration::ZERO;
        let mut calls = 0;
        while now < s(60) {
            match r.next_step(now) {
                NextStep::Call(_) => {
                    calls += 1;
                    r.on_failure(now, 1.0);
                }
                NextStep::Wait(until) => now = until,
                NextStep::Done => panic!("it goes on"),
            }
        }
        assert!((12..=20).contains(&calls), "{calls}");
    }
}
