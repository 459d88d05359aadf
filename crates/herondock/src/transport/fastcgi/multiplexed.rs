//! Several requests at once on a connection. Each has its own fate: what is called off is aborted and keeps its id until
//! its END; when the connection breaks, only those that were written whole may have run.
use super::connection::FastCgiConnection;
use super::exclusive::ExclusiveConnection;
use super::{begin, Conn, FastCgi};
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

/// How a request on a shared connection ended.
enum AttemptEnd {
    Ended(Outcome),
    /// It was not written: its time, its upstream's or itself was over.
    Unsent,
    /// The connection ended; whether the request had been written whole.
    Broken(bool),
}

struct PendingAttempt {
    attempt: Attempt,
    tell: oneshot::Sender<AttemptEnd>,
}

/// A connection with several requests, its task beside it.
pub struct Link {
    wire: RefCell<FastCgiConnection>,
    waiters: RefCell<BTreeMap<u16, PendingAttempt>>,
    /// Something is to be written, or was called off.
    changed: Notify,
    /// Since when there is a request that was called off and has not ended.
    aborted: Cell<Option<Instant>>,
    over: Cell<bool>,
    used: Cell<bool>,
    gate: RefCell<Rc<DrainGate>>,
    generation: u64,
    _permit: OwnedSemaphorePermit,
}

/// A link and its task, which ends with it.
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
    pub fn clean(&self) -> bool {
        !self.link.over.get() && self.link.wire.borrow().clean()
    }

    /// Whether the other side has closed it.
    pub fn closed(&self) -> bool {
        self.link.over.get() || self.link.wire.borrow().closed()
    }
}

/// The connections of an upstream that carry something.
#[derive(Default)]
pub struct Links(RefCell<Vec<PooledLink>>);

impl Links {
    fn take_out(&self, link: &Rc<Link>) -> Option<PooledLink> {
        let mut all = self.0.borrow_mut();
        let k = all.iter().position(|held| Rc::ptr_eq(&held.link, link))?;
        Some(all.swap_remove(k))
    }
}

/// Calls a request off when its attempt is dropped.
struct CancelOnDrop {
    link: Rc<Link>,
    id: u16,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        // Gone from the books: it has ended.
        if self.link.waiters.borrow_mut().remove(&self.id).is_none() {
            return;
        }
        if self.link.wire.borrow_mut().client.abort(self.id) && self.link.aborted.get().is_none() {
            self.link.aborted.set(Some(Instant::now()));
        }
        self.link.changed.notify_one();
    }
}

/// Carries an attempt out among `most` on a connection; its request is written once at most.
pub(super) async fn carry_out(
    peer: &Rc<Peer<FastCgi>>,
    attempt: Attempt,
    most: usize,
) -> Result<Outcome, Ending> {
    loop {
        let link = match with_room(peer, most) {
            Some(link) => link,
            None => match peer.take_idle() {
                Some(Conn::Shared(held)) => hold(peer, held),
                Some(Conn::Alone(alone)) => hold(peer, start(peer, *alone, &attempt)),
                None => {
                    let alone = ExclusiveConnection::dial(peer, attempt.deadline).await?;
                    hold(peer, start(peer, alone, &attempt))
                }
            },
        };
        let reused = link.used.replace(true);
        let begun = {
            let mut wire = link.wire.borrow_mut();
            attempt.may_write(Instant::now()).then(|| begin(peer, &mut wire.client, &attempt)).flatten()
        };
        let Some(id) = begun else {
            link.changed.notify_one();
            return Err(Ending::Moot);
        };
        link.gate.replace(attempt.gate.clone());
        let (tell, told) = oneshot::channel();
        link.waiters.borrow_mut().insert(id, PendingAttempt { attempt: attempt.clone(), tell });
        link.changed.notify_one();
        let calling = CancelOnDrop { link, id };
        let how = told.await;
        drop(calling);
        match how {
            Ok(AttemptEnd::Ended(outcome)) => {
                if outcome == Outcome::Refused(Protocol::CantMultiplex) {
                    peer.protocol.asked.refused();
                }
                return Ok(outcome);
            }
            Ok(AttemptEnd::Unsent) => return Err(Ending::Moot),
            // As alone: one that had carried something and was closed meanwhile says nothing about the upstream.
            Ok(AttemptEnd::Broken(false)) if reused => {}
            Ok(AttemptEnd::Broken(false)) => return Err(Ending::ConnectFailed),
            // Dropped with its connection: nobody knows.
            Ok(AttemptEnd::Broken(true)) | Err(_) => return Err(Ending::Reset),
        }
    }
}

