//! Shared helpers of the process tests: the program under test, its callers and the stand-ins around it.
#![allow(dead_code, unused_imports)] // each test file uses a part of the helpers
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use testkit::caller::{Caller, Operation, Outcome};
use testkit::ledger::{DedupScope, Effect, Ledger, RuleParameters};

pub use testkit::caller::Client;
pub use testkit::discovery::{upstream_list, Discovery};
pub use testkit::message::{get, pay, read, Message};
pub use testkit::node::{config, Node, Program};
pub use testkit::upstream::{ok, refusing, status, Step, Unreachable, Upstream, UpstreamOptions};
pub use testkit::TEST_TIMEOUT;

/// Returns the program as it was built for this test.
pub fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"))
}

/// Starts a balancer with this endpoint list and a limit of `sockets` sockets; its discovery gives prepared answers.
pub fn start(sockets: usize, known: &str) -> Node {
    program().start(sockets, known)
}

/// Starts a balancer that knows these upstreams and whose discovery never answers.
pub fn with(upstreams: &[SocketAddr]) -> Node {
    program().with(upstreams)
}

/// Returns the command that starts the balancer with this configuration.
pub fn command(config: &str) -> Command {
    program().command(config)
}

/// Returns an unused path with this ending in a folder that tests may write to.
pub fn path(ending: &str) -> PathBuf {
    let path = program().file(ending, "");
    std::fs::remove_file(&path).expect("removes");
    path
}

/// Returns an endpoint list with this upstream.
pub fn known(upstream: &Upstream) -> String {
    upstream_list(1, true, &[(0, upstream.addr, "active")])
}

/// Starts a balancer with additional arguments for `run`; its discovery never answers.
pub fn started(args: &[&OsStr], known: &str) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, known));
    command.arg("run").args(args);
    Node::run(command, discovery)
}

/// Parameters of the ledger rules that match [`config`]: all upstreams share one deduplication scope and drop duplicates for
/// 20 s.
pub fn figures() -> RuleParameters {
    RuleParameters {
        scope: DedupScope::All,
        dedup_window: Duration::from_secs(20),
        ..RuleParameters::default()
    }
}

/// Returns an operation of this class with a deadline of 20 s, which is enough for every test.
pub fn operation(class: &str, effect: Effect) -> Operation {
    Operation { class: class.into(), effect, deadline: Duration::from_secs(20), ..Operation::default() }
}

/// One class of requests for each effect.
pub const CLASSES: [(&str, Effect); 3] =
    [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];

/// Protocols of callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Pairing {
    /// Whether callers speak FastCGI.
    pub front: bool,
    /// Whether upstreams speak FastCGI.
    pub upstream: bool,
    /// Maximum number of concurrent requests on a connection to an upstream.
    pub max_concurrent: usize,
}

const fn pairing(front: bool, upstream: bool, max_concurrent: usize) -> Pairing {
    Pairing { front, upstream, max_concurrent }
}

/// All four combinations of protocols, and FastCGI on both sides with several concurrent requests on a connection to an
/// upstream.
pub const PAIRINGS: [Pairing; 5] = [
    pairing(false, false, 1),
    pairing(false, true, 1),
    pairing(true, false, 1),
    pairing(true, true, 1),
    pairing(true, true, 8),
];

impl Pairing {
    /// Returns the options of an upstream that speaks the protocol of this pairing.
    pub fn options(self, name: &str) -> UpstreamOptions {
        UpstreamOptions {
            fastcgi: self.upstream,
            max_concurrent: self.max_concurrent,
            ..UpstreamOptions::named(name)
        }
    }

    /// Writes the operator's file for this pairing and returns its path.
    pub fn operator(self) -> PathBuf {
        let protocol = if self.upstream { "fastcgi" } else { "http" };
        let listen = if self.front { "listen = [\"127.0.0.1:0\"]" } else { "" };
        let (fastcgi, max_concurrent) =
            (format!("[registry]\nspeaks = \"{protocol}\"\n[fastcgi]\n{listen}"), self.max_concurrent);
        program().file(".toml", &format!("{fastcgi}\nmultiplex = {max_concurrent}\n"))
    }

