use super::NodeConfig;

const VALID: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
    "seed":"8c1f30d27a5be964","limits":{"sockets":1024,"memory_mb":192},
    "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2",
        "cell":3,"state":"active","weight":1.0,"started_ms":0}]},
    "settings":{"balancers":2,"index":1,"membership_mode":"on_request","dcs":["a"],"kinds":["m1","m2"],
        "classes":[{"name":"read","objective":100,"deadline":400,"effect":"free"}],
        "permissions":{"attempts_cap":3},
        "invariants":{"cold_from":0.2,"ramp_time":9000,"tip_multiple":3}}}"#;

#[test]
fn a_complete_configuration_is_parsed() {
    let config = NodeConfig::parse(VALID.as_bytes()).unwrap();
    assert_eq!(
        (config.seed, config.max_descriptors, config.max_memory, config.deployment.dial_timeout),
        (0x8c1f_30d2_7a5b_e964, 1024, Some(192_000_000), 250.0)
    );
    let list = config.cached_endpoints.expect("an endpoint list");
    assert_eq!((list.version, &*list.reports()[0].kind, list.reports()[0].cell), (4, "m2", 3));
}

/// Guards against a balancer that does not start because of one invalid entry in the saved endpoint list. The entry is ignored
/// and requested again from service discovery.
#[test]
fn an_invalid_entry_of_the_known_list_is_ignored() {
    let config =
        NodeConfig::parse(VALID.replace("\"state\":\"active\"", "\"state\":\"odd\"").as_bytes()).unwrap();
    let list = config.cached_endpoints.expect("an endpoint list");
    assert!(list.reports().is_empty() && list.entry_errors[0].contains("\"s-1\""), "{list:?}");
}

#[test]
fn errors_name_the_invalid_field() {
    let error = |from: &str, to: &str| {
        NodeConfig::parse(VALID.replace(from, to).as_bytes()).err().unwrap().to_string()
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
