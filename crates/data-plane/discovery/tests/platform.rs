//! Responses of the platform's discovery service, and the bounds of its staleness settings.
use discovery::endpoint::{EndpointState, Name, SourceUpdate};
use discovery::platform::parse_response;
use discovery::platform::staleness::{
    StalenessSettings, ADDRESS_CHANGE_DEADLINE, AFTER_WAIT_DEADLINE, SILENT_WATCH_DEADLINE, SOCKET_SLACK,
};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_bad_entry_costs_itself_alone_and_what_leaves_leaves() {
    let text = r#"{"version":4,"full":false,"servers":[
        {"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2","cell":3,"state":"leaving","weight":1.0,"started_ms":7},
        {"id":"s-2","addr":"127.0.0.1:11","state":"left"}]}"#;
    let told = |text: &str| {
        let answer = parse_response(text.as_bytes()).expect("a list");
        let SourceUpdate::Delta(reports, gone) = answer.update else { panic!("{:?}", answer.update) };
        let stands = reports.iter().map(|r| (r.name.to_string(), r.state, r.started_ms));
        (stands.collect::<Vec<_>>(), gone, answer.entry_errors.len())
    };
    let (leaves, left) = ((String::from("s-1"), EndpointState::Draining, Some(7.0)), Name::from("s-2"));
    assert_eq!(told(text), (vec![leaves.clone()], vec![left.clone()], 0));
    // What `left` needs is enough, and what is left out of an entry of another kind is a fault of its own.
    let bare = text.replace("\"addr\":\"127.0.0.1:11\",", "");
    assert_eq!(told(&bare), (vec![leaves.clone()], vec![left.clone()], 0));
    for (from, to, known) in [
        ("left", "odd", (vec![leaves.clone()], vec![], 1)),
        ("\"s-2\"", "\"\"", (vec![leaves.clone()], vec![], 1)),
        ("\"s-2\"", "{}", (vec![leaves.clone()], vec![], 1)),
        (":7}", ":-1}", (vec![], vec![Name::from("s-1"), left.clone()], 1)),
        ("127.0.0.1:10", "x", (vec![], vec![Name::from("s-1"), left.clone()], 1)),
        ("127.0.0.1:11", "x", (vec![leaves.clone()], vec![left.clone()], 0)),
    ] {
        assert_eq!(told(&text.replace(from, to)), known, "{from} for {to}");
    }
    assert!(parse_response(text.replace("]}", "").as_bytes()).is_err(), "cut off");
}

/// The table above, for any grace: a silent watch is given up and opened again with half of the time left.
#[test]
fn every_constant_fits_into_what_counts_as_told() {
    for grace in [0, 50, 200, 1000, 5000] {
        let asked = StalenessSettings { lists_are_pushed: false, drain_grace: ms(grace) };
        let plan = asked.watch_timing();
        let by = asked.silent_read_deadline(plan.max_wait);
        assert!(
            plan.max_wait + AFTER_WAIT_DEADLINE <= SILENT_WATCH_DEADLINE,
            "the wait does not put off what counts"
        );
        assert!(
            plan.max_wait + plan.response_timeout + plan.initial_backoff + plan.open_timeout / 2 <= by,
            "{grace}: {plan:?}"
        );
        assert!(
            plan.open_timeout + plan.initial_backoff + plan.open_timeout / 2 - ms(500) <= by,
            "{grace}: {plan:?}"
        );
        assert!(plan.max_backoff <= ADDRESS_CHANGE_DEADLINE / 4);
        let pushed = StalenessSettings { lists_are_pushed: true, ..asked };
        let plan = pushed.watch_timing();
        assert!(
            plan.max_wait + plan.response_timeout + plan.initial_backoff
                < SILENT_WATCH_DEADLINE + SOCKET_SLACK
        );
        if grace >= 200 {
            assert!(
                plan.max_wait + plan.response_timeout + plan.initial_backoff
                    < asked.drain_grace + SOCKET_SLACK,
                "{grace}: {plan:?}"
            );
            assert!(
                plan.open_timeout + plan.max_backoff < asked.drain_grace + SOCKET_SLACK,
                "{grace}: {plan:?}"
            );
        }
    }
}
