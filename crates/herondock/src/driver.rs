//! The one owner of the decision module: feeds it events in order, carries out its actions, keeps its clock,
//! its timers and the ids of requests and attempts. Nothing is decided here, and no protocol is known.
use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::{EndpointSubscriber, EndpointUpdate, ListedEndpoint};
use crate::exchange::{Answer, Attempt, Final, Gate, Hop, Request, Upstream};
use crate::request_counters::{self, RequestCounters};
use balancer::{
    Action, Availability, Balancer, Ending, Event, Learned, Membership, Millis, RequestId, UpstreamId,
};
use bytes::Bytes;
use request_budget::grammar::Used;
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::usage_feedback::UsageFeedback;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::{debug, info};

/// Time for the last answer to reach the client before it stops waiting.
const ANSWER_MARGIN: Millis = 5.0;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(250);
/// Longest timer that the module may ask for.
const TIMER_MOST: Millis = 71.0 * 60_000.0;

/// Why a request was not taken.
#[derive(Debug)]
pub enum Untaken {
    /// As many are open as may be.
    Full,
    /// One with its id is open.
    Known,
}

struct Open {
    /// Taken when the final answer is given or the client is gone.
    reply: Option<oneshot::Sender<Final>>,
    out: Rc<Request>,
    deadline: Millis,
    sends: u32,
    running: u32,
    /// Whether an attempt that has ended may have run.
    ran: bool,
    /// When the first one was sent that may have run, or an earlier one.
    first: Option<Instant>,
    /// Its class may be sent again so long after that; `None`: for ever.
    window: Option<Duration>,
    /// Its repeats, where budgets are on.
    purse: Option<RetryBudget>,
    counts: Rc<RequestCounters>,
    /// Served from then on it is late.
    late_at: Instant,
}

impl Open {
    /// The way to the client, once; the request is over with it.
    fn end(&mut self) -> Option<oneshot::Sender<Final>> {
        self.out.over.set(true);
        self.reply.take()
    }

    /// Gives the final answer, unless it was given.
    fn answer(&mut self, answer: Answer) -> bool {
        let Some(reply) = self.end() else { return false };
        if matches!(answer, Answer::Served { .. }) {
            request_counters::more(&self.counts.served);
            if Instant::now() > self.late_at {
                request_counters::more(&self.counts.late);
            }
        }
        let used = self.purse.as_ref().map_or(Used::default(), RetryBudget::used);
        // A client that left in the same instant gets nothing; it is no longer owed anything.
        let _ = reply.send(Final { answer, ran: self.ran || self.running > 0, used });
        true
    }
}

/// An attempt that is out.
struct Out {
    upstream: UpstreamId,
    sent: Instant,
    task: AbortHandle,
    due: (Instant, u64),
    hop: Option<Rc<Hop>>,
}

enum Due {
    Module(u32),
    Attempt(RequestId, u32),
    Sweep,
}

/// An upstream that the module may name.
struct Known {
    upstream: Rc<dyn Upstream>,
    gate: Rc<Gate>,
    /// Its newest line.
    entry: ListedEndpoint,
    /// Whether it tells what was used below it.
    hearing: UsageFeedback,
}

/// Chooses the transport for an upstream by what it speaks.
pub type Transports = Box<dyn Fn(&ListedEndpoint) -> Rc<dyn Upstream>>;

struct Driver {
    balancer: Balancer,
    start: Instant,
    start_ms: Millis,
    transports: Transports,
    sockets: DescriptorBudget,
    max_open: usize,
    late_shedding: bool,
    /// Every request has its answer by then.
    last: Millis,
    next_id: u32,
    open: HashMap<RequestId, Open>,
    /// The callers' names of the requests that are open, in every pool.
    names: Names,
    counts: Rc<RequestCounters>,
    /// By class, within this time an answer is not late.
    objectives: Vec<Duration>,
    /// By class, how long repeats are dropped for.
    windows: Vec<Option<Duration>>,
    attempts: HashMap<(RequestId, u32), Out>,
    /// Every upstream that the module may name: those listed, and those with attempts out.
    upstreams: HashMap<UpstreamId, Known>,
    timers: BTreeMap<(Instant, u64), Due>,
    timer_seq: u64,
    events: VecDeque<Event>,
}

