//! Connections that carry several requests. Each request ends by itself: a cancelled one is aborted and keeps its id until its
//! END; when the connection is lost, only requests that were written completely may have run.
use super::connection::FastCgiConnection;
use super::exclusive::ExclusiveConnection;
use super::{begin_request, Conn, FastCgi};
use crate::exchange::{Attempt, DrainGate};
use crate::transport::connection_pool::Peer;
use balancer::Ending;
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

/// How a request on a multiplexed connection ended.
enum AttemptEnd {
    Ended(Outcome),
    /// It was not written: its deadline had passed, its upstream drains, or it had finished.
    NotWritten,
    /// The connection was lost; whether the request had been written completely.
    ConnectionLost(bool),
}

struct PendingAttempt {
    attempt: Attempt,
    result: oneshot::Sender<AttemptEnd>,
}

/// A multiplexed connection, driven by a task of its own.
pub struct Link {
    connection: RefCell<FastCgiConnection>,
    pending: RefCell<BTreeMap<u16, PendingAttempt>>,
    /// Notified when a request was added or cancelled.
    work_available: Notify,
    /// Since when there is a cancelled request that has not ended.
    aborting_since: Cell<Option<Instant>>,
    closed: Cell<bool>,
    used: Cell<bool>,
    gate: RefCell<Rc<DrainGate>>,
    generation: u64,
    _permit: OwnedSemaphorePermit,
}

/// A link and its task, which is aborted with it.
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

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        self.link.closed.get() || self.link.connection.borrow().is_closed()
    }
}

/// The multiplexed connections of an upstream with requests on them.
#[derive(Default)]
pub struct Links(RefCell<Vec<PooledLink>>);

impl Links {
    fn remove(&self, link: &Rc<Link>) -> Option<PooledLink> {
        let mut all = self.0.borrow_mut();
        let k = all.iter().position(|held| Rc::ptr_eq(&held.link, link))?;
        Some(all.swap_remove(k))
    }
}

