//! The connection of a client to one voter.
use crate::framing::{from_json, read, to_json, write};
use crate::handshake::{connect, ConnectError, Connection};
use coordination::protocol::{Call, Handshake, Reply, MAX_CALL_BYTES, PROTOCOL_VERSION};
use std::future::pending;
use tokio::io::BufReader;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Frames that may be queued for the connection.
const MAX_QUEUED_FRAMES: usize = 2_048;

/// An event of a connection.
pub(super) struct ConnectionEvent {
    /// Number of the connection; events of a former connection are ignored.
    pub connection: u64,
    pub kind: ConnectionEventKind,
}

pub(super) enum ConnectionEventKind {
    Connected,
    Reply(Box<Reply>),
    /// The connection was closed or failed; the reason is `None` if it is not logged.
    Disconnected(Option<String>),
}

/// A connection, which is closed when this is dropped.
pub(super) struct ClientConnection {
    frames: mpsc::Sender<Vec<u8>>,
    task: AbortHandle,
}

impl ClientConnection {
    /// Starts a task that connects to the voter; its events are sent to `events` with this number.
    pub fn spawn(
        number: u64,
        address: String,
        client_name: String,
        events: mpsc::Sender<ConnectionEvent>,
    ) -> ClientConnection {
        let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        let task = ConnectionTask { number, address, client_name, events };
        let task = tokio::task::spawn_local(task.run(queue)).abort_handle();
        ClientConnection { frames, task }
    }

    /// Queues a call. If the queue is full, the call is dropped, and the response timeout closes the connection.
    pub fn send(&self, call: &Call) {
        let _ = self.frames.try_send(to_json(call));
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct ConnectionTask {
    number: u64,
    address: String,
    client_name: String,
    events: mpsc::Sender<ConnectionEvent>,
}

impl ConnectionTask {
    async fn run(self, queue: mpsc::Receiver<Vec<u8>>) {
        let reason = match self.connect().await {
            Ok(connection) => {
                let _ = self.report(ConnectionEventKind::Connected).await;
                self.exchange(connection, queue).await;
                None
            }
            Err(reason) => reason,
        };
        let _ = self.report(ConnectionEventKind::Disconnected(reason)).await;
    }

    /// Connects to a voter; the error is the reason to be logged, if any.
    async fn connect(&self) -> Result<Connection, Option<String>> {
        let own = Handshake {
            version: PROTOCOL_VERSION,
            cluster: None,
            name: self.client_name.clone(),
            voter: None,
            addr: None,
            to: None,
        };
        let address = &self.address;
        match connect(address, &own).await {
            Ok(connection) if connection.other.voter.is_some() => Ok(connection),
            Ok(_) => Err(Some(format!("{address}: the process at this address is not a voter"))),
            // Expected while a voter is down, and therefore not logged.
            Err(ConnectError::Unreachable(_)) => Err(None),
            Err(error @ ConnectError::InvalidAddress(_)) => Err(Some(error.to_string())),
            Err(error) => Err(Some(format!("{address}: {error}"))),
        }
    }

    /// Exchanges frames until the connection fails.
    async fn exchange(&self, connection: Connection, queue: mpsc::Receiver<Vec<u8>>) {
        tokio::select! {
            () = self.read_replies(connection.read) => {}
            () = write_frames(connection.write, queue) => {}
        }
    }

    async fn read_replies(&self, mut reader: BufReader<OwnedReadHalf>) {
        while let Ok(bytes) = read(&mut reader, MAX_CALL_BYTES).await {
            let Ok(reply) = from_json::<Reply>(&bytes) else { return };
            if self.report(ConnectionEventKind::Reply(Box::new(reply))).await.is_err() {
                return;
            }
        }
    }

    async fn report(&self, kind: ConnectionEventKind) -> Result<(), mpsc::error::SendError<ConnectionEvent>> {
        self.events.send(ConnectionEvent { connection: self.number, kind }).await
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = queue.recv().await {
        if write(&mut writer, &frame).await.is_err() {
            return;
        }
    }
    pending().await
}
