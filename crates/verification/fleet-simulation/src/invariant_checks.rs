//! The four rules on every event, and the books of what each instance was told.
use crate::agenda::Nanos;
use fnv::FnvHashMap;
use invariants::{
    Breach, Cold, Effect, NotificationDeadline, RequestHistory, RuleParameters, State, Warming,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Violations that are kept; more are counted.
const MAX_VIOLATIONS: usize = 64;

/// A rule that was broken once.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// How.
    pub fault: Breach,
    /// When.
    pub at: Duration,
    /// The request, the upstream or the instance.
    pub whose: String,
}

/// See the module's page. It has the platform's figures.
#[derive(Default)]
pub struct Judge {
    figures: RuleParameters,
    stories: FnvHashMap<u64, RequestHistory>,
    news: FnvHashMap<(usize, usize), NotificationDeadline>,
    warming: BTreeMap<usize, Warming>,
    /// The first violations, and how many there were.
    pub found: Vec<Violation>,
    /// See `found`.
    pub count: u64,
}

fn span(at: Nanos) -> Duration {
    Duration::from_nanos(at)
}

impl Judge {
    fn fault(&mut self, fault: Breach, at: Duration, whose: String) {
        self.count += 1;
        if self.found.len() < MAX_VIOLATIONS {
            self.found.push(Violation { fault, at, whose });
        }
    }

    /// A caller has sent a request.
    pub fn sent(&mut self, now: Nanos, request: u64, effect: Effect, patience: Nanos) {
        self.stories.insert(request, RequestHistory::new(span(now), effect, span(patience)));
    }

    /// Nobody took it: it was never sent.
    pub fn unsent(&mut self, request: u64) {
        self.stories.remove(&request);
    }

    /// Its answer has reached its caller.
    pub fn answered(&mut self, now: Nanos, request: u64, status: u16) {
        if let Some(story) = self.stories.get_mut(&request) {
            story.answers.push((span(now), status));
        }
    }

    /// The process that held it was killed.
    pub fn excused(&mut self, request: u64) {
        if let Some(story) = self.stories.get_mut(&request) {
            story.excused = true;
        }
    }

    /// Its first bytes have left an instance for an upstream.
    pub fn begun(&mut self, now: Nanos, request: u64, instance: usize, server: usize) {
        let news = self.news.get(&(instance, server)).copied().unwrap_or_default();
        match self.stories.get_mut(&request) {
            Some(story) => story.begun.push((span(now), news.closed_for(span(now)))),
            // Judged, and so over, long ago.
            None => self.fault(Breach::SentAfterAnswer, span(now), format!("request {request}")),
        }
    }

    /// An upstream begins to work on it.
    pub fn ran(&mut self, now: Nanos, request: u64, server: usize, group: u16, work: Duration) {
        if let Some(story) = self.stories.get_mut(&request) {
            story.ran.push((span(now), u32::from(group)));
        }
        let pushed = self.warming.get_mut(&server).and_then(|w| w.executed(span(now), work, &self.figures));
        if let Some((at, sum)) = pushed {
            self.fault(Breach::ColdPushedOver, at, format!("upstream {server}, sent {sum:?} of work"));
        }
    }

    /// An instance was told of an upstream.
    pub fn notify(&mut self, now: Nanos, instance: usize, server: usize, state: State) {
        self.news.entry((instance, server)).or_default().notify(span(now), state);
    }

    /// Another process of an instance knows nothing yet.
    pub fn forgets(&mut self, instance: usize, servers: usize) {
        for server in 0..servers {
            self.news.remove(&(instance, server));
        }
    }

    /// An upstream's process has started.
    pub fn started(&mut self, now: Nanos, server: usize, cold: Cold) {
        self.warming.insert(server, Warming::new(span(now), cold));
    }

    /// Nothing more can come of a request.
    pub fn over(&mut self, request: u64) {
        let Some(story) = self.stories.remove(&request) else { return };
        let mut faults = Vec::new();
        story.judge(&self.figures, &mut |fault, at| faults.push((fault, at)));
        for (fault, at) in faults {
            self.fault(fault, at, format!("request {request}"));
        }
    }

    /// Requests that are not judged yet.
    pub fn open(&self) -> usize {
        self.stories.len()
    }
}
