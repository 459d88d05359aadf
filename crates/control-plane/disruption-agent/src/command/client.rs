//! Connection of an operator command to the coordination service.
use super::CommandError;
use crate::informer::Informer;
use crate::store::{write, WriteOutcome};
use config::coordination::CoordinationClientConfig;
use coordination::client::SessionConfig;
use coordination::state_machine::{Revision, SessionId};
use coordination_server::client::{ClientConfig, ClientHandle, SessionState};
use disruption::{ConditionalWrite, FleetSnapshot};
use std::io::{self, Write};
use std::time::Duration;
use thiserror::Error;

/// Timeout for opening the session.
const SESSION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to live of the session.
const SESSION_TTL: Duration = Duration::from_secs(5);
/// Timeout for closing the session.
pub const SESSION_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time between two reads of the snapshot while a command waits for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum length of an operator's name, in characters.
const MAX_OPERATOR_CHARS: usize = 32;

/// Standard output cannot be written.
#[derive(Debug, Error)]
#[error("standard output: {0}")]
pub struct OutputError(#[from] io::Error);

/// Prints a line of a command's output.
///
/// # Errors
/// Standard output cannot be written.
pub fn print(line: &str) -> Result<(), OutputError> {
    Ok(writeln!(io::stdout(), "{line}")?)
}

/// Name of the operator who runs the command, for stored values.
pub fn operator() -> String {
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    user.chars().filter(|&c| is_plain(c)).take(MAX_OPERATOR_CHARS).collect()
}

/// Spawns a client for a command, with a session if the command writes.
pub fn spawn_client(config: &CoordinationClientConfig, with_session: bool) -> ClientHandle {
    let name = format!("command/{}/{}", operator(), std::process::id());
    let session =
        with_session.then(|| SessionConfig { name: name.clone(), ttl: SESSION_TTL, take_over: true });
    ClientHandle::spawn(ClientConfig {
        voters: config.voters.iter().map(ToString::to_string).collect(),
        session,
        name,
        response_timeout: config.patience,
    })
}

/// Client of a command, with its view of the fleet.
pub(super) struct OperatorClient {
    client: ClientHandle,
    informer: Informer,
}

impl OperatorClient {
    pub fn new(config: &CoordinationClientConfig, with_session: bool) -> OperatorClient {
        let client = spawn_client(config, with_session);
        OperatorClient { informer: Informer::new(client.clone()), client }
    }

    /// Waits until the session is active.
    pub async fn session(&self) -> Result<SessionId, CommandError> {
        let mut state = self.client.session_state();
        let active = state.wait_for(|state| matches!(state, SessionState::Active(_)));
        match tokio::time::timeout(SESSION_TIMEOUT, active).await.map(|state| state.map(|state| *state)) {
            Ok(Ok(SessionState::Active(session))) => Ok(session),
            _ => Err(CommandError::NoSession(SESSION_TIMEOUT)),
        }
    }

    /// Reads the snapshot from a majority.
    pub async fn snapshot(&mut self) -> Result<&FleetSnapshot, CommandError> {
        self.informer.read_consistent().await.map_err(CommandError::Read)
    }

    /// Waits until the snapshot has changed, or for [`POLL_INTERVAL`].
    pub async fn changed(&mut self) {
        // A timeout is not an error: the caller reads the snapshot again.
        let _ = tokio::time::timeout(POLL_INTERVAL, self.informer.next()).await;
    }

    /// Executes a write. `None` if a condition does not hold.
    pub async fn write(&self, change: ConditionalWrite) -> Result<Option<Revision>, CommandError> {
        match write(&self.client, change).await {
            WriteOutcome::Committed(revision) => Ok(Some(revision)),
            WriteOutcome::Conflict => Ok(None),
            WriteOutcome::Failed(error) => Err(CommandError::Write(error)),
        }
    }

    pub async fn close(&self) {
        self.client.close_session(SESSION_CLOSE_TIMEOUT).await;
    }
}
