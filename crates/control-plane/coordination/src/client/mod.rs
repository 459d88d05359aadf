//! Client of the coordination service: follows the leader, keeps a session alive and retries requests.
//!
//! **A transaction is applied at most once.** It carries its session and a sequence number. While its outcome is unknown it
//! is sent again with the same number, also to the next leader, which returns the outcome of the first application. The
//! outcome stays indeterminate only if the request times out first, or if the session ends meanwhile.
//!
//! **A session is held** for its time to live, counted from the moment the last acknowledged renewal was *sent*, by this
//! process's clock and shortened by [`crate::CLOCK_DRIFT_FRACTION`]. After that the holder must assume that the session has
//! ended; the voters wait longer before they expire it. A fenced session is not reopened, because another process owns its name.
//!
//! | module | contents |
//! | --- | --- |
//! | `connection` | the connection to one voter, reconnection with backoff, response timeouts |
//! | `session` | opening, renewing and closing the session |
//! | `requests` | pending requests, retries and completion |
//! | `watches` | watches, and the liveness check of a connection that only carries watches |
mod connection;
mod requests;
mod session;
mod transaction_id;
mod watches;

use crate::protocol::{Answer, Call, Reply, Request, Select};
use crate::state_machine::{Compare, Op, Revision, SessionId};
use backoff::Backoff;
use connection::{ConnectionState, SentCall};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests::PendingRequest;
use session::Session;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Requests that may be pending at one time; further ones are rejected.
pub const MAX_PENDING_REQUESTS: usize = 1_024;
/// Delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the delay between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Configuration of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses of the voters.
    pub voters: Vec<String>,
    /// The session to open; `None` for a client that only reads, watches and administers.
    pub session: Option<SessionConfig>,
    /// Time without a response after which the connection is closed.
    pub response_timeout: Duration,
    /// Seed of the random numbers: backoff jitter, the first voter, and the nonces of sessions.
    pub seed: u64,
}

/// Configuration of a session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// Name, unique among open sessions.
    pub name: String,
    /// Time to live: the session expires when it is not renewed for this long.
    pub ttl: Duration,
    /// Whether the first opening fences an existing session with the same name.
    pub take_over: bool,
}

/// A request of the embedding process.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// A transaction under the client's session.
    Transact {
        /// Conditions that must all hold.
        compares: Vec<Compare>,
        /// Operations that are applied if all conditions hold.
        ops: Vec<Op>,
    },
    /// A linearizable read.
    Read(Select),
    /// A watch, which stays active until it is cancelled.
    Watch {
        /// Prefix of the watched keys.
        prefix: String,
        /// Revision after which events are reported; `None` for the current one.
        after: Option<Revision>,
    },
    /// Any other idempotent request to the leader.
    Call(Request),
}

/// Input of the client.
#[derive(Clone, Debug)]
pub enum Event {
    /// The requested connection is established, and its other side is a voter of this cluster.
    Connected,
    /// The connection failed or was closed.
    Disconnected,
    /// A reply arrived.
    Reply(Reply),
    /// A new request.
    Submit {
        /// Identifies the request in [`Action::Complete`] and [`Event::Cancel`].
        request_id: u64,
        /// The request.
        request: ClientRequest,
        /// Timeout; ignored for a watch.
        timeout: Duration,
    },
    /// Cancels the request with this id.
    Cancel(u64),
    /// Opens a session, if the client has none.
    OpenSession(SessionConfig),
    /// Closes the session.
    CloseSession,
    /// The time that [`Client::next_timeout`] returned has been reached.
    Timeout,
}

/// Output of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to this address, in place of the current connection.
    Connect(String),
    /// Close the connection.
    Disconnect,
    /// Send a call over the connection.
    Send(Call),
    /// A result of a request.
    Complete {
        /// The id of the request.
        request_id: u64,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// The state of the session changed.
    SessionChanged(SessionEvent),
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The leader's answer. A watch gets several: `Watching`, `Events` and last `Compacted`.
    Answered(Answer),
    /// The request may or may not have been applied; holds the reason.
    Indeterminate(String),
    /// The request was not applied; holds the reason.
    NotExecuted(String),
}

