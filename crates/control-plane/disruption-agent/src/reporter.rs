//! Task of a balancer: reports its status and its observations of upstreams, applies drains, and confirms each drain once
//! nothing is in flight there. Serving requests never waits for it.
use crate::informer::Informer;
use crate::store::{write, WriteOutcome};
use config::coordination::CoordinationClientConfig;
use coordination::client::SessionConfig;
use coordination::state_machine::{Op, SessionId};
use coordination_server::client::{announce_presence, ClientConfig, ClientHandle, SessionState};
use disruption::conditional_write::{encode, put_ephemeral};
use disruption::keys::{
    drained_key, endpoint_list_key, observations_key, predecessor_drained_key, status_key, DRAIN_LEASES,
};
use disruption::{
    ConditionalWrite, DrainedEndpoints, EndpointCondition, EndpointList, EndpointObservations, FleetSnapshot,
    InstanceState, InstanceStatus,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// Interval at which requests in flight are counted while there are drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which upstreams are observed. A condition that changes several times within it is reported once.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Upstreams of a balancer as it observes them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalObservations {
    /// All upstreams.
    pub endpoints: EndpointList,
    /// Conditions of those that are not in service, by name.
    pub conditions: BTreeMap<String, EndpointCondition>,
}

/// Interface of the balancer that the reporter uses.
pub trait BalancerView {
    /// Drains exactly these upstreams, given by name with the reason. No new requests are sent to them once this returns.
    fn apply_drains(&self, upstreams: &BTreeMap<String, String>);
    /// Number of requests in flight at an upstream.
    fn in_flight(&self, upstream: &str) -> usize;
    /// Observes the upstreams.
    fn observations(&self) -> LocalObservations;
}

/// Configuration of a reporter.
pub struct ReporterConfig {
    /// Coordination client settings of the operator's file.
    pub coordination: CoordinationClientConfig,
    /// Name of the balancer.
    pub name: String,
    /// Time after it became ready during which the balancer reports that it warms up.
    pub warm_up: Duration,
    /// Hash of the executable; empty if unknown.
    pub build: String,
}

/// Spawns a reporter on the current `LocalSet`. It reads drains at once, so that they are known before the balancer serves, and
/// writes to the store once `states` first leaves [`InstanceState::Starting`]. The returned receiver holds whether the
/// drains are known.
pub fn spawn(
    client: ClientHandle,
    config: ReporterConfig,
    balancer: Rc<dyn BalancerView>,
    states: watch::Receiver<InstanceState>,
) -> watch::Receiver<bool> {
    let (known_sender, known) = watch::channel(false);
    let (snapshot_sender, snapshot) = watch::channel(FleetSnapshot::default());
    // A separate task, so that drains are applied without waiting for writes.
    tokio::task::spawn_local(follow_drains(client.clone(), balancer.clone(), known_sender, snapshot_sender));
    let task = ReporterTask {
        snapshot,
        client,
        config,
        balancer,
        states,
        is_announced: false,
        ready_at: None,
        written: None,
        predecessor: None,
        observed: None,
        retry_at: None,
    };
    tokio::task::spawn_local(task.run());
    known
}

/// Applies drains whenever they change.
async fn follow_drains(
    client: ClientHandle,
    balancer: Rc<dyn BalancerView>,
    known: watch::Sender<bool>,
    snapshots: watch::Sender<FleetSnapshot>,
) {
    let mut informer: Informer = Informer::with_prefix(client, DRAIN_LEASES);
    loop {
        informer.next().await;
        apply_drains(informer.snapshot(), &*balancer);
        known.send_replace(true);
        if snapshots.send(informer.snapshot().clone()).is_err() {
            return;
        }
    }
}

fn apply_drains(snapshot: &FleetSnapshot, balancer: &dyn BalancerView) {
    let reasons = snapshot.leases.iter().map(|(resource, lease)| {
        let owner = &lease.value.owner;
        let reason = match lease.value.reason.as_str() {
            "" => format!("drained by {owner}"),
            reason => format!("drained by {owner}: {reason}"),
        };
        (resource.name.clone(), reason)
    });
    balancer.apply_drains(&reasons.collect());
}

