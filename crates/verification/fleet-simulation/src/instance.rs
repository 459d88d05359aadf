//! One balancer: the real decision module, lifecycle and view of members, with what a driver keeps around them: ids, open
//! requests, attempts, gates and kept connections. It does nothing itself: what it wants comes out as [`Does`].
use crate::agenda::{ms, Nanos};
use crate::mutant::Mutant;
use balancer::{
    Action, Availability, Balancer, Ending, Event, Member, Membership, Millis, RequestId, Settings,
    UpstreamId,
};
use discovery::endpoint::{EndpointReport, EndpointState, SourceUpdate};
use discovery::endpoint_set::{Endpoint, EndpointChange, EndpointSet, Source};
use fnv::FnvHashMap;
use lifecycle::{Event as Life, Lifecycle, ShutdownTimeouts};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Unix time at the beginning of every run, in milliseconds.
pub const BEGAN: f64 = 1_800_000_000_000.0;
/// Time for the last answer to reach the caller; as the driver's.
const MARGIN: Millis = 5.0;
/// For how long after the news an attempt that was decided before may still be written.
const GRACE: Nanos = 1_000_000_000;

/// One process of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// The instance.
    pub instance: usize,
    /// Which of its processes.
    pub epoch: u32,
}

/// What an instance wants done.
#[derive(Debug)]
pub enum Does {
    /// Answer a request, with a pause that is advised in milliseconds.
    Answer(u64, u16, f64),
    /// Send an attempt to this upstream.
    Send(u32, u32, usize),
    /// Wake its module after this long.
    Timer(Nanos, u32),
    /// Ask the registry for the list.
    Ask,
    /// So many connections to this upstream are closed.
    Closed(usize, u32),
}

/// An attempt that is out.
pub struct InFlightAttempt {
    /// Its number.
    pub number: u32,
    /// Where.
    pub server: usize,
    /// When it was sent, and when it is given up.
    pub sent: Nanos,
    /// See `sent`.
    pub until: Nanos,
    /// Whether it has a connection.
    pub connected: bool,
}

/// A request without an end.
pub struct Open {
    /// Which, over the whole fleet.
    pub request: u64,
    answered: bool,
    /// Whether a repeat does harm.
    once: bool,
    deadline: Millis,
    sends: u32,
    /// Attempts that are out; as many as the module allows a request.
    pub out: Vec<InFlightAttempt>,
}

/// A connection that rests: since when, and to which process of the upstream.
type Rested = (Nanos, u32);

/// See the module's page.
pub struct Instance {
    /// The tier that it sends to.
    pub tier: usize,
    /// Whether its process runs.
    pub up: bool,
    /// Counts its processes.
    pub epoch: u32,
    /// Whether it accepts new connections.
    pub accepting: bool,
    /// Its life.
    pub life: Lifecycle,
    /// When its process began.
    pub born: Nanos,
    /// How far its wall clock is off, in milliseconds.
    pub skew: f64,
    /// Whether it knows members.
    pub known: bool,
    settings: Settings,
    figures: ShutdownTimeouts,
    seed: u64,
    balancer: Balancer,
    view: EndpointSet,
    source: Source,
    open: BTreeMap<u32, Open>,
    next: u32,
    last: Millis,
    gates: FnvHashMap<usize, Nanos>,
    idle: FnvHashMap<usize, Vec<Rested>>,
    events: VecDeque<Event>,
    /// Upstreams that it was told of, by the ids that its module knows.
    names: FnvHashMap<UpstreamId, usize>,
    /// The one that started last, for a variant that prefers it.
    newest: Option<usize>,
    mutant: Mutant,
}

/// The name of an upstream, the same at every instance.
pub fn name(server: usize) -> Arc<str> {
    format!("s-{server}").into()
}

/// Its id as the program gives it.
pub fn id(server: usize) -> UpstreamId {
    UpstreamId(hashing::stable(name(server).as_bytes()))
}

/// What the registry says of an upstream.
#[derive(Clone, Debug)]
pub struct Line {
    /// Which.
    pub server: usize,
    /// Its group.
    pub group: u16,
    /// How it stands; `None`: gone.
    pub standing: Option<EndpointState>,
    /// When its process started by its own wall clock, in Unix milliseconds; 0: long ago.
    pub started: f64,
}

