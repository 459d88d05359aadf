//! One run.
mod releases;

use crate::judge::{self, Truth};
use crate::plan::{Kindred, Plan, Quality, Variant, AWAY, TROUBLES};
use coordination::limits::Limits;
use coordination::state_machine::{Command, Op, Outcome, SessionId, StateMachine, Transaction};
use coordination::CLOCK_DRIFT_FRACTION;
use disruption::keys::{status_key, BUDGETS, KEY_PREFIX};
use disruption::lease_agent::{GrantedLease, LeaseAgent, Step};
use disruption::{
    BalancerEntry, ConditionalWrite as Writes, DisruptionKind, FleetSnapshot, InstanceState, InstanceStatus,
    Projection, ResourceId,
};
use fleet_simulation::agenda::{ms, Agenda, Nanos};
use fleet_simulation::draw::Draws;
use rollout::BuildId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use supervisor::{
    Action, Event, InstanceState as Stands, ProcessId, RollingAction, Signal, Supervisor, SupervisorPolicy,
};

/// Sessions' time to live.
const TTL: Nanos = 5_000_000_000;
/// After the last trouble, until when all has to have ended.
const HEALED: f64 = 1_500_000.0;
/// Steps of a run, at most; beyond that it goes in a circle.
const STEPS_MOST: u64 = 20_000_000;

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was wrong.
    pub wrong: Vec<String>,
    /// Leaves given.
    pub given: u64,
    /// Leaves that came too late to be used.
    pub late: u64,
    /// Leaves that ended since they were nobody's.
    pub orphans: u64,
    /// Rolls that were done and that were halted.
    pub rolled: u64,
    /// Halted.
    pub halted: u64,
    /// Broken off with their supervisor.
    pub broken: u64,
    /// When the last roll ended, after the first began.
    pub took: Nanos,
    /// Releases that ended whole, and those that went back.
    pub whole: u64,
    /// Back.
    pub back: u64,
    /// Good builds that went back without anybody's word.
    pub false_halts: u64,
    /// Balancers that had a bad build at one time, at most.
    pub touched: usize,
    /// How long a release took, and what it could have taken at the least: the time that instances were out by leave over how
    /// many may be, and the bakes.
    pub release_took: Nanos,
    /// At the least.
    pub release_least: Nanos,
    /// Writes of the record.
    pub writes: u64,
    /// The last steps before it ended, with their times.
    pub course: VecDeque<String>,
}

/// Steps that are told of a run.
const COURSE: usize = 40;

fn span(at: Nanos) -> Duration {
    Duration::from_nanos(at)
}

enum What {
    Start(usize),
    Wake(usize, u64),
    Look(usize, u64),
    /// What an agent wanted reaches the record.
    Apply(usize, u64, Option<Writes>),
    /// And its answer the agent: whether it came, and whether it was asked for a look before leaves are given.
    Answer(usize, u64, bool, bool),
    /// A session is renewed, sent then.
    Renew(Holder),
    Renewed(Holder, Nanos),
    Expire(SessionId, Nanos),
    Proc(usize, usize, ProcessId, Course),
    Told(usize, u64, Event),
    /// Leave that the agent tells its supervisor of.
    Given(usize, u64, GrantedLease),
    Roll(usize, RollingAction),
    /// A supervisor looks after releases.
    Release(usize, u64),
    /// What it writes for them.
    Says(usize, u64, Writes, releases::Said),
    /// The record was read after leave had been given; `None`: it could not be.
    Confirmed(usize, u64, GrantedLease, Option<Box<rollout::RolloutSnapshot>>),
    /// A machine's balancers say what they did.
    Samples(usize),
    /// The operator begins a release.
    Begins,
    /// And says something of it.
    Order(usize),
    Trouble(usize),
    Over(usize),
}

/// Who has a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Supervisor(usize, u64),
    Balancer(usize, usize, ProcessId),
}