/// The callers' names of open requests, shared by all drivers.
pub type Names = Rc<RefCell<HashSet<Bytes>>>;

struct Shared {
    driver: RefCell<Driver>,
    timers: Notify,
}

/// The driver as everything else sees it.
#[derive(Clone)]
pub struct Handle(Rc<Shared>);

impl EndpointSubscriber for Handle {
    fn endpoints_changed(&self, listing: &EndpointUpdate) {
        self.0.driver.borrow_mut().note_list(listing);
        self.feed(Event::Membership(Membership::Delta(listing.members().collect())));
    }
}

/// What a driver is built from.
pub struct Parts {
    /// The module.
    pub balancer: Balancer,
    /// When the module's clock read `start_ms`.
    pub start: Instant,
    /// The clock at the start; it goes on by elapsed time alone, whatever is done to the system's clock.
    pub start_ms: Millis,
    /// Attempts and connections.
    pub transports: Transports,
    /// The budget of sockets.
    pub sockets: DescriptorBudget,
    /// Most requests open at once.
    pub max_open: usize,
    /// Whether upstreams also turn away what they had begun.
    pub late_shedding: bool,
    /// The callers' names of open requests.
    pub names: Names,
    /// What is counted, over all pools.
    pub counts: Rc<RequestCounters>,
    /// By class, within this time an answer is not late.
    pub objectives: Vec<Duration>,
    /// By class, for how long upstreams drop repeats; `None`: repeats do no harm, or there are none.
    pub windows: Vec<Option<Duration>>,
}

/// A request that waits for its final answer. Dropping it tells the module that the client is gone.
pub struct Waiting {
    handle: Handle,
    id: RequestId,
    answer: oneshot::Receiver<Final>,
    done: bool,
}

impl Waiting {
    /// The final answer.
    pub async fn answer(mut self) -> Final {
        let lost = |_| Final { answer: Answer::Failed, ran: true, used: Used::default() };
        let answer = (&mut self.answer).await.unwrap_or_else(lost);
        self.done = true;
        answer
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.done {
            self.handle.client_gone(self.id);
        }
    }
}

impl Handle {
    /// Sets the driver up; [`Handle::run`] must run for its timers to fire.
    pub fn new(parts: Parts) -> Handle {
        let Parts { balancer, start, start_ms, transports, sockets, max_open, late_shedding, .. } = parts;
        let (names, counts) = (parts.names, parts.counts);
        let (objectives, windows) = (parts.objectives, parts.windows);
        let driver = Driver {
            balancer,
            start,
            start_ms,
            transports,
            sockets,
            max_open,
            late_shedding,
            last: f64::INFINITY,
            next_id: 0,
            open: HashMap::new(),
            names,
            counts,
            objectives,
            windows,
            attempts: HashMap::new(),
            upstreams: HashMap::new(),
            timers: BTreeMap::new(),
            timer_seq: 0,
            events: VecDeque::new(),
        };
        let driver = RefCell::new(driver);
        let shared = Shared { driver, timers: Notify::new() };
        Handle(Rc::new(shared))
    }

