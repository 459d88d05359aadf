//! The run: voters, clients and what is between them, on one virtual clock.
use crate::disk::Disk;
use crate::plan::{Fault, Plan, Trouble, Variant, END, HEALED, LAST_CALL};
use crate::workload::{judge, Histories, Worker};
use coordination::client::{self, Client, ClientRequest, RequestOutcome, SessionEvent};
use coordination::limits::Limits;
use coordination::protocol::{Answer, Call, Member, Reply, Request};
use coordination::voter::{
    self, Action, Event, Identity, InjectedDefects, PersistedState, Voter, VoterEvent,
};
use fleet_simulation::agenda::{ms, Agenda, Nanos};
use hashing::Digest;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The time between two ticks of a voter.
const TICK: Nanos = 50_000_000;
/// How long a connection is waited for.
const CONNECT: Nanos = 1_000_000_000;
/// Entries that are held before they are folded: few, so that snapshots are met.
const LOG_ENTRIES: u64 = 40;
/// Once all is healed there is a leader within this.
const LEADER_WITHIN: Nanos = 6_000_000_000;

/// Where something is sent from or to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Voter(usize),
    Client(usize),
}

#[derive(Debug)]
enum Due {
    Tick(usize, u64),
    Saved(usize, u64, u64, bool),
    DiskTry(usize, u64),
    Peer { from: usize, to: u64, message: Vec<u8> },
    Start(usize),
    Begins(usize),
    Ends(usize),
    Connect { client: usize, conn: u64, to: String },
    ConnectFails { client: usize, conn: u64 },
    ToVoter { conn: u64, call: Option<Call> },
    ToClient { conn: u64, reply: Option<Reply> },
    Wake(usize, Duration),
    Work(usize),
    Join(usize),
    Wakes(usize),
}

struct Machine {
    id: u64,
    name: String,
    voter: Option<Voter>,
    disk: Disk,
    /// Counts its starts: what was meant for a former one is passed over.
    life: u64,
    paused: u32,
    held: VecDeque<Due>,
    /// How often it is still to be killed right after it has voted.
    blinks: u32,
    /// Until when its disk works on what it took first, and on what came meanwhile, which it takes together.
    saves_until: [Nanos; 2],
    gone: bool,
}

struct Person {
    client: Client,
    worker: Option<Worker>,
    conn: Option<u64>,
    paused: u32,
    held: VecDeque<Due>,
    tickets: u64,
    ticket: Option<u64>,
    /// Until when its session is held, by true time, as of what it last knew.
    until: Option<Nanos>,
}

struct Conn {
    client: usize,
    voter: usize,
    life: u64,
    up: bool,
    last: [Nanos; 2],
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was wrong; empty: nothing.
    pub wrong: Vec<String>,
    /// Operations of known outcome.
    pub known: u64,
    /// Of unknown outcome.
    pub unknown: u64,
    /// Locks that were taken.
    pub locks: u64,
    /// Times without a leader that serves, in nanoseconds, each longer than a tick.
    pub leaderless: Vec<Nanos>,
    /// Terms that were reached.
    pub term: u64,
    /// Snapshots that were taken over by voters.
    pub folded: u64,
    /// Of all that happened: equal for equal runs.
    pub digest: u64,
}

/// Plays a run.
pub fn play(plan: &Plan, variant: Variant) -> Report {
    let mut world = World::new(plan.clone(), variant);
    while let Some(due) = world.agenda.turn() {
        if world.agenda.now() >= END {
            break;
        }
        world.happens(due);
    }
    world.ends()
}

struct World {
    plan: Plan,
    variant: Variant,
    random: Pcg64Mcg,
    agenda: Agenda<Due>,
    machines: Vec<Machine>,
    people: Vec<Person>,
    conns: BTreeMap<u64, Conn>,
    conns_begun: u64,
    /// Troubles that last, by place, with what they cut.
    cuts: BTreeMap<usize, Vec<(End, End)>>,
    /// Who was meant by faults that name the leader.
    meant: BTreeMap<usize, usize>,
    flaky: u32,
    replacing: BTreeMap<usize, usize>,
    all: Histories,
    report: Report,
    digest: Digest,
    leaderless_since: Option<Nanos>,
    led_after_healed: Option<Nanos>,
}