#[derive(Clone, Copy, Debug)]
enum Course {
    Ready,
    /// It says in the record how it stands.
    Says,
    Ended,
    Crashes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessPhase {
    Starting,
    Ready,
    /// Told to end.
    Leaving,
    /// Its sockets are another's.
    HandedOver,
}

struct Proc {
    stage: ProcessPhase,
    session: Option<SessionId>,
    said: Option<(SessionId, InstanceState)>,
    /// What it was started from.
    build: BuildId,
    /// When it is started by a supervisor that has gone, the next one has another number for it.
    known_as: ProcessId,
}

#[derive(Default)]
struct Balancer {
    procs: BTreeMap<u64, Proc>,
    out: Option<Nanos>,
    by_act: bool,
}

struct Sup {
    inc: u64,
    agent: LeaseAgent,
    fleet: Supervisor,
    board: FleetSnapshot,
    session: Option<(SessionId, Nanos)>,
    busy: bool,
    looks: bool,
    wakes: Option<Nanos>,
    /// A roll that goes on.
    rolling: bool,
    releases: releases::Part,
    /// The processes that it knows, by the number that it gives them, with their own.
    procs: BTreeMap<ProcessId, (usize, u64)>,
}

#[derive(Default)]
struct Machine {
    sup: Option<Sup>,
    balancers: Vec<Balancer>,
    /// What each balancer's next process is started from; outlives its supervisor.
    kept: Vec<BuildId>,
    down: u32,
    cut: u32,
    cut_whole: u32,
    paused_until: Nanos,
    /// It is stopped for so long when it is given leave next.
    pause_given: Option<Nanos>,
}

struct World {
    agenda: Agenda<What>,
    plan: Plan,
    variant: Variant,
    draws: Draws,
    record: StateMachine,
    /// When each session was renewed last, by the record's clock.
    renewed: BTreeMap<SessionId, Nanos>,
    council_away: u32,
    machines: Vec<Machine>,
    incs: u64,
    procs: u64,
    nonces: u64,
    /// The operator's session.
    operator: SessionId,
    /// Of a release: when it began, and how long instances were out by leave since.
    release: releases::Course,
    report: Report,
}

/// Plays a run.
pub fn play(plan: &Plan, variant: Variant) -> Report {
    let mut machines = Vec::new();
    for _ in 0..plan.machines {
        let balancers = (0..plan.each).map(|_| Balancer::default()).collect();
        let kept = vec![BuildId("old".into()); plan.each];
        machines.push(Machine { balancers, kept, ..Machine::default() });
    }
    let mut world = World {
        agenda: Agenda::default(),
        plan: plan.clone(),
        variant,
        draws: Draws::new(plan.seed, "world", 0),
        record: StateMachine::new(Limits::default()),
        renewed: BTreeMap::new(),
        council_away: 0,
        machines,
        incs: 0,
        procs: 0,
        nonces: 0,
        operator: 0,
        release: releases::Course::default(),
        report: Report::default(),
    };
    world.run();
    world.report
}

fn name(machine: usize, k: usize) -> String {
    format!("m{machine}b{k}")
}

fn zone(machine: usize) -> &'static str {
    ["a", "b", "c"][machine % 3]
}

impl World {
    fn run(&mut self) {
        let budgets = serde_json::to_string(&self.plan.budgets).unwrap_or_default();
        let session = self.open("operator");
        self.operator = session;
        let put = Op::Put { key: BUDGETS.into(), value: budgets, ephemeral: false };
        self.record.apply(&Command::Transaction(Transaction {
            session,
            sequence: 1,
            compares: vec![],
            ops: vec![put],
        }));
        for m in 0..self.plan.machines {
            let at = self.draws.between((0.0, 500.0));
            self.agenda.at(ms(at), What::Start(m));
        }
        for (at, machine, roll) in self.plan.rolls.clone() {
            self.agenda.at(at, What::Roll(machine, roll));
        }
        for k in 0..self.plan.troubles.len() {
            self.agenda.at(self.plan.troubles[k].at, What::Trouble(k));
        }
        self.prepare();
        let end = ms(TROUBLES + AWAY + HEALED);
        let mut steps = 0;
        while let Some(what) = self.agenda.turn() {
            steps += 1;
            if self.agenda.now() > end || self.over() {
                break;
            }
            if steps > STEPS_MOST {
                self.report.wrong.push("it goes in a circle".into());
                return;
            }
            self.happens(what);
            if !self.report.wrong.is_empty() {
                return;
            }
        }
        self.ended();
    }

    /// Whether all is done that this run has.
    fn over(&self) -> bool {
        let now = self.agenda.now();
        let last = self.plan.troubles.iter().map(|t| t.at + t.span).max().unwrap_or(0);
        let rolls = self.plan.rolls.iter().map(|r| r.0).max().unwrap_or(0);
        now > last.max(rolls) + ms(12_000.0) && self.unfinished().is_empty()
    }

    /// What is not as it should be once all is healed.
    fn unfinished(&self) -> Vec<String> {
        let mut all = Vec::new();
        let board = self.board();
        for (m, machine) in self.machines.iter().enumerate() {
            match &machine.sup {
                Some(sup) if sup.fleet.rolling().is_some() => {
                    all.push(format!("m{m} rolls: {:?}", sup.fleet.rolling()))
                }
                None => all.push(format!("m{m} has no supervisor")),
                _ => {}
            }
            for (k, b) in machine.balancers.iter().enumerate() {
                if b.out.is_some() {
                    all.push(format!("{} is out", name(m, k)));
                }
            }
        }
        all.extend(board.leases.iter().map(|(id, l)| format!("leave for {id}: {:?}", l.value)));
        all.extend(board.requests.values().map(|a| format!("asked: {:?}", a.value)));
        all.extend(self.release_unfinished());
        all
    }

    fn ended(&mut self) {
        let left = self.unfinished();
        if !left.is_empty() {
            self.report.wrong.push(format!("not ended when all was healed: {}", left.join("; ")));
        }
    }

