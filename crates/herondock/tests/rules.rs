//! The four rules under trouble, judged by the ledger: real instances between stand-ins that fail by script, over the
//! four pairings of what callers and upstreams speak.
mod common;
use common::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use testkit::discovery::{ListedUpstream, Registry};
use testkit::ledger::{Entry, Ledger, RuleParameters, UpstreamState};
use testkit::script::Script;
use testkit::upstream::UpstreamOptions;

/// Where callers of this pairing connect.
fn addrs(pairing: Pairing, nodes: &[Node]) -> Vec<std::net::SocketAddr> {
    nodes.iter().map(|node| pairing.addr(node)).collect()
}

/// Instances that ask this registry.
fn fleet(pairing: Pairing, size: usize, registry: &Registry) -> Vec<Node> {
    let operator = pairing.operator();
    let start = |k: usize| {
        let asked = registry.open_endpoint(&format!("n{k}")).expect("a port");
        let config = config(asked, 1024, "null")
            .replace("\"balancers\":1,\"index\":0", &format!("\"balancers\":{size},\"index\":{k}"));
        let mut command = command(&config);
        command.arg("run").arg("--operator").arg(&operator);
        let node = Node::run(command, Discovery::start());
        // It is ready once it has been told of the list.
        let started = std::time::Instant::now();
        while node.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
            assert!(started.elapsed() < TEST_TIMEOUT, "never ready");
            thread::yield_now();
        }
        node
    };
    (0..size).map(start).collect()
}

/// Guards against any repeat, loss or false promise when upstreams break off, turn away, fail, garble or close.
#[test]
fn resets_errors_and_refusals_of_upstreams_break_no_rule() {
    // At one time: they mostly wait for deadlines.
    thread::scope(|scope| {
        for pairing in PAIRINGS {
            scope.spawn(move || resets_errors_and_refusals_of_upstreams_break_no_rule_in(pairing));
        }
    });
}

fn resets_errors_and_refusals_of_upstreams_break_no_rule_in(pairing: Pairing) {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let trouble = || {
        let mut script = Script::new();
        for _ in 0..20 {
            script = script
                .times(9, || ok("served"))
                .times(1, || Step::Close)
                .times(2, Step::declined)
                .times(4, || ok("served"))
                .times(1, || status("500 Broken"))
                .times(3, || Step::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into()))
                .times(1, || Step::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into()));
        }
        script.forever(|| ok("served"))
    };
    let upstreams: Vec<Upstream> = (0..4)
        .map(|k| {
            let options =
                UpstreamOptions { ledger: Some(ledger.clone()), ..pairing.options(&format!("u{k}")) };
            let upstream = Upstream::with(options, trouble().into_behaviour());
            registry.set(
                &format!("u{k}"),
                ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 },
            );
            upstream
        })
        .collect();
    let nodes = fleet(pairing, 2, &registry);
    let served = load_by(pairing, &ledger, &addrs(pairing, &nodes), 8, 20);
    assert_eq!(ledger.check(&figures()), []);
    assert!(served > 8 * 20 * 3 / 2, "most are served: {served}");
    drop(upstreams);
}

/// Guards against news of a drain that is taken in but not kept, under load; and against losing what was under way.
#[test]
fn an_upstream_that_drains_under_load_gets_nothing_new() {
    PAIRINGS.into_iter().for_each(an_upstream_that_drains_under_load_gets_nothing_new_in);
}

fn an_upstream_that_drains_under_load_gets_nothing_new_in(pairing: Pairing) {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let start = |name: &str| {
        let upstream = Upstream::with(
            UpstreamOptions { ledger: Some(ledger.clone()), ..pairing.options(name) },
            |_: &Message| ok("x"),
        );
        registry.set(name, ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 });
        upstream
    };
    let upstreams = ["u0", "u1", "u2"].map(start);
    let nodes = fleet(pairing, 2, &registry);
    // No grace at all here: what begins after a balancer was told is a fault, but for what crossed the news.
    let strict =
        RuleParameters { drain_grace: Duration::ZERO, tolerance: Duration::from_millis(500), ..figures() };
    load_by(pairing, &ledger, &addrs(pairing, &nodes), 4, 10);
    registry.state("u0", "leaving");
    registry.state("u1", "left");
    let told = |upstream: &str| {
        let closed = |e: &Entry| matches!(e, Entry::Notified { upstream: u, state: UpstreamState::Closed, .. } if u == upstream);
        ledger.since(0).iter().filter(|r| closed(&r.entry)).count()
    };
    let started = std::time::Instant::now();
    while told("u0") < nodes.len() || told("u1") < nodes.len() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the news does not arrive");
        thread::yield_now();
    }
    let (before, served) =
        (executed(&ledger, "u2"), load_by(pairing, &ledger, &addrs(pairing, &nodes), 4, 50));
    assert!(served > 300, "{served}");
    assert_eq!(ledger.check(&strict), []);
    assert!(executed(&ledger, "u2") - before >= served - 20, "the one that is left does the work");
    drop(upstreams);
}

fn executed(ledger: &Ledger, name: &str) -> usize {
    let at = |e: &Entry| matches!(e, Entry::Executed { upstream, .. } if upstream == name);
    ledger.since(0).iter().filter(|r| at(&r.entry)).count()
}

/// Guards against a restart that loses or repeats anything: every instance is told to end in the middle of the load,
/// one after the other, while callers go on with what they have.
#[test]
fn instances_told_to_end_under_load_break_no_rule() {
    PAIRINGS.into_iter().for_each(instances_told_to_end_under_load_break_no_rule_in);
}

fn instances_told_to_end_under_load_break_no_rule_in(pairing: Pairing) {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let options = UpstreamOptions { ledger: Some(ledger.clone()), cores: 8, ..pairing.options("u0") };
    let upstream = Upstream::with(options, |_: &Message| {
        Step::Work(Duration::from_millis(2), testkit::message::ok_response("x"))
    });
    registry.set("u0", ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 });
    let mut nodes = fleet(pairing, 3, &registry);
    let addrs: Vec<_> = nodes.iter().enumerate().map(|(k, n)| (format!("n{k}"), pairing.addr(n))).collect();
    let stop = std::sync::atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for seed in 1..=6 {
            let (ledger, stop, addrs) = (&ledger, &stop, &addrs);
            scope.spawn(move || {
                let mut caller = pairing.caller(ledger, seed);
                caller.set_balancers(addrs);
                let mut all = CLASSES.iter().cycle();
                while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                    let Some((class, effect)) = all.next() else { return };
                    caller.call(&operation(class, *effect));
                }
            });
        }
        for node in &mut nodes[..2] {
            node.terminate();
            assert!(node.wait().success());
            assert!(!node.log().iter().any(|l| l.contains("unanswered")), "{:?}", node.log());
        }
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    assert_eq!(ledger.check(&figures()), []);
    assert!(executed(&ledger, "u0") > 100);
}
