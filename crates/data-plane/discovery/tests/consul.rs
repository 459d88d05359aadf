//! Responses of Consul: parsing of service lists, and the watch.
use discovery::consul::service_list::{EntryMapping, ListKind, ServiceList};
use discovery::consul::watch::{
    Consistency, NextStep, Request, ResponseHead, Watch, WatchIntervals, WatchedService,
};
use discovery::endpoint::{EndpointReport, EndpointState, SourceUpdate};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn mapping() -> EntryMapping {
    let text = |t: &str| t.to_string();
    EntryMapping {
        zone_key: text("zone"),
        kind_key: text("kind"),
        cell_key: text("cell"),
        start_key: text("started_ms"),
        ..EntryMapping::default()
    }
}

/// An entry of `/v1/health/service/:name`, as in the API documentation. `checks` and `service_fields` are appended.
fn entry(id: &str, port: u16, checks: &str, service_fields: &str) -> String {
    format!(
        r#"{{"Node":{{"ID":"40e4a748","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1","TaggedAddresses":{{"lan":"10.1.10.12"}},"Meta":{{"zone":"b"}}}},
        "Service":{{"ID":"{id}","Service":"redis","Tags":["primary"],"Address":"127.0.0.1","TaggedAddresses":{{"wan":{{"address":"198.18.0.1","port":80}}}},
        "Meta":{{"kind":"m2","cell":"3","started_ms":"1700000000000"}},"Port":{port},"Weights":{{"Passing":10,"Warning":1}},"CreateIndex":10,"ModifyIndex":12{service_fields}}},
        "Checks":[{{"Node":"foobar","CheckID":"serfHealth","Name":"Serf Health Status","Status":"passing","ServiceID":""}}{checks}]}}"#
    )
}

