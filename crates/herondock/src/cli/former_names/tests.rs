use super::used;

fn used_in(line: &str) -> Vec<(&'static str, &'static str)> {
    used(line.split(' ').map(String::from))
}

#[test]
fn former_names_are_found_with_the_present_ones() {
    assert_eq!(used_in("herondock council status f.toml"), [("council", "coordination")]);
    assert_eq!(used_in("herondock --log debug outage status f.toml"), [("outage", "disruption")]);
    assert_eq!(used_in("herondock release halt f.toml"), [("release", "rollout"), ("halt", "pause")]);
    assert_eq!(used_in("herondock rollout back --why x f.toml"), [("back", "rollback")]);
    assert_eq!(used_in("herondock council get --under --key a f.toml")[0], ("--under", "--prefix"));
    assert_eq!(used_in("herondock members --json"), [("members", "endpoints")]);
}

/// Guards against a warning for a file or an upstream whose name equals a former command name.
#[test]
fn present_names_and_values_are_not_reported() {
    for line in ["herondock", "herondock run --operator council", "herondock check release back"] {
        assert_eq!(used_in(line), [], "{line}");
    }
    assert_eq!(used_in("herondock coordination status council"), []);
}
