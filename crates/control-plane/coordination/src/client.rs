//! One client of the council: finds the leader and follows it, keeps a session, and sends again what may be sent again.
//!
//! **A write happens once.** It carries its session and a number; while its answer is unclear it is sent again with the
//! same number, also to the next leader, and is answered as it was the first time. Unclear it stays only if its time is
//! up first, or its session ended meanwhile.
//!
//! **A session is held** until its time to live has passed since the last renewal that was answered *was sent*, by this
//! process's own clock and a little less ([`crate::CLOCK_DRIFT_FRACTION`]). From then on the holder has to count as ended, whatever it
//! hears later; the voters wait longer than that. A session that was fenced is not opened again: another process has its
//! name.
use crate::protocol::{Answer, Call, Reply, Request, Select};
use crate::state_machine::{Compare, Op, Outcome, Rejection, Revision, SessionEnd, SessionId, Transaction};
use crate::CLOCK_DRIFT_FRACTION;
use backoff::Backoff;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Asks that may wait; one more is not taken.
pub const MAX_PENDING_REQUESTS: usize = 1_024;
/// First pause after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How a client is set up.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Where voters listen.
    pub voters: Vec<String>,
    /// Its session; `None`: it only reads, watches and administers.
    pub session: Option<SessionConfig>,
    /// How long an answer may take before the connection counts as dead.
    pub response_timeout: Duration,
    /// For its draws, and the number that tells its opening from others'.
    pub seed: u64,
}

/// A client's session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The name.
    pub name: String,
    /// It ends when it is not renewed for so long.
    pub ttl: Duration,
    /// Whether the first opening ends another session with the name.
    pub take_over: bool,
}

/// What it is asked for by the process that it is part of.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// Changes of keys under its session.
    Transact {
        /// What has to be so.
        compares: Vec<Compare>,
        /// What is changed then.
        ops: Vec<Op>,
    },
    /// Keys as they are now.
    Read(Select),
    /// Changes of keys from now on, or after a revision; told until it is given up.
    Watch {
        /// Keys that begin so.
        prefix: String,
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
    Submit {
        /// Who asks; told with the answer.
        request_id: u64,
        /// What.
        request: ClientRequest,
        /// Its time; a watch has none.
        timeout: Duration,
    },
    /// What was asked for is not wanted any more.
    Cancel(u64),
    /// A session is wanted from now on, by a client that had none.
    OpenSession(SessionConfig),
    /// The session is to end.
    CloseSession,
    /// It is time; see [`Client::wake`].
    Timeout,
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
    Complete {
        /// Who asked.
        request_id: u64,
        /// What came of it.
        outcome: RequestOutcome,
    },
    /// What became of the session.
    SessionChanged(SessionEvent),
}

/// What came of something that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The leader's answer. To a watch more than one: `Watching`, `Changes`, `Lost` (then nothing more comes).
    Answered(Answer),
    /// It may have been done or not, and why it is not known.
    Indeterminate(String),
    /// It was not done, and why.
    NotExecuted(String),
}

/// What became of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// It is held.
    Established(SessionId),
    /// By its own clock it may have ended: nothing may rest on it until it is held again.
    Suspect(SessionId),
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
    WaitingForName(SessionId),
    /// The council refuses it, and why; it tries again.
    Rejected(String),
}

#[derive(Debug)]
enum Link {
    /// Until then it does not try.
    Idle(Duration),
    Connecting,
    Up,
}

