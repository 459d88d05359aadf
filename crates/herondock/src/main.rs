//! herondock: a load balancer on real sockets; see the README, and `docs/architecture.md` for the way of a request.
mod budget;
mod check;
mod cli;
mod clock;
mod counts;
mod demo;
mod driver;
mod exchange;
mod fleet;
mod front;
mod handover;
mod http;
mod live;
mod members;
mod node_config;
mod routing;
mod run;
mod sockets;
mod station;
mod stream;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