    fn board(&self) -> FleetSnapshot {
        let items: Vec<(String, coordination::state_machine::VersionedValue)> =
            self.record.with_prefix(KEY_PREFIX).map(|(key, item)| (key.to_string(), item.clone())).collect();
        FleetSnapshot::from_items(self.record.revision(), &items)
    }

    fn open(&mut self, name: &str) -> SessionId {
        self.nonces += 1;
        let open = Command::OpenSession {
            name: name.into(),
            nonce: self.nonces,
            ttl_ms: TTL / 1_000_000,
            take_over: true,
        };
        match self.record.apply(&open) {
            Outcome::SessionOpened(id) => id,
            _ => 0,
        }
    }

    fn note(&mut self, what: impl FnOnce() -> String) {
        let course = &mut self.report.course;
        if course.len() == COURSE {
            course.pop_front();
        }
        course.push_back(format!("{} ms {}", self.agenda.now() / 1_000_000, what()));
    }

    fn delay(&mut self) -> Nanos {
        let slow = self.draws.chance(0.02);
        ms(if slow { self.draws.between((50.0, 900.0)) } else { self.draws.between((0.5, 12.0)) })
    }

    /// Whether a supervisor, or a balancer, reaches the voters.
    fn reaches(&self, holder: Holder) -> bool {
        let (m, own) = match holder {
            Holder::Supervisor(m, _) => (m, self.machines[m].cut == 0),
            Holder::Balancer(m, ..) => (m, true),
        };
        own && self.machines[m].cut_whole == 0 && self.council_away == 0
    }

    fn sup(&mut self, m: usize, inc: u64) -> Option<&mut Sup> {
        self.machines[m].sup.as_mut().filter(|s| s.inc == inc)
    }

    /// What a stopped supervisor would do now it does when it goes on.
    fn paused(&self, m: usize) -> Option<Nanos> {
        let until = self.machines[m].paused_until;
        (self.agenda.now() < until).then_some(until)
    }

    fn happens(&mut self, what: What) {
        let m = match &what {
            What::Wake(m, _)
            | What::Look(m, _)
            | What::Answer(m, ..)
            | What::Told(m, ..)
            | What::Given(m, ..)
            | What::Release(m, _)
            | What::Confirmed(m, ..)
            | What::Roll(m, _) => Some(*m),
            What::Renew(Holder::Supervisor(m, _)) | What::Renewed(Holder::Supervisor(m, _), _) => Some(*m),
            _ => None,
        };
        if let Some(until) = m.and_then(|m| self.paused(m)) {
            return self.agenda.at(until, what);
        }
        match what {
            What::Start(m) => self.start(m),
            What::Wake(m, inc) => {
                let now = self.agenda.now();
                let Some(sup) = self.sup(m, inc) else { return };
                if sup.wakes.is_none_or(|at| now >= at) {
                    sup.wakes = None;
                }
                self.feed(m, Event::Timeout);
            }
            What::Look(m, inc) => {
                if !self.reaches(Holder::Supervisor(m, inc)) {
                    // It hears of it when it reaches them again.
                    return self.agenda.after(ms(200.0), What::Look(m, inc));
                }
                let mut board = match self.sup(m, inc) {
                    Some(sup) => std::mem::take(&mut sup.board),
                    None => return,
                };
                self.catch_up(&mut board);
                if let Some(sup) = self.sup(m, inc) {
                    (sup.board, sup.looks) = (board, false);
                }
                self.agent(m);
            }
            What::Apply(m, inc, writes) => self.apply(m, inc, writes),
            What::Answer(m, inc, done, look) => self.answer(m, inc, done, look),
            What::Renew(holder) => self.renew(holder),
            What::Renewed(holder, sent) => self.was_renewed(holder, sent),
            What::Expire(session, renewed) => {
                if self.renewed.get(&session) == Some(&renewed) {
                    self.renewed.remove(&session);
                    self.record.apply(&Command::ExpireSession { session });
                    self.changed();
                }
            }
            What::Proc(m, k, process, course) => self.proc(m, k, process, course),
            What::Told(m, inc, event) => {
                if self.sup(m, inc).is_some() {
                    self.feed(m, event);
                }
            }
            What::Given(m, inc, given) => {
                if self.sup(m, inc).is_some() {
                    self.given(m, &given);
                }
            }
            What::Roll(m, roll) => self.roll(m, roll),
            What::Release(m, inc) => self.releases(m, inc),
            What::Says(m, inc, plan, said) => self.release_writes(m, inc, plan, said),
            What::Confirmed(m, inc, given, board) => self.confirmed(m, inc, &given, board),
            What::Samples(m) => self.samples(m),
            What::Begins => self.begins(),
            What::Order(k) => self.order(k),
            What::Trouble(k) => self.trouble(k),
            What::Over(k) => self.heal(k),
        }
    }

    fn catch_up(&self, board: &mut FleetSnapshot) {
        match self.record.events_since(board.revision).filter(|_| board.revision > 0) {
            Some(changes) => {
                for c in changes.filter(|c| c.key.starts_with(KEY_PREFIX)) {
                    board.apply(&c.key, c.value.as_deref(), c.revision);
                }
                board.revision = board.revision.max(self.record.revision());
            }
            None => *board = self.board(),
        }
    }

