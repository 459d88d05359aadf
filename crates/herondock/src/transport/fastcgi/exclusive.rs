//! Connections that carry one request at a time: cancelling it closes the connection.
use super::connection::{ConnectionClosed, FastCgiConnection};
use super::{begin_request, new_client, Conn, FastCgi};
use crate::exchange::Attempt;
use crate::transport::connection_pool::{DialedConnection, Peer};
use balancer::Ending;
use fastcgi::client::{Event, Outcome};
use std::future::poll_fn;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A connection that carries one request at most.
pub struct ExclusiveConnection {
    /// The connection itself.
    pub connection: FastCgiConnection,
    pub(super) generation: u64,
    pub(super) permit: OwnedSemaphorePermit,
}

impl ExclusiveConnection {
    /// Makes a connection.
    pub(super) async fn dial(peer: &Peer<FastCgi>, until: Instant) -> Result<ExclusiveConnection, Ending> {
        let DialedConnection { socket, generation, permit } = peer.dial(until).await?;
        Ok(ExclusiveConnection {
            connection: FastCgiConnection::new(socket, new_client(peer)),
            generation,
            permit,
        })
    }
}

/// Executes an attempt; its request is written once at most.
///
/// # Errors
/// The ending of an attempt without an answer.
pub(super) async fn execute(peer: &Rc<Peer<FastCgi>>, attempt: Attempt) -> Result<Outcome, Ending> {
    loop {
        let (mut alone, reused) = match peer.take_idle() {
            Some(Conn::Exclusive(alone)) => (alone, true),
            // The application has taken back that it takes several.
            Some(Conn::Multiplexed(_)) => continue,
            None => (Box::new(ExclusiveConnection::dial(peer, attempt.deadline).await?), false),
        };
        if !attempt.may_write(Instant::now()) {
            return Err(Ending::Moot);
        }
        let wire = &mut alone.connection;
        // An idle connection always takes a request.
        let Some(id) = begin_request(peer, &mut wire.client, &attempt) else { return Err(Ending::Moot) };
        match wait_for_end(wire, id).await {
            Ok(outcome) => {
                if wire.client.open() == 0 && !wire.client.is_mid_record() {
                    let generation = alone.generation;
                    peer.return_idle(Conn::Exclusive(alone), generation, &attempt.gate);
                }
                return Ok(outcome);
            }
            Err(ConnectionClosed) if wire.client.is_fully_written(id) => return Err(Ending::Reset),
            // Its last byte was not written, so nothing ran. An idle connection that had been closed meanwhile says nothing
            // about the upstream, so the next one is tried; each is tried once.
            Err(ConnectionClosed) if reused => {}
            Err(ConnectionClosed) => return Err(Ending::ConnectFailed),
        }
    }
}

/// Writes and reads until the request has ended.
async fn wait_for_end(wire: &mut FastCgiConnection, id: u16) -> Result<Outcome, ConnectionClosed> {
    let (mut events, mut unsent) = (Vec::new(), Vec::new());
    loop {
        poll_fn(|cx| wire.poll(cx, |_| true, &mut unsent, &mut events)).await?;
        for event in events.drain(..) {
            match event {
                Event::Ended(ended, outcome) if ended == id => return Ok(outcome),
                Event::Ended(..) | Event::Values(_) | Event::Unknown => {}
            }
        }
    }
}
