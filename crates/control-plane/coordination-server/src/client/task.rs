//! The task of a client: drives the client state machine with commands, connection events and time.
use super::connection::{ClientConnection, ConnectionEvent, ConnectionEventKind};
use super::{boottime_now, ClientCommand, ClientConfig, SessionState};
use crate::random_id;
use coordination::client::{self as state_machine, Action, Event, RequestOutcome, SessionEvent};
use coordination::client::{Client, ClientRequest};
use coordination::protocol::Answer;
use coordination::state_machine::SessionId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use tracing::info;

/// Connection events that may be queued for the task.
const MAX_QUEUED_EVENTS: usize = 256;

/// Channels to which the task publishes the state of its session.
pub(super) struct SessionPublisher {
    pub state: watch::Sender<SessionState>,
    /// The last session, and when it expires by [`boottime_now`].
    pub expiry: watch::Sender<Option<(SessionId, Duration)>>,
}

/// Next step of the task after a command or a connection event.
enum NextStep {
    Handle(Event),
    Ignore,
    Stop,
}

pub(super) struct ClientTask {
    config: ClientConfig,
    client: Client,
    session: SessionPublisher,
    /// Callers that wait for the outcome of a request, by request id.
    requests: BTreeMap<u64, oneshot::Sender<RequestOutcome>>,
    /// Receivers of the answers of watches, by request id.
    watches: BTreeMap<u64, mpsc::Sender<Answer>>,
    last_request_id: u64,
    connection: Option<ClientConnection>,
    /// Number of the current or last connection.
    connection_number: u64,
    connection_events: mpsc::Sender<ConnectionEvent>,
    /// The session is to be closed, after which the task ends.
    closing: bool,
}

