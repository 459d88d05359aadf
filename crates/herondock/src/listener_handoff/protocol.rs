//! Passing the listening socket from an old process to a new one over a Unix socket.
//!
//! ```text
//! new: take-over 1 NAME\n
//! old: sockets LENGTH\n        with the listeners attached (SCM_RIGHTS), and LENGTH bytes of what goes along;
//!      or refused WHY\n
//! new: ready\n                 once it could serve; until then the old one serves as if nothing were going on
//! old: released\n              it accepts nothing any more
//! ```
//!
//! The same socket answers whoever asks for members:
//!
//! ```text
//! any: members 1\n
//! old: view LENGTH\n           and LENGTH bytes of JSON
//! ```
//!
//! Either side may end at any time: the end of the connection tells the other. Both run as the same user.
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// Longest line of the exchange.
const MAX_LINE_BYTES: u64 = 256;
/// Most that goes along with the sockets.
const MAX_STATE_BYTES: usize = 64 << 20;
/// How long one side waits for the next step of the other that takes no time of its own.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Most listeners that are passed on.
const MAX_LISTENERS: usize = 65;

/// The side of the process that holds the socket.
pub struct HandoffListener(UnixListener);

/// A process that asks for the socket.
pub struct Successor {
    stream: BufReader<UnixStream>,
    /// What it calls itself.
    pub name: String,
}

/// What somebody wants who has connected.
pub enum HandoffRequest {
    /// The sockets.
    Listeners(Successor),
    /// The members, as JSON.
    Endpoints(EndpointsQuery),
}

/// Whoever asks for members.
pub struct EndpointsQuery(BufReader<UnixStream>);

impl EndpointsQuery {
    /// Answers it.
    pub async fn answer(mut self, view: Vec<u8>) {
        // It may have gone already.
        let head = format!("view {}\n", view.len());
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(head.as_bytes())).await;
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(&view)).await;
    }
}

/// Asks the process that listens at `path` for its members.
///
/// # Errors
/// Nobody listens there, or it does not keep to the exchange.
pub async fn request_endpoints(path: &Path) -> Result<Vec<u8>, String> {
    let asked = async {
        let mut stream = BufReader::new(UnixStream::connect(path).await?);
        stream.write_all(b"members 1\n").await?;
        let head = line(&mut stream).await?;
        let length = head.strip_prefix("view ").and_then(|n| n.parse::<usize>().ok());
        let length = length.filter(|&n| n <= MAX_STATE_BYTES);
        let mut view = vec![0; length.ok_or_else(|| io::Error::other(format!("it said {head:?}")))?];
        stream.read_exact(&mut view).await?;
        Ok::<_, io::Error>(view)
    };
    let asked = timeout(STEP_TIMEOUT, asked).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
    asked.map_err(|e| format!("daemon.takeover: {}: {e}", path.display()))
}

impl HandoffListener {
    /// Listens at `path`. What was left there by a process that has ended makes way.
    ///
    /// # Errors
    /// The path can't be had.
    pub fn bind(path: &Path) -> Result<HandoffListener, String> {
        let fault = |e: io::Error| format!("daemon.takeover: {}: {e}", path.display());
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(fault(e)),
            _ => {}
        }
        let listener = UnixListener::bind(path).map_err(fault)?;
        // Only this user may connect; the other end's user is looked at as well.
        let private = std::os::unix::fs::PermissionsExt::from_mode(0o600);
        std::fs::set_permissions(path, private).map_err(fault)?;
        Ok(HandoffListener(listener))
    }

    /// The next process that asks. One that breaks off, is slow or of another user is passed over.
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
            if let Ok(Ok(line)) = timeout(STEP_TIMEOUT, line(&mut stream)).await {
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
    /// Turns it away.
    pub async fn reject(mut self, why: &str) {
        // It may have gone already.
        let _ = timeout(STEP_TIMEOUT, self.stream.write_all(format!("refused {why}\n").as_bytes())).await;
    }

    /// Passes the listeners on, that of the platform's callers first, and waits until the other could serve.
    ///
    /// # Errors
    /// It broke off, or took too long to read; or there are too many listeners.
    pub async fn hand_off(mut self, listeners: Vec<OwnedFd>, along: &[u8]) -> io::Result<ReadySuccessor> {
        let head = format!("sockets {}\n", along.len());
        timeout(STEP_TIMEOUT, send(self.stream.get_ref(), head.as_bytes(), &listeners)).await??;
        // Whoever holds them keeps them open.
        drop(listeners);
        timeout(STEP_TIMEOUT, self.stream.write_all(along)).await??;
        match line(&mut self.stream).await?.as_str() {
            "ready" => Ok(ReadySuccessor(self.stream)),
            other => Err(io::Error::other(format!("it said {other:?}"))),
        }
    }
}