/// The first connection with room: the others then fall idle and close.
fn with_room(peer: &Peer<FastCgi>, most: usize) -> Option<Rc<Link>> {
    let (now, patience) = (Instant::now(), peer.settings.limits.get().flush_wait);
    let fits = |link: &Link| {
        let open = link.wire.borrow().client.open();
        // One that does not end what was called off can't be trusted with more.
        let stuck = link.aborted.get().is_some_and(|since| now - since >= patience);
        !link.over.get() && !stuck && open < most && peer.is_current(link.generation)
    };
    peer.protocol.links.0.borrow().iter().map(|held| &held.link).find(|link| fits(link)).cloned()
}

fn hold(peer: &Peer<FastCgi>, held: PooledLink) -> Rc<Link> {
    let link = held.link.clone();
    peer.protocol.links.0.borrow_mut().push(held);
    link
}

/// Gives a connection its task.
fn start(peer: &Rc<Peer<FastCgi>>, alone: ExclusiveConnection, attempt: &Attempt) -> PooledLink {
    let link = Rc::new(Link {
        wire: RefCell::new(alone.wire),
        waiters: RefCell::default(),
        changed: Notify::new(),
        aborted: Cell::new(None),
        over: Cell::new(false),
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
            // Nobody waits for anything but the ends of what was called off.
            let given_up = self.aborted.get().filter(|_| self.waiters.borrow().is_empty());
            let given_up = given_up.map(|since| since + patience);
            let io = poll_fn(|cx| {
                self.wire.borrow_mut().poll(cx, |id| self.may_begin(id), &mut unsent, &mut events)
            });
            let over = tokio::select! {
                polled = io => polled.is_err(),
                () = self.changed.notified() => false,
                () = sleep_until(given_up.unwrap_or_else(Instant::now)), if given_up.is_some() => true,
            };
            for id in unsent.drain(..) {
                self.tell(id, AttemptEnd::Unsent);
            }
            for event in events.drain(..) {
                if let Event::Ended(id, outcome) = event {
                    self.tell(id, AttemptEnd::Ended(outcome));
                }
            }
            if over {
                break;
            }
            self.settle(&peer);
        }
        self.over.set(true);
        let waiters = std::mem::take(&mut *self.waiters.borrow_mut());
        for (id, waiter) in waiters {
            let whole = self.wire.borrow().client.whole(id);
            // One that was called off meanwhile is not waited for.
            let _ = waiter.tell.send(AttemptEnd::Broken(whole));
        }
        // Out of use; nobody holds it once its attempts have heard.
        drop(peer.upgrade().and_then(|peer| peer.protocol.links.take_out(&self)));
    }

    fn may_begin(&self, id: u16) -> bool {
        let now = Instant::now();
        self.waiters.borrow().get(&id).is_some_and(|w| w.attempt.may_write(now))
    }

    fn tell(&self, id: u16, how: AttemptEnd) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
            // One that was called off meanwhile is not waited for.
            let _ = waiter.tell.send(how);
        }
    }

    /// Gives the connection back for the next request once nothing is open on it.
    fn settle(self: &Rc<Link>, peer: &Weak<Peer<FastCgi>>) {
        let (open, aborted) = {
            let client = &self.wire.borrow().client;
            (client.open(), client.aborted())
        };
        if aborted == 0 {
            self.aborted.set(None);
        }
        if open > 0 {
            return;
        }
        if let Some(peer) = peer.upgrade() {
            if let Some(held) = peer.protocol.links.take_out(self) {
                peer.return_idle(Conn::Shared(held), self.generation, &self.gate.borrow());
            }
        }
    }
}
