//! The ledger: every request sent, every execution at an upstream and every answer, and whether the four rules hold
//! over them.
//!
//! Stand-ins write into it as things happen; [`Ledger::check`] reads the whole. Times are spans since the ledger was
//! opened, on one clock. It holds what it was told and asks the balancer nothing.
//!
//! ```
//! use std::time::Duration;
//! use testkit::ledger::{Effect, Entry, Fault, Figures, Ledger};
//!
//! let ledger = Ledger::new();
//! let ms = Duration::from_millis;
//! let (request, upstream) = ("r1".to_string(), "s-1".to_string());
//! let patience = ms(500);
//! let sent = Entry::Sent { request: request.clone(), balancer: "n1".into(), effect: Effect::Unsafe, patience };
//! ledger.write_at(ms(0), sent);
//! let ran = Entry::Executed { upstream, group: 0, request: request.clone(), work: ms(10) };
//! ledger.write_at(ms(5), ran);
//! // A refusal promises that another try is harmless, and this one has run.
//! ledger.write_at(ms(20), Entry::Answered { request, status: 503 });
//! let found = ledger.check(&Figures::default());
//! assert_eq!(found[0].fault, Fault::RefusedAfterRunning);
//! ```
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most entries that a ledger holds; a check of one that was told more says so.
pub const ENTRIES_MOST: usize = 1 << 20;

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key; a group of upstreams drops its repeats within a window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Whether an upstream takes new work, as a balancer was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Drains or is gone: takes none.
    Closed,
}

/// How an upstream that has just started comes to its full capacity: evenly over `ramp` from `from`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Work that it does at once when warm.
    pub cores: f64,
    /// The part of its capacity that it starts with.
    pub from: f64,
    /// When it is warm.
    pub ramp: Duration,
}

impl Cold {
    /// What it can do from `a` to `b` after its start.
    fn work(&self, a: Duration, b: Duration) -> Duration {
        // The part that is there grows evenly: over a span it is its mean, the part at the middle.
        let part = |at: Duration| {
            let done = (at.as_secs_f64() / self.ramp.as_secs_f64().max(1e-9)).min(1.0);
            self.from + (1.0 - self.from) * done
        };
        let mean = (part(a) + 4.0 * part((a + b) / 2) + part(b)) / 6.0;
        (b - a).mul_f64(self.cores * mean)
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A caller has begun to send a request on a connection that was accepted. Written once more if that connection
    /// closed between requests and the same request went out on another: the last one says who took it.
    Sent {
        /// Its id, new with every request.
        request: String,
        /// Who took it.
        balancer: String,
        /// What a repeat may do.
        effect: Effect,
        /// How long the caller waits.
        patience: Duration,
    },
    /// A whole answer came.
    Answered {
        /// The request.
        request: String,
        /// 200 is served, 429 and 503 are refusals, all else has failed.
        status: u16,
    },
    /// The caller went away of its own accord: nothing is owed any more.
    Left {
        /// The request.
        request: String,
    },
    /// A request's first bytes reached an upstream.
    Begun {
        /// Where.
        upstream: String,
        /// The request.
        request: String,
    },
    /// An upstream began to work on a request.
    Executed {
        /// Where.
        upstream: String,
        /// The group that shares the memory of keys.
        group: u32,
        /// The request.
        request: String,
        /// How much work it is.
        work: Duration,
    },
    /// A balancer was told of an upstream.
    Told {
        /// Who.
        balancer: String,
        /// Of which.
        upstream: String,
        /// What.
        state: State,
    },
    /// An upstream's process has started.
    Started {
        /// Which.
        upstream: String,
        /// How it warms up.
        cold: Cold,
    },
    /// A balancer was killed outright: what it held is its callers' to send again.
    Killed {
        /// Which.
        balancer: String,
    },
}

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// What a running balancer took gets exactly one final answer in time, and nothing is sent for it after that.
    NoRequestLost,
    /// An unsafe request runs once at most, a keyed one again only where its repeat is dropped.
    NoEffectTwice,
    /// Nothing new goes to an upstream after the grace.
    DrainsKept,
    /// A cold upstream is not sent more than a multiple of what it can do.
    ColdNotPushedOver,
}

