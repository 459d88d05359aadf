//! One client of the council: finds the leader and follows it, keeps a session, and sends again what may be sent again.
//!
//! **A write happens once.** It carries its session and a number; while its answer is unclear it is sent again with the
//! same number, also to the next leader, and is answered as it was the first time. Unclear it stays only if its time is
//! up first, or its session ended meanwhile.
//!
//! **A session is held** until its time to live has passed since the last renewal that was answered *was sent*, by this
//! process's own clock and a little less ([`crate::DRIFT`]). From then on the holder has to count as ended, whatever it
//! hears later; the voters wait longer than that. A session that was fenced is not opened again: another process has its
//! name.
use crate::record::{Change, Condition, End, Outcome, Refusal, Revision, SessionId, Write};
use crate::wire::{Answer, Call, Reply, Request, Select};
use crate::DRIFT;
use backoff::Backoff;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Asks that may wait; one more is not taken.
pub const ASKS_MOST: usize = 1_024;
/// First pause after a failure.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest.
const PAUSE_MOST: Duration = Duration::from_secs(2);

/// How a client is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where voters listen.
    pub voters: Vec<String>,
    /// Its session; `None`: it only reads, watches and administers.
    pub session: Option<SessionSettings>,
    /// How long an answer may take before the connection counts as dead.
    pub patience: Duration,
    /// For its draws, and the number that tells its opening from others'.
    pub seed: u64,
}

/// A client's session.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// The name.
    pub name: String,
    /// It ends when it is not renewed for so long.
    pub ttl: Duration,
    /// Whether the first opening ends another session with the name.
    pub take_over: bool,
}

/// What it is asked for by the process that it is part of.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Changes of keys under its session.
    Write {
        /// What has to be so.
        when: Vec<Condition>,
        /// What is changed then.
        then: Vec<Change>,
    },
    /// Keys as they are now.
    Read(Select),
    /// Changes of keys from now on, or after a revision; told until it is given up.
    Watch {
        /// Keys that begin so.
        under: String,
        /// After this revision.
        after: Option<Revision>,
    },
    /// Something else that the leader is to do, and that may be done twice.
    Call(Request),
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// The connection that was wanted stands, and the other side is a voter of this council.
    Connected,
    /// It could not be had, or is gone.
    Disconnected,
    /// A reply came.
    Reply(Reply),
    /// Something is asked for, and how long it may take.
    Ask {
        /// Who asks; told with the answer.
        ticket: u64,
        /// What.
        ask: Ask,
        /// Its time; a watch has none.
        within: Duration,
    },
    /// What was asked for is not wanted any more.
    GiveUp(u64),
    /// A session is wanted from now on, by a client that had none.
    Open(SessionSettings),
    /// The session is to end.
    Close,
    /// It is time; see [`Client::wake`].
    Time,
}

/// What is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A connection to this address, in place of the one there is.
    Connect(String),
    /// No connection.
    Disconnect,
    /// A call over it.
    Send(Call),
    /// What came of something that was asked for.
    Tell {
        /// Who asked.
        ticket: u64,
        /// What came of it.
        told: Told,
    },
    /// What became of the session.
    Session(News),
}

/// What came of something that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The leader's answer. To a watch more than one: `Watching`, `Changes`, `Lost` (then nothing more comes).
    Answer(Answer),
    /// It may have been done or not, and why it is not known.
    Unclear(String),
    /// It was not done, and why.
    NotDone(String),
}

/// What became of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It is held.
    Held(SessionId),
    /// By its own clock it may have ended: nothing may rest on it until it is held again.
    Doubtful(SessionId),
    /// It has ended, and another is opened.
    Ended(SessionId),
    /// Another process has its name. It is not opened again.
    Fenced {
        /// The session that ended, or was refused (0).
        session: SessionId,
        /// The other's.
        by: SessionId,
    },
    /// Another one has the name, and it waits until that one ends.
    Waits(SessionId),
    /// The council refuses it, and why; it tries again.
    Refused(String),
}

