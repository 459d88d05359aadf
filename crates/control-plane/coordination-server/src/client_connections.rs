//! Connections that come in: of clients, whose calls are passed on and whose replies are brought, and of other voters,
//! whose messages are passed on.
use crate::framing::{from_json, handshake, read, to_json, write, Connection};
use crate::transport::{Listener, Stream};
use coordination::protocol::{Call, Handshake, Reply, MAX_CALL_BYTES, MAX_RAFT_MESSAGE_BYTES};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::AbortHandle;
use tracing::info;

/// Replies that may wait for a client; one that takes them no faster is cut off, and comes again.
const REPLIES: usize = 1_024;
/// What may wait for the voter's loop; whoever has more to say waits.
const WAITING: usize = 1_024;
/// Connections of voters.
const VOTERS: usize = 64;
/// Pause after a connection that could not be taken: descriptors are short.
const PAUSE: Duration = Duration::from_millis(50);

/// What came in.
pub enum ConnectionEvent {
    /// A voter is here, with this number and address.
    Voter(u64, Option<String>),
    /// A message of a voter.
    Message(Vec<u8>),
    /// A client's call, by its connection.
    Call(u64, Call),
    /// A client's connection is gone.
    Gone(u64),
}

struct Inside {
    own: RefCell<Handshake>,
    most: usize,
    clients: RefCell<BTreeMap<u64, (mpsc::Sender<Reply>, AbortHandle)>>,
    voters: RefCell<usize>,
    count: RefCell<u64>,
    came: mpsc::Sender<ConnectionEvent>,
}

/// All connections that came in.
#[derive(Clone)]
pub struct ClientConnections(Rc<Inside>);

impl ClientConnections {
    /// None yet; `clients` at most. What comes is told to the receiver.
    pub fn new(own: Handshake, clients: usize) -> (ClientConnections, mpsc::Receiver<ConnectionEvent>) {
        let (came, coming) = mpsc::channel(WAITING);
        let inside = Inside {
            own: RefCell::new(own),
            most: clients,
            clients: RefCell::default(),
            voters: RefCell::new(0),
            count: RefCell::new(0),
            came,
        };
        (ClientConnections(Rc::new(inside)), coming)
    }

    /// Says this to those that come from now on.
    pub fn says(&self, own: Handshake) {
        self.0.own.replace(own);
    }

    /// Takes connections for ever.
    pub async fn run(self, door: Listener) {
        loop {
            match door.next().await {
                Ok(stream) => {
                    let callers = self.clone();
                    tokio::task::spawn_local(async move { callers.serve(stream).await });
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn serve(self, stream: Stream) {
        let own = self.0.own.borrow().clone();
        match handshake(stream, &own).await {
            Ok(met) if met.other.voter.is_some() => self.serve_voter(met).await,
            Ok(met) => self.serve_client(met).await,
            // A port that is looked at says nothing, and is no news.
            Err(why) if why.contains("end of file") || why.contains("reset") => {}
            Err(why) => info!("council: turned away: {why}"),
        }
    }

    async fn serve_voter(&self, mut met: Connection) {
        if *self.0.voters.borrow() >= VOTERS {
            return;
        }
        *self.0.voters.borrow_mut() += 1;
        let came = &self.0.came;
        if let Some(id) = met.other.voter {
            let _ = came.send(ConnectionEvent::Voter(id, met.other.addr.take())).await;
        }
        while let Ok(message) = read(&mut met.read, MAX_RAFT_MESSAGE_BYTES).await {
            if came.send(ConnectionEvent::Message(message)).await.is_err() {
                break;
            }
        }
        *self.0.voters.borrow_mut() -= 1;
    }

    async fn serve_client(&self, met: Connection) {
        let Connection { read: mut from, write: mut to, .. } = met;
        if self.0.clients.borrow().len() >= self.0.most {
            return info!("council: {} clients are connected, no more are taken", self.0.most);
        }
        let client = {
            let mut count = self.0.count.borrow_mut();
            *count += 1;
            *count
        };
        let (replies, mut waiting) = mpsc::channel::<Reply>(REPLIES);
        let writer = tokio::task::spawn_local(async move {
            while let Some(reply) = waiting.recv().await {
                if write(&mut to, &to_json(&reply)).await.is_err() {
                    return;
                }
            }
        });
        let (came, callers) = (self.0.came.clone(), self.clone());
        let reader = tokio::task::spawn_local(async move {
            loop {
                let call = match read(&mut from, MAX_CALL_BYTES).await {
                    Ok(bytes) => from_json::<Call>(&bytes),
                    Err(_) => break,
                };
                match call {
                    Ok(call) => {
                        if came.send(ConnectionEvent::Call(client, call)).await.is_err() {
                            break;
                        }
                    }
                    Err(e) => {
                        info!("council: a client's call is none: {e}");
                        break;
                    }
                }
            }
        });
        self.0.clients.borrow_mut().insert(client, (replies, reader.abort_handle()));
        let _ = reader.await;
        callers.0.clients.borrow_mut().remove(&client);
        writer.abort();
        let _ = callers.0.came.send(ConnectionEvent::Gone(client)).await;
    }

    /// Brings a reply to a client, if it is still there.
    pub fn reply(&self, client: u64, reply: Reply) {
        let clients = self.0.clients.borrow();
        let Some((replies, reader)) = clients.get(&client) else { return };
        if let Err(TrySendError::Full(_)) = replies.try_send(reply) {
            reader.abort();
        }
    }
}
