//! The run: callers, balancers, upstreams, network and registry on one clock. Everything that happens is a `Happening`,
//! and there is a method for each.
use crate::agenda::{ms, Agenda, Nanos};
use crate::draw::Draws;
use crate::instance::{Does, Instance, Line, Process, BEGAN};
use crate::invariant_checks::{Judge, Violation};
use crate::mutant::Mutant;
use crate::scenario::{Fault, FaultKind, Scenario, TIER_WORK};
use crate::score::{Counted, End, Score};
use crate::server::{Place, Server};
use balancer::{Class, DedupScope, Effect, Ending, Settings, Tenant};
use discovery::endpoint::{EndpointState, SourceUpdate};
use fnv::FnvHashMap;
use hashing::Digest;
use lifecycle::{Action as Act, Event as Life, State as Lives};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the group's memory of a key lasts.
const WINDOW: Nanos = 4_000_000_000;
/// A connection that is not up after this long counts as refused.
const DIAL: Nanos = 250_000_000;
/// How often idle connections are looked through.
const SWEEP: Nanos = 250_000_000;
/// How long after its caller's patience a request is judged.
const AFTER: Nanos = 1_000_000_000;
/// How long the front takes to notice that a balancer is gone, in milliseconds.
const FRONT: (f64, f64) = (1700.0, 3600.0);
/// A second try of an operation that nobody could be reached for.
const UNREACHED: Nanos = 20_000_000;
/// The part of capacity that is stated as quotas.
const QUOTA: f64 = 0.52;
/// A process comes back after this long.
const RETURN_DELAY: Nanos = 300_000_000;
/// Where a process ends, its counts are taken this often.
const COUNT: Nanos = 100_000_000;
/// What a club sends beyond its share is worth this part.
const OVER_SHARE: f64 = 0.05;
/// What a caller's repeat is worth, and repeats for each first try of a club, where budgets are on.
const RETRY_WEIGHT: f64 = 0.25;
/// See [`RETRY_WEIGHT`].
const CLUB_REPEATS: f64 = 0.1;
/// Most events of a run: one that goes on for ever is a defect.
const MAX_EVENTS: u64 = 500_000_000;

/// An attempt: of which process, and its ids there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    of: Process,
    id: u32,
    number: u32,
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Operation(u64),
    Job(u64),
}

struct Request {
    caller: Caller,
    class: usize,
    club: usize,
    key: u64,
    /// Yardstick seconds of the whole.
    work: f64,
    instance: usize,
    until: Nanos,
    over: bool,
}

/// What a client wants done: a first try and its retries.
struct Operation {
    counted: Counted,
    key: u64,
    work: f64,
    deadline: Nanos,
    tries: usize,
    waits_for: u64,
}

/// A request at an upstream.
struct Job {
    request: u64,
    server: usize,
    epoch: u32,
    attempt: Attempt,
    /// What it does next: 0 work, 1 waiting on others, and then at the first tier calls and work by turns.
    step: usize,
    calls: usize,
    /// Yardstick seconds of each piece of work, and of the connection that it came on.
    piece: f64,
    extra: f64,
    waits: f64,
    /// A repeat that its group drops.
    repeat: bool,
    /// Its answer is cut off.
    cut: bool,
    waits_for: Option<u64>,
}

enum Happening {
    Arrival,
    Offer(u64),
    Reached(u64),
    Timer(Process, u32),
    Due(Attempt),
    Write { attempt: Attempt, server: usize, dialled: bool },
    Arrived { attempt: Attempt, request: u64, server: usize, epoch: u32, fresh: bool, lost: bool },
    Cpu(usize, u64),
    Waited(u64),
    Back { attempt: Attempt, ending: Ending, kept: Option<u32> },
    Answer(u64, u16, f64),
    Patience(u64),
    Left(Process, u64),
    Judge(u64),
    News(Process, Line),
    List(Process),
    Live(Process),
    Count(Process),
    Start(usize),
    Stop(usize),
    Front(usize, bool),
    Sweep(Process),
    Begins(usize),
    Ends(usize),
    Restarts(usize),
    Forget,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// What callers got.
    pub score: Score,
    /// Rules that were broken, the first of them, and what has grown.
    pub violations: Vec<Violation>,
    /// How many there were.
    pub broken: u64,
    /// What did not come back to its idle size: which, and its size.
    pub grown: Vec<(String, usize)>,
    /// The digest of all that happened, in order.
    pub digest: u64,
    /// Events, requests to balancers, and attempts.
    pub events: u64,
    /// See `events`.
    pub requests: u64,
    /// See `events`.
    pub attempts: u64,
    /// The part of upstreams that crowding slowed at some time.
    pub slowed: f64,
}

impl Report {
    /// Whether every rule held and nothing grew.
    pub fn sound(&self) -> bool {
        self.broken == 0 && self.grown.is_empty()
    }
}

/// See the module's page.
pub struct World<'s> {
    scenario: &'s Scenario,
    agenda: Agenda<Happening>,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    /// Balancers that the front deals clients to.
    front: Vec<usize>,
    /// What the registry says of each upstream.
    lines: Vec<Line>,
    /// When each instance hears next, so that news come in order.
    heard: Vec<Nanos>,
    silent_until: Nanos,
    /// The connections that rested for longer are dropped on the way.
    stale: Option<Nanos>,
    flood: Option<(usize, f64)>,
    grown: f64,
    operations: FnvHashMap<u64, Operation>,
    requests: FnvHashMap<u64, Request>,
    jobs: FnvHashMap<u64, Job>,
    /// When a group saw a key last.
    keys: FnvHashMap<(u16, u64), Nanos>,
    /// What each club may still send within its share.
    shares: Vec<(f64, Nanos)>,
    number: u64,
    judge: Judge,
    score: Score,
    digest: Digest,
    events: u64,
    asked: u64,
    attempts: u64,
    slowed: Vec<bool>,
    clients: Draws,
    net: Draws,
    work: Draws,
    news: Draws,
    does: Vec<Does>,
}

