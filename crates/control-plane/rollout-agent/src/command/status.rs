//! `herondock release status`.
use super::CommandError;
use crate::{build_id, unix_ms};
use daemon::table::format_rows;
use disruption::FleetSnapshot;
use disruption_agent::command::print;
use rollout::{
    BuildId, InstanceObservation, MetricsSample, Replacement, RolloutSnapshot, RolloutSpec, RolloutState,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Columns of the table of instances.
const COLUMNS: [&str; 9] =
    ["instance", "machine", "zone", "build", "ready", "asked", "served", "late", "trouble"];

/// JSON of `herondock release status --json`.
#[derive(Serialize)]
struct Output<'a> {
    release: Option<RolloutStatus<'a>>,
}

/// Rollout in the JSON status.
#[derive(Serialize)]
struct RolloutStatus<'a> {
    number: u64,
    old: &'a BuildId,
    new: &'a BuildId,
    by: &'a str,
    why: &'a str,
    state: &'a RolloutState,
    says: String,
    waits: Option<String>,
    to_move: Vec<PendingReplacement<'a>>,
    instances: Vec<InstanceStatus<'a>>,
    unread: &'a BTreeMap<String, String>,
}

/// Pending replacement in the JSON status.
#[derive(Serialize)]
struct PendingReplacement<'a> {
    name: &'a str,
    to: &'a BuildId,
}

impl<'a> PendingReplacement<'a> {
    fn of(replacement: &'a Replacement) -> PendingReplacement<'a> {
        PendingReplacement { name: &replacement.instance, to: &replacement.build }
    }
}

/// Instance in the JSON status.
#[derive(Serialize)]
struct InstanceStatus<'a> {
    name: &'a str,
    machine: &'a str,
    zone: &'a str,
    ready: bool,
    broken: Option<&'a str>,
    runs: Option<&'a BuildId>,
    sample: Option<MetricsSample>,
}

impl<'a> InstanceStatus<'a> {
    fn of(instance: &'a InstanceObservation) -> InstanceStatus<'a> {
        InstanceStatus {
            name: &instance.name,
            machine: &instance.machine,
            zone: &instance.zone,
            ready: instance.ready,
            broken: instance.failure.as_deref(),
            runs: instance.build.as_ref(),
            sample: instance.metrics,
        }
    }
}

/// Status as printed by `herondock release status --json`.
pub fn state(rollout: &RolloutSnapshot, fleet: &FleetSnapshot) -> serde_json::Value {
    let observations = rollout.observations(fleet);
    let step = rollout.current().map(|(plan, state)| plan.spec.step(&state.value, &observations, unix_ms()));
    let status = rollout.current().zip(step.as_ref()).map(|((plan, state), step)| RolloutStatus {
        number: plan.spec.number,
        old: &plan.spec.old,
        new: &plan.spec.new,
        by: &plan.spec.approved_by,
        why: &plan.spec.reason,
        state: &state.value,
        says: state.value.summary(),
        waits: step.waiting_for.clone(),
        to_move: step.replacements.iter().map(PendingReplacement::of).collect(),
        instances: observations.iter().map(InstanceStatus::of).collect(),
        unread: &rollout.unreadable,
    });
    // The status consists of texts, numbers and maps with text keys, so encoding cannot fail.
    serde_json::to_value(Output { release: status }).unwrap_or_default()
}

/// Prints the state of the rollout and a table of its instances.
pub(super) fn print_status(
    rollout: &RolloutSnapshot,
    fleet: &FleetSnapshot,
    json: bool,
) -> Result<(), CommandError> {
    if json {
        return Ok(print(&state(rollout, fleet).to_string())?);
    }
    let Some((plan, state)) = rollout.current() else { return Ok(print("there was no release yet")?) };
    let spec = &plan.spec;
    let observations = rollout.observations(fleet);
    let (old, new) = (build_id::short(&spec.old), build_id::short(&spec.new));
    let (number, approved_by) = (spec.number, &spec.approved_by);
    let summary = state.value.summary();
    print(&format!("release {number} from {old} to {new}, by {approved_by}: {summary}"))?;
    if let Some(waiting_for) = spec.step(&state.value, &observations, unix_ms()).waiting_for {
        print(&waiting_for)?;
    }
    let mut rows = vec![COLUMNS.map(String::from).to_vec()];
    rows.extend(observations.iter().map(|instance| instance_row(spec, instance)));
    Ok(print(format_rows(&rows).trim_end())?)
}

fn instance_row(spec: &RolloutSpec, instance: &InstanceObservation) -> Vec<String> {
    let build = match &instance.build {
        Some(build) if *build == spec.new => "new",
        Some(build) if *build == spec.old => "old",
        Some(build) => build_id::short(build),
        None => "",
    };
    let ready = if instance.ready { "yes" } else { "no" };
    let metric = |value: fn(&MetricsSample) -> u64| {
        instance.metrics.as_ref().map_or(String::new(), |metrics| value(metrics).to_string())
    };
    vec![
        instance.name.clone(),
        instance.machine.clone(),
        or_dash(&instance.zone),
        or_dash(build),
        ready.into(),
        or_dash(&metric(|metrics| metrics.requests)),
        or_dash(&metric(|metrics| metrics.served)),
        or_dash(&metric(|metrics| metrics.late)),
        or_dash(instance.failure.as_deref().unwrap_or_default()),
    ]
}

/// Returns the text, or `-` if it is empty.
fn or_dash(text: &str) -> String {
    if text.is_empty() {
        "-".into()
    } else {
        text.into()
    }
}
