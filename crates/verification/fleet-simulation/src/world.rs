//! The simulation run: clients, balancers, upstreams, the network and the registry share one virtual clock. Each kind
//! of event is a variant of `Event` and has a handler method.
use crate::agenda::{nanos_from_ms, EventQueue, Nanos};
use crate::draw::RandomStream;
use crate::instance::{Instance, Output, Process, RegistryEntry, START_UNIX_MS};
use crate::invariant_checks::{InvariantChecker, Violation};
use crate::mutant::Mutant;
use crate::scenario::{Fault, FaultKind, Scenario, TIER_WORK};
use crate::score::{OperationInfo, Outcome, Score};
use crate::server::{Admission, Server};
use balancer::{AttemptOutcome, Class, DedupScope, Effect, Settings, Tenant};
use discovery::endpoint::{EndpointState, SourceUpdate};
use fnv::FnvHashMap;
use hashing::Digest;
use lifecycle::{Action as LifecycleAction, Event as LifecycleEvent, State as LifecycleState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Deduplication window of a group: how long it remembers an idempotency key, in nanoseconds.
const DEDUP_WINDOW: Nanos = 4_000_000_000;
/// Connect timeout, in nanoseconds. A connection that is not established by then counts as refused.
const CONNECT_TIMEOUT: Nanos = 250_000_000;
/// Interval between sweeps for idle connections, in nanoseconds.
const IDLE_SWEEP_INTERVAL: Nanos = 250_000_000;
/// Time between the timeout of a request's caller and the request's check against the invariants, in nanoseconds.
const CHECK_DELAY: Nanos = 1_000_000_000;
/// Minimum and maximum time for the front to notice that a balancer is gone, in milliseconds.
const FRONT_NOTICE_MS: (f64, f64) = (1700.0, 3600.0);
/// Delay before an operation that reached no balancer is submitted again, in nanoseconds.
const RESUBMIT_DELAY: Nanos = 20_000_000;
/// Fraction of the capacity that is assigned as quotas.
const QUOTA_FRACTION: f64 = 0.52;
/// Delay before a process that exited is started again, in nanoseconds.
const RESTART_DELAY: Nanos = 300_000_000;
/// Interval between counts of the open requests of a process that is shutting down, in nanoseconds.
const COUNT_INTERVAL: Nanos = 100_000_000;
/// Worth of a tenant's requests beyond its share; a request within the share is worth 1.
const OVER_SHARE_WORTH: f64 = 0.05;
/// Worth of a client's retry where budgets are enabled; a first attempt is worth 1.
const RETRY_WORTH: f64 = 0.25;
/// Retries allowed for each first attempt of a tenant, where budgets are enabled.
const TENANT_RETRIES: f64 = 0.1;
/// Maximum number of events in a run. A run that reaches it does not terminate, which is a defect.
const MAX_EVENTS: u64 = 500_000_000;

/// A balancer's attempt: the process that made it, and the request id and attempt number within that process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    process: Process,
    id: u32,
    number: u32,
}

/// The party that waits for an answer: a client's operation, or a job at an upstream that calls the second tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Operation(u64),
    Job(u64),
}

struct Request {
    caller: Caller,
    class: usize,
    tenant: usize,
    key: u64,
    /// Total work in reference-core seconds.
    work: f64,
    instance: usize,
    deadline: Nanos,
    finished: bool,
}

/// A client's operation: a first attempt and its retries.
struct Operation {
    info: OperationInfo,
    key: u64,
    work: f64,
    deadline: Nanos,
    attempts_made: usize,
    pending_request: u64,
}

/// A request at an upstream.
struct Job {
    request: u64,
    server: usize,
    epoch: u32,
    attempt: Attempt,
    /// Next step: 0 is CPU work and 1 is waiting on other systems. After that, the first tier alternates between calls
    /// and CPU work.
    step: usize,
    calls: usize,
    /// Reference-core seconds of each CPU step, and of setting up the connection that the request arrived on.
    work_per_step: f64,
    connection_work: f64,
    /// Seconds that it waits on other systems.
    wait_s: f64,
    /// Whether this is a retry that the group's deduplication drops.
    duplicate: bool,
    /// Whether the connection is reset instead of delivering the answer.
    answer_cut: bool,
    pending_request: Option<u64>,
}

/// An event of the run; process-bound events are dropped once their process has ended.
enum Event {
    Arrival,
    Submit(u64),
    RequestReached(u64),
    BalancerTimer(Process, u32),
    AttemptTimeout(Attempt),
    ConnectDone {
        attempt: Attempt,
        server: usize,
        success: bool,
    },
    AttemptArrived {
        attempt: Attempt,
        request: u64,
        server: usize,
        epoch: u32,
        new_connection: bool,
        lost: bool,
    },
    CpuDone(usize, u64),
    WaitFinished(u64),
    Response {
        attempt: Attempt,
        ending: AttemptOutcome,
        kept_epoch: Option<u32>,
    },
    Answer(u64, u16, f64),
    CallerTimeout(u64),
    CallerLeft(Process, u64),
    CheckRequest(u64),
    Notify(Process, RegistryEntry),
    EndpointList(Process),
    LifecycleTimeout(Process),
    OpenCounts(Process),
    StartInstance(usize),
    StopInstance(usize),
    FrontUpdate(usize, bool),
    IdleSweep(Process),
    FaultBegins(usize),
    FaultEnds(usize),
    RestartServer(usize),
    ExpireKeys,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Outcomes and worth of the clients' operations.
    pub score: Score,
    /// The first violations of the invariants, up to a limit.
    pub violations: Vec<Violation>,
    /// Total number of violations.
    pub violation_count: u64,
    /// Tables that did not return to their idle size: the name and the remaining number of entries.
    pub retained: Vec<(String, usize)>,
    /// Digest of all recorded events, in order.
    pub digest: u64,
    /// Number of events processed.
    pub events: u64,
    /// Number of requests that balancers accepted.
    pub requests: u64,
    /// Number of attempts that balancers made.
    pub attempts: u64,
    /// Fraction of the upstreams that congestion slowed at any time.
    pub slowed_fraction: f64,
}

impl Report {
    /// Returns whether all invariants held and all tables returned to their idle size.
    pub fn is_correct(&self) -> bool {
        self.violation_count == 0 && self.retained.is_empty()
    }
}

