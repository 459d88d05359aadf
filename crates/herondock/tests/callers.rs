//! Callers that send what can't be used, too much, or nothing: each test stands for one way to fail in service.
mod common;
use common::*;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What must be turned away within 3 s, with some room for slow machines; without the limit it was 10 s or more.
const SOON: Duration = Duration::from_secs(6);

/// An upstream that answers its first request `first` once it is told to, and all others `later` at once.
fn holding_the_first() -> (Sender<()>, Upstream) {
    let (go, held) = channel();
    let held = Mutex::new(Some(held));
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    let upstream = Upstream::start(move |_| match held.lock().expect("no panic").take() {
        Some(word) => Step::Hold(word, answer.into()),
        None => ok("later"),
    });
    (go, upstream)
}

#[test]
fn silent_callers_and_halves_of_requests_are_not_kept() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let started = Instant::now();
    let half_body = pay("r1", "15000m").replace("body", "b");
    let half_head = get("r2", "15000m").replace("\r\n\r\n", "\r\n");
    let mut silent = node.client();
    let mut halves: Vec<Client> =
        [half_body, half_head].iter().map(|t| node.client_with_request(t)).collect();
    // On a connection that has been in use, half a request is not taken for a rest between two.
    let mut used = node.client();
    assert_eq!(used.call(&get("r3", "15000m")).status(), 200);
    used.send("GET /api");
    assert_eq!(halves[0].answer().expect("an answer").status(), 408);
    assert!(halves[0].answer().is_none() && halves[1].answer().is_none());
    assert!(silent.answer().is_none() && used.answer().is_none());
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
}

#[test]
fn a_request_with_two_framings_is_turned_away_with_what_it_hides() {
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
        assert!(client.answer().is_none(), "nothing is read behind it");
    }
    // Chunks alone are fine, and the last request of their connection.
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
fn nothing_is_read_behind_what_was_turned_away() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let behind = get("behind", "5000m");
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
        let mut client = node.client_with_request(&format!("{bad}{behind}"));
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (status, Some("close")), "{bad:.300}");
        assert!(client.answer().is_none(), "{bad:.300}");
    }
    assert_eq!(node.client().call(&get("good", "5000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("good"));
    assert_eq!(upstream.count_new_requests(), 0);
}

#[test]
fn the_id_of_an_open_request_is_not_taken_twice() {
    let (go, upstream) = holding_the_first();
    let node = with(&[upstream.addr]);
    let mut first = node.client_with_request(&pay("r1", "15000m"));
    upstream.next_request();
    assert_eq!(node.client().call(&pay("r1", "15000m")).status(), 409);
    go.send(()).expect("the upstream waits");
    assert_eq!(first.answer().expect("an answer").body, b"first");
    // Once it is over its name is free: nothing is kept of it.
    assert_eq!(node.client().call(&pay("r1", "15000m")).body, b"later");
    assert_eq!(upstream.count_new_requests(), 1);
}

#[test]
fn silent_callers_by_the_hundred_do_not_shut_out_good_ones() {
    let upstream = Upstream::start(|_| ok("x"));
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let node = start(64, &known);
    let mut kept = node.client();
    assert_eq!(kept.call(&get("r0", "10000m")).status(), 200);
    // More than there are places: those that came first and asked for nothing make way.
    let silent: Vec<Client> = (0..200).map(|_| node.client()).collect();
    for i in 1..5 {
        assert_eq!(node.client().call(&get(&format!("n{i}"), "10000m")).status(), 200);
    }
    assert_eq!(kept.call(&get("r1", "10000m")).status(), 200, "a caller that was served keeps its place");
    drop(silent);
}

#[test]
fn where_no_more_may_be_open_the_refusal_says_when_to_return() {
    let upstream = Upstream::start(|_| Step::Silent);
    let known = upstream_list(1, true, &[(0, upstream.addr, "active")]);
    let discovery = Discovery::start();
    let one = config(discovery.addr, 1024, &known).replace("\"cancel\"", "\"max_open\":1,\"cancel\"");
    let node = Node::run(command(&one), discovery);
    let _first = node.client_with_request(&get("r1", "15000m"));
    upstream.next_request();
    let answer = node.client().call(&get("r2", "15000m"));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").expect("advice").parse().expect("seconds");
    assert!(after > 0.0 && after <= 2.0, "{after}");
}

#[test]
fn told_to_end_it_answers_what_was_sent_behind_a_request() {
    let (go, upstream) = holding_the_first();
    let mut node = with(&[upstream.addr]);
    let second = get("r2", "15000m");
    let (start, rest) = second.split_at(40);
    let mut client = node.client_with_request(&format!("{}{start}", get("r1", "15000m")));
    upstream.next_request();
    node.terminate();
    node.wait_for_log("received a stop signal");
    client.send(rest);
    go.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body, b"first");
    assert_eq!(client.answer().expect("an answer to the one behind").body, b"later");
    assert!(node.wait().success());
}

/// Guards against callers that ask once, stay, and fill all places: each new one waited for the one before it to be no
/// newcomer any more, and who waits to be accepted meanwhile has asked, and may have left.
#[test]
fn callers_that_ask_once_and_stay_keep_nobody_waiting_to_be_accepted() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = start(64, &known(&upstream));
    let ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    // What as many cost on this machine now, one after the other, where nobody stays.
    let started = Instant::now();
    for _ in 0..600 {
        assert_eq!(node.client().call(ready).status(), 200);
    }
    let alone = started.elapsed();
    let started = Instant::now();
    let mut crowd: Vec<Client> = Vec::new();
    for n in 0..600_usize {
        crowd.push(node.client_with_request(ready));
        // No more at once than the system lets wait: one that it drops comes again after a second.
        if let Some(earlier) = n.checked_sub(50).map(|n| &mut crowd[n]) {
            assert_eq!(earlier.answer().expect("an answer").status(), 200);
        }
    }
    assert_eq!(node.client().call(&get("r1", "60000m")).status(), 200);
    // A wait of 10 ms for each came to 6 s beside that.
    let took = started.elapsed();
    assert!(took < Duration::from_millis(3000) + 4 * alone, "{took:?}, and {alone:?} alone");
    drop(crowd);
}

