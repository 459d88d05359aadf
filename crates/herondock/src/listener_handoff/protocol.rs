//! The handoff protocol over a Unix socket.
//!
//! ```text
//! new: take-over 1 NAME\n
//! old: sockets LENGTH\n        with the listeners attached (SCM_RIGHTS), and LENGTH bytes of what goes along;
//!      or refused WHY\n
//! new: ready\n                 once it could serve; until then the old one serves as if nothing were going on
//! old: released\n              it accepts nothing any more
//! ```
//!
//! The same socket answers queries for the endpoints:
//!
//! ```text
//! any: members 1\n
//! old: view LENGTH\n           and LENGTH bytes of JSON
//! ```
//!
//! Either side may exit at any time, which the other notices by the end of the connection. Both run as the same user.
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// Longest line, in bytes.
const MAX_LINE_BYTES: u64 = 256;
/// Maximum size of the transferred state, in bytes.
const MAX_STATE_BYTES: usize = 64 << 20;
/// How long one side waits for a step of the other that takes no work.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of listeners that are passed on.
const MAX_LISTENERS: usize = 65;

/// Listens for successors and for queries.
pub struct HandoffListener(UnixListener);

/// A process that requests the listeners.
pub struct Successor {
    stream: BufReader<UnixStream>,
    /// Its name.
    pub name: String,
}

/// A request of a process that has connected.
pub enum HandoffRequest {
    /// For the listeners.
    Listeners(Successor),
    /// For the endpoints.
    Endpoints(EndpointsQuery),
}

/// A process that requests the endpoints.
pub struct EndpointsQuery(BufReader<UnixStream>);

impl EndpointsQuery {
    /// Answers with the endpoints as JSON.
    pub async fn answer(mut self, view: Vec<u8>) {
        // The process may have exited.
        let head = format!("view {}\n", view.len());
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(head.as_bytes())).await;
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(&view)).await;
    }
}

/// A handoff or a query failed.
#[derive(Debug, thiserror::Error)]
#[error("daemon.takeover: {}: {source}", .path.display())]
pub struct HandoffError {
    path: PathBuf,
    source: io::Error,
}

impl HandoffError {
    fn at(path: &Path) -> impl Fn(io::Error) -> HandoffError + '_ {
        |source| HandoffError { path: path.into(), source }
    }
}

/// Requests the endpoints, as JSON, from the process that listens at `path`.
///
/// # Errors
/// No process listens there, or it breaks the protocol.
pub async fn request_endpoints(path: &Path) -> Result<Vec<u8>, HandoffError> {
    let asked = async {
        let mut stream = BufReader::new(UnixStream::connect(path).await?);
        stream.write_all(b"members 1\n").await?;
        let head = read_line(&mut stream).await?;
        let length = head.strip_prefix("view ").and_then(|n| n.parse::<usize>().ok());
        let length = length.filter(|&n| n <= MAX_STATE_BYTES);
        let mut view = vec![0; length.ok_or_else(|| io::Error::other(format!("it said {head:?}")))?];
        stream.read_exact(&mut view).await?;
        Ok::<_, io::Error>(view)
    };
    let asked = timeout(STEP_TIMEOUT, asked).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
    asked.map_err(HandoffError::at(path))
}

impl HandoffListener {
    /// Listens at `path`. A socket that a former process left there is replaced.
    ///
    /// # Errors
    /// The path can't be listened on.
    pub fn bind(path: &Path) -> Result<HandoffListener, HandoffError> {
        let fault = HandoffError::at(path);
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(fault(e)),
            _ => {}
        }
        let listener = UnixListener::bind(path).map_err(&fault)?;
        // Only this user may connect; the user of the other end is checked as well.
        let private = std::os::unix::fs::PermissionsExt::from_mode(0o600);
        std::fs::set_permissions(path, private).map_err(fault)?;
        Ok(HandoffListener(listener))
    }

    /// The next request. Processes that disconnect, are slow, or run as another user are ignored.
    pub async fn next(&self) -> HandoffRequest {
        loop {
            let Ok((stream, _)) = self.0.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let own = rustix::process::geteuid().as_raw();
            if !stream.peer_cred().is_ok_and(|peer| peer.uid() == own || peer.uid() == 0) {
                continue;
            }
            let mut stream = BufReader::new(stream);
            if let Ok(Ok(line)) = timeout(STEP_TIMEOUT, read_line(&mut stream)).await {
                if let Some(name) = line.strip_prefix("take-over 1 ") {
                    return HandoffRequest::Listeners(Successor { name: name.into(), stream });
                }
                if line == "members 1" {
                    return HandoffRequest::Endpoints(EndpointsQuery(stream));
                }
                let _ = stream.write_all(b"refused this is version 1\n").await;
            }
        }
    }
}

impl Successor {
    /// Rejects it.
    pub async fn reject(mut self, why: &str) {
        // The process may have exited.
        let _ = timeout(STEP_TIMEOUT, self.stream.write_all(format!("refused {why}\n").as_bytes())).await;
    }

