//! Malformed or unexpected answers of upstreams. Each test guards against one way to assign or judge them wrongly.
mod common;
use common::*;

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
