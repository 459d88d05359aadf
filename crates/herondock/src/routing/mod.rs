//! Pools at work: which one a request goes to, and what each is told of members.
//!
//! | file | its job |
//! | --- | --- |
//! | `ask.rs` | what the table is asked of a request, by either front |
//! | `pool.rs` | a pool: a driver with a decision module of its own, and the members that belong to it |
//! | `show.rs` | `herondock routes` |
//!
//! Without a table there is one pool with all members, and nothing is asked.
pub mod inspect;
mod pool;
pub mod request_attributes;

use crate::driver::{AdmissionError, DriverHandle, PendingAnswer};
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, FinalAnswer, Request};
use balancer::{Availability, Effect, Learned, Millis, UpstreamId};
use config::Deployment;
use pool::Pool;
use request_attributes::{RequestAttributes, RoutingError};
use route_table::spec::Pool as Spec;
use route_table::table::Table;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;

/// Tables whose keyed requests may still be repeated; a change beyond that many within a window is not taken.
const MAX_FORMER_TABLES: usize = 256;

/// Makes a driver for a pool of this name.
pub type DriverFactory = Box<dyn Fn(&str) -> DriverHandle>;

/// What the table in use says.
struct ActiveTable {
    table: Table,
    /// The pools, at the positions of the table's.
    pools: Vec<Rc<Pool>>,
}

struct Inner {
    maker: DriverFactory,
    deployment: Deployment,
    current: RefCell<Option<Rc<ActiveTable>>>,
    /// The pool of all members, while there is no table.
    default_pool: RefCell<Option<Rc<Pool>>>,
    /// Pools of former tables, which end what they have taken.
    draining_pools: RefCell<Vec<Weak<Pool>>>,
    /// Former tables, and until when a repeat of what went by them may come.
    former_tables: RefCell<Vec<(Rc<ActiveTable>, Instant)>>,
    /// All members as they are.
    endpoints: RefCell<BTreeMap<UpstreamId, ListedEndpoint>>,
    has_endpoints: Cell<bool>,
    /// Told once members are known.
    endpoints_known: Notify,
    /// Told when a driver's timers stop, which nothing can be served without.
    broken: Rc<Notify>,
    max_open: usize,
    /// Every request has its answer by then.
    shutdown_deadline: Cell<Option<Instant>>,
}

/// All pools, as everything else sees them.
#[derive(Clone)]
pub struct Pools(Rc<Inner>);

/// A request that was taken, with where it goes if it certainly has not run.
pub struct AdmittedRequest {
    waiting: PendingAnswer,
    /// Alive while requests of it are open.
    _pool: Option<Rc<Pool>>,
    fallback: Option<Box<Fallback>>,
}

struct Fallback {
    pool: Rc<Pool>,
    class: usize,
    tenant: usize,
    until: Instant,
    request: Request,
}

impl AdmittedRequest {
    /// The final answer. One that was refused and certainly has not run goes to the fall-back first.
    pub async fn answer(self) -> FinalAnswer {
        let AdmittedRequest { waiting, fallback, _pool } = self;
        let first = waiting.answer().await;
        let Some(fallback) = fallback else { return first };
        let Fallback { pool, class, tenant, until, request } = *fallback;
        if first.may_have_run || !matches!(first.answer, Answer::Rejected { .. }) {
            return first;
        }
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        match pool.driver.admit(class, tenant, left, request) {
            Ok(waiting) => waiting.answer().await,
            Err(_) => first,
        }
    }
}

impl Pools {
    /// Pools without a table.
    pub fn new(maker: DriverFactory, deployment: Deployment) -> Pools {
        let max_open = usize::try_from(deployment.max_open).unwrap_or(usize::MAX);
        let broken = Rc::new(Notify::new());
        let whole = Pool::start(&maker, "", None, &broken);
        Pools(Rc::new(Inner {
            maker,
            deployment,
            current: RefCell::default(),
            default_pool: RefCell::new(Some(whole)),
            draining_pools: RefCell::default(),
            former_tables: RefCell::default(),
            endpoints: RefCell::default(),
            has_endpoints: Cell::new(false),
            endpoints_known: Notify::new(),
            broken,
            max_open,
            shutdown_deadline: Cell::new(None),
        }))
    }

