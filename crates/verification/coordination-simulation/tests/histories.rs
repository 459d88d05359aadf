//! Histories under faults from seeds: none that is wrong, and each faulty variant is found. `.ci/run` plays many more.
use coordination_simulation::plan::{Plan, Variant};
use coordination_simulation::search::{played, search, shrink};

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, Into::into)
}

#[test]
fn no_history_is_wrong() {
    let found = search(1, 120, Variant::Sound, threads(), false);
    let wrong: Vec<_> = found.wrong.iter().map(|(seed, report)| (seed, &report.wrong)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    // Something happened, and most of it is known.
    assert!(found.known > 50_000 && found.unknown * 100 < found.known && found.locks > 2_000, "{found:?}");
}

/// Guards against a judge that sees nothing, and against a shrinker that keeps what does not matter.
#[test]
fn faulty_variants_are_found_and_shrunk() {
    for variant in [Variant::StaleRead, Variant::ShortSessions] {
        let found = search(1, 200, variant, threads(), true);
        let (seed, _) = found.wrong.first().unwrap_or_else(|| panic!("{} is not found", variant.name()));
        let whole = Plan::draw(*seed);
        let least = shrink(&whole, variant);
        assert!(least.troubles.len() <= whole.troubles.len() && !played(&least, variant).wrong.is_empty());
    }
}

#[test]
fn a_seed_plays_the_same_again() {
    for seed in 1..6 {
        let plan = Plan::draw(seed);
        let (one, other) = (played(&plan, Variant::Sound), played(&plan, Variant::Sound));
        assert!(one.digest == other.digest && one.known == other.known && one.digest != 0);
    }
}
