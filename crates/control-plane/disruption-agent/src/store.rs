//! Reads and conditional writes of the coordination store.
use coordination::client::RequestOutcome;
use coordination::protocol::{Answer, Select};
use coordination::state_machine::{Outcome, Rejection, Revision};
use coordination_server::client::ClientHandle;
use disruption::{ConditionalWrite, Projection};
use std::time::Duration;
use thiserror::Error;

/// Timeout of a read or write.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a read or write did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The coordination service answered with an error.
    #[error("{0}")]
    Failed(String),
    /// The request was not executed.
    #[error("{0}")]
    NotExecuted(String),
    /// It is not known whether the request was executed.
    #[error("{0}")]
    Indeterminate(String),
    /// The state machine rejected the write.
    #[error("{0}")]
    Rejected(Rejection),
    /// The answer does not belong to the request.
    #[error("{0}")]
    UnexpectedAnswer(String),
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was executed as this revision.
    Committed(Revision),
    /// A condition does not hold; the caller has to decide again on a newer snapshot.
    Conflict,
    /// The write was not executed, or it is not known whether it was.
    Failed(StoreError),
}

/// Reads all keys under `prefix` from a majority.
///
/// # Errors
/// The read did not succeed.
pub async fn read<P: Projection>(client: &ClientHandle, prefix: &str) -> Result<P, StoreError> {
    match client.read(Select::Prefix(prefix.into()), REQUEST_TIMEOUT).await {
        RequestOutcome::Answered(Answer::Values { revision, items }) => Ok(P::from_items(revision, &items)),
        other => Err(error_of(other)),
    }
}

/// Executes a conditional write.
pub async fn write(client: &ClientHandle, write: ConditionalWrite) -> WriteOutcome {
    let outcome = client.transact(write.compares, write.ops, REQUEST_TIMEOUT).await;
    let RequestOutcome::Answered(Answer::Outcome(outcome)) = outcome else {
        return WriteOutcome::Failed(error_of(outcome));
    };
    match outcome {
        Outcome::Committed(revision) => WriteOutcome::Committed(revision),
        Outcome::CompareFailed { .. } => WriteOutcome::Conflict,
        Outcome::Rejected(rejection) => WriteOutcome::Failed(StoreError::Rejected(rejection)),
        other => WriteOutcome::Failed(error_of(RequestOutcome::Answered(Answer::Outcome(other)))),
    }
}

fn error_of(outcome: RequestOutcome) -> StoreError {
    match outcome {
        RequestOutcome::Answered(Answer::Failed(reason)) => StoreError::Failed(reason),
        RequestOutcome::NotExecuted(reason) => StoreError::NotExecuted(reason),
        RequestOutcome::Indeterminate(reason) => StoreError::Indeterminate(reason),
        RequestOutcome::Answered(other) => StoreError::UnexpectedAnswer(format!("{other:?}")),
    }
}
