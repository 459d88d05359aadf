//! Report of the demo, as text and as JSON.
use super::screen::View;
use super::tally::Count;
use std::fmt::Write;
use std::time::Duration;
use testkit::ledger::{Rule, Violation, ViolationKind};

/// Memory of an instance.
pub struct Memory {
    /// Name of the instance.
    pub balancer: String,
    /// Memory at the end, in bytes.
    pub now: u64,
    /// Peak memory of all processes of the instance, in bytes.
    pub peak: u64,
    /// Number of restarts.
    pub restarts: u32,
}

/// Results of a run.
pub struct Report {
    /// Duration of the traffic.
    pub length: Duration,
    /// State at the end of the run.
    pub view: View,
    /// Memory of each instance.
    pub memory: Vec<Memory>,
    /// Latency from the first attempt to the answer, in milliseconds, at the percentiles 50, 90, 99 and 99.9.
    pub percentiles: [f64; 4],
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

const RULES: [(Rule, &str); 4] = [
    (Rule::NoRequestLost, "no request is lost"),
    (Rule::NoEffectTwice, "no effect twice"),
    (Rule::DrainsKept, "drains are kept"),
    (Rule::ColdNotPushedOver, "no cold upstream is pushed over"),
];

/// Maximum number of violations that are listed one by one.
const MAX_LISTED_VIOLATIONS: usize = 10;

impl Report {
    /// Whether there are violations, including the finding that the rules can't be checked.
    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    fn count_breaches(&self, breaches: &[ViolationKind]) -> usize {
        self.violations.iter().filter(|v| breaches.contains(&v.kind)).count()
    }

    fn lost(&self) -> usize {
        self.count_breaches(&[ViolationKind::AnswerLost])
    }

    fn run_twice(&self) -> usize {
        self.count_breaches(&[
            ViolationKind::UnsafeRepeated,
            ViolationKind::KeyedOutsideGroup,
            ViolationKind::KeyedOutsideWindow,
        ])
    }

    fn violations_of(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|v| v.kind.rule() == Some(rule)).count()
    }

    fn requests(&self) -> Count {
        self.view.balancers.iter().fold(Count::default(), |sum, b| sum.plus(b.count))
    }

    fn operations(&self) -> u64 {
        self.view.clubs.iter().map(|c| c.served + c.refused + c.failed).sum()
    }

    /// Report as text. No line is wider than 79 characters, except those of violations.
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
            self.run_twice()
        ));
        line(format_args!(
            "  latency    p50 {p50:.0} ms  p90 {p90:.0} ms  p99 {p99:.0} ms  p99.9 {p999:.0} ms"
        ));
        let memory: Vec<String> =
            self.memory.iter().map(|m| format!("{} {:.1} MB", m.balancer, megabytes(m.peak))).collect();
        line(format_args!("  memory     {} at most", memory.join("  ")));
        for (rule, name) in RULES {
            let verdict = match self.violations_of(rule) {
                0 => "kept".into(),
                n => format!("BROKEN {n} times"),
            };
            line(format_args!("  rule       {name}: {verdict}"));
        }
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            line(format_args!("  {violation}"));
        }
        text
    }

    /// Report as one line of JSON.
    pub fn json(&self) -> String {
        let count = self.requests();
        let [p50, p90, p99, p999] = self.percentiles;
        let rules = RULES.map(|(rule, _)| (format!("{rule:?}"), self.violations_of(rule)));
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
                "lost": self.lost(), "run_twice": self.run_twice()},
            "latency_ms": {"p50": p50, "p90": p90, "p99": p99, "p99.9": p999},
            "clubs": clubs.collect::<Vec<_>>(),
            "memory": memory.collect::<Vec<_>>(),
            "violations": rules.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
            "faults": self.violations.iter().take(MAX_LISTED_VIOLATIONS).map(ToString::to_string).collect::<Vec<_>>(),
        });
        format!("{report}\n")
    }
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

#[cfg(test)]
mod tests;
