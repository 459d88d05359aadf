//! `herondock routes`: what a routing table does with a request, and what a change of the table moves.
use crate::routing::inspect::{diff_tables, explain, RequestDescription};
use clap::Subcommand;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum RoutesArgs {
    /// Show which route and pool a request gets, and why
    Explain {
        /// The operator's file, which names the table
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Its club; the first one if it is not given
        #[arg(long)]
        club: Option<String>,
        /// Its class; the first one if it is not given
        #[arg(long)]
        class: Option<String>,
        /// Its path, with a query or without
        #[arg(long, default_value = "/api")]
        path: String,
        /// Its host
        #[arg(long, default_value = "")]
        host: String,
        /// Its method
        #[arg(long, default_value = "GET")]
        method: String,
        /// The front that it comes in by
        #[arg(long, default_value = "http")]
        front: String,
        /// Its idempotency key
        #[arg(long)]
        key: Option<String>,
        /// A header of it; may be given several times
        #[arg(long, value_name = "NAME=VALUE", value_parser = header)]
        header: Vec<(String, String)>,
    },
    /// Show who moves between the tables of two operator's files, and which expectations change their answer
    Diff {
        /// The operator's file with the table in use
        old: PathBuf,
        /// The one with the table to come
        new: PathBuf,
    },
}

fn header(text: &str) -> Result<(String, String), &'static str> {
    let (name, value) = text.split_once('=').ok_or("is no NAME=VALUE")?;
    Ok((name.to_ascii_lowercase(), value.into()))
}

impl RoutesArgs {
    pub fn run(self) -> anyhow::Result<()> {
        let text = match self {
            RoutesArgs::Explain { operator, club, class, path, host, method, front, key, header } => {
                let headers = header;
                let request =
                    RequestDescription { tenant: club, class, path, host, method, front, key, headers };
                explain(&operator, &request)
            }
            RoutesArgs::Diff { old, new } => diff_tables(&old, &new),
        };
        super::print(&text.map_err(anyhow::Error::msg)?)
    }
}