fn check(id: &str, status: &str) -> String {
    format!(r#",{{"CheckID":"{id}","Name":"a check","Status":"{status}"}}"#)
}

fn list(entries: &[String]) -> String {
    format!("[{}]", entries.join(","))
}

fn parse_entry(text: &str) -> EndpointReport {
    let list_update =
        ServiceList::new(mapping()).apply(list(&[text.to_string()]).as_bytes(), false).expect("a list");
    let SourceUpdate::Delta(reports, _) = list_update.update else { panic!("{list_update:?}") };
    reports.into_iter().next().unwrap_or_else(|| panic!("{:?}", list_update.entry_errors))
}

#[test]
fn an_entry_is_mapped_to_a_report_with_its_metadata() {
    let report = parse_entry(&entry("redis1", 8000, "", ""));
    assert_eq!((&*report.name, report.addr.to_string().as_str()), ("foobar/redis1", "127.0.0.1:8000"));
    assert_eq!(
        (&*report.zone, &*report.kind, report.cell),
        ("b", "m2", 3),
        "the node's metadata applies where the service has none"
    );
    assert_eq!(
        (report.started_ms, report.registration_index, report.state),
        (Some(1.7e12), 10, EndpointState::Ready)
    );
    let parse_with = |mapping: EntryMapping, text: &str| {
        let list_update =
            ServiceList::new(mapping).apply(list(&[text.to_string()]).as_bytes(), false).expect("a list");
        let SourceUpdate::Delta(reports, _) = list_update.update else { panic!() };
        reports[0].clone()
    };
    let with_name_key = EntryMapping {
        name_key: Some("kind".into()),
        datacentre_prefix: "dc".into(),
        tagged_address: "wan".into(),
        ..mapping()
    };
    let report = parse_with(with_name_key, &entry("redis1", 8000, "", ""));
    assert_eq!((&*report.name, report.addr.to_string().as_str()), ("m2", "198.18.0.1:80"));
    let report = parse_with(
        EntryMapping { datacentre_prefix: "dc".into(), ..mapping() },
        &entry("redis1", 8000, "", ""),
    );
    assert_eq!(&*report.name, "dc1/foobar/redis1");
    // A service without an address has that of its node, which may be an IPv6 address.
    let at_node_address = entry("r", 1, "", "")
        .replace("\"Address\":\"127.0.0.1\"", "\"Address\":\"\"")
        .replace("10.1.10.12\",\"Datacenter", "::1\",\"Datacenter");
    assert_eq!(parse_entry(&at_node_address).addr.to_string(), "[::1]:1");
}

#[test]
fn the_most_severe_check_applies_and_maintenance_or_a_weight_of_0_drain() {
    let state = |checks: &str| parse_entry(&entry("r", 1, checks, "")).state;
    assert_eq!(state(&check("c1", "passing")), EndpointState::Ready);
    assert_eq!(state(&check("c1", "warning")), EndpointState::Ready);
    assert_eq!(state(&(check("c1", "passing") + &check("c2", "critical"))), EndpointState::Unhealthy);
    assert_eq!(state(&check("c1", "something new")), EndpointState::Unhealthy);
    assert_eq!(state(&check("_service_maintenance:r", "critical")), EndpointState::Draining);
    assert_eq!(
        state(&(check("_node_maintenance", "critical") + &check("c", "critical"))),
        EndpointState::Draining
    );
    let without_weight = entry("r", 1, "", "").replace("\"Passing\":10", "\"Passing\":0");
    assert_eq!(parse_entry(&without_weight).state, EndpointState::Draining);
    let with_warning = entry("r", 1, &check("c", "warning"), "").replace("\"Warning\":1", "\"Warning\":0");
    assert_eq!(parse_entry(&with_warning).state, EndpointState::Draining);
}

/// Guards against one badly registered service that hides all others, and against responses that are not lists.
#[test]
fn a_malformed_entry_affects_only_itself() {
    let good = entry("good", 1, "", "");
    for (bad, expected_error) in [
        (entry("bad", 0, "", ""), "port"),
        (entry("bad", 1, "", "").replace("127.0.0.1", "a host"), "IP address"),
        (entry("", 1, "", ""), "service ID is empty"),
    ] {
        let list_update =
            ServiceList::new(mapping()).apply(list(&[bad, good.clone()]).as_bytes(), false).expect("a list");
        let SourceUpdate::Delta(reports, _) = list_update.update else { panic!() };
        assert!(
            reports.len() == 1 && list_update.entry_errors[0].contains(expected_error),
            "{:?}",
            list_update.entry_errors
        );
    }
    // An invalid start time counts as not reported, so that the endpoint counts as cold.
    let invalid_values = entry("r", 1, "", "")
        .replace("1700000000000", "yesterday")
        .replace("\"cell\":\"3\"", "\"cell\":\"-3\"");
    let report = parse_entry(&invalid_values);
    assert_eq!((report.started_ms, report.cell), (None, 0));
    let mut service_list = ServiceList::new(mapping());
    service_list.apply(list(std::slice::from_ref(&good)).as_bytes(), false).expect("a list");
    for invalid_body in ["{}", "[{}]", "[1]", "", "[", &list(&[good.replace("\"Checks\":[", "\"Other\":[")])]
    {
        assert!(service_list.apply(invalid_body.as_bytes(), false).is_err(), "{invalid_body}");
    }
    assert_eq!(service_list.len(), 1, "the list is unchanged");
}

/// Guards against a parsing cost that grows with the length of the list: unchanged entries are not parsed again.
#[test]
fn only_changed_entries_are_parsed_again() {
    let mut service_list = ServiceList::new(mapping());
    let mut entries: Vec<String> = (0..100).map(|k| entry(&format!("r{k}"), 1 + k, "", "")).collect();
    assert_eq!(service_list.apply(list(&entries).as_bytes(), false).expect("a list").parsed_entries, 100);
    entries[7] = entry("r7", 8, &check("c", "critical"), "");
    let removed_entry = entries.remove(9);
    let list_update = service_list.apply(list(&entries).as_bytes(), false).expect("a list");
    let SourceUpdate::Delta(reports, removed) = &list_update.update else { panic!() };
    assert_eq!((list_update.parsed_entries, reports.len(), removed.len()), (1, 1, 1));
    assert_eq!((&*reports[0].name, &*removed[0]), ("foobar/r7", "foobar/r9"));
    entries.push(removed_entry);
    // An entry of which only a check's output has changed is parsed again, and is not an update.
    entries[0] = entries[0]
        .replace("\"Name\":\"Serf Health Status\"", "\"Name\":\"Serf Health Status\",\"Output\":\"x\"");
    let list_update = service_list.apply(list(&entries).as_bytes(), false).expect("a list");
    let SourceUpdate::Delta(reports, removed) = &list_update.update else { panic!() };
    assert_eq!((list_update.parsed_entries, reports.len(), removed.len()), (2, 1, 0));
    let catalogue = r#"[{"ID":"","Node":"n","Address":"127.0.0.9","Datacenter":"dc1","NodeMeta":{},"ServiceID":"s","ServiceName":"x","ServiceAddress":"","ServicePort":9,"ServiceMeta":{"zone":"z"},"ServiceWeights":{"Passing":1,"Warning":1},"CreateIndex":4}]"#;
    let mut service_list = ServiceList::new(EntryMapping { kind: ListKind::Catalogue, ..mapping() });
    let SourceUpdate::Delta(reports, _) =
        service_list.apply(catalogue.as_bytes(), false).expect("a list").update
    else {
        panic!()
    };
    assert_eq!((&*reports[0].name, reports[0].addr.port(), &*reports[0].zone), ("n/s", 9, "z"));
}

fn new_watch(consistency: Consistency, index: Option<u64>) -> Watch {
    let target = WatchedService {
        service: "re dis".into(),
        datacentre: Some("dc1".into()),
        consistency,
        ..WatchedService::default()
    };
    Watch::new(target, mapping(), WatchIntervals::default(), 2, index)
}

fn head(index: u64) -> ResponseHead {
    ResponseHead {
        status: 200,
        index: Some(index),
        known_leader: Some(true),
        last_contact_ms: Some(0),
        ..ResponseHead::default()
    }
}

fn next_request(watch: &mut Watch, now: u64) -> Request {
    match watch.next_step(ms(now), 1.0) {
        NextStep::Call(request) => request,
        NextStep::Wait(until) => panic!("the watch waits until {until:?}"),
    }
}

fn respond(watch: &mut Watch, now: u64, index: u64, ids: &[&str]) -> SourceUpdate {
    let entries: Vec<String> =
        ids.iter().enumerate().map(|(k, id)| entry(id, 1 + k as u16, "", "")).collect();
    watch.on_response(ms(now), &head(index), list(&entries).as_bytes(), 0.5).update
}

fn removed_names(update: SourceUpdate) -> Vec<String> {
    match update {
        SourceUpdate::Delta(_, removed) => removed.iter().map(|name| name.to_string()).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_full_list_is_requested_first_and_then_changes_after_its_index() {
    let mut watch = new_watch(Consistency::Stale, None);
    assert_eq!(
        next_request(&mut watch, 0),
        Request { agent: 0, path: "/v1/health/service/re%20dis?dc=dc1&stale".into(), timeout: ms(2000) }
    );
    assert!(matches!(respond(&mut watch, 10, 40, &["a", "b"]), SourceUpdate::Full(r) if r.len() == 2));
    assert_eq!(
        watch.next_step(ms(11), 1.0),
        NextStep::Wait(ms(110)),
        "frequent changes are reported together"
    );
    let request = next_request(&mut watch, 110);
    assert_eq!(request.path, "/v1/health/service/re%20dis?dc=dc1&stale&index=40&wait=10000ms");
    assert_eq!(request.timeout, ms(2000 + 10_000 + 625), "Consul adds up to a sixteenth");
    // A real removal of many endpoints increases the index and is applied at once, even if the list is empty.
    assert_eq!(removed_names(respond(&mut watch, 120, 41, &[])), ["foobar/a", "foobar/b"]);
}

/// Guards against a pool that is emptied because of a fault of the registry.
#[test]
fn unusable_responses_leave_the_list_unchanged() {
    let mut watch = new_watch(Consistency::Stale, None);
    respond(&mut watch, 0, 40, &["a", "b"]);
    let mut now = 1000;
    let good = list(&[entry("a", 1, "", "")]);
    for (head, body, expected_reason) in [
        (ResponseHead { known_leader: Some(false), ..head(50) }, "[]", "no leader"),
        (ResponseHead { last_contact_ms: Some(5001), ..head(50) }, "[]", "behind the leader"),
        (ResponseHead { filtered: true, ..head(50) }, "[]", "filtered"),
        (ResponseHead { status: 500, ..head(50) }, "[]", "answered 500"),
        (ResponseHead { status: 403, ..head(50) }, "Permission\r\ndenied", "answered 403: Permissiondenied"),
        (head(50), &good[..good.len() / 2], "EOF"),
        (head(50), "{}", "invalid type"),
    ] {
        let SourceUpdate::Unavailable(reason) =
            watch.on_response(ms(now), &head, body.as_bytes(), 0.5).update
        else {
            panic!("{expected_reason}")
        };
        assert!(reason.contains(expected_reason), "{reason}");
        assert!(!next_request(&mut watch, now + 20_000).path.contains("index"), "the full list is requested");
        now += 20_000;
    }
    assert_eq!((watch.endpoint_count(), watch.failures()), (2, 7));
    assert_eq!(
        removed_names(respond(&mut watch, now, 51, &["a"])),
        ["foobar/b"],
        "the next usable response is applied"
    );
}

#[test]
fn after_a_failure_the_next_agent_is_queried_and_after_429_the_same_one_later() {
    let mut watch = new_watch(Consistency::Default, None);
    watch.on_failure(ms(0), "reset", 1.0);
    assert_eq!(watch.next_step(ms(0), 1.0), NextStep::Wait(ms(250)));
    assert_eq!(next_request(&mut watch, 250).agent, 1);
    watch.on_response(
        ms(300),
        &ResponseHead { status: 429, retry_after_secs: Some(3), ..ResponseHead::default() },
        b"",
        1.0,
    );
    assert_eq!(
        watch.next_step(ms(300), 1.0),
        NextStep::Wait(ms(300 + 3000 + 500)),
        "Retry-After with jitter"
    );
    assert_eq!(next_request(&mut watch, 3800).agent, 1);
    // Guards against hundreds of instances that retry at the same time: delays grow, and depend on the random draw.
    let retry_delay = |watch: &mut Watch, draw| {
        watch.on_failure(ms(10_000), "gone", draw);
        match watch.next_step(ms(10_000), 0.0) {
            NextStep::Wait(until) => until - ms(10_000),
            NextStep::Call(_) => Duration::ZERO,
        }
    };
    assert_eq!((retry_delay(&mut watch, 0.0), retry_delay(&mut watch, 1.0)), (ms(500), ms(2000)));
    (0..20).for_each(|_| drop(watch.on_failure(ms(10_000), "gone", 1.0)));
    assert_eq!(retry_delay(&mut watch, 1.0), ms(10_000));
}

/// Guards against a server that lost its data and lists only the few services that have registered again.
#[test]
fn after_an_index_goes_backwards_no_endpoint_is_removed_until_the_regrow_timeout() {
    let mut watch = new_watch(Consistency::Default, None);
    respond(&mut watch, 0, 400, &["a", "b", "c"]);
    assert_eq!(
        removed_names(respond(&mut watch, 1000, 5, &[])),
        [""; 0],
        "the list lacks endpoints, and they stay"
    );
    assert_eq!(watch.endpoint_count(), 3);
    let draining = entry("b", 2, &check("_service_maintenance:b", "critical"), "");
    let SourceUpdate::Delta(reports, removed) =
        watch.on_response(ms(2000), &head(9), list(std::slice::from_ref(&draining)).as_bytes(), 0.5).update
    else {
        panic!()
    };
    assert!(reports[0].state == EndpointState::Draining && removed.is_empty(), "reported states apply");
    // The list is requested again at the end of the timeout even if nothing changes, and counts as complete then.
    let request = next_request(&mut watch, 3000);
    assert!(request.path.ends_with("&index=9&wait=10000ms"), "{}", request.path);
    assert!(next_request(&mut watch, 120_900).path.ends_with("&index=9&wait=100ms"));
    let update = watch.on_response(ms(121_000), &head(9), list(&[draining]).as_bytes(), 0.5).update;
    assert_eq!(removed_names(update), ["foobar/a", "foobar/c"]);
    // A process knows the index of its predecessor.
    let mut successor = new_watch(Consistency::Default, Some(400));
    assert!(
        matches!(respond(&mut successor, 0, 5, &["a"]), SourceUpdate::Delta(..)),
        "no endpoint is removed"
    );
}

#[test]
fn without_an_index_the_list_is_requested_once_a_second() {
    let mut watch = new_watch(Consistency::Consistent, None);
    for index in [None, Some(0)] {
        let head = ResponseHead { index, ..head(0) };
        watch.on_response(ms(0), &head, b"[]", 0.5);
        assert_eq!(watch.next_step(ms(0), 1.0), NextStep::Wait(ms(1000)));
        assert_eq!(next_request(&mut watch, 1000).path, "/v1/health/service/re%20dis?dc=dc1&consistent");
    }
}
