//! Tests of the stand-ins themselves: the properties that other tests rely on.
use std::io::{BufReader, Write};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use testkit::caller::{Caller, Client, Operation, Outcome};
use testkit::discovery::{ListedUpstream, Registry};
use testkit::ledger::{Effect, Entry, Ledger, RuleParameters, ViolationKind};
use testkit::message::{get, ok_response, read};
use testkit::script::Script;
use testkit::upstream::{ok, status, Step, Upstream, UpstreamOptions};

fn kept(ledger: &Arc<Ledger>, script: Script) -> Upstream {
    Upstream::with(
        UpstreamOptions { ledger: Some(ledger.clone()), ..UpstreamOptions::named("s-1") },
        script.into_behaviour(),
    )
}

fn caller(ledger: &Arc<Ledger>, upstream: &Upstream) -> Caller {
    let mut caller = Caller::new(ledger.clone(), 3);
    caller.set_balancer("n1", upstream.addr);
    caller
}

fn operation(effect: Effect) -> Operation {
    Operation { effect, ..Operation::default() }
}

#[test]
fn upstreams_that_share_a_script_consume_its_steps_in_order() {
    let script = Script::new().times(2, || ok("a")).times(1, || status("500 Odd")).into_behaviour();
    let (one, two) = (Upstream::start(script.clone()), Upstream::start(script));
    let call = |upstream: &Upstream| {
        Client::connect(upstream.addr).expect("connects").call(&get("r", "1m")).status()
    };
    assert_eq!([call(&one), call(&two), call(&one), call(&two)], [200, 200, 500, 500]);
}

#[test]
fn callers_retry_only_what_may_be_retried() {
    let ledger = Arc::new(Ledger::new());
    let upstream = kept(&ledger, Script::new().times(1, || status("500 Odd")).forever(|| ok("x")));
    let done = caller(&ledger, &upstream).call(&operation(Effect::Unsafe));
    assert_eq!(
        (done.outcome, done.attempts),
        (Outcome::Failed, 1),
        "an unsafe request is not retried after a failure"
    );

    let upstream = kept(&ledger, Script::new().times(2, || status("502 Odd")).forever(|| ok("x")));
    let done = caller(&ledger, &upstream).call(&operation(Effect::Keyed));
    assert!(matches!(done.outcome, Outcome::Served { .. }));
    let requests: Vec<_> = (0..3).map(|_| upstream.next_request()).collect();
    let field =
        |name: &str| requests.iter().map(|r| r.header(name).unwrap_or("").to_string()).collect::<Vec<_>>();
    let (ids, keys) = (field("req-id"), field("idempotency-key"));
    assert!(ids[0] != ids[1] && ids[1] != ids[2], "a new id with every attempt");
    assert!(keys[0] == keys[1] && keys[1] == keys[2] && !keys[0].is_empty(), "the same key for all attempts");

    let upstream = kept(&ledger, Script::new().forever(Step::declined));
    let done = caller(&ledger, &upstream).call(&operation(Effect::Unsafe));
    assert_eq!((done.outcome, done.attempts), (Outcome::Refused, 4), "a first attempt and three retries");
    assert_eq!(ledger.check(&RuleParameters::default()), []);
}

/// Guards against a caller that sends a request on a connection whose close was announced with the previous
/// answer, and then counts the missing answer as lost.
#[test]
fn a_caller_with_readiness_check_avoids_a_connection_that_closes() {
    let ledger = Arc::new(Ledger::new());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    let old_and_new = thread::spawn(move || {
        // The old process announces the close and closes; the new one serves.
        for close in ["Connection: close\r\n", ""] {
            let mut stream = BufReader::new(listener.accept().expect("a caller").0);
            read(&mut stream).expect("a readiness request");
            let ready = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 0\r\n\r\n");
            stream.get_mut().write_all(ready.as_bytes()).expect("writes");
            if close.is_empty() {
                read(&mut stream).expect("a request");
                stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("writes");
            }
        }
    });
    let mut caller = Caller::new(ledger.clone(), 3).with_readiness_check();
    caller.set_balancer("n1", addr);
    let done = caller.call(&operation(Effect::Unsafe));
    assert!(matches!((done.outcome, done.attempts), (Outcome::Served { .. }, 1)), "{done:?}");
    old_and_new.join().expect("no panic");
    assert!(ledger.check(&RuleParameters::default()).iter().all(|v| v.kind != ViolationKind::AnswerLost));
}