/// Cancels a request when its attempt is dropped.
struct CancelOnDrop {
    link: Rc<Link>,
    id: u16,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        // Not pending any more: it has ended.
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

/// Executes an attempt on a connection with `most` concurrent requests at most; its request is written once at most.
///
/// # Errors
/// The ending of an attempt without an answer.
pub(super) async fn execute(
    peer: &Rc<Peer<FastCgi>>,
    attempt: Attempt,
    most: usize,
) -> Result<Outcome, Ending> {
    loop {
        let link = match link_with_capacity(peer, most) {
            Some(link) => link,
            None => match peer.take_idle() {
                Some(Conn::Multiplexed(held)) => add_link(peer, held),
                Some(Conn::Exclusive(alone)) => add_link(peer, spawn_link(peer, *alone, &attempt)),
                None => {
                    let alone = ExclusiveConnection::dial(peer, attempt.deadline).await?;
                    add_link(peer, spawn_link(peer, alone, &attempt))
                }
            },
        };
        let reused = link.used.replace(true);
        let begun = {
            let mut wire = link.connection.borrow_mut();
            attempt
                .may_write(Instant::now())
                .then(|| begin_request(peer, &mut wire.client, &attempt))
                .flatten()
        };
        let Some(id) = begun else {
            link.work_available.notify_one();
            return Err(Ending::Moot);
        };
        link.gate.replace(attempt.gate.clone());
        let (tell, told) = oneshot::channel();
        link.pending.borrow_mut().insert(id, PendingAttempt { attempt: attempt.clone(), result: tell });
        link.work_available.notify_one();
        let calling = CancelOnDrop { link, id };
        let how = told.await;
        drop(calling);
        match how {
            Ok(AttemptEnd::Ended(outcome)) => {
                if outcome == Outcome::Refused(Protocol::CantMultiplex) {
                    peer.protocol.capabilities.mark_single();
                }
                return Ok(outcome);
            }
            Ok(AttemptEnd::NotWritten) => return Err(Ending::Moot),
            // As on an exclusive connection: one that was reused and had been closed says nothing about the upstream.
            Ok(AttemptEnd::ConnectionLost(false)) if reused => {}
            Ok(AttemptEnd::ConnectionLost(false)) => return Err(Ending::ConnectFailed),
            // Dropped with its connection: it may have run.
            Ok(AttemptEnd::ConnectionLost(true)) | Err(_) => return Err(Ending::Reset),
        }
    }
}

/// The first connection with capacity: the others then become idle and close.
fn link_with_capacity(peer: &Peer<FastCgi>, most: usize) -> Option<Rc<Link>> {
    let (now, patience) = (Instant::now(), peer.settings.limits.get().flush_wait);
    let fits = |link: &Link| {
        let open = link.connection.borrow().client.open();
        // A connection that does not end cancelled requests gets no more.
        let stuck = link.aborting_since.get().is_some_and(|since| now - since >= patience);
        !link.closed.get() && !stuck && open < most && peer.is_current(link.generation)
    };
    peer.protocol.links.0.borrow().iter().map(|held| &held.link).find(|link| fits(link)).cloned()
}

fn add_link(peer: &Peer<FastCgi>, held: PooledLink) -> Rc<Link> {
    let link = held.link.clone();
    peer.protocol.links.0.borrow_mut().push(held);
    link
}

/// Starts the task of a connection.
fn spawn_link(peer: &Rc<Peer<FastCgi>>, alone: ExclusiveConnection, attempt: &Attempt) -> PooledLink {
    let link = Rc::new(Link {
        connection: RefCell::new(alone.connection),
        pending: RefCell::default(),
        work_available: Notify::new(),
        aborting_since: Cell::new(None),
        closed: Cell::new(false),
        used: Cell::new(false),
        gate: RefCell::new(attempt.gate.clone()),
        generation: alone.generation,
        _permit: alone.permit,
    });
    let patience = peer.settings.limits.get().flush_wait;
    let task = tokio::task::spawn_local(link.clone().run(Rc::downgrade(peer), patience));
    PooledLink { link, task: task.abort_handle() }
}

impl Link {
    async fn run(self: Rc<Link>, peer: Weak<Peer<FastCgi>>, patience: Duration) {
        let (mut events, mut unsent) = (Vec::new(), Vec::new());
        loop {
            // Only the ends of cancelled requests are waited for.
            let given_up = self.aborting_since.get().filter(|_| self.pending.borrow().is_empty());
            let given_up = given_up.map(|since| since + patience);
            let io = poll_fn(|cx| {
                self.connection.borrow_mut().poll(cx, |id| self.may_write(id), &mut unsent, &mut events)
            });
            let over = tokio::select! {
                polled = io => polled.is_err(),
                () = self.work_available.notified() => false,
                () = sleep_until(given_up.unwrap_or_else(Instant::now)), if given_up.is_some() => true,
            };
            for id in unsent.drain(..) {
                self.finish(id, AttemptEnd::NotWritten);
            }
            for event in events.drain(..) {
                if let Event::Ended(id, outcome) = event {
                    self.finish(id, AttemptEnd::Ended(outcome));
                }
            }
            if over {
                break;
            }
            self.return_if_idle(&peer);
        }
        self.closed.set(true);
        let waiters = std::mem::take(&mut *self.pending.borrow_mut());
        for (id, waiter) in waiters {
            let whole = self.connection.borrow().client.is_fully_written(id);
            // A request that was cancelled meanwhile is not waited for.
            let _ = waiter.result.send(AttemptEnd::ConnectionLost(whole));
        }
        // Out of use: dropped once its attempts have been notified.
        drop(peer.upgrade().and_then(|peer| peer.protocol.links.remove(&self)));
    }

    fn may_write(&self, id: u16) -> bool {
        let now = Instant::now();
        self.pending.borrow().get(&id).is_some_and(|w| w.attempt.may_write(now))
    }

    fn finish(&self, id: u16, how: AttemptEnd) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&id) {
            // A request that was cancelled meanwhile is not waited for.
            let _ = waiter.result.send(how);
        }
    }

    /// Returns the connection to the idle ones once no request is open on it.
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
            if let Some(held) = peer.protocol.links.remove(self) {
                peer.return_idle(Conn::Multiplexed(held), self.generation, &self.gate.borrow());
            }
        }
    }
}