    /// Fires timers for ever.
    pub async fn run(&self) {
        self.0.driver.borrow_mut().set_timer(Instant::now() + SWEEP, Due::Sweep);
        loop {
            let next = self.0.driver.borrow().timers.first_key_value().map(|(&(at, _), _)| at);
            match next {
                Some(at) if at <= Instant::now() => self.fire(),
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = self.0.timers.notified() => {}
                },
                None => self.0.timers.notified().await,
            }
        }
    }

    fn fire(&self) {
        let Some((_, due)) = self.0.driver.borrow_mut().timers.pop_first() else { return };
        match due {
            Due::Module(token) => self.feed(Event::Timer(token)),
            Due::Attempt(id, number) => self.ended(id, number, Ending::Timeout, None),
            Due::Sweep => {
                let mut d = self.0.driver.borrow_mut();
                let now = Instant::now();
                for known in d.upstreams.values() {
                    known.upstream.sweep(now);
                }
                d.set_timer(now + SWEEP, Due::Sweep);
            }
        }
    }

    /// Attempts that are out to an upstream.
    pub fn in_flight(&self, upstream: UpstreamId) -> usize {
        self.0.driver.borrow().attempts.values().filter(|a| a.upstream == upstream).count()
    }

    /// The upstreams that the module does not use now, since they fail.
    pub fn ejected(&self) -> Vec<UpstreamId> {
        let d = self.0.driver.borrow();
        d.balancer.ejected(d.now()).collect()
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.0.driver.borrow().open.values().filter(|o| o.reply.is_some()).count()
    }

    /// Requests that are taken from now on have their answer after this time at the latest.
    pub fn ends_by(&self, time: Duration) {
        let mut d = self.0.driver.borrow_mut();
        d.last = d.now() + time.as_secs_f64() * 1000.0;
    }

    /// Ends every request that is open: no answer of its own comes in time. It may have run.
    pub fn fail_open(&self) {
        let open: Vec<RequestId> = {
            let mut d = self.0.driver.borrow_mut();
            let open = d.open.iter_mut().filter_map(|(&id, o)| o.answer(Answer::Failed).then_some(id));
            open.collect()
        };
        for id in open {
            self.0.driver.borrow_mut().forget(id);
            self.feed(Event::ClientGone(id));
        }
    }

    /// Closes an idle connection to an upstream, if there is one: its socket is needed elsewhere.
    pub fn free_socket(&self) {
        self.0.driver.borrow_mut().free_socket();
    }

    /// Since when the connection that rested longest is idle, of all upstreams.
    pub fn oldest_idle(&self) -> Option<Instant> {
        self.0.driver.borrow().upstreams.values().filter_map(|k| k.upstream.oldest_idle()).min()
    }

    /// What the module has learned.
    pub fn learned(&self) -> Learned {
        self.0.driver.borrow().balancer.learned()
    }

    /// Takes a saved list, before any other news of members.
    pub fn cached(&self, listing: &EndpointUpdate) {
        self.0.driver.borrow_mut().note_list(listing);
        self.feed(Event::Membership(Membership::Cached(listing.members().collect())));
    }

    /// Takes a request: from now on one final answer is owed.
    pub fn take(
        &self,
        class: usize,
        tenant: usize,
        patience: Millis,
        out: Request,
    ) -> Result<Waiting, Untaken> {
        let (reply, answer) = oneshot::channel();
        let (id, deadline, given) = {
            let mut d = self.0.driver.borrow_mut();
            if d.open.len() >= d.max_open {
                return Err(Untaken::Full);
            }
            // Guards against one request's id on another while anything of the first is out: upstreams tell
            // repeats by it.
            if out.name.as_ref().is_some_and(|name| !d.names.borrow_mut().insert(name.clone())) {
                return Err(Untaken::Known);
            }
            while d.open.contains_key(&RequestId(d.next_id)) {
                d.next_id = d.next_id.wrapping_add(1);
            }
            let id = RequestId(d.next_id);
            d.next_id = d.next_id.wrapping_add(1);
            let deadline = (d.now() + (patience - ANSWER_MARGIN).max(0.0)).min(d.last);
            let route = out.attempts.map_or(u32::MAX, |attempts| attempts.saturating_sub(1));
            let budget = out.budget.as_ref().map(|carried| &carried.budget);
            let given = budget.map_or((route, 1.0), |b| (b.retries.min(route), b.worth));
            let purse = budget.map(|_| RetryBudget::new(given.0));
            let out = Rc::new(out);
            request_counters::more(&d.counts.asked);
            let late_at =
                Instant::now() + d.objectives.get(class).copied().unwrap_or(Duration::from_secs(86_400));
            let counts = d.counts.clone();
            let open = Open {
                reply: Some(reply),
                out,
                deadline,
                sends: 0,
                running: 0,
                ran: false,
                first: None,
                window: d.windows.get(class).copied().flatten(),
                purse,
                counts,
                late_at,
            };
            d.open.insert(id, open);
            (id, deadline, given)
        };
        let (retries, worth) = given;
        self.feed(Event::Request(balancer::Request { id, class, tenant, deadline, retries, worth }));
        Ok(Waiting { handle: self.clone(), id, answer, done: false })
    }

    fn client_gone(&self, id: RequestId) {
        {
            let mut d = self.0.driver.borrow_mut();
            // Answered in the same instant: the module has ended it already.
            if d.open.get_mut(&id).and_then(Open::end).is_none() {
                return;
            }
            d.forget(id);
        }
        self.feed(Event::ClientGone(id));
    }

    /// An attempt has ended: tells the module, unless an earlier end of it counts.
    fn ended(&self, id: RequestId, number: u32, ending: Ending, answer: Option<Answer>) {
        let event = self.0.driver.borrow_mut().end(id, number, ending, answer);
        if let Some(event) = event {
            self.feed(event);
        }
    }

    /// Hands the module an event and carries out what it wants, and so on for what follows at once from that.
    fn feed(&self, event: Event) {
        let mut d = self.0.driver.borrow_mut();
        d.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = d.events.pop_front() {
            let now = d.now();
            d.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(&mut d, action);
            }
        }
    }

    fn perform(&self, d: &mut Driver, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.send(d, request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(event) = d.end(request, attempt, Ending::Cancelled, None) {
                    d.events.push_back(event);
                }
            }
            Action::Refuse { request, retry_after } => d.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => d.answer(request, Answer::Failed),
            Action::CloseIdle(id) => {
                if let Some(known) = d.upstreams.get(&id) {
                    known.upstream.close_idle();
                }
            }
            // The sources of members call by themselves.
            Action::Subscribe => {}
            Action::SetTimer { after, token } => {
                let after = Duration::from_secs_f64(after.clamp(0.0, TIMER_MOST) / 1000.0);
                d.set_timer(Instant::now() + after, Due::Module(token));
                self.0.timers.notify_one();
            }
            Action::Log(line) => info!("{line}"),
        }
    }

    fn send(&self, d: &mut Driver, id: RequestId, to: UpstreamId, timeout: Millis) {
        let (now, now_ms) = (Instant::now(), d.now());
        let Some(open) = d.open.get_mut(&id) else { return };
        let number = open.sends;
        open.sends += 1;
        let target = d.upstreams.get(&to);
        let target = target.map(|k| (k.upstream.clone(), k.gate.clone(), k.hearing.tells(), k.entry.addr));
        let (Some((target, gate, tells, addr)), true) = (target, open.reply.is_some()) else {
            let closed = open.reply.is_none();
            let ending = Ending::Moot;
            d.events.push_back(Event::Outcome {
                request: id,
                attempt: number,
                ending,
                duration: 0.0,
                closed,
            });
            return;
        };
        debug!("request {}: attempt {number} goes to {}", open.out.label(), addr);
        let left = (open.deadline - now_ms).max(0.0);
        let wait = if timeout > 0.0 { timeout.min(left) } else { left };
        let until = now + Duration::from_secs_f64(wait / 1000.0);
        // Between the choice and the first byte lie a dial and a queue, and the time in which repeats are dropped goes on.
        let repeats = open.running > 0 || open.ran;
        let first = *open.first.get_or_insert(now);
        let by = open.window.filter(|_| repeats).map(|window| first + window);
        if !repeats {
            open.first = Some(now);
        }
        open.running += 1;
        let hop = open.purse.as_mut().map(|purse| {
            let grant = purse.send(number, tells);
            Rc::new(Hop { grant, ..Hop::default() })
        });
        let attempt = Attempt { request: open.out.clone(), gate, until, by, hop: hop.clone() };
        let handle = self.clone();
        if target.oldest_idle().is_none() && d.sockets.exhausted() {
            d.free_socket();
        }
        let task = tokio::task::spawn_local(async move {
            let (ending, answer) = target.attempt(attempt).await;
            handle.ended(id, number, ending, answer);
        });
        let due = d.set_timer(until, Due::Attempt(id, number));
        let attempt = Out { upstream: to, sent: now, task: task.abort_handle(), due, hop };
        d.attempts.insert((id, number), attempt);
        self.0.timers.notify_one();
    }
}