#[derive(Debug)]
struct PendingRequest {
    ask: ClientRequest,
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
    settings: ClientConfig,
    random: Pcg64Mcg,
    link: Link,
    /// The voter that is tried next.
    next: usize,
    /// Where the last voter said that the leader is.
    hint: Option<String>,
    pauses: Backoff,
    calls: u64,
    asks: BTreeMap<u64, PendingRequest>,
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
    pub fn new(settings: ClientConfig) -> Client {
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
        let pauses = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
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
    pub fn held_session(&self, now: Duration) -> Option<SessionId> {
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
    pub fn lease_expiry(&self) -> Option<Duration> {
        match self.session {
            Session::Open { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Whether its session is over for good.
    pub fn is_closed(&self) -> bool {
        matches!(self.session, Session::Over)
    }

    /// When it wants to be told of the time.
    pub fn next_timeout(&self) -> Option<Duration> {
        let mut wake: Option<Duration> = None;
        let mut sooner = |at: Duration| wake = Some(wake.map_or(at, |w| w.min(at)));
        let patience = self.settings.response_timeout;
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
            let is_write = matches!(asked.ask, ClientRequest::Transact { .. });
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
        !session
            && self.asks.values().any(|a| matches!(a.ask, ClientRequest::Watch { .. }) && a.call.is_some())
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
            Event::Submit { request_id: ticket, request: ask, timeout: within } => {
                self.ask(now, ticket, ask, within, out)
            }
            Event::Cancel(ticket) => self.give_up(ticket, out),
            Event::OpenSession(session) => self.open(now, session),
            Event::CloseSession => self.close(),
            Event::Timeout => {}
        }
        self.time(now, out);
        self.go_on(now, out);
    }

    fn ask(
        &mut self,
        now: Duration,
        ticket: u64,
        ask: ClientRequest,
        within: Duration,
        out: &mut Vec<Action>,
    ) {
        let why = match &ask {
            _ if self.asks.len() >= MAX_PENDING_REQUESTS => Some(format!("{MAX_PENDING_REQUESTS} asks wait")),
            ClientRequest::Transact { .. } if matches!(self.session, Session::None) => {
                Some("there is no session".into())
            }
            ClientRequest::Transact { .. } if self.is_closed() => Some("the session is over".into()),
            _ => None,
        };
        if let Some(why) = why {
            out.push(Action::Complete { request_id: ticket, outcome: RequestOutcome::NotExecuted(why) });
            return;
        }
        let watch = matches!(ask, ClientRequest::Watch { .. });
        if matches!(ask, ClientRequest::Transact { .. }) {
            self.writes.push_back(ticket);
        }
        let until = (!watch).then(|| now + within);
        let busy = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let asked = PendingRequest {
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
        if let (Link::Up, ClientRequest::Watch { .. }, Some((watch, _))) =
            (&self.link, &asked.ask, asked.call)
        {
            self.calls += 1;
            out.push(Action::Send(Call { id: self.calls, request: Request::Unwatch { watch } }));
        }
    }

    fn open(&mut self, now: Duration, session: SessionConfig) {
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

    fn forget(&mut self, ticket: u64) -> Option<PendingRequest> {
        self.writes.retain(|&t| t != ticket);
        self.asks.remove(&ticket)
    }

    fn tell(&mut self, ticket: u64, told: RequestOutcome, out: &mut Vec<Action>) {
        self.forget(ticket);
        out.push(Action::Complete { request_id: ticket, outcome: told });
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
            Answer::Indeterminate => {
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
                ClientRequest::Watch { .. },
                answer @ (Answer::Watching { revision } | Answer::Events { revision, .. }),
            ) => {
                let begins = matches!(answer, Answer::Watching { .. });
                let again = begins && asked.revision.is_some();
                asked.revision = Some(revision);
                // That it stands again after a change of leader is nobody's concern.
                if !again {
                    out.push(Action::Complete {
                        request_id: ticket,
                        outcome: RequestOutcome::Answered(answer),
                    });
                }
            }
            (
                ClientRequest::Transact { .. },
                Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(how))),
            ) => {
                let (once, number) = (asked.sent == 1, asked.number);
                if once {
                    // It went out this one time, and this says that it was not done.
                    self.tell(
                        ticket,
                        RequestOutcome::NotExecuted(format!("the session has ended: {how}")),
                        out,
                    );
                }
                self.session_ended(now, number.map_or(0, |(session, _)| session), how, out);
                if self.asks.contains_key(&ticket) {
                    self.tell(
                        ticket,
                        RequestOutcome::Indeterminate(format!("the session has ended: {how}")),
                        out,
                    );
                }
            }
            (_, answer) => self.tell(ticket, RequestOutcome::Answered(answer), out),
        }
    }

    /// Whether the reply was the session's.
    fn session_reply(&mut self, now: Duration, id: u64, answer: &Answer, out: &mut Vec<Action>) -> bool {
        let Some(s) = &self.settings.session else { return false };
        let (ttl, least) = (s.ttl, s.ttl - s.ttl / CLOCK_DRIFT_FRACTION);
        match &mut self.session {
            Session::Opening { call: Some((call, at)), not_before, .. } if *call == id => {
                let at = *at;
                match answer {
                    Answer::Outcome(Outcome::SessionOpened(session)) => {
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
                        out.push(Action::SessionChanged(SessionEvent::Established(id)));
                    }
                    other => {
                        *not_before = now + self.session_pauses.failed(self.random.gen());
                        if let Session::Opening { call, .. } = &mut self.session {
                            *call = None;
                        }
                        match other {
                            Answer::Outcome(Outcome::Rejected(Rejection::NameTaken(by))) => {
                                out.push(Action::SessionChanged(SessionEvent::WaitingForName(*by)));
                            }
                            Answer::Outcome(Outcome::Rejected(why)) => {
                                out.push(Action::SessionChanged(SessionEvent::Rejected(why.to_string())));
                            }
                            Answer::Failed(why) => {
                                out.push(Action::SessionChanged(SessionEvent::Rejected(why.clone())))
                            }
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
                    Answer::SessionRenewed => {
                        *until = at + least;
                        *renewed = at;
                        // An answer that came after its own time is none.
                        let held = now < *until;
                        if held && std::mem::take(doubtful) {
                            out.push(Action::SessionChanged(SessionEvent::Established(session)));
                        }
                    }
                    Answer::Outcome(Outcome::Rejected(Rejection::SessionEnded(how))) => {
                        self.session_ended(now, session, *how, out);
                        return true;
                    }
                    // Busy: soon again.
                    _ => *renewed = now.saturating_sub(ttl / 3) + INITIAL_BACKOFF,
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
    fn session_ended(&mut self, now: Duration, session: SessionId, how: SessionEnd, out: &mut Vec<Action>) {
        match self.session {
            Session::Open { id, .. } | Session::Closing { id, .. } if id == session => {}
            _ => return,
        }
        for ticket in self.writes.clone() {
            let Some(asked) = self.asks.get(&ticket) else { continue };
            if asked.number.is_some_and(|(s, _)| s == session) {
                let why = format!("the session has ended: {how}");
                self.tell(ticket, RequestOutcome::Indeterminate(why), out);
            }
        }
        match how {
            SessionEnd::Fenced(by) => {
                self.session = Session::Over;
                out.push(Action::SessionChanged(SessionEvent::Fenced { session, by }));
                for ticket in std::mem::take(&mut self.writes) {
                    self.tell(ticket, RequestOutcome::NotExecuted("the session is over".into()), out);
                }
            }
            SessionEnd::Closed | SessionEnd::Expired => {
                if matches!(self.session, Session::Closing { .. }) {
                    self.session = Session::Over;
                    return;
                }
                let nonce = self.random.gen();
                self.session = Session::Opening { nonce, take_over: false, call: None, not_before: now };
                out.push(Action::SessionChanged(SessionEvent::Ended(session)));
            }
        }
    }

    /// What is over by now.
    fn time(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Session::Open { id, until, doubtful, .. } = &mut self.session {
            if now >= *until && !*doubtful {
                *doubtful = true;
                out.push(Action::SessionChanged(SessionEvent::Suspect(*id)));
            }
        }
        let over: Vec<u64> =
            self.asks.iter().filter(|(_, a)| a.until.is_some_and(|u| u <= now)).map(|(&t, _)| t).collect();
        for ticket in over {
            let Some(asked) = self.asks.get(&ticket) else { continue };
            let why = "no answer in time".to_string();
            let told = match (&asked.ask, asked.sent > 0) {
                (ClientRequest::Transact { .. } | ClientRequest::Call(_), true) => {
                    RequestOutcome::Indeterminate(why)
                }
                _ => RequestOutcome::NotExecuted(why),
            };
            self.tell(ticket, told, out);
        }
        if !matches!(self.link, Link::Up) {
            return;
        }
        let patience = self.settings.response_timeout;
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
                ClientRequest::Transact { compares: when, ops: then } => {
                    let (Some(id), true) = (session, first == Some(ticket)) else { continue };
                    let Session::Open { numbers, .. } = &mut self.session else { continue };
                    let (session, number) = *asked.number.get_or_insert_with(|| {
                        *numbers += 1;
                        (id, *numbers)
                    });
                    Request::Transaction(Transaction {
                        session,
                        sequence: number,
                        compares: when.clone(),
                        ops: then.clone(),
                    })
                }
                ClientRequest::Read(select) => Request::Read(select.clone()),
                ClientRequest::Watch { prefix: under, after } => {
                    let after = asked.revision.or(*after);
                    Request::Watch { prefix: under.clone(), after }
                }
                ClientRequest::Call(request) => request.clone(),
            };
            self.calls += 1;
            asked.call = Some((self.calls, now));
            asked.sent = asked.sent.saturating_add(1);
            send.push(Action::Send(Call { id: self.calls, request }));
        }
        out.extend(send);
        if self.ping.is_none() && self.only_watches() && now >= self.heard + self.settings.response_timeout {
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
                let request = Request::OpenSession {
                    name: s.name.clone(),
                    nonce: *nonce,
                    ttl_ms,
                    take_over: *take_over,
                };
                (call, request)
            }
            Session::Open { id, renewed, call: call @ None, doubtful, .. }
                if *doubtful || now >= *renewed + every =>
            {
                (call, Request::RenewSession { session: *id })
            }
            Session::Closing { id, call: call @ None } => (call, Request::CloseSession { session: *id }),
            _ => return,
        };
        self.calls += 1;
        *call = Some((self.calls, now));
        out.push(Action::Send(Call { id: self.calls, request }));
    }
}
