//! Short soak runs. `HERONDOCK_SOAK_SEEDS=1..51` runs other seeds than the default ones.
mod common;
use testkit::soak;

/// Environment variable with the seeds, as `FROM..TO`.
const SEEDS: &str = "HERONDOCK_SOAK_SEEDS";

#[test]
fn soak_under_faults_breaks_no_rule_and_no_limit() {
    let program = common::program();
    let mut failed = Vec::new();
    for seed in soak::seeds(SEEDS, 1..7) {
        let report = soak::run(&program, seed);
        println!("{}", report.summary);
        report.failures.iter().for_each(|failure| println!("  {failure}"));
        if !report.failures.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} failed");
}
