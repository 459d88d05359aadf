//! The demo's report: for people, and as JSON.
use super::screen::View;
use super::tally::Count;
use std::fmt::Write;
use std::time::Duration;
use testkit::ledger::{Rule, Violation, ViolationKind};

/// The memory of an instance, in bytes.
pub struct Memory {
    /// Whose.
    pub balancer: String,
    /// At the end.
    pub now: u64,
    /// The most of all its processes.
    pub peak: u64,
    /// How often it was restarted.
    pub restarts: u32,
}

/// What came of a run.
pub struct Report {
    /// How long the traffic lasted.
    pub length: Duration,
    /// How things stood at the end.
    pub view: View,
    /// Of each instance.
    pub memory: Vec<Memory>,
    /// Milliseconds from the first try to the answer: at 50, 90, 99 and 99.9 of 100.
    pub percentiles: [f64; 4],
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

const RULES: [(Rule, &str); 4] = [
    (Rule::NoRequestLost, "no request is lost"),
    (Rule::NoEffectTwice, "no effect twice"),
    (Rule::DrainsKept, "drains are kept"),
    (Rule::ColdNotPushedOver, "no cold upstream is pushed over"),
];

/// Violations that are told one by one.
const REPORTED: usize = 10;

impl Report {
    /// Whether a rule was broken, or that can't be told.
    pub fn broken(&self) -> bool {
        !self.violations.is_empty()
    }

    fn of(&self, faults: &[ViolationKind]) -> usize {
        self.violations.iter().filter(|v| faults.contains(&v.kind)).count()
    }

    fn lost(&self) -> usize {
        self.of(&[ViolationKind::AnswerLost])
    }

    fn twice(&self) -> usize {
        self.of(&[
            ViolationKind::UnsafeRepeated,
            ViolationKind::KeyedOutsideGroup,
            ViolationKind::KeyedOutsideWindow,
        ])
    }

    fn against(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|v| v.kind.rule() == Some(rule)).count()
    }

    fn requests(&self) -> Count {
        self.view.balancers.iter().fold(Count::default(), |sum, b| sum.plus(b.count))
    }

    fn operations(&self) -> u64 {
        self.view.clubs.iter().map(|c| c.served + c.refused + c.failed).sum()
    }

    /// For people; no line is wider than 79 characters but those of violations.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let count = self.requests();
        let all = count.open + count.served + count.refused + count.failed;
        let [p50, p90, p99, p999] = self.percentiles;
        let mut line = |line: std::fmt::Arguments| {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{line}");
        };
        line(format_args!(""));
        line(format_args!(
            "{:.1} s: {} operations of five clubs, in {all} requests",
            self.length.as_secs_f64(),
            self.operations()
        ));
        line(format_args!(
            "  requests   served {}  refused {}  failed {}  lost {}  run twice {}",
            count.served,
            count.refused,
            count.failed,
            self.lost(),
            self.twice()
        ));
        line(format_args!(
            "  latency    p50 {p50:.0} ms  p90 {p90:.0} ms  p99 {p99:.0} ms  p99.9 {p999:.0} ms"
        ));
        let memory: Vec<String> =
            self.memory.iter().map(|m| format!("{} {:.1} MB", m.balancer, mb(m.peak))).collect();
        line(format_args!("  memory     {} at most", memory.join("  ")));
        for (rule, name) in RULES {
            let verdict = match self.against(rule) {
                0 => "kept".into(),
                n => format!("BROKEN {n} times"),
            };
            line(format_args!("  rule       {name}: {verdict}"));
        }
        for violation in self.violations.iter().take(REPORTED) {
            line(format_args!("  {violation}"));
        }
        text
    }

    /// For programs.
    pub fn json(&self) -> String {
        let count = self.requests();
        let [p50, p90, p99, p999] = self.percentiles;
        let rules = RULES.map(|(rule, _)| (format!("{rule:?}"), self.against(rule)));
        let clubs = self.view.clubs.iter().map(|c| {
            serde_json::json!({"club": c.name, "served": c.served, "refused": c.refused, "failed": c.failed,
                "p50_ms": c.percentiles[0], "p99_ms": c.percentiles[1]})
        });
        let memory = self.memory.iter().map(|m| {
            serde_json::json!({"balancer": m.balancer, "bytes": m.now, "peak_bytes": m.peak, "restarts": m.restarts})
        });
        let report = serde_json::json!({
            "seconds": self.length.as_secs_f64(),
            "operations": self.operations(),
            "requests": {"served": count.served, "refused": count.refused, "failed": count.failed,
                "lost": self.lost(), "run_twice": self.twice()},
            "latency_ms": {"p50": p50, "p90": p90, "p99": p99, "p99.9": p999},
            "clubs": clubs.collect::<Vec<_>>(),
            "memory": memory.collect::<Vec<_>>(),
            "violations": rules.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
            "faults": self.violations.iter().take(REPORTED).map(ToString::to_string).collect::<Vec<_>>(),
        });
        format!("{report}\n")
    }
}

fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

#[cfg(test)]
mod tests;
