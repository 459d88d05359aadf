//! What answers of Consul count as: lists entry by entry, and the watch answer by answer.
use discovery::consul::service_list::{EntryMapping, ListKind, ServiceList};
use discovery::consul::watch::{Consistency, NextStep, Request, ResponseHead, Target, Watch, WatchIntervals};
use discovery::endpoint::{EndpointReport, EndpointState, SourceUpdate};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn reading() -> EntryMapping {
    let text = |t: &str| t.to_string();
    EntryMapping {
        zone_key: text("zone"),
        kind_key: text("kind"),
        cell_key: text("cell"),
        start_key: text("started_ms"),
        ..EntryMapping::default()
    }
}

/// An entry of `/v1/health/service/:name`, in the form that the API's page shows.
fn entry(id: &str, port: u16, checks: &str, more: &str) -> String {
    format!(
        r#"{{"Node":{{"ID":"40e4a748","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1","TaggedAddresses":{{"lan":"10.1.10.12"}},"Meta":{{"zone":"b"}}}},
        "Service":{{"ID":"{id}","Service":"redis","Tags":["primary"],"Address":"127.0.0.1","TaggedAddresses":{{"wan":{{"address":"198.18.0.1","port":80}}}},
        "Meta":{{"kind":"m2","cell":"3","started_ms":"1700000000000"}},"Port":{port},"Weights":{{"Passing":10,"Warning":1}},"CreateIndex":10,"ModifyIndex":12{more}}},
        "Checks":[{{"Node":"foobar","CheckID":"serfHealth","Name":"Serf Health Status","Status":"passing","ServiceID":""}}{checks}]}}"#
    )
}

