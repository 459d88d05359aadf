use super::NodeConfig;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
    "seed":"8c1f30d27a5be964","limits":{"sockets":1024},
    "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2",
        "cell":3,"state":"active","weight":1.0,"started_ms":0}]},
    "settings":{"balancers":2,"index":1,"membership_mode":"on_request","dcs":["a"],"kinds":["m1","m2"],
        "classes":[{"name":"read","objective":100,"deadline":400,"effect":"free"}],
        "permissions":{"attempts_cap":3},
        "invariants":{"cold_from":0.2,"ramp_time":9000,"tip_multiple":3}}}"#;

#[test]
fn a_whole_configuration_is_read() {
    let c = NodeConfig::parse(GOOD.as_bytes()).unwrap();
    assert_eq!((c.seed, c.max_descriptors, c.deployment.dial_timeout), (0x8c1f_30d2_7a5b_e964, 1024, 250.0));
    let known = c.cached_endpoints.expect("a list");
    assert_eq!((known.version, &*known.reports()[0].kind, known.reports()[0].cell), (4, "m2", 3));
}

/// Guards against a balancer that does not start for one bad entry of an old list: the rest is asked for again.
#[test]
fn a_bad_entry_of_the_known_list_is_passed_over() {
    let c = NodeConfig::parse(GOOD.replace("\"state\":\"active\"", "\"state\":\"odd\"").as_bytes()).unwrap();
    let known = c.cached_endpoints.expect("a list");
    assert!(known.reports().is_empty() && known.entry_errors[0].contains("\"s-1\""), "{known:?}");
}

#[test]
fn what_is_wrong_is_named() {
    let error = |from: &str, to: &str| {
        NodeConfig::parse(GOOD.replace(from, to).as_bytes()).err().unwrap().to_string()
    };
    assert!(error("\"seed\":\"8c1f30d27a5be964\",", "").contains("seed"));
    assert!(error("8c1f30d27a5be964", "xyz").starts_with("seed"));
    assert!(error("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"").starts_with("listen"));
    assert!(error("\"sockets\":1024", "\"sockets\":3").starts_with("limits.sockets"));
    assert!(error("\"objective\":100", "\"objective\":\"x\"").contains("classes[0].objective"));
    assert!(error("\"name\":\"read\",", "").contains("settings.classes[0].name"));
    assert!(error("\"version\":4", "\"version\":\"x\"").starts_with("known"));
    assert!(NodeConfig::parse(b"{").is_err());
}