    /// The record has changed: all who watch it hear of that.
    fn changed(&mut self) {
        for m in 0..self.machines.len() {
            let delay = self.delay();
            let now = self.agenda.now();
            let Some(sup) = &mut self.machines[m].sup else { continue };
            if !std::mem::replace(&mut sup.looks, true) {
                let inc = sup.inc;
                self.agenda.at(now + delay, What::Look(m, inc));
            }
        }
    }

    fn start(&mut self, m: usize) {
        if self.machines[m].down > 0 || self.machines[m].sup.is_some() {
            return;
        }
        self.incs += 1;
        let inc = self.incs;
        let figures = SupervisorPolicy {
            start_interval: Duration::from_millis(20),
            stop_timeout: Duration::from_secs(5),
            ready_timeout: Duration::from_secs(20),
            max_parallel: self.plan.at_once,
            crash_limit: 100,
            requires_lease: true,
            ..SupervisorPolicy::default()
        };
        let mut sup = Sup {
            inc,
            agent: LeaseAgent::new(&format!("m{m}"), self.plan.seed ^ inc),
            fleet: Supervisor::new(self.plan.each, figures),
            board: FleetSnapshot::default(),
            session: None,
            busy: false,
            looks: true,
            wakes: None,
            rolling: false,
            releases: releases::Part::default(),
            procs: BTreeMap::new(),
        };
        let now = span(self.agenda.now());
        for (k, balancer) in self.machines[m].balancers.iter_mut().enumerate() {
            // The one that has the sockets is found by the pid file.
            let has = |p: &Proc| matches!(p.stage, ProcessPhase::Ready | ProcessPhase::Leaving);
            let own =
                balancer.procs.iter().find(|(_, p)| has(p)).or(balancer.procs.iter().next()).map(|(&o, _)| o);
            let found = own.and_then(|own| Some((own, balancer.procs.get_mut(&own)?)));
            if let Some((own, proc)) = found {
                let process = sup.fleet.adopt(now, k, proc.stage == ProcessPhase::Ready);
                proc.known_as = process;
                sup.procs.insert(process, (k, own));
            }
        }
        self.machines[m].sup = Some(sup);
        self.declare(m);
        let delay = self.delay();
        self.agenda.after(delay, What::Look(m, inc));
        self.agenda.after(delay, What::Renew(Holder::Supervisor(m, inc)));
        if self.plan.release.is_some() {
            self.agenda.after(delay, What::Release(m, inc));
        }
        self.feed(m, Event::Timeout);
    }

    fn declare(&mut self, m: usize) {
        let each = self.plan.each;
        let Some(sup) = &mut self.machines[m].sup else { return };
        let unit = |k: usize| BalancerEntry {
            machine: format!("m{m}"),
            zone: zone(m).into(),
            tier: "front".into(),
            down: sup.fleet.instances().get(k).is_none_or(supervisor::Instance::is_down),
        };
        let units = (0..each).map(|k| (name(m, k), unit(k))).collect();
        sup.agent.set_balancers(units);
    }

    /// Tells the supervisor's machine and does what it wants.
    fn feed(&mut self, m: usize, event: Event) {
        let now = self.agenda.now();
        let given = matches!(event, Event::LeaseGranted(_) | Event::Command(supervisor::Command::Replace(_)));
        let mut actions = Vec::new();
        let Some(sup) = &mut self.machines[m].sup else { return };
        sup.fleet.handle(span(now), event, &mut actions);
        let rolling = sup.fleet.rolling().is_some();
        for action in actions {
            self.perform(m, action, given);
        }
        if let Some(sup) = &mut self.machines[m].sup {
            sup.rolling = rolling;
        }
        self.declare(m);
        self.agent(m);
        self.wake(m, None);
    }

    fn wake(&mut self, m: usize, also: Option<Duration>) {
        let now = self.agenda.now();
        let Some(sup) = &mut self.machines[m].sup else { return };
        let at = sup.fleet.next_timeout().into_iter().chain(also).min();
        let Some(at) = at.map(|at| u64::try_from(at.as_nanos()).unwrap_or(u64::MAX).max(now + 1)) else {
            return;
        };
        if sup.wakes.is_none_or(|before| at < before || before <= now) {
            sup.wakes = Some(at);
            let inc = sup.inc;
            self.agenda.at(at, What::Wake(m, inc));
        }
    }

