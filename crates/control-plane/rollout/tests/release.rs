//! Releases over a fleet that is drawn: every one ends whole or back, good ones are not halted, and bad ones touch few.
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rollout::stages::{order, Placement};
use rollout::*;
use std::collections::BTreeSet;

/// Good releases that are played; 1,000 with optimisation.
const RELEASES: u64 = if cfg!(debug_assertions) { 100 } else { 1000 };

fn unit(random: &mut Pcg64Mcg) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Of so many draws with this chance, by the normal law.
fn binomial(random: &mut Pcg64Mcg, n: u64, chance: f64) -> u64 {
    let (mean, spread) = (n as f64 * chance, (n as f64 * chance * (1.0 - chance)).sqrt());
    let normal = (-2.0 * unit(random).max(1e-300).ln()).sqrt() * (std::f64::consts::TAU * unit(random)).cos();
    (mean + spread * normal).round().clamp(0.0, n as f64) as u64
}

fn build(name: &str) -> BuildId {
    BuildId(name.into())
}

fn release(number: u64) -> RolloutSpec {
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
    let of = |k: usize| InstanceObservation {
        name: format!("m{}b{k}", k % 20),
        zone: ["a", "b", "c"][k % 20 % 3].into(),
        machine: format!("m{}", k % 20),
        build: Some(build("old")),
        ready: true,
        ..InstanceObservation::default()
    };
    (0..size).map(of).collect()
}

/// Plays a release, ten seconds a step, twenty moves at a time; what new ones fail more is `harm`, and how unlike instances are
/// anyway is drawn: one in twenty fails five times as much. Returns the end, instances that ever ran the new, and steps.
fn play(
    release: &RolloutSpec,
    harm: f64,
    seed: u64,
    mut meddle: impl FnMut(u64, &mut Vec<InstanceObservation>),
) -> (RolloutState, usize, u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut seen, mut state) = (fleet(300), release.initial_state());
    let mut touched = BTreeSet::new();
    for second in (0..20_000u64).step_by(10) {
        let now = second * 1000;
        meddle(second, &mut seen);
        if let RolloutState::InStage { ready_since_ms: Some(since), .. } = state {
            let asked = release.check_interval_ms / 1000 * 14;
            if (now - since) % release.check_interval_ms == 0 {
                for i in &mut seen {
                    let own = if unit(&mut random) < 0.05 { 0.05 } else { 0.01 } * (0.5 + unit(&mut random));
                    let fails = own + if i.build.as_ref() == Some(&release.new) { harm } else { 0.0 };
                    let served = asked - binomial(&mut random, asked, fails);
                    let (late, memory) = (served / 50, 6.0 + unit(&mut random));
                    i.metrics = Some(MetricsSample { requests: asked, served, late, memory_mb: memory });
                }
            }
        }
        let step = release.step(&state, &seen, now);
        for (name, to) in step.replacements.iter().take(20) {
            let i = seen.iter_mut().find(|i| i.name == *name).expect("is there");
            i.build = Some(to.clone());
            touched.extend((*to == release.new).then(|| name.clone()));
        }
        state = step.next_state.unwrap_or(state);
        if matches!(state, RolloutState::Complete | RolloutState::RolledBack { .. }) {
            let wanted = if state == RolloutState::Complete { &release.new } else { &release.old };
            assert!(seen.iter().all(|i| i.build.as_ref() == Some(wanted)), "never in between");
            return (state, touched.len(), second);
        }
    }
    panic!("seed {seed}: it never ends: {state:?}");
}

/// Guards against gates that halt good releases: instances that are unlike each other anyway are no harm.
#[test]
fn of_good_releases_hardly_any_is_halted() {
    let halted = (1..=1000)
        .filter(|&seed| play(&release(seed), 0.0, seed, |_, _| {}).0 != RolloutState::Complete)
        .count();
    println!("{halted} of {RELEASES} good releases halted");
    assert!(halted * 100 <= RELEASES as usize, "{halted}, and 1 in 100 is the chance that is allowed");
}

/// Guards against gates that see nothing: builds that fail more go back by themselves, and few had them.
#[test]
fn bad_builds_are_halted_and_taken_back_and_few_had_them() {
    for (harm, most) in [(0.3, 1), (0.1, 15), (0.05, 90)] {
        let plays: Vec<_> = (1..=100).map(|seed| play(&release(seed), harm, seed, |_, _| {})).collect();
        let back = plays.iter().filter(|(end, ..)| matches!(end, RolloutState::RolledBack { .. })).count();
        let mut touched: Vec<usize> = plays.iter().map(|p| p.1).collect();
        touched.sort_unstable();
        println!("{harm}: {back} of 100 taken back; {} (median), {} (most) had it", touched[50], touched[99]);
        assert!(back == 100 && touched[50] <= most, "{harm}: {back} {touched:?}");
    }
}

