//! Lists that go quiet: what upstreams see of a balancer whose discovery has fallen silent, judged by the first bytes that
//! reach them and the time at which the news counts as told.
mod common;
use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testkit::discovery::{DiscoveryFault, ListedUpstream, Registry};
use testkit::faults::machine::CpuThrottle;

/// What a silent watch missed counts as told so long after it fell silent; sends then end within the grace of
/// [`config`] and the slack on sockets.
const LAST: Duration = Duration::from_millis(6000 + 1000 + 50);
/// Requests that show whether an upstream is still used.
const MANY: usize = 200;
/// Processes that lose their watches together: what a busy machine with two cores bears.
const MANY_NODES: u32 = 24;

/// Asks until this upstream has been told of as draining, as the log has it, and then more; `late` is when nothing may reach
/// it any more. Returns when it was told of.
fn until_left(node: &Node, leaves: SocketAddr, late: Instant) -> Instant {
    let (mut client, news) = (node.client(), format!("endpoint list: {leaves} is Draining"));
    let mut told = None;
    let mut left = MANY;
    while left > 0 {
        let asked = Instant::now();
        let body = client.call(&get(&format!("q{left}"), "5000m")).body;
        assert!(body != b"leaves" || told.is_none(), "used after it was told that it drains");
        assert!(
            body != b"leaves" || asked < late,
            "used {:?} after what it missed counts as told",
            asked - late
        );
        if told.is_none() && node.log().contains(&news) {
            told = Some(asked);
        }
        // Without the news it goes on until the last moment, and then until it is shown whether it is used.
        left -= usize::from(told.is_some() || asked >= late);
    }
    told.unwrap_or_else(|| {
        // Its log is read by another thread, which may be behind.
        node.wait_for_log(&news);
        Instant::now()
    })
}

fn listed(upstream: &Upstream, state: &'static str) -> ListedUpstream {
    ListedUpstream { addr: upstream.addr, group: 1, state, started_ms: 0 }
}

/// Two upstreams, and a registry that lists them.
fn pair() -> (Upstream, Upstream, Registry) {
    let (stays, leaves) = (Upstream::start(|_| ok("stays")), Upstream::start(|_| ok("leaves")));
    let registry = Registry::new(None);
    registry.set("s-0", listed(&stays, "active"));
    registry.set("s-1", listed(&leaves, "active"));
    (stays, leaves, registry)
}

/// A balancer that asks there, and logs what it is told.
fn asking(registry: &Registry, known: &str, alter: impl Fn(String) -> String) -> Node {
    let addr = registry.open_endpoint("n1").expect("a port");
    let mut command = command(&alter(config(addr, 1024, known)));
    command.args(["run", "--log", "debug"]);
    // Callers that ask as fast as they are answered fill a log of every request before the news comes.
    Node::run_filtered(command, Discovery::start(), |line| line.contains("list: "))
}

/// Waits until both upstreams are known and used.
fn both_used(node: &Node) {
    let mut client = node.client();
    let mut met = [false; 2];
    for number in 0.. {
        let answer = client.call(&get(&format!("p{number}"), "5000m"));
        met = [met[0] || answer.body == b"stays", met[1] || answer.body == b"leaves"];
        if met == [true; 2] {
            return;
        }
        assert!(number < 100_000, "one of two is never used");
    }
}

/// Guards against a watch that stays silent until what it missed counts as told: an upstream that drains right after, and
/// stays up, must get nothing from then on. Where discovery is asked, and where lists are pushed.
#[test]
fn a_watch_that_falls_silent_is_opened_again_before_what_it_missed_counts_as_told() {
    for mode in ["on_request", "pushed"] {
        let (_stays, leaves, registry) = pair();
        let node = asking(&registry, "null", |c| c.replace("on_request", mode));
        both_used(&node);
        let silent = registry.silence_pending();
        registry.state("s-1", "leaving");
        let told = until_left(&node, leaves.addr, silent + LAST);
        println!("{mode}: told of {:?} after the silence", told - silent);
    }
}

/// The same with a tenth of a core, in pieces of 10 ms: timers are late, and answers wait unread.
#[test]
fn with_a_tenth_of_a_core_a_silent_watch_is_opened_again_in_time() {
    let (_stays, leaves, registry) = pair();
    let node = asking(&registry, "null", |c| c);
    both_used(&node);
    let slow = CpuThrottle::begin(node.pid(), Duration::from_millis(10), Duration::from_millis(100));
    let silent = registry.silence_pending();
    registry.state("s-1", "leaving");
    let told = until_left(&node, leaves.addr, silent + LAST);
    println!("told of {:?} after the silence", told - silent);
    drop(slow);
}