    fn perform(&mut self, m: usize, action: Action, by_leave: bool) {
        self.note(|| format!("m{m} {action:?}"));
        match action {
            Action::Start { instance, process } => self.begin(m, instance, process),
            Action::Signal(process, signal) => self.signal(m, process, signal, by_leave),
            Action::RequestLease { instance, action } => {
                let act = match action {
                    RollingAction::Restart => DisruptionKind::Restart,
                    RollingAction::Handoff => DisruptionKind::Handoff,
                    RollingAction::Reload => DisruptionKind::Reload,
                };
                if let Some(sup) = &mut self.machines[m].sup {
                    sup.agent.request(&name(m, instance), act, "", None);
                }
            }
            Action::ReleaseLease { instance, acted } => {
                if let Some(sup) = &mut self.machines[m].sup {
                    sup.agent.release(&name(m, instance), acted);
                }
            }
            Action::RollFinished(_) => {
                self.report.rolled += 1;
                self.report.took = self.agenda.now();
            }
            Action::RollAborted { .. } => self.report.halted += 1,
            Action::Rejected(_) | Action::CrashLoop { .. } | Action::Stopped => {}
        }
    }

    fn begin(&mut self, m: usize, k: usize, process: ProcessId) {
        self.procs += 1;
        let own = self.procs;
        let build = self.machines[m].kept[k].clone();
        let bad = self.of_new(&build);
        let proc =
            Proc { stage: ProcessPhase::Starting, session: None, said: None, build, known_as: process };
        self.machines[m].balancers[k].procs.insert(own, proc);
        if let Some(sup) = &mut self.machines[m].sup {
            sup.procs.insert(process, (k, own));
        }
        let after = self.draws.between((80.0, 900.0));
        let course = if self.draws.chance(0.01) { Course::Crashes } else { Course::Ready };
        match bad {
            Some(Quality::Never) => {}
            Some(Quality::Crashes) => {
                self.agenda.after(ms(after), What::Proc(m, k, ProcessId(own), Course::Crashes));
            }
            _ => self.agenda.after(ms(after), What::Proc(m, k, ProcessId(own), course)),
        }
        self.touched();
        self.reckon(m, k, false);
    }

    fn signal(&mut self, m: usize, process: ProcessId, signal: Signal, by_leave: bool) {
        let Some(&(k, own)) = self.machines[m].sup.as_ref().and_then(|s| s.procs.get(&process)) else {
            return;
        };
        let Some(proc) = self.machines[m].balancers[k].procs.get_mut(&own) else { return };
        match signal {
            Signal::Terminate => {
                let serving = proc.stage == ProcessPhase::Ready;
                proc.stage = ProcessPhase::Leaving;
                if by_leave && serving {
                    self.acts(m, k);
                }
                self.reckon(m, k, by_leave);
                let says = self.draws.between((0.5, 10.0));
                self.agenda.after(ms(says), What::Proc(m, k, ProcessId(own), Course::Says));
                let ends = self.draws.between((150.0, 700.0));
                self.agenda.after(ms(ends), What::Proc(m, k, ProcessId(own), Course::Ended));
            }
            Signal::Kill => self.agenda.after(0, What::Proc(m, k, ProcessId(own), Course::Crashes)),
            Signal::Reload => {
                let inc = self.machines[m].sup.as_ref().map_or(0, |s| s.inc);
                let after = self.draws.between((5.0, 100.0));
                self.agenda.after(ms(after), What::Told(m, inc, Event::Ready(process)));
            }
        }
    }

    /// Something is done by leave: the record has to have it, for this owner and session, at this moment.
    fn acts(&mut self, m: usize, k: usize) {
        let board = self.board();
        let unit = ResourceId::balancer(name(m, k));
        let session = self.machines[m].sup.as_ref().and_then(|s| s.session).map(|(id, _)| id);
        let leave = board.leases.get(&unit).map(|l| &l.value);
        let good = leave.is_some_and(|l| l.owner == format!("m{m}") && Some(l.session) == session);
        if !good {
            self.report.wrong.push(format!("{unit} is taken out without leave: the record has {leave:?}"));
        }
    }

    /// Whether a balancer serves.
    fn reckon(&mut self, m: usize, k: usize, by_act: bool) {
        let now = self.agenda.now();
        let balancer = &mut self.machines[m].balancers[k];
        let serves = balancer.procs.values().any(|p| p.stage == ProcessPhase::Ready);
        if let (true, Some(since), true) = (serves, balancer.out, balancer.by_act) {
            self.release.out += now - since;
        }
        match (serves, balancer.out) {
            (true, Some(_)) => (balancer.out, balancer.by_act) = (None, false),
            (false, None) => (balancer.out, balancer.by_act) = (Some(now), by_act),
            _ => {}
        }
    }

    fn proc(&mut self, m: usize, k: usize, process: ProcessId, course: Course) {
        let own = process.0;
        if !self.machines[m].balancers[k].procs.contains_key(&own) {
            return;
        }
        match course {
            Course::Ready => self.is_ready(m, k, own),
            Course::Says => self.says(m, k, own),
            Course::Ended | Course::Crashes => {
                self.note(|| format!("{} process {own} {course:?}", name(m, k)));
                let clean = matches!(course, Course::Ended);
                let Some(proc) = self.machines[m].balancers[k].procs.remove(&own) else { return };
                // By its own will it closes its session; else that ends by itself.
                if let (true, Some(session)) = (clean, proc.session) {
                    if self.reaches(Holder::Balancer(m, k, process)) && proc.stage == ProcessPhase::Leaving {
                        self.record.apply(&Command::CloseSession { session });
                        self.renewed.remove(&session);
                        self.changed();
                    }
                }
                self.reckon(m, k, false);
                let status = "it ended".to_string();
                if let Some(inc) = self.machines[m].sup.as_ref().map(|s| s.inc) {
                    let ended = Event::Exited { process: proc.known_as, clean, status };
                    self.agenda.after(ms(1.0), What::Told(m, inc, ended));
                }
            }
        }
    }

