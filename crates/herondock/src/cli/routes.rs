//! `herondock routes`: explains how a routing table routes a request, and shows the differences between two tables.
use crate::routing::inspect::{diff_tables, explain, RequestDescription};
use clap::Subcommand;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum RoutesArgs {
    /// Show the route and pool that a request is assigned to, and the reasons
    Explain {
        /// The operator's file, which names the table
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Tenant of the request; by default the first one
        #[arg(long)]
        club: Option<String>,
        /// Class of the request; by default the first one
        #[arg(long)]
        class: Option<String>,
        /// Path of the request, with or without a query
        #[arg(long, default_value = "/api")]
        path: String,
        /// Host of the request
        #[arg(long, default_value = "")]
        host: String,
        /// Method of the request
        #[arg(long, default_value = "GET")]
        method: String,
        /// Front that receives the request
        #[arg(long, default_value = "http")]
        front: String,
        /// Idempotency key of the request
        #[arg(long)]
        key: Option<String>,
        /// Header of the request; may be given several times
        #[arg(long, value_name = "NAME=VALUE", value_parser = header)]
        header: Vec<(String, String)>,
    },
    /// Show the requests that are routed differently by the tables of two operator's files, and the expectations whose result
    /// changes
    Diff {
        /// Operator's file with the current table
        old: PathBuf,
        /// Operator's file with the new table
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
