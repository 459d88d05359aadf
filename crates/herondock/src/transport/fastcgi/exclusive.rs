//! Connections that carry one request at a time: cancelling the request closes the connection.
use super::connection::{ConnectionClosed, FastCgiConnection};
use super::{begin_request, new_client, Conn, FastCgi};
use crate::exchange::Attempt;
use crate::memory_budget::Purpose;
use crate::transport::connection_pool::{DialedConnection, Peer};
use balancer::AttemptOutcome;
use fastcgi::client::{Event, Outcome};
use std::future::poll_fn;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A connection that carries at most one request at a time.
pub struct ExclusiveConnection {
    /// Protocol state and socket.
    pub connection: FastCgiConnection,
    pub(super) generation: u64,
    pub(super) permit: OwnedSemaphorePermit,
    pub(super) established_at: Instant,
}

impl ExclusiveConnection {
    /// Establishes a connection; see [`Peer::dial`].
    pub(super) async fn dial(
        peer: &Peer<FastCgi>,
        deadline: Instant,
    ) -> Result<ExclusiveConnection, AttemptOutcome> {
        let DialedConnection { socket, generation, permit, established_at } = peer.dial(deadline).await?;
        let memory = peer.settings.memory.reservation(Purpose::Answer);
        Ok(ExclusiveConnection {
            connection: FastCgiConnection::new(socket, new_client(peer), memory),
            generation,
            permit,
            established_at,
        })
    }
}

/// Executes an attempt; its request is written at most once.
///
/// # Errors
/// The ending of an attempt without an answer.
pub(super) async fn execute(peer: &Rc<Peer<FastCgi>>, attempt: Attempt) -> Result<Outcome, AttemptOutcome> {
    loop {
        let (mut exclusive, reused) = match peer.take_idle() {
            Some(Conn::Exclusive(exclusive)) => (exclusive, true),
            // The application no longer accepts concurrent requests.
            Some(Conn::Multiplexed(_)) => continue,
            None => (Box::new(ExclusiveConnection::dial(peer, attempt.deadline).await?), false),
        };
        let now = Instant::now();
        let process = peer.process_identity(exclusive.established_at, now);
        if !attempt.may_write_to(process, now) {
            return Err(AttemptOutcome::NotSent);
        }
        let conn = &mut exclusive.connection;
        // An idle connection always accepts a request.
        let Some(id) = begin_request(peer, &mut conn.client, &attempt) else {
            return Err(AttemptOutcome::NotSent);
        };
        let end = wait_for_end(conn, id).await;
        if end.is_err() {
            peer.connection_ended(Instant::now());
        }
        match end {
            Ok(outcome) => {
                if conn.client.open() == 0 && !conn.client.is_mid_record() {
                    let generation = exclusive.generation;
                    peer.return_idle(Conn::Exclusive(exclusive), generation, &attempt.gate);
                }
                return Ok(outcome);
            }
            Err(ConnectionClosed) if conn.client.is_fully_written(id) => return Err(AttemptOutcome::Reset),
            // The last byte of the request was not written, so nothing ran. That an idle connection has been closed
            // in the meantime is no failure of the upstream, so the next connection is tried; each is tried once.
            Err(ConnectionClosed) if reused => {}
            Err(ConnectionClosed) => return Err(AttemptOutcome::ConnectFailed),
        }
    }
}

/// Writes and reads until the request has ended.
async fn wait_for_end(conn: &mut FastCgiConnection, id: u16) -> Result<Outcome, ConnectionClosed> {
    let (mut events, mut unsent) = (Vec::new(), Vec::new());
    loop {
        poll_fn(|cx| conn.poll(cx, |_| true, &mut unsent, &mut events)).await?;
        for event in events.drain(..) {
            match event {
                Event::Ended(ended, outcome) if ended == id => return Ok(outcome),
                Event::Ended(..) | Event::Values(_) | Event::Unknown => {}
            }
        }
    }
}
