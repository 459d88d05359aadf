//! The program under test, and all stand-ins that surround it.
#![allow(dead_code, unused_imports)] // each test file uses its own part
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

/// The program as it was built for this test.
pub fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"))
}

/// A balancer that starts with this list.
pub fn start(sockets: usize, known: &str) -> Node {
    program().start(sockets, known)
}

/// A balancer that knows these upstreams, and whose discovery is silent.
pub fn with(upstreams: &[SocketAddr]) -> Node {
    program().with(upstreams)
}

/// The balancer with this configuration.
pub fn command(config: &str) -> Command {
    program().command(config)
}

/// A path in a folder that tests may write to.
pub fn path(ending: &str) -> PathBuf {
    let path = program().file(ending, "");
    std::fs::remove_file(&path).expect("removes");
    path
}

/// A list with this upstream.
pub fn known(upstream: &Upstream) -> String {
    upstream_list(1, true, &[(0, upstream.addr, "active")])
}

/// A balancer with further arguments; discovery is silent.
pub fn started(args: &[&OsStr], known: &str) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, known));
    command.arg("run").args(args);
    Node::run(command, discovery)
}

/// The rules in the figures of [`config`]: all upstreams drop repeats, for 20 s.
pub fn figures() -> RuleParameters {
    RuleParameters {
        scope: DedupScope::All,
        dedup_window: Duration::from_secs(20),
        ..RuleParameters::default()
    }
}

/// An operation of this class with time enough.
pub fn operation(class: &str, effect: Effect) -> Operation {
    Operation { class: class.into(), effect, deadline: Duration::from_secs(20), ..Operation::default() }
}

/// A class of each effect.
pub const CLASSES: [(&str, Effect); 3] =
    [("read", Effect::Safe), ("order", Effect::Keyed), ("pay", Effect::Unsafe)];

/// What callers and upstreams speak.
#[derive(Clone, Copy, Debug)]
pub struct Pairing {
    /// Whether callers speak FastCGI.
    pub front: bool,
    /// Whether upstreams do.
    pub upstream: bool,
    /// Requests at once on a connection to an upstream.
    pub at_once: usize,
}

const fn pairing(front: bool, upstream: bool, at_once: usize) -> Pairing {
    Pairing { front, upstream, at_once }
}

/// All four, and with several requests at once on a connection to an upstream.
pub const PAIRINGS: [Pairing; 5] = [
    pairing(false, false, 1),
    pairing(false, true, 1),
    pairing(true, false, 1),
    pairing(true, true, 1),
    pairing(true, true, 8),
];

impl Pairing {
    /// An upstream's options.
    pub fn options(self, name: &str) -> UpstreamOptions {
        UpstreamOptions {
            fastcgi: self.upstream,
            max_concurrent: self.at_once,
            ..UpstreamOptions::named(name)
        }
    }

    /// The operator's file that goes with it.
    pub fn operator(self) -> PathBuf {
        let speaks = if self.upstream { "fastcgi" } else { "http" };
        let listen = if self.front { "listen = [\"127.0.0.1:0\"]" } else { "" };
        let (fastcgi, at_once) =
            (format!("[registry]\nspeaks = \"{speaks}\"\n[fastcgi]\n{listen}"), self.at_once);
        program().file(".toml", &format!("{fastcgi}\nmultiplex = {at_once}\n"))
    }

    /// Where its callers connect to this instance.
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

    /// A caller that speaks its front's protocol.
    pub fn caller(self, ledger: &Arc<Ledger>, seed: u64) -> Caller {
        let caller = Caller::new(ledger.clone(), seed);
        if self.front {
            caller.with_fastcgi()
        } else {
            caller
        }
    }
}

/// Callers in threads, each with so many operations of every class, through all balancers. How many were served.
pub fn load(ledger: &Arc<Ledger>, nodes: &[SocketAddr], callers: u64, operations: usize) -> usize {
    load_by(PAIRINGS[0], ledger, nodes, callers, operations)
}

/// The same by callers of this pairing.
pub fn load_by(
    pairing: Pairing,
    ledger: &Arc<Ledger>,
    nodes: &[SocketAddr],
    callers: u64,
    operations: usize,
) -> usize {
    let addrs: Vec<_> = nodes.iter().enumerate().map(|(k, &addr)| (format!("n{k}"), addr)).collect();
    let one = |seed: u64| {
        let mut caller = pairing.caller(ledger, seed);
        caller.set_balancers(&addrs);
        let all = (0..operations).flat_map(|_| CLASSES);
        all.filter(|(class, effect)| {
            matches!(caller.call(&operation(class, *effect)).outcome, Outcome::Served { .. })
        })
        .count()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (1..=callers)
            .map(|seed| (seed, &one))
            .map(|(seed, one)| scope.spawn(move || one(seed)))
            .collect();
        threads.into_iter().map(|t| t.join().expect("no panic")).sum()
    })
}

/// Waits until this holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}");
        thread::yield_now();
    }
}

/// Ends the callers, also when what was done meanwhile has failed: nothing would end the test otherwise.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Callers of all classes over all instances while something is done; how many operations were served, and how many not.
pub fn under_load<T>(
    ledger: &Arc<Ledger>,
    addrs: &[(String, SocketAddr)],
    act: impl FnOnce() -> T,
) -> (T, usize, usize) {
    under_load_of(&CLASSES, ledger, addrs, act)
}

/// The same with callers of these classes.
pub fn under_load_of<T>(
    classes: &[(&str, Effect)],
    ledger: &Arc<Ledger>,
    addrs: &[(String, SocketAddr)],
    act: impl FnOnce() -> T,
) -> (T, usize, usize) {
    let (stop, served, other) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let done = thread::scope(|scope| {
        for seed in 1..=6 {
            let (stop, served, other) = (&stop, &served, &other);
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
                        _ => other.fetch_add(1, Ordering::SeqCst),
                    };
                }
            });
        }
        let _stop = Stop(&stop);
        act()
    });
    (done, served.into_inner(), other.into_inner())
}