    fn is_ready(&mut self, m: usize, k: usize, own: u64) {
        let balancer = &mut self.machines[m].balancers[k];
        let Some(proc) = balancer.procs.get_mut(&own) else { return };
        if proc.stage != ProcessPhase::Starting {
            return;
        }
        proc.stage = ProcessPhase::Ready;
        let said = format!("{} process {own} is ready", name(m, k));
        let known = proc.known_as;
        // Those before it have passed their sockets on to it.
        let old: Vec<u64> = balancer
            .procs
            .iter()
            .filter(|(&o, p)| o != own && p.stage == ProcessPhase::Ready)
            .map(|(&o, _)| o)
            .collect();
        for o in old {
            if let Some(p) = balancer.procs.get_mut(&o) {
                p.stage = ProcessPhase::HandedOver;
            }
            let ends = self.draws.between((500.0, 3_000.0));
            self.agenda.after(ms(ends), What::Proc(m, k, ProcessId(o), Course::Ended));
        }
        self.note(|| said);
        self.reckon(m, k, false);
        if let Some(inc) = self.machines[m].sup.as_ref().map(|s| s.inc) {
            self.agenda.after(ms(1.0), What::Told(m, inc, Event::Ready(known)));
        }
        let delay = self.delay();
        self.agenda.after(delay, What::Renew(Holder::Balancer(m, k, ProcessId(own))));
    }

    /// Says in the record how it stands, if it has a session and reaches the voters.
    fn says(&mut self, m: usize, k: usize, own: u64) {
        if !self.reaches(Holder::Balancer(m, k, ProcessId(own))) {
            return self.agenda.after(ms(300.0), What::Proc(m, k, ProcessId(own), Course::Says));
        }
        let Some(proc) = self.machines[m].balancers[k].procs.get_mut(&own) else { return };
        let state = match proc.stage {
            ProcessPhase::Starting | ProcessPhase::HandedOver => return,
            ProcessPhase::Ready => InstanceState::Ready,
            ProcessPhase::Leaving => InstanceState::ShuttingDown,
        };
        let Some(session) = proc.session.filter(|&s| proc.said != Some((s, state))) else { return };
        let number = proc.said.map_or(1, |(of, _)| if of == session { 2 } else { 1 });
        proc.said = Some((session, state));
        let said = InstanceStatus { state, session, pid: 1, build: proc.build.0.clone() };
        let value = serde_json::to_string(&said).unwrap_or_default();
        let then = vec![Op::Put { key: status_key(&name(m, k)), value, ephemeral: true }];
        let write = Transaction { session, sequence: number, compares: vec![], ops: then };
        self.record.apply(&Command::Transaction(write));
        self.changed();
    }

    /// A session is to be opened or renewed; it reaches the record a moment later, if anything does.
    fn renew(&mut self, holder: Holder) {
        let alive = match holder {
            Holder::Supervisor(m, inc) => self.sup(m, inc).is_some(),
            Holder::Balancer(m, k, p) => self.machines[m].balancers[k].procs.contains_key(&p.0),
        };
        if !alive {
            return;
        }
        let sent = self.agenda.now();
        if self.reaches(holder) {
            let delay = self.delay();
            self.agenda.after(delay, What::Renewed(holder, sent));
        }
        let again = if self.reaches(holder) { TTL / 3 } else { ms(300.0) };
        self.agenda.after(again, What::Renew(holder));
    }

    /// A renewal reached the record, and its answer who sent it: one moment for both, so that the answer is never early.
    fn was_renewed(&mut self, holder: Holder, sent: Nanos) {
        if !self.reaches(holder) {
            return;
        }
        let now = self.agenda.now();
        let (has, named) = match holder {
            Holder::Supervisor(m, inc) => {
                let Some(sup) = self.sup(m, inc) else { return };
                (sup.session.map(|(id, _)| id), format!("supervisor/m{m}"))
            }
            Holder::Balancer(m, k, p) => {
                let Some(proc) = self.machines[m].balancers[k].procs.get(&p.0) else { return };
                if proc.stage == ProcessPhase::HandedOver {
                    return;
                }
                (proc.session, format!("balancer/{}", name(m, k)))
            }
        };
        let session = match has.filter(|&id| self.record.session(id).is_some()) {
            Some(id) => id,
            None => {
                let id = self.open(&named);
                self.changed();
                id
            }
        };
        self.renewed.insert(session, now);
        self.agenda.at(now + TTL + TTL / u64::from(CLOCK_DRIFT_FRACTION), What::Expire(session, now));
        match holder {
            Holder::Supervisor(m, inc) => {
                let Some(sup) = self.sup(m, inc) else { return };
                sup.session = Some((session, sent + TTL - TTL / u64::from(CLOCK_DRIFT_FRACTION)));
                self.agent(m);
            }
            Holder::Balancer(m, k, p) => {
                if let Some(proc) = self.machines[m].balancers[k].procs.get_mut(&p.0) {
                    proc.session = Some(session);
                }
                self.says(m, k, p.0);
            }
        }
    }

