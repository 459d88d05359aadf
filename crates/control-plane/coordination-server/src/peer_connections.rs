//! Outgoing connections to the other voters, one to each. Messages that can't be sent are dropped, and the voter is reported
//! as unreachable.
use crate::framing::write;
use crate::handshake::{connect, Connection};
use backoff::Backoff;
use coordination::protocol::Handshake;
use rand::Rng;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tracing::info;

/// Messages that may be queued for a connection. Raft resends messages that are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Delay before the first reconnection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the delay between reconnections.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A message that is longer than this holds a snapshot; only one of them may be queued at a time.
const LARGE_MESSAGE_BYTES: usize = 1 << 20;

struct Peer {
    address: String,
    /// Whether a large message is queued or being sent.
    large_message_pending: Rc<Cell<bool>>,
    messages: mpsc::Sender<Vec<u8>>,
    task: AbortHandle,
}

/// The connections to all other voters.
pub struct PeerConnections {
    own: Handshake,
    peers: BTreeMap<u64, Peer>,
    unreachable: mpsc::Sender<u64>,
}

impl PeerConnections {
    /// Creates an empty set. The ids of voters to which a connection failed are sent to `unreachable`.
    pub fn new(own: Handshake, unreachable: mpsc::Sender<u64>) -> PeerConnections {
        PeerConnections { own, peers: BTreeMap::new(), unreachable }
    }

    /// Sends a message to the voter with this id at this address.
    pub fn send(&mut self, id: u64, address: &str, message: Vec<u8>) {
        if self.peers.get(&id).is_none_or(|peer| peer.address != address) {
            self.add_peer(id, address);
        }
        let Some(peer) = self.peers.get(&id) else { return };
        // A second snapshot in the queue would only use memory; Raft requests it again.
        if message.len() > LARGE_MESSAGE_BYTES && peer.large_message_pending.replace(true) {
            return;
        }
        if let Err(TrySendError::Full(message)) = peer.messages.try_send(message) {
            if message.len() > LARGE_MESSAGE_BYTES {
                peer.large_message_pending.set(false);
            }
            let _ = self.unreachable.try_send(id);
        }
    }

    fn add_peer(&mut self, id: u64, address: &str) {
        let (messages, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let large_message_pending = Rc::<Cell<bool>>::default();
        let connection = PeerConnection {
            own: Handshake { to: Some(id), ..self.own.clone() },
            id,
            address: address.into(),
            queue,
            large_message_pending: large_message_pending.clone(),
            unreachable: self.unreachable.clone(),
        };
        let task = tokio::task::spawn_local(connection.run()).abort_handle();
        let peer = Peer { address: address.into(), large_message_pending, messages, task };
        if let Some(former) = self.peers.insert(id, peer) {
            former.task.abort();
        }
    }

    /// Closes the connections to all but these voters.
    pub fn retain(&mut self, ids: &[u64]) {
        self.peers.retain(|id, peer| {
            let is_member = ids.contains(id);
            if !is_member {
                peer.task.abort();
            }
            is_member
        });
    }
}

impl Drop for PeerConnections {
    fn drop(&mut self) {
        self.peers.values().for_each(|peer| peer.task.abort());
    }
}

/// Whether the queue of messages is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueState {
    Open,
    Closed,
}

/// The task that connects to one voter and sends its messages.
struct PeerConnection {
    own: Handshake,
    id: u64,
    address: String,
    queue: mpsc::Receiver<Vec<u8>>,
    large_message_pending: Rc<Cell<bool>>,
    unreachable: mpsc::Sender<u64>,
}

impl PeerConnection {
    async fn run(mut self) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        // The last logged error; consecutive equal errors are logged once.
        let mut last_error: Option<String> = None;
        loop {
            match connect(&self.address, &self.own).await {
                Ok(connection) => {
                    backoff.reset();
                    if last_error.take().is_some() {
                        info!("council: connected to {} again", self.address);
                    }
                    if self.send_queued(connection).await == QueueState::Closed {
                        return;
                    }
                }
                Err(error) => {
                    let error = error.to_string();
                    if last_error.as_ref() != Some(&error) {
                        info!("council: can't connect to voter at {}: {error}", self.address);
                        last_error = Some(error);
                    }
                }
            }
            let _ = self.unreachable.try_send(self.id);
            // Queued messages are outdated, and Raft resends what is still needed.
            while self.queue.try_recv().is_ok() {}
            self.large_message_pending.set(false);
            sleep(backoff.next_delay(rand::rngs::OsRng.gen())).await;
            if self.queue.is_closed() {
                return;
            }
        }
    }

    /// Sends messages until the connection or the queue is closed.
    async fn send_queued(&mut self, mut connection: Connection) -> QueueState {
        // The other side sends nothing after the handshake; a read only shows the end of the connection.
        let mut unused = [0; 1];
        loop {
            let message = tokio::select! {
                message = self.queue.recv() => message,
                _ = connection.read.read(&mut unused) => return QueueState::Open,
            };
            let Some(message) = message else { return QueueState::Closed };
            if write(&mut connection.write, &message).await.is_err() {
                return QueueState::Open;
            }
            if message.len() > LARGE_MESSAGE_BYTES {
                self.large_message_pending.set(false);
            }
        }
    }
}
