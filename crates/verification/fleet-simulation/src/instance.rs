//! One balancer instance: the production decision module, lifecycle and endpoint view, with the state that a driver
//! keeps around them: ids, open requests, attempts, closed upstreams and idle connections. It performs no I/O; the
//! actions that it wants performed are returned as [`Output`] values.
use crate::agenda::{nanos_from_ms, Nanos};
use crate::mutant::Mutant;
use balancer::{
    Action, AttemptOutcome, Availability, Balancer, Event, Member, Membership, Millis, RequestId, Settings,
    UpstreamId,
};
use discovery::endpoint::{EndpointReport, EndpointState, SourceUpdate};
use discovery::endpoint_set::{Endpoint, EndpointChange, EndpointSet, Source};
use fnv::FnvHashMap;
use lifecycle::{Event as LifecycleEvent, Lifecycle, ShutdownTimeouts};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Unix time at the start of every run, in milliseconds.
pub const START_UNIX_MS: f64 = 1_800_000_000_000.0;
/// Time reserved for the last answer to reach the caller, in milliseconds; the driver reserves as much.
const ANSWER_MARGIN_MS: Millis = 5.0;
/// Time after the notification that an upstream is closed during which attempts decided earlier may still be written,
/// in nanoseconds.
const WRITE_GRACE: Nanos = 1_000_000_000;

/// A process of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Index of the instance.
    pub instance: usize,
    /// Counter that distinguishes the processes of an instance.
    pub epoch: u32,
}

/// An action that an instance wants performed.
#[derive(Debug)]
pub enum Output {
    /// Answer a request with a status and an advised retry delay in milliseconds.
    Answer(u64, u16, f64),
    /// Send an attempt (request id and attempt number) to an upstream.
    Send(u32, u32, usize),
    /// Fire the decision module's timer with this token after this time.
    SetTimer(Nanos, u32),
    /// Request the full endpoint list from the registry.
    RequestEndpoints,
    /// This number of connections to an upstream was closed.
    ConnectionsClosed(usize, u32),
}

/// An attempt in flight.
pub struct InFlightAttempt {
    /// Number of the attempt within its request.
    pub number: u32,
    /// Index of the upstream.
    pub server: usize,
    /// Time at which it was sent.
    pub sent_at: Nanos,
    /// Time at which it times out.
    pub deadline: Nanos,
    /// Whether it has a connection.
    pub connected: bool,
}

/// A request that is not finished yet.
pub struct OpenRequest {
    /// Id of the request, unique in the whole fleet.
    pub request: u64,
    answered: bool,
    /// Whether executing the request twice does harm.
    single_shot: bool,
    deadline: Millis,
    attempts_sent: u32,
    /// Attempts in flight; the decision module limits their number.
    pub in_flight: Vec<InFlightAttempt>,
}

/// An idle connection: the time since which it is idle, and the epoch of the upstream process that it leads to.
type IdleConnection = (Nanos, u32);

/// One balancer instance, over the lifetime of all its processes.
pub struct Instance {
    /// Tier that it sends requests to.
    pub tier: usize,
    /// Whether its process is running.
    pub up: bool,
    /// Number of process starts. Distinguishes the processes of an instance.
    pub epoch: u32,
    /// Whether it accepts new connections.
    pub accepting: bool,
    /// Lifecycle of the current process.
    pub lifecycle: Lifecycle,
    /// Time at which the current process started.
    pub started_at: Nanos,
    /// Offset of its wall clock, in milliseconds.
    pub clock_skew_ms: f64,
    /// Whether it has learned of at least one ready endpoint.
    pub has_endpoints: bool,
    settings: Settings,
    shutdown_timeouts: ShutdownTimeouts,
    seed: u64,
    balancer: Balancer,
    endpoints: EndpointSet,
    source: Source,
    open_requests: BTreeMap<u32, OpenRequest>,
    next_id: u32,
    /// Wall-clock time by which every request must be answered; infinite until the lifecycle sets it.
    last_answer_at: Millis,
    /// Time from which no attempt may be written to an upstream that is closed.
    write_cutoffs: FnvHashMap<usize, Nanos>,
    idle_connections: FnvHashMap<usize, Vec<IdleConnection>>,
    events: VecDeque<Event>,
    /// Upstreams that it has been notified of, by the ids that the decision module uses.
    servers_by_id: FnvHashMap<UpstreamId, usize>,
    /// The upstream that became ready last, for the mutant that prefers it.
    newest_server: Option<usize>,
    mutant: Mutant,
}

