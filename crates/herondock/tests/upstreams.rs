//! Malformed or unexpected answers of upstreams. Each test guards against one way to assign or judge them wrongly.
mod common;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Asserts that this answer counts as a failed attempt that may have run: a request that must not run twice is not retried,
/// its caller gets 502, and the connection to the upstream is closed.
fn assert_failed_attempt(answer: &str) {
    let text = answer.to_string();
    let upstream = Upstream::start(move |m| match m.header("req-id") {
        Some("bad") => Step::Answer(text.clone()),
        _ => ok("good"),
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&pay("bad", "15000m")).status(), 502, "{answer:.200}");
    assert_eq!(client.call(&pay("next", "15000m")).body, b"good", "{answer:.200}");
    upstream.wait_for_close();
}

#[test]
fn answers_without_an_unambiguous_end_are_failed_attempts() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "\u{1}\u{2} noise \r\n\r\n",
    ] {
        assert_failed_attempt(answer);
    }
    assert_failed_attempt(&format!("HTTP/1.1 200 OK\r\n{}", "X-A: b\r\n".repeat(5000)));
    assert_failed_attempt(&format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(40_000)));
}

/// Largest body of an answer.
const MAX_BODY: usize = 64 << 10;

/// Guards against answers that are thrown away because their end is that of the connection: the request has run, and its
/// caller would get 502.
#[test]
fn whole_answers_without_a_length_are_forwarded() {
    let largest = "x".repeat(MAX_BODY);
    for head in ["HTTP/1.1 200 OK\r\nConnection: close", "HTTP/1.1 200 OK\r\nX-A: b", "HTTP/1.0 200 OK"] {
        for body in ["done", "", &largest] {
            let text = format!("{head}\r\n\r\n{body}");
            let upstream = Upstream::start(move |_| Step::AnswerAndClose(text.clone()));
            let node = with(&[upstream.addr]);
            let mut client = node.client();
            for id in ["r1", "r2"] {
                let answer = client.call(&pay(id, "15000m"));
                assert_eq!(answer.status(), 200, "{head}, {} bytes", body.len());
                assert_eq!(answer.body, body.as_bytes(), "{head}, {} bytes", body.len());
            }
            assert_eq!(upstream.count_new_requests(), 2);
        }
    }
}

/// Guards against a truncated answer that is passed on as a whole one: a reset is not the end of an answer.
#[test]
fn answers_without_a_length_that_are_cut_off_are_failed_attempts() {
    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    let too_long = "x".repeat(MAX_BODY + 1);
    for step in [
        || Step::AnswerAndReset("HTTP/1.1 200 OK\r\nConnection: close\r\n".into()),
        || Step::AnswerAndReset("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into()),
        || Step::AnswerAndReset("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart".into()),
        || Step::AnswerAndReset(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(MAX_BODY))),
        || Step::Dribble {
            head: "HTTP/1.1 200 OK\r\n\r\n".into(),
            pieces: 3,
            interval: Duration::from_millis(1),
        },
    ] {
        let upstream = Upstream::start(move |_| step());
        let node = with(&[upstream.addr]);
        let mut client = node.client();
        for number in 0..20 {
            assert_eq!(client.call(&pay(&format!("r{number}"), "400m")).status(), 502);
        }
        assert_eq!(upstream.count_new_requests(), 20);
    }
    let upstream = Upstream::start(move |_| Step::AnswerAndClose(format!("{head}{too_long}")));
    assert_eq!(with(&[upstream.addr]).client().call(&pay("r1", "15000m")).status(), 502);
}

