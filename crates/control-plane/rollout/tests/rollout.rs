//! Rollouts over a simulated fleet: each ends complete or rolled back, good builds are hardly ever stopped, and bad ones reach
//! few instances.
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rollout::stages::{order, Placement};
use rollout::{
    AnalysisVerdict, BuildId, CanaryAnalysis, InstanceObservation, MetricsSample, OperatorCommand,
    Replacement, RolloutSpec, RolloutState, Stage,
};
use std::collections::BTreeSet;

/// Of 1,000 good rollouts, at most 1 in 100 of this number may be stopped: 10 with optimisation, 1 without.
const ROLLOUTS: u64 = if cfg!(debug_assertions) { 100 } else { 1000 };
/// Length of a simulated step, in seconds.
const STEP_SECONDS: usize = 10;
/// Maximum number of replacements in one step.
const REPLACEMENTS_PER_STEP: usize = 20;
/// Number of requests per second that an instance receives.
const REQUEST_RATE: u64 = 14;

/// Draws a number that is uniform in 0..1.
fn uniform(random: &mut Pcg64Mcg) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws the number of successes in `trials`, by the normal approximation of the binomial distribution.
fn binomial(random: &mut Pcg64Mcg, trials: u64, probability: f64) -> u64 {
    let mean = trials as f64 * probability;
    let deviation = (trials as f64 * probability * (1.0 - probability)).sqrt();
    let radius = (-2.0 * uniform(random).max(1e-300).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(random)).cos();
    (mean + deviation * normal).round().clamp(0.0, trials as f64) as u64
}

fn build(name: &str) -> BuildId {
    BuildId(name.into())
}

fn spec(number: u64) -> RolloutSpec {
    RolloutSpec {
        number,
        old: build("old"),
        new: build("new"),
        stages: vec![Stage::Count(1), Stage::Share(0.05), Stage::Share(0.3)],
        bake_ms: 120_000,
        check_interval_ms: 60_000,
        max_bake_ms: 240_000,
        analysis: CanaryAnalysis::default(),
        auto_rollback: true,
        approved_by: "ana".into(),
        reason: "the first of the month".into(),
    }
}

fn fleet(size: usize) -> Vec<InstanceObservation> {
    let instance = |index: usize| InstanceObservation {
        name: format!("m{}b{index}", index % 20),
        zone: ["a", "b", "c"][index % 20 % 3].into(),
        machine: format!("m{}", index % 20),
        build: Some(build("old")),
        ready: true,
        ..InstanceObservation::default()
    };
    (0..size).map(instance).collect()
}

/// Result of a simulated rollout.
struct Outcome {
    state: RolloutState,
    /// Number of instances that ever ran the new build.
    reached: usize,
}

/// Draws the metrics of one check. Instances differ: one in twenty fails five times as many requests as the others. Those of the
/// new build fail a share of `regression` more.
fn sample_metrics(
    spec: &RolloutSpec,
    instances: &mut [InstanceObservation],
    regression: f64,
    random: &mut Pcg64Mcg,
) {
    let requests = spec.check_interval_ms / 1000 * REQUEST_RATE;
    for instance in instances {
        let base = if uniform(random) < 0.05 { 0.05 } else { 0.01 } * (0.5 + uniform(random));
        let extra = if instance.build.as_ref() == Some(&spec.new) { regression } else { 0.0 };
        let served = requests - binomial(random, requests, base + extra);
        let (late, memory_mb) = (served / 50, 6.0 + uniform(random));
        instance.metrics = Some(MetricsSample { requests, served, late, memory_mb });
    }
}

