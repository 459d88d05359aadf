//! `herondock endpoints`: shows the endpoints of an instance, or those that its sources report.
use crate::endpoint_sources::inspect;
use crate::{node_config, run};
use anyhow::Context;
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct EndpointsArgs {
    /// The operator's file, which names the instance's Unix socket (daemon.takeover) and its sources
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The instance's Unix socket; overrides daemon.takeover
    #[arg(long, value_name = "PATH")]
    takeover: Option<PathBuf>,
    /// Query the sources themselves, with the platform's configuration in the file that NODE_CONFIG names
    #[arg(long)]
    once: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl EndpointsArgs {
    pub fn run(self) -> anyhow::Result<()> {
        let operator = run::read_operator(self.operator.as_deref()).map_err(anyhow::Error::msg)?;
        let status = if self.once {
            let config = node_config::load().map_err(anyhow::Error::msg)?;
            inspect::query_sources(config, &operator)
        } else {
            let socket = self.takeover.or_else(|| operator.daemon.takeover.clone());
            let socket = socket.context(
                "members: name the instance's socket with --takeover or in --operator, or query the sources with --once",
            )?;
            inspect::query_instance(&socket)
        };
        let status = status.map_err(anyhow::Error::msg)?;
        let text = if self.json { format!("{status}\n") } else { inspect::format_table(&status) };
        super::print(&text)
    }
}
