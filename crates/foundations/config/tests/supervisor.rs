//! Tests of the supervisor's file: values, defaults and the position of each fault.
use config::supervisor::{is_fleet_file, parse, FleetConfig, MAX_INSTANCES};
use std::path::{Path, PathBuf};

const GOOD: &str = "[fleet]\nfolder = \"/run/herondock\"\nat_once = 2\noperator = \"own.toml\"\n\
    [[instance]]\nname = \"n1\"\nconfig = \"n1.json\"\n[[instance]]\nname = \"n2\"\nconfig = \"n2.json\"\n\
    operator = \"other.toml\"\n";

#[test]
fn a_complete_file_is_read() {
    let fleet = parse(GOOD.as_bytes()).expect("good");
    assert_eq!((fleet.policy.max_parallel, fleet.policy.crash_limit, fleet.instances.len()), (2, 5, 2));
    let operators: Vec<_> = fleet.instances.iter().map(|i| i.operator.clone()).collect();
    assert_eq!(operators, [Some("own.toml".into()), Some("other.toml".into())]);
}

/// Guards against a limit below the size of real fleets: 2,000 instances are accepted, and the first one above the limit
/// is reported.
#[test]
fn instances_are_accepted_up_to_the_limit() {
    let fleet_of = |count: usize| {
        let instances =
            (0..count).map(|k| format!("[[instance]]\nname = \"balancer-{k}\"\nconfig = \"{k}.json\"\n"));
        parse(format!("[fleet]\nfolder = \"/run/herondock\"\n{}", instances.collect::<String>()).as_bytes())
    };
    assert_eq!(fleet_of(2000).expect("good").instances.len(), 2000);
    let fault = fleet_of(MAX_INSTANCES + 1).expect_err("too many").to_string();
    assert!(fault.contains("instance[4096].name") && fault.contains("more than 4096 instances"), "{fault}");
}

#[test]
fn faults_are_reported_with_their_position() {
    for (from, to, wanted) in [
        ("at_once = 2", "at_once = 0", "3:11: fleet.at_once: "),
        ("at_once = 2", "at_once = -1", "3:11: fleet.at_once: "),
        ("at_once = 2", "spread = \"1 s\"", "3:10: fleet.spread: "),
        ("at_once = 2", "odd = 2", "3:1: "),
        ("name = \"n2\"", "name = \"n1\"", "9:8: instance[1].name: another"),
        ("name = \"n2\"", "name = \"../n1\"", "9:8: instance[1].name: "),
        ("config = \"n2.json\"", "", "config"),
        ("folder = \"/run/herondock\"\n", "", "folder"),
    ] {
        let error = parse(GOOD.replace(from, to).as_bytes()).expect_err(to).to_string();
        assert!(error.contains(wanted), "{to:?}: {error}");
    }
    let long = GOOD.replace("/run/herondock", &"x".repeat(80));
    assert!(parse(long.as_bytes()).expect_err("long").to_string().starts_with("2:10: fleet.folder: "));
    assert!(parse(b"[fleet]\nfolder = \"x\"\n").expect_err("none").to_string().starts_with("instance: "));
}

#[test]
fn the_example_is_valid_and_shows_every_key() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/fleet.example.toml");
    let text = std::fs::read_to_string(&path).expect("the example");
    let example = parse(text.as_bytes()).expect("good");
    let minimal =
        parse(b"[fleet]\nfolder = \"x\"\n[[instance]]\nname = \"n1\"\nconfig = \"y\"\n").expect("good");
    let defaults =
        |f: &FleetConfig| FleetConfig { folder: PathBuf::new(), instances: Vec::new(), ..f.clone() };
    assert_eq!(defaults(&example), defaults(&minimal), "it states the defaults");
    for key in [
        "operator",
        "spread",
        "ready_within",
        "stop_within",
        "pause",
        "pause_most",
        "window",
        "crashes",
        "at_once",
        "leaving_within",
    ] {
        assert!(text.contains(&format!("{key} = ")), "{key}");
    }
    assert!(is_fleet_file(&path) && !is_fleet_file(&path.with_file_name("herondock.example.toml")));
}
