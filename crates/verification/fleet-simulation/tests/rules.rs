//! Runs hundreds of seeds, and shows that the invariants detect the defects that they exist for.
use fleet_simulation::mutant::Mutant;
use fleet_simulation::scenario::{Scenario, Size};
use fleet_simulation::search::{search, shrink, Case};
use fleet_simulation::world::run_scenario;
use invariants::ViolationKind;
use std::time::Duration;

const THREADS: usize = 4;

/// Hundreds of small fleets with faults violate no invariant and retain no entries.
#[test]
fn hundreds_of_seeds_violate_no_invariant() {
    let found = search(Size::SMALL, Mutant::None, 1, 300, Duration::MAX, THREADS);
    assert_eq!(found.runs, 300);
    let violating: Vec<_> =
        found.violating.iter().map(|(seed, r)| (seed, r.violations.first(), r.retained.first())).collect();
    assert!(violating.is_empty(), "{violating:?}");
}

/// Guards against invariants that nothing can violate: for each there is a mutant that violates it, on the same seeds
/// that the unmodified instances pass.
#[test]
fn every_mutant_violates_its_invariant_and_is_caught() {
    for (mutant, kinds) in [
        (Mutant::AnswersForgotten, &[ViolationKind::AnswerLost][..]),
        (Mutant::EffectsForgotten, &[ViolationKind::UnsafeRepeated, ViolationKind::RefusedAfterRunning]),
        (Mutant::DrainsIgnored, &[ViolationKind::SentAfterGrace]),
        (Mutant::ColdPreferred, &[ViolationKind::ColdPushedOver]),
    ] {
        let found = search(Size::SMALL, mutant, 1, 60, Duration::MAX, THREADS);
        for kind in kinds {
            let caught = found.violating.iter().any(|(_, r)| r.violations.iter().any(|v| v.kind == *kind));
            assert!(caught, "{mutant:?} was not caught by {kind:?}");
        }
    }
    let found = search(Size::SMALL, Mutant::NothingForgotten, 1, 2, Duration::MAX, THREADS);
    assert!(found.violating.iter().all(|(_, r)| !r.retained.is_empty()) && found.violating.len() == 2);
}

/// Guards against nondeterminism: a seed gives the same run when repeated, and different seeds give different runs.
#[test]
fn a_seed_reproduces_its_digest() {
    let digests = |seed| {
        let scenario = Scenario::draw(seed, Size::SMALL);
        let (first, again) = (run_scenario(&scenario, Mutant::None), run_scenario(&scenario, Mutant::None));
        assert_eq!((first.digest, first.events), (again.digest, again.events));
        first.digest
    };
    let all: std::collections::BTreeSet<u64> = (1..=4).map(digests).collect();
    assert_eq!(all.len(), 4, "different seeds give different digests");
}

/// A violating run is shrunk to fewer faults and less load, and still violates the invariant.
#[test]
fn a_violating_run_is_shrunk_and_still_violates() {
    let loses_answer = |r: &fleet_simulation::world::Report| {
        r.violations.iter().any(|v| v.kind == ViolationKind::AnswerLost)
    };
    let mutant = Mutant::AnswersForgotten;
    let found = search(Size::SMALL, mutant, 1, 40, Duration::MAX, THREADS);
    let has_several_faults = |seed: u64| Scenario::draw(seed, Size::SMALL).faults.len() > 1;
    let (seed, _) = found
        .violating
        .iter()
        .find(|(seed, r)| loses_answer(r) && has_several_faults(*seed))
        .expect("a run with several faults that loses an answer");
    let full = Case::full_run(*seed, Size::SMALL);
    let smallest = shrink(&full, mutant, &loses_answer);
    assert!(loses_answer(&run_scenario(&smallest.scenario(), mutant)));
    assert!(smallest.scenario().faults.len() < full.scenario().faults.len());
    assert!(smallest.ends_ms.is_some_and(|ends| ends < Size::SMALL.length_ms), "{smallest:?}");
    // The case survives a round trip through its file format.
    let text = toml::to_string(&smallest).expect("serialize the case");
    assert_eq!(Case::parse(&text), Ok(smallest));
    assert!(Case::parse("seed = 1\nsizes = 3").is_err_and(|e| e.contains("sizes")));
}

/// Cases saved by earlier searches violate no invariant.
#[test]
fn saved_cases_violate_no_invariant() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/cases");
    let mut runs = 0;
    for file in std::fs::read_dir(folder).expect("read the cases folder") {
        let file = file.expect("read a folder entry").path();
        let case = Case::parse(&std::fs::read_to_string(&file).expect("read the case file"))
            .expect("parse the case");
        let report = run_scenario(&case.scenario(), Mutant::None);
        assert!(
            report.is_correct(),
            "{}: {:?} {:?}",
            file.display(),
            report.violations.first(),
            report.retained.first()
        );
        runs += 1;
    }
    assert!(runs > 0);
}
