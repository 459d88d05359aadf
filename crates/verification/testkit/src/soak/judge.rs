//! What a soak counts as a failure: broken rules, exceeded limits and unexpected ends.
use super::crowds::CrowdKind;
use super::{lock, Soak, SoakReport, LIMIT_CHECK_INTERVAL};
use crate::ledger::{Entry, Record, RuleParameters, Violation, ViolationKind};
use crate::node::Node;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Memory limit of a balancer, in bytes.
const MEMORY_LIMIT: u64 = 192_000_000;

/// Time after its deadline within which an answer earns nothing, but is not lost (the platform's acceptance).
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);

impl Soak {
    /// Compares each running process with its limits until the run ends.
    pub(super) fn watch_limits(&self) {
        while !self.is_stopped() {
            for balancer in &self.balancers {
                if let Some(node) = &mut *lock(&balancer.node) {
                    self.check_limits(&balancer.name, node);
                }
            }
            thread::sleep(LIMIT_CHECK_INTERVAL);
        }
    }

    fn check_limits(&self, name: &str, node: &mut Node) {
        if !node.is_running() {
            return self.fail(format!("{name} ended by itself: {:?}", node.log().last()));
        }
        let (memory, descriptors) = (node.peak_memory(), node.descriptors());
        self.peak_memory.fetch_max(memory, Ordering::Relaxed);
        if memory > MEMORY_LIMIT {
            self.fail(format!("{name} holds {memory} bytes"));
        }
        if descriptors > self.descriptors {
            self.fail(format!("{name} holds {descriptors} descriptors"));
        }
    }

    /// Requests that a balancer had read and forwarded when it ended their connection without an answer, although it was
    /// not killed. Their callers sent them once more, which hides the loss from the ledger's own check.
    fn abandoned_by_balancers(&self) -> Vec<Violation> {
        let mut begun: HashMap<String, (String, bool)> = HashMap::new();
        let mut violations = Vec::new();
        for Record { time, entry } in self.ledger.since(0) {
            match entry {
                Entry::Sent { request, balancer, .. } => {
                    let earlier = begun.insert(request.clone(), (balancer, false));
                    if earlier.is_some_and(|(_, has_begun)| has_begun) {
                        let subject = format!("request {request}");
                        violations.push(Violation { kind: ViolationKind::AnswerLost, time, subject });
                    }
                }
                Entry::Begun { request, .. } => {
                    if let Some((_, has_begun)) = begun.get_mut(&request) {
                        *has_begun = true;
                    }
                }
                Entry::Killed { balancer } => begun.retain(|_, (taken_by, _)| *taken_by != balancer),
                _ => {}
            }
        }
        violations
    }

    /// Whether a violation is an answer that came after its time, but within [`LATE_ANSWER_GRACE`].
    fn is_answered_in_grace(&self, violation: &Violation) -> bool {
        if violation.kind != ViolationKind::AnswerLate {
            return false;
        }
        let mut due = self.ledger.since(0).into_iter().filter_map(|record| match record.entry {
            Entry::Sent { request, timeout, .. } if violation.subject.ends_with(&request) => {
                Some(record.time + timeout)
            }
            _ => None,
        });
        due.next_back().is_some_and(|due| violation.time <= due + LATE_ANSWER_GRACE)
    }

    /// A violation with all that the ledger knows of its request, and the kills of balancers.
    fn trace(&self, violation: &Violation) -> String {
        let is_relevant = |record: &Record| match &record.entry {
            Entry::Killed { .. } => true,
            entry => violation.subject.ends_with(entry.request().unwrap_or("no request")),
        };
        let records = self.ledger.since(0).into_iter().filter(is_relevant);
        let lines =
            records.map(|record| format!("\n    {:.3} s {:?}", record.time.as_secs_f64(), record.entry));
        let trace = lines.fold(violation.to_string(), |text, line| text + &line);
        let logs = lock(&self.logs);
        // The balancer names the client of a request, and then its connection by the client.
        let client_of = |line: &str| {
            let (_, client) = line.contains(&violation.subject).then(|| line.split_once(" of "))??;
            Some(format!("connection of {client}:"))
        };
        let connections: Vec<String> = logs.iter().filter_map(|(_, line)| client_of(line)).collect();
        let is_logged = |line: &str| {
            line.contains(&violation.subject)
                || line.contains("signal")
                || connections.iter().any(|connection| line.contains(connection))
        };
        let lines = logs.iter().filter(|(_, line)| is_logged(line));
        lines.map(|(name, line)| format!("\n    {name}: {line}")).fold(trace, |text, line| text + &line)
    }

    pub(super) fn report(&self, seed: u64, crowd: CrowdKind, callers: u64, served: u64) -> SoakReport {
        let rules = RuleParameters::default();
        for balancer in &self.balancers {
            self.keep_log(&balancer.name, lock(&balancer.node).as_ref());
        }
        let mut failures = std::mem::take(&mut *lock(&self.failures));
        failures.dedup();
        let mut violations = self.ledger.check(&rules);
        let found = violations.len();
        violations.retain(|violation| !self.is_answered_in_grace(violation));
        let late = found - violations.len();
        violations.extend(self.abandoned_by_balancers());
        failures.extend(violations.iter().map(|violation| self.trace(violation)));
        let summary = format!(
            "seed {seed}: {} balancers, {callers} callers, crowd {crowd:?}: {served} served, {late} late, peak memory {} MB, {} failures",
            self.balancers.len(),
            self.peak_memory.load(Ordering::Relaxed) / 1_000_000,
            failures.len()
        );
        SoakReport { summary, failures }
    }
}