/// A process that could serve, and waits to be told to.
pub struct ReadySuccessor(BufReader<UnixStream>);

impl ReadySuccessor {
    /// Tells it to accept.
    pub async fn release(mut self) {
        // If it has gone, whoever starts next finds the sockets closed, as after any end.
        let _ = timeout(STEP_TIMEOUT, self.0.write_all(b"released\n")).await;
    }
}

/// What a new process got.
pub struct ReceivedListeners {
    /// The listener; the old process accepts on it still.
    pub listener: TcpListener,
    /// Those of other fronts.
    pub other_fronts: Vec<OwnedFd>,
    /// What went along.
    pub state: Vec<u8>,
    stream: BufReader<UnixStream>,
}

/// Asks the process that listens at `path` for its listener. `None`: nobody does.
///
/// # Errors
/// It refuses, breaks off, or does not keep to the exchange.
pub async fn request_listeners(path: &Path, name: &str) -> Result<Option<ReceivedListeners>, String> {
    let fault = |e: io::Error| format!("daemon.takeover: {}: {e}", path.display());
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        // Nothing is there, or what a process left that has ended.
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(fault(e)),
    };
    let asked = async {
        let mut stream = BufReader::new(stream);
        stream.write_all(format!("take-over 1 {}\n", name.replace(['\n', '\r'], " ")).as_bytes()).await?;
        let (head, passed) = receive(stream.get_ref()).await?;
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
    /// Waits until the listener is this process's own. Once `ready` ends, the old process is told so; it may also end
    /// before, which leaves the listener as well.
    pub async fn wait_until_released(mut self, ready: impl std::future::Future<Output = ()>) {
        let mut ready = std::pin::pin!(ready);
        let mut told = false;
        loop {
            tokio::select! {
                () = &mut ready, if !told => {
                    told = true;
                    // Its end shows in the reading.
                    let _ = self.stream.write_all(b"ready\n").await;
                }
                // Nothing else is said, and the end of the connection is the end of the process.
                _ = line(&mut self.stream) => return,
            }
        }
    }
}

async fn line(stream: &mut BufReader<UnixStream>) -> io::Result<String> {
    let mut text = String::new();
    stream.take(MAX_LINE_BYTES).read_line(&mut text).await?;
    match text.strip_suffix('\n') {
        Some(line) => Ok(line.into()),
        None => Err(ErrorKind::UnexpectedEof.into()),
    }
}

/// Writes a short line with listeners attached.
async fn send(stream: &UnixStream, text: &[u8], listeners: &[OwnedFd]) -> io::Result<()> {
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let passed: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
            if !control.push(SendAncillaryMessage::ScmRights(&passed)) {
                return Err(io::Error::other("too many listeners"));
            }
            let sent = sendmsg(stream, &[IoSlice::new(text)], &mut control, SendFlags::NOSIGNAL)?;
            // Short lines go out whole on a connection that nothing was written to.
            if sent == text.len() {
                Ok(())
            } else {
                Err(ErrorKind::WriteZero.into())
            }
        })
        .await
}

/// Reads a line byte by byte, so that nothing behind it is taken, and the descriptors that came with it.
async fn receive(stream: &UnixStream) -> io::Result<(String, Vec<OwnedFd>)> {
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
