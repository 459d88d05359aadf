//! Client of the coordination service inside another process: a background task, and a handle that any task may use.
//!
//! | module | contents |
//! | --- | --- |
//! | `mod` | the handle |
//! | `task` | the task that drives the client state machine |
//! | `connection` | the connection to one voter |
//! | `presence` | presence keys of processes |
mod connection;
mod presence;
mod task;

pub use presence::{announce_presence, spawn_reader, spawn_with_presence};

use coordination::client::{ClientRequest, RequestOutcome, SessionConfig};
use coordination::protocol::{Answer, Select};
use coordination::state_machine::{Compare, Op, Revision, SessionId};
use std::time::Duration;
use task::{ClientTask, SessionPublisher};
use tokio::sync::{mpsc, oneshot, watch};

/// Commands that may be queued for the task; callers wait beyond that.
const MAX_QUEUED_COMMANDS: usize = 256;
/// Answers that may be queued for a watch; a receiver that is too slow is disconnected and has to watch again.
const MAX_QUEUED_WATCH_ANSWERS: usize = 256;

/// Configuration of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses of the voters.
    pub voters: Vec<String>,
    /// The session to open; `None` for a client that only reads, watches and administers.
    pub session: Option<SessionConfig>,
    /// Name of the client, for the handshake and the log.
    pub name: String,
    /// Time without a response after which the connection is closed.
    pub response_timeout: Duration,
}

/// State of a client's session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionState {
    /// There is no session, or it may have expired.
    #[default]
    None,
    /// This session is held.
    Active(SessionId),
    /// This session owns the name now; the client's own session has ended.
    Fenced(SessionId),
}

/// A command to the task of a client.
enum ClientCommand {
    Request { request: ClientRequest, timeout: Duration, outcome: oneshot::Sender<RequestOutcome> },
    Watch { prefix: String, after: Option<Revision>, answers: mpsc::Sender<Answer> },
    OpenSession(SessionConfig),
    CloseSession,
}

/// Time since the machine was started, including the time for which it was suspended: sessions expire during a suspension.
pub fn boottime_now() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// A handle to a client that does not keep the client running.
pub struct WeakClientHandle {
    commands: mpsc::WeakSender<ClientCommand>,
    session_state: watch::Receiver<SessionState>,
    session_expiry: watch::Receiver<Option<(SessionId, Duration)>>,
}

impl WeakClientHandle {
    /// Returns a handle that keeps the client running; `None` if the client has ended.
    pub fn upgrade(&self) -> Option<ClientHandle> {
        Some(ClientHandle {
            commands: self.commands.upgrade()?,
            session_state: self.session_state.clone(),
            session_expiry: self.session_expiry.clone(),
        })
    }
}

/// A handle to a client. The client ends with its last handle.
#[derive(Clone)]
pub struct ClientHandle {
    commands: mpsc::Sender<ClientCommand>,
    session_state: watch::Receiver<SessionState>,
    /// The last session, and when it expires by [`boottime_now`].
    session_expiry: watch::Receiver<Option<(SessionId, Duration)>>,
}

impl ClientHandle {
    /// Starts a client in the current local task set.
    pub fn spawn(config: ClientConfig) -> ClientHandle {
        let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let (state, session_state) = watch::channel(SessionState::None);
        let (expiry, session_expiry) = watch::channel(None);
        ClientTask::spawn(config, queue, SessionPublisher { state, expiry });
        ClientHandle { commands, session_state, session_expiry }
    }

    /// A handle that does not keep the client running.
    pub fn downgrade(&self) -> WeakClientHandle {
        WeakClientHandle {
            commands: self.commands.downgrade(),
            session_state: self.session_state.clone(),
            session_expiry: self.session_expiry.clone(),
        }
    }

    /// Executes a request.
    pub async fn request(&self, request: ClientRequest, timeout: Duration) -> RequestOutcome {
        let (outcome, receiver) = oneshot::channel();
        let ended = || RequestOutcome::NotExecuted("the client has ended".into());
        if self.commands.send(ClientCommand::Request { request, timeout, outcome }).await.is_err() {
            return ended();
        }
        receiver.await.unwrap_or_else(|_| ended())
    }

    /// Executes a transaction under the client's session.
    pub async fn transact(&self, compares: Vec<Compare>, ops: Vec<Op>, timeout: Duration) -> RequestOutcome {
        self.request(ClientRequest::Transact { compares, ops }, timeout).await
    }

    /// Executes a linearizable read.
    pub async fn read(&self, select: Select, timeout: Duration) -> RequestOutcome {
        self.request(ClientRequest::Read(select), timeout).await
    }

    /// Watches the keys with a prefix, after a revision or from now on. The receiver ends after [`Answer::Compacted`], or when
    /// it is too slow.
    pub async fn watch(&self, prefix: &str, after: Option<Revision>) -> mpsc::Receiver<Answer> {
        let (answers, receiver) = mpsc::channel(MAX_QUEUED_WATCH_ANSWERS);
        let _ = self.commands.send(ClientCommand::Watch { prefix: prefix.into(), after, answers }).await;
        receiver
    }

    /// The state of the session, as it changes.
    pub fn session_state(&self) -> watch::Receiver<SessionState> {
        self.session_state.clone()
    }

    /// The session that is held now, and when it expires by [`boottime_now`] unless it is renewed.
    pub fn active_session(&self) -> Option<(SessionId, Duration)> {
        self.session_expiry.borrow().filter(|&(_, expiry)| boottime_now() < expiry)
    }

    /// The last session, and when it expires or expired by [`boottime_now`].
    pub fn last_session(&self) -> Option<(SessionId, Duration)> {
        *self.session_expiry.borrow()
    }

    /// Opens a session, if the client has none.
    pub async fn open_session(&self, session: SessionConfig) {
        let _ = self.commands.send(ClientCommand::OpenSession(session)).await;
    }

    /// Closes the session and ends the client; returns once a voter has acknowledged the closing, or after the timeout.
    pub async fn close_session(&self, timeout: Duration) {
        if self.commands.send(ClientCommand::CloseSession).await.is_ok() {
            let _ = tokio::time::timeout(timeout, self.commands.closed()).await;
        }
    }
}
