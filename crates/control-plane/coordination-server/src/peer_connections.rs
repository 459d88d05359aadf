//! Connections to other voters: one to each, for what this one sends. What can't be sent is lost, and the voter told.
use crate::framing::{handshake, write};
use crate::transport::connect;
use backoff::Backoff;
use coordination::protocol::Handshake;
use rand::Rng;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tracing::info;

/// Messages that may wait for a connection. The agreement sends again what is lost.
const WAITING: usize = 256;
/// First pause before a connection is tried again, and the longest.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest.
const PAUSE_MOST: Duration = Duration::from_secs(1);

/// A message of more bytes is a snapshot; one at a time waits for a connection.
const LARGE: usize = 1 << 20;

struct Peer {
    addr: String,
    /// Whether a large message waits, or is on its way.
    large: Rc<Cell<bool>>,
    messages: mpsc::Sender<Vec<u8>>,
    task: AbortHandle,
}

/// All of them.
pub struct PeerConnections {
    own: Handshake,
    peers: BTreeMap<u64, Peer>,
    unreachable: mpsc::Sender<u64>,
}

impl PeerConnections {
    /// None yet. `unreachable` hears of voters to which a connection failed.
    pub fn new(own: Handshake, unreachable: mpsc::Sender<u64>) -> PeerConnections {
        PeerConnections { own, peers: BTreeMap::new(), unreachable }
    }

    /// Sends a message to the voter with this number at this address.
    pub fn send(&mut self, id: u64, addr: &str, message: Vec<u8>) {
        if self.peers.get(&id).is_none_or(|p| p.addr != addr) {
            let (messages, queue) = mpsc::channel(WAITING);
            let own = Handshake { to: Some(id), ..self.own.clone() };
            let large = Rc::<Cell<bool>>::default();
            let (lost, at) = (self.unreachable.clone(), addr.to_string());
            let task = tokio::task::spawn_local(bring(own, id, at, queue, large.clone(), lost));
            let peer = Peer { addr: addr.into(), large, messages, task: task.abort_handle() };
            if let Some(old) = self.peers.insert(id, peer) {
                old.task.abort();
            }
        }
        if let Some(peer) = self.peers.get(&id) {
            // One more of the same would only take memory; it is asked for again.
            if message.len() > LARGE && peer.large.replace(true) {
                return;
            }
            if let Err(TrySendError::Full(message)) = peer.messages.try_send(message) {
                if message.len() > LARGE {
                    peer.large.set(false);
                }
                let _ = self.unreachable.try_send(id);
            }
        }
    }

    /// Only these are voters and learners now.
    pub fn retain(&mut self, ids: &[u64]) {
        self.peers.retain(|id, peer| {
            let stays = ids.contains(id);
            if !stays {
                peer.task.abort();
            }
            stays
        });
    }
}

impl Drop for PeerConnections {
    fn drop(&mut self) {
        self.peers.values().for_each(|p| p.task.abort());
    }
}

async fn bring(
    own: Handshake,
    id: u64,
    addr: String,
    mut queue: mpsc::Receiver<Vec<u8>>,
    large: Rc<Cell<bool>>,
    unreachable: mpsc::Sender<u64>,
) {
    let mut pauses = Backoff::new(PAUSE, PAUSE_MOST);
    let mut said = None;
    loop {
        let came = async {
            let to = addr.parse().map_err(|_| format!("{addr:?} is no address"))?;
            let stream = connect(to).await.map_err(|e| e.to_string())?;
            handshake(stream, &own).await
        };
        match came.await {
            Ok(mut met) => {
                pauses.reset();
                if said.take().is_some() {
                    info!("council: {addr} is reached again");
                }
                // What it sends back here is nothing but the end of the connection.
                let mut nothing = [0; 1];
                loop {
                    use tokio::io::AsyncReadExt;
                    let message = tokio::select! {
                        message = queue.recv() => message,
                        _ = met.read.read(&mut nothing) => break,
                    };
                    let Some(message) = message else { return };
                    if write(&mut met.write, &message).await.is_err() {
                        break;
                    }
                    if message.len() > LARGE {
                        large.set(false);
                    }
                }
            }
            Err(why) => {
                if said.as_ref() != Some(&why) {
                    info!("council: {addr}: {why}");
                    said = Some(why);
                }
            }
        }
        let _ = unreachable.try_send(id);
        // What waited for it is old by now.
        while queue.try_recv().is_ok() {}
        large.set(false);
        sleep(pauses.next_delay(rand::rngs::OsRng.gen())).await;
        if queue.is_closed() {
            return;
        }
    }
}
