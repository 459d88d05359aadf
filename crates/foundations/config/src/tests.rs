use super::*;

const MINIMAL: &str = r#"{"balancers": 2, "index": 1, "membership_mode": "pushed", "novel": [1],
        "classes": [{"objective": 100, "deadline": 400, "effect": "guarded", "dedup_scope": "cell",
                     "repeat_window": 900}],
        "permissions": {"attempts_cap": 3},
        "invariants": {"fall": 1000, "cold_from": 0.2, "ramp_time": 9000, "tip_multiple": 3}}"#;

#[test]
fn missing_optional_keys_get_defaults_and_unknown_ones_are_skipped() {
    let settings = parse(MINIMAL.as_bytes()).unwrap();
    assert_eq!(settings.classes[0].effect, Effect::Guarded { scope: DedupScope::Cell, window: 900.0 });
    assert_eq!(
        (settings.idle_close, settings.ask_within, settings.stage, settings.ask_for_list),
        (5000.0, 10_000.0, 0, false)
    );
}

#[test]
fn errors_name_missing_keys_and_invalid_values() {
    let error = |from: &str, to: &str| parse(MINIMAL.replace(from, to).as_bytes()).unwrap_err();
    assert!(error("\"balancers\": 2, ", "").contains("balancers"));
    assert!(error("\"tip_multiple\": 3", "\"x\": 1").contains("tip_multiple"));
    assert!(error("guarded", "sometimes").contains("sometimes"));
    assert!(error("pushed", "shouted").contains("shouted"));
    assert!(error("\"balancers\": 2", "\"balancers\": 0").contains("balancers"));
    assert!(
        error("\"ramp_time\": 9000", "\"ramp_time\": \"x\"").contains("invariants.ramp_time: invalid type")
    );
    assert!(error("\"objective\": 100", "\"objective\": []").contains("classes[0].objective"));
    assert!(error("\"effect\"", "\"runs_in\": [], \"effect\"").contains("classes.runs_in"));
    assert!(parse(b"{").is_err());
    assert!(parse(format!("{MINIMAL} x").as_bytes()).is_err(), "something follows the settings");
}