/// State of a run.
pub struct World<'s> {
    scenario: &'s Scenario,
    event_queue: EventQueue<Event>,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    /// Balancers that the front sends client requests to.
    front_targets: Vec<usize>,
    /// Registry entry of each upstream.
    registry: Vec<RegistryEntry>,
    /// Time of each instance's latest scheduled registry update. Later updates are not scheduled before it, which keeps
    /// their order.
    last_notified: Vec<Nanos>,
    /// Time until which the registry sends no updates and rejects queries.
    registry_silent_until: Nanos,
    /// Idle time beyond which connections lose requests silently, if that fault is active.
    stale_after: Option<Nanos>,
    /// The tenant that sends more than usual, and the factor, if that fault is active.
    flood: Option<(usize, f64)>,
    /// Growth of the load along with the fleet; 1 before the fleet grows.
    load_factor: f64,
    operations: FnvHashMap<u64, Operation>,
    requests: FnvHashMap<u64, Request>,
    jobs: FnvHashMap<u64, Job>,
    /// Time at which a group first saw a key.
    seen_keys: FnvHashMap<(u16, u64), Nanos>,
    /// Number of requests that each tenant may still send within its share, and the time of the last update.
    share_credits: Vec<(f64, Nanos)>,
    last_id: u64,
    checker: InvariantChecker,
    score: Score,
    digest: Digest,
    events: u64,
    requests_received: u64,
    attempts: u64,
    ever_slowed: Vec<bool>,
    client_draws: RandomStream,
    network_draws: RandomStream,
    work_draws: RandomStream,
    registry_draws: RandomStream,
    outputs: Vec<Output>,
}

/// Runs a scenario to completion.
pub fn run_scenario(scenario: &Scenario, mutant: Mutant) -> Report {
    let mut world = World::new(scenario, mutant);
    while let Some(event) = world.event_queue.pop_next() {
        world.events += 1;
        if world.events > MAX_EVENTS {
            break;
        }
        world.handle(event);
    }
    world.report()
}

fn settings(scenario: &Scenario, tier: usize, index: usize) -> Settings {
    let classes = scenario.classes.iter().map(|c| Class {
        objective: c.objective_ms,
        deadline: c.deadline_ms,
        effect: match c.keyed {
            true => Effect::Guarded { scope: DedupScope::Cell, window: 4000.0 },
            false => Effect::SingleShot,
        },
        late_worth: c.late_worth,
        runs_in: None,
        kinds_only: None,
    });
    let calls = if tier == 0 { 1.0 } else { scenario.calls.0 as f64 + scenario.calls.1 };
    let quota = |share: f64| QUOTA_FRACTION * scenario.capacity * calls * share;
    let balancers = if tier == 0 { scenario.size.balancers } else { scenario.size.portals };
    Settings {
        index: index as u32,
        balancers: u32::from(balancers),
        stage: tier as u32,
        classes: classes.collect(),
        tenants: scenario
            .tenants
            .iter()
            .map(|&(share, _)| Tenant { share, quota_per_s: quota(share) })
            .collect(),
        attempts_cap: 5,
        cancel: true,
        ask_for_list: true,
        ask_within: 6000.0,
        idle_close: 5000.0,
        max_retry_after: 2000.0,
        cold_from: 0.32,
        ramp_time: 9000.0,
        tip_multiple: 4.0,
        refuse_hopeless: scenario.budgets,
        tenant_retries: if scenario.budgets { TENANT_RETRIES } else { 0.0 },
        ..Settings::default()
    }
}