/// The ways to break them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No answer came.
    AnswerLost,
    /// More than one came.
    TwoAnswers,
    /// It came after the caller had stopped waiting.
    AnswerLate,
    /// A request was served that no upstream had worked on.
    ServedByNobody,
    /// An attempt went out after the final answer.
    SentAfterAnswer,
    /// An unsafe request ran again.
    UnsafeRepeated,
    /// A keyed request ran again in another group.
    KeyedOutsideGroup,
    /// A keyed request ran again after the window.
    KeyedOutsideWindow,
    /// A request was refused that has run, where a repeat is not harmless.
    RefusedAfterRunning,
    /// An attempt went to an upstream that drains or is gone, after the grace.
    SentAfterGrace,
    /// A cold upstream was sent too much.
    ColdPushedOver,
    /// The ledger was told more than it holds.
    LedgerFull,
}

impl Fault {
    /// The rule that it breaks; `None` for a fault of the ledger itself.
    pub fn rule(self) -> Option<Rule> {
        use Fault::*;
        match self {
            AnswerLost | TwoAnswers | AnswerLate | ServedByNobody | SentAfterAnswer => {
                Some(Rule::NoRequestLost)
            }
            UnsafeRepeated | KeyedOutsideGroup | KeyedOutsideWindow | RefusedAfterRunning => {
                Some(Rule::NoEffectTwice)
            }
            SentAfterGrace => Some(Rule::DrainsKept),
            ColdPushedOver => Some(Rule::ColdNotPushedOver),
            LedgerFull => None,
        }
    }
}

/// A rule that was broken once.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// How.
    pub fault: Fault,
    /// When.
    pub at: Duration,
    /// The request or the upstream.
    pub whose: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.fault, self.at.as_secs_f64(), self.whose)
    }
}

/// Who drops the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every upstream.
    All,
    /// Those of the group that it ran in first.
    Group,
}

/// The rules in figures. [`Figures::default`] has the platform's.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Time limits are this much longer, for what the way takes.
    pub slack: Duration,
    /// How long after the news sends to an upstream may still begin.
    pub grace: Duration,
    /// Who drops repeats.
    pub scope: Scope,
    /// And for how long.
    pub window: Duration,
    /// How many times what it can do a cold upstream may be sent.
    pub cold_multiple: f64,
    /// Within any span of this length.
    pub cold_span: Duration,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            slack: Duration::from_millis(50),
            grace: Duration::from_secs(1),
            scope: Scope::Group,
            window: Duration::from_secs(4),
            cold_multiple: 4.0,
            cold_span: Duration::from_secs(1),
        }
    }
}

/// One entry and when it was written.
#[derive(Clone, Debug)]
pub struct Record {
    /// Since the ledger was opened.
    pub at: Duration,
    /// What happened.
    pub entry: Entry,
}

#[derive(Default)]
struct Books {
    records: Vec<Record>,
    /// Entries that found no room.
    dropped: u64,
}

/// A ledger; shared by reference between the threads of all stand-ins.
pub struct Ledger {
    opened: Instant,
    most: usize,
    books: Mutex<Books>,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger::new()
    }
}

