//! Routing: the pools, which of them a request goes to, and which endpoints each has.
//!
//! | file | contents |
//! | --- | --- |
//! | `request_attributes.rs` | what the routing table needs to know of a request, for either front |
//! | `pool.rs` | a pool: a driver with a decision module of its own, and the endpoints that belong to it |
//! | `inspect.rs` | `herondock routes` |
//!
//! Without a table there is one pool with all endpoints.
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

/// Maximum number of former tables whose requests with idempotency keys may still be retried; further changes are rejected.
const MAX_FORMER_TABLES: usize = 256;

/// The routing table has changed too often within the time in which idempotency keys are remembered.
#[derive(Debug, thiserror::Error)]
#[error("routing.table: more than {MAX_FORMER_TABLES} changes within the time in which keys are remembered")]
pub struct TooManyTableChanges;

/// Creates the driver of a pool, by its name.
pub type DriverFactory = Box<dyn Fn(&str) -> DriverHandle>;

/// The table in use.
struct ActiveTable {
    table: Table,
    /// The pools, in the order of the table.
    pools: Vec<Rc<Pool>>,
}

struct Inner {
    driver_factory: DriverFactory,
    deployment: Deployment,
    current: RefCell<Option<Rc<ActiveTable>>>,
    /// The pool of all endpoints, while there is no table.
    default_pool: RefCell<Option<Rc<Pool>>>,
    /// Pools of former tables, until their requests have ended.
    draining_pools: RefCell<Vec<Weak<Pool>>>,
    /// Former tables, and until when requests that they routed may be retried.
    former_tables: RefCell<Vec<(Rc<ActiveTable>, Instant)>>,
    /// All endpoints.
    endpoints: RefCell<BTreeMap<UpstreamId, ListedEndpoint>>,
    has_endpoints: Cell<bool>,
    /// Notified once endpoints are known.
    endpoints_known: Notify,
    /// Notified when a driver's timers have stopped, without which no request can be served.
    timers_failed: Rc<Notify>,
    max_open: usize,
    /// Every request has its final answer by then, during a graceful shutdown.
    shutdown_deadline: Cell<Option<Instant>>,
}

/// All pools, as the rest of the process sees them. Clones refer to the same pools.
#[derive(Clone)]
pub struct Pools(Rc<Inner>);