impl<'s> World<'s> {
    fn new(scenario: &'s Scenario, mutant: Mutant) -> World<'s> {
        let seed = scenario.seed;
        let mut servers = Vec::new();
        let mut draws = RandomStream::new(seed, "groups", 0);
        let portals = scenario.specs[0].len();
        for (tier, specs) in scenario.specs.iter().enumerate() {
            let cell = 4 + draws.uniform_below(5);
            for (k, spec) in specs.iter().enumerate() {
                servers.push(Server::new((1000 * tier + k / cell) as u16, spec.clone()));
            }
        }
        let balancers = usize::from(scenario.size.balancers);
        let mut draws = RandomStream::new(seed, "clocks", 0);
        let mut skew =
            || if scenario.skew > 0.0 { draws.uniform((-scenario.skew, scenario.skew)) } else { 0.0 };
        let mut instances = Vec::new();
        for k in 0..balancers + portals {
            let (tier, index) = if k < balancers { (0, k) } else { (1, k - balancers) };
            let seed = RandomStream::new(seed, "instance", k).bits();
            instances.extend(Instance::new(settings(scenario, tier, index), seed, skew(), mutant));
        }
        let registry = servers.iter().enumerate().map(|(server, s)| RegistryEntry {
            server,
            group: s.group,
            state: Some(EndpointState::Ready),
            started_ms: 0.0,
        });
        let registry: Vec<RegistryEntry> = registry.collect();
        let last_notified = vec![0; instances.len()];
        let mut world = World {
            scenario,
            event_queue: EventQueue::default(),
            ever_slowed: vec![false; servers.len()],
            instances,
            servers,
            front_targets: Vec::new(),
            registry,
            last_notified,
            registry_silent_until: 0,
            stale_after: None,
            flood: None,
            load_factor: 1.0,
            operations: FnvHashMap::default(),
            requests: FnvHashMap::default(),
            jobs: FnvHashMap::default(),
            seen_keys: FnvHashMap::default(),
            share_credits: scenario.tenants.iter().map(|_| (1.0, 0)).collect(),
            last_id: 0,
            checker: InvariantChecker::default(),
            score: Score::default(),
            digest: Digest::default(),
            events: 0,
            requests_received: 0,
            attempts: 0,
            client_draws: RandomStream::new(seed, "clients", 0),
            network_draws: RandomStream::new(seed, "network", 0),
            work_draws: RandomStream::new(seed, "work", 0),
            registry_draws: RandomStream::new(seed, "news", 0),
            outputs: Vec::new(),
        };
        // The upstreams that a fault starts later are not running yet, and neither are their instances.
        for k in portals - scenario.reserve.min(portals)..portals {
            world.servers[k].up = false;
            world.registry[k].state = None;
            world.instances[balancers + k].up = false;
        }
        let start = RandomStream::new(seed, "start", 0).uniform((110.0, 880.0));
        let mut draws = RandomStream::new(seed, "starts", 0);
        for k in 0..world.instances.len() {
            if world.instances[k].up {
                world.instances[k].up = false;
                world
                    .event_queue
                    .schedule_at(nanos_from_ms(draws.uniform((0.0, start))), Event::StartInstance(k));
            }
        }
        for (k, fault) in scenario.faults.iter().enumerate() {
            world.event_queue.schedule_at(fault.starts_at, Event::FaultBegins(k));
        }
        world.event_queue.schedule_at(nanos_from_ms(1500.0), Event::Arrival);
        world.event_queue.schedule_at(DEDUP_WINDOW, Event::ExpireKeys);
        world
    }

    fn balancers(&self) -> usize {
        usize::from(self.scenario.size.balancers)
    }

    fn portals(&self) -> usize {
        self.scenario.specs[0].len()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Draws the one-way network delay between two processes.
    fn network_delay(&mut self) -> Nanos {
        let delay = self.scenario.network_delay_ms.0;
        nanos_from_ms(delay * (1.0 + self.network_draws.exponential(0.2)))
    }

    fn current_process(&self, instance: usize) -> Process {
        Process { instance, epoch: self.instances[instance].epoch }
    }

    fn is_running(&self, process: Process) -> bool {
        let balancer = &self.instances[process.instance];
        balancer.up && balancer.epoch == process.epoch
    }

    /// Adds an event with its time to the digest.
    fn record(&mut self, tag: u64, a: u64, b: u64) {
        for n in [self.event_queue.now(), tag, a, b] {
            self.digest.write_u64(n);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.client_arrival(),
            Event::Submit(op) => self.submit(op),
            Event::RequestReached(request) => self.request_reached(request),
            Event::BalancerTimer(process, token) if self.is_running(process) => {
                let now = self.event_queue.now();
                self.instances[process.instance].timer_fired(now, token, &mut self.outputs);
                self.apply_outputs(process.instance);
            }
            Event::AttemptTimeout(attempt) => self.end_attempt(attempt, AttemptOutcome::Timeout, None),
            Event::ConnectDone { attempt, server, success } => self.connect_done(attempt, server, success),
            Event::AttemptArrived { attempt, request, server, epoch, new_connection, lost } => {
                self.attempt_arrived(attempt, request, (server, epoch), new_connection, lost);
            }
            Event::CpuDone(server, speed_version) => self.cpu_done(server, speed_version),
            Event::WaitFinished(job) => self.next_step(job),
            Event::Response { attempt, ending, kept_epoch } => self.end_attempt(attempt, ending, kept_epoch),
            Event::Answer(request, status, pause) => self.answer_received(request, status, pause),
            Event::CallerTimeout(request) => self.caller_timed_out(request),
            Event::CallerLeft(process, request) if self.is_running(process) => {
                let now = self.event_queue.now();
                self.instances[process.instance].caller_left(now, request, &mut self.outputs);
                self.apply_outputs(process.instance);
            }
            Event::CheckRequest(request) => {
                self.requests.remove(&request);
                self.checker.check_request(request);
            }
            Event::Notify(process, entry) if self.is_running(process) => self.notify(process.instance, entry),
            Event::EndpointList(process) if self.is_running(process) => self.endpoint_list(process.instance),
            Event::LifecycleTimeout(process) if self.is_running(process) => {
                self.handle_lifecycle(process.instance, LifecycleEvent::Timeout)
            }
            Event::OpenCounts(process) if self.is_running(process) => self.report_open_counts(process),
            Event::StartInstance(instance) => self.start_instance(instance),
            Event::StopInstance(instance) if self.instances[instance].up => {
                self.handle_lifecycle(instance, LifecycleEvent::Stop)
            }
            Event::FrontUpdate(instance, accepting) => self.update_front(instance, accepting),
            Event::IdleSweep(process) if self.is_running(process) => {
                let now = self.event_queue.now();
                self.instances[process.instance].close_idle_connections(now, &mut self.outputs);
                self.apply_outputs(process.instance);
                if self.busy() {
                    self.event_queue.schedule_after(IDLE_SWEEP_INTERVAL, Event::IdleSweep(process));
                }
            }
            Event::FaultBegins(k) => self.begin_fault(self.scenario.faults[k], k),
            Event::FaultEnds(k) => self.end_fault(self.scenario.faults[k]),
            Event::RestartServer(server) => self.restart_server(server),
            Event::ExpireKeys => {
                let now = self.event_queue.now();
                self.seen_keys.retain(|_, at| now - *at < DEDUP_WINDOW);
                if self.busy() {
                    self.event_queue.schedule_after(DEDUP_WINDOW, Event::ExpireKeys);
                }
            }
            Event::BalancerTimer(..)
            | Event::CallerLeft(..)
            | Event::Notify(..)
            | Event::EndpointList(_)
            | Event::LifecycleTimeout(_)
            | Event::OpenCounts(_)
            | Event::StopInstance(_)
            | Event::IdleSweep(_) => {}
        }
    }

    /// Returns whether load is still arriving, or requests or jobs are open.
    fn busy(&self) -> bool {
        self.event_queue.now() < self.load_end() || !self.requests.is_empty() || !self.jobs.is_empty()
    }

    /// Returns the end of the load, which starts 1.5 s into the run.
    fn load_end(&self) -> Nanos {
        self.scenario.load_end + nanos_from_ms(1500.0)
    }

    // --- clients ---

    fn client_arrival(&mut self) {
        let now = self.event_queue.now();
        let scenario = self.scenario;
        if now >= self.load_end() {
            return;
        }
        let rate = scenario.rate(now - nanos_from_ms(1500.0)) * self.load_factor;
        let sent_by_tenant: Vec<f64> = (0..scenario.tenants.len())
            .map(|k| {
                let (share, usage) = scenario.tenants[k];
                let flood = self.flood.filter(|&(tenant, _)| tenant == k).map_or(1.0, |(_, times)| times);
                share * usage * flood
            })
            .collect();
        let usual_total: f64 = scenario.tenants.iter().map(|&(share, usage)| share * usage).sum();
        let total: f64 = sent_by_tenant.iter().sum();
        let gap = self.client_draws.exponential(1.0 / (rate * total / usual_total).max(0.01));
        self.event_queue.schedule_after(nanos_from_ms(gap * 1000.0).max(1), Event::Arrival);
        let mut remaining = self.client_draws.unit() * total;
        let tenant = sent_by_tenant.iter().position(|&fraction| {
            remaining -= fraction;
            remaining < 0.0
        });
        let tenant = tenant.unwrap_or(sent_by_tenant.len() - 1);
        let mut fraction = self.client_draws.unit();
        let class = scenario.classes.iter().position(|c| {
            fraction -= c.fraction;
            fraction < 0.0
        });
        let class = class.unwrap_or(scenario.classes.len() - 1);
        let class_model = &scenario.classes[class];
        // The tenant's share of capacity, of which at most one second's worth is saved up (and never less than one
        // request).
        let allowed_per_s = scenario.capacity * self.load_factor * scenario.tenants[tenant].0;
        let (saved, since) = self.share_credits[tenant];
        let saved = (saved + allowed_per_s * (now - since) as f64 / 1e9).min(allowed_per_s.max(1.0));
        let within_share = saved >= 1.0;
        self.share_credits[tenant] = (if within_share { saved - 1.0 } else { saved }, now);
        let info = OperationInfo {
            class,
            tenant,
            first_sent_at: now,
            worth: if within_share { 1.0 } else { OVER_SHARE_WORTH },
            late_worth: class_model.late_worth,
            objective: nanos_from_ms(class_model.objective_ms),
            within_share,
        };
        let work = self.work_draws.lognormal(class_model.work, class_model.cv);
        let (op, key, deadline) =
            (self.next_id(), self.next_id(), now + nanos_from_ms(class_model.deadline_ms));
        self.operations
            .insert(op, Operation { info, key, work, deadline, attempts_made: 0, pending_request: 0 });
        self.submit(op);
    }

    fn submit(&mut self, op: u64) {
        let now = self.event_queue.now();
        let scenario = self.scenario;
        let Some(operation) = self.operations.get(&op) else { return };
        let class = operation.info.class;
        let timeout = nanos_from_ms(scenario.classes[class].deadline_ms * scenario.attempt_fraction)
            .min(operation.deadline.saturating_sub(now));
        if timeout < nanos_from_ms(1.0) {
            return self.conclude(op, Outcome::Failed);
        }
        if self.front_targets.is_empty() {
            return self.event_queue.schedule_after(RESUBMIT_DELAY, Event::Submit(op));
        }
        let instance = self.front_targets[self.client_draws.uniform_below(self.front_targets.len())];
        let (tenant, key, work) = (operation.info.tenant, operation.key, operation.work);
        let request =
            self.send_request(Caller::Operation(op), instance, (class, tenant), (key, work), timeout);
        if let Some(operation) = self.operations.get_mut(&op) {
            operation.pending_request = request;
        }
        let delay = nanos_from_ms(scenario.network_delay_ms.1);
        self.event_queue.schedule_after(delay, Event::RequestReached(request));
    }

    fn send_request(
        &mut self,
        caller: Caller,
        instance: usize,
        (class, tenant): (usize, usize),
        (key, work): (u64, f64),
        timeout: Nanos,
    ) -> u64 {
        let now = self.event_queue.now();
        let request = self.next_id();
        let deadline = now + timeout;
        let pending = Request { caller, class, tenant, key, work, instance, deadline, finished: false };
        self.requests.insert(request, pending);
        let keyed = self.scenario.classes[class].keyed;
        let effect = if keyed { invariants::Effect::Keyed } else { invariants::Effect::Unsafe };
        self.checker.request_sent(now, request, effect, timeout);
        self.event_queue.schedule_at(deadline, Event::CallerTimeout(request));
        self.event_queue.schedule_at(deadline + CHECK_DELAY, Event::CheckRequest(request));
        request
    }

    /// Handles the arrival of a complete request at its balancer.
    fn request_reached(&mut self, request: u64) {
        let now = self.event_queue.now();
        let Some(pending) = self.requests.get(&request) else { return };
        let (instance, class, tenant) = (pending.instance, pending.class, pending.tenant);
        let balancer = &self.instances[instance];
        // A draining instance refuses new connections, but clients keep using their existing ones while these stay
        // open.
        let accepts = match balancer.lifecycle.state() {
            LifecycleState::Draining => balancer.up && self.client_draws.chance(0.5),
            _ => balancer.up && balancer.accepting,
        };
        if !accepts {
            self.checker.request_not_sent(request);
            let Some(pending) = self.requests.get_mut(&request) else { return };
            pending.finished = true;
            return match pending.caller {
                Caller::Operation(op) => self.event_queue.schedule_after(RESUBMIT_DELAY, Event::Submit(op)),
                Caller::Job(job) => self.fail_job(job),
            };
        }
        let timeout_ms = pending.deadline.saturating_sub(now) as f64 / 1e6;
        // Clients mark their retries where budgets are enabled.
        let attempts_made = |op| self.operations.get(op).map_or(0, |o| o.attempts_made);
        let is_retry = matches!(
            &pending.caller,
            Caller::Operation(op) if self.scenario.budgets && attempts_made(op) > 0
        );
        self.requests_received += 1;
        self.record(1, request, instance as u64);
        let timeout_and_worth = (timeout_ms, if is_retry { RETRY_WORTH } else { 1.0 });
        self.instances[instance].accept_request(
            now,
            request,
            (class, tenant),
            timeout_and_worth,
            &mut self.outputs,
        );
        self.apply_outputs(instance);
    }

    fn answer_received(&mut self, request: u64, status: u16, pause: f64) {
        let now = self.event_queue.now();
        self.record(2, request, u64::from(status));
        self.checker.answer_received(now, request, status);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        if std::mem::replace(&mut pending.finished, true) {
            return;
        }
        match pending.caller {
            Caller::Operation(op) => self.client_attempt_ended(op, status, pause),
            Caller::Job(job) if status == 200 => {
                if let Some(job_state) =
                    self.jobs.get_mut(&job).filter(|job_state| job_state.pending_request == Some(request))
                {
                    job_state.pending_request = None;
                    self.next_step(job);
                }
            }
            Caller::Job(job) => self.fail_job(job),
        }
    }

    /// Handles the end of a client's attempt with this status; 0 means no answer.
    fn client_attempt_ended(&mut self, op: u64, status: u16, pause: f64) {
        let now = self.event_queue.now();
        let scenario = self.scenario;
        let Some(operation) = self.operations.get_mut(&op) else { return };
        operation.attempts_made += 1;
        let may_retry = operation.attempts_made <= scenario.retries && now < operation.deadline;
        let keyed = scenario.classes[operation.info.class].keyed;
        let first_sent_at = operation.info.first_sent_at;
        match status {
            200 => self.conclude(op, Outcome::Served(now - first_sent_at)),
            429 | 503 if may_retry => {
                let accepts_advice = self.client_draws.chance(scenario.retry_after_compliance);
                let pause = if accepts_advice {
                    scenario.retry_pause.max(nanos_from_ms(pause))
                } else {
                    scenario.retry_pause
                };
                self.event_queue.schedule_after(pause, Event::Submit(op));
            }
            429 | 503 => self.conclude(op, Outcome::Refused),
            _ if may_retry && keyed => {
                self.event_queue.schedule_after(scenario.retry_pause, Event::Submit(op))
            }
            _ => self.conclude(op, Outcome::Failed),
        }
    }

    fn conclude(&mut self, op: u64, outcome: Outcome) {
        if let Some(operation) = self.operations.remove(&op) {
            self.score.record(&operation.info, outcome);
        }
    }

    /// Handles the expiry of the timeout of a request's caller.
    fn caller_timed_out(&mut self, request: u64) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        if std::mem::replace(&mut pending.finished, true) {
            return;
        }
        let (caller, instance) = (pending.caller, pending.instance);
        let (delay, process) = (self.network_delay(), self.current_process(instance));
        self.event_queue.schedule_after(delay, Event::CallerLeft(process, request));
        match caller {
            Caller::Operation(op) => self.client_attempt_ended(op, 0, 0.0),
            Caller::Job(job) => self.fail_job(job),
        }
    }

    // --- balancers ---

    /// Carries out the outputs that an instance produced.
    fn apply_outputs(&mut self, instance: usize) {
        let process = self.current_process(instance);
        let tier = self.instances[instance].tier;
        let outputs = std::mem::take(&mut self.outputs);
        for output in outputs {
            match output {
                Output::Answer(request, status, pause) => {
                    let delay = if tier == 0 {
                        nanos_from_ms(self.scenario.network_delay_ms.1)
                    } else {
                        self.network_delay() / 4
                    };
                    self.event_queue.schedule_after(delay, Event::Answer(request, status, pause));
                }
                Output::Send(id, number, server) => self.dispatch(Attempt { process, id, number }, server),
                Output::SetTimer(delay, token) => {
                    // Periodic timers repeat for ever, so they are set only while the run is busy.
                    if self.busy() {
                        self.event_queue.schedule_after(delay, Event::BalancerTimer(process, token));
                    }
                }
                Output::RequestEndpoints => {
                    let delay = nanos_from_ms(self.registry_draws.uniform((50.0, 430.0)));
                    self.event_queue.schedule_after(delay, Event::EndpointList(process));
                }
                Output::ConnectionsClosed(server, count) => {
                    let upstream = &mut self.servers[server];
                    upstream.connections = upstream.connections.saturating_sub(count);
                }
            }
        }
    }

    /// Starts an attempt on an idle connection, or opens a new one.
    fn dispatch(&mut self, attempt: Attempt, server: usize) {
        let now = self.event_queue.now();
        self.attempts += 1;
        self.record(3, u64::from(attempt.id), server as u64);
        let instance = attempt.process.instance;
        if let Some((in_flight, _)) = self.instances[instance].in_flight_attempt(attempt.id, attempt.number) {
            let deadline = in_flight.deadline;
            self.event_queue.schedule_at(deadline, Event::AttemptTimeout(attempt));
        }
        let epoch = self.servers[server].epoch;
        let idle_time = self.instances[instance].take_idle_connection(now, server, epoch, &mut self.outputs);
        self.apply_outputs(instance);
        match idle_time {
            Some(idle_time) => {
                if let Some((in_flight, _)) =
                    self.instances[instance].in_flight_attempt(attempt.id, attempt.number)
                {
                    in_flight.connected = true;
                }
                let lost = self.stale_after.is_some_and(|max_idle| idle_time > max_idle);
                self.write_attempt(attempt, server, false, lost);
            }
            None => {
                let (up, hung) = (self.servers[server].up, self.servers[server].hung);
                let round_trips = self.scenario.handshake.1;
                let duration = match (up, hung) {
                    (true, false) => nanos_from_ms(2.0 * round_trips * self.scenario.network_delay_ms.0),
                    (true, true) => CONNECT_TIMEOUT,
                    (false, _) => 2 * self.network_delay(),
                };
                let success = up && !hung;
                self.event_queue.schedule_after(duration, Event::ConnectDone { attempt, server, success });
            }
        }
    }

    /// Handles the result of opening a new connection.
    fn connect_done(&mut self, attempt: Attempt, server: usize, success: bool) {
        if !self.is_running(attempt.process) {
            return;
        }
        let upstream = &mut self.servers[server];
        if !success || !upstream.up || upstream.connections >= upstream.spec.max_connections {
            return self.end_attempt(attempt, AttemptOutcome::ConnectFailed, None);
        }
        let Some((in_flight, _)) =
            self.instances[attempt.process.instance].in_flight_attempt(attempt.id, attempt.number)
        else {
            return;
        };
        in_flight.connected = true;
        upstream.connections += 1;
        self.write_attempt(attempt, server, true, false);
    }

    /// Writes the attempt to its connection, unless it may no longer be written.
    fn write_attempt(&mut self, attempt: Attempt, server: usize, new_connection: bool, lost: bool) {
        let now = self.event_queue.now();
        let instance = attempt.process.instance;
        let Some((in_flight, request)) =
            self.instances[instance].in_flight_attempt(attempt.id, attempt.number)
        else {
            return;
        };
        let deadline = in_flight.deadline;
        if !self.instances[instance].may_write(now, attempt.id, server, deadline) {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, None);
        }
        self.checker.attempt_written(now, request, instance, server);
        let (epoch, delay) = (self.servers[server].epoch, self.network_delay());
        self.event_queue.schedule_after(
            delay,
            Event::AttemptArrived { attempt, request, server, epoch, new_connection, lost },
        );
    }

