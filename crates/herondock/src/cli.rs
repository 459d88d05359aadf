//! The command line: what each command is called and takes, and what it ends with (0, 1 for a failure, 2 for wrong
//! usage).
use crate::log::log;
use crate::{check, demo, run};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load balancer for services that call services.
#[derive(Parser)]
#[command(version, about)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run one balancer, with the platform's configuration in the file that NODE_CONFIG names (the default)
    Run {
        /// The operator's file (TOML); see deploy/herondock.example.toml
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// End when standard input does: for programs that start instances and must not leave one behind
        #[arg(long, hide = true)]
        lifeline: bool,
    },
    /// Show the balancer at work: three instances between stand-ins, with trouble; needs no configuration
    Demo {
        /// How long the traffic lasts
        #[arg(long, value_name = "N", default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
        /// Print the report as JSON, and nothing else
        #[arg(long)]
        json: bool,
    },
    /// Check operator's files (TOML) and platform configurations (.json); opens no socket
    Check {
        /// Files to check
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
}

/// Carries out what the command line asks for.
pub fn main() -> ExitCode {
    // Wrong usage ends in here with 2, help and version with 0.
    let line = Line::parse();
    let done = match line.command.unwrap_or(Command::Run { operator: None, lifeline: false }) {
        Command::Run { operator, lifeline } => {
            if lifeline {
                run::end_with_input();
            }
            run::run(operator.as_deref())
        }
        Command::Demo { seconds, json } => demo::demo(&demo::Options { seconds, json }),
        Command::Check { files } => check::check(&files),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log!("herondock: {message}");
            ExitCode::FAILURE
        }
    }
}