    /// One step of an agent, if none is under way.
    fn agent(&mut self, m: usize) {
        let now = self.agenda.now();
        let mut given = Vec::new();
        let Some(sup) = &mut self.machines[m].sup else { return };
        if sup.busy {
            return;
        }
        let held = sup.session.filter(|&(_, until)| now < until).map(|(id, _)| id);
        let step = sup.agent.next(span(now), held, &sup.board, &mut given);
        let inc = sup.inc;
        match step {
            Step::Wait(until) => self.wake(m, until),
            Step::Write { write: plan, description: what } => {
                if what.is_some_and(|w| w.contains("nobody's")) {
                    self.report.orphans += 1;
                }
                self.sends(m, inc, Some(plan));
            }
            Step::ReadConsistent => self.sends(m, inc, None),
        }
        if !given.is_empty() {
            if let Some(span) = self.machines[m].pause_given.take() {
                self.machines[m].paused_until = self.agenda.now() + span;
            }
        }
        for given in given {
            let after = self.draws.between((0.01, 3.0));
            self.agenda.after(ms(after), What::Given(m, inc, given));
        }
    }

    fn sends(&mut self, m: usize, inc: u64, writes: Option<Writes>) {
        if let Some(sup) = self.sup(m, inc) {
            sup.busy = true;
        }
        let delay = self.delay();
        self.agenda.after(delay, What::Apply(m, inc, writes));
    }

    fn apply(&mut self, m: usize, inc: u64, writes: Option<Writes>) {
        let holder = Holder::Supervisor(m, inc);
        let (patience, look) = (ms(2_000.0), writes.is_none());
        if self.sup(m, inc).is_none() {
            return;
        }
        if !self.reaches(holder) {
            return self.agenda.after(patience, What::Answer(m, inc, false, look));
        }
        if let Some(plan) = writes {
            self.writes(m, inc, plan);
        }
        // An answer may be lost.
        let delay = self.delay();
        let lost = self.draws.chance(0.005);
        self.agenda.after(if lost { patience } else { delay }, What::Answer(m, inc, !lost, look));
    }

    /// Makes a write of the record, as its client does it: numbered by its session.
    fn writes(&mut self, m: usize, inc: u64, plan: Writes) {
        self.report.writes += 1;
        let Some(session) = self.sup(m, inc).and_then(|s| s.session).map(|(id, _)| id) else { return };
        let number =
            self.record.session(session).and_then(|s| s.last_transaction.as_ref()).map_or(1, |(n, _)| n + 1);
        let leave = |change: &Op| {
            let (Op::Put { key, .. } | Op::Delete(key)) = change;
            key.strip_prefix("outage/leave/balancer/").map(str::to_string)
        };
        let before: BTreeSet<String> = self.board().leases.keys().map(|id| id.name.clone()).collect();
        let new: BTreeSet<String> =
            plan.ops.iter().filter_map(leave).filter(|n| !before.contains(n)).collect();
        let write = Transaction { session, sequence: number, compares: plan.compares, ops: plan.ops };
        let text = format!("m{m} writes {:?}", write.ops);
        if let Outcome::Committed(_) = self.record.apply(&Command::Transaction(write)) {
            self.note(|| text);
            if !new.is_empty() {
                self.report.given += new.len() as u64;
                self.judge(&before, &new);
            }
            self.changed();
        }
    }

    fn judge(&mut self, leaves: &BTreeSet<String>, new: &BTreeSet<String>) {
        let mut units = BTreeMap::new();
        for (m, machine) in self.machines.iter().enumerate() {
            let unit = BalancerEntry {
                machine: format!("m{m}"),
                zone: zone(m).into(),
                tier: "front".into(),
                down: false,
            };
            for (k, b) in machine.balancers.iter().enumerate() {
                units.insert(name(m, k), Truth { labels: unit.labels(), out: b.out, by_act: b.by_act });
            }
        }
        // A session ends at the latest so long after its holder has; what was read before that is a moment old.
        let unheard = TTL + TTL / u64::from(CLOCK_DRIFT_FRACTION) + ms(2_500.0);
        let now = self.agenda.now();
        let wrong = judge::given(now, &self.plan.budgets, &units, leaves, new, unheard);
        self.report.wrong.extend(wrong.into_iter().map(|w| format!("at {} ms: {w}", now / 1_000_000)));
    }

