//! Requests to the platform's discovery service and the meaning of its responses, as a state machine. The timing is that
//! of [`crate::watch`], by the settings of [`super::staleness`].
//!
//! | response | meaning |
//! | --- | --- |
//! | 200, full list, all entries usable | an update: what it lacks is removed, whatever its version |
//! | 200, changes that follow the known version | an update |
//! | 200 with entries that are not usable | an update by the other entries; the version stays, so that the rest is requested again |
//! | 200, changes of an older version | no update; the full list is requested |
//! | 200 that is malformed, any other status, none in time | no update |
use super::staleness::StalenessSettings;
use super::{parse_response, EndpointListResponse};
use crate::endpoint::SourceUpdate;
use crate::watch::{self, CallKind, Step, WatchTiming};
use std::time::Duration;

/// A request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Path and query.
    pub path: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Time until the response must be complete.
    pub timeout: Duration,
}

/// The next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait until this time.
    Wait(Duration),
    /// Send this request and report its result.
    Call(Request),
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseOutcome {
    /// Update of the endpoint set; a delta without entries if nothing has changed.
    pub update: SourceUpdate,
    /// Version of the list after the update.
    pub version: Option<u64>,
    /// Whether this is the first successful response, with changes or without.
    pub is_first_response: bool,
    /// Descriptions of entries that are not usable.
    pub entry_errors: Vec<String>,
}

/// A watch on the platform's discovery service. Times are durations since any fixed moment and must not decrease.
#[derive(Debug)]
pub struct Watch {
    watch: watch::Watch,
    version: Option<u64>,
    answers: bool,
}

impl Watch {
    /// A watch. `version` is that of the known list, if there is one.
    pub fn new(terms: &StalenessSettings, version: Option<u64>) -> Watch {
        Watch::with_timing(terms.watch_timing(), version)
    }

    /// A watch with this timing.
    pub fn with_timing(plan: WatchTiming, version: Option<u64>) -> Watch {
        Watch { watch: watch::Watch::new(plan), version, answers: true }
    }

    /// The address of the discovery service has changed; versions of the former one have no meaning there.
    pub fn address_changed(&mut self, now: Duration) {
        self.watch.address_changed(now);
        self.version = None;
    }

    /// The next step. `draw`, from 0 to 1, is the jitter of the wait.
    pub fn next_step(&mut self, now: Duration, draw: f64) -> NextStep {
        match self.watch.step(now, draw, self.version.is_some()) {
            Step::Wait(until) => NextStep::Wait(until),
            Step::Call { kind, wait, timeout } => {
                self.watch.call_sent(now, kind, timeout);
                let path = match self.version {
                    Some(v) => format!("/api/targets?since={v}&timeout_ms={}", wait.as_millis()),
                    None => "/api/targets".to_string(),
                };
                NextStep::Call(Request { path, kind, timeout })
            }
        }
    }

    /// A complete response was received. `draw`, from 0 to 1, is the jitter of the delay after a failure.
    pub fn on_response(&mut self, now: Duration, status: u16, body: &[u8], draw: f64) -> ResponseOutcome {
        if status != 200 {
            return self.on_failure(now, &format!("answered {status}"), draw);
        }
        let answer = match parse_response(body) {
            Ok(answer) => answer,
            Err(error) => return self.on_failure(now, &error.to_string(), draw),
        };
        let EndpointListResponse { version, full, update: news, entry_errors: faults } = answer;
        if !full && self.version.is_none_or(|v| version < v) {
            // Guards against requesting changes forever since a version that the service does not know any more.
            let known = self.version.take().unwrap_or(0);
            return self.on_failure(now, &format!("version {version} does not follow {known}"), draw);
        }
        if !faults.is_empty() {
            // The usable entries apply; the absence of others means nothing.
            let news = match news {
                SourceUpdate::Full(reports) => SourceUpdate::Delta(reports, Vec::new()),
                news => news,
            };
            let failed = self.on_failure(now, "", draw);
            return ResponseOutcome { update: news, entry_errors: faults, ..failed };
        }
        self.version = Some(version);
        self.watch.call_succeeded(now);
        let answers = std::mem::take(&mut self.answers);
        ResponseOutcome {
            update: news,
            version: self.version,
            is_first_response: answers,
            entry_errors: faults,
        }
    }

    /// No complete response was received. `draw`, from 0 to 1, is the jitter of the delay.
    pub fn on_failure(&mut self, now: Duration, reason: &str, draw: f64) -> ResponseOutcome {
        self.watch.call_failed(now, draw);
        let news = SourceUpdate::Unavailable(reason.into());
        ResponseOutcome {
            update: news,
            version: self.version,
            is_first_response: false,
            entry_errors: Vec::new(),
        }
    }
}