/// An admitted request, with its fallback if it certainly has not run.
pub struct AdmittedRequest {
    waiting: PendingAnswer,
    /// Keeps the pool while the request is open.
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
    /// Waits for the final answer. A request that was rejected and certainly has not run goes to its fallback pool first.
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
            driver_factory: maker,
            deployment,
            current: RefCell::default(),
            default_pool: RefCell::new(Some(whole)),
            draining_pools: RefCell::default(),
            former_tables: RefCell::default(),
            endpoints: RefCell::default(),
            has_endpoints: Cell::new(false),
            endpoints_known: Notify::new(),
            timers_failed: broken,
            max_open,
            shutdown_deadline: Cell::new(None),
        }))
    }

    /// Waits until a driver's timers have stopped.
    pub async fn wait_for_failure(&self) {
        self.0.timers_failed.notified().await;
    }

    /// Every pool that may have requests, draining ones included.
    fn all_pools(&self) -> Vec<Rc<Pool>> {
        let inner = &self.0;
        let mut all: Vec<Rc<Pool>> = inner.default_pool.borrow().iter().cloned().collect();
        all.extend(inner.current.borrow().iter().flat_map(|c| c.pools.clone()));
        all.extend(inner.draining_pools.borrow().iter().filter_map(Weak::upgrade));
        all
    }

    /// Whether endpoints are known, so that requests can be served.
    pub fn has_endpoints(&self) -> bool {
        self.0.has_endpoints.get()
    }

    /// Number of attempts in flight to an upstream, from all pools.
    pub fn in_flight(&self, upstream: UpstreamId) -> usize {
        self.all_pools().iter().map(|pool| pool.driver.in_flight(upstream)).sum()
    }

    /// The pools in use; the default pool has an empty name.
    pub fn active_pools(&self) -> Vec<Rc<Pool>> {
        let inner = &self.0;
        let whole: Vec<Rc<Pool>> = inner.default_pool.borrow().iter().cloned().collect();
        whole.into_iter().chain(inner.current.borrow().iter().flat_map(|c| c.pools.clone())).collect()
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.all_pools().iter().map(|pool| pool.driver.open_requests()).sum()
    }

    /// Bounds the time of requests that are admitted from now on.
    pub fn answer_within(&self, time: Duration) {
        self.0.shutdown_deadline.set(Some(Instant::now() + time));
        self.all_pools().iter().for_each(|pool| pool.driver.answer_within(time));
    }

    /// Fails every open request; see [`DriverHandle::fail_open_requests`].
    pub fn fail_open_requests(&self) {
        self.all_pools().iter().for_each(|pool| pool.driver.fail_open_requests());
    }

    /// Closes the connection that has been idle longest, if there is one, to free its descriptor.
    pub fn close_oldest_idle(&self) {
        let all = self.all_pools();
        let oldest = all.iter().filter_map(|pool| Some((pool.driver.oldest_idle_since()?, pool)));
        if let Some((_, pool)) = oldest.min_by_key(|&(since, _)| since) {
            pool.driver.close_oldest_idle();
        }
    }

    /// Waits until endpoints are known.
    pub async fn wait_for_endpoints(&self) {
        while !self.has_endpoints() {
            self.0.endpoints_known.notified().await;
        }
    }

    /// What the decision module of the default pool has learned; nothing with a routing table.
    pub fn learned(&self) -> Learned {
        self.0.default_pool.borrow().as_ref().map(|pool| pool.driver.learned()).unwrap_or_default()
    }

    /// Applies a cached endpoint list, before any update from a source.
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

    /// Replaces the routing table. Open requests keep the table that they began with; a pool of the same name stays, with what its
    /// decision module has learned.
    ///
    /// # Errors
    /// There were too many changes within the time in which requests may be retried.
    pub fn replace_table(&self, table: Option<Table>) -> Result<(), TooManyTableChanges> {
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
            return Err(TooManyTableChanges);
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
                        let pool = Pool::start(
                            &inner.driver_factory,
                            &spec.name,
                            Some(spec.clone()),
                            &inner.timers_failed,
                        );
                        if let Some(last) = inner.shutdown_deadline.get() {
                            pool.driver.answer_within(last.saturating_duration_since(now));
                        }
                        pool.load(&inner.endpoints.borrow(), inner.has_endpoints.get());
                        pool
                    }
                };
                let pools: Vec<Rc<Pool>> = table.pools.iter().map(one).collect();
                for (pool, spec) in pools.iter().zip(&table.pools) {
                    if inner.has_endpoints.get() && pool.member_count() == 0 {
                        info!("routes: pool {:?} is without members now", spec.name);
                    }
                }
                inner.current.replace(Some(Rc::new(ActiveTable { table, pools })));
                let whole = inner.default_pool.borrow_mut().take();
                inner.draining_pools.borrow_mut().extend(whole.iter().map(Rc::downgrade));
                self.keep_while_open(whole);
            }
            None => {
                let pool = Pool::start(&inner.driver_factory, "", None, &inner.timers_failed);
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

    /// Keeps a former pool until its requests have ended.
    fn keep_while_open(&self, pool: Option<Rc<Pool>>) {
        let Some(pool) = pool else { return };
        tokio::task::spawn_local(async move {
            while pool.driver.open_requests() > 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }

    /// The longest time for which upstreams discard duplicates, in milliseconds.
    fn max_dedup_window(&self) -> Millis {
        let windows = self.0.deployment.policy.classes.iter().map(|c| match c.effect {
            Effect::Guarded { window, .. } => window,
            _ => 0.0,
        });
        windows.fold(0.0, f64::max)
    }

    /// The route of a request: its pool, fallback and limits.
    fn choose_route(
        &self,
        asked: &RequestAttributes,
        class: usize,
        tenant: usize,
    ) -> Result<RouteChoice, RoutingError> {
        let current = self.0.current.borrow().clone();
        let Some(current) = current else {
            let whole = self.0.default_pool.borrow().clone();
            return whole.map(RouteChoice::without_limits).ok_or(RoutingError::NoRoute);
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
        let query = request_attributes::Query::parse(asked, needed)?;
        let (route, pool) = query.route_in(&current.table, class, tenant).ok_or(RoutingError::NoRoute)?;
        let k = pool.ok_or_else(|| RoutingError::rejected_by(&route.route))?;
        let pool = current.pools[k].clone();
        // Guards against a retry that leaves the group that discards it: a request with this key may have run where the former
        // table led it, and is remembered only there.
        if matches!(
            self.0.deployment.policy.classes.get(class).map(|c| c.effect),
            Some(Effect::Guarded { .. })
        ) {
            let spec = &current.table.pools[k];
            let last = self.0.former_tables.borrow().last().map_or(now, |(_, until)| *until);
            for past in &past {
                let was = query.route_in(&past.table, class, tenant).and_then(|(_, k)| k);
                // A pool of another name with the same endpoints discards the same duplicates.
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

    /// Admits a request: from now on one final answer is owed.
    ///
    /// # Errors
    /// Why it was not admitted; nothing ran for it.
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
    fn without_limits(pool: Rc<Pool>) -> RouteChoice {
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