    fn answer(&mut self, m: usize, inc: u64, done: bool, look: bool) {
        let now = span(self.agenda.now());
        let reaches = self.reaches(Holder::Supervisor(m, inc));
        let mut board = match self.sup(m, inc) {
            Some(sup) => std::mem::take(&mut sup.board),
            None => return,
        };
        let fresh = done && reaches;
        let deciding = self.variant != Variant::OwnMachineOnly;
        if fresh && deciding {
            self.catch_up(&mut board);
        }
        if fresh && self.variant == Variant::MissingNotCounted {
            let said: BTreeSet<String> = board.statuses.keys().cloned().collect();
            board.balancers.retain(|name, _| said.contains(name));
        }
        let own = format!("m{m}");
        if fresh && !deciding {
            self.catch_up(&mut board);
            board.leases.retain(|_, l| l.value.owner == own);
        }
        let Some(sup) = self.sup(m, inc) else { return };
        sup.busy = false;
        sup.board = board;
        if !fresh {
            sup.agent.on_failure(now);
            return self.agent(m);
        }
        if !look {
            return self.agent(m);
        }
        match sup.agent.on_consistent_read(now, &sup.board) {
            Step::Write { write: plan, .. } => self.sends(m, inc, Some(plan)),
            Step::Wait(until) => self.wake(m, until),
            Step::ReadConsistent => {}
        }
    }

    fn given(&mut self, m: usize, given: &GrantedLease) {
        let now = self.agenda.now();
        let Some(sup) = &self.machines[m].sup else { return };
        let held = sup.session.filter(|&(id, until)| now < until && id == given.session).is_some();
        if !held && self.variant != Variant::LateLeaveUsed {
            self.report.late += 1;
            if let Some(sup) = &mut self.machines[m].sup {
                sup.agent.mark_unused(&given.balancer);
            }
            return self.agent(m);
        }
        let Some(k) = (0..self.plan.each).find(|&k| name(m, k) == given.balancer) else { return };
        if !self.release_given(m, given) {
            self.feed(m, Event::LeaseGranted(k));
        }
        if self.variant == Variant::ReturnedUnseen {
            let key = disruption::keys::lease_key(&ResourceId::balancer(name(m, k)));
            let session = self.open("faulty");
            let write = Transaction { session, sequence: 1, compares: vec![], ops: vec![Op::Delete(key)] };
            self.record.apply(&Command::Transaction(write));
            self.changed();
        }
    }

    fn roll(&mut self, m: usize, roll: RollingAction) {
        let Some(sup) = &self.machines[m].sup else {
            // Its operator comes back later.
            return self.agenda.after(ms(5_000.0), What::Roll(m, roll));
        };
        if sup.fleet.rolling().is_some() || sup.fleet.instances().iter().any(|i| i.state != Stands::Ready) {
            return self.agenda.after(ms(2_000.0), What::Roll(m, roll));
        }
        self.feed(m, Event::Command(supervisor::Command::Roll(roll)));
    }

    fn trouble(&mut self, k: usize) {
        let t = self.plan.troubles[k];
        self.note(|| format!("{t:?}"));
        let m = t.machine;
        match t.what {
            Kindred::Drop => {
                self.kill_supervisor(m);
                self.machines[m].down += 1;
                for k in 0..self.plan.each {
                    self.machines[m].balancers[k].procs.clear();
                    self.reckon(m, k, false);
                }
            }
            Kindred::Supervisor => {
                self.kill_supervisor(m);
                self.machines[m].down += 1;
            }
            Kindred::Pause => {
                let until = self.agenda.now() + t.span;
                let before = self.machines[m].paused_until;
                self.machines[m].paused_until = before.max(until);
            }
            Kindred::PauseGiven => self.machines[m].pause_given = Some(t.span),
            Kindred::Cut => self.machines[m].cut += 1,
            Kindred::CutWhole => self.machines[m].cut_whole += 1,
            Kindred::Council => self.council_away += 1,
            Kindred::Crash(k) => {
                let own: Vec<u64> = self.machines[m].balancers[k].procs.keys().copied().collect();
                for own in own {
                    self.proc(m, k, ProcessId(own), Course::Crashes);
                }
            }
        }
        self.agenda.after(t.span, What::Over(k));
    }

    fn kill_supervisor(&mut self, m: usize) {
        if let Some(sup) = self.machines[m].sup.take() {
            self.report.broken += u64::from(sup.rolling);
        }
    }

    fn heal(&mut self, k: usize) {
        let t = self.plan.troubles[k];
        self.note(|| format!("over: {t:?}"));
        let machine = &mut self.machines[t.machine];
        match t.what {
            Kindred::Drop | Kindred::Supervisor => {
                machine.down -= 1;
                if machine.down == 0 {
                    self.agenda.after(ms(50.0), What::Start(t.machine));
                }
            }
            Kindred::Cut => machine.cut -= 1,
            Kindred::CutWhole => machine.cut_whole -= 1,
            Kindred::Council => self.council_away -= 1,
            Kindred::Pause | Kindred::PauseGiven | Kindred::Crash(_) => {}
        }
    }
}