#[derive(Debug)]
enum Link {
    /// Until then it does not try.
    Idle(Duration),
    Connecting,
    Up,
}

#[derive(Debug)]
struct Asked {
    ask: Ask,
    until: Option<Duration>,
    /// The call that it went out as last, on this connection, and when.
    call: Option<(u64, Duration)>,
    /// The session and number of a write, from its first sending on.
    number: Option<(SessionId, u64)>,
    /// How often it went out.
    sent: u32,
    /// Not before then.
    not_before: Duration,
    /// What a watch was told last.
    revision: Option<Revision>,
    busy: Backoff,
}

#[derive(Debug)]
enum Session {
    None,
    Opening {
        nonce: u64,
        take_over: bool,
        call: Option<(u64, Duration)>,
        not_before: Duration,
    },
    Open {
        id: SessionId,
        until: Duration,
        renewed: Duration,
        call: Option<(u64, Duration)>,
        doubtful: bool,
        numbers: u64,
    },
    Closing {
        id: SessionId,
        call: Option<(u64, Duration)>,
    },
    Over,
}

/// A client.
pub struct Client {
    settings: Settings,
    random: Pcg64Mcg,
    link: Link,
    /// The voter that is tried next.
    next: usize,
    /// Where the last voter said that the leader is.
    hint: Option<String>,
    pauses: Backoff,
    calls: u64,
    asks: BTreeMap<u64, Asked>,
    /// Writes in order: one at a time is under way.
    writes: VecDeque<u64>,
    session: Session,
    session_pauses: Backoff,
    /// When the voter was heard last, and what it is asked where nothing else would show that it has gone silent.
    heard: Duration,
    ping: Option<(u64, Duration)>,
}

impl Client {
    /// A client that has not begun.
    pub fn new(settings: Settings) -> Client {
        let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
        let session = match &settings.session {
            Some(s) => Session::Opening {
                nonce: random.gen(),
                take_over: s.take_over,
                call: None,
                not_before: Duration::ZERO,
            },
            None => Session::None,
        };
        let next = random.gen_range(0..settings.voters.len().max(1));
        let pauses = Backoff::new(PAUSE, PAUSE_MOST);
        Client {
            settings,
            random,
            link: Link::Idle(Duration::ZERO),
            next,
            hint: None,
            session_pauses: pauses.clone(),
            pauses,
            calls: 0,
            asks: BTreeMap::new(),
            writes: VecDeque::new(),
            session,
            heard: Duration::ZERO,
            ping: None,
        }
    }

    /// Its session, while it is held.
    pub fn holds(&self, now: Duration) -> Option<SessionId> {
        match self.session {
            Session::Open { id, until, doubtful: false, .. } if now < until => Some(id),
            _ => None,
        }
    }