    /// Returns the address to which callers of this pairing connect.
    pub fn addr(self, node: &Node) -> SocketAddr {
        let line = node
            .log()
            .into_iter()
            .find_map(|l| Some(l.split_once("fastcgi: callers may connect to ")?.1.to_string()));
        match (self.front, line) {
            (true, Some(addr)) => addr.parse().expect("an address"),
            (true, None) => panic!("no FastCGI front: {:?}", node.log()),
            (false, _) => node.addr,
        }
    }

    /// Returns a caller that speaks the protocol of this pairing.
    pub fn caller(self, ledger: &Arc<Ledger>, seed: u64) -> Caller {
        let caller = Caller::new(ledger.clone(), seed);
        if self.front {
            caller.with_fastcgi()
        } else {
            caller
        }
    }
}

/// Runs `callers` threads, each with `operations` operations of every class, through all balancers. Returns the number of
/// operations that were served.
pub fn load(ledger: &Arc<Ledger>, nodes: &[SocketAddr], callers: u64, operations: usize) -> usize {
    load_with_pairing(PAIRINGS[0], ledger, nodes, callers, operations)
}

/// Like [`load`], with callers of this pairing.
pub fn load_with_pairing(
    pairing: Pairing,
    ledger: &Arc<Ledger>,
    nodes: &[SocketAddr],
    callers: u64,
    operations: usize,
) -> usize {
    let addrs: Vec<_> = nodes.iter().enumerate().map(|(k, &addr)| (format!("n{k}"), addr)).collect();
    let run_caller = |seed: u64| {
        let mut caller = pairing.caller(ledger, seed);
        caller.set_balancers(&addrs);
        let requests = (0..operations).flat_map(|_| CLASSES);
        requests
            .filter(|(class, effect)| {
                matches!(caller.call(&operation(class, *effect)).outcome, Outcome::Served { .. })
            })
            .count()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (1..=callers)
            .map(|seed| (seed, &run_caller))
            .map(|(seed, run_caller)| scope.spawn(move || run_caller(seed)))
            .collect();
        threads.into_iter().map(|t| t.join().expect("no panic")).sum()
    })
}

/// Waits until the condition `holds`. Panics with `what` after [`TEST_TIMEOUT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}");
        thread::yield_now();
    }
}

/// Stops the callers when it is dropped, also after a panic; otherwise the scope would wait for them for ever.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `action` while six callers send operations of all classes to all instances. Returns the result of `action`, the
/// number of operations that were served and the number of those that were not.
pub fn under_load<T>(
    ledger: &Arc<Ledger>,
    addrs: &[(String, SocketAddr)],
    action: impl FnOnce() -> T,
) -> (T, usize, usize) {
    under_load_of(&CLASSES, ledger, addrs, action)
}

/// Like [`under_load`], with operations of these classes only.
pub fn under_load_of<T>(
    classes: &[(&str, Effect)],
    ledger: &Arc<Ledger>,
    addrs: &[(String, SocketAddr)],
    action: impl FnOnce() -> T,
) -> (T, usize, usize) {
    let (stop, served, not_served) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let result = thread::scope(|scope| {
        for seed in 1..=6 {
            let (stop, served, not_served) = (&stop, &served, &not_served);
            scope.spawn(move || {
                let mut caller = Caller::new(ledger.clone(), seed).with_readiness_check();
                caller.set_balancers(addrs);
                for &(class, effect) in classes.iter().cycle() {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let deadline = Duration::from_secs(20);
                    let operation =
                        Operation { class: class.into(), effect, deadline, ..Operation::default() };
                    match caller.call(&operation).outcome {
                        Outcome::Served { .. } => served.fetch_add(1, Ordering::SeqCst),
                        _ => not_served.fetch_add(1, Ordering::SeqCst),
                    };
                }
            });
        }
        let _stop = StopOnDrop(&stop);
        action()
    });
    (result, served.into_inner(), not_served.into_inner())
}
