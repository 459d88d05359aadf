//! Discovery that stops answering: a balancer must stop using a draining upstream by the time at which it is considered
//! notified of the drain, even if no answer has arrived.
mod common;
use common::*;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use testkit::discovery::{DiscoveryFault, ListedUpstream, Registry};
use testkit::faults::machine::CpuThrottle;

/// Maximum time from the moment at which a watch falls silent to the last send to an upstream that drained meanwhile: the
/// balancer is considered notified after 6 s, sends end within the grace period of 1 s in [`config`], and sockets have a slack of
/// 50 ms.
const MAX_DELAY: Duration = Duration::from_millis(6000 + 1000 + 50);
/// Number of requests that show whether an upstream is still used.
const PROBE_REQUESTS: usize = 200;
/// Number of instances that lose their watches at the same time: what a busy machine with two cores sustains.
const INSTANCE_COUNT: u32 = 24;

/// Sends requests until the log reports the upstream `leaves` as draining, and then [`PROBE_REQUESTS`] more, none of which
/// may reach it. No request may reach it after `last_send` either. Returns when the drain was known.
fn wait_for_drain(node: &Node, leaves: SocketAddr, last_send: Instant) -> Instant {
    let (mut client, news) = (node.client(), format!("endpoint list: {leaves} is Draining"));
    let mut notified_at = None;
    let mut remaining = PROBE_REQUESTS;
    while remaining > 0 {
        let sent_at = Instant::now();
        let body = client.call(&get(&format!("q{remaining}"), "5000m")).body;
        assert!(
            body != b"leaves" || notified_at.is_none(),
            "used after the balancer was notified of the drain"
        );
        assert!(
            body != b"leaves" || sent_at < last_send,
            "used {:?} after the last time at which it may be used",
            sent_at - last_send
        );
        if notified_at.is_none() && node.log().contains(&news) {
            notified_at = Some(sent_at);
        }
        // Without a notification, requests continue until `last_send`; the probe requests follow after that.
        remaining -= usize::from(notified_at.is_some() || sent_at >= last_send);
    }
    notified_at.unwrap_or_else(|| {
        // The log is read by another thread, which may be behind.
        node.wait_for_log(&news);
        Instant::now()
    })
}

fn listed(upstream: &Upstream, state: &'static str) -> ListedUpstream {
    ListedUpstream { addr: upstream.addr, group: 1, state, started_ms: 0 }
}

/// Starts two upstreams and a registry that lists them.
fn start_pair() -> (Upstream, Upstream, Registry) {
    let (stays, leaves) = (Upstream::start(|_| ok("stays")), Upstream::start(|_| ok("leaves")));
    let registry = Registry::new(None);
    registry.set("s-0", listed(&stays, "active"));
    registry.set("s-1", listed(&leaves, "active"));
    (stays, leaves, registry)
}

/// Starts a balancer that discovers its upstreams from `registry` and logs each change of its endpoint list.
fn start_node(registry: &Registry, known: &str, alter: impl Fn(String) -> String) -> Node {
    let addr = registry.open_endpoint("n1").expect("a port");
    let mut command = command(&alter(config(addr, 1024, known)));
    command.args(["run", "--log", "debug"]);
    // The log has a line per request; clients in a tight loop would fill it before the list changes.
    Node::run_filtered(command, Discovery::start(), |line| line.contains("list: "))
}

/// Waits until both upstreams are known and used.
fn wait_until_both_used(node: &Node) {
    let mut client = node.client();
    let mut used = [false; 2];
    for number in 0.. {
        let answer = client.call(&get(&format!("p{number}"), "5000m"));
        used = [used[0] || answer.body == b"stays", used[1] || answer.body == b"leaves"];
        if used == [true; 2] {
            return;
        }
        assert!(number < 100_000, "one of the two upstreams is not used");
    }
}

/// Guards against a watch that gets no answer and is kept past the time at which the balancer is considered notified of what
/// it missed: an upstream that drains right after the last answer, and stays up, must get no request from then on. Covers
/// lists on request and pushed lists.
#[test]
fn silent_watch_is_reopened_before_the_balancer_is_considered_notified() {
    for mode in ["on_request", "pushed"] {
        let (_stays, leaves, registry) = start_pair();
        let node = start_node(&registry, "null", |c| c.replace("on_request", mode));
        wait_until_both_used(&node);
        let silent_at = registry.silence_pending();
        registry.state("s-1", "leaving");
        let notified_at = wait_for_drain(&node, leaves.addr, silent_at + MAX_DELAY);
        println!("{mode}: notified {:?} after the silence", notified_at - silent_at);
    }
}

