//! Serves one connection of a FastCGI client, usually a web server.
use super::admission::{Admitted, Rejection};
use super::open_requests::{OpenRequests, ReadyAnswer, RequestKey};
use super::response::{head, head_with};
use super::FastCgiFront;
use crate::exchange::{Answer, Fields, FinalAnswer};
use crate::front::{ShutdownPhase, ShutdownProgress};
use crate::memory_budget::{Purpose, Reservation};
use bytes::{Buf, Bytes, BytesMut};
use config::operator::Limits;
use fastcgi::server::{Event, Request, Server as Protocol};
use fastcgi::Limits as ProtocolLimits;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::info;

/// Number of bytes by which the read buffer is extended in the middle of a request.
const READ_BYTES: usize = 16 << 10;
/// Number of bytes by which the read buffer is extended between requests.
const FIRST_READ_BYTES: usize = 4 << 10;
/// A read buffer with less free space than this, in bytes, is extended.
const MIN_READ_BYTES: usize = 1 << 10;

/// State of one connection.
struct Connection {
    front: Rc<FastCgiFront>,
    /// Protocol state.
    protocol: Protocol,
    requests: OpenRequests,
    answers: mpsc::Sender<ReadyAnswer>,
    limits: Rc<Limits>,
    /// Memory of requests that have been received in part.
    memory: Reservation,
    /// Time since which the front waits for the client.
    waiting_since: Instant,
    /// Whether the connection has carried no request; a shutdown does not shorten the time that such a connection has
    /// to send one.
    newcomer: bool,
}

/// Events that a connection waits for.
struct Waits {
    /// Whether no request is open or partly read.
    idle: bool,
    /// Time at which waiting for the client times out; `None`: the front waits only for answers.
    client_due: Option<Instant>,
    /// Whether output is ready for the client.
    writes: bool,
}

impl Connection {
    fn new(front: Rc<FastCgiFront>, answers: mpsc::Sender<ReadyAnswer>) -> Connection {
        let limits = front.limits.get();
        let protocol = Protocol::new(ProtocolLimits {
            params: limits.head,
            body: limits.body,
            head: limits.head,
            requests: front.settings.requests,
            ..ProtocolLimits::default()
        });
        let memory = front.memory.reservation(Purpose::Request);
        Connection {
            front,
            memory,
            protocol,
            requests: OpenRequests::default(),
            answers,
            limits,
            waiting_since: Instant::now(),
            newcomer: true,
        }
    }

    /// Moves answers into the output. `None`: the connection has to close now.
    fn advance(&mut self, phase: ShutdownPhase) -> Option<Waits> {
        let finished = self.protocol.fill() > 0;
        if finished {
            (self.waiting_since, self.newcomer) = (Instant::now(), false);
        }
        let idle = self.protocol.open() == 0 && !self.protocol.midway();
        // The connection is closed after an answer, because the protocol has no other way to announce the end.
        let shutting_down =
            phase == ShutdownPhase::ClosingIdle || (finished && phase >= ShutdownPhase::ClosingConnections);
        if self.protocol.closes() || (idle && !self.newcomer && shutting_down) {
            return None;
        }
        let wait = if idle && !self.newcomer { self.limits.idle_wait } else { self.limits.request_wait };
        let waits_for_client = idle || self.protocol.midway();
        let client_due = waits_for_client.then(|| self.waiting_since + wait);
        Some(Waits { idle, client_due, writes: self.protocol.outgoing().has_remaining() })
    }

    /// Handles a protocol event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(request) => {
                let key = self.requests.next_key(request.id);
                let answered = self.front.clone().answer(request, key, self.answers.clone());
                self.requests.insert(key, tokio::task::spawn_local(answered).abort_handle());
            }
            Event::Bad(id, status, reason) => {
                self.protocol.answer(id, &head(status), format!("{reason}\n").into());
            }
            Event::Aborted(id) => self.requests.abort(id),
        }
    }

    /// Passes an answer to the protocol state, unless its request was aborted.
    fn send_answer(&mut self, answer: ReadyAnswer) {
        if self.requests.remove_answered(answer.request) {
            self.protocol.answer(answer.request.id, &answer.head, answer.body);
        }
    }

    /// Extends the read buffer where little space is left.
    fn reserve(&self, buffer: &mut BytesMut) {
        if buffer.capacity() - buffer.len() < MIN_READ_BYTES {
            buffer.reserve(if self.protocol.midway() { READ_BYTES } else { FIRST_READ_BYTES });
        }
    }
}

