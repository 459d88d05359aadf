//! Control socket: commands to a running daemon over a Unix socket. Each connection carries one command line, answered
//! by lines of which the last begins with `ok` or `failed`. Only the daemon's own user may connect.
//!
//! ```text
//! client: COMMAND\n
//! daemon: LINE\n ...          any number of progress lines
//! daemon: ok\n  or  failed REASON\n
//! ```
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum length of a command line, in bytes.
pub const MAX_COMMAND_BYTES: u64 = 256 << 10;
/// Maximum time that a client has to send its command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of commands that are queued for the daemon's event loop.
const MAX_QUEUED_COMMANDS: usize = 64;
/// Maximum number of reply lines that are queued for a client that does not read; further ones are dropped.
const MAX_QUEUED_REPLY_LINES: usize = 256;
/// Maximum time that clients have to read their last reply when the socket closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a connection could not be accepted, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A command of a client.
pub struct ControlRequest {
    /// The command line, without surrounding white space.
    pub command: String,
    /// Receives the reply lines; the last one has to begin with `ok` or `failed`. Dropping it closes the connection.
    pub reply: mpsc::Sender<String>,
}

/// The daemon's side of the control socket.
pub struct ControlSocket {
    requests: mpsc::Receiver<ControlRequest>,
    accept_task: tokio::task::JoinHandle<()>,
    /// Channel without messages, which ends when all connections are closed: each holds a sender.
    open_connections: mpsc::Receiver<()>,
}

impl ControlSocket {
    /// Listens at `path`, which is replaced if it exists. To be called within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// The socket cannot be bound.
    pub fn bind(path: &Path) -> io::Result<ControlSocket> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        let (request_sender, requests) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let (connection_guard, open_connections) = mpsc::channel::<()>(1);
        let accept_task =
            tokio::task::spawn_local(accept_connections(listener, request_sender, connection_guard));
        Ok(ControlSocket { requests, accept_task, open_connections })
    }

    /// Waits for the next command. Cancel safe.
    pub async fn next(&mut self) -> ControlRequest {
        match self.requests.recv().await {
            Some(request) => request,
            // The accept task, which holds a sender, runs as long as `self` lives.
            None => std::future::pending().await,
        }
    }

    /// Closes the socket to new commands, and waits up to a second for clients to read their last reply.
    pub async fn close(mut self) {
        self.accept_task.abort();
        drop(self.requests);
        let _ = timeout(CLOSE_TIMEOUT, self.open_connections.recv()).await;
    }
}

async fn accept_connections(
    listener: UnixListener,
    requests: mpsc::Sender<ControlRequest>,
    connection_guard: mpsc::Sender<()>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (requests, connection_guard) = (requests.clone(), connection_guard.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, requests).await;
            drop(connection_guard);
        });
    }
}

/// Reads the command and writes reply lines until the daemon drops the reply channel or the client disconnects.
async fn serve_connection(stream: UnixStream, requests: mpsc::Sender<ControlRequest>) {
    let (reader, mut writer) = stream.into_split();
    let mut line = String::new();
    let mut reader = tokio::io::BufReader::new(reader).take(MAX_COMMAND_BYTES);
    if !matches!(timeout(COMMAND_TIMEOUT, reader.read_line(&mut line)).await, Ok(Ok(n)) if n > 0) {
        return;
    }
    let (reply, mut reply_lines) = mpsc::channel(MAX_QUEUED_REPLY_LINES);
    if requests.send(ControlRequest { command: line.trim().into(), reply }).await.is_err() {
        return;
    }
    while let Some(line) = reply_lines.recv().await {
        if writer.write_all(format!("{line}\n").as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Error of a command.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No daemon listens at the path.
    #[error("no daemon is running")]
    NotRunning,
    /// The daemon reported this failure.
    #[error("{0}")]
    Failed(String),
    /// The connection broke, or the daemon sent no reply line within the timeout.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The daemon closed the connection before its last reply line.
    #[error("the daemon closed the connection before its last reply line")]
    Incomplete,
}

/// Sends a command to the daemon at `path` and passes each progress line to `on_line`. `read_timeout` is the maximum time
/// between two reply lines.
///
/// # Errors
/// No daemon listens there, the connection breaks, or the daemon reports a failure.
pub fn send_command(
    path: &Path,
    command: &str,
    read_timeout: Duration,
    mut on_line: impl FnMut(&str),
) -> Result<(), ControlError> {
    let mut stream = match std::os::unix::net::UnixStream::connect(path) {
        Ok(stream) => stream,
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
            return Err(ControlError::NotRunning);
        }
        Err(e) => return Err(e.into()),
    };
    stream.set_read_timeout(Some(read_timeout))?;
    writeln!(stream, "{command}")?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        match line.split_once(' ').unwrap_or((&line, "")) {
            ("ok", _) => return Ok(()),
            ("failed", reason) => return Err(ControlError::Failed(reason.into())),
            _ => on_line(&line),
        }
    }
    Err(ControlError::Incomplete)
}
