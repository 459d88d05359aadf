//! A balancer's part: it says how it stands and how it sees its upstreams, obeys drains that were agreed on, and confirms
//! each once nothing is in flight there. Nothing that it serves waits for any of this.
use crate::informer::{write, Informer, WriteOutcome};
use config::coordination::CoordinationClientConfig as File;
use coordination::client::SessionConfig;
use coordination::state_machine::{Compare, Op, SessionId};
use coordination_server::client::{announce_presence, ClientConfig, ClientHandle, SessionState};
use disruption::snapshot::{
    drained_key, endpoint_list_key, observations_key, predecessor_drained_key, status_key, DrainedEndpoints,
    EndpointList, DRAINS,
};
use disruption::{
    ConditionalWrite, EndpointCondition, EndpointObservations, FleetSnapshot, InstanceState, InstanceStatus,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// How often it is looked whether a drained upstream has nothing in flight any more.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often it is looked how upstreams are seen; what changes faster is said once.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// After a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a balancer does for its reporter.
pub trait BalancerView {
    /// These upstreams are drained by agreement, and no others, for these reasons: nothing new goes there when this returns.
    fn apply_drains(&self, upstreams: &BTreeMap<String, String>);
    /// Attempts that are open at an upstream.
    fn in_flight(&self, upstream: &str) -> usize;
    /// The upstreams that it has, and those that it does not see as standing in.
    fn observations(&self) -> (EndpointList, BTreeMap<String, EndpointCondition>);
}

/// How a reporter is set up.
pub struct ReporterConfig {
    /// `[council]` of the operator's file.
    pub coordination: File,
    /// The balancer's name.
    pub name: String,
    /// It counts as cold for so long after it began to serve.
    pub warm_up: Duration,
    /// What tells its program from other builds; empty: not known.
    pub build: String,
}

/// Begins a reporter. It reads at once, so that it knows of drains before it serves; it appears in the record when
/// `states` first says anything but starting. The other end that is returned says whether the drains are known.
pub fn spawn(
    council: ClientHandle,
    setup: ReporterConfig,
    station: Rc<dyn BalancerView>,
    states: watch::Receiver<InstanceState>,
) -> watch::Receiver<bool> {
    let (known, knows) = watch::channel(false);
    let (show, board) = watch::channel(FleetSnapshot::default());
    let (mut follow, obeys) = (Informer::with_prefix(council.clone(), DRAINS), station.clone());
    // By itself: what is written to the record may take its time.
    tokio::task::spawn_local(async move {
        loop {
            follow.next().await;
            obey(follow.snapshot(), &*obeys);
            known.send_replace(true);
            if show.send(follow.snapshot().clone()).is_err() {
                return;
            }
        }
    });
    let task = Task {
        snapshot: board,
        council,
        config: setup,
        balancer: station,
        states,
        appeared: false,
        ready_at: None,
        written_status: None,
        written_observations: None,
        written_drained: None,
        written_list: None,
        predecessor_client: None,
        last_observed: None,
        retry_at: None,
    };
    tokio::task::spawn_local(task.run());
    knows
}

struct Task {
    snapshot: watch::Receiver<FleetSnapshot>,
    council: ClientHandle,
    config: ReporterConfig,
    balancer: Rc<dyn BalancerView>,
    states: watch::Receiver<InstanceState>,
    appeared: bool,
    /// Since when it serves.
    ready_at: Option<Instant>,
    /// What was written last, under which session.
    written_status: Option<(SessionId, InstanceState)>,
    written_observations: Option<(SessionId, EndpointObservations)>,
    written_drained: Option<(SessionId, DrainedEndpoints)>,
    /// The list that was seen to be in the record last.
    written_list: Option<(SessionId, String)>,
    /// Its own session once another process has its name.
    predecessor_client: Option<ClientHandle>,
    /// How upstreams were seen last, and when.
    last_observed: Option<(Instant, EndpointList, BTreeMap<String, EndpointCondition>)>,
    retry_at: Option<Instant>,
}

fn obey(board: &FleetSnapshot, station: &dyn BalancerView) {
    let drains = board.leases.iter().map(|(id, leave)| {
        let why = match leave.value.reason.as_str() {
            "" => format!("drained by {}", leave.value.owner),
            why => format!("drained by {}: {why}", leave.value.owner),
        };
        (id.name.clone(), why)
    });
    station.apply_drains(&drains.collect());
}

impl Task {
    async fn run(mut self) {
        let mut standing = self.council.session_state();
        loop {
            let wake = self.step().await;
            tokio::select! {
                changed = self.snapshot.changed() => if changed.is_err() {
                    return;
                },
                changed = self.states.changed() => if changed.is_err() {
                    return;
                },
                changed = standing.changed() => if changed.is_err() {
                    return;
                },
                () = sleep_until(wake) => {}
            }
        }
    }

    /// How it stands, and when that changes by itself.
    fn state(&mut self) -> (InstanceState, Option<Instant>) {
        let state = *self.states.borrow_and_update();
        if state != InstanceState::Ready {
            self.ready_at = None;
            return (state, None);
        }
        let warm_at = *self.ready_at.get_or_insert_with(Instant::now) + self.config.warm_up;
        match Instant::now() < warm_at {
            true => (InstanceState::WarmingUp, Some(warm_at)),
            false => (InstanceState::Ready, None),
        }
    }

    /// The drains that it obeys and has nothing in flight for.
    fn written_drained(&self) -> DrainedEndpoints {
        let board = self.snapshot.borrow();
        let quiet = board.leases.iter().filter(|(id, _)| self.balancer.in_flight(&id.name) == 0);
        DrainedEndpoints {
            fencing_tokens: quiet.map(|(id, leave)| (id.name.clone(), leave.value.fencing_token)).collect(),
        }
    }

    /// Writes what is not in the record as it is; when to look again.
    async fn step(&mut self) -> Instant {
        let (state, warm_at) = self.state();
        if state != InstanceState::Starting && !self.appeared {
            self.appeared = true;
            announce_presence(&self.council, &self.config.coordination, "balancer", &self.config.name);
        }
        let now = Instant::now();
        let drains = !self.snapshot.borrow().leases.is_empty();
        let mut next = now + if drains { DRAIN_POLL_INTERVAL } else { OBSERVATION_INTERVAL };
        next = warm_at.map_or(next, |at| next.min(at));
        if let Some(at) = self.retry_at.filter(|&at| now < at) {
            return at;
        }
        self.retry_at = None;
        let standing = *self.council.session_state().borrow();
        let wrote = match standing {
            SessionState::Active(session) => self.write_status(session, state).await,
            SessionState::Fenced(_) => self.write_predecessor_drained().await,
            SessionState::None => true,
        };
        if !wrote {
            let at = Instant::now() + RETRY_DELAY;
            self.retry_at = Some(at);
            return at;
        }
        next
    }

    /// Says how it stands, where that is not what it said last. Whether that went well.
    async fn write_status(&mut self, session: SessionId, state: InstanceState) -> bool {
        let name = self.config.name.clone();
        let mut plan = ConditionalWrite { compares: vec![Compare::SessionAlive(session)], ops: Vec::new() };
        let mut put = |key: String, value: String| plan.ops.push(Op::Put { key, value, ephemeral: true });
        if self.written_status != Some((session, state)) {
            let said =
                InstanceStatus { state, session, pid: std::process::id(), build: self.config.build.clone() };
            put(status_key(&name), serde_json::to_string(&said).unwrap_or_default());
        }
        let quiet = self.written_drained();
        if self.written_drained.as_ref() != Some(&(session, quiet.clone())) {
            put(drained_key(&name), serde_json::to_string(&quiet).unwrap_or_default());
        }
        let now = Instant::now();
        if self.last_observed.as_ref().is_none_or(|(at, ..)| now.duration_since(*at) >= OBSERVATION_INTERVAL)
        {
            let (list, out) = self.balancer.observations();
            self.last_observed = Some((now, list, out));
        }
        let (list, out) = match &self.last_observed {
            Some((_, list, out)) => (list, out.clone()),
            None => return true,
        };
        let text = serde_json::to_string(list).unwrap_or_default();
        let hash = format!("{:016x}", hashing::stable(text.as_bytes()));
        let sight = EndpointObservations { list_hash: hash.clone(), conditions: out };
        if self.written_observations.as_ref() != Some(&(session, sight.clone())) {
            put(observations_key(&name), serde_json::to_string(&sight).unwrap_or_default());
        }
        if self.written_list.as_ref() != Some(&(session, hash.clone())) {
            // Others with the same upstreams have written the same.
            plan.ops.push(Op::Put { key: endpoint_list_key(&hash), value: text, ephemeral: false });
        }
        if plan.ops.is_empty() {
            return true;
        }
        match write(&self.council, plan).await {
            WriteOutcome::Committed(_) => {
                self.written_status = Some((session, state));
                self.written_drained = Some((session, quiet));
                self.written_observations = Some((session, sight));
                self.written_list = Some((session, hash));
                true
            }
            // Its session has ended meanwhile; what becomes of it is heard soon.
            WriteOutcome::Conflict => true,
            WriteOutcome::Failed(why) => {
                info!("outage: {name} is not heard: {why}");
                false
            }
        }
    }

    /// Another process has its name by now: until this one ends, it says by itself which drains it has nothing in flight for.
    async fn write_predecessor_drained(&mut self) -> bool {
        let pid = std::process::id();
        let file = &self.config.coordination;
        let own = self.predecessor_client.get_or_insert_with(|| {
            let name = format!("leaving/{}/{pid}", self.config.name);
            let session = SessionConfig { name: name.clone(), ttl: file.ttl, take_over: true };
            let voters = file.voters.iter().map(ToString::to_string).collect();
            ClientHandle::spawn(ClientConfig {
                voters,
                session: Some(session),
                name,
                response_timeout: file.patience,
            })
        });
        let own = own.clone();
        let SessionState::Active(session) = *own.session_state().borrow() else { return true };
        let quiet = self.written_drained();
        if self.written_drained.as_ref() == Some(&(session, quiet.clone())) {
            return true;
        }
        let value = serde_json::to_string(&quiet).unwrap_or_default();
        let put = Op::Put { key: predecessor_drained_key(&self.config.name, pid), value, ephemeral: true };
        let wrote =
            write(&own, ConditionalWrite { compares: vec![Compare::SessionAlive(session)], ops: vec![put] })
                .await;
        if let WriteOutcome::Committed(_) = wrote {
            self.written_drained = Some((session, quiet));
        }
        !matches!(wrote, WriteOutcome::Failed(_))
    }
}