    /// Returns once a driver's timers have stopped.
    pub async fn wait_for_failure(&self) {
        self.0.broken.notified().await;
    }

    /// Every pool that may have requests.
    fn all_pools(&self) -> Vec<Rc<Pool>> {
        let inner = &self.0;
        let mut all: Vec<Rc<Pool>> = inner.default_pool.borrow().iter().cloned().collect();
        all.extend(inner.current.borrow().iter().flat_map(|c| c.pools.clone()));
        all.extend(inner.draining_pools.borrow().iter().filter_map(Weak::upgrade));
        all
    }

    /// Whether upstreams are known, so that requests can be served.
    pub fn has_endpoints(&self) -> bool {
        self.0.has_endpoints.get()
    }

    /// Attempts that are out to an upstream, from every pool.
    pub fn in_flight(&self, upstream: UpstreamId) -> usize {
        self.all_pools().iter().map(|pool| pool.driver.in_flight(upstream)).sum()
    }

    /// The pools that are in use, by name; the pool of all members is called by no name.
    pub fn active_pools(&self) -> Vec<Rc<Pool>> {
        let inner = &self.0;
        let whole: Vec<Rc<Pool>> = inner.default_pool.borrow().iter().cloned().collect();
        whole.into_iter().chain(inner.current.borrow().iter().flat_map(|c| c.pools.clone())).collect()
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.all_pools().iter().map(|pool| pool.driver.open_requests()).sum()
    }

    /// Requests that are taken from now on have their answer after this time at the latest.
    pub fn answer_within(&self, time: Duration) {
        self.0.shutdown_deadline.set(Some(Instant::now() + time));
        self.all_pools().iter().for_each(|pool| pool.driver.answer_within(time));
    }

    /// Ends every request that is open; see [`DriverHandle::fail_open`].
    pub fn fail_open_requests(&self) {
        self.all_pools().iter().for_each(|pool| pool.driver.fail_open_requests());
    }

    /// Closes an idle connection to an upstream, if there is one: its socket is needed elsewhere.
    pub fn close_oldest_idle(&self) {
        let all = self.all_pools();
        let oldest = all.iter().filter_map(|pool| Some((pool.driver.oldest_idle_since()?, pool)));
        if let Some((_, pool)) = oldest.min_by_key(|&(since, _)| since) {
            pool.driver.close_oldest_idle();
        }
    }

    /// Waits until upstreams are known.
    pub async fn wait_for_endpoints(&self) {
        while !self.has_endpoints() {
            self.0.endpoints_known.notified().await;
        }
    }

    /// What the module of the one pool has learned; with a table nothing is passed on.
    pub fn learned(&self) -> Learned {
        self.0.default_pool.borrow().as_ref().map(|pool| pool.driver.learned()).unwrap_or_default()
    }

    /// Takes a saved list, before any other news of members.
    pub fn apply_cached(&self, listing: &EndpointUpdate) {
        self.record_changes(listing);
        for pool in self.all_pools() {
            let own = pool.filter_changes(listing);
            pool.driver.apply_cached(&own);
        }
    }

    fn record_changes(&self, listing: &EndpointUpdate) {
        let mut view = self.0.endpoints.borrow_mut();
        if listing.endpoints.iter().any(|e| e.member.availability != Availability::Gone) {
            self.0.has_endpoints.set(true);
            self.0.endpoints_known.notify_one();
        }
        for entry in &listing.endpoints {
            match entry.member.availability {
                Availability::Gone => drop(view.remove(&entry.member.id)),
                _ => drop(view.insert(entry.member.id, entry.clone())),
            }
        }
    }

