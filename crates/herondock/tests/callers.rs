//! Callers that send malformed requests, too much, or nothing. Each test guards against one failure in service.
mod common;
use common::*;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use testkit::crowd::Crowd;

/// Maximum time until incomplete requests and silent connections are closed. The limit is 3 s, the rest is room for slow
/// machines; without the limit the close took 10 s or more.
const MAX_TIME_TO_CLOSE: Duration = Duration::from_secs(6);

/// More descriptors than a balancer holds that has no caller and one upstream.
const MAX_IDLE_DESCRIPTORS: usize = 16;

/// An upstream that answers its first request with `first` once the sender is used, and all others with `later` immediately.
fn upstream_holding_first_request() -> (Sender<()>, Upstream) {
    let (release, released) = channel();
    let released = Mutex::new(Some(released));
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    let upstream = Upstream::start(move |_| match released.lock().expect("no panic").take() {
        Some(released) => Step::Hold(released, answer.into()),
        None => ok("later"),
    });
    (release, upstream)
}

#[test]
fn silent_callers_and_incomplete_requests_are_closed() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let started = Instant::now();
    let half_body = pay("r1", "15000m").replace("body", "b");
    let half_head = get("r2", "15000m").replace("\r\n\r\n", "\r\n");
    let mut silent = node.client();
    let mut halves: Vec<Client> =
        [half_body, half_head].iter().map(|t| node.client_with_request(t)).collect();
    // On a connection that has served a request, an incomplete request does not count as idle time between two requests.
    let mut used = node.client();
    assert_eq!(used.call(&get("r3", "15000m")).status(), 200);
    used.send("GET /api");
    assert_eq!(halves[0].answer().expect("an answer").status(), 408);
    assert!(halves[0].answer().is_none() && halves[1].answer().is_none());
    assert!(silent.answer().is_none() && used.answer().is_none());
    assert!(started.elapsed() < MAX_TIME_TO_CLOSE, "{:?}", started.elapsed());
}

#[test]
fn request_with_ambiguous_framing_is_rejected_with_all_bytes_after_it() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let hidden = get("hidden", "5000m");
    let chunks = "4\r\nbody\r\n0\r\n\r\n";
    for framing in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Transfer-Encoding: chunked\r\nX-A: b\r\ncontent-length: 14\r\nContent-Length: 14",
        "Content-Length: 4\r\nContent-Length: 4",
    ] {
        let head = pay("r1", "5000m").replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n"));
        let mut client = node.client_with_request(&format!("{head}{chunks}{hidden}"));
        assert_eq!(client.answer().expect("an answer").status(), 400, "{framing:?}");
        assert!(client.answer().is_none(), "nothing is read after a rejected request");
    }
    // Chunked framing alone is accepted, and the connection is closed after that request.
    let head =
        pay("r2", "5000m").replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
    let mut client = node.client_with_request(&format!("{head}{chunks}{hidden}"));
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.answer().is_none());
    assert_eq!(upstream.next_request().header("req-id"), Some("r2"));
    assert_eq!(upstream.count_new_requests(), 0);
}