impl Line {
    /// The report that instances get.
    pub fn into_report(self) -> EndpointReport {
        let n = self.server as u32;
        EndpointReport {
            name: name(self.server),
            addr: SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 80)),
            zone: "caba-1".into(),
            kind: "portal".into(),
            cell: self.group,
            protocol: Default::default(),
            state: self.standing.unwrap_or_default(),
            reason: "".into(),
            started_ms: Some(self.started),
            registration_index: 0,
            meta: Default::default(),
        }
    }
}

impl Instance {
    /// One whose first process begins now. `None`: its settings are unsound.
    pub fn new(settings: Settings, seed: u64, skew: f64, mutant: Mutant) -> Option<Instance> {
        let source = Source { rank: 0, label: "platform".into() };
        let balancer = Balancer::new(settings.clone(), seed, BEGAN + skew).ok()?;
        let figures = ShutdownTimeouts::default();
        let mut view = EndpointSet::new(false);
        view.add_source(&source);
        Some(Instance {
            tier: settings.stage as usize,
            up: true,
            epoch: 0,
            accepting: false,
            life: Lifecycle::new(figures.clone()),
            born: 0,
            skew,
            known: false,
            settings,
            figures,
            seed,
            balancer,
            view,
            source,
            open: BTreeMap::new(),
            next: 0,
            last: f64::INFINITY,
            gates: FnvHashMap::default(),
            idle: FnvHashMap::default(),
            events: VecDeque::new(),
            names: FnvHashMap::default(),
            newest: None,
            mutant,
        })
    }

    /// Another process begins, with nothing known.
    pub fn starts(&mut self, now: Nanos) {
        let (settings, seed) = (self.settings.clone(), self.seed ^ u64::from(self.epoch + 1) << 40);
        // The same settings were sound before.
        if let Ok(balancer) = Balancer::new(settings, seed, self.clock(now)) {
            self.balancer = balancer;
        }
        self.view = EndpointSet::new(false);
        self.view.add_source(&self.source);
        self.life = Lifecycle::new(self.figures.clone());
        (self.up, self.born, self.known, self.last) = (true, now, false, f64::INFINITY);
        self.epoch += 1;
    }

    /// Its process ends: connections are cut. Those that rested to each upstream, and the requests that it held.
    pub fn ends(&mut self) -> (Vec<(usize, u32)>, Vec<u64>) {
        (self.up, self.accepting) = (false, false);
        let mut closed: BTreeMap<usize, u32> = BTreeMap::new();
        for (server, rested) in self.idle.drain() {
            *closed.entry(server).or_default() += rested.len() as u32;
        }
        let open = std::mem::take(&mut self.open);
        for out in open.values().flat_map(|o| &o.out).filter(|out| out.connected) {
            *closed.entry(out.server).or_default() += 1;
        }
        self.gates.clear();
        self.events.clear();
        let held = open.values().filter(|o| !o.answered).map(|o| o.request);
        (closed.into_iter().collect(), held.collect())
    }

    /// Its wall clock.
    fn clock(&self, now: Nanos) -> Millis {
        BEGAN + self.skew + now as f64 / 1e6
    }

