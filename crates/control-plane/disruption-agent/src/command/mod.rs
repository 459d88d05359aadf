//! Operator commands: `herondock outage apply|status|forget`, `herondock drain`, `undrain` and `drains`.
mod apply;
mod client;
mod drain;
mod forget;
mod status;

pub use client::{operator, print, spawn_client, OutputError, SESSION_CLOSE_TIMEOUT};
pub use drain::DrainOptions;
pub use status::state;

use crate::store::StoreError;
use client::OperatorClient;
use config::disruption::DisruptionConfig;
use disruption::{LeaseDecision, ResourceId};
use std::io;
use std::time::Duration;
use thiserror::Error;

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Store the budgets of the file, which then apply to the whole fleet.
    Apply,
    /// Print unavailable resources, usage of budgets and pending requests.
    Status {
        /// Whether to print JSON instead of tables.
        json: bool,
    },
    /// Stop sending new requests to an upstream.
    Drain(DrainOptions),
    /// End a drain.
    Undrain {
        /// `POOL/UPSTREAM`, or the upstream alone.
        endpoint: String,
    },
    /// Print the drains.
    Drains {
        /// Whether to print JSON instead of a table.
        json: bool,
    },
    /// Remove a balancer from the fleet whose supervisor cannot do so.
    Forget {
        /// Name of the balancer.
        balancer: String,
    },
}

/// Error of a command, as printed to the operator.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The asynchronous runtime cannot be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// The output cannot be written.
    #[error(transparent)]
    Output(#[from] OutputError),
    /// No session could be opened in time.
    #[error("the council opened no session within {0:?}: is a majority of voters running?")]
    NoSession(Duration),
    /// The store cannot be read.
    #[error("cannot read from the council: {0}")]
    Read(StoreError),
    /// The store cannot be written.
    #[error(transparent)]
    Write(StoreError),
    /// A write without conditions was rejected because of a condition.
    #[error("a write without conditions was rejected because of a condition")]
    UnexpectedConflict,
    /// No balancer has the upstream.
    #[error("no balancer has an upstream {name:?}; {known} upstreams are known")]
    UnknownUpstream {
        /// Name that was given.
        name: String,
        /// Number of known upstreams.
        known: usize,
    },
    /// The upstream belongs to other pools.
    #[error("{name} is not in pool {pool:?} but in {pools}")]
    NotInPool {
        /// Name of the upstream.
        name: String,
        /// Pool that was given.
        pool: String,
        /// Pools of the upstream.
        pools: String,
    },
    /// The session of the command has ended.
    #[error("the session of this command has ended")]
    SessionEnded,
    /// The lease request is gone although no lease was granted.
    #[error("the lease request was deleted, and no lease was granted")]
    RequestEnded,
    /// The lease request cannot be granted, or not in time.
    #[error("{}", decision_text(.0))]
    NotGranted(LeaseDecision),
    /// The drain ended before it was complete.
    #[error("the drain of {0} ended before it was complete")]
    DrainEnded(ResourceId),
    /// The drain is not complete in time.
    #[error("{resource} is not drained after {timeout:?}; not confirmed by {pending}")]
    NotDrained {
        /// Drained upstream.
        resource: ResourceId,
        /// Time that was waited.
        timeout: Duration,
        /// Balancers that have not confirmed.
        pending: String,
    },
    /// No drain lease is granted for the upstream.
    #[error("no drain lease is granted for {0}")]
    NoDrain(ResourceId),
    /// The fleet has no such balancer.
    #[error("no balancer {0:?} is known")]
    UnknownBalancer(String),
    /// The balancer is running.
    #[error("{0} is running and connected to the council")]
    BalancerRuns(String),
    /// The supervisor of the balancer, with the name of its machine, is connected.
    #[error("the supervisor of {0} is connected, and would add the balancer again")]
    SupervisorConnected(String),
    /// The balancer's entry has changed since it was read.
    #[error("the entry of the balancer has changed since it was read")]
    Conflict,
}

/// Text of a decision for the operator. A rejection is printed as its reason alone.
fn decision_text(decision: &LeaseDecision) -> String {
    match decision {
        LeaseDecision::Rejected(reason) => reason.clone(),
        other => other.to_string(),
    }
}

/// Executes a command.
///
/// # Errors
/// The command did not succeed.
pub fn run(config: &DisruptionConfig, command: Command) -> Result<(), CommandError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, execute(config, command))
}

async fn execute(config: &DisruptionConfig, command: Command) -> Result<(), CommandError> {
    let only_reads = matches!(command, Command::Status { .. } | Command::Drains { .. });
    let mut client = OperatorClient::new(&config.coordination, !only_reads);
    let result = match command {
        Command::Apply => apply::apply(&config.budgets, &mut client).await,
        Command::Status { json } => status::print_status(client.snapshot().await?, json),
        Command::Drains { json } => status::print_drains(client.snapshot().await?, json),
        Command::Drain(options) => drain::drain(&mut client, &options).await,
        Command::Undrain { endpoint } => drain::undrain(&mut client, &endpoint).await,
        Command::Forget { balancer } => forget::forget(&mut client, &balancer).await,
    };
    if !only_reads {
        client.close().await;
    }
    result
}
