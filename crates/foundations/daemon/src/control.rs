//! Commands to a running daemon over its Unix socket: one line each, answered by lines, of which the last begins with
//! `ok` or `failed`. Only the daemon's own user may connect.
//!
//! ```text
//! who asks: COMMAND\n
//! daemon:   LINE\n ...          as many as there is to tell, as it happens
//! daemon:   ok\n  or  failed WHY\n
//! ```
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longest command, in bytes.
pub const MAX_COMMAND_BYTES: u64 = 256 << 10;
/// How long whoever connects may take to say what it wants.
const COMMAND_WAIT: Duration = Duration::from_secs(5);
/// Commands that may wait for the daemon's loop.
const WAITING: usize = 64;
/// Lines that may wait for a command's sender; one that does not read is not waited for.
const ANSWERS: usize = 256;
/// How long those who were answered last have to read it.
const LAST_WORD: Duration = Duration::from_secs(1);
/// Pause after a connection that could not be accepted: descriptors are short.
const PAUSE: Duration = Duration::from_millis(50);

/// A command, and where its answer goes.
pub struct ControlRequest {
    /// What was asked.
    pub line: String,
    /// Who asks. Each line as it happens, the last one beginning with `ok` or `failed`; dropped, the conversation ends.
    pub answer: mpsc::Sender<String>,
}

/// The daemon's side.
pub struct ControlSocket {
    asked: mpsc::Receiver<ControlRequest>,
    listening: tokio::task::JoinHandle<()>,
    talks: mpsc::Receiver<()>,
}

impl ControlSocket {
    /// Listens at `path`, in place of a daemon that has gone. In a local set of tasks.
    ///
    /// # Errors
    /// The path can't be had.
    pub fn bind(path: &Path) -> std::io::Result<ControlSocket> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        let (ask, asked) = mpsc::channel(WAITING);
        let (talk, talks) = mpsc::channel::<()>(1);
        let listening = tokio::task::spawn_local(listen(listener, ask, talk));
        Ok(ControlSocket { asked, listening, talks })
    }

    /// The next command. Nothing is lost if the wait is given up.
    pub async fn next(&mut self) -> ControlRequest {
        match self.asked.recv().await {
            Some(asked) => asked,
            // It listens for as long as this lives.
            None => std::future::pending().await,
        }
    }

    /// Takes no further command; waits a moment for those who were answered to read it.
    pub async fn close(mut self) {
        self.listening.abort();
        drop(self.asked);
        // Each conversation holds a sender until it is over.
        let _ = timeout(LAST_WORD, self.talks.recv()).await;
    }
}

/// Takes commands; each connection has one.
async fn listen(listener: UnixListener, ask: mpsc::Sender<ControlRequest>, talk: mpsc::Sender<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let (ask, talk) = (ask.clone(), talk.clone());
        tokio::task::spawn_local(async move {
            converse(stream, ask).await;
            drop(talk);
        });
    }
}

async fn converse(stream: UnixStream, ask: mpsc::Sender<ControlRequest>) {
    let (read, mut write) = stream.into_split();
    let mut line = String::new();
    let mut read = tokio::io::BufReader::new(read).take(MAX_COMMAND_BYTES);
    if !matches!(timeout(COMMAND_WAIT, read.read_line(&mut line)).await, Ok(Ok(n)) if n > 0) {
        return;
    }
    let (answer, mut answers) = mpsc::channel(ANSWERS);
    if ask.send(ControlRequest { line: line.trim().into(), answer }).await.is_err() {
        return;
    }
    // Until whoever answers has said all, or nobody reads any more.
    while let Some(line) = answers.recv().await {
        if write.write_all(format!("{line}\n").as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Why a command came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens at the path.
    Nobody,
    /// The daemon's word.
    Refused(String),
    /// The conversation broke off, or took too long.
    Broken(String),
}

/// Sends a command to the daemon at `path` and passes its answer on, line by line; `silence` is how long it may say
/// nothing.
///
/// # Errors
/// No daemon runs there, or it says why the command came to nothing.
pub fn ask(path: &Path, command: &str, silence: Duration, mut tell: impl FnMut(&str)) -> Result<(), Failure> {
    let broken = |e: std::io::Error| Failure::Broken(e.to_string());
    let mut stream = match std::os::unix::net::UnixStream::connect(path) {
        Ok(stream) => stream,
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
            return Err(Failure::Nobody);
        }
        Err(e) => return Err(broken(e)),
    };
    stream.set_read_timeout(Some(silence)).map_err(broken)?;
    writeln!(stream, "{command}").map_err(broken)?;
    for line in BufReader::new(stream).lines() {
        let line = line.map_err(broken)?;
        match line.split_once(' ').unwrap_or((&line, "")) {
            ("ok", _) => return Ok(()),
            ("failed", why) => return Err(Failure::Refused(why.into())),
            _ => tell(&line),
        }
    }
    Err(Failure::Broken("it ended before it answered".into()))
}
