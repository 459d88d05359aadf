//! Routing: the pools, the choice of a pool for each request, and the endpoints of each pool.
//!
//! | file | contents |
//! | --- | --- |
//! | `request_attributes.rs` | attributes of a request that the routing table evaluates, for either front |
//! | `pool.rs` | a pool: a driver with its own decision module, and the endpoints that belong to it |
//! | `inspect.rs` | `herondock routes` |
//!
//! Without a table there is one pool with all endpoints.
pub mod inspect;
mod pool;
pub mod request_attributes;

use crate::driver::{AdmissionError, DriverHandle, PendingAnswer};
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, FinalAnswer, Request};
use balancer::{Availability, Effect, LearnedState, Millis, UpstreamId};
use config::Deployment;
use pool::Pool;
use request_attributes::{RequestAttributes, RoutingError};
use route_table::spec::Pool as PoolSpec;
use route_table::table::Table;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;

/// Maximum number of former tables whose requests with idempotency keys may still be retried. Further changes of the
/// table are rejected.
const MAX_FORMER_TABLES: usize = 256;

/// The routing table has changed too often within the time in which idempotency keys are remembered.
#[derive(Debug, thiserror::Error)]
#[error("routing.table: more than {MAX_FORMER_TABLES} changes within the time in which keys are remembered")]
pub struct TooManyTableChanges;

/// Creates the driver of a pool, given the pool's name.
pub type DriverFactory = Box<dyn Fn(&str) -> DriverHandle>;

/// A routing table with its pools.
struct ActiveTable {
    table: Table,
    /// The pools, in the order of the table.
    pools: Vec<Rc<Pool>>,
}

struct Inner {
    driver_factory: DriverFactory,
    deployment: Deployment,
    current: RefCell<Option<Rc<ActiveTable>>>,
    /// Pool of all endpoints, while there is no table.
    default_pool: RefCell<Option<Rc<Pool>>>,
    /// Former pools, until their requests have ended.
    draining_pools: RefCell<Vec<Weak<Pool>>>,
    /// Former tables, each with the time until which requests that it routed may be retried.
    former_tables: RefCell<Vec<(Rc<ActiveTable>, Instant)>>,
    /// All known endpoints.
    endpoints: RefCell<BTreeMap<UpstreamId, ListedEndpoint>>,
    has_endpoints: Cell<bool>,
    /// Notified once endpoints are known.
    endpoints_known: Notify,
    /// Notified when the timer task of a driver has failed, without which no request can be served.
    timers_failed: Rc<Notify>,
    max_open: usize,
    /// Time by which every request has its final answer, during a graceful shutdown.
    shutdown_deadline: Cell<Option<Instant>>,
}

/// Handle of all pools. Clones refer to the same pools.
#[derive(Clone)]
pub struct Pools(Rc<Inner>);

/// An admitted request, with the fallback for the case that it is rejected and certainly has not run.
pub struct AdmittedRequest {
    pending: PendingAnswer,
    /// Keeps the pool alive while the request is open.
    _pool: Option<Rc<Pool>>,
    fallback: Option<Box<Fallback>>,
}

struct Fallback {
    pool: Rc<Pool>,
    class: usize,
    tenant: usize,
    deadline: Instant,
    request: Request,
}

impl AdmittedRequest {
    /// Waits for the final answer. A request that was rejected and certainly has not run goes to its fallback pool first.
    pub async fn answer(self) -> FinalAnswer {
        let AdmittedRequest { pending, fallback, _pool } = self;
        let first_answer = pending.answer().await;
        let Some(fallback) = fallback else { return first_answer };
        let Fallback { pool, class, tenant, deadline, request } = *fallback;
        if first_answer.may_have_run || !matches!(first_answer.answer, Answer::Rejected { .. }) {
            return first_answer;
        }
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        match pool.driver.admit(class, tenant, remaining_ms, request) {
            Ok(pending) => pending.answer().await,
            Err(_) => first_answer,
        }
    }
}

impl Pools {
    /// Creates the default pool, without a routing table.
    pub fn new(factory: DriverFactory, deployment: Deployment) -> Pools {
        let max_open = usize::try_from(deployment.max_open).unwrap_or(usize::MAX);
        let failure = Rc::new(Notify::new());
        let default_pool = Pool::start(&factory, "", None, &failure);
        Pools(Rc::new(Inner {
            driver_factory: factory,
            deployment,
            current: RefCell::default(),
            default_pool: RefCell::new(Some(default_pool)),
            draining_pools: RefCell::default(),
            former_tables: RefCell::default(),
            endpoints: RefCell::default(),
            has_endpoints: Cell::new(false),
            endpoints_known: Notify::new(),
            timers_failed: failure,
            max_open,
            shutdown_deadline: Cell::new(None),
        }))
    }

    /// Waits until the timer task of a driver has failed.
    pub async fn wait_for_failure(&self) {
        self.0.timers_failed.notified().await;
    }

