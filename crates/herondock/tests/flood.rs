//! One client that sends without a pause on one connection, and what other clients notice of it.
mod common;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use testkit::crowd::pipeline;

/// Duration of a flood.
const FLOOD: Duration = Duration::from_secs(3);
/// Time for which other clients wait for their answers.
const CLIENT_DEADLINE: Duration = Duration::from_secs(1);
/// Maximum growth of the balancer's memory during a flood: what a few connections need at their limits.
const MAX_GROWTH: u64 = 8 << 20;

/// Floods the balancer with blocks of messages, each with the number of its block, while other clients send one request
/// after the other. A client whose connection is closed connects again. Asserts that each of the others got its answer in
/// time and that memory did not grow.
fn assert_others_are_answered(block: impl Fn(usize) -> String + Sync) {
    let upstream = Upstream::start(|_| ok("x"));
    let node = with(&[upstream.addr]);
    assert_eq!(node.client().call(&get("first", "15000m")).status(), 200);
    let before = node.peak_memory();
    let started = Instant::now();
    let blocks = AtomicUsize::new(0);
    let next_block = || (started.elapsed() < FLOOD).then(|| block(blocks.fetch_add(1, Ordering::SeqCst)));
    let mut slowest = Duration::ZERO;
    thread::scope(|scope| {
        scope.spawn(|| {
            while started.elapsed() < FLOOD {
                pipeline(node.addr, next_block);
            }
        });
        for n in 0.. {
            if started.elapsed() >= FLOOD {
                break;
            }
            let sent = Instant::now();
            let answer = node.client().call(&get(&format!("other-{n}"), "1000m"));
            assert!([200, 503].contains(&answer.status()), "{}", answer.start_line);
            slowest = slowest.max(sent.elapsed());
        }
    });
    let growth = node.peak_memory() - before;
    println!("{} blocks, slowest answer {slowest:?}, growth {growth} bytes", blocks.into_inner());
    assert!(slowest < CLIENT_DEADLINE, "{slowest:?}");
    assert!(growth < MAX_GROWTH, "{growth} bytes");
}

#[test]
fn readiness_checks_at_full_speed_delay_nobody() {
    let block = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(100);
    assert_others_are_answered(|_| block.clone());
}

#[test]
fn empty_lines_at_full_speed_delay_nobody() {
    let block = "\r\n".repeat(8 << 10);
    assert_others_are_answered(|_| block.clone());
}

#[test]
fn refused_requests_under_ever_new_ids_delay_nobody() {
    assert_others_are_answered(|n| (0..100).map(|k| get(&format!("flood-{n}-{k}"), "0m")).collect());
}

#[test]
fn served_requests_under_ever_new_ids_and_header_names_delay_nobody() {
    assert_others_are_answered(|n| {
        let request = |k| {
            let request = get(&format!("flood-{n}-{k}"), "15000m");
            request.replace("\r\n\r\n", &format!("\r\nX-{n}-{k}: 1\r\n\r\n"))
        };
        (0..100).map(request).collect()
    });
}

#[test]
fn unsound_requests_under_ever_new_tenants_delay_nobody() {
    assert_others_are_answered(|n| {
        let request = |k| get(&format!("flood-{n}-{k}"), "15000m").replace("club", &format!("club-{n}-{k}"));
        (0..100).map(request).collect()
    });
}

#[test]
fn bodies_in_chunks_of_one_byte_delay_nobody() {
    let head = pay("chunks", "15000m")
        .replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
    let block = head + &"1\r\nx\r\n".repeat(60_000) + "0\r\n\r\n";
    assert_others_are_answered(|_| block.clone());
}
