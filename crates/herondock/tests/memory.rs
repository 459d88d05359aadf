//! Memory of a balancer under clients, upstreams and discovery that send much, slowly, or in many small pieces.
mod common;
use common::*;
use std::time::Duration;
use testkit::crowd::{pipeline, Crowd};
use testkit::fastcgi::{begin_record, pairs, record};

/// Memory limit in the configuration of the test kit: the least that the platform gives a balancer.
const MEMORY_LIMIT: u64 = 192_000_000;
/// Maximum size of a body.
const MAX_BODY: usize = 64 << 10;

fn head_of_post(id: impl std::fmt::Display, framing: &str) -> String {
    pay(&id.to_string(), "15000m").replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n"))
}

fn sized_head(id: usize) -> String {
    head_of_post(id, &format!("Content-Length: {MAX_BODY}"))
}

fn assert_within_limit(node: &Node) {
    let peak = node.peak_memory();
    println!("{} MiB at the peak", peak >> 20);
    assert!(peak < MEMORY_LIMIT, "{} MiB at the peak", peak >> 20);
    assert_eq!(node.client().call(&get("after", "15000m")).status(), 200);
}

#[test]
fn bodies_written_byte_by_byte_stay_within_the_memory_limit() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let mut crowd = Crowd::connect(node.addr, 400);
    crowd.write_all(|n| sized_head(n).into_bytes());
    crowd.write_slowly(b"x", 150, Duration::from_millis(12));
    assert_within_limit(&node);
}

#[test]
fn bodies_in_chunks_of_one_byte_stay_within_the_memory_limit() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    let mut crowd = Crowd::connect(node.addr, 400);
    let chunks = "1\r\nx\r\n".repeat(MAX_BODY - 1);
    crowd
        .write_all(|n| [head_of_post(n, "Transfer-Encoding: chunked"), chunks.clone()].concat().into_bytes());
    assert_within_limit(&node);
}

#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    let upstream =
        Upstream::start(|m| if m.header("req-id") == Some("after") { ok("x") } else { Step::Silent });
    let node = with(&[upstream.addr]);
    let fields = |count: usize| "a:b\r\n".repeat(count);
    let mut crowd = Crowd::connect(node.addr, 700);
    // Too many fields, as many as are allowed in a complete head, and in a head that never ends.
    crowd.write_all(|n| {
        let head = get(&format!("r{n}"), "3000m");
        let (start, end) = head.split_at(head.len() - 2);
        match n % 3 {
            0 => format!("{start}{}", fields(3000)),
            1 => format!("{start}{}{end}", fields(90)),
            _ => format!("{start}{}", fields(90)),
        }
        .into_bytes()
    });
    assert!(crowd.wait_for_close(), "incomplete requests and idle connections end");
    assert_within_limit(&node);
}

#[test]
fn half_bodies_of_thousands_of_clients_stay_within_the_memory_limit() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 4096, &known(&upstream)));
    // Long enough for all clients to be half way at once, on a slow machine too.
    let file = program().file(".toml", "[limits]\nrequest_wait = \"10s\"\n");
    command.arg("run").args(["--operator".as_ref(), file.as_os_str()]);
    let node = Node::run(command, discovery);
    let mut crowd = Crowd::connect(node.addr, 3000);
    crowd.write_all(|n| [sized_head(n), "x".repeat(MAX_BODY - 1)].concat().into_bytes());
    assert!(crowd.wait_for_close(), "incomplete requests end");
    assert_within_limit(&node);
}

#[test]
fn answers_written_byte_by_byte_stay_within_the_memory_limit() {
    let upstream = Upstream::start(|message| match message.header("req-id") {
        Some("after") => ok("x"),
        _ => Step::Dribble {
            head: format!("HTTP/1.1 200 OK\r\nContent-Length: {MAX_BODY}\r\n\r\n"),
            pieces: 400,
            interval: Duration::from_millis(5),
        },
    });
    let node = with(&[upstream.addr]);
    let mut crowd = Crowd::connect(node.addr, 200);
    crowd.write_all(|n| pay(&format!("r{n}"), "3000m").into_bytes());
    crowd.write_slowly(b"", 1, Duration::from_millis(2500));
    assert_within_limit(&node);
}

#[test]
fn endpoint_list_in_chunks_of_one_byte_stays_within_the_memory_limit() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    // Lists may be indented.
    let list = known(&upstream).replacen('{', &format!("{{{}", " ".repeat(3 << 20)), 1);
    let chunks: Vec<u8> = list.bytes().flat_map(|byte| [b'1', b'\r', b'\n', byte, b'\r', b'\n']).collect();
    let chunks = String::from_utf8(chunks).expect("text");
    node.discovery
        .answer_raw(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"));
    node.discovery.next_path();
    // The next call is made once the list has been read.
    node.discovery.next_path();
    assert_within_limit(&node);
}

#[test]
fn fastcgi_bodies_in_records_of_one_byte_stay_within_the_memory_limit() {
    const PARAMS: u8 = 4;
    const STDIN: u8 = 5;
    let pairing = Pairing { front: true, upstream: false, max_concurrent: 1 };
    let upstream = Upstream::start(|_| ok("x"));
    let file = pairing.operator();
    let node = started(&["--operator".as_ref(), file.as_ref()], &known(&upstream));
    let mut crowd = Crowd::connect(pairing.addr(&node), 700);
    let params = pairs(&[("REQUEST_METHOD", "POST")]);
    let head = [begin_record(1, true), record(PARAMS, 1, &params, 0), record(PARAMS, 1, b"", 0)].concat();
    let body = record(STDIN, 1, b"x", 0).repeat(MAX_BODY);
    crowd.write_all(|_| [head.clone(), body.clone()].concat());
    assert_within_limit(&node);
}

/// Each request that was not admitted left 16 bytes or more behind.
#[test]
fn small_requests_on_one_connection_do_not_accumulate_memory() {
    const REQUESTS: usize = 1_000_000;
    const MAX_GROWTH: u64 = 4 << 20;
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    assert_eq!(node.client().call(&get("warm", "15000m")).status(), 200);
    let before = node.peak_memory();
    let block = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(1000);
    let mut blocks = std::iter::repeat_n(block, REQUESTS / 1000);
    assert_eq!(pipeline(node.addr, || blocks.next()), REQUESTS);
    let growth = node.peak_memory() - before;
    assert!(growth < MAX_GROWTH, "{growth} bytes for {REQUESTS} requests");
}