#[test]
fn the_first_waves_are_spread_over_zones_and_machines_whoever_reckons() {
    let mut seen = fleet(300);
    let named = |seen: &[InstanceObservation]| -> Vec<String> {
        let places: Vec<_> =
            seen.iter().map(|i| Placement { name: &i.name, zone: &i.zone, machine: &i.machine }).collect();
        order(7, &places).into_iter().map(String::from).collect()
    };
    let first = named(&seen);
    assert_eq!(first.iter().collect::<BTreeSet<_>>().len(), 300);
    let of = |name: &String| seen.iter().find(|i| i.name == *name).expect("is there").clone();
    assert_eq!(first[..3].iter().map(|n| of(n).zone).collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(first[..18].iter().map(|n| of(n).machine).collect::<BTreeSet<_>>().len(), 18);
    seen.reverse();
    assert_eq!(named(&seen), first);
}

/// Guards against what no gate sees: a build that never gets ready, or is missing at one machine, halts by itself; an
/// operator's halt moves nothing until he says on; and who joins meanwhile does not take the new build from another.
#[test]
fn what_is_broken_halts_and_a_halt_moves_nothing() {
    let r = RolloutSpec { auto_rollback: false, ..release(1) };
    let mut seen = fleet(30);
    let first = r.step(&r.initial_state(), &seen, 0).replacements;
    assert_eq!(first.len(), 1);
    let k = seen.iter().position(|i| i.name == first[0].0).expect("is there");
    // Broken for another reason, elsewhere: no matter of this release.
    seen[(k + 1) % 30].failure = Some("crashed".into());
    assert_eq!(r.step(&r.initial_state(), &seen, 0).replacements, first);
    seen[k].failure = Some("the build is missing".into());
    let halted = r.step(&r.initial_state(), &seen, 0).next_state.expect("halted");
    assert!(
        matches!(&halted, RolloutState::Paused { stage: Some(0), reason: why } if why.contains("missing")),
        "{halted:?}"
    );
    let step = r.step(&halted, &seen, 1);
    assert!(step.replacements.is_empty() && step.next_state.is_none(), "{step:?}");
    assert!(r.apply_command(&halted, &OperatorCommand::Pause("again".into())).is_err());
    seen[k].failure = None;
    seen[k].build = Some(build("new"));
    let going = r.apply_command(&halted, &OperatorCommand::Resume).expect("goes on");
    // Others join, before it in the order or behind: it keeps what it runs.
    seen.extend(fleet(60).split_off(30));
    let moves = r.step(&going, &seen, 2).replacements;
    assert!(moves.iter().all(|(name, to)| *name != seen[k].name && *to == r.new), "{moves:?}");
    let back = r.apply_command(&going, &OperatorCommand::RollBack("no".into())).expect("goes back");
    // Halted on its way back and resumed, it goes on back.
    let held = r.apply_command(&back, &OperatorCommand::Pause("wait".into())).expect("held");
    assert!(matches!(r.apply_command(&held, &OperatorCommand::Resume), Ok(RolloutState::RollingBack { .. })));
    assert_eq!(r.step(&back, &seen, 3).replacements, [(seen[k].name.clone(), r.old.clone())]);
    assert_eq!(
        r.step(&back, &fleet(60), 3).next_state,
        Some(RolloutState::RolledBack { reason: "no".into() })
    );
}

#[test]
fn what_contradicts_itself_is_named() {
    let good = release(1);
    assert_eq!(good.validate(), Ok(()));
    let named =
        |wrong: RolloutSpec, field: &str| assert!(wrong.validate().expect_err(field).starts_with(field));
    named(RolloutSpec { new: build("old"), ..good.clone() }, "new:");
    named(RolloutSpec { stages: vec![], ..good.clone() }, "waves:");
    named(RolloutSpec { stages: vec![Stage::Count(1), Stage::Share(f64::NAN)], ..good.clone() }, "waves[1]:");
    named(RolloutSpec { max_bake_ms: 1, ..good.clone() }, "cap:");
    named(RolloutSpec { check_interval_ms: 0, ..good.clone() }, "look:");
    named(
        RolloutSpec {
            analysis: CanaryAnalysis { max_checks: 3, ..CanaryAnalysis::default() },
            ..good.clone()
        },
        "gate.looks:",
    );
    // And no gate that was not checked panics.
    let wild = CanaryAnalysis { false_positive_rate: f64::NAN, max_checks: 0, ..CanaryAnalysis::default() };
    let sample = MetricsSample { requests: 1000, served: 900, ..MetricsSample::default() };
    assert!(matches!(wild.compare(&[sample], &[sample; 9]), AnalysisVerdict::Inconclusive(_)));
    named(
        RolloutSpec {
            analysis: CanaryAnalysis { false_positive_rate: 0.0, ..CanaryAnalysis::default() },
            ..good
        },
        "gate.false_halts:",
    );
}
