//! The command line: what each command is called and takes, and what it ends with (0, 1 for a failure, 2 for wrong
//! usage).
use crate::log::log;
use crate::{check, run};
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
    let done = match line.command.unwrap_or(Command::Run { operator: None }) {
        Command::Run { operator } => run::run(operator.as_deref()),
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