    fn end_attempt(&mut self, attempt: Attempt, ending: AttemptOutcome, kept_epoch: Option<u32>) {
        if !self.is_running(attempt.process) {
            return;
        }
        let now = self.event_queue.now();
        let instance = attempt.process.instance;
        self.record(4, u64::from(attempt.id), ending as u64);
        self.instances[instance].attempt_ended(
            now,
            (attempt.id, attempt.number),
            ending,
            kept_epoch,
            &mut self.outputs,
        );
        self.apply_outputs(instance);
    }

    fn handle_lifecycle(&mut self, instance: usize, event: LifecycleEvent) {
        let now = self.event_queue.now();
        let process = self.current_process(instance);
        for action in self.instances[instance].handle_lifecycle(now, event) {
            match action {
                LifecycleAction::Accept => self.instances[instance].accepting = true,
                LifecycleAction::NotifyReady => {
                    self.event_queue.schedule_after(nanos_from_ms(50.0), Event::FrontUpdate(instance, true));
                }
                // Readiness checks fail from here on; the front polls them at intervals.
                LifecycleAction::NotifyStopping => {
                    let delay = nanos_from_ms(self.registry_draws.uniform(FRONT_NOTICE_MS)) / 8;
                    self.event_queue.schedule_after(delay, Event::FrontUpdate(instance, false));
                    self.event_queue.schedule_after(COUNT_INTERVAL, Event::OpenCounts(process));
                }
                LifecycleAction::StopAccepting => self.instances[instance].accepting = false,
                LifecycleAction::AnswerBy(deadline) => self.instances[instance].set_answer_deadline(deadline),
                LifecycleAction::FailOpenRequests => {
                    self.instances[instance].fail_open_requests(now, &mut self.outputs);
                    self.apply_outputs(instance);
                }
                LifecycleAction::Exit(_) => {
                    self.end_process(instance, false);
                    return self.event_queue.schedule_after(RESTART_DELAY, Event::StartInstance(instance));
                }
                _ => {}
            }
        }
        if let Some(timeout) = self.instances[instance].lifecycle.next_timeout() {
            let started_at = self.instances[instance].started_at;
            self.event_queue.schedule_at(
                started_at.saturating_add(timeout.as_nanos() as Nanos),
                Event::LifecycleTimeout(process),
            );
        }
    }

