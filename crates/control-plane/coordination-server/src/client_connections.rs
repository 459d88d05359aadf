//! Incoming connections: clients, whose calls are passed to the voter and whose replies are sent back, and other voters,
//! whose messages are passed to the voter.
use crate::framing::{from_json, read, to_json, write, FrameError};
use crate::handshake::{handshake, ConnectError, Connection};
use crate::transport::{Listener, Stream};
use coordination::protocol::{Call, Handshake, Reply, MAX_CALL_BYTES, MAX_RAFT_MESSAGE_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::AbortHandle;
use tracing::info;

/// Replies that may be queued for a client; a client that reads too slowly is disconnected.
const MAX_QUEUED_REPLIES: usize = 1_024;
/// Events that may be queued for the voter; while the queue is full, connections are not read.
const MAX_QUEUED_EVENTS: usize = 1_024;
/// Maximum number of incoming connections of voters.
const MAX_VOTER_CONNECTIONS: usize = 64;
/// Delay after a failed accept, for instance when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An event on an incoming connection.
pub enum ConnectionEvent {
    /// A voter connected.
    VoterConnected {
        /// Id of the voter.
        id: u64,
        /// Address of the voter.
        address: Option<String>,
    },
    /// A message of a voter.
    Message(Vec<u8>),
    /// A call of a client.
    Call {
        /// Id of the client's connection.
        client: u64,
        /// The call.
        call: Call,
    },
    /// The connection of this client was closed.
    ClientDisconnected(u64),
}

struct ClientConnection {
    replies: mpsc::Sender<Reply>,
    reader: AbortHandle,
}

struct Shared {
    own: RefCell<Handshake>,
    max_clients: usize,
    clients: RefCell<BTreeMap<u64, ClientConnection>>,
    voter_connections: Cell<usize>,
    last_client_id: Cell<u64>,
    events: mpsc::Sender<ConnectionEvent>,
}

/// All incoming connections.
#[derive(Clone)]
pub struct ClientConnections(Rc<Shared>);

impl ClientConnections {
    /// Creates an empty set that accepts at most `max_clients` connections of clients. Events are sent to the returned
    /// receiver.
    pub fn new(own: Handshake, max_clients: usize) -> (ClientConnections, mpsc::Receiver<ConnectionEvent>) {
        let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let shared = Shared {
            own: RefCell::new(own),
            max_clients,
            clients: RefCell::default(),
            voter_connections: Cell::new(0),
            last_client_id: Cell::new(0),
            events,
        };
        (ClientConnections(Rc::new(shared)), receiver)
    }

    /// Sets the handshake for new connections.
    pub fn set_handshake(&self, own: Handshake) {
        self.0.own.replace(own);
    }

    /// Accepts connections forever.
    pub async fn run(self, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    let connections = self.clone();
                    tokio::task::spawn_local(async move { connections.serve(stream).await });
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Sends a reply to a client, if it is still connected. A client whose queue of replies is full is disconnected.
    pub fn reply(&self, client: u64, reply: Reply) {
        let clients = self.0.clients.borrow();
        let Some(connection) = clients.get(&client) else { return };
        if let Err(TrySendError::Full(_)) = connection.replies.try_send(reply) {
            connection.reader.abort();
        }
    }

    async fn serve(self, stream: Stream) {
        let own = self.0.own.borrow().clone();
        match handshake(stream, &own).await {
            Ok(connection) if connection.other.voter.is_some() => self.serve_voter(connection).await,
            Ok(connection) => self.serve_client(connection).await,
            // Port scans and interrupted connections are not logged.
            Err(ConnectError::Frame(FrameError::Truncated)) => {}
            Err(ConnectError::Frame(FrameError::Io(error))) if error.kind() == ErrorKind::ConnectionReset => {
            }
            Err(error) => info!("council: connection rejected: {error}"),
        }
    }

    async fn serve_voter(&self, mut connection: Connection) {
        let count = &self.0.voter_connections;
        if count.get() >= MAX_VOTER_CONNECTIONS {
            return;
        }
        count.set(count.get() + 1);
        let events = &self.0.events;
        if let Some(id) = connection.other.voter {
            let address = connection.other.addr.take();
            let _ = events.send(ConnectionEvent::VoterConnected { id, address }).await;
        }
        while let Ok(message) = read(&mut connection.read, MAX_RAFT_MESSAGE_BYTES).await {
            if events.send(ConnectionEvent::Message(message)).await.is_err() {
                break;
            }
        }
        count.set(count.get() - 1);
    }

    async fn serve_client(&self, connection: Connection) {
        let shared = &self.0;
        if shared.clients.borrow().len() >= shared.max_clients {
            return info!(
                "council: connection rejected: {} clients are connected, the maximum",
                shared.max_clients
            );
        }
        let client = shared.last_client_id.get() + 1;
        shared.last_client_id.set(client);
        let (replies, queue) = mpsc::channel(MAX_QUEUED_REPLIES);
        let writer = tokio::task::spawn_local(write_replies(connection.write, queue));
        let reader = tokio::task::spawn_local(read_calls(connection.read, client, shared.events.clone()));
        let entry = ClientConnection { replies, reader: reader.abort_handle() };
        shared.clients.borrow_mut().insert(client, entry);
        let _ = reader.await;
        shared.clients.borrow_mut().remove(&client);
        writer.abort();
        let _ = shared.events.send(ConnectionEvent::ClientDisconnected(client)).await;
    }
}

async fn write_replies(mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Reply>) {
    while let Some(reply) = queue.recv().await {
        if write(&mut writer, &to_json(&reply)).await.is_err() {
            return;
        }
    }
}

async fn read_calls(
    mut reader: BufReader<OwnedReadHalf>,
    client: u64,
    events: mpsc::Sender<ConnectionEvent>,
) {
    while let Ok(bytes) = read(&mut reader, MAX_CALL_BYTES).await {
        match from_json::<Call>(&bytes) {
            Ok(call) => {
                if events.send(ConnectionEvent::Call { client, call }).await.is_err() {
                    return;
                }
            }
            Err(error) => return info!("council: connection closed: malformed call of a client: {error}"),
        }
    }
}
