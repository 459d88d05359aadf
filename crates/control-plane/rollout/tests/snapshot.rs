//! Rollouts in the store: start, transitions, and observations of instances.
use coordination::state_machine::{Compare, Op};
use disruption::{
    BalancerEntry, ConditionalWrite, FleetSnapshot, InstanceState, InstanceStatus, Projection, Versioned,
};
use rollout::keys::{report_key, PLAN_KEY, STATE_KEY};
use rollout::{
    BuildId, BuildPaths, CanaryAnalysis, InstanceReport, OperatorCommand, RolloutPlan, RolloutSnapshot,
    RolloutSpec, RolloutState, Stage,
};
use std::collections::BTreeMap;

fn plan(number: u64) -> RolloutPlan {
    let spec = RolloutSpec {
        number,
        old: BuildId("old".into()),
        new: BuildId("new".into()),
        stages: vec![Stage::Count(1)],
        bake_ms: 5,
        check_interval_ms: 1,
        max_bake_ms: 9,
        analysis: CanaryAnalysis { max_checks: 99, ..CanaryAnalysis::default() },
        auto_rollback: true,
        approved_by: "ana".into(),
        reason: String::new(),
    };
    RolloutPlan { spec, paths: BuildPaths::default(), machine_paths: BTreeMap::new() }
}

/// Applies a write, as the store does if its conditions hold.
fn execute(snapshot: &mut RolloutSnapshot, write: &ConditionalWrite) {
    let revision = snapshot.revision + 1;
    for op in &write.ops {
        if let Op::Put { key, value, .. } = op {
            snapshot.apply(key, Some(value), revision);
        }
    }
}

/// Guards against two concurrent rollouts, a state that overwrites a concurrent one, and a state of another version
/// that is treated as if there were none.
#[test]
fn one_rollout_at_a_time_and_each_state_replaces_the_current_one() {
    let mut snapshot = RolloutSnapshot::default();
    let start = snapshot.start_rollout(&plan(1)).expect("none is in progress");
    assert_eq!(start.compares, [Compare::Absent(PLAN_KEY.into()), Compare::Absent(STATE_KEY.into())]);
    execute(&mut snapshot, &start);
    let error = snapshot.start_rollout(&plan(2)).expect_err("one is in progress");
    assert!(error.to_string().contains("release 1 goes on"));
    let (current, state) = snapshot.current().expect("a rollout");
    let pause = OperatorCommand::Pause("x".into());
    let paused = current.spec.apply_command(&state.value, &pause).expect("it is in progress");
    let next = snapshot.write_state(&paused).expect("a write");
    assert!(next.compares.contains(&Compare::Version(STATE_KEY.into(), state.version)));
    execute(&mut snapshot, &next);
    assert!(snapshot.unfinished().is_some(), "a paused rollout is unfinished");
    let complete = snapshot.write_state(&RolloutState::Complete).expect("a write");
    execute(&mut snapshot, &complete);
    assert!(snapshot.unfinished().is_none() && snapshot.start_rollout(&plan(2)).is_ok());
    snapshot.apply(STATE_KEY, Some("{\"later\":1}"), 99);
    assert!(snapshot.current().is_none());
    let error = snapshot.start_rollout(&plan(2)).expect_err("undecodable");
    assert!(error.to_string().contains(STATE_KEY));
}

/// Guards against the last status of a process that has exited: it must not hide that another process is being started
/// from the new build, nor make the instance count as ready too early.
#[test]
fn an_instance_on_its_way_to_the_new_build_counts_as_running_it_and_as_not_ready() {
    let mut snapshot = RolloutSnapshot::default();
    let start = snapshot.start_rollout(&plan(1)).expect("starts");
    execute(&mut snapshot, &start);
    let mut fleet = FleetSnapshot::default();
    let entry = BalancerEntry { machine: "m1".into(), ..BalancerEntry::default() };
    fleet.balancers.insert("b".into(), Versioned { version: 1, value: entry });
    let status = |build: &str| Versioned {
        version: 1,
        value: InstanceStatus { state: InstanceState::Ready, session: 1, pid: 1, build: build.into() },
    };
    fleet.statuses.insert("b".into(), status("old"));
    let observe = |snapshot: &RolloutSnapshot, fleet: &FleetSnapshot| {
        let observations = snapshot.observations(fleet);
        (observations[0].build.clone().map_or(String::new(), |build| build.0), observations[0].ready)
    };
    assert_eq!(observe(&snapshot, &fleet), ("old".into(), true));
    let report = InstanceReport { rollout_number: 1, build: BuildId("new".into()), failure: None };
    let json = |report: &InstanceReport| serde_json::to_string(report).expect("JSON");
    snapshot.apply(&report_key("b"), Some(&json(&report)), 9);
    assert_eq!(observe(&snapshot, &fleet), ("new".into(), false));
    fleet.statuses.insert("b".into(), status("new"));
    assert_eq!(observe(&snapshot, &fleet), ("new".into(), true));
    // During a rollback it counts as running the new build until its process reports otherwise.
    let rollback_report = InstanceReport { build: BuildId("old".into()), ..report };
    snapshot.apply(&report_key("b"), Some(&json(&rollback_report)), 10);
    assert_eq!(observe(&snapshot, &fleet), ("new".into(), true));
    // A report for another rollout does not count.
    let other = InstanceReport { rollout_number: 7, build: BuildId("new".into()), failure: None };
    snapshot.apply(&report_key("b"), Some(&json(&other)), 11);
    fleet.statuses.insert("b".into(), status("old"));
    assert_eq!(observe(&snapshot, &fleet), ("old".into(), true));
}