    /// Sends the listeners, that of the platform's clients first, and the state; waits until the successor could serve.
    ///
    /// # Errors
    /// It disconnected or read too slowly, or there are too many listeners.
    pub async fn hand_off(mut self, listeners: Vec<OwnedFd>, along: &[u8]) -> io::Result<ReadySuccessor> {
        let head = format!("sockets {}\n", along.len());
        timeout(STEP_TIMEOUT, send_with_descriptors(self.stream.get_ref(), head.as_bytes(), &listeners))
            .await??;
        // The other handles keep the sockets open.
        drop(listeners);
        timeout(STEP_TIMEOUT, self.stream.write_all(along)).await??;
        match read_line(&mut self.stream).await?.as_str() {
            "ready" => Ok(ReadySuccessor(self.stream)),
            other => Err(io::Error::other(format!("it said {other:?}"))),
        }
    }
}

/// A successor that could serve, and waits to be released.
pub struct ReadySuccessor(BufReader<UnixStream>);

impl ReadySuccessor {
    /// Releases it to accept.
    pub async fn release(mut self) {
        // If it has exited, the next process finds the sockets closed, as after any exit.
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(b"released\n")).await;
    }
}

/// What a successor has received.
pub struct ReceivedListeners {
    /// The listener; the predecessor still accepts on it.
    pub listener: TcpListener,
    /// Listeners of other fronts.
    pub other_fronts: Vec<OwnedFd>,
    /// The transferred state, encoded.
    pub state: Vec<u8>,
    stream: BufReader<UnixStream>,
}

/// Requests the listeners from the process that listens at `path`. `None`: there is none.
///
/// # Errors
/// It rejects the request, disconnects, or breaks the protocol.
pub async fn request_listeners(path: &Path, name: &str) -> Result<Option<ReceivedListeners>, HandoffError> {
    let fault = HandoffError::at(path);
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        // There is no socket, or one that a former process left.
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(fault(e)),
    };
    let asked = async {
        let mut stream = BufReader::new(stream);
        stream.write_all(format!("take-over 1 {}\n", name.replace(['\n', '\r'], " ")).as_bytes()).await?;
        let (head, passed) = receive_with_descriptors(stream.get_ref()).await?;
        let mut words = head.splitn(2, ' ');
        let length = match (words.next(), words.next().unwrap_or("")) {
            (Some("sockets"), length) => length.parse::<usize>().ok().filter(|&n| n <= MAX_STATE_BYTES),
            (Some("refused"), why) => return Err(io::Error::other(format!("refused: {why}"))),
            _ => None,
        };
        let length = length.ok_or_else(|| io::Error::other(format!("it said {head:?}")))?;
        let mut passed = passed.into_iter();
        let listener = passed.next().ok_or_else(|| io::Error::other("no socket came"))?;
        let mut along = vec![0; length];
        stream.read_exact(&mut along).await?;
        Ok(ReceivedListeners {
            listener: TcpListener::from(listener),
            other_fronts: passed.collect(),
            state: along,
            stream,
        })
    };
    timeout(STEP_TIMEOUT, asked)
        .await
        .map_err(|_| fault(ErrorKind::TimedOut.into()))?
        .map(Some)
        .map_err(fault)
}

impl ReceivedListeners {
    /// Waits until only this process accepts on the listener. Once `ready` ends, the predecessor is notified; it may also exit
    /// before, which leaves the listener to this process as well.
    pub async fn wait_until_released(mut self, ready: impl std::future::Future<Output = ()>) {
        let mut ready = std::pin::pin!(ready);
        let mut told = false;
        loop {
            tokio::select! {
                () = &mut ready, if !told => {
                    told = true;
                    // A failure shows in the next read.
                    let _ = self.stream.write_all(b"ready\n").await;
                }
                // The only line is the release, and the end of the connection is the exit of the predecessor.
                _ = read_line(&mut self.stream) => return,
            }
        }
    }
}

async fn read_line(stream: &mut BufReader<UnixStream>) -> io::Result<String> {
    let mut text = String::new();
    stream.take(MAX_LINE_BYTES).read_line(&mut text).await?;
    match text.strip_suffix('\n') {
        Some(line) => Ok(line.into()),
        None => Err(ErrorKind::UnexpectedEof.into()),
    }
}

/// Sends a line with listeners attached.
async fn send_with_descriptors(stream: &UnixStream, text: &[u8], listeners: &[OwnedFd]) -> io::Result<()> {
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let passed: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
            if !control.push(SendAncillaryMessage::ScmRights(&passed)) {
                return Err(io::Error::other("too many listeners"));
            }
            let sent = sendmsg(stream, &[IoSlice::new(text)], &mut control, SendFlags::NOSIGNAL)?;
            // A short line is written completely on a connection without output.
            if sent == text.len() {
                Ok(())
            } else {
                Err(ErrorKind::WriteZero.into())
            }
        })
        .await
}

/// Reads a line byte by byte, so that no byte behind it is consumed, and the descriptors attached to it.
async fn receive_with_descriptors(stream: &UnixStream) -> io::Result<(String, Vec<OwnedFd>)> {
    let (mut text, mut passed) = (Vec::new(), Vec::new());
    while text.last() != Some(&b'\n') && (text.len() as u64) < MAX_LINE_BYTES {
        let byte = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut byte = [0];
                let got = recvmsg(
                    stream,
                    &mut [IoSliceMut::new(&mut byte)],
                    &mut control,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                        passed.extend(descriptors);
                    }
                }
                Ok((got.bytes > 0).then_some(byte[0]))
            })
            .await?;
        text.push(byte.ok_or(ErrorKind::UnexpectedEof)?);
    }
    let text = String::from_utf8(text).map_err(|_| ErrorKind::InvalidData)?;
    Ok((text.trim_end().into(), passed))
}