    fn report_open_counts(&mut self, process: Process) {
        let requests = self.instances[process.instance].unanswered();
        self.handle_lifecycle(
            process.instance,
            LifecycleEvent::OpenCounts { requests, connections: requests },
        );
        if self.is_running(process) {
            self.event_queue.schedule_after(COUNT_INTERVAL, Event::OpenCounts(process));
        }
    }

    /// Removes the process of an instance. Requests that a killed process held are left to their callers to retry.
    fn end_process(&mut self, instance: usize, killed: bool) {
        if !self.instances[instance].up {
            return;
        }
        self.record(5, instance as u64, u64::from(killed));
        let (closed, held_requests) = self.instances[instance].end_process();
        for (server, count) in closed {
            let upstream = &mut self.servers[server];
            upstream.connections = upstream.connections.saturating_sub(count);
        }
        self.checker.forget_notifications(instance, self.servers.len());
        for request in held_requests {
            if killed {
                self.checker.excuse(request);
            }
            // The caller sees the connection close.
            let Some(pending) = self.requests.get_mut(&request).filter(|pending| !pending.finished) else {
                continue;
            };
            pending.finished = true;
            match pending.caller {
                Caller::Operation(op) => self.client_attempt_ended(op, 0, 0.0),
                Caller::Job(job) => self.fail_job(job),
            }
        }
        let delay = nanos_from_ms(self.registry_draws.uniform(FRONT_NOTICE_MS));
        self.event_queue.schedule_after(delay, Event::FrontUpdate(instance, false));
    }