/// Plays a run to its end.
pub fn play(scenario: &Scenario, mutant: Mutant) -> Report {
    let mut world = World::new(scenario, mutant);
    while let Some(what) = world.agenda.turn() {
        world.events += 1;
        if world.events > MAX_EVENTS {
            break;
        }
        world.happens(what);
    }
    world.report()
}

fn settings(scenario: &Scenario, tier: usize, index: usize) -> Settings {
    let classes = scenario.classes.iter().map(|c| Class {
        objective: c.wanted,
        deadline: c.deadline,
        effect: match c.keyed {
            true => Effect::Guarded { scope: DedupScope::Cell, window: 4000.0 },
            false => Effect::SingleShot,
        },
        late_worth: c.late_worth,
        runs_in: None,
        kinds_only: None,
    });
    let calls = if tier == 0 { 1.0 } else { scenario.calls.0 as f64 + scenario.calls.1 };
    let quota = |share: f64| QUOTA * scenario.capacity * calls * share;
    let balancers = if tier == 0 { scenario.size.balancers } else { scenario.size.portals };
    Settings {
        index: index as u32,
        balancers: u32::from(balancers),
        stage: tier as u32,
        classes: classes.collect(),
        tenants: scenario
            .clubs
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
        tenant_retries: if scenario.budgets { CLUB_REPEATS } else { 0.0 },
        ..Settings::default()
    }
}