impl Connection {
    /// Reads, writes and answers until the connection has to close.
    async fn run(
        &mut self,
        mut reader: impl AsyncRead + Unpin,
        writer: &mut (impl AsyncWrite + Unpin),
        ready: &mut mpsc::Receiver<ReadyAnswer>,
        shutdown: &mut watch::Receiver<ShutdownProgress>,
    ) {
        let mut buffer = BytesMut::new();
        // Time since which the client has not read any output.
        let mut unread_since = Instant::now();
        loop {
            let phase = shutdown.borrow_and_update().phase;
            let Some(waits) = self.advance(phase) else { return };
            self.reserve(&mut buffer);
            let clogged = self.protocol.clogged();
            let client_due = waits.client_due.unwrap_or_else(Instant::now);
            tokio::select! {
                wrote = writer.write_buf(self.protocol.outgoing()), if waits.writes => {
                    if !matches!(wrote, Ok(n) if n > 0) {
                        return;
                    }
                    unread_since = Instant::now();
                }
                // A client that does not read its answers may still abort requests, and send more within the limit.
                read = reader.read_buf(&mut buffer), if !clogged => {
                    if !matches!(read, Ok(n) if n > 0) {
                        return;
                    }
                    if waits.idle && !self.newcomer {
                        self.waiting_since = Instant::now();
                    }
                    if let Err(error) = self.receive(buffer.split().freeze()) {
                        info!("fastcgi: {error}");
                        // Answers that were given before the fault are still written.
                        let remaining_output = self.protocol.drain();
                        let _ = timeout(self.limits.flush_wait, writer.write_all(&remaining_output)).await;
                        return;
                    }
                    unread_since = if waits.writes { unread_since } else { Instant::now() };
                }
                Some(answer) = ready.recv() => {
                    self.send_answer(answer);
                    unread_since = if waits.writes { unread_since } else { Instant::now() };
                }
                () = sleep_until(unread_since + self.limits.flush_wait), if waits.writes => return,
                () = sleep_until(client_due), if waits.client_due.is_some() => return,
                changed = shutdown.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Parses bytes and handles their events, including those before a fault.
    fn receive(&mut self, bytes: Bytes) -> Result<(), fastcgi::Error> {
        let mut events = Vec::new();
        let received = self.protocol.receive(bytes, &mut events);
        self.count_memory(&mut events);
        for event in events {
            self.handle(event);
        }
        received
    }
}

impl Connection {
    /// Counts the memory of requests that have been received in part, and refuses the largest one if there is no room.
    fn count_memory(&mut self, events: &mut Vec<Event>) {
        if !self.memory.grow_to_sum(self.protocol.buffered_bytes(), self.protocol.largest_buffered_bytes()) {
            self.protocol.reject_largest(503, "there is no memory left for the request", events);
        }
        self.memory.charge_to(self.protocol.buffered_bytes());
    }
}

impl FastCgiFront {
    /// Serves a connection until it ends.
    pub(super) async fn serve(self: Rc<FastCgiFront>, stream: impl AsyncRead + AsyncWrite + Unpin) {
        let (answers, mut ready) = mpsc::channel::<ReadyAnswer>(self.settings.requests);
        let mut shutdown = self.shutdown.clone();
        let mut connection = Connection::new(self, answers);
        let (reader, mut writer) = tokio::io::split(stream);
        connection.run(reader, &mut writer, &mut ready, &mut shutdown).await;
        let _ = timeout(connection.limits.flush_wait, writer.shutdown()).await;
    }

    /// Waits for the answer to a request and sends it to the connection.
    async fn answer(
        self: Rc<FastCgiFront>,
        request: Request,
        key: RequestKey,
        answers: mpsc::Sender<ReadyAnswer>,
    ) {
        let (head, body) = match self.admit(&request) {
            Ok(admitted) => {
                drop(request);
                self.final_answer(admitted).await
            }
            Err(Rejection { status, retry_after, reason, fields }) => {
                let body = if reason.is_empty() { Bytes::new() } else { Bytes::from(format!("{reason}\n")) };
                (head_with(status, retry_after, &Fields::default(), &fields), body)
            }
        };
        // Sending fails if the connection has ended in the meantime.
        let _ = answers.send(ReadyAnswer { request: key, head, body }).await;
    }

    /// Waits for the final answer and returns its head and body.
    async fn final_answer(&self, admitted: Admitted) -> (Bytes, Bytes) {
        let FinalAnswer { answer, may_have_run, used } = admitted.request.answer().await;
        let nothing_ran = matches!(answer, Answer::Rejected { .. }) && !may_have_run;
        let extra = self.budget_fields(admitted.reports_usage.then_some(used), nothing_ran);
        let without_body =
            |status, retry_after| (head_with(status, retry_after, &Fields::default(), &extra), Bytes::new());
        match answer {
            Answer::Served { fields, body } => (head_with(200, None, &fields, &extra), body),
            Answer::Rejected { retry_after } => without_body(503, Some(retry_after)),
            Answer::ClientError(status) => without_body(status, None),
            Answer::Failed => without_body(502, None),
        }
    }
}
