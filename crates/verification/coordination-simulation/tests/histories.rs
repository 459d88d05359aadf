//! Histories under faults from seeds: none of the sound variant is wrong, and defects are detected. `.ci/run` plays many more.
use coordination_simulation::plan::{Plan, Variant};
use coordination_simulation::search::{play_catching, search, shrink, SearchOptions};

fn options(count: u64, variant: Variant, stop_at_first: bool) -> SearchOptions {
    let threads = std::thread::available_parallelism().map_or(1, Into::into);
    SearchOptions { first_seed: 1, count, variant, threads, stop_at_first }
}

#[test]
fn no_history_is_wrong() {
    let result = search(options(120, Variant::Sound, false));
    let failures: Vec<_> = result.failures.iter().map(|(seed, report)| (seed, &report.violations)).collect();
    assert!(failures.is_empty(), "{failures:?}");
    // Something happened, and most of it is known.
    let mostly_known = result.unknown * 100 < result.known;
    assert!(result.known > 50_000 && mostly_known && result.locks > 2_000, "{result:?}");
}

/// Guards against a judge that detects nothing, and against a shrinker that keeps irrelevant faults.
#[test]
fn faulty_variants_are_found_and_shrunk() {
    for variant in [Variant::StaleRead, Variant::ShortSessions] {
        let result = search(options(200, variant, true));
        let (seed, _) = result.failures.first().unwrap_or_else(|| panic!("{} is not found", variant.name()));
        let plan = Plan::draw(*seed);
        let shrunk = shrink(&plan, variant);
        assert!(shrunk.faults.len() <= plan.faults.len());
        assert!(!play_catching(&shrunk, variant).violations.is_empty());
    }
}

#[test]
fn a_seed_plays_the_same_again() {
    for seed in 1..6 {
        let plan = Plan::draw(seed);
        let (one, other) = (play_catching(&plan, Variant::Sound), play_catching(&plan, Variant::Sound));
        assert!(one.digest == other.digest && one.known == other.known && one.digest != 0);
    }
}
