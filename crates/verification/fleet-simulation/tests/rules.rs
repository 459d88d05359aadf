//! Hundreds of seeds, and what shows that the invariants catch what they are there for.
use fleet_simulation::mutant::Mutant;
use fleet_simulation::scenario::{Scenario, Size};
use fleet_simulation::search::{search, shrink, Case};
use fleet_simulation::world::play;
use invariants::Breach;
use std::time::Duration;

const THREADS: usize = 4;

/// The figure of the simulation's promise: hundreds of small fleets in trouble, no rule broken, nothing grown.
#[test]
fn hundreds_of_seeds_break_no_rule() {
    let found = search(Size::SMALL, Mutant::None, 1, 300, Duration::MAX, THREADS);
    assert_eq!(found.played, 300);
    let broken: Vec<_> =
        found.broken.iter().map(|(seed, r)| (seed, r.violations.first(), r.grown.first())).collect();
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against invariants that nothing can break: each rule has a faulty variant that is caught, on the same seeds that
/// the sound one passes.
#[test]
fn every_rule_is_broken_by_a_faulty_variant_and_caught() {
    for (mutant, faults) in [
        (Mutant::AnswersForgotten, &[Breach::AnswerLost][..]),
        (Mutant::EffectsForgotten, &[Breach::UnsafeRepeated, Breach::RefusedAfterRunning]),
        (Mutant::DrainsIgnored, &[Breach::SentAfterGrace]),
        (Mutant::ColdPreferred, &[Breach::ColdPushedOver]),
    ] {
        let found = search(Size::SMALL, mutant, 1, 60, Duration::MAX, THREADS);
        for fault in faults {
            let caught = found.broken.iter().any(|(_, r)| r.violations.iter().any(|v| v.fault == *fault));
            assert!(caught, "{mutant:?} is not caught by {fault:?}");
        }
    }
    let found = search(Size::SMALL, Mutant::NothingForgotten, 1, 2, Duration::MAX, THREADS);
    assert!(found.broken.iter().all(|(_, r)| !r.grown.is_empty()) && found.broken.len() == 2);
}

/// One seed is one run: again, and beside others.
#[test]
fn a_seed_happens_again_to_the_same_digest() {
    let digests = |seed| {
        let scenario = Scenario::draw(seed, Size::SMALL);
        let (first, again) = (play(&scenario, Mutant::None), play(&scenario, Mutant::None));
        assert_eq!((first.digest, first.events), (again.digest, again.events));
        first.digest
    };
    let all: std::collections::BTreeSet<u64> = (1..=4).map(digests).collect();
    assert_eq!(all.len(), 4, "and another seed is another run");
}

/// What breaks is shrunk to fewer troubles and less load, and still breaks.
#[test]
fn what_breaks_is_shrunk_to_the_least_that_still_breaks() {
    let lost =
        |r: &fleet_simulation::world::Report| r.violations.iter().any(|v| v.fault == Breach::AnswerLost);
    let mutant = Mutant::AnswersForgotten;
    let found = search(Size::SMALL, mutant, 1, 40, Duration::MAX, THREADS);
    let many = |seed: u64| Scenario::draw(seed, Size::SMALL).troubles.len() > 1;
    let (seed, _) = found.broken.iter().find(|(seed, r)| lost(r) && many(*seed)).expect("one is caught");
    let whole = Case::full_run(*seed, Size::SMALL);
    let least = shrink(&whole, mutant, &lost);
    assert!(lost(&play(&least.scenario(), mutant)));
    assert!(least.scenario().troubles.len() < whole.scenario().troubles.len());
    assert!(least.ends_ms.is_some_and(|ends| ends < Size::SMALL.length_ms), "{least:?}");
    // As it is kept in a file.
    let text = toml::to_string(&least).expect("it can be written");
    assert_eq!(Case::read(&text), Ok(least));
    assert!(Case::read("seed = 1\nsizes = 3").is_err_and(|e| e.contains("sizes")));
}

/// The cases that a search once found.
#[test]
fn kept_cases_hold() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/cases");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the folder") {
        let file = file.expect("a file").path();
        let case = Case::read(&std::fs::read_to_string(&file).expect("it can be read")).expect("a case");
        let report = play(&case.scenario(), Mutant::None);
        assert!(
            report.sound(),
            "{}: {:?} {:?}",
            file.display(),
            report.violations.first(),
            report.grown.first()
        );
        played += 1;
    }
    assert!(played > 0);
}