/// Values that the reporter last wrote under its session.
#[derive(Clone, PartialEq)]
struct Report {
    session: SessionId,
    state: InstanceState,
    drained: DrainedEndpoints,
    observations: EndpointObservations,
}

/// State of the reports of a process whose name another process has taken over.
struct PredecessorReporter {
    client: ClientHandle,
    /// Value that was last written, with its session.
    written: Option<(SessionId, DrainedEndpoints)>,
}

struct ReporterTask {
    /// Drains that were last applied.
    snapshot: watch::Receiver<FleetSnapshot>,
    client: ClientHandle,
    config: ReporterConfig,
    balancer: Rc<dyn BalancerView>,
    states: watch::Receiver<InstanceState>,
    is_announced: bool,
    /// Time at which the balancer became ready.
    ready_at: Option<Instant>,
    written: Option<Report>,
    predecessor: Option<PredecessorReporter>,
    /// Last observations, with their time.
    observed: Option<(Instant, LocalObservations)>,
    retry_at: Option<Instant>,
}

impl ReporterTask {
    async fn run(mut self) {
        let mut session_state = self.client.session_state();
        loop {
            let wake_at = self.step().await;
            tokio::select! {
                changed = self.snapshot.changed() => if changed.is_err() {
                    return;
                },
                changed = self.states.changed() => if changed.is_err() {
                    return;
                },
                changed = session_state.changed() => if changed.is_err() {
                    return;
                },
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Returns the state to report, and the time at which it changes without an event.
    fn state(&mut self) -> (InstanceState, Option<Instant>) {
        let state = *self.states.borrow_and_update();
        if state != InstanceState::Ready {
            self.ready_at = None;
            return (state, None);
        }
        let warm_at = *self.ready_at.get_or_insert_with(Instant::now) + self.config.warm_up;
        if Instant::now() < warm_at {
            (InstanceState::WarmingUp, Some(warm_at))
        } else {
            (InstanceState::Ready, None)
        }
    }

    /// Returns the applied drains without requests in flight.
    fn drained(&self) -> DrainedEndpoints {
        let snapshot = self.snapshot.borrow();
        let idle = snapshot.leases.iter().filter(|(id, _)| self.balancer.in_flight(&id.name) == 0);
        let tokens = idle.map(|(id, lease)| (id.name.clone(), lease.value.fencing_token));
        DrainedEndpoints { fencing_tokens: tokens.collect() }
    }

    /// Observes the upstreams, at most once per [`OBSERVATION_INTERVAL`].
    fn observe(&mut self) -> LocalObservations {
        let now = Instant::now();
        if let Some((at, observations)) = &self.observed {
            if now.duration_since(*at) < OBSERVATION_INTERVAL {
                return observations.clone();
            }
        }
        let observations = self.balancer.observations();
        self.observed = Some((now, observations.clone()));
        observations
    }

    /// Writes what has changed; returns the time of the next step.
    async fn step(&mut self) -> Instant {
        let (state, warm_at) = self.state();
        if state != InstanceState::Starting && !self.is_announced {
            self.is_announced = true;
            announce_presence(&self.client, &self.config.coordination, "balancer", &self.config.name);
        }
        let now = Instant::now();
        let has_drains = !self.snapshot.borrow().leases.is_empty();
        let interval = if has_drains { DRAIN_POLL_INTERVAL } else { OBSERVATION_INTERVAL };
        let wake_at = warm_at.map_or(now + interval, |at| at.min(now + interval));
        if let Some(retry_at) = self.retry_at.filter(|&at| now < at) {
            return retry_at;
        }
        self.retry_at = None;
        let session_state = *self.client.session_state().borrow();
        let succeeded = match session_state {
            SessionState::Active(session) => self.write_report(session, state).await,
            SessionState::Fenced(_) => self.write_predecessor_drained().await,
            SessionState::None => true,
        };
        if succeeded {
            return wake_at;
        }
        let retry_at = Instant::now() + RETRY_DELAY;
        self.retry_at = Some(retry_at);
        retry_at
    }

    /// Writes what differs from the last report. Returns whether that succeeded.
    async fn write_report(&mut self, session: SessionId, state: InstanceState) -> bool {
        let drained = self.drained();
        let LocalObservations { endpoints, conditions } = self.observe();
        let list_hash = format!("{:016x}", hashing::stable(encode(&endpoints).as_bytes()));
        let observations = EndpointObservations { list_hash, conditions };
        let report = Report { session, state, drained, observations };
        let ops = self.changes(&report, &endpoints);
        if ops.is_empty() {
            return true;
        }
        match write(&self.client, ConditionalWrite::while_session_alive(session, ops)).await {
            WriteOutcome::Committed(_) => {
                self.written = Some(report);
                true
            }
            // The session has ended meanwhile; the change of the session state wakes the task.
            WriteOutcome::Conflict => true,
            WriteOutcome::Failed(error) => {
                info!("outage: report of {} not written: {error}", self.config.name);
                false
            }
        }
    }

    /// Operations for the parts of a report that differ from the last one under the same session.
    fn changes(&self, report: &Report, endpoints: &EndpointList) -> Vec<Op> {
        let name = &self.config.name;
        let written = self.written.as_ref().filter(|written| written.session == report.session);
        let mut ops = Vec::new();
        if written.is_none_or(|written| written.state != report.state) {
            let status = InstanceStatus {
                state: report.state,
                session: report.session,
                pid: std::process::id(),
                build: self.config.build.clone(),
            };
            ops.push(put_ephemeral(status_key(name), &status));
        }
        if written.is_none_or(|written| written.drained != report.drained) {
            ops.push(put_ephemeral(drained_key(name), &report.drained));
        }
        if written.is_none_or(|written| written.observations != report.observations) {
            ops.push(put_ephemeral(observations_key(name), &report.observations));
        }
        let list_hash = &report.observations.list_hash;
        if written.is_none_or(|written| written.observations.list_hash != *list_hash) {
            // Shared with all balancers that have the same upstreams, so it outlives this session.
            ops.push(disruption::conditional_write::put(endpoint_list_key(list_hash), endpoints));
        }
        ops
    }

    /// Reports drains without requests in flight after another process has taken the name over, until this process exits.
    /// Returns whether that succeeded.
    async fn write_predecessor_drained(&mut self) -> bool {
        let pid = std::process::id();
        let drained = self.drained();
        let (config, name) = (&self.config.coordination, &self.config.name);
        let predecessor = self.predecessor.get_or_insert_with(|| PredecessorReporter {
            client: spawn_predecessor_client(config, name, pid),
            written: None,
        });
        let SessionState::Active(session) = *predecessor.client.session_state().borrow() else { return true };
        if predecessor.written.as_ref() == Some(&(session, drained.clone())) {
            return true;
        }
        let op = put_ephemeral(predecessor_drained_key(name, pid), &drained);
        let change = ConditionalWrite::while_session_alive(session, vec![op]);
        match write(&predecessor.client, change).await {
            WriteOutcome::Committed(_) => {
                predecessor.written = Some((session, drained));
                true
            }
            WriteOutcome::Conflict => true,
            WriteOutcome::Failed(_) => false,
        }
    }
}

/// A client with a session of its own for a process whose name another process has taken over.
fn spawn_predecessor_client(config: &CoordinationClientConfig, name: &str, pid: u32) -> ClientHandle {
    let name = format!("leaving/{name}/{pid}");
    let session = SessionConfig { name: name.clone(), ttl: config.ttl, take_over: true };
    ClientHandle::spawn(ClientConfig {
        voters: config.voters.iter().map(ToString::to_string).collect(),
        session: Some(session),
        name,
        response_timeout: config.patience,
    })
}
