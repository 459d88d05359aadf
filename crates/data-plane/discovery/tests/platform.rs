//! Responses of the platform's discovery service, and the bounds of its staleness settings.
use discovery::endpoint::{EndpointState, Name, SourceUpdate};
use discovery::platform::parse_response;
use discovery::platform::staleness::{
    StalenessSettings, ADDRESS_CHANGE_DEADLINE, AFTER_WAIT_DEADLINE, SILENT_WATCH_DEADLINE, SOCKET_SLACK,
};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_malformed_entry_affects_only_itself_and_leaving_endpoints_are_drained_or_removed() {
    let text = r#"{"version":4,"full":false,"servers":[
        {"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2","cell":3,"state":"leaving","weight":1.0,"started_ms":7},
        {"id":"s-2","addr":"127.0.0.1:11","state":"left"}]}"#;
    let parsed = |text: &str| {
        let response = parse_response(text.as_bytes()).expect("a list");
        let SourceUpdate::Delta(reports, removed) = response.update else { panic!("{:?}", response.update) };
        let states = reports.iter().map(|r| (r.name.to_string(), r.state, r.started_ms));
        (states.collect::<Vec<_>>(), removed, response.entry_errors.len())
    };
    let (leaving, left) = ((String::from("s-1"), EndpointState::Draining, Some(7.0)), Name::from("s-2"));
    assert_eq!(parsed(text), (vec![leaving.clone()], vec![left.clone()], 0));
    // An entry with the state `left` needs only its id; missing fields of another entry make that entry unusable.
    let bare = text.replace("\"addr\":\"127.0.0.1:11\",", "");
    assert_eq!(parsed(&bare), (vec![leaving.clone()], vec![left.clone()], 0));
    for (from, to, expected) in [
        ("left", "odd", (vec![leaving.clone()], vec![], 1)),
        ("\"s-2\"", "\"\"", (vec![leaving.clone()], vec![], 1)),
        ("\"s-2\"", "{}", (vec![leaving.clone()], vec![], 1)),
        (":7}", ":-1}", (vec![], vec![Name::from("s-1"), left.clone()], 1)),
        ("127.0.0.1:10", "x", (vec![], vec![Name::from("s-1"), left.clone()], 1)),
        ("127.0.0.1:11", "x", (vec![leaving.clone()], vec![left.clone()], 0)),
    ] {
        assert_eq!(parsed(&text.replace(from, to)), expected, "{from} replaced by {to}");
    }
    assert!(parse_response(text.replace("]}", "").as_bytes()).is_err(), "a truncated response");
}

/// Checks the table of [`discovery::platform::staleness`] for several values of the grace: after a silent watch has timed
/// out, at least half of the open timeout is left to reopen it.
#[test]
fn the_timing_meets_the_staleness_bounds() {
    for grace in [0, 50, 200, 1000, 5000] {
        let queried = StalenessSettings { lists_are_pushed: false, drain_grace: ms(grace) };
        let timing = queried.watch_timing();
        let read_deadline = queried.silent_read_deadline(timing.max_wait);
        assert!(
            timing.max_wait + AFTER_WAIT_DEADLINE <= SILENT_WATCH_DEADLINE,
            "the wait does not delay the time at which a change counts as known"
        );
        assert!(
            timing.max_wait + timing.response_timeout + timing.initial_backoff + timing.open_timeout / 2
                <= read_deadline,
            "{grace}: {timing:?}"
        );
        assert!(
            timing.open_timeout + timing.initial_backoff + timing.open_timeout / 2 - ms(500) <= read_deadline,
            "{grace}: {timing:?}"
        );
        assert!(timing.max_backoff <= ADDRESS_CHANGE_DEADLINE / 4);
        let pushed = StalenessSettings { lists_are_pushed: true, ..queried };
        let timing = pushed.watch_timing();
        assert!(
            timing.max_wait + timing.response_timeout + timing.initial_backoff
                < SILENT_WATCH_DEADLINE + SOCKET_SLACK
        );
        if grace >= 200 {
            assert!(
                timing.max_wait + timing.response_timeout + timing.initial_backoff
                    < queried.drain_grace + SOCKET_SLACK,
                "{grace}: {timing:?}"
            );
            assert!(
                timing.open_timeout + timing.max_backoff < queried.drain_grace + SOCKET_SLACK,
                "{grace}: {timing:?}"
            );
        }
    }
}