    /// Every pool that may have requests, including draining ones.
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

    /// Pools in use; the default pool has an empty name.
    pub fn active_pools(&self) -> Vec<Rc<Pool>> {
        let inner = &self.0;
        let pools: Vec<Rc<Pool>> = inner.default_pool.borrow().iter().cloned().collect();
        pools.into_iter().chain(inner.current.borrow().iter().flat_map(|c| c.pools.clone())).collect()
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.all_pools().iter().map(|pool| pool.driver.open_requests()).sum()
    }

    /// Limits the time of requests that are admitted from now on: each has its final answer within `timeout` from
    /// now.
    pub fn set_answer_timeout(&self, timeout: Duration) {
        self.0.shutdown_deadline.set(Some(Instant::now() + timeout));
        self.all_pools().iter().for_each(|pool| pool.driver.set_answer_timeout(timeout));
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

    /// Capacity and demand that the decision module of the default pool has learned; empty if there is a routing
    /// table.
    pub fn learned(&self) -> LearnedState {
        self.0.default_pool.borrow().as_ref().map(|pool| pool.driver.learned()).unwrap_or_default()
    }

    /// Applies a cached endpoint list, before any update from a source.
    pub fn apply_cached(&self, listing: &EndpointUpdate) {
        self.record_changes(listing);
        for pool in self.all_pools() {
            let pool_changes = pool.filter_changes(listing);
            pool.driver.apply_cached(&pool_changes);
        }
    }

    fn record_changes(&self, listing: &EndpointUpdate) {
        let mut known_endpoints = self.0.endpoints.borrow_mut();
        if listing.endpoints.iter().any(|e| e.member.availability != Availability::Gone) {
            self.0.has_endpoints.set(true);
            self.0.endpoints_known.notify_one();
        }
        for entry in &listing.endpoints {
            match entry.member.availability {
                Availability::Gone => drop(known_endpoints.remove(&entry.member.id)),
                _ => drop(known_endpoints.insert(entry.member.id, entry.clone())),
            }
        }
    }

    /// Replaces the routing table. Open requests keep the table that they were admitted with. A pool whose name stays
    /// keeps its decision module with everything that it has learned.
    ///
    /// # Errors
    /// The table has changed too often within the time in which requests may be retried.
    pub fn replace_table(&self, table: Option<Table>) -> Result<(), TooManyTableChanges> {
        let inner = &self.0;
        let now = Instant::now();
        let unchanged = match (&*inner.current.borrow(), &table) {
            (Some(current), Some(table)) => {
                let specs = |table: &Table| {
                    (table.pools.clone(), table.routes.iter().map(|c| c.route.clone()).collect::<Vec<_>>())
                };
                specs(&current.table) == specs(table)
            }
            (None, None) => true,
            _ => false,
        };
        if unchanged {
            return Ok(());
        }
        inner.former_tables.borrow_mut().retain(|(_, retry_deadline)| now < *retry_deadline);
        if inner.former_tables.borrow().len() >= MAX_FORMER_TABLES {
            return Err(TooManyTableChanges);
        }
        let former = inner.current.borrow_mut().take();
        let mut former_pools: BTreeMap<String, Rc<Pool>> =
            former.iter().flat_map(|c| &c.pools).map(|pool| (pool.name.clone(), pool.clone())).collect();
        match table {
            Some(table) => {
                let pool_for = |spec: &route_table::spec::Pool| match former_pools.remove(&spec.name) {
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
                        if let Some(deadline) = inner.shutdown_deadline.get() {
                            pool.driver.set_answer_timeout(deadline.saturating_duration_since(now));
                        }
                        pool.load(&inner.endpoints.borrow(), inner.has_endpoints.get());
                        pool
                    }
                };
                let pools: Vec<Rc<Pool>> = table.pools.iter().map(pool_for).collect();
                for (pool, spec) in pools.iter().zip(&table.pools) {
                    if inner.has_endpoints.get() && pool.member_count() == 0 {
                        info!("routes: pool {:?} has no members", spec.name);
                    }
                }
                inner.current.replace(Some(Rc::new(ActiveTable { table, pools })));
                let former_default = inner.default_pool.borrow_mut().take();
                inner.draining_pools.borrow_mut().extend(former_default.iter().map(Rc::downgrade));
                self.keep_while_open(former_default);
            }
            None => {
                let pool = Pool::start(&inner.driver_factory, "", None, &inner.timers_failed);
                pool.load(&inner.endpoints.borrow(), inner.has_endpoints.get());
                inner.default_pool.replace(Some(pool));
            }
        }
        for pool in former_pools.into_values() {
            inner.draining_pools.borrow_mut().push(Rc::downgrade(&pool));
            self.keep_while_open(Some(pool));
        }
        inner.draining_pools.borrow_mut().retain(|pool| pool.strong_count() > 0);
        if let Some(former) = former {
            let retry_deadline = now + Duration::from_secs_f64(self.max_dedup_window() / 1000.0);
            inner.former_tables.borrow_mut().push((former, retry_deadline));
            let pools = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep_until(retry_deadline).await;
                pools
                    .0
                    .former_tables
                    .borrow_mut()
                    .retain(|(_, retry_deadline)| Instant::now() < *retry_deadline);
            });
        }
        Ok(())
    }

    /// Keeps a former pool alive until its requests have ended.
    fn keep_while_open(&self, pool: Option<Rc<Pool>>) {
        let Some(pool) = pool else { return };
        tokio::task::spawn_local(async move {
            while pool.driver.open_requests() > 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }

    /// Longest time during which upstreams discard duplicates, in milliseconds.
    fn max_dedup_window(&self) -> Millis {
        let windows = self.0.deployment.policy.classes.iter().map(|c| match c.effect {
            Effect::Guarded { window, .. } => window,
            _ => 0.0,
        });
        windows.fold(0.0, f64::max)
    }

    /// Returns the pool, the fallback and the limits that the routing table has for a request.
    fn choose_route(
        &self,
        attributes: &RequestAttributes,
        class: usize,
        tenant: usize,
    ) -> Result<RouteChoice, RoutingError> {
        let current = self.0.current.borrow().clone();
        let Some(current) = current else {
            let default_pool = self.0.default_pool.borrow().clone();
            return default_pool.map(RouteChoice::without_limits).ok_or(RoutingError::NoRoute);
        };
        let now = Instant::now();
        let former_tables: Vec<Rc<ActiveTable>> = self
            .0
            .former_tables
            .borrow()
            .iter()
            .filter(|(_, retry_deadline)| now < *retry_deadline)
            .map(|(c, _)| c.clone())
            .collect();
        let needed = former_tables.iter().chain([&current]).flat_map(|c| &c.table.headers);
        let query = request_attributes::Query::parse(attributes, needed)?;
        let (route, pool) = query.route_in(&current.table, class, tenant).ok_or(RoutingError::NoRoute)?;
        let pool_index = pool.ok_or_else(|| RoutingError::rejected_by(&route.route))?;
        let pool = current.pools[pool_index].clone();
        // Keeps a retry within the group of upstreams that discards it as a duplicate: a request with this key may
        // have run in the pool of a former table, and only that pool remembers it.
        if matches!(
            self.0.deployment.policy.classes.get(class).map(|c| c.effect),
            Some(Effect::Guarded { .. })
        ) {
            let spec = &current.table.pools[pool_index];
            let last_retry_deadline =
                self.0.former_tables.borrow().last().map_or(now, |(_, deadline)| *deadline);
            for former in &former_tables {
                let former_pool = query.route_in(&former.table, class, tenant).and_then(|(_, pool)| pool);
                // A pool of another name with the same endpoints discards the same duplicates.
                let unnamed = |pool: &PoolSpec| PoolSpec {
                    name: String::new(),
                    place: spec.place.clone(),
                    ..pool.clone()
                };
                if former_pool.is_some_and(|index| unnamed(&former.table.pools[index]) != unnamed(spec)) {
                    return Err(RoutingError::Migrating(last_retry_deadline - now));
                }
            }
        }
        let fallback = route.fallback.map(|index| current.pools[index].clone());
        Ok(RouteChoice { pool, fallback, attempts: route.route.attempts, time_ms: route.route.time_ms })
    }

    /// Admits a request whose client waits for `timeout` milliseconds: from now on one final answer is owed.
    ///
    /// # Errors
    /// The reason why the request was not admitted; nothing ran for it.
    pub fn admit(
        &self,
        attributes: &RequestAttributes,
        class: usize,
        tenant: usize,
        timeout: Millis,
        mut request: Request,
    ) -> Result<AdmittedRequest, RoutingError> {
        let RouteChoice { pool, fallback, attempts, time_ms } =
            self.choose_route(attributes, class, tenant)?;
        let routed = self.0.current.borrow().is_some();
        if routed && self.open_requests() >= self.0.max_open {
            return Err(RoutingError::NotAdmitted(AdmissionError::TooManyOpen));
        }
        let timeout = time_ms.map_or(timeout, |ms| timeout.min(ms as f64));
        request.max_attempts = attempts;
        let fallback = fallback.map(|pool| {
            let deadline = Instant::now() + Duration::from_secs_f64(timeout.max(0.0) / 1000.0);
            Box::new(Fallback { pool, class, tenant, deadline, request: request.duplicate() })
        });
        let pending =
            pool.driver.admit(class, tenant, timeout, request).map_err(RoutingError::NotAdmitted)?;
        Ok(AdmittedRequest { pending, _pool: routed.then_some(pool), fallback })
    }
}

/// Result of the choice of a route for a request.
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
            let pool_changes = pool.filter_changes(listing);
            pool.driver.endpoints_changed(&pool_changes);
        }
    }
}