impl ClientTask {
    /// Starts the task; it ends with the last sender of commands.
    pub fn spawn(config: ClientConfig, commands: mpsc::Receiver<ClientCommand>, session: SessionPublisher) {
        let client = Client::new(state_machine::ClientConfig {
            voters: config.voters.clone(),
            session: config.session.clone(),
            response_timeout: config.response_timeout,
            seed: random_id(),
        });
        let (connection_events, events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let task = ClientTask {
            config,
            client,
            session,
            requests: BTreeMap::new(),
            watches: BTreeMap::new(),
            last_request_id: 0,
            connection: None,
            connection_number: 0,
            connection_events,
            closing: false,
        };
        tokio::task::spawn_local(task.run(commands, events));
    }

    async fn run(
        mut self,
        mut commands: mpsc::Receiver<ClientCommand>,
        mut events: mpsc::Receiver<ConnectionEvent>,
    ) {
        self.handle(Event::Timeout);
        while !(self.closing && self.client.is_closed()) {
            let timeout = self.client.next_timeout().map(|at| at.saturating_sub(boottime_now()));
            let next = tokio::select! {
                command = commands.recv(), if !self.closing => match command {
                    Some(command) => self.accept(command),
                    None => NextStep::Stop,
                },
                Some(event) = events.recv() => self.accept_connection_event(event),
                () = async { sleep(timeout.unwrap_or_default()).await }, if timeout.is_some() => {
                    NextStep::Handle(Event::Timeout)
                }
            };
            match next {
                NextStep::Handle(event) => self.handle(event),
                NextStep::Ignore => {}
                NextStep::Stop => return,
            }
        }
    }

    fn accept(&mut self, command: ClientCommand) -> NextStep {
        match command {
            ClientCommand::Request { request, timeout, outcome } => {
                let request_id = self.next_request_id();
                self.requests.insert(request_id, outcome);
                NextStep::Handle(Event::Submit { request_id, request, timeout })
            }
            ClientCommand::Watch { prefix, after, answers } => {
                let request_id = self.next_request_id();
                self.watches.insert(request_id, answers);
                let request = ClientRequest::Watch { prefix, after };
                NextStep::Handle(Event::Submit { request_id, request, timeout: Duration::MAX })
            }
            ClientCommand::OpenSession(session) => {
                self.config.session.get_or_insert_with(|| session.clone());
                NextStep::Handle(Event::OpenSession(session))
            }
            ClientCommand::CloseSession => {
                self.closing = true;
                match self.config.session {
                    Some(_) => NextStep::Handle(Event::CloseSession),
                    None => NextStep::Stop,
                }
            }
        }
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    fn accept_connection_event(&mut self, event: ConnectionEvent) -> NextStep {
        if event.connection != self.connection_number {
            return NextStep::Ignore;
        }
        NextStep::Handle(match event.kind {
            ConnectionEventKind::Connected => Event::Connected,
            ConnectionEventKind::Reply(reply) => Event::Reply(*reply),
            ConnectionEventKind::Disconnected(reason) => {
                if let Some(reason) = reason {
                    info!("council: {reason}");
                }
                self.connection = None;
                Event::Disconnected
            }
        })
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.client.handle(boottime_now(), event, &mut actions);
            if let Some(session) = self.client.session().zip(self.client.lease_expiry()) {
                self.session.expiry.send_if_modified(|last| last.replace(session) != Some(session));
            }
            for action in actions {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Connect(address) => {
                self.disconnect();
                self.connection = Some(ClientConnection::spawn(
                    self.connection_number,
                    address,
                    self.config.name.clone(),
                    self.connection_events.clone(),
                ));
                None
            }
            Action::Disconnect => {
                self.disconnect();
                None
            }
            Action::Send(call) => {
                if let Some(connection) = &self.connection {
                    connection.send(&call);
                }
                None
            }
            Action::Complete { request_id, outcome } => self.complete(request_id, outcome),
            Action::SessionChanged(event) => {
                self.session_changed(event);
                None
            }
        }
    }

    fn disconnect(&mut self) {
        self.connection_number += 1;
        self.connection = None;
    }

    /// Passes an outcome to its caller. Returns an event to cancel a watch whose receiver is gone or too slow.
    fn complete(&mut self, request_id: u64, outcome: RequestOutcome) -> Option<Event> {
        if let Some(caller) = self.requests.remove(&request_id) {
            let _ = caller.send(outcome);
            return None;
        }
        let watch = self.watches.get(&request_id)?;
        let (is_last, delivered) = match outcome {
            RequestOutcome::Answered(answer) => {
                let is_last = !matches!(answer, Answer::Watching { .. } | Answer::Events { .. });
                (is_last, watch.try_send(answer).is_ok())
            }
            RequestOutcome::Indeterminate(_) | RequestOutcome::NotExecuted(_) => (true, true),
        };
        if is_last || !delivered {
            self.watches.remove(&request_id);
        }
        (!delivered && !is_last).then_some(Event::Cancel(request_id))
    }

    fn session_changed(&mut self, event: SessionEvent) {
        let name = &self.config.name;
        let state = match event {
            SessionEvent::Established(id) => {
                info!(session = id, "council: {name} holds its session");
                SessionState::Active(id)
            }
            SessionEvent::Suspect(id) => {
                info!(session = id, "council: {name} could not renew its session in time");
                SessionState::None
            }
            SessionEvent::Ended(id) => {
                info!(session = id, "council: the session of {name} has ended; opening another one");
                SessionState::None
            }
            SessionEvent::Fenced { session, by } => {
                info!(
                    session,
                    by, "council: the session of {name} is fenced: another process took over its name"
                );
                SessionState::Fenced(by)
            }
            SessionEvent::WaitingForName(by) => {
                info!(by, "council: {name} waits for its session: another session has its name");
                SessionState::None
            }
            SessionEvent::Rejected(reason) => {
                info!("council: the session of {name} was rejected: {reason}");
                SessionState::None
            }
        };
        self.session.state.send_if_modified(|current| std::mem::replace(current, state) != state);
    }
}