impl Driver {
    fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn set_timer(&mut self, at: Instant, due: Due) -> (Instant, u64) {
        self.timer_seq += 1;
        self.timers.insert((at, self.timer_seq), due);
        (at, self.timer_seq)
    }

    /// Books the end of an attempt; only the first one counts. What still runs for it stops, and its connection
    /// is closed. The event is the module's one outcome for its send.
    fn end(&mut self, id: RequestId, number: u32, ending: Ending, answer: Option<Answer>) -> Option<Event> {
        let attempt = self.attempts.remove(&(id, number))?;
        attempt.task.abort();
        self.timers.remove(&attempt.due);
        self.forget_upstream(attempt.upstream);
        let duration = attempt.sent.elapsed().as_secs_f64() * 1000.0;
        let mut closed = true;
        let told = attempt.hop.as_ref().and_then(|hop| hop.told.get());
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Full) {
            if let Some(known) = self.upstreams.get_mut(&attempt.upstream) {
                known.hearing.answered(told.is_some());
            }
        }
        let never_ran = ending.never_ran() && !(ending == Ending::Full && self.late_shedding);
        if let Some(open) = self.open.get_mut(&id) {
            open.running -= 1;
            open.ran |= !never_ran;
            if let Some(purse) = &mut open.purse {
                purse.ended(
                    number,
                    match told {
                        Some(used) => AttemptUsage::Used(used),
                        None if never_ran => AttemptUsage::NeverRan,
                        None => AttemptUsage::Unknown,
                    },
                );
                // Before the outcome, by which the module decides whether to try again.
                self.events.push_back(Event::Left { request: id, retries: purse.left() });
            }
            if let Some(answer) = answer {
                open.answer(answer);
            }
            closed = open.reply.is_none();
        }
        self.forget(id);
        Some(Event::Outcome { request: id, attempt: number, ending, duration, closed })
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(open) = self.open.get_mut(&id) {
            open.answer(answer);
        }
        self.forget(id);
    }

    /// Forgets a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.reply.is_none() && o.running == 0) {
            if let Some(name) = self.open.remove(&id).and_then(|o| o.out.name.clone()) {
                self.names.borrow_mut().remove(&name);
            }
        }
    }

    /// Forgets an upstream that is gone once nothing is out to it.
    fn forget_upstream(&mut self, id: UpstreamId) {
        let gone = self
            .upstreams
            .get(&id)
            .is_some_and(|known| known.entry.member.availability == Availability::Gone);
        if gone && !self.attempts.values().any(|a| a.upstream == id) {
            self.upstreams.remove(&id);
        }
    }

    /// Closes the idle connection that rested longest, of all upstreams: its socket is needed elsewhere.
    fn free_socket(&mut self) {
        let oldest = self.upstreams.values().filter_map(|k| Some((k.upstream.oldest_idle()?, &k.upstream)));
        if let Some((_, upstream)) = oldest.min_by_key(|&(since, _)| since) {
            upstream.drop_oldest();
        }
    }

    /// Keeps addresses and connections in step with the list.
    fn note_list(&mut self, listing: &EndpointUpdate) {
        // When the news was written, or counted as told, is not known: part of the grace may be over. What is on its way
        // and has not begun goes elsewhere.
        let now = Instant::now();
        for entry in &listing.endpoints {
            let m = &entry.member;
            debug!("list: {} is {:?}", entry.addr, m.availability);
            let known = self.upstreams.entry(m.id).or_insert_with(|| Known {
                upstream: (self.transports)(entry),
                gate: Rc::default(),
                entry: entry.clone(),
                hearing: UsageFeedback::default(),
            });
            // Another address or another start: the old connections lead nowhere.
            if known.entry.addr != entry.addr || known.entry.member.since != m.since {
                known.upstream.replaced(entry.addr);
            }
            if known.entry.protocol != entry.protocol {
                known.upstream = (self.transports)(entry);
            }
            known.entry = entry.clone();
            match m.availability {
                Availability::Ready => known.gate.open(),
                Availability::Draining | Availability::Gone => {
                    known.gate.close_at(now);
                    known.upstream.close_idle();
                }
            }
            if m.availability == Availability::Gone {
                self.forget_upstream(m.id);
            }
        }
    }
}