    fn start_instance(&mut self, instance: usize) {
        let now = self.event_queue.now();
        let own_server = instance.checked_sub(self.balancers());
        // An instance of the second tier runs only while its upstream does.
        if self.instances[instance].up || own_server.is_some_and(|k| !self.servers[k].up) {
            return;
        }
        self.instances[instance].start_process(now);
        self.handle_lifecycle(instance, LifecycleEvent::Listening);
        let process = self.current_process(instance);
        self.event_queue.schedule_after(
            nanos_from_ms(self.registry_draws.uniform((50.0, 430.0))),
            Event::EndpointList(process),
        );
        self.event_queue.schedule_after(IDLE_SWEEP_INTERVAL, Event::IdleSweep(process));
    }

    /// Adds or removes a balancer of the front's targets, after the front has checked its readiness.
    fn update_front(&mut self, instance: usize, accepting: bool) {
        if instance >= self.balancers() {
            return;
        }
        let listening = self.instances[instance].up && self.instances[instance].accepting;
        let ready =
            accepting && listening && self.instances[instance].lifecycle.state() == LifecycleState::Ready;
        let position = self.front_targets.iter().position(|&i| i == instance);
        match position {
            None if ready => self.front_targets.push(instance),
            Some(position)
                if !(accepting
                    || listening && self.instances[instance].lifecycle.state() <= LifecycleState::Ready) =>
            {
                self.front_targets.swap_remove(position);
            }
            _ => {}
        }
    }

    // --- registry ---

    /// Schedules the notification of a changed registry entry to every instance of the upstream's tier.
    fn publish_entry(&mut self, server: usize) {
        let now = self.event_queue.now();
        let entry = self.registry[server].clone();
        let tier = usize::from(server >= self.portals());
        let (from, to) = self.scenario.registry_delay_ms;
        let registry_delay = nanos_from_ms(self.registry_draws.uniform((from, to)));
        let earliest = (now + registry_delay).max(self.registry_silent_until);
        for instance in 0..self.instances.len() {
            if self.instances[instance].tier != tier {
                continue;
            }
            let notify_at = (earliest + nanos_from_ms(self.registry_draws.uniform((0.0, 430.0))))
                .max(self.last_notified[instance]);
            self.last_notified[instance] = notify_at;
            let process = self.current_process(instance);
            self.event_queue.schedule_at(notify_at, Event::Notify(process, entry.clone()));
        }
    }

    fn notify(&mut self, instance: usize, entry: RegistryEntry) {
        let update = match entry.state {
            Some(_) => SourceUpdate::Delta(vec![entry.into_report()], Vec::new()),
            None => SourceUpdate::Delta(Vec::new(), vec![crate::instance::upstream_name(entry.server)]),
        };
        self.apply_update(instance, update);
    }

    fn endpoint_list(&mut self, instance: usize) {
        if self.event_queue.now() < self.registry_silent_until {
            return self.apply_update(instance, SourceUpdate::Unavailable("no answer".into()));
        }
        let tier = self.instances[instance].tier;
        let portals = self.portals();
        let visible = |l: &&RegistryEntry| usize::from(l.server >= portals) == tier && l.state.is_some();
        let reports = self.registry.iter().filter(visible).map(|l| l.clone().into_report()).collect();
        self.apply_update(instance, SourceUpdate::Full(reports));
    }

    fn apply_update(&mut self, instance: usize, update: SourceUpdate) {
        let now = self.event_queue.now();
        let failed = matches!(update, SourceUpdate::Unavailable(_));
        let had_endpoints = self.instances[instance].has_endpoints;
        for (server, state) in self.instances[instance].update_endpoints(now, update, &mut self.outputs) {
            self.record(6, instance as u64, server as u64);
            self.checker.notify(now, instance, server, state);
        }
        self.apply_outputs(instance);
        if !had_endpoints && self.instances[instance].has_endpoints {
            self.handle_lifecycle(instance, LifecycleEvent::EndpointsKnown);
        } else if !had_endpoints && failed && self.busy() {
            let process = self.current_process(instance);
            self.event_queue.schedule_after(nanos_from_ms(400.0), Event::EndpointList(process));
        }
    }

    // --- upstreams ---

