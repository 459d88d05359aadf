//! Checks the four invariants on every event, and records the notifications that each instance received.
use crate::agenda::Nanos;
use fnv::FnvHashMap;
use invariants::{
    ClosedSince, ColdStart, ColdStartMonitor, Effect, RequestHistory, RuleParameters, UpstreamState,
    ViolationKind,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of violations that are kept; further ones are only counted.
const MAX_VIOLATIONS: usize = 64;

/// A single violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Kind of violation.
    pub kind: ViolationKind,
    /// Time of the violation.
    pub at: Duration,
    /// The request, upstream or instance concerned.
    pub subject: String,
}

/// Checks the invariants of a run, with the platform's parameters.
#[derive(Default)]
pub struct InvariantChecker {
    parameters: RuleParameters,
    histories: FnvHashMap<u64, RequestHistory>,
    notifications: FnvHashMap<(usize, usize), ClosedSince>,
    warming: BTreeMap<usize, ColdStartMonitor>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// Total number of violations.
    pub violation_count: u64,
}

fn duration(at: Nanos) -> Duration {
    Duration::from_nanos(at)
}

impl InvariantChecker {
    fn record(&mut self, kind: ViolationKind, at: Duration, subject: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { kind, at, subject });
        }
    }

    /// Records that a caller has sent a request.
    pub fn request_sent(&mut self, now: Nanos, request: u64, effect: Effect, timeout: Nanos) {
        self.histories.insert(request, RequestHistory::new(duration(now), effect, duration(timeout)));
    }

    /// Removes a request that no process accepted, as if it had not been sent.
    pub fn request_not_sent(&mut self, request: u64) {
        self.histories.remove(&request);
    }

    /// Records that an answer has reached the caller.
    pub fn answer_received(&mut self, now: Nanos, request: u64, status: u16) {
        if let Some(history) = self.histories.get_mut(&request) {
            history.answers.push((duration(now), status));
        }
    }

    /// Excuses a request whose process was killed.
    pub fn excuse(&mut self, request: u64) {
        if let Some(history) = self.histories.get_mut(&request) {
            history.balancer_killed = true;
        }
    }

    /// Records that an instance has written the first bytes of an attempt to an upstream.
    pub fn attempt_written(&mut self, now: Nanos, request: u64, instance: usize, server: usize) {
        let notification = self.notifications.get(&(instance, server)).copied().unwrap_or_default();
        match self.histories.get_mut(&request) {
            Some(history) => {
                history.attempt_starts.push((duration(now), notification.closed_for(duration(now))))
            }
            // The request was checked and removed long ago, so it is finished.
            None => self.record(ViolationKind::SentAfterAnswer, duration(now), format!("request {request}")),
        }
    }

    /// Records that an upstream starts to execute a request.
    pub fn execution_started(&mut self, now: Nanos, request: u64, server: usize, group: u16, work: Duration) {
        if let Some(history) = self.histories.get_mut(&request) {
            history.executions.push((duration(now), u32::from(group)));
        }
        let overloaded =
            self.warming.get_mut(&server).and_then(|w| w.record_work(duration(now), work, &self.parameters));
        if let Some((at, work_sent)) = overloaded {
            self.record(
                ViolationKind::ColdPushedOver,
                at,
                format!("upstream {server}, sent {work_sent:?} of work"),
            );
        }
    }

    /// Records that an instance was notified of the state of an upstream.
    pub fn notify(&mut self, now: Nanos, instance: usize, server: usize, state: UpstreamState) {
        self.notifications.entry((instance, server)).or_default().notify(duration(now), state);
    }

    /// Removes the notifications of an instance whose process ended, because a new process knows nothing.
    pub fn forget_notifications(&mut self, instance: usize, servers: usize) {
        for server in 0..servers {
            self.notifications.remove(&(instance, server));
        }
    }

    /// Records that an upstream's process has started.
    pub fn upstream_started(&mut self, now: Nanos, server: usize, cold: ColdStart) {
        self.warming.insert(server, ColdStartMonitor::new(duration(now), cold));
    }

    /// Checks a request that nothing more can happen to.
    pub fn check_request(&mut self, request: u64) {
        let Some(history) = self.histories.remove(&request) else { return };
        let mut violations = Vec::new();
        history.check(&self.parameters, &mut |kind, at| violations.push((kind, at)));
        for (kind, at) in violations {
            self.record(kind, at, format!("request {request}"));
        }
    }

    /// Returns the number of requests that have not been checked yet.
    pub fn unchecked_requests(&self) -> usize {
        self.histories.len()
    }
}
