//! A client of the council inside another process: a task of its own, and a handle that any task may use. Nothing that
//! serves requests waits for it.
use crate::framing::{from_json, handshake, read, to_json, write};
use crate::random_id;
use crate::transport::connect;
use coordination::client::{
    self as machine, Action, ClientRequest, Event, RequestOutcome, SessionConfig, SessionEvent,
};
use coordination::protocol::{Answer, Handshake, Reply, Select, MAX_CALL_BYTES, PROTOCOL_VERSION};
use coordination::state_machine::{Compare, Op, Revision, SessionId};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tracing::info;

/// What may wait for the task; whoever has more waits.
const WAITING: usize = 256;
/// Frames that may wait for the connection.
const FRAMES: usize = 2_048;
/// Changes that may wait for whoever watches; one that takes them no faster is ended, and has to watch anew.
const CHANGES: usize = 256;

/// How a client is set up.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Where the voters listen.
    pub voters: Vec<String>,
    /// Its session; `None`: it only reads, watches and administers.
    pub session: Option<SessionConfig>,
    /// What it calls itself.
    pub name: String,
    /// How long an answer may take before the connection counts as dead.
    pub response_timeout: Duration,
}

/// A client's session, as others in its process see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionState {
    /// None, or one of which it is not certain that it has not ended.
    #[default]
    None,
    /// This one is held.
    Active(SessionId),
    /// Another process has its name: this one's time is over.
    Fenced(SessionId),
}

enum HandleCommand {
    Ask(ClientRequest, Duration, oneshot::Sender<RequestOutcome>),
    Watch(String, Option<Revision>, mpsc::Sender<Answer>),
    Open(SessionConfig),
    Close,
}

/// How long it may take to say that a process is there; tried again until it worked.
const PRESENT: Duration = Duration::from_secs(10);

/// Begins a client for a process of this kind and name, which reads and watches only: it has no session yet.
pub fn spawn_reader(
    file: &config::coordination::CoordinationClientConfig,
    kind: &str,
    name: &str,
) -> ClientHandle {
    ClientHandle::spawn(ClientConfig {
        voters: file.voters.iter().map(ToString::to_string).collect(),
        session: None,
        name: format!("{kind}/{name}"),
        response_timeout: file.patience,
    })
}

/// Gives such a client a session, which tells its process from all others, also of the same name, and says in the record
/// that it is there: `present/KIND/NAME` holds its process's number and ends with its session.
pub fn announce_presence(
    council: &ClientHandle,
    file: &config::coordination::CoordinationClientConfig,
    kind: &str,
    name: &str,
) {
    let name = format!("{kind}/{name}");
    let (says, mut standing) = (council.downgrade(), council.session_state());
    let session = SessionConfig { name: name.clone(), ttl: file.ttl, take_over: true };
    tokio::task::spawn_local(async move {
        match says.upgrade() {
            Some(council) => council.open_session(session).await,
            None => return,
        }
        let mut said = None;
        loop {
            let now = *standing.borrow_and_update();
            if let (SessionState::Active(id), true) = (now, said != Some(now)) {
                let value = serde_json::json!({"session": id, "pid": std::process::id()}).to_string();
                let put = Op::Put { key: format!("present/{name}"), value, ephemeral: true };
                let Some(council) = says.upgrade() else { return };
                if let RequestOutcome::Answered(_) = council.transact(vec![], vec![put], PRESENT).await {
                    said = Some(now);
                    continue;
                }
            }
            if standing.changed().await.is_err() {
                return;
            }
        }
    });
}

/// Both at once.
pub fn spawn_with_presence(
    file: &config::coordination::CoordinationClientConfig,
    kind: &str,
    name: &str,
) -> ClientHandle {
    let council = spawn_reader(file, kind, name);
    announce_presence(&council, file, kind, name);
    council
}

