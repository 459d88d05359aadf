//! One request at a time on a connection: what is called off closes it.
use super::connection::{ConnectionClosed, FastCgiConnection};
use super::{begin, machine, Conn, FastCgi};
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
    pub wire: FastCgiConnection,
    pub(super) generation: u64,
    pub(super) permit: OwnedSemaphorePermit,
}

impl ExclusiveConnection {
    /// Makes a connection.
    pub(super) async fn dial(peer: &Peer<FastCgi>, until: Instant) -> Result<ExclusiveConnection, Ending> {
        let DialedConnection { socket, generation, permit } = peer.dial(until).await?;
        Ok(ExclusiveConnection { wire: FastCgiConnection::new(socket, machine(peer)), generation, permit })
    }
}

/// Carries an attempt out; its request is written once at most.
pub(super) async fn carry_out(peer: &Rc<Peer<FastCgi>>, attempt: Attempt) -> Result<Outcome, Ending> {
    loop {
        let (mut alone, reused) = match peer.take_idle() {
            Some(Conn::Alone(alone)) => (alone, true),
            // The application takes one at a time by now.
            Some(Conn::Shared(_)) => continue,
            None => (Box::new(ExclusiveConnection::dial(peer, attempt.deadline).await?), false),
        };
        if !attempt.may_write(Instant::now()) {
            return Err(Ending::Moot);
        }
        let wire = &mut alone.wire;
        // A connection that is kept carries nothing.
        let Some(id) = begin(peer, &mut wire.client, &attempt) else { return Err(Ending::Moot) };
        match ended(wire, id).await {
            Ok(outcome) => {
                if wire.client.open() == 0 && !wire.client.midway() {
                    let generation = alone.generation;
                    peer.return_idle(Conn::Alone(alone), generation, &attempt.gate);
                }
                return Ok(outcome);
            }
            Err(ConnectionClosed) if wire.client.whole(id) => return Err(Ending::Reset),
            // Its last byte was not written, so nothing ran. One that rested and had been closed meanwhile says
            // nothing about the upstream, so the next one is tried; each is tried once.
            Err(ConnectionClosed) if reused => {}
            Err(ConnectionClosed) => return Err(Ending::ConnectFailed),
        }
    }
}

/// Writes and reads until the request has ended.
async fn ended(wire: &mut FastCgiConnection, id: u16) -> Result<Outcome, ConnectionClosed> {
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