impl<'s> World<'s> {
    fn new(scenario: &'s Scenario, mutant: Mutant) -> World<'s> {
        let seed = scenario.seed;
        let mut servers = Vec::new();
        let mut d = Draws::new(seed, "groups", 0);
        let portals = scenario.builds[0].len();
        for (tier, builds) in scenario.builds.iter().enumerate() {
            let cell = 4 + d.below(5);
            for (k, build) in builds.iter().enumerate() {
                servers.push(Server::new((1000 * tier + k / cell) as u16, build.clone()));
            }
        }
        let balancers = usize::from(scenario.size.balancers);
        let mut d = Draws::new(seed, "clocks", 0);
        let mut skew = || if scenario.skew > 0.0 { d.between((-scenario.skew, scenario.skew)) } else { 0.0 };
        let mut instances = Vec::new();
        for k in 0..balancers + portals {
            let (tier, index) = if k < balancers { (0, k) } else { (1, k - balancers) };
            let seed = Draws::new(seed, "instance", k).bits();
            instances.extend(Instance::new(settings(scenario, tier, index), seed, skew(), mutant));
        }
        let lines = servers.iter().enumerate().map(|(server, s)| Line {
            server,
            group: s.group,
            standing: Some(EndpointState::Ready),
            started: 0.0,
        });
        let lines: Vec<Line> = lines.collect();
        let heard = vec![0; instances.len()];
        let mut world = World {
            scenario,
            agenda: Agenda::default(),
            slowed: vec![false; servers.len()],
            instances,
            servers,
            front: Vec::new(),
            lines,
            heard,
            silent_until: 0,
            stale: None,
            flood: None,
            grown: 1.0,
            operations: FnvHashMap::default(),
            requests: FnvHashMap::default(),
            jobs: FnvHashMap::default(),
            keys: FnvHashMap::default(),
            shares: scenario.clubs.iter().map(|_| (1.0, 0)).collect(),
            number: 0,
            judge: Judge::default(),
            score: Score::default(),
            digest: Digest::default(),
            events: 0,
            asked: 0,
            attempts: 0,
            clients: Draws::new(seed, "clients", 0),
            net: Draws::new(seed, "network", 0),
            work: Draws::new(seed, "work", 0),
            news: Draws::new(seed, "news", 0),
            does: Vec::new(),
        };
        // What comes up with a trouble is not there yet, nor the instances of those.
        for k in portals - scenario.reserve.min(portals)..portals {
            world.servers[k].up = false;
            world.lines[k].standing = None;
            world.instances[balancers + k].up = false;
        }
        let start = Draws::new(seed, "start", 0).between((110.0, 880.0));
        let mut d = Draws::new(seed, "starts", 0);
        for k in 0..world.instances.len() {
            if world.instances[k].up {
                world.instances[k].up = false;
                world.agenda.at(ms(d.between((0.0, start))), Happening::Start(k));
            }
        }
        for (k, t) in scenario.troubles.iter().enumerate() {
            world.agenda.at(t.at, Happening::Begins(k));
        }
        world.agenda.at(ms(1500.0), Happening::Arrival);
        world.agenda.at(WINDOW, Happening::Forget);
        world
    }

    fn balancers(&self) -> usize {
        usize::from(self.scenario.size.balancers)
    }

    fn portals(&self) -> usize {
        self.scenario.builds[0].len()
    }

    fn fresh(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// One way between processes.
    fn way(&mut self) -> Nanos {
        let way = self.scenario.way.0;
        ms(way * (1.0 + self.net.exponential(0.2)))
    }

    fn of(&self, instance: usize) -> Process {
        Process { instance, epoch: self.instances[instance].epoch }
    }

    fn runs(&self, of: Process) -> bool {
        let i = &self.instances[of.instance];
        i.up && i.epoch == of.epoch
    }

    fn note(&mut self, tag: u64, a: u64, b: u64) {
        for n in [self.agenda.now(), tag, a, b] {
            self.digest.write_u64(n);
        }
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Arrival => self.arrival(),
            Happening::Offer(op) => self.offer(op),
            Happening::Reached(request) => self.reached(request),
            Happening::Timer(of, token) if self.runs(of) => {
                let now = self.agenda.now();
                self.instances[of.instance].wakes(now, token, &mut self.does);
                self.carry_out(of.instance);
            }
            Happening::Due(attempt) => self.ended(attempt, Ending::Timeout, None),
            Happening::Write { attempt, server, dialled } => self.write(attempt, server, dialled),
            Happening::Arrived { attempt, request, server, epoch, fresh, lost } => {
                self.arrived(attempt, request, (server, epoch), fresh, lost);
            }
            Happening::Cpu(server, version) => self.cpu(server, version),
            Happening::Waited(job) => self.step(job),
            Happening::Back { attempt, ending, kept } => self.ended(attempt, ending, kept),
            Happening::Answer(request, status, pause) => self.answer(request, status, pause),
            Happening::Patience(request) => self.patience(request),
            Happening::Left(of, request) if self.runs(of) => {
                let now = self.agenda.now();
                self.instances[of.instance].left(now, request, &mut self.does);
                self.carry_out(of.instance);
            }
            Happening::Judge(request) => {
                self.requests.remove(&request);
                self.judge.over(request);
            }
            Happening::News(of, line) if self.runs(of) => self.hears(of.instance, line),
            Happening::List(of) if self.runs(of) => self.listed(of.instance),
            Happening::Live(of) if self.runs(of) => self.lives(of.instance, Life::Timeout),
            Happening::Count(of) if self.runs(of) => self.counts(of),
            Happening::Start(instance) => self.starts(instance),
            Happening::Stop(instance) if self.instances[instance].up => self.lives(instance, Life::Stop),
            Happening::Front(instance, takes) => self.noticed(instance, takes),
            Happening::Sweep(of) if self.runs(of) => {
                let now = self.agenda.now();
                self.instances[of.instance].sweeps(now, &mut self.does);
                self.carry_out(of.instance);
                if self.busy() {
                    self.agenda.after(SWEEP, Happening::Sweep(of));
                }
            }
            Happening::Begins(k) => self.begins(self.scenario.troubles[k], k),
            Happening::Ends(k) => self.passes(self.scenario.troubles[k]),
            Happening::Restarts(server) => self.restarts(server),
            Happening::Forget => {
                let now = self.agenda.now();
                self.keys.retain(|_, at| now - *at < WINDOW);
                if self.busy() {
                    self.agenda.after(WINDOW, Happening::Forget);
                }
            }
            Happening::Timer(..)
            | Happening::Left(..)
            | Happening::News(..)
            | Happening::List(_)
            | Happening::Live(_)
            | Happening::Count(_)
            | Happening::Stop(_)
            | Happening::Sweep(_) => {}
        }
    }

    /// Whether load still comes, or something of it is open.
    fn busy(&self) -> bool {
        self.agenda.now() < self.load_ends() || !self.requests.is_empty() || !self.jobs.is_empty()
    }

    fn load_ends(&self) -> Nanos {
        self.scenario.ends + ms(1500.0)
    }

    // --- callers ---

    fn arrival(&mut self) {
        let now = self.agenda.now();
        let s = self.scenario;
        if now >= self.load_ends() {
            return;
        }
        let rate = s.rate(now - ms(1500.0)) * self.grown;
        let sent: Vec<f64> = (0..s.clubs.len())
            .map(|k| {
                let (share, usage) = s.clubs[k];
                let flood = self.flood.filter(|&(club, _)| club == k).map_or(1.0, |(_, times)| times);
                share * usage * flood
            })
            .collect();
        let usual: f64 = s.clubs.iter().map(|&(share, usage)| share * usage).sum();
        let all: f64 = sent.iter().sum();
        let gap = self.clients.exponential(1.0 / (rate * all / usual).max(0.01));
        self.agenda.after(ms(gap * 1000.0).max(1), Happening::Arrival);
        let mut at = self.clients.unit() * all;
        let club = sent.iter().position(|&part| {
            at -= part;
            at < 0.0
        });
        let club = club.unwrap_or(sent.len() - 1);
        let mut part = self.clients.unit();
        let class = s.classes.iter().position(|c| {
            part -= c.part;
            part < 0.0
        });
        let class = class.unwrap_or(s.classes.len() - 1);
        let c = &s.classes[class];
        // Its share of capacity, with a second of it saved up at the most.
        let allowed = s.capacity * self.grown * s.clubs[club].0;
        let (saved, since) = self.shares[club];
        let saved = (saved + allowed * (now - since) as f64 / 1e9).min(allowed.max(1.0));
        let within = saved >= 1.0;
        self.shares[club] = (if within { saved - 1.0 } else { saved }, now);
        let counted = Counted {
            class,
            club,
            at: now,
            worth: if within { 1.0 } else { OVER_SHARE },
            late_worth: c.late_worth,
            wanted: ms(c.wanted),
            within,
        };
        let work = self.work.lognormal(c.work, c.cv);
        let (op, key, deadline) = (self.fresh(), self.fresh(), now + ms(c.deadline));
        self.operations.insert(op, Operation { counted, key, work, deadline, tries: 0, waits_for: 0 });
        self.offer(op);
    }

    fn offer(&mut self, op: u64) {
        let now = self.agenda.now();
        let s = self.scenario;
        let Some(o) = self.operations.get(&op) else { return };
        let class = o.counted.class;
        let patience = ms(s.classes[class].deadline * s.try_part).min(o.deadline.saturating_sub(now));
        if patience < ms(1.0) {
            return self.concludes(op, End::Failed);
        }
        if self.front.is_empty() {
            return self.agenda.after(UNREACHED, Happening::Offer(op));
        }
        let instance = self.front[self.clients.below(self.front.len())];
        let (club, key, work) = (o.counted.club, o.key, o.work);
        let request = self.sends(Caller::Operation(op), instance, (class, club), (key, work), patience);
        if let Some(o) = self.operations.get_mut(&op) {
            o.waits_for = request;
        }
        let way = ms(s.way.1);
        self.agenda.after(way, Happening::Reached(request));
    }

    fn sends(
        &mut self,
        caller: Caller,
        instance: usize,
        (class, club): (usize, usize),
        (key, work): (u64, f64),
        patience: Nanos,
    ) -> u64 {
        let now = self.agenda.now();
        let request = self.fresh();
        let until = now + patience;
        let fresh = Request { caller, class, club, key, work, instance, until, over: false };
        self.requests.insert(request, fresh);
        let keyed = self.scenario.classes[class].keyed;
        let effect = if keyed { invariants::Effect::Keyed } else { invariants::Effect::Unsafe };
        self.judge.sent(now, request, effect, patience);
        self.agenda.at(until, Happening::Patience(request));
        self.agenda.at(until + AFTER, Happening::Judge(request));
        request
    }

    /// A request has come to its balancer, whole.
    fn reached(&mut self, request: u64) {
        let now = self.agenda.now();
        let Some(r) = self.requests.get(&request) else { return };
        let (instance, class, club) = (r.instance, r.class, r.club);
        let i = &self.instances[instance];
        // New connections are refused; callers use those that they have for as long as these stay open.
        let takes = match i.life.state() {
            Lives::Draining => i.up && self.clients.chance(0.5),
            _ => i.up && i.accepting,
        };
        if !takes {
            self.judge.unsent(request);
            let Some(r) = self.requests.get_mut(&request) else { return };
            r.over = true;
            return match r.caller {
                Caller::Operation(op) => self.agenda.after(UNREACHED, Happening::Offer(op)),
                Caller::Job(job) => self.fails(job),
            };
        }
        let patience = r.until.saturating_sub(now) as f64 / 1e6;
        // Marked by its caller, where budgets are on.
        let tries = |op| self.operations.get(op).map_or(0, |o| o.tries);
        let repeat = matches!(&r.caller, Caller::Operation(op) if self.scenario.budgets && tries(op) > 0);
        self.asked += 1;
        self.note(1, request, instance as u64);
        let given = (patience, if repeat { RETRY_WEIGHT } else { 1.0 });
        self.instances[instance].takes(now, request, (class, club), given, &mut self.does);
        self.carry_out(instance);
    }

    fn answer(&mut self, request: u64, status: u16, pause: f64) {
        let now = self.agenda.now();
        self.note(2, request, u64::from(status));
        self.judge.answered(now, request, status);
        let Some(r) = self.requests.get_mut(&request) else { return };
        if std::mem::replace(&mut r.over, true) {
            return;
        }
        match r.caller {
            Caller::Operation(op) => self.settles(op, status, pause),
            Caller::Job(job) if status == 200 => {
                if let Some(j) = self.jobs.get_mut(&job).filter(|j| j.waits_for == Some(request)) {
                    j.waits_for = None;
                    self.step(job);
                }
            }
            Caller::Job(job) => self.fails(job),
        }
    }

    /// A try of an operation has ended with this; 0: without an answer.
    fn settles(&mut self, op: u64, status: u16, pause: f64) {
        let now = self.agenda.now();
        let s = self.scenario;
        let Some(o) = self.operations.get_mut(&op) else { return };
        o.tries += 1;
        let again = o.tries <= s.retries && now < o.deadline;
        let keyed = s.classes[o.counted.class].keyed;
        let at = o.counted.at;
        match status {
            200 => self.concludes(op, End::Served(now - at)),
            429 | 503 if again => {
                let heeds = self.clients.chance(s.heeds);
                let pause = if heeds { s.pause.max(ms(pause)) } else { s.pause };
                self.agenda.after(pause, Happening::Offer(op));
            }
            429 | 503 => self.concludes(op, End::Refused),
            _ if again && keyed => self.agenda.after(s.pause, Happening::Offer(op)),
            _ => self.concludes(op, End::Failed),
        }
    }

    fn concludes(&mut self, op: u64, end: End) {
        if let Some(o) = self.operations.remove(&op) {
            self.score.ended(&o.counted, end);
        }
    }

    /// The caller of a request has stopped waiting.
    fn patience(&mut self, request: u64) {
        let Some(r) = self.requests.get_mut(&request) else { return };
        if std::mem::replace(&mut r.over, true) {
            return;
        }
        let (caller, instance) = (r.caller, r.instance);
        let (way, of) = (self.way(), self.of(instance));
        self.agenda.after(way, Happening::Left(of, request));
        match caller {
            Caller::Operation(op) => self.settles(op, 0, 0.0),
            Caller::Job(job) => self.fails(job),
        }
    }

    // --- balancers ---

    /// Does what an instance wants.
    fn carry_out(&mut self, instance: usize) {
        let of = self.of(instance);
        let tier = self.instances[instance].tier;
        let does = std::mem::take(&mut self.does);
        for one in does {
            match one {
                Does::Answer(request, status, pause) => {
                    let way = if tier == 0 { ms(self.scenario.way.1) } else { self.way() / 4 };
                    self.agenda.after(way, Happening::Answer(request, status, pause));
                }
                Does::Send(id, number, server) => self.dials(Attempt { of, id, number }, server),
                Does::Timer(after, token) => {
                    // Cycles go on for ever; a run does not.
                    if self.busy() {
                        self.agenda.after(after, Happening::Timer(of, token));
                    }
                }
                Does::Ask => {
                    let after = ms(self.news.between((50.0, 430.0)));
                    self.agenda.after(after, Happening::List(of));
                }
                Does::Closed(server, n) => {
                    let s = &mut self.servers[server];
                    s.connections = s.connections.saturating_sub(n);
                }
            }
        }
    }

    /// An attempt is on its way: on a kept connection, or on a new one.
    fn dials(&mut self, attempt: Attempt, server: usize) {
        let now = self.agenda.now();
        self.attempts += 1;
        self.note(3, u64::from(attempt.id), server as u64);
        let of = attempt.of.instance;
        if let Some((out, _)) = self.instances[of].in_flight_attempt(attempt.id, attempt.number) {
            let until = out.until;
            self.agenda.at(until, Happening::Due(attempt));
        }
        let epoch = self.servers[server].epoch;
        let rested = self.instances[of].connection(now, server, epoch, &mut self.does);
        self.carry_out(of);
        match rested {
            Some(rested) => {
                if let Some((out, _)) = self.instances[of].in_flight_attempt(attempt.id, attempt.number) {
                    out.connected = true;
                }
                let lost = self.stale.is_some_and(|most| rested > most);
                self.written(attempt, server, false, lost);
            }
            None => {
                let (up, hung) = (self.servers[server].up, self.servers[server].hung);
                let trips = self.scenario.handshake.1;
                let takes = match (up, hung) {
                    (true, false) => ms(2.0 * trips * self.scenario.way.0),
                    (true, true) => DIAL,
                    (false, _) => 2 * self.way(),
                };
                let dialled = up && !hung;
                self.agenda.after(takes, Happening::Write { attempt, server, dialled });
            }
        }
    }

    /// A new connection is up, or will not come up.
    fn write(&mut self, attempt: Attempt, server: usize, dialled: bool) {
        if !self.runs(attempt.of) {
            return;
        }
        let s = &mut self.servers[server];
        if !dialled || !s.up || s.connections >= s.build.connections {
            return self.ended(attempt, Ending::ConnectFailed, None);
        }
        let Some((out, _)) =
            self.instances[attempt.of.instance].in_flight_attempt(attempt.id, attempt.number)
        else {
            return;
        };
        out.connected = true;
        s.connections += 1;
        self.written(attempt, server, true, false);
    }

    /// The attempt is written, unless it is too late for that.
    fn written(&mut self, attempt: Attempt, server: usize, fresh: bool, lost: bool) {
        let now = self.agenda.now();
        let of = attempt.of.instance;
        let Some((out, request)) = self.instances[of].in_flight_attempt(attempt.id, attempt.number) else {
            return;
        };
        let until = out.until;
        if !self.instances[of].may_be_written(now, attempt.id, server, until) {
            return self.ended(attempt, Ending::Moot, None);
        }
        self.judge.begun(now, request, of, server);
        let (epoch, way) = (self.servers[server].epoch, self.way());
        self.agenda.after(way, Happening::Arrived { attempt, request, server, epoch, fresh, lost });
    }

    fn ended(&mut self, attempt: Attempt, ending: Ending, kept: Option<u32>) {
        if !self.runs(attempt.of) {
            return;
        }
        let now = self.agenda.now();
        let of = attempt.of.instance;
        self.note(4, u64::from(attempt.id), ending as u64);
        self.instances[of].ended(now, (attempt.id, attempt.number), ending, kept, &mut self.does);
        self.carry_out(of);
    }

    fn lives(&mut self, instance: usize, event: Life) {
        let now = self.agenda.now();
        let of = self.of(instance);
        for action in self.instances[instance].lives(now, event) {
            match action {
                Act::Accept => self.instances[instance].accepting = true,
                Act::NotifyReady => {
                    self.agenda.after(ms(50.0), Happening::Front(instance, true));
                }
                // Whoever asks hears that it is not ready any more; the front asks now and then.
                Act::NotifyStopping => {
                    let after = ms(self.news.between(FRONT)) / 8;
                    self.agenda.after(after, Happening::Front(instance, false));
                    self.agenda.after(COUNT, Happening::Count(of));
                }
                Act::StopAccepting => self.instances[instance].accepting = false,
                Act::AnswerBy(at) => self.instances[instance].answers_by(at),
                Act::FailOpenRequests => {
                    self.instances[instance].fails_all(now, &mut self.does);
                    self.carry_out(instance);
                }
                Act::Exit(_) => {
                    self.process_ends(instance, false);
                    return self.agenda.after(RETURN_DELAY, Happening::Start(instance));
                }
                _ => {}
            }
        }
        if let Some(wake) = self.instances[instance].life.next_timeout() {
            let born = self.instances[instance].born;
            self.agenda.at(born.saturating_add(wake.as_nanos() as Nanos), Happening::Live(of));
        }
    }

    fn counts(&mut self, of: Process) {
        let requests = self.instances[of.instance].unanswered();
        self.lives(of.instance, Life::OpenCounts { requests, connections: requests });
        if self.runs(of) {
            self.agenda.after(COUNT, Happening::Count(of));
        }
    }

    /// A process of an instance is gone. What a killed one held is its callers' to send again.
    fn process_ends(&mut self, instance: usize, killed: bool) {
        if !self.instances[instance].up {
            return;
        }
        self.note(5, instance as u64, u64::from(killed));
        let (closed, held) = self.instances[instance].ends();
        for (server, n) in closed {
            let s = &mut self.servers[server];
            s.connections = s.connections.saturating_sub(n);
        }
        self.judge.forgets(instance, self.servers.len());
        for request in held {
            if killed {
                self.judge.excused(request);
            }
            // Its caller sees the connection end.
            let Some(r) = self.requests.get_mut(&request).filter(|r| !r.over) else { continue };
            r.over = true;
            match r.caller {
                Caller::Operation(op) => self.settles(op, 0, 0.0),
                Caller::Job(job) => self.fails(job),
            }
        }
        let after = ms(self.news.between(FRONT));
        self.agenda.after(after, Happening::Front(instance, false));
    }

    fn starts(&mut self, instance: usize) {
        let now = self.agenda.now();
        let own = instance.checked_sub(self.balancers());
        // One of the second tier lives and dies with its upstream.
        if self.instances[instance].up || own.is_some_and(|k| !self.servers[k].up) {
            return;
        }
        self.instances[instance].starts(now);
        self.lives(instance, Life::Listening);
        let of = self.of(instance);
        self.agenda.after(ms(self.news.between((50.0, 430.0))), Happening::List(of));
        self.agenda.after(SWEEP, Happening::Sweep(of));
    }

    fn noticed(&mut self, instance: usize, takes: bool) {
        if instance >= self.balancers() {
            return;
        }
        let serves = self.instances[instance].up && self.instances[instance].accepting;
        let stands = takes && serves && self.instances[instance].life.state() == Lives::Ready;
        let at = self.front.iter().position(|&i| i == instance);
        match at {
            None if stands => self.front.push(instance),
            Some(at) if !(takes || serves && self.instances[instance].life.state() <= Lives::Ready) => {
                self.front.swap_remove(at);
            }
            _ => {}
        }
    }

    // --- registry ---

    fn publishes(&mut self, server: usize) {
        let now = self.agenda.now();
        let line = self.lines[server].clone();
        let tier = usize::from(server >= self.portals());
        let (from, to) = self.scenario.notice;
        let late = ms(self.news.between((from, to)));
        let begin = (now + late).max(self.silent_until);
        for instance in 0..self.instances.len() {
            if self.instances[instance].tier != tier {
                continue;
            }
            let at = (begin + ms(self.news.between((0.0, 430.0)))).max(self.heard[instance]);
            self.heard[instance] = at;
            let of = self.of(instance);
            self.agenda.at(at, Happening::News(of, line.clone()));
        }
    }

    fn hears(&mut self, instance: usize, line: Line) {
        let news = match line.standing {
            Some(_) => SourceUpdate::Delta(vec![line.into_report()], Vec::new()),
            None => SourceUpdate::Delta(Vec::new(), vec![crate::instance::name(line.server)]),
        };
        self.tells(instance, news);
    }

    fn listed(&mut self, instance: usize) {
        if self.agenda.now() < self.silent_until {
            return self.tells(instance, SourceUpdate::Unavailable("no answer".into()));
        }
        let tier = self.instances[instance].tier;
        let portals = self.portals();
        let own = |l: &&Line| usize::from(l.server >= portals) == tier && l.standing.is_some();
        let all = self.lines.iter().filter(own).map(|l| l.clone().into_report()).collect();
        self.tells(instance, SourceUpdate::Full(all));
    }

    fn tells(&mut self, instance: usize, news: SourceUpdate) {
        let now = self.agenda.now();
        let failed = matches!(news, SourceUpdate::Unavailable(_));
        let known = self.instances[instance].known;
        for (server, state) in self.instances[instance].update_endpoints(now, news, &mut self.does) {
            self.note(6, instance as u64, server as u64);
            self.judge.notify(now, instance, server, state);
        }
        self.carry_out(instance);
        if !known && self.instances[instance].known {
            self.lives(instance, Life::EndpointsKnown);
        } else if !known && failed && self.busy() {
            let of = self.of(instance);
            self.agenda.after(ms(400.0), Happening::List(of));
        }
    }

    // --- upstreams ---

    fn arrived(
        &mut self,
        attempt: Attempt,
        request: u64,
        (server, epoch): (usize, u32),
        fresh: bool,
        lost: bool,
    ) {
        let now = self.agenda.now();
        let way = self.way();
        let s = &self.servers[server];
        if lost {
            return;
        }
        if !s.up || s.epoch != epoch {
            return self.agenda.after(way, Happening::Back { attempt, ending: Ending::Reset, kept: None });
        }
        let (kept, group, errors, resets) = (Some(epoch), s.group, s.errors, s.resets);
        let back = |ending| Happening::Back { attempt, ending, kept };
        let Some(r) = self.requests.get(&request) else { return };
        let (class, work) = (r.class, r.work);
        if self.work.chance(errors) {
            self.judge.ran(now, request, server, group, Duration::ZERO);
            return self.agenda.after(way + ms(1.0), back(Ending::Error));
        }
        let tier = usize::from(server >= self.portals());
        let s = self.scenario;
        let calls = match tier {
            0 => s.calls.0 + usize::from(self.work.chance(s.calls.1)),
            _ => 0,
        };
        let noise = self.work.lognormal(1.0, 0.3);
        let pieces = if tier == 0 { calls + 1 } else { 2 };
        let job = self.fresh();
        let piece = work * TIER_WORK[tier] * noise / pieces as f64;
        let extra = if fresh { s.handshake.0 } else { 0.0 };
        let cut = self.work.chance(resets);
        self.jobs.insert(
            job,
            Job {
                request,
                server,
                epoch,
                attempt,
                step: 0,
                calls,
                piece,
                extra,
                waits: s.classes[class].waits * TIER_WORK[tier],
                repeat: false,
                cut,
                waits_for: None,
            },
        );
        match self.servers[server].take(now, job) {
            Place::Work => self.begins_work(job),
            Place::Line => {}
            Place::None => {
                self.jobs.remove(&job);
                self.agenda.after(way, back(Ending::Full));
            }
        }
    }

    /// A request at an upstream has come to its turn.
    fn begins_work(&mut self, job: u64) {
        let now = self.agenda.now();
        let Some(j) = self.jobs.get_mut(&job) else { return };
        let (server, request) = (j.server, j.request);
        let s = &self.servers[server];
        let Some(r) = self.requests.get(&request) else {
            // Judged long ago: nobody waits for it.
            return self.finishes(job, Ending::Full);
        };
        if s.build.drops_expired && now >= r.until {
            return self.finishes(job, Ending::Full);
        }
        let keyed = self.scenario.classes[r.class].keyed;
        if keyed {
            let seen = self.keys.insert((s.group, r.key), now);
            j.repeat = seen.is_some_and(|at| now - at < WINDOW);
            if let (true, Some(at)) = (j.repeat, seen) {
                // Remembered from when it first ran.
                self.keys.insert((s.group, r.key), at);
            }
        }
        let work =
            Duration::from_secs_f64(j.piece * if s.group >= 1000 { 2.0 } else { (j.calls + 1) as f64 });
        let group = s.group;
        self.judge.ran(now, request, server, group, if j.repeat { Duration::ZERO } else { work });
        self.step(job);
    }

    /// The next step of a request at an upstream.
    fn step(&mut self, job: u64) {
        let now = self.agenda.now();
        let portals = self.portals();
        let Some(j) = self.jobs.get_mut(&job) else { return };
        let (step, server) = (j.step, j.server);
        if !self.servers[server].up || self.servers[server].epoch != j.epoch {
            return;
        }
        j.step += 1;
        let first = server < portals;
        let works = match step {
            0 => Some(if j.repeat { 1e-4 } else { j.piece } + j.extra),
            _ if j.repeat => None,
            1 => {
                let waits = ms(j.waits * 1000.0);
                return self.agenda.after(waits, Happening::Waited(job));
            }
            _ if first && step - 2 >= 2 * j.calls => None,
            _ if first && step % 2 == 0 => return self.calls(job),
            2 => Some(j.piece),
            _ if first => Some(j.piece),
            _ => None,
        };
        match works {
            Some(seconds) => {
                self.servers[server].works(now, job, seconds);
                self.schedule_server(server);
            }
            None => {
                let cut = j.cut;
                self.finishes(job, if cut { Ending::Reset } else { Ending::Ok });
            }
        }
    }

    /// A request of the first tier calls the second, through the balancer of its upstream.
    fn calls(&mut self, job: u64) {
        let now = self.agenda.now();
        let Some(j) = self.jobs.get(&job) else { return };
        let (server, step) = (j.server, j.step);
        let Some(r) = self.requests.get(&j.request) else { return self.fails(job) };
        let (class, club, key, work) = (r.class, r.club, r.key, r.work);
        let whole = ms(self.scenario.classes[class].deadline);
        let patience = if self.scenario.passes_deadline { r.until.saturating_sub(now) } else { whole };
        if patience < ms(1.0) {
            return self.fails(job);
        }
        let instance = self.balancers() + server;
        // A repeat of the request makes the same calls, with the same keys.
        let key = key.wrapping_mul(31).wrapping_add(step as u64) | 1 << 63;
        let request = self.sends(Caller::Job(job), instance, (class, club), (key, work), patience);
        if let Some(j) = self.jobs.get_mut(&job) {
            j.waits_for = Some(request);
        }
        self.agenda.after(ms(0.05), Happening::Reached(request));
    }

    /// A call of a request at an upstream came to nothing: it answers with an error.
    fn fails(&mut self, job: u64) {
        if self.jobs.get(&job).is_some_and(|j| self.servers[j.server].epoch == j.epoch) {
            self.finishes(job, Ending::Error);
        }
    }

    /// A request at an upstream is over, and the next in line has its turn.
    fn finishes(&mut self, job: u64, ending: Ending) {
        let now = self.agenda.now();
        let Some(j) = self.jobs.remove(&job) else { return };
        let way = self.way();
        let hung = self.servers[j.server].hung;
        let kept = (ending != Ending::Reset).then_some(j.epoch);
        if !hung {
            self.agenda.after(way, Happening::Back { attempt: j.attempt, ending, kept });
        }
        if let Some(next) = self.servers[j.server].complete_request(now) {
            self.begins_work(next);
        }
        self.schedule_server(j.server);
    }

    /// When an upstream is to be looked at next.
    fn schedule_server(&mut self, server: usize) {
        let now = self.agenda.now();
        let s = &self.servers[server];
        self.slowed[server] |= s.slowed();
        if let Some(at) = s.wake(now) {
            self.agenda.at(at, Happening::Cpu(server, s.version));
        }
    }

    fn cpu(&mut self, server: usize, version: u64) {
        if self.servers[server].version != version {
            return;
        }
        let now = self.agenda.now();
        while let Some(job) = self.servers[server].through(now) {
            self.step(job);
        }
        self.schedule_server(server);
    }

    /// An upstream's process ends: what it held is reset.
    fn dies(&mut self, server: usize) {
        let now = self.agenda.now();
        if !self.servers[server].up {
            return;
        }
        self.note(7, server as u64, 0);
        self.servers[server].ends(now);
        // In the order in which they came, not that of a table.
        let gone: BTreeMap<u64, Attempt> =
            self.jobs.iter().filter(|(_, j)| j.server == server).map(|(&job, j)| (job, j.attempt)).collect();
        for (job, attempt) in gone {
            self.jobs.remove(&job);
            let way = self.way();
            self.agenda.after(way, Happening::Back { attempt, ending: Ending::Reset, kept: None });
        }
        if server < self.portals() {
            self.process_ends(self.balancers() + server, true);
        }
    }

    /// Another process of an upstream starts, cold.
    fn restarts(&mut self, server: usize) {
        let now = self.agenda.now();
        if self.servers[server].up {
            return;
        }
        self.servers[server].starts(now);
        let b = &self.servers[server].build;
        let ramp = Duration::from_nanos(b.cold_for);
        let cold = invariants::Cold { cores: b.capacity(), from: b.cold_from, ramp };
        self.judge.started(now, server, cold);
        self.lines[server].standing = Some(EndpointState::Ready);
        self.lines[server].started = BEGAN + now as f64 / 1e6;
        self.publishes(server);
        if server < self.portals() {
            self.starts(self.balancers() + server);
        }
    }

    // --- troubles ---

    fn begins(&mut self, t: Fault, k: usize) {
        let now = self.agenda.now();
        if t.lasts > 0 {
            self.agenda.after(t.lasts, Happening::Ends(k));
        }
        let all = 0..self.servers.len();
        match t.what {
            FaultKind::Crash(s, back) => {
                self.dies(s);
                // The registry notices by itself.
                self.lines[s].standing = None;
                self.publishes(s);
                self.agenda.after(back, Happening::Restarts(s));
            }
            FaultKind::Hang(s) => self.paces(s, |s| s.hung = true),
            FaultKind::Slow(s, times) => self.paces(s, |s| s.slow *= times),
            FaultKind::Errors(s, n, part) => {
                let servers = self.servers.len();
                (s..s + n).for_each(|k| self.servers[k % servers].errors = part);
            }
            FaultKind::Resets(s, part) => self.servers[s].resets = part,
            FaultKind::Stale(most) => self.stale = Some(most),
            FaultKind::Drain(s) => {
                self.lines[s].standing = Some(EndpointState::Draining);
                self.publishes(s);
            }
            FaultKind::Cold(n) => {
                let portals = self.portals();
                for k in portals - n.min(portals)..portals {
                    self.agenda.after(ms(50.0 * (k % 16) as f64), Happening::Restarts(k));
                }
                self.grown = portals as f64 / (portals - n.min(portals - 1)) as f64;
            }
            FaultKind::Flood(club, times) => self.flood = Some((club, times)),
            FaultKind::SharedSlow(times) => all.for_each(|s| self.paces(s, |s| s.slow *= times)),
            FaultKind::Roll(gap) => {
                for k in 0..self.balancers() {
                    // One at a time, as a supervisor does: each waits for its own end.
                    self.agenda.after(gap * k as Nanos, Happening::Stop(k));
                }
            }
            FaultKind::Kill(instance) => {
                self.process_ends(instance, true);
                self.agenda.after(t.lasts, Happening::Start(instance));
            }
            FaultKind::Silence => self.silent_until = now + t.lasts,
        }
    }

    fn passes(&mut self, t: Fault) {
        let all = 0..self.servers.len();
        match t.what {
            FaultKind::Hang(s) => self.paces(s, |s| s.hung = false),
            FaultKind::Slow(s, times) => self.paces(s, |s| s.slow /= times),
            FaultKind::Errors(s, n, _) => {
                let servers = self.servers.len();
                (s..s + n).for_each(|k| self.servers[k % servers].errors = 0.0);
            }
            FaultKind::Resets(s, _) => self.servers[s].resets = 0.0,
            FaultKind::Stale(_) => self.stale = None,
            FaultKind::Drain(s) => {
                self.dies(s);
                self.agenda.after(ms(1000.0), Happening::Restarts(s));
            }
            FaultKind::Flood(..) => self.flood = None,
            FaultKind::SharedSlow(times) => all.for_each(|s| self.paces(s, |s| s.slow /= times)),
            _ => {}
        }
    }

    /// Changes the pace of an upstream.
    fn paces(&mut self, server: usize, change: impl Fn(&mut Server)) {
        let now = self.agenda.now();
        let s = &mut self.servers[server];
        s.reckon(now);
        change(s);
        s.version += 1;
        self.schedule_server(server);
    }

    /// What came of it, once nothing more happens.
    fn report(self) -> Report {
        let mut grown = Vec::new();
        for (k, i) in self.instances.iter().enumerate().filter(|(_, i)| i.up && i.retained_entries() > 0) {
            grown.push((format!("instance {k}"), i.retained_entries()));
        }
        let tables = [
            ("operations", self.operations.len()),
            ("requests", self.requests.len()),
            ("jobs", self.jobs.len()),
            ("stories", self.judge.open()),
        ];
        grown.extend(tables.into_iter().filter(|t| t.1 > 0).map(|(name, n)| (name.to_string(), n)));
        let slowed = self.slowed.iter().filter(|&&s| s).count() as f64 / self.slowed.len().max(1) as f64;
        Report {
            score: self.score,
            violations: self.judge.found,
            broken: self.judge.count,
            grown,
            digest: self.digest.finish(),
            events: self.events,
            requests: self.asked,
            attempts: self.attempts,
            slowed,
        }
    }
}
