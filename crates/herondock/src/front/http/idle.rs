//! Connections between requests, and which of them makes way when a new client finds no descriptor left.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that has carried no request yet makes way after this long.
const NEWCOMER_GRACE: Duration = Duration::from_millis(30);
/// Or, while no used connection has been idle for [`IDLE_BEFORE_EVICTION`], after this long.
const MIN_NEWCOMER_GRACE: Duration = Duration::from_millis(5);
/// A used connection makes way before young newcomers once it has been idle this long.
const IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// Or at once, while newcomers hold less than one in so many of the clients' descriptors: closing so few would not make room
/// for the clients that wait to be accepted, whose requests count as taken.
const FEW_NEWCOMERS_DIVISOR: usize = 4;

/// Identifies a connection among the idle ones. Ordered: newcomers first, then by how long they have been idle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleSlot {
    /// Whether the connection has carried a request.
    used: bool,
    /// Counts the times at which a connection became idle.
    turn: u64,
}

struct IdleConnection {
    since: Instant,
    evicted: Rc<Notify>,
}

/// The connections between requests.
#[derive(Default)]
pub(super) struct IdleConnections {
    connections: RefCell<BTreeMap<IdleSlot, IdleConnection>>,
    /// How many of them have carried no request.
    newcomers: Cell<usize>,
    turns: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection that became idle; `used`: it has carried a request. `evicted` is notified when it has to close.
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

    /// Evicts a connection, if one may be. `max_callers`: how many clients may be connected.
    ///
    /// Newcomers go first, once what they may have sent had time to be read: silent clients by the hundred must not shut out
    /// those that send requests. Used connections that have been idle for long, or that hold nearly all descriptors, go
    /// before that time is over: each accept would wait as long, and what waits to be accepted grows stale.
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

    /// The connection that has been idle longest, of the used ones or of the newcomers, and for how long.
    fn oldest(&self, used: bool) -> Option<(IdleSlot, Duration)> {
        let connections = self.connections.borrow();
        let slots = IdleSlot { used, turn: 0 }..=IdleSlot { used, turn: u64::MAX };
        let (&slot, connection) = connections.range(slots).next()?;
        Some((slot, connection.since.elapsed()))
    }
}
