//! Keys and encoding of the stored values, compared with those that earlier builds wrote: `fixtures/encoding.txt` holds one
//! value per line, as its key and its JSON.
use disruption::Projection;
use rollout::keys::{metrics_key, report_key, KEY_PREFIX, PLAN_KEY, STATE_KEY};
use rollout::{
    BuildId, BuildPaths, CanaryAnalysis, InstanceReport, MetricsSample, MetricsWindow, RolloutPlan,
    RolloutSnapshot, RolloutSpec, RolloutState, Stage,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/encoding.txt");

fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, value: &T) {
    let written = serde_json::to_string(value).expect("an encodable value");
    let line = format!("{key} {written}");
    assert!(FIXTURE.lines().any(|stored| stored == line), "{line}");
    assert_eq!(&serde_json::from_str::<T>(&written).expect("a decodable value"), value, "{key}");
}

fn plan() -> RolloutPlan {
    let spec = RolloutSpec {
        number: 3,
        old: BuildId("old".into()),
        new: BuildId("new".into()),
        stages: vec![Stage::Count(1), Stage::Share(0.25)],
        bake_ms: 5000,
        check_interval_ms: 1000,
        max_bake_ms: 9000,
        analysis: CanaryAnalysis::default(),
        auto_rollback: true,
        approved_by: "ana".into(),
        reason: "fix".into(),
    };
    let paths = |folder: &str| BuildPaths { old: format!("{folder}/old"), new: format!("{folder}/new") };
    RolloutPlan {
        spec,
        paths: paths("/opt"),
        machine_paths: BTreeMap::from([("m1".to_string(), paths("/srv"))]),
    }
}

#[test]
fn stored_values_keep_their_keys_and_encoding() {
    assert_eq!(KEY_PREFIX, "release/");
    assert_encoding(PLAN_KEY, &plan());
    let states = [
        RolloutState::InStage { stage: 1, ready_since_ms: Some(7), checks: 2, suspected: true },
        RolloutState::InStage { stage: 0, ready_since_ms: None, checks: 0, suspected: false },
        RolloutState::Paused { stage: Some(1), reason: "harm".into() },
        RolloutState::Paused { stage: None, reason: "ana".into() },
        RolloutState::RollingBack { reason: "harm".into() },
        RolloutState::Complete,
        RolloutState::RolledBack { reason: "harm".into() },
    ];
    for state in states {
        assert_encoding(STATE_KEY, &state);
    }
    for failure in [None, Some("crashes".to_string())] {
        assert_encoding(
            &report_key("n1"),
            &InstanceReport { rollout_number: 3, build: BuildId("new".into()), failure },
        );
    }
    let sample = MetricsSample { requests: 100, served: 99, late: 3, memory_mb: 7.5 };
    assert_encoding(&metrics_key("n1"), &MetricsWindow { state_version: 12, metrics: sample });
}

/// All values that earlier builds stored can be decoded.
#[test]
fn a_stored_rollout_is_decoded() {
    let mut snapshot = RolloutSnapshot::default();
    for (line, version) in FIXTURE.lines().zip(1..) {
        let (key, value) = line.split_once(' ').expect("key and value");
        snapshot.apply(key, Some(value), version);
        assert_eq!(snapshot.unreadable, BTreeMap::new());
    }
    assert_eq!(snapshot.plan.as_ref().map(|p| &p.value), Some(&plan()));
    assert_eq!(snapshot.state.map(|s| s.value), Some(RolloutState::RolledBack { reason: "harm".into() }));
    assert_eq!((snapshot.reports.len(), snapshot.metrics.len()), (1, 1));
}