/// Guards against counting a connection that was closed between two requests as a lost answer.
#[test]
fn a_request_on_a_connection_closed_meanwhile_is_sent_again() {
    let ledger = Arc::new(Ledger::new());
    let close = || Step::AnswerAndClose(ok_response("x"));
    let upstream = kept(&ledger, Script::new().times(1, close).forever(|| ok("x")));
    let mut caller = caller(&ledger, &upstream);
    for _ in 0..2 {
        let done = caller.call(&operation(Effect::Unsafe));
        assert!(matches!((done.outcome, done.attempts), (Outcome::Served { .. }, 1)), "{done:?}");
    }
    assert_eq!(ledger.check(&RuleParameters::default()), []);
}

#[test]
fn a_missing_answer_counts_as_lost() {
    let ledger = Arc::new(Ledger::new());
    let upstream = kept(&ledger, Script::new().forever(|| Step::Silent));
    let brief = Operation { deadline: Duration::from_millis(50), ..operation(Effect::Unsafe) };
    let done = caller(&ledger, &upstream).call(&brief);
    assert_eq!(done.outcome, Outcome::Unanswered);
    assert_eq!(ledger.check(&RuleParameters::default())[0].kind, ViolationKind::AnswerLost);
}

#[test]
fn a_killed_upstream_resets_and_refuses_connections() {
    let upstream = Upstream::start(|_| Step::Silent);
    let mut client = Client::connect(upstream.addr).expect("connects");
    client.send(&get("r", "1m"));
    upstream.next_request();
    upstream.kill();
    assert!(client.answer().is_none());
    assert!(Client::connect(upstream.addr).is_none(), "no process listens");
}

#[test]
fn requests_beyond_the_queue_are_declined_without_execution() {
    let ledger = Arc::new(Ledger::new());
    let options = UpstreamOptions { ledger: Some(ledger.clone()), queue: 0, ..UpstreamOptions::named("s-1") };
    let upstream = Upstream::with(options, |_| Step::Work(Duration::from_millis(300), ok_response("x")));
    let mut first = Client::connect(upstream.addr).expect("connects");
    first.send(&get("r1", "1m"));
    let started = std::time::Instant::now();
    while upstream.work_in_progress() == 0 {
        assert!(started.elapsed() < testkit::TEST_TIMEOUT);
        thread::yield_now();
    }
    let second = Client::connect(upstream.addr).expect("connects").call(&get("r2", "1m"));
    assert_eq!((second.status(), second.header("srv-declined")), (503, Some("1")));
    assert_eq!(first.answer().expect("an answer").status(), 200);
    let ran = |r: &testkit::ledger::Record| matches!(r.entry, Entry::Executed { .. });
    assert_eq!(ledger.since(0).iter().filter(|r| ran(r)).count(), 1);
}

#[test]
fn a_registry_answers_full_lists_and_watches() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let listed = |state| ListedUpstream { addr, group: 2, state, started_ms: 5 };
    registry.set("s-1", listed("active"));
    registry.set("s-2", listed("leaving"));
    let asked = registry.open_endpoint("n1").expect("a port");
    let call = |path: &str| {
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        String::from_utf8(Client::connect(asked).expect("connects").call(&text).body).expect("text")
    };
    let whole = call("/api/targets");
    assert!(whole.starts_with(r#"{"version":2,"full":true,"servers":[{"id":"s-1","#), "{whole}");
    assert!(call("/api/targets?since=2&timeout_ms=1").contains(r#""full":false,"servers":[]"#));
    let changes = thread::scope(|scope| {
        let watch = scope.spawn(|| call("/api/targets?since=2&timeout_ms=20000"));
        registry.state("s-1", "left");
        watch.join().expect("no panic")
    });
    assert!(changes.contains(r#""version":3"#) && changes.contains(r#""state":"left""#), "{changes}");
    assert!(!changes.contains("s-2"), "only what changed");
    assert!(!call("/api/targets").contains("s-1"), "an upstream that has left is on no full list");
    let told = |r: &testkit::ledger::Record| matches!(&r.entry, Entry::Notified { balancer, .. } if balancer == "n1");
    // Notifications are recorded after the answer has been written, so a caller may receive its answer
    // earlier.
    let started = std::time::Instant::now();
    while ledger.since(0).iter().filter(|r| told(r)).count() < 4 {
        assert!(started.elapsed() < testkit::TEST_TIMEOUT, "{:?}", ledger.since(0));
        thread::yield_now();
    }
}

#[test]
fn a_caller_waits_as_long_as_its_request_states_however_long_its_connection_took() {
    let ledger = Arc::new(Ledger::new());
    let upstream = Upstream::start(|message| {
        let time = if message.path() == "/-/ready" { 800 } else { 500 };
        Step::Work(Duration::from_millis(time), ok_response("x"))
    });
    let mut caller = caller(&ledger, &upstream).with_readiness_check();
    let deadline = Duration::from_secs(10);
    let operation = Operation { deadline, attempt_fraction: 0.1, retries: 0, ..operation(Effect::Safe) };
    assert!(matches!(caller.call(&operation).outcome, Outcome::Served { .. }));
}