impl World {
    fn new(plan: Plan, variant: Variant) -> World {
        let random = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut world = World {
            variant,
            random,
            agenda: Agenda::default(),
            machines: Vec::new(),
            people: Vec::new(),
            conns: BTreeMap::new(),
            conns_begun: 0,
            cuts: BTreeMap::new(),
            meant: BTreeMap::new(),
            flaky: 0,
            replacing: BTreeMap::new(),
            all: Histories::default(),
            report: Report::default(),
            digest: Digest::default(),
            leaderless_since: Some(0),
            led_after_healed: None,
            plan,
        };
        for k in 0..world.plan.voters {
            world.machine(k);
        }
        let first = &world.machines[0];
        let member =
            Member { id: first.id, name: first.name.clone(), addr: first.name.clone(), ..Member::default() };
        // All in one time: a small bound on remembered ends shows what that costs.
        world.machines[0].disk = Disk::with(voter::bootstrap(7, &member, Limits::default()));
        world.start(0);
        // The operator first, who has no session.
        world.person(None);
        for c in 0..world.plan.clients {
            world.person(Some(c));
        }
        for k in 1..world.plan.voters {
            world.agenda.at(ms(150.0), Due::Join(k));
        }
        for k in 0..world.plan.troubles.len() {
            let Trouble { from, until, .. } = world.plan.troubles[k];
            world.agenda.at(from, Due::Begins(k));
            world.agenda.at(until, Due::Ends(k));
        }
        world
    }

    fn names(&self) -> Vec<String> {
        (0..self.plan.voters).map(|k| format!("v{k}")).collect()
    }

    fn machine(&mut self, k: usize) -> usize {
        let id = self.random.gen_range(1..u64::MAX);
        self.machines.push(Machine {
            id,
            name: format!("v{k}"),
            voter: None,
            disk: Disk::default(),
            life: 0,
            paused: 0,
            held: VecDeque::new(),
            blinks: 0,
            saves_until: [0; 2],
            gone: false,
        });
        self.machines.len() - 1
    }

    fn person(&mut self, worker: Option<usize>) {
        let ttl = Duration::from_millis(self.random.gen_range(1200..3000));
        let session = worker.map(|c| client::SessionConfig { name: format!("c{c}"), ttl, take_over: true });
        let settings = client::ClientConfig {
            voters: self.names(),
            session,
            response_timeout: Duration::from_millis(self.random.gen_range(500..3000)),
            seed: self.random.gen(),
        };
        let at = self.people.len();
        self.people.push(Person {
            client: Client::new(settings),
            worker: worker.map(|c| Worker::new(c as u64)),
            conn: None,
            paused: 0,
            held: VecDeque::new(),
            tickets: 0,
            ticket: None,
            until: None,
        });
        self.agenda.at(ms(1.0), Due::Wake(at, Duration::ZERO));
        if worker.is_some() {
            self.agenda.at(ms(1200.0), Due::Work(at));
        }
    }

    fn rate(&self, end: End) -> f64 {
        let k = match end {
            End::Voter(k) => k,
            End::Client(c) => self.plan.voters + c,
        };
        self.plan.rates.get(k % self.plan.rates.len().max(1)).copied().unwrap_or(1.0)
    }

    fn local(&self, end: End) -> Duration {
        Duration::from_nanos((self.agenda.now() as f64 * self.rate(end)) as u64)
    }

    fn truly(&self, end: End, local: Duration) -> Nanos {
        (local.as_nanos() as f64 / self.rate(end)) as Nanos
    }

    // Voters.

    fn start(&mut self, v: usize) {
        let faulty = InjectedDefects {
            stale_reads: self.variant == Variant::StaleRead,
            stale_renewals: self.variant == Variant::StaleRenewal,
            forgetful_snapshots: self.variant == Variant::ForgetfulSnapshot,
            unfenced: self.variant == Variant::Unfenced,
            short_sessions: self.variant == Variant::ShortSessions,
        };
        let settings = voter::VoterConfig {
            expected_members: self.names(),
            tick: Duration::from_nanos(TICK),
            seed: self.random.gen(),
            log_entries: LOG_ENTRIES,
            defects: faulty,
        };
        let now = self.local(End::Voter(v));
        let machine = &mut self.machines[v];
        // One that has not joined yet asks on by itself.
        if machine.gone || machine.voter.is_some() || machine.disk.frames().is_empty() {
            return;
        }
        let made =
            PersistedState::read(machine.disk.frames()).and_then(|kept| Voter::new(now, settings, kept));
        machine.life += 1;
        let life = machine.life;
        match made {
            Ok(voter) => machine.voter = Some(voter),
            Err(why) => return self.report.wrong.push(format!("voter {v} does not start: {why}")),
        }
        self.agenda.after(TICK, Due::Tick(v, life));
        self.agenda.after(ms(500.0), Due::DiskTry(v, life));
    }

