use super::used;

fn of(line: &str) -> Vec<(&'static str, &'static str)> {
    used(line.split(' ').map(String::from))
}

#[test]
fn former_names_are_found_with_the_present_ones() {
    assert_eq!(of("herondock council status f.toml"), [("council", "coordination")]);
    assert_eq!(of("herondock --log debug outage status f.toml"), [("outage", "disruption")]);
    assert_eq!(of("herondock release halt f.toml"), [("release", "rollout"), ("halt", "pause")]);
    assert_eq!(of("herondock rollout back --why x f.toml"), [("back", "rollback")]);
    assert_eq!(of("herondock council get --under --key a f.toml")[0], ("--under", "--prefix"));
    assert_eq!(of("herondock members --json"), [("members", "endpoints")]);
}

/// Guards against a warning for a file or a unit that happens to be called so.
#[test]
fn present_names_and_values_are_not_reported() {
    for line in ["herondock", "herondock run --operator council", "herondock check release back"] {
        assert_eq!(of(line), [], "{line}");
    }
    assert_eq!(of("herondock coordination status council"), []);
}