#[test]
fn nothing_is_read_after_a_rejected_request() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let following = get("behind", "5000m");
    let long = format!("X-Long: {}\r\n\r\n", "x".repeat(40 << 10));
    let with_body = get("r1", "5000m").replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody");
    for (bad, status) in [
        (get("r1", "soon"), 400),
        (get("r1", "5000m").replace("Req-Id: r1\r\n", ""), 400),
        (with_body, 400),
        (get("r1", "5000m").replace("\r\n\r\n", &format!("\r\n{long}")), 431),
        (pay("r1", "5000m").replace("Content-Length: 4", "Content-Length: -4"), 400),
        (pay("r1", "5000m").replace("Content-Length: 4", "Content-Length: 70000000"), 413),
    ] {
        let mut client = node.client_with_request(&format!("{bad}{following}"));
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (status, Some("close")), "{bad:.300}");
        assert!(client.answer().is_none(), "{bad:.300}");
    }
    assert_eq!(node.client().call(&get("good", "5000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("good"));
    assert_eq!(upstream.count_new_requests(), 0);
}

#[test]
fn id_of_an_open_request_is_rejected_with_409() {
    let (release, upstream) = upstream_holding_first_request();
    let node = with(&[upstream.addr]);
    let mut first = node.client_with_request(&pay("r1", "15000m"));
    upstream.next_request();
    assert_eq!(node.client().call(&pay("r1", "15000m")).status(), 409);
    release.send(()).expect("the upstream waits");
    assert_eq!(first.answer().expect("an answer").body, b"first");
    // Once the request is answered its id may be used again: nothing about it is stored.
    assert_eq!(node.client().call(&pay("r1", "15000m")).body, b"later");
    assert_eq!(upstream.count_new_requests(), 1);
}

#[test]
fn hundreds_of_silent_callers_do_not_shut_out_active_ones() {
    let upstream = Upstream::start(|_| ok("x"));
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let node = start(64, &known);
    let mut kept = node.client();
    assert_eq!(kept.call(&get("r0", "10000m")).status(), 200);
    // These exceed the limit of connections: the oldest connections that have sent no request are closed first.
    let silent: Vec<Client> = (0..200).map(|_| node.client()).collect();
    for i in 1..5 {
        assert_eq!(node.client().call(&get(&format!("n{i}"), "10000m")).status(), 200);
    }
    assert_eq!(
        kept.call(&get("r1", "10000m")).status(),
        200,
        "the connection of a caller that was served stays open"
    );
    drop(silent);
}

#[test]
fn refusal_at_the_limit_of_open_requests_has_retry_after() {
    let upstream = Upstream::start(|_| Step::Silent);
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, &known).replace("\"cancel\"", "\"max_open\":1,\"cancel\"");
    let node = Node::run(command(&config), discovery);
    let _first = node.client_with_request(&get("r1", "15000m"));
    upstream.next_request();
    let answer = node.client().call(&get("r2", "15000m"));
    assert_eq!(answer.status(), 503);
    let retry_after: f64 = answer.header("retry-after").expect("advice").parse().expect("seconds");
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
}

#[test]
fn after_sigterm_pipelined_requests_are_still_answered() {
    let (release, upstream) = upstream_holding_first_request();
    let mut node = with(&[upstream.addr]);
    let second = get("r2", "15000m");
    let (start, rest) = second.split_at(40);
    let mut client = node.client_with_request(&format!("{}{start}", get("r1", "15000m")));
    upstream.next_request();
    node.terminate();
    node.wait_for_log("received a stop signal");
    client.send(rest);
    release.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body, b"first");
    assert_eq!(client.answer().expect("an answer to the pipelined request").body, b"later");
    assert!(node.wait().success());
}

/// Guards against a slow accept loop when connections that have sent one request stay open and reach the limit: each new
/// connection waited until the one before it no longer counted as new. A caller that waits to be accepted has already sent its
/// request, and may have left meanwhile.
#[test]
fn idle_callers_at_the_limit_do_not_delay_accepts() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = start(64, &known(&upstream));
    let ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    // Reference: the time of as many connections on this machine now, one after the other, each closed after its answer.
    let started = Instant::now();
    for _ in 0..600 {
        assert_eq!(node.client().call(ready).status(), 200);
    }
    let reference = started.elapsed();
    let started = Instant::now();
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..600_usize {
        clients.push(node.client_with_request(ready));
        // At most 50 at once, so that the listen backlog does not overflow: a dropped SYN is sent again only after a second.
        if let Some(earlier) = n.checked_sub(50).map(|n| &mut clients[n]) {
            assert_eq!(earlier.answer().expect("an answer").status(), 200);
        }
    }
    assert_eq!(node.client().call(&get("r1", "60000m")).status(), 200);
    // A wait of 10 ms per connection would add 6 s to the reference.
    let took = started.elapsed();
    assert!(took < Duration::from_millis(3000) + 4 * reference, "{took:?}, reference {reference:?}");
    drop(clients);
}