    fn crash(&mut self, v: usize, share: f64) {
        let machine = &mut self.machines[v];
        if machine.voter.take().is_none() {
            return;
        }
        machine.disk.crash(share);
        machine.life += 1;
        machine.blinks = 0;
        machine.held.clear();
        if self.variant == Variant::VoteForgotten {
            machine.disk.forget_votes();
        }
        // Whoever was connected hears a reset, if anything gets through.
        let conns: Vec<u64> = self.conns.iter().filter(|(_, c)| c.voter == v).map(|(&id, _)| id).collect();
        for conn in conns {
            self.agenda.after(ms(0.3), Due::ToClient { conn, reply: None });
        }
    }

    fn tell(&mut self, v: usize, event: Event) {
        let now = self.local(End::Voter(v));
        let mut out = Vec::new();
        let Some(voter) = self.machines[v].voter.as_mut() else { return };
        voter.handle(now, event, &mut out);
        for action in out {
            self.performs(v, action);
        }
        self.watch_leader();
    }

    fn performs(&mut self, v: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let blinks = self.machines[v].blinks > 0
                    && Message::parse_from_bytes(&message)
                        .is_ok_and(|m| m.get_msg_type() == MessageType::MsgRequestVoteResponse && !m.reject);
                let late = if self.flaky > 0 {
                    self.random.gen_range(0.1..250.0)
                } else {
                    self.random.gen_range(0.1..2.0)
                };
                if self.flaky > 0 && self.random.gen_bool(0.2) {
                    return;
                }
                self.agenda.after(ms(late), Due::Peer { from: v, to, message });
                if blinks {
                    let left = self.machines[v].blinks - 1;
                    self.crash(v, 0.0);
                    self.machines[v].blinks = left;
                    self.agenda.after(ms(0.05), Due::Start(v));
                }
            }
            Action::Persist(save) => {
                let now = self.agenda.now();
                let machine = &mut self.machines[v];
                if save.replace {
                    self.report.folded += 1;
                }
                let took = if machine.disk.slow {
                    self.random.gen_range(50.0..400.0)
                } else {
                    self.random.gen_range(0.1..4.0)
                };
                let [first, rest] = &mut machine.saves_until;
                if now >= *first {
                    *first = *rest;
                }
                let done = if now >= *first {
                    *first = now + ms(took);
                    *first
                } else {
                    if *rest <= *first {
                        *rest = *first + ms(took);
                    }
                    *rest
                };
                let (number, life) = (save.number, machine.life);
                let fails = machine.disk.full;
                if !fails {
                    machine.disk.begin(save);
                }
                self.agenda.at(done, Due::Saved(v, life, number, fails));
                if self.variant == Variant::AcknowledgedBeforeSync && !fails {
                    self.agenda.after(0, Due::Saved(v, life, number, true));
                }
            }
            Action::Reply { client, reply } => self.sends_client(client, Some(reply)),
            Action::Report(note) => {
                if let VoterEvent::Removed = note {
                    self.machines[v].gone = true;
                }
                self.digest.number(v as u64);
            }
        }
    }

    fn saved(&mut self, v: usize, life: u64, number: u64, odd: bool) {
        let machine = &mut self.machines[v];
        if machine.life != life || machine.voter.is_none() {
            return;
        }
        if odd && self.variant == Variant::AcknowledgedBeforeSync && !machine.disk.full {
            // It says so; the disk has it later.
            return self.tell(v, Event::Persisted(number));
        }
        if odd {
            machine.disk.give_up();
            let why = "no space left".into();
            return self.tell(v, Event::PersistFailed { number, why, intact: false });
        }
        machine.disk.done(number);
        self.tell(v, Event::Persisted(number));
    }

    fn leader(&self) -> Option<usize> {
        let led = |m: &Machine| m.voter.as_ref().filter(|v| v.is_serving_leader()).map(|v| v.status().term);
        let leaders = self.machines.iter().enumerate().filter_map(|(k, m)| Some((led(m)?, k)));
        leaders.max().map(|(_, k)| k)
    }

    fn watch_leader(&mut self) {
        let now = self.agenda.now();
        let led = self
            .machines
            .iter()
            .any(|m| m.paused == 0 && m.voter.as_ref().is_some_and(Voter::is_serving_leader));
        match (led, self.leaderless_since) {
            (true, Some(since)) => {
                self.leaderless_since = None;
                if since > 0 && now - since > TICK {
                    self.report.leaderless.push(now - since);
                }
            }
            (false, None) => self.leaderless_since = Some(now),
            _ => {}
        }
        if led && now > HEALED && self.led_after_healed.is_none() {
            self.led_after_healed = Some(now);
        }
    }

    // Links.

    fn cut(&self, from: End, to: End) -> bool {
        self.cuts.values().any(|cuts| cuts.contains(&(from, to)))
    }

    fn sends_client(&mut self, conn: u64, reply: Option<Reply>) {
        let now = self.agenda.now();
        let late = ms(self.random.gen_range(0.1..2.0));
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.last[1] = c.last[1].max(now + late);
        let at = c.last[1];
        self.agenda.at(at, Due::ToClient { conn, reply });
    }

    fn sends_voter(&mut self, conn: u64, call: Option<Call>) {
        let now = self.agenda.now();
        let late = ms(self.random.gen_range(0.1..2.0));
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.last[0] = c.last[0].max(now + late);
        let at = c.last[0];
        self.agenda.at(at, Due::ToVoter { conn, call });
    }

    // Clients.

    fn tell_client(&mut self, c: usize, event: client::Event) {
        let end = End::Client(c);
        let now = self.local(end);
        let mut out = Vec::new();
        self.people[c].client.handle(now, event, &mut out);
        for action in out {
            self.client_wants(c, action);
        }
        let person = &self.people[c];
        let until = person.client.held_session(now).and_then(|_| person.client.lease_expiry());
        let until = until.map(|local| self.truly(end, local));
        self.people[c].until = until.or(self.people[c].until);
        if let Some(wake) = self.people[c].client.next_timeout() {
            let at = self.truly(end, wake) + 1_000;
            self.agenda.at(at, Due::Wake(c, wake));
        }
    }

    fn client_wants(&mut self, c: usize, action: client::Action) {
        let now = self.agenda.now();
        match action {
            client::Action::Connect(to) => {
                self.disconnects(c);
                self.conns_begun += 1;
                let conn = self.conns_begun;
                self.people[c].conn = Some(conn);
                self.agenda.after(ms(0.5), Due::Connect { client: c, conn, to });
            }
            client::Action::Disconnect => self.disconnects(c),
            client::Action::Send(call) => {
                if let Some(conn) = self.people[c].conn {
                    self.sends_voter(conn, Some(call));
                }
            }
            client::Action::Complete { request_id: ticket, outcome: told } => self.told(c, ticket, told),
            client::Action::SessionChanged(news) => {
                let person = &mut self.people[c];
                let until = person.until.take().unwrap_or(now).min(now);
                if let (Some(worker), false) =
                    (&mut person.worker, matches!(news, SessionEvent::Established(_)))
                {
                    worker.lets_go(until, &mut self.all);
                }
            }
        }
    }

    fn disconnects(&mut self, c: usize) {
        if let Some(conn) = self.people[c].conn.take() {
            self.sends_voter(conn, None);
        }
    }

    fn told(&mut self, c: usize, ticket: u64, told: RequestOutcome) {
        let now = self.agenda.now();
        if c == 0 {
            return self.operator_told(ticket, told);
        }
        if self.people[c].ticket != Some(ticket) {
            return;
        }
        let session = self.people[c].client.held_session(self.local(End::Client(c)));
        let person = &mut self.people[c];
        person.ticket = None;
        if let Some(worker) = &mut person.worker {
            worker.told(now, told, session, &mut self.all);
        }
        let pause = ms(self.random.gen_range(5.0..120.0));
        self.agenda.after(pause, Due::Work(c));
    }

    fn works(&mut self, c: usize) {
        let now = self.agenda.now();
        if now > LAST_CALL || self.people[c].ticket.is_some() {
            return;
        }
        let session = self.people[c].client.held_session(self.local(End::Client(c)));
        let person = &mut self.people[c];
        let Some(worker) = &mut person.worker else { return };
        let next = worker.next(now, session, &mut self.random);
        if worker.is_letting_go() {
            worker.lets_go(now, &mut self.all);
        }
        match next {
            Some((ask, within)) => {
                person.tickets += 1;
                let ticket = person.tickets;
                person.ticket = Some(ticket);
                self.tell_client(
                    c,
                    client::Event::Submit { request_id: ticket, request: ask, timeout: within },
                );
            }
            None => self.agenda.after(ms(50.0), Due::Work(c)),
        }
    }

    // Members: the operator's part.

    /// Has a machine with an empty disk join.
    fn joins(&mut self, v: usize) {
        let machine = &self.machines[v];
        if machine.voter.is_some() || machine.gone {
            return;
        }
        let request =
            Request::Join { name: machine.name.clone(), addr: machine.name.clone(), voter: machine.id };
        let ask = ClientRequest::Call(request);
        let ticket = 1_000 + v as u64;
        self.tell_client(
            0,
            client::Event::Submit { request_id: ticket, request: ask, timeout: Duration::from_secs(3) },
        );
    }

    fn operator_told(&mut self, ticket: u64, told: RequestOutcome) {
        match (ticket, told) {
            (t, RequestOutcome::Answered(Answer::Joined { cluster })) if t >= 1_000 => {
                let v = (t - 1_000) as usize;
                let machine = &mut self.machines[v];
                let own = Identity { cluster: Some(cluster), voter: machine.id, name: machine.name.clone() };
                machine.disk = Disk::with(vec![voter::encode_identity(&own)]);
                self.start(v);
            }
            (t, _) if t >= 1_000 => self.agenda.after(ms(150.0), Due::Join((t - 1_000) as usize)),
            (t, RequestOutcome::Answered(Answer::Done)) => {
                let Some(&old) = self.replacing.get(&(t as usize)) else { return };
                self.machines[old].gone = true;
                let new = self.machine(old);
                self.agenda.after(ms(20.0), Due::Join(new));
            }
            (t, _) => {
                let Some(&old) = self.replacing.get(&(t as usize)) else { return };
                self.removes(t as usize, old);
            }
        }
    }

    fn removes(&mut self, trouble: usize, v: usize) {
        if self.agenda.now() > LAST_CALL {
            return;
        }
        let ask = ClientRequest::Call(Request::RemoveMember { name: self.machines[v].name.clone() });
        let ticket = trouble as u64;
        self.tell_client(
            0,
            client::Event::Submit { request_id: ticket, request: ask, timeout: Duration::from_secs(3) },
        );
    }

    // Troubles.

    fn everyone(&self) -> Vec<End> {
        let voters = (0..self.machines.len()).map(End::Voter);
        voters.chain((0..self.people.len()).map(End::Client)).collect()
    }

    fn begins(&mut self, k: usize) {
        let both = |a: End, b: End| [(a, b), (b, a)];
        let all = self.everyone();
        let others = |me: End| all.iter().copied().filter(move |&o| o != me);
        match self.plan.troubles[k].fault {
            Fault::Crash(v, share) => self.crash(v, share),
            Fault::BlinkOnVote(v) => self.machines[v].blinks = 1,
            Fault::Duels => {
                for v in 0..self.machines.len() {
                    self.crash(v, 0.0);
                    self.machines[v].blinks = 4;
                    self.agenda.after(ms(20.0), Due::Start(v));
                }
            }
            Fault::PowerLoss(share) => (0..self.machines.len()).for_each(|v| self.crash(v, share)),
            Fault::Pause(v) => self.machines[v].paused += 1,
            Fault::PauseLeader => {
                if let Some(v) = self.leader() {
                    self.meant.insert(k, v);
                    self.machines[v].paused += 1;
                }
            }
            Fault::CutLeader => {
                if let Some(v) = self.leader() {
                    let voters = (0..self.machines.len()).filter(|&o| o != v);
                    let cuts = voters.flat_map(|o| both(End::Voter(v), End::Voter(o))).collect();
                    self.cuts.insert(k, cuts);
                }
            }
            Fault::StaleLeader(c) => {
                if let Some(v) = self.leader() {
                    let voters = || (0..self.machines.len()).filter(move |&o| o != v);
                    let me = End::Client(c + 1);
                    let apart = voters().flat_map(|o| [(End::Voter(v), o), (me, o)]);
                    let cuts = apart.flat_map(|(a, o)| both(a, End::Voter(o))).collect();
                    self.cuts.insert(k, cuts);
                    self.machines[v].paused += 1;
                    let wakes = ms(self.random.gen_range(700.0..2200.0));
                    self.agenda.after(wakes, Due::Wakes(v));
                }
            }
            Fault::Isolate(v) => {
                let cuts = others(End::Voter(v)).flat_map(|o| both(End::Voter(v), o)).collect();
                self.cuts.insert(k, cuts);
            }
            Fault::Mute(v) => {
                let cuts = others(End::Voter(v)).map(|o| (End::Voter(v), o)).collect();
                self.cuts.insert(k, cuts);
            }
            Fault::Deaf(v) => {
                let cuts = others(End::Voter(v)).map(|o| (o, End::Voter(v))).collect();
                self.cuts.insert(k, cuts);
            }
            Fault::OneWay(a, b) => {
                self.cuts.insert(k, vec![(End::Voter(a), End::Voter(b))]);
            }
            Fault::Split(mask, bridge) => {
                let side = |v: usize| mask >> v & 1;
                let n = self.machines.len();
                let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b)));
                let apart =
                    pairs.filter(|&(a, b)| side(a) != side(b) && Some(a) != bridge && Some(b) != bridge);
                let cuts = apart.map(|(a, b)| (End::Voter(a), End::Voter(b))).collect();
                self.cuts.insert(k, cuts);
            }
            Fault::Flaky => self.flaky += 1,
            Fault::Full(v) => self.machines[v].disk.full = true,
            Fault::FullLeader => {
                if let Some(v) = self.leader() {
                    self.meant.insert(k, v);
                    self.machines[v].disk.full = true;
                }
            }
            Fault::SlowDisk(v) => self.machines[v].disk.slow = true,
            Fault::Replace(v) => {
                // One disk of a majority that is not there yet can't be spared.
                let members =
                    self.leader().and_then(|l| Some(self.machines[l].voter.as_ref()?.status().members));
                if members.is_none_or(|m| m.iter().filter(|m| m.is_voter).count() < self.plan.voters) {
                    return;
                }
                self.crash(v, 0.0);
                self.machines[v].gone = true;
                self.replacing.insert(k, v);
                self.removes(k, v);
            }
            Fault::PauseClient(c) => self.people[c + 1].paused += 1,
            Fault::IsolateClient(c) => {
                let me = End::Client(c + 1);
                let cuts = (0..self.machines.len()).flat_map(|v| both(me, End::Voter(v))).collect();
                self.cuts.insert(k, cuts);
            }
        }
    }

    fn over(&mut self, k: usize) {
        self.cuts.remove(&k);
        match self.plan.troubles[k].fault {
            Fault::Crash(v, _) => self.start(v),
            Fault::PowerLoss(_) => {
                for v in 0..self.machines.len() {
                    let after = ms(self.random.gen_range(0.0..600.0));
                    self.agenda.after(after, Due::Start(v));
                }
            }
            Fault::BlinkOnVote(v) => self.machines[v].blinks = 0,
            Fault::Duels => self.machines.iter_mut().for_each(|m| m.blinks = 0),
            Fault::Pause(v) => self.goes_on(v),
            Fault::PauseLeader => {
                if let Some(v) = self.meant.remove(&k) {
                    self.goes_on(v);
                }
            }
            Fault::Flaky => self.flaky -= 1,
            Fault::Full(v) => self.machines[v].disk.full = false,
            Fault::FullLeader => {
                if let Some(v) = self.meant.remove(&k) {
                    self.machines[v].disk.full = false;
                }
            }
            Fault::SlowDisk(v) => self.machines[v].disk.slow = false,
            Fault::PauseClient(c) => {
                let person = &mut self.people[c + 1];
                person.paused -= 1;
                if person.paused == 0 {
                    for due in std::mem::take(&mut person.held) {
                        self.agenda.after(0, due);
                    }
                }
            }
            _ => {}
        }
    }

    fn goes_on(&mut self, v: usize) {
        let machine = &mut self.machines[v];
        machine.paused -= 1;
        if machine.paused == 0 {
            // In the order in which they came: what was asked of it before it hears that it leads no more.
            for due in std::mem::take(&mut machine.held) {
                self.agenda.after(0, due);
            }
        }
    }

    // What happens.

    /// The voter that this is for, if it is stopped.
    fn held_by(&self, due: &Due) -> Option<End> {
        let voter = |v: usize| (self.machines[v].paused > 0).then_some(End::Voter(v));
        match due {
            Due::Tick(v, _) | Due::Saved(v, ..) | Due::DiskTry(v, _) => voter(*v),
            Due::Peer { to, .. } => voter(self.machines.iter().position(|m| m.id == *to)?),
            Due::ToVoter { conn, .. } => voter(self.conns.get(conn)?.voter),
            Due::ToClient { conn, .. } => {
                let c = self.conns.get(conn)?.client;
                (self.people[c].paused > 0).then_some(End::Client(c))
            }
            Due::Wake(c, _) | Due::Work(c) | Due::ConnectFails { client: c, .. } => {
                (self.people[*c].paused > 0).then_some(End::Client(*c))
            }
            _ => None,
        }
    }

    fn happens(&mut self, due: Due) {
        self.digest.number(self.agenda.now());
        match self.held_by(&due) {
            Some(End::Voter(v)) => return self.machines[v].held.push_back(due),
            Some(End::Client(c)) => return self.people[c].held.push_back(due),
            None => {}
        }
        match due {
            Due::Tick(v, life) => {
                if self.machines[v].life == life && self.machines[v].voter.is_some() {
                    let after = (TICK as f64 / self.rate(End::Voter(v))) as Nanos;
                    self.agenda.after(after, Due::Tick(v, life));
                    self.tell(v, Event::Tick);
                }
            }
            Due::Saved(v, life, number, odd) => self.saved(v, life, number, odd),
            Due::DiskTry(v, life) => self.disk_try(v, life),
            Due::Peer { from, to, message } => {
                let Some(v) = self.machines.iter().position(|m| m.id == to) else { return };
                if self.cut(End::Voter(from), End::Voter(v)) {
                    return;
                }
                if self.machines[v].voter.is_none() {
                    return self.tell(from, Event::Unreachable(to));
                }
                self.tell(v, Event::Message(message));
            }
            Due::Start(v) => self.start(v),
            Due::Begins(k) => self.begins(k),
            Due::Ends(k) => self.over(k),
            Due::Connect { client, conn, to } => self.connects(client, conn, &to),
            Due::ConnectFails { client, conn } => {
                if self.people[client].conn == Some(conn) {
                    self.people[client].conn = None;
                    self.tell_client(client, client::Event::Disconnected);
                }
            }
            Due::ToVoter { conn, call } => self.at_voter(conn, call),
            Due::ToClient { conn, reply } => self.at_client(conn, reply),
            Due::Wake(c, at) => {
                // Only the last one that was wanted counts.
                if self.people[c].client.next_timeout().is_some_and(|wake| wake <= at) || at.is_zero() {
                    self.tell_client(c, client::Event::Timeout);
                }
            }
            Due::Work(c) => self.works(c),
            Due::Join(v) => self.joins(v),
            Due::Wakes(v) => self.goes_on(v),
        }
    }

    fn disk_try(&mut self, v: usize, life: u64) {
        let machine = &self.machines[v];
        if machine.life != life {
            return;
        }
        self.agenda.after(ms(500.0), Due::DiskTry(v, life));
        let machine = &self.machines[v];
        if machine.voter.as_ref().is_some_and(Voter::awaits_storage_recovery) && !machine.disk.full {
            if let Ok(kept) = PersistedState::read(machine.disk.frames()) {
                self.tell(v, Event::Recovered(kept));
            }
        }
    }

    fn connects(&mut self, c: usize, conn: u64, to: &str) {
        if self.people[c].conn != Some(conn) {
            return;
        }
        let v = self.machines.iter().rposition(|m| m.name == to);
        let found = v.filter(|&v| self.machines[v].voter.is_some());
        let Some(v) = found else {
            return self.agenda.after(ms(0.5), Due::ConnectFails { client: c, conn });
        };
        let (me, other) = (End::Client(c), End::Voter(v));
        // A voter that is stopped does not answer the first frame.
        if self.cut(me, other) || self.cut(other, me) || self.machines[v].paused > 0 {
            return self.agenda.after(CONNECT, Due::ConnectFails { client: c, conn });
        }
        let life = self.machines[v].life;
        let now = self.agenda.now();
        self.conns.insert(conn, Conn { client: c, voter: v, life, up: true, last: [now; 2] });
        self.tell_client(c, client::Event::Connected);
    }

    fn at_voter(&mut self, conn: u64, call: Option<Call>) {
        let Some(&Conn { client, voter, life, .. }) = self.conns.get(&conn) else { return };
        if self.machines[voter].life != life {
            self.conns.remove(&conn);
            return;
        }
        if self.cut(End::Client(client), End::Voter(voter)) {
            // It comes when the link is whole again, if both are there then.
            return self.agenda.after(ms(100.0), Due::ToVoter { conn, call });
        }
        match call {
            Some(call) => self.tell(voter, Event::Call { client: conn, call }),
            None => {
                self.conns.remove(&conn);
                self.tell(voter, Event::ClientDisconnected(conn));
            }
        }
    }

    fn at_client(&mut self, conn: u64, reply: Option<Reply>) {
        let Some(&Conn { client, voter, up, .. }) = self.conns.get(&conn) else { return };
        if self.people[client].conn != Some(conn) || !up {
            return;
        }
        if self.cut(End::Voter(voter), End::Client(client)) {
            return self.agenda.after(ms(100.0), Due::ToClient { conn, reply });
        }
        match reply {
            Some(reply) => self.tell_client(client, client::Event::Reply(reply)),
            None => {
                self.conns.remove(&conn);
                self.people[client].conn = None;
                self.tell_client(client, client::Event::Disconnected);
            }
        }
    }

    fn ends(mut self) -> Report {
        let now = self.agenda.now();
        for person in &mut self.people {
            if let Some(worker) = &mut person.worker {
                worker.ends(now, &mut self.all);
            }
        }
        let mut report = self.report;
        report.wrong.extend(judge(&self.all));
        report.known = self.all.known;
        report.unknown = self.all.unknown;
        report.locks = self.all.taken.len() as u64;
        match self.led_after_healed {
            Some(at) if at <= HEALED + LEADER_WITHIN => {}
            at => report.wrong.push(format!("healed at {HEALED}, and led since {at:?}")),
        }
        // With all healed, everyone is back and holds the same.
        let mut agreed: BTreeMap<u64, BTreeSet<Vec<u8>>> = BTreeMap::new();
        let mut lasts = BTreeSet::new();
        for (v, machine) in self.machines.iter().enumerate().filter(|(_, m)| !m.gone) {
            let Some(voter) = &machine.voter else {
                report.wrong.push(format!("voter {v} does not run at the end"));
                continue;
            };
            if let Some(why) = voter.storage_error() {
                report.wrong.push(format!("voter {v} stands aside at the end: {why}"));
            }
            if let Some((applied, state)) = voter.applied_state() {
                lasts.insert(applied);
                agreed.entry(applied).or_default().insert(state);
            }
            report.term = report.term.max(voter.status().term);
        }
        if let Some((applied, _)) = agreed.iter().find(|(_, states)| states.len() > 1) {
            report.wrong.push(format!("voters hold different things at entry {applied}"));
        }
        if lasts.last().zip(lasts.first()).is_some_and(|(last, first)| last - first > 4) {
            report.wrong.push(format!("voters have not caught up: {lasts:?}"));
        }
        let stuck = self.people.iter().skip(1).filter(|p| p.ticket.is_some()).count();
        if stuck > 0 {
            report.wrong.push(format!("{stuck} clients wait at the end"));
        }
        report.digest = self.digest.value();
        report
    }
}
