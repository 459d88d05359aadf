//! Keys of the coordination store that this crate reads and writes. The spellings are part of the stored format and never
//! change.
//!
//! | key | value | written by | removed |
//! | --- | --- | --- | --- |
//! | `release/plan` | [`RolloutPlan`](crate::RolloutPlan) | the operator who starts a rollout | never; replaced by the next rollout |
//! | `release/state` | [`RolloutState`](crate::RolloutState) | operators, and any supervisor that sees a transition; each write requires that the state is unchanged | never; replaced by the next rollout |
//! | `release/place/NAME` | [`InstanceReport`](crate::InstanceReport) | the instance's supervisor | with its session |
//! | `release/sample/NAME` | [`MetricsWindow`](crate::MetricsWindow) | the instance itself | with its session |

/// Prefix of all keys of this crate.
pub const KEY_PREFIX: &str = "release/";
/// Key of the plan of the latest rollout.
pub const PLAN_KEY: &str = "release/plan";
/// Key of the state of the latest rollout.
pub const STATE_KEY: &str = "release/state";

const REPORTS: &str = "release/place/";
const METRICS: &str = "release/sample/";

/// Key of a supervisor's [`InstanceReport`](crate::InstanceReport) on an instance.
pub fn report_key(instance: &str) -> String {
    format!("{REPORTS}{instance}")
}

/// Key of an instance's [`MetricsWindow`](crate::MetricsWindow).
pub fn metrics_key(instance: &str) -> String {
    format!("{METRICS}{instance}")
}

/// A key under [`KEY_PREFIX`], by what its value describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key<'a> {
    Plan,
    State,
    Report(&'a str),
    Metrics(&'a str),
}

impl<'a> Key<'a> {
    /// `None` for a key that this version does not know.
    pub(crate) fn parse(key: &'a str) -> Option<Key<'a>> {
        match key {
            PLAN_KEY => Some(Key::Plan),
            STATE_KEY => Some(Key::State),
            _ => {
                let report = key.strip_prefix(REPORTS).map(Key::Report);
                report.or_else(|| key.strip_prefix(METRICS).map(Key::Metrics))
            }
        }
    }
}