/// All that belongs to one request.
#[derive(Default)]
struct Story<'a> {
    sent: Option<(Duration, &'a str, Effect, Duration)>,
    answers: Vec<(Duration, u16)>,
    left: Option<Duration>,
    begun: Vec<(Duration, &'a str)>,
    ran: Vec<(Duration, u32)>,
}

impl Ledger {
    /// An empty ledger for [`ENTRIES_MOST`] entries.
    pub fn new() -> Ledger {
        Ledger::with_room(ENTRIES_MOST)
    }

    /// An empty ledger for so many entries.
    pub fn with_room(most: usize) -> Ledger {
        Ledger { opened: Instant::now(), most, books: Mutex::default() }
    }

    /// A stand-in that panicked has failed its test; what it wrote before still holds.
    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time on its clock.
    pub fn now(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Writes what happens now.
    pub fn write(&self, entry: Entry) {
        let mut books = self.books();
        // Read under the lock, so that the order of entries is that of their times.
        let at = self.now();
        self.push(&mut books, Record { at, entry });
    }

    /// Writes what happened then.
    pub fn write_at(&self, at: Duration, entry: Entry) {
        self.push(&mut self.books(), Record { at, entry });
    }

    fn push(&self, books: &mut Books, record: Record) {
        if books.records.len() < self.most {
            books.records.push(record);
        } else {
            books.dropped += 1;
        }
    }

    /// All entries from the `from`th on, in the order in which they were written.
    pub fn since(&self, from: usize) -> Vec<Record> {
        self.books().records.get(from..).map(<[Record]>::to_vec).unwrap_or_default()
    }

    /// Checks the four rules over all entries. To be called once nothing is under way any more: a request without
    /// an answer counts as lost, however long its caller would still wait.
    pub fn check(&self, figures: &Figures) -> Vec<Violation> {
        let books = self.books();
        let mut records: Vec<&Record> = books.records.iter().collect();
        records.sort_by_key(|r| r.at);
        let mut found = Vec::new();
        if books.dropped > 0 {
            let whose = format!("{} entries found no room", books.dropped);
            found.push(Violation { fault: Fault::LedgerFull, at: self.now(), whose });
        }
        let mut stories: BTreeMap<&str, Story> = BTreeMap::new();
        for r in &records {
            let Some(request) = request_of(&r.entry) else { continue };
            let story = stories.entry(request).or_default();
            match &r.entry {
                Entry::Sent { balancer, effect, patience, .. } => {
                    let began = story.sent.map_or(r.at, |(at, ..)| at);
                    story.sent = Some((began, balancer, *effect, *patience));
                }
                Entry::Answered { status, .. } => story.answers.push((r.at, *status)),
                Entry::Left { .. } => story.left = Some(r.at),
                Entry::Begun { upstream, .. } => story.begun.push((r.at, upstream)),
                Entry::Executed { group, .. } => story.ran.push((r.at, *group)),
                Entry::Told { .. } | Entry::Started { .. } | Entry::Killed { .. } => {}
            }
        }
        let mut told: HashMap<(&str, &str), Vec<(Duration, State)>> = HashMap::new();
        let mut killed: HashMap<&str, Duration> = HashMap::new();
        for r in &records {
            match &r.entry {
                Entry::Told { balancer, upstream, state } => {
                    told.entry((balancer, upstream)).or_default().push((r.at, *state));
                }
                Entry::Killed { balancer } => {
                    killed.insert(balancer, r.at);
                }
                _ => {}
            }
        }
        for (request, story) in &stories {
            let Some((sent, balancer, effect, patience)) = story.sent else { continue };
            let excused = killed.get(balancer).is_some_and(|&at| at >= sent);
            let mut fault =
                |fault, at| found.push(Violation { fault, at, whose: format!("request {request}") });
            answers(story, (sent, patience), excused, figures, &mut fault);
            effects(story, effect, figures, &mut fault);
            for &(at, upstream) in &story.begun {
                let news = told.get(&(balancer, upstream)).map_or(&[][..], Vec::as_slice);
                if closed_for(news, at) > figures.grace + figures.slack {
                    fault(Fault::SentAfterGrace, at);
                }
            }
        }
        cold(&records, figures, &mut found);
        found.sort_by_key(|v| v.at);
        found
    }
}

fn request_of(entry: &Entry) -> Option<&str> {
    match entry {
        Entry::Sent { request, .. }
        | Entry::Answered { request, .. }
        | Entry::Left { request }
        | Entry::Begun { request, .. }
        | Entry::Executed { request, .. } => Some(request),
        Entry::Told { .. } | Entry::Started { .. } | Entry::Killed { .. } => None,
    }
}

/// How long an upstream had been closed, by what a balancer had been told until then, counted from the first news.
fn closed_for(news: &[(Duration, State)], at: Duration) -> Duration {
    let mut closed = None;
    for &(when, state) in news.iter().filter(|&&(when, _)| when <= at) {
        closed = match state {
            State::Ready => None,
            State::Closed => closed.or(Some(when)),
        };
    }
    closed.map_or(Duration::ZERO, |when| at - when)
}

fn answers(
    story: &Story,
    (sent, patience): (Duration, Duration),
    excused: bool,
    figures: &Figures,
    fault: &mut impl FnMut(Fault, Duration),
) {
    match (story.answers.first(), story.left) {
        (None, None) if !excused => fault(Fault::AnswerLost, sent),
        (Some(&(at, _)), _) if at > sent + patience + figures.slack => fault(Fault::AnswerLate, at),
        _ => {}
    }
    if let Some(&(at, _)) = story.answers.get(1) {
        fault(Fault::TwoAnswers, at);
    }
    if let Some(&(at, 200)) = story.answers.first() {
        if story.ran.iter().all(|&(ran, _)| ran > at) {
            fault(Fault::ServedByNobody, at);
        }
    }
    // Whichever came first ended it.
    let over = story.answers.first().map(|&(at, _)| at).into_iter().chain(story.left).min();
    if let Some(&(at, _)) = story.begun.iter().find(|&&(at, _)| over.is_some_and(|o| at > o + figures.slack))
    {
        fault(Fault::SentAfterAnswer, at);
    }
}

fn effects(story: &Story, effect: Effect, figures: &Figures, fault: &mut impl FnMut(Fault, Duration)) {
    let Some((&(first, group), again)) = story.ran.split_first() else { return };
    match effect {
        Effect::Safe => {}
        Effect::Unsafe => again.iter().for_each(|&(at, _)| fault(Fault::UnsafeRepeated, at)),
        Effect::Keyed => {
            for &(at, other) in again {
                if figures.scope == Scope::Group && other != group {
                    fault(Fault::KeyedOutsideGroup, at);
                }
                if at > first + figures.window + figures.slack {
                    fault(Fault::KeyedOutsideWindow, at);
                }
            }
        }
    }
    let harmless = effect == Effect::Safe || (effect == Effect::Keyed && figures.scope == Scope::All);
    for &(at, status) in &story.answers {
        if matches!(status, 429 | 503) && !harmless {
            fault(Fault::RefusedAfterRunning, at);
        }
    }
}

/// Looks at each span that begins with a piece of work; one request more than the budget is chance.
fn cold(records: &[&Record], figures: &Figures, found: &mut Vec<Violation>) {
    let mut starts: BTreeMap<&str, Vec<(Duration, Cold)>> = BTreeMap::new();
    let mut work: HashMap<&str, Vec<(Duration, Duration)>> = HashMap::new();
    for r in records {
        match &r.entry {
            Entry::Started { upstream, cold } => starts.entry(upstream).or_default().push((r.at, *cold)),
            Entry::Executed { upstream, work: w, .. } => work.entry(upstream).or_default().push((r.at, *w)),
            _ => {}
        }
    }
    for (upstream, starts) in starts {
        let all = work.get(upstream).map_or(&[][..], Vec::as_slice);
        for (k, &(started, cold)) in starts.iter().enumerate() {
            let end = starts.get(k + 1).map_or(Duration::MAX, |&(next, _)| next).min(started + cold.ramp);
            let during: Vec<_> = all.iter().filter(|(at, _)| (started..end).contains(at)).collect();
            let (mut last, mut sum) = (0, Duration::ZERO);
            for (first, &&(from, own)) in during.iter().enumerate() {
                while last < during.len() && during[last].0 < from + figures.cold_span {
                    sum += during[last].1;
                    last += 1;
                }
                let since = from - started;
                let room = cold.work(since, since + figures.cold_span).mul_f64(figures.cold_multiple);
                let largest = during[first..last].iter().map(|(_, w)| *w).max().unwrap_or_default();
                if sum > room + largest {
                    let whose =
                        format!("upstream {upstream}, sent {sum:?} of work in {:?}", figures.cold_span);
                    found.push(Violation { fault: Fault::ColdPushedOver, at: from, whose });
                    break;
                }
                sum = sum.saturating_sub(own);
            }
        }
    }
}