/// A handle to a client that does not keep it.
pub struct WeakClientHandle {
    wishes: mpsc::WeakSender<HandleCommand>,
    standing: watch::Receiver<SessionState>,
    held: watch::Receiver<Option<(SessionId, Duration)>>,
}

impl WeakClientHandle {
    /// The handle, if there is another.
    pub fn upgrade(&self) -> Option<ClientHandle> {
        let wishes = self.wishes.upgrade()?;
        Some(ClientHandle { wishes, session_state: self.standing.clone(), active_session: self.held.clone() })
    }
}

/// A handle to a client. The client ends with its last handle.
#[derive(Clone)]
pub struct ClientHandle {
    wishes: mpsc::Sender<HandleCommand>,
    session_state: watch::Receiver<SessionState>,
    active_session: watch::Receiver<Option<(SessionId, Duration)>>,
}

impl ClientHandle {
    /// Begins a client, in a local set of tasks.
    pub fn spawn(settings: ClientConfig) -> ClientHandle {
        let (wishes, wished) = mpsc::channel(WAITING);
        let (tell, standing) = watch::channel(SessionState::None);
        let (until, held) = watch::channel(None);
        let machine = machine::Client::new(machine::ClientConfig {
            voters: settings.voters.clone(),
            session: settings.session.clone(),
            response_timeout: settings.response_timeout,
            seed: random_id(),
        });
        let (frames, _) = mpsc::channel(1);
        let (heard, hearing) = mpsc::channel(WAITING);
        let task = Task {
            settings,
            machine,
            tell,
            until,
            asks: BTreeMap::new(),
            watches: BTreeMap::new(),
            tickets: 0,
            link: None,
            links: 0,
            frames,
            heard,
        };
        tokio::task::spawn_local(task.run(wished, hearing));
        ClientHandle { wishes, session_state: standing, active_session: held }
    }

    /// A handle that does not keep the client.
    pub fn downgrade(&self) -> WeakClientHandle {
        WeakClientHandle {
            wishes: self.wishes.downgrade(),
            standing: self.session_state.clone(),
            held: self.active_session.clone(),
        }
    }

    /// Asks for something; how long it may take.
    pub async fn request(&self, ask: ClientRequest, within: Duration) -> RequestOutcome {
        let (tell, told) = oneshot::channel();
        let ended = || RequestOutcome::NotExecuted("the client has ended".into());
        if self.wishes.send(HandleCommand::Ask(ask, within, tell)).await.is_err() {
            return ended();
        }
        told.await.unwrap_or_else(|_| ended())
    }

    /// Changes keys, all or none, under the client's session.
    pub async fn transact(&self, when: Vec<Compare>, then: Vec<Op>, within: Duration) -> RequestOutcome {
        self.request(ClientRequest::Transact { compares: when, ops: then }, within).await
    }

    /// Reads keys as they are now.
    pub async fn read(&self, select: Select, within: Duration) -> RequestOutcome {
        self.request(ClientRequest::Read(select), within).await
    }

    /// Changes of keys that begin so, after a revision or from now on. Ends with `Lost`, or when the receiver is too slow
    /// or dropped.
    pub async fn watch(&self, under: &str, after: Option<Revision>) -> mpsc::Receiver<Answer> {
        let (tell, told) = mpsc::channel(CHANGES);
        let _ = self.wishes.send(HandleCommand::Watch(under.into(), after, tell)).await;
        told
    }

    /// Its session, as it changes.
    pub fn session_state(&self) -> watch::Receiver<SessionState> {
        self.session_state.clone()
    }

    /// The session that is held now, by this machine's clock, and until when ([`boottime_now`]) unless it is renewed before.
    pub fn active_session(&self) -> Option<(SessionId, Duration)> {
        self.active_session.borrow().filter(|&(_, until)| boottime_now() < until)
    }

    /// The session that was held last, and until when: an end that has passed is the end.
    pub fn last_session(&self) -> Option<(SessionId, Duration)> {
        *self.active_session.borrow()
    }

