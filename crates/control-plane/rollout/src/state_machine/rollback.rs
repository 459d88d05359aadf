//! Rollback: return of all instances to the old build.
use super::{InstanceObservation, Replacement, RolloutState, Step};
use crate::RolloutSpec;

impl RolloutSpec {
    pub(super) fn step_rollback(&self, reason: &str, instances: &[InstanceObservation]) -> Step {
        let mut remaining: Vec<&InstanceObservation> =
            instances.iter().filter(|instance| !instance.runs(&self.old)).collect();
        let Some(first) = remaining.first() else {
            return Step::transition(RolloutState::RolledBack { reason: reason.into() });
        };
        if remaining.iter().all(|instance| instance.build.is_none()) {
            return Step::wait(Vec::new(), format!("what {} runs is not known", first.name));
        }
        remaining.sort_by(|a, b| {
            let by_failure = rank(a).cmp(&rank(b));
            by_failure.then(served_share(a).total_cmp(&served_share(b))).then(a.name.cmp(&b.name))
        });
        let replacements: Vec<Replacement> = remaining
            .into_iter()
            .filter(|instance| instance.build.is_some())
            .map(|instance| Replacement { instance: instance.name.clone(), build: self.old.clone() })
            .collect();
        let text = format!("{} go back: {reason}", replacements.len());
        Step::wait(replacements, text)
    }
}

/// Sort key: failed instances come first, then those that are not ready.
fn rank(instance: &InstanceObservation) -> (bool, bool) {
    (instance.failure.is_none(), instance.ready)
}

/// Share of requests that an instance served; 1 without requests.
fn served_share(instance: &InstanceObservation) -> f64 {
    let metrics = instance.metrics.filter(|metrics| metrics.requests > 0);
    metrics.map_or(1.0, |metrics| metrics.served as f64 / metrics.requests as f64)
}
