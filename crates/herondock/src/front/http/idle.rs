//! Idle connections, and the choice of the connection that is evicted when no descriptor is left for a new client.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Age after which a connection that has carried no request (a newcomer) may be evicted.
const NEWCOMER_GRACE: Duration = Duration::from_millis(30);
/// Age after which a newcomer may be evicted while no used connection has been idle for [`IDLE_BEFORE_EVICTION`].
const MIN_NEWCOMER_GRACE: Duration = Duration::from_millis(5);
/// Idle time after which a used connection is evicted before newcomers that are younger than [`NEWCOMER_GRACE`].
const IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// While newcomers hold less than one in this many of the clients' descriptors, a used connection may be evicted
/// regardless of its idle time: evicting so few newcomers would not make room for the clients that wait to be
/// accepted, whose requests count as received.
const FEW_NEWCOMERS_DIVISOR: usize = 4;

/// Key of an idle connection. Ordered: newcomers before used connections, then by idle time, longest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleSlot {
    /// Whether the connection has carried a request.
    used: bool,
    /// Sequence number of the time at which the connection became idle.
    turn: u64,
}

struct IdleConnection {
    since: Instant,
    evicted: Rc<Notify>,
}

/// Connections that are between requests.
#[derive(Default)]
pub(super) struct IdleConnections {
    connections: RefCell<BTreeMap<IdleSlot, IdleConnection>>,
    /// Number of idle connections that have carried no request.
    newcomers: Cell<usize>,
    turns: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection that became idle. `used`: whether it has carried a request. `evicted` is notified when the
    /// connection has to close.
    pub(super) fn insert(&self, used: bool, evicted: &Rc<Notify>) -> IdleSlot {
        self.turns.set(self.turns.get() + 1);
        let slot = IdleSlot { used, turn: self.turns.get() };
        let connection = IdleConnection { since: Instant::now(), evicted: evicted.clone() };
        self.connections.borrow_mut().insert(slot, connection);
        self.newcomers.set(self.newcomers.get() + usize::from(!used));
        slot
    }

    /// Removes a connection, unless it has been evicted.
    pub(super) fn remove(&self, slot: Option<IdleSlot>) {
        if let Some(slot) = slot {
            self.take(slot);
        }
    }

    fn take(&self, slot: IdleSlot) -> Option<IdleConnection> {
        let connection = self.connections.borrow_mut().remove(&slot)?;
        self.newcomers.set(self.newcomers.get() - usize::from(!slot.used));
        Some(connection)
    }

    /// Evicts a connection, if one may be evicted; returns whether it did. `max_callers`: maximum number of connected
    /// clients.
    ///
    /// Newcomers are evicted first, once there was time to read what they may have sent: hundreds of silent clients
    /// must not shut out those that send requests. Used connections that have been idle for long, or that hold nearly
    /// all descriptors, are evicted before that time has passed: otherwise each accept would wait that long, and
    /// requests of clients that wait to be accepted would expire.
    pub(super) fn evict(&self, max_callers: usize) -> bool {
        let few_newcomers = self.newcomers.get() < max_callers / FEW_NEWCOMERS_DIVISOR;
        let slot = match (self.oldest(false), self.oldest(true)) {
            (Some((slot, age)), _) if age >= NEWCOMER_GRACE => slot,
            (_, Some((slot, idle))) if idle >= IDLE_BEFORE_EVICTION => slot,
            (Some((slot, age)), _) if age >= MIN_NEWCOMER_GRACE => slot,
            (_, Some((slot, _))) if few_newcomers => slot,
            (None, Some((slot, _))) => slot,
            _ => return false,
        };
        let Some(connection) = self.take(slot) else { return false };
        connection.evicted.notify_one();
        true
    }

    /// Returns the connection that has been idle longest, among the used ones or among the newcomers, and its idle
    /// time.
    fn oldest(&self, used: bool) -> Option<(IdleSlot, Duration)> {
        let connections = self.connections.borrow();
        let slots = IdleSlot { used, turn: 0 }..=IdleSlot { used, turn: u64::MAX };
        let (&slot, connection) = connections.range(slots).next()?;
        Some((slot, connection.since.elapsed()))
    }
}
