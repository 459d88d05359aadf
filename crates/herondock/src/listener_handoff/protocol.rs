//! The handoff protocol over a Unix socket.
//!
//! ```text
//! successor:   take-over 1 NAME\n
//! predecessor: sockets LENGTH\n     with the listeners attached (SCM_RIGHTS), followed by LENGTH bytes of state;
//!              or refused REASON\n
//! successor:   ready\n              once it is able to serve; until then the predecessor serves as before
//! predecessor: released\n           once it accepts no connections any more
//! ```
//!
//! The same socket answers queries for the endpoints:
//!
//! ```text
//! client:      members 1\n
//! instance:    view LENGTH\n        followed by LENGTH bytes of JSON
//! ```
//!
//! Either side may exit at any time; the other side notices that the connection has closed. Both run as the same user, or the
//! requesting process as root.
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

/// Maximum length of a protocol line, in bytes.
const MAX_LINE_BYTES: u64 = 256;
/// Maximum size of the transferred state, in bytes.
const MAX_STATE_BYTES: usize = 64 << 20;
/// Maximum time that one side waits for a step of the other side that requires no work.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of listeners that are passed on.
const MAX_LISTENERS: usize = 65;

/// Listens for successors and for queries.
pub struct HandoffListener(UnixListener);

/// A process that requests the listeners.
pub struct Successor {
    stream: BufReader<UnixStream>,
    /// Name that the process stated in its request.
    pub name: String,
}

/// A request at the handoff socket.
pub enum HandoffRequest {
    /// Request for the listeners.
    Listeners(Successor),
    /// Request for the endpoints.
    Endpoints(EndpointsQuery),
}

/// A process that requests the endpoints.
pub struct EndpointsQuery(BufReader<UnixStream>);