/// The same for a call that opens a watch, where nothing has been answered yet, and for answers that never end.
#[test]
fn a_first_answer_that_never_comes_whole_is_given_up_in_time() {
    std::thread::scope(|scope| {
        for ill in [
            DiscoveryFault::Silent,
            DiscoveryFault::Half,
            DiscoveryFault::Trickle,
            DiscoveryFault::HalfClosed,
            DiscoveryFault::Reset,
        ] {
            scope.spawn(move || {
                let (stays, leaves, registry) = pair();
                // The list that the platform kept has everything but the news.
                let known = upstream_list(2, true, &[(0, stays.addr, "active"), (1, leaves.addr, "active")]);
                registry.inject_fault(ill);
                registry.state("s-1", "leaving");
                let begun = Instant::now();
                let node = asking(&registry, &known, |c| c);
                let told = until_left(&node, leaves.addr, begun + LAST);
                println!("{ill:?}: told of after {:?}", told - begun);
            });
        }
    });
}

/// Guards against an agent that was silent while discovery was down, and whose news count from its return: the call that
/// was open then is never answered.
#[test]
fn what_an_agent_has_at_its_return_is_heard_within_the_grace() {
    let (_stays, leaves, registry) = pair();
    // The plan is the same with any grace above 1 s; a busy machine may be a little late.
    let grace = Duration::from_secs(4);
    let node = asking(&registry, "null", |c| {
        c.replace("on_request", "pushed").replace("\"drain_grace\":1000", "\"drain_grace\":4000")
    });
    both_used(&node);
    registry.set_unresponsive(true);
    let (calls, _) = registry.calls();
    registry.state("s-1", "leaving");
    // It has called in vain at least twice.
    let started = Instant::now();
    while registry.calls().0 < calls + 2 {
        assert!(started.elapsed() < LAST, "it does not call again");
        std::thread::yield_now();
    }
    let back = registry.set_unresponsive(false);
    let told = until_left(&node, leaves.addr, back + grace + Duration::from_millis(50));
    println!("told of {:?} after the return", told - back);
}

/// Guards against a move of discovery that waits for the old watch, which says nothing any more.
#[test]
fn a_move_while_the_watch_is_silent_is_followed_at_once() {
    let (stays, leaves, registry) = pair();
    let node = asking(&registry, "null", |c| c);
    both_used(&node);
    registry.set_unresponsive(true);
    let moved = Registry::new(None);
    moved.set("s-0", listed(&stays, "active"));
    moved.set("s-1", listed(&leaves, "leaving"));
    // Its first answer never comes.
    moved.inject_fault(DiscoveryFault::Silent);
    let addr = moved.open_endpoint("n1").expect("a port");
    let begun = Instant::now();
    node.reload(&config(addr, 1024, "null"));
    // What the new place has counts as told 4 s later; a call for the whole list that is silent, 6 s.
    let told = until_left(&node, leaves.addr, begun + LAST);
    println!("told of {:?} after the move", told - begun);
}

/// Guards against one entry that costs a whole answer: what says that an upstream leaves binds without the rest.
#[test]
fn a_bad_entry_keeps_nobody_from_leaving() {
    let (stays, leaves) = (Upstream::start(|_| ok("stays")), Upstream::start(|_| ok("leaves")));
    let node = start(1024, &upstream_list(5, true, &[(0, stays.addr, "active"), (1, leaves.addr, "active")]));
    assert!(node.discovery.next_path().contains("since=5&"));
    both_used(&node);
    node.discovery.answer(
        r#"{"version":6,"full":false,"servers":[{"id":"s-1","state":"leaving"},{"id":"s-0","addr":"nowhere","state":"active"}]}"#,
    );
    // Asked for again from where it was, which shows that the rest has been taken in.
    assert!(node.discovery.next_path().contains("since=5&"));
    let mut client = node.client();
    for number in 0..MANY {
        assert_eq!(client.call(&get(&format!("b{number}"), "5000m")).body, b"stays");
    }
}

/// Guards against instances that lose their watches in one moment, and then keep each other waiting at discovery for longer
/// than the old list may be used.
#[test]
fn many_processes_that_lose_their_watches_together_all_learn_in_time() {
    let (_stays, leaves, registry) = pair();
    let nodes: Vec<Node> = (0..MANY_NODES)
        .map(|k| {
            asking(&registry, "null", |c| c.replace("8c1f30d27a5be964", &format!("{:016x}", 977 * k + 1)))
        })
        .collect();
    nodes.iter().for_each(both_used);
    // Discovery takes a call from each within 3 s.
    registry.set_processing_time(Duration::from_secs(3) / MANY_NODES);
    let before = registry.calls();
    let silent = registry.silence_pending();
    registry.state("s-1", "leaving");
    let told: Vec<Duration> = std::thread::scope(|scope| {
        let addr = leaves.addr;
        let each = nodes
            .into_iter()
            .map(|node| scope.spawn(move || until_left(&node, addr, silent + LAST) - silent));
        let each: Vec<_> = each.collect();
        each.into_iter().map(|t| t.join().expect("learned in time")).collect()
    });
    let calls = registry.calls();
    println!("told of {:?} to {:?} after the silence", told.iter().min(), told.iter().max());
    println!("calls meanwhile: {}, of new watches {}", calls.0 - before.0, calls.1 - before.1);
}
