//! Stand-ins for what surrounds herondock, and a ledger that checks its four rules.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`message`] | HTTP messages as they come over a socket, and ready-made requests |
//! | [`upstream`] | upstreams that do what a test tells them, or that work like small servers |
//! | [`script`] | fault scripts: what an upstream does with the first request, the next, and so on |
//! | [`discovery`] | discovery that answers as it is told, and a registry that keeps a list and its watches |
//! | [`consul`] | a stand-in for Consul, whose agents fail as they are told |
//! | [`caller`] | plain clients, and callers that retry as the platform's do |
//! | [`fastcgi`] | FastCGI applications and web servers, and records as they are |
//! | [`fleet`] | a machine of a fleet: its supervisor and its instances |
//! | [`faults`] | what breaks under running processes |
//! | [`plain`] | callers that hide nothing, and count what they met |
//! | [`coordination`] | a council of real voters behind links, and clients of it |
//! | [`process`] | a process that a test started, and its log |
//! | [`node`] | the program under test as a process |
//! | [`site`] | several machines with a council and links between them |
//! | [`watcher`] | who really serves, asked from outside all the time |
//! | [`ledger`] | what was sent, run and answered, and the four rules over it |
//!
//! Everything listens on ephemeral loopback ports, and runs in plain threads that block. A test waits for what it
//! needs to have happened and never for a time: what stand-ins see comes over channels, [`node::Node::logs`] and
//! [`node::Node::wait_for_descriptors`] wait for a state of the program, and [`PATIENCE`] only ends a test that has failed.
//!
//! ```
//! use std::sync::Arc;
//! use testkit::caller::{Caller, Operation, Outcome};
//! use testkit::ledger::{Effect, RuleParameters, Ledger};
//! use testkit::script::Script;
//! use testkit::upstream::{ok, Options, Then, Upstream};
//!
//! // Here the caller meets the upstream itself; a test puts a `Node` between them.
//! let ledger = Arc::new(Ledger::new());
//! let script = Script::new().times(1, || Then::declined()).for_ever(|| ok("served"));
//! let upstream = Upstream::with(Options { ledger: Some(ledger.clone()), ..Options::named("s-1") }, script.play());
//! let mut caller = Caller::new(ledger.clone(), 7);
//! caller.reach("n1", upstream.addr);
//! let operation = Operation { class: "pay".into(), owner: "club".into(), effect: Effect::Unsafe, ..Operation::default() };
//! // Turned away once, which promises that another try is harmless; then served.
//! let done = caller.call(&operation);
//! assert!(matches!(done.outcome, Outcome::Served { .. }) && done.tries == 2);
//! assert_eq!(ledger.check(&RuleParameters::default()), []);
//! ```
pub mod caller;
pub mod consul;
pub mod coordination;
pub mod discovery;
pub mod fastcgi;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod message;
pub mod node;
pub mod plain;
pub mod process;
pub mod script;
pub mod site;
pub mod upstream;
pub mod watcher;

use std::time::Duration;

/// Ends a test that has failed; nothing that works comes near it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