/// Guards against pipelined requests that are sent to an upstream after their caller has disconnected: the end of the stream
/// lies after bytes that are not read yet, and each of the pipelined requests was still forwarded.
#[test]
fn pipelined_requests_of_a_disconnected_caller_are_not_forwarded() {
    let upstream = Upstream::start(|m| if m.header("req-id") == Some("r1") { Step::Silent } else { ok("x") });
    let node = with(&[upstream.addr]);
    let pipelined: String = (2..6).map(|i| get(&format!("r{i}"), "20000m")).collect();
    let client = node.client_with_request(&format!("{}{pipelined}", pay("r1", "20000m")));
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    drop(client);
    // The attempt is cancelled long before its deadline because the caller has disconnected.
    upstream.wait_for_close();
    assert_eq!(node.client().call(&get("after", "5000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("after"), "no pipelined request was forwarded");
    assert_eq!(upstream.count_new_requests(), 0);
}

/// Guards against a pipelined request whose deadline starts again when the request before it is answered: its caller has
/// stopped waiting by the time the request is sent to an upstream.
#[test]
fn deadline_of_a_pipelined_request_includes_its_wait() {
    let (release, upstream) = upstream_holding_first_request();
    let node = with(&[upstream.addr]);
    let (first, short, long) = (get("r1", "20000m"), pay("r2", "100m"), get("r3", "20000m"));
    let mut client = node.client_with_request(&format!("{first}{short}{long}"));
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    let sent = Instant::now();
    while sent.elapsed() < Duration::from_millis(150) {
        std::thread::yield_now();
    }
    release.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body, b"first");
    assert_eq!(
        client.answer().expect("an answer").status(),
        503,
        "the request was not sent, so a retry is safe"
    );
    assert_eq!(client.answer().expect("an answer").body, b"later");
    let last = upstream.next_request();
    assert_eq!(last.header("req-id"), Some("r3"), "the request whose deadline has passed is not sent");
    let left = last.header("req-deadline").and_then(|d| d.strip_suffix('u')).expect("microseconds");
    assert!(left.parse::<u64>().expect("a number") <= 19_850_000, "{left}");
}

#[test]
fn requests_that_a_disconnected_caller_left_unread_are_not_forwarded() {
    let (release, upstream) = upstream_holding_first_request();
    let node = with(&[upstream.addr]);
    let mut crowd = Crowd::connect(node.addr, 1);
    crowd.write_all(|_| pay("r0", "20000m").into_bytes());
    assert_eq!(upstream.next_request().header("req-id"), Some("r0"));
    crowd.write_until_blocked(|n| pay(&format!("r{}", n + 1), "20000m").into_bytes());
    drop(crowd);
    release.send(()).expect("the upstream waits");
    // The end of the stream becomes visible to the balancer only behind all that the caller had written.
    node.wait_for_descriptors(|open| open <= MAX_IDLE_DESCRIPTORS, "the caller's connection is closed");
    assert_eq!(node.client().call(&get("after", "5000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("after"), "no further request was forwarded");
    assert_eq!(upstream.count_new_requests(), 0);
}

#[test]
fn id_of_a_request_that_may_run_does_not_run_again_after_its_caller_has_left() {
    let upstream = Upstream::start(|m| if m.header("req-id") == Some("r1") { Step::Silent } else { ok("x") });
    let node = with(&[upstream.addr]);
    let client = node.client_with_request(&pay("r1", "15000m"));
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    drop(client);
    // The attempt is cancelled, which stops nothing at the upstream.
    upstream.wait_for_close();
    assert_eq!(node.client().call(&pay("r1", "15000m")).status(), 409);
    assert_eq!(node.client().call(&pay("r2", "15000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("r2"), "the first id did not run again");
    assert_eq!(upstream.count_new_requests(), 0);
}

#[test]
fn pipelined_requests_within_the_read_ahead_are_all_served() {
    const REQUESTS: usize = 100;
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let requests: String = (0..REQUESTS).map(|n| pay(&format!("r{n}"), "20000m")).collect();
    let mut client = node.client_with_request(&requests);
    for n in 0..REQUESTS {
        assert_eq!(client.answer().expect("an answer").status(), 200, "request {n}");
    }
}