    /// Requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.answered).count()
    }

    /// What it holds of requests, in all its tables.
    pub fn retained_entries(&self) -> usize {
        self.open.len() + self.balancer.open() + self.events.len()
    }

    /// Requests that are taken from now on have their answer by then, by its life.
    pub fn answers_by(&mut self, at: Duration) {
        self.last = self.clock(self.born) + at.as_secs_f64() * 1000.0;
    }

    /// Time of its life.
    pub fn age(&self, now: Nanos) -> Duration {
        Duration::from_nanos(now - self.born)
    }

    /// What its life says to an event.
    pub fn lives(&mut self, now: Nanos, event: Life) -> Vec<lifecycle::Action> {
        let (age, mut actions) = (self.age(now), Vec::new());
        self.life.handle(age, event, &mut actions);
        actions
    }

    /// Takes a request.
    pub fn takes(
        &mut self,
        now: Nanos,
        request: u64,
        (class, club): (usize, usize),
        (patience, worth): (Millis, f64),
        does: &mut Vec<Does>,
    ) {
        while self.open.contains_key(&self.next) {
            self.next = self.next.wrapping_add(1);
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        let deadline = (self.clock(now) + (patience - MARGIN).max(0.0)).min(self.last);
        let once = self.settings.classes[class].effect == balancer::Effect::SingleShot;
        self.open.insert(id, Open { request, answered: false, once, deadline, sends: 0, out: Vec::new() });
        let request =
            balancer::Request { worth, ..balancer::Request::plain(RequestId(id), class, club, deadline) };
        self.feed(now, Event::Request(request), does);
    }

    /// Its caller waits no more.
    pub fn left(&mut self, now: Nanos, request: u64, does: &mut Vec<Does>) {
        let found = self.open.iter_mut().find(|(_, o)| o.request == request && !o.answered);
        let Some((&id, open)) = found else { return };
        open.answered = true;
        self.forget(id);
        self.feed(now, Event::ClientGone(RequestId(id)), does);
    }

    /// Ends every request that is open.
    pub fn fails_all(&mut self, now: Nanos, does: &mut Vec<Does>) {
        let open: Vec<u32> = self.open.iter().filter(|(_, o)| !o.answered).map(|(&id, _)| id).collect();
        for id in open {
            self.answers(id, 502, 0.0, does);
            self.feed(now, Event::ClientGone(RequestId(id)), does);
        }
    }

    /// Its module's timer.
    pub fn wakes(&mut self, now: Nanos, token: u32, does: &mut Vec<Does>) {
        self.feed(now, Event::Timer(token), does);
    }

    /// The registry tells it; what it was told of each upstream, as the rules count it.
    pub fn update_endpoints(
        &mut self,
        now: Nanos,
        news: SourceUpdate,
        does: &mut Vec<Does>,
    ) -> Vec<(usize, invariants::State)> {
        let failed = matches!(news, SourceUpdate::Unavailable(_));
        let changes = self.view.apply_update(self.clock(now), &self.source, news);
        if failed {
            self.feed(now, Event::Membership(Membership::Failed), does);
        }
        let (mut members, mut states) = (Vec::new(), Vec::new());
        for change in &changes {
            let (m, gone) = match change {
                EndpointChange::Updated(m) => (m, false),
                EndpointChange::Removed(m) => (m, true),
            };
            let Some(server) = m.name.strip_prefix("s-").and_then(|n| n.parse::<usize>().ok()) else {
                continue;
            };
            let member = self.member(m, server, gone);
            let open = member.availability == Availability::Ready;
            states.push((
                server,
                if m.accepts_requests && !gone {
                    invariants::State::Ready
                } else {
                    invariants::State::Closed
                },
            ));
            self.known |= open;
            self.names.insert(member.id, server);
            if self.mutant == Mutant::ColdPreferred && member.since > 0.0 {
                self.newest = open.then_some(server);
            }
            if open {
                self.gates.remove(&server);
            } else {
                self.gates.entry(server).or_insert(now + GRACE);
                let rested = self.idle.remove(&server).map_or(0, |r| r.len() as u32);
                does.push(Does::Closed(server, rested));
            }
            members.push(member);
        }
        if !members.is_empty() {
            self.feed(now, Event::Membership(Membership::Delta(members)), does);
        }
        states
    }

    fn member(&self, m: &Endpoint, server: usize, gone: bool) -> Member {
        let availability = match (gone, m.accepts_requests || self.mutant == Mutant::DrainsIgnored) {
            (true, _) => Availability::Gone,
            (false, true) => Availability::Ready,
            (false, false) => Availability::Draining,
        };
        Member { id: id(server), zone: 0, kind: 0, group: m.cell, availability, since: m.started_ms }
    }

    /// The connection used last to this upstream, if one rests that is open, as far as is known.
    pub fn connection(
        &mut self,
        now: Nanos,
        server: usize,
        epoch: u32,
        does: &mut Vec<Does>,
    ) -> Option<Nanos> {
        let rested = self.idle.get_mut(&server)?;
        let most = ms(self.settings.idle_close) - ms(250.0);
        while let Some((since, of)) = rested.pop() {
            if of == epoch && now - since < most {
                return Some(now - since);
            }
            does.push(Does::Closed(server, u32::from(of == epoch)));
        }
        None
    }

    /// Closes connections that have rested for too long.
    pub fn sweeps(&mut self, now: Nanos, does: &mut Vec<Does>) {
        let most = ms(self.settings.idle_close) - ms(250.0);
        for (&server, rested) in &mut self.idle {
            let before = rested.len();
            rested.retain(|&(since, _)| now - since < most);
            if rested.len() < before {
                does.push(Does::Closed(server, (before - rested.len()) as u32));
            }
        }
        self.idle.retain(|_, rested| !rested.is_empty());
    }

    /// The attempt, if it is still out.
    pub fn in_flight_attempt(&mut self, id: u32, number: u32) -> Option<(&mut InFlightAttempt, u64)> {
        let open = self.open.get_mut(&id)?;
        let request = open.request;
        open.out.iter_mut().find(|o| o.number == number).map(|out| (out, request))
    }

    /// Whether an attempt's first byte may be written now.
    pub fn may_be_written(&self, now: Nanos, id: u32, server: usize, until: Nanos) -> bool {
        let over = self.open.get(&id).is_none_or(|o| o.answered);
        let closed = self.gates.get(&server).is_some_and(|&at| now >= at);
        !over && now < until && (!closed || self.mutant == Mutant::DrainsIgnored)
    }

    /// An attempt has ended, and its connection is kept or closed; only the first end counts.
    pub fn ended(
        &mut self,
        now: Nanos,
        (id, number): (u32, u32),
        ending: Ending,
        kept: Option<u32>,
        does: &mut Vec<Does>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(k) = open.out.iter().position(|o| o.number == number) else { return };
        let out = open.out.swap_remove(k);
        if ending == Ending::Ok && !open.answered {
            open.answered = true;
            does.push(Does::Answer(open.request, 200, 0.0));
        }
        let closed = open.answered;
        // A module that takes what may have run for what never did sends it again.
        let believed = match ending {
            Ending::Reset | Ending::Timeout | Ending::Error
                if self.mutant == Mutant::EffectsForgotten && open.once =>
            {
                Ending::ConnectFailed
            }
            ending => ending,
        };
        let shut = self.gates.contains_key(&out.server);
        match kept.filter(|_| out.connected && !shut) {
            Some(epoch) => self.idle.entry(out.server).or_default().push((now, epoch)),
            None => does.push(Does::Closed(out.server, u32::from(out.connected))),
        }
        self.forget(id);
        let duration = (now - out.sent) as f64 / 1e6;
        let (request, attempt) = (RequestId(id), number);
        self.feed(now, Event::Outcome { request, attempt, ending: believed, duration, closed }, does);
    }

    fn forget(&mut self, id: u32) {
        let over = self.open.get(&id).is_some_and(|o| o.answered && o.out.is_empty());
        if over && self.mutant != Mutant::NothingForgotten {
            self.open.remove(&id);
        }
    }

    fn answers(&mut self, id: u32, status: u16, pause: f64, does: &mut Vec<Does>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let lost = self.mutant == Mutant::AnswersForgotten && open.request % 50 == 7;
        if !std::mem::replace(&mut open.answered, true) && !lost {
            does.push(Does::Answer(open.request, status, pause));
        }
        self.forget(id);
    }

    /// Hands the module an event, and what follows at once from that.
    fn feed(&mut self, now: Nanos, event: Event, does: &mut Vec<Does>) {
        let clock = self.clock(now);
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(clock, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.perform(now, action, does);
            }
        }
    }

    fn perform(&mut self, now: Nanos, action: Action, does: &mut Vec<Does>) {
        match action {
            Action::Send { request, upstream, timeout } => {
                self.sends(now, request.0, upstream, timeout, does)
            }
            Action::Cancel { request, attempt } => {
                self.ended(now, (request.0, attempt), Ending::Cancelled, None, does);
            }
            Action::Refuse { request, retry_after } => self.answers(request.0, 503, retry_after, does),
            Action::Fail { request } => self.answers(request.0, 502, 0.0, does),
            Action::CloseIdle(upstream) => {
                let server = self.names.get(&upstream).copied();
                if let Some((server, rested)) = server.and_then(|s| self.idle.remove(&s).map(|r| (s, r))) {
                    does.push(Does::Closed(server, rested.len() as u32));
                }
            }
            Action::Subscribe => does.push(Does::Ask),
            Action::SetTimer { after, token } => does.push(Does::Timer(ms(after.max(0.0)), token)),
            Action::Log(_) => {}
        }
    }

    fn sends(&mut self, now: Nanos, id: u32, to: UpstreamId, timeout: Millis, does: &mut Vec<Does>) {
        let clock = self.clock(now);
        let server = self.newest.or(self.names.get(&to).copied());
        let Some(open) = self.open.get_mut(&id) else { return };
        let number = open.sends;
        open.sends += 1;
        let (Some(server), false) = (server, open.answered) else {
            let (request, attempt, closed) = (RequestId(id), number, open.answered);
            let moot = Event::Outcome { request, attempt, ending: Ending::Moot, duration: 0.0, closed };
            return self.events.push_back(moot);
        };
        let left = (open.deadline - clock).max(0.0);
        let until = now + ms(if timeout > 0.0 { timeout.min(left) } else { left });
        open.out.push(InFlightAttempt { number, server, sent: now, until, connected: false });
        does.push(Does::Send(id, number, server));
    }
}
