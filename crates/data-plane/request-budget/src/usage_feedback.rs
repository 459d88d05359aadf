//! Whether an upstream reports the retries that were used below it. Most upstreams do not: retries that are granted to one
//! that does not report would be lost.

/// Consecutive responses without a report after which an upstream is no longer considered to report usage.
const MAX_SILENT_RESPONSES: u8 = 16;

/// Usage reports of one upstream: the number of further responses without a report after which it counts as not reporting.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageFeedback(u8);

impl UsageFeedback {
    /// Records a response, with or without a usage report.
    pub fn record_response(&mut self, reported: bool) {
        self.0 = if reported { MAX_SILENT_RESPONSES } else { self.0.saturating_sub(1) };
    }

    /// Whether the upstream is considered to report usage.
    pub fn reports_usage(self) -> bool {
        self.0 > 0
    }
}
