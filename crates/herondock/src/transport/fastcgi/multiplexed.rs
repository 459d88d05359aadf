//! Connections that carry concurrent requests. Requests end independently of each other: a cancelled request is
//! aborted and keeps its id until its END. When the connection is lost, only requests that were written completely
//! may have run.
use super::connection::FastCgiConnection;
use super::exclusive::ExclusiveConnection;
use super::{begin_request, Conn, FastCgi};
use crate::exchange::{Attempt, DrainGate};
use crate::transport::connection_pool::Peer;
use balancer::AttemptOutcome;
use fastcgi::client::{Event, Outcome};
use fastcgi::record::Protocol;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{oneshot, Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

/// End of a request on a multiplexed connection.
enum AttemptEnd {
    Ended(Outcome),
    /// The request was not written: its deadline has passed, its upstream drains, or it has finished.
    NotWritten,
    /// The connection was lost. The flag is true if the request had been written completely.
    ConnectionLost(bool),
}

struct PendingAttempt {
    attempt: Attempt,
    result: oneshot::Sender<AttemptEnd>,
}

/// A multiplexed connection, served by its own task.
pub struct Link {
    connection: RefCell<FastCgiConnection>,
    pending: RefCell<BTreeMap<u16, PendingAttempt>>,
    /// Notified when a request was added or cancelled.
    work_available: Notify,
    /// Time since which some cancelled request has not ended; `None`: there is none.
    aborting_since: Cell<Option<Instant>>,
    closed: Cell<bool>,
    used: Cell<bool>,
    gate: RefCell<Rc<DrainGate>>,
    generation: u64,
    established_at: Instant,
    _permit: OwnedSemaphorePermit,
}

/// A link and its task. Dropping it aborts the task.
pub struct PooledLink {
    link: Rc<Link>,
    task: AbortHandle,
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PooledLink {
    /// Whether it can carry a request now.
    pub fn is_reusable(&self) -> bool {
        !self.link.closed.get() && self.link.connection.borrow().is_reusable()
    }

    /// Whether the peer has closed it.
    pub fn is_closed(&self) -> bool {
        self.link.closed.get() || self.link.connection.borrow().is_closed()
    }
}

/// Multiplexed connections of an upstream that have open requests.
#[derive(Default)]
pub struct Links(RefCell<Vec<PooledLink>>);

impl Links {
    fn remove(&self, link: &Rc<Link>) -> Option<PooledLink> {
        let mut all = self.0.borrow_mut();
        let index = all.iter().position(|pooled| Rc::ptr_eq(&pooled.link, link))?;
        Some(all.swap_remove(index))
    }
}

/// Cancels a request when its attempt is dropped.
struct CancelOnDrop {
    link: Rc<Link>,
    id: u16,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        // The request has already ended.
        if self.link.pending.borrow_mut().remove(&self.id).is_none() {
            return;
        }
        if self.link.connection.borrow_mut().client.abort(self.id) && self.link.aborting_since.get().is_none()
        {
            self.link.aborting_since.set(Some(Instant::now()));
        }
        self.link.work_available.notify_one();
    }
}

/// Executes an attempt on a connection with at most `max_requests` concurrent requests; its request is written at
/// most once.
///
/// # Errors
/// The ending of an attempt without an answer.
pub(super) async fn execute(
    peer: &Rc<Peer<FastCgi>>,
    attempt: Attempt,
    max_requests: usize,
) -> Result<Outcome, AttemptOutcome> {
    loop {
        let link = match link_with_capacity(peer, max_requests) {
            Some(link) => link,
            None => match peer.take_idle() {
                Some(Conn::Multiplexed(pooled)) => add_link(peer, pooled),
                Some(Conn::Exclusive(exclusive)) => add_link(peer, spawn_link(peer, *exclusive, &attempt)),
                None => {
                    let exclusive = ExclusiveConnection::dial(peer, attempt.deadline).await?;
                    add_link(peer, spawn_link(peer, exclusive, &attempt))
                }
            },
        };
        let reused = link.used.replace(true);
        let begun = {
            let mut connection = link.connection.borrow_mut();
            let now = Instant::now();
            attempt
                .may_write_to(peer.process_identity(link.established_at, now), now)
                .then(|| begin_request(peer, &mut connection.client, &attempt))
                .flatten()
        };
        let Some(id) = begun else {
            link.work_available.notify_one();
            return Err(AttemptOutcome::NotSent);
        };
        link.gate.replace(attempt.gate.clone());
        let (sender, receiver) = oneshot::channel();
        link.pending.borrow_mut().insert(id, PendingAttempt { attempt: attempt.clone(), result: sender });
        link.work_available.notify_one();
        let cancel_guard = CancelOnDrop { link, id };
        let end = receiver.await;
        drop(cancel_guard);
        match end {
            Ok(AttemptEnd::Ended(outcome)) => {
                if outcome == Outcome::Refused(Protocol::CantMultiplex) {
                    peer.protocol.capabilities.mark_single();
                }
                return Ok(outcome);
            }
            Ok(AttemptEnd::NotWritten) => return Err(AttemptOutcome::NotSent),
            // As for exclusive connections, the loss of a reused connection is no failure of the upstream.
            Ok(AttemptEnd::ConnectionLost(false)) if reused => {}
            Ok(AttemptEnd::ConnectionLost(false)) => return Err(AttemptOutcome::ConnectFailed),
            // `Err`: the result sender was dropped with its connection. In both cases the request may have run.
            Ok(AttemptEnd::ConnectionLost(true)) | Err(_) => return Err(AttemptOutcome::Reset),
        }
    }
}

/// Returns the first connection with capacity, so that the others become idle and close.
fn link_with_capacity(peer: &Peer<FastCgi>, max_requests: usize) -> Option<Rc<Link>> {
    let (now, abort_timeout) = (Instant::now(), peer.settings.limits.get().flush_wait);
    let has_capacity = |link: &Link| {
        let open = link.connection.borrow().client.open();
        // A connection whose cancelled requests do not end gets no further requests.
        let stuck = link.aborting_since.get().is_some_and(|since| now - since >= abort_timeout);
        !link.closed.get() && !stuck && open < max_requests && peer.is_current(link.generation)
    };
    peer.protocol.links.0.borrow().iter().map(|pooled| &pooled.link).find(|link| has_capacity(link)).cloned()
}

fn add_link(peer: &Peer<FastCgi>, pooled: PooledLink) -> Rc<Link> {
    let link = pooled.link.clone();
    peer.protocol.links.0.borrow_mut().push(pooled);
    link
}

/// Makes an exclusive connection multiplexed, and starts its task.
fn spawn_link(peer: &Rc<Peer<FastCgi>>, exclusive: ExclusiveConnection, attempt: &Attempt) -> PooledLink {
    let link = Rc::new(Link {
        connection: RefCell::new(exclusive.connection),
        pending: RefCell::default(),
        work_available: Notify::new(),
        aborting_since: Cell::new(None),
        closed: Cell::new(false),
        used: Cell::new(false),
        gate: RefCell::new(attempt.gate.clone()),
        generation: exclusive.generation,
        established_at: exclusive.established_at,
        _permit: exclusive.permit,
    });
    let abort_timeout = peer.settings.limits.get().flush_wait;
    let task = tokio::task::spawn_local(link.clone().run(Rc::downgrade(peer), abort_timeout));
    PooledLink { link, task: task.abort_handle() }
}

impl Link {
    async fn run(self: Rc<Link>, peer: Weak<Peer<FastCgi>>, abort_timeout: Duration) {
        let (mut events, mut unsent) = (Vec::new(), Vec::new());
        loop {
            // Applies while only cancelled requests are open.
            let abort_deadline = self.aborting_since.get().filter(|_| self.pending.borrow().is_empty());
            let abort_deadline = abort_deadline.map(|since| since + abort_timeout);
            let io = poll_fn(|cx| {
                self.connection.borrow_mut().poll(cx, |id| self.may_write(id), &mut unsent, &mut events)
            });
            let finished = tokio::select! {
                polled = io => polled.is_err(),
                () = self.work_available.notified() => false,
                () = sleep_until(abort_deadline.unwrap_or_else(Instant::now)), if abort_deadline.is_some() => true,
            };
            for id in unsent.drain(..) {
                self.finish(id, AttemptEnd::NotWritten);
            }
            for event in events.drain(..) {
                if let Event::Ended(id, outcome) = event {
                    self.finish(id, AttemptEnd::Ended(outcome));
                }
            }
            if finished {
                break;
            }
            self.return_if_idle(&peer);
        }
        self.closed.set(true);
        let waiters = std::mem::take(&mut *self.pending.borrow_mut());
        for (id, waiter) in waiters {
            let fully_written = self.connection.borrow().client.is_fully_written(id);
            // Sending fails if the attempt has been cancelled in the meantime.
            let _ = waiter.result.send(AttemptEnd::ConnectionLost(fully_written));
        }
        if let Some(peer) = peer.upgrade() {
            peer.connection_ended(Instant::now());
            // The connection is dropped once its attempts have been notified.
            drop(peer.protocol.links.remove(&self));
        }
    }

    fn may_write(&self, id: u16) -> bool {
        let now = Instant::now();
        self.pending.borrow().get(&id).is_some_and(|w| w.attempt.may_write(now))
    }

    /// Reports the end of a request to its attempt.
    fn finish(&self, id: u16, end: AttemptEnd) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&id) {
            // Sending fails if the attempt has been cancelled in the meantime.
            let _ = waiter.result.send(end);
        }
    }

    /// Returns the connection to the pool of idle connections once no request is open on it.
    fn return_if_idle(self: &Rc<Link>, peer: &Weak<Peer<FastCgi>>) {
        let (open, aborted) = {
            let client = &self.connection.borrow().client;
            (client.open(), client.aborted_requests())
        };
        if aborted == 0 {
            self.aborting_since.set(None);
        }
        if open > 0 {
            return;
        }
        if let Some(peer) = peer.upgrade() {
            if let Some(pooled) = peer.protocol.links.remove(self) {
                peer.return_idle(Conn::Multiplexed(pooled), self.generation, &self.gate.borrow());
            }
        }
    }
}
