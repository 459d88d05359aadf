//! Tests of files of rollouts.
use config::rollout::{is_rollout_file, parse, read};
use rollout::{BuildPaths, Stage};
use std::collections::BTreeMap;
use std::path::Path;

const VALID: &str = "[council]\nvoters = [\"127.0.0.1:7801\"]\n[release]\nold = \"/a\"\nnew = \"/b\"\n\
    waves = [\"1\", \"10 %\"]\nbake = \"10s\"\nlook = \"2s\"\ncap = \"1m\"\n[gate]\nlate = \"3 %\"\n\
    [[machine]]\nname = \"m7\"\nnew = \"/c\"\n";

#[test]
fn a_complete_file_is_read() {
    let config = parse(VALID.as_bytes()).expect("valid");
    assert_eq!(config.stages, [Stage::Count(1), Stage::Share(0.1)]);
    assert_eq!(
        (config.analysis.late.min_difference, config.analysis.max_checks, config.auto_rollback),
        (0.03, 3 * 31, true)
    );
    let own = BuildPaths { old: "/a".into(), new: "/c".into() };
    assert_eq!(config.machine_paths, BTreeMap::from([("m7".to_string(), own)]));
}

#[test]
fn faults_are_reported_with_their_position() {
    for (from, to, wanted) in [
        ("\"/a\"", "\"a\"", "4:7: release.old: "),
        ("\"1\", ", "\"0\", ", "6:10: release.waves[0]: "),
        ("[\"1\", \"10 %\"]", "[]", "6:9: release.waves: "),
        ("\"10 %\"", "\"10\", \"x\"", "release.waves[2]: "),
        ("\"1m\"", "\"1s\"", "release.cap: "),
        ("\"2s\"", "\"20s\"", "8:8: release.look: "),
        ("\"3 %\"", "\"300 %\"", "11:8: gate.late: "),
        ("new = \"/c\"", "new = \"c\"", "machine[0].new: "),
        ("cap = ", "odd = ", "9:1: "),
    ] {
        let error = parse(VALID.replace(from, to).as_bytes()).expect_err(to).to_string();
        assert!(error.contains(wanted), "{to:?}: {error}");
    }
}

#[test]
fn the_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/release.example.toml");
    assert!(read(&path).expect("valid").stages.len() > 2 && is_rollout_file(&path));
}
