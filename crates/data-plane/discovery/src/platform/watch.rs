//! Requests to the platform's discovery service and the meaning of its responses, as a state machine. The timing is that
//! of [`crate::watch`], by the settings of [`super::staleness`].
//!
//! | response | meaning |
//! | --- | --- |
//! | 200, full list, all entries usable | an update: what it lacks is removed, whatever its version |
//! | 200, changes that follow the known version | an update |
//! | 200 with entries that are not usable | an update by the other entries; the version stays, so that the unusable ones are requested again |
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
    awaiting_first_response: bool,
}

impl Watch {
    /// A watch that meets the staleness bounds of these settings. `version` is that of the known list, if there is one.
    pub fn new(settings: &StalenessSettings, version: Option<u64>) -> Watch {
        Watch::with_timing(settings.watch_timing(), version)
    }

    /// A watch with this timing.
    pub fn with_timing(timing: WatchTiming, version: Option<u64>) -> Watch {
        Watch { watch: watch::Watch::new(timing), version, awaiting_first_response: true }
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
        let response = match parse_response(body) {
            Ok(response) => response,
            Err(error) => return self.on_failure(now, &error.to_string(), draw),
        };
        let EndpointListResponse { version, full, update: list_update, entry_errors: errors } = response;
        if !full && self.version.is_none_or(|v| version < v) {
            // Requests the full list next. Otherwise changes would be requested forever since a version that the service does
            // not know any more.
            let known = self.version.take().unwrap_or(0);
            return self.on_failure(now, &format!("version {version} does not follow {known}"), draw);
        }
        if !errors.is_empty() {
            // The usable entries apply. Endpoints that they lack are not removed: they may be among the unusable entries.
            let list_update = match list_update {
                SourceUpdate::Full(reports) => SourceUpdate::Delta(reports, Vec::new()),
                list_update => list_update,
            };
            let failed = self.on_failure(now, "", draw);
            return ResponseOutcome { update: list_update, entry_errors: errors, ..failed };
        }
        self.version = Some(version);
        self.watch.call_succeeded(now);
        let is_first = std::mem::take(&mut self.awaiting_first_response);
        ResponseOutcome {
            update: list_update,
            version: self.version,
            is_first_response: is_first,
            entry_errors: errors,
        }
    }

    /// No complete response was received. `draw`, from 0 to 1, is the jitter of the delay.
    pub fn on_failure(&mut self, now: Duration, reason: &str, draw: f64) -> ResponseOutcome {
        self.watch.call_failed(now, draw);
        self.unavailable(reason)
    }

    /// No connection was established. `draw`, from 0 to 1, is the jitter of the delay.
    pub fn on_connect_failure(&mut self, now: Duration, reason: &str, draw: f64) -> ResponseOutcome {
        self.watch.connect_failed(now, draw);
        self.unavailable(reason)
    }

    fn unavailable(&self, reason: &str) -> ResponseOutcome {
        let unavailable = SourceUpdate::Unavailable(reason.into());
        ResponseOutcome {
            update: unavailable,
            version: self.version,
            is_first_response: false,
            entry_errors: Vec::new(),
        }
    }
}