    /// Takes a table into use. Requests under way end by the one that they began with; a pool of the same name stays as it
    /// is, with what it has learned.
    ///
    /// # Errors
    /// There were too many changes within the time in which repeats may come.
    pub fn replace_table(&self, table: Option<Table>) -> Result<(), String> {
        let inner = &self.0;
        let now = Instant::now();
        let same = match (&*inner.current.borrow(), &table) {
            (Some(current), Some(table)) => {
                let specs = |t: &Table| {
                    (t.pools.clone(), t.routes.iter().map(|c| c.route.clone()).collect::<Vec<_>>())
                };
                specs(&current.table) == specs(table)
            }
            (None, None) => true,
            _ => false,
        };
        if same {
            return Ok(());
        }
        inner.former_tables.borrow_mut().retain(|(_, until)| now < *until);
        if inner.former_tables.borrow().len() >= MAX_FORMER_TABLES {
            return Err(format!(
                "routing.table: more than {MAX_FORMER_TABLES} changes within the time in which keys are remembered"
            ));
        }
        let former = inner.current.borrow_mut().take();
        let mut kept: BTreeMap<String, Rc<Pool>> =
            former.iter().flat_map(|c| &c.pools).map(|pool| (pool.name.clone(), pool.clone())).collect();
        match table {
            Some(table) => {
                let one = |spec: &route_table::spec::Pool| match kept.remove(&spec.name) {
                    Some(pool) => {
                        pool.update_spec(spec.clone(), &inner.endpoints.borrow());
                        pool
                    }
                    None => {
                        let pool = Pool::start(&inner.maker, &spec.name, Some(spec.clone()), &inner.broken);
                        if let Some(last) = inner.shutdown_deadline.get() {
                            pool.driver.answer_within(last.saturating_duration_since(now));
                        }
                        pool.load(&inner.endpoints.borrow(), inner.has_endpoints.get());
                        pool
                    }
                };
                let pools: Vec<Rc<Pool>> = table.pools.iter().map(one).collect();
                for (pool, spec) in pools.iter().zip(&table.pools) {
                    if inner.has_endpoints.get() && pool.members() == 0 {
                        info!("routes: pool {:?} is without members now", spec.name);
                    }
                }
                inner.current.replace(Some(Rc::new(ActiveTable { table, pools })));
                let whole = inner.default_pool.borrow_mut().take();
                inner.draining_pools.borrow_mut().extend(whole.iter().map(Rc::downgrade));
                self.keep_while_open(whole);
            }
            None => {
                let pool = Pool::start(&inner.maker, "", None, &inner.broken);
                pool.load(&inner.endpoints.borrow(), inner.has_endpoints.get());
                inner.default_pool.replace(Some(pool));
            }
        }
        for pool in kept.into_values() {
            inner.draining_pools.borrow_mut().push(Rc::downgrade(&pool));
            self.keep_while_open(Some(pool));
        }
        inner.draining_pools.borrow_mut().retain(|pool| pool.strong_count() > 0);
        if let Some(former) = former {
            let until = now + Duration::from_secs_f64(self.max_dedup_window() / 1000.0);
            inner.former_tables.borrow_mut().push((former, until));
            let pools = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep_until(until).await;
                pools.0.former_tables.borrow_mut().retain(|(_, until)| Instant::now() < *until);
            });
        }
        Ok(())
    }

    /// A pool that goes: whoever has a request in it holds it too.
    fn keep_while_open(&self, pool: Option<Rc<Pool>>) {
        let Some(pool) = pool else { return };
        tokio::task::spawn_local(async move {
            while pool.driver.open_requests() > 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }

    /// For how long upstreams drop repeats, at the most.
    fn max_dedup_window(&self) -> Millis {
        let windows = self.0.deployment.policy.classes.iter().map(|c| match c.effect {
            Effect::Guarded { window, .. } => window,
            _ => 0.0,
        });
        windows.fold(0.0, f64::max)
    }

    /// The pool of a request, with its route's own bounds set in it.
    fn choose_route(
        &self,
        asked: &RequestAttributes,
        class: usize,
        tenant: usize,
    ) -> Result<RouteChoice, RoutingError> {
        let current = self.0.current.borrow().clone();
        let Some(current) = current else {
            let whole = self.0.default_pool.borrow().clone();
            return whole.map(RouteChoice::whole).ok_or(RoutingError::NoRoute);
        };
        let now = Instant::now();
        let past: Vec<Rc<ActiveTable>> = self
            .0
            .former_tables
            .borrow()
            .iter()
            .filter(|(_, until)| now < *until)
            .map(|(c, _)| c.clone())
            .collect();
        let needed = past.iter().chain([&current]).flat_map(|c| &c.table.headers);
        let query = request_attributes::Query::of(asked, needed)?;
        let (route, pool) = query.in_table(&current.table, class, tenant).ok_or(RoutingError::NoRoute)?;
        let k = pool.ok_or_else(|| RoutingError::refused(&route.route))?;
        let pool = current.pools[k].clone();
        // Guards against a repeat that leaves the group that drops it: what this key went by before the change may have
        // run there, and is remembered there only.
        if matches!(
            self.0.deployment.policy.classes.get(class).map(|c| c.effect),
            Some(Effect::Guarded { .. })
        ) {
            let spec = &current.table.pools[k];
            let last = self.0.former_tables.borrow().last().map_or(now, |(_, until)| *until);
            for past in &past {
                let was = query.in_table(&past.table, class, tenant).and_then(|(_, k)| k);
                // A pool of another name with the same members drops the same repeats.
                let same =
                    |was: &Spec| Spec { name: String::new(), place: spec.place.clone(), ..was.clone() };
                if was.is_some_and(|was| same(&past.table.pools[was]) != same(spec)) {
                    return Err(RoutingError::Migrating(last - now));
                }
            }
        }
        let fallback = route.fallback.map(|k| current.pools[k].clone());
        Ok(RouteChoice { pool, fallback, attempts: route.route.attempts, time_ms: route.route.time_ms })
    }

    /// Takes a request: from now on one final answer is owed.
    ///
    /// # Errors
    /// Why it was not taken; nothing ran for it.
    pub fn admit(
        &self,
        asked: &RequestAttributes,
        class: usize,
        tenant: usize,
        patience: Millis,
        mut request: Request,
    ) -> Result<AdmittedRequest, RoutingError> {
        let RouteChoice { pool, fallback, attempts, time_ms } = self.choose_route(asked, class, tenant)?;
        let routed = self.0.current.borrow().is_some();
        if routed && self.open_requests() >= self.0.max_open {
            return Err(RoutingError::NotAdmitted(AdmissionError::TooManyOpen));
        }
        let patience = time_ms.map_or(patience, |ms| patience.min(ms as f64));
        request.max_attempts = attempts;
        let fallback = fallback.map(|pool| {
            let until = Instant::now() + Duration::from_secs_f64(patience.max(0.0) / 1000.0);
            Box::new(Fallback { pool, class, tenant, until, request: request.duplicate() })
        });
        let waiting =
            pool.driver.admit(class, tenant, patience, request).map_err(RoutingError::NotAdmitted)?;
        Ok(AdmittedRequest { waiting, _pool: routed.then_some(pool), fallback })
    }
}

struct RouteChoice {
    pool: Rc<Pool>,
    fallback: Option<Rc<Pool>>,
    attempts: Option<u32>,
    time_ms: Option<u64>,
}

impl RouteChoice {
    fn whole(pool: Rc<Pool>) -> RouteChoice {
        RouteChoice { pool, fallback: None, attempts: None, time_ms: None }
    }
}

impl EndpointSubscriber for Pools {
    fn endpoints_changed(&self, listing: &EndpointUpdate) {
        self.record_changes(listing);
        for pool in self.all_pools() {
            let own = pool.filter_changes(listing);
            pool.driver.endpoints_changed(&own);
        }
    }
}