    fn attempt_arrived(
        &mut self,
        attempt: Attempt,
        request: u64,
        (server, epoch): (usize, u32),
        new_connection: bool,
        lost: bool,
    ) {
        let now = self.event_queue.now();
        let delay = self.network_delay();
        let upstream = &self.servers[server];
        if lost {
            return;
        }
        if !upstream.up || upstream.epoch != epoch {
            return self.event_queue.schedule_after(
                delay,
                Event::Response { attempt, ending: AttemptOutcome::Reset, kept_epoch: None },
            );
        }
        let (kept_epoch, group, error_rate, reset_rate) =
            (Some(epoch), upstream.group, upstream.error_rate, upstream.reset_rate);
        let respond = |ending| Event::Response { attempt, ending, kept_epoch };
        let Some(pending) = self.requests.get(&request) else { return };
        let (class, work) = (pending.class, pending.work);
        if self.work_draws.chance(error_rate) {
            self.checker.execution_started(now, request, server, group, Duration::ZERO);
            return self
                .event_queue
                .schedule_after(delay + nanos_from_ms(1.0), respond(AttemptOutcome::Error));
        }
        let tier = usize::from(server >= self.portals());
        let scenario = self.scenario;
        let calls = match tier {
            0 => scenario.calls.0 + usize::from(self.work_draws.chance(scenario.calls.1)),
            _ => 0,
        };
        let noise = self.work_draws.lognormal(1.0, 0.3);
        let cpu_steps = if tier == 0 { calls + 1 } else { 2 };
        let job = self.next_id();
        let work_per_step = work * TIER_WORK[tier] * noise / cpu_steps as f64;
        let connection_work = if new_connection { scenario.handshake.0 } else { 0.0 };
        let answer_cut = self.work_draws.chance(reset_rate);
        self.jobs.insert(
            job,
            Job {
                request,
                server,
                epoch,
                attempt,
                step: 0,
                calls,
                work_per_step,
                connection_work,
                wait_s: scenario.classes[class].wait_s * TIER_WORK[tier],
                duplicate: false,
                answer_cut,
                pending_request: None,
            },
        );
        match self.servers[server].admit(now, job) {
            Admission::InService => self.begin_work(job),
            Admission::Queued => {}
            Admission::Rejected => {
                self.jobs.remove(&job);
                self.event_queue.schedule_after(delay, respond(AttemptOutcome::Declined));
            }
        }
    }

    /// Starts a request that an upstream has admitted or taken from its queue.
    fn begin_work(&mut self, job: u64) {
        let now = self.event_queue.now();
        let Some(job_state) = self.jobs.get_mut(&job) else { return };
        let (server, request) = (job_state.server, job_state.request);
        let upstream = &self.servers[server];
        let Some(pending) = self.requests.get(&request) else {
            // The request was checked and removed long ago: no client waits for it.
            return self.finish_job(job, AttemptOutcome::Declined);
        };
        if upstream.spec.drops_expired && now >= pending.deadline {
            return self.finish_job(job, AttemptOutcome::Declined);
        }
        let keyed = self.scenario.classes[pending.class].keyed;
        if keyed {
            let previous = self.seen_keys.insert((upstream.group, pending.key), now);
            job_state.duplicate = previous.is_some_and(|seen_at| now - seen_at < DEDUP_WINDOW);
            if let (true, Some(first_seen)) = (job_state.duplicate, previous) {
                // The window counts from the first execution.
                self.seen_keys.insert((upstream.group, pending.key), first_seen);
            }
        }
        let work = Duration::from_secs_f64(
            job_state.work_per_step * if upstream.group >= 1000 { 2.0 } else { (job_state.calls + 1) as f64 },
        );
        let group = upstream.group;
        self.checker.execution_started(
            now,
            request,
            server,
            group,
            if job_state.duplicate { Duration::ZERO } else { work },
        );
        self.next_step(job);
    }

    /// Performs the next step of a job at an upstream.
    fn next_step(&mut self, job: u64) {
        let now = self.event_queue.now();
        let portals = self.portals();
        let Some(job_state) = self.jobs.get_mut(&job) else { return };
        let (step, server) = (job_state.step, job_state.server);
        if !self.servers[server].up || self.servers[server].epoch != job_state.epoch {
            return;
        }
        job_state.step += 1;
        let first_tier = server < portals;
        let cpu_seconds = match step {
            0 => Some(
                if job_state.duplicate { 1e-4 } else { job_state.work_per_step } + job_state.connection_work,
            ),
            _ if job_state.duplicate => None,
            1 => {
                let wait = nanos_from_ms(job_state.wait_s * 1000.0);
                return self.event_queue.schedule_after(wait, Event::WaitFinished(job));
            }
            _ if first_tier && step - 2 >= 2 * job_state.calls => None,
            _ if first_tier && step % 2 == 0 => return self.call_second_tier(job),
            2 => Some(job_state.work_per_step),
            _ if first_tier => Some(job_state.work_per_step),
            _ => None,
        };
        match cpu_seconds {
            Some(seconds) => {
                self.servers[server].run_on_cpu(now, job, seconds);
                self.schedule_server(server);
            }
            None => {
                let answer_cut = job_state.answer_cut;
                self.finish_job(job, if answer_cut { AttemptOutcome::Reset } else { AttemptOutcome::Ok });
            }
        }
    }

    /// Sends a call from a job of the first tier to the second, through the balancer of its upstream.
    fn call_second_tier(&mut self, job: u64) {
        let now = self.event_queue.now();
        let Some(job_state) = self.jobs.get(&job) else { return };
        let (server, step) = (job_state.server, job_state.step);
        let Some(pending) = self.requests.get(&job_state.request) else { return self.fail_job(job) };
        let (class, tenant, key, work) = (pending.class, pending.tenant, pending.key, pending.work);
        let full_deadline = nanos_from_ms(self.scenario.classes[class].deadline_ms);
        let timeout =
            if self.scenario.passes_deadline { pending.deadline.saturating_sub(now) } else { full_deadline };
        if timeout < nanos_from_ms(1.0) {
            return self.fail_job(job);
        }
        let instance = self.balancers() + server;
        // A retry of the request makes the same calls with the same keys.
        let key = key.wrapping_mul(31).wrapping_add(step as u64) | 1 << 63;
        let request = self.send_request(Caller::Job(job), instance, (class, tenant), (key, work), timeout);
        if let Some(job_state) = self.jobs.get_mut(&job) {
            job_state.pending_request = Some(request);
        }
        self.event_queue.schedule_after(nanos_from_ms(0.05), Event::RequestReached(request));
    }

    /// Fails a job whose call failed: it answers with an error.
    fn fail_job(&mut self, job: u64) {
        if self.jobs.get(&job).is_some_and(|j| self.servers[j.server].epoch == j.epoch) {
            self.finish_job(job, AttemptOutcome::Error);
        }
    }

    /// Completes a job and starts the next one in the queue.
    fn finish_job(&mut self, job: u64, ending: AttemptOutcome) {
        let now = self.event_queue.now();
        let Some(job_state) = self.jobs.remove(&job) else { return };
        let delay = self.network_delay();
        let hung = self.servers[job_state.server].hung;
        let kept_epoch = (ending != AttemptOutcome::Reset).then_some(job_state.epoch);
        if !hung {
            self.event_queue
                .schedule_after(delay, Event::Response { attempt: job_state.attempt, ending, kept_epoch });
        }
        if let Some(next) = self.servers[job_state.server].complete_request(now) {
            self.begin_work(next);
        }
        self.schedule_server(job_state.server);
    }

    /// Schedules the next completion of CPU work at an upstream.
    fn schedule_server(&mut self, server: usize) {
        let now = self.event_queue.now();
        let upstream = &self.servers[server];
        self.ever_slowed[server] |= upstream.is_slowed();
        if let Some(wake_at) = upstream.next_completion(now) {
            self.event_queue.schedule_at(wake_at, Event::CpuDone(server, upstream.speed_version));
        }
    }