/// Returns the name of an upstream, which is the same at every instance.
pub fn upstream_name(server: usize) -> Arc<str> {
    format!("s-{server}").into()
}

/// Returns the id of an upstream, computed as in production.
pub fn upstream_id(server: usize) -> UpstreamId {
    UpstreamId(hashing::stable(upstream_name(server).as_bytes()))
}

/// The registry's entry for an upstream.
#[derive(Clone, Debug)]
pub struct RegistryEntry {
    /// Index of the upstream.
    pub server: usize,
    /// Deduplication group of the upstream.
    pub group: u16,
    /// State of the upstream; `None` if it is gone.
    pub state: Option<EndpointState>,
    /// Start time of its process by its own wall clock, in Unix milliseconds; 0 means long ago.
    pub started_ms: f64,
}

impl RegistryEntry {
    /// Converts the entry to the report that instances receive.
    pub fn into_report(self) -> EndpointReport {
        let index = self.server as u32;
        EndpointReport {
            name: upstream_name(self.server),
            addr: SocketAddr::from(([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 80)),
            zone: "caba-1".into(),
            kind: "portal".into(),
            cell: self.group,
            protocol: Default::default(),
            state: self.state.unwrap_or_default(),
            reason: "".into(),
            started_ms: Some(self.started_ms),
            registration_index: 0,
            meta: Default::default(),
        }
    }
}

impl Instance {
    /// Returns an instance whose first process starts now, or `None` if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, clock_skew_ms: f64, mutant: Mutant) -> Option<Instance> {
        let source = Source { rank: 0, label: "platform".into() };
        let balancer = Balancer::new(settings.clone(), seed, START_UNIX_MS + clock_skew_ms).ok()?;
        let shutdown_timeouts = ShutdownTimeouts::default();
        let mut endpoints = EndpointSet::new(false);
        endpoints.add_source(&source);
        Some(Instance {
            tier: settings.stage as usize,
            up: true,
            epoch: 0,
            accepting: false,
            lifecycle: Lifecycle::new(shutdown_timeouts.clone()),
            started_at: 0,
            clock_skew_ms,
            has_endpoints: false,
            settings,
            shutdown_timeouts,
            seed,
            balancer,
            endpoints,
            source,
            open_requests: BTreeMap::new(),
            next_id: 0,
            last_answer_at: f64::INFINITY,
            write_cutoffs: FnvHashMap::default(),
            idle_connections: FnvHashMap::default(),
            events: VecDeque::new(),
            servers_by_id: FnvHashMap::default(),
            newest_server: None,
            mutant,
        })
    }

    /// Starts a new process, which knows no endpoints.
    pub fn start_process(&mut self, now: Nanos) {
        let (settings, seed) = (self.settings.clone(), self.seed ^ u64::from(self.epoch + 1) << 40);
        // The same settings were accepted by `Instance::new`.
        if let Ok(balancer) = Balancer::new(settings, seed, self.wall_clock(now)) {
            self.balancer = balancer;
        }
        self.endpoints = EndpointSet::new(false);
        self.endpoints.add_source(&self.source);
        self.lifecycle = Lifecycle::new(self.shutdown_timeouts.clone());
        (self.up, self.started_at, self.has_endpoints, self.last_answer_at) =
            (true, now, false, f64::INFINITY);
        self.epoch += 1;
    }

    /// Ends the process and closes its connections. Returns the number of connections closed to each upstream, and the
    /// requests that were not answered yet.
    pub fn end_process(&mut self) -> (Vec<(usize, u32)>, Vec<u64>) {
        (self.up, self.accepting) = (false, false);
        let mut closed: BTreeMap<usize, u32> = BTreeMap::new();
        for (server, connections) in self.idle_connections.drain() {
            *closed.entry(server).or_default() += connections.len() as u32;
        }
        let open = std::mem::take(&mut self.open_requests);
        for attempt in open.values().flat_map(|o| &o.in_flight).filter(|attempt| attempt.connected) {
            *closed.entry(attempt.server).or_default() += 1;
        }
        self.write_cutoffs.clear();
        self.events.clear();
        let held_requests = open.values().filter(|o| !o.answered).map(|o| o.request);
        (closed.into_iter().collect(), held_requests.collect())
    }

