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
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Remove a balancer that the fleet has no more, when its supervisor is gone for good
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
    /// The drain ends by itself after this, such as 10m
    #[arg(long = "for", value_name = "TIME", value_parser = config::duration)]
    ends: Option<Duration>,
    /// Reason
    #[arg(long, default_value = "")]
    why: String,
    /// Wait this long where budgets do not allow it now, instead of being rejected
    #[arg(long, value_name = "TIME", value_parser = config::duration)]
    wait: Option<Duration>,
    /// Wait this long until every balancer has confirmed that nothing is in flight there
    #[arg(long, value_name = "TIME", value_parser = config::duration)]
    until_drained: Option<Duration>,
    /// A reason to exceed what budgets allow; floors hold all the same
    #[arg(long = "override", value_name = "REASON")]
    overrides: Option<String>,
}

impl DrainArgs {
    pub fn run(self) -> anyhow::Result<()> {
        let DrainArgs { file, unit, ends, why, wait, until_drained, overrides } = self;
        let command = Command::Drain(DrainOptions {
            endpoint: unit,
            duration_ms: ends.map(|ends| u64::try_from(ends.as_millis()).unwrap_or(u64::MAX)),
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

/// Shows the drains.
pub fn drains(file: &Path, json: bool) -> anyhow::Result<()> {
    run(file, Command::Drains { json })
}

fn run(file: &Path, command: Command) -> anyhow::Result<()> {
    let config = config::disruption::read(file)?;
    disruption_agent::command::run(&config, command).map_err(anyhow::Error::msg)
}