/// Guards against a caller that leaves with requests behind the one that is under way: its end lies behind bytes that nobody
/// reads yet, and each of them went on to an upstream after that.
#[test]
fn nothing_behind_a_request_is_sent_on_once_its_caller_has_left() {
    let upstream = Upstream::start(|m| if m.header("req-id") == Some("r1") { Step::Silent } else { ok("x") });
    let node = with(&[upstream.addr]);
    let behind: String = (2..6).map(|i| get(&format!("r{i}"), "20000m")).collect();
    let client = node.client_with_request(&format!("{}{behind}", pay("r1", "20000m")));
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    drop(client);
    // Called off long before its deadline, since its caller has left.
    upstream.wait_for_close();
    assert_eq!(node.client().call(&get("after", "5000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("after"), "nothing of those behind it");
    assert_eq!(upstream.count_new_requests(), 0);
}

/// Guards against a request that waits behind another on its connection and gets all its time again from then on: its caller
/// has stopped waiting by the time it is sent.
#[test]
fn the_time_of_a_request_runs_while_it_waits_behind_another() {
    let (go, upstream) = holding_the_first();
    let node = with(&[upstream.addr]);
    let (first, short, long) = (get("r1", "20000m"), pay("r2", "100m"), get("r3", "20000m"));
    let mut client = node.client_with_request(&format!("{first}{short}{long}"));
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    let sent = Instant::now();
    while sent.elapsed() < Duration::from_millis(150) {
        std::thread::yield_now();
    }
    go.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body, b"first");
    assert_eq!(
        client.answer().expect("an answer").status(),
        503,
        "nothing was sent, so another try is harmless"
    );
    assert_eq!(client.answer().expect("an answer").body, b"later");
    let last = upstream.next_request();
    assert_eq!(last.header("req-id"), Some("r3"), "not the one whose time was over");
    let left = last.header("req-deadline").and_then(|d| d.strip_suffix('u')).expect("microseconds");
    assert!(left.parse::<u64>().expect("a number") <= 19_850_000, "{left}");
}