    /// Returns the time on its wall clock.
    fn wall_clock(&self, now: Nanos) -> Millis {
        START_UNIX_MS + self.clock_skew_ms + now as f64 / 1e6
    }

    /// Returns the number of requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open_requests.values().filter(|o| !o.answered).count()
    }

    /// Returns the number of entries that its tables hold for requests.
    pub fn retained_entries(&self) -> usize {
        self.open_requests.len() + self.balancer.open_requests() + self.events.len()
    }

    /// Sets the time by which requests accepted from now on must be answered, as the lifecycle demands.
    pub fn set_answer_deadline(&mut self, deadline: Duration) {
        self.last_answer_at = self.wall_clock(self.started_at) + deadline.as_secs_f64() * 1000.0;
    }

    /// Returns the age of the current process.
    pub fn process_age(&self, now: Nanos) -> Duration {
        Duration::from_nanos(now - self.started_at)
    }

    /// Passes an event to the lifecycle and returns the resulting actions.
    pub fn handle_lifecycle(&mut self, now: Nanos, event: LifecycleEvent) -> Vec<lifecycle::Action> {
        let (age, mut actions) = (self.process_age(now), Vec::new());
        self.lifecycle.handle(age, event, &mut actions);
        actions
    }

    /// Accepts a request.
    pub fn accept_request(
        &mut self,
        now: Nanos,
        request: u64,
        (class, tenant): (usize, usize),
        (timeout, worth): (Millis, f64),
        outputs: &mut Vec<Output>,
    ) {
        while self.open_requests.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let deadline =
            (self.wall_clock(now) + (timeout - ANSWER_MARGIN_MS).max(0.0)).min(self.last_answer_at);
        let single_shot = self.settings.classes[class].effect == balancer::Effect::SingleShot;
        self.open_requests.insert(
            id,
            OpenRequest {
                request,
                answered: false,
                single_shot,
                deadline,
                attempts_sent: 0,
                in_flight: Vec::new(),
            },
        );
        let request = balancer::Request {
            worth,
            ..balancer::Request::with_full_worth(RequestId(id), class, tenant, deadline)
        };
        self.handle_event(now, Event::Request(request), outputs);
    }

    /// Handles a caller that stopped waiting for its request.
    pub fn caller_left(&mut self, now: Nanos, request: u64, outputs: &mut Vec<Output>) {
        let found = self.open_requests.iter_mut().find(|(_, o)| o.request == request && !o.answered);
        let Some((&id, open)) = found else { return };
        open.answered = true;
        self.remove_if_finished(id);
        self.handle_event(now, Event::ClientGone(RequestId(id)), outputs);
    }

    /// Fails every open request with status 502.
    pub fn fail_open_requests(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        let open: Vec<u32> =
            self.open_requests.iter().filter(|(_, o)| !o.answered).map(|(&id, _)| id).collect();
        for id in open {
            self.answer(id, 502, 0.0, outputs);
            self.handle_event(now, Event::ClientGone(RequestId(id)), outputs);
        }
    }

    /// Passes a timer expiry to the decision module.
    pub fn timer_fired(&mut self, now: Nanos, token: u32, outputs: &mut Vec<Output>) {
        self.handle_event(now, Event::Timer(token), outputs);
    }

    /// Applies a registry update. Returns the new state of each changed upstream, as the invariants define it.
    pub fn update_endpoints(
        &mut self,
        now: Nanos,
        update: SourceUpdate,
        outputs: &mut Vec<Output>,
    ) -> Vec<(usize, invariants::UpstreamState)> {
        let failed = matches!(update, SourceUpdate::Unavailable(_));
        let changes = self.endpoints.apply_update(self.wall_clock(now), &self.source, update);
        if failed {
            self.handle_event(now, Event::Membership(Membership::Failed), outputs);
        }
        let (mut members, mut new_states) = (Vec::new(), Vec::new());
        for change in &changes {
            let (endpoint, gone) = match change {
                EndpointChange::Updated(endpoint) => (endpoint, false),
                EndpointChange::Removed(endpoint) => (endpoint, true),
            };
            let Some(server) = endpoint.name.strip_prefix("s-").and_then(|n| n.parse::<usize>().ok()) else {
                continue;
            };
            let member = self.member(endpoint, server, gone);
            let ready = member.availability == Availability::Ready;
            new_states.push((
                server,
                if endpoint.accepts_requests && !gone {
                    invariants::UpstreamState::Ready
                } else {
                    invariants::UpstreamState::Closed
                },
            ));
            self.has_endpoints |= ready;
            self.servers_by_id.insert(member.id, server);
            if self.mutant == Mutant::ColdPreferred && member.started_at > 0.0 {
                self.newest_server = ready.then_some(server);
            }
            if ready {
                self.write_cutoffs.remove(&server);
            } else {
                self.write_cutoffs.entry(server).or_insert(now + WRITE_GRACE);
                let idle_count = self.idle_connections.remove(&server).map_or(0, |r| r.len() as u32);
                outputs.push(Output::ConnectionsClosed(server, idle_count));
            }
            members.push(member);
        }
        if !members.is_empty() {
            self.handle_event(now, Event::Membership(Membership::Delta(members)), outputs);
        }
        new_states
    }

    fn member(&self, endpoint: &Endpoint, server: usize, gone: bool) -> Member {
        let availability = match (gone, endpoint.accepts_requests || self.mutant == Mutant::DrainsIgnored) {
            (true, _) => Availability::Gone,
            (false, true) => Availability::Ready,
            (false, false) => Availability::Draining,
        };
        Member {
            id: upstream_id(server),
            zone: 0,
            kind: 0,
            group: endpoint.cell,
            availability,
            started_at: endpoint.started_ms,
        }
    }

    /// Takes the most recently used idle connection to this upstream that is believed to be open. Returns its idle
    /// time.
    pub fn take_idle_connection(
        &mut self,
        now: Nanos,
        server: usize,
        epoch: u32,
        outputs: &mut Vec<Output>,
    ) -> Option<Nanos> {
        let idle_connections = self.idle_connections.get_mut(&server)?;
        let max_idle = nanos_from_ms(self.settings.idle_close) - nanos_from_ms(250.0);
        while let Some((since, connection_epoch)) = idle_connections.pop() {
            if connection_epoch == epoch && now - since < max_idle {
                return Some(now - since);
            }
            outputs.push(Output::ConnectionsClosed(server, u32::from(connection_epoch == epoch)));
        }
        None
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle_connections(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        let max_idle = nanos_from_ms(self.settings.idle_close) - nanos_from_ms(250.0);
        for (&server, connections) in &mut self.idle_connections {
            let before = connections.len();
            connections.retain(|&(since, _)| now - since < max_idle);
            if connections.len() < before {
                outputs.push(Output::ConnectionsClosed(server, (before - connections.len()) as u32));
            }
        }
        self.idle_connections.retain(|_, connections| !connections.is_empty());
    }

    /// Returns the attempt and its request, if it is still in flight.
    pub fn in_flight_attempt(&mut self, id: u32, number: u32) -> Option<(&mut InFlightAttempt, u64)> {
        let open = self.open_requests.get_mut(&id)?;
        let request = open.request;
        open.in_flight.iter_mut().find(|attempt| attempt.number == number).map(|attempt| (attempt, request))
    }

    /// Returns whether the first byte of an attempt may be written now.
    pub fn may_write(&self, now: Nanos, id: u32, server: usize, deadline: Nanos) -> bool {
        let finished = self.open_requests.get(&id).is_none_or(|o| o.answered);
        let write_forbidden = self.write_cutoffs.get(&server).is_some_and(|&at| now >= at);
        !finished && now < deadline && (!write_forbidden || self.mutant == Mutant::DrainsIgnored)
    }

    /// Handles the end of an attempt. Its connection is kept if `kept_epoch` names the upstream process that it leads
    /// to, and closed otherwise. Only the first end of an attempt counts.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        (id, number): (u32, u32),
        ending: AttemptOutcome,
        kept_epoch: Option<u32>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(position) = open.in_flight.iter().position(|attempt| attempt.number == number) else {
            return;
        };
        let ended_attempt = open.in_flight.swap_remove(position);
        if ending == AttemptOutcome::Ok && !open.answered {
            open.answered = true;
            outputs.push(Output::Answer(open.request, 200, 0.0));
        }
        let request_finished = open.answered;
        // This mutant reports an attempt that may have been executed as never sent, so the module retries it.
        let reported_ending = match ending {
            AttemptOutcome::Reset | AttemptOutcome::Timeout | AttemptOutcome::Error
                if self.mutant == Mutant::EffectsForgotten && open.single_shot =>
            {
                AttemptOutcome::ConnectFailed
            }
            ending => ending,
        };
        let upstream_closed = self.write_cutoffs.contains_key(&ended_attempt.server);
        match kept_epoch.filter(|_| ended_attempt.connected && !upstream_closed) {
            Some(epoch) => self.idle_connections.entry(ended_attempt.server).or_default().push((now, epoch)),
            None => outputs
                .push(Output::ConnectionsClosed(ended_attempt.server, u32::from(ended_attempt.connected))),
        }
        self.remove_if_finished(id);
        let duration = (now - ended_attempt.sent_at) as f64 / 1e6;
        let (request, attempt) = (RequestId(id), number);
        self.handle_event(
            now,
            Event::AttemptEnded { request, attempt, ending: reported_ending, duration, request_finished },
            outputs,
        );
    }

    fn remove_if_finished(&mut self, id: u32) {
        let finished = self.open_requests.get(&id).is_some_and(|o| o.answered && o.in_flight.is_empty());
        if finished && self.mutant != Mutant::NothingForgotten {
            self.open_requests.remove(&id);
        }
    }

    fn answer(&mut self, id: u32, status: u16, retry_after: f64, outputs: &mut Vec<Output>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let dropped = self.mutant == Mutant::AnswersForgotten && open.request % 50 == 7;
        if !std::mem::replace(&mut open.answered, true) && !dropped {
            outputs.push(Output::Answer(open.request, status, retry_after));
        }
        self.remove_if_finished(id);
    }

    /// Passes an event to the decision module, and then the events that follow from it.
    fn handle_event(&mut self, now: Nanos, event: Event, outputs: &mut Vec<Output>) {
        let clock = self.wall_clock(now);
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(clock, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.perform(now, action, outputs);
            }
        }
    }

    fn perform(&mut self, now: Nanos, action: Action, outputs: &mut Vec<Output>) {
        match action {
            Action::Send { request, upstream, timeout } => {
                self.send_attempt(now, request.0, upstream, timeout, outputs)
            }
            Action::Cancel { request, attempt } => {
                self.attempt_ended(now, (request.0, attempt), AttemptOutcome::Cancelled, None, outputs);
            }
            Action::Refuse { request, retry_after } => self.answer(request.0, 503, retry_after, outputs),
            Action::Fail { request } => self.answer(request.0, 502, 0.0, outputs),
            Action::CloseIdle(upstream) => {
                let server = self.servers_by_id.get(&upstream).copied();
                if let Some((server, connections)) =
                    server.and_then(|s| self.idle_connections.remove(&s).map(|r| (s, r)))
                {
                    outputs.push(Output::ConnectionsClosed(server, connections.len() as u32));
                }
            }
            Action::Subscribe => outputs.push(Output::RequestEndpoints),
            Action::SetTimer { after, token } => {
                outputs.push(Output::SetTimer(nanos_from_ms(after.max(0.0)), token))
            }
            Action::Log(_) => {}
        }
    }

    fn send_attempt(
        &mut self,
        now: Nanos,
        id: u32,
        to: UpstreamId,
        timeout: Millis,
        outputs: &mut Vec<Output>,
    ) {
        let clock = self.wall_clock(now);
        let server = self.newest_server.or(self.servers_by_id.get(&to).copied());
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let number = open.attempts_sent;
        open.attempts_sent += 1;
        let (Some(server), false) = (server, open.answered) else {
            let (request, attempt, request_finished) = (RequestId(id), number, open.answered);
            let not_sent = Event::AttemptEnded {
                request,
                attempt,
                ending: AttemptOutcome::NotSent,
                duration: 0.0,
                request_finished,
            };
            return self.events.push_back(not_sent);
        };
        let remaining = (open.deadline - clock).max(0.0);
        let deadline = now + nanos_from_ms(if timeout > 0.0 { timeout.min(remaining) } else { remaining });
        open.in_flight.push(InFlightAttempt { number, server, sent_at: now, deadline, connected: false });
        outputs.push(Output::Send(id, number, server));
    }
}
