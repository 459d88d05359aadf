//! Tests of files with disruption budgets.
use config::disruption::{is_disruption_file, parse, read};
use std::path::Path;

const VALID: &str =
    "[council]\nvoters = [\"127.0.0.1:7801\"]\n[[budget]]\nname = \"all\"\nof = \"balancer\"\n\
    per = \"fleet\"\nmost = 3\nshare = \"2.5 %\"\nfloor = 2\n";

#[test]
fn a_complete_file_is_read() {
    let budget = &parse(VALID.as_bytes()).expect("valid").budgets.budgets[0];
    assert_eq!(
        (budget.max_unavailable, budget.max_unavailable_per_mille, budget.min_available),
        (Some(3), Some(25), 2)
    );
}

#[test]
fn faults_are_reported_with_their_position() {
    for (from, to, wanted) in [
        ("most = 3", "most = -1", "7:8: budget[0].most: "),
        ("most = 3", "most = 0", "7:8: budget[0].most: is 0"),
        ("2.5 %", "2.55 %", "8:9: budget[0].share: "),
        ("2.5 %", "100.1 %", "8:9: budget[0].share: "),
        ("2.5 %", "3", "8:9: budget[0].share: "),
        ("\"fleet\"", "\"pool\"", "6:7: budget[0].per: "),
        ("\"balancer\"", "\"x\"", "5:6: budget[0].of: "),
        ("most = 3", "odd = 3", "7:1: "),
        ("127.0.0.1:7801", "x", "2:11: council.voters: "),
    ] {
        let error = parse(VALID.replace(from, to).as_bytes()).expect_err(to).to_string();
        assert!(error.contains(wanted), "{to:?}: {error}");
    }
}

#[test]
fn the_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/outages.example.toml");
    let config = read(&path).expect("valid");
    assert!(config.budgets.budgets.len() >= 4 && is_disruption_file(&path));
}
