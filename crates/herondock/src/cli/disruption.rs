//! `herondock disruption`, `drain`, `undrain` and `drains`: disruption budgets and drains of upstreams.
use clap::{Args, Subcommand};
use disruption_agent::command::{Command, DrainOptions};
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Subcommand)]
pub enum DisruptionArgs {
    /// Make the file's budgets those of the fleet
    Apply {
        /// The file of disruption budgets
        file: PathBuf,
    },
    /// Show budgets, what is unavailable and why, and which requests wait for what
    Status {
        /// The file of disruption budgets
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Remove a balancer that no longer belongs to the fleet and whose supervisor will not return
    Forget {
        /// The file of disruption budgets
        file: PathBuf,
        /// The balancer's name
        unit: String,
    },
}

impl DisruptionArgs {
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            DisruptionArgs::Apply { file } => run(&file, Command::Apply),
            DisruptionArgs::Status { file, json } => run(&file, Command::Status { json }),
            DisruptionArgs::Forget { file, unit } => run(&file, Command::Forget { balancer: unit }),
        }
    }
}

#[derive(Args)]
pub struct DrainArgs {
    /// The file of disruption budgets
    file: PathBuf,
    /// POOL/UPSTREAM, or the upstream alone
    unit: String,
    /// Time after which the drain ends by itself, such as 10m
    #[arg(long = "for", value_name = "TIME", value_parser = config::duration)]
    duration: Option<Duration>,
    /// Reason for the drain
    #[arg(long, default_value = "")]
    why: String,
    /// Time to wait if budgets do not allow the drain now, instead of being rejected
    #[arg(long, value_name = "TIME", value_parser = config::duration)]
    wait: Option<Duration>,
    /// Time to wait until every balancer has confirmed that no request is in flight at the upstream
    #[arg(long, value_name = "TIME", value_parser = config::duration)]
    until_drained: Option<Duration>,
    /// Reason to exceed what budgets allow; floors are still enforced
    #[arg(long = "override", value_name = "REASON")]
    overrides: Option<String>,
}

impl DrainArgs {
    pub fn run(self) -> anyhow::Result<()> {
        let DrainArgs { file, unit, duration, why, wait, until_drained, overrides } = self;
        let command = Command::Drain(DrainOptions {
            endpoint: unit,
            duration_ms: duration.map(|duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)),
            reason: why,
            wait,
            until_drained,
            override_reason: overrides,
        });
        run(&file, command)
    }
}

/// Ends the drain of an upstream.
pub fn undrain(file: &Path, unit: String) -> anyhow::Result<()> {
    run(file, Command::Undrain { endpoint: unit })
}

/// Shows the drains in force.
pub fn drains(file: &Path, json: bool) -> anyhow::Result<()> {
    run(file, Command::Drains { json })
}

fn run(file: &Path, command: Command) -> anyhow::Result<()> {
    let config = config::disruption::read(file)?;
    disruption_agent::command::run(&config, command).map_err(anyhow::Error::msg)
}