impl EndpointsQuery {
    /// Answers with the endpoints as JSON. Errors are ignored: the requesting process may have exited.
    pub async fn answer(mut self, endpoints: Vec<u8>) {
        let head = format!("view {}\n", endpoints.len());
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(head.as_bytes())).await;
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(&endpoints)).await;
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
/// No process listens there, it violates the protocol, or it does not answer within [`STEP_TIMEOUT`].
pub async fn request_endpoints(path: &Path) -> Result<Vec<u8>, HandoffError> {
    let exchange = async {
        let mut stream = BufReader::new(UnixStream::connect(path).await?);
        stream.write_all(b"members 1\n").await?;
        let head = read_line(&mut stream).await?;
        let length = head.strip_prefix("view ").and_then(|n| n.parse::<usize>().ok());
        let length = length.filter(|&length| length <= MAX_STATE_BYTES);
        let mut endpoints =
            vec![0; length.ok_or_else(|| io::Error::other(format!("unexpected answer {head:?}")))?];
        stream.read_exact(&mut endpoints).await?;
        Ok::<_, io::Error>(endpoints)
    };
    let result = timeout(STEP_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
    result.map_err(HandoffError::at(path))
}

impl HandoffListener {
    /// Listens at `path`. An existing file, such as the socket of an earlier process, is replaced.
    ///
    /// # Errors
    /// The socket can't be bound at `path`, or its permissions can't be set.
    pub fn bind(path: &Path) -> Result<HandoffListener, HandoffError> {
        let handoff_error = HandoffError::at(path);
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(handoff_error(e)),
            _ => {}
        }
        let listener = UnixListener::bind(path).map_err(&handoff_error)?;
        // Only this user may connect; `next` also checks the user of the connecting process.
        let owner_only = std::os::unix::fs::PermissionsExt::from_mode(0o600);
        std::fs::set_permissions(path, owner_only).map_err(handoff_error)?;
        Ok(HandoffListener(listener))
    }

    /// Waits for the next request. Processes that disconnect, exceed [`STEP_TIMEOUT`], or run as another user than this one or
    /// root are ignored.
    pub async fn next(&self) -> HandoffRequest {
        loop {
            let Ok((stream, _)) = self.0.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let own_uid = rustix::process::geteuid().as_raw();
            if !stream.peer_cred().is_ok_and(|peer| peer.uid() == own_uid || peer.uid() == 0) {
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
    /// Rejects the request with this reason. Errors are ignored: the requesting process may have exited.
    pub async fn reject(mut self, reason: &str) {
        let _ = timeout(STEP_TIMEOUT, self.stream.write_all(format!("refused {reason}\n").as_bytes())).await;
    }

    /// Sends the listeners, with the one for the platform's clients first, and the state; then waits, without a time limit, until
    /// the successor is ready to serve.
    ///
    /// # Errors
    /// The successor disconnected, did not read within [`STEP_TIMEOUT`] or violated the protocol, or there are more than
    /// [`MAX_LISTENERS`] listeners.
    pub async fn hand_off(mut self, listeners: Vec<OwnedFd>, state: &[u8]) -> io::Result<ReadySuccessor> {
        let head = format!("sockets {}\n", state.len());
        timeout(STEP_TIMEOUT, send_with_descriptors(self.stream.get_ref(), head.as_bytes(), &listeners))
            .await??;
        // The sockets stay open, since this process holds other descriptors of them.
        drop(listeners);
        timeout(STEP_TIMEOUT, self.stream.write_all(state)).await??;
        match read_line(&mut self.stream).await?.as_str() {
            "ready" => Ok(ReadySuccessor(self.stream)),
            line => Err(io::Error::other(format!("unexpected answer {line:?}"))),
        }
    }
}

/// A successor that is ready to serve and waits to be released.
pub struct ReadySuccessor(BufReader<UnixStream>);

impl ReadySuccessor {
    /// Notifies the successor that this process accepts no connections any more.
    pub async fn release(mut self) {
        // A failure means that the successor has exited. The next process then binds new sockets, as after any exit.
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(b"released\n")).await;
    }
}

/// Listeners and state that a successor has received.
pub struct ReceivedListeners {
    /// Listener for the platform's clients. The predecessor still accepts connections on it.
    pub listener: TcpListener,
    /// Listeners of other fronts.
    pub other_fronts: Vec<OwnedFd>,
    /// Transferred state, encoded as JSON.
    pub state: Vec<u8>,
    stream: BufReader<UnixStream>,
}

/// Requests the listeners from the process that listens at `path`; returns `None` if there is no such process. `name` is the
/// name of this instance, for the log of the other process.
///
/// # Errors
/// The other process rejects the request, disconnects, violates the protocol, or exceeds [`STEP_TIMEOUT`].
pub async fn request_listeners(path: &Path, name: &str) -> Result<Option<ReceivedListeners>, HandoffError> {
    let handoff_error = HandoffError::at(path);
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        // There is no socket, or one that an earlier process left behind.
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(handoff_error(e)),
    };
    let exchange = async {
        let mut stream = BufReader::new(stream);
        stream.write_all(format!("take-over 1 {}\n", name.replace(['\n', '\r'], " ")).as_bytes()).await?;
        let (head, descriptors) = receive_with_descriptors(stream.get_ref()).await?;
        let mut words = head.splitn(2, ' ');
        let length = match (words.next(), words.next().unwrap_or("")) {
            (Some("sockets"), length) => length.parse::<usize>().ok().filter(|&n| n <= MAX_STATE_BYTES),
            (Some("refused"), reason) => return Err(io::Error::other(format!("refused: {reason}"))),
            _ => None,
        };
        let length = length.ok_or_else(|| io::Error::other(format!("unexpected answer {head:?}")))?;
        let mut descriptors = descriptors.into_iter();
        let listener = descriptors.next().ok_or_else(|| io::Error::other("no listener was attached"))?;
        let mut encoded_state = vec![0; length];
        stream.read_exact(&mut encoded_state).await?;
        Ok(ReceivedListeners {
            listener: TcpListener::from(listener),
            other_fronts: descriptors.collect(),
            state: encoded_state,
            stream,
        })
    };
    timeout(STEP_TIMEOUT, exchange)
        .await
        .map_err(|_| handoff_error(ErrorKind::TimedOut.into()))?
        .map(Some)
        .map_err(handoff_error)
}

impl ReceivedListeners {
    /// Waits until only this process accepts connections on the listener. Once `ready` completes, the predecessor is notified. If
    /// the predecessor exits before, the listener is left to this process as well.
    pub async fn wait_until_released(mut self, ready: impl std::future::Future<Output = ()>) {
        let mut ready = std::pin::pin!(ready);
        let mut notified = false;
        loop {
            tokio::select! {
                () = &mut ready, if !notified => {
                    notified = true;
                    // A failed write also makes the next read fail.
                    let _ = self.stream.write_all(b"ready\n").await;
                }
                // Returns on the line `released`, or when the connection closes because the predecessor has exited.
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

/// Sends a line with the descriptors of listeners attached.
async fn send_with_descriptors(stream: &UnixStream, line: &[u8], listeners: &[OwnedFd]) -> io::Result<()> {
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let descriptors: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
            if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                return Err(io::Error::other("too many listeners"));
            }
            let sent = sendmsg(stream, &[IoSlice::new(line)], &mut control, SendFlags::NOSIGNAL)?;
            // Nothing else waits in the send buffer, so a short line is written completely.
            if sent == line.len() {
                Ok(())
            } else {
                Err(ErrorKind::WriteZero.into())
            }
        })
        .await
}

/// Reads a line and the descriptors attached to it. The line is read byte by byte, so that no byte after it is consumed.
async fn receive_with_descriptors(stream: &UnixStream) -> io::Result<(String, Vec<OwnedFd>)> {
    let (mut line, mut received) = (Vec::new(), Vec::new());
    while line.last() != Some(&b'\n') && (line.len() as u64) < MAX_LINE_BYTES {
        let byte = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut byte = [0];
                let message = recvmsg(
                    stream,
                    &mut [IoSliceMut::new(&mut byte)],
                    &mut control,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                for ancillary in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = ancillary {
                        received.extend(descriptors);
                    }
                }
                Ok((message.bytes > 0).then_some(byte[0]))
            })
            .await?;
        line.push(byte.ok_or(ErrorKind::UnexpectedEof)?);
    }
    let line = String::from_utf8(line).map_err(|_| ErrorKind::InvalidData)?;
    Ok((line.trim_end().into(), received))
}