/// Guards against a silent watch that is reopened too late when the process gets a tenth of a core, in slices of 10 ms: timers
/// fire late, and answers wait unread.
#[test]
fn silent_watch_is_reopened_in_time_with_a_tenth_of_a_core() {
    let (_stays, leaves, registry) = start_pair();
    let node = start_node(&registry, "null", |c| c);
    wait_until_both_used(&node);
    let throttle = CpuThrottle::begin(node.pid(), Duration::from_millis(10), Duration::from_millis(100));
    let silent_at = registry.silence_pending();
    registry.state("s-1", "leaving");
    let notified_at = wait_for_drain(&node, leaves.addr, silent_at + MAX_DELAY);
    println!("notified {:?} after the silence", notified_at - silent_at);
    drop(throttle);
}

/// Guards against a call that opens a watch and waits too long for an answer that never arrives or never ends.
#[test]
fn incomplete_first_answer_is_abandoned_in_time() {
    std::thread::scope(|scope| {
        for fault in [
            DiscoveryFault::Silent,
            DiscoveryFault::Half,
            DiscoveryFault::Trickle,
            DiscoveryFault::HalfClosed,
            DiscoveryFault::Reset,
        ] {
            scope.spawn(move || {
                let (stays, leaves, registry) = start_pair();
                // The initial list of the platform has every change but the drain.
                let known = upstream_list(2, true, &[(0, stays.addr, "active"), (1, leaves.addr, "active")]);
                registry.inject_fault(fault);
                registry.state("s-1", "leaving");
                let started = Instant::now();
                let node = start_node(&registry, &known, |c| c);
                let notified_at = wait_for_drain(&node, leaves.addr, started + MAX_DELAY);
                println!("{fault:?}: notified after {:?}", notified_at - started);
            });
        }
    });
}

/// Guards against a drain that is noticed too late after an outage of discovery: the grace period counts from the time at
/// which the agent responds again, but calls that were pending at that time are never answered.
#[test]
fn changes_are_applied_within_the_grace_period_after_an_agent_outage() {
    let (_stays, leaves, registry) = start_pair();
    // The behaviour is the same with any grace period above 1 s; 4 s leave room for delays of a busy machine.
    let grace = Duration::from_secs(4);
    let node = start_node(&registry, "null", |c| {
        c.replace("on_request", "pushed").replace("\"drain_grace\":1000", "\"drain_grace\":4000")
    });
    wait_until_both_used(&node);
    registry.set_unresponsive(true);
    let (calls, _) = registry.calls();
    registry.state("s-1", "leaving");
    // At least two calls have failed.
    let started = Instant::now();
    while registry.calls().0 < calls + 2 {
        assert!(started.elapsed() < MAX_DELAY, "the balancer does not call again");
        std::thread::yield_now();
    }
    let responsive_at = registry.set_unresponsive(false);
    let notified_at = wait_for_drain(&node, leaves.addr, responsive_at + grace + Duration::from_millis(50));
    println!("notified {:?} after the return", notified_at - responsive_at);
}

/// Guards against a changed discovery address that takes effect only after an answer to the old watch, which never comes.
#[test]
fn new_discovery_address_is_used_while_the_old_watch_is_silent() {
    let (stays, leaves, registry) = start_pair();
    let node = start_node(&registry, "null", |c| c);
    wait_until_both_used(&node);
    registry.set_unresponsive(true);
    let new_registry = Registry::new(None);
    new_registry.set("s-0", listed(&stays, "active"));
    new_registry.set("s-1", listed(&leaves, "leaving"));
    // The new discovery never answers its first call.
    new_registry.inject_fault(DiscoveryFault::Silent);
    let addr = new_registry.open_endpoint("n1").expect("a port");
    let started = Instant::now();
    node.reload(&config(addr, 1024, "null"));
    // The balancer is considered notified of the list at the new address 4 s later, and 6 s after a call for the full list that
    // gets no answer.
    let notified_at = wait_for_drain(&node, leaves.addr, started + MAX_DELAY);
    println!("notified {:?} after the move", notified_at - started);
}

