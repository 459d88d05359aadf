use super::*;

fn report(violations: Vec<Violation>) -> Report {
    let (length, view) = (Duration::from_secs(20), View::default());
    Report { length, view, memory: Vec::new(), percentiles: [1.0; 4], violations }
}

/// Guards against a violation that the exit status or one form of the report does not show.
#[test]
fn a_violation_is_shown_in_text_json_and_status() {
    let fault =
        Violation { kind: ViolationKind::UnsafeRepeated, time: Duration::ZERO, subject: "request r".into() };
    let bad = report(vec![fault]);
    assert!(bad.has_violations() && bad.text().contains("no effect twice: BROKEN 1 times"));
    let json: serde_json::Value = serde_json::from_str(&bad.json()).expect("JSON");
    assert_eq!(
        (&json["requests"]["run_twice"], &json["violations"]["NoEffectTwice"]),
        (&1.into(), &1.into())
    );
    let good = report(Vec::new());
    assert!(!good.has_violations() && !good.text().contains("BROKEN"));
    assert!(good.text().lines().all(|line| line.chars().count() < 80));
}