    /// Its session, held or doubtful.
    pub fn session(&self) -> Option<SessionId> {
        match self.session {
            Session::Open { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Until when its session is held, by its own clock, unless it is renewed before.
    pub fn held_until(&self) -> Option<Duration> {
        match self.session {
            Session::Open { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Whether its session is over for good.
    pub fn over(&self) -> bool {
        matches!(self.session, Session::Over)
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Duration> {
        let mut wake: Option<Duration> = None;
        let mut sooner = |at: Duration| wake = Some(wake.map_or(at, |w| w.min(at)));
        let patience = self.settings.patience;
        let call = |call: &Option<(u64, Duration)>| call.map(|(_, at)| at + patience);
        match &self.link {
            Link::Idle(until) if self.wants_link() => sooner(*until),
            _ => {}
        }
        let up = matches!(self.link, Link::Up);
        match &self.session {
            Session::Opening { call: c, not_before, .. } if up => sooner(call(c).unwrap_or(*not_before)),
            Session::Open { until, renewed, call: c, doubtful, .. } => {
                if !doubtful {
                    sooner(*until);
                }
                if up {
                    sooner(call(c).unwrap_or(*renewed + self.every()));
                }
            }
            Session::Closing { call: Some((_, at)), .. } => sooner(*at + patience),
            _ => {}
        }
        if up && self.only_watches() {
            sooner(call(&self.ping).unwrap_or(self.heard + patience));
        }
        let first_write = self.writes.front();
        for (ticket, asked) in &self.asks {
            if let Some(until) = asked.until {
                sooner(until);
            }
            let is_write = matches!(asked.ask, Ask::Write { .. });
            if up
                && asked.call.is_none()
                && (!is_write || first_write == Some(ticket))
                && asked.not_before > Duration::ZERO
            {
                sooner(asked.not_before);
            }
            if let (true, Some((_, at)), false) = (up, asked.call, asked.revision.is_some()) {
                sooner(at + patience);
            }
        }
        wake
    }

    /// How often a session is renewed.
    fn every(&self) -> Duration {
        self.settings.session.as_ref().map_or(Duration::MAX, |s| s.ttl / 3)
    }

    /// Whether nothing but watches is under way, and no session that is renewed: a voter that has gone silent, or a link that
    /// has, would be taken for one with nothing to tell.
    fn only_watches(&self) -> bool {
        let session = !matches!(self.session, Session::None | Session::Over);
        !session && self.asks.values().any(|a| matches!(a.ask, Ask::Watch { .. }) && a.call.is_some())
    }

    fn wants_link(&self) -> bool {
        let session =
            matches!(self.session, Session::Opening { .. } | Session::Open { .. } | Session::Closing { .. });
        session || !self.asks.is_empty()
    }

    /// Takes in what happens; what follows is added to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Connected if matches!(self.link, Link::Connecting) => {
                self.link = Link::Up;
                self.heard = now;
            }
            Event::Connected => {}
            Event::Disconnected => self.lost(now, None),
            Event::Reply(reply) => self.reply(now, reply, out),
            Event::Ask { ticket, ask, within } => self.ask(now, ticket, ask, within, out),
            Event::GiveUp(ticket) => self.give_up(ticket, out),
            Event::Open(session) => self.open(now, session),
            Event::Close => self.close(),
            Event::Time => {}
        }
        self.time(now, out);
        self.go_on(now, out);
    }

    fn ask(&mut self, now: Duration, ticket: u64, ask: Ask, within: Duration, out: &mut Vec<Action>) {
        let why = match &ask {
            _ if self.asks.len() >= ASKS_MOST => Some(format!("{ASKS_MOST} asks wait")),
            Ask::Write { .. } if matches!(self.session, Session::None) => Some("there is no session".into()),
            Ask::Write { .. } if self.over() => Some("the session is over".into()),
            _ => None,
        };
        if let Some(why) = why {
            out.push(Action::Tell { ticket, told: Told::NotDone(why) });
            return;
        }
        let watch = matches!(ask, Ask::Watch { .. });
        if matches!(ask, Ask::Write { .. }) {
            self.writes.push_back(ticket);
        }
        let until = (!watch).then(|| now + within);
        let busy = Backoff::new(PAUSE, PAUSE_MOST);
        let asked = Asked {
            ask,
            until,
            call: None,
            number: None,
            sent: 0,
            not_before: Duration::ZERO,
            revision: None,
            busy,
        };
        self.asks.insert(ticket, asked);
    }

    fn give_up(&mut self, ticket: u64, out: &mut Vec<Action>) {
        let Some(asked) = self.forget(ticket) else { return };
        if let (Link::Up, Ask::Watch { .. }, Some((watch, _))) = (&self.link, &asked.ask, asked.call) {
            self.calls += 1;
            out.push(Action::Send(Call { id: self.calls, request: Request::Unwatch { watch } }));
        }
    }

    fn open(&mut self, now: Duration, session: SessionSettings) {
        if self.settings.session.is_some() {
            return;
        }
        let (nonce, take_over) = (self.random.gen(), session.take_over);
        self.session = Session::Opening { nonce, take_over, call: None, not_before: now };
        self.settings.session = Some(session);
    }

    fn close(&mut self) {
        self.session = match self.session {
            Session::Open { id, .. } => Session::Closing { id, call: None },
            Session::Closing { id, call } => Session::Closing { id, call },
            Session::None => Session::None,
            Session::Opening { .. } | Session::Over => Session::Over,
        };
    }

    fn forget(&mut self, ticket: u64) -> Option<Asked> {
        self.writes.retain(|&t| t != ticket);
        self.asks.remove(&ticket)
    }

    fn tell(&mut self, ticket: u64, told: Told, out: &mut Vec<Action>) {
        self.forget(ticket);
        out.push(Action::Tell { ticket, told });
    }

    /// The connection is gone: what went out on it goes out again on the next.
    fn lost(&mut self, now: Duration, hint: Option<String>) {
        let pause = match hint {
            // Straight to whom the last voter named; in a circle it gets slower.
            Some(_) if self.pauses.row() < 2 => {
                let _ = self.pauses.failed(0.0);
                Duration::ZERO
            }
            _ => self.pauses.failed(self.random.gen()),
        };
        if hint.is_none() {
            self.next = (self.next + 1) % self.settings.voters.len().max(1);
        }
        self.hint = hint;
        self.link = Link::Idle(now + pause);
        self.ping = None;
        for asked in self.asks.values_mut() {
            asked.call = None;
        }
        match &mut self.session {
            Session::Opening { call, .. } | Session::Open { call, .. } | Session::Closing { call, .. } => {
                *call = None
            }
            Session::None | Session::Over => {}
        }
    }

    fn reply(&mut self, now: Duration, reply: Reply, out: &mut Vec<Action>) {
        let Reply { id, answer } = reply;
        if !matches!(self.link, Link::Up) {
            return;
        }
        self.heard = now;
        match answer {
            // Whatever it was the answer to: nobody here can answer.
            Answer::NotLeader { leader } => {
                out.push(Action::Disconnect);
                return self.lost(now, leader);
            }
            Answer::Unclear => {
                out.push(Action::Disconnect);
                return self.lost(now, None);
            }
            _ => self.pauses.worked(),
        }
        if self.session_reply(now, id, &answer, out) || self.ping.take_if(|(call, _)| *call == id).is_some() {
            return;
        }
        let Some((&ticket, asked)) = self.asks.iter_mut().find(|(_, a)| a.call.is_some_and(|(c, _)| c == id))
        else {
            return;
        };
        match (&asked.ask, answer) {
            (_, Answer::Busy(_)) => {
                asked.call = None;
                asked.not_before = now + asked.busy.failed(self.random.gen());
            }
            (
                Ask::Watch { .. },
                answer @ (Answer::Watching { revision } | Answer::Changes { revision, .. }),
            ) => {
                let begins = matches!(answer, Answer::Watching { .. });
                let again = begins && asked.revision.is_some();
                asked.revision = Some(revision);
                // That it stands again after a change of leader is nobody's concern.
                if !again {
                    out.push(Action::Tell { ticket, told: Told::Answer(answer) });
                }
            }
            (Ask::Write { .. }, Answer::Outcome(Outcome::Refused(Refusal::Ended(how)))) => {
                let (once, number) = (asked.sent == 1, asked.number);
                if once {
                    // It went out this one time, and this says that it was not done.
                    self.tell(ticket, Told::NotDone(format!("the session has ended: {how}")), out);
                }
                self.session_ended(now, number.map_or(0, |(session, _)| session), how, out);
                if self.asks.contains_key(&ticket) {
                    self.tell(ticket, Told::Unclear(format!("the session has ended: {how}")), out);
                }
            }
            (_, answer) => self.tell(ticket, Told::Answer(answer), out),
        }
    }

    /// Whether the reply was the session's.
    fn session_reply(&mut self, now: Duration, id: u64, answer: &Answer, out: &mut Vec<Action>) -> bool {
        let Some(s) = &self.settings.session else { return false };
        let (ttl, least) = (s.ttl, s.ttl - s.ttl / DRIFT);
        match &mut self.session {
            Session::Opening { call: Some((call, at)), not_before, .. } if *call == id => {
                let at = *at;
                match answer {
                    Answer::Outcome(Outcome::Opened(session)) => {
                        let id = *session;
                        self.session_pauses.worked();
                        self.session = Session::Open {
                            id,
                            until: at + least,
                            renewed: at,
                            call: None,
                            doubtful: false,
                            numbers: 0,
                        };
                        out.push(Action::Session(News::Held(id)));
                    }
                    other => {
                        *not_before = now + self.session_pauses.failed(self.random.gen());
                        if let Session::Opening { call, .. } = &mut self.session {
                            *call = None;
                        }
                        match other {
                            Answer::Outcome(Outcome::Refused(Refusal::Held(by))) => {
                                out.push(Action::Session(News::Waits(*by)));
                            }
                            Answer::Outcome(Outcome::Refused(why)) => {
                                out.push(Action::Session(News::Refused(why.to_string())));
                            }
                            Answer::Failed(why) => out.push(Action::Session(News::Refused(why.clone()))),
                            _ => {}
                        }
                    }
                }
                true
            }
            Session::Open { id: session, until, renewed, call: Some((call, at)), doubtful, .. }
                if *call == id =>
            {
                let (session, at) = (*session, *at);
                match answer {
                    Answer::Renewed => {
                        *until = at + least;
                        *renewed = at;
                        // An answer that came after its own time is none.
                        let held = now < *until;
                        if held && std::mem::take(doubtful) {
                            out.push(Action::Session(News::Held(session)));
                        }
                    }
                    Answer::Outcome(Outcome::Refused(Refusal::Ended(how))) => {
                        self.session_ended(now, session, *how, out);
                        return true;
                    }
                    // Busy: soon again.
                    _ => *renewed = now.saturating_sub(ttl / 3) + PAUSE,
                }
                if let Session::Open { call, .. } = &mut self.session {
                    *call = None;
                }
                true
            }
            Session::Closing { call: Some((call, _)), .. } if *call == id => {
                match answer {
                    Answer::Busy(_) => {
                        if let Session::Closing { call, .. } = &mut self.session {
                            *call = None;
                        }
                    }
                    _ => self.session = Session::Over,
                }
                true
            }
            _ => false,
        }
    }

    /// The council says that the session has ended. Its writes end with it: those that went out may have been done.
    fn session_ended(&mut self, now: Duration, session: SessionId, how: End, out: &mut Vec<Action>) {
        match self.session {
            Session::Open { id, .. } | Session::Closing { id, .. } if id == session => {}
            _ => return,
        }
        for ticket in self.writes.clone() {
            let Some(asked) = self.asks.get(&ticket) else { continue };
            if asked.number.is_some_and(|(s, _)| s == session) {
                let why = format!("the session has ended: {how}");
                self.tell(ticket, Told::Unclear(why), out);
            }
        }
        match how {
            End::Fenced(by) => {
                self.session = Session::Over;
                out.push(Action::Session(News::Fenced { session, by }));
                for ticket in std::mem::take(&mut self.writes) {
                    self.tell(ticket, Told::NotDone("the session is over".into()), out);
                }
            }
            End::Closed | End::Expired => {
                if matches!(self.session, Session::Closing { .. }) {
                    self.session = Session::Over;
                    return;
                }
                let nonce = self.random.gen();
                self.session = Session::Opening { nonce, take_over: false, call: None, not_before: now };
                out.push(Action::Session(News::Ended(session)));
            }
        }
    }

    /// What is over by now.
    fn time(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Session::Open { id, until, doubtful, .. } = &mut self.session {
            if now >= *until && !*doubtful {
                *doubtful = true;
                out.push(Action::Session(News::Doubtful(*id)));
            }
        }
        let over: Vec<u64> =
            self.asks.iter().filter(|(_, a)| a.until.is_some_and(|u| u <= now)).map(|(&t, _)| t).collect();
        for ticket in over {
            let Some(asked) = self.asks.get(&ticket) else { continue };
            let why = "no answer in time".to_string();
            let told = match (&asked.ask, asked.sent > 0) {
                (Ask::Write { .. } | Ask::Call(_), true) => Told::Unclear(why),
                _ => Told::NotDone(why),
            };
            self.tell(ticket, told, out);
        }
        if !matches!(self.link, Link::Up) {
            return;
        }
        let patience = self.settings.patience;
        let late = |call: &Option<(u64, Duration)>| call.is_some_and(|(_, at)| now >= at + patience);
        let dead = match &self.session {
            Session::Opening { call, .. } | Session::Open { call, .. } | Session::Closing { call, .. } => {
                late(call)
            }
            Session::None | Session::Over => false,
        };
        // A watch that stands says nothing while nothing changes.
        if dead || late(&self.ping) || self.asks.values().any(|a| a.revision.is_none() && late(&a.call)) {
            out.push(Action::Disconnect);
            self.lost(now, None);
        }
    }

    /// Goes on with all that can go on.
    fn go_on(&mut self, now: Duration, out: &mut Vec<Action>) {
        match self.link {
            Link::Idle(until) if now >= until && self.wants_link() => {
                self.link = Link::Connecting;
                let voters = &self.settings.voters;
                let to = self.hint.take().or_else(|| voters.get(self.next % voters.len().max(1)).cloned());
                out.extend(to.map(Action::Connect));
                return;
            }
            Link::Up => {}
            _ => return,
        }
        self.session_on(now, out);
        let session = match self.session {
            Session::Open { id, .. } => Some(id),
            _ => None,
        };
        let first = self.writes.front().copied();
        let mut send = Vec::new();
        for (&ticket, asked) in &mut self.asks {
            if asked.call.is_some() || asked.not_before > now {
                continue;
            }
            let request = match &asked.ask {
                Ask::Write { when, then } => {
                    let (Some(id), true) = (session, first == Some(ticket)) else { continue };
                    let Session::Open { numbers, .. } = &mut self.session else { continue };
                    let (session, number) = *asked.number.get_or_insert_with(|| {
                        *numbers += 1;
                        (id, *numbers)
                    });
                    Request::Write(Write { session, number, when: when.clone(), then: then.clone() })
                }
                Ask::Read(select) => Request::Read(select.clone()),
                Ask::Watch { under, after } => {
                    let after = asked.revision.or(*after);
                    Request::Watch { under: under.clone(), after }
                }
                Ask::Call(request) => request.clone(),
            };
            self.calls += 1;
            asked.call = Some((self.calls, now));
            asked.sent = asked.sent.saturating_add(1);
            send.push(Action::Send(Call { id: self.calls, request }));
        }
        out.extend(send);
        if self.ping.is_none() && self.only_watches() && now >= self.heard + self.settings.patience {
            self.calls += 1;
            self.ping = Some((self.calls, now));
            // No key has no name: the answer says only that a leader is there who still leads.
            let request = Request::Read(Select::Key(String::new()));
            out.push(Action::Send(Call { id: self.calls, request }));
        }
    }

    fn session_on(&mut self, now: Duration, out: &mut Vec<Action>) {
        let every = self.every();
        let Some(s) = &self.settings.session else { return };
        let ttl_ms = u64::try_from(s.ttl.as_millis()).unwrap_or(u64::MAX);
        let (call, request) = match &mut self.session {
            Session::Opening { nonce, take_over, call: call @ None, not_before } if *not_before <= now => {
                let request =
                    Request::Open { name: s.name.clone(), nonce: *nonce, ttl_ms, take_over: *take_over };
                (call, request)
            }
            Session::Open { id, renewed, call: call @ None, doubtful, .. }
                if *doubtful || now >= *renewed + every =>
            {
                (call, Request::Renew { session: *id })
            }
            Session::Closing { id, call: call @ None } => (call, Request::Close { session: *id }),
            _ => return,
        };
        self.calls += 1;
        *call = Some((self.calls, now));
        out.push(Action::Send(Call { id: self.calls, request }));
    }
}
