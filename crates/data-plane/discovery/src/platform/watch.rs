//! The platform's discovery as a state machine: what to ask next, and what an answer counts as. When is
//! [`crate::watch`]'s matter, by the plan that [`super::staleness`] reckons.
//!
//! | an answer | counts as |
//! | --- | --- |
//! | 200, the whole list, readable whole | being told: what it lacks is gone, whatever its version |
//! | 200, changes that follow what is known | being told |
//! | 200 with entries that can't be used | being told what the others say; the version stays, so that the rest is asked for again |
//! | 200, changes of an older version | no news; the whole list is asked for |
//! | 200 that is unreadable, any other status, none in time | no news |
use super::staleness::StalenessSettings;
use super::{parse_response, EndpointListResponse};
use crate::endpoint::SourceUpdate;
use crate::watch::{self, CallKind, Step, WatchTiming};
use std::time::Duration;

/// A call to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Path and query.
    pub path: String,
    /// What it is for.
    pub kind: CallKind,
    /// How long it may take until its answer is whole.
    pub timeout: Duration,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing, until then.
    Wait(Duration),
    /// Make this call, and say how it ended.
    Call(Request),
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseOutcome {
    /// For the view; `Changes` without any: nothing has changed.
    pub update: SourceUpdate,
    /// The version that the view now has.
    pub version: Option<u64>,
    /// This is the first answer of all, with news or without.
    pub is_first_response: bool,
    /// Entries that can't be used, and why.
    pub entry_errors: Vec<String>,
}

/// See the module's page. Times are spans since any fixed moment, and never go back.
#[derive(Debug)]
pub struct Watch {
    watch: watch::Watch,
    version: Option<u64>,
    answers: bool,
}

impl Watch {
    /// A watch. `version` is that of the list that is held, if any.
    pub fn new(terms: &StalenessSettings, version: Option<u64>) -> Watch {
        Watch::with_timing(terms.watch_timing(), version)
    }

    /// A watch by a plan of one's own.
    pub fn with_timing(plan: WatchTiming, version: Option<u64>) -> Watch {
        Watch { watch: watch::Watch::new(plan), version, answers: true }
    }

    /// Discovery is elsewhere from now on, where the versions of the old place mean nothing.
    pub fn address_changed(&mut self, now: Duration) {
        self.watch.moved(now);
        self.version = None;
    }

    /// What to do now. `draw`, from 0 to 1, spreads the waits of many instances.
    pub fn next_step(&mut self, now: Duration, draw: f64) -> NextStep {
        match self.watch.step(now, draw, self.version.is_some()) {
            Step::Wait(until) => NextStep::Wait(until),
            Step::Call { kind, wait, timeout: patience } => {
                self.watch.called(now, kind, patience);
                let path = match self.version {
                    Some(v) => format!("/api/targets?since={v}&timeout_ms={}", wait.as_millis()),
                    None => "/api/targets".to_string(),
                };
                NextStep::Call(Request { path, kind, timeout: patience })
            }
        }
    }

    /// An answer has come whole.
    pub fn on_response(&mut self, now: Duration, status: u16, body: &[u8], draw: f64) -> ResponseOutcome {
        if status != 200 {
            return self.on_failure(now, &format!("answered {status}"), draw);
        }
        let answer = match parse_response(body) {
            Ok(answer) => answer,
            Err(why) => return self.on_failure(now, &why, draw),
        };
        let EndpointListResponse { version, full, update: news, entry_errors: faults } = answer;
        if !full && self.version.is_none_or(|v| version < v) {
            // Guards against asking for ever for what follows a version that discovery no longer knows.
            let known = self.version.take().unwrap_or(0);
            return self.on_failure(now, &format!("version {version} does not follow {known}"), draw);
        }
        if !faults.is_empty() {
            // What can be read binds; that the rest is not there says nothing.
            let news = match news {
                SourceUpdate::Full(reports) => SourceUpdate::Delta(reports, Vec::new()),
                news => news,
            };
            let failed = self.on_failure(now, "", draw);
            return ResponseOutcome { update: news, entry_errors: faults, ..failed };
        }
        self.version = Some(version);
        self.watch.answered(now);
        let answers = std::mem::take(&mut self.answers);
        ResponseOutcome {
            update: news,
            version: self.version,
            is_first_response: answers,
            entry_errors: faults,
        }
    }

    /// No whole answer has come.
    pub fn on_failure(&mut self, now: Duration, why: &str, draw: f64) -> ResponseOutcome {
        self.watch.broke(now, draw);
        let news = SourceUpdate::Unavailable(why.into());
        ResponseOutcome {
            update: news,
            version: self.version,
            is_first_response: false,
            entry_errors: Vec::new(),
        }
    }
}
