//! Presence of processes: an ephemeral key for each.
use super::{ClientConfig, ClientHandle, SessionState, WeakClientHandle};
use config::coordination::CoordinationClientConfig;
use coordination::client::{RequestOutcome, SessionConfig};
use coordination::state_machine::{Op, SessionId};
use std::time::Duration;

/// Prefix of the keys that show which processes are present. It is the stored form and must not change.
const PRESENCE_PREFIX: &str = "present/";
/// Timeout of writing the presence key; a failed write is retried when the session changes.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a client without a session, for a process of this kind and name.
pub fn spawn_reader(file: &CoordinationClientConfig, kind: &str, name: &str) -> ClientHandle {
    ClientHandle::spawn(ClientConfig {
        voters: file.voters.iter().map(ToString::to_string).collect(),
        session: None,
        name: format!("{kind}/{name}"),
        response_timeout: file.patience,
    })
}

/// Opens a session for a client that has none. The session distinguishes its process from all others, also from those of
/// the same name. The ephemeral key `present/KIND/NAME` holds the session and the process id.
pub fn announce_presence(client: &ClientHandle, file: &CoordinationClientConfig, kind: &str, name: &str) {
    let name = format!("{kind}/{name}");
    let session = SessionConfig { name: name.clone(), ttl: file.ttl, take_over: true };
    tokio::task::spawn_local(maintain_presence(client.downgrade(), name, session));
}

/// Starts a client and announces the presence of its process.
pub fn spawn_with_presence(file: &CoordinationClientConfig, kind: &str, name: &str) -> ClientHandle {
    let client = spawn_reader(file, kind, name);
    announce_presence(&client, file, kind, name);
    client
}

/// Writes the presence key whenever a session is established, until the client ends.
async fn maintain_presence(client: WeakClientHandle, name: String, session: SessionConfig) {
    let mut states = match client.upgrade() {
        Some(client) => {
            let states = client.session_state();
            client.open_session(session).await;
            states
        }
        None => return,
    };
    let mut announced = None;
    loop {
        let state = *states.borrow_and_update();
        if let (SessionState::Active(id), true) = (state, announced != Some(state)) {
            let Some(client) = client.upgrade() else { return };
            if write_presence(&client, &name, id).await {
                announced = Some(state);
                continue;
            }
        }
        if states.changed().await.is_err() {
            return;
        }
    }
}

async fn write_presence(client: &ClientHandle, name: &str, session: SessionId) -> bool {
    let value = serde_json::json!({"session": session, "pid": std::process::id()}).to_string();
    let put = Op::Put { key: format!("{PRESENCE_PREFIX}{name}"), value, ephemeral: true };
    let outcome = client.transact(vec![], vec![put], PRESENCE_TIMEOUT).await;
    matches!(outcome, RequestOutcome::Answered(_))
}
