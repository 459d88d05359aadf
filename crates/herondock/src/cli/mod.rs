//! The command line: the commands, their arguments and exit codes (0: success, 1: failure, 2: wrong usage).
//!
//! Each group of commands has a module that parses its arguments. The commands are implemented by the crates and modules that
//! it calls.
mod coordination;
mod disruption;
mod endpoints;
mod fleet;
mod former_names;
mod rollout;
mod routes;

use crate::{check, demo, run};
use clap::{Parser, Subcommand};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{info, Level};

/// A load balancer for services that call services.
#[derive(Parser)]
#[command(version, about)]
struct CommandLine {
    /// Log level: info, or debug, which adds a line for each call to discovery, each choice of an upstream and each first byte
    #[arg(long, global = true, value_name = "LEVEL", default_value = "info", value_parser = level)]
    log: Level,
    #[command(subcommand)]
    command: Option<Command>,
}

fn level(text: &str) -> Result<Level, &'static str> {
    match text {
        "info" => Ok(Level::INFO),
        "debug" => Ok(Level::DEBUG),
        _ => Err("is none of info, debug"),
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run one balancer, with the platform's configuration in the file that NODE_CONFIG names (the default)
    Run {
        /// The operator's file (TOML); see deploy/herondock.example.toml
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// The pid file; overrides daemon.pid_file
        #[arg(long, value_name = "FILE")]
        pid_file: Option<PathBuf>,
        /// The Unix socket for handing the listener off to a successor; overrides daemon.takeover
        #[arg(long, value_name = "PATH")]
        takeover: Option<PathBuf>,
        /// Exit when standard input ends: for programs that start instances and must not leave one behind
        #[arg(long, hide = true)]
        lifeline: bool,
    },
    /// Show the balancer at work: three instances between stand-ins, with faults; needs no configuration
    Demo {
        /// Duration of the traffic
        #[arg(long, value_name = "N", default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
        /// Print the report as JSON, and nothing else
        #[arg(long)]
        json: bool,
    },
    /// Supervise many instances on one machine, or talk to their supervisor
    Fleet(fleet::FleetArgs),
    /// Run a voter of the coordination service, or talk to the service; see deploy/council.example.toml
    #[command(subcommand, alias = "council")]
    Coordination(coordination::CoordinationArgs),
    /// Disruption budgets: how much of the fleet may be unavailable at one time, and what is; see
    /// deploy/outages.example.toml
    #[command(subcommand, alias = "outage")]
    Disruption(disruption::DisruptionArgs),
    /// Roll a new build out over the whole fleet: stages, canary analysis, pause and rollback; see
    /// deploy/release.example.toml
    #[command(subcommand, alias = "release")]
    Rollout(rollout::RolloutArgs),
    /// Drain an upstream at all balancers, where disruption budgets allow it
    Drain(disruption::DrainArgs),
    /// End the drain of an upstream; it returns with slow start
    Undrain {
        /// The file of disruption budgets
        file: PathBuf,
        /// POOL/UPSTREAM, or the upstream alone
        unit: String,
    },
    /// Show the drains, and which balancers have not confirmed them
    Drains {
        /// The file of disruption budgets
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the endpoints of a running instance, or those that its sources report
    #[command(alias = "members")]
    Endpoints(endpoints::EndpointsArgs),
    /// Show how a routing table routes requests, with the names in the platform configuration that NODE_CONFIG names
    #[command(subcommand)]
    Routes(routes::RoutesArgs),
    /// Check operator's files (TOML) and platform configurations (.json); opens no socket
    Check {
        /// Files to check
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
}

impl Default for Command {
    fn default() -> Command {
        Command::Run { operator: None, pid_file: None, takeover: None, lifeline: false }
    }
}

impl Command {
    fn run(self) -> anyhow::Result<()> {
        match self {
            Command::Run { operator, pid_file, takeover, lifeline } => {
                if lifeline {
                    run::exit_with_standard_input();
                }
                run::run(run::Options { operator, pid_file, takeover }).map_err(anyhow::Error::msg)
            }
            Command::Fleet(args) => args.run(),
            Command::Coordination(args) => args.run(),
            Command::Disruption(args) => args.run(),
            Command::Rollout(args) => args.run(),
            Command::Drain(args) => args.run(),
            Command::Undrain { file, unit } => disruption::undrain(&file, unit),
            Command::Drains { file, json } => disruption::drains(&file, json),
            Command::Endpoints(args) => args.run(),
            Command::Demo { seconds, json } => {
                demo::demo(&demo::Options { seconds, json }).map_err(anyhow::Error::msg)
            }
            Command::Routes(args) => args.run(),
            Command::Check { files } => check::check(&files).map_err(anyhow::Error::msg),
        }
    }
}

/// Writes text to standard output.
fn print(text: &str) -> anyhow::Result<()> {
    std::io::stdout().write_all(text.as_bytes()).map_err(|e| anyhow::anyhow!("standard output: {e}"))
}

/// Parses the command line and runs its command.
pub fn main() -> ExitCode {
    // Exits the process on wrong usage with status 2, and after printing the help or version with status 0.
    let line = CommandLine::parse();
    daemon::log::init(line.log);
    for (former, name) in former_names::used(std::env::args()) {
        info!("herondock: {former} has been renamed to {name}; the former name remains valid");
    }
    match line.command.unwrap_or_default().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            info!("herondock: {error}");
            ExitCode::FAILURE
        }
    }
}