/// Change of the session's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The session is held.
    Established(SessionId),
    /// The session may have expired by the local clock; nothing may rely on it until it is established again.
    Suspect(SessionId),
    /// The session ended, and a new one is being opened.
    Ended(SessionId),
    /// Another session owns the name. The client does not open it again.
    Fenced {
        /// The session that ended.
        session: SessionId,
        /// The session that owns the name.
        by: SessionId,
    },
    /// Another session owns the name; the client waits for its end.
    WaitingForName(SessionId),
    /// The service rejected the session, with a reason; the client retries.
    Rejected(String),
}

/// A client.
pub struct Client {
    config: ClientConfig,
    random: Pcg64Mcg,
    connection: ConnectionState,
    /// Position in `config.voters` of the voter to which the next connection is made.
    next_voter: usize,
    /// Address of the leader as named by the last voter.
    leader_hint: Option<String>,
    connection_backoff: Backoff,
    /// Id of the last call that was sent.
    last_call_id: u64,
    /// Requests without a final outcome, by request id.
    pending: BTreeMap<u64, PendingRequest>,
    /// Request ids of pending transactions in order; only the first may be in flight.
    transactions: VecDeque<u64>,
    session: Session,
    session_backoff: Backoff,
    /// Time at which the last reply arrived.
    last_reply_at: Duration,
    /// The liveness check in flight, if any.
    ping: Option<SentCall>,
}

impl Client {
    /// Creates a client that is not connected.
    pub fn new(config: ClientConfig) -> Client {
        let mut random = Pcg64Mcg::seed_from_u64(config.seed);
        let session = match &config.session {
            Some(session) => Session::opening(random.gen(), session.take_over, Duration::ZERO),
            None => Session::None,
        };
        let next_voter = random.gen_range(0..config.voters.len().max(1));
        Client {
            config,
            random,
            connection: ConnectionState::Disconnected { retry_at: Duration::ZERO },
            next_voter,
            leader_hint: None,
            connection_backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
            last_call_id: 0,
            pending: BTreeMap::new(),
            transactions: VecDeque::new(),
            session,
            session_backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
            last_reply_at: Duration::ZERO,
            ping: None,
        }
    }

    /// The time at which [`Event::Timeout`] is due; `None` if nothing is scheduled.
    pub fn next_timeout(&self) -> Option<Duration> {
        let mut timeouts = Vec::new();
        self.connection_timeouts(&mut timeouts);
        self.session_timeouts(&mut timeouts);
        self.request_timeouts(&mut timeouts);
        timeouts.into_iter().min()
    }

    /// Handles an event; resulting actions are appended to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected => self.connected(now),
            Event::Disconnected => self.disconnected(now, None),
            Event::Reply(reply) => self.handle_reply(now, reply, actions),
            Event::Submit { request_id, request, timeout } => {
                self.submit(now, request_id, request, timeout, actions)
            }
            Event::Cancel(request_id) => self.cancel(request_id, actions),
            Event::OpenSession(session) => self.open_session(now, session),
            Event::CloseSession => self.close_session(),
            Event::Timeout => {}
        }
        self.suspect_expired_session(now, actions);
        self.expire_requests(now, actions);
        self.check_response_timeouts(now, actions);
        self.advance(now, actions);
    }

    /// Connects, or sends everything that is ready to be sent.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.connection {
            ConnectionState::Disconnected { retry_at } if now >= retry_at && self.needs_connection() => {
                self.connect(actions);
            }
            ConnectionState::Connected => {
                self.send_session_request(now, actions);
                self.send_requests(now, actions);
                self.send_ping(now, actions);
            }
            _ => {}
        }
    }

    fn handle_reply(&mut self, now: Duration, reply: Reply, actions: &mut Vec<Action>) {
        if !self.is_connected() {
            return;
        }
        self.last_reply_at = now;
        let Reply { id, answer } = reply;
        match answer {
            // Holds for every call, not only the answered one: this voter can serve none of them.
            Answer::NotLeader { leader } => {
                actions.push(Action::Disconnect);
                return self.disconnected(now, leader);
            }
            Answer::Indeterminate => {
                actions.push(Action::Disconnect);
                return self.disconnected(now, None);
            }
            _ => self.connection_backoff.reset(),
        }
        let handled = self.handle_session_reply(now, id, &answer, actions) || self.handle_pong(id);
        if !handled {
            self.handle_request_reply(now, id, answer, actions);
        }
    }

    /// Sends a request as a new call and returns the call's id.
    fn send(&mut self, request: Request, actions: &mut Vec<Action>) -> u64 {
        self.last_call_id += 1;
        let id = self.last_call_id;
        actions.push(Action::Send(Call { id, request }));
        id
    }
}
