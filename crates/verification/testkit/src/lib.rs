//! Test doubles for everything around herondock, and a ledger that checks its four rules.
//!
//! | module | contents |
//! | --- | --- |
//! | [`message`] | HTTP messages as read from a socket, and ready-made requests and answers |
//! | [`upstream`] | upstreams that answer as a test sets, or that work like small servers |
//! | [`crowd`] | hundreds of clients that write slowly, in part, or without a pause |
//! | [`script`] | fault scripts: the steps of an upstream for the first request, the next, and so on |
//! | [`discovery`] | discovery with prepared answers, and a registry that serves a list and watches on it |
//! | [`consul`] | a stand-in for Consul with agents that inject faults |
//! | [`caller`] | plain clients, and callers that retry like the platform's callers |
//! | [`fastcgi`] | FastCGI applications and web servers, and raw records |
//! | [`fleet`] | a machine of a fleet: its supervisor and its instances |
//! | [`faults`] | fault injection under running processes |
//! | [`plain`] | callers without retries that count every outcome |
//! | [`coordination`] | a council of real voters behind links, and its clients |
//! | [`process`] | a process that a test started, and its log |
//! | [`node`] | the program under test as a process |
//! | [`soak`] | a run under load and faults drawn from a seed |
//! | [`site`] | several machines with a council and links between them |
//! | [`watcher`] | readiness of each balancer, polled from outside throughout a test |
//! | [`ledger`] | requests, executions and answers, and the check of the four rules |
//!
//! All listeners use loopback addresses and free ports, and run in blocking threads. A test waits for events, never
//! for a fixed time: observations of the stand-ins arrive over channels, [`node::Node::wait_for_log`] and
//! [`node::Node::wait_for_descriptors`] wait for a state of the program, and [`TEST_TIMEOUT`] only ends a test that has
//! failed.
//!
//! ```
//! use std::sync::Arc;
//! use testkit::caller::{Caller, Operation, Outcome};
//! use testkit::ledger::{Effect, RuleParameters, Ledger};
//! use testkit::script::Script;
//! use testkit::upstream::{ok, Step, Upstream, UpstreamOptions};
//!
//! // The caller reaches the upstream directly here; a test puts a `Node` between them.
//! let ledger = Arc::new(Ledger::new());
//! let script = Script::new().times(1, || Step::declined()).forever(|| ok("served"));
//! let options = UpstreamOptions { ledger: Some(ledger.clone()), ..UpstreamOptions::named("s-1") };
//! let upstream = Upstream::with(options, script.into_behaviour());
//! let mut caller = Caller::new(ledger.clone(), 7);
//! caller.set_balancer("n1", upstream.addr);
//! let operation = Operation { class: "pay".into(), owner: "club".into(), effect: Effect::Unsafe, ..Operation::default() };
//! // The first attempt is declined, which makes a retry safe; the second is served.
//! let result = caller.call(&operation);
//! assert!(matches!(result.outcome, Outcome::Served { .. }) && result.attempts == 2);
//! assert_eq!(ledger.check(&RuleParameters::default()), []);
//! ```
pub mod caller;
pub mod consul;
pub mod coordination;
pub mod crowd;
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
pub mod soak;
pub mod upstream;
pub mod watcher;

use std::time::Duration;

/// Maximum wait of a test before it fails; a working program stays far below it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