/// Simulates a rollout over 300 instances until it ends.
fn simulate(spec: &RolloutSpec, regression: f64, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut instances, mut state) = (fleet(300), spec.initial_state());
    let mut reached = BTreeSet::new();
    for second in (0..20_000u64).step_by(STEP_SECONDS) {
        let now_ms = second * 1000;
        if let RolloutState::InStage { ready_since_ms: Some(since), .. } = state {
            if (now_ms - since) % spec.check_interval_ms == 0 {
                sample_metrics(spec, &mut instances, regression, &mut random);
            }
        }
        let step = spec.step(&state, &instances, now_ms);
        for replacement in step.replacements.iter().take(REPLACEMENTS_PER_STEP) {
            let instance = instances.iter_mut().find(|i| i.name == replacement.instance).expect("exists");
            instance.build = Some(replacement.build.clone());
            reached.extend((replacement.build == spec.new).then(|| replacement.instance.clone()));
        }
        state = step.next_state.unwrap_or(state);
        if state.is_final() {
            let expected = if state == RolloutState::Complete { &spec.new } else { &spec.old };
            assert!(instances.iter().all(|i| i.build.as_ref() == Some(expected)), "one build everywhere");
            return Outcome { state, reached: reached.len() };
        }
    }
    panic!("seed {seed}: it never ends: {state:?}");
}

/// Guards against an analysis that stops good rollouts because instances differ from each other anyway.
#[test]
fn hardly_any_good_rollout_is_stopped() {
    let stopped =
        (1..=1000).filter(|&seed| simulate(&spec(seed), 0.0, seed).state != RolloutState::Complete).count();
    println!("{stopped} of {ROLLOUTS} good rollouts stopped");
    assert!(stopped * 100 <= ROLLOUTS as usize, "{stopped}, and 1 in 100 is the permitted rate");
}

/// Guards against an analysis without power: builds that fail more are rolled back by themselves and reach few instances.
#[test]
fn bad_builds_are_rolled_back_and_reach_few_instances() {
    for (regression, max_median) in [(0.3, 1), (0.1, 15), (0.05, 90)] {
        let outcomes: Vec<Outcome> = (1..=100).map(|seed| simulate(&spec(seed), regression, seed)).collect();
        let rolled_back =
            outcomes.iter().filter(|o| matches!(o.state, RolloutState::RolledBack { .. })).count();
        let mut reached: Vec<usize> = outcomes.iter().map(|outcome| outcome.reached).collect();
        reached.sort_unstable();
        let (median, max) = (reached[50], reached[99]);
        println!("{regression}: {rolled_back} of 100 rolled back; {median} (median), {max} (most) reached");
        assert!(rolled_back == 100 && median <= max_median, "{regression}: {rolled_back} {reached:?}");
    }
}

#[test]
fn the_order_is_spread_over_zones_and_machines_and_independent_of_the_input_order() {
    let mut instances = fleet(300);
    let order_of = |instances: &[InstanceObservation]| -> Vec<String> {
        let placements: Vec<_> = instances
            .iter()
            .map(|i| Placement { name: &i.name, zone: &i.zone, machine: &i.machine })
            .collect();
        order(7, &placements).into_iter().map(String::from).collect()
    };
    let names = order_of(&instances);
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), 300);
    let find = |name: &String| instances.iter().find(|i| i.name == *name).expect("exists").clone();
    assert_eq!(names[..3].iter().map(|name| find(name).zone).collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(names[..18].iter().map(|name| find(name).machine).collect::<BTreeSet<_>>().len(), 18);
    instances.reverse();
    assert_eq!(order_of(&instances), names);
}