    /// Opens a session, if the client has none.
    pub async fn open_session(&self, session: SessionConfig) {
        let _ = self.wishes.send(HandleCommand::Open(session)).await;
    }

    /// Ends the session by its own will; returns once that is told, or the time is up.
    pub async fn close_session(&self, within: Duration) {
        if self.wishes.send(HandleCommand::Close).await.is_ok() {
            let _ = tokio::time::timeout(within, self.wishes.closed()).await;
        }
    }
}

enum Heard {
    Up,
    Reply(Box<Reply>),
    Gone(Option<String>),
}

struct Task {
    settings: ClientConfig,
    machine: machine::Client,
    tell: watch::Sender<SessionState>,
    until: watch::Sender<Option<(SessionId, Duration)>>,
    asks: BTreeMap<u64, oneshot::Sender<RequestOutcome>>,
    watches: BTreeMap<u64, mpsc::Sender<Answer>>,
    tickets: u64,
    link: Option<AbortHandle>,
    /// Counts connections: what comes of a former one is passed over.
    links: u64,
    frames: mpsc::Sender<Vec<u8>>,
    heard: mpsc::Sender<(u64, Heard)>,
}

/// The time since the machine began, which goes on while it sleeps: sessions do not wait for it.
pub fn boottime_now() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

impl Task {
    async fn run(
        mut self,
        mut wished: mpsc::Receiver<HandleCommand>,
        mut hearing: mpsc::Receiver<(u64, Heard)>,
    ) {
        let mut closing = false;
        self.handle(Event::Timeout);
        loop {
            if closing && self.machine.is_closed() {
                return;
            }
            let wake = self.machine.next_timeout().map(|at| at.saturating_sub(boottime_now()));
            let event = tokio::select! {
                wish = wished.recv(), if !closing => match wish {
                    Some(HandleCommand::Ask(ask, within, tell)) => {
                        self.tickets += 1;
                        self.asks.insert(self.tickets, tell);
                        Event::Submit { request_id: self.tickets, request: ask, timeout: within }
                    }
                    Some(HandleCommand::Watch(under, after, tell)) => {
                        self.tickets += 1;
                        self.watches.insert(self.tickets, tell);
                        let ask = ClientRequest::Watch { prefix: under, after };
                        Event::Submit { request_id: self.tickets, request: ask, timeout: Duration::MAX }
                    }
                    Some(HandleCommand::Open(session)) => {
                        self.settings.session.get_or_insert_with(|| session.clone());
                        Event::OpenSession(session)
                    }
                    Some(HandleCommand::Close) => {
                        closing = true;
                        if self.settings.session.is_none() {
                            return;
                        }
                        Event::CloseSession
                    }
                    None => return,
                },
                Some((link, heard)) = hearing.recv() => {
                    if link != self.links {
                        continue;
                    }
                    match heard {
                        Heard::Up => Event::Connected,
                        Heard::Reply(reply) => Event::Reply(*reply),
                        Heard::Gone(why) => {
                            if let Some(why) = why {
                                info!("council: {why}");
                            }
                            self.link = None;
                            Event::Disconnected
                        }
                    }
                }
                () = async { sleep(wake.unwrap_or_default()).await }, if wake.is_some() => Event::Timeout,
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.machine.handle(boottime_now(), event, &mut out);
            if let Some(held) = self.machine.session().zip(self.machine.lease_expiry()) {
                self.until.send_if_modified(|last| last.replace(held) != Some(held));
            }
            for action in out {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Connect(addr) => self.connect(addr),
            Action::Disconnect => {
                self.links += 1;
                if let Some(link) = self.link.take() {
                    link.abort();
                }
            }
            Action::Send(call) => {
                // A connection that takes nothing is given up by the machine's own patience.
                let _ = self.frames.try_send(to_json(&call));
            }
            Action::Complete { request_id: ticket, outcome: told } => return self.told(ticket, told),
            Action::SessionChanged(news) => self.session(news),
        }
        None
    }

    fn told(&mut self, ticket: u64, told: RequestOutcome) -> Option<Event> {
        if let Some(tell) = self.asks.remove(&ticket) {
            let _ = tell.send(told);
            return None;
        }
        let watch = self.watches.get(&ticket)?;
        let (last, kept) = match told {
            RequestOutcome::Answered(answer) => {
                let last = !matches!(answer, Answer::Watching { .. } | Answer::Events { .. });
                (last, watch.try_send(answer).is_ok())
            }
            _ => (true, true),
        };
        if last || !kept {
            self.watches.remove(&ticket);
        }
        (!kept && !last).then_some(Event::Cancel(ticket))
    }

    fn session(&mut self, news: SessionEvent) {
        let name = &self.settings.name;
        let standing = match news {
            SessionEvent::Established(id) => {
                info!(session = id, "council: {name} holds its session");
                SessionState::Active(id)
            }
            SessionEvent::Suspect(id) => {
                info!(session = id, "council: {name} could not renew its session in time");
                SessionState::None
            }
            SessionEvent::Ended(id) => {
                info!(session = id, "council: the session of {name} has ended");
                SessionState::None
            }
            SessionEvent::Fenced { session, by } => {
                info!(session, by, "council: another process has the name {name}");
                SessionState::Fenced(by)
            }
            SessionEvent::WaitingForName(by) => {
                info!(by, "council: {name} waits: another session has its name");
                SessionState::None
            }
            SessionEvent::Rejected(why) => {
                info!("council: {name} got no session: {why}");
                SessionState::None
            }
        };
        self.tell.send_if_modified(|now| std::mem::replace(now, standing) != standing);
    }

    fn connect(&mut self, addr: String) {
        self.links += 1;
        if let Some(link) = self.link.take() {
            link.abort();
        }
        let (frames, mut waiting) = mpsc::channel::<Vec<u8>>(FRAMES);
        self.frames = frames;
        let (link, heard, name) = (self.links, self.heard.clone(), self.settings.name.clone());
        let own =
            Handshake { version: PROTOCOL_VERSION, cluster: None, name, voter: None, addr: None, to: None };
        let task = tokio::task::spawn_local(async move {
            let came = async {
                let to = addr.parse().map_err(|_| Some(format!("{addr:?} is no address")))?;
                let stream = connect(to).await.map_err(|_| None)?;
                handshake(stream, &own).await.map_err(|why| Some(format!("{addr}: {why}")))
            };
            let met = match came.await {
                Ok(met) if met.other.voter.is_some() => met,
                Ok(_) => {
                    let why = Some(format!("{addr}: is no voter"));
                    let _ = heard.send((link, Heard::Gone(why))).await;
                    return;
                }
                Err(why) => {
                    let _ = heard.send((link, Heard::Gone(why))).await;
                    return;
                }
            };
            let _ = heard.send((link, Heard::Up)).await;
            let (mut from, mut to) = (met.read, met.write);
            let reading = async {
                while let Ok(bytes) = read(&mut from, MAX_CALL_BYTES).await {
                    let Ok(reply) = from_json::<Reply>(&bytes) else { return };
                    if heard.send((link, Heard::Reply(Box::new(reply)))).await.is_err() {
                        return;
                    }
                }
            };
            let writing = async {
                while let Some(frame) = waiting.recv().await {
                    if write(&mut to, &frame).await.is_err() {
                        return;
                    }
                }
                std::future::pending().await
            };
            tokio::select! {
                () = reading => {}
                () = writing => {}
            }
            let _ = heard.send((link, Heard::Gone(None))).await;
        });
        self.link = Some(task.abort_handle());
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        if let Some(link) = self.link.take() {
            link.abort();
        }
    }
}