fn check(id: &str, status: &str) -> String {
    format!(r#",{{"CheckID":"{id}","Name":"a check","Status":"{status}"}}"#)
}

fn list(entries: &[String]) -> String {
    format!("[{}]", entries.join(","))
}

fn read_one(text: &str) -> EndpointReport {
    let read =
        ServiceList::new(reading()).apply(list(&[text.to_string()]).as_bytes(), false).expect("a list");
    let SourceUpdate::Delta(reports, _) = read.update else { panic!("{read:?}") };
    reports.into_iter().next().unwrap_or_else(|| panic!("{:?}", read.entry_errors))
}

#[test]
fn an_entry_becomes_a_member_with_its_metadata() {
    let r = read_one(&entry("redis1", 8000, "", ""));
    assert_eq!((&*r.name, r.addr.to_string().as_str()), ("foobar/redis1", "127.0.0.1:8000"));
    assert_eq!(
        (&*r.zone, &*r.kind, r.cell),
        ("b", "m2", 3),
        "the node's metadata where the service has none"
    );
    assert_eq!((r.started_ms, r.registration_index, r.state), (Some(1.7e12), 10, EndpointState::Ready));
    let with = |reading: EntryMapping, text: &str| {
        let read =
            ServiceList::new(reading).apply(list(&[text.to_string()]).as_bytes(), false).expect("a list");
        let SourceUpdate::Delta(reports, _) = read.update else { panic!() };
        reports[0].clone()
    };
    let named = EntryMapping {
        name_key: Some("kind".into()),
        datacentre_prefix: "dc".into(),
        tagged_address: "wan".into(),
        ..reading()
    };
    let r = with(named, &entry("redis1", 8000, "", ""));
    assert_eq!((&*r.name, r.addr.to_string().as_str()), ("m2", "198.18.0.1:80"));
    let r =
        with(EntryMapping { datacentre_prefix: "dc".into(), ..reading() }, &entry("redis1", 8000, "", ""));
    assert_eq!(&*r.name, "dc1/foobar/redis1");
    // Without an address of its own it is at its node's; IPv6 as well.
    let six = entry("r", 1, "", "")
        .replace("\"Address\":\"127.0.0.1\"", "\"Address\":\"\"")
        .replace("10.1.10.12\",\"Datacenter", "::1\",\"Datacenter");
    assert_eq!(read_one(&six).addr.to_string(), "[::1]:1");
}

#[test]
fn the_worst_check_counts_and_maintenance_and_a_weight_of_nothing_drain() {
    let standing = |checks: &str| read_one(&entry("r", 1, checks, "")).state;
    assert_eq!(standing(&check("c1", "passing")), EndpointState::Ready);
    assert_eq!(standing(&check("c1", "warning")), EndpointState::Ready);
    assert_eq!(standing(&(check("c1", "passing") + &check("c2", "critical"))), EndpointState::Unhealthy);
    assert_eq!(standing(&check("c1", "something new")), EndpointState::Unhealthy);
    assert_eq!(standing(&check("_service_maintenance:r", "critical")), EndpointState::Draining);
    assert_eq!(
        standing(&(check("_node_maintenance", "critical") + &check("c", "critical"))),
        EndpointState::Draining
    );
    let weightless = entry("r", 1, "", "").replace("\"Passing\":10", "\"Passing\":0");
    assert_eq!(read_one(&weightless).state, EndpointState::Draining);
    let warned = entry("r", 1, &check("c", "warning"), "").replace("\"Warning\":1", "\"Warning\":0");
    assert_eq!(read_one(&warned).state, EndpointState::Draining);
}

/// Guards against one badly registered nodo that blinds the balancer to all others, and against a list that is none.
#[test]
fn what_an_owner_wrote_wrongly_hurts_its_entry_only() {
    let good = entry("good", 1, "", "");
    for (bad, what) in [
        (entry("bad", 0, "", ""), "port"),
        (entry("bad", 1, "", "").replace("127.0.0.1", "a host"), "IP address"),
        (entry("", 1, "", ""), "service ID is empty"),
    ] {
        let read =
            ServiceList::new(reading()).apply(list(&[bad, good.clone()]).as_bytes(), false).expect("a list");
        let SourceUpdate::Delta(reports, _) = read.update else { panic!() };
        assert!(reports.len() == 1 && read.entry_errors[0].contains(what), "{:?}", read.entry_errors);
    }
    // A start that is none counts as not stated, and that is cold.
    let odd = entry("r", 1, "", "")
        .replace("1700000000000", "yesterday")
        .replace("\"cell\":\"3\"", "\"cell\":\"-3\"");
    let r = read_one(&odd);
    assert_eq!((r.started_ms, r.cell), (None, 0));
    let mut l = ServiceList::new(reading());
    l.apply(list(std::slice::from_ref(&good)).as_bytes(), false).expect("a list");
    for none in ["{}", "[{}]", "[1]", "", "[", &list(&[good.replace("\"Checks\":[", "\"Other\":[")])] {
        assert!(l.apply(none.as_bytes(), false).is_err(), "{none}");
    }
    assert_eq!(l.len(), 1, "the list stands");
}

/// Guards against a cost that grows with the list: what has not changed is not read again.
#[test]
fn only_what_changed_is_read_again() {
    let mut l = ServiceList::new(reading());
    let mut all: Vec<String> = (0..100).map(|k| entry(&format!("r{k}"), 1 + k, "", "")).collect();
    assert_eq!(l.apply(list(&all).as_bytes(), false).expect("a list").parsed_entries, 100);
    all[7] = entry("r7", 8, &check("c", "critical"), "");
    let lost = all.remove(9);
    let read = l.apply(list(&all).as_bytes(), false).expect("a list");
    let SourceUpdate::Delta(reports, gone) = &read.update else { panic!() };
    assert_eq!((read.parsed_entries, reports.len(), gone.len()), (1, 1, 1));
    assert_eq!((&*reports[0].name, &*gone[0]), ("foobar/r7", "foobar/r9"));
    all.push(lost);
    // Only a check's output has changed: read again, and no news.
    all[0] =
        all[0].replace("\"Name\":\"Serf Health Status\"", "\"Name\":\"Serf Health Status\",\"Output\":\"x\"");
    let read = l.apply(list(&all).as_bytes(), false).expect("a list");
    let SourceUpdate::Delta(reports, gone) = &read.update else { panic!() };
    assert_eq!((read.parsed_entries, reports.len(), gone.len()), (2, 1, 0));
    let catalogue = r#"[{"ID":"","Node":"n","Address":"127.0.0.9","Datacenter":"dc1","NodeMeta":{},"ServiceID":"s","ServiceName":"x","ServiceAddress":"","ServicePort":9,"ServiceMeta":{"zone":"z"},"ServiceWeights":{"Passing":1,"Warning":1},"CreateIndex":4}]"#;
    let mut l = ServiceList::new(EntryMapping { kind: ListKind::Catalogue, ..reading() });
    let SourceUpdate::Delta(reports, _) = l.apply(catalogue.as_bytes(), false).expect("a list").update else {
        panic!()
    };
    assert_eq!((&*reports[0].name, reports[0].addr.port(), &*reports[0].zone), ("n/s", 9, "z"));
}

fn watch(consistency: Consistency, index: Option<u64>) -> Watch {
    let target =
        Target { service: "re dis".into(), datacentre: Some("dc1".into()), consistency, ..Target::default() };
    Watch::new(target, reading(), WatchIntervals::default(), 2, index)
}

fn head(index: u64) -> ResponseHead {
    ResponseHead {
        status: 200,
        index: Some(index),
        known_leader: Some(true),
        last_contact: Some(0),
        ..ResponseHead::default()
    }
}

fn asks(w: &mut Watch, now: u64) -> Request {
    match w.next_step(ms(now), 1.0) {
        NextStep::Call(ask) => ask,
        NextStep::Wait(until) => panic!("it waits until {until:?}"),
    }
}

fn tells(w: &mut Watch, now: u64, index: u64, ids: &[&str]) -> SourceUpdate {
    let entries: Vec<String> =
        ids.iter().enumerate().map(|(k, id)| entry(id, 1 + k as u16, "", "")).collect();
    w.on_response(ms(now), &head(index), list(&entries).as_bytes(), 0.5).update
}

fn gone(news: SourceUpdate) -> Vec<String> {
    match news {
        SourceUpdate::Delta(_, gone) => gone.iter().map(|n| n.to_string()).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn it_asks_for_the_list_then_waits_for_what_follows_its_index() {
    let mut w = watch(Consistency::Stale, None);
    assert_eq!(
        asks(&mut w, 0),
        Request { agent: 0, path: "/v1/health/service/re%20dis?dc=dc1&stale".into(), timeout: ms(2000) }
    );
    assert!(matches!(tells(&mut w, 10, 40, &["a", "b"]), SourceUpdate::Full(r) if r.len() == 2));
    assert_eq!(
        w.next_step(ms(11), 1.0),
        NextStep::Wait(ms(110)),
        "changes that come thick and fast are told together"
    );
    let ask = asks(&mut w, 110);
    assert_eq!(ask.path, "/v1/health/service/re%20dis?dc=dc1&stale&index=40&wait=10000ms");
    assert_eq!(ask.timeout, ms(2000 + 10_000 + 625), "Consul adds up to a sixteenth");
    // A true mass removal moves the index on, and is obeyed at once; empty lists too.
    assert_eq!(gone(tells(&mut w, 120, 41, &[])), ["foobar/a", "foobar/b"]);
}

/// Guards against emptying the pool because the registry is in trouble.
#[test]
fn what_is_no_news_leaves_the_list_as_it_was() {
    let mut w = watch(Consistency::Stale, None);
    tells(&mut w, 0, 40, &["a", "b"]);
    let mut now = 1000;
    let good = list(&[entry("a", 1, "", "")]);
    for (head, body, why) in [
        (ResponseHead { known_leader: Some(false), ..head(50) }, "[]", "no leader"),
        (ResponseHead { last_contact: Some(5001), ..head(50) }, "[]", "behind the leader"),
        (ResponseHead { filtered: true, ..head(50) }, "[]", "filtered"),
        (ResponseHead { status: 500, ..head(50) }, "[]", "answered 500"),
        (ResponseHead { status: 403, ..head(50) }, "Permission\r\ndenied", "answered 403: Permissiondenied"),
        (head(50), &good[..good.len() / 2], "EOF"),
        (head(50), "{}", "invalid type"),
    ] {
        let SourceUpdate::Unavailable(said) = w.on_response(ms(now), &head, body.as_bytes(), 0.5).update
        else {
            panic!("{why}")
        };
        assert!(said.contains(why), "{said}");
        assert!(!asks(&mut w, now + 20_000).path.contains("index"), "the list is asked for anew");
        now += 20_000;
    }
    assert_eq!((w.endpoint_count(), w.failures()), (2, 7));
    assert_eq!(gone(tells(&mut w, now, 51, &["a"])), ["foobar/b"], "and then it counts again");
}

#[test]
fn after_a_failure_the_next_agent_is_asked_and_after_429_the_same_one_later() {
    let mut w = watch(Consistency::Default, None);
    w.on_failure(ms(0), "reset", 1.0);
    assert_eq!(w.next_step(ms(0), 1.0), NextStep::Wait(ms(250)));
    assert_eq!(asks(&mut w, 250).agent, 1);
    w.on_response(
        ms(300),
        &ResponseHead { status: 429, retry_after: Some(3), ..ResponseHead::default() },
        b"",
        1.0,
    );
    assert_eq!(w.next_step(ms(300), 1.0), NextStep::Wait(ms(300 + 3000 + 500)), "and spread a little");
    assert_eq!(asks(&mut w, 3800).agent, 1);
    // Guards against hundreds that come back at once: the pauses grow, and differ by the draw.
    let pause = |w: &mut Watch, draw| {
        w.on_failure(ms(10_000), "gone", draw);
        match w.next_step(ms(10_000), 0.0) {
            NextStep::Wait(until) => until - ms(10_000),
            NextStep::Call(_) => Duration::ZERO,
        }
    };
    assert_eq!((pause(&mut w, 0.0), pause(&mut w, 1.0)), (ms(500), ms(2000)));
    (0..20).for_each(|_| drop(w.on_failure(ms(10_000), "gone", 1.0)));
    assert_eq!(pause(&mut w, 1.0), ms(10_000));
}

/// Guards against a server that has lost its data and tells of the few who have registered again as of all there are.
#[test]
fn an_index_that_goes_backwards_takes_nobody_out_until_the_list_has_regrown() {
    let mut w = watch(Consistency::Default, None);
    tells(&mut w, 0, 400, &["a", "b", "c"]);
    assert_eq!(gone(tells(&mut w, 1000, 5, &[])), [""; 0], "nobody is named, and that is no statement");
    assert_eq!(w.endpoint_count(), 3);
    let drains = entry("b", 2, &check("_service_maintenance:b", "critical"), "");
    let SourceUpdate::Delta(reports, gone_now) =
        w.on_response(ms(2000), &head(9), list(std::slice::from_ref(&drains)).as_bytes(), 0.5).update
    else {
        panic!()
    };
    assert!(reports[0].state == EndpointState::Draining && gone_now.is_empty(), "but what it says binds");
    // Asked for again when the wait is over, though nothing changes; then the list counts whole.
    let ask = asks(&mut w, 3000);
    assert!(ask.path.ends_with("&index=9&wait=10000ms"), "{}", ask.path);
    assert!(asks(&mut w, 120_900).path.ends_with("&index=9&wait=100ms"));
    let news = w.on_response(ms(121_000), &head(9), list(&[drains]).as_bytes(), 0.5).update;
    assert_eq!(gone(news), ["foobar/a", "foobar/c"]);
    // A process that starts again knows how far the last one had come.
    let mut next = watch(Consistency::Default, Some(400));
    assert!(matches!(tells(&mut next, 0, 5, &["a"]), SourceUpdate::Delta(..)), "and takes nobody out either");
}

#[test]
fn without_an_index_it_asks_once_a_second() {
    let mut w = watch(Consistency::Consistent, None);
    for index in [None, Some(0)] {
        let head = ResponseHead { index, ..head(0) };
        w.on_response(ms(0), &head, b"[]", 0.5);
        assert_eq!(w.next_step(ms(0), 1.0), NextStep::Wait(ms(1000)));
        assert_eq!(asks(&mut w, 1000).path, "/v1/health/service/re%20dis?dc=dc1&consistent");
    }
}
