//! Answers of upstreams that can't be trusted: each test stands for one way to mix up or misjudge them.
mod common;
use common::*;

/// An attempt that may have run is not repeated for what must not run twice: the caller is told of a failure.
fn is_a_reset(answer: &str) {
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
fn answers_without_one_certain_end_are_failed_attempts() {
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
        is_a_reset(answer);
    }
    is_a_reset(&format!("HTTP/1.1 200 OK\r\n{}", "X-A: b\r\n".repeat(5000)));
    is_a_reset(&format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(40_000)));
}

#[test]
fn what_comes_behind_an_answer_is_no_answer_to_the_next_request() {
    let twice = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
    let upstream = Upstream::start(move |m| match m.header("req-id") {
        Some("r1") => Step::Answer(twice.clone()),
        _ => ok("two"),
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&pay("r1", "15000m")).body, b"one");
    assert_eq!(client.call(&pay("r2", "15000m")).body, b"two");
}

#[test]
fn news_ahead_of_an_answer_is_passed_over() {
    let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(3);
    let upstream = Upstream::start(move |_| {
        Step::Answer(format!("{ahead}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"))
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    for id in ["r1", "r2"] {
        assert_eq!(client.call(&pay(id, "15000m")).body, b"one");
    }
}

#[test]
fn what_an_upstream_cannot_use_is_the_callers_fault() {
    let upstream = Upstream::start(|m| match m.header("req-id") {
        Some("odd") => status("404 Not Found"),
        _ => ok("good"),
    });
    let node = with(&[upstream.addr]);
    let mut client = node.client();
    // It is not sent again, though it may be repeated, and its caller is told.
    assert_eq!(client.call(&get("odd", "15000m")).status(), 404);
    assert_eq!(node.client().call(&get("next", "15000m")).body, b"good");
    assert_eq!(upstream.next_request().header("req-id"), Some("odd"));
    assert_eq!(upstream.next_request().header("req-id"), Some("next"));
    assert_eq!(upstream.count_new_requests(), 0);
}