/// Guards against a wait for the end of a connection that takes all the time of a request that can be repeated.
#[test]
fn answer_without_a_length_that_never_ends_leaves_time_for_a_retry() {
    let endless =
        Upstream::start(|_| Step::Answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart".into()));
    let sound = Upstream::start(|_| ok("whole"));
    let node = with(&[endless.addr, sound.addr]);
    let mut client = node.client();
    for number in 0..10 {
        let id = format!("k{number}");
        let keyed =
            pay(&id, "2000m").replace("Req-Kind: pay", &format!("Req-Kind: order\r\nIdempotency-Key: {id}"));
        assert_eq!(client.call(&get(&format!("r{number}"), "2000m")).body, b"whole");
        assert_eq!(client.call(&keyed).body, b"whole");
    }
    assert!(endless.count_new_requests() > 0, "the upstream is used");
}

/// Guards against a rejection that counts as a request that may have run, because it states no length.
#[test]
fn declined_request_is_retried_though_its_answer_has_no_length() {
    let declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nConnection: close\r\n\r\nfull";
    let is_first = Arc::new(AtomicBool::new(true));
    let behaviour = move |_: &Message| match is_first.swap(false, Ordering::SeqCst) {
        true => Step::AnswerAndClose(declined.into()),
        false => ok("served"),
    };
    let (a, b) = (Upstream::start(behaviour.clone()), Upstream::start(behaviour));
    let node = with(&[a.addr, b.addr]);
    assert_eq!(node.client().call(&pay("r1", "15000m")).body, b"served");
    assert_eq!(a.count_new_requests() + b.count_new_requests(), 2);
}

#[test]
fn bytes_after_an_answer_do_not_answer_the_next_request() {
    let doubled = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
    let upstream = Upstream::start(move |m| match m.header("req-id") {
        Some("r1") => Step::Answer(doubled.clone()),
        _ => ok("two"),
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&pay("r1", "15000m")).body, b"one");
    assert_eq!(client.call(&pay("r2", "15000m")).body, b"two");
}

#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(3);
    let upstream = Upstream::start(move |_| {
        Step::Answer(format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"))
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    for id in ["r1", "r2"] {
        assert_eq!(client.call(&pay(id, "15000m")).body, b"one");
    }
}

#[test]
fn status_404_of_an_upstream_is_passed_on_without_retry() {
    let upstream = Upstream::start(|m| match m.header("req-id") {
        Some("odd") => status("404 Not Found"),
        _ => ok("good"),
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    // The request is not retried, although it is safe to run twice, and its caller gets the answer.
    assert_eq!(client.call(&get("odd", "15000m")).status(), 404);
    assert_eq!(node.client().call(&get("next", "15000m")).body, b"good");
    assert_eq!(upstream.next_request().header("req-id"), Some("odd"));
    assert_eq!(upstream.next_request().header("req-id"), Some("next"));
    assert_eq!(upstream.count_new_requests(), 0);
}

#[test]
fn keyed_request_that_may_have_run_is_not_sent_to_a_process_that_the_list_does_not_know() {
    for pairing in PAIRINGS.into_iter().filter(|pairing| !pairing.front || pairing.max_concurrent > 1) {
        keyed_request_is_not_sent_to_an_unknown_process(pairing);
    }
}

fn keyed_request_is_not_sent_to_an_unknown_process(pairing: Pairing) {
    let held = Upstream::with(pairing.options("s"), |_| Step::Silent);
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, &known(&held)).replace("\"all\"", "\"cell\"");
    let mut command = command(&config);
    command.arg("run").arg("--operator").arg(pairing.operator());
    let node = Node::run(command, discovery);
    let keyed = |id: &str| {
        pay(id, "5000m").replace("Req-Kind: pay", &format!("Req-Kind: order\r\nIdempotency-Key: k-{id}"))
    };
    let mut client = node.client_with_request(&keyed("r1"));
    assert_eq!(held.next_request().header("req-id"), Some("r1"));
    let addr = held.addr;
    let successor = || {
        Upstream::at(addr, pairing.options("s"), |m| match m.header("req-id") {
            Some("r2") => status("500 Broken"),
            _ => ok("x"),
        })
    };
    held.kill();
    let successor = successor().expect("the address is free");
    assert_eq!(client.answer().expect("an answer").status(), 502);
    // The successor belongs to a group that the list does not tell yet: its failed attempt is not repeated elsewhere.
    assert_eq!(node.client().call(&keyed("r2")).status(), 502);
    assert_eq!(node.client().call(&pay("r3", "5000m")).status(), 200);
    for id in ["r2", "r3"] {
        assert_eq!(successor.next_request().header("req-id"), Some(id));
    }
    assert_eq!(successor.count_new_requests(), 0);
}
