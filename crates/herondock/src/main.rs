//! herondock: a load balancer. See the README for its use, and `docs/architecture.md` for the path of a request.
mod check;
mod cli;
mod clock;
mod demo;
mod descriptor_budget;
mod disruption_reporting;
mod driver;
mod endpoint_sources;
mod exchange;
mod front;
mod http;
mod listener_handoff;
mod live_config;
mod memory_budget;
mod message_body;
mod node_config;
mod request_budgets;
mod request_counters;
mod routing;
mod run;
mod stream;
mod supervise;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
