//! The supervisor's file: values, defaults and the place of each fault.
use config::supervisor::{is_fleet_file, parse, FleetConfig, MAX_INSTANCES};
use std::path::{Path, PathBuf};

const GOOD: &str = "[fleet]\nfolder = \"/run/herondock\"\nat_once = 2\noperator = \"own.toml\"\n\
    [[instance]]\nname = \"n1\"\nconfig = \"n1.json\"\n[[instance]]\nname = \"n2\"\nconfig = \"n2.json\"\n\
    operator = \"other.toml\"\n";

#[test]
fn a_whole_file_is_read() {
    let fleet = parse(GOOD.as_bytes()).expect("good");
    assert_eq!((fleet.policy.max_parallel, fleet.policy.crash_limit, fleet.instances.len()), (2, 5, 2));
    let operators: Vec<_> = fleet.instances.iter().map(|i| i.operator.clone()).collect();
    assert_eq!(operators, [Some("own.toml".into()), Some("other.toml".into())]);
}

/// Guards against caps below what fleets have: 2,000 instances are read, and one too many is named.
#[test]
fn a_fleet_is_as_large_as_its_file_up_to_the_bound() {
    let of = |n: usize| {
        let instances =
            (0..n).map(|k| format!("[[instance]]\nname = \"balancer-{k}\"\nconfig = \"{k}.json\"\n"));
        parse(format!("[fleet]\nfolder = \"/run/herondock\"\n{}", instances.collect::<String>()).as_bytes())
    };
    assert_eq!(of(2000).expect("good").instances.len(), 2000);
    let fault = of(MAX_INSTANCES + 1).expect_err("too many").to_string();
    assert!(fault.contains("instance[4096].name") && fault.contains("more than 4096 instances"), "{fault}");
}

#[test]
fn what_is_wrong_is_named_with_its_place() {
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
fn the_example_is_good_and_shows_every_key() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/fleet.example.toml");
    let text = std::fs::read_to_string(&path).expect("the example");
    let all = parse(text.as_bytes()).expect("good");
    let least =
        parse(b"[fleet]\nfolder = \"x\"\n[[instance]]\nname = \"n1\"\nconfig = \"y\"\n").expect("good");
    let defaults =
        |f: &FleetConfig| FleetConfig { folder: PathBuf::new(), instances: Vec::new(), ..f.clone() };
    assert_eq!(defaults(&all), defaults(&least), "it states the defaults");
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