/// Guards against failures that the analysis does not detect: a build that never becomes ready, or is missing on one machine,
/// must stop the rollout. A paused rollout must replace nothing until it is resumed, and instances that join meanwhile must
/// not cause an instance that runs the new build to lose it.
#[test]
fn a_failed_instance_stops_the_rollout_and_a_paused_one_replaces_nothing() {
    let spec = RolloutSpec { auto_rollback: false, ..spec(1) };
    let mut instances = fleet(30);
    let first = spec.step(&spec.initial_state(), &instances, 0).replacements;
    assert_eq!(first.len(), 1);
    let failed_index = instances.iter().position(|i| i.name == first[0].instance).expect("exists");
    // An instance that failed for another reason, outside the stage, does not matter.
    instances[(failed_index + 1) % 30].failure = Some("crashed".into());
    assert_eq!(spec.step(&spec.initial_state(), &instances, 0).replacements, first);
    instances[failed_index].failure = Some("the build is missing".into());
    let paused = spec.step(&spec.initial_state(), &instances, 0).next_state.expect("paused");
    assert!(
        matches!(&paused, RolloutState::Paused { stage: Some(0), reason } if reason.contains("missing")),
        "{paused:?}"
    );
    let step = spec.step(&paused, &instances, 1);
    assert!(step.replacements.is_empty() && step.next_state.is_none(), "{step:?}");
    assert!(spec.apply_command(&paused, &OperatorCommand::Pause("again".into())).is_err());
    instances[failed_index].failure = None;
    instances[failed_index].build = Some(build("new"));
    let resumed = spec.apply_command(&paused, &OperatorCommand::Resume).expect("resumes");
    // Other instances join, before it or after it in the order: it keeps its build.
    instances.extend(fleet(60).split_off(30));
    let replacements = spec.step(&resumed, &instances, 2).replacements;
    assert!(
        replacements.iter().all(|r| r.instance != instances[failed_index].name && r.build == spec.new),
        "{replacements:?}"
    );
    let rolling_back =
        spec.apply_command(&resumed, &OperatorCommand::RollBack("no".into())).expect("rolls back");
    // A paused rollback continues as a rollback.
    let pause = OperatorCommand::Pause("wait".into());
    let paused_rollback = spec.apply_command(&rolling_back, &pause).expect("paused");
    let resumed = spec.apply_command(&paused_rollback, &OperatorCommand::Resume);
    assert!(matches!(resumed, Ok(RolloutState::RollingBack { .. })));
    let replacement = Replacement { instance: instances[failed_index].name.clone(), build: spec.old.clone() };
    assert_eq!(spec.step(&rolling_back, &instances, 3).replacements, [replacement]);
    let rolled_back = RolloutState::RolledBack { reason: "no".into() };
    assert_eq!(spec.step(&rolling_back, &fleet(60), 3).next_state, Some(rolled_back));
}

#[test]
fn contradictions_are_reported_with_their_field() {
    let valid = spec(1);
    assert_eq!(valid.validate(), Ok(()));
    let assert_field = |invalid: RolloutSpec, field: &str| {
        let error = invalid.validate().expect_err(field).to_string();
        assert!(error.starts_with(field), "{error}");
    };
    assert_field(RolloutSpec { new: build("old"), ..valid.clone() }, "new:");
    assert_field(RolloutSpec { stages: vec![], ..valid.clone() }, "waves:");
    let stages = vec![Stage::Count(1), Stage::Share(f64::NAN)];
    assert_field(RolloutSpec { stages, ..valid.clone() }, "waves[1]:");
    assert_field(RolloutSpec { max_bake_ms: 1, ..valid.clone() }, "cap:");
    assert_field(RolloutSpec { check_interval_ms: 0, ..valid.clone() }, "look:");
    let analysis = CanaryAnalysis { max_checks: 3, ..CanaryAnalysis::default() };
    assert_field(RolloutSpec { analysis, ..valid.clone() }, "gate.looks:");
    // An analysis that was not validated does not panic.
    let unvalidated =
        CanaryAnalysis { false_positive_rate: f64::NAN, max_checks: 0, ..CanaryAnalysis::default() };
    let sample = MetricsSample { requests: 1000, served: 900, ..MetricsSample::default() };
    assert!(matches!(unvalidated.compare(&[sample], &[sample; 9]), AnalysisVerdict::Inconclusive(_)));
    let analysis = CanaryAnalysis { false_positive_rate: 0.0, ..CanaryAnalysis::default() };
    assert_field(RolloutSpec { analysis, ..valid }, "gate.false_halts:");
}