    fn cpu_done(&mut self, server: usize, speed_version: u64) {
        if self.servers[server].speed_version != speed_version {
            return;
        }
        let now = self.event_queue.now();
        while let Some(job) = self.servers[server].pop_completed(now) {
            self.next_step(job);
        }
        self.schedule_server(server);
    }

    /// Kills the process of an upstream. Its open requests are reset.
    fn kill_server(&mut self, server: usize) {
        let now = self.event_queue.now();
        if !self.servers[server].up {
            return;
        }
        self.record(7, server as u64, 0);
        self.servers[server].stop_process(now);
        // Resets are sent in the order of arrival, because the iteration order of a hash table is not deterministic.
        let lost_attempts: BTreeMap<u64, Attempt> =
            self.jobs.iter().filter(|(_, j)| j.server == server).map(|(&job, j)| (job, j.attempt)).collect();
        for (job, attempt) in lost_attempts {
            self.jobs.remove(&job);
            let delay = self.network_delay();
            self.event_queue.schedule_after(
                delay,
                Event::Response { attempt, ending: AttemptOutcome::Reset, kept_epoch: None },
            );
        }
        if server < self.portals() {
            self.end_process(self.balancers() + server, true);
        }
    }

    /// Starts a new, cold process of an upstream.
    fn restart_server(&mut self, server: usize) {
        let now = self.event_queue.now();
        if self.servers[server].up {
            return;
        }
        self.servers[server].start_process(now);
        let spec = &self.servers[server].spec;
        let ramp = Duration::from_nanos(spec.warmup);
        let cold = invariants::ColdStart {
            parallelism: spec.capacity(),
            initial_fraction: spec.cold_fraction,
            ramp,
        };
        self.checker.upstream_started(now, server, cold);
        self.registry[server].state = Some(EndpointState::Ready);
        self.registry[server].started_ms = START_UNIX_MS + now as f64 / 1e6;
        self.publish_entry(server);
        if server < self.portals() {
            self.start_instance(self.balancers() + server);
        }
    }

    // --- faults ---

    fn begin_fault(&mut self, fault: Fault, index: usize) {
        let now = self.event_queue.now();
        if fault.duration > 0 {
            self.event_queue.schedule_after(fault.duration, Event::FaultEnds(index));
        }
        let all = 0..self.servers.len();
        match fault.kind {
            FaultKind::Crash(server, downtime) => {
                self.kill_server(server);
                // The registry detects the crash by itself.
                self.registry[server].state = None;
                self.publish_entry(server);
                self.event_queue.schedule_after(downtime, Event::RestartServer(server));
            }
            FaultKind::Hang(server) => self.alter_speed(server, |s| s.hung = true),
            FaultKind::Slow(server, factor) => self.alter_speed(server, |s| s.slowdown *= factor),
            FaultKind::Errors(server, count, rate) => {
                let server_count = self.servers.len();
                (server..server + count).for_each(|k| self.servers[k % server_count].error_rate = rate);
            }
            FaultKind::Resets(server, rate) => self.servers[server].reset_rate = rate,
            FaultKind::Stale(max_idle) => self.stale_after = Some(max_idle),
            FaultKind::Drain(server) => {
                self.registry[server].state = Some(EndpointState::Draining);
                self.publish_entry(server);
            }
            FaultKind::Cold(count) => {
                let portals = self.portals();
                for k in portals - count.min(portals)..portals {
                    self.event_queue
                        .schedule_after(nanos_from_ms(50.0 * (k % 16) as f64), Event::RestartServer(k));
                }
                self.load_factor = portals as f64 / (portals - count.min(portals - 1)) as f64;
            }
            FaultKind::Flood(tenant, factor) => self.flood = Some((tenant, factor)),
            FaultKind::SharedSlow(factor) => all.for_each(|k| self.alter_speed(k, |s| s.slowdown *= factor)),
            FaultKind::Roll(gap) => {
                for k in 0..self.balancers() {
                    // Balancers stop one after the other, as under a supervisor, and each waits for its own shutdown.
                    self.event_queue.schedule_after(gap * k as Nanos, Event::StopInstance(k));
                }
            }
            FaultKind::Kill(instance) => {
                self.end_process(instance, true);
                self.event_queue.schedule_after(fault.duration, Event::StartInstance(instance));
            }
            FaultKind::Silence => self.registry_silent_until = now + fault.duration,
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        let all = 0..self.servers.len();
        match fault.kind {
            FaultKind::Hang(server) => self.alter_speed(server, |s| s.hung = false),
            FaultKind::Slow(server, factor) => self.alter_speed(server, |s| s.slowdown /= factor),
            FaultKind::Errors(server, count, _) => {
                let server_count = self.servers.len();
                (server..server + count).for_each(|k| self.servers[k % server_count].error_rate = 0.0);
            }
            FaultKind::Resets(server, _) => self.servers[server].reset_rate = 0.0,
            FaultKind::Stale(_) => self.stale_after = None,
            FaultKind::Drain(server) => {
                self.kill_server(server);
                self.event_queue.schedule_after(nanos_from_ms(1000.0), Event::RestartServer(server));
            }
            FaultKind::Flood(..) => self.flood = None,
            FaultKind::SharedSlow(factor) => all.for_each(|k| self.alter_speed(k, |s| s.slowdown /= factor)),
            _ => {}
        }
    }

    /// Changes the processing speed of an upstream.
    fn alter_speed(&mut self, server: usize, change: impl Fn(&mut Server)) {
        let now = self.event_queue.now();
        let upstream = &mut self.servers[server];
        upstream.advance(now);
        change(upstream);
        upstream.speed_version += 1;
        self.schedule_server(server);
    }

    /// Builds the report once no events are left.
    fn report(self) -> Report {
        let mut retained = Vec::new();
        for (k, balancer) in self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, balancer)| balancer.up && balancer.retained_entries() > 0)
        {
            retained.push((format!("instance {k}"), balancer.retained_entries()));
        }
        let tables = [
            ("operations", self.operations.len()),
            ("requests", self.requests.len()),
            ("jobs", self.jobs.len()),
            ("request histories", self.checker.unchecked_requests()),
        ];
        retained.extend(tables.into_iter().filter(|t| t.1 > 0).map(|(name, n)| (name.to_string(), n)));
        let slowed_fraction =
            self.ever_slowed.iter().filter(|&&s| s).count() as f64 / self.ever_slowed.len().max(1) as f64;
        Report {
            score: self.score,
            violations: self.checker.violations,
            violation_count: self.checker.violation_count,
            retained,
            digest: self.digest.finish(),
            events: self.events,
            requests: self.requests_received,
            attempts: self.attempts,
            slowed_fraction,
        }
    }
}
