//! Memory of a balancer under clients, upstreams and discovery that send much, slowly, or in many small pieces.
mod common;
use common::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use testkit::crowd::{pipeline, Crowd};
use testkit::fastcgi::{begin_record, pairs, record};
use testkit::message::ok_response;
use testkit::upstream::UpstreamOptions;

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

/// Least memory that the platform gives a balancer, in bytes.
const SMALL_LIMIT: u64 = 32_000_000;
/// Clients that hold a third of 1,024 descriptors, beside the sound one.
const CROWD: usize = 340;
/// Minimum time for which a crowd sends.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Number of requests of a sound client that are served beside a crowd.
const SOUND_REQUESTS: usize = 5;

/// Starts a balancer with a memory limit of [`SMALL_LIMIT`] and an upstream that takes 200 ms.
fn start_small(pairing: Pairing, operator: &Path, answer_bytes: usize) -> (Node, Upstream) {
    let options = UpstreamOptions { cores: 10_000, ..pairing.options("s") };
    let body = "x".repeat(answer_bytes);
    let upstream =
        Upstream::with(options, move |_| Step::Work(Duration::from_millis(200), ok_response(&body)));
    let discovery = Discovery::start();
    let config =
        config(discovery.addr, 1024, &known(&upstream)).replace("\"memory_mb\":192", "\"memory_mb\":32");
    assert!(config.contains("\"memory_mb\":32"));
    let mut command = command(&config);
    command.arg("run").arg("--operator").arg(operator);
    (Node::run(command, discovery), upstream)
}

/// Ends a crowd, also where the test fails.
struct EndOfCrowd<'a>(&'a AtomicBool);

impl Drop for EndOfCrowd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A crowd of clients sends messages again and again, each of `requests` requests, and reads the answers. The balancer must
/// stay within its limit, and serve a sound client beside them.
fn assert_crowd_is_borne(
    pairing: Pairing,
    answer_bytes: usize,
    requests: usize,
    message: impl Fn(usize) -> String + Sync,
) {
    let (node, _upstream) = start_small(pairing, &pairing.operator(), answer_bytes);
    let addr = node.addr;
    assert_eq!(node.client().call(&get("before", "5000m")).status(), 200);
    let (started, message, next) = (Instant::now(), &message, &AtomicUsize::new(0));
    let (mut served, mut peak) = (0, 0);
    let is_over = &AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..CROWD {
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let mut rounds = 0;
                    pipeline(addr, || {
                        rounds += 1;
                        (rounds == 1).then(|| {
                            let start = next.fetch_add(requests, Ordering::SeqCst);
                            (start..start + requests).map(message).collect()
                        })
                    });
                }
            });
        }
        let _end = EndOfCrowd(is_over);
        let must_go_on = |served| started.elapsed() < CROWD_TIME || served < SOUND_REQUESTS;
        while must_go_on(served) && started.elapsed() < TEST_TIMEOUT {
            let mut client = node.client();
            client.send(&get(&format!("sound-{}", next.fetch_add(1, Ordering::SeqCst)), "5000m"));
            served += usize::from(client.answer().is_some_and(|answer| answer.status() == 200));
            peak = peak.max(node.own_memory());
        }
    });
    println!("{} MiB at the peak, {served} requests of the sound client served", peak >> 20);
    assert!(peak < SMALL_LIMIT, "{} MiB at the peak", peak >> 20);
    assert!(served >= SOUND_REQUESTS, "{served} requests of the sound client served");
}

fn large_head(id: usize, body_bytes: usize) -> String {
    let field = |number: usize| format!("X-{number}: {}\r\n", "v".repeat(140));
    let fields: String = (0..85).map(field).collect();
    let head = head_of_post(format!("r{id}"), &format!("{fields}Content-Length: {body_bytes}"));
    [head, "x".repeat(body_bytes)].concat()
}

/// Guards against memory beside bodies that nothing counts: heads, bytes that are read ahead, connections to upstreams.
#[test]
fn pipelined_requests_with_large_heads_stay_within_the_smallest_limit() {
    assert_crowd_is_borne(PAIRINGS[0], 10, 3, |id| large_head(id, if id % 3 == 0 { 60_000 } else { 900 }));
}

/// Guards against answers that pass the limit together, and against a limit on clients that shuts out sound ones.
#[test]
fn large_answers_to_small_requests_stay_within_the_smallest_limit() {
    for pairing in [PAIRINGS[0], PAIRINGS[1]] {
        assert_crowd_is_borne(pairing, 60_000, 1, |id| pay(&format!("r{id}"), "5000m"));
    }
}

/// Guards against FastCGI requests that nothing counts: many at once on each connection, with bodies that do not end.
#[test]
fn concurrent_fastcgi_bodies_stay_within_the_smallest_limit() {
    const PARAMS: u8 = 4;
    const STDIN: u8 = 5;
    const REQUESTS: u16 = 16;
    let pairing = Pairing { front: true, upstream: false, max_concurrent: 1 };
    let operator = format!("[fastcgi]\nlisten = [\"127.0.0.1:0\"]\nrequests = {REQUESTS}\n");
    let (node, _upstream) = start_small(pairing, &program().file(".toml", &operator), 10);
    let mut crowd = Crowd::connect(pairing.addr(&node), 100);
    let params = pairs(&[("REQUEST_METHOD", "POST")]);
    let body = "x".repeat(MAX_BODY - 1);
    let request = |id: u16| {
        let head = [begin_record(id, true), record(PARAMS, id, &params, 0), record(PARAMS, id, b"", 0)];
        [head.concat(), record(STDIN, id, body.as_bytes(), 0)].concat()
    };
    let message: Vec<u8> = (1..=REQUESTS).flat_map(request).collect();
    crowd.write_all(|_| message.clone());
    let peak = node.own_memory();
    println!("{} MiB", peak >> 20);
    assert!(peak < SMALL_LIMIT, "{} MiB", peak >> 20);
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