/// Guards against a malformed entry that discards a whole answer: another entry, which marks an upstream as leaving, must
/// still take effect.
#[test]
fn malformed_entry_does_not_hide_a_leaving_upstream() {
    let (stays, leaves) = (Upstream::start(|_| ok("stays")), Upstream::start(|_| ok("leaves")));
    let node = start(1024, &upstream_list(5, true, &[(0, stays.addr, "active"), (1, leaves.addr, "active")]));
    assert!(node.discovery.next_path().contains("since=5&"));
    wait_until_both_used(&node);
    node.discovery.answer(
        r#"{"version":6,"full":false,"servers":[{"id":"s-1","state":"leaving"},{"id":"s-0","addr":"nowhere","state":"active"}]}"#,
    );
    // The next call asks for changes since the same version, which shows that the answer has been processed.
    assert!(node.discovery.next_path().contains("since=5&"));
    let mut client = node.client();
    for number in 0..PROBE_REQUESTS {
        assert_eq!(client.call(&get(&format!("b{number}"), "5000m")).body, b"stays");
    }
}

/// Guards against instances that lose their watches at the same time and then delay each other at discovery for longer than
/// the old list may be used.
#[test]
fn instances_that_lose_their_watches_together_are_all_notified_in_time() {
    let (_stays, leaves, registry) = start_pair();
    let nodes: Vec<Node> = (0..INSTANCE_COUNT)
        .map(|k| {
            start_node(&registry, "null", |c| c.replace("8c1f30d27a5be964", &format!("{:016x}", 977 * k + 1)))
        })
        .collect();
    nodes.iter().for_each(wait_until_both_used);
    // Discovery processes one call of each instance within 3 s.
    registry.set_processing_time(Duration::from_secs(3) / INSTANCE_COUNT);
    let before = registry.calls();
    let silent_at = registry.silence_pending();
    registry.state("s-1", "leaving");
    let delays: Vec<Duration> = std::thread::scope(|scope| {
        let addr = leaves.addr;
        let threads = nodes
            .into_iter()
            .map(|node| scope.spawn(move || wait_for_drain(&node, addr, silent_at + MAX_DELAY) - silent_at));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().map(|t| t.join().expect("notified in time")).collect()
    });
    let calls = registry.calls();
    println!("notified {:?} to {:?} after the silence", delays.iter().min(), delays.iter().max());
    println!("calls meanwhile: {}, of which {} opened a watch", calls.0 - before.0, calls.1 - before.1);
}

#[test]
fn new_process_at_the_address_of_a_former_one_is_not_taken_for_it() {
    let (release, released) = channel();
    let released = Mutex::new(Some(released));
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let upstream = Upstream::start(move |_| match released.lock().expect("no panic").take() {
        Some(released) => Step::Hold(released, error.into()),
        None => ok("x"),
    });
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, &known(&upstream)).replace("\"all\"", "\"cell\"");
    let node = Node::run(command(&config), discovery);
    let keyed = pay("r1", "15000m").replace("Req-Kind: pay", "Req-Kind: order\r\nIdempotency-Key: k1");
    let mut client = node.client_with_request(&keyed);
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    // The list does not say that the former process has left.
    let successor =
        upstream_list(2, false, &[(1, upstream.addr, "active")]).replace("\"cell\":1", "\"cell\":2");
    node.discovery.next_path();
    node.discovery.answer(&successor);
    node.discovery.next_path();
    release.send(()).expect("the upstream waits");
    // The successor belongs to another group, which does not deduplicate the key.
    assert_eq!(client.answer().expect("an answer").status(), 502);
    assert_eq!(upstream.count_new_requests(), 0);
    assert_eq!(node.client().call(&get("r2", "15000m")).status(), 200);
}

#[test]
fn a_new_configuration_before_any_endpoint_is_known_is_applied() {
    let upstream = Upstream::start(|_| ok("x"));
    let (silent, moved) = (Discovery::start(), Discovery::start());
    let at = |addr| config(addr, 1024, "null");
    let node = Node::run(command(&at(silent.addr)), silent);
    node.discovery.next_path();
    moved.answer(&known(&upstream));
    node.reload(&at(moved.addr));
    let started = Instant::now();
    while node.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
        assert!(started.elapsed() < TEST_TIMEOUT, "the balancer does not become ready");
        std::thread::yield_now();
    }
    assert_eq!(node.client().call(&get("r1", "5000m")).status(), 200);
}
