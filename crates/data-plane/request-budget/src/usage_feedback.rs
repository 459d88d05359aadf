//! Whether an upstream tells what was used below it. One that passes nothing on is the normal case: what was granted to it
//! would be lost.

/// Answers without a word after which one is not believed to tell any more.
const SILENT_ANSWERS_LIMIT: u8 = 16;

/// What was heard of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageFeedback(u8);

impl UsageFeedback {
    /// An answer came, and told or did not.
    pub fn answered(&mut self, told: bool) {
        self.0 = if told { SILENT_ANSWERS_LIMIT } else { self.0.saturating_sub(1) };
    }

    /// Whether it tells.
    pub fn tells(self) -> bool {
        self.0 > 0
    }
}
